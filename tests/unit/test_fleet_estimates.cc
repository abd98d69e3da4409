/* Tests of the objectives and the remaining times of jobs, in the simulation
   of a fleet. */
#include <gtest/gtest.h>

#include "fleet_stragglers.h"

/* A job was counted as late, and put behind all others, because one of its
   tasks took seven times as long as the rest: its objective is that much
   longer. */
TEST(FleetEstimates, AJobWithALongTaskAtWorkIsNotLate)
{
    TenTasks test(600);
    test.prolong(3, 3600);
    for (int i = 0; i < 19; i++) {
        test.simulation.advance(200);
        ASSERT_EQ(test.simulation.outcome(job_id), MB_DAG_OPEN);
        EXPECT_FALSE(test.is_late()) << i;
        EXPECT_GT(test.job->remaining_us, 0u);
    }
    EXPECT_GE(test.job->objective_us, 7000000u);
}

/* The longest finished task of a step was forgotten once the next step ran. */
TEST(FleetEstimates, TheLongestFinishedTaskCounts)
{
    TenTasks test(600, 2);
    test.prolong(3, 3600);
    test.simulation.advance(5000);
    ASSERT_EQ(mb_dag_unfinished(test.job, 0, 0), 0u);
    EXPECT_NEAR(test.job->step_times[0].longest_ms, 4200, 200);
    EXPECT_GE(test.job->objective_us, 2 * 4800000u);
    EXPECT_FALSE(test.is_late());
    EXPECT_LT(test.remaining_ms(), 2500u);
}

/* Tasks that have been at work for longer than was declared were still
   expected to take the declared time. */
TEST(FleetEstimates, TasksAtWorkShowThatTheDeclaredTimeIsTooShort)
{
    TenTasks test(5000, 2);
    test.simulation.advance(3000);
    EXPECT_GT(test.remaining_ms(), 2000u);
    EXPECT_GT(test.job->objective_us, 2 * 5000000u);
    /* Ten tasks of more than 2 s on one processor. */
    EXPECT_GT(test.job->remaining_work, 10u * 2000 * 1000);
}

/* A step with a waiting task was expected to end with the ones at work. */
TEST(FleetEstimates, AWaitingTaskNeedsAWholeRunTime)
{
    TenTasks test(600);
    test.simulation.advance(500);
    ASSERT_EQ(test.simulation.running(), 10u);
    EXPECT_LT(test.remaining_ms(), 600u);
    test.simulation.machines[0]->worker.runs[0].fails = true;
    test.simulation.machines[0]->worker.runs[0].end_ms -= 100;
    for (int i = 0; i < 40 && test.job->running == 10; i++) {
        test.simulation.tick();
    }
    mb_dag_task(test.job, 0, 0, 0)->not_before_us = UINT64_MAX;
    test.job->estimated_us = 0;
    mb_fleet_estimate_job(&test.simulation.fleet, test.job);
    EXPECT_GE(test.remaining_ms(), 600u);
}

/* Guards against steps to come that are estimated without the stragglers that
   their queue has shown. */
TEST(FleetEstimates, TheSpreadOfAQueueIsLearnedFromItsSteps)
{
    TenTasks test(600);
    const mb_run_time_t *times = &test.simulation.fleet.run_times;
    uint64_t key = mb_str_hash(MB_STR_LIT("queue"));
    double before_ms = mb_run_time_longest_ms(
        times, mb_run_time_find(times, key), 600, 10, 0);
    test.prolong(3, 3600);
    test.simulation.advance(5000);
    ASSERT_EQ(test.simulation.outcome(job_id), MB_DAG_COMPLETED);
    double after_ms = mb_run_time_longest_ms(
        times, mb_run_time_find(times, key), 600, 10, 0);
    EXPECT_GT(after_ms, 2 * before_ms);
}
