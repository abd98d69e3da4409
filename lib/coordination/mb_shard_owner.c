/* The owner of a shard: its lifetime, gaining and losing the ownership, the
   declared resources, and appending records to the log. At most one append is
   in flight; of several due records the most important one goes first. */
#include <string.h>

#include "mb_assert.h"
#include "mb_shard_internal.h"

/* Longest time that mb_shard_tick returns, in microseconds from now. */
#define TICK_MAX_US (MB_US_PER_S)

/* Frees a copy of a resource; the destructor of hash table values. */
static void
free_resource(gpointer data)
{
    mb_resource_finish(data);
    g_free(data);
}

/* Creates the object of one shard, not yet as its owner. The configuration,
   the callbacks, the clock and the random numbers are copied; their contexts
   must outlive the object. */
mb_shard_t *
mb_shard_new(const mb_shard_config_t *config,
             const mb_shard_callbacks_t *callbacks, const mb_clock_t *clock,
             const mb_rng_t *rng, const mb_log_t *log, uint64_t owner_id)
{
    mb_shard_t *shard = g_new0(mb_shard_t, 1);
    shard->config = *config;
    shard->callbacks = *callbacks;
    shard->clock = *clock;
    shard->rng = *rng;
    shard->log = mb_log_for(log, "shard");
    mb_lease_init(&shard->lease, &config->lease, clock, rng, owner_id);
    mb_task_table_init(&shard->tasks);
    shard->capacities = g_new0(mb_size_t, config->shard_count);
    shard->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                        mb_shard_job_free);
    shard->workers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                           mb_shard_worker_free);
    shard->workers_by_due_time = g_sequence_new(NULL);
    shard->jobs_by_number = g_hash_table_new(NULL, NULL);
    shard->ready_jobs = g_hash_table_new(NULL, NULL);
    mb_sizing_init(&shard->sizing);
    mb_shard_evidence_init(shard);
    mb_slowdown_init(&shard->slowdown_model);
    shard->workers_by_placement_id = g_hash_table_new(NULL, NULL);
    shard->teams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_resource);
    shard->constraints =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_resource);
    shard->finishes = g_array_new(FALSE, FALSE, sizeof(mb_finish_t));
    shard->releases = g_array_new(FALSE, FALSE, sizeof(mb_release_t));
    shard->closes = g_array_new(FALSE, FALSE, sizeof(mb_close_t));
    return shard;
}

/* Frees the shard. Nothing is appended: the lease expires unless it was
   released before. */
void
mb_shard_free(mb_shard_t *shard)
{
    if (shard->active) {
        mb_shard_deactivate(shard);
    }
    mb_task_table_finish(&shard->tasks);
    g_free(shard->capacities);
    g_hash_table_destroy(shard->jobs);
    g_hash_table_destroy(shard->workers);
    g_sequence_free(shard->workers_by_due_time);
    g_hash_table_destroy(shard->jobs_by_number);
    g_hash_table_destroy(shard->ready_jobs);
    mb_sizing_finish(&shard->sizing);
    mb_evidence_finish(&shard->evidence);
    mb_slowdown_finish(&shard->slowdown_model);
    g_hash_table_destroy(shard->workers_by_placement_id);
    g_hash_table_destroy(shard->teams);
    g_hash_table_destroy(shard->constraints);
    g_array_unref(shard->finishes);
    g_array_unref(shard->releases);
    g_array_unref(shard->closes);
    g_free(shard);
}

/* Adds the held tasks of one job to the lists of their workers, all in state
   assigned: an earlier owner started them, and only a report of the worker
   shows whether they run. */
static void
inherit_tasks(mb_shard_t *shard, mb_job_tasks_t *tasks)
{
    for (uint32_t i = 0; i < tasks->len; i++) {
        mb_task_t *task = &tasks->tasks[i];
        mb_task_id_t id = {tasks->job, i};
        task->marks = 0;
        if (!mb_task_is_held(task)) {
            continue;
        }
        mb_task_set_state(tasks, task, MB_TASK_ASSIGNED);
        task->marks = MB_MARK_INHERITED;
        mb_shard_worker_t *worker =
            mb_shard_worker_get_or_add(shard, task->worker);
        (void)g_array_append_val(worker->held_tasks, id);
        mb_shard_worker_reschedule(worker);
    }
}

