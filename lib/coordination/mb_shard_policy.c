/* The scheduling policy of a shard's owner. It queues pending tasks in the
   dispatch, which decides what runs where; turns the decisions into starts and
   evictions; and feeds exits back into back-off, health scores and estimates
   of the run time. */
#include "mb_assert.h"
#include "mb_shard_internal.h"

/* Maximum number of tasks of one job that are queued in the dispatch at a
   time, which bounds the memory of a large job. Tasks that start are replaced
   within the same scheduling pass, so the bound does not limit the number of
   starts. */
#define QUEUED_PER_JOB 64
/* Time between two scheduling passes while tasks wait for room. The passes are
   needed even if nothing has changed, because the dispatch preempts batch
   tasks for an urgent task, and holds a worker for a starved one, once that
   task has waited long enough. */
#define RETRY_URGENT_US (250 * MB_US_PER_MS)
#define RETRY_US MB_US_PER_S
/* A task that ran for less than this and has to run again delays the next
   attempts of its job. */
#define SHORT_RUN_US (10 * MB_US_PER_S)
/* First and longest back-off delay of a job. */
#define BACKOFF_FIRST_MS 250u
#define BACKOFF_MAX_MS 8000u
/* Low bits of an id of the dispatch that hold the index of the task. The bits
   above hold the dispatch number of the job. */
#define INDEX_BITS 20

_Static_assert((MB_JOB_TASKS_MAX - 1) >> INDEX_BITS == 0, "index fits an id");

/* Returns the id of a task in the dispatch. */
static uint64_t
make_dispatch_id(const mb_shard_job_t *job, uint32_t index)
{
    return (uint64_t)job->dispatch_number << INDEX_BITS | index;
}

/* Extracts the index of the task from an id of the dispatch. */
static uint32_t
get_task_index(uint64_t id)
{
    return (uint32_t)(id & ((1u << INDEX_BITS) - 1));
}

/* Looks up the job of an id of the dispatch. */
static mb_shard_job_t *
find_job_by_id(const mb_shard_t *shard, uint64_t id)
{
    mb_shard_job_t *job = g_hash_table_lookup(
        shard->jobs_by_number, GUINT_TO_POINTER((guint)(id >> INDEX_BITS)));
    MB_INVARIANT(job != NULL, "dispatched_job_is_known");
    return job;
}

/* Returns the declared size of one task. Tasks that were started before the
   declaration changed keep the size in their record. */
static const mb_size_t *
get_task_size(const mb_shard_job_t *job)
{
    return job->resource.kind == MB_RESOURCE_SERVICE
               ? &job->resource.spec.service.size
               : &job->resource.spec.job.size;
}

/* Returns the team of a job, or MB_TEAM_NONE if it is not declared. */
static mb_team_id_t
find_job_team(const mb_shard_t *shard, const mb_shard_job_t *job)
{
    const mb_buf_t *team = job->resource.kind == MB_RESOURCE_SERVICE
                               ? &job->resource.spec.service.team
                               : &job->resource.spec.job.team;
    return mb_quota_find(shard->quota, mb_buf_view(team));
}

/* Returns the declared run time in milliseconds; 0 for services. */
static uint32_t
get_run_time_ms(const mb_shard_job_t *job)
{
    return job->resource.kind == MB_RESOURCE_SERVICE
               ? 0
               : job->resource.spec.job.run_time_ms;
}

/* Looks up the constraint of a job; sets NULL if the job has none. Returns
   false if the job names a constraint that is not declared. */
static bool
find_job_constraint(const mb_shard_t *shard, const mb_shard_job_t *job,
                    const mb_constraint_t **constraint)
{
    const mb_buf_t *name = job->resource.kind == MB_RESOURCE_SERVICE
                               ? &job->resource.spec.service.constraint
                               : &job->resource.spec.job.constraint;
    *constraint = NULL;
    if (name->len == 0) {
        return true;
    }
    g_autofree char *text = mb_str_to_cstr(mb_buf_view(name));
    const mb_resource_t *found = g_hash_table_lookup(shard->constraints, text);
    if (found != NULL) {
        *constraint = &found->spec.constraint;
    }
    return found != NULL;
}

