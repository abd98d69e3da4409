/* The owner of the fleet: decides which tasks of the replicated jobs run on
   which worker, follows what the agents report, and stores progress before
   an end may be forgotten. Starts are not stored: a new owner learns what
   runs from the agents. Used on one thread; the clock, the agents and the
   log are callbacks. */
#ifndef MB_FLEET_H
#define MB_FLEET_H

#include "mb_clock.h"
#include "mb_contention.h"
#include "mb_dag.h"
#include "mb_health.h"
#include "mb_log.h"
#include "mb_order.h"
#include "mb_sizing.h"

/* Most workers of a fleet; more are ignored with a log line. */
#define MB_FLEET_WORKERS_MAX 32768u
/* Lease of a worker, in milliseconds: longer than the kill or freeze of a
   single process with the time to reconnect. */
#define MB_FLEET_LEASE_MS 4500u
/* Part by which a worker's clock may be slow, as 1 / 50. */
#define MB_FLEET_CLOCK_DRIFT_DIVISOR 50u
/* Margin after a lease for messages on their way, in milliseconds. */
#define MB_FLEET_LEASE_MARGIN_MS 300u
/* How often an agent gets an order even if nothing is to be done, in
   milliseconds. */
#define MB_FLEET_ORDER_INTERVAL_MS 300u
/* A worker without a report for this long gets no starts, in milliseconds. */
#define MB_FLEET_REPORT_TIMEOUT_MS 1000u
/* Time after which an agent that can't be reached counts as gone, in
   milliseconds: when nothing runs there, and when it is not known what does
   (longer than a former owner may act and its leases hold). */
#define MB_FLEET_REMOVE_AFTER_MS 1000u
#define MB_FLEET_REMOVE_UNKNOWN_AFTER_MS 20000u
/* Pause before a task is started again after a failure, in milliseconds. */
#define MB_FLEET_RETRY_DELAY_MS 100u

typedef struct mb_fleet_callbacks {
    /* Sends an order; one that can't be sent is dropped, and the connection
       begins anew. */
    void (*send)(void *context, uint32_t worker, const mb_order_t *order);
    /* Stores the progress of a job; after the last one of a group
       mb_fleet_progress_stored is called. */
    void (*store)(void *context, const mb_dag_progress_t *progress);
    void (*store_group_end)(void *context);
    /* Unix time in milliseconds, for jobs with a time. */
    uint64_t (*unix_ms)(void *context);
    void *context;
} mb_fleet_callbacks_t;

/* Figures for metrics. */
typedef struct mb_fleet_counts {
    uint64_t starts;
    uint64_t ends[MB_RUN_END_COUNT];
    uint64_t refusals[MB_REFUSAL_COUNT];
    uint64_t lost_runs;
    uint64_t stalls; /* runs stopped because they stood still */
    uint64_t moves;  /* runs stopped to go on where nothing slows them down */
    uint64_t passes;
} mb_fleet_counts_t;

/* One run that holds a worker's resources. */
typedef struct mb_fleet_run {
    mb_dag_job_t *job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index; /* in the step */
    uint64_t number;
    uint64_t start_sequence; /* sequence of the order with its start */
    uint64_t started_us;     /* when it was chosen or adopted */
    bool reported;           /* the agent has reported it */
    bool stopping;           /* it is to end */
    bool stop_sent;          /* on the present connection */
    bool resumed;            /* from a checkpoint, or adopted */
    uint64_t image_hash;     /* of its image, for contention */
    uint32_t latency_ms;     /* of a service, as reported last; 0: unknown */
    uint32_t cpu_used_milli; /* processors of filling work in use, in
                             thousandths, as reported last; 0: unknown */
    uint32_t target_throttle_percent;  /* of filling work, in percent */
    uint32_t ordered_throttle_percent; /* on the present connection */
    uint32_t progress;                 /* as reported last, in percent */
    uint64_t progress_us;              /* when that last changed */
    uint64_t throttled_since_us; /* since then the agent slows it down; 0: it
                           does not */
    bool was_throttled;          /* it was slowed down at some time */
} mb_fleet_run_t;

