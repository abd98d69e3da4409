#include "mb_task.h"

#include <string.h>

#include "mb_assert.h"

/* Initial capacity of the array of tasks of a job. */
#define INITIAL_CAP 4

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

/* Frees a job; the destructor of the values of the hash table. */
static void
free_job(gpointer data)
{
    mb_job_tasks_t *tasks = data;
    free_tasks(tasks);
    g_free(tasks->events);
    g_free(tasks);
}

/* Initializes an empty table. */
void
mb_task_table_init(mb_task_table_t *table)
{
    table->jobs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_job);
}

/* Frees the table with its jobs. */
void
mb_task_table_finish(mb_task_table_t *table)
{
    g_hash_table_destroy(table->jobs);
}

/* Removes all jobs. */
void
mb_task_table_clear(mb_task_table_t *table)
{
    g_hash_table_remove_all(table->jobs);
}

/* Finds the tasks of a job; NULL if none was ever started. Valid until the job
   is removed. */
mb_job_tasks_t *
mb_task_job_find(const mb_task_table_t *table, uint64_t job)
{
    return g_hash_table_lookup(table->jobs, &job);
}

/* Finds the tasks of a job, which is added without tasks if it is missing. */
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

/* Removes a job, if it is in the table. */
void
mb_task_job_remove(mb_task_table_t *table, uint64_t job)
{
    (void)g_hash_table_remove(table->jobs, &job);
}

/* Removes the oldest events, so that at most `max` remain. */
static void
drop_events(mb_job_tasks_t *tasks, uint32_t max)
{
    if (tasks->event_count > max) {
        memmove(tasks->events, tasks->events + (tasks->event_count - max),
                max * sizeof(mb_task_event_t));
        tasks->event_count = max;
    }
}

/* Closes a job whose tasks have all ended: frees the tasks and keeps the
   counts and the latest events, as a shard may have very many ended jobs. */
void
mb_task_job_close(mb_job_tasks_t *tasks)
{
    free_tasks(tasks);
    drop_events(tasks, MB_JOB_EVENTS_CLOSED);
    tasks->events =
        g_renew(mb_task_event_t, tasks->events, tasks->event_count);
    tasks->closed = true;
}

/* Finds a task. Returns NULL if neither it nor a task with a higher index was
   ever started, or if the job is closed. Valid until a task of the job is
   added or the job is closed or removed. */
mb_task_t *
mb_task_find(const mb_task_table_t *table, mb_task_id_t id)
{
    mb_job_tasks_t *tasks = mb_task_job_find(table, id.job);
    if (tasks == NULL || id.index >= tasks->len) {
        return NULL;
    }
    return &tasks->tasks[id.index];
}

/* Finds a task, or adds it and the tasks with lower indices as pending.
   Returns NULL if the index is not below MB_JOB_TASKS_MAX or the job is
   closed. */
mb_task_t *
mb_task_find_or_add(mb_task_table_t *table, mb_task_id_t id)
{
    mb_job_tasks_t *tasks = mb_task_job_find_or_add(table, id.job);
    if (id.index >= MB_JOB_TASKS_MAX || tasks->closed) {
        return NULL;
    }
    if (id.index >= tasks->cap) {
        uint32_t cap = MAX(MAX(INITIAL_CAP, tasks->cap * 2), id.index + 1);
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

/* Sets the state of a task and updates the counts of its job. */
void
mb_task_set_state(mb_job_tasks_t *tasks, mb_task_t *task,
                  mb_task_state_t state)
{
    tasks->counts[task->state]--;
    task->state = (uint8_t)state;
    tasks->counts[state]++;
}

/* Replaces the checkpoint by a copy of the text; an empty text removes it. A
   text longer than MB_CHECKPOINT_MAX is ignored, because a truncated
   checkpoint is of no use. */
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

/* Adds an event to a job. If there are MB_JOB_EVENTS_MAX, the oldest is
   removed. */
static void
add_event(mb_job_tasks_t *tasks, const mb_task_event_t *event)
{
    uint32_t count = tasks->event_count;
    drop_events(tasks, MB_JOB_EVENTS_MAX - 1);
    /* The capacity is doubled whenever it, a power of two, is used up. */
    if (count < MB_JOB_EVENTS_MAX && (count & (count - 1)) == 0) {
        tasks->events = g_renew(mb_task_event_t, tasks->events,
                                count == 0 ? 1 : (size_t)count * 2);
    }
    tasks->events[tasks->event_count++] = *event;
}

/* See the header. */
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

/* Finds a task that is held and whose latest attempt is `attempt`; NULL if it
   is not, as when a record concerns an earlier attempt. */
static mb_task_t *
find_attempt(const mb_task_table_t *table, mb_task_id_t id, uint32_t attempt)
{
    mb_task_t *task = mb_task_find(table, id);
    if (task == NULL || !mb_task_is_held(task) || task->attempt != attempt) {
        return NULL;
    }
    return task;
}

/* See the header. */
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

/* See the header. */
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
