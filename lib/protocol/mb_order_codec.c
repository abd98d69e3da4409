#include "mb_order_codec.h"

#include "mb_frame.h"
#include "mb_pack.h"

/* Size in which the decoder's zone allocates memory, in bytes. */
#define ZONE_BYTES 8192
/* Maximum number of msgpack objects in one message. */
#define OBJECTS_MAX (MB_ORDER_ROWS_MAX * 64u)
/* Maximum length of an approval, in bytes. */
#define APPROVAL_MAX 1024u
/* Maximum of a throttle, in percent of full speed. */
#define THROTTLE_PERCENT_MAX 100u

/* Upper bound of the size of a message without its rows, in bytes: the
   worker's texts and labels, and the numbers. */
#define HEAD_BYTES_MAX                                                        \
    ((MB_WORKER_LABELS_MAX + 4u) * (MB_ORDER_TEXT_MAX + 8u) + 1024u)
G_STATIC_ASSERT(MB_ORDER_BYTES_MAX + HEAD_BYTES_MAX <= MB_FRAME_MAX);
G_STATIC_ASSERT(MB_REPORT_BYTES_MAX + HEAD_BYTES_MAX <= MB_FRAME_MAX);

/* Initializes a decoder; returns false when out of memory. */
bool
mb_order_decoder_init(mb_order_decoder_t *decoder)
{
    mb_order_init(&decoder->order);
    mb_report_init(&decoder->report);
    return msgpack_zone_init(&decoder->zone, ZONE_BYTES);
}

/* Releases the memory of a decoder. */
void
mb_order_decoder_finish(mb_order_decoder_t *decoder)
{
    mb_order_finish(&decoder->order);
    mb_report_finish(&decoder->report);
    msgpack_zone_destroy(&decoder->zone);
}

/* Packs a run of a task as five elements: job id, occurrence, step, index, run
   number. */
static void
pack_run(msgpack_packer *packer, const mb_dag_task_id_t *task, uint64_t run)
{
    mb_pack_bin(packer, mb_dag_id_view(&task->job));
    (void)msgpack_pack_uint32(packer, task->occurrence);
    (void)msgpack_pack_uint32(packer, task->step);
    (void)msgpack_pack_uint32(packer, task->index);
    (void)msgpack_pack_uint64(packer, run);
}

/* Reads the five elements of a run. */
static void
unpack_run(mb_unpack_t *reader, mb_dag_task_id_t *task, uint64_t *run)
{
    mb_str_t job = mb_unpack_bytes(reader, MB_DAG_ID_LEN);
    reader->failed = reader->failed || !mb_dag_id_parse(job, &task->job);
    task->occurrence = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    task->step = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    task->index = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    *run = mb_unpack_u64(reader, UINT64_MAX);
}

/* Number of elements of one row in each list. A list is packed as one array in
   which the elements of all rows follow each other. */
enum {
    START_ELEMENTS = 11,
    STOP_ELEMENTS = 5,
    RUN_ELEMENTS = 11,
    END_ELEMENTS = 8,
    REFUSAL_ELEMENTS = 6,
    THROTTLE_ELEMENTS = 6
};

/* Starts to read a list whose rows have `elements` elements. If it is not an
   array of at most MB_ORDER_ROWS_MAX complete rows, marks `reader` as failed
   and returns an empty list. */
static mb_unpack_t
unpack_rows(mb_unpack_t *reader, uint32_t elements)
{
    mb_unpack_t rows = mb_unpack_next_array(reader);
    if (rows.left % elements != 0 ||
        rows.left / elements > MB_ORDER_ROWS_MAX) {
        reader->failed = true;
        rows.left = 0;
    }
    return rows;
}

/* Packs the starts of an order: run, payload, checkpoint, approval, image,
   latency target in ms, whether it is best-effort work. */
