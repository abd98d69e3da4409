#include "mb_dispatch.h"

#include "mb_assert.h"
#include "mb_dispatch_table.h"

/* Placements tried in one run; the rest waits for the next run. */
#define ATTEMPTS_MAX 512
/* Tasks of one team tried behind ones that can't start yet. */
#define BACKFILL_DEPTH 16
/* Preemptions in one run: each scans workers. */
#define PREEMPTIONS_MAX 16
/* An urgent task preempts again when the room did not come in this time. */
#define PREEMPT_AGAIN_US UINT64_C(3000000)
/* Share of the processors that batch leaves to urgent work, in percent, when
   latency comes first: room to start at once beats room after an eviction. */
#define LATENCY_HEADROOM_PERCENT 10u

/* What became of one waiting task. */
typedef enum outcome {
    OUTCOME_STARTED,
    OUTCOME_LEFT,
    OUTCOME_WAITS
} outcome_t;

/* Frees the queue of one team. */
static void
free_queue(void *data)
{
    mb_dispatch_queue_t *queue = data;
    g_sequence_free(queue->entries);
    g_free(queue);
}

/* Frees the list of a worker. */
static void
free_list(void *data)
{
    g_ptr_array_free(data, TRUE);
}

/* Makes an empty queue over the caller's placement and quota. */
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
        dispatch->queues[i] = g_ptr_array_new_with_free_func(free_queue);
    }
    dispatch->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    dispatch->running =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    dispatch->claims =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    dispatch->batch_by_worker =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_list);
    return dispatch;
}

/* Frees the queue; NULL is allowed. What runs stays counted in placement and
   quota. */
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

/* Sets the policy and the capacity that shares are taken of. */
void
mb_dispatch_set_policy(mb_dispatch_t *dispatch, const mb_policy_t *policy,
                       const mb_size_t *capacity)
{
    dispatch->policy = *policy;
    dispatch->capacity = *capacity;
}

/* Sets how many tasks may be started from now on, for a caller that records
   starts in batches of a bounded size. */
void
mb_dispatch_set_start_limit(mb_dispatch_t *dispatch, uint32_t starts)
{
    dispatch->starts_left = starts;
}

/* Returns the queue of a team, made if needed. */
static mb_dispatch_queue_t *
queue_of(mb_dispatch_t *dispatch, mb_class_t task_class, mb_team_id_t team)
{
    GPtrArray *queues = dispatch->queues[task_class];
    while (queues->len <= team) {
        mb_dispatch_queue_t *queue = g_new0(mb_dispatch_queue_t, 1);
        queue->entries = g_sequence_new(NULL);
        g_ptr_array_add(queues, queue);
    }
    return g_ptr_array_index(queues, team);
}

/* Orders entries of one queue. */
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

/* Returns the position key. When throughput comes first, batch tasks that are
   expected to be short go before long ones that came up to their run time
   earlier, which bounds how long a long task is passed over. */
static uint64_t
order_of(const mb_dispatch_t *dispatch, const mb_dispatch_task_t *task,
         uint64_t now_us)
{
    if (task->place.task_class != MB_CLASS_BATCH ||
        dispatch->policy.objective != MB_OBJECTIVE_THROUGHPUT_FIRST) {
        return now_us;
    }
    return now_us + (uint64_t)task->expected_ms * MB_US_PER_MS;
}

/* Adds a waiting task. */
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
    entry->sort_key = order_of(dispatch, task, now_us);
    mb_dispatch_queue_t *queue =
        queue_of(dispatch, task->place.task_class, task->team);
    entry->position =
        g_sequence_insert_sorted(queue->entries, entry, compare_entries, NULL);
    g_hash_table_insert(dispatch->entries, &entry->task.id, entry);
    dispatch->waiting[task->place.task_class]++;
    return true;
}

/* Ends the hold, if there is one. */
static void
end_hold(mb_dispatch_t *dispatch)
{
    if (dispatch->hold_worker != MB_WORKER_NONE) {
        mb_placement_unhold(dispatch->placement, dispatch->hold_worker);
        dispatch->hold_worker = MB_WORKER_NONE;
    }
}

/* Ends the claim of an entry on room that is being cleared. */
static void
end_claim(mb_dispatch_t *dispatch, mb_dispatch_entry_t *entry)
{
    if (entry->claimed_worker != MB_WORKER_NONE) {
        mb_dispatch_release_claim(dispatch, entry->claimed_worker,
                                  &entry->task.place.size);
        entry->claimed_worker = MB_WORKER_NONE;
    }
}

