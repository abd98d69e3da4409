/* Applies the ends of runs that the agents report: what a success or a failure
   means for the task, its job and the worker. */
#include "mb_fleet_internal.h"

/* Returns the name of an effect for log lines, a static text. */
const char *
mb_fleet_end_effect_name(mb_fleet_end_effect_t effect)
{
    static const char *const names[MB_FLEET_END_EFFECT_COUNT] = {
        "counted",   "job_unknown", "task_unknown", "job_closed",
        "task_done", "superseded",  "repeated"};
    return effect < MB_FLEET_END_EFFECT_COUNT ? names[effect] : "unknown";
}

/* Marks the task of a run that has succeeded as done, and stops its other
   runs. */
static void
finish_task(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    mb_dag_task_t *task = mb_fleet_run_task(run);
    mb_fleet_backlog_finished(fleet, run);
    mb_dag_set_done(run->job, run->occurrence, run->step, task);
    task->done_run = run->number;
    fleet->counts.copies_won += run->is_copy;
    mb_fleet_learn_given_up(fleet, run);
    mb_fleet_stop_other_copies(fleet, run);
}

/* Does the same for every member of the gang of a run. Their runs have the
   same number. */
static void
finish_gang(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    mb_fleet_run_t member = *run;
    for (uint32_t i = 0; i < run->job->steps[run->step].count; i++) {
        member.index = i;
        finish_task(fleet, &member);
    }
}

/* Handles the success of a run that is not on record at its worker any more.
   It counts unless the task is done, whichever of its runs is the newest, as
   the work is done. */
static mb_fleet_end_effect_t
handle_success(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
               const mb_fleet_run_t *run)
{
    mb_dag_job_t *job = run->job;
    const mb_dag_step_t *step = &job->steps[run->step];
    const mb_dag_task_t *task = mb_fleet_run_task(run);
    mb_fleet_attribute_success(fleet, worker, run);
    if (step->long_running) {
        return MB_FLEET_END_COUNTED;
    }
    mb_fleet_learn_run_time(fleet, run);
    if (task->done) {
        bool is_repeated =
            task->done_run == 0 || task->done_run == run->number;
        fleet->counts.repeated_successes += is_repeated ? 0 : 1;
        return MB_FLEET_END_TASK_DONE;
    }
    bool is_gang = step->gang;
#ifdef MB_MUTANT_FLEET_GANG_COUNTS_ONE_MEMBER
    is_gang = false;
#endif
    if (is_gang) {
        finish_gang(fleet, run);
    }
    else {
        finish_task(fleet, run);
    }
    mb_fleet_learn_spread(fleet, run);
    mb_fleet_mark_dirty(fleet, job);
    if (mb_dag_all_done(job)) {
        mb_fleet_close_job(fleet, job, MB_DAG_COMPLETED);
    }
    return MB_FLEET_END_COUNTED;
}

/* Attributes a failure, and delays the next attempt. */
static void
note_failure(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
             const mb_fleet_run_t *run)
{
    mb_fleet_attribute_failure(fleet, worker, run);
    mb_fleet_run_task(run)->last_failed_worker = worker->number + 1;
    mb_fleet_delay_retry(fleet, run);
    mb_log_notice(&fleet->log,
                  "run failed job=%.*s task=%u.%u.%u run=%" G_GUINT64_FORMAT
                  " worker=%.*s failures=%u of=%u",
                  MB_STR_ARG(mb_dag_id_view(&run->job->spec.id)),
                  run->occurrence, run->step, run->index, run->number,
                  MB_STR_ARG(mb_buf_view(&worker->name)),
                  mb_fleet_failure_counter(run)->failures + 1u,
                  run->job->spec.policy.max_attempts);
}

/* Counts a failure towards the maximum number of attempts, and fails the job
   after the last one. Each is counted once: a worker may report one that the
   former owner has stored already. */
static mb_fleet_end_effect_t
count_failure(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    mb_dag_job_t *job = run->job;
    mb_dag_task_t *counter = mb_fleet_failure_counter(run);
    if (job->steps[run->step].long_running) {
        return MB_FLEET_END_COUNTED;
    }
    if (mb_fleet_run_task(run)->done) {
        return MB_FLEET_END_TASK_DONE;
    }
    uint64_t number = run->number;
#ifdef MB_MUTANT_FLEET_FAILURE_COUNTED_AGAIN
    number += counter->failures;
#endif
    if (!mb_dag_add_failure(counter, number)) {
        return MB_FLEET_END_REPEATED;
    }
    mb_fleet_mark_dirty(fleet, job);
    if (counter->failures >= MAX(1u, job->spec.policy.max_attempts)) {
        mb_fleet_close_job(fleet, job, MB_DAG_FAILED);
    }
    return MB_FLEET_END_COUNTED;
}

/* Keeps the checkpoint of an end for the next start of its task. */
static void
keep_checkpoint(mb_fleet_t *fleet, const mb_fleet_run_t *run,
                const mb_report_end_t *end)
{
    if (run->job->steps[run->step].checkpoints &&
        !mb_fleet_run_task(run)->done && end->checkpoint.len > 0) {
        mb_fleet_set_checkpoint(run, end->checkpoint);
        mb_fleet_mark_dirty(fleet, run->job);
    }
}

/* Handles the end of the newest run of a task. The run has been removed from
   its worker. */
static mb_fleet_end_effect_t
handle_newest_end(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                  const mb_fleet_run_t *run, const mb_report_end_t *end)
{
    keep_checkpoint(fleet, run, end);
    if (end->how == MB_RUN_DONE) {
        return handle_success(fleet, worker, run);
    }
    if (end->how == MB_RUN_FAILED) {
        note_failure(fleet, worker, run);
        return count_failure(fleet, run);
    }
    mb_health_abandoned(&worker->health, run->started_us);
    return MB_FLEET_END_COUNTED;
}

