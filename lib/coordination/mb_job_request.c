#include "mb_job_request.h"

/* Returns the name of a kind, for log lines. */
const char *
mb_job_request_kind_name(mb_job_request_kind_t kind)
{
    static const char *const names[MB_JOB_REQUEST_KIND_COUNT] = {
        "submission", "status query", "cancellation", "pending query"};
    return kind < MB_JOB_REQUEST_KIND_COUNT ? names[kind] : "unknown";
}

/* Returns the name of a result, for log lines. */
const char *
mb_job_request_result_name(mb_job_request_result_t result)
{
    static const char *const names[MB_JOB_REQUEST_RESULT_COUNT] = {
        "ok", "no_configuration", "stale_configuration", "unknown_queue",
        "unknown_resource"};
    return result < MB_JOB_REQUEST_RESULT_COUNT ? names[result] : "unknown";
}

/* Sets the kind of a request and the id of its job from the method and from
   `rest`, the path after the prefix of the queue. Returns false if there is no
   such resource or method. */
static bool
set_kind(mb_job_request_target_t *target, mb_str_t method, mb_str_t rest)
{
    bool is_get = mb_str_equal(method, MB_STR_LIT("GET"));
    if (rest.len == 0) {
        target->kind = MB_JOB_REQUEST_PENDING;
        return is_get;
    }
    if (!mb_dag_id_parse(rest, &target->id)) {
        return false;
    }
    if (mb_str_equal(method, MB_STR_LIT("POST"))) {
        target->kind = MB_JOB_REQUEST_SUBMIT;
        return true;
    }
    target->kind = is_get ? MB_JOB_REQUEST_STATUS : MB_JOB_REQUEST_CANCEL;
    return is_get || mb_str_equal(method, MB_STR_LIT("DELETE"));
}

/* Resolves a request by `version`, the configuration in force, NULL if there
   is none yet. Sets *target if the result is MB_JOB_REQUEST_OK. Called inside
   the read section in which `version` was loaded.

   `stale` tells that newer versions may have been accepted too long ago not to
   be in force here. Such a version decides nothing that a newer one could
   decide otherwise: whether a queue exists, and new jobs. Jobs that exist
   don't depend on it. */
mb_job_request_result_t
mb_job_request_resolve(const mb_queue_version_t *version, bool stale,
                       mb_str_t method, mb_str_t host, mb_str_t path,
                       mb_job_request_target_t *target)
{
    if (version == NULL) {
        return MB_JOB_REQUEST_NO_CONFIGURATION;
    }
#ifdef MB_MUTANT_STALE_CONFIGURATION_DECIDES
    stale = false;
#endif
    target->queue = mb_queue_match(version, host, path);
    if (target->queue == NULL) {
        return stale ? MB_JOB_REQUEST_STALE_CONFIGURATION
                     : MB_JOB_REQUEST_UNKNOWN_QUEUE;
    }
    mb_str_t rest = {path.data + target->queue->prefix.len,
                     path.len - target->queue->prefix.len};
    if (!set_kind(target, method, rest)) {
        return MB_JOB_REQUEST_UNKNOWN_RESOURCE;
    }
    target->known_only = stale;
    return stale && target->kind == MB_JOB_REQUEST_PENDING
               ? MB_JOB_REQUEST_STALE_CONFIGURATION
               : MB_JOB_REQUEST_OK;
}
