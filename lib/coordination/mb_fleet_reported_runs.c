/* Applies the runs that the agents report: their progress and throttles, runs
   that this owner doesn't have on record, and those that are no longer
   there. */
#include "mb_fleet_internal.h"

/* Throttle at or below which a run counts as severely throttled, in percent of
   full speed. */
#define SEVERE_THROTTLE_PERCENT 35u
#define FULL_SPEED_PERCENT 100u
#define WHOLE_PERCENT 100u
/* A run counts as stalled after this time without progress, in microseconds.
   If they are longer, after the time in which it is expected to do
   STALL_PERCENT of its work, or STALL_PACE_FACTOR times the longest time that
   it has taken for one percent: progress is reported in whole percents, the
   actual run time may be a multiple of the expected one, and the worker may be
   slow. */
#define STALL_MIN_US UINT64_C(2000000)
#define STALL_PERCENT 10u
#define STALL_PACE_FACTOR 3u
/* Doublings of that time for tasks that have stalled before. */
#define STALL_DOUBLINGS_MAX 10u

/* Tells whether a reported run of an open job, which this owner doesn't have
   on record, may go on: its task still needs it and has no newer run. Where
   the task may have several, it may be the older of two. */
static bool
may_adopt(const mb_dag_step_t *step, const mb_dag_task_t *task,
          const mb_report_run_t *entry)
{
    bool is_newest = entry->run >= task->last_run;
#ifndef MB_MUTANT_FLEET_OLDER_COPY_NOT_ADOPTED
    is_newest = is_newest || mb_fleet_allows_copies(step);
#endif
    return !task->done && is_newest &&
           mb_dag_count_runs(task) <
               (step->speculative ? MB_DAG_COPIES_MAX : 1u);
}

/* Orders the stop of an orphaned run, one that no task needs. It uses its room
   until it has ended; `step` is NULL if that is not known. */
static void
stop_orphan(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
            const mb_report_run_t *entry, const mb_dag_step_t *step)
{
    mb_order_stop_t stop = {entry->task, entry->run};
    if (step == NULL) {
        worker->has_unknown_orphan = true;
    }
    else {
        worker->orphaned.cpu_milli +=
            step->best_effort ? 0 : step->size.cpu_milli;
        worker->orphaned.memory_mb += step->size.memory_mb;
        worker->orphaned.accelerators += step->size.accelerators;
    }
    (void)mb_fleet_order_stop(fleet, worker, &stop);
}

/* Adopts a reported run that this owner doesn't have on record, such as one
   that the former owner started, or orders its stop. */
static void
adopt_run(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
          const mb_report_run_t *entry)
{
    mb_dag_job_t *job = mb_dag_find(fleet->table, entry->task.job);
    bool is_known = job != NULL && mb_dag_has_task(job, &entry->task);
    const mb_dag_step_t *step =
        is_known ? &job->steps[entry->task.step] : NULL;
    mb_dag_task_t *task =
        is_known && job->outcome == MB_DAG_OPEN
            ? mb_dag_task(job, entry->task.occurrence, entry->task.step,
                          entry->task.index)
            : NULL;
    if (task != NULL && entry->confirmed) {
        mb_fleet_mark_begun(fleet, worker, job);
    }
    if (step == NULL || task == NULL || !may_adopt(step, task, entry)) {
        mb_log_info(&fleet->log,
                    "stopping an orphaned run job=%.*s run=%" G_GUINT64_FORMAT
                    " worker=%.*s",
                    MB_STR_ARG(mb_dag_id_view(&entry->task.job)), entry->run,
                    MB_STR_ARG(mb_buf_view(&worker->name)));
        stop_orphan(fleet, worker, entry, step);
        return;
    }
    mb_fleet_run_t run = {.job = job,
                          .occurrence = entry->task.occurrence,
                          .step = entry->task.step,
                          .index = entry->task.index,
                          .number = entry->run,
                          .started_us = mb_clock_us(&fleet->clock),
                          .adopted = true,
                          .resumed = true,
                          .confirmed = true};
    (void)mb_fleet_add_run(fleet, worker, &run);
}

/* Sends a restarted agent what it needs in order to throttle best-effort runs
   and to watch the latency of service tasks: the start of the run again, which
   has no other effect as the run exists already. */
static void
repeat_start(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
             const mb_fleet_run_t *run)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    mb_order_start_t start = {.task = mb_fleet_run_task_id(run),
                              .run = run->number,
                              .payload = run->job->spec.payload,
                              .image = step->image,
                              .latency_target_ms = step->latency_target_ms,
                              .best_effort = step->best_effort};
    if (step->best_effort || step->latency_target_ms > 0) {
        (void)mb_fleet_order_start(fleet, worker, &start);
    }
}

/* Records since when the agent has severely throttled a run, and whether it
   has ever throttled it. */
