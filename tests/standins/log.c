/* standin-log: takes the place of the platform's log service. Keeps streams
   in memory and removes records after the retention time. Faults are injected
   by POST /admin/set?KEY=VALUE:
     outage=off|503|silent   answer requests with 503, or not at all
     delay_ms=N              process requests N ms late
     lose_acks=N             write the next N appends, but don't answer them
     expire=NAME             remove all records of a stream now
   GET /admin/stats answers with the number of appends written. A request that
   is not answered ends with an error after SILENT_MS. */
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

/* Maximum time that a read waits for records, in milliseconds. */
#define WAIT_MAX_MS 30000
/* Time after which a request that is not answered ends, in milliseconds. */
#define SILENT_MS 20000
/* Maximum size of the records in one response, in bytes. The first record is
   returned even if it is larger. */
#define PAGE_BYTES_MAX (1024u * 1024u)
/* Maximum number of records in all streams ever, and maximum size of a record
   in bytes. */
#define RECORDS_MAX 4000000u
#define RECORD_BYTES_MAX (128u * 1024u)

typedef struct stored_record {
    mb_buf_t bytes;
    uint64_t time_ms; /* when it was appended */
} stored_record_t;

typedef struct stream {
    GArray *records;   /* stored_record_t; the index is the offset */
    uint64_t earliest; /* offset of the first record that is not removed */
} stream_t;

typedef enum pending_type {
    PENDING_READ,    /* waits for records */
    PENDING_DELAYED, /* to be processed when due */
    PENDING_SILENT   /* to be ended with an error when due */
} pending_type_t;

/* A request that is answered later. */
typedef struct pending {
    pending_type_t type;
    mb_http_exchange_t *exchange;
    uint64_t due_ms; /* when it is answered at the latest */
} pending_t;

typedef enum outage { OUTAGE_OFF, OUTAGE_503, OUTAGE_SILENT } outage_t;

/* The state of the log service; `lock` guards everything. */
typedef struct log_service {
    pthread_mutex_t lock;
    pthread_cond_t changed; /* signals a new record or pending request */
    pthread_t thread;       /* runs run_pending */
    bool stopping;
    GHashTable *streams; /* name -> stream_t */
    GPtrArray *pending;  /* pending_t */
    uint64_t retention_ms;
    outage_t outage;
    uint64_t delay_ms;     /* of every request of clients */
    uint64_t lose_acks;    /* number of appends left whose answer is lost */
    uint64_t appends;      /* number of appends written */
    uint64_t record_count; /* number of records appended to all streams */
} log_service_t;

/* Returns the time of the real-time clock. */
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
        mb_buf_finish(
            &g_array_index(stream->records, stored_record_t, i).bytes);
    }
    g_array_unref(stream->records);
    g_free(stream);
}

/* Returns the stream with a name. Creates it if it does not exist. */
static stream_t *
get_stream(log_service_t *service, mb_str_t name)
{
    g_autofree char *key = mb_str_to_cstr(name);
    stream_t *stream = g_hash_table_lookup(service->streams, key);
    if (stream == NULL) {
        stream = g_new0(stream_t, 1);
        stream->records = g_array_new(FALSE, TRUE, sizeof(stored_record_t));
        (void)g_hash_table_insert(service->streams, g_steal_pointer(&key),
                                  stream);
    }
    return stream;
}

/* Removes the records of a stream that were appended before a time. */
static void
remove_records_before(stream_t *stream, uint64_t before_ms)
{
    while (stream->earliest < stream->records->len) {
        stored_record_t *stored_record =
            &g_array_index(stream->records, stored_record_t, stream->earliest);
        if (stored_record->time_ms >= before_ms) {
            return;
        }
        mb_buf_finish(&stored_record->bytes);
        stream->earliest++;
    }
}

/* Leaves a request to the thread of pending requests, for up to `wait_ms`. */
static void
add_pending(log_service_t *service, pending_type_t type,
            mb_http_exchange_t *exchange, uint64_t wait_ms)
{
    pending_t *pending = g_new0(pending_t, 1);
    *pending = (pending_t){type, exchange, now_ms() + wait_ms};
    g_ptr_array_add(service->pending, pending);
    (void)pthread_cond_broadcast(&service->changed);
}

