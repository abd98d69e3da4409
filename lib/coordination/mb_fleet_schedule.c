/* Which waiting task starts next and on which worker. Answers a load of many
   short urgent tasks beside long tasks that fill what is left: jobs in the
   order of mb_fleet_order.c, each task where mb_fleet_cost.c says that it
   costs least. */
#include <string.h>

#include "mb_fleet_internal.h"

/* Placements in a row that find no worker of a service, after which a pass
   leaves its jobs out: its workers are full, and looking at every job would
   cost more than it finds. */
#define MISSES_MAX 24u
/* Services that a pass tells apart; further ones count as one. */
#define SERVICES_MAX 32u
/* Time for which a run must have been slowed down before it is moved, in
   microseconds: a stop and a new start take most of a second. */
#define SLOWED_US UINT64_C(700000)

/* Placements in a row that found no worker of a service. Filling work uses
   what other work leaves, and finds room when that does not. */
typedef struct misses {
    mb_str_t service;
    bool fills;
    uint32_t count;
} misses_t;

/* One pass over the waiting jobs. */
typedef struct pass {
    mb_fleet_cost_inputs_t inputs;
    uint32_t service_count;
    misses_t misses[SERVICES_MAX];
} pass_t;

/* Returns the count of misses of the work like that of a step. */
static uint32_t *
misses_of(pass_t *pass, const mb_fleet_run_t *run)
{
    mb_str_t service = run->job->spec.policy.service;
    bool fills = run->job->steps[run->step].fills;
    uint32_t at = 0;
    while (at < pass->service_count &&
           !(pass->misses[at].fills == fills &&
             mb_str_equal(pass->misses[at].service, service))) {
        at++;
    }
    if (at == SERVICES_MAX) {
        return &pass->misses[SERVICES_MAX - 1].count;
    }
    if (at == pass->service_count) {
        pass->misses[pass->service_count++] = (misses_t){service, fills, 0};
    }
    return &pass->misses[at].count;
}

/* Returns the worker where a run costs least, or NULL; `rack` restricts the
   choice unless it is empty. */
static mb_fleet_worker_t *
choose_worker(const pass_t *pass, const mb_fleet_run_t *run, mb_str_t rack)
{
    mb_fleet_worker_t *best = NULL;
    uint64_t best_cost = mb_fleet_placement_cost_limit(&pass->inputs, run);
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

/* Stops a run that its agent has slowed down for a while, if another worker
   takes it without harm; it goes on there from its checkpoint. */
static void
move_run(const pass_t *pass, mb_fleet_worker_t *worker, mb_fleet_run_t *run)
{
    mb_fleet_run_t moved = *run;
    for (guint i = 0; i < pass->inputs.fleet->workers->len; i++) {
        mb_fleet_worker_t *other = mb_fleet_get_worker(pass->inputs.fleet, i);
        if (other != worker &&
            mb_fleet_placement_cost(&pass->inputs, other, &moved) <
                mb_fleet_placement_cost_limit(&pass->inputs, run)) {
            mb_log_info(&pass->inputs.fleet->log,
                        "moving a slowed run job=%.*s task=%u.%u.%u from=%.*s",
                        MB_STR_ARG(mb_dag_id_view(&run->job->spec.id)),
                        run->occurrence, run->step, run->index,
                        MB_STR_ARG(mb_buf_view(&worker->name)));
            pass->inputs.fleet->counts.moves++;
            mb_fleet_stop_run(pass->inputs.fleet, worker, run);
            return;
        }
    }
}

/* Moves the runs that services keep from working. */
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
                run->job->steps[run->step].checkpoints &&
                pass.inputs.now_us - run->throttled_since_us >= SLOWED_US) {
                move_run(&pass, worker, run);
            }
        }
    }
}

/* Returns the number of the next run of a task. Tokens give each owner a
   range of its own, so that a later owner's runs are newer. */
static uint64_t
next_run(const mb_fleet_t *fleet, const mb_dag_task_t *task)
{
    const uint64_t range = 1000000;
    uint64_t base = (fleet->token - 1) * range;
    return MAX(task->last_run, base) + 1;
}

