#include "mb_dag_record.h"

#include <string.h>

#include "mb_pack.h"

/* Size in which the decoder's zone allocates memory, in bytes. */
#define ZONE_BYTES 4096
/* Maximum number of msgpack objects in one record. */
#define OBJECTS_MAX (1u << 19)
/* Number of elements of a headroom estimate: key, slope, weight. */
#define PAIR_ELEMENTS 3u
/* Number of elements of the id of a task: job, occurrence, step, index. */
#define TASK_ELEMENTS 4u
/* Number of elements of the ratio of a queue: key, ratio. */
#define RATIO_ELEMENTS 2u
/* Largest ratio of a queue that is accepted, in thousandths. */
#define RATIO_MAX_MILLI 1000000u
/* Factor by which slopes are multiplied to be stored as integers. */
#define SLOPE_SCALE 1000.0
/* Version of the format. Records of other versions are rejected. */
#define RECORD_VERSION 1u
/* Version of the progress of a job with many occurrences, which has more
   elements. */
#define SPARSE_VERSION 2u
/* Largest amount of memory that is accepted, in bytes, so that sums don't
   overflow. */
#define SCHEDULER_BYTES_MAX (UINT64_C(1) << 48)
/* Number of elements of a range of occurrences: first, end. */
#define RANGE_ELEMENTS 2u

/* First letter of the key for each kind of record. */
static const char key_letters[MB_DAG_RECORD_KIND_COUNT] = {
    'j', 'c', 's', 'w', 'o', 'l', 'd', 'a', 'm', 'b'};

/* Initializes a decoder; returns false when out of memory. */
bool
mb_dag_record_decoder_init(mb_dag_record_decoder_t *decoder)
{
    decoder->rows = g_array_new(FALSE, FALSE, sizeof(mb_dag_progress_row_t));
    decoder->finished = g_array_new(FALSE, FALSE, sizeof(mb_dag_range_t));
    decoder->numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    decoder->pairs = g_array_new(FALSE, FALSE, sizeof(mb_headroom_pair_t));
    decoder->tasks = g_array_new(FALSE, FALSE, sizeof(mb_dag_task_id_t));
    mb_backlog_forecast_init(&decoder->backlog);
    return msgpack_zone_init(&decoder->zone, ZONE_BYTES);
}

/* Releases the memory of a decoder. */
void
mb_dag_record_decoder_finish(mb_dag_record_decoder_t *decoder)
{
    msgpack_zone_destroy(&decoder->zone);
    g_array_unref(decoder->rows);
    g_array_unref(decoder->finished);
    g_array_unref(decoder->numbers);
    g_array_unref(decoder->pairs);
    g_array_unref(decoder->tasks);
    mb_backlog_forecast_finish(&decoder->backlog);
}

/* Appends the key of a record; see the header. */
void
mb_dag_record_encode_key(mb_buf_t *out, mb_dag_record_kind_t kind,
                         mb_str_t name)
{
    mb_buf_append_byte(out, key_letters[kind]);
    mb_buf_append(out, name);
}

/* Packs one step as an array of its attributes. */
static void
pack_step(msgpack_packer *packer, const mb_dag_step_t *step)
{
    (void)msgpack_pack_array(packer, 18);
    (void)msgpack_pack_uint32(packer, step->count);
    (void)msgpack_pack_uint32(packer, step->size.cpu_milli);
    (void)msgpack_pack_uint32(packer, step->size.memory_mb);
    (void)msgpack_pack_uint32(packer, step->size.accelerators);
    (void)msgpack_pack_uint32(packer, step->estimate_ms);
    (void)msgpack_pack_uint64(packer, step->depends_on);
    mb_pack_bool(packer, step->checkpoints);
    mb_pack_bool(packer, step->gang);
    mb_pack_bool(packer, step->rack_local);
    mb_pack_bool(packer, step->speculative);
    mb_pack_bool(packer, step->long_running);
    mb_pack_bool(packer, step->best_effort);
    (void)msgpack_pack_uint32(packer, step->per_worker_max);
    (void)msgpack_pack_uint32(packer, step->latency_target_ms);
    (void)msgpack_pack_uint32(packer, step->unavailable_max);
    mb_pack_str(packer, step->label);
    mb_pack_str(packer, step->rack);
    mb_pack_str(packer, step->image);
}

