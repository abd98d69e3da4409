/* Tests of the scheduling policy inside the owner of a shard, one mechanism
   at a time, in an installation without faults. */
#include <gtest/gtest.h>

#include "shard_simulation_impl.h"

using shard_world::BATCH_MIN_PERCENT;
using shard_world::MS;
using shard_world::World;

/* Urgent tasks that become due together in a full installation. */
constexpr uint32_t URGENT_TASKS = 8;

/* Makes a job of the unlimited team. */
static mb_resource_t
make_job(const char *name, mb_class_t task_class, uint32_t count,
         uint32_t cpu_milli)
{
    mb_resource_t job;
    mb_resource_init(&job, MB_RESOURCE_JOB, {name, strlen(name)});
    mb_buf_set(&job.spec.job.team, MB_STR_LIT("team"));
    mb_buf_set(&job.spec.job.command, MB_STR_LIT("sleep"));
    job.revision = 1;
    job.spec.job.task_class = task_class;
    job.spec.job.count = count;
    job.spec.job.size = {cpu_milli, 100, 0};
    job.spec.job.max_failures = 1000;
    return job;
}

/* Returns the processors that held tasks of a class have in the log. */
static uint64_t
held_milli(const World &world, mb_class_t task_class)
{
    uint64_t held = 0;
    for (const auto &job : world.jobs) {
        const mb_job_tasks_t *tasks =
            mb_task_job(mb_shard_tasks(world.auditor.shard),
                        mb_shard_job_key(job.kind, mb_buf_view(&job.name)));
        for (uint32_t i = 0; tasks != nullptr && i < tasks->len; i++) {
            const mb_task_t &task = tasks->tasks[i];
            held += mb_task_is_held(&task) && task.task_class == task_class
                        ? task.size.cpu_milli
                        : 0;
        }
    }
    return held;
}

/* Returns the processors of all workers. */
static uint64_t
capacity_milli(const World &world)
{
    uint64_t capacity = 0;
    for (const auto &worker : world.workers) {
        capacity += worker.capacity.cpu_milli;
    }
    return capacity;
}

/* Adds a job to a world that runs. */
static void
add_job(World &world, const mb_resource_t &job)
{
    world.jobs.push_back(job);
    world.declare(job);
}

/* Guards against a worker that fails everything and goes on getting work, and
   against one that gets none after it is healthy again. */
TEST(ShardPolicy, WorkerThatFailsEverythingIsSuspendedThenRestored)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        World world(seed);
        world.quiet = true;
        world.sound = true;
        world.workers[0].fails = true;
        world.replace_jobs({make_job("j", MB_CLASS_NORMAL, 3000, 400)});
        world.run(0, 10000 * MS);
        ASSERT_EQ(world.violation, "") << "seed " << seed;
        /* Probes at 1, 2, 4, 8 s after the suspension at the earliest. */
        EXPECT_LE(world.workers[0].starts, 10u + 4u) << "seed " << seed;
        EXPECT_GE(world.workers[0].starts, 2u) << "seed " << seed;
        world.workers[0].fails = false;
        uint64_t before = world.workers[0].starts;
        world.run(0, 40000 * MS);
        EXPECT_GT(world.workers[0].starts, before + 20) << "seed " << seed;
    }
}

/* Guards against a healthy worker whose successes are not taken as proof, so
   that it gets no more than ten starts in three seconds. */
TEST(ShardPolicy, HealthyWorkersRunManyShortTasks)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        World world(seed);
        world.quiet = true;
        world.sound = true;
        world.replace_jobs({make_job("j", MB_CLASS_NORMAL, 100000, 400)});
        world.run(0, 10000 * MS);
        ASSERT_EQ(world.violation, "") << "seed " << seed;
        uint64_t limited = 10 * 10000 / 3000 + 10;
        EXPECT_GT(world.workers[0].starts, limited) << "seed " << seed;
    }
}

/* Guards against urgent work that waits behind batch for more than 4 s, and
   against evictions below the minimum share of batch. */
