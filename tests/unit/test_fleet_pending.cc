/* The number of jobs of which no task has begun, as every scheduler counts it
   from the stored progress. */
#include <gtest/gtest.h>

#include "fleet_histories.h"

static const char *const job_id = "0123456789abcdef";

/* Returns the number of open jobs whose stored progress doesn't say that a
   task has begun. */
static uint32_t
count_pending(FleetSimulation &simulation)
{
    uint32_t pending = 0;
    for (const auto &job : simulation.jobs) {
        auto stored = simulation.progress.find(job.first);
        if (stored == simulation.progress.end()) {
            pending++;
            continue;
        }
        mb_dag_record_t record;
        std::string key = "s" + job.first;
        EXPECT_TRUE(mb_dag_record_decode(
            &simulation.record_decoder, {key.data(), key.size()},
            {stored->second.data(), stored->second.size()}, &record, nullptr));
        pending += record.body.progress.outcome == MB_DAG_OPEN &&
                   !record.body.progress.started;
    }
    return pending;
}

/* Makes the first owner of a fleet, with tasks of a minute. */
static void
become_ready(FleetSimulation &simulation)
{
    simulation.task_ms = 60000;
    simulation.fail_over();
    simulation.advance(2500);
}

/* Guards against a job that counts as begun although its start got no answer
   and is carried out later. */
TEST(FleetPending, AJobWhoseStartIsUnansweredHasNotBegun)
{
    FleetSimulation simulation(2);
    mb_dag_step_t step;
    become_ready(simulation);
    for (auto &machine : simulation.machines) {
        machine->worker.start_faults = {'d'};
    }
    simulation.submit(one_step_job(&step, job_id, 1, 1000));
    for (uint32_t i = 0; i < 20 && simulation.running() == 0; i++) {
        EXPECT_EQ(count_pending(simulation), 1u);
        simulation.advance(100);
    }
    simulation.advance(2000);
    EXPECT_EQ(simulation.running(), 1u);
    EXPECT_EQ(count_pending(simulation), 0u);
    expect_no_violations(simulation);
}

/* Guards against a job that counts as begun although each of its starts is
   refused, as its workers are away. */
TEST(FleetPending, AJobWhoseStartsAreRefusedHasNotBegun)
{
    FleetSimulation simulation(2);
    mb_dag_step_t step;
    become_ready(simulation);
    for (auto &machine : simulation.machines) {
        machine->worker.is_up = false;
    }
    simulation.submit(one_step_job(&step, job_id, 1, 1000));
    simulation.advance(1000);
    EXPECT_GT(simulation.fleet.counts.starts, 0u);
    EXPECT_EQ(count_pending(simulation), 1u);
    for (auto &machine : simulation.machines) {
        machine->worker.is_up = true;
    }
    simulation.advance(15000);
    EXPECT_EQ(simulation.running(), 1u);
    EXPECT_EQ(count_pending(simulation), 0u);
    expect_no_violations(simulation);
}

/* Guards against a job that is pending for ever: its run ended before any list
   of the worker named it, and the next step finds no worker. */
TEST(FleetPending, AJobWhoseRunEndedBeforeItWasListedHasBegun)
{
    FleetSimulation simulation(2);
    mb_dag_step_t steps[2];
    mb_dag_spec_t spec = one_step_job(&steps[0], job_id, 1, 1000);
    become_ready(simulation);
    steps[1] = steps[0];
    steps[1].size.cpu_milli = simulation.capacity_milli + 1000;
    steps[1].depends_on = 1;
    spec.step_count = 2;
    simulation.task_ms = 1;
    simulation.submit(spec);
    simulation.advance(1000);
    EXPECT_EQ(simulation.outcome(job_id), MB_DAG_OPEN);
    EXPECT_EQ(count_pending(simulation), 0u);
    expect_no_violations(simulation);
}

/* Guards against a job that stays pending: its start was sent under one owner,
   whose records were lost, and a worker lists the run under the next. */
TEST(FleetPending, ARunThatIsListedUnderTheNextOwnerHasBegun)
{
    for (uint64_t change_ms = 0; change_ms <= 200; change_ms += 5) {
        SCOPED_TRACE("owner changes after " + std::to_string(change_ms) +
                     " ms");
        FleetSimulation simulation(2);
        mb_dag_step_t step;
        become_ready(simulation);
        simulation.submit(one_step_job(&step, job_id, 1, 1000));
        simulation.advance(change_ms);
        simulation.fail_over(true);
        simulation.advance(8000);
        EXPECT_EQ(simulation.running(), 1u);
        EXPECT_EQ(count_pending(simulation), 0u);
        expect_no_violations(simulation);
    }
}

/* Guards against more records in the log than two for each job that runs once:
   that it has begun, and its outcome. */
TEST(FleetPending, AJobThatRunsOnceIsStoredAtMostTwice)
{
    FleetSimulation simulation(4);
    std::vector<mb_dag_step_t> steps(40);
    become_ready(simulation);
    simulation.task_ms = 300;
    uint32_t stored = simulation.progress_records;
    for (size_t i = 0; i < steps.size(); i++) {
        char id[MB_DAG_ID_LEN + 1];
        (void)snprintf(id, sizeof(id), "%016zx", i + 1);
        simulation.submit(one_step_job(&steps[i], id, 1, 1000));
        simulation.advance(100);
    }
    simulation.advance(5000);
    EXPECT_EQ(count_pending(simulation), 0u);
    EXPECT_LE(simulation.progress_records - stored, 2 * steps.size());
    RecordProperty("records", (int)(simulation.progress_records - stored));
}
