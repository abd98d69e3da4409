#include "mb_follower.h"

#include <glib.h>
#include <string.h>

/* Initializes a follower that has read nothing. `stream` is borrowed; the
   other arguments are copied. */
void
mb_follower_init(mb_follower_t *follower, mb_str_t stream,
                 const mb_keyed_log_t *log,
                 const mb_follower_callbacks_t *callbacks,
                 const mb_clock_t *clock, const mb_log_t *logger)
{
    memset(follower, 0, sizeof(*follower));
    follower->stream = stream;
    follower->log = *log;
    follower->callbacks = *callbacks;
    follower->clock = *clock;
    follower->logger = *logger;
    follower->first_page = true;
}

/* Releases the follower. No read may be in progress. */
void
mb_follower_finish(mb_follower_t *follower)
{
    mb_buf_finish(&follower->last_page_key);
}

/* Passes the last record of each key on a page to the callback. */
static void
apply_newest(mb_follower_t *follower, const mb_keyed_page_t *page,
             bool in_order)
{
    g_autoptr(GHashTable) applied_keys =
        g_hash_table_new(mb_str_key_hash, mb_str_key_equal);
    for (uint32_t i = page->count; i-- > 0;) {
        const mb_keyed_record_t *record = &page->records[i];
        if (g_hash_table_add(applied_keys, (gpointer)&record->key)) {
            follower->callbacks.apply(follower->callbacks.context, record,
                                      in_order);
        }
    }
}

/* Passes the records of a page to the callback. */
static void
apply_page(mb_follower_t *follower, const mb_keyed_page_t *page, bool in_order)
{
    if (follower->newest_only) {
        apply_newest(follower, page, in_order);
        return;
    }
    for (uint32_t i = 0; i < page->count; i++) {
        follower->callbacks.apply(follower->callbacks.context,
                                  &page->records[i], in_order);
    }
}

/* Returns what the latest read asked for, for log lines. */
static const char *
read_kind(const mb_follower_t *follower)
{
    return follower->following ? "in_order" : "newest";
}

/* Reports the end of the latest read. */
static void
report_read_end(const mb_follower_t *follower, bool succeeded)
{
    if (follower->callbacks.read_ended != NULL) {
        follower->callbacks.read_ended(follower->callbacks.context,
                                       follower->read_start_us, succeeded);
    }
}

/* Handles a failed read: schedules the next one, and logs it. Of a series of
   failures only those are logged whose number is a power of two. If only the
   newest records matter, they are read next, because a backlog may have grown
   meanwhile. */
static void
handle_failure(mb_follower_t *follower, const mb_keyed_page_t *page)
{
    uint64_t now_us = mb_clock_us(&follower->clock);
    if (follower->failures == 0) {
        follower->failing_since_us = follower->read_start_us;
    }
    follower->failures++;
    follower->failed_reads++;
    if ((follower->failures & (follower->failures - 1)) == 0) {
        mb_log_warning(&follower->logger,
                       "read failed stream=%.*s kind=%s offset=%llu result=%s "
                       "failures=%u after_ms=%llu received_bytes=%zu "
                       "connection_reused=%d; retrying",
                       MB_STR_ARG(follower->stream), read_kind(follower),
                       (unsigned long long)follower->next_offset,
                       mb_keyed_result_name(page->result), follower->failures,
                       (unsigned long long)(now_us - follower->read_start_us) /
                           MB_US_PER_MS,
                       page->received_bytes, page->connection_reused);
    }
    follower->reload_pending = follower->reload_pending ||
                               (follower->newest_only && follower->following);
    follower->next_read_us =
        now_us + MB_FOLLOWER_RETRY_DELAY_MS * MB_US_PER_MS;
    report_read_end(follower, false);
}

/* Handles a successful read: notes its time, and logs it after failures. */
static void
handle_answer(mb_follower_t *follower, const mb_keyed_page_t *page)
{
    uint64_t now_us = mb_clock_us(&follower->clock);
    if (follower->failures > 0) {
        mb_log_notice(
            &follower->logger,
            "read succeeded again stream=%.*s kind=%s offset=%llu end=%llu "
            "failures=%u failing_ms=%llu after_ms=%llu received_bytes=%zu",
            MB_STR_ARG(follower->stream), read_kind(follower),
            (unsigned long long)follower->next_offset,
            (unsigned long long)page->end, follower->failures,
            (unsigned long long)(now_us - follower->failing_since_us) /
                MB_US_PER_MS,
            (unsigned long long)(now_us - follower->read_start_us) /
                MB_US_PER_MS,
            page->received_bytes);
    }
    follower->failures = 0;
    follower->last_answer_us = now_us;
    report_read_end(follower, true);
}

/* Starts to read the newest records, from the first page. */
static void
start_loading(mb_follower_t *follower)
{
    follower->following = false;
    follower->reload_pending = false;
    follower->first_page = true;
    follower->loads++;
    mb_buf_clear(&follower->last_page_key);
}

/* Handles a page of the newest records. Reading in order starts at the end of
   the stream that the first page reported, because later pages may miss
   records that were written since. */
