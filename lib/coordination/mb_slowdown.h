/* How much tasks of one kind slow down tasks of another, learned from late
   samples, and what to do on a worker about it: throttle batch first, evict
   only when throttling did not help. Used on one thread. */
#ifndef MB_SLOWDOWN_H
#define MB_SLOWDOWN_H

#include <stdbool.h>
#include <stdint.h>

/* Kinds of tasks told apart; the caller maps jobs and services to them by
   hash, so that more kinds than this share estimates. */
#define MB_SLOWDOWN_KINDS 32
/* Levels of a worker's load: quarters of its processors in use. */
#define MB_SLOWDOWN_LOAD_LEVELS 4
/* Most kinds beside a task in one sample; more are left out. */
#define MB_SLOWDOWN_CORUNNERS_MAX 16

/* Slowdowns are in thousandths above 1: 200 means 1.2 times as slow. */
typedef struct mb_slowdown_pair {
    float slowdown_permille;
    uint32_t samples;
    uint64_t updated_us;
} mb_slowdown_pair_t;

typedef struct mb_slowdown {
    mb_slowdown_pair_t *pairs; /* [level][victim][other] */
} mb_slowdown_t;

/* A set of tasks on a worker as one of them sees it. */
typedef struct mb_slowdown_colocation {
    uint32_t victim;
    uint32_t level;
    uint32_t corunners[MB_SLOWDOWN_CORUNNERS_MAX];
    uint32_t corunner_count;
} mb_slowdown_colocation_t;

void mb_slowdown_init(mb_slowdown_t *model);
void mb_slowdown_finish(mb_slowdown_t *model);
uint32_t mb_slowdown_kind(uint64_t group);
uint32_t mb_slowdown_load_level(uint32_t used_milli, uint32_t capacity_milli);
/* A sample measured `age_us` before now. */
void mb_slowdown_observe(mb_slowdown_t *model,
                         const mb_slowdown_colocation_t *colocation,
                         uint32_t slowdown_permille, uint64_t age_us,
                         uint64_t now_us);
uint32_t mb_slowdown_predict(const mb_slowdown_t *model,
                             const mb_slowdown_colocation_t *colocation,
                             uint64_t now_us);

typedef enum mb_slowdown_action {
    MB_SLOWDOWN_ACTION_NONE,
    MB_SLOWDOWN_ACTION_THROTTLE, /* set the batch tasks to `percent` */
    MB_SLOWDOWN_ACTION_EVICT     /* evict one batch task */
} mb_slowdown_action_t;

/* The state of the decision for one worker. */
typedef struct mb_slowdown_controller {
    uint32_t step;           /* of throttling; 0: not throttled */
    uint32_t low_samples;    /* calm samples in a row */
    uint64_t last_action_us; /* last action */
} mb_slowdown_controller_t;

/* What a decision is based on. */
typedef struct mb_slowdown_input {
    uint32_t slowdown_permille; /* of the most urgent tasks there */
    uint64_t measured_us;       /* when it was measured */
    bool may_evict;             /* batch stays at its minimum share */
    bool may_throttle;          /* likewise, one step further */
} mb_slowdown_input_t;

void mb_slowdown_controller_init(mb_slowdown_controller_t *controller);
mb_slowdown_action_t mb_slowdown_decide(mb_slowdown_controller_t *controller,
                                        const mb_slowdown_input_t *input,
                                        uint64_t now_us);
/* Takes back one step of throttling because batch is below its minimum share;
   false when there is none. */
bool mb_slowdown_relax(mb_slowdown_controller_t *controller, uint64_t now_us);
/* Speed left to the tasks that disturb, at the guard's step and at the next
   one, in percent. */
uint32_t
mb_slowdown_throttle_percent(const mb_slowdown_controller_t *controller);
uint32_t
mb_slowdown_next_throttle_percent(const mb_slowdown_controller_t *controller);
/* Whether a task that adds `slowdown` is to be throttled where the worst one
   adds `worst`. */
bool mb_slowdown_should_throttle(uint32_t slowdown_permille,
                                 uint32_t worst_permille);

/* A batch task that could be evicted. */
typedef struct mb_slowdown_candidate {
    uint64_t lost_work_us;      /* work since its last checkpoint */
    uint32_t slowdown_permille; /* that it adds to the urgent tasks */
} mb_slowdown_candidate_t;

/* Returns the candidate to evict, `count` when there is none. */
uint32_t mb_slowdown_choose_eviction(const mb_slowdown_candidate_t *candidates,
                                     uint32_t count);

#endif
