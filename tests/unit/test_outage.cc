/* Tests of the Retry-After time of rejected clients. */
#include <gtest/gtest.h>

extern "C" {
#include "mb_outage.h"
}

static const uint64_t SECOND_US = 1000000;

/* Simulates a client that retries when it is told to. Returns the number of
   its attempts until the log answers again. */
static int
count_attempts(uint64_t outage_s)
{
    mb_outage_t outage;
    mb_outage_init(&outage);
    uint64_t begin_us = 100 * SECOND_US;
    uint64_t now_us = begin_us;
    int attempts = 0;
    while (now_us < begin_us + outage_s * SECOND_US) {
        mb_outage_update(&outage, true, begin_us);
        now_us += mb_outage_retry_after_s(&outage, now_us) * SECOND_US;
        attempts++;
    }
    return attempts;
}

/* Guards against a client that has used up its four retries when the log is
   back after 9 s, the longest outage that the operators specify. */
TEST(Outage, FourRetriesOutlastNineSeconds)
{
    EXPECT_LE(count_attempts(9), 4);
}

/* Guards against a client that waits for long after a short outage. */
TEST(Outage, RetryAfterGrowsWithTheOutage)
{
    mb_outage_t outage;
    mb_outage_init(&outage);
    mb_outage_update(&outage, true, 100 * SECOND_US);
    EXPECT_EQ(mb_outage_retry_after_s(&outage, 100 * SECOND_US), 1u);
    EXPECT_EQ(mb_outage_retry_after_s(&outage, 102 * SECOND_US), 3u);
    EXPECT_EQ(mb_outage_retry_after_s(&outage, 500 * SECOND_US),
              MB_OUTAGE_RETRY_AFTER_MAX_S);
    mb_outage_update(&outage, false, 500 * SECOND_US);
    EXPECT_EQ(mb_outage_retry_after_s(&outage, 500 * SECOND_US), 1u);
}

/* Guards against an outage whose length is counted from the start of the
   previous one. */
TEST(Outage, StartsOverWithEachOutage)
{
    mb_outage_t outage;
    mb_outage_init(&outage);
    mb_outage_update(&outage, true, 100 * SECOND_US);
    mb_outage_update(&outage, false, 110 * SECOND_US);
    mb_outage_update(&outage, true, 120 * SECOND_US);
    EXPECT_EQ(mb_outage_retry_after_s(&outage, 120 * SECOND_US), 1u);
}
