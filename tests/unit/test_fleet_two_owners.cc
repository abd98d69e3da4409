/* Tests of a former owner that goes on beside its successor, which it can't
   read of: two real owners of the same agents. */
#include <gtest/gtest.h>

#include "fleet_two_owners.h"

static const char *const running_id = "0123456789abcdef";

/* Guards against two runs of a task: the successor counted agents that have
   joined since the former owner lost the log, for which most of the agents
   that it knows still work. */
TEST(FleetTwoOwners, AgentsThatJoinedLatelyMakeNoMajority)
{
    static const uint32_t KNOWN = 11;
    static const uint32_t JOINED = 9;
    static const uint32_t TAKEN = 5; /* of the known ones */
    FleetSimulation simulation(KNOWN);
    LaterOwner successor(simulation);
    mb_dag_step_t step;
    simulation.task_ms = 60000;
    simulation.fail_over();
    successor.advance(2500);
    simulation.submit(one_step_job(&step, running_id, KNOWN, 4000));
    successor.advance(10000);
    ASSERT_EQ(simulation.running(), KNOWN);
    successor.cut_former_from_log();
    for (uint32_t i = 0; i < JOINED; i++) {
        successor.add_machine();
    }
    successor.advance(1300);
    successor.claim();
    for (uint32_t i = 0; i < JOINED + TAKEN; i++) {
        bool joined = i < JOINED;
        successor.connect(
            *simulation.machines[joined ? KNOWN + i : i - JOINED]);
    }
    successor.advance(15000);
    expect_no_violations(simulation);
}

/* One random history of a former owner beside its successor. */
struct SplitHistory {
    static const uint32_t KNOWN = 5;
    static const uint32_t JOBS = 16;
    FleetSimulation simulation;
    LaterOwner successor;
    std::vector<mb_dag_step_t> steps{JOBS};
    std::vector<std::string> ids;

    explicit SplitHistory(uint64_t seed)
        : simulation(KNOWN, seed), successor(simulation)
    {
        simulation.task_ms = 500 + simulation.random() % 20000;
    }

    uint64_t below(uint64_t limit)
    {
        return simulation.random() % limit;
    }

    Machine &any_machine()
    {
        return *simulation.machines[below(simulation.machines.size())];
    }

    void submit()
    {
        char id[MB_DAG_ID_LEN + 1];
        size_t index = ids.size();
        (void)snprintf(id, sizeof(id), "%016zx", index + 1);
        ids.push_back(id);
        mb_dag_spec_t spec =
            one_step_job(&steps[index], id, 1 + (uint32_t)below(4), 800);
        spec.policy.max_attempts = 50;
        spec.submitted_ms = simulation.now_us / 1000;
        simulation.submit(spec);
    }

    /* Connects the agent of a machine to the former owner, if it knows it and
       the agent does not obey the successor. */
    void connect_to_former(Machine &machine)
    {
        if (machine.number < KNOWN &&
            successor.connected.count(machine.number) == 0 &&
            simulation.now_us >= machine.frozen_until_us) {
            simulation.connect(machine);
        }
    }

    void restart(Machine &machine)
    {
        successor.disconnect(machine);
        simulation.disconnect(machine);
        simulation.init_agent(machine);
        machine.heartbeats = 0;
        machine.frozen_until_us = 0;
    }

    void disturb(Machine &machine)
    {
        static const std::deque<char> late_calls = {'s', 'o', 's', 'l', 'd'};
        switch (below(12)) {
        case 0:
            successor.disconnect(machine);
            simulation.disconnect(machine);
            break;
        case 1:
            machine.worker.start_faults = late_calls;
            break;
        case 2:
            machine.worker.stop_faults = late_calls;
            break;
        case 3:
            machine.worker.list_faults = late_calls;
            break;
        case 4:
            machine.frozen_until_us = simulation.now_us + below(8000000);
            break;
        case 5:
            machine.worker.is_cut = true;
            break;
        case 6:
            restart(machine);
            break;
        case 7:
            if (below(3) == 0) {
                machine.worker.crash();
            }
            break;
        case 8:
            machine.worker.is_cut = false;
            break;
        default:
            break;
        }
        if (successor.token > 0 && below(2) == 0) {
            successor.connect(machine);
        }
        else {
            connect_to_former(machine);
        }
    }

    /* Faults at random machines for about a time. */
    void disturb_for(uint64_t ms)
    {
        uint64_t end_us = simulation.now_us + ms * 1000;
        while (simulation.now_us < end_us) {
            disturb(any_machine());
            successor.advance(20 + below(500));
        }
    }

    /* Ends all faults. The former owner reads of its successor. */
    void end_faults()
    {
        successor.former_reads_log = true;
        mb_fleet_lose_ownership(&simulation.fleet);
        for (auto &machine : simulation.machines) {
            machine->worker.start_faults.clear();
            machine->worker.stop_faults.clear();
            machine->worker.list_faults.clear();
            machine->worker.is_cut = false;
            machine->frozen_until_us = 0;
            successor.connect(*machine);
        }
    }

    void expect_completed()
    {
        for (const std::string &id : ids) {
            mb_dag_id_t key;
            EXPECT_TRUE(mb_dag_id_parse(mb_str_from_cstr(id.c_str()), &key));
            mb_dag_job_t *job = mb_dag_find(&successor.table, key);
            ASSERT_NE(job, nullptr);
            EXPECT_EQ(job->outcome, MB_DAG_COMPLETED) << id;
        }
    }

    void run()
    {
        simulation.fail_over();
        successor.advance(2500 + below(10000));
        while (ids.size() < JOBS) {
            submit();
            disturb(any_machine());
            successor.advance(below(400));
        }
        successor.cut_former_from_log();
        disturb_for(below(3000));
        for (uint64_t joined = below(5); joined > 0; joined--) {
            successor.add_machine();
        }
        successor.advance(1300);
        successor.claim();
        disturb_for(8000 + below(6000));
        end_faults();
        successor.advance(90000);
        expect_completed();
        simulation.check_lost_successes(successor.token, &successor.table);
        expect_no_violations(simulation);
    }
};

TEST(FleetTwoOwners, KeepsInvariantsWhileTheFormerOwnerGoesOn)
{
    run_histories([](uint64_t seed) { SplitHistory(seed).run(); });
}