/* One worker and the connection to its agent. Text is owned. */
typedef struct mb_fleet_worker {
    uint32_t number;
    mb_buf_t address; /* of the agent */
    bool connected;
    bool runs_known; /* all its runs were reported under this token */
    bool may_have_former_runs; /* may hold runs of the former owner */
    bool agent_stopping;       /* the agent stops */
    mb_worker_state_t state;
    uint64_t incarnation;
    mb_buf_t name;
    mb_buf_t service;
    mb_buf_t rack;
    mb_buf_t labels[MB_WORKER_LABELS_MAX];
    uint32_t label_count;
    mb_size_t capacity;
    GArray *runs;                      /* mb_fleet_run_t */
    mb_size_t used;                    /* of runs that do not fill */
    mb_size_t best_effort;             /* of runs that fill */
    mb_contention_scene_t recent_load; /* average of past filling work */
    uint64_t recent_load_us;           /* when it was updated */
    mb_health_t health;
    uint64_t reported_us;     /* latest report */
    uint64_t report_sequence; /* its sequence */
    uint64_t lease_end_us;    /* no run outlives it without a further order */
    uint64_t order_sequence;  /* sequence of the latest order */
    uint64_t ordered_us;
    uint64_t ends_applied; /* ends up to this number are in the table */
    uint64_t
        ends_being_stored; /* likewise, of the group that is being stored */
    uint64_t ends_stored;  /* ends up to this number may be forgotten */
    bool order_due;
    mb_order_t pending_order;
} mb_fleet_worker_t;

typedef struct mb_fleet {
    mb_dag_table_t *table;
    mb_fleet_callbacks_t callbacks;
    mb_clock_t clock;
    mb_log_t log;
    bool is_owner;
    bool active;
    uint64_t token;
    uint64_t former_leases_end_us; /* no run of the former owner is alive after
                                      that */
    bool former_runs_resolved;
    GPtrArray *workers; /* mb_fleet_worker_t by number */
    GHashTable
        *workers_by_address; /* mb_buf_t of a worker -> mb_fleet_worker_t */
    GPtrArray *open_jobs;    /* mb_dag_job_t with work left */
    bool jobs_unsorted;
    uint64_t sorted_us;
    bool schedule_due;  /* something may have become startable */
    bool store_pending; /* a group is being stored */
    bool store_failed; /* a group could not be stored: nothing may follow it */
    GPtrArray *dirty_jobs;
    mb_buf_t done_bits; /* scratch memory of a group */
    GArray *progress_rows;
    uint32_t running;
    mb_contention_t headroom_model;
    mb_sizing_t sizing; /* run times, by step and by queue */
    mb_fleet_counts_t counts;
} mb_fleet_t;

void mb_fleet_init(mb_fleet_t *fleet, mb_dag_table_t *table,
                   const mb_fleet_callbacks_t *callbacks,
                   const mb_clock_t *clock, const mb_log_t *log);
void mb_fleet_finish(mb_fleet_t *fleet);

/* Ownership. */
void mb_fleet_become_owner(mb_fleet_t *fleet, uint64_t token,
                           uint64_t former_leases_end_us);
void mb_fleet_lose_ownership(mb_fleet_t *fleet);
void mb_fleet_set_active(mb_fleet_t *fleet, bool acting);
bool mb_fleet_is_owner(const mb_fleet_t *fleet);

/* Jobs of the table. */
void mb_fleet_job_added(mb_fleet_t *fleet, mb_dag_job_t *job);
void mb_fleet_job_cancelled(mb_fleet_t *fleet, mb_dag_job_t *job);
bool mb_fleet_job_idle(const mb_dag_job_t *job);
void mb_fleet_job_removed(mb_fleet_t *fleet, mb_dag_job_t *job);
void mb_fleet_progress_stored(mb_fleet_t *fleet, bool ok);

/* Agents. */
uint32_t mb_fleet_find_or_add_worker(mb_fleet_t *fleet, mb_str_t address);
void mb_fleet_agent_connected(mb_fleet_t *fleet, uint32_t worker);
void mb_fleet_agent_disconnected(mb_fleet_t *fleet, uint32_t worker);
void mb_fleet_handle_report(mb_fleet_t *fleet, uint32_t worker,
                            const mb_report_t *report);
/* Whether a worker whose agent can't be reached since a time may be left out
   by this owner and those after it. */
bool mb_fleet_may_remove_worker(const mb_fleet_t *fleet, uint32_t worker,
                                uint64_t lost_us);
void mb_fleet_worker_removed(mb_fleet_t *fleet, uint32_t worker);

/* Time: does what is due. Called several times a second, and after events. */
void mb_fleet_tick(mb_fleet_t *fleet);
/* Starts what can be started and sends the orders of the events at hand. */
void mb_fleet_flush(mb_fleet_t *fleet);

/* Observation. */
uint64_t mb_fleet_max_lease_us(void);
mb_fleet_worker_t *mb_fleet_get_worker(const mb_fleet_t *fleet,
                                       uint32_t worker);

#endif
