/* How much each kind of filling work may do on one worker, so that the
   services beside it keep their latency targets. The kind to blame is slowed
   down fast and sped up slowly; a miss that goes on without any filling work
   is not its fault. Answers a load of services whose demand swings within
   seconds. Used on one thread. */
#ifndef MB_PACING_H
#define MB_PACING_H

#include "mb_contention.h"

/* Least time between two falls, in microseconds: a latency covers the last
   half second, and a pace takes a tenth to act. */
#define MB_PACING_FALL_US UINT64_C(350000)
/* Time without blame after which a kind is sped up by a step, in
   microseconds. */
#define MB_PACING_RISE_US UINT64_C(800000)
/* Time without filling work after which a miss is not its fault, and how long
   it then works on before the next trial, in microseconds. */
#define MB_PACING_TRIAL_US UINT64_C(1000000)
#define MB_PACING_CLEARED_US UINT64_C(2000000)
/* Steps of the pace, in percent. */
#define MB_PACING_RISE_PERCENT 25u
#define MB_PACING_CLEARED_PERCENT 60u

/* One kind of filling work. */
typedef struct mb_pacing_kind {
    uint64_t kind;
    uint32_t percent;
    uint64_t changed_us;
} mb_pacing_kind_t;

typedef struct mb_pacing {
    mb_contention_t contention;
    uint32_t count;
    mb_pacing_kind_t kinds[MB_CONTENTION_LOADS_MAX];
    uint64_t fallen_us;  /* latest fall */
    uint64_t blind_us;   /* since then no filling work is at work; 0: it is */
    uint64_t cleared_us; /* until then misses are not its fault */
} mb_pacing_t;

void mb_pacing_init(mb_pacing_t *pacing);
void mb_pacing_finish(mb_pacing_t *pacing);
void mb_pacing_reset(mb_pacing_t *pacing);
/* Takes the latency of one service, in thousandths of its target, beside the
   kinds at work. Returns the load that was blamed and slowed down, or
   `count` when there is none. */
uint32_t mb_pacing_observe(mb_pacing_t *pacing, uint64_t service,
                       uint32_t latency_milli,
                       const mb_contention_load_t *loads, uint32_t count,
                       uint64_t now_us);
/* Speeds up what was not blamed for a while; after the services were
   observed. */
void mb_pacing_relax(mb_pacing_t *pacing, uint64_t now_us);
/* Returns the pace of a kind, in percent. */
uint32_t mb_pacing_percent(const mb_pacing_t *pacing, uint64_t kind);
/* Returns the lowest pace, in percent. */
uint32_t mb_pacing_lowest(const mb_pacing_t *pacing);

#endif
