/* HTTP requests through libcurl, driven by an event loop. Used only on the
   loop's thread. */
#ifndef MB_HTTP_CLIENT_H
#define MB_HTTP_CLIENT_H

#include <curl/curl.h>

#include "mb_loop.h"
#include "mb_message.h"

/* The result of one call. With `kind` other than MB_KIND_COUNT there was no
   whole response, and the kind tells whether the request may have run. */
typedef struct mb_http_result {
    mb_kind_t kind;
    uint32_t status;
    mb_headers_t headers;
    mb_str_t body;
} mb_http_result_t;

/* What to send; the views need to be valid only during mb_http_client_call. */
typedef struct mb_http_call {
    mb_str_t method;
    mb_str_t url;
    const mb_headers_t *headers;
    mb_str_t body;
    uint32_t timeout_ms;
    /* Whether the request may reach the server twice. */
    bool idempotent;
    /* Called once on the loop's thread; the result is valid during the call.
     */
    void (*done)(void *context, const mb_http_result_t *result);
    void *context;
} mb_http_call_t;

typedef struct mb_http_client {
    mb_loop_t *loop;
    CURLM *multi;
    mb_loop_source_t timer;
    uint64_t curl_deadline_us; /* when libcurl wants to run; 0: not at all */
    uint64_t timer_expiry_us;  /* when the timer runs out; 0: it is stopped */
    mb_loop_deferred_t immediate_timeout;
    uint32_t active;
    uint32_t max_active;
    size_t max_body;
} mb_http_client_t;

bool mb_http_client_init(mb_http_client_t *client, mb_loop_t *loop,
                         uint32_t max_connections, size_t max_body,
                         GError **error);
void mb_http_client_finish(mb_http_client_t *client);
bool mb_http_client_call(mb_http_client_t *client, const mb_http_call_t *call);

#endif
