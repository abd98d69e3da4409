/* Running tasks, and the preemption of batch tasks for urgent ones. */
#include "mb_assert.h"
#include "mb_dispatch_table.h"

/* Maximum workers examined for one preemption, which bounds its cost. */
#define PREEMPT_WORKERS_MAX 512

/* Returns whether `cpu_used` is at least this percentage of the capacity. */
static bool
reaches_share(uint32_t cpu_used, uint32_t capacity, uint32_t percent)
{
    return (uint64_t)cpu_used * 100 >= (uint64_t)capacity * percent;
}

/* Returns the share at which batch is kept, in percent of all processors: its
   minimum and a margin, or 0 when no minimum is declared. */
uint32_t
mb_dispatch_batch_floor_percent(const mb_dispatch_t *dispatch)
{
    uint32_t minimum = dispatch->policy.batch_min_share_percent;
    return minimum == 0
               ? 0
               : MIN(minimum + MB_DISPATCH_BATCH_MARGIN_PERCENT, 100u);
}

/* Returns whether batch keeps its minimum share of the processors, plus
   MB_DISPATCH_BATCH_MARGIN_PERCENT and MB_DISPATCH_EVICT_HYSTERESIS_PERCENT,
   when it loses this size. Tasks that are being evicted no longer count as
   batch's use. */
bool
mb_dispatch_can_reduce_batch(const mb_dispatch_t *dispatch,
                             const mb_size_t *size)
{
    uint32_t cpu_used = dispatch->used[MB_CLASS_BATCH].cpu_milli -
                        dispatch->evicting_size.cpu_milli;
    uint32_t floor = mb_dispatch_batch_floor_percent(dispatch);
    uint32_t required_percent =
        floor == 0 ? 0 : floor + MB_DISPATCH_EVICT_HYSTERESIS_PERCENT;
#ifdef MB_MUTANT_DISPATCH_NO_MINIMUM
    required_percent = 0;
#endif
    return cpu_used >= size->cpu_milli &&
           reaches_share(cpu_used - size->cpu_milli,
                         dispatch->capacity.cpu_milli, required_percent);
}

/* Returns the running batch tasks of a worker, NULL when there are none. */
static GPtrArray *
find_batch_list(const mb_dispatch_t *dispatch, mb_worker_id_t worker)
{
    return g_hash_table_lookup(dispatch->batch_by_worker,
                               GUINT_TO_POINTER(worker + 1));
}

/* Adds a batch task to the list of its worker. */
static void
add_to_batch_list(mb_dispatch_t *dispatch, mb_dispatch_running_t *running)
{
    GPtrArray *list = find_batch_list(dispatch, running->worker);
    if (list == NULL) {
        list = g_ptr_array_new();
        g_hash_table_insert(dispatch->batch_by_worker,
                            GUINT_TO_POINTER(running->worker + 1), list);
    }
    g_ptr_array_add(list, running);
}

/* Removes a batch task from the list of its worker. */
static void
remove_from_batch_list(mb_dispatch_t *dispatch, mb_dispatch_running_t *running)
{
    GPtrArray *list = find_batch_list(dispatch, running->worker);
    g_ptr_array_remove_fast(list, running);
    if (list->len == 0) {
        g_hash_table_remove(dispatch->batch_by_worker,
                            GUINT_TO_POINTER(running->worker + 1));
    }
}

/* Adds a task to the running ones; it is already counted in placement and
   quota. */
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
        add_to_batch_list(dispatch, running);
    }
}

/* Counts a task as running without calling `start`, as in replay. */
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

/* Counts a task that is already running, whether or not it fits. */
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
    mb_quota_force_reserve(dispatch->quota, task->team, &task->place.size);
    mb_dispatch_add_running(dispatch, task, placed ? worker : MB_WORKER_NONE);
    return placed;
}

