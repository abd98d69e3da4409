/* Tests of jobs of which nothing runs although a task's turn has come, in the
   simulation of a fleet. */
#include <gtest/gtest.h>

#include "fleet_histories.h"

extern "C" {
#include "mb_fleet_internal.h"
}

static const char *const service_id = "aaaaaaaaaaaaaaaa";
static const char *const waiting_id = "bbbbbbbbbbbbbbbb";

/* The lines that the owner has logged. */
struct LoggedLines {
    std::vector<std::string> lines;

    static void write(void *context, mb_severity_t, mb_str_t line)
    {
        static_cast<LoggedLines *>(context)->lines.push_back(
            to_std_string(line));
    }
    void attach(FleetSimulation &simulation)
    {
        simulation.fleet.log = {write, this, MB_SEVERITY_INFO, "scheduler"};
    }
    size_t count(const std::string &text) const
    {
        size_t found = 0;
        for (const std::string &line : lines) {
            found += line.find(text) != std::string::npos ? 1 : 0;
        }
        return found;
    }
};

/* Makes all services report a latency close below their target of 50 ms. */
static void
report_near_target(FleetSimulation &simulation)
{
    simulation.reported_value = [](const FakeWorker &,
                                   const FakeWorker::Run &) { return 48u; };
}

/* Guards against a job that waits without a line that tells why. */
TEST(FleetIdleJobs, LogsWhyATaskWaits)
{
    FleetSimulation simulation(1);
    mb_dag_step_t steps[3];
    LoggedLines log;
    simulation.task_ms = 60000;
    report_near_target(simulation);
    simulation.fail_over();
    log.attach(simulation);
    simulation.advance(2500);
    simulation.submit(service_job(&steps[0], service_id, 3000));
    simulation.advance(2000);
    simulation.submit(best_effort_job(&steps[1], waiting_id, 2, "batch"));
    simulation.submit(one_step_job(&steps[2], "cccccccccccccccc", 1, 2000));
    simulation.advance(2500);
    EXPECT_EQ(log.count("task waits"), 0u);
    simulation.advance(2500);
    EXPECT_EQ(log.count("task waits job=bbbbbbbbbbbbbbbb task=0.0.0 "
                        "reason=service_latency"),
              1u);
    EXPECT_EQ(log.count("task waits job=cccccccccccccccc task=0.0.0 "
                        "reason=no_room"),
              1u);
}

/* Guards against lines about waiting jobs that flood the log. */
TEST(FleetIdleJobs, LogsFewLinesASecond)
{
    FleetSimulation simulation(1);
    std::vector<mb_dag_step_t> steps(101);
    LoggedLines log;
    simulation.task_ms = 60000;
    simulation.fail_over();
    log.attach(simulation);
    simulation.advance(2500);
    for (size_t i = 0; i < steps.size(); i++) {
        char id[MB_DAG_ID_LEN + 1];
        (void)snprintf(id, sizeof(id), "%016zx", i + 1);
        simulation.submit(one_step_job(&steps[i], id, 1, 4000));
    }
    simulation.advance(8000);
    EXPECT_GE(log.count("task waits"), 12u);
    EXPECT_LE(log.count("task waits"), 18u);
}

/* Guards against a log that can't tell estimates that are too high from work
   that does disturb a service. */
TEST(FleetIdleJobs, LogsReportedAndExpectedLatency)
{
    FleetSimulation simulation(1);
    mb_dag_step_t steps[2];
    LoggedLines log;
    simulation.task_ms = 60000;
    report_latencies(simulation, "batch");
    simulation.fail_over();
    log.attach(simulation);
    simulation.advance(2500);
    simulation.submit(service_job(&steps[0], service_id, 1500));
    simulation.advance(2000);
    EXPECT_EQ(log.count("latency beside best-effort work"), 0u);
    simulation.submit(best_effort_job(&steps[1], waiting_id, 1, "batch"));
    simulation.advance(4000);
    EXPECT_GE(log.count("latency beside best-effort work"), 2u);
    EXPECT_LE(log.count("latency beside best-effort work"), 4u);
    EXPECT_GE(log.count("image=web beside=batch latency_ms=32 expected_ms=3"),
              1u);
    EXPECT_EQ(log.count("inherited=1"), 0u);
}

