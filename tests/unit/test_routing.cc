/* Tests of the choice of upstreams, of admission and of the queues. */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <thread>
#include <vector>

extern "C" {
#include "mb_admission.h"
#include "mb_atomic.h"
#include "mb_route.h"
#include "mb_slots.h"
#include "mb_fair_queue.h"
}

namespace {

const mb_str_t NAME = {"echo", 4};

uint64_t
read_time(void *context)
{
    return *static_cast<uint64_t *>(context);
}

/* A routing table with targets of one service under virtual time. */
class Routing : public testing::Test {
  protected:
    void SetUp() override
    {
        mb_epoch_init(&epoch);
        mb_route_init(&route, &epoch);
        route.clock = {read_time, &now_us};
        mb_rng_seeded_init(&seeded, 1);
        rng = mb_rng_from_seeded(&seeded);
    }

    void TearDown() override
    {
        mb_route_finish(&route);
        for (mb_target_t *target : targets) {
            mb_target_unref(target);
        }
        mb_epoch_finish(&epoch);
        for (mb_target_t *target : held) {
            mb_target_release_credit(target);
        }
    }

    mb_target_t *add(uint32_t credits)
    {
        mb_target_t *target =
            mb_target_new(NAME, NAME, targets.size() + 1, 1, nullptr, nullptr);
        mb_target_set_credits(target, credits);
        targets.push_back(target);
        EXPECT_TRUE(mb_route_add(&route, target));
        return target;
    }

    mb_target_t *pick()
    {
        mb_target_t *picked = nullptr;
        if (mb_route_pick(&route, NAME, &rng, nullptr, &picked) !=
            MB_ROUTE_PICKED) {
            return nullptr;
        }
        held.push_back(picked);
        return picked;
    }

    void give_back(mb_target_t *target)
    {
        held.erase(std::find(held.begin(), held.end(), target));
        mb_target_release_credit(target);
    }

    uint32_t ejected()
    {
        uint32_t count = 0;
        for (mb_target_t *target : targets) {
            count += target->ejected_until_us > now_us ? 1 : 0;
        }
        return count;
    }

    uint64_t now_us = 1000000;
    mb_epoch_t epoch;
    mb_route_table_t route;
    mb_rng_seeded_t seeded;
    mb_rng_t rng;
    std::vector<mb_target_t *> targets;
    std::vector<mb_target_t *> held; /* a credit each */
};

} // namespace

/* Guards against more requests at an upstream than its credits. */
TEST_F(Routing, CreditsBoundThePicks)
{
    add(2);
    add(3);
    for (int i = 0; i < 5; i++) {
        EXPECT_NE(pick(), nullptr);
    }
    EXPECT_EQ(pick(), nullptr);
}

/* Guards against a smaller grant that lets a credit given back be used again
   while more are in use than granted. */
TEST_F(Routing, SmallerGrantWithdrawsCreditsInUse)
{
    mb_target_t *target = add(5);
    for (int i = 0; i < 4; i++) {
        EXPECT_EQ(pick(), target);
    }
    mb_target_set_credits(target, 2);
    EXPECT_EQ(pick(), nullptr);
    give_back(target);
    give_back(target);
    EXPECT_EQ(pick(), nullptr);
    give_back(target);
    EXPECT_EQ(pick(), target);
    EXPECT_EQ(pick(), nullptr);
    mb_target_set_credits(target, 1);
    mb_target_set_credits(target, 3);
    EXPECT_EQ(pick(), target);
    EXPECT_EQ(pick(), nullptr);
}

namespace {

/* What the owner of a target counts. */
struct Use {
    uint64_t in_use;
    uint64_t most;
    uint64_t freed;
};

void
count_freed(void *context)
{
    (void)mb_atomic_add(&static_cast<Use *>(context)->freed, 1);
}

/* Picks and gives back; counts a credit as in use after the pick and before
   it is given back, so that the count is never too high. */
void
use_credits(mb_route_table_t *route, uint64_t *stopping)
{
    mb_rng_t rng = mb_rng_thread();
    while (mb_atomic_load(stopping) == 0) {
        mb_target_t *picked = nullptr;
        if (mb_route_pick(route, NAME, &rng, nullptr, &picked) !=
            MB_ROUTE_PICKED) {
            continue;
        }
        Use *use = static_cast<Use *>(picked->context);
        uint64_t now = mb_atomic_add(&use->in_use, 1) + 1;
        if (now > mb_atomic_load(&use->most)) {
            mb_atomic_store(&use->most, now);
        }
        (void)mb_atomic_sub(&use->in_use, 1);
        mb_target_release_credit(picked);
    }
}

} // namespace