/* Calls `visit` for each value of a table. */
static void
for_each_value(GHashTable *table, mb_shard_t *shard,
               void (*visit)(mb_shard_t *shard, gpointer value))
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        visit(shard, value);
    }
}

/* Adapts mb_shard_worker_reset to for_each_value. */
static void
reset_worker(mb_shard_t *shard, gpointer value)
{
    mb_shard_worker_reset(shard, value);
}

/* Adapts inherit_tasks to for_each_value. */
static void
inherit_tasks_value(mb_shard_t *shard, gpointer value)
{
    inherit_tasks(shard, value);
}

/* Clears what a job keeps of an earlier ownership. Its tasks are queued later,
   by mb_shard_policy_rebuild. */
static void
reset_job(mb_shard_t *shard, gpointer value)
{
    mb_shard_job_t *job = value;
    (void)shard;
    job->close_pending = false;
}

/* Makes this process the owner. Called when its own claim is read back from
   the log, so every record before the claim has been applied. */
void
mb_shard_activate(mb_shard_t *shard)
{
    shard->active = true;
    shard->active_token = shard->lease.token;
    shard->orphan_scan_us =
        mb_clock_us(&shard->clock) +
        (uint64_t)shard->config.orphan_delay_ms * MB_US_PER_MS;
    shard->next_schedule_us = 0;
    shard->next_finishes_us = 0;
    shard->throttled_milli = 0;
    mb_evidence_clear(&shard->evidence);
    for_each_value(shard->workers, shard, reset_worker);
    for_each_value(shard->tasks.jobs, shard, inherit_tasks_value);
    for_each_value(shard->jobs, shard, reset_job);
    mb_shard_policy_rebuild(shard);
    mb_log_notice(&shard->log, "took over the shard token=%" G_GUINT64_FORMAT,
                  shard->active_token);
}

/* Removes the first `count` queued releases and frees their checkpoints. */
static void
remove_releases(mb_shard_t *shard, guint count)
{
    for (guint i = 0; i < count; i++) {
        g_free((char *)g_array_index(shard->releases, mb_release_t, i)
                   .checkpoint.data);
    }
    if (count > 0) {
        g_array_remove_range(shard->releases, 0, count);
    }
}

/* Ends the ownership, for instance because the claim of this process is no
   longer in force: clears everything that only the owner keeps. The replicated
   state and the declared resources stay. */
void
mb_shard_deactivate(mb_shard_t *shard)
{
    GHashTableIter iter;
    gpointer value;
    shard->active = false;
    mb_shard_policy_clear(shard);
    g_array_set_size(shard->finishes, 0);
    remove_releases(shard, shard->releases->len);
    g_array_set_size(shard->closes, 0);
    g_hash_table_iter_init(&iter, shard->workers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_shard_worker_t *worker = value;
        worker->placement_id = MB_WORKER_NONE;
        g_array_set_size(worker->held_tasks, 0);
        g_array_set_size(worker->acks, 0);
        g_array_set_size(worker->orphaned, 0);
        g_array_set_size(worker->throttles, 0);
    }
    mb_log_notice(&shard->log, "lost the shard token=%" G_GUINT64_FORMAT,
                  shard->active_token);
}

/* Queues a finish to be appended. The caller has set MB_MARK_END_PENDING. */
void
mb_shard_queue_finish(mb_shard_t *shard, const mb_finish_t *finish)
{
    (void)g_array_append_val(shard->finishes, *finish);
}

/* Queues the release of a task to be appended and marks the task. The
   checkpoint is copied; one that exceeds MB_CHECKPOINT_MAX is dropped. The
   task now only waits for the record to be read back: an attempt ends once, so
   no other end may be queued. */
