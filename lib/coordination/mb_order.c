#include "mb_order.h"

#include <string.h>

/* Size of a report up to which runs are added with their checkpoints, in
   bytes. The rest is for the rows of the other runs. */
#define CHECKPOINTED_BYTES_MAX (MB_REPORT_BYTES_MAX / 2)
/* The same for ends. The rest has room for the rows of the other ends that a
   worker lists. */
#define CHECKPOINTED_ENDS_BYTES_MAX (MB_REPORT_BYTES_MAX / 4 * 3)

/* Returns the name of the end of a run, for log lines. */
const char *
mb_run_end_name(mb_run_end_t how)
{
    static const char *const names[MB_RUN_END_COUNT] = {
        "done",          "failed",      "stopped",
        "lease_expired", "gang_broken", "gang_timeout"};
    return how < MB_RUN_END_COUNT ? names[how] : "unknown";
}

/* Returns the name of a refusal, for log lines. */
const char *
mb_refusal_name(mb_refusal_t reason)
{
    static const char *const names[MB_REFUSAL_COUNT] = {
        "fenced",    "old_run", "expired", "no_room", "not_approved",
        "unhealthy", "invalid", "leaving", "absent",  "unanswered"};
    return reason < MB_REFUSAL_COUNT ? names[reason] : "unknown";
}

/* Returns whether two ids name the same task. */
bool
mb_dag_task_id_equal(const mb_dag_task_id_t *a, const mb_dag_task_id_t *b)
{
    return memcmp(a, b, sizeof(*a)) == 0;
}

/* Counts a row with texts of `text_bytes` in the size of a message. Returns
   false if it does not fit in its list or in the message. */
static bool
reserve_row(const GArray *rows, size_t text_bytes, size_t bytes_max,
            size_t *bytes)
{
    size_t row_bytes = MB_ORDER_ROW_BYTES + text_bytes;
#ifdef MB_MUTANT_ORDER_NOT_BOUNDED
    bytes_max = SIZE_MAX;
#endif
    if (rows->len >= MB_ORDER_ROWS_MAX || *bytes + row_bytes > bytes_max) {
        return false;
    }
    *bytes += row_bytes;
    return true;
}

/* Adds a start to an order; see the header. The texts are borrowed. */
bool
mb_order_add_start(mb_order_t *order, const mb_order_start_t *start)
{
    size_t text_bytes = start->payload.len + start->checkpoint.len +
                        start->approval.len + start->image.len;
    if (!reserve_row(order->starts, text_bytes, MB_ORDER_BYTES_MAX,
                     &order->bytes)) {
        return false;
    }
    g_array_append_val(order->starts, *start);
    return true;
}

/* Adds a stop to an order; see the header. */
bool
mb_order_add_stop(mb_order_t *order, const mb_order_stop_t *stop)
{
    if (!reserve_row(order->stops, 0, MB_ORDER_BYTES_MAX, &order->bytes)) {
        return false;
    }
    g_array_append_val(order->stops, *stop);
    return true;
}

/* Adds a throttle to an order; see the header. */
bool
mb_order_add_throttle(mb_order_t *order, const mb_order_throttle_t *throttle)
{
    if (!reserve_row(order->throttles, 0, MB_ORDER_BYTES_MAX, &order->bytes)) {
        return false;
    }
    g_array_append_val(order->throttles, *throttle);
    return true;
}

/* Adds a run to a report; see the header. */
bool
mb_report_add_run(mb_report_t *report, const mb_report_run_t *run)
{
    mb_report_run_t row = *run;
    if (!reserve_row(report->runs, row.checkpoint.len, CHECKPOINTED_BYTES_MAX,
                     &report->bytes)) {
        row.checkpoint = MB_STR_EMPTY;
        if (!reserve_row(report->runs, 0, MB_REPORT_BYTES_MAX,
                         &report->bytes)) {
            return false;
        }
    }
    g_array_append_val(report->runs, row);
    return true;
}

/* Adds the end of a run to a report; see the header. */
bool
mb_report_add_end(mb_report_t *report, const mb_report_end_t *end)
{
    mb_report_end_t row = *end;
#ifdef MB_MUTANT_REPORT_ENDS_LEFT_OUT
    if (!reserve_row(report->ends, row.checkpoint.len, MB_REPORT_BYTES_MAX,
                     &report->bytes)) {
        return false;
    }
#else
    if (!reserve_row(report->ends, row.checkpoint.len,
                     CHECKPOINTED_ENDS_BYTES_MAX, &report->bytes)) {
        row.checkpoint = MB_STR_EMPTY;
        if (!reserve_row(report->ends, 0, MB_REPORT_BYTES_MAX,
                         &report->bytes)) {
            return false;
        }
    }
#endif
    g_array_append_val(report->ends, row);
    return true;
}

/* Adds a refused start to a report; see the header. */
bool
mb_report_add_refusal(mb_report_t *report, const mb_report_refusal_t *refusal)
{
    if (!reserve_row(report->refusals, 0, MB_REPORT_BYTES_MAX,
                     &report->bytes)) {
        return false;
    }
    g_array_append_val(report->refusals, *refusal);
    return true;
}

/* Initializes an empty order. */
void
mb_order_init(mb_order_t *order)
{
    memset(order, 0, sizeof(*order));
    order->starts = g_array_new(FALSE, FALSE, sizeof(mb_order_start_t));
    order->stops = g_array_new(FALSE, FALSE, sizeof(mb_order_stop_t));
    order->throttles = g_array_new(FALSE, FALSE, sizeof(mb_order_throttle_t));
}

/* Removes all rows of an order and keeps their memory for the next one. */
void
mb_order_clear(mb_order_t *order)
{
    (void)g_array_set_size(order->starts, 0);
    (void)g_array_set_size(order->stops, 0);
    (void)g_array_set_size(order->throttles, 0);
    order->bytes = 0;
}

/* Releases the lists of an order. */
void
mb_order_finish(mb_order_t *order)
{
    g_array_unref(order->starts);
    g_array_unref(order->stops);
    g_array_unref(order->throttles);
}

/* Initializes an empty report. */
void
mb_report_init(mb_report_t *report)
{
    memset(report, 0, sizeof(*report));
    report->runs = g_array_new(FALSE, FALSE, sizeof(mb_report_run_t));
    report->ends = g_array_new(FALSE, FALSE, sizeof(mb_report_end_t));
    report->refusals = g_array_new(FALSE, FALSE, sizeof(mb_report_refusal_t));
}

/* Removes all rows of a report and keeps their memory for the next one. */
void
mb_report_clear(mb_report_t *report)
{
    (void)g_array_set_size(report->runs, 0);
    (void)g_array_set_size(report->ends, 0);
    (void)g_array_set_size(report->refusals, 0);
    report->bytes = 0;
}

/* Releases the lists of a report. */
void
mb_report_finish(mb_report_t *report)
{
    g_array_unref(report->runs);
    g_array_unref(report->ends);
    g_array_unref(report->refusals);
}
