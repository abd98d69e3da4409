/* Callbacks that decode the jobs of clients and the configurations of
   operators and encode responses, so that the scheduler does not depend on the
   format of the messages. All callbacks may be called on several threads at a
   time. */
#ifndef MB_JOB_CODEC_H
#define MB_JOB_CODEC_H

#include "mb_config_reader.h"
#include "mb_dag.h"
#include "mb_error.h"

/* The status of a job that is shown to clients. */
typedef enum mb_client_job_status {
    MB_JOB_QUEUED, /* no task has started */
    MB_JOB_RUNNING,
    MB_JOB_COMPLETED,
    MB_JOB_FAILED,
    MB_JOB_CANCELLED
} mb_client_job_status_t;

typedef struct mb_job_codec {
    /* Decodes a client's job and passes its specification to `take`, which
       sets the id, the policy and the submission time, and may change other
       members. The specification is valid during that call. Returns false,
       with the error set, if the body is invalid. */
    bool (*read_job)(void *context, mb_str_t body,
                     void (*take)(void *take_context, mb_dag_spec_t *spec),
                     void *take_context, GError **error);
    /* Appends the response to a query for the status of a job. */
    void (*write_status)(void *context, mb_client_job_status_t status,
                         mb_buf_t *out);
    /* Appends the response to a query for the number of jobs of a queue that
       have not started. */
    void (*write_pending)(void *context, uint64_t pending, mb_buf_t *out);
    /* Name of the header with the time that a client waits, in
       milliseconds. */
    mb_str_t deadline_header;
    mb_config_decoder_t config_decoder;
    void *context;
} mb_job_codec_t;

#endif
