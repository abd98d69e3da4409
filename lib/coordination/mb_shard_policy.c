/* The scheduling policy of a shard's owner: feeds the dispatch with waiting
   tasks, turns its decisions into starts and evictions, and learns from
   exits. */
#include "mb_assert.h"
#include "mb_shard_internal.h"

/* Tasks of one job that wait in the dispatch at a time. Bounds the memory of
   a large job; started ones are replaced within the same batch. */
#define QUEUED_PER_JOB 64
/* Time between two looks at tasks that found no room: preemption and holds
   follow from the time that a task has waited. */
#define RETRY_URGENT_US (250 * MB_US_PER_MS)
#define RETRY_US MB_US_PER_S
/* A task that has to run again and ran for less than this backs off. */
#define SHORT_RUN_US (10 * MB_US_PER_S)
/* First and longest delay of a job that backs off. */
#define BACKOFF_FIRST_MS 250u
#define BACKOFF_MAX_MS 8000u
/* Low bits of an id of the dispatch: the index of the task. */
#define INDEX_BITS 20

_Static_assert((MB_JOB_TASKS_MAX - 1) >> INDEX_BITS == 0, "index fits an id");

/* Returns the id under which the dispatch knows a task. */
static uint64_t
dispatch_id(const mb_shard_job_t *job, uint32_t index)
{
    return (uint64_t)job->dispatch_number << INDEX_BITS | index;
}

/* Returns the index of the task of an id. */
static uint32_t
index_of(uint64_t id)
{
    return (uint32_t)(id & ((1u << INDEX_BITS) - 1));
}

/* Returns the job of an id. */
static mb_shard_job_t *
job_of(const mb_shard_t *shard, uint64_t id)
{
    mb_shard_job_t *job = g_hash_table_lookup(
        shard->jobs_by_number, GUINT_TO_POINTER((guint)(id >> INDEX_BITS)));
    MB_INVARIANT(job != NULL, "dispatched_job_is_known");
    return job;
}

/* Returns the size of one task as declared now. */
static const mb_size_t *
job_size(const mb_shard_job_t *job)
{
    return job->resource.kind == MB_RESOURCE_SERVICE
               ? &job->resource.spec.service.size
               : &job->resource.spec.job.size;
}

/* Returns the team of a job, or MB_TEAM_NONE. */
static mb_team_id_t
job_team(const mb_shard_t *shard, const mb_shard_job_t *job)
{
    const mb_buf_t *team = job->resource.kind == MB_RESOURCE_SERVICE
                               ? &job->resource.spec.service.team
                               : &job->resource.spec.job.team;
    return mb_quota_find(shard->quota, mb_buf_view(team));
}

/* Returns the declared run time; services have none. */
static uint32_t
job_run_ms(const mb_shard_job_t *job)
{
    return job->resource.kind == MB_RESOURCE_SERVICE
               ? 0
               : job->resource.spec.job.run_time_ms;
}

