/* Applies the reports of the agents: ends and refusals of runs, runs in
   progress, and the state of workers. */
#include <string.h>

#include "mb_executor.h"
#include "mb_fleet_internal.h"

/* Throttle at or below which a run counts as severely throttled, in percent of
   full speed. */
#define SEVERE_THROTTLE_PERCENT 35u
#define FULL_SPEED_PERCENT 100u
/* A service task that fails within this time after its start counts as a
   failure of its worker, in microseconds. Longer than services take to start
   up. */
#define SERVICE_STARTUP_US UINT64_C(1000000)
/* A run counts as stalled after this time without progress, in microseconds:
   a hundred times the usual time for one percent. */
#define STALL_TIMEOUT_US UINT64_C(2000000)

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
static void
apply_ends(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
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

/* Delays the next attempt after a worker refused a start, according to the
   reason. A worker that is unhealthy or did not answer counts as failed, and
   the task may be started again at once, preferably elsewhere. */
static void
delay_after_refusal(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                    const mb_fleet_run_t *run, mb_refusal_t reason)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    mb_dag_task_t *task = mb_fleet_run_task(run);
    if (reason == MB_REFUSAL_UNHEALTHY || reason == MB_REFUSAL_UNANSWERED) {
        mb_health_failed(&worker->health, run->started_us, now_us);
        task->last_failed_worker = worker->number + 1;
        return;
    }
    mb_health_abandoned(&worker->health, run->started_us);
    if (reason == MB_REFUSAL_INVALID) {
        task->not_before_us = now_us + MB_US_PER_S;
    }
    else {
        task->not_before_us = now_us + MB_FLEET_RETRY_DELAY_MS * MB_US_PER_MS;
    }
}

/* Applies the refused starts of a report: their tasks wait again. */
static void
apply_refusals(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
               const mb_report_t *report)
{
    for (guint i = 0; i < report->refusals->len; i++) {
        const mb_report_refusal_t *refusal =
            &g_array_index(report->refusals, mb_report_refusal_t, i);
        mb_fleet_run_t *found =
            mb_fleet_find_run(worker, &refusal->task, refusal->run);
        fleet->counts.refusals[refusal->reason]++;
        if (found == NULL) {
            continue;
        }
        mb_fleet_run_t run = *found;
        mb_fleet_remove_run(fleet, worker, found);
        mb_fleet_mark_job_startable(fleet, run.job);
        if (run.job->steps[run.step].gang) {
            /* The other members would wait for the refused one until they
               time out. */
            mb_fleet_stop_gang(fleet, &run);
        }
        delay_after_refusal(fleet, worker, &run, refusal->reason);
        mb_log_info(
            &fleet->log,
            "start refused job=%.*s task=%u.%u.%u run=%" G_GUINT64_FORMAT
            " worker=%.*s reason=%s",
            MB_STR_ARG(mb_dag_id_view(&run.job->spec.id)), run.occurrence,
            run.step, run.index, run.number,
            MB_STR_ARG(mb_buf_view(&worker->name)),
            mb_refusal_name(refusal->reason));
    }
}

/* Tells whether a reported run that this owner doesn't have on record may go
   on: its task still needs it and has no newer run. */
