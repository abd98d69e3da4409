/* Functions that the files of the fleet share. Calls go one way:
   - mb_fleet.c (ownership, timers, sending) calls the files below
   - mb_fleet_report.c applies what the agents report, through mb_fleet_ends.c,
     mb_fleet_refusals.c and mb_fleet_reported_runs.c
   - mb_fleet_schedule.c chooses what to start, in the order of
     mb_fleet_order.c and at the costs of mb_fleet_cost.c, which
     mb_fleet_candidates.c keeps while the tasks of one step are placed
   - mb_fleet_copies.c starts second runs of stragglers
   - mb_fleet_waiting.c logs why tasks that have waited for long don't start,
     mb_fleet_where.c explains it on request, and mb_fleet_latency_log.c what
   the headroom model expects beside what is reported
   - mb_fleet_majority.c tells whether most agents obey the owner
   - mb_fleet_attribution.c tells whether failures of runs are held against the
     workers or the step, and mb_fleet_retry.c when a task is tried again
   - mb_fleet_absence.c keeps the records of absent workers, and the tasks that
     wait for them after a change of ownership
   - mb_fleet_pools.c tells how much of each service's capacity is in use
   - mb_fleet_evacuation.c tells which workers are evacuated, and drops starts
     that are no longer allowed from an order before it is sent
   - mb_fleet_backlog.c collects the forecast of the backlog, by which
     schedulers admit new jobs
   - these use mb_fleet_headroom.c (effect of best-effort work on service
     tasks), mb_fleet_estimate.c (expected run times) and mb_fleet_state.c
     (runs and jobs)
   - all of them add to the orders of mb_fleet_orders.c */
#ifndef MB_FLEET_INTERNAL_H
#define MB_FLEET_INTERNAL_H

#include "mb_fleet.h"

/* `ordered_throttle_percent` of a run whose throttle has not been sent on the
   current connection. */
#define MB_FLEET_THROTTLE_UNKNOWN UINT32_MAX

/* mb_fleet_state.c */
uint64_t mb_fleet_step_key(const mb_dag_job_t *job, uint32_t step);
mb_dag_task_t *mb_fleet_run_task(const mb_fleet_run_t *run);
mb_dag_task_id_t mb_fleet_run_task_id(const mb_fleet_run_t *run);
mb_fleet_run_t *mb_fleet_find_run(const mb_fleet_worker_t *worker,
                                  const mb_dag_task_id_t *task,
                                  uint64_t number);
mb_fleet_run_t *mb_fleet_add_run(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                                 mb_fleet_run_t *run);
void mb_fleet_remove_run(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                         mb_fleet_run_t *run);
void mb_fleet_stop_run(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                       mb_fleet_run_t *run);
void mb_fleet_stop_job(mb_fleet_t *fleet, mb_dag_job_t *job);
void mb_fleet_stop_other_copies(mb_fleet_t *fleet,
                                const mb_fleet_run_t *finished);
void mb_fleet_stop_gang(mb_fleet_t *fleet, const mb_fleet_run_t *member);
void mb_fleet_set_checkpoint(const mb_fleet_run_t *run, mb_str_t checkpoint);
void mb_fleet_mark_dirty(mb_fleet_t *fleet, mb_dag_job_t *job);
void mb_fleet_mark_begun(mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                         mb_dag_job_t *job);
void mb_fleet_close_job(mb_fleet_t *fleet, mb_dag_job_t *job,
                        mb_dag_outcome_t outcome);
void mb_fleet_mark_job_startable(mb_fleet_t *fleet, mb_dag_job_t *job);
bool mb_fleet_task_is_running(const mb_dag_task_t *task);
bool mb_fleet_allows_copies(const mb_dag_step_t *step);
mb_dag_run_t *mb_fleet_find_copy(const mb_fleet_run_t *run);

/* mb_fleet_absence.c */
void mb_fleet_hold_absent_tasks(mb_fleet_t *fleet);
void mb_fleet_release_absent_tasks(mb_fleet_t *fleet,
                                   mb_fleet_worker_t *worker);
void mb_fleet_reset_absence(mb_fleet_worker_t *worker);
bool mb_fleet_worker_silent(const mb_fleet_worker_t *worker, uint64_t now_us);
bool mb_fleet_agent_confirmed(const mb_fleet_t *fleet,
                              const mb_fleet_worker_t *worker);
void mb_fleet_update_absences(mb_fleet_t *fleet, uint64_t now_us);

