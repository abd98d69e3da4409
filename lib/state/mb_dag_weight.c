/* How much memory a job may take, as far as that is known when it is
   submitted. The same on every process, so that all agree on what fits. */
#include "mb_dag.h"

/* Memory of a job beside its specification and its occurrences, in bytes: the
   entry of the hash table, the arrays and the overhead of allocations. */
#define JOB_OVERHEAD_BYTES 512u
/* Overhead of an occurrence and of a step in it, in bytes. */
#define OCCURRENCE_OVERHEAD_BYTES 96u
/* Number of occurrences of a job that may be open although their tasks take
   no longer than the interval between them. */
#define WINDOW_MIN 4u
/* Factor by which tasks may take longer than declared. */
#define ESTIMATE_FACTOR 4u

/* Returns the declared run times of all steps, one after the other, in
   milliseconds. */
static uint64_t
get_chain_ms(const mb_dag_spec_t *spec)
{
    uint64_t chain_ms = 0;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        chain_ms += spec->steps[i].estimate_ms;
    }
    return chain_ms;
}

/* Tells whether a job has steps that run until it is cancelled. */
static bool
is_long_running(const mb_dag_spec_t *spec)
{
    bool long_running = false;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        long_running = long_running || spec->steps[i].long_running;
    }
    return long_running;
}

/* Returns how many occurrences of a job are expected to be unfinished at a
   time: memory for so many is set aside when the job is accepted. Occurrences
   of services never finish. */
uint32_t
mb_dag_window(const mb_dag_spec_t *spec)
{
    uint32_t count = MAX(1u, spec->occurrences);
    if (count == 1 || spec->interval_ms == 0 || is_long_running(spec)) {
        return count;
    }
    uint64_t overlap =
        get_chain_ms(spec) * ESTIMATE_FACTOR / spec->interval_ms;
    return (uint32_t)MIN(count, WINDOW_MIN + overlap);
}

/* Returns the memory of one open occurrence, in bytes. */
uint64_t
mb_dag_weigh_occurrence(const mb_dag_spec_t *spec)
{
    uint64_t bytes = sizeof(mb_dag_occurrence_t) + OCCURRENCE_OVERHEAD_BYTES;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        bytes += 2 * sizeof(uint32_t);
        bytes += spec->steps[i].count * (uint64_t)sizeof(mb_dag_task_t);
    }
    return bytes;
}

/* Returns the memory that a job may take, in bytes: its specification, and as
   many open occurrences as are expected at a time. */
uint64_t
mb_dag_weigh(const mb_dag_spec_t *spec)
{
    uint64_t bytes = sizeof(mb_dag_job_t) + JOB_OVERHEAD_BYTES +
                     spec->payload.len + spec->policy.queue.len +
                     spec->policy.service.len;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        const mb_dag_step_t *step = &spec->steps[i];
        bytes += sizeof(mb_dag_step_t) + sizeof(mb_dag_step_times_t) +
                 sizeof(uint32_t) + step->label.len + step->rack.len +
                 step->image.len;
    }
    return bytes + mb_dag_window(spec) * mb_dag_weigh_occurrence(spec);
}

/* Returns the memory of a job after mb_dag_compact, in bytes. */
uint64_t
mb_dag_weigh_compacted(const mb_dag_job_t *job)
{
    return sizeof(mb_dag_job_t) + JOB_OVERHEAD_BYTES +
           job->spec.policy.queue.len + job->spec.policy.service.len +
           job->spec.step_count *
               (sizeof(mb_dag_step_t) + sizeof(mb_dag_step_times_t) +
                sizeof(uint32_t));
}
