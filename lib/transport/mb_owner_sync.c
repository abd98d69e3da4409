/* Sync requests to workers over HTTP, on the thread of the shard. */
#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_owner_shard.h"
#include "mb_worker_msg.h"

/* Initial size of the memory for decoding a response, in bytes. */
#define ZONE_BYTES 8192

/* The context of the requests to one worker, of which at most one is in
   flight. */
typedef struct sync_call {
    mb_owner_shard_t *owner;
    uint64_t worker;
} sync_call_t;

/* Frees a sync_call_t. */
void
mb_owner_sync_free(gpointer call)
{
    g_free(call);
}

/* Decodes a response and passes it to the shard. Returns false if there was no
   response or it is invalid. */
static bool
handle_response(const sync_call_t *call, const mb_http_result_t *result)
{
    mb_owner_shard_t *owner = call->owner;
    msgpack_zone zone;
    bool valid = false;
    if (result->kind != MB_KIND_COUNT || result->status != 200 ||
        !msgpack_zone_init(&zone, ZONE_BYTES)) {
        return false;
    }
    valid = mb_worker_msg_decode_response(&zone, result->body,
                                          &owner->response, NULL);
    if (valid) {
        mb_shard_handle_sync_response(owner->shard, call->worker,
                                      &owner->response);
    }
    msgpack_zone_destroy(&zone);
    return valid;
}

/* Handles the result of a request to a worker. */
static void
sync_done(void *context, const mb_http_result_t *result)
{
    sync_call_t *call = context;
    mb_owner_shard_t *owner = call->owner;
    (void)mb_atomic_sub(&owner->open_syncs, 1);
    if (!handle_response(call, result)) {
        mb_counter_add(owner->node->metrics.sync_failures, 1);
        mb_shard_handle_sync_failure(owner->shard, call->worker);
    }
    mb_loop_defer(&owner->client.loop, &owner->deferred_tick);
}

/* Finds or creates the context of the requests to a worker. It lives as long
   as the shard. */
static sync_call_t *
find_or_add_call(mb_owner_shard_t *owner, uint64_t worker)
{
    sync_call_t *call = g_hash_table_lookup(owner->sync_calls, &worker);
    if (call == NULL) {
        call = g_new0(sync_call_t, 1);
        call->owner = owner;
        call->worker = worker;
        (void)g_hash_table_insert(owner->sync_calls, &call->worker, call);
    }
    return call;
}

/* Sends a sync request to a worker; implements mb_shard_callbacks_t.sync. The
   call is not marked idempotent, so that libcurl does not repeat it: a second
   copy would extend the worker's lease beyond the time that the owner assumes.
   A request that can't be sent is reported by mb_owner_sync_report_unsent. */
void
mb_owner_sync_send(void *context, uint64_t worker, mb_str_t address,
                   const mb_sync_request_t *request)
{
    MB_AUTO_BUF mb_buf_t url = {0};
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_owner_shard_t *owner = context;
    mb_buf_printf(&url, "http://%.*s/v1/sync", MB_STR_ARG(address));
    mb_worker_msg_encode_request(&body, request);
    mb_http_call_t call = {
        .method = MB_STR_LIT("POST"),
        .url = mb_buf_view(&url),
        .body = mb_buf_view(&body),
        .timeout_ms = owner->node->config.worker_lease_ms / 2,
        .done = sync_done,
        .context = find_or_add_call(owner, worker),
    };
    mb_counter_add(owner->node->metrics.syncs, 1);
    if (mb_atomic_load(&owner->closing) == 0 &&
        mb_http_client_call(&owner->http, &call)) {
        (void)mb_atomic_add(&owner->open_syncs, 1);
        return;
    }
    (void)g_array_append_val(owner->unsent_syncs, worker);
}

/* Reports to the shard the requests that could not be sent. Called outside the
   callbacks of the shard, which must not be re-entered. */
void
mb_owner_sync_report_unsent(mb_owner_shard_t *owner)
{
    for (guint i = 0; i < owner->unsent_syncs->len; i++) {
        mb_counter_add(owner->node->metrics.sync_failures, 1);
        mb_shard_handle_sync_failure(
            owner->shard, g_array_index(owner->unsent_syncs, uint64_t, i));
    }
    g_array_set_size(owner->unsent_syncs, 0);
}
