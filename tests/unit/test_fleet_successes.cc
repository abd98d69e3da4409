/* Tests that a success counts once, whichever process hears of it and when. */
#include <gtest/gtest.h>

#include "fleet_histories.h"

static const char *const short_id = "0123456789abcdef";
static const char *const long_id = "fedcba9876543210";

/* A fleet whose first worker runs one task of 1 s, and whose agent is then cut
   off from what the test says. */
struct FirstRun {
    FleetSimulation simulation;
    mb_dag_step_t step;
    Machine *machine = nullptr;

    explicit FirstRun(uint32_t machine_count, uint32_t task_count = 1,
                      uint32_t cpu = 1000)
        : simulation(machine_count)
    {
        simulation.task_ms = 1000;
        simulation.fail_over();
        simulation.advance(2500);
        simulation.submit(one_step_job(&step, short_id, task_count, cpu));
        simulation.advance(300);
        for (auto &each : simulation.machines) {
            if (!each->worker.runs.empty()) {
                machine = each.get();
            }
        }
        EXPECT_NE(machine, nullptr);
    }

    uint32_t starts(uint32_t index = 0)
    {
        mb_dag_task_id_t task = {step_job()->spec.id, 0, 0, index};
        return simulation.starts[format_task(task)];
    }

    mb_dag_job_t *step_job()
    {
        mb_dag_id_t id;
        EXPECT_TRUE(mb_dag_id_parse(mb_str_from_cstr(short_id), &id));
        return mb_dag_find(&simulation.table, id);
    }

    mb_dag_task_id_t task_id(uint32_t occurrence = 0, uint32_t index = 0)
    {
        return {step_job()->spec.id, occurrence, 0, index};
    }

    const mb_dag_task_t *task()
    {
        return mb_dag_task(step_job(), 0, 0, 0);
    }

    /* Returns a machine other than those that run the job at first. */
    Machine *other_machine()
    {
        for (auto &each : simulation.machines) {
            if (each.get() != machine && each->worker.runs.empty()) {
                return each.get();
            }
        }
        return nullptr;
    }

    /* Cuts the first worker off until its run has been given up and the task
       has been started again, for a long time. */
    void start_again()
    {
        simulation.task_ms = 60000;
        machine->worker.is_cut = true;
        simulation.advance(8000);
        EXPECT_EQ(starts(), 2u);
    }

    /* Lets the first worker list what it has finished meanwhile. */
    void reconnect_worker()
    {
        machine->worker.is_cut = false;
        simulation.advance(3000);
    }

    /* Has a worker list the end of a run that it did not get here. */
    void list_end(Machine *of, const mb_dag_task_id_t &id, uint64_t run,
                  mb_run_end_t how)
    {
        of->worker.ends.push_back({++of->worker.last_end_number, id, run, how,
                                   false, simulation.now_us});
        simulation.advance(500);
    }

    uint64_t effects(mb_fleet_end_effect_t effect) const
    {
        return simulation.fleet.counts.end_effects[effect];
    }
};

/* The agent reported successes as expired leases. */
TEST(FleetSuccess, SuccessListedBesideAnExpiredLeaseCounts)
{
    FirstRun test(1);
    mb_dag_step_t long_step;
    test.simulation.task_ms = 60000;
    test.simulation.submit(one_step_job(&long_step, long_id, 1, 1000));
    test.simulation.advance(300);
    ASSERT_EQ(test.machine->worker.runs.size(), 2u);
    test.machine->worker.is_cut = true;
    test.simulation.advance(8000);
    test.machine->worker.is_cut = false;
    test.simulation.advance(3000);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.starts(), 1u);
    expect_no_violations(test.simulation);
}

/* The owner ignored successes with a lower number than that of a start that
   was refused. */
