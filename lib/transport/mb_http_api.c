#include "mb_http_api.h"

#include <string.h>
#include <time.h>

#include "mb_api_jobs.h"
#include "mb_api_watch.h"
#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_dump_json.h"
#include "mb_error_json.h"
#include "mb_prometheus.h"
#include "mb_resource_json.h"
#include "mb_uri.h"

#define THREADS 2
#define CONNECTIONS_MAX 512
/* What the requests of operators may hold, in bytes. */
#define HTTP_BYTES_MAX (16u * 1024u * 1024u)
#define IDLE_TIMEOUT_S 60
/* Polling interval while stopping, in nanoseconds. */
#define STOP_POLL_NS 5000000L
/* Maximum number of polls for open responses: 1 s in total. */
#define STOP_POLLS_MAX 200

/* A write whose outcome is pending. */
typedef struct pending_write {
    mb_http_exchange_t *exchange;
    mb_resource_kind_t kind;
    mb_buf_t name;
} pending_write_t;

/* A request with its parsed target; the views are those of the exchange. */
typedef struct target {
    mb_http_api_t *api;
    mb_http_exchange_t *exchange;
    mb_str_t method;
    mb_resource_kind_t kind;
    mb_str_t name;
} target_t;

/* Responds with a body and the revision of the configuration that it shows. */
void
mb_api_respond(mb_http_exchange_t *exchange, uint32_t status, const char *type,
               uint64_t revision, mb_str_t body)
{
    char number[32];
    mb_headers_t headers = {.count = 2};
    (void)g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, revision);
    headers.items[0] =
        (mb_header_t){MB_STR_LIT("Content-Type"), mb_str_from_cstr(type)};
    headers.items[1] = (mb_header_t){MB_STR_LIT(MB_API_REVISION_HEADER),
                                     mb_str_from_cstr(number)};
    mb_http_respond(exchange, status, &headers, body);
}

/* Adds a pointer to a resource to the GPtrArray `context`. */
static void
collect_resource(void *context, const mb_resource_t *resource)
{
    g_ptr_array_add(context, (void *)resource);
}

/* Compares two resources by name; for g_ptr_array_sort. */
static int
compare_names(const void *a, const void *b)
{
    const mb_resource_t *x = *(mb_resource_t *const *)a;
    const mb_resource_t *y = *(mb_resource_t *const *)b;
    return mb_str_compare(mb_buf_view(&x->name), mb_buf_view(&y->name));
}

/* Handles GET /v1/KIND: all resources of a kind, sorted by name. */
static void
handle_list(const target_t *target)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_config_t *config = target->api->store->config;
    GPtrArray *found = g_ptr_array_new();
    mb_api_jobs_t jobs;
    mb_api_jobs_init(&jobs, target->api, target->kind, target->name);
    mb_epoch_enter(config->epoch);
    const mb_config_version_t *version = mb_config_load(config);
    uint64_t revision = mb_config_revision(version);
    mb_config_each(version, target->kind, collect_resource, found);
    g_ptr_array_sort(found, compare_names);
    mb_buf_printf(&body, "{\"revision\":%" G_GUINT64_FORMAT ",\"items\":[",
                  revision);
    for (guint i = 0; i < found->len; i++) {
        mb_buf_append_cstr(&body, i > 0 ? ",\n" : "\n");
        mb_api_jobs_encode(&body, &jobs, g_ptr_array_index(found, i));
    }
    mb_epoch_leave(config->epoch);
    mb_api_jobs_finish(&jobs);
    mb_buf_append_cstr(&body, "]}\n");
    g_ptr_array_unref(found);
    mb_api_respond(target->exchange, 200, "application/json", revision,
                   mb_buf_view(&body));
}

