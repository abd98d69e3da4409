/* Owner of one shard of the batch tasks. It expands the declared jobs and
   services into tasks, decides which task starts on which worker, appends
   every start to the shard's log before the worker is told, and renews the
   leases of the workers.

   Any number of processes may hold an object for the same shard. All of them
   replay the same log; the process whose claim is valid there is the owner.
   An object is used on one thread only. It performs no I/O itself: the clock,
   the random numbers, the log and the workers are callbacks.

   mb_fleet is a separate scheduler, for jobs of dependent steps, whose owner
   reaches the workers through agents. */
#ifndef MB_SHARD_H
#define MB_SHARD_H

#include "mb_lease.h"
#include "mb_log.h"
#include "mb_placement.h"
#include "mb_quota.h"

/* Maximum number of workers of one shard. Further ones are ignored and
   logged. */
#define MB_SHARD_WORKERS_MAX 4096
/* Maximum number of jobs and services of one owner. Further ones are ignored
   and logged. */
#define MB_SHARD_JOBS_MAX 262144

typedef struct mb_shard_config {
    mb_lease_config_t lease;
    uint32_t shard_index; /* this shard, below `shard_count` */
    uint32_t shard_count; /* tasks are distributed over the shards by hash */
    uint32_t worker_lease_ms; /* lease granted to a worker by each sync */
    uint32_t sync_period_ms;  /* between two sync requests to a worker */
    uint32_t batch_delay_ms;  /* least time between two scheduling passes,
                                 unless urgent tasks or retries are due */
    uint32_t finish_delay_ms; /* least time between two appends of finishes */
    uint32_t orphan_delay_ms; /* before tasks of undeclared jobs are stopped,
                                 and between two searches for them */
} mb_shard_config_t;

typedef struct mb_shard_callbacks {
    /* Appends a record to the shard's log. The caller retries it with the
       same sequence number until the record is read back, then calls
       mb_shard_apply with `own` set. The record is borrowed for the call. At
       most one append is in flight. */
    void (*append)(void *context, const mb_shard_record_t *record);
    /* Sends a sync request to a worker, at most one at a time per worker. The
       request and the address are borrowed for the call. The outcome is
       reported with mb_shard_handle_sync_response or
       mb_shard_handle_sync_failure, never from inside this call. */
    void (*sync)(void *context, uint64_t worker, mb_str_t address,
                 const mb_sync_request_t *request);
    /* Optional (may be NULL): one usage report of a worker, borrowed for the
       call. */
    void (*usage)(void *context, uint64_t worker, const mb_usage_t *usage);
    /* Optional (may be NULL): exits of tasks, as input of health scores. */
    void (*exited)(void *context, uint64_t worker, uint32_t exit_code);
    void *context;
} mb_shard_callbacks_t;

/* Why tasks of a job wait. Too large, constraint unsatisfiable, exceeds quota,
   team unknown and constraint unknown are unschedulable: they last until a
   declaration changes. */
typedef enum mb_wait_reason {
    MB_WAIT_NONE,
    MB_WAIT_NO_OWNER,  /* this process does not own the shard */
    MB_WAIT_NEXT_PASS, /* for the next scheduling pass */
    MB_WAIT_BACKOFF,   /* earlier attempts ended soon after their start */
    MB_WAIT_CAPACITY,  /* fits a worker, but none has room now */
    MB_WAIT_TOO_LARGE, /* larger than every worker */
    MB_WAIT_CONSTRAINT_UNSATISFIABLE, /* no worker satisfies it */
    MB_WAIT_QUOTA,                    /* the team's quota is used up */
    MB_WAIT_EXCEEDS_QUOTA,            /* one task exceeds the quota */
    MB_WAIT_TEAM_UNKNOWN,             /* the team is not declared */
    MB_WAIT_CONSTRAINT_UNKNOWN,       /* the constraint is not declared */
    MB_WAIT_CANCELLED,                /* cancelled or deleted */
    MB_WAIT_REASON_COUNT
} mb_wait_reason_t;

/* Kind of one part of an explanation. */
typedef enum mb_explain_part {
    MB_EXPLAIN_JOB,
    MB_EXPLAIN_TASK,
    MB_EXPLAIN_EVENT
} mb_explain_part_t;

/* One part of an explanation: the job, one of its tasks, or one event. Text
   is borrowed from the shard. */
typedef struct mb_explain {
    mb_explain_part_t part;
    union {
        struct {
            mb_str_t name;
            bool declared;
            bool closed; /* no task will run any more, according to the log */
            uint32_t counts[MB_TASK_STATE_COUNT];
            mb_wait_reason_t wait;
        } job;
        struct {
            uint32_t index;
            mb_task_state_t state;
            uint32_t attempt;
            uint32_t failures;
            uint64_t worker_key; /* mb_shard_worker_key, while held */
            mb_str_t worker;     /* name; empty if not known */
            bool stopping;       /* is being evicted or cancelled */
        } task;
        mb_task_event_t event;
    } body;
} mb_explain_t;

