#include "mb_agent.h"

#include <string.h>

#include "mb_agent_internal.h"

/* Indices of the worker's texts in `text`. */
enum { TEXT_NAME, TEXT_SERVICE, TEXT_DOMAIN, TEXT_RACK, TEXT_LABELS };

/* Initializes an agent that knows neither its worker nor an owner. */
void
mb_agent_init(mb_agent_t *agent, uint64_t incarnation,
              const mb_agent_callbacks_t *callbacks,
              const mb_executor_t *executor, const mb_clock_t *clock,
              const mb_log_t *log)
{
    memset(agent, 0, sizeof(*agent));
    agent->incarnation = incarnation;
    agent->callbacks = *callbacks;
    agent->executor = *executor;
    agent->clock = *clock;
    agent->log = *log;
    agent->started_us = mb_clock_us(clock);
    agent->unlisted_us = agent->started_us;
    agent->runs = g_ptr_array_new_with_free_func(mb_agent_free_run);
    mb_agent_ends_init(agent);
    mb_report_init(&agent->report);
    mb_throttle_init(&agent->throttle);
}

/* Releases the agent. No call to the worker may be in progress. */
void
mb_agent_finish(mb_agent_t *agent)
{
    mb_agent_reset_worker(agent);
    g_ptr_array_unref(agent->runs);
    mb_agent_ends_finish(agent);
    mb_report_finish(&agent->report);
    for (size_t i = 0; i < G_N_ELEMENTS(agent->text); i++) {
        mb_buf_finish(&agent->text[i]);
    }
}

/* Copies what a worker reports about itself. */
static void
copy_info(mb_agent_t *agent, const mb_worker_info_t *info)
{
    mb_buf_set(&agent->text[TEXT_NAME], info->name);
    mb_buf_set(&agent->text[TEXT_SERVICE], info->service);
    mb_buf_set(&agent->text[TEXT_DOMAIN], info->failure_domain);
    mb_buf_set(&agent->text[TEXT_RACK], info->rack);
    agent->info = *info;
    agent->info.name = mb_buf_view(&agent->text[TEXT_NAME]);
    agent->info.service = mb_buf_view(&agent->text[TEXT_SERVICE]);
    agent->info.failure_domain = mb_buf_view(&agent->text[TEXT_DOMAIN]);
    agent->info.rack = mb_buf_view(&agent->text[TEXT_RACK]);
    for (uint32_t i = 0; i < info->label_count; i++) {
        mb_buf_set(&agent->text[TEXT_LABELS + i], info->labels[i]);
        agent->info.labels[i] = mb_buf_view(&agent->text[TEXT_LABELS + i]);
    }
}

/* Returns whether a heartbeat of another worker or incarnation than the known
   one is to be believed. Anyone may send one, so it does not displace a worker
   that has answered at its own address, and that may hold runs: that address
   tells when another one is there. */
static bool
may_be_displaced(const mb_agent_t *agent, uint64_t now_us)
{
#ifdef MB_MUTANT_AGENT_BELIEVES_HEARTBEATS
    return true;
#endif
    return agent->last_list_us == 0 || agent->departed ||
           agent->worker_replaced ||
           (!mb_agent_worker_reachable(agent, now_us) &&
            mb_agent_lease_has_ended(agent, now_us));
}

/* Returns whether a heartbeat of the known incarnation was delayed, or has a
   sequence number that the worker can't have reached. */
static bool
is_out_of_sequence(const mb_agent_t *agent, uint64_t sequence, uint64_t now_us)
{
    uint64_t latest = agent->heartbeat_sequence;
    if (now_us - agent->heartbeat_us >=
        MB_AGENT_HEARTBEAT_LATE_MS * (uint64_t)MB_US_PER_MS) {
        return false;
    }
    return sequence <= latest ||
           sequence - latest > MB_AGENT_SEQUENCE_STEP_MAX;
}

/* Handles a heartbeat of the worker. It is ignored if it was delayed or may be
   of another sender. */
