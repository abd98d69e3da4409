#include "mb_dump.h"

/* Begins a group of named values. Groups may be nested. */
void
mb_dump_begin(const mb_dump_t *dump, const char *name)
{
    dump->begin(dump->context, name);
}

/* Ends the innermost open group. */
void
mb_dump_end(const mb_dump_t *dump)
{
    dump->end(dump->context);
}

/* Writes a number. */
void
mb_dump_number(const mb_dump_t *dump, const char *name, uint64_t value)
{
    dump->number(dump->context, name, value);
}

/* Writes a text. */
void
mb_dump_text(const mb_dump_t *dump, const char *name, mb_str_t value)
{
    dump->text(dump->context, name, value);
}

/* Writes the state of a module as a group. */
void
mb_dump_source(const mb_dump_t *dump, const mb_dump_source_t *source)
{
    mb_dump_begin(dump, source->name);
    source->show(source->context, dump);
    mb_dump_end(dump);
}
