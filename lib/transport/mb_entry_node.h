/* The entry role: accepts clients' HTTP requests, decides on their admission,
   routes them to sidecars over links and sends the responses. Its threads are
   those of the HTTP server, which admit requests, and the link threads. Each
   link thread runs an event loop that owns the links of some sidecars, the
   requests in progress there, and the queues of some services. Sidecars and
   services are assigned to link threads by hash. */
#ifndef MB_ENTRY_NODE_H
#define MB_ENTRY_NODE_H

#include "mb_admission.h"
#include "mb_counter.h"
#include "mb_epoch.h"
#include "mb_http_server.h"
#include "mb_link.h"
#include "mb_log.h"
#include "mb_request.h"
#include "mb_rng.h"
#include "mb_route.h"

/* Maximum number of link threads. */
#define MB_ENTRY_LOOPS_MAX 16

typedef struct mb_entry_config {
    uint32_t client_ip; /* listens for HTTP requests; host byte order */
    uint16_t client_port;
    uint32_t link_ip; /* listens for links of sidecars; host byte order */
    uint16_t link_port;
    uint32_t http_threads;
    uint32_t link_threads;        /* up to MB_ENTRY_LOOPS_MAX */
    uint32_t max_connections;     /* of clients; also bounds open requests */
    mb_intake_limits_t limits;    /* of what clients may hold */
    uint32_t default_deadline_ms; /* for services without a deadline */
    uint64_t process;             /* id of this process, from its name */
    uint64_t incarnation;         /* differs after each restart */
    mb_str_t failure_domain;
} mb_entry_config_t;

/* Metrics of the requests of one class; as in mb_entry_metrics_t. */
typedef struct mb_entry_class_metrics {
    mb_metric_t *requests;
    mb_metric_t *answered;
    mb_metric_t *refused;
    mb_metric_t *unknown;
    mb_metric_t *latency;
} mb_entry_class_metrics_t;

typedef struct mb_entry_metrics {
    mb_entry_class_metrics_t by_class[MB_CLASS_COUNT];
    mb_metric_t *requests; /* received from clients */
    mb_metric_t *answered; /* with a complete response of an upstream */
    mb_metric_t *refused;  /* answered with an error: did not run */
    mb_metric_t *unknown;  /* answered with an error: may have run */
    mb_metric_t *retries;  /* attempts after the first */
    mb_metric_t *queries;  /* attempts whose outcome was queried */
    mb_metric_t *latency;  /* of requests with a complete response */
} mb_entry_metrics_t;

typedef struct mb_entry_node mb_entry_node_t;

/* A link thread with its links, requests and queues. Used on that thread only,
   except for the members that are atomic. */
typedef struct mb_entry_loop {
    mb_entry_node_t *node;
    mb_loop_t loop;
    mb_request_table_t requests;
    GPtrArray *connections;   /* of mb_entry_connection_t, owned */
    GPtrArray *peers;         /* of mb_entry_peer_t */
    GHashTable *queues;       /* load of a service -> its waiting requests */
    uint64_t waiting;         /* requests in all queues; atomic */
    uint64_t wake_posted;     /* not 0: wake_task is in the mailbox; atomic */
    uint64_t last_decay_ms;   /* when the latencies were last decayed */
    mb_loop_task_t wake_task; /* serves the queues */
    bool closing;             /* the node is being released */
} mb_entry_loop_t;

struct mb_entry_node {
    mb_entry_config_t config;
    mb_buf_t failure_domain;
    mb_epoch_t *epoch;
    mb_route_table_t route;
    mb_admission_t admission;
    mb_log_t log;
    mb_entry_metrics_t metrics;
    mb_http_metrics_t http_metrics;
    mb_http_server_t http_server;
    mb_entry_loop_t loops[MB_ENTRY_LOOPS_MAX];
    mb_loop_source_t listener;
    uint64_t serves_clients; /* not 0: http_server is set up; atomic */
    uint64_t next_counter;   /* of request ids; atomic */
    uint32_t next_loop;      /* gets the next connection; on the first loop */
};

/* Starts the role and all its threads. The epoch and the counters are
   borrowed. Returns false with `error` set on failure. */
bool mb_entry_node_init(mb_entry_node_t *node, const mb_entry_config_t *config,
                        mb_epoch_t *epoch, mb_counters_t *counters,
                        const mb_log_t *log, GError **error);
/* Replaces the settings of all declared services; from any thread. A service
   that is not among them gets the defaults of the entry. */
void mb_entry_node_set_services(mb_entry_node_t *node,
                                const mb_service_settings_t *settings,
                                size_t count);
/* Drains the entry before it stops: serves until load balancers have noticed,
   then stops accepting connections and waits until every request is answered.
   Deadlines bound the wait. Blocks the calling thread, which must not be one
   of the node's threads. */
void mb_entry_node_drain(mb_entry_node_t *node);
/* Ends the threads and releases everything; after mb_entry_node_drain. */
void mb_entry_node_finish(mb_entry_node_t *node);

#endif
