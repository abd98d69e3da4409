/* Property-based tests of the frame codec. They guard against bytes from a
   peer that crash the process, make it allocate as much memory as a length
   field claims, or decode to a message with a field out of bounds. */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "mb_frame.h"
#include "mb_pack.h"
}

namespace {

mb_str_t
view(const std::string &text)
{
    return {text.data(), text.size()};
}

std::string
encode(const mb_message_t &message)
{
    mb_buf_t out = {};
    mb_frame_encode(&out, &message);
    std::string bytes(out.data, out.len);
    mb_buf_finish(&out);
    return bytes;
}

/* Owns the texts that a generated message has views into. */
struct TextStorage {
    std::vector<std::string> items;
};

/* Generates a text of at most `max` bytes, and at most 40. */
mb_str_t
arbitrary_text(TextStorage &texts, size_t max)
{
    size_t size = *rc::gen::inRange<size_t>(0, std::min<size_t>(max, 40) + 1);
    texts.items.push_back(
        *rc::gen::container<std::string>(size, rc::gen::arbitrary<char>()));
    return view(texts.items.back());
}

mb_request_id_t
arbitrary_id()
{
    return {*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>(),
            *rc::gen::arbitrary<uint64_t>()};
}

void
fill_arbitrary_headers(TextStorage &texts, mb_headers_t *headers)
{
    headers->count = *rc::gen::inRange<uint32_t>(0, 5);
    for (uint32_t i = 0; i < headers->count; i++) {
        headers->items[i] = {arbitrary_text(texts, 40),
                             arbitrary_text(texts, 40)};
    }
}

/* Generates a valid message of an arbitrary type. All its texts must fit the
   reserved space, since growing it would invalidate the views. */
void
fill_arbitrary_message(TextStorage &texts, mb_message_t *message)
{
    texts.items.reserve(64);
    message->type =
        (mb_message_type_t)*rc::gen::inRange<int>(0, MB_MESSAGE_TYPE_COUNT);
    mb_request_t *request = &message->body.request;
    mb_response_t *response = &message->body.response;
    switch (message->type) {
    case MB_MESSAGE_HELLO:
        message->body.hello = {1,
                               *rc::gen::arbitrary<uint64_t>(),
                               *rc::gen::arbitrary<uint64_t>(),
                               MB_ROLE_SIDECAR,
                               arbitrary_text(texts, MB_NAME_MAX),
                               arbitrary_text(texts, MB_NAME_MAX),
                               *rc::gen::arbitrary<uint32_t>()};
        break;
    case MB_MESSAGE_CREDIT:
        message->body.credit = {*rc::gen::arbitrary<uint32_t>(), 7, 9};
        break;
    case MB_MESSAGE_REQUEST:
        request->id = arbitrary_id();
        request->deadline_ms = *rc::gen::arbitrary<uint32_t>();
        request->request_class = MB_CLASS_BATCH;
        request->idempotent = *rc::gen::arbitrary<bool>();
        request->method = arbitrary_text(texts, MB_METHOD_MAX);
        request->path = arbitrary_text(texts, 40);
        fill_arbitrary_headers(texts, &request->headers);
        request->body = arbitrary_text(texts, 40);
        break;
    case MB_MESSAGE_RESPONSE:
        response->id = arbitrary_id();
        response->status = *rc::gen::inRange<uint32_t>(0, 1000);
        fill_arbitrary_headers(texts, &response->headers);
        response->body = arbitrary_text(texts, 40);
        response->last = *rc::gen::arbitrary<bool>();
        break;
    case MB_MESSAGE_REFUSED:
        message->body.refused = {arbitrary_id(), MB_KIND_DRAINING};
        break;
    case MB_MESSAGE_OUTCOME_ASK:
        message->body.outcome_ask.count =
            *rc::gen::inRange<uint32_t>(0, MB_OUTCOME_IDS_MAX + 1);
        for (uint32_t i = 0; i < message->body.outcome_ask.count; i++) {
            message->body.outcome_ask.ids[i] = {UINT64_MAX, 1, i};
        }
        break;
    case MB_MESSAGE_OUTCOME:
        message->body.outcome = {arbitrary_id(), MB_OUTCOME_UNKNOWN};
        break;
    case MB_MESSAGE_CANCEL:
        message->body.cancel = arbitrary_id();
        break;
    default:
        message->body.sequence = *rc::gen::arbitrary<uint64_t>();
        break;
    }
}

/* Returns whether all headers are within the bounds of a message. */
bool
headers_within_bounds(const mb_headers_t &headers)
{
    for (uint32_t i = 0; i < headers.count && i < MB_HEADERS_MAX; i++) {
        if (headers.items[i].name.len > MB_TEXT_MAX ||
            headers.items[i].value.len > MB_TEXT_MAX) {
            return false;
        }
    }
    return headers.count <= MB_HEADERS_MAX;
}

/* Returns whether all fields of a decoded message are within their bounds. */
bool
within_bounds(const mb_message_t &message)
{
    switch (message.type) {
    case MB_MESSAGE_HELLO:
        return message.body.hello.role <= MB_ROLE_SIDECAR &&
               message.body.hello.service.len <= MB_NAME_MAX &&
               message.body.hello.failure_domain.len <= MB_NAME_MAX;
    case MB_MESSAGE_REQUEST:
        return message.body.request.request_class < MB_CLASS_COUNT &&
               message.body.request.method.len <= MB_METHOD_MAX &&
               message.body.request.path.len <= MB_TEXT_MAX &&
               message.body.request.body.len <= MB_BODY_MAX &&
               headers_within_bounds(message.body.request.headers);
    case MB_MESSAGE_RESPONSE:
        return message.body.response.status < 1000 &&
               message.body.response.body.len <= MB_BODY_MAX &&
               headers_within_bounds(message.body.response.headers);
    case MB_MESSAGE_REFUSED:
        return message.body.refused.reason < MB_KIND_COUNT;
    case MB_MESSAGE_OUTCOME_ASK:
        return message.body.outcome_ask.count <= MB_OUTCOME_IDS_MAX;
    case MB_MESSAGE_OUTCOME:
        return message.body.outcome.state < MB_OUTCOME_STATE_COUNT;
    default:
        return message.type < MB_MESSAGE_TYPE_COUNT;
    }
}

/* Decodes a copy of `bytes` in memory of exactly their size, so that the
   sanitizer detects a read past the end. Checks the bounds of the message. */
mb_frame_result_t
decode(const std::string &bytes, mb_message_t *message, size_t *consumed)
{
    std::vector<char> exact(bytes.begin(), bytes.end());
    mb_frame_decoder_t decoder;
    EXPECT_TRUE(mb_frame_decoder_init(&decoder));
    mb_frame_result_t result = mb_frame_decode(
        &decoder, {exact.data(), exact.size()}, consumed, message, nullptr);
    if (result == MB_FRAME_OK) {
        EXPECT_TRUE(within_bounds(*message));
    }
    mb_frame_decoder_finish(&decoder);
    return result;
}

/* Returns the payload with a length field in front. */
std::string
add_length_field(const std::string &payload)
{
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8) {
        bytes.push_back((char)(payload.size() >> shift));
    }
    return bytes + payload;
}

} // namespace

