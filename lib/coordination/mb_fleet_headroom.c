/* Protection of service tasks from best-effort runs on the same worker. The
   headroom of a service task is its latency target divided by its latency.
   Feeds the headroom model with the reports, predicts the headroom with a
   further best-effort task for placement, and throttles best-effort runs so
   that services keep their targets. Meant for services whose load changes
   within seconds, beside best-effort work of which a few kinds disturb a few
   services a lot and most kinds disturb little. */
#include <math.h>

#include "mb_fleet_internal.h"

/* Half-life of the moving average of the best-effort load, in microseconds. A
   reported latency covers the last half second. */
#define AVERAGE_HALF_LIFE_US 250e3
/* Headroom that throttles aim to leave to a service: GOAL_HEADROOM, but no
   more than GOAL_HEADROOM_SHARE of its headroom without best-effort runs, as
   throttling them can't restore more than that. */
#define GOAL_HEADROOM 1.10
#define GOAL_HEADROOM_SHARE 0.95
/* Upper limit of a loss of headroom that the model does not explain and that
   is attributed to best-effort runs of which little is known. */
#define UNEXPLAINED_LOSS_MAX 0.6
/* Standard deviations that are added to the expected loss per processor when
   runs are throttled, so that images of which little is known count as more
   harmful. */
#define THROTTLE_CAUTION 1.0
/* A run is throttled only if stopping it would restore at least this much
   headroom. */
#define THROTTLE_GAIN_MIN 0.03
/* Throttles below full speed are multiples of this, in percent, so that small
   changes are not ordered. */
#define THROTTLE_STEP_PERCENT 20u
#define FULL_SPEED_PERCENT 100u
/* As THROTTLE_CAUTION, when the worker for a best-effort task is chosen. */
#define PLACEMENT_CAUTION 0.4

/* Returns the service that a service task belongs to, as the headroom model
   identifies it: the tasks of one step and occurrence share their request
   load, and tasks of one image are disturbed alike. */
static mb_headroom_service_t
get_service(const mb_fleet_run_t *run)
{
    uint64_t job_hash = mb_str_hash(mb_dag_id_view(&run->job->spec.id));
    uint64_t step_number =
        (uint64_t)run->occurrence * MB_DAG_STEPS_MAX + run->step;
    return (mb_headroom_service_t){
        job_hash ^ ((step_number + 1) * UINT64_C(0x9e3779b97f4a7c15)),
        run->image_hash};
}

/* Returns the latency target of a run, or 0 if it has none. */
static uint32_t
get_latency_target_ms(const mb_fleet_run_t *run)
{
    return run->job->steps[run->step].latency_target_ms;
}

/* Tells whether a run is best-effort. */
static bool
is_best_effort(const mb_fleet_run_t *run)
{
    return run->job->steps[run->step].best_effort;
}

/* Returns the processors that a best-effort run uses at full speed, in
   thousandths: as reported last, or as declared before the first report. */
static uint32_t
get_full_speed_cpu_milli(const mb_fleet_run_t *run)
{
    return run->cpu_used_milli > 0 ? run->cpu_used_milli
                                   : run->job->steps[run->step].size.cpu_milli;
}

/* Records the reported processor use of a best-effort run. Use under a
   throttle is ignored, as it is not that at full speed. */
static void
update_cpu_use(mb_fleet_run_t *run, const mb_report_run_t *entry)
{
    if (entry->throttle_percent == FULL_SPEED_PERCENT && entry->value > 0) {
        run->cpu_used_milli = entry->value;
    }
}

/* Gives the headroom model a sample for one service on a worker: the mean
   headroom of its tasks there, of which `first` is one. `changed_cpus` is the
   recent change of the best-effort load, which makes the sample less certain.
   */
static void
observe_service(mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                const mb_fleet_run_t *first, double changed_cpus)
{
    mb_headroom_service_t service = get_service(first);
    double sum = 0;
    uint32_t count = 0;
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (run->latency_ms > 0 &&
            get_service(run).service_id == service.service_id) {
            sum += (double)get_latency_target_ms(run) / run->latency_ms;
            count++;
        }
    }
    mb_headroom_observe(&fleet->headroom_model, &service, &worker->recent_load,
                        sum / count, changed_cpus, mb_clock_us(&fleet->clock));
}

/* Gives the headroom model one sample for each service on a worker. */
static void
observe_services(mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                 double changed_cpus)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        bool is_first = run->latency_ms > 0;
        for (guint k = 0; k < i && is_first; k++) {
            const mb_fleet_run_t *other =
                &g_array_index(worker->runs, mb_fleet_run_t, k);
            is_first =
                other->latency_ms == 0 ||
                get_service(other).service_id != get_service(run).service_id;
        }
        if (is_first) {
            observe_service(fleet, worker, run, changed_cpus);
        }
    }
}

