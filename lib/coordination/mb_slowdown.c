#include "mb_slowdown.h"

#include <glib.h>
#include <math.h>

/* Without samples an estimate halves in this time, as load shifts. */
#define ESTIMATE_HALF_LIFE_US 60e6
/* A sample's weight halves per this age. */
#define SAMPLE_AGE_HALF_LIFE_US 10e6
/* Share of a sample's error that corrects the estimates. */
#define LEARNING_RATE 0.3
#define SLOWDOWN_MAX_PERMILLE 10000.0
/* Above the high mark batch is throttled, below the low mark released. Low
   enough that a service at 70% load keeps its queues short. */
#define HIGH_SLOWDOWN_PERMILLE 60u
#define LOW_SLOWDOWN_PERMILLE 25u
/* Calm samples in a row before throttling is relaxed by one step. */
#define LOW_SAMPLES_TO_RELAX 5u
/* An action shows in samples measured this much later, not before. */
#define ACTION_SETTLE_US UINT64_C(1000000)
/* Lost work that counts as much as all the slowdown a task adds. */
#define LOST_WORK_SCALE_US 10e6

static const uint32_t throttle_percents[] = {100, 80, 60, 45, 30, 20};
#define LAST_STEP (G_N_ELEMENTS(throttle_percents) - 1)

/* Starts with nothing known. */
void
mb_slowdown_init(mb_slowdown_t *model)
{
    model->pairs =
        g_new0(mb_slowdown_pair_t, (gsize)MB_SLOWDOWN_LOAD_LEVELS *
                                       MB_SLOWDOWN_KINDS * MB_SLOWDOWN_KINDS);
}

