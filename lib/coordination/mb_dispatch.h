/* Queue of the waiting tasks of one shard, and the decision which of them
   start next. It serves the classes by urgency, the teams of a class by
   weighted fair share, backfills around tasks that can't start yet, preempts
   batch tasks in favour of urgent ones, and keeps the minimum share of batch.
   Which worker a task gets is decided by mb_placement. Started tasks are
   counted in placement and quota. Not thread-safe: all calls must come from
   one thread. */
#ifndef MB_DISPATCH_H
#define MB_DISPATCH_H

#include "mb_placement.h"
#include "mb_quota.h"

/* Maximum number of waiting tasks; mb_dispatch_add refuses more. */
#define MB_DISPATCH_QUEUE_MAX 262144
/* A task that has waited this long without a place counts as starved: a
   worker is held for it, which takes no other new tasks. */
#define MB_DISPATCH_STARVATION_US UINT64_C(30000000)
/* The hold on a worker is given up if the task has not started there within
   this time. */
#define MB_DISPATCH_HOLD_TIMEOUT_US UINT64_C(600000000)
/* An urgent task that has waited this long evicts batch tasks, by objective
   (throughput first or latency first). Urgent tasks must start within 4 s,
   which includes the time that the evicted tasks take to checkpoint. */
#define MB_DISPATCH_PREEMPT_DELAY_THROUGHPUT_US UINT64_C(1500000)
#define MB_DISPATCH_PREEMPT_DELAY_LATENCY_US UINT64_C(200000)

typedef struct mb_dispatch_task {
    uint64_t id;               /* unique among waiting and running tasks */
    mb_placement_task_t place; /* size, class, constraint and group */
    mb_team_id_t team;
    uint32_t expected_ms; /* estimated run time; affects the order only */
} mb_dispatch_task_t;

/* Why a task can never run. */
typedef enum mb_dispatch_unschedulable {
    MB_DISPATCH_UNSCHEDULABLE_SIZE,       /* larger than every worker */
    MB_DISPATCH_UNSCHEDULABLE_CONSTRAINT, /* no worker satisfies it */
    MB_DISPATCH_UNSCHEDULABLE_QUOTA       /* larger than the team's quota */
} mb_dispatch_unschedulable_t;

/* Callbacks that carry out decisions. They are called inside mb_dispatch_run
   and must not call back into the same mb_dispatch_t. */
typedef struct mb_dispatch_callbacks {
    /* Start the task on the worker, where its size is already reserved. */
    void (*start)(void *context, uint64_t id, mb_worker_id_t worker);
    /* Checkpoint and stop the task. It stays counted as running until
       mb_dispatch_task_ended. */
    void (*evict)(void *context, uint64_t id, mb_worker_id_t worker);
    /* The task can never run and has been removed from the queue. */
    void (*unschedulable)(void *context, uint64_t id,
                          mb_dispatch_unschedulable_t reason);
    void *context;
} mb_dispatch_callbacks_t;

typedef struct mb_dispatch mb_dispatch_t;

/* Creates an empty queue. Placement and quota are borrowed and must outlive
   it. A policy must be set before the first run. */
mb_dispatch_t *mb_dispatch_new(mb_placement_t *placement, mb_quota_t *quota,
                               const mb_dispatch_callbacks_t *callbacks);
/* Frees the queue; NULL is allowed. Running tasks stay counted in placement
   and quota. */
void mb_dispatch_free(mb_dispatch_t *dispatch);
/* Sets the policy, and the total capacity of all workers, of which the shares
   of the classes are percentages. */
void mb_dispatch_set_policy(mb_dispatch_t *dispatch, const mb_policy_t *policy,
                            const mb_size_t *capacity);

/* Adds a waiting task; false when the queue is full, the id is already
   waiting or running, or the team is MB_TEAM_NONE. */
bool mb_dispatch_add(mb_dispatch_t *dispatch, const mb_dispatch_task_t *task,
                     uint64_t now_us);
/* Removes a waiting task; false when it is not waiting. */
bool mb_dispatch_cancel(mb_dispatch_t *dispatch, uint64_t id);
/* Limits the number of starts from now on; unlimited until the first call. */
void mb_dispatch_set_start_limit(mb_dispatch_t *dispatch, uint32_t starts);
/* Starts the tasks that can start now; returns how many were started. */
uint32_t mb_dispatch_run(mb_dispatch_t *dispatch, uint64_t now_us);

/* Counts a task as running without calling `start`, as in replay. False when
   it is already running or does not fit the worker or the team's quota. */
bool mb_dispatch_restore(mb_dispatch_t *dispatch,
                         const mb_dispatch_task_t *task, mb_worker_id_t worker,
                         uint64_t now_us);
/* Counts a task that is already running, whether or not it fits, as after a
   fail-over or after a quota was lowered. It must not be counted as running
   yet. MB_WORKER_NONE: on no known worker. False when the worker has no room
   for it; it is then counted in its team but on no worker. */
bool mb_dispatch_adopt(mb_dispatch_t *dispatch, const mb_dispatch_task_t *task,
                       mb_worker_id_t worker, uint64_t now_us);
/* Removes a running task that ended or was stopped; false when it is not
   running. */
bool mb_dispatch_task_ended(mb_dispatch_t *dispatch, uint64_t id);
/* Returns when a running task was started, restored or adopted; 0 when it is
   not running. */
uint64_t mb_dispatch_started_us(const mb_dispatch_t *dispatch, uint64_t id);
/* Records that the progress of a running task is saved up to `now_us`. */
void mb_dispatch_task_checkpointed(mb_dispatch_t *dispatch, uint64_t id,
                                   uint64_t now_us);
/* Returns whether this running batch task may be evicted without taking batch
   below its minimum share and the margins above it. */
bool mb_dispatch_may_evict(const mb_dispatch_t *dispatch, uint64_t id);
/* Records that the caller evicts a running task. */
void mb_dispatch_mark_evicting(mb_dispatch_t *dispatch, uint64_t id);
/* Returns whether batch keeps its minimum share, and the margins above it,
   when it loses this many thousandths of a processor, as by throttling. Always
   true for 0. */
bool mb_dispatch_can_reduce_batch_cpu(const mb_dispatch_t *dispatch,
                                      uint32_t cpu_milli);
/* Returns the number of waiting tasks of a class. */
uint32_t mb_dispatch_waiting_count(const mb_dispatch_t *dispatch,
                                   mb_class_t task_class);

#endif