/* mb_fleet_attribution.c */
void mb_fleet_evidence_init(mb_fleet_t *fleet);
void mb_fleet_evidence_forget(mb_fleet_t *fleet, const mb_dag_job_t *job);
void mb_fleet_attribute_failure(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                                const mb_fleet_run_t *run);
void mb_fleet_attribute_unhealthy(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                                  const mb_fleet_run_t *run);
void mb_fleet_attribute_invalid(mb_fleet_t *fleet, const mb_fleet_run_t *run);
void mb_fleet_attribute_success(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                                const mb_fleet_run_t *run);
void mb_fleet_attribute_work(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                             mb_fleet_run_t *run);
bool mb_fleet_step_may_be_faulty(const mb_fleet_t *fleet,
                                 const mb_fleet_run_t *run);

/* mb_fleet_retry.c */
void mb_fleet_delay_retry(mb_fleet_t *fleet, const mb_fleet_run_t *run);
void mb_fleet_reset_retries(const mb_fleet_run_t *run);
mb_dag_task_t *mb_fleet_failure_counter(const mb_fleet_run_t *run);

/* mb_fleet_majority.c */
void mb_fleet_majority_sent(mb_fleet_worker_t *worker, uint64_t now_us);
void mb_fleet_majority_reported(mb_fleet_worker_t *worker,
                                uint64_t order_sequence);
void mb_fleet_shorten_wait(mb_fleet_t *fleet, uint64_t now_us);

/* mb_fleet_orders.c */
bool mb_fleet_has_max_runs(const mb_fleet_t *fleet);
bool mb_fleet_orders_congested(const mb_fleet_t *fleet,
                               const mb_fleet_worker_t *worker);
void mb_fleet_send_order(mb_fleet_t *fleet, mb_fleet_worker_t *worker);
uint64_t mb_fleet_order_start(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                              const mb_order_start_t *start);
uint64_t mb_fleet_order_stop(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                             const mb_order_stop_t *stop);
void mb_fleet_order_throttle(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                             const mb_order_throttle_t *throttle);

/* mb_fleet_evacuation.c */
void mb_fleet_set_failure_domain(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                                 mb_str_t domain);
void mb_fleet_update_evacuations(mb_fleet_t *fleet);
void mb_fleet_drop_starts(mb_fleet_t *fleet, mb_fleet_worker_t *worker);
void mb_fleet_log_evacuations(mb_fleet_t *fleet, uint64_t now_us);

/* mb_fleet_report.c */
void mb_fleet_settle_confirmed(mb_fleet_t *fleet);

/* mb_fleet_ends.c */
const char *mb_fleet_end_effect_name(mb_fleet_end_effect_t effect);
void mb_fleet_apply_ends(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                         const mb_report_t *report);

/* mb_fleet_backlog.c */
void mb_fleet_backlog_finished(mb_fleet_t *fleet, const mb_fleet_run_t *run);

/* mb_fleet_refusals.c */
void mb_fleet_apply_refusals(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                             const mb_report_t *report);

/* mb_fleet_reported_runs.c */
void mb_fleet_apply_runs(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                         const mb_report_t *report);
bool mb_fleet_is_reported(const mb_report_t *report,
                          const mb_fleet_run_t *run);
bool mb_fleet_has_recent_figures(const mb_report_t *report);
void mb_fleet_drop_unreported_runs(mb_fleet_t *fleet,
                                   mb_fleet_worker_t *worker,
                                   const mb_report_t *report);
void mb_fleet_abandon_runs(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                           const char *reason);

/* mb_fleet_pools.c */

/* The workers of one service: their capacity, and what is in use there. */
typedef struct mb_fleet_pool {
    mb_str_t service; /* borrowed from a worker */
    uint64_t cpu_milli;
    uint64_t memory_mb;
    uint64_t used_cpu_milli; /* declared by tasks that are not best-effort */
    uint64_t best_effort_cpu_milli;
    uint64_t used_memory_mb;
    uint64_t copies_cpu_milli; /* declared by second runs of tasks */
    bool job_in_time_waits;    /* a job that can still be in time has a waiting
                                  task */
    bool has_evacuated;        /* one of the workers is evacuated */
} mb_fleet_pool_t;

void mb_fleet_pools_init(mb_fleet_pools_t *pools);
void mb_fleet_pools_finish(mb_fleet_pools_t *pools);
void mb_fleet_pools_compute(mb_fleet_pools_t *pools, const mb_fleet_t *fleet,
                            uint64_t now_us);
uint64_t mb_fleet_pools_use_milli(const mb_fleet_pools_t *pools,
                                  mb_str_t service);
uint64_t mb_fleet_pools_declared_milli(const mb_fleet_pools_t *pools,
                                       mb_str_t service);
void mb_fleet_pools_add_copy(mb_fleet_pools_t *pools, mb_str_t service,
                             uint32_t cpu_milli);
uint64_t mb_fleet_pools_copies_milli(const mb_fleet_pools_t *pools,
                                     mb_str_t service, uint32_t cpu_milli);
