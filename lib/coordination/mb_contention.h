/* Which filling work disturbs which services, learned from the latencies of
   services beside it. A pair is harmless up to some amount and ruins the
   latency beyond it, so what is learned is that amount, not a slope (which
   mb_interference learns). Answers a load of few kinds whose harm depends on
   the pair. Used on one thread. */
#ifndef MB_CONTENTION_H
#define MB_CONTENTION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Most kinds of filling work on one worker that are looked at. */
#define MB_CONTENTION_LOADS_MAX 32u
/* Share of its target, in thousandths, below which a service is calm, and
   above which it is disturbed. */
#define MB_CONTENTION_CALM_MILLI 600u
#define MB_CONTENTION_OVER_MILLI 900u
/* Half-life of what a calm service proves, in microseconds: its demand
   changes. */
#define MB_CONTENTION_CALM_US UINT64_C(8000000)
/* Time after which blame is forgotten, in microseconds. */
#define MB_CONTENTION_BLAME_US UINT64_C(30000000)
/* No bound is known. */
#define MB_CONTENTION_NO_LIMIT UINT32_MAX

/* Filling work of one kind on a worker. */
typedef struct mb_contention_load {
    uint64_t kind;
    uint32_t cpu_milli; /* at work, in thousandths of a processor */
} mb_contention_load_t;

typedef struct mb_contention {
    GHashTable *pairs;
} mb_contention_t;

void mb_contention_init(mb_contention_t *contention);
void mb_contention_finish(mb_contention_t *contention);
/* Takes the latency of a service, in thousandths of its target, beside some
   loads. Returns the load to blame, or `count` when there is none. */
uint32_t mb_contention_observe(mb_contention_t *contention, uint64_t service,
                               uint32_t latency_milli,
                               const mb_contention_load_t *loads,
                               uint32_t count, uint64_t now_us);
/* Takes blame that was found elsewhere: a service was disturbed beside so
   much filling work of a kind. */
void mb_contention_blame(mb_contention_t *contention, uint64_t service,
                         uint64_t kind, uint32_t cpu_milli, uint64_t now_us);
/* Returns how much filling work of a kind has been harmless to a service. */
uint32_t mb_contention_proven(const mb_contention_t *contention,
                              uint64_t service, uint64_t kind,
                              uint64_t now_us);
/* Returns how much filling work of a kind a service bears. */
uint32_t mb_contention_limit(const mb_contention_t *contention,
                             uint64_t service, uint64_t kind, uint64_t now_us);

#endif
