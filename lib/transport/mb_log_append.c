#include "mb_log_append.h"

#include "mb_atomic.h"
#include "mb_clock.h"
#include "mb_rng.h"

/* Time for one attempt, and the pause after one that failed. */
#define APPEND_TIMEOUT_MS 2000
#define RETRY_MS 200

/* One append from the queue to its outcome. */
struct mb_log_append {
    mb_loop_task_t task;
    mb_log_client_t *client;
    mb_record_t record;
    mb_writer_state_t *writer_states;
    mb_buf_t payload;
    mb_buf_t bytes; /* encoded at the first attempt */
    uint64_t deadline_ms;
    uint64_t first_sent_ms;
    bool maybe_written;
    bool replayed;
    mb_append_done_t done; /* NULL once called */
    void *done_context;
};

/* Returns the monotonic time in milliseconds. */
static uint64_t
now_ms(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_ms(&clock);
}

/* Tells the owner of an append its outcome, once. */
static void
report(mb_log_append_t *append, mb_append_result_t result, uint64_t offset)
{
    mb_append_done_t done = append->done;
    append->done = NULL;
    if (done != NULL) {
        done(append->done_context, result, offset);
    }
}

/* Frees an append, whose outcome was reported. */
static void
free_append(mb_log_append_t *append)
{
    if (append->record.type == MB_RECORD_DATA) {
        (void)mb_atomic_add(&append->client->room, 1);
    }
    mb_buf_finish(&append->payload);
    mb_buf_finish(&append->bytes);
    g_free(append->writer_states);
    g_free(append);
}

/* Ends an append with an outcome. */
static void
end_append(mb_log_append_t *append, mb_append_result_t result, uint64_t offset)
{
    report(append, result, offset);
    free_append(append);
}

/* Ends the appends that replay has passed: their records are in the log, and
   `offset` is where when the record itself was read. */
void
mb_log_append_resolve(mb_log_client_t *client, uint64_t sequence,
                      uint64_t offset, mb_append_result_t result)
{
    mb_log_append_t *append = g_queue_peek_head(&client->written);
    while (append != NULL && append->record.sequence <= sequence) {
        (void)g_queue_pop_head(&client->written);
        end_append(append,
                   append->record.sequence == sequence ? result
                                                       : MB_APPEND_UNKNOWN,
                   offset);
        append = g_queue_peek_head(&client->written);
    }
    append = client->current;
    if (append != NULL && append->record.sequence == sequence) {
        report(append, result, offset);
        append->replayed = true;
        /* An attempt in progress still refers to it. */
        if (!client->sending) {
            client->current = NULL;
            free_append(append);
        }
    }
}

/* Takes the result of one attempt to append. */
static void
attempt_done(mb_log_client_t *client, const mb_http_result_t *result)
{
    mb_log_append_t *append = client->current;
    uint64_t offset;
    bool answered = result->kind == MB_KIND_COUNT;
    bool refused = answered && result->status >= 400 && result->status < 500;
    if (append->replayed) {
        client->current = NULL;
        free_append(append);
    }
    else if (answered && result->status == 200 &&
             mb_log_offset_decode(result->body, &offset)) {
        client->current = NULL;
#ifdef MB_MUTANT_WRITE_NOT_READ_BACK
        report(append, MB_APPEND_REPLAYED, offset);
#endif
        g_queue_push_tail(&client->written, append);
    }
    else if (refused && !append->maybe_written) {
        client->current = NULL;
        end_append(append, MB_APPEND_NOT_WRITTEN, 0);
    }
    else {
        bool not_sent = result->kind == MB_KIND_UNAVAILABLE;
        bool outage = answered && result->status == 503;
        append->maybe_written |= !refused && !not_sent && !outage;
        client->send_at_ms = now_ms() + RETRY_MS;
    }
}

/* Goes on after one attempt. */
static void
append_done(void *context, const mb_http_result_t *result)
{
    mb_log_client_t *client = context;
    client->sending = false;
    (void)mb_atomic_sub(&client->open_calls, 1);
    if (result->kind == MB_KIND_COUNT && result->status == 200) {
        mb_log_client_note_answer(client, result);
    }
    attempt_done(client, result);
    mb_log_append_send(client);
}

/* Takes the next append: data before the records of a snapshot, because
   clients wait for data. */
