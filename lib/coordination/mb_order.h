/* Messages between the owner of the fleet and the agents beside the workers,
   as plain structs. An order tells the agent what the worker is to start, stop
   and throttle; a report tells the owner what the worker runs and which runs
   have ended. */
#ifndef MB_ORDER_H
#define MB_ORDER_H

#include <glib.h>

#include "mb_dag.h"

/* Maximum number of rows in each list of an order or a report. */
#define MB_ORDER_ROWS_MAX 8192u
/* Maximum size of the rows of an order, in bytes. What doesn't fit goes into
   the next order. Small enough that an order on a narrow link does not delay
   the renewal of the lease for long. */
#define MB_ORDER_BYTES_MAX (256u * 1024u)
/* Maximum size of the rows of a report, in bytes. It lists all runs of a
   worker. */
#define MB_REPORT_BYTES_MAX (960u * 1024u)
/* Upper bound of the encoded size of a row without its texts, in bytes. */
#define MB_ORDER_ROW_BYTES 96u
/* Maximum length of the name of a worker, a service, a label or an image, in
   bytes. */
#define MB_ORDER_TEXT_MAX 255u
/* Maximum number of labels of a worker. */
#define MB_WORKER_LABELS_MAX 16u

/* How a run ended. */
typedef enum mb_run_end {
    MB_RUN_DONE,
    MB_RUN_FAILED,
    MB_RUN_STOPPED,
    MB_RUN_LEASE_EXPIRED,
    MB_RUN_GANG_BROKEN, /* another member of its gang ended */
    /* The other members of its gang did not start in time. */
    MB_RUN_GANG_TIMEOUT,
    MB_RUN_END_COUNT
} mb_run_end_t;

/* Why a start did not lead to a run. */
typedef enum mb_refusal {
    MB_REFUSAL_FENCED, /* the worker has seen a newer fencing token */
    /* The worker has had a run of the task with this number or a later one. */
    MB_REFUSAL_OLD_RUN,
    MB_REFUSAL_EXPIRED, /* the lease had expired when the start arrived */
    MB_REFUSAL_NO_ROOM,
    MB_REFUSAL_NOT_APPROVED, /* no valid approval for this worker */
    MB_REFUSAL_UNHEALTHY,    /* the worker is overloaded or not available */
    MB_REFUSAL_INVALID,      /* the worker gave none of these reasons */
    MB_REFUSAL_LEAVING,      /* the worker or its agent drains */
    MB_REFUSAL_ABSENT,       /* no worker, or another incarnation of it */
    /* The start got no answer, and the run was then stopped for good. */
    MB_REFUSAL_UNANSWERED,
    MB_REFUSAL_COUNT
} mb_refusal_t;

/* Whether a worker accepts starts, as it reports itself. */
typedef enum mb_worker_state {
    MB_WORKER_ABSENT,
    MB_WORKER_READY,
    MB_WORKER_DRAINING,
    MB_WORKER_STATE_COUNT
} mb_worker_state_t;

typedef struct mb_order_start {
    mb_dag_task_id_t task;
    uint64_t run;
    mb_str_t payload;
    mb_str_t checkpoint;
    mb_str_t approval; /* empty: none needed */
    mb_str_t image; /* tasks of one image have similar load and sensitivity */
    uint32_t latency_target_ms; /* of a service task; 0: none */
    bool best_effort;           /* may be throttled for service tasks */
} mb_order_start_t;

typedef struct mb_order_stop {
    mb_dag_task_id_t task;
    uint64_t run;
} mb_order_stop_t;

/* Throttles a run of best-effort work to a percentage of its full speed. */
typedef struct mb_order_throttle {
    mb_dag_task_id_t task;
    uint64_t run;
    uint32_t percent;
} mb_order_throttle_t;

typedef struct mb_order {
    uint64_t token;           /* fencing token of the owner */
    uint64_t sequence;        /* rises with each order of a connection */
    uint64_t report_sequence; /* newest report received; 0: none */
    uint32_t lease_ms;        /* counted from when that report was sent */
    uint64_t incarnation;     /* of the worker that the order is for */
    uint64_t acknowledged; /* ends up to this number are stored in the log */
    GArray *starts;        /* mb_order_start_t */
    GArray *stops;         /* mb_order_stop_t */
    GArray *throttles;     /* mb_order_throttle_t */
    size_t bytes;          /* upper bound of the encoded size of the rows */
} mb_order_t;

