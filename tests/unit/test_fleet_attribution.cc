/* Tests of what is held against workers, and what against jobs, when runs
   fail, in the simulation of a fleet. */
#include <gtest/gtest.h>

#include "fleet_histories.h"

extern "C" {
#include "mb_fleet_internal.h"
}

/* Bad jobs of the most urgent queue, good jobs of another one that come at
   intervals, and workers that fail all that they start. */
struct Scenario {
    uint32_t workers = 8; /* with four processors each */
    uint32_t bad_workers = 0;
    uint32_t bad_jobs = 0;
    uint32_t bad_tasks = 6; /* of each bad job */
    BadJob bad_job = {BadJob::FAILS, 250};
    bool bad_jobs_last = true;       /* they are services */
    uint32_t good_jobs_after_ms = 0; /* from the bad ones to the first */
    uint32_t good_jobs = 6;
    uint32_t good_tasks = 8; /* of each good job */
    bool good_jobs_last = false;
    bool owner_changes = false; /* each 6 s */
};

struct Result {
    uint32_t waiting = 0;       /* good tasks neither done nor at work */
    uint32_t suspended = 0;     /* sound workers that get no starts */
    uint64_t failed_starts = 0; /* of good tasks on bad workers */
    uint32_t bad_starts = 0;    /* of bad tasks */
};

static const uint32_t fail_times_ms[] = {100, 900, 1500};
static const uint32_t good_task_ms = 1700;
static const uint32_t interval_ms = 3000; /* of the good jobs */
static const uint32_t last_wait_ms = 10000;

static std::string
make_id(char kind, uint32_t number)
{
    char text[MB_DAG_ID_LEN + 1];
    (void)g_snprintf(text, sizeof(text), "%c%015x", kind, number);
    return text;
}

/* Submits a job of one step. */
static void
submit(FleetSimulation &simulation, const std::string &id, uint32_t count,
       uint32_t cpu, bool lasts, uint32_t priority)
{
    mb_dag_step_t step;
    mb_dag_spec_t spec = one_step_job(&step, id.c_str(), count, cpu);
    step.long_running = lasts;
    spec.policy.priority = priority;
    spec.policy.max_attempts = 4;
    spec.submitted_ms = simulation.now_us / 1000;
    simulation.submit(spec);
}

/* Counts the tasks of a job that are neither done nor at work. */
static uint32_t
count_waiting(FleetSimulation &simulation, const std::string &id)
{
    mb_dag_id_t key;
    uint32_t count = 0;
    EXPECT_TRUE(mb_dag_id_parse({id.data(), id.size()}, &key));
    mb_dag_job_t *job = mb_dag_find(&simulation.table, key);
    for (uint32_t i = 0; i < job->steps[0].count; i++) {
        const mb_dag_task_t *task = mb_dag_task(job, 0, 0, i);
        count +=
            task != nullptr && !task->done && !mb_fleet_task_is_running(task);
    }
    return count;
}

static Result
count_results(FleetSimulation &simulation, const Scenario &scenario)
{
    Result result;
    for (uint32_t i = 0; i < scenario.good_jobs; i++) {
        result.waiting += count_waiting(simulation, make_id('a', i));
    }
    for (uint32_t i = 0; i < scenario.workers; i++) {
        const mb_fleet_worker_t *worker =
            mb_fleet_get_worker(&simulation.fleet, i);
        result.failed_starts += simulation.machines[i]->worker.failed_starts;
        result.suspended += i >= scenario.bad_workers &&
                            worker->health.state != MB_HEALTH_HEALTHY;
    }
    for (const auto &item : simulation.starts) {
        result.bad_starts += item.first[0] == 'b' ? item.second : 0;
    }
    expect_no_violations(simulation);
    return result;
}

/* Plays a scenario, up to 10 s after the last good job. */
static Result
play(const Scenario &scenario)
{
    FleetSimulation simulation(scenario.workers);
    simulation.fail_over();
    simulation.advance(2500);
    for (uint32_t i = 0; i < scenario.bad_workers; i++) {
        FakeWorker &worker = simulation.machines[i]->worker;
        worker.fails_runs = true;
        worker.fails_after_ms = scenario.bad_job.fails_after_ms;
    }
    for (uint32_t i = 0; i < scenario.bad_jobs; i++) {
        std::string id = make_id('b', i);
        simulation.bad_jobs[id] = scenario.bad_job;
        submit(simulation, id, scenario.bad_tasks, 250, scenario.bad_jobs_last,
               0);
    }
    simulation.advance(scenario.good_jobs_after_ms);
    for (uint32_t i = 0; i < scenario.good_jobs; i++) {
        std::string id = make_id('a', i);
        simulation.job_task_ms[id] =
            scenario.good_jobs_last ? 600000 : good_task_ms;
        submit(simulation, id, scenario.good_tasks, 400,
               scenario.good_jobs_last, 2);
        simulation.advance(interval_ms);
        if (scenario.owner_changes && i % 2 == 1) {
            simulation.fail_over();
        }
    }
    simulation.advance(last_wait_ms);
    return count_results(simulation, scenario);
}

/* Names a scenario for messages. */
static std::string
describe(const Scenario &scenario)
{
    return std::to_string(scenario.bad_jobs) + " bad jobs of " +
           std::to_string(scenario.bad_tasks) + " tasks, " +
           std::to_string(scenario.bad_workers) + " bad workers, " +
           std::to_string(scenario.bad_job.fails_after_ms) + " ms, last " +
           std::to_string(scenario.bad_jobs_last) + " " +
           std::to_string(scenario.good_jobs_last) + ", owner changes " +
           std::to_string(scenario.owner_changes);
}

