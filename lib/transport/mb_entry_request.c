#include "mb_entry_request.h"

#include <stddef.h>

#include "mb_atomic.h"
#include "mb_client_request.h"
#include "mb_clock.h"
#include "mb_entry_peer.h"
#include "mb_fair_queue.h"

/* Maximum time that a request waits for credits, in milliseconds. */
#define CREDIT_WAIT_MAX_MS 1000u

/* A client's request from admission to its response. Used by one thread at a
   time: the request is passed between threads through their mailboxes. */
typedef struct open_request {
    mb_open_request_t open; /* first member: pointers are cast to it */
    mb_loop_task_t task;    /* posts the request to a link thread */
    mb_fair_queue_entry_t queue_entry; /* while it waits for credits */
    mb_entry_node_t *node;
    mb_http_exchange_t *exchange;
    mb_ticket_t ticket;
    mb_target_t *target;     /* of the attempt; one credit of it is in use */
    mb_kind_t fallback_kind; /* the error if no further attempt is possible */
    mb_str_t path;           /* points into the exchange */
    uint64_t started_us;
    uint64_t sent_us; /* when the latest attempt was sent */
    /* A response that arrives in several parts. */
    bool has_head; /* status and headers are set */
    uint32_t status;
    mb_headers_t headers; /* views into head_text */
    mb_buf_t head_text;   /* names and values of the headers */
    mb_buf_t body;
} open_request_t;

/* The requests of a service that wait for credits; on the service's link
   thread. */
typedef struct service_queue {
    /* The references of the waiting requests keep it alive. */
    mb_service_load_t *service_load;
    mb_fair_queue_t waiting;
} service_queue_t;

static uint64_t
now_us(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_us(&clock);
}

/* Returns the request that contains a task. */
static open_request_t *
get_task_request(mb_loop_task_t *task)
{
    return (open_request_t *)((char *)task - offsetof(open_request_t, task));
}

/* Returns the request that contains a queue entry. */
static open_request_t *
get_queued_request(mb_fair_queue_entry_t *queue_entry)
{
    return (open_request_t *)((char *)queue_entry -
                              offsetof(open_request_t, queue_entry));
}

/* Returns the link thread on which the requests of a service wait. */
static mb_entry_loop_t *
get_service_loop(mb_entry_node_t *node, mb_str_t service)
{
    return &node->loops[mb_str_hash(service) % node->config.link_threads];
}

/* Posts a task that serves the queues of a service's link thread, unless it
   has no waiting requests or the task is posted already; from any thread. */
void
mb_entry_wake_waiting(mb_entry_node_t *node, mb_str_t service)
{
    mb_entry_loop_t *entry_loop = get_service_loop(node, service);
    if (mb_atomic_load(&entry_loop->waiting) == 0 ||
        !mb_atomic_cas(&entry_loop->wake_posted, 0, 1)) {
        return;
    }
    if (!mb_loop_post(&entry_loop->loop, &entry_loop->wake_task)) {
        /* The mailbox is full; the next tick serves the queues. */
        mb_atomic_store(&entry_loop->wake_posted, 0);
    }
}

/* Releases the credit of an attempt that has ended; from any thread. */
static void
release_target(open_request_t *request)
{
    mb_target_t *target = request->target;
    if (target != NULL) {
        request->target = NULL;
        mb_target_release_credit(target);
        mb_entry_wake_waiting(
            request->node, mb_buf_view(&request->ticket.service_load->name));
    }
}

/* Frees a request whose client has been answered. A latency of 0 us is not
   taken as a sample. */
static void
free_request(open_request_t *request, uint64_t latency_us)
{
    release_target(request);
    if (request->ticket.service_load != NULL) {
        mb_admission_release(&request->node->admission, &request->ticket,
                             latency_us);
    }
    mb_buf_finish(&request->head_text);
    mb_buf_finish(&request->body);
    g_free(request);
}

/* Returns the message for the client that belongs to an error kind. */
static mb_str_t
get_error_message(mb_kind_t kind)
{
    switch (kind) {
    case MB_KIND_NOT_FOUND:
        return MB_STR_LIT("no upstream announces this service");
    case MB_KIND_TOO_LARGE:
        return MB_STR_LIT("method, path, headers or body exceed the limit");
    case MB_KIND_OVERLOAD:
        return MB_STR_LIT("the service has too many requests");
    case MB_KIND_UNAVAILABLE:
        return MB_STR_LIT("no upstream was available for the request");
    case MB_KIND_DRAINING:
        return MB_STR_LIT("the upstream is draining");
    case MB_KIND_DEADLINE_NOT_RUN:
        return MB_STR_LIT("the deadline passes before the request can run");
    case MB_KIND_UNKNOWN_OUTCOME:
        return MB_STR_LIT(
            "no response was received; the request may have run");
    default:
        return MB_STR_LIT("the upstream sent no complete response");
    }
}

