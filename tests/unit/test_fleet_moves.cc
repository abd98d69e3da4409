/* Tests of moves of throttled best-effort runs, in the simulation of a
   fleet. */
#include <gtest/gtest.h>

#include "fleet_histories.h"

static const char *const service_id = "aaaaaaaaaaaaaaaa";
static const char *const moved_id = "bbbbbbbbbbbbbbbb";
static const char *const full_id = "cccccccccccccccc";
static const char *const rival_id = "dddddddddddddddd";

/* Returns the machine on which a run of a job is, or NULL. */
static const Machine *
find_machine(const FleetSimulation &simulation, const char *id)
{
    for (const auto &machine : simulation.machines) {
        for (const auto &run : machine->worker.runs) {
            if (std::string(run.task.job.text, MB_DAG_ID_LEN) == id) {
                return machine.get();
            }
        }
    }
    return nullptr;
}

/* A service whose agent throttles all best-effort work beside it, with a
   best-effort run there, and another worker that has just become free. */
class FleetMoves : public ::testing::Test {
  protected:
    void SetUp() override
    {
        simulation.task_ms = 60000;
        report_disturbed();
        simulation.fail_over();
        simulation.advance(2500);
        simulation.submit(service_job(&steps[0], service_id, 1500));
        simulation.advance(1000);
        simulation.submit(one_step_job(&steps[1], full_id, 1, 4000));
        simulation.advance(1000);
        mb_dag_spec_t moved = best_effort_job(&steps[2], moved_id, 1, "batch");
        steps[2].checkpoints = true;
        simulation.submit(moved);
        simulation.advance(4000);
        ASSERT_NE(find_machine(simulation, moved_id), nullptr);
        ASSERT_EQ(find_machine(simulation, moved_id),
                  find_machine(simulation, service_id));
        ASSERT_EQ(simulation.fleet.counts.moves, 0u);
        target = find_machine(simulation, full_id);
        ASSERT_NE(target, nullptr);
        simulation.cancel(full_id);
        wait_for_move();
    }
    virtual void wait_for_move()
    {
        for (int ms = 0; ms < 2000 && simulation.fleet.counts.moves == 0;
             ms += 5) {
            simulation.advance(5);
        }
        ASSERT_EQ(simulation.fleet.counts.moves, 1u);
    }
    /* A service task far above its target beside best-effort work. */
    void report_disturbed()
    {
        simulation.reported_value = [this](const FakeWorker &worker,
                                           const FakeWorker::Run &run) {
            auto is_best_effort = [this](const FakeWorker::Run &of) {
                return mb_dag_find(&simulation.table, of.task.job)
                    ->steps[of.task.step]
                    .best_effort;
            };
            if (is_best_effort(run)) {
                return 15 * run.throttle_percent;
            }
            uint32_t throttle_percent = 0;
            for (const auto &other : worker.runs) {
                if (is_best_effort(other)) {
                    throttle_percent += other.throttle_percent;
                }
            }
            return 15 + 4 * throttle_percent;
        };
    }
    FleetSimulation simulation{2};
    mb_dag_step_t steps[4];
    const Machine *target = nullptr;
};

/* Guards against a moved task that waits because its place went to tasks of
   another job while its run was being stopped. */
TEST_F(FleetMoves, PlaceIsKeptFromOtherTasks)
{
    simulation.submit(best_effort_job(&steps[3], rival_id, 3, "batch"));
    simulation.advance(1500);
    EXPECT_EQ(find_machine(simulation, moved_id), target);
    EXPECT_EQ(find_machine(simulation, rival_id), target);
    expect_no_violations(simulation);
}

/* Guards against a place that stays kept for a job that is cancelled
   meanwhile. */
TEST_F(FleetMoves, PlaceOfACancelledJobIsGivenUp)
{
    simulation.cancel(moved_id);
    simulation.submit(best_effort_job(&steps[3], rival_id, 3, "batch"));
    simulation.advance(1500);
    EXPECT_EQ(target->worker.runs.size(), 3u);
    expect_no_violations(simulation);
}

/* Guards against a kept place that holds up a task that is not best-effort,
   and against a moved task that exceeds the worker beside it. */
TEST_F(FleetMoves, OtherTasksComeBeforeAKeptPlace)
{
    simulation.submit(one_step_job(&steps[3], rival_id, 1, 4000));
    simulation.advance(500);
    EXPECT_EQ(find_machine(simulation, rival_id), target);
    simulation.advance(10000);
    expect_no_violations(simulation);
}

/* The same with the failure domain of the free worker evacuated. */
class FleetMovesEvacuation : public FleetMoves {
  protected:
    FleetMovesEvacuation()
    {
        mb_clock_t clock = {read_clock, &simulation};
        mb_log_t log = make_log();
        mb_evacuation_init(&table, 0, &clock, &log);
        mb_fleet_set_evacuation(&simulation.fleet, &table);
        simulation.machines[0]->worker.domain = "0";
        simulation.machines[1]->worker.domain = "1";
    }
    ~FleetMovesEvacuation() override
    {
        mb_evacuation_finish(&table);
    }
    void wait_for_move() override
    {
    }
    void set_evacuated(const Machine *machine)
    {
        const std::string &domain = machine->worker.domain;
        mb_evacuation_apply(&table, {domain.data(), domain.size()}, true);
    }
    mb_evacuation_t table;
};

/* Guards against a throttled run that is stopped to go on in an evacuated
   domain. */
TEST_F(FleetMovesEvacuation, NoRunIsMovedIn)
{
    set_evacuated(target);
    simulation.advance(5000);
    EXPECT_EQ(simulation.fleet.counts.moves, 0u);
    EXPECT_TRUE(target->worker.runs.empty());
}

/* Guards against the start of a moved task in a place that was kept for it
   before its domain was evacuated. */
TEST_F(FleetMovesEvacuation, AKeptPlaceIsNotUsed)
{
    FleetMoves::wait_for_move();
    set_evacuated(target);
    simulation.advance(5000);
    EXPECT_TRUE(target->worker.runs.empty());
    expect_no_violations(simulation);
}

/* Guards against throttled runs that are kept in an evacuated domain. */
TEST_F(FleetMovesEvacuation, ARunIsMovedOut)
{
    set_evacuated(find_machine(simulation, moved_id));
    simulation.advance(5000);
    EXPECT_EQ(simulation.fleet.counts.moves, 1u);
    EXPECT_EQ(find_machine(simulation, moved_id), target);
    expect_no_violations(simulation);
}
