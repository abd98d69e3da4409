/* Tests of the second runs of stragglers, in the simulation of a fleet. */
#include <gtest/gtest.h>

#include "fleet_stragglers.h"

/* A speculative job whose task 3 takes seven times as long as the others, and
   the workers report no progress but the straggler's. */
struct Straggler : TenTasks {
    static const uint32_t INDEX = 3;

    explicit Straggler(bool speculative = true, uint64_t by_ms = 3600)
        : TenTasks(600, 1, speculative)
    {
        simulation.reported_progress = [](const FakeWorker &worker,
                                          const FakeWorker::Run &run) {
            uint64_t left_ms = run.end_ms - worker.clock_ms();
            return left_ms >= 4200 ? 0 : (uint32_t)(100 - left_ms / 42);
        };
        prolong(INDEX, by_ms);
    }

    const mb_fleet_counts_t &counts() const
    {
        return simulation.fleet.counts;
    }

    /* Advances until the straggler has two runs. */
    bool wait_for_copy()
    {
        for (int i = 0; i < 800 && runs_of(INDEX) < 2; i++) {
            simulation.tick();
        }
        return runs_of(INDEX) == 2;
    }

    /* Has all workers full of tasks of another job, with one that waits. */
    void fill_fleet(mb_dag_step_t *step, uint32_t priority)
    {
        mb_dag_spec_t spec = one_step_job(step, "bbbbbbbbbbbbbbbb", 40, 1000);
        spec.policy.priority = priority;
        spec.submitted_ms = simulation.now_us / 1000;
        simulation.job_task_ms["bbbbbbbbbbbbbbbb"] = 60000;
        simulation.submit(spec);
    }

    mb_dag_task_t *task() const
    {
        return mb_dag_task(job, 0, 0, INDEX);
    }
};

/* A step waited for its one straggler while workers were idle. */
TEST(FleetCopies, AStepEndsWhenTheCopyOfItsStragglerEnds)
{
    Straggler test;
    ASSERT_TRUE(test.wait_for_copy());
    EXPECT_EQ(test.counts().copies_started, 1u);
    EXPECT_NE(test.task()->runs[0].worker, test.task()->runs[1].worker);
    test.simulation.advance(1000);
    EXPECT_EQ(test.simulation.outcome(job_id), MB_DAG_COMPLETED);
    EXPECT_LT(test.simulation.now_us / 1000, 16600u);
    test.simulation.advance(500);
    EXPECT_EQ(test.simulation.running(), 0u);
    EXPECT_EQ(test.counts().copies_won, 1u);
    EXPECT_EQ(test.counts().copies_ended, 1u);
    expect_no_violations(test.simulation);
}

