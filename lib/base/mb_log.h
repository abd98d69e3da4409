/* Logging. A logger formats each message as one line and passes it to a sink,
   a callback that writes it in the format of syslog. Any thread may use a
   logger whose sink allows it; the sinks of this header do. */
#ifndef MB_LOG_H
#define MB_LOG_H

#include <stdint.h>

#include "mb_str.h"

/* Severities, most severe first. */
typedef enum mb_severity {
    MB_SEVERITY_ERROR,
    MB_SEVERITY_WARNING,
    MB_SEVERITY_NOTICE,
    MB_SEVERITY_INFO,
    MB_SEVERITY_DEBUG,
    MB_SEVERITY_COUNT
} mb_severity_t;

/* A logger. May be copied. `write` is the sink; it gets a formatted line
   "severity component: message" without a newline, which it must copy to
   keep. */
typedef struct mb_log {
    void (*write)(void *context, mb_severity_t severity, mb_str_t line);
    void *context;
    mb_severity_t most_verbose; /* less severe lines are discarded */
    const char *component;      /* borrowed */
} mb_log_t;

mb_log_t mb_log_stderr(const char *component, mb_severity_t most_verbose);
mb_log_t mb_log_null(void);
mb_log_t mb_log_for(const mb_log_t *parent, const char *component);
/* Appends a line to `out` as it is written to a file: priority of syslog, time
   in UTC, program name and process id, formatted text, newline. */
void mb_log_append_line(mb_buf_t *out, mb_severity_t severity,
                        const char *format, ...)
    __attribute__((format(printf, 3, 4)));
bool mb_severity_from_name(mb_str_t name, mb_severity_t *severity);

/* Logs one line, unless it is less severe than the logger's `most_verbose`. By
   convention the format is a fixed message that names the event, followed by
   key=value pairs. Bytes that are not printable ASCII are replaced by '?'. */
void mb_log_line(const mb_log_t *log, mb_severity_t severity,
                 const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#define mb_log_error(log, ...)                                                \
    mb_log_line((log), MB_SEVERITY_ERROR, __VA_ARGS__)
#define mb_log_warning(log, ...)                                              \
    mb_log_line((log), MB_SEVERITY_WARNING, __VA_ARGS__)
#define mb_log_notice(log, ...)                                               \
    mb_log_line((log), MB_SEVERITY_NOTICE, __VA_ARGS__)
#define mb_log_info(log, ...) mb_log_line((log), MB_SEVERITY_INFO, __VA_ARGS__)
#define mb_log_debug(log, ...)                                                \
    mb_log_line((log), MB_SEVERITY_DEBUG, __VA_ARGS__)

#endif
