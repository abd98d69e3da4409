/* Tests of the table of evacuated failure domains. */
#include <gtest/gtest.h>

extern "C" {
#include "mb_evacuation.h"
}

static uint64_t
read_clock(void *context)
{
    return *static_cast<uint64_t *>(context);
}

class Evacuation : public ::testing::Test {
  protected:
    Evacuation()
    {
        mb_clock_t clock = {read_clock, &now_us};
        mb_log_t log = mb_log_null();
        mb_evacuation_init(&table, 5000, &clock, &log);
    }
    ~Evacuation() override
    {
        mb_evacuation_finish(&table);
    }
    void advance(uint64_t ms)
    {
        now_us += ms * 1000;
    }
    bool contains(const char *domain)
    {
        return mb_evacuation_contains(&table, mb_str_from_cstr(domain));
    }
    void apply(const char *domain, bool evacuated)
    {
        mb_evacuation_apply(&table, mb_str_from_cstr(domain), evacuated);
    }
    bool may_start()
    {
        return mb_evacuation_may_start(&table, nullptr);
    }
    void read_succeeds()
    {
        mb_evacuation_read_ended(&table, now_us, true);
        mb_evacuation_caught_up(&table, now_us);
    }
    uint64_t now_us = 10000000;
    mb_evacuation_t table;
};

/* Guards against requests that add up or cancel each other: the newest record
   of a key decides. */
TEST_F(Evacuation, TheNewestRecordOfEachDomainDecides)
{
    apply("a", true);
    uint64_t version = table.version;
    apply("a", true);
    apply("c", false);
    EXPECT_EQ(table.version, version);
    apply("b", true);
    EXPECT_TRUE(contains("a") && contains("b"));
    EXPECT_EQ(table.evacuated, 2u);
    apply("a", false);
    EXPECT_FALSE(contains("a"));
    EXPECT_TRUE(contains("b"));
    EXPECT_EQ(table.evacuated, 1u);
    apply("a", true);
    EXPECT_TRUE(contains("a"));
}

/* Guards against a request that stays in force because its withdrawal was not
   read in order, and against one that a load in progress withdraws. */
TEST_F(Evacuation, ACompleteLoadWithdrawsWhatItDoesNotContain)
{
    apply("a", true);
    apply("b", true);
    mb_evacuation_begin_load(&table);
    apply("b", true);
    EXPECT_TRUE(contains("a"));
    mb_evacuation_begin_load(&table); /* the load is begun anew */
    apply("b", true);
    mb_evacuation_end_load(&table);
    EXPECT_FALSE(contains("a"));
    EXPECT_TRUE(contains("b"));
}

/* Guards against a domain whose withdrawal is forgotten before work has
   returned, and against a table that keeps all former ones. */
TEST_F(Evacuation, AWithdrawalIsRememberedForAWhile)
{
    apply("a", true);
    EXPECT_EQ(mb_evacuation_withdrawn_us(&table, MB_STR_LIT("a")), 0u);
    apply("a", false);
    EXPECT_EQ(mb_evacuation_withdrawn_us(&table, MB_STR_LIT("a")), now_us);
    advance(MB_EVACUATION_RETURN_MS);
    apply("b", true);
    EXPECT_EQ(g_hash_table_size(table.domains), 1u);
}

/* Guards against starts by a process that has never read the log, whether its
   reads fail or not. */
TEST_F(Evacuation, NothingStartsBeforeTheLogHasBeenRead)
{
    EXPECT_FALSE(may_start());
    mb_evacuation_read_ended(&table, now_us, false);
    mb_evacuation_read_ended(&table, now_us, false);
    EXPECT_FALSE(may_start());
    read_succeeds();
    EXPECT_TRUE(may_start());
}

/* Guards against starts by knowledge that is too old when they arrive. */
TEST_F(Evacuation, StartsWaitWhileTheTableIsOld)
{
    read_succeeds();
    advance(5000 - MB_EVACUATION_START_MARGIN_MS);
    EXPECT_TRUE(may_start());
    advance(1);
    EXPECT_FALSE(may_start());
    read_succeeds();
    EXPECT_TRUE(may_start());
}

/* Guards against a fleet that stands still while the log is down. */
TEST_F(Evacuation, StartsGoOnWhileTheLogIsUnreachable)
{
    read_succeeds();
    for (int i = 0; i < 60; i++) {
        advance(1000);
        mb_evacuation_read_ended(&table, now_us, false);
        EXPECT_TRUE(may_start());
    }
    /* A read that succeeds, but does not complete the table. */
    mb_evacuation_read_ended(&table, now_us, true);
    EXPECT_FALSE(may_start());
}

/* Guards against starts by a process that stood still, before it has tried to
   read the log again: a failure from before the pause shows nothing. */
TEST_F(Evacuation, APausedProcessReadsBeforeItStarts)
{
    read_succeeds();
    mb_evacuation_read_ended(&table, now_us, false);
    mb_evacuation_read_ended(&table, now_us, false);
    uint64_t read_start_us = now_us;
    EXPECT_TRUE(may_start());
    advance(60000);
    EXPECT_FALSE(may_start());
    /* The read that was in progress meanwhile times out. */
    mb_evacuation_read_ended(&table, read_start_us, false);
    EXPECT_FALSE(may_start());
    /* The log has closed the connection. */
    mb_evacuation_read_ended(&table, now_us, false);
    EXPECT_FALSE(may_start());
    advance(100);
    mb_evacuation_read_ended(&table, now_us, false);
    EXPECT_TRUE(may_start());
}

/* Guards against a change for deployments without the setting. */
TEST_F(Evacuation, TheAgeIsNotCheckedWithoutTheSetting)
{
    table.age_max_us = 0;
    EXPECT_TRUE(may_start());
    advance(1000000);
    EXPECT_TRUE(may_start());
}
