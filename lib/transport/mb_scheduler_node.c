#include "mb_scheduler_node.h"

#include <string.h>
#include <time.h>

#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_scheduler_internal.h"

/* Interval of the tick, in milliseconds. */
#define TICK_MS 20
/* Maximum number of requests queued for the thread of the loop. */
#define MAILBOX_CAPACITY 8192
/* Interval between searches for closed jobs to remove, in milliseconds. */
#define SWEEP_INTERVAL_MS 1000u
/* Draining, in milliseconds since its start: new requests are accepted until
   the load balancer has noticed that this process is not ready any more, and
   open requests are awaited until the second time at most. */
#define DRAIN_ACCEPT_MS 2300u
#define DRAIN_TIMEOUT_MS 4500u
/* Polling interval while draining, in nanoseconds. */
#define DRAIN_POLL_NS 10000000L
/* Maximum number of connections to the readiness address and to the metrics
   address. */
#define PROBE_CONNECTIONS_MAX 32u
/* Maximum size of the body of a request to these addresses, in bytes. */
#define PROBE_BODY_MAX 4096u
/* Idle time after which the HTTP servers close a connection, in seconds. */
#define IDLE_TIMEOUT_S 15u

static const mb_str_t stream_config = {"config", 6};

/* Returns the Unix time in milliseconds. Called on any thread. */
uint64_t
mb_scheduler_unix_ms(void)
{
    struct timespec now;
    (void)clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * MB_MS_PER_S +
           (uint64_t)now.tv_nsec / 1000000u;
}

/* Implements mb_fleet_callbacks_t.unix_ms. */
static uint64_t
fleet_unix_ms(void *context)
{
    (void)context;
    return mb_scheduler_unix_ms();
}

/* Schedules a flush for the end of the present batch of events, so that the
   events of a batch share one scheduling pass and one append. */
void
mb_scheduler_defer_flush(mb_scheduler_node_t *node)
{
    mb_loop_defer(&node->loop, &node->flush);
}

/* Tells whether this process owns the fleet and may send orders. */
bool
mb_scheduler_may_act(mb_scheduler_node_t *node)
{
    return mb_ownership_may_act(&node->ownership) &&
           mb_fleet_leads(&node->fleet);
}

/* Tells the fleet whether this process may act as its owner, and up to when
   the log has confirmed that: by a read, or by an append under its token. */
static void
update_ownership(mb_scheduler_node_t *node)
{
    uint64_t confirmed_us = mb_ownership_confirmed_us(&node->ownership);
    if (node->owner_journal != NULL) {
        confirmed_us = MAX(confirmed_us, node->owner_journal->confirmed_us);
    }
    mb_fleet_confirm_ownership(&node->fleet, confirmed_us);
    mb_fleet_set_active(&node->fleet, mb_scheduler_may_act(node));
}

/* Runs the fleet's scheduling and sends the queued records to the log. The
   process may have been paused since the latest tick, so that its ownership
   may have become uncertain. */
static void
run_flush(void *context)
{
    mb_scheduler_node_t *node = context;
#ifndef MB_MUTANT_PERMISSION_CHECKED_BY_TICK
    update_ownership(node);
#endif
    mb_fleet_flush(&node->fleet);
    mb_journal_run(&node->journal);
    if (node->owner_journal != NULL) {
        mb_journal_run(node->owner_journal);
    }
}

/* Queues the removal of the records of one closed job from the job log. The
   job is removed from the table when the removal is read back. */
static void
remove_records(mb_scheduler_node_t *node, const mb_dag_job_t *job)
{
    static const mb_dag_record_kind_t kinds[] = {
        MB_DAG_RECORD_PROGRESS, MB_DAG_RECORD_CANCEL, MB_DAG_RECORD_JOB};
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        mb_buf_clear(&node->key);
        mb_dag_record_encode_key(&node->key, kinds[i],
                                 mb_dag_id_view(&job->spec.id));
        (void)mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                             MB_STR_EMPTY, UINT64_MAX, NULL, NULL);
    }
}