/* Frees the estimates. */
void
mb_slowdown_finish(mb_slowdown_t *model)
{
    g_free(model->pairs);
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
find_pair(const mb_slowdown_t *model,
          const mb_slowdown_colocation_t *colocation, uint32_t i)
{
    uint32_t victim_row =
        colocation->level * MB_SLOWDOWN_KINDS + colocation->victim;
    return &model->pairs[victim_row * MB_SLOWDOWN_KINDS +
                         colocation->corunners[i]];
}

/* Returns an estimate as it stands now. */
static double
decay_estimate(const mb_slowdown_pair_t *pair, uint64_t now_us)
{
    if (pair->samples == 0) {
        return 0;
    }
    double idle_us = (double)(now_us - MIN(now_us, pair->updated_us));
    return pair->slowdown_permille * exp2(-idle_us / ESTIMATE_HALF_LIFE_US);
}

/* Returns the sum of the estimates of a scene. */
static double
predict_slowdown(const mb_slowdown_t *model,
                 const mb_slowdown_colocation_t *colocation, uint64_t now_us)
{
    double sum = 0;
    for (uint32_t i = 0; i < colocation->corunner_count; i++) {
        sum += decay_estimate(find_pair(model, colocation, i), now_us);
    }
    return MIN(sum, SLOWDOWN_MAX_PERMILLE);
}

/* Returns the slowdown to expect for the victim of a scene. */
uint32_t
mb_slowdown_predict(const mb_slowdown_t *model,
                    const mb_slowdown_colocation_t *colocation,
                    uint64_t now_us)
{
    return (uint32_t)predict_slowdown(model, colocation, now_us);
}

/* Learns from a sample: its error is shared evenly by the pairs of the scene,
   so that pairs that always go with a slowdown collect it. */
void
mb_slowdown_observe(mb_slowdown_t *model,
                    const mb_slowdown_colocation_t *colocation,
                    uint32_t slowdown_permille, uint64_t age_us,
                    uint64_t now_us)
{
    if (colocation->corunner_count == 0) {
        return;
    }
    double observed = MIN((double)slowdown_permille, SLOWDOWN_MAX_PERMILLE);
    double error = observed - predict_slowdown(model, colocation, now_us);
    double weight =
        LEARNING_RATE * exp2(-(double)age_us / SAMPLE_AGE_HALF_LIFE_US);
    double correction = weight * error / colocation->corunner_count;
    for (uint32_t i = 0; i < colocation->corunner_count; i++) {
        mb_slowdown_pair_t *pair = find_pair(model, colocation, i);
        double value = decay_estimate(pair, now_us) + correction;
        pair->slowdown_permille =
            (float)CLAMP(value, 0, SLOWDOWN_MAX_PERMILLE);
        pair->updated_us = now_us;
        pair->samples++;
    }
}

/* Starts without throttling. */
void
mb_slowdown_controller_init(mb_slowdown_controller_t *controller)
{
    *controller = (mb_slowdown_controller_t){0};
}

/* Returns the speed left to batch tasks in percent. */
uint32_t
mb_slowdown_throttle_percent(const mb_slowdown_controller_t *controller)
{
    return throttle_percents[controller->step];
}

/* Returns the speed that one more step would leave, in percent. */
uint32_t
mb_slowdown_next_throttle_percent(const mb_slowdown_controller_t *controller)
{
    return throttle_percents[MIN(controller->step + 1, LAST_STEP)];
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
decide_on_high_sample(mb_slowdown_controller_t *controller,
                      const mb_slowdown_input_t *input)
{
    controller->low_samples = 0;
    if (controller->step < LAST_STEP && input->may_throttle) {
        controller->step++;
        return MB_SLOWDOWN_ACTION_THROTTLE;
    }
    return controller->step > 0 && input->may_evict ? MB_SLOWDOWN_ACTION_EVICT
                                                    : MB_SLOWDOWN_ACTION_NONE;
}

/* Decides on a sample below the low mark. */
static mb_slowdown_action_t
decide_on_low_sample(mb_slowdown_controller_t *controller)
{
    if (controller->step == 0 ||
        ++controller->low_samples < LOW_SAMPLES_TO_RELAX) {
        return MB_SLOWDOWN_ACTION_NONE;
    }
    controller->low_samples = 0;
    controller->step--;
    return MB_SLOWDOWN_ACTION_THROTTLE;
}

/* Decides what to do on a worker. A sample measured before the last action
   could show its effect is not used, so that lag causes no further action.
   Between the marks nothing changes. */
mb_slowdown_action_t
mb_slowdown_decide(mb_slowdown_controller_t *controller,
                   const mb_slowdown_input_t *input, uint64_t now_us)
{
    if (controller->last_action_us != 0 &&
        input->measured_us < controller->last_action_us + ACTION_SETTLE_US) {
        return MB_SLOWDOWN_ACTION_NONE;
    }
    mb_slowdown_action_t action = MB_SLOWDOWN_ACTION_NONE;
    if (input->slowdown_permille > HIGH_SLOWDOWN_PERMILLE) {
        action = decide_on_high_sample(controller, input);
    }
    else if (input->slowdown_permille < LOW_SLOWDOWN_PERMILLE) {
        action = decide_on_low_sample(controller);
    }
    else {
        controller->low_samples = 0;
    }
    if (action != MB_SLOWDOWN_ACTION_NONE) {
        controller->last_action_us = now_us;
    }
    return action;
}

/* Takes back one step of throttling. It is not left to the next sample: when
   urgent work preempts batch, the share falls at once and samples are late. */
bool
mb_slowdown_relax(mb_slowdown_controller_t *controller, uint64_t now_us)
{
    if (controller->step == 0) {
        return false;
    }
    controller->step--;
    controller->low_samples = 0;
    controller->last_action_us = now_us;
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
        double lost_work =
            (double)candidates[i].lost_work_us / LOST_WORK_SCALE_US;
        double gain =
            (1.0 + candidates[i].slowdown_permille) / (1.0 + lost_work);
        if (gain > best_gain) {
            best = i;
            best_gain = gain;
        }
    }
    return best;
}
