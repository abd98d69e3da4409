/* How much filling tasks may work on one worker, so that the services beside
   them keep their latency targets. Lowers the pace fast when a target is
   missed and raises it slowly; a miss that goes on without any filling work
   is not its fault. Answers a load of services whose demand swings within
   seconds. Used on one thread. */
#ifndef MB_PACING_H
#define MB_PACING_H

#include <stdbool.h>
#include <stdint.h>

/* Share of a latency target, in thousandths, above which the pace falls, and
   below which it rises. */
#define MB_PACING_HIGH_MILLI 900u
#define MB_PACING_LOW_MILLI 700u
/* Least time between two changes, in microseconds: a figure covers the last
   half second, and a pace takes a tenth to act. */
#define MB_PACING_FALL_US UINT64_C(300000)
#define MB_PACING_RISE_US UINT64_C(600000)
/* Time without filling work after which a miss is not its fault, in
   microseconds, and how long it works on then before the next trial. */
#define MB_PACING_TRIAL_US UINT64_C(1200000)
#define MB_PACING_CLEARED_US UINT64_C(2500000)
/* Steps of the pace, in percent. */
#define MB_PACING_RISE_PERCENT 15u
#define MB_PACING_LEAST_PERCENT 10u
#define MB_PACING_CLEARED_PERCENT 50u

typedef struct mb_pacing {
    uint32_t percent;    /* in force for all filling tasks */
    uint64_t changed_us; /* 0: never */
    uint64_t cleared_us; /* until then misses are not its fault */
} mb_pacing_t;

void mb_pacing_init(mb_pacing_t *pacing);
uint32_t mb_pacing_update(mb_pacing_t *pacing, uint64_t now_us,
                          uint32_t worst_milli);

#endif
