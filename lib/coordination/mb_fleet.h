/* Owner of a fleet: the process that holds the lease of the fleet. It decides
   which tasks of the replicated jobs run on which worker, applies the reports
   of the agents, and stores the progress of jobs in the job log before it
   acknowledges the end of a run to an agent. Starts are not stored: after a
   fail-over, the new owner learns from the agents what runs. Not thread-safe:
   all calls come from one thread. The clock, the connections to the agents and
   the log are callbacks. Which process is the owner is decided by
   mb_ownership.

   mb_shard is a separate scheduler, for declared batch jobs and services,
   whose owner calls the workers directly. */
#ifndef MB_FLEET_H
#define MB_FLEET_H

#include "mb_backlog_meter.h"
#include "mb_clock.h"
#include "mb_dag.h"
#include "mb_evacuation.h"
#include "mb_evidence.h"
#include "mb_headroom.h"
#include "mb_health.h"
#include "mb_log.h"
#include "mb_order.h"
#include "mb_run_time.h"

/* Maximum number of workers of a fleet. Further ones are ignored with an error
   in the log. */
#define MB_FLEET_WORKERS_MAX 32768u
/* Lease that an order grants to the runs of a worker, in milliseconds. A
   worker that is silent for 4 s keeps its runs: when it falls silent, the
   report that its latest order answered may be a report interval and an order
   interval old, and afterwards the lease must reach it again. */
#define MB_FLEET_LEASE_MS 4800u
/* A worker's clock may be slow by up to 1 / MB_FLEET_CLOCK_DRIFT_DIVISOR. */
#define MB_FLEET_CLOCK_DRIFT_DIVISOR 50u
/* Margin that is added to a lease for messages in transit, in milliseconds. */
#define MB_FLEET_LEASE_MARGIN_MS 300u
/* Longest interval between two orders to an agent, in milliseconds: an order
   is sent then even if it only renews the lease. */
#define MB_FLEET_ORDER_INTERVAL_MS 300u
/* A worker gets no starts when its latest report is older than this, in
   milliseconds. */
#define MB_FLEET_REPORT_TIMEOUT_MS 1000u
/* Figures of runs that are older than this, in milliseconds, are not used: the
   worker does not answer its agent, which repeats what it had. */
#define MB_FLEET_FIGURES_AGE_MAX_MS 500u
/* Time for which an agent counts as obeying after the owner has sent an order
   that it has carried out, in milliseconds: several intervals of orders and
   reports. */
#define MB_FLEET_OBEYED_MAX_MS 1500u
/* Time for which an agent must be unreachable before its worker may be
   removed, in milliseconds: when no run is known there, and when the worker
   may still hold runs of the former owner. The latter is longer than the time
   for which a former owner may be active plus its leases. */
#define MB_FLEET_REMOVE_AFTER_MS 1000u
#define MB_FLEET_REMOVE_UNKNOWN_AFTER_MS 20000u
/* Delay before a task is started again after a failure, in milliseconds. It
   doubles with each further failure in a row, up to a maximum: a job shows
   that it runs every few seconds while there is room, and so does each task of
   a service, but a service may be away for longer. */
#define MB_FLEET_RETRY_DELAY_MS 100u
#define MB_FLEET_RETRY_DELAY_MAX_MS 2000u
#define MB_FLEET_SERVICE_RETRY_DELAY_MAX_MS 5000u

/* All callbacks are required and get `context` as first argument. */
typedef struct mb_fleet_callbacks {
    /* Sends an order to the agent of a worker. The order is valid during the
       call. If it can't be sent, it is dropped and the connection has to be
       opened anew. */
    void (*send)(void *context, uint32_t worker, const mb_order_t *order);
    /* Tells whether many bytes wait to be sent to the agent of a worker.
       Starts then wait. */
    bool (*is_congested)(void *context, uint32_t worker);
    /* Adds the progress of a job to the current group of records to be stored.
       The progress is valid during the call. */
    void (*store)(void *context, const mb_dag_progress_t *progress);
    /* Ends the current group. mb_fleet_progress_stored reports its result. */
    void (*store_group_end)(void *context);
    /* Stores which tasks (mb_dag_task_id_t) may run on an absent worker, or
       removes that record if `tasks` is NULL. mb_fleet_absence_stored reports
       the result. Returns false, without a result, if the record can't be
       stored at present. */
    bool (*store_absence)(void *context, uint32_t worker, const GArray *tasks);
    /* Returns the Unix time in milliseconds, for the submission and due times
       of jobs. */
    uint64_t (*unix_ms)(void *context);
    void *context;
} mb_fleet_callbacks_t;

