/* The memory that the jobs of the log take in this process: which submissions
   are accepted (mb_job_memory), and what becomes of jobs in the log that don't
   fit. All functions run on the thread of the loop.

   A job that exceeds what this process can hold is set aside: only its state
   is kept, for queries and cancellations. While some are, the process does not
   claim the fleet, as it could not tell their runs from orphaned ones; once
   there is room again, it reads the log anew. */
#include "mb_scheduler_request.h"

/* Divisor: the part of the memory that the runs of the fleet may take in its
   owner. */
#define RUNS_SHARE 10u
/* Time that the client of a submission without room is told to wait, in
   seconds. */
#define RETRY_AFTER_S 5u
/* Time after which the append of a record of this scheduler is given up, in
   milliseconds. */
#define PUBLISH_TIMEOUT_MS 700u
/* Interval of the passes over all jobs, and shortest time between two reloads
   of the log, in milliseconds. */
#define SWEEP_INTERVAL_MS 1000u
#define RELOAD_INTERVAL_MS 10000u

/* A job of the log that is not in the table. */
typedef struct set_aside {
    mb_dag_id_t id;
    uint64_t weight;
    uint64_t queue; /* hash of its name */
    mb_dag_outcome_t outcome;
    bool started;
} set_aside_t;

/* Initializes what the functions of this file use. */
void
mb_scheduler_memory_init(mb_scheduler_node_t *node)
{
    mb_job_memory_init(&node->job_memory, node->config.name,
                       node->config.memory_bytes, &node->clock);
    mb_fleet_set_runs_max(
        &node->fleet, (uint32_t)MIN(node->config.memory_bytes / RUNS_SHARE /
                                        sizeof(mb_fleet_run_t),
                                    UINT32_MAX));
    node->set_aside =
        g_hash_table_new_full(mb_dag_id_hash, mb_dag_id_equal, NULL, g_free);
}

/* Releases the memory of mb_scheduler_memory_init. */
void
mb_scheduler_memory_finish(mb_scheduler_node_t *node)
{
    mb_job_memory_finish(&node->job_memory);
    g_hash_table_destroy(node->set_aside);
}

/* Returns the weight of all jobs that are known to be in the log. While the
   table is read anew, that of the former one counts. */
static uint64_t
get_held_bytes(const mb_scheduler_node_t *node)
{
    return MAX(node->table.weight + node->set_aside_bytes,
               node->former_weight);
}

/* Publishes the record of this scheduler, unless the log fails appends. */
static void
publish(mb_scheduler_node_t *node)
{
    uint64_t now_us = mb_clock_us(&node->clock);
    mb_job_memory_record_t record = mb_job_memory_record(&node->job_memory);
    mb_buf_clear(&node->key);
    mb_buf_clear(&node->value);
    mb_dag_record_encode_key(&node->key, MB_DAG_RECORD_SCHEDULER,
                             node->config.name);
    mb_dag_record_encode_scheduler(&node->value, &record);
    if (node->journal.failing_since_us == 0 &&
        mb_journal_add(&node->journal, mb_buf_view(&node->key),
                       mb_buf_view(&node->value),
                       now_us + PUBLISH_TIMEOUT_MS * (uint64_t)MB_US_PER_MS,
                       NULL, NULL)) {
        node->memory_published_us = now_us;
        mb_scheduler_defer_flush(node);
    }
}

/* Tells whether half of the time for a response has passed. The rest is left
   for the append. */
static bool
is_half_over(const mb_scheduler_request_t *request)
{
    uint64_t given_us = request->deadline_us - request->received_us;
    return mb_clock_us(&request->node->clock) >=
           request->received_us + given_us / 2;
}

/* Returns the verdict about a submission that can't be accepted now. It may be
   rejected only if it is certainly not in the log, by way of another
   scheduler. */
static mb_scheduler_verdict_t
reject_or_wait(mb_scheduler_request_t *request, bool has_to_wait)
{
    bool overdue = is_half_over(request);
    request->decision.retry_after_s = RETRY_AFTER_S;
    if (has_to_wait && !overdue) {
        return MB_SCHEDULER_UNDECIDED;
    }
    if (mb_scheduler_is_confirmed(request)) {
        return MB_SCHEDULER_REJECTED;
    }
    return overdue ? MB_SCHEDULER_UNCONFIRMED : MB_SCHEDULER_UNDECIDED;
}

/* Decides whether there is memory for the job of a submission, in every
   scheduler. While the journal is stalled, the submission is left to it. */
