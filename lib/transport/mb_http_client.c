#include "mb_http_client.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "mb_cleanup.h"
#include "mb_clock.h"

/* A call in progress. */
typedef struct transfer {
    mb_http_client_t *client;
    CURL *easy;
    struct curl_slist *headers;
    mb_buf_t request_body;
    size_t request_sent;    /* bytes of the body that libcurl has read */
    mb_buf_t response_head; /* raw header lines of the latest response */
    mb_buf_t response_body;
    bool too_large;            /* the response exceeds a limit */
    uint64_t idle_timeout_us;  /* 0: unlimited */
    uint64_t progress_us;      /* when a byte was last sent or received */
    curl_off_t progress_bytes; /* sent and received until then */
    void (*done)(void *context, const mb_http_result_t *result);
    void *context;
} transfer_t;

/* A socket of libcurl that the loop watches. */
typedef struct socket_watch {
    mb_http_client_t *client;
    mb_loop_source_t source;
} socket_watch_t;

/* Returns the present time of the clock that the timer uses, in
   microseconds. */
static uint64_t
now_us(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_us(&clock);
}

/* Returns whether a header applies to a single connection (RFC 9110, 7.6.1) or
   is set by libcurl, and so must not be forwarded. */
static bool
is_hop_by_hop_header(mb_str_t name)
{
    static const char *const names[] = {
        "connection", "keep-alive",        "proxy-connection", "te",
        "trailer",    "transfer-encoding", "upgrade",          "host",
        "expect",     "content-length"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (name.len == strlen(names[i]) &&
            g_ascii_strncasecmp(name.data, names[i], name.len) == 0) {
            return true;
        }
    }
    return false;
}

/* Splits "Name: value" lines into views. Lines without a colon, such as the
   status line, hop-by-hop headers and those beyond MB_HEADERS_MAX are left
   out. */
static void
parse_head(mb_str_t head, mb_headers_t *headers)
{
    mb_str_t line;
    headers->count = 0;
    while (headers->count < MB_HEADERS_MAX &&
           mb_str_split(&head, '\n', &line)) {
        mb_str_t value = line;
        mb_str_t name;
        if (!mb_str_split(&value, ':', &name) || name.len == line.len ||
            is_hop_by_hop_header(name)) {
            continue;
        }
        headers->items[headers->count++] =
            (mb_header_t){name, mb_str_trim(value)};
    }
}

/* Frees a call and its libcurl handle. */
static void
free_transfer(transfer_t *transfer)
{
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->headers);
    mb_buf_finish(&transfer->request_body);
    mb_buf_finish(&transfer->response_head);
    mb_buf_finish(&transfer->response_body);
    g_free(transfer);
}

/* Maps an error of libcurl to an error kind. Only a failure to resolve the
   host or to connect proves that the request did not run, because nothing was
   sent. */
static mb_kind_t
get_error_kind(const transfer_t *transfer, CURLcode code)
{
    if (transfer->too_large) {
        return MB_KIND_UPSTREAM_FAILED;
    }
    switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return MB_KIND_UNAVAILABLE;
    case CURLE_OPERATION_TIMEDOUT:
        return MB_KIND_UNKNOWN_OUTCOME;
    default:
        return MB_KIND_UPSTREAM_FAILED;
    }
}

/* Notes whether a call with an idle time-out exceeded it. */
static void
note_idle_result(mb_http_client_t *client, CURLcode code)
{
    client->pool_suspect = code == CURLE_OPERATION_TIMEDOUT;
    if (client->pool_suspect) {
        client->suspect_before_us = now_us();
    }
}

