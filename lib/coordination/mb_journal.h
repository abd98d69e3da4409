/* Appends the records of one producer to a keyed log: in order, one append at
   a time, each record at most once. Records that are added during an append
   are batched into the next one. mb_follower reads what was appended. Used on
   one thread. */
#ifndef MB_JOURNAL_H
#define MB_JOURNAL_H

#include <glib.h>

#include "mb_clock.h"
#include "mb_keyed_log.h"
#include "mb_log.h"

/* Maximum number of queued records; further ones are rejected. */
#define MB_JOURNAL_QUEUE_MAX 16384u
/* Time-out of one append, in milliseconds: many times the usual latency, and
   well below the deadlines of clients. */
#define MB_JOURNAL_TIMEOUT_MS 700u
/* Delay before a failed append is retried, in milliseconds. */
#define MB_JOURNAL_RETRY_DELAY_MS 60u
/* Time for which appends must have failed before the journal counts as
   stalled, in milliseconds. New records would then only wait. */
#define MB_JOURNAL_STALLED_MS 500u

typedef struct mb_journal_config {
    mb_str_t stream;   /* borrowed; must outlive the journal */
    mb_str_t producer; /* borrowed; must outlive the journal */
    uint64_t epoch;    /* the log rejects appends of an older one */
    uint64_t sequence; /* sequence number of the first append */
    /* Another process may append with the same epoch. If the log expects
       another sequence number, the other process has taken the epoch, and this
       journal is fenced. */
    bool epoch_shared;
    uint32_t batch_records_max;
    uint32_t batch_bytes_max;
} mb_journal_config_t;

/* Called once per record with the result of its append. MB_KEYED_NOT_DONE
   guarantees that the record is not in the log and will not get there. */
typedef void (*mb_journal_done_t)(void *context, mb_keyed_result_t result);

typedef struct mb_journal {
    mb_journal_config_t config;
    mb_keyed_log_t log;
    mb_clock_t clock;
    mb_log_t logger;
    GQueue queue;        /* records that are not part of an append yet */
    GPtrArray *batch;    /* records of the current append */
    uint64_t sequence;   /* of the current append, or of the next one */
    bool append_pending; /* an attempt has no result yet */
    /* An attempt of the current append has an unknown result. */
    bool uncertain;
    bool fenced; /* nothing more is sent: a newer epoch, or closed */
    uint64_t failing_since_us; /* 0: the latest append succeeded */
    uint64_t retry_us;         /* earliest time of the next attempt */
    uint64_t batch_sent_us; /* first attempt of the current append; 0: none */
    /* When the latest append that succeeded was first sent: the log had not
       seen a newer epoch by then. */
    uint64_t confirmed_us;
    uint64_t appends; /* attempts, for metrics */
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