bool mb_fleet_pools_job_in_time_waits(const mb_fleet_pools_t *pools,
                                      mb_str_t service);
bool mb_fleet_pools_has_evacuated(const mb_fleet_pools_t *pools,
                                  mb_str_t service);

/* Inputs of the cost functions that stay the same during a scheduling
   pass. */
typedef struct mb_fleet_cost_inputs {
    mb_fleet_t *fleet;
    uint64_t now_us;
    const mb_fleet_pools_t *pools; /* as of the start of the pass */
    /* Suspended workers are probed only with work that has not failed. */
    bool probes_reserved;
} mb_fleet_cost_inputs_t;

/* mb_fleet_cost.c. The cost is UINT64_MAX where a run must not be placed. A
   run is placed only where its cost is below its limit. */
mb_fleet_cost_inputs_t mb_fleet_cost_inputs(mb_fleet_t *fleet);
uint64_t mb_fleet_placement_cost(const mb_fleet_cost_inputs_t *inputs,
                                 const mb_fleet_worker_t *worker,
                                 const mb_fleet_run_t *run);
uint64_t mb_fleet_placement_cost_limit(const mb_fleet_cost_inputs_t *inputs,
                                       const mb_fleet_run_t *run);

/* Tells whether a place that was kept for a best-effort run can still be used.
 */
bool mb_fleet_kept_place_is_usable(const mb_fleet_cost_inputs_t *inputs,
                                   const mb_fleet_worker_t *worker,
                                   const mb_fleet_run_t *run);

/* Why a worker does not get a task. */
typedef enum mb_fleet_obstacle {
    MB_FLEET_OBSTACLE_EXCLUDED,  /* service, label, or tasks per worker */
    MB_FLEET_OBSTACLE_UNUSABLE,  /* the worker gets no starts at present */
    MB_FLEET_OBSTACLE_ROOM,      /* the task does not fit */
    MB_FLEET_OBSTACLE_EVACUATED, /* nothing but the evacuation of its domain */
    MB_FLEET_OBSTACLE_COST,      /* at most the cost is too high */
    MB_FLEET_OBSTACLE_COUNT
} mb_fleet_obstacle_t;

mb_fleet_obstacle_t
mb_fleet_placement_obstacle(const mb_fleet_cost_inputs_t *inputs,
                            const mb_fleet_worker_t *worker,
                            const mb_fleet_run_t *run);

/* What keeps the workers from taking a task. */
typedef struct mb_fleet_obstacles {
    uint32_t workers[MB_FLEET_OBSTACLE_COUNT];
    uint32_t evacuated_full; /* evacuated workers without room */
    uint64_t lowest_cost;    /* UINT64_MAX if no worker has a cost */
} mb_fleet_obstacles_t;

/* The main reason why a task waits. */
typedef enum mb_fleet_wait {
    MB_FLEET_WAIT_STARTS_WITHHELD,
    MB_FLEET_WAIT_FORMER_RUNS_UNKNOWN,
    MB_FLEET_WAIT_ABSENT_WORKER, /* the task may run on one */
    MB_FLEET_WAIT_RETRY_DELAY,
    MB_FLEET_WAIT_EVACUATED,
    MB_FLEET_WAIT_SERVICE_LATENCY,
    MB_FLEET_WAIT_OTHER_TASKS, /* a worker takes it, unless others come first
                                */
    MB_FLEET_WAIT_NO_ROOM,
    MB_FLEET_WAIT_NO_USABLE_WORKER,
    MB_FLEET_WAIT_COUNT
} mb_fleet_wait_t;

/* mb_fleet_waiting.c */
mb_fleet_obstacles_t
mb_fleet_find_obstacles(const mb_fleet_cost_inputs_t *inputs,
                        const mb_fleet_run_t *run);
mb_fleet_wait_t mb_fleet_find_wait(const mb_fleet_cost_inputs_t *inputs,
                                   const mb_fleet_run_t *run,
                                   const mb_fleet_obstacles_t *obstacles);
const char *mb_fleet_wait_name(mb_fleet_wait_t wait);
void mb_fleet_log_waiting(mb_fleet_t *fleet, uint64_t now_us);

/* mb_fleet_latency_log.c */
void mb_fleet_log_latencies(mb_fleet_t *fleet, uint64_t now_us);

/* The workers that can take a task of one step, as a heap with the lowest cost
   first; among equal costs, the lowest number first. */
typedef struct mb_fleet_candidate {
    uint64_t cost;
    uint32_t worker;
} mb_fleet_candidate_t;

typedef struct mb_fleet_candidates {
    GArray *heap; /* mb_fleet_candidate_t */
    bool filled;
} mb_fleet_candidates_t;

