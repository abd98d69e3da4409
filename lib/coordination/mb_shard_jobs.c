/* Declared jobs and services of a shard: which of their tasks belong to this
   shard, may start, must stop, and when a job is closed. */
#include "mb_assert.h"
#include "mb_cleanup.h"
#include "mb_shard_internal.h"

/* Odd multiplier that distributes neighbouring indices over the shards. */
#define HASH_MULTIPLIER UINT64_C(0x9e3779b97f4a7c15)

/* Frees a job; the destructor of values in `shard->jobs`. */
void
mb_shard_job_free(gpointer data)
{
    mb_shard_job_t *job = data;
    mb_resource_finish(&job->resource);
    g_array_unref(job->requeued);
    g_array_unref(job->queued);
    g_free(job);
}

/* Adds a job that is not marked as declared and returns it; borrowed. */
mb_shard_job_t *
mb_shard_job_add(mb_shard_t *shard, uint64_t key, mb_resource_kind_t kind)
{
    mb_shard_job_t *job = g_new0(mb_shard_job_t, 1);
    job->key = key;
    job->dispatch_number = ++shard->last_dispatch_number;
    job->requeued = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    job->queued = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    mb_resource_init(&job->resource, kind, MB_STR_EMPTY);
    (void)g_hash_table_insert(shard->jobs, &job->key, job);
    (void)g_hash_table_insert(shard->jobs_by_number,
                              GUINT_TO_POINTER(job->dispatch_number), job);
    return job;
}

/* Removes and frees a job, none of whose tasks is assigned or running. */
void
mb_shard_job_remove(mb_shard_t *shard, mb_shard_job_t *job)
{
    uint64_t key = job->key;
    mb_shard_policy_unqueue(shard, job);
    mb_evidence_forget(&shard->evidence, key);
    (void)g_hash_table_remove(shard->ready_jobs,
                              GUINT_TO_POINTER(job->dispatch_number));
    (void)g_hash_table_remove(shard->jobs_by_number,
                              GUINT_TO_POINTER(job->dispatch_number));
    (void)g_hash_table_remove(shard->jobs, &key);
}

/* Returns the key of a job or service: the hash of its kind and name. */
uint64_t
mb_shard_job_key(mb_resource_kind_t kind, mb_str_t name)
{
    MB_AUTO_BUF mb_buf_t text = {0};
    mb_buf_append(&text, mb_resource_kind_name(kind));
    mb_buf_append_byte(&text, '/');
    mb_buf_append(&text, name);
    return mb_str_hash(mb_buf_view(&text));
}

/* Returns the class of the tasks of a job; services are urgent work. */
mb_class_t
mb_shard_job_class(const mb_shard_job_t *job)
{
    return job->resource.kind == MB_RESOURCE_SERVICE
               ? job->resource.spec.service.request_class
               : job->resource.spec.job.task_class;
}

/* Returns the number of tasks that a job is to run, over all shards: 0 if the
   job was deleted or cancelled. */
static uint32_t
get_task_count(const mb_shard_job_t *job)
{
    const mb_job_t *spec = &job->resource.spec.job;
    if (!job->declared) {
        return 0;
    }
    if (job->resource.kind == MB_RESOURCE_SERVICE) {
        return MIN(job->resource.spec.service.instances, MB_JOB_TASKS_MAX);
    }
    return spec->cancelled ? 0 : MIN(spec->count, MB_JOB_TASKS_MAX);
}

/* Returns whether a task belongs to this shard. */
static bool
is_local(const mb_shard_t *shard, uint64_t job, uint32_t index)
{
    uint64_t mixed = (job ^ index) * HASH_MULTIPLIER;
    return (mixed >> 32) % shard->config.shard_count ==
           shard->config.shard_index;
}

/* Returns whether a task is declared, and its job is not cancelled. */
bool
mb_shard_job_needs_task(const mb_shard_job_t *job, uint32_t index)
{
    return index < get_task_count(job);
}

/* Returns whether a job was deleted or cancelled, so that tasks which are
   stopped do not run again. */
bool
mb_shard_job_is_cancelled(const mb_shard_job_t *job)
{
    return !job->declared || (job->resource.kind == MB_RESOURCE_JOB &&
                              job->resource.spec.job.cancelled);
}

/* Collects the startable tasks of a job and marks the held tasks that must
   stop. Called after the declaration or the owner has changed. */
void
mb_shard_job_rebuild(mb_shard_t *shard, mb_shard_job_t *job)
{
    mb_job_tasks_t *tasks = mb_task_job_find(&shard->tasks, job->key);
    uint32_t count = get_task_count(job);
    uint32_t len = tasks == NULL ? 0 : tasks->len;
    mb_shard_policy_unqueue(shard, job);
    g_array_set_size(job->requeued, 0);
    job->local_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        job->local_count += is_local(shard, job->key, i) ? 1 : 0;
    }
    for (uint32_t i = len; i-- > 0;) {
        mb_task_t *task = &tasks->tasks[i];
        if (mb_task_is_held(task)) {
            task->marks &= (uint8_t)~MB_MARK_CANCEL;
            task->marks |= i >= count ? MB_MARK_CANCEL : 0;
        }
        /* A task whose start is being appended must not be chosen again. */
        if (task->state == MB_TASK_PENDING && i < count &&
            (task->marks & MB_MARK_IN_FLIGHT) == 0 &&
            is_local(shard, job->key, i)) {
            (void)g_array_append_val(job->requeued, i);
        }
    }
    job->next_unstarted = tasks != NULL && tasks->closed ? UINT32_MAX : len;
    job->wait_reason = MB_WAIT_NONE;
    shard->schedule_needed = true;
    mb_shard_policy_mark_ready(shard, job);
    mb_shard_job_close_if_complete(shard, job);
}