/* A run that is, or may still be started, on a worker. */
typedef struct mb_report_run {
    mb_dag_task_id_t task;
    uint64_t run;
    bool confirmed; /* the worker lists the run */
    /* The agent knows the attributes that throttling depends on. An agent that
       was restarted does not. */
    bool attributes_known;
    uint32_t throttle_percent; /* of full speed, as set by the agent */
    uint32_t progress;         /* as reported by the worker, in percent */
    /* Latency in milliseconds, or processors used in thousandths, depending on
       the step. */
    uint32_t value;
    mb_str_t checkpoint;
} mb_report_run_t;

/* Number of an end that the worker listed before it started again, or under
   the number of another end. No owner acknowledges it, and it may be reported
   repeatedly. */
#define MB_REPORT_END_UNNUMBERED UINT64_C(0)

typedef struct mb_report_end {
    /* Rises by one with each end of a run on an incarnation of the worker,
       from 1 on; or MB_REPORT_END_UNNUMBERED. */
    uint64_t number;
    mb_dag_task_id_t task;
    uint64_t run;
    mb_run_end_t how;
    mb_str_t checkpoint;
} mb_report_end_t;

typedef struct mb_report_refusal {
    mb_dag_task_id_t task;
    uint64_t run;
    mb_refusal_t reason;
} mb_report_refusal_t;

/* What a worker reports about itself. */
typedef struct mb_worker_info {
    mb_worker_state_t state;
    mb_str_t name;
    uint64_t incarnation;   /* differs after each restart of the worker */
    uint64_t start_time_ms; /* Unix time when the incarnation started */
    mb_str_t service;       /* the pool of workers that it belongs to */
    mb_str_t failure_domain;
    mb_size_t capacity;
    mb_str_t rack;
    uint32_t label_count;
    mb_str_t labels[MB_WORKER_LABELS_MAX];
} mb_worker_info_t;

typedef struct mb_report {
    uint64_t token; /* highest fencing token that the agent has seen */
    /* Of the process of the agent, which remembers that token until it ends;
       0: unknown, from an agent of an earlier version. */
    uint64_t agent_incarnation;
    uint64_t sequence;       /* rises with each report of a connection */
    uint64_t order_sequence; /* sequence of the latest order processed */
    bool complete;           /* `runs` lists all runs */
    /* Time since the worker has answered with the progress and the values of
       `runs`, which are repeated meanwhile. */
    uint32_t figures_age_ms;
    /* The worker has more ends than it lists at a time. A run that is in none
       of the arrays may be among them. */
    bool ends_cut;
    bool draining; /* the agent is stopping */
    mb_worker_info_t worker;
    GArray *runs;     /* mb_report_run_t */
    GArray *ends;     /* mb_report_end_t */
    GArray *refusals; /* mb_report_refusal_t */
    size_t bytes;     /* upper bound of the encoded size of the rows */
} mb_report_t;

const char *mb_run_end_name(mb_run_end_t how);
const char *mb_refusal_name(mb_refusal_t reason);

/* Adds a row to an order. Returns false, and adds nothing, if the order is
   full. */
bool mb_order_add_start(mb_order_t *order, const mb_order_start_t *start);
bool mb_order_add_stop(mb_order_t *order, const mb_order_stop_t *stop);
bool mb_order_add_throttle(mb_order_t *order,
                           const mb_order_throttle_t *throttle);
/* Adds a row to a report, likewise. A run or an end for which there is room
   only without its checkpoint is added without it. */
bool mb_report_add_run(mb_report_t *report, const mb_report_run_t *run);
bool mb_report_add_end(mb_report_t *report, const mb_report_end_t *end);
bool mb_report_add_refusal(mb_report_t *report,
                           const mb_report_refusal_t *refusal);

void mb_order_init(mb_order_t *order);
void mb_order_clear(mb_order_t *order);
void mb_order_finish(mb_order_t *order);
void mb_report_init(mb_report_t *report);
void mb_report_clear(mb_report_t *report);
void mb_report_finish(mb_report_t *report);

/* Returns whether two ids name the same task. */
bool mb_dag_task_id_equal(const mb_dag_task_id_t *a,
                          const mb_dag_task_id_t *b);

#endif
