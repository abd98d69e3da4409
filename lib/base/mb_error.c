#include "mb_error.h"

#include <stdarg.h>

#define KIND_INFO(text, status, code, may_run)                                \
    {                                                                         \
        {(text), sizeof(text) - 1}, (status), (code), (may_run)               \
    }

/* Indexed by mb_kind_t. Exit codes from 70 on are those of sysexits.h. */
static const mb_kind_info_t kind_infos[MB_KIND_COUNT] = {
    [MB_KIND_INVALID] = KIND_INFO("invalid", 400, 2, false),
    [MB_KIND_UNAUTHORIZED] = KIND_INFO("unauthorized", 401, 3, false),
    [MB_KIND_NOT_FOUND] = KIND_INFO("not_found", 404, 4, false),
    [MB_KIND_CONFLICT] = KIND_INFO("conflict", 409, 5, false),
    [MB_KIND_TOO_LARGE] = KIND_INFO("too_large", 413, 2, false),
    [MB_KIND_OVERLOAD] = KIND_INFO("overload", 429, 6, false),
    [MB_KIND_UNAVAILABLE] = KIND_INFO("unavailable", 503, 7, false),
    [MB_KIND_DRAINING] = KIND_INFO("draining", 503, 7, false),
    [MB_KIND_DEADLINE_NOT_RUN] = KIND_INFO("deadline_not_run", 503, 8, false),
    [MB_KIND_UNKNOWN_OUTCOME] = KIND_INFO("unknown_outcome", 504, 9, true),
    [MB_KIND_UPSTREAM_FAILED] = KIND_INFO("upstream_failed", 502, 9, true),
    [MB_KIND_PROTOCOL] = KIND_INFO("protocol", 502, 10, true),
    [MB_KIND_INTERNAL] = KIND_INFO("internal", 500, 70, true),
    [MB_KIND_IO] = KIND_INFO("io", 503, 74, false),
    [MB_KIND_CONFIG] = KIND_INFO("config", 400, 78, false),
};

/* Returns the GError domain MB_ERROR, whose codes are of type mb_kind_t. */
GQuark
mb_error_quark(void)
{
    return g_quark_from_static_string("magnoliabarrow");
}

/* Returns the properties of a kind, which are static. A value that is not in
   the list is treated as MB_KIND_INTERNAL. */
const mb_kind_info_t *
mb_kind_info(mb_kind_t kind)
{
    if ((unsigned)kind >= MB_KIND_COUNT) {
        return &kind_infos[MB_KIND_INTERNAL];
    }
    return &kind_infos[kind];
}

/* Looks up a kind by its name. Returns false and leaves *kind unchanged if
   there is none. */
bool
mb_kind_from_name(mb_str_t name, mb_kind_t *kind)
{
    for (int i = 0; i < MB_KIND_COUNT; i++) {
        if (mb_str_equal(kind_infos[i].name, name)) {
            *kind = (mb_kind_t)i;
            return true;
        }
    }
    return false;
}

/* Returns the kind of an error; MB_KIND_INTERNAL for NULL and for errors of
   other domains. */
mb_kind_t
mb_error_kind(const GError *error)
{
    if (error == NULL || error->domain != MB_ERROR || error->code < 0 ||
        error->code >= MB_KIND_COUNT) {
        return MB_KIND_INTERNAL;
    }
    return (mb_kind_t)error->code;
}

/* Sets *error to a new error, which the caller frees with g_error_free. Does
   nothing if `error` is NULL. *error must be NULL before. */
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
