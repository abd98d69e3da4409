/* Tests of the journal, the follower and the ownership, which all use a keyed
   log. */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_log.h"

extern "C" {
#include "mb_follower.h"
#include "mb_journal.h"
#include "mb_ownership.h"
}

static uint64_t
read_clock(void *context)
{
    return *static_cast<uint64_t *>(context);
}

static void
take_result(void *context, mb_keyed_result_t result)
{
    static_cast<std::vector<mb_keyed_result_t> *>(context)->push_back(result);
}

/* A journal on a fake log, and the results of its records. */
struct JournalSimulation {
    FakeLog log;
    uint64_t now_us = 1000000;
    std::vector<mb_keyed_result_t> results;
    mb_journal_t journal;

    explicit JournalSimulation(bool epoch_shared = false)
    {
        mb_clock_t clock = {read_clock, &now_us};
        mb_log_t logger = mb_log_null();
        mb_journal_config_t config = {};
        config.stream = MB_STR_LIT("jobs");
        config.producer = MB_STR_LIT("producer");
        config.epoch = 1;
        config.sequence = 1;
        config.epoch_shared = epoch_shared;
        config.batch_records_max = 3;
        config.batch_bytes_max = 1000;
        mb_keyed_log_t callbacks = log.callbacks();
        mb_journal_init(&journal, &config, &callbacks, &clock, &logger);
    }
    ~JournalSimulation()
    {
        log.answers.clear();
        mb_journal_finish(&journal);
    }
    void add(const std::string &key, uint64_t timeout_us = UINT64_MAX)
    {
        uint64_t until =
            timeout_us == UINT64_MAX ? UINT64_MAX : now_us + timeout_us;
        EXPECT_TRUE(mb_journal_add(&journal, {key.data(), key.size()},
                                   MB_STR_LIT("value"), until, take_result,
                                   &results));
    }
    /* Advances the time in steps of 20 ms. */
    void advance(uint64_t ms)
    {
        for (uint64_t i = 0; i <= ms; i += 20) {
            mb_journal_run(&journal);
            log.deliver();
            now_us += 20000;
        }
    }
};

/* Guards against records that are appended twice, lost or out of order when
   answers to appends are lost or appends are refused. */
RC_GTEST_PROP(Journal, AppendsEachRecordOnceInOrder, ())
{
    JournalSimulation simulation;
    auto plan =
        *rc::gen::container<std::string>(rc::gen::element('o', 'l', 'n', 'h'));
    int count = *rc::gen::inRange(1, 12);
    simulation.log.plan.assign(plan.begin(), plan.end());
    for (int i = 0; i < count; i++) {
        simulation.add("key" + std::to_string(100 + i));
    }
    simulation.advance(100 * (plan.size() + 12));
    RC_ASSERT(simulation.log.records.size() == (size_t)count);
    RC_ASSERT(simulation.results.size() == (size_t)count);
    for (int i = 0; i < count; i++) {
        RC_ASSERT(simulation.log.records[i].key ==
                  "key" + std::to_string(100 + i));
        RC_ASSERT(simulation.results[i] == MB_KEYED_OK);
    }
}

/* Guards against a client that is told that its job was not stored although an
   append whose answer was lost may have stored it. */
TEST(Journal, NeverGivesUpARecordThatMayBeStored)
{
    JournalSimulation simulation;
    simulation.log.plan = {'l', 'n', 'n', 'n', 'n', 'n', 'n', 'n'};
    simulation.add("key", 100000);
    simulation.advance(400);
    EXPECT_TRUE(simulation.results.empty());
    simulation.advance(2000);
    ASSERT_EQ(simulation.results.size(), 1u);
    EXPECT_EQ(simulation.results[0], MB_KEYED_OK);
    EXPECT_EQ(simulation.log.records.size(), 1u);
}

/* Guards against an owner that takes a late success for a recent one: the log
   may have accepted the first attempt of an append, long before its answer to
   a repetition. */
