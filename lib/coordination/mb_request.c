#include "mb_request.h"

#include "mb_assert.h"

/* Initializes an empty table. */
void
mb_request_table_init(mb_request_table_t *table, const mb_clock_t *clock,
                      const mb_request_callbacks_t *callbacks)
{
    table->clock = *clock;
    table->callbacks = *callbacks;
    table->open = g_hash_table_new(g_int64_hash, g_int64_equal);
}

/* Releases the table; the requests belong to the caller. */
void
mb_request_table_finish(mb_request_table_t *table)
{
    g_hash_table_unref(table->open);
}

/* Adds an attempt whose REQUEST is being sent. The id must be new.
   A non-idempotent request must not be passed if an earlier attempt may have
   run. */
void
mb_request_begin_attempt(mb_request_table_t *table, mb_open_request_t *open,
                         const mb_request_id_t *id, const void *peer)
{
    MB_INVARIANT(open->idempotent || !open->may_have_run,
                 "not_repeated_without_proof");
    open->id = *id;
    open->peer = peer;
    open->has_partial_response = false;
    open->attempts++;
    (void)g_hash_table_insert(table->open, &open->id.counter, open);
}

/* Finds an open attempt; NULL if it is no longer open. The table is keyed by
   the counter alone, so the whole id is compared. */
static mb_open_request_t *
find_open(mb_request_table_t *table, const mb_request_id_t *id)
{
    mb_open_request_t *open = g_hash_table_lookup(table->open, &id->counter);
#ifndef MB_MUTANT_ANSWER_ID_NOT_CHECKED
    if (open != NULL && !mb_request_id_equal(&open->id, id)) {
        return NULL;
    }
#endif
    return open;
}

/* Removes a request from the table. */
static void
remove_open(mb_request_table_t *table, mb_open_request_t *open)
{
    (void)g_hash_table_remove(table->open, &open->id.counter);
}

/* Returns the error kind to report to the client. A kind that states that the
   request was not run would be wrong if an earlier attempt may have run; it is
   replaced by UNKNOWN_OUTCOME. */
mb_kind_t
mb_open_request_error_kind(const mb_open_request_t *open, mb_kind_t kind)
{
    if (open->may_have_run && !mb_kind_info(kind)->may_have_run) {
        return MB_KIND_UNKNOWN_OUTCOME;
    }
    return kind;
}

/* Removes a request from the table and answers the client with an error. */
static void
fail(mb_request_table_t *table, mb_open_request_t *open, mb_kind_t kind)
{
    remove_open(table, open);
    table->callbacks.fail(table->callbacks.context, open,
                          mb_open_request_error_kind(open, kind));
}

/* Returns whether another attempt is allowed, and if so takes it from the
   retry budget. */
static bool
may_retry(mb_request_table_t *table, const mb_open_request_t *open)
{
    return open->attempts < MB_REQUEST_ATTEMPTS_MAX &&
           open->deadline_us > mb_clock_us(&table->clock) &&
           table->callbacks.spend_retry(table->callbacks.context);
}

/* Removes a request from the table and makes another attempt elsewhere;
   without another link the client gets `fallback_kind`. */
static void
retry(mb_request_table_t *table, mb_open_request_t *open,
      mb_kind_t fallback_kind)
{
    remove_open(table, open);
    table->callbacks.retry(table->callbacks.context, open, fallback_kind);
}

/* Handles a part of a response. Returns its request, which has been removed
   from the table if this was the last part, or NULL when the attempt is no
   longer open and the response must be dropped. */
mb_open_request_t *
mb_request_handle_response(mb_request_table_t *table,
                           const mb_request_id_t *id, bool last)
{
    mb_open_request_t *open = find_open(table, id);
    if (open == NULL) {
        return NULL;
    }
#ifndef MB_MUTANT_PART_NOT_NOTED
    open->has_partial_response = true;
#endif
    if (last) {
        remove_open(table, open);
    }
    return open;
}

/* Ends an open request with an error found by the caller. */
void
mb_request_abort(mb_request_table_t *table, mb_open_request_t *open,
                 mb_kind_t kind)
{
    fail(table, open, kind);
}

/* Handles the proof that an attempt was not run and will not be: retries the
   request, or fails it with the reason of the refusal. A reason that would
   tell the client that the request may have run becomes UNAVAILABLE. */
void
mb_request_handle_refusal(mb_request_table_t *table, const mb_request_id_t *id,
                          mb_kind_t reason)
{
    mb_open_request_t *open = find_open(table, id);
    if (open == NULL) {
        return;
    }
    mb_kind_t kind =
        mb_kind_info(reason)->may_have_run ? MB_KIND_UNAVAILABLE : reason;
    if (may_retry(table, open)) {
        retry(table, open, kind);
        return;
    }
    fail(table, open, kind);
}