/* Tells whether the checkpoint of an older run is the latest of its task: no
   newer run is at work or has saved one. Members of a gang have to carry the
   same one, so theirs don't count. */
static bool
has_latest_checkpoint(const mb_fleet_run_t *run)
{
    const mb_dag_task_t *task = mb_fleet_run_task(run);
#ifdef MB_MUTANT_FLEET_REFUSED_START_HIDES_CHECKPOINT
    return false;
#endif
    return !run->job->steps[run->step].gang &&
           !mb_fleet_task_is_running(task) &&
           run->number >= task->checkpoint_run;
}

/* Handles the end of a run beside a newer one, or after a newer one that was
   refused or has ended. */
static mb_fleet_end_effect_t
handle_older_end(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                 const mb_fleet_run_t *run, const mb_report_end_t *end)
{
#ifdef MB_MUTANT_FLEET_OLDER_RUN_HIDES_SUCCESS
    if (mb_fleet_task_is_running(mb_fleet_run_task(run))) {
        return MB_FLEET_END_SUPERSEDED;
    }
#endif
#ifdef MB_MUTANT_FLEET_REFUSED_START_HIDES_SUCCESS
    if (end->run < mb_fleet_run_task(run)->last_run) {
        return MB_FLEET_END_SUPERSEDED;
    }
#endif
    if (has_latest_checkpoint(run)) {
        keep_checkpoint(fleet, run, end);
    }
    if (end->how == MB_RUN_DONE) {
        return handle_success(fleet, worker, run);
    }
    if (end->how == MB_RUN_FAILED) {
        return count_failure(fleet, run);
    }
    return MB_FLEET_END_SUPERSEDED;
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
                            .adopted = true,
                            .resumed = true,
                            .confirmed = true};
}

/* Handles the end of a run that this owner has on record, and removes the
   run. */
static mb_fleet_end_effect_t
handle_known_end(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                 mb_fleet_run_t *found, const mb_report_end_t *end)
{
    mb_fleet_run_t run = *found;
    mb_fleet_remove_run(fleet, worker, found);
    if (run.job->outcome != MB_DAG_OPEN) {
        mb_health_abandoned(&worker->health, run.started_us);
        return MB_FLEET_END_JOB_CLOSED;
    }
    mb_fleet_mark_begun(fleet, worker, run.job);
    mb_fleet_mark_job_startable(fleet, run.job);
    return handle_newest_end(fleet, worker, &run, end);
}

/* Handles the end of a run that this owner doesn't have on record: the former
   owner started it, or it was given up with its worker. */
static mb_fleet_end_effect_t
handle_unknown_end(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                   const mb_report_end_t *end)
{
    mb_dag_job_t *job = mb_dag_find(fleet->table, end->task.job);
    if (job == NULL) {
        return MB_FLEET_END_JOB_UNKNOWN;
    }
    if (!mb_dag_has_task(job, &end->task)) {
        return MB_FLEET_END_TASK_UNKNOWN;
    }
    if (job->outcome != MB_DAG_OPEN) {
        return MB_FLEET_END_JOB_CLOSED;
    }
    mb_dag_task_t *task = mb_dag_task(job, end->task.occurrence,
                                      end->task.step, end->task.index);
    if (task == NULL) {
        return MB_FLEET_END_TASK_DONE;
    }
    mb_fleet_run_t run = make_ended_run(fleet, job, end);
    bool is_newest =
        !mb_fleet_task_is_running(task) && end->run >= task->last_run;
    mb_fleet_mark_begun(fleet, worker, job);
    mb_fleet_mark_job_startable(fleet, job);
    task->last_run = MAX(task->last_run, end->run);
    if (is_newest) {
        return handle_newest_end(fleet, worker, &run, end);
    }
    return handle_older_end(fleet, worker, &run, end);
}

/* Applies an end and writes to the log what became of it. */
static void
apply_end(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
          const mb_report_end_t *end)
{
    mb_fleet_run_t *run = mb_fleet_find_run(worker, &end->task, end->run);
    mb_fleet_end_effect_t effect =
        run != NULL ? handle_known_end(fleet, worker, run, end)
                    : handle_unknown_end(fleet, worker, end);
    fleet->counts.ends[end->how]++;
    fleet->counts.end_effects[effect]++;
    mb_log_info(&fleet->log,
                "end job=%.*s task=%u.%u.%u run=%" G_GUINT64_FORMAT
                " worker=%.*s number=%" G_GUINT64_FORMAT " how=%s effect=%s",
                MB_STR_ARG(mb_dag_id_view(&end->task.job)),
                end->task.occurrence, end->task.step, end->task.index,
                end->run, MB_STR_ARG(mb_buf_view(&worker->name)), end->number,
                mb_run_end_name(end->how), mb_fleet_end_effect_name(effect));
}

/* Applies an end that an earlier incarnation of the worker listed. It says
   nothing about the health of this one. */
static void
apply_unnumbered_end(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                     const mb_report_end_t *end)
{
    mb_health_t health = worker->health;
    apply_end(fleet, worker, end);
#ifndef MB_MUTANT_FLEET_FORMER_END_IN_HEALTH
    worker->health = health;
#endif
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
        if (end->number == MB_REPORT_END_UNNUMBERED) {
            apply_unnumbered_end(fleet, worker, end);
        }
        else if (end->number > worker->ends_applied) {
            worker->ends_applied = end->number;
            apply_end(fleet, worker, end);
        }
    }
}
