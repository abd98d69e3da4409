#include "mb_assert.h"
#include "mb_dispatch_table.h"

/* Workers looked at for one preemption, so that its cost is bounded. */
#define PREEMPT_WORKERS_MAX 512

/* Tells whether a part of the capacity, in percent, is held in a dimension
   that exists. */
static bool
holds_share(uint32_t held, uint32_t capacity, uint32_t percent)
{
    return (uint64_t)held * 100 >= (uint64_t)capacity * percent;
}

/* Returns the share that batch is kept at, in percent: its minimum and a
   margin, nothing when no minimum is declared. */
uint32_t
mb_dispatch_batch_floor_percent(const mb_dispatch_t *dispatch)
{
    uint32_t minimum = dispatch->policy.batch_min_share_percent;
    return minimum == 0
               ? 0
               : MIN(minimum + MB_DISPATCH_BATCH_MARGIN_PERCENT, 100u);
}

/* Tells whether batch holds its minimum share of the processors without a
   task of this size. Tasks being evicted no longer count as held. */
bool
mb_dispatch_can_reduce_batch(const mb_dispatch_t *dispatch,
                             const mb_size_t *size)
{
    uint32_t held = dispatch->used[MB_CLASS_BATCH].cpu_milli -
                    dispatch->evicting_size.cpu_milli;
    uint32_t floor = mb_dispatch_batch_floor_percent(dispatch);
    uint32_t kept =
        floor == 0 ? 0 : floor + MB_DISPATCH_EVICT_HYSTERESIS_PERCENT;
#ifdef MB_MUTANT_DISPATCH_NO_MINIMUM
    kept = 0;
#endif
    return held >= size->cpu_milli &&
           holds_share(held - size->cpu_milli, dispatch->capacity.cpu_milli,
                       kept);
}

/* Returns the running batch tasks of a worker, NULL when there are none. */
static GPtrArray *
batch_on(const mb_dispatch_t *dispatch, mb_worker_id_t worker)
{
    return g_hash_table_lookup(dispatch->batch_by_worker,
                               GUINT_TO_POINTER(worker + 1));
}

/* Lists a batch task under its worker. */
static void
list_batch(mb_dispatch_t *dispatch, mb_dispatch_running_t *running)
{
    GPtrArray *list = batch_on(dispatch, running->worker);
    if (list == NULL) {
        list = g_ptr_array_new();
        g_hash_table_insert(dispatch->batch_by_worker,
                            GUINT_TO_POINTER(running->worker + 1), list);
    }
    g_ptr_array_add(list, running);
}

/* Takes a batch task off the list of its worker. */
static void
unlist_batch(mb_dispatch_t *dispatch, mb_dispatch_running_t *running)
{
    GPtrArray *list = batch_on(dispatch, running->worker);
    g_ptr_array_remove_fast(list, running);
    if (list->len == 0) {
        g_hash_table_remove(dispatch->batch_by_worker,
                            GUINT_TO_POINTER(running->worker + 1));
    }
}

/* Counts a task as running; placement and quota have it already. */
void
mb_dispatch_add_running(mb_dispatch_t *dispatch,
                        const mb_dispatch_task_t *task, mb_worker_id_t worker)
{
    mb_dispatch_running_t *running = g_new0(mb_dispatch_running_t, 1);
    running->task = *task;
    running->worker = worker;
    running->started_us = dispatch->now_us;
    running->checkpoint_us = dispatch->now_us;
    g_hash_table_insert(dispatch->running, &running->task.id, running);
    mb_size_add(&dispatch->used[task->place.task_class], &task->place.size);
    if (task->place.task_class == MB_CLASS_BATCH && worker != MB_WORKER_NONE) {
        list_batch(dispatch, running);
    }
}

/* Counts a task as running without a start, as in replay. */
bool
mb_dispatch_restore(mb_dispatch_t *dispatch, const mb_dispatch_task_t *task,
                    mb_worker_id_t worker, uint64_t now_us)
{
    dispatch->now_us = now_us;
    const mb_size_t *size = &task->place.size;
    if (g_hash_table_contains(dispatch->running, &task->id) ||
        !mb_quota_reserve(dispatch->quota, task->team, size)) {
        return false;
    }
    if (!mb_placement_reserve(dispatch->placement, worker, &task->place)) {
        mb_quota_release(dispatch->quota, task->team, size);
        return false;
    }
    mb_dispatch_add_running(dispatch, task, worker);
    return true;
}

