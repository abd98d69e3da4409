/* Limits what the unfinished requests of a listener may hold. All connections
   draw from one budget of bytes and of connections. While at most three
   quarters of it are used ("calm"), the limits of time are generous, so that
   slow and stalled clients are served; from there on they shrink to the strict
   ones, which hold at the full budget. When it is exhausted, requests that
   need more are refused, and connections are closed in the order of the bytes
   that they hold times the time since they made progress. A request that was
   passed to its handler is never cut.

   The decisions need no network; mb_http_connection.h carries them out. The
   amounts are atomics, so that any thread draws without a mutex. */
#ifndef MB_INTAKE_H
#define MB_INTAKE_H

#include <stdbool.h>
#include <stdint.h>

/* Memory of a connection without a body, in bytes: 32 KiB of libmicrohttpd for
   the request line and headers, and the rest for the request's state. */
#define MB_INTAKE_CONNECTION_BYTES (36u * 1024u)
/* A connection that holds at most this many bytes in total may draw from the
   last sixteenth of the budget, so that many large bodies don't keep out small
   requests. Enough for a connection and a submission with the longest text and
   the most steps. */
#define MB_INTAKE_SMALL_BYTES (72u * 1024u)
/* Divisor of the limit of connections: libmicrohttpd may accept this part more
   than the limit, so that a connection to close for a new one is chosen here.
   */
#define MB_INTAKE_SPARE_SHARE 16u
/* Time without progress from which on a connection may be closed to make room
   for others, in milliseconds. */
#define MB_INTAKE_EVICT_STALL_MS 500u
/* Seconds that a forecast looks ahead; see mb_intake_forecast_t. */
#define MB_INTAKE_FORECAST_S 12u

/* What a connection does. */
typedef enum mb_intake_phase {
    MB_INTAKE_IDLE,     /* no request has begun */
    MB_INTAKE_HEAD,     /* the headers are being received */
    MB_INTAKE_BODY,     /* the body is being received */
    MB_INTAKE_RUNNING,  /* the request was passed to its handler */
    MB_INTAKE_RESPONSE, /* the response is being sent */
    MB_INTAKE_REFUSED,  /* refused; what still arrives is dropped */
    MB_INTAKE_CLOSED,   /* is being closed */
    MB_INTAKE_PHASE_COUNT
} mb_intake_phase_t;

/* Why a request is refused or a connection closed. */
typedef enum mb_intake_reason {
    MB_INTAKE_ALLOWED,
    MB_INTAKE_TOO_LARGE,     /* the request is larger than allowed */
    MB_INTAKE_SLOW_HEAD,     /* the headers took too long */
    MB_INTAKE_STALLED,       /* no part of the body arrived for too long */
    MB_INTAKE_SLOW_REQUEST,  /* the whole request took too long */
    MB_INTAKE_EXHAUSTED,     /* the budget has no room for the body */
    MB_INTAKE_EVICTED,       /* closed to make room for others */
    MB_INTAKE_NO_CONNECTION, /* no room for another connection */
    MB_INTAKE_IDLE_TOO_LONG, /* no request for too long */
    MB_INTAKE_UNREAD,        /* the client does not read its response */
    MB_INTAKE_LINGERED,      /* the client goes on after a refusal */
    MB_INTAKE_GONE,          /* the client has closed the connection */
    MB_INTAKE_REASON_COUNT
} mb_intake_reason_t;

/* Limits of time, in milliseconds. */
typedef struct mb_intake_times {
    uint32_t idle_ms;     /* without a request */
    uint32_t head_ms;     /* for the headers */
    uint32_t stall_ms;    /* between two parts of a body */
    uint32_t request_ms;  /* for a whole request */
    uint32_t response_ms; /* for sending the response */
} mb_intake_times_t;

typedef struct mb_intake_limits {
    uint64_t bytes_max; /* 0: not limited */
    uint64_t connections_max;
    mb_intake_times_t calm; /* while at most 3/4 of the budget are used */
} mb_intake_limits_t;

/* The state of one connection, as far as decisions need it. */
typedef struct mb_intake_holder {
    mb_intake_phase_t phase;
    uint64_t bytes;       /* drawn from the budget */
    uint64_t since_ms;    /* start of the request, response or idle time */
    uint64_t progress_ms; /* when a part of it arrived last */
} mb_intake_holder_t;