/* Updates latencies, processor use and the average best-effort load of a
   worker from a complete report, and trains the headroom model with them. */
void
mb_fleet_learn_headroom(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                        const mb_report_t *report)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    double elapsed_us = (double)(now_us - worker->recent_load_us);
    mb_headroom_load_t current_load = {0};
    for (guint i = 0; i < report->runs->len; i++) {
        const mb_report_run_t *entry =
            &g_array_index(report->runs, mb_report_run_t, i);
        mb_fleet_run_t *run =
            mb_fleet_find_run(worker, &entry->task, entry->run);
        if (run == NULL) {
            continue;
        }
        run->latency_ms = get_latency_target_ms(run) > 0 ? entry->value : 0;
        if (is_best_effort(run)) {
            update_cpu_use(run, entry);
            mb_headroom_load_add(&current_load, run->image_hash,
                                 get_full_speed_cpu_milli(run) *
                                     entry->throttle_percent /
                                     FULL_SPEED_PERCENT);
        }
    }
    double changed_cpus =
        mb_headroom_load_smooth(&worker->recent_load, &current_load,
                                1 - exp2(-elapsed_us / AVERAGE_HALF_LIFE_US));
    worker->recent_load_us = now_us;
    observe_services(fleet, worker, changed_cpus);
    mb_headroom_fit(&fleet->headroom_model, now_us);
}

/* Returns a best-effort run of a kind of work on a worker, or NULL. */
static const mb_fleet_run_t *
find_run_of_kind(const mb_fleet_worker_t *worker, uint64_t image_hash)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (is_best_effort(run) && run->image_hash == image_hash) {
            return run;
        }
    }
    return NULL;
}

/* Returns what the model expects of a service task; see the header. Kinds of
   work that have just ended are part of the loss, but not the worst one. */
mb_fleet_expected_headroom_t
mb_fleet_expected_headroom(const mb_fleet_t *fleet,
                           const mb_fleet_worker_t *worker,
                           const mb_fleet_run_t *service_run)
{
    const mb_headroom_t *model = &fleet->headroom_model;
    const mb_headroom_load_t *load = &worker->recent_load;
    mb_headroom_service_t service = get_service(service_run);
    mb_fleet_expected_headroom_t expected = {
        .undisturbed = mb_headroom_baseline(model, &service),
        .loss = mb_headroom_loss(model, service.kind, load, 0)};
    double worst_loss = -1;
    for (uint32_t i = 0; i < load->count; i++) {
        const mb_headroom_load_entry_t *entry = &load->entries[i];
        const mb_fleet_run_t *run = find_run_of_kind(worker, entry->kind);
        mb_headroom_estimate_t estimate =
            mb_headroom_estimate(model, service.kind, entry->kind);
        double loss = estimate.slope * entry->cpu_milli;
        if (run != NULL && loss > worst_loss) {
            worst_loss = loss;
            expected.worst = run;
            expected.worst_cpu_milli = entry->cpu_milli;
            expected.worst_estimate = estimate;
        }
    }
    return expected;
}

/* Returns the lowest headroom to expect of the service tasks on a worker if a
   best-effort task of an image that uses `cpu_milli` thousandths of a
   processor is added. Returns INFINITY if there are no service tasks. */
double
mb_fleet_min_headroom_with(const mb_fleet_t *fleet,
                           const mb_fleet_worker_t *worker,
                           uint64_t image_hash, uint32_t cpu_milli)
{
    mb_headroom_load_t load = {0};
    double least = INFINITY;
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (is_best_effort(run)) {
            mb_headroom_load_add(&load, run->image_hash,
                                 get_full_speed_cpu_milli(run));
        }
    }
    mb_headroom_load_add(&load, image_hash, cpu_milli);
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (get_latency_target_ms(run) == 0) {
            continue;
        }
        mb_headroom_service_t service = get_service(run);
        double headroom =
            mb_headroom_baseline_forecast(&fleet->headroom_model, &service) -
            mb_headroom_loss(&fleet->headroom_model, service.kind, &load,
                             PLACEMENT_CAUTION);
        least = MIN(least, headroom);
    }
    return least;
}

/* Returns the headroom to expect of a service with the best-effort runs of the
   worker at their target throttles. */
