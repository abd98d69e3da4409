/* Estimates from the run times of tasks: the time within which a job should be
   completed, and what is left of it. The typical run time of a step is learned
   from its own tasks, and how run times spread around it from all steps of the
   queue (mb_run_time). */
#include <math.h>

#include "mb_fleet_internal.h"

/* Weights of the typical run time of the queue and of the declared run time in
   the estimate for a step of which no task has finished. */
#define WEIGHT_QUEUE 2.0
#define WEIGHT_DECLARED 1.0
/* Number of finished tasks from which on a further one counts by at most
   OUTLIER_FACTOR: they tell the typical run time well enough to recognize a
   straggler. */
#define OUTLIER_SAMPLES 3u
#define OUTLIER_FACTOR 2.0
/* Number of finished tasks after which older ones of a step count less. */
#define STEP_SAMPLES_MAX 32u
/* Number of run times from which on the median of a step is taken as its
   typical one: with fewer, the straggler itself may be the median. */
#define SPREAD_SAMPLES_MIN 4u
#define MILLI 1000u
/* Interval between two estimates of a job, in microseconds. Jobs are sorted
   whenever one arrives or ends, and the estimates of thousands of others do
   not change much by that. */
#define INTERVAL_US UINT64_C(200000)

/* What the tasks of a step of one occurrence do. */
typedef struct step_state {
    uint32_t waiting; /* tasks that are neither done nor at work */
    uint32_t running;
    /* Least and longest time for which a running task has been at work, in
       milliseconds. */
    double youngest_ms;
    double oldest_ms;
} step_state_t;

/* Estimates of a step, in milliseconds. */
typedef struct step_estimate {
    double run_ms;   /* of a task, in the mean */
    double total_ms; /* of its longest task */
    double left_ms;  /* until its last task ends, from now */
} step_estimate_t;

/* Returns the key of the run times of a job's queue. */
static uint64_t
get_queue_key(const mb_dag_job_t *job)
{
    return mb_str_hash(job->spec.policy.queue);
}

/* Returns a deviation from the typical run time, as the difference of the
   logarithms, limited if enough is known of the step. */
static double
limit_deviation(const mb_dag_step_times_t *times, double deviation)
{
    double limit = log(OUTLIER_FACTOR);
    return times->samples >= OUTLIER_SAMPLES ? CLAMP(deviation, -limit, limit)
                                             : deviation;
}

/* Learns from the run time of a successful run. Runs that were throttled,
   began at a checkpoint or were adopted say little about the work of a whole
   task, but unless they were throttled, it is at least as long. */
void
mb_fleet_learn_run_time(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    uint64_t run_us = mb_clock_us(&fleet->clock) - run->started_us;
    uint32_t run_ms =
        (uint32_t)CLAMP(run_us / MB_US_PER_MS, 1u, (uint64_t)UINT32_MAX);
    mb_dag_step_times_t *times = &run->job->step_times[run->step];
    mb_dag_task_t *task = mb_fleet_run_task(run);
    if (run->was_throttled) {
        return;
    }
    if (run->occurrence == 0) {
        times->longest_ms = MAX(times->longest_ms, run_ms);
    }
    if (run->resumed) {
        return;
    }
    double deviation =
        limit_deviation(times, log((double)run_ms) - times->log_ms);
    times->samples = MIN(times->samples + 1, STEP_SAMPLES_MAX);
    times->log_ms += deviation / times->samples;
    task->run_ms = task->done ? task->run_ms : run_ms;
    mb_run_time_observe(&fleet->run_times, get_queue_key(run->job), run_ms);
}

/* GCompareFunc over run times (uint32_t). */
static gint
compare_run_times(gconstpointer a, gconstpointer b)
{
    uint32_t run_a = *(const uint32_t *)a;
    uint32_t run_b = *(const uint32_t *)b;
    return run_a < run_b ? -1 : run_a > run_b;
}

/* Learns how the run times of a step spread, when the last of its tasks has
   succeeded. Earlier, only the short ones would be known. */
