#include "mb_dump_json.h"

#include <glib.h>
#include <jansson.h>

/* Maximum nesting depth of groups, including the root object. */
#define DEPTH_MAX 16

/* The JSON objects from the root to the innermost open group. The root owns
   the others. */
typedef struct json_dump {
    json_t *stack[DEPTH_MAX];
    size_t depth;
} json_dump_t;

/* Returns the innermost open group. */
static json_t *
innermost_group(json_dump_t *json)
{
    return json->stack[json->depth - 1];
}

/* Opens a group inside the innermost one. Nesting deeper than DEPTH_MAX is a
   programming error. */
static void
begin_group(void *context, const char *name)
{
    json_dump_t *json = context;
    json_t *object = json_object();
    g_assert(json->depth < DEPTH_MAX);
    (void)json_object_set_new(innermost_group(json), name, object);
    json->stack[json->depth++] = object;
}

/* Closes the innermost group. */
static void
end_group(void *context)
{
    json_dump_t *json = context;
    g_assert(json->depth > 1);
    json->depth--;
}

/* Adds a number to the innermost group. */
static void
add_number(void *context, const char *name, uint64_t value)
{
    (void)json_object_set_new(innermost_group(context), name,
                              json_integer((json_int_t)value));
}

/* Adds a string to the innermost group. Invalid UTF-8 is left out. */
static void
add_text(void *context, const char *name, mb_str_t value)
{
    (void)json_object_set_new(innermost_group(context), name,
                              json_stringn(value.data, value.len));
}

/* Appends the state of the modules; see the header. */
void
mb_dump_json_write(mb_buf_t *out, const mb_dump_source_t *sources,
                   size_t count)
{
    json_dump_t json = {.depth = 1};
    mb_dump_t dump = {begin_group, end_group, add_number, add_text, &json};
    json.stack[0] = json_object();
    for (size_t i = 0; i < count; i++) {
        mb_dump_source(&dump, &sources[i]);
    }
    char *encoded = json_dumps(json.stack[0], JSON_COMPACT);
    mb_buf_append_cstr(out, encoded);
    mb_buf_append_byte(out, '\n');
    free(encoded);
    json_decref(json.stack[0]);
}
