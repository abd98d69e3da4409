#include "mb_shard_record.h"

#include <string.h>

#include "mb_cleanup.h"
#include "mb_pack.h"

/* Size in which the zone for decoding allocates memory, in bytes. */
#define ZONE_BYTES 8192
/* Number of elements before the list in a batch: type, fencing token. */
#define BATCH_HEAD_ELEMENTS 2

/* Packs a size as three elements: cpu_milli, memory_mb, accelerators. */
static void
pack_size(msgpack_packer *packer, const mb_size_t *size)
{
    (void)msgpack_pack_uint32(packer, size->cpu_milli);
    (void)msgpack_pack_uint32(packer, size->memory_mb);
    (void)msgpack_pack_uint32(packer, size->accelerators);
}

/* Reads the three elements of a size. */
static mb_size_t
unpack_size(mb_unpack_t *reader)
{
    mb_size_t size;
    size.cpu_milli = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    size.memory_mb = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    size.accelerators = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    return size;
}

/* Packs an attempt as three elements: job, index, attempt. */
static void
pack_attempt(msgpack_packer *packer, mb_task_id_t task, uint32_t attempt)
{
    (void)msgpack_pack_uint64(packer, task.job);
    (void)msgpack_pack_uint32(packer, task.index);
    (void)msgpack_pack_uint32(packer, attempt);
}

/* Reads the two elements of a task: job, index. */
static mb_task_id_t
unpack_task(mb_unpack_t *reader)
{
    mb_task_id_t task;
    task.job = mb_unpack_u64(reader, UINT64_MAX);
    task.index = (uint32_t)mb_unpack_u64(reader, MB_JOB_TASKS_MAX - 1);
    return task;
}

/* Packs a claim or renewal as three elements: owner, offset of the last valid
   claim or renewal known to it (`seen`), lease in ms. */
static void
pack_claim(msgpack_packer *packer, const mb_claim_t *claim)
{
    (void)msgpack_pack_uint64(packer, claim->owner);
    (void)msgpack_pack_uint64(packer, claim->seen);
    (void)msgpack_pack_uint32(packer, claim->lease_ms);
}

/* Reads the three elements of a claim or renewal. */
static mb_claim_t
unpack_claim(mb_unpack_t *reader)
{
    mb_claim_t claim;
    claim.owner = mb_unpack_u64(reader, UINT64_MAX);
    claim.seen = mb_unpack_u64(reader, UINT64_MAX);
    claim.lease_ms = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    return claim;
}

/* Packs one start as [job, index, attempt, worker, cpu_milli, memory_mb,
   accelerators, class]. */
static void
pack_start(msgpack_packer *packer, const mb_start_t *start)
{
    (void)msgpack_pack_array(packer, 8);
    pack_attempt(packer, start->task, start->attempt);
    (void)msgpack_pack_uint64(packer, start->worker);
    pack_size(packer, &start->size);
    (void)msgpack_pack_uint8(packer, (uint8_t)start->task_class);
}

/* Packs one release as [job, index, attempt, reason, checkpoint]. */
static void
pack_release(msgpack_packer *packer, const mb_release_t *release)
{
    (void)msgpack_pack_array(packer, 5);
    pack_attempt(packer, release->task, release->attempt);
    (void)msgpack_pack_uint8(packer, (uint8_t)release->reason);
    mb_pack_bin(packer, release->checkpoint);
}

/* Packs element `i` of the list in a batch. A finish is [job, index, attempt,
   result], a closed job is [job, whether it was deleted]. */
static void
pack_element(msgpack_packer *packer, const mb_shard_record_t *record,
             uint32_t i)
{
    switch (record->type) {
    case MB_SHARD_STARTS:
        pack_start(packer, &record->body.starts[i]);
        break;
    case MB_SHARD_FINISHES:
        (void)msgpack_pack_array(packer, 4);
        pack_attempt(packer, record->body.finishes[i].task,
                     record->body.finishes[i].attempt);
        (void)msgpack_pack_uint8(packer,
                                 (uint8_t)record->body.finishes[i].result);
        break;
    case MB_SHARD_RELEASE:
        pack_release(packer, &record->body.releases[i]);
        break;
    case MB_SHARD_CLOSE:
        (void)msgpack_pack_array(packer, 2);
        (void)msgpack_pack_uint64(packer, record->body.closes[i].job);
        mb_pack_bool(packer, record->body.closes[i].job_deleted);
        break;
    case MB_SHARD_CLAIM:
    case MB_SHARD_RENEW:
    case MB_SHARD_RECORD_TYPE_COUNT:
        break;
    }
}

