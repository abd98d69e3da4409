/* Tests of what the review of inc-dropped-success and inc-old-figures found.
 */
#include <gtest/gtest.h>

#include "fleet_histories.h"

static const char *const job_id = "0123456789abcdef";

/* A stalled run was never stopped while answers of its worker came with gaps:
   the watch began anew after each gap. */
TEST(FleetEndReports, StalledRunOfAFlappingWorkerIsStopped)
{
    FleetSimulation simulation(2);
    mb_dag_step_t step;
    simulation.task_ms = 20000;
    simulation.fail_over();
    simulation.advance(2500);
    simulation.submit(one_step_job(&step, job_id, 1, 1000));
    simulation.advance(1000);
    for (auto &machine : simulation.machines) {
        machine->worker.stalled = true;
    }
    for (int i = 0; i < 10; i++) {
        for (auto &machine : simulation.machines) {
            machine->worker.is_cut = true;
        }
        simulation.advance(1500);
        for (auto &machine : simulation.machines) {
            machine->worker.is_cut = false;
        }
        simulation.advance(1500);
    }
    EXPECT_GT(simulation.fleet.counts.stalls, 0u);
    expect_no_violations(simulation);
}

/* Failures of an earlier incarnation of a worker suspended the next one. */
TEST(FleetEndReports, FailuresOfAnEarlierIncarnationDoNotSuspendTheWorker)
{
    FleetSimulation simulation(1);
    mb_dag_step_t step;
    Machine &machine = *simulation.machines[0];
    simulation.task_ms = 1000;
    simulation.fail_percent = 100;
    simulation.fail_over();
    simulation.advance(2500);
    mb_dag_spec_t spec = one_step_job(&step, job_id, 8, 500);
    spec.policy.max_attempts = 5;
    simulation.submit(spec);
    simulation.advance(300);
    ASSERT_EQ(machine.worker.runs.size(), 8u);
    simulation.disconnect(machine);
    simulation.advance(1500);
    ASSERT_EQ(machine.worker.ends.size(), 8u);
    machine.worker.crash();
    simulation.fail_percent = 0;
    simulation.advance(1500);
    simulation.connect(machine);
    simulation.advance(500);
    const mb_fleet_worker_t *worker = static_cast<mb_fleet_worker_t *>(
        g_ptr_array_index(simulation.fleet.workers, 0));
    ASSERT_EQ(worker->incarnation, machine.worker.started_ms);
    EXPECT_FALSE(mb_health_suspended(&worker->health, simulation.now_us));
    simulation.advance(3000);
    EXPECT_EQ(simulation.outcome(job_id), MB_DAG_COMPLETED);
    expect_no_violations(simulation);
}

/* An agent whose worker had started again and then left was recorded as
   departed before any owner had got the outcomes of the earlier
   incarnation. */
TEST(FleetEndReports, WorkerHasNotLeftBeforeItsFormerEndsAreReported)
{
    FleetSimulation simulation(1);
    mb_dag_step_t step;
    Machine &machine = *simulation.machines[0];
    simulation.task_ms = 1000;
    simulation.fail_over();
    simulation.advance(2500);
    simulation.submit(one_step_job(&step, job_id, 1, 1000));
    simulation.advance(300);
    simulation.disconnect(machine);
    simulation.advance(1500);
    ASSERT_EQ(machine.worker.ends.size(), 1u);
    machine.worker.crash();
    simulation.advance(1500);
    mb_agent_deregister(machine.agent, {machine.worker.name.data(),
                                        machine.worker.name.size()});
    machine.worker.is_up = false;
    simulation.advance(500);
    EXPECT_FALSE(mb_agent_worker_has_left(machine.agent));
    simulation.connect(machine);
    simulation.advance(1000);
    EXPECT_EQ(simulation.outcome(job_id), MB_DAG_COMPLETED);
    simulation.advance(31000);
    EXPECT_TRUE(mb_agent_worker_has_left(machine.agent));
}

/* A complete report contained neither the runs that had ended nor those of
   their ends that did not fit, so the owner started their tasks again. */
