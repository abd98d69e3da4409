/* review-front: the front of an unhealthy executor, which fails part of its
   requests. Forwards HTTP/1.1 requests with a Content-Length to the executor.
   Of each hundred requests it carries out RESET and then resets the channel
   without a response, and answers BUSY with 503 without carrying them out.
   SIGUSR1 makes it begin to fail requests, SIGUSR2 makes it healthy again.
   Prints one line for each failed run-start.

   review-front ADDRESS EXECUTOR RESET BUSY */
#include <arpa/inet.h>
#include <ctype.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "mb_link.h"
#include "mb_settings.h"

#define MESSAGE_MAX (8u * 1024u * 1024u)

static volatile sig_atomic_t failing;
static uint32_t executor_ip;
static uint16_t executor_port;
static unsigned reset_percent;
static unsigned busy_percent;

static void
set_failing(int number)
{
    failing = number == SIGUSR1;
}

static unsigned long long
unix_ms(void)
{
    struct timespec now;
    (void)clock_gettime(CLOCK_REALTIME, &now);
    return (unsigned long long)now.tv_sec * 1000u +
           (unsigned long long)now.tv_nsec / 1000000u;
}

/* Reads one message, head and body, into `out`. Returns false at the end of
   the connection. */
static bool
read_message(int fd, GString *out)
{
    g_string_set_size(out, 0);
    size_t needed = 0;
    while (needed == 0 || out->len < needed) {
        char part[16384];
        ssize_t count = recv(fd, part, sizeof(part), 0);
        if (count <= 0 || out->len > MESSAGE_MAX) {
            return false;
        }
        (void)g_string_append_len(out, part, count);
        const char *end = strstr(out->str, "\r\n\r\n");
        if (needed == 0 && end != NULL) {
            g_autofree char *head =
                g_ascii_strdown(out->str, end - out->str + 2);
            const char *length = strstr(head, "\r\ncontent-length:");
            needed = (size_t)(end - out->str) + 4;
            needed += length == NULL ? 0 : strtoull(length + 17, NULL, 10);
        }
    }
    return true;
}

static bool
send_all(int fd, const char *data, size_t len)
{
    while (len > 0) {
        ssize_t count = send(fd, data, len, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        data += count;
        len -= (size_t)count;
    }
    return true;
}

/* Connects to the executor; returns -1 if that fails. */
static int
connect_executor(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(executor_port)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_addr.s_addr = htonl(executor_ip);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        (void)close(fd);
        return -1;
    }
    return fd;
}

static void
note(const GString *request, const char *what)
{
    const char *body = strstr(request->str, "\r\n\r\n");
    if (strstr(request->str, "/api/run-start") != NULL && body != NULL) {
        const char *task = strstr(body, "\"task\":\"");
        (void)printf("%llu front %s task=%.*s\n", unix_ms(), what,
                     task == NULL ? 0 : (int)strcspn(task + 8, "\""),
                     task == NULL ? "" : task + 8);
        (void)fflush(stdout);
    }
}

/* Serves one connection of the agent. */
static gpointer
serve(gpointer data)
{
    static const char busy[] = "HTTP/1.1 503 Service Unavailable\r\n"
                               "Content-Length: 0\r\n\r\n";
    int fd = GPOINTER_TO_INT(data);
    int server = connect_executor();
    g_autoptr(GString) request = g_string_new(NULL);
    g_autoptr(GString) response = g_string_new(NULL);
    struct linger reset = {1, 0};
    while (server >= 0 && read_message(fd, request)) {
        unsigned draw = (unsigned)g_random_int_range(0, 100);
        bool reset_it = failing && draw < reset_percent;
        bool busy_it =
            failing && !reset_it && draw < reset_percent + busy_percent;
        if (busy_it) {
            note(request, "answered_503");
            if (!send_all(fd, busy, sizeof(busy) - 1)) {
                break;
            }
            continue;
        }
        if (!send_all(server, request->str, request->len) ||
            !read_message(server, response)) {
            break;
        }
        if (reset_it) {
            note(request, "reset_after_it_was_carried_out");
            (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            break;
        }
        if (!send_all(fd, response->str, response->len)) {
            break;
        }
    }
    (void)close(fd);
    (void)close(server);
    return NULL;
}

int
main(int argc, char **argv)
{
    uint32_t ip;
    uint16_t port;
    if (argc != 5 ||
        !mb_address_parse(mb_str_from_cstr(argv[1]), &ip, &port) ||
        !mb_address_parse(mb_str_from_cstr(argv[2]), &executor_ip,
                          &executor_port)) {
        (void)fprintf(stderr,
                      "usage: review-front ADDRESS EXECUTOR RESET BUSY\n");
        return 2;
    }
    reset_percent = (unsigned)strtoul(argv[3], NULL, 10);
    busy_percent = (unsigned)strtoul(argv[4], NULL, 10);
    (void)signal(SIGUSR1, set_failing);
    (void)signal(SIGUSR2, set_failing);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    int one = 1;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_addr.s_addr = htonl(ip);
    (void)setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(listener, 128) != 0) {
        perror("review-front");
        return 1;
    }
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        if (fd >= 0) {
            g_thread_unref(g_thread_new("serve", serve, GINT_TO_POINTER(fd)));
        }
    }
}