/* How full a budget is: 0 while there is room, up to 1000. */
typedef struct mb_intake_pressure {
    uint32_t bytes;       /* or connections, whichever is fuller */
    uint32_t connections; /* connections alone */
    uint32_t responses;   /* as `bytes`, but not raised by draining: the
                             request has run, and the client waits for it */
} mb_intake_pressure_t;

typedef struct mb_intake {
    mb_intake_limits_t limits;
    uint64_t bytes;         /* drawn; atomic */
    uint64_t bytes_peak;    /* since mb_intake_take_peak; atomic */
    uint64_t connections;   /* atomic */
    uint64_t exhausted;     /* not 0: something was refused; atomic */
    uint64_t retry_after_s; /* see mb_intake_forecast_t; atomic */
    /* Not 0: strict limits of time, except for responses; atomic. */
    uint64_t draining;
} mb_intake_t;

/* Initializes an empty budget. A limit of time in `limits` that is shorter
   than the strict one also holds at the full budget. */
void mb_intake_init(mb_intake_t *intake, const mb_intake_limits_t *limits);
/* Derives the limits of bytes and connections from the memory and the file
   descriptors that the process has; `bytes_setting` and `connections_setting`
   are those of the operator (bytes 0: a part of the memory). Returns false if
   no useful limits fit. */
bool mb_intake_derive(mb_intake_limits_t *limits, uint64_t memory_bytes,
                      uint64_t descriptors, uint64_t bytes_setting,
                      uint64_t connections_setting);

/* Draws `extra` bytes for a connection that holds `held`. Returns false, and
   draws nothing, if the budget has no room for it. */
bool mb_intake_draw(mb_intake_t *intake, uint64_t held, uint64_t extra);
/* Draws bytes that are in use already, such as a response. */
void mb_intake_charge(mb_intake_t *intake, uint64_t bytes);
/* Returns bytes to the budget. */
void mb_intake_release(mb_intake_t *intake, uint64_t bytes);
/* Returns whether there is room for another connection of `bytes`. */
bool mb_intake_admits(mb_intake_t *intake, uint64_t bytes);
/* Takes one connection of `bytes`, which was admitted or replaces another. */
void mb_intake_open(mb_intake_t *intake, uint64_t bytes);
/* Returns a connection and its `bytes`. */
void mb_intake_close(mb_intake_t *intake, uint64_t bytes);
/* Returns the greatest number of bytes drawn since the latest call. */
uint64_t mb_intake_take_peak(mb_intake_t *intake);

/* Returns how full the budget is. */
mb_intake_pressure_t mb_intake_pressure(const mb_intake_t *intake);
/* Returns why a connection is to be closed at `now_ms` under a pressure, or
   MB_INTAKE_ALLOWED. */
mb_intake_reason_t mb_intake_judge(const mb_intake_t *intake,
                                   const mb_intake_holder_t *holder,
                                   const mb_intake_pressure_t *pressure,
                                   uint64_t now_ms);
/* Returns how soon a connection should be closed to make room, highest first;
   0: not at all. Idle connections are closed only for others, not for bytes:
   clients keep them open between requests. */
uint64_t mb_intake_rank(const mb_intake_holder_t *holder, bool for_connection,
                        uint64_t now_ms);
/* Returns whether connections should be closed to make room for bytes, when
   `bytes` are about to be returned; and the same for connections. */
bool mb_intake_is_short(const mb_intake_t *intake, uint64_t bytes);
bool mb_intake_is_crowded(const mb_intake_t *intake, uint64_t connections);
/* Returns the HTTP status of a refusal; 0 for a reason without a response. */
uint32_t mb_intake_status(mb_intake_reason_t reason);
/* Returns the name of a reason for log lines. */
const char *mb_intake_reason_name(mb_intake_reason_t reason);

/* Forecasts when the budget will have room again: by then, connections that
   hold an eighth of it reach a strict limit of time. */
typedef struct mb_intake_forecast {
    uint64_t bytes_by_s[MB_INTAKE_FORECAST_S];
} mb_intake_forecast_t;

/* Adds a connection to a forecast, which is all zero at first. */
void mb_intake_forecast_add(mb_intake_forecast_t *forecast,
                            const mb_intake_holder_t *holder, uint64_t now_ms);
/* Stores the time to state in Retry-After. */
void mb_intake_forecast_apply(const mb_intake_forecast_t *forecast,
                              mb_intake_t *intake);

#endif