/* Removes the jobs from the log that were closed longer than the retention
   period ago, if this process owns the fleet. Every process also frees the
   replaced configurations that no HTTP thread reads any more. */
static void
remove_expired_jobs(mb_scheduler_node_t *node)
{
    uint64_t now_us = mb_clock_us(&node->clock);
    uint64_t retention_us = node->config.retention_ms * (uint64_t)MB_US_PER_MS;
    GHashTableIter iter;
    gpointer value;
    if (now_us / MB_US_PER_MS < node->last_sweep_ms + SWEEP_INTERVAL_MS) {
        return;
    }
    node->last_sweep_ms = now_us / MB_US_PER_MS;
    mb_epoch_reclaim(node->epoch);
    g_hash_table_iter_init(&iter, node->table.jobs);
    while (node->owner_journal != NULL &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_dag_job_t *job = value;
        if (job->closed_us != 0 && now_us >= job->closed_us + retention_us &&
            mb_fleet_job_idle(&node->fleet, job)) {
            /* Restart the retention period, so that the removal is tried
               again later if its append fails. */
            job->closed_us = now_us;
            remove_records(node, job);
        }
    }
}

/* Claims the fleet or appends a heartbeat of its owner, if one is due. Nothing
   is claimed before the job log has been read once, or while jobs of the log
   are set aside. */
static void
ownership_tick(mb_scheduler_node_t *node)
{
    bool may_claim = g_hash_table_size(node->set_aside) == 0 ||
                     mb_fleet_is_owner(&node->fleet);
    if (!mb_follower_loaded(&node->jobs) || !may_claim) {
        return;
    }
    switch (mb_ownership_tick(&node->ownership)) {
    case MB_OWNERSHIP_CLAIM:
        mb_scheduler_claim_fleet(node);
        break;
    case MB_OWNERSHIP_HEARTBEAT:
        if (node->owner_journal != NULL) {
            (void)mb_scheduler_append_owner_record(
                node, node->ownership.latest.token, false, NULL, NULL);
        }
        break;
    case MB_OWNERSHIP_NOTHING:
        break;
    }
    update_ownership(node);
}

/* Returns whether a configuration of that age counts as stale. Called on any
   thread. */
bool
mb_scheduler_is_stale(const mb_scheduler_node_t *node, uint64_t config_age_us)
{
    return config_age_us / MB_US_PER_MS > node->config.config_age_max_ms;
}

/* Updates whether this process is ready for requests of clients: it has read
   the job log, the configuration is not stale, the log is reachable, and it is
   not draining. */
static void
update_ready(mb_scheduler_node_t *node)
{
    bool ready = mb_follower_loaded(&node->jobs) &&
                 mb_queue_table_load(&node->queues) != NULL &&
                 !mb_scheduler_is_stale(
                     node, mb_config_reader_age_us(&node->configs)) &&
                 mb_ownership_log_reachable(&node->ownership) &&
                 mb_atomic_load(&node->draining) == 0;
    if (ready != (mb_atomic_load(&node->is_ready) != 0)) {
        mb_log_notice(&node->log, "ready=%d", ready);
        mb_atomic_store(&node->is_ready, ready);
    }
}

/* Updates the Retry-After time for rejected requests: it depends on how long
   the log has not answered reads or has failed appends. */
static void
update_outage(mb_scheduler_node_t *node)
{
    uint64_t now_us = mb_clock_us(&node->clock);
    bool log_unavailable = mb_follower_loaded(&node->jobs) &&
                           (!mb_ownership_log_reachable(&node->ownership) ||
                            mb_journal_stalled(&node->journal));
    uint64_t answered_us = node->ownership.last_read_end_us;
    if (node->journal.failing_since_us != 0) {
        answered_us = MIN(answered_us, node->journal.failing_since_us);
    }
    mb_outage_update(&node->outage, log_unavailable, answered_us);
    mb_atomic_store(&node->retry_after_s,
                    mb_outage_retry_after_s(&node->outage, now_us));
}

