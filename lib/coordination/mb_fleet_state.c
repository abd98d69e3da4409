/* State of the fleet that its other files change: the runs of workers, and
   their effect on tasks, jobs and the resources of workers. */
#include <string.h>

#include "mb_assert.h"
#include "mb_fleet_internal.h"

/* Returns the longest time for which a lease granted now may last, in
   microseconds: with the clock of the worker as slow as allowed, and the order
   delayed on its way. */
uint64_t
mb_fleet_max_lease_us(void)
{
    uint32_t lease_ms = MB_FLEET_LEASE_MS;
    return (lease_ms + lease_ms / MB_FLEET_CLOCK_DRIFT_DIVISOR +
            MB_FLEET_LEASE_MARGIN_MS) *
           (uint64_t)MB_US_PER_MS;
}

/* Returns the task of a run, borrowed from its job. */
mb_dag_task_t *
mb_fleet_run_task(const mb_fleet_run_t *run)
{
    return mb_dag_task(run->job, run->occurrence, run->step, run->index);
}

/* Returns a number that identifies a step among all jobs. */
uint64_t
mb_fleet_step_key(const mb_dag_job_t *job, uint32_t step)
{
    return mb_str_hash(mb_dag_id_view(&job->spec.id)) ^
           ((step + 1) * UINT64_C(0x9e3779b97f4a7c15));
}

/* Returns the id that names the task of a run in messages. */
mb_dag_task_id_t
mb_fleet_run_task_id(const mb_fleet_run_t *run)
{
    return (mb_dag_task_id_t){run->job->spec.id, run->occurrence, run->step,
                              run->index};
}

/* Returns the worker with a number that mb_fleet_add_worker gave. */
mb_fleet_worker_t *
mb_fleet_get_worker(const mb_fleet_t *fleet, uint32_t worker)
{
    return g_ptr_array_index(fleet->workers, worker);
}

/* Finds the run of a task by its run number; returns NULL if the worker holds
   none. The pointer is valid until the worker's runs change. */
mb_fleet_run_t *
mb_fleet_find_run(const mb_fleet_worker_t *worker,
                  const mb_dag_task_id_t *task, uint64_t number)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        mb_fleet_run_t *run = &g_array_index(worker->runs, mb_fleet_run_t, i);
        mb_dag_task_id_t id = mb_fleet_run_task_id(run);
        if (run->number == number && mb_dag_task_id_equal(&id, task)) {
            return run;
        }
    }
    return NULL;
}

/* Adds the declared size of a run to the resources in use on a worker, or
   subtracts it. */
static void
account_resources(mb_fleet_worker_t *worker, const mb_fleet_run_t *run,
                  bool add)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    mb_size_t *size = step->best_effort ? &worker->best_effort : &worker->used;
    /* Unsigned arithmetic wraps around: UINT32_MAX subtracts. */
    uint32_t factor = add ? 1 : UINT32_MAX;
    size->cpu_milli += factor * step->size.cpu_milli;
    size->memory_mb += factor * step->size.memory_mb;
    size->accelerators += factor * step->size.accelerators;
}

/* Tells whether tasks of a step may have two runs at a time. Members of a gang
   work together, and service tasks do not end. */
bool
mb_fleet_allows_copies(const mb_dag_step_t *step)
{
#ifdef MB_MUTANT_FLEET_COPIES_OF_ALL_STEPS
    return true;
#endif
    return step->speculative && !step->gang && !step->long_running;
}

/* Tells whether a task has at least one run on some worker. */
bool
mb_fleet_task_is_running(const mb_dag_task_t *task)
{
    return mb_dag_count_runs(task) > 0;
}

/* Returns the entry of a run in its task, or NULL if there is none. */
mb_dag_run_t *
mb_fleet_find_copy(const mb_fleet_run_t *run)
{
    mb_dag_task_t *task = mb_fleet_run_task(run);
    for (uint32_t i = 0; i < MB_DAG_COPIES_MAX; i++) {
        if (task->runs[i].number == run->number) {
            return &task->runs[i];
        }
    }
    return NULL;
}

