/* An HTTP server on libmicrohttpd that hands whole requests to a callback
   and lets any thread answer them later. */
#ifndef MB_HTTP_SERVER_H
#define MB_HTTP_SERVER_H

#include <microhttpd.h>

#include "mb_message.h"

/* Longest request target (path with query), in bytes. */
#define MB_URI_MAX (8u * 1024u)

typedef struct mb_http_exchange mb_http_exchange_t;

typedef struct mb_http_server_config {
    uint32_t ip; /* host byte order */
    uint16_t port;
    uint32_t threads;
    uint32_t max_connections;
    uint32_t idle_timeout_s;
    /* Takes a whole request on a server thread; must lead to exactly one
       answer, from any thread. */
    void (*handle)(void *context, mb_http_exchange_t *exchange);
    void *context;
} mb_http_server_config_t;

typedef struct mb_http_server {
    mb_http_server_config_t config;
    struct MHD_Daemon *daemon;
    uint64_t open_exchanges;
} mb_http_server_t;

bool mb_http_server_init(mb_http_server_t *server,
                         const mb_http_server_config_t *config,
                         GError **error);
void mb_http_server_quiesce(mb_http_server_t *server);
void mb_http_server_finish(mb_http_server_t *server);
uint64_t mb_http_server_count_open(const mb_http_server_t *server);

mb_str_t mb_http_method(const mb_http_exchange_t *exchange);
mb_str_t mb_http_uri(const mb_http_exchange_t *exchange);
const mb_headers_t *mb_http_headers(const mb_http_exchange_t *exchange);
mb_str_t mb_http_header(const mb_http_exchange_t *exchange, mb_str_t name);
mb_str_t mb_http_body(const mb_http_exchange_t *exchange);
void mb_http_respond(mb_http_exchange_t *exchange, uint32_t status,
                     const mb_headers_t *headers, mb_str_t body);
void mb_http_respond_error(mb_http_exchange_t *exchange, mb_kind_t kind,
                           mb_str_t message);

#endif