static void
pack_starts(msgpack_packer *packer, const GArray *starts)
{
    (void)msgpack_pack_array(packer, (size_t)starts->len * START_ELEMENTS);
    for (guint i = 0; i < starts->len; i++) {
        const mb_order_start_t *start =
            &g_array_index(starts, mb_order_start_t, i);
        pack_run(packer, &start->task, start->run);
        mb_pack_bin(packer, start->payload);
        mb_pack_bin(packer, start->checkpoint);
        mb_pack_bin(packer, start->approval);
        mb_pack_str(packer, start->image);
        (void)msgpack_pack_uint32(packer, start->latency_target_ms);
        mb_pack_bool(packer, start->best_effort);
    }
}

/* Reads the starts of an order; see pack_starts. */
static void
unpack_starts(mb_unpack_t *reader, GArray *starts)
{
    mb_unpack_t rows = unpack_rows(reader, START_ELEMENTS);
    while (rows.left > 0 && !rows.failed) {
        mb_order_start_t start = {0};
        unpack_run(&rows, &start.task, &start.run);
        start.payload = mb_unpack_bytes(&rows, MB_DAG_PAYLOAD_MAX);
        start.checkpoint = mb_unpack_bytes(&rows, MB_DAG_CHECKPOINT_MAX);
        start.approval = mb_unpack_bytes(&rows, APPROVAL_MAX);
        start.image = mb_unpack_bytes(&rows, MB_ORDER_TEXT_MAX);
        start.latency_target_ms = (uint32_t)mb_unpack_u64(&rows, UINT32_MAX);
        start.best_effort = mb_unpack_bool(&rows);
        g_array_append_val(starts, start);
    }
    reader->failed = reader->failed || rows.failed;
}

/* Packs the stops of an order: run. */
static void
pack_stops(msgpack_packer *packer, const GArray *stops)
{
    (void)msgpack_pack_array(packer, (size_t)stops->len * STOP_ELEMENTS);
    for (guint i = 0; i < stops->len; i++) {
        const mb_order_stop_t *stop =
            &g_array_index(stops, mb_order_stop_t, i);
        pack_run(packer, &stop->task, stop->run);
    }
}

/* Reads the stops of an order. */
static void
unpack_stops(mb_unpack_t *reader, GArray *stops)
{
    mb_unpack_t rows = unpack_rows(reader, STOP_ELEMENTS);
    while (rows.left > 0 && !rows.failed) {
        mb_order_stop_t stop = {0};
        unpack_run(&rows, &stop.task, &stop.run);
        g_array_append_val(stops, stop);
    }
    reader->failed = reader->failed || rows.failed;
}

/* Packs the throttles of an order: run, percent of full speed. */
static void
pack_throttles(msgpack_packer *packer, const GArray *throttles)
{
    (void)msgpack_pack_array(packer,
                             (size_t)throttles->len * THROTTLE_ELEMENTS);
    for (guint i = 0; i < throttles->len; i++) {
        const mb_order_throttle_t *throttle =
            &g_array_index(throttles, mb_order_throttle_t, i);
        pack_run(packer, &throttle->task, throttle->run);
        (void)msgpack_pack_uint32(packer, throttle->percent);
    }
}

/* Reads the throttles of an order; see pack_throttles. */
static void
unpack_throttles(mb_unpack_t *reader, GArray *throttles)
{
    mb_unpack_t rows = unpack_rows(reader, THROTTLE_ELEMENTS);
    while (rows.left > 0 && !rows.failed) {
        mb_order_throttle_t throttle = {0};
        unpack_run(&rows, &throttle.task, &throttle.run);
        throttle.percent =
            (uint32_t)mb_unpack_u64(&rows, THROTTLE_PERCENT_MAX);
        g_array_append_val(throttles, throttle);
    }
    reader->failed = reader->failed || rows.failed;
}

/* Appends an order as [fencing token, sequence, sequence of the newest report
   received, lease in ms, incarnation of the worker, number up to which ends
   are stored in the log, starts, stops, throttles]. */
