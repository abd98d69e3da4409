/* Scheduling passes: chooses which waiting tasks start and on which workers.
   Jobs are considered in the order of mb_fleet_order.c, and each task goes to
   the worker where its cost by mb_fleet_cost.c is lowest. Meant for many short
   urgent tasks beside long best-effort tasks that use what is left. In this
   file, a service is the pool of workers that the policy of a job names. */
#include <string.h>

#include "mb_fleet_internal.h"

/* Number of requests without a worker that a pass remembers. */
#define HOPELESS_MAX 64u
/* Time for which a run must have been severely throttled before it is moved to
   another worker, in microseconds: a stop and a new start take most of a
   second. */
#define MOVE_DELAY_US UINT64_C(700000)
/* Time for which the place of a moved task is kept, in microseconds: several
   intervals of orders and reports, in which its run is stopped and its end is
   reported. */
#define KEEP_PLACE_US UINT64_C(3000000)

/* What a task asks for, as far as it decides which workers can take it. */
typedef struct request {
    mb_str_t service;
    mb_str_t label;
    mb_size_t size;
    bool best_effort;
    /* Only for best-effort tasks, whose place depends on them: */
    uint64_t image_hash;
    uint64_t cost_limit;
} request_t;

/* State of one pass over the waiting jobs. */
typedef struct pass {
    mb_fleet_cost_inputs_t inputs;
    /* Requests for which no worker was found in this pass. Room only shrinks
       during a pass, so they, and those that ask for more, find none. */
    uint32_t hopeless_count;
    request_t hopeless[HOPELESS_MAX];
    mb_fleet_candidates_t candidates;
    mb_fleet_copies_t copies;
    /* mb_dag_job_t with a waiting step that may be faulty, in the order of the
       pass. Such a step probes a suspended worker only if nothing else
       does. */
    GPtrArray *doubtful_jobs;
} pass_t;

/* Returns what the tasks of a run's step ask for. */
static request_t
get_request(const pass_t *pass, const mb_fleet_run_t *run)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    request_t request = {.service = run->job->spec.policy.service,
                         .label = step->label,
                         .size = step->size,
                         .best_effort = step->best_effort};
    if (step->best_effort) {
        request.image_hash = mb_str_hash(step->image);
        request.cost_limit = mb_fleet_placement_cost_limit(&pass->inputs, run);
    }
    return request;
}

/* Tells whether every worker that can take `request` can take `other` too. */
static bool
asks_for_more(const request_t *request, const request_t *other)
{
    return request->best_effort == other->best_effort &&
           request->size.cpu_milli >= other->size.cpu_milli &&
           request->size.memory_mb >= other->size.memory_mb &&
           request->size.accelerators >= other->size.accelerators &&
           request->image_hash == other->image_hash &&
           request->cost_limit <= other->cost_limit &&
           mb_str_equal(request->service, other->service) &&
           (other->label.len == 0 ||
            mb_str_equal(request->label, other->label));
}

/* Tells whether it is known that no worker takes a task of a run's step. */
static bool
is_hopeless(const pass_t *pass, const mb_fleet_run_t *run)
{
    request_t request = get_request(pass, run);
    for (uint32_t i = 0; i < pass->hopeless_count; i++) {
        if (asks_for_more(&request, &pass->hopeless[i])) {
            return true;
        }
    }
    return false;
}

/* Remembers that the task of a run waits, as no worker takes it. A step with a
   maximum number of tasks per worker or that may be faulty, or a task that has
   failed on a worker before, may have found none for that reason, which says
   nothing about others. */
static void
add_hopeless(pass_t *pass, const mb_fleet_run_t *run)
{
    mb_fleet_copies_add_waiting(&pass->copies, run);
    if (run->job->steps[run->step].per_worker_max == 0 &&
        mb_fleet_run_task(run)->last_failed_worker == 0 &&
        !mb_fleet_step_may_be_faulty(pass->inputs.fleet, run) &&
        pass->hopeless_count < HOPELESS_MAX) {
        pass->hopeless[pass->hopeless_count++] = get_request(pass, run);
    }
}

