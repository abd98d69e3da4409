/* Tests of the evidence on failed work and its effect on workers. */
#include <gtest/gtest.h>

extern "C" {
#include "mb_evidence.h"
}

static const uint64_t fails_after_us = 250000;

/* Some workers, and the runs of one piece of work on the first of them. */
struct Owner {
    static const uint32_t WORKERS = 8;
    uint64_t now_us = 10000000;
    uint64_t started_us = 10000000;
    uint32_t runs = 0; /* on the workers after the first */
    bool most_suspended = false;
    mb_health_t health[WORKERS];
    mb_evidence_t evidence;

    Owner()
    {
        mb_clock_t clock = {read_clock, this};
        mb_evidence_callbacks_t callbacks = {changed, are_most_suspended,
                                             add_pending, this};
        mb_evidence_init(&evidence, &callbacks, &clock);
        for (mb_health_t &worker : health) {
            mb_health_init(&worker);
        }
    }
    ~Owner()
    {
        mb_evidence_finish(&evidence);
    }
    static uint64_t read_clock(void *context)
    {
        return static_cast<Owner *>(context)->now_us;
    }
    static void changed(void *context, const mb_evidence_work_t *work,
                        mb_attribution_cause_t, mb_attribution_cause_t to)
    {
        Owner *owner = static_cast<Owner *>(context);
        for (mb_health_t &worker : owner->health) {
            mb_health_set_excused(&worker, work->source, to == MB_CAUSE_WORK,
                                  owner->now_us);
        }
    }
    static bool are_most_suspended(void *context)
    {
        return static_cast<Owner *>(context)->most_suspended;
    }
    static void add_pending(void *context, const mb_evidence_work_t *,
                            mb_attribution_t *attribution)
    {
        Owner *owner = static_cast<Owner *>(context);
        for (uint32_t i = 1; i <= owner->runs; i++) {
            (void)mb_attribution_pending(attribution, i, owner->started_us);
        }
    }
    mb_evidence_run_t make_run(uint64_t source, uint32_t worker)
    {
        return {{source, nullptr, 0},
                worker,
                &health[worker],
                started_us,
                now_us - started_us};
    }
    void fail(uint64_t source, uint32_t worker)
    {
        mb_evidence_run_t run = make_run(source, worker);
        mb_evidence_failed(&evidence, &run);
    }
    void succeed(uint64_t source, uint32_t worker)
    {
        mb_evidence_run_t run = make_run(source, worker);
        mb_evidence_succeeded(&evidence, &run);
    }
};

/* Guards against failures that stay held against workers because the cause
   changes with time and no event tells the owner. */
TEST(Evidence, AChangeWithTimeIsAppliedWithTheNextEvent)
{
    Owner owner;
    owner.runs = 4;
    owner.now_us += fails_after_us;
    owner.fail(1, 0);
    owner.fail(1, 1);
    EXPECT_EQ(owner.health[0].consecutive_failures, 1u);
    owner.now_us += MB_ATTRIBUTION_PENDING_US;
    owner.started_us = owner.now_us - fails_after_us;
    owner.fail(1, 1);
    EXPECT_EQ(owner.health[0].consecutive_failures, 0u);
    EXPECT_EQ(owner.health[1].consecutive_failures, 0u);
}

/* Guards against work that is blamed for failures on a worker that fails all,
   and against workers that are, when most of them are suspended for it. */
TEST(Evidence, FailuresOnAFaultyWorkerSayLittleAboutTheWork)
{
    for (bool most_suspended : {false, true}) {
        Owner owner;
        owner.most_suspended = most_suspended;
        owner.now_us += fails_after_us;
        for (uint64_t source = 1; source <= MB_HEALTH_FAILURES_MAX; source++) {
            owner.fail(source, 0);
        }
        ASSERT_EQ(owner.health[0].state, MB_HEALTH_SUSPENDED);
        owner.fail(9, 0);
        EXPECT_TRUE(mb_evidence_may_be_faulty(&owner.evidence, 9));
        owner.fail(9, 1);
        EXPECT_EQ(owner.health[1].consecutive_failures,
                  most_suspended ? 0u : 1u);
    }
}

/* Guards against work that can run on one worker only and has it suspended,
   while other work succeeds there. */
TEST(Evidence, WorkThatFailsWhereOtherWorkSucceedsIsAtFault)
{
    Owner owner;
    owner.now_us += fails_after_us;
    for (int i = 0; i < MB_HEALTH_FAILURES_MAX; i++) {
        owner.fail(1, 0);
    }
    ASSERT_EQ(owner.health[0].state, MB_HEALTH_SUSPENDED);
    owner.succeed(2, 0);
    EXPECT_EQ(owner.health[0].state, MB_HEALTH_HEALTHY);
    for (int i = 0; i < MB_HEALTH_FAILURES_MAX; i++) {
        owner.started_us++;
        owner.fail(1, 0);
    }
    EXPECT_EQ(owner.health[0].state, MB_HEALTH_HEALTHY);
}
