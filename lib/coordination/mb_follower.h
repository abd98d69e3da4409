/* Follows one stream of a keyed log: reads the newest record of each key in
   pages, then every record in order. Records may be handed on more than once
   and pages are not a snapshot, so applying a record must be idempotent.
   Used on one thread. */
#ifndef MB_FOLLOWER_H
#define MB_FOLLOWER_H

#include "mb_clock.h"
#include "mb_keyed_log.h"
#include "mb_log.h"

/* How long a read waits for a record, in milliseconds. It bounds the age of
   what a follower knows. */
#define MB_FOLLOWER_WAIT_MS 500u
/* Time beyond the wait after which a read has failed, in milliseconds. */
#define MB_FOLLOWER_TIMEOUT_MS 700u
/* Time-out of a page of the newest records, in milliseconds. */
#define MB_FOLLOWER_PAGE_TIMEOUT_MS 2500u
/* Pause after a read that failed, in milliseconds. */
#define MB_FOLLOWER_RETRY_DELAY_MS 100u

typedef struct mb_follower_callbacks {
    /* One record; `fresh` when it was read in order, and so was written after
       the stream was loaded. */
    void (*apply)(void *context, const mb_keyed_record_t *record,
                  bool in_order);
    /* Everything was applied that the log held at `since_us` of the clock. */
    void (*caught_up)(void *context, uint64_t since_us);
    void *context;
} mb_follower_callbacks_t;

typedef struct mb_follower {
    mb_str_t stream; /* must outlive the follower */
    mb_keyed_log_t log;
    mb_follower_callbacks_t callbacks;
    mb_clock_t clock;
    mb_log_t logger;
    bool loaded;         /* the newest records were read once */
    bool following;      /* reads in order */
    bool reload_pending; /* read the newest records again */
    bool read_pending;
    bool failing;
    uint64_t next_offset; /* offset of the next read */
    bool first_page;
    mb_buf_t last_page_key; /* key of the last page */
    uint64_t read_start_us;
    uint64_t retry_us;
    uint32_t read_interval_ms; /* least time between two reads in order */
    uint64_t last_answer_us;   /* 0: never */
    uint64_t reads;            /* sent, for metrics */
} mb_follower_t;

void mb_follower_init(mb_follower_t *follower, mb_str_t stream,
                      const mb_keyed_log_t *log,
                      const mb_follower_callbacks_t *callbacks,
                      const mb_clock_t *clock, const mb_log_t *logger);
void mb_follower_finish(mb_follower_t *follower);
void mb_follower_run(mb_follower_t *follower);
void mb_follower_reload(mb_follower_t *follower);
void mb_follower_set_read_interval(mb_follower_t *follower,
                                   uint32_t read_interval_ms);
bool mb_follower_loaded(const mb_follower_t *follower);

#endif
