/* Whether filling work may go on beside the services of one worker. It stands
   still when a service has missed its latency target for a while, and goes on
   when the latency has recovered; a latency that does not fall while nothing
   works beside it is not the fault of filling work. Answers a load of services
   whose demand swings within seconds. Used on one thread. */
#ifndef MB_THROTTLE_H
#define MB_THROTTLE_H

#include <stdbool.h>
#include <stdint.h>

/* Share of a latency target, in thousandths, from which filling work stands
   still, and below which it goes on. */
#define MB_THROTTLE_PAUSE_MILLI 950u
#define MB_THROTTLE_RESUME_MILLI 880u
/* Time for which a target is missed before filling work stands still, in
   microseconds. With the cool-down below it stays under the 4 s after which
   the operators count a service as harmed. */
#define MB_THROTTLE_PAUSE_DELAY_US UINT64_C(2000000)
/* Time for which nothing works beside a service before its latency is judged,
   in microseconds: a figure covers the last half second and lags behind. */
#define MB_THROTTLE_TRIAL_US UINT64_C(1500000)
/* Part of the latency at its begin below which a trial has explained it, in
   thousandths. */
#define MB_THROTTLE_IMPROVED_MILLI 750u
/* Time for which filling work goes on after a trial in vain, in
   microseconds. */
#define MB_THROTTLE_COOLDOWN_US UINT64_C(1800000)

typedef struct mb_throttle {
    bool paused;
    uint64_t trial_start_us;      /* since when */
    uint32_t trial_latency_milli; /* latency then */
    uint64_t missed_since_us; /* since when a target is missed; 0: none is */
    uint64_t cooldown_end_us; /* until then nothing is held */
} mb_throttle_t;

void mb_throttle_init(mb_throttle_t *pacing);
/* Takes the latency of the service that is worst off, in thousandths of its
   target (0: there is none), and whether filling work is at work. True when
   filling work is held from now on. */
bool mb_throttle_observe(mb_throttle_t *pacing, uint32_t latency_milli,
                         bool filling, uint64_t now_us);
/* Returns the pace of all filling work, in percent. */
uint32_t mb_throttle_percent(const mb_throttle_t *pacing);

#endif
