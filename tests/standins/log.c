/* standin-log: takes the place of the platform's log service. Keeps streams
   in memory and drops records after the retention time. Faults are switched
   on by POST /admin/set?KEY=VALUE:
     outage=off|503|silent   refuse or never answer
     delay_ms=N              answer N ms late
     lose_acks=N             write the next N appends, but never answer them
     expire=NAME             drop all records of a stream now
   GET /admin/stats answers the number of appends written. */
#include <argtable2.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>

#include "mb_cleanup.h"
#include "mb_http_server.h"
#include "mb_log_msg.h"
#include "mb_settings.h"
#include "mb_uri.h"

/* Longest wait of a read, in milliseconds. */
#define WAIT_MAX_MS 30000
/* A request that is never answered is ended after this time. */
#define SILENT_MS 20000
/* Bytes of records in one answer, unless the first is larger. */
#define PAGE_BYTES_MAX (1024u * 1024u)
/* Most records and largest record of the stand-in. */
#define RECORDS_MAX 4000000u
#define RECORD_BYTES_MAX (128u * 1024u)

typedef struct stored {
    mb_buf_t bytes;
    uint64_t time_ms;
} stored_t;

typedef struct stream {
    GArray *records; /* stored_t; index is the offset */
    uint64_t earliest;
} stream_t;

typedef enum pending_type {
    PENDING_READ,
    PENDING_DELAYED,
    PENDING_SILENT
} pending_type_t;

/* A request that is answered later. */
typedef struct pending {
    pending_type_t type;
    mb_http_exchange_t *exchange;
    uint64_t due_ms;
} pending_t;

typedef enum outage { OUTAGE_OFF, OUTAGE_503, OUTAGE_SILENT } outage_t;

/* The whole stand-in; `lock` guards everything. */
typedef struct log_service {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    pthread_t thread;
    bool stopping;
    GHashTable *streams;
    GPtrArray *pending;
    uint64_t retention_ms;
    outage_t outage;
    uint64_t delay_ms;
    uint64_t lose_acks;
    uint64_t appends;
    uint64_t record_count;
} log_service_t;

/* Returns the time of day in milliseconds. */
static uint64_t
now_ms(void)
{
    struct timespec now;
    (void)clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

/* Frees a stream. */
static void
free_stream(void *memory)
{
    stream_t *stream = memory;
    for (guint i = 0; i < stream->records->len; i++) {
        mb_buf_finish(&g_array_index(stream->records, stored_t, i).bytes);
    }
    g_array_unref(stream->records);
    g_free(stream);
}

/* Finds or makes a stream. */
static stream_t *
stream_of(log_service_t *service, mb_str_t name)
{
    g_autofree char *key = mb_str_to_cstr(name);
    stream_t *stream = g_hash_table_lookup(service->streams, key);
    if (stream == NULL) {
        stream = g_new0(stream_t, 1);
        stream->records = g_array_new(FALSE, TRUE, sizeof(stored_t));
        (void)g_hash_table_insert(service->streams, g_steal_pointer(&key),
                                  stream);
    }
    return stream;
}

/* Drops the records that are older than a time. */
static void
expire(stream_t *stream, uint64_t before_ms)
{
    while (stream->earliest < stream->records->len) {
        stored_t *stored =
            &g_array_index(stream->records, stored_t, stream->earliest);
        if (stored->time_ms >= before_ms) {
            return;
        }
        mb_buf_finish(&stored->bytes);
        stream->earliest++;
    }
}

/* Holds a request back. */
static void
hold(log_service_t *service, pending_type_t type, mb_http_exchange_t *exchange,
     uint64_t wait_ms)
{
    pending_t *pending = g_new0(pending_t, 1);
    *pending = (pending_t){type, exchange, now_ms() + wait_ms};
    g_ptr_array_add(service->pending, pending);
    (void)pthread_cond_broadcast(&service->changed);
}

/* Splits /v1/streams/NAME/records; false for any other path. */
static bool
stream_name(mb_str_t uri, mb_str_t *name)
{
    mb_str_t path = mb_uri_path(uri);
    mb_str_t prefix = MB_STR_LIT("/v1/streams/");
    if (!mb_str_starts_with(path, prefix)) {
        return false;
    }
    path = (mb_str_t){path.data + prefix.len, path.len - prefix.len};
    return mb_str_split(&path, '/', name) && name->len > 0 &&
           mb_str_equal(path, MB_STR_LIT("records"));
}

/* Writes a record and acknowledges it, unless the switch says otherwise. */
static void
append(log_service_t *service, mb_http_exchange_t *exchange, mb_str_t name)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    stream_t *stream = stream_of(service, name);
    mb_str_t bytes = mb_http_body(exchange);
    stored_t stored = {.time_ms = now_ms()};
    if (bytes.len > RECORD_BYTES_MAX) {
        mb_http_respond_error(exchange, MB_KIND_TOO_LARGE,
                              MB_STR_LIT("record too large"));
        return;
    }
    if (service->record_count >= RECORDS_MAX) {
        mb_http_respond_error(exchange, MB_KIND_UNAVAILABLE,
                              MB_STR_LIT("log is full"));
        return;
    }
    mb_buf_set(&stored.bytes, bytes);
    mb_log_offset_encode(&body, stream->records->len);
    g_array_append_val(stream->records, stored);
    service->record_count++;
    service->appends++;
    (void)pthread_cond_broadcast(&service->changed);
    if (service->lose_acks > 0) {
        service->lose_acks--;
        hold(service, PENDING_SILENT, exchange, SILENT_MS);
        return;
    }
    mb_http_respond(exchange, 200, NULL, mb_buf_view(&body));
}

