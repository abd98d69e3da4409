/* Tests of the lease of a shard, and of the encoding of its records and of the
   messages exchanged with workers. */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

extern "C" {
#include "mb_shard_record.h"
#include "mb_worker_msg.h"
}

/* Two processes that replay the same claims, with one clock. */
struct LeasePair {
    uint64_t now = 0;
    mb_rng_seeded_t seeded{};
    mb_lease_t a{}, b{};

    LeasePair()
    {
        mb_lease_config_t config = {1000, 100, 50, 500};
        auto read = [](void *context) {
            return *static_cast<uint64_t *>(context);
        };
        mb_clock_t clock = {read, &now};
        mb_rng_seeded_init(&seeded, 1);
        mb_rng_t rng = mb_rng_from_seeded(&seeded);
        mb_lease_init(&a, &config, &clock, &rng, 1);
        mb_lease_init(&b, &config, &clock, &rng, 2);
    }

    /* Applies a record in both processes. */
    bool apply(uint64_t offset, bool renewal, mb_claim_t claim)
    {
        bool in_a = mb_lease_apply(&a, offset, renewal, &claim);
        bool in_b = mb_lease_apply(&b, offset, renewal, &claim);
        EXPECT_EQ(in_a, in_b);
        return in_a;
    }
};

/* Guards against two owners after concurrent claims. Both processes send a
   claim; only the first one in the log is valid. */
TEST(Lease, OnlyTheFirstOfTwoClaimsIsValid)
{
    LeasePair pair;
    mb_lease_note_sent(&pair.a);
    mb_lease_note_sent(&pair.b);
    EXPECT_TRUE(pair.apply(0, false, {1, MB_CLAIM_NONE, 1000}));
    EXPECT_FALSE(pair.apply(1, false, {2, MB_CLAIM_NONE, 1000}));
    EXPECT_EQ(mb_lease_phase(&pair.a), MB_LEASE_OWNER);
    EXPECT_EQ(mb_lease_phase(&pair.b), MB_LEASE_FOLLOWER);
    EXPECT_TRUE(mb_lease_token_valid(&pair.b, 0));
}

/* Guards against an owner that acts after another process may claim. This
   happens if it counts its lease from the time at which a slow log has
   returned the claim, instead of from before the claim was sent. */
TEST(Lease, ExpiryCountsFromBeforeTheRecordWasSent)
{
    LeasePair pair;
    mb_shard_record_t record;
    mb_lease_note_sent(&pair.a);
    pair.now = 900 * MB_US_PER_MS;
    ASSERT_TRUE(pair.apply(0, false, {1, MB_CLAIM_NONE, 1000}));
    EXPECT_EQ(mb_lease_phase(&pair.a), MB_LEASE_OWNER);
    pair.now = 1000 * MB_US_PER_MS;
    EXPECT_EQ(mb_lease_phase(&pair.a), MB_LEASE_GRACE);
    EXPECT_FALSE(mb_lease_get_due_record(&pair.b, &record));
    pair.now = 2051 * MB_US_PER_MS; /* lease, drift margin, random delay */
    EXPECT_EQ(mb_lease_phase(&pair.a), MB_LEASE_FOLLOWER);
    EXPECT_TRUE(mb_lease_get_due_record(&pair.b, &record));
    EXPECT_EQ(record.body.claim.seen, 0u);
}

/* Guards against two owners after a late renewal: a renewal that follows
   another process's claim in the log must not be valid. */
TEST(Lease, RenewalAfterANewerClaimIsIgnored)
{
    LeasePair pair;
    mb_lease_note_sent(&pair.a);
    ASSERT_TRUE(pair.apply(0, false, {1, MB_CLAIM_NONE, 1000}));
    ASSERT_TRUE(pair.apply(1, false, {2, 0, 1000}));
    EXPECT_FALSE(pair.apply(2, true, {1, 0, 1000}));
    EXPECT_EQ(mb_lease_phase(&pair.a), MB_LEASE_FOLLOWER);
    EXPECT_FALSE(mb_lease_token_valid(&pair.a, 0));
}

/* Guards against a shard without owner after a planned shutdown, if others
   wait for the expiry of a lease that was released, and against an owner that
   acts after it has released its lease. */
TEST(Lease, ReleaseLetsOthersClaimAtOnce)
{
    LeasePair pair;
    mb_shard_record_t record;
    mb_lease_note_sent(&pair.a);
    ASSERT_TRUE(pair.apply(0, false, {1, MB_CLAIM_NONE, 1000}));
    mb_lease_release(&pair.a);
    EXPECT_EQ(mb_lease_phase(&pair.a), MB_LEASE_FOLLOWER);
    ASSERT_TRUE(mb_lease_get_due_record(&pair.a, &record));
    EXPECT_EQ(record.body.claim.lease_ms, 0u);
    ASSERT_TRUE(pair.apply(1, true, record.body.claim));
    pair.now += 51 * MB_US_PER_MS;
    EXPECT_TRUE(mb_lease_get_due_record(&pair.b, &record));
    EXPECT_FALSE(mb_lease_get_due_record(&pair.a, &record));
}

