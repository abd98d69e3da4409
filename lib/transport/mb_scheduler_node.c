#include "mb_scheduler_node.h"

#include <string.h>
#include <time.h>

#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_prometheus.h"
#include "mb_scheduler_internal.h"

/* How often things are looked at that come due with time, in milliseconds. */
#define TICK_MS 20
/* Requests that may wait for the scheduler's thread. */
#define MAILBOX_CAPACITY 8192
/* How often closed jobs are looked at for removal, in milliseconds. */
#define SWEEP_MS 1000u
/* How long requests are taken after a stop was asked for, until the load
   balancer has noticed, and how long open ones are waited for at most, in
   milliseconds. */
#define DRAIN_LISTEN_MS 2300u
#define DRAIN_LONGEST_MS 4500u
#define DRAIN_POLL_NS 10000000L
/* Connections to the readiness and metrics addresses. */
#define SIDE_CONNECTIONS 32u
/* Idle time after which a client's connection is closed, in seconds. */
#define IDLE_TIMEOUT_S 15u

static const mb_str_t stream_config = {"config", 6};

/* Returns the Unix time in milliseconds. */
uint64_t
mb_scheduler_unix_ms(void)
{
    struct timespec now;
    (void)clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * MB_MS_PER_S +
           (uint64_t)now.tv_nsec / 1000000u;
}

/* The same, as the callback of the fleet. */
static uint64_t
fleet_unix_ms(void *context)
{
    (void)context;
    return mb_scheduler_unix_ms();
}

/* Has the work done that the events at hand have led to. */
void
mb_scheduler_wake(mb_scheduler_node_t *node)
{
    mb_loop_defer(&node->loop, &node->flush);
}

/* Does that work. */
static void
run_flush(void *context)
{
    mb_scheduler_node_t *node = context;
    mb_fleet_flush(&node->fleet);
    mb_journal_run(&node->journal);
    if (node->owner_journal != NULL) {
        mb_journal_run(node->owner_journal);
    }
}

/* Removes the records of one closed job from the log. */
static void
remove_records(mb_scheduler_node_t *node, const mb_dag_job_t *job)
{
    static const mb_dag_record_kind_t kinds[] = {
        MB_DAG_RECORD_PROGRESS, MB_DAG_RECORD_CANCEL, MB_DAG_RECORD_JOB};
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        mb_buf_clear(&node->key);
        mb_dag_record_key(&node->key, kinds[i], mb_dag_id_view(&job->spec.id));
        (void)mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                             MB_STR_EMPTY, UINT64_MAX, NULL, NULL);
    }
}

/* Removes jobs that were closed long ago from the log. */
static void
sweep(mb_scheduler_node_t *node)
{
    uint64_t now_us = mb_clock_us(&node->clock);
    uint64_t retention_us = node->config.retention_ms * (uint64_t)MB_US_PER_MS;
    GHashTableIter iter;
    gpointer value;
    if (now_us / MB_US_PER_MS < node->swept_ms + SWEEP_MS) {
        return;
    }
    node->swept_ms = now_us / MB_US_PER_MS;
    mb_epoch_reclaim(node->epoch);
    g_hash_table_iter_init(&iter, node->table.jobs);
    while (node->owner_journal != NULL &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_dag_job_t *job = value;
        if (job->closed_us != 0 && now_us >= job->closed_us + retention_us &&
            mb_fleet_job_idle(job)) {
            /* Asked again after another while, should it not work out. */
            job->closed_us = now_us;
            remove_records(node, job);
        }
    }
}

/* Claims or keeps the fleet. */
static void
ownership_tick(mb_scheduler_node_t *node)
{
    if (!mb_follower_loaded(&node->jobs)) {
        return;
    }
    switch (mb_ownership_tick(&node->ownership)) {
    case MB_OWNERSHIP_CLAIM:
        mb_scheduler_claim(node);
        break;
    case MB_OWNERSHIP_HEARTBEAT:
        if (node->owner_journal != NULL) {
            (void)mb_scheduler_owner_record(node, node->ownership.latest.token,
                                            false, NULL, NULL);
        }
        break;
    case MB_OWNERSHIP_NOTHING:
        break;
    }
    mb_fleet_set_active(&node->fleet, mb_ownership_may_act(&node->ownership));
}

