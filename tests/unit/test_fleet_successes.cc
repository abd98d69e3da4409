/* Tests that a success counts once, whichever process hears of it and when. */
#include <gtest/gtest.h>

#include "fleet_histories.h"

static const char *const short_id = "0123456789abcdef";
static const char *const long_id = "fedcba9876543210";

/* A fleet whose first worker runs one task of 1 s, and whose agent is then cut
   off from what the test says. */
struct FirstRun {
    FleetSimulation simulation;
    mb_dag_step_t step;
    Machine *machine = nullptr;

    explicit FirstRun(uint32_t machine_count, uint32_t task_count = 1,
                      uint32_t cpu = 1000)
        : simulation(machine_count)
    {
        simulation.task_ms = 1000;
        simulation.fail_over();
        simulation.advance(2500);
        simulation.submit(one_step_job(&step, short_id, task_count, cpu));
        simulation.advance(300);
        for (auto &each : simulation.machines) {
            if (!each->worker.runs.empty()) {
                machine = each.get();
            }
        }
        EXPECT_NE(machine, nullptr);
    }

    uint32_t starts(uint32_t index = 0)
    {
        mb_dag_task_id_t task = {step_job()->spec.id, 0, 0, index};
        return simulation.starts[format_task(task)];
    }

    mb_dag_job_t *step_job()
    {
        mb_dag_id_t id;
        EXPECT_TRUE(mb_dag_id_parse(mb_str_from_cstr(short_id), &id));
        return mb_dag_find(&simulation.table, id);
    }

    uint64_t effects(mb_fleet_end_effect_t effect) const
    {
        return simulation.fleet.counts.end_effects[effect];
    }
};

/* The agent reported successes as expired leases. */
TEST(FleetSuccess, SuccessListedBesideAnExpiredLeaseCounts)
{
    FirstRun test(1);
    mb_dag_step_t long_step;
    test.simulation.task_ms = 60000;
    test.simulation.submit(one_step_job(&long_step, long_id, 1, 1000));
    test.simulation.advance(300);
    ASSERT_EQ(test.machine->worker.runs.size(), 2u);
    test.machine->worker.is_cut = true;
    test.simulation.advance(8000);
    test.machine->worker.is_cut = false;
    test.simulation.advance(3000);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.starts(), 1u);
    expect_no_violations(test.simulation);
}

/* The owner ignored successes with a lower number than that of a start that
   was refused. */
TEST(FleetSuccess, SuccessCountsAfterANewerStartWasRefused)
{
    FirstRun test(2);
    for (auto &machine : test.simulation.machines) {
        bool is_other = machine.get() != test.machine;
        mb_agent_set_departure_recorded(machine->agent, is_other);
    }
    test.machine->worker.is_cut = true;
    test.simulation.advance(8000);
    EXPECT_GT(test.simulation.fleet.counts.refusals[MB_REFUSAL_ABSENT], 0u);
    test.machine->worker.is_cut = false;
    test.simulation.advance(3000);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.starts(), 1u);
    expect_no_violations(test.simulation);
}

/* The owner ignored successes of a task that runs again. */
TEST(FleetSuccess, SuccessOfAnOlderRunEndsTheNewerOne)
{
    FirstRun test(2);
    test.simulation.task_ms = 60000;
    test.machine->worker.is_cut = true;
    test.simulation.advance(8000);
    ASSERT_EQ(test.starts(), 2u);
    test.machine->worker.is_cut = false;
    test.simulation.advance(3000);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.simulation.running(), 0u);
    expect_no_violations(test.simulation);
}

/* The owner could not tell work that was done twice from an end that it got
   twice. */
TEST(FleetSuccess, SecondSuccessOfATaskDoesNotCount)
{
    FirstRun test(3, 3, 3000);
    FleetSimulation &simulation = test.simulation;
    Machine *last = simulation.machines[0].get();
    last = last == test.machine ? simulation.machines[1].get() : last;
    ASSERT_EQ(last->worker.runs.size(), 1u);
    last->worker.runs[0].end_ms += 20000;
    test.machine->worker.is_cut = true;
    simulation.advance(8000);
    test.machine->worker.is_cut = false;
    simulation.advance(3000);
    EXPECT_EQ(test.effects(MB_FLEET_END_TASK_DONE), 1u);
    EXPECT_EQ(simulation.fleet.counts.repeated_successes, 1u);
    EXPECT_EQ(simulation.outcome(short_id), MB_DAG_OPEN);
    simulation.advance(15000);
    EXPECT_EQ(simulation.outcome(short_id), MB_DAG_COMPLETED);
    expect_no_violations(simulation);
}

/* The owner ignored the ends of a report that was not complete, although the
   agent does not repeat them on the same connection. */
TEST(FleetSuccess, SuccessCountsInAReportThatIsNotComplete)
{
    FirstRun test(1);
    std::vector<std::string> delayed;
    FleetSimulation &simulation = test.simulation;
    test.machine->other_owner = [&](const std::string &bytes) {
        delayed.push_back(bytes);
    };
    simulation.advance(7000);
    ASSERT_EQ(simulation.fleet.running, 0u);
    test.machine->other_owner = nullptr;
    for (const std::string &bytes : delayed) {
        ASSERT_TRUE(mb_report_decode(&simulation.report_decoder,
                                     {bytes.data(), bytes.size()}, nullptr));
        if (!simulation.report_decoder.report.complete) {
            mb_fleet_handle_report(&simulation.fleet, test.machine->number,
                                   &simulation.report_decoder.report);
        }
    }
    simulation.advance(3000);
    EXPECT_EQ(simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.starts(), 1u);
    expect_no_violations(simulation);
}

/* The agent dropped the ends that it had not reported when the worker started
   again. */
TEST(FleetSuccess, SuccessCountsAfterARestartOfTheWorker)
{
    FirstRun test(1);
    test.simulation.disconnect(*test.machine);
    test.simulation.advance(1500);
    ASSERT_EQ(test.machine->worker.ends.size(), 1u);
    test.machine->worker.crash();
    test.simulation.advance(1500);
    test.simulation.connect(*test.machine);
    test.simulation.advance(3000);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.starts(), 1u);
    expect_no_violations(test.simulation);
}
