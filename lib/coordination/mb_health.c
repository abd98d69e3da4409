#include "mb_health.h"

#include <glib.h>
#include <string.h>

/* Initializes a healthy state without starts. */
void
mb_health_init(mb_health_t *health)
{
    *health = (mb_health_t){.probe_interval_us = MB_HEALTH_PROBE_FIRST_US};
}

/* Returns whether the probe has run for so long that it counts as a success. A
   service that serves as a probe reports no success for as long as it runs. */
static bool
is_probe_proven(const mb_health_t *health, uint64_t now_us)
{
#ifdef MB_MUTANT_HEALTH_PROBE_NEVER_PROVEN
    return false;
#endif
    return health->state == MB_HEALTH_PROBING &&
           now_us - health->probe_start_us >= MB_HEALTH_PROVEN_US;
}

/* Returns whether a start is allowed now. Starts on a healthy worker are
   refused only while the latest MB_HEALTH_UNPROVEN_MAX starts are all
   unproven: their failures may not have been reported yet. */
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

/* Returns whether consecutive failures rule out starts; see the header. */
bool
mb_health_suspended(const mb_health_t *health, uint64_t now_us)
{
    return (health->state == MB_HEALTH_PROBING &&
            !is_probe_proven(health, now_us)) ||
           (health->state == MB_HEALTH_SUSPENDED &&
            now_us < health->next_probe_us);
}

/* Removes the oldest `count` unproven starts. */
static void
remove_oldest_starts(mb_health_t *health, uint32_t count)
{
    health->unproven -= count;
    memmove(health->starts_us, health->starts_us + count,
            health->unproven * sizeof(health->starts_us[0]));
}

/* Records a start that mb_health_allows_start allowed or mb_health_suspended
   did not rule out. */
void
mb_health_started(mb_health_t *health, uint64_t now_us)
{
    if (health->state == MB_HEALTH_SUSPENDED) {
        health->state = MB_HEALTH_PROBING;
        health->probe_start_us = now_us;
        return;
    }
    if (is_probe_proven(health, now_us)) {
        mb_health_init(health);
    }
    if (health->unproven == MB_HEALTH_UNPROVEN_MAX) {
        remove_oldest_starts(health, 1);
    }
    health->starts_us[health->unproven++] = now_us;
}

/* Records a success. It proves the starts up to its own, and not later ones: a
   worker that has become faulty may still complete what it started before. */
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
    remove_oldest_starts(health, proven);
    if (health->last_failed_start_us <= started_us) {
        health->consecutive_failures = 0;
    }
}

/* Records a failure. A failure of a start from before the suspension does not
   count as the outcome of the probe. */
void
mb_health_failed(mb_health_t *health, uint64_t started_us, uint64_t now_us)
{
    if (is_probe_proven(health, now_us)) {
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

/* Records a start that ended without an outcome. A probe may be repeated at
   once, because it gave no information. */
void
mb_health_abandoned(mb_health_t *health, uint64_t started_us)
{
    if (health->state == MB_HEALTH_PROBING &&
        started_us >= health->suspended_us) {
        health->state = MB_HEALTH_SUSPENDED;
    }
}
