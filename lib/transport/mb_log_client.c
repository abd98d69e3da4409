#include "mb_log_client.h"

#include <string.h>
#include <time.h>

#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_clock.h"
#include "mb_log_append.h"
#include "mb_rng.h"

/* Interval of the tick, which checks deadlines and retries, in
   milliseconds. */
#define TICK_MS 50
/* How long the log may delay the response to a read until there is a record,
   in milliseconds. */
#define READ_WAIT_MS 1000
/* Maximum time without a byte of the response to a read, in milliseconds, in
   addition to that wait. */
#define READ_TIMEOUT_MS 3000
/* Delay before a failed read is retried, in milliseconds. */
#define RETRY_DELAY_MS 200
/* Time without a response after which the log counts as unreachable, in
   milliseconds. */
#define UNREACHABLE_AFTER_MS 5000
/* Maximum size of a response of the log, in bytes. */
#define RESPONSE_MAX (16u * 1024u * 1024u)
/* Places in the mailbox for tasks other than appends. */
#define MAILBOX_SPARE 16
/* Polling interval while waiting for open calls to end, in nanoseconds. */
#define CLOSE_POLL_NS 5000000L

/* Returns the monotonic time in milliseconds. */
static uint64_t
now_ms(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_ms(&clock);
}

/* Applies a record that was read and, if this process wrote it, completes its
   append. */
static void
apply_record(void *context, const mb_record_t *record, bool own)
{
    mb_log_client_t *client = context;
    client->replica_callbacks.apply(client->replica_callbacks.context, record,
                                    own);
    if (own) {
        mb_log_append_resolve(client, record->sequence, record->offset,
                              MB_APPEND_REPLAYED);
    }
}

/* Forwards the callback `reset` of the replica to the caller's callbacks. */
static void
reset_state(void *context)
{
    mb_log_client_t *client = context;
    client->replica_callbacks.reset(client->replica_callbacks.context);
}

/* Forwards the callback `load`. */
static bool
load_state(void *context, mb_str_t chunk)
{
    mb_log_client_t *client = context;
    return client->replica_callbacks.load(client->replica_callbacks.context,
                                          chunk);
}

/* Forwards the callback `save`. */
static void
save_state(void *context, void (*emit)(void *emit_context, mb_str_t chunk),
           void *emit_context)
{
    mb_log_client_t *client = context;
    client->replica_callbacks.save(client->replica_callbacks.context, emit,
                                   emit_context);
}

/* Forwards the callback `loaded`, which is optional. */
static void
state_loaded(void *context, uint64_t as_of)
{
    mb_log_client_t *client = context;
    if (client->replica_callbacks.loaded != NULL) {
        client->replica_callbacks.loaded(client->replica_callbacks.context,
                                         as_of);
    }
}

/* Records the time of a response of the log, and sets the clock of the log
   from its Date header. */
void
mb_log_client_note_response(mb_log_client_t *client,
                            const mb_http_result_t *result)
{
    client->last_response_ms = now_ms();
    for (uint32_t i = 0; i < result->headers.count; i++) {
        const mb_header_t *header = &result->headers.items[i];
        if (header->name.len != 4 ||
            g_ascii_strncasecmp(header->name.data, "Date", 4) != 0) {
            continue;
        }
        g_autofree char *text = mb_str_to_cstr(header->value);
        time_t seconds = curl_getdate(text, NULL);
        if (seconds > 0) {
            client->log_clock_ms = (uint64_t)seconds * MB_MS_PER_S;
            client->log_clock_read_ms = client->last_response_ms;
        }
    }
}

/* Returns the time by the clock of the log, or 0 if it is not known. */
uint64_t
mb_log_client_now_ms(const mb_log_client_t *client)
{
    return client->log_clock_ms == 0
               ? 0
               : client->log_clock_ms + now_ms() - client->log_clock_read_ms;
}

/* Starts the replica at the earliest record: at the beginning, or again after
   a gap, when records have expired before they were read. */
static void
start_replica(mb_log_client_t *client, uint64_t earliest)
{
    if (client->replica_started) {
        mb_log_warning(&client->log,
                       "records expired before they were read earliest="
                       "%" G_GUINT64_FORMAT,
                       earliest);
    }
    client->replica_started = true;
    mb_replica_start(&client->replica, earliest);
}

/* Applies the records of a page. A record that can't be decoded is logged and
   skipped. If the page does not continue the records read so far, the replica
   is restarted. */
