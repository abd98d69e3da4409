/* Random histories of jobs of all kinds beside ends that are listed late and
   workers that are cut off for longer than their lease. */
#include <gtest/gtest.h>

#include "fleet_histories.h"

/* One random history. */
struct WorkHistory {
    static const uint32_t MACHINES = 4;
    static const uint32_t JOBS = 20;
    static const uint32_t EVENTS = 50;
    static const uint32_t STEPS = 3;           /* of a job, at most */
    static const uint64_t CUT_MAX_MS = 14000;  /* several leases */
    static const uint64_t SETTLE_MS = 300000;  /* in which all jobs end */
    static const uint64_t REPORTED_MS = 10000; /* in which all ends are heard
                                                  of */
    FleetSimulation simulation;
    std::vector<mb_dag_step_t> steps{JOBS * STEPS};
    std::vector<std::string> ids;
    std::vector<uint64_t> cut_until_us;   /* by machine */
    std::vector<uint64_t> unlisted_until; /* the same for listed ends */

    explicit WorkHistory(uint64_t seed)
        : simulation(MACHINES, seed), cut_until_us(MACHINES),
          unlisted_until(MACHINES)
    {
        simulation.fail_percent = 5;
    }

    uint64_t below(uint64_t limit)
    {
        return simulation.random() % limit;
    }

    /* Submits a job of one of the kinds, with short or long tasks. */
    void submit()
    {
        char id[MB_DAG_ID_LEN + 1];
        size_t index = ids.size();
        (void)snprintf(id, sizeof(id), "%016zx", index + 1);
        mb_dag_step_t *step = &steps[index * STEPS];
        mb_dag_spec_t spec =
            one_step_job(step, id, 1 + (uint32_t)below(4), 800);
        spec.policy.max_attempts = 1 + (uint32_t)below(6);
        spec.submitted_ms = simulation.now_us / 1000;
        simulation.job_task_ms[id] =
            (uint32_t)(below(4) == 0 ? 6000 + below(9000) : 50 + below(2500));
        uint64_t kind = below(5);
        if (kind == 0) {
            step->speculative = true;
        }
        if (kind == 1) {
            step->gang = true;
            step->count = 2 + (uint32_t)below(2);
        }
        if (kind == 2) {
            spec.occurrences = 2 + (uint32_t)below(2);
            spec.first_ms = spec.submitted_ms;
            spec.interval_ms = 500 + below(6000);
        }
        if (kind >= 3) {
            spec.step_count = STEPS;
            step[1] = step[2] = step[0];
            step[1].depends_on = 1;
            step[2].depends_on = kind == 3 ? 2 : 3;
            step[1].gang = below(3) == 0;
        }
        simulation.submit(spec);
        ids.push_back(id);
    }

    void disturb(uint32_t number)
    {
        static const std::deque<char> late_calls = {'s', 'o', 's', 'l', 'd'};
        Machine &machine = *simulation.machines[number];
        FakeWorker &worker = machine.worker;
        switch (below(13)) {
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
            machine.frozen_until_us = simulation.now_us + below(8000000);
            break;
        case 5:
        case 6:
            worker.is_cut = true;
            cut_until_us[number] =
                simulation.now_us + below(CUT_MAX_MS) * 1000;
            break;
        case 7:
            worker.listed_ends_max = 1 + below(2);
            unlisted_until[number] =
                simulation.now_us + below(CUT_MAX_MS) * 1000;
            break;
        case 8:
            simulation.restart_agent(machine);
            break;
        case 9:
            if (below(3) == 0) {
                worker.crash();
            }
            break;
        case 10:
            if (below(2) == 0) {
                simulation.fail_over(below(2) == 0);
            }
            break;
        default:
            simulation.connect(machine);
            break;
        }
    }

    /* Ends the faults of workers whose time has come. */
    void advance(uint64_t ms)
    {
        simulation.advance(ms);
        for (uint32_t i = 0; i < MACHINES; i++) {
            FakeWorker &worker = simulation.machines[i]->worker;
            worker.is_cut =
                worker.is_cut && simulation.now_us < cut_until_us[i];
            if (simulation.now_us >= unlisted_until[i]) {
                worker.listed_ends_max = 500;
            }
        }
    }

    void end_faults()
    {
        for (auto &machine : simulation.machines) {
            machine->worker.start_faults.clear();
            machine->worker.stop_faults.clear();
            machine->worker.list_faults.clear();
            machine->worker.is_cut = false;
            machine->worker.listed_ends_max = 500;
            machine->frozen_until_us = 0;
        }
        simulation.fail_over();
    }

    bool all_closed()
    {
        for (const std::string &id : ids) {
            if (simulation.outcome(id.c_str()) == MB_DAG_OPEN) {
                return false;
            }
        }
        return true;
    }

    /* A job may fail only if a task of it has failed often enough. */
    void expect_outcomes()
    {
        for (const std::string &id : ids) {
            mb_dag_outcome_t outcome = simulation.outcome(id.c_str());
            bool may_fail = simulation.work.may_have_failed(id);
            EXPECT_TRUE(outcome == MB_DAG_COMPLETED ||
                        (outcome == MB_DAG_FAILED && may_fail))
                << id << " " << mb_dag_outcome_name(outcome);
        }
    }

    void run()
    {
        simulation.fail_over();
        simulation.advance(2500);
        for (uint32_t event = 0; event < EVENTS; event++) {
            disturb((uint32_t)below(MACHINES));
            if (event < JOBS) {
                submit();
            }
            advance(50 + below(1200));
        }
        end_faults();
        for (uint64_t ms = 0; ms < SETTLE_MS && !all_closed(); ms += 1000) {
            simulation.advance(1000);
        }
        simulation.advance(REPORTED_MS);
        expect_outcomes();
        simulation.check_lost_successes(simulation.token, &simulation.table);
        expect_no_violations(simulation);
    }
};

TEST(FleetWorkHistory, NoWorkIsDoneAgainAfterItsSuccessIsKnown)
{
    run_histories([](uint64_t seed) { WorkHistory(seed).run(); });
}

/* These seeds once failed: the owner started tasks again whose ends a worker
   had not listed yet, as its agent had been restarted and knew nothing of
   their runs. */
TEST(FleetWorkHistory, SeedsOfRestartedAgentsBesideCutListsThatFailedOnce)
{
    for (uint64_t seed : {50180, 51155, 60108, 60238, 60823, 61418}) {
        SCOPED_TRACE("MB_SEED=" + std::to_string(seed));
        WorkHistory(seed).run();
    }
}
