#include "mb_agent_node.h"

#include <string.h>
#include <time.h>

#include "mb_cleanup.h"
#include "mb_prometheus.h"

/* Interval of the tick, in milliseconds. */
#define TICK_MS 25
/* Maximum number of requests queued for the thread of the loop. */
#define MAILBOX_CAPACITY 1024
/* Maximum number of connections from owners. */
#define OWNERS_MAX 32u
/* Maximum number of connections of each HTTP server: the one for the worker
   and the one for metrics. */
#define CONNECTIONS_MAX 32u
/* What the requests on each of these addresses may hold, in bytes. */
#define HTTP_BYTES_MAX (16u * 1024u * 1024u)
/* Idle time after which the HTTP servers close a connection, in seconds. */
#define IDLE_TIMEOUT_S 60u
/* Time without an order and without an announcement after which the agent
   announces its address again, in milliseconds. */
#define ANNOUNCE_INTERVAL_MS 3000u
/* How long a stopping agent keeps running, in milliseconds, so that its last
   report reaches the owner and the last lease reaches the worker. */
#define DRAIN_MS 150u

static const mb_str_t stream_jobs = {"jobs", 4};

/* Schedules a flush for the end of the present batch of events, so that the
   events of a batch share one report. */
static void
defer_flush(mb_agent_node_t *node)
{
    mb_loop_defer(&node->loop, &node->flush);
}

/* Does the work that is due for the worker and the owner, and sends queued
   records to the log. */
static void
run_flush(void *context)
{
    mb_agent_node_t *node = context;
    mb_agent_run(&node->agent);
    mb_journal_run(&node->journal);
}

/* Sends a report on the active connection; implements
   mb_agent_callbacks_t.report. If the send queue is full, the connection is
   closed. */
static void
send_report(void *context, const mb_report_t *report)
{
    mb_agent_node_t *node = context;
    MB_AUTO_BUF mb_buf_t bytes = {0};
    if (node->owner == NULL) {
        return;
    }
    mb_report_encode(&bytes, report);
    mb_message_t message = {.type = MB_MESSAGE_REPORT,
                            .body.packed = mb_buf_view(&bytes)};
    if (!mb_link_send(&node->owner->link, &message)) {
        mb_link_fail(&node->owner->link);
    }
}

/* Closes and frees a connection from an owner. */
static void
close_owner(mb_agent_owner_link_t *owner)
{
    mb_agent_node_t *node = owner->node;
    if (node->owner == owner) {
        node->owner = NULL;
        mb_agent_disconnected(&node->agent);
    }
    mb_link_finish(&owner->link);
    (void)g_ptr_array_remove_fast(node->owners, owner);
    g_free(owner);
}

/* Called when the link has failed or the owner has closed it. */
static void
owner_closed(void *context, mb_link_t *link)
{
    mb_agent_owner_link_t *owner = context;
    if (link->invalid_frame) {
        mb_log_warning(&owner->node->log,
                       "connection to an owner closed: invalid frame");
    }
    close_owner(owner);
}

/* Returns whether an order with a fencing token may be executed. The first
   order on a connection makes it the active one, unless its token is older
   than the highest seen; the connection that was active before is closed.
   Later orders must come on the active connection under the same token. */
static bool
authorize_order(mb_agent_owner_link_t *owner, uint64_t token)
{
    mb_agent_node_t *node = owner->node;
    if (owner->active) {
        return owner == node->owner && token == node->agent.token;
    }
    if (!mb_agent_connected(&node->agent, token)) {
        return false;
    }
    if (node->owner != NULL) {
        mb_link_fail(&node->owner->link);
    }
    owner->active = true;
    node->owner = owner;
    return true;
}

/* Tells a former owner, which may not be able to read the log, of the newer
   token that this agent has seen. Its connection stays open, so that it does
   not connect again and again; it closes when nothing is received any more. */
