/* Second runs of stragglers: a task of a speculative step that is expected to
   end later than a run that begins now gets one on another worker, in room
   that no waiting task needs. The first success of the two counts. */
#include "mb_fleet_internal.h"

/* Interval between two looks for stragglers, in microseconds: that of the
   estimates. */
#define INTERVAL_US UINT64_C(200000)
/* Tasks of a step that must have ended at this owner before others count as
   stragglers, beside half of the step: with fewer, the estimate may be what is
   wrong. */
#define SAMPLES_MIN 3u
/* A copy is started if the run is expected to take longer from now than
   MARGIN_MILLI thousandths of a whole run, plus the time until the start of
   the copy is known to have worked: an order and a report. */
#define MARGIN_MILLI 1500u
#define START_MS 300u
/* Share of the processors of a service that copies may declare, in
   thousandths. A small one is enough for stragglers, which are few, and jobs
   that arrive later may need the room. */
#define SHARE_MAX_MILLI 50u
/* Maximum number of copies that one scheduling pass starts: for each, the cost
   on all workers is calculated. */
#define STARTS_MAX 8u
/* Steps with waiting tasks that are remembered. With more, there is no room
   for copies. */
#define WAITING_MAX 64u
#define WHOLE_PERCENT 100u
#define MILLI 1000u

/* A run that is expected to be overtaken by a copy. */
typedef struct straggler {
    mb_fleet_run_t run; /* of its task; without number and worker */
    uint64_t number;
    uint32_t worker;
    uint64_t elapsed_ms;
    uint64_t remaining_ms;
    uint64_t whole_ms; /* expected run time of a copy */
} straggler_t;

/* Initializes an empty list of waiting tasks. */
void
mb_fleet_copies_init(mb_fleet_copies_t *copies)
{
    copies->waiting = g_array_new(FALSE, FALSE, sizeof(mb_fleet_run_t));
}

/* Releases the list. */
void
mb_fleet_copies_finish(mb_fleet_copies_t *copies)
{
    g_array_unref(copies->waiting);
}

/* Notes that the task of a run has found no worker in this pass. */
void
mb_fleet_copies_add_waiting(mb_fleet_copies_t *copies,
                            const mb_fleet_run_t *run)
{
    if (copies->waiting->len <= WAITING_MAX) {
        g_array_append_val(copies->waiting, *run);
    }
}

/* Tells whether a task may get a second run: no absent worker may run it, it
   has not failed a moment ago, and it has an attempt left if the copy
   fails. */
static bool
may_be_copied(const mb_fleet_cost_inputs_t *inputs, const mb_fleet_run_t *run)
{
    const mb_dag_task_t *task = mb_fleet_run_task(run);
    return !task->done && task->absent_workers == 0 &&
           task->not_before_us <= inputs->now_us &&
           task->failures + 1u < run->job->spec.policy.max_attempts;
}

/* Returns the expected time until a run ends: by the run times of its kind,
   and no more than by the pace of its progress, where that is known. */
static double
get_remaining_ms(const mb_fleet_step_model_t *model, const mb_fleet_run_t *run,
                 double elapsed_ms)
{
    double remaining_ms = mb_run_time_remaining_ms(
        model->times, model->kind, model->typical_ms, elapsed_ms);
    if (run->adopted || run->progress == 0 || run->progress > WHOLE_PERCENT) {
        return remaining_ms;
    }
    return MIN(remaining_ms,
               elapsed_ms * (WHOLE_PERCENT - run->progress) / run->progress);
}

/* Tells whether a run of a task is a straggler, and describes it. `straggler`
   holds the task. */
static bool
is_straggler(const mb_fleet_cost_inputs_t *inputs,
             const mb_fleet_step_model_t *model, const mb_dag_run_t *copy,
             straggler_t *straggler)
{
    double elapsed_ms =
        (double)(inputs->now_us - MIN(inputs->now_us, copy->started_us)) /
        MB_US_PER_MS;
    if (copy->throttled || elapsed_ms < model->typical_ms) {
        return false;
    }
    mb_dag_task_id_t id = mb_fleet_run_task_id(&straggler->run);
    const mb_fleet_run_t *run = mb_fleet_find_run(
        mb_fleet_get_worker(inputs->fleet, copy->worker), &id, copy->number);
    if (run == NULL || run->stopping) {
        return false;
    }
    double remaining_ms = get_remaining_ms(model, run, elapsed_ms);
    double whole_ms = mb_run_time_mean_ms(model->kind, model->typical_ms);
    straggler->number = copy->number;
    straggler->worker = copy->worker;
    straggler->elapsed_ms = (uint64_t)elapsed_ms;
    straggler->remaining_ms = (uint64_t)remaining_ms;
    straggler->whole_ms = (uint64_t)whole_ms;
    return remaining_ms > whole_ms * MARGIN_MILLI / MILLI + START_MS;
}

