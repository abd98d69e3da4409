/* Applies the starts that agents and workers refuse. */
#include "mb_fleet_internal.h"

/* Delays the next attempt after a worker refused a start, according to the
   reason. A worker that is unhealthy or did not answer counts as failed, and
   the task may be started again at once, preferably elsewhere. A start that is
   invalid is the fault of the step. */
static void
delay_after_refusal(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                    const mb_fleet_run_t *run, mb_refusal_t reason)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    mb_dag_task_t *task = mb_fleet_run_task(run);
    if (reason == MB_REFUSAL_UNHEALTHY || reason == MB_REFUSAL_UNANSWERED) {
        mb_fleet_attribute_unhealthy(fleet, worker, run);
        task->last_failed_worker = worker->number + 1;
        return;
    }
    mb_health_abandoned(&worker->health, run->started_us);
    if (reason == MB_REFUSAL_INVALID) {
        mb_fleet_attribute_invalid(fleet, run);
        task->not_before_us = now_us + MB_US_PER_S;
    }
    else {
        task->not_before_us = now_us + MB_FLEET_RETRY_DELAY_MS * MB_US_PER_MS;
    }
}

/* Applies the refused starts of a report: their tasks wait again. */
void
mb_fleet_apply_refusals(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                        const mb_report_t *report)
{
    for (guint i = 0; i < report->refusals->len; i++) {
        const mb_report_refusal_t *refusal =
            &g_array_index(report->refusals, mb_report_refusal_t, i);
        mb_fleet_run_t *found =
            mb_fleet_find_run(worker, &refusal->task, refusal->run);
        fleet->counts.refusals[refusal->reason]++;
        if (found == NULL) {
            continue;
        }
        mb_fleet_run_t run = *found;
        mb_fleet_remove_run(fleet, worker, found);
        mb_fleet_mark_job_startable(fleet, run.job);
        if (run.job->steps[run.step].gang) {
            /* The other members would wait for the refused one until they
               time out. */
            mb_fleet_stop_gang(fleet, &run);
        }
        delay_after_refusal(fleet, worker, &run, refusal->reason);
        mb_log_info(
            &fleet->log,
            "start refused job=%.*s task=%u.%u.%u run=%" G_GUINT64_FORMAT
            " worker=%.*s reason=%s",
            MB_STR_ARG(mb_dag_id_view(&run.job->spec.id)), run.occurrence,
            run.step, run.index, run.number,
            MB_STR_ARG(mb_buf_view(&worker->name)),
            mb_refusal_name(refusal->reason));
    }
}
