/* Tells by the outcomes of runs whether failures are held against the workers
   or against a step, whose tasks are assumed to behave alike. The rule is that
   of mb_attribution. A new owner begins without evidence. */
#include "mb_fleet_internal.h"

/* The evidence on a step that has failed. */
typedef struct step_evidence {
    mb_attribution_t attribution;
    const mb_dag_job_t *job; /* borrowed; open */
    uint32_t step;
} step_evidence_t;

/* Initializes the evidence. */
void
mb_fleet_evidence_init(mb_fleet_t *fleet)
{
    fleet->evidence =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

/* Drops the evidence on all steps, at a change of ownership. */
void
mb_fleet_evidence_clear(mb_fleet_t *fleet)
{
    g_hash_table_remove_all(fleet->evidence);
}

/* Releases the evidence. */
void
mb_fleet_evidence_finish(mb_fleet_t *fleet)
{
    g_hash_table_destroy(fleet->evidence);
}

/* Drops the evidence on a job that is not open any more. What is held against
   workers stays. */
void
mb_fleet_evidence_forget(mb_fleet_t *fleet, const mb_dag_job_t *job)
{
    for (uint32_t i = 0;
         i < job->spec.step_count && g_hash_table_size(fleet->evidence) > 0;
         i++) {
        uint64_t key = mb_fleet_step_key(job, i);
        (void)g_hash_table_remove(fleet->evidence, &key);
    }
}

/* Returns the evidence on the step of a run; NULL if it has not failed. */
static step_evidence_t *
find_evidence(const mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    if (g_hash_table_size(fleet->evidence) == 0) {
        return NULL;
    }
    uint64_t key = mb_fleet_step_key(run->job, run->step);
    return g_hash_table_lookup(fleet->evidence, &key);
}

/* Returns the evidence on the step of a run; adds it if there is none. */
static step_evidence_t *
ensure_evidence(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    step_evidence_t *evidence = find_evidence(fleet, run);
    if (evidence == NULL) {
        uint64_t key = mb_fleet_step_key(run->job, run->step);
        evidence = g_new(step_evidence_t, 1);
        *evidence = (step_evidence_t){.job = run->job, .step = run->step};
        mb_attribution_init(&evidence->attribution);
        (void)g_hash_table_insert(fleet->evidence,
                                  g_memdup2(&key, sizeof(key)), evidence);
    }
    return evidence;
}

/* Returns the cause of the failures of a run's step so far. */
static mb_attribution_cause_t
get_cause(const mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    const step_evidence_t *evidence = find_evidence(fleet, run);
    return evidence == NULL ? MB_CAUSE_NONE
                            : mb_attribution_cause(&evidence->attribution,
                                                   mb_clock_us(&fleet->clock));
}

/* Logs that a worker was suspended or restored, if its health was `before`. */
static void
log_health_change(const mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                  mb_health_state_t before)
{
    const mb_health_t *health = &worker->health;
    bool was_suspended = before != MB_HEALTH_HEALTHY;
    bool is_suspended = health->state != MB_HEALTH_HEALTHY;
    if (was_suspended != is_suspended) {
        mb_log_notice(&fleet->log,
                      "worker %s worker=%.*s failures=%u excused=%u",
                      is_suspended ? "suspended" : "restored",
                      MB_STR_ARG(mb_buf_view(&worker->name)),
                      health->consecutive_failures,
                      health->failure_count - health->consecutive_failures);
    }
}

/* Excuses the failures of a step at all workers, or holds them against the
   workers, if the cause was `before` and has changed. Returns the cause. */
static mb_attribution_cause_t
apply_change(mb_fleet_t *fleet, const step_evidence_t *evidence,
             mb_attribution_cause_t before)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    uint64_t key = mb_fleet_step_key(evidence->job, evidence->step);
    mb_attribution_cause_t after =
        mb_attribution_cause(&evidence->attribution, now_us);
    bool is_excused = after == MB_CAUSE_WORK;
    if ((before == MB_CAUSE_WORK) == is_excused) {
        return after;
    }
    mb_log_notice(&fleet->log,
                  "cause of failures changed job=%.*s step=%u from=%s to=%s "
                  "workers=%u",
                  MB_STR_ARG(mb_dag_id_view(&evidence->job->spec.id)),
                  evidence->step, mb_attribution_cause_name(before),
                  mb_attribution_cause_name(after),
                  evidence->attribution.failed_count);
    fleet->counts.faulty_steps += is_excused;
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        mb_health_state_t state = worker->health.state;
        mb_health_set_excused(&worker->health, key, is_excused, now_us);
        log_health_change(fleet, worker, state);
    }
    fleet->schedule_due = true;
    return after;
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

