/* The explanation of where a job would be placed, for operators, on the
   metrics address: GET /where?job=ID for a job of the fleet, or GET
   /where?service=NAME with parameters of a task for one that has not been
   submitted. The thread of the loop, which holds the fleet, answers. */
#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_scheduler_internal.h"
#include "mb_uri.h"
#include "mb_where_json.h"

/* Run time of a task for which the request gives none, in milliseconds. */
#define RUN_MS_DEFAULT 1000u
#define STRETCH_MILLI_DEFAULT 2000u
#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_UNAVAILABLE 503

static const mb_str_t where_path = {"/where", 6};

/* A request for an explanation. */
typedef struct inquiry {
    mb_loop_task_t task;
    mb_scheduler_node_t *node;
    mb_http_exchange_t *exchange;
} inquiry_t;

/* A job of one step, as a request describes it. Texts are views of the URI. */
typedef struct description {
    mb_dag_spec_t spec;
    mb_dag_step_t step;
} description_t;

/* Reads a text parameter of the URI, which is empty if it is absent. */
static mb_str_t
get_text(mb_str_t uri, const char *name)
{
    mb_str_t value = MB_STR_EMPTY;
    (void)mb_uri_get_parameter(uri, mb_str_from_cstr(name), &value);
    return value;
}

/* Reads a number of the URI into a member, which keeps its value if the
   parameter is absent. Returns false if it is not a number of 32 bits. */
static bool
get_number(mb_str_t uri, const char *name, uint32_t *member)
{
    uint64_t value = *member;
    if (!mb_uri_get_parameter_u64(uri, mb_str_from_cstr(name), &value) ||
        value > UINT32_MAX) {
        return false;
    }
    *member = (uint32_t)value;
    return true;
}

/* Reads a flag of the URI, 0 or 1. */
static bool
get_flag(mb_str_t uri, const char *name, bool *member)
{
    uint32_t value = 0;
    if (!get_number(uri, name, &value) || value > 1) {
        return false;
    }
    *member = value == 1;
    return true;
}

/* Reads the description of a job from the URI. Returns false if a parameter is
   not valid. */
static bool
read_description(mb_str_t uri, description_t *description)
{
    mb_dag_spec_t *spec = &description->spec;
    mb_dag_step_t *step = &description->step;
    *step = (mb_dag_step_t){.count = 1,
                            .estimate_ms = RUN_MS_DEFAULT,
                            .label = get_text(uri, "label"),
                            .rack = get_text(uri, "rack"),
                            .image = get_text(uri, "image")};
    *spec = (mb_dag_spec_t){.policy = {.queue = get_text(uri, "queue"),
                                       .service = get_text(uri, "service"),
                                       .max_attempts = 1,
                                       .stretch_milli = STRETCH_MILLI_DEFAULT},
                            .step_count = 1,
                            .steps = step,
                            .submitted_ms = mb_scheduler_unix_ms()};
    return mb_dag_id_parse(MB_STR_LIT("0000000000000000"), &spec->id) &&
           get_number(uri, "priority", &spec->policy.priority) &&
           get_number(uri, "stretch_milli", &spec->policy.stretch_milli) &&
           get_number(uri, "latency_objective_ms",
                      &spec->policy.latency_objective_ms) &&
           get_number(uri, "count", &step->count) &&
           get_number(uri, "cpu_milli", &step->size.cpu_milli) &&
           get_number(uri, "memory_mb", &step->size.memory_mb) &&
           get_number(uri, "accelerators", &step->size.accelerators) &&
           get_number(uri, "run_ms", &step->estimate_ms) &&
           get_number(uri, "per_worker_max", &step->per_worker_max) &&
           get_number(uri, "latency_target_ms", &step->latency_target_ms) &&
           get_flag(uri, "best_effort", &step->best_effort) &&
           get_flag(uri, "long_running", &step->long_running) &&
           get_flag(uri, "gang", &step->gang);
}

/* Explains a job that has not been submitted. Returns the status of the
   response. */
static unsigned
explain_description(mb_scheduler_node_t *node, mb_str_t uri,
                    mb_where_answer_t *answer)
{
    description_t description;
    if (!read_description(uri, &description) ||
        !mb_fleet_explain_spec(&node->fleet, &description.spec,
                               &answer->where)) {
        return HTTP_BAD_REQUEST;
    }
    answer->judged = node->config.reject_overdue_jobs;
    if (answer->judged) {
        mb_backlog_job_t job = mb_backlog_job(&description.spec);
        mb_backlog_decision_t decision = mb_backlog_decide(
            &node->backlog, &job, node->ownership.last_read_start_us);
        answer->admitted = decision.admitted;
        answer->retry_after_s = decision.retry_after_s;
    }
    return HTTP_OK;
}

/* Explains a job of the fleet. Returns the status of the response. */
static unsigned
explain_job(mb_scheduler_node_t *node, mb_str_t name,
            mb_where_answer_t *answer)
{
    mb_dag_id_t id;
    if (!mb_dag_id_parse(name, &id)) {
        return HTTP_BAD_REQUEST;
    }
    mb_dag_job_t *job = mb_dag_find(&node->table, id);
    if (job == NULL) {
        return HTTP_NOT_FOUND;
    }
    answer->outcome = job->outcome;
    if (job->outcome == MB_DAG_OPEN) {
        mb_fleet_explain_job(&node->fleet, job, &answer->where);
    }
    return HTTP_OK;
}

/* Responds to a request, on the thread of the loop. */
static void
respond_where(mb_loop_task_t *task)
{
    inquiry_t *inquiry = (inquiry_t *)task;
    mb_scheduler_node_t *node = inquiry->node;
    mb_str_t uri = mb_http_uri(inquiry->exchange);
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_where_answer_t answer = {.owner = mb_fleet_is_owner(&node->fleet)};
    mb_str_t name = get_text(uri, "job");
    unsigned status = HTTP_OK;
    if (answer.owner) {
        status = name.len > 0 ? explain_job(node, name, &answer)
                              : explain_description(node, uri, &answer);
    }
    if (status == HTTP_OK) {
        mb_where_json_write(&body, &answer);
    }
    mb_http_respond(inquiry->exchange, status, NULL, mb_buf_view(&body));
    g_free(inquiry);
}

/* Handles a request for an explanation, on an HTTP thread. Returns false,
   without a response, if the request is for something else. While draining it
   is rejected: the loop may be stopped before it would respond. */
bool
mb_scheduler_handle_where(mb_scheduler_node_t *node,
                          mb_http_exchange_t *exchange)
{
    if (!mb_str_equal(mb_uri_path(mb_http_uri(exchange)), where_path)) {
        return false;
    }
    inquiry_t *inquiry = g_new0(inquiry_t, 1);
    *inquiry = (inquiry_t){
        .task = {.run = respond_where}, .node = node, .exchange = exchange};
    if (mb_atomic_load(&node->draining) != 0 ||
        !mb_loop_post(&node->loop, &inquiry->task)) {
        mb_http_respond(exchange, HTTP_UNAVAILABLE, NULL, MB_STR_EMPTY);
        g_free(inquiry);
    }
    return true;
}