/* Guards against fields that are lost or swapped: a decoded message must
   encode to the same bytes. */
RC_GTEST_PROP(Frame, DecodedMessageEncodesToTheSameBytes, ())
{
    TextStorage texts;
    auto message = std::make_unique<mb_message_t>();
    auto decoded = std::make_unique<mb_message_t>();
    mb_frame_decoder_t decoder;
    size_t consumed = 0;
    fill_arbitrary_message(texts, message.get());
    std::string bytes = encode(*message);
    std::string stream = bytes + "next";
    RC_ASSERT(mb_frame_decoder_init(&decoder));
    mb_frame_result_t result = mb_frame_decode(
        &decoder, view(stream), &consumed, decoded.get(), nullptr);
    bool same = result == MB_FRAME_OK && consumed == bytes.size() &&
                encode(*decoded) == bytes;
    mb_frame_decoder_finish(&decoder);
    RC_ASSERT(same);
}

/* Guards against a frame that is decoded before all its bytes have arrived. */
RC_GTEST_PROP(Frame, TruncatedFrameIsIncomplete, ())
{
    TextStorage texts;
    auto message = std::make_unique<mb_message_t>();
    size_t consumed = 0;
    fill_arbitrary_message(texts, message.get());
    std::string bytes = encode(*message);
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size()));
    RC_ASSERT(decode(bytes, message.get(), &consumed) == MB_FRAME_INCOMPLETE);
}