/* Tells whether a service task has worked for so long that its failure says
   nothing about its start: services never succeed and may fail at any time. Of
   a run that was adopted it is not known for how long it has. */
static bool
is_proven(const mb_fleet_run_t *run, uint64_t now_us)
{
    return run->job->steps[run->step].long_running &&
           (run->adopted || now_us - run->started_us >= MB_HEALTH_PROVEN_US);
}

/* Tells the evidence of a step that has just failed on which other workers its
   runs are. */
static void
add_pending_runs(const mb_fleet_t *fleet, step_evidence_t *evidence,
                 const mb_fleet_run_t *failed)
{
    mb_fleet_run_t other = *failed;
    bool has_room = true;
    for (other.index = 0;
         has_room && other.index < failed->job->steps[failed->step].count;
         other.index++) {
        const mb_dag_run_t *copy = &mb_fleet_run_task(&other)->runs[0];
        if (copy->number == 0) {
            continue;
        }
        mb_dag_task_id_t id = mb_fleet_run_task_id(&other);
        const mb_fleet_run_t *run = mb_fleet_find_run(
            mb_fleet_get_worker(fleet, copy->worker), &id, copy->number);
        if (run != NULL && !run->adopted && !run->stopping) {
            has_room = mb_attribution_pending(&evidence->attribution,
                                              copy->worker, run->started_us);
        }
    }
}

/* Tells whether at least half of the workers are suspended. Then the work is
   more likely to be at fault than the workers. */
static bool
are_most_suspended(const mb_fleet_t *fleet)
{
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

/* Adds a failure to the evidence on a step. On a worker that fails other work
   too, it says little about the step. Returns what it shows of the worker. */
static mb_attribution_cause_t
add_failure(mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
            const mb_fleet_run_t *run)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    uint64_t key = mb_fleet_step_key(run->job, run->step);
    step_evidence_t *evidence = ensure_evidence(fleet, run);
    mb_attribution_t *attribution = &evidence->attribution;
    mb_attribution_cause_t before = mb_attribution_cause(attribution, now_us);
    if (before != MB_CAUSE_WORK &&
        mb_health_is_suspended_by_others(&worker->health, key) &&
        !are_most_suspended(fleet)) {
        mb_attribution_failed_on_faulty(attribution);
        return before == MB_CAUSE_NONE ? MB_CAUSE_WORKERS : before;
    }
    bool is_first = attribution->failed_count == 0;
    mb_attribution_failed(attribution, worker->number, run->started_us,
                          get_worked_us(run, now_us));
    if (is_first) {
        add_pending_runs(fleet, evidence, run);
    }
    return apply_change(fleet, evidence, before);
}

/* Attributes the failure of a run, or a run without progress, to its worker or
   to its step. */
void
mb_fleet_attribute_failure(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                           const mb_fleet_run_t *run)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    if (is_proven(run, now_us)) {
        mb_health_abandoned(&worker->health, run->started_us);
        return;
    }
    mb_attribution_cause_t cause = add_failure(fleet, worker, run);
    mb_health_state_t state = worker->health.state;
    mb_health_work_failed(&worker->health,
                          mb_fleet_step_key(run->job, run->step), cause,
                          run->started_us, now_us);
    log_health_change(fleet, worker, state);
}