/* Tells the load balancer whether clients are served well here. */
static void
update_ready(mb_scheduler_node_t *node)
{
    bool ready = mb_follower_loaded(&node->jobs) &&
                 mb_queue_table_load(&node->queues) != NULL &&
                 mb_ownership_log_reachable(&node->ownership) &&
                 mb_atomic_load(&node->draining) == 0;
    if (ready != (mb_atomic_load(&node->is_ready) != 0)) {
        mb_log_notice(&node->log, "ready=%d", ready);
        mb_atomic_store(&node->is_ready, ready);
    }
}

/* Notes whether the log is away, for the clients that are rejected. */
static void
update_outage(mb_scheduler_node_t *node)
{
    uint64_t now_us = mb_clock_us(&node->clock);
    bool away = mb_follower_loaded(&node->jobs) &&
                (!mb_ownership_log_reachable(&node->ownership) ||
                 mb_journal_stalled(&node->journal));
    uint64_t answered_us = node->ownership.last_read_end_us;
    if (node->journal.failing_since_us != 0) {
        answered_us = MIN(answered_us, node->journal.failing_since_us);
    }
    mb_outage_update(&node->outage, away, answered_us);
    mb_atomic_store(&node->retry_after_s,
                    mb_outage_retry_after_s(&node->outage, now_us));
}

/* Writes the figures that modules keep themselves into the metrics. */
static void
update_metrics(mb_scheduler_node_t *node)
{
    mb_gauge_set(node->metrics.running, node->fleet.running);
    mb_gauge_set(node->metrics.starts, node->fleet.counts.starts);
    mb_gauge_set(node->metrics.lost_runs, node->fleet.counts.lost_runs);
    mb_gauge_set(node->metrics.appends,
                 node->journal.appends + (node->owner_journal != NULL
                                              ? node->owner_journal->appends
                                              : 0));
    mb_gauge_set(node->metrics.reads, node->jobs.reads + node->configs.reads);
}

/* Looks after everything that comes due with time. */
static void
tick(void *context)
{
    mb_scheduler_node_t *node = context;
    mb_follower_run(&node->jobs);
    mb_follower_run(&node->configs);
    ownership_tick(node);
    mb_scheduler_agents_tick(node);
    mb_fleet_tick(&node->fleet);
    mb_scheduler_requests_tick(node);
    mb_scheduler_free_journals(node);
    mb_scheduler_store_contention(node);
    sweep(node);
    update_ready(node);
    update_outage(node);
    update_metrics(node);
    run_flush(node);
}

/* Answers the load balancer. */
static void
handle_ready(void *context, mb_http_exchange_t *exchange)
{
    mb_scheduler_node_t *node = context;
    bool ready = mb_atomic_load(&node->is_ready) != 0;
    mb_http_answer(exchange, ready ? 200 : 503, NULL, MB_STR_EMPTY);
}

/* Answers with the metrics. */
static void
handle_metrics(void *context, mb_http_exchange_t *exchange)
{
    mb_scheduler_node_t *node = context;
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_prometheus_write(node->counters, &body);
    mb_http_answer(exchange, 200, NULL, mb_buf_view(&body));
}

/* Registers the metrics. */
static void
add_metrics(mb_scheduler_node_t *node)
{
    mb_counters_t *counters = node->counters;
    node->metrics = (mb_scheduler_metrics_t){
        .accepted = mb_counters_add(counters, MB_METRIC_COUNTER,
                                    "mb_jobs_accepted_total",
                                    "Jobs answered as stored"),
        .rejected = mb_counters_add(counters, MB_METRIC_COUNTER,
                                    "mb_jobs_rejected_total",
                                    "Jobs rejected as not stored"),
        .unknown = mb_counters_add(counters, MB_METRIC_COUNTER,
                                   "mb_jobs_unknown_total",
                                   "Jobs answered with an unknown outcome"),
        .accept_us =
            mb_counters_add(counters, MB_METRIC_HISTOGRAM, "mb_job_accept_us",
                            "Time from a job to its answer"),
        .owner = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_fleet_owner",
                                 "1 while this process owns the fleet"),
        .running = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_runs",
                                   "Runs that hold a worker"),
        .starts = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_run_starts",
                                  "Runs started by this process"),
        .lost_runs = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_runs_lost",
                                     "Runs given up without an end"),
        .appends = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_log_appends",
                                   "Appends sent to the log"),
        .reads = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_log_reads",
                                 "Reads sent to the log"),
        .config_version =
            mb_counters_add(counters, MB_METRIC_GAUGE, "mb_config_version",
                            "Version of the configuration in force")};
}

