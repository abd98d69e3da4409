#include "mb_entry_request.h"

#include <stddef.h>

#include "mb_atomic.h"
#include "mb_clock.h"
#include "mb_entry_client.h"
#include "mb_entry_peer.h"
#include "mb_fair_queue.h"

/* Longest time that a request waits for credits, in milliseconds. */
#define WAIT_MAX_MS 1000u

/* One client request on its way. One thread at a time works on it: it moves
   from thread to thread through mailboxes. */
typedef struct open_request {
    mb_open_request_t open; /* first, so that an open request is its whole */
    mb_loop_task_t task;
    mb_fair_queue_entry_t waiter;
    mb_entry_node_t *node;
    mb_http_exchange_t *exchange;
    mb_ticket_t ticket;
    mb_target_t *target;     /* of the attempt; holds a credit */
    mb_kind_t fallback_kind; /* the answer when there is no further attempt */
    mb_str_t path;
    uint64_t started_us;
    uint64_t sent_us;
    bool have_head;
    uint32_t status;
    mb_headers_t headers;
    mb_buf_t head_text; /* the bytes of the headers */
    mb_buf_t body;
} open_request_t;

/* The requests of one service that wait on one thread. */
typedef struct service_queue {
    mb_service_load_t
        *service_load; /* each request that waits has a reference */
    mb_fair_queue_t waiting;
} service_queue_t;

static uint64_t
now_us(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_us(&clock);
}

/* Returns the request that a task belongs to. */
static open_request_t *
request_of_task(mb_loop_task_t *task)
{
    return (open_request_t *)((char *)task - offsetof(open_request_t, task));
}

/* Returns the request that waits. */
static open_request_t *
request_of_waiter(mb_fair_queue_entry_t *waiter)
{
    return (open_request_t *)((char *)waiter -
                              offsetof(open_request_t, waiter));
}

/* Returns the thread on which requests of a service wait. */
static mb_entry_loop_t *
home_of(mb_entry_node_t *node, mb_str_t service)
{
    return &node->loops[mb_str_hash(service) % node->config.link_threads];
}

/* Lets requests that wait for a service look for credits again; from any
   thread. */
void
mb_entry_wake(mb_entry_node_t *node, mb_str_t service)
{
    mb_entry_loop_t *home = home_of(node, service);
    if (mb_atomic_load(&home->waiting) == 0 ||
        !mb_atomic_cas(&home->wake_posted, 0, 1)) {
        return;
    }
    if (!mb_loop_post(&home->loop, &home->wake)) {
        mb_atomic_store(&home->wake_posted, 0); /* the tick looks too */
    }
}

/* Gives back the credit of the attempt that has ended. */
static void
release_target(open_request_t *request)
{
    mb_target_t *target = request->target;
    if (target != NULL) {
        request->target = NULL;
        mb_target_release_credit(target);
        mb_entry_wake(request->node,
                      mb_buf_view(&request->ticket.service_load->name));
    }
}

/* Frees a request whose client has been answered. A latency of 0 us is no
   sample. */
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

/* Returns what the client is told beside an error kind. */
static mb_str_t
message_of(mb_kind_t kind)
{
    switch (kind) {
    case MB_KIND_NOT_FOUND:
        return MB_STR_LIT("no upstream announces this service");
    case MB_KIND_TOO_LARGE:
        return MB_STR_LIT("method, path, headers or body exceed the limit");
    case MB_KIND_OVERLOAD:
        return MB_STR_LIT("the service has too many requests");
    case MB_KIND_UNAVAILABLE:
        return MB_STR_LIT("no upstream could take the request");
    case MB_KIND_DRAINING:
        return MB_STR_LIT("the upstream is leaving");
    case MB_KIND_DEADLINE_NOT_RUN:
        return MB_STR_LIT("the deadline passes before the request can run");
    case MB_KIND_UNKNOWN_OUTCOME:
        return MB_STR_LIT("no response came; the request may have run");
    default:
        return MB_STR_LIT("the upstream gave no whole response");
    }
}

