/* Attributes the failures of one piece of work, whose runs are alike, to the
   work or to the workers where they failed. Each failure speaks against both.
   It is held against the worker while the work has failed on one worker only,
   is at work on as many others, or has worked on another one since; it is
   attributed to the work once the work has failed on several workers, and on
   more than where it is at work, or on one where other work succeeds. Pure
   bookkeeping: the caller tells what has become of runs, and tells the workers
   (mb_health) what to hold against them. Used on one thread. */
#ifndef MB_ATTRIBUTION_H
#define MB_ATTRIBUTION_H

#include <stdbool.h>
#include <stdint.h>

/* Time, in microseconds, by which a run must have outlived the failed ones to
   show that the work is sound. Reports of failures arrive late by less. */
#define MB_ATTRIBUTION_MARGIN_US UINT64_C(300000)
/* Time, in microseconds, for which a run that is older than the failed ones
   counts as being at work although no report shows it. */
#define MB_ATTRIBUTION_PENDING_US UINT64_C(1000000)
/* Time, in microseconds, for which a start that worked speaks for later starts
   of the same work. */
#define MB_ATTRIBUTION_RECENT_US UINT64_C(3000000)
/* Maximum number of workers that are kept of one piece of work. */
#define MB_ATTRIBUTION_WORKERS_MAX 16

/* To what the failures of a piece of work are attributed. */
typedef enum mb_attribution_cause {
    MB_CAUSE_NONE,    /* it has not failed since it last worked */
    MB_CAUSE_UNCLEAR, /* it has failed on one worker or on faulty ones only */
    MB_CAUSE_WORKERS, /* it works on other workers */
    MB_CAUSE_WORK,    /* it fails on several workers */
    MB_CAUSE_COUNT
} mb_attribution_cause_t;

/* A run without an outcome that was started with the failed ones. */
typedef struct mb_attribution_run {
    uint64_t worker;
    uint64_t started_us;
} mb_attribution_run_t;

typedef struct mb_attribution {
    bool is_refuted; /* its failures are certainly not those of the workers */
    bool is_doubted; /* it has failed on a worker that is known as faulty */
    /* Workers on which it has failed since it last worked, and one run on each
       of some others. */
    uint32_t failed_count;
    uint64_t failed_workers[MB_ATTRIBUTION_WORKERS_MAX];
    uint32_t pending_count;
    mb_attribution_run_t pending[MB_ATTRIBUTION_WORKERS_MAX];
    bool pending_is_sample;  /* there were more */
    uint32_t pending_failed; /* those that have failed since */
    /* Earliest and latest start of the failed runs. */
    uint64_t first_start_us;
    uint64_t last_start_us;
    /* Latest start that worked; 0: none. It is kept when the rest begins
       anew. */
    uint64_t worked_start_us;
    /* Longest time for which a run worked before it failed, and for which one
       that was started since has been seen at work. */
    uint64_t longest_failed_us;
    uint64_t longest_survived_us;
} mb_attribution_t;

void mb_attribution_init(mb_attribution_t *attribution);
/* A run that was started at `started_us` has failed on a worker, after it had
   worked for `worked_us`. */
void mb_attribution_failed(mb_attribution_t *attribution, uint64_t worker,
                           uint64_t started_us, uint64_t worked_us);
/* A run without an outcome is on a worker. To be called after the first
   failure for the runs that were not started before. Returns false if no more
   are kept. */
bool mb_attribution_pending(mb_attribution_t *attribution, uint64_t worker,
                            uint64_t started_us);
/* A run has failed on a worker that fails other work too. */
void mb_attribution_failed_on_faulty(mb_attribution_t *attribution);
/* A worker has refused the work as invalid, or has succeeded with other work
   that it started after a failed run. */
void mb_attribution_refuted(mb_attribution_t *attribution);
/* A run has been seen at work after `worked_us`. */
void mb_attribution_survived(mb_attribution_t *attribution,
                             uint64_t started_us, uint64_t worked_us);
/* A run has succeeded, or has worked for so long that it counts as a
   success. */
void mb_attribution_worked(mb_attribution_t *attribution, uint64_t started_us);
mb_attribution_cause_t
mb_attribution_cause(const mb_attribution_t *attribution, uint64_t now_us);
const char *mb_attribution_cause_name(mb_attribution_cause_t cause);

#endif
