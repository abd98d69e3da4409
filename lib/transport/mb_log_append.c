#include "mb_log_append.h"

#include "mb_atomic.h"
#include "mb_clock.h"
#include "mb_rng.h"

/* Time-out of one attempt, and the delay before a failed one is retried, in
   milliseconds. */
#define APPEND_TIMEOUT_MS 2000
#define RETRY_DELAY_MS 200

/* One append, from the queue to its outcome. */
struct mb_log_append {
    mb_loop_task_t task;
    mb_log_client_t *client;
    mb_record_t record;
    mb_writer_state_t *writer_states; /* owned copy of those of the record */
    mb_buf_t payload;
    mb_buf_t bytes;       /* the record, encoded at the first attempt */
    uint64_t deadline_ms; /* the outcome is reported by then */
    uint64_t first_sent_ms;
    bool maybe_written;    /* an attempt failed with an unknown result */
    bool replayed;         /* its record was read back during an attempt */
    mb_append_done_t done; /* NULL once called, and for snapshots */
    void *done_context;
};

/* Returns the monotonic time in milliseconds. */
static uint64_t
now_ms(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_ms(&clock);
}

/* Reports the outcome of an append to its caller, unless that has happened
   already. `offset` is valid only for MB_APPEND_REPLAYED. */
static void
report_outcome(mb_log_append_t *append, mb_append_result_t result,
               uint64_t offset)
{
    mb_append_done_t done = append->done;
    append->done = NULL;
    if (done != NULL) {
        done(append->done_context, result, offset);
    }
}

/* Frees an append whose outcome was reported, or that was not accepted. */
static void
free_append(mb_log_append_t *append)
{
    if (append->record.type == MB_RECORD_DATA) {
        (void)mb_atomic_add(&append->client->free_slots, 1);
    }
    mb_buf_finish(&append->payload);
    mb_buf_finish(&append->bytes);
    g_free(append->writer_states);
    g_free(append);
}

/* Reports the outcome of an append and frees it. */
static void
complete_append(mb_log_append_t *append, mb_append_result_t result,
                uint64_t offset)
{
    report_outcome(append, result, offset);
    free_append(append);
}

/* Completes the appends up to a sequence number, because their records are in
   the log: the record with that number was read back at `offset`, or is known
   from the table of writers after a restart of the replica. Only the append
   with that number gets `result`; earlier ones, whose records were not read,
   are completed as unknown. */
void
mb_log_append_resolve(mb_log_client_t *client, uint64_t sequence,
                      uint64_t offset, mb_append_result_t result)
{
    mb_log_append_t *append = g_queue_peek_head(&client->acknowledged);
    while (append != NULL && append->record.sequence <= sequence) {
        (void)g_queue_pop_head(&client->acknowledged);
        complete_append(
            append,
            append->record.sequence == sequence ? result : MB_APPEND_UNKNOWN,
            offset);
        append = g_queue_peek_head(&client->acknowledged);
    }
    append = client->current;
    if (append != NULL && append->record.sequence == sequence) {
        report_outcome(append, result, offset);
        append->replayed = true;
        /* A call in flight still refers to the append; attempt_done frees it
           then. */
        if (!client->attempt_pending) {
            client->current = NULL;
            free_append(append);
        }
    }
}

/* Handles the result of one attempt to append. */
static void
attempt_done(mb_log_client_t *client, const mb_http_result_t *result)
{
    mb_log_append_t *append = client->current;
    uint64_t offset;
    bool answered = result->kind == MB_KIND_COUNT;
    bool rejected = answered && result->status >= 400 && result->status < 500;
    if (append->replayed) {
        client->current = NULL;
        free_append(append);
    }
    else if (answered && result->status == 200 &&
             mb_log_offset_decode(result->body, &offset)) {
        client->current = NULL;
#ifdef MB_MUTANT_WRITE_NOT_READ_BACK
        report_outcome(append, MB_APPEND_REPLAYED, offset);
#endif
        g_queue_push_tail(&client->acknowledged, append);
    }
    else if (rejected && !append->maybe_written) {
        client->current = NULL;
        complete_append(append, MB_APPEND_NOT_WRITTEN, 0);
    }
    else {
        bool not_sent = result->kind == MB_KIND_UNAVAILABLE;
        bool outage = answered && result->status == 503;
        append->maybe_written |= !rejected && !not_sent && !outage;
        client->next_attempt_ms = now_ms() + RETRY_DELAY_MS;
    }
}

