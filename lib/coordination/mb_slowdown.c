#include "mb_slowdown.h"

#include <glib.h>
#include <math.h>

/* Without samples an estimate halves in this time, as load shifts. */
#define HALF_LIFE_US 60e6
/* A sample's weight halves per this age. */
#define AGE_HALF_LIFE_US 10e6
/* Share of a sample's error that corrects the estimates. */
#define LEARNING_RATE 0.3
#define SLOWDOWN_MAX 10000.0
/* Above the high mark batch is throttled, below the low mark released. Low
   enough that a service at 70% load keeps its queues short. */
#define HIGH_PERMILLE 60u
#define LOW_PERMILLE 25u
/* Calm samples in a row before throttling is relaxed by one step. */
#define CALM_SAMPLES 5u
/* An action shows in samples measured this much later, not before. */
#define SETTLE_US UINT64_C(1000000)
/* Lost work that counts as much as all the slowdown a task adds. */
#define LOST_SCALE_US 10e6

static const uint32_t throttle_percent[] = {100, 80, 60, 45, 30, 20};
#define LAST_STEP (G_N_ELEMENTS(throttle_percent) - 1)

/* Starts with nothing known. */
void
mb_slowdown_init(mb_slowdown_t *interference)
{
    interference->pairs =
        g_new0(mb_slowdown_pair_t, (gsize)MB_SLOWDOWN_LOAD_LEVELS *
                                       MB_SLOWDOWN_KINDS * MB_SLOWDOWN_KINDS);
}

/* Frees the estimates. */
void
mb_slowdown_finish(mb_slowdown_t *interference)
{
    g_free(interference->pairs);
}

/* Returns the kind of a job or service. */
uint32_t
mb_slowdown_kind(uint64_t group)
{
    return (uint32_t)(((group * UINT64_C(0x9e3779b97f4a7c15)) >> 32) %
                      MB_SLOWDOWN_KINDS);
}

/* Returns the load level of a worker. */
uint32_t
mb_slowdown_load_level(uint32_t used_milli, uint32_t capacity_milli)
{
    uint64_t level =
        capacity_milli == 0
            ? 0
            : (uint64_t)used_milli * MB_SLOWDOWN_LOAD_LEVELS / capacity_milli;
    return (uint32_t)MIN(level, MB_SLOWDOWN_LOAD_LEVELS - 1u);
}

/* Returns the estimate of one pair in a scene. */
static mb_slowdown_pair_t *
pair_of(const mb_slowdown_t *interference,
        const mb_slowdown_colocation_t *scene, uint32_t i)
{
    uint32_t row = scene->level * MB_SLOWDOWN_KINDS + scene->victim;
    return &interference->pairs[row * MB_SLOWDOWN_KINDS + scene->corunners[i]];
}

/* Returns an estimate as it stands now. */
static double
decayed(const mb_slowdown_pair_t *pair, uint64_t now_us)
{
    if (pair->samples == 0) {
        return 0;
    }
    double idle_us = (double)(now_us - MIN(now_us, pair->updated_us));
    return pair->slowdown * exp2(-idle_us / HALF_LIFE_US);
}

/* Returns the sum of the estimates of a scene. */
static double
predict(const mb_slowdown_t *interference,
        const mb_slowdown_colocation_t *scene, uint64_t now_us)
{
    double sum = 0;
    for (uint32_t i = 0; i < scene->corunner_count; i++) {
        sum += decayed(pair_of(interference, scene, i), now_us);
    }
    return MIN(sum, SLOWDOWN_MAX);
}

/* Returns the slowdown to expect for the victim of a scene. */
uint32_t
mb_slowdown_predict(const mb_slowdown_t *interference,
                    const mb_slowdown_colocation_t *scene, uint64_t now_us)
{
    return (uint32_t)predict(interference, scene, now_us);
}

/* Learns from a sample: its error is shared evenly by the pairs of the scene,
   so that pairs that always go with a slowdown collect it. */
