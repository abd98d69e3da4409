/* Circuit breaker for one worker, based on the outcomes of the tasks that were
   started there. When all starts fail, it suspends the worker after at
   most MB_HEALTH_UNPROVEN_MAX starts. The worker is then probed with one start
   at a time, at growing intervals; a successful probe restores it. Used by the
   owners of the fleet and of shards, on one thread. Targets of requests are
   ejected by mb_route instead. */
#ifndef MB_HEALTH_H
#define MB_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* Maximum number of unproven starts: those without a success that are younger
   than MB_HEALTH_PROVEN_US. */
#define MB_HEALTH_UNPROVEN_MAX 10
/* Consecutive failures that suspend a worker. High enough that failures for
   other reasons than the worker, such as a job that always fails, rarely reach
   it. */
#define MB_HEALTH_FAILURES_MAX 5
/* Age, in microseconds, from which a start without a failure no longer counts
   as unproven. Shorter than the 4 s within which urgent work must start. */
#define MB_HEALTH_PROVEN_US UINT64_C(3000000)
/* The same age after a failure. It is bounded, because a worker whose tasks
   are services reports no success for as long as they run. */
#define MB_HEALTH_PROVEN_AFTER_FAILURE_US UINT64_C(30000000)
/* Interval between probes, in microseconds: the first, and the maximum. It
   doubles after each failed probe. */
#define MB_HEALTH_PROBE_FIRST_US UINT64_C(1000000)
#define MB_HEALTH_PROBE_MAX_US UINT64_C(300000000)

typedef enum mb_health_state {
    MB_HEALTH_HEALTHY,
    MB_HEALTH_SUSPENDED,
    MB_HEALTH_PROBING /* suspended while one probe runs */
} mb_health_state_t;

typedef struct mb_health {
    mb_health_state_t state;
    uint32_t consecutive_failures;
    uint64_t last_failed_start_us; /* latest start time of a failed start */
    uint32_t unproven;             /* number of elements of `starts_us` */
    /* Times of the unproven starts, oldest first. */
    uint64_t starts_us[MB_HEALTH_UNPROVEN_MAX];
    uint64_t suspended_us;   /* when the suspension began */
    uint64_t next_probe_us;  /* earliest time of the next probe */
    uint64_t probe_start_us; /* start time of the running probe */
    uint64_t probe_interval_us;
} mb_health_t;

void mb_health_init(mb_health_t *health);
/* Returns whether a task may be started on the worker now. */
bool mb_health_allows_start(const mb_health_t *health, uint64_t now_us);
/* Returns whether consecutive failures rule out starts now; false when a probe
   is due. Unlike mb_health_allows_start it does not limit unproven starts, for
   workers that run many short tasks at a time. A probe that has run for
   MB_HEALTH_PROVEN_US counts as a success, as it may be a service. */
bool mb_health_suspended(const mb_health_t *health, uint64_t now_us);
void mb_health_started(mb_health_t *health, uint64_t now_us);
/* `started_us` is the time that was passed to mb_health_started, here and
   below. */
void mb_health_succeeded(mb_health_t *health, uint64_t started_us);
/* The start ended without an outcome: lost, or stopped by its owner. */
void mb_health_abandoned(mb_health_t *health, uint64_t started_us);
void mb_health_failed(mb_health_t *health, uint64_t started_us,
                      uint64_t now_us);

#endif