/* Guards against such lines that flood the log, or leave out workers. */
TEST(FleetIdleJobs, LogsLatenciesOfAllWorkersInTurn)
{
    FleetSimulation simulation(12);
    std::vector<mb_dag_step_t> steps(2);
    LoggedLines log;
    simulation.task_ms = 60000;
    report_latencies(simulation, "other");
    simulation.fail_over();
    simulation.advance(2500);
    mb_dag_spec_t service = service_job(&steps[0], service_id, 1500);
    steps[0].count = 12;
    steps[0].per_worker_max = 1;
    simulation.submit(service);
    simulation.advance(2000);
    simulation.submit(best_effort_job(&steps[1], waiting_id, 12, "batch"));
    steps[1].per_worker_max = 1;
    simulation.advance(3000);
    log.attach(simulation);
    simulation.advance(8000);
    EXPECT_GE(log.count("latency beside best-effort work"), 21u);
    EXPECT_LE(log.count("latency beside best-effort work"), 27u);
    for (const auto &machine : simulation.machines) {
        EXPECT_GE(log.count("worker=" + machine->worker.name + " image=web"),
                  1u);
    }
}

/* Starts a service of `service_cpu` thousandths of a processor near its target
   and a best-effort job for each worker, and 2 s later two jobs more. All
   best-effort tasks declare 1500 thousandths of a processor. */
static void
submit_waiting_jobs(FleetSimulation &simulation,
                    std::vector<mb_dag_step_t> &steps, uint32_t service_cpu)
{
    size_t workers = simulation.machines.size();
    steps.resize(workers + 3);
    mb_dag_spec_t service = service_job(&steps[0], service_id, service_cpu);
    steps[0].count = (uint32_t)workers;
    steps[0].per_worker_max = 1;
    simulation.submit(service);
    simulation.advance(2000);
    for (size_t i = 0; i < workers + 2; i++) {
        char id[MB_DAG_ID_LEN + 1];
        (void)snprintf(id, sizeof(id), "%016zx", i + 1);
        if (i == workers) {
            simulation.advance(2000);
        }
        simulation.submit(best_effort_job(&steps[i + 1], id, 2, "batch"));
    }
}

/* Returns for how many of the jobs of submit_waiting_jobs something runs. */
static size_t
count_running_jobs(const FleetSimulation &simulation)
{
    std::set<std::string> jobs;
    for (const auto &machine : simulation.machines) {
        for (const auto &run : machine->worker.runs) {
            jobs.insert(std::string(run.task.job.text, MB_DAG_ID_LEN));
        }
    }
    return jobs.size() - jobs.count(service_id);
}

/* LOST: jobs got one task each 8 s while a third of the processors was in use,
   because the processors of best-effort tasks counted as in use. */
TEST(FleetIdleJobs, EachJobRunsWithin3SecondsWhileTheServiceIsHalfFree)
{
    FleetSimulation simulation(3);
    std::vector<mb_dag_step_t> steps;
    simulation.task_ms = 60000;
    report_near_target(simulation);
    simulation.fail_over();
    simulation.advance(2500);
    submit_waiting_jobs(simulation, steps, 1500);
    simulation.advance(3000);
    EXPECT_EQ(count_running_jobs(simulation), 5u);
    expect_no_violations(simulation);
}

/* The same after a change of owner, which has to learn everything anew. */
TEST(FleetIdleJobs, EachJobRunsWithin3SecondsOfANewOwnersReports)
{
    FleetSimulation simulation(3);
    std::vector<mb_dag_step_t> steps;
    simulation.task_ms = 20000;
    report_near_target(simulation);
    simulation.fail_over();
    simulation.advance(2500);
    submit_waiting_jobs(simulation, steps, 1500);
    simulation.advance(500);
    simulation.fail_over(true);
    simulation.advance(3500);
    EXPECT_EQ(count_running_jobs(simulation), 5u);
    expect_no_violations(simulation);
}

/* Guards against a loaded service whose workers are divided among all jobs, so
   that none is on time. */
TEST(FleetIdleJobs, ALoadedServiceIsNotDividedAmongAllJobs)
{
    FleetSimulation simulation(3);
    std::vector<mb_dag_step_t> steps;
    simulation.task_ms = 60000;
    report_near_target(simulation);
    simulation.fail_over();
    simulation.advance(2500);
    submit_waiting_jobs(simulation, steps, 3000);
    simulation.advance(5000);
    EXPECT_EQ(count_running_jobs(simulation), 0u);
    simulation.advance(2000);
    EXPECT_EQ(count_running_jobs(simulation), 3u);
}

