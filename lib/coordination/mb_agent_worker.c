/* List calls to the worker, which return its runs and ends. */
#include <string.h>

#include "mb_agent_internal.h"

/* Minimum time between a confirmed stop and a later list call, in
   microseconds, from which a run that the answer does not name has certainly
   never started. */
#define STOP_SETTLED_US UINT64_C(50000)

/* Returns whether the worker has answered a list call recently. */
bool
mb_agent_worker_reachable(const mb_agent_t *agent, uint64_t now_us)
{
    return agent->last_list_us != 0 && !agent->worker_replaced &&
           now_us - agent->last_list_us <
               MB_AGENT_WORKER_TIMEOUT_MS * (uint64_t)MB_US_PER_MS;
}

/* Returns whether a call was answered by a worker of the known name. */
static bool
is_by_known_name(const mb_executor_answer_t *answer)
{
    return answer->result == MB_EXECUTOR_OK ||
           answer->result == MB_EXECUTOR_REFUSED;
}

/* Returns whether an answer has the time that the clock of the known
   incarnation shows now. The clock of another one began anew. */
static bool
is_by_known_clock(const mb_agent_t *agent, const mb_executor_answer_t *answer)
{
    uint64_t elapsed_us =
        mb_clock_us(&agent->clock) - agent->worker_clock_read_us;
    uint64_t expected_ms = agent->worker_clock_ms + elapsed_us / MB_US_PER_MS;
    uint64_t difference_ms = MAX(expected_ms, answer->clock_ms) -
                             MIN(expected_ms, answer->clock_ms);
    return !agent->has_clock || !answer->has_clock ||
           difference_ms <= MB_AGENT_CLOCK_TOLERANCE_MS;
}

/* Notes whether a call about a run was answered by the known incarnation of
   the worker. One that took its place between two calls shows in no call that
   fails, but by its clock. */
void
mb_agent_note_answer(mb_agent_t *agent, const mb_executor_answer_t *answer)
{
    bool known_clock = is_by_known_clock(agent, answer);
#ifdef MB_MUTANT_AGENT_CLOCK_NOT_COMPARED
    known_clock = true;
#endif
    if (!is_by_known_name(answer) || !known_clock) {
        agent->call_failed_us = mb_clock_us(&agent->clock);
    }
    /* A late answer is behind the expected time, too, but not behind the
       latest time that the worker has shown. */
    if (!known_clock && answer->clock_ms < agent->worker_clock_ms) {
        mb_agent_note_foreign_lease(agent);
    }
}

/* Returns whether the known incarnation of the worker is certainly the one
   that is called: a list call has shown it since a call failed last. A new
   incarnation has the same name, and its address refuses calls while it
   starts. */
bool
mb_agent_incarnation_confirmed(const mb_agent_t *agent)
{
#ifdef MB_MUTANT_AGENT_INCARNATION_ASSUMED
    return true;
#endif
    return agent->call_failed_us == 0;
}

/* Returns whether a run may belong to an incarnation of the worker that was
   discovered just now: its start is not answered yet, or was answered after
   the list call that showed the new incarnation was sent. */
static bool
may_be_on_new_incarnation(const mb_agent_t *agent, const mb_agent_run_t *run)
{
    return run->state != MB_AGENT_RUN_RUNNING ||
           run->accepted_us >= agent->list_start_us;
}

/* Resets what is known of the worker, after another incarnation has shown
   itself. Runs that may have been started on the next incarnation are kept
   until a list or the answer to their start decides. */
void
mb_agent_reset_worker(mb_agent_t *agent)
{
    for (guint i = 0; i < agent->runs->len;) {
        mb_agent_run_t *run = g_ptr_array_index(agent->runs, i);
        if (may_be_on_new_incarnation(agent, run)) {
            i++;
        }
        else {
            mb_agent_remove_run(agent, run);
        }
    }
    mb_agent_keep_former_ends(agent);
    agent->departed = false;
    agent->worker_replaced = false;
    agent->known_since_us = mb_clock_us(&agent->clock);
    agent->ends_cut = false;
    agent->last_end = 0;
    agent->acknowledged = 0;
    agent->listed_end = 0;
    agent->acknowledged_by_list = 0;
    agent->forgotten_end = 0;
    agent->excess_acknowledgement = 0;
    agent->reported_end = 0;
    agent->has_clock = false;
    agent->call_failed_us = 0;
    agent->last_list_us = 0;
    agent->fenced_token = 0;
    agent->unlisted_us = mb_clock_us(&agent->clock);
    agent->lease_end_us = 0;
    agent->list_due_us = 0;
    agent->complete_due = true;
    mb_throttle_init(&agent->throttle);
}