TEST(FleetSuccess, SuccessCountsAfterANewerStartWasRefused)
{
    FirstRun test(2);
    for (auto &machine : test.simulation.machines) {
        bool is_other = machine.get() != test.machine;
        mb_agent_set_departure_recorded(machine->agent, is_other);
    }
    test.machine->worker.is_cut = true;
    test.simulation.advance(8000);
    EXPECT_GT(test.simulation.fleet.counts.refusals[MB_REFUSAL_ABSENT], 0u);
    test.machine->worker.is_cut = false;
    test.simulation.advance(3000);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.starts(), 1u);
    expect_no_violations(test.simulation);
}

/* The owner ignored successes of a task that runs again. */
TEST(FleetSuccess, SuccessOfAnOlderRunEndsTheNewerOne)
{
    FirstRun test(2);
    test.simulation.task_ms = 60000;
    test.machine->worker.is_cut = true;
    test.simulation.advance(8000);
    ASSERT_EQ(test.starts(), 2u);
    test.machine->worker.is_cut = false;
    test.simulation.advance(3000);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.simulation.running(), 0u);
    expect_no_violations(test.simulation);
}

/* The owner could not tell work that was done twice from an end that it got
   twice. */
TEST(FleetSuccess, SecondSuccessOfATaskDoesNotCount)
{
    FirstRun test(3, 3, 3000);
    FleetSimulation &simulation = test.simulation;
    Machine *last = simulation.machines[0].get();
    last = last == test.machine ? simulation.machines[1].get() : last;
    ASSERT_EQ(last->worker.runs.size(), 1u);
    last->worker.runs[0].end_ms += 20000;
    test.machine->worker.is_cut = true;
    simulation.advance(8000);
    test.machine->worker.is_cut = false;
    simulation.advance(3000);
    EXPECT_EQ(test.effects(MB_FLEET_END_TASK_DONE), 1u);
    EXPECT_EQ(simulation.fleet.counts.repeated_successes, 1u);
    EXPECT_EQ(simulation.outcome(short_id), MB_DAG_OPEN);
    simulation.advance(15000);
    EXPECT_EQ(simulation.outcome(short_id), MB_DAG_COMPLETED);
    expect_no_violations(simulation);
}

/* The owner ignored the ends of a report that was not complete, although the
   agent does not repeat them on the same connection. */
TEST(FleetSuccess, SuccessCountsInAReportThatIsNotComplete)
{
    FirstRun test(1);
    std::vector<std::string> delayed;
    FleetSimulation &simulation = test.simulation;
    test.machine->other_owner = [&](const std::string &bytes) {
        delayed.push_back(bytes);
    };
    simulation.advance(7000);
    ASSERT_EQ(simulation.fleet.running, 0u);
    test.machine->other_owner = nullptr;
    for (const std::string &bytes : delayed) {
        ASSERT_TRUE(mb_report_decode(&simulation.report_decoder,
                                     {bytes.data(), bytes.size()}, nullptr));
        if (!simulation.report_decoder.report.complete) {
            mb_fleet_handle_report(&simulation.fleet, test.machine->number,
                                   &simulation.report_decoder.report);
        }
    }
    simulation.advance(3000);
    EXPECT_EQ(simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.starts(), 1u);
    expect_no_violations(simulation);
}

/* The agent dropped the ends that it had not reported when the worker started
   again. */
TEST(FleetSuccess, SuccessCountsAfterARestartOfTheWorker)
{
    FirstRun test(1);
    test.simulation.disconnect(*test.machine);
    test.simulation.advance(1500);
    ASSERT_EQ(test.machine->worker.ends.size(), 1u);
    test.machine->worker.crash();
    test.simulation.advance(1500);
    test.simulation.connect(*test.machine);
    test.simulation.advance(3000);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.starts(), 1u);
    expect_no_violations(test.simulation);
}