TEST(FleetEndReports, EndsThatDoNotFitAreNotTakenForLostRuns)
{
    static const uint32_t COUNT = 900;
    FleetSimulation simulation(1);
    mb_dag_step_t step;
    Machine &machine = *simulation.machines[0];
    simulation.capacity_milli = 1000000;
    simulation.task_ms = 1100;
    machine.worker.end_checkpoint = std::string(1000, 'c');
    machine.worker.listed_ends_max = 2000;
    simulation.fail_over();
    simulation.advance(2500);
    simulation.submit(one_step_job(&step, job_id, COUNT, 1000));
    simulation.advance(900);
    ASSERT_EQ(machine.worker.runs.size(), COUNT);
    simulation.disconnect(machine);
    simulation.advance(600);
    simulation.connect(machine);
    simulation.advance(3000);
    EXPECT_EQ(simulation.outcome(job_id), MB_DAG_COMPLETED);
    EXPECT_EQ(simulation.fleet.counts.starts, COUNT);
    expect_no_violations(simulation);
}

/* An end with a text that fits in no report kept all later ones of its worker
   from being reported. */
TEST(FleetEndReports, EndWithATooLongCheckpointIsReported)
{
    FleetSimulation simulation(1);
    mb_dag_step_t step;
    Machine &machine = *simulation.machines[0];
    machine.worker.end_checkpoint =
        std::string(MB_DAG_CHECKPOINT_MAX + 1, 'c');
    simulation.fail_over();
    simulation.advance(2500);
    simulation.submit(one_step_job(&step, job_id, 2, 1000));
    simulation.advance(3000);
    EXPECT_EQ(simulation.outcome(job_id), MB_DAG_COMPLETED);
    expect_no_violations(simulation);
}

/* The checkpoint of a stopped run was dropped when a newer start of its task
   had been refused, and the work was done again. */
TEST(FleetEndReports, CheckpointCountsAfterANewerStartWasRefused)
{
    FleetSimulation simulation(2);
    mb_dag_step_t step;
    Machine *first = nullptr;
    simulation.task_ms = 60000;
    simulation.fail_over();
    simulation.advance(2500);
    mb_dag_spec_t spec = one_step_job(&step, job_id, 1, 1000);
    step.checkpoints = true;
    mb_dag_job_t *job = simulation.submit(spec);
    simulation.advance(300);
    for (auto &machine : simulation.machines) {
        machine->worker.end_checkpoint = "saved";
        if (!machine->worker.runs.empty()) {
            first = machine.get();
        }
    }
    ASSERT_NE(first, nullptr);
    for (auto &machine : simulation.machines) {
        mb_agent_set_departure_recorded(machine->agent,
                                        machine.get() != first);
    }
    first->worker.is_cut = true;
    simulation.advance(8000);
    EXPECT_GT(simulation.fleet.counts.refusals[MB_REFUSAL_ABSENT], 0u);
    first->worker.is_cut = false;
    simulation.advance(500);
    const mb_dag_task_t *task = mb_dag_task(job, 0, 0, 0);
    EXPECT_EQ(std::string(task->checkpoint == nullptr ? "" : task->checkpoint,
                          task->checkpoint_len),
              "saved");
    expect_no_violations(simulation);
}

/* Returns a job of two steps, of which the second one depends on the first. */
static mb_dag_spec_t
two_step_job(mb_dag_step_t *steps, const char *id, uint32_t count)
{
    mb_dag_spec_t spec = one_step_job(&steps[0], id, count, 800);
    steps[1] = steps[0];
    steps[1].depends_on = 1;
    spec.step_count = 2;
    return spec;
}

static std::string
make_id(int number)
{
    char id[MB_DAG_ID_LEN + 1];
    (void)snprintf(id, sizeof(id), "%016x", number);
    return id;
}

/* Tells of completed jobs with a task of which no run has succeeded. */
static void
check_completed(FleetSimulation &simulation, int count)
{
    for (int i = 1; i <= count; i++) {
        mb_dag_id_t id;
        ASSERT_TRUE(
            mb_dag_id_parse(mb_str_from_cstr(make_id(i).c_str()), &id));
        const mb_dag_job_t *job = mb_dag_find(&simulation.table, id);
        if (job == nullptr || job->outcome != MB_DAG_COMPLETED) {
            continue;
        }
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            for (uint32_t k = 0; k < job->steps[s].count; k++) {
                std::string task = format_task({job->spec.id, 0, s, k});
                EXPECT_EQ(simulation.work.succeeded.count(task), 1u) << task;
            }
        }
    }
}

