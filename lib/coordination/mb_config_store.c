#include "mb_config_store.h"

#include <glib.h>
#include <string.h>

#include "mb_assert.h"
#include "mb_cleanup.h"

/* A write whose append is in progress. */
typedef struct pending_write {
    mb_config_store_t *store;
    mb_write_done_t done;
    void *context;
} pending_write_t;

/* Initializes a store that keeps its resources in `config`, which is borrowed.
   The appender must be set before the first write. */
void
mb_config_store_init(mb_config_store_t *store, mb_config_t *config,
                     const mb_config_codec_t *codec, const mb_log_t *log)
{
    memset(store, 0, sizeof(*store));
    store->config = config;
    store->codec = *codec;
    store->log = mb_log_for(log, "config");
}

/* Sets the appender to the stream `config`. Without one, writes end as not
   written. */
void
mb_config_store_set_appender(mb_config_store_t *store,
                             const mb_appender_t *appender)
{
    store->appender = *appender;
}

/* Adds an observer. To be called before the stream is read; at most
   MB_CONFIG_OBSERVERS_MAX times. */
void
mb_config_store_add_observer(mb_config_store_t *store,
                             const mb_config_observer_t *observer)
{
    g_assert(store->observer_count < MB_CONFIG_OBSERVERS_MAX);
    store->observers[store->observer_count++] = *observer;
}

/* Calls all observers. A NULL `change` stands for any change. */
static void
notify_observers(const mb_config_store_t *store,
                 const mb_config_change_t *change)
{
    for (uint32_t i = 0; i < store->observer_count; i++) {
        store->observers[i].changed(store->observers[i].context, change);
    }
}

/* Applies one decoded write to the configuration. If the write is not a
   deletion, the configuration takes ownership of `resource`. `current`
   receives the revision of the resource before. */
static mb_config_result_t
apply_write(mb_config_store_t *store, const mb_config_write_t *write,
            mb_resource_t *resource, uint64_t revision, uint64_t *current)
{
    if (write->remove) {
        return mb_config_delete(store->config, write->kind, write->name,
                                write->expected, revision, current);
    }
    return mb_config_put(store->config, resource, write->expected, revision,
                         current);
}

/* Applies one record of the stream, and keeps the outcome for the write that
   appended it. A record that can't be decoded is ignored, by all processes
   alike. */
static void
apply_record(void *context, const mb_record_t *record, bool own)
{
    mb_config_store_t *store = context;
    mb_config_write_t write;
    mb_resource_t resource;
    mb_str_t rest = record->payload;
    /* Revision 0 stands for a resource that does not exist, so the revision
       of the record at offset 0 is 1. */
    uint64_t revision = record->offset + 1;
    uint64_t current = 0;
    (void)own;
    store->last_outcome = (mb_write_outcome_t){MB_WRITE_UNKNOWN, 0};
    if (!store->codec.decode(store->codec.context, &rest, &write, &resource)) {
        mb_log_error(&store->log,
                     "configuration record could not be decoded revision=%lu",
                     (unsigned long)revision);
        return;
    }
    mb_config_change_t change = {revision, write.kind, write.name,
                                 write.remove};
    switch (apply_write(store, &write, &resource, revision, &current)) {
    case MB_CONFIG_APPLIED:
        store->last_outcome = (mb_write_outcome_t){MB_WRITE_APPLIED, revision};
        notify_observers(store, &change);
        break;
    case MB_CONFIG_CONFLICT:
        store->last_outcome = (mb_write_outcome_t){MB_WRITE_CONFLICT, current};
        break;
    case MB_CONFIG_MISSING:
        store->last_outcome = (mb_write_outcome_t){MB_WRITE_MISSING, 0};
        break;
    }
}

/* Starts an empty configuration, to be loaded. Readers see the previous one
   until state_loaded. */
static void
reset_state(void *context)
{
    mb_config_store_t *store = context;
    mb_config_begin_load(store->config);
}

/* Loads the resources of one chunk of a snapshot. Returns false if the chunk
   is invalid. */
static bool
load_chunk(void *context, mb_str_t chunk)
{
    mb_config_store_t *store = context;
    while (chunk.len > 0) {
        mb_config_write_t write;
        mb_resource_t resource;
        uint64_t current;
        if (!store->codec.decode(store->codec.context, &chunk, &write,
                                 &resource)) {
            return false;
        }
        (void)apply_write(store, &write, &resource, write.revision, &current);
    }
    return true;
}