static void
send_token(mb_agent_owner_link_t *owner)
{
    MB_AUTO_BUF mb_buf_t bytes = {0};
    mb_report_t report;
    mb_report_init(&report);
    report.token = owner->node->agent.token;
    report.agent_incarnation = owner->node->agent.incarnation;
    mb_report_encode(&bytes, &report);
    mb_report_finish(&report);
    mb_message_t message = {.type = MB_MESSAGE_REPORT,
                            .body.packed = mb_buf_view(&bytes)};
    if (!mb_link_send(&owner->link, &message)) {
        mb_link_fail(&owner->link);
    }
}

/* Rejects an order that is not authorized. */
static void
reject_order(mb_agent_owner_link_t *owner, uint64_t token)
{
    if (!owner->active && token < owner->node->agent.token) {
        send_token(owner);
    }
    else {
        mb_link_fail(&owner->link);
    }
}

/* Handles a message of an owner: executes an order of the active one. The
   connection is closed if the order can't be decoded. */
static void
owner_message(void *context, mb_link_t *link, const mb_message_t *message)
{
    mb_agent_owner_link_t *owner = context;
    mb_agent_node_t *node = owner->node;
    g_autoptr(GError) error = NULL;
    if (message->type != MB_MESSAGE_ORDER) {
        return;
    }
    if (!mb_order_decode(&node->decoder, message->body.packed, &error)) {
        mb_log_warning(
            &node->log,
            "invalid order, closing the connection to the owner: %s",
            error->message);
        mb_link_fail(link);
        return;
    }
    if (!authorize_order(owner, node->decoder.order.token)) {
        reject_order(owner, node->decoder.order.token);
        return;
    }
    node->last_order_ms = mb_clock_ms(&node->clock);
    mb_agent_order(&node->agent, &node->decoder.order);
    defer_flush(node);
}

/* Accepts connections from owners; those beyond OWNERS_MAX are closed. */
static void
accept_owners(void *context, uint32_t events)
{
    mb_agent_node_t *node = context;
    int fd;
    (void)events;
    while ((fd = mb_tcp_accept(node->listener.fd)) >= 0) {
        if (node->owners->len >= OWNERS_MAX) {
            (void)close(fd);
            continue;
        }
        mb_agent_owner_link_t *owner = g_new0(mb_agent_owner_link_t, 1);
        mb_link_callbacks_t callbacks = {owner_message, owner_closed, owner};
        owner->node = node;
        if (!mb_link_init(&owner->link, &node->loop, fd, false, &callbacks)) {
            g_free(owner);
            continue;
        }
        g_ptr_array_add(node->owners, owner);
    }
}

/* Handles the result of the append of an announcement. A failure is not
   retried at once; the next announcement is due ANNOUNCE_INTERVAL_MS after
   this one, unless an owner sends an order. */
static void
announce_done(void *context, mb_keyed_result_t result)
{
    mb_agent_node_t *node = context;
    node->append_pending = false;
    if (result != MB_KEYED_OK) {
        mb_log_warning(&node->log,
                       "announcement failed, announcing again later result=%s",
                       mb_keyed_result_name(result));
        return;
    }
    mb_agent_set_departure_recorded(&node->agent, false);
}

/* Handles the result of the append of a departure. After a failure, the owner
   removes the agent once it can't reach it. */
static void
departure_done(void *context, mb_keyed_result_t result)
{
    mb_agent_node_t *node = context;
    node->append_pending = false;
    mb_log_notice(&node->log, "departure recorded result=%s",
                  mb_keyed_result_name(result));
}

/* Queues a record about this agent for the job log. */
static void
append_record(mb_agent_node_t *node, mb_dag_record_kind_t kind,
              mb_journal_done_t done)
{
    MB_AUTO_BUF mb_buf_t key = {0};
    MB_AUTO_BUF mb_buf_t value = {0};
    mb_dag_record_encode_key(&key, kind, node->config.link_address);
    mb_dag_record_encode_agent(&value, node->incarnation);
    node->append_pending =
        mb_journal_add(&node->journal, mb_buf_view(&key), mb_buf_view(&value),
                       UINT64_MAX, done, node);
}