TEST(Journal, ConfirmsTheEpochOnlyUpToTheFirstAttempt)
{
    JournalSimulation simulation;
    uint64_t first_sent_us = simulation.now_us;
    simulation.log.plan = {'l', 'n', 'n'};
    simulation.add("key");
    simulation.advance(3000);
    ASSERT_EQ(simulation.results.size(), 1u);
    EXPECT_EQ(simulation.results[0], MB_KEYED_OK);
    EXPECT_EQ(simulation.journal.confirmed_us, first_sent_us);
}

/* Guards against a client that waits past its deadline for a log that refuses
   all appends. */
TEST(Journal, GivesUpARecordThatWasRefused)
{
    JournalSimulation simulation;
    simulation.log.plan.assign(100, 'n');
    simulation.add("key", 300000);
    simulation.advance(500);
    ASSERT_EQ(simulation.results.size(), 1u);
    EXPECT_EQ(simulation.results[0], MB_KEYED_NOT_DONE);
    EXPECT_TRUE(simulation.log.records.empty());
}

/* Guards against a journal that rejects all records after an outage in which
   its last record reached its deadline: it counted as stalled, and accepted no
   record whose append could have shown that the log works again. */
TEST(Journal, TakesARecordAfterAnOutageWithNothingWaiting)
{
    JournalSimulation simulation;
    simulation.log.plan.assign(8, 'n');
    simulation.add("first", 300000);
    simulation.advance(1000);
    ASSERT_EQ(simulation.results.size(), 1u);
    simulation.log.plan.clear();
    EXPECT_FALSE(mb_journal_stalled(&simulation.journal));
    simulation.add("second", 300000);
    simulation.advance(200);
    ASSERT_EQ(simulation.results.size(), 2u);
    EXPECT_EQ(simulation.results[1], MB_KEYED_OK);
}

/* Guards against clients that wait behind an append that keeps failing. */
TEST(Journal, IsStalledWhileAnAppendFails)
{
    JournalSimulation simulation;
    simulation.log.plan.assign(100, 'h');
    simulation.add("key");
    simulation.advance(1000);
    EXPECT_TRUE(mb_journal_stalled(&simulation.journal));
}

/* Guards against an owner that goes on appending after another process has
   claimed the next token. */
TEST(Journal, StopsAfterANewerEpoch)
{
    JournalSimulation simulation(true);
    simulation.log.producers["producer"] = {2, 9, true};
    simulation.add("key");
    simulation.advance(100);
    ASSERT_EQ(simulation.results.size(), 1u);
    EXPECT_EQ(simulation.results[0], MB_KEYED_FENCED);
    EXPECT_FALSE(mb_journal_add(&simulation.journal, MB_STR_LIT("k"),
                                MB_STR_EMPTY, UINT64_MAX, nullptr, nullptr));
}

/* Guards against two processes that both take their claim of one token for
   accepted: the log expects another sequence number from the second. */
TEST(Journal, TheSecondClaimOfAnEpochIsFenced)
{
    JournalSimulation simulation(true);
    simulation.log.producers["producer"] = {1, 77, true};
    simulation.add("claim");
    simulation.advance(100);
    ASSERT_EQ(simulation.results.size(), 1u);
    EXPECT_EQ(simulation.results[0], MB_KEYED_FENCED);
}

/* A follower and the state that it has applied. */
struct FollowerSimulation {
    FakeLog log;
    uint64_t now_us = 1000000;
    std::map<std::string, std::string> state;
    uint64_t in_order_count = 0; /* records read in order */
    uint64_t caught_up_us = 0;   /* see mb_follower_callbacks_t */
    mb_follower_t follower;

