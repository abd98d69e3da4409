/* A request of a client, as the HTTP threads (mb_scheduler_accept.c) pass it
   to the thread of the loop (mb_scheduler_requests.c). */
#ifndef MB_SCHEDULER_REQUEST_H
#define MB_SCHEDULER_REQUEST_H

#include "mb_job_request.h"
#include "mb_scheduler_internal.h"

/* One request. It is created on an HTTP thread and owned by the loop once it
   is posted. */
typedef struct mb_scheduler_request {
    mb_loop_task_t task;
    mb_scheduler_node_t *node;
    mb_http_exchange_t *exchange; /* NULL once the response was sent */
    mb_job_request_kind_t kind;
    mb_dag_id_t id;          /* of the job; unset for MB_JOB_REQUEST_PENDING */
    mb_buf_t queue;          /* name of the queue */
    mb_buf_t value;          /* of the record to append */
    uint64_t config_version; /* by which the request was decided; 0: none */
    uint64_t config_age_us; /* since that version was known to be the newest */
    bool known_only;        /* see mb_job_request_target_t */
    uint64_t received_us;
    uint64_t deadline_us; /* the response is due by then */
    /* Of a submission. */
    mb_backlog_job_t job;
    mb_backlog_decision_t decision;
    uint64_t weight; /* of the job, see mb_dag_weigh */
} mb_scheduler_request_t;

/* What becomes of a submission. */
typedef enum mb_scheduler_verdict {
    MB_SCHEDULER_ADMITTED,
    MB_SCHEDULER_REJECTED,
    MB_SCHEDULER_UNDECIDED,  /* to be rejected, once the log has been read */
    MB_SCHEDULER_UNCONFIRMED /* the same, but the log was not read in time */
} mb_scheduler_verdict_t;

void mb_scheduler_request_free(mb_scheduler_request_t *request);
void mb_scheduler_request_run(mb_loop_task_t *task);
void mb_scheduler_respond_empty(mb_scheduler_node_t *node,
                                mb_http_exchange_t *exchange, uint32_t status);

/* mb_scheduler_memory.c */
mb_scheduler_verdict_t
mb_scheduler_judge_memory(mb_scheduler_request_t *request);
void mb_scheduler_note_no_memory(const mb_scheduler_request_t *request);

/* mb_scheduler_backlog.c */
bool mb_scheduler_is_confirmed(const mb_scheduler_request_t *request);
mb_scheduler_verdict_t mb_scheduler_judge(mb_scheduler_request_t *request);
void mb_scheduler_note_rejected(const mb_scheduler_request_t *request);
void mb_scheduler_note_admitted(const mb_scheduler_request_t *request);

#endif