/* Periodic tick on the thread of the loop: performs all work that is due. */
static void
tick(void *context)
{
    mb_scheduler_node_t *node = context;
    mb_scheduler_note_tick(node);
    mb_follower_run(&node->jobs);
    mb_config_reader_run(&node->configs);
    ownership_tick(node);
    mb_scheduler_agents_tick(node);
    mb_fleet_tick(&node->fleet);
    mb_scheduler_requests_tick(node);
    mb_scheduler_memory_tick(node);
    mb_scheduler_free_retired_journals(node);
    mb_scheduler_store_headroom_model(node);
    mb_scheduler_publish_backlog(node);
    remove_expired_jobs(node);
    update_ready(node);
    update_outage(node);
    mb_scheduler_update_metrics(node);
    run_flush(node);
    mb_http_server_tick(&node->client_server);
    mb_http_server_tick(&node->ready_server);
    if (node->config.metrics_ip != 0) {
        mb_http_server_tick(&node->metrics_server);
    }
}

/* Answers the readiness probe of the load balancer, on an HTTP thread. */
static void
handle_ready(void *context, mb_http_exchange_t *exchange)
{
    mb_scheduler_node_t *node = context;
    bool ready = mb_atomic_load(&node->is_ready) != 0;
    mb_http_respond(exchange, ready ? 200 : 503, NULL, MB_STR_EMPTY);
}

/* Initializes the node without starting threads. Afterwards, and before
   mb_scheduler_node_start, the caller creates the client of the log on the
   loop of the node. `epoch` and `counters` must outlive the node. */
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
    mb_scheduler_add_metrics(node);
    mb_queue_table_init(&node->queues, epoch);
    mb_dag_table_init(&node->table);
    node->early_cancels =
        g_hash_table_new_full(mb_dag_id_hash, mb_dag_id_equal, g_free, NULL);
    node->retired_journals = g_ptr_array_new();
    node->agents = g_ptr_array_new_with_free_func(g_free);
    node->owner_appends = g_ptr_array_new_with_free_func(g_free);
    node->pending_appends = g_ptr_array_new();
    node->pending_cancels = g_ptr_array_new();
    mb_buf_printf(&node->producer, "%.*s-%016" G_GINT64_MODIFIER "x",
                  MB_STR_ARG(config->name), config->incarnation);
    return mb_dag_record_decoder_init(&node->decoder) &&
           mb_order_decoder_init(&node->report_decoder) &&
           mb_loop_init(&node->loop, MAILBOX_CAPACITY, error);
}

/* Initializes the modules that read the logs or append to them. The callback
   tables of the node must be set. */
void
mb_scheduler_init_modules(mb_scheduler_node_t *node)
{
    mb_rng_t rng = mb_rng_system();
    mb_fleet_callbacks_t fleet = {.send = mb_scheduler_send_order,
                                  .is_congested = mb_scheduler_is_congested,
                                  .store = mb_scheduler_store_progress,
                                  .store_group_end =
                                      mb_scheduler_store_group_end,
                                  .store_absence = mb_scheduler_store_absence,
                                  .unix_ms = fleet_unix_ms,
                                  .context = node};
    mb_follower_callbacks_t jobs = {.apply = mb_scheduler_apply_record,
                                    .loaded = mb_scheduler_jobs_loaded,
                                    .caught_up = mb_scheduler_note_jobs_read,
                                    .context = node};
    mb_journal_config_t journal = {
        .stream = mb_scheduler_stream_jobs,
        .producer = mb_buf_view(&node->producer),
        .epoch = 1,
        .sequence = 1,
        .batch_records_max = MB_SCHEDULER_BATCH_RECORDS,
        .batch_bytes_max = MB_SCHEDULER_BATCH_BYTES};
    mb_fleet_init(&node->fleet, &node->table, &fleet, &node->clock,
                  &node->log);
    mb_evacuation_init(&node->evacuation, node->config.evacuation_age_max_ms,
                       &node->clock, &node->log);
    mb_fleet_set_evacuation(&node->fleet, &node->evacuation);
    mb_scheduler_backlog_init(node);
    mb_scheduler_memory_init(node);
    mb_ownership_init(&node->ownership, &node->clock, &rng,
                      node->config.incarnation,
                      mb_str_hash(node->config.name));
    mb_follower_init(&node->jobs, mb_scheduler_stream_jobs, &node->keyed_log,
                     &jobs, &node->clock, &node->log);
    mb_follower_set_read_interval(&node->jobs, MB_SCHEDULER_READ_INTERVAL_MS);
    mb_config_reader_init(&node->configs, stream_config, &node->keyed_log,
                          &node->queues, &node->codec.config_decoder,
                          node->metrics.config_version, &node->clock,
                          &node->log);
    mb_config_reader_set_evacuation(&node->configs, &node->evacuation);
    mb_journal_init(&node->journal, &journal, &node->keyed_log, &node->clock,
                    &node->log);
}