/* Appends a record: a claim or renewal as [type, owner, seen, lease in ms],
   any other record, a batch, as [type, fencing token, [element, ...]]. */
void
mb_shard_record_encode(mb_buf_t *out, const mb_shard_record_t *record)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    if (record->type <= MB_SHARD_RENEW) {
        (void)msgpack_pack_array(&packer, 4);
        (void)msgpack_pack_uint8(&packer, (uint8_t)record->type);
        pack_claim(&packer, &record->body.claim);
        return;
    }
    (void)msgpack_pack_array(&packer, BATCH_HEAD_ELEMENTS + 1);
    (void)msgpack_pack_uint8(&packer, (uint8_t)record->type);
    (void)msgpack_pack_uint64(&packer, record->token);
    (void)msgpack_pack_array(&packer, record->count);
    for (uint32_t i = 0; i < record->count; i++) {
        pack_element(&packer, record, i);
    }
}

/* Reads one start; see pack_start. */
static void
unpack_start(mb_unpack_t *reader, mb_start_t *start)
{
    start->task = unpack_task(reader);
    start->attempt = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    start->worker = mb_unpack_u64(reader, UINT64_MAX);
    start->size = unpack_size(reader);
    start->task_class = (mb_class_t)mb_unpack_u64(reader, MB_CLASS_COUNT - 1);
}

/* Reads element `i` of the list in a batch; see pack_element. Returns false if
   it is malformed. */
static bool
unpack_element(mb_unpack_t *list, mb_shard_record_t *record, uint32_t i)
{
    mb_unpack_t reader = mb_unpack_next_array(list);
    mb_finish_t *finish = &record->body.finishes[i];
    mb_release_t *release = &record->body.releases[i];
    switch (record->type) {
    case MB_SHARD_STARTS:
        unpack_start(&reader, &record->body.starts[i]);
        break;
    case MB_SHARD_FINISHES:
        finish->task = unpack_task(&reader);
        finish->attempt = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
        finish->result =
            (mb_task_result_t)mb_unpack_u64(&reader, MB_RESULT_COUNT - 1);
        break;
    case MB_SHARD_RELEASE:
        release->task = unpack_task(&reader);
        release->attempt = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
        release->reason = (mb_release_reason_t)mb_unpack_u64(
            &reader, MB_RELEASE_REASON_COUNT - 1);
        release->checkpoint = mb_unpack_bytes(&reader, MB_CHECKPOINT_MAX);
        break;
    case MB_SHARD_CLOSE:
        record->body.closes[i].job = mb_unpack_u64(&reader, UINT64_MAX);
        record->body.closes[i].job_deleted = mb_unpack_bool(&reader);
        break;
    case MB_SHARD_CLAIM:
    case MB_SHARD_RENEW:
    case MB_SHARD_RECORD_TYPE_COUNT:
        return false;
    }
    return mb_unpack_done(&reader);
}

/* Reads a record from its unpacked array. Returns false if it is malformed or
   its list is too long. */
static bool
unpack_record(mb_unpack_t *reader, mb_shard_record_t *record)
{
    record->type = (mb_shard_record_type_t)mb_unpack_u64(
        reader, MB_SHARD_RECORD_TYPE_COUNT - 1);
    record->token = 0;
    record->count = 0;
    if (record->type <= MB_SHARD_RENEW) {
        record->body.claim = unpack_claim(reader);
        return mb_unpack_done(reader);
    }
    record->token = mb_unpack_u64(reader, UINT64_MAX);
    mb_unpack_t list = mb_unpack_next_array(reader);
    uint32_t max = record->type == MB_SHARD_RELEASE ? MB_SHARD_RELEASES_MAX
                                                    : MB_SHARD_BATCH_MAX;
    if (!mb_unpack_done(reader) || list.left > max) {
        return false;
    }
    record->count = list.left;
    for (uint32_t i = 0; i < record->count; i++) {
        if (!unpack_element(&list, record, i)) {
            return false;
        }
    }
    return true;
}