/* Passes the result of a finished call to its callback and frees the call. */
static void
finish_transfer(transfer_t *transfer, CURLcode code)
{
    mb_http_result_t result = {.kind = MB_KIND_COUNT};
    long status = 0;
    long new_connections = 0;
    double sent_after_s = 0; /* 0: the request was not sent */
    (void)curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    (void)curl_easy_getinfo(transfer->easy, CURLINFO_NUM_CONNECTS,
                            &new_connections);
    (void)curl_easy_getinfo(transfer->easy, CURLINFO_PRETRANSFER_TIME,
                            &sent_after_s);
#ifdef MB_MUTANT_PART_PASSED_AS_WHOLE
    code = code == CURLE_PARTIAL_FILE ? CURLE_OK : code;
#endif
    if (code != CURLE_OK) {
        result.kind = get_error_kind(transfer, code);
    }
    result.status = (uint32_t)status;
    parse_head(mb_buf_view(&transfer->response_head), &result.headers);
    result.body = mb_buf_view(&transfer->response_body);
    result.connection_reused = new_connections == 0 && sent_after_s > 0;
    if (transfer->idle_timeout_us > 0) {
        note_idle_result(transfer->client, code);
        (void)g_queue_remove(&transfer->client->idle_limited, transfer);
    }
    (void)curl_multi_remove_handle(transfer->client->multi, transfer->easy);
    transfer->client->active--;
    transfer->done(transfer->context, &result);
    free_transfer(transfer);
}

/* Finishes all calls that libcurl reports as done. */
static void
collect_done(mb_http_client_t *client)
{
    CURLMsg *message;
    int remaining;
    while ((message = curl_multi_info_read(client->multi, &remaining)) !=
           NULL) {
        if (message->msg == CURLMSG_DONE) {
            transfer_t *transfer;
            CURLcode code = message->data.result;
            (void)curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                                    (char **)&transfer);
            finish_transfer(transfer, code);
        }
    }
}

/* Passes the events of a socket to libcurl. */
static void
socket_ready(void *context, uint32_t events)
{
    socket_watch_t *watch = context;
    mb_http_client_t *client = watch->client;
    int running;
    int flags = 0;
    flags |= (events & EPOLLIN) ? CURL_CSELECT_IN : 0;
    flags |= (events & EPOLLOUT) ? CURL_CSELECT_OUT : 0;
    flags |= (events & (EPOLLERR | EPOLLHUP)) ? CURL_CSELECT_ERR : 0;
    (void)curl_multi_socket_action(client->multi, watch->source.fd, flags,
                                   &running);
    collect_done(client);
}

/* Socket callback of libcurl: adds, changes or removes the watch of a
   socket. */
static int
watch_socket(CURL *easy, curl_socket_t fd, int what, void *context,
             void *socket_context)
{
    mb_http_client_t *client = context;
    socket_watch_t *watch = socket_context;
    uint32_t events = 0;
    (void)easy;
    if (what == CURL_POLL_REMOVE) {
        if (watch != NULL) {
            mb_loop_remove(client->loop, &watch->source);
            g_free(watch);
        }
        return 0;
    }
    events |= (what & CURL_POLL_IN) ? EPOLLIN : 0;
    events |= (what & CURL_POLL_OUT) ? EPOLLOUT : 0;
    if (watch != NULL) {
        mb_loop_modify(client->loop, &watch->source, events);
        return 0;
    }
    watch = g_new0(socket_watch_t, 1);
    watch->client = client;
    watch->source = (mb_loop_source_t){fd, socket_ready, watch};
    (void)mb_loop_add(client->loop, &watch->source, events);
    (void)curl_multi_assign(client->multi, fd, watch);
    return 0;
}

/* Returns the earlier of two times, of which 0 means none. */
static uint64_t
earlier_time(uint64_t a_us, uint64_t b_us)
{
    return a_us == 0 || (b_us != 0 && b_us < a_us) ? b_us : a_us;
}

/* Arms the timer so that it expires no later than the time-out of libcurl and
   the first idle time-out. A timer that expires earlier is not changed: both
   change with each call, and nearly all calls end before them, so most of
   these changes need no system call. */
static void
arm_timer(mb_http_client_t *client)
{
    struct itimerspec when = {0};
    uint64_t deadline_us =
        earlier_time(client->curl_deadline_us, client->idle_deadline_us);
    if (deadline_us == 0 || (client->timer_expiry_us != 0 &&
                             client->timer_expiry_us <= deadline_us)) {
        return;
    }
    client->timer_expiry_us = deadline_us;
    when.it_value.tv_sec = (time_t)(client->timer_expiry_us / MB_US_PER_S);
    when.it_value.tv_nsec =
        (long)(client->timer_expiry_us % MB_US_PER_S) * 1000L;
    (void)timerfd_settime(client->timer.fd, TFD_TIMER_ABSTIME, &when, NULL);
}

