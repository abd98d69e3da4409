/* Applies the ends of runs that the agents report: what a success or a failure
   means for the task, its job and the worker. */
#include "mb_fleet_internal.h"

/* A service task that fails within this time after its start counts as a
   failure of its worker, in microseconds. Longer than services take to start
   up. */
#define SERVICE_STARTUP_US UINT64_C(1000000)

/* Returns the task at which the failures of a run are counted. The members of
   a gang succeed and fail together, so a gang counts at its first task. */
static mb_dag_task_t *
get_failure_counter(const mb_fleet_run_t *run)
{
    uint32_t index = run->job->steps[run->step].gang ? 0 : run->index;
    return mb_dag_task(run->job, run->occurrence, run->step, index);
}

/* Marks every member of the gang of a run as done. */
static void
finish_gang(const mb_fleet_run_t *run)
{
    for (uint32_t i = 0; i < run->job->steps[run->step].count; i++) {
        mb_dag_set_done(run->job, run->occurrence, run->step,
                        mb_dag_task(run->job, run->occurrence, run->step, i));
    }
}

/* Handles the success of a run that has been removed from its worker. */
static void
handle_success(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
               const mb_fleet_run_t *run)
{
    mb_dag_job_t *job = run->job;
    const mb_dag_step_t *step = &job->steps[run->step];
    mb_health_succeeded(&worker->health, run->started_us);
    if (step->long_running) {
        return;
    }
    mb_fleet_learn_run_time(fleet, run);
    if (step->gang) {
        finish_gang(run);
    }
    else {
        mb_dag_set_done(job, run->occurrence, run->step,
                        mb_fleet_run_task(run));
        mb_fleet_stop_other_copies(fleet, run);
    }
    mb_fleet_mark_dirty(fleet, job);
    if (mb_dag_all_done(job)) {
        mb_fleet_close_job(fleet, job, MB_DAG_COMPLETED);
    }
}

/* Handles the failure of a run that has been removed from its worker: delays
   the next attempt, and fails the job after its last one. */
static void
handle_failure(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
               const mb_fleet_run_t *run)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    mb_dag_job_t *job = run->job;
    mb_dag_task_t *task = mb_fleet_run_task(run);
    mb_dag_task_t *counter = get_failure_counter(run);
    if (job->steps[run->step].long_running &&
        now_us - run->started_us >= SERVICE_STARTUP_US) {
        /* Service tasks never succeed and may fail at any time, so a failure
           after the startup says little about the worker. */
        mb_health_abandoned(&worker->health, run->started_us);
    }
    else {
        mb_health_failed(&worker->health, run->started_us, now_us);
    }
    task->last_failed_worker = worker->number + 1;
    task->not_before_us = now_us + MB_FLEET_RETRY_DELAY_MS * MB_US_PER_MS;
    mb_log_notice(&fleet->log,
                  "run failed job=%.*s task=%u.%u.%u run=%" G_GUINT64_FORMAT
                  " worker=%.*s failures=%u of=%u",
                  MB_STR_ARG(mb_dag_id_view(&job->spec.id)), run->occurrence,
                  run->step, run->index, run->number,
                  MB_STR_ARG(mb_buf_view(&worker->name)),
                  counter->failures + 1u, job->spec.policy.max_attempts);
    /* The worker may report a failure that the former owner has stored
       already; mb_dag_add_failure ignores it. */
    if (job->steps[run->step].long_running || task->done ||
        !mb_dag_add_failure(counter, run->number)) {
        return;
    }
    mb_fleet_mark_dirty(fleet, job);
    if (counter->failures >= MAX(1u, job->spec.policy.max_attempts)) {
        mb_fleet_close_job(fleet, job, MB_DAG_FAILED);
    }
}

/* Handles the end of a run that this owner has on record, and removes the run.
 */
static void
handle_known_end(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                 mb_fleet_run_t *found, const mb_report_end_t *end)
{
    mb_fleet_run_t run = *found;
    mb_dag_task_t *task = mb_fleet_run_task(&run);
    bool checkpoints = run.job->steps[run.step].checkpoints;
    mb_fleet_remove_run(fleet, worker, found);
    if (run.job->outcome != MB_DAG_OPEN) {
        mb_health_abandoned(&worker->health, run.started_us);
        return;
    }
    mb_fleet_mark_begun(fleet, worker, run.job);
    mb_fleet_mark_job_startable(fleet, run.job);
    if (checkpoints && !task->done && end->checkpoint.len > 0) {
        mb_dag_set_checkpoint(task, end->checkpoint);
        mb_fleet_mark_dirty(fleet, run.job);
    }
    if (end->how == MB_RUN_DONE) {
        handle_success(fleet, worker, &run);
    }
    else if (end->how == MB_RUN_FAILED) {
        handle_failure(fleet, worker, &run);
    }
    else {
        mb_health_abandoned(&worker->health, run.started_us);
    }
}

