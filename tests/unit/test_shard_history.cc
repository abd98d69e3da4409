/* Randomised histories of the shard's decision modules. */
#include <chrono>
#include <cstdlib>
#include <gtest/gtest.h>

#include "shard_simulation_impl.h"

using shard_world::MS;
using shard_world::World;

/* Reads a number from the environment. */
static uint64_t
setting(const char *name, uint64_t fallback)
{
    const char *text = getenv(name);
    return text == nullptr ? fallback : strtoull(text, nullptr, 10);
}

/* Guards against a task in two places, a lost or repeated resumption, a
   worker over capacity, lost work, and finished work that runs again. */
TEST(ShardHistory, KeepsTheInvariantsInEveryHistory)
{
    uint64_t seed = setting("MB_HISTORY_SEED", 20261204);
    uint64_t count = setting("MB_HISTORY_COUNT", 300);
    uint64_t events = 0, least = UINT64_MAX, evictions = 0, moved = 0;
    uint64_t lapses = 0, records = 0;
    auto begin = std::chrono::steady_clock::now();
    std::printf("seed %lu histories %lu\n", seed, count);
    for (uint64_t i = 0; i < count; i++) {
        World world(seed + i);
        world.run(4000 * MS, 60000 * MS);
        ASSERT_EQ(world.violation, "") << "MB_HISTORY_SEED=" << seed + i;
        ASSERT_TRUE(world.settled)
            << "a job neither ended nor was explained, MB_HISTORY_SEED="
            << seed + i;
        events += world.events;
        least = std::min(least, world.events);
        evictions += world.evictions;
        moved += world.moved;
        lapses += world.lapses;
        records += world.log.size();
    }
    double seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
            .count();
    std::printf("events %lu least per history %lu stops %lu restarts of "
                "tasks %lu lapses %lu records %lu seconds %.1f\n",
                events, least, evictions, moved, lapses, records, seconds);
    EXPECT_GE(least, 200u);
}
