#include "mb_worker_msg.h"

#include "mb_pack.h"

/* Packs a task as two elements: job, index. */
static void
pack_task(msgpack_packer *packer, mb_task_id_t task)
{
    (void)msgpack_pack_uint64(packer, task.job);
    (void)msgpack_pack_uint32(packer, task.index);
}

/* Packs an attempt as three elements: job, index, attempt. */
static void
pack_attempt(msgpack_packer *packer, const mb_attempt_t *id)
{
    pack_task(packer, id->task);
    (void)msgpack_pack_uint32(packer, id->attempt);
}

/* Reads the two elements of a task. */
static mb_task_id_t
unpack_task(mb_unpack_t *reader)
{
    mb_task_id_t task;
    task.job = mb_unpack_u64(reader, UINT64_MAX);
    task.index = (uint32_t)mb_unpack_u64(reader, MB_JOB_TASKS_MAX - 1);
    return task;
}

/* Reads the three elements of an attempt. */
static mb_attempt_t
unpack_attempt(mb_unpack_t *reader)
{
    mb_attempt_t id;
    id.task = unpack_task(reader);
    id.attempt = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    return id;
}

/* Packs a list of attempts: [[job, index, attempt], ...]. */
static void
pack_attempts(msgpack_packer *packer, const mb_attempt_t *ids, uint32_t count)
{
    (void)msgpack_pack_array(packer, count);
    for (uint32_t i = 0; i < count; i++) {
        (void)msgpack_pack_array(packer, 3);
        pack_attempt(packer, &ids[i]);
    }
}

/* Starts to read the next element, a list of at most MB_SYNC_LIST_MAX items,
   and sets `*count` to its length. For anything else it marks `reader` as
   failed and returns an empty list. */
static mb_unpack_t
unpack_list(mb_unpack_t *reader, uint32_t *count)
{
    mb_unpack_t list = mb_unpack_next_array(reader);
    if (list.left > MB_SYNC_LIST_MAX) {
        reader->failed = true;
        list.left = 0;
    }
    *count = list.left;
    return list;
}

/* Marks `reader` as failed unless the nested array was read completely and
   without failure. */
static void
finish_nested(mb_unpack_t *reader, const mb_unpack_t *nested)
{
    if (!mb_unpack_done(nested)) {
        reader->failed = true;
    }
}

/* Reads a list of attempts into `ids`, which has room for
   MB_SYNC_LIST_MAX. */
static void
unpack_attempts(mb_unpack_t *reader, mb_attempt_t *ids, uint32_t *count)
{
    mb_unpack_t list = unpack_list(reader, count);
    for (uint32_t i = 0; i < *count; i++) {
        mb_unpack_t item = mb_unpack_next_array(&list);
        ids[i] = unpack_attempt(&item);
        finish_nested(reader, &item);
    }
}

/* Packs the starts of a request, each as [job, index, attempt, cpu_milli,
   memory_mb, accelerators, command, checkpoint]. */
static void
pack_starts(msgpack_packer *packer, const mb_sync_request_t *request)
{
    (void)msgpack_pack_array(packer, request->start_count);
    for (uint32_t i = 0; i < request->start_count; i++) {
        const mb_sync_start_t *start = &request->starts[i];
        (void)msgpack_pack_array(packer, 8);
        pack_attempt(packer, &start->id);
        (void)msgpack_pack_uint32(packer, start->size.cpu_milli);
        (void)msgpack_pack_uint32(packer, start->size.memory_mb);
        (void)msgpack_pack_uint32(packer, start->size.accelerators);
        mb_pack_str(packer, start->command);
        mb_pack_bin(packer, start->checkpoint);
    }
}

/* Appends a request as [fencing token, incarnation, lease in ms, starts,
   stops, throttles, acknowledged attempts], where a stop is [job, index,
   attempt, whether to write a checkpoint] and a throttle is [job, index,
   percent]. */
