/* The entry role: joins the front end, admission, routing, the open requests
   and the links of sidecars. */
#ifndef MB_ENTRY_NODE_H
#define MB_ENTRY_NODE_H

#include "mb_admission.h"
#include "mb_counter.h"
#include "mb_epoch.h"
#include "mb_http_front.h"
#include "mb_link.h"
#include "mb_log.h"
#include "mb_request.h"
#include "mb_rng.h"
#include "mb_route.h"

/* Most threads that serve links. */
#define MB_ENTRY_LOOPS_MAX 16

typedef struct mb_entry_config {
    uint32_t client_ip; /* where clients send HTTP; host byte order */
    uint16_t client_port;
    uint32_t link_ip; /* where sidecars connect; host byte order */
    uint16_t link_port;
    uint32_t http_threads;
    uint32_t link_threads;
    uint32_t max_connections;
    uint32_t default_deadline_ms;
    uint64_t process; /* id of this process, from its name */
    uint64_t incarnation;
    mb_str_t failure_domain;
} mb_entry_config_t;

/* Metrics of the requests of one class. */
typedef struct mb_entry_class_metrics {
    mb_metric_t *requests;
    mb_metric_t *answered;
    mb_metric_t *refused;
    mb_metric_t *unknown;
    mb_metric_t *latency;
} mb_entry_class_metrics_t;

typedef struct mb_entry_metrics {
    mb_entry_class_metrics_t of_class[MB_CLASS_COUNT];
    mb_metric_t *requests;
    mb_metric_t *answered;
    mb_metric_t *refused;
    mb_metric_t *unknown;
    mb_metric_t *retries;
    mb_metric_t *queries;
    mb_metric_t *latency;
} mb_entry_metrics_t;

typedef struct mb_entry_node mb_entry_node_t;

/* One link thread with the links and open requests that belong to it. */
typedef struct mb_entry_loop {
    mb_entry_node_t *node;
    mb_loop_t loop;
    mb_request_table_t requests;
    GPtrArray *connections;
    GPtrArray *peers;
    GHashTable *queues; /* gate of a service -> requests that wait for it */
    uint64_t waiting;   /* requests in all queues; read by other threads */
    uint64_t wake_posted;
    uint64_t decayed_ms; /* when latencies were last decayed */
    mb_loop_task_t wake;
    bool closing;
} mb_entry_loop_t;

struct mb_entry_node {
    mb_entry_config_t config;
    mb_buf_t failure_domain;
    mb_epoch_t *epoch;
    mb_route_table_t route;
    mb_admission_t admission;
    mb_log_t log;
    mb_entry_metrics_t metrics;
    mb_http_front_t front;
    mb_entry_loop_t loops[MB_ENTRY_LOOPS_MAX];
    mb_loop_source_t listener;
    uint64_t next_counter;
    uint32_t next_loop;
};

bool mb_entry_node_init(mb_entry_node_t *node, const mb_entry_config_t *config,
                        mb_epoch_t *epoch, mb_counters_t *counters,
                        const mb_log_t *log, GError **error);
void mb_entry_node_publish_services(mb_entry_node_t *node,
                                    const mb_service_settings_t *settings,
                                    size_t count);
void mb_entry_node_drain(mb_entry_node_t *node);
void mb_entry_node_finish(mb_entry_node_t *node);

#endif
