/* standin-crowd: opens many connections of one kind to an address, as clients
   outside anyone's control do, holds them for a time and leaves. Used to show
   that a process survives them. The kind "mixed" takes one of the other kinds
   for each connection in turn; "ordinary" is not among these. */
#include <arpa/inet.h>
#include <argtable2.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mb_cleanup.h"
#include "mb_clock.h"
#include "mb_settings.h"

/* Size of a large chunk, and of one write, in bytes. */
#define CHUNK_BYTES 65536u
/* Size of the value of a header, in bytes. */
#define HEADER_BYTES 1000u
/* Receive buffer of a connection that reads no responses, in bytes. */
#define DEAF_RECEIVE_BYTES 4096
/* Interval at which a connection sends its drip (see kind_t) after its burst,
   in milliseconds. */
#define DRIP_INTERVAL_MS 1000u
/* Maximum time that a poll waits, in milliseconds. Connections that reconnect
   are opened again after it. */
#define POLL_MS 50

/* What a connection sends repeatedly after its head. */
typedef enum unit {
    UNIT_NOTHING,
    UNIT_BYTES,   /* a body without chunks */
    UNIT_CHUNKS,  /* chunks of CHUNK_BYTES */
    UNIT_TINY,    /* chunks of one byte */
    UNIT_HEADERS, /* header lines */
    UNIT_LARGE,   /* requests with a body of --bytes */
    UNIT_REQUESTS /* small requests */
} unit_t;

/* How the connections of a kind behave. */
typedef struct kind {
    const char *name;
    const char *head; /* headers; NULL: the head is part of the units */
    unit_t unit;
    uint32_t burst;    /* sends this many times --bytes at once, less a byte */
    uint32_t drip;     /* bytes sent per DRIP_INTERVAL_MS after that */
    bool reads;        /* reads responses */
    bool reconnects;   /* closes after the burst, and opens again */
    bool whole_length; /* the head announces --bytes */
} kind_t;

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

static const kind_t kinds[] = {
    {"large", CHUNKED, UNIT_CHUNKS, 1, 0, true, false, false},
    {"tiny", CHUNKED, UNIT_TINY, 6, 0, true, false, false},
    {"stopped", "\r\n", UNIT_BYTES, 1, 0, true, false, true},
    {"announced", "Content-Length: 1000000000\r\n\r\n", UNIT_BYTES, 8, 0, true,
     false, false},
    {"endless", CHUNKED, UNIT_CHUNKS, 8, 0, true, false, false},
    {"headers", "", UNIT_HEADERS, 1, 1, true, false, false},
    {"silent", NULL, UNIT_NOTHING, 0, 0, true, false, false},
    {"deaf", NULL, UNIT_LARGE, 4, 0, false, false, false},
    {"churn", CHUNKED, UNIT_CHUNKS, 1, 0, true, true, false},
    {"ordinary", NULL, UNIT_REQUESTS, 0, 1, true, false, false},
};
#define MIXED_KINDS (G_N_ELEMENTS(kinds) - 1)

/* What all connections of a kind send: the head, then the units again and
   again. */
typedef struct script {
    const kind_t *kind;
    mb_buf_t head;
    mb_buf_t units;
    uint64_t burst_bytes;
    uint64_t drip_bytes;
} script_t;

typedef struct connection {
    const script_t *script;
    int fd; /* -1: closed */
    uint64_t sent;
    uint64_t allowed; /* may be sent up to now */
} connection_t;

typedef struct crowd {
    struct sockaddr_in address;
    const char *target;
    const char *host;
    uint64_t bytes;
    script_t scripts[G_N_ELEMENTS(kinds)];
    connection_t *connections;
    struct pollfd *polls;
    size_t count;
    uint64_t opened;
    uint64_t sent;
} crowd_t;

/* Appends a byte `count` times. */
static void
append_fill(mb_buf_t *out, uint64_t count)
{
    for (uint64_t i = 0; i < count; i++) {
        mb_buf_append_byte(out, 'x');
    }
}

/* Appends the request line, the host and, unless it is 0, the length. */
static void
append_head(const crowd_t *crowd, mb_buf_t *out, uint64_t length)
{
    mb_buf_printf(out, "POST %s HTTP/1.1\r\nHost: %s\r\n", crowd->target,
                  crowd->host);
    if (length > 0) {
        mb_buf_printf(out, "Content-Length: %" G_GUINT64_FORMAT "\r\n",
                      length);
    }
}

