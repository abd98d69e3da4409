/* The occurrences of a job and their tasks. An occurrence is in memory from
   when it begins or is due until it is finished, so that a job that recurs for
   a long time takes no more than its unfinished part; finished ones are kept
   as ranges of numbers. */
#include "mb_clock.h"
#include "mb_dag.h"

/* Returns the position in `open` of the first occurrence whose number is not
   below `number`. */
static guint
find_position(const mb_dag_job_t *job, uint32_t number)
{
    guint low = 0;
    guint high = job->open->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        const mb_dag_occurrence_t *occurrence =
            g_ptr_array_index(job->open, middle);
        if (occurrence->number < number) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Finds an open occurrence, or one that is finished and not released yet;
   returns NULL if there is none. */
mb_dag_occurrence_t *
mb_dag_find_open(const mb_dag_job_t *job, uint32_t number)
{
    if (job->latest != NULL && job->latest->number == number) {
        return job->latest;
    }
    guint position = find_position(job, number);
    if (position == job->open->len) {
        return NULL;
    }
    mb_dag_occurrence_t *found = g_ptr_array_index(job->open, position);
    return found->number == number ? found : NULL;
}

/* Returns the range of finished occurrences that ends after `number`, or NULL
   if there is none. */
static const mb_dag_range_t *
find_range(const mb_dag_job_t *job, uint32_t number)
{
    guint low = 0;
    guint high = job->finished->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        if (g_array_index(job->finished, mb_dag_range_t, middle).end <=
            number) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low == job->finished->len
               ? NULL
               : &g_array_index(job->finished, mb_dag_range_t, low);
}

/* Tells whether all tasks of an occurrence are done. */
bool
mb_dag_is_finished(const mb_dag_job_t *job, uint32_t number)
{
    const mb_dag_range_t *range = find_range(job, number);
    return range != NULL && range->first <= number;
}

/* Notes that all tasks of a range of occurrences are done. Those that are open
   stay so until mb_dag_release_finished. */
void
mb_dag_set_finished(mb_dag_job_t *job, mb_dag_range_t range)
{
    guint i = 0;
    while (i < job->finished->len) {
        mb_dag_range_t other = g_array_index(job->finished, mb_dag_range_t, i);
        if (other.end < range.first) {
            i++;
            continue;
        }
        if (other.first > range.end) {
            break;
        }
        range.first = MIN(range.first, other.first);
        range.end = MAX(range.end, other.end);
        job->finished_count -= other.end - other.first;
        (void)g_array_remove_index(job->finished, i);
    }
    job->finished_count += range.end - range.first;
    (void)g_array_insert_val(job->finished, i, range);
}

/* Frees an occurrence, which the caller removes from the open ones. */
static void
free_occurrence(mb_dag_job_t *job, mb_dag_occurrence_t *occurrence)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        g_free(occurrence->tasks[i].checkpoint);
        g_free(occurrence->tasks[i].failed_runs);
    }
    if (job->latest == occurrence) {
        job->latest = NULL;
    }
    if (occurrence->is_surplus) {
        job->table->surplus_bytes -= mb_dag_weigh_occurrence(&job->spec);
    }
    g_free(occurrence->tasks);
    g_free(occurrence);
}

/* Returns an occurrence, which is opened if necessary. Returns NULL if the job
   has no such occurrence, or if it is finished and was released. Valid until
   mb_dag_release_finished. */
mb_dag_occurrence_t *
mb_dag_open(mb_dag_job_t *job, uint32_t number)
{
    if (job->latest != NULL && job->latest->number == number) {
        return job->latest;
    }
    guint position = find_position(job, number);
    if (position < job->open->len) {
        mb_dag_occurrence_t *found = g_ptr_array_index(job->open, position);
        if (found->number == number) {
            job->latest = found;
            return found;
        }
    }
    if (number >= job->occurrence_count || mb_dag_is_finished(job, number)) {
        return NULL;
    }
    size_t numbers_bytes = 2 * job->spec.step_count * sizeof(uint32_t);
    mb_dag_occurrence_t *occurrence =
        g_malloc0(sizeof(mb_dag_occurrence_t) + numbers_bytes);
    occurrence->number = number;
    occurrence->tasks = g_new0(mb_dag_task_t, job->task_count);
    occurrence->first_unfinished =
        &occurrence->unfinished_tasks[job->spec.step_count];
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        occurrence->unfinished_tasks[i] = job->steps[i].count;
    }
    if (job->open->len >= mb_dag_window(&job->spec)) {
        occurrence->is_surplus = true;
        job->table->surplus_bytes += mb_dag_weigh_occurrence(&job->spec);
    }
    g_ptr_array_insert(job->open, (gint)position, occurrence);
    job->latest = occurrence;
    return occurrence;
}

