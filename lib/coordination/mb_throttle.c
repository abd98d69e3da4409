#include "mb_throttle.h"

#define FULL_SPEED_PERCENT 100u
#define MILLI 1000u

/* Initializes the state without a pause. */
void
mb_throttle_init(mb_throttle_t *throttle)
{
    *throttle = (mb_throttle_t){0};
}

/* Decides during a pause whether it goes on. It ends when the latency has
   recovered, or when it has not improved enough at the end of a trial. */
static void
evaluate_trial(mb_throttle_t *throttle, uint32_t latency_milli,
               uint64_t now_us)
{
    bool improved =
        (uint64_t)latency_milli * MILLI <
        (uint64_t)throttle->trial_latency_milli * MB_THROTTLE_IMPROVED_MILLI;
    if (latency_milli < MB_THROTTLE_RESUME_MILLI) {
        throttle->paused = false;
        return;
    }
    if (now_us - throttle->trial_start_us < MB_THROTTLE_TRIAL_US) {
        return;
    }
    if (improved) {
        /* The latency may go on falling: begin another trial. */
        throttle->trial_start_us = now_us;
        throttle->trial_latency_milli = latency_milli;
        return;
    }
    throttle->paused = false;
    throttle->missed_since_us = now_us;
    throttle->cooldown_end_us = now_us + MB_THROTTLE_COOLDOWN_US;
}

/* Updates the state with a latency; see the header. */
bool
mb_throttle_observe(mb_throttle_t *throttle, uint32_t latency_milli,
                    bool best_effort_running, uint64_t now_us)
{
    if (throttle->paused) {
        evaluate_trial(throttle, latency_milli, now_us);
        return false;
    }
    if (latency_milli < MB_THROTTLE_RESUME_MILLI) {
        throttle->missed_since_us = 0;
        return false;
    }
    if (latency_milli >= MB_THROTTLE_PAUSE_MILLI &&
        throttle->missed_since_us == 0) {
        throttle->missed_since_us = now_us;
    }
    if (throttle->missed_since_us == 0 || !best_effort_running ||
        now_us - throttle->missed_since_us < MB_THROTTLE_PAUSE_DELAY_US ||
        now_us < throttle->cooldown_end_us) {
        return false;
    }
    throttle->missed_since_us = 0;
    throttle->paused = true;
    throttle->trial_start_us = now_us;
    throttle->trial_latency_milli = latency_milli;
    return true;
}

/* Returns the throttle for all best-effort work; see the header. */
uint32_t
mb_throttle_percent(const mb_throttle_t *throttle)
{
    return throttle->paused ? 0 : FULL_SPEED_PERCENT;
}