/* Appends the address of this agent to the job log, after the start, whenever
   no owner has sent an order for ANNOUNCE_INTERVAL_MS, and when a worker
   registers after a departure was recorded. */
static void
announce(mb_agent_node_t *node)
{
    uint64_t now_ms = mb_clock_ms(&node->clock);
    uint64_t since_ms = node->agent.departure_recorded
                            ? node->last_announce_ms
                            : MAX(node->last_announce_ms, node->last_order_ms);
    if (node->last_announce_ms != 0 &&
        now_ms < since_ms + ANNOUNCE_INTERVAL_MS) {
        return;
    }
    node->incarnation += node->agent.departure_recorded ? 1 : 0;
    append_record(node, MB_DAG_RECORD_AGENT, announce_done);
    node->last_announce_ms = now_ms;
}

/* Keeps the record of this agent in the job log up to date. */
static void
update_record(mb_agent_node_t *node)
{
    if (node->append_pending) {
        return;
    }
    if (!node->agent.departed) {
        announce(node);
    }
    else if (!node->agent.departure_recorded &&
             mb_agent_worker_has_left(&node->agent)) {
        mb_agent_set_departure_recorded(&node->agent, true);
        append_record(node, MB_DAG_RECORD_DEPARTURE, departure_done);
        /* The next announcement is due as soon as a worker registers. */
        node->last_announce_ms = 0;
    }
}

/* Closes connections on which nothing was received for too long. */
static void
check_owners(mb_agent_node_t *node)
{
    uint64_t now_ms = mb_clock_ms(&node->clock);
    for (guint i = 0; i < node->owners->len; i++) {
        mb_agent_owner_link_t *owner = g_ptr_array_index(node->owners, i);
        if (mb_link_is_suspect(&owner->link, now_ms)) {
            mb_link_fail(&owner->link);
        }
    }
}

/* Periodic tick on the thread of the loop: performs all work that is due. */
static void
tick(void *context)
{
    mb_agent_node_t *node = context;
    check_owners(node);
    update_record(node);
    run_flush(node);
    mb_gauge_set(node->runs_metric, node->agent.runs->len);
    mb_gauge_set(node->throttle_metric,
                 mb_throttle_percent(&node->agent.throttle));
    mb_http_server_tick(&node->registration);
    if (node->config.metrics_ip != 0) {
        mb_http_server_tick(&node->metrics_server);
    }
}

/* Task that handles a request of the worker on the thread of the loop. */
typedef struct registration_task {
    mb_loop_task_t task;
    mb_agent_node_t *node;
    mb_http_exchange_t *exchange;
} registration_task_t;

/* Applies a decoded heartbeat or deregistration to the agent. */
static void
handle_decoded(void *context, const mb_registration_t *registration)
{
    mb_agent_node_t *node = context;
    if (registration->kind == MB_REGISTRATION_DEREGISTER) {
        mb_agent_deregister(&node->agent, registration->worker.name);
    }
    else {
        mb_agent_heartbeat(&node->agent, &registration->worker,
                           registration->sequence);
    }
    defer_flush(node);
}

/* Decodes and answers a request of the worker, on the thread of the loop. */
static void
run_registration(mb_loop_task_t *task)
{
    g_autofree registration_task_t *request = (registration_task_t *)task;
    mb_agent_node_t *node = request->node;
    mb_http_exchange_t *exchange = request->exchange;
    g_autoptr(GError) error = NULL;
    if (node->codec.read(node->codec.context, mb_http_method(exchange),
                         mb_http_uri(exchange), mb_http_body(exchange),
                         handle_decoded, node, &error)) {
        mb_headers_t headers = {.count = 1};
        headers.items[0] = (mb_header_t){MB_STR_LIT("Content-Type"),
                                         MB_STR_LIT("application/json")};
        mb_http_respond(exchange, 200, &headers, MB_STR_LIT("{}"));
        return;
    }
    mb_counter_add(node->rejected_metric, 1);
    mb_log_warning(&node->log, "registration refused: %s", error->message);
    mb_http_respond_error(exchange, mb_error_kind(error),
                          mb_str_from_cstr(error->message));
}

