#include "mb_task.h"

#include <string.h>

#include "mb_assert.h"

/* First number of tasks that a job has room for. */
#define FIRST_CAP 4

/* Frees the tasks of a job and their checkpoints. */
static void
free_tasks(mb_job_tasks_t *tasks)
{
    for (uint32_t i = 0; i < tasks->len; i++) {
        g_free(tasks->tasks[i].checkpoint);
    }
    g_free(tasks->tasks);
    tasks->tasks = NULL;
    tasks->len = 0;
    tasks->cap = 0;
}

/* Frees a job; called by the hash table. */
static void
free_job(gpointer data)
{
    mb_job_tasks_t *tasks = data;
    free_tasks(tasks);
    g_free(tasks->events);
    g_free(tasks);
}

/* Makes an empty table. */
void
mb_task_table_init(mb_task_table_t *table)
{
    table->jobs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_job);
}

/* Frees the table and all it holds. */
void
mb_task_table_finish(mb_task_table_t *table)
{
    g_hash_table_destroy(table->jobs);
}

/* Drops all jobs. */
void
mb_task_table_clear(mb_task_table_t *table)
{
    g_hash_table_remove_all(table->jobs);
}

/* Returns the tasks of a job, or NULL when none was ever started. */
mb_job_tasks_t *
mb_task_job_find(const mb_task_table_t *table, uint64_t job)
{
    return g_hash_table_lookup(table->jobs, &job);
}

/* Returns the tasks of a job, which is added when it is missing. */
mb_job_tasks_t *
mb_task_job_find_or_add(mb_task_table_t *table, uint64_t job)
{
    mb_job_tasks_t *tasks = mb_task_job_find(table, job);
    if (tasks == NULL) {
        tasks = g_new0(mb_job_tasks_t, 1);
        tasks->job = job;
        (void)g_hash_table_insert(table->jobs, &tasks->job, tasks);
    }
    return tasks;
}

/* Forgets a job. */
void
mb_task_job_remove(mb_task_table_t *table, uint64_t job)
{
    (void)g_hash_table_remove(table->jobs, &job);
}

/* Drops the oldest events so that at most `max` are left. */
static void
drop_events(mb_job_tasks_t *tasks, uint32_t max)
{
    if (tasks->event_count > max) {
        memmove(tasks->events, tasks->events + (tasks->event_count - max),
                max * sizeof(mb_task_event_t));
        tasks->event_count = max;
    }
}

/* Shrinks a job whose tasks have all ended to its counts and events. */
void
mb_task_job_close(mb_job_tasks_t *tasks)
{
    free_tasks(tasks);
    drop_events(tasks, MB_JOB_EVENTS_CLOSED);
    tasks->events =
        g_renew(mb_task_event_t, tasks->events, tasks->event_count);
    tasks->closed = true;
}

/* Returns a task that was started before, or NULL. */
mb_task_t *
mb_task_find(const mb_task_table_t *table, mb_task_id_t id)
{
    mb_job_tasks_t *tasks = mb_task_job_find(table, id.job);
    if (tasks == NULL || id.index >= tasks->len) {
        return NULL;
    }
    return &tasks->tasks[id.index];
}

/* Returns a task, with room made for it; NULL when the index is too large or
   the job is closed. */
mb_task_t *
mb_task_find_or_add(mb_task_table_t *table, mb_task_id_t id)
{
    mb_job_tasks_t *tasks = mb_task_job_find_or_add(table, id.job);
    if (id.index >= MB_JOB_TASKS_MAX || tasks->closed) {
        return NULL;
    }
    if (id.index >= tasks->cap) {
        uint32_t cap = MAX(MAX(FIRST_CAP, tasks->cap * 2), id.index + 1);
        tasks->tasks = g_renew(mb_task_t, tasks->tasks, cap);
        tasks->cap = cap;
    }
    if (id.index >= tasks->len) {
        uint32_t added = id.index + 1 - tasks->len;
        memset(&tasks->tasks[tasks->len], 0, added * sizeof(mb_task_t));
        tasks->counts[MB_TASK_PENDING] += added;
        tasks->len = id.index + 1;
    }
    return &tasks->tasks[id.index];
}

/* Changes the state of a task and the counts of its job. */
void
mb_task_set_state(mb_job_tasks_t *tasks, mb_task_t *task,
                  mb_task_state_t state)
{
    tasks->counts[task->state]--;
    task->state = (uint8_t)state;
    tasks->counts[state]++;
}

/* Replaces the checkpoint; a longer text than the bound is not kept, because
   a cut checkpoint is of no use. */
