/* Log lines in the style of syslog, one line each, to a sink callback. */
#ifndef MB_LOG_H
#define MB_LOG_H

#include <stdint.h>

#include "mb_str.h"

typedef enum mb_severity {
    MB_SEVERITY_ERROR,
    MB_SEVERITY_WARNING,
    MB_SEVERITY_NOTICE,
    MB_SEVERITY_INFO,
    MB_SEVERITY_DEBUG,
    MB_SEVERITY_COUNT
} mb_severity_t;

/* A logger: the component's name and the sink that takes whole lines. */
typedef struct mb_log {
    void (*write)(void *context, mb_severity_t severity, mb_str_t line);
    void *context;
    mb_severity_t most_verbose;
    const char *component;
} mb_log_t;

mb_log_t mb_log_stderr(const char *component, mb_severity_t most_verbose);
mb_log_t mb_log_null(void);
mb_log_t mb_log_for(const mb_log_t *parent, const char *component);
/* Appends a line as it is written: priority, time, process, text. */
void mb_log_append_line(mb_buf_t *out, mb_severity_t severity,
                        const char *format, ...)
    __attribute__((format(printf, 3, 4)));
bool mb_severity_from_name(mb_str_t name, mb_severity_t *severity);

/* Writes one line: the message, then key=value pairs as part of the format.
   Bytes that are not printable ASCII are replaced by '?'. */
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
