/* Tests of single rules of mb_request and mb_slots that the random histories
   of test_request_history.cc reach rarely or not at all. */
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "mb_request.h"
#include "mb_slots.h"
}

namespace {

/* Records the calls of the callbacks; `now_us` is the simulated time. */
struct Recorder {
    uint64_t now_us = 1000;
    uint32_t retries = 0;
    std::vector<mb_kind_t> failures;
    std::vector<uint64_t> started;
    std::vector<mb_kind_t> refused;
};

Recorder *
recorder_from(void *context)
{
    return static_cast<Recorder *>(context);
}

uint64_t
read_time(void *context)
{
    return recorder_from(context)->now_us;
}

/* A table with one open, idempotent request. */
class Requests : public testing::Test {
  protected:
    void SetUp() override
    {
        mb_clock_t clock = {read_time, &recorder};
        mb_request_callbacks_t callbacks = {};
        callbacks.retry = [](void *c, mb_open_request_t *, mb_kind_t) {
            recorder_from(c)->retries++;
        };
        callbacks.fail = [](void *c, mb_open_request_t *, mb_kind_t kind) {
            recorder_from(c)->failures.push_back(kind);
        };
        callbacks.send_outcome_ask = [](void *, const void *,
                                        const mb_outcome_ask_t *) {};
        callbacks.send_cancel = [](void *, const void *,
                                   const mb_request_id_t *) {};
        callbacks.spend_retry = [](void *) { return true; };
        callbacks.context = &recorder;
        mb_request_table_init(&table, &clock, &callbacks);
        open.deadline_us = 1000000;
        open.idempotent = true;
        mb_request_begin_attempt(&table, &open, &id, &peer);
    }

    void TearDown() override
    {
        mb_request_table_finish(&table);
    }

    Recorder recorder;
    mb_request_table_t table;
    mb_open_request_t open = {};
    mb_request_id_t id = {1, 7, 42};
    int peer = 0;
};

} // namespace

/* Guards against a client that gets the answer to another request: after a
   restart of the entry, an answer to its earlier incarnation can arrive whose
   counter equals that of an open request. */
TEST_F(Requests, AnswerToEarlierIncarnationIsDropped)
{
    mb_request_id_t old = {1, 6, 42};
    EXPECT_EQ(mb_request_handle_response(&table, &old, true), nullptr);
    mb_request_handle_refusal(&table, &old, MB_KIND_OVERLOAD);
    mb_request_handle_outcome(&table, &old, MB_OUTCOME_UNKNOWN);
    EXPECT_EQ(recorder.retries, 0u);
    EXPECT_EQ(mb_request_handle_response(&table, &id, true), &open);
}

/* Guards against a response composed of parts of two attempts: the link is
   lost after the first part and the request is retried. */
TEST_F(Requests, PartialResponseFailsWhenLinkIsLost)
{
    ASSERT_EQ(mb_request_handle_response(&table, &id, false), &open);
    mb_request_link_lost(&table, &peer);
    EXPECT_EQ(recorder.retries, 0u);
    ASSERT_EQ(recorder.failures.size(), 1u);
    EXPECT_EQ(recorder.failures[0], MB_KIND_UPSTREAM_FAILED);
}

/* Guards against the same failure when the link is replaced, and when the
   sidecar will not come back. */
TEST_F(Requests, PartialResponseFailsWhenLinkIsReplacedOrSidecarGone)
{
    ASSERT_EQ(mb_request_handle_response(&table, &id, false), &open);
    mb_request_link_replaced(&table, &peer);
    EXPECT_EQ(recorder.failures.size(), 1u);
    mb_request_begin_attempt(&table, &open, &id, &peer);
    ASSERT_EQ(mb_request_handle_response(&table, &id, false), &open);
    mb_request_peer_gone(&table, &peer);
    EXPECT_EQ(recorder.failures.size(), 2u);
    EXPECT_EQ(recorder.retries, 0u);
}

/* Guards against running a request whose deadline passed while it waited for a
   slot, so that its client no longer waits for the answer. */
TEST(SlotsDeadline, WaitingRequestIsRefusedAfterItsDeadline)
{
    Recorder recorder;
    mb_slots_t slots;
    mb_clock_t clock = {read_time, &recorder};
    mb_slots_config_t config = {1, 1, 64, MB_SLOTS_RESPONSE_BYTES_MAX};
    mb_slots_callbacks_t callbacks = {};
    callbacks.start = [](void *c, const mb_request_t *request) {
        recorder_from(c)->started.push_back(request->id.counter);
    };
    callbacks.refuse = [](void *c, const mb_request_id_t *, mb_kind_t kind) {
        recorder_from(c)->refused.push_back(kind);
    };
    callbacks.respond = [](void *, const mb_response_t *) {};
    callbacks.report_outcome = [](void *, const mb_request_id_t *,
                                  mb_outcome_state_t) {};
    callbacks.context = &recorder;
    mb_slots_init(&slots, &config, &clock, &callbacks);
    mb_request_t request = {};
    request.deadline_ms = 10;
    request.method = request.path = request.body = MB_STR_EMPTY;
    for (uint64_t i = 1; i <= 2; i++) {
        request.id = {1, 1, i};
        mb_slots_submit(&slots, &request);
    }
    recorder.now_us += 20000;
    mb_response_t response = {};
    response.id = {1, 1, 1};
    response.status = 200;
    response.body = MB_STR_EMPTY;
    response.last = true;
    mb_slots_request_finished(&slots, &response);
    EXPECT_EQ(recorder.started.size(), 1u);
    ASSERT_EQ(recorder.refused.size(), 1u);
    EXPECT_EQ(recorder.refused[0], MB_KIND_DEADLINE_NOT_RUN);
    mb_slots_finish(&slots);
}