/* Records a run in a free slot of its task. A task has one run at a time, and
   up to MB_DAG_COPIES_MAX where its step is speculative. */
static void
add_copy(const mb_fleet_run_t *run, uint32_t worker)
{
    mb_dag_task_t *task = mb_fleet_run_task(run);
    uint32_t slot = 0;
    while (slot < MB_DAG_COPIES_MAX && task->runs[slot].number != 0) {
        slot++;
    }
    bool speculative = run->job->steps[run->step].speculative;
    MB_INVARIANT(slot < (speculative ? MB_DAG_COPIES_MAX : 1u),
                 "runs of a task within its limit");
    task->runs[slot] = (mb_dag_run_t){.number = run->number,
                                      .worker = worker,
                                      .started_us = run->started_us};
    task->last_run = MAX(task->last_run, run->number);
}

/* Adds a copy of a run to a worker and to its task. The returned pointer is
   valid until the worker's runs change. */
mb_fleet_run_t *
mb_fleet_add_run(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                 mb_fleet_run_t *run)
{
    add_copy(run, worker->number);
    account_resources(worker, run, true);
    run->image_hash = mb_str_hash(run->job->steps[run->step].image);
    run->ordered_throttle_percent = MB_FLEET_THROTTLE_UNKNOWN;
    run->job->running++;
    fleet->running++;
    g_array_append_val(worker->runs, *run);
    return &g_array_index(worker->runs, mb_fleet_run_t, worker->runs->len - 1);
}

/* Removes a run from its worker and its task, and frees its resources for
   other tasks. The last run of the worker may take its place in the array. */
void
mb_fleet_remove_run(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                    mb_fleet_run_t *run)
{
    mb_dag_task_t *task = mb_fleet_run_task(run);
    for (uint32_t i = 0; i < MB_DAG_COPIES_MAX; i++) {
        if (task->runs[i].number == run->number &&
            task->runs[i].worker == worker->number) {
            task->runs[i].number = 0;
        }
    }
    account_resources(worker, run, false);
    run->job->running--;
    fleet->counts.copies_ended += run->is_copy;
    run->job->idle_since_us = mb_clock_us(&fleet->clock);
    fleet->running--;
    fleet->schedule_due = true;
    guint index = (guint)(run - (mb_fleet_run_t *)(void *)worker->runs->data);
    (void)g_array_remove_index_fast(worker->runs, index);
}

/* Orders a run to stop, unless an order to stop it is on its way. The run
   holds its resources until its end is reported or its lease expires. */
void
mb_fleet_stop_run(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                  mb_fleet_run_t *run)
{
    mb_order_stop_t stop = {mb_fleet_run_task_id(run), run->number};
    run->stopping = true;
    if (run->stop_sequence > worker->reported_order_sequence) {
        return;
    }
    run->stop_sequence = mb_fleet_order_stop(fleet, worker, &stop);
}

/* Stops all runs of a job. */
void
mb_fleet_stop_job(mb_fleet_t *fleet, mb_dag_job_t *job)
{
    for (guint w = 0; w < fleet->workers->len && job->running > 0; w++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, w);
        for (guint i = 0; i < worker->runs->len; i++) {
            mb_fleet_run_t *run =
                &g_array_index(worker->runs, mb_fleet_run_t, i);
            if (run->job == job) {
                mb_fleet_stop_run(fleet, worker, run);
            }
        }
    }
}

/* Stops the other runs of the task of `finished`, which may already have been
   removed from its worker. */
void
mb_fleet_stop_other_copies(mb_fleet_t *fleet, const mb_fleet_run_t *finished)
{
    mb_dag_task_t *task = mb_fleet_run_task(finished);
    mb_dag_task_id_t id = mb_fleet_run_task_id(finished);
    for (uint32_t i = 0; i < MB_DAG_COPIES_MAX; i++) {
        const mb_dag_run_t *copy = &task->runs[i];
        if (copy->number == 0 || copy->number == finished->number) {
            continue;
        }
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, copy->worker);
        mb_fleet_run_t *run = mb_fleet_find_run(worker, &id, copy->number);
        if (run != NULL) {
            mb_fleet_stop_run(fleet, worker, run);
        }
    }
}

