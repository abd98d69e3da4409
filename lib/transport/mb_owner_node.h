/* The part of a daemon that may own shards: one thread per shard, which is
   the thread of the shard's stream. */
#ifndef MB_OWNER_NODE_H
#define MB_OWNER_NODE_H

#include "mb_control_node.h"
#include "mb_explain_json.h"

/* Most shards of an installation. */
#define MB_OWNER_SHARDS_MAX 64

typedef struct mb_owner_config {
    mb_str_t log_address; /* of the log service, IPv4:port */
    uint64_t retention_ms;
    uint64_t process;
    uint32_t shard_count;
    mb_lease_config_t lease;
    uint32_t worker_lease_ms;
    uint32_t sync_period_ms;
    uint32_t batch_delay_ms;
    uint32_t finish_delay_ms;
} mb_owner_config_t;

typedef struct mb_owner_metrics {
    mb_metric_t *owned;
    mb_metric_t *claims;
    mb_metric_t *takeovers;
    mb_metric_t *starts;
    mb_metric_t *finishes;
    mb_metric_t *releases;
    mb_metric_t *batches;
    mb_metric_t *syncs;
    mb_metric_t *sync_failures;
} mb_owner_metrics_t;

typedef struct mb_owner_shard mb_owner_shard_t;

typedef struct mb_owner_node {
    mb_owner_config_t config;
    mb_control_node_t *control;
    mb_log_t log;
    mb_owner_metrics_t metrics;
    uint64_t owned; /* shards; atomic */
    mb_owner_shard_t *shards[MB_OWNER_SHARDS_MAX];
} mb_owner_node_t;

bool mb_owner_node_init(mb_owner_node_t *node, const mb_owner_config_t *config,
                        mb_control_node_t *control, mb_counters_t *counters,
                        const mb_log_t *log, GError **error);
bool mb_owner_node_start(mb_owner_node_t *node, GError **error);
/* From any thread but those of the shards. */
bool mb_owner_node_explain(mb_owner_node_t *node, mb_str_t job, mb_buf_t *out);
bool mb_owner_node_status(mb_owner_node_t *node, GPtrArray *names,
                          mb_explain_status_t *status);
void mb_owner_node_drain(mb_owner_node_t *node);
void mb_owner_node_stop(mb_owner_node_t *node);
void mb_owner_node_finish(mb_owner_node_t *node);

#endif
