/* How much tasks of one kind slow down tasks of another, learned from late
   samples, and what to do on a worker about it: throttle batch first, evict
   only when throttling did not help. Used on one thread. */
#ifndef MB_SLOWDOWN_H
#define MB_SLOWDOWN_H

#include <stdbool.h>
#include <stdint.h>

/* Kinds of tasks told apart; the caller maps jobs and services to them by
   hash, so that more kinds than this share estimates. */
#define MB_INTERFERENCE_KINDS 32
/* Levels of a worker's load: quarters of its processors in use. */
#define MB_INTERFERENCE_LEVELS 4
/* Most kinds beside a task in one sample; more are left out. */
#define MB_INTERFERENCE_BESIDE_MAX 16

/* Slowdowns are in thousandths above 1: 200 means 1.2 times as slow. */
typedef struct mb_interference_pair {
    float slowdown;
    uint32_t samples;
    uint64_t updated_us;
} mb_interference_pair_t;

typedef struct mb_interference {
    mb_interference_pair_t *pairs; /* [level][victim][other] */
} mb_interference_t;

/* A set of tasks on a worker as one of them sees it. */
typedef struct mb_interference_scene {
    uint32_t victim;
    uint32_t level;
    uint32_t beside[MB_INTERFERENCE_BESIDE_MAX];
    uint32_t beside_count;
} mb_interference_scene_t;

void mb_interference_init(mb_interference_t *interference);
void mb_interference_finish(mb_interference_t *interference);
uint32_t mb_interference_kind(uint64_t group);
uint32_t mb_interference_level(uint32_t used_milli, uint32_t capacity_milli);
/* A sample measured `age_us` before now. */
void mb_interference_observe(mb_interference_t *interference,
                             const mb_interference_scene_t *scene,
                             uint32_t slowdown_permille, uint64_t age_us,
                             uint64_t now_us);
uint32_t mb_interference_predict(const mb_interference_t *interference,
                                 const mb_interference_scene_t *scene,
                                 uint64_t now_us);

typedef enum mb_interference_action {
    MB_INTERFERENCE_KEEP,
    MB_INTERFERENCE_THROTTLE, /* set the batch tasks to `percent` */
    MB_INTERFERENCE_EVICT     /* evict one batch task */
} mb_interference_action_t;

/* The state of the decision for one worker. */
typedef struct mb_interference_guard {
    uint32_t step;       /* of throttling; 0: not throttled */
    uint32_t calm;       /* calm samples in a row */
    uint64_t changed_us; /* last action */
} mb_interference_guard_t;

/* What a decision is based on. */
typedef struct mb_interference_view {
    uint32_t slowdown_permille; /* of the most urgent tasks there */
    uint64_t measured_us;       /* when it was measured */
    bool may_evict;             /* batch stays at its minimum share */
    bool may_throttle;          /* likewise, one step further */
} mb_interference_view_t;

void mb_interference_guard_init(mb_interference_guard_t *guard);
mb_interference_action_t
mb_interference_decide(mb_interference_guard_t *guard,
                       const mb_interference_view_t *view, uint64_t now_us);
/* Takes back one step of throttling because batch is below its minimum share;
   false when there is none. */
bool mb_interference_relieve(mb_interference_guard_t *guard, uint64_t now_us);
/* Speed left to the tasks that disturb, at the guard's step and at the next
   one, in percent. */
uint32_t mb_interference_percent(const mb_interference_guard_t *guard);
uint32_t mb_interference_next_percent(const mb_interference_guard_t *guard);
/* Whether a task that adds `slowdown` is to be throttled where the worst one
   adds `worst`. */
bool mb_interference_disturbs(uint32_t slowdown_permille,
                              uint32_t worst_permille);

/* A batch task that could be evicted. */
typedef struct mb_interference_candidate {
    uint64_t lost_us;           /* work since its last checkpoint */
    uint32_t slowdown_permille; /* that it adds to the urgent tasks */
} mb_interference_candidate_t;

/* Returns the candidate to evict, `count` when there is none. */
uint32_t mb_interference_choose(const mb_interference_candidate_t *candidates,
                                uint32_t count);

#endif
