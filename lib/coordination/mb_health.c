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

/* Returns whether a start now would be a probe. */
bool
mb_health_is_probe_due(const mb_health_t *health, uint64_t now_us)
{
    return health->state == MB_HEALTH_SUSPENDED &&
           now_us >= health->next_probe_us;
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

/* Returns the excused failures as a mask without the element at an index; the
   later ones move by one. */
static uint32_t
remove_bit(uint32_t mask, uint32_t index)
{
    uint32_t below = (UINT32_C(1) << index) - 1;
    return (mask & below) | ((mask >> 1) & ~below);
}

/* Tells whether the failure at an index is excused. */
static bool
is_excused(const mb_health_t *health, uint32_t index)
{
    return (health->excused >> index & 1) != 0;
}

/* Removes the failure at an index. */
static void
remove_failure(mb_health_t *health, uint32_t index)
{
    health->consecutive_failures -= is_excused(health, index) ? 0 : 1;
    health->excused = remove_bit(health->excused, index);
    health->failure_count--;
    memmove(health->failures + index, health->failures + index + 1,
            (health->failure_count - index) * sizeof(health->failures[0]));
}

/* Returns the index of the oldest excused failure, of a piece of work unless
   `source` is MB_HEALTH_NO_SOURCE, or MB_HEALTH_FAILURES_KEPT if there is
   none. */
static uint32_t
find_excused(const mb_health_t *health, uint64_t source)
{
    for (uint32_t i = 0; i < health->failure_count; i++) {
        if (is_excused(health, i) && (source == MB_HEALTH_NO_SOURCE ||
                                      health->failures[i].source == source)) {
            return i;
        }
    }
    return MB_HEALTH_FAILURES_KEPT;
}

/* Makes room for a failure of a piece of work. The excused ones are dropped
   first, and among them those of the same work, so that work which fails all
   the time does not hide the rest. */
static void
drop_failure(mb_health_t *health, uint64_t source)
{
    uint32_t index = find_excused(health, source);
    if (index == MB_HEALTH_FAILURES_KEPT) {
        index = find_excused(health, MB_HEALTH_NO_SOURCE);
    }
    remove_failure(health, index == MB_HEALTH_FAILURES_KEPT ? 0 : index);
}

/* Adds a failed start. */
static void
add_failure(mb_health_t *health, uint64_t source, uint64_t started_us,
            bool excused)
{
    if (health->failure_count == MB_HEALTH_FAILURES_KEPT) {
        drop_failure(health, source);
    }
    health->excused |= (excused ? UINT32_C(1) : 0) << health->failure_count;
    health->consecutive_failures += excused ? 0 : 1;
    health->failures[health->failure_count++] =
        (mb_health_failure_t){source, started_us};
}

/* Removes the failures of starts up to a time. */
static void
remove_failures_until(mb_health_t *health, uint64_t started_us)
{
    for (uint32_t i = 0; i < health->failure_count;) {
        if (health->failures[i].started_us <= started_us) {
            remove_failure(health, i);
        }
        else {
            i++;
        }
    }
}

/* Tells whether the failures of other work suffice to suspend the worker. */
bool
mb_health_is_suspended_by_others(const mb_health_t *health, uint64_t source)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < health->failure_count; i++) {
        count +=
            !is_excused(health, i) && health->failures[i].source != source;
    }
    return health->state != MB_HEALTH_HEALTHY &&
           count >= MB_HEALTH_FAILURES_MAX;
}

/* Counts the failures that are held against the worker, and the excused ones
   of one piece of work. */
uint32_t
mb_health_count_failures(const mb_health_t *health, uint64_t source)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < health->failure_count; i++) {
        count +=
            !is_excused(health, i) || health->failures[i].source == source;
    }
    return count;
}

/* Removes one unproven start of a time: its outcome is known, and says nothing
   about the worker. */
static void
forget_start(mb_health_t *health, uint64_t started_us)
{
    for (uint32_t i = 0; i < health->unproven; i++) {
        if (health->starts_us[i] == started_us) {
            health->unproven--;
            memmove(health->starts_us + i, health->starts_us + i + 1,
                    (health->unproven - i) * sizeof(health->starts_us[0]));
            return;
        }
    }
}

