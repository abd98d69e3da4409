/* Interface from an agent to its worker. Each accepted call is answered once
   through `done`, never from inside the call. A call with the result
   MB_EXECUTOR_UNANSWERED may have been carried out, or may still be seconds
   later. */
#ifndef MB_EXECUTOR_H
#define MB_EXECUTOR_H

#include "mb_order.h"

/* Longest lease that a worker takes, in milliseconds; it shortens longer
   ones. */
#define MB_EXECUTOR_LEASE_MAX_MS 10000u

typedef enum mb_executor_result {
    MB_EXECUTOR_OK,
    MB_EXECUTOR_REFUSED,
    MB_EXECUTOR_UNANSWERED,
    MB_EXECUTOR_OTHER /* another incarnation answered, and did nothing */
} mb_executor_result_t;

/* An answer. Views are valid during `done`. */
typedef struct mb_executor_answer {
    mb_executor_result_t result;
    mb_refusal_t reason;    /* if the result is MB_EXECUTOR_REFUSED */
    bool has_clock;         /* `clock_ms` is set */
    uint64_t clock_ms;      /* of the worker, when it answered */
    uint64_t incarnation;   /* answers to `list` only; 0: not reported */
    uint64_t start_time_ms; /* answers to `list` only; 0: not reported */
    GArray *runs;           /* answers to `list` only: mb_report_run_t */
    GArray *ends;           /* answers to `list` only: mb_report_end_t */
    /* Answers to `list` only: there may be more ends than `ends` contains.
       They follow when those are acknowledged. */
    bool ends_cut;
} mb_executor_answer_t;

/* Parameters common to all calls. */
typedef struct mb_executor_call {
    mb_str_t worker; /* name of the incarnation that is called */
    uint64_t token;  /* fencing token of the owner */
    uint32_t timeout_ms;
    void (*done)(void *context, const mb_executor_answer_t *answer);
    void *context;
} mb_executor_call_t;

/* Identifies a run at a worker. */
typedef struct mb_executor_run {
    mb_dag_task_id_t task;
    uint64_t run;
} mb_executor_run_t;

/* The calls return false if they could not be sent; `done` is then not
   called. */
typedef struct mb_executor {
    /* Starts a run. `lease_end_ms` is a time of the worker's clock. */
    bool (*start)(void *context, const mb_executor_call_t *call,
                  const mb_order_start_t *start, uint64_t lease_end_ms);
    /* Stops a run. The worker refuses a start of it that arrives later. */
    bool (*stop)(void *context, const mb_executor_call_t *call,
                 const mb_executor_run_t *run);
    /* Requests the lists of the worker's runs and ends, acknowledges the ends
       up to `acknowledged`, which the worker then forgets, and extends the
       lease unless `lease_end_ms` is 0. The worker delays the answer by up to
       `wait_ms` until a run ends. */
    bool (*list)(void *context, const mb_executor_call_t *call,
                 uint64_t acknowledged, uint64_t lease_end_ms,
                 uint32_t wait_ms);
    /* Limits a run to `percent` of its full speed. */
    bool (*throttle)(void *context, const mb_executor_call_t *call,
                     const mb_executor_run_t *run, uint32_t percent);
    void *context;
} mb_executor_t;

#endif
