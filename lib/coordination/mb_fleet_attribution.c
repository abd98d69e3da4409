/* Attributes the failures of runs to their workers or to their step, whose
   tasks are assumed to behave alike, by the rule of mb_evidence. A new owner
   begins without evidence. */
#include "mb_fleet_internal.h"

/* Returns the work that a run is of. */
static mb_evidence_work_t
get_work(const mb_fleet_run_t *run)
{
    return (mb_evidence_work_t){.source =
                                    mb_fleet_step_key(run->job, run->step),
                                .job = run->job,
                                .step = run->step};
}

/* Returns for how long a run is known to have worked: until its progress last
   changed, if it reports any. */
static uint64_t
get_worked_us(const mb_fleet_run_t *run, uint64_t now_us)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    uint64_t age_us = now_us - run->started_us;
    bool has_progress = !step->long_running && !step->gang;
    return age_us - (has_progress ? MIN(age_us, run->stalled_for_us) : 0);
}

/* Returns what the evidence needs to know of a run. */
static mb_evidence_run_t
get_evidence_run(const mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                 const mb_fleet_run_t *run)
{
    return (mb_evidence_run_t){
        .work = get_work(run),
        .worker = worker->number,
        .health = &worker->health,
        .started_us = run->started_us,
        .worked_us = get_worked_us(run, mb_clock_us(&fleet->clock))};
}

/* Logs that a worker was suspended or restored since the last line. */
static void
log_health_change(const mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
    const mb_health_t *health = &worker->health;
    bool is_suspended = health->state != MB_HEALTH_HEALTHY;
    if (worker->suspension_logged != is_suspended) {
        worker->suspension_logged = is_suspended;
        mb_log_notice(&fleet->log,
                      "worker %s worker=%.*s failures=%u excused=%u",
                      is_suspended ? "suspended" : "restored",
                      MB_STR_ARG(mb_buf_view(&worker->name)),
                      health->consecutive_failures,
                      health->failure_count - health->consecutive_failures);
    }
}

/* Callback of the evidence: excuses the failures of a step at all workers, or
   holds them against the workers again. */
static void
on_cause_changed(void *context, const mb_evidence_work_t *work,
                 mb_attribution_cause_t from, mb_attribution_cause_t to)
{
    mb_fleet_t *fleet = context;
    const mb_dag_job_t *job = work->job;
    bool is_excused = to == MB_CAUSE_WORK;
    if ((from == MB_CAUSE_WORK) == is_excused) {
        return;
    }
    mb_log_notice(&fleet->log,
                  "cause of failures changed job=%.*s step=%u from=%s to=%s",
                  MB_STR_ARG(mb_dag_id_view(&job->spec.id)), work->step,
                  mb_attribution_cause_name(from),
                  mb_attribution_cause_name(to));
    fleet->counts.faulty_steps += is_excused;
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        mb_health_set_excused(&worker->health, work->source, is_excused,
                              mb_clock_us(&fleet->clock));
        log_health_change(fleet, worker);
    }
    fleet->schedule_due = true;
}

/* Callback of the evidence: tells whether at least half of the workers are
   suspended. */
static bool
are_most_suspended(void *context)
{
    const mb_fleet_t *fleet = context;
    uint64_t now_us = mb_clock_us(&fleet->clock);
    guint ready = 0;
    guint suspended = 0;
    for (guint i = 0; i < fleet->workers->len; i++) {
        const mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        bool is_ready = worker->state == MB_WORKER_READY &&
                        !mb_fleet_worker_silent(worker, now_us);
        ready += is_ready;
        suspended += is_ready && worker->health.state != MB_HEALTH_HEALTHY;
    }
    return 2 * suspended >= ready;
}

/* Returns the run of a task in one of its slots; NULL if there is none, and of
   those that were adopted, as it is not known when they began. */
static const mb_fleet_run_t *
find_own_run(const mb_fleet_t *fleet, const mb_fleet_run_t *task,
             const mb_dag_run_t *copy)
{
    if (copy->number == 0) {
        return NULL;
    }
    mb_dag_task_id_t id = mb_fleet_run_task_id(task);
    const mb_fleet_run_t *run = mb_fleet_find_run(
        mb_fleet_get_worker(fleet, copy->worker), &id, copy->number);
    return run == NULL || run->adopted || run->stopping ? NULL : run;
}

/* Adds the runs of a task to the pending ones. Returns false if there is no
   room for more. */