/* Guards against late jobs that take the workers from one that can still be in
   time, and against late jobs that wait once it is gone. */
TEST(FleetIdleJobs, AJobThatCanBeInTimeComesBeforeIdleLateOnes)
{
    FleetSimulation simulation(3);
    std::vector<mb_dag_step_t> steps;
    mb_dag_step_t in_time;
    simulation.task_ms = 60000;
    report_near_target(simulation);
    simulation.fail_over();
    simulation.advance(2500);
    mb_dag_spec_t spec = best_effort_job(&in_time, waiting_id, 20, "batch");
    spec.submitted_ms = simulation.now_us / 1000;
    spec.policy.latency_objective_ms = 3600000;
    simulation.submit(spec);
    submit_waiting_jobs(simulation, steps, 1500);
    simulation.advance(3000);
    EXPECT_LT(count_running_jobs(simulation), 5u);
    simulation.cancel(waiting_id);
    simulation.advance(4000);
    EXPECT_EQ(count_running_jobs(simulation), 5u);
}

/* Guards against jobs of one service that wait because another is full. */
TEST(FleetIdleJobs, OnlyTheJobsOwnServiceCounts)
{
    FleetSimulation simulation(3);
    std::vector<mb_dag_step_t> steps;
    mb_dag_step_t full;
    simulation.task_ms = 60000;
    report_near_target(simulation);
    simulation.machines[1]->worker.service = "other";
    simulation.machines[2]->worker.service = "other";
    simulation.fail_over();
    simulation.advance(2500);
    mb_dag_spec_t other = one_step_job(&full, waiting_id, 2, 4000);
    other.policy.service = MB_STR_LIT("other");
    simulation.submit(other);
    simulation.advance(500);
    submit_waiting_jobs(simulation, steps, 1500);
    simulation.advance(3000);
    EXPECT_EQ(count_running_jobs(simulation), 6u);
}

/* Guards against services that count as full because there are many. */
TEST(FleetIdleJobs, JobsOfOneOfManyServicesRunWithin3Seconds)
{
    FleetSimulation simulation(40);
    std::vector<mb_dag_step_t> steps(120);
    std::vector<std::string> services;
    simulation.task_ms = 60000;
    report_near_target(simulation);
    for (size_t i = 0; i < 40; i++) {
        services.push_back("service-" + std::to_string(i));
        simulation.machines[i]->worker.service = services[i];
    }
    simulation.fail_over();
    simulation.advance(2500);
    for (size_t i = 0; i < 120; i++) {
        char id[MB_DAG_ID_LEN + 1];
        (void)snprintf(id, sizeof(id), "%016zx", i + 1);
        mb_dag_spec_t spec = i < 40
                                 ? service_job(&steps[i], id, 1500)
                                 : best_effort_job(&steps[i], id, 1, "batch");
        spec.policy.service = mb_str_from_cstr(services[i % 40].c_str());
        if (i < 40) {
            steps[i].image =
                spec.policy.service; /* disturbed in its own way */
        }
        simulation.submit(spec);
        simulation.advance(i % 40 == 39 ? 2000 : 0);
    }
    simulation.advance(1000);
    EXPECT_EQ(simulation.running(), 120u);
    expect_no_violations(simulation);
}

/* LOST: a gang that lost a worker was never started again, because the members
   that were only placed counted as runs of a job that is not idle. */
TEST(FleetIdleJobs, AGangStartsOnFewerWorkersAfterALoss)
{
    FleetSimulation simulation(3);
    mb_dag_step_t step;
    simulation.task_ms = 60000;
    simulation.fail_over();
    simulation.advance(2500);
    mb_dag_spec_t spec = best_effort_job(&step, waiting_id, 8, "batch");
    step.gang = true;
    simulation.submit(spec);
    simulation.advance(500);
    EXPECT_EQ(simulation.running(), 8u);
    simulation.machines[2]->worker.is_up = false;
    simulation.machines[2]->worker.crash();
    simulation.advance(20000);
    EXPECT_EQ(simulation.machines[0]->worker.runs.size(), 4u);
    EXPECT_EQ(simulation.machines[1]->worker.runs.size(), 4u);
    expect_no_violations(simulation);
}

