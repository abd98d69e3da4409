/* Calls about single runs at the worker: starts, stops and throttles. */
#include <string.h>

#include "mb_agent_internal.h"

/* Context of a call about a run. The run is looked up again when the answer
   arrives, as it may have been removed. */
typedef struct run_call {
    mb_agent_t *agent;
    uint64_t generation;
    mb_dag_task_id_t task;
    uint64_t run;
} run_call_t;

/* Releases a run, as a callback of the array. */
void
mb_agent_free_run(gpointer data)
{
    mb_agent_run_t *run = data;
    mb_buf_finish(&run->checkpoint);
    g_free(run);
}

/* Returns the run of a task with a number, or NULL. */
mb_agent_run_t *
mb_agent_find_run(const mb_agent_t *agent, const mb_dag_task_id_t *task,
                  uint64_t number)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        mb_agent_run_t *run = g_ptr_array_index(agent->runs, i);
        if (run->run == number && mb_dag_task_id_equal(&run->task, task)) {
            return run;
        }
    }
    return NULL;
}

/* Adds a run that is being started (state MB_AGENT_RUN_STARTING), at full
   speed. */
mb_agent_run_t *
mb_agent_add_run(mb_agent_t *agent, const mb_dag_task_id_t *task,
                 uint64_t number)
{
    mb_agent_run_t *run = g_new0(mb_agent_run_t, 1);
    run->task = *task;
    run->run = number;
    run->throttle_percent = MB_AGENT_FULL_SPEED_PERCENT;
    run->ordered_percent = MB_AGENT_FULL_SPEED_PERCENT;
    g_ptr_array_add(agent->runs, run);
    return run;
}

/* Removes and releases a run. */
void
mb_agent_remove_run(mb_agent_t *agent, mb_agent_run_t *run)
{
    (void)g_ptr_array_remove_fast(agent->runs, run);
}

/* Reports that a start did not lead to a run and will not do so later. */
void
mb_agent_refuse(mb_agent_t *agent, const mb_dag_task_id_t *task, uint64_t run,
                mb_refusal_t reason)
{
    mb_report_refusal_t refusal = {*task, run, reason};
    if (!mb_report_add_refusal(&agent->report, &refusal)) {
        /* The owner misses the run in the next complete report. */
        mb_log_warning(&agent->log,
                       "refused start not reported: the report is full "
                       "job=%.*s run=%" G_GUINT64_FORMAT " reason=%s",
                       MB_STR_ARG(mb_dag_id_view(&task->job)), run,
                       mb_refusal_name(reason));
    }
    agent->report_due = true;
}

/* Returns the parameters common to all calls to the worker. */
mb_executor_call_t
mb_agent_call(const mb_agent_t *agent,
              void (*done)(void *context, const mb_executor_answer_t *),
              void *context)
{
    return (mb_executor_call_t){.worker = agent->info.name,
                                .token = agent->token,
                                .timeout_ms = MB_AGENT_CALL_TIMEOUT_MS,
                                .done = done,
                                .context = context};
}

/* Creates the context of a call about a run and counts the call as open. The
   callback releases it. */
static run_call_t *
new_call(mb_agent_t *agent, const mb_dag_task_id_t *task, uint64_t run)
{
    run_call_t *call = g_new0(run_call_t, 1);
    call->agent = agent;
    call->generation = agent->generation;
    call->task = *task;
    call->run = run;
    agent->open_calls++;
    return call;
}

/* Returns the run that a call is about, or NULL if it was removed. */
static mb_agent_run_t *
find_called_run(const run_call_t *call)
{
    return call->generation != call->agent->generation
               ? NULL
               : mb_agent_find_run(call->agent, &call->task, call->run);
}

/* Requests the stop of a run whose start got no answer. The worker then
   refuses the start for good, even if it arrives later. */
static void
stop_unconfirmed(mb_agent_run_t *run)
{
    run->state = MB_AGENT_RUN_UNCONFIRMED;
    run->stop_wanted = true;
    run->stop_due_us = 0;
}

/* Handles the answer to a start. */
static void
start_done(void *context, const mb_executor_answer_t *answer)
{
    g_autofree run_call_t *call = context;
    mb_agent_t *agent = call->agent;
    mb_agent_run_t *run = find_called_run(call);
    agent->open_calls--;
    mb_agent_note_answer(agent, answer);
    if (run == NULL || run->state != MB_AGENT_RUN_STARTING) {
        return;
    }
    switch (answer->result) {
    case MB_EXECUTOR_OK:
        run->state = MB_AGENT_RUN_RUNNING;
        run->accepted_us = mb_clock_us(&agent->clock);
        break;
    case MB_EXECUTOR_REFUSED:
        mb_agent_refuse(agent, &run->task, run->run, answer->reason);
        mb_agent_remove_run(agent, run);
        break;
    case MB_EXECUTOR_OTHER:
        mb_agent_refuse(agent, &run->task, run->run, MB_REFUSAL_ABSENT);
        mb_agent_remove_run(agent, run);
        break;
    case MB_EXECUTOR_UNANSWERED:
        mb_log_info(
            &agent->log,
            "start not answered, stopping the run job=%.*s task=%u.%u.%u "
            "run=%" G_GUINT64_FORMAT,
            MB_STR_ARG(mb_dag_id_view(&run->task.job)), run->task.occurrence,
            run->task.step, run->task.index, run->run);
#ifdef MB_MUTANT_AGENT_START_NOT_STOPPED
        mb_agent_refuse(agent, &run->task, run->run, MB_REFUSAL_UNANSWERED);
        mb_agent_remove_run(agent, run);
        break;
#endif
        stop_unconfirmed(run);
        break;
    }
}