/* Whether the log has a record of the tasks that may run on an absent
   worker. */
typedef enum mb_fleet_absence {
    MB_FLEET_ABSENCE_NONE,
    MB_FLEET_ABSENCE_STORING, /* the log may get the record */
    MB_FLEET_ABSENCE_STORED,
    MB_FLEET_ABSENCE_REMOVING /* the log may still have the record */
} mb_fleet_absence_t;

/* What became of a reported end of a run. All but MB_FLEET_END_COUNTED change
   nothing of the task. */
typedef enum mb_fleet_end_effect {
    MB_FLEET_END_COUNTED,
    MB_FLEET_END_JOB_UNKNOWN,
    MB_FLEET_END_TASK_UNKNOWN, /* the job has no such task */
    MB_FLEET_END_JOB_CLOSED,   /* the job has an outcome */
    MB_FLEET_END_TASK_DONE,    /* the task has succeeded before */
    MB_FLEET_END_SUPERSEDED,   /* the task has been started again since */
    MB_FLEET_END_REPEATED,     /* this failure has been counted before */
    MB_FLEET_END_EFFECT_COUNT
} mb_fleet_end_effect_t;

/* Counters for metrics and tests. */
typedef struct mb_fleet_counts {
    uint64_t starts;
    uint64_t ends[MB_RUN_END_COUNT];
    uint64_t end_effects[MB_FLEET_END_EFFECT_COUNT];
    uint64_t repeated_successes; /* of tasks that had succeeded before */
    uint64_t refusals[MB_REFUSAL_COUNT];
    uint64_t lost_runs;      /* runs given up without a reported end */
    uint64_t stalls;         /* runs stopped because they made no progress */
    uint64_t moves;          /* throttled runs stopped to go on elsewhere */
    uint64_t copies_started; /* second runs of tasks */
    uint64_t copies_won;     /* of them, those whose success counted */
    uint64_t copies_ended;   /* all of them that have ended */
    uint64_t faulty_steps; /* times that failures were attributed to a step */
    uint64_t dropped_starts; /* starts removed from orders before they were
                                sent, because they are no longer allowed */
    uint64_t passes;         /* scheduling passes */
} mb_fleet_counts_t;

/* One run, which holds resources of a worker. */
typedef struct mb_fleet_run {
    mb_dag_job_t *job; /* borrowed from the table */
    uint32_t occurrence;
    uint32_t step;
    uint32_t index; /* of the task in the step */
    uint64_t number;
    /* Sequence number of the order that carried its start, on the current
       connection; 0: sent on an earlier connection. */
    uint64_t start_sequence;
    uint64_t started_us; /* when this owner started or adopted it */
    bool adopted;        /* another owner started it */
    bool proven;         /* of a service: it has worked long enough to count as
                            a success */
    bool is_copy;        /* this owner started it beside another run */
    bool confirmed;      /* the worker has confirmed that it runs */
    bool stopping;       /* a stop was ordered; it holds its resources until
                            its end is reported */
    /* Sequence number of the order that carried its stop, on the current
       connection; 0: not sent on it. */
    uint64_t stop_sequence;
    bool resumed;        /* began at a checkpoint or was adopted, so its run
                            time is not that of the whole task */
    uint64_t image_hash; /* identifies its kind of work in the headroom model
                          */
    uint32_t latency_ms; /* of a service task, latest report; 0: unknown */
    /* Processors that a best-effort run uses at full speed, in thousandths,
       from the latest report; 0: unknown. */
    uint32_t cpu_used_milli;
    /* Throttle of a best-effort run in percent of its full speed: the value to
       set, and the value last ordered on the current connection. */
    uint32_t target_throttle_percent;
    uint32_t ordered_throttle_percent;
    uint32_t progress; /* latest report, in percent */
    /* Time for which `progress` has been watched without a change. */
    uint64_t stalled_for_us;
    uint64_t slowest_percent_us; /* longest time that one percent took */
    uint64_t progress_read_us;   /* latest report with a recent figure */
    uint64_t throttled_since_us; /* since when the agent has severely throttled
                                    it; 0: it is not severely throttled */
    bool was_throttled;          /* it has been throttled at some time */
} mb_fleet_run_t;

