#include "mb_dag.h"

#include <string.h>

/* Hashes an id; for GHashTable. */
guint
mb_dag_id_hash(gconstpointer key)
{
    const mb_dag_id_t *id = key;
    return (guint)mb_str_hash(mb_dag_id_view(id));
}

/* Compares two ids; for GHashTable. */
gboolean
mb_dag_id_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(mb_dag_id_t)) == 0;
}

/* Returns a copy of a text, which is freed with free_text. */
static mb_str_t
copy_text(mb_str_t text)
{
    if (text.len == 0) {
        return MB_STR_EMPTY;
    }
    return (mb_str_t){g_memdup2(text.data, text.len), text.len};
}

/* Frees a copy made by copy_text. */
static void
free_text(mb_str_t text)
{
    if (text.len > 0) {
        g_free((char *)text.data);
    }
}

/* Frees the tasks of one occurrence. */
static void
finish_occurrence(const mb_dag_job_t *job, mb_dag_occurrence_t *occurrence)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        g_free(occurrence->tasks[i].checkpoint);
        g_free(occurrence->tasks[i].failed_runs);
    }
    g_free(occurrence->tasks);
    g_free(occurrence->unfinished_tasks);
}

/* Frees a job; the destructor of the values of the hash table. */
static void
free_job(gpointer data)
{
    mb_dag_job_t *job = data;
    for (uint32_t i = 0; i < job->occurrence_count; i++) {
        finish_occurrence(job, &job->occurrences[i]);
    }
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        free_text(job->steps[i].label);
        free_text(job->steps[i].rack);
        free_text(job->steps[i].image);
    }
    free_text(job->spec.payload);
    free_text(job->spec.policy.queue);
    free_text(job->spec.policy.service);
    g_free(job->occurrences);
    g_free(job->first_task);
    g_free(job->step_times);
    g_free(job->steps);
    g_free(job);
}

/* Initializes an empty table. */
void
mb_dag_table_init(mb_dag_table_t *table)
{
    table->jobs =
        g_hash_table_new_full(mb_dag_id_hash, mb_dag_id_equal, NULL, free_job);
}

/* Frees the table with its jobs. */
void
mb_dag_table_finish(mb_dag_table_t *table)
{
    g_hash_table_destroy(table->jobs);
}

/* Removes all jobs. */
void
mb_dag_table_clear(mb_dag_table_t *table)
{
    g_hash_table_remove_all(table->jobs);
}

/* Finds a job; NULL if there is none. Valid until the job is removed. */
mb_dag_job_t *
mb_dag_find(const mb_dag_table_t *table, mb_dag_id_t id)
{
    return g_hash_table_lookup(table->jobs, &id);
}

/* Removes a job, if it is in the table. */
void
mb_dag_remove(mb_dag_table_t *table, mb_dag_id_t id)
{
    (void)g_hash_table_remove(table->jobs, &id);
}

/* Parses an id. Returns false unless the text consists of MB_DAG_ID_LEN
   hexadecimal digits. */
bool
mb_dag_id_parse(mb_str_t text, mb_dag_id_t *id)
{
    if (text.len != MB_DAG_ID_LEN) {
        return false;
    }
    for (size_t i = 0; i < text.len; i++) {
        if (!g_ascii_isxdigit(text.data[i])) {
            return false;
        }
    }
    memcpy(id->text, text.data, MB_DAG_ID_LEN);
    return true;
}

/* Returns the text of an id, borrowed from it. */
mb_str_t
mb_dag_id_view(const mb_dag_id_t *id)
{
    return (mb_str_t){id->text, MB_DAG_ID_LEN};
}

/* Returns whether a step has a valid number of tasks, texts that fit in a
   record, and depends only on earlier steps, so that the dependencies form no
   cycle. If not, sets *reason. */
static bool
step_valid(const mb_dag_step_t *step, uint32_t number, const char **reason)
{
    uint64_t earlier = (UINT64_C(1) << number) - 1;
    if (step->count == 0 || step->count > MB_DAG_TASKS_MAX) {
        *reason = "a step needs 1 to 65536 tasks";
        return false;
    }
#ifndef MB_MUTANT_DAG_TEXT_NOT_BOUNDED
    if (step->image.len > MB_DAG_TEXT_MAX ||
        step->label.len > MB_DAG_TEXT_MAX ||
        step->rack.len > MB_DAG_TEXT_MAX) {
        *reason = "image, label and rack of a step have at most 255 bytes";
        return false;
    }
#endif
    if ((step->depends_on & ~earlier) != 0) {
        *reason = "a step may only depend on earlier steps";
        return false;
    }
    return true;
}

/* Returns whether a specification is within all limits. If not, sets *reason
   to a static text for the client. */
