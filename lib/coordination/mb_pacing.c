#include "mb_pacing.h"

#define FULL_PERCENT 100u

/* Begins at full pace. */
void
mb_pacing_init(mb_pacing_t *pacing)
{
    *pacing = (mb_pacing_t){.percent = FULL_PERCENT};
}

/* Sets a new pace. */
static void
change(mb_pacing_t *pacing, uint64_t now_us, uint32_t percent)
{
    pacing->percent = percent;
    pacing->changed_us = now_us;
}

/* Lowers the pace, or clears the filling tasks of blame when the target is
   missed without them. */
static void
fall(mb_pacing_t *pacing, uint64_t now_us, uint64_t waited_us)
{
    if (now_us < pacing->cleared_us) {
        return;
    }
    if (pacing->percent == 0) {
        if (waited_us >= MB_PACING_TRIAL_US) {
            pacing->cleared_us = now_us + MB_PACING_CLEARED_US;
            change(pacing, now_us, MB_PACING_CLEARED_PERCENT);
        }
        return;
    }
    if (waited_us >= MB_PACING_FALL_US) {
        uint32_t half = pacing->percent / 2;
        change(pacing, now_us, half < MB_PACING_LEAST_PERCENT ? 0 : half);
    }
}

/* Raises the pace. */
static void
rise(mb_pacing_t *pacing, uint64_t now_us, uint64_t waited_us)
{
    uint32_t next = pacing->percent + MB_PACING_RISE_PERCENT;
    pacing->cleared_us = 0;
    if (pacing->percent < FULL_PERCENT && waited_us >= MB_PACING_RISE_US) {
        change(pacing, now_us, next > FULL_PERCENT ? FULL_PERCENT : next);
    }
}

/* Takes the latency of the service that is worst off, in thousandths of its
   target (0: there is none), and returns the pace in percent. */
uint32_t
mb_pacing_update(mb_pacing_t *pacing, uint64_t now_us, uint32_t worst_milli)
{
    uint64_t waited_us = now_us - pacing->changed_us;
    if (worst_milli > MB_PACING_HIGH_MILLI) {
        fall(pacing, now_us, waited_us);
    }
    else if (worst_milli < MB_PACING_LOW_MILLI) {
        rise(pacing, now_us, waited_us);
    }
    return pacing->percent;
}