/* Answers 410 with the earliest offset that is left. */
static void
answer_expired(mb_http_exchange_t *exchange, const stream_t *stream)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_log_page_t page = {stream->earliest, 0, 0, NULL};
    mb_log_page_encode(&body, &page);
    mb_http_respond(exchange, 410, NULL, mb_buf_view(&body));
}

/* Answers with the records from an offset on. */
static void
answer_page(mb_http_exchange_t *exchange, const stream_t *stream,
            uint64_t from, uint64_t max)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    size_t bytes = 0;
    g_autofree mb_log_entry_t *entries = g_new0(mb_log_entry_t, max + 1);
    mb_log_page_t page = {stream->earliest, stream->records->len, 0, entries};
    for (uint64_t i = from; i < page.next && page.count < max; i++) {
        const stored_t *stored = &g_array_index(stream->records, stored_t, i);
        bytes += stored->bytes.len;
        if (page.count > 0 && bytes > PAGE_BYTES_MAX) {
            break;
        }
        entries[page.count++] =
            (mb_log_entry_t){i, stored->time_ms, mb_buf_view(&stored->bytes)};
    }
    mb_log_page_encode(&body, &page);
    mb_http_respond(exchange, 200, NULL, mb_buf_view(&body));
}

/* Answers a read; false when it should wait for records. */
static bool
answer_read(log_service_t *service, mb_http_exchange_t *exchange,
            bool may_wait, uint64_t *wait_ms)
{
    mb_str_t uri = mb_http_uri(exchange);
    mb_str_t name;
    uint64_t from = 0;
    uint64_t max = 1000;
    *wait_ms = 0;
    if (!stream_name(uri, &name) ||
        !mb_uri_get_parameter_u64(uri, MB_STR_LIT("from"), &from) ||
        !mb_uri_get_parameter_u64(uri, MB_STR_LIT("max"), &max) ||
        !mb_uri_get_parameter_u64(uri, MB_STR_LIT("wait_ms"), wait_ms)) {
        mb_http_respond_error(exchange, MB_KIND_INVALID, MB_STR_LIT("query"));
        return true;
    }
    stream_t *stream = stream_of(service, name);
    expire(stream, now_ms() - service->retention_ms);
    *wait_ms = MIN(*wait_ms, WAIT_MAX_MS);
    if (from < stream->earliest) {
        answer_expired(exchange, stream);
        return true;
    }
    if (from >= stream->records->len && *wait_ms > 0 && may_wait) {
        return false;
    }
    answer_page(exchange, stream, from,
                CLAMP(max, 1, MB_LOG_PAGE_RECORDS_MAX));
    return true;
}

/* Serves a request of the log's interface. */
static void
serve_stream(log_service_t *service, mb_http_exchange_t *exchange)
{
    mb_str_t name;
    uint64_t wait_ms = 0;
    if (!stream_name(mb_http_uri(exchange), &name)) {
        mb_http_respond_error(exchange, MB_KIND_NOT_FOUND, MB_STR_LIT("path"));
    }
    else if (mb_str_equal(mb_http_method(exchange), MB_STR_LIT("POST"))) {
        append(service, exchange, name);
    }
    else if (!answer_read(service, exchange, true, &wait_ms)) {
        hold(service, PENDING_READ, exchange, wait_ms);
    }
}

/* Sets the switches that a request names. */
static bool
set_switches(log_service_t *service, mb_str_t uri)
{
    static const char *const outages[] = {"off", "503", "silent"};
    mb_str_t text;
    if (mb_uri_get_parameter(uri, MB_STR_LIT("outage"), &text)) {
        for (int i = 0; i < 3; i++) {
            if (mb_str_equal(text, mb_str_from_cstr(outages[i]))) {
                service->outage = (outage_t)i;
            }
        }
    }
    if (mb_uri_get_parameter(uri, MB_STR_LIT("expire"), &text)) {
        expire(stream_of(service, text), UINT64_MAX);
    }
    return mb_uri_get_parameter_u64(uri, MB_STR_LIT("delay_ms"),
                                    &service->delay_ms) &&
           mb_uri_get_parameter_u64(uri, MB_STR_LIT("lose_acks"),
                                    &service->lose_acks);
}

/* Serves a request of the tests. */
static void
serve_admin(log_service_t *service, mb_http_exchange_t *exchange)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    if (!set_switches(service, mb_http_uri(exchange))) {
        mb_http_respond_error(exchange, MB_KIND_INVALID, MB_STR_LIT("value"));
        return;
    }
    mb_buf_printf(&body, "{\"appends\":%" G_GUINT64_FORMAT "}\n",
                  service->appends);
    mb_http_respond(exchange, 200, NULL, mb_buf_view(&body));
}