/* Removes a task from the list of those that are queued in the dispatch. */
static void
remove_queued(mb_shard_job_t *job, uint32_t index)
{
    for (guint i = 0; i < job->queued->len; i++) {
        if (g_array_index(job->queued, uint32_t, i) == index) {
            (void)g_array_remove_index_fast(job->queued, i);
            return;
        }
    }
    MB_INVARIANT(false, "queued_task_is_listed");
}

/* Callback of the dispatch: adds the start of a task to the record that is
   being filled. */
static void
on_start(void *context, uint64_t id, mb_worker_id_t placement_id)
{
    mb_shard_t *shard = context;
    mb_shard_job_t *job = find_job_by_id(shard, id);
    mb_task_id_t task_id = {job->key, get_task_index(id)};
    mb_task_t *task = mb_task_find(&shard->tasks, task_id);
    mb_shard_record_t *record = &shard->record;
    mb_shard_worker_t *worker = g_hash_table_lookup(
        shard->workers_by_placement_id, GUINT_TO_POINTER(placement_id));
    MB_INVARIANT(worker != NULL, "placed_on_known_worker");
    remove_queued(job, task_id.index);
    task->marks =
        MB_MARK_IN_FLIGHT | MB_MARK_IN_DISPATCH | MB_MARK_IN_PLACEMENT;
    record->body.starts[record->count++] =
        (mb_start_t){task_id, worker->key, task->attempt + 1,
                     *get_task_size(job), mb_shard_job_class(job)};
    mb_health_started(&worker->health, shard->schedule_time_us);
    mb_shard_worker_update_eligibility(shard, worker);
    mb_shard_policy_mark_ready(shard, job);
}

/* Callback of the dispatch: evicts a task. A task whose start is still being
   appended is only marked, and is evicted when the start is read back. */
static void
on_evict(void *context, uint64_t id, mb_worker_id_t placement_id)
{
    mb_shard_t *shard = context;
    mb_task_id_t task_id = {find_job_by_id(shard, id)->key,
                            get_task_index(id)};
    (void)placement_id;
    if (!mb_shard_evict(shard, task_id)) {
        mb_task_find(&shard->tasks, task_id)->marks |= MB_MARK_EVICT;
    }
}

/* Callback of the dispatch: a task was removed from the queue because it can
   never run. The job is not tried again before its declaration or that of a
   worker, team, constraint or the policy changes. */
static void
on_unschedulable(void *context, uint64_t id,
                 mb_dispatch_unschedulable_t reason)
{
    static const mb_wait_reason_t reasons[] = {
        [MB_DISPATCH_UNSCHEDULABLE_SIZE] = MB_WAIT_TOO_LARGE,
        [MB_DISPATCH_UNSCHEDULABLE_CONSTRAINT] =
            MB_WAIT_CONSTRAINT_UNSATISFIABLE,
        [MB_DISPATCH_UNSCHEDULABLE_QUOTA] = MB_WAIT_EXCEEDS_QUOTA};
    mb_shard_job_t *job = find_job_by_id(context, id);
    uint32_t index = get_task_index(id);
    remove_queued(job, index);
    (void)g_array_append_val(job->requeued, index);
    job->wait_reason = reasons[reason];
}

/* Counts a held task in the new dispatch and placement. A task whose job or
   team is not declared is counted in the placement only. A task that does not
   fit its worker makes the worker ineligible for new tasks. The start time is
   copied from `previous`, the dispatch used so far, which may be NULL; a task
   that is not known there counts as started now. */
