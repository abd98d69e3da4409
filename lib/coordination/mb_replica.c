#include "mb_replica.h"

#include <glib.h>
#include <string.h>

/* Maximum size of the records buffered until a snapshot is loaded, in bytes.
   Beyond it, the replica drops them and waits for a snapshot that includes
   them. */
#define BUFFERED_BYTES_MAX (64u * 1024u * 1024u)
/* Maximum number of partial snapshots. Beyond it, the one that began first is
   dropped. */
#define PARTIAL_SNAPSHOTS_MAX 16
/* Maximum size of a snapshot, in bytes. A larger one is not loaded. */
#define SNAPSHOT_BYTES_MAX (256u * 1024u * 1024u)
/* A snapshot is due after the retention time divided by this. */
#define SNAPSHOT_DUE_DIVISOR 4
/* The minimum time between two time samples is the retention time divided by
   this. */
#define SAMPLE_INTERVAL_DIVISOR 256
/* A process delays a snapshot, for each rank, by the retention time divided by
   this. */
#define RANK_DELAY_DIVISOR 64

/* A snapshot of which some records have been read. */
typedef struct partial_snapshot {
    uint64_t id;
    uint64_t as_of;
    uint64_t next_index;   /* `index` of its next record */
    GPtrArray *chunks;     /* mb_buf_t */
    GArray *writer_states; /* mb_writer_state_t */
    size_t bytes;
} partial_snapshot_t;

/* A buffered record, which owns its payload. */
typedef struct buffered_record {
    mb_record_t record;
    mb_buf_t payload;
} buffered_record_t;

/* Frees an owned buffer. */
static void
free_buf(void *buf)
{
    mb_buf_finish(buf);
    g_free(buf);
}

/* Frees a partial snapshot. */
static void
free_partial_snapshot(void *memory)
{
    partial_snapshot_t *partial = memory;
    g_ptr_array_unref(partial->chunks);
    g_array_unref(partial->writer_states);
    g_free(partial);
}

/* Frees a buffered record. */
static void
free_buffered(void *memory)
{
    buffered_record_t *entry = memory;
    mb_buf_finish(&entry->payload);
    g_free(entry);
}

/* Initializes a replica that has read nothing. The arguments are copied.
   mb_replica_start must be called before the first record is fed. */
void
mb_replica_init(mb_replica_t *replica, const mb_replica_config_t *config,
                const mb_replica_callbacks_t *callbacks, const mb_log_t *log)
{
    memset(replica, 0, sizeof(*replica));
    replica->config = *config;
    replica->callbacks = *callbacks;
    replica->log = *log;
    replica->writers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    replica->partial_snapshots =
        g_ptr_array_new_with_free_func(free_partial_snapshot);
    replica->buffered = g_ptr_array_new_with_free_func(free_buffered);
}

/* Releases the replica. The state behind the callbacks is not touched. */
void
mb_replica_finish(mb_replica_t *replica)
{
    g_hash_table_unref(replica->writers);
    g_ptr_array_unref(replica->partial_snapshots);
    g_ptr_array_unref(replica->buffered);
}

/* Clears the table of writers. */
static void
clear_writers(mb_replica_t *replica)
{
    replica->last_writer_state = NULL;
    g_hash_table_remove_all(replica->writers);
}

/* Starts to replay at the earliest offset that the log retains: at first, and
   again after records were removed by retention before they were read. If
   records are missing, the previous state stays until a snapshot replaces
   it. */
void
mb_replica_start(mb_replica_t *replica, uint64_t earliest)
{
    bool restarted = replica->ready || replica->next > 0;
    replica->next = earliest;
    replica->min_as_of = earliest;
    replica->ready = earliest == 0 || !replica->config.snapshots;
    replica->buffered_bytes = 0;
    replica->sample_count = 0;
    g_ptr_array_set_size(replica->buffered, 0);
    g_ptr_array_set_size(replica->partial_snapshots, 0);
    if (replica->ready) {
        clear_writers(replica);
        replica->callbacks.reset(replica->callbacks.context);
        if (replica->callbacks.loaded != NULL) {
            replica->callbacks.loaded(replica->callbacks.context, earliest);
        }
    }
    replica->reloads += restarted;
}

/* Returns whether the state is that of the stream, as far as it was read;
   false while a snapshot is needed. */