/* Handles GET /v1/KIND/NAME. */
static void
handle_get(const target_t *target)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_config_t *config = target->api->store->config;
    mb_api_jobs_t jobs;
    mb_api_jobs_init(&jobs, target->api, target->kind, target->name);
    mb_epoch_enter(config->epoch);
    const mb_config_version_t *version = mb_config_load(config);
    uint64_t revision = mb_config_revision(version);
    const mb_resource_t *found =
        mb_config_find(version, target->kind, target->name);
    if (found != NULL) {
        mb_api_jobs_encode(&body, &jobs, found);
        mb_buf_append_byte(&body, '\n');
    }
    mb_epoch_leave(config->epoch);
    mb_api_jobs_finish(&jobs);
    if (body.len == 0) {
        mb_http_respond_error(target->exchange, MB_KIND_NOT_FOUND,
                              MB_STR_LIT("no such resource"));
        return;
    }
    mb_api_respond(target->exchange, 200, "application/json", revision,
                   mb_buf_view(&body));
}

/* Responds 409 with the revision in force. The run header says that the write
   has not taken effect. */
static void
answer_conflict(mb_http_exchange_t *exchange, uint64_t revision)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    char number[32];
    mb_headers_t headers = {.count = 3};
    (void)g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, revision);
    headers.items[0] = (mb_header_t){MB_STR_LIT("Content-Type"),
                                     MB_STR_LIT("application/json")};
    headers.items[1] = (mb_header_t){MB_STR_LIT(MB_API_REVISION_HEADER),
                                     mb_str_from_cstr(number)};
    headers.items[2] =
        (mb_header_t){MB_STR_LIT("X-Magnoliabarrow-Run"), MB_STR_LIT("no")};
    mb_buf_printf(&body,
                  "{\"error\":\"conflict\",\"message\":\"the revision in "
                  "force is %s\",\"revision\":%s}\n",
                  number, number);
    mb_http_respond(exchange, 409, &headers, mb_buf_view(&body));
}

/* Responds to a write with its outcome. Called once, on the thread of the
   handler or of the stream; owns `context`. */
static void
write_done(void *context, const mb_write_outcome_t *outcome)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    pending_write_t *pending = context;
    mb_config_change_t change = {outcome->revision, pending->kind,
                                 mb_buf_view(&pending->name), true};
    mb_str_t kind = mb_resource_kind_name(pending->kind);
    switch (outcome->state) {
    case MB_WRITE_APPLIED:
        mb_buf_printf(&body,
                      "{\"kind\":\"%.*s\",\"name\":\"%.*s\",\"revision\":"
                      "%" G_GUINT64_FORMAT "}\n",
                      MB_STR_ARG(kind), MB_STR_ARG(change.name),
                      change.revision);
        mb_api_respond(pending->exchange, 200, "application/json",
                       change.revision, mb_buf_view(&body));
        break;
    case MB_WRITE_CONFLICT:
        answer_conflict(pending->exchange, outcome->revision);
        break;
    case MB_WRITE_MISSING:
        mb_http_respond_error(pending->exchange, MB_KIND_NOT_FOUND,
                              MB_STR_LIT("no such resource"));
        break;
    case MB_WRITE_NOT_WRITTEN:
        mb_http_respond_error(pending->exchange, MB_KIND_UNAVAILABLE,
                              MB_STR_LIT("the log did not take the write"));
        break;
    case MB_WRITE_UNKNOWN:
        mb_http_respond_error(pending->exchange, MB_KIND_UNKNOWN_OUTCOME,
                              MB_STR_LIT("the write may take effect"));
        break;
    }
    mb_buf_finish(&pending->name);
    g_free(pending);
}

/* Passes a write to the store, which copies it. `resource` is NULL for a
   deletion. */
static void
begin_write(const target_t *target, const mb_resource_t *resource,
            uint64_t expected)
{
    pending_write_t *pending = g_new0(pending_write_t, 1);
    mb_config_write_t write = {
        resource == NULL, target->kind, target->name, expected, 0, resource};
    pending->exchange = target->exchange;
    pending->kind = target->kind;
    mb_buf_set(&pending->name, target->name);
    mb_config_store_write(target->api->store, &write,
                          target->api->config.write_timeout_ms, write_done,
                          pending);
}

/* Parses the revision that a write expects, MB_REVISION_ANY if the request
   states none. Responds and returns false if it is not a number. */
static bool
parse_expected_revision(const target_t *target, uint64_t *expected)
{
    *expected = MB_REVISION_ANY;
    if (mb_uri_get_parameter_u64(mb_http_uri(target->exchange),
                                 MB_STR_LIT("revision"), expected)) {
        return true;
    }
    mb_http_respond_error(target->exchange, MB_KIND_INVALID,
                          MB_STR_LIT("revision: must be a whole number"));
    return false;
}

