/* Requests of clients on the HTTP threads: finds the queue, decodes the job
   and posts the request to the thread of the loop. */
#include <string.h>

#include "mb_cleanup.h"
#include "mb_scheduler_request.h"
#include "mb_uri.h"

/* Time before a client's deadline at which a request that waits for the log
   gets its response, in milliseconds. */
#define RESPONSE_MARGIN_MS 150u
/* Maximum length of a host or a path in a log line, in bytes. */
#define LOGGED_TEXT_MAX 120

/* Context for the decoding of a job on an HTTP thread. */
typedef struct submission {
    mb_scheduler_request_t *request;
    const mb_queue_t *queue;
    GError **error;
    bool valid;
} submission_t;

/* Completes the specification of a decoded job with the policy of its queue,
   validates it and encodes its record into the request. */
static void
encode_job(void *context, mb_dag_spec_t *spec)
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
                          .needs_approval = queue->needs_approval};
    submission->valid = mb_dag_spec_valid(spec, &reason);
    if (!submission->valid) {
        mb_error_set(submission->error, MB_KIND_INVALID, "%s", reason);
        return;
    }
    mb_dag_record_encode_job(&submission->request->value, spec);
    submission->request->job = mb_backlog_job(spec);
    submission->request->weight = mb_dag_weigh(spec);
}

/* Decodes the job of a submission and encodes its record. Returns false with
   the error set if the job is invalid. */
static bool
decode_job(mb_scheduler_request_t *request, const mb_queue_t *queue,
           GError **error)
{
    mb_scheduler_node_t *node = request->node;
    submission_t submission = {request, queue, error, false};
    return node->codec.read_job(node->codec.context,
                                mb_http_body(request->exchange), encode_job,
                                &submission, error) &&
           submission.valid;
}

/* Sets the deadline of a request: the time stated by the client or the
   default, whichever is shorter, less a margin for the response, which is at
   most half of that time. */
static void
set_deadline(mb_scheduler_request_t *request)
{
    mb_scheduler_node_t *node = request->node;
    uint64_t wait_ms = node->config.default_deadline_ms;
    uint64_t stated_ms;
    mb_str_t header =
        mb_http_header(request->exchange, node->codec.deadline_header);
    if (mb_str_to_u64(header, &stated_ms) && stated_ms < wait_ms) {
        wait_ms = stated_ms;
    }
    wait_ms -= MIN(wait_ms / 2, RESPONSE_MARGIN_MS);
    request->received_us = mb_clock_us(&node->clock);
    request->deadline_us = request->received_us + wait_ms * MB_US_PER_MS;
}

/* Logs a request that refers to nothing, on an HTTP thread, and counts one for
   an unknown queue. */
static void
log_unresolved(const mb_scheduler_request_t *request,
               mb_job_request_result_t result, mb_str_t host, mb_str_t path)
{
    mb_scheduler_node_t *node = request->node;
    host.len = MIN(host.len, (size_t)LOGGED_TEXT_MAX);
    path.len = MIN(path.len, (size_t)LOGGED_TEXT_MAX);
    mb_log_info(&node->log,
                "request rejected method=%.*s host=%.*s path=%.*s reason=%s "
                "config_version=%" G_GUINT64_FORMAT
                " config_age_ms=%" G_GUINT64_FORMAT,
                MB_STR_ARG(mb_http_method(request->exchange)),
                MB_STR_ARG(host), MB_STR_ARG(path),
                mb_job_request_result_name(result), request->config_version,
                request->config_age_us / MB_US_PER_MS);
    if (result == MB_JOB_REQUEST_UNKNOWN_QUEUE) {
        mb_counter_add(node->metrics.unknown_queue, 1);
    }
}

/* Notes which version decides a request, and records its age. */
static void
note_version(mb_scheduler_request_t *request,
             const mb_queue_version_t *version)
{
    if (version != NULL) {
        request->config_version = version->version;
        mb_histogram_record(request->node->metrics.request_config_age_us,
                            request->config_age_us);
    }
}

