#include "mb_follower.h"

#include <string.h>

/* Prepares a follower that has read nothing. */
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

/* Frees the follower; no read is in progress. */
void
mb_follower_finish(mb_follower_t *follower)
{
    mb_buf_finish(&follower->last_page_key);
}

/* Hands on the records of a page. */
static void
apply_page(mb_follower_t *follower, const mb_keyed_page_t *page, bool in_order)
{
    for (uint32_t i = 0; i < page->count; i++) {
        follower->callbacks.apply(follower->callbacks.context,
                                  &page->records[i], in_order);
    }
}

/* Notes that a read failed and when to read again. */
static void
note_failure(mb_follower_t *follower, mb_keyed_result_t result)
{
    if (!follower->failing) {
        mb_log_warning(&follower->logger,
                       "read failed stream=%.*s result=%s; repeating it",
                       MB_STR_ARG(follower->stream),
                       mb_keyed_result_name(result));
    }
    follower->failing = true;
    follower->retry_us = mb_clock_us(&follower->clock) +
                         MB_FOLLOWER_RETRY_DELAY_MS * MB_US_PER_MS;
}

/* Notes an answer. */
static void
note_answer(mb_follower_t *follower)
{
    if (follower->failing) {
        mb_log_notice(&follower->logger, "read succeeded again stream=%.*s",
                      MB_STR_ARG(follower->stream));
    }
    follower->failing = false;
    follower->last_answer_us = mb_clock_us(&follower->clock);
}

/* Begins with the first page of the newest records. */
static void
begin_loading(mb_follower_t *follower)
{
    follower->following = false;
    follower->reload_pending = false;
    follower->first_page = true;
    mb_buf_clear(&follower->last_page_key);
}

/* Takes a page of the newest records. Reading in order begins at the end that
   the first page named, because later pages may miss what was written since.
 */
static void
page_done(void *context, const mb_keyed_page_t *page)
{
    mb_follower_t *follower = context;
    follower->read_pending = false;
    if (page->result != MB_KEYED_OK) {
        note_failure(follower, page->result);
        return;
    }
    note_answer(follower);
    if (follower->first_page) {
        follower->first_page = false;
        follower->next_offset = page->end;
    }
    apply_page(follower, page, false);
    if (page->count > 0) {
        mb_buf_set(&follower->last_page_key,
                   page->records[page->count - 1].key);
    }
    if (!page->more || page->count == 0) {
        follower->following = true;
        follower->loaded = true;
        mb_log_info(&follower->logger,
                    "newest records read stream=%.*s next_offset=%llu",
                    MB_STR_ARG(follower->stream),
                    (unsigned long long)follower->next_offset);
    }
    mb_follower_run(follower);
}

/* Takes the records of a read in order. */
static void
read_done(void *context, const mb_keyed_page_t *page)
{
    mb_follower_t *follower = context;
    follower->read_pending = false;
    if (page->result == MB_KEYED_TRIMMED) {
        mb_log_notice(&follower->logger,
                      "records were deleted stream=%.*s offset=%llu; reading "
                      "the newest ones",
                      MB_STR_ARG(follower->stream),
                      (unsigned long long)follower->next_offset);
        follower->reload_pending = true;
        mb_follower_run(follower);
        return;
    }
    if (page->result != MB_KEYED_OK) {
        note_failure(follower, page->result);
        return;
    }
    note_answer(follower);
    follower->next_offset += page->count;
    apply_page(follower, page, true);
    if (!follower->reload_pending && follower->next_offset >= page->end) {
        follower->callbacks.caught_up(follower->callbacks.context,
                                      follower->read_start_us);
    }
    /* An answer without records that came early did not wait for one. */
    uint64_t read_interval_ms =
        page->count > 0 ? follower->read_interval_ms : MB_FOLLOWER_WAIT_MS / 2;
    follower->retry_us =
        follower->read_start_us + read_interval_ms * MB_US_PER_MS;
    mb_follower_run(follower);
}

/* Sends the next read. */
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
        /* After a failure the log is asked whether it is back. */
        read.wait_ms = follower->failing ? 0 : MB_FOLLOWER_WAIT_MS;
        read.timeout_ms = read.wait_ms + MB_FOLLOWER_TIMEOUT_MS;
        read.done = read_done;
        sent = follower->log.read(follower->log.context, &read);
    }
    else {
        read.after = mb_buf_view(&follower->last_page_key);
        read.timeout_ms = MB_FOLLOWER_PAGE_TIMEOUT_MS;
        read.done = page_done;
        sent = follower->log.newest(follower->log.context, &read);
    }
    if (!sent) {
        follower->read_pending = false;
        note_failure(follower, MB_KEYED_NOT_DONE);
    }
}

/* Sends the next read when it is due. Called from time to time. */
void
mb_follower_run(mb_follower_t *follower)
{
    if (follower->read_pending) {
        return;
    }
    if (follower->reload_pending) {
        begin_loading(follower);
    }
    if (mb_clock_us(&follower->clock) >= follower->retry_us) {
        send_read(follower);
    }
}

/* Reads the newest records again, for a reader that has lost its state. */
void
mb_follower_reload(mb_follower_t *follower)
{
    follower->loaded = false;
    follower->reload_pending = true;
    mb_follower_run(follower);
}

/* Sets the least time between two reads in order that return records. */
void
mb_follower_set_read_interval(mb_follower_t *follower,
                              uint32_t read_interval_ms)
{
    follower->read_interval_ms = read_interval_ms;
}

/* Tells whether the newest records were read. */
bool
mb_follower_loaded(const mb_follower_t *follower)
{
    return follower->loaded && !follower->reload_pending;
}
