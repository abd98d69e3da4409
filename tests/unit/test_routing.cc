/* Tests of the routing table, of admission control, of the fair queue and of
   the credits that a sidecar grants. */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <thread>
#include <vector>

extern "C" {
#include "mb_admission.h"
#include "mb_atomic.h"
#include "mb_fair_queue.h"
#include "mb_route.h"
#include "mb_slots.h"
}

namespace {

const mb_str_t NAME = {"echo", 4};

uint64_t
read_clock(void *context)
{
    return *static_cast<uint64_t *>(context);
}

/* A routing table with targets of one service, in virtual time. */
class Routing : public testing::Test {
  protected:
    void SetUp() override
    {
        mb_epoch_init(&epoch);
        mb_route_init(&route, &epoch);
        route.clock = {read_clock, &now_us};
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
        for (mb_target_t *target : credits_in_use) {
            mb_target_release_credit(target);
        }
    }

    mb_target_t *add_target(uint32_t credits)
    {
        mb_target_t *target =
            mb_target_new(NAME, NAME, targets.size() + 1, 1, nullptr, nullptr);
        mb_target_set_credits(target, credits);
        targets.push_back(target);
        EXPECT_TRUE(mb_route_add(&route, target));
        return target;
    }

    /* Returns NULL if no target is available. */
    mb_target_t *pick()
    {
        mb_target_t *picked = nullptr;
        if (mb_route_pick(&route, NAME, &rng, nullptr, &picked) !=
            MB_ROUTE_PICKED) {
            return nullptr;
        }
        credits_in_use.push_back(picked);
        return picked;
    }

    void release(mb_target_t *target)
    {
        credits_in_use.erase(
            std::find(credits_in_use.begin(), credits_in_use.end(), target));
        mb_target_release_credit(target);
    }

    uint32_t count_ejected()
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
    std::vector<mb_target_t *> credits_in_use; /* the target of each */
};

} // namespace

/* Guards against more requests in flight at an upstream than its sidecar has
   granted credits. */
TEST_F(Routing, PicksNoMoreThanTheCredits)
{
    add_target(2);
    add_target(3);
    for (int i = 0; i < 5; i++) {
        EXPECT_NE(pick(), nullptr);
    }
    EXPECT_EQ(pick(), nullptr);
}

/* Guards against more requests in flight than granted after the sidecar has
   lowered the grant. This happens if a returned credit is used again while
   there are still too many in use. */
TEST_F(Routing, LoweredGrantWithdrawsCreditsInUse)
{
    mb_target_t *target = add_target(5);
    for (int i = 0; i < 4; i++) {
        EXPECT_EQ(pick(), target);
    }
    mb_target_set_credits(target, 2);
    EXPECT_EQ(pick(), nullptr);
    release(target);
    release(target);
    EXPECT_EQ(pick(), nullptr);
    release(target);
    EXPECT_EQ(pick(), target);
    EXPECT_EQ(pick(), nullptr);
    mb_target_set_credits(target, 1);
    mb_target_set_credits(target, 3);
    EXPECT_EQ(pick(), target);
    EXPECT_EQ(pick(), nullptr);
}

namespace {

/* Counts the use of one target. */
struct Use {
    uint64_t in_use;
    uint64_t max_in_use;
    uint64_t times_freed;
};

void
count_freed(void *context)
{
    (void)mb_atomic_add(&static_cast<Use *>(context)->times_freed, 1);
}

/* Picks targets and returns the credits until told to stop. A credit counts as
   in use from after the pick until before its return, so the count is never
   too high. */
void
pick_and_release(mb_route_table_t *route, uint64_t *stopping)
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
        if (now > mb_atomic_load(&use->max_in_use)) {
            mb_atomic_store(&use->max_in_use, now);
        }
        (void)mb_atomic_sub(&use->in_use, 1);
        mb_target_release_credit(picked);
    }
}

} // namespace

/* Guards against credits that are lost or duplicated between the stripes of
   the threads, and against a target that is freed twice, never or while in
   use, if it is removed from the table under load. */
TEST_F(Routing, ConcurrentPicksStayWithinTheCredits)
{
    uint64_t stopping = 0;
    Use uses[40] = {};
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; i++) {
        threads.emplace_back(pick_and_release, &route, &stopping);
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
        EXPECT_LE(use.max_in_use, 2u);
        EXPECT_EQ(use.times_freed, 1u);
    }
}

/* Guards against a distant upstream that gets as many requests as a nearby
   one. */