/* Appends units of a kind, about CHUNK_BYTES or one whole request. */
static void
append_units(const crowd_t *crowd, unit_t unit, mb_buf_t *out)
{
    uint64_t body = unit == UNIT_LARGE ? crowd->bytes : 64;
    switch (unit) {
    case UNIT_NOTHING:
        break;
    case UNIT_BYTES:
        append_fill(out, CHUNK_BYTES);
        break;
    case UNIT_CHUNKS:
        mb_buf_printf(out, "%x\r\n", CHUNK_BYTES);
        append_fill(out, CHUNK_BYTES);
        mb_buf_append_cstr(out, "\r\n");
        break;
    case UNIT_TINY:
        while (out->len < CHUNK_BYTES) {
            mb_buf_append_cstr(out, "1\r\nx\r\n");
        }
        break;
    case UNIT_HEADERS:
        mb_buf_append_cstr(out, "X-Crowd: ");
        append_fill(out, HEADER_BYTES);
        mb_buf_append_cstr(out, "\r\n");
        break;
    case UNIT_LARGE:
    case UNIT_REQUESTS:
        append_head(crowd, out, body);
        mb_buf_append_cstr(out, "\r\n");
        append_fill(out, body);
        break;
    }
}

/* Prepares what the connections of a kind send. */
static void
init_script(const crowd_t *crowd, const kind_t *kind, script_t *script)
{
    script->kind = kind;
    if (kind->head != NULL) {
        append_head(crowd, &script->head,
                    kind->whole_length ? crowd->bytes : 0);
        mb_buf_append_cstr(&script->head, kind->head);
    }
    append_units(crowd, kind->unit, &script->units);
    if (kind->burst > 0) {
        script->burst_bytes =
            script->head.len + kind->burst * crowd->bytes - 1;
    }
    script->drip_bytes =
        kind->unit == UNIT_REQUESTS ? script->units.len : kind->drip;
}

/* Opens a connection; the connect may still be in progress. */
static void
open_connection(crowd_t *crowd, connection_t *connection)
{
    int size = DEAF_RECEIVE_BYTES;
    MB_AUTO_FD int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return;
    }
    if (!connection->script->kind->reads) {
        (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    }
    if (connect(fd, (const struct sockaddr *)&crowd->address,
                sizeof(crowd->address)) != 0 &&
        errno != EINPROGRESS) {
        return;
    }
    connection->fd = mb_steal_fd(&fd);
    connection->sent = 0;
    connection->allowed = connection->script->burst_bytes;
    crowd->opened++;
}

/* Closes a connection; those of a kind that reconnects are opened again. */
static void
close_connection(connection_t *connection)
{
    (void)close(connection->fd);
    connection->fd = -1;
}

/* Sends what is next in the script; closes after an error. */
static void
send_next(crowd_t *crowd, connection_t *connection)
{
    const script_t *script = connection->script;
    const mb_buf_t *part = &script->head;
    uint64_t offset = connection->sent;
    if (offset >= script->head.len) {
        part = &script->units;
        offset = (offset - script->head.len) % script->units.len;
    }
    size_t count =
        MIN(part->len - offset, connection->allowed - connection->sent);
    ssize_t sent =
        send(connection->fd, part->data + offset, count, MSG_NOSIGNAL);
    if (sent >= 0) {
        connection->sent += (uint64_t)sent;
        crowd->sent += (uint64_t)sent;
    }
    else if (errno != EAGAIN && errno != ENOTCONN) {
        close_connection(connection);
    }
}

/* Reads and drops what has arrived; closes at its end. */
static void
receive(connection_t *connection)
{
    static char scratch[CHUNK_BYTES];
    ssize_t count = recv(connection->fd, scratch, sizeof(scratch), 0);
    if (count == 0 || (count < 0 && errno != EAGAIN)) {
        close_connection(connection);
    }
}

/* Handles the events of one connection, or opens it again. */
static void
serve_connection(crowd_t *crowd, connection_t *connection, short events)
{
    const kind_t *kind = connection->script->kind;
    if (connection->fd < 0) {
        if (kind->reconnects) {
            open_connection(crowd, connection);
        }
        return;
    }
    if (events & (POLLIN | POLLERR | POLLHUP)) {
        receive(connection);
    }
    if (connection->fd >= 0 && (events & POLLOUT) &&
        connection->sent < connection->allowed) {
        send_next(crowd, connection);
    }
    if (connection->fd >= 0 && kind->reconnects &&
        connection->sent == connection->allowed) {
        close_connection(connection);
    }
}

/* Lets the connections send the next part of what they send slowly. */
static void
allow_drip(crowd_t *crowd)
{
    for (size_t i = 0; i < crowd->count; i++) {
        connection_t *connection = &crowd->connections[i];
        if (connection->sent == connection->allowed) {
            connection->allowed += connection->script->drip_bytes;
        }
    }
}