void
mb_shard_queue_release(mb_shard_t *shard, mb_task_id_t id, mb_task_t *task,
                       mb_release_reason_t reason, mb_str_t checkpoint)
{
    MB_INVARIANT((task->marks & MB_MARK_END_PENDING) == 0,
                 "one_end_per_attempt");
    mb_release_t release = {id, task->attempt, reason, MB_STR_EMPTY};
    if (checkpoint.len > 0 && checkpoint.len <= MB_CHECKPOINT_MAX) {
        release.checkpoint = (mb_str_t){
            g_memdup2(checkpoint.data, checkpoint.len), checkpoint.len};
    }
    else {
        release.checkpoint = (mb_str_t){NULL, 0};
    }
    task->marks |= MB_MARK_END_PENDING;
    (void)g_array_append_val(shard->releases, release);
}

/* Returns the reason of the release of a task that was stopped on request. */
mb_release_reason_t
mb_shard_stop_reason(const mb_shard_t *shard, mb_task_id_t id)
{
    const mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
    return job != NULL && mb_shard_job_is_cancelled(job) ? MB_RELEASE_CANCELLED
                                                         : MB_RELEASE_EVICTED;
}

/* Hands the record in `shard->record`, whose list the caller has filled, to
   the log. */
static void
append(mb_shard_t *shard, mb_shard_record_type_t type, uint32_t count)
{
    shard->record.type = type;
    shard->record.token = shard->active_token;
    shard->record.count = count;
    shard->append_in_flight = true;
    shard->callbacks.append(shard->callbacks.context, &shard->record);
#ifdef MB_MUTANT_SHARD_START_BEFORE_READ_BACK
    if (type == MB_SHARD_STARTS) {
        mb_shard_apply(shard, shard->lease.last_offset + 1, &shard->record,
                       false);
    }
#endif
}

/* Copies up to `max` items from the front of a queue and returns the count.
   The caller removes them from the queue. */
static uint32_t
copy_front(GArray *queue, void *items, guint max)
{
    guint count = MIN(queue->len, max);
    if (count > 0) {
        memcpy(items, queue->data, count * g_array_get_element_size(queue));
    }
    return count;
}

/* Appends queued finishes. Returns false if there are none. */
static bool
append_finishes(mb_shard_t *shard)
{
    uint32_t count = copy_front(shard->finishes, shard->record.body.finishes,
                                MB_SHARD_BATCH_MAX);
    if (count == 0) {
        return false;
    }
    g_array_remove_range(shard->finishes, 0, count);
    append(shard, MB_SHARD_FINISHES, count);
    return true;
}

/* Appends queued releases. Returns false if there are none. The checkpoints
   are freed only after the record was handed over, which borrows them. */
static bool
append_releases(mb_shard_t *shard)
{
    uint32_t count = copy_front(shard->releases, shard->record.body.releases,
                                MB_SHARD_RELEASES_MAX);
    if (count == 0) {
        return false;
    }
    append(shard, MB_SHARD_RELEASE, count);
    remove_releases(shard, count);
    return true;
}

/* Appends queued closes. Returns false if none remains. The declaration of a
   job may have changed since its close was queued; a close that no longer
   holds is dropped and the job is examined again. */
static bool
append_closes(mb_shard_t *shard)
{
    uint32_t count = 0;
    while (shard->closes->len > 0 && count < MB_SHARD_BATCH_MAX) {
        mb_close_t item = g_array_index(shard->closes, mb_close_t, 0);
        mb_shard_job_t *job = mb_shard_job_find(shard, item.job);
        (void)g_array_remove_index(shard->closes, 0);
        if (job == NULL) {
            continue;
        }
        if (mb_shard_job_is_complete(shard, job) &&
            item.job_deleted == !job->declared) {
            shard->record.body.closes[count++] = item;
            continue;
        }
        job->close_pending = false;
        mb_shard_job_close_if_complete(shard, job);
    }
    if (count == 0) {
        return false;
    }
    append(shard, MB_SHARD_CLOSE, count);
    return true;
}

/* Runs a scheduling pass if one is due and appends the starts that it chose.
   Returns false if none was chosen. */
static bool
append_starts(mb_shard_t *shard)
{
    uint64_t now = mb_clock_us(&shard->clock);
    bool due = shard->schedule_needed &&
               (shard->schedule_urgent || now >= shard->next_schedule_us);
    if (!due && now < shard->schedule_retry_us) {
        return false;
    }
    mb_shard_policy_schedule(shard);
    shard->next_schedule_us =
        now + (uint64_t)shard->config.batch_delay_ms * MB_US_PER_MS;
    if (shard->record.count == 0) {
        return false;
    }
    append(shard, MB_SHARD_STARTS, shard->record.count);
    return true;
}

