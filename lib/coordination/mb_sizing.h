/* Estimates of what tasks use and how long they run, learned per kind of task
   as ratios to the declared values. A kind is a number that the caller
   chooses, for instance the key of a job or service. The estimates serve only
   to order tasks and to choose workers; reservations on workers are in
   declared sizes. Not thread-safe. */
#ifndef MB_SIZING_H
#define MB_SIZING_H

#include "mb_resource.h"

/* Size of the hash table of kinds. A new kind replaces the one that has its
   slot. */
#define MB_SIZING_KINDS_MAX 4096
/* Learned ratios stay within this factor of 1. */
#define MB_SIZING_FACTOR_MAX 8.0

typedef struct mb_sizing_kind {
    uint64_t kind;   /* 0 also in an unused slot */
    float cpu_ratio; /* moving average of actual / declared */
    float memory_ratio;
    float run_time_ratio;
    uint32_t usage_samples;    /* of cpu_ratio and memory_ratio */
    uint32_t run_time_samples; /* of run_time_ratio */
} mb_sizing_kind_t;

typedef struct mb_sizing {
    mb_sizing_kind_t *kinds;
} mb_sizing_t;

void mb_sizing_init(mb_sizing_t *sizing);
void mb_sizing_finish(mb_sizing_t *sizing);
/* Updates the estimates from a report of what a task of the kind uses. */
void mb_sizing_observe_usage(mb_sizing_t *sizing, uint64_t kind,
                             const mb_size_t *declared, const mb_size_t *used);
/* Updates the estimates from the run time of a finished task of the kind. */
void mb_sizing_observe_run_time(mb_sizing_t *sizing, uint64_t kind,
                                uint32_t declared_ms, uint32_t run_ms);
/* Returns the size that a task of the kind is expected to use, the declared
   one when nothing is known. Accelerators are always as declared. */
mb_size_t mb_sizing_estimate_size(const mb_sizing_t *sizing, uint64_t kind,
                                  const mb_size_t *declared);
/* Returns whether the run time of a task of the kind is known. */
bool mb_sizing_has_run_time(const mb_sizing_t *sizing, uint64_t kind);
/* Returns the expected run time of a task of the kind, the declared one when
   none is known. */
uint32_t mb_sizing_estimate_run_ms(const mb_sizing_t *sizing, uint64_t kind,
                                   uint32_t declared_ms);

#endif
