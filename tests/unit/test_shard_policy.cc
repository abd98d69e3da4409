/* Tests of the scheduling policy of a shard's owner, one mechanism at a time,
   in the simulation without faults. */
#include <gtest/gtest.h>

#include "shard_simulation_impl.h"

using shard_simulation::BATCH_MIN_PERCENT;
using shard_simulation::MS;
using shard_simulation::Simulation;

/* Urgent tasks that are declared at once while batch uses all workers. */
constexpr uint32_t URGENT_TASKS = 8;

/* Returns a job of "team", whose quota exceeds every capacity. */
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

/* Returns the processors of all held tasks of a class, in thousandths,
   according to the replicated state. */
static uint64_t
get_held_milli(const Simulation &simulation, mb_class_t task_class)
{
    uint64_t milli = 0;
    for (const auto &job : simulation.jobs) {
        const mb_job_tasks_t *tasks = mb_task_job_find(
            mb_shard_tasks(simulation.reference.shard),
            mb_shard_job_key(job.kind, mb_buf_view(&job.name)));
        for (uint32_t i = 0; tasks != nullptr && i < tasks->len; i++) {
            const mb_task_t &task = tasks->tasks[i];
            milli += mb_task_is_held(&task) && task.task_class == task_class
                         ? task.size.cpu_milli
                         : 0;
        }
    }
    return milli;
}

/* Returns the processors of all workers, in thousandths. */
static uint64_t
get_capacity_milli(const Simulation &simulation)
{
    uint64_t capacity = 0;
    for (const auto &worker : simulation.workers) {
        capacity += worker.capacity.cpu_milli;
    }
    return capacity;
}

/* Declares a further job during a run. */
static void
add_job(Simulation &simulation, const mb_resource_t &job)
{
    simulation.jobs.push_back(job);
    simulation.put_resource(job);
}

/* Guards against a worker that fails every task and is still given more, and
   against a suspended worker that gets none after it has recovered. */
TEST(ShardPolicy, WorkerThatFailsEverythingIsSuspendedThenRestored)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        Simulation simulation(seed);
        simulation.no_faults = true;
        simulation.tasks_succeed = true;
        simulation.workers[0].fails_tasks = true;
        simulation.replace_jobs({make_job("j", MB_CLASS_NORMAL, 3000, 400)});
        simulation.run(0, 10000 * MS);
        ASSERT_EQ(simulation.violation, "") << "seed " << seed;
        /* At most 10 starts before the suspension, then one start per probe:
           at 1, 2, 4 and 8 s after the suspension at the earliest. */
        EXPECT_LE(simulation.workers[0].starts, 10u + 4u) << "seed " << seed;
        EXPECT_GE(simulation.workers[0].starts, 2u) << "seed " << seed;
        simulation.workers[0].fails_tasks = false;
        uint64_t before = simulation.workers[0].starts;
        simulation.run(0, 40000 * MS);
        EXPECT_GT(simulation.workers[0].starts, before + 20)
            << "seed " << seed;
    }
}

/* Returns how many tasks of a job succeed in 15 s beside bad jobs, which are
   urgent and fail on all workers. */
static uint64_t
count_successes_beside(uint64_t seed, uint32_t bad_jobs)
{
    Simulation simulation(seed);
    simulation.no_faults = true;
    simulation.tasks_succeed = true;
    std::vector<mb_resource_t> jobs;
    for (uint32_t i = 0; i < bad_jobs; i++) {
        std::string name = "bad" + std::to_string(i);
        jobs.push_back(make_job(name.c_str(), MB_CLASS_URGENT, 12, 100));
        simulation.bad_jobs.insert(
            mb_shard_job_key(MB_RESOURCE_JOB, {name.data(), name.size()}));
    }
    jobs.push_back(make_job("good", MB_CLASS_NORMAL, 100000, 400));
    simulation.replace_jobs(jobs);
    simulation.run(0, 15000 * MS);
    EXPECT_EQ(simulation.violation, "") << "seed " << seed;
    return simulation.successes;
}

/* Guards against workers that are suspended because jobs fail on all. */
TEST(ShardPolicy, JobsThatFailEverywhereDoNotSuspendTheWorkers)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        uint64_t undisturbed = count_successes_beside(seed, 0);
        for (uint32_t bad_jobs : {1, 5}) {
            EXPECT_GT(count_successes_beside(seed, bad_jobs), undisturbed / 2)
                << "seed " << seed << ", bad jobs " << bad_jobs;
        }
    }
}

/* Guards against a healthy worker that is limited to ten starts in three
   seconds. This is the limit for starts without a success and must not apply
   when tasks succeed. */
