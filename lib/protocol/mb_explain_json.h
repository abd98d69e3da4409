/* JSON of what a shard knows about a job. */
#ifndef MB_EXPLAIN_JSON_H
#define MB_EXPLAIN_JSON_H

#include "mb_shard.h"

/* Most tasks in one explanation; the counts cover all. */
#define MB_EXPLAIN_TASKS_MAX 1000

/* Tasks of a job by what they do, over all shards that were asked. */
typedef struct mb_explain_status {
    bool known;
    uint32_t counts[MB_TASK_STATE_COUNT];
    mb_wait_reason_t wait;
} mb_explain_status_t;

const char *mb_wait_reason_name(mb_wait_reason_t reason);
bool mb_wait_reason_is_unschedulable(mb_wait_reason_t reason);
void mb_explain_json_write_status(mb_buf_t *out,
                                  const mb_explain_status_t *status);
bool mb_explain_json_write(mb_buf_t *out, const mb_shard_t *shard,
                           mb_str_t stream, mb_str_t job);

#endif