/* Decodes a record; see the header. */
bool
mb_shard_record_decode(msgpack_zone *zone, mb_str_t bytes,
                       mb_shard_record_t *record, GError **error)
{
    msgpack_object object;
    mb_unpack_t reader;
    size_t used = 0;
    if (msgpack_unpack(bytes.data, bytes.len, &used, zone, &object) !=
            MSGPACK_UNPACK_SUCCESS ||
        used != bytes.len || !mb_unpack_array(&reader, &object) ||
        !unpack_record(&reader, record)) {
        mb_error_set(error, MB_KIND_PROTOCOL,
                     "shard record is malformed or out of bounds");
        return false;
    }
    return true;
}

/* Packs a task in a snapshot as [type, job, index, attempt, state, worker,
   cpu_milli, memory_mb, accelerators, failures * MB_CLASS_COUNT + class,
   checkpoint]. */
static void
pack_task_item(msgpack_packer *packer, const mb_shard_item_t *item)
{
    const mb_task_t *task = &item->body.task.task;
    (void)msgpack_pack_array(packer, 11);
    (void)msgpack_pack_uint8(packer, (uint8_t)item->type);
    pack_attempt(packer, item->body.task.id, task->attempt);
    (void)msgpack_pack_uint8(packer, task->state);
    (void)msgpack_pack_uint64(packer, task->worker);
    pack_size(packer, &task->size);
    (void)msgpack_pack_uint32(
        packer, (uint32_t)task->failures * MB_CLASS_COUNT + task->task_class);
    mb_pack_bin(packer, mb_task_checkpoint(task));
}

/* Appends one item of a snapshot as an array that begins with its type: the
   lease as [type, owner, offset of its last valid claim or renewal, lease in
   ms, fencing token], a closed job as [type, job, finished, failed,
   cancelled], or a task as in pack_task_item. */
void
mb_shard_item_encode(mb_buf_t *out, const mb_shard_item_t *item)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    switch (item->type) {
    case MB_SHARD_ITEM_LEASE:
        (void)msgpack_pack_array(&packer, 5);
        (void)msgpack_pack_uint8(&packer, (uint8_t)item->type);
        pack_claim(&packer, &item->body.lease.claim);
        (void)msgpack_pack_uint64(&packer, item->body.lease.token);
        break;
    case MB_SHARD_ITEM_JOB:
        (void)msgpack_pack_array(&packer, 5);
        (void)msgpack_pack_uint8(&packer, (uint8_t)item->type);
        (void)msgpack_pack_uint64(&packer, item->body.job.job);
        (void)msgpack_pack_uint32(&packer, item->body.job.finished);
        (void)msgpack_pack_uint32(&packer, item->body.job.failed);
        (void)msgpack_pack_uint32(&packer, item->body.job.cancelled);
        break;
    case MB_SHARD_ITEM_TASK:
        pack_task_item(&packer, item);
        break;
    case MB_SHARD_ITEM_TYPE_COUNT:
        break;
    }
}

/* Reads a task in a snapshot; see pack_task_item. The checkpoint points into
   the input. */
static void
unpack_task_item(mb_unpack_t *reader, mb_shard_item_t *item)
{
    mb_task_t *task = &item->body.task.task;
    memset(task, 0, sizeof(*task));
    item->body.task.id = unpack_task(reader);
    task->attempt = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    task->state = (uint8_t)mb_unpack_u64(reader, MB_TASK_STATE_COUNT - 1);
    task->worker = mb_unpack_u64(reader, UINT64_MAX);
    task->size = unpack_size(reader);
    uint64_t failures_and_class = mb_unpack_u64(
        reader, (uint64_t)UINT16_MAX * MB_CLASS_COUNT + MB_CLASS_COUNT - 1);
    task->failures = (uint16_t)(failures_and_class / MB_CLASS_COUNT);
    task->task_class = (uint8_t)(failures_and_class % MB_CLASS_COUNT);
    mb_str_t text = mb_unpack_bytes(reader, MB_CHECKPOINT_MAX);
    task->checkpoint = text.len > 0 ? (char *)text.data : NULL;
    task->checkpoint_len = (uint16_t)text.len;
}