static void
count_held_task(mb_shard_t *shard, mb_dispatch_t *previous,
                const mb_start_t *start)
{
    mb_shard_worker_t *worker =
        mb_shard_worker_get_or_add(shard, start->worker);
    mb_shard_job_t *job = mb_shard_job_find(shard, start->task.job);
    mb_task_t *task = mb_task_find(&shard->tasks, start->task);
    mb_placement_task_t placement_task = {start->size, start->task_class, NULL,
                                          start->task.job};
    uint64_t now = mb_clock_us(&shard->clock);
    task->marks &= (uint8_t) ~(MB_MARK_IN_DISPATCH | MB_MARK_IN_PLACEMENT);
    if (job != NULL && find_job_team(shard, job) != MB_TEAM_NONE) {
        uint64_t id = make_dispatch_id(job, start->task.index);
        uint64_t start_time_us =
            previous == NULL ? 0 : mb_dispatch_started_us(previous, id);
        mb_dispatch_task_t dispatch_task = {id, placement_task,
                                            find_job_team(shard, job), 0};
        bool placed = mb_dispatch_adopt(
            shard->dispatch, &dispatch_task, worker->placement_id,
            start_time_us == 0 ? now : start_time_us);
        if ((task->marks & MB_MARK_EVICT) != 0) {
            mb_dispatch_mark_evicting(shard->dispatch, id);
        }
        task->marks |=
            MB_MARK_IN_DISPATCH | (placed ? MB_MARK_IN_PLACEMENT : 0);
    }
    else if (worker->placement_id != MB_WORKER_NONE &&
             mb_placement_reserve(shard->placement, worker->placement_id,
                                  &placement_task)) {
        task->marks |= MB_MARK_IN_PLACEMENT;
    }
    worker->unreserved_count +=
        (task->marks & MB_MARK_IN_PLACEMENT) != 0 ? 0 : 1;
}

/* Counts all tasks that a worker holds. */
static void
count_held_tasks(mb_shard_t *shard, mb_dispatch_t *previous,
                 const mb_shard_worker_t *worker)
{
    for (guint i = 0; i < worker->held_tasks->len; i++) {
        mb_task_id_t id = g_array_index(worker->held_tasks, mb_task_id_t, i);
        const mb_task_t *task = mb_task_find(&shard->tasks, id);
        mb_start_t start = {id, worker->key, task->attempt, task->size,
                            (mb_class_t)task->task_class};
        count_held_task(shard, previous, &start);
    }
}

/* Adds a team to the quota, with the part that this shard may grant. */
static void
add_team(mb_shard_t *shard, const mb_resource_t *team)
{
    mb_team_t share = team->spec.team;
    if (shard->config.shard_count > 1) {
        share.quota = mb_quota_slice(&share.quota, shard->capacities,
                                     shard->config.shard_count,
                                     shard->config.shard_index);
    }
    (void)mb_quota_set_team(shard->quota, mb_buf_view(&team->name), &share);
}

/* Adds the declared teams and workers to a new quota and placement. Returns
   the total capacity of the workers. */
static mb_size_t
add_teams_and_workers(mb_shard_t *shard)
{
    GHashTableIter iter;
    gpointer value;
    mb_size_t capacity = {0};
    g_hash_table_iter_init(&iter, shard->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        add_team(shard, value);
    }
    g_hash_table_iter_init(&iter, shard->workers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_shard_worker_t *worker = value;
        worker->unreserved_count = 0;
        worker->eligible = false;
        worker->placement_id = MB_WORKER_NONE;
        if (worker->declared) {
            worker->placement_id =
                mb_placement_set_worker(shard->placement, &worker->resource);
            (void)g_hash_table_insert(shard->workers_by_placement_id,
                                      GUINT_TO_POINTER(worker->placement_id),
                                      worker);
            mb_size_add(&capacity, &worker->resource.spec.worker.capacity);
        }
    }
    return capacity;
}

/* Counts the tasks that are held or whose starts are being appended, and
   collects the pending tasks of all jobs. */
static void
count_and_collect_tasks(mb_shard_t *shard, mb_dispatch_t *previous)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, shard->workers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count_held_tasks(shard, previous, value);
    }
    if (shard->append_in_flight && shard->record.type == MB_SHARD_STARTS) {
        for (uint32_t i = 0; i < shard->record.count; i++) {
            count_held_task(shard, previous, &shard->record.body.starts[i]);
        }
    }
    g_hash_table_iter_init(&iter, shard->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_shard_job_rebuild(shard, value);
    }
    g_hash_table_iter_init(&iter, shard->workers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_shard_worker_update_eligibility(shard, value);
    }
}

/* Rebuilds placement, quota and dispatch from the declared resources and the
   tasks, after this process became the owner and after a change of a worker,
   team, constraint or the policy. They hold handles of one another, so they
   are rebuilt together; such changes are rare compared with starts. */
