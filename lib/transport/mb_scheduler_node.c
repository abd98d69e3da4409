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
/* Bounds of one append: below those of the log service. */
#define BATCH_RECORDS_MAX 512u
#define BATCH_BYTES_MAX (512u * 1024u)
/* Least time between two reads of a process that does not own the fleet, in
   milliseconds: it answers for states, which may be that old. */
#define FOLLOWER_GAP_MS 100u
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

static const mb_str_t stream_jobs = {"jobs", 4};
static const mb_str_t stream_config = {"config", 6};
static const mb_str_t producer_owner = {"owner", 5};

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

/* Puts a journal aside whose claim or ownership has ended; it is freed when
   no call of it is open. */
static void
retire_owner_journal(mb_scheduler_node_t *node)
{
    if (node->owner_journal != NULL) {
        mb_journal_close(node->owner_journal);
        g_ptr_array_add(node->old_journals, node->owner_journal);
        node->owner_journal = NULL;
    }
}

/* Frees the journals put aside. */
static void
free_old_journals(mb_scheduler_node_t *node)
{
    for (guint i = 0; i < node->old_journals->len;) {
        mb_journal_t *journal = g_ptr_array_index(node->old_journals, i);
        if (journal->sending) {
            i++;
            continue;
        }
        mb_journal_finish(journal);
        g_free(journal);
        (void)g_ptr_array_remove_index_fast(node->old_journals, i);
    }
}

/* Queues a record of the owner. */
static bool
add_owner_record(mb_scheduler_node_t *node, uint64_t token, bool resigned,
                 mb_journal_done_t done, void *context)
{
    mb_ownership_record_t record = {token, node->config.incarnation, resigned};
    mb_buf_clear(&node->key);
    mb_buf_clear(&node->value);
    mb_dag_record_key(&node->key, MB_DAG_RECORD_OWNER, MB_STR_EMPTY);
    mb_dag_record_encode_owner(&node->value, &record);
    return mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                          mb_buf_view(&node->value), UINT64_MAX, done,
                          context);
}

/* A claim that its journal reports on; the node may have made another one
   since. */
typedef struct claim {
    mb_scheduler_node_t *node;
    const mb_journal_t *journal;
} claim_t;

/* Takes the result of a claim. One that was taken shows in the log. */
static void
claim_done(void *context, mb_keyed_result_t result)
{
    g_autofree claim_t *claim = context;
    mb_scheduler_node_t *node = claim->node;
    if (result == MB_KEYED_OK || claim->journal != node->owner_journal) {
        return;
    }
    mb_log_info(&node->log, "claim not taken result=%s",
                mb_keyed_result_name(result));
    mb_ownership_claim_failed(&node->ownership);
}

/* Claims the fleet under the next token. A random sequence number makes two
   claims of one token differ, so that the log takes only the first. */
static void
claim_fleet(mb_scheduler_node_t *node)
{
    mb_rng_t rng = mb_rng_thread();
    uint64_t token = node->ownership.latest.token + 1;
    mb_journal_config_t config = {.stream = stream_jobs,
                                  .producer = producer_owner,
                                  .epoch = token,
                                  .sequence = 1 + mb_rng_below(&rng, 1u << 30),
                                  .contested = true,
                                  .batch_records_max = BATCH_RECORDS_MAX,
                                  .batch_bytes_max = BATCH_BYTES_MAX};
    mb_log_notice(&node->log,
                  "claiming the fleet token=%" G_GUINT64_FORMAT
                  " resigned=%d heard_ms_ago=%" G_GUINT64_FORMAT,
                  token, node->ownership.latest.resigned,
                  (mb_clock_us(&node->clock) - node->ownership.heard_us) /
                      MB_US_PER_MS);
    retire_owner_journal(node);
    node->owner_journal = g_new0(mb_journal_t, 1);
    mb_journal_init(node->owner_journal, &config, &node->keyed_log,
                    &node->clock, &node->log);
    claim_t *claim = g_new0(claim_t, 1);
    *claim = (claim_t){node, node->owner_journal};
    (void)add_owner_record(node, token, false, claim_done, claim);
    mb_scheduler_wake(node);
}

/* Progress records that are stored together. */
struct mb_scheduler_group {
    mb_scheduler_node_t *node;
    uint32_t left; /* records without a result */
    bool closed;   /* no more records are added */
    bool failed;
};