/* Answers the client with an error and frees the request. */
static void
fail_request(open_request_t *request, mb_kind_t kind)
{
    mb_entry_metrics_t *metrics = &request->node->metrics;
    mb_entry_class_metrics_t *of_class =
        &metrics->of_class[request->ticket.request_class];
    bool ran = mb_kind_answer(kind)->may_have_run;
    mb_counter_add(ran ? metrics->unknown : metrics->refused, 1);
    mb_counter_add(ran ? of_class->unknown : of_class->refused, 1);
    mb_http_answer_error(request->exchange, kind, message_of(kind));
    free_request(request, 0);
}

/* Answers the client with the whole response and frees the request. */
static void
complete_request(open_request_t *request, uint32_t status,
                 const mb_headers_t *headers, mb_str_t body)
{
    mb_entry_metrics_t *metrics = &request->node->metrics;
    mb_entry_class_metrics_t *of_class =
        &metrics->of_class[request->ticket.request_class];
    uint64_t now = now_us();
    uint64_t latency_us = now - request->started_us;
    bool good =
        status < (uint32_t)mb_kind_answer(MB_KIND_INTERNAL)->http_status;
    if (good) {
        mb_target_observe_latency(request->target, now - request->sent_us);
    }
    mb_route_report_result(&request->node->route, request->target, good);
    mb_histogram_record(metrics->latency, latency_us);
    mb_histogram_record(of_class->latency, latency_us);
    mb_counter_add(metrics->answered, 1);
    mb_counter_add(of_class->answered, 1);
    mb_http_answer(request->exchange, status, headers, body);
    free_request(request, latency_us);
}

/* Fills in the message of one attempt. */
static void
fill_message(const open_request_t *request, const mb_request_id_t *id,
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

/* Sends an attempt; runs on the thread of the picked link. The id is drawn
   here so that ids on one link increase. A request that could not be sent was
   not run and waits for another link. */
static void
send_attempt(mb_loop_task_t *task)
{
    open_request_t *request = request_of_task(task);
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
    fill_message(request, &id, &message);
    if (peer->gone || !mb_entry_peer_send(peer, &message)) {
        release_target(request);
        wait_for_credit(request);
        return;
    }
    mb_request_begin_attempt(&peer->owner->requests, &request->open, &id,
                             peer);
}

/* Hands a request to a thread; answers it when the thread has too much to
   do. */
static void
post_request(open_request_t *request, mb_entry_loop_t *owner,
             void (*run)(mb_loop_task_t *task))
{
    request->task.run = run;
    if (!mb_loop_post(&owner->loop, &request->task)) {
        fail_request(request, mb_open_request_error_kind(&request->open,
                                                         MB_KIND_OVERLOAD));
    }
}

/* Tries to take a credit of the service and hands the request to the link's
   thread; false when there is none. */
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
    post_request(request, peer->owner, send_attempt);
    return true;
}

/* Returns the queue of a request's service on this thread. */
static service_queue_t *
ensure_queue(mb_entry_loop_t *owner, mb_service_load_t *service_load)
{
    service_queue_t *queue = g_hash_table_lookup(owner->queues, service_load);
    if (queue == NULL) {
        queue = g_new0(service_queue_t, 1);
        queue->service_load = service_load;
        (void)g_hash_table_insert(owner->queues, service_load, queue);
    }
    return queue;
}

/* Counts a request that begins to wait (1) or no longer waits (-1). The count
   goes up before the last look for a credit, and a credit is given back
   before the count is read, so that none is missed. */
static void
count_waiting(mb_entry_loop_t *owner, mb_service_load_t *service_load,
              int64_t delta)
{
    (void)mb_atomic_add(&owner->waiting, (uint64_t)delta);
    (void)mb_atomic_add(&service_load->waiting, (uint64_t)delta);
}

/* Queues a request on the thread of its service. */
static void
enqueue(mb_loop_task_t *task)
{
    open_request_t *request = request_of_task(task);
    mb_service_load_t *service_load = request->ticket.service_load;
    mb_entry_loop_t *owner =
        home_of(request->node, mb_buf_view(&service_load->name));
    service_queue_t *queue = ensure_queue(owner, service_load);
    uint64_t give_up_us = now_us() + (uint64_t)WAIT_MAX_MS * MB_US_PER_MS;
    count_waiting(owner, service_load, 1);
    if (queue->waiting.count == 0 && try_pick(request, NULL)) {
        count_waiting(owner, service_load, -1);
        return;
    }
    request->waiter.request_class = request->ticket.request_class;
    request->waiter.deadline_us = MIN(request->open.deadline_us, give_up_us);
    if (!mb_fair_queue_push(&queue->waiting, &request->waiter,
                            request->ticket.queue_limit)) {
        count_waiting(owner, service_load, -1);
        fail_request(request, mb_open_request_error_kind(&request->open,
                                                         MB_KIND_OVERLOAD));
    }
}

