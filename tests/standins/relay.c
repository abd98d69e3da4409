/* standin-relay: a TCP proxy that injects network faults. Forwards connections
   to one address. Commands, one per line on standard input, set what it does:
     silent     forward nothing on the connections that are open now, without
                closing them; new ones work
     pass       forward again on all connections
     delay MS   forward bytes received from now on MS milliseconds later
     rate N     forward at most N bytes per millisecond in each direction, over
                all connections; 0: without a limit
     cut        close all connections
   Each command is acknowledged by a line on standard output. The relay ends
   with the end of standard input. */
#include <argtable2.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mb_cleanup.h"
#include "mb_clock.h"
#include "mb_link.h"
#include "mb_settings.h"

/* Maximum number of connections; further ones wait to be accepted. */
#define PAIRS_MAX 64
/* Maximum size of a chunk in bytes, and maximum number of chunks queued in one
   direction. While the queue is full, nothing more is received. */
#define CHUNK_BYTES 16384
#define CHUNKS_MAX 64
/* Maximum time in poll(), in milliseconds. */
#define WAIT_MS 1000

/* Bytes received from one side and not yet sent to the other. */
typedef struct chunk {
    uint64_t due_ms; /* when they may be sent */
    size_t sent;     /* number of bytes that were sent */
    size_t len;
    char data[CHUNK_BYTES];
} chunk_t;

/* A forwarded connection. Index 0 is the side of the client, which connected
   to the relay, index 1 that of the server. */
typedef struct pair {
    int fds[2];
    bool silent;      /* forward nothing */
    bool ended;       /* a side has closed its socket, or it failed */
    GQueue chunks[2]; /* chunk_t, by the side they were received from */
} pair_t;

typedef struct relay {
    int listen_fd;
    uint32_t ip; /* of the server */
    uint16_t port;
    uint64_t delay_ms;
    uint64_t rate; /* in bytes per millisecond; 0: unlimited */
    /* When the link has carried what was received from each side, in
       microseconds. */
    uint64_t link_free_us[2];
    GPtrArray *pairs; /* pair_t */
} relay_t;

/* Returns the time of the monotonic clock. */
static uint64_t
now_ms(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_ms(&clock);
}

/* Closes both sides of a connection and frees it. */
static void
free_pair(void *context)
{
    pair_t *pair = context;
    for (int side = 0; side < 2; side++) {
        (void)close(pair->fds[side]);
        g_queue_clear_full(&pair->chunks[side], g_free);
    }
    g_free(pair);
}

/* Accepts a connection of a client and connects to the server. If that fails,
   the client's connection is closed. */
static void
accept_pair(relay_t *relay)
{
    int client_fd = mb_tcp_accept(relay->listen_fd);
    int server_fd =
        client_fd < 0 ? -1 : mb_tcp_connect(relay->ip, relay->port, NULL);
    if (server_fd < 0) {
        if (client_fd >= 0) {
            (void)close(client_fd);
        }
        return;
    }
    pair_t *pair = g_new0(pair_t, 1);
    pair->fds[0] = client_fd;
    pair->fds[1] = server_fd;
    g_ptr_array_add(relay->pairs, pair);
}

/* Executes one command. Any word other than "cut", "delay", "rate" and
   "silent" acts as "pass". */
static void
execute_command(relay_t *relay, mb_str_t line)
{
    mb_str_t word = MB_STR_EMPTY;
    line = mb_str_trim(line);
    (void)mb_str_split(&line, ' ', &word);
    if (mb_str_equal(word, MB_STR_LIT("cut"))) {
        g_ptr_array_set_size(relay->pairs, 0);
    }
    else if (mb_str_equal(word, MB_STR_LIT("delay"))) {
        (void)mb_str_to_u64(line, &relay->delay_ms);
    }
    else if (mb_str_equal(word, MB_STR_LIT("rate"))) {
        (void)mb_str_to_u64(line, &relay->rate);
    }
    else {
        bool silent = mb_str_equal(word, MB_STR_LIT("silent"));
        for (guint i = 0; i < relay->pairs->len; i++) {
            ((pair_t *)g_ptr_array_index(relay->pairs, i))->silent = silent;
        }
    }
    (void)printf("ok %.*s\n", MB_STR_ARG(word));
    (void)fflush(stdout);
}

/* Reads and executes commands. A short line that is written at once arrives at
   once through a pipe, so lines are never partial. Returns false at the end of
   standard input. */
static bool
read_commands(relay_t *relay)
{
    char text[256];
    ssize_t count = read(STDIN_FILENO, text, sizeof(text));
    if (count <= 0) {
        return false;
    }
    mb_str_t rest = {text, (size_t)count};
    mb_str_t line;
    while (mb_str_split(&rest, '\n', &line)) {
        if (line.len > 0) {
            execute_command(relay, line);
        }
    }
    return true;
}

/* Returns when the link has carried `bytes` more from one side, in
   milliseconds. */
static uint64_t
schedule_bytes(relay_t *relay, int side, size_t bytes)
{
    uint64_t now_us = now_ms() * MB_US_PER_MS;
    if (relay->rate == 0) {
        return now_us / MB_US_PER_MS;
    }
    relay->link_free_us[side] = MAX(relay->link_free_us[side], now_us) +
                                bytes * MB_US_PER_MS / relay->rate;
    return relay->link_free_us[side] / MB_US_PER_MS;
}