/* Guards against credits that are lost or come twice between the threads'
   stripes, and against a target that is freed twice, never, or while it is
   used, when it leaves the table under load. */
TEST_F(Routing, ThreadsShareCreditsExactly)
{
    uint64_t stopping = 0;
    Use uses[40] = {};
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; i++) {
        threads.emplace_back(use_credits, &route, &stopping);
    }
    for (Use &use : uses) {
        mb_target_t *target =
            mb_target_new(NAME, NAME, 1, 1, &use, count_freed);
        mb_target_set_credits(target, 2);
        ASSERT_TRUE(mb_route_add(&route, target));
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        mb_target_set_credits(target, 1);
        mb_target_set_credits(target, 2);
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        mb_route_remove(&route, target);
        mb_target_unref(target);
    }
    mb_atomic_store(&stopping, 1);
    for (std::thread &thread : threads) {
        thread.join();
    }
    for (int i = 0; i < 10; i++) {
        mb_epoch_reclaim(&epoch);
    }
    for (const Use &use : uses) {
        EXPECT_LE(use.most, 2u);
        EXPECT_EQ(use.freed, 1u);
    }
}

/* Guards against a far upstream that gets as much as a near one. */
TEST_F(Routing, PrefersTheLowerLatency)
{
    mb_target_t *near = add(1000);
    mb_target_t *far = add(1000);
    mb_target_observe_latency(near, 500);
    mb_target_observe_latency(far, 8500);
    int near_count = 0;
    for (int i = 0; i < 100; i++) {
        mb_target_t *picked = pick();
        near_count += picked == near ? 1 : 0;
        give_back(picked);
    }
    EXPECT_EQ(near_count, 100);
}

/* Guards against an upstream that fails and keeps its requests, and against
   an ejection without an end. */
TEST_F(Routing, EjectsAfterFailuresAndTakesBack)
{
    mb_target_t *bad = add(1000);
    add(1000);
    for (int i = 0; i < 5; i++) {
        mb_route_report_result(&route, bad, false);
    }
    for (int i = 0; i < 50; i++) {
        EXPECT_NE(pick(), bad);
    }
    uint64_t first = bad->ejected_until_us - now_us;
    now_us = bad->ejected_until_us + 1;
    EXPECT_EQ(ejected(), 0u);
    for (int i = 0; i < 5; i++) {
        mb_route_report_result(&route, bad, false);
    }
    EXPECT_EQ(bad->ejected_until_us - now_us, 2 * first);
}

/* Guards against an upstream that fails most requests but never five in a
   row. */
TEST_F(Routing, EjectsByErrorRate)
{
    mb_target_t *bad = add(1000);
    add(1000);
    for (int i = 0; i < 40; i++) {
        mb_route_report_result(&route, bad, i % 4 == 3);
    }
    EXPECT_EQ(ejected(), 1u);
}

/* Guards against a service without upstreams after a fault of all. */
TEST_F(Routing, NeverEjectsMoreThanHalf)
{
    for (int i = 0; i < 5; i++) {
        add(1000);
    }
    for (int round = 0; round < 10; round++) {
        for (mb_target_t *target : targets) {
            mb_route_report_result(&route, target, false);
            ASSERT_LE(ejected(), 2u);
        }
    }
    EXPECT_EQ(ejected(), 2u);
}

/* Guards against a target that was slow once and is never measured again. */
TEST_F(Routing, LatencyWithoutSamplesDecays)
{
    mb_target_t *target = add(1);
    mb_target_observe_latency(target, 8000);
    mb_target_decay_latency(target);
    EXPECT_EQ(target->latency_us, 8000u);
    mb_target_decay_latency(target);
    EXPECT_EQ(target->latency_us, 4000u);
}

