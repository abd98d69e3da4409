#include "mb_uri.h"

/* Returns the request target up to its query, as a view. */
mb_str_t
mb_uri_path(mb_str_t uri)
{
    mb_str_t path = MB_STR_EMPTY;
    (void)mb_str_split(&uri, '?', &path);
    return path;
}

/* Finds a query parameter; see the header. Without '=' its value is empty. */
bool
mb_uri_get_parameter(mb_str_t uri, mb_str_t name, mb_str_t *value)
{
    mb_str_t part;
    mb_str_t key;
    (void)mb_str_split(&uri, '?', &part);
    while (mb_str_split(&uri, '&', &part)) {
        if (mb_str_split(&part, '=', &key) && mb_str_equal(key, name)) {
            *value = part;
            return true;
        }
    }
    return false;
}

/* Reads a query parameter that is a number; see the header. */
bool
mb_uri_get_parameter_u64(mb_str_t uri, mb_str_t name, uint64_t *value)
{
    mb_str_t text;
    return !mb_uri_get_parameter(uri, name, &text) ||
           mb_str_to_u64(text, value);
}
