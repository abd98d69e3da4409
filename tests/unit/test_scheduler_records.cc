/* Tests of what a scheduler does with the records of the job log. The node is
   initialized without threads; records are passed to it as its follower
   does. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "mb_scheduler_internal.h"
}

/* The calls of a log that accepts none. */
static bool
refuse_append(void *context, const mb_keyed_append_t *append)
{
    (void)context;
    (void)append;
    return false;
}

static bool
refuse_read(void *context, const mb_keyed_read_t *read)
{
    (void)context;
    (void)read;
    return false;
}

/* A scheduler that reads records. */
struct SchedulerRecords {
    mb_epoch_t epoch;
    mb_counters_t counters;
    mb_scheduler_node_t node;

    SchedulerRecords()
    {
        mb_log_t log = mb_log_null();
        mb_scheduler_config_t config = {};
        config.name = MB_STR_LIT("scheduler-1");
        config.incarnation = 1;
        mb_epoch_init(&epoch);
        mb_counters_init(&counters);
        EXPECT_TRUE(mb_scheduler_node_init(&node, &config, &epoch, &counters,
                                           &log, nullptr));
        node.keyed_log = {refuse_append, refuse_read, refuse_read, nullptr};
        mb_scheduler_init_modules(&node);
    }

    ~SchedulerRecords()
    {
        mb_scheduler_node_finish(&node);
        mb_counters_finish(&counters);
        mb_epoch_finish(&epoch);
    }

    /* Applies the record of a key, or its removal if `value` is empty. */
    void apply(const std::string &key, const mb_buf_t &value,
               bool in_order = true)
    {
        mb_keyed_record_t record = {{key.data(), key.size()},
                                    mb_buf_view(&value)};
        mb_scheduler_apply_record(&node, &record, in_order);
    }

    void announce(const std::string &address, uint64_t incarnation,
                  bool in_order = true)
    {
        mb_buf_t value = {};
        mb_dag_record_encode_agent(&value, incarnation);
        apply("w" + address, value, in_order);
        mb_buf_finish(&value);
    }

    void depart(const std::string &address, uint64_t incarnation)
    {
        mb_buf_t value = {};
        mb_dag_record_encode_agent(&value, incarnation);
        apply("d" + address, value);
        mb_buf_finish(&value);
    }

    /* Reads the newest records again, of which the agents at `addresses` have
       announcements. */
    void reload(const std::vector<std::string> &addresses)
    {
        node.jobs.loads++;
        for (const std::string &address : addresses) {
            announce(address, 1, false);
        }
        mb_scheduler_jobs_loaded(&node);
    }

    /* Returns whether the worker of an agent belongs to the fleet. */
    bool has_worker(const char *address)
    {
        uint32_t worker =
            mb_fleet_find_worker(&node.fleet, mb_str_from_cstr(address));
        return worker != UINT32_MAX &&
               !mb_fleet_get_worker(&node.fleet, worker)->removed;
    }

    void remove(const std::string &key)
    {
        apply(key, mb_buf_t{});
    }
};

/* Guards against a crash of a scheduler that started after an agent had left:
   it reads the removal of an agent that it has never heard of, and then the
   address of another agent. */
TEST(SchedulerRecords, RemovalOfAnUnknownAgentIsIgnored)
{
    SchedulerRecords records;
    records.remove("w10.0.0.1:7480");
    EXPECT_EQ(records.node.fleet.workers->len, 0u);
    records.announce("10.0.0.2:7480", 1);
    ASSERT_EQ(records.node.agents->len, 1u);
    records.remove("w10.0.0.3:7480");
    records.announce("10.0.0.4:7480", 1);
    ASSERT_EQ(records.node.agents->len, 2u);
    EXPECT_EQ(records.node.fleet.workers->len, 2u);
}

/* Guards against a departed worker that a new owner waits for, and against one
   that is in use again after the restart of a scheduler: the departure may be
   read before the announcement that it concerns. */
TEST(SchedulerRecords, DepartedAgentDoesNotBelongToTheFleet)
{
    SchedulerRecords records;
    records.announce("10.0.0.1:7480", 1);
    EXPECT_TRUE(records.has_worker("10.0.0.1:7480"));
    records.depart("10.0.0.1:7480", 1);
    EXPECT_FALSE(records.has_worker("10.0.0.1:7480"));
    records.depart("10.0.0.2:7480", 7);
    records.announce("10.0.0.2:7480", 7);
    EXPECT_FALSE(records.has_worker("10.0.0.2:7480"));
    records.announce("10.0.0.1:7480", 1);
    EXPECT_FALSE(records.has_worker("10.0.0.1:7480"));
}

/* Guards against a worker that is lost because the departure of an earlier
   process at its address reaches the log late. */
TEST(SchedulerRecords, DepartureConcernsOneIncarnation)
{
    SchedulerRecords records;
    records.announce("10.0.0.1:7480", 1);
    records.depart("10.0.0.1:7480", 1);
    records.announce("10.0.0.1:7480", 2);
    EXPECT_TRUE(records.has_worker("10.0.0.1:7480"));
    records.depart("10.0.0.1:7480", 1);
    EXPECT_TRUE(records.has_worker("10.0.0.1:7480"));
}

/* Guards against an agent that has left and that a scheduler goes on counting,
   because it read the newest records again instead of the removal. */
TEST(SchedulerRecords, AgentThatALoadDoesNotContainHasLeft)
{
    SchedulerRecords records;
    records.announce("10.0.0.1:7480", 1);
    records.announce("10.0.0.2:7480", 1);
    records.reload({"10.0.0.2:7480"});
    EXPECT_FALSE(records.has_worker("10.0.0.1:7480"));
    EXPECT_TRUE(records.has_worker("10.0.0.2:7480"));
    records.announce("10.0.0.1:7480", 1);
    EXPECT_TRUE(records.has_worker("10.0.0.1:7480"));
}

/* Guards against runs at an agent that no later owner knows of: the agent has
   announced itself while the owner's removal was on its way to the log, so the
   removal is the newest record. */
TEST(AgentPresence, AnnouncementMeetsTheOwnersRemoval)
{
    mb_agent_presence_t presence = {};
    mb_agent_announced(&presence, 1, 0);
    mb_agent_removal_sent(&presence);
    EXPECT_FALSE(mb_agent_is_present(&presence));
    mb_agent_announced(&presence, 2, 0);
    EXPECT_FALSE(mb_agent_is_present(&presence));
    EXPECT_TRUE(mb_agent_announcement_removed(&presence));
    EXPECT_FALSE(mb_agent_is_present(&presence));
    mb_agent_announced(&presence, 2, 0);
    EXPECT_TRUE(mb_agent_is_present(&presence));
    mb_agent_removal_sent(&presence);
    EXPECT_FALSE(mb_agent_announcement_removed(&presence));
    mb_agent_announced(&presence, 3, 0);
    EXPECT_TRUE(mb_agent_is_present(&presence));
}
