#include "mb_http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_error_json.h"

/* Memory for the request line and headers of a connection, in bytes. */
#define CONNECTION_MEMORY (32u * 1024u)

typedef enum exchange_state {
    EXCHANGE_READING,  /* the request is being received */
    EXCHANGE_WAITING,  /* the connection is suspended until the response */
    EXCHANGE_RESPONDED /* the response is set and may be sent */
} exchange_state_t;

/* A request and its response; freed in end_exchange. */
struct mb_http_exchange {
    mb_http_server_t *server;
    struct MHD_Connection *connection;
    uint64_t state; /* exchange_state_t; atomic */
    mb_buf_t method;
    mb_buf_t uri;
    mb_buf_t body;
    mb_headers_t headers; /* views into the connection's memory */
    bool too_large;       /* a part of the request exceeds its limit */
    uint32_t status;
    struct MHD_Response *response;
};

/* Callback of libmicrohttpd for the request target: creates the exchange. The
   target is stored here as the client sent it, because the access handler only
   gets it with its escapes decoded. */
static void *
begin_exchange(void *context, const char *uri,
               struct MHD_Connection *connection)
{
    mb_http_server_t *server = context;
    mb_http_exchange_t *exchange = g_new0(mb_http_exchange_t, 1);
    mb_str_t target = mb_str_from_cstr(uri);
    exchange->server = server;
    exchange->connection = connection;
    exchange->too_large = target.len > MB_URI_MAX;
    if (!exchange->too_large) {
        mb_buf_set(&exchange->uri, target);
    }
    (void)mb_atomic_add(&server->open_exchanges, 1);
    return exchange;
}

/* Callback of libmicrohttpd for the end of a request: frees the exchange after
   its response was sent or the client has closed the connection. */
static void
end_exchange(void *context, struct MHD_Connection *connection,
             void **request_context, enum MHD_RequestTerminationCode code)
{
    mb_http_server_t *server = context;
    mb_http_exchange_t *exchange = *request_context;
    (void)connection;
    (void)code;
    if (exchange == NULL) {
        return;
    }
    *request_context = NULL;
    mb_buf_finish(&exchange->method);
    mb_buf_finish(&exchange->uri);
    mb_buf_finish(&exchange->body);
    if (exchange->response != NULL) {
        MHD_destroy_response(exchange->response);
    }
    g_free(exchange);
    (void)mb_atomic_sub(&server->open_exchanges, 1);
}

/* Adds a view of a header; the text stays in the connection's memory. */
static enum MHD_Result
collect_header(void *context, enum MHD_ValueKind kind, const char *name,
               const char *value)
{
    mb_http_exchange_t *exchange = context;
    mb_headers_t *headers = &exchange->headers;
    (void)kind;
    if (headers->count == MB_HEADERS_MAX) {
        exchange->too_large = true;
        return MHD_NO;
    }
    headers->items[headers->count++] =
        (mb_header_t){mb_str_from_cstr(name), mb_str_from_cstr(value)};
    return MHD_YES;
}

/* Appends a part of the request body, up to MB_BODY_MAX bytes in all. */
static void
append_upload(mb_http_exchange_t *exchange, const char *data, size_t size)
{
    if (exchange->body.len + size > MB_BODY_MAX) {
        exchange->too_large = true;
        return;
    }
    mb_buf_append(&exchange->body, (mb_str_t){data, size});
}

/* Passes a complete request to the handler, or rejects one that is too large.
   The connection is suspended first, because another thread may respond at
   once. */
static void
dispatch_exchange(mb_http_exchange_t *exchange)
{
    mb_http_server_t *server = exchange->server;
    (void)MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND,
                                    collect_header, exchange);
    mb_atomic_store(&exchange->state, EXCHANGE_WAITING);
    MHD_suspend_connection(exchange->connection);
    if (exchange->too_large) {
        mb_http_respond_error(exchange, MB_KIND_TOO_LARGE,
                              MB_STR_LIT("request target, headers or body "
                                         "exceed the limit"));
        return;
    }
    server->config.handle(server->config.context, exchange);
}

/* Access handler of libmicrohttpd, on a server thread: called when the headers
   have been read, for each part of the body, at the end of the body, and when
   a suspended connection is resumed to send the response. */