/* Reads one step; see pack_step. */
static void
unpack_step(mb_unpack_t *outer, mb_dag_step_t *step)
{
    mb_unpack_t reader = mb_unpack_next_array(outer);
    step->count = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    step->size.cpu_milli = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    step->size.memory_mb = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    step->size.accelerators = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    step->estimate_ms = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    step->depends_on = mb_unpack_u64(&reader, UINT64_MAX);
    step->checkpoints = mb_unpack_bool(&reader);
    step->gang = mb_unpack_bool(&reader);
    step->rack_local = mb_unpack_bool(&reader);
    step->speculative = mb_unpack_bool(&reader);
    step->long_running = mb_unpack_bool(&reader);
    step->best_effort = mb_unpack_bool(&reader);
    step->per_worker_max = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    step->latency_target_ms = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    step->unavailable_max = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    step->label = mb_unpack_bytes(&reader, MB_DAG_TEXT_MAX);
    step->rack = mb_unpack_bytes(&reader, MB_DAG_TEXT_MAX);
    step->image = mb_unpack_bytes(&reader, MB_DAG_TEXT_MAX);
    outer->failed = outer->failed || !mb_unpack_done(&reader);
}

/* Packs the policy of a job's queue as an array of its attributes. */
static void
pack_policy(msgpack_packer *packer, const mb_dag_policy_t *policy)
{
    (void)msgpack_pack_array(packer, 7);
    mb_pack_str(packer, policy->queue);
    mb_pack_str(packer, policy->service);
    (void)msgpack_pack_uint32(packer, policy->priority);
    (void)msgpack_pack_uint32(packer, policy->max_attempts);
    (void)msgpack_pack_uint32(packer, policy->latency_objective_ms);
    (void)msgpack_pack_uint32(packer, policy->stretch_milli);
    mb_pack_bool(packer, policy->needs_approval);
}

/* Reads the policy of a job's queue; see pack_policy. */
static void
unpack_policy(mb_unpack_t *outer, mb_dag_policy_t *policy)
{
    mb_unpack_t reader = mb_unpack_next_array(outer);
    policy->queue = mb_unpack_bytes(&reader, MB_DAG_TEXT_MAX);
    policy->service = mb_unpack_bytes(&reader, MB_DAG_TEXT_MAX);
    policy->priority = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    policy->max_attempts = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    policy->latency_objective_ms =
        (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    policy->stretch_milli = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    policy->needs_approval = mb_unpack_bool(&reader);
    outer->failed = outer->failed || !mb_unpack_done(&reader);
}

/* Appends the specification of a job as [version, policy, payload, steps,
   occurrences, time of the first one, interval in ms, time of submission].
   Times are Unix times in ms. */
void
mb_dag_record_encode_job(mb_buf_t *out, const mb_dag_spec_t *spec)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 8);
    (void)msgpack_pack_uint32(&packer, RECORD_VERSION);
    pack_policy(&packer, &spec->policy);
    mb_pack_bin(&packer, spec->payload);
    (void)msgpack_pack_array(&packer, spec->step_count);
    for (uint32_t i = 0; i < spec->step_count; i++) {
        pack_step(&packer, &spec->steps[i]);
    }
    (void)msgpack_pack_uint32(&packer, spec->occurrences);
    (void)msgpack_pack_uint64(&packer, spec->first_ms);
    (void)msgpack_pack_uint64(&packer, spec->interval_ms);
    (void)msgpack_pack_uint64(&packer, spec->submitted_ms);
}

/* Reads the specification of a job and checks that it is valid. The steps are
   stored in the decoder. */
