/* Leases of the worker: how far the agent extends them, when they have
   certainly ended, and what happens to the runs then. A worker that starts
   again may hold a lease that was sent by the clock of its earlier
   incarnation, and that is longer than the owner has granted. */
#include "mb_agent_internal.h"

/* A worker's clock may be slow by up to 1 / CLOCK_DRIFT_DIVISOR. */
#define CLOCK_DRIFT_DIVISOR 50u

/* Returns the lease end to send now, in the worker's clock, or 0 if no lease
   may be granted, and records it as the latest one sent. The worker read its
   clock before its answer arrived here, so the lease ends no later than the
   owner allows. */
uint64_t
mb_agent_lease_end_ms(mb_agent_t *agent)
{
    uint64_t now_us = mb_clock_us(&agent->clock);
    if (!agent->has_clock || agent->grant_end_us <= now_us ||
        agent->lapse_awaited) {
        return 0;
    }
    agent->lease_end_us = MAX(agent->lease_end_us, agent->grant_end_us);
    return agent->worker_clock_ms +
           (agent->grant_end_us - agent->worker_clock_read_us) / MB_US_PER_MS;
}

/* Notes that a call with a lease by the clock of an earlier incarnation may
   have reached the worker, which then holds the lease for longer than the
   owner has granted it. */
void
mb_agent_note_foreign_lease(mb_agent_t *agent)
{
    uint64_t lease_us = MB_EXECUTOR_LEASE_MAX_MS * (uint64_t)MB_US_PER_MS;
    agent->foreign_lease_end_us =
        mb_clock_us(&agent->clock) + lease_us + lease_us / CLOCK_DRIFT_DIVISOR;
}

/* Returns whether the latest lease that was sent to the worker has certainly
   expired, with a margin of 2 % of the time from its latest answer to the end
   of the lease, as its clock may be slow, plus 200 ms. */
bool
mb_agent_lease_has_ended(const mb_agent_t *agent, uint64_t now_us)
{
    uint64_t end_us = agent->lease_end_us;
    uint64_t margin_us =
        (end_us - MIN(end_us, agent->last_list_us)) / 50 + 200 * MB_US_PER_MS;
    return end_us == 0 || now_us >= end_us + margin_us;
}

/* Returns whether all leases of the worker have expired: one that was sent by
   the clock of an earlier incarnation, and the latest one of this agent or, if
   it has granted none, those of an earlier agent. */
static bool
have_leases_ended(const mb_agent_t *agent, uint64_t now_us)
{
#ifndef MB_MUTANT_AGENT_FOREIGN_LEASE_IGNORED
    if (now_us < agent->foreign_lease_end_us) {
        return false;
    }
#endif
    return agent->lease_end_us != 0
               ? mb_agent_lease_has_ended(agent, now_us)
               : now_us - agent->unlisted_us >=
                     MB_AGENT_UNLISTED_MAX_MS * (uint64_t)MB_US_PER_MS;
}

/* Gives up the runs of an unreachable worker when its lease has expired. */
static void
check_lease(mb_agent_t *agent, uint64_t now_us)
{
    if (agent->runs->len == 0 || mb_agent_worker_reachable(agent, now_us) ||
        !have_leases_ended(agent, now_us)) {
        return;
    }
    mb_log_notice(
        &agent->log,
        "no answer from the worker before its lease expired name=%.*s runs=%u",
        MB_STR_ARG(agent->info.name), agent->runs->len);
    (void)g_ptr_array_set_size(agent->runs, 0);
    agent->generation++;
    agent->complete_due = true;
}

/* Notes that the worker's lease must end, because the owner's grant has ended
   and its tasks may be started elsewhere: an end that is acknowledged within
   a lease counts, whoever has run the task again meanwhile. */
static void
await_lapse(mb_agent_t *agent, uint64_t now_us)
{
    bool has_work = agent->runs->len + agent->ends->len > 0;
    if (has_work && !agent->lapse_awaited &&
        now_us < agent->foreign_lease_end_us) {
        agent->lapse_awaited = true;
        mb_log_notice(&agent->log,
                      "grant ended within a lease of an earlier incarnation, "
                      "waiting for its end name=%.*s ends=%u runs=%u",
                      MB_STR_ARG(agent->info.name), agent->ends->len,
                      agent->runs->len);
    }
}

/* Stops the runs when the time has passed for which the owner has granted the
   lease. The worker ends them by itself, unless it holds a longer lease: one
   that was sent by the clock of its earlier incarnation. */
static void
enforce_grant(mb_agent_t *agent, uint64_t now_us)
{
    if (agent->grant_end_us == 0 || now_us < agent->grant_end_us) {
        return;
    }
#ifndef MB_MUTANT_AGENT_LAPSE_NOT_AWAITED
    await_lapse(agent, now_us);
#endif
    for (guint i = 0; i < agent->runs->len; i++) {
        mb_agent_run_t *run = g_ptr_array_index(agent->runs, i);
        if (!run->stop_wanted) {
            run->stop_wanted = true;
            run->stop_due_us = 0;
        }
    }
}

/* Ends what the leases of the worker don't cover any more. */
void
mb_agent_lease_tick(mb_agent_t *agent, uint64_t now_us)
{
    check_lease(agent, now_us);
    if (now_us >= agent->foreign_lease_end_us) {
        agent->lapse_awaited = false;
    }
#ifndef MB_MUTANT_AGENT_GRANT_NOT_ENFORCED
    enforce_grant(agent, now_us);
#endif
}