static bool
may_adopt(const mb_dag_job_t *job, const mb_dag_step_t *step,
          const mb_dag_task_t *task, const mb_report_run_t *entry)
{
    uint32_t copies = 0;
    for (uint32_t i = 0; i < MB_DAG_COPIES_MAX; i++) {
        copies += task->runs[i].number != 0;
    }
    return job->outcome == MB_DAG_OPEN && !task->done &&
           copies < (step->speculative ? MB_DAG_COPIES_MAX : 1u) &&
           entry->run >= task->last_run;
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
    mb_dag_task_t *task =
        job == NULL ? NULL
                    : mb_dag_task(job, entry->task.occurrence,
                                  entry->task.step, entry->task.index);
    if (task != NULL && entry->confirmed) {
        mb_fleet_mark_begun(fleet, worker, job);
    }
    if (task == NULL ||
        !may_adopt(job, &job->steps[entry->task.step], task, entry)) {
        mb_log_info(&fleet->log,
                    "stopping an orphaned run job=%.*s run=%" G_GUINT64_FORMAT
                    " worker=%.*s",
                    MB_STR_ARG(mb_dag_id_view(&entry->task.job)), entry->run,
                    MB_STR_ARG(mb_buf_view(&worker->name)));
        stop_orphan(fleet, worker, entry,
                    task == NULL ? NULL : &job->steps[entry->task.step]);
        return;
    }
    mb_fleet_run_t run = {.job = job,
                          .occurrence = entry->task.occurrence,
                          .step = entry->task.step,
                          .index = entry->task.index,
                          .number = entry->run,
                          .started_us = mb_clock_us(&fleet->clock),
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
    run->was_throttled =
        run->was_throttled || throttle_percent < FULL_SPEED_PERCENT;
    if (throttle_percent > SEVERE_THROTTLE_PERCENT) {
        run->throttled_since_us = 0;
    }
    else if (run->throttled_since_us == 0) {
        run->throttled_since_us = mb_clock_us(&fleet->clock);
    }
}

/* Stops a stalled run, one without progress that isn't severely throttled. Its
   task goes on elsewhere, and the worker's health counts a failure. Gang
   members are exempt because they wait for one another, and service tasks
   because they report no progress. */
static void
check_progress(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
               mb_fleet_run_t *run, const mb_report_run_t *entry)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    const mb_dag_step_t *step = &run->job->steps[run->step];
    if (!entry->confirmed || run->throttled_since_us != 0 ||
        entry->progress != run->progress || run->progress_us == 0) {
        run->progress = entry->progress;
        run->progress_us = now_us;
        return;
    }
    if (run->stopping || step->long_running || step->gang ||
        now_us - run->progress_us < STALL_TIMEOUT_US) {
        return;
    }
    mb_log_notice(&fleet->log,
                  "run makes no progress, stopping it job=%.*s task=%u.%u.%u "
                  "run=%" G_GUINT64_FORMAT " worker=%.*s progress=%u",
                  MB_STR_ARG(mb_dag_id_view(&run->job->spec.id)),
                  run->occurrence, run->step, run->index, run->number,
                  MB_STR_ARG(mb_buf_view(&worker->name)), run->progress);
    mb_health_failed(&worker->health, run->started_us, now_us);
    mb_fleet_run_task(run)->last_failed_worker = worker->number + 1;
    fleet->counts.stalls++;
    mb_fleet_stop_run(fleet, worker, run);
}

/* Applies the runs of a report: updates known ones and their checkpoints, and
   on a complete report adopts or stops the others. */
static void
apply_runs(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
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
        check_progress(fleet, worker, run, entry);
        if (run->job->steps[run->step].checkpoints) {
            mb_dag_set_checkpoint(mb_fleet_run_task(run), entry->checkpoint);
        }
    }
}

/* Tells whether a complete report contains a run. */
static bool
is_reported(const mb_report_t *report, const mb_fleet_run_t *run)
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
static void
drop_unreported_runs(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                     const mb_report_t *report)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    for (guint i = 0; i < worker->runs->len;) {
        mb_fleet_run_t *run = &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (run->start_sequence > report->order_sequence ||
            is_reported(report, run)) {
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

/* Notes that a worker which started again under its name may hold a lease by
   the clock of its earlier incarnation, longer than those that this owner
   grants. Its agent ends the runs in time, unless it is frozen or gone. */
static void
note_earlier_lease(const mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
#ifndef MB_MUTANT_FLEET_EARLIER_LEASE_IGNORED
    uint64_t lease_us = MB_EXECUTOR_LEASE_MAX_MS * (uint64_t)MB_US_PER_MS;
    uint64_t end_us = mb_clock_us(&fleet->clock) + lease_us +
                      lease_us / MB_FLEET_CLOCK_DRIFT_DIVISOR +
                      MB_FLEET_LEASE_MARGIN_MS * (uint64_t)MB_US_PER_MS;
    worker->lease_end_us = MAX(worker->lease_end_us, end_us);
#endif
}

/* Applies the description of a worker. A new incarnation has run nothing yet:
   its health and the numbers of its ends start anew. */
static void
apply_worker_info(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                  const mb_worker_info_t *info)
{
    if (info->incarnation != worker->incarnation) {
        mb_log_notice(&fleet->log,
                      "worker incarnation changed worker=%.*s runs=%u "
                      "from=%016" G_GINT64_MODIFIER
                      "x to=%016" G_GINT64_MODIFIER "x",
                      MB_STR_ARG(info->name), worker->runs->len,
                      worker->incarnation, info->incarnation);
        if (worker->incarnation != 0 &&
            mb_str_equal(mb_buf_view(&worker->name), info->name)) {
            note_earlier_lease(fleet, worker);
        }
        mb_health_init(&worker->health);
        worker->incarnation = info->incarnation;
        worker->ends_applied = 0;
        worker->ends_being_stored = 0;
        worker->ends_stored = 0;
    }
    if (info->state != worker->state) {
        mb_log_notice(
            &fleet->log, "worker state changed worker=%.*s from=%d to=%d",
            MB_STR_ARG(info->name), (int)worker->state, (int)info->state);
        fleet->schedule_due = true;
    }
    worker->state = info->state;
    worker->capacity = info->capacity;
    mb_buf_set(&worker->name, info->name);
    mb_buf_set(&worker->service, info->service);
    mb_buf_set(&worker->rack, info->rack);
    worker->label_count = info->label_count;
    for (uint32_t i = 0; i < info->label_count; i++) {
        mb_buf_set(&worker->labels[i], info->labels[i]);
    }
}

/* Notes which process of the agent has made a report. */
static void
note_agent(const mb_fleet_t *fleet, mb_fleet_worker_t *worker,
           const mb_report_t *report)
{
    if (worker->agent_known_since_us != 0 &&
        report->agent_incarnation == worker->agent_incarnation) {
        return;
    }
    worker->agent_incarnation = report->agent_incarnation;
    worker->agent_known_since_us = mb_clock_us(&fleet->clock);
}

/* Tells whether a complete report contains all runs that are on record. */
static bool
has_all_runs(const mb_report_t *report, const mb_fleet_worker_t *worker)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        if (!is_reported(report,
                         &g_array_index(worker->runs, mb_fleet_run_t, i))) {
            return false;
        }
    }
    return true;
}