static void
unpack_job(mb_dag_record_decoder_t *decoder, mb_unpack_t *reader,
           mb_dag_record_t *record)
{
    mb_dag_spec_t *spec = &record->body.job;
    spec->id = record->id;
    unpack_policy(reader, &spec->policy);
    spec->payload = mb_unpack_bytes(reader, MB_DAG_PAYLOAD_MAX);
    mb_unpack_t steps = mb_unpack_next_array(reader);
    spec->step_count = 0;
    spec->steps = decoder->steps;
    if (steps.left > MB_DAG_STEPS_MAX) {
        reader->failed = true;
        return;
    }
    while (steps.left > 0 && !steps.failed) {
        unpack_step(&steps, &decoder->steps[spec->step_count++]);
    }
    reader->failed = reader->failed || steps.failed;
    spec->occurrences = (uint32_t)mb_unpack_u64(reader, UINT32_MAX);
    spec->first_ms = mb_unpack_u64(reader, UINT64_MAX);
    spec->interval_ms = mb_unpack_u64(reader, UINT64_MAX);
    spec->submitted_ms = mb_unpack_u64(reader, UINT64_MAX);
    const char *reason;
    reader->failed = reader->failed || !mb_dag_spec_valid(spec, &reason);
}

/* Appends the value that marks a job as cancelled: [version]. */
void
mb_dag_record_encode_cancel(mb_buf_t *out)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 1);
    (void)msgpack_pack_uint32(&packer, RECORD_VERSION);
}

/* Packs the elements that only sparse progress has: the ranges of finished
   occurrences as one array (first, end, first, ...), and the numbers of the
   occurrences that the bits describe. */
static void
pack_sparse(msgpack_packer *packer, const mb_dag_progress_t *progress)
{
    const GArray *finished = progress->finished;
    const GArray *numbers = progress->numbers;
    (void)msgpack_pack_array(packer, (size_t)finished->len * RANGE_ELEMENTS);
    for (guint i = 0; i < finished->len; i++) {
        mb_dag_range_t range = g_array_index(finished, mb_dag_range_t, i);
        (void)msgpack_pack_uint32(packer, range.first);
        (void)msgpack_pack_uint32(packer, range.end);
    }
    (void)msgpack_pack_array(packer, numbers->len);
    for (guint i = 0; i < numbers->len; i++) {
        (void)msgpack_pack_uint32(packer, g_array_index(numbers, uint32_t, i));
    }
}

/* Appends the progress of a job as [version, outcome, whether a task has
   started, bits of the tasks that are done, rows], if it is sparse with the
   elements of pack_sparse after it. Each row is four elements: occurrence,
   task, array of the failed runs, checkpoint. */
void
mb_dag_record_encode_progress(mb_buf_t *out, const mb_dag_progress_t *progress)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, progress->is_sparse ? 7 : 5);
    (void)msgpack_pack_uint32(&packer, progress->is_sparse ? SPARSE_VERSION
                                                           : RECORD_VERSION);
    (void)msgpack_pack_uint32(&packer, (uint32_t)progress->outcome);
    mb_pack_bool(&packer, progress->started);
    mb_pack_bin(&packer, progress->done);
    (void)msgpack_pack_array(&packer, (size_t)progress->rows->len * 4);
    for (guint i = 0; i < progress->rows->len; i++) {
        const mb_dag_progress_row_t *row =
            &g_array_index(progress->rows, mb_dag_progress_row_t, i);
        (void)msgpack_pack_uint32(&packer, row->occurrence);
        (void)msgpack_pack_uint32(&packer, row->task);
        (void)msgpack_pack_array(&packer, row->failures);
        for (uint16_t k = 0; k < row->failures; k++) {
            (void)msgpack_pack_uint64(&packer, row->failed_runs[k]);
        }
        mb_pack_bin(&packer, row->checkpoint);
    }
    if (progress->is_sparse) {
        pack_sparse(&packer, progress);
    }
}

/* Reads the numbers of the failed runs of a task into the decoder's zone.
   Marks `outer` as failed if there are more than MB_DAG_FAILURES_MAX or memory
   runs out. */
