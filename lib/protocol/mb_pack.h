/* Helpers shared by the msgpack codecs: packing into a buffer and typed,
   bounded reads of decoded objects. */
#ifndef MB_PACK_H
#define MB_PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "mb_str.h"

/* Reads the elements of one array in order; remembers the first failure. */
typedef struct mb_unpack {
    const msgpack_object *next;
    uint32_t left;
    bool failed;
} mb_unpack_t;

/* Deepest nesting of packed objects that is accepted. */
#define MB_PACK_DEPTH_MAX 8u

void mb_pack_init(msgpack_packer *packer, mb_buf_t *out);
void mb_pack_bin(msgpack_packer *packer, mb_str_t bytes);
void mb_pack_str(msgpack_packer *packer, mb_str_t text);
void mb_pack_bool(msgpack_packer *packer, bool value);

bool mb_unpack_array(mb_unpack_t *reader, const msgpack_object *object);
mb_unpack_t mb_unpack_next_array(mb_unpack_t *reader);
uint64_t mb_unpack_u64(mb_unpack_t *reader, uint64_t max);
bool mb_unpack_bool(mb_unpack_t *reader);
mb_str_t mb_unpack_bytes(mb_unpack_t *reader, size_t max);
bool mb_unpack_done(const mb_unpack_t *reader);
bool mb_pack_validate(mb_str_t bytes, size_t max_objects);

#endif