/* Returns the maximum size of a body by the configuration in force, on an HTTP
   thread. */
static size_t
get_body_max(void *context)
{
    mb_scheduler_node_t *node = context;
    mb_epoch_enter(node->epoch);
    const mb_queue_version_t *version = mb_queue_table_load(&node->queues);
    size_t body_max = version != NULL ? version->body_max : MB_BODY_MAX;
    mb_epoch_leave(node->epoch);
    return body_max;
}

/* Starts the HTTP server for clients. */
static bool
start_client_server(mb_scheduler_node_t *node, GError **error)
{
    const mb_scheduler_config_t *config = &node->config;
    mb_http_server_config_t server = {.ip = config->client_ip,
                                      .port = config->client_port,
                                      .threads = config->http_threads,
                                      .max_connections =
                                          config->max_connections,
                                      .idle_timeout_s = IDLE_TIMEOUT_S,
                                      .limits = config->limits,
                                      .get_body_max = get_body_max,
                                      .name = "clients",
                                      .log = &node->log,
                                      .metrics = &node->http_metrics,
                                      .handle = mb_scheduler_handle,
                                      .context = node};
    return mb_http_server_init(&node->client_server, &server, error);
}

/* Starts the HTTP server for probes of readiness or that for the metrics. */
static bool
start_probe_server(mb_scheduler_node_t *node, mb_http_server_t *server,
                   uint32_t ip, uint16_t port, const char *name,
                   void (*handle)(void *context, mb_http_exchange_t *exchange),
                   GError **error)
{
    mb_http_server_config_t config = {.ip = ip,
                                      .port = port,
                                      .threads = 1,
                                      .max_connections = PROBE_CONNECTIONS_MAX,
                                      .idle_timeout_s = IDLE_TIMEOUT_S,
                                      .body_max = PROBE_BODY_MAX,
                                      .name = name,
                                      .log = &node->log,
                                      .metrics = &node->http_metrics,
                                      .handle = handle,
                                      .context = node};
    return mb_http_server_init(server, &config, error);
}

/* Starts the HTTP servers and the thread of the loop. The callback tables are
   copied; their contexts must outlive the node. On failure returns false with
   the error set; servers that were already started keep running and use the
   node. */
bool
mb_scheduler_node_start(mb_scheduler_node_t *node, const mb_job_codec_t *codec,
                        const mb_keyed_log_t *keyed_log, GError **error)
{
    const mb_scheduler_config_t *config = &node->config;
    node->codec = *codec;
    node->keyed_log = *keyed_log;
    mb_scheduler_init_modules(node);
    mb_loop_set_tick(&node->loop, TICK_MS, tick, node);
    mb_http_metrics_add(&node->http_metrics, node->counters);
    return start_client_server(node, error) &&
           start_probe_server(node, &node->ready_server, config->ready_ip,
                              config->ready_port, "ready", handle_ready,
                              error) &&
           (config->metrics_ip == 0 ||
            start_probe_server(node, &node->metrics_server, config->metrics_ip,
                               config->metrics_port, "metrics",
                               mb_scheduler_handle_metrics, error)) &&
           mb_loop_start(&node->loop, error);
}

