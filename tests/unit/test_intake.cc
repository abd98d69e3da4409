/* Tests of the budget of unfinished requests. */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

extern "C" {
#include "mb_intake.h"
}

static constexpr uint64_t kMiB = 1024 * 1024;
/* The smallest machine, and a connection without a body. */
static constexpr uint64_t kMemory = 160 * kMiB;
static constexpr uint64_t kDescriptors = 4100;
static constexpr uint64_t kConnection = MB_INTAKE_CONNECTION_BYTES;

class Intake : public ::testing::Test {
  protected:
    void SetUp() override
    {
        ASSERT_TRUE(mb_intake_derive(&limits, kMemory, kDescriptors, 0, 3000));
        limits.calm = {75000, 60000, 15000, 300000, 300000};
        mb_intake_init(&intake, &limits);
    }
    /* Draws a body in the steps in which a buffer doubles; false if refused.
     */
    bool drawBody(uint64_t size)
    {
        uint64_t held = kConnection;
        mb_intake_open(&intake, kConnection);
        for (uint64_t cap = 0, next = 1024; cap < size;
             cap = next, next = std::min(2 * next, size)) {
            if (!mb_intake_draw(&intake, held, next - cap)) {
                return false;
            }
            held += next - cap;
        }
        return true;
    }
    /* Fills the budget for large bodies. */
    void exhaust()
    {
        for (int i = 0; i < 1000 && drawBody(kMiB); i++) {
        }
        for (uint64_t size = kMiB; size >= 1024; size /= 2) {
            for (int i = 0; i < 1000 && mb_intake_draw(&intake, kMiB, size);
                 i++) {
            }
        }
    }
    mb_intake_reason_t judge(mb_intake_phase_t phase, uint64_t age_ms,
                             uint64_t stalled_ms)
    {
        mb_intake_holder_t holder = {phase, kMiB, 1000000 - age_ms,
                                     1000000 - stalled_ms};
        mb_intake_pressure_t pressure = mb_intake_pressure(&intake);
        return mb_intake_judge(&intake, &holder, &pressure, 1000000);
    }
    mb_intake_limits_t limits = {};
    mb_intake_t intake = {};
};

/* Guards against limits that refuse ordinary clients on the smallest machine:
   a hundred requests of the largest size at once, and the connections that
   deployments have. */
TEST_F(Intake, OrdinaryClientsFitOnTheSmallestMachine)
{
    EXPECT_EQ(limits.connections_max, 3000u);
    for (int i = 0; i < 100; i++) {
        EXPECT_TRUE(drawBody(kMiB)) << i;
    }
}

/* Guards against a budget larger than the memory, and against a start without
   room for clients. */
TEST_F(Intake, ImpossibleLimitsAreRejected)
{
    mb_intake_limits_t other = {};
    EXPECT_FALSE(mb_intake_derive(&other, kMemory, 64, 0, 3000));
    EXPECT_FALSE(mb_intake_derive(&other, kMemory, kDescriptors, kMiB, 3000));
    EXPECT_FALSE(
        mb_intake_derive(&other, kMemory, kDescriptors, kMemory, 3000));
    EXPECT_TRUE(mb_intake_derive(&other, kMemory, 1024, 0, 3000));
    EXPECT_LT(other.connections_max * 17 / 16, 1024u - 64);
}

/* Guards against bodies that hold more than the budget, and against small
   requests that are refused because of large ones. */
TEST_F(Intake, LargeBodiesLeaveRoomForSmallRequests)
{
    exhaust();
    EXPECT_LE(intake.bytes, limits.bytes_max);
    EXPECT_FALSE(drawBody(kMiB));
    EXPECT_TRUE(mb_intake_admits(&intake, kConnection));
    EXPECT_TRUE(drawBody(16 * 1024));
}

/* Guards against a slow client that is cut while there is room, and one that
   is not cut when there is none. */
TEST_F(Intake, TimesAreGenerousWhileThereIsRoom)
{
    EXPECT_EQ(judge(MB_INTAKE_BODY, 200000, 10000), MB_INTAKE_ALLOWED);
    EXPECT_EQ(judge(MB_INTAKE_HEAD, 50000, 50000), MB_INTAKE_ALLOWED);
    EXPECT_EQ(judge(MB_INTAKE_IDLE, 15000, 15000), MB_INTAKE_ALLOWED);
    EXPECT_EQ(judge(MB_INTAKE_BODY, 400000, 0), MB_INTAKE_SLOW_REQUEST);
    EXPECT_EQ(judge(MB_INTAKE_HEAD, 61000, 0), MB_INTAKE_SLOW_HEAD);
    exhaust();
    EXPECT_EQ(judge(MB_INTAKE_IDLE, 15000, 15000), MB_INTAKE_ALLOWED);
    EXPECT_EQ(judge(MB_INTAKE_BODY, 5000, 4000), MB_INTAKE_STALLED);
    EXPECT_EQ(judge(MB_INTAKE_BODY, 100000, 0), MB_INTAKE_SLOW_REQUEST);
    EXPECT_EQ(judge(MB_INTAKE_HEAD, 20000, 0), MB_INTAKE_SLOW_HEAD);
    EXPECT_EQ(judge(MB_INTAKE_RESPONSE, 100000, 0), MB_INTAKE_UNREAD);
}

