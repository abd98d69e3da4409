/* The operators' HTTP API, on an address of its own: declared resources,
   watches, explanations, dumps, metrics and health. Handlers run on the
   threads of the server. */
#ifndef MB_HTTP_API_H
#define MB_HTTP_API_H

#include "mb_config_store.h"
#include "mb_counter.h"
#include "mb_dump.h"
#include "mb_explain_json.h"
#include "mb_http_server.h"

/* Maximum number of watches that wait at a time; further ones get the error
   `overload`. */
#define MB_API_WATCHERS_MAX 256
/* Maximum number of modules in a dump. */
#define MB_API_DUMPS_MAX 32
/* Header with the revision of the configuration that a response shows. */
#define MB_API_REVISION_HEADER "X-Magnoliabarrow-Revision"

typedef struct mb_http_api_config {
    uint32_t ip; /* host byte order */
    uint16_t port;
    mb_str_t token;            /* bearer token; empty: none is required */
    uint32_t write_timeout_ms; /* how long a write may wait for the log */
} mb_http_api_config_t;

/* Called on the threads of the server; `explain` and `status` may block. */
typedef struct mb_http_api_callbacks {
    /* Returns whether the configuration has been read to the end of its stream
       once. Gets `ready_context`. */
    bool (*ready)(void *context);
    /* Returns whether /healthz is 200, unless the process drains. Gets
       `ready_context`. */
    bool (*healthy)(void *context);
    void *ready_context;
    /* Appends an explanation of a job as JSON. Returns false if the job is not
       known here, or if its shards do not answer. May be NULL. */
    bool (*explain)(void *context, mb_str_t job, mb_buf_t *out);
    /* Sets the status of jobs. `names` holds C strings, `status` one zeroed
       element for each. Returns false if the status is not available. May be
       NULL. */
    bool (*status)(void *context, GPtrArray *names,
                   mb_explain_status_t *status);
    void *context;
} mb_http_api_callbacks_t;

typedef struct mb_http_api {
    mb_http_api_config_t config;
    mb_http_api_callbacks_t callbacks;
    mb_buf_t token;
    mb_config_store_t *store;
    mb_counters_t *counters;
    mb_log_t log;
    mb_http_server_t server;
    mb_dump_source_t dumps[MB_API_DUMPS_MAX];
    uint32_t dump_count;
    pthread_mutex_t lock;      /* guards the watchers */
    void *watchers;            /* GPtrArray of watcher_t (mb_api_watch.c) */
    uint64_t draining;         /* /healthz answers 503; atomic */
    uint64_t stopping;         /* requests are rejected; atomic */
    uint64_t active_handlers;  /* number of running handlers; atomic */
    uint64_t unserved_changes; /* number of changes since the watchers were
                                  last served; atomic */
} mb_http_api_t;

/* mb_http_api_tick, mb_http_api_dump and mb_http_api_set_draining may be
   called on any thread between init and finish, the others on one thread that
   is not one of the server's. */
void mb_http_api_init(mb_http_api_t *api, mb_config_store_t *store,
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