static void
update_throttle_state(const mb_fleet_t *fleet, mb_fleet_run_t *run,
                      uint32_t throttle_percent)
{
    if (!run->was_throttled && throttle_percent < FULL_SPEED_PERCENT) {
        mb_dag_run_t *copy = mb_fleet_find_copy(run);
        run->was_throttled = true;
        if (copy != NULL) {
            copy->throttled = true;
        }
    }
    if (throttle_percent > SEVERE_THROTTLE_PERCENT) {
        run->throttled_since_us = 0;
    }
    else if (run->throttled_since_us == 0) {
        run->throttled_since_us = mb_clock_us(&fleet->clock);
    }
}

/* Tells whether the figures of a report are as of now. */
bool
mb_fleet_has_recent_figures(const mb_report_t *report)
{
#ifdef MB_MUTANT_FLEET_OLD_FIGURES_USED
    return true;
#endif
    return report->figures_age_ms <= MB_FLEET_FIGURES_AGE_MAX_MS;
}

/* Notes that a report has a recent figure of the progress of a run. Returns
   the time since the one before, for which the run has been watched: 0 if that
   one is too old. */
static uint64_t
note_progress_read(mb_fleet_run_t *run, uint64_t now_us)
{
    uint64_t gap_us = now_us - run->progress_read_us;
    run->progress_read_us = now_us;
#ifdef MB_MUTANT_FLEET_STALL_WATCH_RESTARTED
    if (gap_us >= MB_FLEET_REPORT_TIMEOUT_MS * (uint64_t)MB_US_PER_MS) {
        run->stalled_for_us = 0;
    }
#endif
    return gap_us < MB_FLEET_REPORT_TIMEOUT_MS * (uint64_t)MB_US_PER_MS
               ? gap_us
               : 0;
}

/* Returns the time without progress after which a run counts as stalled, in
   microseconds. After a stall the next attempt at the task gets twice the
   time, as the expected run time may be far too short. */
static uint64_t
get_stall_timeout_us(const mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    uint64_t percent_us = mb_fleet_typical_run_ms(fleet, run->job, run->step) *
                          MB_US_PER_MS / WHOLE_PERCENT;
    uint64_t timeout_us = MAX(STALL_MIN_US, percent_us * STALL_PERCENT);
    timeout_us = MAX(timeout_us, run->slowest_percent_us * STALL_PACE_FACTOR);
#ifdef MB_MUTANT_FLEET_STALL_TIMEOUT_CONSTANT
    return STALL_MIN_US;
#endif
    return timeout_us << MIN(mb_fleet_run_task(run)->stalls,
                             STALL_DOUBLINGS_MAX);
}

/* Notes a new figure of the progress of a run, which has been watched for a
   time since the one before. */
static void
update_progress(mb_fleet_run_t *run, uint32_t progress, uint64_t watched_us)
{
    if (progress > run->progress) {
        uint64_t percent_us =
            (run->stalled_for_us + watched_us) / (progress - run->progress);
        run->slowest_percent_us = MAX(run->slowest_percent_us, percent_us);
    }
    run->progress = progress;
    run->stalled_for_us = 0;
}

/* Stops a stalled run, one without progress that isn't severely throttled. Its
   task goes on elsewhere, and the run counts as a failed one. Gang members are
   exempt because they wait for one another, and service tasks because they
   report no progress. A time without recent figures doesn't count. */
static void
check_progress(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
               mb_fleet_run_t *run, const mb_report_run_t *entry,
               const mb_report_t *report)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    const mb_dag_step_t *step = &run->job->steps[run->step];
    if (!mb_fleet_has_recent_figures(report)) {
        return;
    }
    bool is_first = run->progress_read_us == 0;
    uint64_t watched_us = note_progress_read(run, now_us);
    if (is_first || !entry->confirmed || run->throttled_since_us != 0) {
        run->progress = entry->progress;
        run->stalled_for_us = 0;
        return;
    }
    if (entry->progress != run->progress) {
        update_progress(run, entry->progress, watched_us);
        return;
    }
    run->stalled_for_us += watched_us;
    if (run->stopping || step->long_running || step->gang ||
        run->stalled_for_us < get_stall_timeout_us(fleet, run)) {
        return;
    }
    mb_log_notice(&fleet->log,
                  "run makes no progress, stopping it job=%.*s task=%u.%u.%u "
                  "run=%" G_GUINT64_FORMAT " worker=%.*s progress=%u "
                  "stalled_ms=%" G_GUINT64_FORMAT,
                  MB_STR_ARG(mb_dag_id_view(&run->job->spec.id)),
                  run->occurrence, run->step, run->index, run->number,
                  MB_STR_ARG(mb_buf_view(&worker->name)), run->progress,
                  run->stalled_for_us / MB_US_PER_MS);
    mb_fleet_attribute_failure(fleet, worker, run);
    mb_fleet_run_task(run)->last_failed_worker = worker->number + 1;
    mb_fleet_delay_retry(fleet, run);
    mb_fleet_run_task(run)->stalls++;
    fleet->counts.stalls++;
    mb_fleet_stop_run(fleet, worker, run);
}

