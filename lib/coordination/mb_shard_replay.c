/* The replicated state of a shard: applies records in the order of the log,
   and saves and loads snapshots. */
#include "mb_assert.h"
#include "mb_shard_internal.h"

/* Adds a task to the list of its worker after the owner has read back its
   start. `marks` are those that the pending task had. A task that is no longer
   declared is marked to be cancelled. */
static void
add_held_task(mb_shard_t *shard, const mb_start_t *start, uint8_t marks)
{
    mb_task_t *task = mb_task_find(&shard->tasks, start->task);
    mb_shard_worker_t *worker =
        mb_shard_worker_get_or_add(shard, start->worker);
    mb_shard_job_t *job = mb_shard_job_find(shard, start->task.job);
    /* Placement and quota were reserved when the start was chosen. */
    task->marks =
        marks & (MB_MARK_IN_DISPATCH | MB_MARK_IN_PLACEMENT | MB_MARK_EVICT);
    if (job == NULL || !mb_shard_job_needs_task(job, start->task.index)) {
        task->marks |= MB_MARK_CANCEL;
    }
    (void)g_array_append_val(worker->held_tasks, start->task);
    worker->next_sync_us = 0;
    mb_shard_worker_reschedule(worker);
}

/* Removes a task from its worker after the owner has read back its finish or
   release: frees its resources, and requeues it unless it has ended. */
static void
remove_held_task(mb_shard_t *shard, mb_task_id_t id, mb_task_t *task)
{
    mb_shard_worker_t *worker =
        mb_shard_worker_get_or_add(shard, task->worker);
    mb_shard_policy_release_task(shard, id, task);
    mb_shard_worker_remove_task(worker, id);
    /* Sync soon, so that the finish is acknowledged to the worker. */
    worker->next_sync_us = 0;
    mb_shard_worker_reschedule(worker);
    task->marks = 0;
    mb_shard_job_requeue(shard, id, task);
    shard->schedule_needed = true;
}

/* Applies a record of starts. */
static void
apply_starts(mb_shard_t *shard, uint64_t offset,
             const mb_shard_record_t *record)
{
    for (uint32_t i = 0; i < record->count; i++) {
        const mb_start_t *start = &record->body.starts[i];
        mb_task_t task = {.worker = start->worker,
                          .size = start->size,
                          .attempt = start->attempt,
                          .task_class = (uint8_t)start->task_class};
        const mb_task_t *previous = mb_task_find(&shard->tasks, start->task);
        uint8_t marks = previous == NULL ? 0 : previous->marks;
        bool started =
            mb_task_start(&shard->tasks, start->task, offset, &task);
        if (shard->active) {
#ifdef MB_MUTANT_SHARD_START_BEFORE_READ_BACK
            if (!started) {
                continue;
            }
#endif
            /* Only this owner writes under this token and it starts only
               pending tasks, so its own starts always apply. */
            MB_INVARIANT(started, "own_start_applies");
            add_held_task(shard, start, marks);
        }
    }
}

/* Applies a record of finishes, ignoring those of attempts that have ended. */
static void
apply_finishes(mb_shard_t *shard, uint64_t offset,
               const mb_shard_record_t *record)
{
    for (uint32_t i = 0; i < record->count; i++) {
        const mb_finish_t *finish = &record->body.finishes[i];
        if (mb_task_end(&shard->tasks, finish->task, offset, finish->attempt,
                        finish->result) &&
            shard->active) {
            remove_held_task(shard, finish->task,
                             mb_task_find(&shard->tasks, finish->task));
        }
    }
}

/* Applies a record of releases, likewise. */
static void
apply_releases(mb_shard_t *shard, uint64_t offset,
               const mb_shard_record_t *record)
{
    for (uint32_t i = 0; i < record->count; i++) {
        const mb_release_t *release = &record->body.releases[i];
        if (mb_task_release(&shard->tasks, release->task, offset,
                            release->attempt, release->reason,
                            release->checkpoint) &&
            shard->active) {
            remove_held_task(shard, release->task,
                             mb_task_find(&shard->tasks, release->task));
        }
    }
}

