/* JSON for operators about the tasks of a job: why they wait, where they run
   and what happened to them. */
#ifndef MB_EXPLAIN_JSON_H
#define MB_EXPLAIN_JSON_H

#include "mb_shard.h"

/* Maximum number of tasks in the list of one explanation. The task counts
   include all tasks. */
#define MB_EXPLAIN_TASKS_MAX 1000

/* Status of a job, summed over the shards that were queried. */
typedef struct mb_explain_status {
    bool known; /* false: none of the shards knows the job */
    uint32_t counts[MB_TASK_STATE_COUNT]; /* tasks by state */
    mb_wait_reason_t wait;                /* why tasks wait, if any do */
} mb_explain_status_t;

/* Returns the name of a reason in the API. */
const char *mb_wait_reason_name(mb_wait_reason_t reason);
/* Returns whether a job that waits for this reason can't be scheduled until a
   declared resource changes. */
bool mb_wait_reason_is_unschedulable(mb_wait_reason_t reason);
/* Appends the status of a job as a JSON object. */
void mb_explain_json_write_status(mb_buf_t *out,
                                  const mb_explain_status_t *status);
/* Appends a JSON object with what one shard knows about the job of this name,
   or else about the service of this name: task counts, wait reason, tasks and
   recent events. `stream` is the name of the shard's stream. Returns false,
   and appends nothing, if the shard knows neither. */
bool mb_explain_json_write(mb_buf_t *out, const mb_shard_t *shard,
                           mb_str_t stream, mb_str_t job);

#endif
