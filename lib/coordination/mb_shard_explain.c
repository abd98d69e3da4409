/* Explanations for operators: why the tasks of a job wait, where they run and
   have run, and why they were moved. */
#include "mb_shard_internal.h"

/* Returns why the tasks of a job wait. Only the owner knows it, except for a
   cancelled job. */
static mb_wait_reason_t
get_wait_reason(const mb_shard_t *shard, const mb_shard_job_t *job)
{
    if (mb_shard_job_is_cancelled(job)) {
        return MB_WAIT_CANCELLED;
    }
    if (!shard->active || mb_shard_phase(shard) != MB_LEASE_OWNER) {
        return MB_WAIT_NO_OWNER;
    }
    return mb_shard_policy_wait_reason(shard, job);
}

/* Fills in the part about the job as a whole. Its declared tasks in this shard
   that were never started have no entry in the table and count as pending. */
static void
explain_job(const mb_shard_t *shard, const mb_shard_job_t *job,
            const mb_job_tasks_t *tasks, mb_explain_t *part)
{
    part->part = MB_EXPLAIN_JOB;
    part->body.job.name = mb_buf_view(&job->resource.name);
    part->body.job.declared = job->declared;
    part->body.job.closed = tasks != NULL && tasks->closed;
    part->body.job.wait = get_wait_reason(shard, job);
    for (int i = 0; i < MB_TASK_STATE_COUNT; i++) {
        part->body.job.counts[i] = tasks == NULL ? 0 : tasks->counts[i];
    }
    if (tasks == NULL || tasks->len < job->local_count) {
        uint32_t known = tasks == NULL ? 0 : tasks->len;
        if (tasks == NULL || !tasks->closed) {
            part->body.job.counts[MB_TASK_PENDING] += job->local_count - known;
        }
    }
    if (mb_shard_job_is_cancelled(job)) {
        /* Pending tasks will not run. No record in the log says so, hence they
           are counted as cancelled here. */
        part->body.job.counts[MB_TASK_CANCELLED] +=
            part->body.job.counts[MB_TASK_PENDING];
        part->body.job.counts[MB_TASK_PENDING] = 0;
    }
    else if (part->body.job.counts[MB_TASK_PENDING] == 0) {
        part->body.job.wait = MB_WAIT_NONE;
    }
}

/* Fills in the part about one task. */
static void
explain_task(const mb_shard_t *shard, const mb_job_tasks_t *tasks,
             uint32_t index, mb_explain_t *part)
{
    const mb_task_t *task = &tasks->tasks[index];
    const mb_shard_worker_t *worker =
        mb_shard_worker_find(shard, task->worker);
    part->part = MB_EXPLAIN_TASK;
    part->body.task.index = index;
    part->body.task.state = (mb_task_state_t)task->state;
    part->body.task.attempt = task->attempt;
    part->body.task.failures = task->failures;
    part->body.task.worker_key = task->worker;
    part->body.task.worker =
        worker == NULL ? MB_STR_EMPTY : mb_buf_view(&worker->resource.name);
    part->body.task.stopping =
        (task->marks & (MB_MARK_EVICT | MB_MARK_CANCEL)) != 0;
}

/* Fills in the part about a job as a whole. Returns false if the job is not
   known. */
bool
mb_shard_explain_job(const mb_shard_t *shard, mb_resource_kind_t kind,
                     mb_str_t name, mb_explain_t *part)
{
    uint64_t key = mb_shard_job_key(kind, name);
    const mb_shard_job_t *job = mb_shard_job_find(shard, key);
    if (job != NULL) {
        explain_job(shard, job, mb_task_job_find(&shard->tasks, key), part);
    }
    return job != NULL;
}

/* Calls `visit` for the job, then for each of its tasks, then for its latest
   events, oldest first. Returns false if the job is not known. */
bool
mb_shard_explain(const mb_shard_t *shard, mb_resource_kind_t kind,
                 mb_str_t name,
                 void (*visit)(void *context, const mb_explain_t *part),
                 void *context)
{
    uint64_t key = mb_shard_job_key(kind, name);
    const mb_shard_job_t *job = mb_shard_job_find(shard, key);
    const mb_job_tasks_t *tasks = mb_task_job_find(&shard->tasks, key);
    mb_explain_t part = {0};
    if (job == NULL) {
        return false;
    }
    explain_job(shard, job, tasks, &part);
    visit(context, &part);
    if (tasks == NULL) {
        return true;
    }
    for (uint32_t i = 0; i < tasks->len; i++) {
        explain_task(shard, tasks, i, &part);
        visit(context, &part);
    }
    part.part = MB_EXPLAIN_EVENT;
    for (uint32_t i = 0; i < tasks->event_count; i++) {
        part.body.event = tasks->events[i];
        visit(context, &part);
    }
    return true;
}