/* Holds a start that a worker has refused as unhealthy, or has not answered,
   against the worker alone. */
void
mb_fleet_attribute_unhealthy(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                             const mb_fleet_run_t *run)
{
    mb_health_state_t state = worker->health.state;
    mb_health_failed(&worker->health, run->started_us,
                     mb_clock_us(&fleet->clock));
    log_health_change(fleet, worker, state);
}

/* Notes that a step is certainly at fault itself. */
static void
refute(mb_fleet_t *fleet, step_evidence_t *evidence)
{
    mb_attribution_cause_t before = mb_attribution_cause(
        &evidence->attribution, mb_clock_us(&fleet->clock));
    mb_attribution_refuted(&evidence->attribution);
    (void)apply_change(fleet, evidence, before);
}

/* Attributes the refusal of a start as invalid to its step. */
void
mb_fleet_attribute_invalid(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    refute(fleet, ensure_evidence(fleet, run));
}

/* Attributes the failures of other steps on a worker to these steps, if their
   runs were started up to that of a run that has worked there. */
static void
refute_other_steps(mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                   const mb_fleet_run_t *worked)
{
    uint64_t own_key = mb_fleet_step_key(worked->job, worked->step);
    const mb_health_t health = worker->health;
    for (uint32_t i = 0; i < health.failure_count; i++) {
        const mb_health_failure_t *failure = &health.failures[i];
        step_evidence_t *evidence =
            g_hash_table_lookup(fleet->evidence, &failure->source);
        if (evidence != NULL && failure->source != own_key &&
            failure->started_us <= worked->started_us) {
            refute(fleet, evidence);
        }
    }
}

/* Notes that a step works: failures before were those of the workers, and are
   no longer excused. */
static void
note_step_worked(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    step_evidence_t *evidence = find_evidence(fleet, run);
    if (evidence != NULL) {
        mb_attribution_cause_t before = mb_attribution_cause(
            &evidence->attribution, mb_clock_us(&fleet->clock));
        mb_attribution_worked(&evidence->attribution, run->started_us);
        (void)apply_change(fleet, evidence, before);
    }
}

/* Counts the success of a run for its worker and its step. */
void
mb_fleet_attribute_success(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                           const mb_fleet_run_t *run)
{
    note_step_worked(fleet, run);
    refute_other_steps(fleet, worker, run);
    mb_health_state_t state = worker->health.state;
    mb_health_succeeded(&worker->health, run->started_us);
    log_health_change(fleet, worker, state);
}

/* Notes that a run is at work, as its worker has just reported. A service task
   that has worked for long enough counts as a success. */
void
mb_fleet_attribute_work(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                        mb_fleet_run_t *run)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    if (run->adopted || run->proven || !run->confirmed || run->stopping) {
        return;
    }
    if (is_proven(run, now_us)) {
        run->proven = true;
        mb_fleet_reset_retries(run);
        mb_fleet_attribute_success(fleet, worker, run);
        return;
    }
    step_evidence_t *evidence = find_evidence(fleet, run);
    if (evidence != NULL) {
        mb_attribution_cause_t before =
            mb_attribution_cause(&evidence->attribution, now_us);
        mb_attribution_survived(&evidence->attribution, run->started_us,
                                get_worked_us(run, now_us));
        (void)apply_change(fleet, evidence, before);
    }
}

/* Tells whether failures of the step of a run are not explained by their
   workers. Such a step is a bad probe: its failure would show little. */
bool
mb_fleet_step_may_be_faulty(const mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    mb_attribution_cause_t cause = get_cause(fleet, run);
    return cause == MB_CAUSE_UNCLEAR || cause == MB_CAUSE_WORK;
}
