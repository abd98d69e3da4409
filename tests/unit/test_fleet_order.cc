/* Tests of the order in which jobs of one priority get the room of a fleet, in
   the simulation of a fleet. */
#include <gtest/gtest.h>

#include <algorithm>

#include "fleet_histories.h"

extern "C" {
#include "mb_fleet_internal.h"
}

static const char *const filler_id = "aaaaaaaaaaaaaaaa";
static const char *const large_id = "bbbbbbbbbbbbbbbb";
static const char *const small_id = "cccccccccccccccc";

/* Counts the runs of a job. */
static uint32_t
count_runs(const FleetSimulation &simulation, const std::string &id)
{
    uint32_t count = 0;
    for (const auto &machine : simulation.machines) {
        for (const auto &run : machine->worker.runs) {
            count += std::string(run.task.job.text, MB_DAG_ID_LEN) == id;
        }
    }
    return count;
}

/* Submits a service of `count` tasks, each with `cpu` thousandths of a
   processor. */
static void
submit_service(FleetSimulation &simulation, mb_dag_step_t *step,
               const char *id, uint32_t count, uint32_t cpu)
{
    mb_dag_spec_t spec = service_job(step, id, cpu);
    step->count = count;
    spec.submitted_ms = simulation.now_us / 1000;
    simulation.job_task_ms[id] = 1000000;
    simulation.submit(spec);
}

/* Fills the fleet with a job of a processor a task for a time. */
static void
fill(FleetSimulation &simulation, mb_dag_step_t *step, uint32_t tasks,
     uint32_t task_ms)
{
    simulation.job_task_ms[filler_id] = task_ms;
    simulation.fail_over();
    simulation.advance(2500);
    simulation.submit(one_step_job(step, filler_id, tasks, 1000));
    simulation.advance(300);
    ASSERT_EQ(simulation.running(), tasks);
}

/* Guards against a large service that gets nothing as long as smaller ones
   arrive after it. */
TEST(FleetOrder, ServicesAreStartedInTheOrderOfTheirArrival)
{
    FleetSimulation simulation(2);
    std::vector<mb_dag_step_t> steps(3);
    fill(simulation, &steps[0], 8, 2000);
    submit_service(simulation, &steps[1], large_id, 8, 1000);
    simulation.advance(300);
    submit_service(simulation, &steps[2], small_id, 2, 1000);
    simulation.advance(3000);
    EXPECT_EQ(count_runs(simulation, large_id), 8u);
    EXPECT_EQ(count_runs(simulation, small_id), 0u);
}

/* Guards against a new service that takes the room of an older one, of which a
   worker was lost. */
TEST(FleetOrder, AServiceIsRestoredBeforeANewOneIsStarted)
{
    FleetSimulation simulation(2);
    std::vector<mb_dag_step_t> steps(3);
    simulation.fail_over();
    simulation.advance(2500);
    submit_service(simulation, &steps[0], large_id, 2, 2000);
    simulation.advance(300);
    simulation.job_task_ms[filler_id] = 18000;
    simulation.submit(one_step_job(&steps[1], filler_id, 2, 2000));
    simulation.advance(300);
    ASSERT_EQ(simulation.running(), 4u);
    for (auto &machine : simulation.machines) {
        if (to_std_string({machine->worker.runs[0].task.job.text,
                           MB_DAG_ID_LEN}) == large_id) {
            machine->worker.is_up = false;
            machine->worker.crash();
        }
    }
    ASSERT_EQ(simulation.running(), 2u);
    simulation.advance(12000); /* until its lease has ended */
    submit_service(simulation, &steps[2], small_id, 1, 2000);
    simulation.advance(7000); /* until the filler has ended */
    EXPECT_EQ(count_runs(simulation, large_id), 2u);
    EXPECT_EQ(count_runs(simulation, small_id), 0u);
}

/* Guards against services that take the room of short jobs that can still be
   in time, and against late ones that take that of a service. */
TEST(FleetOrder, ServicesComeAfterJobsInTimeAndBeforeLateOnes)
{
    for (uint64_t age_ms : {UINT64_C(0), UINT64_C(60000)}) {
        FleetSimulation simulation(1);
        std::vector<mb_dag_step_t> steps(3);
        simulation.now_us += 60000000;
        fill(simulation, &steps[0], 4, 8000);
        submit_service(simulation, &steps[1], large_id, 4, 1000);
        simulation.advance(7000);
        mb_dag_spec_t job = one_step_job(&steps[2], small_id, 4, 1000);
        job.submitted_ms = simulation.now_us / 1000 - age_ms;
        job.policy.latency_objective_ms = 10000;
        simulation.job_task_ms[small_id] = 5000;
        simulation.submit(job);
        simulation.advance(1500);
        EXPECT_EQ(count_runs(simulation, large_id), age_ms == 0 ? 0u : 4u);
        EXPECT_EQ(count_runs(simulation, small_id), age_ms == 0 ? 4u : 0u);
    }
}