/* Returns the worker where a run has the lowest cost, or NULL if the cost is
   below `cost_limit` nowhere. Unless it is empty, `rack` restricts the
   choice. */
static mb_fleet_worker_t *
choose_worker(const pass_t *pass, const mb_fleet_run_t *run, mb_str_t rack,
              uint64_t cost_limit)
{
    mb_fleet_worker_t *best = NULL;
    uint64_t best_cost = cost_limit;
    for (guint i = 0; i < pass->inputs.fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(pass->inputs.fleet, i);
        if (rack.len > 0 && !mb_str_equal(mb_buf_view(&worker->rack), rack)) {
            continue;
        }
        uint64_t cost = mb_fleet_placement_cost(&pass->inputs, worker, run);
        if (cost < best_cost) {
            best = worker;
            best_cost = cost;
        }
    }
    return best;
}

/* Returns the worker with the lowest cost below the limit that a throttled run
   can be moved to, or NULL. Each worker keeps one place at a time. */
static mb_fleet_worker_t *
choose_move_target(const pass_t *pass, const mb_fleet_worker_t *worker,
                   const mb_fleet_run_t *run)
{
    mb_fleet_worker_t *best = NULL;
    uint64_t best_cost = mb_fleet_placement_cost_limit(&pass->inputs, run);
    for (guint i = 0; i < pass->inputs.fleet->workers->len; i++) {
        mb_fleet_worker_t *other = mb_fleet_get_worker(pass->inputs.fleet, i);
        if (other == worker || pass->inputs.now_us < other->kept.until_us) {
            continue;
        }
        uint64_t cost = mb_fleet_placement_cost(&pass->inputs, other, run);
        if (cost < best_cost) {
            best = other;
            best_cost = cost;
        }
    }
    return best;
}

/* Stops a throttled run if another worker takes it within the cost limit. Its
   task is then started there from its checkpoint, in a place that is kept. */
static void
move_run(const pass_t *pass, mb_fleet_worker_t *worker, mb_fleet_run_t *run)
{
    mb_fleet_worker_t *target = choose_move_target(pass, worker, run);
    if (target == NULL) {
        return;
    }
    mb_log_info(&pass->inputs.fleet->log,
                "moving a slowed run job=%.*s task=%u.%u.%u from=%.*s "
                "to=%.*s",
                MB_STR_ARG(mb_dag_id_view(&run->job->spec.id)),
                run->occurrence, run->step, run->index,
                MB_STR_ARG(mb_buf_view(&worker->name)),
                MB_STR_ARG(mb_buf_view(&target->name)));
#ifndef MB_MUTANT_FLEET_MOVE_KEEPS_NO_PLACE
    target->kept = (mb_fleet_kept_place_t){
        .until_us = pass->inputs.now_us + KEEP_PLACE_US,
        .task = mb_fleet_run_task_id(run),
        .image_hash = run->image_hash,
        .size = run->job->steps[run->step].size};
#endif
    pass->inputs.fleet->counts.moves++;
    mb_fleet_stop_run(pass->inputs.fleet, worker, run);
}

/* Tells whether a run can be moved: those without checkpoints would start from
   the beginning, members of a gang only with all others, and a task with a
   second run goes on elsewhere already. */
static bool
is_movable(const mb_fleet_run_t *run)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    return step->checkpoints && !step->gang &&
           mb_dag_count_runs(mb_fleet_run_task(run)) == 1;
}

/* Moves runs that agents have severely throttled for a while to protect
   service tasks. */
void
mb_fleet_move_throttled_runs(mb_fleet_t *fleet)
{
    pass_t pass = {.inputs = mb_fleet_cost_inputs(fleet)};
    for (guint w = 0; w < fleet->workers->len; w++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, w);
        for (guint i = 0; i < worker->runs->len; i++) {
            mb_fleet_run_t *run =
                &g_array_index(worker->runs, mb_fleet_run_t, i);
            if (run->throttled_since_us != 0 && !run->stopping &&
                is_movable(run) &&
                pass.inputs.now_us - run->throttled_since_us >=
                    MOVE_DELAY_US) {
                move_run(&pass, worker, run);
            }
        }
    }
}