void
mb_worker_msg_encode_request(mb_buf_t *out, const mb_sync_request_t *request)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 7);
    (void)msgpack_pack_uint64(&packer, request->token);
    (void)msgpack_pack_uint64(&packer, request->incarnation);
    (void)msgpack_pack_uint32(&packer, request->lease_ms);
    pack_starts(&packer, request);
    (void)msgpack_pack_array(&packer, request->stop_count);
    for (uint32_t i = 0; i < request->stop_count; i++) {
        (void)msgpack_pack_array(&packer, 4);
        pack_attempt(&packer, &request->stops[i].id);
        mb_pack_bool(&packer, request->stops[i].checkpoint);
    }
    (void)msgpack_pack_array(&packer, request->throttle_count);
    for (uint32_t i = 0; i < request->throttle_count; i++) {
        (void)msgpack_pack_array(&packer, 3);
        pack_task(&packer, request->throttles[i].task);
        (void)msgpack_pack_uint32(&packer, request->throttles[i].percent);
    }
    pack_attempts(&packer, request->acks, request->ack_count);
}

/* Packs one usage report as [job, index, cpu_milli, memory_mb, samples], where
   the samples are one array: latency in us, age in ms, latency, age, ... */
static void
pack_usage(msgpack_packer *packer, const mb_usage_t *usage)
{
    (void)msgpack_pack_array(packer, 5);
    pack_task(packer, usage->task);
    (void)msgpack_pack_uint32(packer, usage->cpu_milli);
    (void)msgpack_pack_uint32(packer, usage->memory_mb);
    (void)msgpack_pack_array(packer, (size_t)usage->sample_count * 2);
    for (uint32_t i = 0; i < usage->sample_count; i++) {
        (void)msgpack_pack_uint32(packer, usage->samples[i].latency_us);
        (void)msgpack_pack_uint32(packer, usage->samples[i].age_ms);
    }
}

/* Appends a response as [incarnation, highest fencing token, running attempts,
   finished attempts, usage reports], where a finished attempt is [job, index,
   attempt, exit code, checkpoint]. */
void
mb_worker_msg_encode_response(mb_buf_t *out,
                              const mb_sync_response_t *response)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 5);
    (void)msgpack_pack_uint64(&packer, response->incarnation);
    (void)msgpack_pack_uint64(&packer, response->highest_token);
    pack_attempts(&packer, response->running, response->running_count);
    (void)msgpack_pack_array(&packer, response->finished_count);
    for (uint32_t i = 0; i < response->finished_count; i++) {
        (void)msgpack_pack_array(&packer, 5);
        pack_attempt(&packer, &response->finished[i].id);
        (void)msgpack_pack_uint32(&packer, response->finished[i].exit_code);
        mb_pack_bin(&packer, response->finished[i].checkpoint);
    }
    (void)msgpack_pack_array(&packer, response->usage_count);
    for (uint32_t i = 0; i < response->usage_count; i++) {
        pack_usage(&packer, &response->usage[i]);
    }
}

/* Reads the starts of a request; see pack_starts. */
static void
unpack_starts(mb_unpack_t *reader, mb_sync_request_t *request)
{
    mb_unpack_t list = unpack_list(reader, &request->start_count);
    for (uint32_t i = 0; i < request->start_count; i++) {
        mb_sync_start_t *start = &request->starts[i];
        mb_unpack_t item = mb_unpack_next_array(&list);
        start->id = unpack_attempt(&item);
        start->size.cpu_milli = (uint32_t)mb_unpack_u64(&item, UINT32_MAX);
        start->size.memory_mb = (uint32_t)mb_unpack_u64(&item, UINT32_MAX);
        start->size.accelerators = (uint32_t)mb_unpack_u64(&item, UINT32_MAX);
        start->command = mb_unpack_bytes(&item, MB_COMMAND_MAX);
        start->checkpoint = mb_unpack_bytes(&item, MB_CHECKPOINT_MAX);
        finish_nested(reader, &item);
    }
}

/* Reads the lists of stops and of throttles of a request. */
static void
unpack_stops_and_throttles(mb_unpack_t *reader, mb_sync_request_t *request)
{
    mb_unpack_t list = unpack_list(reader, &request->stop_count);
    for (uint32_t i = 0; i < request->stop_count; i++) {
        mb_unpack_t item = mb_unpack_next_array(&list);
        request->stops[i].id = unpack_attempt(&item);
        request->stops[i].checkpoint = mb_unpack_bool(&item);
        finish_nested(reader, &item);
    }
    list = unpack_list(reader, &request->throttle_count);
    for (uint32_t i = 0; i < request->throttle_count; i++) {
        mb_unpack_t item = mb_unpack_next_array(&list);
        request->throttles[i].task = unpack_task(&item);
        request->throttles[i].percent = (uint32_t)mb_unpack_u64(&item, 100);
        finish_nested(reader, &item);
    }
}