static void
unpack_failures(mb_dag_record_decoder_t *decoder, mb_unpack_t *outer,
                mb_dag_progress_row_t *row)
{
    mb_unpack_t runs = mb_unpack_next_array(outer);
    if (runs.left > MB_DAG_FAILURES_MAX) {
        outer->failed = true;
        return;
    }
    uint64_t *numbers = msgpack_zone_malloc(
        &decoder->zone, (runs.left + 1) * sizeof(uint64_t));
    if (numbers == NULL) {
        outer->failed = true;
        return;
    }
    while (runs.left > 0 && !runs.failed) {
        numbers[row->failures++] = mb_unpack_u64(&runs, UINT64_MAX);
    }
    row->failed_runs = numbers;
    outer->failed = outer->failed || runs.failed;
}

/* Reads the elements of pack_sparse into the decoder. */
static void
unpack_sparse(mb_dag_record_decoder_t *decoder, mb_unpack_t *reader)
{
    mb_unpack_t ranges = mb_unpack_next_array(reader);
    while (ranges.left > 0 && !ranges.failed) {
        mb_dag_range_t range = {0};
        range.first = (uint32_t)mb_unpack_u64(&ranges, MB_DAG_OCCURRENCES_MAX);
        range.end = (uint32_t)mb_unpack_u64(&ranges, MB_DAG_OCCURRENCES_MAX);
        g_array_append_val(decoder->finished, range);
    }
    mb_unpack_t numbers = mb_unpack_next_array(reader);
    while (numbers.left > 0 && !numbers.failed) {
        uint32_t number =
            (uint32_t)mb_unpack_u64(&numbers, MB_DAG_OCCURRENCES_MAX);
        g_array_append_val(decoder->numbers, number);
    }
    reader->failed = reader->failed || ranges.failed || numbers.failed;
}

/* Reads the progress of a job. Its arrays are stored in the decoder. */
static void
unpack_progress(mb_dag_record_decoder_t *decoder, mb_unpack_t *reader,
                bool is_sparse, mb_dag_record_t *record)
{
    mb_dag_progress_t *progress = &record->body.progress;
    progress->id = record->id;
    progress->is_sparse = is_sparse;
    progress->rows = decoder->rows;
    progress->finished = decoder->finished;
    progress->numbers = decoder->numbers;
    progress->outcome =
        (mb_dag_outcome_t)mb_unpack_u64(reader, MB_DAG_OUTCOME_COUNT - 1);
    progress->started = mb_unpack_bool(reader);
    progress->done = mb_unpack_bytes(reader, MB_DAG_TASKS_MAX);
    mb_unpack_t rows = mb_unpack_next_array(reader);
    (void)g_array_set_size(decoder->rows, 0);
    (void)g_array_set_size(decoder->finished, 0);
    (void)g_array_set_size(decoder->numbers, 0);
    while (rows.left > 0 && !rows.failed) {
        mb_dag_progress_row_t row = {0};
        row.occurrence = (uint32_t)mb_unpack_u64(&rows, UINT32_MAX);
        row.task = (uint32_t)mb_unpack_u64(&rows, UINT32_MAX);
        unpack_failures(decoder, &rows, &row);
        row.checkpoint = mb_unpack_bytes(&rows, MB_DAG_CHECKPOINT_MAX);
        g_array_append_val(decoder->rows, row);
    }
    reader->failed = reader->failed || rows.failed;
    if (is_sparse && !reader->failed) {
        unpack_sparse(decoder, reader);
    }
}

/* Appends the announcement or departure of an agent as [version, incarnation];
   its address is in the key. */
void
mb_dag_record_encode_agent(mb_buf_t *out, uint64_t incarnation)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 2);
    (void)msgpack_pack_uint32(&packer, RECORD_VERSION);
    (void)msgpack_pack_uint64(&packer, incarnation);
}

/* Appends a record of the owner of the fleet as [version, fencing token,
   incarnation, member, whether it resigns]. */
void
mb_dag_record_encode_owner(mb_buf_t *out, const mb_ownership_record_t *owner)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 5);
    (void)msgpack_pack_uint32(&packer, RECORD_VERSION);
    (void)msgpack_pack_uint64(&packer, owner->token);
    (void)msgpack_pack_uint64(&packer, owner->incarnation);
    (void)msgpack_pack_uint64(&packer, owner->member);
    mb_pack_bool(&packer, owner->resigned);
}

