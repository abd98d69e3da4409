/* The progress of a job as it is stored: which tasks are done, and the
   failures and checkpoints of the others. That of a recurring job names the
   finished occurrences as ranges and describes only those that have begun, so
   that it does not grow with the number of occurrences. */
#include <string.h>

#include "mb_dag.h"

/* Returns the size of the done bits of an occurrence, in bytes. */
static size_t
occurrence_bytes(const mb_dag_job_t *job)
{
    return (job->task_count + 7u) / 8u;
}

/* Adds a row for a task that is not done but has failures or a checkpoint.
   `number` is its index in the occurrence. */
static void
collect_row(const mb_dag_task_t *task, uint32_t occurrence, uint32_t number,
            mb_dag_progress_t *progress)
{
    mb_dag_progress_row_t row = {
        .occurrence = occurrence,
        .task = number,
        .failures = task->failures,
        .failed_runs = task->failed_runs,
        .checkpoint = {task->checkpoint, task->checkpoint_len}};
    if (!task->done && (task->failures > 0 || task->checkpoint_len > 0)) {
        (void)g_array_append_val(progress->rows, row);
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

/* Adds an open occurrence that is not finished: its bits, unless no task is
   done, and its rows. */
static void
collect_occurrence(const mb_dag_job_t *job,
                   const mb_dag_occurrence_t *occurrence, mb_buf_t *bits,
                   mb_dag_progress_t *progress)
{
    char *added = NULL;
    for (uint32_t t = 0; t < job->task_count; t++) {
        const mb_dag_task_t *task = &occurrence->tasks[t];
        if (task->done && added == NULL) {
            added = append_bits(job, bits);
            (void)g_array_append_val(progress->numbers, occurrence->number);
        }
        if (task->done) {
            set_bit(added, t);
        }
        collect_row(task, occurrence->number, t, progress);
    }
}

/* Collects the progress of a job with one occurrence. */
static void
collect_only(const mb_dag_job_t *job, mb_buf_t *bits,
             mb_dag_progress_t *progress)
{
    char *added = append_bits(job, bits);
    bool finished = mb_dag_is_finished(job, 0);
    const mb_dag_occurrence_t *only = mb_dag_find_open(job, 0);
    for (uint32_t t = 0; t < job->task_count; t++) {
        if (finished || (only != NULL && only->tasks[t].done)) {
            set_bit(added, t);
        }
        else if (only != NULL) {
            collect_row(&only->tasks[t], 0, t, progress);
        }
    }
}

/* Sets *progress to the progress of a job, to be stored. `progress->rows` and
   `progress->numbers` must be empty arrays. The result is valid as long as
   neither `bits`, whose content is replaced by the done bits, nor the job
   changes, as it points into the job. */
void
mb_dag_progress_collect(const mb_dag_job_t *job, mb_buf_t *bits,
                        mb_dag_progress_t *progress)
{
    mb_buf_clear(bits);
    progress->is_sparse = job->occurrence_count > 1;
    progress->finished = job->finished;
    if (!progress->is_sparse) {
        collect_only(job, bits, progress);
    }
    for (guint i = 0; progress->is_sparse && i < job->open->len; i++) {
        const mb_dag_occurrence_t *occurrence =
            g_ptr_array_index(job->open, i);
        if (!mb_dag_is_finished(job, occurrence->number)) {
            collect_occurrence(job, occurrence, bits, progress);
        }
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
