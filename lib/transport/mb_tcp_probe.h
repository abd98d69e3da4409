/* Checks whether a TCP address accepts connections, without blocking. Not
   thread-safe. */
#ifndef MB_TCP_PROBE_H
#define MB_TCP_PROBE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct mb_tcp_probe {
    uint32_t ip; /* host byte order */
    uint16_t port;
    int fd; /* -1: no connection in progress */
} mb_tcp_probe_t;

/* Initializes a probe of an IPv4 address in host byte order; opens no
   connection yet. */
void mb_tcp_probe_init(mb_tcp_probe_t *probe, uint32_t ip, uint16_t port);
/* Closes the connection in progress, if there is one. The probe can be used
   again. */
void mb_tcp_probe_finish(mb_tcp_probe_t *probe);
/* Starts a connection, or checks the one that an earlier call started. Returns
   true once a connection was accepted, and closes it. Returns false while the
   connection is in progress or when it was refused; the call after a refusal
   starts a new one. Never blocks. */
bool mb_tcp_probe_poll(mb_tcp_probe_t *probe);

#endif
