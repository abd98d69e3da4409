/* Index of the workers of one shard, and the choice of a worker for a task.
   The size of each placed task is reserved on its worker; the reservations of
   a worker never exceed its capacity when a task is added. Not thread-safe;
   does no I/O and reads no clock. */
#ifndef MB_PLACEMENT_H
#define MB_PLACEMENT_H

#include "mb_clock.h"
#include "mb_resource.h"
#include "mb_rng.h"

/* Location of a worker: numbers that stand for the names in its resource. */
typedef struct mb_location {
    uint32_t region;
    uint32_t failure_domain;
    uint32_t rack;
} mb_location_t;

/* Identifies a worker in one mb_placement_t. Stays valid until the worker is
   removed and its last task is released; then it may be reused. */
typedef uint32_t mb_worker_id_t;
#define MB_WORKER_NONE UINT32_MAX

typedef enum mb_placement_result {
    MB_PLACEMENT_PLACED,
    MB_PLACEMENT_WAIT,          /* fits a worker, but not at present */
    MB_PLACEMENT_TOO_LARGE,     /* larger than every worker */
    MB_PLACEMENT_UNSATISFIABLE, /* fits a worker, but none that the constraint
                                   allows */
    MB_PLACEMENT_RESULT_COUNT
} mb_placement_result_t;

/* One task to place. The constraint is borrowed for the duration of a call.
   `group` identifies the job or service whose tasks are spread over racks and
   failure domains and limited in number there; tasks of group 0 are not. */
typedef struct mb_placement_task {
    mb_size_t size;
    mb_class_t task_class;
    const mb_constraint_t *constraint; /* NULL: none */
    uint64_t group;
} mb_placement_task_t;

typedef struct mb_placement mb_placement_t;

mb_placement_t *mb_placement_new(const mb_rng_t *rng);
void mb_placement_free(mb_placement_t *placement);

/* Adds a worker, or updates the one with this name. When the new capacity is
   below the reserved size, running tasks keep their reservations and no new
   task is placed there until enough of them are released. Returns a new id for
   a known worker that has moved to another rack while it holds tasks. */
mb_worker_id_t mb_placement_set_worker(mb_placement_t *placement,
                                       const mb_resource_t *worker);
void mb_placement_remove_worker(mb_placement_t *placement, mb_worker_id_t id);
mb_worker_id_t mb_placement_find_worker(const mb_placement_t *placement,
                                        mb_str_t name);
/* Sets whether mb_placement_place may choose the worker (its lease is valid
   and it is healthy). New workers are eligible. */
void mb_placement_set_eligible(mb_placement_t *placement, mb_worker_id_t id,
                               bool eligible);
/* Sets by how much an urgent task is estimated to be slowed down by the other
   tasks of the worker, from 0 (not at all) to 1000 (twice as slow). Workers
   with less slowdown are preferred. */
void mb_placement_set_slowdown(mb_placement_t *placement, mb_worker_id_t id,
                               uint32_t slowdown_permille);
void mb_placement_set_objective(mb_placement_t *placement,
                                mb_objective_t objective);

/* Chooses a worker and reserves the task's size there. `worker` receives
   MB_WORKER_NONE unless the result is MB_PLACEMENT_PLACED. */
mb_placement_result_t mb_placement_place(mb_placement_t *placement,
                                         const mb_placement_task_t *task,
                                         mb_worker_id_t *worker);
/* Reserves the task's size on a given worker, for instance when a log is
   replayed. Returns false, and reserves nothing, when the worker was removed
   or lacks room. Ignores eligibility, cordons and constraints. */
bool mb_placement_reserve(mb_placement_t *placement, mb_worker_id_t worker,
                          const mb_placement_task_t *task);
void mb_placement_release(mb_placement_t *placement, mb_worker_id_t worker,
                          const mb_placement_task_t *task);
/* Returns whether the task may run on the worker, whatever else runs there:
   the worker is eligible, large enough, and satisfies the constraint and the
   limits of the task's group. */
bool mb_placement_allows(const mb_placement_t *placement,
                         const mb_placement_task_t *task,
                         mb_worker_id_t worker);
/* Cordons the allowed worker with the largest available share that is not
   cordoned yet, and returns it: as its tasks finish, it gets room for the
   given task. Returns MB_WORKER_NONE when there is no such worker.
   mb_placement_place does not choose a cordoned worker; mb_placement_reserve
   still reserves there. */
mb_worker_id_t mb_placement_cordon(mb_placement_t *placement,
                                   const mb_placement_task_t *task);
void mb_placement_uncordon(mb_placement_t *placement, mb_worker_id_t worker);
/* Returns the capacity of the worker less what is reserved there. */
mb_size_t mb_placement_available(const mb_placement_t *placement,
                                 mb_worker_id_t worker);

#endif