/* Posts a request of the worker to the loop, on the HTTP thread. */
static void
handle_registration(void *context, mb_http_exchange_t *exchange)
{
    mb_agent_node_t *node = context;
    registration_task_t *request = g_new0(registration_task_t, 1);
    request->task.run = run_registration;
    request->node = node;
    request->exchange = exchange;
    if (!mb_loop_post(&node->loop, &request->task)) {
        g_free(request);
        mb_http_respond_error(exchange, MB_KIND_OVERLOAD,
                              MB_STR_LIT("too many requests wait"));
    }
}

/* Answers a request for the metrics, on an HTTP thread. */
static void
handle_metrics(void *context, mb_http_exchange_t *exchange)
{
    mb_agent_node_t *node = context;
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_prometheus_write(node->counters, &body);
    mb_http_respond(exchange, 200, NULL, mb_buf_view(&body));
}

/* Initializes the node without starting threads. Afterwards, and before
   mb_agent_node_start, the caller creates the clients of the log and of the
   worker on the loop of the node. `counters` must outlive the node. */
bool
mb_agent_node_init(mb_agent_node_t *node, const mb_agent_config_t *config,
                   mb_counters_t *counters, const mb_log_t *log,
                   GError **error)
{
    memset(node, 0, sizeof(*node));
    node->config = *config;
    node->incarnation = config->incarnation;
    node->counters = counters;
    node->clock = mb_clock_monotonic();
    node->log = mb_log_for(log, "agent");
    node->flush = (mb_loop_deferred_t){run_flush, node, NULL, false};
    node->owners = g_ptr_array_new();
    node->runs_metric = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_runs",
                                        "Runs at the worker");
    node->rejected_metric = mb_counters_add(
        counters, MB_METRIC_COUNTER, "mb_registrations_rejected_total",
        "Heartbeats and other requests that name no worker to use");
    node->throttle_metric =
        mb_counters_add(counters, MB_METRIC_GAUGE, "mb_filling_pace_percent",
                        "Pace of the filling runs");
    mb_buf_printf(&node->producer, "%.*s-%016" G_GINT64_MODIFIER "x",
                  MB_STR_ARG(config->name), config->incarnation);
    return mb_order_decoder_init(&node->decoder) &&
           mb_loop_init(&node->loop, MAILBOX_CAPACITY, error);
}

/* Starts one HTTP server with one thread. */
static bool
start_server(mb_agent_node_t *node, mb_http_server_t *server, uint32_t ip,
             uint16_t port,
             void (*handle)(void *context, mb_http_exchange_t *exchange),
             GError **error)
{
    mb_http_server_config_t config = {.ip = ip,
                                      .port = port,
                                      .threads = 1,
                                      .max_connections = CONNECTIONS_MAX,
                                      .idle_timeout_s = IDLE_TIMEOUT_S,
                                      .limits.bytes_max = HTTP_BYTES_MAX,
                                      .name = "agent",
                                      .log = &node->log,
                                      .metrics = &node->http_metrics,
                                      .handle = handle,
                                      .context = node};
    return mb_http_server_init(server, &config, error);
}

/* Starts to listen for connections of owners. */
static bool
start_listener(mb_agent_node_t *node, GError **error)
{
    int fd =
        mb_tcp_listen(node->config.link_ip, node->config.link_port, error);
    if (fd < 0) {
        return false;
    }
    node->listener = (mb_loop_source_t){fd, accept_owners, node};
    return mb_loop_add(&node->loop, &node->listener, EPOLLIN);
}