bool
mb_replica_ready(const mb_replica_t *replica)
{
    return replica->ready;
}

/* Returns the last sequence number of this process that was replayed; 0 if
   there is none. */
uint64_t
mb_replica_own_sequence(const mb_replica_t *replica)
{
    uint64_t writer = replica->config.writer;
    const mb_writer_state_t *state =
        g_hash_table_lookup(replica->writers, &writer);
    return state != NULL ? state->sequence : 0;
}

/* Returns whether a writer has written nothing for one retention time before
   `time_ms`. This depends only on the times of records, so that all processes
   decide alike. */
static bool
writer_expired(const mb_replica_t *replica, const mb_writer_state_t *state,
               uint64_t time_ms)
{
    return state->time_ms + replica->config.retention_ms < time_ms;
}

/* Makes room in a full table of writers: removes all that have expired, or, if
   there are none, the one whose last record is the oldest. */
static void
remove_old_writers(mb_replica_t *replica, uint64_t time_ms)
{
    GHashTableIter iter;
    void *value;
    mb_writer_state_t *oldest = NULL;
    bool removed = false;
    replica->last_writer_state = NULL;
    g_hash_table_iter_init(&iter, replica->writers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_writer_state_t *state = value;
        if (writer_expired(replica, state, time_ms)) {
            g_hash_table_iter_remove(&iter);
            removed = true;
        }
        else if (oldest == NULL || state->time_ms < oldest->time_ms ||
                 (state->time_ms == oldest->time_ms &&
                  state->writer < oldest->writer)) {
            oldest = state;
        }
    }
    if (!removed && oldest != NULL) {
        (void)g_hash_table_remove(replica->writers, &oldest->writer);
    }
}

/* Adds or replaces the state of a writer. Copies `state`. */
static void
set_writer_state(mb_replica_t *replica, const mb_writer_state_t *state)
{
    mb_writer_state_t *copy = g_memdup2(state, sizeof(*state));
    if (g_hash_table_size(replica->writers) >= MB_REPLICA_WRITERS_MAX) {
        remove_old_writers(replica, state->time_ms);
    }
    replica->last_writer_state = copy;
    g_hash_table_replace(replica->writers, &copy->writer, copy);
}

/* Updates the state of a record's writer. Returns false if the record is a
   duplicate. */
static bool
advance_writer(mb_replica_t *replica, const mb_record_t *record)
{
    mb_writer_state_t *state = replica->last_writer_state;
    if (state == NULL || state->writer != record->writer) {
        state = g_hash_table_lookup(replica->writers, &record->writer);
    }
    if (state == NULL) {
        mb_writer_state_t first = {record->writer, record->sequence,
                                   record->time_ms};
        set_writer_state(replica, &first);
        return true;
    }
    replica->last_writer_state = state;
#ifndef MB_MUTANT_WRITER_NOT_DEDUPLICATED
    if (record->sequence <= state->sequence &&
        !writer_expired(replica, state, record->time_ms)) {
        return false;
    }
#endif
    state->sequence = record->sequence;
    state->time_ms = record->time_ms;
    return true;
}

/* Finds a partial snapshot by its id. Returns NULL if there is none. */
static partial_snapshot_t *
find_partial_snapshot(mb_replica_t *replica, uint64_t id)
{
    GPtrArray *partial_snapshots = replica->partial_snapshots;
    for (guint i = 0; i < partial_snapshots->len; i++) {
        partial_snapshot_t *partial = g_ptr_array_index(partial_snapshots, i);
        if (partial->id == id) {
            return partial;
        }
    }
    return NULL;
}

/* Adds a partial snapshot, given its first record. A known id is ignored as a
   duplicate. */
static void
begin_partial_snapshot(mb_replica_t *replica, const mb_record_t *record)
{
    GPtrArray *partial_snapshots = replica->partial_snapshots;
    if (find_partial_snapshot(replica, record->snapshot) != NULL) {
        return;
    }
    if (partial_snapshots->len >= PARTIAL_SNAPSHOTS_MAX) {
        (void)g_ptr_array_remove_index(partial_snapshots, 0);
    }
    partial_snapshot_t *partial = g_new0(partial_snapshot_t, 1);
    partial->id = record->snapshot;
    partial->as_of = record->as_of;
    partial->next_index = 1;
    partial->chunks = g_ptr_array_new_with_free_func(free_buf);
    partial->writer_states =
        g_array_new(FALSE, FALSE, sizeof(mb_writer_state_t));
    g_ptr_array_add(partial_snapshots, partial);
}

