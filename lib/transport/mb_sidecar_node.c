#include "mb_sidecar_node.h"

#include <string.h>
#include <time.h>

#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_settings.h"
#include "mb_sidecar_link.h"

/* Interval at which links, credits and deadlines are checked, in
   milliseconds. */
#define TICK_INTERVAL_MS 50
/* Maximum number of tasks in the mailbox of the loop. */
#define MAILBOX_CAPACITY 1024
/* Interval at which a drain checks whether it is complete, in nanoseconds. */
#define DRAIN_POLL_NS 5000000L
/* Number of idle ticks in a row after which a drain ends. The second one makes
   sure that the last response has left the socket. */
#define DRAIN_IDLE_TICKS 2
/* Maximum duration of a drain, in milliseconds: the grace period, the longest
   deadline of a request and a margin. */
#define DRAIN_MAX_MS 605000u
/* Weight of the newest sample in moving averages, 1 / 8, as a bit shift. */
#define AVERAGE_SHIFT 3

/* A request in progress at the upstream. */
typedef struct call {
    mb_sidecar_node_t *node;
    mb_request_id_t id;
    uint64_t started_us;
} call_t;

static uint64_t
now_us(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_us(&clock);
}

/* Sends a message to the entry process that sent a request, on its current
   connection, which may be another one than that of the request. Without a
   connection the message is dropped: the entry queries the outcome on the next
   one. */
static void
send_to_source(mb_sidecar_node_t *node, const mb_request_id_t *id,
               const mb_message_t *message)
{
    for (uint32_t i = 0; i < node->entry_count; i++) {
        mb_sidecar_entry_t *entry = &node->entries[i];
        if (mb_sidecar_entry_is_attached(entry) &&
            entry->process == id->process &&
            entry->incarnation == id->incarnation) {
            mb_sidecar_entry_send(entry, message);
            return;
        }
    }
}

/* Sends REFUSED: a request was not run and will not be. */
static void
send_refused(void *context, const mb_request_id_t *id, mb_kind_t reason)
{
    mb_sidecar_node_t *node = context;
    mb_message_t message;
    message.type = MB_MESSAGE_REFUSED;
    message.body.refused = (mb_refused_t){*id, reason};
    mb_counter_add(node->metrics.refused, 1);
    send_to_source(node, id, &message);
}

/* Sends RESPONSE, a complete response in a single part. */
static void
send_response(void *context, const mb_response_t *response)
{
    mb_message_t message;
    message.type = MB_MESSAGE_RESPONSE;
    message.body.response = *response;
    send_to_source(context, &response->id, &message);
}

/* Sends OUTCOME, the answer to an outcome query. */
static void
send_outcome(void *context, const mb_request_id_t *id,
             mb_outcome_state_t state)
{
    mb_message_t message;
    message.type = MB_MESSAGE_OUTCOME;
    message.body.outcome = (mb_outcome_t){*id, state};
    send_to_source(context, id, &message);
}

/* Fills in the response of the upstream. If it is not complete or exceeds a
   limit, fills in the HTTP status of the failure (502 or 504) and a header
   which says that the request may have run. */
static void
fill_response(const mb_request_id_t *id, const mb_http_result_t *result,
              mb_response_t *response)
{
    mb_kind_t kind = result->kind;
    response->id = *id;
    response->last = true;
    if (kind == MB_KIND_COUNT &&
        mb_message_fits(MB_STR_EMPTY, MB_STR_EMPTY, &result->headers,
                        result->body)) {
        response->status = result->status;
        response->headers = result->headers;
        response->body = result->body;
        return;
    }
    if (kind == MB_KIND_COUNT) {
        kind = MB_KIND_UPSTREAM_FAILED;
    }
    response->status = (uint32_t)mb_kind_info(kind)->http_status;
    response->headers.count = 1;
    response->headers.items[0] = (mb_header_t){
        MB_STR_LIT("X-Magnoliabarrow-Run"), MB_STR_LIT("unknown")};
    response->body = MB_STR_EMPTY;
}

static void split_credits(mb_sidecar_node_t *node);

/* Withdraws all credits until the upstream accepts connections again. */
static void
set_upstream_down(mb_sidecar_node_t *node)
{
    if (!node->upstream_down) {
        node->upstream_down = true;
        mb_log_warning(&node->log, "upstream refuses connections address=%.*s",
                       MB_STR_ARG(mb_buf_view(&node->upstream)));
        split_credits(node);
    }
}

