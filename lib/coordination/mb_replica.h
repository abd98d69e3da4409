/* Replica of the state that one stream of the log describes. It replays the
   records in order, drops duplicate records, detects gaps, and loads and
   writes snapshots. Snapshots are written to the stream itself; a process that
   starts after the first records were removed by retention loads one and then
   applies the records after it. The protocol of the log, and the state itself,
   are left to the caller. Used on one thread. The streams are those of the
   declared resources (mb_config_store), of the members and of each shard;
   keyed logs are read by mb_follower instead. */
#ifndef MB_REPLICA_H
#define MB_REPLICA_H

#include <stdbool.h>

#include "mb_log.h"
#include "mb_str.h"

typedef enum mb_record_type {
    MB_RECORD_DATA,
    MB_RECORD_SNAPSHOT_BEGIN, /* has no payload; gives `as_of` */
    MB_RECORD_SNAPSHOT_CHUNK, /* a part of the state, as payload */
    MB_RECORD_SNAPSHOT_END,
    MB_RECORD_SNAPSHOT_WRITERS, /* part of the table of writers, in
                                   `writer_states` */
    MB_RECORD_TYPE_COUNT
} mb_record_type_t;

/* Largest payload of one record, in bytes. */
#define MB_RECORD_PAYLOAD_MAX (64u * 1024u)

/* Maximum number of writer states in one record. */
#define MB_RECORD_WRITER_STATES_MAX 1024
/* Maximum number of writers in the table; beyond it, the writer whose last
   record is the oldest is removed. */
#define MB_REPLICA_WRITERS_MAX 65536

/* The last record of one writer. Every process keeps a table of the writers to
   recognize duplicates, records that a writer has sent again. */
typedef struct mb_writer_state {
    uint64_t writer;
    uint64_t sequence; /* sequence number of the record */
    uint64_t time_ms;  /* when it was appended, by the log's clock */
} mb_writer_state_t;

/* One record of the stream; views are borrowed. */
typedef struct mb_record {
    uint64_t offset;
    uint64_t time_ms; /* when it was appended, by the log's clock */
    uint64_t writer;
    uint64_t sequence; /* greater than in the writer's previous record */
    mb_record_type_t type;
    uint64_t snapshot; /* id of the snapshot; 0 for data */
    uint64_t as_of;    /* of a snapshot: first offset it does not include */
    uint64_t index;    /* number within its snapshot, from 0 without gaps */
    const mb_writer_state_t *writer_states;
    uint32_t writer_state_count;
    mb_str_t payload;
} mb_record_t;

typedef struct mb_replica_callbacks {
    /* Applies a data record, which is borrowed; called once per record, in
       order of offsets. `own` is true if this process wrote it. */
    void (*apply)(void *context, const mb_record_t *record, bool own);
    /* Clears the state, before a snapshot is loaded or the stream is replayed
       from its start. */
    void (*reset)(void *context);
    /* Loads one chunk of a snapshot, in the order in which `save` emitted
       them. Returns false if it can't be decoded. */
    bool (*load)(void *context, mb_str_t chunk);
    /* Passes the whole state to `emit`, in chunks of at most
       MB_RECORD_PAYLOAD_MAX bytes. */
    void (*save)(void *context,
                 void (*emit)(void *emit_context, mb_str_t chunk),
                 void *emit_context);
    /* Called after the last chunk of a snapshot; may be NULL. Between `reset`
       and this call, readers should see the previous state. */
    void (*loaded)(void *context, uint64_t as_of);
    void *context;
} mb_replica_callbacks_t;

typedef struct mb_replica_config {
    uint64_t writer;       /* id of this process; differs after a restart */
    uint64_t retention_ms; /* how long the log keeps a record */
    bool snapshots;        /* false: there are none; the state consists of the
                              records that the log retains */
} mb_replica_config_t;

typedef enum mb_feed_result {
    MB_FEED_APPLIED,   /* a data record was applied */
    MB_FEED_DUPLICATE, /* was fed or applied before, and is ignored */
    MB_FEED_BUFFERED,  /* kept until a snapshot has been loaded */
    MB_FEED_SNAPSHOT,  /* a record of a snapshot */
    MB_FEED_GAP        /* records before it are missing; call
                          mb_replica_start */
} mb_feed_result_t;

/* Maximum number of time samples. With one sample each 1/256 of the retention
   time, they reach back twice as far as the log. */
#define MB_REPLICA_SAMPLES_MAX 512

/* The time at which the record at an offset was appended, by the log's
   clock. */
typedef struct mb_time_sample {
    uint64_t offset;
    uint64_t time_ms;
} mb_time_sample_t;

typedef struct mb_replica {
    mb_replica_config_t config;
    mb_replica_callbacks_t callbacks;
    mb_log_t log;
    void *writers;           /* table of mb_writer_state_t by writer */
    void *last_writer_state; /* entry of the writer of the last record */
    void *partial_snapshots; /* snapshots that are not complete yet */
    void *buffered; /* records to apply after a snapshot has been loaded */
    size_t buffered_bytes;
    bool ready;    /* the state is that of the stream; no snapshot is needed */
    uint64_t next; /* offset of the next record */
    uint64_t min_as_of; /* least `as_of` of a snapshot that can be loaded */
    uint64_t time_ms;   /* time of the last record replayed */
    /* Records from this time on may not be included in any complete snapshot
       yet, which determines when the next one is due; 0: no data record was
       applied so far. */
    uint64_t covered_until_ms;
    mb_time_sample_t samples[MB_REPLICA_SAMPLES_MAX]; /* ring buffer */
    uint64_t sample_count; /* samples taken since the start */
    uint64_t reloads;      /* calls of mb_replica_start but the first */
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
