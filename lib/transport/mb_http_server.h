/* HTTP server on libmicrohttpd that passes complete requests to a callback and
   lets any thread send the response later. */
#ifndef MB_HTTP_SERVER_H
#define MB_HTTP_SERVER_H

#include <microhttpd.h>

#include "mb_http_connection.h"
#include "mb_message.h"

/* Maximum size of a request target (path with query), in bytes. */
#define MB_URI_MAX (8u * 1024u)

/* A request and its response. Owned by the server, and valid until the call of
   mb_http_respond or mb_http_respond_error. */
typedef struct mb_http_exchange mb_http_exchange_t;

typedef struct mb_http_server_config {
    uint32_t ip; /* host byte order */
    uint16_t port;
    uint32_t threads; /* in the pool that handles connections */
    uint32_t max_connections;
    uint32_t idle_timeout_s;
    /* Limits of what clients may hold. Of the limits of time, only those of
       the headers and of a whole request are used; 0 gives their defaults.
       Bytes of 0 are not limited, and `max_connections` is the limit of
       connections. */
    mb_intake_limits_t limits;
    size_t body_max; /* of a request; 0: MB_BODY_MAX */
    /* Returns a lower limit of the body that is in force now, or is NULL;
       called on the server threads. */
    size_t (*get_body_max)(void *context);
    const char *name;                 /* of the listener; NULL: "http" */
    const mb_log_t *log;              /* or NULL */
    const mb_http_metrics_t *metrics; /* or NULL */
    /* Handles a complete request; called on several server threads at once.
       Each request must get exactly one response, during the call or later,
       from any thread. */
    void (*handle)(void *context, mb_http_exchange_t *exchange);
    void *context;
} mb_http_server_config_t;

typedef struct mb_http_server {
    mb_http_server_config_t config;
    struct MHD_Daemon *daemon;
    mb_http_registry_t registry;
    uint64_t open_exchanges; /* atomic */
} mb_http_server_t;

/* Starts the server. Returns false with `error` set, for instance when the
   port is in use. */
bool mb_http_server_init(mb_http_server_t *server,
                         const mb_http_server_config_t *config,
                         GError **error);
/* Enforces the limits of clients; called at least ten times a second by one
   thread. Without it, only the limits of memory and of connections hold. */
void mb_http_server_tick(mb_http_server_t *server);
/* Closes the listening socket; open connections are still served, with strict
   limits of time except for responses. */
void mb_http_server_quiesce(mb_http_server_t *server);
/* Stops the server. All requests must have been answered. */
void mb_http_server_finish(mb_http_server_t *server);
/* Returns the number of requests that are being received or whose response is
   not sent yet; from any thread. */
uint64_t mb_http_server_count_open(const mb_http_server_t *server);

/* Returns the request method. Like the other accessors, it returns a view that
   is valid as long as the exchange. */
mb_str_t mb_http_method(const mb_http_exchange_t *exchange);
/* Returns the request target as sent by the client, with its query and with
   escapes not decoded. */
mb_str_t mb_http_uri(const mb_http_exchange_t *exchange);
/* Returns all headers in the order received. */
const mb_headers_t *mb_http_headers(const mb_http_exchange_t *exchange);
/* Returns the value of the first header with this name, compared without
   regard to case, or an empty view. */
mb_str_t mb_http_header(const mb_http_exchange_t *exchange, mb_str_t name);
/* Returns the complete body, empty if there is none. */
mb_str_t mb_http_body(const mb_http_exchange_t *exchange);
/* Sends the response, from any thread. `headers` may be NULL; headers and body
   are copied. To be called exactly once for each exchange, which must not be
   used afterwards. */
void mb_http_respond(mb_http_exchange_t *exchange, uint32_t status,
                     const mb_headers_t *headers, mb_str_t body);
/* Sends an error response in place of mb_http_respond: the HTTP status of the
   error kind, a header that says whether the request may have run, and a JSON
   body with the message. */
void mb_http_respond_error(mb_http_exchange_t *exchange, mb_kind_t kind,
                           mb_str_t message);

#endif
