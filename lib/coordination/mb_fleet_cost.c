/* Cost of placing a run on a worker: the load of the worker with the run, plus
   penalties for harm to service tasks there, for data on another rack, for
   recent failures, and for taking a worker that other work needs more. Costs
   of one run are compared between workers, and with a limit at or above which
   the run waits instead. Unless noted, a service task in this file is a task
   with a latency target. */
#include "mb_fleet_internal.h"

/* Share of its declared processors that a long-running service task uses, in
   thousandths. Best-effort tasks may be placed on the rest. */
#define SERVICE_CPU_USE_MILLI 450u
/* Load of a worker whose processors are all in use. The costs below are in the
   same unit and are added to the load. */
#define LOAD_FULL 1000u
/* The data of the task is on another rack. */
#define COST_OTHER_RACK 400u
/* A best-effort task on a worker with service tasks: a fixed part, and a part
   in proportion to the worst expected latency, given here for a latency at its
   target. */
#define COST_BEST_EFFORT_BESIDE_SERVICES 200u
#define COST_LATENCY_AT_TARGET 1000.0
/* A service task, or a task that is neither a service nor best-effort, on a
   worker without service tasks: best-effort tasks could use it without
   disturbing any. */
#define COST_FIRST_SERVICE 1500u
#define COST_TASK_WITHOUT_SERVICES 500u
/* A service task on a worker, for each service task of another image there.
   The fewer images a worker has, the more kinds of best-effort tasks disturb
   none of them. */
#define COST_OTHER_IMAGE 150u
/* A best-effort task on a worker without service tasks: best-effort tasks that
   disturb services need it more. */
#define COST_BEST_EFFORT_WITHOUT_SERVICES 1000u
/* For each failure of the worker that no later start has made up for, and on
   the worker where the task failed last. */
#define COST_FAILURE 500u
#define COST_FAILED_HERE 3000u
/* The task must not be placed there. As a limit: any other cost is accepted.
 */
#define COST_FORBIDDEN UINT64_MAX
/* Weight of the processors of best-effort tasks in the load that other tasks
   meet, in thousandths. */
#define BEST_EFFORT_WEIGHT_MILLI 300u
/* Headroom of a service below this value costs the same as this value. */
#define HEADROOM_MIN 0.1
/* Highest ratio of the expected latency of a service to its target with which
   a best-effort task is placed beside it. */
#define LATENCY_RATIO_MAX 0.95
/* A job may wait for this share of its objective, in thousandths, for workers
   where services keep to LATENCY_RATIO_MAX. After that, the ratio rises by
   LATENCY_RATIO_RISE for each further objective by which the job ages, up to
   LATENCY_RATIO_LATE_MAX: best-effort tasks never get a worker because of
   their age where a service is expected to miss its target. */
#define WAIT_SHARE_MILLI 200u
#define LATENCY_RATIO_RISE 8.0
#define LATENCY_RATIO_LATE_MAX 1.0
/* Declared processors of best-effort tasks that a worker without service tasks
   takes, in thousandths of its capacity. More than all, because tasks use no
   processors for a while when they begin and end. */
#define BEST_EFFORT_OVERCOMMIT_MILLI 1250u
/* After a time without a run, in microseconds, a job gets one best-effort task
   started even where it may disturb a service, whose agent then slows it down:
   IDLE_JOB_US while little of its service's capacity is in use,
   IDLE_JOB_LOADED_US otherwise. With the short time, a loaded service would be
   divided among all jobs and none would be on time. Little is less than
   SHARED_USE_MILLI thousandths as the platform counts it, without the
   processors of best-effort tasks (half, and a margin for what is about to
   end), while no job in time waits; or less than LIGHT_LOAD_MILLI of the
   processors that all tasks declare. */
#define IDLE_JOB_US UINT64_C(1200000)
#define IDLE_JOB_LOADED_US UINT64_C(8000000)
#define SHARED_USE_MILLI 550u
#define LIGHT_LOAD_MILLI 600u
/* Added to the cost of a best-effort task on a worker whose processors are
   declared to others, or whose agent protects a service: more than any limit,
   so that only a job without a run gets such a place, and more than the costs
   above, so that it is the last choice. */
