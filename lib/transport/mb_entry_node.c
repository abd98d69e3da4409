#include "mb_entry_node.h"

#include <string.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include "mb_clock.h"
#include "mb_atomic.h"
#include "mb_entry_peer.h"
#include "mb_entry_request.h"

/* Interval at which links, deadlines and queues are checked, in
   milliseconds. */
#define TICK_INTERVAL_MS 20
/* Maximum number of tasks in the mailbox of a link thread. */
#define MAILBOX_CAPACITY 65536
/* Interval at which a drain checks for open requests, in nanoseconds. */
#define DRAIN_POLL_NS 5000000L
/* Time for which the listener stays open after /healthz has changed to 503, so
   that load balancers notice before connections are refused, in
   milliseconds. */
#define LISTEN_GRACE_MS 2000u
/* A drain ends when there was no open request for this time, in milliseconds.
   A connection that was just accepted has sent its request by then. */
#define DRAIN_IDLE_MS 100u
/* Maximum number of requests that wait for credits, of a service without
   settings. */
#define DEFAULT_QUEUE_LIMIT 64u

/* Periodic callback of a link thread. */
static void
tick(void *context)
{
    mb_entry_loop_t *entry_loop = context;
    mb_clock_t clock = mb_clock_monotonic();
    uint64_t now_us = mb_clock_us(&clock);
    mb_entry_peers_tick(entry_loop, now_us / MB_US_PER_MS);
    mb_entry_requests_tick(entry_loop, now_us);
    if (entry_loop == &entry_loop->node->loops[0] &&
        mb_atomic_load(&entry_loop->node->serves_clients) != 0) {
        mb_http_server_tick(&entry_loop->node->http_server);
    }
}

/* An accepted connection that is being passed to its link thread. */
typedef struct handover {
    mb_loop_task_t task;
    mb_entry_loop_t *entry_loop;
    int fd;
} handover_t;

/* Task on the link thread: starts serving an accepted connection. */
static void
run_handover(mb_loop_task_t *task)
{
    handover_t *handover = (handover_t *)task;
    if (handover->entry_loop->closing) {
        (void)close(handover->fd);
    }
    else {
        mb_entry_add_connection(handover->entry_loop, handover->fd);
    }
    g_free(handover);
}

/* Accepts connections of sidecars and spreads them round-robin over the link
   threads. Runs on the first link thread. */
static void
accept_connections(void *context, uint32_t events)
{
    mb_entry_node_t *node = context;
    int fd;
    (void)events;
    while ((fd = mb_tcp_accept(node->listener.fd)) >= 0) {
        handover_t *handover = g_new0(handover_t, 1);
        handover->task.run = run_handover;
        handover->entry_loop =
            &node->loops[node->next_loop++ % node->config.link_threads];
        handover->fd = fd;
        if (!mb_loop_post(&handover->entry_loop->loop, &handover->task)) {
            (void)close(fd);
            g_free(handover);
        }
    }
}

/* Names of the metrics of each class. */
static const struct {
    const char *requests;
    const char *answered;
    const char *refused;
    const char *unknown;
    const char *latency;
} class_metric_names[MB_CLASS_COUNT] = {
    [MB_CLASS_URGENT] = {"mb_urgent_requests_total",
                         "mb_urgent_requests_answered_total",
                         "mb_urgent_requests_not_run_total",
                         "mb_urgent_requests_unknown_total",
                         "mb_urgent_request_seconds"},
    [MB_CLASS_NORMAL] = {"mb_normal_requests_total",
                         "mb_normal_requests_answered_total",
                         "mb_normal_requests_not_run_total",
                         "mb_normal_requests_unknown_total",
                         "mb_normal_request_seconds"},
    [MB_CLASS_BATCH] = {"mb_batch_requests_total",
                        "mb_batch_requests_answered_total",
                        "mb_batch_requests_not_run_total",
                        "mb_batch_requests_unknown_total",
                        "mb_batch_request_seconds"},
};

/* Registers one counter. */
static mb_metric_t *
add_counter(mb_counters_t *counters, const char *name, const char *help)
{
    return mb_counters_add(counters, MB_METRIC_COUNTER, name, help);
}

/* Registers the metrics of one class. */
static void
add_class_metrics(mb_entry_class_metrics_t *metrics, mb_counters_t *counters,
                  int class_index)
{
    metrics->requests =
        add_counter(counters, class_metric_names[class_index].requests,
                    "Requests of this class received.");
    metrics->answered =
        add_counter(counters, class_metric_names[class_index].answered,
                    "Requests of this class with a whole response.");
    metrics->refused =
        add_counter(counters, class_metric_names[class_index].refused,
                    "Requests of this class answered as not run.");
    metrics->unknown =
        add_counter(counters, class_metric_names[class_index].unknown,
                    "Requests of this class answered as possibly run.");
    metrics->latency = mb_counters_add(
        counters, MB_METRIC_HISTOGRAM, class_metric_names[class_index].latency,
        "Time of requests of this class to their whole response.");
}

/* Registers the metrics of the role. */
static void
add_metrics(mb_entry_metrics_t *metrics, mb_counters_t *counters)
{
    metrics->requests = add_counter(counters, "mb_requests_total",
                                    "Requests received from clients.");
    metrics->answered =
        add_counter(counters, "mb_requests_answered_total",
                    "Requests answered with an upstream's whole response.");
    metrics->refused = add_counter(counters, "mb_requests_not_run_total",
                                   "Requests answered as not run.");
    metrics->unknown = add_counter(counters, "mb_requests_unknown_total",
                                   "Requests answered as possibly run.");
    metrics->retries =
        add_counter(counters, "mb_retries_total", "Attempts after the first.");
    metrics->queries =
        add_counter(counters, "mb_outcome_queries_total",
                    "Attempts whose outcome was asked for on a new link.");
    metrics->latency =
        mb_counters_add(counters, MB_METRIC_HISTOGRAM, "mb_request_seconds",
                        "Time from the whole request to its whole response.");
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        add_class_metrics(&metrics->by_class[i], counters, i);
    }
}