bool
mb_dag_spec_valid(const mb_dag_spec_t *spec, const char **reason)
{
    uint64_t tasks = 0;
    if (spec->step_count == 0 || spec->step_count > MB_DAG_STEPS_MAX) {
        *reason = "a job needs 1 to 64 steps";
        return false;
    }
    if (spec->payload.len > MB_DAG_PAYLOAD_MAX) {
        *reason = "the payload of a job has at most 4096 bytes";
        return false;
    }
    if (spec->policy.queue.len > MB_DAG_TEXT_MAX ||
        spec->policy.service.len > MB_DAG_TEXT_MAX) {
        *reason = "the names of queue and service have at most 255 bytes";
        return false;
    }
    if (spec->occurrences > MB_DAG_OCCURRENCES_MAX) {
        *reason = "a job has at most 65536 occurrences";
        return false;
    }
    for (uint32_t i = 0; i < spec->step_count; i++) {
        if (!step_valid(&spec->steps[i], i, reason)) {
            return false;
        }
        tasks += spec->steps[i].count;
    }
    if (tasks * MAX(1u, spec->occurrences) > MB_DAG_TASKS_MAX) {
        *reason = "a job has at most 65536 tasks in all occurrences";
        return false;
    }
    return true;
}

/* Copies the steps, and computes the index of the first task of each and the
   number of tasks. */
static void
copy_steps(mb_dag_job_t *job, const mb_dag_spec_t *spec)
{
    job->steps =
        g_memdup2(spec->steps, spec->step_count * sizeof(mb_dag_step_t));
    job->first_task = g_new(uint32_t, spec->step_count);
    job->step_times = g_new0(mb_dag_step_times_t, spec->step_count);
    for (uint32_t i = 0; i < spec->step_count; i++) {
        mb_dag_step_t *step = &job->steps[i];
        step->label = copy_text(step->label);
        step->rack = copy_text(step->rack);
        step->image = copy_text(step->image);
        job->first_task[i] = job->task_count;
        job->task_count += step->count;
    }
    job->spec.steps = job->steps;
}

/* Allocates the tasks of an occurrence. */
static void
init_occurrence(const mb_dag_job_t *job, mb_dag_occurrence_t *occurrence)
{
    occurrence->tasks = g_new0(mb_dag_task_t, job->task_count);
    occurrence->unfinished_tasks = g_new(uint32_t, job->spec.step_count);
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        occurrence->unfinished_tasks[i] = job->steps[i].count;
    }
}

/* Adds a job. The specification must be valid; its texts and steps are copied.
   Returns NULL and changes nothing if there is a job of the same id. */
mb_dag_job_t *
mb_dag_add(mb_dag_table_t *table, const mb_dag_spec_t *spec)
{
    if (mb_dag_find(table, spec->id) != NULL) {
        return NULL;
    }
    mb_dag_job_t *job = g_new0(mb_dag_job_t, 1);
    job->spec = *spec;
    job->spec.payload = copy_text(spec->payload);
    job->spec.policy.queue = copy_text(spec->policy.queue);
    job->spec.policy.service = copy_text(spec->policy.service);
    copy_steps(job, spec);
    job->occurrence_count = MAX(1u, spec->occurrences);
    job->occurrences = g_new0(mb_dag_occurrence_t, job->occurrence_count);
    for (uint32_t i = 0; i < job->occurrence_count; i++) {
        init_occurrence(job, &job->occurrences[i]);
    }
    (void)g_hash_table_insert(table->jobs, &job->spec.id, job);
    return job;
}

/* Finds a task by occurrence, step and index in the step; NULL if a number is
   out of range. */
mb_dag_task_t *
mb_dag_task(const mb_dag_job_t *job, uint32_t occurrence, uint32_t step,
            uint32_t index)
{
    if (occurrence >= job->occurrence_count || step >= job->spec.step_count ||
        index >= job->steps[step].count) {
        return NULL;
    }
    return &job->occurrences[occurrence].tasks[job->first_task[step] + index];
}

/* Returns the step of a task, given by its index in the occurrence. */
uint32_t
mb_dag_find_step(const mb_dag_job_t *job, uint32_t task)
{
    uint32_t step = job->spec.step_count - 1;
    while (step > 0 && job->first_task[step] > task) {
        step--;
    }
    return step;
}

/* Replaces the checkpoint of a task by a copy of the text. An empty text is
   ignored, because the work saved by an earlier checkpoint would be lost, and
   so is one longer than MB_DAG_CHECKPOINT_MAX. */
void
mb_dag_set_checkpoint(mb_dag_task_t *task, mb_str_t checkpoint)
{
    if (checkpoint.len == 0 || checkpoint.len > MB_DAG_CHECKPOINT_MAX) {
        return;
    }
    g_free(task->checkpoint);
    task->checkpoint = g_memdup2(checkpoint.data, checkpoint.len);
    task->checkpoint_len = (uint16_t)checkpoint.len;
}

/* Counts the failure of a run. Returns false if it was counted before or
   MB_DAG_FAILURES_MAX failures are counted. */