void
mb_fleet_learn_spread(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    const mb_dag_job_t *job = run->job;
    g_autoptr(GArray) run_times = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    if (mb_dag_unfinished(job, run->occurrence, run->step) > 0) {
        return;
    }
    for (uint32_t i = 0; i < job->steps[run->step].count; i++) {
        const mb_dag_task_t *task =
            mb_dag_find_task(job, run->occurrence, run->step, i);
        uint32_t run_ms = task == NULL ? 0 : task->run_ms;
        if (run_ms > 0) {
            g_array_append_val(run_times, run_ms);
        }
    }
    if (run_times->len < SPREAD_SAMPLES_MIN) {
        return;
    }
    g_array_sort(run_times, compare_run_times);
    guint middle = run_times->len / 2;
    double median = g_array_index(run_times, uint32_t, middle);
    for (guint i = 0; i < run_times->len; i++) {
        mb_run_time_observe_ratio(&fleet->run_times, get_queue_key(job),
                                  g_array_index(run_times, uint32_t, i) /
                                      median);
    }
}

/* Returns the typical run time of the tasks of a step, in milliseconds: by its
   finished tasks; without any, a weighted mean of the queue's run time and the
   declared one; and without finished tasks of the queue, the declared one. */
static double
get_typical_ms(const mb_run_time_kind_t *kind, const mb_dag_job_t *job,
               uint32_t step)
{
    double declared_ms = MAX(job->steps[step].estimate_ms, 1u);
    double queue_ms = mb_run_time_typical_ms(kind);
    if (job->step_times[step].samples > 0) {
        return exp(job->step_times[step].log_ms);
    }
    return queue_ms <= 0
               ? declared_ms
               : (queue_ms * WEIGHT_QUEUE + declared_ms * WEIGHT_DECLARED) /
                     (WEIGHT_QUEUE + WEIGHT_DECLARED);
}

/* Returns the typical run time of the tasks of a step, in milliseconds. */
uint64_t
mb_fleet_typical_run_ms(const mb_fleet_t *fleet, const mb_dag_job_t *job,
                        uint32_t step)
{
    return (uint64_t)get_typical_ms(
        mb_run_time_find(&fleet->run_times, get_queue_key(job)), job, step);
}

/* Returns the mean run time to expect of the tasks of a step, in
   milliseconds. Work is counted by it. */
uint64_t
mb_fleet_expected_run_ms(const mb_fleet_t *fleet, const mb_dag_job_t *job,
                         uint32_t step)
{
    const mb_run_time_kind_t *kind =
        mb_run_time_find(&fleet->run_times, get_queue_key(job));
    return (uint64_t)mb_run_time_mean_ms(kind,
                                         get_typical_ms(kind, job, step));
}

/* Returns for how long a running task has been at work, in milliseconds: the
   least of its runs, as a second one was started because it is expected to end
   first. The time of a throttled run says nothing and counts as 0. */
static double
get_elapsed_ms(const mb_dag_task_t *task, uint64_t now_us)
{
    uint64_t least_us = UINT64_MAX;
#ifdef MB_MUTANT_FLEET_TIME_AT_WORK_IGNORED
    return 0;
#endif
    for (uint32_t i = 0; i < MB_DAG_COPIES_MAX; i++) {
        const mb_dag_run_t *run = &task->runs[i];
        if (run->number != 0) {
            uint64_t elapsed_us =
                run->throttled ? 0 : now_us - MIN(now_us, run->started_us);
            least_us = MIN(least_us, elapsed_us);
        }
    }
    return (double)least_us / MB_US_PER_MS;
}

/* Returns the state of a step of an occurrence. Raises `typical_ms` by
   the tasks that have been at work for longer: each counts like a finished
   one, and the estimate so far like the finished tasks that it is from, or
   like one task if there are none. */