/* Publishes the loaded configuration. Its revision is `as_of`: the offset of
   the last record that the snapshot includes, plus 1. */
static void
state_loaded(void *context, uint64_t as_of)
{
    mb_config_store_t *store = context;
    mb_config_publish(store->config, as_of);
    notify_observers(store, NULL);
}

/* A snapshot that is being written. */
typedef struct snapshot_builder {
    mb_config_store_t *store;
    mb_buf_t chunk;
    mb_buf_t item;
    void (*emit)(void *emit_context, mb_str_t chunk);
    void *emit_context;
} snapshot_builder_t;

/* Adds one resource to the present chunk; emits the chunk first if the
   resource does not fit. */
static void
add_resource(void *context, const mb_resource_t *resource)
{
    snapshot_builder_t *builder = context;
    const mb_config_codec_t *codec = &builder->store->codec;
    mb_config_write_t write = {
        false,           resource->kind,     mb_buf_view(&resource->name),
        MB_REVISION_ANY, resource->revision, resource};
    mb_buf_clear(&builder->item);
    codec->encode(codec->context, &builder->item, &write);
    if (builder->chunk.len + builder->item.len > MB_RECORD_PAYLOAD_MAX) {
        builder->emit(builder->emit_context, mb_buf_view(&builder->chunk));
        mb_buf_clear(&builder->chunk);
    }
    mb_buf_append(&builder->chunk, mb_buf_view(&builder->item));
}

/* Emits all resources in chunks. */
static void
save_state(void *context, void (*emit)(void *emit_context, mb_str_t chunk),
           void *emit_context)
{
    snapshot_builder_t builder = {
        .store = context, .emit = emit, .emit_context = emit_context};
    mb_epoch_t *epoch = builder.store->config->epoch;
    mb_epoch_enter(epoch);
    const mb_config_version_t *version = mb_config_load(builder.store->config);
    for (int kind = 0; kind < MB_RESOURCE_KIND_COUNT; kind++) {
        mb_config_each(version, (mb_resource_kind_t)kind, add_resource,
                       &builder);
    }
    mb_epoch_leave(epoch);
    if (builder.chunk.len > 0) {
        emit(emit_context, mb_buf_view(&builder.chunk));
    }
    mb_buf_finish(&builder.chunk);
    mb_buf_finish(&builder.item);
}

/* Returns the callbacks with which a replica of the stream `config` keeps the
   store up to date. */
mb_replica_callbacks_t
mb_config_store_callbacks(mb_config_store_t *store)
{
    return (mb_replica_callbacks_t){.apply = apply_record,
                                    .reset = reset_state,
                                    .load = load_chunk,
                                    .save = save_state,
                                    .loaded = state_loaded,
                                    .context = store};
}

/* Reports the outcome of a write after its append has ended. A replayed record
   was the latest one applied, so its outcome is the last one of the store. */
static void
handle_append_result(void *context, mb_append_result_t result, uint64_t offset)
{
    pending_write_t *pending = context;
    mb_write_outcome_t outcome = {MB_WRITE_UNKNOWN, 0};
    (void)offset;
    if (result == MB_APPEND_REPLAYED) {
        outcome = pending->store->last_outcome;
    }
    else if (result == MB_APPEND_NOT_WRITTEN) {
        outcome.state = MB_WRITE_NOT_WRITTEN;
    }
    pending->done(pending->context, &outcome);
    g_free(pending);
}

/* Appends a write to the log; may be called from any thread. `done` is called
   once with the outcome, from inside this call or on the thread that reads the
   stream. MB_WRITE_APPLIED means that this process has replayed the
   record. */
void
mb_config_store_write(mb_config_store_t *store, const mb_config_write_t *write,
                      uint32_t timeout_ms, mb_write_done_t done, void *context)
{
    MB_AUTO_BUF mb_buf_t payload = {0};
    pending_write_t *pending = g_new0(pending_write_t, 1);
    *pending = (pending_write_t){store, done, context};
    store->codec.encode(store->codec.context, &payload, write);
    if (store->appender.append == NULL ||
        !store->appender.append(store->appender.context, mb_buf_view(&payload),
                                timeout_ms, handle_append_result, pending)) {
        handle_append_result(pending, MB_APPEND_NOT_WRITTEN, 0);
    }
}
