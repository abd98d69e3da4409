/* Tests of the health state of workers. */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

extern "C" {
#include "mb_health.h"
}

/* Guards against a worker that gets more than ten starts although all of them
   fail, in whatever order starts and late failures come. */
RC_GTEST_PROP(Health, SuspendsWithinTenStarts,
              (const std::vector<bool> &steps))
{
    mb_health_t health;
    std::vector<uint64_t> open;
    uint64_t now = 1;
    int starts = 0;
    mb_health_init(&health);
    for (bool start : steps) {
        now += MB_HEALTH_PROVEN_US / 1000;
        if (start && mb_health_allows_start(&health, now)) {
            mb_health_started(&health, now);
            open.push_back(now);
            starts += health.state == MB_HEALTH_HEALTHY;
        }
        else if (!start && !open.empty()) {
            mb_health_failed(&health, open.front(), now);
            open.erase(open.begin());
        }
    }
    RC_ASSERT(starts <= MB_HEALTH_UNPROVEN_MAX);
}

static void
suspend(mb_health_t *health, uint64_t now)
{
    mb_health_init(health);
    for (int i = 0; i < MB_HEALTH_FAILURES_MAX; i++) {
        mb_health_started(health, now);
        mb_health_failed(health, now, now);
    }
    ASSERT_EQ(health->state, MB_HEALTH_SUSPENDED);
}

/* Guards against a worker that stays suspended because its probe is a service,
   which runs on without reporting a success. */
TEST(Health, AProbeThatRunsOnProvesTheWorker)
{
    mb_health_t health;
    uint64_t now = 1000;
    suspend(&health, now);
    now += MB_HEALTH_PROBE_FIRST_US;
    ASSERT_FALSE(mb_health_suspended(&health, now));
    mb_health_started(&health, now);
    EXPECT_TRUE(mb_health_suspended(&health, now + MB_HEALTH_PROVEN_US / 2));
    now += MB_HEALTH_PROVEN_US;
    EXPECT_FALSE(mb_health_suspended(&health, now));
    mb_health_started(&health, now);
    EXPECT_EQ(health.state, MB_HEALTH_HEALTHY);
    mb_health_failed(&health, now, now + 1);
    EXPECT_EQ(health.state, MB_HEALTH_HEALTHY);
}

/* Guards against parallel probes, probes at a constant rate, and a worker that
   stays suspended although it is healthy again. */
TEST(Health, ProbesAtGrowingIntervalsAndRestores)
{
    mb_health_t health;
    uint64_t now = 1000;
    suspend(&health, now);
    uint64_t last_wait = 0;
    for (int i = 0; i < 4; i++) {
        uint64_t failed = now;
        while (!mb_health_allows_start(&health, now)) {
            now += 1000;
        }
        EXPECT_GT(now - failed, last_wait);
        last_wait = now - failed;
        mb_health_started(&health, now);
        EXPECT_FALSE(
            mb_health_allows_start(&health, now + MB_HEALTH_PROBE_MAX_US));
        mb_health_failed(&health, now, now);
    }
    now += MB_HEALTH_PROBE_MAX_US;
    ASSERT_TRUE(mb_health_allows_start(&health, now));
    mb_health_started(&health, now);
    mb_health_succeeded(&health, now);
    EXPECT_EQ(health.state, MB_HEALTH_HEALTHY);
    EXPECT_TRUE(mb_health_allows_start(&health, now));
}

/* Guards against late outcomes of starts from before the suspension that
   restore the worker or count as the outcome of a probe. */
TEST(Health, IgnoresOutcomesFromBeforeTheSuspension)
{
    mb_health_t health;
    suspend(&health, 1000);
    mb_health_succeeded(&health, 500);
    EXPECT_EQ(health.state, MB_HEALTH_SUSPENDED);
    uint64_t now = 1000 + MB_HEALTH_PROBE_FIRST_US;
    mb_health_started(&health, now);
    mb_health_failed(&health, 500, now);
    EXPECT_EQ(health.state, MB_HEALTH_PROBING);
}

/* Guards against a healthy worker with long tasks that gets no further
   starts. */
TEST(Health, AllowsMoreStartsOnceTheFirstHaveRunForAWhile)
{
    mb_health_t health;
    mb_health_init(&health);
    for (int i = 0; i < MB_HEALTH_UNPROVEN_MAX; i++) {
        ASSERT_TRUE(mb_health_allows_start(&health, 1));
        mb_health_started(&health, 1);
    }
    EXPECT_FALSE(mb_health_allows_start(&health, 2));
    EXPECT_TRUE(mb_health_allows_start(&health, 1 + MB_HEALTH_PROVEN_US));
}

/* Guards against a worker that gets no further starts after one failure,
   because its other tasks are services and never report a success. */
