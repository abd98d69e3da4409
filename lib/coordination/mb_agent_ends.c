/* The ends of runs that the worker has listed, until the owner has stored
   them. */
#include "mb_agent_internal.h"

/* How long the ends are kept that no owner can acknowledge, in milliseconds:
   those that a worker had listed before it started again, and those that it
   listed under the number of another end. The owner that has got them may end
   before it has stored them: longer than a change of owner takes. */
#define UNNUMBERED_ENDS_MS UINT64_C(30000)

/* Initializes the ends of an agent. */
void
mb_agent_ends_init(mb_agent_t *agent)
{
    agent->ends = g_array_new(FALSE, FALSE, sizeof(mb_report_end_t));
    agent->unnumbered_ends =
        g_array_new(FALSE, FALSE, sizeof(mb_report_end_t));
}

/* Releases the first ends of an array, and removes them. */
static void
remove_first_ends(GArray *ends, guint count)
{
    for (guint i = 0; i < count; i++) {
        g_free(
            (char *)g_array_index(ends, mb_report_end_t, i).checkpoint.data);
    }
    if (count > 0) {
        (void)g_array_remove_range(ends, 0, count);
    }
}

/* Releases the ends of an agent. */
void
mb_agent_ends_finish(mb_agent_t *agent)
{
    remove_first_ends(agent->ends, agent->ends->len);
    remove_first_ends(agent->unnumbered_ends, agent->unnumbered_ends->len);
    g_array_unref(agent->ends);
    g_array_unref(agent->unnumbered_ends);
}

/* Returns a checkpoint that a worker lists, or an empty text if it is longer
   than a message may contain. */
mb_str_t
mb_agent_usable_checkpoint(mb_str_t checkpoint)
{
#ifdef MB_MUTANT_AGENT_LONG_CHECKPOINT_PASSED_ON
    return checkpoint;
#endif
    return checkpoint.len > MB_DAG_CHECKPOINT_MAX ? MB_STR_EMPTY : checkpoint;
}

/* Returns a copy of an end as it is kept, with a usable checkpoint. */
static mb_report_end_t
copy_end(const mb_agent_t *agent, const mb_report_end_t *listed)
{
    mb_report_end_t end = *listed;
    mb_str_t checkpoint = mb_agent_usable_checkpoint(listed->checkpoint);
    if (checkpoint.len < listed->checkpoint.len) {
        mb_log_warning(&agent->log,
                       "checkpoint of an end ignored: it is too long "
                       "job=%.*s run=%" G_GUINT64_FORMAT " bytes=%zu",
                       MB_STR_ARG(mb_dag_id_view(&end.task.job)), end.run,
                       listed->checkpoint.len);
    }
    end.checkpoint.data = g_memdup2(checkpoint.data, checkpoint.len);
    end.checkpoint.len = checkpoint.len;
    return end;
}

/* Removes the run that has ended, if it is known. */
static void
remove_ended_run(mb_agent_t *agent, const mb_report_end_t *end)
{
    mb_agent_run_t *run = mb_agent_find_run(agent, &end->task, end->run);
    if (run != NULL) {
        mb_agent_remove_run(agent, run);
    }
}

/* Returns whether two ends are of the same run and say the same of it. */
static bool
is_same_end(const mb_report_end_t *a, const mb_report_end_t *b)
{
    return a->run == b->run && a->how == b->how &&
           mb_dag_task_id_equal(&a->task, &b->task);
}

/* Keeps an end that no owner can acknowledge, for a while. It is reported on
   each connection, without its number and checkpoint. Returns false if it is
   kept already, or if there are too many. */
static bool
keep_unnumbered_end(mb_agent_t *agent, const mb_report_end_t *end)
{
    mb_report_end_t kept = *end;
    kept.number = MB_REPORT_END_UNNUMBERED;
    kept.checkpoint = (mb_str_t){NULL, 0};
    for (guint i = 0; i < agent->unnumbered_ends->len; i++) {
        if (is_same_end(
                &g_array_index(agent->unnumbered_ends, mb_report_end_t, i),
                end)) {
            return false;
        }
    }
    if (agent->unnumbered_ends->len >= MB_ORDER_ROWS_MAX) {
        return false;
    }
    g_array_append_val(agent->unnumbered_ends, kept);
    agent->unnumbered_ends_due_us =
        mb_clock_us(&agent->clock) + UNNUMBERED_ENDS_MS * MB_US_PER_MS;
    return true;
}

