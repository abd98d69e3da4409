/* Sizes and run times learned from usage, as ratios to the declared values
   per kind of task (a job or a service). They are used for order and choice
   only; the capacity of workers is counted in declared sizes. Used on one
   thread. */
#ifndef MB_SIZING_H
#define MB_SIZING_H

#include "mb_resource.h"

/* Kinds remembered; a new kind replaces the one of its slot. */
#define MB_SIZING_KINDS_MAX 4096
/* Learned values stay within this factor of the declared ones. */
#define MB_SIZING_FACTOR_MAX 8.0

typedef struct mb_sizing_kind {
    uint64_t kind;
    float cpu_ratio; /* learned / declared */
    float memory_ratio;
    float run_time_ratio;
    uint32_t usage_samples;
    uint32_t run_time_samples;
} mb_sizing_kind_t;

typedef struct mb_sizing {
    mb_sizing_kind_t *kinds;
} mb_sizing_t;

void mb_sizing_init(mb_sizing_t *sizing);
void mb_sizing_finish(mb_sizing_t *sizing);
/* A report of what a task of the kind uses. */
void mb_sizing_observe_usage(mb_sizing_t *sizing, uint64_t kind,
                             const mb_size_t *declared, const mb_size_t *used);
/* A task of the kind has finished. */
void mb_sizing_observe_run_time(mb_sizing_t *sizing, uint64_t kind,
                                uint32_t declared_ms, uint32_t run_ms);
mb_size_t mb_sizing_estimate_size(const mb_sizing_t *sizing, uint64_t kind,
                                  const mb_size_t *declared);
/* Whether a task of the kind has finished. */
bool mb_sizing_has_run_time(const mb_sizing_t *sizing, uint64_t kind);
uint32_t mb_sizing_estimate_run_ms(const mb_sizing_t *sizing, uint64_t kind,
                                   uint32_t declared_ms);

#endif
