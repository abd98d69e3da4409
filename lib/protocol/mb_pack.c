#include "mb_pack.h"

/* Appends packed bytes to the packer's buffer; callback of msgpack_packer. */
static int
write_bytes(void *data, const char *bytes, size_t len)
{
    mb_buf_append(data, (mb_str_t){bytes, len});
    return 0;
}

/* Initializes a packer that appends to a buffer. */
void
mb_pack_init(msgpack_packer *packer, mb_buf_t *out)
{
    msgpack_packer_init(packer, out, write_bytes);
}

/* Packs bytes in the msgpack format bin. */
void
mb_pack_bin(msgpack_packer *packer, mb_str_t bytes)
{
    (void)msgpack_pack_bin(packer, bytes.len);
    (void)msgpack_pack_bin_body(packer, bytes.data, bytes.len);
}

/* Packs text in the msgpack format str, which should be UTF-8. */
void
mb_pack_str(msgpack_packer *packer, mb_str_t text)
{
    (void)msgpack_pack_str(packer, text.len);
    (void)msgpack_pack_str_body(packer, text.data, text.len);
}

/* Packs a Boolean. */
void
mb_pack_bool(msgpack_packer *packer, bool value)
{
    (void)(value ? msgpack_pack_true(packer) : msgpack_pack_false(packer));
}

/* Starts to read an array; returns false if the object is not one. */
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

/* Returns the next element. Returns NULL and marks the reader as failed if
   there is none, or if the reader has failed before. */
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

/* Reads the next element, which must be an array. */
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

/* Reads the next element, which must be an integer from 0 to `max`. */
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

/* Reads the next element, which must be a Boolean. */
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

/* Reads the next element, which must be a str or bin of at most `max`
   bytes. Returns a view into the decoded input. */
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

/* Returns whether all elements were read and each of them was valid. */
bool
mb_unpack_done(const mb_unpack_t *reader)
{
    return !reader->failed && reader->left == 0;
}

/* Position in packed bytes that are scanned without building objects. */
typedef struct scan {
    const unsigned char *position;
    size_t left;
} scan_t;

/* Reads a big-endian number of `size` bytes. Returns false if fewer are
   left. */
static bool
scan_number(scan_t *scan, size_t size, uint64_t *number)
{
    *number = 0;
    if (scan->left < size) {
        return false;
    }
    for (size_t i = 0; i < size; i++) {
        *number = *number << 8 | scan->position[i];
    }
    scan->position += size;
    scan->left -= size;
    return true;
}

/* Skips `size` bytes; returns false if fewer are left. */
static bool
scan_skip(scan_t *scan, uint64_t size)
{
    if (scan->left < size) {
        return false;
    }
    scan->position += size;
    scan->left -= size;
    return true;
}

/* What follows the first byte, the tag, of the msgpack formats 0xc0 to 0xdf:
   an optional length field of `length_bytes` bytes, then data. If `elements`
   is 0, the data is as many bytes as the length field says plus `payload`
   bytes. Otherwise it is an array or a map, and each unit of the length stands
   for `elements` objects. */
static const struct {
    uint8_t length_bytes;
    uint8_t payload;
    uint8_t elements; /* 1: array, 2: map, 0: neither */
    bool valid;       /* false: the tag is not used by msgpack */
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

/* Scans one object, without the elements if it is an array or a map. Sets
   *elements to the number of objects that follow as its elements. Returns
   false if the bytes are not valid msgpack. */
static bool
scan_object(scan_t *scan, uint64_t *elements)
{
    uint64_t tag;
    uint64_t count = 0;
    *elements = 0;
    if (!scan_number(scan, 1, &tag)) {
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
        return scan_skip(scan, tag & 0x1f);
    }
    uint8_t row = (uint8_t)(tag - 0xc0);
    if (!formats[row].valid ||
        !scan_number(scan, formats[row].length_bytes, &count)) {
        return false;
    }
    if (formats[row].elements > 0) {
        *elements = count * formats[row].elements;
        return true;
    }
    return scan_skip(scan, count + formats[row].payload);
}

/* Validates packed bytes; see the header. `pending` holds, for each level of
   nesting, the number of elements still to be scanned. Each of them takes at
   least one byte, so a length that exceeds the bytes left is rejected. */
bool
mb_pack_validate(mb_str_t bytes, size_t max_objects)
{
    scan_t scan = {(const unsigned char *)bytes.data, bytes.len};
    uint64_t pending[MB_PACK_DEPTH_MAX + 1] = {1};
    size_t depth = 0;
    size_t objects = 0;
    while (pending[0] > 0 || depth > 0) {
        uint64_t elements;
        if (pending[depth] == 0) {
            depth--;
            continue;
        }
        pending[depth]--;
        if (++objects > max_objects || !scan_object(&scan, &elements) ||
            elements > scan.left) {
            return false;
        }
        if (elements > 0 && ++depth > MB_PACK_DEPTH_MAX) {
            return false;
        }
        if (elements > 0) {
            pending[depth] = elements;
        }
    }
    return scan.left == 0;
}