/* Lets a request wait until its service has a credit. */
static void
wait_for_credit(open_request_t *request)
{
    mb_str_t service = mb_buf_view(&request->ticket.service_load->name);
    post_request(request, home_of(request->node, service), enqueue);
}

/* Sends requests of one queue while its service has credits. */
static void
serve_queue(mb_entry_loop_t *owner, service_queue_t *queue)
{
    mb_rng_t rng = mb_rng_thread();
    mb_target_t *picked = NULL;
    while (queue->waiting.count > 0 &&
           mb_route_pick(&owner->node->route,
                         mb_buf_view(&queue->service_load->name), &rng, NULL,
                         &picked) == MB_ROUTE_PICKED) {
        open_request_t *request =
            request_of_waiter(mb_fair_queue_pop(&queue->waiting));
        const mb_entry_peer_t *peer = picked->context;
        count_waiting(owner, queue->service_load, -1);
        request->target = picked;
        post_request(request, peer->owner, send_attempt);
    }
}

/* Answers the requests of one queue that have waited too long. */
static void
expire_queue(mb_entry_loop_t *owner, service_queue_t *queue, uint64_t now)
{
    mb_fair_queue_entry_t *waiter;
    while ((waiter = mb_fair_queue_pop_expired(&queue->waiting, now)) !=
           NULL) {
        open_request_t *request = request_of_waiter(waiter);
        mb_kind_t kind = request->open.deadline_us <= now
                             ? MB_KIND_DEADLINE_NOT_RUN
                             : request->fallback_kind;
        count_waiting(owner, queue->service_load, -1);
        fail_request(request,
                     mb_open_request_error_kind(&request->open, kind));
    }
}

/* Looks after all queues of a thread and drops the empty ones. The gate is
   kept for the last use after its last request. */
static void
serve_queues(mb_entry_loop_t *owner, uint64_t now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, owner->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        service_queue_t *queue = value;
        mb_service_load_ref(queue->service_load);
        mb_service_load_t *service_load = queue->service_load;
        serve_queue(owner, queue);
        expire_queue(owner, queue, now);
        if (queue->waiting.count == 0) {
            g_hash_table_iter_remove(&iter);
        }
        mb_service_load_unref(service_load);
    }
}

/* Runs after credits came back. */
static void
run_wake(mb_loop_task_t *task)
{
    mb_entry_loop_t *owner =
        (mb_entry_loop_t *)((char *)task - offsetof(mb_entry_loop_t, wake));
    mb_atomic_store(&owner->wake_posted, 0);
    serve_queues(owner, now_us());
}

/* Decides whether a request is let in; MB_KIND_COUNT when it is. */
static mb_kind_t
admit(open_request_t *request)
{
    mb_client_request_t asked;
    if (!mb_client_request_read(request->exchange, &asked)) {
        return MB_KIND_TOO_LARGE;
    }
    request->path = asked.path;
    request->open.idempotent = asked.idempotent;
    return mb_admission_admit(&request->node->admission, asked.service,
                              asked.request_class, asked.deadline_ms,
                              &request->ticket);
}

/* Takes a whole request from the HTTP server; runs on a server thread and
   takes no mutex of the request path. Requests that wait already go first. */
void
mb_entry_handle(void *context, mb_http_exchange_t *exchange)
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
        node->metrics.of_class[request->ticket.request_class].requests, 1);
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

