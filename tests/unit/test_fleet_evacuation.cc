/* Tests of evacuated failure domains in the simulation of a fleet: two
   domains, "a" and "b", with two workers each. */
#include <gtest/gtest.h>

#include "fleet_histories.h"

extern "C" {
#include "mb_fleet_internal.h"
}

static const char *const first_id = "aaaaaaaaaaaaaaaa";
static const char *const second_id = "bbbbbbbbbbbbbbbb";

class FleetEvacuation : public ::testing::Test {
  protected:
    void SetUp() override
    {
        init_table();
        for (size_t i = 0; i < 4; i++) {
            simulation.machines[i]->worker.domain = i < 2 ? "a" : "b";
        }
        take_over();
    }
    void TearDown() override
    {
        expect_no_violations(simulation);
        mb_evacuation_finish(&table);
    }
    void init_table()
    {
        mb_clock_t clock = {read_clock, &simulation};
        mb_log_t log = make_log();
        mb_evacuation_init(&table, 5000, &clock, &log);
        mb_fleet_set_evacuation(&simulation.fleet, &table);
        simulation.fleet.evacuation_version = UINT64_MAX;
    }
    void take_over()
    {
        simulation.fail_over();
        advance(2500);
    }
    /* Advances the time, with a read of the configuration log every 500 ms. */
    void advance(uint64_t ms)
    {
        for (uint64_t i = 0; i < ms; i += 500) {
            read_ends(log_answers);
            simulation.advance(std::min<uint64_t>(500, ms - i));
        }
    }
    void read_ends(bool succeeded)
    {
        mb_evacuation_read_ended(&table, simulation.now_us, succeeded);
        if (succeeded) {
            mb_evacuation_caught_up(&table, simulation.now_us);
        }
    }
    void set_evacuated(const char *domain, bool evacuated)
    {
        mb_evacuation_apply(&table, mb_str_from_cstr(domain), evacuated);
    }
    void submit(const char *id, uint32_t count, uint32_t cpu, bool gang)
    {
        mb_dag_spec_t spec = one_step_job(&step, id, count, cpu);
        step.gang = gang;
        spec.policy.max_attempts = 20;
        spec.submitted_ms = simulation.now_us / 1000;
        simulation.submit(spec);
    }
    size_t running_in(const char *domain)
    {
        size_t count = 0;
        for (const auto &machine : simulation.machines) {
            count += machine->worker.domain == domain
                         ? machine->worker.runs.size()
                         : 0;
        }
        return count;
    }
    /* Has `action` happen when the next order with starts is sent. */
    void when_starts_are_sent(const std::function<void()> &action)
    {
        static mb_fleet_callbacks_t original;
        static std::function<void()> pending;
        original = simulation.fleet.callbacks;
        pending = action;
        simulation.fleet.callbacks.send = [](void *context, uint32_t worker,
                                             const mb_order_t *order) {
            if (order->starts->len > 0 && pending) {
                auto perform = pending;
                pending = nullptr;
                perform();
            }
            original.send(context, worker, order);
        };
    }
    /* Collects the lines that the owner logs. */
    void collect_lines()
    {
        simulation.fleet.log = {
            [](void *context, mb_severity_t, mb_str_t line) {
                *static_cast<std::string *>(context) +=
                    to_std_string(line) + "\n";
            },
            &lines, MB_SEVERITY_INFO, "scheduler"};
    }
    std::string lines;
    FleetSimulation simulation{4};
    mb_evacuation_t table;
    mb_dag_step_t step;
    bool log_answers = true;
};

/* Guards against starts in an evacuated domain, against runs there that are
   stopped, and against a withdrawal without effect. */
TEST_F(FleetEvacuation, NothingStartsThereAndWhatRunsThereGoesOn)
{
    simulation.task_ms = 3000;
    submit(first_id, 16, 1000, false);
    advance(500);
    EXPECT_EQ(running_in("a"), 8u);
    set_evacuated("a", true);
    submit(second_id, 16, 1000, false);
    advance(2000);
    EXPECT_EQ(running_in("a"), 8u);
    advance(2000);
    EXPECT_EQ(simulation.outcome(first_id), MB_DAG_COMPLETED);
    EXPECT_EQ(simulation.starts.size(), 24u);
    EXPECT_EQ(running_in("a"), 0u);
    EXPECT_EQ(simulation.fleet.evacuated_workers, 2u);
    EXPECT_EQ(simulation.fleet.evacuated_tasks, 8u);
    set_evacuated("a", false);
    advance(500);
    EXPECT_EQ(running_in("a"), 8u);
}

