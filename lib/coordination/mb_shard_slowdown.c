/* Late latency samples of a shard's workers: estimates who disturbs whom,
   throttles batch tasks first and evicts one only when that did not help. */
#include "mb_shard_internal.h"

/* Most batch tasks of a worker that are compared for an eviction. */
#define CANDIDATES_MAX 64
/* A baseline rises by this part per sample, so that a service that became
   slower for good is not taken as disturbed for ever. */
#define BASELINE_RISE_PART 256
/* Slowdowns above 11 times the baseline say nothing more. */
#define SLOWDOWN_MAX_PERMILLE 10000

/* Returns a held task of a worker when it is a batch task that runs there and
   is not about to end, else NULL. */
static const mb_task_t *
batch_at(const mb_shard_t *shard, const mb_shard_worker_t *worker, guint i,
         mb_task_id_t *id)
{
    *id = g_array_index(worker->held_tasks, mb_task_id_t, i);
    const mb_task_t *task = mb_task_find(&shard->tasks, *id);
    bool leaves = (task->marks & (MB_MARK_END_PENDING | MB_MARK_EVICT |
                                  MB_MARK_CANCEL)) != 0;
    return task->task_class == MB_CLASS_BATCH &&
                   task->state == MB_TASK_RUNNING && !leaves
               ? task
               : NULL;
}

/* Returns the load level of a worker, by what is promised there. */
static uint32_t
level_of(const mb_shard_t *shard, const mb_shard_worker_t *worker)
{
    uint32_t capacity = worker->resource.spec.worker.capacity.cpu_milli;
    mb_size_t room =
        mb_placement_available(shard->placement, worker->placement_id);
    uint32_t used = room.cpu_milli < capacity ? capacity - room.cpu_milli : 0;
    return mb_slowdown_load_level(used, capacity);
}

/* Returns the slowdown that tasks of a job add to the worker's victim. */
static uint32_t
disturbance(const mb_shard_t *shard, const mb_shard_worker_t *worker,
            uint64_t job)
{
    mb_slowdown_colocation_t scene = {worker->sample_kind,
                                      level_of(shard, worker),
                                      {mb_slowdown_kind(job)},
                                      1};
    return mb_slowdown_predict(&shard->slowdown_model, &scene,
                               mb_clock_us(&shard->clock));
}

/* Lists the kinds of the batch tasks on a worker. */
static void
fill_beside(const mb_shard_t *shard, const mb_shard_worker_t *worker,
            mb_slowdown_colocation_t *scene)
{
    mb_task_id_t id;
    for (guint i = 0; i < worker->held_tasks->len &&
                      scene->corunner_count < MB_SLOWDOWN_CORUNNERS_MAX;
         i++) {
        if (batch_at(shard, worker, i, &id) != NULL) {
            scene->corunners[scene->corunner_count++] =
                mb_slowdown_kind(id.job);
        }
    }
}

/* Returns the sample measured last. */
static const mb_usage_sample_t *
newest(const mb_usage_t *usage)
{
    const mb_usage_sample_t *best = &usage->samples[0];
    for (uint32_t i = 1; i < usage->sample_count; i++) {
        if (usage->samples[i].age_ms < best->age_ms) {
            best = &usage->samples[i];
        }
    }
    return best;
}

/* Returns how much slower than its baseline a job answers, in thousandths;
   the baseline is the lowest latency of late. */
static uint32_t
slowdown_of(mb_shard_job_t *job, uint32_t latency_us)
{
    uint64_t baseline = job->baseline_latency_us;
    baseline += baseline / BASELINE_RISE_PART;
    if (baseline == 0 || latency_us < baseline) {
        baseline = MAX(latency_us, 1u);
    }
    job->baseline_latency_us = baseline;
    uint64_t above = latency_us > baseline ? latency_us - baseline : 0;
    return (uint32_t)MIN(above * 1000 / baseline, SLOWDOWN_MAX_PERMILLE);
}

/* Learns from the usage of one task. A report of a task that the worker does
   not hold is ignored. */
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
    const mb_usage_sample_t *sample = newest(usage);
    uint64_t age = (uint64_t)sample->age_ms * MB_US_PER_MS;
    uint32_t slowdown = slowdown_of(job, sample->latency_us);
    mb_slowdown_colocation_t scene = {.victim = mb_slowdown_kind(job->key),
                                      .level = level_of(shard, worker)};
    fill_beside(shard, worker, &scene);
    mb_slowdown_observe(&shard->slowdown_model, &scene, slowdown, age, now);
    if (!worker->has_sample || slowdown > worker->sample_slowdown_permille) {
        worker->has_sample = true;
        worker->sample_slowdown_permille = slowdown;
        worker->sample_kind = scene.victim;
        worker->sample_time_us = now > age ? now - age : 0;
    }
}

/* Returns the processors that throttling the disturbing tasks of a worker to
   a percentage takes from batch; with `send` it adds the throttles to the
   next request. */