    static void apply(void *context, const mb_keyed_record_t *record,
                      bool in_order)
    {
        FollowerSimulation *simulation =
            static_cast<FollowerSimulation *>(context);
        simulation->state[std::string(record->key.data, record->key.len)] =
            std::string(record->value.data, record->value.len);
        simulation->in_order_count += in_order;
    }
    static void caught_up(void *context, uint64_t read_start_us)
    {
        static_cast<FollowerSimulation *>(context)->caught_up_us =
            read_start_us;
    }
    FollowerSimulation()
    {
        mb_clock_t clock = {read_clock, &now_us};
        mb_log_t logger = mb_log_null();
        mb_keyed_log_t callbacks = log.callbacks();
        mb_follower_callbacks_t own = {apply,     nullptr, nullptr,
                                       caught_up, nullptr, this};
        mb_follower_init(&follower, MB_STR_LIT("jobs"), &callbacks, &own,
                         &clock, &logger);
    }
    ~FollowerSimulation()
    {
        mb_follower_finish(&follower);
    }
    void advance(uint64_t ms)
    {
        for (uint64_t i = 0; i <= ms; i += 20) {
            mb_follower_run(&follower);
            if (!log.answers.empty()) {
                auto answer = log.answers.front();
                log.answers.pop_front();
                answer();
            }
            now_us += 20000;
        }
    }
};

/* Guards against a state that differs from the log after several pages, failed
   reads and records removed by retention. */
RC_GTEST_PROP(Follower, HoldsTheNewestRecordOfEachKey, ())
{
    FollowerSimulation simulation;
    if (*rc::gen::arbitrary<bool>()) {
        mb_follower_set_newest_only(&simulation.follower);
    }
    auto keys = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
    std::map<std::string, std::string> expected;
    int step = 0;
    for (int key : keys) {
        std::string name = "key" + std::to_string(key);
        std::string value = "value" + std::to_string(step++);
        simulation.log.records.push_back({name, value});
        expected[name] = value;
        if (key == 0) {
            simulation.log.first = simulation.log.records.size();
        }
        if (key == 1) {
            simulation.log.plan.push_back('l');
        }
        if (key > 5) {
            simulation.advance(60);
        }
    }
    simulation.log.plan.clear();
    simulation.advance(3000);
    RC_ASSERT(simulation.state == expected);
    RC_ASSERT(simulation.caught_up_us > 0);
}

/* Guards against a reader that polls without a pause when the log answers at
   once without a record, as it does for a stream that does not exist yet. */
TEST(Follower, DoesNotSpinOnEarlyAnswers)
{
    FollowerSimulation simulation;
    simulation.advance(2000);
    EXPECT_LE(simulation.log.reads, 12u);
}

/* The ownership state of one process. */
struct OwnershipSimulation {
    static const uint64_t MEMBER = 71;
    static const uint64_t OTHER_MEMBER = 72;
    uint64_t now_us = 1000000;
    mb_rng_seeded_t seeded;
    mb_ownership_t ownership;

    explicit OwnershipSimulation(uint64_t incarnation)
    {
        mb_clock_t clock = {read_clock, &now_us};
        mb_rng_seeded_init(&seeded, 7);
        mb_rng_t rng = mb_rng_from_seeded(&seeded);
        mb_ownership_init(&ownership, &clock, &rng, incarnation, MEMBER);
    }
    /* Advances the time; returns whether a claim was due. `log_answers` tells
       whether reads of the log are complete meanwhile. */
    bool advance(uint64_t ms, bool log_answers)
    {
        bool claimed = false;
        for (uint64_t i = 0; i < ms; i += 100) {
            now_us += 100000;
            if (log_answers) {
                mb_ownership_note_read(&ownership, now_us - 50000);
            }
            claimed |= mb_ownership_tick(&ownership) == MB_OWNERSHIP_CLAIM;
        }
        return claimed;
    }
    bool apply(uint64_t token, uint64_t incarnation, bool resigned = false,
               uint64_t member = OTHER_MEMBER)
    {
        mb_ownership_record_t record = {token, incarnation, member, resigned};
        return mb_ownership_apply(&ownership, &record, true);
    }
};

/* Guards against a claim that replaces a live owner, whose heartbeats could
   not be read. */
TEST(Ownership, DoesNotClaimAfterAnOutageOfTheLog)
{
    OwnershipSimulation simulation(1);
    simulation.advance(200, true);
    simulation.apply(5, 2);
    EXPECT_FALSE(simulation.advance(8000, false));
    EXPECT_FALSE(
        simulation.advance(MB_OWNERSHIP_HEARTBEAT_TIMEOUT_MS - 100, true));
    EXPECT_TRUE(simulation.advance(100 + MB_OWNERSHIP_JITTER_MS + 200, true));
}

