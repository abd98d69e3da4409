/* Tests of the headroom model of best-effort work beside services, and of its
   throttling. */
#include <cmath>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

extern "C" {
#include "mb_headroom.h"
#include "mb_throttle.h"
}

/* Returns a load of one kind of best-effort work. */
static mb_headroom_load_t
make_load(uint64_t kind, uint32_t cpu_milli)
{
    mb_headroom_load_t load = {};
    mb_headroom_load_add(&load, kind, cpu_milli);
    return load;
}

class Headroom : public ::testing::Test {
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
                int reports = 4, uint64_t service_id = 100)
    {
        mb_headroom_service_t service = {service_id, 1};
        for (int i = 0; i < reports; i++) {
            mb_headroom_observe(&model, &service, &load, headroom, 0, now_us);
            mb_headroom_fit(&model, now_us);
            now_us += 500000;
        }
    }
    mb_headroom_t model;
    uint64_t now_us = 1000000;
    mb_headroom_load_t no_load = {};
};

/* Guards against best-effort work that is placed again beside a service that
   it has slowed down. */
TEST_F(Headroom, LearnsAHarmfulPairWithinAFewReports)
{
    report(no_load, 3.0);
    report(make_load(7, 2000), 1.6);
    report(no_load, 3.0);
    report(make_load(8, 2000), 2.9);
    EXPECT_NEAR(mb_headroom_slope(&model, 1, 7, 0), 0.7, 0.2);
    EXPECT_LT(mb_headroom_slope(&model, 1, 8, 0), 0.15);
}

/* Guards against best-effort work that is blamed for changes of a service's
   request load, which change the headroom equally with and without it. */
TEST_F(Headroom, AttributesChangesOfRequestLoadToTheBaseline)
{
    mb_headroom_service_t service = {100, 1};
    mb_headroom_load_t load = make_load(7, 2000);
    for (int i = 0; i < 200; i++) {
        double baseline = 2.7 + 1.1 * sin(i * 2 * 3.14159 / 28);
        bool loaded = i % 6 < 3;
        mb_headroom_observe(&model, &service, loaded ? &load : &no_load,
                            baseline - (loaded ? 0.1 : 0), 0, now_us);
        mb_headroom_fit(&model, now_us);
        now_us += 500000;
    }
    EXPECT_LT(mb_headroom_slope(&model, 1, 7, 0), 0.25);
}

/* Guards against a baseline that follows the request load only while no
   best-effort work runs on the worker. */
TEST_F(Headroom, TracksTheBaselineBesideKnownWork)
{
    mb_headroom_service_t service = {100, 1};
    for (int i = 0; i < 10; i++) {
        report(no_load, 3.0, 2);
        report(make_load(7, 2000), 2.0, 2);
    }
    for (int i = 0; i < 12; i++) {
        report(make_load(7, 2000), 2.0 - i * 0.08, 1);
    }
    EXPECT_NEAR(mb_headroom_baseline(&model, &service), 2.1, 0.35);
    EXPECT_NEAR(mb_headroom_slope(&model, 1, 7, 0), 0.5, 0.15);
}

/* Guards against a new owner that treats a harmful pair as unknown, or whose
   first samples replace the imported estimate. */
TEST_F(Headroom, ContinuesFromImportedEstimates)
{
    mb_headroom_t next;
    GArray *pairs = g_array_new(FALSE, FALSE, sizeof(mb_headroom_pair_t));
    for (int i = 0; i < 4; i++) {
        report(no_load, 3.0);
        report(make_load(7, 2000), 1.6);
    }
    mb_headroom_export(&model, pairs, 10);
    ASSERT_EQ(pairs->len, 1u);
    mb_headroom_init(&next);
    mb_headroom_import(&next, &g_array_index(pairs, mb_headroom_pair_t, 0));
    double slope = mb_headroom_slope(&model, 1, 7, 0);
    EXPECT_NEAR(mb_headroom_slope(&next, 1, 7, 0), slope, 0.01);
    mb_headroom_service_t service = {200, 1};
    mb_headroom_load_t load = make_load(7, 2000);
    mb_headroom_observe(&next, &service, &load, 2.0, 0, now_us);
    mb_headroom_fit(&next, now_us);
    EXPECT_NEAR(mb_headroom_slope(&next, 1, 7, 0), slope, 0.1);
    mb_headroom_finish(&next);
    g_array_unref(pairs);
}