/* The end of one occurrence was taken for that of a later one. */
TEST(FleetSuccess, SuccessOfAnEarlierOccurrenceLeavesTheLaterOneAlone)
{
    FirstRun test(3);
    FleetSimulation &simulation = test.simulation;
    mb_dag_step_t step;
    mb_dag_spec_t spec = one_step_job(&step, long_id, 1, 3000);
    spec.occurrences = 2;
    spec.first_ms = simulation.now_us / 1000;
    spec.interval_ms = 500;
    simulation.task_ms = 60000;
    simulation.submit(spec);
    simulation.advance(1500);
    mb_dag_job_t *job = mb_dag_find(&simulation.table, spec.id);
    mb_dag_task_id_t later = {spec.id, 1, 0, 0};
    const mb_dag_task_t *first = mb_dag_task(job, 0, 0, 0);
    const mb_dag_task_t *second = mb_dag_task(job, 1, 0, 0);
    ASSERT_NE(second->runs[0].number, 0u);
    test.list_end(test.machine, {spec.id, 0, 0, 0}, first->last_run - 1,
                  MB_RUN_DONE);
    EXPECT_TRUE(mb_dag_is_finished(job, 0));
    EXPECT_FALSE(mb_dag_is_finished(job, 1));
    EXPECT_FALSE(second->done);
    EXPECT_EQ(simulation.running(), 1u);
    EXPECT_EQ(simulation.starts[format_task(later)], 1u);
    EXPECT_EQ(job->outcome, MB_DAG_OPEN);
    expect_no_violations(simulation);
}

/* A late success changed the outcome of a cancelled job, or was listed
   forever. */
TEST(FleetSuccess, SuccessOfACancelledJobIsOnlyAcknowledged)
{
    FirstRun test(2);
    test.start_again();
    test.simulation.cancel(short_id);
    test.simulation.advance(1000);
    test.reconnect_worker();
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_CANCELLED);
    EXPECT_FALSE(test.task()->done);
    EXPECT_GT(test.effects(MB_FLEET_END_JOB_CLOSED), 0u);
    EXPECT_TRUE(test.machine->worker.ends.empty());
    EXPECT_EQ(test.simulation.running(), 0u);
    expect_no_violations(test.simulation);
}

/* The same for a job that has failed. */
TEST(FleetSuccess, SuccessOfAFailedJobIsOnlyAcknowledged)
{
    FirstRun test(3);
    test.start_again();
    Machine *other = test.other_machine();
    test.list_end(other, test.task_id(), 1, MB_RUN_FAILED);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_OPEN);
    test.list_end(other, test.task_id(), 2, MB_RUN_FAILED);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_FAILED);
    test.reconnect_worker();
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_FAILED);
    EXPECT_FALSE(test.task()->done);
    EXPECT_TRUE(test.machine->worker.ends.empty());
    EXPECT_EQ(test.simulation.running(), 0u);
    expect_no_violations(test.simulation);
}

