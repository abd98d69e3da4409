#include "intake.h"

#include <sys/resource.h>
#include <sys/sysinfo.h>

#include "mb_error.h"

#define BYTES_PER_MB (1024u * 1024u)
/* Memory that is assumed if the system doesn't tell, in MB: that of the
   smallest machine. */
#define MEMORY_UNKNOWN_MB 160u

/* Returns the lower of a value and a resource limit of the process. */
static uint64_t
limit_by(uint64_t value, int resource)
{
    struct rlimit limit;
    if (getrlimit((__rlimit_resource_t)resource, &limit) != 0 ||
        limit.rlim_cur == RLIM_INFINITY) {
        return value;
    }
    return MIN(value, (uint64_t)limit.rlim_cur);
}

/* Returns the memory of the process; see the header. */
uint64_t
intake_memory(const mb_settings_t *settings)
{
    uint64_t megabytes = mb_settings_number(settings, "daemon", "memory_mb");
    struct sysinfo info;
    if (megabytes != 0) {
        return megabytes * BYTES_PER_MB;
    }
    if (sysinfo(&info) != 0) {
        return (uint64_t)MEMORY_UNKNOWN_MB * BYTES_PER_MB;
    }
    return limit_by(
        limit_by((uint64_t)info.totalram * info.mem_unit, RLIMIT_AS),
        RLIMIT_DATA);
}

/* Returns the number of file descriptors that the process may open. */
static uint64_t
get_descriptors(const mb_settings_t *settings)
{
    uint64_t setting = mb_settings_number(settings, "daemon", "max_fds");
    return limit_by(setting != 0 ? setting : UINT32_MAX, RLIMIT_NOFILE);
}

/* Derives the limits; see the header. */
bool
intake_read(const mb_settings_t *settings, const char *section,
            mb_intake_limits_t *limits, GError **error)
{
    uint64_t memory = intake_memory(settings);
    uint64_t descriptors = get_descriptors(settings);
    uint64_t bytes =
        mb_settings_number(settings, section, "buffer_mb") * BYTES_PER_MB;
    *limits = (mb_intake_limits_t){
        .calm.head_ms =
            (uint32_t)mb_settings_number(settings, section, "head_timeout_ms"),
        .calm.request_ms = (uint32_t)mb_settings_number(settings, section,
                                                        "request_timeout_ms")};
    if (!mb_intake_derive(
            limits, memory, descriptors, bytes,
            mb_settings_number(settings, section, "max_connections"))) {
        mb_error_set(
            error, MB_KIND_CONFIG,
            "[%s] buffer_mb: the process has %" G_GUINT64_FORMAT
            " MB of memory and %" G_GUINT64_FORMAT
            " file descriptors, which leaves %" G_GUINT64_FORMAT
            " MB (at least 4, less than the memory) and %" G_GUINT64_FORMAT
            " connections (at least 16) for clients",
            section, memory / BYTES_PER_MB, descriptors,
            limits->bytes_max / BYTES_PER_MB, limits->connections_max);
        return false;
    }
    return true;
}

/* Checks that useful limits fit; see the header. */
bool
intake_check(const mb_settings_t *settings, const char *section,
             GError **error)
{
    mb_intake_limits_t limits;
    return intake_read(settings, section, &limits, error);
}

/* Logs the limits in force. */
void
intake_log(const mb_intake_limits_t *limits, const mb_log_t *log)
{
    mb_log_notice(log,
                  "limits of clients buffer_mb=%" G_GUINT64_FORMAT
                  " connections=%" G_GUINT64_FORMAT
                  " head_ms=%u request_ms=%u",
                  limits->bytes_max / BYTES_PER_MB, limits->connections_max,
                  limits->calm.head_ms, limits->calm.request_ms);
}