/* Reads a record of the owner of the fleet. */
static void
unpack_owner(mb_unpack_t *reader, mb_dag_record_t *record)
{
    record->body.owner.token = mb_unpack_u64(reader, UINT64_MAX);
    record->body.owner.incarnation = mb_unpack_u64(reader, UINT64_MAX);
    record->body.owner.member = mb_unpack_u64(reader, UINT64_MAX);
    record->body.owner.resigned = mb_unpack_bool(reader);
}

/* Appends headroom estimates as [version, estimates], where the estimates are
   one array: key, scaled slope, weight, key, ... */
void
mb_dag_record_encode_headroom_pairs(mb_buf_t *out, const GArray *pairs)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 2);
    (void)msgpack_pack_uint32(&packer, RECORD_VERSION);
    (void)msgpack_pack_array(&packer, (size_t)pairs->len * PAIR_ELEMENTS);
    for (guint i = 0; i < pairs->len; i++) {
        const mb_headroom_pair_t *pair =
            &g_array_index(pairs, mb_headroom_pair_t, i);
        (void)msgpack_pack_uint64(&packer, pair->key);
        (void)msgpack_pack_uint32(&packer,
                                  (uint32_t)(pair->slope * SLOPE_SCALE));
        (void)msgpack_pack_uint32(&packer, pair->weight);
    }
}

/* Reads headroom estimates. They are stored in the decoder. */
static void
unpack_pairs(mb_dag_record_decoder_t *decoder, mb_unpack_t *reader,
             mb_dag_record_t *record)
{
    mb_unpack_t rows = mb_unpack_next_array(reader);
    (void)g_array_set_size(decoder->pairs, 0);
    record->body.pairs = decoder->pairs;
    if (rows.left > MB_DAG_HEADROOM_PAIRS_MAX * PAIR_ELEMENTS) {
        reader->failed = true;
        return;
    }
    while (rows.left > 0 && !rows.failed) {
        mb_headroom_pair_t pair = {0};
        pair.key = mb_unpack_u64(&rows, UINT64_MAX);
        pair.slope = (double)mb_unpack_u64(&rows, UINT32_MAX) / SLOPE_SCALE;
        pair.weight = (uint32_t)mb_unpack_u64(&rows, UINT32_MAX);
        g_array_append_val(decoder->pairs, pair);
    }
    reader->failed = reader->failed || rows.failed;
}

/* Appends the tasks that may run beside an absent agent as [version, fencing
   token, tasks], where the tasks are one array: job, occurrence, step, index,
   job, ... */
void
mb_dag_record_encode_absence(mb_buf_t *out,
                             const mb_dag_absence_record_t *absence)
{
    const GArray *tasks = absence->tasks;
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 3);
    (void)msgpack_pack_uint32(&packer, RECORD_VERSION);
    (void)msgpack_pack_uint64(&packer, absence->token);
    (void)msgpack_pack_array(&packer, (size_t)tasks->len * TASK_ELEMENTS);
    for (guint i = 0; i < tasks->len; i++) {
        const mb_dag_task_id_t *id =
            &g_array_index(tasks, mb_dag_task_id_t, i);
        mb_pack_str(&packer, mb_dag_id_view(&id->job));
        (void)msgpack_pack_uint32(&packer, id->occurrence);
        (void)msgpack_pack_uint32(&packer, id->step);
        (void)msgpack_pack_uint32(&packer, id->index);
    }
}

/* Reads the tasks that may run beside an absent agent. They are stored in the
   decoder. */