void
mb_task_set_checkpoint(mb_task_t *task, mb_str_t checkpoint)
{
    if (checkpoint.len > MB_CHECKPOINT_MAX) {
        return;
    }
    g_free(task->checkpoint);
    task->checkpoint = NULL;
    task->checkpoint_len = (uint16_t)checkpoint.len;
    if (checkpoint.len > 0) {
        task->checkpoint = g_memdup2(checkpoint.data, checkpoint.len);
    }
}

/* Records an event of a job; the oldest one is dropped when there are too
   many. */
static void
add_event(mb_job_tasks_t *tasks, const mb_task_event_t *event)
{
    uint32_t count = tasks->event_count;
    drop_events(tasks, MB_JOB_EVENTS_MAX - 1);
    /* Room is made in powers of two. */
    if (count < MB_JOB_EVENTS_MAX && (count & (count - 1)) == 0) {
        tasks->events = g_renew(mb_task_event_t, tasks->events,
                                count == 0 ? 1 : (size_t)count * 2);
    }
    tasks->events[tasks->event_count++] = *event;
}

/* Assigns a pending task as its next attempt. */
bool
mb_task_start(mb_task_table_t *table, mb_task_id_t id, uint64_t offset,
              const mb_task_t *start)
{
    mb_task_t *task = mb_task_find_or_add(table, id);
    if (task == NULL || task->state != MB_TASK_PENDING ||
        start->attempt != task->attempt + 1) {
        return false;
    }
    task->worker = start->worker;
    task->size = start->size;
    task->attempt = start->attempt;
    task->task_class = start->task_class;
    task->marks = 0;
    mb_job_tasks_t *tasks = mb_task_job_find(table, id.job);
    mb_task_set_state(tasks, task, MB_TASK_ASSIGNED);
    mb_task_event_t event = {offset,        task->worker,          id.index,
                             task->attempt, MB_TASK_EVENT_STARTED, 0};
    add_event(tasks, &event);
    return true;
}

/* Returns the task when this attempt of it holds a worker, else NULL. */
static mb_task_t *
find_attempt(const mb_task_table_t *table, mb_task_id_t id, uint32_t attempt)
{
    mb_task_t *task = mb_task_find(table, id);
    if (task == NULL || !mb_task_is_held(task) || task->attempt != attempt) {
        return NULL;
    }
    return task;
}

/* Ends an attempt that ran. */
bool
mb_task_end(mb_task_table_t *table, mb_task_id_t id, uint64_t offset,
            uint32_t attempt, mb_task_result_t result)
{
    static const mb_task_state_t states[MB_RESULT_COUNT] = {
        [MB_RESULT_DONE] = MB_TASK_FINISHED,
        [MB_RESULT_RETRY] = MB_TASK_PENDING,
        [MB_RESULT_FAILED] = MB_TASK_FAILED,
    };
    mb_task_t *task = find_attempt(table, id, attempt);
    if (task == NULL || result >= MB_RESULT_COUNT) {
        return false;
    }
    mb_job_tasks_t *tasks = mb_task_job_find(table, id.job);
    mb_task_event_t event = {offset,
                             task->worker,
                             id.index,
                             attempt,
                             result == MB_RESULT_DONE ? MB_TASK_EVENT_FINISHED
                                                      : MB_TASK_EVENT_FAILED,
                             0};
    add_event(tasks, &event);
    if (result != MB_RESULT_DONE && task->failures < UINT16_MAX) {
        task->failures++;
    }
    mb_task_set_state(tasks, task, states[result]);
    if (mb_task_is_ended(task)) {
        mb_task_set_checkpoint(task, MB_STR_EMPTY);
    }
    return true;
}

/* Takes an attempt off its worker: pending again from the checkpoint, or
   cancelled. An empty checkpoint leaves the one before in place. */
bool
mb_task_release(mb_task_table_t *table, mb_task_id_t id, uint64_t offset,
                uint32_t attempt, mb_release_reason_t reason,
                mb_str_t checkpoint)
{
    mb_task_t *task = find_attempt(table, id, attempt);
    if (task == NULL) {
        return false;
    }
    mb_job_tasks_t *tasks = mb_task_job_find(table, id.job);
    mb_task_event_t event = {offset,  task->worker,           id.index,
                             attempt, MB_TASK_EVENT_RELEASED, reason};
    add_event(tasks, &event);
#ifdef MB_MUTANT_TASK_NO_CHECKPOINT
    (void)checkpoint;
#else
    if (checkpoint.len > 0) {
        mb_task_set_checkpoint(task, checkpoint);
    }
#endif
    mb_task_set_state(tasks, task,
                      reason == MB_RELEASE_CANCELLED ? MB_TASK_CANCELLED
                                                     : MB_TASK_PENDING);
    return true;
}