/* Prepares the node without starting anything. Its loop may be used for the
   clients of the log. */
bool
mb_scheduler_node_init(mb_scheduler_node_t *node,
                       const mb_scheduler_config_t *config, mb_epoch_t *epoch,
                       mb_counters_t *counters, const mb_log_t *log,
                       GError **error)
{
    memset(node, 0, sizeof(*node));
    node->config = *config;
    node->epoch = epoch;
    node->counters = counters;
    node->clock = mb_clock_monotonic();
    node->log = mb_log_for(log, "scheduler");
    mb_outage_init(&node->outage);
    node->retry_after_s = MB_OUTAGE_RETRY_AFTER_MIN_S;
    node->flush = (mb_loop_deferred_t){run_flush, node, NULL, false};
    add_metrics(node);
    mb_queue_table_init(&node->queues, epoch);
    mb_dag_table_init(&node->table);
    node->cancels =
        g_hash_table_new_full(mb_dag_id_hash, mb_dag_id_equal, g_free, NULL);
    node->old_journals = g_ptr_array_new();
    node->agents = g_ptr_array_new_with_free_func(g_free);
    node->requests = g_ptr_array_new();
    node->undecided = g_ptr_array_new();
    mb_buf_printf(&node->producer, "%.*s-%016" G_GINT64_MODIFIER "x",
                  MB_STR_ARG(config->name), config->incarnation);
    return mb_dag_record_decoder_init(&node->decoder) &&
           mb_order_decoder_init(&node->orders) &&
           mb_loop_init(&node->loop, MAILBOX_CAPACITY, error);
}

/* Prepares the modules that work on the log. */
static void
init_modules(mb_scheduler_node_t *node)
{
    mb_rng_t rng = mb_rng_system();
    mb_fleet_callbacks_t fleet = {.send = mb_scheduler_send,
                                  .store = mb_scheduler_store_progress,
                                  .store_group_end =
                                      mb_scheduler_store_group_end,
                                  .unix_ms = fleet_unix_ms,
                                  .context = node};
    mb_follower_callbacks_t jobs = {mb_scheduler_apply_record,
                                    mb_scheduler_jobs_current, node};
    mb_follower_callbacks_t configs = {mb_scheduler_apply_config,
                                       mb_scheduler_config_current, node};
    mb_journal_config_t journal = {
        .stream = mb_scheduler_stream_jobs,
        .producer = mb_buf_view(&node->producer),
        .epoch = 1,
        .sequence = 1,
        .batch_records_max = MB_SCHEDULER_BATCH_RECORDS,
        .batch_bytes_max = MB_SCHEDULER_BATCH_BYTES};
    mb_fleet_init(&node->fleet, &node->table, &fleet, &node->clock,
                  &node->log);
    mb_ownership_init(&node->ownership, &node->clock, &rng,
                      node->config.incarnation,
                      mb_str_hash(node->config.name));
    mb_follower_init(&node->jobs, mb_scheduler_stream_jobs, &node->keyed_log,
                     &jobs, &node->clock, &node->log);
    mb_follower_set_read_interval(&node->jobs, MB_SCHEDULER_GAP_MS);
    mb_follower_init(&node->configs, stream_config, &node->keyed_log, &configs,
                     &node->clock, &node->log);
    mb_journal_init(&node->journal, &journal, &node->keyed_log, &node->clock,
                    &node->log);
}

/* Starts one HTTP server. */
static bool
start_front(mb_scheduler_node_t *node, mb_http_front_t *front, uint32_t ip,
            uint16_t port, uint32_t connections,
            void (*handle)(void *context, mb_http_exchange_t *exchange),
            GError **error)
{
    mb_http_front_config_t config = {.ip = ip,
                                     .port = port,
                                     .threads = handle == mb_scheduler_handle
                                                    ? node->config.http_threads
                                                    : 1,
                                     .max_connections = connections,
                                     .idle_timeout_s = IDLE_TIMEOUT_S,
                                     .handle = handle,
                                     .context = node};
    return mb_http_front_init(front, &config, error);
}