static mb_log_append_t *
take_next(mb_log_client_t *client)
{
    mb_log_append_t *append = g_queue_pop_head(&client->queue);
    if (append == NULL) {
        append = g_queue_pop_head(&client->snapshot);
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

/* Sends the append in turn. Only one is under way at a time, so that the
   sequence numbers of this writer stand in order in the log. */
void
mb_log_append_send(mb_log_client_t *client)
{
    if (client->sending || mb_atomic_load(&client->closing) != 0 ||
        (client->current != NULL && now_ms() < client->send_at_ms) ||
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
    client->sending = mb_http_client_call(&client->http, &call);
    if (client->sending) {
        (void)mb_atomic_add(&client->open_calls, 1);
    }
    else {
        client->send_at_ms = now_ms() + RETRY_MS;
    }
}

/* Takes an append on the thread. */
static void
take_append(mb_loop_task_t *task)
{
    mb_log_append_t *append = (mb_log_append_t *)task;
    mb_log_client_t *client = append->client;
    g_queue_push_tail(&client->queue, append);
    mb_log_append_send(client);
}

/* Queues one data record; see mb_appender_t. */
static bool
queue_append(void *context, mb_str_t payload, uint32_t timeout_ms,
             mb_append_done_t done, void *done_context)
{
    mb_log_client_t *client = context;
    if (payload.len > MB_RECORD_PAYLOAD_MAX ||
        !mb_atomic_take(&client->room)) {
        return false;
    }
    mb_log_append_t *append = g_new0(mb_log_append_t, 1);
    append->task.run = take_append;
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

/* Returns the callback by which others append to this stream. */
mb_appender_t
mb_log_client_appender(mb_log_client_t *client)
{
    return (mb_appender_t){queue_append, client};
}

/* Queues one record of a snapshot. */
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
    g_queue_push_tail(&client->snapshot, append);
}

/* Writes a snapshot when it is this process's turn. */
void
mb_log_append_snapshot(mb_log_client_t *client)
{
    mb_rng_t rng = mb_rng_system();
    uint32_t rank = client->callbacks.rank != NULL
                        ? client->callbacks.rank(client->callbacks.context)
                        : MB_LOG_RANK_NONE;
    uint64_t now = now_ms();
    if (rank == MB_LOG_RANK_NONE || now < client->snapshot_at_ms ||
        mb_atomic_load(&client->ready) == 0 ||
        !g_queue_is_empty(&client->snapshot) ||
        !mb_replica_snapshot_due(&client->replica,
                                 mb_log_client_now_ms(client), rank,
                                 client->jitter_permille)) {
        return;
    }
    /* Time to read the snapshot back before the next is considered. */
    client->snapshot_at_ms =
        now + MAX(client->config.retention_ms / 16, MB_MS_PER_S);
    mb_replica_save(&client->replica, mb_rng_next(&rng), queue_snapshot,
                    client);
    mb_log_info(&client->log, "writes a snapshot as_of=%" G_GUINT64_FORMAT,
                client->replica.next);
    mb_log_append_send(client);
}

/* Ends queued appends whose time ran out; they were never sent. */
static void
expire_queue(mb_log_client_t *client, uint64_t now)
{
    GList *link = client->queue.head;
    while (link != NULL) {
        GList *next = link->next;
        mb_log_append_t *append = link->data;
        if (now >= append->deadline_ms) {
            g_queue_delete_link(&client->queue, link);
            end_append(append, MB_APPEND_NOT_WRITTEN, 0);
        }
        link = next;
    }
}

/* Reports appends whose time ran out. One that may have been written is
   still retried until it is replayed, so that its outcome gets known. */
void
mb_log_append_expire(mb_log_client_t *client)
{
    uint64_t now = now_ms();
    mb_log_append_t *append = client->current;
    expire_queue(client, now);
    for (GList *link = client->written.head; link != NULL; link = link->next) {
        mb_log_append_t *written = link->data;
        if (now >= written->deadline_ms) {
            report(written, MB_APPEND_UNKNOWN, 0);
        }
    }
    if (append != NULL && !client->sending && append->maybe_written &&
        now > append->first_sent_ms + client->config.retention_ms / 2) {
        /* Replay forgets a silent writer after the retention time and would
           then take a late retry for a new record. */
        client->current = NULL;
        end_append(append, MB_APPEND_UNKNOWN, 0);
        return;
    }
    if (append == NULL || now < append->deadline_ms) {
        return;
    }
    if (client->sending || append->maybe_written) {
        /* If the attempt under way certainly fails, the next look drops the
           append. */
        report(append, MB_APPEND_UNKNOWN, 0);
        return;
    }
    client->current = NULL;
    end_append(append, MB_APPEND_NOT_WRITTEN, 0);
}

/* Ends all appends of a queue when the stream closes. */
static void
end_queue(GQueue *queue, mb_append_result_t result)
{
    mb_log_append_t *append;
    while ((append = g_queue_pop_head(queue)) != NULL) {
        end_append(append, result, 0);
    }
}

/* Ends all appends when the stream closes. */
void
mb_log_append_finish(mb_log_client_t *client)
{
    if (client->current != NULL) {
        end_append(client->current,
                   client->current->maybe_written ? MB_APPEND_UNKNOWN
                                                  : MB_APPEND_NOT_WRITTEN,
                   0);
    }
    end_queue(&client->queue, MB_APPEND_NOT_WRITTEN);
    end_queue(&client->snapshot, MB_APPEND_NOT_WRITTEN);
    end_queue(&client->written, MB_APPEND_UNKNOWN);
}
