/* Replays one stream of the log into the state of this process: drops
   duplicates of a writer, loads and writes snapshots, finds gaps. Knows
   neither the log's protocol nor what the records mean. */
#ifndef MB_REPLICA_H
#define MB_REPLICA_H

#include <stdbool.h>

#include "mb_log.h"
#include "mb_str.h"

typedef enum mb_record_type {
    MB_RECORD_DATA,
    MB_RECORD_SNAPSHOT_BEGIN, /* payload: none; `as_of` is set */
    MB_RECORD_SNAPSHOT_CHUNK,
    MB_RECORD_SNAPSHOT_END,
    MB_RECORD_SNAPSHOT_WRITERS, /* part of the table of writers; `marks` */
    MB_RECORD_TYPE_COUNT
} mb_record_type_t;

/* Largest payload of one record, in bytes. */
#define MB_RECORD_PAYLOAD_MAX (64u * 1024u)

/* Most marks in one record. */
#define MB_RECORD_WRITER_STATES_MAX 1024
/* Most writers that are remembered; the one seen longest ago goes first. */
#define MB_REPLICA_WRITERS_MAX 65536

/* The last record of one writer. */
typedef struct mb_writer_state {
    uint64_t writer;
    uint64_t sequence;
    uint64_t time_ms;
} mb_writer_state_t;

/* One record as it stands in the stream; views are borrowed. */
typedef struct mb_record {
    uint64_t offset;
    uint64_t time_ms; /* when the log took it, by the log's clock */
    uint64_t writer;
    uint64_t sequence; /* above that of the writer's record before */
    mb_record_type_t type;
    uint64_t snapshot; /* id of the snapshot; 0 for data */
    uint64_t as_of;    /* of a snapshot: last offset that it includes + 1 */
    uint64_t index;    /* position in its snapshot, from 0 without gaps */
    const mb_writer_state_t *writer_states;
    uint32_t writer_state_count;
    mb_str_t payload;
} mb_record_t;

typedef struct mb_replica_callbacks {
    /* A data record, once and in order of offsets. `own` tells that this
       process wrote it. */
    void (*apply)(void *context, const mb_record_t *record, bool own);
    /* Drops the state, before a snapshot is loaded. */
    void (*reset)(void *context);
    /* One chunk of a snapshot, in the order in which it was saved; false
       when it can't be decoded. */
    bool (*load)(void *context, mb_str_t chunk);
    /* Hands the whole state to `emit` in chunks of at most
       MB_RECORD_PAYLOAD_MAX bytes. */
    void (*save)(void *context,
                 void (*emit)(void *emit_context, mb_str_t chunk),
                 void *emit_context);
    /* The snapshot is complete; may be NULL. State shown to readers between
       `reset` and this call should stay that from before. */
    void (*loaded)(void *context, uint64_t as_of);
    void *context;
} mb_replica_callbacks_t;

typedef struct mb_replica_config {
    uint64_t writer;       /* id of this process as a writer */
    uint64_t retention_ms; /* how long the log keeps a record */
    bool snapshots;        /* false: the state is what is retained */
} mb_replica_config_t;

typedef enum mb_feed_result {
    MB_FEED_APPLIED,
    MB_FEED_DUPLICATE,
    MB_FEED_BUFFERED, /* waits for a complete snapshot */
    MB_FEED_SNAPSHOT, /* part of a snapshot */
    MB_FEED_GAP       /* records are missing before it; start again */
} mb_feed_result_t;

/* Most samples of the log's time; at one each 1/256 of the retention time they
   reach back twice as far as the log. */
#define MB_REPLICA_SAMPLES_MAX 512

/* When the log took the record at an offset. */
typedef struct mb_time_sample {
    uint64_t offset;
    uint64_t time_ms;
} mb_time_sample_t;

/* Used on one thread. */
typedef struct mb_replica {
    mb_replica_config_t config;
    mb_replica_callbacks_t callbacks;
    mb_log_t log;
    void *writers;           /* writer -> mb_writer_state_t */
    void *last_writer_state; /* of the writer of the record before */
    void *partial_snapshots; /* snapshots that are not complete yet */
    void *buffered;          /* records that wait for a snapshot */
    size_t buffered_bytes;
    bool ready;
    uint64_t next;      /* offset of the record to come */
    uint64_t min_as_of; /* least as_of of a snapshot that helps */
    uint64_t time_ms;   /* of the last record */
    uint64_t
        covered_until_ms; /* time since which a snapshot is missing; 0: none */
    mb_time_sample_t samples[MB_REPLICA_SAMPLES_MAX]; /* a ring */
    uint64_t sample_count; /* samples taken since the start */
    uint64_t reloads;
} mb_replica_t;

void mb_replica_init(mb_replica_t *replica, const mb_replica_config_t *config,
                     const mb_replica_callbacks_t *callbacks,
                     const mb_log_t *log);
void mb_replica_finish(mb_replica_t *replica);
void mb_replica_start(mb_replica_t *replica, uint64_t earliest);
mb_feed_result_t mb_replica_feed(mb_replica_t *replica,
                                 const mb_record_t *record);
bool mb_replica_ready(const mb_replica_t *replica);
uint64_t mb_replica_own_sequence(const mb_replica_t *replica);
bool mb_replica_snapshot_due(const mb_replica_t *replica, uint64_t log_now_ms,
                             uint32_t rank, uint32_t jitter_permille);
void mb_replica_skip(mb_replica_t *replica, uint64_t offset);
void mb_replica_save(mb_replica_t *replica, uint64_t snapshot,
                     void (*emit)(void *context, const mb_record_t *record),
                     void *context);

#endif