/* Adds a run to a worker and its start to the pending order. */
static void
start_run(const pass_t *pass, mb_fleet_worker_t *worker, mb_fleet_run_t *run)
{
    mb_dag_job_t *job = run->job;
    const mb_dag_step_t *step = &job->steps[run->step];
    mb_dag_task_t *task = mb_fleet_run_task(run);
    run->start_sequence = worker->order_sequence + 1;
    run->started_us = pass->inputs.now_us;
    run->resumed = task->checkpoint_len > 0;
    mb_order_start_t start = {
        .task = mb_fleet_run_task_id(run),
        .run = run->number,
        .payload = job->spec.payload,
        .checkpoint = {task->checkpoint, task->checkpoint_len},
        .approval = MB_STR_EMPTY,
        .image = step->image,
        .latency_target_ms = step->latency_target_ms,
        .fills = step->fills};
    (void)mb_fleet_add_run(pass->inputs.fleet, worker, run);
    mb_health_started(&worker->health, pass->inputs.now_us);
    g_array_append_val(worker->pending_order.starts, start);
    worker->order_due = true;
    pass->inputs.fleet->counts.starts++;
    mb_log_info(&pass->inputs.fleet->log,
                "start job=%.*s task=%u.%u.%u run=%" G_GUINT64_FORMAT
                " worker=%.*s age_ms=%" G_GUINT64_FORMAT,
                MB_STR_ARG(mb_dag_id_view(&job->spec.id)), run->occurrence,
                run->step, run->index, run->number,
                MB_STR_ARG(mb_buf_view(&worker->name)),
                (pass->inputs.now_us - job->arrived_us) / MB_US_PER_MS);
    if (!job->begun) {
        job->begun = true;
        mb_fleet_mark_dirty(pass->inputs.fleet, job);
        mb_log_info(
            &pass->inputs.fleet->log,
            "job begun job=%.*s queue=%.*s waited_ms=%" G_GUINT64_FORMAT
            " objective_ms=%" G_GUINT64_FORMAT " worker=%.*s",
            MB_STR_ARG(mb_dag_id_view(&job->spec.id)),
            MB_STR_ARG(job->spec.policy.queue),
            (pass->inputs.now_us - job->arrived_us) / MB_US_PER_MS,
            job->objective_us / MB_US_PER_MS,
            MB_STR_ARG(mb_buf_view(&worker->name)));
    }
}

/* Tells whether a task may be started now. */
static bool
is_waiting(const pass_t *pass, const mb_dag_task_t *task)
{
    return !task->done && !mb_fleet_task_is_running(task) &&
           task->not_before_us <= pass->inputs.now_us;
}

/* Starts one task if a worker takes it. */
static bool
start_task(pass_t *pass, mb_fleet_run_t *run)
{
    mb_fleet_worker_t *worker = choose_worker(pass, run, MB_STR_EMPTY);
    if (worker == NULL) {
        (*misses_of(pass, run))++;
        return false;
    }
    *misses_of(pass, run) = 0;
    run->number = next_run(pass->inputs.fleet, mb_fleet_run_task(run));
    start_run(pass, worker, run);
    return true;
}

/* Starts the waiting tasks of a step; false when some found no worker. */
static bool
start_tasks(pass_t *pass, mb_fleet_run_t *run)
{
    const mb_dag_step_t *step = &run->job->steps[run->step];
    bool all = true;
    for (run->index = 0; run->index < step->count; run->index++) {
        mb_dag_task_t *task = mb_fleet_run_task(run);
        if (!is_waiting(pass, task)) {
            all = all && (task->done || mb_fleet_task_is_running(task));
            continue;
        }
        if (!start_task(pass, run)) {
            return false;
        }
    }
    return all;
}

/* Tells whether no member of a gang runs and all may be started. */
static bool
gang_waits(const pass_t *pass, const mb_fleet_run_t *run)
{
    mb_fleet_run_t member = *run;
    for (member.index = 0; member.index < run->job->steps[run->step].count;
         member.index++) {
        if (!is_waiting(pass, mb_fleet_run_task(&member))) {
            return false;
        }
    }
    return true;
}

/* Returns a number for the next run of a gang, which its members share. */
static uint64_t
next_gang_run(const pass_t *pass, const mb_fleet_run_t *run)
{
    uint64_t number = 0;
    mb_fleet_run_t member = *run;
    for (member.index = 0; member.index < run->job->steps[run->step].count;
         member.index++) {
        number = MAX(number,
                     next_run(pass->inputs.fleet, mb_fleet_run_task(&member)));
    }
    return number;
}