mb_scheduler_verdict_t
mb_scheduler_judge_memory(mb_scheduler_request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    mb_job_memory_t *memory = &node->job_memory;
    if (mb_job_memory_limit(memory) == UINT64_MAX ||
        mb_journal_stalled(&node->journal)) {
        return MB_SCHEDULER_ADMITTED;
    }
    if (!node->jobs_known) {
        return reject_or_wait(request, true);
    }
    switch (mb_job_memory_judge(memory, &node->table, get_held_bytes(node),
                                request->id, request->weight)) {
    case MB_JOB_MEMORY_FITS:
        return MB_SCHEDULER_ADMITTED;
    case MB_JOB_MEMORY_FULL:
        return reject_or_wait(request, false);
    case MB_JOB_MEMORY_RESERVE:
        mb_job_memory_reserve(memory, request->id, request->weight);
        publish(node);
        break;
    case MB_JOB_MEMORY_WAIT:
        break;
    }
    return reject_or_wait(request, true);
}

/* Logs and counts a submission that was rejected for lack of memory. */
void
mb_scheduler_note_no_memory(const mb_scheduler_request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    mb_counter_add(node->metrics.rejected_memory, 1);
    mb_log_notice(&node->log,
                  "no memory for a submission job=%.*s queue=%.*s "
                  "weight=%" G_GUINT64_FORMAT " held=%" G_GUINT64_FORMAT
                  " limit=%" G_GUINT64_FORMAT,
                  MB_STR_ARG(mb_dag_id_view(&request->id)),
                  MB_STR_ARG(mb_buf_view(&request->queue)), request->weight,
                  get_held_bytes(node),
                  mb_job_memory_limit(&node->job_memory));
}

/* Sets a job of the log aside if this process can't hold it. The owner holds
   everything, as it may have runs of it. Returns false if the job fits. */
bool
mb_scheduler_set_aside(mb_scheduler_node_t *node, const mb_dag_spec_t *spec)
{
    uint64_t weight = mb_dag_weigh(spec);
#ifdef MB_MUTANT_SCHEDULER_SETS_NOTHING_ASIDE
    return false;
#endif
    if (mb_fleet_is_owner(&node->fleet) ||
        mb_dag_find(&node->table, spec->id) != NULL ||
        !mb_job_memory_exceeded(&node->job_memory, weight,
                                node->table.weight)) {
        return false;
    }
    if (g_hash_table_contains(node->set_aside, &spec->id)) {
        return true;
    }
    set_aside_t *job = g_new0(set_aside_t, 1);
    *job = (set_aside_t){.id = spec->id,
                         .weight = weight,
                         .queue = mb_str_hash(spec->policy.queue)};
    (void)g_hash_table_insert(node->set_aside, &job->id, job);
    node->set_aside_bytes += weight;
    if (g_hash_table_size(node->set_aside) == 1) {
        mb_log_error(&node->log,
                     "jobs in the log exceed the memory of this process: it "
                     "does not claim the fleet held=%" G_GUINT64_FORMAT
                     " memory=%" G_GUINT64_FORMAT,
                     node->table.weight, node->config.memory_bytes);
    }
    return true;
}

/* Notes the state of a job that was set aside, if it was. */
void
mb_scheduler_set_aside_progress(mb_scheduler_node_t *node, mb_dag_id_t id,
                                bool started, mb_dag_outcome_t outcome)
{
    set_aside_t *job = g_hash_table_lookup(node->set_aside, &id);
    if (job == NULL) {
        return;
    }
    job->started = job->started || started;
    if (job->outcome == MB_DAG_OPEN) {
        job->outcome = outcome;
    }
}

/* Forgets a job that was set aside, after its removal from the log. */
void
mb_scheduler_set_aside_removed(mb_scheduler_node_t *node, mb_dag_id_t id)
{
    const set_aside_t *job = g_hash_table_lookup(node->set_aside, &id);
    if (job != NULL) {
        node->set_aside_bytes -= job->weight;
        (void)g_hash_table_remove(node->set_aside, &id);
    }
}

/* Finds a job of the log, in the table or among those that were set aside.
   Sets *state, unless there is none. */
bool
mb_scheduler_find_job(const mb_scheduler_node_t *node, mb_dag_id_t id,
                      mb_scheduler_job_state_t *state)
{
    const mb_dag_job_t *job = mb_dag_find(&node->table, id);
    if (job != NULL) {
        *state = (mb_scheduler_job_state_t){
            job->cancelled ? MB_DAG_CANCELLED : job->stored_outcome,
            job->started};
        return true;
    }
    const set_aside_t *aside = g_hash_table_lookup(node->set_aside, &id);
    if (aside != NULL) {
        *state = (mb_scheduler_job_state_t){aside->outcome, aside->started};
    }
    return aside != NULL;
}

/* Counts the jobs of a queue that were set aside and have not started. */
uint64_t
mb_scheduler_count_set_aside(const mb_scheduler_node_t *node, mb_str_t queue)
{
    GHashTableIter iter;
    gpointer value;
    uint64_t count = 0;
    uint64_t hash = mb_str_hash(queue);
    g_hash_table_iter_init(&iter, node->set_aside);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const set_aside_t *job = value;
        count +=
            job->queue == hash && !job->started && job->outcome == MB_DAG_OPEN;
    }
    return count;
}

