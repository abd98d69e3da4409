/* The exchange with workers over HTTP. */
#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_owner_shard.h"
#include "mb_worker_msg.h"

/* First size of the memory for decoding, in bytes. */
#define ZONE_BYTES 8192

/* The exchange with one worker; at most one is under way. */
typedef struct sync_call {
    mb_owner_shard_t *owner;
    uint64_t worker;
} sync_call_t;

/* Frees the context of a worker's exchanges. */
void
mb_owner_sync_free(gpointer call)
{
    g_free(call);
}

/* Decodes an answer and hands it to the shard; false when it is none. */
static bool
take_answer(const sync_call_t *call, const mb_http_result_t *result)
{
    mb_owner_shard_t *owner = call->owner;
    msgpack_zone zone;
    bool good = false;
    if (result->kind != MB_KIND_COUNT || result->status != 200 ||
        !msgpack_zone_init(&zone, ZONE_BYTES)) {
        return false;
    }
    good = mb_worker_msg_decode_response(&zone, result->body, &owner->response,
                                         NULL);
    if (good) {
        mb_shard_handle_sync_response(owner->shard, call->worker,
                                      &owner->response);
    }
    msgpack_zone_destroy(&zone);
    return good;
}

/* Takes the end of an exchange. */
static void
sync_done(void *context, const mb_http_result_t *result)
{
    sync_call_t *call = context;
    mb_owner_shard_t *owner = call->owner;
    (void)mb_atomic_sub(&owner->open_syncs, 1);
    if (!take_answer(call, result)) {
        mb_counter_add(owner->node->metrics.sync_failures, 1);
        mb_shard_handle_sync_failure(owner->shard, call->worker);
    }
    mb_loop_defer(&owner->client.loop, &owner->deferred_tick);
}

/* Returns the context of a worker's exchanges. */
static sync_call_t *
reach_call(mb_owner_shard_t *owner, uint64_t worker)
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

/* Sends a request. libcurl may not repeat it: a second copy would extend the
   worker's lease beyond the time that the owner counts. */
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
        .context = reach_call(owner, worker),
    };
    mb_counter_add(owner->node->metrics.syncs, 1);
    if (mb_atomic_load(&owner->closing) == 0 &&
        mb_http_client_call(&owner->http, &call)) {
        (void)mb_atomic_add(&owner->open_syncs, 1);
        return;
    }
    (void)g_array_append_val(owner->unsent_syncs, worker);
}

/* Reports the requests that could not be sent, outside the shard's call. */
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