/* Ends the wait for a worker: every run that is there is on record. */
static void
end_wait(mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
    worker->report_unsettled = false;
    worker->may_have_former_runs = false;
    mb_fleet_release_absent_tasks(fleet, worker);
}

/* Concludes from a complete report that what it does not contain does not run
   there. Not before the agent's process is confirmed: an agent that was
   restarted may have obeyed a later owner, under which runs that are missing
   here have ended, and tasks that seem to wait are done. */
static void
settle_runs(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
            const mb_report_t *report)
{
    if (!mb_fleet_agent_confirmed(fleet, worker)) {
        worker->report_unsettled = has_all_runs(report, worker);
        return;
    }
    drop_unreported_runs(fleet, worker, report);
    end_wait(fleet, worker);
}

/* Ends the wait for workers whose latest report could not be believed when it
   arrived, and whose agent's process has been confirmed since. Nothing was
   started there meanwhile, so the report is still right. */
void
mb_fleet_settle_confirmed(mb_fleet_t *fleet)
{
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        if (worker->report_unsettled &&
            mb_fleet_agent_confirmed(fleet, worker)) {
            end_wait(fleet, worker);
            fleet->schedule_due = true;
        }
    }
}

/* Applies a report of the agent of a worker. The report is borrowed. Reports
   under another fencing token than this owner's are ignored, as the agent does
   not follow its orders yet. */
void
mb_fleet_handle_report(mb_fleet_t *fleet, uint32_t number,
                       const mb_report_t *report)
{
    mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, number);
    uint64_t now_us = mb_clock_us(&fleet->clock);
    if (!fleet->is_owner || report->token != fleet->token) {
        return;
    }
    /* The first report of a connection or an incarnation has to be complete:
       runs that it doesn't contain no longer exist. */
    bool runs_known = worker->runs_known &&
                      report->worker.incarnation == worker->incarnation;
    if (!runs_known && !report->complete) {
        return;
    }
    note_agent(fleet, worker, report);
    worker->reported_us = now_us;
    worker->report_sequence = report->sequence;
    worker->reported_order_sequence = report->order_sequence;
    mb_fleet_majority_reported(worker, report->order_sequence);
    worker->agent_draining = report->draining;
    /* Orders that answer this report extend the lease from the time when it
       was sent, which is before now. */
    worker->lease_end_us =
        MAX(worker->lease_end_us, now_us + mb_fleet_max_lease_us());
    apply_worker_info(fleet, worker, &report->worker);
    apply_ends(fleet, worker, report);
    apply_refusals(fleet, worker, report);
    apply_runs(fleet, worker, report);
    if (report->complete) {
        mb_fleet_learn_headroom(fleet, worker, report);
        settle_runs(fleet, worker, report);
        mb_fleet_set_throttles(fleet, worker);
        if (!worker->runs_known) {
            mb_log_info(
                &fleet->log,
                "worker reported its runs worker=%.*s service=%.*s runs=%u "
                "state=%d",
                MB_STR_ARG(report->worker.name),
                MB_STR_ARG(report->worker.service), worker->runs->len,
                (int)worker->state);
        }
        worker->runs_known = true;
        fleet->schedule_due = true;
    }
}
