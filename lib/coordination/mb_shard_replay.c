/* The replicated state of a shard: records in the order of the log, and
   snapshots. */
#include "mb_assert.h"
#include "mb_shard_internal.h"

/* Takes a start into the owner's view after it was read back. */
static void
on_started(mb_shard_t *shard, const mb_start_t *start, uint8_t marks)
{
    mb_task_t *task = mb_task_find(&shard->tasks, start->task);
    mb_shard_worker_t *worker =
        mb_shard_worker_get_or_add(shard, start->worker);
    mb_shard_job_t *job = mb_shard_job_find(shard, start->task.job);
    /* Place and quota were reserved when the start was chosen. */
    task->marks =
        marks & (MB_MARK_IN_DISPATCH | MB_MARK_IN_PLACEMENT | MB_MARK_EVICT);
    if (job == NULL || !mb_shard_job_needs_task(job, start->task.index)) {
        task->marks |= MB_MARK_CANCEL;
    }
    (void)g_array_append_val(worker->held_tasks, start->task);
    worker->next_sync_us = 0;
    mb_shard_worker_reschedule(worker);
}

/* Gives back what a task that left its worker had reserved. */
static void
on_left(mb_shard_t *shard, mb_task_id_t id, mb_task_t *task)
{
    mb_shard_worker_t *worker =
        mb_shard_worker_get_or_add(shard, task->worker);
    mb_shard_policy_release_task(shard, id, task);
    mb_shard_worker_remove_task(worker, id);
    /* The worker hears about it soon: its finish is acknowledged. */
    worker->next_sync_us = 0;
    mb_shard_worker_reschedule(worker);
    task->marks = 0;
    mb_shard_job_requeue(shard, id, task);
    shard->schedule_needed = true;
}

/* Applies a batch of starts. */
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
        const mb_task_t *row = mb_task_find(&shard->tasks, start->task);
        uint8_t marks = row == NULL ? 0 : row->marks;
        bool started =
            mb_task_start(&shard->tasks, start->task, offset, &task);
        if (shard->active) {
#ifdef MB_MUTANT_SHARD_START_BEFORE_READ_BACK
            if (!started) {
                continue;
            }
#endif
            /* One owner writes under one token, and only starts what is
               pending, so its own start always applies. */
            MB_INVARIANT(started, "own_start_applies");
            on_started(shard, start, marks);
        }
    }
}

/* Applies a batch of finishes. */
static void
apply_finishes(mb_shard_t *shard, uint64_t offset,
               const mb_shard_record_t *record)
{
    for (uint32_t i = 0; i < record->count; i++) {
        const mb_finish_t *finish = &record->body.finishes[i];
        if (mb_task_end(&shard->tasks, finish->task, offset, finish->attempt,
                        finish->result) &&
            shard->active) {
            on_left(shard, finish->task,
                    mb_task_find(&shard->tasks, finish->task));
        }
    }
}

/* Applies a batch of releases. */
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
            on_left(shard, release->task,
                    mb_task_find(&shard->tasks, release->task));
        }
    }
}

/* Applies the end of jobs: a job that still holds workers stays. */
static void
apply_closes(mb_shard_t *shard, const mb_shard_record_t *record)
{
    for (uint32_t i = 0; i < record->count; i++) {
        const mb_close_t *item = &record->body.closes[i];
        mb_job_tasks_t *tasks = mb_task_job_add(&shard->tasks, item->job);
        mb_shard_job_t *job = mb_shard_job_find(shard, item->job);
        bool held = tasks->counts[MB_TASK_ASSIGNED] > 0 ||
                    tasks->counts[MB_TASK_RUNNING] > 0;
        if (job != NULL) {
            job->close_pending = false;
        }
        if (held) {
            continue;
        }
        if (item->job_deleted) {
            mb_task_job_remove(&shard->tasks, item->job);
        }
        else {
            mb_task_job_close(tasks);
        }
        if (job != NULL && item->job_deleted && !job->declared) {
            mb_shard_job_remove(shard, job);
        }
        else if (job != NULL) {
            mb_shard_job_rebuild(shard, job);
        }
    }
}

/* Applies a claim or renewal and starts or stops acting for the shard. */
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

/* Applies one record in the order of the log. A record whose token is not
   that of the claim in force is ignored. */
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

/* The record in flight has its place in the stream, or is covered by a
   snapshot that was loaded. */
void
mb_shard_append_completed(mb_shard_t *shard)
{
    shard->append_in_flight = false;
    shard->lease.in_flight = false;
}

/* It is not known whether the record in flight is in the stream, now or
   later. Stops acting: a copy that comes late carries the token of a claim
   that is no longer in force, and a new claim starts from what was replayed.
 */
void
mb_shard_append_outcome_unknown(mb_shard_t *shard)
{
    if (shard->active) {
        mb_shard_deactivate(shard);
    }
    shard->lease.held = false;
    mb_shard_append_completed(shard);
}

/* Drops the replicated state, before a snapshot is loaded. */
void
mb_shard_reset(mb_shard_t *shard)
{
    if (shard->active) {
        mb_shard_deactivate(shard);
    }
    mb_task_table_clear(&shard->tasks);
    mb_lease_reset(&shard->lease);
}

/* Takes the counts of a closed job. */
static void
load_job(mb_shard_t *shard, const mb_shard_item_t *item)
{
    mb_job_tasks_t *tasks = mb_task_job_add(&shard->tasks, item->body.job.job);
    tasks->counts[MB_TASK_FINISHED] = item->body.job.finished;
    tasks->counts[MB_TASK_FAILED] = item->body.job.failed;
    tasks->counts[MB_TASK_CANCELLED] = item->body.job.cancelled;
    mb_task_job_close(tasks);
}

/* Takes one task; false when the item is out of bounds. */
static bool
load_task(mb_shard_t *shard, const mb_shard_item_t *item)
{
    const mb_task_t *source = &item->body.task.task;
    mb_task_t *task = mb_task_reach(&shard->tasks, item->body.task.id);
    if (task == NULL || source->state >= MB_TASK_STATE_COUNT) {
        return false;
    }
    mb_task_set_state(mb_task_job(&shard->tasks, item->body.task.id.job), task,
                      source->state);
    task->worker = source->worker;
    task->size = source->size;
    task->attempt = source->attempt;
    task->failures = source->failures;
    task->task_class = source->task_class;
    mb_task_set_checkpoint(task, mb_task_checkpoint(source));
    return true;
}

/* Takes one entry of a snapshot; false when it can't be used. */
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

/* Hands out the tasks of one job. */
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
            /* Known to this owner only, not part of the records. */
            item.body.task.task.state = MB_TASK_ASSIGNED;
        }
        visit(context, &item);
    }
}

/* Hands out the whole replicated state as entries of a snapshot. */
void
mb_shard_save(const mb_shard_t *shard,
              void (*visit)(void *context, const mb_shard_item_t *item),
              void *context)
{
    GHashTableIter iter;
    gpointer value;
    mb_shard_item_t item = {.type = MB_SHARD_ITEM_LEASE};
    item.body.lease.claim = (mb_claim_t){shard->lease.owner, shard->lease.last,
                                         shard->lease.lease_ms};
    item.body.lease.token = shard->lease.token;
    visit(context, &item);
    g_hash_table_iter_init(&iter, shard->tasks.jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        save_job(value, visit, context);
    }
}