/* Stops all runs of the gang that a run belongs to: those of the same step and
   occurrence that share its run number. */
void
mb_fleet_stop_gang(mb_fleet_t *fleet, const mb_fleet_run_t *member)
{
    mb_fleet_run_t other = *member;
    for (other.index = 0; other.index < member->job->steps[member->step].count;
         other.index++) {
        mb_dag_task_t *task = mb_fleet_run_task(&other);
        mb_dag_task_id_t id = mb_fleet_run_task_id(&other);
        if (task->runs[0].number != member->number) {
            continue;
        }
        mb_fleet_worker_t *worker =
            mb_fleet_get_worker(fleet, task->runs[0].worker);
        mb_fleet_run_t *run = mb_fleet_find_run(worker, &id, member->number);
        if (run != NULL) {
            mb_fleet_stop_run(fleet, worker, run);
        }
    }
}

/* Notes the checkpoint that a run has saved, if any, for the next start of its
   task. */
void
mb_fleet_set_checkpoint(const mb_fleet_run_t *run, mb_str_t checkpoint)
{
    mb_dag_task_t *task = mb_fleet_run_task(run);
    if (checkpoint.len > 0) {
        task->checkpoint_run = MAX(task->checkpoint_run, run->number);
        mb_dag_set_checkpoint(task, checkpoint);
    }
}

/* Has the progress of a job stored with the next group of records. */
void
mb_fleet_mark_dirty(mb_fleet_t *fleet, mb_dag_job_t *job)
{
    if (!job->dirty) {
        job->dirty = true;
        g_ptr_array_add(fleet->dirty_jobs, job);
    }
}

/* Records that a worker has listed a run of an open job, or the end of one. An
   order to start a run shows nothing: the agent or the worker may refuse it,
   or it may get lost. Stored once for each job. */
void
mb_fleet_mark_begun(mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                    mb_dag_job_t *job)
{
    if (job->any_run_started || job->outcome != MB_DAG_OPEN) {
        return;
    }
    job->any_run_started = true;
    mb_fleet_mark_dirty(fleet, job);
    mb_log_info(&fleet->log,
                "job started job=%.*s queue=%.*s waited_ms=%" G_GUINT64_FORMAT
                " objective_ms=%" G_GUINT64_FORMAT " worker=%.*s",
                MB_STR_ARG(mb_dag_id_view(&job->spec.id)),
                MB_STR_ARG(job->spec.policy.queue),
                (mb_clock_us(&fleet->clock) - job->arrived_us) / MB_US_PER_MS,
                job->objective_us / MB_US_PER_MS,
                MB_STR_ARG(mb_buf_view(&worker->name)));
}

/* Sets the outcome of an open job and stops its runs; none of its tasks is
   started any more. Does nothing on a job that has an outcome. */
void
mb_fleet_close_job(mb_fleet_t *fleet, mb_dag_job_t *job,
                   mb_dag_outcome_t outcome)
{
    if (job->outcome != MB_DAG_OPEN) {
        return;
    }
    job->outcome = outcome;
    mb_fleet_mark_dirty(fleet, job);
    mb_fleet_stop_job(fleet, job);
    mb_log_info(&fleet->log,
                "job decided job=%.*s outcome=%s age_ms=%" G_GUINT64_FORMAT
                " objective_ms=%" G_GUINT64_FORMAT,
                MB_STR_ARG(mb_dag_id_view(&job->spec.id)),
                mb_dag_outcome_name(outcome),
                (mb_clock_us(&fleet->clock) - job->arrived_us) / MB_US_PER_MS,
                job->objective_us / MB_US_PER_MS);
}

/* Has the next scheduling pass consider the tasks of a job, as one of them may
   have become startable. */
void
mb_fleet_mark_job_startable(mb_fleet_t *fleet, mb_dag_job_t *job)
{
    job->needs_scheduling = true;
    fleet->schedule_due = true;
}