/* Guards against a claim that replaces a live owner, at the end of an outage
   that was too short for the log to count as unreachable. */
TEST(Ownership, DoesNotClaimAfterAShortOutageOfTheLog)
{
    OwnershipSimulation simulation(1);
    simulation.advance(200, true);
    simulation.apply(5, 2);
    EXPECT_FALSE(simulation.advance(MB_OWNERSHIP_READ_GAP_MS + 200, false));
    EXPECT_FALSE(
        simulation.advance(MB_OWNERSHIP_HEARTBEAT_TIMEOUT_MS - 100, true));
    EXPECT_TRUE(simulation.advance(100 + MB_OWNERSHIP_JITTER_MS + 200, true));
}

/* Guards against a fleet without an owner for seconds after a planned stop. */
TEST(Ownership, ClaimsAtOnceAfterAResignation)
{
    OwnershipSimulation simulation(1);
    simulation.advance(500, true);
    simulation.apply(5, 2);
    simulation.apply(5, 2, true);
    EXPECT_TRUE(simulation.advance(500, true));
}

/* Guards against an owner that is killed, restarts and then waits for its own
   earlier incarnation. */
TEST(Ownership, DoesNotWaitForItsEarlierIncarnation)
{
    OwnershipSimulation simulation(1);
    simulation.apply(5, 2, false, OwnershipSimulation::MEMBER);
    EXPECT_TRUE(simulation.advance(200, true));
}

/* Guards against a new owner that waits for the lease of a process that has
   ended, and against one that does not wait for a process that may still
   act. */
TEST(Ownership, WaitsOnlyForAnOwnerThatMayStillAct)
{
    OwnershipSimulation simulation(1);
    mb_ownership_record_t ended_process = {5, 2, OwnershipSimulation::MEMBER,
                                           false};
    mb_ownership_record_t resigned = {5, 2, OwnershipSimulation::OTHER_MEMBER,
                                      true};
    mb_ownership_record_t silent_owner = {
        5, 2, OwnershipSimulation::OTHER_MEMBER, false};
    EXPECT_EQ(mb_ownership_former_lease_end_us(&simulation.ownership,
                                               &ended_process),
              simulation.now_us);
    EXPECT_EQ(
        mb_ownership_former_lease_end_us(&simulation.ownership, &resigned),
        simulation.now_us);
    EXPECT_EQ(
        mb_ownership_former_lease_end_us(&simulation.ownership, &silent_owner),
        simulation.now_us + MB_OWNERSHIP_LEASE_MS * UINT64_C(1000));
}

/* Guards against an owner that acts indefinitely on the basis of its latest
   read. */
TEST(Ownership, MayActOnlyUntilTheLeaseExpires)
{
    OwnershipSimulation simulation(1);
    simulation.advance(500, true);
    EXPECT_TRUE(simulation.apply(1, 1));
    EXPECT_TRUE(mb_ownership_may_act(&simulation.ownership));
    simulation.advance(MB_OWNERSHIP_LEASE_MS - 1000, false);
    EXPECT_TRUE(mb_ownership_may_act(&simulation.ownership));
    simulation.advance(2000, false);
    EXPECT_FALSE(mb_ownership_may_act(&simulation.ownership));
    simulation.advance(200, true);
    EXPECT_TRUE(mb_ownership_may_act(&simulation.ownership));
}

/* Guards against an owner that continues after it has read a claim with a
   higher token, and against a late record with an older token that restores
   it. */
TEST(Ownership, TheHighestTokenOwns)
{
    OwnershipSimulation simulation(1);
    simulation.advance(500, true);
    simulation.apply(1, 1);
    EXPECT_TRUE(simulation.apply(2, 9));
    EXPECT_FALSE(mb_ownership_may_act(&simulation.ownership));
    EXPECT_FALSE(simulation.apply(1, 1));
    EXPECT_EQ(simulation.ownership.state, MB_OWNERSHIP_FOLLOWER);
}