static void
unpack_absence(mb_dag_record_decoder_t *decoder, mb_unpack_t *reader,
               mb_dag_record_t *record)
{
    record->body.absence.token = mb_unpack_u64(reader, UINT64_MAX);
    record->body.absence.tasks = decoder->tasks;
    mb_unpack_t rows = mb_unpack_next_array(reader);
    (void)g_array_set_size(decoder->tasks, 0);
    if (rows.left > MB_DAG_ABSENT_TASKS_MAX * TASK_ELEMENTS) {
        reader->failed = true;
        return;
    }
    while (rows.left > 0 && !rows.failed) {
        mb_dag_task_id_t id = {0};
        mb_str_t job = mb_unpack_bytes(&rows, MB_DAG_ID_LEN);
        rows.failed = rows.failed || !mb_dag_id_parse(job, &id.job);
        id.occurrence = (uint32_t)mb_unpack_u64(&rows, UINT32_MAX);
        id.step = (uint32_t)mb_unpack_u64(&rows, UINT32_MAX);
        id.index = (uint32_t)mb_unpack_u64(&rows, UINT32_MAX);
        g_array_append_val(decoder->tasks, id);
    }
    reader->failed = reader->failed || rows.failed;
}

/* Appends the record of a scheduler as [version, memory for jobs, reserved
   memory], in bytes; its name is in the key. */
void
mb_dag_record_encode_scheduler(mb_buf_t *out,
                               const mb_job_memory_record_t *memory)
{
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 3);
    (void)msgpack_pack_uint32(&packer, RECORD_VERSION);
    (void)msgpack_pack_uint64(&packer, memory->bytes_max);
    (void)msgpack_pack_uint64(&packer, memory->reserved_bytes);
}

/* Reads the record of a scheduler. */
static void
unpack_scheduler(mb_unpack_t *reader, mb_dag_record_t *record)
{
    record->body.memory.bytes_max = mb_unpack_u64(reader, SCHEDULER_BYTES_MAX);
    record->body.memory.reserved_bytes =
        mb_unpack_u64(reader, SCHEDULER_BYTES_MAX);
}

/* Packs one class of a forecast as [service, priority, rate, rate with more
   urgent work, size of the smallest task that waits, the same of best-effort
   tasks, class of the smallest overdue job, work]. A size is three elements:
   processors in thousandths, memory in MB and accelerators. The work is one
   array: class of size, processor milliseconds, class of size, ... */
static void
pack_class(msgpack_packer *packer, const mb_backlog_class_t *class)
{
    size_t rows = 0;
    for (uint32_t i = 0; i < MB_BACKLOG_SIZES; i++) {
        rows += class->work_ms[i] > 0;
    }
    (void)msgpack_pack_array(packer, 12);
    (void)msgpack_pack_uint64(packer, class->service);
    (void)msgpack_pack_uint32(packer, class->priority);
    (void)msgpack_pack_uint64(packer, class->rate_milli);
    (void)msgpack_pack_uint64(packer, class->urgent_rate_milli);
    for (uint32_t i = 0; i < 2; i++) {
        (void)msgpack_pack_uint32(packer, class->waiting[i].cpu_milli);
        (void)msgpack_pack_uint32(packer, class->waiting[i].memory_mb);
        (void)msgpack_pack_uint32(packer, class->waiting[i].accelerators);
    }
    (void)msgpack_pack_uint32(packer, class->overdue_size);
    (void)msgpack_pack_array(packer, rows * 2);
    for (uint32_t i = 0; i < MB_BACKLOG_SIZES; i++) {
        if (class->work_ms[i] > 0) {
            (void)msgpack_pack_uint32(packer, i);
            (void)msgpack_pack_uint64(
                packer, MIN(class->work_ms[i], MB_BACKLOG_WORK_MAX_MS));
        }
    }
}

