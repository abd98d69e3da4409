#include "mb_tcp_probe.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mb_link.h"

/* Initializes a probe of an address. */
void
mb_tcp_probe_init(mb_tcp_probe_t *probe, uint32_t ip, uint16_t port)
{
    *probe = (mb_tcp_probe_t){ip, port, -1};
}

/* Closes the connection in progress, if there is one. */
void
mb_tcp_probe_finish(mb_tcp_probe_t *probe)
{
    if (probe->fd >= 0) {
        (void)close(probe->fd);
        probe->fd = -1;
    }
}

/* Starts a connection, or checks the one that an earlier call started. Returns
   true when it was accepted; a connection that has succeeded or failed is
   closed. Never blocks. */
bool
mb_tcp_probe_poll(mb_tcp_probe_t *probe)
{
    int status = 0;
    socklen_t size = sizeof(status);
    if (probe->fd < 0) {
        probe->fd = mb_tcp_connect(probe->ip, probe->port, NULL);
        return false;
    }
    struct pollfd poll_fd = {.fd = probe->fd, .events = POLLOUT};
    if (poll(&poll_fd, 1, 0) <= 0) {
        return false;
    }
    bool accepted =
        getsockopt(probe->fd, SOL_SOCKET, SO_ERROR, &status, &size) == 0 &&
        status == 0;
    mb_tcp_probe_finish(probe);
    return accepted;
}