/* Task that resigns from the fleet on the thread of the loop. */
typedef struct resignation {
    mb_loop_task_t task;
    mb_scheduler_node_t *node;
} resignation_t;

/* Stops claiming the fleet and, if this process owns it, appends a resignation
   so that another process takes over at once, without waiting for the
   heartbeat time-out and the end of the lease. Runs on the thread of the
   loop. */
static void
resign(mb_loop_task_t *task)
{
    mb_scheduler_node_t *node = ((resignation_t *)task)->node;
    mb_ownership_withdraw(&node->ownership);
    if (mb_fleet_is_owner(&node->fleet) && node->owner_journal != NULL) {
        mb_log_notice(&node->log,
                      "resigning from the fleet token=%" G_GUINT64_FORMAT,
                      node->ownership.latest.token);
        (void)mb_scheduler_append_owner_record(
            node, node->ownership.latest.token, true, NULL, NULL);
        mb_scheduler_defer_flush(node);
    }
    g_free(task);
}

/* Sleeps for one polling interval. */
static void
sleep_poll_interval(void)
{
    struct timespec pause = {0, DRAIN_POLL_NS};
    (void)nanosleep(&pause, NULL);
}

/* Resigns from the fleet, accepts requests until the load balancer has had
   time to notice that this process is not ready, and waits for the open
   requests. Blocks the caller for DRAIN_ACCEPT_MS to DRAIN_TIMEOUT_MS; called
   from outside the loop. */
void
mb_scheduler_node_drain(mb_scheduler_node_t *node)
{
    uint64_t start_ms = mb_clock_ms(&node->clock);
    mb_atomic_store(&node->draining, 1);
    mb_atomic_store(&node->is_ready, 0);
    resignation_t *task = g_new0(resignation_t, 1);
    task->task.run = resign;
    task->node = node;
    if (!mb_loop_post(&node->loop, &task->task)) {
        g_free(task);
    }
    while (mb_clock_ms(&node->clock) < start_ms + DRAIN_ACCEPT_MS) {
        sleep_poll_interval();
    }
    mb_http_server_quiesce(&node->client_server);
    while (mb_http_server_count_open(&node->client_server) > 0 &&
           mb_clock_ms(&node->clock) < start_ms + DRAIN_TIMEOUT_MS) {
        sleep_poll_interval();
    }
}

/* Stops the loop and the HTTP servers. Called after draining. */
void
mb_scheduler_node_stop(mb_scheduler_node_t *node)
{
    mb_loop_stop(&node->loop);
    mb_http_server_finish(&node->client_server);
    mb_http_server_finish(&node->ready_server);
    if (node->config.metrics_ip != 0) {
        mb_http_server_finish(&node->metrics_server);
    }
}

/* Releases the node. Called after mb_scheduler_node_stop, when the client of
   the log is closed. */
void
mb_scheduler_node_finish(mb_scheduler_node_t *node)
{
    mb_scheduler_close_agents(node);
    mb_scheduler_retire_journal(node);
    mb_scheduler_free_retired_journals(node);
    g_ptr_array_unref(node->retired_journals);
    mb_journal_finish(&node->journal);
    mb_follower_finish(&node->jobs);
    mb_config_reader_finish(&node->configs);
    mb_fleet_finish(&node->fleet);
    mb_evacuation_finish(&node->evacuation);
    mb_dag_table_finish(&node->table);
    mb_queue_table_finish(&node->queues);
    mb_dag_record_decoder_finish(&node->decoder);
    mb_scheduler_backlog_finish(node);
    mb_scheduler_memory_finish(node);
    mb_order_decoder_finish(&node->report_decoder);
    g_hash_table_destroy(node->early_cancels);
    g_ptr_array_unref(node->agents);
    g_ptr_array_unref(node->owner_appends);
    g_ptr_array_unref(node->pending_appends);
    g_ptr_array_unref(node->pending_cancels);
    mb_buf_finish(&node->producer);
    mb_buf_finish(&node->key);
    mb_buf_finish(&node->value);
    mb_loop_finish(&node->loop);
}
