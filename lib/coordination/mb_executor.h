/* The worker that an agent speaks for, as callbacks. Every call is answered
   once through `done`, never from inside the call; without an answer it may
   have been carried out, or may be carried out seconds later. */
#ifndef MB_EXECUTOR_H
#define MB_EXECUTOR_H

#include "mb_order.h"

typedef enum mb_executor_result {
    MB_EXECUTOR_OK,
    MB_EXECUTOR_REFUSED,
    MB_EXECUTOR_UNANSWERED,
    MB_EXECUTOR_OTHER /* another incarnation answered; nothing was done */
} mb_executor_result_t;

/* An answer; views are valid during `done`. */
typedef struct mb_executor_answer {
    mb_executor_result_t result;
    mb_refusal_t reason; /* of MB_EXECUTOR_REFUSED */
    bool has_clock;
    uint64_t clock_ms;      /* of the worker, when it answered */
    uint64_t incarnation;   /* of a list; 0: not said */
    uint64_t start_time_ms; /* likewise */
    GArray *runs;           /* of a list: mb_report_run_t */
    GArray *ends;           /* of a list: mb_report_end_t */
} mb_executor_answer_t;

/* What all calls have. */
typedef struct mb_executor_call {
    mb_str_t worker; /* name of the incarnation that is meant */
    uint64_t token;
    uint32_t timeout_ms;
    void (*done)(void *context, const mb_executor_answer_t *answer);
    void *context;
} mb_executor_call_t;

/* One run at a worker. */
typedef struct mb_executor_run {
    mb_dag_task_id_t task;
    uint64_t run;
} mb_executor_run_t;

/* The calls return false when they could not begin; `done` is not called
   then and nothing was sent. */
typedef struct mb_executor {
    /* Starts a run; `lease_end_ms` is a time of the worker's clock. */
    bool (*start)(void *context, const mb_executor_call_t *call,
                  const mb_order_start_t *start, uint64_t lease_end_ms);
    bool (*stop)(void *context, const mb_executor_call_t *call,
                 const mb_executor_run_t *run);
    /* Asks for the lists, forgets the ends up to `acknowledged`, and extends
       the lease unless `lease_end_ms` is 0. Waits up to `wait_ms` for an
       end. */
    bool (*list)(void *context, const mb_executor_call_t *call,
                 uint64_t acknowledged, uint64_t lease_end_ms,
                 uint32_t wait_ms);
    bool (*throttle)(void *context, const mb_executor_call_t *call,
                     const mb_executor_run_t *run, uint32_t percent);
    void *context;
} mb_executor_t;

#endif
