/* The sidecar role: announces one upstream to entries and runs the requests
   that its slots admit. */
#ifndef MB_SIDECAR_NODE_H
#define MB_SIDECAR_NODE_H

#include "mb_counter.h"
#include "mb_http_client.h"
#include "mb_link.h"
#include "mb_log.h"
#include "mb_slots.h"
#include "mb_tcp_probe.h"

/* Most entries that one sidecar attaches to. */
#define MB_SIDECAR_ENTRIES_MAX 16

typedef struct mb_sidecar_config {
    mb_str_t service;
    mb_str_t upstream; /* IPv4:port */
    mb_str_t entries;  /* IPv4:port, separated by commas; may be
                          empty, see mb_sidecar_node_set_entries */
    mb_str_t failure_domain;
    uint32_t slots;
    uint64_t process;
    uint64_t incarnation;
} mb_sidecar_config_t;

typedef struct mb_sidecar_metrics {
    mb_metric_t *started;
    mb_metric_t *refused;
    mb_metric_t *failed;
    mb_metric_t *latency;
} mb_sidecar_metrics_t;

typedef struct mb_sidecar_node mb_sidecar_node_t;
typedef struct mb_sidecar_connection mb_sidecar_connection_t;

/* One entry that the sidecar attaches to. */
typedef struct mb_sidecar_entry {
    mb_sidecar_node_t *node;
    uint32_t ip; /* host byte order */
    uint16_t port;
    mb_sidecar_connection_t *current; /* has said HELLO; or NULL */
    mb_sidecar_connection_t *pending; /* has not yet; or NULL */
    uint64_t pending_since_ms;
    uint64_t process;
    uint64_t incarnation;
    uint32_t granted; /* credits it was told of last */
    uint64_t demand;  /* moving average of requests per tick, times 8 */
    uint64_t arrived; /* requests since the last tick */
} mb_sidecar_entry_t;

struct mb_sidecar_node {
    mb_sidecar_config_t config;
    mb_buf_t service;
    mb_buf_t upstream;
    mb_buf_t failure_domain;
    mb_log_t log;
    mb_sidecar_metrics_t metrics;
    mb_loop_t loop;
    mb_http_client_t client;
    mb_tcp_probe_t probe;
    bool upstream_down; /* refused a connection; no credits until it accepts */
    mb_slots_t slots;
    mb_sidecar_entry_t entries[MB_SIDECAR_ENTRIES_MAX];
    uint32_t entry_count;
    GArray *not_started; /* ids to be refused after the callback */
    mb_loop_deferred_t refuse_deferred; /* refuses them */
    uint64_t upstream_latency_us;       /* moving average of its latency */
    uint64_t idle_ticks; /* in a row, after the grace period with nothing
                    left to do */
};

bool mb_sidecar_node_init(mb_sidecar_node_t *node,
                          const mb_sidecar_config_t *config,
                          mb_counters_t *counters, const mb_log_t *log,
                          GError **error);
void mb_sidecar_node_set_entries(mb_sidecar_node_t *node, mb_str_t list);
void mb_sidecar_node_handle_attached(mb_sidecar_entry_t *entry);
void mb_sidecar_node_handle_message(mb_sidecar_entry_t *entry,
                                    const mb_message_t *message);
void mb_sidecar_node_drain(mb_sidecar_node_t *node);
void mb_sidecar_node_finish(mb_sidecar_node_t *node);

#endif