void
mb_order_encode(mb_buf_t *out, const mb_order_t *order)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 9);
    (void)msgpack_pack_uint64(&packer, order->token);
    (void)msgpack_pack_uint64(&packer, order->sequence);
    (void)msgpack_pack_uint64(&packer, order->report_sequence);
    (void)msgpack_pack_uint32(&packer, order->lease_ms);
    (void)msgpack_pack_uint64(&packer, order->incarnation);
    (void)msgpack_pack_uint64(&packer, order->acknowledged);
    pack_starts(&packer, order->starts);
    pack_stops(&packer, order->stops);
    pack_throttles(&packer, order->throttles);
}

/* Packs what a worker reports about itself as [state, name, incarnation,
   service, failure domain, cpu_milli, memory_mb, accelerators, rack, labels].
   The start time is not sent. */
static void
pack_info(msgpack_packer *packer, const mb_worker_info_t *info)
{
    (void)msgpack_pack_array(packer, 10);
    (void)msgpack_pack_uint32(packer, (uint32_t)info->state);
    mb_pack_str(packer, info->name);
    (void)msgpack_pack_uint64(packer, info->incarnation);
    mb_pack_str(packer, info->service);
    mb_pack_str(packer, info->failure_domain);
    (void)msgpack_pack_uint32(packer, info->capacity.cpu_milli);
    (void)msgpack_pack_uint32(packer, info->capacity.memory_mb);
    (void)msgpack_pack_uint32(packer, info->capacity.accelerators);
    mb_pack_str(packer, info->rack);
    (void)msgpack_pack_array(packer, info->label_count);
    for (uint32_t i = 0; i < info->label_count; i++) {
        mb_pack_str(packer, info->labels[i]);
    }
}

/* Reads what a worker reports about itself; see pack_info. */
static void
unpack_info(mb_unpack_t *outer, mb_worker_info_t *info)
{
    mb_unpack_t reader = mb_unpack_next_array(outer);
    info->state =
        (mb_worker_state_t)mb_unpack_u64(&reader, MB_WORKER_STATE_COUNT - 1);
    info->name = mb_unpack_bytes(&reader, MB_ORDER_TEXT_MAX);
    info->incarnation = mb_unpack_u64(&reader, UINT64_MAX);
    info->service = mb_unpack_bytes(&reader, MB_ORDER_TEXT_MAX);
    info->failure_domain = mb_unpack_bytes(&reader, MB_ORDER_TEXT_MAX);
    info->capacity.cpu_milli = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    info->capacity.memory_mb = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    info->capacity.accelerators = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    info->rack = mb_unpack_bytes(&reader, MB_ORDER_TEXT_MAX);
    mb_unpack_t labels = mb_unpack_next_array(&reader);
    info->label_count = 0;
    while (labels.left > 0 && !labels.failed &&
           info->label_count < MB_WORKER_LABELS_MAX) {
        info->labels[info->label_count++] =
            mb_unpack_bytes(&labels, MB_ORDER_TEXT_MAX);
    }
    outer->failed =
        outer->failed || !mb_unpack_done(&labels) || !mb_unpack_done(&reader);
}

/* Packs the runs of a report: run, whether the worker has confirmed it,
   whether its attributes are known, throttle percent, progress, value,
   checkpoint. */
static void
pack_runs(msgpack_packer *packer, const GArray *runs)
{
    (void)msgpack_pack_array(packer, (size_t)runs->len * RUN_ELEMENTS);
    for (guint i = 0; i < runs->len; i++) {
        const mb_report_run_t *run = &g_array_index(runs, mb_report_run_t, i);
        pack_run(packer, &run->task, run->run);
        mb_pack_bool(packer, run->confirmed);
        mb_pack_bool(packer, run->attributes_known);
        (void)msgpack_pack_uint32(packer, run->throttle_percent);
        (void)msgpack_pack_uint32(packer, run->progress);
        (void)msgpack_pack_uint32(packer, run->value);
        mb_pack_bin(packer, run->checkpoint);
    }
}

