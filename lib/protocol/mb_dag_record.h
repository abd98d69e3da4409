/* Records of the job log: what clients asked for, what was cancelled, how far
   jobs are, who owns the fleet, where agents listen and what owners learned of
   filling work beside services. A key is one letter for the kind and the name
   of the thing. */
#ifndef MB_DAG_RECORD_H
#define MB_DAG_RECORD_H

#include <msgpack.h>

#include "mb_headroom.h"
#include "mb_dag.h"
#include "mb_error.h"
#include "mb_ownership.h"

/* Most pairs of a service and filling work in one record. */
#define MB_DAG_HEADROOM_PAIRS_MAX 4096u
/* Longest key, in bytes. */
#define MB_DAG_KEY_MAX 64u

typedef enum mb_dag_record_kind {
    MB_DAG_RECORD_JOB,
    MB_DAG_RECORD_CANCEL,
    MB_DAG_RECORD_PROGRESS,
    MB_DAG_RECORD_AGENT,
    MB_DAG_RECORD_OWNER,
    MB_DAG_RECORD_HEADROOM,
    MB_DAG_RECORD_KIND_COUNT
} mb_dag_record_kind_t;

/* The address of an agent, for its owner to connect to. */
typedef struct mb_dag_agent_record {
    mb_str_t address; /* IPv4:port */
    uint64_t incarnation;
} mb_dag_agent_record_t;

/* One decoded record; views point into the decoder's memory or the input. */
typedef struct mb_dag_record {
    mb_dag_record_kind_t kind;
    bool removed;   /* the key was removed; only `id` or `agent` is set */
    mb_dag_id_t id; /* of a job's records */
    union {
        mb_dag_spec_t job;
        mb_dag_progress_t progress;
        mb_dag_agent_record_t agent;
        mb_ownership_record_t owner;
        const GArray *pairs; /* mb_headroom_pair_t */
    } body;
} mb_dag_record_t;

/* Memory that is used again for every record. */
typedef struct mb_dag_record_decoder {
    msgpack_zone zone;
    GArray *rows;
    GArray *pairs;
    mb_dag_step_t steps[MB_DAG_STEPS_MAX];
} mb_dag_record_decoder_t;

bool mb_dag_record_decoder_init(mb_dag_record_decoder_t *decoder);
void mb_dag_record_decoder_finish(mb_dag_record_decoder_t *decoder);
bool mb_dag_record_decode(mb_dag_record_decoder_t *decoder, mb_str_t key,
                          mb_str_t value, mb_dag_record_t *record,
                          GError **error);

void mb_dag_record_encode_key(mb_buf_t *out, mb_dag_record_kind_t kind,
                              mb_str_t name);
void mb_dag_record_encode_job(mb_buf_t *out, const mb_dag_spec_t *spec);
void mb_dag_record_encode_cancel(mb_buf_t *out);
void mb_dag_record_encode_progress(mb_buf_t *out,
                                   const mb_dag_progress_t *progress);
void mb_dag_record_encode_agent(mb_buf_t *out,
                                const mb_dag_agent_record_t *agent);
void mb_dag_record_encode_owner(mb_buf_t *out,
                                const mb_ownership_record_t *owner);
void mb_dag_record_encode_headroom_pairs(mb_buf_t *out, const GArray *pairs);

#endif
