/* Messages between the owner of the fleet and the agents beside the workers,
   as plain structs. An order carries what the worker is to do; a report what
   it runs and what has ended there. */
#ifndef MB_ORDER_H
#define MB_ORDER_H

#include <glib.h>

#include "mb_dag.h"

/* Most rows in one list of an order or a report. */
#define MB_ORDER_ROWS_MAX 8192u
/* Longest name of a worker, a service, a label or an image, in bytes. */
#define MB_ORDER_TEXT_MAX 255u
/* Most labels of a worker. */
#define MB_WORKER_LABELS_MAX 16u

/* How a run ended. */
typedef enum mb_run_end {
    MB_RUN_DONE,
    MB_RUN_FAILED,
    MB_RUN_STOPPED,
    MB_RUN_LEASE_EXPIRED,
    MB_RUN_GANG_BROKEN,  /* another member of its gang ended */
    MB_RUN_GANG_TIMEOUT, /* the other members did not come in time */
    MB_RUN_END_COUNT
} mb_run_end_t;

/* Why a start did not lead to a run. */
typedef enum mb_refusal {
    MB_REFUSAL_FENCED,  /* the worker has seen a newer token */
    MB_REFUSAL_OLD_RUN, /* a run of this number or a later one was there */
    MB_REFUSAL_EXPIRED, /* the lease had ended when the start arrived */
    MB_REFUSAL_NO_ROOM,
    MB_REFUSAL_NOT_APPROVED, /* no valid approval for the worker */
    MB_REFUSAL_UNHEALTHY,
    MB_REFUSAL_INVALID,
    MB_REFUSAL_LEAVING,    /* the worker takes no more starts */
    MB_REFUSAL_ABSENT,     /* no worker, or another incarnation */
    MB_REFUSAL_UNANSWERED, /* no answer; the run was stopped for good */
    MB_REFUSAL_COUNT
} mb_refusal_t;

/* What a worker's own state allows. */
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
    mb_str_t approval;          /* empty: none needed */
    mb_str_t image;             /* tasks of one image behave alike */
    uint32_t latency_target_ms; /* 0: the task serves nobody */
    bool best_effort;
} mb_order_start_t;

typedef struct mb_order_stop {
    mb_dag_task_id_t task;
    uint64_t run;
} mb_order_stop_t;

/* Share of its full speed at which filling work may go on. */
typedef struct mb_order_throttle {
    mb_dag_task_id_t task;
    uint64_t run;
    uint32_t percent;
} mb_order_throttle_t;

typedef struct mb_order {
    uint64_t token;
    uint64_t sequence;        /* rises with each order of one connection */
    uint64_t report_sequence; /* sequence of the newest report; 0: none */
    uint32_t lease_ms;        /* granted from the time of that report */
    uint64_t incarnation;     /* of the worker that is meant */
    uint64_t acknowledged;    /* ends up to this number are stored */
    GArray *starts;           /* mb_order_start_t */
    GArray *stops;            /* mb_order_stop_t */
    GArray *throttles;        /* mb_order_throttle_t */
} mb_order_t;

/* Something that runs, or may come to run, on a worker. */
typedef struct mb_report_run {
    mb_dag_task_id_t task;
    uint64_t run;
    bool confirmed;            /* the worker lists it */
    bool attributes_known;     /* the agent knows what it needs for pacing */
    uint32_t throttle_percent; /* that the agent has set, in percent */
    uint32_t progress;         /* that the worker lists, in percent */
    uint32_t value; /* latency in milliseconds, or thousandths of a processor
                    in use; see the step */
    mb_str_t checkpoint;
} mb_report_run_t;

typedef struct mb_report_end {
    uint64_t number; /* rises by one with each end of an incarnation */
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

/* What a worker says of itself. */
typedef struct mb_worker_info {
    mb_worker_state_t state;
    mb_str_t name;
    uint64_t incarnation;   /* differs after each start of the worker */
    uint64_t start_time_ms; /* Unix time of that start */
    mb_str_t service;
    mb_str_t failure_domain;
    mb_size_t capacity;
    mb_str_t rack;
    uint32_t label_count;
    mb_str_t labels[MB_WORKER_LABELS_MAX];
} mb_worker_info_t;

typedef struct mb_report {
    uint64_t token;          /* the highest that the agent has seen */
    uint64_t sequence;       /* rises with each report of one connection */
    uint64_t order_sequence; /* sequence of the latest order that was read */
    bool complete;           /* `runs` lists everything */
    bool draining;           /* the agent stops */
    mb_worker_info_t worker;
    GArray *runs;     /* mb_report_run_t */
    GArray *ends;     /* mb_report_end_t */
    GArray *refusals; /* mb_report_refusal_t */
} mb_report_t;

const char *mb_run_end_name(mb_run_end_t how);
const char *mb_refusal_name(mb_refusal_t reason);

void mb_order_init(mb_order_t *order);
void mb_order_clear(mb_order_t *order);
void mb_order_finish(mb_order_t *order);
void mb_report_init(mb_report_t *report);
void mb_report_clear(mb_report_t *report);
void mb_report_finish(mb_report_t *report);

/* Tells whether two ids name the same task. */
bool mb_dag_task_id_equal(const mb_dag_task_id_t *a,
                          const mb_dag_task_id_t *b);

#endif