/* Returns the number for the next run of a task. Each owner numbers runs in a
   range of its own, given by its fencing token, so that the runs of a later
   owner have higher numbers than those of earlier ones. */
static uint64_t
next_run_number(const mb_fleet_t *fleet, const mb_dag_task_t *task)
{
    const uint64_t runs_per_owner = 1000000;
    uint64_t base = (fleet->token - 1) * runs_per_owner;
    return MAX(task->last_run, base) + 1;
}

/* Returns the checkpoint of a task, which is empty if it has none. */
static mb_str_t
get_checkpoint(const mb_fleet_run_t *run)
{
    const mb_dag_task_t *task = mb_fleet_run_task(run);
    return (mb_str_t){task->checkpoint, task->checkpoint_len};
}

/* Adds a run to a worker and its start to the worker's pending order. */
static void
start_run(const pass_t *pass, mb_fleet_worker_t *worker, mb_fleet_run_t *run,
          mb_str_t checkpoint)
{
    mb_dag_job_t *job = run->job;
    const mb_dag_step_t *step = &job->steps[run->step];
    run->started_us = pass->inputs.now_us;
    run->resumed = checkpoint.len > 0;
    mb_order_start_t start = {.task = mb_fleet_run_task_id(run),
                              .run = run->number,
                              .payload = job->spec.payload,
                              .checkpoint = checkpoint,
                              .approval = MB_STR_EMPTY,
                              .image = step->image,
                              .latency_target_ms = step->latency_target_ms,
                              .best_effort = step->best_effort};
    run->start_sequence =
        mb_fleet_order_start(pass->inputs.fleet, worker, &start);
    (void)mb_fleet_add_run(pass->inputs.fleet, worker, run);
    mb_health_started(&worker->health, pass->inputs.now_us);
    pass->inputs.fleet->counts.starts++;
    mb_log_info(&pass->inputs.fleet->log,
                "start job=%.*s task=%u.%u.%u run=%" G_GUINT64_FORMAT
                " worker=%.*s age_ms=%" G_GUINT64_FORMAT,
                MB_STR_ARG(mb_dag_id_view(&job->spec.id)), run->occurrence,
                run->step, run->index, run->number,
                MB_STR_ARG(mb_buf_view(&worker->name)),
                (pass->inputs.now_us - job->arrived_us) / MB_US_PER_MS);
#ifdef MB_MUTANT_FLEET_SENT_START_IS_BEGUN
    mb_fleet_mark_begun(pass->inputs.fleet, worker, job);
#endif
}

/* Tells whether a task may be started now: not done, without a run, past its
   retry delay, and not possibly running on an absent worker. */
static bool
is_startable(const pass_t *pass, const mb_dag_task_t *task)
{
    if (task->done || mb_fleet_task_is_running(task)) {
        return false;
    }
#ifndef MB_MUTANT_FLEET_ABSENT_TASKS_START
    if (task->absent_workers > 0) {
        pass->inputs.fleet->held_tasks++;
        return false;
    }
#endif
    return task->not_before_us <= pass->inputs.now_us;
}

/* Starts the task of `run` on the best worker and numbers the run. Returns
   false if no worker takes it. The candidates are those of the step; a task
   that has failed has other costs than the rest of its step. */
static bool
start_task(pass_t *pass, mb_fleet_run_t *run)
{
    mb_fleet_candidates_t *candidates = &pass->candidates;
    bool has_failed = mb_fleet_run_task(run)->last_failed_worker != 0;
    if (mb_fleet_has_max_runs(pass->inputs.fleet)) {
        return false;
    }
    mb_fleet_worker_t *worker =
        has_failed
            ? choose_worker(pass, run, MB_STR_EMPTY,
                            mb_fleet_placement_cost_limit(&pass->inputs, run))
            : mb_fleet_candidates_best(candidates, &pass->inputs, run);
    if (worker == NULL) {
        add_hopeless(pass, run);
        return false;
    }
    run->number = next_run_number(pass->inputs.fleet, mb_fleet_run_task(run));
    start_run(pass, worker, run, get_checkpoint(run));
    mb_fleet_candidates_changed(candidates, &pass->inputs, worker, run);
    return true;
}

