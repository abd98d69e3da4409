/* Requests of clients. An HTTP thread finds the queue and reads a job; the
   scheduler's thread stores, looks up and answers. */
#include <stdio.h>
#include <string.h>

#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_scheduler_internal.h"
#include "mb_uri.h"

/* Time before a client's deadline at which a request that waits for the log
   gets its answer, in milliseconds. */
#define ANSWER_MARGIN_MS 150u
/* Time after which a job that could not be appended is rejected, in
   milliseconds, so that the client can go elsewhere in time. */
#define APPEND_TIMEOUT_MS 800u

/* Longest text of a number of seconds, in bytes. */
#define RETRY_TEXT_MAX 12

typedef enum request_kind {
    REQUEST_SUBMIT,
    REQUEST_STATUS,
    REQUEST_CANCEL,
    REQUEST_PENDING
} request_kind_t;

/* One request on the scheduler's thread. */
typedef struct request {
    mb_loop_task_t task;
    mb_scheduler_node_t *node;
    mb_http_exchange_t *exchange; /* NULL once answered */
    request_kind_t kind;
    mb_dag_id_t id;
    mb_buf_t queue;
    mb_buf_t value; /* of the record to append */
    uint64_t begun_us;
    uint64_t deadline_us;
} request_t;

/* Frees a request. */
static void
free_request(request_t *request)
{
    mb_buf_finish(&request->queue);
    mb_buf_finish(&request->value);
    g_free(request);
}

/* Answers with a status and a JSON body. */
static void
answer(mb_scheduler_node_t *node, mb_http_exchange_t *exchange,
       uint32_t status, mb_str_t body)
{
    mb_headers_t headers = {.count = 1};
    char retry_text[RETRY_TEXT_MAX];
    headers.items[0] = (mb_header_t){MB_STR_LIT("Content-Type"),
                                     MB_STR_LIT("application/json")};
    if (status == 503 || status == 429) {
        (void)snprintf(retry_text, sizeof(retry_text), "%u",
                       (unsigned)mb_atomic_load(&node->retry_after_s));
        headers.items[headers.count++] = (mb_header_t){
            MB_STR_LIT("Retry-After"), mb_str_from_cstr(retry_text)};
    }
    if (mb_atomic_load(&node->draining) != 0) {
        headers.items[headers.count++] =
            (mb_header_t){MB_STR_LIT("Connection"), MB_STR_LIT("close")};
    }
    mb_http_respond(exchange, status, &headers, body);
}

/* Answers with a status and nothing to say. */
static void
answer_empty(mb_scheduler_node_t *node, mb_http_exchange_t *exchange,
             uint32_t status)
{
    answer(node, exchange, status, MB_STR_LIT("{}"));
}

/* Answers a request that waited for the log. */
static void
answer_request(request_t *request, uint32_t status, const char *why)
{
    mb_scheduler_node_t *node = request->node;
    uint64_t age_us = mb_clock_us(&node->clock) - request->begun_us;
    if (request->exchange == NULL) {
        return;
    }
    mb_severity_t severity =
        status < 400 ? MB_SEVERITY_INFO : MB_SEVERITY_NOTICE;
    mb_log_line(&node->log, severity,
                "%s answered job=%.*s queue=%.*s status=%u reason=%s "
                "age_ms=%" G_GUINT64_FORMAT,
                request->kind == REQUEST_SUBMIT ? "submission"
                                                : "cancellation",
                MB_STR_ARG(mb_dag_id_view(&request->id)),
                MB_STR_ARG(mb_buf_view(&request->queue)), status, why,
                age_us / MB_US_PER_MS);
    if (request->kind == REQUEST_SUBMIT) {
        mb_counter_add(status == 200   ? node->metrics.accepted
                       : status == 503 ? node->metrics.rejected
                                       : node->metrics.unknown,
                       1);
        mb_histogram_record(node->metrics.accept_us, age_us);
    }
    answer_empty(node, request->exchange, status);
    request->exchange = NULL;
}