void
mb_slowdown_observe(mb_slowdown_t *interference,
                    const mb_slowdown_colocation_t *scene,
                    uint32_t slowdown_permille, uint64_t age_us,
                    uint64_t now_us)
{
    if (scene->corunner_count == 0) {
        return;
    }
    double observed = MIN((double)slowdown_permille, SLOWDOWN_MAX);
    double error = observed - predict(interference, scene, now_us);
    double weight = LEARNING_RATE * exp2(-(double)age_us / AGE_HALF_LIFE_US);
    double part = weight * error / scene->corunner_count;
    for (uint32_t i = 0; i < scene->corunner_count; i++) {
        mb_slowdown_pair_t *pair = pair_of(interference, scene, i);
        double value = decayed(pair, now_us) + part;
        pair->slowdown = (float)CLAMP(value, 0, SLOWDOWN_MAX);
        pair->updated_us = now_us;
        pair->samples++;
    }
}

/* Starts without throttling. */
void
mb_slowdown_controller_init(mb_slowdown_controller_t *guard)
{
    *guard = (mb_slowdown_controller_t){0};
}

/* Returns the speed left to batch tasks in percent. */
uint32_t
mb_slowdown_throttle_percent(const mb_slowdown_controller_t *guard)
{
    return throttle_percent[guard->step];
}

/* Returns the speed that one more step would leave, in percent. */
uint32_t
mb_slowdown_next_throttle_percent(const mb_slowdown_controller_t *guard)
{
    return throttle_percent[MIN(guard->step + 1, LAST_STEP)];
}

/* Tells whether a task is among those that disturb most: throttling the quiet
   ones costs batch work and helps nobody. Without estimates all are. */
bool
mb_slowdown_should_throttle(uint32_t slowdown_permille,
                            uint32_t worst_permille)
{
    return 2 * slowdown_permille >= worst_permille;
}

/* Decides on a sample above the high mark. */
static mb_slowdown_action_t
tighten(mb_slowdown_controller_t *guard, const mb_slowdown_input_t *view)
{
    guard->low_samples = 0;
    if (guard->step < LAST_STEP && view->may_throttle) {
        guard->step++;
        return MB_SLOWDOWN_ACTION_THROTTLE;
    }
    return guard->step > 0 && view->may_evict ? MB_SLOWDOWN_ACTION_EVICT
                                              : MB_SLOWDOWN_ACTION_NONE;
}

/* Decides on a sample below the low mark. */
static mb_slowdown_action_t
relax(mb_slowdown_controller_t *guard)
{
    if (guard->step == 0 || ++guard->low_samples < CALM_SAMPLES) {
        return MB_SLOWDOWN_ACTION_NONE;
    }
    guard->low_samples = 0;
    guard->step--;
    return MB_SLOWDOWN_ACTION_THROTTLE;
}

/* Decides what to do on a worker. A sample measured before the last action
   could show its effect is not used, so that lag causes no further action.
   Between the marks nothing changes. */
mb_slowdown_action_t
mb_slowdown_decide(mb_slowdown_controller_t *guard,
                   const mb_slowdown_input_t *view, uint64_t now_us)
{
    if (guard->last_action_us != 0 &&
        view->measured_us < guard->last_action_us + SETTLE_US) {
        return MB_SLOWDOWN_ACTION_NONE;
    }
    mb_slowdown_action_t action = MB_SLOWDOWN_ACTION_NONE;
    if (view->slowdown_permille > HIGH_PERMILLE) {
        action = tighten(guard, view);
    }
    else if (view->slowdown_permille < LOW_PERMILLE) {
        action = relax(guard);
    }
    else {
        guard->low_samples = 0;
    }
    if (action != MB_SLOWDOWN_ACTION_NONE) {
        guard->last_action_us = now_us;
    }
    return action;
}

/* Takes back one step of throttling. It is not left to the next sample: when
   urgent work preempts batch, the share falls at once and samples are late. */
bool
mb_slowdown_relax(mb_slowdown_controller_t *guard, uint64_t now_us)
{
    if (guard->step == 0) {
        return false;
    }
    guard->step--;
    guard->low_samples = 0;
    guard->last_action_us = now_us;
    return true;
}

/* Chooses the task that slows others most per work lost. */
uint32_t
mb_slowdown_choose_eviction(const mb_slowdown_candidate_t *candidates,
                            uint32_t count)
{
    uint32_t best = count;
    double best_gain = -1;
    for (uint32_t i = 0; i < count; i++) {
        double lost = (double)candidates[i].lost_work_us / LOST_SCALE_US;
        double gain = (1.0 + candidates[i].slowdown_permille) / (1.0 + lost);
        if (gain > best_gain) {
            best = i;
            best_gain = gain;
        }
    }
    return best;
}
