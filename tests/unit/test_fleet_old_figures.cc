/* Tests that the owner decides nothing on figures of runs that an agent only
   repeats, because its worker does not answer. */
#include <gtest/gtest.h>

#include "fleet_histories.h"

static const char *const job_id = "0123456789abcdef";
static const char *const service_id = "aaaaaaaaaaaaaaaa";

/* Runs were stopped, and workers suspended, when a worker had not answered its
   agent for 2 s. */
TEST(FleetOldFigures, RunsOfASilentWorkerAreNotStalled)
{
    FleetSimulation simulation(2);
    mb_dag_step_t step;
    simulation.task_ms = 20000;
    simulation.fail_over();
    simulation.advance(2500);
    simulation.submit(one_step_job(&step, job_id, 4, 1000));
    simulation.advance(2000);
    for (auto &machine : simulation.machines) {
        machine->worker.is_cut = true;
    }
    simulation.advance(3500);
    for (auto &machine : simulation.machines) {
        machine->worker.is_cut = false;
    }
    simulation.advance(3000);
    EXPECT_EQ(simulation.fleet.counts.stalls, 0u);
    EXPECT_EQ(simulation.running(), 4u);
    for (const auto &item : simulation.starts) {
        EXPECT_EQ(item.second, 1u) << item.first;
    }
    expect_no_violations(simulation);
}

/* A stalled run went on for as long as its worker's answers had gaps. */
TEST(FleetOldFigures, StalledRunIsStoppedAfterAGap)
{
    FleetSimulation simulation(2);
    mb_dag_step_t step;
    simulation.task_ms = 20000;
    simulation.fail_over();
    simulation.advance(2500);
    simulation.submit(one_step_job(&step, job_id, 1, 1000));
    simulation.advance(1000);
    for (auto &machine : simulation.machines) {
        machine->worker.stalled = true;
        machine->worker.is_cut = true;
    }
    simulation.advance(3500);
    for (auto &machine : simulation.machines) {
        machine->worker.is_cut = false;
    }
    simulation.advance(1500);
    EXPECT_EQ(simulation.fleet.counts.stalls, 0u);
    simulation.advance(2000);
    EXPECT_EQ(simulation.fleet.counts.stalls, 1u);
    expect_no_violations(simulation);
}

/* The headroom model took a latency that was repeated for further samples, and
   learned the effect of best-effort work from them. */
TEST(FleetOldFigures, LatenciesOfASilentWorkerAreNotLearned)
{
    FleetSimulation simulation(1);
    mb_dag_step_t steps[2];
    simulation.task_ms = 60000;
    report_latencies(simulation, "batch");
    simulation.fail_over();
    simulation.advance(2500);
    simulation.submit(service_job(&steps[0], service_id, 1000));
    simulation.submit(best_effort_job(&steps[1], job_id, 1, "batch"));
    simulation.advance(3000);
    simulation.machines[0]->worker.is_cut = true;
    simulation.advance(1000);
    guint samples = simulation.fleet.headroom_model.samples.length;
    EXPECT_GT(samples, 0u);
    simulation.advance(3000);
    EXPECT_EQ(simulation.fleet.headroom_model.samples.length, samples);
    simulation.machines[0]->worker.is_cut = false;
    simulation.advance(2000);
    EXPECT_GT(simulation.fleet.headroom_model.samples.length, samples);
    expect_no_violations(simulation);
}
