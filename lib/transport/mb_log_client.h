/* One stream of the log service: a thread that reads it into a replica and
   appends to it. Works through outages, slowness and lost acknowledgements
   of the service. */
#ifndef MB_LOG_CLIENT_H
#define MB_LOG_CLIENT_H

#include "mb_appender.h"
#include "mb_http_client.h"
#include "mb_log.h"
#include "mb_log_msg.h"
#include "mb_record.h"
#include "mb_replica.h"

/* Rank of a process that writes no snapshots. */
#define MB_LOG_RANK_NONE UINT32_MAX

typedef struct mb_log_client_config {
    mb_str_t address; /* of the log service, IPv4:port */
    mb_str_t stream;
    uint64_t writer;           /* random id of this process as a writer */
    uint64_t retention_ms;     /* how long the log keeps records */
    bool snapshots;            /* whether the stream has snapshots */
    uint32_t queue_max;        /* appends that wait at most */
    uint32_t read_interval_ms; /* between reads, when no append is under way */
} mb_log_client_config_t;

/* All are called on the stream's thread; each may be NULL. */
typedef struct mb_log_client_callbacks {
    /* Rank of this process among those that write snapshots. */
    uint32_t (*rank)(void *context);
    /* Several times a second, with whether the log answers and the time by
       the log's clock (0: not known yet). */
    void (*tick)(void *context, bool reachable, uint64_t log_now_ms);
    void *context;
} mb_log_client_callbacks_t;

typedef struct mb_log_append mb_log_append_t;

typedef struct mb_log_client {
    mb_log_client_config_t config;
    mb_log_client_callbacks_t callbacks;
    mb_replica_callbacks_t replica_callbacks;
    mb_buf_t url;
    mb_log_t log;
    mb_loop_t loop;
    mb_http_client_t http;
    mb_replica_t replica;
    mb_record_decoder_t decoder;
    uint64_t free_slots;  /* appends that still fit; atomic */
    uint64_t ready;       /* the state is that of the stream; atomic */
    uint64_t reachable;   /* the log answered lately; atomic */
    uint64_t closing;     /* atomic */
    uint64_t open_calls;  /* atomic */
    bool replica_started; /* the replica knows where it begins */
    bool read_pending;
    uint64_t next_read_ms;
    uint64_t last_response_ms; /* when the log last answered */
    uint64_t
        log_clock_ms; /* the log's clock at `log_clock_read_ms`; 0: unknown */
    uint64_t log_clock_read_ms;
    uint64_t next_snapshot_ms; /* no snapshot is written before */
    uint32_t jitter_permille;
    uint64_t sequence;        /* last one given to an append */
    GQueue data_queue;        /* data that was not sent yet */
    GQueue snapshot_queue;    /* records of a snapshot, sent after the data */
    GQueue acknowledged;      /* acknowledged, not replayed yet */
    mb_log_append_t *current; /* being sent, or sent with unknown result */
    bool attempt_pending;
    uint64_t next_attempt_ms;
} mb_log_client_t;

bool mb_log_client_init(mb_log_client_t *client,
                        const mb_log_client_config_t *config,
                        const mb_replica_callbacks_t *state,
                        const mb_log_client_callbacks_t *callbacks,
                        const mb_log_t *log, GError **error);
bool mb_log_client_start(mb_log_client_t *client, GError **error);
void mb_log_client_stop(mb_log_client_t *client);
void mb_log_client_finish(mb_log_client_t *client);
mb_appender_t mb_log_client_appender(mb_log_client_t *client);
bool mb_log_client_ready(const mb_log_client_t *client);
bool mb_log_client_reachable(const mb_log_client_t *client);

#endif