TEST(Health, OneFailureAmongLongTasksDoesNotBlockForGood)
{
    mb_health_t health;
    mb_health_init(&health);
    for (int i = 0; i < MB_HEALTH_UNPROVEN_MAX; i++) {
        mb_health_started(&health, 1);
    }
    mb_health_failed(&health, 1, 2);
    EXPECT_FALSE(mb_health_allows_start(&health, 1 + MB_HEALTH_PROVEN_US));
    EXPECT_TRUE(mb_health_allows_start(&health,
                                       1 + MB_HEALTH_PROVEN_AFTER_FAILURE_US));
}

/* Guards against a faulty worker that still gets starts, because tasks that it
   started before it became faulty succeed. */
TEST(Health, AnOldSuccessDoesNotProveLaterStarts)
{
    mb_health_t health;
    mb_health_init(&health);
    mb_health_started(&health, 1);
    for (uint64_t now = 2; now < 2 + MB_HEALTH_FAILURES_MAX; now++) {
        mb_health_started(&health, now);
        mb_health_failed(&health, now, now);
        mb_health_succeeded(&health, 1);
    }
    EXPECT_EQ(health.state, MB_HEALTH_SUSPENDED);
}

static const uint64_t bad_work = 1;
static const uint64_t good_work = 2;

/* Guards against a worker that is suspended for the failures of faulty work,
   or stays so when they turn out to be that, and against a worker that is
   excused for good. */
TEST(Health, ExcusedFailuresDoNotSuspend)
{
    mb_health_t health;
    mb_health_init(&health);
    for (int i = 0; i < 2 * MB_HEALTH_FAILURES_KEPT; i++) {
        mb_health_started(&health, 1);
        mb_health_work_failed(&health, bad_work, MB_CAUSE_WORK, 1, 2);
        EXPECT_TRUE(mb_health_allows_start(&health, 2));
    }
    mb_health_set_excused(&health, bad_work, false, 3);
    EXPECT_EQ(health.state, MB_HEALTH_SUSPENDED);
    mb_health_set_excused(&health, bad_work, true, 4);
    EXPECT_EQ(health.state, MB_HEALTH_HEALTHY);
    EXPECT_EQ(health.consecutive_failures, 0u);
}

/* Guards against a faulty worker that is restored when failures of one piece
   of work are excused, although it fails others too. */
TEST(Health, FailuresOfOtherWorkStillSuspend)
{
    mb_health_t health;
    mb_health_init(&health);
    mb_health_work_failed(&health, bad_work, MB_CAUSE_UNCLEAR, 1, 2);
    for (int i = 0; i < MB_HEALTH_FAILURES_MAX; i++) {
        mb_health_work_failed(&health, good_work, MB_CAUSE_WORKERS, 1, 2);
    }
    ASSERT_EQ(health.state, MB_HEALTH_SUSPENDED);
    EXPECT_TRUE(mb_health_is_suspended_by_others(&health, bad_work));
    EXPECT_FALSE(mb_health_is_suspended_by_others(&health, good_work));
    mb_health_set_excused(&health, bad_work, true, 3);
    EXPECT_EQ(health.state, MB_HEALTH_SUSPENDED);
}

/* Guards against work that waits for minutes for a worker, because probes with
   other work that may be at fault have failed there. */
TEST(Health, ProbesWithDoubtfulWorkKeepTheIntervalShort)
{
    mb_health_t health;
    uint64_t now = 1000;
    suspend(&health, now);
    for (int i = 0; i < 10; i++) {
        now = health.next_probe_us;
        ASSERT_TRUE(mb_health_is_probe_due(&health, now));
        mb_health_started(&health, now);
        mb_health_work_failed(&health, bad_work, MB_CAUSE_UNCLEAR, now, now);
        EXPECT_LE(health.next_probe_us - now, MB_HEALTH_PROBE_UNCLEAR_MAX_US);
    }
}

/* Guards against failures that are counted wrongly as starts fail, succeed and
   are excused in any order. */
RC_GTEST_PROP(Health, CountsTheFailuresThatAreNotExcused,
              (const std::vector<uint8_t> &steps))
{
    mb_health_t health;
    uint64_t now = 1;
    mb_health_init(&health);
    for (uint8_t step : steps) {
        uint64_t source = 1 + step % 3;
        uint64_t started = now - (step / 12) % 4;
        now += 1000;
        switch ((step / 3) % 4) {
        case 0:
            mb_health_work_failed(&health, source, MB_CAUSE_WORK, started,
                                  now);
            break;
        case 1:
            mb_health_succeeded(&health, started);
            break;
        case 2:
            mb_health_set_excused(&health, source, step >= 128, now);
            break;
        default:
            mb_health_work_failed(&health, source, MB_CAUSE_UNCLEAR, started,
                                  now);
        }
        uint32_t charged = mb_health_count_failures(&health, UINT64_MAX);
        RC_ASSERT(charged == health.consecutive_failures);
        RC_ASSERT(health.failure_count <= MB_HEALTH_FAILURES_KEPT);
        RC_ASSERT((health.state == MB_HEALTH_HEALTHY) ==
                  (charged < MB_HEALTH_FAILURES_MAX));
    }
}
