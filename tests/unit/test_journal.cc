/* Tests of the journal, the follower and the ownership that are built on a
   keyed log. */
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

struct JournalWorld {
    FakeLog log;
    uint64_t now_us = 1000000;
    std::vector<mb_keyed_result_t> results;
    mb_journal_t journal;

    explicit JournalWorld(bool epoch_shared = false)
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
    ~JournalWorld()
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
    /* Lets time pass in steps of 20 ms. */
    void pass(uint64_t ms)
    {
        for (uint64_t i = 0; i <= ms; i += 20) {
            mb_journal_run(&journal);
            log.deliver();
            now_us += 20000;
        }
    }
};

/* Guards against records that are appended twice or lost, whatever answers
   are lost and whichever appends are refused. */
RC_GTEST_PROP(Journal, AppendsEachRecordOnceInOrder, ())
{
    JournalWorld world;
    auto plan =
        *rc::gen::container<std::string>(rc::gen::element('o', 'l', 'n', 'h'));
    int count = *rc::gen::inRange(1, 12);
    world.log.plan.assign(plan.begin(), plan.end());
    for (int i = 0; i < count; i++) {
        world.add("key" + std::to_string(100 + i));
    }
    world.pass(100 * (plan.size() + 12));
    RC_ASSERT(world.log.records.size() == (size_t)count);
    RC_ASSERT(world.results.size() == (size_t)count);
    for (int i = 0; i < count; i++) {
        RC_ASSERT(world.log.records[i].key == "key" + std::to_string(100 + i));
        RC_ASSERT(world.results[i] == MB_KEYED_OK);
    }
}

/* Guards against telling a client that its job was not stored although an
   append with a lost answer may have stored it. */
TEST(Journal, NeverGivesUpARecordThatMayBeStored)
{
    JournalWorld world;
    world.log.plan = {'l', 'n', 'n', 'n', 'n', 'n', 'n', 'n'};
    world.add("key", 100000);
    world.pass(400);
    EXPECT_TRUE(world.results.empty());
    world.pass(2000);
    ASSERT_EQ(world.results.size(), 1u);
    EXPECT_EQ(world.results[0], MB_KEYED_OK);
    EXPECT_EQ(world.log.records.size(), 1u);
}

/* Guards against a client that waits until its deadline for a log that
   refuses everything. */
TEST(Journal, GivesUpARecordThatWasRefused)
{
    JournalWorld world;
    world.log.plan.assign(100, 'n');
    world.add("key", 300000);
    world.pass(500);
    ASSERT_EQ(world.results.size(), 1u);
    EXPECT_EQ(world.results[0], MB_KEYED_NOT_DONE);
    EXPECT_TRUE(world.log.records.empty());
}

/* Guards against a journal that rejects everything for good after an outage
   in which its last record was given up: it counted as stalled, and took
   nothing that could have shown that the log works again. */
TEST(Journal, TakesARecordAfterAnOutageWithNothingWaiting)
{
    JournalWorld world;
    world.log.plan.assign(8, 'n');
    world.add("first", 300000);
    world.pass(1000);
    ASSERT_EQ(world.results.size(), 1u);
    world.log.plan.clear();
    EXPECT_FALSE(mb_journal_stalled(&world.journal));
    world.add("second", 300000);
    world.pass(200);
    ASSERT_EQ(world.results.size(), 2u);
    EXPECT_EQ(world.results[1], MB_KEYED_OK);
}

/* Guards against clients that queue behind an append that does not succeed. */
TEST(Journal, IsStalledWhileAnAppendFails)
{
    JournalWorld world;
    world.log.plan.assign(100, 'h');
    world.add("key");
    world.pass(1000);
    EXPECT_TRUE(mb_journal_stalled(&world.journal));
}

/* Guards against an owner that goes on appending after another has claimed. */
TEST(Journal, StopsAfterANewerEpoch)
{
    JournalWorld world(true);
    world.log.producers["producer"] = {2, 9, true};
    world.add("key");
    world.pass(100);
    ASSERT_EQ(world.results.size(), 1u);
    EXPECT_EQ(world.results[0], MB_KEYED_FENCED);
    EXPECT_FALSE(mb_journal_add(&world.journal, MB_STR_LIT("k"), MB_STR_EMPTY,
                                UINT64_MAX, nullptr, nullptr));
}

/* Guards against two processes that both believe their claim of one token was
   taken: the log expects another sequence number from the second. */
