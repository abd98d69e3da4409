/* Waiting tasks: the queues, the order in which tasks are tried, and their
   start. See mb_dispatch_running.c for running tasks and preemption. */
#include "mb_dispatch.h"

#include "mb_assert.h"
#include "mb_dispatch_table.h"

/* Maximum placements tried for one class in one run, which bounds its cost;
   the remaining tasks wait for the next run. */
#define ATTEMPTS_MAX 512
/* Backfill: tasks of one team that may fail to start before the team is
   skipped. */
#define BACKFILL_DEPTH 16
/* Maximum preemptions in one run, as each of them scans workers. */
#define PREEMPTIONS_MAX 16
/* An urgent task preempts again if it could not start within this time after
   its last preemption. */
#define PREEMPT_AGAIN_US UINT64_C(3000000)
/* Processors that batch leaves free for urgent work under the latency-first
   objective, in percent of all: an urgent task that finds free capacity starts
   at once, without waiting for an eviction. */
#define LATENCY_SPARE_PERCENT 10u

/* Result of trying to start one waiting task. */
typedef enum outcome {
    OUTCOME_STARTED,
    OUTCOME_REMOVED, /* unschedulable, no longer in the queue */
    OUTCOME_WAITS
} outcome_t;

/* Frees the queue of one team; its entries belong to the table `entries`. */
static void
free_team_queue(void *data)
{
    mb_dispatch_queue_t *queue = data;
    g_sequence_free(queue->entries);
    g_free(queue);
}

/* Frees the list of a worker's batch tasks, but not the tasks. */
static void
free_worker_list(void *data)
{
    g_ptr_array_free(data, TRUE);
}

/* Creates an empty queue over the caller's placement and quota. */
mb_dispatch_t *
mb_dispatch_new(mb_placement_t *placement, mb_quota_t *quota,
                const mb_dispatch_callbacks_t *callbacks)
{
    mb_dispatch_t *dispatch = g_new0(mb_dispatch_t, 1);
    dispatch->placement = placement;
    dispatch->quota = quota;
    dispatch->callbacks = *callbacks;
    dispatch->hold_worker = MB_WORKER_NONE;
    dispatch->starts_left = UINT32_MAX;
    dispatch->heap = g_array_new(FALSE, FALSE, sizeof(mb_team_id_t));
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        dispatch->queues[i] = g_ptr_array_new_with_free_func(free_team_queue);
    }
    dispatch->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    dispatch->running =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    dispatch->claims =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    dispatch->batch_by_worker = g_hash_table_new_full(
        g_direct_hash, g_direct_equal, NULL, free_worker_list);
    return dispatch;
}

/* Frees the queue; NULL is allowed. Running tasks stay counted in placement
   and quota. */
void
mb_dispatch_free(mb_dispatch_t *dispatch)
{
    if (dispatch == NULL) {
        return;
    }
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        g_ptr_array_free(dispatch->queues[i], TRUE);
    }
    g_array_free(dispatch->heap, TRUE);
    g_hash_table_destroy(dispatch->entries);
    g_hash_table_destroy(dispatch->claims);
    g_hash_table_destroy(dispatch->batch_by_worker);
    g_hash_table_destroy(dispatch->running);
    g_free(dispatch);
}

/* Sets the policy and the total capacity that the shares are taken of. */
void
mb_dispatch_set_policy(mb_dispatch_t *dispatch, const mb_policy_t *policy,
                       const mb_size_t *capacity)
{
    dispatch->policy = *policy;
    dispatch->capacity = *capacity;
}

/* Limits the starts from now on, for a caller that records starts in batches
   of a bounded size. */
void
mb_dispatch_set_start_limit(mb_dispatch_t *dispatch, uint32_t starts)
{
    dispatch->starts_left = starts;
}

/* Returns the queue of a team and class; creates the queues up to this team
   if needed. */
static mb_dispatch_queue_t *
ensure_queue(mb_dispatch_t *dispatch, mb_class_t task_class, mb_team_id_t team)
{
    GPtrArray *queues = dispatch->queues[task_class];
    while (queues->len <= team) {
        mb_dispatch_queue_t *queue = g_new0(mb_dispatch_queue_t, 1);
        queue->entries = g_sequence_new(NULL);
        g_ptr_array_add(queues, queue);
    }
    return g_ptr_array_index(queues, team);
}

