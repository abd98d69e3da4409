#include "mb_owner_shard.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <time.h>

#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_shard_record.h"
#include "mb_worker_msg.h"

/* Maximum number of queued appends and tasks of the loop. At most one record
   is in flight; the other places are for queries of operators. */
#define QUEUE_MAX 256
/* Polling interval while stopping, in nanoseconds. */
#define STOP_POLL_NS 5000000L
/* Maximum number of connections to workers: one for each. */
#define CONNECTIONS_MAX MB_SHARD_WORKERS_MAX

/* Publishes the phase of the lease after a tick, updates the gauge of owned
   shards and counts takeovers. */
static void
update_phase(mb_owner_shard_t *owner)
{
    mb_owner_node_t *node = owner->node;
    mb_lease_phase_t phase = mb_shard_phase(owner->shard);
    bool is_owner = phase == MB_LEASE_OWNER;
    mb_atomic_store(&owner->phase, phase);
    if (is_owner == owner->was_owner) {
        return;
    }
    owner->was_owner = is_owner;
    if (is_owner) {
        mb_counter_add(node->metrics.takeovers, 1);
        mb_gauge_set(node->metrics.owned, mb_atomic_add(&node->owned, 1) + 1);
    }
    else {
        mb_gauge_set(node->metrics.owned, mb_atomic_sub(&node->owned, 1) - 1);
    }
}

