#include "mb_frame.h"

#include <string.h>

#include "mb_pack.h"

/* Bytes of the length field in front of a frame. */
#define LENGTH_BYTES 4
/* First size of the decoder's memory, in bytes. */
#define ZONE_BYTES 8192
/* Most msgpack objects in one frame; an outcome query has the most: its ids,
   its array and the type. */
#define OBJECTS_MAX (MB_OUTCOME_IDS_MAX * 3u + 3u)

/* Prepares the memory for decoding; false when there is none. */
bool
mb_frame_decoder_init(mb_frame_decoder_t *decoder)
{
    return msgpack_zone_init(&decoder->zone, ZONE_BYTES);
}

/* Frees the memory. */
void
mb_frame_decoder_finish(mb_frame_decoder_t *decoder)
{
    msgpack_zone_destroy(&decoder->zone);
}

/* Packs a request id as three elements of the frame's array. */
static void
pack_id(msgpack_packer *packer, const mb_request_id_t *id)
{
    (void)msgpack_pack_uint64(packer, id->process);
    (void)msgpack_pack_uint64(packer, id->incarnation);
    (void)msgpack_pack_uint64(packer, id->counter);
}

/* Reads a request id. */
static mb_request_id_t
unpack_id(mb_unpack_t *reader)
{
    mb_request_id_t id;
    id.process = mb_unpack_u64(reader, UINT64_MAX);
    id.incarnation = mb_unpack_u64(reader, UINT64_MAX);
    id.counter = mb_unpack_u64(reader, UINT64_MAX);
    return id;
}

/* Packs headers as one array of names and values in turn. */
static void
pack_headers(msgpack_packer *packer, const mb_headers_t *headers)
{
    (void)msgpack_pack_array(packer, (size_t)headers->count * 2);
    for (uint32_t i = 0; i < headers->count; i++) {
        mb_pack_bin(packer, headers->items[i].name);
        mb_pack_bin(packer, headers->items[i].value);
    }
}

/* Reads headers. */
static void
unpack_headers(mb_unpack_t *reader, mb_headers_t *headers)
{
    mb_unpack_t inner = mb_unpack_next_array(reader);
    headers->count = 0;
    if (inner.left % 2 != 0 || inner.left / 2 > MB_HEADERS_MAX) {
        reader->failed = true;
        return;
    }
    while (!inner.failed && inner.left > 0) {
        mb_header_t *header = &headers->items[headers->count++];
        header->name = mb_unpack_bytes(&inner, MB_TEXT_MAX);
        header->value = mb_unpack_bytes(&inner, MB_TEXT_MAX);
    }
    reader->failed = reader->failed || inner.failed;
}

/* Packs HELLO: version, process, incarnation, role, failure domain, service,
 * slots. */
static void
pack_hello(msgpack_packer *packer, const mb_message_t *message)
{
    const mb_hello_t *hello = &message->body.hello;
    (void)msgpack_pack_uint32(packer, hello->version);
    (void)msgpack_pack_uint64(packer, hello->process);
    (void)msgpack_pack_uint64(packer, hello->incarnation);
    (void)msgpack_pack_uint32(packer, (uint32_t)hello->role);
    mb_pack_str(packer, hello->failure_domain);
    mb_pack_str(packer, hello->service);
    (void)msgpack_pack_uint32(packer, hello->slots);
}

/* Reads the fields that pack_hello writes, within their bounds. */
static void
unpack_hello(mb_unpack_t *reader, mb_message_t *message)
{
    mb_hello_t *hello = &message->body.hello;
    hello->version = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    hello->process = mb_unpack_u64(reader, UINT64_MAX);
    hello->incarnation = mb_unpack_u64(reader, UINT64_MAX);
    hello->role = (mb_role_t)mb_unpack_u64(reader, MB_ROLE_SIDECAR);
    hello->failure_domain = mb_unpack_bytes(reader, MB_NAME_MAX);
    hello->service = mb_unpack_bytes(reader, MB_NAME_MAX);
    hello->slots = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
}