/* Compares entries of one queue by sort key, then by id. */
static gint
compare_entries(gconstpointer a, gconstpointer b, gpointer unused)
{
    const mb_dispatch_entry_t *first = a;
    const mb_dispatch_entry_t *second = b;
    (void)unused;
    if (first->sort_key != second->sort_key) {
        return first->sort_key < second->sort_key ? -1 : 1;
    }
    return (first->task.id > second->task.id) -
           (first->task.id < second->task.id);
}

/* Computes the sort key. Tasks are served in order of arrival, except batch
   tasks under the throughput-first objective, which are sorted by arrival time
   plus expected run time: a short task overtakes a long one that arrived
   earlier by less than the difference of their run times. This bounds how long
   short tasks can delay a long one. */
static uint64_t
compute_sort_key(const mb_dispatch_t *dispatch, const mb_dispatch_task_t *task,
                 uint64_t now_us)
{
    if (task->place.task_class != MB_CLASS_BATCH ||
        dispatch->policy.objective != MB_OBJECTIVE_THROUGHPUT_FIRST) {
        return now_us;
    }
    return now_us + (uint64_t)task->expected_ms * MB_US_PER_MS;
}

/* Adds a waiting task to the queue of its team and class. */
bool
mb_dispatch_add(mb_dispatch_t *dispatch, const mb_dispatch_task_t *task,
                uint64_t now_us)
{
    if (g_hash_table_size(dispatch->entries) >= MB_DISPATCH_QUEUE_MAX ||
        g_hash_table_contains(dispatch->entries, &task->id) ||
        g_hash_table_contains(dispatch->running, &task->id) ||
        task->team == MB_TEAM_NONE) {
        return false;
    }
    mb_dispatch_entry_t *entry = g_new0(mb_dispatch_entry_t, 1);
    entry->task = *task;
    entry->added_us = now_us;
    entry->claimed_worker = MB_WORKER_NONE;
    entry->sort_key = compute_sort_key(dispatch, task, now_us);
    mb_dispatch_queue_t *queue =
        ensure_queue(dispatch, task->place.task_class, task->team);
    entry->position =
        g_sequence_insert_sorted(queue->entries, entry, compare_entries, NULL);
    g_hash_table_insert(dispatch->entries, &entry->task.id, entry);
    dispatch->waiting[task->place.task_class]++;
    return true;
}

/* Opens the held worker, if there is one, to new tasks again. */
static void
release_hold(mb_dispatch_t *dispatch)
{
    if (dispatch->hold_worker != MB_WORKER_NONE) {
        mb_placement_uncordon(dispatch->placement, dispatch->hold_worker);
        dispatch->hold_worker = MB_WORKER_NONE;
    }
}

/* Releases the entry's claim on capacity being freed for it, if it has
   one. */
static void
release_claim(mb_dispatch_t *dispatch, mb_dispatch_entry_t *entry)
{
    if (entry->claimed_worker != MB_WORKER_NONE) {
        mb_dispatch_release_claim(dispatch, entry->claimed_worker,
                                  &entry->task.place.size);
        entry->claimed_worker = MB_WORKER_NONE;
    }
}

/* Removes an entry from its queue, with its hold and its claim, and frees
   it. */
static void
remove_entry(mb_dispatch_t *dispatch, mb_dispatch_entry_t *entry)
{
    if (dispatch->hold_task_id == entry->task.id) {
        release_hold(dispatch);
    }
    release_claim(dispatch, entry);
    dispatch->waiting[entry->task.place.task_class]--;
    g_sequence_remove(entry->position);
    uint64_t id = entry->task.id;
    g_hash_table_remove(dispatch->entries, &id);
}

/* Removes a waiting task. */
bool
mb_dispatch_cancel(mb_dispatch_t *dispatch, uint64_t id)
{
    mb_dispatch_entry_t *entry = g_hash_table_lookup(dispatch->entries, &id);
    if (entry == NULL) {
        return false;
    }
    remove_entry(dispatch, entry);
    return true;
}

/* Returns the number of waiting tasks of a class. */
uint32_t
mb_dispatch_waiting_count(const mb_dispatch_t *dispatch, mb_class_t task_class)
{
    return dispatch->waiting[task_class];
}

