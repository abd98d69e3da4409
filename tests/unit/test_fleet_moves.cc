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