void
mb_agent_heartbeat(mb_agent_t *agent, const mb_worker_info_t *info,
                   uint64_t sequence)
{
    bool known = agent->info.name.len > 0;
    bool same = known && info->incarnation == agent->info.incarnation;
    uint64_t now_us = mb_clock_us(&agent->clock);
    if (known && !same && !may_be_displaced(agent, now_us)) {
        mb_log_info(&agent->log,
                    "heartbeat ignored: another worker is known to be there "
                    "name=%.*s born_ms=%" G_GUINT64_FORMAT " known=%.*s",
                    MB_STR_ARG(info->name), info->start_time_ms,
                    MB_STR_ARG(agent->info.name));
        return;
    }
    if (same && is_out_of_sequence(agent, sequence, now_us)) {
        mb_log_debug(
            &agent->log,
            "heartbeat out of sequence ignored name=%.*s "
            "sequence=%" G_GUINT64_FORMAT " latest=%" G_GUINT64_FORMAT,
            MB_STR_ARG(info->name), sequence, agent->heartbeat_sequence);
        return;
    }
    if (!same) {
        mb_log_notice(&agent->log,
                      "worker registered name=%.*s service=%.*s cpu_milli=%u "
                      "memory_mb=%u born_ms=%" G_GUINT64_FORMAT,
                      MB_STR_ARG(info->name), MB_STR_ARG(info->service),
                      info->capacity.cpu_milli, info->capacity.memory_mb,
                      info->start_time_ms);
        mb_agent_reset_worker(agent);
    }
    if (same && info->state != agent->info.state) {
        mb_log_notice(
            &agent->log, "worker state changed name=%.*s from=%d to=%d",
            MB_STR_ARG(info->name), (int)agent->info.state, (int)info->state);
        agent->report_due = true;
    }
    agent->heartbeat_sequence = sequence;
    agent->heartbeat_us = now_us;
    copy_info(agent, info);
}

/* Handles the deregistration of the worker; see the header. The next list call
   tells whether it still works. */
void
mb_agent_deregister(mb_agent_t *agent, mb_str_t name)
{
    if (!mb_str_equal(name, agent->info.name)) {
        return;
    }
    mb_log_notice(&agent->log, "worker deregistered name=%.*s runs=%u",
                  MB_STR_ARG(name), agent->runs->len);
    agent->departed = true;
    agent->departed_us = mb_clock_us(&agent->clock);
    agent->departure_confirmed = false;
    agent->list_due_us = 0;
    agent->report_due = true;
}

/* Accepts a connection of an owner and obeys it from now on; see the header
   for the result. */
bool
mb_agent_connected(mb_agent_t *agent, uint64_t token)
{
#ifndef MB_MUTANT_AGENT_NO_TOKEN_CHECK
    if (token < agent->token) {
        mb_log_notice(
            &agent->log,
            "owner with an older token refused token=%" G_GUINT64_FORMAT
            " known=%" G_GUINT64_FORMAT,
            token, agent->token);
        return false;
    }
#endif
    if (token > agent->token) {
        mb_log_notice(&agent->log,
                      "owner changed token=%" G_GUINT64_FORMAT
                      " before=%" G_GUINT64_FORMAT,
                      token, agent->token);
    }
    agent->token = token;
    agent->connected = true;
    agent->report_sequence = 0;
    agent->order_sequence = 0;
    agent->reported_end = agent->acknowledged;
    agent->reported_unnumbered_ends = 0;
    agent->complete_due = true;
    mb_report_clear(&agent->report);
    memset(agent->report_sent_us, 0, sizeof(agent->report_sent_us));
    return true;
}

/* Notes that the connection to the owner is closed. */
void
mb_agent_disconnected(mb_agent_t *agent)
{
    agent->connected = false;
}

/* Returns when the report that an order answers was sent; 0 if that is not
   known any more. */
static uint64_t
find_report_time_us(const mb_agent_t *agent, const mb_order_t *order)
{
    if (order->report_sequence == 0 ||
        order->report_sequence > agent->report_sequence ||
        order->report_sequence + MB_AGENT_REPORT_TIMES_MAX <=
            agent->report_sequence) {
        return 0;
    }
    return agent
        ->report_sent_us[order->report_sequence % MB_AGENT_REPORT_TIMES_MAX];
}

/* Returns why the starts of an order are refused, or MB_REFUSAL_COUNT if they
   are not. `report_time_us` is when the report that the order answers was
   sent. */