/* Converts a percentage of all processors to thousandths of a processor. */
static uint64_t
percent_of_cpu(const mb_dispatch_t *dispatch, uint32_t percent)
{
    return (uint64_t)dispatch->capacity.cpu_milli * percent / 100;
}

/* Returns whether batch tasks wait while batch uses less than the share at
   which it is kept. */
static bool
batch_below_floor(const mb_dispatch_t *dispatch)
{
    uint32_t percent = mb_dispatch_batch_floor_percent(dispatch);
    return dispatch->waiting[MB_CLASS_BATCH] > 0 &&
           dispatch->used[MB_CLASS_BATCH].cpu_milli <
               percent_of_cpu(dispatch, percent);
}

/* Returns whether the shares of the classes allow the task to start. While
   batch tasks wait, other classes must leave batch its minimum share. Under
   the latency-first objective, batch beyond its minimum share must leave
   LATENCY_SPARE_PERCENT free. */
static bool
shares_allow(const mb_dispatch_t *dispatch, const mb_dispatch_task_t *task)
{
    uint64_t batch = dispatch->used[MB_CLASS_BATCH].cpu_milli;
    uint64_t other = (uint64_t)dispatch->used[MB_CLASS_URGENT].cpu_milli +
                     dispatch->used[MB_CLASS_NORMAL].cpu_milli;
    uint64_t all = dispatch->capacity.cpu_milli;
    uint64_t need = task->place.size.cpu_milli;
    uint32_t percent = mb_dispatch_batch_floor_percent(dispatch);
    uint64_t minimum = percent_of_cpu(dispatch, percent);
    if (task->place.task_class != MB_CLASS_BATCH) {
        return dispatch->waiting[MB_CLASS_BATCH] == 0 ||
               other + need + minimum <= all;
    }
    if (dispatch->policy.objective != MB_OBJECTIVE_LATENCY_FIRST ||
        batch + need <= minimum) {
        return true;
    }
    return batch + other + need +
               percent_of_cpu(dispatch, LATENCY_SPARE_PERCENT) <=
           all;
}

/* Removes a task that can never run and reports it to the caller. */
static outcome_t
remove_unschedulable(mb_dispatch_t *dispatch, mb_dispatch_entry_t *entry,
                     mb_dispatch_unschedulable_t reason)
{
    uint64_t id = entry->task.id;
    remove_entry(dispatch, entry);
    dispatch->callbacks.unschedulable(dispatch->callbacks.context, id, reason);
    return OUTCOME_REMOVED;
}

/* Starts a task whose size is already reserved on the worker. */
static outcome_t
start(mb_dispatch_t *dispatch, mb_dispatch_entry_t *entry,
      mb_worker_id_t worker)
{
    mb_dispatch_task_t task = entry->task;
    remove_entry(dispatch, entry);
    dispatch->starts_left--;
    mb_dispatch_add_running(dispatch, &task, worker);
    dispatch->callbacks.start(dispatch->callbacks.context, task.id, worker);
    return OUTCOME_STARTED;
}

/* Reserves the task on the worker that is held for it; false when no worker is
   held for it, or the task does not fit there yet or may not run there. */
static bool
reserve_on_hold_worker(mb_dispatch_t *dispatch,
                       const mb_dispatch_entry_t *entry)
{
    return dispatch->hold_worker != MB_WORKER_NONE &&
           dispatch->hold_task_id == entry->task.id &&
           mb_placement_allows(dispatch->placement, &entry->task.place,
                               dispatch->hold_worker) &&
           mb_placement_reserve(dispatch->placement, dispatch->hold_worker,
                                &entry->task.place);
}

/* Records a size that found no place, so that tasks at least as large are not
   tried. Only tasks without a constraint count, as the failure of another may
   be due to its constraint. */
static void
record_failed_size(mb_dispatch_t *dispatch, const mb_placement_task_t *place)
{
    if (place->constraint == NULL &&
        (!dispatch->has_failed_size ||
         mb_size_fits(&place->size, &dispatch->failed_size))) {
        dispatch->failed_size = place->size;
        dispatch->has_failed_size = true;
    }
}

/* Holds a worker for a starved task, unless one is already held: new tasks
   are kept off that worker until this task fits there. */
