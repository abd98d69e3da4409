#include "mb_request.h"

#include "mb_assert.h"

/* Starts with no open request. */
void
mb_request_table_init(mb_request_table_t *table, const mb_clock_t *clock,
                      const mb_request_callbacks_t *callbacks)
{
    table->clock = *clock;
    table->callbacks = *callbacks;
    table->open = g_hash_table_new(g_int64_hash, g_int64_equal);
}

/* Frees the table; the requests belong to the caller. */
void
mb_request_table_finish(mb_request_table_t *table)
{
    g_hash_table_unref(table->open);
}

/* Enters an attempt whose REQUEST is about to be sent. The id must be new.
   A non-idempotent request whose earlier attempt may have run must not come
   here. */
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

/* Finds an open attempt; NULL for a late answer. */
static mb_open_request_t *
find(mb_request_table_t *table, const mb_request_id_t *id)
{
    mb_open_request_t *open = g_hash_table_lookup(table->open, &id->counter);
#ifndef MB_MUTANT_ANSWER_ID_NOT_CHECKED
    if (open != NULL && !mb_request_id_equal(&open->id, id)) {
        return NULL;
    }
#endif
    return open;
}

/* Takes a request out of the table. */
static void
take(mb_request_table_t *table, mb_open_request_t *open)
{
    (void)g_hash_table_remove(table->open, &open->id.counter);
}

/* Returns what a client is told: a kind that promises that nothing ran is
   not true when an earlier attempt may have run. */
mb_kind_t
mb_open_request_error_kind(const mb_open_request_t *open, mb_kind_t kind)
{
    if (open->may_have_run && !mb_kind_answer(kind)->may_have_run) {
        return MB_KIND_UNKNOWN_OUTCOME;
    }
    return kind;
}

/* Answers the client with a failure. */
static void
fail(mb_request_table_t *table, mb_open_request_t *open, mb_kind_t kind)
{
    take(table, open);
    table->callbacks.fail(table->callbacks.context, open,
                          mb_open_request_error_kind(open, kind));
}

/* Tells whether another attempt is allowed; spends one of the budget. */
static bool
may_retry(mb_request_table_t *table, const mb_open_request_t *open)
{
    return open->attempts < MB_REQUEST_ATTEMPTS_MAX &&
           open->deadline_us > mb_clock_us(&table->clock) &&
           table->callbacks.spend_retry(table->callbacks.context);
}

/* Makes another attempt elsewhere. */
static void
retry(mb_request_table_t *table, mb_open_request_t *open,
      mb_kind_t fallback_kind)
{
    take(table, open);
    table->callbacks.retry(table->callbacks.context, open, fallback_kind);
}

/* Takes a part of a response. Returns its request, which has left the table
   with the last part, or NULL when the answer is late and to be dropped. */
mb_open_request_t *
mb_request_handle_response(mb_request_table_t *table,
                           const mb_request_id_t *id, bool last)
{
    mb_open_request_t *open = find(table, id);
    if (open == NULL) {
        return NULL;
    }
#ifndef MB_MUTANT_PART_NOT_NOTED
    open->has_partial_response = true;
#endif
    if (last) {
        take(table, open);
    }
    return open;
}

/* Ends an open request with a failure that the caller found. */
void
mb_request_abort(mb_request_table_t *table, mb_open_request_t *open,
                 mb_kind_t kind)
{
    fail(table, open, kind);
}

/* Takes the proof that an attempt was not run and will not be. */
void
mb_request_handle_refusal(mb_request_table_t *table, const mb_request_id_t *id,
                          mb_kind_t reason)
{
    mb_open_request_t *open = find(table, id);
    if (open == NULL) {
        return;
    }
    mb_kind_t kind =
        mb_kind_answer(reason)->may_have_run ? MB_KIND_UNAVAILABLE : reason;
    if (may_retry(table, open)) {
        retry(table, open, kind);
        return;
    }
    fail(table, open, kind);
}

/* Ends an attempt that may have run: an idempotent request is tried
   elsewhere, another one fails. */
static void
end_without_proof(mb_request_table_t *table, mb_open_request_t *open)
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

/* Takes the answer to an outcome query. A running or finished attempt waits
   for its response. */
void
mb_request_handle_outcome(mb_request_table_t *table, const mb_request_id_t *id,
                          mb_outcome_state_t state)
{
    mb_open_request_t *open = find(table, id);
    if (open == NULL) {
        return;
    }
    if (state == MB_OUTCOME_REFUSED) {
        mb_request_handle_refusal(table, id, MB_KIND_UNAVAILABLE);
    }
    else if (state == MB_OUTCOME_UNKNOWN) {
        end_without_proof(table, open);
    }
}

/* Collects the requests whose attempt is at a sidecar, or all for NULL. */
static GPtrArray *
open_at(mb_request_table_t *table, const void *peer)
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

/* Settles what can be settled when a sidecar's last link is lost. A response
   that came in part fails, an idempotent request is tried elsewhere, and the
   others wait for the sidecar to come back. */
void
mb_request_link_lost(mb_request_table_t *table, const void *peer)
{
    g_autoptr(GPtrArray) found = open_at(table, peer);
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

/* Asks for the outcome of all open attempts at a sidecar on its new link;
   what was in flight on the old one may be lost. A response that came in
   part on the old link can't be continued and fails. */
void
mb_request_link_replaced(mb_request_table_t *table, const void *peer)
{
    g_autoptr(GPtrArray) found = open_at(table, peer);
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

/* Settles everything at a sidecar that will not come back. */
void
mb_request_peer_gone(mb_request_table_t *table, const void *peer)
{
    g_autoptr(GPtrArray) found = open_at(table, peer);
    for (guint i = 0; i < found->len; i++) {
        mb_open_request_t *open = g_ptr_array_index(found, i);
        if (open->has_partial_response) {
            fail(table, open, MB_KIND_UPSTREAM_FAILED);
        }
        else {
            end_without_proof(table, open);
        }
    }
}

/* Fails the requests whose deadline has passed; their late answers will find
   nothing open. */
void
mb_request_tick(mb_request_table_t *table)
{
    uint64_t now_us = mb_clock_us(&table->clock);
    g_autoptr(GPtrArray) found = open_at(table, NULL);
    for (guint i = 0; i < found->len; i++) {
        mb_open_request_t *open = g_ptr_array_index(found, i);
        if (open->deadline_us <= now_us) {
            table->callbacks.send_cancel(table->callbacks.context, open->peer,
                                         &open->id);
            fail(table, open, MB_KIND_UNKNOWN_OUTCOME);
        }
    }
}
