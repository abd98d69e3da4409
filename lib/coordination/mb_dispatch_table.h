/* Internal state of mb_dispatch_t, shared by mb_dispatch.c (waiting tasks)
   and mb_dispatch_running.c (running tasks and preemption). */
#ifndef MB_DISPATCH_TABLE_H
#define MB_DISPATCH_TABLE_H

#include <glib.h>

#include "mb_dispatch.h"

/* A waiting task. */
typedef struct mb_dispatch_entry {
    mb_dispatch_task_t task;
    uint64_t sort_key; /* lower is earlier in its team's queue */
    uint64_t added_us;
    uint64_t last_preempt_us; /* last eviction in its favour; 0: none */
    /* The worker where it has a claim on capacity that evictions free for it;
       MB_WORKER_NONE: none. */
    mb_worker_id_t claimed_worker;
    GSequenceIter *position; /* in its team's queue */
} mb_dispatch_entry_t;

/* Waiting tasks of one team and class, sorted by `sort_key`. */
typedef struct mb_dispatch_queue {
    GSequence *entries;
} mb_dispatch_queue_t;

/* A running task. */
typedef struct mb_dispatch_running {
    mb_dispatch_task_t task;
    mb_worker_id_t worker;
    uint64_t started_us;
    uint64_t checkpoint_us; /* last checkpoint, or the start */
    bool evicting;          /* an eviction is in progress */
} mb_dispatch_running_t;

/* Margin above batch's minimum share at which batch is kept, in percentage
   points: the time between the end of one task and the start of the next, and
   throttling, must not take batch below its minimum. */
#define MB_DISPATCH_BATCH_MARGIN_PERCENT 3u

/* Hysteresis between starts and evictions of batch, in percentage points:
   evictions leave batch this far above the share that it is filled up to.
   Whole tasks overshoot that share, so urgent work would otherwise evict tasks
   that were only just started. */
#define MB_DISPATCH_EVICT_HYSTERESIS_PERCENT 2u

struct mb_dispatch {
    mb_placement_t *placement;
    mb_quota_t *quota;
    mb_dispatch_callbacks_t callbacks;
    mb_policy_t policy;
    mb_size_t capacity;                /* of all workers together */
    mb_size_t used[MB_CLASS_COUNT];    /* by running tasks */
    mb_size_t evicting_size;           /* of the tasks being evicted */
    GPtrArray *queues[MB_CLASS_COUNT]; /* mb_dispatch_queue_t by team */
    uint32_t waiting[MB_CLASS_COUNT];  /* number of waiting tasks */
    GArray *heap;        /* mb_team_id_t; min-heap of one class by share */
    GHashTable *entries; /* id in the entry -> entry */
    GHashTable *running; /* id in the task -> running */
    GHashTable *batch_by_worker; /* worker + 1 -> GPtrArray of running batch */
    GHashTable *claims; /* worker + 1 -> mb_size_t, sum of the claims there */
    /* One worker is held for one starved task at a time. */
    uint64_t hold_task_id;
    mb_worker_id_t hold_worker; /* MB_WORKER_NONE: no hold */
    uint64_t hold_start_us;
    uint32_t attempts_left;    /* placements of one class in this run */
    uint32_t preemptions_left; /* in this run */
    uint32_t starts_left;      /* see mb_dispatch_set_start_limit */
    uint64_t now_us;           /* time of the current call */
    /* Smallest size without a constraint that found no place for the class
       being served; tasks at least as large are not tried again. */
    mb_size_t failed_size;
    bool has_failed_size;
};

/* Adds a task to the running ones; it is already counted in placement and
   quota. */
void mb_dispatch_add_running(mb_dispatch_t *dispatch,
                             const mb_dispatch_task_t *task,
                             mb_worker_id_t worker);
/* Returns the share at which batch is kept, in percent of all processors: its
   minimum and a margin; 0 without a minimum. */
uint32_t mb_dispatch_batch_floor_percent(const mb_dispatch_t *dispatch);
/* Returns whether batch keeps its minimum share of the processors, plus the
   margin and the hysteresis above, when it loses this size. */
bool mb_dispatch_can_reduce_batch(const mb_dispatch_t *dispatch,
                                  const mb_size_t *size);
/* Evicts batch tasks of one worker so that the task will fit there beside the
   tasks that already have claims on it, and claims the capacity. Returns
   MB_WORKER_NONE when no worker can be cleared. */
mb_worker_id_t mb_dispatch_preempt(mb_dispatch_t *dispatch,
                                   const mb_dispatch_task_t *task);
/* Releases a claim of this size on a worker. */
void mb_dispatch_release_claim(mb_dispatch_t *dispatch, mb_worker_id_t worker,
                               const mb_size_t *size);

#endif
