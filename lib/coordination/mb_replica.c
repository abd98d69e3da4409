#include "mb_replica.h"

#include <glib.h>
#include <string.h>

/* Most bytes of records that wait for a snapshot. When full, the replica
   drops them and waits for a snapshot that includes them. */
#define BUFFERED_MAX (64u * 1024u * 1024u)
/* Most snapshots in progress; the one that began first is dropped. */
#define PARTIALS_MAX 16
/* Largest snapshot in bytes; a larger one is not loaded. */
#define SNAPSHOT_MAX (256u * 1024u * 1024u)
/* A snapshot is due at this part of the retention time. */
#define DUE_DIVISOR 4
/* Least time between two samples as a part of the retention time. */
#define SAMPLE_DIVISOR 256
/* Delay of each rank as a part of the retention time. */
#define RANK_DIVISOR 64

/* A snapshot of which some records were read. */
typedef struct partial {
    uint64_t id;
    uint64_t as_of;
    uint64_t next_index;
    GPtrArray *chunks;     /* mb_buf_t */
    GArray *writer_states; /* mb_writer_state_t */
    size_t bytes;
} partial_t;

/* A record that owns its payload. */
typedef struct held {
    mb_record_t record;
    mb_buf_t payload;
} held_t;

/* Frees an owned buffer. */
static void
free_buf(void *buf)
{
    mb_buf_finish(buf);
    g_free(buf);
}

/* Frees a snapshot in progress. */
static void
free_partial(void *memory)
{
    partial_t *partial = memory;
    g_ptr_array_unref(partial->chunks);
    g_array_unref(partial->writer_states);
    g_free(partial);
}

/* Frees a record that waited. */
static void
free_held(void *memory)
{
    held_t *held = memory;
    mb_buf_finish(&held->payload);
    g_free(held);
}

/* Makes a replica that has read nothing; mb_replica_start comes next. */
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
    replica->partial_snapshots = g_ptr_array_new_with_free_func(free_partial);
    replica->buffered = g_ptr_array_new_with_free_func(free_held);
}

/* Frees everything; the state behind the callbacks stays. */
void
mb_replica_finish(mb_replica_t *replica)
{
    g_hash_table_unref(replica->writers);
    g_ptr_array_unref(replica->partial_snapshots);
    g_ptr_array_unref(replica->buffered);
}

/* Forgets all writers. */
static void
clear_writers(mb_replica_t *replica)
{
    replica->last_writer_state = NULL;
    g_hash_table_remove_all(replica->writers);
}

/* Begins to read at the earliest retained offset, at first and again when
   records expired before they were read. The state in force stays until a
   snapshot replaces it. */
void
mb_replica_start(mb_replica_t *replica, uint64_t earliest)
{
    bool again = replica->ready || replica->next > 0;
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
    replica->reloads += again;
}

/* Tells whether the state is that of the stream. */
bool
mb_replica_ready(const mb_replica_t *replica)
{
    return replica->ready;
}

/* Returns the last sequence number of this process that was replayed. */
uint64_t
mb_replica_own_sequence(const mb_replica_t *replica)
{
    uint64_t writer = replica->config.writer;
    const mb_writer_state_t *mark =
        g_hash_table_lookup(replica->writers, &writer);
    return mark != NULL ? mark->sequence : 0;
}

/* Tells whether a writer was silent for one retention time; by the times of
   records only, so that every reader decides alike. */
static bool
mark_expired(const mb_replica_t *replica, const mb_writer_state_t *mark,
             uint64_t time_ms)
{
    return mark->time_ms + replica->config.retention_ms < time_ms;
}

/* Makes room in a full table of writers: drops all that expired, or else the
   one seen longest ago. */
static void
trim_writers(mb_replica_t *replica, uint64_t time_ms)
{
    GHashTableIter iter;
    void *value;
    mb_writer_state_t *oldest = NULL;
    bool removed = false;
    replica->last_writer_state = NULL;
    g_hash_table_iter_init(&iter, replica->writers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_writer_state_t *mark = value;
        if (mark_expired(replica, mark, time_ms)) {
            g_hash_table_iter_remove(&iter);
            removed = true;
        }
        else if (oldest == NULL || mark->time_ms < oldest->time_ms ||
                 (mark->time_ms == oldest->time_ms &&
                  mark->writer < oldest->writer)) {
            oldest = mark;
        }
    }
    if (!removed && oldest != NULL) {
        (void)g_hash_table_remove(replica->writers, &oldest->writer);
    }
}