static void
hold_worker_if_starved(mb_dispatch_t *dispatch,
                       const mb_dispatch_entry_t *entry)
{
    uint64_t waited_us = dispatch->now_us - entry->added_us;
    if (waited_us >= MB_DISPATCH_STARVATION_US &&
        dispatch->hold_worker == MB_WORKER_NONE) {
        dispatch->hold_worker =
            mb_placement_cordon(dispatch->placement, &entry->task.place);
        dispatch->hold_task_id = entry->task.id;
        dispatch->hold_start_us = dispatch->now_us;
    }
}

/* Makes room for a task that found no place: evicts batch tasks for an urgent
   task, and holds a worker for a starved one. */
static void
make_room(mb_dispatch_t *dispatch, mb_dispatch_entry_t *entry)
{
    uint64_t waited_us = dispatch->now_us - entry->added_us;
    bool latency_first =
        dispatch->policy.objective == MB_OBJECTIVE_LATENCY_FIRST;
    uint64_t delay_us = latency_first
                            ? MB_DISPATCH_PREEMPT_DELAY_LATENCY_US
                            : MB_DISPATCH_PREEMPT_DELAY_THROUGHPUT_US;
    bool may_preempt =
        entry->last_preempt_us == 0 ||
        dispatch->now_us - entry->last_preempt_us >= PREEMPT_AGAIN_US;
    if (entry->task.place.task_class == MB_CLASS_URGENT &&
        waited_us >= delay_us && may_preempt &&
        dispatch->preemptions_left > 0) {
        dispatch->preemptions_left--;
        release_claim(dispatch, entry);
        entry->claimed_worker = mb_dispatch_preempt(dispatch, &entry->task);
        if (entry->claimed_worker != MB_WORKER_NONE) {
            entry->last_preempt_us = dispatch->now_us;
        }
    }
    hold_worker_if_starved(dispatch, entry);
}

/* Tries to find a worker for a task whose quota is already reserved, and
   starts the task there. Releases the quota on failure. */
static outcome_t
place_entry(mb_dispatch_t *dispatch, mb_dispatch_entry_t *entry)
{
    const mb_placement_task_t *task = &entry->task.place;
    mb_worker_id_t worker = dispatch->hold_worker;
    mb_placement_result_t result = MB_PLACEMENT_WAIT;
    if (reserve_on_hold_worker(dispatch, entry)) {
        return start(dispatch, entry, worker);
    }
    if (!dispatch->has_failed_size ||
        !mb_size_fits(&dispatch->failed_size, &task->size)) {
        dispatch->attempts_left--;
        result = mb_placement_place(dispatch->placement, task, &worker);
    }
    if (result == MB_PLACEMENT_PLACED) {
        return start(dispatch, entry, worker);
    }
    mb_quota_release(dispatch->quota, entry->task.team, &task->size);
    if (result == MB_PLACEMENT_WAIT) {
        record_failed_size(dispatch, task);
        make_room(dispatch, entry);
        return OUTCOME_WAITS;
    }
    return remove_unschedulable(dispatch, entry,
                                result == MB_PLACEMENT_TOO_LARGE
                                    ? MB_DISPATCH_UNSCHEDULABLE_SIZE
                                    : MB_DISPATCH_UNSCHEDULABLE_CONSTRAINT);
}

/* Tries to start one task: checks the team's quota and the shares of the
   classes, then looks for a worker. */
static outcome_t
try_entry(mb_dispatch_t *dispatch, mb_dispatch_entry_t *entry)
{
    const mb_dispatch_task_t *task = &entry->task;
    const mb_size_t *size = &task->place.size;
    if (!mb_quota_fits_limits(dispatch->quota, task->team, size)) {
        return remove_unschedulable(dispatch, entry,
                                    MB_DISPATCH_UNSCHEDULABLE_QUOTA);
    }
    if (!shares_allow(dispatch, task)) {
        /* Small tasks may keep using up a share that a large task waits
           for, so that it starves here as well. */
        hold_worker_if_starved(dispatch, entry);
        return OUTCOME_WAITS;
    }
    if (!mb_quota_reserve(dispatch->quota, task->team, size)) {
        return OUTCOME_WAITS;
    }
    return place_entry(dispatch, entry);
}

/* Starts the first task in a team's queue that can start, looking past up to
   BACKFILL_DEPTH tasks that can't; false when none was started. */
