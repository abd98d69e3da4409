/* standin-upstream: an HTTP server that takes the place of an upstream.
   Answers every request with a JSON object that contains its name and the
   method, path and body of the request. For a path /sleep/MS the answer is
   delayed by MS milliseconds. With --journal, a line with the method and body
   of each request is appended to a file when its handling starts, so that
   tests can count how often a request ran. */
#include <argtable2.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "mb_cleanup.h"
#include "mb_http_server.h"
#include "mb_settings.h"

/* Maximum delay in a path, in milliseconds; a longer one is ignored. */
#define SLEEP_MAX_MS 60000
/* Maximum number of concurrently delayed answers; further ones wait in a queue
   before their delay starts. */
#define SLEEPERS_MAX 64

/* Context of the handlers of requests. */
typedef struct upstream {
    const char *name;      /* in answers */
    int journal_fd;        /* -1: none */
    GThreadPool *sleepers; /* threads that delay answers */
} upstream_t;

/* Appends a line to the journal. A single write() in append mode, so that
   lines of concurrent requests are not mixed. */
static void
append_to_journal(const upstream_t *upstream,
                  const mb_http_exchange_t *exchange)
{
    MB_AUTO_BUF mb_buf_t line = {0};
    if (upstream->journal_fd >= 0) {
        mb_buf_printf(&line, "%.*s %.*s\n",
                      MB_STR_ARG(mb_http_method(exchange)),
                      MB_STR_ARG(mb_http_body(exchange)));
        (void)!write(upstream->journal_fd, line.data, line.len);
    }
}

/* Returns the delay that a path requests, in milliseconds; 0 for none. */
static uint64_t
parse_delay_ms(mb_str_t uri)
{
    mb_str_t prefix = MB_STR_LIT("/sleep/");
    uint64_t delay = 0;
    if (!mb_str_starts_with(uri, prefix)) {
        return 0;
    }
    mb_str_t rest = {uri.data + prefix.len, uri.len - prefix.len};
    if (!mb_str_to_u64(rest, &delay) || delay > SLEEP_MAX_MS) {
        return 0;
    }
    return delay;
}

/* Answers a request after its delay, as GFunc. */
static void
answer(void *data, void *context)
{
    mb_http_exchange_t *exchange = data;
    const upstream_t *upstream = context;
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_headers_t headers = {.count = 1};
    mb_str_t uri = mb_http_uri(exchange);
    uint64_t delay_ms = parse_delay_ms(uri);
    if (delay_ms > 0) {
        (void)usleep((useconds_t)(delay_ms * 1000));
    }
    headers.items[0] = (mb_header_t){MB_STR_LIT("Content-Type"),
                                     MB_STR_LIT("application/json")};
    mb_buf_printf(&body, "{\"upstream\":\"%s\",\"method\":\"%.*s\",",
                  upstream->name, MB_STR_ARG(mb_http_method(exchange)));
    mb_buf_printf(&body, "\"path\":\"%.*s\",\"body\":\"%.*s\"}\n",
                  MB_STR_ARG(uri), MB_STR_ARG(mb_http_body(exchange)));
    mb_http_respond(exchange, 200, &headers, mb_buf_view(&body));
}

/* Handles a request on a thread of the server. A delayed answer is left to
   another thread, because a delay here would also delay the other connections
   that this thread serves. */
static void
handle(void *context, mb_http_exchange_t *exchange)
{
    upstream_t *upstream = context;
    append_to_journal(upstream, exchange);
    if (parse_delay_ms(mb_http_uri(exchange)) == 0) {
        answer(exchange, upstream);
        return;
    }
    (void)g_thread_pool_push(upstream->sleepers, exchange, NULL);
}

/* Runs the server until SIGTERM or SIGINT. Returns the exit code. */
static int
serve(const char *address, upstream_t *upstream, uint32_t threads)
{
    static mb_http_server_t server;
    g_autoptr(GError) error = NULL;
    sigset_t signals;
    int received;
    mb_http_server_config_t config = {.threads = threads,
                                      .max_connections = 1024,
                                      .idle_timeout_s = 120,
                                      .handle = handle,
                                      .context = upstream};
    if (!mb_address_parse(mb_str_from_cstr(address), &config.ip,
                          &config.port)) {
        (void)fprintf(stderr,
                      "standin-upstream: the address must be IPv4:port\n");
        return 2;
    }
    (void)sigemptyset(&signals);
    (void)sigaddset(&signals, SIGTERM);
    (void)sigaddset(&signals, SIGINT);
    (void)pthread_sigmask(SIG_BLOCK, &signals, NULL);
    upstream->sleepers =
        g_thread_pool_new(answer, upstream, SLEEPERS_MAX, FALSE, NULL);
    if (!mb_http_server_init(&server, &config, &error)) {
        (void)fprintf(stderr, "standin-upstream: %s\n", error->message);
        return mb_kind_info(mb_error_kind(error))->exit_code;
    }
    (void)sigwait(&signals, &received);
    g_thread_pool_free(upstream->sleepers, FALSE, TRUE);
    mb_http_server_finish(&server);
    return 0;
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_str *listen = arg_str1("l", "listen", "IPv4:port", "address");
    struct arg_str *name = arg_str0("n", "name", "NAME", "name in answers");
    struct arg_int *threads = arg_int0("t", "threads", "N", "default 8");
    struct arg_file *journal = arg_file0(
        "j", "journal", "FILE", "file to which requests are appended");
    struct arg_end *end = arg_end(8);
    void *table[] = {help, listen, name, threads, journal, end};
    int errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        (void)printf("Usage: standin-upstream");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-24s %s\n");
        return 0;
    }
    if (errors > 0) {
        arg_print_errors(stderr, end, "standin-upstream");
        return 2;
    }
    upstream_t upstream = {name->count > 0 ? name->sval[0] : "upstream", -1,
                           NULL};
    if (journal->count > 0) {
        upstream.journal_fd =
            open(journal->filename[0],
                 O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        if (upstream.journal_fd < 0) {
            (void)fprintf(stderr,
                          "standin-upstream: cannot open the journal\n");
            return mb_kind_info(MB_KIND_IO)->exit_code;
        }
    }
    int code = serve(listen->sval[0], &upstream,
                     threads->count > 0 ? (uint32_t)threads->ival[0] : 8);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