/* Adds one record to a partial snapshot. A replica that is ready loads no
   snapshot and doesn't keep the contents. */
static void
add_part(const mb_replica_t *replica, partial_snapshot_t *partial,
         const mb_record_t *record)
{
    if (replica->ready) {
        return;
    }
    if (record->type == MB_RECORD_SNAPSHOT_WRITERS) {
        g_array_append_vals(partial->writer_states, record->writer_states,
                            record->writer_state_count);
        return;
    }
    mb_buf_t *chunk = g_new0(mb_buf_t, 1);
    mb_buf_set(chunk, record->payload);
    partial->bytes += record->payload.len;
    g_ptr_array_add(partial->chunks, chunk);
}

/* Loads the chunks of a complete snapshot. Returns false if one can't be
   decoded. */
static bool
load_chunks(mb_replica_t *replica, const partial_snapshot_t *partial)
{
    const mb_replica_callbacks_t *callbacks = &replica->callbacks;
    callbacks->reset(callbacks->context);
    for (guint i = 0; i < partial->chunks->len; i++) {
        const mb_buf_t *chunk = g_ptr_array_index(partial->chunks, i);
        if (!callbacks->load(callbacks->context, mb_buf_view(chunk))) {
            mb_log_error(&replica->log,
                         "snapshot chunk could not be decoded index=%u", i);
            return false;
        }
    }
    if (callbacks->loaded != NULL) {
        callbacks->loaded(callbacks->context, partial->as_of);
    }
    return true;
}

/* Replays one record in a replica that is ready: updates the table of writers
   and applies the record, unless it is a duplicate or part of a snapshot. */
static mb_feed_result_t
apply_record(mb_replica_t *replica, const mb_record_t *record)
{
    replica->time_ms = record->time_ms;
    if (!advance_writer(replica, record)) {
        return MB_FEED_DUPLICATE;
    }
    if (record->type != MB_RECORD_DATA) {
        return MB_FEED_SNAPSHOT;
    }
    if (replica->covered_until_ms == 0) {
        replica->covered_until_ms = record->time_ms;
    }
    replica->callbacks.apply(replica->callbacks.context, record,
                             record->writer == replica->config.writer);
    return MB_FEED_APPLIED;
}

/* Replaces the state with a complete snapshot and applies the buffered records
   that it does not include. */
static void
load_snapshot(mb_replica_t *replica, const partial_snapshot_t *partial)
{
    GPtrArray *buffered = replica->buffered;
    if (!load_chunks(replica, partial)) {
        return;
    }
    clear_writers(replica);
    for (guint i = 0; i < partial->writer_states->len; i++) {
        set_writer_state(replica, &g_array_index(partial->writer_states,
                                                 mb_writer_state_t, i));
    }
    replica->ready = true;
    for (guint i = 0; i < buffered->len; i++) {
        buffered_record_t *entry = g_ptr_array_index(buffered, i);
        entry->record.payload = mb_buf_view(&entry->payload);
        if (entry->record.offset >= partial->as_of) {
            (void)apply_record(replica, &entry->record);
        }
    }
    g_ptr_array_set_size(buffered, 0);
    replica->buffered_bytes = 0;
    mb_log_info(&replica->log, "snapshot loaded as_of=%" G_GUINT64_FORMAT,
                partial->as_of);
}

/* Adds a time sample for a record, unless the previous one is recent. */
static void
sample_time(mb_replica_t *replica, const mb_record_t *record)
{
    uint64_t step = replica->config.retention_ms / SAMPLE_INTERVAL_DIVISOR;
    uint64_t count = replica->sample_count;
    if (count == 0 ||
        record->time_ms >=
            replica->samples[(count - 1) % MB_REPLICA_SAMPLES_MAX].time_ms +
                step) {
        replica->samples[count % MB_REPLICA_SAMPLES_MAX] =
            (mb_time_sample_t){record->offset, record->time_ms};
        replica->sample_count++;
    }
}

/* Returns the time up to which a snapshot includes the records of the stream:
   the time of the first record that it does not include, rounded down to a
   time sample; 0 if that record is older than all samples. The times of the
   snapshot's own records can't be used: a writer that was paused, or that
   waited for the log, writes an old state. */
