#include "mb_config_record.h"

#include "mb_pack.h"
#include "mb_resource_json.h"

/* Appends a write as [remove, kind, name, expected revision, revision,
   resource as JSON]. The JSON is empty for a removal. */
static void
encode_write(void *context, mb_buf_t *out, const mb_config_write_t *write)
{
    msgpack_packer packer;
    mb_buf_t json = {0};
    (void)context;
    if (write->resource != NULL) {
        mb_resource_json_encode(&json, write->resource);
    }
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 6);
    mb_pack_bool(&packer, write->remove);
    (void)msgpack_pack_uint32(&packer, write->kind);
    mb_pack_str(&packer, write->name);
    (void)msgpack_pack_uint64(&packer, write->expected);
    (void)msgpack_pack_uint64(&packer, write->revision);
    mb_pack_str(&packer, mb_buf_view(&json));
    mb_buf_finish(&json);
}

/* Reads the fields that encode_write writes; the resource, if any, is decoded
   into `resource`. Returns false for a malformed array, an invalid name, or
   JSON that is not a valid resource of this kind and name. */
static bool
read_write(const msgpack_object *object, mb_config_write_t *write,
           mb_resource_t *resource)
{
    mb_unpack_t reader;
    (void)mb_unpack_array(&reader, object);
    write->remove = mb_unpack_bool(&reader);
    write->kind =
        (mb_resource_kind_t)mb_unpack_u64(&reader, MB_RESOURCE_KIND_COUNT - 1);
    write->name = mb_unpack_bytes(&reader, MB_NAME_MAX);
    write->expected = mb_unpack_u64(&reader, UINT64_MAX);
    write->revision = mb_unpack_u64(&reader, UINT64_MAX);
    mb_str_t json = mb_unpack_bytes(&reader, MB_RECORD_PAYLOAD_MAX);
    write->resource = NULL;
    if (!mb_unpack_done(&reader) || !mb_resource_name_valid(write->name)) {
        return false;
    }
    if (!write->remove) {
        write->resource = resource;
        return mb_resource_json_decode_as(json, write->kind, write->name,
                                          resource, NULL);
    }
    return true;
}

/* Decodes the first write in `rest` and advances `rest` past it. The name is a
   view into the input. On success the caller releases `resource` if
   write->resource is set. */
static bool
decode_write(void *context, mb_str_t *rest, mb_config_write_t *write,
             mb_resource_t *resource)
{
    msgpack_unpacked unpacked;
    size_t used = 0;
    (void)context;
    msgpack_unpacked_init(&unpacked);
    bool ok = msgpack_unpack_next(&unpacked, rest->data, rest->len, &used) ==
                  MSGPACK_UNPACK_SUCCESS &&
              read_write(&unpacked.data, write, resource);
    msgpack_unpacked_destroy(&unpacked);
    rest->data += used;
    rest->len -= used;
    return ok;
}

/* Returns the codec of the stream `config`; see the header. */
mb_config_codec_t
mb_config_record_codec(void)
{
    return (mb_config_codec_t){encode_write, decode_write, NULL};
}