/* HARM: guards against a service that misses its target for 4 s because every
   job without a run has got a task beside it. */
TEST(FleetIdleJobs, AServiceBesideThemKeepsItsTarget)
{
    FleetSimulation simulation(2);
    std::vector<mb_dag_step_t> steps;
    uint32_t missed_ms = 0;
    uint32_t longest_ms = 0;
    simulation.task_ms = 60000;
    report_latencies(simulation, "batch");
    simulation.fail_over();
    simulation.advance(2500);
    submit_waiting_jobs(simulation, steps, 1500);
    for (uint32_t ms = 0; ms < 20000; ms += 5) {
        uint32_t worst = 0;
        simulation.advance(5);
        for (const auto &machine : simulation.machines) {
            for (const auto &run : machine->worker.runs) {
                if (std::string(run.task.job.text, MB_DAG_ID_LEN) ==
                    service_id) {
                    worst = std::max(worst, simulation.reported_value(
                                                machine->worker, run));
                }
            }
        }
        missed_ms = worst > 50 ? missed_ms + 5 : 0;
        longest_ms = std::max(longest_ms, missed_ms);
    }
    EXPECT_LT(longest_ms, 4000u);
    EXPECT_EQ(count_running_jobs(simulation), 4u);
}

/* A worker that reports nothing counts neither with its room nor with what
   was in use there; nor does one without processors. */
TEST(FleetIdleJobs, WorkersOfWhichNothingIsKnownDoNotCount)
{
    FleetSimulation simulation(3);
    mb_dag_step_t steps[2];
    mb_fleet_pools_t &pools = simulation.fleet.pools;
    mb_str_t service = MB_STR_LIT("service");
    simulation.task_ms = 60000;
    simulation.fail_over();
    mb_fleet_pools_compute(&pools, &simulation.fleet, simulation.now_us);
    EXPECT_EQ(mb_fleet_pools_use_milli(&pools, service), 1000u);
    EXPECT_EQ(mb_fleet_pools_declared_milli(&pools, service), 1000u);
    simulation.advance(2500);
    simulation.submit(one_step_job(&steps[0], service_id, 1, 2000));
    simulation.advance(500);
    simulation.submit(best_effort_job(&steps[1], waiting_id, 1, "batch"));
    simulation.advance(500);
    mb_fleet_pools_compute(&pools, &simulation.fleet, simulation.now_us);
    EXPECT_EQ(mb_fleet_pools_use_milli(&pools, service), 2000u / 12);
    EXPECT_EQ(mb_fleet_pools_declared_milli(&pools, service), 3500u / 12);
    EXPECT_EQ(mb_fleet_pools_use_milli(&pools, MB_STR_LIT("none")), 1000u);
    for (auto &machine : simulation.machines) {
        if (machine->worker.runs.empty()) {
            simulation.disconnect(*machine);
        }
    }
    simulation.advance(1500);
    uint64_t known = 0;
    for (auto &machine : simulation.machines) {
        known += machine->connected ? 4 : 0;
    }
    mb_fleet_pools_compute(&pools, &simulation.fleet, simulation.now_us);
    EXPECT_EQ(mb_fleet_pools_use_milli(&pools, service), 2000u / known);
    for (auto &machine : simulation.machines) {
        mb_fleet_get_worker(&simulation.fleet, machine->number)->capacity =
            mb_size_t{};
    }
    mb_fleet_pools_compute(&pools, &simulation.fleet, simulation.now_us);
    EXPECT_EQ(mb_fleet_pools_use_milli(&pools, service), 1000u);
}

/* Guards against a job that waits beside a service without a target, or one
   that reports no latency. */
TEST(FleetIdleJobs, RunsBesideAServiceWithoutTargetOrLatency)
{
    for (uint32_t target_ms : {0u, 50u}) {
        FleetSimulation simulation(1);
        mb_dag_step_t steps[2];
        simulation.task_ms = 60000;
        simulation.fail_over();
        simulation.advance(2500);
        mb_dag_spec_t service = service_job(&steps[0], service_id, 1500);
        steps[0].latency_target_ms = target_ms;
        simulation.submit(service);
        simulation.advance(2000);
        simulation.submit(best_effort_job(&steps[1], waiting_id, 1, "batch"));
        simulation.advance(3000);
        EXPECT_EQ(count_running_jobs(simulation), 1u) << target_ms;
    }
}
