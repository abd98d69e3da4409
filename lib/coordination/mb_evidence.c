#include "mb_evidence.h"

/* The evidence on a piece of work that has failed. */
typedef struct item {
    mb_evidence_work_t work;
    mb_attribution_t attribution;
    mb_attribution_cause_t cause; /* that the owner was told last */
} item_t;

/* Initializes an empty state. */
void
mb_evidence_init(mb_evidence_t *evidence,
                 const mb_evidence_callbacks_t *callbacks,
                 const mb_clock_t *clock)
{
    *evidence = (mb_evidence_t){.items = g_hash_table_new_full(
                                    g_int64_hash, g_int64_equal, NULL, g_free),
                                .callbacks = *callbacks,
                                .clock = *clock};
}

/* Releases everything that is owned. */
void
mb_evidence_finish(mb_evidence_t *evidence)
{
    g_hash_table_destroy(evidence->items);
}

/* Drops the evidence on all work, at a change of ownership. */
void
mb_evidence_clear(mb_evidence_t *evidence)
{
    g_hash_table_remove_all(evidence->items);
}

/* Drops the evidence on a piece of work that has ended. */
void
mb_evidence_forget(mb_evidence_t *evidence, uint64_t source)
{
    (void)g_hash_table_remove(evidence->items, &source);
}

/* Returns the evidence on a piece of work; NULL if it has not failed. */
static item_t *
find_item(const mb_evidence_t *evidence, uint64_t source)
{
    return g_hash_table_size(evidence->items) == 0
               ? NULL
               : g_hash_table_lookup(evidence->items, &source);
}

/* Returns the evidence on a piece of work; adds it if there is none. */
static item_t *
ensure_item(mb_evidence_t *evidence, const mb_evidence_work_t *work)
{
    item_t *item = find_item(evidence, work->source);
    if (item == NULL) {
        item = g_new(item_t, 1);
        *item = (item_t){.work = *work, .cause = MB_CAUSE_NONE};
        mb_attribution_init(&item->attribution);
        (void)g_hash_table_insert(evidence->items, &item->work.source, item);
    }
    return item;
}

/* Returns the cause of the failures of a piece of work so far. */
static mb_attribution_cause_t
get_cause(const mb_evidence_t *evidence, const item_t *item)
{
    return mb_attribution_cause(&item->attribution,
                                mb_clock_us(&evidence->clock));
}

/* Tells the owner if the cause of failures has changed since it was told. It
   may change with time alone. Returns the cause. */
static mb_attribution_cause_t
apply_change(mb_evidence_t *evidence, item_t *item)
{
    mb_attribution_cause_t before = item->cause;
    item->cause = get_cause(evidence, item);
    if (before != item->cause) {
        evidence->callbacks.changed(evidence->callbacks.context, &item->work,
                                    before, item->cause);
    }
    return item->cause;
}

/* Adds a failure to the evidence on its work. On a worker that fails other
   work too, it says little about the work, unless most workers do. Returns
   what it shows of the worker. */
static mb_attribution_cause_t
add_failure(mb_evidence_t *evidence, const mb_evidence_run_t *run)
{
    item_t *item = ensure_item(evidence, &run->work);
    mb_attribution_t *attribution = &item->attribution;
    mb_attribution_cause_t before = get_cause(evidence, item);
    if (before != MB_CAUSE_WORK &&
        mb_health_is_suspended_by_others(run->health, run->work.source) &&
        !evidence->callbacks.are_most_suspended(evidence->callbacks.context)) {
        mb_attribution_failed_on_faulty(attribution);
        return before == MB_CAUSE_NONE ? MB_CAUSE_WORKERS : before;
    }
    bool is_first = attribution->failed_count == 0;
    mb_attribution_failed(attribution, run->worker, run->started_us,
                          run->worked_us);
    if (is_first) {
        evidence->callbacks.add_pending(evidence->callbacks.context,
                                        &item->work, attribution);
    }
    return apply_change(evidence, item);
}

/* Attributes a failure to the worker or to the work. */
void
mb_evidence_failed(mb_evidence_t *evidence, const mb_evidence_run_t *run)
{
    mb_attribution_cause_t cause = add_failure(evidence, run);
    mb_health_work_failed(run->health, run->work.source, cause,
                          run->started_us, mb_clock_us(&evidence->clock));
}

/* Notes that a piece of work is certainly at fault itself. */
static void
refute(mb_evidence_t *evidence, item_t *item)
{
    mb_attribution_refuted(&item->attribution);
    (void)apply_change(evidence, item);
}

/* Attributes the refusal of a start as invalid to the work. */
void
mb_evidence_invalid(mb_evidence_t *evidence, const mb_evidence_work_t *work)
{
    refute(evidence, ensure_item(evidence, work));
}

/* Attributes the failures of other work on the worker of a run that has worked
   to that work, if they were started up to this run. */
static void
refute_others(mb_evidence_t *evidence, const mb_evidence_run_t *worked)
{
    /* A change of the cause changes the failures that are kept. */
    const mb_health_t health = *worked->health;
    for (uint32_t i = 0; i < health.failure_count; i++) {
        const mb_health_failure_t *failure = &health.failures[i];
        item_t *item = find_item(evidence, failure->source);
        if (item != NULL && failure->source != worked->work.source &&
            failure->started_us <= worked->started_us) {
            refute(evidence, item);
        }
    }
}

/* Counts a success for the worker and for the work: failures of the work
   before were those of the workers, and are no longer excused. */
void
mb_evidence_succeeded(mb_evidence_t *evidence, const mb_evidence_run_t *run)
{
    item_t *item = find_item(evidence, run->work.source);
    if (item != NULL) {
        mb_attribution_worked(&item->attribution, run->started_us);
        (void)apply_change(evidence, item);
    }
    refute_others(evidence, run);
    mb_health_succeeded(run->health, run->started_us);
}

/* Notes for how long a run has worked. */
void
mb_evidence_survived(mb_evidence_t *evidence, const mb_evidence_run_t *run)
{
    item_t *item = find_item(evidence, run->work.source);
    if (item != NULL) {
        mb_attribution_survived(&item->attribution, run->started_us,
                                run->worked_us);
        (void)apply_change(evidence, item);
    }
}

/* Tells whether there is evidence on a piece of work. */
bool
mb_evidence_is_known(const mb_evidence_t *evidence, uint64_t source)
{
    return find_item(evidence, source) != NULL;
}

/* Tells whether work may be at fault itself; see the header. */
bool
mb_evidence_may_be_faulty(const mb_evidence_t *evidence, uint64_t source)
{
    const item_t *item = find_item(evidence, source);
    if (item == NULL) {
        return false;
    }
    mb_attribution_cause_t cause = get_cause(evidence, item);
    return cause == MB_CAUSE_UNCLEAR || cause == MB_CAUSE_WORK;
}
