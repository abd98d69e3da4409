#include "mb_link.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mb_cleanup.h"
#include "mb_clock.h"
#include "mb_error.h"

/* Minimum room in the receive buffer for one read, in bytes. */
#define READ_BYTES (64u * 1024u)
/* Maximum number of connections that wait to be accepted. */
#define LISTEN_BACKLOG 512

/* Returns the socket address of an IPv4 address in host byte order. */
static struct sockaddr_in
make_address(uint32_t ip, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    address.sin_addr.s_addr = htonl(ip);
    address.sin_port = htons(port);
    return address;
}

/* Opens a listening socket; returns the descriptor, or -1 with the error set,
   for instance when the port is in use. */
int
mb_tcp_listen(uint32_t ip, uint16_t port, GError **error)
{
    struct sockaddr_in address = make_address(ip, port);
    int one = 1;
    MB_AUTO_FD int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 ||
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) != 0 ||
        bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        mb_error_set(error, MB_KIND_IO, "cannot listen on port %u: %s", port,
                     g_strerror(errno));
        return -1;
    }
    return mb_steal_fd(&fd);
}

/* Turns off Nagle's algorithm, so that small frames are sent at once; the loop
   batches writes already. */
static void
set_no_delay(int fd)
{
    int one = 1;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

/* Accepts a connection; returns -1 when none is waiting. */
int
mb_tcp_accept(int listen_fd)
{
    int fd = accept4(listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
        set_no_delay(fd);
    }
    return fd;
}

/* Starts a connect; returns the descriptor, or -1 with the error set. */
int
mb_tcp_connect(uint32_t ip, uint16_t port, GError **error)
{
    struct sockaddr_in address = make_address(ip, port);
    MB_AUTO_FD int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 ||
        (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
         errno != EINPROGRESS)) {
        mb_error_set(error, MB_KIND_IO, "cannot connect: %s",
                     g_strerror(errno));
        return -1;
    }
    set_no_delay(fd);
    return mb_steal_fd(&fd);
}

/* Watches for writability only while there is something to send or the connect
   is in progress. */
