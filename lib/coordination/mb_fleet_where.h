/* Explains to operators where the waiting tasks of a job would be placed now,
   and why: by the same costs and limits as a scheduling pass, without starting
   or storing anything. The job may be one of the table, or one that has not
   been submitted. */
#ifndef MB_FLEET_WHERE_H
#define MB_FLEET_WHERE_H

#include "mb_fleet.h"

/* Maximum number of steps that are explained, and of workers that are named
   for each. */
#define MB_FLEET_WHERE_STEPS 4u
#define MB_FLEET_WHERE_PLACES 5u

/* A worker that a task fits on, and the cost there. */
typedef struct mb_fleet_where_place {
    mb_str_t worker; /* valid until the worker changes */
    uint64_t cost;
} mb_fleet_where_place_t;

/* The first waiting task of a step. */
typedef struct mb_fleet_where_step {
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    uint32_t waiting; /* tasks of the step without a run that are not done */
    /* A worker takes the task, unless tasks of other jobs take its room. */
    bool has_place;
    const char *reason;  /* why it waits, as in the log; a static text */
    uint32_t excluded;   /* workers that it must not run on */
    uint32_t unusable;   /* workers that get no starts at present */
    uint32_t no_room;    /* workers that it does not fit on */
    uint32_t evacuated;  /* workers that nothing but an evacuation excludes */
    uint32_t fits;       /* workers that it fits on */
    uint64_t cost_limit; /* a worker must cost less; UINT64_MAX: no limit */
    uint32_t place_count;
    mb_fleet_where_place_t
        places[MB_FLEET_WHERE_PLACES]; /* lowest cost first */
} mb_fleet_where_step_t;

typedef struct mb_fleet_where {
    bool is_late; /* the job is expected to miss its objective */
    /* Jobs of the same service with waiting tasks that come before it. */
    uint32_t jobs_before;
    uint32_t step_count; /* explained steps */
    mb_fleet_where_step_t steps[MB_FLEET_WHERE_STEPS];
} mb_fleet_where_t;

/* Explains the first steps of an open job whose turn has come and of which
   tasks wait. Called by the owner only. */
void mb_fleet_explain_job(mb_fleet_t *fleet, mb_dag_job_t *job,
                          mb_fleet_where_t *where);
/* Explains a job as if it had just been submitted. Returns false if it is not
   valid. */
bool mb_fleet_explain_spec(mb_fleet_t *fleet, const mb_dag_spec_t *spec,
                           mb_fleet_where_t *where);

#endif