/* Reserves a worker for each member of a gang; false, with nothing reserved,
   when one finds none. */
static bool
place_gang(const pass_t *pass, const mb_fleet_run_t *run, mb_str_t rack,
           GPtrArray *places)
{
    uint32_t count = run->job->steps[run->step].count;
    mb_fleet_run_t member = *run;
    bool all = true;
    member.number = next_gang_run(pass, run);
    for (member.index = 0; all && member.index < count; member.index++) {
        mb_fleet_worker_t *worker = choose_worker(pass, &member, rack);
        all = worker != NULL;
        if (all) {
            g_ptr_array_add(places, worker);
            (void)mb_fleet_add_run(pass->inputs.fleet, worker, &member);
        }
    }
    for (guint i = 0; i < places->len; i++) {
        mb_dag_task_id_t id = mb_fleet_run_task_id(run);
        mb_fleet_worker_t *worker = g_ptr_array_index(places, i);
        id.index = i;
        mb_fleet_remove_run(pass->inputs.fleet, worker,
                            mb_fleet_find_run(worker, &id, member.number));
    }
    return all;
}

/* Finds places for a gang, on one rack if it runs better there. */
static bool
find_gang_places(const pass_t *pass, const mb_fleet_run_t *run,
                 GPtrArray *places)
{
    bool local = run->job->steps[run->step].rack_local;
    for (guint i = 0; local && i < pass->inputs.fleet->workers->len; i++) {
        mb_str_t rack =
            mb_buf_view(&mb_fleet_get_worker(pass->inputs.fleet, i)->rack);
        (void)g_ptr_array_set_size(places, 0);
        if (rack.len > 0 && place_gang(pass, run, rack, places)) {
            return true;
        }
    }
    (void)g_ptr_array_set_size(places, 0);
    return place_gang(pass, run, MB_STR_EMPTY, places);
}

/* Starts a gang as a whole or not at all; false when it has to wait. */
static bool
start_gang(pass_t *pass, const mb_fleet_run_t *run)
{
    g_autoptr(GPtrArray) places = g_ptr_array_new();
    if (!gang_waits(pass, run)) {
        return false;
    }
    if (!find_gang_places(pass, run, places)) {
        (*misses_of(pass, run))++;
        return false;
    }
    *misses_of(pass, run) = 0;
    mb_fleet_run_t member = *run;
    member.number = next_gang_run(pass, run);
    for (member.index = 0; member.index < places->len; member.index++) {
        mb_fleet_run_t copy = member;
        start_run(pass, g_ptr_array_index(places, member.index), &copy);
    }
    return true;
}

/* Starts what can be started of a step; false when something has to wait. */
static bool
start_step(pass_t *pass, mb_fleet_run_t *run)
{
    return run->job->steps[run->step].gang ? start_gang(pass, run)
                                           : start_tasks(pass, run);
}

/* Starts what can be started of a job; notes whether something still waits
   for more than the end of a run. */
static void
start_job(pass_t *pass, mb_dag_job_t *job)
{
    bool all = true;
    for (uint32_t k = 0; k < job->occurrence_count; k++) {
        if (job->occurrences[k].due_us > pass->inputs.now_us) {
            all = false;
            continue;
        }
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            if (job->occurrences[k].left[s] == 0 ||
                !mb_dag_step_ready(job, k, s)) {
                continue;
            }
            mb_fleet_run_t run = {.job = job, .occurrence = k, .step = s};
            bool full = *misses_of(pass, &run) >= MISSES_MAX;
            all = !full && start_step(pass, &run) && all;
        }
    }
    job->waits = !all;
}

/* Starts the waiting tasks in order, until the fleet is full. Tasks that a
   former owner may have started wait until the fleet has settled. */
void
mb_fleet_schedule(mb_fleet_t *fleet)
{
    pass_t pass = {.inputs = mb_fleet_cost_inputs(fleet)};
    fleet->counts.passes++;
    mb_fleet_sort_jobs(fleet, pass.inputs.now_us);
    for (guint i = 0; i < fleet->open_jobs->len; i++) {
        mb_dag_job_t *job = g_ptr_array_index(fleet->open_jobs, i);
        bool blocked = job->inherited && !fleet->former_runs_resolved;
        if (job->outcome == MB_DAG_OPEN && job->waits && !blocked) {
            start_job(&pass, job);
        }
    }
}
