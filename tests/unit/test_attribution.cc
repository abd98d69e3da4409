/* Tests of what failures are attributed to. */
#include <gtest/gtest.h>

extern "C" {
#include "mb_attribution.h"
}

static const uint64_t second_us = 1000000;
static const uint64_t start_us = 10 * second_us;
static const uint64_t fails_after_us = second_us / 4;
static const uint64_t failed_us = start_us + fails_after_us;

/* Work whose runs were started at `start_us`, and of which those on the first
   `count` workers have failed. */
static mb_attribution_t
make_failed(uint32_t count)
{
    mb_attribution_t work;
    mb_attribution_init(&work);
    for (uint32_t i = 0; i < count; i++) {
        mb_attribution_failed(&work, i, start_us, fails_after_us);
    }
    return work;
}

/* Guards against a faulty worker that is excused, because a failure there is
   put down to the work without another failure elsewhere. */
TEST(Attribution, FailuresOnOneWorkerAreHeldAgainstIt)
{
    mb_attribution_t work = make_failed(0);
    EXPECT_EQ(mb_attribution_cause(&work, failed_us), MB_CAUSE_NONE);
    for (int i = 0; i < 20; i++) {
        mb_attribution_failed(&work, 7, start_us + i, fails_after_us);
        EXPECT_EQ(mb_attribution_cause(&work, failed_us + i),
                  MB_CAUSE_UNCLEAR);
    }
}

/* Guards against workers that are blamed for work that fails on all. */
TEST(Attribution, WorkThatFailsOnTwoWorkersIsAtFault)
{
    mb_attribution_t work = make_failed(2);
    EXPECT_EQ(mb_attribution_cause(&work, failed_us), MB_CAUSE_WORK);
}

/* Guards against two faulty workers that are excused because they fail the
   same work, while it is at work on more workers. */
TEST(Attribution, WorkThatIsAtWorkOnMoreWorkersIsNotAtFault)
{
    mb_attribution_t work = make_failed(1);
    for (uint32_t worker = 1; worker < 5; worker++) {
        EXPECT_TRUE(mb_attribution_pending(&work, worker, start_us));
    }
    mb_attribution_failed(&work, 1, start_us, fails_after_us);
    EXPECT_EQ(mb_attribution_cause(&work, failed_us), MB_CAUSE_WORKERS);
    mb_attribution_failed(&work, 2, start_us, fails_after_us);
    EXPECT_EQ(mb_attribution_cause(&work, failed_us), MB_CAUSE_WORK);
}

/* Guards against faulty workers of a large fleet that are excused, because
   more of them fail the work than workers are kept where it is at work. */
TEST(Attribution, WorkOnManyWorkersIsJudgedByASample)
{
    mb_attribution_t work = make_failed(1);
    for (uint32_t worker = 1; worker < 100; worker++) {
        if (!mb_attribution_pending(&work, worker, start_us)) {
            break;
        }
    }
    /* A fifth of the workers. */
    for (uint32_t worker = 5; worker < 100; worker += 5) {
        mb_attribution_failed(&work, worker, start_us, fails_after_us);
        EXPECT_EQ(mb_attribution_cause(&work, failed_us), MB_CAUSE_WORKERS);
    }
    for (uint32_t worker = 1; worker <= MB_ATTRIBUTION_WORKERS_MAX; worker++) {
        mb_attribution_failed(&work, worker, start_us, fails_after_us);
    }
    EXPECT_EQ(mb_attribution_cause(&work, failed_us), MB_CAUSE_WORK);
}

/* Guards against runs that count as being at work for good, although no report
   shows them any more. */
TEST(Attribution, PendingRunsCountForAWhile)
{
    mb_attribution_t work = make_failed(1);
    for (uint32_t worker = 1; worker < 5; worker++) {
        (void)mb_attribution_pending(&work, worker, start_us);
    }
    mb_attribution_failed(&work, 1, start_us, fails_after_us);
    EXPECT_EQ(
        mb_attribution_cause(&work, failed_us + MB_ATTRIBUTION_PENDING_US),
        MB_CAUSE_WORK);
}

/* Guards against the same if the work has outlived the failures on a single
   worker, and against excuses by a run that will fail like the others. */
TEST(Attribution, WorkThatOutlivesTheFailuresIsNotAtFault)
{
    mb_attribution_t work = make_failed(3);
    mb_attribution_survived(&work, start_us, fails_after_us + 1);
    EXPECT_EQ(mb_attribution_cause(&work, failed_us), MB_CAUSE_WORK);
    mb_attribution_survived(&work, start_us,
                            fails_after_us + MB_ATTRIBUTION_MARGIN_US);
    EXPECT_EQ(mb_attribution_cause(&work, failed_us), MB_CAUSE_WORKERS);
    mb_attribution_failed(&work, 3, start_us, 2 * second_us);
    EXPECT_EQ(mb_attribution_cause(&work, start_us + 2 * second_us),
              MB_CAUSE_WORK);
}

/* Guards against work that counts as sound for good because it once was. */
TEST(Attribution, WorkThatWorkedLongAgoMayBecomeFaulty)
{
    mb_attribution_t work = make_failed(2);
    mb_attribution_worked(&work, start_us);
    EXPECT_EQ(mb_attribution_cause(&work, failed_us), MB_CAUSE_NONE);
    uint64_t later_us = start_us + MB_ATTRIBUTION_RECENT_US;
    mb_attribution_failed(&work, 1, later_us, fails_after_us);
    mb_attribution_failed(&work, 2, later_us, fails_after_us);
    EXPECT_EQ(mb_attribution_cause(&work, later_us), MB_CAUSE_WORKERS);
    mb_attribution_failed(&work, 1, later_us + 1, fails_after_us);
    EXPECT_EQ(mb_attribution_cause(&work, later_us), MB_CAUSE_WORK);
    mb_attribution_survived(&work, start_us, 60 * second_us);
    EXPECT_EQ(mb_attribution_cause(&work, later_us), MB_CAUSE_WORK);
}

/* Guards against work that is never blamed because all its failures were on
   workers that are faulty or the only ones it may run on. */
TEST(Attribution, WorkIsDoubtedOnFaultyWorkersAndRefutedOnSoundOnes)
{
    mb_attribution_t work = make_failed(0);
    mb_attribution_failed_on_faulty(&work);
    EXPECT_EQ(mb_attribution_cause(&work, failed_us), MB_CAUSE_UNCLEAR);
    mb_attribution_refuted(&work);
    EXPECT_EQ(mb_attribution_cause(&work, failed_us), MB_CAUSE_WORK);
    mb_attribution_worked(&work, start_us);
    EXPECT_EQ(mb_attribution_cause(&work, failed_us), MB_CAUSE_NONE);
}
