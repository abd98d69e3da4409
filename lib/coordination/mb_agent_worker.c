/* The lists of the worker, and its lease. */
#include <string.h>

#include "mb_agent_internal.h"

/* Time after a confirmed stop after which a run that is not listed has never
   begun, in microseconds. */
#define STOP_SETTLED_US UINT64_C(50000)

/* Tells whether the worker answered lately. */
bool
mb_agent_worker_reachable(const mb_agent_t *agent, uint64_t now_us)
{
    return agent->last_list_us != 0 &&
           now_us - agent->last_list_us <
               MB_AGENT_WORKER_TIMEOUT_MS * (uint64_t)MB_US_PER_MS;
}

/* Returns the end of the lease to grant now, by the worker's clock; 0 when no
   lease may be granted. The clock was read before its answer arrived, so the
   lease ends no later than the owner allows. */
uint64_t
mb_agent_lease_end_ms(mb_agent_t *agent)
{
    uint64_t now_us = mb_clock_us(&agent->clock);
    if (!agent->has_clock || agent->grant_end_us <= now_us) {
        return 0;
    }
    agent->lease_end_us = MAX(agent->lease_end_us, agent->grant_end_us);
    return agent->worker_clock_ms +
           (agent->grant_end_us - agent->worker_clock_read_us) / MB_US_PER_MS;
}

/* Tells whether a run may have been started on an incarnation that is only
   now found to be there: its start is on the way, or was answered while the
   list was made that told of it. */
static bool
may_be_new(const mb_agent_t *agent, const mb_agent_run_t *run)
{
    return run->state != MB_AGENT_RUN_RUNNING ||
           run->accepted_us >= agent->list_start_us;
}

/* Forgets what belongs to an incarnation that is gone. Runs that may have
   been started on the next one stay until a list or an answer decides. */
void
mb_agent_reset_worker(mb_agent_t *agent)
{
    for (guint i = 0; i < agent->runs->len;) {
        mb_agent_run_t *run = g_ptr_array_index(agent->runs, i);
        if (may_be_new(agent, run)) {
            i++;
        }
        else {
            mb_agent_remove_run(agent, run);
        }
    }
    for (guint i = 0; i < agent->ends->len; i++) {
        g_free((char *)g_array_index(agent->ends, mb_report_end_t, i)
                   .checkpoint.data);
    }
    (void)g_array_set_size(agent->ends, 0);
    agent->last_end = 0;
    agent->acknowledged = 0;
    agent->reported_end = 0;
    agent->has_clock = false;
    agent->last_list_us = 0;
    agent->unlisted_us = mb_clock_us(&agent->clock);
    agent->lease_end_us = 0;
    agent->list_due_us = 0;
    agent->complete_due = true;
    mb_throttle_init(&agent->throttle);
}

/* Drops the ends that the owner has stored. */
static void
drop_acknowledged(mb_agent_t *agent)
{
    guint count = 0;
    while (count < agent->ends->len) {
        mb_report_end_t *end =
            &g_array_index(agent->ends, mb_report_end_t, count);
        if (end->number > agent->acknowledged) {
            break;
        }
        g_free((char *)end->checkpoint.data);
        count++;
    }
    if (count > 0) {
        (void)g_array_remove_range(agent->ends, 0, count);
    }
}

/* Returns the number of the latest end by an expired lease; 0 when there is
   none. */
static uint64_t
latest_expiry(const GArray *ends)
{
    uint64_t number = 0;
    for (guint i = 0; i < ends->len; i++) {
        const mb_report_end_t *end = &g_array_index(ends, mb_report_end_t, i);
        if (end->how == MB_RUN_LEASE_EXPIRED) {
            number = MAX(number, end->number);
        }
    }
    return number;
}

/* Takes the ends that are new. A verdict from before the lease expired came
   too late to count: the task may be running elsewhere. */
static void
take_ends(mb_agent_t *agent, const GArray *ends)
{
    uint64_t expired = latest_expiry(ends);
    for (guint i = 0; i < ends->len; i++) {
        mb_report_end_t end = g_array_index(ends, mb_report_end_t, i);
        if (end.number <= agent->last_end) {
            continue;
        }
        agent->last_end = end.number;
        if (end.number < expired) {
            end.how = MB_RUN_LEASE_EXPIRED;
        }
        mb_agent_run_t *run = mb_agent_find_run(agent, &end.task, end.run);
        if (run != NULL) {
            mb_agent_remove_run(agent, run);
        }
        end.checkpoint.data =
            g_memdup2(end.checkpoint.data, end.checkpoint.len);
        g_array_append_val(agent->ends, end);
        agent->report_due = true;
    }
}

/* Takes the runs that the worker lists. */
static void
take_runs(mb_agent_t *agent, const GArray *runs)
{
    for (guint i = 0; i < runs->len; i++) {
        const mb_report_run_t *listed =
            &g_array_index(runs, mb_report_run_t, i);
        mb_agent_run_t *run =
            mb_agent_find_run(agent, &listed->task, listed->run);
        if (run == NULL) {
            run = mb_agent_add_run(agent, &listed->task, listed->run);
            run->state = MB_AGENT_RUN_RUNNING;
            /* An earlier agent may have slowed it down. */
            run->throttle_unknown = true;
            agent->complete_due = true;
        }
        run->listed = true;
        run->progress = listed->progress;
        run->value = listed->value;
        run->last_listed_us = agent->list_start_us;
        mb_buf_set(&run->checkpoint, listed->checkpoint);
    }
}

