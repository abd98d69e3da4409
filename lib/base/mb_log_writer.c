#include "mb_log_writer.h"

#include <errno.h>
#include <glib.h>
#include <limits.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Time for which the thread collects lines after the first, to write them
   together, in nanoseconds. */
#define BATCH_DELAY_NS 10000000L
/* How long mb_log_writer_finish waits for the thread, in nanoseconds. */
#define JOIN_TIMEOUT_NS 500000000L
#define NS_PER_S 1000000000L
/* Initial capacity of the buffer, in bytes. */
#define LINES_INITIAL_BYTES 4096u

/* Returns how many bytes to pass to the next write: complete lines of at most
   PIPE_BUF bytes, up to which a write to a pipe is atomic, so that lines are
   not interleaved with those of another process. A longer line is written with
   all the rest. */
static size_t
get_write_len(mb_str_t bytes)
{
    size_t len = MIN(bytes.len, (size_t)PIPE_BUF);
    while (len > 0 && bytes.data[len - 1] != '\n') {
        len--;
    }
    return len > 0 ? len : bytes.len;
}

/* Writes the whole buffer, blocking if necessary. The rest is discarded after
   an error, as when the reader has closed its end. */
static void
write_all(int fd, mb_str_t bytes)
{
    while (bytes.len > 0) {
        ssize_t written = write(fd, bytes.data, get_write_len(bytes));
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return;
        }
        bytes.data += written;
        bytes.len -= (size_t)written;
    }
}

/* Appends a warning with the numbers of lines that were left out since the
   last warning, if any. Called with the mutex held. */
static void
append_drop_warning(mb_log_writer_t *writer)
{
    if (writer->dropped + writer->rate_limited == 0) {
        return;
    }
    mb_log_append_line(&writer->lines, MB_SEVERITY_WARNING,
                       "warning log: lines left out dropped=%" G_GUINT64_FORMAT
                       " limited=%" G_GUINT64_FORMAT,
                       writer->dropped, writer->rate_limited);
    writer->dropped = 0;
    writer->rate_limited = 0;
}

/* The thread: writes the buffered lines until the writer is stopped, and then
   those that remain. It swaps the buffer for an empty one and writes without
   holding the mutex, so that a blocked write does not block the writers of
   lines. */
static void *
run(void *context)
{
    mb_log_writer_t *writer = context;
    struct timespec collect = {0, BATCH_DELAY_NS};
    mb_buf_t lines = {0};
    bool stopping = false;
    while (!stopping) {
        (void)pthread_mutex_lock(&writer->mutex);
        while (writer->lines.len == 0 && !writer->stopping) {
            (void)pthread_cond_wait(&writer->lines_available, &writer->mutex);
        }
        stopping = writer->stopping;
        (void)pthread_mutex_unlock(&writer->mutex);
        if (!stopping) {
            (void)nanosleep(&collect, NULL);
        }
        (void)pthread_mutex_lock(&writer->mutex);
        append_drop_warning(writer);
        mb_buf_t taken = writer->lines;
        writer->lines = lines;
        (void)pthread_mutex_unlock(&writer->mutex);
        write_all(writer->fd, mb_buf_view(&taken));
        mb_buf_clear(&taken);
        lines = taken;
    }
    mb_buf_finish(&lines);
    return NULL;
}

/* See the header. */
bool
mb_log_writer_init(mb_log_writer_t *writer, int fd, GError **error)
{
    memset(writer, 0, sizeof(*writer));
    writer->fd = fd;
    (void)pthread_mutex_init(&writer->mutex, NULL);
    (void)pthread_cond_init(&writer->lines_available, NULL);
    mb_buf_reserve(&writer->lines, LINES_INITIAL_BYTES);
    int failed = pthread_create(&writer->thread, NULL, run, writer);
    if (failed != 0) {
        mb_error_set(error, MB_KIND_INTERNAL,
                     "cannot create the log writer thread: %s",
                     g_strerror(failed));
        mb_buf_finish(&writer->lines);
        return false;
    }
    return true;
}

/* See the header. */
void
mb_log_writer_finish(mb_log_writer_t *writer)
{
    struct timespec until;
    (void)pthread_mutex_lock(&writer->mutex);
    writer->stopping = true;
    (void)pthread_cond_signal(&writer->lines_available);
    (void)pthread_mutex_unlock(&writer->mutex);
    (void)clock_gettime(CLOCK_REALTIME, &until);
    until.tv_nsec += JOIN_TIMEOUT_NS;
    until.tv_sec += until.tv_nsec / NS_PER_S;
    until.tv_nsec %= NS_PER_S;
    if (pthread_timedjoin_np(writer->thread, NULL, &until) == 0) {
        (void)pthread_mutex_destroy(&writer->mutex);
        (void)pthread_cond_destroy(&writer->lines_available);
        mb_buf_finish(&writer->lines);
    }
}

/* Returns the hash that identifies the event of a line: that of the text
   before the first key. */
static uint64_t
hash_event(mb_str_t line)
{
    size_t end = 0;
    for (size_t i = 0; i < line.len && line.data[i] != '='; i++) {
        if (line.data[i] == ' ') {
            end = i;
        }
    }
    return mb_str_hash((mb_str_t){line.data, end == 0 ? line.len : end});
}

/* Counts a line and returns whether its event has exceeded the limit of lines
   per second. The counters are a table indexed by hash, without chaining: an
   event that replaces another in its slot resets the count. Called with the
   mutex held. */
static bool
exceeds_rate_limit(mb_log_writer_t *writer, mb_str_t line)
{
    uint64_t event = hash_event(line);
    uint64_t second = (uint64_t)(g_get_monotonic_time() / G_USEC_PER_SEC);
    mb_log_event_t *entry = &writer->events[event % MB_LOG_WRITER_EVENTS];
    if (entry->event != event || entry->second != second) {
        *entry = (mb_log_event_t){event, second, 0};
    }
    return ++entry->count > MB_LOG_WRITER_EVENT_MAX;
}

/* See the header. */
void
mb_log_writer_write(mb_log_writer_t *writer, mb_severity_t severity,
                    mb_str_t line)
{
    (void)pthread_mutex_lock(&writer->mutex);
    bool idle = writer->lines.len == 0;
    if (severity > MB_SEVERITY_NOTICE && exceeds_rate_limit(writer, line)) {
        writer->rate_limited++;
    }
    else if (writer->lines.len + line.len > MB_LOG_WRITER_BYTES_MAX) {
        writer->dropped++;
    }
    else {
        mb_log_append_line(&writer->lines, severity, "%.*s", MB_STR_ARG(line));
    }
    if (idle) {
        (void)pthread_cond_signal(&writer->lines_available);
    }
    (void)pthread_mutex_unlock(&writer->mutex);
}
