/* Parts of an HTTP request target: path and query parameters. Percent-encoding
   is not decoded. */
#ifndef MB_URI_H
#define MB_URI_H

#include "mb_str.h"

/* Returns the part before the query. */
mb_str_t mb_uri_path(mb_str_t uri);
/* Sets `*value` to the value of the first query parameter of this name, as a
   view into `uri`. Returns false, and sets nothing, if there is none. */
bool mb_uri_get_parameter(mb_str_t uri, mb_str_t name, mb_str_t *value);
/* Reads a query parameter as an unsigned decimal number. Returns false only if
   the parameter is there but not such a number; `*value` keeps its value, a
   default of the caller, if the parameter is absent. */
bool mb_uri_get_parameter_u64(mb_str_t uri, mb_str_t name, uint64_t *value);

#endif
