/* Applies the reports of the agents: the state of workers, and through the
   files mb_fleet_ends.c, mb_fleet_refusals.c and mb_fleet_reported_runs.c what
   has become of their runs. */
#include "mb_executor.h"
#include "mb_fleet_internal.h"

/* Notes that a worker which started again under its name may hold a lease by
   the clock of its earlier incarnation, longer than those that this owner
   grants. Its agent ends the runs in time, unless it is frozen or gone. */
static void
note_earlier_lease(const mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
#ifndef MB_MUTANT_FLEET_EARLIER_LEASE_IGNORED
    uint64_t lease_us = MB_EXECUTOR_LEASE_MAX_MS * (uint64_t)MB_US_PER_MS;
    uint64_t end_us = mb_clock_us(&fleet->clock) + lease_us +
                      lease_us / MB_FLEET_CLOCK_DRIFT_DIVISOR +
                      MB_FLEET_LEASE_MARGIN_MS * (uint64_t)MB_US_PER_MS;
    worker->lease_end_us = MAX(worker->lease_end_us, end_us);
#endif
}

/* Applies the description of a worker. A new incarnation has run nothing yet:
   its health and the numbers of its ends start anew. */
static void
apply_worker_info(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                  const mb_worker_info_t *info)
{
    if (info->incarnation != worker->incarnation) {
        mb_log_notice(&fleet->log,
                      "worker incarnation changed worker=%.*s runs=%u "
                      "from=%016" G_GINT64_MODIFIER
                      "x to=%016" G_GINT64_MODIFIER "x",
                      MB_STR_ARG(info->name), worker->runs->len,
                      worker->incarnation, info->incarnation);
        if (worker->incarnation != 0 &&
            mb_str_equal(mb_buf_view(&worker->name), info->name)) {
            note_earlier_lease(fleet, worker);
        }
        mb_health_init(&worker->health);
        worker->incarnation = info->incarnation;
        worker->ends_applied = 0;
        worker->ends_being_stored = 0;
        worker->ends_stored = 0;
    }
    if (info->state != worker->state) {
        mb_log_notice(
            &fleet->log, "worker state changed worker=%.*s from=%d to=%d",
            MB_STR_ARG(info->name), (int)worker->state, (int)info->state);
        fleet->schedule_due = true;
    }
    worker->state = info->state;
    worker->capacity = info->capacity;
    mb_buf_set(&worker->name, info->name);
    mb_buf_set(&worker->service, info->service);
    mb_buf_set(&worker->rack, info->rack);
    mb_fleet_set_failure_domain(fleet, worker, info->failure_domain);
    worker->label_count = info->label_count;
    for (uint32_t i = 0; i < info->label_count; i++) {
        mb_buf_set(&worker->labels[i], info->labels[i]);
    }
}

/* Notes which process of the agent has made a report. */
static void
note_agent(const mb_fleet_t *fleet, mb_fleet_worker_t *worker,
           const mb_report_t *report)
{
    if (worker->agent_known_since_us != 0 &&
        report->agent_incarnation == worker->agent_incarnation) {
        return;
    }
    worker->agent_incarnation = report->agent_incarnation;
    worker->agent_known_since_us = mb_clock_us(&fleet->clock);
}

/* Tells whether a complete report contains all runs that are on record. */
static bool
has_all_runs(const mb_report_t *report, const mb_fleet_worker_t *worker)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        if (!mb_fleet_is_reported(
                report, &g_array_index(worker->runs, mb_fleet_run_t, i))) {
            return false;
        }
    }
    return true;
}

/* Ends the wait for a worker: every run that is there is on record. */
static void
end_wait(mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
    worker->report_unsettled = false;
    worker->may_have_former_runs = false;
    mb_fleet_release_absent_tasks(fleet, worker);
}

/* Concludes from a complete report that what it does not contain does not run
   there. Not before the agent's process is confirmed: an agent that was
   restarted may have obeyed a later owner, under which runs that are missing
   here have ended, and tasks that seem to wait are done. Nor while the worker
   has ends that it has not listed yet: an agent that was restarted does not
   know of their runs. */