/* Handles PUT /v1/KIND/NAME. */
static void
handle_put(const target_t *target)
{
    g_autoptr(GError) error = NULL;
    mb_resource_t resource;
    uint64_t expected;
    if (!parse_expected_revision(target, &expected)) {
        return;
    }
    if (!mb_resource_json_decode_as(mb_http_body(target->exchange),
                                    target->kind, target->name, &resource,
                                    &error)) {
        mb_http_respond_error(target->exchange, mb_error_kind(error),
                              mb_str_from_cstr(error->message));
        return;
    }
    begin_write(target, &resource, expected);
    mb_resource_finish(&resource);
}

/* Handles DELETE /v1/KIND/NAME. */
static void
handle_delete(const target_t *target)
{
    uint64_t expected;
    if (parse_expected_revision(target, &expected)) {
        begin_write(target, NULL, expected);
    }
}

/* Handles POST /v1/job/NAME/cancel: writes the job in force again with the
   flag `cancelled` set. The write expects the revision that was read, so it
   fails with a conflict if the job has been written in between. */
static void
handle_cancel(const target_t *target)
{
    mb_config_t *config = target->api->store->config;
    mb_resource_t job;
    mb_epoch_enter(config->epoch);
    const mb_resource_t *found =
        mb_config_find(mb_config_load(config), MB_RESOURCE_JOB, target->name);
    bool ok = found != NULL;
    if (ok) {
        mb_resource_copy(&job, found);
    }
    mb_epoch_leave(config->epoch);
    if (!ok) {
        mb_http_respond_error(target->exchange, MB_KIND_NOT_FOUND,
                              MB_STR_LIT("no such job"));
        return;
    }
    job.spec.job.cancelled = true;
    begin_write(target, &job, job.revision);
    mb_resource_finish(&job);
}

/* Handles GET /v1/explain/JOB. */
static void
handle_explain(mb_http_api_t *api, mb_http_exchange_t *exchange, mb_str_t job)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    if (api->callbacks.explain == NULL ||
        !api->callbacks.explain(api->callbacks.context, job, &body)) {
        mb_http_respond_error(exchange, MB_KIND_UNAVAILABLE,
                              MB_STR_LIT("the job is not known here"));
        return;
    }
    mb_api_respond(exchange, 200, "application/json", 0, mb_buf_view(&body));
}

/* Appends the state of all modules as JSON. Called on any thread. */
void
mb_http_api_dump(mb_http_api_t *api, mb_buf_t *out)
{
    mb_dump_json_write(out, api->dumps, api->dump_count);
}

/* Handles a request for resources; `rest` is the path after the kind. Returns
   false, without a response, if there is no such kind, path or method. */
static bool
handle_resource(target_t *target, mb_str_t kind_name, mb_str_t rest)
{
    bool is_get = mb_str_equal(target->method, MB_STR_LIT("GET"));
    if (!mb_resource_kind_from_name(kind_name, &target->kind)) {
        return false;
    }
    (void)mb_str_split(&rest, '/', &target->name);
    if (rest.len > 0) {
        bool cancel = target->kind == MB_RESOURCE_JOB &&
                      mb_str_equal(rest, MB_STR_LIT("cancel")) &&
                      mb_str_equal(target->method, MB_STR_LIT("POST"));
        if (cancel) {
            handle_cancel(target);
        }
        return cancel;
    }
    if (is_get && target->name.len == 0) {
        handle_list(target);
    }
    else if (is_get) {
        handle_get(target);
    }
    else if (mb_str_equal(target->method, MB_STR_LIT("PUT"))) {
        handle_put(target);
    }
    else if (mb_str_equal(target->method, MB_STR_LIT("DELETE")) &&
             mb_resource_name_valid(target->name)) {
        handle_delete(target);
    }
    else {
        return false;
    }
    return true;
}

/* Handles /v1/PATH. Before the configuration has been read, only a dump is
   served. */