typedef struct mb_shard mb_shard_t;

/* `owner_id` identifies this process in claims; it is random per process
   start. Free the object with mb_shard_free, which does not release the lease:
   other processes wait for its expiry unless mb_shard_release_lease was called
   and its record was read back. */
mb_shard_t *mb_shard_new(const mb_shard_config_t *config,
                         const mb_shard_callbacks_t *callbacks,
                         const mb_clock_t *clock, const mb_rng_t *rng,
                         const mb_log_t *log, uint64_t owner_id);
void mb_shard_free(mb_shard_t *shard);

/* Replay. Records are applied in the order of the log; `own` marks the record
   that this object has in flight. */
void mb_shard_apply(mb_shard_t *shard, uint64_t offset,
                    const mb_shard_record_t *record, bool own);
/* The record in flight is in the log, or a loaded snapshot covers it. */
void mb_shard_append_completed(mb_shard_t *shard);
/* Nobody can tell whether the record in flight is or will be in the log: the
   shard drops its ownership. */
void mb_shard_append_outcome_unknown(mb_shard_t *shard);

/* Snapshots, one item at a time. mb_shard_reset drops the replicated state and
   precedes the first mb_shard_load, which returns false for an invalid item.
   mb_shard_save calls `visit` for each item; items are borrowed. */
void mb_shard_reset(mb_shard_t *shard);
bool mb_shard_load(mb_shard_t *shard, const mb_shard_item_t *item);
void mb_shard_save(const mb_shard_t *shard,
                   void (*visit)(void *context, const mb_shard_item_t *item),
                   void *context);

/* Configuration. Resources are copied. The shard claims nothing before
   mb_shard_set_config_ready. */
void mb_shard_put_resource(mb_shard_t *shard, const mb_resource_t *resource);
void mb_shard_delete_resource(mb_shard_t *shard, mb_resource_kind_t kind,
                              mb_str_t name);
/* `capacities` holds the total capacity of the workers of each shard,
   `shard_count` entries. With more than one shard, each team's quota is
   divided among the shards in this ratio; until it is set, this shard's part
   is zero and it starts nothing. */
void mb_shard_set_capacities(mb_shard_t *shard, const mb_size_t *capacities);
void mb_shard_set_config_ready(mb_shard_t *shard);

/* Performs all work that is due. Returns the time of the next call, in
   microseconds of the shard's clock. */
uint64_t mb_shard_tick(mb_shard_t *shard);
/* Stops acting as owner at once and releases the lease with the next record,
   as in a planned shutdown. The object does not claim the shard again. */
void mb_shard_release_lease(mb_shard_t *shard);

/* Workers, identified by mb_shard_worker_key. Unknown keys are ignored. */
void mb_shard_handle_sync_response(mb_shard_t *shard, uint64_t worker,
                                   const mb_sync_response_t *response);
/* The last request to the worker was refused, timed out or got a response that
   could not be decoded. */
void mb_shard_handle_sync_failure(mb_shard_t *shard, uint64_t worker);
/* An unhealthy worker gets no new tasks. */
void mb_shard_set_healthy(mb_shard_t *shard, uint64_t worker, bool healthy);
/* Sets by how much an urgent task is estimated to be slowed down on the
   worker, in thousandths: from 0 (not at all) to 1000 (twice as slow). The
   placement prefers workers with less slowdown. */
void mb_shard_set_slowdown(mb_shard_t *shard, uint64_t worker,
                           uint32_t permille);
/* Both return false if the task is not held (assigned or running) or this
   process is not the owner. mb_shard_evict stops the task with a checkpoint
   and requeues it. mb_shard_throttle limits it to a percentage of its
   processors; it also returns false if the worker's list of throttles is
   full. */
bool mb_shard_evict(mb_shard_t *shard, mb_task_id_t task);
bool mb_shard_throttle(mb_shard_t *shard, mb_task_id_t task, uint32_t percent);

/* Queries. */
mb_lease_phase_t mb_shard_phase(const mb_shard_t *shard);
/* The replicated task table; borrowed. */
const mb_task_table_t *mb_shard_tasks(const mb_shard_t *shard);
uint64_t mb_shard_job_key(mb_resource_kind_t kind, mb_str_t name);
uint64_t mb_shard_worker_key(mb_str_t name);
/* Index, below `shard_count`, of the one shard that uses the worker. */
uint32_t mb_shard_index_for_worker(mb_str_t name, uint32_t shard_count);
/* Both return false if the job or service is not known. mb_shard_explain_job
   fills the part about the job alone; mb_shard_explain calls `visit` for the
   job, each task and the latest events, oldest first. */
bool mb_shard_explain_job(const mb_shard_t *shard, mb_resource_kind_t kind,
                          mb_str_t name, mb_explain_t *part);
bool mb_shard_explain(const mb_shard_t *shard, mb_resource_kind_t kind,
                      mb_str_t name,
                      void (*visit)(void *context, const mb_explain_t *part),
                      void *context);

#endif
