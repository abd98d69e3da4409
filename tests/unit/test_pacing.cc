/* Tests of what is learned of filling work beside services, and of its
   pace. */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

extern "C" {
#include "mb_contention.h"
#include "mb_pacing.h"
}

static mb_contention_scene_t
scene_of(uint64_t service, uint64_t kind, uint32_t cpu_milli)
{
    mb_contention_scene_t scene = {};
    scene.service = service;
    mb_contention_add(&scene, kind, cpu_milli);
    return scene;
}

class Contention : public ::testing::Test {
  protected:
    void SetUp() override
    {
        mb_contention_init(&contention);
    }
    void TearDown() override
    {
        mb_contention_finish(&contention);
    }
    mb_contention_t contention;
};

/* Guards against filling work that is placed again beside a service that it
   has ruined. */
TEST_F(Contention, LearnsAHarmfulPairWithinAFewSamples)
{
    mb_contention_scene_t harmful = scene_of(1, 7, 3000);
    mb_contention_scene_t other = scene_of(1, 8, 3000);
    for (int i = 0; i < 4; i++) {
        mb_contention_observe(&contention, &harmful, 300, 20);
        mb_contention_observe(&contention, &other, 21, 20);
    }
    EXPECT_GT(mb_contention_predict(&contention, &harmful), 4.0);
    EXPECT_LT(mb_contention_predict(&contention, &other), 1.3);
}

/* Guards against blame that spreads to another service. */
TEST_F(Contention, KeepsPairsApart)
{
    mb_contention_scene_t harmful = scene_of(1, 7, 3000);
    mb_contention_scene_t before = scene_of(2, 7, 3000);
    double unknown = mb_contention_predict(&contention, &before);
    for (int i = 0; i < 4; i++) {
        mb_contention_observe(&contention, &harmful, 300, 20);
    }
    EXPECT_DOUBLE_EQ(mb_contention_predict(&contention, &before), unknown);
}

/* Guards against factors below 1, without a bound or not a number, whatever
   is reported. */
RC_GTEST_FIXTURE_PROP(Contention, FactorsStayWithinBounds,
                      (const std::vector<std::pair<uint16_t, uint16_t>> &seen))
{
    for (const auto &sample : seen) {
        mb_contention_scene_t scene =
            scene_of(1, sample.first % 3, sample.second);
        mb_contention_add(&scene, 9, sample.first);
        mb_contention_observe(&contention, &scene, sample.second,
                              sample.first);
        double factor = mb_contention_predict(&contention, &scene);
        RC_ASSERT(factor >= 1.0 && factor < 40.0);
    }
}

/* Guards against filling work that goes on beside a service that misses its
   target for seconds, and against a hold for a short miss. */
TEST(Pacing, HoldsAfterAMissThatLasts)
{
    mb_pacing_t pacing;
    uint64_t now_us = 1000000;
    mb_pacing_init(&pacing);
    EXPECT_FALSE(mb_pacing_observe(&pacing, 1500, true, now_us));
    now_us += MB_PACING_MISS_US / 2;
    EXPECT_FALSE(mb_pacing_observe(&pacing, 1500, true, now_us));
    EXPECT_EQ(mb_pacing_percent(&pacing), 100u);
    now_us += MB_PACING_MISS_US;
    EXPECT_TRUE(mb_pacing_observe(&pacing, 1500, true, now_us));
    EXPECT_EQ(mb_pacing_percent(&pacing), 0u);
}

/* Guards against a miss that is never held because filling tasks come and go,
   and the figure is rough: each pause between two tasks began the wait
   anew. */
TEST(Pacing, CountsAMissThroughPausesOfFillingWork)
{
    mb_pacing_t pacing;
    uint64_t now_us = 1000000;
    bool held = false;
    mb_pacing_init(&pacing);
    for (int i = 0; i < 16 && !held; i++) {
        held = mb_pacing_observe(&pacing, i % 3 == 1 ? 900 : 1400, i % 2 == 0,
                                 now_us);
        now_us += 200000;
    }
    EXPECT_TRUE(held);
}

/* Guards against filling work that stands still for good after the latency
   has recovered. */
TEST(Pacing, GoesOnWhenTheLatencyHasRecovered)
{
    mb_pacing_t pacing;
    mb_pacing_init(&pacing);
    (void)mb_pacing_observe(&pacing, 1500, true, 1000000);
    (void)mb_pacing_observe(&pacing, 1500, true, 4000000);
    ASSERT_EQ(mb_pacing_percent(&pacing), 0u);
    (void)mb_pacing_observe(&pacing, 400, false, 4500000);
    EXPECT_EQ(mb_pacing_percent(&pacing), 100u);
}

/* Guards against filling work that is held for a latency which is not its
   fault. */
TEST(Pacing, GoesOnWhenStandingStillDoesNotHelp)
{
    mb_pacing_t pacing;
    uint64_t now_us = 1000000;
    uint64_t held_us = 0;
    mb_pacing_init(&pacing);
    for (int i = 0; i < 200; i++) {
        (void)mb_pacing_observe(&pacing, 2000, mb_pacing_percent(&pacing) > 0,
                                now_us);
        held_us += mb_pacing_percent(&pacing) == 0 ? 100000 : 0;
        now_us += 100000;
    }
    EXPECT_GT(held_us, UINT64_C(1000000));
    EXPECT_LT(held_us, UINT64_C(10000000));
}