/* Counts a task that runs whether or not it fits. */
bool
mb_dispatch_adopt(mb_dispatch_t *dispatch, const mb_dispatch_task_t *task,
                  mb_worker_id_t worker, uint64_t now_us)
{
    bool placed =
        worker != MB_WORKER_NONE &&
        mb_placement_reserve(dispatch->placement, worker, &task->place);
    MB_INVARIANT(!g_hash_table_contains(dispatch->running, &task->id),
                 "task_counted_once");
    dispatch->now_us = now_us;
    mb_quota_count(dispatch->quota, task->team, &task->place.size);
    mb_dispatch_add_running(dispatch, task, placed ? worker : MB_WORKER_NONE);
    return placed;
}

/* Counts a task out that ended or was stopped. */
bool
mb_dispatch_task_ended(mb_dispatch_t *dispatch, uint64_t id)
{
    mb_dispatch_running_t *running =
        g_hash_table_lookup(dispatch->running, &id);
    if (running == NULL) {
        return false;
    }
    const mb_dispatch_task_t *task = &running->task;
    const mb_size_t *size = &task->place.size;
    if (running->worker != MB_WORKER_NONE) {
        mb_placement_release(dispatch->placement, running->worker,
                             &task->place);
    }
    mb_quota_release(dispatch->quota, task->team, size);
    mb_size_subtract(&dispatch->used[task->place.task_class], size);
    if (running->evicted) {
        mb_size_subtract(&dispatch->evicting_size, size);
    }
    if (task->place.task_class == MB_CLASS_BATCH &&
        running->worker != MB_WORKER_NONE) {
        unlist_batch(dispatch, running);
    }
    g_hash_table_remove(dispatch->running, &id);
    return true;
}

/* Returns when a running task was started, or counted in by a restore. */
uint64_t
mb_dispatch_started_us(const mb_dispatch_t *dispatch, uint64_t id)
{
    const mb_dispatch_running_t *running =
        g_hash_table_lookup(dispatch->running, &id);
    return running == NULL ? 0 : running->started_us;
}

/* Notes that the work of a running task up to now is saved. */
void
mb_dispatch_task_checkpointed(mb_dispatch_t *dispatch, uint64_t id,
                              uint64_t now_us)
{
    mb_dispatch_running_t *running =
        g_hash_table_lookup(dispatch->running, &id);
    if (running != NULL) {
        running->checkpoint_us = now_us;
    }
}

/* Tells whether batch keeps its minimum share when this task is evicted. */
bool
mb_dispatch_may_evict(const mb_dispatch_t *dispatch, uint64_t id)
{
    const mb_dispatch_running_t *running =
        g_hash_table_lookup(dispatch->running, &id);
    return running != NULL && !running->evicted &&
           running->task.place.task_class == MB_CLASS_BATCH &&
           mb_dispatch_can_reduce_batch(dispatch, &running->task.place.size);
}

/* Notes an eviction that the caller decided; the task no longer counts as
   held by batch. */
void
mb_dispatch_mark_evicting(mb_dispatch_t *dispatch, uint64_t id)
{
    mb_dispatch_running_t *running =
        g_hash_table_lookup(dispatch->running, &id);
    if (running != NULL && !running->evicted) {
        running->evicted = true;
        mb_size_add(&dispatch->evicting_size, &running->task.place.size);
    }
}

/* Tells whether batch holds its minimum share when it loses this much, as by
   throttling. */
bool
mb_dispatch_can_reduce_batch_cpu(const mb_dispatch_t *dispatch,
                                 uint32_t cpu_milli)
{
    mb_size_t lost = {.cpu_milli = cpu_milli};
    return cpu_milli == 0 || mb_dispatch_can_reduce_batch(dispatch, &lost);
}

/* Orders running tasks by the work that an eviction loses, least first. */
static int
compare_lost(gconstpointer a, gconstpointer b)
{
    const mb_dispatch_running_t *first = *(mb_dispatch_running_t *const *)a;
    const mb_dispatch_running_t *second = *(mb_dispatch_running_t *const *)b;
    return (first->checkpoint_us < second->checkpoint_us) -
           (first->checkpoint_us > second->checkpoint_us);
}

/* What clearing room on one worker would take. */
typedef struct clearing {
    mb_worker_id_t worker;
    GPtrArray *list; /* sorted; the first `count` go */
    uint32_t count;
    uint64_t lost_us;
} clearing_t;

/* Returns the part of the claims on a worker that is still being cleared.
   Room that has become free is taken by who comes first. */
static mb_size_t
claimed_pending(const GPtrArray *list, const mb_size_t *claimed)
{
    mb_size_t evicting_size = {0};
    for (guint i = 0; i < list->len; i++) {
        const mb_dispatch_running_t *running = g_ptr_array_index(list, i);
        if (running->evicted) {
            mb_size_add(&evicting_size, &running->task.place.size);
        }
    }
    return (mb_size_t){MIN(evicting_size.cpu_milli, claimed->cpu_milli),
                       MIN(evicting_size.memory_mb, claimed->memory_mb),
                       MIN(evicting_size.accelerators, claimed->accelerators)};
}