/* Guards against a gang of which some members start in the domain, or which
   starts in part, and against a job that fails because it has to wait. */
TEST_F(FleetEvacuation, AGangThatNeedsTheDomainWaits)
{
    set_evacuated("a", true);
    submit(first_id, 3, 4000, true);
    advance(20000);
    EXPECT_EQ(simulation.starts.size(), 0u);
    EXPECT_EQ(simulation.outcome(first_id), MB_DAG_OPEN);
    set_evacuated("a", false);
    advance(2000);
    EXPECT_EQ(simulation.outcome(first_id), MB_DAG_COMPLETED);
}

/* Guards against a waiting job whose line names the room that the runs left in
   the domain take, or other tasks, and not the evacuation. */
TEST_F(FleetEvacuation, JobsThatNeedTheDomainSaySo)
{
    collect_lines();
    simulation.task_ms = 60000;
    submit(first_id, 16, 1000, false);
    advance(500);
    ASSERT_EQ(running_in("a"), 8u);
    set_evacuated("a", true);
    set_evacuated("b", true);
    submit(second_id, 1, 1000, false);
    advance(6000);
    EXPECT_NE(lines.find("task waits job=bbbbbbbbbbbbbbbb task=0.0.0 "
                         "reason=evacuated"),
              std::string::npos);
    set_evacuated("b", false);
    lines.clear();
    advance(6000);
    EXPECT_NE(lines.find("task waits job=bbbbbbbbbbbbbbbb task=0.0.0 "
                         "reason=no_room"),
              std::string::npos);
}

/* Guards against a gang that waits for the domain without a line, because the
   trial placements of its members count as runs, and against a line that names
   other tasks, because each member would fit elsewhere. */
TEST_F(FleetEvacuation, AGangThatNeedsTheDomainSaysSo)
{
    collect_lines();
    set_evacuated("a", true);
    submit(first_id, 3, 4000, true);
    advance(6000);
    EXPECT_NE(lines.find("task waits job=aaaaaaaaaaaaaaaa task=0.0.0 "
                         "reason=evacuated"),
              std::string::npos);
}

/* Guards against probes of suspended workers in the domain. */
TEST_F(FleetEvacuation, SuspendedWorkersAreNotProbed)
{
    FakeWorker &worker = simulation.machines[0]->worker;
    worker.fails_runs = true;
    simulation.machines[1]->worker.fails_runs = true;
    for (int i = 0; i < 10; i++) {
        submit(("00000000000000" + std::to_string(10 + i)).c_str(), 16, 1000,
               false);
        advance(500);
    }
    EXPECT_NE(simulation.fleet.workers->len, 0u);
    ASSERT_EQ(mb_fleet_get_worker(&simulation.fleet, 0)->health.state,
              MB_HEALTH_SUSPENDED);
    set_evacuated("a", true);
    advance(100);
    uint64_t failed_starts = worker.failed_starts;
    submit(first_id, 16, 1000, false);
    advance(10000);
    EXPECT_EQ(worker.failed_starts, failed_starts);
}

/* Guards against a start that was decided before the request arrived and is
   sent afterwards, and against a gang that goes on without a member. */
TEST_F(FleetEvacuation, UnsentStartsAreDropped)
{
    when_starts_are_sent([this] { set_evacuated("b", true); });
    submit(first_id, 4, 4000, true);
    advance(500);
    EXPECT_EQ(simulation.fleet.counts.dropped_starts, 2u);
    EXPECT_EQ(running_in("b"), 0u);
    advance(10000);
    EXPECT_EQ(simulation.outcome(first_id), MB_DAG_OPEN);
    set_evacuated("b", false);
    advance(3000);
    EXPECT_EQ(simulation.outcome(first_id), MB_DAG_COMPLETED);
}

/* Guards against stops of gang members whose own starts are dropped: the agent
   would report runs that never were, and refusals that count against the
   worker. */
TEST_F(FleetEvacuation, DroppedGangMembersOnOneWorkerAreNotStopped)
{
    when_starts_are_sent([this] { set_evacuated("b", true); });
    submit(first_id, 16, 1000, true);
    advance(3000);
    EXPECT_EQ(simulation.fleet.counts.dropped_starts, 8u);
    EXPECT_EQ(simulation.fleet.counts.refusals[MB_REFUSAL_UNANSWERED], 0u);
    for (guint i = 2; i < 4; i++) {
        EXPECT_EQ(
            mb_fleet_get_worker(&simulation.fleet, i)->health.failure_count,
            0u);
    }
}

