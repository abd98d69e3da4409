/* What the agents report, and what it means for tasks. */
#include <string.h>

#include "mb_fleet_internal.h"

/* Pace at or below which a run counts as slowed down, in percent. */
#define SLOW_PERCENT 35u
#define FULL_PERCENT 100u
/* Time within which the failure of a service counts as one of its worker, in
   microseconds: longer than services take to begin. */
#define SERVICE_START_US UINT64_C(1000000)
/* Time without progress after which a run stands still, in microseconds: a
   hundred times the usual time for a percent. */
#define STALLED_US UINT64_C(2000000)

/* Gang members share their fate: the failures of a gang are counted at its
   first task. */
static mb_dag_task_t *
failure_counter(const mb_fleet_run_t *run)
{
    uint32_t index = run->job->steps[run->step].gang ? 0 : run->index;
    return mb_dag_task(run->job, run->occurrence, run->step, index);
}

/* Marks every member of a gang as done. */
static void
finish_gang(const mb_fleet_run_t *run)
{
    for (uint32_t i = 0; i < run->job->steps[run->step].count; i++) {
        mb_dag_set_done(run->job, run->occurrence, run->step,
                        mb_dag_task(run->job, run->occurrence, run->step, i));
    }
}

/* Takes the success of a run. */
static void
run_done(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
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

/* Takes the failure of a run. */
static void
run_failed(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
           const mb_fleet_run_t *run)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    mb_dag_job_t *job = run->job;
    mb_dag_task_t *task = mb_fleet_run_task(run);
    mb_dag_task_t *counter = failure_counter(run);
    if (job->steps[run->step].long_running &&
        now_us - run->started_us >= SERVICE_START_US) {
        /* Such tasks fail at any time, and never succeed: once they have
           begun, their failures say little of the worker. */
        mb_health_abandoned(&worker->health, run->started_us);
    }
    else {
        mb_health_failed(&worker->health, run->started_us, now_us);
    }
    task->failed_on = worker->number + 1;
    task->not_before_us = now_us + MB_FLEET_RETRY_DELAY_MS * MB_US_PER_MS;
    mb_log_notice(&fleet->log,
                  "run failed job=%.*s task=%u.%u.%u run=%" G_GUINT64_FORMAT
                  " worker=%.*s failures=%u of=%u",
                  MB_STR_ARG(mb_dag_id_view(&job->spec.id)), run->occurrence,
                  run->step, run->index, run->number,
                  MB_STR_ARG(mb_buf_view(&worker->name)),
                  counter->failures + 1u, job->spec.policy.max_attempts);
    /* A failure that the former owner has stored may be listed again. */
    if (job->steps[run->step].long_running || task->done ||
        !mb_dag_add_failure(counter, run->number)) {
        return;
    }
    mb_fleet_mark_dirty(fleet, job);
    if (counter->failures >= MAX(1u, job->spec.policy.max_attempts)) {
        mb_fleet_close_job(fleet, job, MB_DAG_FAILED);
    }
}

/* Takes the end of a run that this owner knows. */
static void
known_run_ended(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
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
    mb_fleet_mark_job_startable(fleet, run.job);
    if (checkpoints && !task->done && end->checkpoint.len > 0) {
        mb_dag_set_checkpoint(task, end->checkpoint);
        mb_fleet_mark_dirty(fleet, run.job);
    }
    if (end->how == MB_RUN_DONE) {
        run_done(fleet, worker, &run);
    }
    else if (end->how == MB_RUN_FAILED) {
        run_failed(fleet, worker, &run);
    }
    else {
        mb_health_abandoned(&worker->health, run.started_us);
    }
}

/* Counts the failure of a run that a newer one has followed: an attempt of
   the former owner, which could not store it. */
static void
count_old_failure(mb_fleet_t *fleet, mb_dag_job_t *job,
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

/* Takes the end of a run that this owner did not know: one of the former
   owner, or of a worker that was given up. Its success counts unless the task
   has a newer run; then the lease of the ended one had expired before. */
static void
unknown_run_ended(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
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
    if (mb_fleet_task_is_running(task) || end->run < task->last_run) {
        count_old_failure(fleet, job, end);
        return;
    }
    mb_fleet_run_t run = {.job = job,
                          .occurrence = end->task.occurrence,
                          .step = end->task.step,
                          .index = end->task.index,
                          .number = end->run,
                          .started_us = mb_clock_us(&fleet->clock),
                          .resumed = true,
                          .reported = true};
    mb_fleet_run_t *added = mb_fleet_add_run(fleet, worker, &run);
    job->begun = true;
    known_run_ended(fleet, worker, added, end);
}

/* Takes the ends of a report that are new. */
static void
take_ends(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
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
            known_run_ended(fleet, worker, run, end);
        }
        else {
            unknown_run_ended(fleet, worker, end);
        }
    }
}

