/* Requests of clients on the thread of the loop, which looks up the job,
   appends records to the log and responds. */
#include <stdio.h>

#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_scheduler_request.h"

/* Time after which a record that could not be appended is rejected, in
   milliseconds, so that the client can retry at another process in time. */
#define APPEND_TIMEOUT_MS 800u

/* Size of the buffer for a Retry-After value, in bytes. */
#define RETRY_AFTER_TEXT_MAX 12

/* Releases a request, which must have been responded to. */
void
mb_scheduler_request_free(mb_scheduler_request_t *request)
{
    mb_buf_finish(&request->queue);
    mb_buf_finish(&request->value);
    g_free(request);
}

/* Responds with a status and a JSON body, on any thread. Status 429 and 503
   carry a Retry-After header of `retry_after_s` or, if that is less, of the
   time that the outage of the log asks for. While draining, the client is told
   to close the connection. */
static void
respond(mb_scheduler_node_t *node, mb_http_exchange_t *exchange,
        uint32_t status, mb_str_t body, uint32_t retry_after_s)
{
    uint64_t outage_s = mb_atomic_load(&node->retry_after_s);
    mb_headers_t headers = {.count = 1};
    char retry_after_text[RETRY_AFTER_TEXT_MAX];
    headers.items[0] = (mb_header_t){MB_STR_LIT("Content-Type"),
                                     MB_STR_LIT("application/json")};
    if (status == 503 || status == 429) {
        (void)snprintf(retry_after_text, sizeof(retry_after_text), "%u",
                       MAX((unsigned)outage_s, retry_after_s));
        headers.items[headers.count++] = (mb_header_t){
            MB_STR_LIT("Retry-After"), mb_str_from_cstr(retry_after_text)};
    }
    if (mb_atomic_load(&node->draining) != 0) {
        headers.items[headers.count++] =
            (mb_header_t){MB_STR_LIT("Connection"), MB_STR_LIT("close")};
    }
    mb_http_respond(exchange, status, &headers, body);
}

/* Responds with a status and an empty JSON object, on any thread. */
void
mb_scheduler_respond_empty(mb_scheduler_node_t *node,
                           mb_http_exchange_t *exchange, uint32_t status)
{
    respond(node, exchange, status, MB_STR_LIT("{}"), 0);
}

/* Responds to a submission or cancellation, if that has not happened yet;
   logs the response and, for a submission, counts it. `reason` goes to the
   log. */
static void
respond_to_write(mb_scheduler_request_t *request, uint32_t status,
                 const char *reason)
{
    mb_scheduler_node_t *node = request->node;
    uint64_t age_us = mb_clock_us(&node->clock) - request->received_us;
    if (request->exchange == NULL) {
        return;
    }
    mb_severity_t severity =
        status < 400 ? MB_SEVERITY_INFO : MB_SEVERITY_NOTICE;
    mb_log_line(&node->log, severity,
                "%s answered job=%.*s queue=%.*s status=%u reason=%s "
                "age_ms=%" G_GUINT64_FORMAT
                " config_version=%" G_GUINT64_FORMAT
                " config_age_ms=%" G_GUINT64_FORMAT,
                mb_job_request_kind_name(request->kind),
                MB_STR_ARG(mb_dag_id_view(&request->id)),
                MB_STR_ARG(mb_buf_view(&request->queue)), status, reason,
                age_us / MB_US_PER_MS, request->config_version,
                request->config_age_us / MB_US_PER_MS);
    if (request->kind == MB_JOB_REQUEST_SUBMIT) {
        mb_counter_add(status == 200   ? node->metrics.accepted
                       : status == 503 ? node->metrics.rejected
                                       : node->metrics.unknown,
                       1);
        mb_histogram_record(node->metrics.accept_us, age_us);
    }
    respond(node, request->exchange, status, MB_STR_LIT("{}"),
            request->decision.retry_after_s);
    request->exchange = NULL;
}

/* Logs the response to a query, at `severity`. `job` is empty for one that is
   not about a job. */
static void
log_query(const mb_scheduler_request_t *request, mb_severity_t severity,
          mb_str_t job, uint32_t status)
{
    mb_log_line(&request->node->log, severity,
                "%s answered job=%.*s queue=%.*s status=%u "
                "config_version=%" G_GUINT64_FORMAT
                " config_age_ms=%" G_GUINT64_FORMAT,
                mb_job_request_kind_name(request->kind), MB_STR_ARG(job),
                MB_STR_ARG(mb_buf_view(&request->queue)), status,
                request->config_version,
                request->config_age_us / MB_US_PER_MS);
}

/* Handles the result of an append: responds unless the deadline has passed,
   and frees the request. */