static step_state_t
get_state(const mb_dag_job_t *job, uint32_t occurrence, uint32_t step,
          uint64_t now_us, double *typical_ms)
{
    step_state_t state = {.waiting = mb_dag_unfinished(job, occurrence, step),
                          .youngest_ms = HUGE_VAL};
    double deviations = 0;
    uint32_t longer = 0;
    const mb_dag_step_times_t *times = &job->step_times[step];
    const mb_dag_occurrence_t *open = mb_dag_find_open(job, occurrence);
    for (uint32_t i = 0; job->running > 0 && state.waiting > 0 &&
                         open != NULL && i < job->steps[step].count;
         i++) {
        const mb_dag_task_t *task = &open->tasks[job->first_task[step] + i];
        if (task->done || !mb_fleet_task_is_running(task)) {
            continue;
        }
        double elapsed_ms = get_elapsed_ms(task, now_us);
        state.running++;
        state.youngest_ms = MIN(state.youngest_ms, elapsed_ms);
        state.oldest_ms = MAX(state.oldest_ms, elapsed_ms);
        if (elapsed_ms > *typical_ms) {
            deviations +=
                limit_deviation(times, log(elapsed_ms / *typical_ms));
            longer++;
        }
    }
    state.waiting -= MIN(state.waiting, state.running);
#ifdef MB_MUTANT_FLEET_RUNNING_TASKS_TEACH_NOTHING
    longer = 0;
    deviations = 0;
#endif
    *typical_ms *= exp(deviations / (longer + MAX(times->samples, 1u)));
    return state;
}

/* Returns what is known of the run times of a step of an occurrence, from its
   finished tasks and those at work. */
mb_fleet_step_model_t
mb_fleet_step_model(const mb_fleet_t *fleet, const mb_dag_job_t *job,
                    uint32_t occurrence, uint32_t step, uint64_t now_us)
{
    mb_fleet_step_model_t model = {.times = &fleet->run_times};
    model.kind = mb_run_time_find(model.times, get_queue_key(job));
    model.typical_ms = get_typical_ms(model.kind, job, step);
    (void)get_state(job, occurrence, step, now_us, &model.typical_ms);
    return model;
}

/* Learns from the other run of a task whose run has succeeded: it would have
   taken longer than it has been at work. Without this, the stragglers of a
   queue would be forgotten because their copies overtake them. */
void
mb_fleet_learn_given_up(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    const mb_dag_task_t *task = mb_fleet_run_task(run);
    uint64_t now_us = mb_clock_us(&fleet->clock);
    const mb_dag_step_times_t *times = &run->job->step_times[run->step];
    for (uint32_t i = 0; i < MB_DAG_COPIES_MAX; i++) {
        const mb_dag_run_t *other = &task->runs[i];
        if (other->number == 0 || other->number == run->number ||
            other->throttled || times->samples < OUTLIER_SAMPLES) {
            continue;
        }
        double elapsed_ms =
            (double)(now_us - MIN(now_us, other->started_us)) / MB_US_PER_MS;
        mb_run_time_observe_longer(&fleet->run_times, get_queue_key(run->job),
                                   elapsed_ms / exp(times->log_ms));
    }
}

/* Returns the estimate of a step of services, which run until they are
   cancelled: the time at work of their tasks says nothing. */
static step_estimate_t
estimate_service_step(const step_state_t *state, double run_ms)
{
    return (step_estimate_t){run_ms, run_ms,
                             state->waiting > 0 ? run_ms : run_ms / 2};
}

/* Returns the occurrence for which a job is estimated: the oldest unfinished
   one that has begun, or the first. */
static uint32_t
get_estimated_occurrence(const mb_dag_job_t *job)
{
    const mb_dag_occurrence_t *oldest = mb_dag_oldest_open(job);
    return oldest == NULL ? 0 : oldest->number;
}

/* Estimates the times of a step of an occurrence. What is left is that
   of the tasks at work, and a whole run time of the longest one of those that
   wait. */
