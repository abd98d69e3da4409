/* Interface through which modules write their internal state for diagnosis. It
   does not depend on the encoding, which implements the callbacks. */
#ifndef MB_DUMP_H
#define MB_DUMP_H

#include <stdint.h>

#include "mb_str.h"

/* The callbacks of an encoding. Names and texts are borrowed during a call. */
typedef struct mb_dump {
    void (*begin)(void *context, const char *name);
    void (*end)(void *context);
    void (*number)(void *context, const char *name, uint64_t value);
    void (*text)(void *context, const char *name, mb_str_t value);
    void *context;
} mb_dump_t;

/* A module with a state to dump. `show` writes it to `dump`; it is called on
   any thread. */
typedef struct mb_dump_source {
    const char *name;
    void (*show)(void *context, const mb_dump_t *dump);
    void *context;
} mb_dump_source_t;

void mb_dump_begin(const mb_dump_t *dump, const char *name);
void mb_dump_end(const mb_dump_t *dump);
void mb_dump_number(const mb_dump_t *dump, const char *name, uint64_t value);
void mb_dump_text(const mb_dump_t *dump, const char *name, mb_str_t value);
void mb_dump_source(const mb_dump_t *dump, const mb_dump_source_t *source);

#endif