/* Answers the client with an error and frees the request; from any thread. */
static void
fail_request(open_request_t *request, mb_kind_t kind)
{
    mb_entry_metrics_t *metrics = &request->node->metrics;
    mb_entry_class_metrics_t *class_metrics =
        &metrics->by_class[request->ticket.request_class];
    bool may_have_run = mb_kind_info(kind)->may_have_run;
    mb_counter_add(may_have_run ? metrics->unknown : metrics->refused, 1);
    mb_counter_add(
        may_have_run ? class_metrics->unknown : class_metrics->refused, 1);
    mb_http_respond_error(request->exchange, kind, get_error_message(kind));
    free_request(request, 0);
}

/* Answers the client with the complete response of an upstream and frees the
   request. The response also is a sample for the latency and the health of the
   sidecar: a status of 500 or more counts as a failure. */
static void
complete_request(open_request_t *request, uint32_t status,
                 const mb_headers_t *headers, mb_str_t body)
{
    mb_entry_metrics_t *metrics = &request->node->metrics;
    mb_entry_class_metrics_t *class_metrics =
        &metrics->by_class[request->ticket.request_class];
    uint64_t now = now_us();
    uint64_t latency_us = now - request->started_us;
    bool success =
        status < (uint32_t)mb_kind_info(MB_KIND_INTERNAL)->http_status;
    if (success) {
        mb_target_observe_latency(request->target, now - request->sent_us);
    }
    mb_route_report_result(&request->node->route, request->target, success);
    mb_histogram_record(metrics->latency, latency_us);
    mb_histogram_record(class_metrics->latency, latency_us);
    mb_counter_add(metrics->answered, 1);
    mb_counter_add(class_metrics->answered, 1);
    mb_http_respond(request->exchange, status, headers, body);
    free_request(request, latency_us);
}

/* Fills in the REQUEST message of an attempt; its views point into the
   exchange. */
static void
fill_request_message(const open_request_t *request, const mb_request_id_t *id,
                     mb_message_t *message)
{
    mb_request_t *body = &message->body.request;
    message->type = MB_MESSAGE_REQUEST;
    body->id = *id;
    body->deadline_ms =
        (uint32_t)((request->open.deadline_us - request->sent_us) /
                   MB_US_PER_MS);
    body->request_class = request->ticket.request_class;
    body->idempotent = request->open.idempotent;
    body->method = mb_http_method(request->exchange);
    body->path = request->path;
    body->headers = *mb_http_headers(request->exchange);
    body->body = mb_http_body(request->exchange);
}

static void wait_for_credit(open_request_t *request);

/* Task on the link thread of the chosen sidecar: sends an attempt. Its id is
   assigned here so that the ids on a link increase. A request that could not
   be sent did not run, and waits for credits again. */
static void
send_attempt(mb_loop_task_t *task)
{
    open_request_t *request = get_task_request(task);
    mb_entry_node_t *node = request->node;
    mb_entry_peer_t *peer = request->target->context;
    mb_request_id_t id = {node->config.process, node->config.incarnation, 0};
    mb_message_t message;
    request->sent_us = now_us();
    if (request->sent_us >= request->open.deadline_us) {
        fail_request(request, mb_open_request_error_kind(
                                  &request->open, MB_KIND_DEADLINE_NOT_RUN));
        return;
    }
    id.counter = mb_atomic_add(&node->next_counter, 1);
    fill_request_message(request, &id, &message);
    if (peer->removed || !mb_entry_peer_send(peer, &message)) {
        release_target(request);
        wait_for_credit(request);
        return;
    }
    mb_request_begin_attempt(&peer->entry_loop->requests, &request->open, &id,
                             peer);
}

/* Passes a request to a link thread, which calls `run`. The client gets an
   error when the mailbox of that thread is full. */
static void
post_request(open_request_t *request, mb_entry_loop_t *entry_loop,
             void (*run)(mb_loop_task_t *task))
{
    request->task.run = run;
    if (!mb_loop_post(&entry_loop->loop, &request->task)) {
        fail_request(request, mb_open_request_error_kind(&request->open,
                                                         MB_KIND_OVERLOAD));
    }
}

