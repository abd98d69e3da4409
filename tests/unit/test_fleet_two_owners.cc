/* Tests of a former owner that goes on beside its successor, which it can't
   read of: two real owners of the same agents. */
#include <gtest/gtest.h>

#include "fleet_two_owners.h"

static const char *const running_id = "0123456789abcdef";

/* Guards against two runs of a task: the successor counted agents that have
   joined since the former owner lost the log, for which most of the agents
   that it knows still work. */
TEST(FleetTwoOwners, AgentsThatJoinedLatelyMakeNoMajority)
{
    static const uint32_t KNOWN = 11;
    static const uint32_t JOINED = 9;
    static const uint32_t TAKEN = 5; /* of the known ones */
    FleetSimulation simulation(KNOWN);
    LaterOwner successor(simulation);
    mb_dag_step_t step;
    simulation.task_ms = 60000;
    simulation.fail_over();
    successor.advance(2500);
    simulation.submit(one_step_job(&step, running_id, KNOWN, 4000));
    successor.advance(10000);
    ASSERT_EQ(simulation.running(), KNOWN);
    successor.cut_former_from_log();
    for (uint32_t i = 0; i < JOINED; i++) {
        successor.add_machine();
    }
    successor.advance(1300);
    successor.claim();
    for (uint32_t i = 0; i < JOINED + TAKEN; i++) {
        bool joined = i < JOINED;
        successor.connect(
            *simulation.machines[joined ? KNOWN + i : i - JOINED]);
    }
    successor.advance(15000);
    expect_no_violations(simulation);
}
