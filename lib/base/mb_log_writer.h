/* Writes log lines to a file descriptor from a thread of its own, so that a
   reader that stalls delays nobody: what does not fit into the buffer is
   dropped and counted. Repeated events are limited. The functions may be
   called by any thread. */
#ifndef MB_LOG_WRITER_H
#define MB_LOG_WRITER_H

#include <pthread.h>

#include "mb_error.h"
#include "mb_log.h"

/* Most bytes that wait to be written. */
#define MB_LOG_WRITER_BYTES_MAX 131072u
/* Most lines of one event and second below the severity of a notice. An event
   is the text of a line up to its first key. */
#define MB_LOG_WRITER_EVENT_MAX 1000u
/* Events that are counted at a time. */
#define MB_LOG_WRITER_EVENTS 64u

/* Lines of one event in one second. */
typedef struct mb_log_event {
    uint64_t event; /* hash */
    uint64_t second;
    uint32_t count;
} mb_log_event_t;

typedef struct mb_log_writer {
    int fd;
    pthread_t thread;
    pthread_mutex_t mutex;
    pthread_cond_t lines_available;
    mb_buf_t lines; /* that wait */
    bool stopping;
    uint64_t dropped; /* since the last note of it */
    uint64_t rate_limited;
    mb_log_event_t events[MB_LOG_WRITER_EVENTS];
} mb_log_writer_t;

/* Starts the thread. Fails with MB_KIND_INTERNAL when there can be none. */
bool mb_log_writer_init(mb_log_writer_t *writer, int fd, GError **error);
/* Writes what waits and ends the thread. One that hangs in a write for half a
   second is left to the end of the process. */
void mb_log_writer_finish(mb_log_writer_t *writer);
/* Takes one line without its end; never waits for the reader. */
void mb_log_writer_write(mb_log_writer_t *writer, mb_severity_t severity,
                         mb_str_t line);

#endif
