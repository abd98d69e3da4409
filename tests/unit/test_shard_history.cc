/* Runs of the shard simulation with random faults. */
#include <chrono>
#include <cstdlib>
#include <gtest/gtest.h>

#include "shard_simulation_impl.h"

using shard_simulation::MS;
using shard_simulation::Simulation;

/* Returns a number from the environment, or `fallback` if it is not set. */
static uint64_t
read_env_number(const char *name, uint64_t fallback)
{
    const char *text = getenv(name);
    return text == nullptr ? fallback : strtoull(text, nullptr, 10);
}

/* Guards against a task that runs on two workers, an attempt that runs twice,
   a task that resumes from another checkpoint than its last one, a worker over
   its capacity or a team over its quota, lost results and checkpoints, a job
   that never ends, and finished tasks that run again. Such failures come from
   crashes, pauses, lost messages and changed declarations in combination,
   hence random ones. To repeat one run, set MB_HISTORY_SEED to the seed in the
   failure message and MB_HISTORY_COUNT to 1. */
TEST(ShardHistory, InvariantsHoldUnderRandomFaults)
{
    uint64_t seed = read_env_number("MB_HISTORY_SEED", 20261204);
    uint64_t count = read_env_number("MB_HISTORY_COUNT", 300);
    uint64_t events = 0, least = UINT64_MAX, task_stops = 0, task_restarts = 0;
    uint64_t lease_expiries = 0, records = 0;
    auto begin = std::chrono::steady_clock::now();
    std::printf("seed %lu histories %lu\n", seed, count);
    for (uint64_t i = 0; i < count; i++) {
        Simulation simulation(seed + i);
        simulation.run(4000 * MS, 60000 * MS);
        ASSERT_EQ(simulation.violation, "") << "MB_HISTORY_SEED=" << seed + i;
        ASSERT_TRUE(simulation.settled)
            << "a job neither ended nor was explained, MB_HISTORY_SEED="
            << seed + i;
        events += simulation.events;
        least = std::min(least, simulation.events);
        task_stops += simulation.task_stops;
        task_restarts += simulation.task_restarts;
        lease_expiries += simulation.lease_expiries;
        records += simulation.log.size();
    }
    double seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
            .count();
    std::printf("events %lu least per history %lu stops %lu restarts of "
                "tasks %lu lapses %lu records %lu seconds %.1f\n",
                events, least, task_stops, task_restarts, lease_expiries,
                records, seconds);
    EXPECT_GE(least, 200u);
}