#define COST_BEST_EFFORT_CROWDED 1000000u
/* On a worker to which work has just returned after an evacuation: a worker
   elsewhere is preferred unless its load is higher by this much. Decays to 0
   over MB_EVACUATION_RETURN_MS, so that the starts spread over the time. */
#define COST_RETURNED LOAD_FULL
#define FULL_SPEED_PERCENT 100u
#define MILLI 1000u

/* Tells whether a worker has a label that a step requires. */
static bool
has_label(const mb_fleet_worker_t *worker, mb_str_t label)
{
    for (uint32_t i = 0; i < worker->label_count; i++) {
        if (mb_str_equal(mb_buf_view(&worker->labels[i]), label)) {
            return true;
        }
    }
    return false;
}

/* Counts the runs on a worker of the same step and occurrence as `run`. */
static uint32_t
count_step_runs(const mb_fleet_worker_t *worker, const mb_fleet_run_t *run)
{
    uint32_t count = 0;
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *other =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        count += other->job == run->job && other->step == run->step &&
                 other->occurrence == run->occurrence;
    }
    return count;
}

/* Tells whether a worker may get starts now: it is ready, its runs are known,
   it has reported lately and all of them can be accounted for, its agent has
   certainly not obeyed a later owner and can be sent more, the log does not
   have it as absent, and its health allows it. */
static bool
accepts_starts(const mb_fleet_cost_inputs_t *inputs,
               const mb_fleet_worker_t *worker)
{
    bool recorded_absent = worker->absence != MB_FLEET_ABSENCE_NONE;
#ifdef MB_MUTANT_FLEET_ABSENT_WORKER_USED
    recorded_absent = false;
#endif
    return worker->state == MB_WORKER_READY && !worker->agent_draining &&
           !recorded_absent && !worker->has_unknown_orphan &&
           !mb_fleet_worker_silent(worker, inputs->now_us) &&
           mb_fleet_agent_confirmed(inputs->fleet, worker) &&
           !mb_fleet_orders_congested(inputs->fleet, worker) &&
           !mb_health_suspended(&worker->health, inputs->now_us);
}

/* Tells whether a start of a run would take the probe of a suspended worker
   from other work. Work that may be faulty itself would take it again and
   again, and show little by its failure. */
static bool
is_probe_reserved(const mb_fleet_cost_inputs_t *inputs,
                  const mb_fleet_worker_t *worker, const mb_fleet_run_t *run)
{
#ifdef MB_MUTANT_FLEET_PROBES_NOT_RESERVED
    return false;
#endif
    return inputs->probes_reserved &&
           mb_health_is_probe_due(&worker->health, inputs->now_us) &&
           mb_fleet_step_may_be_faulty(inputs->fleet, run);
}

/* Returns the processors of a worker that best-effort tasks must leave to
   others, in thousandths: as expected to be used by long-running service
   tasks, with or without a latency target, and as declared by other tasks. */
static uint32_t
reserved_cpu_milli(const mb_fleet_worker_t *worker)
{
    uint32_t reserved = worker->used.cpu_milli + worker->orphaned.cpu_milli;
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        const mb_dag_step_t *step = &run->job->steps[run->step];
        if (step->long_running && !step->best_effort) {
            reserved -= (uint32_t)((uint64_t)step->size.cpu_milli *
                                   (MILLI - SERVICE_CPU_USE_MILLI) / MILLI);
        }
    }
    return reserved;
}

/* Tells whether a worker has a service task with a latency target, which
   best-effort tasks there may make it miss. */
static bool
has_service_task(const mb_fleet_worker_t *worker)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (run->job->steps[run->step].latency_target_ms > 0) {
            return true;
        }
    }
    return false;
}

/* Returns the place on a worker that is kept for another task than that of a
   best-effort run, or NULL if there is none. Other tasks come first. */
static const mb_fleet_kept_place_t *
find_kept_place(const mb_fleet_cost_inputs_t *inputs,
                const mb_fleet_worker_t *worker, const mb_fleet_run_t *run)
{
    mb_dag_task_id_t task = mb_fleet_run_task_id(run);
    return run->job->steps[run->step].best_effort &&
                   inputs->now_us < worker->kept.until_us &&
                   !mb_dag_task_id_equal(&task, &worker->kept.task)
               ? &worker->kept
               : NULL;
}