/* Applies the runs of a report: updates known ones and their checkpoints, and
   on a complete report adopts or stops the others. */
void
mb_fleet_apply_runs(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                    const mb_report_t *report)
{
    if (report->complete) {
        worker->orphaned = (mb_size_t){0};
        worker->has_unknown_orphan = false;
    }
    for (guint i = 0; i < report->runs->len; i++) {
        const mb_report_run_t *entry =
            &g_array_index(report->runs, mb_report_run_t, i);
        mb_fleet_run_t *run =
            mb_fleet_find_run(worker, &entry->task, entry->run);
        if (run == NULL) {
            if (report->complete) {
                adopt_run(fleet, worker, entry);
            }
            continue;
        }
        if (run->stopping) {
#ifndef MB_MUTANT_FLEET_STOP_NOT_REPEATED
            /* The stop was lost with an earlier connection, or the agent read
               it before it knew of the run. */
            mb_fleet_stop_run(fleet, worker, run);
#endif
        }
        else if (!entry->attributes_known && entry->confirmed) {
            repeat_start(fleet, worker, run);
        }
        run->confirmed = run->confirmed || entry->confirmed;
        if (entry->confirmed) {
            mb_fleet_mark_begun(fleet, worker, run->job);
        }
        update_throttle_state(fleet, run, entry->throttle_percent);
        check_progress(fleet, worker, run, entry, report);
        if (mb_fleet_has_recent_figures(report)) {
            mb_fleet_attribute_work(fleet, worker, run);
        }
        if (run->job->steps[run->step].checkpoints) {
            mb_fleet_set_checkpoint(run, entry->checkpoint);
        }
    }
}

/* Tells whether a complete report contains a run. */
bool
mb_fleet_is_reported(const mb_report_t *report, const mb_fleet_run_t *run)
{
    mb_dag_task_id_t id = mb_fleet_run_task_id(run);
    for (guint i = 0; i < report->runs->len; i++) {
        const mb_report_run_t *entry =
            &g_array_index(report->runs, mb_report_run_t, i);
        if (entry->run == run->number &&
            mb_dag_task_id_equal(&entry->task, &id)) {
            return true;
        }
    }
    return false;
}

/* Tells whether the start of a run that the worker has not confirmed may still
   take effect: the worker refuses it once the lease that it came with has
   ended. */
static bool
may_still_start(const mb_fleet_run_t *run, uint64_t now_us)
{
    return !run->confirmed &&
           now_us < run->started_us + mb_fleet_max_lease_us();
}

/* Gives up the runs that a complete report does not contain although the agent
   had read the order with their start before it made the report. A run that
   the worker has never confirmed is stopped first: its agent was restarted,
   and the start that the earlier one sent may still be on its way. The worker
   refuses it after the stop, which the agent reports, or after the end of its
   lease. */
void
mb_fleet_drop_unreported_runs(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                              const mb_report_t *report)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    for (guint i = 0; i < worker->runs->len;) {
        mb_fleet_run_t *run = &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (run->start_sequence > report->order_sequence ||
            mb_fleet_is_reported(report, run)) {
            i++;
            continue;
        }
#ifndef MB_MUTANT_FLEET_DROPS_UNCONFIRMED
        if (may_still_start(run, now_us)) {
            mb_fleet_stop_run(fleet, worker, run);
            i++;
            continue;
        }
#endif
        mb_dag_job_t *job = run->job;
        mb_health_abandoned(&worker->health, run->started_us);
        mb_fleet_remove_run(fleet, worker, run);
        mb_fleet_mark_job_startable(fleet, job);
        fleet->counts.lost_runs++;
    }
}

/* Gives up all runs of a worker, whose tasks may be started again at once. The
   caller ensures that the runs have ended. `reason` is for the log. */
void
mb_fleet_abandon_runs(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                      const char *reason)
{
    if (worker->runs->len > 0) {
        mb_log_notice(
            &fleet->log,
            "runs given up worker=%.*s runs=%u incarnation=%" G_GUINT64_FORMAT
            " reason=%s",
            MB_STR_ARG(mb_buf_view(&worker->name)), worker->runs->len,
            worker->incarnation, reason);
    }
    while (worker->runs->len > 0) {
        mb_fleet_run_t *run = &g_array_index(worker->runs, mb_fleet_run_t,
                                             worker->runs->len - 1);
        mb_dag_job_t *job = run->job;
        mb_health_abandoned(&worker->health, run->started_us);
        mb_fleet_remove_run(fleet, worker, run);
        mb_fleet_mark_job_startable(fleet, job);
        fleet->counts.lost_runs++;
    }
}
