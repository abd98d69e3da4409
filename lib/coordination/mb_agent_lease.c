/* Leases of the worker: how far the agent extends them, when they have
   certainly ended, and what happens to the runs then. A worker that starts
   again may hold a lease that was sent by the clock of its earlier
   incarnation, and that is longer than the owner has granted. */
#include "mb_agent_internal.h"

/* A worker's clock may be slow by up to 1 / CLOCK_DRIFT_DIVISOR. */
#define CLOCK_DRIFT_DIVISOR 50u

/* Age of a worker from which on it holds no lease by the clock of its earlier
   incarnation, in milliseconds by its own clock. An earlier process of the
   agent that has not seen the restart sends such leases as long as its owner's
   grant lasts, and the worker keeps each for the longest lease. */
#define FOREIGN_LEASE_AGE_MAX_MS                                              \
    (MB_AGENT_UNLISTED_MAX_MS + MB_EXECUTOR_LEASE_MAX_MS)

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

/* Notes that the worker may hold a lease by the clock of an earlier
   incarnation for up to `rest_ms` of its own clock. */
static void
note_foreign_lease(mb_agent_t *agent, uint64_t rest_ms)
{
    uint64_t rest_us = rest_ms * MB_US_PER_MS;
    uint64_t end_us =
        mb_clock_us(&agent->clock) + rest_us + rest_us / CLOCK_DRIFT_DIVISOR;
    agent->foreign_lease_end_us = MAX(agent->foreign_lease_end_us, end_us);
}

/* Notes that a call with a lease by the clock of an earlier incarnation may
   have reached the worker, which then holds the lease for longer than the
   owner has granted it. */
void
mb_agent_note_foreign_lease(mb_agent_t *agent)
{
    note_foreign_lease(agent, MB_EXECUTOR_LEASE_MAX_MS);
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

/* Withholds acknowledgements, leases and starts from a worker that has runs or
   ends until the lease of an earlier incarnation has ended: the owner's grant
   has ended and its tasks may have been started elsewhere, and an end that is
   acknowledged within a lease counts, whoever has run the task again
   meanwhile. */
static void
await_lapse(mb_agent_t *agent)
{
    if (agent->lapse_awaited || agent->runs->len + agent->ends->len == 0) {
        return;
    }
    agent->lapse_awaited = true;
    mb_log_notice(&agent->log,
                  "grant may have ended within a lease of an earlier "
                  "incarnation, waiting for its end name=%.*s ends=%u runs=%u",
                  MB_STR_ARG(agent->info.name), agent->ends->len,
                  agent->runs->len);
}

/* Has all runs stopped. */
static void
stop_runs(mb_agent_t *agent)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        mb_agent_run_t *run = g_ptr_array_index(agent->runs, i);
        if (!run->stop_wanted) {
            run->stop_wanted = true;
            run->stop_due_us = 0;
        }
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
    if (now_us < agent->foreign_lease_end_us) {
        await_lapse(agent);
    }
#endif
    stop_runs(agent);
}

/* Returns whether a worker whose clock shows this time may have started before
   this process of the agent, and may hold a lease by the clock of its earlier
   incarnation that an earlier process of the agent has sent. */
static bool
may_hold_former_lease(const mb_agent_t *agent, uint64_t clock_ms)
{
    uint64_t agent_age_ms =
        (mb_clock_us(&agent->clock) - agent->started_us) / MB_US_PER_MS;
    uint64_t age_max_ms = clock_ms + clock_ms / (CLOCK_DRIFT_DIVISOR - 1) +
                          MB_AGENT_CLOCK_TOLERANCE_MS;
    return clock_ms < FOREIGN_LEASE_AGE_MAX_MS && age_max_ms >= agent_age_ms;
}

/* Handles the first lists that an incarnation of the worker returns, with the
   time of its clock. An earlier process of the agent may have known of a lease
   by the clock of an earlier incarnation, and that the owner's grant has
   ended. A young worker that has runs or ends therefore gets nothing until
   such a lease has ended, and its runs are stopped. */
void
mb_agent_check_former_lease(mb_agent_t *agent, uint64_t clock_ms)
{
#ifndef MB_MUTANT_AGENT_FORMER_LEASE_IGNORED
    if (!may_hold_former_lease(agent, clock_ms)) {
        return;
    }
    note_foreign_lease(agent, MIN(FOREIGN_LEASE_AGE_MAX_MS - clock_ms,
                                  MB_EXECUTOR_LEASE_MAX_MS));
    await_lapse(agent);
    stop_runs(agent);
#endif
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