TEST(Journal, TheSecondClaimOfAnEpochIsFenced)
{
    JournalWorld world(true);
    world.log.producers["producer"] = {1, 77, true};
    world.add("claim");
    world.pass(100);
    ASSERT_EQ(world.results.size(), 1u);
    EXPECT_EQ(world.results[0], MB_KEYED_FENCED);
}

/* A follower with what it has applied. */
struct FollowerWorld {
    FakeLog log;
    uint64_t now_us = 1000000;
    std::map<std::string, std::string> state;
    uint64_t fresh = 0;
    uint64_t current_us = 0;
    mb_follower_t follower;

    static void apply(void *context, const mb_keyed_record_t *record,
                      bool fresh)
    {
        FollowerWorld *world = static_cast<FollowerWorld *>(context);
        world->state[std::string(record->key.data, record->key.len)] =
            std::string(record->value.data, record->value.len);
        world->fresh += fresh;
    }
    static void current(void *context, uint64_t since_us)
    {
        static_cast<FollowerWorld *>(context)->current_us = since_us;
    }
    FollowerWorld()
    {
        mb_clock_t clock = {read_clock, &now_us};
        mb_log_t logger = mb_log_null();
        mb_keyed_log_t callbacks = log.callbacks();
        mb_follower_callbacks_t own = {apply, current, this};
        mb_follower_init(&follower, MB_STR_LIT("jobs"), &callbacks, &own,
                         &clock, &logger);
    }
    ~FollowerWorld()
    {
        mb_follower_finish(&follower);
    }
    void pass(uint64_t ms)
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

/* Guards against a state that differs from the log after pages, failed reads
   and a history that was dropped. */
RC_GTEST_PROP(Follower, EndsWithTheNewestOfEachKey, ())
{
    FollowerWorld world;
    auto keys = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
    std::map<std::string, std::string> expected;
    int step = 0;
    for (int key : keys) {
        std::string name = "key" + std::to_string(key);
        std::string value = "value" + std::to_string(step++);
        world.log.records.push_back({name, value});
        expected[name] = value;
        if (key == 0) {
            world.log.first = world.log.records.size();
        }
        if (key == 1) {
            world.log.plan.push_back('l');
        }
        if (key > 5) {
            world.pass(60);
        }
    }
    world.log.plan.clear();
    world.pass(3000);
    RC_ASSERT(world.state == expected);
    RC_ASSERT(world.current_us > 0);
}

/* Guards against a reader that spins on a log that answers at once without a
   record, as a stream does that does not exist yet. */
TEST(Follower, DoesNotSpinOnEarlyAnswers)
{
    FollowerWorld world;
    world.pass(2000);
    EXPECT_LE(world.log.reads, 12u);
}

struct OwnershipWorld {
    static const uint64_t MEMBER = 71;
    static const uint64_t OTHER_MEMBER = 72;
    uint64_t now_us = 1000000;
    mb_rng_seeded_t seeded;
    mb_ownership_t ownership;

