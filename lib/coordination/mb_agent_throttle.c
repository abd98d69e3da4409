/* The pace of filling work beside services: what the owner of the fleet
   ordered, and a hold of all of it that works without an owner. */
#include "mb_agent_internal.h"

/* Latency, in thousandths of its target, from which the owner is told of it at
   once, and the least time between two such reports, in milliseconds. */
#define TELL_MILLI 850u
#define TELL_GAP_MS 150u
#define MILLI 1000u

/* Tells whether filling work is at work. */
static bool
has_filling(const mb_agent_t *agent)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        const mb_agent_run_t *run = g_ptr_array_index(agent->runs, i);
        if (run->best_effort && run->listed && run->throttle_percent > 0) {
            return true;
        }
    }
    return false;
}

/* Returns the latency of a run in thousandths of its target; 0 for one that
   serves nobody. */
static uint32_t
latency_milli(const mb_agent_run_t *run)
{
    return run->latency_target_ms == 0 || !run->listed
               ? 0
               : run->value * MILLI / run->latency_target_ms;
}

/* Returns the service that is worst off, or NULL. */
static const mb_agent_run_t *
find_worst(const mb_agent_t *agent)
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

/* Sets the pace of filling runs: as ordered, or none while they are held. */
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

/* Looks at the latencies of a list: holds filling work after a long miss, and
   tells the owner early of a latency that comes near its target. */
void
mb_agent_check_latency(mb_agent_t *agent, uint64_t now_us)
{
    const mb_agent_run_t *worst = find_worst(agent);
    uint32_t latency = worst == NULL ? 0 : latency_milli(worst);
    bool filling = has_filling(agent);
    if (filling && latency >= TELL_MILLI &&
        now_us - agent->last_complete_us >= TELL_GAP_MS * MB_US_PER_MS) {
        agent->complete_due = true;
    }
    bool held =
        mb_throttle_observe(&agent->throttle, latency, filling, now_us);
    if (held && worst != NULL) {
        mb_log_info(&agent->log,
                    "latency target missed, filling work held job=%.*s "
                    "task=%u.%u.%u value_ms=%u target_ms=%u",
                    MB_STR_ARG(mb_dag_id_view(&worst->task.job)),
                    worst->task.occurrence, worst->task.step,
                    worst->task.index, worst->value, worst->latency_target_ms);
    }
    mb_agent_apply_throttle(agent);
}