/* Receives a chunk from one side. */
static void
receive_chunk(relay_t *relay, pair_t *pair, int side)
{
    chunk_t *chunk = g_new0(chunk_t, 1);
    ssize_t count = recv(pair->fds[side], chunk->data, CHUNK_BYTES, 0);
    if (count <= 0) {
        pair->ended =
            pair->ended || count == 0 || (errno != EAGAIN && errno != EINTR);
        g_free(chunk);
        return;
    }
    chunk->len = (size_t)count;
    chunk->due_ms = schedule_bytes(relay, side, chunk->len) + relay->delay_ms;
    g_queue_push_tail(&pair->chunks[side], chunk);
}

/* Sends the chunks from one side that are due to the other side. */
static void
send_chunks(pair_t *pair, int from)
{
    chunk_t *chunk;
    while ((chunk = g_queue_peek_head(&pair->chunks[from])) != NULL &&
           chunk->due_ms <= now_ms()) {
        ssize_t count = send(pair->fds[1 - from], chunk->data + chunk->sent,
                             chunk->len - chunk->sent, MSG_NOSIGNAL);
        if (count < 0) {
            pair->ended = pair->ended || (errno != EAGAIN && errno != EINTR);
            return;
        }
        chunk->sent += (size_t)count;
        if (chunk->sent < chunk->len) {
            return;
        }
        g_free(g_queue_pop_head(&pair->chunks[from]));
    }
}

/* Sets the events to poll for on one side: data to receive, and room to send
   if a chunk is due. Returns the time until the next chunk from this side is
   due, in milliseconds, at most WAIT_MS. */
static int
prepare_poll(const pair_t *pair, int side, struct pollfd *poll_fd)
{
    const chunk_t *received = g_queue_peek_head((GQueue *)&pair->chunks[side]);
    const chunk_t *to_send =
        g_queue_peek_head((GQueue *)&pair->chunks[1 - side]);
    uint64_t now = now_ms();
    *poll_fd = (struct pollfd){.fd = pair->fds[side]};
    if (pair->silent) {
        poll_fd->fd = -1;
        return WAIT_MS;
    }
    poll_fd->events = pair->chunks[side].length < CHUNKS_MAX ? POLLIN : 0;
    if (to_send != NULL && to_send->due_ms <= now) {
        poll_fd->events |= POLLOUT;
    }
    if (received != NULL && received->due_ms > now) {
        return (int)MIN(received->due_ms - now, (uint64_t)WAIT_MS);
    }
    return WAIT_MS;
}

/* Receives and sends on the first `count` connections, which were polled.
   Frees those that have ended. */
static void
serve_pairs(relay_t *relay, const struct pollfd *poll_fds, guint count)
{
    for (guint i = count; i-- > 0;) {
        pair_t *pair = g_ptr_array_index(relay->pairs, i);
        for (int side = 0; side < 2 && !pair->silent; side++) {
            if (poll_fds[i * 2 + (guint)side].revents & ~POLLOUT) {
                receive_chunk(relay, pair, side);
            }
            send_chunks(pair, side);
        }
        if (pair->ended) {
            (void)g_ptr_array_remove_index_fast(relay->pairs, i);
        }
    }
}

/* Runs the relay until the end of standard input. */
static void
run(relay_t *relay)
{
    struct pollfd poll_fds[2 + 2 * PAIRS_MAX];
    bool open = true;
    while (open) {
        guint count = relay->pairs->len;
        int wait = WAIT_MS;
        poll_fds[0] = (struct pollfd){.fd = STDIN_FILENO, .events = POLLIN};
        poll_fds[1] = (struct pollfd){
            .fd = count < PAIRS_MAX ? relay->listen_fd : -1, .events = POLLIN};
        for (guint i = 0; i < count * 2; i++) {
            const pair_t *pair = g_ptr_array_index(relay->pairs, i / 2);
            int due = prepare_poll(pair, (int)(i % 2), &poll_fds[2 + i]);
            wait = MIN(wait, due);
        }
        (void)poll(poll_fds, 2 + count * 2, wait);
        serve_pairs(relay, poll_fds + 2, count);
        if (poll_fds[1].revents != 0) {
            accept_pair(relay);
        }
        if (poll_fds[0].revents != 0) {
            open = read_commands(relay);
        }
    }
}

/* Listens at `from` and forwards to `to`, both IPv4:port. Returns the exit
   code. */
static int
serve(const char *from, const char *to)
{
    relay_t relay = {.pairs = g_ptr_array_new_with_free_func(free_pair)};
    g_autoptr(GError) error = NULL;
    uint32_t ip;
    uint16_t port;
    (void)signal(SIGPIPE, SIG_IGN);
    if (!mb_address_parse(mb_str_from_cstr(from), &ip, &port) ||
        !mb_address_parse(mb_str_from_cstr(to), &relay.ip, &relay.port)) {
        (void)fprintf(stderr,
                      "standin-relay: the addresses must be IPv4:port\n");
        return 2;
    }
    relay.listen_fd = mb_tcp_listen(ip, port, &error);
    if (relay.listen_fd < 0) {
        (void)fprintf(stderr, "standin-relay: %s\n", error->message);
        return mb_kind_info(mb_error_kind(error))->exit_code;
    }
    run(&relay);
    g_ptr_array_unref(relay.pairs);
    (void)close(relay.listen_fd);
    return 0;
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_str *listen = arg_str1("l", "listen", "IPv4:port", "address");
    struct arg_str *to =
        arg_str1("t", "to", "IPv4:port", "address to forward to");
    struct arg_end *end = arg_end(8);
    void *table[] = {help, listen, to, end};
    int errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        (void)printf("Usage: standin-relay");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-24s %s\n");
        return 0;
    }
    if (errors > 0) {
        arg_print_errors(stderr, end, "standin-relay");
        return 2;
    }
    int code = serve(listen->sval[0], to->sval[0]);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