/* Adds or replaces the mark of a writer. */
static void
set_mark(mb_replica_t *replica, const mb_writer_state_t *mark)
{
    mb_writer_state_t *copy = g_memdup2(mark, sizeof(*mark));
    if (g_hash_table_size(replica->writers) >= MB_REPLICA_WRITERS_MAX) {
        trim_writers(replica, mark->time_ms);
    }
    replica->last_writer_state = copy;
    g_hash_table_replace(replica->writers, &copy->writer, copy);
}

/* Notes a record's sequence number; false when it was seen before. */
static bool
advance_writer(mb_replica_t *replica, const mb_record_t *record)
{
    mb_writer_state_t *mark = replica->last_writer_state;
    if (mark == NULL || mark->writer != record->writer) {
        mark = g_hash_table_lookup(replica->writers, &record->writer);
    }
    if (mark == NULL) {
        mb_writer_state_t fresh = {record->writer, record->sequence,
                                   record->time_ms};
        set_mark(replica, &fresh);
        return true;
    }
    replica->last_writer_state = mark;
#ifndef MB_MUTANT_WRITER_NOT_DEDUPLICATED
    if (record->sequence <= mark->sequence &&
        !mark_expired(replica, mark, record->time_ms)) {
        return false;
    }
#endif
    mark->sequence = record->sequence;
    mark->time_ms = record->time_ms;
    return true;
}

/* Finds a snapshot in progress by its id; NULL when there is none. */
static partial_t *
find_partial(mb_replica_t *replica, uint64_t id)
{
    GPtrArray *partial_snapshots = replica->partial_snapshots;
    for (guint i = 0; i < partial_snapshots->len; i++) {
        partial_t *partial = g_ptr_array_index(partial_snapshots, i);
        if (partial->id == id) {
            return partial;
        }
    }
    return NULL;
}

/* Begins a snapshot; an id that is there already is a duplicate. */
static void
begin_partial(mb_replica_t *replica, const mb_record_t *record)
{
    GPtrArray *partial_snapshots = replica->partial_snapshots;
    if (find_partial(replica, record->snapshot) != NULL) {
        return;
    }
    if (partial_snapshots->len >= PARTIALS_MAX) {
        (void)g_ptr_array_remove_index(partial_snapshots, 0);
    }
    partial_t *partial = g_new0(partial_t, 1);
    partial->id = record->snapshot;
    partial->as_of = record->as_of;
    partial->next_index = 1;
    partial->chunks = g_ptr_array_new_with_free_func(free_buf);
    partial->writer_states =
        g_array_new(FALSE, FALSE, sizeof(mb_writer_state_t));
    g_ptr_array_add(partial_snapshots, partial);
}

