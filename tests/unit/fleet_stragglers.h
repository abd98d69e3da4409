/* A job with a straggler in the simulated fleet, for the tests of estimates
   and of second runs. */
#ifndef FLEET_STRAGGLERS_H
#define FLEET_STRAGGLERS_H

#include "fleet_histories.h"

extern "C" {
#include "mb_fleet_internal.h"
}

static const char *const job_id = "aaaaaaaaaaaaaaaa";

/* A job of ten tasks that run at the same time, declared as 600 ms each. */
struct TenTasks {
    FleetSimulation simulation{8};
    mb_dag_step_t steps[2];
    mb_dag_job_t *job;

    explicit TenTasks(uint32_t task_ms, uint32_t step_count = 1,
                      bool speculative = false)
    {
        simulation.task_ms = task_ms;
        simulation.fail_over();
        simulation.advance(2500);
        mb_dag_spec_t spec = one_step_job(steps, job_id, 10, 1000);
        steps[0].estimate_ms = 600;
        steps[0].speculative = speculative;
        steps[1] = steps[0];
        steps[1].depends_on = 1;
        spec.policy.latency_objective_ms = 0;
        spec.policy.max_attempts = 3;
        spec.step_count = step_count;
        spec.submitted_ms = simulation.now_us / 1000;
        job = simulation.submit(spec);
        simulation.advance(100);
        EXPECT_EQ(simulation.running(), 10u);
    }

    /* Makes a task take longer than the others. */
    void prolong(uint32_t index, uint64_t by_ms)
    {
        for (auto &machine : simulation.machines) {
            for (auto &run : machine->worker.runs) {
                run.end_ms += run.task.index == index ? by_ms : 0;
            }
        }
    }

    bool is_late() const
    {
        return mb_fleet_job_is_late(job, simulation.now_us);
    }

    uint64_t remaining_ms() const
    {
        return job->remaining_us / 1000;
    }

    /* Returns the number of runs of a task at all workers. */
    uint32_t runs_of(uint32_t index) const
    {
        uint32_t count = 0;
        for (const auto &machine : simulation.machines) {
            for (const auto &run : machine->worker.runs) {
                count += run.task.index == index;
            }
        }
        return count;
    }
};

#endif