/* Tells whether there is memory for another open occurrence of a job: its
   window has room, or the part that all jobs share. */
static bool
has_room(const mb_dag_job_t *job)
{
#ifdef MB_MUTANT_DAG_ALL_DUE_OPENED
    return true;
#endif
    return job->open->len < mb_dag_window(&job->spec) ||
           job->table->surplus_bytes + mb_dag_weigh_occurrence(&job->spec) <=
               MB_DAG_SURPLUS_BYTES_MAX;
}

/* Opens the occurrences that are due, in their order, as long as there is
   memory for them. Further ones follow when earlier ones are finished. */
void
mb_dag_open_due(mb_dag_job_t *job, uint64_t now_us)
{
    while (job->next_due < job->occurrence_count &&
           mb_dag_due_us(job, job->next_due) <= now_us) {
        const mb_dag_range_t *range = find_range(job, job->next_due);
        if (range != NULL && range->first <= job->next_due) {
            job->next_due = range->end;
            continue;
        }
        if (mb_dag_find_open(job, job->next_due) == NULL) {
            if (!has_room(job)) {
                return;
            }
            (void)mb_dag_open(job, job->next_due);
        }
        job->next_due++;
    }
}

/* Tells whether a task of an occurrence has a run. */
static bool
has_run(const mb_dag_job_t *job, const mb_dag_occurrence_t *occurrence)
{
    uint32_t runs = 0;
    for (uint32_t i = 0; runs == 0 && i < job->task_count; i++) {
        runs = mb_dag_count_runs(&occurrence->tasks[i]);
    }
    return runs > 0;
}

/* Frees the finished occurrences of a job of which nothing runs any more.
   Pointers to them and to their tasks become invalid. */
void
mb_dag_release_finished(mb_dag_job_t *job)
{
#ifdef MB_MUTANT_DAG_FINISHED_KEPT
    return;
#endif
    for (guint i = 0; i < job->open->len;) {
        mb_dag_occurrence_t *occurrence = g_ptr_array_index(job->open, i);
        if (!mb_dag_is_finished(job, occurrence->number) ||
            has_run(job, occurrence)) {
            i++;
            continue;
        }
        free_occurrence(job, occurrence);
        (void)g_ptr_array_remove_index(job->open, i);
    }
}

/* Frees all occurrences of a job, of which nothing may run. */
void
mb_dag_close_all(mb_dag_job_t *job)
{
    for (guint i = 0; i < job->open->len; i++) {
        free_occurrence(job, g_ptr_array_index(job->open, i));
    }
    (void)g_ptr_array_set_size(job->open, 0);
}

/* Adds two numbers; returns UINT64_MAX instead of an overflow. */
static uint64_t
add_saturated(uint64_t a, uint64_t b)
{
    return a > UINT64_MAX - b ? UINT64_MAX : a + b;
}

/* Multiplies two numbers; returns UINT64_MAX instead of an overflow. */
static uint64_t
multiply_saturated(uint64_t a, uint64_t b)
{
    return b != 0 && a > UINT64_MAX / b ? UINT64_MAX : a * b;
}

/* Returns when an occurrence is due, by the clock of the owner: 0 for a job
   that does not recur, UINT64_MAX if it is beyond the range of the clock. */
uint64_t
mb_dag_due_us(const mb_dag_job_t *job, uint32_t number)
{
    const mb_dag_spec_t *spec = &job->spec;
    uint64_t base_ms = job->due_base_ms;
    if (spec->occurrences == 0) {
        return 0;
    }
    uint64_t due_ms = add_saturated(
        spec->first_ms, multiply_saturated(number, spec->interval_ms));
    if (due_ms <= base_ms) {
        uint64_t past_us = multiply_saturated(base_ms - due_ms, MB_US_PER_MS);
        return job->due_base_us - MIN(job->due_base_us, past_us);
    }
    return add_saturated(job->due_base_us,
                         multiply_saturated(due_ms - base_ms, MB_US_PER_MS));
}