/* Guards against a heartbeat after the resignation, which would revoke it. */
TEST(Ownership, AStoppingOwnerWritesNoHeartbeat)
{
    OwnershipSimulation simulation(1);
    simulation.advance(500, true);
    simulation.apply(1, 1);
    mb_ownership_withdraw(&simulation.ownership);
    simulation.now_us += 2 * MB_OWNERSHIP_HEARTBEAT_MS * 1000;
    EXPECT_EQ(mb_ownership_tick(&simulation.ownership), MB_OWNERSHIP_NOTHING);
}

/* Guards against a stopping process that claims the fleet it has just resigned
   from. */
TEST(Ownership, AStoppingProcessDoesNotClaim)
{
    OwnershipSimulation simulation(1);
    mb_ownership_withdraw(&simulation.ownership);
    EXPECT_FALSE(simulation.advance(5000, true));
}

/* Guards against an owner that takes its ownership for certain although the
   log has not answered since, and against a new owner that has to read the log
   twice before it starts anything. */
TEST(Ownership, IsCertainUpToTheClaimOrTheLatestRead)
{
    OwnershipSimulation simulation(1);
    EXPECT_TRUE(simulation.advance(500, true));
    uint64_t claimed_us = simulation.ownership.claimed_us;
    uint64_t certain_us =
        claimed_us + MB_OWNERSHIP_CLAIM_CERTAIN_MS * UINT64_C(1000);
    EXPECT_TRUE(simulation.apply(1, 1));
    EXPECT_EQ(mb_ownership_confirmed_us(&simulation.ownership), certain_us);
    simulation.advance(3000, false);
    EXPECT_EQ(mb_ownership_confirmed_us(&simulation.ownership), certain_us);
    simulation.advance(100, true);
    EXPECT_EQ(mb_ownership_confirmed_us(&simulation.ownership),
              simulation.now_us - 50000);
}

/* Guards against a claim soon after another one that was read among the newest
   records: the owner relies on MB_OWNERSHIP_CLAIM_CERTAIN_MS. */
TEST(Ownership, WaitsForAnOwnerThatItReadsAmongTheNewestRecords)
{
    OwnershipSimulation simulation(1);
    simulation.advance(100, true);
    simulation.apply(1, 9);
    simulation.advance(1000, true);
    mb_ownership_record_t record = {2, 8, OwnershipSimulation::OTHER_MEMBER,
                                    false};
    EXPECT_FALSE(mb_ownership_apply(&simulation.ownership, &record, false));
    EXPECT_FALSE(simulation.advance(MB_OWNERSHIP_CLAIM_CERTAIN_MS, true));
}

/* Guards against an owner that goes on although agents tell it of a newer one,
   because it can't read the log; and against an owner that a peer stops for
   good with a token that nobody has claimed. */
TEST(Ownership, DoesNotActAfterItHearsOfANewerToken)
{
    OwnershipSimulation simulation(1);
    simulation.advance(500, true);
    simulation.apply(1, 1);
    EXPECT_FALSE(mb_ownership_note_token_seen(&simulation.ownership, 1));
    EXPECT_TRUE(mb_ownership_may_act(&simulation.ownership));
    EXPECT_TRUE(mb_ownership_note_token_seen(&simulation.ownership, 2));
    simulation.advance(1000, false);
    EXPECT_FALSE(mb_ownership_may_act(&simulation.ownership));
    simulation.advance(200, true);
    EXPECT_TRUE(mb_ownership_may_act(&simulation.ownership));
    EXPECT_FALSE(mb_ownership_note_token_seen(&simulation.ownership, 2));
    EXPECT_TRUE(mb_ownership_may_act(&simulation.ownership));
}

/* Guards against a start beside the successor by an owner that has resigned
   and can't read its resignation back: the successor does not wait for it. */
TEST(Ownership, AnOwnerThatHasResignedDoesNotAct)
{
    OwnershipSimulation simulation(1);
    simulation.advance(500, true);
    simulation.apply(1, 1);
    EXPECT_TRUE(mb_ownership_may_act(&simulation.ownership));
    mb_ownership_withdraw(&simulation.ownership);
    EXPECT_FALSE(mb_ownership_may_act(&simulation.ownership));
}