static step_estimate_t
estimate_step(const mb_run_time_t *times, const mb_run_time_kind_t *kind,
              const mb_dag_job_t *job, uint32_t occurrence, uint32_t step,
              uint64_t now_us)
{
    double typical_ms = get_typical_ms(kind, job, step);
    step_state_t state = get_state(job, occurrence, step, now_us, &typical_ms);
    double run_ms = mb_run_time_mean_ms(kind, typical_ms);
    step_estimate_t estimate = {run_ms, job->step_times[step].longest_ms, 0};
    if (job->steps[step].long_running) {
        return estimate_service_step(&state, run_ms);
    }
    if (state.waiting > 0) {
        estimate.left_ms =
            mb_run_time_longest_ms(times, kind, typical_ms, state.waiting, 0);
        estimate.total_ms = MAX(estimate.total_ms, estimate.left_ms);
    }
    if (state.running > 0) {
        double longest_ms = mb_run_time_longest_ms(
            times, kind, typical_ms, state.running, state.youngest_ms);
        double oldest_left_ms =
            mb_run_time_remaining_ms(times, kind, typical_ms, state.oldest_ms);
        estimate.left_ms = MAX(MAX(estimate.left_ms, oldest_left_ms),
                               longest_ms - state.youngest_ms);
        estimate.total_ms = MAX(MAX(estimate.total_ms, longest_ms),
                                state.oldest_ms + oldest_left_ms);
    }
    if (estimate.total_ms <= 0) {
        estimate.total_ms = mb_run_time_longest_ms(times, kind, typical_ms,
                                                   job->steps[step].count, 0);
    }
    return estimate;
}

/* Returns the longest of the paths that end at a step on which `step` depends.
   `paths` holds the lengths of the paths that end at the `count` earlier
   steps. */
static double
longest_path_before(const mb_dag_step_t *step, const double *paths,
                    uint32_t count)
{
    double longest = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (step->depends_on & (UINT64_C(1) << i)) {
            longest = MAX(longest, paths[i]);
        }
    }
    return longest;
}

/* Estimates three figures of a job: its objective (the longest chain of the
   run times that its tasks really take, as far as they are known, times the
   stretch factor of its policy, plus the latency objective), the time for the
   rest of the critical path, and the remaining work. They are those of the
   oldest unfinished occurrence. Does nothing if the job was estimated less
   than INTERVAL_US ago. */
void
mb_fleet_estimate_job(const mb_fleet_t *fleet, mb_dag_job_t *job)
{
    double paths[MB_DAG_STEPS_MAX];
    double left_paths[MB_DAG_STEPS_MAX];
    double longest_ms = 0;
    double longest_left_ms = 0;
    double work = 0;
    uint64_t now_us = mb_clock_us(&fleet->clock);
    const mb_run_time_kind_t *kind =
        mb_run_time_find(&fleet->run_times, get_queue_key(job));
    if (now_us < job->estimated_us + INTERVAL_US) {
        return;
    }
    job->estimated_us = now_us;
    uint32_t occurrence = get_estimated_occurrence(job);
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        const mb_dag_step_t *step = &job->steps[i];
        step_estimate_t estimate =
            estimate_step(&fleet->run_times, kind, job, occurrence, i, now_us);
        paths[i] = longest_path_before(step, paths, i) + estimate.total_ms;
        left_paths[i] =
            longest_path_before(step, left_paths, i) + estimate.left_ms;
        longest_ms = MAX(longest_ms, paths[i]);
        longest_left_ms = MAX(longest_left_ms, left_paths[i]);
        work += mb_dag_unfinished(job, occurrence, i) * estimate.run_ms *
                step->size.cpu_milli;
    }
    double objective_ms = longest_ms * job->spec.policy.stretch_milli / MILLI +
                          job->spec.policy.latency_objective_ms;
    job->objective_us = (uint64_t)(objective_ms * MB_US_PER_MS);
    job->remaining_us = (uint64_t)(longest_left_ms * MB_US_PER_MS);
    job->remaining_work = (uint64_t)work;
}