/* Guards against second runs that no one has allowed. */
TEST(FleetCopies, NoCopyOfAStepThatDoesNotAllowIt)
{
    Straggler test(false);
    test.simulation.advance(5000);
    EXPECT_EQ(test.simulation.outcome(job_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.counts().copies_started, 0u);
    expect_no_violations(test.simulation);
}

/* Guards against copies that take the room of work that waits, and against
   work of a lower priority that keeps copies from idle room. */
TEST(FleetCopies, WaitingTasksOfTheSamePriorityComeFirst)
{
    for (uint32_t priority : {0, 1}) {
        Straggler test;
        mb_dag_step_t step;
        test.fill_fleet(&step, priority);
        test.simulation.advance(1100);
        for (auto &run : test.simulation.machines[0]->worker.runs) {
            /* Room for one task, which the other job also waits for. */
            run.end_ms = run.task.index == Straggler::INDEX ? run.end_ms : 0;
        }
        test.simulation.advance(600);
        EXPECT_EQ(test.counts().copies_started, 0u) << priority;
        expect_no_violations(test.simulation);
    }
}

/* Guards against copies that take the room of waiting tasks for which it is
   too small: gangs, for instance, which wait until enough of it is free. */
TEST(FleetCopies, RoomIsKeptForAWaitingGangOfTheSamePriority)
{
    for (uint32_t priority : {0, 1}) {
        Straggler test;
        mb_dag_step_t step;
        mb_dag_spec_t spec = one_step_job(&step, "bbbbbbbbbbbbbbbb", 40, 1000);
        step.gang = true;
        spec.policy.priority = priority;
        test.simulation.submit(spec);
        test.simulation.advance(2500);
        EXPECT_EQ(test.counts().copies_started, priority) << priority;
    }
}

/* Guards against more copies than a small share of the fleet, and against any
   for tasks that all take longer than declared. */
TEST(FleetCopies, AreFewAndNoneWhenAllTasksAreLong)
{
    Straggler test;
    test.prolong(7, 3600);
    test.prolong(8, 3600);
    test.simulation.advance(1900);
    EXPECT_EQ(test.counts().copies_started, 1u);
    TenTasks slow(2500, 1, true);
    slow.simulation.advance(3000);
    EXPECT_EQ(slow.simulation.outcome(job_id), MB_DAG_COMPLETED);
    EXPECT_EQ(slow.simulation.fleet.counts.copies_started, 0u);
}

/* The older of two runs was stopped by a new owner that had the report of the
   newer one first. */
TEST(FleetCopies, ANewOwnerAdoptsBoth)
{
    for (uint32_t late : {0, 1}) {
        Straggler test;
        ASSERT_TRUE(test.wait_for_copy());
        test.simulation.advance(100);
        Machine &machine =
            *test.simulation.machines[test.task()->runs[late].worker];
        test.prolong(Straggler::INDEX, 3000);
        test.simulation.fail_over(true);
        test.simulation.disconnect(machine);
        test.simulation.advance(800);
        test.simulation.connect(machine);
        test.simulation.advance(800);
        EXPECT_EQ(test.runs_of(Straggler::INDEX), 2u) << late;
        test.simulation.advance(4000);
        EXPECT_EQ(test.simulation.outcome(job_id), MB_DAG_COMPLETED);
        EXPECT_EQ(test.simulation.running(), 0u);
        expect_no_violations(test.simulation);
    }
}

/* Two successes that are reported at the same time both counted. */
TEST(FleetCopies, OneOfTwoSuccessesAtOnceCounts)
{
    Straggler test;
    ASSERT_TRUE(test.wait_for_copy());
    test.simulation.advance(300);
    for (auto &machine : test.simulation.machines) {
        for (auto &run : machine->worker.runs) {
            run.end_ms = machine->worker.clock_ms() + 50;
        }
    }
    test.simulation.advance(800);
    EXPECT_EQ(test.simulation.outcome(job_id), MB_DAG_COMPLETED);
    EXPECT_EQ(mb_dag_unfinished(test.job, 0, 0), 0u);
    EXPECT_EQ(test.counts().end_effects[MB_FLEET_END_COUNTED], 10u);
    EXPECT_EQ(test.counts().copies_ended, 1u);
    EXPECT_EQ(test.simulation.running(), 0u);
    expect_no_violations(test.simulation);
}

/* A copy that failed was not counted as an attempt, or ended the other run. */
TEST(FleetCopies, AFailedCopyCountsOnceAndTheOtherRunGoesOn)
{
    Straggler test;
    ASSERT_TRUE(test.wait_for_copy());
    Machine &machine = *test.simulation.machines[test.task()->runs[1].worker];
    for (auto &run : machine.worker.runs) {
        run.fails = run.task.index == Straggler::INDEX;
        run.end_ms = machine.worker.clock_ms() + 50;
    }
    test.simulation.advance(500);
    EXPECT_EQ(test.task()->failures, 1u);
    EXPECT_EQ(test.simulation.outcome(job_id), MB_DAG_OPEN);
    EXPECT_GE(test.runs_of(Straggler::INDEX), 1u);
    test.simulation.advance(4000);
    EXPECT_EQ(test.simulation.outcome(job_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.task()->failures, 1u);
    expect_no_violations(test.simulation);
}