static double
headroom_at_target_throttles(const mb_fleet_t *fleet,
                             const mb_fleet_worker_t *worker,
                             const mb_headroom_service_t *service)
{
    mb_headroom_load_t load = {0};
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (is_best_effort(run)) {
            mb_headroom_load_add(&load, run->image_hash,
                                 get_full_speed_cpu_milli(run) *
                                     run->target_throttle_percent /
                                     FULL_SPEED_PERCENT);
        }
    }
    return mb_headroom_baseline(&fleet->headroom_model, service) -
           mb_headroom_loss(&fleet->headroom_model, service->kind, &load, 0);
}

/* Returns the best-effort run that costs a service the most headroom per
   processor, among those not yet stopped by their target throttle. Returns
   NULL if throttling none of them would restore enough headroom. */
static mb_fleet_run_t *
find_most_harmful(const mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                  uint64_t service_image_hash)
{
    mb_fleet_run_t *worst = NULL;
    double worst_slope = 0;
    for (guint i = 0; i < worker->runs->len; i++) {
        mb_fleet_run_t *run = &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (!is_best_effort(run) || run->target_throttle_percent == 0) {
            continue;
        }
        double slope =
            mb_headroom_slope(&fleet->headroom_model, service_image_hash,
                              run->image_hash, THROTTLE_CAUTION);
        if (slope * get_full_speed_cpu_milli(run) / 1000 >=
                THROTTLE_GAIN_MIN &&
            slope > worst_slope) {
            worst = run;
            worst_slope = slope;
        }
    }
    return worst;
}

/* Returns by how much the reported headroom of a service task is lower than
   the model expects with the recent best-effort load. A best-effort run that
   has not been seen beside the service before may be the cause. */
static double
unexplained_loss(const mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                 const mb_fleet_run_t *run,
                 const mb_headroom_service_t *service)
{
    if (run->latency_ms == 0) {
        return 0;
    }
    double expected = mb_headroom_baseline(&fleet->headroom_model, service) -
                      mb_headroom_loss(&fleet->headroom_model, service->kind,
                                       &worker->recent_load, 0);
    double reported_headroom =
        (double)get_latency_target_ms(run) / run->latency_ms;
    return CLAMP(expected - reported_headroom, 0, UNEXPLAINED_LOSS_MAX);
}

/* Lowers the target throttles of best-effort runs, the most harmful one first,
   until a service task is expected to have its goal headroom. */
static void
protect_service(const mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                const mb_fleet_run_t *run)
{
    mb_headroom_service_t service = get_service(run);
    double undisturbed =
        mb_headroom_baseline(&fleet->headroom_model, &service);
    double goal = MIN(GOAL_HEADROOM, GOAL_HEADROOM_SHARE * undisturbed) +
                  unexplained_loss(fleet, worker, run, &service);
    if (undisturbed <= 1) {
        /* It misses its target even without best-effort runs. */
        return;
    }
    for (guint i = 0; i < worker->runs->len; i++) {
        double shortfall =
            goal - headroom_at_target_throttles(fleet, worker, &service);
        mb_fleet_run_t *harmful =
            shortfall <= 0 ? NULL
                           : find_most_harmful(fleet, worker, service.kind);
        if (harmful == NULL) {
            return;
        }
        double gain_per_percent =
            mb_headroom_slope(&fleet->headroom_model, service.kind,
                              harmful->image_hash, THROTTLE_CAUTION) *
            get_full_speed_cpu_milli(harmful) / 1000 / FULL_SPEED_PERCENT;
        double percent =
            harmful->target_throttle_percent - shortfall / gain_per_percent;
        harmful->target_throttle_percent = percent < THROTTLE_STEP_PERCENT
                                               ? 0
                                               : (uint32_t)percent /
                                                     THROTTLE_STEP_PERCENT *
                                                     THROTTLE_STEP_PERCENT;
    }
}

/* Computes the target throttles of the best-effort runs on a worker and orders
   those that differ from what was ordered last. */
void
mb_fleet_set_throttles(mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        g_array_index(worker->runs, mb_fleet_run_t, i)
            .target_throttle_percent = FULL_SPEED_PERCENT;
    }
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (get_latency_target_ms(run) > 0) {
            protect_service(fleet, worker, run);
        }
    }
    for (guint i = 0; i < worker->runs->len; i++) {
        mb_fleet_run_t *run = &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (!is_best_effort(run) || !run->confirmed || run->stopping ||
            run->target_throttle_percent == run->ordered_throttle_percent) {
            continue;
        }
        mb_order_throttle_t throttle = {mb_fleet_run_task_id(run), run->number,
                                        run->target_throttle_percent};
        run->ordered_throttle_percent = run->target_throttle_percent;
        mb_fleet_order_throttle(fleet, worker, &throttle);
    }
}
