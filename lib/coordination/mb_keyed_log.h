/* Interface to a log service whose streams retain the newest record of each
   key. An append carries a producer name, an epoch of the producer and a
   sequence number: the service ignores a repeated append and rejects one of an
   older epoch. Each accepted call is answered once through `done`, never from
   inside the call. The job log of the fleet is a stream of such a log, to
   which mb_journal appends and which mb_follower reads. The other log, without
   keys, is that of mb_appender and mb_replica. */
#ifndef MB_KEYED_LOG_H
#define MB_KEYED_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include "mb_str.h"

typedef enum mb_keyed_result {
    MB_KEYED_OK,
    MB_KEYED_NOT_DONE,     /* had no effect; may be retried */
    MB_KEYED_UNKNOWN,      /* may have taken effect, or may do so later */
    MB_KEYED_FENCED,       /* the log holds an append of a newer epoch */
    MB_KEYED_OUT_OF_ORDER, /* the log expected another sequence number */
    MB_KEYED_TRIMMED, /* the requested records were removed by retention */
    MB_KEYED_INVALID, /* the call or its answer is malformed */
    MB_KEYED_RESULT_COUNT
} mb_keyed_result_t;

/* One record; an empty value removes the key. */
typedef struct mb_keyed_record {
    mb_str_t key;
    mb_str_t value;
} mb_keyed_record_t;

typedef struct mb_keyed_append {
    mb_str_t stream;
    mb_str_t producer;
    uint64_t epoch;
    uint64_t sequence;
    /* Borrowed for the duration of the call. */
    const mb_keyed_record_t *records;
    uint32_t count;
    uint32_t timeout_ms;
    void (*done)(void *context, mb_keyed_result_t result);
    void *context;
} mb_keyed_append_t;

/* The result of a read. Views are valid during `done`. */
typedef struct mb_keyed_page {
    mb_keyed_result_t result;
    uint64_t end; /* offset after the newest record of the stream */
    const mb_keyed_record_t *records;
    uint32_t count;
    bool more; /* reads of the newest records: another page follows */
    /* For log lines: size of the answer, or of the part that was received
       before the read failed, in bytes, and whether the read was sent on a
       connection of an earlier call. */
    size_t received_bytes;
    bool connection_reused;
} mb_keyed_page_t;

typedef struct mb_keyed_read {
    mb_str_t stream;
    uint64_t from;  /* reads in order: first offset */
    mb_str_t after; /* reads of the newest records: key after which to go on */
    uint32_t wait_ms; /* reads in order: how long to wait for a record */
    /* Maximum time without a byte of the answer. The size of an answer is not
       known beforehand, so the time of the whole read is not limited: on a
       slow link, a read that was ended while bytes arrived would be repeated
       without end. */
    uint32_t idle_timeout_ms;
    void (*done)(void *context, const mb_keyed_page_t *page);
    void *context;
} mb_keyed_read_t;

/* The calls of a log: `read` returns records in order, `newest` the newest
   record of each key. They return false if the call could not be sent; `done`
   is then not called. */
typedef struct mb_keyed_log {
    bool (*append)(void *context, const mb_keyed_append_t *append);
    bool (*read)(void *context, const mb_keyed_read_t *read);
    bool (*newest)(void *context, const mb_keyed_read_t *read);
    void *context;
} mb_keyed_log_t;

/* Returns the name of a result, for log lines. */
static inline const char *
mb_keyed_result_name(mb_keyed_result_t result)
{
    static const char *const names[MB_KEYED_RESULT_COUNT] = {
        "ok",           "not_done", "unknown", "fenced",
        "out_of_order", "trimmed",  "invalid"};
    return result < MB_KEYED_RESULT_COUNT ? names[result] : "unknown";
}

#endif
