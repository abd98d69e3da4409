/* Throttles best-effort work beside service tasks: as the owner of the fleet
   ordered, and by a pause of all of it that also works without an owner. */
#include "mb_agent_internal.h"

/* Latency, in thousandths of its target, from which the owner receives a
   complete report at once, and the minimum time between two such reports, in
   milliseconds. */
#define EARLY_REPORT_MILLI 850u
#define EARLY_REPORT_GAP_MS 150u
#define MILLI 1000u

/* Returns whether best-effort work is running. */
static bool
runs_best_effort(const mb_agent_t *agent)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        const mb_agent_run_t *run = g_ptr_array_index(agent->runs, i);
        if (run->best_effort && run->listed && run->throttle_percent > 0) {
            return true;
        }
    }
    return false;
}

/* Returns the latency of a run in thousandths of its target; 0 if it has no
   target or no reported latency. */
static uint32_t
latency_milli(const mb_agent_run_t *run)
{
    return run->latency_target_ms == 0 || !run->listed
               ? 0
               : run->value * MILLI / run->latency_target_ms;
}

/* Returns the service task with the highest ratio of its latency to its
   target, or NULL if none has a reported latency. */
static const mb_agent_run_t *
find_worst_service(const mb_agent_t *agent)
{
    const mb_agent_run_t *worst = NULL;
    for (guint i = 0; i < agent->runs->len; i++) {
        const mb_agent_run_t *run = g_ptr_array_index(agent->runs, i);
        if (latency_milli(run) > 0 &&
            (worst == NULL || latency_milli(run) > latency_milli(worst))) {
            worst = run;
        }
    }
    return worst;
}

/* Sends the throttles of best-effort runs that have changed: as ordered, or 0
   during a pause. */
void
mb_agent_apply_throttle(mb_agent_t *agent)
{
    uint32_t allowed = mb_throttle_percent(&agent->throttle);
    for (guint i = 0; i < agent->runs->len; i++) {
        mb_agent_run_t *run = g_ptr_array_index(agent->runs, i);
        uint32_t percent = MIN(allowed, run->ordered_percent);
        if (run->best_effort && run->listed && !run->throttle_pending &&
            !run->stop_wanted &&
            (run->throttle_percent != percent || run->throttle_unknown)) {
            mb_agent_send_throttle(agent, run, percent);
        }
    }
}

/* Evaluates the latencies of a list answer: pauses best-effort work after a
   long miss of a target, and reports to the owner early when a latency comes
   close to its target. */
void
mb_agent_check_latency(mb_agent_t *agent, uint64_t now_us)
{
    const mb_agent_run_t *worst = find_worst_service(agent);
    uint32_t latency = worst == NULL ? 0 : latency_milli(worst);
    bool best_effort_running = runs_best_effort(agent);
    if (best_effort_running && latency >= EARLY_REPORT_MILLI &&
        now_us - agent->last_complete_us >=
            EARLY_REPORT_GAP_MS * MB_US_PER_MS) {
        agent->complete_due = true;
    }
    bool paused = mb_throttle_observe(&agent->throttle, latency,
                                      best_effort_running, now_us);
    if (paused && worst != NULL) {
        mb_log_info(&agent->log,
                    "latency target missed, filling work held job=%.*s "
                    "task=%u.%u.%u value_ms=%u target_ms=%u",
                    MB_STR_ARG(mb_dag_id_view(&worst->task.job)),
                    worst->task.occurrence, worst->task.step,
                    worst->task.index, worst->value, worst->latency_target_ms);
    }
    mb_agent_apply_throttle(agent);
}