/* Starts a run. A known run is not started again, but its attributes for
   throttling are updated: the owner sends them again to an agent that was
   restarted. */
void
mb_agent_start(mb_agent_t *agent, const mb_order_start_t *start)
{
    mb_agent_run_t *run = mb_agent_find_run(agent, &start->task, start->run);
    bool known = run != NULL;
    if (!known) {
        run = mb_agent_add_run(agent, &start->task, start->run);
    }
    run->attributes_known = true;
    run->best_effort = start->best_effort;
    run->image_hash = mb_str_hash(start->image);
    run->latency_target_ms = start->latency_target_ms;
    if (known) {
        return;
    }
    run_call_t *context = new_call(agent, &start->task, start->run);
    mb_executor_call_t call = mb_agent_call(agent, start_done, context);
    if (!agent->executor.start(agent->executor.context, &call, start,
                               mb_agent_lease_end_ms(agent))) {
        agent->open_calls--;
        g_free(context);
        /* Too many calls are in progress, which says nothing of the worker. */
        mb_agent_refuse(agent, &start->task, start->run, MB_REFUSAL_NO_ROOM);
        mb_agent_remove_run(agent, run);
    }
}

/* Handles the answer to a stop. An unanswered stop is sent again. */
static void
stop_done(void *context, const mb_executor_answer_t *answer)
{
    g_autofree run_call_t *call = context;
    mb_agent_t *agent = call->agent;
    mb_agent_run_t *run = find_called_run(call);
    uint64_t now_us = mb_clock_us(&agent->clock);
    agent->open_calls--;
    mb_agent_note_answer(agent, answer);
    if (run == NULL) {
        return;
    }
    run->stop_pending = false;
    run->stop_due_us = now_us + MB_AGENT_RETRY_DELAY_MS * MB_US_PER_MS;
    if (answer->result == MB_EXECUTOR_OK) {
        run->stop_confirmed_us = now_us;
    }
}

/* Sends a stop of a run. If the call can't start, it is retried later. */
static void
send_stop(mb_agent_t *agent, mb_agent_run_t *run)
{
    run_call_t *context = new_call(agent, &run->task, run->run);
    mb_executor_call_t call = mb_agent_call(agent, stop_done, context);
    mb_executor_run_t id = {run->task, run->run};
    run->stop_pending = true;
    if (!agent->executor.stop(agent->executor.context, &call, &id)) {
        agent->open_calls--;
        g_free(context);
        run->stop_pending = false;
        run->stop_due_us = mb_clock_us(&agent->clock) +
                           MB_AGENT_RETRY_DELAY_MS * (uint64_t)MB_US_PER_MS;
    }
}

/* Requests the stop of a run. The worker then lists its end. An unknown run
   may have been started by an earlier agent, whose call may still be on its
   way: it is stopped as well, so that the worker refuses a start that arrives
   later, and reported as refused. */
void
mb_agent_stop(mb_agent_t *agent, const mb_order_stop_t *stop)
{
    mb_agent_run_t *run = mb_agent_find_run(agent, &stop->task, stop->run);
    if (run == NULL && mb_agent_has_end(agent, stop)) {
        return;
    }
    if (run == NULL) {
        mb_log_info(&agent->log,
                    "stopping an unknown run job=%.*s task=%u.%u.%u "
                    "run=%" G_GUINT64_FORMAT,
                    MB_STR_ARG(mb_dag_id_view(&stop->task.job)),
                    stop->task.occurrence, stop->task.step, stop->task.index,
                    stop->run);
        run = mb_agent_add_run(agent, &stop->task, stop->run);
        stop_unconfirmed(run);
        return;
    }
    run->stop_wanted = true;
    run->stop_due_us = 0;
}

/* Sends the stops that are due. The stop of a run waits for the answer to its
   start, so that it can't arrive before the start. */
void
mb_agent_runs_tick(mb_agent_t *agent, uint64_t now_us)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        mb_agent_run_t *run = g_ptr_array_index(agent->runs, i);
        if (run->stop_wanted && !run->stop_pending &&
            run->stop_confirmed_us == 0 &&
            run->state != MB_AGENT_RUN_STARTING &&
            now_us >= run->stop_due_us) {
            send_stop(agent, run);
        }
    }
}

/* Handles the answer to a throttle call. An unanswered one is sent again. */
static void
throttle_done(void *context, const mb_executor_answer_t *answer)
{
    g_autofree run_call_t *call = context;
    mb_agent_run_t *run = find_called_run(call);
    call->agent->open_calls--;
    mb_agent_note_answer(call->agent, answer);
    if (run != NULL) {
        run->throttle_pending = false;
        run->throttle_unknown = answer->result == MB_EXECUTOR_UNANSWERED;
    }
}

/* Throttles a run to a percentage of its full speed. */
void
mb_agent_send_throttle(mb_agent_t *agent, mb_agent_run_t *run,
                       uint32_t percent)
{
    run_call_t *context = new_call(agent, &run->task, run->run);
    mb_executor_call_t call = mb_agent_call(agent, throttle_done, context);
    mb_executor_run_t id = {run->task, run->run};
    run->throttle_pending = true;
    run->throttle_percent = percent;
    agent->complete_due = true;
    if (!agent->executor.throttle(agent->executor.context, &call, &id,
                                  percent)) {
        agent->open_calls--;
        g_free(context);
        run->throttle_pending = false;
    }
}

/* Records the throttle that the owner ordered for a run.
   mb_agent_apply_throttle sends it. */
void
mb_agent_set_ordered_throttle(mb_agent_t *agent,
                              const mb_order_throttle_t *throttle)
{
    mb_agent_run_t *run =
        mb_agent_find_run(agent, &throttle->task, throttle->run);
    if (run != NULL) {
        run->ordered_percent = throttle->percent;
    }
}
