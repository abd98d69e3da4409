/* Protects services, and other tasks that are not batch, from batch tasks on
   the same worker. Latency samples in usage reports, which arrive late, train
   a model of how tasks slow one another down. Batch tasks that slow down
   others are throttled first; one is evicted only if that did not help. */
#include "mb_shard_internal.h"

/* Maximum number of batch tasks of a worker that are candidates for one
   eviction. */
#define CANDIDATES_MAX 64
/* A baseline rises by one part in this many per sample, so that a service that
   has become permanently slower is not regarded as slowed down for ever. */
#define BASELINE_RISE_DIVISOR 256
/* Slowdowns are capped at 11 times the baseline latency (10000 thousandths
   above it); greater ones carry no further information. */
#define SLOWDOWN_MAX_PERMILLE 10000

/* Returns the i-th held task of a worker if it is a running batch task that is
   not about to end, else NULL. Sets `id` in either case. */
static const mb_task_t *
get_running_batch_task(const mb_shard_t *shard,
                       const mb_shard_worker_t *worker, guint i,
                       mb_task_id_t *id)
{
    *id = g_array_index(worker->held_tasks, mb_task_id_t, i);
    const mb_task_t *task = mb_task_find(&shard->tasks, *id);
    bool is_ending = (task->marks & (MB_MARK_END_PENDING | MB_MARK_EVICT |
                                     MB_MARK_CANCEL)) != 0;
    return task->task_class == MB_CLASS_BATCH &&
                   task->state == MB_TASK_RUNNING && !is_ending
               ? task
               : NULL;
}

/* Returns the load level of a worker, computed from the reserved processors,
   not from the measured usage. */
static uint32_t
get_load_level(const mb_shard_t *shard, const mb_shard_worker_t *worker)
{
    uint32_t capacity_milli = worker->resource.spec.worker.capacity.cpu_milli;
    mb_size_t free_size =
        mb_placement_available(shard->placement, worker->placement_id);
    uint32_t used_milli = free_size.cpu_milli < capacity_milli
                              ? capacity_milli - free_size.cpu_milli
                              : 0;
    return mb_slowdown_load_level(used_milli, capacity_milli);
}

/* Returns the slowdown, in thousandths, that a task of a job is estimated to
   cause to the task of the worker's worst sample. */
static uint32_t
estimate_slowdown(const mb_shard_t *shard, const mb_shard_worker_t *worker,
                  uint64_t job)
{
    mb_slowdown_colocation_t colocation = {worker->sample_kind,
                                           get_load_level(shard, worker),
                                           {mb_slowdown_kind(job)},
                                           1};
    return mb_slowdown_predict(&shard->slowdown_model, &colocation,
                               mb_clock_us(&shard->clock));
}

/* Adds the kinds of the batch tasks on a worker to a colocation. */
static void
add_batch_kinds(const mb_shard_t *shard, const mb_shard_worker_t *worker,
                mb_slowdown_colocation_t *colocation)
{
    mb_task_id_t id;
    for (guint i = 0; i < worker->held_tasks->len &&
                      colocation->corunner_count < MB_SLOWDOWN_CORUNNERS_MAX;
         i++) {
        if (get_running_batch_task(shard, worker, i, &id) != NULL) {
            colocation->corunners[colocation->corunner_count++] =
                mb_slowdown_kind(id.job);
        }
    }
}

/* Returns the most recent sample of a usage report, which has at least one. */
static const mb_usage_sample_t *
find_newest_sample(const mb_usage_t *usage)
{
    const mb_usage_sample_t *newest = &usage->samples[0];
    for (uint32_t i = 1; i < usage->sample_count; i++) {
        if (usage->samples[i].age_ms < newest->age_ms) {
            newest = &usage->samples[i];
        }
    }
    return newest;
}

/* Returns by how much the latency of a job exceeds its baseline, in
   thousandths of the baseline, and updates the baseline: the lowest recent
   latency. */