static uint32_t
throttle_to(const mb_shard_t *shard, mb_shard_worker_t *worker,
            uint32_t percent, bool send)
{
    mb_task_id_t id;
    uint32_t worst = 0;
    uint32_t lost = 0;
    for (guint i = 0; i < worker->held_tasks->len; i++) {
        if (batch_at(shard, worker, i, &id) != NULL) {
            worst = MAX(worst, disturbance(shard, worker, id.job));
        }
    }
    for (guint i = 0; i < worker->held_tasks->len; i++) {
        const mb_task_t *task = batch_at(shard, worker, i, &id);
        if (task == NULL) {
            continue;
        }
        bool disturbs = mb_slowdown_should_throttle(
            disturbance(shard, worker, id.job), worst);
        mb_sync_throttle_t throttle = {id, disturbs ? percent : 100};
        lost += (uint32_t)((uint64_t)task->size.cpu_milli *
                           (100 - throttle.percent) / 100);
        if (send && worker->throttles->len < MB_SYNC_LIST_MAX) {
            (void)g_array_append_val(worker->throttles, throttle);
        }
    }
    return lost;
}

/* Sends the throttles of the guard's step and notes what they cost batch. */
static void
throttle(mb_shard_t *shard, mb_shard_worker_t *worker)
{
    uint32_t percent = mb_slowdown_throttle_percent(&worker->guard);
    shard->throttled_milli -= worker->throttled_milli;
    worker->throttled_milli = throttle_to(shard, worker, percent, true);
    shard->throttled_milli += worker->throttled_milli;
}

/* Evicts the batch task of a worker that disturbs most per work lost. */
static void
evict_one(mb_shard_t *shard, const mb_shard_worker_t *worker)
{
    mb_slowdown_candidate_t candidates[CANDIDATES_MAX];
    mb_task_id_t ids[CANDIDATES_MAX];
    uint32_t count = 0;
    uint64_t now = mb_clock_us(&shard->clock);
    for (guint i = 0; i < worker->held_tasks->len && count < CANDIDATES_MAX;
         i++) {
        mb_task_id_t id;
        if (batch_at(shard, worker, i, &id) != NULL &&
            mb_shard_policy_may_evict(shard, id)) {
            ids[count] = id;
            candidates[count++] = (mb_slowdown_candidate_t){
                now - mb_shard_policy_start_time_us(shard, id),
                disturbance(shard, worker, id.job)};
        }
    }
    uint32_t best = mb_slowdown_choose_eviction(candidates, count);
    if (best < count && mb_shard_evict(shard, ids[best])) {
        mb_shard_policy_note_eviction(shard, ids[best]);
    }
}

/* Decides on a worker after its answer: relief when batch is short of its
   minimum share, else a step by the worst sample. Only while the claim is
   valid. */
void
mb_shard_slowdown_decide(mb_shard_t *shard, mb_shard_worker_t *worker)
{
    uint64_t now = mb_clock_us(&shard->clock);
    bool sampled = worker->has_sample;
    worker->has_sample = false;
    if (worker->placement_id == MB_WORKER_NONE || shard->rebuild_needed ||
        mb_shard_phase(shard) != MB_LEASE_OWNER) {
        return;
    }
    bool short_of = !mb_dispatch_can_reduce_batch_cpu(shard->dispatch,
                                                      shard->throttled_milli);
    if (worker->throttled_milli > 0 && short_of &&
        mb_slowdown_relax(&worker->guard, now)) {
        throttle(shard, worker);
        worker->next_sync_us = 0;
        return;
    }
    if (!sampled) {
        return;
    }
    mb_placement_set_slowdown(shard->placement, worker->placement_id,
                              MIN(worker->sample_slowdown_permille, 1000u));
    uint32_t next =
        throttle_to(shard, worker,
                    mb_slowdown_next_throttle_percent(&worker->guard), false);
    mb_slowdown_input_t view = {
        worker->sample_slowdown_permille, worker->sample_time_us, true,
        mb_dispatch_can_reduce_batch_cpu(shard->dispatch,
                                         shard->throttled_milli -
                                             worker->throttled_milli + next)};
    mb_slowdown_action_t action =
        mb_slowdown_decide(&worker->guard, &view, now);
    if (action == MB_SLOWDOWN_ACTION_EVICT) {
        evict_one(shard, worker);
    }
    if (action == MB_SLOWDOWN_ACTION_THROTTLE || worker->guard.step > 0) {
        /* Also without a new step: tasks may have started since. */
        throttle(shard, worker);
        worker->next_sync_us =
            action == MB_SLOWDOWN_ACTION_THROTTLE ? 0 : worker->next_sync_us;
    }
}

/* Forgets the throttles of a worker that has restarted: its tasks are gone. */
void
mb_shard_slowdown_reset(mb_shard_t *shard, mb_shard_worker_t *worker)
{
    shard->throttled_milli -= worker->throttled_milli;
    worker->throttled_milli = 0;
    mb_slowdown_controller_init(&worker->guard);
}
