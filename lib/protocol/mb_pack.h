/* Helpers for the msgpack codecs: packing into a buffer, validation of input
   before it is decoded, and reading of decoded arrays with checks of types and
   bounds. */
#ifndef MB_PACK_H
#define MB_PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "mb_str.h"

/* Reads the elements of one array in order. An element that is missing, of
   another type or out of bounds sets `failed`; so callers read all elements
   and check mb_unpack_done at the end. */
typedef struct mb_unpack {
    const msgpack_object *next;
    uint32_t left; /* elements not read yet */
    bool failed;
} mb_unpack_t;

/* Maximum nesting depth of arrays and maps that mb_pack_validate accepts. */
#define MB_PACK_DEPTH_MAX 8u

/* Initializes a packer that appends to `out`, which must outlive it. */
void mb_pack_init(msgpack_packer *packer, mb_buf_t *out);
void mb_pack_bin(msgpack_packer *packer, mb_str_t bytes);
void mb_pack_str(msgpack_packer *packer, mb_str_t text);
void mb_pack_bool(msgpack_packer *packer, bool value);

/* Starts to read an array. Returns false, with `failed` set, if the object is
   not an array. */
bool mb_unpack_array(mb_unpack_t *reader, const msgpack_object *object);
/* The functions below read the next element. If it is not valid they set
   `failed` of the reader and return an empty value: 0, false, an empty view,
   or a failed reader without elements. */
mb_unpack_t mb_unpack_next_array(mb_unpack_t *reader);
/* A number from 0 to `max`. */
uint64_t mb_unpack_u64(mb_unpack_t *reader, uint64_t max);
bool mb_unpack_bool(mb_unpack_t *reader);
/* A str or bin of at most `max` bytes, as a view into the decoded input. */
mb_str_t mb_unpack_bytes(mb_unpack_t *reader, size_t max);
/* Returns whether all elements were read and each of them was valid. */
bool mb_unpack_done(const mb_unpack_t *reader);

/* Returns whether `bytes` are exactly one msgpack object that contains at most
   `max_objects` objects, including itself, nested at most MB_PACK_DEPTH_MAX
   deep. Called before msgpack_unpack, which would allocate memory for as many
   elements as a length field claims, even if the input is shorter. */
bool mb_pack_validate(mb_str_t bytes, size_t max_objects);

#endif
