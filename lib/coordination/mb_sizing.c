#include "mb_sizing.h"

#include <glib.h>

/* Number of samples up to which a ratio is their plain mean. Beyond it, the
   ratio is an exponential moving average with this period. */
#define MEAN_SAMPLES_MAX 8
/* Odd multiplier that distributes the kinds over the slots. */
#define HASH_FACTOR UINT64_C(0x9e3779b97f4a7c15)

/* Allocates an empty table. */
void
mb_sizing_init(mb_sizing_t *sizing)
{
    sizing->kinds = g_new0(mb_sizing_kind_t, MB_SIZING_KINDS_MAX);
}

/* Releases the table. */
void
mb_sizing_finish(mb_sizing_t *sizing)
{
    g_free(sizing->kinds);
}

/* Returns the slot of a kind, which may hold another kind. */
static mb_sizing_kind_t *
find_slot(const mb_sizing_t *sizing, uint64_t kind)
{
    uint64_t hash = (kind * HASH_FACTOR) >> 32;
    return &sizing->kinds[hash % MB_SIZING_KINDS_MAX];
}

/* Returns the slot of a kind for an update, and clears it if it holds another
   kind. */
static mb_sizing_kind_t *
claim_slot(const mb_sizing_t *sizing, uint64_t kind)
{
    mb_sizing_kind_t *slot = find_slot(sizing, kind);
    if (slot->kind != kind) {
        *slot = (mb_sizing_kind_t){.kind = kind};
    }
    return slot;
}

/* Updates a learned ratio with an observed one, clamped to the allowed range.
   `samples` includes the observed one. Does nothing when nothing was declared,
   because there is no ratio then. */
static void
update_ratio(float *learned, uint32_t samples, uint32_t declared,
             uint32_t actual)
{
    if (declared == 0) {
        return;
    }
    double observed = CLAMP((double)actual / declared,
                            1 / MB_SIZING_FACTOR_MAX, MB_SIZING_FACTOR_MAX);
    double weight = 1.0 / MIN(samples, (uint32_t)MEAN_SAMPLES_MAX);
    *learned = (float)(*learned + weight * (observed - *learned));
}

/* Returns a declared value times a learned ratio; a ratio of 0 means that
   nothing was learned. */
static uint32_t
apply_ratio(float learned, uint32_t declared)
{
    if (learned <= 0) {
        return declared;
    }
    return (uint32_t)MIN((double)learned * declared, (double)UINT32_MAX);
}

/* Updates the ratios of processors and memory from a report of what a task
   uses. */
void
mb_sizing_observe_usage(mb_sizing_t *sizing, uint64_t kind,
                        const mb_size_t *declared, const mb_size_t *used)
{
    mb_sizing_kind_t *slot = claim_slot(sizing, kind);
    slot->usage_samples++;
    update_ratio(&slot->cpu_ratio, slot->usage_samples, declared->cpu_milli,
                 used->cpu_milli);
    update_ratio(&slot->memory_ratio, slot->usage_samples, declared->memory_mb,
                 used->memory_mb);
}

/* Updates the ratio of run times from a finished task. */
void
mb_sizing_observe_run_time(mb_sizing_t *sizing, uint64_t kind,
                           uint32_t declared_ms, uint32_t run_ms)
{
    mb_sizing_kind_t *slot = claim_slot(sizing, kind);
    slot->run_time_samples++;
    update_ratio(&slot->run_time_ratio, slot->run_time_samples, declared_ms,
                 run_ms);
}

/* Returns the size that a task is expected to use. */
mb_size_t
mb_sizing_estimate_size(const mb_sizing_t *sizing, uint64_t kind,
                        const mb_size_t *declared)
{
    const mb_sizing_kind_t *slot = find_slot(sizing, kind);
    mb_size_t expected = *declared;
    if (slot->kind == kind && slot->usage_samples > 0) {
        expected.cpu_milli = apply_ratio(slot->cpu_ratio, declared->cpu_milli);
        expected.memory_mb =
            apply_ratio(slot->memory_ratio, declared->memory_mb);
    }
    return expected;
}

/* Returns whether a run time of the kind is known. */
bool
mb_sizing_has_run_time(const mb_sizing_t *sizing, uint64_t kind)
{
    const mb_sizing_kind_t *slot = find_slot(sizing, kind);
    return slot->kind == kind && slot->run_time_samples > 0;
}

/* Returns the expected run time of a task. */
uint32_t
mb_sizing_estimate_run_ms(const mb_sizing_t *sizing, uint64_t kind,
                          uint32_t declared_ms)
{
    return mb_sizing_has_run_time(sizing, kind)
               ? apply_ratio(find_slot(sizing, kind)->run_time_ratio,
                             declared_ms)
               : declared_ms;
}
