#include "mb_frame.h"

#include <string.h>

#include "mb_pack.h"

/* Size in which the decoder's zone allocates memory, in bytes. */
#define ZONE_BYTES 8192
/* Maximum number of msgpack objects in a frame. An outcome query has the most:
   three numbers for each request id, the array of these numbers, the type and
   the array of the frame. */
#define OBJECTS_MAX (MB_OUTCOME_IDS_MAX * 3u + 3u)

/* Initializes a decoder; returns false when out of memory. */
bool
mb_frame_decoder_init(mb_frame_decoder_t *decoder)
{
    return msgpack_zone_init(&decoder->zone, ZONE_BYTES);
}

/* Releases the memory of a decoder. */
void
mb_frame_decoder_finish(mb_frame_decoder_t *decoder)
{
    msgpack_zone_destroy(&decoder->zone);
}

/* Packs a request id as three elements: process, incarnation, counter. */
static void
pack_id(msgpack_packer *packer, const mb_request_id_t *id)
{
    (void)msgpack_pack_uint64(packer, id->process);
    (void)msgpack_pack_uint64(packer, id->incarnation);
    (void)msgpack_pack_uint64(packer, id->counter);
}

/* Reads the three elements of a request id. */
static mb_request_id_t
unpack_id(mb_unpack_t *reader)
{
    mb_request_id_t id;
    id.process = mb_unpack_u64(reader, UINT64_MAX);
    id.incarnation = mb_unpack_u64(reader, UINT64_MAX);
    id.counter = mb_unpack_u64(reader, UINT64_MAX);
    return id;
}

/* Packs headers as one array: name, value, name, value, ... */
static void
pack_headers(msgpack_packer *packer, const mb_headers_t *headers)
{
    (void)msgpack_pack_array(packer, (size_t)headers->count * 2);
    for (uint32_t i = 0; i < headers->count; i++) {
        mb_pack_bin(packer, headers->items[i].name);
        mb_pack_bin(packer, headers->items[i].value);
    }
}

/* Reads an array of at most MB_HEADERS_MAX headers. Marks `reader` as failed
   if it is anything else. */
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
   slots. */
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

/* Reads HELLO; see pack_hello. Like the other functions of this kind, it marks
   `reader` as failed if a field has the wrong type or is out of bounds. */
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

/* Packs CREDIT: maximum number of requests in flight, utilisation in percent,
   latency in microseconds. */
static void
pack_credit(msgpack_packer *packer, const mb_message_t *message)
{
    const mb_credit_t *credit = &message->body.credit;
    (void)msgpack_pack_uint32(packer, credit->granted);
    (void)msgpack_pack_uint32(packer, credit->utilisation_percent);
    (void)msgpack_pack_uint32(packer, credit->latency_us);
}

/* Reads CREDIT; see pack_credit. */
static void
unpack_credit(mb_unpack_t *reader, mb_message_t *message)
{
    mb_credit_t *credit = &message->body.credit;
    credit->granted = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    credit->utilisation_percent = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    credit->latency_us = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
}

/* Packs REQUEST: id, milliseconds left until the deadline, class, whether it
   is idempotent, method, path, headers, body. */
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

/* Reads REQUEST; see pack_request. */
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

/* Packs RESPONSE: id, HTTP status, headers, one part of the body, whether it
   is the last part. */
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

/* Reads RESPONSE; see pack_response. */
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

/* Packs REFUSED: id, error kind. */
static void
pack_refused(msgpack_packer *packer, const mb_message_t *message)
{
    pack_id(packer, &message->body.refused.id);
    (void)msgpack_pack_uint32(packer, (uint32_t)message->body.refused.reason);
}

/* Reads REFUSED; see pack_refused. */
static void
unpack_refused(mb_unpack_t *reader, mb_message_t *message)
{
    message->body.refused.id = unpack_id(reader);
    message->body.refused.reason =
        (mb_kind_t)mb_unpack_u64(reader, MB_KIND_COUNT - 1);
}

/* Packs OUTCOME_ASK: one array with the three numbers of each request id. */
static void
pack_outcome_ask(msgpack_packer *packer, const mb_message_t *message)
{
    const mb_outcome_ask_t *ask = &message->body.outcome_ask;
    (void)msgpack_pack_array(packer, (size_t)ask->count * 3);
    for (uint32_t i = 0; i < ask->count; i++) {
        pack_id(packer, &ask->ids[i]);
    }
}

/* Reads OUTCOME_ASK; see pack_outcome_ask. */
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

/* Packs OUTCOME: id, state. */
static void
pack_outcome(msgpack_packer *packer, const mb_message_t *message)
{
    pack_id(packer, &message->body.outcome.id);
    (void)msgpack_pack_uint32(packer, (uint32_t)message->body.outcome.state);
}

/* Reads OUTCOME; see pack_outcome. */
static void
unpack_outcome(mb_unpack_t *reader, mb_message_t *message)
{
    message->body.outcome.id = unpack_id(reader);
    message->body.outcome.state =
        (mb_outcome_state_t)mb_unpack_u64(reader, MB_OUTCOME_STATE_COUNT - 1);
}

/* Packs CANCEL: id of the request to cancel. */
static void
pack_cancel(msgpack_packer *packer, const mb_message_t *message)
{
    pack_id(packer, &message->body.cancel);
}