static void
apply_page(mb_log_client_t *client, const mb_log_page_t *page)
{
    for (uint32_t i = 0; i < page->count; i++) {
        const mb_log_entry_t *entry = &page->entries[i];
        mb_record_t record;
        if (!mb_record_decode(&client->decoder, entry->bytes, &record)) {
            mb_log_error(&client->log,
                         "invalid record skipped offset=%" G_GUINT64_FORMAT,
                         entry->offset);
            mb_replica_skip(&client->replica, entry->offset);
            continue;
        }
        record.offset = entry->offset;
        record.time_ms = entry->time_ms;
        if (mb_replica_feed(&client->replica, &record) == MB_FEED_GAP) {
            start_replica(client, page->earliest);
            return;
        }
    }
}

/* Handles the response to a read. Status 410 means that the requested records
   have expired. Returns false if the read has failed. */
static bool
handle_page(mb_log_client_t *client, const mb_http_result_t *result)
{
    mb_log_page_t page;
    bool ok = result->kind == MB_KIND_COUNT &&
              (result->status == 200 || result->status == 410) &&
              mb_log_page_decode(result->body, &page);
    if (!ok) {
        return false;
    }
    mb_log_client_note_response(client, result);
    if (result->status == 410) {
        start_replica(client, page.earliest);
    }
    else {
        if (!client->replica_started) {
            start_replica(client, 0);
        }
        apply_page(client, &page);
        /* Ready only when all records have been read that the log retained at
           the start, so that an old state is not taken for the present one. */
        if (mb_replica_ready(&client->replica) &&
            client->replica.next >= page.next) {
            mb_atomic_store(&client->ready, 1);
        }
    }
    mb_log_page_finish(&page);
    return true;
}

static void send_read(mb_log_client_t *client);

/* Returns whether the next read may be delayed by the read interval: the
   latest page, which began at offset `before`, was not full, and no append
   waits for its record. Without the delay, a stream with many writers would
   get a response for every single record, whose headers cost more than the
   record. */
static bool
may_delay_read(const mb_log_client_t *client, uint64_t before)
{
    return client->config.read_interval_ms > 0 &&
           mb_atomic_load(&client->ready) != 0 &&
           client->replica.next - before < MB_LOG_PAGE_RECORDS_MAX &&
           mb_atomic_load(&client->free_slots) >= client->config.queue_max;
}

/* Handles the result of a read and starts the next one: at once, after the
   read interval, or after a delay if the read has failed. */
static void
read_done(void *context, const mb_http_result_t *result)
{
    mb_log_client_t *client = context;
    uint64_t before = client->replica.next;
    uint64_t reloads = client->replica.reloads;
    client->read_pending = false;
    (void)mb_atomic_sub(&client->open_calls, 1);
    if (!handle_page(client, result)) {
        client->next_read_ms = now_ms() + RETRY_DELAY_MS;
        return;
    }
    /* The replica has started again because records were missing. Completes
       the appends up to this process's last sequence number in the table of
       writers; the offsets of their records are not known. */
    if (client->replica.reloads != reloads) {
        mb_log_append_resolve(client,
                              mb_replica_own_sequence(&client->replica), 0,
                              MB_APPEND_UNKNOWN);
    }
    if (may_delay_read(client, before)) {
        client->next_read_ms = now_ms() + client->config.read_interval_ms;
    }
    else {
        send_read(client);
    }
    mb_log_append_send(client);
}

/* Sends a read of the next records, unless one is in flight or the client is
   closing. */
static void
send_read(mb_log_client_t *client)
{
    MB_AUTO_BUF mb_buf_t url = {0};
    if (client->read_pending || mb_atomic_load(&client->closing) != 0) {
        return;
    }
    mb_buf_append(&url, mb_buf_view(&client->url));
    mb_buf_printf(&url, "?from=%" G_GUINT64_FORMAT "&max=%u&wait_ms=%u",
                  client->replica.next, MB_LOG_PAGE_RECORDS_MAX, READ_WAIT_MS);
    mb_http_call_t call = {
        .method = MB_STR_LIT("GET"),
        .url = mb_buf_view(&url),
        .body = MB_STR_EMPTY,
        .idle_timeout_ms = READ_WAIT_MS + READ_TIMEOUT_MS,
        .done = read_done,
        .context = client,
    };
    client->read_pending = mb_http_client_call(&client->http, &call);
    if (client->read_pending) {
        (void)mb_atomic_add(&client->open_calls, 1);
    }
    client->next_read_ms = now_ms() + RETRY_DELAY_MS;
}

