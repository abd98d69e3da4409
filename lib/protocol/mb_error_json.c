#include "mb_error_json.h"

#include <jansson.h>

/* Appends the body of an error response; see the header. */
void
mb_error_json_write(mb_buf_t *out, mb_kind_t kind, mb_str_t message)
{
    json_t *root = json_object();
    mb_str_t name = mb_kind_info(kind)->name;
    (void)json_object_set_new(root, "error",
                              json_stringn(name.data, name.len));
    json_t *text = json_stringn(message.data, message.len);
    if (text != NULL) {
        (void)json_object_set_new(root, "message", text);
    }
    char *encoded = json_dumps(root, JSON_COMPACT);
    mb_buf_append_cstr(out, encoded);
    mb_buf_append_byte(out, '\n');
    free(encoded);
    json_decref(root);
}
