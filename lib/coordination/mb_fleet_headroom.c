/* Filling work beside services: what the reports teach of it, what a further
   task would do, and the pace at which those that run may work. Answers a load
   of services whose demand swings within seconds beside filling work of which
   some kinds disturb some services by much and most by little. */
#include <math.h>

#include "mb_fleet_internal.h"

/* Time in which an average of past filling work halves, in microseconds: a
   latency covers the last half second. */
#define AVERAGE_HALF_LIFE_US 250e3
/* Headroom that the pace of filling work leaves to a service, and the part of
   it that a service without filling work can be brought back to. */
#define PACE_HEADROOM 1.10
#define PACE_ATTAINABLE 0.95
/* Most headroom that is put down to filling work of which little is known, and
   the standard deviations by which it is taken to disturb more than
   expected. */
#define PACE_UNEXPLAINED_MAX 0.6
#define PACE_CAUTION 1.0
/* Least headroom that slowing down one run has to give back. */
#define PACE_GAIN_MIN 0.03
/* Paces are multiples of this; smaller changes are left out. In percent. */
#define PACE_STEP 20u
#define PACE_FULL 100u
/* Standard deviations by which a pair counts as worse than expected when
   filling work is placed. */
#define PLACE_CAUTION 0.4

/* Returns the service that a run gives; its kind of image and its users. */
static mb_contention_service_t
service_of(const mb_fleet_run_t *run)
{
    uint64_t job = mb_str_hash(mb_dag_id_view(&run->job->spec.id));
    uint64_t part = (uint64_t)run->occurrence * MB_DAG_STEPS_MAX + run->step;
    return (mb_contention_service_t){
        job ^ ((part + 1) * UINT64_C(0x9e3779b97f4a7c15)), run->image_hash};
}

/* Returns the latency target of a run; 0 if it serves nobody. */
static uint32_t
target_of(const mb_fleet_run_t *run)
{
    return run->job->steps[run->step].latency_target_ms;
}

/* Tells whether a run is filling work. */
static bool
fills(const mb_fleet_run_t *run)
{
    return run->job->steps[run->step].fills;
}

/* Returns the processors that a filling run uses at full pace, in
   thousandths. */
static uint32_t
use_of(const mb_fleet_run_t *run)
{
    return run->cpu_used_milli > 0 ? run->cpu_used_milli
                                   : run->job->steps[run->step].size.cpu_milli;
}

/* Notes what a filling run uses, as far as its pace lets it. */
static void
note_use(mb_fleet_run_t *run, const mb_report_run_t *listed)
{
    if (listed->pace == PACE_FULL && listed->value > 0) {
        run->cpu_used_milli = listed->value;
    }
}

/* Learns from the mean headroom of the tasks of one service on a worker, of
   which `first` is one. */
static void
observe_service(mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                const mb_fleet_run_t *first, double changed)
{
    mb_contention_service_t service = service_of(first);
    double sum = 0;
    uint32_t count = 0;
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (run->latency_ms > 0 && service_of(run).demand == service.demand) {
            sum += (double)target_of(run) / run->latency_ms;
            count++;
        }
    }
    mb_contention_observe(&fleet->headroom_model, &service,
                          &worker->recent_load, sum / count, changed,
                          mb_clock_us(&fleet->clock));
}

/* Learns from the latencies on a worker, service by service. */
static void
observe_services(mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                 double changed)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        bool is_first = run->latency_ms > 0;
        for (guint k = 0; k < i && is_first; k++) {
            const mb_fleet_run_t *other =
                &g_array_index(worker->runs, mb_fleet_run_t, k);
            is_first = other->latency_ms == 0 ||
                       service_of(other).demand != service_of(run).demand;
        }
        if (is_first) {
            observe_service(fleet, worker, run, changed);
        }
    }
}

/* Learns from a complete report. */
void
mb_fleet_learn_headroom(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                        const mb_report_t *report)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    double passed_us = (double)(now_us - worker->recent_load_us);
    mb_contention_scene_t present = {0};
    for (guint i = 0; i < report->runs->len; i++) {
        const mb_report_run_t *listed =
            &g_array_index(report->runs, mb_report_run_t, i);
        mb_fleet_run_t *run =
            mb_fleet_find_run(worker, &listed->task, listed->run);
        if (run == NULL) {
            continue;
        }
        run->latency_ms = target_of(run) > 0 ? listed->value : 0;
        if (fills(run)) {
            note_use(run, listed);
            mb_contention_add(&present, run->image_hash,
                              use_of(run) * listed->pace / PACE_FULL);
        }
    }
    double changed =
        mb_contention_blend(&worker->recent_load, &present,
                            1 - exp2(-passed_us / AVERAGE_HALF_LIFE_US));
    worker->recent_load_us = now_us;
    observe_services(fleet, worker, changed);
    mb_contention_fit(&fleet->headroom_model, now_us);
}

/* Returns the least headroom to expect of the services on a worker when
   filling work of a kind is added; INFINITY when there are none. */
