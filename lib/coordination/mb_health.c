#include "mb_health.h"

#include <glib.h>
#include <string.h>

/* Starts as good, with nothing known. */
void
mb_health_init(mb_health_t *health)
{
    *health = (mb_health_t){.probe_interval_us = MB_HEALTH_PROBE_FIRST_US};
}

/* Tells whether a probe has run for so long that it proves the worker; one
   that is a service reports no success for as long as it runs. */
static bool
is_proven(const mb_health_t *health, uint64_t now_us)
{
#ifdef MB_MUTANT_HEALTH_PROBE_NEVER_PROVEN
    return false;
#endif
    return health->state == MB_HEALTH_PROBING &&
           now_us - health->probe_start_us >= MB_HEALTH_PROVEN_US;
}

/* Tells whether a start may go there now. A good one is refused only while
   the last MB_HEALTH_UNPROVEN_MAX starts are all young and without a success:
   the outcomes may be failures that have not arrived yet. */
bool
mb_health_allows_start(const mb_health_t *health, uint64_t now_us)
{
#ifdef MB_MUTANT_HEALTH_NO_SUSPENSION
    return true;
#endif
    if (health->state == MB_HEALTH_PROBING) {
        return false;
    }
    if (health->state == MB_HEALTH_SUSPENDED) {
        return now_us >= health->next_probe_us;
    }
    if (health->unproven < MB_HEALTH_UNPROVEN_MAX) {
        return true;
    }
    uint64_t oldest_us = health->starts_us[0];
    uint64_t wait_us = health->consecutive_failures == 0
                           ? MB_HEALTH_PROVEN_US
                           : MB_HEALTH_PROVEN_AFTER_FAILURE_US;
    return now_us - oldest_us >= wait_us;
}

/* Tells whether failures in a row keep starts away; see the header. */
bool
mb_health_suspended(const mb_health_t *health, uint64_t now_us)
{
    return (health->state == MB_HEALTH_PROBING &&
            !is_proven(health, now_us)) ||
           (health->state == MB_HEALTH_SUSPENDED &&
            now_us < health->next_probe_us);
}

/* Drops the oldest unproven starts. */
static void
forget(mb_health_t *health, uint32_t count)
{
    health->unproven -= count;
    memmove(health->starts_us, health->starts_us + count,
            health->unproven * sizeof(health->starts_us[0]));
}

/* Notes a start that mb_health_allows_start let through. */
void
mb_health_started(mb_health_t *health, uint64_t now_us)
{
    if (health->state == MB_HEALTH_SUSPENDED) {
        health->state = MB_HEALTH_PROBING;
        health->probe_start_us = now_us;
        return;
    }
    if (is_proven(health, now_us)) {
        mb_health_init(health);
    }
    if (health->unproven == MB_HEALTH_UNPROVEN_MAX) {
        forget(health, 1);
    }
    health->starts_us[health->unproven++] = now_us;
}

/* Notes a success. It proves the starts up to its own and nothing later: a
   worker that turned bad still finishes what it ran before. */
void
mb_health_succeeded(mb_health_t *health, uint64_t started_us)
{
    if (health->state != MB_HEALTH_HEALTHY) {
        if (started_us >= health->suspended_us) {
            mb_health_init(health);
        }
        return;
    }
    uint32_t proven = 0;
    while (proven < health->unproven &&
           health->starts_us[proven] <= started_us) {
        proven++;
    }
    forget(health, proven);
    if (health->last_failed_start_us <= started_us) {
        health->consecutive_failures = 0;
    }
}

/* Notes a failure. A failure from before the suspension does not count as
   the outcome of a probe. */
void
mb_health_failed(mb_health_t *health, uint64_t started_us, uint64_t now_us)
{
    if (is_proven(health, now_us)) {
        mb_health_init(health);
    }
    if (health->state == MB_HEALTH_HEALTHY) {
        health->consecutive_failures++;
        health->last_failed_start_us =
            MAX(health->last_failed_start_us, started_us);
        if (health->consecutive_failures < MB_HEALTH_FAILURES_MAX) {
            return;
        }
        health->suspended_us = now_us;
    }
    else if (started_us < health->suspended_us) {
        return;
    }
    else {
        health->probe_interval_us =
            MIN(2 * health->probe_interval_us, MB_HEALTH_PROBE_MAX_US);
    }
    health->state = MB_HEALTH_SUSPENDED;
    health->next_probe_us = now_us + health->probe_interval_us;
}

/* Notes a start without an outcome. A probe is to be repeated at once,
   because nothing was learned from it. */
void
mb_health_abandoned(mb_health_t *health, uint64_t started_us)
{
    if (health->state == MB_HEALTH_PROBING &&
        started_us >= health->suspended_us) {
        health->state = MB_HEALTH_SUSPENDED;
    }
}
