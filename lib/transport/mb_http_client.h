/* Asynchronous HTTP client: runs requests with libcurl on an event loop. Used
   on the thread of the loop, or while that thread is not running. */
#ifndef MB_HTTP_CLIENT_H
#define MB_HTTP_CLIENT_H

#include <curl/curl.h>

#include "mb_loop.h"
#include "mb_message.h"

/* The result of a call. `kind` is MB_KIND_COUNT when a complete response was
   received. Any other kind means that there was none, and tells whether the
   request may have run. */
typedef struct mb_http_result {
    mb_kind_t kind;
    uint32_t status;
    mb_headers_t headers;
    mb_str_t body; /* without a complete response: the part received */
    bool connection_reused; /* sent on a connection of an earlier call */
} mb_http_result_t;

/* A request to send. The views need to be valid during mb_http_client_call
   only. */
typedef struct mb_http_call {
    mb_str_t method;
    mb_str_t url;
    const mb_headers_t *headers; /* or NULL; hop-by-hop ones are left out */
    mb_str_t body;
    /* Maximum time of the call; 0: unlimited. */
    uint32_t timeout_ms;
    /* Maximum time in which no byte is sent or received; 0: unlimited. A call
       of unknown size is limited by this, so that a slow link does not fail
       it. */
    uint32_t idle_timeout_ms;
    /* Whether the request may reach the server twice; if not, libcurl is kept
       from repeating it. */
    bool idempotent;
    /* Called once on the loop thread, after mb_http_client_call has returned;
       the result is valid during the call. */
    void (*done)(void *context, const mb_http_result_t *result);
    void *context;
} mb_http_call_t;

typedef struct mb_http_client {
    mb_loop_t *loop;
    CURLM *multi;
    mb_loop_source_t timer;    /* a timerfd */
    uint64_t curl_deadline_us; /* when libcurl's time-out expires; 0: none */
    uint64_t idle_deadline_us; /* when an idle time-out may expire; 0: none */
    uint64_t timer_expiry_us;  /* when `timer` expires; 0: not armed */
    mb_loop_deferred_t immediate_timeout; /* for time-outs of 0 ms */
    mb_loop_deferred_t idle_check;        /* fails calls that are idle */
    /* The latest call with an idle time-out exceeded it. Connections of the
       pool may have gone silent together with its connection. */
    bool pool_suspect;
    uint64_t suspect_before_us; /* time of the latest such time-out; 0: none */
    GQueue idle_limited;        /* calls with an idle time-out */
    uint32_t active;            /* calls in progress */
    uint32_t max_active;
    size_t max_body; /* maximum size of a response body, in bytes */
    /* Bytes of the responses of all calls in progress, and their maximum, set
       after mb_http_client_init; 0: unlimited. A call that exceeds it fails
       like one whose response is too large. */
    size_t received;
    size_t received_max;
} mb_http_client_t;

/* Initializes a client that runs up to `max_connections` calls at a time,
   keeps as many connections open for reuse, and fails calls whose response
   body is larger than `max_body` bytes. To be called before the loop thread
   starts. Returns false with `error` set on failure. */
bool mb_http_client_init(mb_http_client_t *client, mb_loop_t *loop,
                         uint32_t max_connections, size_t max_body,
                         GError **error);
/* Releases the client; all calls must have ended. */
void mb_http_client_finish(mb_http_client_t *client);
/* Starts a call. Returns false when the maximum number of calls is in progress
   or libcurl fails; nothing was sent then and `done` is not called. */
bool mb_http_client_call(mb_http_client_t *client, const mb_http_call_t *call);

#endif
