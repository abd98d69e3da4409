/* Circuit breaker for one worker, based on the outcomes of the tasks that were
   started there. When all starts fail, it suspends the worker after at
   most MB_HEALTH_UNPROVEN_MAX starts. The worker is then probed with one start
   at a time, at growing intervals; a successful probe restores it. Failures
   that mb_attribution attributes to the work are excused: they are not held
   against the worker, unless it turns out later that the work is sound. Used
   by the owners of the fleet and of shards, on one thread. Targets of requests
   are ejected by mb_route instead. */
#ifndef MB_HEALTH_H
#define MB_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "mb_attribution.h"

/* Maximum number of unproven starts: those without a success that are younger
   than MB_HEALTH_PROVEN_US. */
#define MB_HEALTH_UNPROVEN_MAX 10
/* Consecutive failures that suspend a worker, without the excused ones. */
#define MB_HEALTH_FAILURES_MAX 5
/* Number of failures that are kept, with the excused ones. */
#define MB_HEALTH_FAILURES_KEPT 8
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
/* Maximum interval after a probe with work that may be at fault itself, in
   microseconds: other work must not wait for the worker because of it. */
#define MB_HEALTH_PROBE_UNCLEAR_MAX_US UINT64_C(2000000)
/* In place of a source: the failure speaks against the worker alone. */
#define MB_HEALTH_NO_SOURCE UINT64_C(0)

typedef enum mb_health_state {
    MB_HEALTH_HEALTHY,
    MB_HEALTH_SUSPENDED,
    MB_HEALTH_PROBING /* suspended while one probe runs */
} mb_health_state_t;

/* A failed start that no later start has made up for. */
typedef struct mb_health_failure {
    uint64_t source; /* identifies the work that failed */
    uint64_t started_us;
} mb_health_failure_t;

typedef struct mb_health {
    mb_health_state_t state;
    uint32_t consecutive_failures; /* in `failures`, without the excused */
    uint32_t failure_count;        /* number of elements of `failures` */
    uint32_t excused;              /* mask of elements of `failures` */
    mb_health_failure_t failures[MB_HEALTH_FAILURES_KEPT]; /* oldest first */
    uint32_t unproven; /* number of elements of `starts_us` */
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
/* Returns whether the worker would be suspended without the failures of one
   piece of work. */
bool mb_health_is_suspended_by_others(const mb_health_t *health,
                                      uint64_t source);
/* Counts the failures that are held against the worker, and the excused ones
   of one piece of work. */
uint32_t mb_health_count_failures(const mb_health_t *health, uint64_t source);
/* Returns whether a start now would be the probe of a suspended worker. */
bool mb_health_is_probe_due(const mb_health_t *health, uint64_t now_us);
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
/* The start failed for a reason that speaks against the worker alone. */
void mb_health_failed(mb_health_t *health, uint64_t started_us,
                      uint64_t now_us);
/* The start of a piece of work failed. `source` identifies the work, and
   `cause` is that of its failures so far, this one included. */
void mb_health_work_failed(mb_health_t *health, uint64_t source,
                           mb_attribution_cause_t cause, uint64_t started_us,
                           uint64_t now_us);
/* The failures of a piece of work are, or are no longer, attributed to it. May
   restore or suspend the worker. */
void mb_health_set_excused(mb_health_t *health, uint64_t source, bool excused,
                           uint64_t now_us);

#endif
