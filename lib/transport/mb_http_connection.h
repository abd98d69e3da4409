/* The connections of an HTTP server: carries out the limits of mb_intake.h.
   Each connection has a phase that changes atomically, so that a request is
   either passed to its handler or refused, whichever comes first. */
#ifndef MB_HTTP_CONNECTION_H
#define MB_HTTP_CONNECTION_H

#include <pthread.h>

#include "mb_clock.h"
#include "mb_counter.h"
#include "mb_intake.h"
#include "mb_log.h"

/* Metrics of the limits, shared by all HTTP servers of a process. */
typedef struct mb_http_metrics {
    mb_metric_t *bytes;                           /* drawn from the budgets */
    mb_metric_t *connections;                     /* open */
    mb_metric_t *limited[MB_INTAKE_REASON_COUNT]; /* refused or closed */
} mb_http_metrics_t;

typedef struct mb_http_registry mb_http_registry_t;

/* A connection of a client. Other threads than the one of the server use the
   atomic members only. */
typedef struct mb_http_connection {
    struct mb_http_connection *previous; /* in the registry, under its lock */
    struct mb_http_connection *next;
    mb_http_registry_t *registry;
    int fd;
    uint64_t phase;       /* mb_intake_phase_t; atomic */
    uint64_t bytes;       /* drawn from the budget; atomic */
    uint64_t since_ms;    /* start of the phase; atomic */
    uint64_t progress_ms; /* when something arrived last; atomic */
    uint64_t dropped;     /* bytes received after a refusal */
} mb_http_connection_t;

/* All connections of a server. The lock is taken when a connection opens or
   closes and by the sweep, not for a request or a part of one. */
struct mb_http_registry {
    mb_intake_t intake;
    mb_clock_t clock;
    mb_log_t log;
    const char *name; /* of the listener, in log lines */
    const mb_http_metrics_t *metrics;
    pthread_mutex_t lock;
    mb_http_connection_t *first;
    uint64_t limited[MB_INTAKE_REASON_COUNT]; /* atomic */
    /* Used by the sweep only. */
    uint64_t swept_ms;
    uint64_t logged_ms;
    uint64_t logged[MB_INTAKE_REASON_COUNT];
    uint64_t reported_bytes;
    uint64_t reported_connections;
    uint64_t trimmed_ms;
    uint64_t peak; /* of the bytes drawn, since memory was last returned */
};

/* Registers the metrics. */
void mb_http_metrics_add(mb_http_metrics_t *metrics, mb_counters_t *counters);

/* Initializes an empty registry, which has nothing to release. `log` and
   `metrics` may be NULL. */
void mb_http_registry_init(mb_http_registry_t *registry,
                           const mb_intake_limits_t *limits, const char *name,
                           const mb_log_t *log,
                           const mb_http_metrics_t *metrics);
/* Closes the connections that exceed a limit, logs and exports what was
   limited, and returns freed memory to the system. Does so at most ten times a
   second, and once a second in calm; called periodically by one thread. */
void mb_http_registry_sweep(mb_http_registry_t *registry);
/* Tells whether another connection may be accepted. If there is no room,
   closes one that waits for its client to make room. */
bool mb_http_registry_admit(mb_http_registry_t *registry);

/* Creates the state of an accepted connection. */
mb_http_connection_t *mb_http_connection_new(mb_http_registry_t *registry,
                                             int fd);
/* Frees the state of a connection whose socket is about to be closed. */
void mb_http_connection_free(mb_http_connection_t *connection);
/* Changes the phase, unless it is not `from` any more. */
bool mb_http_connection_enter(mb_http_connection_t *connection,
                              mb_intake_phase_t from, mb_intake_phase_t to);
/* Notes that a part of a request has arrived. */
void mb_http_connection_note_progress(mb_http_connection_t *connection);
/* Draws bytes for the body of a request. */
bool mb_http_connection_draw(mb_http_connection_t *connection, uint64_t bytes);
/* Replaces the bytes drawn by those of a response, 0 after its end. */
void mb_http_connection_hold(mb_http_connection_t *connection, uint64_t bytes);
/* Refuses the request that is being received, with the response of `reason`.
   What the client sends after that is dropped. */
void mb_http_connection_refuse(mb_http_connection_t *connection,
                               mb_intake_reason_t reason);
/* Counts bytes that arrive after a refusal; false if there were too many, so
   that the connection is to be closed. */
bool mb_http_connection_drop(mb_http_connection_t *connection, uint64_t bytes);

#endif