/* Applies the switches to a request, then serves it. */
static void
handle(void *context, mb_http_exchange_t *exchange)
{
    log_service_t *service = context;
    (void)pthread_mutex_lock(&service->lock);
    if (mb_str_starts_with(mb_http_uri(exchange), MB_STR_LIT("/admin/"))) {
        serve_admin(service, exchange);
    }
    else if (service->outage == OUTAGE_503) {
        mb_http_respond_error(exchange, MB_KIND_UNAVAILABLE,
                              MB_STR_LIT("outage"));
    }
    else if (service->outage == OUTAGE_SILENT) {
        hold(service, PENDING_SILENT, exchange, SILENT_MS);
    }
    else if (service->delay_ms > 0) {
        hold(service, PENDING_DELAYED, exchange, service->delay_ms);
    }
    else {
        serve_stream(service, exchange);
    }
    (void)pthread_mutex_unlock(&service->lock);
}

/* Serves a held request when it is time or records came; true when done. */
static bool
serve_pending(log_service_t *service, const pending_t *pending)
{
    uint64_t wait_ms;
    bool due = service->stopping || now_ms() >= pending->due_ms;
    if (pending->type == PENDING_READ) {
        return answer_read(service, pending->exchange, !due, &wait_ms);
    }
    if (!due) {
        return false;
    }
    if (pending->type == PENDING_DELAYED && !service->stopping) {
        serve_stream(service, pending->exchange);
        return true;
    }
    mb_http_respond_error(pending->exchange, MB_KIND_UNKNOWN_OUTCOME,
                          MB_STR_LIT("not answered"));
    return true;
}

/* Serves what can be served; returns when the next is due. */
static uint64_t
serve_all_pending(log_service_t *service)
{
    uint64_t next_ms = now_ms() + 1000;
    for (guint i = 0; i < service->pending->len;) {
        pending_t *pending = g_ptr_array_index(service->pending, i);
        if (serve_pending(service, pending)) {
            (void)g_ptr_array_remove_index(service->pending, i);
            continue;
        }
        next_ms = MIN(next_ms, pending->due_ms);
        i++;
    }
    return next_ms;
}

/* The thread that serves held requests. */
static void *
run_pending(void *context)
{
    log_service_t *service = context;
    (void)pthread_mutex_lock(&service->lock);
    while (!service->stopping || service->pending->len > 0) {
        uint64_t next_ms = serve_all_pending(service);
        struct timespec until = {(time_t)(next_ms / 1000),
                                 (long)(next_ms % 1000) * 1000000L};
        if (!service->stopping) {
            (void)pthread_cond_timedwait(&service->changed, &service->lock,
                                         &until);
        }
    }
    (void)pthread_mutex_unlock(&service->lock);
    return NULL;
}

/* Serves until SIGTERM or SIGINT. */
static int
serve(const char *address, uint64_t retention_ms)
{
    static mb_http_server_t server;
    static log_service_t service;
    g_autoptr(GError) error = NULL;
    sigset_t signals;
    int received;
    mb_http_server_config_t config = {.threads = 4,
                                      .max_connections = 1024,
                                      .idle_timeout_s = 120,
                                      .handle = handle,
                                      .context = &service};
    service.retention_ms = retention_ms;
    service.streams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_stream);
    service.pending = g_ptr_array_new_with_free_func(g_free);
    (void)pthread_mutex_init(&service.lock, NULL);
    (void)pthread_cond_init(&service.changed, NULL);
    (void)sigemptyset(&signals);
    (void)sigaddset(&signals, SIGTERM);
    (void)sigaddset(&signals, SIGINT);
    (void)pthread_sigmask(SIG_BLOCK, &signals, NULL);
    if (!mb_address_parse(mb_str_from_cstr(address), &config.ip,
                          &config.port) ||
        !mb_http_server_init(&server, &config, &error)) {
        (void)fprintf(stderr, "standin-log: cannot listen on %s\n", address);
        return 2;
    }
    (void)pthread_create(&service.thread, NULL, run_pending, &service);
    (void)sigwait(&signals, &received);
    (void)pthread_mutex_lock(&service.lock);
    service.stopping = true;
    (void)pthread_cond_broadcast(&service.changed);
    (void)pthread_mutex_unlock(&service.lock);
    (void)pthread_join(service.thread, NULL);
    mb_http_server_finish(&server);
    return 0;
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_str *listen = arg_str1("l", "listen", "IPv4:port", "address");
    struct arg_int *retention = arg_int0(
        "r", "retention-ms", "N", "how long records are kept; default 1 h");
    struct arg_end *end = arg_end(8);
    void *table[] = {help, listen, retention, end};
    int errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        (void)printf("Usage: standin-log");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-24s %s\n");
        return 0;
    }
    if (errors > 0) {
        arg_print_errors(stderr, end, "standin-log");
        return 2;
    }
    return serve(listen->sval[0], retention->count > 0
                                      ? (uint64_t)retention->ival[0]
                                      : UINT64_C(3600000));
}