/* Ends a group when every record has its result. One of an ownership that has
   ended says nothing to the fleet. */
static void
end_group(mb_scheduler_group_t *group)
{
    mb_scheduler_node_t *node = group->node;
    if (group->left > 0 || !group->closed) {
        return;
    }
    if (node->group == group) {
        node->group = NULL;
        mb_fleet_stored(&node->fleet, !group->failed);
        mb_scheduler_wake(node);
    }
    g_free(group);
}

/* Counts a stored progress record. */
static void
progress_done(void *context, mb_keyed_result_t result)
{
    mb_scheduler_group_t *group = context;
    group->failed = group->failed || result != MB_KEYED_OK;
    group->left--;
    end_group(group);
}

/* Queues the progress of a job for the log. */
static void
store_progress(void *context, const mb_dag_progress_t *progress)
{
    mb_scheduler_node_t *node = context;
    if (node->group == NULL) {
        node->group = g_new0(mb_scheduler_group_t, 1);
        node->group->node = node;
    }
    node->group->left++;
    mb_buf_clear(&node->key);
    mb_buf_clear(&node->value);
    mb_dag_record_key(&node->key, MB_DAG_RECORD_PROGRESS,
                      mb_dag_id_view(&progress->id));
    mb_dag_record_encode_progress(&node->value, progress);
    if (node->owner_journal == NULL ||
        !mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                        mb_buf_view(&node->value), UINT64_MAX, progress_done,
                        node->group)) {
        node->group->failed = true;
        node->group->left--;
    }
}

/* Closes the group of records. */
static void
store_group_end(void *context)
{
    mb_scheduler_node_t *node = context;
    node->group->closed = true;
    end_group(node->group);
    mb_scheduler_wake(node);
}

/* Begins to own the fleet: the claim was read from the log, and with it
   everything that the former owner stored. */
static void
become_owner(mb_scheduler_node_t *node, const mb_ownership_record_t *former)
{
    uint64_t now_us = mb_clock_us(&node->clock);
    uint64_t act_us = MB_OWNERSHIP_ACT_MS * (uint64_t)MB_US_PER_MS;
    uint64_t settle_us = now_us + mb_fleet_lease_us();
    if (former->token == 0) {
        settle_us = now_us;
    }
    else if (!former->resigned) {
        settle_us += act_us;
    }
    mb_log_notice(&node->log,
                  "owning the fleet token=%" G_GUINT64_FORMAT
                  " jobs=%u agents=%u",
                  node->ownership.latest.token,
                  g_hash_table_size(node->table.jobs), node->agents->len);
    node->group = NULL;
    mb_gauge_set(node->metrics.owner, 1);
    mb_follower_set_gap(&node->jobs, 0);
    mb_fleet_begin(&node->fleet, node->ownership.latest.token, settle_us);
    mb_scheduler_wake(node);
}

/* Ends to own the fleet. Progress that was not stored is dropped with the
   table, which is read from the log anew. */
static void
lose_ownership(mb_scheduler_node_t *node)
{
    mb_log_notice(
        &node->log, "fleet lost to token=%" G_GUINT64_FORMAT " resigned=%d",
        node->ownership.latest.token, node->ownership.latest.resigned);
    mb_gauge_set(node->metrics.owner, 0);
    mb_follower_set_gap(&node->jobs, FOLLOWER_GAP_MS);
    mb_fleet_end(&node->fleet);
    node->group = NULL;
    mb_scheduler_agents_close(node);
    retire_owner_journal(node);
    mb_dag_table_clear(&node->table);
    (void)g_hash_table_remove_all(node->cancels);
    mb_follower_reload(&node->jobs);
}

/* Takes the job of a record. */
static void
apply_job(mb_scheduler_node_t *node, const mb_dag_record_t *record)
{
    mb_dag_job_t *job = mb_dag_add(&node->table, &record->body.job);
    if (job == NULL) {
        return;
    }
    job->seen_us = mb_clock_us(&node->clock);
    if (g_hash_table_remove(node->cancels, &job->spec.id)) {
        job->cancelled = true;
        job->shown = MB_DAG_CANCELLED;
        job->outcome = MB_DAG_CANCELLED;
        job->closed_us = job->seen_us;
    }
    mb_fleet_job_added(&node->fleet, job);
    mb_scheduler_wake(node);
}