/* Reads one class of a forecast; see pack_class. */
static void
unpack_class(mb_unpack_t *outer, mb_backlog_class_t *class)
{
    mb_unpack_t reader = mb_unpack_next_array(outer);
    class->service = mb_unpack_u64(&reader, UINT64_MAX);
    class->priority = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    class->rate_milli = mb_unpack_u64(&reader, MB_BACKLOG_WORK_MAX_MS);
    class->urgent_rate_milli = mb_unpack_u64(&reader, MB_BACKLOG_WORK_MAX_MS);
    for (uint32_t i = 0; i < 2; i++) {
        mb_size_t *size = &class->waiting[i];
        size->cpu_milli = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
        size->memory_mb = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
        size->accelerators = (uint32_t)mb_unpack_u64(&reader, UINT32_MAX);
    }
    class->overdue_size = (uint32_t)mb_unpack_u64(&reader, MB_BACKLOG_SIZES);
    mb_unpack_t rows = mb_unpack_next_array(&reader);
    while (rows.left > 0 && !rows.failed) {
        uint64_t size = mb_unpack_u64(&rows, MB_BACKLOG_SIZES - 1);
        class->work_ms[size] = mb_unpack_u64(&rows, MB_BACKLOG_WORK_MAX_MS);
    }
    outer->failed = outer->failed || rows.failed || !mb_unpack_done(&reader);
}

/* Appends a forecast of the backlog as [version, fencing token, time by the
   clock of the owner, classes, ratios], where the ratios are one array: queue,
   ratio, queue, ... */
void
mb_dag_record_encode_backlog(mb_buf_t *out,
                             const mb_backlog_forecast_t *forecast)
{
    const GArray *ratios = forecast->ratios;
    msgpack_packer packer;
    mb_pack_init(&packer, out);
    (void)msgpack_pack_array(&packer, 5);
    (void)msgpack_pack_uint32(&packer, RECORD_VERSION);
    (void)msgpack_pack_uint64(&packer, forecast->token);
    (void)msgpack_pack_uint64(&packer, forecast->published_ms);
    (void)msgpack_pack_array(&packer, forecast->classes->len);
    for (guint i = 0; i < forecast->classes->len; i++) {
        pack_class(&packer,
                   &g_array_index(forecast->classes, mb_backlog_class_t, i));
    }
    (void)msgpack_pack_array(&packer, (size_t)ratios->len * RATIO_ELEMENTS);
    for (guint i = 0; i < ratios->len; i++) {
        const mb_backlog_ratio_t *ratio =
            &g_array_index(ratios, mb_backlog_ratio_t, i);
        (void)msgpack_pack_uint64(&packer, ratio->queue);
        (void)msgpack_pack_uint32(&packer, ratio->milli);
    }
}

/* Reads a forecast of the backlog. It is stored in the decoder. */
static void
unpack_backlog(mb_dag_record_decoder_t *decoder, mb_unpack_t *reader,
               mb_dag_record_t *record)
{
    mb_backlog_forecast_t *forecast = &decoder->backlog;
    mb_backlog_forecast_clear(forecast);
    record->body.backlog = forecast;
    forecast->token = mb_unpack_u64(reader, UINT64_MAX);
    forecast->published_ms = mb_unpack_u64(reader, MB_BACKLOG_WORK_MAX_MS);
    mb_unpack_t classes = mb_unpack_next_array(reader);
    mb_unpack_t ratios = mb_unpack_next_array(reader);
    if (classes.left > MB_BACKLOG_CLASSES_MAX ||
        ratios.left > MB_BACKLOG_QUEUES_MAX * RATIO_ELEMENTS) {
        reader->failed = true;
        return;
    }
    while (classes.left > 0 && !classes.failed) {
        mb_backlog_class_t class = {0};
        unpack_class(&classes, &class);
        g_array_append_val(forecast->classes, class);
    }
    while (ratios.left > 0 && !ratios.failed) {
        mb_backlog_ratio_t ratio = {0};
        ratio.queue = mb_unpack_u64(&ratios, UINT64_MAX);
        ratio.milli = (uint32_t)mb_unpack_u64(&ratios, RATIO_MAX_MILLI);
        g_array_append_val(forecast->ratios, ratio);
    }
    reader->failed = reader->failed || classes.failed || ratios.failed;
}

/* Reads the value of a record after checking its version. Marks `reader` as
   failed if the value is not valid. */
