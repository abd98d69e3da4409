/* Random histories of the fleet with late starts, stops and list calls, frozen
   agents and workers that are cut off from their agent. */
#include <gtest/gtest.h>

#include "fleet_histories.h"

static const uint32_t JOBS = 24;
static const uint32_t EVENTS = 60;
static const std::deque<char> late_calls = {'s', 'o', 's', 'l', 'd'};

/* Lets one fault happen at a machine. */
static void
disturb(FleetSimulation &simulation, Machine &machine)
{
    FakeWorker &worker = machine.worker;
    switch (simulation.random() % 14) {
    case 0:
        simulation.disconnect(machine);
        break;
    case 1:
        worker.start_faults = late_calls;
        break;
    case 2:
        worker.stop_faults = late_calls;
        break;
    case 3:
        worker.list_faults = late_calls;
        break;
    case 4:
        machine.frozen_until_us =
            simulation.now_us + simulation.random() % 8000000;
        break;
    case 5:
        worker.is_cut = true;
        break;
    case 6:
        simulation.restart_agent(machine);
        break;
    case 7:
        if (simulation.random() % 3 == 0) {
            worker.crash();
        }
        break;
    case 8:
        simulation.fail_over(simulation.random() % 2 == 0);
        break;
    default:
        simulation.connect(machine);
        worker.is_cut = false;
        break;
    }
}

/* Ends all faults. */
static void
end_faults(FleetSimulation &simulation)
{
    for (auto &machine : simulation.machines) {
        machine->worker.start_faults.clear();
        machine->worker.stop_faults.clear();
        machine->worker.list_faults.clear();
        machine->worker.is_cut = false;
        machine->frozen_until_us = 0;
    }
    simulation.fail_over();
}

static void
run_late_history(uint64_t seed)
{
    FleetSimulation simulation(3, seed);
    std::vector<mb_dag_step_t> steps(JOBS);
    std::vector<std::string> ids;
    simulation.fail_percent = 3;
    simulation.task_ms = 200 + simulation.random() % 3000;
    simulation.fail_over();
    simulation.advance(2500);
    for (uint32_t event = 0; event < EVENTS; event++) {
        disturb(simulation, *simulation.machines[simulation.random() % 3]);
        if (event < JOBS) {
            char id[MB_DAG_ID_LEN + 1];
            (void)snprintf(id, sizeof(id), "%016x", event + 1);
            ids.push_back(id);
            mb_dag_spec_t spec = one_step_job(
                &steps[event], id, 1 + simulation.random() % 5, 800);
            spec.policy.max_attempts = 50;
            spec.submitted_ms = simulation.now_us / 1000;
            simulation.submit(spec);
        }
        simulation.advance(50 + simulation.random() % 1200);
    }
    end_faults(simulation);
    simulation.advance(60000);
    for (const std::string &id : ids) {
        EXPECT_EQ(simulation.outcome(id.c_str()), MB_DAG_COMPLETED) << id;
    }
    simulation.check_lost_successes(simulation.token, &simulation.table);
    expect_no_violations(simulation);
}

TEST(FleetHistory, KeepsInvariantsUnderLateCallsAndFrozenAgents)
{
    run_histories(run_late_history);
}
