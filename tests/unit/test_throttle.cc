/* Tests of what is learned of filling work beside services, and of its
   pace. */
#include <cmath>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

extern "C" {
#include "mb_headroom.h"
#include "mb_throttle.h"
}

/* One kind of filling work on a worker. */
static mb_headroom_load_t
scene_of(uint64_t kind, uint32_t cpu_milli)
{
    mb_headroom_load_t load = {};
    mb_headroom_load_add(&load, kind, cpu_milli);
    return load;
}

class Contention : public ::testing::Test {
  protected:
    void SetUp() override
    {
        mb_headroom_init(&model);
    }
    void TearDown() override
    {
        mb_headroom_finish(&model);
    }
    /* Reports the headroom of a service every half second. */
    void report(const mb_headroom_load_t &load, double headroom,
                int reports = 4, uint64_t demand = 100)
    {
        mb_headroom_service_t service = {demand, 1};
        for (int i = 0; i < reports; i++) {
            mb_headroom_observe(&model, &service, &load, headroom, 0, now_us);
            mb_headroom_fit(&model, now_us);
            now_us += 500000;
        }
    }
    mb_headroom_t model;
    uint64_t now_us = 1000000;
    mb_headroom_load_t none = {};
};

/* Guards against filling work that is placed again beside a service that it
   has disturbed. */
TEST_F(Contention, LearnsAHarmfulPairWithinAFewReports)
{
    report(none, 3.0);
    report(scene_of(7, 2000), 1.6);
    report(none, 3.0);
    report(scene_of(8, 2000), 2.9);
    EXPECT_NEAR(mb_headroom_slope(&model, 1, 7, 0), 0.7, 0.2);
    EXPECT_LT(mb_headroom_slope(&model, 1, 8, 0), 0.15);
}

/* Guards against filling work that is blamed for users who come and go: what
   they take is the same with and without it. */
TEST_F(Contention, PutsASwingOfDemandDownToTheUsers)
{
    mb_headroom_service_t service = {100, 1};
    mb_headroom_load_t load = scene_of(7, 2000);
    for (int i = 0; i < 200; i++) {
        double demand = 2.7 + 1.1 * sin(i * 2 * 3.14159 / 28);
        bool beside = i % 6 < 3;
        mb_headroom_observe(&model, &service, beside ? &load : &none,
                            demand - (beside ? 0.1 : 0), 0, now_us);
        mb_headroom_fit(&model, now_us);
        now_us += 500000;
    }
    EXPECT_LT(mb_headroom_slope(&model, 1, 7, 0), 0.25);
}

/* Guards against an estimate that follows a service only while nothing works
   beside it. */
TEST_F(Contention, FollowsTheDemandBesideKnownWork)
{
    mb_headroom_service_t service = {100, 1};
    for (int i = 0; i < 10; i++) {
        report(none, 3.0, 2);
        report(scene_of(7, 2000), 2.0, 2);
    }
    for (int i = 0; i < 12; i++) {
        report(scene_of(7, 2000), 2.0 - i * 0.08, 1);
    }
    EXPECT_NEAR(mb_headroom_baseline(&model, &service), 2.1, 0.35);
    EXPECT_NEAR(mb_headroom_slope(&model, 1, 7, 0), 0.5, 0.15);
}

/* Guards against a new owner that takes a harmful pair for an unknown one, or
   drops what it was told with its first reports. */
TEST_F(Contention, GoesOnFromWhatAnEarlierOwnerLearned)
{
    mb_headroom_t next;
    GArray *pairs = g_array_new(FALSE, FALSE, sizeof(mb_headroom_pair_t));
    for (int i = 0; i < 4; i++) {
        report(none, 3.0);
        report(scene_of(7, 2000), 1.6);
    }
    mb_headroom_export(&model, pairs, 10);
    ASSERT_EQ(pairs->len, 1u);
    mb_headroom_init(&next);
    mb_headroom_import(&next, &g_array_index(pairs, mb_headroom_pair_t, 0));
    double slope = mb_headroom_slope(&model, 1, 7, 0);
    EXPECT_NEAR(mb_headroom_slope(&next, 1, 7, 0), slope, 0.01);
    mb_headroom_service_t service = {200, 1};
    mb_headroom_load_t load = scene_of(7, 2000);
    mb_headroom_observe(&next, &service, &load, 2.0, 0, now_us);
    mb_headroom_fit(&next, now_us);
    EXPECT_NEAR(mb_headroom_slope(&next, 1, 7, 0), slope, 0.1);
    mb_headroom_finish(&next);
    g_array_unref(pairs);
}

/* Guards against blame that spreads to another service. */
TEST_F(Contention, KeepsPairsApart)
{
    double unknown = mb_headroom_slope(&model, 2, 7, 1);
    report(none, 3.0);
    report(scene_of(7, 3000), 0.5);
    EXPECT_DOUBLE_EQ(mb_headroom_slope(&model, 2, 7, 1), unknown);
    EXPECT_GT(mb_headroom_slope(&model, 1, 7, 0), unknown / 2);
}