/* Checks whether an upstream that was down accepts connections again. */
static void
probe_upstream(mb_sidecar_node_t *node)
{
    if (node->upstream_down && mb_tcp_probe_poll(&node->probe)) {
        node->upstream_down = false;
        mb_log_notice(&node->log, "upstream accepts connections again");
    }
}

/* Callback of the HTTP client: records the result of a call. The request was
   not run if the upstream refused the connection. */
static void
call_done(void *context, const mb_http_result_t *result)
{
    call_t *call = context;
    mb_sidecar_node_t *node = call->node;
    uint64_t latency_us = now_us() - call->started_us;
    mb_request_id_t id = call->id;
    g_free(call);
    mb_histogram_record(node->metrics.latency, latency_us);
    node->upstream_latency_us = node->upstream_latency_us -
                                (node->upstream_latency_us >> AVERAGE_SHIFT) +
                                (latency_us >> AVERAGE_SHIFT);
    if (result->kind != MB_KIND_COUNT) {
        mb_counter_add(node->metrics.failed, 1);
    }
    if (result->kind == MB_KIND_UNAVAILABLE) {
        set_upstream_down(node);
        mb_slots_request_not_run(&node->slots, &id, MB_KIND_UNAVAILABLE);
        return;
    }
    mb_response_t response;
    fill_response(&id, result, &response);
    mb_slots_request_finished(&node->slots, &response);
}

/* Deferred callback: refuses the requests that could not be sent to the
   upstream. start_call can't do so itself, because it is a callback of
   mb_slots_t, which must not be called back into. */
static void
refuse_not_started(void *context)
{
    mb_sidecar_node_t *node = context;
    g_autoptr(GArray) ids = node->not_started;
    node->not_started = g_array_new(FALSE, FALSE, sizeof(mb_request_id_t));
    for (guint i = 0; i < ids->len; i++) {
        mb_slots_request_not_run(&node->slots,
                                 &g_array_index(ids, mb_request_id_t, i),
                                 MB_KIND_UNAVAILABLE);
    }
}

/* Callback of mb_slots_t: sends a request to the upstream. */
static void
start_call(void *context, const mb_request_t *request)
{
    mb_sidecar_node_t *node = context;
    MB_AUTO_BUF mb_buf_t url = {0};
    call_t *call = g_new0(call_t, 1);
    *call = (call_t){node, request->id, now_us()};
    mb_buf_append_cstr(&url, "http://");
    mb_buf_append(&url, mb_buf_view(&node->upstream));
    if (!mb_str_starts_with(request->path, MB_STR_LIT("/"))) {
        mb_buf_append_byte(&url, '/');
    }
    mb_buf_append(&url, request->path);
    mb_http_call_t http = {
        .method = request->method,
        .url = mb_buf_view(&url),
        .headers = &request->headers,
        .body = request->body,
        .timeout_ms = request->deadline_ms > 0 ? request->deadline_ms : 1,
        .idempotent = request->idempotent,
        .done = call_done,
        .context = call,
    };
    if (!mb_http_client_call(&node->client, &http)) {
        g_free(call);
        (void)g_array_append_val(node->not_started, request->id);
        mb_loop_defer(&node->loop, &node->refuse_deferred);
        return;
    }
    mb_counter_add(node->metrics.started, 1);
}

/* Sends CREDIT: how many requests an entry may have in flight here. */
static void
send_credit(mb_sidecar_entry_t *entry, uint32_t granted)
{
    mb_sidecar_node_t *node = entry->node;
    mb_message_t message;
    entry->granted = granted;
    message.type = MB_MESSAGE_CREDIT;
    message.body.credit = (mb_credit_t){
        .granted = granted,
        .utilisation_percent = node->slots.active * 100 / node->config.slots,
        .latency_us = (uint32_t)node->upstream_latency_us,
    };
    mb_sidecar_entry_send(entry, &message);
}

/* Splits the credits among the attached entries in proportion to their demand,
   and tells those whose share has changed. Reduced shares are sent first, so
   that their sum does not exceed the limit. */