static bool
add_pending_task(const mb_fleet_t *fleet, const mb_fleet_run_t *task,
                 mb_attribution_t *attribution)
{
    bool has_room = true;
    for (uint32_t i = 0; has_room && i < MB_DAG_COPIES_MAX; i++) {
        const mb_dag_run_t *copy = &mb_fleet_run_task(task)->runs[i];
        const mb_fleet_run_t *run = find_own_run(fleet, task, copy);
        has_room =
            run == NULL ||
            mb_attribution_pending(attribution, copy->worker, run->started_us);
    }
    return has_room;
}

/* Callback of the evidence: tells on which workers the runs of a step are. */
static void
add_pending_runs(void *context, const mb_evidence_work_t *work,
                 mb_attribution_t *attribution)
{
    const mb_fleet_t *fleet = context;
    mb_dag_job_t *job =
        mb_dag_find(fleet->table, ((const mb_dag_job_t *)work->job)->spec.id);
    mb_fleet_run_t task = {.job = job, .step = work->step};
    bool has_room = true;
    for (guint i = 0; has_room && i < job->open->len; i++) {
        const mb_dag_occurrence_t *occurrence =
            g_ptr_array_index(job->open, i);
        task.occurrence = occurrence->number;
        for (task.index = 0;
             has_room && task.index < job->steps[work->step].count;
             task.index++) {
            has_room = add_pending_task(fleet, &task, attribution);
        }
    }
}

/* Initializes the evidence. */
void
mb_fleet_evidence_init(mb_fleet_t *fleet)
{
    mb_evidence_callbacks_t callbacks = {on_cause_changed, are_most_suspended,
                                         add_pending_runs, fleet};
    mb_evidence_init(&fleet->evidence, &callbacks, &fleet->clock);
}

/* Drops the evidence on a job that is not open any more. What is held against
   workers stays. */
void
mb_fleet_evidence_forget(mb_fleet_t *fleet, const mb_dag_job_t *job)
{
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        mb_evidence_forget(&fleet->evidence, mb_fleet_step_key(job, i));
    }
}

/* Tells whether a service task has worked for so long that its failure says
   nothing about its start: services never succeed and may fail at any time. Of
   a run that was adopted it is not known for how long it has. */
static bool
is_proven(const mb_fleet_run_t *run, uint64_t now_us)
{
    return run->job->steps[run->step].long_running &&
           (run->adopted || now_us - run->started_us >= MB_HEALTH_PROVEN_US);
}

/* Attributes the failure of a run, or a run without progress, to its worker or
   to its step. */
void
mb_fleet_attribute_failure(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                           const mb_fleet_run_t *run)
{
    mb_evidence_run_t failed = get_evidence_run(fleet, worker, run);
    if (is_proven(run, mb_clock_us(&fleet->clock))) {
        mb_health_abandoned(&worker->health, run->started_us);
        return;
    }
    mb_evidence_failed(&fleet->evidence, &failed);
    log_health_change(fleet, worker);
}

/* Holds a start that a worker has refused as unhealthy, or has not answered,
   against the worker alone. */
void
mb_fleet_attribute_unhealthy(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                             const mb_fleet_run_t *run)
{
    mb_health_failed(&worker->health, run->started_us,
                     mb_clock_us(&fleet->clock));
    log_health_change(fleet, worker);
}

/* Attributes the refusal of a start as invalid to its step. */
void
mb_fleet_attribute_invalid(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    mb_evidence_work_t work = get_work(run);
    mb_evidence_invalid(&fleet->evidence, &work);
}

/* Counts the success of a run for its worker and its step. */
void
mb_fleet_attribute_success(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                           const mb_fleet_run_t *run)
{
    mb_evidence_run_t worked = get_evidence_run(fleet, worker, run);
    mb_evidence_succeeded(&fleet->evidence, &worked);
    log_health_change(fleet, worker);
}

/* Notes that a run is at work, as its worker has just reported. A service task
   that has worked for long enough counts as a success. */
void
mb_fleet_attribute_work(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                        mb_fleet_run_t *run)
{
    if (run->adopted || run->proven || !run->confirmed || run->stopping) {
        return;
    }
    if (is_proven(run, mb_clock_us(&fleet->clock))) {
        run->proven = true;
        mb_fleet_reset_retries(run);
        mb_fleet_attribute_success(fleet, worker, run);
        return;
    }
    mb_evidence_run_t at_work = get_evidence_run(fleet, worker, run);
    mb_evidence_survived(&fleet->evidence, &at_work);
}

/* Tells whether the step of a run may be faulty itself, so that it should not
   probe a suspended worker. */
bool
mb_fleet_step_may_be_faulty(const mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    return mb_evidence_may_be_faulty(&fleet->evidence,
                                     mb_fleet_step_key(run->job, run->step));
}