static uint64_t
compute_covered_until(const mb_replica_t *replica, uint64_t as_of)
{
    uint64_t count = MIN(replica->sample_count, MB_REPLICA_SAMPLES_MAX);
    for (uint64_t i = 1; i <= count; i++) {
        const mb_time_sample_t *sample =
            &replica->samples[(replica->sample_count - i) %
                              MB_REPLICA_SAMPLES_MAX];
        if (sample->offset <= as_of) {
            return sample->time_ms;
        }
    }
    return 0;
}

/* Handles one record of a snapshot, and loads the snapshot after the last one
   if it is needed. If a record is missing, the snapshot is dropped. */
static void
handle_snapshot_record(mb_replica_t *replica, const mb_record_t *record)
{
    if (record->type == MB_RECORD_SNAPSHOT_BEGIN) {
        begin_partial_snapshot(replica, record);
        return;
    }
    partial_snapshot_t *partial =
        find_partial_snapshot(replica, record->snapshot);
    if (partial == NULL || record->index < partial->next_index) {
        return;
    }
    if (record->index > partial->next_index ||
        partial->bytes > SNAPSHOT_BYTES_MAX) {
        (void)g_ptr_array_remove(replica->partial_snapshots, partial);
        return;
    }
    partial->next_index++;
    if (record->type != MB_RECORD_SNAPSHOT_END) {
        add_part(replica, partial, record);
        return;
    }
#ifdef MB_MUTANT_SNAPSHOT_AS_OF_IGNORED
    replica->min_as_of = 0;
#endif
    if (partial->as_of >= replica->min_as_of) {
        uint64_t covered_until_ms =
            compute_covered_until(replica, partial->as_of);
#ifdef MB_MUTANT_SNAPSHOT_COVERS_TO_ITS_END
        covered_until_ms = record->time_ms;
#endif
        replica->covered_until_ms =
            MAX(replica->covered_until_ms, covered_until_ms);
        if (!replica->ready) {
            load_snapshot(replica, partial);
        }
    }
    (void)g_ptr_array_remove(replica->partial_snapshots, partial);
}

/* Buffers a record until a snapshot has been loaded. A snapshot's own records
   are kept without contents, only to update the table of writers. */
static void
buffer_record(mb_replica_t *replica, const mb_record_t *record)
{
    buffered_record_t *entry = g_new0(buffered_record_t, 1);
    size_t size = sizeof(*entry);
    entry->record = *record;
    entry->record.writer_states = NULL;
    entry->record.writer_state_count = 0;
    if (record->type == MB_RECORD_DATA) {
        mb_buf_set(&entry->payload, record->payload);
        size += record->payload.len;
    }
    g_ptr_array_add(replica->buffered, entry);
    replica->buffered_bytes += size;
    if (replica->buffered_bytes > BUFFERED_BYTES_MAX) {
        g_ptr_array_set_size(replica->buffered, 0);
        replica->buffered_bytes = 0;
        replica->min_as_of = record->offset + 1;
    }
}

/* Handles a record of the stream; records are to be fed in order. Records fed
   before are ignored. A gap changes nothing; the caller must then call
   mb_replica_start. */
mb_feed_result_t
mb_replica_feed(mb_replica_t *replica, const mb_record_t *record)
{
    if (record->offset < replica->next) {
        return MB_FEED_DUPLICATE;
    }
    if (record->offset > replica->next) {
        return MB_FEED_GAP;
    }
    replica->next = record->offset + 1;
    sample_time(replica, record);
    if (replica->ready) {
        mb_feed_result_t result = apply_record(replica, record);
        if (result == MB_FEED_SNAPSHOT) {
            handle_snapshot_record(replica, record);
        }
        return result;
    }
    buffer_record(replica, record);
    if (record->type != MB_RECORD_DATA) {
        handle_snapshot_record(replica, record);
    }
    return MB_FEED_BUFFERED;
}

/* Skips the record at an offset, which can't be decoded. */
void
mb_replica_skip(mb_replica_t *replica, uint64_t offset)
{
    if (offset == replica->next) {
        replica->next++;
    }
}

