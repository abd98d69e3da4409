/* The sidecar role: announces one upstream to entries and runs their requests
   there, with a limit on concurrency (slots). All its work is done on the
   thread of one event loop, called the loop thread below. */
#ifndef MB_SIDECAR_NODE_H
#define MB_SIDECAR_NODE_H

#include "mb_counter.h"
#include "mb_http_client.h"
#include "mb_link.h"
#include "mb_log.h"
#include "mb_slots.h"
#include "mb_tcp_probe.h"

/* Maximum number of entries that a sidecar attaches to. */
#define MB_SIDECAR_ENTRIES_MAX 16

typedef struct mb_sidecar_config {
    mb_str_t service;
    mb_str_t upstream; /* IPv4:port */
    mb_str_t entries;  /* IPv4:port, separated by commas; may be
                          empty, see mb_sidecar_node_set_entries */
    mb_str_t failure_domain;
    uint32_t slots;       /* requests that the upstream runs at a time */
    uint64_t process;     /* id of this process */
    uint64_t incarnation; /* differs after each restart */
} mb_sidecar_config_t;

typedef struct mb_sidecar_metrics {
    mb_metric_t *started; /* requests sent to the upstream */
    mb_metric_t *refused; /* requests that did not run and will not */
    mb_metric_t *failed;  /* calls without a complete response */
    mb_metric_t *latency; /* of calls to the upstream */
} mb_sidecar_metrics_t;

typedef struct mb_sidecar_node mb_sidecar_node_t;
typedef struct mb_sidecar_connection mb_sidecar_connection_t;

/* An entry that the sidecar attaches to. A silent connection is replaced while
   it is still open: the current connection stays in use until the entry has
   answered on the pending one. */
typedef struct mb_sidecar_entry {
    mb_sidecar_node_t *node;
    uint32_t ip; /* host byte order */
    uint16_t port;
    mb_sidecar_connection_t *current; /* HELLO received; or NULL */
    mb_sidecar_connection_t *pending; /* HELLO not received yet; or NULL */
    uint64_t pending_since_ms;        /* when `pending` was opened */
    uint64_t process;                 /* from the HELLO of the entry */
    uint64_t incarnation;             /* likewise */
    uint32_t granted;                 /* credits last sent to the entry */
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
    bool upstream_down; /* it refused a connection: no credits are granted
                           until `probe` has connected */
    mb_slots_t slots;
    mb_sidecar_entry_t entries[MB_SIDECAR_ENTRIES_MAX];
    uint32_t entry_count;
    GArray *not_started; /* mb_request_id_t of requests to refuse */
    mb_loop_deferred_t refuse_deferred; /* refuses those in not_started */
    uint64_t upstream_latency_us;       /* moving average */
    uint64_t idle_ticks; /* atomic; ticks in a row, after the grace period of
                            a drain, with nothing left to do */
};

/* Starts the role and its thread. Returns false with `error` set on
   failure. */
bool mb_sidecar_node_init(mb_sidecar_node_t *node,
                          const mb_sidecar_config_t *config,
                          mb_counters_t *counters, const mb_log_t *log,
                          GError **error);
/* Replaces the list of entries to attach to, IPv4:port, separated by commas;
   from any thread. Invalid addresses and those beyond MB_SIDECAR_ENTRIES_MAX
   are ignored. */
void mb_sidecar_node_set_entries(mb_sidecar_node_t *node, mb_str_t list);
/* Grants credits to an entry that has just answered on a new connection, or
   tells it that the sidecar drains; on the loop thread. */
void mb_sidecar_node_handle_attached(mb_sidecar_entry_t *entry);
/* Handles a message on the current connection of an entry; on the loop
   thread. */
void mb_sidecar_node_handle_message(mb_sidecar_entry_t *entry,
                                    const mb_message_t *message);
/* Drains the sidecar before it stops: tells the entries, still runs the
   requests that arrive within the grace period, and waits until every request
   is answered, at most for a fixed time. Blocks the calling thread, which must
   not be the loop thread. */
void mb_sidecar_node_drain(mb_sidecar_node_t *node);
/* Ends the thread and releases everything; after mb_sidecar_node_drain. */
void mb_sidecar_node_finish(mb_sidecar_node_t *node);

#endif