/* Keeps one part of a snapshot when it will be loaded. */
static void
keep_part(const mb_replica_t *replica, partial_t *partial,
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

/* Loads the chunks of a snapshot; false when one can't be decoded. */
static bool
load_chunks(mb_replica_t *replica, const partial_t *partial)
{
    const mb_replica_callbacks_t *callbacks = &replica->callbacks;
    callbacks->reset(callbacks->context);
    for (guint i = 0; i < partial->chunks->len; i++) {
        const mb_buf_t *chunk = g_ptr_array_index(partial->chunks, i);
        if (!callbacks->load(callbacks->context, mb_buf_view(chunk))) {
            mb_log_error(&replica->log, "snapshot chunk not readable index=%u",
                         i);
            return false;
        }
    }
    if (callbacks->loaded != NULL) {
        callbacks->loaded(callbacks->context, partial->as_of);
    }
    return true;
}

/* Applies a record of the live stream. */
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

/* Replaces the state by a complete snapshot and applies what came after. */
static void
load_partial(mb_replica_t *replica, const partial_t *partial)
{
    GPtrArray *buffered = replica->buffered;
    if (!load_chunks(replica, partial)) {
        return;
    }
    clear_writers(replica);
    for (guint i = 0; i < partial->writer_states->len; i++) {
        set_mark(replica,
                 &g_array_index(partial->writer_states, mb_writer_state_t, i));
    }
    replica->ready = true;
    for (guint i = 0; i < buffered->len; i++) {
        held_t *held = g_ptr_array_index(buffered, i);
        held->record.payload = mb_buf_view(&held->payload);
        if (held->record.offset >= partial->as_of) {
            (void)apply_record(replica, &held->record);
        }
    }
    g_ptr_array_set_size(buffered, 0);
    replica->buffered_bytes = 0;
    mb_log_info(&replica->log, "snapshot loaded as_of=%" G_GUINT64_FORMAT,
                partial->as_of);
}

/* Notes when the log took a record, unless the sample before is young. */
static void
note_time(mb_replica_t *replica, const mb_record_t *record)
{
    uint64_t step = replica->config.retention_ms / SAMPLE_DIVISOR;
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

/* Returns until when a snapshot covers the stream: the time of the first
   record that it does not include, or one sample less; 0 when that record is
   older than all samples. The time of the snapshot's own records says nothing:
   a writer that was paused or waited for the log saves an old state. */
static uint64_t
covered_until(const mb_replica_t *replica, uint64_t as_of)
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

/* Takes one record of a snapshot. A missing part drops the snapshot. */
static void
take_snapshot_record(mb_replica_t *replica, const mb_record_t *record)
{
    if (record->type == MB_RECORD_SNAPSHOT_BEGIN) {
        begin_partial(replica, record);
        return;
    }
    partial_t *partial = find_partial(replica, record->snapshot);
    if (partial == NULL || record->index < partial->next_index) {
        return;
    }
    if (record->index > partial->next_index || partial->bytes > SNAPSHOT_MAX) {
        (void)g_ptr_array_remove(replica->partial_snapshots, partial);
        return;
    }
    partial->next_index++;
    if (record->type != MB_RECORD_SNAPSHOT_END) {
        keep_part(replica, partial, record);
        return;
    }
#ifdef MB_MUTANT_SNAPSHOT_AS_OF_IGNORED
    replica->min_as_of = 0;
#endif
    if (partial->as_of >= replica->min_as_of) {
        uint64_t covered_until_ms = covered_until(replica, partial->as_of);
#ifdef MB_MUTANT_SNAPSHOT_COVERS_TO_ITS_END
        covered_until_ms = record->time_ms;
#endif
        replica->covered_until_ms =
            MAX(replica->covered_until_ms, covered_until_ms);
        if (!replica->ready) {
            load_partial(replica, partial);
        }
    }
    (void)g_ptr_array_remove(replica->partial_snapshots, partial);
}

/* Keeps a record until a snapshot is complete. Of a snapshot's record only
   the sequence number matters then. */
static void
hold_record(mb_replica_t *replica, const mb_record_t *record)
{
    held_t *held = g_new0(held_t, 1);
    size_t size = sizeof(*held);
    held->record = *record;
    held->record.writer_states = NULL;
    held->record.writer_state_count = 0;
    if (record->type == MB_RECORD_DATA) {
        mb_buf_set(&held->payload, record->payload);
        size += record->payload.len;
    }
    g_ptr_array_add(replica->buffered, held);
    replica->buffered_bytes += size;
    if (replica->buffered_bytes > BUFFERED_MAX) {
        g_ptr_array_set_size(replica->buffered, 0);
        replica->buffered_bytes = 0;
        replica->min_as_of = record->offset + 1;
    }
}

/* Takes the next record of the stream. Records read before are passed over;
   a gap changes nothing and is answered by mb_replica_start. */
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
    note_time(replica, record);
    if (replica->ready) {
        mb_feed_result_t result = apply_record(replica, record);
        if (result == MB_FEED_SNAPSHOT) {
            take_snapshot_record(replica, record);
        }
        return result;
    }
    hold_record(replica, record);
    if (record->type != MB_RECORD_DATA) {
        take_snapshot_record(replica, record);
    }
    return MB_FEED_BUFFERED;
}

/* Passes over a record that can't be decoded. */
void
mb_replica_skip(mb_replica_t *replica, uint64_t offset)
{
    if (offset == replica->next) {
        replica->next++;
    }
}

/* Tells whether this process should write a snapshot now: the newest complete
   one is older than a quarter of the retention time, and a delay that grows
   with `rank`, plus a random part of one step, has passed. `log_now_ms` is the
   present by the log's clock. */
bool
mb_replica_snapshot_due(const mb_replica_t *replica, uint64_t log_now_ms,
                        uint32_t rank, uint32_t jitter_permille)
{
    uint64_t retention = replica->config.retention_ms;
    uint64_t step = retention / RANK_DIVISOR;
    uint64_t delay = step * rank + step * jitter_permille / 1000;
    if (!replica->ready || !replica->config.snapshots ||
        replica->covered_until_ms == 0) {
        return false;
    }
#ifdef MB_MUTANT_SNAPSHOT_NOT_REFRESHED
    delay = retention * DUE_DIVISOR;
    return log_now_ms > replica->covered_until_ms + delay;
#endif
    return log_now_ms > replica->covered_until_ms + retention / DUE_DIVISOR +
                            MIN(delay, retention / DUE_DIVISOR);
}

/* State of a snapshot that is being written. */
typedef struct saving {
    mb_record_t record;
    mb_writer_state_t writer_states[MB_RECORD_WRITER_STATES_MAX];
    void (*emit)(void *context, const mb_record_t *record);
    void *context;
} saving_t;

/* Emits one record of a snapshot and counts it. */
static void
emit_part(saving_t *saving, mb_record_type_t type)
{
    saving->record.type = type;
    saving->emit(saving->context, &saving->record);
    saving->record.index++;
}

/* Emits one chunk of the state. */
static void
emit_chunk(void *context, mb_str_t chunk)
{
    saving_t *saving = context;
    g_assert(chunk.len <= MB_RECORD_PAYLOAD_MAX);
    saving->record.payload = chunk;
    emit_part(saving, MB_RECORD_SNAPSHOT_CHUNK);
    saving->record.payload = MB_STR_EMPTY;
}

/* Emits the table of writers in parts. Without it a reader that starts at
   the snapshot would apply a late duplicate again. */
static void
emit_writers(const mb_replica_t *replica, saving_t *saving)
{
    GHashTableIter iter;
    void *value;
    uint32_t count = 0;
    g_hash_table_iter_init(&iter, replica->writers);
    saving->record.writer_states = saving->writer_states;
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        saving->writer_states[count++] = *(mb_writer_state_t *)value;
        if (count == MB_RECORD_WRITER_STATES_MAX) {
            saving->record.writer_state_count = count;
            emit_part(saving, MB_RECORD_SNAPSHOT_WRITERS);
            count = 0;
        }
    }
    saving->record.writer_state_count = count;
    if (count > 0) {
        emit_part(saving, MB_RECORD_SNAPSHOT_WRITERS);
    }
    saving->record.writer_states = NULL;
    saving->record.writer_state_count = 0;
}

/* Hands the records of a snapshot of the present state to `emit`, which
   appends them in this order; writer and sequence are not set. */
void
mb_replica_save(mb_replica_t *replica, uint64_t snapshot,
                void (*emit)(void *context, const mb_record_t *record),
                void *context)
{
    saving_t saving = {.emit = emit, .context = context};
    saving.record.snapshot = snapshot;
    saving.record.as_of = replica->next;
    saving.record.payload = MB_STR_EMPTY;
    g_assert(replica->ready);
    emit_part(&saving, MB_RECORD_SNAPSHOT_BEGIN);
#ifndef MB_MUTANT_SNAPSHOT_WITHOUT_WRITERS
    emit_writers(replica, &saving);
#endif
    replica->callbacks.save(replica->callbacks.context, emit_chunk, &saving);
    emit_part(&saving, MB_RECORD_SNAPSHOT_END);
}
