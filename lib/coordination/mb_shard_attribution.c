/* Attributes the failures of tasks to their workers or to their job, whose
   tasks are assumed to behave alike, by the rule of mb_evidence. A new owner
   begins without evidence. */
#include "mb_shard_internal.h"

/* Callback of the evidence: excuses the failures of a job at all workers, or
   holds them against the workers again. */
static void
on_cause_changed(void *context, const mb_evidence_work_t *work,
                 mb_attribution_cause_t from, mb_attribution_cause_t to)
{
    mb_shard_t *shard = context;
    const mb_shard_job_t *job = work->job;
    bool is_excused = to == MB_CAUSE_WORK;
    GHashTableIter iter;
    gpointer value;
    if ((from == MB_CAUSE_WORK) == is_excused) {
        return;
    }
    mb_log_notice(
        &shard->log, "cause of failures changed job=%.*s from=%s to=%s",
        MB_STR_ARG(mb_buf_view(&job->resource.name)),
        mb_attribution_cause_name(from), mb_attribution_cause_name(to));
    g_hash_table_iter_init(&iter, shard->workers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_shard_worker_t *worker = value;
        mb_health_set_excused(&worker->health, work->source, is_excused,
                              mb_clock_us(&shard->clock));
        mb_shard_worker_update_eligibility(shard, worker);
    }
}

/* Callback of the evidence: tells whether at least half of the workers are
   suspended. */
static bool
are_most_suspended(void *context)
{
    const mb_shard_t *shard = context;
    uint32_t confirmed = 0;
    uint32_t suspended = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, shard->workers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mb_shard_worker_t *worker = value;
        bool is_used = worker->declared && worker->confirmed;
        confirmed += is_used;
        suspended += is_used && worker->health.state != MB_HEALTH_HEALTHY;
    }
    return 2 * suspended >= confirmed;
}

/* Callback of the evidence: tells on which workers the tasks of a job are. */
static void
add_pending_tasks(void *context, const mb_evidence_work_t *work,
                  mb_attribution_t *attribution)
{
    const mb_shard_t *shard = context;
    const mb_job_tasks_t *tasks =
        mb_task_job_find(&shard->tasks, work->source);
    bool has_room = true;
    for (uint32_t i = 0; tasks != NULL && has_room && i < tasks->len; i++) {
        const mb_task_t *task = &tasks->tasks[i];
        if (mb_task_is_held(task) &&
            (task->marks & (MB_MARK_INHERITED | MB_MARK_END_PENDING)) == 0) {
            has_room = mb_attribution_pending(
                attribution, task->worker,
                mb_shard_policy_start_time_us(
                    shard, (mb_task_id_t){work->source, i}));
        }
    }
}

/* Initializes the evidence. */
void
mb_shard_evidence_init(mb_shard_t *shard)
{
    mb_evidence_callbacks_t callbacks = {on_cause_changed, are_most_suspended,
                                         add_pending_tasks, shard};
    mb_evidence_init(&shard->evidence, &callbacks, &shard->clock);
}

/* Returns what the evidence needs to know of a task that this owner has
   started on a worker. */
static mb_evidence_run_t
get_evidence_run(const mb_shard_t *shard, mb_shard_worker_t *worker,
                 const mb_shard_job_t *job, mb_task_id_t id)
{
    uint64_t now_us = mb_clock_us(&shard->clock);
    uint64_t started_us = mb_shard_policy_start_time_us(shard, id);
    return (mb_evidence_run_t){.work = {.source = job->key, .job = job},
                               .worker = worker->key,
                               .health = &worker->health,
                               .started_us = started_us,
                               .worked_us = now_us - MIN(now_us, started_us)};
}

/* Attributes the exit of a task with an error to its worker or its job. A
   service that has worked for long enough says nothing about its start by its
   failure, and nor does a task of an unknown job. */
void
mb_shard_attribute_failure(mb_shard_t *shard, mb_shard_worker_t *worker,
                           mb_task_id_t id)
{
    const mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
    if (job == NULL) {
        mb_health_abandoned(&worker->health,
                            mb_shard_policy_start_time_us(shard, id));
        return;
    }
    mb_evidence_run_t run = get_evidence_run(shard, worker, job, id);
    if (job->resource.kind == MB_RESOURCE_SERVICE &&
        run.worked_us >= MB_HEALTH_PROVEN_US) {
        mb_health_abandoned(&worker->health, run.started_us);
        return;
    }
    mb_evidence_failed(&shard->evidence, &run);
}

/* Counts the success of a task for its worker and its job. */
void
mb_shard_attribute_success(mb_shard_t *shard, mb_shard_worker_t *worker,
                           mb_task_id_t id)
{
    const mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
    if (job == NULL) {
        mb_health_succeeded(&worker->health,
                            mb_shard_policy_start_time_us(shard, id));
        return;
    }
    mb_evidence_run_t run = get_evidence_run(shard, worker, job, id);
    mb_evidence_succeeded(&shard->evidence, &run);
}

/* Notes that a task is at work, as its worker has just reported. */
void
mb_shard_attribute_work(mb_shard_t *shard, mb_shard_worker_t *worker,
                        mb_task_id_t id)
{
    const mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
    if (job != NULL && mb_evidence_is_known(&shard->evidence, job->key)) {
        mb_evidence_run_t run = get_evidence_run(shard, worker, job, id);
        mb_evidence_survived(&shard->evidence, &run);
    }
}
