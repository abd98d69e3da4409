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
/* Size to which the buffer of a body grows first, in bytes; it doubles after
   that. */
#define BODY_FIRST_BYTES 1024u
/* Default limits of time in calm, in milliseconds. No request within the
   limits of size takes longer on a link of 4 kB/s. */
#define HEAD_TIMEOUT_MS 60000u
#define REQUEST_TIMEOUT_MS 300000u

typedef enum exchange_state {
    EXCHANGE_READING,  /* the request is being received */
    EXCHANGE_WAITING,  /* the connection is suspended until the response */
    EXCHANGE_RESPONDED /* the response is set and may be sent */
} exchange_state_t;

/* A request and its response; freed in end_exchange. */
struct mb_http_exchange {
    mb_http_server_t *server;
    struct MHD_Connection *connection;
    mb_http_connection_t *client; /* the limits of the connection */
    uint64_t state;               /* exchange_state_t; atomic */
    mb_buf_t method;
    mb_buf_t uri;
    mb_buf_t body;
    mb_headers_t headers; /* views into the connection's memory */
    size_t body_max;
    bool too_large; /* a part of the request exceeds its limit */
    uint32_t status;
    struct MHD_Response *response;
};

/* Returns the state that the registry keeps of a connection. */
static mb_http_connection_t *
get_client(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info->socket_context;
}

/* Callback of libmicrohttpd that decides whether to accept a connection. */
static enum MHD_Result
admit_connection(void *context, const struct sockaddr *address,
                 socklen_t length)
{
    mb_http_server_t *server = context;
    (void)address;
    (void)length;
    return mb_http_registry_admit(&server->registry) ? MHD_YES : MHD_NO;
}

/* Callback of libmicrohttpd for the start of a connection, and for its end,
   before the socket is closed. */
static void
note_connection(void *context, struct MHD_Connection *connection,
                void **socket_context,
                enum MHD_ConnectionNotificationCode code)
{
    mb_http_server_t *server = context;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        int fd = MHD_get_connection_info(connection,
                                         MHD_CONNECTION_INFO_CONNECTION_FD)
                     ->connect_fd;
        *socket_context = mb_http_connection_new(&server->registry, fd);
    }
    else if (*socket_context != NULL) {
        mb_http_connection_free(*socket_context);
        *socket_context = NULL;
    }
}

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
    exchange->client = get_client(connection);
    (void)mb_http_connection_enter(exchange->client, MB_INTAKE_IDLE,
                                   MB_INTAKE_HEAD);
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
    mb_http_connection_hold(exchange->client, 0);
    (void)mb_http_connection_enter(exchange->client, MB_INTAKE_RESPONSE,
                                   MB_INTAKE_IDLE);
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

/* Returns the limit of the body of a request. */
static size_t
get_body_max(const mb_http_server_t *server)
{
    const mb_http_server_config_t *config = &server->config;
    size_t limit = config->body_max != 0 ? config->body_max : MB_BODY_MAX;
    if (config->get_body_max != NULL) {
        limit = MIN(limit, config->get_body_max(config->context));
    }
    return limit;
}

/* Refuses a request that is being received. What was received is freed, and
   nothing of the rest is kept. */
static void
refuse(mb_http_exchange_t *exchange, mb_intake_reason_t reason)
{
    mb_buf_finish(&exchange->body);
    mb_http_connection_refuse(exchange->client, reason);
}

/* Starts the body of a request whose headers are complete, or refuses the
   request if a part of it is larger than allowed, or is announced so. Returns
   MHD_NO if the connection is being closed. */
static enum MHD_Result
begin_body(mb_http_exchange_t *exchange, const char *method)
{
    uint64_t announced = 0;
    const char *length = MHD_lookup_connection_value(
        exchange->connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    mb_buf_set(&exchange->method, mb_str_from_cstr(method));
    if (!mb_http_connection_enter(exchange->client, MB_INTAKE_HEAD,
                                  MB_INTAKE_BODY)) {
        return MHD_NO;
    }
    exchange->body_max = get_body_max(exchange->server);
    (void)MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND,
                                    collect_header, exchange);
    if (exchange->too_large ||
        (length != NULL &&
         mb_str_to_u64(mb_str_from_cstr(length), &announced) &&
         announced > exchange->body_max)) {
        refuse(exchange, MB_INTAKE_TOO_LARGE);
    }
    return MHD_YES;
}

/* Makes room for `size` more bytes of the body, which are drawn from the
   budget of the server. */