/* The place on a worker that is kept for a task whose run elsewhere is being
   stopped so that it goes on here. */
typedef struct mb_fleet_kept_place {
    uint64_t until_us; /* 0: none */
    mb_dag_task_id_t task;
    uint64_t image_hash;
    mb_size_t size;
} mb_fleet_kept_place_t;

/* One worker and the connection to its agent. Text is owned. */
typedef struct mb_fleet_worker {
    uint32_t number;  /* index in the fleet */
    mb_buf_t address; /* of the agent */
    bool connected;
    /* A complete report under the fencing token of this owner has been applied
       on this connection, and the runs have not been given up since. */
    bool runs_known;
    bool may_have_former_runs; /* runs of the former owner may be there that
                                  no report has shown yet */
    /* Unless it is MB_FLEET_ABSENCE_NONE, no owner starts anything there. */
    mb_fleet_absence_t absence;
    uint64_t absence_token; /* of the owner that wrote the record in the log;
                               0: there is none */
    /* mb_dag_task_id_t. In a process that is not the owner, the tasks of the
       record in the log. In the owner, the tasks that wait because they may
       run there; empty if there are none or they are unknown. */
    GArray *absent_tasks;
    bool former_tasks_known; /* nothing but `absent_tasks` may run there */
    bool removed; /* it has left: the log no longer names its agent */
    /* When this process read that it has joined the fleet; 0: it was part of
       it when this process first read the log. */
    uint64_t joined_us;
    bool agent_draining; /* the agent drains and will exit */
    mb_worker_state_t state;
    uint64_t incarnation;
    /* Of the agent's process in the latest report, and when this owner first
       got a report of that process; 0: it has got none. */
    uint64_t agent_incarnation;
    uint64_t agent_known_since_us;
    /* The order that the agent is expected to report as carried out, when it
       was sent, and when the latest one that it has reported was sent. */
    uint64_t probe_sequence; /* 0: none */
    uint64_t probe_us;
    uint64_t obeyed_us; /* 0: it has reported none */
    /* The latest complete report has all runs on record here, but its agent's
       process was not confirmed yet. */
    bool report_unsettled;
    mb_buf_t name;
    mb_buf_t service; /* name of the pool of workers that it belongs to */
    mb_buf_t rack;
    mb_buf_t failure_domain;
    bool evacuated;       /* its failure domain is evacuated */
    uint64_t returned_us; /* when the request for its domain was withdrawn; 0:
                             not lately */
    mb_buf_t labels[MB_WORKER_LABELS_MAX];
    uint32_t label_count;
    mb_size_t capacity;
    GArray *runs;          /* mb_fleet_run_t, in no order */
    mb_size_t used;        /* declared by runs that are not best-effort */
    mb_size_t best_effort; /* declared by best-effort runs */
    mb_fleet_kept_place_t kept;
    /* Declared by runs that this owner has not adopted and has stopped, as of
       the latest complete report. Best-effort runs declare no processors
       here. */
    mb_size_t orphaned;
    bool has_unknown_orphan; /* one of them is of an unknown job */
    /* Moving average of the load of best-effort runs, and when it was last
       updated. */
    mb_headroom_load_t recent_load;
    uint64_t recent_load_us;
    mb_health_t health;
    bool suspension_logged;   /* the log has it as suspended */
    uint64_t reported_us;     /* time of the latest report, or when the worker
                                 was added */
    uint64_t report_sequence; /* its sequence number; 0: none on this
                                 connection */
    uint64_t lease_end_us; /* all runs have ended by then unless another order
                              extends their lease */
    uint64_t order_sequence; /* of the latest order on this connection */
    /* Of the latest order that the agent had read when it made its latest
       report; 0: none on this connection. */
    uint64_t reported_order_sequence;
    uint64_t ordered_us; /* time of the latest order */
    /* Highest numbers of ends that have been applied to the table, that the
       group being stored includes, and that have been stored, which orders
       acknowledge so that the worker may discard them. */
    uint64_t ends_applied;
    uint64_t ends_being_stored;
    uint64_t ends_stored;
    bool order_due;           /* send `pending_order` at the next flush */
    mb_order_t pending_order; /* next order, collected until it is sent */
} mb_fleet_worker_t;