/* Delays the next start of a task after its worker refused one. */
static void
delay_after_refusal(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                    const mb_fleet_run_t *run, mb_refusal_t reason)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    mb_dag_task_t *task = mb_fleet_run_task(run);
    if (reason == MB_REFUSAL_UNHEALTHY || reason == MB_REFUSAL_UNANSWERED) {
        mb_health_failed(&worker->health, run->started_us, now_us);
        task->failed_on = worker->number + 1;
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

/* Takes the starts that came to nothing. */
static void
take_refusals(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
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
            /* The others would wait in vain. */
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

/* Tells whether a run that an agent lists, and that this owner did not order,
   may go on. */
static bool
may_adopt(const mb_dag_job_t *job, const mb_dag_step_t *step,
          const mb_dag_task_t *task, const mb_report_run_t *listed)
{
    uint32_t copies = 0;
    for (uint32_t i = 0; i < MB_DAG_COPIES_MAX; i++) {
        copies += task->runs[i].number != 0;
    }
    return job->outcome == MB_DAG_OPEN && !task->done &&
           copies < (step->speculative ? MB_DAG_COPIES_MAX : 1u) &&
           listed->run >= task->last_run;
}

/* Orders the stop of a run that has no place in the table. */
static void
stop_stray(mb_fleet_worker_t *worker, const mb_report_run_t *listed)
{
    mb_order_stop_t stop = {listed->task, listed->run};
    g_array_append_val(worker->pending_order.stops, stop);
    worker->order_due = true;
}

/* Takes over a run of the former owner, or stops it. */
static void
adopt_run(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
          const mb_report_run_t *listed)
{
    mb_dag_job_t *job = mb_dag_find(fleet->table, listed->task.job);
    mb_dag_task_t *task =
        job == NULL ? NULL
                    : mb_dag_task(job, listed->task.occurrence,
                                  listed->task.step, listed->task.index);
    if (task == NULL ||
        !may_adopt(job, &job->steps[listed->task.step], task, listed)) {
        mb_log_info(&fleet->log,
                    "stopping an unknown run job=%.*s run=%" G_GUINT64_FORMAT
                    " worker=%.*s",
                    MB_STR_ARG(mb_dag_id_view(&listed->task.job)), listed->run,
                    MB_STR_ARG(mb_buf_view(&worker->name)));
        stop_stray(worker, listed);
        return;
    }
    mb_fleet_run_t run = {.job = job,
                          .occurrence = listed->task.occurrence,
                          .step = listed->task.step,
                          .index = listed->task.index,
                          .number = listed->run,
                          .started_us = mb_clock_us(&fleet->clock),
                          .resumed = true,
                          .reported = true};
    (void)mb_fleet_add_run(fleet, worker, &run);
    job->begun = true;
}

/* Sends an agent that has been restarted what it needs to pace a run: the
   start again, which changes nothing else. */
static void
describe_run(mb_fleet_worker_t *worker, const mb_fleet_run_t *run)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    mb_order_start_t start = {.task = mb_fleet_run_task_id(run),
                              .run = run->number,
                              .payload = run->job->spec.payload,
                              .image = step->image,
                              .latency_target_ms = step->latency_target_ms,
                              .fills = step->fills};
    if (step->fills || step->latency_target_ms > 0) {
        g_array_append_val(worker->pending_order.starts, start);
        worker->order_due = true;
    }
}

/* Notes since when the agent slows a run down. */
static void
note_pace(const mb_fleet_t *fleet, mb_fleet_run_t *run, uint32_t pace)
{
    run->was_throttled = run->was_throttled || pace < FULL_PERCENT;
    if (pace > SLOW_PERCENT) {
        run->throttled_since_us = 0;
    }
    else if (run->throttled_since_us == 0) {
        run->throttled_since_us = mb_clock_us(&fleet->clock);
    }
}

/* Stops a run that stands still though nothing slows it down; it goes on
   elsewhere, and counts as a failure of its worker. Members of a gang wait for
   one another, and services do not progress. */
static void
note_progress(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
              mb_fleet_run_t *run, const mb_report_run_t *listed)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    const mb_dag_step_t *step = &run->job->steps[run->step];
    if (!listed->confirmed || run->throttled_since_us != 0 ||
        listed->progress != run->progress || run->progress_us == 0) {
        run->progress = listed->progress;
        run->progress_us = now_us;
        return;
    }
    if (run->stopping || step->long_running || step->gang ||
        now_us - run->progress_us < STALLED_US) {
        return;
    }
    mb_log_notice(&fleet->log,
                  "run stands still, stopping it job=%.*s task=%u.%u.%u "
                  "run=%" G_GUINT64_FORMAT " worker=%.*s progress=%u",
                  MB_STR_ARG(mb_dag_id_view(&run->job->spec.id)),
                  run->occurrence, run->step, run->index, run->number,
                  MB_STR_ARG(mb_buf_view(&worker->name)), run->progress);
    mb_health_failed(&worker->health, run->started_us, now_us);
    mb_fleet_run_task(run)->failed_on = worker->number + 1;
    fleet->counts.stalls++;
    mb_fleet_stop_run(fleet, worker, run);
}

/* Takes the listed runs: confirms known ones, keeps their checkpoints, and
   adopts or stops the others. */