static void
handle_v1(mb_http_api_t *api, mb_http_exchange_t *exchange, mb_str_t path)
{
    target_t target = {api, exchange, mb_http_method(exchange),
                       MB_RESOURCE_SERVICE, MB_STR_EMPTY};
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_str_t first = MB_STR_EMPTY;
    bool is_get = mb_str_equal(target.method, MB_STR_LIT("GET"));
    (void)mb_str_split(&path, '/', &first);
    if (is_get && mb_str_equal(first, MB_STR_LIT("dump"))) {
        mb_http_api_dump(api, &body);
        mb_api_respond(exchange, 200, "application/json", 0,
                       mb_buf_view(&body));
    }
    else if (!api->callbacks.ready(api->callbacks.ready_context)) {
        mb_http_respond_error(exchange, MB_KIND_UNAVAILABLE,
                              MB_STR_LIT("the configuration is being read"));
    }
    else if (is_get && mb_str_equal(first, MB_STR_LIT("watch"))) {
        mb_api_watch_handle(api, exchange);
    }
    else if (is_get && mb_str_equal(first, MB_STR_LIT("explain"))) {
        handle_explain(api, exchange, path);
    }
    else if (!handle_resource(&target, first, path)) {
        mb_http_respond_error(exchange, MB_KIND_NOT_FOUND,
                              MB_STR_LIT("no such path or method"));
    }
}

/* Compares two tokens in a time that depends only on the length of the second
   one, so that the response time does not reveal how much of it is right. */
static bool
token_equal(mb_str_t given, mb_str_t token)
{
    unsigned difference = given.len != token.len;
    for (size_t i = 0; i < token.len; i++) {
        unsigned byte = i < given.len ? (unsigned char)given.data[i] : 0;
        difference |= byte ^ (unsigned char)token.data[i];
    }
    return difference == 0;
}

/* Returns whether a request carries the bearer token, if one is required. */
static bool
is_authorized(const mb_http_api_t *api, const mb_http_exchange_t *exchange)
{
    mb_str_t prefix = MB_STR_LIT("Bearer ");
    mb_str_t given = mb_http_header(exchange, MB_STR_LIT("Authorization"));
#ifdef MB_MUTANT_TOKEN_NOT_CHECKED
    given = (mb_str_t){prefix.data, 0};
    return given.len == 0;
#endif
    if (api->token.len == 0) {
        return true;
    }
    if (!mb_str_starts_with(given, prefix)) {
        return false;
    }
    given.data += prefix.len;
    given.len -= prefix.len;
    return token_equal(given, mb_buf_view(&api->token));
}

/* Handles GET /healthz: 503 before the process is ready for requests and while
   draining. */
static void
handle_health(mb_http_api_t *api, mb_http_exchange_t *exchange)
{
    if (mb_atomic_load(&api->draining) != 0) {
        mb_http_respond_error(exchange, MB_KIND_DRAINING,
                              MB_STR_LIT("draining"));
    }
    else if (!api->callbacks.healthy(api->callbacks.ready_context)) {
        mb_http_respond_error(exchange, MB_KIND_UNAVAILABLE,
                              MB_STR_LIT("starting"));
    }
    else {
        mb_http_respond(exchange, 200, NULL, MB_STR_LIT("ok\n"));
    }
}

/* Calls the handler of a request. All but /healthz require the token. */
static void
route_request(mb_http_api_t *api, mb_http_exchange_t *exchange)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_str_t path = mb_uri_path(mb_http_uri(exchange));
    mb_str_t v1 = MB_STR_LIT("/v1/");
    if (mb_atomic_load(&api->stopping) != 0) {
        mb_http_respond_error(exchange, MB_KIND_DRAINING,
                              MB_STR_LIT("stopping"));
    }
    else if (mb_str_equal(path, MB_STR_LIT("/healthz"))) {
        handle_health(api, exchange);
    }
    else if (!is_authorized(api, exchange)) {
        mb_http_respond_error(exchange, MB_KIND_UNAUTHORIZED,
                              MB_STR_LIT("the bearer token is missing or "
                                         "wrong"));
    }
    else if (mb_str_equal(path, MB_STR_LIT("/metrics"))) {
        mb_prometheus_write(api->counters, &body);
        mb_api_respond(exchange, 200, "text/plain; version=0.0.4", 0,
                       mb_buf_view(&body));
    }
    else if (mb_str_starts_with(path, v1)) {
        handle_v1(api, exchange,
                  (mb_str_t){path.data + v1.len, path.len - v1.len});
    }
    else {
        mb_http_respond_error(exchange, MB_KIND_NOT_FOUND,
                              MB_STR_LIT("no such path"));
    }
}