static bool
reserve_body(mb_http_exchange_t *exchange, size_t size)
{
    mb_buf_t *body = &exchange->body;
    size_t capacity = MAX(body->cap, BODY_FIRST_BYTES);
    if (body->len + size <= body->cap) {
        return true;
    }
    while (capacity < body->len + size) {
        capacity *= 2;
    }
    capacity = MIN(capacity, exchange->body_max);
    if (!mb_http_connection_draw(exchange->client, capacity - body->cap)) {
        return false;
    }
    body->data = g_realloc(body->data, capacity);
    body->cap = capacity;
    return true;
}

/* Adds a part of the body, or drops it if the request is refused. Returns
   MHD_NO if the connection is to be closed. */
static enum MHD_Result
append_upload(mb_http_exchange_t *exchange, mb_str_t part)
{
    mb_http_connection_t *client = exchange->client;
    if (mb_atomic_load(&client->phase) != MB_INTAKE_BODY) {
        return mb_http_connection_drop(client, part.len) ? MHD_YES : MHD_NO;
    }
    mb_http_connection_note_progress(client);
    if (exchange->body.len + part.len > exchange->body_max) {
        refuse(exchange, MB_INTAKE_TOO_LARGE);
    }
    else if (!reserve_body(exchange, part.len)) {
        refuse(exchange, MB_INTAKE_EXHAUSTED);
    }
    else {
        mb_buf_append(&exchange->body, part);
    }
    return MHD_YES;
}

/* Passes a complete request to the handler, unless it was refused. The
   connection is suspended first, because another thread may respond at once.
   Returns MHD_NO if the connection is to be closed. */
static enum MHD_Result
dispatch_exchange(mb_http_exchange_t *exchange)
{
    mb_http_server_t *server = exchange->server;
    if (!mb_http_connection_enter(exchange->client, MB_INTAKE_BODY,
                                  MB_INTAKE_RUNNING)) {
        return MHD_NO;
    }
    mb_atomic_store(&exchange->state, EXCHANGE_WAITING);
    MHD_suspend_connection(exchange->connection);
    server->config.handle(server->config.context, exchange);
    return MHD_YES;
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
        return begin_body(exchange, method);
    }
    if (*upload_size > 0) {
        mb_str_t part = {upload, *upload_size};
        *upload_size = 0;
        return append_upload(exchange, part);
    }
    if (mb_atomic_load(&exchange->state) == EXCHANGE_READING) {
        return dispatch_exchange(exchange);
    }
    return MHD_YES;
}

/* Sets up the registry of the connections, with defaults for the limits of
   time that are not set. */
static void
init_registry(mb_http_server_t *server)
{
    const mb_http_server_config_t *config = &server->config;
    mb_intake_limits_t limits = config->limits;
    uint32_t idle_ms = config->idle_timeout_s * MB_MS_PER_S;
    limits.connections_max = config->max_connections;
    limits.calm.head_ms =
        limits.calm.head_ms != 0 ? limits.calm.head_ms : HEAD_TIMEOUT_MS;
    limits.calm.request_ms = limits.calm.request_ms != 0
                                 ? limits.calm.request_ms
                                 : REQUEST_TIMEOUT_MS;
    limits.calm.response_ms = limits.calm.request_ms;
    limits.calm.stall_ms = idle_ms;
    /* The library closes a connection without a request after the idle
       time-out. Only one whose request line never ends lasts longer. */
    limits.calm.idle_ms = idle_ms + limits.calm.head_ms;
    mb_http_registry_init(&server->registry, &limits,
                          config->name != NULL ? config->name : "http",
                          config->log, config->metrics);
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
    uint32_t spare = config->max_connections / MB_INTAKE_SPARE_SHARE;
    server->config = *config;
    server->open_exchanges = 0;
    init_registry(server);
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        config->port, admit_connection, server, handle_access, server,
        MHD_OPTION_NOTIFY_CONNECTION, note_connection, server,
        MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_THREAD_POOL_SIZE,
        (unsigned)config->threads, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)(config->max_connections + spare),
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

/* Enforces the limits of clients. */
void
mb_http_server_tick(mb_http_server_t *server)
{
    mb_http_registry_sweep(&server->registry);
}

/* Closes the listening socket; open connections are still served. */
void
mb_http_server_quiesce(mb_http_server_t *server)
{
    mb_atomic_store(&server->registry.intake.draining, 1);
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
    mb_buf_finish(&exchange->body);
    mb_http_connection_hold(exchange->client, body.len);
    (void)mb_http_connection_enter(exchange->client, MB_INTAKE_RUNNING,
                                   MB_INTAKE_RESPONSE);
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
