/* The progress of a job as it is stored: which tasks are done, and the
   failures and checkpoints of the others. That of a job with many occurrences
   names the finished ones as ranges and describes only those that have begun,
   so that it does not grow with their number. */
#include <string.h>

#include "mb_dag.h"

/* Largest encoded sizes, in bytes: of a row without its runs and its
   checkpoint, of the number of a run, of a range and of the number of an
   occurrence. */
#define ROW_BYTES 16u
#define RUN_BYTES 9u
#define RANGE_BYTES 6u
#define NUMBER_BYTES 3u
/* Size up to which the done bits of all occurrences are stored, in bytes:
   schedulers of earlier versions can read only that. */
#define DENSE_BYTES_MAX 1024u

/* Returns the size of the done bits of an occurrence, in bytes. */
static size_t
occurrence_bytes(const mb_dag_job_t *job)
{
    return (job->task_count + 7u) / 8u;
}

/* Which rows are added in a pass over the tasks. What is left out for lack of
   space should be what matters least: the checkpoints of running tasks, which
   their workers report to the next owner too. */
typedef enum row_pass {
    ROWS_WITH_FAILURES,
    ROWS_OF_WAITING_TASKS,
    ROWS_OF_RUNNING_TASKS,
    ROW_PASS_COUNT
} row_pass_t;

/* Returns the pass that adds the row of a task; ROW_PASS_COUNT if the task has
   none, as it is done or has neither failures nor a checkpoint. */
static row_pass_t
get_pass(const mb_dag_task_t *task)
{
    if (task->done || (task->failures == 0 && task->checkpoint_len == 0)) {
        return ROW_PASS_COUNT;
    }
    if (task->failures > 0) {
        return ROWS_WITH_FAILURES;
    }
    return mb_dag_count_runs(task) > 0 ? ROWS_OF_RUNNING_TASKS
                                       : ROWS_OF_WAITING_TASKS;
}

/* What has been collected. */
typedef struct collection {
    mb_buf_t *bits;
    mb_dag_progress_t *progress;
    size_t bytes;    /* estimated size of the record */
    row_pass_t pass; /* the present one */
} collection_t;

/* Tells whether a record has space for more bytes. */
static bool
has_space(const collection_t *collection, size_t bytes)
{
#ifdef MB_MUTANT_DAG_PROGRESS_NOT_BOUNDED
    return true;
#endif
    return collection->bytes + bytes <= MB_DAG_PROGRESS_BYTES_MAX;
}

/* Adds the row of a task if there is space for it, without its checkpoint if
   there is none for that. `number` is its index in the occurrence. */
static void
add_row(collection_t *collection, const mb_dag_task_t *task,
        uint32_t occurrence, uint32_t number)
{
    mb_dag_progress_t *progress = collection->progress;
    size_t bytes = ROW_BYTES + task->failures * RUN_BYTES;
    mb_dag_progress_row_t row = {
        .occurrence = occurrence,
        .task = number,
        .failures = task->failures,
        .failed_runs = task->failed_runs,
        .checkpoint = {task->checkpoint, task->checkpoint_len}};
    if (!has_space(collection, bytes + row.checkpoint.len)) {
        row.checkpoint = MB_STR_EMPTY;
        progress->omitted++;
    }
    if (row.failures == 0 && row.checkpoint.len == 0) {
        return;
    }
    if (has_space(collection, bytes)) {
        collection->bytes += bytes + row.checkpoint.len;
        (void)g_array_append_val(progress->rows, row);
    }
}

/* Adds the rows of an open occurrence that belong to the present pass. */
static void
add_rows(const mb_dag_job_t *job, const mb_dag_occurrence_t *occurrence,
         collection_t *collection)
{
    for (uint32_t t = 0; t < job->task_count; t++) {
        const mb_dag_task_t *task = &occurrence->tasks[t];
        if (get_pass(task) == collection->pass) {
            add_row(collection, task, occurrence->number, t);
        }
    }
}

/* Sets a bit; the bits of a byte are numbered from the lowest. */
static void
set_bit(char *bits, uint32_t number)
{
    unsigned char *byte = (unsigned char *)bits + number / 8;
    *byte = (unsigned char)(*byte | (1u << (number % 8)));
}

/* Returns a bit that set_bit sets. */
static bool
get_bit(mb_str_t bits, uint32_t number)
{
    return ((unsigned char)bits.data[number / 8] & (1u << (number % 8))) != 0;
}

/* Appends zero bits for an occurrence and returns them. Valid until more are
   appended. */
static char *
append_bits(const mb_dag_job_t *job, mb_buf_t *bits)
{
    size_t bytes = occurrence_bytes(job);
    mb_buf_reserve(bits, bytes);
    char *added = bits->data + bits->len;
    memset(added, 0, bytes);
    bits->len += bytes;
    return added;
}

/* Adds the done bits of an open occurrence that is not finished, unless no
   task is done. */
static void
collect_bits(const mb_dag_job_t *job, const mb_dag_occurrence_t *occurrence,
             collection_t *collection)
{
    char *added = NULL;
    for (uint32_t t = 0; t < job->task_count; t++) {
        if (!occurrence->tasks[t].done) {
            continue;
        }
        if (added == NULL) {
            added = append_bits(job, collection->bits);
            (void)g_array_append_val(collection->progress->numbers,
                                     occurrence->number);
        }
        set_bit(added, t);
    }
}

/* Collects the done bits of all occurrences. */
static void
collect_all_bits(const mb_dag_job_t *job, collection_t *collection)
{
    for (uint32_t k = 0; k < job->occurrence_count; k++) {
        char *added = append_bits(job, collection->bits);
        bool finished = mb_dag_is_finished(job, k);
        const mb_dag_occurrence_t *open = mb_dag_find_open(job, k);
        for (uint32_t t = 0; t < job->task_count; t++) {
            if (finished || (open != NULL && open->tasks[t].done)) {
                set_bit(added, t);
            }
        }
    }
}

