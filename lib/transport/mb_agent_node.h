/* The role agent: takes the heartbeats of the worker on its machine, and the
   connection of the fleet's owner, for which it announces its address in the
   job log. One thread decides; the HTTP thread hands requests over through
   its mailbox. */
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
    MB_REGISTRATION_LEAVE
} mb_registration_kind_t;

/* What a worker says of itself. Views are valid during `take`. */
typedef struct mb_registration {
    mb_registration_kind_t kind;
    mb_worker_info_t worker;
    uint64_t sequence; /* of a heartbeat */
} mb_registration_t;

/* How a worker registers, as a callback on the agent's thread. */
typedef struct mb_registration_front {
    /* Reads a request of the worker and hands it on. False, with the error
       set, for one that names no worker to use. */
    bool (*read)(void *context, mb_str_t method, mb_str_t uri, mb_str_t body,
                 void (*take)(void *take_context,
                              const mb_registration_t *registration),
                 void *take_context, GError **error);
    void *context;
} mb_registration_front_t;

typedef struct mb_agent_config {
    uint32_t registration_ip;
    uint16_t registration_port;
    uint32_t link_ip; /* where the owner connects */
    uint16_t link_port;
    mb_str_t link_address; /* the same, as text; must outlive the node */
    uint32_t metrics_ip;   /* 0: no metrics */
    uint16_t metrics_port;
    mb_str_t name;
    uint64_t incarnation;
} mb_agent_config_t;

/* A connection of a process that is, or says it is, the owner. */
typedef struct mb_agent_owner {
    struct mb_agent_node *node;
    mb_link_t link;
    bool obeyed;
} mb_agent_owner_t;

typedef struct mb_agent_node {
    mb_agent_config_t config;
    mb_registration_front_t front;
    mb_clock_t clock;
    mb_log_t log;
    mb_loop_t loop;
    mb_loop_deferred_t flush;
    mb_http_server_t registration;
    mb_http_server_t metrics_front;
    mb_counters_t *counters;
    mb_metric_t *runs_metric;
    mb_metric_t *pace_metric;
    mb_loop_source_t listener;
    mb_agent_t agent;
    mb_journal_t journal;
    mb_order_decoder_t decoder;
    mb_buf_t producer;
    GPtrArray *owners;       /* mb_agent_owner_t */
    mb_agent_owner_t *owner; /* the one that is obeyed, or NULL */
    uint64_t announced_ms;
    uint64_t owner_ms; /* latest order */
    bool announcing;
} mb_agent_node_t;

bool mb_agent_node_init(mb_agent_node_t *node, const mb_agent_config_t *config,
                        mb_counters_t *counters, const mb_log_t *log,
                        GError **error);
bool mb_agent_node_start(mb_agent_node_t *node,
                         const mb_registration_front_t *front,
                         const mb_executor_t *executor,
                         const mb_keyed_log_t *keyed_log, GError **error);
void mb_agent_node_drain(mb_agent_node_t *node);
void mb_agent_node_stop(mb_agent_node_t *node);
void mb_agent_node_finish(mb_agent_node_t *node);

#endif
