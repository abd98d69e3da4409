/* Expected run times of tasks, learned from successful runs, and the time
   within which a job should be completed. */
#include "mb_fleet_internal.h"

/* Reference run time that is given to mb_sizing, which learns ratios to it, in
   milliseconds. Declared run times are too inaccurate to be a reference. */
#define REFERENCE_MS 1000u
/* Weights of the mean run time of the queue and of the declared run time in
   the estimate for a step of which no task has finished. */
#define WEIGHT_QUEUE 2u
#define WEIGHT_DECLARED 1u
#define MILLI 1000u

/* Returns the key of the run times of a job's queue in mb_sizing. */
static uint64_t
get_queue_key(const mb_dag_job_t *job)
{
    return mb_str_hash(job->spec.policy.queue);
}

/* Learns from the run time of a successful run. Runs that were throttled,
   began at a checkpoint or were adopted are left out, as their run time says
   little about the work of a whole task. */
void
mb_fleet_learn_run_time(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    uint64_t run_us = mb_clock_us(&fleet->clock) - run->started_us;
    uint32_t run_ms = (uint32_t)MIN(run_us / MB_US_PER_MS, UINT32_MAX);
    if (run->was_throttled || run->resumed) {
        return;
    }
    mb_sizing_observe_run_time(&fleet->sizing, get_queue_key(run->job),
                               REFERENCE_MS, run_ms);
    mb_sizing_observe_run_time(&fleet->sizing,
                               mb_fleet_step_key(run->job, run->step),
                               REFERENCE_MS, run_ms);
}

/* Returns the expected run time of the tasks of a step, in milliseconds: the
   mean of its finished tasks; without any, a weighted mean of the queue's run
   time and the declared one; and without finished tasks of the queue, the
   declared one. */
uint64_t
mb_fleet_expected_run_ms(const mb_fleet_t *fleet, const mb_dag_job_t *job,
                         uint32_t step)
{
    uint32_t declared_ms = job->steps[step].estimate_ms;
    uint64_t step_key = mb_fleet_step_key(job, step);
    uint64_t queue_key = get_queue_key(job);
    if (mb_sizing_has_run_time(&fleet->sizing, step_key)) {
        return mb_sizing_estimate_run_ms(&fleet->sizing, step_key,
                                         REFERENCE_MS);
    }
    if (!mb_sizing_has_run_time(&fleet->sizing, queue_key)) {
        return declared_ms;
    }
    uint64_t mean_ms =
        mb_sizing_estimate_run_ms(&fleet->sizing, queue_key, REFERENCE_MS);
    return (mean_ms * WEIGHT_QUEUE + (uint64_t)declared_ms * WEIGHT_DECLARED) /
           (WEIGHT_QUEUE + WEIGHT_DECLARED);
}

/* Returns the least time that a step of the first occurrence is expected to
   take from now, in milliseconds: a whole run time while tasks wait, half of
   it when all unfinished ones run, 0 when all are done. */
static uint64_t
remaining_ms(const mb_dag_job_t *job, uint32_t step, uint64_t run_ms)
{
    const mb_dag_occurrence_t *occurrence = &job->occurrences[0];
    if (occurrence->unfinished_tasks[step] == 0) {
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

/* Returns the longest of the paths that end at a step on which `step` depends.
   `paths` holds the lengths of the paths that end at the `count` earlier
   steps. */
static uint64_t
longest_path_before(const mb_dag_step_t *step, const uint64_t *paths,
                    uint32_t count)
{
    uint64_t longest = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (step->depends_on & (UINT64_C(1) << i)) {
            longest = MAX(longest, paths[i]);
        }
    }
    return longest;
}

/* Estimates three figures of a job from the expected run times of its steps:
   its objective (the critical path of the steps times the stretch factor of
   its policy, plus the latency objective), the time for the rest of the
   critical path, and the remaining work. For recurring jobs, the last two are
   those of the first occurrence. */
void
mb_fleet_estimate_job(const mb_fleet_t *fleet, mb_dag_job_t *job)
{
    uint64_t paths[MB_DAG_STEPS_MAX];
    uint64_t left_paths[MB_DAG_STEPS_MAX];
    uint64_t longest_ms = 0;
    uint64_t longest_left_ms = 0;
    uint64_t work = 0;
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        const mb_dag_step_t *step = &job->steps[i];
        uint64_t run_ms = mb_fleet_expected_run_ms(fleet, job, i);
        paths[i] = longest_path_before(step, paths, i) + run_ms;
        left_paths[i] = longest_path_before(step, left_paths, i) +
                        remaining_ms(job, i, run_ms);
        longest_ms = MAX(longest_ms, paths[i]);
        longest_left_ms = MAX(longest_left_ms, left_paths[i]);
        work += job->occurrences[0].unfinished_tasks[i] * run_ms *
                step->size.cpu_milli;
    }
    uint64_t objective_ms =
        longest_ms * job->spec.policy.stretch_milli / MILLI +
        job->spec.policy.latency_objective_ms;
    job->objective_us = objective_ms * MB_US_PER_MS;
    job->remaining_us = longest_left_ms * MB_US_PER_MS;
    job->remaining_work = work;
}