/* Guards against a request that is cut after it was passed to its handler. */
TEST_F(Intake, RunningRequestsAreNeverCut)
{
    exhaust();
    mb_intake_holder_t holder = {MB_INTAKE_RUNNING, kMiB, 0, 0};
    EXPECT_EQ(judge(MB_INTAKE_RUNNING, 900000, 900000), MB_INTAKE_ALLOWED);
    EXPECT_EQ(mb_intake_rank(&holder, true, 1000000), 0u);
}

/* Guards against a planned stop that cuts the response of a request that has
   run, because its client reads slowly. */
TEST_F(Intake, DrainingLeavesTimeForResponses)
{
    intake.draining = 1;
    EXPECT_EQ(judge(MB_INTAKE_RESPONSE, 30000, 30000), MB_INTAKE_ALLOWED);
    EXPECT_EQ(judge(MB_INTAKE_BODY, 3000, 3000), MB_INTAKE_STALLED);
    exhaust();
    EXPECT_EQ(judge(MB_INTAKE_RESPONSE, 30000, 30000), MB_INTAKE_UNREAD);
}

/* Guards against closing a client that makes progress before one that holds
   memory without any, and idle clients when memory is short. */
TEST_F(Intake, TheLongestWithoutProgressAndTheLargestGoFirst)
{
    mb_intake_holder_t active = {MB_INTAKE_BODY, kMiB, 0, 99900};
    mb_intake_holder_t stalled = {MB_INTAKE_BODY, kMiB, 0, 98000};
    mb_intake_holder_t small = {MB_INTAKE_BODY, kConnection, 0, 98000};
    mb_intake_holder_t idle = {MB_INTAKE_IDLE, kConnection, 0, 90000};
    EXPECT_EQ(mb_intake_rank(&active, false, 100000), 0u);
    EXPECT_GT(mb_intake_rank(&stalled, false, 100000),
              mb_intake_rank(&small, false, 100000));
    EXPECT_GT(mb_intake_rank(&small, false, 100000), 0u);
    EXPECT_EQ(mb_intake_rank(&idle, false, 100000), 0u);
    EXPECT_GT(mb_intake_rank(&idle, true, 100000), 0u);
}

/* Guards against a Retry-After that states a time before there is room. */
TEST_F(Intake, ForecastFollowsWhatIsAboutToEnd)
{
    mb_intake_forecast_t forecast = {};
    mb_intake_holder_t holder = {MB_INTAKE_BODY, 20 * kMiB, 93000, 99900};
    mb_intake_forecast_apply(&forecast, &intake);
    EXPECT_EQ(intake.retry_after_s, MB_INTAKE_FORECAST_S);
    mb_intake_forecast_add(&forecast, &holder, 100000);
    mb_intake_forecast_apply(&forecast, &intake);
    EXPECT_EQ(intake.retry_after_s, 4u);
    holder.progress_ms = 98000;
    mb_intake_forecast_add(&forecast, &holder, 100000);
    mb_intake_forecast_apply(&forecast, &intake);
    EXPECT_EQ(intake.retry_after_s, 1u);
}

/* Guards against bytes that are counted twice or never returned. */
RC_GTEST_PROP(IntakeProperty, AmountsReturnToZero, ())
{
    mb_intake_limits_t limits = {};
    mb_intake_t intake;
    limits.bytes_max = 8 * kMiB;
    limits.connections_max = 100;
    mb_intake_init(&intake, &limits);
    auto sizes = *rc::gen::container<std::vector<uint64_t>>(
        rc::gen::inRange<uint64_t>(1, kMiB));
    std::vector<uint64_t> drawn;
    for (uint64_t size : sizes) {
        if (mb_intake_draw(&intake, 0, size)) {
            drawn.push_back(size);
        }
        RC_ASSERT(intake.bytes <= limits.bytes_max);
    }
    for (uint64_t size : drawn) {
        mb_intake_release(&intake, size);
    }
    RC_ASSERT(intake.bytes == 0u);
}
