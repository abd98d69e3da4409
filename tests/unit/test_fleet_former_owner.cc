/* Tests of an owner that can't read the log while another process claims the
   fleet, in the simulation of mb_fleet and the agents. The simulation runs the
   former owner; what the later one does is made up. */
#include <gtest/gtest.h>

#include "fleet_histories.h"

static const char *const first_id = "0123456789abcdef";
static const char *const second_id = "fedcba9876543210";

/* A fleet of two machines whose tasks run for a minute. */
struct FormerOwner {
    FleetSimulation simulation{2};
    Machine &taken = *simulation.machines[0];
    Machine &unaware = *simulation.machines[1];
    mb_dag_step_t step;
    mb_dag_step_t second_step;

    FormerOwner()
    {
        simulation.task_ms = 60000;
        simulation.fail_over();
        simulation.advance(2500);
    }

    /* Has a job run on the first machine only. */
    void run_job_on_first()
    {
        simulation.disconnect(unaware);
        simulation.submit(one_step_job(&step, first_id, 1, 1000));
        simulation.advance(500);
        ASSERT_EQ(taken.worker.runs.size(), 1u);
        simulation.connect(unaware);
        simulation.advance(1000);
    }

    /* A later owner claims the fleet, which this one can't read. It reaches
       the agent of the first machine and renews the lease there. */
    void later_owner_takes_first()
    {
        simulation.log_read = false;
        simulation.disconnect(taken);
        ASSERT_TRUE(mb_agent_connected(taken.agent, simulation.token + 1));
        taken.worker.lease_end_ms = simulation.now_us / 1000 + 60000;
    }

    /* Returns the number of times that a task of a job was started. */
    uint32_t starts_of(const char *id)
    {
        return simulation.starts[std::string(id) + ".0.0.0"];
    }
};

/* Guards against a second run of a task that a later owner keeps running: the
   former owner, which can't read the log, took the silence of the agent for
   the end of the lease, and started the task beside an agent that did not know
   of the later owner. Other tasks start meanwhile. */
TEST(FleetFormerOwner, DoesNotStartAgainWhatALaterOwnerRuns)
{
    FormerOwner owner;
    owner.run_job_on_first();
    owner.later_owner_takes_first();
    owner.simulation.submit(
        one_step_job(&owner.second_step, second_id, 1, 1000));
    owner.simulation.advance(MB_OWNERSHIP_LEASE_MS);
    EXPECT_EQ(owner.starts_of(first_id), 1u);
    EXPECT_EQ(owner.starts_of(second_id), 1u);
    expect_no_violations(owner.simulation);
}

/* Guards against a start of a task that is done: its run ended under a later
   owner, which acknowledged the end; then the agent was restarted, which
   forgot that owner, and reported to the former one that nothing runs. */
TEST(FleetFormerOwner, DoesNotBelieveAnAgentThatWasRestarted)
{
    FormerOwner owner;
    owner.run_job_on_first();
    owner.later_owner_takes_first();
    owner.simulation.advance(500);
    owner.taken.worker.runs.clear();
    owner.simulation.acknowledged.insert(std::string(first_id) + ".0.0.0");
    owner.simulation.restart_agent(owner.taken);
    owner.simulation.submit(
        one_step_job(&owner.second_step, second_id, 8, 1000));
    owner.simulation.advance(4000);
    EXPECT_EQ(owner.starts_of(first_id), 1u);
    EXPECT_EQ(owner.taken.worker.runs.size(), 0u);
    EXPECT_EQ(owner.unaware.worker.runs.size(), 4u);
    expect_no_violations(owner.simulation);
}

/* Guards against tasks that wait for good beside an agent that was restarted,
   or for a worker that is gone, while the log could not be read. */
TEST(FleetFormerOwner, StartsAgainWhenTheLogNamesNoLaterOwner)
{
    FormerOwner owner;
    owner.run_job_on_first();
    owner.simulation.log_read = false;
    owner.taken.worker.is_up = false;
    owner.simulation.disconnect(owner.taken);
    owner.simulation.restart_agent(owner.unaware);
    owner.simulation.submit(
        one_step_job(&owner.second_step, second_id, 1, 1000));
    owner.simulation.advance(7000);
    EXPECT_EQ(owner.starts_of(first_id), 1u);
    EXPECT_EQ(owner.starts_of(second_id), 0u);
    owner.simulation.log_read = true;
    owner.simulation.advance(1000);
    EXPECT_EQ(owner.starts_of(first_id), 2u);
    EXPECT_EQ(owner.starts_of(second_id), 1u);
    expect_no_violations(owner.simulation);
}

/* Guards against two owners that act at a time once the later one waits only
   for the leases of workers: the former owner has to stop when most agents
   obey the later one, and not because it can't read the log. Agents that are
   restarted forget the later owner, and don't count. */
TEST(FleetFormerOwner, LeadsOnlyWhileMostAgentsObeyIt)
{
    FleetSimulation simulation(3);
    simulation.fail_over();
    simulation.advance(2500);
    simulation.log_read = false;
    simulation.advance(5000);
    EXPECT_TRUE(mb_fleet_leads(&simulation.fleet));
    for (size_t i = 0; i < 2; i++) {
        Machine &machine = *simulation.machines[i];
        EXPECT_TRUE(mb_fleet_leads(&simulation.fleet));
        simulation.disconnect(machine);
        ASSERT_TRUE(mb_agent_connected(machine.agent, simulation.token + 1));
        simulation.advance(3000);
    }
    EXPECT_FALSE(mb_fleet_leads(&simulation.fleet));
    for (size_t i = 0; i < 2; i++) {
        simulation.restart_agent(*simulation.machines[i]);
    }
    simulation.advance(3000);
    EXPECT_TRUE(simulation.machines[0]->connected);
    EXPECT_FALSE(mb_fleet_leads(&simulation.fleet));
    simulation.log_read = true;
    simulation.advance(20);
    EXPECT_TRUE(mb_fleet_leads(&simulation.fleet));
}