static mb_refusal_t
check_starts(const mb_agent_t *agent, const mb_order_t *order,
             uint64_t report_time_us)
{
    uint64_t now_us = mb_clock_us(&agent->clock);
    if (agent->info.name.len == 0 || agent->departed ||
        agent->departure_recorded || agent->lapse_awaited ||
        !mb_agent_incarnation_confirmed(agent) ||
        order->incarnation != agent->info.incarnation) {
        return MB_REFUSAL_ABSENT;
    }
    if (agent->draining || agent->info.state != MB_WORKER_READY) {
        return MB_REFUSAL_LEAVING;
    }
    if (report_time_us == 0 ||
        now_us - report_time_us >
            MB_AGENT_ORDER_AGE_MAX_MS * (uint64_t)MB_US_PER_MS ||
        !agent->has_clock || agent->grant_end_us <= now_us) {
        return MB_REFUSAL_EXPIRED;
    }
    return MB_REFUSAL_COUNT;
}

/* Carries out the starts of an order, or refuses them. A start of a known run
   is passed on in any case, for its attributes. */
static void
handle_starts(mb_agent_t *agent, const mb_order_t *order,
              uint64_t report_time_us)
{
    mb_refusal_t refusal = check_starts(agent, order, report_time_us);
    for (guint i = 0; i < order->starts->len; i++) {
        const mb_order_start_t *start =
            &g_array_index(order->starts, mb_order_start_t, i);
        bool known =
            mb_agent_find_run(agent, &start->task, start->run) != NULL;
        if (refusal == MB_REFUSAL_COUNT || known) {
            mb_agent_start(agent, start);
        }
        else {
            mb_agent_refuse(agent, &start->task, start->run, refusal);
        }
    }
}

/* Carries out an order of the current owner. It extends the lease granted,
   counted from the report that it answers. */
void
mb_agent_order(mb_agent_t *agent, const mb_order_t *order)
{
    uint64_t report_time_us = find_report_time_us(agent, order);
    agent->order_sequence = order->sequence;
    if (report_time_us != 0) {
        agent->grant_end_us =
            MAX(agent->grant_end_us,
                report_time_us + order->lease_ms * (uint64_t)MB_US_PER_MS);
    }
    if (order->incarnation == agent->info.incarnation) {
        mb_agent_note_acknowledgement(agent, order->acknowledged);
        for (guint i = 0; i < order->stops->len; i++) {
            mb_agent_stop(agent,
                          &g_array_index(order->stops, mb_order_stop_t, i));
        }
        for (guint i = 0; i < order->throttles->len; i++) {
            mb_agent_set_ordered_throttle(
                agent,
                &g_array_index(order->throttles, mb_order_throttle_t, i));
        }
        mb_agent_apply_throttle(agent);
    }
    handle_starts(agent, order, report_time_us);
}

/* Refuses further starts and tells the owner. */
void
mb_agent_drain(mb_agent_t *agent)
{
    agent->draining = true;
    agent->report_due = true;
}

/* Sets whether a departure is recorded; see the header. */
void
mb_agent_set_departure_recorded(mb_agent_t *agent, bool recorded)
{
    agent->departure_recorded = recorded;
}

/* Tells whether the worker has left for good; see the header. A draining agent
   does not wait until its ends are acknowledged, because it is about to
   exit. Those of an earlier incarnation wait until they are forgotten. */
bool
mb_agent_worker_has_left(const mb_agent_t *agent)
{
    guint end_count = agent->ends->len;
#ifndef MB_MUTANT_AGENT_LEAVES_WITH_FORMER_ENDS
    end_count += agent->unnumbered_ends->len;
#endif
    return agent->departed && agent->runs->len == 0 &&
           (end_count == 0 || agent->draining);
}

/* Adds all runs to a complete report. Returns false if there are more than
   fit, so that the report is not complete. */
