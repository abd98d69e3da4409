/* msgpack codec of the HTTP bodies exchanged with the log service. */
#ifndef MB_LOG_MSG_H
#define MB_LOG_MSG_H

#include <stdbool.h>
#include <stdint.h>

#include "mb_str.h"

/* Maximum number of records in one response to a read. */
#define MB_LOG_PAGE_RECORDS_MAX 4096

/* One record of a stream. */
typedef struct mb_log_entry {
    uint64_t offset;
    uint64_t time_ms; /* when the log accepted it, by the log's clock */
    mb_str_t bytes;
} mb_log_entry_t;

/* The response to a read: consecutive records of a stream. */
typedef struct mb_log_page {
    uint64_t earliest; /* offset of the oldest record that is retained */
    uint64_t next;     /* offset that the next appended record will get */
    uint32_t count;
    mb_log_entry_t *entries;
} mb_log_page_t;

/* The response to an append, a map with the offset of the record. Decoding
   returns false if `body` is anything else. */
void mb_log_offset_encode(mb_buf_t *out, uint64_t offset);
bool mb_log_offset_decode(mb_str_t body, uint64_t *offset);
void mb_log_page_encode(mb_buf_t *out, const mb_log_page_t *page);
/* Decodes the response to a read. If the requested offset is no longer
   retained, the response may have only `earliest`; `next` and `count` are then
   0. Views in the page point into `body`. Returns false for a malformed body
   or one with more than MB_LOG_PAGE_RECORDS_MAX records. The page must be
   released with mb_log_page_finish in either case. */
bool mb_log_page_decode(mb_str_t body, mb_log_page_t *page);
void mb_log_page_finish(mb_log_page_t *page);

#endif