/* Returns whether this process should write a snapshot now: the oldest record
   that no snapshot includes (see covered_until_ms) is older than a quarter of
   the retention time, and since then a delay has passed. The delay is one step
   (see RANK_DELAY_DIVISOR) per rank plus a random fraction of a step, so that
   usually only one process writes a snapshot, and at most a quarter of the
   retention time. `log_now_ms` is the present time by the log's clock, `rank`
   the position of this process among those that write snapshots, and
   `jitter_permille` the random fraction. */
bool
mb_replica_snapshot_due(const mb_replica_t *replica, uint64_t log_now_ms,
                        uint32_t rank, uint32_t jitter_permille)
{
    uint64_t retention = replica->config.retention_ms;
    uint64_t step = retention / RANK_DELAY_DIVISOR;
    uint64_t delay = step * rank + step * jitter_permille / 1000;
    if (!replica->ready || !replica->config.snapshots ||
        replica->covered_until_ms == 0) {
        return false;
    }
#ifdef MB_MUTANT_SNAPSHOT_NOT_REFRESHED
    delay = retention * SNAPSHOT_DUE_DIVISOR;
    return log_now_ms > replica->covered_until_ms + delay;
#endif
    return log_now_ms > replica->covered_until_ms +
                            retention / SNAPSHOT_DUE_DIVISOR +
                            MIN(delay, retention / SNAPSHOT_DUE_DIVISOR);
}

/* A snapshot that is being written. */
typedef struct snapshot_emitter {
    mb_record_t record;
    mb_writer_state_t writer_states[MB_RECORD_WRITER_STATES_MAX];
    void (*emit)(void *context, const mb_record_t *record);
    void *context;
} snapshot_emitter_t;

/* Emits one record of a snapshot, with the next index. */
static void
emit_part(snapshot_emitter_t *emitter, mb_record_type_t type)
{
    emitter->record.type = type;
    emitter->emit(emitter->context, &emitter->record);
    emitter->record.index++;
}

/* Emits one chunk of the state; the callback of `save`. */
static void
emit_chunk(void *context, mb_str_t chunk)
{
    snapshot_emitter_t *emitter = context;
    g_assert(chunk.len <= MB_RECORD_PAYLOAD_MAX);
    emitter->record.payload = chunk;
    emit_part(emitter, MB_RECORD_SNAPSHOT_CHUNK);
    emitter->record.payload = MB_STR_EMPTY;
}

/* Emits the table of writers in parts. Without it, a process that starts from
   the snapshot would apply a record again when a late duplicate follows. */
static void
emit_writers(const mb_replica_t *replica, snapshot_emitter_t *emitter)
{
    GHashTableIter iter;
    void *value;
    uint32_t count = 0;
    g_hash_table_iter_init(&iter, replica->writers);
    emitter->record.writer_states = emitter->writer_states;
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        emitter->writer_states[count++] = *(mb_writer_state_t *)value;
        if (count == MB_RECORD_WRITER_STATES_MAX) {
            emitter->record.writer_state_count = count;
            emit_part(emitter, MB_RECORD_SNAPSHOT_WRITERS);
            count = 0;
        }
    }
    emitter->record.writer_state_count = count;
    if (count > 0) {
        emit_part(emitter, MB_RECORD_SNAPSHOT_WRITERS);
    }
    emitter->record.writer_states = NULL;
    emitter->record.writer_state_count = 0;
}

/* Passes the records of a snapshot of the present state to `emit`, which must
   append them in this order and set the writer and the sequence number. The
   records are borrowed for the call. `snapshot` is a new unique id. The
   replica must be ready. */
void
mb_replica_save(mb_replica_t *replica, uint64_t snapshot,
                void (*emit)(void *context, const mb_record_t *record),
                void *context)
{
    snapshot_emitter_t emitter = {.emit = emit, .context = context};
    emitter.record.snapshot = snapshot;
    emitter.record.as_of = replica->next;
    emitter.record.payload = MB_STR_EMPTY;
    g_assert(replica->ready);
    emit_part(&emitter, MB_RECORD_SNAPSHOT_BEGIN);
#ifndef MB_MUTANT_SNAPSHOT_WITHOUT_WRITERS
    emit_writers(replica, &emitter);
#endif
    replica->callbacks.save(replica->callbacks.context, emit_chunk, &emitter);
    emit_part(&emitter, MB_RECORD_SNAPSHOT_END);
}