/* Handles one request, on a thread of the server. Running handlers are counted
   so that mb_http_api_stop can wait for them. */
static void
handle(void *context, mb_http_exchange_t *exchange)
{
    mb_http_api_t *api = context;
    (void)mb_atomic_add(&api->active_handlers, 1);
    route_request(api, exchange);
    (void)mb_atomic_sub(&api->active_handlers, 1);
}

/* Initializes the API without starting the server. Called before the stream of
   the configuration is read, because the API observes the store. `store` and
   `counters` must outlive the API. */
void
mb_http_api_init(mb_http_api_t *api, mb_config_store_t *store,
                 mb_counters_t *counters, const mb_log_t *log,
                 const mb_http_api_callbacks_t *callbacks)
{
    mb_config_observer_t observer = {mb_api_watch_changed, api};
    memset(api, 0, sizeof(*api));
    api->callbacks = *callbacks;
    api->store = store;
    api->counters = counters;
    api->log = mb_log_for(log, "api");
    api->watchers = g_ptr_array_new_with_free_func(g_free);
    (void)pthread_mutex_init(&api->lock, NULL);
    mb_config_store_add_observer(store, &observer);
}

/* Adds a module to the dump. Called before mb_http_api_start. */
void
mb_http_api_add_dump(mb_http_api_t *api, const mb_dump_source_t *source)
{
    g_assert(api->dump_count < MB_API_DUMPS_MAX);
    api->dumps[api->dump_count++] = *source;
}

/* Starts the server. Returns false with the error set on failure. */
bool
mb_http_api_start(mb_http_api_t *api, const mb_http_api_config_t *config,
                  GError **error)
{
    mb_http_server_config_t server = {.ip = config->ip,
                                      .port = config->port,
                                      .threads = THREADS,
                                      .max_connections = CONNECTIONS_MAX,
                                      .idle_timeout_s = IDLE_TIMEOUT_S,
                                      .limits.bytes_max = HTTP_BYTES_MAX,
                                      .name = "api",
                                      .log = &api->log,
                                      .handle = handle,
                                      .context = api};
    api->config = *config;
    mb_buf_set(&api->token, config->token);
    if (!mb_http_server_init(&api->server, &server, error)) {
        return false;
    }
    mb_log_notice(&api->log, "serving operators port=%u", config->port);
    return true;
}

/* Makes /healthz answer 503 from now on. */
void
mb_http_api_set_draining(mb_http_api_t *api)
{
    mb_atomic_store(&api->draining, 1);
}

/* Rejects new requests, waits for running handlers and responds to all
   watchers. Pending writes complete when the stream of the configuration is
   closed. */
void
mb_http_api_stop(mb_http_api_t *api)
{
    struct timespec pause = {0, STOP_POLL_NS};
    mb_atomic_store(&api->stopping, 1);
    if (api->server.daemon != NULL) {
        mb_http_server_quiesce(&api->server);
    }
    while (mb_atomic_load(&api->active_handlers) > 0) {
        (void)nanosleep(&pause, NULL);
    }
    mb_http_api_tick(api);
}

/* Stops the server and releases the API. Called when every pending write has
   completed; waits up to 1 s until their responses are sent. */
void
mb_http_api_finish(mb_http_api_t *api)
{
    struct timespec pause = {0, STOP_POLL_NS};
    if (api->server.daemon != NULL) {
        for (int i = 0;
             i < STOP_POLLS_MAX && mb_http_server_count_open(&api->server) > 0;
             i++) {
            (void)nanosleep(&pause, NULL);
        }
        mb_http_server_finish(&api->server);
    }
    g_ptr_array_unref(api->watchers);
    (void)pthread_mutex_destroy(&api->lock);
    mb_buf_finish(&api->token);
}
