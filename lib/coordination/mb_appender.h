/* Interface to append records to one stream of the log that mb_replica reads.
   The code that decides what to append uses it without knowing the protocol of
   the log. Keyed logs have an interface of their own, mb_keyed_log.h. */
#ifndef MB_APPENDER_H
#define MB_APPENDER_H

#include "mb_str.h"

/* Result of an append. */
typedef enum mb_append_result {
    MB_APPEND_REPLAYED,    /* in the log, and applied by this process */
    MB_APPEND_NOT_WRITTEN, /* not in the log, and will not get there */
    MB_APPEND_UNKNOWN      /* may be in the log, or may still get there */
} mb_append_result_t;

/* `offset` is that of the record in the stream, for MB_APPEND_REPLAYED. */
typedef void (*mb_append_done_t)(void *context, mb_append_result_t result,
                                 uint64_t offset);

typedef struct mb_appender {
    /* Queues one data record, whose payload is copied; may be called from any
       thread. Returns false if the queue is full or the payload too large;
       nothing is written then, and `done` is not called. Otherwise `done` is
       called once, on the thread that reads the stream; for MB_APPEND_REPLAYED
       right after the record was applied. */
    bool (*append)(void *context, mb_str_t payload, uint32_t timeout_ms,
                   mb_append_done_t done, void *done_context);
    void *context;
} mb_appender_t;

#endif