/* Packs CREDIT: requests granted, utilisation in percent, latency in
 * microseconds. */
static void
pack_credit(msgpack_packer *packer, const mb_message_t *message)
{
    const mb_credit_t *credit = &message->body.credit;
    (void)msgpack_pack_uint32(packer, credit->granted);
    (void)msgpack_pack_uint32(packer, credit->utilisation_percent);
    (void)msgpack_pack_uint32(packer, credit->latency_us);
}

/* Reads the fields that pack_credit writes, within their bounds. */
static void
unpack_credit(mb_unpack_t *reader, mb_message_t *message)
{
    mb_credit_t *credit = &message->body.credit;
    credit->granted = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    credit->utilisation_percent = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    credit->latency_us = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
}

/* Packs REQUEST: id, milliseconds left, class, idempotent, method, path,
 * headers, body. */
static void
pack_request(msgpack_packer *packer, const mb_message_t *message)
{
    const mb_request_t *request = &message->body.request;
    pack_id(packer, &request->id);
    (void)msgpack_pack_uint32(packer, request->deadline_ms);
    (void)msgpack_pack_uint32(packer, (uint32_t)request->request_class);
    mb_pack_bool(packer, request->idempotent);
    mb_pack_str(packer, request->method);
    mb_pack_bin(packer, request->path);
    pack_headers(packer, &request->headers);
    mb_pack_bin(packer, request->body);
}

/* Reads the fields that pack_request writes, within their bounds. */
static void
unpack_request(mb_unpack_t *reader, mb_message_t *message)
{
    mb_request_t *request = &message->body.request;
    request->id = unpack_id(reader);
    request->deadline_ms = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    request->request_class =
        (mb_class_t)mb_unpack_u64(reader, MB_CLASS_COUNT - 1);
    request->idempotent = mb_unpack_bool(reader);
    request->method = mb_unpack_bytes(reader, MB_METHOD_MAX);
    request->path = mb_unpack_bytes(reader, MB_TEXT_MAX);
    unpack_headers(reader, &request->headers);
    request->body = mb_unpack_bytes(reader, MB_BODY_MAX);
}

/* Packs RESPONSE: id, status, headers, one part of the body, last flag. */
static void
pack_response(msgpack_packer *packer, const mb_message_t *message)
{
    const mb_response_t *response = &message->body.response;
    pack_id(packer, &response->id);
    (void)msgpack_pack_uint32(packer, response->status);
    pack_headers(packer, &response->headers);
    mb_pack_bin(packer, response->body);
    mb_pack_bool(packer, response->last);
}

/* Reads the fields that pack_response writes, within their bounds. */
static void
unpack_response(mb_unpack_t *reader, mb_message_t *message)
{
    mb_response_t *response = &message->body.response;
    response->id = unpack_id(reader);
    response->status = (uint32_t)mb_unpack_u64(reader, 999);
    unpack_headers(reader, &response->headers);
    response->body = mb_unpack_bytes(reader, MB_BODY_MAX);
    response->last = mb_unpack_bool(reader);
}

/* Packs REFUSED: id and error kind. */
static void
pack_refused(msgpack_packer *packer, const mb_message_t *message)
{
    pack_id(packer, &message->body.refused.id);
    (void)msgpack_pack_uint32(packer, (uint32_t)message->body.refused.reason);
}

/* Reads the fields that pack_refused writes, within their bounds. */
static void
unpack_refused(mb_unpack_t *reader, mb_message_t *message)
{
    message->body.refused.id = unpack_id(reader);
    message->body.refused.reason =
        (mb_kind_t)mb_unpack_u64(reader, MB_KIND_COUNT - 1);
}

/* Packs OUTCOME_ASK: one array with three numbers per request id. */
static void
pack_outcome_ask(msgpack_packer *packer, const mb_message_t *message)
{
    const mb_outcome_ask_t *ask = &message->body.outcome_ask;
    (void)msgpack_pack_array(packer, (size_t)ask->count * 3);
    for (uint32_t i = 0; i < ask->count; i++) {
        pack_id(packer, &ask->ids[i]);
    }
}

