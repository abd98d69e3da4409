/* The scheduler role of a daemon. It accepts jobs from clients, stores them in
   the job log, follows that log, and runs the fleet while it holds the fleet's
   lease. The thread of the loop holds all tables and makes all decisions. The
   HTTP threads decode requests, match them to queues under read-copy-update,
   and post them to the mailbox of the loop. */
#ifndef MB_SCHEDULER_NODE_H
#define MB_SCHEDULER_NODE_H

#include "mb_agent_presence.h"
#include "mb_config_reader.h"
#include "mb_counter.h"
#include "mb_dag_record.h"
#include "mb_fleet.h"
#include "mb_follower.h"
#include "mb_http_client.h"
#include "mb_http_server.h"
#include "mb_job_codec.h"
#include "mb_job_memory.h"
#include "mb_journal.h"
#include "mb_link.h"
#include "mb_order_codec.h"
#include "mb_outage.h"
#include "mb_ownership.h"

/* IP addresses are in host byte order. */
typedef struct mb_scheduler_config {
    uint32_t client_ip; /* where clients send jobs */
    uint16_t client_port;
    uint32_t ready_ip; /* where the load balancer probes readiness */
    uint16_t ready_port;
    uint32_t metrics_ip; /* 0: no metrics server */
    uint16_t metrics_port;
    uint32_t http_threads;        /* of the server for clients */
    uint32_t max_connections;     /* of the server for clients */
    mb_intake_limits_t limits;    /* of the server for clients */
    uint32_t default_deadline_ms; /* for requests without a deadline; also
                                     the longest deadline */
    uint32_t retention_ms;        /* how long closed jobs stay in the log */
    uint32_t config_age_max_ms;   /* an older configuration counts as stale */
    uint32_t evacuation_age_max_ms; /* see mb_evacuation_init */
    uint64_t memory_bytes;          /* of the process; 0: not limited */
    bool reject_overdue_jobs; /* by the forecast of the backlog (mb_backlog) */
    mb_str_t name;            /* of the process; must outlive the node */
    uint64_t incarnation;     /* differs after each restart of the process */
} mb_scheduler_config_t;

/* The connection to one agent, which only the owner of the fleet keeps open.
   Used on the thread of the loop. */
typedef struct mb_scheduler_agent {
    struct mb_scheduler_node *node;
    uint32_t worker; /* number of its worker in the fleet */
    uint32_t ip;
    uint16_t port;
    mb_agent_presence_t presence;
    uint32_t absence_load; /* load in or after which its latest record as
                              absent was read */
    bool removed;          /* it does not belong to the fleet */
    bool open;             /* `link` is initialized */
    mb_link_t link;        /* may still be connecting */
    uint64_t opened_ms;    /* when the latest connection was opened */
    uint64_t retry_ms;     /* no new connection is opened before */
    /* When the connection was first found closed after the latest report of
       the agent; 0: not since then. */
    uint64_t unreachable_since_ms;
} mb_scheduler_agent_t;

typedef struct mb_scheduler_metrics {
    mb_metric_t *accepted;  /* submissions answered 200: the job is stored */
    mb_metric_t *rejected;  /* submissions answered 503: it is not stored */
    mb_metric_t *unknown;   /* submissions answered 504: it may be stored */
    mb_metric_t *accept_us; /* from the receipt of a job to its response */
    mb_metric_t *owner;     /* 1 while this process owns the fleet */
    mb_metric_t *running;
    mb_metric_t *starts;
    mb_metric_t *lost_runs; /* runs given up without a reported end */
    /* Reported ends that did not count, and successes among them of tasks that
       had succeeded before: work that was done twice. */
    mb_metric_t *uncounted_ends;
    mb_metric_t *repeated_successes;
    mb_metric_t *stalls;
    mb_metric_t *copies_started;
    mb_metric_t *copies_won;
    mb_metric_t *copies_wasted;
    mb_metric_t *faulty_steps;
    mb_metric_t *held_tasks;   /* tasks that wait for workers that have not
                                  reported to this owner */
    mb_metric_t *appends;      /* sent to the log, including retries */
    mb_metric_t *reads;        /* sent to the log */
    mb_metric_t *failed_reads; /* of the log */
    mb_metric_t *config_version;
    mb_metric_t *config_age_ms; /* see mb_config_reader_age_us */
    /* The same, in microseconds, when a request was decided by it. */
    mb_metric_t *request_config_age_us;
    mb_metric_t *unknown_queue; /* requests for a queue that does not exist */
    mb_metric_t *tick_gap_us;   /* between two ticks of the loop */
    mb_metric_t *evacuated_domains;
    mb_metric_t *evacuated_workers;
    mb_metric_t *evacuated_runs;  /* runs on evacuated workers */
    mb_metric_t *evacuated_tasks; /* see mb_fleet_t */
    mb_metric_t *starts_withheld; /* 1 while this owner starts nothing because
                                     its knowledge of evacuations is old */
    mb_metric_t *dropped_starts;
    mb_metric_t *rejected_memory;   /* submissions without room for the job */
    mb_metric_t *jobs_weight;       /* see mb_dag_weigh, in bytes */
    mb_metric_t *jobs_weight_limit; /* for new jobs */
    mb_metric_t *jobs_set_aside;
    mb_metric_t *rejected_backlog;   /* submissions rejected by the forecast */
    mb_metric_t *admitted_by_share;  /* against it, by the queue's share */
    mb_metric_t *backlog_work_ms;    /* of the forecast in force */
    mb_metric_t *backlog_rate_milli; /* sum of its rates */
    mb_metric_t *backlog_age_ms;
} mb_scheduler_metrics_t;