/* Finds the task for which a worker keeps a place. Returns false if its job or
   the task is finished, so that the place is not needed. */
static bool
find_moved_task(const pass_t *pass, const mb_fleet_worker_t *worker,
                mb_fleet_run_t *run)
{
    const mb_dag_task_id_t *id = &worker->kept.task;
    mb_dag_job_t *job = mb_dag_find(pass->inputs.fleet->table, id->job);
    if (job == NULL || job->outcome != MB_DAG_OPEN) {
        return false;
    }
    *run = (mb_fleet_run_t){.job = job,
                            .occurrence = id->occurrence,
                            .step = id->step,
                            .index = id->index};
    const mb_dag_task_t *task = mb_fleet_run_task(run);
    return task != NULL && !task->done;
}

/* Starts the task for which a worker keeps a place, once its former run has
   ended, and gives the place up afterwards, or when its time is over. */
static void
start_moved_task(pass_t *pass, mb_fleet_worker_t *worker)
{
    mb_fleet_run_t run;
    if (pass->inputs.now_us >= worker->kept.until_us ||
        !find_moved_task(pass, worker, &run)) {
        worker->kept.until_us = 0;
        return;
    }
    if ((run.job->inherited && !pass->inputs.fleet->former_runs_resolved) ||
        mb_fleet_task_is_running(mb_fleet_run_task(&run)) ||
        !is_startable(pass, mb_fleet_run_task(&run))) {
        return;
    }
    worker->kept.until_us = 0;
    if (!mb_fleet_kept_place_is_usable(&pass->inputs, worker, &run)) {
        mb_log_info(&pass->inputs.fleet->log,
                    "place of a moved task is gone job=%.*s task=%u.%u.%u "
                    "worker=%.*s",
                    MB_STR_ARG(mb_dag_id_view(&run.job->spec.id)),
                    run.occurrence, run.step, run.index,
                    MB_STR_ARG(mb_buf_view(&worker->name)));
        return;
    }
    run.number = next_run_number(pass->inputs.fleet, mb_fleet_run_task(&run));
    start_run(pass, worker, &run, get_checkpoint(&run));
}

/* Starts moved tasks in the places that are kept for them. */
static void
start_moved_tasks(pass_t *pass)
{
    for (guint i = 0; i < pass->inputs.fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(pass->inputs.fleet, i);
        if (worker->kept.until_us != 0) {
            start_moved_task(pass, worker);
        }
    }
}

/* Starts the startable tasks of a step, up to the first one that finds no
   worker. Returns false if a task still waits: for a worker, or for the end of
   its retry delay. */
static bool
start_tasks(pass_t *pass, mb_fleet_run_t *run)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    const mb_dag_occurrence_t *occurrence =
        mb_dag_find_open(run->job, run->occurrence);
    bool none_waits = true;
    mb_fleet_candidates_clear(&pass->candidates);
    for (run->index = occurrence->first_unfinished[run->step];
         run->index < step->count; run->index++) {
        mb_dag_task_t *task = mb_fleet_run_task(run);
        if (!is_startable(pass, task)) {
            none_waits =
                none_waits && (task->done || mb_fleet_task_is_running(task));
            continue;
        }
        if (!start_task(pass, run)) {
            return false;
        }
    }
    return none_waits;
}

/* Tells whether all members of a gang may be started now. */
static bool
is_gang_startable(const pass_t *pass, const mb_fleet_run_t *run)
{
    mb_fleet_run_t member = *run;
    for (member.index = 0; member.index < run->job->steps[run->step].count;
         member.index++) {
        if (!is_startable(pass, mb_fleet_run_task(&member))) {
            return false;
        }
    }
    return true;
}

