/* The part of a daemon that competes for the ownership of all shards and
   schedules batch tasks on those it owns. Each shard has a thread of its own,
   which also reads the shard's stream of the log. */
#ifndef MB_OWNER_NODE_H
#define MB_OWNER_NODE_H

#include "mb_control_node.h"
#include "mb_explain_json.h"

/* Maximum number of shards of an installation. */
#define MB_OWNER_SHARDS_MAX 64

/* The fields from `lease` on are described in mb_shard_config_t. */
typedef struct mb_owner_config {
    mb_str_t log_address;  /* of the log service, IPv4:port */
    uint64_t retention_ms; /* how long the log keeps records */
    uint64_t process;      /* id of this process, the same after a restart */
    uint32_t shard_count;
    mb_lease_config_t lease;
    uint32_t worker_lease_ms;
    uint32_t sync_period_ms;
    uint32_t batch_delay_ms;
    uint32_t finish_delay_ms;
} mb_owner_config_t;

typedef struct mb_owner_metrics {
    mb_metric_t *owned;     /* shards that this process owns */
    mb_metric_t *claims;    /* claims of this process that reached the log */
    mb_metric_t *takeovers; /* times that this process became an owner */
    mb_metric_t *starts;    /* tasks; starts, finishes and releases count when
                               their record has been read back */
    mb_metric_t *finishes;
    mb_metric_t *releases; /* attempts that ended before their task */
    mb_metric_t *batches;  /* records with starts, finishes, releases or
                              closes of jobs */
    mb_metric_t *syncs;    /* sync requests to workers */
    mb_metric_t *sync_failures;
} mb_owner_metrics_t;

typedef struct mb_owner_shard mb_owner_shard_t;

typedef struct mb_owner_node {
    mb_owner_config_t config;
    mb_control_node_t *control; /* borrowed */
    mb_log_t log;
    mb_owner_metrics_t metrics;
    uint64_t owned; /* number of shards that this process owns; atomic */
    mb_owner_shard_t *shards[MB_OWNER_SHARDS_MAX];
} mb_owner_node_t;

bool mb_owner_node_init(mb_owner_node_t *node, const mb_owner_config_t *config,
                        mb_control_node_t *control, mb_counters_t *counters,
                        const mb_log_t *log, GError **error);
bool mb_owner_node_start(mb_owner_node_t *node, GError **error);
/* Queries. They block until the shards have answered and must not be called on
   the thread of a shard. */
bool mb_owner_node_explain(mb_owner_node_t *node, mb_str_t job, mb_buf_t *out);
bool mb_owner_node_status(mb_owner_node_t *node, GPtrArray *names,
                          mb_explain_status_t *status);
void mb_owner_node_drain(mb_owner_node_t *node);
void mb_owner_node_stop(mb_owner_node_t *node);
void mb_owner_node_finish(mb_owner_node_t *node);

#endif
