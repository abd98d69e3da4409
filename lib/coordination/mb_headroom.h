/* Estimates how much best-effort work reduces the latency headroom of the
   service tasks on the same worker, from their latency reports. The headroom
   of a service is its latency target divided by its latency: 1 at the target,
   more than 1 while the target is met. A latency grows as 1 / (1 -
   utilization), so headroom falls linearly with utilization. The model is a
   linear regression:
   headroom = baseline - sum of slope * processors
   where the sum is over the kinds of best-effort work on the worker. A slope
   belongs to a pair, a kind of service and a kind of best-effort work: it is
   the headroom that the service loses for each processor that the work uses.
   The baseline is the headroom without best-effort work; it varies over time
   with the request load and is common to all tasks of a service. Baselines and
   slopes are fitted together to the samples of a sliding window.
   Used by the owner of the fleet, on one thread, to throttle best-effort work
   and to choose its workers (mb_fleet_headroom.c); kinds are hashes of images.
   The owners of shards use mb_slowdown instead, which estimates slowdowns of
   whole tasks of a few kinds and does not fit latencies that can grow many
   times over. */
#ifndef MB_HEADROOM_H
#define MB_HEADROOM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Maximum number of kinds of best-effort work considered on one worker. */
#define MB_HEADROOM_LOAD_KINDS_MAX 32u
/* Maximum number of pairs with an estimate. */
#define MB_HEADROOM_PAIRS_MAX 65536u
/* Size of the sliding window: maximum number of samples, and their maximum age
   in microseconds. */
#define MB_HEADROOM_SAMPLES_MAX 6000u
#define MB_HEADROOM_WINDOW_US UINT64_C(40000000)

/* The processors that one kind of best-effort work uses on a worker. */
typedef struct mb_headroom_load_entry {
    uint64_t kind;
    uint32_t cpu_milli; /* thousandths of a processor */
} mb_headroom_load_entry_t;

/* The best-effort load on a worker, by kind. */
typedef struct mb_headroom_load {
    uint32_t count;
    mb_headroom_load_entry_t entries[MB_HEADROOM_LOAD_KINDS_MAX];
} mb_headroom_load_t;

/* Identifies a service task in the model. */
typedef struct mb_headroom_service {
    uint64_t service_id; /* tasks with the same id share a baseline */
    uint64_t kind;       /* tasks of the same kind share slopes */
} mb_headroom_service_t;

/* The estimate of one pair, stored for the next owner of the fleet. */
typedef struct mb_headroom_pair {
    uint64_t key;    /* hash of the kinds of service and work */
    double slope;    /* headroom lost per processor */
    uint32_t weight; /* sum of sample weights, as confidence */
} mb_headroom_pair_t;

/* What the model knows of a pair, for the log. */
typedef struct mb_headroom_estimate {
    double slope;
    double weight;
    uint32_t samples; /* of this owner since it began */
    bool inherited;   /* a former owner's estimate was its first value */
} mb_headroom_estimate_t;

typedef struct mb_headroom {
    GHashTable *pairs;     /* estimates by pair key */
    GHashTable *baselines; /* by service_id */
    GQueue samples;        /* sample_t, oldest first */
    uint64_t last_fit_us;
} mb_headroom_t;

void mb_headroom_init(mb_headroom_t *model);
void mb_headroom_finish(mb_headroom_t *model);

/* Adds `cpu_milli` of best-effort work of a kind to a load, which is
   zero-initialized when empty. Kinds beyond MB_HEADROOM_LOAD_KINDS_MAX are
   ignored. */
void mb_headroom_load_add(mb_headroom_load_t *load, uint64_t kind,
                          uint32_t cpu_milli);
/* Moves a moving average of past loads towards the present one by `weight`,
   from 0 to 1. The average is needed because a reported latency covers the
   time that has just passed. Returns the difference between the two loads
   before the update, in processors. */
double mb_headroom_load_smooth(mb_headroom_load_t *average,
                               const mb_headroom_load_t *present,
                               double weight);

/* Adds a sample: the headroom that a service reports while the best-effort
   load `load` runs on its worker. `changed` is the number of processors by
   which that load has just changed; it lowers the weight of the sample. */
void mb_headroom_observe(mb_headroom_t *model,
                         const mb_headroom_service_t *service,
                         const mb_headroom_load_t *load, double headroom,
                         double changed, uint64_t now_us);
/* Updates the estimates from the samples, if the last update is long enough
   ago. */
void mb_headroom_fit(mb_headroom_t *model, uint64_t now_us);

/* Appends the estimates of pairs to `pairs`, an array of mb_headroom_pair_t,
   until it holds `max` elements. */
void mb_headroom_export(const mb_headroom_t *model, GArray *pairs, guint max);
/* Sets the estimate of a pair, and its prior, to the estimate of a former
   owner. Later samples refine it. */
void mb_headroom_import(mb_headroom_t *model,
                        const mb_headroom_pair_t *learned);

/* Returns the present baseline of a service, or a default if it has no
   samples. */
double mb_headroom_baseline(const mb_headroom_t *model,
                            const mb_headroom_service_t *service);
/* Returns a lower estimate of the baseline for the next second: the lowest
   value within the window, but not further below the present value than a
   baseline usually falls in that time. */
double mb_headroom_baseline_forecast(const mb_headroom_t *model,
                                     const mb_headroom_service_t *service);
/* Returns the headroom that one processor of a kind of best-effort work is
   expected to take from a kind of service. `deviations` is the number of
   standard deviations added to the mean, so that pairs with few samples
   together count as harmful. */
double mb_headroom_slope(const mb_headroom_t *model, uint64_t service_kind,
                         uint64_t kind, double deviations);
/* Returns the estimate of a pair, or the prior if it has no samples. */
mb_headroom_estimate_t mb_headroom_estimate(const mb_headroom_t *model,
                                            uint64_t service_kind,
                                            uint64_t kind);
/* Returns the headroom that a best-effort load is expected to take from a kind
   of service. `deviations` is as for mb_headroom_slope. */
double mb_headroom_loss(const mb_headroom_t *model, uint64_t service_kind,
                        const mb_headroom_load_t *load, double deviations);

#endif
