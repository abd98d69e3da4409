/* Tests of the distributions of run times. */
#include <gtest/gtest.h>

#include <random>

extern "C" {
#include "mb_run_time.h"
}

/* A table, and the kind that the tests observe. */
struct RunTime : testing::Test {
    static const uint64_t KEY = 7;
    mb_run_time_t times;
    std::mt19937_64 random{1};

    RunTime()
    {
        mb_run_time_init(&times);
    }
    ~RunTime() override
    {
        mb_run_time_finish(&times);
    }

    const mb_run_time_kind_t *kind()
    {
        return mb_run_time_find(&times, KEY);
    }

    /* Observes ratios of 0.8 to 1.2, of which some are seven times as
       long. */
    void observe(int count, int straggler_percent)
    {
        std::uniform_real_distribution<double> spread(0.8, 1.2);
        for (int i = 0; i < count; i++) {
            bool is_straggler = (int)(random() % 100) < straggler_percent;
            mb_run_time_observe_ratio(&times, KEY,
                                      spread(random) * (is_straggler ? 7 : 1));
        }
    }

    double longest(uint32_t count, double elapsed_ms = 0)
    {
        return mb_run_time_longest_ms(&times, kind(), 1000, count, elapsed_ms);
    }

    double remaining(double elapsed_ms)
    {
        return mb_run_time_remaining_ms(&times, kind(), 1000, elapsed_ms);
    }
};

/* Guards against estimates that differ from what was observed. */
TEST_F(RunTime, RecoversAKnownDistribution)
{
    observe(2000, 0);
    EXPECT_NEAR(mb_run_time_mean_ms(kind(), 1000), 1000, 30);
    EXPECT_NEAR(mb_run_time_quantile_ms(&times, kind(), 1000, 0.5), 1000, 30);
    EXPECT_NEAR(mb_run_time_quantile_ms(&times, kind(), 1000, 0.9), 1160, 40);
    EXPECT_NEAR(longest(20), 1181, 60);
    EXPECT_NEAR(remaining(1000), 100, 30);
}

/* Guards against a mean in place of the longest of many runs, which the rare
   long ones decide. */
TEST_F(RunTime, TheLongestOfManyIsAStraggler)
{
    observe(20000, 3);
    EXPECT_NEAR(mb_run_time_mean_ms(kind(), 1000), 1180, 100);
    EXPECT_NEAR(longest(20), 3900, 700);
    EXPECT_GT(longest(200), 6500);
}

/* Guards against a run past the usual time that is expected to end at once. */
TEST_F(RunTime, RemainingTimeGrowsPastTheTypicalTime)
{
    observe(2000, 3);
    EXPECT_LT(remaining(500), 800);
    EXPECT_GT(remaining(1500), 4000);
    EXPECT_GT(remaining(1500), remaining(900));
    for (double elapsed_ms = 100; elapsed_ms < 1e7; elapsed_ms *= 1.3) {
        EXPECT_GT(remaining(elapsed_ms), 0) << elapsed_ms;
        EXPECT_GE(longest(5, elapsed_ms), elapsed_ms + remaining(elapsed_ms));
    }
    EXPECT_GT(remaining(1e6), remaining(1e5));
}

/* Guards against a tail that is forgotten because long runs are given up. */
TEST_F(RunTime, RunsThatAreGivenUpCountAsLonger)
{
    observe(500, 0);
    double before_ms = longest(20);
    for (int i = 0; i < 15; i++) {
        mb_run_time_observe_longer(&times, KEY, 2);
    }
    EXPECT_GT(longest(20), 1.5 * before_ms);
    EXPECT_GT(remaining(1300), 700);
}

/* Guards against estimates that never follow a change. */
TEST_F(RunTime, ForgetsWhatIsLongAgo)
{
    observe(2000, 30);
    EXPECT_GT(longest(20), 6000);
    observe(6000, 0);
    EXPECT_LT(longest(20), 1300);
}

/* Guards against a kind that stays unknown in a full table, and one that keeps
   its slot for ever. */
TEST_F(RunTime, ANewKindReplacesTheOldestInAFullTable)
{
    uint32_t known = 0;
    for (uint64_t key = 1; key <= 4 * MB_RUN_TIME_KINDS_MAX; key++) {
        mb_run_time_observe(&times, key, 1000);
        EXPECT_NEAR(mb_run_time_typical_ms(mb_run_time_find(&times, key)),
                    1000, 1);
    }
    for (uint64_t key = 1; key <= MB_RUN_TIME_KINDS_MAX; key++) {
        known += mb_run_time_typical_ms(mb_run_time_find(&times, key)) > 0;
    }
    EXPECT_LT(known, MB_RUN_TIME_KINDS_MAX / 4);
    mb_run_time_kind_t *slots = times.kinds;
    for (uint32_t i = 0; i < MB_RUN_TIME_KINDS_MAX; i++) {
        EXPECT_NE(slots[i].observed, 0u);
    }
}

/* Guards against estimates of nothing for an unknown kind. */
TEST_F(RunTime, AnUnknownKindTakesAboutTheTypicalTime)
{
    EXPECT_EQ(mb_run_time_typical_ms(kind()), 0);
    EXPECT_NEAR(mb_run_time_mean_ms(kind(), 1000), 1000, 100);
    EXPECT_LT(longest(20), 1700);
    EXPECT_GT(remaining(2000), 500);
}