/* Returns what best-effort tasks declare on a worker, for the placement of a
   run: with the place that is kept there for another one. */
static mb_size_t
get_best_effort(const mb_fleet_cost_inputs_t *inputs,
                const mb_fleet_worker_t *worker, const mb_fleet_run_t *run)
{
    const mb_fleet_kept_place_t *kept = find_kept_place(inputs, worker, run);
    mb_size_t size = worker->best_effort;
    if (kept != NULL) {
        size.cpu_milli += kept->size.cpu_milli;
        size.memory_mb += kept->size.memory_mb;
        size.accelerators += kept->size.accelerators;
    }
    return size;
}

/* Tells whether a worker has the memory and the accelerators for a task beside
   the best-effort tasks `best_effort`. */
static bool
fits_memory(const mb_fleet_worker_t *worker, const mb_size_t *best_effort,
            const mb_size_t *size)
{
    return worker->used.memory_mb + best_effort->memory_mb +
                   worker->orphaned.memory_mb + size->memory_mb <=
               worker->capacity.memory_mb &&
           worker->used.accelerators + best_effort->accelerators +
                   worker->orphaned.accelerators + size->accelerators <=
               worker->capacity.accelerators;
}

/* Returns the load of a worker with an additional task, in thousandths of its
   processors, or COST_FORBIDDEN if the task does not fit. */
static uint64_t
load_with_task(const mb_fleet_cost_inputs_t *inputs,
               const mb_fleet_worker_t *worker, const mb_fleet_run_t *run)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    mb_size_t others = get_best_effort(inputs, worker, run);
    uint64_t capacity = worker->capacity.cpu_milli;
    if (capacity == 0 || !fits_memory(worker, &others, &step->size)) {
        return COST_FORBIDDEN;
    }
    if (!step->best_effort) {
        uint64_t used = (uint64_t)worker->used.cpu_milli +
                        worker->orphaned.cpu_milli + step->size.cpu_milli;
        uint64_t best_effort = worker->best_effort.cpu_milli *
                               (uint64_t)BEST_EFFORT_WEIGHT_MILLI / MILLI;
        return used > capacity ? COST_FORBIDDEN
                               : (used + best_effort) * MILLI / capacity;
    }
    uint64_t used = (uint64_t)reserved_cpu_milli(worker) + others.cpu_milli +
                    step->size.cpu_milli;
    return used * MILLI / capacity;
}

/* Tells whether the processors of a worker are declared to others than a
   further best-effort task. The first one of a worker may exceed them. */
static bool
is_crowded(const mb_fleet_cost_inputs_t *inputs,
           const mb_fleet_worker_t *worker, const mb_fleet_run_t *run)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    mb_size_t others = get_best_effort(inputs, worker, run);
    uint64_t capacity = worker->capacity.cpu_milli;
    uint64_t used = (uint64_t)reserved_cpu_milli(worker) + others.cpu_milli +
                    step->size.cpu_milli;
    uint64_t limit = has_service_task(worker)
                         ? capacity
                         : capacity * BEST_EFFORT_OVERCOMMIT_MILLI / MILLI;
    return others.cpu_milli > 0 && used > limit;
}

/* Returns the cost of a best-effort task to the service tasks on a worker, in
   proportion to the highest ratio of an expected latency to its target. */
static uint64_t
service_latency_cost(const mb_fleet_cost_inputs_t *inputs,
                     const mb_fleet_worker_t *worker,
                     const mb_fleet_run_t *run)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    double headroom = mb_fleet_min_headroom_with(
        inputs->fleet, worker, find_kept_place(inputs, worker, run),
        mb_str_hash(step->image), step->size.cpu_milli);
    return (uint64_t)(COST_LATENCY_AT_TARGET / MAX(headroom, HEADROOM_MIN));
}

/* Counts the service tasks on a worker that have another image than a step. */
static uint32_t
count_other_images(const mb_fleet_worker_t *worker, const mb_dag_step_t *step)
{
    uint64_t image_hash = mb_str_hash(step->image);
    uint32_t count = 0;
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        count += run->job->steps[run->step].latency_target_ms > 0 &&
                 run->image_hash != image_hash;
    }
    return count;
}

/* Returns the cost of a task that results from the other runs on a worker.
   Keeps service tasks and best-effort tasks on different workers as far as the
   fleet allows. */
