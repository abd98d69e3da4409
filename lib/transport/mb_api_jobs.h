/* What the tasks of jobs do, shown beside what was declared. */
#ifndef MB_API_JOBS_H
#define MB_API_JOBS_H

#include "mb_http_api.h"

/* The tasks of jobs, by name; all zero when they are not known. */
typedef struct mb_api_jobs {
    GPtrArray *names;
    mb_job_status_t *status;
    GHashTable *status_by_name; /* name -> mb_job_status_t */
} mb_api_jobs_t;

void mb_api_jobs_init(mb_api_jobs_t *table, const mb_http_api_t *api,
                      mb_resource_kind_t kind, mb_str_t name);
void mb_api_jobs_finish(mb_api_jobs_t *table);
void mb_api_jobs_encode(mb_buf_t *out, const mb_api_jobs_t *table,
                        const mb_resource_t *resource);

#endif