/* Takes the result of an append and ends the request. */
static void
append_done(void *context, mb_keyed_result_t result)
{
    request_t *request = context;
    mb_scheduler_node_t *node = request->node;
    if (result == MB_KEYED_OK) {
        answer_request(request, 200, "stored");
    }
    else if (result == MB_KEYED_NOT_DONE) {
        answer_request(request, 503, "log_unavailable");
    }
    else {
        answer_request(request, 504, mb_keyed_result_name(result));
    }
    (void)g_ptr_array_remove_fast(node->requests, request);
    free_request(request);
}

/* Queues the record of a request for the log. */
static void
append(request_t *request, mb_dag_record_kind_t kind)
{
    mb_scheduler_node_t *node = request->node;
    uint64_t timeout_us = APPEND_TIMEOUT_MS * (uint64_t)MB_US_PER_MS;
    uint64_t give_up_us =
        MIN(request->begun_us + timeout_us, request->deadline_us);
    mb_buf_clear(&node->key);
    mb_dag_record_key(&node->key, kind, mb_dag_id_view(&request->id));
    if (mb_journal_stalled(&node->journal) ||
        !mb_journal_add(&node->journal, mb_buf_view(&node->key),
                        mb_buf_view(&request->value), give_up_us, append_done,
                        request)) {
        answer_request(request, 503, "log_stalled");
        free_request(request);
        return;
    }
    g_ptr_array_add(node->requests, request);
    mb_scheduler_wake(node);
}

/* Returns what a client is told of a job. */
static mb_job_status_t
status_of(const mb_dag_job_t *job)
{
    switch (job->shown) {
    case MB_DAG_COMPLETED:
        return MB_JOB_COMPLETED;
    case MB_DAG_FAILED:
        return MB_JOB_FAILED;
    case MB_DAG_CANCELLED:
        return MB_JOB_CANCELLED;
    case MB_DAG_OPEN:
    case MB_DAG_OUTCOME_COUNT:
        break;
    }
    return job->started ? MB_JOB_RUNNING : MB_JOB_QUEUED;
}

/* Tells whether this process knows every job that was accepted a while
   ago. */
static bool
knows_jobs(const mb_scheduler_node_t *node)
{
    return mb_follower_loaded(&node->jobs) &&
           mb_ownership_log_reachable(&node->ownership);
}

/* Answers for a job that is not known: it does not exist, or this process can
   not tell. */
static void
answer_unknown(request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    answer_empty(node, request->exchange, knows_jobs(node) ? 410 : 503);
    free_request(request);
}

/* Answers what is asked of a job. */
static void
handle_status(request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    const mb_dag_job_t *job = mb_dag_find(&node->table, request->id);
    MB_AUTO_BUF mb_buf_t body = {0};
    if (job == NULL) {
        answer_unknown(request);
        return;
    }
    node->front.write_status(node->front.context, status_of(job), &body);
    answer(node, request->exchange, 200, mb_buf_view(&body));
    free_request(request);
}

/* Stores a job, unless it is stored already. */
static void
handle_submit(request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    if (mb_dag_find(&node->table, request->id) != NULL) {
        answer_request(request, 200, "known");
        free_request(request);
        return;
    }
    append(request, MB_DAG_RECORD_JOB);
}

/* Stores a cancellation. A job that is not known may have been accepted by
   another process a moment ago: a read of the log decides. */
static void
handle_cancel(request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    const mb_dag_job_t *job = mb_dag_find(&node->table, request->id);
    if (job == NULL && knows_jobs(node) &&
        node->ownership.last_read_start_us < request->begun_us) {
        g_ptr_array_add(node->undecided, request);
        return;
    }
    if (job == NULL) {
        answer_unknown(request);
        return;
    }
    if (job->cancelled || job->shown != MB_DAG_OPEN) {
        answer_request(request, 200, "closed");
        free_request(request);
        return;
    }
    mb_dag_record_encode_cancel(&request->value);
    append(request, MB_DAG_RECORD_CANCEL);
}

