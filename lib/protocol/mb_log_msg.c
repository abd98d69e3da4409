#include "mb_log_msg.h"

#include <glib.h>

#include "mb_pack.h"

/* Appends the response to an append as {"offset": offset}. */
void
mb_log_offset_encode(mb_buf_t *out, uint64_t offset)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_map(&packer, 1);
    mb_pack_str(&packer, MB_STR_LIT("offset"));
    (void)msgpack_pack_uint64(&packer, offset);
}

/* Returns the value of a key, NULL if the map does not have it or if `object`
   is not a map. */
static const msgpack_object *
find_key(const msgpack_object *object, mb_str_t key)
{
    for (uint32_t i = 0;
         object->type == MSGPACK_OBJECT_MAP && i < object->via.map.size; i++) {
        const msgpack_object_kv *field = &object->via.map.ptr[i];
        mb_str_t name = {field->key.via.str.ptr, field->key.via.str.size};
        if (field->key.type == MSGPACK_OBJECT_STR && mb_str_equal(name, key)) {
            return &field->val;
        }
    }
    return NULL;
}

/* Reads the value of a key, which must be a non-negative integer. Returns
   false if there is none. */
static bool
find_number(const msgpack_object *object, mb_str_t key, uint64_t *value)
{
    const msgpack_object *found = find_key(object, key);
    if (found == NULL || found->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    *value = found->via.u64;
    return true;
}

/* Decodes the response to an append; see the header. */
bool
mb_log_offset_decode(mb_str_t body, uint64_t *offset)
{
    msgpack_unpacked unpacked;
    size_t used = 0;
    msgpack_unpacked_init(&unpacked);
    bool ok = msgpack_unpack_next(&unpacked, body.data, body.len, &used) ==
                  MSGPACK_UNPACK_SUCCESS &&
              find_number(&unpacked.data, MB_STR_LIT("offset"), offset);
    msgpack_unpacked_destroy(&unpacked);
    return ok;
}

/* Appends the response to a read as {"earliest": offset, "next": offset,
   "records": [[offset, time in ms, bytes], ...]}. */
void
mb_log_page_encode(mb_buf_t *out, const mb_log_page_t *page)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_map(&packer, 3);
    mb_pack_str(&packer, MB_STR_LIT("earliest"));
    (void)msgpack_pack_uint64(&packer, page->earliest);
    mb_pack_str(&packer, MB_STR_LIT("next"));
    (void)msgpack_pack_uint64(&packer, page->next);
    mb_pack_str(&packer, MB_STR_LIT("records"));
    (void)msgpack_pack_array(&packer, page->count);
    for (uint32_t i = 0; i < page->count; i++) {
        (void)msgpack_pack_array(&packer, 3);
        (void)msgpack_pack_uint64(&packer, page->entries[i].offset);
        (void)msgpack_pack_uint64(&packer, page->entries[i].time_ms);
        mb_pack_bin(&packer, page->entries[i].bytes);
    }
}

/* Reads the records of a page into a new array. Returns false if `records` is
   NULL or malformed; the page owns the array even then. */
static bool
decode_entries(const msgpack_object *records, mb_log_page_t *page)
{
    mb_unpack_t reader;
    if (records == NULL || !mb_unpack_array(&reader, records) ||
        reader.left > MB_LOG_PAGE_RECORDS_MAX) {
        return false;
    }
    page->count = reader.left;
    page->entries = g_new0(mb_log_entry_t, page->count + 1);
    for (uint32_t i = 0; i < page->count; i++) {
        mb_unpack_t entry = mb_unpack_next_array(&reader);
        page->entries[i].offset = mb_unpack_u64(&entry, UINT64_MAX);
        page->entries[i].time_ms = mb_unpack_u64(&entry, UINT64_MAX);
        page->entries[i].bytes = mb_unpack_bytes(&entry, UINT32_MAX);
        if (!mb_unpack_done(&entry)) {
            return false;
        }
    }
    return true;
}

/* Decodes the response to a read; see the header. */
bool
mb_log_page_decode(mb_str_t body, mb_log_page_t *page)
{
    msgpack_unpacked unpacked;
    size_t used = 0;
    *page = (mb_log_page_t){0};
    msgpack_unpacked_init(&unpacked);
    bool ok =
        msgpack_unpack_next(&unpacked, body.data, body.len, &used) ==
            MSGPACK_UNPACK_SUCCESS &&
        find_number(&unpacked.data, MB_STR_LIT("earliest"), &page->earliest);
    if (ok && find_number(&unpacked.data, MB_STR_LIT("next"), &page->next)) {
        ok = decode_entries(find_key(&unpacked.data, MB_STR_LIT("records")),
                            page);
    }
    msgpack_unpacked_destroy(&unpacked);
    return ok;
}

/* Releases the array of records of a decoded page. */
void
mb_log_page_finish(mb_log_page_t *page)
{
    g_free(page->entries);
    page->entries = NULL;
}