/* Tells whether a run that a list does not name is not at the worker: its
   start was answered, or its stop confirmed, before the list was asked for. */
static bool
is_absent(const mb_agent_t *agent, const mb_agent_run_t *run)
{
    uint64_t begun_us = agent->list_start_us;
    if (run->last_listed_us == begun_us) {
        return false;
    }
    if (run->state == MB_AGENT_RUN_RUNNING) {
        return run->accepted_us < begun_us;
    }
    return run->state == MB_AGENT_RUN_UNCONFIRMED &&
           run->stop_confirmed_us != 0 &&
           run->stop_confirmed_us + STOP_SETTLED_US < begun_us;
}

/* Drops the runs that are not at the worker any more and have no end. */
static void
drop_absent(mb_agent_t *agent)
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

/* Notes that another incarnation than the known one answered. Its heartbeat
   says the rest, and the next list what it runs. */
static void
take_incarnation(mb_agent_t *agent, const mb_executor_answer_t *answer)
{
    if (answer->start_time_ms < agent->info.start_time_ms) {
        return;
    }
    mb_log_notice(
        &agent->log,
        "worker restarted name=%.*s born_ms=%" G_GUINT64_FORMAT " runs=%u",
        MB_STR_ARG(agent->info.name), answer->start_time_ms, agent->runs->len);
    mb_agent_reset_worker(agent);
    agent->info.incarnation = answer->incarnation;
    agent->info.start_time_ms = answer->start_time_ms;
    agent->heartbeat_sequence = 0;
    agent->list_due_us = 0;
}

/* Tells whether two lists of ends differ in what they end with. */
static bool
has_news(const mb_agent_t *agent, const mb_executor_answer_t *answer)
{
    return answer->ends->len > 0 &&
           g_array_index(answer->ends, mb_report_end_t, answer->ends->len - 1)
                   .number > agent->last_end;
}

/* Takes a list. */
static void
list_done(void *context, const mb_executor_answer_t *answer)
{
    mb_agent_t *agent = context;
    uint64_t now_us = mb_clock_us(&agent->clock);
    agent->list_pending = false;
    agent->open_calls--;
    if (answer->result != MB_EXECUTOR_OK || agent->info.name.len == 0) {
        agent->list_due_us = now_us + MB_AGENT_RETRY_DELAY_MS * MB_US_PER_MS;
        return;
    }
    if (answer->incarnation != agent->info.incarnation) {
        take_incarnation(agent, answer);
        return;
    }
    bool news = has_news(agent, answer);
    agent->list_due_us = now_us + MB_AGENT_LIST_GAP_MS *
                                      (uint64_t)MB_US_PER_MS * (news ? 1 : 2);
    agent->last_list_us = now_us;
    if (answer->has_clock) {
        agent->has_clock = true;
        agent->worker_clock_ms = answer->clock_ms;
        agent->worker_clock_read_us = now_us;
    }
    take_ends(agent, answer->ends);
    take_runs(agent, answer->runs);
    drop_absent(agent);
    mb_agent_check_latency(agent, now_us);
}

/* Asks for the lists, waits for an end, and extends the lease. A silent worker
   is asked without a wait and gets no longer lease. */
static void
send_list(mb_agent_t *agent, uint64_t now_us)
{
    mb_executor_call_t call = mb_agent_call(agent, list_done, agent);
    bool answers = mb_agent_worker_reachable(agent, now_us);
    uint64_t lease_end_ms = answers ? mb_agent_lease_end_ms(agent) : 0;
    call.timeout_ms += MB_AGENT_LIST_WAIT_MS;
    agent->list_start_us = now_us;
    agent->list_pending = true;
    agent->open_calls++;
    if (!agent->executor.list(agent->executor.context, &call,
                              agent->acknowledged, lease_end_ms,
                              answers ? MB_AGENT_LIST_WAIT_MS : 0)) {
        agent->list_pending = false;
        agent->open_calls--;
        agent->list_due_us = now_us + MB_AGENT_RETRY_DELAY_MS * MB_US_PER_MS;
    }
}

/* Gives up the runs of a silent worker when its lease has ended. */
static void
check_lease(mb_agent_t *agent, uint64_t now_us)
{
    uint64_t end_us = agent->lease_end_us;
    uint64_t slack_us =
        (end_us - MIN(end_us, agent->last_list_us)) / 50 + 200 * MB_US_PER_MS;
    if (end_us == 0 || agent->runs->len == 0 ||
        mb_agent_worker_reachable(agent, now_us) ||
        now_us < end_us + slack_us) {
        return;
    }
    mb_log_notice(&agent->log,
                  "worker silent past its lease name=%.*s runs=%u",
                  MB_STR_ARG(agent->info.name), agent->runs->len);
    (void)g_ptr_array_set_size(agent->runs, 0);
    agent->generation++;
    agent->complete_due = true;
}

/* Does what is due with time. */
void
mb_agent_worker_tick(mb_agent_t *agent, uint64_t now_us)
{
    if (agent->info.name.len == 0) {
        return;
    }
    drop_acknowledged(agent);
    if (agent->departed && agent->runs->len > 0 &&
        now_us - agent->departed_us >=
            MB_AGENT_DEPARTURE_GRACE_MS * (uint64_t)MB_US_PER_MS) {
        (void)g_ptr_array_set_size(agent->runs, 0);
        agent->generation++;
        agent->complete_due = true;
    }
    check_lease(agent, now_us);
    mb_agent_runs_tick(agent, now_us);
    if (!agent->list_pending && now_us >= agent->list_due_us) {
        send_list(agent, now_us);
    }
}
