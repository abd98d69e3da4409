/* Tests of when a run counts as stalled, in the simulation of a fleet. */
#include <gtest/gtest.h>

#include "fleet_histories.h"

static const char *const job_id = "aaaaaaaaaaaaaaaa";

/* Has workers report the whole percent that their runs have done. */
static void
report_whole_percents(FleetSimulation &simulation)
{
    simulation.reported_progress = [&simulation](const FakeWorker &worker,
                                                 const FakeWorker::Run &run) {
        uint64_t left_ms = run.end_ms - worker.clock_ms();
        return (uint32_t)(100 - left_ms * 100 / simulation.task_ms);
    };
}

/* Runs a job of four tasks on two workers. Returns the number of runs that
   were stopped as stalled. */
static uint64_t
run_job(uint32_t estimate_ms, uint32_t actual_ms)
{
    FleetSimulation simulation(2);
    mb_dag_step_t step;
    simulation.task_ms = actual_ms;
    report_whole_percents(simulation);
    simulation.fail_over();
    simulation.advance(2500);
    mb_dag_spec_t spec = one_step_job(&step, job_id, 4, 1000);
    step.estimate_ms = estimate_ms;
    simulation.submit(spec);
    simulation.advance(actual_ms + 4000);
    EXPECT_EQ(simulation.outcome(job_id), MB_DAG_COMPLETED)
        << estimate_ms << " " << actual_ms;
    expect_no_violations(simulation);
    return simulation.fleet.counts.stalls;
}

/* Guards against long tasks that are stopped again and again because their
   whole percent doesn't change for seconds. */
TEST(FleetStalls, TasksThatTakeFourTimesTheirEstimateAreNotStalled)
{
    for (uint32_t actual_ms : {1000, 10000, 60000, 240000, 600000, 3600000}) {
        EXPECT_EQ(run_job(actual_ms / 4, actual_ms), 0u) << actual_ms;
        EXPECT_EQ(run_job(actual_ms, actual_ms), 0u) << actual_ms;
    }
}

/* Guards against the same on a worker that is slow. */
TEST(FleetStalls, TasksOnASlowWorkerAreNotStalled)
{
    for (uint32_t estimate_ms : {1000, 5000, 60000, 240000}) {
        EXPECT_EQ(run_job(estimate_ms, estimate_ms * 8), 0u) << estimate_ms;
    }
}

/* Guards against a task that never ends because it is stopped in each attempt,
   by an estimate that is far too short. */
TEST(FleetStalls, EachStalledAttemptGetsMoreTime)
{
    FleetSimulation simulation(2);
    mb_dag_step_t step;
    simulation.task_ms = 1200000;
    report_whole_percents(simulation);
    simulation.fail_over();
    simulation.advance(2500);
    simulation.submit(one_step_job(&step, job_id, 4, 1000));
    simulation.advance(simulation.task_ms + 120000);
    EXPECT_EQ(simulation.outcome(job_id), MB_DAG_COMPLETED);
}

/* Guards against a stuck worker that keeps its runs for longer than it does
   any good, with tasks of seconds and of a minute. */
TEST(FleetStalls, RunsOfAStuckWorkerAreStoppedInTime)
{
    for (uint32_t task_ms : {300, 4000, 20000, 60000}) {
        FleetSimulation simulation(2);
        mb_dag_step_t step;
        simulation.task_ms = task_ms;
        report_whole_percents(simulation);
        simulation.fail_over();
        simulation.advance(2500);
        simulation.machines[0]->worker.stalled = true;
        mb_dag_spec_t spec = one_step_job(&step, job_id, 6, 600);
        step.estimate_ms = task_ms;
        simulation.submit(spec);
        uint64_t usual_ms = 2000;
        uint64_t ten_percent_ms = task_ms / 10;
        simulation.advance(std::max(usual_ms, ten_percent_ms) + 1000);
        EXPECT_GE(simulation.fleet.counts.stalls, 3u) << task_ms;
        simulation.advance(2 * task_ms + 2000);
        EXPECT_EQ(simulation.outcome(job_id), MB_DAG_COMPLETED) << task_ms;
    }
}
