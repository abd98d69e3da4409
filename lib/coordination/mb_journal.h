/* Appends records of one producer to a keyed log, in order, one append at a
   time, and each record at most once. Records that arrive meanwhile share the
   next append. Used on one thread. */
#ifndef MB_JOURNAL_H
#define MB_JOURNAL_H

#include <glib.h>

#include "mb_clock.h"
#include "mb_keyed_log.h"
#include "mb_log.h"

/* Most records that wait; more are refused. */
#define MB_JOURNAL_QUEUE_MAX 16384u
/* Time-out of one append, in milliseconds: many times a usual answer, and
   well below the deadlines of clients. */
#define MB_JOURNAL_TIMEOUT_MS 700u
/* Pause after an append that failed, in milliseconds. */
#define MB_JOURNAL_RETRY_DELAY_MS 60u
/* A journal whose append has no success for this long, in milliseconds,
   counts as stalled: new records would only wait. */
#define MB_JOURNAL_STALLED_MS 500u

typedef struct mb_journal_config {
    mb_str_t stream;   /* must outlive the journal */
    mb_str_t producer; /* likewise */
    uint64_t epoch;
    uint64_t sequence; /* of the first append */
    /* Another process may use the same epoch: a sequence number that the log
       does not expect then means that the other one has it. */
    bool epoch_shared;
    uint32_t batch_records_max;
    uint32_t batch_bytes_max;
} mb_journal_config_t;

/* Called once for each record. MB_KEYED_NOT_DONE proves that the record is
   not in the log and will not be. */
typedef void (*mb_journal_done_t)(void *context, mb_keyed_result_t result);

typedef struct mb_journal {
    mb_journal_config_t config;
    mb_keyed_log_t log;
    mb_clock_t clock;
    mb_log_t logger;
    GQueue queue;     /* records that were not sent */
    GPtrArray *batch; /* records of the current append */
    uint64_t sequence;
    bool append_pending;
    bool uncertain; /* a try of the current append has an unknown result */
    bool fenced;
    uint64_t failing_since_us; /* 0: the latest append succeeded */
    uint64_t retry_us;
    uint64_t appends; /* sent, for metrics */
} mb_journal_t;

void mb_journal_init(mb_journal_t *journal, const mb_journal_config_t *config,
                     const mb_keyed_log_t *log, const mb_clock_t *clock,
                     const mb_log_t *logger);
void mb_journal_finish(mb_journal_t *journal);
bool mb_journal_add(mb_journal_t *journal, mb_str_t key, mb_str_t value,
                    uint64_t deadline_us, mb_journal_done_t done,
                    void *context);
void mb_journal_close(mb_journal_t *journal);
void mb_journal_run(mb_journal_t *journal);
bool mb_journal_stalled(const mb_journal_t *journal);
bool mb_journal_idle(const mb_journal_t *journal);

#endif
