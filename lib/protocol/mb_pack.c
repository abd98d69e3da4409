#include "mb_pack.h"

/* Appends packed bytes to the buffer behind a packer. */
static int
write_bytes(void *data, const char *bytes, size_t len)
{
    mb_buf_append(data, (mb_str_t){bytes, len});
    return 0;
}

/* Makes a packer that appends to the buffer. */
void
mb_pack_init(msgpack_packer *packer, mb_buf_t *out)
{
    msgpack_packer_init(packer, out, write_bytes);
}

/* Packs bytes as a msgpack bin. */
void
mb_pack_bin(msgpack_packer *packer, mb_str_t bytes)
{
    (void)msgpack_pack_bin(packer, bytes.len);
    (void)msgpack_pack_bin_body(packer, bytes.data, bytes.len);
}

/* Packs text as a msgpack str. */
void
mb_pack_str(msgpack_packer *packer, mb_str_t text)
{
    (void)msgpack_pack_str(packer, text.len);
    (void)msgpack_pack_str_body(packer, text.data, text.len);
}

/* Packs a truth value. */
void
mb_pack_bool(msgpack_packer *packer, bool value)
{
    (void)(value ? msgpack_pack_true(packer) : msgpack_pack_false(packer));
}

/* Starts to read an array; false when the object is something else. */
bool
mb_unpack_array(mb_unpack_t *reader, const msgpack_object *object)
{
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        *reader = (mb_unpack_t){NULL, 0, true};
        return false;
    }
    *reader =
        (mb_unpack_t){object->via.array.ptr, object->via.array.size, false};
    return true;
}

/* Takes the next element, or NULL and marks the failure at the end. */
static const msgpack_object *
take_object(mb_unpack_t *reader)
{
    if (reader->failed || reader->left == 0) {
        reader->failed = true;
        return NULL;
    }
    reader->left--;
    return reader->next++;
}

/* Takes the next element, which must be an array. */
mb_unpack_t
mb_unpack_next_array(mb_unpack_t *reader)
{
    mb_unpack_t inner = {NULL, 0, true};
    const msgpack_object *object = take_object(reader);
    if (object == NULL || !mb_unpack_array(&inner, object)) {
        reader->failed = true;
    }
    return inner;
}

/* Takes the next element, which must be a whole number from 0 to max. */
uint64_t
mb_unpack_u64(mb_unpack_t *reader, uint64_t max)
{
    const msgpack_object *object = take_object(reader);
    if (object == NULL || object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        object->via.u64 > max) {
        reader->failed = true;
        return 0;
    }
    return object->via.u64;
}

/* Takes the next element, which must be a truth value. */
bool
mb_unpack_bool(mb_unpack_t *reader)
{
    const msgpack_object *object = take_object(reader);
    if (object == NULL || object->type != MSGPACK_OBJECT_BOOLEAN) {
        reader->failed = true;
        return false;
    }
    return object->via.boolean;
}

/* Takes the next element, a str or bin of at most `max` bytes. The view
   points into the decoded input. */
mb_str_t
mb_unpack_bytes(mb_unpack_t *reader, size_t max)
{
    const msgpack_object *object = take_object(reader);
    mb_str_t bytes = MB_STR_EMPTY;
    if (object != NULL && object->type == MSGPACK_OBJECT_STR) {
        bytes = (mb_str_t){object->via.str.ptr, object->via.str.size};
    }
    else if (object != NULL && object->type == MSGPACK_OBJECT_BIN) {
        bytes = (mb_str_t){object->via.bin.ptr, object->via.bin.size};
    }
    else {
        reader->failed = true;
    }
    if (bytes.len > max) {
        reader->failed = true;
        return MB_STR_EMPTY;
    }
    return bytes;
}

/* Tells whether everything was read and nothing failed. */
bool
mb_unpack_done(const mb_unpack_t *reader)
{
    return !reader->failed && reader->left == 0;
}

/* A walk over packed bytes that builds no objects. */
typedef struct walk {
    const unsigned char *at;
    size_t left;
} walk_t;

/* Takes a big-endian number of `size` bytes; false at the end. */
static bool
walk_number(walk_t *walk, size_t size, uint64_t *number)
{
    *number = 0;
    if (walk->left < size) {
        return false;
    }
    for (size_t i = 0; i < size; i++) {
        *number = *number << 8 | walk->at[i];
    }
    walk->at += size;
    walk->left -= size;
    return true;
}