/* Applies closes of jobs. A job with assigned or running tasks is not
   closed. */
static void
apply_closes(mb_shard_t *shard, const mb_shard_record_t *record)
{
    for (uint32_t i = 0; i < record->count; i++) {
        const mb_close_t *entry = &record->body.closes[i];
        mb_job_tasks_t *tasks =
            mb_task_job_find_or_add(&shard->tasks, entry->job);
        mb_shard_job_t *job = mb_shard_job_find(shard, entry->job);
        bool has_held_tasks = tasks->counts[MB_TASK_ASSIGNED] > 0 ||
                              tasks->counts[MB_TASK_RUNNING] > 0;
        if (job != NULL) {
            job->close_pending = false;
        }
        if (has_held_tasks) {
            continue;
        }
        if (entry->job_deleted) {
            mb_task_job_remove(&shard->tasks, entry->job);
        }
        else {
            mb_task_job_close(tasks);
        }
        if (job != NULL && entry->job_deleted && !job->declared) {
            mb_shard_job_remove(shard, job);
        }
        else if (job != NULL) {
            mb_shard_job_rebuild(shard, job);
        }
    }
}

/* Applies a claim or renewal. Afterwards this process acts as the owner
   exactly if the claim in force is its own. */
static void
apply_claim(mb_shard_t *shard, uint64_t offset,
            const mb_shard_record_t *record)
{
    bool renewal = record->type == MB_SHARD_RENEW;
    if (!mb_lease_apply(&shard->lease, offset, renewal, &record->body.claim)) {
        return;
    }
    if (shard->active &&
        (!shard->lease.held || shard->lease.token != shard->active_token)) {
        mb_shard_deactivate(shard);
    }
    if (!shard->active && shard->lease.held) {
        mb_shard_activate(shard);
    }
}

/* Applies one record in the order of the log. A record whose fencing token is
   not that of the claim in force was written by a former owner and is
   ignored. */
void
mb_shard_apply(mb_shard_t *shard, uint64_t offset,
               const mb_shard_record_t *record, bool own)
{
    if (own) {
        mb_shard_append_completed(shard);
    }
    if (record->type <= MB_SHARD_RENEW) {
        apply_claim(shard, offset, record);
        return;
    }
#ifndef MB_MUTANT_SHARD_NO_TOKEN_CHECK
    if (!mb_lease_token_valid(&shard->lease, record->token)) {
        return;
    }
#endif
    switch (record->type) {
    case MB_SHARD_STARTS:
        apply_starts(shard, offset, record);
        break;
    case MB_SHARD_FINISHES:
        apply_finishes(shard, offset, record);
        break;
    case MB_SHARD_RELEASE:
        apply_releases(shard, offset, record);
        break;
    case MB_SHARD_CLOSE:
        apply_closes(shard, record);
        break;
    case MB_SHARD_CLAIM:
    case MB_SHARD_RENEW:
    case MB_SHARD_RECORD_TYPE_COUNT:
        break;
    }
}

/* Called when the record in flight was read back from the log, or is covered
   by a snapshot that was loaded. */
void
mb_shard_append_completed(mb_shard_t *shard)
{
    shard->append_in_flight = false;
    shard->lease.in_flight = false;
}

/* Called when nobody can tell whether the record in flight is in the log or
   will still appear there. Ends the ownership. A new claim starts from what
   was replayed and makes a late copy of the record harmless, as the copy then
   carries an outdated fencing token. */
void
mb_shard_append_outcome_unknown(mb_shard_t *shard)
{
    if (shard->active) {
        mb_shard_deactivate(shard);
    }
    shard->lease.held = false;
    mb_shard_append_completed(shard);
}

/* Clears the replicated state before a snapshot is loaded. */
void
mb_shard_reset(mb_shard_t *shard)
{
    if (shard->active) {
        mb_shard_deactivate(shard);
    }
    mb_task_table_clear(&shard->tasks);
    mb_lease_reset(&shard->lease);
}

