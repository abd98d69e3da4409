/* Score of one worker or upstream from the outcomes of what was started
   there. One that fails everything is suspended within
   MB_HEALTH_UNPROVEN_MAX starts, then probed with one start at a time at
   growing intervals; a probe that succeeds restores it. Used on one thread. */
#ifndef MB_HEALTH_H
#define MB_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* Most starts without a success that are younger than MB_HEALTH_PROVEN_US. */
#define MB_HEALTH_UNPROVEN_MAX 10
/* Failures in a row that suspend; failures that have nothing to do with the
   worker, like a job that always fails, should rarely come in such a row. */
#define MB_HEALTH_FAILURES_MAX 5
/* A start that ran this long without failing no longer counts as unproven.
   Shorter than the 4 s in which urgent work has to start. */
#define MB_HEALTH_PROVEN_US UINT64_C(3000000)
/* The same after a failure. Bounded, because a worker whose tasks are services
   reports no success for as long as they run. */
#define MB_HEALTH_PROVEN_AFTER_FAILURE_US UINT64_C(30000000)
/* Interval between probes: doubled after each failed one. */
#define MB_HEALTH_PROBE_FIRST_US UINT64_C(1000000)
#define MB_HEALTH_PROBE_MAX_US UINT64_C(300000000)

typedef enum mb_health_state {
    MB_HEALTH_HEALTHY,
    MB_HEALTH_SUSPENDED,
    MB_HEALTH_PROBING /* suspended, one probe runs */
} mb_health_state_t;

typedef struct mb_health {
    mb_health_state_t state;
    uint32_t consecutive_failures; /* in a row */
    uint64_t last_failed_start_us; /* latest start that failed */
    uint32_t unproven; /* latest starts without a success, oldest first */
    uint64_t starts_us[MB_HEALTH_UNPROVEN_MAX];
    uint64_t suspended_us;
    uint64_t next_probe_us;  /* earliest time of the next probe */
    uint64_t probe_start_us; /* start of the probe that runs */
    uint64_t probe_interval_us;
} mb_health_t;

void mb_health_init(mb_health_t *health);
/* Whether a start may go there now. */
bool mb_health_allows_start(const mb_health_t *health, uint64_t now_us);
/* Whether failures in a row keep starts away now, apart from a probe that is
   due. Unlike mb_health_allows_start it does not bound the unproven starts,
   for workers that hold many short tasks at a time, and takes a probe that has
   run for MB_HEALTH_PROVEN_US for a success, as it may be a service. */
bool mb_health_suspended(const mb_health_t *health, uint64_t now_us);
void mb_health_started(mb_health_t *health, uint64_t now_us);
/* `started_us` is the time given to mb_health_started. */
void mb_health_succeeded(mb_health_t *health, uint64_t started_us);
/* The start ended without an outcome: lost, or stopped by its owner. */
void mb_health_abandoned(mb_health_t *health, uint64_t started_us);
void mb_health_failed(mb_health_t *health, uint64_t started_us,
                      uint64_t now_us);

#endif