/* Counts the jobs of a queue that have not begun. */
static void
handle_pending(request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    MB_AUTO_BUF mb_buf_t body = {0};
    uint64_t pending = 0;
    GHashTableIter iter;
    gpointer value;
    if (!mb_follower_loaded(&node->jobs)) {
        answer_empty(node, request->exchange, 503);
        free_request(request);
        return;
    }
    g_hash_table_iter_init(&iter, node->table.jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mb_dag_job_t *job = value;
        pending +=
            job->shown == MB_DAG_OPEN && !job->started &&
            mb_str_equal(job->spec.policy.queue, mb_buf_view(&request->queue));
    }
    node->front.write_pending(node->front.context, pending, &body);
    answer(node, request->exchange, 200, mb_buf_view(&body));
    free_request(request);
}

/* Handles a request on the scheduler's thread. */
static void
run_request(mb_loop_task_t *task)
{
    request_t *request = (request_t *)task;
    switch (request->kind) {
    case REQUEST_SUBMIT:
        handle_submit(request);
        break;
    case REQUEST_STATUS:
        handle_status(request);
        break;
    case REQUEST_CANCEL:
        handle_cancel(request);
        break;
    case REQUEST_PENDING:
        handle_pending(request);
        break;
    }
}

/* Looks again at the cancellations that wait for a read of the log. */
static void
decide_cancellations(mb_scheduler_node_t *node, uint64_t now_us)
{
    for (guint i = 0; i < node->undecided->len;) {
        request_t *request = g_ptr_array_index(node->undecided, i);
        bool decided =
            mb_dag_find(&node->table, request->id) != NULL ||
            node->ownership.last_read_start_us >= request->begun_us ||
            !knows_jobs(node);
        if (!decided && now_us < request->deadline_us) {
            i++;
            continue;
        }
        (void)g_ptr_array_remove_index_fast(node->undecided, i);
        if (decided) {
            handle_cancel(request);
        }
        else {
            answer_request(request, 503, "log_not_read");
            free_request(request);
        }
    }
}

/* Answers requests whose client is about to give up while the outcome of
   their append is not known. */
void
mb_scheduler_requests_tick(mb_scheduler_node_t *node)
{
    uint64_t now_us = mb_clock_us(&node->clock);
    decide_cancellations(node, now_us);
    for (guint i = 0; i < node->requests->len; i++) {
        request_t *request = g_ptr_array_index(node->requests, i);
        if (now_us >= request->deadline_us) {
            answer_request(request, 504, "deadline");
        }
    }
}

/* What an HTTP thread needs to turn a job into a record. */
typedef struct submission {
    request_t *request;
    const mb_queue_t *queue;
    GError **error;
    bool valid;
} submission_t;

/* Completes the specification of a job and encodes its record. */
static void
take_job(void *context, mb_dag_spec_t *spec)
{
    submission_t *submission = context;
    const mb_queue_t *queue = submission->queue;
    const char *reason = NULL;
    spec->id = submission->request->id;
    spec->submitted_ms = mb_scheduler_unix_ms();
    spec->policy =
        (mb_dag_policy_t){.queue = queue->name,
                          .service = queue->service,
                          .priority = queue->priority,
                          .max_attempts = queue->max_attempts,
                          .latency_objective_ms = queue->latency_objective_ms,
                          .stretch_milli = queue->stretch_milli,
                          .needs_advice = queue->needs_advice};
    submission->valid = mb_dag_spec_valid(spec, &reason);
    if (!submission->valid) {
        mb_error_set(submission->error, MB_KIND_INVALID, "%s", reason);
        return;
    }
    mb_dag_record_encode_job(&submission->request->value, spec);
}