/* Takes a credit of a sidecar of the service, other than `avoid` unless that
   is NULL, and passes the request to the link thread of that sidecar. Returns
   false when no credit is free. After true, other threads may have freed the
   request. */
static bool
try_pick(open_request_t *request, const mb_target_t *avoid)
{
    mb_rng_t rng = mb_rng_thread();
    mb_target_t *picked = NULL;
    if (mb_route_pick(&request->node->route,
                      mb_buf_view(&request->ticket.service_load->name), &rng,
                      avoid, &picked) != MB_ROUTE_PICKED) {
        return false;
    }
    const mb_entry_peer_t *peer = picked->context;
    request->target = picked;
    post_request(request, peer->entry_loop, send_attempt);
    return true;
}

/* Finds or adds the queue of a service on this thread. */
static service_queue_t *
ensure_queue(mb_entry_loop_t *entry_loop, mb_service_load_t *service_load)
{
    service_queue_t *queue =
        g_hash_table_lookup(entry_loop->queues, service_load);
    if (queue == NULL) {
        queue = g_new0(service_queue_t, 1);
        queue->service_load = service_load;
        (void)g_hash_table_insert(entry_loop->queues, service_load, queue);
    }
    return queue;
}

/* Adds `delta`, 1 or -1, to the number of waiting requests. A request is
   counted before it looks for a credit the last time, and a credit is released
   before the count is read, so that no request misses a credit. */
static void
count_waiting(mb_entry_loop_t *entry_loop, mb_service_load_t *service_load,
              int64_t delta)
{
    (void)mb_atomic_add(&entry_loop->waiting, (uint64_t)delta);
    (void)mb_atomic_add(&service_load->waiting, (uint64_t)delta);
}

/* Task on the link thread of the service: queues a request, after a last look
   for a credit if no other request waits. */
static void
enqueue(mb_loop_task_t *task)
{
    open_request_t *request = get_task_request(task);
    mb_service_load_t *service_load = request->ticket.service_load;
    mb_entry_loop_t *entry_loop =
        get_service_loop(request->node, mb_buf_view(&service_load->name));
    service_queue_t *queue = ensure_queue(entry_loop, service_load);
    uint64_t wait_limit_us =
        now_us() + (uint64_t)CREDIT_WAIT_MAX_MS * MB_US_PER_MS;
    count_waiting(entry_loop, service_load, 1);
    if (queue->waiting.count == 0 && try_pick(request, NULL)) {
        count_waiting(entry_loop, service_load, -1);
        return;
    }
    request->queue_entry.request_class = request->ticket.request_class;
    request->queue_entry.deadline_us =
        MIN(request->open.deadline_us, wait_limit_us);
    if (!mb_fair_queue_push(&queue->waiting, &request->queue_entry,
                            request->ticket.queue_limit)) {
        count_waiting(entry_loop, service_load, -1);
        fail_request(request, mb_open_request_error_kind(&request->open,
                                                         MB_KIND_OVERLOAD));
    }
}

/* Passes a request to the link thread of its service, to wait for a credit. */
static void
wait_for_credit(open_request_t *request)
{
    mb_str_t service = mb_buf_view(&request->ticket.service_load->name);
    post_request(request, get_service_loop(request->node, service), enqueue);
}

/* Sends requests of a queue as long as credits of the service are free. */
static void
serve_queue(mb_entry_loop_t *entry_loop, service_queue_t *queue)
{
    mb_rng_t rng = mb_rng_thread();
    mb_target_t *picked = NULL;
    while (queue->waiting.count > 0 &&
           mb_route_pick(&entry_loop->node->route,
                         mb_buf_view(&queue->service_load->name), &rng, NULL,
                         &picked) == MB_ROUTE_PICKED) {
        open_request_t *request =
            get_queued_request(mb_fair_queue_pop(&queue->waiting));
        const mb_entry_peer_t *peer = picked->context;
        count_waiting(entry_loop, queue->service_load, -1);
        request->target = picked;
        post_request(request, peer->entry_loop, send_attempt);
    }
}

/* Fails the requests of a queue whose deadline or maximum wait has passed. */
static void
expire_queue(mb_entry_loop_t *entry_loop, service_queue_t *queue, uint64_t now)
{
    mb_fair_queue_entry_t *queue_entry;
    while ((queue_entry = mb_fair_queue_pop_expired(&queue->waiting, now)) !=
           NULL) {
        open_request_t *request = get_queued_request(queue_entry);
        mb_kind_t kind = request->open.deadline_us <= now
                             ? MB_KIND_DEADLINE_NOT_RUN
                             : request->fallback_kind;
        count_waiting(entry_loop, queue->service_load, -1);
        fail_request(request,
                     mb_open_request_error_kind(&request->open, kind));
    }
}