static uint32_t
compute_slowdown(mb_shard_job_t *job, uint32_t latency_us)
{
    uint64_t baseline_us = job->baseline_latency_us;
    baseline_us += baseline_us / BASELINE_RISE_DIVISOR;
    if (baseline_us == 0 || latency_us < baseline_us) {
        baseline_us = MAX(latency_us, 1u);
    }
    job->baseline_latency_us = baseline_us;
    uint64_t excess_us =
        latency_us > baseline_us ? latency_us - baseline_us : 0;
    return (uint32_t)MIN(excess_us * 1000 / baseline_us,
                         SLOWDOWN_MAX_PERMILLE);
}

/* Processes the usage report of one task: updates the size estimate, the model
   and the worst sample of the worker. Reports of tasks that the worker does
   not hold are ignored. */
void
mb_shard_slowdown_handle_usage(mb_shard_t *shard, mb_shard_worker_t *worker,
                               const mb_usage_t *usage)
{
    mb_task_t *task = mb_task_find(&shard->tasks, usage->task);
    mb_shard_job_t *job = mb_shard_job_find(shard, usage->task.job);
    uint64_t now = mb_clock_us(&shard->clock);
    if (task == NULL || job == NULL || !mb_task_is_held(task) ||
        task->worker != worker->key) {
        return;
    }
    mb_size_t used = {usage->cpu_milli, usage->memory_mb,
                      task->size.accelerators};
    mb_sizing_observe_usage(&shard->sizing, job->key, &task->size, &used);
    if (task->task_class == MB_CLASS_BATCH || usage->sample_count == 0 ||
        worker->placement_id == MB_WORKER_NONE) {
        return;
    }
    const mb_usage_sample_t *sample = find_newest_sample(usage);
    uint64_t age_us = (uint64_t)sample->age_ms * MB_US_PER_MS;
    uint32_t slowdown = compute_slowdown(job, sample->latency_us);
    mb_slowdown_colocation_t colocation = {
        .victim = mb_slowdown_kind(job->key),
        .level = get_load_level(shard, worker)};
    add_batch_kinds(shard, worker, &colocation);
    mb_slowdown_observe(&shard->slowdown_model, &colocation, slowdown, age_us,
                        now);
    if (!worker->has_sample || slowdown > worker->sample_slowdown_permille) {
        worker->has_sample = true;
        worker->sample_slowdown_permille = slowdown;
        worker->sample_kind = colocation.victim;
        worker->sample_time_us = now > age_us ? now - age_us : 0;
    }
}

/* Returns the processors, in thousandths, that batch loses if those tasks of a
   worker that cause most of the slowdown are throttled to `percent`. The other
   batch tasks run unthrottled. With `send`, adds the throttles to the next
   request. */
static uint32_t
throttle_batch(const mb_shard_t *shard, mb_shard_worker_t *worker,
               uint32_t percent, bool send)
{
    mb_task_id_t id;
    uint32_t worst_slowdown = 0;
    uint32_t lost_milli = 0;
    for (guint i = 0; i < worker->held_tasks->len; i++) {
        if (get_running_batch_task(shard, worker, i, &id) != NULL) {
            worst_slowdown =
                MAX(worst_slowdown, estimate_slowdown(shard, worker, id.job));
        }
    }
    for (guint i = 0; i < worker->held_tasks->len; i++) {
        const mb_task_t *task = get_running_batch_task(shard, worker, i, &id);
        if (task == NULL) {
            continue;
        }
        bool is_throttled = mb_slowdown_should_throttle(
            estimate_slowdown(shard, worker, id.job), worst_slowdown);
        mb_sync_throttle_t throttle = {id, is_throttled ? percent : 100};
        lost_milli += (uint32_t)((uint64_t)task->size.cpu_milli *
                                 (100 - throttle.percent) / 100);
        if (send && worker->throttles->len < MB_SYNC_LIST_MAX) {
            (void)g_array_append_val(worker->throttles, throttle);
        }
    }
    return lost_milli;
}

/* Sends the throttles of the present throttling step and records how many
   processors they take from batch. */
static void
apply_throttles(mb_shard_t *shard, mb_shard_worker_t *worker)
{
    uint32_t percent =
        mb_slowdown_throttle_percent(&worker->slowdown_controller);
    shard->throttled_milli -= worker->throttled_milli;
    worker->throttled_milli = throttle_batch(shard, worker, percent, true);
    shard->throttled_milli += worker->throttled_milli;
}

