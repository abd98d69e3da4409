#include "mb_journal.h"

#include <string.h>

/* A record that is queued or being appended. */
typedef struct entry {
    mb_buf_t key;
    mb_buf_t value;
    /* Dropped after this time, if no attempt may have taken effect. */
    uint64_t deadline_us;
    mb_journal_done_t done;
    void *context;
} entry_t;

/* Releases a record without calling its callback. */
static void
free_entry(entry_t *entry)
{
    mb_buf_finish(&entry->key);
    mb_buf_finish(&entry->value);
    g_free(entry);
}

/* Calls the callback of a record with its result and releases the record. */
static void
complete_entry(entry_t *entry, mb_keyed_result_t result)
{
    if (entry->done != NULL) {
        entry->done(entry->context, result);
    }
    free_entry(entry);
}

/* Initializes a journal without records. The config, callbacks and clock are
   copied; the texts of the config are borrowed. */
void
mb_journal_init(mb_journal_t *journal, const mb_journal_config_t *config,
                const mb_keyed_log_t *log, const mb_clock_t *clock,
                const mb_log_t *logger)
{
    memset(journal, 0, sizeof(*journal));
    journal->config = *config;
    journal->log = *log;
    journal->clock = *clock;
    journal->logger = *logger;
    journal->sequence = config->sequence;
    g_queue_init(&journal->queue);
    journal->batch = g_ptr_array_new();
}

/* Releases the journal. Records that are not appended are dropped without a
   call of their callbacks. No append may be in progress. */
void
mb_journal_finish(mb_journal_t *journal)
{
    entry_t *entry;
    while ((entry = g_queue_pop_head(&journal->queue)) != NULL) {
        free_entry(entry);
    }
    for (guint i = 0; i < journal->batch->len; i++) {
        free_entry(g_ptr_array_index(journal->batch, i));
    }
    g_ptr_array_unref(journal->batch);
}

/* Completes all records, queued or in the current append, because the journal
   is fenced. */
static void
complete_all(mb_journal_t *journal, mb_keyed_result_t result)
{
    g_autoptr(GPtrArray) completed = g_ptr_array_new();
    entry_t *entry;
    while (journal->batch->len > 0) {
        g_ptr_array_add(completed, g_ptr_array_steal_index(journal->batch, 0));
    }
    while ((entry = g_queue_pop_head(&journal->queue)) != NULL) {
        g_ptr_array_add(completed, entry);
    }
    for (guint i = 0; i < completed->len; i++) {
        complete_entry(g_ptr_array_index(completed, i), result);
    }
}

/* Completes the records of the current append. */
static void
complete_batch(mb_journal_t *journal, mb_keyed_result_t result)
{
    g_autoptr(GPtrArray) completed = journal->batch;
    journal->batch = g_ptr_array_new();
    journal->batch_sent_us = 0;
    journal->uncertain = false;
    for (guint i = 0; i < completed->len; i++) {
        complete_entry(g_ptr_array_index(completed, i), result);
    }
}

/* Schedules the retry of a failed append. Only the first failure in a row is
   logged. */
static void
handle_failure(mb_journal_t *journal, mb_keyed_result_t result)
{
    uint64_t now_us = mb_clock_us(&journal->clock);
    if (journal->failing_since_us == 0) {
        journal->failing_since_us = now_us;
        mb_log_warning(
            &journal->logger,
            "append failed producer=%.*s sequence=%" G_GUINT64_FORMAT
            " records=%u result=%s; retrying",
            MB_STR_ARG(journal->config.producer), journal->sequence,
            journal->batch->len, mb_keyed_result_name(result));
    }
    journal->retry_us = now_us + MB_JOURNAL_RETRY_DELAY_MS * MB_US_PER_MS;
}

