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
