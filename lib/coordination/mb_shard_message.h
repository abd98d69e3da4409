/* Records in a shard's log, items of its snapshots, and the messages exchanged
   with a worker, as plain structs. The protocol layer encodes and decodes
   them. */
#ifndef MB_SHARD_MESSAGE_H
#define MB_SHARD_MESSAGE_H

#include "mb_task.h"

/* Maximum number of starts, finishes or job closes in one record. */
#define MB_SHARD_BATCH_MAX 512
/* Maximum number of releases in one record. Even if each of them carries a
   checkpoint of the maximum length, the record stays below the payload limit
   of the log. */
#define MB_SHARD_RELEASES_MAX 48
/* Maximum number of entries of each list in a sync message. A worker that
   holds half as many tasks gets no further ones: with one more record of
   starts in flight, its report still has room for every task. */
#define MB_SYNC_LIST_MAX 1024
/* Maximum length of the command of a task, in bytes. */
#define MB_COMMAND_MAX 4096
/* Reported as the exit code of a task that the worker stopped on request. */
#define MB_EXIT_STOPPED 256
/* Maximum number of latency samples in a usage report. */
#define MB_USAGE_SAMPLES_MAX 8
/* Stands for the offset of a claim if there is none. */
#define MB_CLAIM_NONE UINT64_MAX

typedef enum mb_shard_record_type {
    MB_SHARD_CLAIM,    /* takes the ownership of the shard */
    MB_SHARD_RENEW,    /* extends or releases the owner's lease */
    MB_SHARD_STARTS,   /* tasks assigned to workers */
    MB_SHARD_FINISHES, /* tasks that exited by themselves */
    MB_SHARD_RELEASE,  /* tasks that were stopped or lost */
    MB_SHARD_CLOSE,    /* jobs without further tasks to run */
    MB_SHARD_RECORD_TYPE_COUNT
} mb_shard_record_type_t;

/* A claim or a renewal. It is valid only if `seen` is the offset of the last
   valid claim or renewal before it in the log, so the first of several
   concurrent claims wins. */
typedef struct mb_claim {
    uint64_t owner;    /* identifies the process; random per start */
    uint64_t seen;     /* last valid claim or renewal known to the sender */
    uint32_t lease_ms; /* 0 in a renewal: releases the lease */
} mb_claim_t;

typedef struct mb_start {
    mb_task_id_t task;
    uint64_t worker; /* mb_shard_worker_key */
    uint32_t attempt;
    mb_size_t size;
    mb_class_t task_class;
} mb_start_t;

typedef struct mb_finish {
    mb_task_id_t task;
    uint32_t attempt;
    mb_task_result_t result;
} mb_finish_t;

typedef struct mb_release {
    mb_task_id_t task;
    uint32_t attempt;
    mb_release_reason_t reason;
    mb_str_t checkpoint;
} mb_release_t;

/* Closes a job without further tasks to run: all have ended, or the job was
   cancelled. With `job_deleted`, the job is no longer declared and its tasks
   are removed from the table. */
typedef struct mb_close {
    uint64_t job;
    bool job_deleted;
} mb_close_t;

typedef struct mb_shard_record {
    mb_shard_record_type_t type;
    uint64_t token; /* fencing token: offset of the claim under which the
                       record was written; unused in claims and renewals */
    uint32_t count; /* entries of the list in use */
    union {
        mb_claim_t claim;
        mb_start_t starts[MB_SHARD_BATCH_MAX];
        mb_finish_t finishes[MB_SHARD_BATCH_MAX];
        mb_release_t releases[MB_SHARD_RELEASES_MAX];
        mb_close_t closes[MB_SHARD_BATCH_MAX];
    } body;
} mb_shard_record_t;

/* Type of one entry of a snapshot. */
typedef enum mb_shard_item_type {
    MB_SHARD_ITEM_LEASE,
    MB_SHARD_ITEM_JOB, /* task counts of a closed job */
    MB_SHARD_ITEM_TASK,
    MB_SHARD_ITEM_TYPE_COUNT
} mb_shard_item_type_t;

typedef struct mb_shard_item {
    mb_shard_item_type_t type;
    union {
        struct {
            mb_claim_t claim; /* the last valid one; `seen` is its offset */
            uint64_t token;
        } lease;
        struct {
            uint64_t job;
            uint32_t finished;
            uint32_t failed;
            uint32_t cancelled;
        } job;
        struct {
            mb_task_id_t id;
            mb_task_t task; /* checkpoint text is borrowed */
        } task;
    } body;
} mb_shard_item_t;

/* One attempt to run a task. Attempts are counted from 1. */
typedef struct mb_attempt {
    mb_task_id_t task;
    uint32_t attempt;
} mb_attempt_t;

typedef struct mb_sync_start {
    mb_attempt_t id;
    mb_size_t size;
    mb_str_t command;
    mb_str_t checkpoint;
} mb_sync_start_t;

typedef struct mb_sync_stop {
    mb_attempt_t id;
    bool checkpoint; /* write one before the task is stopped */
} mb_sync_stop_t;

typedef struct mb_sync_throttle {
    mb_task_id_t task;
    uint32_t percent; /* share of its processors that the task may use */
} mb_sync_throttle_t;

/* Sync request of the owner to a worker; all views are borrowed. */
typedef struct mb_sync_request {
    uint64_t token;       /* fencing token of the owner's claim */
    uint64_t incarnation; /* that the owner expects; 0: unknown */
    uint32_t lease_ms;    /* 0: a probe, which does not extend the lease */
    uint32_t start_count;
    uint32_t stop_count;
    uint32_t throttle_count;
    uint32_t ack_count;
    mb_sync_start_t starts[MB_SYNC_LIST_MAX];
    mb_sync_stop_t stops[MB_SYNC_LIST_MAX];
    mb_sync_throttle_t throttles[MB_SYNC_LIST_MAX];
    mb_attempt_t acks[MB_SYNC_LIST_MAX]; /* whose end is in the log */
} mb_sync_request_t;

typedef struct mb_sync_finished {
    mb_attempt_t id;
    uint32_t exit_code;  /* MB_EXIT_STOPPED: stopped on request */
    mb_str_t checkpoint; /* empty: none */
} mb_sync_finished_t;

typedef struct mb_usage_sample {
    uint32_t latency_us;
    uint32_t age_ms; /* since the measurement, when the report was made */
} mb_usage_sample_t;

/* Measured resource usage of one task. */
typedef struct mb_usage {
    mb_task_id_t task;
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t sample_count;
    mb_usage_sample_t samples[MB_USAGE_SAMPLES_MAX];
} mb_usage_t;

/* Response of a worker to a sync request; all views are borrowed. `running`
   lists every attempt that the worker holds and that has not finished;
   `finished` repeats each result until it is acknowledged. */
typedef struct mb_sync_response {
    uint64_t incarnation;   /* differs after each restart of the worker
                               and after each expiry of its lease */
    uint64_t highest_token; /* highest fencing token received so far */
    uint32_t running_count;
    uint32_t finished_count;
    uint32_t usage_count;
    mb_attempt_t running[MB_SYNC_LIST_MAX];
    mb_sync_finished_t finished[MB_SYNC_LIST_MAX];
    mb_usage_t usage[MB_SYNC_LIST_MAX];
} mb_sync_response_t;

/* Returns whether two ids name the same task. */
static inline bool
mb_task_id_equal(mb_task_id_t a, mb_task_id_t b)
{
    return a.job == b.job && a.index == b.index;
}

#endif