/* A new owner, which knows nothing of the earlier run, ignored its success. */
TEST(FleetSuccess, SuccessCountsAtASecondOwnerThatHasStartedTheTaskAgain)
{
    FirstRun test(2);
    FleetSimulation &simulation = test.simulation;
    simulation.task_ms = 60000;
    test.machine->worker.is_cut = true;
    simulation.advance(1500);
    simulation.fail_over();
    simulation.advance(30000);
    ASSERT_EQ(test.starts(), 2u);
    test.reconnect_worker();
    EXPECT_EQ(simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(simulation.running(), 0u);
    EXPECT_EQ(test.starts(), 2u);
    expect_no_violations(simulation);
}

/* The newer run of a gang went on after an older one had ended, or its
   dependents were started once for each member that had. */
TEST(FleetSuccess, SuccessOfAnOlderGangEndsTheNewerOne)
{
    FleetSimulation simulation(4);
    mb_dag_step_t steps[2];
    mb_dag_spec_t spec = one_step_job(&steps[0], short_id, 2, 3000);
    steps[0].gang = true;
    steps[1] = steps[0];
    steps[1].gang = false;
    steps[1].count = 1;
    steps[1].depends_on = 1;
    spec.step_count = 2;
    spec.steps = steps;
    simulation.task_ms = 1000;
    simulation.fail_over();
    simulation.advance(2500);
    simulation.submit(spec);
    simulation.advance(500);
    std::vector<Machine *> older;
    for (auto &machine : simulation.machines) {
        if (!machine->worker.runs.empty()) {
            machine->worker.is_cut = true;
            older.push_back(machine.get());
        }
    }
    ASSERT_EQ(older.size(), 2u);
    simulation.task_ms = 60000;
    simulation.advance(9000);
    ASSERT_EQ(simulation.running(), 2u);
    older[0]->worker.is_cut = false;
    simulation.advance(3000);
    mb_dag_job_t *job = mb_dag_find(&simulation.table, spec.id);
    EXPECT_EQ(mb_dag_find_open(job, 0)->finished_steps, 1u);
    EXPECT_EQ(simulation.running(), 1u);
    older[1]->worker.is_cut = false;
    simulation.advance(3000);
    EXPECT_EQ(simulation.starts[format_task({spec.id, 0, 1, 0})], 1u);
    EXPECT_EQ(simulation.running(), 1u);
    EXPECT_EQ(simulation.fleet.counts.repeated_successes, 0u);
    expect_no_violations(simulation);
}

/* The second copy of a speculative task went on, or its success counted. */
TEST(FleetSuccess, FirstSuccessOfTwoCopiesCounts)
{
    FirstRun test(3, 2);
    FleetSimulation &simulation = test.simulation;
    mb_dag_job_t *job = test.step_job();
    job->steps[0].speculative = true;
    mb_dag_task_id_t id = test.task_id();
    for (auto &machine : simulation.machines) {
        for (auto &run : machine->worker.runs) {
            run.end_ms += run.task.index == 0 ? 2000 : 60000;
        }
    }
    Machine *holder = simulation.machines[test.task()->runs[0].worker].get();
    Machine *other = simulation.machines[holder->number == 0 ? 1 : 0].get();
    uint64_t now_ms = other->worker.clock_ms();
    other->worker.runs.push_back(
        {id, test.task()->last_run + 1, now_ms + 3000, false, false, 100});
    other->worker.extend_lease(now_ms + 10000);
    simulation.advance(1500);
    ASSERT_NE(test.task()->runs[0].number, 0u);
    ASSERT_NE(test.task()->runs[1].number, 0u);
    other->worker.stop_faults = {'s'};
    simulation.advance(1500);
    EXPECT_TRUE(test.task()->done);
    EXPECT_EQ(test.effects(MB_FLEET_END_TASK_DONE), 0u);
    simulation.advance(2000);
    EXPECT_EQ(test.effects(MB_FLEET_END_TASK_DONE), 1u);
    EXPECT_EQ(mb_dag_unfinished(job, 0, 0), 1u);
    EXPECT_EQ(simulation.outcome(short_id), MB_DAG_OPEN);
    EXPECT_EQ(test.starts(), 1u);
}

/* The failure of an older run was counted again each time that it was
   reported, so that the job failed after a single one. */
TEST(FleetSuccess, FailureOfAnOlderRunCountsOnce)
{
    FirstRun test(2);
    FleetSimulation &simulation = test.simulation;
    test.machine->worker.runs[0].fails = true;
    test.start_again();
    simulation.disconnect(*test.machine);
    test.machine->worker.is_cut = false;
    simulation.advance(2000);
    test.machine->worker.crash();
    simulation.advance(1500);
    for (int i = 0; i < 3; i++) {
        simulation.connect(*test.machine);
        simulation.advance(1500);
        EXPECT_EQ(test.task()->failures, 1u);
        simulation.disconnect(*test.machine);
    }
    EXPECT_EQ(test.effects(MB_FLEET_END_REPEATED), 2u);
    simulation.fail_over(true);
    simulation.advance(3000);
    EXPECT_EQ(test.effects(MB_FLEET_END_REPEATED), 3u);
    EXPECT_EQ(test.task()->failures, 1u);
    EXPECT_EQ(simulation.outcome(short_id), MB_DAG_OPEN);
    expect_no_violations(simulation);
}

/* A task that waits for an absent worker after a change of owner, and whose
   success another worker reports. */
struct AbsentWorker : FirstRun {
    AbsentWorker() : FirstRun(2)
    {
        simulation.disconnect(*machine);
        machine->frozen_until_us = simulation.now_us + 4000000;
        simulation.advance(2500);
        EXPECT_EQ(simulation.absences.size(), 1u);
        simulation.fail_over(true);
        simulation.advance(500);
        EXPECT_EQ(task()->absent_workers, 1u);
    }

    void return_worker()
    {
        simulation.advance(1200);
        simulation.connect(*machine);
        simulation.advance(3000);
    }
};

/* The success of the absent worker itself was ignored as the owner did not
   start the run. */
TEST(FleetSuccess, SuccessOfAnAbsentWorkerCountsAfterAChangeOfOwner)
{
    AbsentWorker test;
    test.return_worker();
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.starts(), 1u);
    expect_no_violations(test.simulation);
}

