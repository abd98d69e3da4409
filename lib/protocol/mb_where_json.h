/* The explanation of where a job would be placed, as JSON for operators. */
#ifndef MB_WHERE_JSON_H
#define MB_WHERE_JSON_H

#include "mb_fleet_where.h"

typedef struct mb_where_answer {
    bool owner; /* of the fleet; other processes can't explain anything */
    mb_dag_outcome_t outcome;
    mb_fleet_where_t where; /* unless the job has an outcome */
    bool judged;            /* by the backlog; the two members below are set */
    bool admitted;
    uint32_t retry_after_s;
} mb_where_answer_t;

/* Appends an answer as an object with the member "owner" and, of the owner,
   "outcome", "late", "jobs_before", "steps" and "admission". */
void mb_where_json_write(mb_buf_t *out, const mb_where_answer_t *answer);

#endif