/* Ends an attempt without proof of whether it ran: an idempotent request is
   retried, another one fails with UNKNOWN_OUTCOME. */
static void
end_with_unknown_outcome(mb_request_table_t *table, mb_open_request_t *open)
{
#ifdef MB_MUTANT_RETRY_WITHOUT_PROOF
    if (may_retry(table, open)) {
        retry(table, open, MB_KIND_UNKNOWN_OUTCOME);
        return;
    }
#endif
    open->may_have_run = true;
    if (open->idempotent && may_retry(table, open)) {
        retry(table, open, MB_KIND_UNKNOWN_OUTCOME);
        return;
    }
    fail(table, open, MB_KIND_UNKNOWN_OUTCOME);
}

/* Handles the answer to an outcome query. An attempt that is running or
   finished stays open until its response arrives. */
void
mb_request_handle_outcome(mb_request_table_t *table, const mb_request_id_t *id,
                          mb_outcome_state_t state)
{
    mb_open_request_t *open = find_open(table, id);
    if (open == NULL) {
        return;
    }
    if (state == MB_OUTCOME_REFUSED) {
        mb_request_handle_refusal(table, id, MB_KIND_UNAVAILABLE);
    }
    else if (state == MB_OUTCOME_UNKNOWN) {
        end_with_unknown_outcome(table, open);
    }
}

/* Collects the requests whose attempt is at a sidecar; all for NULL. The
   caller releases the array. */
static GPtrArray *
collect_open(mb_request_table_t *table, const void *peer)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->open);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_open_request_t *open = value;
        if (peer == NULL || open->peer == peer) {
            g_ptr_array_add(found, open);
        }
    }
    return found;
}

/* Handles the loss of a sidecar's last link. Requests with a partial response
   fail, idempotent ones are retried if that is allowed, and the others stay
   open in case the sidecar comes back and reports their outcome. */
void
mb_request_link_lost(mb_request_table_t *table, const void *peer)
{
    g_autoptr(GPtrArray) found = collect_open(table, peer);
    for (guint i = 0; i < found->len; i++) {
        mb_open_request_t *open = g_ptr_array_index(found, i);
        if (open->has_partial_response) {
            fail(table, open, MB_KIND_UPSTREAM_FAILED);
        }
        else if (open->idempotent && may_retry(table, open)) {
            open->may_have_run = true;
            retry(table, open, MB_KIND_UNKNOWN_OUTCOME);
        }
    }
}

/* Queries the outcome of all open attempts at a sidecar over its new link,
   because messages in flight on the old link may be lost. A partial response
   from the old link can't be continued, so its request fails. */
void
mb_request_link_replaced(mb_request_table_t *table, const void *peer)
{
    g_autoptr(GPtrArray) found = collect_open(table, peer);
    mb_outcome_ask_t ask;
    ask.count = 0;
    for (guint i = 0; i < found->len; i++) {
        mb_open_request_t *open = g_ptr_array_index(found, i);
        if (open->has_partial_response) {
            fail(table, open, MB_KIND_UPSTREAM_FAILED);
        }
        else {
            ask.ids[ask.count++] = open->id;
        }
        if (ask.count == MB_OUTCOME_IDS_MAX ||
            (ask.count > 0 && i + 1 == found->len)) {
            table->callbacks.send_outcome_ask(table->callbacks.context, peer,
                                              &ask);
            ask.count = 0;
        }
    }
}

/* Ends all attempts at a sidecar that will not come back. */
void
mb_request_peer_gone(mb_request_table_t *table, const void *peer)
{
    g_autoptr(GPtrArray) found = collect_open(table, peer);
    for (guint i = 0; i < found->len; i++) {
        mb_open_request_t *open = g_ptr_array_index(found, i);
        if (open->has_partial_response) {
            fail(table, open, MB_KIND_UPSTREAM_FAILED);
        }
        else {
            end_with_unknown_outcome(table, open);
        }
    }
}

/* Cancels and fails the requests whose deadline has passed; responses that
   arrive later are dropped, as the attempt is no longer open. */
void
mb_request_tick(mb_request_table_t *table)
{
    uint64_t now_us = mb_clock_us(&table->clock);
    g_autoptr(GPtrArray) found = collect_open(table, NULL);
    for (guint i = 0; i < found->len; i++) {
        mb_open_request_t *open = g_ptr_array_index(found, i);
        if (open->deadline_us <= now_us) {
            table->callbacks.send_cancel(table->callbacks.context, open->peer,
                                         &open->id);
            fail(table, open, MB_KIND_UNKNOWN_OUTCOME);
        }
    }
}