/* Timer callback of libcurl: stores its new time-out, where a negative one
   means none. libcurl sets a time-out of 0 ms for each new call. It must not
   be called back from here, so that such a time-out is handled after the
   current batch of events, without the timer. */
static int
set_timer(CURLM *multi, long timeout_ms, void *context)
{
    mb_http_client_t *client = context;
    (void)multi;
    mb_loop_cancel_deferred(client->loop, &client->immediate_timeout);
    client->curl_deadline_us = 0;
    if (timeout_ms == 0) {
        mb_loop_defer(client->loop, &client->immediate_timeout);
    }
    else if (timeout_ms > 0) {
        client->curl_deadline_us =
            now_us() + (uint64_t)timeout_ms * MB_US_PER_MS;
        arm_timer(client);
    }
    return 0;
}

/* Tells libcurl that its time-out has expired. */
static void
run_timeout(void *context)
{
    mb_http_client_t *client = context;
    int running;
    (void)curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
                                   &running);
    collect_done(client);
}

/* Progress callback of libcurl: notes when bytes were sent or received. */
static int
note_progress(void *context, curl_off_t download_total, curl_off_t downloaded,
              curl_off_t upload_total, curl_off_t uploaded)
{
    transfer_t *transfer = context;
    (void)download_total;
    (void)upload_total;
    if (downloaded + uploaded != transfer->progress_bytes) {
        transfer->progress_bytes = downloaded + uploaded;
#ifndef MB_MUTANT_IDLE_TIMEOUT_IS_TOTAL
        transfer->progress_us = now_us();
#endif
    }
    return 0;
}

/* Takes a call whose idle time-out has expired off the list, or returns NULL
   and sets the time at which the next one may expire. */
static transfer_t *
take_idle(mb_http_client_t *client)
{
    uint64_t time_us = now_us();
    client->idle_deadline_us = 0;
    for (GList *link = client->idle_limited.head; link; link = link->next) {
        transfer_t *transfer = link->data;
        uint64_t deadline_us =
            transfer->progress_us + transfer->idle_timeout_us;
        if (deadline_us <= time_us) {
            g_queue_delete_link(&client->idle_limited, link);
            return transfer;
        }
        client->idle_deadline_us =
            earlier_time(client->idle_deadline_us, deadline_us);
    }
    return NULL;
}

/* Fails the calls whose idle time-out has expired. */
static void
fail_idle(void *context)
{
    mb_http_client_t *client = context;
    transfer_t *transfer;
    while ((transfer = take_idle(client)) != NULL) {
        finish_transfer(transfer, CURLE_OPERATION_TIMEDOUT);
    }
    arm_timer(client);
}

/* Handles the expiry of the timer. The time-outs may be later by now; the
   timer is armed for them again. Idle calls are looked for after the current
   batch of events, which may contain the bytes that a call waits for. */
static void
timer_ready(void *context, uint32_t events)
{
    mb_http_client_t *client = context;
    uint64_t expirations;
    (void)events;
    (void)!read(client->timer.fd, &expirations, sizeof(expirations));
    client->timer_expiry_us = 0;
    if (client->curl_deadline_us != 0 &&
        client->curl_deadline_us <= now_us()) {
        client->curl_deadline_us = 0;
        run_timeout(client);
    }
    if (client->idle_deadline_us != 0 &&
        client->idle_deadline_us <= now_us()) {
        client->idle_deadline_us = 0;
        mb_loop_defer(client->loop, &client->idle_check);
    }
    arm_timer(client);
}

/* Initializes a client that runs up to `max_connections` calls at a time,
   keeps as many connections open, and fails calls whose response body is
   larger than `max_body` bytes. */