/* Returns the time at which queued finishes and closes are to be appended. The
   first one after a pause is appended at once and later ones are batched, so
   that short tasks do not cost one append each. There is no delay if the
   finishes fill a record, or while urgent work may be waiting for the
   resources that the finished tasks held. */
static uint64_t
finishes_due_us(const mb_shard_t *shard)
{
    if (shard->finishes->len + shard->closes->len == 0) {
        return UINT64_MAX;
    }
    bool now =
        shard->schedule_urgent || shard->finishes->len >= MB_SHARD_BATCH_MAX;
    return now ? 0 : shard->next_finishes_us;
}

/* Appends queued finishes, or closes if there are no finishes, when due.
   Returns false if nothing was appended. */
static bool
append_finishes_or_closes(mb_shard_t *shard)
{
    uint64_t now = mb_clock_us(&shard->clock);
    if (now < finishes_due_us(shard)) {
        return false;
    }
    shard->next_finishes_us =
        now + (uint64_t)shard->config.finish_delay_ms * MB_US_PER_MS;
    return append_finishes(shard) || append_closes(shard);
}

/* Appends the most important record that is due, unless one is in flight:
   claims and renewals first, then releases, finishes, closes and starts. */
static void
append_next(mb_shard_t *shard)
{
    if (shard->append_in_flight) {
        return;
    }
    if (shard->config_ready &&
        mb_lease_get_due_record(&shard->lease, &shard->record)) {
        mb_lease_note_sent(&shard->lease);
        shard->append_in_flight = true;
        shard->callbacks.append(shard->callbacks.context, &shard->record);
        return;
    }
    if (!shard->active || mb_shard_phase(shard) != MB_LEASE_OWNER) {
        return;
    }
    if (append_releases(shard) || append_finishes_or_closes(shard)) {
        return;
    }
    (void)append_starts(shard);
}

/* Performs all work that is due: a rebuild of the policy objects, requests to
   workers and the next append. Workers also get requests in the phase
   MB_LEASE_GRACE, so that their leases do not expire during an outage of the
   log. */
uint64_t
mb_shard_tick(mb_shard_t *shard)
{
    uint64_t now = mb_clock_us(&shard->clock);
    uint64_t next = now + TICK_MAX_US;
    if (shard->active && mb_shard_phase(shard) != MB_LEASE_FOLLOWER) {
        if (shard->rebuild_needed) {
            mb_shard_policy_rebuild(shard);
        }
        if (mb_shard_phase(shard) == MB_LEASE_OWNER) {
            mb_shard_stop_orphaned_jobs(shard);
        }
        next = MIN(next, mb_shard_tick_workers(shard));
    }
    append_next(shard);
    if (!shard->append_in_flight) {
        next = MIN(next, mb_lease_next_record_us(&shard->lease));
        if (shard->active && shard->schedule_needed) {
            next = MIN(next, shard->next_schedule_us);
        }
        if (shard->active) {
            next = MIN(next, shard->schedule_retry_us);
            next = MIN(next, finishes_due_us(shard));
        }
    }
    return MAX(next, now + MB_US_PER_MS);
}

/* Stops acting as owner at once; the next record releases the lease. */
void
mb_shard_release_lease(mb_shard_t *shard)
{
    mb_lease_release(&shard->lease);
}

/* Sets the capacity of every shard, which determines this shard's part of the
   teams' quotas. */
void
mb_shard_set_capacities(mb_shard_t *shard, const mb_size_t *capacities)
{
    size_t bytes = shard->config.shard_count * sizeof(*capacities);
    if (memcmp(shard->capacities, capacities, bytes) != 0) {
        memcpy(shard->capacities, capacities, bytes);
        shard->rebuild_needed = true;
    }
}

/* Allows this process to claim the shard. Called once the configuration in
   force has been replayed. */
void
mb_shard_set_config_ready(mb_shard_t *shard)
{
    shard->config_ready = true;
}