/* The capacity and the use of each service's workers (mb_fleet_pools.c). */
typedef struct mb_fleet_pools {
    GHashTable *by_service; /* mb_str_t -> mb_fleet_pool_t */
} mb_fleet_pools_t;

typedef struct mb_fleet {
    mb_dag_table_t *table; /* borrowed */
    mb_fleet_callbacks_t callbacks;
    mb_clock_t clock;
    mb_log_t log;
    bool is_owner;
    bool active;    /* ownership is certain: orders may be sent */
    uint64_t token; /* fencing token of this ownership */
    /* No other process had claimed the fleet by this time. */
    uint64_t confirmed_us;
    /* Until when most agents certainly obey this owner. */
    uint64_t majority_end_us;
    /* Time by which all leases granted by the former owner have expired. */
    uint64_t former_leases_end_us;
    /* Every run of the former owner has been reported, its lease has expired,
       or it is known which tasks wait for it. */
    bool former_runs_resolved;
    bool wait_logged; /* what a new owner waits for has been logged */
    uint64_t owner_since_us;
    uint32_t held_tasks; /* tasks that wait for workers that have not reported
                            to this owner, in the latest scheduling pass */
    GPtrArray *workers;  /* mb_fleet_worker_t by number */
    bool agents_loaded;  /* see mb_fleet_agents_loaded */
    /* mb_buf_t (address) -> mb_fleet_worker_t, both owned by `workers` */
    GHashTable *workers_by_address;
    /* mb_dag_job_t without an outcome, in scheduling order once sorted. Those
       that get an outcome stay until the next tick. */
    GPtrArray *open_jobs;
    bool jobs_unsorted; /* `open_jobs` has changed since it was sorted */
    uint64_t sorted_us;
    uint64_t copies_checked_us; /* when stragglers were last looked for */
    bool schedule_due;          /* a task may have become startable */
    bool store_pending;    /* a group of progress records is being stored */
    bool store_failed;     /* a group was not stored: nothing may be stored,
                              acknowledged or started after it */
    GPtrArray *dirty_jobs; /* mb_dag_job_t whose progress is to be stored */
    mb_buf_t done_bits;    /* scratch buffers for progress records */
    GArray *progress_rows;
    GArray *progress_numbers;     /* uint32_t, the same */
    uint32_t running;             /* runs on all workers */
    uint32_t runs_max;            /* see mb_fleet_set_runs_max */
    uint64_t waiting_logged_us;   /* when waiting jobs were last looked for */
    mb_fleet_pools_t pools;       /* as of the start of the latest pass */
    uint64_t latencies_logged_us; /* when expected latencies were last logged
                                   */
    uint32_t latency_log_next; /* worker that is looked at first next time */
    mb_headroom_t headroom_model;
    mb_run_time_t run_times; /* per queue */
    /* On steps of open jobs that have failed under this owner; the source is
       mb_fleet_step_key. */
    mb_evidence_t evidence;
    mb_backlog_meter_t backlog_meter;
    mb_fleet_counts_t counts;
    /* Evacuated failure domains; NULL: there are none. Borrowed. */
    const mb_evacuation_t *evacuation;
    uint64_t evacuation_version;  /* of the table that the workers reflect */
    uint64_t evacuation_noted_us; /* when the following was last counted */
    uint64_t evacuation_logged_us;
    uint32_t evacuated_workers;
    uint32_t evacuated_runs;  /* runs on them */
    uint32_t evacuated_tasks; /* tasks that found no worker in the latest pass
                                 and whose service has evacuated workers */
    bool starts_withheld; /* `evacuation` does not allow any starts at present
                           */
} mb_fleet_t;

void mb_fleet_init(mb_fleet_t *fleet, mb_dag_table_t *table,
                   const mb_fleet_callbacks_t *callbacks,
                   const mb_clock_t *clock, const mb_log_t *log);
void mb_fleet_finish(mb_fleet_t *fleet);
/* Sets the table of evacuated failure domains, which is borrowed and must
   outlive the fleet. Without it, no domain is evacuated and starts are always
   allowed. */
void mb_fleet_set_evacuation(mb_fleet_t *fleet,
                             const mb_evacuation_t *evacuation);

/* Sets the number of runs from which on nothing more is started; 0: not
   limited. */
void mb_fleet_set_runs_max(mb_fleet_t *fleet, uint32_t runs_max);

/* Ownership. */
void mb_fleet_become_owner(mb_fleet_t *fleet, uint64_t token,
                           uint64_t former_leases_end_us);
