#include "table.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

/* Maximum width of a cell, in characters; longer values are truncated. */
#define CELL_MAX 40

/* Returns the text of a cell, which the caller frees: a string as it is, any
   other value as JSON, with line breaks and tabs as spaces. */
static char *
get_cell_text(json_t *value)
{
    char *text;
    if (json_is_string(value)) {
        text = g_strdup(json_string_value(value));
    }
    else {
        char *encoded = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
        text = g_strdup(encoded != NULL ? encoded : "");
        free(encoded);
    }
    if (g_utf8_validate(text, -1, NULL) &&
        g_utf8_strlen(text, -1) > CELL_MAX) {
        *g_utf8_offset_to_pointer(text, CELL_MAX) = '\0';
    }
    return g_strdelimit(text, "\n\t\r", ' ');
}

/* Adds a row with the name, the revision and the fields of the specification
   of a resource. */
static void
add_row(GPtrArray *rows, json_t *item)
{
    GPtrArray *row = g_ptr_array_new_with_free_func(g_free);
    const char *key;
    json_t *value;
    g_ptr_array_add(row, get_cell_text(json_object_get(item, "name")));
    g_ptr_array_add(row, get_cell_text(json_object_get(item, "revision")));
    json_object_foreach(json_object_get(item, "spec"), key, value)
    {
        g_ptr_array_add(row, get_cell_text(value));
    }
    g_ptr_array_add(rows, row);
}

/* Adds the row of column titles for resources that have the same fields as
   `item`. */
static void
add_title_row(GPtrArray *rows, json_t *item)
{
    GPtrArray *row = g_ptr_array_new_with_free_func(g_free);
    const char *key;
    json_t *value;
    g_ptr_array_add(row, g_strdup("NAME"));
    g_ptr_array_add(row, g_strdup("REVISION"));
    json_object_foreach(json_object_get(item, "spec"), key, value)
    {
        g_ptr_array_add(row, g_ascii_strup(key, -1));
    }
    g_ptr_array_add(rows, row);
}

/* Returns the width of a column, in characters. */
static glong
get_column_width(GPtrArray *rows, guint column)
{
    glong width = 0;
    for (guint i = 0; i < rows->len; i++) {
        GPtrArray *row = g_ptr_array_index(rows, i);
        if (column < row->len) {
            width =
                MAX(width, g_utf8_strlen(g_ptr_array_index(row, column), -1));
        }
    }
    return width;
}

/* Prints the rows, with columns two spaces apart. */
static void
print_rows(GPtrArray *rows)
{
    for (guint i = 0; i < rows->len; i++) {
        GPtrArray *row = g_ptr_array_index(rows, i);
        for (guint j = 0; j < row->len; j++) {
            const char *cell = g_ptr_array_index(row, j);
            glong pad = get_column_width(rows, j) - g_utf8_strlen(cell, -1);
            (void)printf("%s%*s", cell, j + 1 < row->len ? (int)pad + 2 : 0,
                         "");
        }
        (void)printf("\n");
    }
}

/* Frees a row, as GDestroyNotify. */
static void
free_row(void *row)
{
    g_ptr_array_unref(row);
}

/* Prints the resources of a response to "get": an object with the array
   "items", or one resource. The columns are the fields of the first resource.
   Returns false if the text is not a JSON object. */
bool
table_print(mb_str_t json)
{
    json_t *root = json_loadb(json.data, json.len, 0, NULL);
    json_t *items = json_object_get(root, "items");
    GPtrArray *rows = g_ptr_array_new_with_free_func(free_row);
    bool ok = json_is_object(root);
    if (json_is_array(items)) {
        for (size_t i = 0; i < json_array_size(items); i++) {
            if (i == 0) {
                add_title_row(rows, json_array_get(items, 0));
            }
            add_row(rows, json_array_get(items, i));
        }
    }
    else if (ok) {
        add_title_row(rows, root);
        add_row(rows, root);
    }
    print_rows(rows);
    g_ptr_array_unref(rows);
    json_decref(root);
    return ok;
}

/* Adds the members of an object as a row, or their names in upper case. */
static void
add_member_row(GPtrArray *rows, json_t *item, bool titles)
{
    GPtrArray *row = g_ptr_array_new_with_free_func(g_free);
    const char *key;
    json_t *value;
    json_object_foreach(item, key, value)
    {
        g_ptr_array_add(row, titles ? g_ascii_strup(key, -1)
                                    : get_cell_text(value));
    }
    g_ptr_array_add(rows, row);
}

/* Prints the evacuated domains that a scheduler lists, with a line on what it
   can't tell or does not start. Returns false if the text is not such a
   list. */
bool
table_print_evacuations(mb_str_t json)
{
    json_t *root = json_loadb(json.data, json.len, 0, NULL);
    json_t *items = json_object_get(root, "items");
    GPtrArray *rows = g_ptr_array_new_with_free_func(free_row);
    bool ok = json_is_array(items);
    for (size_t i = 0; i < json_array_size(items); i++) {
        if (i == 0) {
            add_member_row(rows, json_array_get(items, 0), true);
        }
        add_member_row(rows, json_array_get(items, i), false);
    }
    print_rows(rows);
    if (ok && rows->len == 0) {
        (void)printf("no failure domain is evacuated\n");
    }
    if (ok && !json_is_true(json_object_get(root, "owner"))) {
        (void)printf("this scheduler does not own the fleet: workers and runs "
                     "are unknown\n");
    }
    if (ok && json_is_true(json_object_get(root, "starts_withheld"))) {
        (void)printf("starts are withheld until the configuration log has "
                     "been read again\n");
    }
    g_ptr_array_unref(rows);
    json_decref(root);
    return ok;
}