/* What is done with an open occurrence. */
typedef void (*collect_t)(const mb_dag_job_t *job,
                          const mb_dag_occurrence_t *occurrence,
                          collection_t *collection);

/* Calls `collect` for each open occurrence that is not finished. */
static void
for_each_unfinished(const mb_dag_job_t *job, collect_t collect,
                    collection_t *collection)
{
    for (guint i = 0; i < job->open->len; i++) {
        const mb_dag_occurrence_t *occurrence =
            g_ptr_array_index(job->open, i);
        if (!mb_dag_is_finished(job, occurrence->number)) {
            collect(job, occurrence, collection);
        }
    }
}

/* Sets *progress to the progress of a job, to be stored. `progress->rows` and
   `progress->numbers` must be empty arrays. Failures and checkpoints without
   space in MB_DAG_PROGRESS_BYTES_MAX are left out. The result is valid as long
   as neither `bits`, whose content is replaced by the done bits, nor the job
   changes, as it points into the job. */
void
mb_dag_progress_collect(const mb_dag_job_t *job, mb_buf_t *bits,
                        mb_dag_progress_t *progress)
{
    collection_t collection = {.bits = bits, .progress = progress};
    mb_buf_clear(bits);
    progress->is_sparse =
        job->occurrence_count > 1 &&
        job->occurrence_count * occurrence_bytes(job) > DENSE_BYTES_MAX;
    progress->finished = job->finished;
    progress->omitted = 0;
    if (progress->is_sparse) {
        for_each_unfinished(job, collect_bits, &collection);
        collection.bytes = job->finished->len * (size_t)RANGE_BYTES +
                           progress->numbers->len * (size_t)NUMBER_BYTES;
    }
    else {
        collect_all_bits(job, &collection);
    }
    collection.bytes += bits->len;
    for (int pass = 0; pass < ROW_PASS_COUNT; pass++) {
        collection.pass = (row_pass_t)pass;
        for_each_unfinished(job, add_rows, &collection);
    }
    progress->id = job->spec.id;
    progress->outcome = job->outcome;
    progress->started = job->any_run_started;
    progress->done = mb_buf_view(bits);
}

/* Returns the number of tasks whose bits are set. */
static uint32_t
count_bits(const mb_dag_job_t *job, mb_str_t bits)
{
    uint32_t count = 0;
    for (uint32_t t = 0; t < job->task_count; t++) {
        count += get_bit(bits, t);
    }
    return count;
}

/* Marks the tasks of an occurrence as done whose bits are set. The occurrence
   is opened only if some are and some are not. */
static void
apply_done_bits(mb_dag_job_t *job, uint32_t number, mb_str_t bits)
{
    uint32_t count = count_bits(job, bits);
    if (count == job->task_count && number < job->occurrence_count) {
        mb_dag_set_finished(job, (mb_dag_range_t){number, number + 1});
        return;
    }
    mb_dag_occurrence_t *target = count > 0 ? mb_dag_open(job, number) : NULL;
    for (uint32_t t = 0; target != NULL && t < job->task_count; t++) {
        if (get_bit(bits, t)) {
            mb_dag_set_done(job, number, mb_dag_find_step(job, t),
                            &target->tasks[t]);
        }
    }
}

/* Applies the finished occurrences and the done bits of stored progress.
   Returns false if the bits don't have the size that the job requires. */
static bool
apply_done(mb_dag_job_t *job, const mb_dag_progress_t *progress)
{
    size_t bytes = occurrence_bytes(job);
    uint32_t count =
        progress->is_sparse ? progress->numbers->len : job->occurrence_count;
    if (progress->done.len != bytes * count) {
        return false;
    }
    for (guint i = 0; progress->is_sparse && i < progress->finished->len;
         i++) {
        mb_dag_range_t range =
            g_array_index(progress->finished, mb_dag_range_t, i);
        range.end = MIN(range.end, job->occurrence_count);
        if (range.first < range.end) {
            mb_dag_set_finished(job, range);
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        uint32_t number = progress->is_sparse
                              ? g_array_index(progress->numbers, uint32_t, i)
                              : i;
        apply_done_bits(job, number,
                        (mb_str_t){progress->done.data + bytes * i, bytes});
    }
    return true;
}

/* Applies the failures and the checkpoint of a task. */
static void
apply_row(mb_dag_job_t *job, const mb_dag_progress_row_t *row)
{
    mb_dag_occurrence_t *target =
        row->task < job->task_count ? mb_dag_open(job, row->occurrence) : NULL;
    if (target == NULL || target->tasks[row->task].done) {
        return;
    }
    for (uint16_t k = 0; k < row->failures; k++) {
        (void)mb_dag_add_failure(&target->tasks[row->task],
                                 row->failed_runs[k]);
    }
    mb_dag_set_checkpoint(&target->tasks[row->task], row->checkpoint);
}

/* Applies stored progress to a job of which nothing runs. Progress whose done
   bits don't have the size that the job requires is ignored, and so are rows
   of tasks that the job does not have. */
void
mb_dag_progress_apply(mb_dag_job_t *job, const mb_dag_progress_t *progress)
{
    if (job->compacted || !apply_done(job, progress)) {
        return;
    }
    mb_dag_release_finished(job);
    for (guint i = 0; i < progress->rows->len; i++) {
        apply_row(job,
                  &g_array_index(progress->rows, mb_dag_progress_row_t, i));
    }
    job->outcome = progress->outcome;
    job->any_run_started = job->any_run_started || progress->started;
}