/* mb_fleet_candidates.c */
void mb_fleet_candidates_init(mb_fleet_candidates_t *candidates);
void mb_fleet_candidates_finish(mb_fleet_candidates_t *candidates);
void mb_fleet_candidates_clear(mb_fleet_candidates_t *candidates);
mb_fleet_worker_t *
mb_fleet_candidates_best(mb_fleet_candidates_t *candidates,
                         const mb_fleet_cost_inputs_t *inputs,
                         const mb_fleet_run_t *run);
void mb_fleet_candidates_changed(mb_fleet_candidates_t *candidates,
                                 const mb_fleet_cost_inputs_t *inputs,
                                 const mb_fleet_worker_t *worker,
                                 const mb_fleet_run_t *run);

/* Tasks that found no worker in a scheduling pass: copies may not take their
   room. */
typedef struct mb_fleet_copies {
    GArray *waiting; /* mb_fleet_run_t; one for each step of which a task has
                        found no worker, up to a maximum */
} mb_fleet_copies_t;

/* Numbers a run and starts it on a worker. */
typedef struct mb_fleet_copy_starter {
    void (*start)(void *context, mb_fleet_worker_t *worker,
                  mb_fleet_run_t *run);
    void *context;
} mb_fleet_copy_starter_t;

/* mb_fleet_copies.c */
void mb_fleet_copies_init(mb_fleet_copies_t *copies);
void mb_fleet_copies_finish(mb_fleet_copies_t *copies);
void mb_fleet_copies_add_waiting(mb_fleet_copies_t *copies,
                                 const mb_fleet_run_t *run);
void mb_fleet_start_copies(const mb_fleet_copies_t *copies,
                           const mb_fleet_cost_inputs_t *inputs,
                           const mb_fleet_copy_starter_t *starter);

/* mb_fleet_order.c */
void mb_fleet_sort_jobs(mb_fleet_t *fleet, uint64_t now_us);
bool mb_fleet_job_is_late(const mb_dag_job_t *job, uint64_t now_us);
bool mb_fleet_job_is_service(const mb_dag_job_t *job);
uint32_t mb_fleet_count_jobs_before(const mb_fleet_t *fleet,
                                    const mb_dag_job_t *job, uint64_t now_us);

/* mb_fleet_schedule.c */
void mb_fleet_schedule(mb_fleet_t *fleet);
void mb_fleet_move_throttled_runs(mb_fleet_t *fleet);

/* mb_fleet_headroom.c */
void mb_fleet_learn_headroom(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                             const mb_report_t *report);
void mb_fleet_set_throttles(mb_fleet_t *fleet, mb_fleet_worker_t *worker);
/* What the headroom model expects of a service task with the recent
   best-effort load of its worker. */
typedef struct mb_fleet_expected_headroom {
    double undisturbed; /* without best-effort work */
    double loss;        /* by the recent best-effort load */
    /* The kind of best-effort work with the greatest part in the loss. */
    const mb_fleet_run_t *worst; /* one of its runs; NULL: there is none */
    uint32_t worst_cpu_milli;
    mb_headroom_estimate_t worst_estimate;
} mb_fleet_expected_headroom_t;

mb_fleet_expected_headroom_t
mb_fleet_expected_headroom(const mb_fleet_t *fleet,
                           const mb_fleet_worker_t *worker,
                           const mb_fleet_run_t *service_run);
double mb_fleet_min_headroom_with(const mb_fleet_t *fleet,
                                  const mb_fleet_worker_t *worker,
                                  const mb_fleet_kept_place_t *kept,
                                  uint64_t image_hash, uint32_t cpu_milli);

/* mb_fleet_estimate.c */
void mb_fleet_learn_run_time(mb_fleet_t *fleet, const mb_fleet_run_t *run);
void mb_fleet_learn_spread(mb_fleet_t *fleet, const mb_fleet_run_t *run);
void mb_fleet_learn_given_up(mb_fleet_t *fleet, const mb_fleet_run_t *run);
uint64_t mb_fleet_typical_run_ms(const mb_fleet_t *fleet,
                                 const mb_dag_job_t *job, uint32_t step);
uint64_t mb_fleet_expected_run_ms(const mb_fleet_t *fleet,
                                  const mb_dag_job_t *job, uint32_t step);
/* What is known of the run times of a step now. */
typedef struct mb_fleet_step_model {
    const mb_run_time_t *times;
    const mb_run_time_kind_t *kind;
    double typical_ms;
} mb_fleet_step_model_t;

mb_fleet_step_model_t mb_fleet_step_model(const mb_fleet_t *fleet,
                                          const mb_dag_job_t *job,
                                          uint32_t occurrence, uint32_t step,
                                          uint64_t now_us);
void mb_fleet_estimate_job(const mb_fleet_t *fleet, mb_dag_job_t *job);

#endif
