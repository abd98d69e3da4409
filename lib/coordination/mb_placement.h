/* Index of the workers of one shard, and the choice of a worker for a task.
   Counts what every worker has promised; never promises more than a worker
   holds. Used on one thread; no sockets, no clocks of its own. */
#ifndef MB_PLACEMENT_H
#define MB_PLACEMENT_H

#include "mb_clock.h"
#include "mb_resource.h"
#include "mb_rng.h"

/* Where a worker stands, as interned numbers of the names in its resource. */
typedef struct mb_location {
    uint32_t region;
    uint32_t failure_domain;
    uint32_t rack;
} mb_location_t;

/* Handle of a worker in one mb_placement_t; stable until it is removed. */
typedef uint32_t mb_worker_id_t;
#define MB_WORKER_NONE UINT32_MAX

typedef enum mb_placement_result {
    MB_PLACEMENT_PLACED,
    MB_PLACEMENT_WAIT,          /* fits a worker, not now */
    MB_PLACEMENT_TOO_LARGE,     /* larger than every worker */
    MB_PLACEMENT_UNSATISFIABLE, /* no worker satisfies the constraints */
    MB_PLACEMENT_RESULT_COUNT
} mb_placement_result_t;

/* One task to place. `group` numbers the job or service for spreading. */
typedef struct mb_placement_task {
    mb_size_t size;
    mb_class_t task_class;
    const mb_constraint_t *constraint; /* NULL: none */
    uint64_t group;
} mb_placement_task_t;

typedef struct mb_placement mb_placement_t;

mb_placement_t *mb_placement_new(const mb_rng_t *rng);
void mb_placement_free(mb_placement_t *placement);

/* Adds a worker, or updates the one with this name. A capacity below what is
   reserved takes effect for new tasks only. */
mb_worker_id_t mb_placement_set_worker(mb_placement_t *placement,
                                       const mb_resource_t *worker);
void mb_placement_remove_worker(mb_placement_t *placement, mb_worker_id_t id);
mb_worker_id_t mb_placement_find_worker(const mb_placement_t *placement,
                                        mb_str_t name);
/* Whether new tasks may go to the worker (lease held, health). */
void mb_placement_set_eligible(mb_placement_t *placement, mb_worker_id_t id,
                               bool eligible);
/* Estimated slowdown of an urgent task there, 0 none to 1000 (per mille). */
void mb_placement_set_slowdown(mb_placement_t *placement, mb_worker_id_t id,
                               uint32_t slowdown_permille);
void mb_placement_set_objective(mb_placement_t *placement,
                                mb_objective_t objective);

/* Chooses a worker and reserves the task's size there. */
mb_placement_result_t mb_placement_place(mb_placement_t *placement,
                                         const mb_placement_task_t *task,
                                         mb_worker_id_t *worker);
/* Reserves on a given worker, as in replay; false when it does not fit. */
bool mb_placement_reserve(mb_placement_t *placement, mb_worker_id_t worker,
                          const mb_placement_task_t *task);
void mb_placement_release(mb_placement_t *placement, mb_worker_id_t worker,
                          const mb_placement_task_t *task);
/* Whether the task may run on the worker, room aside: lease, health,
   constraint, limits of the group. */
bool mb_placement_allows(const mb_placement_t *placement,
                         const mb_placement_task_t *task,
                         mb_worker_id_t worker);
/* Keeps new tasks off the allowed worker with the most room, so that the task
   finds room there in time; MB_WORKER_NONE when there is none. Only
   mb_placement_reserve takes from a held worker. */
mb_worker_id_t mb_placement_cordon(mb_placement_t *placement,
                                   const mb_placement_task_t *task);
void mb_placement_uncordon(mb_placement_t *placement, mb_worker_id_t worker);
mb_size_t mb_placement_available(const mb_placement_t *placement,
                                 mb_worker_id_t worker);

#endif