/* Serves and expires all queues of a thread and removes the empty ones. The
   extra reference keeps the load of a service alive until its queue is
   removed, because the last waiting request may be freed meanwhile. */
static void
serve_queues(mb_entry_loop_t *entry_loop, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry_loop->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        service_queue_t *queue = value;
        mb_service_load_ref(queue->service_load);
        mb_service_load_t *service_load = queue->service_load;
        serve_queue(entry_loop, queue);
        expire_queue(entry_loop, queue, now);
        if (queue->waiting.count == 0) {
            g_hash_table_iter_remove(&iter);
        }
        mb_service_load_unref(service_load);
    }
}

/* Task posted by mb_entry_wake_waiting: serves the queues of this thread. */
static void
run_wake(mb_loop_task_t *task)
{
    mb_entry_loop_t *entry_loop =
        (mb_entry_loop_t *)((char *)task -
                            offsetof(mb_entry_loop_t, wake_task));
    mb_atomic_store(&entry_loop->wake_posted, 0);
    serve_queues(entry_loop, now_us());
}

/* Parses a request and decides on its admission; MB_KIND_COUNT means
   admitted. */
static mb_kind_t
admit(open_request_t *request)
{
    mb_client_request_t parsed;
    if (!mb_client_request_parse(request->exchange, &parsed)) {
        return MB_KIND_TOO_LARGE;
    }
    request->path = parsed.path;
    request->open.idempotent = parsed.idempotent;
    return mb_admission_admit(&request->node->admission, parsed.service,
                              parsed.request_class, parsed.deadline_ms,
                              &request->ticket);
}

/* Handles a complete request from the HTTP server, on a server thread.
   Admission, routing and the mailboxes of the link threads take no mutex. A
   request takes a credit here only if no request of its service is waiting, so
   that it doesn't overtake one. */
void
mb_entry_handle_request(void *context, mb_http_exchange_t *exchange)
{
    mb_entry_node_t *node = context;
    open_request_t *request = g_new0(open_request_t, 1);
    mb_counter_add(node->metrics.requests, 1);
    request->node = node;
    request->exchange = exchange;
    request->ticket.request_class = MB_CLASS_NORMAL;
    request->fallback_kind = MB_KIND_UNAVAILABLE;
    request->started_us = now_us();
    mb_kind_t kind = admit(request);
    mb_counter_add(
        node->metrics.by_class[request->ticket.request_class].requests, 1);
    if (kind != MB_KIND_COUNT) {
        fail_request(request, kind);
        return;
    }
    request->open.deadline_us =
        request->started_us +
        (uint64_t)request->ticket.deadline_ms * MB_US_PER_MS;
    if (mb_atomic_load(&request->ticket.service_load->waiting) > 0 ||
        !try_pick(request, NULL)) {
        wait_for_credit(request);
    }
}

/* Copies the status and the headers of a response, whose frame is valid during
   the callback only. */
static void
copy_head(open_request_t *request, const mb_response_t *response)
{
    size_t total = 0;
    request->has_head = true;
    request->status = response->status;
    request->headers.count = response->headers.count;
    for (uint32_t i = 0; i < response->headers.count; i++) {
        total += response->headers.items[i].name.len +
                 response->headers.items[i].value.len;
    }
    /* Reserved in one step, because the views point into the buffer and it
       must not be reallocated while they are filled in. */
    mb_buf_reserve(&request->head_text, total);
    for (uint32_t i = 0; i < response->headers.count; i++) {
        const mb_header_t *from = &response->headers.items[i];
        mb_header_t *to = &request->headers.items[i];
        to->name = (mb_str_t){request->head_text.data + request->head_text.len,
                              from->name.len};
        mb_buf_append(&request->head_text, from->name);
        to->value = (mb_str_t){
            request->head_text.data + request->head_text.len, from->value.len};
        mb_buf_append(&request->head_text, from->value);
    }
}

/* Handles a part of a response; one whose attempt is no longer open is
   dropped. A response in a single part is forwarded from its frame without a
   copy. */
