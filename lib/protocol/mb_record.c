#include "mb_record.h"

#include "mb_pack.h"

/* Size in which the decoder's zone allocates memory, in bytes. */
#define ZONE_BYTES 4096

/* Initializes a decoder; returns false when out of memory. */
bool
mb_record_decoder_init(mb_record_decoder_t *decoder)
{
    return msgpack_zone_init(&decoder->zone, ZONE_BYTES);
}

/* Releases the memory of a decoder. */
void
mb_record_decoder_finish(mb_record_decoder_t *decoder)
{
    msgpack_zone_destroy(&decoder->zone);
}

/* Packs a key and its value, a number. */
static void
pack_number(msgpack_packer *packer, char key, uint64_t value)
{
    mb_pack_str(packer, (mb_str_t){&key, 1});
    (void)msgpack_pack_uint64(packer, value);
}

/* Appends a record, without its offset and time; see the header for the
   format. */
void
mb_record_encode(mb_buf_t *out, const mb_record_t *record)
{
    msgpack_packer packer;
    bool snapshot = record->type != MB_RECORD_DATA;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_map(&packer, snapshot ? 8 : 4);
    pack_number(&packer, 'w', record->writer);
    pack_number(&packer, 's', record->sequence);
    pack_number(&packer, 't', record->type);
    mb_pack_str(&packer, MB_STR_LIT("p"));
    mb_pack_bin(&packer, record->payload);
    if (!snapshot) {
        return;
    }
    pack_number(&packer, 'i', record->snapshot);
    pack_number(&packer, 'a', record->as_of);
    pack_number(&packer, 'n', record->index);
    mb_pack_str(&packer, MB_STR_LIT("m"));
    (void)msgpack_pack_array(&packer, (size_t)record->writer_state_count * 3);
    for (uint32_t i = 0; i < record->writer_state_count; i++) {
        (void)msgpack_pack_uint64(&packer, record->writer_states[i].writer);
        (void)msgpack_pack_uint64(&packer, record->writer_states[i].sequence);
        (void)msgpack_pack_uint64(&packer, record->writer_states[i].time_ms);
    }
}

/* Reads the states of writers into memory of the decoder. Returns false if
   there are more than MB_RECORD_WRITER_STATES_MAX or the array is
   malformed. */
static bool
decode_writer_states(mb_record_decoder_t *decoder,
                     const msgpack_object *object, mb_record_t *record)
{
    mb_unpack_t reader;
    if (!mb_unpack_array(&reader, object) || reader.left % 3 != 0 ||
        reader.left / 3 > MB_RECORD_WRITER_STATES_MAX) {
        return false;
    }
    record->writer_state_count = reader.left / 3;
    record->writer_states = decoder->writer_states;
    for (uint32_t i = 0; i < record->writer_state_count; i++) {
        mb_writer_state_t *state = &decoder->writer_states[i];
        state->writer = mb_unpack_u64(&reader, UINT64_MAX);
        state->sequence = mb_unpack_u64(&reader, UINT64_MAX);
        state->time_ms = mb_unpack_u64(&reader, UINT64_MAX);
    }
    return mb_unpack_done(&reader);
}

/* Reads a number from 0 to `max`; returns false for anything else. */
static bool
decode_number(const msgpack_object *object, uint64_t max, uint64_t *value)
{
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        object->via.u64 > max) {
        return false;
    }
    *value = object->via.u64;
    return true;
}

/* Reads the payload, at most MB_RECORD_PAYLOAD_MAX bytes. */
static bool
decode_payload(const msgpack_object *object, mb_record_t *record)
{
    if (object->type != MSGPACK_OBJECT_BIN ||
        object->via.bin.size > MB_RECORD_PAYLOAD_MAX) {
        return false;
    }
    record->payload = (mb_str_t){object->via.bin.ptr, object->via.bin.size};
    return true;
}

/* Reads one field. Unknown keys, of a later version, are ignored. Sets the bit
   of a required field in `found`. Returns false if the value is invalid. */
static bool
decode_field(mb_record_decoder_t *decoder, const msgpack_object_kv *field,
             mb_record_t *record, uint64_t *type, unsigned *found)
{
    const msgpack_object *value = &field->val;
    if (field->key.type != MSGPACK_OBJECT_STR ||
        field->key.via.str.size != 1) {
        return true;
    }
    switch (field->key.via.str.ptr[0]) {
    case 'w':
        *found |= 1u;
        return decode_number(value, UINT64_MAX, &record->writer);
    case 's':
        *found |= 2u;
        return decode_number(value, UINT64_MAX, &record->sequence);
    case 't':
        *found |= 4u;
        return decode_number(value, MB_RECORD_TYPE_COUNT - 1, type);
    case 'p':
        return decode_payload(value, record);
    case 'i':
        return decode_number(value, UINT64_MAX, &record->snapshot);
    case 'a':
        return decode_number(value, UINT64_MAX, &record->as_of);
    case 'n':
        return decode_number(value, UINT64_MAX, &record->index);
    case 'm':
        return decode_writer_states(decoder, value, record);
    default:
        return true;
    }
}

/* Decodes a record; see the header. */
bool
mb_record_decode(mb_record_decoder_t *decoder, mb_str_t bytes,
                 mb_record_t *record)
{
    msgpack_object object;
    size_t used = 0;
    uint64_t type = 0;
    unsigned found = 0;
    msgpack_zone_clear(&decoder->zone);
    if (msgpack_unpack(bytes.data, bytes.len, &used, &decoder->zone,
                       &object) != MSGPACK_UNPACK_SUCCESS ||
        object.type != MSGPACK_OBJECT_MAP) {
        return false;
    }
    *record = (mb_record_t){.payload = MB_STR_EMPTY};
    for (uint32_t i = 0; i < object.via.map.size; i++) {
        if (!decode_field(decoder, &object.via.map.ptr[i], record, &type,
                          &found)) {
            return false;
        }
    }
    record->type = (mb_record_type_t)type;
    return found == 7u;
}