/* Reads the runs of a report; see pack_runs. */
static void
unpack_runs(mb_unpack_t *reader, GArray *runs)
{
    mb_unpack_t rows = unpack_rows(reader, RUN_ELEMENTS);
    while (rows.left > 0 && !rows.failed) {
        mb_report_run_t run = {0};
        unpack_run(&rows, &run.task, &run.run);
        run.confirmed = mb_unpack_bool(&rows);
        run.attributes_known = mb_unpack_bool(&rows);
        run.throttle_percent = (uint32_t)mb_unpack_u64(&rows, UINT32_MAX);
        run.progress = (uint32_t)mb_unpack_u64(&rows, UINT32_MAX);
        run.value = (uint32_t)mb_unpack_u64(&rows, UINT32_MAX);
        run.checkpoint = mb_unpack_bytes(&rows, MB_DAG_CHECKPOINT_MAX);
        g_array_append_val(runs, run);
    }
    reader->failed = reader->failed || rows.failed;
}

/* Packs the ended runs of a report: number of the end, run, how it ended,
   checkpoint. */
static void
pack_ends(msgpack_packer *packer, const GArray *ends)
{
    (void)msgpack_pack_array(packer, (size_t)ends->len * END_ELEMENTS);
    for (guint i = 0; i < ends->len; i++) {
        const mb_report_end_t *end = &g_array_index(ends, mb_report_end_t, i);
        (void)msgpack_pack_uint64(packer, end->number);
        pack_run(packer, &end->task, end->run);
        (void)msgpack_pack_uint32(packer, (uint32_t)end->how);
        mb_pack_bin(packer, end->checkpoint);
    }
}

/* Reads the ended runs of a report; see pack_ends. */
static void
unpack_ends(mb_unpack_t *reader, GArray *ends)
{
    mb_unpack_t rows = unpack_rows(reader, END_ELEMENTS);
    while (rows.left > 0 && !rows.failed) {
        mb_report_end_t end = {0};
        end.number = mb_unpack_u64(&rows, UINT64_MAX);
        unpack_run(&rows, &end.task, &end.run);
        end.how = (mb_run_end_t)mb_unpack_u64(&rows, MB_RUN_END_COUNT - 1);
        end.checkpoint = mb_unpack_bytes(&rows, MB_DAG_CHECKPOINT_MAX);
        g_array_append_val(ends, end);
    }
    reader->failed = reader->failed || rows.failed;
}

/* Packs the refused starts of a report: run, reason. */
static void
pack_refusals(msgpack_packer *packer, const GArray *refusals)
{
    (void)msgpack_pack_array(packer, (size_t)refusals->len * REFUSAL_ELEMENTS);
    for (guint i = 0; i < refusals->len; i++) {
        const mb_report_refusal_t *refusal =
            &g_array_index(refusals, mb_report_refusal_t, i);
        pack_run(packer, &refusal->task, refusal->run);
        (void)msgpack_pack_uint32(packer, (uint32_t)refusal->reason);
    }
}

/* Reads the refused starts of a report; see pack_refusals. */
static void
unpack_refusals(mb_unpack_t *reader, GArray *refusals)
{
    mb_unpack_t rows = unpack_rows(reader, REFUSAL_ELEMENTS);
    while (rows.left > 0 && !rows.failed) {
        mb_report_refusal_t refusal = {0};
        unpack_run(&rows, &refusal.task, &refusal.run);
        refusal.reason =
            (mb_refusal_t)mb_unpack_u64(&rows, MB_REFUSAL_COUNT - 1);
        g_array_append_val(refusals, refusal);
    }
    reader->failed = reader->failed || rows.failed;
}

/* Appends a report as [highest fencing token, sequence, sequence of the latest
   order processed, whether it lists all runs, whether the agent drains,
   worker, runs, ends, refusals, incarnation of the agent, age of the figures
   of the runs in ms, whether the worker has further ends]. */