/* Reads the job of a submission; false with the error set when it is not
   valid. */
static bool
read_job(request_t *request, const mb_queue_t *queue, GError **error)
{
    mb_scheduler_node_t *node = request->node;
    submission_t submission = {request, queue, error, false};
    return node->front.read_job(node->front.context,
                                mb_http_body(request->exchange), take_job,
                                &submission, error) &&
           submission.valid;
}

/* Tells what a request asks for by its method and what follows the queue's
   prefix; false when that is nothing that exists. */
static bool
read_kind(request_t *request, mb_str_t rest)
{
    mb_str_t method = mb_http_method(request->exchange);
    bool reads = mb_str_equal(method, MB_STR_LIT("GET"));
    if (rest.len == 0) {
        request->kind = REQUEST_PENDING;
        return reads;
    }
    if (!mb_dag_id_parse(rest, &request->id)) {
        return false;
    }
    if (mb_str_equal(method, MB_STR_LIT("POST"))) {
        request->kind = REQUEST_SUBMIT;
        return true;
    }
    request->kind = reads ? REQUEST_STATUS : REQUEST_CANCEL;
    return reads || mb_str_equal(method, MB_STR_LIT("DELETE"));
}

/* Notes until when the client waits. */
static void
read_deadline(request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    uint64_t wait_ms = node->config.default_deadline_ms;
    uint64_t stated_ms;
    mb_str_t header =
        mb_http_header(request->exchange, node->front.deadline_header);
    if (mb_str_to_u64(header, &stated_ms) && stated_ms < wait_ms) {
        wait_ms = stated_ms;
    }
    wait_ms -= MIN(wait_ms / 2, ANSWER_MARGIN_MS);
    request->begun_us = mb_clock_us(&node->clock);
    request->deadline_us = request->begun_us + wait_ms * MB_US_PER_MS;
}

/* Reads a request of a queue, and returns the status to answer it with at
   once, or 0. */
static uint32_t
read_request(request_t *request, const mb_queue_version_t *version,
             GError **error)
{
    mb_str_t path = mb_uri_path(mb_http_uri(request->exchange));
    if (version == NULL) {
        return 503;
    }
    const mb_queue_t *queue = mb_queue_match(
        version, mb_http_header(request->exchange, MB_STR_LIT("Host")), path);
    if (queue == NULL) {
        return 404;
    }
    mb_str_t rest = {path.data + queue->prefix.len,
                     path.len - queue->prefix.len};
    if (!read_kind(request, rest)) {
        return 404;
    }
    mb_buf_set(&request->queue, queue->name);
    read_deadline(request);
    if (request->kind == REQUEST_SUBMIT) {
        if (mb_http_body(request->exchange).len > version->body_max) {
            return 413;
        }
        return read_job(request, queue, error) ? 0 : 400;
    }
    return 0;
}

/* Takes a request on an HTTP thread; it reads the configuration under
   read-copy-update and takes no lock. */
void
mb_scheduler_handle(void *context, mb_http_exchange_t *exchange)
{
    mb_scheduler_node_t *node = context;
    g_autoptr(GError) error = NULL;
    request_t *request = g_new0(request_t, 1);
    request->task.run = run_request;
    request->node = node;
    request->exchange = exchange;
    mb_epoch_enter(node->epoch);
    uint32_t status =
        read_request(request, mb_queue_table_load(&node->queues), &error);
    mb_epoch_leave(node->epoch);
    if (status == 0 && mb_loop_post(&node->loop, &request->task)) {
        return;
    }
    if (error != NULL) {
        mb_log_info(&node->log, "submission refused: %s", error->message);
        mb_http_respond_error(exchange, MB_KIND_INVALID,
                              mb_str_from_cstr(error->message));
    }
    else {
        answer_empty(node, exchange, status == 0 ? 503 : status);
    }
    free_request(request);
}
