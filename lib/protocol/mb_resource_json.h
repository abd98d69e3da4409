/* JSON codec of the declared resources. Decoding is strict: unknown, repeated,
   missing and invalid fields are rejected with an error that names the field
   and the values allowed.

   A resource is an object with the members `kind`, `name`, `spec` and,
   optionally, `revision`. A member `status`, which the API adds to jobs, is
   accepted and ignored. */
#ifndef MB_RESOURCE_JSON_H
#define MB_RESOURCE_JSON_H

#include <glib.h>

#include "mb_resource.h"

/* Maximum length of the JSON of one resource, in bytes; see
   mb_resource_json_decode_as. */
#define MB_RESOURCE_JSON_MAX (32u * 1024u)
/* Maximum length of the command of a service or job, in bytes. */
#define MB_COMMAND_MAX 4096

/* The functions for decoding return false, with the error set, for invalid
   JSON. On success the caller releases `resource` with mb_resource_finish;
   after a failure there is nothing to release. */

/* Decodes a resource whose kind and name are given in the JSON. */
bool mb_resource_json_decode(mb_str_t text, mb_resource_t *resource,
                             GError **error);
/* Decodes a resource of a known kind and name, which the JSON may leave out
   but must not contradict. Texts longer than MB_RESOURCE_JSON_MAX are
   rejected. */
bool mb_resource_json_decode_as(mb_str_t text, mb_resource_kind_t kind,
                                mb_str_t name, mb_resource_t *resource,
                                GError **error);
/* Decodes a resource, an array of resources, or several of these one after
   another, and calls `visit` for each resource, which is released after the
   call. Stops at the first that is invalid or for which `visit` returns false,
   and then returns false; the error is set only if it is invalid. */
bool mb_resource_json_decode_all(mb_str_t text,
                                 bool (*visit)(void *context,
                                               mb_resource_t *resource),
                                 void *context, GError **error);
/* Appends a resource as JSON on one line, without a line feed. */
void mb_resource_json_encode(mb_buf_t *out, const mb_resource_t *resource);

#endif