/* Takes a cancellation, also one read before its job. */
static void
apply_cancel(mb_scheduler_node_t *node, const mb_dag_record_t *record)
{
    mb_dag_job_t *job = mb_dag_find(&node->table, record->id);
    if (job == NULL) {
        (void)g_hash_table_add(node->cancels,
                               g_memdup2(&record->id, sizeof(record->id)));
        return;
    }
    if (job->cancelled || job->shown != MB_DAG_OPEN) {
        return;
    }
    job->cancelled = true;
    job->shown = MB_DAG_CANCELLED;
    job->closed_us = mb_clock_us(&node->clock);
    mb_fleet_job_cancelled(&node->fleet, job);
    job->outcome = MB_DAG_CANCELLED;
    mb_scheduler_wake(node);
}

/* Takes stored progress. The owner wrote it itself and knows more; only what
   clients may be told is news to it. */
static void
apply_progress(mb_scheduler_node_t *node, const mb_dag_record_t *record)
{
    mb_dag_job_t *job = mb_dag_find(&node->table, record->id);
    const mb_dag_progress_t *progress = &record->body.progress;
    if (job == NULL) {
        return;
    }
    job->started = job->started || progress->started;
    if (!mb_fleet_owns(&node->fleet)) {
        mb_dag_progress_apply(job, progress);
        job->outcome = job->cancelled ? MB_DAG_CANCELLED : job->outcome;
    }
    if (job->shown == MB_DAG_OPEN && progress->outcome != MB_DAG_OPEN) {
        job->shown = progress->outcome;
        job->closed_us = mb_clock_us(&node->clock);
    }
}

/* Takes a record of the owner. */
static void
apply_owner(mb_scheduler_node_t *node, const mb_dag_record_t *record,
            bool fresh)
{
    mb_ownership_record_t former = node->ownership.latest;
    if (!mb_ownership_apply(&node->ownership, &record->body.owner, fresh)) {
        return;
    }
    if (node->ownership.state == MB_OWNERSHIP_OWNS) {
        become_owner(node, &former);
    }
    else {
        lose_ownership(node);
    }
}

/* Forgets a job whose record was removed. */
static void
remove_job(mb_scheduler_node_t *node, mb_dag_id_t id)
{
    mb_dag_job_t *job = mb_dag_find(&node->table, id);
    if (job != NULL && mb_fleet_job_idle(job)) {
        mb_fleet_job_removed(&node->fleet, job);
        mb_dag_remove(&node->table, id);
    }
}

/* Takes one record of the job log. */
static void
apply_record(void *context, const mb_keyed_record_t *raw, bool fresh)
{
    mb_scheduler_node_t *node = context;
    mb_dag_record_t record;
    g_autoptr(GError) error = NULL;
    if (!mb_dag_record_decode(&node->decoder, raw->key, raw->value, &record,
                              &error)) {
        mb_log_warning(&node->log, "record ignored: %s bytes=%zu",
                       error->message, raw->value.len);
        return;
    }
    switch (record.kind) {
    case MB_DAG_RECORD_JOB:
        if (record.removed) {
            remove_job(node, record.id);
        }
        else {
            apply_job(node, &record);
        }
        break;
    case MB_DAG_RECORD_CANCEL:
        if (!record.removed) {
            apply_cancel(node, &record);
        }
        break;
    case MB_DAG_RECORD_PROGRESS:
        if (!record.removed) {
            apply_progress(node, &record);
        }
        break;
    case MB_DAG_RECORD_AGENT:
        if (record.removed) {
            mb_scheduler_agent_removed(node, record.body.agent.address);
        }
        else {
            mb_scheduler_agent_known(node, record.body.agent.address);
        }
        break;
    case MB_DAG_RECORD_OWNER:
        if (!record.removed) {
            apply_owner(node, &record, fresh);
        }
        break;
    case MB_DAG_RECORD_KIND_COUNT:
        break;
    }
}

/* Everything was read that the job log held at a time. */
static void
jobs_current(void *context, uint64_t since_us)
{
    mb_scheduler_node_t *node = context;
    mb_ownership_current(&node->ownership, since_us);
}