void mb_fleet_lose_ownership(mb_fleet_t *fleet);
void mb_fleet_set_active(mb_fleet_t *fleet, bool active);
/* Tells the owner that no other process had claimed the fleet by a time.
   Until that time is past the end of a worker's lease, its silence does not
   show that its runs have ended: another owner may have renewed it. Until it
   is past the first report of an agent's process, the agent may have obeyed
   another owner before it was restarted. */
void mb_fleet_confirm_ownership(mb_fleet_t *fleet, uint64_t confirmed_us);
/* Tells whether the log has confirmed the ownership lately, or most agents
   obey this owner; it must not act otherwise (mb_fleet_majority.c). */
bool mb_fleet_leads(mb_fleet_t *fleet);
bool mb_fleet_is_owner(const mb_fleet_t *fleet);

/* Changes of the job table, and the results of storing progress. */
void mb_fleet_job_added(mb_fleet_t *fleet, mb_dag_job_t *job);
void mb_fleet_job_cancelled(mb_fleet_t *fleet, mb_dag_job_t *job);
bool mb_fleet_job_idle(const mb_fleet_t *fleet, const mb_dag_job_t *job);
void mb_fleet_job_removed(mb_fleet_t *fleet, mb_dag_job_t *job);
void mb_fleet_progress_stored(mb_fleet_t *fleet, bool ok);

/* Records of absent workers (mb_fleet_absence.c). `tasks` is an array of
   mb_dag_task_id_t, or NULL if the record was removed; it is copied. `token`
   is that of the owner that wrote the record. `in_log`: the record that was to
   be stored or removed is, or may be, in the log. */
void mb_fleet_absence_read(mb_fleet_t *fleet, uint32_t worker, uint64_t token,
                           const GArray *tasks);
void mb_fleet_absence_stored(mb_fleet_t *fleet, uint32_t worker, bool in_log);

/* Agents and their workers. Workers are named by their number, which
   mb_fleet_add_worker returns; it stays valid until
   mb_fleet_finish. */
uint32_t mb_fleet_add_worker(mb_fleet_t *fleet, mb_str_t address);
uint32_t mb_fleet_find_worker(const mb_fleet_t *fleet, mb_str_t address);
/* Notes that the log has been read as a whole. Workers that are in the fleet
   at the first time don't count as having joined lately. */
void mb_fleet_agents_loaded(mb_fleet_t *fleet);
void mb_fleet_agent_connected(mb_fleet_t *fleet, uint32_t worker);
void mb_fleet_agent_disconnected(mb_fleet_t *fleet, uint32_t worker);
void mb_fleet_handle_report(mb_fleet_t *fleet, uint32_t worker,
                            const mb_report_t *report);
/* Tells whether a worker whose agent has been unreachable since `lost_us` may
   be removed from the fleet, by this owner and the ones after it. */
bool mb_fleet_may_remove_worker(const mb_fleet_t *fleet, uint32_t worker,
                                uint64_t lost_us);
void mb_fleet_worker_removed(mb_fleet_t *fleet, uint32_t worker);

/* Handles expired leases, retry delays and due times. Call it several times a
   second. */
void mb_fleet_tick(mb_fleet_t *fleet);
/* Starts the tasks that can be started, stores changed progress and sends the
   orders that are due. Call it after each batch of events. */
void mb_fleet_flush(mb_fleet_t *fleet);

/* What the owner knows of the workers of one failure domain. */
typedef struct mb_fleet_domain {
    uint32_t workers;
    uint32_t runs;
} mb_fleet_domain_t;

/* Counts the workers of a failure domain and what runs there; nothing is known
   in a process that is not the owner. */
mb_fleet_domain_t mb_fleet_count_domain(const mb_fleet_t *fleet,
                                        mb_str_t domain);
/* Collects the forecast of the backlog, as of the latest scheduling pass. Call
   it at intervals. Returns false, with an empty forecast, if nothing waits or
   the owner does not know yet what runs (mb_fleet_backlog.c). */
bool mb_fleet_forecast_backlog(mb_fleet_t *fleet,
                               mb_backlog_forecast_t *forecast);

/* Lookups. */
uint64_t mb_fleet_max_lease_us(void);
mb_fleet_worker_t *mb_fleet_get_worker(const mb_fleet_t *fleet,
                                       uint32_t worker);

#endif
