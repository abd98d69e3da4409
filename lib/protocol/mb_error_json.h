/* JSON body of an HTTP error response. */
#ifndef MB_ERROR_JSON_H
#define MB_ERROR_JSON_H

#include "mb_error.h"

/* Appends {"error": name of the kind, "message": message} with a line feed. A
   message that is not valid UTF-8 is left out; the kind is always there. */
void mb_error_json_write(mb_buf_t *out, mb_kind_t kind, mb_str_t message);

#endif