/* Updates the runs with those that the worker lists. Unknown ones are
   added. */
static void
update_runs(mb_agent_t *agent, const GArray *runs)
{
    for (guint i = 0; i < runs->len; i++) {
        const mb_report_run_t *listed =
            &g_array_index(runs, mb_report_run_t, i);
        mb_agent_run_t *run =
            mb_agent_find_run(agent, &listed->task, listed->run);
        if (run == NULL) {
            run = mb_agent_add_run(agent, &listed->task, listed->run);
            run->state = MB_AGENT_RUN_RUNNING;
            /* An earlier agent may have throttled it. */
            run->throttle_unknown = true;
            agent->complete_due = true;
        }
        run->listed = true;
        run->progress = listed->progress;
        run->value = listed->value;
        run->last_listed_us = agent->list_start_us;
        mb_buf_set(&run->checkpoint,
                   mb_agent_usable_checkpoint(listed->checkpoint));
    }
}

/* Returns whether a run that the latest list does not name, and whose end is
   not among those that the worker has yet to list, is not on the worker: its
   start was answered, or its stop confirmed, before the list call was sent. */
static bool
is_absent(const mb_agent_t *agent, const mb_agent_run_t *run)
{
    uint64_t start_us = agent->list_start_us;
    if (run->last_listed_us == start_us) {
        return false;
    }
    if (run->state == MB_AGENT_RUN_RUNNING) {
        return run->accepted_us < start_us;
    }
    return run->state == MB_AGENT_RUN_UNCONFIRMED &&
           run->stop_confirmed_us != 0 &&
           run->stop_confirmed_us + STOP_SETTLED_US < start_us;
}

/* Removes the runs that are no longer on the worker and have no end. */
static void
remove_absent_runs(mb_agent_t *agent)
{
    for (guint i = 0; i < agent->runs->len;) {
        mb_agent_run_t *run = g_ptr_array_index(agent->runs, i);
        if (!is_absent(agent, run)) {
            i++;
            continue;
        }
        if (run->state == MB_AGENT_RUN_UNCONFIRMED) {
            mb_agent_refuse(agent, &run->task, run->run,
                            MB_REFUSAL_UNANSWERED);
        }
        else {
            agent->complete_due = true;
        }
        mb_agent_remove_run(agent, run);
    }
}

/* Handles an answer of another incarnation of the worker than the known one.
   The next list brings its runs, and its heartbeat its other attributes, which
   may differ from the known ones: until then it counts as absent and gets no
   starts. */
static void
handle_restart(mb_agent_t *agent, const mb_executor_answer_t *answer)
{
    if (answer->start_time_ms < agent->info.start_time_ms &&
        agent->list_start_us < agent->known_since_us) {
        /* The answer was delayed. One to a later call is right: the heartbeat
           with the later start time was of another sender. */
        return;
    }
    mb_log_notice(
        &agent->log,
        "worker restarted name=%.*s born_ms=%" G_GUINT64_FORMAT " runs=%u",
        MB_STR_ARG(agent->info.name), answer->start_time_ms, agent->runs->len);
    mb_agent_reset_worker(agent);
    mb_agent_note_foreign_lease(agent);
    agent->info.incarnation = answer->incarnation;
    agent->info.start_time_ms = answer->start_time_ms;
#ifndef MB_MUTANT_AGENT_FORMER_ATTRIBUTES_KEPT
    agent->info.state = MB_WORKER_ABSENT;
#endif
    agent->heartbeat_sequence = 0;
    agent->list_due_us = 0;
}

/* Returns whether an answer contains ends that were not received yet. */
static bool
has_new_ends(const mb_agent_t *agent, const mb_executor_answer_t *answer)
{
    return answer->ends->len > 0 &&
           g_array_index(answer->ends, mb_report_end_t, answer->ends->len - 1)
                   .number > agent->last_end;
}

/* Handles the answer to a list call. The next call follows sooner after new
   ends. */