/* Returns the number for the next run of a gang, which all members share. */
static uint64_t
next_gang_run_number(const pass_t *pass, const mb_fleet_run_t *run)
{
    uint64_t number = 0;
    mb_fleet_run_t member = *run;
    for (member.index = 0; member.index < run->job->steps[run->step].count;
         member.index++) {
        number = MAX(number, next_run_number(pass->inputs.fleet,
                                             mb_fleet_run_task(&member)));
    }
    return number;
}

/* Chooses a worker for each member of a gang, on `rack` unless it is empty,
   and appends it to `workers`. Members are added to their workers meanwhile so
   that the costs of the next ones include them, and removed again at the end.
   The job stays idle: nothing of it has run, and the limit of the cost is that
   of a job without a run for all members. Returns false if a member finds no
   worker. */
static bool
choose_gang_workers(const pass_t *pass, const mb_fleet_run_t *run,
                    mb_str_t rack, GPtrArray *workers)
{
    uint32_t count = run->job->steps[run->step].count;
    uint64_t idle_since_us = run->job->idle_since_us;
    uint64_t cost_limit = mb_fleet_placement_cost_limit(&pass->inputs, run);
    mb_fleet_run_t member = *run;
    bool all_placed = true;
    member.number = next_gang_run_number(pass, run);
    for (member.index = 0; all_placed && member.index < count;
         member.index++) {
#ifdef MB_MUTANT_FLEET_PLACED_MEMBERS_RUN
        cost_limit = mb_fleet_placement_cost_limit(&pass->inputs, &member);
#endif
        mb_fleet_worker_t *worker =
            choose_worker(pass, &member, rack, cost_limit);
        all_placed = worker != NULL;
        if (all_placed) {
            g_ptr_array_add(workers, worker);
            (void)mb_fleet_add_run(pass->inputs.fleet, worker, &member);
        }
    }
    for (guint i = 0; i < workers->len; i++) {
        mb_dag_task_id_t id = mb_fleet_run_task_id(run);
        mb_fleet_worker_t *worker = g_ptr_array_index(workers, i);
        id.index = i;
        mb_fleet_remove_run(pass->inputs.fleet, worker,
                            mb_fleet_find_run(worker, &id, member.number));
    }
    run->job->idle_since_us = idle_since_us;
    return all_placed;
}

/* Chooses the workers of a gang as choose_gang_workers does. If its step is
   rack-local, tries each rack first and the whole fleet last. */
static bool
find_gang_workers(const pass_t *pass, const mb_fleet_run_t *run,
                  GPtrArray *workers)
{
    bool rack_local = run->job->steps[run->step].rack_local;
    g_autoptr(GHashTable) tried_racks =
        g_hash_table_new(mb_buf_key_hash, mb_buf_key_equal);
    for (guint i = 0; rack_local && i < pass->inputs.fleet->workers->len;
         i++) {
        mb_buf_t *rack = &mb_fleet_get_worker(pass->inputs.fleet, i)->rack;
        if (rack->len == 0 || !g_hash_table_add(tried_racks, rack)) {
            continue;
        }
        (void)g_ptr_array_set_size(workers, 0);
        if (choose_gang_workers(pass, run, mb_buf_view(rack), workers)) {
            return true;
        }
    }
    (void)g_ptr_array_set_size(workers, 0);
    return choose_gang_workers(pass, run, MB_STR_EMPTY, workers);
}

/* Returns the checkpoint from which a gang is started. That of any member is
   valid for all, and all have to carry the same one. Those of a worker that
   was lost may be older than the others, so it is one of the latest run. */
static mb_str_t
get_gang_checkpoint(const mb_fleet_run_t *run)
{
    mb_fleet_run_t member = *run;
    mb_str_t latest = MB_STR_EMPTY;
    uint64_t latest_run = 0;
    for (member.index = 0; member.index < run->job->steps[run->step].count;
         member.index++) {
        mb_str_t checkpoint = get_checkpoint(&member);
        uint64_t saved_by = mb_fleet_run_task(&member)->checkpoint_run;
        if (checkpoint.len > 0 && (latest.len == 0 || saved_by > latest_run)) {
            latest = checkpoint;
            latest_run = saved_by;
        }
    }
    return latest;
}

