/* Jobs and random histories for the tests of the fleet. */
#ifndef FLEET_HISTORIES_H
#define FLEET_HISTORIES_H

#include "fleet_simulation.h"

/* Returns a job of one step with `count` tasks that use `cpu` thousandths of a
   processor each. */
static inline mb_dag_spec_t
one_step_job(mb_dag_step_t *step, const char *id, uint32_t count, uint32_t cpu)
{
    mb_dag_spec_t spec = {};
    *step = mb_dag_step_t{};
    step->count = count;
    step->size = {cpu, 100, 0};
    step->estimate_ms = 300;
    EXPECT_TRUE(mb_dag_id_parse(mb_str_from_cstr(id), &spec.id));
    spec.policy.queue = MB_STR_LIT("queue");
    spec.policy.service = MB_STR_LIT("service");
    spec.policy.max_attempts = 2;
    spec.policy.stretch_milli = 2000;
    spec.policy.latency_objective_ms = 1000;
    spec.payload = MB_STR_LIT("payload");
    spec.step_count = 1;
    spec.steps = step;
    spec.submitted_ms = 10000;
    return spec;
}

/* Returns a job of one service task with a latency target of 50 ms. */
static inline mb_dag_spec_t
service_job(mb_dag_step_t *step, const char *id, uint32_t cpu)
{
    mb_dag_spec_t spec = one_step_job(step, id, 1, cpu);
    step->long_running = true;
    step->latency_target_ms = 50;
    step->image = MB_STR_LIT("web");
    return spec;
}

/* Returns a job of best-effort tasks. */
static inline mb_dag_spec_t
best_effort_job(mb_dag_step_t *step, const char *id, uint32_t count,
                const char *image)
{
    mb_dag_spec_t spec = one_step_job(step, id, count, 1500);
    step->best_effort = true;
    step->image = mb_str_from_cstr(image);
    return spec;
}

/* Makes workers report the latency of a queue, 10 ms / (1 - utilization). A
   service task has a utilization of 1/2, and best-effort runs of the harmful
   image add 1/8 for each processor that they use. */
static inline void
report_latencies(FleetSimulation &simulation, const char *harmful)
{
    simulation.reported_value = [&simulation,
                                 harmful](const FakeWorker &worker,
                                          const FakeWorker::Run &run) {
        double utilization = 0.5;
        auto get_step = [&simulation](const FakeWorker::Run &of) {
            return mb_dag_find(&simulation.table, of.task.job)
                ->steps[of.task.step];
        };
        if (get_step(run).best_effort) {
            return 15 * run.throttle_percent;
        }
        for (const auto &other : worker.runs) {
            if (get_step(other).best_effort &&
                mb_str_equal(get_step(other).image,
                             mb_str_from_cstr(harmful))) {
                utilization += 0.125 * 1.5 * other.throttle_percent / 100;
            }
        }
        return (uint32_t)(10 / std::max(1 - utilization, 0.02));
    };
}

static inline void
expect_no_violations(const FleetSimulation &simulation)
{
    for (const std::string &violation : simulation.violations) {
        ADD_FAILURE() << violation;
    }
}

/* Cancellations that meet starts, lost answers, restarted agents, lost
   connections, workers that leave, and fail-overs. Guards against runs of a
   cancelled job that go on when the faults have ended. `start_faults`: what
   happens to the next starts at a worker, see FakeWorker. */
static inline void
run_cancellation_history(uint64_t seed, const std::deque<char> &start_faults)
{
    static const uint64_t STOPPED_AFTER_MS = 3400; /* 3 s to stop it, 0.4 s
                                                      for the stop itself */
    FleetSimulation simulation(3, seed);
    std::vector<mb_dag_step_t> steps(24);
    std::vector<std::string> ids;
    simulation.task_ms = 1000000;
    simulation.capacity_milli = 40000;
    simulation.fail_over();
    simulation.advance(2500);
    for (size_t event = 0; event < 24; event++) {
        Machine &machine = *simulation.machines[simulation.random() % 3];
        char id[MB_DAG_ID_LEN + 1];
        (void)snprintf(id, sizeof(id), "%016zx", event + 1);
        ids.push_back(id);
        mb_dag_spec_t spec =
            one_step_job(&steps[event], id, 1 + simulation.random() % 5, 800);
        spec.submitted_ms = simulation.now_us / 1000;
        simulation.submit(spec);
        simulation.advance(simulation.random() % 600);
        switch (simulation.random() % 6) {
        case 0:
            simulation.disconnect(machine);
            break;
        case 1:
            simulation.restart_agent(machine);
            break;
        case 2:
            machine.worker.start_faults = start_faults;
            break;
        case 3:
            if (simulation.random() % 4 == 0) {
                simulation.fail_over(true);
            }
            break;
        default:
            break;
        }
        simulation.advance(simulation.random() % 600);
        simulation.cancel(ids[simulation.random() % ids.size()].c_str());
        simulation.advance(simulation.random() % 600);
        simulation.connect(machine);
    }
    simulation.advance(1000); /* a heartbeat of each worker */
    simulation.advance(STOPPED_AFTER_MS);
    EXPECT_EQ(simulation.running_cancelled(), 0u);
    EXPECT_FALSE(simulation.cancelled.empty());
    expect_no_violations(simulation);
}

/* Runs the random histories that MB_SEED and MB_HISTORIES name. */
static inline void
run_histories(void (*run_history)(uint64_t seed))
{
    const char *seed_text = g_getenv("MB_SEED");
    const char *count_text = g_getenv("MB_HISTORIES");
    uint64_t seed =
        seed_text == nullptr ? 20261204 : strtoull(seed_text, nullptr, 10);
    uint64_t count =
        count_text == nullptr ? 30 : strtoull(count_text, nullptr, 10);
    for (uint64_t i = 0; i < count && !testing::Test::HasFailure(); i++) {
        SCOPED_TRACE("MB_SEED=" + std::to_string(seed + i) +
                     " MB_HISTORIES=1");
        run_history(seed + i);
    }
}

#endif
