/* Tests of the reader of configurations: that an acknowledged version decides
   the requests of clients in time, whatever happened to the reader before. */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "config_simulation.h"
#include "fake_log.h"

/* Writes large versions for some time. */
static void
write_versions(ConfigSimulation *simulation, size_t bytes, int count,
               uint64_t interval_ms)
{
    for (int i = 0; i < count; i++) {
        simulation->write(bytes);
        simulation->advance(interval_ms);
    }
}

/* Guards against a simulation that finds nothing because it asks nothing. */
TEST(ConfigReader, FollowsWhileNothingIsDisturbed)
{
    ConfigSimulation simulation;
    write_versions(&simulation, 345000, 10, 1500);
    write_versions(&simulation, 10000, 40, 80);
    simulation.advance(5000);
    EXPECT_EQ(simulation.late + simulation.rejected + simulation.reverted, 0u)
        << simulation.report;
    EXPECT_GT(simulation.decided, 900u);
}

/* Guards against a reader that asks again and again for a backlog that its
   link can't carry within the time-out of a read. */
TEST(ConfigReader, ABacklogOfLargeVersionsDoesNotKeepTheNewestOut)
{
    ConfigSimulation simulation;
    write_versions(&simulation, 290000, 3, 1500);
    simulation.disturbed = simulation.log.silent = true;
    write_versions(&simulation, 290000, 5, 1500);
    simulation.log.silent = false;
    simulation.end_disturbance();
    write_versions(&simulation, 290000, 6, 1500);
    simulation.advance(3000);
    EXPECT_EQ(simulation.late + simulation.rejected, 0u) << simulation.report;
}

/* Guards against a process that goes on to decide by the version that it has
   when it can't know of newer ones. */
TEST(ConfigReader, DecidesNothingByAVersionOfUnknownAge)
{
    ConfigSimulation simulation;
    write_versions(&simulation, 10000, 2, 1000);
    simulation.disturbed = simulation.log.silent = true;
    write_versions(&simulation, 10000, 10, 1000);
    EXPECT_EQ(simulation.overdue, 0u) << simulation.report;
    /* A version is at most 1.1 s old when the log falls silent. */
    EXPECT_GE(simulation.decided, (2000 + IN_FORCE_MS - 1100) / 20);
}

/* What can happen near a reader of the log. */
enum Disturbance {
    LOG_SILENT,
    LOG_BUSY,
    LOG_SLOW,
    CONNECTIONS_SILENT,
    HISTORY_REMOVED,
    FROZEN,
    DISTURBANCE_COUNT
};

/* Begins a disturbance, and ends the previous one. */
static void
set_disturbance(ConfigSimulation *simulation, int disturbance)
{
    SlowLog &log = simulation->log;
    simulation->disturbed = disturbance != DISTURBANCE_COUNT;
    log.silent = disturbance == LOG_SILENT;
    log.busy = disturbance == LOG_BUSY;
    log.extra_latency_ms = disturbance == LOG_SLOW ? 240 : 0;
    simulation->frozen = disturbance == FROZEN;
    if (disturbance == CONNECTIONS_SILENT) {
        log.silence_connections();
    }
    if (disturbance == HISTORY_REMOVED) {
        log.first = log.records.size();
    }
}

/* Guards against a reader that is late, or goes back, after any series of
   disturbances and changes. */
RC_GTEST_PROP(ConfigReader, EveryVersionIsInForceInTime, ())
{
    ConfigSimulation simulation;
    size_t bytes = (size_t)*rc::gen::inRange(2, 38) * 10000;
    int phases = *rc::gen::inRange(1, 7);
    write_versions(&simulation, bytes, 1, 500);
    for (int i = 0; i < phases; i++) {
        set_disturbance(&simulation,
                        *rc::gen::inRange(0, (int)DISTURBANCE_COUNT));
        uint64_t interval_ms = bytes / 250 + 80;
        int during = *rc::gen::inRange(0, 1 + (int)(9000 / interval_ms));
        write_versions(&simulation, bytes, during, interval_ms);
        set_disturbance(&simulation, DISTURBANCE_COUNT);
        simulation.end_disturbance();
        int after = *rc::gen::inRange(0, 1 + (int)(9000 / interval_ms));
        write_versions(&simulation, bytes, after, interval_ms);
    }
    simulation.advance(8000);
    RC_ASSERT(simulation.late == 0);
    RC_ASSERT(simulation.overdue == 0);
    RC_ASSERT(simulation.rejected == 0);
    RC_ASSERT(simulation.reverted == 0);
}