/* Guards against a harmful pair that counts as harmless because a service that
   is overloaded can't become much slower. */
TEST_F(Contention, LearnsNothingGoodFromAnOverload)
{
    report(none, 2.0);
    report(scene_of(7, 2000), 0.9, 6);
    double before = mb_headroom_slope(&model, 1, 7, 0);
    report(scene_of(7, 8000), 0.1, 6);
    EXPECT_GE(mb_headroom_slope(&model, 1, 7, 0), before - 0.01);
}

/* Guards against services that are kept in memory for good. */
TEST_F(Contention, ForgetsSilentServices)
{
    mb_headroom_service_t service = {100, 1};
    report(none, 5.0, 8);
    EXPECT_GT(mb_headroom_baseline(&model, &service), 4.0);
    mb_headroom_fit(&model, now_us + UINT64_C(600000000));
    EXPECT_LT(mb_headroom_baseline(&model, &service), 4.0);
}

/* Guards against estimates that are negative, without a bound or not a number,
   whatever is reported. */
RC_GTEST_FIXTURE_PROP(Contention, EstimatesStayWithinBounds,
                      (const std::vector<std::pair<uint16_t, uint16_t>> &seen))
{
    mb_headroom_service_t service = {100, 1};
    for (const auto &sample : seen) {
        mb_headroom_load_t load = scene_of(sample.first % 3, sample.second);
        mb_headroom_load_add(&load, 9, sample.first);
        mb_headroom_observe(&model, &service, &load, sample.second / 100.0, 0,
                            now_us);
        mb_headroom_fit(&model, now_us);
        now_us += sample.first * UINT64_C(100);
        double loss = mb_headroom_loss(&model, 1, &load, 1);
        double headroom = mb_headroom_baseline(&model, &service);
        RC_ASSERT(loss >= 0 && loss < 2000);
        RC_ASSERT(headroom > 0 && headroom <= 50);
    }
}

/* Guards against filling work that goes on beside a service that misses its
   target for seconds, and against a hold for a short miss. */
TEST(Pacing, HoldsAfterAMissThatLasts)
{
    mb_throttle_t pacing;
    uint64_t now_us = 1000000;
    mb_throttle_init(&pacing);
    EXPECT_FALSE(mb_throttle_observe(&pacing, 1500, true, now_us));
    now_us += MB_THROTTLE_PAUSE_DELAY_US / 2;
    EXPECT_FALSE(mb_throttle_observe(&pacing, 1500, true, now_us));
    EXPECT_EQ(mb_throttle_percent(&pacing), 100u);
    now_us += MB_THROTTLE_PAUSE_DELAY_US;
    EXPECT_TRUE(mb_throttle_observe(&pacing, 1500, true, now_us));
    EXPECT_EQ(mb_throttle_percent(&pacing), 0u);
}

/* Guards against a miss that is never held because filling tasks come and go,
   and the figure is rough: each pause between two tasks began the wait
   anew. */
TEST(Pacing, CountsAMissThroughPausesOfFillingWork)
{
    mb_throttle_t pacing;
    uint64_t now_us = 1000000;
    bool held = false;
    mb_throttle_init(&pacing);
    for (int i = 0; i < 16 && !held; i++) {
        held = mb_throttle_observe(&pacing, i % 3 == 1 ? 900 : 1400,
                                   i % 2 == 0, now_us);
        now_us += 200000;
    }
    EXPECT_TRUE(held);
}

/* Guards against filling work that stands still for good after the latency
   has recovered. */
TEST(Pacing, GoesOnWhenTheLatencyHasRecovered)
{
    mb_throttle_t pacing;
    mb_throttle_init(&pacing);
    (void)mb_throttle_observe(&pacing, 1500, true, 1000000);
    (void)mb_throttle_observe(&pacing, 1500, true, 4000000);
    ASSERT_EQ(mb_throttle_percent(&pacing), 0u);
    (void)mb_throttle_observe(&pacing, 400, false, 4500000);
    EXPECT_EQ(mb_throttle_percent(&pacing), 100u);
}

/* Guards against filling work that is held for a latency which is not its
   fault. */
TEST(Pacing, GoesOnWhenStandingStillDoesNotHelp)
{
    mb_throttle_t pacing;
    uint64_t now_us = 1000000;
    uint64_t held_us = 0;
    mb_throttle_init(&pacing);
    for (int i = 0; i < 200; i++) {
        (void)mb_throttle_observe(&pacing, 2000,
                                  mb_throttle_percent(&pacing) > 0, now_us);
        held_us += mb_throttle_percent(&pacing) == 0 ? 100000 : 0;
        now_us += 100000;
    }
    EXPECT_GT(held_us, UINT64_C(1000000));
    EXPECT_LT(held_us, UINT64_C(10000000));
}