namespace {

/* Admission of one service with 20 credits and 20 places to wait. */
class Admission : public testing::Test {
  protected:
    void SetUp() override
    {
        mb_epoch_init(&epoch);
        mb_clock_t clock = {read_time, &now_us};
        mb_admission_init(&admission, &epoch, &clock, 1000, 5000, 20);
        service_load = mb_admission_announce(&admission, NAME);
        mb_service_load_add_capacity(service_load, 20);
        mb_service_settings_t settings = {NAME, MB_CLASS_URGENT, 0, 20};
        mb_admission_set_services(&admission, &settings, 1);
    }

    void TearDown() override
    {
        for (mb_ticket_t &ticket : tickets) {
            mb_admission_release(&admission, &ticket, 0);
        }
        mb_admission_withdraw(&admission, service_load);
        mb_admission_finish(&admission);
        mb_epoch_finish(&epoch);
    }

    mb_kind_t enter(mb_class_t asked, uint32_t deadline_ms = 0)
    {
        mb_ticket_t ticket;
        mb_kind_t kind =
            mb_admission_admit(&admission, NAME, asked, deadline_ms, &ticket);
        if (kind == MB_KIND_COUNT) {
            tickets.push_back(ticket);
        }
        return kind;
    }

    int flood(mb_class_t asked)
    {
        int count = 0;
        while (enter(asked) == MB_KIND_COUNT) {
            count++;
        }
        return count;
    }

    uint64_t now_us = 100000000;
    mb_epoch_t epoch;
    mb_admission_t admission;
    mb_service_load_t *service_load;
    std::vector<mb_ticket_t> tickets;
};

} // namespace

/* Guards against a flood of one class, least or most urgent, that takes the
   shares of the others: of 40 places, 20 urgent, 12 normal and 8 batch. */
TEST_F(Admission, AFloodLeavesTheSharesOfOthers)
{
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        EXPECT_EQ(enter((mb_class_t)i), MB_KIND_COUNT);
    }
    EXPECT_EQ(flood(MB_CLASS_BATCH), 8 - 1);
    EXPECT_EQ(flood(MB_CLASS_URGENT), 20 - 1);
    EXPECT_EQ(flood(MB_CLASS_NORMAL), 12 - 1);
}

/* Guards against a share that stays unused while nobody asks for it. */
TEST_F(Admission, AnIdleClassLendsItsShare)
{
    EXPECT_EQ(flood(MB_CLASS_BATCH), 40 - 5 - 3);
    EXPECT_EQ(flood(MB_CLASS_URGENT), 20);
}

/* Guards against work that can't be done in time. */
TEST_F(Admission, RefusesWhatWouldMissItsDeadline)
{
    mb_atomic_store(&service_load->latency_us, 100000);
    for (int i = 0; i < 20; i++) {
        ASSERT_EQ(enter(MB_CLASS_URGENT), MB_KIND_COUNT);
    }
    EXPECT_EQ(enter(MB_CLASS_BATCH, 50), MB_KIND_DEADLINE_NOT_RUN);
    EXPECT_EQ(enter(MB_CLASS_BATCH, 500), MB_KIND_COUNT);
}

/* Guards against settings that are not in force, and against a class above
   that of the service. */
TEST_F(Admission, SettingsAreInForce)
{
    mb_service_settings_t settings = {NAME, MB_CLASS_NORMAL, 1234, 7};
    mb_admission_set_services(&admission, &settings, 1);
    ASSERT_EQ(enter(MB_CLASS_URGENT), MB_KIND_COUNT);
    EXPECT_EQ(tickets[0].request_class, MB_CLASS_NORMAL);
    EXPECT_EQ(tickets[0].deadline_ms, 1234u);
    EXPECT_EQ(tickets[0].queue_limit, 7u);
    mb_ticket_t ticket;
    EXPECT_EQ(mb_admission_admit(&admission, MB_STR_LIT("none"),
                                 MB_CLASS_COUNT, 0, &ticket),
              MB_KIND_NOT_FOUND);
}

