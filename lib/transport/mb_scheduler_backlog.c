/* Admission of jobs by the forecast of the backlog: the owner publishes it,
   and every scheduler decides about submissions with it. All functions but
   mb_scheduler_backlog_write_metrics run on the thread of the loop. */
#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_scheduler_request.h"

/* Interval at which a forecast is collected and published, in
   milliseconds. */
#define PUBLISH_INTERVAL_MS 1000u
/* Time after which the append of a forecast is given up, in milliseconds. The
   next one follows soon after and replaces it. */
#define PUBLISH_TIMEOUT_MS 500u
/* Before a job is rejected, a read of the log must have begun at least this
   long after its receipt, in milliseconds: a client that got no answer from
   another scheduler may have submitted the job there, and a rejected job must
   not be stored. Longer than an append usually takes. */
#define CONFIRM_MS 200u
/* Time after which a job that could not be rejected for lack of such a read is
   admitted, in milliseconds. The rest of the time until the deadline of the
   client is left for the append. */
#define CONFIRM_TIMEOUT_MS 600u

/* Publishes the forecast if this process owns the fleet: at intervals while
   there is a backlog, and once after its end. While the log fails appends,
   none is queued. */
void
mb_scheduler_publish_backlog(mb_scheduler_node_t *node)
{
    uint64_t now_us = mb_clock_us(&node->clock);
    if (!node->config.reject_overdue_jobs || node->owner_journal == NULL ||
        now_us < node->backlog_sampled_us +
                     PUBLISH_INTERVAL_MS * (uint64_t)MB_US_PER_MS ||
        !mb_scheduler_may_act(node)) {
        return;
    }
    node->backlog_sampled_us = now_us;
    bool exists = mb_fleet_forecast_backlog(&node->fleet, &node->forecast);
    if ((!exists && !node->backlog_published) ||
        node->owner_journal->failing_since_us != 0) {
        return;
    }
    mb_buf_clear(&node->key);
    mb_buf_clear(&node->value);
    node->forecast.token = node->fleet.token;
    node->forecast.published_ms = now_us / MB_US_PER_MS;
    mb_dag_record_encode_key(&node->key, MB_DAG_RECORD_BACKLOG, MB_STR_EMPTY);
    mb_dag_record_encode_backlog(&node->value, &node->forecast);
    node->backlog_published =
        !mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                        mb_buf_view(&node->value),
                        now_us + PUBLISH_TIMEOUT_MS * (uint64_t)MB_US_PER_MS,
                        NULL, NULL) ||
        exists;
}

/* Applies a forecast that was read from the log. One that was not read in
   order may be of any age. */
void
mb_scheduler_apply_backlog(mb_scheduler_node_t *node,
                           const mb_backlog_forecast_t *forecast,
                           bool in_order)
{
    if (node->config.reject_overdue_jobs && in_order &&
        forecast->token >= node->ownership.latest.token) {
        mb_backlog_set_forecast(&node->backlog, forecast);
    }
}

/* Tells whether the job of a request, which is not in the table, is certainly
   not in the log either. */
bool
mb_scheduler_is_confirmed(const mb_scheduler_request_t *request)
{
    uint64_t least_us =
        request->received_us + CONFIRM_MS * (uint64_t)MB_US_PER_MS;
#ifdef MB_MUTANT_BACKLOG_REJECTS_UNCONFIRMED
    return true;
#endif
    return request->node->ownership.last_read_start_us >= least_us;
}

/* Tells whether a request has waited for a read of the log for as long as it
   may. */
static bool
is_overdue(const mb_scheduler_request_t *request, uint64_t now_us)
{
    uint64_t given_us = request->deadline_us - request->received_us;
    uint64_t wait_us = CONFIRM_TIMEOUT_MS * (uint64_t)MB_US_PER_MS;
    return now_us >= request->received_us + MIN(wait_us, given_us / 2);
}

/* Decides about a submission by the forecast. While this process can't append,
   the submission is left to the journal, which answers by the outage. */
mb_scheduler_verdict_t
mb_scheduler_judge(mb_scheduler_request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    if (!node->config.reject_overdue_jobs ||
        node->journal.failing_since_us != 0) {
        return MB_SCHEDULER_ADMITTED;
    }
    request->decision = mb_backlog_decide(&node->backlog, &request->job,
                                          node->ownership.last_read_start_us);
    if (request->decision.admitted) {
        return MB_SCHEDULER_ADMITTED;
    }
    if (mb_scheduler_is_confirmed(request)) {
        return MB_SCHEDULER_REJECTED;
    }
    return is_overdue(request, mb_clock_us(&node->clock))
               ? MB_SCHEDULER_ADMITTED
               : MB_SCHEDULER_UNDECIDED;
}

/* Counts a rejection for its queue. Queues beyond the maximum are counted
   together as the last one. */
