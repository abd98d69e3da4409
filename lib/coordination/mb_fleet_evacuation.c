/* Evacuated failure domains in the fleet. Placement avoids their workers
   (mb_fleet_cost.c), and every start passes the check in this file when its
   order is sent: time passes between the decision and the order, and the
   process may have been paused meanwhile. Runs that are in a domain when it is
   evacuated are left alone. */
#include "mb_fleet_internal.h"

/* Interval between two counts of what runs in evacuated domains, and between
   two log lines for each of them, in microseconds. */
#define NOTE_INTERVAL_US UINT64_C(1000000)
#define LOG_INTERVAL_US UINT64_C(10000000)

/* Sets the table of evacuated domains; see the header. */
void
mb_fleet_set_evacuation(mb_fleet_t *fleet, const mb_evacuation_t *evacuation)
{
    fleet->evacuation = evacuation;
}

/* Updates whether the failure domain of a worker is evacuated, and when the
   request for it was withdrawn. */
static void
update_worker(const mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
    mb_str_t domain = mb_buf_view(&worker->failure_domain);
    worker->evacuated = mb_evacuation_contains(fleet->evacuation, domain);
    worker->returned_us =
        mb_evacuation_withdrawn_us(fleet->evacuation, domain);
}

/* Sets the failure domain that a worker has reported. */
void
mb_fleet_set_failure_domain(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                            mb_str_t domain)
{
    if (mb_str_equal(mb_buf_view(&worker->failure_domain), domain)) {
        return;
    }
    mb_buf_set(&worker->failure_domain, domain);
    if (fleet->evacuation != NULL) {
        update_worker(fleet, worker);
    }
}

/* Logs that starts are withheld from now on, or no longer. */
static void
set_withheld(mb_fleet_t *fleet, bool withheld, const char *reason)
{
    uint64_t age_us = mb_evacuation_age_us(fleet->evacuation);
    if (withheld == fleet->starts_withheld) {
        return;
    }
    fleet->starts_withheld = withheld;
    fleet->schedule_due = true;
    mb_log_notice(&fleet->log,
                  "starts %s reason=%s evacuations_age_ms=%" G_GINT64_FORMAT
                  " token=%" G_GUINT64_FORMAT,
                  withheld ? "withheld" : "allowed again",
                  withheld ? reason : "-",
                  age_us == UINT64_MAX ? -1 : (gint64)(age_us / MB_US_PER_MS),
                  fleet->token);
}

/* Applies changes of the table of evacuated domains to the workers, and
   updates whether starts are allowed. */
void
mb_fleet_update_evacuations(mb_fleet_t *fleet)
{
    const mb_evacuation_t *evacuation = fleet->evacuation;
    const char *reason;
    if (evacuation == NULL) {
        return;
    }
    if (evacuation->version != fleet->evacuation_version) {
        fleet->evacuation_version = evacuation->version;
        fleet->evacuation_noted_us = 0;
        fleet->evacuation_logged_us = 0;
        fleet->schedule_due = true;
        for (guint i = 0; i < fleet->workers->len; i++) {
            update_worker(fleet, mb_fleet_get_worker(fleet, i));
        }
    }
    bool withheld = !mb_evacuation_may_start(evacuation, &reason);
    set_withheld(fleet, withheld, reason);
}

/* Tells whether a worker may be sent starts now, as far as evacuations
   decide it. */
static bool
may_send_starts(const mb_fleet_t *fleet, const mb_fleet_worker_t *worker)
{
    return fleet->evacuation == NULL ||
           (!mb_evacuation_contains(fleet->evacuation,
                                    mb_buf_view(&worker->failure_domain)) &&
            mb_evacuation_may_start(fleet->evacuation, NULL));
}

/* Removes the stop of a run from an order that has no start of it any more.
   The agent would stop a run that it does not know, and report it as refused
   by its worker. */
static void
remove_stop(mb_order_t *order, const mb_order_start_t *start)
{
    for (guint i = order->stops->len; i-- > 0;) {
        const mb_order_stop_t *stop =
            &g_array_index(order->stops, mb_order_stop_t, i);
        if (stop->run == start->run &&
            mb_dag_task_id_equal(&stop->task, &start->task)) {
            (void)g_array_remove_index_fast(order->stops, i);
        }
    }
}