/* Restores a suspended worker if too few failures are held against it since
   some were made up for or excused. */
static void
restore(mb_health_t *health)
{
    if (health->consecutive_failures < MB_HEALTH_FAILURES_MAX &&
        health->state != MB_HEALTH_HEALTHY) {
        health->state = MB_HEALTH_HEALTHY;
        health->probe_interval_us = MB_HEALTH_PROBE_FIRST_US;
    }
}

/* Suspends a healthy worker that has failed too often in a row, or restores a
   suspended one. */
static void
update_state(mb_health_t *health, uint64_t now_us)
{
    if (health->consecutive_failures >= MB_HEALTH_FAILURES_MAX &&
        health->state == MB_HEALTH_HEALTHY) {
        health->state = MB_HEALTH_SUSPENDED;
        health->suspended_us = now_us;
        health->next_probe_us = now_us + health->probe_interval_us;
    }
    restore(health);
}

/* Records a success. It proves the starts up to its own, and not later ones: a
   worker that has become faulty may still complete what it started before. */
void
mb_health_succeeded(mb_health_t *health, uint64_t started_us)
{
    if (health->state != MB_HEALTH_HEALTHY &&
        started_us >= health->suspended_us) {
        mb_health_init(health);
        return;
    }
    uint32_t proven = 0;
    while (proven < health->unproven &&
           health->starts_us[proven] <= started_us) {
        proven++;
    }
    remove_oldest_starts(health, proven);
    remove_failures_until(health, started_us);
    restore(health);
}

/* Records a failed probe. The interval grows, but only up to a limit if the
   work may be at fault. */
static void
fail_probe(mb_health_t *health, bool is_unclear, uint64_t now_us)
{
    uint64_t interval_us =
        MIN(2 * health->probe_interval_us, MB_HEALTH_PROBE_MAX_US);
    if (is_unclear) {
        interval_us = MAX(MIN(interval_us, MB_HEALTH_PROBE_UNCLEAR_MAX_US),
                          health->probe_interval_us);
    }
    health->probe_interval_us = interval_us;
    health->state = MB_HEALTH_SUSPENDED;
    health->next_probe_us = now_us + interval_us;
}

/* Records a failure that speaks against the worker alone. */
void
mb_health_failed(mb_health_t *health, uint64_t started_us, uint64_t now_us)
{
    mb_health_work_failed(health, MB_HEALTH_NO_SOURCE, MB_CAUSE_WORKERS,
                          started_us, now_us);
}

/* Records a failed start; see the header. A failure of a start from before the
   suspension does not count as the outcome of the probe. */
void
mb_health_work_failed(mb_health_t *health, uint64_t source,
                      mb_attribution_cause_t cause, uint64_t started_us,
                      uint64_t now_us)
{
    bool excused = cause == MB_CAUSE_WORK;
    if (is_probe_proven(health, now_us)) {
        mb_health_init(health);
    }
    bool is_suspended = health->state != MB_HEALTH_HEALTHY;
    add_failure(health, source, started_us, excused);
    if (is_suspended && started_us < health->suspended_us) {
        return;
    }
    if (excused) {
        forget_start(health, started_us);
        mb_health_abandoned(health, started_us);
    }
    else if (is_suspended) {
        fail_probe(health, cause == MB_CAUSE_UNCLEAR, now_us);
    }
    update_state(health, now_us);
}

/* Excuses the failures of a piece of work or holds them against the worker;
   see the header. */
void
mb_health_set_excused(mb_health_t *health, uint64_t source, bool excused,
                      uint64_t now_us)
{
    bool has_changed = false;
    for (uint32_t i = 0; i < health->failure_count; i++) {
        if (health->failures[i].source != source ||
            is_excused(health, i) == excused) {
            continue;
        }
        has_changed = true;
        health->excused ^= UINT32_C(1) << i;
        if (excused) {
            health->consecutive_failures--;
            forget_start(health, health->failures[i].started_us);
        }
        else {
            health->consecutive_failures++;
        }
    }
    if (has_changed) {
        update_state(health, now_us);
    }
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