TEST_F(Routing, PrefersTheLowerLatency)
{
    mb_target_t *nearby = add_target(1000);
    mb_target_t *distant = add_target(1000);
    mb_target_observe_latency(nearby, 500);
    mb_target_observe_latency(distant, 8500);
    int nearby_count = 0;
    for (int i = 0; i < 100; i++) {
        mb_target_t *picked = pick();
        nearby_count += picked == nearby ? 1 : 0;
        release(picked);
    }
    EXPECT_EQ(nearby_count, 100);
}

/* Guards against an upstream that still gets requests while all of them fail,
   and against an ejection that does not end. */
TEST_F(Routing, EjectsForAWhileAfterConsecutiveFailures)
{
    mb_target_t *bad = add_target(1000);
    add_target(1000);
    for (int i = 0; i < 5; i++) {
        mb_route_report_result(&route, bad, false);
    }
    for (int i = 0; i < 50; i++) {
        EXPECT_NE(pick(), bad);
    }
    uint64_t first = bad->ejected_until_us - now_us;
    now_us = bad->ejected_until_us + 1;
    EXPECT_EQ(count_ejected(), 0u);
    for (int i = 0; i < 5; i++) {
        mb_route_report_result(&route, bad, false);
    }
    EXPECT_EQ(bad->ejected_until_us - now_us, 2 * first);
}

/* Guards against an upstream that still gets requests although it fails most
   of them, because it never fails five in a row. */
TEST_F(Routing, EjectsAtAHighErrorRate)
{
    mb_target_t *bad = add_target(1000);
    add_target(1000);
    for (int i = 0; i < 40; i++) {
        mb_route_report_result(&route, bad, i % 4 == 3);
    }
    EXPECT_EQ(count_ejected(), 1u);
}

/* Guards against a service without upstreams after a fault that affects all of
   them. */
TEST_F(Routing, EjectsAtMostHalfOfTheTargets)
{
    for (int i = 0; i < 5; i++) {
        add_target(1000);
    }
    for (int round = 0; round < 10; round++) {
        for (mb_target_t *target : targets) {
            mb_route_report_result(&route, target, false);
            ASSERT_LE(count_ejected(), 2u);
        }
    }
    EXPECT_EQ(count_ejected(), 2u);
}

/* Guards against a target that was slow once, is therefore never picked, and
   so is never measured again. */
TEST_F(Routing, LatencyWithoutSamplesDecays)
{
    mb_target_t *target = add_target(1);
    mb_target_observe_latency(target, 8000);
    mb_target_decay_latency(target);
    EXPECT_EQ(target->latency_us, 8000u);
    mb_target_decay_latency(target);
    EXPECT_EQ(target->latency_us, 4000u);
}

