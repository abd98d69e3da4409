#include "mb_attribution.h"

#include <glib.h>

/* Initializes the state of work that has not failed. */
void
mb_attribution_init(mb_attribution_t *attribution)
{
    *attribution = (mb_attribution_t){0};
}

/* Tells whether the work has failed on a worker. */
static bool
has_failed_on(const mb_attribution_t *attribution, uint64_t worker)
{
    for (uint32_t i = 0; i < attribution->failed_count; i++) {
        if (attribution->failed_workers[i] == worker) {
            return true;
        }
    }
    return false;
}

/* Removes the run on a worker from those without an outcome. Returns false if
   there is none. */
static bool
remove_pending(mb_attribution_t *attribution, uint64_t worker)
{
    for (uint32_t i = 0; i < attribution->pending_count; i++) {
        if (attribution->pending[i].worker == worker) {
            attribution->pending[i] =
                attribution->pending[--attribution->pending_count];
            return true;
        }
    }
    return false;
}

/* Records a failed run; see the header. */
void
mb_attribution_failed(mb_attribution_t *attribution, uint64_t worker,
                      uint64_t started_us, uint64_t worked_us)
{
    attribution->first_start_us =
        attribution->failed_count == 0
            ? started_us
            : MIN(attribution->first_start_us, started_us);
    attribution->last_start_us = MAX(attribution->last_start_us, started_us);
    attribution->longest_failed_us =
        MAX(attribution->longest_failed_us, worked_us);
    attribution->pending_failed += remove_pending(attribution, worker) ? 1 : 0;
    if (attribution->failed_count < MB_ATTRIBUTION_WORKERS_MAX &&
        !has_failed_on(attribution, worker)) {
        attribution->failed_workers[attribution->failed_count++] = worker;
    }
}

/* Records a run without an outcome; see the header. */
bool
mb_attribution_pending(mb_attribution_t *attribution, uint64_t worker,
                       uint64_t started_us)
{
    if (started_us < attribution->first_start_us ||
        has_failed_on(attribution, worker)) {
        return true;
    }
    (void)remove_pending(attribution, worker);
    if (attribution->pending_count == MB_ATTRIBUTION_WORKERS_MAX) {
        attribution->pending_is_sample = true;
        return false;
    }
    attribution->pending[attribution->pending_count++] =
        (mb_attribution_run_t){worker, started_us};
    return true;
}

/* Records a failed run on a worker that fails other work too. */
void
mb_attribution_failed_on_faulty(mb_attribution_t *attribution)
{
    attribution->is_doubted = true;
}

/* Records that the failures are not those of the workers; see the header. */
void
mb_attribution_refuted(mb_attribution_t *attribution)
{
    attribution->is_refuted = true;
}

/* Records that a run is at work. Counts for runs that were started with the
   failed ones or later. */
void
mb_attribution_survived(mb_attribution_t *attribution, uint64_t started_us,
                        uint64_t worked_us)
{
    if (attribution->failed_count > 0 &&
        started_us >= attribution->first_start_us) {
        attribution->longest_survived_us =
            MAX(attribution->longest_survived_us, worked_us);
    }
}

/* Records a success. Unless all failed runs were started later, and the work
   may have become faulty meanwhile, the failures so far were those of their
   workers. */
void
mb_attribution_worked(mb_attribution_t *attribution, uint64_t started_us)
{
    uint64_t worked_start_us = MAX(attribution->worked_start_us, started_us);
    if (started_us >= attribution->first_start_us) {
        mb_attribution_init(attribution);
    }
    attribution->worked_start_us = worked_start_us;
}

/* Counts the workers where a run is older than the failed ones and may be at
   work: it is reported soon, as at work or as failed. */
static uint32_t
count_at_work(const mb_attribution_t *attribution, uint64_t now_us)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < attribution->pending_count; i++) {
        uint64_t age_us = now_us - attribution->pending[i].started_us;
        count += age_us >= attribution->longest_failed_us &&
                 age_us < attribution->longest_failed_us +
                              MB_ATTRIBUTION_PENDING_US;
    }
    return count;
}

/* Tells whether a start that worked speaks for the failed ones: a run that was
   started with them or later has outlived them, or one that was started
   shortly before has succeeded. */
static bool
is_known_to_work(const mb_attribution_t *attribution)
{
    return (attribution->failed_count > 0 &&
            attribution->longest_survived_us >=
                attribution->longest_failed_us + MB_ATTRIBUTION_MARGIN_US) ||
           (attribution->worked_start_us != 0 &&
            attribution->last_start_us <=
                attribution->worked_start_us + MB_ATTRIBUTION_RECENT_US);
}

/* Returns to what the failures so far are attributed. */
mb_attribution_cause_t
mb_attribution_cause(const mb_attribution_t *attribution, uint64_t now_us)
{
#ifdef MB_MUTANT_ATTRIBUTION_WORK_NEVER_BLAMED
    return attribution->failed_count > 0 ? MB_CAUSE_WORKERS : MB_CAUSE_NONE;
#endif
    if (attribution->failed_count == 0 && !attribution->is_refuted &&
        !attribution->is_doubted) {
        return MB_CAUSE_NONE;
    }
#ifdef MB_MUTANT_ATTRIBUTION_WORK_ALWAYS_BLAMED
    return MB_CAUSE_WORK;
#endif
    if (is_known_to_work(attribution)) {
        return MB_CAUSE_WORKERS;
    }
    if (attribution->is_refuted) {
        return MB_CAUSE_WORK;
    }
    if (attribution->failed_count <= 1) {
        return MB_CAUSE_UNCLEAR;
    }
    uint32_t failed_count = attribution->pending_is_sample
                                ? attribution->pending_failed
                                : attribution->failed_count;
    return failed_count > count_at_work(attribution, now_us)
               ? MB_CAUSE_WORK
               : MB_CAUSE_WORKERS;
}

/* Returns the name of a cause for log lines, a static text. */
const char *
mb_attribution_cause_name(mb_attribution_cause_t cause)
{
    static const char *const names[MB_CAUSE_COUNT] = {"none", "unclear",
                                                      "workers", "work"};
    return cause < MB_CAUSE_COUNT ? names[cause] : "unknown";
}