bool
mb_http_client_init(mb_http_client_t *client, mb_loop_t *loop,
                    uint32_t max_connections, size_t max_body, GError **error)
{
    int timer_fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
    memset(client, 0, sizeof(*client));
    client->loop = loop;
    client->max_active = max_connections;
    client->max_body = max_body;
    client->multi = curl_multi_init();
    client->timer = (mb_loop_source_t){timer_fd, timer_ready, client};
    client->immediate_timeout =
        (mb_loop_deferred_t){run_timeout, client, NULL, false};
    client->idle_check = (mb_loop_deferred_t){fail_idle, client, NULL, false};
    g_queue_init(&client->idle_limited);
    if (timer_fd < 0 || client->multi == NULL ||
        !mb_loop_add(loop, &client->timer, EPOLLIN)) {
        mb_error_set(error, MB_KIND_IO, "cannot create HTTP client: %s",
                     g_strerror(errno));
        return false;
    }
    (void)curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION,
                            watch_socket);
    (void)curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
    (void)curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
    (void)curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
    (void)curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
                            (long)max_connections);
    return true;
}

/* Releases the client; all calls must have ended. */
void
mb_http_client_finish(mb_http_client_t *client)
{
    (void)curl_multi_cleanup(client->multi);
    mb_loop_cancel_deferred(client->loop, &client->immediate_timeout);
    mb_loop_cancel_deferred(client->loop, &client->idle_check);
    mb_loop_remove(client->loop, &client->timer);
    (void)close(client->timer.fd);
}

/* Header callback of libcurl: collects a header line. A status line begins a
   new response, so that the headers of the final one are kept. Returns 0,
   which fails the call, when the headers exceed MB_BODY_MAX bytes. */
static size_t
collect_header(char *data, size_t size, size_t count, void *context)
{
    transfer_t *transfer = context;
    mb_str_t line = {data, size * count};
    if (mb_str_starts_with(line, MB_STR_LIT("HTTP/"))) {
        mb_buf_clear(&transfer->response_head);
    }
    if (transfer->response_head.len + line.len > MB_BODY_MAX) {
        transfer->too_large = true;
        return 0;
    }
    mb_buf_append(&transfer->response_head, line);
    return line.len;
}

/* Write callback of libcurl: collects a part of the body. Returns 0, which
   fails the call, when the body exceeds the limit of the client. */
static size_t
collect_body(char *data, size_t size, size_t count, void *context)
{
    transfer_t *transfer = context;
    mb_str_t part = {data, size * count};
    if (transfer->response_body.len + part.len > transfer->client->max_body) {
        transfer->too_large = true;
        return 0;
    }
    mb_buf_append(&transfer->response_body, part);
    return part.len;
}

/* Adds the headers of a call, except hop-by-hop headers. */
static void
add_headers(transfer_t *transfer, const mb_headers_t *headers)
{
    MB_AUTO_BUF mb_buf_t line = {0};
    for (uint32_t i = 0; headers != NULL && i < headers->count; i++) {
        const mb_header_t *header = &headers->items[i];
        if (is_hop_by_hop_header(header->name)) {
            continue;
        }
        mb_buf_clear(&line);
        mb_buf_append(&line, header->name);
        mb_buf_append_cstr(&line, ": ");
        mb_buf_append(&line, header->value);
        mb_buf_append_byte(&line, '\0');
        transfer->headers = curl_slist_append(transfer->headers, line.data);
    }
    /* Otherwise libcurl would wait for "100 Continue" before it sends a large
       body. */
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
}

/* Read callback of libcurl, for a request body that must not be sent twice:
   copies the next bytes of the body. */
static size_t
read_body(char *out, size_t size, size_t count, void *context)
{
    transfer_t *transfer = context;
    size_t remaining = transfer->request_body.len - transfer->request_sent;
    size_t capacity = size * count;
    size_t part = remaining < capacity ? remaining : capacity;
    memcpy(out, transfer->request_body.data + transfer->request_sent, part);
    transfer->request_sent += part;
    return part;
}

/* Keeps libcurl from repeating a non-idempotent request, which it does by
   itself when a reused connection ends without a response. It can't repeat a
   body that comes from a read callback without a seek callback; a request
   without a body is sent on a new connection. */
