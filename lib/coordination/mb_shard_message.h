/* Records of a shard's stream and the exchange with a worker as plain
   structs; the codecs of the protocol layer turn them to and from bytes. */
#ifndef MB_SHARD_MESSAGE_H
#define MB_SHARD_MESSAGE_H

#include "mb_task.h"

/* Most starts, finishes or closes in one record. */
#define MB_SHARD_BATCH_MAX 512
/* Most releases in one record; each may carry the longest checkpoint, and
   the record stays below the largest payload. */
#define MB_SHARD_RELEASES_MAX 48
/* Most entries of one list in a sync exchange. A worker gets no new tasks
   when it holds half as many, so that with a whole batch in flight its report
   still lists every task. */
#define MB_SYNC_LIST_MAX 1024
/* Longest command of a task, in bytes. */
#define MB_COMMAND_MAX 4096
/* Exit code of a task that the worker stopped on request. */
#define MB_EXIT_STOPPED 256
/* Latency samples of a usage report at most. */
#define MB_USAGE_SAMPLES_MAX 8
/* Offset of a claim when there is none. */
#define MB_CLAIM_NONE UINT64_MAX

typedef enum mb_shard_record_type {
    MB_SHARD_CLAIM,
    MB_SHARD_RENEW,
    MB_SHARD_STARTS,
    MB_SHARD_FINISHES,
    MB_SHARD_RELEASE,
    MB_SHARD_CLOSE, /* jobs that are over */
    MB_SHARD_RECORD_TYPE_COUNT
} mb_shard_record_type_t;

/* A claim or a renewal. */
typedef struct mb_claim {
    uint64_t owner;    /* random per process start */
    uint64_t seen;     /* offset of the last valid claim or renewal */
    uint32_t lease_ms; /* 0 in a renewal: released */
} mb_claim_t;

typedef struct mb_start {
    mb_task_id_t task;
    uint64_t worker;
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

/* A job whose tasks have all ended, or, with `forget`, that was deleted. */
typedef struct mb_close {
    uint64_t job;
    bool job_deleted;
} mb_close_t;

typedef struct mb_shard_record {
    mb_shard_record_type_t type;
    uint64_t token; /* of all but claim and renew */
    uint32_t count; /* of the list in use */
    union {
        mb_claim_t claim;
        mb_start_t starts[MB_SHARD_BATCH_MAX];
        mb_finish_t finishes[MB_SHARD_BATCH_MAX];
        mb_release_t releases[MB_SHARD_RELEASES_MAX];
        mb_close_t closes[MB_SHARD_BATCH_MAX];
    } body;
} mb_shard_record_t;

/* One entry of a snapshot. */
typedef enum mb_shard_item_type {
    MB_SHARD_ITEM_LEASE,
    MB_SHARD_ITEM_JOB, /* counts of a closed job */
    MB_SHARD_ITEM_TASK,
    MB_SHARD_ITEM_TYPE_COUNT
} mb_shard_item_type_t;

typedef struct mb_shard_item {
    mb_shard_item_type_t type;
    union {
        struct {
            mb_claim_t claim; /* `seen`: the last valid one */
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
            mb_task_t task; /* text is borrowed */
        } task;
    } body;
} mb_shard_item_t;

/* Attempt of a task on a worker. */
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
    bool checkpoint; /* make one before the task ends */
} mb_sync_stop_t;

typedef struct mb_sync_throttle {
    mb_task_id_t task;
    uint32_t percent; /* of its processors that it may use */
} mb_sync_throttle_t;

/* Request of the exchange; all views are borrowed. */
typedef struct mb_sync_request {
    uint64_t token;
    uint64_t incarnation; /* expected; 0: unknown */
    uint32_t lease_ms;    /* 0: a probe that leaves the lease as it is */
    uint32_t start_count;
    uint32_t stop_count;
    uint32_t throttle_count;
    uint32_t ack_count;
    mb_sync_start_t starts[MB_SYNC_LIST_MAX];
    mb_sync_stop_t stops[MB_SYNC_LIST_MAX];
    mb_sync_throttle_t throttles[MB_SYNC_LIST_MAX];
    mb_attempt_t acks[MB_SYNC_LIST_MAX];
} mb_sync_request_t;

typedef struct mb_sync_finished {
    mb_attempt_t id;
    uint32_t exit_code;
    mb_str_t checkpoint;
} mb_sync_finished_t;

typedef struct mb_usage_sample {
    uint32_t latency_us;
    uint32_t age_ms;
} mb_usage_sample_t;

typedef struct mb_usage {
    mb_task_id_t task;
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t sample_count;
    mb_usage_sample_t samples[MB_USAGE_SAMPLES_MAX];
} mb_usage_t;

/* Response of the exchange; all views are borrowed. `running` lists every
   attempt that the worker holds and has not reported as finished. */
typedef struct mb_sync_response {
    uint64_t incarnation;
    uint64_t highest_token;
    uint32_t running_count;
    uint32_t finished_count;
    uint32_t usage_count;
    mb_attempt_t running[MB_SYNC_LIST_MAX];
    mb_sync_finished_t finished[MB_SYNC_LIST_MAX];
    mb_usage_t usage[MB_SYNC_LIST_MAX];
} mb_sync_response_t;

/* Tells whether two ids name the same task. */
static inline bool
mb_task_id_equal(mb_task_id_t a, mb_task_id_t b)
{
    return a.job == b.job && a.index == b.index;
}

#endif