static void
split_credits(mb_sidecar_node_t *node)
{
    mb_sidecar_entry_t *attached[MB_SIDECAR_ENTRIES_MAX];
    uint64_t demand[MB_SIDECAR_ENTRIES_MAX] = {0};
    uint32_t grants[MB_SIDECAR_ENTRIES_MAX];
    uint32_t count = 0;
    for (uint32_t i = 0; i < node->entry_count; i++) {
        if (mb_sidecar_entry_is_attached(&node->entries[i])) {
            attached[count] = &node->entries[i];
            demand[count++] = node->entries[i].demand;
        }
    }
    mb_slots_compute_credits(&node->slots, demand, count, grants);
    if (node->upstream_down) {
        memset(grants, 0, sizeof(grants));
    }
    for (uint32_t i = 0; i < count; i++) {
        if (grants[i] < attached[i]->granted) {
            send_credit(attached[i], grants[i]);
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        if (grants[i] > attached[i]->granted) {
            send_credit(attached[i], grants[i]);
        }
    }
}

/* Grants credits to an entry with a new connection, or tells it of the
   drain. */
void
mb_sidecar_node_handle_attached(mb_sidecar_entry_t *entry)
{
    mb_message_t drain = {.type = MB_MESSAGE_DRAIN};
    if (entry->node->slots.draining) {
        mb_sidecar_entry_send(entry, &drain);
        return;
    }
    split_credits(entry->node);
}

/* Handles a message on the current connection of an entry. */
void
mb_sidecar_node_handle_message(mb_sidecar_entry_t *entry,
                               const mb_message_t *message)
{
    mb_slots_t *slots = &entry->node->slots;
    const mb_outcome_ask_t *ask = &message->body.outcome_ask;
    switch (message->type) {
    case MB_MESSAGE_REQUEST:
        entry->arrived++;
        mb_slots_submit(slots, &message->body.request);
        break;
    case MB_MESSAGE_OUTCOME_ASK:
        for (uint32_t i = 0; i < ask->count; i++) {
            mb_slots_query_outcome(slots, &ask->ids[i]);
        }
        break;
    case MB_MESSAGE_CANCEL:
        mb_slots_cancel(slots, &message->body.cancel);
        break;
    default:
        break;
    }
}

/* Returns whether no request runs or waits and all messages have been sent. */
static bool
is_idle(const mb_sidecar_node_t *node)
{
    size_t unsent = 0;
    for (uint32_t i = 0; i < node->entry_count; i++) {
        unsent += mb_sidecar_entry_count_unsent(&node->entries[i]);
    }
#ifdef MB_MUTANT_DRAIN_DOES_NOT_WAIT
    return unsent < SIZE_MAX;
#endif
    return unsent == 0 && node->slots.active == 0 &&
           node->slots.waiting.count == 0;
}

/* Periodic callback: checks links and deadlines, and updates demand and
   credits. */
static void
tick(void *context)
{
    mb_sidecar_node_t *node = context;
    uint64_t now_ms = now_us() / MB_US_PER_MS;
    for (uint32_t i = 0; i < node->entry_count; i++) {
        mb_sidecar_entry_t *entry = &node->entries[i];
        mb_sidecar_entry_tick(entry, now_ms);
        entry->demand =
            entry->demand - (entry->demand >> AVERAGE_SHIFT) + entry->arrived;
        entry->arrived = 0;
    }
    mb_slots_tick(&node->slots);
    probe_upstream(node);
    if (!node->slots.draining) {
        split_credits(node);
    }
    bool idle = is_idle(node) && node->slots.draining &&
                now_us() >= node->slots.drain_end_us;
    mb_atomic_store(&node->idle_ticks, idle ? node->idle_ticks + 1 : 0);
}

/* Registers the metrics of the role. */
static void
add_metrics(mb_sidecar_metrics_t *metrics, mb_counters_t *counters)
{
    metrics->started =
        mb_counters_add(counters, MB_METRIC_COUNTER, "mb_upstream_calls_total",
                        "Requests sent to the upstream.");
    metrics->refused =
        mb_counters_add(counters, MB_METRIC_COUNTER, "mb_refused_total",
                        "Requests refused and never run.");
    metrics->failed = mb_counters_add(
        counters, MB_METRIC_COUNTER, "mb_upstream_failures_total",
        "Requests without a whole response of the upstream.");
    metrics->latency =
        mb_counters_add(counters, MB_METRIC_HISTOGRAM, "mb_upstream_seconds",
                        "Time of requests at the upstream.");
}

/* Initializes request scheduling, with a queue as long as there are slots. */
static void
init_slots(mb_sidecar_node_t *node)
{
    mb_clock_t clock = mb_clock_monotonic();
    mb_slots_config_t config = {
        .slots = node->config.slots,
        .queue_limit = node->config.slots,
        .outcomes_max = MB_SLOTS_OUTCOMES_MAX,
        .response_bytes_max = MB_SLOTS_RESPONSE_BYTES_MAX,
    };
    mb_slots_callbacks_t callbacks = {start_call, send_refused, send_response,
                                      send_outcome, node};
    mb_slots_init(&node->slots, &config, &clock, &callbacks);
    node->not_started = g_array_new(FALSE, FALSE, sizeof(mb_request_id_t));
    node->refuse_deferred =
        (mb_loop_deferred_t){refuse_not_started, node, NULL, false};
}

/* Starts the role and its thread. */
bool
mb_sidecar_node_init(mb_sidecar_node_t *node,
                     const mb_sidecar_config_t *config,
                     mb_counters_t *counters, const mb_log_t *log,
                     GError **error)
{
    memset(node, 0, sizeof(*node));
    node->config = *config;
    mb_buf_set(&node->service, config->service);
    mb_buf_set(&node->upstream, config->upstream);
    mb_buf_set(&node->failure_domain, config->failure_domain);
    node->log = mb_log_for(log, "sidecar");
    add_metrics(&node->metrics, counters);
    init_slots(node);
    uint32_t ip;
    uint16_t port;
    if (!mb_address_parse(config->upstream, &ip, &port)) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "upstream_address: must be IPv4:port");
        return false;
    }
    mb_tcp_probe_init(&node->probe, ip, port);
    if (!mb_sidecar_parse_entries(node, config->entries, error) ||
        !mb_loop_init(&node->loop, MAILBOX_CAPACITY, error) ||
        !mb_http_client_init(&node->client, &node->loop, config->slots,
                             MB_BODY_MAX, error)) {
        return false;
    }
    mb_loop_set_tick(&node->loop, TICK_INTERVAL_MS, tick, node);
    return mb_loop_start(&node->loop, error);
}

