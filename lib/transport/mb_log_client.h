/* Client of one stream of the log service. A thread, called the thread of the
   stream, reads the stream into a replica and appends records to it. Failed
   calls are retried, so that outages, slowness and lost acknowledgements of
   the service are tolerated. */
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
    mb_str_t address;      /* of the log service, IPv4:port */
    mb_str_t stream;       /* its name */
    uint64_t writer;       /* random id of this process as a writer */
    uint64_t retention_ms; /* how long the log keeps records */
    bool snapshots;        /* whether the stream has snapshots */
    uint32_t queue_max;    /* maximum number of pending appends */
    /* Minimum time between reads while no append is pending; 0: each read
       follows the one before at once. */
    uint32_t read_interval_ms;
} mb_log_client_config_t;

/* All are called on the thread of the stream; each may be NULL. */
typedef struct mb_log_client_callbacks {
    /* Returns the rank of this process among those that write snapshots, from
       0, or MB_LOG_RANK_NONE. */
    uint32_t (*rank)(void *context);
    /* Called several times a second, with whether the log has answered lately
       and the time by the clock of the log (0: not known yet). */
    void (*tick)(void *context, bool reachable, uint64_t log_now_ms);
    void *context;
} mb_log_client_callbacks_t;

typedef struct mb_log_append mb_log_append_t;

typedef struct mb_log_client {
    mb_log_client_config_t config;
    mb_log_client_callbacks_t callbacks;
    mb_replica_callbacks_t replica_callbacks; /* of the caller */
    mb_buf_t url;
    mb_log_t log;
    mb_loop_t loop;
    mb_http_client_t http;
    mb_replica_t replica;
    mb_record_decoder_t decoder;
    uint64_t free_slots; /* number of further appends accepted; atomic */
    uint64_t ready;      /* the stream has been read to its end; atomic */
    uint64_t reachable;  /* the log has answered lately; atomic */
    uint64_t closing;    /* no more calls are sent; atomic */
    uint64_t open_calls; /* HTTP calls in flight; atomic */
    /* The following are used only on the thread of the stream. */
    bool replica_started; /* the first offset of the replica is known */
    bool read_pending;
    uint64_t next_read_ms;
    uint64_t last_response_ms; /* when the log last answered; 0: never */
    /* Clock of the log, read at `log_clock_read_ms` of this process; 0: not
       known. */
    uint64_t log_clock_ms;
    uint64_t log_clock_read_ms;
    uint64_t next_snapshot_ms; /* no snapshot is written before */
    uint32_t jitter_permille;  /* random delay of snapshots of this process, in
                                  thousandths of the delay of one rank */
    /* Appends (mb_log_append_t, owned), which move from a queue to `current`
       and, once the log has acknowledged them, to `acknowledged`, where they
       wait until their record is read back. */
    uint64_t sequence; /* of the latest append sent */
    GQueue data_queue;
    GQueue snapshot_queue; /* records of a snapshot, sent after the data */
    GQueue acknowledged;
    mb_log_append_t *current; /* is being sent, or its result is unknown */
    bool attempt_pending;     /* a call with `current` is in flight */
    uint64_t next_attempt_ms;
} mb_log_client_t;

/* mb_log_client_ready, mb_log_client_reachable and the appender may be used on
   any thread; the other functions on one that is not the thread of the
   stream. */
bool mb_log_client_init(mb_log_client_t *client,
                        const mb_log_client_config_t *config,
                        const mb_replica_callbacks_t *replica_callbacks,
                        const mb_log_client_callbacks_t *callbacks,
                        const mb_log_t *log, GError **error);
bool mb_log_client_start(mb_log_client_t *client, GError **error);
void mb_log_client_stop(mb_log_client_t *client);
void mb_log_client_finish(mb_log_client_t *client);
mb_appender_t mb_log_client_appender(mb_log_client_t *client);
bool mb_log_client_ready(const mb_log_client_t *client);
bool mb_log_client_reachable(const mb_log_client_t *client);

#endif