/* Drops the table of jobs, so that it is read anew from the log. */
void
mb_scheduler_reload_jobs(mb_scheduler_node_t *node)
{
    node->former_weight = get_held_bytes(node);
    node->set_aside_bytes = 0;
    (void)g_hash_table_remove_all(node->set_aside);
    mb_dag_table_clear(&node->table);
    (void)g_hash_table_remove_all(node->early_cancels);
    mb_follower_reload(&node->jobs);
}

/* Notes that the log has been read as a whole. */
void
mb_scheduler_note_jobs_loaded(mb_scheduler_node_t *node)
{
    node->former_weight = 0;
    node->jobs_known = true;
}

/* Reads the log anew if jobs were set aside for which there is room now. */
static void
reload_if_room(mb_scheduler_node_t *node, uint64_t now_us)
{
    uint64_t period_us = RELOAD_INTERVAL_MS * (uint64_t)MB_US_PER_MS;
    if (g_hash_table_size(node->set_aside) > 0 &&
        !mb_fleet_is_owner(&node->fleet) && mb_follower_loaded(&node->jobs) &&
        now_us >= node->reloaded_us + period_us &&
        !mb_job_memory_exceeded(&node->job_memory, node->set_aside_bytes,
                                node->table.weight)) {
        mb_log_notice(&node->log,
                      "memory for all jobs of the log again: reading it anew "
                      "jobs=%u set_aside=%u",
                      g_hash_table_size(node->table.jobs),
                      g_hash_table_size(node->set_aside));
        node->reloaded_us = now_us;
        mb_scheduler_reload_jobs(node);
    }
}

/* Frees what closed jobs don't need any more until they are removed. */
static void
compact_closed_jobs(mb_scheduler_node_t *node)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->table.jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_dag_job_t *job = value;
        if (job->closed_us != 0 && job->outcome != MB_DAG_OPEN &&
            !job->compacted && mb_fleet_job_idle(&node->fleet, job)) {
            mb_dag_compact(job);
        }
    }
}

/* Draws the weight of the jobs from the budget of the clients' requests, so
   that both together stay within the memory of the process. */
static void
draw_from_intake(mb_scheduler_node_t *node)
{
    mb_intake_t *intake = &node->client_server.registry.intake;
    if (node->table.weight > node->drawn_bytes) {
        mb_intake_charge(intake, node->table.weight - node->drawn_bytes);
    }
    else {
        mb_intake_release(intake, node->drawn_bytes - node->table.weight);
    }
    node->drawn_bytes = node->table.weight;
}

/* Updates the metrics of the memory that jobs take. */
static void
update_memory_metrics(mb_scheduler_node_t *node)
{
    uint64_t limit = mb_job_memory_limit(&node->job_memory);
    mb_gauge_set(node->metrics.jobs_weight, node->table.weight);
    mb_gauge_set(node->metrics.jobs_weight_limit,
                 limit == UINT64_MAX ? 0 : limit);
    mb_gauge_set(node->metrics.jobs_set_aside,
                 g_hash_table_size(node->set_aside));
}

/* Queues the removal of the record of a scheduler that has been silent for
   long; callback of mb_job_memory_visit_old. */
static void
remove_record(void *context, mb_str_t name)
{
    mb_scheduler_node_t *node = context;
    mb_buf_clear(&node->key);
    mb_dag_record_encode_key(&node->key, MB_DAG_RECORD_SCHEDULER, name);
    (void)mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                         MB_STR_EMPTY, UINT64_MAX, NULL, NULL);
}

/* Publishes the record of this scheduler when it is due, compacts closed jobs,
   and reads the log anew if jobs were set aside that fit now. */
void
mb_scheduler_memory_tick(mb_scheduler_node_t *node)
{
    uint64_t now_us = mb_clock_us(&node->clock);
    uint64_t publish_us =
        MB_JOB_MEMORY_PUBLISH_INTERVAL_MS * (uint64_t)MB_US_PER_MS;
    bool ended =
        mb_job_memory_end_reservation(&node->job_memory, &node->table);
    if (mb_follower_loaded(&node->jobs) && node->config.memory_bytes != 0 &&
        (ended || node->memory_published_us == 0 ||
         now_us >= node->memory_published_us + publish_us)) {
        publish(node);
    }
    draw_from_intake(node);
    if (now_us <
        node->memory_swept_us + SWEEP_INTERVAL_MS * (uint64_t)MB_US_PER_MS) {
        return;
    }
    node->memory_swept_us = now_us;
    compact_closed_jobs(node);
    reload_if_room(node, now_us);
    update_memory_metrics(node);
    if (node->owner_journal != NULL) {
        mb_job_memory_visit_old(&node->job_memory, remove_record, node);
    }
}
