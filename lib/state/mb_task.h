/* The tasks of one shard: per job what each task is doing, how often it was
   tried and where it resumes. Changed only in the order of the log. */
#ifndef MB_TASK_H
#define MB_TASK_H

#include <glib.h>

#include "mb_resource.h"

/* Longest checkpoint text of a task, in bytes. */
#define MB_CHECKPOINT_MAX 1024
/* Most tasks of one job or service. */
#define MB_JOB_TASKS_MAX (1u << 20)
/* Most events kept per job; the oldest is dropped. */
#define MB_JOB_EVENTS_MAX 32
/* Events kept of a closed job, of which a shard may hold very many. */
#define MB_JOB_EVENTS_CLOSED 4

/* A task: the job, as the hash of its kind and name, and its index in it. */
typedef struct mb_task_id {
    uint64_t job;
    uint32_t index;
} mb_task_id_t;

typedef enum mb_task_state {
    MB_TASK_PENDING,
    MB_TASK_ASSIGNED, /* its start is in the log */
    MB_TASK_RUNNING,  /* assigned, and the worker has reported it */
    MB_TASK_FINISHED,
    MB_TASK_FAILED,
    MB_TASK_CANCELLED,
    MB_TASK_STATE_COUNT
} mb_task_state_t;

typedef enum mb_release_reason {
    MB_RELEASE_EVICTED,
    MB_RELEASE_WORKER_LOST,
    MB_RELEASE_WORKER_RESTARTED,
    MB_RELEASE_NOT_STARTED, /* the worker does not hold the task */
    MB_RELEASE_CANCELLED,
    MB_RELEASE_REASON_COUNT
} mb_release_reason_t;

typedef enum mb_task_result {
    MB_RESULT_DONE,
    MB_RESULT_RETRY,  /* failed; to be tried again */
    MB_RESULT_FAILED, /* failed for the last time */
    MB_RESULT_COUNT
} mb_task_result_t;

/* One task. Owned text is only allocated for tasks with a checkpoint. */
typedef struct mb_task {
    char *checkpoint; /* not terminated; NULL: none */
    uint64_t worker;  /* hash of the worker's name, while assigned */
    mb_size_t size;   /* as declared when it was started */
    uint32_t attempt; /* latest attempt; 0: never started */
    uint16_t checkpoint_len;
    uint16_t failures;
    uint8_t state;
    uint8_t task_class;
    uint8_t marks; /* of the owner; not part of the replicated state */
} mb_task_t;

typedef enum mb_task_event_kind {
    MB_TASK_EVENT_STARTED,
    MB_TASK_EVENT_FINISHED,
    MB_TASK_EVENT_FAILED,
    MB_TASK_EVENT_RELEASED,
    MB_TASK_EVENT_KIND_COUNT
} mb_task_event_kind_t;

/* One step in the life of a task, for explanations. */
typedef struct mb_task_event {
    uint64_t offset; /* of the log record */
    uint64_t worker;
    uint32_t index;
    uint32_t attempt;
    mb_task_event_kind_t kind;
    mb_release_reason_t reason; /* of a release */
} mb_task_event_t;

/* The tasks of one job. `tasks` covers the indices that were ever started;
   it is freed when every declared task has ended. */
typedef struct mb_job_tasks {
    uint64_t job;
    mb_task_t *tasks;
    uint32_t len;
    uint32_t cap;
    bool closed; /* all ended; only the counts remain */
    uint32_t counts[MB_TASK_STATE_COUNT]; /* of the indices below `len` */
    mb_task_event_t *events;              /* the latest ones, oldest first */
    uint32_t event_count;
} mb_job_tasks_t;

typedef struct mb_task_table {
    GHashTable *jobs; /* job -> mb_job_tasks_t */
} mb_task_table_t;

void mb_task_table_init(mb_task_table_t *table);
void mb_task_table_finish(mb_task_table_t *table);
void mb_task_table_clear(mb_task_table_t *table);
mb_job_tasks_t *mb_task_job_find(const mb_task_table_t *table, uint64_t job);
mb_job_tasks_t *mb_task_job_find_or_add(mb_task_table_t *table, uint64_t job);
void mb_task_job_remove(mb_task_table_t *table, uint64_t job);
void mb_task_job_close(mb_job_tasks_t *tasks);
mb_task_t *mb_task_find(const mb_task_table_t *table, mb_task_id_t id);
mb_task_t *mb_task_find_or_add(mb_task_table_t *table, mb_task_id_t id);

/* Changes in the order of the log; false when the record does not fit the
   state of the task and is ignored. */
bool mb_task_start(mb_task_table_t *table, mb_task_id_t id, uint64_t offset,
                   const mb_task_t *start);
bool mb_task_end(mb_task_table_t *table, mb_task_id_t id, uint64_t offset,
                 uint32_t attempt, mb_task_result_t result);
bool mb_task_release(mb_task_table_t *table, mb_task_id_t id, uint64_t offset,
                     uint32_t attempt, mb_release_reason_t reason,
                     mb_str_t checkpoint);
void mb_task_set_state(mb_job_tasks_t *tasks, mb_task_t *task,
                       mb_task_state_t state);
void mb_task_set_checkpoint(mb_task_t *task, mb_str_t checkpoint);

/* Tells whether a task holds a worker's resources. */
static inline bool
mb_task_is_held(const mb_task_t *task)
{
    return task->state == MB_TASK_ASSIGNED || task->state == MB_TASK_RUNNING;
}

/* Tells whether a task will never run again. */
static inline bool
mb_task_is_ended(const mb_task_t *task)
{
    return task->state >= MB_TASK_FINISHED;
}

/* Returns the checkpoint of a task; empty when there is none. */
static inline mb_str_t
mb_task_checkpoint(const mb_task_t *task)
{
    return task->checkpoint == NULL
               ? MB_STR_EMPTY
               : (mb_str_t){task->checkpoint, task->checkpoint_len};
}

#endif
