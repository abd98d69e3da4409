/* Msgpack codec of the bodies that the log service takes and gives. */
#ifndef MB_LOG_MSG_H
#define MB_LOG_MSG_H

#include <stdbool.h>
#include <stdint.h>

#include "mb_str.h"

/* Most records of one answer. */
#define MB_LOG_PAGE_RECORDS_MAX 4096

/* One record as the log holds it. */
typedef struct mb_log_entry {
    uint64_t offset;
    uint64_t time_ms;
    mb_str_t bytes;
} mb_log_entry_t;

/* The answer to a read. */
typedef struct mb_log_page {
    uint64_t earliest;
    uint64_t next;
    uint32_t count;
    mb_log_entry_t *entries;
} mb_log_page_t;

void mb_log_offset_encode(mb_buf_t *out, uint64_t offset);
bool mb_log_offset_decode(mb_str_t body, uint64_t *offset);
void mb_log_page_encode(mb_buf_t *out, const mb_log_page_t *page);
bool mb_log_page_decode(mb_str_t body, mb_log_page_t *page);
void mb_log_page_finish(mb_log_page_t *page);

#endif
