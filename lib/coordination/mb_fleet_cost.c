/* What it costs to place a run on a worker: the load that it adds, what it
   does to services there, and what room it takes from others. Costs of one run
   are compared between workers, and with a bound above which it rather waits.
 */
#include "mb_fleet_internal.h"

/* Share of its declared processors that a long-running service uses, in
   thousandths; filling work gets the rest. */
#define SERVICE_USE_MILLI 450u
/* Load of a worker whose processors are all in use: the unit of the costs of a
   placement, which are added to the load. */
#define LOAD_FULL 1000u
/* The data is on another rack. */
#define COST_OTHER_RACK 400u
/* Filling work beside services: at all, and for a latency at its target. */
#define COST_BESIDE_SERVICE 200u
#define COST_SHARE 1000.0
/* A service, or another task, on a worker without services, which filling
   work could use alone. */
#define COST_FIRST_SERVICE 1500u
#define COST_TAKES_FILLING_ROOM 500u
/* A service beside each one of another image: the fewer kinds a worker has,
   the more filling work disturbs none of them. */
#define COST_OTHER_SERVICE 150u
/* Filling work on a worker without services, which work that disturbs services
   needs. */
#define COST_TAKES_FREE_WORKER 1000u
/* Each of the worker's failures in a row, and the worker where the task failed
   last. */
#define COST_FAILURE 500u
#define COST_FAILED_HERE 3000u
/* The task may not go there. */
#define COST_NONE UINT64_MAX
/* Weight of filling work in the load that an urgent task meets, in
   thousandths. */
#define FILLING_WEIGHT_MILLI 300u
/* Least headroom of a service that costs are told apart for. */
#define HEADROOM_MIN 0.1
/* Share of its latency target that a service may be expected to reach. */
#define SHARE_MAX 0.95
/* Part of its objective that a job may spend waiting for a worker where its
   filling work leaves services at SHARE_MAX, in thousandths, and how much more
   a service may be disturbed for each further objective. */
#define WAIT_MILLI 200u
#define SHARE_RISE 8.0
/* Share of its target beyond which no wait lets filling work disturb one. */
#define SHARE_LATE_MAX 1.0
/* Declared processors of filling work on a worker without services, in
   thousandths of its own: tasks begin and end with a while without work. */
#define FILLING_OVERCOMMIT_MILLI 1250u
/* Time after which a job with nothing running gets one task started even
   beside a service that it may disturb, in microseconds: while less than this
   share of the fleet's processors is in use, in thousandths, and in a fuller
   fleet. That one would else be shared out among all jobs, and none would be
   on time. */
#define IDLE_US UINT64_C(1200000)
#define IDLE_FLEET_MILLI 600u
#define IDLE_FULL_US UINT64_C(8000000)
#define FULL_PERCENT 100u
#define MILLI 1000u

/* Tells whether little of the fleet is in use. */
static bool
is_idle_fleet(const mb_fleet_t *fleet)
{
    uint64_t used = 0;
    uint64_t capacity = 0;
    for (guint i = 0; i < fleet->workers->len; i++) {
        const mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        used +=
            (uint64_t)worker->used.cpu_milli + worker->best_effort.cpu_milli;
        capacity += worker->runs_known ? worker->capacity.cpu_milli : 0;
    }
    return used * MILLI < capacity * IDLE_FLEET_MILLI;
}

/* Tells whether a worker has a label. */
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

/* Counts the runs of a step on a worker. */
static uint32_t
count_of_step(const mb_fleet_worker_t *worker, const mb_fleet_run_t *run)
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

/* Tells whether a worker takes starts at all now. */
static bool
takes_starts(const mb_fleet_cost_inputs_t *inputs,
             const mb_fleet_worker_t *worker)
{
    return worker->connected && worker->runs_known &&
           !worker->agent_stopping && worker->state == MB_WORKER_READY &&
           inputs->now_us < worker->reported_us + MB_FLEET_REPORT_TIMEOUT_MS *
                                                      (uint64_t)MB_US_PER_MS &&
           !mb_health_suspended(&worker->health, inputs->now_us);
}

/* Returns the processors that filling work leaves out, in thousandths: those
   of short tasks as declared, those of services as they are used. */
static uint32_t
busy_milli(const mb_fleet_worker_t *worker)
{
    uint32_t busy = worker->used.cpu_milli;
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        const mb_dag_step_t *step = &run->job->steps[run->step];
        if (step->long_running && !step->fills) {
            busy -= (uint32_t)((uint64_t)step->size.cpu_milli *
                               (MILLI - SERVICE_USE_MILLI) / MILLI);
        }
    }
    return busy;
}

/* Tells whether a worker serves users whom filling work may disturb. */
static bool
has_service(const mb_fleet_worker_t *worker)
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

/* Tells whether the memory and the accelerators for a task are free. */
static bool
memory_fits(const mb_fleet_worker_t *worker, const mb_size_t *size)
{
    return worker->used.memory_mb + worker->best_effort.memory_mb +
                   size->memory_mb <=
               worker->capacity.memory_mb &&
           worker->used.accelerators + worker->best_effort.accelerators +
                   size->accelerators <=
               worker->capacity.accelerators;
}

/* Returns the load of a worker with a task more, in thousandths of its
   processors; COST_NONE when the task does not fit. */