/* A success did not count while its task waited for an absent worker. */
TEST(FleetSuccess, SuccessCountsWhileTheTaskWaitsForAnAbsentWorker)
{
    AbsentWorker test;
    test.list_end(test.other_machine(), test.task_id(), 1, MB_RUN_DONE);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    test.return_worker();
    EXPECT_EQ(test.effects(MB_FLEET_END_COUNTED), 1u);
    EXPECT_EQ(test.effects(MB_FLEET_END_JOB_CLOSED), 1u);
    EXPECT_TRUE(test.machine->worker.ends.empty());
    EXPECT_EQ(test.starts(), 1u);
    expect_no_violations(test.simulation);
}

/* The agent ignored an end whose number another one had, so that the task was
   done again. */
TEST(FleetSuccess, SuccessCountsUnderTheNumberOfAnotherEnd)
{
    FirstRun test(1, 2);
    test.machine->worker.is_cut = true;
    test.simulation.advance(1500);
    ASSERT_EQ(test.machine->worker.ends.size(), 2u);
    test.machine->worker.ends[1].number = test.machine->worker.ends[0].number;
    test.reconnect_worker();
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.starts(0) + test.starts(1), 2u);
    EXPECT_TRUE(test.machine->worker.ends.empty());
    expect_no_violations(test.simulation);
}

/* A worker changed an end that it had listed: a success was ignored after a
   failure under the same number. */
TEST(FleetSuccess, SuccessCountsAfterAFailureUnderTheSameNumber)
{
    FirstRun test(1);
    FakeWorker &worker = test.machine->worker;
    test.simulation.disconnect(*test.machine);
    worker.runs[0].fails = true;
    test.simulation.advance(1500);
    ASSERT_EQ(worker.ends.size(), 1u);
    worker.ends[0].how = MB_RUN_DONE;
    test.simulation.advance(500);
    test.simulation.connect(*test.machine);
    test.simulation.advance(1000);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.starts(), 1u);
}

/* The other way round: the failure changes nothing. */
TEST(FleetSuccess, FailureAfterASuccessUnderTheSameNumberDoesNotCount)
{
    FirstRun test(1, 2);
    FakeWorker &worker = test.machine->worker;
    worker.runs[1].end_ms += 60000;
    test.simulation.disconnect(*test.machine);
    test.simulation.advance(1500);
    ASSERT_EQ(worker.ends.size(), 1u);
    worker.ends[0].how = MB_RUN_FAILED;
    mb_dag_task_id_t id = worker.ends[0].task;
    test.simulation.advance(500);
    test.simulation.connect(*test.machine);
    test.simulation.advance(1000);
    const mb_dag_task_t *task = mb_dag_task(test.step_job(), 0, 0, id.index);
    EXPECT_TRUE(task->done);
    EXPECT_EQ(task->failures, 0u);
    EXPECT_EQ(test.starts(id.index), 1u);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_OPEN);
}

/* A worker numbered its ends anew within one life: the agent ignored them, or
   told the worker to forget them before they had been listed. */
