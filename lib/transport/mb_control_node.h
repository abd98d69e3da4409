/* What every daemon has besides its role: the declared configuration, the
   live entries and the operators' API. */
#ifndef MB_CONTROL_NODE_H
#define MB_CONTROL_NODE_H

#include "mb_http_api.h"
#include "mb_log_client.h"
#include "mb_member.h"

/* Most entries that a sidecar attaches to. */
#define MB_CONTROL_ENTRIES_MAX 16

typedef struct mb_control_config {
    mb_str_t log_address; /* of the log service, IPv4:port */
    uint64_t retention_ms;
    mb_str_t api_address; /* empty: no API */
    mb_str_t token;       /* empty: the API asks for none */
    uint64_t process;
    uint64_t incarnation;
    mb_str_t failure_domain;
    mb_str_t link_address; /* of an entry; empty: does not announce itself */
    uint32_t attach;       /* entries to choose for a sidecar; 0: none */
} mb_control_config_t;

typedef struct mb_control_callbacks {
    /* The entries chosen have changed; on the thread of `members`. May be
       NULL. */
    void (*chosen)(void *context, const mb_member_choice_t *choices,
                   uint32_t count);
    /* See mb_http_api_callbacks_t; may be NULL. */
    bool (*explain)(void *context, mb_str_t job, mb_buf_t *out);
    bool (*status)(void *context, GPtrArray *names, mb_job_status_t *status);
    void *context;
} mb_control_callbacks_t;

typedef struct mb_control_metrics {
    mb_metric_t *revision;
    mb_metric_t *reachable;
    mb_metric_t *entries;
} mb_control_metrics_t;

typedef struct mb_control_node {
    mb_control_config_t config;
    mb_control_callbacks_t callbacks;
    mb_log_t log;
    mb_control_metrics_t metrics;
    mb_config_t resources;
    mb_config_store_t store;
    mb_members_t members;
    mb_log_client_t config_stream;
    mb_log_client_t members_stream;
    mb_http_api_t api;
    uint64_t next_announce_ms;
    uint64_t departure_state; /* 1: to be announced, 2: done; atomic */
    mb_member_choice_t choices[MB_CONTROL_ENTRIES_MAX];
    uint32_t choice_count;
} mb_control_node_t;

bool mb_control_node_init(mb_control_node_t *node,
                          const mb_control_config_t *config,
                          const mb_control_callbacks_t *callbacks,
                          mb_epoch_t *epoch, mb_counters_t *counters,
                          const mb_log_t *log, GError **error);
bool mb_control_node_start(mb_control_node_t *node, GError **error);
void mb_control_node_drain(mb_control_node_t *node);
void mb_control_node_finish(mb_control_node_t *node);

#endif