/* Finds the constraint of a job; false when it names one that is missing. */
static bool
job_constraint(const mb_shard_t *shard, const mb_shard_job_t *job,
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

/* Takes an index off the list of those that wait in the dispatch. */
static void
forget_queued(mb_shard_job_t *job, uint32_t index)
{
    for (guint i = 0; i < job->queued->len; i++) {
        if (g_array_index(job->queued, uint32_t, i) == index) {
            (void)g_array_remove_index_fast(job->queued, i);
            return;
        }
    }
    MB_INVARIANT(false, "queued_task_is_listed");
}

/* Starts a task that the dispatch chose: adds it to the batch. */
static void
on_start(void *context, uint64_t id, mb_worker_id_t place)
{
    mb_shard_t *shard = context;
    mb_shard_job_t *job = job_of(shard, id);
    mb_task_id_t task_id = {job->key, index_of(id)};
    mb_task_t *task = mb_task_find(&shard->tasks, task_id);
    mb_shard_record_t *record = &shard->record;
    mb_shard_worker_t *worker = g_hash_table_lookup(
        shard->workers_by_placement_id, GUINT_TO_POINTER(place));
    MB_INVARIANT(worker != NULL, "placed_on_known_worker");
    forget_queued(job, task_id.index);
    task->marks =
        MB_MARK_IN_FLIGHT | MB_MARK_IN_DISPATCH | MB_MARK_IN_PLACEMENT;
    record->body.starts[record->count++] =
        (mb_start_t){task_id, worker->key, task->attempt + 1, *job_size(job),
                     mb_shard_job_class(job)};
    mb_health_started(&worker->health, shard->schedule_time_us);
    mb_shard_worker_update_eligibility(shard, worker);
    mb_shard_policy_mark_ready(shard, job);
}

/* Evicts a task that the dispatch chose. One whose start is still in flight
   is marked and leaves as soon as its start is read back. */
static void
on_evict(void *context, uint64_t id, mb_worker_id_t place)
{
    mb_shard_t *shard = context;
    mb_task_id_t task_id = {job_of(shard, id)->key, index_of(id)};
    (void)place;
    if (!mb_shard_evict(shard, task_id)) {
        mb_task_find(&shard->tasks, task_id)->marks |= MB_MARK_EVICT;
    }
}

/* Notes why no task of a job can run; it is tried again when the job or what
   is available changes. */
static void
on_unschedulable(void *context, uint64_t id,
                 mb_dispatch_unschedulable_t reason)
{
    static const mb_wait_reason_t reasons[] = {
        [MB_DISPATCH_UNSCHEDULABLE_SIZE] = MB_WAIT_TOO_LARGE,
        [MB_DISPATCH_UNSCHEDULABLE_CONSTRAINT] =
            MB_WAIT_CONSTRAINT_UNSATISFIABLE,
        [MB_DISPATCH_UNSCHEDULABLE_QUOTA] = MB_WAIT_EXCEEDS_QUOTA};
    mb_shard_job_t *job = job_of(context, id);
    uint32_t index = index_of(id);
    forget_queued(job, index);
    (void)g_array_append_val(job->requeued, index);
    job->wait_reason = reasons[reason];
}

/* Counts a task on the worker that holds it. One whose team is not known is
   counted in the placement only. One that does not fit its worker keeps new
   tasks off it. */
static void
charge(mb_shard_t *shard, mb_dispatch_t *before, const mb_start_t *start)
{
    mb_shard_worker_t *worker =
        mb_shard_worker_get_or_add(shard, start->worker);
    mb_shard_job_t *job = mb_shard_job_find(shard, start->task.job);
    mb_task_t *task = mb_task_find(&shard->tasks, start->task);
    mb_placement_task_t place = {start->size, start->task_class, NULL,
                                 start->task.job};
    uint64_t since = mb_clock_us(&shard->clock);
    task->marks &= (uint8_t) ~(MB_MARK_IN_DISPATCH | MB_MARK_IN_PLACEMENT);
    if (job != NULL && job_team(shard, job) != MB_TEAM_NONE) {
        uint64_t id = dispatch_id(job, start->task.index);
        uint64_t known =
            before == NULL ? 0 : mb_dispatch_started_us(before, id);
        mb_dispatch_task_t held = {id, place, job_team(shard, job), 0};
        bool placed =
            mb_dispatch_adopt(shard->dispatch, &held, worker->placement_id,
                              known == 0 ? since : known);
        if ((task->marks & MB_MARK_EVICT) != 0) {
            mb_dispatch_mark_evicting(shard->dispatch, id);
        }
        task->marks |=
            MB_MARK_IN_DISPATCH | (placed ? MB_MARK_IN_PLACEMENT : 0);
    }
    else if (worker->placement_id != MB_WORKER_NONE &&
             mb_placement_reserve(shard->placement, worker->placement_id,
                                  &place)) {
        task->marks |= MB_MARK_IN_PLACEMENT;
    }
    worker->unreserved_count +=
        (task->marks & MB_MARK_IN_PLACEMENT) != 0 ? 0 : 1;
}

/* Counts the tasks that a worker holds. */
static void
charge_held(mb_shard_t *shard, mb_dispatch_t *before,
            const mb_shard_worker_t *worker)
{
    for (guint i = 0; i < worker->held_tasks->len; i++) {
        mb_task_id_t id = g_array_index(worker->held_tasks, mb_task_id_t, i);
        const mb_task_t *task = mb_task_find(&shard->tasks, id);
        mb_start_t start = {id, worker->key, task->attempt, task->size,
                            (mb_class_t)task->task_class};
        charge(shard, before, &start);
    }
}

/* Declares a team with the part of its quota that this shard may grant. */
static void
declare_team(mb_shard_t *shard, const mb_resource_t *team)
{
    mb_team_t part = team->spec.team;
    if (shard->config.shard_count > 1) {
        part.quota = mb_quota_slice(&part.quota, shard->capacities,
                                    shard->config.shard_count,
                                    shard->config.shard_index);
    }
    (void)mb_quota_set_team(shard->quota, mb_buf_view(&team->name), &part);
}

/* Declares the teams and workers to a new placement and quota; returns the
   capacity of all workers. */
static mb_size_t
declare_all(mb_shard_t *shard)
{
    GHashTableIter iter;
    gpointer value;
    mb_size_t capacity = {0};
    g_hash_table_iter_init(&iter, shard->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        declare_team(shard, value);
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

/* Counts what is held or in flight, and queues what waits. */
static void
count_all(mb_shard_t *shard, mb_dispatch_t *before)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, shard->workers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        charge_held(shard, before, value);
    }
    if (shard->append_in_flight && shard->record.type == MB_SHARD_STARTS) {
        for (uint32_t i = 0; i < shard->record.count; i++) {
            charge(shard, before, &shard->record.body.starts[i]);
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

/* Makes placement, quota and dispatch anew from the declared resources and
   the tasks, after a takeover and after a change of a worker, team, constraint
   or the policy. All of them hold handles of one another, and such changes
   are rare beside starts. */
void
mb_shard_policy_rebuild(mb_shard_t *shard)
{
    mb_dispatch_callbacks_t events = {on_start, on_evict, on_unschedulable,
                                      shard};
    mb_dispatch_t *before = shard->dispatch;
    mb_placement_free(shard->placement);
    mb_quota_free(shard->quota);
    g_hash_table_remove_all(shard->workers_by_placement_id);
    shard->rebuild_needed = false;
    shard->placement = mb_placement_new(&shard->rng);
    shard->quota = mb_quota_new();
    shard->dispatch = mb_dispatch_new(shard->placement, shard->quota, &events);
    mb_placement_set_objective(shard->placement, shard->policy.objective);
    mb_size_t capacity = declare_all(shard);
    mb_quota_set_capacity(shard->quota, &capacity);
    mb_dispatch_set_policy(shard->dispatch, &shard->policy, &capacity);
    count_all(shard, before);
    mb_dispatch_free(before);
    shard->schedule_needed = true;
    shard->schedule_urgent = true;
}

/* Frees the view of an owner. */
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

/* Notes that a job may have tasks to queue. */
void
mb_shard_policy_mark_ready(mb_shard_t *shard, mb_shard_job_t *job)
{
    if (shard->active) {
        (void)g_hash_table_insert(shard->ready_jobs,
                                  GUINT_TO_POINTER(job->dispatch_number), job);
    }
}

/* Takes the waiting tasks of a job out of the dispatch. */
void
mb_shard_policy_unqueue(mb_shard_t *shard, mb_shard_job_t *job)
{
    for (guint i = 0; shard->dispatch != NULL && i < job->queued->len; i++) {
        (void)mb_dispatch_cancel(
            shard->dispatch,
            dispatch_id(job, g_array_index(job->queued, uint32_t, i)));
    }
    g_array_set_size(job->queued, 0);
}

/* Tells whether a job can't run before something is declared anew. */
static bool
is_unschedulable(const mb_shard_job_t *job)
{
    return job->wait_reason == MB_WAIT_TOO_LARGE ||
           job->wait_reason == MB_WAIT_CONSTRAINT_UNSATISFIABLE ||
           job->wait_reason == MB_WAIT_EXCEEDS_QUOTA;
}

/* Queues tasks of a job up to the bound. */
static void
feed_job(mb_shard_t *shard, mb_shard_job_t *job)
{
    const mb_constraint_t *constraint;
    uint32_t index;
    mb_team_id_t team = job_team(shard, job);
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
    if (!job_constraint(shard, job, &constraint)) {
        job->wait_reason = MB_WAIT_CONSTRAINT_UNKNOWN;
        return;
    }
    mb_dispatch_task_t task = {
        .place = {*job_size(job), mb_shard_job_class(job), constraint,
                  job->key},
        .team = team,
        .expected_ms = mb_sizing_estimate_run_ms(&shard->sizing, job->key,
                                                 job_run_ms(job))};
    while (job->queued->len < QUEUED_PER_JOB &&
           mb_shard_job_peek_startable(shard, job, &index)) {
        task.id = dispatch_id(job, index);
        if (mb_task_reach(&shard->tasks, (mb_task_id_t){job->key, index}) ==
                NULL ||
            !mb_dispatch_add(shard->dispatch, &task,
                             mb_clock_us(&shard->clock))) {
            job->wait_reason = MB_WAIT_NEXT_BATCH;
            return;
        }
        mb_shard_job_pop_startable(shard, job);
        (void)g_array_append_val(job->queued, index);
    }
    if (mb_shard_job_in_backoff(shard, job)) {
        job->wait_reason = MB_WAIT_BACKOFF;
    }
}

/* Queues tasks of the jobs that may have some; a job that found the queue
   full or backs off is tried again. Returns when the first back-off ends. */
static uint64_t
feed(mb_shard_t *shard)
{
    uint64_t first_us = UINT64_MAX;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, shard->ready_jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mb_shard_job_t *job = value;
        feed_job(shard, value);
        if (job->wait_reason == MB_WAIT_BACKOFF) {
            first_us = MIN(first_us, job->backoff_end_us);
        }
        else if (job->wait_reason != MB_WAIT_NEXT_BATCH) {
            g_hash_table_iter_remove(&iter);
        }
    }
    return first_us;
}

/* Fills the scratch record with the starts that are due. */
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
        backoff_us = feed(shard);
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

/* Gives back what a task that left its worker was counted with. */
void
mb_shard_policy_release_task(mb_shard_t *shard, mb_task_id_t id,
                             mb_task_t *task)
{
    mb_shard_worker_t *worker = mb_shard_worker_find(shard, task->worker);
    mb_placement_task_t held = {task->size, (mb_class_t)task->task_class, NULL,
                                id.job};
    if ((task->marks & MB_MARK_IN_DISPATCH) != 0) {
        mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
        MB_INVARIANT(job != NULL, "counted_job_is_known");
        uint64_t known = dispatch_id(job, id.index);
        mb_health_abandoned(&worker->health,
                            mb_dispatch_started_us(shard->dispatch, known));
        (void)mb_dispatch_task_ended(shard->dispatch, known);
    }
    else if ((task->marks & MB_MARK_IN_PLACEMENT) != 0) {
        mb_placement_release(shard->placement, worker->placement_id, &held);
    }
    worker->unreserved_count -=
        (task->marks & MB_MARK_IN_PLACEMENT) != 0 ? 0 : 1;
    mb_shard_worker_update_eligibility(shard, worker);
}

/* Returns the id of a held task for the dispatch; 0, which is none, when the
   job is not known. */
static uint64_t
held_id(const mb_shard_t *shard, mb_task_id_t id)
{
    const mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
    return job == NULL ? 0 : dispatch_id(job, id.index);
}

/* Tells whether batch keeps its minimum share when this task is evicted. */
bool
mb_shard_policy_may_evict(const mb_shard_t *shard, mb_task_id_t id)
{
    return mb_dispatch_may_evict(shard->dispatch, held_id(shard, id));
}

/* Notes that a task is being evicted, so that batch is not counted as having
   it. */
void
mb_shard_policy_note_eviction(mb_shard_t *shard, mb_task_id_t id)
{
    mb_dispatch_mark_evicting(shard->dispatch, held_id(shard, id));
}

/* Returns when a held task was started, or adopted by this owner. */
uint64_t
mb_shard_policy_start_time_us(const mb_shard_t *shard, mb_task_id_t id)
{
    return mb_dispatch_started_us(shard->dispatch, held_id(shard, id));
}

/* Delays the next runs of a job whose task ended soon after its start and has
   to run again: a service that can't start, or a task that fails at once,
   would otherwise cost the log several appends a second. The delay grows once
   each time it has passed, and ends with a run that went well. */
static void
update_backoff(mb_shard_job_t *job, uint64_t started, uint64_t now,
               uint32_t exit_code)
{
    bool again = exit_code != 0 || job->resource.kind == MB_RESOURCE_SERVICE;
    if (!again || now - started >= SHORT_RUN_US) {
        job->backoff_ms = 0;
        job->backoff_end_us = 0;
        return;
    }
    if (now < job->backoff_end_us) {
        return;
    }
    job->backoff_ms = job->backoff_ms == 0
                          ? BACKOFF_FIRST_MS
                          : MIN(2 * job->backoff_ms, BACKOFF_MAX_MS);
    job->backoff_end_us = now + (uint64_t)job->backoff_ms * MB_US_PER_MS;
}

/* Learns from the exit of a task on a worker. */
void
mb_shard_policy_handle_exit(mb_shard_t *shard, mb_shard_worker_t *worker,
                            mb_task_id_t id, uint32_t exit_code)
{
    mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
    uint64_t now = mb_clock_us(&shard->clock);
    uint64_t started = mb_shard_policy_start_time_us(shard, id);
    if (job != NULL) {
        update_backoff(job, started, now, exit_code);
    }
    if (exit_code != 0) {
        mb_health_failed(&worker->health, started, now);
    }
    else {
        mb_health_succeeded(&worker->health, started);
        if (job != NULL && started != 0) {
            mb_sizing_observe_run_time(
                &shard->sizing, id.job, job_run_ms(job),
                (uint32_t)((now - started) / MB_US_PER_MS));
        }
    }
    mb_shard_worker_update_eligibility(shard, worker);
}

/* Returns why the tasks of a job wait. */
mb_wait_reason_t
mb_shard_policy_wait_reason(const mb_shard_t *shard, const mb_shard_job_t *job)
{
    mb_team_id_t team = job_team(shard, job);
    const mb_size_t *size = job_size(job);
    if (job->wait_reason != MB_WAIT_NONE) {
        return job->wait_reason;
    }
    if (job->queued->len == 0 || team == MB_TEAM_NONE) {
        return shard->schedule_needed ? MB_WAIT_NEXT_BATCH : MB_WAIT_NONE;
    }
    if (!mb_quota_reserve(shard->quota, team, size)) {
        return MB_WAIT_QUOTA;
    }
    mb_quota_release(shard->quota, team, size);
    return MB_WAIT_CAPACITY;
}