/* Reads the fields that pack_outcome_ask writes, within their bounds. */
static void
unpack_outcome_ask(mb_unpack_t *reader, mb_message_t *message)
{
    mb_outcome_ask_t *ask = &message->body.outcome_ask;
    mb_unpack_t inner = mb_unpack_next_array(reader);
    ask->count = 0;
    if (inner.left % 3 != 0 || inner.left / 3 > MB_OUTCOME_IDS_MAX) {
        reader->failed = true;
        return;
    }
    while (!inner.failed && inner.left > 0) {
        ask->ids[ask->count++] = unpack_id(&inner);
    }
    reader->failed = reader->failed || inner.failed;
}

/* Packs OUTCOME: id and state. */
static void
pack_outcome(msgpack_packer *packer, const mb_message_t *message)
{
    pack_id(packer, &message->body.outcome.id);
    (void)msgpack_pack_uint32(packer, (uint32_t)message->body.outcome.state);
}

/* Reads the fields that pack_outcome writes, within their bounds. */
static void
unpack_outcome(mb_unpack_t *reader, mb_message_t *message)
{
    message->body.outcome.id = unpack_id(reader);
    message->body.outcome.state =
        (mb_outcome_state_t)mb_unpack_u64(reader, MB_OUTCOME_STATE_COUNT - 1);
}

/* Packs CANCEL: id. */
static void
pack_cancel(msgpack_packer *packer, const mb_message_t *message)
{
    pack_id(packer, &message->body.cancel);
}

/* Reads the fields that pack_cancel writes, within their bounds. */
static void
unpack_cancel(mb_unpack_t *reader, mb_message_t *message)
{
    message->body.cancel = unpack_id(reader);
}

/* Packs a message that consists of its type only. */
static void
pack_nothing(msgpack_packer *packer, const mb_message_t *message)
{
    (void)packer;
    (void)message;
}

/* A message that consists of its type only has nothing to read. */
static void
unpack_nothing(mb_unpack_t *reader, mb_message_t *message)
{
    (void)reader;
    (void)message;
}

/* Packs PING and PONG: sequence number. */
static void
pack_sequence(msgpack_packer *packer, const mb_message_t *message)
{
    (void)msgpack_pack_uint64(packer, message->body.sequence);
}

/* Reads the fields that pack_sequence writes, within their bounds. */
static void
unpack_sequence(mb_unpack_t *reader, mb_message_t *message)
{
    message->body.sequence = mb_unpack_u64(reader, UINT64_MAX);
}

/* Packs ORDER and REPORT, which have a codec of their own. */
static void
pack_packed(msgpack_packer *packer, const mb_message_t *message)
{
    mb_pack_bin(packer, message->body.packed);
}

/* Reads what pack_packed writes. */
static void
unpack_packed(mb_unpack_t *reader, mb_message_t *message)
{
    message->body.packed = mb_unpack_bytes(reader, MB_FRAME_MAX);
}

/* Codec of each message type; `elements` counts those after the type. */
static const struct {
    uint32_t elements;
    void (*pack)(msgpack_packer *packer, const mb_message_t *message);
    void (*unpack)(mb_unpack_t *reader, mb_message_t *message);
} codecs[MB_MESSAGE_TYPE_COUNT] = {
    [MB_MESSAGE_HELLO] = {7, pack_hello, unpack_hello},
    [MB_MESSAGE_CREDIT] = {3, pack_credit, unpack_credit},
    [MB_MESSAGE_REQUEST] = {10, pack_request, unpack_request},
    [MB_MESSAGE_RESPONSE] = {7, pack_response, unpack_response},
    [MB_MESSAGE_REFUSED] = {4, pack_refused, unpack_refused},
    [MB_MESSAGE_OUTCOME_ASK] = {1, pack_outcome_ask, unpack_outcome_ask},
    [MB_MESSAGE_OUTCOME] = {4, pack_outcome, unpack_outcome},
    [MB_MESSAGE_CANCEL] = {3, pack_cancel, unpack_cancel},
    [MB_MESSAGE_DRAIN] = {0, pack_nothing, unpack_nothing},
    [MB_MESSAGE_PING] = {1, pack_sequence, unpack_sequence},
    [MB_MESSAGE_PONG] = {1, pack_sequence, unpack_sequence},
    [MB_MESSAGE_ORDER] = {1, pack_packed, unpack_packed},
    [MB_MESSAGE_REPORT] = {1, pack_packed, unpack_packed},
};