static void
append_done(void *context, mb_keyed_result_t result)
{
    mb_scheduler_request_t *request = context;
    mb_scheduler_node_t *node = request->node;
    if (result == MB_KEYED_OK) {
        respond_to_write(request, 200, "stored");
    }
    else if (result == MB_KEYED_NOT_DONE) {
        if (request->kind == MB_JOB_REQUEST_SUBMIT) {
            mb_backlog_note_withdrawn(&node->backlog, request->id);
        }
        respond_to_write(request, 503, "log_unavailable");
    }
    else {
        respond_to_write(request, 504, mb_keyed_result_name(result));
    }
    (void)g_ptr_array_remove_fast(node->pending_appends, request);
    mb_scheduler_request_free(request);
}

/* Queues the record of a request for the log. Rejects the request at once if
   the journal is stalled or full. */
static void
append(mb_scheduler_request_t *request, mb_dag_record_kind_t kind)
{
    mb_scheduler_node_t *node = request->node;
    uint64_t timeout_us = APPEND_TIMEOUT_MS * (uint64_t)MB_US_PER_MS;
    uint64_t append_deadline_us =
        MIN(mb_clock_us(&node->clock) + timeout_us, request->deadline_us);
    mb_buf_clear(&node->key);
    mb_dag_record_encode_key(&node->key, kind, mb_dag_id_view(&request->id));
    if (mb_journal_stalled(&node->journal) ||
        !mb_journal_add(&node->journal, mb_buf_view(&node->key),
                        mb_buf_view(&request->value), append_deadline_us,
                        append_done, request)) {
        respond_to_write(request, 503, "log_stalled");
        mb_scheduler_request_free(request);
        return;
    }
    if (kind == MB_DAG_RECORD_JOB) {
        mb_scheduler_note_admitted(request);
    }
    g_ptr_array_add(node->pending_appends, request);
    mb_scheduler_defer_flush(node);
}

