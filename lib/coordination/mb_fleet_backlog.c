/* The forecast of the backlog: the remaining work of the open jobs by service,
   priority and size, the smallest tasks that find no room, and the rates at
   which the fleet finishes such work. Collected once a second, after a
   scheduling pass, so that what fits has been started. */
#include "mb_fleet_internal.h"

/* A job is no longer counted as ahead of new ones when it is expected to be
   completed after this multiple of the time for which it is worth something.
   Between once and twice that time it still counts: newer jobs that could be
   in time have overtaken it, and those admitted now will be overtaken
   likewise. */
#define FORGOTTEN_FACTOR 2u
/* The remaining work of a job is in thousandths of processor milliseconds. */
#define MILLI 1000u

/* Counts a task that has succeeded towards the rate of its class: the work
   that the backlog held for it. */
void
mb_fleet_backlog_finished(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    const mb_dag_job_t *job = run->job;
    const mb_dag_step_t *step = &job->steps[run->step];
    uint64_t now_us = mb_clock_us(&fleet->clock);
    uint64_t run_ms = (now_us - run->started_us) / MB_US_PER_MS;
    bool is_whole = !run->was_throttled && !run->resumed;
    mb_backlog_end_t end = {
        .service = mb_str_hash(job->spec.policy.service),
        .queue = mb_str_hash(job->spec.policy.queue),
        .priority = job->spec.policy.priority,
        .work_ms = mb_fleet_expected_run_ms(fleet, job, run->step) *
                   step->size.cpu_milli / MILLI,
        .declared_ms = step->estimate_ms,
        .run_ms = is_whole ? (uint32_t)MIN(run_ms, UINT32_MAX) : 0};
    mb_backlog_meter_ended(&fleet->backlog_meter, &end, now_us);
}

/* Tells whether a job counts: it is open, does not recur and is not a
   service. */
static bool
is_counted(const mb_dag_job_t *job)
{
    return job->outcome == MB_DAG_OPEN && job->spec.occurrences == 0 &&
           !mb_fleet_job_is_service(job);
}

/* Tells whether a task of a step that waits shows that there is no room: it is
   not restricted to some workers, and takes less than the smallest one so
   far. */
static bool
may_show_room(const mb_dag_step_t *step, const mb_size_t *smallest)
{
    return step->label.len == 0 && !step->gang && step->per_worker_max == 0 &&
           step->size.cpu_milli > 0 &&
           (smallest->cpu_milli == 0 ||
            step->size.cpu_milli < smallest->cpu_milli);
}

/* Tells whether a task of a step of the only occurrence waits for nothing but
   room. */
static bool
task_waits(const mb_dag_job_t *job, uint32_t step, uint64_t now_us)
{
    for (uint32_t i = 0; i < job->steps[step].count; i++) {
        const mb_dag_task_t *task = mb_dag_find_task(job, 0, step, i);
        if (task == NULL) {
            return !mb_dag_is_finished(job, 0);
        }
        if (!task->done && !mb_fleet_task_is_running(task) &&
            task->absent_workers == 0 && task->not_before_us <= now_us) {
            return true;
        }
    }
    return false;
}

/* Notes the smallest tasks of a job that wait for room. */
static void
note_waiting(const mb_dag_job_t *job, uint64_t now_us,
             mb_backlog_class_t *into)
{
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        const mb_dag_step_t *step = &job->steps[i];
        mb_size_t *smallest = &into->waiting[step->best_effort];
        if (mb_dag_unfinished(job, 0, i) > 0 &&
            may_show_room(step, smallest) && mb_dag_step_ready(job, 0, i) &&
            task_waits(job, i, now_us)) {
            *smallest = step->size;
        }
    }
}

/* Returns the work of a whole job, in processor milliseconds. */
static uint64_t
get_total_work(const mb_fleet_t *fleet, const mb_dag_job_t *job)
{
    uint64_t work = 0;
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        const mb_dag_step_t *step = &job->steps[i];
        work += step->count * mb_fleet_expected_run_ms(fleet, job, i) *
                step->size.cpu_milli;
    }
    return work / MILLI;
}

/* Adds an open job to its class. */
static void
add_job(const mb_fleet_t *fleet, const mb_dag_job_t *job, uint64_t now_us,
        mb_backlog_class_t *into)
{
    uint64_t age_us = now_us - MIN(now_us, job->arrived_us);
    uint64_t work_ms = job->remaining_work / MILLI;
    uint64_t total_us = age_us + job->remaining_us;
    uint64_t worth_us = job->objective_us * MB_BACKLOG_WORTH_FACTOR;
    bool is_forgotten = total_us > worth_us * FORGOTTEN_FACTOR;
#ifdef MB_MUTANT_FLEET_BACKLOG_COUNTS_WORTHLESS
    is_forgotten = false;
#endif
    if (!is_forgotten) {
        into->work_ms[mb_backlog_size_class(work_ms)] += work_ms;
    }
    if (total_us > worth_us && job->needs_scheduling) {
        uint32_t size = mb_backlog_size_class(get_total_work(fleet, job));
        into->overdue_size = MIN(into->overdue_size, size);
    }
    if (job->needs_scheduling) {
        note_waiting(job, now_us, into);
    }
}

/* Tells whether a task of any class waits for room. */
static bool
any_waits(const mb_backlog_forecast_t *forecast)
{
    for (guint i = 0; i < forecast->classes->len; i++) {
        const mb_backlog_class_t *class =
            &g_array_index(forecast->classes, mb_backlog_class_t, i);
        if (class->waiting[0].cpu_milli > 0 ||
            class->waiting[1].cpu_milli > 0) {
            return true;
        }
    }
    return false;
}

/* Collects the forecast; see the header. */
bool
mb_fleet_forecast_backlog(mb_fleet_t *fleet, mb_backlog_forecast_t *forecast)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    bool runs_known = fleet->former_runs_resolved;
    mb_backlog_forecast_clear(forecast);
#ifdef MB_MUTANT_FLEET_BACKLOG_BEFORE_RUNS
    runs_known = true;
#endif
    if (!fleet->is_owner || !fleet->active || !runs_known) {
        return false;
    }
    forecast->token = fleet->token;
    forecast->published_ms = now_us / MB_US_PER_MS;
    for (guint i = 0; i < fleet->open_jobs->len; i++) {
        const mb_dag_job_t *job = g_ptr_array_index(fleet->open_jobs, i);
        mb_backlog_class_t *into =
            is_counted(job)
                ? mb_backlog_get_class(forecast->classes,
                                       mb_str_hash(job->spec.policy.service),
                                       job->spec.policy.priority)
                : NULL;
        if (into != NULL) {
            add_job(fleet, job, now_us, into);
        }
    }
    mb_backlog_meter_sample(&fleet->backlog_meter, forecast, now_us);
    if (any_waits(forecast)) {
        return true;
    }
    (void)g_array_set_size(forecast->classes, 0);
    return false;
}
