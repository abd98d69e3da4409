/* Evidence of outcomes of runs on the work and on the workers, for the owner
   of a fleet or of a shard. Applies the rule of mb_attribution to each piece
   of work that fails, and the result to the health of the workers (mb_health).
   What the workers are and which runs they have is known to the owner, through
   callbacks. Used on one thread. */
#ifndef MB_EVIDENCE_H
#define MB_EVIDENCE_H

#include <glib.h>

#include "mb_attribution.h"
#include "mb_clock.h"
#include "mb_health.h"

/* A piece of work whose runs behave alike: a step of a job, or a job. */
typedef struct mb_evidence_work {
    uint64_t source; /* identifies it; not MB_HEALTH_NO_SOURCE */
    const void *job; /* borrowed while there is evidence; for callbacks */
    uint32_t step;   /* of the job; for callbacks */
} mb_evidence_work_t;

/* A run of a piece of work. */
typedef struct mb_evidence_run {
    mb_evidence_work_t work;
    uint64_t worker;     /* identifies the worker */
    mb_health_t *health; /* of the worker */
    uint64_t started_us;
    uint64_t worked_us; /* for how long it is known to have worked */
} mb_evidence_run_t;

/* All callbacks are required and get `context` as first argument. */
typedef struct mb_evidence_callbacks {
    /* Failures of a piece of work are attributed anew. If the new cause is
       MB_CAUSE_WORK, or the former one was, the owner has to call
       mb_health_set_excused for all its workers. */
    void (*changed)(void *context, const mb_evidence_work_t *work,
                    mb_attribution_cause_t from, mb_attribution_cause_t to);
    /* Tells whether at least half of the workers are suspended. */
    bool (*are_most_suspended)(void *context);
    /* Calls mb_attribution_pending for the runs of a piece of work that have
       no outcome. */
    void (*add_pending)(void *context, const mb_evidence_work_t *work,
                        mb_attribution_t *attribution);
    void *context;
} mb_evidence_callbacks_t;

typedef struct mb_evidence {
    GHashTable *items; /* uint64_t (source) -> item of mb_evidence.c */
    mb_evidence_callbacks_t callbacks;
    mb_clock_t clock;
} mb_evidence_t;

void mb_evidence_init(mb_evidence_t *evidence,
                      const mb_evidence_callbacks_t *callbacks,
                      const mb_clock_t *clock);
void mb_evidence_finish(mb_evidence_t *evidence);
/* Drops the evidence on all work, or on one piece. What is held against
   workers stays. */
void mb_evidence_clear(mb_evidence_t *evidence);
void mb_evidence_forget(mb_evidence_t *evidence, uint64_t source);

/* A run has failed. */
void mb_evidence_failed(mb_evidence_t *evidence, const mb_evidence_run_t *run);
/* A worker has refused a piece of work as invalid. */
void mb_evidence_invalid(mb_evidence_t *evidence,
                         const mb_evidence_work_t *work);
/* A run has succeeded, or worked for so long that it counts as a success. */
void mb_evidence_succeeded(mb_evidence_t *evidence,
                           const mb_evidence_run_t *run);
/* A run is at work. */
void mb_evidence_survived(mb_evidence_t *evidence,
                          const mb_evidence_run_t *run);
/* Tells whether a piece of work has failed. */
bool mb_evidence_is_known(const mb_evidence_t *evidence, uint64_t source);
/* Tells whether failures of a piece of work are not explained by the workers.
   Such work is a bad probe: its failure would show little. */
bool mb_evidence_may_be_faulty(const mb_evidence_t *evidence, uint64_t source);

#endif