/* Reads a big-endian length field. */
static uint32_t
read_length(const char *bytes)
{
    const unsigned char *raw = (const unsigned char *)bytes;
    return (uint32_t)raw[0] << 24 | (uint32_t)raw[1] << 16 |
           (uint32_t)raw[2] << 8 | raw[3];
}

/* Decodes the array of one frame into a message. */
static bool
decode_object(const msgpack_object *object, mb_message_t *message)
{
    mb_unpack_t reader;
    if (!mb_unpack_array(&reader, object)) {
        return false;
    }
    uint64_t type = mb_unpack_u64(&reader, MB_MESSAGE_TYPE_COUNT - 1);
    if (reader.failed) {
        return false;
    }
    message->type = (mb_message_type_t)type;
    codecs[type].unpack(&reader, message);
    return mb_unpack_done(&reader);
}

/* Decodes the first frame of `bytes`. On MB_FRAME_OK, *consumed is its size
   and the message's views point into `bytes`. MB_FRAME_INVALID sets the error;
   the link must then be closed, because its framing can't be trusted. */
mb_frame_result_t
mb_frame_decode(mb_frame_decoder_t *decoder, mb_str_t bytes, size_t *consumed,
                mb_message_t *message, GError **error)
{
    if (bytes.len < LENGTH_BYTES) {
        return MB_FRAME_INCOMPLETE;
    }
    uint32_t length = read_length(bytes.data);
#ifndef MB_MUTANT_FRAME_NO_BOUND
    if (length == 0 || length > MB_FRAME_MAX) {
        mb_error_set(error, MB_KIND_PROTOCOL,
                     "frame of %u bytes, allowed are 1 to %u", length,
                     MB_FRAME_MAX);
        return MB_FRAME_INVALID;
    }
#endif
    if (bytes.len < LENGTH_BYTES + (size_t)length) {
        return MB_FRAME_INCOMPLETE;
    }
    msgpack_object object;
    size_t offset = 0;
    if (!mb_pack_validate((mb_str_t){bytes.data + LENGTH_BYTES, length},
                          OBJECTS_MAX)) {
        mb_error_set(error, MB_KIND_PROTOCOL, "frame is not valid msgpack");
        return MB_FRAME_INVALID;
    }
    msgpack_zone_clear(&decoder->zone);
    msgpack_unpack_return result = msgpack_unpack(
        bytes.data + LENGTH_BYTES, length, &offset, &decoder->zone, &object);
    if (result != MSGPACK_UNPACK_SUCCESS || offset != length ||
        !decode_object(&object, message)) {
        mb_error_set(error, MB_KIND_PROTOCOL, "frame is not a valid message");
        return MB_FRAME_INVALID;
    }
    *consumed = LENGTH_BYTES + (size_t)length;
    return MB_FRAME_OK;
}

/* Appends one frame. */
void
mb_frame_encode(mb_buf_t *out, const mb_message_t *message)
{
    msgpack_packer packer;
    size_t start = out->len;
    mb_buf_append(out, (mb_str_t){"\0\0\0\0", LENGTH_BYTES});
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 1 + codecs[message->type].elements);
    (void)msgpack_pack_uint32(&packer, (uint32_t)message->type);
    codecs[message->type].pack(&packer, message);
    uint32_t length = (uint32_t)(out->len - start - LENGTH_BYTES);
    for (int i = 0; i < LENGTH_BYTES; i++) {
        out->data[start + (size_t)i] =
            (char)(length >> (8 * (LENGTH_BYTES - 1 - i)));
    }
}
