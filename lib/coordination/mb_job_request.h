/* Decides, by the configuration in force, what a client's request about jobs
   refers to: its queue, its kind and its job. No encoding: the method, the
   host and the path are those of an HTTP request, but any front end can
   provide them. */
#ifndef MB_JOB_REQUEST_H
#define MB_JOB_REQUEST_H

#include "mb_dag.h"
#include "mb_queue_table.h"

typedef enum mb_job_request_kind {
    MB_JOB_REQUEST_SUBMIT,
    MB_JOB_REQUEST_STATUS,
    MB_JOB_REQUEST_CANCEL,
    MB_JOB_REQUEST_PENDING, /* the number of jobs of a queue that have not
                               started */
    MB_JOB_REQUEST_KIND_COUNT
} mb_job_request_kind_t;

/* Whether a request refers to something that exists. */
typedef enum mb_job_request_result {
    MB_JOB_REQUEST_OK,
    MB_JOB_REQUEST_NO_CONFIGURATION,    /* none has been read yet */
    MB_JOB_REQUEST_STALE_CONFIGURATION, /* it may be out of date */
    MB_JOB_REQUEST_UNKNOWN_QUEUE,
    MB_JOB_REQUEST_UNKNOWN_RESOURCE, /* not a resource or method of a queue */
    MB_JOB_REQUEST_RESULT_COUNT
} mb_job_request_result_t;

/* What a request refers to. `queue` belongs to the version that was used. */
typedef struct mb_job_request_target {
    mb_job_request_kind_t kind;
    mb_dag_id_t id; /* of the job; unset for MB_JOB_REQUEST_PENDING */
    const mb_queue_t *queue;
    bool known_only; /* a new job must not be accepted: the configuration may
                        be out of date */
} mb_job_request_target_t;

const char *mb_job_request_kind_name(mb_job_request_kind_t kind);
const char *mb_job_request_result_name(mb_job_request_result_t result);
mb_job_request_result_t
mb_job_request_resolve(const mb_queue_version_t *version, bool stale,
                       mb_str_t method, mb_str_t host, mb_str_t path,
                       mb_job_request_target_t *target);

#endif
