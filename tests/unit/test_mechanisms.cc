/* Tests of single mechanisms that a mutant (MB_MUTANT_*, see
   tests/mutants.txt) disables. */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "mb_frame.h"
#include "mb_rng.h"
#include "mb_slots.h"
}

/* A fake upstream that records started and refused requests. */
struct Upstream {
    std::vector<mb_request_id_t> running;
    uint32_t refused = 0;
    mb_kind_t reason = MB_KIND_COUNT;
};

static uint64_t
zero_time(void *)
{
    return 0;
}

static void
record_start(void *context, const mb_request_t *request)
{
    static_cast<Upstream *>(context)->running.push_back(request->id);
}

static void
record_refusal(void *context, const mb_request_id_t *, mb_kind_t reason)
{
    static_cast<Upstream *>(context)->refused++;
    static_cast<Upstream *>(context)->reason = reason;
}

static void
ignore_response(void *, const mb_response_t *)
{
}

static void
ignore_outcome(void *, const mb_request_id_t *, mb_outcome_state_t)
{
}

/* Initializes slots without a queue for the fake upstream. */
static void
init_slots(mb_slots_t *slots, uint32_t count, Upstream *upstream)
{
    mb_clock_t clock = {zero_time, nullptr};
    mb_slots_config_t config = {count, 0, MB_SLOTS_OUTCOMES_MAX,
                                MB_SLOTS_RESPONSE_BYTES_MAX};
    mb_slots_callbacks_t callbacks = {record_start, record_refusal,
                                      ignore_response, ignore_outcome,
                                      upstream};
    mb_slots_init(slots, &config, &clock, &callbacks);
}

/* Submits a request with this counter as its id. */
static void
send_request(mb_slots_t *slots, uint64_t counter)
{
    mb_request_t request = {};
    request.id = {1, 1, counter};
    request.deadline_ms = 1000;
    request.method = MB_STR_LIT("GET");
    request.path = MB_STR_LIT("/");
    request.body = MB_STR_EMPTY;
    mb_slots_submit(slots, &request);
}

/* Finishes the request that has run longest. */
static void
finish_oldest(mb_slots_t *slots, Upstream *upstream)
{
    mb_response_t response = {};
    response.id = upstream->running.front();
    response.status = 200;
    response.body = MB_STR_EMPTY;
    response.last = true;
    upstream->running.erase(upstream->running.begin());
    mb_slots_request_finished(slots, &response);
}

/* Guards against an upstream that runs more requests than it has slots, under
   random sequences of requests and responses. */
RC_GTEST_PROP(Slots, NeverRunsMoreRequestsThanSlots, ())
{
    const auto count = *rc::gen::inRange<uint32_t>(1, 9);
    const auto steps = *rc::gen::container<std::vector<bool>>(
        rc::gen::weightedElement<bool>({{3, true}, {2, false}}));
    mb_slots_t slots;
    Upstream upstream;
    uint64_t counter = 0;
    init_slots(&slots, count, &upstream);
    for (bool admit : steps) {
        if (!admit) {
            if (!upstream.running.empty()) {
                finish_oldest(&slots, &upstream);
            }
            continue;
        }
        size_t before = upstream.running.size();
        uint32_t refused = upstream.refused;
        send_request(&slots, ++counter);
        bool admitted = upstream.running.size() > before;
        RC_ASSERT(admitted == (before < count));
        RC_ASSERT(admitted || (upstream.refused == refused + 1 &&
                               upstream.reason == MB_KIND_OVERLOAD));
    }
    mb_slots_finish(&slots);
}

/* Guards against a request that is run while all slots are in use, and against
   one that is still refused after a slot has become free. */
TEST(Slots, RefusesWhenFullAndRunsAgainWhenFree)
{
    mb_slots_t slots;
    Upstream upstream;
    init_slots(&slots, 1, &upstream);
    send_request(&slots, 1);
    ASSERT_EQ(upstream.running.size(), 1u);
    send_request(&slots, 2);
    EXPECT_EQ(upstream.running.size(), 1u);
    EXPECT_EQ(upstream.reason, MB_KIND_OVERLOAD);
    finish_oldest(&slots, &upstream);
    send_request(&slots, 3);
    EXPECT_EQ(upstream.running.size(), 1u);
    mb_slots_finish(&slots);
}

/* Guards against a peer that announces a huge frame, for which the process
   would wait and buffer without limit: the length alone must be refused. */
TEST(Frame, RefusesLengthOutsideLimitsAtOnce)
{
    mb_frame_decoder_t decoder;
    mb_message_t message;
    size_t consumed = 0;
    uint32_t length = MB_FRAME_MAX + 1;
    char bytes[4] = {(char)(length >> 24), (char)(length >> 16),
                     (char)(length >> 8), (char)length};
    ASSERT_TRUE(mb_frame_decoder_init(&decoder));
    EXPECT_EQ(
        mb_frame_decode(&decoder, {bytes, 4}, &consumed, &message, nullptr),
        MB_FRAME_INVALID);
    char zero[4] = {0, 0, 0, 0};
    EXPECT_EQ(
        mb_frame_decode(&decoder, {zero, 4}, &consumed, &message, nullptr),
        MB_FRAME_INVALID);
    mb_frame_decoder_finish(&decoder);
}

/* Guards against threads that draw the same random sequence and so all pick
   the same targets in the same order. */
TEST(Rng, ThreadsHaveDifferentSequences)
{
    std::set<uint64_t> first;
    for (int i = 0; i < 8; i++) {
        std::thread([&first] {
            mb_rng_t rng = mb_rng_thread();
            first.insert(mb_rng_next(&rng));
        }).join();
    }
    EXPECT_EQ(first.size(), 8u);
}

/* Guards against a biased generator, which would pick some targets far more
   often than others. */
TEST(Rng, ThreadSequenceIsUniform)
{
    int counts[16] = {};
    mb_rng_t rng = mb_rng_thread();
    for (int i = 0; i < 160000; i++) {
        counts[mb_rng_next(&rng) % 16]++;
    }
    for (int count : counts) {
        EXPECT_NEAR(count, 10000, 1000); /* 10 standard deviations */
    }
}