/* Starts the HTTP servers, the listener and the thread of the loop. The
   callback tables are copied; their contexts must outlive the node. On failure
   returns false with the error set; servers that were already started keep
   running and use the node. */
bool
mb_agent_node_start(mb_agent_node_t *node,
                    const mb_registration_codec_t *codec,
                    const mb_executor_t *executor,
                    const mb_keyed_log_t *keyed_log, GError **error)
{
    const mb_agent_config_t *config = &node->config;
    mb_agent_callbacks_t callbacks = {send_report, node};
    mb_journal_config_t journal = {.stream = stream_jobs,
                                   .producer = mb_buf_view(&node->producer),
                                   .epoch = 1,
                                   .sequence = 1,
                                   .batch_records_max = 1,
                                   .batch_bytes_max = 4096};
    node->codec = *codec;
    mb_agent_init(&node->agent, config->incarnation, &callbacks, executor,
                  &node->clock, &node->log);
    mb_journal_init(&node->journal, &journal, keyed_log, &node->clock,
                    &node->log);
    mb_http_metrics_add(&node->http_metrics, node->counters);
    mb_loop_set_tick(&node->loop, TICK_MS, tick, node);
    return start_server(node, &node->registration, config->registration_ip,
                        config->registration_port, handle_registration,
                        error) &&
           (config->metrics_ip == 0 ||
            start_server(node, &node->metrics_server, config->metrics_ip,
                         config->metrics_port, handle_metrics, error)) &&
           start_listener(node, error) && mb_loop_start(&node->loop, error);
}

/* Task that drains the agent on the thread of the loop. */
typedef struct drain_task {
    mb_loop_task_t task;
    mb_agent_node_t *node;
} drain_task_t;

/* Drains the agent, which reports to the owner that it stops. Runs on the
   thread of the loop. */
static void
run_drain(mb_loop_task_t *task)
{
    mb_agent_node_t *node = ((drain_task_t *)task)->node;
    mb_agent_drain(&node->agent);
    defer_flush(node);
    g_free(task);
}

/* Makes the agent accept no more starts and waits for DRAIN_MS. The runs at
   the worker continue until their lease expires, so that the next agent on
   this machine can adopt them. Called from outside the loop. */
void
mb_agent_node_drain(mb_agent_node_t *node)
{
    struct timespec pause = {0, DRAIN_MS * 1000000L};
    drain_task_t *task = g_new0(drain_task_t, 1);
    task->task.run = run_drain;
    task->node = node;
    if (!mb_loop_post(&node->loop, &task->task)) {
        g_free(task);
    }
    (void)nanosleep(&pause, NULL);
}

/* Stops the loop and the HTTP servers. Called after draining. */
void
mb_agent_node_stop(mb_agent_node_t *node)
{
    mb_loop_stop(&node->loop);
    mb_http_server_finish(&node->registration);
    if (node->config.metrics_ip != 0) {
        mb_http_server_finish(&node->metrics_server);
    }
}

/* Releases the node. Called after mb_agent_node_stop, when the clients of the
   log and of the worker are closed. */
void
mb_agent_node_finish(mb_agent_node_t *node)
{
    for (guint i = 0; i < node->owners->len; i++) {
        mb_agent_owner_link_t *owner = g_ptr_array_index(node->owners, i);
        mb_link_finish(&owner->link);
        g_free(owner);
    }
    mb_loop_remove(&node->loop, &node->listener);
    (void)close(node->listener.fd);
    g_ptr_array_unref(node->owners);
    mb_agent_finish(&node->agent);
    mb_journal_finish(&node->journal);
    mb_order_decoder_finish(&node->decoder);
    mb_buf_finish(&node->producer);
    mb_loop_finish(&node->loop);
}