void
mb_entry_handle_response(mb_entry_loop_t *entry_loop,
                         const mb_response_t *response)
{
    mb_open_request_t *open = mb_request_handle_response(
        &entry_loop->requests, &response->id, response->last);
    open_request_t *request = (open_request_t *)open;
    if (open == NULL) {
        return;
    }
    if (response->last && !request->has_head) {
        complete_request(request, response->status, &response->headers,
                         response->body);
        return;
    }
    if (!request->has_head) {
        copy_head(request, response);
    }
    if (request->body.len + response->body.len > MB_BODY_MAX) {
        if (!response->last) {
            mb_request_abort(&entry_loop->requests, open,
                             MB_KIND_UPSTREAM_FAILED);
            return;
        }
        fail_request(request, MB_KIND_UPSTREAM_FAILED);
        return;
    }
    mb_buf_append(&request->body, response->body);
    if (response->last) {
        complete_request(request, request->status, &request->headers,
                         mb_buf_view(&request->body));
    }
}

/* Counts a failed attempt against the health of its sidecar. A refusal for
   lack of capacity says nothing about its health. */
static void
report_failure(open_request_t *request, mb_kind_t kind)
{
    if (request->target != NULL &&
        (kind == MB_KIND_UNAVAILABLE || mb_kind_info(kind)->may_have_run)) {
        mb_route_report_result(&request->node->route, request->target, false);
    }
}

/* Makes another attempt at another sidecar, or waits for a credit of any. */
static void
on_retry(void *context, mb_open_request_t *open, mb_kind_t fallback_kind)
{
    open_request_t *request = (open_request_t *)open;
    mb_entry_node_t *node = request->node;
    mb_service_load_t *service_load = request->ticket.service_load;
    mb_target_t *previous = request->target;
    (void)context;
    mb_counter_add(node->metrics.retries, 1);
    report_failure(request, fallback_kind);
    request->fallback_kind = fallback_kind;
    /* The credit in use keeps `previous` alive until another target is picked;
       another thread may have freed the request by then. */
    mb_service_load_ref(service_load);
    request->target = NULL;
    if (!try_pick(request, previous)) {
        wait_for_credit(request);
    }
    mb_target_release_credit(previous);
    mb_entry_wake_waiting(node, mb_buf_view(&service_load->name));
    mb_service_load_unref(service_load);
}

/* Answers the client of a failed request. */
static void
on_fail(void *context, mb_open_request_t *open, mb_kind_t kind)
{
    open_request_t *request = (open_request_t *)open;
    (void)context;
    report_failure(request, kind);
    fail_request(request, kind);
}

/* Sends an outcome query to a sidecar. If it can't be sent, it is repeated on
   the next link. */
static void
on_send_outcome_ask(void *context, const void *peer,
                    const mb_outcome_ask_t *ask)
{
    mb_entry_loop_t *entry_loop = context;
    mb_message_t message;
    message.type = MB_MESSAGE_OUTCOME_ASK;
    message.body.outcome_ask = *ask;
    mb_counter_add(entry_loop->node->metrics.queries, ask->count);
    (void)mb_entry_peer_send((mb_entry_peer_t *)peer, &message);
}

/* Tells a sidecar that the response of a request is not needed any more. */
static void
on_send_cancel(void *context, const void *peer, const mb_request_id_t *id)
{
    mb_message_t message;
    (void)context;
    message.type = MB_MESSAGE_CANCEL;
    message.body.cancel = *id;
    (void)mb_entry_peer_send((mb_entry_peer_t *)peer, &message);
}

/* Takes one retry from the budget of the entry. */
static bool
on_spend_retry(void *context)
{
    mb_entry_loop_t *entry_loop = context;
    return mb_admission_spend_retry(&entry_loop->node->admission);
}

/* Initializes the request table and the queues of a link thread. */
void
mb_entry_requests_init(mb_entry_loop_t *entry_loop)
{
    mb_clock_t clock = mb_clock_monotonic();
    mb_request_callbacks_t callbacks = {
        on_retry,       on_fail,        on_send_outcome_ask,
        on_send_cancel, on_spend_retry, entry_loop};
    mb_request_table_init(&entry_loop->requests, &clock, &callbacks);
    entry_loop->queues = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    entry_loop->wake_task.run = run_wake;
}

/* Fails requests whose deadline has passed and serves the queues. */
void
mb_entry_requests_tick(mb_entry_loop_t *entry_loop, uint64_t now)
{
    mb_request_tick(&entry_loop->requests);
    serve_queues(entry_loop, now);
}

/* Releases the request table and the queues. */
void
mb_entry_requests_finish(mb_entry_loop_t *entry_loop)
{
    mb_request_table_finish(&entry_loop->requests);
    g_hash_table_unref(entry_loop->queues);
}