/* Removes a task that ended or was stopped, and releases what it used. */
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
    if (running->evicting) {
        mb_size_subtract(&dispatch->evicting_size, size);
    }
    if (task->place.task_class == MB_CLASS_BATCH &&
        running->worker != MB_WORKER_NONE) {
        remove_from_batch_list(dispatch, running);
    }
    g_hash_table_remove(dispatch->running, &id);
    return true;
}

/* Returns when a running task was started, restored or adopted; 0 when it is
   not running. */
uint64_t
mb_dispatch_started_us(const mb_dispatch_t *dispatch, uint64_t id)
{
    const mb_dispatch_running_t *running =
        g_hash_table_lookup(dispatch->running, &id);
    return running == NULL ? 0 : running->started_us;
}

/* Records that the progress of a running task is saved up to `now_us`. */
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

/* Returns whether this is a running batch task, not yet being evicted, whose
   eviction leaves batch its minimum share. */
bool
mb_dispatch_may_evict(const mb_dispatch_t *dispatch, uint64_t id)
{
    const mb_dispatch_running_t *running =
        g_hash_table_lookup(dispatch->running, &id);
    return running != NULL && !running->evicting &&
           running->task.place.task_class == MB_CLASS_BATCH &&
           mb_dispatch_can_reduce_batch(dispatch, &running->task.place.size);
}

/* Records an eviction that the caller decided; the task no longer counts as
   batch's use. */
void
mb_dispatch_mark_evicting(mb_dispatch_t *dispatch, uint64_t id)
{
    mb_dispatch_running_t *running =
        g_hash_table_lookup(dispatch->running, &id);
    if (running != NULL && !running->evicting) {
        running->evicting = true;
        mb_size_add(&dispatch->evicting_size, &running->task.place.size);
    }
}

/* Returns whether batch keeps its minimum share when it loses this much, as
   by throttling. */
bool
mb_dispatch_can_reduce_batch_cpu(const mb_dispatch_t *dispatch,
                                 uint32_t cpu_milli)
{
    mb_size_t lost = {.cpu_milli = cpu_milli};
    return cpu_milli == 0 || mb_dispatch_can_reduce_batch(dispatch, &lost);
}

/* Compares running tasks by the work that an eviction loses, that is the time
   since the last checkpoint: the least is first. */
static int
compare_lost_work(gconstpointer a, gconstpointer b)
{
    const mb_dispatch_running_t *first = *(mb_dispatch_running_t *const *)a;
    const mb_dispatch_running_t *second = *(mb_dispatch_running_t *const *)b;
    return (first->checkpoint_us < second->checkpoint_us) -
           (first->checkpoint_us > second->checkpoint_us);
}

/* The evictions that would make room for a task on one worker. */
typedef struct eviction_plan {
    mb_worker_id_t worker;
    GPtrArray *list; /* sorted batch tasks; the first `count` are evicted */
    uint32_t count;
    uint64_t lost_us; /* work since their last checkpoints */
} eviction_plan_t;

/* Returns the part of the claims on a worker whose capacity is not free yet.
   Capacity that is already free is not reserved by a claim: the first task
   that fits may take it. */
static mb_size_t
pending_claims(const GPtrArray *list, const mb_size_t *claimed)
{
    mb_size_t evicting_size = {0};
    for (guint i = 0; i < list->len; i++) {
        const mb_dispatch_running_t *running = g_ptr_array_index(list, i);
        if (running->evicting) {
            mb_size_add(&evicting_size, &running->task.place.size);
        }
    }
    return (mb_size_t){MIN(evicting_size.cpu_milli, claimed->cpu_milli),
                       MIN(evicting_size.memory_mb, claimed->memory_mb),
                       MIN(evicting_size.accelerators, claimed->accelerators)};
}

/* Computes which batch tasks of a worker must be evicted for the task to fit
   beside the pending claims. False when it does not fit even after evicting
   all of them, or when batch would fall below its minimum share first. */
