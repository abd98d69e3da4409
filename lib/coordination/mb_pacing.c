#include "mb_pacing.h"

#include <string.h>

#define FULL_PERCENT 100u

/* Begins at full pace. */
void
mb_pacing_init(mb_pacing_t *pacing)
{
    memset(pacing, 0, sizeof(*pacing));
    mb_contention_init(&pacing->contention);
}

/* Frees what was learned. */
void
mb_pacing_finish(mb_pacing_t *pacing)
{
    mb_contention_finish(&pacing->contention);
}

/* Goes back to full pace; what was learned of pairs stays. */
void
mb_pacing_reset(mb_pacing_t *pacing)
{
    pacing->count = 0;
    pacing->fallen_us = 0;
    pacing->blind_us = 0;
    pacing->cleared_us = 0;
}

/* Returns the entry of a kind, which is added if it is new; NULL when there
   are too many. */
static mb_pacing_kind_t *
reach(mb_pacing_t *pacing, uint64_t kind)
{
    for (uint32_t i = 0; i < pacing->count; i++) {
        if (pacing->kinds[i].kind == kind) {
            return &pacing->kinds[i];
        }
    }
    if (pacing->count == MB_CONTENTION_LOADS_MAX) {
        return NULL;
    }
    mb_pacing_kind_t *entry = &pacing->kinds[pacing->count++];
    *entry = (mb_pacing_kind_t){kind, FULL_PERCENT, 0};
    return entry;
}

/* Slows a kind down. */
static void
fall(mb_pacing_t *pacing, uint64_t kind, uint64_t now_us)
{
    mb_pacing_kind_t *entry = reach(pacing, kind);
    if (entry == NULL) {
        return;
    }
    entry->percent = 0;
    entry->changed_us = now_us;
    pacing->fallen_us = now_us;
}

/* Notes a miss that no filling work at work can have caused. After a while
   all of it is cleared of blame. */
static void
miss_without_work(mb_pacing_t *pacing, uint64_t now_us)
{
    if (pacing->blind_us == 0) {
        pacing->blind_us = now_us;
        return;
    }
    if (now_us - pacing->blind_us < MB_PACING_TRIAL_US) {
        return;
    }
    pacing->blind_us = 0;
    pacing->cleared_us = now_us + MB_PACING_CLEARED_US;
    for (uint32_t i = 0; i < pacing->count; i++) {
        mb_pacing_kind_t *entry = &pacing->kinds[i];
        entry->percent = MAX(entry->percent, MB_PACING_CLEARED_PERCENT);
        entry->changed_us = now_us;
    }
}

/* Takes one observation; see the header. */
uint32_t
mb_pacing_observe(mb_pacing_t *pacing, uint64_t service,
                  uint32_t latency_milli, const mb_contention_load_t *loads,
                  uint32_t count, uint64_t now_us)
{
    if (latency_milli < MB_CONTENTION_OVER_MILLI) {
        (void)mb_contention_observe(&pacing->contention, service,
                                    latency_milli, loads, count, now_us);
        return count;
    }
    if (now_us < pacing->cleared_us ||
        now_us - pacing->fallen_us < MB_PACING_FALL_US) {
        return count;
    }
    uint32_t suspect = mb_contention_observe(
        &pacing->contention, service, latency_milli, loads, count, now_us);
    if (suspect < count) {
        pacing->blind_us = 0;
        fall(pacing, loads[suspect].kind, now_us);
    }
    else if (pacing->count > 0) {
        miss_without_work(pacing, now_us);
    }
    return suspect;
}

/* Speeds up what was not blamed for a while. */
void
mb_pacing_relax(mb_pacing_t *pacing, uint64_t now_us)
{
    if (now_us - pacing->fallen_us < MB_PACING_RISE_US) {
        return;
    }
    for (uint32_t i = 0; i < pacing->count; i++) {
        mb_pacing_kind_t *entry = &pacing->kinds[i];
        if (entry->percent < FULL_PERCENT &&
            now_us - entry->changed_us >= MB_PACING_RISE_US) {
            entry->percent =
                MIN(entry->percent + MB_PACING_RISE_PERCENT, FULL_PERCENT);
            entry->changed_us = now_us;
        }
    }
}

/* Returns the pace of a kind. */
uint32_t
mb_pacing_percent(const mb_pacing_t *pacing, uint64_t kind)
{
    for (uint32_t i = 0; i < pacing->count; i++) {
        if (pacing->kinds[i].kind == kind) {
            return pacing->kinds[i].percent;
        }
    }
    return FULL_PERCENT;
}

/* Returns the lowest pace. */
uint32_t
mb_pacing_lowest(const mb_pacing_t *pacing)
{
    uint32_t lowest = FULL_PERCENT;
    for (uint32_t i = 0; i < pacing->count; i++) {
        lowest = MIN(lowest, pacing->kinds[i].percent);
    }
    return lowest;
}
