/* Probes whether a TCP address accepts connections, without blocking. */
#ifndef MB_TCP_PROBE_H
#define MB_TCP_PROBE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct mb_tcp_probe {
    uint32_t ip; /* host byte order */
    uint16_t port;
    int fd; /* -1: no connection in progress */
} mb_tcp_probe_t;

void mb_tcp_probe_init(mb_tcp_probe_t *probe, uint32_t ip, uint16_t port);
void mb_tcp_probe_finish(mb_tcp_probe_t *probe);
bool mb_tcp_probe_poll(mb_tcp_probe_t *probe);

#endif