/* Logs the first success after failures, and clears the failure state. */
static void
handle_success(mb_journal_t *journal)
{
    if (journal->failing_since_us != 0) {
        uint64_t now_us = mb_clock_us(&journal->clock);
        mb_log_notice(
            &journal->logger,
            "append succeeded again producer=%.*s after_ms=%" G_GUINT64_FORMAT,
            MB_STR_ARG(journal->config.producer),
            (now_us - journal->failing_since_us) / MB_US_PER_MS);
    }
    journal->failing_since_us = 0;
}

/* Handles the result of the current append, as its callback. */
static void
append_done(void *context, mb_keyed_result_t result)
{
    mb_journal_t *journal = context;
    journal->append_pending = false;
    if (result == MB_KEYED_OUT_OF_ORDER && journal->config.epoch_shared) {
        result = MB_KEYED_FENCED;
    }
    switch (result) {
    case MB_KEYED_OK:
        handle_success(journal);
        journal->confirmed_us = journal->batch_sent_us;
        journal->sequence++;
        complete_batch(journal, MB_KEYED_OK);
        break;
    case MB_KEYED_FENCED:
        journal->fenced = true;
        mb_log_notice(&journal->logger,
                      "append rejected: newer epoch producer=%.*s "
                      "epoch=%" G_GUINT64_FORMAT,
                      MB_STR_ARG(journal->config.producer),
                      journal->config.epoch);
        complete_all(journal, MB_KEYED_FENCED);
        break;
    case MB_KEYED_OUT_OF_ORDER:
    case MB_KEYED_INVALID:
    case MB_KEYED_TRIMMED:
        mb_log_error(
            &journal->logger,
            "append rejected producer=%.*s sequence=%" G_GUINT64_FORMAT
            " result=%s; records have an unknown outcome",
            MB_STR_ARG(journal->config.producer), journal->sequence,
            mb_keyed_result_name(result));
        /* The log accepts any first sequence number from a new epoch. */
        journal->config.epoch++;
        complete_batch(journal, MB_KEYED_UNKNOWN);
        break;
    case MB_KEYED_UNKNOWN:
        journal->uncertain = true;
        handle_failure(journal, result);
        break;
    case MB_KEYED_NOT_DONE:
    case MB_KEYED_RESULT_COUNT:
        handle_failure(journal, result);
        break;
    }
    mb_journal_run(journal);
}

/* Moves queued records into the next append, up to the configured maxima of
   records and bytes. A record that is larger than the maximum of bytes is
   appended on its own. */
static void
fill_batch(mb_journal_t *journal)
{
    size_t bytes = 0;
    while (journal->batch->len < journal->config.batch_records_max) {
        entry_t *entry = g_queue_peek_head(&journal->queue);
        if (entry == NULL) {
            return;
        }
        bytes += entry->key.len + entry->value.len;
        if (journal->batch->len > 0 &&
            bytes > journal->config.batch_bytes_max) {
            return;
        }
        g_ptr_array_add(journal->batch, g_queue_pop_head(&journal->queue));
    }
}

/* Completes records whose deadline has passed as not done. Those of an append
   that had an unknown result in an attempt are kept, as they may be in the
   log. */
static void
drop_expired(mb_journal_t *journal)
{
    uint64_t now_us = mb_clock_us(&journal->clock);
    g_autoptr(GPtrArray) completed = g_ptr_array_new();
    bool uncertain = journal->uncertain;
#ifdef MB_MUTANT_JOURNAL_DROPS_UNCERTAIN
    uncertain = false;
#endif
    for (guint i = 0; !uncertain && i < journal->batch->len;) {
        entry_t *entry = g_ptr_array_index(journal->batch, i);
        if (entry->deadline_us <= now_us) {
            g_ptr_array_add(completed,
                            g_ptr_array_steal_index(journal->batch, i));
        }
        else {
            i++;
        }
    }
    GList *link = journal->queue.head;
    while (link != NULL) {
        GList *next = link->next;
        entry_t *entry = link->data;
        if (entry->deadline_us <= now_us) {
            g_ptr_array_add(completed, entry);
            g_queue_delete_link(&journal->queue, link);
        }
        link = next;
    }
    for (guint i = 0; i < completed->len; i++) {
        complete_entry(g_ptr_array_index(completed, i), MB_KEYED_NOT_DONE);
    }
}