/* Maximum number of queues whose rejections are counted apart. */
#define MB_SCHEDULER_REJECTING_QUEUES_MAX 64u

/* Submissions rejected by the forecast, by queue. Written on the thread of the
   loop; `count` and `jobs` are atomic, and read on all threads. */
typedef struct mb_scheduler_rejections {
    uint64_t count; /* of queues */
    struct {
        mb_buf_t name;
        uint64_t jobs;
    } queues[MB_SCHEDULER_REJECTING_QUEUES_MAX];
} mb_scheduler_rejections_t;

typedef struct mb_scheduler_progress_group mb_scheduler_progress_group_t;

typedef struct mb_scheduler_node {
    mb_scheduler_config_t config;
    mb_job_codec_t codec;
    mb_keyed_log_t keyed_log;
    mb_clock_t clock; /* monotonic */
    mb_log_t log;
    mb_epoch_t *epoch;       /* guards readers of `queues` */
    mb_queue_table_t queues; /* read by the HTTP threads */
    mb_http_server_t client_server;
    mb_http_server_t ready_server;
    mb_http_server_t metrics_server;
    mb_http_metrics_t http_metrics;
    mb_loop_t loop;
    mb_loop_deferred_t flush; /* see mb_scheduler_defer_flush */
    mb_counters_t *counters;
    mb_scheduler_metrics_t metrics;
    /* Producer name of this process in the job log, for records of clients. It
       contains the incarnation, so that epoch and sequence numbers can start
       at 1. */
    mb_buf_t producer;
    /* The following are used only on the thread of the loop. */
    mb_dag_table_t table; /* the replicated jobs */
    /* Ids (owned mb_dag_id_t) of jobs whose cancellation was read from the log
       before the job. */
    GHashTable *early_cancels;
    mb_fleet_t fleet;
    mb_ownership_t ownership;
    mb_follower_t jobs; /* of the job log */
    mb_config_reader_t configs;
    mb_evacuation_t evacuation; /* read by `configs` for `fleet` */
    mb_journal_t journal;       /* appends jobs and cancellations of clients */
    /* Appends the records of the owner, under the fencing token of the latest
       claim; NULL before the first claim and after a loss of ownership. */
    mb_journal_t *owner_journal;
    GPtrArray *retired_journals; /* mb_journal_t of former claims, which wait
                                    for their last call to the log */
    mb_dag_record_decoder_t decoder;
    mb_order_decoder_t report_decoder; /* decodes reports of agents */
    /* Contexts of the owner's appends without a result. A journal that is
       closed never completes the records of an append that fails. */
    GPtrArray *owner_appends;
    GPtrArray *agents;          /* mb_scheduler_agent_t by worker number */
    GPtrArray *pending_appends; /* requests whose append has no result yet */
    GPtrArray *pending_submits; /* submissions that will be rejected unless a
                                   read of the log shows the job */
    GPtrArray *pending_cancels; /* cancellations of unknown jobs, which wait
                                   for a read of the log */
    mb_buf_t key;               /* scratch buffers for records */
    mb_buf_t value;
    /* The progress records being stored; NULL: none. */
    mb_scheduler_progress_group_t *progress_group;
    mb_outage_t outage;
    mb_backlog_t backlog;
    mb_backlog_forecast_t forecast; /* scratch, of the owner */
    uint64_t backlog_sampled_us;    /* when the owner collected the latest one
                                     */
    bool backlog_published; /* a forecast that is not empty was published */
    mb_scheduler_rejections_t rejections;
    mb_job_memory_t job_memory;
    /* Jobs of the log for which there is no memory, by id, and their weight
       (mb_scheduler_memory.c). */
    GHashTable *set_aside;
    uint64_t set_aside_bytes;
    bool jobs_known;        /* the log has been read as a whole */
    uint64_t former_weight; /* of the jobs before they were read anew; 0: they
                               are all known */
    uint64_t drawn_bytes;   /* from the budget of the clients' requests */
    uint64_t reloaded_us;   /* when the log was read anew for jobs set aside */
    uint64_t memory_swept_us;
    uint64_t memory_published_us;
    uint64_t last_sweep_ms;      /* last search for expired jobs */
    uint64_t last_tick_us;       /* start of the previous tick */
    uint64_t headroom_stored_us; /* last store of the headroom model */
    /* Atomic; read on all threads. */
    uint64_t is_ready;
    uint64_t draining;
    uint64_t retry_after_s; /* Retry-After of rejected requests, in seconds */
} mb_scheduler_node_t;

bool mb_scheduler_node_init(mb_scheduler_node_t *node,
                            const mb_scheduler_config_t *config,
                            mb_epoch_t *epoch, mb_counters_t *counters,
                            const mb_log_t *log, GError **error);
bool mb_scheduler_node_start(mb_scheduler_node_t *node,
                             const mb_job_codec_t *codec,
                             const mb_keyed_log_t *keyed_log, GError **error);
void mb_scheduler_node_drain(mb_scheduler_node_t *node);
void mb_scheduler_node_stop(mb_scheduler_node_t *node);
void mb_scheduler_node_finish(mb_scheduler_node_t *node);

#endif
