/* Adds the status of jobs to the responses of the operators' API. */
#ifndef MB_API_JOBS_H
#define MB_API_JOBS_H

#include "mb_http_api.h"

/* The status of one or all jobs. All fields are NULL for resources of other
   kinds and without a callback for the status. */
typedef struct mb_api_jobs {
    GPtrArray *names;            /* owned C strings */
    mb_explain_status_t *status; /* one element for each name */
    /* Name -> mb_explain_status_t, both borrowed from the fields above. Empty
       if the status is not available. */
    GHashTable *status_by_name;
} mb_api_jobs_t;

void mb_api_jobs_init(mb_api_jobs_t *table, const mb_http_api_t *api,
                      mb_resource_kind_t kind, mb_str_t name);
void mb_api_jobs_finish(mb_api_jobs_t *table);
void mb_api_jobs_encode(mb_buf_t *out, const mb_api_jobs_t *table,
                        const mb_resource_t *resource);

#endif