/* Reads one item of a snapshot; returns false if it is malformed. */
static bool
unpack_item(const msgpack_object *object, mb_shard_item_t *item)
{
    mb_unpack_t reader;
    if (!mb_unpack_array(&reader, object)) {
        return false;
    }
    item->type = (mb_shard_item_type_t)mb_unpack_u64(
        &reader, MB_SHARD_ITEM_TYPE_COUNT - 1);
    switch (item->type) {
    case MB_SHARD_ITEM_LEASE:
        item->body.lease.claim = unpack_claim(&reader);
        item->body.lease.token = mb_unpack_u64(&reader, UINT64_MAX);
        break;
    case MB_SHARD_ITEM_JOB:
        item->body.job.job = mb_unpack_u64(&reader, UINT64_MAX);
        item->body.job.finished = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
        item->body.job.failed = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
        item->body.job.cancelled =
            (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
        break;
    case MB_SHARD_ITEM_TASK:
        unpack_task_item(&reader, item);
        break;
    case MB_SHARD_ITEM_TYPE_COUNT:
        return false;
    }
    return mb_unpack_done(&reader);
}

/* Applies a data record to the shard. A malformed record is skipped, in every
   process that replays it, so their states stay equal; if this process wrote
   it, the shard is still told that its append has completed. */
static void
apply_record(void *context, const mb_record_t *record, bool own)
{
    static __thread mb_shard_record_t decoded;
    msgpack_zone zone;
    if (!msgpack_zone_init(&zone, ZONE_BYTES)) {
        return;
    }
    if (mb_shard_record_decode(&zone, record->payload, &decoded, NULL)) {
        mb_shard_apply(context, record->offset, &decoded, own);
    }
    else if (own) {
        mb_shard_append_completed(context);
    }
    msgpack_zone_destroy(&zone);
}

/* Drops the replicated state, before a snapshot is loaded. */
static void
reset_state(void *context)
{
    mb_shard_reset(context);
}

/* Loads one chunk of a snapshot, a sequence of items. Returns false if one is
   malformed or the shard rejects it. */
static bool
load_chunk(void *context, mb_str_t chunk)
{
    msgpack_unpacked unpacked;
    mb_shard_item_t item;
    size_t used = 0;
    bool valid = true;
    msgpack_unpacked_init(&unpacked);
    while (valid && used < chunk.len) {
        valid = msgpack_unpack_next(&unpacked, chunk.data, chunk.len, &used) ==
                    MSGPACK_UNPACK_SUCCESS &&
                unpack_item(&unpacked.data, &item) &&
                mb_shard_load(context, &item);
    }
    msgpack_unpacked_destroy(&unpacked);
    return valid;
}

/* Collects the items of a snapshot in chunks. */
typedef struct snapshot_writer {
    mb_buf_t chunk;
    mb_buf_t encoded_item;
    void (*emit)(void *emit_context, mb_str_t chunk);
    void *emit_context;
} snapshot_writer_t;

/* Adds an item to the chunk. If it does not fit, emits the chunk first and
   begins a new one. */
static void
save_item(void *context, const mb_shard_item_t *item)
{
    snapshot_writer_t *writer = context;
    mb_buf_clear(&writer->encoded_item);
    mb_shard_item_encode(&writer->encoded_item, item);
    if (writer->chunk.len + writer->encoded_item.len > MB_RECORD_PAYLOAD_MAX) {
        writer->emit(writer->emit_context, mb_buf_view(&writer->chunk));
        mb_buf_clear(&writer->chunk);
    }
    mb_buf_append(&writer->chunk, mb_buf_view(&writer->encoded_item));
}

/* Emits the replicated state as chunks of at most MB_RECORD_PAYLOAD_MAX
   bytes. */
static void
save_state(void *context, void (*emit)(void *emit_context, mb_str_t chunk),
           void *emit_context)
{
    snapshot_writer_t writer = {.emit = emit, .emit_context = emit_context};
    mb_shard_save(context, save_item, &writer);
    if (writer.chunk.len > 0) {
        emit(emit_context, mb_buf_view(&writer.chunk));
    }
    mb_buf_finish(&writer.chunk);
    mb_buf_finish(&writer.encoded_item);
}

/* Returns the callbacks for the replica of a shard's stream; see the
   header. */
mb_replica_callbacks_t
mb_shard_record_replica_callbacks(mb_shard_t *shard)
{
    return (mb_replica_callbacks_t){.apply = apply_record,
                                    .reset = reset_state,
                                    .load = load_chunk,
                                    .save = save_state,
                                    .context = shard};
}