    explicit OwnershipWorld(uint64_t self)
    {
        mb_clock_t clock = {read_clock, &now_us};
        mb_rng_seeded_init(&seeded, 7);
        mb_rng_t rng = mb_rng_from_seeded(&seeded);
        mb_ownership_init(&ownership, &clock, &rng, self, MEMBER);
    }
    /* Lets time pass; true when a claim was due. */
    bool pass(uint64_t ms, bool served)
    {
        bool claimed = false;
        for (uint64_t i = 0; i < ms; i += 100) {
            now_us += 100000;
            if (served) {
                mb_ownership_note_read(&ownership, now_us - 50000);
            }
            claimed |= mb_ownership_tick(&ownership) == MB_OWNERSHIP_CLAIM;
        }
        return claimed;
    }
    bool apply(uint64_t token, uint64_t holder, bool resigned = false,
               uint64_t member = OTHER_MEMBER)
    {
        mb_ownership_record_t record = {token, holder, member, resigned};
        return mb_ownership_apply(&ownership, &record, true);
    }
};

/* Guards against a takeover from an owner whose heartbeats could not be
   read. */
TEST(Ownership, AnOutageOfTheLogIsNotSilenceOfTheOwner)
{
    OwnershipWorld world(1);
    world.pass(200, true);
    world.apply(5, 2);
    EXPECT_FALSE(world.pass(8000, false));
    EXPECT_FALSE(world.pass(MB_OWNERSHIP_HEARTBEAT_TIMEOUT_MS - 100, true));
    EXPECT_TRUE(world.pass(100 + MB_OWNERSHIP_JITTER_MS + 200, true));
}

/* Guards against a takeover at the end of an outage that was shorter than the
   time after which a reader counts the log as lost. */
TEST(Ownership, AShortOutageOfTheLogIsNotSilenceOfTheOwner)
{
    OwnershipWorld world(1);
    world.pass(200, true);
    world.apply(5, 2);
    EXPECT_FALSE(world.pass(MB_OWNERSHIP_READ_GAP_MS + 200, false));
    EXPECT_FALSE(world.pass(MB_OWNERSHIP_HEARTBEAT_TIMEOUT_MS - 100, true));
    EXPECT_TRUE(world.pass(100 + MB_OWNERSHIP_JITTER_MS + 200, true));
}

/* Guards against a fleet without an owner for seconds after a planned stop. */
TEST(Ownership, AResignationIsFollowedAtOnce)
{
    OwnershipWorld world(1);
    world.pass(500, true);
    world.apply(5, 2);
    world.apply(5, 2, true);
    EXPECT_TRUE(world.pass(500, true));
}

/* Guards against an owner that is killed, starts again and then waits for
   itself. */
TEST(Ownership, AnEarlierIncarnationIsNotWaitedFor)
{
    OwnershipWorld world(1);
    world.apply(5, 2, false, OwnershipWorld::MEMBER);
    EXPECT_TRUE(world.pass(200, true));
}

/* Guards against a fleet that waits for the time in which a process could act
   that has ended, and against one that does not wait for one that may live. */
TEST(Ownership, OnlyAnOwnerThatMayLiveIsWaitedFor)
{
    OwnershipWorld world(1);
    mb_ownership_record_t ended = {5, 2, OwnershipWorld::MEMBER, false};
    mb_ownership_record_t resigned = {5, 2, OwnershipWorld::OTHER_MEMBER,
                                      true};
    mb_ownership_record_t silent = {5, 2, OwnershipWorld::OTHER_MEMBER, false};
    EXPECT_EQ(mb_ownership_previous_lease_end_us(&world.ownership, &ended),
              world.now_us);
    EXPECT_EQ(mb_ownership_previous_lease_end_us(&world.ownership, &resigned),
              world.now_us);
    EXPECT_EQ(mb_ownership_previous_lease_end_us(&world.ownership, &silent),
              world.now_us + MB_OWNERSHIP_LEASE_MS * UINT64_C(1000));
}

/* Guards against an owner that acts for ever on what it read last. */
TEST(Ownership, ActsOnlyForAWhileWithoutTheLog)
{
    OwnershipWorld world(1);
    world.pass(500, true);
    EXPECT_TRUE(world.apply(1, 1));
    EXPECT_TRUE(mb_ownership_may_act(&world.ownership));
    world.pass(MB_OWNERSHIP_LEASE_MS - 1000, false);
    EXPECT_TRUE(mb_ownership_may_act(&world.ownership));
    world.pass(2000, false);
    EXPECT_FALSE(mb_ownership_may_act(&world.ownership));
    world.pass(200, true);
    EXPECT_TRUE(mb_ownership_may_act(&world.ownership));
}

/* Guards against an owner that goes on after another token was read, and
   against a late record of an older token that brings it back. */
TEST(Ownership, TheHighestTokenOwns)
{
    OwnershipWorld world(1);
    world.pass(500, true);
    world.apply(1, 1);
    EXPECT_TRUE(world.apply(2, 9));
    EXPECT_FALSE(mb_ownership_may_act(&world.ownership));
    EXPECT_FALSE(world.apply(1, 1));
    EXPECT_EQ(world.ownership.state, MB_OWNERSHIP_FOLLOWER);
}

/* Guards against a heartbeat after the resignation, which would take it
   back. */
TEST(Ownership, AStoppingOwnerWritesNoHeartbeat)
{
    OwnershipWorld world(1);
    world.pass(500, true);
    world.apply(1, 1);
    mb_ownership_withdraw(&world.ownership);
    world.now_us += 2 * MB_OWNERSHIP_HEARTBEAT_MS * 1000;
    EXPECT_EQ(mb_ownership_tick(&world.ownership), MB_OWNERSHIP_NOTHING);
}

/* Guards against a stopping process that claims the fleet it has just left. */
TEST(Ownership, AStoppingProcessDoesNotClaim)
{
    OwnershipWorld world(1);
    mb_ownership_withdraw(&world.ownership);
    EXPECT_FALSE(world.pass(5000, true));
}