/* Returns what this process may do for the shard at this moment. */
mb_lease_phase_t
mb_shard_phase(const mb_shard_t *shard)
{
    return mb_lease_phase(&shard->lease);
}

/* Returns the replicated table of tasks; borrowed. */
const mb_task_table_t *
mb_shard_tasks(const mb_shard_t *shard)
{
    return &shard->tasks;
}

/* Adds a job or service, or replaces its declaration. */
static void
put_job(mb_shard_t *shard, const mb_resource_t *resource)
{
    uint64_t key =
        mb_shard_job_key(resource->kind, mb_buf_view(&resource->name));
    mb_shard_job_t *job = mb_shard_job_find(shard, key);
    if (job == NULL) {
        if (g_hash_table_size(shard->jobs) >= MB_SHARD_JOBS_MAX) {
            mb_log_warning(&shard->log, "too many jobs, ignored job=%.*s",
                           (int)resource->name.len, resource->name.data);
            return;
        }
        job = mb_shard_job_add(shard, key, resource->kind);
    }
    mb_resource_finish(&job->resource);
    mb_resource_copy(&job->resource, resource);
    job->declared = true;
    shard->schedule_urgent |= mb_shard_job_class(job) == MB_CLASS_URGENT;
    mb_shard_job_rebuild(shard, job);
}

/* Stores a copy of a resource in a table, keyed by name. */
static void
store_by_name(GHashTable *table, const mb_resource_t *resource)
{
    mb_resource_t *copy = g_new0(mb_resource_t, 1);
    mb_resource_copy(copy, resource);
    (void)g_hash_table_replace(
        table, mb_str_to_cstr(mb_buf_view(&resource->name)), copy);
}

/* Adds a declared resource or replaces its declaration. */
void
mb_shard_put_resource(mb_shard_t *shard, const mb_resource_t *resource)
{
    switch (resource->kind) {
    case MB_RESOURCE_SERVICE:
    case MB_RESOURCE_JOB:
        put_job(shard, resource);
        break;
    case MB_RESOURCE_TEAM:
        store_by_name(shard->teams, resource);
        shard->rebuild_needed = true;
        break;
    case MB_RESOURCE_CONSTRAINT:
        store_by_name(shard->constraints, resource);
        shard->rebuild_needed = true;
        break;
    case MB_RESOURCE_POLICY:
        shard->policy = resource->spec.policy;
        shard->rebuild_needed = true;
        break;
    case MB_RESOURCE_WORKER:
        mb_shard_worker_declare(shard, resource);
        break;
    case MB_RESOURCE_KIND_COUNT:
        break;
    }
}

/* Marks a job or service as no longer declared, which stops its tasks. It is
   removed at once if it has no tasks, else when its close is applied. */
static void
delete_job(mb_shard_t *shard, mb_resource_kind_t kind, mb_str_t name)
{
    uint64_t key = mb_shard_job_key(kind, name);
    mb_shard_job_t *job = mb_shard_job_find(shard, key);
    if (job == NULL) {
        return;
    }
    job->declared = false;
    if (mb_task_job_find(&shard->tasks, key) == NULL) {
        mb_shard_job_remove(shard, job);
        return;
    }
    mb_shard_job_rebuild(shard, job);
}

/* Removes a deleted resource. The policy cannot be deleted. */
void
mb_shard_delete_resource(mb_shard_t *shard, mb_resource_kind_t kind,
                         mb_str_t name)
{
    g_autofree char *text = mb_str_to_cstr(name);
    switch (kind) {
    case MB_RESOURCE_SERVICE:
    case MB_RESOURCE_JOB:
        delete_job(shard, kind, name);
        break;
    case MB_RESOURCE_TEAM:
        (void)g_hash_table_remove(shard->teams, text);
        shard->rebuild_needed = true;
        break;
    case MB_RESOURCE_CONSTRAINT:
        (void)g_hash_table_remove(shard->constraints, text);
        shard->rebuild_needed = true;
        break;
    case MB_RESOURCE_WORKER:
        mb_shard_worker_undeclare(shard, name);
        break;
    case MB_RESOURCE_POLICY:
    case MB_RESOURCE_KIND_COUNT:
        break;
    }
}
