/* A log service whose streams keep the newest record of each key, as
   callbacks. Appends name a producer, its epoch and a sequence number: the
   service drops a repeated append and rejects an older epoch. Every call is
   answered once through `done`, never from inside the call. */
#ifndef MB_KEYED_LOG_H
#define MB_KEYED_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include "mb_str.h"

typedef enum mb_keyed_result {
    MB_KEYED_OK,
    MB_KEYED_NOT_DONE,     /* nothing was done; may be tried again */
    MB_KEYED_UNKNOWN,      /* may have been done, or may be done later */
    MB_KEYED_FENCED,       /* an append of a newer epoch was taken */
    MB_KEYED_OUT_OF_ORDER, /* another sequence number was expected */
    MB_KEYED_TRIMMED,      /* the records asked for are gone */
    MB_KEYED_INVALID,      /* the call or its answer is not valid */
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
    const mb_keyed_record_t *records; /* valid during the call */
    uint32_t count;
    uint32_t timeout_ms;
    void (*done)(void *context, mb_keyed_result_t result);
    void *context;
} mb_keyed_append_t;

/* What a read returns; views are valid during `done`. */
typedef struct mb_keyed_page {
    mb_keyed_result_t result;
    uint64_t end; /* offset after the newest record of the stream */
    const mb_keyed_record_t *records;
    uint32_t count;
    bool more; /* of the newest records: another page follows */
} mb_keyed_page_t;

typedef struct mb_keyed_read {
    mb_str_t stream;
    uint64_t from;    /* offset, of a read in order */
    mb_str_t after;   /* key, of a read of the newest records */
    uint32_t wait_ms; /* for a record, of a read in order */
    uint32_t timeout_ms;
    void (*done)(void *context, const mb_keyed_page_t *page);
    void *context;
} mb_keyed_read_t;

/* The calls return false when they could not begin; `done` is not called
   then and nothing was sent. */
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
