#include "mb_throttle.h"

#define FULL_PERCENT 100u
#define MILLI 1000u

/* Begins at full pace. */
void
mb_throttle_init(mb_throttle_t *pacing)
{
    *pacing = (mb_throttle_t){0};
}

/* Decides whether a hold goes on. */
static void
judge(mb_throttle_t *pacing, uint32_t latency_milli, uint64_t now_us)
{
    bool falls =
        (uint64_t)latency_milli * MILLI <
        (uint64_t)pacing->trial_latency_milli * MB_THROTTLE_IMPROVED_MILLI;
    if (latency_milli < MB_THROTTLE_RESUME_MILLI) {
        pacing->paused = false;
        return;
    }
    if (now_us - pacing->trial_start_us < MB_THROTTLE_TRIAL_US) {
        return;
    }
    if (falls) {
        /* It may go on falling. */
        pacing->trial_start_us = now_us;
        pacing->trial_latency_milli = latency_milli;
        return;
    }
    pacing->paused = false;
    pacing->missed_since_us = now_us;
    pacing->cooldown_end_us = now_us + MB_THROTTLE_COOLDOWN_US;
}

/* Takes the state of the worker; see the header. */
bool
mb_throttle_observe(mb_throttle_t *pacing, uint32_t latency_milli,
                    bool filling, uint64_t now_us)
{
    if (pacing->paused) {
        judge(pacing, latency_milli, now_us);
        return false;
    }
    if (latency_milli < MB_THROTTLE_RESUME_MILLI) {
        pacing->missed_since_us = 0;
        return false;
    }
    if (latency_milli >= MB_THROTTLE_PAUSE_MILLI &&
        pacing->missed_since_us == 0) {
        pacing->missed_since_us = now_us;
    }
    if (pacing->missed_since_us == 0 || !filling ||
        now_us - pacing->missed_since_us < MB_THROTTLE_PAUSE_DELAY_US ||
        now_us < pacing->cooldown_end_us) {
        return false;
    }
    pacing->missed_since_us = 0;
    pacing->paused = true;
    pacing->trial_start_us = now_us;
    pacing->trial_latency_milli = latency_milli;
    return true;
}

/* Returns the pace of all filling work. */
uint32_t
mb_throttle_percent(const mb_throttle_t *pacing)
{
    return pacing->paused ? 0 : FULL_PERCENT;
}