/* Puts a configuration in force, unless a newer one is. */
static void
take_config(void *context, const mb_queue_version_t *version)
{
    mb_scheduler_node_t *node = context;
    if (mb_queue_table_publish(&node->queues, version)) {
        mb_gauge_set(node->metrics.config_version, version->version);
        mb_log_notice(&node->log,
                      "configuration in force version=%" G_GUINT64_FORMAT
                      " queues=%u services=%u",
                      version->version, version->queue_count,
                      version->pool_count);
    }
}

/* Takes one record of the configuration log. One without a value says that
   the record was removed; the configuration stays in force. */
static void
apply_config(void *context, const mb_keyed_record_t *raw, bool fresh)
{
    mb_scheduler_node_t *node = context;
    g_autoptr(GError) error = NULL;
    (void)fresh;
    if (raw->value.len > 0 &&
        !node->front.read_config(node->front.context, raw->key, raw->value,
                                 take_config, node, &error) &&
        error != NULL) {
        mb_log_warning(&node->log, "configuration ignored: %s",
                       error->message);
    }
}

/* Nothing follows from a configuration being current. */
static void
config_current(void *context, uint64_t since_us)
{
    (void)context;
    (void)since_us;
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
        claim_fleet(node);
        break;
    case MB_OWNERSHIP_HEARTBEAT:
        if (node->owner_journal != NULL) {
            (void)add_owner_record(node, node->ownership.latest.token, false,
                                   NULL, NULL);
        }
        break;
    case MB_OWNERSHIP_NOTHING:
        break;
    }
    mb_fleet_set_acting(&node->fleet, mb_ownership_acts(&node->ownership));
}

/* Tells the load balancer whether clients are served well here. */
static void
update_ready(mb_scheduler_node_t *node)
{
    bool ready = mb_follower_loaded(&node->jobs) &&
                 mb_queue_table_load(&node->queues) != NULL &&
                 mb_ownership_in_contact(&node->ownership) &&
                 mb_atomic_load(&node->draining) == 0;
    if (ready != (mb_atomic_load(&node->is_ready) != 0)) {
        mb_log_notice(&node->log, "ready=%d", ready);
        mb_atomic_store(&node->is_ready, ready);
    }
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
    free_old_journals(node);
    sweep(node);
    update_ready(node);
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
    node->flush = (mb_loop_deferred_t){run_flush, node, NULL, false};
    add_metrics(node);
    mb_queue_table_init(&node->queues, epoch);
    mb_dag_table_init(&node->table);
    node->cancels =
        g_hash_table_new_full(mb_dag_id_hash, mb_dag_id_equal, g_free, NULL);
    node->old_journals = g_ptr_array_new();
    node->agents = g_ptr_array_new_with_free_func(g_free);
    node->requests = g_ptr_array_new();
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
                                  .store = store_progress,
                                  .store_group_end = store_group_end,
                                  .unix_ms = fleet_unix_ms,
                                  .context = node};
    mb_follower_callbacks_t jobs = {apply_record, jobs_current, node};
    mb_follower_callbacks_t configs = {apply_config, config_current, node};
    mb_journal_config_t journal = {.stream = stream_jobs,
                                   .producer = mb_buf_view(&node->producer),
                                   .epoch = 1,
                                   .sequence = 1,
                                   .batch_records_max = BATCH_RECORDS_MAX,
                                   .batch_bytes_max = BATCH_BYTES_MAX};
    mb_fleet_init(&node->fleet, &node->table, &fleet, &node->clock,
                  &node->log);
    mb_ownership_init(&node->ownership, &node->clock, &rng,
                      node->config.incarnation);
    mb_follower_init(&node->jobs, stream_jobs, &node->keyed_log, &jobs,
                     &node->clock, &node->log);
    mb_follower_set_gap(&node->jobs, FOLLOWER_GAP_MS);
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
    if (mb_fleet_owns(&node->fleet) && node->owner_journal != NULL) {
        mb_log_notice(&node->log,
                      "resigning from the fleet token=%" G_GUINT64_FORMAT,
                      node->ownership.latest.token);
        (void)add_owner_record(node, node->ownership.latest.token, true, NULL,
                               NULL);
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
    retire_owner_journal(node);
    free_old_journals(node);
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
    mb_buf_finish(&node->producer);
    mb_buf_finish(&node->key);
    mb_buf_finish(&node->value);
    mb_loop_finish(&node->loop);
}
