/* Log lines for operators with the latency that the agent of a worker reports
   of a service task beside best-effort work, and the one that the headroom
   model expects there. An expected latency far above the reported one shows
   estimates that keep best-effort work waiting without need. A few lines a
   second, with the workers in turn, bound the log under load. */
#include "mb_fleet_internal.h"

/* Interval of the passes, in microseconds, and maximum lines in each. */
#define PASS_INTERVAL_US UINT64_C(1000000)
#define LINES_MAX 3u
/* Expected headroom below this value is logged as this value. */
#define HEADROOM_MIN 0.05
#define MILLI 1000.0

/* Returns the latency that corresponds to a headroom, in milliseconds. */
static uint32_t
get_latency_ms(uint32_t target_ms, double headroom)
{
    return (uint32_t)(target_ms / MAX(headroom, HEADROOM_MIN));
}

/* Logs the reported and the expected latency of the first service task on a
   worker with a recent latency and best-effort work beside it. Returns false
   if there is none. */
static bool
log_worker(const mb_fleet_t *fleet, const mb_fleet_worker_t *worker)
{
    const mb_fleet_run_t *run = NULL;
    for (guint i = 0; i < worker->runs->len && run == NULL; i++) {
        const mb_fleet_run_t *other =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        run = other->latency_ms > 0 ? other : NULL;
    }
    if (run == NULL) {
        return false;
    }
    mb_fleet_expected_headroom_t expected =
        mb_fleet_expected_headroom(fleet, worker, run);
    const mb_headroom_estimate_t *estimate = &expected.worst_estimate;
    uint32_t target_ms = run->job->steps[run->step].latency_target_ms;
    if (expected.worst == NULL) {
        return false;
    }
    mb_log_info(
        &fleet->log,
        "latency beside best-effort work worker=%.*s image=%.*s beside=%.*s "
        "latency_ms=%u expected_ms=%u undisturbed_ms=%u target_ms=%u "
        "loss_milli=%u cpu_milli=%u slope_milli=%u weight=%u samples=%u "
        "inherited=%d",
        MB_STR_ARG(mb_buf_view(&worker->name)),
        MB_STR_ARG(run->job->steps[run->step].image),
        MB_STR_ARG(expected.worst->job->steps[expected.worst->step].image),
        run->latency_ms,
        get_latency_ms(target_ms, expected.undisturbed - expected.loss),
        get_latency_ms(target_ms, expected.undisturbed), target_ms,
        (uint32_t)(expected.loss * MILLI), expected.worst_cpu_milli,
        (uint32_t)(estimate->slope * MILLI), (uint32_t)estimate->weight,
        estimate->samples, estimate->inherited);
    return true;
}

/* Logs reported and expected latencies on at most LINES_MAX workers a second,
   in turn, of those that have reported lately. */
void
mb_fleet_log_latencies(mb_fleet_t *fleet, uint64_t now_us)
{
    uint32_t lines = 0;
    if (now_us < fleet->latencies_logged_us + PASS_INTERVAL_US) {
        return;
    }
    fleet->latencies_logged_us = now_us;
    uint32_t first = fleet->latency_log_next;
    for (guint i = 0; i < fleet->workers->len && lines < LINES_MAX; i++) {
        uint32_t number = (first + i) % fleet->workers->len;
        const mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, number);
        if (worker->state == MB_WORKER_READY &&
            !mb_fleet_worker_silent(worker, now_us) &&
            log_worker(fleet, worker)) {
            lines++;
            fleet->latency_log_next = number + 1;
        }
    }
}