void
mb_shard_policy_rebuild(mb_shard_t *shard)
{
    mb_dispatch_callbacks_t callbacks = {on_start, on_evict, on_unschedulable,
                                         shard};
    mb_dispatch_t *previous = shard->dispatch;
    mb_placement_free(shard->placement);
    mb_quota_free(shard->quota);
    g_hash_table_remove_all(shard->workers_by_placement_id);
    shard->rebuild_needed = false;
    shard->placement = mb_placement_new(&shard->rng);
    shard->quota = mb_quota_new();
    shard->dispatch =
        mb_dispatch_new(shard->placement, shard->quota, &callbacks);
    mb_placement_set_objective(shard->placement, shard->policy.objective);
    mb_size_t capacity = add_teams_and_workers(shard);
    mb_quota_set_capacity(shard->quota, &capacity);
    mb_dispatch_set_policy(shard->dispatch, &shard->policy, &capacity);
    count_and_collect_tasks(shard, previous);
    mb_dispatch_free(previous);
    shard->schedule_needed = true;
    shard->schedule_urgent = true;
}

/* Frees placement, quota and dispatch at the end of the ownership. */
void
mb_shard_policy_clear(mb_shard_t *shard)
{
    GHashTableIter iter;
    gpointer value;
    mb_dispatch_free(shard->dispatch);
    mb_placement_free(shard->placement);
    mb_quota_free(shard->quota);
    shard->dispatch = NULL;
    shard->placement = NULL;
    shard->quota = NULL;
    g_hash_table_remove_all(shard->workers_by_placement_id);
    g_hash_table_remove_all(shard->ready_jobs);
    g_hash_table_iter_init(&iter, shard->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_shard_job_t *job = value;
        g_array_set_size(job->queued, 0);
    }
}

/* Marks a job as one that may have tasks to queue in the dispatch. */
void
mb_shard_policy_mark_ready(mb_shard_t *shard, mb_shard_job_t *job)
{
    if (shard->active) {
        (void)g_hash_table_insert(shard->ready_jobs,
                                  GUINT_TO_POINTER(job->dispatch_number), job);
    }
}

/* Removes the queued tasks of a job from the dispatch. */
void
mb_shard_policy_unqueue(mb_shard_t *shard, mb_shard_job_t *job)
{
    for (guint i = 0; shard->dispatch != NULL && i < job->queued->len; i++) {
        (void)mb_dispatch_cancel(
            shard->dispatch,
            make_dispatch_id(job, g_array_index(job->queued, uint32_t, i)));
    }
    g_array_set_size(job->queued, 0);
}

/* Returns whether the dispatch has found that a job can never run, so that it
   is not queued until a declaration changes. An unknown team or constraint is
   looked up again whenever the job becomes ready. */
static bool
is_unschedulable(const mb_shard_job_t *job)
{
    return job->wait_reason == MB_WAIT_TOO_LARGE ||
           job->wait_reason == MB_WAIT_CONSTRAINT_UNSATISFIABLE ||
           job->wait_reason == MB_WAIT_EXCEEDS_QUOTA;
}

/* Queues startable tasks of a job in the dispatch, up to QUEUED_PER_JOB, and
   sets why the others wait. */
static void
queue_job_tasks(mb_shard_t *shard, mb_shard_job_t *job)
{
    const mb_constraint_t *constraint;
    uint32_t index;
    mb_team_id_t team = find_job_team(shard, job);
    if (is_unschedulable(job)) {
        return;
    }
    if (!mb_shard_job_peek_startable(shard, job, &index)) {
        job->wait_reason = mb_shard_job_in_backoff(shard, job)
                               ? MB_WAIT_BACKOFF
                               : MB_WAIT_NONE;
        return;
    }
    job->wait_reason = MB_WAIT_NONE;
    if (team == MB_TEAM_NONE) {
        job->wait_reason = MB_WAIT_TEAM_UNKNOWN;
        return;
    }
    if (!find_job_constraint(shard, job, &constraint)) {
        job->wait_reason = MB_WAIT_CONSTRAINT_UNKNOWN;
        return;
    }
    mb_dispatch_task_t task = {
        .place = {*get_task_size(job), mb_shard_job_class(job), constraint,
                  job->key},
        .team = team,
        .expected_ms = mb_sizing_estimate_run_ms(&shard->sizing, job->key,
                                                 get_run_time_ms(job))};
    while (job->queued->len < QUEUED_PER_JOB &&
           mb_shard_job_peek_startable(shard, job, &index)) {
        task.id = make_dispatch_id(job, index);
        if (mb_task_find_or_add(&shard->tasks,
                                (mb_task_id_t){job->key, index}) == NULL ||
            !mb_dispatch_add(shard->dispatch, &task,
                             mb_clock_us(&shard->clock))) {
            job->wait_reason = MB_WAIT_NEXT_PASS;
            return;
        }
        mb_shard_job_pop_startable(shard, job);
        (void)g_array_append_val(job->queued, index);
    }
    if (mb_shard_job_in_backoff(shard, job)) {
        job->wait_reason = MB_WAIT_BACKOFF;
    }
}