/* Leaves out payload bytes; false when fewer are left. */
static bool
walk_skip(walk_t *walk, uint64_t size)
{
    if (walk->left < size) {
        return false;
    }
    walk->at += size;
    walk->left -= size;
    return true;
}

/* What follows the tag of each format from 0xc0 to 0xdf. */
static const struct {
    uint8_t length_bytes; /* of the count that follows the tag */
    uint8_t payload;      /* bytes after that, besides the count */
    uint8_t elements;     /* elements per unit of the count; 0: bytes */
    bool valid;
} formats[0x20] = {
    [0x00] = {0, 0, 0, true}, [0x02] = {0, 0, 0, true},
    [0x03] = {0, 0, 0, true}, [0x04] = {1, 0, 0, true},
    [0x05] = {2, 0, 0, true}, [0x06] = {4, 0, 0, true},
    [0x07] = {1, 1, 0, true}, [0x08] = {2, 1, 0, true},
    [0x09] = {4, 1, 0, true}, [0x0a] = {0, 4, 0, true},
    [0x0b] = {0, 8, 0, true}, [0x0c] = {0, 1, 0, true},
    [0x0d] = {0, 2, 0, true}, [0x0e] = {0, 4, 0, true},
    [0x0f] = {0, 8, 0, true}, [0x10] = {0, 1, 0, true},
    [0x11] = {0, 2, 0, true}, [0x12] = {0, 4, 0, true},
    [0x13] = {0, 8, 0, true}, [0x14] = {0, 2, 0, true},
    [0x15] = {0, 3, 0, true}, [0x16] = {0, 5, 0, true},
    [0x17] = {0, 9, 0, true}, [0x18] = {0, 17, 0, true},
    [0x19] = {1, 0, 0, true}, [0x1a] = {2, 0, 0, true},
    [0x1b] = {4, 0, 0, true}, [0x1c] = {2, 0, 1, true},
    [0x1d] = {4, 0, 1, true}, [0x1e] = {2, 0, 2, true},
    [0x1f] = {4, 0, 2, true},
};

/* Walks over one tag with its payload and returns the number of elements
   that follow in *elements; false when the bytes are not valid. */
static bool
walk_object(walk_t *walk, uint64_t *elements)
{
    uint64_t tag;
    uint64_t count = 0;
    *elements = 0;
    if (!walk_number(walk, 1, &tag)) {
        return false;
    }
    if (tag < 0x80 || tag >= 0xe0) {
        return true;
    }
    if (tag < 0xa0) {
        *elements = (tag & 0x0f) * (tag < 0x90 ? 2 : 1);
        return true;
    }
    if (tag < 0xc0) {
        return walk_skip(walk, tag & 0x1f);
    }
    uint8_t row = (uint8_t)(tag - 0xc0);
    if (!formats[row].valid ||
        !walk_number(walk, formats[row].length_bytes, &count)) {
        return false;
    }
    if (formats[row].elements > 0) {
        *elements = count * formats[row].elements;
        return true;
    }
    return walk_skip(walk, count + formats[row].payload);
}

/* Tells whether bytes hold exactly one msgpack object of at most
   `max_objects` objects, nested at most MB_PACK_DEPTH_MAX deep. Run before
   msgpack_unpack, which allocates what a length field claims. */
bool
mb_pack_validate(mb_str_t bytes, size_t max_objects)
{
    walk_t walk = {(const unsigned char *)bytes.data, bytes.len};
    uint64_t open[MB_PACK_DEPTH_MAX + 1] = {1};
    size_t depth = 0;
    size_t objects = 0;
    while (open[0] > 0 || depth > 0) {
        uint64_t elements;
        if (open[depth] == 0) {
            depth--;
            continue;
        }
        open[depth]--;
        if (++objects > max_objects || !walk_object(&walk, &elements) ||
            elements > walk.left) {
            return false;
        }
        if (elements > 0 && ++depth > MB_PACK_DEPTH_MAX) {
            return false;
        }
        if (elements > 0) {
            open[depth] = elements;
        }
    }
    return walk.left == 0;
}
