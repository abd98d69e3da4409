#include "mb_sizing.h"

#include <glib.h>

/* Samples after which a moving average replaces the plain mean. */
#define SAMPLES_MEAN 8
#define HASH_FACTOR UINT64_C(0x9e3779b97f4a7c15)

/* Starts with nothing learned. */
void
mb_sizing_init(mb_sizing_t *sizing)
{
    sizing->kinds = g_new0(mb_sizing_kind_t, MB_SIZING_KINDS_MAX);
}

/* Frees the table. */
void
mb_sizing_finish(mb_sizing_t *sizing)
{
    g_free(sizing->kinds);
}

/* Returns the slot of a kind. */
static mb_sizing_kind_t *
slot_of(const mb_sizing_t *sizing, uint64_t kind)
{
    uint64_t mixed = (kind * HASH_FACTOR) >> 32;
    return &sizing->kinds[mixed % MB_SIZING_KINDS_MAX];
}

/* Returns the slot of a kind, emptied if another kind had it. */
static mb_sizing_kind_t *
claim_slot(const mb_sizing_t *sizing, uint64_t kind)
{
    mb_sizing_kind_t *slot = slot_of(sizing, kind);
    if (slot->kind != kind) {
        *slot = (mb_sizing_kind_t){.kind = kind};
    }
    return slot;
}

/* Moves an average towards a new ratio; nothing declared teaches nothing. */
static void
learn(float *average, uint32_t samples, uint32_t declared, uint32_t actual)
{
    if (declared == 0) {
        return;
    }
    double ratio = CLAMP((double)actual / declared, 1 / MB_SIZING_FACTOR_MAX,
                         MB_SIZING_FACTOR_MAX);
    double weight = 1.0 / MIN(samples, (uint32_t)SAMPLES_MEAN);
    *average = (float)(*average + weight * (ratio - *average));
}

/* Applies a learned ratio; 0 means that nothing was learned. */
static uint32_t
apply(float average, uint32_t declared)
{
    if (average <= 0) {
        return declared;
    }
    return (uint32_t)MIN((double)average * declared, (double)UINT32_MAX);
}

/* Learns from a report of what a task uses. */
void
mb_sizing_observe_usage(mb_sizing_t *sizing, uint64_t kind,
                        const mb_size_t *declared, const mb_size_t *used)
{
    mb_sizing_kind_t *slot = claim_slot(sizing, kind);
    slot->usage_samples++;
    learn(&slot->cpu_ratio, slot->usage_samples, declared->cpu_milli,
          used->cpu_milli);
    learn(&slot->memory_ratio, slot->usage_samples, declared->memory_mb,
          used->memory_mb);
}

/* Learns from the run time of a finished task. */
void
mb_sizing_observe_run_time(mb_sizing_t *sizing, uint64_t kind,
                           uint32_t declared_ms, uint32_t run_ms)
{
    mb_sizing_kind_t *slot = claim_slot(sizing, kind);
    slot->run_time_samples++;
    learn(&slot->run_time_ratio, slot->run_time_samples, declared_ms, run_ms);
}

/* Returns the size that a task is expected to use. */
mb_size_t
mb_sizing_estimate_size(const mb_sizing_t *sizing, uint64_t kind,
                        const mb_size_t *declared)
{
    const mb_sizing_kind_t *slot = slot_of(sizing, kind);
    mb_size_t expected = *declared;
    if (slot->kind == kind && slot->usage_samples > 0) {
        expected.cpu_milli = apply(slot->cpu_ratio, declared->cpu_milli);
        expected.memory_mb = apply(slot->memory_ratio, declared->memory_mb);
    }
    return expected;
}

/* Tells whether a run time of the kind is known. */
bool
mb_sizing_has_run_time(const mb_sizing_t *sizing, uint64_t kind)
{
    const mb_sizing_kind_t *slot = slot_of(sizing, kind);
    return slot->kind == kind && slot->run_time_samples > 0;
}

/* Returns the run time that a task is expected to have. */
uint32_t
mb_sizing_estimate_run_ms(const mb_sizing_t *sizing, uint64_t kind,
                          uint32_t declared_ms)
{
    return mb_sizing_has_run_time(sizing, kind)
               ? apply(slot_of(sizing, kind)->run_time_ratio, declared_ms)
               : declared_ms;
}