static void
settle_runs(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
            const mb_report_t *report)
{
#ifndef MB_MUTANT_FLEET_CUT_ENDS_IGNORED
#ifndef MB_MUTANT_AGENT_CUT_LIST_BELIEVED
    if (report->ends_cut) {
        return;
    }
#endif
#endif
    if (!mb_fleet_agent_confirmed(fleet, worker)) {
        worker->report_unsettled = has_all_runs(report, worker);
        return;
    }
    mb_fleet_drop_unreported_runs(fleet, worker, report);
    end_wait(fleet, worker);
}

/* Ends the wait for workers whose latest report could not be believed when it
   arrived, and whose agent's process has been confirmed since. Nothing was
   started there meanwhile, so the report is still right. */
void
mb_fleet_settle_confirmed(mb_fleet_t *fleet)
{
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        if (worker->report_unsettled &&
            mb_fleet_agent_confirmed(fleet, worker)) {
            end_wait(fleet, worker);
            fleet->schedule_due = true;
        }
    }
}

/* Applies the ends of a report that comes before the complete one. The agent
   does not repeat them on this connection. */
static void
apply_early_ends(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                 const mb_report_t *report)
{
#ifdef MB_MUTANT_FLEET_EARLY_ENDS_IGNORED
    return;
#endif
    if (report->worker.incarnation == worker->incarnation) {
        mb_fleet_apply_ends(fleet, worker, report);
    }
    else if (report->ends->len > 0) {
        mb_log_warning(&fleet->log,
                       "ends ignored: an incomplete report is the first of "
                       "its worker's incarnation worker=%.*s ends=%u",
                       MB_STR_ARG(mb_buf_view(&worker->name)),
                       report->ends->len);
    }
}

/* Applies a report of the agent of a worker. The report is borrowed. Reports
   under another fencing token than this owner's are ignored, as the agent does
   not follow its orders yet. */
void
mb_fleet_handle_report(mb_fleet_t *fleet, uint32_t number,
                       const mb_report_t *report)
{
    mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, number);
    uint64_t now_us = mb_clock_us(&fleet->clock);
    if (!fleet->is_owner || report->token != fleet->token) {
        return;
    }
    /* The first report of a connection or an incarnation, or after the runs
       were given up, has to be complete: runs that it doesn't contain no
       longer exist. */
    bool same_incarnation = report->worker.incarnation == worker->incarnation;
    if (!report->complete && !(worker->runs_known && same_incarnation)) {
        apply_early_ends(fleet, worker, report);
        return;
    }
    note_agent(fleet, worker, report);
    worker->reported_us = now_us;
    worker->report_sequence = report->sequence;
    worker->reported_order_sequence = report->order_sequence;
    mb_fleet_majority_reported(worker, report->order_sequence);
    worker->agent_draining = report->draining;
    /* Orders that answer this report extend the lease from the time when it
       was sent, which is before now. */
    worker->lease_end_us =
        MAX(worker->lease_end_us, now_us + mb_fleet_max_lease_us());
    apply_worker_info(fleet, worker, &report->worker);
    mb_fleet_apply_ends(fleet, worker, report);
    mb_fleet_apply_refusals(fleet, worker, report);
    mb_fleet_apply_runs(fleet, worker, report);
    if (report->complete) {
        if (mb_fleet_has_recent_figures(report)) {
            mb_fleet_learn_headroom(fleet, worker, report);
        }
        settle_runs(fleet, worker, report);
        mb_fleet_set_throttles(fleet, worker);
        if (!worker->runs_known) {
            mb_log_info(
                &fleet->log,
                "worker reported its runs worker=%.*s service=%.*s runs=%u "
                "state=%d",
                MB_STR_ARG(report->worker.name),
                MB_STR_ARG(report->worker.service), worker->runs->len,
                (int)worker->state);
        }
        worker->runs_known = true;
        fleet->schedule_due = true;
    }
}
