/* Owner of one shard: turns declared jobs and services into tasks, records
   every start in the shard's stream before a worker hears of it, and keeps
   the workers' leases. Used on one thread; the clock, the random numbers,
   the log and the workers are callbacks. */
#ifndef MB_SHARD_H
#define MB_SHARD_H

#include "mb_lease.h"
#include "mb_log.h"
#include "mb_placement.h"
#include "mb_quota.h"

/* Most workers of one shard; more are ignored with a log line. */
#define MB_SHARD_WORKERS_MAX 4096
/* Most jobs and services that one owner holds. */
#define MB_SHARD_JOBS_MAX 262144

typedef struct mb_shard_config {
    mb_lease_config_t lease;
    uint32_t shard_index; /* tasks are spread over `shard_count` by hash */
    uint32_t shard_count;
    uint32_t worker_lease_ms;
    uint32_t sync_period_ms;
    uint32_t batch_delay_ms;  /* of starts that are not urgent */
    uint32_t finish_delay_ms; /* between two appends of finishes */
    uint32_t orphan_delay_ms; /* before tasks of unknown jobs are stopped */
} mb_shard_config_t;

typedef struct mb_shard_callbacks {
    /* Appends a record and retries it with the same sequence number until it
       is read back; then mb_shard_apply is called with `own`. */
    void (*append)(void *context, const mb_shard_record_t *record);
    /* Sends a request to a worker; one at a time each. The outcome comes as
       mb_shard_handle_sync_response or mb_shard_handle_sync_failure, not from
       inside the call. */
    void (*sync)(void *context, uint64_t worker, mb_str_t address,
                 const mb_sync_request_t *request);
    /* Optional: usage reports, and exits as input of the health scores. */
    void (*usage)(void *context, uint64_t worker, const mb_usage_t *usage);
    void (*exited)(void *context, uint64_t worker, uint32_t exit_code);
    void *context;
} mb_shard_callbacks_t;

/* Why the tasks of a job wait. */
typedef enum mb_wait_reason {
    MB_WAIT_NONE,
    MB_WAIT_NO_OWNER,   /* this process does not own the shard */
    MB_WAIT_NEXT_BATCH, /* for the next batch of starts */
    MB_WAIT_BACKOFF,    /* its tasks ended soon after their start */
    MB_WAIT_CAPACITY,   /* fits a worker, not now */
    MB_WAIT_TOO_LARGE,  /* unschedulable: larger than every worker */
    MB_WAIT_CONSTRAINT_UNSATISFIABLE, /* unschedulable: no worker satisfies it
                                       */
    MB_WAIT_QUOTA,                    /* the team's quota is in use */
    MB_WAIT_EXCEEDS_QUOTA, /* unschedulable: one task exceeds the quota */
    MB_WAIT_TEAM_UNKNOWN,  /* unschedulable: the team does not exist */
    MB_WAIT_CONSTRAINT_UNKNOWN,
    MB_WAIT_CANCELLED,
    MB_WAIT_REASON_COUNT
} mb_wait_reason_t;

/* One part of an explanation. */
typedef enum mb_explain_part {
    MB_EXPLAIN_JOB,
    MB_EXPLAIN_TASK,
    MB_EXPLAIN_EVENT
} mb_explain_part_t;

typedef struct mb_explain {
    mb_explain_part_t part;
    union {
        struct {
            mb_str_t name;
            bool declared;
            bool closed;
            uint32_t counts[MB_TASK_STATE_COUNT];
            mb_wait_reason_t wait;
        } job;
        struct {
            uint32_t index;
            mb_task_state_t state;
            uint32_t attempt;
            uint32_t failures;
            uint64_t worker_key;
            mb_str_t worker; /* empty when its name is not known */
            bool stopping;
        } task;
        mb_task_event_t event;
    } body;
} mb_explain_t;

typedef struct mb_shard mb_shard_t;

mb_shard_t *mb_shard_new(const mb_shard_config_t *config,
                         const mb_shard_callbacks_t *callbacks,
                         const mb_clock_t *clock, const mb_rng_t *rng,
                         const mb_log_t *log, uint64_t self);
void mb_shard_free(mb_shard_t *shard);

/* Replay: records in the order of the log; snapshots in parts. */
void mb_shard_apply(mb_shard_t *shard, uint64_t offset,
                    const mb_shard_record_t *record, bool own);
void mb_shard_append_completed(mb_shard_t *shard);
void mb_shard_append_outcome_unknown(mb_shard_t *shard);
void mb_shard_reset(mb_shard_t *shard);
bool mb_shard_load(mb_shard_t *shard, const mb_shard_item_t *item);
void mb_shard_save(const mb_shard_t *shard,
                   void (*visit)(void *context, const mb_shard_item_t *item),
                   void *context);

/* Configuration; the shard claims nothing before it is ready. */
void mb_shard_put_resource(mb_shard_t *shard, const mb_resource_t *resource);
void mb_shard_delete_resource(mb_shard_t *shard, mb_resource_kind_t kind,
                              mb_str_t name);
/* Capacity of every shard, `shard_count` of them. With more than one shard a
   team's quota is split by it; without it the shard grants nothing. */
void mb_shard_set_capacities(mb_shard_t *shard, const mb_size_t *capacities);
void mb_shard_set_config_ready(mb_shard_t *shard);

/* Time: does what is due and returns when to call again, in microseconds. */
uint64_t mb_shard_tick(mb_shard_t *shard);
void mb_shard_release_lease(mb_shard_t *shard);

/* Workers. */
void mb_shard_handle_sync_response(mb_shard_t *shard, uint64_t worker,
                                   const mb_sync_response_t *response);
void mb_shard_handle_sync_failure(mb_shard_t *shard, uint64_t worker);
void mb_shard_set_healthy(mb_shard_t *shard, uint64_t worker, bool healthy);
void mb_shard_set_pressure(mb_shard_t *shard, uint64_t worker,
                           uint32_t permille);
bool mb_shard_evict(mb_shard_t *shard, mb_task_id_t task);
bool mb_shard_throttle(mb_shard_t *shard, mb_task_id_t task, uint32_t percent);

/* Observation. */
mb_lease_phase_t mb_shard_phase(const mb_shard_t *shard);
const mb_task_table_t *mb_shard_tasks(const mb_shard_t *shard);
uint64_t mb_shard_job_key(mb_resource_kind_t kind, mb_str_t name);
uint64_t mb_shard_worker_key(mb_str_t name);
/* The shard, below `shard_count`, whose owner alone uses a worker. */
uint32_t mb_shard_index_for_worker(mb_str_t name, uint32_t shard_count);
bool mb_shard_explain_job(const mb_shard_t *shard, mb_resource_kind_t kind,
                          mb_str_t name, mb_explain_t *part);
bool mb_shard_explain(const mb_shard_t *shard, mb_resource_kind_t kind,
                      mb_str_t name,
                      void (*visit)(void *context, const mb_explain_t *part),
                      void *context);

#endif