/* Queues tasks of all ready jobs. A job stays ready if the queue was full or
   the job is in back-off. Returns the time at which the first back-off ends.
 */
static uint64_t
queue_ready_jobs(mb_shard_t *shard)
{
    uint64_t first_us = UINT64_MAX;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, shard->ready_jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mb_shard_job_t *job = value;
        queue_job_tasks(shard, value);
        if (job->wait_reason == MB_WAIT_BACKOFF) {
            first_us = MIN(first_us, job->backoff_end_us);
        }
        else if (job->wait_reason != MB_WAIT_NEXT_PASS) {
            g_hash_table_iter_remove(&iter);
        }
    }
    return first_us;
}

/* Runs one scheduling pass: fills `shard->record` with the starts that the
   dispatch chose, at most MB_SHARD_BATCH_MAX, and sets the time of the next
   pass. */
void
mb_shard_policy_schedule(mb_shard_t *shard)
{
    uint64_t now = mb_clock_us(&shard->clock);
    uint64_t backoff_us;
    uint32_t started;
    shard->schedule_time_us = now;
    shard->record.type = MB_SHARD_STARTS;
    shard->record.count = 0;
    do {
        backoff_us = queue_ready_jobs(shard);
        mb_dispatch_set_start_limit(shard->dispatch,
                                    MB_SHARD_BATCH_MAX - shard->record.count);
        started = mb_dispatch_run(shard->dispatch, now);
    } while (started > 0 && shard->record.count < MB_SHARD_BATCH_MAX);
    shard->schedule_needed = shard->record.count == MB_SHARD_BATCH_MAX;
    shard->schedule_urgent = shard->schedule_needed;
    shard->schedule_retry_us = UINT64_MAX;
    if (mb_dispatch_waiting_count(shard->dispatch, MB_CLASS_URGENT) > 0) {
        shard->schedule_retry_us = now + RETRY_URGENT_US;
    }
    else if (mb_dispatch_waiting_count(shard->dispatch, MB_CLASS_NORMAL) > 0 ||
             mb_dispatch_waiting_count(shard->dispatch, MB_CLASS_BATCH) > 0) {
        shard->schedule_retry_us = now + RETRY_US;
    }
    shard->schedule_retry_us = MIN(shard->schedule_retry_us, backoff_us);
}

/* Releases the resources that a task which left its worker was counted with.
   If the task was the probe of a suspended worker and ended without an
   outcome, the probe may be repeated. */
void
mb_shard_policy_release_task(mb_shard_t *shard, mb_task_id_t id,
                             mb_task_t *task)
{
    mb_shard_worker_t *worker = mb_shard_worker_find(shard, task->worker);
    mb_placement_task_t placement_task = {
        task->size, (mb_class_t)task->task_class, NULL, id.job};
    if ((task->marks & MB_MARK_IN_DISPATCH) != 0) {
        mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
        MB_INVARIANT(job != NULL, "counted_job_is_known");
        uint64_t dispatch_id = make_dispatch_id(job, id.index);
        mb_health_abandoned(
            &worker->health,
            mb_dispatch_started_us(shard->dispatch, dispatch_id));
        (void)mb_dispatch_task_ended(shard->dispatch, dispatch_id);
    }
    else if ((task->marks & MB_MARK_IN_PLACEMENT) != 0) {
        mb_placement_release(shard->placement, worker->placement_id,
                             &placement_task);
    }
    worker->unreserved_count -=
        (task->marks & MB_MARK_IN_PLACEMENT) != 0 ? 0 : 1;
    mb_shard_worker_update_eligibility(shard, worker);
}