/* Takes back the start of a run that was not sent: its task waits again. */
static void
take_back(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
          const mb_order_start_t *start, mb_fleet_run_t *run)
{
    mb_fleet_run_t removed = *run;
    mb_log_info(&fleet->log,
                "start dropped from an order that was not sent job=%.*s "
                "task=%u.%u.%u run=%" G_GUINT64_FORMAT " worker=%.*s",
                MB_STR_ARG(mb_dag_id_view(&start->task.job)),
                start->task.occurrence, start->task.step, start->task.index,
                start->run, MB_STR_ARG(mb_buf_view(&worker->name)));
    mb_health_abandoned(&worker->health, removed.started_us);
    mb_fleet_remove_run(fleet, worker, run);
    mb_fleet_mark_job_startable(fleet, removed.job);
    fleet->counts.dropped_starts++;
    if (removed.stopping) {
        remove_stop(&worker->pending_order, start);
    }
}

/* Tells whether a start only repeats the attributes of a run that the worker
   has listed, for an agent that was restarted. */
static bool
is_repeated(const mb_fleet_run_t *run)
{
#ifdef MB_MUTANT_FLEET_REPEATED_STARTS_DROPPED
    return false;
#endif
    return run != NULL && run->confirmed;
}

/* Drops the starts from the pending order of a worker if they are not allowed
   any more. */
void
mb_fleet_drop_starts(mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
    if (worker->pending_order.starts->len == 0 ||
        may_send_starts(fleet, worker)) {
        return;
    }
#ifdef MB_MUTANT_FLEET_UNSENT_STARTS_KEPT
    return;
#endif
    g_autoptr(GArray) gangs =
        g_array_new(FALSE, FALSE, sizeof(mb_fleet_run_t));
    g_autoptr(GArray) starts = g_array_copy(worker->pending_order.starts);
    (void)g_array_set_size(worker->pending_order.starts, 0);
    for (guint i = 0; i < starts->len; i++) {
        const mb_order_start_t *start =
            &g_array_index(starts, mb_order_start_t, i);
        mb_fleet_run_t *run =
            mb_fleet_find_run(worker, &start->task, start->run);
        if (is_repeated(run)) {
            g_array_append_val(worker->pending_order.starts, *start);
        }
        else if (run != NULL) {
            if (run->job->steps[run->step].gang) {
                g_array_append_val(gangs, *run);
            }
            take_back(fleet, worker, start, run);
        }
    }
    /* The other members, whose starts may have been sent, are stopped. This
       may send the order if it is full. */
    for (guint i = 0; i < gangs->len; i++) {
        mb_fleet_stop_gang(fleet, &g_array_index(gangs, mb_fleet_run_t, i));
    }
}

/* Counts the workers and runs of a domain; see the header. */
mb_fleet_domain_t
mb_fleet_count_domain(const mb_fleet_t *fleet, mb_str_t domain)
{
    mb_fleet_domain_t counts = {0};
    for (guint i = 0; fleet->is_owner && i < fleet->workers->len; i++) {
        const mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        if (!worker->removed &&
            mb_str_equal(mb_buf_view(&worker->failure_domain), domain)) {
            counts.workers++;
            counts.runs += worker->runs->len;
        }
    }
    return counts;
}

/* Counts the workers and runs of all evacuated domains, for the metrics. */
static void
count_evacuated(mb_fleet_t *fleet)
{
    fleet->evacuated_workers = 0;
    fleet->evacuated_runs = 0;
    for (guint i = 0; i < fleet->workers->len; i++) {
        const mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        if (worker->evacuated && !worker->removed) {
            fleet->evacuated_workers++;
            fleet->evacuated_runs += worker->runs->len;
        }
    }
}

/* Logs for each evacuated domain what still runs there, after each change and
   at intervals. A domain without workers may be a misspelled one. */
static void
log_domains(mb_fleet_t *fleet)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->evacuation->domains);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mb_evacuation_domain_t *domain = value;
        if (!domain->evacuated) {
            continue;
        }
        mb_fleet_domain_t counts = mb_fleet_count_domain(fleet, domain->key);
        mb_log_notice(&fleet->log,
                      "domain evacuated domain=%.*s workers=%u runs=%u "
                      "waiting_tasks=%u%s",
                      MB_STR_ARG(domain->key), counts.workers, counts.runs,
                      fleet->evacuated_tasks,
                      counts.workers == 0 ? ": no worker names this domain"
                                          : "");
    }
}

/* Counts what runs in evacuated domains, and logs it. */
void
mb_fleet_log_evacuations(mb_fleet_t *fleet, uint64_t now_us)
{
    if (fleet->evacuation == NULL ||
        now_us < fleet->evacuation_noted_us + NOTE_INTERVAL_US) {
        return;
    }
    fleet->evacuation_noted_us = now_us;
    if (fleet->evacuation->evacuated == 0 && fleet->evacuated_workers == 0) {
        return;
    }
    count_evacuated(fleet);
    if (now_us >= fleet->evacuation_logged_us + LOG_INTERVAL_US) {
        fleet->evacuation_logged_us = now_us;
        log_domains(fleet);
    }
}