/* Starts to serve. The callback tables must outlive the node. */
bool
mb_scheduler_node_start(mb_scheduler_node_t *node, const mb_job_front_t *front,
                        const mb_keyed_log_t *keyed_log, GError **error)
{
    const mb_scheduler_config_t *config = &node->config;
    node->front = *front;
    node->keyed_log = *keyed_log;
    init_modules(node);
    mb_loop_set_tick(&node->loop, TICK_MS, tick, node);
    return start_front(node, &node->clients, config->client_ip,
                       config->client_port, config->max_connections,
                       mb_scheduler_handle, error) &&
           start_front(node, &node->ready, config->ready_ip,
                       config->ready_port, SIDE_CONNECTIONS, handle_ready,
                       error) &&
           (config->metrics_ip == 0 ||
            start_front(node, &node->metrics_front, config->metrics_ip,
                        config->metrics_port, SIDE_CONNECTIONS, handle_metrics,
                        error)) &&
           mb_loop_start(&node->loop, error);
}

/* A resignation on its way to the scheduler's thread. */
typedef struct resignation {
    mb_loop_task_t task;
    mb_scheduler_node_t *node;
} resignation_t;

/* Hands the fleet over, on the scheduler's thread. */
static void
resign(mb_loop_task_t *task)
{
    mb_scheduler_node_t *node = ((resignation_t *)task)->node;
    mb_ownership_withdraw(&node->ownership);
    if (mb_fleet_is_owner(&node->fleet) && node->owner_journal != NULL) {
        mb_log_notice(&node->log,
                      "resigning from the fleet token=%" G_GUINT64_FORMAT,
                      node->ownership.latest.token);
        (void)mb_scheduler_owner_record(node, node->ownership.latest.token,
                                        true, NULL, NULL);
        mb_scheduler_wake(node);
    }
    g_free(task);
}

/* Sleeps for one poll. */
static void
poll_pause(void)
{
    struct timespec pause = {0, DRAIN_POLL_NS};
    (void)nanosleep(&pause, NULL);
}

/* Hands over ownership, takes requests until the load balancer has noticed,
   and waits for the open ones. */
void
mb_scheduler_node_drain(mb_scheduler_node_t *node)
{
    uint64_t begun_ms = mb_clock_ms(&node->clock);
    mb_atomic_store(&node->draining, 1);
    mb_atomic_store(&node->is_ready, 0);
    resignation_t *task = g_new0(resignation_t, 1);
    task->task.run = resign;
    task->node = node;
    if (!mb_loop_post(&node->loop, &task->task)) {
        g_free(task);
    }
    while (mb_clock_ms(&node->clock) < begun_ms + DRAIN_LISTEN_MS) {
        poll_pause();
    }
    mb_http_front_quiesce(&node->clients);
    while (mb_http_front_open(&node->clients) > 0 &&
           mb_clock_ms(&node->clock) < begun_ms + DRAIN_LONGEST_MS) {
        poll_pause();
    }
}

/* Stops the threads; after mb_scheduler_node_drain. */
void
mb_scheduler_node_stop(mb_scheduler_node_t *node)
{
    mb_loop_stop(&node->loop);
    mb_http_front_finish(&node->clients);
    mb_http_front_finish(&node->ready);
    if (node->config.metrics_ip != 0) {
        mb_http_front_finish(&node->metrics_front);
    }
}

/* Frees the node after it has stopped and the log's client is closed. */
void
mb_scheduler_node_finish(mb_scheduler_node_t *node)
{
    mb_scheduler_agents_close(node);
    mb_scheduler_retire_journal(node);
    mb_scheduler_free_journals(node);
    g_ptr_array_unref(node->old_journals);
    mb_journal_finish(&node->journal);
    mb_follower_finish(&node->jobs);
    mb_follower_finish(&node->configs);
    mb_fleet_finish(&node->fleet);
    mb_dag_table_finish(&node->table);
    mb_queue_table_finish(&node->queues);
    mb_dag_record_decoder_finish(&node->decoder);
    mb_order_decoder_finish(&node->orders);
    g_hash_table_destroy(node->cancels);
    g_ptr_array_unref(node->agents);
    g_ptr_array_unref(node->requests);
    g_ptr_array_unref(node->undecided);
    mb_buf_finish(&node->producer);
    mb_buf_finish(&node->key);
    mb_buf_finish(&node->value);
    mb_loop_finish(&node->loop);
}