/* Guards against retries that multiply the load of a failing upstream. */
TEST_F(Admission, RetriesStayAtATenthOfFirstTries)
{
    int retries = 0;
    for (int i = 0; i < 1000; i++) {
        ASSERT_EQ(enter(MB_CLASS_URGENT), MB_KIND_COUNT);
        mb_admission_release(&admission, &tickets.back(), 0);
        tickets.pop_back();
        retries += mb_admission_spend_retry(&admission) ? 1 : 0;
    }
    EXPECT_LE(retries, 100 + 10);
    EXPECT_GE(retries, 100);
}

/* Guards against a class that waits for ever behind a more urgent one. */
TEST(Waiting, TurnsFollowTheShares)
{
    mb_fair_queue_t waiting = {};
    std::vector<mb_fair_queue_entry_t> waiters(300);
    std::map<int, int> turns;
    for (int i = 0; i < 300; i++) {
        waiters[i].request_class = (mb_class_t)(i % 3);
        waiters[i].deadline_us = 1000 - i;
        ASSERT_TRUE(mb_fair_queue_push(&waiting, &waiters[i], 300));
    }
    mb_fair_queue_entry_t extra = {};
    EXPECT_FALSE(mb_fair_queue_push(&waiting, &extra, 300));
    uint64_t last[3] = {0, 0, 0};
    for (int i = 0; i < 100; i++) {
        mb_fair_queue_entry_t *next = mb_fair_queue_pop(&waiting);
        turns[next->request_class]++;
        EXPECT_LT(last[next->request_class], next->deadline_us);
        last[next->request_class] = next->deadline_us;
    }
    EXPECT_NEAR(turns[MB_CLASS_URGENT], 50, 2);
    EXPECT_NEAR(turns[MB_CLASS_NORMAL], 30, 2);
    EXPECT_NEAR(turns[MB_CLASS_BATCH], 20, 2);
    EXPECT_EQ(mb_fair_queue_pop_expired(&waiting, 0), nullptr);
    EXPECT_NE(mb_fair_queue_pop_expired(&waiting, 1000), nullptr);
}

/* Guards against credits that promise more than slots and queue hold, and
   against an entry with demand that gets less than one without. */
RC_GTEST_PROP(Slots, CreditsNeverExceedSlotsAndQueue, ())
{
    mb_slots_t slots = {};
    slots.config.slots = *rc::gen::inRange<uint32_t>(1, 64);
    slots.config.queue_limit = *rc::gen::inRange<uint32_t>(0, 64);
    auto demand = *rc::gen::container<std::vector<uint64_t>>(
        *rc::gen::inRange<size_t>(1, 17),
        rc::gen::inRange<uint64_t>(0, 1000000));
    std::vector<uint32_t> grants(demand.size());
    uint32_t total = slots.config.slots + slots.config.queue_limit;
    uint32_t sum = 0;
    mb_slots_compute_credits(&slots, demand.data(), (uint32_t)demand.size(),
                             grants.data());
    for (size_t i = 0; i < grants.size(); i++) {
        sum += grants[i];
        for (size_t j = 0; j < grants.size(); j++) {
            RC_ASSERT(demand[i] <= demand[j] || grants[i] + 1 >= grants[j]);
        }
    }
    RC_ASSERT(sum == total);
}

/* Guards against a slow upstream that attaches and gets everything until its
   first response, and against an estimate that undoes the decay. */
TEST_F(Routing, EstimateCountsOnlyBeforeTheFirstCredits)
{
    mb_target_t *fast = add(100);
    mb_target_observe_latency(fast, 100);
    mb_target_t *slow = add(0);
    mb_target_set_initial_latency(slow, 100000);
    mb_target_set_credits(slow, 100);
    for (int i = 0; i < 50; i++) {
        EXPECT_EQ(pick(), fast);
    }
    slow->latency_us = 0;
    mb_target_set_initial_latency(slow, 100000);
    EXPECT_EQ(slow->latency_us, 0u);
}
