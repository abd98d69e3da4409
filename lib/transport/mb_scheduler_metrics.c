/* The metrics of a scheduler. */
#include "mb_cleanup.h"
#include "mb_prometheus.h"
#include "mb_scheduler_internal.h"

/* Time between two ticks from which on a delay of the loop is logged, in
   milliseconds. */
#define LATE_TICK_MS 500

/* Registers the metrics. */
void
mb_scheduler_add_metrics(mb_scheduler_node_t *node)
{
    mb_counters_t *counters = node->counters;
    node->metrics = (mb_scheduler_metrics_t){
        .accepted = mb_counters_add(counters, MB_METRIC_COUNTER,
                                    "mb_jobs_accepted_total",
                                    "Jobs answered as stored"),
        .rejected = mb_counters_add(counters, MB_METRIC_COUNTER,
                                    "mb_jobs_rejected_total",
                                    "Jobs rejected as not stored"),
        .unknown = mb_counters_add(counters, MB_METRIC_COUNTER,
                                   "mb_jobs_unknown_total",
                                   "Jobs answered with an unknown outcome"),
        .accept_us =
            mb_counters_add(counters, MB_METRIC_HISTOGRAM, "mb_job_accept_us",
                            "Time from a job to its answer"),
        .owner = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_fleet_owner",
                                 "1 while this process owns the fleet"),
        .running = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_runs",
                                   "Runs that hold a worker"),
        .starts = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_run_starts",
                                  "Runs started by this process"),
        .lost_runs = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_runs_lost",
                                     "Runs given up without an end"),
        .uncounted_ends = mb_counters_add(
            counters, MB_METRIC_GAUGE, "mb_run_ends_not_counted",
            "Ends of runs that did not count; the log line \"end\" says why"),
        .repeated_successes = mb_counters_add(
            counters, MB_METRIC_GAUGE, "mb_run_successes_repeated",
            "Successes of tasks that had succeeded before"),
        .stalls = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_runs_stalled",
                                  "Runs stopped without progress"),
        .copies_started = mb_counters_add(
            counters, MB_METRIC_GAUGE, "mb_copies_started",
            "Second runs of stragglers started by this process"),
        .copies_won =
            mb_counters_add(counters, MB_METRIC_GAUGE, "mb_copies_won",
                            "Second runs of stragglers whose success counted"),
        .copies_wasted = mb_counters_add(
            counters, MB_METRIC_GAUGE, "mb_copies_wasted",
            "Second runs of stragglers that ended and did not count"),
        .faulty_steps = mb_counters_add(
            counters, MB_METRIC_GAUGE, "mb_steps_at_fault",
            "Times that failures were attributed to a step of a job"),
        .held_tasks = mb_counters_add(
            counters, MB_METRIC_GAUGE, "mb_tasks_held",
            "Tasks that wait for workers that have not reported"),
        .appends = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_log_appends",
                                   "Appends sent to the log"),
        .reads = mb_counters_add(counters, MB_METRIC_GAUGE, "mb_log_reads",
                                 "Reads sent to the log"),
        .config_version =
            mb_counters_add(counters, MB_METRIC_GAUGE, "mb_config_version",
                            "Version of the configuration in force"),
        .failed_reads =
            mb_counters_add(counters, MB_METRIC_GAUGE, "mb_log_failed_reads",
                            "Reads of the log that failed"),
        .config_age_ms = mb_counters_add(
            counters, MB_METRIC_GAUGE, "mb_config_age_ms",
            "Time since the configuration was known to be the newest"),
        .request_config_age_us = mb_counters_add(
            counters, MB_METRIC_HISTOGRAM, "mb_request_config_age_us",
            "Age of the configuration that decided a request"),
        .unknown_queue = mb_counters_add(
            counters, MB_METRIC_COUNTER, "mb_requests_unknown_queue_total",
            "Requests for a queue that does not exist"),
        .tick_gap_us =
            mb_counters_add(counters, MB_METRIC_HISTOGRAM, "mb_tick_gap_us",
                            "Time between two ticks of the event loop"),
        .evacuated_domains =
            mb_counters_add(counters, MB_METRIC_GAUGE, "mb_evacuated_domains",
                            "Failure domains that are evacuated"),
        .evacuated_workers =
            mb_counters_add(counters, MB_METRIC_GAUGE, "mb_evacuated_workers",
                            "Workers in evacuated domains"),
        .evacuated_runs =
            mb_counters_add(counters, MB_METRIC_GAUGE, "mb_evacuated_runs",
                            "Runs on workers in evacuated domains"),
        .evacuated_tasks = mb_counters_add(
            counters, MB_METRIC_GAUGE, "mb_evacuated_tasks_waiting",
            "Tasks without a worker whose service has evacuated workers"),
        .starts_withheld = mb_counters_add(
            counters, MB_METRIC_GAUGE, "mb_starts_withheld",
            "1 while nothing starts because evacuations may be unknown"),
        .dropped_starts =
            mb_counters_add(counters, MB_METRIC_GAUGE, "mb_run_starts_dropped",
                            "Starts that were dropped before they were sent"),
        .rejected_memory = mb_counters_add(
            counters, MB_METRIC_COUNTER, "mb_jobs_rejected_memory_total",
            "Jobs rejected because there is no memory for them"),
        .jobs_weight =
            mb_counters_add(counters, MB_METRIC_GAUGE, "mb_jobs_weight_bytes",
                            "Memory set aside for the jobs of the log"),
        .jobs_weight_limit = mb_counters_add(
            counters, MB_METRIC_GAUGE, "mb_jobs_weight_limit_bytes",
            "Memory up to which new jobs are accepted; 0: not limited"),
        .jobs_set_aside =
            mb_counters_add(counters, MB_METRIC_GAUGE, "mb_jobs_set_aside",
                            "Jobs of the log that this process can't hold"),
        .rejected_backlog = mb_counters_add(
            counters, MB_METRIC_COUNTER, "mb_jobs_rejected_backlog_total",
            "Jobs rejected because of the backlog"),
        .admitted_by_share = mb_counters_add(
            counters, MB_METRIC_COUNTER, "mb_jobs_admitted_by_share_total",
            "Jobs admitted against the forecast, by the share of a queue"),
        .backlog_work_ms =
            mb_counters_add(counters, MB_METRIC_GAUGE, "mb_backlog_work_ms",
                            "Work of the forecast, in processor ms"),
        .backlog_rate_milli =
            mb_counters_add(counters, MB_METRIC_GAUGE, "mb_backlog_rate_milli",
                            "Rate at which it is finished, in 1/1000 "
                            "processor"),
        .backlog_age_ms =
            mb_counters_add(counters, MB_METRIC_GAUGE, "mb_backlog_age_ms",
                            "Age of the forecast; 0: there is none")};
}