/* Returns the HTTP status for a request that refers to nothing, or 0. */
static uint32_t
status_of_result(mb_job_request_result_t result)
{
    switch (result) {
    case MB_JOB_REQUEST_NO_CONFIGURATION:
    case MB_JOB_REQUEST_STALE_CONFIGURATION:
        return 503;
    case MB_JOB_REQUEST_UNKNOWN_QUEUE:
    case MB_JOB_REQUEST_UNKNOWN_RESOURCE:
        return 404;
    case MB_JOB_REQUEST_OK:
    case MB_JOB_REQUEST_RESULT_COUNT:
        break;
    }
    return 0;
}

/* Parses a request on an HTTP thread, inside the read section in which
   `version` was loaded: the configuration in force, NULL if there is none yet.
   Returns 0, or the HTTP status to respond with at once; for 400 the error is
   set. */
static uint32_t
parse_request(mb_scheduler_request_t *request,
              const mb_queue_version_t *version, GError **error)
{
    mb_http_exchange_t *exchange = request->exchange;
    mb_job_request_target_t target = {0};
    mb_str_t host = mb_http_header(exchange, MB_STR_LIT("Host"));
    mb_str_t path = mb_uri_path(mb_http_uri(exchange));
    mb_job_request_result_t result = mb_job_request_resolve(
        version, mb_scheduler_is_stale(request->node, request->config_age_us),
        mb_http_method(exchange), host, path, &target);
    if (result != MB_JOB_REQUEST_OK) {
        log_unresolved(request, result, host, path);
        return status_of_result(result);
    }
    request->kind = target.kind;
    request->id = target.id;
    request->known_only = target.known_only;
    mb_buf_set(&request->queue, target.queue->name);
    set_deadline(request);
    if (request->kind == MB_JOB_REQUEST_SUBMIT) {
        if (mb_http_body(exchange).len > version->body_max) {
            return 413;
        }
        return decode_job(request, target.queue, error) ? 0 : 400;
    }
    return 0;
}

/* Responds, on an HTTP thread, to a request that is rejected with `status`
   before it reaches the loop. One that was resolved is logged here; `error`
   tells why it is invalid, or is NULL. */
static void
reject(const mb_scheduler_request_t *request, uint32_t status,
       const GError *error)
{
    mb_scheduler_node_t *node = request->node;
    const char *reason = error != NULL   ? error->message
                         : status == 413 ? "body too large"
                                         : "too many requests are waiting";
    if (request->queue.len > 0) {
        mb_log_info(&node->log,
                    "%s rejected job=%.*s queue=%.*s status=%u "
                    "config_version=%" G_GUINT64_FORMAT ": %s",
                    mb_job_request_kind_name(request->kind),
                    MB_STR_ARG(mb_dag_id_view(&request->id)),
                    MB_STR_ARG(mb_buf_view(&request->queue)), status,
                    request->config_version, reason);
    }
    if (error != NULL) {
        mb_http_respond_error(request->exchange, MB_KIND_INVALID,
                              mb_str_from_cstr(reason));
    }
    else {
        mb_scheduler_respond_empty(node, request->exchange, status);
    }
}

/* Handles a request of a client on an HTTP thread. It reads the configuration
   under read-copy-update, without a lock, and posts the request to the loop;
   if the mailbox is full, it responds 503. */
void
mb_scheduler_handle(void *context, mb_http_exchange_t *exchange)
{
    mb_scheduler_node_t *node = context;
    g_autoptr(GError) error = NULL;
    mb_scheduler_request_t *request = g_new0(mb_scheduler_request_t, 1);
    request->task.run = mb_scheduler_request_run;
    request->node = node;
    request->exchange = exchange;
    request->config_age_us = mb_config_reader_age_us(&node->configs);
    mb_epoch_enter(node->epoch);
    const mb_queue_version_t *version = mb_queue_table_load(&node->queues);
    note_version(request, version);
    uint32_t status = parse_request(request, version, &error);
    mb_epoch_leave(node->epoch);
    if (status == 0 && mb_loop_post(&node->loop, &request->task)) {
        return;
    }
    reject(request, status == 0 ? 503 : status, error);
    mb_scheduler_request_free(request);
}
