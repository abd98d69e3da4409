/* What every daemon runs besides its role: a replica of the declared
   configuration, the membership of the live entries, and the operators' HTTP
   API. Each of the two streams of the log is read on a thread of its own. */
#ifndef MB_CONTROL_NODE_H
#define MB_CONTROL_NODE_H

#include "mb_http_api.h"
#include "mb_log_client.h"
#include "mb_member.h"

/* Maximum number of entries that a sidecar attaches to. */
#define MB_CONTROL_ENTRIES_MAX 16

typedef struct mb_control_config {
    mb_str_t log_address;  /* of the log service, IPv4:port */
    uint64_t retention_ms; /* how long the log keeps records */
    mb_str_t api_address;  /* empty: no API */
    mb_str_t token;   /* bearer token of the API; empty: none is required */
    uint64_t process; /* id of this process, the same after a restart */
    uint64_t incarnation; /* differs after each restart */
    mb_str_t failure_domain;
    mb_str_t link_address; /* where sidecars connect to this entry; empty: this
                              process does not announce itself as an entry */
    uint32_t attach; /* number of entries to choose for a sidecar; 0: none */
} mb_control_config_t;

typedef struct mb_control_callbacks {
    /* The entries chosen for a sidecar have changed; called on the thread of
       the stream `members`. The choices are valid during the call. May be
       NULL. */
    void (*chosen)(void *context, const mb_member_choice_t *choices,
                   uint32_t count);
    /* See mb_http_api_callbacks_t; may be NULL. */
    bool (*explain)(void *context, mb_str_t job, mb_buf_t *out);
    bool (*status)(void *context, GPtrArray *names,
                   mb_explain_status_t *status);
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
    mb_config_t resources;   /* the declared configuration */
    mb_config_store_t store; /* its writer and its replica */
    mb_members_t members;
    mb_log_client_t config_stream;
    mb_log_client_t members_stream;
    mb_http_api_t api;
    uint64_t started_ms; /* when mb_control_node_start was called */
    uint64_t next_announce_ms;
    /* 0: running, 1: the departure is being announced, 2: that has been
       written or has failed; atomic. */
    uint64_t departure_state;
    /* The entries last passed to the callback `chosen`. */
    mb_member_choice_t choices[MB_CONTROL_ENTRIES_MAX];
    uint32_t choice_count;
} mb_control_node_t;

/* The functions are called on one thread, which is not one of the node's. */
bool mb_control_node_init(mb_control_node_t *node,
                          const mb_control_config_t *config,
                          const mb_control_callbacks_t *callbacks,
                          mb_epoch_t *epoch, mb_counters_t *counters,
                          const mb_log_t *log, GError **error);
bool mb_control_node_start(mb_control_node_t *node, GError **error);
void mb_control_node_drain(mb_control_node_t *node);
void mb_control_node_finish(mb_control_node_t *node);

#endif
