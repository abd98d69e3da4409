/* Tests of the slowdown model, of the control of batch tasks and of learned
   sizes. */
#include <gtest/gtest.h>

extern "C" {
#include "mb_rng.h"
#include "mb_sizing.h"
#include "mb_slowdown.h"
}

#define SECOND UINT64_C(1000000)

struct SlowdownTest : testing::Test {
    mb_slowdown_t model;
    void SetUp() override
    {
        mb_slowdown_init(&model);
    }
    void TearDown() override
    {
        mb_slowdown_finish(&model);
    }
};

/* Guards against estimates that attribute a slowdown to the wrong corunner,
   ignore the load level or never decay. Kind 7 causes the slowdown; kinds 8 to
   10 only run beside it. */
TEST_F(SlowdownTest, AttributesSlowdownToItsCauseAndDecays)
{
    mb_rng_seeded_t seeded;
    mb_rng_seeded_init(&seeded, 5);
    mb_rng_t rng = mb_rng_from_seeded(&seeded);
    uint64_t now = SECOND;
    for (int i = 0; i < 2000; i++) {
        mb_slowdown_colocation_t colocation = {1, 3, {}, 0};
        bool noisy = mb_rng_below(&rng, 2) == 0;
        if (noisy) {
            colocation.corunners[colocation.corunner_count++] = 7;
        }
        colocation.corunners[colocation.corunner_count++] =
            8 + mb_rng_below(&rng, 3);
        now += SECOND / 10;
        mb_slowdown_observe(&model, &colocation, noisy ? 400 : 0, SECOND, now);
    }
    mb_slowdown_colocation_t noisy = {1, 3, {7}, 1};
    mb_slowdown_colocation_t quiet = {1, 3, {8}, 1};
    mb_slowdown_colocation_t idle = {1, 0, {7}, 1};
    EXPECT_GT(mb_slowdown_predict(&model, &noisy, now), 250u);
    EXPECT_LT(mb_slowdown_predict(&model, &quiet, now), 120u);
    EXPECT_EQ(mb_slowdown_predict(&model, &idle, now), 0u);
    now += 3600 * SECOND;
    EXPECT_EQ(mb_slowdown_predict(&model, &noisy, now), 0u);
}

/* Guards against eviction before throttling was tried and had time to take
   effect, and against an action on a sample measured before the last
   action. */
TEST(SlowdownController, ThrottlesBeforeEvictingAndWaitsForNewerSamples)
{
    mb_slowdown_controller_t controller;
    mb_slowdown_controller_init(&controller);
    uint64_t now = 100 * SECOND;
    mb_slowdown_input_t input = {500, now - 3 * SECOND, true, true};
    uint32_t percent = 100;
    while (mb_slowdown_decide(&controller, &input, now) ==
           MB_SLOWDOWN_ACTION_THROTTLE) {
        EXPECT_LT(mb_slowdown_throttle_percent(&controller), percent);
        percent = mb_slowdown_throttle_percent(&controller);
        EXPECT_EQ(mb_slowdown_decide(&controller, &input, now + SECOND),
                  MB_SLOWDOWN_ACTION_NONE);
        now += 5 * SECOND;
        input.measured_us = now - 3 * SECOND;
    }
    EXPECT_LE(percent, 20u);
    now += 5 * SECOND;
    input.measured_us = now - 3 * SECOND;
    EXPECT_EQ(mb_slowdown_decide(&controller, &input, now),
              MB_SLOWDOWN_ACTION_EVICT);
}

/* Guards against eviction while batch tasks are at their minimum share, and
   against throttling that oscillates while the slowdown is between the
   marks. */
TEST(SlowdownController, NeverEvictsBelowTheMinimumShareAndHasHysteresis)
{
    mb_slowdown_controller_t controller;
    mb_slowdown_controller_init(&controller);
    mb_slowdown_input_t input = {500, 0, false, true};
    int evictions = 0;
    uint64_t now = SECOND;
    for (int i = 0; i < 50; i++) {
        now += 5 * SECOND;
        input.measured_us = now - SECOND;
        evictions += mb_slowdown_decide(&controller, &input, now) ==
                     MB_SLOWDOWN_ACTION_EVICT;
    }
    EXPECT_EQ(evictions, 0);
    uint32_t percent = mb_slowdown_throttle_percent(&controller);
    input.slowdown_permille = 100;
    for (int i = 0; i < 50; i++) {
        now += 5 * SECOND;
        input.measured_us = now - SECOND;
        EXPECT_EQ(mb_slowdown_decide(&controller, &input, now),
                  MB_SLOWDOWN_ACTION_NONE);
    }
    EXPECT_EQ(mb_slowdown_throttle_percent(&controller), percent);
    input.slowdown_permille = 0;
    for (int i = 0; i < 50; i++) {
        now += 5 * SECOND;
        input.measured_us = now - SECOND;
        (void)mb_slowdown_decide(&controller, &input, now);
    }
    EXPECT_EQ(mb_slowdown_throttle_percent(&controller), 100u);
}

/* Guards against the eviction of a task that loses much work since its
   checkpoint, or that slows nobody down. */
TEST(SlowdownController, PrefersToEvictTasksThatLoseLittleWork)
{
    mb_slowdown_candidate_t tasks[] = {
        {3600 * SECOND, 300}, {SECOND, 200}, {SECOND, 5}};
    EXPECT_EQ(mb_slowdown_choose_eviction(tasks, 3), 1u);
    EXPECT_EQ(mb_slowdown_choose_eviction(tasks, 0), 0u);
}

/* Guards against declared sizes and run times that are wrong by a factor of 4
   and never corrected. */
TEST(Sizing, LearnsRatiosOfActualToDeclaredPerKind)
{
    mb_sizing_t sizing;
    mb_sizing_init(&sizing);
    mb_size_t declared = {1000, 4000, 1};
    mb_size_t used = {4000, 1000, 1};
    for (int i = 0; i < 20; i++) {
        mb_sizing_observe_usage(&sizing, 9, &declared, &used);
        mb_sizing_observe_run_time(&sizing, 9, 1000, 250);
    }
    mb_size_t expected = mb_sizing_estimate_size(&sizing, 9, &declared);
    EXPECT_EQ(expected.cpu_milli, 4000u);
    EXPECT_EQ(expected.memory_mb, 1000u);
    EXPECT_EQ(expected.accelerators, 1u);
    EXPECT_EQ(mb_sizing_estimate_run_ms(&sizing, 9, 1000), 250u);
    EXPECT_EQ(mb_sizing_estimate_run_ms(&sizing, 10, 1000), 1000u);
    mb_sizing_finish(&sizing);
}

/* Guards against throttling that keeps batch tasks below their minimum share
   until a later sample permits relaxing it. */
TEST(SlowdownController, RelaxesAtOnceBelowTheMinimumShare)
{
    mb_slowdown_controller_t controller;
    mb_slowdown_controller_init(&controller);
    uint64_t now = 10 * SECOND;
    mb_slowdown_input_t input = {500, now, true, true};
    ASSERT_EQ(mb_slowdown_decide(&controller, &input, now),
              MB_SLOWDOWN_ACTION_THROTTLE);
    EXPECT_TRUE(mb_slowdown_relax(&controller, now + SECOND));
    EXPECT_EQ(mb_slowdown_throttle_percent(&controller), 100u);
    EXPECT_FALSE(mb_slowdown_relax(&controller, now + SECOND));
    EXPECT_EQ(mb_slowdown_decide(&controller, &input, now + SECOND),
              MB_SLOWDOWN_ACTION_NONE);
}
