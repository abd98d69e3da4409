/* The queue of tasks of one shard, and the decision which starts next:
   classes, weighted fair share of teams, backfill around tasks that can't
   start yet, preemption of batch by urgent tasks, and the minimum share of
   batch. Counts what runs in placement and quota. Used on one thread. */
#ifndef MB_DISPATCH_H
#define MB_DISPATCH_H

#include "mb_placement.h"
#include "mb_quota.h"

/* Most tasks waiting; mb_dispatch_add refuses more. */
#define MB_DISPATCH_QUEUE_MAX 262144
/* A task that waits this long while others pass it gets a worker held for
   it. */
#define MB_DISPATCH_STARVATION_US UINT64_C(30000000)
/* A hold that has not led to a start ends after this time. */
#define MB_DISPATCH_HOLD_TIMEOUT_US UINT64_C(600000000)
/* An urgent task evicts batch tasks after it has waited this long. The start
   within 4 s includes the time in which the evicted tasks checkpoint. */
#define MB_DISPATCH_PREEMPT_DELAY_THROUGHPUT_US UINT64_C(1500000)
#define MB_DISPATCH_PREEMPT_DELAY_LATENCY_US UINT64_C(200000)

typedef struct mb_dispatch_task {
    uint64_t id;
    mb_placement_task_t place;
    mb_team_id_t team;
    uint32_t expected_ms; /* learned run time; affects order only */
} mb_dispatch_task_t;

typedef enum mb_dispatch_unschedulable {
    MB_DISPATCH_UNSCHEDULABLE_SIZE,
    MB_DISPATCH_UNSCHEDULABLE_CONSTRAINT,
    MB_DISPATCH_UNSCHEDULABLE_QUOTA
} mb_dispatch_unschedulable_t;

/* What the owner of the queue does about decisions. They are called inside
   mb_dispatch_run and must not call the queue. */
typedef struct mb_dispatch_callbacks {
    /* The task is counted on the worker: start it. */
    void (*start)(void *context, uint64_t id, mb_worker_id_t worker);
    /* Stop the task with a checkpoint; it is counted until
       mb_dispatch_task_ended. */
    void (*evict)(void *context, uint64_t id, mb_worker_id_t worker);
    /* The task can never run and has left the queue. */
    void (*unschedulable)(void *context, uint64_t id,
                          mb_dispatch_unschedulable_t reason);
    void *context;
} mb_dispatch_callbacks_t;

typedef struct mb_dispatch mb_dispatch_t;

mb_dispatch_t *mb_dispatch_new(mb_placement_t *placement, mb_quota_t *quota,
                               const mb_dispatch_callbacks_t *callbacks);
void mb_dispatch_free(mb_dispatch_t *dispatch);
void mb_dispatch_set_policy(mb_dispatch_t *dispatch, const mb_policy_t *policy,
                            const mb_size_t *capacity);

/* Adds a waiting task; false when the queue is full or the id is known. */
bool mb_dispatch_add(mb_dispatch_t *dispatch, const mb_dispatch_task_t *task,
                     uint64_t now_us);
/* Takes a waiting task out; false when it is not waiting. */
bool mb_dispatch_cancel(mb_dispatch_t *dispatch, uint64_t id);
/* Most starts from now on; without a call there is no limit. */
void mb_dispatch_set_start_limit(mb_dispatch_t *dispatch, uint32_t starts);
/* Starts what can start; returns how many tasks were started. */
uint32_t mb_dispatch_run(mb_dispatch_t *dispatch, uint64_t now_us);

/* Counts a task as running without a start, as in replay; false when it does
   not fit. */
bool mb_dispatch_restore(mb_dispatch_t *dispatch,
                         const mb_dispatch_task_t *task, mb_worker_id_t worker,
                         uint64_t now_us);
/* Counts a task that runs whether or not it fits, as after a takeover or when
   a quota was lowered; MB_WORKER_NONE: nowhere. False when the worker has no
   room for it: then it counts for its team only. */
bool mb_dispatch_adopt(mb_dispatch_t *dispatch, const mb_dispatch_task_t *task,
                       mb_worker_id_t worker, uint64_t now_us);
/* A running task ended or was stopped; false when it does not run. */
bool mb_dispatch_task_ended(mb_dispatch_t *dispatch, uint64_t id);
/* Time of the start of a running task; 0 when it does not run. */
uint64_t mb_dispatch_started_us(const mb_dispatch_t *dispatch, uint64_t id);
void mb_dispatch_task_checkpointed(mb_dispatch_t *dispatch, uint64_t id,
                                   uint64_t now_us);
/* Whether batch keeps its minimum share when this task is evicted. */
bool mb_dispatch_may_evict(const mb_dispatch_t *dispatch, uint64_t id);
/* Notes an eviction that the caller decided. */
void mb_dispatch_mark_evicting(mb_dispatch_t *dispatch, uint64_t id);
/* Whether batch holds its minimum share without this much. */
bool mb_dispatch_can_reduce_batch_cpu(const mb_dispatch_t *dispatch,
                                      uint32_t cpu_milli);
uint32_t mb_dispatch_waiting_count(const mb_dispatch_t *dispatch,
                                   mb_class_t task_class);

#endif