/* Compares the numbers of two ends, for a search. */
static gint
compare_numbers(gconstpointer a, gconstpointer b)
{
    uint64_t first = ((const mb_report_end_t *)a)->number;
    uint64_t second = ((const mb_report_end_t *)b)->number;
    return (first > second) - (first < second);
}

/* Returns whether an end has the number of another one that the worker has
   listed in its present life: one that is kept here and differs, or one that
   it was told to forget. */
static bool
has_reused_number(const mb_agent_t *agent, const mb_report_end_t *end)
{
#ifdef MB_MUTANT_AGENT_REUSED_NUMBER_IGNORED
    return false;
#endif
    guint index = 0;
    if (g_array_binary_search(agent->ends, end, compare_numbers, &index)) {
        return !is_same_end(
            &g_array_index(agent->ends, mb_report_end_t, index), end);
    }
    return end->number <= agent->forgotten_end;
}

/* Handles an end whose number is not new. Usually it is listed again until it
   is acknowledged. If the number is that of another end, the owner decides
   whether this one counts, too. */
static void
handle_listed_again(mb_agent_t *agent, const mb_report_end_t *end)
{
    if (!has_reused_number(agent, end) || !keep_unnumbered_end(agent, end)) {
        return;
    }
    mb_log_warning(&agent->log,
                   "worker listed an end under the number of another one "
                   "name=%.*s number=%" G_GUINT64_FORMAT
                   " latest=%" G_GUINT64_FORMAT " job=%.*s task=%u.%u.%u "
                   "run=%" G_GUINT64_FORMAT " how=%s",
                   MB_STR_ARG(agent->info.name), end->number, agent->last_end,
                   MB_STR_ARG(mb_dag_id_view(&end->task.job)),
                   end->task.occurrence, end->task.step, end->task.index,
                   end->run, mb_run_end_name(end->how));
    remove_ended_run(agent, end);
    agent->report_due = true;
}

/* Handles the ends that are new. Each is reported as the worker lists it, also
   if the lease expired afterwards and the task may be running elsewhere: the
   owner decides whether it counts. */
void
mb_agent_handle_ends(mb_agent_t *agent, const GArray *ends)
{
#ifdef MB_MUTANT_AGENT_SUCCESS_BEFORE_EXPIRY_DROPPED
    bool expired = agent->lease_end_us < mb_clock_us(&agent->clock);
#endif
    agent->listed_end = 0;
    for (guint i = 0; i < ends->len; i++) {
        const mb_report_end_t *listed =
            &g_array_index(ends, mb_report_end_t, i);
        agent->listed_end = MAX(agent->listed_end, listed->number);
        if (listed->number <= agent->last_end) {
            handle_listed_again(agent, listed);
            continue;
        }
        mb_report_end_t end = copy_end(agent, listed);
        agent->last_end = end.number;
#ifdef MB_MUTANT_AGENT_SUCCESS_BEFORE_EXPIRY_DROPPED
        end.how = expired ? MB_RUN_LEASE_EXPIRED : end.how;
#endif
        remove_ended_run(agent, &end);
        g_array_append_val(agent->ends, end);
        agent->report_due = true;
    }
}

/* Notes up to which number the owner has stored the ends. One that goes back
   is that of a new owner, which knows less. One above the ends that this
   process has received does not count for later ones: it was meant for an
   earlier process of the agent, or is wrong. */
void
mb_agent_note_acknowledgement(mb_agent_t *agent, uint64_t number)
{
    uint64_t received = MIN(number, agent->last_end);
#ifdef MB_MUTANT_AGENT_ACKNOWLEDGES_UNLISTED
    received = number;
#endif
    agent->acknowledged = MAX(agent->acknowledged, received);
    if (number > agent->last_end && agent->last_end > 0 &&
        number != agent->excess_acknowledgement) {
        agent->excess_acknowledgement = number;
        mb_log_warning(&agent->log,
                       "acknowledgement of ends that were not received "
                       "number=%" G_GUINT64_FORMAT
                       " received=%" G_GUINT64_FORMAT " name=%.*s",
                       number, agent->last_end, MB_STR_ARG(agent->info.name));
    }
}