/* Counts the failure of a run after which the task was started again. It
   belongs to an attempt of the former owner, which could not store it; it must
   still count towards the maximum number of attempts. */
static void
count_superseded_failure(mb_fleet_t *fleet, mb_dag_job_t *job,
                         const mb_report_end_t *end)
{
    const mb_dag_step_t *step = &job->steps[end->task.step];
    uint32_t index = step->gang ? 0 : end->task.index;
    mb_dag_task_t *counter =
        mb_dag_task(job, end->task.occurrence, end->task.step, index);
    if (end->how != MB_RUN_FAILED || step->long_running || counter->done ||
        !mb_dag_add_failure(counter, end->run)) {
        return;
    }
    mb_fleet_mark_dirty(fleet, job);
    if (counter->failures >= MAX(1u, job->spec.policy.max_attempts)) {
        mb_fleet_close_job(fleet, job, MB_DAG_FAILED);
    }
}

/* Returns a run that has ended and that this owner doesn't have on record. */
static mb_fleet_run_t
make_ended_run(const mb_fleet_t *fleet, mb_dag_job_t *job,
               const mb_report_end_t *end)
{
    return (mb_fleet_run_t){.job = job,
                            .occurrence = end->task.occurrence,
                            .step = end->task.step,
                            .index = end->task.index,
                            .number = end->run,
                            .started_us = mb_clock_us(&fleet->clock),
                            .resumed = true,
                            .confirmed = true};
}

/* Tells whether an end is a success that counts beside the run that its task
   has on record: that one is older, so it was given up before the one that has
   ended was started, and is being stopped. */
static bool
is_success_of_newest_run(const mb_dag_task_t *task, const mb_report_end_t *end)
{
#ifdef MB_MUTANT_FLEET_OLDER_RUN_HIDES_SUCCESS
    return false;
#endif
    return mb_fleet_task_is_running(task) && end->run > task->last_run &&
           end->how == MB_RUN_DONE;
}

/* Handles the end of a run that this owner doesn't have on record: the former
   owner started it, or it was given up with its worker. Its success counts
   unless the task has a newer run, in which case the lease of this one had
   expired before the newer one was started. */
static void
handle_unknown_end(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                   const mb_report_end_t *end)
{
    mb_dag_job_t *job = mb_dag_find(fleet->table, end->task.job);
    mb_dag_task_t *task = job == NULL
                              ? NULL
                              : mb_dag_task(job, end->task.occurrence,
                                            end->task.step, end->task.index);
    if (task == NULL || job->outcome != MB_DAG_OPEN) {
        return;
    }
    mb_fleet_mark_begun(fleet, worker, job);
    mb_fleet_run_t run = make_ended_run(fleet, job, end);
    if (is_success_of_newest_run(task, end)) {
        handle_success(fleet, worker, &run);
        return;
    }
    if (mb_fleet_task_is_running(task) || end->run < task->last_run) {
        count_superseded_failure(fleet, job, end);
        return;
    }
    mb_fleet_run_t *added = mb_fleet_add_run(fleet, worker, &run);
    handle_known_end(fleet, worker, added, end);
}

/* Applies the ends of a report that have not been applied yet. Workers repeat
   them until they are acknowledged. */
void
mb_fleet_apply_ends(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                    const mb_report_t *report)
{
    for (guint i = 0; i < report->ends->len; i++) {
        const mb_report_end_t *end =
            &g_array_index(report->ends, mb_report_end_t, i);
        if (end->number <= worker->ends_applied) {
            continue;
        }
        worker->ends_applied = end->number;
        fleet->counts.ends[end->how]++;
        mb_log_info(&fleet->log,
                    "end job=%.*s task=%u.%u.%u run=%" G_GUINT64_FORMAT
                    " worker=%.*s number=%" G_GUINT64_FORMAT " how=%s",
                    MB_STR_ARG(mb_dag_id_view(&end->task.job)),
                    end->task.occurrence, end->task.step, end->task.index,
                    end->run, MB_STR_ARG(mb_buf_view(&worker->name)),
                    end->number, mb_run_end_name(end->how));
        mb_fleet_run_t *run = mb_fleet_find_run(worker, &end->task, end->run);
        if (run != NULL) {
            handle_known_end(fleet, worker, run, end);
        }
        else {
            handle_unknown_end(fleet, worker, end);
        }
    }
}