bool
mb_dag_add_failure(mb_dag_task_t *task, uint64_t run)
{
    for (uint16_t i = 0; i < task->failures; i++) {
        if (task->failed_runs[i] == run) {
            return false;
        }
    }
#ifdef MB_MUTANT_DAG_FAILURE_NOT_COUNTED
    return false;
#endif
    if (task->failures == MB_DAG_FAILURES_MAX) {
        return false;
    }
    task->failed_runs =
        g_renew(uint64_t, task->failed_runs, (gsize)task->failures + 1);
    task->failed_runs[task->failures++] = run;
    return true;
}

/* Marks a task as done, which is final. Repeated calls have no effect. */
void
mb_dag_set_done(mb_dag_job_t *job, uint32_t occurrence, uint32_t step,
                mb_dag_task_t *task)
{
    mb_dag_occurrence_t *target = &job->occurrences[occurrence];
    if (task->done) {
        return;
    }
    task->done = true;
    target->unfinished_tasks[step]--;
    if (target->unfinished_tasks[step] == 0) {
        target->finished_steps |= UINT64_C(1) << step;
    }
}

/* Returns whether all steps that a step depends on are done. */
bool
mb_dag_step_ready(const mb_dag_job_t *job, uint32_t occurrence, uint32_t step)
{
    uint64_t needed = job->steps[step].depends_on;
    return (job->occurrences[occurrence].finished_steps & needed) == needed;
}

/* Returns whether all tasks of all occurrences are done. */
bool
mb_dag_all_done(const mb_dag_job_t *job)
{
    for (uint32_t i = 0; i < job->occurrence_count; i++) {
        for (uint32_t step = 0; step < job->spec.step_count; step++) {
            if (job->occurrences[i].unfinished_tasks[step] > 0) {
                return false;
            }
        }
    }
    return true;
}

/* Returns the size of the done bits of an occurrence, in bytes. */
static size_t
occurrence_bytes(const mb_dag_job_t *job)
{
    return (job->task_count + 7u) / 8u;
}

/* Returns the size of the done bits of a job, in bytes. */
size_t
mb_dag_done_bytes(const mb_dag_job_t *job)
{
    return occurrence_bytes(job) * job->occurrence_count;
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

/* Sets *progress to the progress of a job, to be stored. `progress->rows` must
   be an empty array. The result is valid as long as neither `bits`, whose
   content is replaced by the done bits, nor the job changes, as its rows point
   into the job. */
void
mb_dag_progress_collect(const mb_dag_job_t *job, mb_buf_t *bits,
                        mb_dag_progress_t *progress)
{
    size_t bytes = occurrence_bytes(job);
    size_t all = mb_dag_done_bytes(job);
    mb_buf_clear(bits);
    mb_buf_reserve(bits, all);
    memset(bits->data, 0, all);
    bits->len = all;
    for (uint32_t i = 0; i < job->occurrence_count; i++) {
        const mb_dag_task_t *tasks = job->occurrences[i].tasks;
        for (uint32_t t = 0; t < job->task_count; t++) {
            if (tasks[t].done) {
                set_bit(bits->data + bytes * i, t);
            }
            collect_row(&tasks[t], i, t, progress);
        }
    }
    progress->id = job->spec.id;
    progress->outcome = job->outcome;
    progress->started = job->any_run_started;
    progress->done = mb_buf_view(bits);
}

/* Marks the tasks of an occurrence as done whose bits are set. */
static void
apply_done_bits(mb_dag_job_t *job, uint32_t occurrence, mb_str_t bits)
{
    mb_dag_occurrence_t *target = &job->occurrences[occurrence];
    for (uint32_t t = 0; t < job->task_count; t++) {
        if (bits.data[t / 8] & (1 << (t % 8))) {
            mb_dag_set_done(job, occurrence, mb_dag_find_step(job, t),
                            &target->tasks[t]);
        }
    }
}

/* Applies stored progress to a job. Progress whose done bits don't have the
   size that the job requires is ignored, and so are rows of tasks that the job
   does not have. */
void
mb_dag_progress_apply(mb_dag_job_t *job, const mb_dag_progress_t *progress)
{
    size_t bytes = occurrence_bytes(job);
    if (progress->done.len != mb_dag_done_bytes(job)) {
        return;
    }
    for (uint32_t i = 0; i < job->occurrence_count; i++) {
        apply_done_bits(job, i,
                        (mb_str_t){progress->done.data + bytes * i, bytes});
    }
    for (guint i = 0; i < progress->rows->len; i++) {
        const mb_dag_progress_row_t *row =
            &g_array_index(progress->rows, mb_dag_progress_row_t, i);
        if (row->occurrence < job->occurrence_count &&
            row->task < job->task_count) {
            mb_dag_task_t *task =
                &job->occurrences[row->occurrence].tasks[row->task];
            for (uint16_t k = 0; k < row->failures; k++) {
                (void)mb_dag_add_failure(task, row->failed_runs[k]);
            }
            mb_dag_set_checkpoint(task, row->checkpoint);
        }
    }
    job->outcome = progress->outcome;
    job->any_run_started = job->any_run_started || progress->started;
}
