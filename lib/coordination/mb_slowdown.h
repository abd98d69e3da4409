/* Model of how tasks on one worker slow one another down, and control of the
   batch tasks there. The model learns from samples, which arrive late, by how
   much a task of one kind slows down a task of another. The controller of a
   worker throttles batch tasks first and evicts one only when throttling did
   not help. Used by the owner of a shard (mb_shard_slowdown.c); the owner of
   the fleet uses mb_headroom instead. Not thread-safe. */
#ifndef MB_SLOWDOWN_H
#define MB_SLOWDOWN_H

#include <stdbool.h>
#include <stdint.h>

/* Number of kinds of tasks. Jobs and services are hashed to kinds, so that
   when there are more than this some share their estimates. */
#define MB_SLOWDOWN_KINDS 32
/* Number of load levels of a worker: quarters of its processors in use. */
#define MB_SLOWDOWN_LOAD_LEVELS 4
/* Maximum number of corunners in one sample; callers omit further ones. */
#define MB_SLOWDOWN_CORUNNERS_MAX 16

/* The estimated slowdown that one corunner adds to a victim. Slowdowns are in
   thousandths above normal speed: 200 means 1.2 times as slow. */
typedef struct mb_slowdown_pair {
    float slowdown_permille; /* at `updated_us` */
    uint32_t samples;        /* that corrected it; 0: no estimate */
    uint64_t updated_us;
} mb_slowdown_pair_t;

typedef struct mb_slowdown {
    mb_slowdown_pair_t *pairs; /* [load level][victim kind][corunner kind] */
} mb_slowdown_t;

/* A task on a worker (the victim) and the tasks that run beside it (its
   corunners), each by its kind. A kind may occur several times. */
typedef struct mb_slowdown_colocation {
    uint32_t victim;
    uint32_t level; /* load level of the worker */
    uint32_t corunners[MB_SLOWDOWN_CORUNNERS_MAX];
    uint32_t corunner_count;
} mb_slowdown_colocation_t;

/* Initializes a model without estimates, which predicts no slowdown. */
void mb_slowdown_init(mb_slowdown_t *model);
void mb_slowdown_finish(mb_slowdown_t *model);
/* Returns the kind of the job or service with this key (mb_shard_job_key),
   below MB_SLOWDOWN_KINDS. */
uint32_t mb_slowdown_kind(uint64_t job_key);
/* Returns the load level of a worker, below MB_SLOWDOWN_LOAD_LEVELS. */
uint32_t mb_slowdown_load_level(uint32_t used_milli, uint32_t capacity_milli);
/* Updates the estimates from a sample of the victim's slowdown that was
   measured `age_us` before now. */
void mb_slowdown_observe(mb_slowdown_t *model,
                         const mb_slowdown_colocation_t *colocation,
                         uint32_t slowdown_permille, uint64_t age_us,
                         uint64_t now_us);
/* Returns the expected slowdown of the victim in thousandths; 0 for corunners
   of which there is no sample. */
uint32_t mb_slowdown_predict(const mb_slowdown_t *model,
                             const mb_slowdown_colocation_t *colocation,
                             uint64_t now_us);

/* What the caller has to do with the batch tasks of a worker. */
typedef enum mb_slowdown_action {
    MB_SLOWDOWN_ACTION_NONE,
    /* Throttle to mb_slowdown_throttle_percent, which went up or down. */
    MB_SLOWDOWN_ACTION_THROTTLE,
    /* Evict one batch task. */
    MB_SLOWDOWN_ACTION_EVICT
} mb_slowdown_action_t;

/* The throttling of one worker's batch tasks. */
typedef struct mb_slowdown_controller {
    uint32_t step;           /* of throttling; 0: full speed */
    uint32_t low_samples;    /* consecutive ones below the low mark */
    uint64_t last_action_us; /* time; 0: none yet */
} mb_slowdown_controller_t;

/* The input of one decision. */
typedef struct mb_slowdown_input {
    /* Highest slowdown of the tasks there that are not batch. */
    uint32_t slowdown_permille;
    uint64_t measured_us; /* time of the measurement */
    /* Whether batch tasks keep their minimum share of the processors after an
       eviction, and after one more step of throttling. */
    bool may_evict;
    bool may_throttle;
} mb_slowdown_input_t;

/* Initializes a controller that does not throttle. */
void mb_slowdown_controller_init(mb_slowdown_controller_t *controller);
/* Decides on a new sample. Assumes that the caller carries out the action. */
mb_slowdown_action_t mb_slowdown_decide(mb_slowdown_controller_t *controller,
                                        const mb_slowdown_input_t *input,
                                        uint64_t now_us);
/* Relaxes throttling by one step, for when batch tasks have less than their
   minimum share. Returns false when nothing is throttled. */
bool mb_slowdown_relax(mb_slowdown_controller_t *controller, uint64_t now_us);
/* Return the percentage of full speed at which throttled tasks run, at the
   current step and at the next one. */
uint32_t
mb_slowdown_throttle_percent(const mb_slowdown_controller_t *controller);
uint32_t
mb_slowdown_next_throttle_percent(const mb_slowdown_controller_t *controller);
/* Returns whether a batch task is to be throttled on a worker, by the slowdown
   that it adds and the worst that a batch task there adds. */
bool mb_slowdown_should_throttle(uint32_t slowdown_permille,
                                 uint32_t worst_permille);

/* A batch task that may be evicted. */
typedef struct mb_slowdown_candidate {
    uint64_t lost_work_us;      /* run time since its last known checkpoint */
    uint32_t slowdown_permille; /* that it adds to the victim */
} mb_slowdown_candidate_t;

/* Returns the index of the candidate to evict, `count` when `count` is 0. */
uint32_t mb_slowdown_choose_eviction(const mb_slowdown_candidate_t *candidates,
                                     uint32_t count);

#endif
