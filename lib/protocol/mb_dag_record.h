/* Codec of the records in the job log: submitted and cancelled jobs, the
   progress of jobs, the owner of the fleet, the addresses of agents, estimates
   of how best-effort work affects services, the memory of each scheduler, and
   the forecast of the backlog. The key of a record is one letter for its kind,
   followed by the id of a job, the address of an agent or the name of a
   scheduler if the kind has a record for each. The value is a
   msgpack array whose first element is the version of the format. */
#ifndef MB_DAG_RECORD_H
#define MB_DAG_RECORD_H

#include <msgpack.h>

#include "mb_backlog.h"
#include "mb_dag.h"
#include "mb_error.h"
#include "mb_headroom.h"
#include "mb_job_memory.h"
#include "mb_ownership.h"

/* Maximum number of headroom estimates, for pairs of a service and best-effort
   work, in one record. */
#define MB_DAG_HEADROOM_PAIRS_MAX 4096u
/* Maximum length of a key, in bytes. */
#define MB_DAG_KEY_MAX 64u

typedef enum mb_dag_record_kind {
    MB_DAG_RECORD_JOB,       /* the specification as submitted */
    MB_DAG_RECORD_CANCEL,    /* a client has cancelled the job */
    MB_DAG_RECORD_PROGRESS,  /* finished tasks and outcome of a job */
    MB_DAG_RECORD_AGENT,     /* an agent has started */
    MB_DAG_RECORD_OWNER,     /* claim, heartbeat or resignation */
    MB_DAG_RECORD_HEADROOM,  /* estimates for the next owner */
    MB_DAG_RECORD_DEPARTURE, /* an agent has left, and nothing runs there */
    MB_DAG_RECORD_ABSENCE,   /* tasks that may run beside an absent agent */
    MB_DAG_RECORD_SCHEDULER, /* memory of a scheduler */
    MB_DAG_RECORD_BACKLOG,   /* forecast by which schedulers admit jobs */
    MB_DAG_RECORD_KIND_COUNT
} mb_dag_record_kind_t;

/* The tasks that may run beside an absent agent. */
typedef struct mb_dag_absence_record {
    uint64_t token;      /* of the owner that wrote the record */
    const GArray *tasks; /* mb_dag_task_id_t */
} mb_dag_absence_record_t;

/* One decoded record. Views point into the memory of the decoder or into the
   input. */
typedef struct mb_dag_record {
    mb_dag_record_kind_t kind;
    bool removed;   /* the key was removed, so `body` is not set */
    mb_dag_id_t id; /* in the records of a job */
    /* Of an agent, in its records: where the owner connects, as IPv4:port. */
    mb_str_t address;
    mb_str_t scheduler; /* its name, in its record */
    union {
        mb_dag_spec_t job;
        mb_dag_progress_t progress;
        uint64_t incarnation; /* of an agent's process */
        mb_ownership_record_t owner;
        const GArray *pairs; /* mb_headroom_pair_t */
        mb_dag_absence_record_t absence;
        mb_job_memory_record_t memory;
        const mb_backlog_forecast_t *backlog;
    } body;
} mb_dag_record_t;

/* Memory for decoding, reused for each record. Used on one thread. */
typedef struct mb_dag_record_decoder {
    msgpack_zone zone;
    GArray *rows;     /* mb_dag_progress_row_t */
    GArray *finished; /* mb_dag_range_t */
    GArray *numbers;  /* uint32_t */
    GArray *pairs;    /* mb_headroom_pair_t */
    GArray *tasks;    /* mb_dag_task_id_t */
    mb_backlog_forecast_t backlog;
    mb_dag_step_t steps[MB_DAG_STEPS_MAX];
} mb_dag_record_decoder_t;

/* Returns false when out of memory. */
bool mb_dag_record_decoder_init(mb_dag_record_decoder_t *decoder);
void mb_dag_record_decoder_finish(mb_dag_record_decoder_t *decoder);
/* Decodes a record, which is valid until the next call. An empty value stands
   for a removed key. Returns false, with the error set, for an unknown key, a
   malformed value, a job specification that is not valid, or another version
   of the format; such a record must be ignored. */
bool mb_dag_record_decode(mb_dag_record_decoder_t *decoder, mb_str_t key,
                          mb_str_t value, mb_dag_record_t *record,
                          GError **error);

/* Appends the key of a record. `name` is the id of the job, the address of the
   agent or the name of the scheduler, and empty for the other kinds. */
void mb_dag_record_encode_key(mb_buf_t *out, mb_dag_record_kind_t kind,
                              mb_str_t name);
/* Append the value of a record. */
void mb_dag_record_encode_job(mb_buf_t *out, const mb_dag_spec_t *spec);
void mb_dag_record_encode_cancel(mb_buf_t *out);
void mb_dag_record_encode_progress(mb_buf_t *out,
                                   const mb_dag_progress_t *progress);
/* For the announcement and for the departure of an agent. */
void mb_dag_record_encode_agent(mb_buf_t *out, uint64_t incarnation);
void mb_dag_record_encode_owner(mb_buf_t *out,
                                const mb_ownership_record_t *owner);
/* With at most MB_DAG_ABSENT_TASKS_MAX tasks. */
void mb_dag_record_encode_absence(mb_buf_t *out,
                                  const mb_dag_absence_record_t *absence);
void mb_dag_record_encode_scheduler(mb_buf_t *out,
                                    const mb_job_memory_record_t *memory);
/* `pairs` is an array of at most MB_DAG_HEADROOM_PAIRS_MAX mb_headroom_pair_t.
   Slopes are rounded down to thousandths. */
void mb_dag_record_encode_headroom_pairs(mb_buf_t *out, const GArray *pairs);
void mb_dag_record_encode_backlog(mb_buf_t *out,
                                  const mb_backlog_forecast_t *forecast);

#endif