/* Unpacks a body, which must be exactly one array, and starts to read it.
   Returns false, with a protocol error, for anything else. */
static bool
begin_body(msgpack_zone *zone, mb_str_t bytes, mb_unpack_t *reader,
           GError **error)
{
    msgpack_object object;
    size_t used = 0;
    if (bytes.len > MB_WORKER_MSG_MAX ||
        msgpack_unpack(bytes.data, bytes.len, &used, zone, &object) !=
            MSGPACK_UNPACK_SUCCESS ||
        used != bytes.len || !mb_unpack_array(reader, &object)) {
        mb_error_set(error, MB_KIND_PROTOCOL,
                     "sync message is too long or not a msgpack array");
        return false;
    }
    return true;
}

/* Checks that a body was read completely and without failure. Returns false,
   with a protocol error, otherwise. */
static bool
finish_body(const mb_unpack_t *reader, GError **error)
{
    if (!mb_unpack_done(reader)) {
        mb_error_set(error, MB_KIND_PROTOCOL,
                     "sync message has missing, extra or invalid fields");
        return false;
    }
    return true;
}

/* Decodes a request; see the header. */
bool
mb_worker_msg_decode_request(msgpack_zone *zone, mb_str_t bytes,
                             mb_sync_request_t *request, GError **error)
{
    mb_unpack_t reader;
    if (!begin_body(zone, bytes, &reader, error)) {
        return false;
    }
    request->token = mb_unpack_u64(&reader, UINT64_MAX);
    request->incarnation = mb_unpack_u64(&reader, UINT64_MAX);
    request->lease_ms = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    unpack_starts(&reader, request);
    unpack_stops_and_throttles(&reader, request);
    unpack_attempts(&reader, request->acks, &request->ack_count);
    return finish_body(&reader, error);
}

/* Reads the usage reports of a response; see pack_usage. */
static void
unpack_usage(mb_unpack_t *reader, mb_sync_response_t *response)
{
    mb_unpack_t list = unpack_list(reader, &response->usage_count);
    for (uint32_t i = 0; i < response->usage_count; i++) {
        mb_usage_t *usage = &response->usage[i];
        mb_unpack_t item = mb_unpack_next_array(&list);
        usage->task = unpack_task(&item);
        usage->cpu_milli = (uint32_t)mb_unpack_u64(&item, UINT32_MAX);
        usage->memory_mb = (uint32_t)mb_unpack_u64(&item, UINT32_MAX);
        mb_unpack_t samples = mb_unpack_next_array(&item);
        usage->sample_count =
            MIN(samples.left / 2, (uint32_t)MB_USAGE_SAMPLES_MAX);
        for (uint32_t k = 0; k < usage->sample_count; k++) {
            usage->samples[k].latency_us =
                (uint32_t)mb_unpack_u64(&samples, UINT32_MAX);
            usage->samples[k].age_ms =
                (uint32_t)mb_unpack_u64(&samples, UINT32_MAX);
        }
        finish_nested(reader, &samples);
        finish_nested(reader, &item);
    }
}

/* Decodes a response; see the header. */
bool
mb_worker_msg_decode_response(msgpack_zone *zone, mb_str_t bytes,
                              mb_sync_response_t *response, GError **error)
{
    mb_unpack_t reader;
    if (!begin_body(zone, bytes, &reader, error)) {
        return false;
    }
    response->incarnation = mb_unpack_u64(&reader, UINT64_MAX);
    response->highest_token = mb_unpack_u64(&reader, UINT64_MAX);
    unpack_attempts(&reader, response->running, &response->running_count);
    mb_unpack_t list = unpack_list(&reader, &response->finished_count);
    for (uint32_t i = 0; i < response->finished_count; i++) {
        mb_unpack_t item = mb_unpack_next_array(&list);
        response->finished[i].id = unpack_attempt(&item);
        response->finished[i].exit_code =
            (uint32_t)mb_unpack_u64(&item, UINT32_MAX);
        response->finished[i].checkpoint =
            mb_unpack_bytes(&item, MB_CHECKPOINT_MAX);
        finish_nested(&reader, &item);
    }
    unpack_usage(&reader, response);
    return finish_body(&reader, error);
}