/* Sets *name to NAME of a path /v1/streams/NAME/records. Returns false for any
   other path. */
static bool
parse_stream_name(mb_str_t uri, mb_str_t *name)
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

/* Appends a record and answers with its offset, unless the acknowledgement is
   to be lost. */
static void
process_append(log_service_t *service, mb_http_exchange_t *exchange,
               mb_str_t name)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    stream_t *stream = get_stream(service, name);
    mb_str_t bytes = mb_http_body(exchange);
    stored_record_t stored_record = {.time_ms = now_ms()};
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
    mb_buf_set(&stored_record.bytes, bytes);
    mb_log_offset_encode(&body, stream->records->len);
    g_array_append_val(stream->records, stored_record);
    service->record_count++;
    service->appends++;
    (void)pthread_cond_broadcast(&service->changed);
    if (service->lose_acks > 0) {
        service->lose_acks--;
        add_pending(service, PENDING_SILENT, exchange, SILENT_MS);
        return;
    }
    mb_http_respond(exchange, 200, NULL, mb_buf_view(&body));
}

/* Answers a read of removed records with 410 and the earliest offset. */
static void
respond_expired(mb_http_exchange_t *exchange, const stream_t *stream)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_log_page_t page = {stream->earliest, 0, 0, NULL};
    mb_log_page_encode(&body, &page);
    mb_http_respond(exchange, 410, NULL, mb_buf_view(&body));
}

/* Answers with up to `max` records from an offset on. */
static void
respond_page(mb_http_exchange_t *exchange, const stream_t *stream,
             uint64_t from, uint64_t max)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    size_t bytes = 0;
    g_autofree mb_log_entry_t *entries = g_new0(mb_log_entry_t, max + 1);
    mb_log_page_t page = {stream->earliest, stream->records->len, 0, entries};
    for (uint64_t i = from; i < page.next && page.count < max; i++) {
        const stored_record_t *stored_record =
            &g_array_index(stream->records, stored_record_t, i);
        bytes += stored_record->bytes.len;
        if (page.count > 0 && bytes > PAGE_BYTES_MAX) {
            break;
        }
        entries[page.count++] = (mb_log_entry_t){
            i, stored_record->time_ms, mb_buf_view(&stored_record->bytes)};
    }
    mb_log_page_encode(&body, &page);
    mb_http_respond(exchange, 200, NULL, mb_buf_view(&body));
}

/* Answers a read. Returns false, and sets *wait_ms, if it is to wait for
   records instead, which it does only if `may_wait`. */
static bool
process_read(log_service_t *service, mb_http_exchange_t *exchange,
             bool may_wait, uint64_t *wait_ms)
{
    mb_str_t uri = mb_http_uri(exchange);
    mb_str_t name;
    uint64_t from = 0;
    uint64_t max = 1000;
    *wait_ms = 0;
    if (!parse_stream_name(uri, &name) ||
        !mb_uri_get_parameter_u64(uri, MB_STR_LIT("from"), &from) ||
        !mb_uri_get_parameter_u64(uri, MB_STR_LIT("max"), &max) ||
        !mb_uri_get_parameter_u64(uri, MB_STR_LIT("wait_ms"), wait_ms)) {
        mb_http_respond_error(exchange, MB_KIND_INVALID, MB_STR_LIT("query"));
        return true;
    }
    stream_t *stream = get_stream(service, name);
    remove_records_before(stream, now_ms() - service->retention_ms);
    *wait_ms = MIN(*wait_ms, WAIT_MAX_MS);
    if (from < stream->earliest) {
        respond_expired(exchange, stream);
        return true;
    }
    if (from >= stream->records->len && *wait_ms > 0 && may_wait) {
        return false;
    }
    respond_page(exchange, stream, from,
                 CLAMP(max, 1, MB_LOG_PAGE_RECORDS_MAX));
    return true;
}

