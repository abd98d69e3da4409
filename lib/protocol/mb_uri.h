/* Parts of a request target. */
#ifndef MB_URI_H
#define MB_URI_H

#include "mb_str.h"

mb_str_t mb_uri_path(mb_str_t uri);
bool mb_uri_get_parameter(mb_str_t uri, mb_str_t name, mb_str_t *value);
bool mb_uri_get_parameter_u64(mb_str_t uri, mb_str_t name, uint64_t *value);

#endif
