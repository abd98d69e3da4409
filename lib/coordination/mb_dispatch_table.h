/* The tables inside mb_dispatch_t. Internal to dispatch. */
#ifndef MB_DISPATCH_TABLE_H
#define MB_DISPATCH_TABLE_H

#include <glib.h>

#include "mb_dispatch.h"

/* A waiting task. */
typedef struct mb_dispatch_entry {
    mb_dispatch_task_t task;
    uint64_t sort_key; /* lower is first in its team's queue */
    uint64_t added_us;
    uint64_t last_preempt_us;      /* last eviction in its favour; 0: none */
    mb_worker_id_t claimed_worker; /* room that is being cleared for it */
    GSequenceIter *position;
} mb_dispatch_entry_t;

/* Waiting tasks of one team and class. */
typedef struct mb_dispatch_queue {
    GSequence *entries;
} mb_dispatch_queue_t;

/* A running task. */
typedef struct mb_dispatch_running {
    mb_dispatch_task_t task;
    mb_worker_id_t worker;
    uint64_t started_us;
    uint64_t checkpoint_us; /* start or last checkpoint */
    bool evicted;
} mb_dispatch_running_t;

/* Batch is kept this many points above its minimum share, so that the time
   between the end of one task and the start of the next, and throttling, do
   not take it below. */
#define MB_DISPATCH_BATCH_MARGIN_PERCENT 3u

/* Evictions leave batch this many points above the share it is kept at.
   Batch is filled by whole tasks beyond that share; without a gap, urgent
   work would evict what was just started. */
#define MB_DISPATCH_EVICT_HYSTERESIS_PERCENT 2u

struct mb_dispatch {
    mb_placement_t *placement;
    mb_quota_t *quota;
    mb_dispatch_callbacks_t callbacks;
    mb_policy_t policy;
    mb_size_t capacity;
    mb_size_t used[MB_CLASS_COUNT];
    mb_size_t evicting_size;           /* batch tasks being evicted */
    GPtrArray *queues[MB_CLASS_COUNT]; /* mb_dispatch_queue_t by team */
    uint32_t waiting[MB_CLASS_COUNT];
    GArray *heap;        /* mb_team_id_t, teams of one class by share */
    GHashTable *entries; /* id in the entry -> entry */
    GHashTable *running; /* id in the task -> running */
    GHashTable *batch_by_worker; /* worker + 1 -> GPtrArray of running batch */
    GHashTable *claims; /* worker + 1 -> mb_size_t, room being cleared */
    /* One worker held for the task passed over longest. */
    uint64_t hold_task_id;
    mb_worker_id_t hold_worker;
    uint64_t hold_start_us;
    uint32_t attempts_left; /* left in this run */
    uint32_t preemptions_left;
    uint32_t starts_left;
    uint64_t now_us;
    /* Smallest unconstrained size that found no room in this run. */
    mb_size_t failed_size;
    bool has_failed_size;
};

/* Moves a task from waiting to running on a worker that has it reserved. */
void mb_dispatch_add_running(mb_dispatch_t *dispatch,
                             const mb_dispatch_task_t *task,
                             mb_worker_id_t worker);
/* Returns the share that batch is kept at, in percent of the processors. */
uint32_t mb_dispatch_batch_floor_percent(const mb_dispatch_t *dispatch);
/* Tells whether batch holds its minimum share without a task of this size. */
bool mb_dispatch_can_reduce_batch(const mb_dispatch_t *dispatch,
                                  const mb_size_t *size);
/* Evicts batch tasks of one worker so that the task will fit there beside
   those that room is being cleared for, and claims the room; MB_WORKER_NONE
   when no worker can be cleared. */
mb_worker_id_t mb_dispatch_preempt(mb_dispatch_t *dispatch,
                                   const mb_dispatch_task_t *task);
/* Gives up a claim. */
void mb_dispatch_release_claim(mb_dispatch_t *dispatch, mb_worker_id_t worker,
                               const mb_size_t *size);

#endif
