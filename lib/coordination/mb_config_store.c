#include "mb_config_store.h"

#include <glib.h>
#include <string.h>

#include "mb_assert.h"
#include "mb_cleanup.h"

/* A write whose record was queued. */
typedef struct waiting {
    mb_config_store_t *store;
    mb_write_done_t done;
    void *context;
} waiting_t;

/* Makes a store over a configuration; the appender is connected before the
   first write. */
void
mb_config_store_init(mb_config_store_t *store, mb_config_t *config,
                     const mb_config_codec_t *codec, const mb_log_t *log)
{
    memset(store, 0, sizeof(*store));
    store->config = config;
    store->codec = *codec;
    store->log = mb_log_for(log, "config");
}

/* Sets where records are appended. */
void
mb_config_store_set_appender(mb_config_store_t *store,
                             const mb_appender_t *appender)
{
    store->appender = *appender;
}

/* Adds an observer, before the stream is read. */
void
mb_config_store_add_observer(mb_config_store_t *store,
                             const mb_config_observer_t *observer)
{
    g_assert(store->observer_count < MB_CONFIG_OBSERVERS_MAX);
    store->observers[store->observer_count++] = *observer;
}

/* Tells all observers. */
static void
notify(const mb_config_store_t *store, const mb_config_change_t *change)
{
    for (uint32_t i = 0; i < store->observer_count; i++) {
        store->observers[i].changed(store->observers[i].context, change);
    }
}

/* Puts one decoded write into force. */
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

/* Applies one record. A record that can't be decoded changes nothing, on
   every process alike. */
static void
apply_record(void *context, const mb_record_t *record, bool own)
{
    mb_config_store_t *store = context;
    mb_config_write_t write;
    mb_resource_t resource;
    mb_str_t rest = record->payload;
    /* A resource that is not there has revision 0, so offset 0 counts as 1.
     */
    uint64_t revision = record->offset + 1;
    uint64_t current = 0;
    (void)own;
    store->last_outcome = (mb_write_outcome_t){MB_WRITE_UNKNOWN, 0};
    if (!store->codec.decode(store->codec.context, &rest, &write, &resource)) {
        mb_log_error(&store->log, "write not readable revision=%lu",
                     (unsigned long)revision);
        return;
    }
    mb_config_change_t change = {revision, write.kind, write.name,
                                 write.remove};
    switch (apply_write(store, &write, &resource, revision, &current)) {
    case MB_CONFIG_APPLIED:
        store->last_outcome = (mb_write_outcome_t){MB_WRITE_APPLIED, revision};
        notify(store, &change);
        break;
    case MB_CONFIG_CONFLICT:
        store->last_outcome = (mb_write_outcome_t){MB_WRITE_CONFLICT, current};
        break;
    case MB_CONFIG_MISSING:
        store->last_outcome = (mb_write_outcome_t){MB_WRITE_MISSING, 0};
        break;
    }
}

/* Begins an empty configuration; readers keep the one before. */
static void
reset_state(void *context)
{
    mb_config_store_t *store = context;
    mb_config_reset(store->config);
}

/* Loads the resources of one chunk of a snapshot. */
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

/* Puts the loaded configuration into force. */
static void
state_loaded(void *context, uint64_t as_of)
{
    mb_config_store_t *store = context;
    mb_config_publish(store->config, as_of);
    notify(store, NULL);
}

/* State of a snapshot that is being written. */
typedef struct saving {
    mb_config_store_t *store;
    mb_buf_t chunk;
    mb_buf_t item;
    void (*emit)(void *emit_context, mb_str_t chunk);
    void *emit_context;
} saving_t;

/* Adds one resource to the chunk; a full chunk goes out first. */
static void
save_resource(void *context, const mb_resource_t *resource)
{
    saving_t *saving = context;
    const mb_config_codec_t *codec = &saving->store->codec;
    mb_config_write_t write = {
        false,           resource->kind,     mb_buf_view(&resource->name),
        MB_REVISION_ANY, resource->revision, resource};
    mb_buf_clear(&saving->item);
    codec->encode(codec->context, &saving->item, &write);
    if (saving->chunk.len + saving->item.len > MB_RECORD_PAYLOAD_MAX) {
        saving->emit(saving->emit_context, mb_buf_view(&saving->chunk));
        mb_buf_clear(&saving->chunk);
    }
    mb_buf_append(&saving->chunk, mb_buf_view(&saving->item));
}

/* Hands out all resources in chunks. */
static void
save_state(void *context, void (*emit)(void *emit_context, mb_str_t chunk),
           void *emit_context)
{
    saving_t saving = {
        .store = context, .emit = emit, .emit_context = emit_context};
    mb_epoch_t *epoch = saving.store->config->epoch;
    mb_epoch_enter(epoch);
    const mb_config_version_t *version = mb_config_load(saving.store->config);
    for (int kind = 0; kind < MB_RESOURCE_KIND_COUNT; kind++) {
        mb_config_each(version, (mb_resource_kind_t)kind, save_resource,
                       &saving);
    }
    mb_epoch_leave(epoch);
    if (saving.chunk.len > 0) {
        emit(emit_context, mb_buf_view(&saving.chunk));
    }
    mb_buf_finish(&saving.chunk);
    mb_buf_finish(&saving.item);
}

/* Returns the callbacks by which a replica of `config` drives the store. */
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

/* Turns the end of an append into the outcome of its write. */
static void
append_done(void *context, mb_append_result_t result, uint64_t offset)
{
    waiting_t *waiting = context;
    mb_write_outcome_t outcome = {MB_WRITE_UNKNOWN, 0};
    (void)offset;
    if (result == MB_APPEND_REPLAYED) {
        outcome = waiting->store->last_outcome;
    }
    else if (result == MB_APPEND_NOT_WRITTEN) {
        outcome.state = MB_WRITE_NOT_WRITTEN;
    }
    waiting->done(waiting->context, &outcome);
    g_free(waiting);
}

/* Writes; from any thread. `done` is called once, here or on the stream's
   thread. Applied means that this process has replayed the record. */
void
mb_config_store_write(mb_config_store_t *store, const mb_config_write_t *write,
                      uint32_t timeout_ms, mb_write_done_t done, void *context)
{
    MB_AUTO_BUF mb_buf_t payload = {0};
    waiting_t *waiting = g_new0(waiting_t, 1);
    *waiting = (waiting_t){store, done, context};
    store->codec.encode(store->codec.context, &payload, write);
    if (store->appender.append == NULL ||
        !store->appender.append(store->appender.context, mb_buf_view(&payload),
                                timeout_ms, append_done, waiting)) {
        append_done(waiting, MB_APPEND_NOT_WRITTEN, 0);
    }
}
