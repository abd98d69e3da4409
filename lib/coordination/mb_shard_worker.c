/* The workers of a shard: their declarations, when each is due, whether it is
   eligible for new tasks, and evicting or throttling tasks that it holds. */
#include "mb_assert.h"
#include "mb_shard_internal.h"

/* Frees a worker; the destructor of values in `shard->workers`. */
void
mb_shard_worker_free(gpointer data)
{
    mb_shard_worker_t *worker = data;
    mb_resource_finish(&worker->resource);
    g_array_unref(worker->held_tasks);
    g_array_unref(worker->acks);
    g_array_unref(worker->orphaned);
    g_array_unref(worker->throttles);
    g_free(worker);
}

/* Returns the key of a worker: the hash of its name. */
uint64_t
mb_shard_worker_key(mb_str_t name)
{
    return mb_str_hash(name);
}

/* Returns the worker with this key; borrowed. A worker that is not known is
   added as not declared, because tasks may still be assigned to it. */
mb_shard_worker_t *
mb_shard_worker_get_or_add(mb_shard_t *shard, uint64_t key)
{
    mb_shard_worker_t *worker = mb_shard_worker_find(shard, key);
    if (worker != NULL) {
        return worker;
    }
    worker = g_new0(mb_shard_worker_t, 1);
    worker->key = key;
    worker->placement_id = MB_WORKER_NONE;
    worker->healthy = true;
    mb_resource_init(&worker->resource, MB_RESOURCE_WORKER, MB_STR_EMPTY);
    worker->held_tasks = g_array_new(FALSE, FALSE, sizeof(mb_task_id_t));
    worker->acks = g_array_new(FALSE, FALSE, sizeof(mb_attempt_t));
    worker->orphaned = g_array_new(FALSE, FALSE, sizeof(mb_attempt_t));
    worker->throttles = g_array_new(FALSE, FALSE, sizeof(mb_sync_throttle_t));
    (void)g_hash_table_insert(shard->workers, &worker->key, worker);
    mb_health_init(&worker->health);
    worker->due_us = UINT64_MAX;
    worker->due_iter = g_sequence_append(shard->workers_by_due_time, worker);
    if (shard->active) {
        mb_shard_worker_reset(shard, worker);
        shard->rebuild_needed = true;
    }
    return worker;
}

/* Orders workers by the time at which they are due. */
static gint
compare_due(gconstpointer a, gconstpointer b, gpointer unused)
{
    const mb_shard_worker_t *first = a;
    const mb_shard_worker_t *second = b;
    (void)unused;
    return (first->due_us > second->due_us) - (first->due_us < second->due_us);
}

/* Updates the time at which a worker is due, and its position in the order of
   due workers. It is due for the next request or, while it holds tasks, for
   the certain expiry of its lease. Called after any of these has changed. */
void
mb_shard_worker_reschedule(mb_shard_worker_t *worker)
{
    bool used = worker->declared || worker->held_tasks->len > 0;
    uint64_t due = UINT64_MAX;
    if (!worker->sync_in_flight && used) {
        due = worker->next_sync_us;
    }
    if (worker->held_tasks->len > 0) {
        due = MIN(due, worker->lease_expiry_us);
    }
    if (due != worker->due_us) {
        worker->due_us = due;
        g_sequence_sort_changed(worker->due_iter, compare_due, NULL);
    }
}

/* Returns the longest time for which one grant of a lease to a worker may last
   on the clock of this process, in microseconds. */
uint64_t
mb_shard_max_grant_us(const mb_shard_t *shard)
{
    return ((uint64_t)shard->config.worker_lease_ms +
            shard->config.lease.drift_margin_ms) *
           MB_US_PER_MS;
}

/* Clears what an earlier owner or ownership knew of a worker. Until the worker
   confirms the new token, an earlier owner may still extend its lease: in the
   phase MB_LEASE_GRACE it does so for `outage_grace_ms` after its own lease
   has expired. */
void
mb_shard_worker_reset(mb_shard_t *shard, mb_shard_worker_t *worker)
{
    uint64_t now = mb_clock_us(&shard->clock);
    worker->confirmed = false;
    worker->unresponsive = false;
    worker->leased = false;
    worker->incarnation = 0;
    worker->unreserved_count = 0;
    worker->next_sync_us = now;
    /* A paused worker may read the last grant of the earlier owner just before
       the previous grant expires, so the leases of two grants may follow one
       another. */
    worker->lease_expiry_us =
        now + 2 * mb_shard_max_grant_us(shard) +
        (uint64_t)shard->config.lease.outage_grace_ms * MB_US_PER_MS;
    worker->eligible = false;
    worker->throttled_milli = 0;
    mb_health_init(&worker->health);
    mb_slowdown_controller_init(&worker->slowdown_controller);
    mb_shard_worker_reschedule(worker);
}

/* Updates whether a worker is eligible for new tasks. A worker that becomes
   eligible causes a scheduling pass without delay. */
void
mb_shard_worker_update_eligibility(mb_shard_t *shard,
                                   mb_shard_worker_t *worker)
{
    bool eligible =
        worker->declared && worker->healthy && worker->confirmed &&
        !worker->unresponsive && worker->unreserved_count == 0 &&
        worker->held_tasks->len < MB_SYNC_LIST_MAX / 2 &&
        mb_health_allows_start(&worker->health, mb_clock_us(&shard->clock));
    if (worker->placement_id != MB_WORKER_NONE) {
        mb_placement_set_eligible(shard->placement, worker->placement_id,
                                  eligible);
        shard->schedule_needed |= eligible && !worker->eligible;
        shard->schedule_urgent |= eligible && !worker->eligible;
    }
    worker->eligible = eligible;
}

