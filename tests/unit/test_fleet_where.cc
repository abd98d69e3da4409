/* Tests of the explanation of where a job would be placed, in the simulation
   of a fleet. */
#include <gtest/gtest.h>

#include "fleet_histories.h"

extern "C" {
#include "mb_fleet_where.h"
#include "mb_where_json.h"
}

static const char *const running_id = "aaaaaaaaaaaaaaaa";
static const char *const waiting_id = "bbbbbbbbbbbbbbbb";
static const char *const asked_id = "cccccccccccccccc";

/* A fleet of three workers of four processors, of which one has a run of two
   processors and another one a run of one. */
struct FleetWhere : ::testing::Test {
    FleetSimulation simulation{3};
    mb_dag_step_t steps[3];
    mb_fleet_where_t where;

    FleetWhere()
    {
        simulation.task_ms = 60000;
        simulation.fail_over();
        simulation.advance(2500);
        simulation.submit(one_step_job(&steps[0], running_id, 1, 2000));
        simulation.advance(300);
        simulation.submit(one_step_job(&steps[1], waiting_id, 1, 1000));
        simulation.advance(300);
    }
    mb_dag_job_t *find(const char *id)
    {
        mb_dag_id_t parsed;
        EXPECT_TRUE(mb_dag_id_parse(mb_str_from_cstr(id), &parsed));
        return mb_dag_find(&simulation.table, parsed);
    }
};

/* Guards against an explanation of a job that differs from what then happens
   to it, or that changes anything. */
TEST_F(FleetWhere, AJobThatIsNotSubmittedGoesWhereItIsSaidToGo)
{
    uint32_t running = simulation.running();
    mb_dag_spec_t spec = one_step_job(&steps[2], asked_id, 1, 3000);
    ASSERT_TRUE(mb_fleet_explain_spec(&simulation.fleet, &spec, &where));
    EXPECT_EQ(where.jobs_before, 0u);
    ASSERT_EQ(where.step_count, 1u);
    const mb_fleet_where_step_t &step = where.steps[0];
    EXPECT_TRUE(step.has_place);
    EXPECT_STREQ(step.reason, "behind_other_tasks");
    EXPECT_EQ(step.waiting, 1u);
    EXPECT_EQ(step.fits + step.no_room, 3u);
    EXPECT_GE(step.no_room, 1u);
    ASSERT_EQ(step.place_count, step.fits);
    for (uint32_t i = 1; i < step.place_count; i++) {
        EXPECT_LE(step.places[i - 1].cost, step.places[i].cost);
    }
    std::string best = to_std_string(step.places[0].worker);
    simulation.advance(1000);
    EXPECT_EQ(simulation.running(), running);
    EXPECT_EQ(find(asked_id), nullptr);
    simulation.submit(spec);
    simulation.advance(300);
    for (const auto &machine : simulation.machines) {
        for (const auto &run : machine->worker.runs) {
            if (std::string(run.task.job.text, MB_DAG_ID_LEN) == asked_id) {
                EXPECT_EQ(machine->worker.name, best);
            }
        }
    }
    EXPECT_EQ(simulation.running(), running + 1);
    expect_no_violations(simulation);
}

/* Guards against an explanation without the obstacles, and against one that
   counts tasks that run as waiting. */
TEST_F(FleetWhere, AWaitingJobNamesItsObstacles)
{
    simulation.submit(one_step_job(&steps[2], asked_id, 4, 4000));
    simulation.advance(500);
    mb_dag_job_t *job = find(asked_id);
    ASSERT_NE(job, nullptr);
    mb_fleet_explain_job(&simulation.fleet, job, &where);
    ASSERT_EQ(where.step_count, 1u);
    EXPECT_EQ(where.steps[0].waiting, 4u - job->running);
    EXPECT_FALSE(where.steps[0].has_place);
    EXPECT_STREQ(where.steps[0].reason, "no_room");
    EXPECT_EQ(where.steps[0].no_room, 3u);
    EXPECT_EQ(where.steps[0].place_count, 0u);
    job = find(running_id);
    mb_fleet_explain_job(&simulation.fleet, job, &where);
    EXPECT_EQ(where.step_count, 0u);
}

/* Guards against an explanation that ignores the jobs that come first. */
TEST_F(FleetWhere, CountsTheJobsThatComeBefore)
{
    simulation.submit(one_step_job(&steps[2], asked_id, 4, 4000));
    simulation.advance(500);
    mb_dag_step_t step;
    mb_dag_spec_t spec = one_step_job(&step, "dddddddddddddddd", 4, 4000);
    spec.policy.priority = 1;
    ASSERT_TRUE(mb_fleet_explain_spec(&simulation.fleet, &spec, &where));
    EXPECT_EQ(where.jobs_before, 1u);
    spec.policy.service = MB_STR_LIT("other");
    ASSERT_TRUE(mb_fleet_explain_spec(&simulation.fleet, &spec, &where));
    EXPECT_EQ(where.jobs_before, 0u);
    EXPECT_EQ(where.steps[0].excluded, 3u);
    EXPECT_STREQ(where.steps[0].reason, "no_usable_worker");
}

/* Guards against a description that is not a valid job and is explained. */
TEST_F(FleetWhere, AnInvalidDescriptionIsRejected)
{
    mb_dag_spec_t spec = one_step_job(&steps[2], asked_id, 0, 1000);
    EXPECT_FALSE(mb_fleet_explain_spec(&simulation.fleet, &spec, &where));
}

/* Guards against an answer of a process that knows nothing of the fleet. */
TEST(WhereJson, OnlyTheOwnerExplains)
{
    mb_buf_t out = {};
    mb_where_answer_t answer = {};
    mb_where_json_write(&out, &answer);
    EXPECT_EQ(to_std_string(mb_buf_view(&out)), "{\"owner\":false}\n");
    mb_buf_finish(&out);
}

/* Guards against an answer that lacks what was found. */
TEST(WhereJson, WritesStepsAndAdmission)
{
    mb_buf_t out = {};
    mb_where_answer_t answer = {};
    answer.owner = true;
    answer.judged = true;
    answer.retry_after_s = 7;
    answer.where.step_count = 1;
    answer.where.steps[0].waiting = 3;
    answer.where.steps[0].reason = "no_room";
    answer.where.steps[0].cost_limit = UINT64_MAX;
    answer.where.steps[0].place_count = 1;
    answer.where.steps[0].places[0] = {MB_STR_LIT("w-1"), 42};
    mb_where_json_write(&out, &answer);
    EXPECT_EQ(
        to_std_string(mb_buf_view(&out)),
        "{\"owner\":true,\"outcome\":\"open\",\"late\":false,"
        "\"jobs_before\":0,\"steps\":[{\"occurrence\":0,\"step\":0,"
        "\"task\":0,\"waiting\":3,\"has_place\":false,\"reason\":\"no_room\","
        "\"workers\":{\"excluded\":0,\"unusable\":0,\"no_room\":0,"
        "\"evacuated\":0,\"fits\":0},\"cost_limit\":null,"
        "\"places\":[{\"worker\":\"w-1\",\"cost\":42}]}],"
        "\"admission\":{\"admitted\":false,\"retry_after_s\":7}}\n");
    mb_buf_finish(&out);
}