/* Looks at the tasks of a speculative step: counts the copies that it has, and
   adds its stragglers once enough of its tasks have ended. */
static void
look_at_step(const mb_fleet_cost_inputs_t *inputs, mb_fleet_run_t *run,
             GArray *stragglers)
{
    mb_dag_job_t *job = run->job;
    const mb_dag_step_t *step = &job->steps[run->step];
    uint32_t unfinished = mb_dag_unfinished(job, run->occurrence, run->step);
    bool is_known = job->step_times[run->step].samples >= SAMPLES_MIN &&
                    2 * unfinished <= step->count;
    mb_fleet_step_model_t model = {0};
    if (is_known) {
        model = mb_fleet_step_model(inputs->fleet, job, run->occurrence,
                                    run->step, inputs->now_us);
    }
    for (run->index = 0; run->index < step->count; run->index++) {
        const mb_dag_task_t *task = mb_fleet_run_task(run);
        uint32_t runs = mb_dag_count_runs(task);
        straggler_t straggler = {.run = *run};
        if (runs > 1) {
            mb_fleet_pools_add_copy(&inputs->fleet->pools,
                                    job->spec.policy.service,
                                    step->size.cpu_milli);
        }
        if (runs != 1 || !is_known || stragglers->len >= STARTS_MAX ||
            !may_be_copied(inputs, run)) {
            continue;
        }
        const mb_dag_run_t *only =
            &task->runs[task->runs[0].number != 0 ? 0 : 1];
        if (is_straggler(inputs, &model, only, &straggler)) {
            g_array_append_val(stragglers, straggler);
        }
    }
}

/* Looks at the steps of a job that may have copies. */
static void
look_at_job(const mb_fleet_cost_inputs_t *inputs, mb_dag_job_t *job,
            GArray *stragglers)
{
    for (uint32_t s = 0; s < job->spec.step_count; s++) {
        for (guint i = 0;
             mb_fleet_allows_copies(&job->steps[s]) && i < job->open->len;
             i++) {
            const mb_dag_occurrence_t *occurrence =
                g_ptr_array_index(job->open, i);
            mb_fleet_run_t run = {
                .job = job, .occurrence = occurrence->number, .step = s};
            if (occurrence->unfinished_tasks[s] > 0) {
                look_at_step(inputs, &run, stragglers);
            }
        }
    }
}

/* Tells whether a task comes before a copy: it is of the same or a higher
   priority. */
static bool
is_before_copy(const mb_fleet_run_t *waiting, const mb_fleet_run_t *copy)
{
#ifdef MB_MUTANT_FLEET_COPIES_BEFORE_WAITING_TASKS
    return false;
#endif
    return waiting->job->spec.policy.priority <=
           copy->job->spec.policy.priority;
}

/* Tells whether the waiting tasks need the room on all workers of the service
   of a copy, so that no single worker has to be checked. */
static bool
is_all_room_needed(const mb_fleet_copies_t *copies, const mb_fleet_run_t *copy)
{
    for (guint i = 0; i < copies->waiting->len; i++) {
        const mb_fleet_run_t *waiting =
            &g_array_index(copies->waiting, mb_fleet_run_t, i);
        const mb_dag_step_t *step = &waiting->job->steps[waiting->step];
        if (is_before_copy(waiting, copy) && step->label.len == 0 &&
            step->per_worker_max == 0 &&
            mb_str_equal(waiting->job->spec.policy.service,
                         copy->job->spec.policy.service)) {
            return true;
        }
    }
    return copies->waiting->len > WAITING_MAX;
}

/* Tells whether a waiting task that comes before a copy needs the room on a
   worker: it asks for this kind of worker, whether or not it fits there
   now. */
static bool
is_room_needed(const mb_fleet_copies_t *copies,
               const mb_fleet_cost_inputs_t *inputs,
               const mb_fleet_worker_t *worker, const mb_fleet_run_t *copy)
{
    for (guint i = 0; i < copies->waiting->len; i++) {
        const mb_fleet_run_t *waiting =
            &g_array_index(copies->waiting, mb_fleet_run_t, i);
        if (is_before_copy(waiting, copy) &&
            mb_fleet_placement_obstacle(inputs, worker, waiting) !=
                MB_FLEET_OBSTACLE_EXCLUDED) {
            return true;
        }
    }
    return false;
}

