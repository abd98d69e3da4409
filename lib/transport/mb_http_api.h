/* The operators' API on its own address: declared resources, watch, dump,
   metrics and health. */
#ifndef MB_HTTP_API_H
#define MB_HTTP_API_H

#include "mb_config_store.h"
#include "mb_counter.h"
#include "mb_dump.h"
#include "mb_explain_json.h"
#include "mb_http_server.h"

/* Most watchers that wait at a time; further ones get `overload`. */
#define MB_API_WATCHERS_MAX 256
/* Most modules in a dump. */
#define MB_API_DUMPS_MAX 32
/* Revision of the configuration that an answer shows. */
#define MB_API_REVISION_HEADER "X-Magnoliabarrow-Revision"

typedef struct mb_http_api_config {
    uint32_t ip; /* host byte order */
    uint16_t port;
    mb_str_t token; /* empty: no token is asked for */
    uint32_t write_timeout_ms;
} mb_http_api_config_t;

typedef struct mb_http_api_callbacks {
    /* Whether the configuration was read to the end of its stream once. */
    bool (*ready)(void *context);
    void *ready_context;
    /* Explains a job as JSON; false when the job's owner is elsewhere. May be
       NULL. */
    bool (*explain)(void *context, mb_str_t job, mb_buf_t *out);
    /* Fills in the tasks of jobs, named by C strings; false when they are not
       known here. May be NULL. */
    bool (*status)(void *context, GPtrArray *names, mb_job_status_t *status);
    void *context;
} mb_http_api_callbacks_t;

typedef struct mb_http_api {
    mb_http_api_config_t config;
    mb_http_api_callbacks_t callbacks;
    mb_buf_t token;
    mb_config_store_t *store;
    mb_counters_t *counters;
    mb_log_t log;
    mb_http_server_t front;
    mb_dump_source_t dumps[MB_API_DUMPS_MAX];
    uint32_t dump_count;
    pthread_mutex_t lock; /* guards the watchers */
    void *watchers;
    uint64_t draining; /* atomic */
    uint64_t stopping; /* atomic */
    uint64_t active;   /* handlers that run; atomic */
    uint64_t changed;  /* changes since the watchers were looked at; atomic */
} mb_http_api_t;

void mb_http_api_prepare(mb_http_api_t *api, mb_config_store_t *store,
                         mb_counters_t *counters, const mb_log_t *log,
                         const mb_http_api_callbacks_t *callbacks);
void mb_http_api_add_dump(mb_http_api_t *api, const mb_dump_source_t *source);
bool mb_http_api_start(mb_http_api_t *api, const mb_http_api_config_t *config,
                       GError **error);
void mb_http_api_tick(mb_http_api_t *api);
void mb_http_api_dump(mb_http_api_t *api, mb_buf_t *out);
void mb_http_api_set_draining(mb_http_api_t *api);
void mb_http_api_stop(mb_http_api_t *api);
void mb_http_api_finish(mb_http_api_t *api);

#endif