namespace {

/* Admission to one service with 20 credits and a queue of 20 requests. */
class Admission : public testing::Test {
  protected:
    void SetUp() override
    {
        mb_epoch_init(&epoch);
        mb_clock_t clock = {read_clock, &now_us};
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

    /* Returns MB_KIND_COUNT if the request is admitted, or else the error. */
    mb_kind_t admit(mb_class_t request_class, uint32_t deadline_ms = 0)
    {
        mb_ticket_t ticket;
        mb_kind_t kind = mb_admission_admit(&admission, NAME, request_class,
                                            deadline_ms, &ticket);
        if (kind == MB_KIND_COUNT) {
            tickets.push_back(ticket);
        }
        return kind;
    }

    /* Returns the number of requests admitted until one is rejected. */
    int admit_until_rejected(mb_class_t request_class)
    {
        int count = 0;
        while (admit(request_class) == MB_KIND_COUNT) {
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

/* Guards against a flood of one class, the least or the most urgent, that
   takes the shares of the others. Of the 40 requests admitted at a time, the
   shares are 20 urgent, 12 normal and 8 batch. */
TEST_F(Admission, AFloodOfOneClassLeavesTheSharesOfOthers)
{
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        EXPECT_EQ(admit((mb_class_t)i), MB_KIND_COUNT);
    }
    EXPECT_EQ(admit_until_rejected(MB_CLASS_BATCH), 8 - 1);
    EXPECT_EQ(admit_until_rejected(MB_CLASS_URGENT), 20 - 1);
    EXPECT_EQ(admit_until_rejected(MB_CLASS_NORMAL), 12 - 1);
}

/* Guards against capacity that stays unused while a class has no requests. */
TEST_F(Admission, AClassMayUseTheSharesOfIdleClasses)
{
    EXPECT_EQ(admit_until_rejected(MB_CLASS_BATCH), 40 - 5 - 3);
    EXPECT_EQ(admit_until_rejected(MB_CLASS_URGENT), 20);
}

/* Guards against admitting requests that can't be answered in time. */
TEST_F(Admission, RejectsRequestsThatWouldMissTheirDeadline)
{
    mb_atomic_store(&service_load->latency_us, 100000);
    for (int i = 0; i < 20; i++) {
        ASSERT_EQ(admit(MB_CLASS_URGENT), MB_KIND_COUNT);
    }
    EXPECT_EQ(admit(MB_CLASS_BATCH, 50), MB_KIND_DEADLINE_NOT_RUN);
    EXPECT_EQ(admit(MB_CLASS_BATCH, 500), MB_KIND_COUNT);
}

/* Guards against settings of a service that are not applied, and against a
   request of a more urgent class than that of its service. */
TEST_F(Admission, AppliesTheSettingsOfTheService)
{
    mb_service_settings_t settings = {NAME, MB_CLASS_NORMAL, 1234, 7};
    mb_admission_set_services(&admission, &settings, 1);
    ASSERT_EQ(admit(MB_CLASS_URGENT), MB_KIND_COUNT);
    EXPECT_EQ(tickets[0].request_class, MB_CLASS_NORMAL);
    EXPECT_EQ(tickets[0].deadline_ms, 1234u);
    EXPECT_EQ(tickets[0].queue_limit, 7u);
    mb_ticket_t ticket;
    EXPECT_EQ(mb_admission_admit(&admission, MB_STR_LIT("none"),
                                 MB_CLASS_COUNT, 0, &ticket),
              MB_KIND_NOT_FOUND);
}

/* Guards against retries that multiply the load of a failing upstream. */
TEST_F(Admission, RetriesAreLimitedToATenthOfFirstAttempts)
{
    int retries = 0;
    for (int i = 0; i < 1000; i++) {
        ASSERT_EQ(admit(MB_CLASS_URGENT), MB_KIND_COUNT);
        mb_admission_release(&admission, &tickets.back(), 0);
        tickets.pop_back();
        retries += mb_admission_spend_retry(&admission) ? 1 : 0;
    }
    EXPECT_LE(retries, 100 + 10);
    EXPECT_GE(retries, 100);
}

/* Guards against starvation of a class by more urgent ones. */
TEST(FairQueue, ClassesArePoppedByTheirShares)
{
    mb_fair_queue_t queue = {};
    std::vector<mb_fair_queue_entry_t> entries(300);
    std::map<int, int> pops;
    for (int i = 0; i < 300; i++) {
        entries[i].request_class = (mb_class_t)(i % 3);
        entries[i].deadline_us = 1000 - i;
        ASSERT_TRUE(mb_fair_queue_push(&queue, &entries[i], 300));
    }
    mb_fair_queue_entry_t extra = {};
    EXPECT_FALSE(mb_fair_queue_push(&queue, &extra, 300));
    uint64_t last[3] = {0, 0, 0};
    for (int i = 0; i < 100; i++) {
        mb_fair_queue_entry_t *next = mb_fair_queue_pop(&queue);
        pops[next->request_class]++;
        EXPECT_LT(last[next->request_class], next->deadline_us);
        last[next->request_class] = next->deadline_us;
    }
    EXPECT_NEAR(pops[MB_CLASS_URGENT], 50, 2);
    EXPECT_NEAR(pops[MB_CLASS_NORMAL], 30, 2);
    EXPECT_NEAR(pops[MB_CLASS_BATCH], 20, 2);
    EXPECT_EQ(mb_fair_queue_pop_expired(&queue, 0), nullptr);
    EXPECT_NE(mb_fair_queue_pop_expired(&queue, 1000), nullptr);
}

/* Guards against a sidecar that grants more credits than its slots and queue
   can hold, and against an entry that gets fewer credits than one with less
   demand. */
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

/* Guards against a slow upstream that attaches and gets all requests until its
   first response, and against an estimate of the sidecar that undoes the decay
   of a measured latency. */
TEST_F(Routing, InitialLatencyIsSetOnlyBeforeTheFirstCredits)
{
    mb_target_t *fast = add_target(100);
    mb_target_observe_latency(fast, 100);
    mb_target_t *slow = add_target(0);
    mb_target_set_initial_latency(slow, 100000);
    mb_target_set_credits(slow, 100);
    for (int i = 0; i < 50; i++) {
        EXPECT_EQ(pick(), fast);
    }
    slow->latency_us = 0;
    mb_target_set_initial_latency(slow, 100000);
    EXPECT_EQ(slow->latency_us, 0u);
}