/* Returns the worker with the lowest cost for a copy, other than that of the
   run, or NULL if there is none with room to spare. */
static mb_fleet_worker_t *
choose_worker(const mb_fleet_copies_t *copies,
              const mb_fleet_cost_inputs_t *inputs,
              const straggler_t *straggler)
{
    const mb_fleet_run_t *run = &straggler->run;
    mb_fleet_worker_t *best = NULL;
    uint64_t best_cost = mb_fleet_placement_cost_limit(inputs, run);
    for (guint i = 0; i < inputs->fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(inputs->fleet, i);
        uint64_t cost = worker->number == straggler->worker
                            ? UINT64_MAX
                            : mb_fleet_placement_cost(inputs, worker, run);
        if (cost < best_cost && !is_room_needed(copies, inputs, worker, run)) {
            best = worker;
            best_cost = cost;
        }
    }
    return best;
}

/* Starts a copy of a straggler if the share of its service allows it and there
   is a worker. */
static void
start_copy(const mb_fleet_copies_t *copies,
           const mb_fleet_cost_inputs_t *inputs, straggler_t *straggler,
           const mb_fleet_copy_starter_t *starter)
{
    mb_fleet_t *fleet = inputs->fleet;
    mb_fleet_run_t *run = &straggler->run;
    mb_str_t service = run->job->spec.policy.service;
    uint32_t cpu_milli = run->job->steps[run->step].size.cpu_milli;
    uint64_t share_milli =
        mb_fleet_pools_copies_milli(&fleet->pools, service, cpu_milli);
#ifdef MB_MUTANT_FLEET_COPIES_WITHOUT_SHARE
    share_milli = 0;
#endif
    if (share_milli > SHARE_MAX_MILLI || is_all_room_needed(copies, run)) {
        return;
    }
    mb_fleet_worker_t *worker = choose_worker(copies, inputs, straggler);
    if (worker == NULL) {
        return;
    }
    mb_fleet_pools_add_copy(&fleet->pools, service, cpu_milli);
    run->is_copy = true;
    fleet->counts.copies_started++;
    starter->start(starter->context, worker, run);
    mb_log_info(
        &fleet->log,
        "copy job=%.*s task=%u.%u.%u run=%" G_GUINT64_FORMAT
        " worker=%.*s of_run=%" G_GUINT64_FORMAT
        " at=%.*s elapsed_ms=%" G_GUINT64_FORMAT
        " remaining_ms=%" G_GUINT64_FORMAT " whole_ms=%" G_GUINT64_FORMAT,
        MB_STR_ARG(mb_dag_id_view(&run->job->spec.id)), run->occurrence,
        run->step, run->index, run->number,
        MB_STR_ARG(mb_buf_view(&worker->name)), straggler->number,
        MB_STR_ARG(
            mb_buf_view(&mb_fleet_get_worker(fleet, straggler->worker)->name)),
        straggler->elapsed_ms, straggler->remaining_ms, straggler->whole_ms);
}

/* Starts copies of stragglers, at the end of a pass. Does nothing if the last
   look was less than INTERVAL_US ago. */
void
mb_fleet_start_copies(const mb_fleet_copies_t *copies,
                      const mb_fleet_cost_inputs_t *inputs,
                      const mb_fleet_copy_starter_t *starter)
{
    mb_fleet_t *fleet = inputs->fleet;
    g_autoptr(GArray) stragglers =
        g_array_new(FALSE, FALSE, sizeof(straggler_t));
    if (inputs->now_us < fleet->copies_checked_us + INTERVAL_US) {
        return;
    }
    fleet->copies_checked_us = inputs->now_us;
    for (guint i = 0; i < fleet->open_jobs->len; i++) {
        mb_dag_job_t *job = g_ptr_array_index(fleet->open_jobs, i);
        bool blocked = job->inherited && !fleet->former_runs_resolved;
        if (job->outcome == MB_DAG_OPEN && job->running > 0 && !blocked) {
            look_at_job(inputs, job, stragglers);
        }
    }
    for (guint i = 0; i < stragglers->len; i++) {
        start_copy(copies, inputs, &g_array_index(stragglers, straggler_t, i),
                   starter);
    }
}