static void
prevent_repetition(transfer_t *transfer, const mb_http_call_t *call)
{
    CURL *easy = transfer->easy;
#ifdef MB_MUTANT_POST_REPEATED_BY_LIBCURL
    return;
#endif
    if (call->body.len == 0) {
        (void)curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        return;
    }
    (void)curl_easy_setopt(easy, CURLOPT_POST, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
    (void)curl_easy_setopt(easy, CURLOPT_READDATA, transfer);
}

/* Sets the method and the body of a call. libcurl gets a body that may be
   repeated as a buffer, any other through prevent_repetition. */
static void
set_method(transfer_t *transfer, const mb_http_call_t *call)
{
    g_autofree char *method = mb_str_to_cstr(call->method);
    CURL *easy = transfer->easy;
    if (mb_str_equal(call->method, MB_STR_LIT("HEAD"))) {
        (void)curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (call->body.len > 0 || mb_str_equal(call->method, MB_STR_LIT("POST")) ||
        mb_str_equal(call->method, MB_STR_LIT("PUT"))) {
        mb_buf_set(&transfer->request_body, call->body);
        (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                               (long)call->body.len);
        bool repeatable = call->idempotent || call->body.len == 0;
#ifdef MB_MUTANT_POST_REPEATED_BY_LIBCURL
        repeatable = true;
#endif
        if (repeatable) {
            (void)curl_easy_setopt(
                easy, CURLOPT_POSTFIELDS,
                call->body.len > 0 ? transfer->request_body.data : "");
        }
    }
    if (!call->idempotent) {
        prevent_repetition(transfer, call);
    }
    (void)curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
}

/* Keeps a call from connections that may have gone silent together with the
   one of a call that exceeded its idle time-out: until a call succeeds, it
   opens a new connection, and later it takes none from before that time-out.
   libcurl counts the age of a connection in whole seconds. */
static void
avoid_suspect_connections(const transfer_t *transfer)
{
    const mb_http_client_t *client = transfer->client;
    if (client->pool_suspect) {
        (void)curl_easy_setopt(transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    else if (client->suspect_before_us != 0) {
        uint64_t age_s = (now_us() - client->suspect_before_us) / MB_US_PER_S;
        (void)curl_easy_setopt(transfer->easy, CURLOPT_MAXLIFETIME_CONN,
                               (long)MAX(age_s, 1));
    }
}

/* Sets the other options of a call. */
static void
set_options(transfer_t *transfer, const mb_http_call_t *call)
{
    g_autofree char *url = mb_str_to_cstr(call->url);
    CURL *easy = transfer->easy;
    (void)curl_easy_setopt(easy, CURLOPT_URL, url);
    (void)curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    (void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
    (void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    (void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
    (void)curl_easy_setopt(easy, CURLOPT_PRIVATE, (char *)transfer);
    (void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    (void)curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, collect_header);
    (void)curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect_body);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    if (call->idle_timeout_ms > 0) {
        (void)curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
        (void)curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, note_progress);
        (void)curl_easy_setopt(easy, CURLOPT_XFERINFODATA, transfer);
        avoid_suspect_connections(transfer);
    }
}

/* Starts the idle time-out of a call, if it has one. */
static void
start_idle_timeout(transfer_t *transfer, const mb_http_call_t *call)
{
    mb_http_client_t *client = transfer->client;
    if (call->idle_timeout_ms == 0) {
        return;
    }
    transfer->idle_timeout_us = call->idle_timeout_ms * (uint64_t)MB_US_PER_MS;
    transfer->progress_us = now_us();
    g_queue_push_tail(&client->idle_limited, transfer);
    client->idle_deadline_us =
        earlier_time(client->idle_deadline_us,
                     transfer->progress_us + transfer->idle_timeout_us);
    arm_timer(client);
}

/* Starts a call. Returns false when the maximum number of calls is in progress
   or libcurl fails; nothing was sent then and `done` is not called. */
bool
mb_http_client_call(mb_http_client_t *client, const mb_http_call_t *call)
{
    CURL *easy = client->active < client->max_active ? curl_easy_init() : NULL;
    if (easy == NULL) {
        return false;
    }
    transfer_t *transfer = g_new0(transfer_t, 1);
    transfer->client = client;
    transfer->easy = easy;
    transfer->done = call->done;
    transfer->context = call->context;
    add_headers(transfer, call->headers);
    set_method(transfer, call);
    set_options(transfer, call);
    if (curl_multi_add_handle(client->multi, easy) != CURLM_OK) {
        free_transfer(transfer);
        return false;
    }
    client->active++;
    start_idle_timeout(transfer, call);
    return true;
}