static void
count_for_queue(mb_scheduler_node_t *node, mb_str_t queue)
{
    mb_scheduler_rejections_t *counts = &node->rejections;
    uint64_t i = 0;
    while (i < counts->count &&
           !mb_str_equal(mb_buf_view(&counts->queues[i].name), queue)) {
        i++;
    }
    i = MIN(i, MB_SCHEDULER_REJECTING_QUEUES_MAX - 1u);
    (void)mb_atomic_add(&counts->queues[i].jobs, 1);
    if (i == counts->count) {
        mb_buf_set(&counts->queues[i].name,
                   i == MB_SCHEDULER_REJECTING_QUEUES_MAX - 1u
                       ? MB_STR_LIT("(others)")
                       : queue);
        mb_atomic_store(&counts->count, i + 1);
    }
}

/* Notes and logs that a submission was rejected. */
void
mb_scheduler_note_rejected(const mb_scheduler_request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    const mb_backlog_decision_t *decision = &request->decision;
    mb_backlog_note_rejected(&node->backlog, &request->job);
    mb_counter_add(node->metrics.rejected_backlog, 1);
    count_for_queue(node, mb_buf_view(&request->queue));
    mb_log_info(&node->log,
                "submission exceeds the backlog job=%.*s queue=%.*s "
                "priority=%u expected_ms=%" G_GUINT64_FORMAT
                " worth_ms=%" G_GUINT64_FORMAT
                " forecast_age_ms=%" G_GUINT64_FORMAT " retry_after_s=%u",
                MB_STR_ARG(mb_dag_id_view(&request->id)),
                MB_STR_ARG(mb_buf_view(&request->queue)),
                request->job.priority, decision->expected_ms,
                decision->worth_ms, decision->forecast_age_ms,
                decision->retry_after_s);
}

/* Notes that the job of a submission was queued for the log. */
void
mb_scheduler_note_admitted(const mb_scheduler_request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    mb_job_memory_admitted(&node->job_memory, request->id, request->weight);
    if (node->config.reject_overdue_jobs) {
        mb_counter_add(node->metrics.admitted_by_share,
                       request->decision.by_share);
        mb_backlog_note_admitted(&node->backlog, &request->job,
                                 &request->decision);
    }
}

/* Sets the gauges of the forecast in force. */
void
mb_scheduler_update_backlog_metrics(mb_scheduler_node_t *node)
{
    const mb_backlog_t *backlog = &node->backlog;
    uint64_t work_ms = 0;
    uint64_t rate_milli = 0;
    for (guint i = 0; i < backlog->forecast.classes->len; i++) {
        const mb_backlog_class_t *class =
            &g_array_index(backlog->forecast.classes, mb_backlog_class_t, i);
        rate_milli += class->rate_milli;
        for (uint32_t k = 0; k < MB_BACKLOG_SIZES; k++) {
            work_ms += class->work_ms[k];
        }
    }
    mb_gauge_set(node->metrics.backlog_work_ms, work_ms);
    mb_gauge_set(node->metrics.backlog_rate_milli, rate_milli);
    mb_gauge_set(node->metrics.backlog_age_ms,
                 backlog->forecast_us == 0
                     ? 0
                     : (mb_clock_us(&node->clock) - backlog->forecast_us) /
                           MB_US_PER_MS);
}

/* Appends the name of a queue as the value of a label. */
static void
write_label(mb_str_t name, mb_buf_t *out)
{
    for (size_t i = 0; i < name.len; i++) {
        if (name.data[i] == '"' || name.data[i] == '\\') {
            mb_buf_append_byte(out, '\\');
        }
        mb_buf_append_byte(out,
                           (char)(name.data[i] == '\n' ? ' ' : name.data[i]));
    }
}

/* Appends the rejections by queue to the metrics, on an HTTP thread. Names are
   written before `count` and don't change. */
void
mb_scheduler_backlog_write_metrics(const mb_scheduler_node_t *node,
                                   mb_buf_t *out)
{
    const mb_scheduler_rejections_t *counts = &node->rejections;
    uint64_t count = mb_atomic_load(&counts->count);
    for (uint64_t i = 0; i < count; i++) {
        if (i == 0) {
            mb_buf_append_cstr(
                out, "# HELP mb_jobs_rejected_backlog_by_queue_total Jobs "
                     "rejected because of the backlog, by queue\n"
                     "# TYPE mb_jobs_rejected_backlog_by_queue_total "
                     "counter\n");
        }
        mb_buf_append_cstr(out,
                           "mb_jobs_rejected_backlog_by_queue_total{queue=\"");
        write_label(mb_buf_view(&counts->queues[i].name), out);
        mb_buf_printf(out, "\"} %" G_GUINT64_FORMAT "\n",
                      mb_atomic_load(&counts->queues[i].jobs));
    }
}

/* Initializes what the functions of this file use. */
void
mb_scheduler_backlog_init(mb_scheduler_node_t *node)
{
    mb_backlog_init(&node->backlog, &node->clock);
    mb_backlog_forecast_init(&node->forecast);
    node->pending_submits = g_ptr_array_new();
}

/* Releases the memory of mb_scheduler_backlog_init. */
void
mb_scheduler_backlog_finish(mb_scheduler_node_t *node)
{
    mb_backlog_finish(&node->backlog);
    mb_backlog_forecast_finish(&node->forecast);
    g_ptr_array_unref(node->pending_submits);
    for (uint32_t i = 0; i < MB_SCHEDULER_REJECTING_QUEUES_MAX; i++) {
        mb_buf_finish(&node->rejections.queues[i].name);
    }
}