static uint64_t
colocation_cost(const mb_fleet_cost_inputs_t *inputs,
                const mb_fleet_worker_t *worker, const mb_fleet_run_t *run)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    bool has_services = has_service_task(worker);
    if (step->best_effort) {
        return !has_services ? COST_BEST_EFFORT_WITHOUT_SERVICES
                             : COST_BEST_EFFORT_BESIDE_SERVICES +
                                   service_latency_cost(inputs, worker, run);
    }
    if (has_services) {
        return step->latency_target_ms > 0 ? count_other_images(worker, step) *
                                                 (uint64_t)COST_OTHER_IMAGE
                                           : 0;
    }
    return step->latency_target_ms > 0 ? COST_FIRST_SERVICE
                                       : COST_TASK_WITHOUT_SERVICES;
}

/* Tells whether the agent of a worker severely throttles a best-effort run
   that the owner has not throttled, which it does to protect a service task. A
   run added there would disturb the service until the agent throttles it too.
 */
static bool
is_throttled_by_agent(const mb_fleet_worker_t *worker)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (run->throttled_since_us != 0 &&
            run->ordered_throttle_percent >= FULL_SPEED_PERCENT) {
            return true;
        }
    }
    return false;
}

/* Returns what forbids a run on a worker whatever its cost, in the order that
   tells an operator most; MB_FLEET_OBSTACLE_COST if nothing does. */
mb_fleet_obstacle_t
mb_fleet_placement_obstacle(const mb_fleet_cost_inputs_t *inputs,
                            const mb_fleet_worker_t *worker,
                            const mb_fleet_run_t *run)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    if (!mb_str_equal(mb_buf_view(&worker->service),
                      run->job->spec.policy.service) ||
        (step->label.len > 0 && !has_label(worker, step->label)) ||
        (step->per_worker_max > 0 &&
         count_step_runs(worker, run) >= step->per_worker_max)) {
        return MB_FLEET_OBSTACLE_EXCLUDED;
    }
    if (!accepts_starts(inputs, worker) ||
        is_probe_reserved(inputs, worker, run)) {
        return MB_FLEET_OBSTACLE_UNUSABLE;
    }
    if (load_with_task(inputs, worker, run) == COST_FORBIDDEN) {
        return MB_FLEET_OBSTACLE_ROOM;
    }
#ifndef MB_MUTANT_FLEET_EVACUATION_IGNORED
    if (worker->evacuated) {
        return MB_FLEET_OBSTACLE_EVACUATED;
    }
#endif
    return MB_FLEET_OBSTACLE_COST;
}

/* Counts the failures of a worker that speak against placing a run there:
   those that are held against the worker, and those of the same step. */
static uint32_t
count_failures(const mb_fleet_worker_t *worker, const mb_fleet_run_t *run)
{
    const mb_health_t *health = &worker->health;
    return health->failure_count == health->consecutive_failures
               ? health->failure_count
               : mb_health_count_failures(
                     health, mb_fleet_step_key(run->job, run->step));
}

/* Returns the cost of a worker whose failure domain was evacuated until
   lately. */
static uint64_t
return_cost(const mb_fleet_cost_inputs_t *inputs,
            const mb_fleet_worker_t *worker)
{
    uint64_t period_us = MB_EVACUATION_RETURN_MS * (uint64_t)MB_US_PER_MS;
    uint64_t age_us = inputs->now_us - worker->returned_us;
#ifdef MB_MUTANT_FLEET_RETURNS_AT_ONCE
    return 0;
#endif
    return worker->returned_us == 0 || age_us >= period_us
               ? 0
               : COST_RETURNED * (period_us - age_us) / period_us;
}

/* Returns the cost of placing a run on a worker, or COST_FORBIDDEN if it must
   not be placed there. */