static void
unpack_body(mb_dag_record_decoder_t *decoder, mb_unpack_t *reader,
            mb_dag_record_t *record)
{
    uint64_t version = mb_unpack_u64(reader, UINT32_MAX);
    bool is_sparse =
        record->kind == MB_DAG_RECORD_PROGRESS && version == SPARSE_VERSION;
    if (version != RECORD_VERSION && !is_sparse) {
        reader->failed = true;
        return;
    }
    switch (record->kind) {
    case MB_DAG_RECORD_JOB:
        unpack_job(decoder, reader, record);
        break;
    case MB_DAG_RECORD_PROGRESS:
        unpack_progress(decoder, reader, is_sparse, record);
        break;
    case MB_DAG_RECORD_AGENT:
    case MB_DAG_RECORD_DEPARTURE:
        record->body.incarnation = mb_unpack_u64(reader, UINT64_MAX);
        break;
    case MB_DAG_RECORD_OWNER:
        unpack_owner(reader, record);
        break;
    case MB_DAG_RECORD_ABSENCE:
        unpack_absence(decoder, reader, record);
        break;
    case MB_DAG_RECORD_SCHEDULER:
        unpack_scheduler(reader, record);
        break;
    case MB_DAG_RECORD_HEADROOM:
        unpack_pairs(decoder, reader, record);
        break;
    case MB_DAG_RECORD_BACKLOG:
        unpack_backlog(decoder, reader, record);
        break;
    case MB_DAG_RECORD_CANCEL:
    case MB_DAG_RECORD_KIND_COUNT:
        break;
    }
}

/* Returns whether the records of a kind are about an agent, whose address is
   then in the key. */
static bool
is_about_agent(mb_dag_record_kind_t kind)
{
    return kind == MB_DAG_RECORD_AGENT || kind == MB_DAG_RECORD_DEPARTURE ||
           kind == MB_DAG_RECORD_ABSENCE;
}

/* Decodes the key of a record. Returns false for an unknown kind, or for a
   record of a job whose id is not valid. */
static bool
decode_key(mb_str_t key, mb_dag_record_t *record)
{
    int kind = 0;
    mb_str_t name = {key.data + 1, key.len - 1};
    while (kind < MB_DAG_RECORD_KIND_COUNT &&
           (key.len == 0 || key.data[0] != key_letters[kind])) {
        kind++;
    }
    if (kind == MB_DAG_RECORD_KIND_COUNT) {
        return false;
    }
    record->kind = (mb_dag_record_kind_t)kind;
    if (is_about_agent(record->kind)) {
        record->address = name;
        return true;
    }
    if (record->kind == MB_DAG_RECORD_SCHEDULER) {
        record->scheduler = name;
        return true;
    }
    return record->kind == MB_DAG_RECORD_OWNER ||
           record->kind == MB_DAG_RECORD_HEADROOM ||
           record->kind == MB_DAG_RECORD_BACKLOG ||
           mb_dag_id_parse(name, &record->id);
}

/* Decodes a record; see the header. */
bool
mb_dag_record_decode(mb_dag_record_decoder_t *decoder, mb_str_t key,
                     mb_str_t value, mb_dag_record_t *record, GError **error)
{
    msgpack_object object;
    size_t offset = 0;
    mb_unpack_t reader;
    memset(record, 0, sizeof(*record));
    if (!decode_key(key, record)) {
        mb_error_set(error, MB_KIND_PROTOCOL, "record has an unknown key");
        return false;
    }
    record->removed = value.len == 0;
    if (record->removed) {
        return true;
    }
    msgpack_zone_clear(&decoder->zone);
    if (!mb_pack_validate(value, OBJECTS_MAX) ||
        msgpack_unpack(value.data, value.len, &offset, &decoder->zone,
                       &object) != MSGPACK_UNPACK_SUCCESS ||
        !mb_unpack_array(&reader, &object)) {
        mb_error_set(error, MB_KIND_PROTOCOL, "record is not valid msgpack");
        return false;
    }
    unpack_body(decoder, &reader, record);
    if (!mb_unpack_done(&reader)) {
        mb_error_set(error, MB_KIND_PROTOCOL,
                     "record has another version, or missing, extra or "
                     "invalid fields");
        return false;
    }
    return true;
}