/* Guards against a run that is given up, and started a second time elsewhere,
   because the repeated start that tells a restarted agent about it is taken
   for a new one. */
TEST_F(FleetEvacuation, RestartedAgentsKeepTheRunsInTheDomain)
{
    simulation.task_ms = 60000;
    mb_dag_spec_t spec = best_effort_job(&step, first_id, 8, "batch");
    spec.submitted_ms = simulation.now_us / 1000;
    simulation.submit(spec);
    /* A restarted agent stops what runs on a worker that is younger. */
    advance(20000);
    size_t starts = simulation.starts.size();
    set_evacuated("a", true);
    for (auto &machine : simulation.machines) {
        simulation.restart_agent(*machine);
    }
    advance(3000);
    EXPECT_EQ(simulation.starts.size(), starts);
    EXPECT_EQ(simulation.fleet.counts.dropped_starts, 0u);
    EXPECT_EQ(running_in("a"), 4u);
}

/* Guards against starts by a process that was paused between a decision and
   the order. */
TEST_F(FleetEvacuation, APauseBeforeTheOrderDropsItsStarts)
{
    when_starts_are_sent([this] { simulation.now_us += 4000000; });
    submit(first_id, 4, 4000, false);
    simulation.advance(20);
    EXPECT_EQ(simulation.fleet.counts.dropped_starts, 3u);
    advance(5000);
    EXPECT_EQ(simulation.outcome(first_id), MB_DAG_COMPLETED);
}

/* Guards against an owner that starts tasks before it has read the log, and
   against one that does not know of a request that was acknowledged before its
   claim. */
TEST_F(FleetEvacuation, ANewOwnerReadsTheLogFirst)
{
    mb_evacuation_finish(&table);
    init_table();
    simulation.fail_over(true);
    submit(first_id, 8, 1000, false);
    log_answers = false;
    advance(8000);
    EXPECT_TRUE(simulation.starts.empty());
    EXPECT_TRUE(simulation.fleet.starts_withheld);
    log_answers = true;
    set_evacuated("a", true);
    simulation.task_ms = 60000;
    advance(500);
    EXPECT_EQ(running_in("a"), 0u);
    EXPECT_EQ(running_in("b"), 8u);
}

/* Guards against starts by an owner that stood still and has not tried to read
   the log since, and against a fleet that stands still while the log is
   down. */
TEST_F(FleetEvacuation, APausedOwnerReadsBeforeItStarts)
{
    simulation.advance(10000);
    submit(first_id, 8, 1000, false);
    simulation.advance(1000);
    EXPECT_TRUE(simulation.starts.empty());
    log_answers = false;
    advance(1000);
    EXPECT_EQ(simulation.starts.size(), 8u);
    advance(60000);
    submit(second_id, 8, 1000, false);
    advance(2000);
    EXPECT_EQ(simulation.outcome(second_id), MB_DAG_COMPLETED);
}

/* Guards against all starts going to the empty workers when the request is
   withdrawn, and against workers that are used less for ever. */
TEST_F(FleetEvacuation, WorkReturnsGradually)
{
    set_evacuated("a", true);
    advance(1000);
    mb_evacuation_begin_load(&table); /* a load without the key */
    mb_evacuation_end_load(&table);
    simulation.task_ms = 5000;
    submit(first_id, 6, 1000, false);
    advance(500);
    EXPECT_EQ(running_in("a"), 0u);
    EXPECT_EQ(running_in("b"), 6u);
    advance(MB_EVACUATION_RETURN_MS);
    submit(second_id, 8, 1000, false);
    advance(500);
    EXPECT_EQ(running_in("a"), 4u);
}

/* Guards against decisions that change where nothing is evacuated and the
   setting is 0, whatever becomes of the reads. */
TEST_F(FleetEvacuation, NothingChangesWithoutTheSetting)
{
    mb_evacuation_finish(&table);
    init_table();
    table.age_max_us = 0;
    simulation.advance(20000);
    submit(first_id, 16, 1000, false);
    simulation.advance(1000);
    EXPECT_EQ(simulation.outcome(first_id), MB_DAG_COMPLETED);
    EXPECT_EQ(simulation.starts.size(), 16u);
}