uint64_t
mb_fleet_placement_cost(const mb_fleet_cost_inputs_t *inputs,
                        const mb_fleet_worker_t *worker,
                        const mb_fleet_run_t *run)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    const mb_dag_task_t *task = mb_fleet_run_task(run);
    if (mb_fleet_placement_obstacle(inputs, worker, run) !=
        MB_FLEET_OBSTACLE_COST) {
        return COST_FORBIDDEN;
    }
    uint64_t cost =
        load_with_task(inputs, worker, run) + return_cost(inputs, worker);
    if (step->rack.len > 0 &&
        !mb_str_equal(mb_buf_view(&worker->rack), step->rack)) {
        cost += COST_OTHER_RACK;
    }
    if (step->best_effort &&
        (is_crowded(inputs, worker, run) || is_throttled_by_agent(worker))) {
        /* The estimate of latencies is the expensive part of a pass, and does
           not change that this is the last choice. */
        cost += COST_BEST_EFFORT_CROWDED;
    }
    else {
        cost += colocation_cost(inputs, worker, run);
    }
    if (task->last_failed_worker == worker->number + 1) {
        cost += COST_FAILED_HERE;
    }
    return cost + count_failures(worker, run) * (uint64_t)COST_FAILURE;
}

/* Tells whether a kept place can still be used; see the header. The place was
   chosen by its cost when the move began. An estimated latency that has risen
   since does not void it: the run has been stopped, and the agent protects the
   service. */
bool
mb_fleet_kept_place_is_usable(const mb_fleet_cost_inputs_t *inputs,
                              const mb_fleet_worker_t *worker,
                              const mb_fleet_run_t *run)
{
    return mb_fleet_placement_obstacle(inputs, worker, run) ==
               MB_FLEET_OBSTACLE_COST &&
           !is_crowded(inputs, worker, run) && !is_throttled_by_agent(worker);
}

/* Returns the limit for the best-effort tasks of a job without a run: none
   after a while, but it gets a place on a crowded worker only while little of
   its service is in use and no job there waits that can still be in time.
   Returns 0 if the while is not over. */
static uint64_t
idle_cost_limit(const mb_fleet_cost_inputs_t *inputs, const mb_dag_job_t *job)
{
    mb_str_t service = job->spec.policy.service;
    uint64_t idle_us = inputs->now_us - job->idle_since_us;
    if (job->running > 0 || idle_us < IDLE_JOB_US) {
        return 0;
    }
    if (mb_fleet_pools_use_milli(inputs->pools, service) < SHARED_USE_MILLI &&
        !mb_fleet_pools_job_in_time_waits(inputs->pools, service)) {
        return COST_FORBIDDEN;
    }
    bool is_over = idle_us >= IDLE_JOB_LOADED_US ||
                   mb_fleet_pools_declared_milli(inputs->pools, service) <
                       LIGHT_LOAD_MILLI;
    return is_over ? COST_BEST_EFFORT_CROWDED : 0;
}

/* Returns the limit that the cost of a placement must stay below. A
   best-effort task waits rather than disturb a service, but may disturb it
   more the older its job is in relation to its objective. After a while
   without runs, a job gets one task with a higher limit, so that it
   progresses. */
uint64_t
mb_fleet_placement_cost_limit(const mb_fleet_cost_inputs_t *inputs,
                              const mb_fleet_run_t *run)
{
    const mb_dag_job_t *job = run->job;
    uint64_t age_us = inputs->now_us - MIN(inputs->now_us, job->arrived_us);
    uint64_t age_milli = age_us * MILLI / MAX(job->objective_us, 1u);
    if (!job->steps[run->step].best_effort) {
        return COST_FORBIDDEN;
    }
    double latency_ratio = LATENCY_RATIO_MAX;
    if (age_milli > WAIT_SHARE_MILLI) {
        latency_ratio += LATENCY_RATIO_RISE *
                         (double)(age_milli - WAIT_SHARE_MILLI) / MILLI;
    }
    latency_ratio = MIN(latency_ratio, LATENCY_RATIO_LATE_MAX);
    uint64_t limit = COST_BEST_EFFORT_BESIDE_SERVICES + LOAD_FULL +
                     (uint64_t)(latency_ratio * COST_LATENCY_AT_TARGET);
    return MAX(limit, idle_cost_limit(inputs, job));
}

/* Reads the clock and the use of the services for one pass. */
mb_fleet_cost_inputs_t
mb_fleet_cost_inputs(mb_fleet_t *fleet)
{
    mb_fleet_cost_inputs_t inputs = {.fleet = fleet,
                                     .now_us = mb_clock_us(&fleet->clock),
                                     .pools = &fleet->pools};
    mb_fleet_pools_compute(&fleet->pools, fleet, inputs.now_us);
    return inputs;
}