TEST(ShardPolicy, HealthyWorkersRunManyShortTasks)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        Simulation simulation(seed);
        simulation.no_faults = true;
        simulation.tasks_succeed = true;
        simulation.replace_jobs({make_job("j", MB_CLASS_NORMAL, 100000, 400)});
        simulation.run(0, 10000 * MS);
        ASSERT_EQ(simulation.violation, "") << "seed " << seed;
        uint64_t limited = 10 * 10000 / 3000 + 10;
        EXPECT_GT(simulation.workers[0].starts, limited) << "seed " << seed;
    }
}

/* Guards against urgent tasks that wait for more than 4 s because batch uses
   all workers, and against preemption that leaves batch with less than its
   minimum share, also under a flood of urgent tasks. */
TEST(ShardPolicy, UrgentWorkPreemptsBatchDownToItsMinimumShare)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        Simulation simulation(seed);
        simulation.no_faults = true;
        simulation.long_running_job =
            mb_shard_job_key(MB_RESOURCE_JOB, MB_STR_LIT("b"));
        simulation.replace_jobs({make_job("b", MB_CLASS_BATCH, 100, 500)});
        simulation.run(0, 8000 * MS);
        uint64_t capacity = get_capacity_milli(simulation);
        ASSERT_GE(get_held_milli(simulation, MB_CLASS_BATCH) * 100,
                  capacity * 85)
            << "seed " << seed;
        add_job(simulation,
                make_job("u", MB_CLASS_URGENT, URGENT_TASKS, 1000));
        simulation.run(0, 12000 * MS);
        ASSERT_EQ(simulation.violation, "") << "seed " << seed;
        uint64_t key = mb_shard_job_key(MB_RESOURCE_JOB, MB_STR_LIT("u"));
        for (uint32_t i = 0; i < URGENT_TASKS; i++) {
            EXPECT_GE((simulation.latest_attempt[{key, i}]), 1u)
                << "seed " << seed << " task " << i;
        }
        add_job(simulation, make_job("flood", MB_CLASS_URGENT, 4000, 500));
        for (uint64_t at = 12100; at < 20000; at += 100) {
            simulation.run(0, at * MS);
            ASSERT_GE(get_held_milli(simulation, MB_CLASS_BATCH) * 100,
                      capacity * BATCH_MIN_PERCENT)
                << "seed " << seed << " at " << at << " ms";
        }
        ASSERT_EQ(simulation.violation, "") << "seed " << seed;
    }
}

/* Guards against a service that exits at once and is restarted without a
   back-off, which costs the log several appends per second. */
TEST(ShardPolicy, ServiceThatEndsAtOnceBacksOff)
{
    Simulation simulation(2);
    simulation.no_faults = true;
    simulation.tasks_succeed = true;
    simulation.run_when_settled = true;
    mb_resource_t service;
    mb_resource_init(&service, MB_RESOURCE_SERVICE, MB_STR_LIT("s"));
    mb_buf_set(&service.spec.service.team, MB_STR_LIT("team"));
    service.spec.service.instances = 1;
    service.spec.service.size = {500, 100, 0};
    simulation.replace_jobs({service});
    simulation.run(0, 20000 * MS);
    ASSERT_EQ(simulation.violation, "");
    uint64_t starts = 0;
    for (const auto &worker : simulation.workers) {
        starts += worker.starts;
    }
    /* Delays of 0.25, 0.5, 1, 2, 4 and 8 s between the starts. */
    EXPECT_GE(starts, 4u);
    EXPECT_LE(starts, 7u);
}

/* Guards against the eviction of a batch task before throttling was tried, and
   against a service that batch tasks slow down without any throttling. */
TEST(ShardPolicy, SlowedServiceThrottlesBatchBeforeEviction)
{
    Simulation simulation(2);
    simulation.no_faults = true;
    simulation.reported_latency_us = 1000;
    simulation.service_runs_long = true;
    simulation.long_running_job =
        mb_shard_job_key(MB_RESOURCE_JOB, MB_STR_LIT("b"));
    mb_resource_t service;
    mb_resource_init(&service, MB_RESOURCE_SERVICE, MB_STR_LIT("s"));
    mb_buf_set(&service.spec.service.team, MB_STR_LIT("team"));
    service.spec.service.instances = 2;
    service.spec.service.size = {500, 100, 0};
    simulation.service_key = mb_shard_job_key(service.kind, MB_STR_LIT("s"));
    simulation.replace_jobs(
        {service, make_job("b", MB_CLASS_BATCH, 100, 500)});
    simulation.run(0, 8000 * MS);
    EXPECT_EQ(simulation.throttles, 0u);
    uint64_t stops_before = simulation.task_stops;
    simulation.reported_latency_us = 5000;
    while (simulation.throttles == 0 && simulation.now < 20000 * MS) {
        ASSERT_EQ(simulation.task_stops, stops_before);
        simulation.run(0, simulation.now + 50 * MS);
    }
    EXPECT_GT(simulation.throttles, 0u);
    simulation.run(0, 40000 * MS);
    EXPECT_EQ(simulation.violation, "");
}