/* Returns the status of a job that is shown to clients. */
static mb_client_job_status_t
get_client_status(const mb_scheduler_job_state_t *state)
{
    switch (state->outcome) {
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
    return state->started ? MB_JOB_RUNNING : MB_JOB_QUEUED;
}

/* Returns whether the table of jobs is up to date except for jobs of the last
   seconds: the log has been loaded and its latest read is recent. */
static bool
is_table_current(const mb_scheduler_node_t *node)
{
    return mb_follower_loaded(&node->jobs) &&
           mb_ownership_log_reachable(&node->ownership);
}

/* Responds for a job that is not in the table: 410 if the job does not exist,
   503 if the table may be out of date. Frees the request. */
static void
respond_unknown(mb_scheduler_request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    uint32_t status = is_table_current(node) ? 410 : 503;
    log_query(request, MB_SEVERITY_INFO, mb_dag_id_view(&request->id), status);
    mb_scheduler_respond_empty(node, request->exchange, status);
    mb_scheduler_request_free(request);
}

/* Handles a query for the status of a job. */
static void
handle_status(mb_scheduler_request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    mb_scheduler_job_state_t state;
    MB_AUTO_BUF mb_buf_t body = {0};
    if (!mb_scheduler_find_job(node, request->id, &state)) {
        respond_unknown(request);
        return;
    }
    node->codec.write_status(node->codec.context, get_client_status(&state),
                             &body);
    log_query(request, MB_SEVERITY_DEBUG, mb_dag_id_view(&request->id), 200);
    respond(node, request->exchange, 200, mb_buf_view(&body), 0);
    mb_scheduler_request_free(request);
}

/* Handles a submission: appends the job to the log, or rejects it for lack of
   memory or because of the backlog. If a job with the same id is stored
   already, the submission is accepted, so a client may retry. */
static void
handle_submit(mb_scheduler_request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    mb_scheduler_job_state_t state;
    if (mb_scheduler_find_job(node, request->id, &state)) {
        respond_to_write(request, 200, "known");
        mb_scheduler_request_free(request);
        return;
    }
    if (request->known_only) {
        respond_to_write(request, 503, "stale_configuration");
        mb_scheduler_request_free(request);
        return;
    }
    mb_scheduler_verdict_t verdict = mb_scheduler_judge_memory(request);
    bool has_memory = verdict == MB_SCHEDULER_ADMITTED;
    if (has_memory) {
        verdict = mb_scheduler_judge(request);
    }
    switch (verdict) {
    case MB_SCHEDULER_ADMITTED:
        request->decision.retry_after_s = 0;
        append(request, MB_DAG_RECORD_JOB);
        break;
    case MB_SCHEDULER_REJECTED:
        if (has_memory) {
            mb_scheduler_note_rejected(request);
        }
        else {
            mb_scheduler_note_no_memory(request);
        }
        respond_to_write(request, 503, has_memory ? "backlog" : "memory");
        mb_scheduler_request_free(request);
        break;
    case MB_SCHEDULER_UNCONFIRMED:
        respond_to_write(request, 504, "log_not_read");
        mb_scheduler_request_free(request);
        break;
    case MB_SCHEDULER_UNDECIDED:
        g_ptr_array_add(node->pending_submits, request);
        break;
    }
}

/* Handles a cancellation: appends it to the log, unless the job is closed. An
   unknown job may have been accepted by another process just before; the
   request then waits for a read of the log that begins after its receipt. */
static void
handle_cancel(mb_scheduler_request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    mb_scheduler_job_state_t state;
    bool is_known = mb_scheduler_find_job(node, request->id, &state);
    if (!is_known && is_table_current(node) &&
        node->ownership.last_read_start_us < request->received_us) {
        g_ptr_array_add(node->pending_cancels, request);
        return;
    }
    if (!is_known) {
        respond_unknown(request);
        return;
    }
    if (state.outcome != MB_DAG_OPEN) {
        respond_to_write(request, 200, "closed");
        mb_scheduler_request_free(request);
        return;
    }
    mb_dag_record_encode_cancel(&request->value);
    append(request, MB_DAG_RECORD_CANCEL);
}

/* Handles a query for the number of jobs of a queue that have not started. */
static void
handle_pending(mb_scheduler_request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    MB_AUTO_BUF mb_buf_t body = {0};
    uint64_t pending = 0;
    GHashTableIter iter;
    gpointer value;
    if (!mb_follower_loaded(&node->jobs)) {
        log_query(request, MB_SEVERITY_INFO, MB_STR_EMPTY, 503);
        mb_scheduler_respond_empty(node, request->exchange, 503);
        mb_scheduler_request_free(request);
        return;
    }
    g_hash_table_iter_init(&iter, node->table.jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mb_dag_job_t *job = value;
        pending +=
            job->stored_outcome == MB_DAG_OPEN && !job->started &&
            mb_str_equal(job->spec.policy.queue, mb_buf_view(&request->queue));
    }
    pending +=
        mb_scheduler_count_set_aside(node, mb_buf_view(&request->queue));
    node->codec.write_pending(node->codec.context, pending, &body);
    log_query(request, MB_SEVERITY_INFO, MB_STR_EMPTY, 200);
    respond(node, request->exchange, 200, mb_buf_view(&body), 0);
    mb_scheduler_request_free(request);
}

/* Handles a posted request, on the thread of the loop. */
void
mb_scheduler_request_run(mb_loop_task_t *task)
{
    mb_scheduler_request_t *request = (mb_scheduler_request_t *)task;
    switch (request->kind) {
    case MB_JOB_REQUEST_SUBMIT:
        handle_submit(request);
        break;
    case MB_JOB_REQUEST_STATUS:
        handle_status(request);
        break;
    case MB_JOB_REQUEST_CANCEL:
        handle_cancel(request);
        break;
    case MB_JOB_REQUEST_PENDING:
        handle_pending(request);
        break;
    case MB_JOB_REQUEST_KIND_COUNT:
        break;
    }
}

/* Handles the waiting cancellations again for which the log has been read, and
   rejects those whose deadline has passed. */
static void
retry_pending_cancels(mb_scheduler_node_t *node, uint64_t now_us)
{
    for (guint i = 0; i < node->pending_cancels->len;) {
        mb_scheduler_request_t *request =
            g_ptr_array_index(node->pending_cancels, i);
        mb_scheduler_job_state_t state;
        bool decidable =
            mb_scheduler_find_job(node, request->id, &state) ||
            node->ownership.last_read_start_us >= request->received_us ||
            !is_table_current(node);
        if (!decidable && now_us < request->deadline_us) {
            i++;
            continue;
        }
        (void)g_ptr_array_remove_index_fast(node->pending_cancels, i);
        if (decidable) {
            handle_cancel(request);
        }
        else {
            respond_to_write(request, 503, "log_not_read");
            mb_scheduler_request_free(request);
        }
    }
}

/* Handles the submissions again that wait for a read of the log. */
static void
retry_pending_submits(mb_scheduler_node_t *node)
{
    guint count = node->pending_submits->len;
    for (guint i = 0; i < count; i++) {
        handle_submit(g_ptr_array_index(node->pending_submits, i));
    }
    if (count > 0) {
        g_ptr_array_remove_range(node->pending_submits, 0, count);
    }
}

/* Handles the waiting submissions and cancellations, and responds 504 to
   requests whose deadline has passed while the outcome of their append is
   unknown. Those stay allocated until the append completes. */
void
mb_scheduler_requests_tick(mb_scheduler_node_t *node)
{
    uint64_t now_us = mb_clock_us(&node->clock);
    retry_pending_submits(node);
    retry_pending_cancels(node, now_us);
    for (guint i = 0; i < node->pending_appends->len; i++) {
        mb_scheduler_request_t *request =
            g_ptr_array_index(node->pending_appends, i);
        if (now_us >= request->deadline_us) {
            respond_to_write(request, 504, "deadline");
        }
    }
}
