/* Writes log lines to a file descriptor from a separate thread, so that a
   reader that stalls does not block the threads that log. Lines that don't fit
   into the buffer are dropped, and frequent events are rate-limited; the log
   then contains a warning with the numbers of lines left out. Lines may be
   written on any thread. */
#ifndef MB_LOG_WRITER_H
#define MB_LOG_WRITER_H

#include <pthread.h>

#include "mb_error.h"
#include "mb_log.h"

/* Maximum size of the lines that are buffered, in bytes. */
#define MB_LOG_WRITER_BYTES_MAX 131072u
/* Maximum number of lines per event and second that are less severe than a
   notice. Lines with the same text before the first key=value pair belong to
   the same event. */
#define MB_LOG_WRITER_EVENT_MAX 1000u
/* Size of the table of event counters. */
#define MB_LOG_WRITER_EVENTS 64u

/* Number of lines of an event in the current second. */
typedef struct mb_log_event {
    uint64_t event;  /* hash of its text */
    uint64_t second; /* of the monotonic clock */
    uint32_t count;
} mb_log_event_t;

typedef struct mb_log_writer {
    int fd; /* borrowed */
    pthread_t thread;
    pthread_mutex_t mutex; /* protects the members below */
    pthread_cond_t lines_available;
    mb_buf_t lines; /* formatted, not yet written */
    bool stopping;
    /* Numbers of lines left out since the last warning about them. */
    uint64_t dropped;      /* the buffer was full */
    uint64_t rate_limited; /* their event was too frequent */
    mb_log_event_t events[MB_LOG_WRITER_EVENTS];
} mb_log_writer_t;

/* Starts the thread. `fd` is borrowed and stays open until after
   mb_log_writer_finish. Fails with MB_KIND_INTERNAL if the thread can't be
   created. */
bool mb_log_writer_init(mb_log_writer_t *writer, int fd, GError **error);
/* Writes the buffered lines, stops the thread and releases the memory. If the
   thread does not stop within half a second, because a write blocks, it is
   left running with its memory until the process exits. */
void mb_log_writer_finish(mb_log_writer_t *writer);
/* Appends one line, given without a newline, to the buffer. Never blocks on
   the reader. */
void mb_log_writer_write(mb_log_writer_t *writer, mb_severity_t severity,
                         mb_str_t line);

#endif