/* Answers a request for the metrics, on an HTTP thread. */
void
mb_scheduler_handle_metrics(void *context, mb_http_exchange_t *exchange)
{
    mb_scheduler_node_t *node = context;
    MB_AUTO_BUF mb_buf_t body = {0};
    if (mb_scheduler_handle_evacuations(node, exchange) ||
        mb_scheduler_handle_where(node, exchange)) {
        return;
    }
    mb_prometheus_write(node->counters, &body);
    mb_scheduler_backlog_write_metrics(node, &body);
    mb_http_respond(exchange, 200, NULL, mb_buf_view(&body));
}

/* Returns the number of reported ends of runs that did not count. */
static uint64_t
sum_uncounted_ends(const mb_fleet_counts_t *counts)
{
    uint64_t sum = 0;
    for (uint32_t i = 0; i < MB_FLEET_END_EFFECT_COUNT; i++) {
        sum += i == MB_FLEET_END_COUNTED ? 0 : counts->end_effects[i];
    }
    return sum;
}

/* Updates the metrics of evacuated failure domains. What concerns workers and
   tasks is known to the owner only. */
static void
update_evacuation_metrics(mb_scheduler_node_t *node)
{
    const mb_fleet_t *fleet = &node->fleet;
    bool owner = mb_fleet_is_owner(fleet);
    mb_gauge_set(node->metrics.evacuated_domains, node->evacuation.evacuated);
    mb_gauge_set(node->metrics.evacuated_workers,
                 owner ? fleet->evacuated_workers : 0);
    mb_gauge_set(node->metrics.evacuated_runs,
                 owner ? fleet->evacuated_runs : 0);
    mb_gauge_set(node->metrics.evacuated_tasks,
                 owner ? fleet->evacuated_tasks : 0);
    mb_gauge_set(node->metrics.starts_withheld,
                 owner && fleet->starts_withheld);
    mb_gauge_set(node->metrics.dropped_starts, fleet->counts.dropped_starts);
}

/* Copies the counters that other modules keep to the metrics. */
void
mb_scheduler_update_metrics(mb_scheduler_node_t *node)
{
    mb_gauge_set(node->metrics.config_age_ms,
                 mb_config_reader_age_us(&node->configs) / MB_US_PER_MS);
    mb_gauge_set(node->metrics.failed_reads,
                 node->jobs.failed_reads +
                     node->configs.follower.failed_reads);
    mb_gauge_set(node->metrics.running, node->fleet.running);
    mb_gauge_set(node->metrics.starts, node->fleet.counts.starts);
    mb_gauge_set(node->metrics.held_tasks,
                 mb_fleet_is_owner(&node->fleet) ? node->fleet.held_tasks : 0);
    mb_gauge_set(node->metrics.lost_runs, node->fleet.counts.lost_runs);
    mb_gauge_set(node->metrics.uncounted_ends,
                 sum_uncounted_ends(&node->fleet.counts));
    mb_gauge_set(node->metrics.repeated_successes,
                 node->fleet.counts.repeated_successes);
    mb_gauge_set(node->metrics.stalls, node->fleet.counts.stalls);
    mb_gauge_set(node->metrics.copies_started,
                 node->fleet.counts.copies_started);
    mb_gauge_set(node->metrics.copies_won, node->fleet.counts.copies_won);
    mb_gauge_set(node->metrics.copies_wasted,
                 node->fleet.counts.copies_ended -
                     node->fleet.counts.copies_won);
    mb_gauge_set(node->metrics.faulty_steps, node->fleet.counts.faulty_steps);
    mb_gauge_set(node->metrics.appends,
                 node->journal.appends + (node->owner_journal != NULL
                                              ? node->owner_journal->appends
                                              : 0));
    mb_gauge_set(node->metrics.reads,
                 node->jobs.reads + node->configs.follower.reads);
    update_evacuation_metrics(node);
    mb_scheduler_update_backlog_metrics(node);
}

/* Records the time since the previous tick, which is longer than TICK_MS when
   the thread of the loop is short of processor time or was suspended. */
void
mb_scheduler_note_tick(mb_scheduler_node_t *node)
{
    uint64_t now_us = mb_clock_us(&node->clock);
    uint64_t gap_us =
        node->last_tick_us == 0 ? 0 : now_us - node->last_tick_us;
    node->last_tick_us = now_us;
    mb_histogram_record(node->metrics.tick_gap_us, gap_us);
    if (gap_us >= LATE_TICK_MS * (uint64_t)MB_US_PER_MS) {
        mb_log_notice(&node->log,
                      "event loop delayed gap_ms=%" G_GUINT64_FORMAT,
                      gap_us / MB_US_PER_MS);
    }
}