/* Returns the id of a held task in the dispatch; 0, which is not the id of any
   task, if the job is not declared. */
static uint64_t
find_dispatch_id(const mb_shard_t *shard, mb_task_id_t id)
{
    const mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
    return job == NULL ? 0 : make_dispatch_id(job, id.index);
}

/* Returns whether batch tasks keep their minimum share if this task is
   evicted. */
bool
mb_shard_policy_may_evict(const mb_shard_t *shard, mb_task_id_t id)
{
    return mb_dispatch_may_evict(shard->dispatch, find_dispatch_id(shard, id));
}

/* Records that a task is being evicted, so that the dispatch no longer counts
   it towards the share of batch. */
void
mb_shard_policy_note_eviction(mb_shard_t *shard, mb_task_id_t id)
{
    mb_dispatch_mark_evicting(shard->dispatch, find_dispatch_id(shard, id));
}

/* Returns the time at which this owner started a held task, or became the
   owner if the task was started before. */
uint64_t
mb_shard_policy_start_time_us(const mb_shard_t *shard, mb_task_id_t id)
{
    return mb_dispatch_started_us(shard->dispatch,
                                  find_dispatch_id(shard, id));
}

/* Updates the back-off of a job after an exit. Next attempts are delayed if
   the task ended soon after its start and has to run again: a service that
   cannot start, or a task that fails at once, would otherwise cost the log
   several appends per second. The delay doubles with the first short run after
   it has passed, so several tasks that fail together double it once. A run
   that was long enough or is not repeated ends the back-off. */
static void
update_backoff(mb_shard_job_t *job, uint64_t start_us, uint64_t now_us,
               uint32_t exit_code)
{
    bool runs_again =
        exit_code != 0 || job->resource.kind == MB_RESOURCE_SERVICE;
    if (!runs_again || now_us - start_us >= SHORT_RUN_US) {
        job->backoff_ms = 0;
        job->backoff_end_us = 0;
        return;
    }
    if (now_us < job->backoff_end_us) {
        return;
    }
    job->backoff_ms = job->backoff_ms == 0
                          ? BACKOFF_FIRST_MS
                          : MIN(2 * job->backoff_ms, BACKOFF_MAX_MS);
    job->backoff_end_us = now_us + (uint64_t)job->backoff_ms * MB_US_PER_MS;
}

/* Updates the back-off, the health score of the worker and the estimated run
   time after a task has exited by itself. */
void
mb_shard_policy_handle_exit(mb_shard_t *shard, mb_shard_worker_t *worker,
                            mb_task_id_t id, uint32_t exit_code)
{
    mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
    uint64_t now = mb_clock_us(&shard->clock);
    uint64_t start_us = mb_shard_policy_start_time_us(shard, id);
    if (job != NULL) {
        update_backoff(job, start_us, now, exit_code);
    }
    if (exit_code != 0) {
        mb_shard_attribute_failure(shard, worker, id);
    }
    else {
        mb_shard_attribute_success(shard, worker, id);
        if (job != NULL && start_us != 0) {
            mb_sizing_observe_run_time(
                &shard->sizing, id.job, get_run_time_ms(job),
                (uint32_t)((now - start_us) / MB_US_PER_MS));
        }
    }
    mb_shard_worker_update_eligibility(shard, worker);
}

/* Returns why the tasks of a job wait, as far as the policy decides. A trial
   reservation shows whether the quota or the capacity is exhausted. */
mb_wait_reason_t
mb_shard_policy_wait_reason(const mb_shard_t *shard, const mb_shard_job_t *job)
{
    mb_team_id_t team = find_job_team(shard, job);
    const mb_size_t *size = get_task_size(job);
    if (job->wait_reason != MB_WAIT_NONE) {
        return job->wait_reason;
    }
    if (job->queued->len == 0 || team == MB_TEAM_NONE) {
        return shard->schedule_needed ? MB_WAIT_NEXT_PASS : MB_WAIT_NONE;
    }
    if (!mb_quota_reserve(shard->quota, team, size)) {
        return MB_WAIT_QUOTA;
    }
    mb_quota_release(shard->quota, team, size);
    return MB_WAIT_CAPACITY;
}