/* Reads CANCEL; see pack_cancel. */
static void
unpack_cancel(mb_unpack_t *reader, mb_message_t *message)
{
    message->body.cancel = unpack_id(reader);
}

/* Packs a message without fields, such as DRAIN. */
static void
pack_empty(msgpack_packer *packer, const mb_message_t *message)
{
    (void)packer;
    (void)message;
}

/* Reads a message without fields. */
static void
unpack_empty(mb_unpack_t *reader, mb_message_t *message)
{
    (void)reader;
    (void)message;
}

/* Packs PING or PONG: sequence number. */
static void
pack_sequence(msgpack_packer *packer, const mb_message_t *message)
{
    (void)msgpack_pack_uint64(packer, message->body.sequence);
}

/* Reads PING or PONG; see pack_sequence. */
static void
unpack_sequence(mb_unpack_t *reader, mb_message_t *message)
{
    message->body.sequence = mb_unpack_u64(reader, UINT64_MAX);
}

/* Packs ORDER or REPORT: the message as encoded by mb_order_codec.h, as one
   binary element. */
static void
pack_encoded(msgpack_packer *packer, const mb_message_t *message)
{
    mb_pack_bin(packer, message->body.packed);
}

/* Reads ORDER or REPORT without decoding it; see pack_encoded. */
static void
unpack_encoded(mb_unpack_t *reader, mb_message_t *message)
{
    message->body.packed = mb_unpack_bytes(reader, MB_FRAME_MAX);
}

/* Codec of each message type. `elements` is the number of elements that follow
   the type in the frame's array. */
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
    [MB_MESSAGE_DRAIN] = {0, pack_empty, unpack_empty},
    [MB_MESSAGE_PING] = {1, pack_sequence, unpack_sequence},
    [MB_MESSAGE_PONG] = {1, pack_sequence, unpack_sequence},
    [MB_MESSAGE_ORDER] = {1, pack_encoded, unpack_encoded},
    [MB_MESSAGE_REPORT] = {1, pack_encoded, unpack_encoded},
};

/* Reads a length field, a 32-bit big-endian number. */
static uint32_t
read_length(const char *bytes)
{
    const unsigned char *raw = (const unsigned char *)bytes;
    return (uint32_t)raw[0] << 24 | (uint32_t)raw[1] << 16 |
           (uint32_t)raw[2] << 8 | raw[3];
}

/* Decodes the array of a frame into a message. Returns false for an unknown
   type, a wrong number of elements, or an element that is out of bounds. */
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

/* Decodes the first frame in `bytes`; see the header. The length and the
   structure are checked before msgpack_unpack allocates memory. */
mb_frame_result_t
mb_frame_decode(mb_frame_decoder_t *decoder, mb_str_t bytes, size_t *consumed,
                mb_message_t *message, GError **error)
{
    if (bytes.len < MB_FRAME_LENGTH_BYTES) {
        return MB_FRAME_INCOMPLETE;
    }
    uint32_t length = read_length(bytes.data);
#ifndef MB_MUTANT_FRAME_NO_BOUND
    if (length == 0 || length > MB_FRAME_MAX) {
        mb_error_set(error, MB_KIND_PROTOCOL,
                     "frame of %u bytes, must be 1 to %u", length,
                     MB_FRAME_MAX);
        return MB_FRAME_INVALID;
    }
#endif
    if (bytes.len < MB_FRAME_LENGTH_BYTES + (size_t)length) {
        return MB_FRAME_INCOMPLETE;
    }
    msgpack_object object;
    size_t offset = 0;
    if (!mb_pack_validate(
            (mb_str_t){bytes.data + MB_FRAME_LENGTH_BYTES, length},
            OBJECTS_MAX)) {
        mb_error_set(error, MB_KIND_PROTOCOL, "frame is not valid msgpack");
        return MB_FRAME_INVALID;
    }
    msgpack_zone_clear(&decoder->zone);
    msgpack_unpack_return result =
        msgpack_unpack(bytes.data + MB_FRAME_LENGTH_BYTES, length, &offset,
                       &decoder->zone, &object);
    if (result != MSGPACK_UNPACK_SUCCESS || offset != length ||
        !decode_object(&object, message)) {
        mb_error_set(error, MB_KIND_PROTOCOL, "frame is not a valid message");
        return MB_FRAME_INVALID;
    }
    *consumed = MB_FRAME_LENGTH_BYTES + (size_t)length;
    return MB_FRAME_OK;
}

/* Appends a message as one frame; see the header. The length is filled in
   last. */
void
mb_frame_encode(mb_buf_t *out, const mb_message_t *message)
{
    msgpack_packer packer;
    size_t start = out->len;
    mb_buf_append(out, (mb_str_t){"\0\0\0\0", MB_FRAME_LENGTH_BYTES});
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 1 + codecs[message->type].elements);
    (void)msgpack_pack_uint32(&packer, (uint32_t)message->type);
    codecs[message->type].pack(&packer, message);
    uint32_t length = (uint32_t)(out->len - start - MB_FRAME_LENGTH_BYTES);
    for (int i = 0; i < MB_FRAME_LENGTH_BYTES; i++) {
        out->data[start + (size_t)i] =
            (char)(length >> (8 * (MB_FRAME_LENGTH_BYTES - 1 - i)));
    }
}