/* Guards against a peer that changes bytes of a valid frame: the result is an
   error or a message within the bounds. */
RC_GTEST_PROP(Frame, MutatedFrameIsRejectedOrWithinBounds, ())
{
    TextStorage texts;
    auto message = std::make_unique<mb_message_t>();
    size_t consumed = 0;
    fill_arbitrary_message(texts, message.get());
    std::string bytes = encode(*message);
    int changes = *rc::gen::inRange(1, 8);
    for (int i = 0; i < changes; i++) {
        bytes[*rc::gen::inRange<size_t>(4, bytes.size())] =
            *rc::gen::arbitrary<char>();
    }
    (void)decode(bytes, message.get(), &consumed);
}

/* Guards against arbitrary bytes, with and without a valid length field: the
   result is an error or a message within the bounds. */
RC_GTEST_PROP(Frame, ArbitraryBytesAreRejectedOrWithinBounds,
              (const std::string &payload))
{
    auto message = std::make_unique<mb_message_t>();
    size_t consumed = 0;
    (void)decode(payload, message.get(), &consumed);
    (void)decode(add_length_field(payload), message.get(), &consumed);
}

/* Guards against allocation of the memory that a length field claims: msgpack
   would at once allocate 24 bytes for each claimed element, even if the bytes
   do not follow. Too many objects and too deep nesting are rejected too. */
TEST(Frame, RejectsExcessiveLengthsAndNesting)
{
    auto message = std::make_unique<mb_message_t>();
    size_t consumed = 0;
    const std::string malformed[] = {
        std::string("\xdd\xff\xff\xff\xff", 5), /* array of 2^32 - 1 */
        std::string("\x92\x05\xdd\x7f\xff\xff\xff", 7),
        std::string("\xc6\xff\xff\xff\xff", 5), /* bin of 2^32 - 1 */
        std::string("\xdf\xff\xff\xff\xff", 5), /* map of 2^32 - 1 */
        std::string("\xdd\x00\x01\x00\x00", 5) + std::string(65536, '\xc0'),
        std::string(1000, '\x91'), /* nested 1000 deep */
    };
    for (const std::string &payload : malformed) {
        EXPECT_FALSE(mb_pack_validate(view(payload), 1000));
        EXPECT_EQ(decode(add_length_field(payload), message.get(), &consumed),
                  MB_FRAME_INVALID);
    }
    EXPECT_EQ(
        decode(std::string("\xff\xff\xff\xff", 4), message.get(), &consumed),
        MB_FRAME_INVALID);
}

/* Guards against bytes that mb_pack_validate accepts but msgpack rejects or
   reads to another length. */
RC_GTEST_PROP(Pack, ValidatedBytesCanBeUnpacked, (const std::string &bytes))
{
    if (mb_pack_validate(view(bytes), 1000)) {
        msgpack_zone zone;
        msgpack_object object;
        size_t offset = 0;
        RC_ASSERT(msgpack_zone_init(&zone, 1024));
        msgpack_unpack_return result = msgpack_unpack(
            bytes.data(), bytes.size(), &offset, &zone, &object);
        msgpack_zone_destroy(&zone);
        RC_ASSERT(result == MSGPACK_UNPACK_SUCCESS);
        RC_ASSERT(offset == bytes.size());
    }
}
