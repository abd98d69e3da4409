/* Functions and types shared by the files of the agent. mb_agent.c (owner,
   reports) calls the other files. mb_agent_worker.c (list calls) calls
   mb_agent_lease.c (the worker's leases), mb_agent_ends.c (ends until they are
   stored) and mb_agent_throttle.c (best-effort work beside services). All of
   them call mb_agent_runs.c (calls about single
   runs), which itself only calls mb_agent_lease_end_ms and
   mb_agent_note_answer of the others. */
#ifndef MB_AGENT_INTERNAL_H
#define MB_AGENT_INTERNAL_H

#include "mb_agent.h"

/* Throttle of a run at full speed, in percent. */
#define MB_AGENT_FULL_SPEED_PERCENT 100u

typedef enum mb_agent_run_state {
    MB_AGENT_RUN_STARTING, /* its start is not answered yet */
    MB_AGENT_RUN_RUNNING,  /* the worker has accepted the start */
    /* Its start got no answer, and it is being stopped. */
    MB_AGENT_RUN_UNCONFIRMED
} mb_agent_run_state_t;

/* A run as known to the agent. */
typedef struct mb_agent_run {
    mb_dag_task_id_t task;
    uint64_t run;
    mb_agent_run_state_t state;
    bool listed;           /* the worker has listed it */
    bool attributes_known; /* the two members below are set */
    bool best_effort;
    uint32_t latency_target_ms;
    uint64_t accepted_us; /* when the worker accepted the start */
    bool stop_wanted;
    bool stop_pending;          /* a stop call is not answered yet */
    uint64_t stop_due_us;       /* earliest time of the next stop call */
    uint64_t stop_confirmed_us; /* when a stop was confirmed; 0: not yet */
    bool throttle_unknown;      /* the latest throttle call got no answer */
    bool throttle_pending;      /* a throttle call is not answered yet */
    uint32_t ordered_percent;   /* throttle that the owner ordered */
    uint32_t throttle_percent;  /* throttle of the latest throttle call */
    uint64_t image_hash;        /* hash of its image */
    uint32_t progress;          /* as reported by the worker, in percent */
    uint32_t value;             /* see mb_report_run_t */
    uint64_t last_listed_us; /* start of the latest list call that named it */
    mb_buf_t checkpoint;
} mb_agent_run_t;

/* mb_agent_runs.c */
mb_agent_run_t *mb_agent_find_run(const mb_agent_t *agent,
                                  const mb_dag_task_id_t *task, uint64_t run);
mb_agent_run_t *mb_agent_add_run(mb_agent_t *agent,
                                 const mb_dag_task_id_t *task, uint64_t run);
void mb_agent_remove_run(mb_agent_t *agent, mb_agent_run_t *run);
void mb_agent_free_run(gpointer data);
void mb_agent_refuse(mb_agent_t *agent, const mb_dag_task_id_t *task,
                     uint64_t run, mb_refusal_t reason);
void mb_agent_start(mb_agent_t *agent, const mb_order_start_t *start);
void mb_agent_stop(mb_agent_t *agent, const mb_order_stop_t *stop);
void mb_agent_set_ordered_throttle(mb_agent_t *agent,
                                   const mb_order_throttle_t *throttle);
void mb_agent_runs_tick(mb_agent_t *agent, uint64_t now_us);
void mb_agent_send_throttle(mb_agent_t *agent, mb_agent_run_t *run,
                            uint32_t percent);
mb_executor_call_t mb_agent_call(const mb_agent_t *agent,
                                 void (*done)(void *context,
                                              const mb_executor_answer_t *),
                                 void *context);

/* mb_agent_ends.c */
void mb_agent_ends_init(mb_agent_t *agent);
void mb_agent_ends_finish(mb_agent_t *agent);
mb_str_t mb_agent_usable_checkpoint(mb_str_t checkpoint);
void mb_agent_handle_ends(mb_agent_t *agent, const GArray *ends);
void mb_agent_note_acknowledgement(mb_agent_t *agent, uint64_t number);
uint64_t mb_agent_acknowledgement(const mb_agent_t *agent);
void mb_agent_keep_former_ends(mb_agent_t *agent);
bool mb_agent_has_end(const mb_agent_t *agent, const mb_order_stop_t *stop);
void mb_agent_add_ends(mb_agent_t *agent);
void mb_agent_ends_tick(mb_agent_t *agent, uint64_t now_us);

/* mb_agent_throttle.c */
void mb_agent_check_latency(mb_agent_t *agent, uint64_t now_us);
void mb_agent_apply_throttle(mb_agent_t *agent);

/* mb_agent_lease.c */
uint64_t mb_agent_lease_end_ms(mb_agent_t *agent);
void mb_agent_note_foreign_lease(mb_agent_t *agent);
bool mb_agent_lease_has_ended(const mb_agent_t *agent, uint64_t now_us);
void mb_agent_check_former_lease(mb_agent_t *agent, uint64_t clock_ms);
void mb_agent_lease_tick(mb_agent_t *agent, uint64_t now_us);

/* mb_agent_worker.c */
void mb_agent_worker_tick(mb_agent_t *agent, uint64_t now_us);
bool mb_agent_worker_reachable(const mb_agent_t *agent, uint64_t now_us);
void mb_agent_reset_worker(mb_agent_t *agent);
void mb_agent_note_answer(mb_agent_t *agent,
                          const mb_executor_answer_t *answer);
bool mb_agent_incarnation_confirmed(const mb_agent_t *agent);

#endif
