#include "mb_evacuation_json.h"

#include <jansson.h>

/* Returns a time as a JSON string, in seconds and UTC. */
static json_t *
encode_time(uint64_t unix_ms)
{
    g_autoptr(GDateTime) time =
        g_date_time_new_from_unix_utc((gint64)(unix_ms / 1000));
    g_autofree char *text =
        time == NULL ? NULL : g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");
    return text == NULL ? json_null() : json_string(text);
}

/* Returns a row as a JSON object. A name that is not valid UTF-8 is left
   out. */
static json_t *
encode_row(const mb_evacuation_row_t *row, bool owner)
{
    json_t *object = json_object();
    (void)json_object_set_new(object, "domain",
                              json_stringn(row->domain.data, row->domain.len));
    (void)json_object_set_new(object, "since",
                              encode_time(row->since_unix_ms));
    (void)json_object_set_new(
        object, "workers", owner ? json_integer(row->workers) : json_null());
    (void)json_object_set_new(object, "runs",
                              owner ? json_integer(row->runs) : json_null());
    return object;
}

/* Appends a list; see the header. */
void
mb_evacuation_json_write(mb_buf_t *out, const mb_evacuation_list_t *list)
{
    json_t *root = json_object();
    json_t *items = json_array();
    for (guint i = 0; i < list->rows->len; i++) {
        (void)json_array_append_new(
            items,
            encode_row(&g_array_index(list->rows, mb_evacuation_row_t, i),
                       list->owner));
    }
    (void)json_object_set_new(root, "owner", json_boolean(list->owner));
    (void)json_object_set_new(root, "starts_withheld",
                              json_boolean(list->starts_withheld));
    (void)json_object_set_new(root, "items", items);
    char *encoded = json_dumps(root, JSON_COMPACT);
    mb_buf_append_cstr(out, encoded);
    mb_buf_append_byte(out, '\n');
    free(encoded);
    json_decref(root);
}
