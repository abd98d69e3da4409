#include "mb_http_client.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "mb_clock.h"
#include "mb_http_transfer.h"

/* A socket of libcurl that the loop watches. */
typedef struct socket_watch {
    mb_http_client_t *client;
    mb_loop_source_t source;
} socket_watch_t;

/* Notes whether a call with an idle time-out exceeded it. */
static void
note_idle_result(mb_http_client_t *client, CURLcode code)
{
    client->pool_suspect = code == CURLE_OPERATION_TIMEDOUT;
    if (client->pool_suspect) {
        client->suspect_before_us = mb_http_transfer_now_us();
    }
}

/* Passes the result of a finished call to its callback and frees the call. */
static void
finish_transfer(mb_http_transfer_t *transfer, CURLcode code)
{
    mb_http_client_t *client = transfer->client;
    mb_http_result_t result;
    mb_http_transfer_get_result(transfer, code, &result);
    if (transfer->idle_timeout_us > 0) {
        note_idle_result(client, code);
        (void)g_queue_remove(&client->idle_limited, transfer);
    }
    (void)curl_multi_remove_handle(client->multi, transfer->easy);
    client->active--;
    transfer->done(transfer->context, &result);
    mb_http_transfer_free(transfer);
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
            mb_http_transfer_t *transfer;
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
            mb_http_transfer_now_us() + (uint64_t)timeout_ms * MB_US_PER_MS;
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

/* Takes a call whose idle time-out has expired off the list, or returns NULL
   and sets the time at which the next one may expire. */
static mb_http_transfer_t *
take_idle(mb_http_client_t *client)
{
    uint64_t time_us = mb_http_transfer_now_us();
    client->idle_deadline_us = 0;
    for (GList *link = client->idle_limited.head; link; link = link->next) {
        mb_http_transfer_t *transfer = link->data;
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
    mb_http_transfer_t *transfer;
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
        client->curl_deadline_us <= mb_http_transfer_now_us()) {
        client->curl_deadline_us = 0;
        run_timeout(client);
    }
    if (client->idle_deadline_us != 0 &&
        client->idle_deadline_us <= mb_http_transfer_now_us()) {
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

/* Starts the idle time-out of a call, if it has one. */
static void
start_idle_timeout(mb_http_transfer_t *transfer, const mb_http_call_t *call)
{
    mb_http_client_t *client = transfer->client;
    if (call->idle_timeout_ms == 0) {
        return;
    }
    transfer->idle_timeout_us = call->idle_timeout_ms * (uint64_t)MB_US_PER_MS;
    transfer->progress_us = mb_http_transfer_now_us();
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
    if (client->active >= client->max_active) {
        return false;
    }
    mb_http_transfer_t *transfer = mb_http_transfer_new(client, call);
    if (transfer == NULL) {
        return false;
    }
    if (curl_multi_add_handle(client->multi, transfer->easy) != CURLM_OK) {
        mb_http_transfer_free(transfer);
        return false;
    }
    client->active++;
    start_idle_timeout(transfer, call);
    return true;
}