TEST(ShardPolicy, UrgentWorkPreemptsBatchDownToItsMinimumShare)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        World world(seed);
        world.quiet = true;
        world.long_job = mb_shard_job_key(MB_RESOURCE_JOB, MB_STR_LIT("b"));
        world.replace_jobs({make_job("b", MB_CLASS_BATCH, 100, 500)});
        world.run(0, 8000 * MS);
        uint64_t capacity = capacity_milli(world);
        ASSERT_GE(held_milli(world, MB_CLASS_BATCH) * 100, capacity * 85)
            << "seed " << seed;
        add_job(world, make_job("u", MB_CLASS_URGENT, URGENT_TASKS, 1000));
        world.run(0, 12000 * MS);
        ASSERT_EQ(world.violation, "") << "seed " << seed;
        uint64_t key = mb_shard_job_key(MB_RESOURCE_JOB, MB_STR_LIT("u"));
        for (uint32_t i = 0; i < URGENT_TASKS; i++) {
            EXPECT_GE((world.started[{key, i}]), 1u)
                << "seed " << seed << " task " << i;
        }
        add_job(world, make_job("flood", MB_CLASS_URGENT, 4000, 500));
        for (uint64_t at = 12100; at < 20000; at += 100) {
            world.run(0, at * MS);
            ASSERT_GE(held_milli(world, MB_CLASS_BATCH) * 100,
                      capacity * BATCH_MIN_PERCENT)
                << "seed " << seed << " at " << at << " ms";
        }
        ASSERT_EQ(world.violation, "") << "seed " << seed;
    }
}

/* Guards against a service that ends at once and is started again without a
   pause, at the cost of several appends a second. */
TEST(ShardPolicy, ServiceThatEndsAtOnceBacksOff)
{
    World world(2);
    world.quiet = true;
    world.sound = true;
    world.to_the_end = true;
    mb_resource_t service;
    mb_resource_init(&service, MB_RESOURCE_SERVICE, MB_STR_LIT("s"));
    mb_buf_set(&service.spec.service.team, MB_STR_LIT("team"));
    service.spec.service.instances = 1;
    service.spec.service.size = {500, 100, 0};
    world.replace_jobs({service});
    world.run(0, 20000 * MS);
    ASSERT_EQ(world.violation, "");
    uint64_t starts = 0;
    for (const auto &worker : world.workers) {
        starts += worker.starts;
    }
    /* Delays of 0.25, 0.5, 1, 2, 4, 8 s between starts. */
    EXPECT_GE(starts, 4u);
    EXPECT_LE(starts, 7u);
}

/* Guards against an eviction before throttling was tried, and against
   interference that nothing is done about. */
TEST(ShardPolicy, DisturbedServiceThrottlesBatchBeforeItEvicts)
{
    World world(2);
    world.quiet = true;
    world.latency_us = 1000;
    world.long_service = true;
    world.long_job = mb_shard_job_key(MB_RESOURCE_JOB, MB_STR_LIT("b"));
    mb_resource_t service;
    mb_resource_init(&service, MB_RESOURCE_SERVICE, MB_STR_LIT("s"));
    mb_buf_set(&service.spec.service.team, MB_STR_LIT("team"));
    service.spec.service.instances = 2;
    service.spec.service.size = {500, 100, 0};
    world.service_key = mb_shard_job_key(service.kind, MB_STR_LIT("s"));
    world.replace_jobs({service, make_job("b", MB_CLASS_BATCH, 100, 500)});
    world.run(0, 8000 * MS);
    EXPECT_EQ(world.throttles, 0u);
    uint64_t evicted = world.evictions;
    world.latency_us = 5000;
    while (world.throttles == 0 && world.now < 20000 * MS) {
        ASSERT_EQ(world.evictions, evicted);
        world.run(0, world.now + 50 * MS);
    }
    EXPECT_GT(world.throttles, 0u);
    world.run(0, 40000 * MS);
    EXPECT_EQ(world.violation, "");
}