static uint64_t
load_with(const mb_fleet_worker_t *worker, const mb_dag_step_t *step)
{
    uint64_t capacity = worker->capacity.cpu_milli;
    if (capacity == 0 || !memory_fits(worker, &step->size)) {
        return COST_NONE;
    }
    if (!step->fills) {
        uint64_t used =
            (uint64_t)worker->used.cpu_milli + step->size.cpu_milli;
        uint64_t filling = worker->best_effort.cpu_milli *
                           (uint64_t)FILLING_WEIGHT_MILLI / MILLI;
        return used > capacity ? COST_NONE
                               : (used + filling) * MILLI / capacity;
    }
    uint64_t used = (uint64_t)busy_milli(worker) +
                    worker->best_effort.cpu_milli + step->size.cpu_milli;
    bool alone = worker->best_effort.cpu_milli == 0;
    uint64_t bound = has_service(worker)
                         ? capacity
                         : capacity * FILLING_OVERCOMMIT_MILLI / MILLI;
    return used > bound && !alone ? COST_NONE : used * MILLI / capacity;
}

/* Returns what a filling task would cost the services on a worker: the share
   of its target that the worst latency is expected to reach. */
static uint64_t
cost_for_services(const mb_fleet_cost_inputs_t *inputs,
                  const mb_fleet_worker_t *worker, const mb_dag_step_t *step)
{
    double headroom = mb_fleet_min_headroom_with(
        inputs->fleet, worker, mb_str_hash(step->image), step->size.cpu_milli);
    return (uint64_t)(COST_SHARE / MAX(headroom, HEADROOM_MIN));
}

/* Counts the services on a worker that are of another image than a step. */
static uint32_t
other_services(const mb_fleet_worker_t *worker, const mb_dag_step_t *step)
{
    uint64_t kind = mb_str_hash(step->image);
    uint32_t count = 0;
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        count += run->job->steps[run->step].latency_target_ms > 0 &&
                 run->image_hash != kind;
    }
    return count;
}

/* Returns what a task costs beside what else the worker runs. Services and
   filling work are kept on different workers as far as the fleet allows. */
static uint64_t
cost_beside(const mb_fleet_cost_inputs_t *inputs,
            const mb_fleet_worker_t *worker, const mb_dag_step_t *step)
{
    bool serves = has_service(worker);
    if (step->fills) {
        return !serves ? COST_TAKES_FREE_WORKER
                       : COST_BESIDE_SERVICE +
                             cost_for_services(inputs, worker, step);
    }
    if (serves) {
        return step->latency_target_ms > 0 ? other_services(worker, step) *
                                                 (uint64_t)COST_OTHER_SERVICE
                                           : 0;
    }
    return step->latency_target_ms > 0 ? COST_FIRST_SERVICE
                                       : COST_TAKES_FILLING_ROOM;
}

/* Tells whether a worker's agent holds its filling work of its own accord:
   what is added would work until it is held as well. */
static bool
holds_filling(const mb_fleet_worker_t *worker)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (run->throttled_since_us != 0 &&
            run->ordered_throttle_percent >= FULL_PERCENT) {
            return true;
        }
    }
    return false;
}

/* Returns what it costs to place a run on a worker; COST_NONE when it may not
   go there. */
uint64_t
mb_fleet_placement_cost(const mb_fleet_cost_inputs_t *inputs,
                        const mb_fleet_worker_t *worker,
                        const mb_fleet_run_t *run)
{
    const mb_dag_job_t *job = run->job;
    const mb_dag_step_t *step = &job->steps[run->step];
    const mb_dag_task_t *task = mb_fleet_run_task(run);
    if (!takes_starts(inputs, worker) ||
        (step->fills && holds_filling(worker)) ||
        !mb_str_equal(mb_buf_view(&worker->service),
                      job->spec.policy.service) ||
        (step->label.len > 0 && !has_label(worker, step->label)) ||
        (step->per_worker_max > 0 &&
         count_of_step(worker, run) >= step->per_worker_max)) {
        return COST_NONE;
    }
    uint64_t cost = load_with(worker, step);
    if (cost == COST_NONE) {
        return COST_NONE;
    }
    if (step->rack.len > 0 &&
        !mb_str_equal(mb_buf_view(&worker->rack), step->rack)) {
        cost += COST_OTHER_RACK;
    }
    cost += cost_beside(inputs, worker, step);
    if (task->failed_on == worker->number + 1) {
        cost += COST_FAILED_HERE;
    }
    return cost + worker->health.failures * (uint64_t)COST_FAILURE;
}

/* Returns the cost below which a run is placed. Filling work with time left
   waits rather than disturb a service; the less time is left, the more it may.
   A job does not stand still for long. */
uint64_t
mb_fleet_placement_cost_limit(const mb_fleet_cost_inputs_t *inputs,
                              const mb_fleet_run_t *run)
{
    const mb_dag_job_t *job = run->job;
    uint64_t age_us = inputs->now_us - MIN(inputs->now_us, job->arrived_us);
    uint64_t used_milli = age_us * MILLI / MAX(job->objective_us, 1u);
    bool idle = job->running == 0 &&
                inputs->now_us - job->idle_us >=
                    (inputs->lightly_loaded ? IDLE_US : IDLE_FULL_US);
    if (!job->steps[run->step].fills || idle) {
        return COST_NONE;
    }
    double share = SHARE_MAX;
    if (used_milli > WAIT_MILLI) {
        share += SHARE_RISE * (double)(used_milli - WAIT_MILLI) / MILLI;
    }
    share = MIN(share, SHARE_LATE_MAX);
    return COST_BESIDE_SERVICE + LOAD_FULL + (uint64_t)(share * COST_SHARE);
}

/* Looks at the clock and the use of the fleet. */
mb_fleet_cost_inputs_t
mb_fleet_cost_inputs(mb_fleet_t *fleet)
{
    return (mb_fleet_cost_inputs_t){fleet, mb_clock_us(&fleet->clock),
                                    is_idle_fleet(fleet)};
}