/* Periodic tick on the thread of the stream: reads, retries and expires
   appends, and writes a snapshot if one is due. A pending append overrides the
   read interval. */
static void
tick(void *context)
{
    mb_log_client_t *client = context;
    uint64_t now = now_ms();
    bool reachable = client->last_response_ms > 0 &&
                     now < client->last_response_ms + UNREACHABLE_AFTER_MS;
    mb_atomic_store(&client->reachable, reachable);
    if (now >= client->next_read_ms ||
        (client->config.read_interval_ms > 0 &&
         mb_atomic_load(&client->free_slots) < client->config.queue_max)) {
        send_read(client);
    }
    mb_log_append_expire(client);
    mb_log_append_send(client);
    mb_log_append_snapshot(client);
    if (client->callbacks.tick != NULL) {
        client->callbacks.tick(client->callbacks.context, reachable,
                               mb_log_client_now_ms(client));
    }
}

/* Initializes the client without starting its thread. `replica_callbacks`
   receive the records on that thread. The views in `config` must outlive the
   client. On failure returns false with the error set. */
bool
mb_log_client_init(mb_log_client_t *client,
                   const mb_log_client_config_t *config,
                   const mb_replica_callbacks_t *replica_callbacks,
                   const mb_log_client_callbacks_t *callbacks,
                   const mb_log_t *log, GError **error)
{
    mb_rng_t rng = mb_rng_system();
    mb_replica_callbacks_t own = {.apply = apply_record,
                                  .reset = reset_state,
                                  .load = load_state,
                                  .save = save_state,
                                  .loaded = state_loaded,
                                  .context = client};
    mb_replica_config_t replica = {config->writer, config->retention_ms,
                                   config->snapshots};
    memset(client, 0, sizeof(*client));
    client->config = *config;
    client->callbacks = *callbacks;
    client->replica_callbacks = *replica_callbacks;
    client->log = mb_log_for(log, "log_client");
    client->free_slots = config->queue_max;
    client->jitter_permille = (uint32_t)mb_rng_below(&rng, 1000);
    mb_buf_printf(&client->url, "http://%.*s/v1/streams/%.*s/records",
                  MB_STR_ARG(config->address), MB_STR_ARG(config->stream));
    g_queue_init(&client->data_queue);
    g_queue_init(&client->snapshot_queue);
    g_queue_init(&client->acknowledged);
    mb_replica_init(&client->replica, &replica, &own, &client->log);
    if (!mb_record_decoder_init(&client->decoder)) {
        mb_error_set(error, MB_KIND_INTERNAL, "log client: out of memory");
        return false;
    }
    if (!mb_loop_init(&client->loop, config->queue_max + MAILBOX_SPARE,
                      error) ||
        !mb_http_client_init(&client->http, &client->loop, 2, RESPONSE_MAX,
                             error)) {
        return false;
    }
    mb_loop_set_tick(&client->loop, TICK_MS, tick, client);
    return true;
}

/* Starts the thread. Returns false with the error set on failure. */
bool
mb_log_client_start(mb_log_client_t *client, GError **error)
{
    return mb_loop_start(&client->loop, error);
}

/* Waits for the open calls, which takes a few seconds if the log does not
   answer, and stops the thread. The loop stays valid until
   mb_log_client_finish. Not called on the thread of the stream. */
void
mb_log_client_stop(mb_log_client_t *client)
{
    struct timespec pause = {0, CLOSE_POLL_NS};
    mb_atomic_store(&client->closing, 1);
    while (client->loop.started && mb_atomic_load(&client->open_calls) > 0) {
        (void)nanosleep(&pause, NULL);
    }
    mb_loop_stop(&client->loop);
}

/* Stops the thread, completes the remaining appends as not written or unknown,
   and releases the client. Nothing may be appended after this. */
void
mb_log_client_finish(mb_log_client_t *client)
{
    mb_log_client_stop(client);
    mb_http_client_finish(&client->http);
    mb_loop_finish(&client->loop);
    mb_log_append_finish(client);
    mb_replica_finish(&client->replica);
    mb_record_decoder_finish(&client->decoder);
    mb_buf_finish(&client->url);
}

/* Returns whether the stream has been read to its end once. Called on any
   thread. */
bool
mb_log_client_ready(const mb_log_client_t *client)
{
    return mb_atomic_load(&client->ready) != 0;
}

/* Returns whether the log has answered lately. Called on any thread. */
bool
mb_log_client_reachable(const mb_log_client_t *client)
{
    return mb_atomic_load(&client->reachable) != 0;
}