/* Waits for events of all connections and handles them. */
static void
serve_all(crowd_t *crowd)
{
    for (size_t i = 0; i < crowd->count; i++) {
        const connection_t *connection = &crowd->connections[i];
        short events = connection->script->kind->reads ? POLLIN : 0;
        if (connection->sent < connection->allowed) {
            events |= POLLOUT;
        }
        crowd->polls[i] = (struct pollfd){connection->fd, events, 0};
    }
    (void)poll(crowd->polls, crowd->count, POLL_MS);
    for (size_t i = 0; i < crowd->count; i++) {
        serve_connection(crowd, &crowd->connections[i],
                         crowd->polls[i].revents);
    }
}

/* Opens the connections, holds them for `hold_ms` and closes them. */
static void
play(crowd_t *crowd, uint64_t hold_ms)
{
    mb_clock_t clock = mb_clock_monotonic();
    uint64_t end_ms = mb_clock_ms(&clock) + hold_ms;
    uint64_t drip_ms = mb_clock_ms(&clock) + DRIP_INTERVAL_MS;
    for (size_t i = 0; i < crowd->count; i++) {
        open_connection(crowd, &crowd->connections[i]);
    }
    while (mb_clock_ms(&clock) < end_ms) {
        serve_all(crowd);
        if (mb_clock_ms(&clock) >= drip_ms) {
            drip_ms += DRIP_INTERVAL_MS;
            allow_drip(crowd);
        }
    }
    size_t open = 0;
    for (size_t i = 0; i < crowd->count; i++) {
        open += crowd->connections[i].fd >= 0;
    }
    (void)printf("opened=%" G_GUINT64_FORMAT " sent_kb=%" G_GUINT64_FORMAT
                 " open=%zu\n",
                 crowd->opened, crowd->sent / 1024, open);
}

/* Assigns the scripts of a kind to the connections; false if there is no such
   kind. */
static bool
assign_scripts(crowd_t *crowd, const char *name)
{
    bool mixed = strcmp(name, "mixed") == 0;
    size_t chosen = 0;
    while (!mixed && chosen < G_N_ELEMENTS(kinds) &&
           strcmp(kinds[chosen].name, name) != 0) {
        chosen++;
    }
    if (chosen == G_N_ELEMENTS(kinds)) {
        return false;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        init_script(crowd, &kinds[i], &crowd->scripts[i]);
    }
    for (size_t i = 0; i < crowd->count; i++) {
        crowd->connections[i] = (connection_t){
            &crowd->scripts[mixed ? i % MIXED_KINDS : chosen], -1, 0, 0};
    }
    return true;
}

int
main(int argc, char **argv)
{
    struct arg_str *address = arg_str1("a", "address", "IPv4:port", "server");
    struct arg_str *kind = arg_str1("k", "kind", "KIND", "behaviour");
    struct arg_int *count = arg_int1("n", "connections", "N", "connections");
    struct arg_int *bytes = arg_int1("b", "bytes", "N", "size of a body");
    struct arg_int *hold = arg_int1("s", "seconds", "N", "time to hold them");
    struct arg_str *target = arg_str1("t", "target", "PATH", "request target");
    struct arg_str *host = arg_str0("H", "host", "NAME", "Host header");
    struct arg_end *end = arg_end(8);
    void *table[] = {address, kind, count, bytes, hold, target, host, end};
    static crowd_t crowd;
    uint32_t ip;
    uint16_t port;
    if (arg_parse(argc, argv, table) > 0 ||
        !mb_address_parse(mb_str_from_cstr(address->sval[0]), &ip, &port)) {
        arg_print_errors(stderr, end, "standin-crowd");
        return 2;
    }
    crowd.address = (struct sockaddr_in){.sin_family = AF_INET,
                                         .sin_port = htons(port),
                                         .sin_addr.s_addr = htonl(ip)};
    crowd.target = target->sval[0];
    crowd.host = host->count > 0 ? host->sval[0] : "crowd.example";
    crowd.bytes = (uint64_t)bytes->ival[0];
    crowd.count = (size_t)count->ival[0];
    crowd.connections = g_new0(connection_t, crowd.count);
    crowd.polls = g_new0(struct pollfd, crowd.count);
    if (!assign_scripts(&crowd, kind->sval[0])) {
        (void)fprintf(stderr, "standin-crowd: unknown kind\n");
        return 2;
    }
    play(&crowd, (uint64_t)hold->ival[0] * MB_MS_PER_S);
    arg_freetable(table, G_N_ELEMENTS(table));
    return 0;
}