TEST(FleetSuccess, SuccessCountsAfterTheNumbersOfEndsGoBack)
{
    FirstRun test(1);
    mb_dag_step_t step;
    test.machine->worker.last_end_number = 50;
    test.simulation.advance(2000);
    ASSERT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    ASSERT_TRUE(test.machine->worker.ends.empty());
    test.machine->worker.last_end_number = 0;
    mb_dag_spec_t spec = one_step_job(&step, long_id, 3, 1000);
    test.simulation.submit(spec);
    test.simulation.advance(3000);
    EXPECT_EQ(test.simulation.outcome(long_id), MB_DAG_COMPLETED);
    for (uint32_t i = 0; i < step.count; i++) {
        EXPECT_EQ(test.simulation.starts[format_task({spec.id, 0, 0, i})], 1u);
    }
    EXPECT_TRUE(test.machine->worker.ends.empty());
    expect_no_violations(test.simulation);
}

/* The agent passed on an acknowledgement of ends that the worker had not
   listed yet, and the worker forgot them. */
TEST(FleetSuccess, SuccessCountsAfterAnAcknowledgementThatIsTooHigh)
{
    FirstRun test(1);
    mb_agent_t *agent = test.machine->agent;
    mb_order_t order = {};
    g_autoptr(GArray) none = g_array_new(FALSE, FALSE, 1);
    order.incarnation = test.machine->worker.started_ms;
    order.sequence = agent->order_sequence;
    order.starts = order.stops = order.throttles = none;
    order.acknowledged = 1000;
    mb_agent_order(agent, &order);
    test.simulation.disconnect(*test.machine);
    test.simulation.advance(1500);
    test.simulation.connect(*test.machine);
    test.simulation.advance(2000);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.starts(), 1u);
    EXPECT_TRUE(test.machine->worker.ends.empty());
    expect_no_violations(test.simulation);
}

/* An acknowledgement that goes back, as that of a new owner does, made the
   agent report ends again. */
TEST(FleetSuccess, AcknowledgementThatGoesBackIsIgnored)
{
    FirstRun test(1);
    test.simulation.advance(2000);
    ASSERT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    ASSERT_EQ(test.machine->agent->acknowledged, 1u);
    test.simulation.fail_over(true);
    test.simulation.advance(1500);
    EXPECT_EQ(test.machine->agent->acknowledged, 1u);
    EXPECT_EQ(test.effects(MB_FLEET_END_COUNTED), 1u);
    EXPECT_EQ(test.effects(MB_FLEET_END_JOB_CLOSED), 0u);
}

/* Ends of what does not exist were listed forever, or hid those after them. */
TEST(FleetSuccess, EndsOfUnknownTasksAreOnlyAcknowledged)
{
    FirstRun test(1);
    mb_dag_task_id_t unknown_job = test.task_id();
    ASSERT_TRUE(mb_dag_id_parse(mb_str_from_cstr(long_id), &unknown_job.job));
    mb_dag_task_id_t unknown_step = test.task_id();
    unknown_step.step = UINT32_MAX;
    test.machine->worker.is_cut = true;
    test.list_end(test.machine, unknown_job, 1, MB_RUN_DONE);
    test.list_end(test.machine, unknown_step, 1, MB_RUN_DONE);
    test.list_end(test.machine, test.task_id(0, 1), 1, MB_RUN_FAILED);
    test.list_end(test.machine, test.task_id(1), 1, MB_RUN_DONE);
    test.reconnect_worker();
    EXPECT_EQ(test.effects(MB_FLEET_END_JOB_UNKNOWN), 1u);
    EXPECT_EQ(test.effects(MB_FLEET_END_TASK_UNKNOWN), 3u);
    EXPECT_EQ(test.simulation.outcome(short_id), MB_DAG_COMPLETED);
    EXPECT_EQ(test.starts(), 1u);
    EXPECT_TRUE(test.machine->worker.ends.empty());
    expect_no_violations(test.simulation);
}
