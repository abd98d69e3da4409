/* Decides when best-effort work on one worker is paused for the service tasks
   beside it. It is paused when a service has missed its latency target for a
   while, and resumed when the latency has recovered. It is also resumed if the
   latency does not fall during the pause, since then best-effort work is not
   the cause. Meant for services whose request load changes within seconds.
   Used by the agent beside the worker, on one thread (mb_agent_throttle.c). It
   also works without an owner of the fleet, and in addition to the throttles
   of single runs that the owner orders (mb_fleet_headroom.c). */
#ifndef MB_THROTTLE_H
#define MB_THROTTLE_H

#include <stdbool.h>
#include <stdint.h>

/* Latency, in thousandths of its target, from which the target counts as
   missed, and below which best-effort work resumes. */
#define MB_THROTTLE_PAUSE_MILLI 950u
#define MB_THROTTLE_RESUME_MILLI 880u
/* Time for which a target must be missed before best-effort work is paused, in
   microseconds. Together with the cool-down below it is less than the 4 s
   after which operators count a service as harmed. */
#define MB_THROTTLE_PAUSE_DELAY_US UINT64_C(2000000)
/* Length of a trial, in microseconds: the time for which best-effort work is
   paused before the effect on the latency is evaluated. A reported latency
   covers the last half second and arrives late. */
#define MB_THROTTLE_TRIAL_US UINT64_C(1500000)
/* A trial shows that best-effort work was the cause if the latency falls below
   this part of its value at the start of the trial, in thousandths. */
#define MB_THROTTLE_IMPROVED_MILLI 750u
/* Time without another pause after a trial in which the latency did not fall,
   in microseconds. */
#define MB_THROTTLE_COOLDOWN_US UINT64_C(1800000)

typedef struct mb_throttle {
    bool paused;
    uint64_t trial_start_us;
    uint32_t trial_latency_milli; /* latency when the trial started */
    uint64_t missed_since_us;     /* 0: no target is missed */
    uint64_t cooldown_end_us;     /* no pause before this time */
} mb_throttle_t;

void mb_throttle_init(mb_throttle_t *throttle);
/* Updates the state with the highest ratio of a latency to its target among
   the services of the worker, in thousandths (0: there is no service), and
   whether best-effort work is running. Returns true if this begins a pause. */
bool mb_throttle_observe(mb_throttle_t *throttle, uint32_t latency_milli,
                         bool best_effort_running, uint64_t now_us);
/* Returns the throttle for all best-effort work, in percent of full speed: 0
   during a pause. */
uint32_t mb_throttle_percent(const mb_throttle_t *throttle);

#endif