/* Loads the task counts of a closed job. */
static void
load_job(mb_shard_t *shard, const mb_shard_item_t *item)
{
    mb_job_tasks_t *tasks =
        mb_task_job_find_or_add(&shard->tasks, item->body.job.job);
    tasks->counts[MB_TASK_FINISHED] = item->body.job.finished;
    tasks->counts[MB_TASK_FAILED] = item->body.job.failed;
    tasks->counts[MB_TASK_CANCELLED] = item->body.job.cancelled;
    mb_task_job_close(tasks);
}

/* Loads one task. Returns false if its index or state is out of range. */
static bool
load_task(mb_shard_t *shard, const mb_shard_item_t *item)
{
    const mb_task_t *source = &item->body.task.task;
    mb_task_t *task = mb_task_find_or_add(&shard->tasks, item->body.task.id);
    if (task == NULL || source->state >= MB_TASK_STATE_COUNT) {
        return false;
    }
    mb_task_set_state(mb_task_job_find(&shard->tasks, item->body.task.id.job),
                      task, source->state);
    task->worker = source->worker;
    task->size = source->size;
    task->attempt = source->attempt;
    task->failures = source->failures;
    task->task_class = source->task_class;
    mb_task_set_checkpoint(task, mb_task_checkpoint(source));
    return true;
}

/* Loads one item of a snapshot. Returns false if it is invalid. */
bool
mb_shard_load(mb_shard_t *shard, const mb_shard_item_t *item)
{
    switch (item->type) {
    case MB_SHARD_ITEM_LEASE:
        mb_lease_load(&shard->lease, &item->body.lease.claim,
                      item->body.lease.token);
        return true;
    case MB_SHARD_ITEM_JOB:
        load_job(shard, item);
        return true;
    case MB_SHARD_ITEM_TASK:
        return load_task(shard, item);
    case MB_SHARD_ITEM_TYPE_COUNT:
        break;
    }
    return false;
}

/* Calls `visit` for each started task of a job, or once with the counts if the
   job is closed. */
static void
save_job(const mb_job_tasks_t *tasks,
         void (*visit)(void *context, const mb_shard_item_t *item),
         void *context)
{
    mb_shard_item_t item = {.type = MB_SHARD_ITEM_JOB};
    if (tasks->closed) {
        item.body.job.job = tasks->job;
        item.body.job.finished = tasks->counts[MB_TASK_FINISHED];
        item.body.job.failed = tasks->counts[MB_TASK_FAILED];
        item.body.job.cancelled = tasks->counts[MB_TASK_CANCELLED];
        visit(context, &item);
        return;
    }
    item.type = MB_SHARD_ITEM_TASK;
    for (uint32_t i = 0; i < tasks->len; i++) {
        if (tasks->tasks[i].attempt == 0) {
            continue;
        }
        item.body.task.id = (mb_task_id_t){tasks->job, i};
        item.body.task.task = tasks->tasks[i];
        item.body.task.task.marks = 0;
        if (tasks->tasks[i].state == MB_TASK_RUNNING) {
            /* That a task runs is known to the owner only, from the worker,
               and is not part of the replicated state. */
            item.body.task.task.state = MB_TASK_ASSIGNED;
        }
        visit(context, &item);
    }
}

/* Calls `visit` for each item of a snapshot of the replicated state. */
void
mb_shard_save(const mb_shard_t *shard,
              void (*visit)(void *context, const mb_shard_item_t *item),
              void *context)
{
    GHashTableIter iter;
    gpointer value;
    mb_shard_item_t item = {.type = MB_SHARD_ITEM_LEASE};
    item.body.lease.claim = (mb_claim_t){
        shard->lease.owner, shard->lease.last_offset, shard->lease.lease_ms};
    item.body.lease.token = shard->lease.token;
    visit(context, &item);
    g_hash_table_iter_init(&iter, shard->tasks.jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        save_job(value, visit, context);
    }
}
