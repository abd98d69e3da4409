/* The complete list of error kinds, and how each is reported to clients and to
   the shell. Errors are GErrors of the domain MB_ERROR with a kind as code. */
#ifndef MB_ERROR_H
#define MB_ERROR_H

#include <glib.h>
#include <stdbool.h>

#include "mb_str.h"

typedef enum mb_kind {
    MB_KIND_INVALID,
    MB_KIND_UNAUTHORIZED,
    MB_KIND_NOT_FOUND,
    MB_KIND_CONFLICT,
    MB_KIND_TOO_LARGE,
    MB_KIND_OVERLOAD,
    MB_KIND_UNAVAILABLE,
    MB_KIND_DRAINING,
    MB_KIND_DEADLINE_NOT_RUN, /* the deadline passed before execution began */
    MB_KIND_UNKNOWN_OUTCOME,  /* no result; may or may not have executed */
    MB_KIND_UPSTREAM_FAILED,
    MB_KIND_PROTOCOL, /* a message or record could not be decoded */
    MB_KIND_INTERNAL,
    MB_KIND_IO,     /* a local socket or file operation failed */
    MB_KIND_CONFIG, /* the settings file was rejected */
    MB_KIND_COUNT
} mb_kind_t;

/* How an error kind is reported. */
typedef struct mb_kind_info {
    mb_str_t name; /* in responses of the API */
    int http_status;
    int exit_code; /* of the programs */
    /* Whether the failed request or write may still have taken effect, so that
       only an idempotent one may be repeated. */
    bool may_have_run;
} mb_kind_info_t;

#define MB_ERROR (mb_error_quark())

GQuark mb_error_quark(void);
const mb_kind_info_t *mb_kind_info(mb_kind_t kind);
bool mb_kind_from_name(mb_str_t name, mb_kind_t *kind);
mb_kind_t mb_error_kind(const GError *error);
void mb_error_set(GError **error, mb_kind_t kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
