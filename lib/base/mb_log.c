#include "mb_log.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "mb_assert.h"
#include "mb_cleanup.h"

/* Size of the buffer of one log line, in bytes; longer lines are truncated. */
#define MB_LOG_LINE_MAX 1024
/* Facility "daemon" of syslog, as part of the priority value of RFC 5424. */
#define MB_LOG_FACILITY_DAEMON (3 << 3)

/* Severity numbers of syslog and names in settings, by mb_severity_t. */
static const struct {
    int number;
    const char *name;
} severities[MB_SEVERITY_COUNT] = {
    [MB_SEVERITY_ERROR] = {3, "error"},
    [MB_SEVERITY_WARNING] = {4, "warning"},
    [MB_SEVERITY_NOTICE] = {5, "notice"},
    [MB_SEVERITY_INFO] = {6, "info"},
    [MB_SEVERITY_DEBUG] = {7, "debug"},
};

/* See the header. */
void
mb_log_append_line(mb_buf_t *out, mb_severity_t severity, const char *format,
                   ...)
{
    char line[MB_LOG_LINE_MAX];
    char when[32];
    struct timespec now;
    struct tm parts;
    va_list args;
    va_start(args, format);
    int len = vsnprintf(line, sizeof(line), format, args);
    va_end(args);
    if (len < 0) {
        return;
    }
    (void)clock_gettime(CLOCK_REALTIME, &now);
    (void)gmtime_r(&now.tv_sec, &parts);
    (void)strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &parts);
    mb_buf_printf(out, "<%d>%s.%03ldZ magnoliabarrow[%d]: %s\n",
                  MB_LOG_FACILITY_DAEMON | severities[severity].number, when,
                  now.tv_nsec / 1000000, (int)getpid(), line);
}

/* The sink of mb_log_stderr. Writes the line with one system call, so that
   lines of several threads are not interleaved. */
static void
write_stderr(void *context, mb_severity_t severity, mb_str_t line)
{
    MB_AUTO_BUF mb_buf_t out = {0};
    (void)context;
    mb_log_append_line(&out, severity, "%.*s", MB_STR_ARG(line));
    (void)!write(STDERR_FILENO, out.data, out.len);
}

/* The sink of mb_log_null. */
static void
write_null(void *context, mb_severity_t severity, mb_str_t line)
{
    (void)context;
    (void)severity;
    (void)line;
}

/* Returns a logger that writes to standard error, without buffering.
   `component` is borrowed; it is usually a literal. */
mb_log_t
mb_log_stderr(const char *component, mb_severity_t most_verbose)
{
    return (mb_log_t){write_stderr, NULL, most_verbose, component};
}

/* Returns a logger that discards every line. */
mb_log_t
mb_log_null(void)
{
    return (mb_log_t){write_null, NULL, MB_SEVERITY_ERROR, ""};
}

/* Returns a logger with the sink and severity of `parent` and another
   component name, which is borrowed. */
mb_log_t
mb_log_for(const mb_log_t *parent, const char *component)
{
    mb_log_t log = *parent;
    log.component = component;
    return log;
}

/* Looks up a severity by its name. Returns false and leaves *severity
   unchanged if there is none. */
bool
mb_severity_from_name(mb_str_t name, mb_severity_t *severity)
{
    for (int i = 0; i < MB_SEVERITY_COUNT; i++) {
        if (mb_str_equal(mb_str_from_cstr(severities[i].name), name)) {
            *severity = (mb_severity_t)i;
            return true;
        }
    }
    return false;
}

/* Replaces bytes that are not printable ASCII by '?', so that a malicious name
   in a message can neither forge a second line nor send control sequences to a
   terminal. */
static void
sanitize_line(char *line, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (!g_ascii_isprint(line[i])) {
            line[i] = '?';
        }
    }
}

/* See the header. */
void
mb_log_line(const mb_log_t *log, mb_severity_t severity, const char *format,
            ...)
{
    char line[MB_LOG_LINE_MAX];
    if (severity > log->most_verbose) {
        return;
    }
    int prefix =
        snprintf(line, sizeof(line), "%s %s: ", severities[severity].name,
                 log->component);
    if (prefix < 0 || (size_t)prefix >= sizeof(line)) {
        return;
    }
    va_list args;
    va_start(args, format);
    int body =
        vsnprintf(line + prefix, sizeof(line) - (size_t)prefix, format, args);
    va_end(args);
    if (body < 0) {
        return;
    }
    size_t len = (size_t)prefix + (size_t)body;
    if (len >= sizeof(line)) {
        len = sizeof(line) - 1;
    }
    sanitize_line(line, len);
    log->write(log->context, severity, (mb_str_t){line, len});
}

/* Logs the violated invariant to standard error and aborts. */
void
mb_invariant_failed(const char *name, const char *condition, const char *file,
                    int line)
{
    mb_log_t log = mb_log_stderr("invariant", MB_SEVERITY_ERROR);
    mb_log_error(&log, "invariant violated name=%s condition=\"%s\" at=%s:%d",
                 name, condition, file, line);
    abort();
}