/* Sets the timer to a time of the monotonic clock, in microseconds. */
static void
arm_timer(mb_owner_shard_t *owner, uint64_t at_us)
{
    struct itimerspec spec = {
        .it_value = {(time_t)(at_us / MB_US_PER_S),
                     (long)(at_us % MB_US_PER_S) * 1000L}};
    (void)timerfd_settime(owner->timer.fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

/* Performs the work of the shard that is due and sets the timer for the next
   tick. Deferred, so that it runs once after each batch of events. Failures to
   send or append are reported here, because the shard must not be called from
   inside its own callbacks. */
static void
tick_shard(void *context)
{
    mb_owner_shard_t *owner = context;
    if (!owner->ready || mb_atomic_load(&owner->closing) != 0) {
        return;
    }
    uint64_t next = mb_shard_tick(owner->shard);
    mb_owner_sync_report_unsent(owner);
    if (owner->append_failed) {
        owner->append_failed = false;
        owner->in_flight = false;
        mb_shard_append_outcome_unknown(owner->shard);
    }
    update_phase(owner);
    arm_timer(owner, next);
}

/* Called when the timer has expired. */
static void
timer_ready(void *context, uint32_t events)
{
    mb_owner_shard_t *owner = context;
    uint64_t count;
    (void)events;
    (void)!read(owner->timer.fd, &count, sizeof(count));
    mb_loop_defer(&owner->client.loop, &owner->deferred_tick);
}

/* Counts the record in flight in the metrics, once it has been read back. */
static void
count_record(const mb_owner_shard_t *owner)
{
    const mb_owner_metrics_t *metrics = &owner->node->metrics;
    switch (owner->record_type) {
    case MB_SHARD_CLAIM:
        mb_counter_add(metrics->claims, 1);
        break;
    case MB_SHARD_STARTS:
        mb_counter_add(metrics->starts, owner->record_count);
        break;
    case MB_SHARD_FINISHES:
        mb_counter_add(metrics->finishes, owner->record_count);
        break;
    case MB_SHARD_RELEASE:
        mb_counter_add(metrics->releases, owner->record_count);
        break;
    case MB_SHARD_RENEW:
    case MB_SHARD_CLOSE:
    case MB_SHARD_RECORD_TYPE_COUNT:
        break;
    }
    if (owner->record_type > MB_SHARD_RENEW) {
        mb_counter_add(metrics->batches, 1);
    }
}

/* Handles the result of an append. If the record was not read back, it may be
   covered by a snapshot that was loaded, or reach the log later; the shard
   then drops its ownership and claims the shard again. */
static void
append_done(void *context, mb_append_result_t result, uint64_t offset)
{
    mb_owner_shard_t *owner = context;
    (void)offset;
    owner->in_flight = false;
    if (mb_atomic_load(&owner->closing) != 0) {
        return;
    }
    if (result == MB_APPEND_REPLAYED) {
        count_record(owner);
        if (owner->record_is_release) {
            mb_atomic_store(&owner->released, 1);
        }
    }
    else {
        mb_log_warning(&owner->log, "outcome of an append is unknown, "
                                    "claiming the shard again");
        mb_shard_append_outcome_unknown(owner->shard);
    }
    mb_loop_defer(&owner->client.loop, &owner->deferred_tick);
}

/* Appends a record of the shard; implements mb_shard_callbacks_t.append. The
   append is retried until the record is read back. It has no deadline, because
   the shard can't go on before it knows the position of the record in the
   stream. */
static void
append(void *context, const mb_shard_record_t *record)
{
    MB_AUTO_BUF mb_buf_t payload = {0};
    mb_owner_shard_t *owner = context;
    mb_appender_t appender = mb_log_client_appender(&owner->client);
    mb_shard_record_encode(&payload, record);
    owner->record_type = record->type;
    owner->record_count = record->count;
    owner->record_is_release =
        record->type == MB_SHARD_RENEW && record->body.claim.lease_ms == 0;
    owner->in_flight = true;
    owner->append_failed =
        !appender.append(appender.context, mb_buf_view(&payload), UINT32_MAX,
                         append_done, owner);
}

/* Applies a record of the stream and schedules a tick; implements
   mb_replica_callbacks_t.apply. */
static void
apply_record(void *context, const mb_record_t *record, bool own)
{
    mb_owner_shard_t *owner = context;
    mb_replica_callbacks_t calls =
        mb_shard_record_replica_callbacks(owner->shard);
    calls.apply(calls.context, record, own);
    mb_loop_defer(&owner->client.loop, &owner->deferred_tick);
}

/* Drops the replicated state before a snapshot is loaded; implements
   mb_replica_callbacks_t.reset. */
static void
reset_state(void *context)
{
    mb_owner_shard_t *owner = context;
    mb_shard_reset(owner->shard);
}

/* Loads one chunk of a snapshot; implements mb_replica_callbacks_t.load. */
static bool
load_state(void *context, mb_str_t chunk)
{
    mb_owner_shard_t *owner = context;
    mb_replica_callbacks_t calls =
        mb_shard_record_replica_callbacks(owner->shard);
    return calls.load(calls.context, chunk);
}

/* Writes the replicated state as a snapshot; implements
   mb_replica_callbacks_t.save. */
static void
save_state(void *context, void (*emit)(void *emit_context, mb_str_t chunk),
           void *emit_context)
{
    mb_owner_shard_t *owner = context;
    mb_replica_callbacks_t calls =
        mb_shard_record_replica_callbacks(owner->shard);
    calls.save(calls.context, emit, emit_context);
}

/* Periodic tick of the stream: activates the shard once its own stream and the
   stream of the configuration have been read to their ends. Before that, a
   snapshot may be missing or jobs may be unknown. */
static void
stream_tick(void *context, bool reachable, uint64_t log_now_ms)
{
    mb_owner_shard_t *owner = context;
    (void)reachable;
    (void)log_now_ms;
    if (owner->ready || !mb_log_client_ready(&owner->client) ||
        !mb_log_client_ready(&owner->node->control->config_stream)) {
        return;
    }
    mb_owner_shard_update_config(owner);
    mb_shard_set_config_ready(owner->shard);
    owner->ready = true;
    mb_loop_defer(&owner->client.loop, &owner->deferred_tick);
}

/* Returns the rank of this process among those that write snapshots of the
   stream; the lowest one writes first. */
static uint32_t
snapshot_rank(void *context)
{
    mb_owner_shard_t *owner = context;
    const mb_owner_node_t *node = owner->node;
    return owner->ready
               ? mb_members_rank(&node->control->members, node->config.process,
                                 mb_buf_view(&owner->stream))
               : MB_LOG_RANK_NONE;
}

/* Applies changes of the configuration, on the thread of the shard. */
static void
run_config_task(mb_loop_task_t *task)
{
    mb_owner_shard_t *owner =
        (mb_owner_shard_t *)((char *)task -
                             offsetof(mb_owner_shard_t, config_task));
    mb_atomic_store(&owner->config_task_posted, 0);
    /* A task that is still queued when the thread ends is run when the loop is
       released. The configuration has been released by then. */
    if (owner->ready && mb_atomic_load(&owner->closing) == 0) {
        mb_owner_shard_update_config(owner);
        mb_loop_defer(&owner->client.loop, &owner->deferred_tick);
    }
}

/* Makes the thread of the shard apply a change of the configuration. Called on
   any thread; at most one task is queued at a time. If the mailbox is full,
   the change is applied with the next one. */
void
mb_owner_shard_notify_config(mb_owner_shard_t *owner)
{
    if (mb_atomic_cas(&owner->config_task_posted, 0, 1) &&
        !mb_loop_post(&owner->client.loop, &owner->config_task)) {
        mb_atomic_store(&owner->config_task_posted, 0);
    }
}

/* Releases the lease, on the thread of the shard. A process that neither owns
   nor claims the shard has nothing to release. */
static void
run_release_task(mb_loop_task_t *task)
{
    mb_owner_shard_t *owner =
        (mb_owner_shard_t *)((char *)task -
                             offsetof(mb_owner_shard_t, release_task));
    bool claiming = owner->in_flight && owner->record_type == MB_SHARD_CLAIM;
    if (mb_shard_phase(owner->shard) == MB_LEASE_FOLLOWER && !claiming) {
        mb_atomic_store(&owner->released, 1);
    }
    mb_shard_release_lease(owner->shard);
    mb_loop_defer(&owner->client.loop, &owner->deferred_tick);
}

/* Makes the thread of the shard release its lease. Called on any thread, once.
   `released` is set when that has happened, or if the mailbox is full. */
void
mb_owner_shard_release_lease(mb_owner_shard_t *owner)
{
    if (!mb_loop_post(&owner->client.loop, &owner->release_task)) {
        mb_atomic_store(&owner->released, 1);
    }
}

/* Creates the object that makes the decisions of the owner. */
static void
create_shard(mb_owner_shard_t *owner, uint32_t index)
{
    const mb_owner_config_t *from = &owner->node->config;
    mb_shard_config_t config = {
        .lease = from->lease,
        .shard_index = index,
        .shard_count = from->shard_count,
        .worker_lease_ms = from->worker_lease_ms,
        .sync_period_ms = from->sync_period_ms,
        .batch_delay_ms = from->batch_delay_ms,
        .finish_delay_ms = from->finish_delay_ms,
        .orphan_delay_ms = from->lease.lease_ms,
    };
    mb_shard_callbacks_t callbacks = {
        .append = append, .sync = mb_owner_sync_send, .context = owner};
    owner->shard =
        mb_shard_new(&config, &callbacks, &owner->clock, &owner->rng,
                     &owner->log, mb_rng_next(&owner->rng));
}

/* Initializes the client of the stream, the HTTP client for the workers and
   the timer. */
static bool
init_loop(mb_owner_shard_t *owner, GError **error)
{
    const mb_owner_config_t *from = &owner->node->config;
    mb_log_client_config_t stream = {
        .address = from->log_address,
        .stream = mb_buf_view(&owner->stream),
        .writer = mb_rng_next(&owner->rng),
        .retention_ms = from->retention_ms,
        .snapshots = true,
        .queue_max = QUEUE_MAX,
    };
    mb_replica_callbacks_t state = {.apply = apply_record,
                                    .reset = reset_state,
                                    .load = load_state,
                                    .save = save_state,
                                    .context = owner};
    mb_log_client_callbacks_t calls = {
        .rank = snapshot_rank, .tick = stream_tick, .context = owner};
    if (!mb_log_client_init(&owner->client, &stream, &state, &calls,
                            &owner->log, error) ||
        !mb_http_client_init(&owner->http, &owner->client.loop,
                             CONNECTIONS_MAX, MB_WORKER_MSG_MAX, error)) {
        return false;
    }
    int fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    owner->timer = (mb_loop_source_t){fd, timer_ready, owner};
    if (fd < 0 || !mb_loop_add(&owner->client.loop, &owner->timer, EPOLLIN)) {
        mb_error_set(error, MB_KIND_IO,
                     "cannot set up the timer of a shard: %s",
                     g_strerror(errno));
        return false;
    }
    return true;
}

/* Initializes one shard without starting its thread. Returns false with the
   error set; the shard must not be used then. */
bool
mb_owner_shard_init(mb_owner_shard_t *owner, mb_owner_node_t *node,
                    uint32_t index, GError **error)
{
    owner->node = node;
    owner->clock = mb_clock_monotonic();
    owner->rng = mb_rng_system();
    owner->log = node->log;
    owner->deferred_tick =
        (mb_loop_deferred_t){.run = tick_shard, .context = owner};
    owner->config_task.run = run_config_task;
    owner->release_task.run = run_release_task;
    owner->resource_keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    owner->sync_calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                              NULL, mb_owner_sync_free);
    owner->unsent_syncs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    mb_buf_printf(&owner->stream, "shard-%u", index);
    create_shard(owner, index);
    return init_loop(owner, error);
}

/* Waits for the sync requests in flight, which have a time-out, and stops the
   thread. */
void
mb_owner_shard_stop(mb_owner_shard_t *owner)
{
    struct timespec pause = {0, STOP_POLL_NS};
    mb_atomic_store(&owner->closing, 1);
    while (owner->client.loop.started &&
           mb_atomic_load(&owner->open_syncs) > 0) {
        (void)nanosleep(&pause, NULL);
    }
    mb_log_client_stop(&owner->client);
}

/* Releases the shard. Called after mb_owner_shard_stop. */
void
mb_owner_shard_finish(mb_owner_shard_t *owner)
{
    mb_loop_remove(&owner->client.loop, &owner->timer);
    (void)close(owner->timer.fd);
    mb_http_client_finish(&owner->http);
    mb_log_client_finish(&owner->client);
    mb_shard_free(owner->shard);
    g_hash_table_destroy(owner->resource_keys);
    g_hash_table_destroy(owner->sync_calls);
    g_array_unref(owner->unsent_syncs);
    mb_buf_finish(&owner->stream);
}
