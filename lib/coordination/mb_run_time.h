/* Distributions of run times, one for each kind of work. A kind is a number
   that the caller chooses, for instance the key of a queue. The distribution
   is over ratios to the typical (median) run time of a step, which the caller
   passes: the tasks of one step are alike but few, and the steps of a kind
   have different run times but spread alike. Not thread-safe. */
#ifndef MB_RUN_TIME_H
#define MB_RUN_TIME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Number of kinds in the table. If the few slots that a new kind may use are
   taken, it replaces the one that was observed the longest ago; that one is
   estimated like an unknown kind from then on. */
#define MB_RUN_TIME_KINDS_MAX 1024u
/* Number of buckets of ratios: six for each doubling, from a quarter of the
   typical run time to 32 times as long. The outermost take what is beyond. */
#define MB_RUN_TIME_BUCKETS 43u

typedef struct mb_run_time_kind {
    uint64_t key;
    uint64_t observed; /* number of its latest observation; 0: unused slot */
    uint32_t samples;  /* run times that `log_ms` includes */
    double log_ms;     /* moving mean of the logarithm of run times */
    float weights[MB_RUN_TIME_BUCKETS]; /* of the ratios in each bucket */
    /* Of them: the sum from each bucket on, and the mean ratio. */
    float sums[MB_RUN_TIME_BUCKETS + 1];
    double mean;
} mb_run_time_kind_t;

typedef struct mb_run_time {
    mb_run_time_kind_t *kinds;
    uint64_t observations;
    mb_run_time_kind_t unknown; /* what is assumed without observations */
    double edges[MB_RUN_TIME_BUCKETS + 1]; /* of the buckets, as ratios */
} mb_run_time_t;

void mb_run_time_init(mb_run_time_t *times);
void mb_run_time_finish(mb_run_time_t *times);

/* Learn from a run time; from the ratio of one to the typical run time of its
   step; and from a run that was given up at a ratio before it had ended. */
void mb_run_time_observe(mb_run_time_t *times, uint64_t key, double run_ms);
void mb_run_time_observe_ratio(mb_run_time_t *times, uint64_t key,
                               double ratio);
void mb_run_time_observe_longer(mb_run_time_t *times, uint64_t key,
                                double ratio);

/* Returns what is known of a kind; the pointer is valid until the next
   observation. */
const mb_run_time_kind_t *mb_run_time_find(const mb_run_time_t *times,
                                           uint64_t key);
/* Returns the typical run time of a kind, 0 if none is known. */
double mb_run_time_typical_ms(const mb_run_time_kind_t *kind);

/* Estimates for tasks with a typical run time: the mean run time, the run time
   within which a fraction of the runs end, the run time of the longest of
   `count` runs and the rest of one run. The last two are for runs that have
   been at work for `elapsed_ms` and have not ended. */
double mb_run_time_mean_ms(const mb_run_time_kind_t *kind, double typical_ms);
double mb_run_time_quantile_ms(const mb_run_time_t *times,
                               const mb_run_time_kind_t *kind,
                               double typical_ms, double fraction);
double mb_run_time_longest_ms(const mb_run_time_t *times,
                              const mb_run_time_kind_t *kind,
                              double typical_ms, uint32_t count,
                              double elapsed_ms);
double mb_run_time_remaining_ms(const mb_run_time_t *times,
                                const mb_run_time_kind_t *kind,
                                double typical_ms, double elapsed_ms);

#endif