static void
update_events(mb_link_t *link)
{
    bool want_writable = link->connecting || link->send_buffer.len > 0;
    if (want_writable != link->watching_writable) {
        link->watching_writable = want_writable;
        mb_loop_modify(link->loop, &link->source,
                       want_writable ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }
}

/* Writes as much of the send buffer as the socket accepts; false when the
   connection has failed. */
static bool
write_buffered(mb_link_t *link)
{
    size_t sent = 0;
    while (sent < link->send_buffer.len) {
        ssize_t count = send(link->source.fd, link->send_buffer.data + sent,
                             link->send_buffer.len - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        if (count < 0) {
            return false;
        }
        sent += (size_t)count;
    }
    mb_buf_drop_front(&link->send_buffer, sent);
    return true;
}

/* Delivers the complete frames in the receive buffer, until a callback marks
   the link as failed or paused. Returns false when the framing is invalid. */
static bool
deliver_frames(mb_link_t *link)
{
    size_t used = 0;
    while (!link->failed && !link->paused) {
        mb_message_t message;
        size_t consumed = 0;
        mb_str_t rest = {link->receive_buffer.data + used,
                         link->receive_buffer.len - used};
        mb_frame_result_t result =
            mb_frame_decode(&link->decoder, rest, &consumed, &message, NULL);
        if (result == MB_FRAME_INVALID) {
            link->invalid_frame = true;
            return false;
        }
        if (result == MB_FRAME_INCOMPLETE) {
            break;
        }
        used += consumed;
        link->callbacks.message(link->callbacks.context, link, &message);
    }
    mb_buf_drop_front(&link->receive_buffer, used);
    return true;
}

/* Reads once and delivers the complete frames; false when the connection has
   ended or failed. One read per event keeps a busy link from starving the
   others; epoll reports again what is left in the socket. */
static bool
read_available(mb_link_t *link)
{
    mb_buf_reserve(&link->receive_buffer, READ_BYTES);
    ssize_t count = recv(
        link->source.fd, link->receive_buffer.data + link->receive_buffer.len,
        link->receive_buffer.cap - link->receive_buffer.len, 0);
    if (count < 0) {
        return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }
    if (count == 0) {
        return false;
    }
    link->receive_buffer.len += (size_t)count;
    mb_clock_t clock = mb_clock_monotonic();
    link->last_received_ms = mb_clock_ms(&clock);
    return deliver_frames(link);
}

/* Returns whether the connect that was in progress has succeeded. */
static bool
finish_connect(mb_link_t *link)
{
    int status = 0;
    socklen_t size = sizeof(status);
    link->connecting = false;
    return getsockopt(link->source.fd, SOL_SOCKET, SO_ERROR, &status, &size) ==
               0 &&
           status == 0;
}

/* Marks the link as failed and calls `closed`, which may free the link. */
static void
report_closed(mb_link_t *link)
{
    link->failed = true;
    mb_loop_cancel_deferred(link->loop, &link->flush);
    link->callbacks.closed(link->callbacks.context, link);
}

/* Deferred callback: writes what was queued during the current batch of
   events, in a single system call if the socket accepts it all, so that most
   sends need no change of the watched events. After a move to this loop, the
   frames that had arrived before are delivered first. */
static void
run_flush(void *context)
{
    mb_link_t *link = context;
    bool alive = !link->failed &&
                 (link->receive_buffer.len == 0 || deliver_frames(link));
    if (alive && !link->failed && !link->connecting) {
        alive = write_buffered(link);
    }
    if (!alive || link->failed) {
        report_closed(link);
        return;
    }
    update_events(link);
}

/* Handles the events of the socket. The link must not be used after
   report_closed. */
static void
link_ready(void *context, uint32_t events)
{
    mb_link_t *link = context;
    bool alive = !link->failed;
    if (alive && link->connecting && (events & (EPOLLOUT | EPOLLERR))) {
        alive = finish_connect(link);
    }
    if (alive && (events & (EPOLLIN | EPOLLHUP | EPOLLERR))) {
        alive = read_available(link);
    }
    if (alive && !link->connecting) {
        alive = write_buffered(link);
    }
    if (!alive || link->failed) {
        report_closed(link);
        return;
    }
    update_events(link);
}

/* Initializes a link that owns `fd`. Returns false when the decoder can't be
   initialized or the loop refuses the socket; the socket is closed then. */
bool
mb_link_init(mb_link_t *link, mb_loop_t *loop, int fd, bool connecting,
             const mb_link_callbacks_t *callbacks)
{
    mb_clock_t clock = mb_clock_monotonic();
    memset(link, 0, sizeof(*link));
    link->loop = loop;
    link->callbacks = *callbacks;
    link->connecting = connecting;
    link->watching_writable = true;
    link->last_received_ms = mb_clock_ms(&clock);
    link->source = (mb_loop_source_t){fd, link_ready, link};
    link->flush = (mb_loop_deferred_t){run_flush, link, NULL, false};
    if (!mb_frame_decoder_init(&link->decoder)) {
        (void)close(fd);
        return false;
    }
    if (!mb_loop_add(loop, &link->source, EPOLLIN | EPOLLOUT)) {
        mb_frame_decoder_finish(&link->decoder);
        (void)close(fd);
        return false;
    }
    return true;
}

/* Closes the connection and releases the buffers. */
void
mb_link_finish(mb_link_t *link)
{
    mb_loop_cancel_deferred(link->loop, &link->flush);
    mb_loop_remove(link->loop, &link->source);
    (void)close(link->source.fd);
    mb_frame_decoder_finish(&link->decoder);
    mb_buf_finish(&link->receive_buffer);
    mb_buf_finish(&link->send_buffer);
}

/* Marks the link as failed; `closed` is called after the current batch of
   events. */
void
mb_link_fail(mb_link_t *link)
{
    link->failed = true;
    mb_loop_defer(link->loop, &link->flush);
}

/* Sends a PING if the interval has passed. */
void
mb_link_ping(mb_link_t *link, uint64_t now_ms)
{
    mb_message_t ping = {.type = MB_MESSAGE_PING};
    if (link->connecting || now_ms < link->last_ping_ms + MB_LINK_PING_MS) {
        return;
    }
    link->last_ping_ms = now_ms;
    ping.body.sequence = ++link->ping_sequence;
    (void)mb_link_send(link, &ping);
}

/* Returns whether nothing has been received for the suspicion time-out. */
bool
mb_link_is_suspect(const mb_link_t *link, uint64_t now_ms)
{
    return now_ms > link->last_received_ms + MB_LINK_SUSPECT_MS;
}

/* Removes a paused link from its loop and moves it, with the bytes that it has
   received. */
void
mb_link_move(mb_link_t *from, mb_link_t *to)
{
    mb_loop_cancel_deferred(from->loop, &from->flush);
    mb_loop_remove(from->loop, &from->source);
    *to = *from;
    to->loop = NULL;
}

/* Continues a moved link on another loop. When it returns false, the link is
   finished. */
bool
mb_link_resume(mb_link_t *link, mb_loop_t *loop,
               const mb_link_callbacks_t *callbacks)
{
    link->loop = loop;
    link->callbacks = *callbacks;
    link->paused = false;
    link->watching_writable = true;
    link->source.context = link;
    link->flush = (mb_loop_deferred_t){run_flush, link, NULL, false};
    if (!mb_loop_add(loop, &link->source, EPOLLIN | EPOLLOUT)) {
        mb_link_finish(link);
        return false;
    }
    mb_loop_defer(loop, &link->flush);
    return true;
}

/* Queues a message for the next flush. Returns false, and queues nothing, when
   too many bytes wait already, the link has failed or the message is too
   long. */
bool
mb_link_send(mb_link_t *link, const mb_message_t *message)
{
    if (link->failed || link->send_buffer.len > MB_LINK_SEND_BUFFER_MAX) {
        return false;
    }
    size_t before = link->send_buffer.len;
    mb_frame_encode(&link->send_buffer, message);
    if (link->send_buffer.len - before >
        MB_FRAME_LENGTH_BYTES + MB_FRAME_MAX) {
        link->send_buffer.len = before;
        return false;
    }
    mb_loop_defer(link->loop, &link->flush);
    return true;
}