/* Called at the end of an attempt: handles the result and sends the next
   append. */
static void
append_done(void *context, const mb_http_result_t *result)
{
    mb_log_client_t *client = context;
    client->attempt_pending = false;
    (void)mb_atomic_sub(&client->open_calls, 1);
    if (result->kind == MB_KIND_COUNT && result->status == 200) {
        mb_log_client_note_response(client, result);
    }
    attempt_done(client, result);
    mb_log_append_send(client);
}

/* Takes the next append from the queues and encodes its record; NULL if there
   is none. Data precedes the records of a snapshot, because clients wait for
   it. */
static mb_log_append_t *
take_next(mb_log_client_t *client)
{
    mb_log_append_t *append = g_queue_pop_head(&client->data_queue);
    if (append == NULL) {
        append = g_queue_pop_head(&client->snapshot_queue);
    }
    if (append != NULL) {
        append->first_sent_ms = now_ms();
        append->record.writer = client->config.writer;
        append->record.sequence = ++client->sequence;
        append->record.payload = mb_buf_view(&append->payload);
        append->record.writer_states = append->writer_states;
        mb_record_encode(&append->bytes, &append->record);
    }
    return append;
}

/* Sends the current append, or the next one, unless an attempt is in flight or
   a retry is not due yet. Only one append is sent at a time, so that the
   sequence numbers of this writer ascend in the log. */
void
mb_log_append_send(mb_log_client_t *client)
{
    if (client->attempt_pending || mb_atomic_load(&client->closing) != 0 ||
        (client->current != NULL && now_ms() < client->next_attempt_ms) ||
        !mb_replica_ready(&client->replica)) {
        return;
    }
    if (client->current == NULL) {
        client->current = take_next(client);
    }
    if (client->current == NULL) {
        return;
    }
    mb_http_call_t call = {
        .method = MB_STR_LIT("POST"),
        .url = mb_buf_view(&client->url),
        .body = mb_buf_view(&client->current->bytes),
        .timeout_ms = APPEND_TIMEOUT_MS,
        .done = append_done,
        .context = client,
    };
    client->attempt_pending = mb_http_client_call(&client->http, &call);
    if (client->attempt_pending) {
        (void)mb_atomic_add(&client->open_calls, 1);
    }
    else {
        client->next_attempt_ms = now_ms() + RETRY_DELAY_MS;
    }
}

/* Queues a posted append, on the thread of the stream. */
static void
run_append_task(mb_loop_task_t *task)
{
    mb_log_append_t *append = (mb_log_append_t *)task;
    mb_log_client_t *client = append->client;
    g_queue_push_tail(&client->data_queue, append);
    mb_log_append_send(client);
}

/* Queues one data record. Called on any thread; implements
   mb_appender_t.append. */
static bool
queue_append(void *context, mb_str_t payload, uint32_t timeout_ms,
             mb_append_done_t done, void *done_context)
{
    mb_log_client_t *client = context;
    if (payload.len > MB_RECORD_PAYLOAD_MAX ||
        !mb_atomic_dec_if_positive(&client->free_slots)) {
        return false;
    }
    mb_log_append_t *append = g_new0(mb_log_append_t, 1);
    append->task.run = run_append_task;
    append->client = client;
    append->record.type = MB_RECORD_DATA;
    append->deadline_ms = now_ms() + timeout_ms;
    append->done = done;
    append->done_context = done_context;
    mb_buf_set(&append->payload, payload);
    if (!mb_loop_post(&client->loop, &append->task)) {
        free_append(append);
        return false;
    }
    return true;
}

/* Returns the callback that appends to this stream. It may be used until
   mb_log_client_finish. */
mb_appender_t
mb_log_client_appender(mb_log_client_t *client)
{
    return (mb_appender_t){queue_append, client};
}

/* Queues a copy of one record of a snapshot. */
static void
queue_snapshot(void *context, const mb_record_t *record)
{
    mb_log_client_t *client = context;
    mb_log_append_t *append = g_new0(mb_log_append_t, 1);
    append->client = client;
    append->record = *record;
    append->writer_states =
        g_memdup2(record->writer_states,
                  record->writer_state_count * sizeof(*append->writer_states));
    append->deadline_ms = UINT64_MAX;
    mb_buf_set(&append->payload, record->payload);
    g_queue_push_tail(&client->snapshot_queue, append);
}