/* Keeps the status and headers of a response beyond its frame. */
static void
keep_head(open_request_t *request, const mb_response_t *response)
{
    size_t total = 0;
    request->have_head = true;
    request->status = response->status;
    request->headers.count = response->headers.count;
    for (uint32_t i = 0; i < response->headers.count; i++) {
        total += response->headers.items[i].name.len +
                 response->headers.items[i].value.len;
    }
    /* Reserved at once, because the views below must not move. */
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

/* Takes one part of a response; a late one is dropped. A response that comes
   whole is answered from its frame. */
void
mb_entry_take_response(mb_entry_loop_t *owner, const mb_response_t *response)
{
    mb_open_request_t *open = mb_request_handle_response(
        &owner->requests, &response->id, response->last);
    open_request_t *request = (open_request_t *)open;
    if (open == NULL) {
        return;
    }
    if (response->last && !request->have_head) {
        complete_request(request, response->status, &response->headers,
                         response->body);
        return;
    }
    if (!request->have_head) {
        keep_head(request, response);
    }
    if (request->body.len + response->body.len > MB_BODY_MAX) {
        if (!response->last) {
            mb_request_abort(&owner->requests, open, MB_KIND_UPSTREAM_FAILED);
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

/* Counts an attempt that ended badly against its sidecar. A refusal for lack
   of room says nothing about its health. */
static void
report_failure(open_request_t *request, mb_kind_t kind)
{
    if (request->target != NULL &&
        (kind == MB_KIND_UNAVAILABLE || mb_kind_answer(kind)->may_have_run)) {
        mb_route_report_result(&request->node->route, request->target, false);
    }
}

/* Makes another attempt elsewhere, or waits for a credit. */
static void
on_retry(void *context, mb_open_request_t *open, mb_kind_t fallback_kind)
{
    open_request_t *request = (open_request_t *)open;
    mb_entry_node_t *node = request->node;
    mb_service_load_t *service_load = request->ticket.service_load;
    mb_target_t *before = request->target;
    (void)context;
    mb_counter_add(node->metrics.retries, 1);
    report_failure(request, fallback_kind);
    request->fallback_kind = fallback_kind;
    /* The credit keeps `before` until another target is picked; the request
       may be on another thread by then. */
    mb_service_load_ref(service_load);
    request->target = NULL;
    if (!try_pick(request, before)) {
        wait_for_credit(request);
    }
    mb_target_release_credit(before);
    mb_entry_wake(node, mb_buf_view(&service_load->name));
    mb_service_load_unref(service_load);
}

/* Answers a client whose request has failed. */
static void
on_fail(void *context, mb_open_request_t *open, mb_kind_t kind)
{
    open_request_t *request = (open_request_t *)open;
    (void)context;
    report_failure(request, kind);
    fail_request(request, kind);
}

/* Asks a sidecar what became of requests. */
static void
on_ask(void *context, const void *peer, const mb_outcome_ask_t *ask)
{
    mb_entry_loop_t *owner = context;
    mb_message_t message;
    message.type = MB_MESSAGE_OUTCOME_ASK;
    message.body.outcome_ask = *ask;
    mb_counter_add(owner->node->metrics.queries, ask->count);
    (void)mb_entry_peer_send((mb_entry_peer_t *)peer, &message);
}

/* Tells a sidecar that nobody waits for a response any more. */
static void
on_cancel(void *context, const void *peer, const mb_request_id_t *id)
{
    mb_message_t message;
    (void)context;
    message.type = MB_MESSAGE_CANCEL;
    message.body.cancel = *id;
    (void)mb_entry_peer_send((mb_entry_peer_t *)peer, &message);
}

/* Takes one retry off the budget. */
static bool
on_spend_retry(void *context)
{
    mb_entry_loop_t *owner = context;
    return mb_admission_spend_retry(&owner->node->admission);
}

/* Prepares the tables of one thread. */
void
mb_entry_requests_init(mb_entry_loop_t *owner)
{
    mb_clock_t clock = mb_clock_monotonic();
    mb_request_callbacks_t callbacks = {on_retry,  on_fail,        on_ask,
                                        on_cancel, on_spend_retry, owner};
    mb_request_table_init(&owner->requests, &clock, &callbacks);
    owner->queues = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    owner->wake.run = run_wake;
}

/* Looks after deadlines and queues. */
void
mb_entry_requests_tick(mb_entry_loop_t *owner, uint64_t now)
{
    mb_request_tick(&owner->requests);
    serve_queues(owner, now);
}

/* Frees the tables of one thread. */
void
mb_entry_requests_finish(mb_entry_loop_t *owner)
{
    mb_request_table_finish(&owner->requests);
    g_hash_table_unref(owner->queues);
}