/* Handles a request of a client of the log. */
static void
handle_stream_request(log_service_t *service, mb_http_exchange_t *exchange)
{
    mb_str_t name;
    uint64_t wait_ms = 0;
    if (!parse_stream_name(mb_http_uri(exchange), &name)) {
        mb_http_respond_error(exchange, MB_KIND_NOT_FOUND, MB_STR_LIT("path"));
    }
    else if (mb_str_equal(mb_http_method(exchange), MB_STR_LIT("POST"))) {
        process_append(service, exchange, name);
    }
    else if (!process_read(service, exchange, true, &wait_ms)) {
        add_pending(service, PENDING_READ, exchange, wait_ms);
    }
}

/* Sets the faults that the query of a request names. Returns false if a number
   is invalid. */
static bool
set_faults(log_service_t *service, mb_str_t uri)
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
        remove_records_before(get_stream(service, text), UINT64_MAX);
    }
    return mb_uri_get_parameter_u64(uri, MB_STR_LIT("delay_ms"),
                                    &service->delay_ms) &&
           mb_uri_get_parameter_u64(uri, MB_STR_LIT("lose_acks"),
                                    &service->lose_acks);
}

/* Handles a request of a test: sets faults and answers with the statistics. */
static void
handle_admin_request(log_service_t *service, mb_http_exchange_t *exchange)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    if (!set_faults(service, mb_http_uri(exchange))) {
        mb_http_respond_error(exchange, MB_KIND_INVALID, MB_STR_LIT("value"));
        return;
    }
    mb_buf_printf(&body, "{\"appends\":%" G_GUINT64_FORMAT "}\n",
                  service->appends);
    mb_http_respond(exchange, 200, NULL, mb_buf_view(&body));
}

/* Handles a request on a thread of the server, subject to the faults that are
   set. */
static void
handle(void *context, mb_http_exchange_t *exchange)
{
    log_service_t *service = context;
    (void)pthread_mutex_lock(&service->lock);
    if (mb_str_starts_with(mb_http_uri(exchange), MB_STR_LIT("/admin/"))) {
        handle_admin_request(service, exchange);
    }
    else if (service->outage == OUTAGE_503) {
        mb_http_respond_error(exchange, MB_KIND_UNAVAILABLE,
                              MB_STR_LIT("outage"));
    }
    else if (service->outage == OUTAGE_SILENT) {
        add_pending(service, PENDING_SILENT, exchange, SILENT_MS);
    }
    else if (service->delay_ms > 0) {
        add_pending(service, PENDING_DELAYED, exchange, service->delay_ms);
    }
    else {
        handle_stream_request(service, exchange);
    }
    (void)pthread_mutex_unlock(&service->lock);
}

/* Answers a pending request if it is due, or a read if there are records.
   Returns whether it was answered. */
static bool
answer_if_due(log_service_t *service, const pending_t *pending)
{
    uint64_t wait_ms;
    bool due = service->stopping || now_ms() >= pending->due_ms;
    if (pending->type == PENDING_READ) {
        return process_read(service, pending->exchange, !due, &wait_ms);
    }
    if (!due) {
        return false;
    }
    if (pending->type == PENDING_DELAYED && !service->stopping) {
        handle_stream_request(service, pending->exchange);
        return true;
    }
    mb_http_respond_error(pending->exchange, MB_KIND_UNKNOWN_OUTCOME,
                          MB_STR_LIT("not answered"));
    return true;
}

/* Answers the pending requests that are due and the reads that have records.
   Returns when to try again if nothing changes: when the next is due, and
   after 1 s at the latest. */
static uint64_t
answer_all_due(log_service_t *service)
{
    uint64_t next_ms = now_ms() + 1000;
    for (guint i = 0; i < service->pending->len;) {
        pending_t *pending = g_ptr_array_index(service->pending, i);
        if (answer_if_due(service, pending)) {
            (void)g_ptr_array_remove_index(service->pending, i);
            continue;
        }
        next_ms = MIN(next_ms, pending->due_ms);
        i++;
    }
    return next_ms;
}

/* The thread that answers pending requests. Ends when the service stops and
   none is left. */
static void *
run_pending(void *context)
{
    log_service_t *service = context;
    (void)pthread_mutex_lock(&service->lock);
    while (!service->stopping || service->pending->len > 0) {
        uint64_t next_ms = answer_all_due(service);
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

/* Runs the log service until SIGTERM or SIGINT. Returns the exit code. */
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
