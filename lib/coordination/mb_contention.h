/* How much filling work slows down the services beside it, learned from what
   they report. The headroom of a service is its latency target divided by its
   latency: 1 at the target, more below it. A latency grows as 1 / (1 - use),
   so headroom falls in proportion to the use: each processor that a kind of
   filling work uses takes an amount, the slope, from a kind of service. The
   demand of the users moves the headroom as well, and is shared by the tasks
   of one service. Both are fitted to the reports of the last while together.
   mb_slowdown learns slowdowns of whole tasks and few kinds, which does
   not fit latencies that grow many times over. Used on one thread. */
#ifndef MB_CONTENTION_H
#define MB_CONTENTION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Most kinds of filling work on one worker that are looked at. */
#define MB_CONTENTION_LOADS_MAX 32u
/* Most pairs of a service and filling work that are learned of. */
#define MB_CONTENTION_PAIRS_MAX 65536u
/* Most reports that are kept, and for how long, in microseconds. */
#define MB_CONTENTION_SAMPLES_MAX 6000u
#define MB_CONTENTION_WINDOW_US UINT64_C(40000000)

/* Filling work of one kind on a worker. */
typedef struct mb_contention_load {
    uint64_t kind;
    uint32_t cpu_milli; /* thousandths of a processor */
} mb_contention_load_t;

/* The filling work on a worker. */
typedef struct mb_contention_scene {
    uint32_t count;
    mb_contention_load_t loads[MB_CONTENTION_LOADS_MAX];
} mb_contention_scene_t;

/* One service as a task of it gives it. */
typedef struct mb_contention_service {
    uint64_t demand; /* tasks with the same number share their users */
    uint64_t kind;   /* tasks of the same kind are disturbed alike */
} mb_contention_service_t;

/* What is learned of one pair, for the next owner of the fleet. */
typedef struct mb_contention_pair {
    uint64_t key;    /* of the two kinds */
    double slope;    /* headroom that a processor takes */
    uint32_t weight; /* of the reports behind it */
} mb_contention_pair_t;

typedef struct mb_contention {
    GHashTable *pairs;
    GHashTable *demands;
    GQueue samples; /* oldest first */
    uint64_t fitted_us;
} mb_contention_t;

void mb_contention_init(mb_contention_t *contention);
void mb_contention_finish(mb_contention_t *contention);

/* Adds filling work to a scene; more kinds than fit are left out. */
void mb_contention_add(mb_contention_scene_t *scene, uint64_t kind,
                       uint32_t cpu_milli);
/* Moves an average of past scenes towards the present one by `weight`, from 0
   to 1: figures of latency cover the time that has passed. Returns by how many
   processors the two differed. */
double mb_contention_blend(mb_contention_scene_t *average,
                           const mb_contention_scene_t *present,
                           double weight);

/* Takes the headroom that a service reports beside a scene, which has just
   changed by `changed` processors. */
void mb_contention_observe(mb_contention_t *contention,
                           const mb_contention_service_t *service,
                           const mb_contention_scene_t *scene, double headroom,
                           double changed, uint64_t now_us);
/* Fits the estimates to the reports if that is due. */
void mb_contention_fit(mb_contention_t *contention, uint64_t now_us);

/* Appends what was learned of pairs to an array of mb_contention_pair_t, at
   most up to `max` of them. */
void mb_contention_export(const mb_contention_t *contention, GArray *pairs,
                          guint max);
/* Takes what an earlier owner learned of a pair; reports go on from there. */
void mb_contention_import(mb_contention_t *contention,
                          const mb_contention_pair_t *known);

/* Returns the headroom of a service without filling work. */
double mb_contention_undisturbed(const mb_contention_t *contention,
                                 const mb_contention_service_t *service);
/* Returns the least headroom that it is expected to have within the next
   second: not below what it had in the last while. */
double mb_contention_forecast(const mb_contention_t *contention,
                              const mb_contention_service_t *service);
/* Returns the headroom that one processor of filling work is expected to
   take. `caution` is the number of standard deviations added, so that pairs
   that were not seen together count as harmful. */
double mb_contention_slope(const mb_contention_t *contention,
                           uint64_t service_kind, uint64_t kind,
                           double caution);
/* Returns the headroom that a scene is expected to take; see above. */
double mb_contention_loss(const mb_contention_t *contention,
                          uint64_t service_kind,
                          const mb_contention_scene_t *scene, double caution);

#endif
