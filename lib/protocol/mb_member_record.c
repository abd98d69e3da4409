#include "mb_member_record.h"

#include "mb_pack.h"

/* Appends an announcement; see the header for the format. */
void
mb_member_record_encode(mb_buf_t *out, const mb_announcement_t *announcement)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 5);
    (void)msgpack_pack_uint64(&packer, announcement->process);
    (void)msgpack_pack_uint64(&packer, announcement->incarnation);
    mb_pack_str(&packer, announcement->address);
    mb_pack_str(&packer, announcement->failure_domain);
    mb_pack_bool(&packer, announcement->leaving);
}

/* Decodes an announcement; see the header. */
bool
mb_member_record_decode(mb_str_t payload, mb_announcement_t *announcement)
{
    msgpack_unpacked unpacked;
    mb_unpack_t reader;
    size_t used = 0;
    bool ok = false;
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, payload.data, payload.len, &used) ==
        MSGPACK_UNPACK_SUCCESS) {
        (void)mb_unpack_array(&reader, &unpacked.data);
        announcement->process = mb_unpack_u64(&reader, UINT64_MAX);
        announcement->incarnation = mb_unpack_u64(&reader, UINT64_MAX);
        announcement->address = mb_unpack_bytes(&reader, MB_MEMBER_TEXT_MAX);
        announcement->failure_domain =
            mb_unpack_bytes(&reader, MB_MEMBER_TEXT_MAX);
        announcement->leaving = mb_unpack_bool(&reader);
        ok = mb_unpack_done(&reader);
    }
    msgpack_unpacked_destroy(&unpacked);
    return ok;
}
