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

/* Frees a copy made by copy_text and makes it empty. */
static void
free_text(mb_str_t *text)
{
    if (text->len > 0) {
        g_free((char *)text->data);
    }
    *text = MB_STR_EMPTY;
}

/* Frees the texts of the steps of a job. */
static void
free_step_texts(mb_dag_job_t *job)
{
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        free_text(&job->steps[i].label);
        free_text(&job->steps[i].rack);
        free_text(&job->steps[i].image);
    }
}

/* Frees a job; the destructor of the values of the hash table. */
static void
free_job(gpointer data)
{
    mb_dag_job_t *job = data;
    mb_dag_close_all(job);
    free_step_texts(job);
    free_text(&job->spec.payload);
    free_text(&job->spec.policy.queue);
    free_text(&job->spec.policy.service);
    job->table->weight -= job->weight;
    g_ptr_array_unref(job->open);
    g_array_unref(job->finished);
    g_free(job->first_task);
    g_free(job->step_times);
    g_free(job->steps);
    g_free(job);
}

/* Initializes an empty table. */
void
mb_dag_table_init(mb_dag_table_t *table)
{
    *table = (mb_dag_table_t){0};
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

/* Adds a job. The specification must be valid; its texts and steps are copied.
   Returns NULL and changes nothing if there is a job of the same id. */
mb_dag_job_t *
mb_dag_add(mb_dag_table_t *table, const mb_dag_spec_t *spec)
{
    if (mb_dag_find(table, spec->id) != NULL) {
        return NULL;
    }
    mb_dag_job_t *job = g_new0(mb_dag_job_t, 1);
    job->table = table;
    job->spec = *spec;
    job->spec.payload = copy_text(spec->payload);
    job->spec.policy.queue = copy_text(spec->policy.queue);
    job->spec.policy.service = copy_text(spec->policy.service);
    copy_steps(job, spec);
    job->occurrence_count = MAX(1u, spec->occurrences);
    job->open = g_ptr_array_new();
    job->finished = g_array_new(FALSE, FALSE, sizeof(mb_dag_range_t));
    job->weight = mb_dag_weigh(spec);
    table->weight += job->weight;
    (void)g_hash_table_insert(table->jobs, &job->spec.id, job);
    return job;
}

/* Frees what is of no use any more after a job has its outcome and no runs:
   its tasks, its payload and the texts of its steps. */
void
mb_dag_compact(mb_dag_job_t *job)
{
    if (job->compacted) {
        return;
    }
    job->compacted = true;
    mb_dag_close_all(job);
    free_text(&job->spec.payload);
    free_step_texts(job);
    job->table->weight -= job->weight;
    job->weight = MIN(job->weight, mb_dag_weigh_compacted(job));
    job->table->weight += job->weight;
}