/* Processes a task that left its worker: makes it startable again if it is
   pending and still declared, and closes the job if this was its last task. */
void
mb_shard_job_requeue(mb_shard_t *shard, mb_task_id_t id, const mb_task_t *task)
{
    mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
    if (job == NULL) {
        return;
    }
    if (task->state == MB_TASK_PENDING &&
        mb_shard_job_needs_task(job, id.index)) {
        (void)g_array_append_val(job->requeued, id.index);
        mb_shard_policy_mark_ready(shard, job);
        shard->schedule_urgent |= mb_shard_job_class(job) == MB_CLASS_URGENT;
    }
    mb_shard_job_close_if_complete(shard, job);
}

/* Returns whether every declared task of the job in this shard has ended. The
   comparison of the counts avoids most of the scans. */
static bool
all_tasks_ended(const mb_shard_t *shard, const mb_shard_job_t *job,
                const mb_job_tasks_t *tasks)
{
    uint32_t count = get_task_count(job);
    uint32_t ended = tasks->counts[MB_TASK_FINISHED] +
                     tasks->counts[MB_TASK_FAILED] +
                     tasks->counts[MB_TASK_CANCELLED];
    if (ended < job->local_count) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        if (is_local(shard, job->key, i) &&
            (i >= tasks->len || !mb_task_is_ended(&tasks->tasks[i]))) {
            return false;
        }
    }
    return true;
}

/* Returns whether a job can be closed: none of its tasks is assigned or
   running, and either every declared task has ended or the job was deleted or
   cancelled. */
bool
mb_shard_job_is_complete(const mb_shard_t *shard, const mb_shard_job_t *job)
{
    const mb_job_tasks_t *tasks = mb_task_job_find(&shard->tasks, job->key);
    if (tasks == NULL || tasks->counts[MB_TASK_ASSIGNED] > 0 ||
        tasks->counts[MB_TASK_RUNNING] > 0) {
        return false;
    }
    if (!job->declared) {
        return true;
    }
    if (tasks->closed || job->resource.kind == MB_RESOURCE_SERVICE) {
        return false;
    }
    return all_tasks_ended(shard, job, tasks);
}

/* Queues the close of a job that is complete, unless one is pending. Only the
   owner does so. */
void
mb_shard_job_close_if_complete(mb_shard_t *shard, mb_shard_job_t *job)
{
    if (!shard->active || job->close_pending ||
        !mb_shard_job_is_complete(shard, job)) {
        return;
    }
    mb_close_t close = {job->key, !job->declared};
    job->close_pending = true;
    (void)g_array_append_val(shard->closes, close);
}

/* Returns whether the requeued tasks of a job are in back-off in the present
   scheduling pass. Tasks that were never started are not delayed. */
bool
mb_shard_job_in_backoff(const mb_shard_t *shard, const mb_shard_job_t *job)
{
    return job->requeued->len > 0 &&
           shard->schedule_time_us < job->backoff_end_us;
}

/* Finds the next startable task of a job without removing it. Returns false if
   there is none. */
bool
mb_shard_job_peek_startable(const mb_shard_t *shard, mb_shard_job_t *job,
                            uint32_t *index)
{
    uint32_t count = get_task_count(job);
    if (job->requeued->len > 0 && !mb_shard_job_in_backoff(shard, job)) {
        *index =
            g_array_index(job->requeued, uint32_t, job->requeued->len - 1);
        return true;
    }
    while (job->next_unstarted < count &&
           !is_local(shard, job->key, job->next_unstarted)) {
        job->next_unstarted++;
    }
    *index = job->next_unstarted;
    return job->next_unstarted < count;
}

/* Removes the task that mb_shard_job_peek_startable found just before. */
void
mb_shard_job_pop_startable(const mb_shard_t *shard, mb_shard_job_t *job)
{
    if (job->requeued->len > 0 && !mb_shard_job_in_backoff(shard, job)) {
        g_array_set_size(job->requeued, job->requeued->len - 1);
    }
    else {
        job->next_unstarted++;
    }
}

/* Stops the tasks of orphaned jobs, which no resource declares, by adding
   these jobs as not declared. A new owner waits for `orphan_delay_ms` first,
   because its configuration may lag behind that of the previous owner. */
void
mb_shard_stop_orphaned_jobs(mb_shard_t *shard)
{
    GHashTableIter iter;
    gpointer value;
    uint64_t now = mb_clock_us(&shard->clock);
    if (now < shard->orphan_scan_us) {
        return;
    }
    shard->orphan_scan_us =
        now + (uint64_t)shard->config.orphan_delay_ms * MB_US_PER_MS;
    g_hash_table_iter_init(&iter, shard->tasks.jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_job_tasks_t *tasks = value;
        if (mb_shard_job_find(shard, tasks->job) != NULL) {
            continue;
        }
        mb_shard_job_rebuild(
            shard, mb_shard_job_add(shard, tasks->job, MB_RESOURCE_JOB));
    }
}
