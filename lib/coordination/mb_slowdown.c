#include "mb_slowdown.h"

#include <glib.h>
#include <math.h>

/* An estimate without new samples halves in this time, because the load
   changes. */
#define ESTIMATE_HALF_LIFE_US 60e6
/* The weight of a sample halves with each such period of its age. */
#define SAMPLE_AGE_HALF_LIFE_US 10e6
/* Share of a sample's residual by which the estimates are corrected. */
#define LEARNING_RATE 0.3
#define SLOWDOWN_MAX_PERMILLE 10000.0
/* Batch tasks are throttled above the high mark and get speed back below the
   low mark. The marks are low enough that a service at 70% load keeps its
   queues short. */
#define HIGH_SLOWDOWN_PERMILLE 60u
#define LOW_SLOWDOWN_PERMILLE 25u
/* Consecutive samples below the low mark before throttling is relaxed by one
   step. */
#define LOW_SAMPLES_TO_RELAX 5u
/* Time until an action shows its effect; earlier samples are not acted on. */
#define ACTION_SETTLE_US UINT64_C(1000000)
/* Lost work that halves the value of an eviction. */
#define LOST_WORK_SCALE_US 10e6

/* Percentage of full speed at each step of throttling. */
static const uint32_t throttle_percents[] = {100, 80, 60, 45, 30, 20};
#define LAST_STEP (G_N_ELEMENTS(throttle_percents) - 1)

/* Allocates a model without estimates. */
void
mb_slowdown_init(mb_slowdown_t *model)
{
    model->pairs =
        g_new0(mb_slowdown_pair_t, (gsize)MB_SLOWDOWN_LOAD_LEVELS *
                                       MB_SLOWDOWN_KINDS * MB_SLOWDOWN_KINDS);
}

/* Releases the estimates. */
void
mb_slowdown_finish(mb_slowdown_t *model)
{
    g_free(model->pairs);
}

/* Returns the kind of a job or service, by a multiplicative hash of its
   key. */
uint32_t
mb_slowdown_kind(uint64_t job_key)
{
    return (uint32_t)(((job_key * UINT64_C(0x9e3779b97f4a7c15)) >> 32) %
                      MB_SLOWDOWN_KINDS);
}

/* Returns the load level of a worker. A worker without processors is at level
   0, one that is more than fully used at the highest. */
uint32_t
mb_slowdown_load_level(uint32_t used_milli, uint32_t capacity_milli)
{
    uint64_t level =
        capacity_milli == 0
            ? 0
            : (uint64_t)used_milli * MB_SLOWDOWN_LOAD_LEVELS / capacity_milli;
    return (uint32_t)MIN(level, MB_SLOWDOWN_LOAD_LEVELS - 1u);
}

/* Returns the estimate for the victim and the i-th corunner of a
   colocation. */
static mb_slowdown_pair_t *
find_pair(const mb_slowdown_t *model,
          const mb_slowdown_colocation_t *colocation, uint32_t i)
{
    uint32_t victim_row =
        colocation->level * MB_SLOWDOWN_KINDS + colocation->victim;
    return &model->pairs[victim_row * MB_SLOWDOWN_KINDS +
                         colocation->corunners[i]];
}

/* Returns an estimate, decayed to the present. */
static double
decay_estimate(const mb_slowdown_pair_t *pair, uint64_t now_us)
{
    if (pair->samples == 0) {
        return 0;
    }
    double idle_us = (double)(now_us - MIN(now_us, pair->updated_us));
    return pair->slowdown_permille * exp2(-idle_us / ESTIMATE_HALF_LIFE_US);
}

/* Returns the expected slowdown of the victim: the sum of what its corunners
   add. */
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

/* Returns the expected slowdown of the victim in thousandths. */
uint32_t
mb_slowdown_predict(const mb_slowdown_t *model,
                    const mb_slowdown_colocation_t *colocation,
                    uint64_t now_us)
{
    return (uint32_t)predict_slowdown(model, colocation, now_us);
}

/* Updates the estimates from a sample. The residual is shared evenly by the
   victim's corunners, so that over many samples the kind that is present
   whenever the victim is slow ends up with the slowdown. */
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
    double residual = observed - predict_slowdown(model, colocation, now_us);
    double weight =
        LEARNING_RATE * exp2(-(double)age_us / SAMPLE_AGE_HALF_LIFE_US);
    double correction = weight * residual / colocation->corunner_count;
    for (uint32_t i = 0; i < colocation->corunner_count; i++) {
        mb_slowdown_pair_t *pair = find_pair(model, colocation, i);
        double value = decay_estimate(pair, now_us) + correction;
        pair->slowdown_permille =
            (float)CLAMP(value, 0, SLOWDOWN_MAX_PERMILLE);
        pair->updated_us = now_us;
        pair->samples++;
    }
}

/* Initializes a controller that does not throttle. */
void
mb_slowdown_controller_init(mb_slowdown_controller_t *controller)
{
    *controller = (mb_slowdown_controller_t){0};
}

/* Returns the percentage of full speed at which throttled tasks run. */
uint32_t
mb_slowdown_throttle_percent(const mb_slowdown_controller_t *controller)
{
    return throttle_percents[controller->step];
}

/* Returns the percentage of full speed after one more step of throttling, at
   the last step the current one. */
uint32_t
mb_slowdown_next_throttle_percent(const mb_slowdown_controller_t *controller)
{
    return throttle_percents[MIN(controller->step + 1, LAST_STEP)];
}

/* Returns whether a task adds at least half as much slowdown as the worst one.
   Throttling the others would cost batch work without helping anybody. Without
   estimates all tasks are throttled. */
bool
mb_slowdown_should_throttle(uint32_t slowdown_permille,
                            uint32_t worst_permille)
{
    return 2 * slowdown_permille >= worst_permille;
}

/* Decides on a sample above the high mark: throttle by one more step while
   batch tasks keep their minimum share, else evict one if any throttling is in
   effect. */
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

/* Decides on a sample below the low mark: relax by one step after enough of
   them. */
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

/* Decides what to do on a worker. Ignores a sample that was measured too soon
   after the last action to show its effect, so that the delay of samples does
   not lead to further actions. Nothing changes between the two marks. */
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

/* Relaxes throttling by one step without waiting for the next sample: when
   urgent tasks preempt batch tasks, their share falls at once, and samples
   arrive late. */
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

/* Chooses the task that slows down others most in proportion to the work that
   its eviction loses. */
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