/* Guards against sound workers that get no starts because jobs fail on all. */
TEST(FleetAttribution, JobsThatFailEverywhereDoNotSuspendTheWorkers)
{
    for (uint32_t fails_after_ms : fail_times_ms) {
        for (uint32_t number = 0; number < 16; number++) {
            Scenario scenario;
            scenario.bad_job.fails_after_ms = fails_after_ms;
            scenario.bad_jobs_last = (number & 1) == 0;
            scenario.good_jobs_last = (number & 2) != 0;
            scenario.owner_changes = (number & 4) != 0;
            scenario.bad_jobs = (number & 8) == 0 ? 1 : 10;
            Result result = play(scenario);
            EXPECT_EQ(result.waiting, 0u) << describe(scenario);
            EXPECT_EQ(result.suspended, 0u) << describe(scenario);
        }
    }
}

/* Guards against the same by jobs of one task each, which fail on one worker
   at a time. */
TEST(FleetAttribution, ManyJobsOfOneTaskDoNotSuspendTheWorkers)
{
    for (uint32_t fails_after_ms : fail_times_ms) {
        Scenario scenario;
        scenario.bad_job.fails_after_ms = fails_after_ms;
        scenario.bad_jobs = 50;
        scenario.bad_tasks = 1;
        Result result = play(scenario);
        EXPECT_EQ(result.waiting, 0u) << describe(scenario);
        EXPECT_EQ(result.suspended, 0u) << describe(scenario);
    }
}

/* Guards against the same by jobs that make no progress or are refused. */
TEST(FleetAttribution, StalledAndInvalidJobsDoNotSuspendTheWorkers)
{
    for (BadJob bad_job :
         {BadJob{BadJob::STALLS, 0}, BadJob{BadJob::INVALID, 0}}) {
        Scenario scenario;
        scenario.bad_job = bad_job;
        scenario.bad_jobs = 10;
        scenario.bad_jobs_last = false;
        Result result = play(scenario);
        EXPECT_EQ(result.waiting, 0u) << describe(scenario);
        EXPECT_EQ(result.suspended, 0u) << describe(scenario);
    }
}

/* Guards against a bad job that takes each probe of the only worker. */
TEST(FleetAttribution, ABadJobLeavesTheProbesToOthers)
{
    for (uint32_t fails_after_ms : fail_times_ms) {
        Scenario scenario;
        scenario.workers = 1;
        scenario.good_jobs_after_ms = 3000;
        scenario.bad_job.fails_after_ms = fails_after_ms;
        scenario.bad_jobs = 2;
        Result result = play(scenario);
        EXPECT_EQ(result.waiting, 0u) << describe(scenario);
    }
}

/* Guards against work that is given to workers which fail all of it, also
   beside jobs that fail everywhere. */
TEST(FleetAttribution, WorkersThatFailAllAreLeftAlone)
{
    for (uint32_t fails_after_ms : fail_times_ms) {
        for (uint32_t number = 0; number < 16; number++) {
            Scenario scenario;
            scenario.workers = 12;
            scenario.bad_workers = (number & 1) == 0 ? 1 : 2;
            scenario.bad_jobs = (number & 2) == 0 ? 0 : 1;
            scenario.good_jobs_last = (number & 4) != 0;
            scenario.good_tasks = scenario.good_jobs_last ? 16 : 100;
            scenario.owner_changes = (number & 8) != 0;
            scenario.bad_job.fails_after_ms = fails_after_ms;
            /* A new owner knows nothing of the failures before. In 28 s, four
               probes follow 1, 3, 7 and 15 s after the suspension. */
            uint32_t owners = scenario.owner_changes ? 4 : 1;
            uint64_t starts_max = MB_HEALTH_UNPROVEN_MAX + 4;
            Result result = play(scenario);
            EXPECT_EQ(result.waiting, 0u) << describe(scenario);
            EXPECT_LE(result.failed_starts,
                      owners * scenario.bad_workers * starts_max)
                << describe(scenario);
        }
    }
}

/* Guards against a bad job that is started each 100 ms for good. */
TEST(FleetAttribution, ABadJobBacksOff)
{
    for (uint32_t fails_after_ms : fail_times_ms) {
        Scenario scenario;
        scenario.bad_job.fails_after_ms = fails_after_ms;
        scenario.bad_jobs = 1;
        Result result = play(scenario);
        uint32_t played_ms = scenario.good_jobs * interval_ms + last_wait_ms;
        /* Six delays up to the longest one. */
        uint32_t starts_max =
            6 + played_ms / MB_FLEET_SERVICE_RETRY_DELAY_MAX_MS + 1;
        EXPECT_LE(result.bad_starts, scenario.bad_tasks * starts_max);
        /* A task of a service must not be away for longer than 6 s. */
        EXPECT_GE(result.bad_starts,
                  scenario.bad_tasks * played_ms / (6000 + fails_after_ms));
    }
}

/* Guards against a worker that is suspended because services fail soon after
   a change of owner, which doesn't know for how long they have worked. */
TEST(FleetAttribution, ServicesOfAFormerOwnerThatFailAreNoFailedStarts)
{
    FleetSimulation simulation(1);
    simulation.job_task_ms[make_id('a', 0)] = 10000;
    simulation.fail_percent = 100;
    simulation.fail_over();
    simulation.advance(2500);
    submit(simulation, make_id('a', 0), 8, 400, true, 0);
    simulation.advance(9500);
    simulation.fail_over(true);
    simulation.advance(1000);
    ASSERT_EQ(simulation.fleet.counts.ends[MB_RUN_FAILED], 8u);
    EXPECT_EQ(mb_fleet_get_worker(&simulation.fleet, 0)->health.failure_count,
              0u);
    EXPECT_EQ(simulation.running(), 8u);
}