/* A task that begins a drain. */
typedef struct drain_task {
    mb_loop_task_t task;
    mb_sidecar_node_t *node;
} drain_task_t;

/* Task on the loop thread: begins the drain and tells all entries. */
static void
announce_drain(mb_loop_task_t *task)
{
    drain_task_t *drain = (drain_task_t *)task;
    mb_message_t message = {.type = MB_MESSAGE_DRAIN};
    mb_slots_drain(&drain->node->slots);
    for (uint32_t i = 0; i < drain->node->entry_count; i++) {
        mb_sidecar_entry_send(&drain->node->entries[i], &message);
    }
    g_free(drain);
}

/* Posts the beginning of the drain, then waits until the loop thread reports
   idle ticks after the grace period, or the maximum duration has passed. */
void
mb_sidecar_node_drain(mb_sidecar_node_t *node)
{
    drain_task_t *drain = g_new0(drain_task_t, 1);
    struct timespec pause = {0, DRAIN_POLL_NS};
    uint64_t latest = now_us() + (uint64_t)DRAIN_MAX_MS * MB_US_PER_MS;
    drain->task.run = announce_drain;
    drain->node = node;
    (void)mb_loop_post(&node->loop, &drain->task);
    while (mb_atomic_load(&node->idle_ticks) < DRAIN_IDLE_TICKS &&
           now_us() < latest) {
        (void)nanosleep(&pause, NULL);
    }
}

/* Ends the thread and releases everything; after mb_sidecar_node_drain. */
void
mb_sidecar_node_finish(mb_sidecar_node_t *node)
{
    mb_loop_stop(&node->loop);
    for (uint32_t i = 0; i < node->entry_count; i++) {
        mb_sidecar_entry_finish(&node->entries[i]);
    }
    mb_tcp_probe_finish(&node->probe);
    mb_http_client_finish(&node->client);
    mb_loop_finish(&node->loop);
    mb_slots_finish(&node->slots);
    g_array_unref(node->not_started);
    mb_buf_finish(&node->service);
    mb_buf_finish(&node->upstream);
    mb_buf_finish(&node->failure_domain);
}