/* Takes an entry out of its queue and frees it. */
static void
remove_entry(mb_dispatch_t *dispatch, mb_dispatch_entry_t *entry)
{
    if (dispatch->hold_task_id == entry->task.id) {
        end_hold(dispatch);
    }
    end_claim(dispatch, entry);
    dispatch->waiting[entry->task.place.task_class]--;
    g_sequence_remove(entry->position);
    uint64_t id = entry->task.id;
    g_hash_table_remove(dispatch->entries, &id);
}

/* Takes a waiting task out. */
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

/* Returns how many tasks of a class wait. */
uint32_t
mb_dispatch_waiting_count(const mb_dispatch_t *dispatch, mb_class_t task_class)
{
    return dispatch->waiting[task_class];
}

/* Returns thousandths of processors that a percentage of all makes. */
static uint64_t
percent_of_cpu(const mb_dispatch_t *dispatch, uint32_t percent)
{
    return (uint64_t)dispatch->capacity.cpu_milli * percent / 100;
}

/* Tells whether batch waits and holds less than its minimum share. */
static bool
batch_is_short(const mb_dispatch_t *dispatch)
{
    uint32_t percent = mb_dispatch_batch_floor_percent(dispatch);
    return dispatch->waiting[MB_CLASS_BATCH] > 0 &&
           dispatch->used[MB_CLASS_BATCH].cpu_milli <
               percent_of_cpu(dispatch, percent);
}

/* Tells whether the shares of the classes let the task start. While batch
   waits, other work leaves it its minimum share. When latency comes first,
   batch beyond its minimum share leaves headroom. */
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
               percent_of_cpu(dispatch, LATENCY_HEADROOM_PERCENT) <=
           all;
}

/* Reports a task that can never run and drops it. */
static outcome_t
give_up(mb_dispatch_t *dispatch, mb_dispatch_entry_t *entry,
        mb_dispatch_unschedulable_t reason)
{
    uint64_t id = entry->task.id;
    remove_entry(dispatch, entry);
    dispatch->callbacks.unschedulable(dispatch->callbacks.context, id, reason);
    return OUTCOME_LEFT;
}

/* Starts a task on a worker that has it reserved. */
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

/* Tries to place a task on the worker held for it. */
static bool
take_held(mb_dispatch_t *dispatch, const mb_dispatch_entry_t *entry)
{
    return dispatch->hold_worker != MB_WORKER_NONE &&
           dispatch->hold_task_id == entry->task.id &&
           mb_placement_allows(dispatch->placement, &entry->task.place,
                               dispatch->hold_worker) &&
           mb_placement_reserve(dispatch->placement, dispatch->hold_worker,
                                &entry->task.place);
}

/* Notes a size that found no room, to skip larger ones in this run. */
static void
note_refused(mb_dispatch_t *dispatch, const mb_placement_task_t *place)
{
    if (place->constraint == NULL &&
        (!dispatch->has_failed_size ||
         mb_size_fits(&place->size, &dispatch->failed_size))) {
        dispatch->failed_size = place->size;
        dispatch->has_failed_size = true;
    }
}

/* Holds a worker for a task that was passed over for long. */
static void
hold_if_passed_over(mb_dispatch_t *dispatch, const mb_dispatch_entry_t *entry)
{
    uint64_t waited_us = dispatch->now_us - entry->added_us;
    if (waited_us >= MB_DISPATCH_STARVATION_US &&
        dispatch->hold_worker == MB_WORKER_NONE) {
        dispatch->hold_worker =
            mb_placement_hold(dispatch->placement, &entry->task.place);
        dispatch->hold_task_id = entry->task.id;
        dispatch->hold_start_us = dispatch->now_us;
    }
}

/* Makes room for a task that found none: evicts batch for an urgent one, and
   holds a worker for one that was passed over for long. */
static void
make_room(mb_dispatch_t *dispatch, mb_dispatch_entry_t *entry)
{
    uint64_t waited_us = dispatch->now_us - entry->added_us;
    bool latency = dispatch->policy.objective == MB_OBJECTIVE_LATENCY_FIRST;
    uint64_t patience_us = latency ? MB_DISPATCH_PREEMPT_DELAY_LATENCY_US
                                   : MB_DISPATCH_PREEMPT_DELAY_THROUGHPUT_US;
    bool again = entry->last_preempt_us == 0 ||
                 dispatch->now_us - entry->last_preempt_us >= PREEMPT_AGAIN_US;
    if (entry->task.place.task_class == MB_CLASS_URGENT &&
        waited_us >= patience_us && again && dispatch->preemptions_left > 0) {
        dispatch->preemptions_left--;
        end_claim(dispatch, entry);
        entry->claimed_worker = mb_dispatch_preempt(dispatch, &entry->task);
        if (entry->claimed_worker != MB_WORKER_NONE) {
            entry->last_preempt_us = dispatch->now_us;
        }
    }
    hold_if_passed_over(dispatch, entry);
}