/* Evicts the batch task of a worker that causes the greatest slowdown in
   relation to the work that its eviction loses. The owner does not know when a
   task has written a checkpoint, so all work since the task was started or
   inherited counts as lost. */
static void
evict_batch_task(mb_shard_t *shard, const mb_shard_worker_t *worker)
{
    mb_slowdown_candidate_t candidates[CANDIDATES_MAX];
    mb_task_id_t ids[CANDIDATES_MAX];
    uint32_t count = 0;
    uint64_t now = mb_clock_us(&shard->clock);
    for (guint i = 0; i < worker->held_tasks->len && count < CANDIDATES_MAX;
         i++) {
        mb_task_id_t id;
        if (get_running_batch_task(shard, worker, i, &id) != NULL &&
            mb_shard_policy_may_evict(shard, id)) {
            ids[count] = id;
            candidates[count++] = (mb_slowdown_candidate_t){
                now - mb_shard_policy_start_time_us(shard, id),
                estimate_slowdown(shard, worker, id.job)};
        }
    }
    uint32_t best = mb_slowdown_choose_eviction(candidates, count);
    if (best < count && mb_shard_evict(shard, ids[best])) {
        mb_shard_policy_note_eviction(shard, ids[best]);
    }
}

/* Adjusts the throttling of a worker after its response has been processed. If
   the throttles of all workers leave batch less than its minimum share,
   throttling is relaxed by one step; otherwise the worst sample decides. Does
   nothing unless this process is the owner and the placement is up to date.
   Whether a task may be evicted is checked when one is chosen. */
void
mb_shard_slowdown_decide(mb_shard_t *shard, mb_shard_worker_t *worker)
{
    uint64_t now = mb_clock_us(&shard->clock);
    bool has_sample = worker->has_sample;
    worker->has_sample = false;
    if (worker->placement_id == MB_WORKER_NONE || shard->rebuild_needed ||
        mb_shard_phase(shard) != MB_LEASE_OWNER) {
        return;
    }
    bool batch_below_minimum = !mb_dispatch_can_reduce_batch_cpu(
        shard->dispatch, shard->throttled_milli);
    if (worker->throttled_milli > 0 && batch_below_minimum &&
        mb_slowdown_relax(&worker->slowdown_controller, now)) {
        apply_throttles(shard, worker);
        worker->next_sync_us = 0;
        return;
    }
    if (!has_sample) {
        return;
    }
    mb_placement_set_slowdown(shard->placement, worker->placement_id,
                              MIN(worker->sample_slowdown_permille, 1000u));
    uint32_t next_throttled_milli = throttle_batch(
        shard, worker,
        mb_slowdown_next_throttle_percent(&worker->slowdown_controller),
        false);
    mb_slowdown_input_t input = {
        worker->sample_slowdown_permille, worker->sample_time_us, true,
        mb_dispatch_can_reduce_batch_cpu(
            shard->dispatch, shard->throttled_milli - worker->throttled_milli +
                                 next_throttled_milli)};
    mb_slowdown_action_t action =
        mb_slowdown_decide(&worker->slowdown_controller, &input, now);
    if (action == MB_SLOWDOWN_ACTION_EVICT) {
        evict_batch_task(shard, worker);
    }
    if (action == MB_SLOWDOWN_ACTION_THROTTLE ||
        worker->slowdown_controller.step > 0) {
        /* Repeated even if the step is the same, because tasks may have
           started since the throttles were last sent. */
        apply_throttles(shard, worker);
        worker->next_sync_us =
            action == MB_SLOWDOWN_ACTION_THROTTLE ? 0 : worker->next_sync_us;
    }
}

/* Clears the throttling state of a worker that has restarted, because the
   restart ended its tasks, and the throttles with them. */
void
mb_shard_slowdown_reset(mb_shard_t *shard, mb_shard_worker_t *worker)
{
    shard->throttled_milli -= worker->throttled_milli;
    worker->throttled_milli = 0;
    mb_slowdown_controller_init(&worker->slowdown_controller);
}
