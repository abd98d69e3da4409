/* How clients and operators write jobs and configurations, as callbacks: the
   scheduler decides, a front end translates. All may be called on several
   threads at a time. */
#ifndef MB_JOB_CODEC_H
#define MB_JOB_CODEC_H

#include "mb_dag.h"
#include "mb_error.h"
#include "mb_queue_table.h"

/* What clients are told of a job. */
typedef enum mb_client_job_status {
    MB_JOB_QUEUED, /* no task has started */
    MB_JOB_RUNNING,
    MB_JOB_COMPLETED,
    MB_JOB_FAILED,
    MB_JOB_CANCELLED
} mb_client_job_status_t;

typedef struct mb_job_codec {
    /* Reads a client's job and hands its specification on; id, policy and
       time of submission are not set. False, with the error set, for a body
       that can't be read. */
    bool (*read_job)(void *context, mb_str_t body,
                     void (*take)(void *take_context, mb_dag_spec_t *spec),
                     void *take_context, GError **error);
    void (*write_status)(void *context, mb_client_job_status_t status,
                         mb_buf_t *out);
    void (*write_pending)(void *context, uint64_t pending, mb_buf_t *out);
    /* Name of the header with the time that a client waits, in
       milliseconds. */
    mb_str_t deadline_header;
    /* Reads a configuration record and hands it on. False, with the error
       set, for one that can't be read; false without an error for a record of
       another kind. */
    bool (*read_config)(void *context, mb_str_t key, mb_str_t value,
                        void (*take)(void *take_context,
                                     const mb_queue_version_t *version),
                        void *take_context, GError **error);
    void *context;
} mb_job_codec_t;

#endif
