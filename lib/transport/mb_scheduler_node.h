/* The role scheduler: takes jobs from clients, stores them in the job log,
   follows the log, and owns the fleet when the log says so. One thread has
   the tables and decides; the HTTP threads match queues under
   read-copy-update and hand requests over through its mailbox. */
#ifndef MB_SCHEDULER_NODE_H
#define MB_SCHEDULER_NODE_H

#include "mb_counter.h"
#include "mb_dag_record.h"
#include "mb_fleet.h"
#include "mb_follower.h"
#include "mb_http_client.h"
#include "mb_http_server.h"
#include "mb_job_front.h"
#include "mb_journal.h"
#include "mb_link.h"
#include "mb_order_codec.h"
#include "mb_outage.h"
#include "mb_ownership.h"

typedef struct mb_scheduler_config {
    uint32_t client_ip;
    uint16_t client_port;
    uint32_t ready_ip;
    uint16_t ready_port;
    uint32_t metrics_ip; /* 0: no metrics */
    uint16_t metrics_port;
    uint32_t http_threads;
    uint32_t max_connections;
    uint32_t default_deadline_ms; /* of a client that names none */
    uint32_t retention_ms;        /* that closed jobs are known */
    mb_str_t name;                /* of the process; must outlive the node */
    uint64_t incarnation;
} mb_scheduler_config_t;

/* The connection to one agent. */
typedef struct mb_scheduler_agent {
    struct mb_scheduler_node *node;
    uint32_t worker; /* number in the fleet */
    uint32_t ip;
    uint16_t port;
    bool removed;
    bool open;
    mb_link_t link;
    uint64_t opened_ms;
    uint64_t retry_ms;
    uint64_t lost_ms; /* when it was last given up; 0: never */
} mb_scheduler_agent_t;

typedef struct mb_scheduler_metrics {
    mb_metric_t *accepted;
    mb_metric_t *rejected;
    mb_metric_t *unknown;
    mb_metric_t *accept_us;
    mb_metric_t *owner;
    mb_metric_t *running;
    mb_metric_t *starts;
    mb_metric_t *lost_runs;
    mb_metric_t *appends;
    mb_metric_t *reads;
    mb_metric_t *config_version;
} mb_scheduler_metrics_t;

typedef struct mb_scheduler_group mb_scheduler_group_t;

typedef struct mb_scheduler_node {
    mb_scheduler_config_t config;
    mb_job_front_t front;
    mb_keyed_log_t keyed_log;
    mb_clock_t clock;
    mb_log_t log;
    mb_epoch_t *epoch;
    mb_queue_table_t queues;
    mb_http_server_t clients;
    mb_http_server_t ready;
    mb_http_server_t metrics_front;
    mb_loop_t loop;
    mb_loop_deferred_t flush;
    mb_counters_t *counters;
    mb_scheduler_metrics_t metrics;
    mb_buf_t producer;
    /* On the loop's thread: */
    mb_dag_table_t table;
    GHashTable *cancels; /* ids whose cancellation came before the job */
    mb_fleet_t fleet;
    mb_ownership_t ownership;
    mb_follower_t jobs;
    mb_follower_t configs;
    mb_journal_t journal;        /* of this process as an entry */
    mb_journal_t *owner_journal; /* of this process as the owner */
    GPtrArray *old_journals;     /* of earlier claims, with calls open */
    mb_dag_record_decoder_t decoder;
    mb_order_decoder_t orders;
    GPtrArray *agents;    /* mb_scheduler_agent_t by worker */
    GPtrArray *requests;  /* that wait for an append */
    GPtrArray *undecided; /* that wait for a read of the log */
    mb_buf_t key;
    mb_buf_t value;
    mb_scheduler_group_t *group; /* of progress records being stored */
    mb_outage_t outage;
    uint64_t swept_ms;
    uint64_t contention_stored_us;
    /* Read by all threads: */
    uint64_t is_ready;
    uint64_t draining;
    uint64_t retry_after_s; /* for clients that are rejected */
} mb_scheduler_node_t;

bool mb_scheduler_node_init(mb_scheduler_node_t *node,
                            const mb_scheduler_config_t *config,
                            mb_epoch_t *epoch, mb_counters_t *counters,
                            const mb_log_t *log, GError **error);
bool mb_scheduler_node_start(mb_scheduler_node_t *node,
                             const mb_job_front_t *front,
                             const mb_keyed_log_t *keyed_log, GError **error);
void mb_scheduler_node_drain(mb_scheduler_node_t *node);
void mb_scheduler_node_stop(mb_scheduler_node_t *node);
void mb_scheduler_node_finish(mb_scheduler_node_t *node);

#endif