/* Returns up to which number the worker may forget its ends: only such that it
   has listed, as it may have numbered later ones anew. */
uint64_t
mb_agent_acknowledgement(const mb_agent_t *agent)
{
#ifdef MB_MUTANT_AGENT_ACKNOWLEDGES_UNLISTED
    return agent->acknowledged;
#endif
#ifdef MB_MUTANT_AGENT_CLOCK_NOT_COMPARED
    return agent->acknowledged;
#endif
    return MIN(agent->acknowledged, agent->listed_end);
}

/* Returns whether an end tells what has become of the task: whether it is
   done, or an attempt has failed. */
static bool
is_outcome(const mb_report_end_t *end)
{
    return end->how == MB_RUN_DONE || end->how == MB_RUN_FAILED;
}

/* Keeps the outcomes that the owner has not stored, before another incarnation
   of the worker takes its place. They are reported again on each connection
   for a while, as no owner acknowledges them. */
void
mb_agent_keep_former_ends(mb_agent_t *agent)
{
#ifndef MB_MUTANT_AGENT_FORMER_ENDS_DROPPED
    for (guint i = 0; i < agent->ends->len; i++) {
        const mb_report_end_t *end =
            &g_array_index(agent->ends, mb_report_end_t, i);
        if (end->number > agent->acknowledged && is_outcome(end)) {
            (void)keep_unnumbered_end(agent, end);
        }
    }
#endif
    remove_first_ends(agent->ends, agent->ends->len);
}

/* Returns whether the end of a run has been received and is kept until the
   owner acknowledges it. */
bool
mb_agent_has_end(const mb_agent_t *agent, const mb_order_stop_t *stop)
{
    for (guint i = 0; i < agent->ends->len; i++) {
        const mb_report_end_t *end =
            &g_array_index(agent->ends, mb_report_end_t, i);
        if (end->run == stop->run &&
            mb_dag_task_id_equal(&end->task, &stop->task)) {
            return true;
        }
    }
    return false;
}

/* Adds to the report the numbered ends that were not reported on this
   connection yet. Returns false if not all fit. */
static bool
add_numbered_ends(mb_agent_t *agent)
{
    for (guint i = 0; i < agent->ends->len; i++) {
        const mb_report_end_t *end =
            &g_array_index(agent->ends, mb_report_end_t, i);
        if (end->number <= agent->reported_end) {
            continue;
        }
        if (!mb_report_add_end(&agent->report, end)) {
            return false;
        }
        agent->reported_end = end->number;
    }
    return true;
}

/* Does the same with the ends that have no number. */
static bool
add_unnumbered_ends(mb_agent_t *agent)
{
    while (agent->reported_unnumbered_ends < agent->unnumbered_ends->len) {
        if (!mb_report_add_end(
                &agent->report,
                &g_array_index(agent->unnumbered_ends, mb_report_end_t,
                               agent->reported_unnumbered_ends))) {
            return false;
        }
        agent->reported_unnumbered_ends++;
    }
    return true;
}

/* Adds to the report the ends that were not reported on this connection yet,
   as many as fit. The others follow in the next report. Those without a number
   come last, so that the failure of a run that has succeeded before does not
   count. */
void
mb_agent_add_ends(mb_agent_t *agent)
{
    if (!add_numbered_ends(agent) || !add_unnumbered_ends(agent)) {
        agent->report_due = true;
    }
}

/* Returns the number of ends that the owner has stored. */
static guint
count_acknowledged_ends(const mb_agent_t *agent)
{
    guint count = 0;
    while (count < agent->ends->len &&
           g_array_index(agent->ends, mb_report_end_t, count).number <=
               agent->acknowledged) {
        count++;
    }
    return count;
}

/* Removes the ends that need not be reported any more. */
void
mb_agent_ends_tick(mb_agent_t *agent, uint64_t now_us)
{
    remove_first_ends(agent->ends, count_acknowledged_ends(agent));
    if (agent->unnumbered_ends->len > 0 &&
        now_us >= agent->unnumbered_ends_due_us) {
        remove_first_ends(agent->unnumbered_ends, agent->unnumbered_ends->len);
        agent->reported_unnumbered_ends = 0;
    }
}
