/* The workers of a shard: declarations, their place, requests about the tasks
   that they hold. */
#include "mb_assert.h"
#include "mb_shard_internal.h"

/* Frees a worker; called by the hash table. */
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

/* Returns the worker of a key; one that is not declared is added, because
   tasks may still be assigned to it. */
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

/* Orders workers by the time they are due. */
static gint
compare_due(gconstpointer a, gconstpointer b, gpointer unused)
{
    const mb_shard_worker_t *first = a;
    const mb_shard_worker_t *second = b;
    (void)unused;
    return (first->due_us > second->due_us) - (first->due_us < second->due_us);
}

/* Moves a worker to its place in the queue, after a change of when it is due:
   for the next request, or for the certain end of its lease. */
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

/* Returns the longest time for which a grant to a worker may last. */
uint64_t
mb_shard_max_grant_us(const mb_shard_t *shard)
{
    return ((uint64_t)shard->config.worker_lease_ms +
            shard->config.lease.drift_margin_ms) *
           MB_US_PER_MS;
}

/* Prepares a worker for a new token. Until it confirms the token, an earlier
   owner may still extend its lease as a caretaker. */
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
    /* The last grant of an earlier owner may be read only when the grant
       before it is about to expire, so two of them are counted. */
    worker->lease_expiry_us =
        now + 2 * mb_shard_max_grant_us(shard) +
        (uint64_t)shard->config.lease.outage_grace_ms * MB_US_PER_MS;
    worker->eligible = false;
    worker->throttled_milli = 0;
    mb_health_init(&worker->health);
    mb_slowdown_controller_init(&worker->guard);
    mb_shard_worker_reschedule(worker);
}

/* Updates whether new tasks may go to a worker. */
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

/* Returns the shard of a worker. Two shards must never use one worker: each
   would count only its own tasks against the worker's capacity. */
uint32_t
mb_shard_index_for_worker(mb_str_t name, uint32_t shard_count)
{
    return (uint32_t)((mb_shard_worker_key(name) >> 32) % shard_count);
}

/* Takes a declared worker, new or changed. */
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

/* Takes a worker that is no longer declared out of use. Its tasks go on until
   they end. */
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

/* Takes the verdict of the health scores. */
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

/* Takes the pressure that urgent tasks would meet on a worker. */
void
mb_shard_set_pressure(mb_shard_t *shard, uint64_t key, uint32_t permille)
{
    const mb_shard_worker_t *worker = mb_shard_worker_find(shard, key);
    if (worker != NULL && worker->placement_id != MB_WORKER_NONE) {
        mb_placement_set_slowdown(shard->placement, worker->placement_id,
                                  permille);
    }
}

/* Removes a task from the list of a worker. */
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

/* Requests that a task stops and resumes elsewhere; false when it is not
   assigned or this process is not the owner. */
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

/* Requests a limit of the processors of a running task; false when it is not
   assigned, the owner is another, or the list is full. */
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
