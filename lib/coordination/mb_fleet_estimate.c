/* Run times to expect, and the time within which a job should be completed. */
#include "mb_fleet_internal.h"

/* Run time by which learned ones are counted, in milliseconds: declared run
   times are too far off to be a measure. */
#define UNIT_MS 1000u
/* Weights of the mean of a queue and of the declared run time, for a step of
   which no task has finished. */
#define WEIGHT_QUEUE 2u
#define WEIGHT_DECLARED 1u
#define MILLI 1000u

/* Returns the number under which the run times of a queue are kept. */
static uint64_t
queue_kind(const mb_dag_job_t *job)
{
    return mb_str_hash(job->spec.policy.queue);
}

/* Returns the number under which the run times of a step are kept. */
static uint64_t
step_kind(const mb_dag_job_t *job, uint32_t step)
{
    return mb_str_hash(mb_dag_id_view(&job->spec.id)) ^
           ((step + 1) * UINT64_C(0x9e3779b97f4a7c15));
}

/* Learns from a run that has succeeded. One that was slowed down says little
   of its work. */
void
mb_fleet_learn_run_time(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    uint64_t run_us = mb_clock_us(&fleet->clock) - run->started_us;
    uint32_t run_ms = (uint32_t)MIN(run_us / MB_US_PER_MS, UINT32_MAX);
    if (run->was_throttled || run->resumed) {
        return;
    }
    mb_sizing_finished(&fleet->sizing, queue_kind(run->job), UNIT_MS, run_ms);
    mb_sizing_finished(&fleet->sizing, step_kind(run->job, run->step), UNIT_MS,
                       run_ms);
}

/* Returns the run time to expect of the tasks of a step, in milliseconds. */
static uint64_t
expected_ms(const mb_fleet_t *fleet, const mb_dag_job_t *job, uint32_t step)
{
    uint32_t declared_ms = job->steps[step].estimate_ms;
    uint64_t of_step = step_kind(job, step);
    uint64_t of_queue = queue_kind(job);
    if (mb_sizing_knows(&fleet->sizing, of_step)) {
        return mb_sizing_run_ms(&fleet->sizing, of_step, UNIT_MS);
    }
    if (!mb_sizing_knows(&fleet->sizing, of_queue)) {
        return declared_ms;
    }
    uint64_t mean_ms = mb_sizing_run_ms(&fleet->sizing, of_queue, UNIT_MS);
    return (mean_ms * WEIGHT_QUEUE + (uint64_t)declared_ms * WEIGHT_DECLARED) /
           (WEIGHT_QUEUE + WEIGHT_DECLARED);
}

/* Returns the part of a step's run time that is still to come at least: half
   of it when all of its tasks run. */
static uint64_t
remaining_ms(const mb_dag_job_t *job, uint32_t step, uint64_t run_ms)
{
    const mb_dag_occurrence_t *occurrence = &job->occurrences[0];
    if (occurrence->left[step] == 0) {
        return 0;
    }
    for (uint32_t i = 0; i < job->steps[step].count; i++) {
        const mb_dag_task_t *task = mb_dag_task(job, 0, step, i);
        if (!task->done && !mb_fleet_task_is_running(task)) {
            return run_ms;
        }
    }
    return run_ms / 2;
}

/* Returns the longest of the chains that a step depends on. */
static uint64_t
longest_before(const mb_dag_step_t *step, const uint64_t *chains,
               uint32_t count)
{
    uint64_t longest = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (step->depends_on & (UINT64_C(1) << i)) {
            longest = MAX(longest, chains[i]);
        }
    }
    return longest;
}

/* Estimates the time within which a job should be completed, the stretch of
   its longest chain of run times and the latency objective, and how long what
   is left of that chain takes. */
void
mb_fleet_estimate_job(const mb_fleet_t *fleet, mb_dag_job_t *job)
{
    uint64_t chains[MB_DAG_STEPS_MAX];
    uint64_t left[MB_DAG_STEPS_MAX];
    uint64_t longest_ms = 0;
    uint64_t longest_left_ms = 0;
    uint64_t work = 0;
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        const mb_dag_step_t *step = &job->steps[i];
        uint64_t run_ms = expected_ms(fleet, job, i);
        chains[i] = longest_before(step, chains, i) + run_ms;
        left[i] = longest_before(step, left, i) + remaining_ms(job, i, run_ms);
        longest_ms = MAX(longest_ms, chains[i]);
        longest_left_ms = MAX(longest_left_ms, left[i]);
        work += job->occurrences[0].left[i] * run_ms * step->size.cpu_milli;
    }
    uint64_t objective_ms =
        longest_ms * job->spec.policy.stretch_milli / MILLI +
        job->spec.policy.latency_objective_ms;
    job->objective_us = objective_ms * MB_US_PER_MS;
    job->left_us = longest_left_ms * MB_US_PER_MS;
    job->left_work = work;
}