/* Starts all members of a gang or none. Returns false if the gang has to
   wait. */
static bool
start_gang(pass_t *pass, const mb_fleet_run_t *run)
{
    g_autoptr(GPtrArray) workers = g_ptr_array_new();
    if (!is_gang_startable(pass, run)) {
        return false;
    }
    if (!find_gang_workers(pass, run, workers)) {
        if (workers->len == 0) {
            add_hopeless(pass, run);
        }
        else {
            mb_fleet_copies_add_waiting(&pass->copies, run);
        }
        return false;
    }
    mb_fleet_run_t member = *run;
    mb_str_t checkpoint = get_gang_checkpoint(run);
    member.number = next_gang_run_number(pass, run);
    for (member.index = 0; member.index < workers->len; member.index++) {
        mb_fleet_run_t copy = member;
#ifdef MB_MUTANT_FLEET_GANG_CHECKPOINTS_DIFFER
        checkpoint = get_checkpoint(&copy);
#endif
        start_run(pass, g_ptr_array_index(workers, member.index), &copy,
                  checkpoint);
    }
    return true;
}

/* Starts what can be started of a step. Returns false if some task still
   waits. */
static bool
start_step(pass_t *pass, mb_fleet_run_t *run)
{
    bool none_waits = run->job->steps[run->step].gang ? start_gang(pass, run)
                                                      : start_tasks(pass, run);
    if (!none_waits && pass->inputs.probes_reserved &&
        mb_fleet_step_may_be_faulty(pass->inputs.fleet, run)) {
        g_ptr_array_add(pass->doubtful_jobs, run->job);
    }
    return none_waits;
}

/* Counts the tasks of a step that found no worker, if evacuated workers of its
   service might have taken them. The runs of the job are taken for runs of
   this step. */
static void
note_waiting_step(const pass_t *pass, const mb_fleet_run_t *run)
{
    const mb_dag_job_t *job = run->job;
    uint32_t unfinished = mb_dag_unfinished(job, run->occurrence, run->step);
    if (mb_fleet_pools_has_evacuated(pass->inputs.pools,
                                     job->spec.policy.service)) {
        pass->inputs.fleet->evacuated_tasks +=
            unfinished - MIN(unfinished, job->running);
    }
}

/* Starts what can be started of a job. `needs_scheduling` stays set if the
   next pass has to consider the job again although none of its runs ends in
   between: a task waits for room or for its retry delay. */
static void
start_job(pass_t *pass, mb_dag_job_t *job)
{
    bool none_waits = true;
    mb_dag_open_due(job, pass->inputs.now_us);
    for (guint i = 0; i < job->open->len; i++) {
        mb_dag_occurrence_t *occurrence = g_ptr_array_index(job->open, i);
        uint32_t k = occurrence->number;
        if (mb_dag_due_us(job, k) > pass->inputs.now_us) {
            none_waits = false;
            continue;
        }
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            if (occurrence->unfinished_tasks[s] == 0 ||
                !mb_dag_step_ready(job, k, s)) {
                continue;
            }
            mb_fleet_run_t run = {.job = job, .occurrence = k, .step = s};
            bool hopeless = is_hopeless(pass, &run);
            if (hopeless) {
                mb_fleet_copies_add_waiting(&pass->copies, &run);
            }
            if (hopeless || !start_step(pass, &run)) {
                note_waiting_step(pass, &run);
                none_waits = false;
            }
        }
    }
    job->needs_scheduling = !none_waits;
    job->next_due_us = job->next_due < job->occurrence_count
                           ? mb_dag_due_us(job, job->next_due)
                           : UINT64_MAX;
}

/* Counts the tasks of a job's due occurrences that are neither done nor
   running. */
