/* How much filling work raises the latency of services beside it, learned
   from what they report. Each processor that a kind of filling work uses
   multiplies the latency of a kind of service by a factor of the pair; what is
   learned is its logarithm. mb_interference learns sums of slowdowns for
   whole tasks and few kinds, which does not fit latencies that grow many
   times over. Used on one thread. */
#ifndef MB_CONTENTION_H
#define MB_CONTENTION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Most kinds of filling work on one worker that are looked at. */
#define MB_CONTENTION_LOADS_MAX 32u

/* Filling work of one kind on a worker. */
typedef struct mb_contention_load {
    uint64_t kind;
    uint32_t cpu_milli; /* thousandths of a processor */
} mb_contention_load_t;

/* A service and the filling work beside it. */
typedef struct mb_contention_scene {
    uint64_t service;
    uint32_t count;
    mb_contention_load_t loads[MB_CONTENTION_LOADS_MAX];
} mb_contention_scene_t;

typedef struct mb_contention {
    GHashTable *pairs;
} mb_contention_t;

void mb_contention_init(mb_contention_t *contention);
void mb_contention_finish(mb_contention_t *contention);
/* Adds filling work to a scene; more kinds than fit are left out. */
void mb_contention_add(mb_contention_scene_t *scene, uint64_t kind,
                       uint32_t cpu_milli);
/* Halves what a scene holds, as figures of the last while lag behind what
   works now. */
void mb_contention_decay(mb_contention_scene_t *scene);
/* Learns from a latency and the one that the service has undisturbed, both in
   the same unit. */
void mb_contention_observe(mb_contention_t *contention,
                           const mb_contention_scene_t *scene,
                           uint32_t latency, uint32_t undisturbed);
/* Returns the factor by which a scene multiplies the latency. */
double mb_contention_predict(const mb_contention_t *contention,
                             const mb_contention_scene_t *scene);

#endif