/* Sends the current append. If the call can't start, it is retried later. */
static void
send_batch(mb_journal_t *journal)
{
    g_autofree mb_keyed_record_t *records =
        g_new(mb_keyed_record_t, journal->batch->len);
    for (guint i = 0; i < journal->batch->len; i++) {
        entry_t *entry = g_ptr_array_index(journal->batch, i);
        records[i].key = mb_buf_view(&entry->key);
        records[i].value = mb_buf_view(&entry->value);
    }
    mb_keyed_append_t append = {.stream = journal->config.stream,
                                .producer = journal->config.producer,
                                .epoch = journal->config.epoch,
                                .sequence = journal->sequence,
                                .records = records,
                                .count = journal->batch->len,
                                .timeout_ms = MB_JOURNAL_TIMEOUT_MS,
                                .done = append_done,
                                .context = journal};
    if (journal->batch_sent_us == 0) {
        journal->batch_sent_us = mb_clock_us(&journal->clock);
    }
    journal->append_pending = true;
    journal->appends++;
    if (!journal->log.append(journal->log.context, &append)) {
        journal->append_pending = false;
        handle_failure(journal, MB_KEYED_NOT_DONE);
    }
}

/* Does what is due: sends the next append, retries a failed one, drops expired
   records. Called after mb_journal_add and periodically. */
void
mb_journal_run(mb_journal_t *journal)
{
    if (journal->append_pending || journal->fenced) {
        return;
    }
    drop_expired(journal);
    if (journal->failing_since_us != 0 &&
        mb_clock_us(&journal->clock) < journal->retry_us) {
        return;
    }
    if (!journal->uncertain) {
        fill_batch(journal);
    }
    if (journal->batch->len > 0) {
        send_batch(journal);
    }
}

/* Stops the journal: nothing more is sent. An append in progress completes if
   this attempt succeeds, but is not retried. */
void
mb_journal_close(mb_journal_t *journal)
{
    journal->fenced = true;
}

/* Queues a record; an empty value removes the key. The key and the value are
   copied. After `deadline_us` the record completes as not done, unless an
   attempt may have taken effect. `done` may be NULL. Returns false, without
   calling `done`, when the queue is full or the journal is fenced or
   closed. */
bool
mb_journal_add(mb_journal_t *journal, mb_str_t key, mb_str_t value,
               uint64_t deadline_us, mb_journal_done_t done, void *context)
{
    if (journal->fenced ||
        g_queue_get_length(&journal->queue) >= MB_JOURNAL_QUEUE_MAX) {
        return false;
    }
    entry_t *entry = g_new0(entry_t, 1);
    mb_buf_set(&entry->key, key);
    mb_buf_set(&entry->value, value);
    entry->deadline_us = deadline_us;
    entry->done = done;
    entry->context = context;
    g_queue_push_tail(&journal->queue, entry);
    return true;
}

/* Returns whether the log does not accept appends at present, so that new
   records should be rejected. It returns false when no append is in progress
   or waits for a retry, even after failures: the next record must be let
   through, because only an append shows that the log works again. */
bool
mb_journal_stalled(const mb_journal_t *journal)
{
    bool in_progress = journal->append_pending || journal->batch->len > 0;
#ifdef MB_MUTANT_JOURNAL_STALLED_FOR_GOOD
    in_progress = true;
#endif
    return journal->fenced ||
           (in_progress && journal->failing_since_us != 0 &&
            mb_clock_us(&journal->clock) - journal->failing_since_us >=
                MB_JOURNAL_STALLED_MS * MB_US_PER_MS);
}

/* Returns whether all records are completed. */
bool
mb_journal_idle(const mb_journal_t *journal)
{
    return !journal->append_pending && journal->batch->len == 0 &&
           journal->queue.length == 0;
}