static bool
add_runs(mb_agent_t *agent)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        const mb_agent_run_t *run = g_ptr_array_index(agent->runs, i);
        mb_report_run_t row = {.task = run->task,
                               .run = run->run,
                               .confirmed = run->listed,
                               .attributes_known = run->attributes_known,
                               .throttle_percent = run->throttle_percent,
                               .progress = run->progress,
                               .value = run->value,
                               .checkpoint = mb_buf_view(&run->checkpoint)};
        if (!mb_report_add_run(&agent->report, &row)) {
            mb_log_error(&agent->log, "report left out runs: too many runs=%u",
                         agent->runs->len);
            return false;
        }
    }
    return true;
}

/* Returns whether the worker refuses the starts that an earlier process of the
   agent sent under former owners: they carry a lower fencing token than a list
   call that the worker has answered, or the lease that they came with has
   ended. */
static bool
refuses_former_starts(const mb_agent_t *agent, uint64_t now_us)
{
#ifdef MB_MUTANT_AGENT_REPORTS_BEFORE_FENCING
    return true;
#endif
    return agent->fenced_token >= agent->token ||
           now_us - agent->started_us >=
               MB_AGENT_UNLISTED_MAX_MS * (uint64_t)MB_US_PER_MS;
}

/* Returns whether it is known what the worker runs: it has answered a list
   call, and nothing that an earlier process of the agent sent can start there
   any more; or everything that process started has ended. */
static bool
knows_runs(const mb_agent_t *agent, uint64_t now_us)
{
    bool listed =
        agent->last_list_us != 0 && refuses_former_starts(agent, now_us);
    return listed || agent->departed ||
           now_us - agent->unlisted_us >=
               MB_AGENT_UNLISTED_MAX_MS * (uint64_t)MB_US_PER_MS;
}

/* Returns the time since the worker has answered with the figures of its
   runs, in milliseconds. */
static uint32_t
get_figures_age_ms(const mb_agent_t *agent, uint64_t now_us)
{
    uint64_t age_ms = (now_us - agent->last_list_us) / MB_US_PER_MS;
    return agent->last_list_us == 0 ? UINT32_MAX
                                    : (uint32_t)MIN(age_ms, UINT32_MAX);
}

/* Sends a report. The first one on a connection is complete, and is not sent
   before it is known what the worker runs. */
static void
send_report(mb_agent_t *agent, uint64_t now_us)
{
    mb_report_t *report = &agent->report;
    report->token = agent->token;
    report->agent_incarnation = agent->incarnation;
    report->sequence = ++agent->report_sequence;
    report->order_sequence = agent->order_sequence;
    report->draining = agent->draining;
    report->figures_age_ms = get_figures_age_ms(agent, now_us);
    report->ends_cut = agent->ends_cut;
    report->worker = agent->info;
    if (agent->departed || agent->info.name.len == 0 || agent->lapse_awaited ||
        !mb_agent_worker_reachable(agent, now_us)) {
        report->worker.state = MB_WORKER_ABSENT;
    }
    report->complete = agent->complete_due && add_runs(agent);
    if (agent->complete_due) {
        agent->last_complete_us = now_us;
    }
    agent->report_due = false;
    agent->complete_due = false;
    mb_agent_add_ends(agent);
    agent->report_sent_us[report->sequence % MB_AGENT_REPORT_TIMES_MAX] =
        now_us;
    agent->last_report_us = now_us;
    agent->callbacks.report(agent->callbacks.context, report);
    mb_report_clear(report);
}

/* Sends a report if something has changed or the interval has passed. */
static void
send_report_if_due(mb_agent_t *agent, uint64_t now_us)
{
    uint64_t period_us = MB_AGENT_REPORT_INTERVAL_MS * (uint64_t)MB_US_PER_MS;
    if (now_us - agent->last_complete_us >=
        MB_AGENT_COMPLETE_REPORT_INTERVAL_MS * (uint64_t)MB_US_PER_MS) {
        agent->complete_due = true;
    }
    bool due = agent->report_due || agent->complete_due ||
               now_us - agent->last_report_us >= period_us;
    if (agent->connected && due && knows_runs(agent, now_us)) {
        send_report(agent, now_us);
    }
}

/* Does what is due; see the header. */
void
mb_agent_run(mb_agent_t *agent)
{
    uint64_t now_us = mb_clock_us(&agent->clock);
    mb_agent_worker_tick(agent, now_us);
    send_report_if_due(agent, now_us);
}