static bool
serve_team(mb_dispatch_t *dispatch, const mb_dispatch_queue_t *queue)
{
    GSequenceIter *next = g_sequence_get_begin_iter(queue->entries);
    uint32_t waiting = 0;
    while (!g_sequence_iter_is_end(next) && waiting < BACKFILL_DEPTH &&
           dispatch->attempts_left > 0) {
        mb_dispatch_entry_t *entry = g_sequence_get(next);
        next = g_sequence_iter_next(next);
        outcome_t outcome = try_entry(dispatch, entry);
        if (outcome == OUTCOME_STARTED) {
            return true;
        }
        waiting += outcome == OUTCOME_WAITS;
    }
    return false;
}

/* Returns the team at a position of the heap. */
static mb_team_id_t
heap_at(const mb_dispatch_t *dispatch, guint position)
{
    return g_array_index(dispatch->heap, mb_team_id_t, position);
}

/* Moves a team down the heap until neither of its children is to be served
   before it. */
static void
sift_down(const mb_dispatch_t *dispatch, guint position)
{
    mb_team_id_t *heap = (mb_team_id_t *)dispatch->heap->data;
    guint count = dispatch->heap->len;
    for (guint child = 2 * position + 1; child < count;
         child = 2 * position + 1) {
        if (child + 1 < count &&
            mb_quota_compare_teams(dispatch->quota, heap[child + 1],
                                   heap[child]) < 0) {
            child++;
        }
        if (mb_quota_compare_teams(dispatch->quota, heap[position],
                                   heap[child]) < 0) {
            return;
        }
        mb_team_id_t moved = heap[position];
        heap[position] = heap[child];
        heap[child] = moved;
        position = child;
    }
}

/* Builds the heap of the teams that have waiting tasks in these queues. */
static void
fill_heap(const mb_dispatch_t *dispatch, const GPtrArray *queues)
{
    g_array_set_size(dispatch->heap, 0);
    for (mb_team_id_t team = 0; team < queues->len; team++) {
        const mb_dispatch_queue_t *queue = g_ptr_array_index(queues, team);
        if (!g_sequence_is_empty(queue->entries)) {
            g_array_append_val(dispatch->heap, team);
        }
    }
    for (guint i = dispatch->heap->len / 2; i > 0; i--) {
        sift_down(dispatch, i - 1);
    }
}

/* Starts tasks of one class in the order of the teams' fair shares; returns
   how many. A start changes the share of its own team only, which then moves
   down the heap; a team that could start nothing is removed from it. With
   `to_minimum` it stops once batch has reached its minimum share. */
static uint32_t
serve_class(mb_dispatch_t *dispatch, mb_class_t task_class, bool to_minimum)
{
    const GPtrArray *queues = dispatch->queues[task_class];
    uint32_t started = 0;
    dispatch->has_failed_size = false;
    if (to_minimum && !batch_below_floor(dispatch)) {
        return 0;
    }
    fill_heap(dispatch, queues);
    while (dispatch->attempts_left > 0 && dispatch->starts_left > 0 &&
           dispatch->heap->len > 0 &&
           (!to_minimum || batch_below_floor(dispatch))) {
        mb_team_id_t team = heap_at(dispatch, 0);
        if (serve_team(dispatch, g_ptr_array_index(queues, team))) {
            started++;
        }
        else {
            g_array_remove_index_fast(dispatch->heap, 0);
        }
        sift_down(dispatch, 0);
    }
    return started;
}

/* Starts the tasks that can start: batch up to its minimum share first, then
   all classes by urgency. */
uint32_t
mb_dispatch_run(mb_dispatch_t *dispatch, uint64_t now_us)
{
    uint32_t started = 0;
    dispatch->now_us = now_us;
    dispatch->attempts_left = ATTEMPTS_MAX;
    dispatch->preemptions_left = PREEMPTIONS_MAX;
    if (dispatch->hold_worker != MB_WORKER_NONE &&
        now_us - dispatch->hold_start_us >= MB_DISPATCH_HOLD_TIMEOUT_US) {
        release_hold(dispatch);
    }
    started += serve_class(dispatch, MB_CLASS_BATCH, true);
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        dispatch->attempts_left = ATTEMPTS_MAX;
        started += serve_class(dispatch, (mb_class_t)i, false);
    }
    return started;
}