void
mb_report_encode(mb_buf_t *out, const mb_report_t *report)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 12);
    (void)msgpack_pack_uint64(&packer, report->token);
    (void)msgpack_pack_uint64(&packer, report->sequence);
    (void)msgpack_pack_uint64(&packer, report->order_sequence);
    mb_pack_bool(&packer, report->complete);
    mb_pack_bool(&packer, report->draining);
    pack_info(&packer, &report->worker);
    pack_runs(&packer, report->runs);
    pack_ends(&packer, report->ends);
    pack_refusals(&packer, report->refusals);
    (void)msgpack_pack_uint64(&packer, report->agent_incarnation);
    (void)msgpack_pack_uint32(&packer, report->figures_age_ms);
    mb_pack_bool(&packer, report->ends_cut);
}

/* Validates and unpacks a message, and starts to read its array. Returns false
   if it is malformed. */
static bool
begin_message(mb_order_decoder_t *decoder, mb_str_t bytes, mb_unpack_t *reader)
{
    msgpack_object object;
    size_t offset = 0;
    msgpack_zone_clear(&decoder->zone);
    return mb_pack_validate(bytes, OBJECTS_MAX) &&
           msgpack_unpack(bytes.data, bytes.len, &offset, &decoder->zone,
                          &object) == MSGPACK_UNPACK_SUCCESS &&
           mb_unpack_array(reader, &object);
}

/* Decodes an order; see the header. */
bool
mb_order_decode(mb_order_decoder_t *decoder, mb_str_t bytes, GError **error)
{
    mb_unpack_t reader;
    mb_order_t *order = &decoder->order;
    mb_order_clear(order);
    if (!begin_message(decoder, bytes, &reader)) {
        mb_error_set(error, MB_KIND_PROTOCOL, "order is not valid msgpack");
        return false;
    }
    order->token = mb_unpack_u64(&reader, UINT64_MAX);
    order->sequence = mb_unpack_u64(&reader, UINT64_MAX);
    order->report_sequence = mb_unpack_u64(&reader, UINT64_MAX);
    order->lease_ms = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    order->incarnation = mb_unpack_u64(&reader, UINT64_MAX);
    order->acknowledged = mb_unpack_u64(&reader, UINT64_MAX);
    unpack_starts(&reader, order->starts);
    unpack_stops(&reader, order->stops);
    unpack_throttles(&reader, order->throttles);
    if (!mb_unpack_done(&reader)) {
        mb_error_set(error, MB_KIND_PROTOCOL,
                     "order has missing, extra or invalid fields");
        return false;
    }
    return true;
}

/* Decodes a report; see the header. */
bool
mb_report_decode(mb_order_decoder_t *decoder, mb_str_t bytes, GError **error)
{
    mb_unpack_t reader;
    mb_report_t *report = &decoder->report;
    mb_report_clear(report);
    if (!begin_message(decoder, bytes, &reader)) {
        mb_error_set(error, MB_KIND_PROTOCOL, "report is not valid msgpack");
        return false;
    }
    report->token = mb_unpack_u64(&reader, UINT64_MAX);
    report->sequence = mb_unpack_u64(&reader, UINT64_MAX);
    report->order_sequence = mb_unpack_u64(&reader, UINT64_MAX);
    report->complete = mb_unpack_bool(&reader);
    report->draining = mb_unpack_bool(&reader);
    unpack_info(&reader, &report->worker);
    unpack_runs(&reader, report->runs);
    unpack_ends(&reader, report->ends);
    unpack_refusals(&reader, report->refusals);
    /* Agents of earlier versions don't send these. */
    report->agent_incarnation =
        reader.left > 0 ? mb_unpack_u64(&reader, UINT64_MAX) : 0;
    report->figures_age_ms =
        reader.left > 0 ? (uint32_t)mb_unpack_u64(&reader, UINT32_MAX) : 0;
    report->ends_cut = reader.left > 0 && mb_unpack_bool(&reader);
    if (!mb_unpack_done(&reader)) {
        mb_error_set(error, MB_KIND_PROTOCOL,
                     "report has missing, extra or invalid fields");
        return false;
    }
    return true;
}