/* Workers that are cut off from their agents, that start again and whose calls
   are late, with agents that restart and owners that change. */
static void
run_cut_history(uint64_t seed)
{
    static const int JOBS = 24;
    FleetSimulation simulation(4, seed);
    std::vector<mb_dag_step_t> steps(2 * JOBS);
    simulation.fail_percent = 3;
    simulation.task_ms = 200 + simulation.random() % 3000;
    simulation.fail_over();
    simulation.advance(2500);
    for (int event = 0; event < 80; event++) {
        Machine &machine = *simulation.machines[simulation.random() % 4];
        FakeWorker &worker = machine.worker;
        switch (simulation.random() % 12) {
        case 0:
        case 1:
        case 2:
            worker.is_cut = true;
            break;
        case 3:
        case 4:
            worker.is_cut = false;
            break;
        case 5:
            simulation.disconnect(machine);
            break;
        case 6:
            simulation.connect(machine);
            break;
        case 7:
            worker.start_faults = {'d', 'o', 'l'};
            worker.stop_faults = {'l', 'd'};
            break;
        case 8:
            if (simulation.random() % 2 == 0) {
                worker.crash();
            }
            break;
        case 9:
            if (simulation.random() % 3 == 0) {
                simulation.store_fails = false;
                simulation.fail_over();
            }
            break;
        case 10:
            simulation.restart_agent(machine);
            break;
        default:
            simulation.store_fails = simulation.random() % 8 == 0;
            break;
        }
        if (event < JOBS) {
            mb_dag_spec_t spec = two_step_job(&steps[2 * (size_t)event],
                                              make_id(event + 1).c_str(),
                                              1 + simulation.random() % 4);
            spec.policy.max_attempts = 50;
            spec.submitted_ms = simulation.now_us / 1000;
            simulation.submit(spec);
        }
        simulation.advance(50 + simulation.random() % 1500);
        check_completed(simulation, JOBS);
    }
    simulation.store_fails = false;
    for (auto &machine : simulation.machines) {
        machine->worker.is_cut = false;
    }
    simulation.fail_over();
    simulation.advance(60000);
    check_completed(simulation, JOBS);
    for (int i = 1; i <= JOBS; i++) {
        EXPECT_EQ(simulation.outcome(make_id(i).c_str()), MB_DAG_COMPLETED)
            << i;
    }
    expect_no_violations(simulation);
}

TEST(FleetEndReports, KeepsInvariantsWhileWorkersAreCutOff)
{
    run_histories(run_cut_history);
}

/* A gang whose success is heard of late: the members that run again are
   stopped, and the success of another member counts for nothing more. */
TEST(FleetEndReports, SuccessOfAnOlderGangEndsTheNewerOne)
{
    FleetSimulation simulation(4);
    mb_dag_step_t step;
    std::vector<Machine *> first;
    simulation.task_ms = 1000;
    simulation.fail_over();
    simulation.advance(2500);
    mb_dag_spec_t spec = one_step_job(&step, job_id, 2, 3000);
    step.gang = true;
    simulation.submit(spec);
    simulation.advance(300);
    for (auto &machine : simulation.machines) {
        if (!machine->worker.runs.empty()) {
            first.push_back(machine.get());
            machine->worker.is_cut = true;
        }
    }
    ASSERT_EQ(first.size(), 2u);
    simulation.task_ms = 60000;
    simulation.advance(8000);
    ASSERT_EQ(simulation.running(), 2u);
    first[1]->worker.is_cut = false;
    simulation.advance(2000);
    EXPECT_EQ(simulation.outcome(job_id), MB_DAG_COMPLETED);
    EXPECT_EQ(simulation.running(), 0u);
    first[0]->worker.is_cut = false;
    simulation.advance(2000);
    EXPECT_EQ(simulation.running(), 0u);
    EXPECT_EQ(simulation.fleet.counts.starts, 4u);
    expect_no_violations(simulation);
}
