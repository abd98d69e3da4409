#include "mb_order.h"

#include <string.h>

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
}

/* Releases the lists of a report. */
void
mb_report_finish(mb_report_t *report)
{
    g_array_unref(report->runs);
    g_array_unref(report->ends);
    g_array_unref(report->refusals);
}
