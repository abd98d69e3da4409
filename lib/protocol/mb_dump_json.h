/* JSON encoding of a dump, the state of a process's modules for operators. */
#ifndef MB_DUMP_JSON_H
#define MB_DUMP_JSON_H

#include "mb_dump.h"

/* Appends the state of `count` modules as one line of JSON with a line feed:
   an object with one member per module. */
void mb_dump_json_write(mb_buf_t *out, const mb_dump_source_t *sources,
                        size_t count);

#endif
