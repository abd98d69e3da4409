/* Follows one stream of a keyed log: reads the newest record of each key in
   pages, then every record in order, or, if only the newest record of each key
   matters, those that were not superseded meanwhile. A record may be passed on
   more than once, and the pages are not a consistent snapshot, because records
   are appended meanwhile; so applying a record must be idempotent. For streams
   without keys, mb_replica does this instead. Used on one thread. */
#ifndef MB_FOLLOWER_H
#define MB_FOLLOWER_H

#include "mb_clock.h"
#include "mb_keyed_log.h"
#include "mb_log.h"

/* Time for which a read in order waits for a record, in milliseconds. It
   bounds the age of the follower's state. */
#define MB_FOLLOWER_WAIT_MS 500u
/* Maximum time without a byte of the answer, beyond that wait, in
   milliseconds. */
#define MB_FOLLOWER_TIMEOUT_MS 700u
/* The same for a page of the newest records of a whole stream, which the log
   has to collect first. */
#define MB_FOLLOWER_PAGE_TIMEOUT_MS 2500u
/* Delay before a failed read is retried, in milliseconds. */
#define MB_FOLLOWER_RETRY_DELAY_MS 100u

typedef struct mb_follower_callbacks {
    /* Applies one record, borrowed for the call. `in_order` is true if it was
       read in order, and so was written after loading began. */
    void (*apply)(void *context, const mb_keyed_record_t *record,
                  bool in_order);
    /* A load of the newest records begins: its first page is applied next. If
       `loaded` was not called for the previous load, that one was given up
       before it was complete. May be NULL. */
    void (*load_begins)(void *context);
    /* All pages of a load of the newest records have been applied. Keys that
       were not among them are not in the log; keys that were removed since the
       previous read are known only by that. May be NULL. */
    void (*loaded)(void *context);
    /* Everything has been applied that the log held when the latest read was
       sent, at `read_start_us` of the clock. */
    void (*caught_up)(void *context, uint64_t read_start_us);
    /* A read that was sent at `read_start_us` has succeeded or failed. Called
       before its records are applied. May be NULL. */
    void (*read_ended)(void *context, uint64_t read_start_us, bool succeeded);
    void *context;
} mb_follower_callbacks_t;

typedef struct mb_follower {
    mb_str_t stream; /* must outlive the follower */
    mb_keyed_log_t log;
    mb_follower_callbacks_t callbacks;
    mb_clock_t clock;
    mb_log_t logger;
    bool newest_only;    /* see mb_follower_set_newest_only */
    bool loaded;         /* the newest records have been read */
    uint32_t loads;      /* loads of the newest records begun, modulo 2^32 */
    bool following;      /* reads in order; else reads the newest records */
    bool reload_pending; /* the newest records are to be read again */
    bool read_pending;   /* a read was sent and is not answered yet */
    uint32_t failures;   /* reads that failed since the latest answer */
    uint64_t failing_since_us; /* start of the first of them */
    uint64_t next_offset;      /* first offset of the next read in order */
    bool first_page; /* the next page of the newest records is the first */
    mb_buf_t last_page_key;    /* last key of the previous page */
    uint64_t load_start_us;    /* start of the read of the first page */
    uint64_t read_start_us;    /* start of the latest read */
    uint64_t next_read_us;     /* earliest time of the next read */
    uint32_t read_interval_ms; /* minimum time between two reads in order */
    uint64_t last_answer_us;   /* time of the latest answer; 0: none yet */
    uint64_t reads;            /* number of reads sent, for metrics */
    uint64_t failed_reads;     /* number of reads that failed, for metrics */
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
void mb_follower_set_newest_only(mb_follower_t *follower);
bool mb_follower_loaded(const mb_follower_t *follower);

#endif