/* Initializes one link thread, but does not start it. */
static bool
init_loop(mb_entry_node_t *node, uint32_t index, GError **error)
{
    mb_entry_loop_t *entry_loop = &node->loops[index];
    entry_loop->node = node;
    entry_loop->connections = g_ptr_array_new();
    entry_loop->peers = g_ptr_array_new();
    mb_entry_requests_init(entry_loop);
    if (!mb_loop_init(&entry_loop->loop, MAILBOX_CAPACITY, error)) {
        return false;
    }
    mb_loop_set_tick(&entry_loop->loop, TICK_INTERVAL_MS, tick, entry_loop);
    return true;
}

/* Starts the link threads, then the HTTP server, so that no request arrives
   before it can be served. The listener for sidecars is watched by the first
   link thread. */
bool
mb_entry_node_init(mb_entry_node_t *node, const mb_entry_config_t *config,
                   mb_epoch_t *epoch, mb_counters_t *counters,
                   const mb_log_t *log, GError **error)
{
    memset(node, 0, sizeof(*node));
    node->config = *config;
    mb_buf_set(&node->failure_domain, config->failure_domain);
    node->epoch = epoch;
    node->log = mb_log_for(log, "entry");
    node->next_counter = 1;
    add_metrics(&node->metrics, counters);
    mb_http_metrics_add(&node->http_metrics, counters);
    mb_clock_t clock = mb_clock_monotonic();
    mb_route_init(&node->route, epoch);
    mb_admission_init(&node->admission, epoch, &clock, config->max_connections,
                      config->default_deadline_ms, DEFAULT_QUEUE_LIMIT);
    int listen_fd = mb_tcp_listen(config->link_ip, config->link_port, error);
    if (listen_fd < 0) {
        return false;
    }
    node->listener = (mb_loop_source_t){listen_fd, accept_connections, node};
    for (uint32_t i = 0; i < config->link_threads; i++) {
        if (!init_loop(node, i, error)) {
            return false;
        }
    }
    (void)mb_loop_add(&node->loops[0].loop, &node->listener, EPOLLIN);
    for (uint32_t i = 0; i < config->link_threads; i++) {
        if (!mb_loop_start(&node->loops[i].loop, error)) {
            return false;
        }
    }
    mb_http_server_config_t server_config = {
        .ip = config->client_ip,
        .port = config->client_port,
        .threads = config->http_threads,
        .max_connections = config->max_connections,
        .idle_timeout_s = 120,
        .limits = config->limits,
        .name = "clients",
        .log = &node->log,
        .metrics = &node->http_metrics,
        .handle = mb_entry_handle_request,
        .context = node,
    };
    if (!mb_http_server_init(&node->http_server, &server_config, error)) {
        return false;
    }
    mb_atomic_store(&node->serves_clients, 1);
    return true;
}

/* Replaces the settings of all declared services; from any thread. */
void
mb_entry_node_set_services(mb_entry_node_t *node,
                           const mb_service_settings_t *settings, size_t count)
{
    mb_admission_set_services(&node->admission, settings, count);
}

/* Serves until load balancers have noticed, then stops accepting connections
   and waits until every request is answered. */
void
mb_entry_node_drain(mb_entry_node_t *node)
{
    struct timespec pause = {0, DRAIN_POLL_NS};
    mb_clock_t clock = mb_clock_monotonic();
    uint64_t close_ms = mb_clock_ms(&clock) + LISTEN_GRACE_MS;
    while (mb_clock_ms(&clock) < close_ms) {
        (void)nanosleep(&pause, NULL);
    }
    mb_http_server_quiesce(&node->http_server);
    uint64_t last_busy_ms = mb_clock_ms(&clock);
    while (mb_clock_ms(&clock) < last_busy_ms + DRAIN_IDLE_MS) {
        if (mb_http_server_count_open(&node->http_server) > 0) {
            last_busy_ms = mb_clock_ms(&clock);
        }
        (void)nanosleep(&pause, NULL);
    }
}

/* Ends the threads, then closes the links and releases everything. All link
   threads are marked as closing before their remaining tasks run, so that a
   connection that is being passed from one to another is closed. */
void
mb_entry_node_finish(mb_entry_node_t *node)
{
    mb_http_server_finish(&node->http_server);
    for (uint32_t i = 0; i < node->config.link_threads; i++) {
        mb_loop_stop(&node->loops[i].loop);
    }
    mb_loop_remove(&node->loops[0].loop, &node->listener);
    (void)close(node->listener.fd);
    for (uint32_t i = 0; i < node->config.link_threads; i++) {
        mb_entry_loop_t *entry_loop = &node->loops[i];
        entry_loop->closing = true;
        mb_entry_peers_finish(entry_loop);
    }
    for (uint32_t i = 0; i < node->config.link_threads; i++) {
        mb_entry_loop_t *entry_loop = &node->loops[i];
        mb_loop_finish(&entry_loop->loop);
        mb_entry_requests_finish(entry_loop);
        g_ptr_array_unref(entry_loop->connections);
        g_ptr_array_unref(entry_loop->peers);
    }
    mb_admission_finish(&node->admission);
    mb_route_finish(&node->route);
    mb_buf_finish(&node->failure_domain);
}