/* A reader of evacuations on a log that has records of several keys. */
class EvacuationReader : public ::testing::Test {
  protected:
    EvacuationReader()
    {
        mb_clock_t clock = {read_clock, &now_us};
        mb_log_t logger = mb_log_null();
        mb_keyed_log_t callbacks = log.callbacks();
        mb_config_decoder_t decoder = {read_config, read_evacuation, this};
        mb_epoch_init(&epoch);
        mb_queue_table_init(&queues, &epoch);
        mb_evacuation_init(&table, 5000, &clock, &logger);
        mb_config_reader_init(&reader, MB_STR_LIT("config"), &callbacks,
                              &queues, &decoder, nullptr, &clock, &logger);
        mb_config_reader_set_evacuation(&reader, &table);
    }
    ~EvacuationReader() override
    {
        mb_config_reader_finish(&reader);
        mb_evacuation_finish(&table);
        mb_queue_table_finish(&queues);
        mb_epoch_finish(&epoch);
    }
    static uint64_t read_clock(void *context)
    {
        return *static_cast<uint64_t *>(context);
    }
    static bool read_config(void *context, mb_str_t, mb_str_t,
                            void (*)(void *, const mb_queue_version_t *),
                            void *, GError **)
    {
        static_cast<EvacuationReader *>(context)->configs++;
        return true;
    }
    /* The keys of evacuations start with '@'. */
    static bool read_evacuation(void *, mb_str_t key, mb_str_t *domain)
    {
        *domain = {key.data + 1, key.len - 1};
        return key.data[0] == '@';
    }
    void write(const char *key, const char *value)
    {
        log.records.push_back({key, value});
    }
    void advance(uint64_t ms)
    {
        for (uint64_t i = 0; i < ms; i += 20) {
            mb_config_reader_run(&reader);
            log.deliver();
            now_us += 20000;
        }
    }
    bool contains(const char *domain)
    {
        return mb_evacuation_contains(&table, mb_str_from_cstr(domain));
    }
    uint64_t now_us = 1000000;
    int configs = 0;
    FakeLog log;
    mb_epoch_t epoch;
    mb_queue_table_t queues;
    mb_evacuation_t table;
    mb_config_reader_t reader;
};

/* Guards against records of one key that hide those of others on a page, and
   against an older record of a key that decides. */
TEST_F(EvacuationReader, AppliesTheNewestRecordOfEveryKey)
{
    write("@a", "{}");
    write("@b", "{}");
    write("@c", "{}");
    write("config", "1");
    EXPECT_FALSE(mb_evacuation_may_start(&table, nullptr));
    advance(1000);
    EXPECT_TRUE(mb_evacuation_may_start(&table, nullptr));
    EXPECT_TRUE(contains("a") && contains("b") && contains("c"));
    EXPECT_EQ(configs, 1);
    write("@b", "");
    write("config", "2");
    write("@a", "");
    write("@a", "{}");
    write("@d", "{}");
    advance(1000);
    EXPECT_TRUE(contains("a") && contains("c") && contains("d"));
    EXPECT_FALSE(contains("b"));
    EXPECT_EQ(configs, 2);
}

/* Guards against a withdrawal that is missed because it was written while
   reads failed or its record was removed, and against failed reads that are
   not noticed. */
TEST_F(EvacuationReader, NoticesAWithdrawalThatIsNotReadInOrder)
{
    write("config", "1");
    write("@a", "{}");
    write("@b", "{}");
    advance(1000);
    log.plan = {'n'};
    write("@a", "");
    log.first = log.records.size();
    for (int i = 0; i < 50 && table.failed_read_us == 0; i++) {
        advance(20);
    }
    EXPECT_NE(table.failed_read_us, 0u);
    EXPECT_TRUE(contains("a"));
    advance(1000);
    EXPECT_EQ(table.failed_read_us, 0u);
    EXPECT_FALSE(contains("a"));
    EXPECT_TRUE(contains("b"));
}