/* Decodes a record, whose texts are borrowed from the zone. Returns false if
   the bytes are invalid. */
static bool
decode(msgpack_zone *zone, const std::string &bytes, mb_shard_record_t *record)
{
    return mb_shard_record_decode(zone, {bytes.data(), bytes.size()}, record,
                                  nullptr);
}

/* Guards against fields that are lost or swapped in encoding or decoding,
   against a full record above the payload limit, and against reads past the
   end of a truncated record. */
RC_GTEST_PROP(ShardRecord, RoundTripPreservesReleases,
              (uint64_t token, uint64_t job, uint32_t attempt,
               const std::string &text))
{
    static mb_shard_record_t in, out;
    std::string checkpoint = text.substr(0, MB_CHECKPOINT_MAX);
    in.type = MB_SHARD_RELEASE;
    in.token = token;
    in.count = MB_SHARD_RELEASES_MAX;
    for (uint32_t i = 0; i < in.count; i++) {
        in.body.releases[i] = {{job, i},
                               attempt,
                               MB_RELEASE_WORKER_LOST,
                               {checkpoint.data(), checkpoint.size()}};
    }
    mb_buf_t buf = {};
    msgpack_zone zone;
    RC_ASSERT(msgpack_zone_init(&zone, 1024));
    mb_shard_record_encode(&buf, &in);
    std::string bytes(buf.data, buf.len);
    mb_buf_finish(&buf);
    RC_ASSERT(bytes.size() <= MB_RECORD_PAYLOAD_MAX);
    RC_ASSERT(decode(&zone, bytes, &out));
    RC_ASSERT(out.token == token && out.count == in.count);
    const mb_release_t &last = out.body.releases[out.count - 1];
    RC_ASSERT(last.task.job == job && last.task.index == out.count - 1);
    RC_ASSERT(last.attempt == attempt);
    RC_ASSERT(std::string(last.checkpoint.data, last.checkpoint.len) ==
              checkpoint);
    bytes.pop_back();
    RC_ASSERT(!decode(&zone, bytes, &out));
    msgpack_zone_destroy(&zone);
}

/* Guards against lists of a sync request or response that are lost or mixed up
   in encoding or decoding, and against a truncated request that is accepted.
 */
TEST(WorkerMsg, RoundTripPreservesRequestsAndResponses)
{
    static mb_sync_request_t in, out;
    static mb_sync_response_t response, decoded;
    msgpack_zone zone;
    mb_buf_t buf = {};
    ASSERT_TRUE(msgpack_zone_init(&zone, 1024));
    in.token = 7;
    in.incarnation = UINT64_MAX;
    in.lease_ms = 9000;
    in.start_count = in.stop_count = in.throttle_count = in.ack_count = 1;
    in.starts[0] = {
        {{1, 2}, 3}, {4, 5, 6}, MB_STR_LIT("sleep 5"), MB_STR_LIT("half")};
    in.stops[0] = {{{7, 8}, 9}, true};
    in.throttles[0] = {{10, 11}, 50};
    in.acks[0] = {{12, 13}, 14};
    mb_worker_msg_encode_request(&buf, &in);
    ASSERT_TRUE(
        mb_worker_msg_decode_request(&zone, mb_buf_view(&buf), &out, nullptr));
    EXPECT_EQ(out.incarnation, UINT64_MAX);
    EXPECT_EQ(out.starts[0].size.accelerators, 6u);
    EXPECT_TRUE(mb_str_equal(out.starts[0].checkpoint, MB_STR_LIT("half")));
    EXPECT_TRUE(out.stops[0].checkpoint);
    EXPECT_EQ(out.throttles[0].percent, 50u);
    EXPECT_EQ(out.acks[0].attempt, 14u);
    buf.len--;
    EXPECT_FALSE(
        mb_worker_msg_decode_request(&zone, mb_buf_view(&buf), &out, nullptr));
    mb_buf_clear(&buf);
    response.highest_token = 7;
    response.running_count = response.finished_count = response.usage_count =
        1;
    response.running[0] = {{1, 2}, 3};
    response.finished[0] = {{{4, 5}, 6}, MB_EXIT_STOPPED, MB_STR_LIT("c")};
    response.usage[0] = {{7, 8}, 9, 10, 1, {{11, 12}}};
    mb_worker_msg_encode_response(&buf, &response);
    ASSERT_TRUE(mb_worker_msg_decode_response(&zone, mb_buf_view(&buf),
                                              &decoded, nullptr));
    EXPECT_EQ(decoded.finished[0].exit_code, (uint32_t)MB_EXIT_STOPPED);
    EXPECT_EQ(decoded.usage[0].samples[0].age_ms, 12u);
    mb_buf_finish(&buf);
    msgpack_zone_destroy(&zone);
}