static void
handle_page(void *context, const mb_keyed_page_t *page)
{
    mb_follower_t *follower = context;
    follower->read_pending = false;
    if (page->result != MB_KEYED_OK) {
        handle_failure(follower, page);
        return;
    }
    handle_answer(follower, page);
    if (follower->first_page) {
        follower->first_page = false;
        follower->load_start_us = follower->read_start_us;
        follower->next_offset = page->end;
        if (follower->callbacks.load_begins != NULL) {
            follower->callbacks.load_begins(follower->callbacks.context);
        }
    }
    apply_page(follower, page, false);
    if (page->count > 0) {
        mb_buf_set(&follower->last_page_key,
                   page->records[page->count - 1].key);
    }
    if (!page->more || page->count == 0) {
        follower->following = true;
        follower->loaded = true;
        if (follower->callbacks.loaded != NULL) {
            follower->callbacks.loaded(follower->callbacks.context);
        }
        mb_log_info(&follower->logger,
                    "newest records loaded stream=%.*s next_offset=%llu",
                    MB_STR_ARG(follower->stream),
                    (unsigned long long)follower->next_offset);
        if (follower->newest_only) {
            follower->callbacks.caught_up(follower->callbacks.context,
                                          follower->load_start_us);
        }
    }
    mb_follower_run(follower);
}

/* Handles the answer to a read in order. If retention has removed the
   requested records, or if more follow and only the newest ones matter, the
   newest ones are read. */
static void
handle_read(void *context, const mb_keyed_page_t *page)
{
    mb_follower_t *follower = context;
    follower->read_pending = false;
    if (page->result == MB_KEYED_TRIMMED) {
        mb_log_notice(&follower->logger,
                      "next records removed by retention stream=%.*s "
                      "offset=%llu; reading the newest records",
                      MB_STR_ARG(follower->stream),
                      (unsigned long long)follower->next_offset);
        follower->reload_pending = true;
        mb_follower_run(follower);
        return;
    }
    if (page->result != MB_KEYED_OK) {
        handle_failure(follower, page);
        return;
    }
    handle_answer(follower, page);
    follower->next_offset += page->count;
    apply_page(follower, page, true);
    if (follower->newest_only && follower->next_offset < page->end) {
        follower->reload_pending = true;
    }
    if (!follower->reload_pending && follower->next_offset >= page->end) {
        follower->callbacks.caught_up(follower->callbacks.context,
                                      follower->read_start_us);
    }
    /* An answer without records that comes early did not wait for a record;
       this interval limits the rate of such reads. */
    uint64_t read_interval_ms =
        page->count > 0 ? follower->read_interval_ms : MB_FOLLOWER_WAIT_MS / 2;
    follower->next_read_us =
        follower->read_start_us + read_interval_ms * MB_US_PER_MS;
    mb_follower_run(follower);
}

/* Sends the next read, in order or of a page. */
static void
send_read(mb_follower_t *follower)
{
    mb_keyed_read_t read = {.stream = follower->stream, .context = follower};
    bool sent;
    follower->read_start_us = mb_clock_us(&follower->clock);
    follower->read_pending = true;
    follower->reads++;
    if (follower->following) {
        read.from = follower->next_offset;
        /* After a failure, a read without a wait finds out sooner that the log
           is reachable again. */
        read.wait_ms = follower->failures > 0 ? 0 : MB_FOLLOWER_WAIT_MS;
        read.idle_timeout_ms = read.wait_ms + MB_FOLLOWER_TIMEOUT_MS;
        read.done = handle_read;
        sent = follower->log.read(follower->log.context, &read);
    }
    else {
        read.after = mb_buf_view(&follower->last_page_key);
        /* If only the newest records matter, they are few, and are read to
           catch up in time. */
        read.idle_timeout_ms = follower->newest_only
                                   ? MB_FOLLOWER_TIMEOUT_MS
                                   : MB_FOLLOWER_PAGE_TIMEOUT_MS;
        read.done = handle_page;
        sent = follower->log.newest(follower->log.context, &read);
    }
    if (!sent) {
        mb_keyed_page_t page = {.result = MB_KEYED_NOT_DONE};
        follower->read_pending = false;
        handle_failure(follower, &page);
    }
}

/* Sends the next read if it is due. To be called regularly. */
void
mb_follower_run(mb_follower_t *follower)
{
    if (follower->read_pending) {
        return;
    }
    if (follower->reload_pending) {
        start_loading(follower);
    }
    if (mb_clock_us(&follower->clock) >= follower->next_read_us) {
        send_read(follower);
    }
}

/* Reads the newest records again, for a caller that has dropped its state. */
void
mb_follower_reload(mb_follower_t *follower)
{
    follower->loaded = false;
    follower->reload_pending = true;
    mb_follower_run(follower);
}

/* Sets the minimum time, in milliseconds, between two reads in order of which
   the first returns records. */
void
mb_follower_set_read_interval(mb_follower_t *follower,
                              uint32_t read_interval_ms)
{
    follower->read_interval_ms = read_interval_ms;
}

/* Tells that only the newest record of each key matters. Records that were
   superseded before they were read may then be left out, so that the time to
   catch up does not grow with the backlog. The removal of a key is not
   reported if it happened while reads failed. Called before the first
   read. */
void
mb_follower_set_newest_only(mb_follower_t *follower)
{
    follower->newest_only = true;
#ifdef MB_MUTANT_FOLLOWER_READS_SUPERSEDED
    follower->newest_only = false;
#endif
}

/* Returns whether the newest records have been read, and are not to be read
   again. */
bool
mb_follower_loaded(const mb_follower_t *follower)
{
    return follower->loaded && !follower->reload_pending;
}