/* Returns the open occurrence with the lowest number that is not finished, or
   NULL if there is none. */
const mb_dag_occurrence_t *
mb_dag_oldest_open(const mb_dag_job_t *job)
{
    for (guint i = 0; i < job->open->len; i++) {
        const mb_dag_occurrence_t *occurrence =
            g_ptr_array_index(job->open, i);
        if (!mb_dag_is_finished(job, occurrence->number)) {
            return occurrence;
        }
    }
    return NULL;
}

/* Tells whether a job has a task. */
bool
mb_dag_has_task(const mb_dag_job_t *job, const mb_dag_task_id_t *id)
{
    return id->occurrence < job->occurrence_count &&
           id->step < job->spec.step_count &&
           id->index < job->steps[id->step].count;
}

/* Finds a task, as mb_dag_task does, when its occurrence is not the one that
   was last looked up. */
mb_dag_task_t *
mb_dag_open_task(mb_dag_job_t *job, uint32_t occurrence, uint32_t step,
                 uint32_t index)
{
    if (step >= job->spec.step_count || index >= job->steps[step].count) {
        return NULL;
    }
    mb_dag_occurrence_t *found = mb_dag_open(job, occurrence);
    return found == NULL ? NULL : &found->tasks[job->first_task[step] + index];
}

/* Finds a task, whose step and index must be in range. Returns NULL if its
   occurrence is not open. */
const mb_dag_task_t *
mb_dag_find_task(const mb_dag_job_t *job, uint32_t occurrence, uint32_t step,
                 uint32_t index)
{
    const mb_dag_occurrence_t *found = mb_dag_find_open(job, occurrence);
    return found == NULL ? NULL : &found->tasks[job->first_task[step] + index];
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

/* Returns the number of tasks of a step that are not done. */
uint32_t
mb_dag_unfinished(const mb_dag_job_t *job, uint32_t occurrence, uint32_t step)
{
    const mb_dag_occurrence_t *found = mb_dag_find_open(job, occurrence);
    if (found != NULL) {
        return found->unfinished_tasks[step];
    }
    return mb_dag_is_finished(job, occurrence) ? 0 : job->steps[step].count;
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

/* Moves the first unfinished task of a step past those that are done. */
static void
skip_done_tasks(const mb_dag_job_t *job, mb_dag_occurrence_t *occurrence,
                uint32_t step)
{
    uint32_t *first = &occurrence->first_unfinished[step];
    while (*first < job->steps[step].count &&
           occurrence->tasks[job->first_task[step] + *first].done) {
        (*first)++;
    }
}

/* Marks a task of an open occurrence as done, which is final. Repeated calls
   have no effect. */
void
mb_dag_set_done(mb_dag_job_t *job, uint32_t occurrence, uint32_t step,
                mb_dag_task_t *task)
{
    mb_dag_occurrence_t *target = mb_dag_find_open(job, occurrence);
    uint64_t all_steps =
        UINT64_MAX >> (MB_DAG_STEPS_MAX - job->spec.step_count);
    if (task->done) {
        return;
    }
    task->done = true;
    task->checkpoint_len = 0;
    g_clear_pointer(&task->checkpoint, g_free);
    skip_done_tasks(job, target, step);
    target->unfinished_tasks[step]--;
    if (target->unfinished_tasks[step] == 0) {
        target->finished_steps |= UINT64_C(1) << step;
    }
    if (target->finished_steps == all_steps) {
        mb_dag_set_finished(job, (mb_dag_range_t){occurrence, occurrence + 1});
    }
}

/* Returns whether all steps that a step depends on are done. */
bool
mb_dag_step_ready(const mb_dag_job_t *job, uint32_t occurrence, uint32_t step)
{
    uint64_t needed = job->steps[step].depends_on;
    const mb_dag_occurrence_t *found = mb_dag_find_open(job, occurrence);
    if (found != NULL) {
        return (found->finished_steps & needed) == needed;
    }
    return needed == 0 || mb_dag_is_finished(job, occurrence);
}

/* Returns whether all tasks of all occurrences are done. */
bool
mb_dag_all_done(const mb_dag_job_t *job)
{
    return job->finished_count == job->occurrence_count;
}