double
mb_fleet_min_headroom_with(const mb_fleet_t *fleet,
                           const mb_fleet_worker_t *worker, uint64_t kind,
                           uint32_t cpu_milli)
{
    mb_contention_scene_t scene = {0};
    double least = INFINITY;
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (fills(run)) {
            mb_contention_add(&scene, run->image_hash, use_of(run));
        }
    }
    mb_contention_add(&scene, kind, cpu_milli);
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (target_of(run) == 0) {
            continue;
        }
        mb_contention_service_t service = service_of(run);
        double headroom =
            mb_contention_forecast(&fleet->headroom_model, &service) -
            mb_contention_loss(&fleet->headroom_model, service.kind, &scene,
                               PLACE_CAUTION);
        least = MIN(least, headroom);
    }
    return least;
}

/* Returns the headroom to expect of a service at the paces wanted. */
static double
headroom_at_paces(const mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                  const mb_contention_service_t *service)
{
    mb_contention_scene_t scene = {0};
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (fills(run)) {
            mb_contention_add(&scene, run->image_hash,
                              use_of(run) * run->target_throttle_percent /
                                  PACE_FULL);
        }
    }
    return mb_contention_undisturbed(&fleet->headroom_model, service) -
           mb_contention_loss(&fleet->headroom_model, service->kind, &scene,
                              0);
}

/* Returns the filling run that disturbs a service most for what it uses, among
   those that work; NULL when none is worth slowing down. */
static mb_fleet_run_t *
find_most_harmful(const mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                  uint64_t service_kind)
{
    mb_fleet_run_t *worst = NULL;
    double worst_slope = 0;
    for (guint i = 0; i < worker->runs->len; i++) {
        mb_fleet_run_t *run = &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (!fills(run) || run->target_throttle_percent == 0) {
            continue;
        }
        double slope =
            mb_contention_slope(&fleet->headroom_model, service_kind,
                                run->image_hash, PACE_CAUTION);
        if (slope * use_of(run) / 1000 >= PACE_GAIN_MIN &&
            slope > worst_slope) {
            worst = run;
            worst_slope = slope;
        }
    }
    return worst;
}

/* Returns by how much the headroom that a service reports falls short of what
   the filling work of the last while explains: one that was not seen beside
   the service before may disturb it. */
static double
unexplained_loss(const mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                 const mb_fleet_run_t *run,
                 const mb_contention_service_t *service)
{
    if (run->latency_ms == 0) {
        return 0;
    }
    double expected =
        mb_contention_undisturbed(&fleet->headroom_model, service) -
        mb_contention_loss(&fleet->headroom_model, service->kind,
                           &worker->recent_load, 0);
    double reported_headroom = (double)target_of(run) / run->latency_ms;
    return CLAMP(expected - reported_headroom, 0, PACE_UNEXPLAINED_MAX);
}

/* Slows filling work down until a service is expected to meet its target. */
static void
spare_service(const mb_fleet_t *fleet, mb_fleet_worker_t *worker,
              const mb_fleet_run_t *run)
{
    mb_contention_service_t service = service_of(run);
    double undisturbed =
        mb_contention_undisturbed(&fleet->headroom_model, &service);
    double goal = MIN(PACE_HEADROOM, PACE_ATTAINABLE * undisturbed) +
                  unexplained_loss(fleet, worker, run, &service);
    if (undisturbed <= 1) {
        /* It misses its target without filling work as well. */
        return;
    }
    for (guint i = 0; i < worker->runs->len; i++) {
        double lacking = goal - headroom_at_paces(fleet, worker, &service);
        mb_fleet_run_t *harmful =
            lacking <= 0 ? NULL
                         : find_most_harmful(fleet, worker, service.kind);
        if (harmful == NULL) {
            return;
        }
        double per_percent =
            mb_contention_slope(&fleet->headroom_model, service.kind,
                                harmful->image_hash, PACE_CAUTION) *
            use_of(harmful) / 1000 / PACE_FULL;
        double percent =
            harmful->target_throttle_percent - lacking / per_percent;
        harmful->target_throttle_percent =
            percent < PACE_STEP ? 0
                                : (uint32_t)percent / PACE_STEP * PACE_STEP;
    }
}

/* Orders the paces of filling work on a worker that differ from what is wanted
   now. */
void
mb_fleet_set_throttles(mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        g_array_index(worker->runs, mb_fleet_run_t, i)
            .target_throttle_percent = PACE_FULL;
    }
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (target_of(run) > 0) {
            spare_service(fleet, worker, run);
        }
    }
    for (guint i = 0; i < worker->runs->len; i++) {
        mb_fleet_run_t *run = &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (!fills(run) || !run->reported || run->stopping ||
            run->target_throttle_percent == run->ordered_throttle_percent) {
            continue;
        }
        mb_order_pace_t pace = {mb_fleet_run_task_id(run), run->number,
                                run->target_throttle_percent};
        run->ordered_throttle_percent = run->target_throttle_percent;
        g_array_append_val(worker->pending_order.paces, pace);
        worker->order_due = true;
    }
}
