/* The tasks of a shard, by job: the state of each task, its attempts and
   failures, and the checkpoint from which it resumes. The table is replicated:
   it changes when records of the shard's log are applied, in order, so that it
   is the same on every process. Only the marks and the state MB_TASK_RUNNING
   are not replicated: the owner of the shard sets them. Not thread-safe. */
#ifndef MB_TASK_H
#define MB_TASK_H

#include <glib.h>

#include "mb_resource.h"

/* Maximum length of a checkpoint, in bytes. */
#define MB_CHECKPOINT_MAX 1024
/* Maximum number of tasks of a job or service. */
#define MB_JOB_TASKS_MAX (1u << 20)
/* Maximum number of events kept of a job; older ones are removed. */
#define MB_JOB_EVENTS_MAX 32
/* The same of a closed job; fewer, as a shard may have very many of these. */
#define MB_JOB_EVENTS_CLOSED 4

/* Identifies a task: the hash of the kind and name of its job or service, and
   its index in that. */
typedef struct mb_task_id {
    uint64_t job;
    uint32_t index;
} mb_task_id_t;

typedef enum mb_task_state {
    MB_TASK_PENDING,  /* waits for a worker */
    MB_TASK_ASSIGNED, /* the record of its start is in the log */
    MB_TASK_RUNNING,  /* assigned, and the worker has reported it to this
                         process, the owner of the shard */
    MB_TASK_FINISHED,
    MB_TASK_FAILED,
    MB_TASK_CANCELLED,
    MB_TASK_STATE_COUNT
} mb_task_state_t;

/* Why an attempt was released, that is, ended without a result. */
typedef enum mb_release_reason {
    MB_RELEASE_EVICTED,
    MB_RELEASE_WORKER_LOST,
    MB_RELEASE_WORKER_RESTARTED,
    MB_RELEASE_NOT_STARTED, /* the worker does not have the task */
    MB_RELEASE_CANCELLED,
    MB_RELEASE_REASON_COUNT
} mb_release_reason_t;

/* The result of an attempt. */
typedef enum mb_task_result {
    MB_RESULT_DONE,
    MB_RESULT_RETRY,  /* failed; the task will be tried again */
    MB_RESULT_FAILED, /* failed; the task has no attempt left */
    MB_RESULT_COUNT
} mb_task_result_t;

/* A task. */
typedef struct mb_task {
    char *checkpoint; /* owned; not NUL-terminated; NULL: none */
    uint64_t worker;  /* hash of the worker's name, while the task is held */
    mb_size_t size;   /* as declared when it was started */
    uint32_t attempt; /* number of the latest attempt; 0: never started */
    uint16_t checkpoint_len;
    uint16_t failures;  /* number of failed attempts */
    uint8_t state;      /* mb_task_state_t */
    uint8_t task_class; /* mb_class_t */
    uint8_t marks;      /* bits for the owner of the shard; not replicated */
} mb_task_t;

typedef enum mb_task_event_kind {
    MB_TASK_EVENT_STARTED,
    MB_TASK_EVENT_FINISHED,
    MB_TASK_EVENT_FAILED,
    MB_TASK_EVENT_RELEASED,
    MB_TASK_EVENT_KIND_COUNT
} mb_task_event_kind_t;

/* An event of a task, to explain to operators what happened to a job. */
typedef struct mb_task_event {
    uint64_t offset; /* of the log record */
    uint64_t worker;
    uint32_t index;
    uint32_t attempt;
    mb_task_event_kind_t kind;
    mb_release_reason_t reason; /* only of MB_TASK_EVENT_RELEASED */
} mb_task_event_t;

/* The tasks of a job. The array `tasks` reaches up to the highest index that
   was ever started; it is freed when the job is closed. */
typedef struct mb_job_tasks {
    uint64_t job; /* as in mb_task_id_t */
    mb_task_t *tasks;
    uint32_t len;
    uint32_t cap;
    bool closed; /* every declared task has ended; `tasks` is NULL */
    uint32_t counts[MB_TASK_STATE_COUNT]; /* of tasks by state, up to the
                                             highest index ever started */
    mb_task_event_t *events;              /* the latest ones, oldest first */
    uint32_t event_count;
} mb_job_tasks_t;

typedef struct mb_task_table {
    GHashTable *jobs; /* mb_job_tasks_t by `job` */
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

/* The next three functions apply the record at `offset` of the log. They
   return false and change nothing if the record does not match the state of
   the task. */

/* Assigns a pending task to a worker as its next attempt. `worker`, `size`,
   `attempt` and `task_class` are taken from `start`. */
bool mb_task_start(mb_task_table_t *table, mb_task_id_t id, uint64_t offset,
                   const mb_task_t *start);
/* Ends an attempt with a result. */
bool mb_task_end(mb_task_table_t *table, mb_task_id_t id, uint64_t offset,
                 uint32_t attempt, mb_task_result_t result);
/* Ends an attempt without a result. The task becomes pending and later resumes
   from `checkpoint` or, if that is empty, from its previous checkpoint; or it
   becomes cancelled, if that is the reason. */
bool mb_task_release(mb_task_table_t *table, mb_task_id_t id, uint64_t offset,
                     uint32_t attempt, mb_release_reason_t reason,
                     mb_str_t checkpoint);
void mb_task_set_state(mb_job_tasks_t *tasks, mb_task_t *task,
                       mb_task_state_t state);
void mb_task_set_checkpoint(mb_task_t *task, mb_str_t checkpoint);

/* Returns whether a task is held, that is, assigned or running, and so takes
   up capacity of a worker. */
static inline bool
mb_task_is_held(const mb_task_t *task)
{
    return task->state == MB_TASK_ASSIGNED || task->state == MB_TASK_RUNNING;
}

/* Returns whether a task has ended, so that it will not run again. */
static inline bool
mb_task_is_ended(const mb_task_t *task)
{
    return task->state >= MB_TASK_FINISHED;
}

/* Returns the checkpoint of a task, borrowed from it; empty if it has none. */
static inline mb_str_t
mb_task_checkpoint(const mb_task_t *task)
{
    return task->checkpoint == NULL
               ? MB_STR_EMPTY
               : (mb_str_t){task->checkpoint, task->checkpoint_len};
}

#endif