static bool
plan_eviction(const mb_dispatch_t *dispatch, const mb_dispatch_task_t *task,
              mb_worker_id_t worker, eviction_plan_t *plan)
{
    mb_size_t room = mb_placement_available(dispatch->placement, worker);
    const mb_size_t *claimed =
        g_hash_table_lookup(dispatch->claims, GUINT_TO_POINTER(worker + 1));
    mb_size_t needed = task->place.size;
    mb_size_t evicted_size = {0};
#ifndef MB_MUTANT_DISPATCH_NO_CLAIM
    if (claimed != NULL) {
        mb_size_t pending = pending_claims(plan->list, claimed);
        mb_size_add(&needed, &pending);
    }
#else
    (void)claimed;
#endif
    g_ptr_array_sort(plan->list, compare_lost_work);
    for (plan->count = 0; plan->count < plan->list->len; plan->count++) {
        const mb_dispatch_running_t *next =
            g_ptr_array_index(plan->list, plan->count);
        if (mb_size_fits(&needed, &room)) {
            break;
        }
        mb_size_add(&room, &next->task.place.size);
        if (next->evicting) {
            continue;
        }
        mb_size_add(&evicted_size, &next->task.place.size);
        if (!mb_dispatch_can_reduce_batch(dispatch, &evicted_size)) {
            return false;
        }
        plan->lost_us += dispatch->now_us - next->checkpoint_us;
    }
    return mb_size_fits(&needed, &room);
}

/* Evicts the tasks of a plan that are not already being evicted. */
static void
evict_planned(mb_dispatch_t *dispatch, const eviction_plan_t *plan)
{
    for (uint32_t i = 0; i < plan->count; i++) {
        mb_dispatch_running_t *running = g_ptr_array_index(plan->list, i);
        if (running->evicting) {
            continue;
        }
        running->evicting = true;
        mb_size_add(&dispatch->evicting_size, &running->task.place.size);
        dispatch->callbacks.evict(dispatch->callbacks.context,
                                  running->task.id, running->worker);
    }
}

/* Claims capacity that is being freed on a worker, so that the next urgent
   task evicts other tasks instead of relying on the same capacity. */
static void
add_claim(mb_dispatch_t *dispatch, mb_worker_id_t worker,
          const mb_size_t *size)
{
    gpointer key = GUINT_TO_POINTER(worker + 1);
    mb_size_t *claimed = g_hash_table_lookup(dispatch->claims, key);
    if (claimed == NULL) {
        claimed = g_new0(mb_size_t, 1);
        (void)g_hash_table_insert(dispatch->claims, key, claimed);
    }
    mb_size_add(claimed, size);
}

/* Releases a claim of this size on a worker. */
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

/* Chooses among up to PREEMPT_WORKERS_MAX workers the one where evictions lose
   the least work, evicts there and claims the capacity. */
mb_worker_id_t
mb_dispatch_preempt(mb_dispatch_t *dispatch, const mb_dispatch_task_t *task)
{
    GHashTableIter iter;
    void *key = NULL;
    void *list = NULL;
    eviction_plan_t best = {0};
    uint32_t examined = 0;
    g_hash_table_iter_init(&iter, dispatch->batch_by_worker);
    while (examined++ < PREEMPT_WORKERS_MAX &&
           g_hash_table_iter_next(&iter, &key, &list)) {
        mb_worker_id_t worker = GPOINTER_TO_UINT(key) - 1;
        eviction_plan_t plan = {.worker = worker, .list = list};
        if (mb_placement_allows(dispatch->placement, &task->place, worker) &&
            plan_eviction(dispatch, task, worker, &plan) &&
            (best.list == NULL || plan.lost_us < best.lost_us)) {
            best = plan;
        }
    }
    if (best.list == NULL) {
        return MB_WORKER_NONE;
    }
    evict_planned(dispatch, &best);
    add_claim(dispatch, best.worker, &task->place.size);
    return best.worker;
}