static void
take_runs(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
          const mb_report_t *report)
{
    for (guint i = 0; i < report->runs->len; i++) {
        const mb_report_run_t *listed =
            &g_array_index(report->runs, mb_report_run_t, i);
        mb_fleet_run_t *run =
            mb_fleet_find_run(worker, &listed->task, listed->run);
        if (run == NULL) {
            if (report->complete) {
                adopt_run(fleet, worker, listed);
            }
            continue;
        }
        if (run->stopping) {
#ifndef MB_MUTANT_FLEET_STOP_NOT_REPEATED
            /* The order may have been lost with an earlier connection. */
            mb_fleet_stop_run(fleet, worker, run);
#endif
        }
        else if (!listed->described && listed->confirmed) {
            describe_run(worker, run);
        }
        run->reported = run->reported || listed->confirmed;
        note_pace(fleet, run, listed->pace);
        note_progress(fleet, worker, run, listed);
        if (run->job->steps[run->step].checkpoints) {
            mb_dag_set_checkpoint(mb_fleet_run_task(run), listed->checkpoint);
        }
    }
}

/* Tells whether a complete report lists a run. */
static bool
is_listed(const mb_report_t *report, const mb_fleet_run_t *run)
{
    mb_dag_task_id_t id = mb_fleet_run_task_id(run);
    for (guint i = 0; i < report->runs->len; i++) {
        const mb_report_run_t *listed =
            &g_array_index(report->runs, mb_report_run_t, i);
        if (listed->run == run->number &&
            mb_dag_task_id_equal(&listed->task, &id)) {
            return true;
        }
    }
    return false;
}

/* Gives up runs that a complete report does not list, though their start was
   read before it was made. */
static void
drop_missing(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
             const mb_report_t *report)
{
    for (guint i = 0; i < worker->runs->len;) {
        mb_fleet_run_t *run = &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (run->start_sequence > report->processed ||
            is_listed(report, run)) {
            i++;
            continue;
        }
        mb_dag_job_t *job = run->job;
        mb_health_abandoned(&worker->health, run->started_us);
        mb_fleet_remove_run(fleet, worker, run);
        mb_fleet_mark_job_startable(fleet, job);
        fleet->counts.lost_runs++;
    }
}

/* Gives up all runs of a worker. */
void
mb_fleet_abandon_runs(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                      const char *why)
{
    if (worker->runs->len > 0) {
        mb_log_notice(
            &fleet->log,
            "runs given up worker=%.*s runs=%u incarnation=%" G_GUINT64_FORMAT
            " reason=%s",
            MB_STR_ARG(mb_buf_view(&worker->name)), worker->runs->len,
            worker->incarnation, why);
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

/* Takes what a worker says of itself. */
static void
take_info(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
          const mb_worker_info_t *info)
{
    if (info->incarnation != worker->incarnation) {
        mb_log_notice(
            &fleet->log,
            "worker began anew worker=%.*s runs=%u from=%016" G_GINT64_MODIFIER
            "x to=%016" G_GINT64_MODIFIER "x",
            MB_STR_ARG(info->name), worker->runs->len, worker->incarnation,
            info->incarnation);
        mb_health_init(&worker->health);
        worker->incarnation = info->incarnation;
        worker->ends_applied = 0;
        worker->ends_being_stored = 0;
        worker->ends_stored = 0;
    }
    if (info->state != worker->state) {
        mb_log_notice(&fleet->log, "worker state worker=%.*s from=%d to=%d",
                      MB_STR_ARG(info->name), (int)worker->state,
                      (int)info->state);
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

/* Takes a report of an agent. Reports under an older token than this owner's
   say nothing of what the agent obeys, and are left out. */
void
mb_fleet_handle_report(mb_fleet_t *fleet, uint32_t number,
                       const mb_report_t *report)
{
    mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, number);
    uint64_t now_us = mb_clock_us(&fleet->clock);
    if (!fleet->is_owner || report->token != fleet->token) {
        return;
    }
    /* The first report of a connection or an incarnation has to say what runs
       there; what it does not list is gone. */
    bool known = worker->runs_known &&
                 report->worker.incarnation == worker->incarnation;
    if (!known && !report->complete) {
        return;
    }
    worker->reported_us = now_us;
    worker->report_sequence = report->sequence;
    worker->agent_stopping = report->leaving;
    worker->lease_end_us =
        MAX(worker->lease_end_us, now_us + mb_fleet_max_lease_us());
    take_info(fleet, worker, &report->worker);
    take_ends(fleet, worker, report);
    take_refusals(fleet, worker, report);
    take_runs(fleet, worker, report);
    if (report->complete) {
        mb_fleet_learn_headroom(fleet, worker, report);
        drop_missing(fleet, worker, report);
        mb_fleet_set_throttles(fleet, worker);
        if (!worker->runs_known) {
            mb_log_info(&fleet->log,
                        "worker listed worker=%.*s service=%.*s runs=%u "
                        "state=%d",
                        MB_STR_ARG(report->worker.name),
                        MB_STR_ARG(report->worker.service), worker->runs->len,
                        (int)worker->state);
        }
        worker->runs_known = true;
        worker->may_have_former_runs = false;
        fleet->schedule_due = true;
    }
}