/* Writes a snapshot if one is due and this process is the one to write it. */
void
mb_log_append_snapshot(mb_log_client_t *client)
{
    mb_rng_t rng = mb_rng_system();
    uint32_t rank = client->callbacks.rank != NULL
                        ? client->callbacks.rank(client->callbacks.context)
                        : MB_LOG_RANK_NONE;
    uint64_t now = now_ms();
    if (rank == MB_LOG_RANK_NONE || now < client->next_snapshot_ms ||
        mb_atomic_load(&client->ready) == 0 ||
        !g_queue_is_empty(&client->snapshot_queue) ||
        !mb_replica_snapshot_due(&client->replica,
                                 mb_log_client_now_ms(client), rank,
                                 client->jitter_permille)) {
        return;
    }
    /* Leaves time to read this snapshot back before the next one is
       considered. */
    client->next_snapshot_ms =
        now + MAX(client->config.retention_ms / 16, MB_MS_PER_S);
    mb_replica_save(&client->replica, mb_rng_next(&rng), queue_snapshot,
                    client);
    mb_log_info(&client->log, "writing a snapshot as_of=%" G_GUINT64_FORMAT,
                client->replica.next);
    mb_log_append_send(client);
}

/* Completes the queued appends whose deadline has passed as not written: they
   were never sent. */
static void
expire_queue(mb_log_client_t *client, uint64_t now)
{
    GList *link = client->data_queue.head;
    while (link != NULL) {
        GList *next = link->next;
        mb_log_append_t *append = link->data;
        if (now >= append->deadline_ms) {
            g_queue_delete_link(&client->data_queue, link);
            complete_append(append, MB_APPEND_NOT_WRITTEN, 0);
        }
        link = next;
    }
}

/* Reports the appends whose deadline has passed. One that may have been
   written is reported as unknown, but is still retried until it is read back,
   so that its outcome becomes known. */
void
mb_log_append_expire(mb_log_client_t *client)
{
    uint64_t now = now_ms();
    mb_log_append_t *append = client->current;
    expire_queue(client, now);
    for (GList *link = client->acknowledged.head; link != NULL;
         link = link->next) {
        mb_log_append_t *written = link->data;
        if (now >= written->deadline_ms) {
            report_outcome(written, MB_APPEND_UNKNOWN, 0);
        }
    }
    if (append != NULL && !client->attempt_pending && append->maybe_written &&
        now > append->first_sent_ms + client->config.retention_ms / 2) {
        /* Give up: replay drops the state of a writer that was silent for the
           retention time, and would then apply a late retry as a new
           record. */
        client->current = NULL;
        complete_append(append, MB_APPEND_UNKNOWN, 0);
        return;
    }
    if (append == NULL || now < append->deadline_ms) {
        return;
    }
    if (client->attempt_pending || append->maybe_written) {
        /* If the attempt in flight fails without having written the record,
           the next tick completes the append. */
        report_outcome(append, MB_APPEND_UNKNOWN, 0);
        return;
    }
    client->current = NULL;
    complete_append(append, MB_APPEND_NOT_WRITTEN, 0);
}

/* Completes all appends of a queue when the stream is closed. */
static void
complete_queue(GQueue *queue, mb_append_result_t result)
{
    mb_log_append_t *append;
    while ((append = g_queue_pop_head(queue)) != NULL) {
        complete_append(append, result, 0);
    }
}

/* Completes all appends when the stream is closed: as unknown if their record
   may be in the log. */
void
mb_log_append_finish(mb_log_client_t *client)
{
    if (client->current != NULL) {
        complete_append(client->current,
                        client->current->maybe_written ? MB_APPEND_UNKNOWN
                                                       : MB_APPEND_NOT_WRITTEN,
                        0);
    }
    complete_queue(&client->data_queue, MB_APPEND_NOT_WRITTEN);
    complete_queue(&client->snapshot_queue, MB_APPEND_NOT_WRITTEN);
    complete_queue(&client->acknowledged, MB_APPEND_UNKNOWN);
}