/* What the services of a size got. */
struct Served {
    uint64_t owed_ms = 0; /* time of their tasks since they were submitted */
    uint64_t run_ms = 0;  /* in which the tasks were running */

    double share() const
    {
        return (double)run_ms / (double)owed_ms;
    }
};

/* Plays services of three sizes that stay for 30 s each, of which a fleet of
   24 processors can take two thirds. Returns what each size got. */
static std::map<uint32_t, Served>
play_services()
{
    struct Service {
        std::string id;
        uint32_t count;
        uint64_t end_us;
    };
    static const uint32_t sizes[] = {2, 2, 2, 2, 2, 2, 2, 12};
    FleetSimulation simulation(6);
    std::deque<mb_dag_step_t> steps;
    std::vector<Service> services;
    std::map<uint32_t, Served> served;
    simulation.fail_over();
    simulation.advance(2500);
    for (uint32_t ms = 0; ms < 180000; ms += 100) {
        if (ms % 2000 == 0) {
            char id[MB_DAG_ID_LEN + 1];
            (void)snprintf(id, sizeof(id), "%016zx", steps.size() + 1);
            steps.emplace_back();
            services.push_back({id, sizes[steps.size() % std::size(sizes)],
                                simulation.now_us + 30000000});
            submit_service(simulation, &steps.back(), id,
                           services.back().count, 1000);
        }
        simulation.advance(100);
        for (auto service = services.begin(); service != services.end();) {
            served[service->count].owed_ms += 100ull * service->count;
            served[service->count].run_ms +=
                100ull * count_runs(simulation, service->id);
            if (simulation.now_us >= service->end_us) {
                simulation.cancel(service->id.c_str());
                service = services.erase(service);
                continue;
            }
            service++;
        }
    }
    expect_no_violations(simulation);
    return served;
}

/* Guards against too little room that the largest services pay for alone: they
   must be served at least half as well as all. */
TEST(FleetOrder, TooLittleRoomIsNotPaidForByTheLargestServicesAlone)
{
    std::map<uint32_t, Served> served = play_services();
    Served all;
    for (const auto &size : served) {
        all.owed_ms += size.second.owed_ms;
        all.run_ms += size.second.run_ms;
    }
    ASSERT_EQ(served.size(), 2u);
    EXPECT_LT(all.share(), 0.6); /* or there is no lack of room */
    for (const auto &size : served) {
        EXPECT_GE(size.second.share(), all.share() / 2) << size.first;
    }
}

/* Guards against a recurring job that is taken for very late because of the
   time since its submission, so that its occurrences come after all others. */
TEST(FleetOrder, OccurrencesAgeFromTheirDueTimes)
{
    FleetSimulation simulation(1);
    std::vector<mb_dag_step_t> steps(4);
    simulation.fail_over();
    simulation.advance(2500);
    mb_dag_spec_t line = one_step_job(&steps[0], small_id, 2, 1000);
    line.submitted_ms = simulation.now_us / 1000;
    line.occurrences = 1000;
    line.first_ms = line.submitted_ms;
    line.interval_ms = 20000;
    simulation.submit(line);
    simulation.advance(19000);
    /* Work that is late, and has waited for less than the recurring job. */
    simulation.job_task_ms[filler_id] = 2000;
    mb_dag_spec_t filler = one_step_job(&steps[1], filler_id, 60, 1000);
    filler.submitted_ms = simulation.now_us / 1000 - 5000;
    simulation.submit(filler);
    simulation.advance(1000 + 2500);
    EXPECT_EQ(simulation.starts[format_task({line.id, 1, 0, 0})], 1u);
    EXPECT_EQ(simulation.starts[format_task({line.id, 1, 0, 1})], 1u);
    mb_dag_job_t *job = mb_dag_find(&simulation.table, line.id);
    EXPECT_TRUE(mb_dag_is_finished(job, 0));
    EXPECT_FALSE(mb_fleet_job_is_late(job, simulation.now_us));
    expect_no_violations(simulation);
}