/* Finds how many batch tasks of a worker must go for the task to fit; false
   when all of them, down to the minimum share, are not enough. */
static bool
plan_clearing(const mb_dispatch_t *dispatch, const mb_dispatch_task_t *task,
              mb_worker_id_t worker, clearing_t *plan)
{
    mb_size_t room = mb_placement_free_size(dispatch->placement, worker);
    const mb_size_t *claimed =
        g_hash_table_lookup(dispatch->claims, GUINT_TO_POINTER(worker + 1));
    mb_size_t needed = task->place.size;
    mb_size_t gone = {0};
#ifndef MB_MUTANT_DISPATCH_NO_CLAIM
    if (claimed != NULL) {
        mb_size_t pending = claimed_pending(plan->list, claimed);
        mb_size_add(&needed, &pending);
    }
#else
    (void)claimed;
#endif
    g_ptr_array_sort(plan->list, compare_lost);
    for (plan->count = 0; plan->count < plan->list->len; plan->count++) {
        const mb_dispatch_running_t *next =
            g_ptr_array_index(plan->list, plan->count);
        if (mb_size_fits(&needed, &room)) {
            break;
        }
        mb_size_add(&room, &next->task.place.size);
        if (next->evicted) {
            continue;
        }
        mb_size_add(&gone, &next->task.place.size);
        if (!mb_dispatch_can_reduce_batch(dispatch, &gone)) {
            return false;
        }
        plan->lost_us += dispatch->now_us - next->checkpoint_us;
    }
    return mb_size_fits(&needed, &room);
}

/* Carries out a plan. */
static void
clear(mb_dispatch_t *dispatch, const clearing_t *plan)
{
    for (uint32_t i = 0; i < plan->count; i++) {
        mb_dispatch_running_t *running = g_ptr_array_index(plan->list, i);
        if (running->evicted) {
            continue;
        }
        running->evicted = true;
        mb_size_add(&dispatch->evicting_size, &running->task.place.size);
        dispatch->callbacks.evict(dispatch->callbacks.context,
                                  running->task.id, running->worker);
    }
}

/* Claims room that is being cleared, so that the next task clears its own. */
static void
claim(mb_dispatch_t *dispatch, mb_worker_id_t worker, const mb_size_t *size)
{
    gpointer key = GUINT_TO_POINTER(worker + 1);
    mb_size_t *claimed = g_hash_table_lookup(dispatch->claims, key);
    if (claimed == NULL) {
        claimed = g_new0(mb_size_t, 1);
        (void)g_hash_table_insert(dispatch->claims, key, claimed);
    }
    mb_size_add(claimed, size);
}

/* Gives up a claim. */
void
mb_dispatch_release_claim(mb_dispatch_t *dispatch, mb_worker_id_t worker,
                          const mb_size_t *size)
{
    gpointer key = GUINT_TO_POINTER(worker + 1);
    mb_size_t *claimed = g_hash_table_lookup(dispatch->claims, key);
    mb_size_subtract(claimed, size);
    if (claimed->cpu_milli == 0 && claimed->memory_mb == 0 &&
        claimed->accelerators == 0) {
        (void)g_hash_table_remove(dispatch->claims, key);
    }
}

/* Evicts the batch tasks of one worker that lose the least work. */
mb_worker_id_t
mb_dispatch_preempt(mb_dispatch_t *dispatch, const mb_dispatch_task_t *task)
{
    GHashTableIter iter;
    void *key = NULL;
    void *list = NULL;
    clearing_t best = {0};
    uint32_t looked_at = 0;
    g_hash_table_iter_init(&iter, dispatch->batch_by_worker);
    while (looked_at++ < PREEMPT_WORKERS_MAX &&
           g_hash_table_iter_next(&iter, &key, &list)) {
        mb_worker_id_t worker = GPOINTER_TO_UINT(key) - 1;
        clearing_t plan = {.worker = worker, .list = list};
        if (mb_placement_allows(dispatch->placement, &task->place, worker) &&
            plan_clearing(dispatch, task, worker, &plan) &&
            (best.list == NULL || plan.lost_us < best.lost_us)) {
            best = plan;
        }
    }
    if (best.list == NULL) {
        return MB_WORKER_NONE;
    }
    clear(dispatch, &best);
    claim(dispatch, best.worker, &task->place.size);
    return best.worker;
}