static enum MHD_Result
handle_access(void *context, struct MHD_Connection *connection,
              const char *url, const char *method, const char *version,
              const char *upload, size_t *upload_size, void **request_context)
{
    mb_http_exchange_t *exchange = *request_context;
    (void)context;
    (void)url;
    (void)version;
    if (mb_atomic_load(&exchange->state) == EXCHANGE_RESPONDED) {
        return MHD_queue_response(connection, exchange->status,
                                  exchange->response);
    }
    if (exchange->method.len == 0) {
        mb_buf_set(&exchange->method, mb_str_from_cstr(method));
        return MHD_YES;
    }
    if (*upload_size > 0) {
        append_upload(exchange, upload, *upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    if (mb_atomic_load(&exchange->state) == EXCHANGE_READING) {
        dispatch_exchange(exchange);
    }
    return MHD_YES;
}

/* Starts the server; the error names the port, for instance when it is in
   use. */
bool
mb_http_server_init(mb_http_server_t *server,
                    const mb_http_server_config_t *config, GError **error)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    address.sin_addr.s_addr = htonl(config->ip);
    address.sin_port = htons(config->port);
    server->config = *config;
    server->open_exchanges = 0;
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        config->port, NULL, NULL, handle_access, server, MHD_OPTION_SOCK_ADDR,
        &address, MHD_OPTION_THREAD_POOL_SIZE, (unsigned)config->threads,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)config->max_connections,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)config->idle_timeout_s,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
        MHD_OPTION_URI_LOG_CALLBACK, begin_exchange, server,
        MHD_OPTION_NOTIFY_COMPLETED, end_exchange, server, MHD_OPTION_END);
    if (server->daemon == NULL) {
        mb_error_set(error, MB_KIND_IO, "cannot listen on port %u: %s",
                     config->port, g_strerror(errno));
        return false;
    }
    return true;
}

/* Closes the listening socket; open connections are still served. */
void
mb_http_server_quiesce(mb_http_server_t *server)
{
    int fd = MHD_quiesce_daemon(server->daemon);
    if (fd >= 0) {
        (void)close(fd);
    }
}

/* Stops the server. All requests must have been answered. */
void
mb_http_server_finish(mb_http_server_t *server)
{
    MHD_stop_daemon(server->daemon);
    server->daemon = NULL;
}

/* Returns the number of exchanges that have not ended. */
uint64_t
mb_http_server_count_open(const mb_http_server_t *server)
{
    return mb_atomic_load(&server->open_exchanges);
}

/* Returns the request method. */
mb_str_t
mb_http_method(const mb_http_exchange_t *exchange)
{
    return mb_buf_view(&exchange->method);
}

/* Returns the path with its query, as sent by the client. */
mb_str_t
mb_http_uri(const mb_http_exchange_t *exchange)
{
    return mb_buf_view(&exchange->uri);
}

/* Returns all headers in the order received. */
const mb_headers_t *
mb_http_headers(const mb_http_exchange_t *exchange)
{
    return &exchange->headers;
}

/* Returns the value of the first header with this name, in any case, or the
   empty view. */
mb_str_t
mb_http_header(const mb_http_exchange_t *exchange, mb_str_t name)
{
    for (uint32_t i = 0; i < exchange->headers.count; i++) {
        const mb_header_t *header = &exchange->headers.items[i];
        if (header->name.len == name.len &&
            g_ascii_strncasecmp(header->name.data, name.data, name.len) == 0) {
            return header->value;
        }
    }
    return MB_STR_EMPTY;
}

/* Returns the complete body, empty if there is none. */
mb_str_t
mb_http_body(const mb_http_exchange_t *exchange)
{
    return mb_buf_view(&exchange->body);
}

/* Sets the response and resumes the connection; from any thread, once. After
   that the server may free the exchange at any time. */
void
mb_http_respond(mb_http_exchange_t *exchange, uint32_t status,
                const mb_headers_t *headers, mb_str_t body)
{
    struct MHD_Connection *connection = exchange->connection;
    exchange->status = status;
    exchange->response = MHD_create_response_from_buffer(
        body.len, (void *)body.data, MHD_RESPMEM_MUST_COPY);
    for (uint32_t i = 0; headers != NULL && i < headers->count; i++) {
        g_autofree char *name = mb_str_to_cstr(headers->items[i].name);
        g_autofree char *value = mb_str_to_cstr(headers->items[i].value);
        (void)MHD_add_response_header(exchange->response, name, value);
    }
    mb_atomic_store(&exchange->state, EXCHANGE_RESPONDED);
    MHD_resume_connection(connection);
}

/* Responds with the HTTP status of an error kind, whether the request may have
   run, and a JSON body. */
void
mb_http_respond_error(mb_http_exchange_t *exchange, mb_kind_t kind,
                      mb_str_t message)
{
    const mb_kind_info_t *info = mb_kind_info(kind);
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_headers_t headers = {.count = 2};
    headers.items[0] = (mb_header_t){MB_STR_LIT("Content-Type"),
                                     MB_STR_LIT("application/json")};
    headers.items[1] = (mb_header_t){MB_STR_LIT("X-Magnoliabarrow-Run"),
                                     info->may_have_run ? MB_STR_LIT("unknown")
                                                        : MB_STR_LIT("no")};
    mb_error_json_write(&body, kind, message);
    mb_http_respond(exchange, (uint32_t)info->http_status, &headers,
                    mb_buf_view(&body));
}