/* Returns the index of the one shard that uses a worker. Two shards must never
   use the same worker, because each would count only its own tasks against the
   worker's capacity. */
uint32_t
mb_shard_index_for_worker(mb_str_t name, uint32_t shard_count)
{
    return (uint32_t)((mb_shard_worker_key(name) >> 32) % shard_count);
}

/* Adds a declared worker or replaces its declaration. Workers of other shards
   are ignored. */
void
mb_shard_worker_declare(mb_shard_t *shard, const mb_resource_t *resource)
{
    uint64_t key = mb_shard_worker_key(mb_buf_view(&resource->name));
    if (mb_shard_index_for_worker(mb_buf_view(&resource->name),
                                  shard->config.shard_count) !=
        shard->config.shard_index) {
        return;
    }
    if (mb_shard_worker_find(shard, key) == NULL &&
        g_hash_table_size(shard->workers) >= MB_SHARD_WORKERS_MAX) {
        mb_log_warning(&shard->log, "too many workers, ignored worker=%.*s",
                       (int)resource->name.len, resource->name.data);
        return;
    }
    mb_shard_worker_t *worker = mb_shard_worker_get_or_add(shard, key);
    mb_resource_finish(&worker->resource);
    mb_resource_copy(&worker->resource, resource);
    worker->declared = true;
    shard->rebuild_needed = true;
    mb_shard_worker_reschedule(worker);
}

/* Marks a worker as no longer declared. It gets no new tasks; those that it
   holds continue until they end. */
void
mb_shard_worker_undeclare(mb_shard_t *shard, mb_str_t name)
{
    mb_shard_worker_t *worker =
        mb_shard_worker_find(shard, mb_shard_worker_key(name));
    if (worker == NULL) {
        return;
    }
    worker->declared = false;
    shard->rebuild_needed = true;
    mb_shard_worker_reschedule(worker);
    if (shard->active) {
        mb_shard_worker_update_eligibility(shard, worker);
    }
}

/* Sets whether a worker is healthy, as judged by the caller. */
void
mb_shard_set_healthy(mb_shard_t *shard, uint64_t key, bool healthy)
{
    mb_shard_worker_t *worker = mb_shard_worker_find(shard, key);
    if (worker != NULL) {
        worker->healthy = healthy;
        shard->schedule_needed = true;
        mb_shard_worker_update_eligibility(shard, worker);
    }
}

/* Sets the estimated slowdown of an urgent task on a worker, which the
   placement takes into account. */
void
mb_shard_set_slowdown(mb_shard_t *shard, uint64_t key, uint32_t permille)
{
    const mb_shard_worker_t *worker = mb_shard_worker_find(shard, key);
    if (worker != NULL && worker->placement_id != MB_WORKER_NONE) {
        mb_placement_set_slowdown(shard->placement, worker->placement_id,
                                  permille);
    }
}

/* Removes a task, which must be listed, from the held tasks of a worker. */
void
mb_shard_worker_remove_task(mb_shard_worker_t *worker, mb_task_id_t id)
{
    for (guint i = 0; i < worker->held_tasks->len; i++) {
        if (mb_task_id_equal(
                g_array_index(worker->held_tasks, mb_task_id_t, i), id)) {
            (void)g_array_remove_index_fast(worker->held_tasks, i);
            return;
        }
    }
    MB_INVARIANT(false, "held_task_is_listed");
}

/* Evicts a task: it is stopped with a checkpoint and requeued. Returns false
   if it is not held or this process is not the owner. */
bool
mb_shard_evict(mb_shard_t *shard, mb_task_id_t id)
{
    mb_task_t *task = mb_task_find(&shard->tasks, id);
    if (!shard->active || mb_shard_phase(shard) != MB_LEASE_OWNER ||
        task == NULL || !mb_task_is_held(task)) {
        return false;
    }
    task->marks |= MB_MARK_EVICT;
    mb_shard_worker_t *worker =
        mb_shard_worker_get_or_add(shard, task->worker);
    worker->next_sync_us = 0;
    mb_shard_worker_reschedule(worker);
    return true;
}

/* Limits a task to a percentage of its processors. Returns false if it is not
   held, this process is not the owner, or the list of throttles for the worker
   is full. */
bool
mb_shard_throttle(mb_shard_t *shard, mb_task_id_t id, uint32_t percent)
{
    mb_task_t *task = mb_task_find(&shard->tasks, id);
    if (!shard->active || mb_shard_phase(shard) != MB_LEASE_OWNER ||
        task == NULL || !mb_task_is_held(task)) {
        return false;
    }
    mb_shard_worker_t *worker =
        mb_shard_worker_get_or_add(shard, task->worker);
    mb_sync_throttle_t throttle = {id, percent};
    if (worker->throttles->len >= MB_SYNC_LIST_MAX) {
        return false;
    }
    (void)g_array_append_val(worker->throttles, throttle);
    worker->next_sync_us = 0;
    mb_shard_worker_reschedule(worker);
    return true;
}