/* Tries to find a worker for a task whose quota is reserved. */
static outcome_t
place(mb_dispatch_t *dispatch, mb_dispatch_entry_t *entry)
{
    const mb_placement_task_t *task = &entry->task.place;
    mb_worker_id_t worker = dispatch->hold_worker;
    mb_placement_result_t result = MB_PLACEMENT_WAIT;
    if (take_held(dispatch, entry)) {
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
        note_refused(dispatch, task);
        make_room(dispatch, entry);
        return OUTCOME_WAITS;
    }
    return give_up(dispatch, entry,
                   result == MB_PLACEMENT_NEVER_SIZE
                       ? MB_DISPATCH_UNSCHEDULABLE_SIZE
                       : MB_DISPATCH_UNSCHEDULABLE_CONSTRAINT);
}

/* Tries to start one task. */
static outcome_t
try_entry(mb_dispatch_t *dispatch, mb_dispatch_entry_t *entry)
{
    const mb_dispatch_task_t *task = &entry->task;
    const mb_size_t *size = &task->place.size;
    if (!mb_quota_possible(dispatch->quota, task->team, size)) {
        return give_up(dispatch, entry, MB_DISPATCH_UNSCHEDULABLE_QUOTA);
    }
    if (!shares_allow(dispatch, task)) {
        /* Small tasks may keep a share full that a large one waits for. */
        hold_if_passed_over(dispatch, entry);
        return OUTCOME_WAITS;
    }
    if (!mb_quota_reserve(dispatch->quota, task->team, size)) {
        return OUTCOME_WAITS;
    }
    return place(dispatch, entry);
}

/* Starts the first task of a team that can start; false when none can. */
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

/* Moves a team down the heap until no team below it is served earlier. */
static void
sift_down(const mb_dispatch_t *dispatch, guint position)
{
    mb_team_id_t *heap = (mb_team_id_t *)dispatch->heap->data;
    guint count = dispatch->heap->len;
    for (guint child = 2 * position + 1; child < count;
         child = 2 * position + 1) {
        if (child + 1 < count &&
            mb_quota_compare(dispatch->quota, heap[child + 1], heap[child]) <
                0) {
            child++;
        }
        if (mb_quota_compare(dispatch->quota, heap[position], heap[child]) <
            0) {
            return;
        }
        mb_team_id_t moved = heap[position];
        heap[position] = heap[child];
        heap[child] = moved;
        position = child;
    }
}

/* Puts the teams with waiting tasks of a class into the heap. */
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

/* Starts tasks of one class in the order of the teams' shares. A start changes
   the share of its own team only, which then moves down the heap; a team
   without a start leaves it. With `to_minimum` it stops once batch holds its
   minimum share. */
static uint32_t
serve_class(mb_dispatch_t *dispatch, mb_class_t task_class, bool to_minimum)
{
    const GPtrArray *queues = dispatch->queues[task_class];
    uint32_t started = 0;
    dispatch->has_failed_size = false;
    if (to_minimum && !batch_is_short(dispatch)) {
        return 0;
    }
    fill_heap(dispatch, queues);
    while (dispatch->attempts_left > 0 && dispatch->starts_left > 0 &&
           dispatch->heap->len > 0 &&
           (!to_minimum || batch_is_short(dispatch))) {
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

/* Starts what can start: batch up to its minimum share, then all classes by
   urgency. */
uint32_t
mb_dispatch_run(mb_dispatch_t *dispatch, uint64_t now_us)
{
    uint32_t started = 0;
    dispatch->now_us = now_us;
    dispatch->attempts_left = ATTEMPTS_MAX;
    dispatch->preemptions_left = PREEMPTIONS_MAX;
    if (dispatch->hold_worker != MB_WORKER_NONE &&
        now_us - dispatch->hold_start_us >= MB_DISPATCH_HOLD_TIMEOUT_US) {
        end_hold(dispatch);
    }
    started += serve_class(dispatch, MB_CLASS_BATCH, true);
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        dispatch->attempts_left = ATTEMPTS_MAX;
        started += serve_class(dispatch, (mb_class_t)i, false);
    }
    return started;
}
