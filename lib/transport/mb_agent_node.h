/* The agent role of a daemon. It accepts the heartbeats of the worker on its
   machine and the connections of the fleet's owner, and announces its address
   in the job log so that the owner finds it, and its departure when its worker
   has left. The thread of the loop makes all
   decisions; the HTTP thread posts requests to its mailbox. */
#ifndef MB_AGENT_NODE_H
#define MB_AGENT_NODE_H

#include "mb_agent.h"
#include "mb_counter.h"
#include "mb_dag_record.h"
#include "mb_http_client.h"
#include "mb_http_server.h"
#include "mb_journal.h"
#include "mb_link.h"
#include "mb_order_codec.h"

typedef enum mb_registration_kind {
    MB_REGISTRATION_HEARTBEAT,
    MB_REGISTRATION_DEREGISTER
} mb_registration_kind_t;

/* A request by which a worker registers or deregisters. */
typedef struct mb_registration {
    mb_registration_kind_t kind;
    mb_worker_info_t worker; /* only the name is set to deregister */
    uint64_t sequence;       /* of a heartbeat */
} mb_registration_t;

/* Decodes the requests by which a worker registers. Called on the thread of
   the loop. */
typedef struct mb_registration_codec {
    /* Decodes a request and passes it to `take`, once, before it returns;
       the views in it are valid during that call. Returns false, with the
       error set, if the request is invalid or the worker is not one that this
       agent serves. */
    bool (*read)(void *context, mb_str_t method, mb_str_t uri, mb_str_t body,
                 void (*take)(void *take_context,
                              const mb_registration_t *registration),
                 void *take_context, GError **error);
    void *context;
} mb_registration_codec_t;

/* IP addresses are in host byte order. */
typedef struct mb_agent_config {
    uint32_t registration_ip; /* where the worker sends its heartbeats */
    uint16_t registration_port;
    uint32_t link_ip; /* where the owner connects */
    uint16_t link_port;
    mb_str_t link_address; /* the same as text, which is announced; must
                              outlive the node */
    uint32_t metrics_ip;   /* 0: no metrics server */
    uint16_t metrics_port;
    mb_str_t name;        /* of the process */
    uint64_t incarnation; /* differs after each restart of the process */
} mb_agent_config_t;

/* A connection from a process that is, or was, the owner of the fleet. */
typedef struct mb_agent_owner_link {
    struct mb_agent_node *node;
    mb_link_t link;
    bool active; /* it has become the connection whose orders are executed;
                    stays set when a newer owner replaces it */
} mb_agent_owner_link_t;

typedef struct mb_agent_node {
    mb_agent_config_t config;
    mb_registration_codec_t codec;
    mb_clock_t clock; /* monotonic */
    mb_log_t log;
    mb_loop_t loop;
    mb_loop_deferred_t flush; /* see defer_flush */
    mb_http_server_t registration;
    mb_http_server_t metrics_server;
    mb_http_metrics_t http_metrics;
    mb_counters_t *counters;
    mb_metric_t *runs_metric;
    mb_metric_t *rejected_metric; /* requests of the worker's address that
                                     were rejected */
    mb_metric_t *throttle_metric; /* percent of full speed of best-effort
                                     runs */
    /* The following are used only on the thread of the loop. */
    mb_loop_source_t listener; /* for connections of owners */
    mb_agent_t agent;
    mb_journal_t journal; /* appends announcements to the job log */
    mb_order_decoder_t decoder;
    /* Producer name of this process in the job log. It contains the
       incarnation, so that epoch and sequence numbers can start at 1. */
    mb_buf_t producer;
    GPtrArray *owners; /* mb_agent_owner_link_t, all open connections */
    /* The connection whose orders are executed and that gets the reports;
       NULL: none. */
    mb_agent_owner_link_t *owner;
    /* What the next record says: an announcement after a recorded departure
       has another number than the one before, so that the departure does not
       concern it. */
    uint64_t incarnation;
    uint64_t last_announce_ms; /* 0: never announced */
    uint64_t last_order_ms;    /* 0: no order received */
    bool append_pending;       /* a record is being appended */
} mb_agent_node_t;

bool mb_agent_node_init(mb_agent_node_t *node, const mb_agent_config_t *config,
                        mb_counters_t *counters, const mb_log_t *log,
                        GError **error);
bool mb_agent_node_start(mb_agent_node_t *node,
                         const mb_registration_codec_t *codec,
                         const mb_executor_t *executor,
                         const mb_keyed_log_t *keyed_log, GError **error);
void mb_agent_node_drain(mb_agent_node_t *node);
void mb_agent_node_stop(mb_agent_node_t *node);
void mb_agent_node_finish(mb_agent_node_t *node);

#endif
