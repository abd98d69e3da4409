#include "mb_error.h"

#include <stdarg.h>

#define ANSWER(text, status, code, may_run)                                   \
    {                                                                         \
        {(text), sizeof(text) - 1}, (status), (code), (may_run)               \
    }

static const mb_kind_info_t answers[MB_KIND_COUNT] = {
    [MB_KIND_INVALID] = ANSWER("invalid", 400, 2, false),
    [MB_KIND_UNAUTHORIZED] = ANSWER("unauthorized", 401, 3, false),
    [MB_KIND_NOT_FOUND] = ANSWER("not_found", 404, 4, false),
    [MB_KIND_CONFLICT] = ANSWER("conflict", 409, 5, false),
    [MB_KIND_TOO_LARGE] = ANSWER("too_large", 413, 2, false),
    [MB_KIND_OVERLOAD] = ANSWER("overload", 429, 6, false),
    [MB_KIND_UNAVAILABLE] = ANSWER("unavailable", 503, 7, false),
    [MB_KIND_DRAINING] = ANSWER("draining", 503, 7, false),
    [MB_KIND_DEADLINE_NOT_RUN] = ANSWER("deadline_not_run", 503, 8, false),
    [MB_KIND_UNKNOWN_OUTCOME] = ANSWER("unknown_outcome", 504, 9, true),
    [MB_KIND_UPSTREAM_FAILED] = ANSWER("upstream_failed", 502, 9, true),
    [MB_KIND_PROTOCOL] = ANSWER("protocol", 502, 10, true),
    [MB_KIND_INTERNAL] = ANSWER("internal", 500, 70, true),
    [MB_KIND_IO] = ANSWER("io", 503, 74, false),
    [MB_KIND_CONFIG] = ANSWER("config", 400, 78, false),
};

/* Returns the GError domain of this project. */
GQuark
mb_error_quark(void)
{
    return g_quark_from_static_string("magnoliabarrow");
}

/* Returns the answer of a kind; a value outside the list gives "internal". */
const mb_kind_info_t *
mb_kind_info(mb_kind_t kind)
{
    if ((unsigned)kind >= MB_KIND_COUNT) {
        return &answers[MB_KIND_INTERNAL];
    }
    return &answers[kind];
}

/* Finds the kind with this name; false for a name not in the list. */
bool
mb_kind_from_name(mb_str_t name, mb_kind_t *kind)
{
    for (int i = 0; i < MB_KIND_COUNT; i++) {
        if (mb_str_equal(answers[i].name, name)) {
            *kind = (mb_kind_t)i;
            return true;
        }
    }
    return false;
}

/* Returns the kind of an error; errors of other domains are "internal". */
mb_kind_t
mb_error_kind(const GError *error)
{
    if (error == NULL || error->domain != MB_ERROR || error->code < 0 ||
        error->code >= MB_KIND_COUNT) {
        return MB_KIND_INTERNAL;
    }
    return (mb_kind_t)error->code;
}

/* Sets *error unless the caller passed NULL; *error must be unset before. */
void
mb_error_set(GError **error, mb_kind_t kind, const char *format, ...)
{
    if (error == NULL) {
        return;
    }
    va_list args;
    va_start(args, format);
    *error = g_error_new_valist(MB_ERROR, (gint)kind, format, args);
    va_end(args);
}
