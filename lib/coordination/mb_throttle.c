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
    bool falls = (uint64_t)latency_milli * MILLI <
                 (uint64_t)pacing->begin_milli * MB_THROTTLE_IMPROVED_MILLI;
    if (latency_milli < MB_THROTTLE_RESUME_MILLI) {
        pacing->held = false;
        return;
    }
    if (now_us - pacing->held_us < MB_THROTTLE_TRIAL_US) {
        return;
    }
    if (falls) {
        /* It may go on falling. */
        pacing->held_us = now_us;
        pacing->begin_milli = latency_milli;
        return;
    }
    pacing->held = false;
    pacing->missed_us = now_us;
    pacing->cooldown_us = now_us + MB_THROTTLE_COOLDOWN_US;
}

/* Takes the state of the worker; see the header. */
bool
mb_throttle_observe(mb_throttle_t *pacing, uint32_t latency_milli,
                    bool filling, uint64_t now_us)
{
    if (pacing->held) {
        judge(pacing, latency_milli, now_us);
        return false;
    }
    if (latency_milli < MB_THROTTLE_RESUME_MILLI) {
        pacing->missed_us = 0;
        return false;
    }
    if (latency_milli >= MB_THROTTLE_PAUSE_MILLI && pacing->missed_us == 0) {
        pacing->missed_us = now_us;
    }
    if (pacing->missed_us == 0 || !filling ||
        now_us - pacing->missed_us < MB_THROTTLE_PAUSE_DELAY_US ||
        now_us < pacing->cooldown_us) {
        return false;
    }
    pacing->missed_us = 0;
    pacing->held = true;
    pacing->held_us = now_us;
    pacing->begin_milli = latency_milli;
    return true;
}

/* Returns the pace of all filling work. */
uint32_t
mb_throttle_percent(const mb_throttle_t *pacing)
{
    return pacing->held ? 0 : FULL_PERCENT;
}