/* Guards against an estimate for one service that changes that of another. */
TEST_F(Headroom, KeepsEstimatesOfPairsSeparate)
{
    double unknown = mb_headroom_slope(&model, 2, 7, 1);
    report(no_load, 3.0);
    report(make_load(7, 3000), 0.5);
    EXPECT_DOUBLE_EQ(mb_headroom_slope(&model, 2, 7, 1), unknown);
    EXPECT_GT(mb_headroom_slope(&model, 1, 7, 0), unknown / 2);
}

/* Guards against a harmful pair that counts as harmless because an overloaded
   service can't become much slower. */
TEST_F(Headroom, DoesNotLowerASlopeDuringOverload)
{
    report(no_load, 2.0);
    report(make_load(7, 2000), 0.9, 6);
    double before = mb_headroom_slope(&model, 1, 7, 0);
    report(make_load(7, 8000), 0.1, 6);
    EXPECT_GE(mb_headroom_slope(&model, 1, 7, 0), before - 0.01);
}

/* Guards against services that are kept in memory indefinitely. */
TEST_F(Headroom, RemovesServicesWithoutReports)
{
    mb_headroom_service_t service = {100, 1};
    report(no_load, 5.0, 8);
    EXPECT_GT(mb_headroom_baseline(&model, &service), 4.0);
    mb_headroom_fit(&model, now_us + UINT64_C(600000000));
    EXPECT_LT(mb_headroom_baseline(&model, &service), 4.0);
}

/* Guards against estimates that are negative, unbounded or not a number,
   whatever is reported. */
RC_GTEST_FIXTURE_PROP(
    Headroom, EstimatesStayWithinBounds,
    (const std::vector<std::pair<uint16_t, uint16_t>> &samples))
{
    mb_headroom_service_t service = {100, 1};
    for (const auto &sample : samples) {
        mb_headroom_load_t load = make_load(sample.first % 3, sample.second);
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

/* Guards against best-effort work that goes on while a service misses its
   target for seconds, and against a pause for a short miss. */
TEST(Throttle, PausesAfterALongMiss)
{
    mb_throttle_t throttle;
    uint64_t now_us = 1000000;
    mb_throttle_init(&throttle);
    EXPECT_FALSE(mb_throttle_observe(&throttle, 1500, true, now_us));
    now_us += MB_THROTTLE_PAUSE_DELAY_US / 2;
    EXPECT_FALSE(mb_throttle_observe(&throttle, 1500, true, now_us));
    EXPECT_EQ(mb_throttle_percent(&throttle), 100u);
    now_us += MB_THROTTLE_PAUSE_DELAY_US;
    EXPECT_TRUE(mb_throttle_observe(&throttle, 1500, true, now_us));
    EXPECT_EQ(mb_throttle_percent(&throttle), 0u);
}

/* Guards against a miss that never leads to a pause, because best-effort tasks
   come and go and the latency varies: each gap between two tasks restarted the
   delay before the pause. */
TEST(Throttle, CountsAMissAcrossGapsInBestEffortWork)
{
    mb_throttle_t throttle;
    uint64_t now_us = 1000000;
    bool paused = false;
    mb_throttle_init(&throttle);
    for (int i = 0; i < 16 && !paused; i++) {
        paused = mb_throttle_observe(&throttle, i % 3 == 1 ? 900 : 1400,
                                     i % 2 == 0, now_us);
        now_us += 200000;
    }
    EXPECT_TRUE(paused);
}

/* Guards against best-effort work that stays paused after the latency has
   recovered. */
TEST(Throttle, ResumesWhenTheLatencyHasRecovered)
{
    mb_throttle_t throttle;
    mb_throttle_init(&throttle);
    (void)mb_throttle_observe(&throttle, 1500, true, 1000000);
    (void)mb_throttle_observe(&throttle, 1500, true, 4000000);
    ASSERT_EQ(mb_throttle_percent(&throttle), 0u);
    (void)mb_throttle_observe(&throttle, 400, false, 4500000);
    EXPECT_EQ(mb_throttle_percent(&throttle), 100u);
}

/* Guards against best-effort work that stays paused for a latency that it does
   not cause. */
TEST(Throttle, ResumesWhenAPauseDoesNotHelp)
{
    mb_throttle_t throttle;
    uint64_t now_us = 1000000;
    uint64_t paused_us = 0;
    mb_throttle_init(&throttle);
    for (int i = 0; i < 200; i++) {
        (void)mb_throttle_observe(&throttle, 2000,
                                  mb_throttle_percent(&throttle) > 0, now_us);
        paused_us += mb_throttle_percent(&throttle) == 0 ? 100000 : 0;
        now_us += 100000;
    }
    EXPECT_GT(paused_us, UINT64_C(1000000));
    EXPECT_LT(paused_us, UINT64_C(10000000));
}