static uint32_t
count_waiting_tasks(mb_dag_job_t *job, uint64_t now_us)
{
    uint32_t count = 0;
    mb_dag_open_due(job, now_us);
    for (guint i = 0; i < job->open->len; i++) {
        const mb_dag_occurrence_t *occurrence =
            g_ptr_array_index(job->open, i);
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            count += occurrence->unfinished_tasks[s];
        }
    }
    return count - MIN(count, job->running);
}

/* Tells whether a suspended worker waits for a probe that it may get. */
static bool
is_any_probe_due(const pass_t *pass)
{
    for (guint i = 0; i < pass->inputs.fleet->workers->len; i++) {
        const mb_fleet_worker_t *worker =
            mb_fleet_get_worker(pass->inputs.fleet, i);
        if (!worker->evacuated &&
            mb_health_is_probe_due(&worker->health, pass->inputs.now_us)) {
            return true;
        }
    }
    return false;
}

/* Lets steps that may be faulty probe the suspended workers that no other work
   has probed in this pass. */
static void
start_doubtful_jobs(pass_t *pass)
{
    /* The jobs have been considered before, and their held tasks counted. */
    uint32_t held_tasks = pass->inputs.fleet->held_tasks;
    uint32_t evacuated_tasks = pass->inputs.fleet->evacuated_tasks;
    pass->inputs.probes_reserved = false;
    if (pass->doubtful_jobs->len == 0 || !is_any_probe_due(pass)) {
        return;
    }
    for (guint i = 0; i < pass->doubtful_jobs->len; i++) {
        mb_dag_job_t *job = g_ptr_array_index(pass->doubtful_jobs, i);
        /* A job is listed once for each of its steps. */
        if (i == 0 || job != g_ptr_array_index(pass->doubtful_jobs, i - 1)) {
            start_job(pass, job);
        }
    }
    pass->inputs.fleet->held_tasks = held_tasks;
    pass->inputs.fleet->evacuated_tasks = evacuated_tasks;
}

/* Callback of the copies: numbers and starts the second run of a task. */
static void
start_second_run(void *context, mb_fleet_worker_t *worker, mb_fleet_run_t *run)
{
    const pass_t *pass = context;
    run->number = next_run_number(pass->inputs.fleet, mb_fleet_run_task(run));
    start_run(pass, worker, run, get_checkpoint(run));
}

/* Runs one scheduling pass over the open jobs. Jobs that the former owner knew
   are skipped while a worker may run any of their tasks: one that has neither
   reported nor a record of what may run there. */
void
mb_fleet_schedule(mb_fleet_t *fleet)
{
    g_autoptr(GPtrArray) doubtful_jobs = g_ptr_array_new();
    pass_t pass = {.inputs = mb_fleet_cost_inputs(fleet),
                   .doubtful_jobs = doubtful_jobs};
    pass.inputs.probes_reserved = true;
    mb_fleet_copy_starter_t copy_starter = {start_second_run, &pass};
    mb_fleet_candidates_init(&pass.candidates);
    mb_fleet_copies_init(&pass.copies);
    fleet->counts.passes++;
    fleet->held_tasks = 0;
    fleet->evacuated_tasks = 0;
    mb_fleet_sort_jobs(fleet, pass.inputs.now_us);
    start_moved_tasks(&pass);
    for (guint i = 0; i < fleet->open_jobs->len; i++) {
        mb_dag_job_t *job = g_ptr_array_index(fleet->open_jobs, i);
        bool blocked = job->inherited && !fleet->former_runs_resolved;
        bool is_waiting =
            job->needs_scheduling || job->next_due_us <= pass.inputs.now_us;
        if (job->outcome != MB_DAG_OPEN || !is_waiting) {
            continue;
        }
        if (blocked) {
            fleet->held_tasks += count_waiting_tasks(job, pass.inputs.now_us);
            continue;
        }
        start_job(&pass, job);
    }
    start_doubtful_jobs(&pass);
    mb_fleet_start_copies(&pass.copies, &pass.inputs, &copy_starter);
    mb_fleet_copies_finish(&pass.copies);
    mb_fleet_candidates_finish(&pass.candidates);
}