static void
list_done(void *context, const mb_executor_answer_t *answer)
{
    mb_agent_t *agent = context;
    uint64_t now_us = mb_clock_us(&agent->clock);
    agent->list_pending = false;
    agent->open_calls--;
    if (!is_by_known_name(answer)) {
        agent->call_failed_us = now_us;
    }
    if (agent->departed && agent->list_start_us >= agent->departed_us) {
        agent->departure_confirmed = !is_by_known_name(answer);
    }
    if (answer->result == MB_EXECUTOR_OTHER &&
        agent->list_start_us >= agent->known_since_us) {
        agent->worker_replaced = true;
    }
    if (answer->result != MB_EXECUTOR_OK || agent->info.name.len == 0) {
        agent->list_due_us = now_us + MB_AGENT_RETRY_DELAY_MS * MB_US_PER_MS;
        return;
    }
    if (answer->incarnation != agent->info.incarnation) {
        handle_restart(agent, answer);
        return;
    }
    if (agent->list_start_us > agent->call_failed_us) {
        agent->call_failed_us = 0;
    }
    bool first = agent->last_list_us == 0;
    bool new_ends = has_new_ends(agent, answer);
    agent->list_due_us = now_us + MB_AGENT_LIST_GAP_MS *
                                      (uint64_t)MB_US_PER_MS *
                                      (new_ends ? 1 : 2);
    agent->last_list_us = now_us;
    agent->fenced_token = MAX(agent->fenced_token, agent->list_token);
    if (answer->has_clock) {
        agent->has_clock = true;
        agent->worker_clock_ms = answer->clock_ms;
        agent->worker_clock_read_us = now_us;
    }
    agent->forgotten_end =
        MAX(agent->forgotten_end, agent->acknowledged_by_list);
    agent->ends_cut = answer->ends_cut;
    mb_agent_handle_ends(agent, answer->ends);
    update_runs(agent, answer->runs);
#ifndef MB_MUTANT_AGENT_CUT_LIST_BELIEVED
    if (!answer->ends_cut)
#endif
    {
        remove_absent_runs(agent);
    }
    if (first && answer->has_clock) {
        mb_agent_check_former_lease(agent, answer->clock_ms);
    }
    mb_agent_check_latency(agent, now_us);
}

/* Sends a list call, which also extends the lease, and which the worker
   answers when a run ends or after a while. A worker that is unreachable, or
   may be another incarnation, is to answer at once; its lease is not extended,
   and no ends are acknowledged to it. */
static void
send_list(mb_agent_t *agent, uint64_t now_us)
{
    mb_executor_call_t call = mb_agent_call(agent, list_done, agent);
    bool confirmed = mb_agent_incarnation_confirmed(agent);
    bool reachable = mb_agent_worker_reachable(agent, now_us) && confirmed;
    bool may_acknowledge = confirmed && !agent->lapse_awaited;
    uint64_t lease_end_ms = reachable ? mb_agent_lease_end_ms(agent) : 0;
    call.timeout_ms += MB_AGENT_LIST_WAIT_MS;
    agent->list_start_us = now_us;
    agent->list_token = agent->token;
    agent->list_pending = true;
    agent->acknowledged_by_list =
        may_acknowledge ? mb_agent_acknowledgement(agent) : 0;
    agent->open_calls++;
    if (!agent->executor.list(agent->executor.context, &call,
                              agent->acknowledged_by_list, lease_end_ms,
                              reachable ? MB_AGENT_LIST_WAIT_MS : 0)) {
        agent->list_pending = false;
        agent->open_calls--;
        agent->list_due_us = now_us + MB_AGENT_RETRY_DELAY_MS * MB_US_PER_MS;
    }
}

/* Returns whether the runs of a worker that has deregistered have ended with
   it. */
static bool
has_ended(const mb_agent_t *agent, uint64_t now_us)
{
    bool confirmed = agent->departure_confirmed;
#ifdef MB_MUTANT_AGENT_DEPARTURE_ASSUMED
    confirmed = true;
#endif
    return agent->departed && confirmed &&
           now_us - agent->departed_us >=
               MB_AGENT_DEPARTURE_GRACE_MS * (uint64_t)MB_US_PER_MS;
}

/* Does what is due at this time. */
void
mb_agent_worker_tick(mb_agent_t *agent, uint64_t now_us)
{
    if (agent->info.name.len == 0) {
        return;
    }
    mb_agent_ends_tick(agent, now_us);
    if (agent->runs->len > 0 && has_ended(agent, now_us)) {
        (void)g_ptr_array_set_size(agent->runs, 0);
        agent->generation++;
        agent->complete_due = true;
    }
    mb_agent_lease_tick(agent, now_us);
    mb_agent_runs_tick(agent, now_us);
    if (!agent->list_pending && now_us >= agent->list_due_us) {
        send_list(agent, now_us);
    }
}
