/* Which waiting task starts next and on which worker. Answers a load of many
   short urgent tasks beside long tasks that fill what is left: urgent queues
   first; within a queue's priority, what can no longer be on time stands
   behind what can, and the job whose objective ends first goes first. */
#include <string.h>

#include "mb_fleet_internal.h"

/* Placements in a row that find no worker of a service, after which a pass
   leaves its jobs out: its workers are full, and looking at every job would
   cost more than it finds. */
#define MISSES_MAX 24u
/* Services that a pass tells apart; further ones count as one. */
#define SERVICES_MAX 32u
/* Time after which the order of the jobs is made anew, as deadlines pass, in
   microseconds. */
#define SORT_US UINT64_C(200000)
/* Lateness, as a multiple of the objective, after which a job is worth no
   more than any other late one. */
#define LATE_FACTOR 3u
/* Share of its declared processors that a long-running service uses, in
   thousandths; filling work gets the rest. */
#define SERVICE_USE_MILLI 450u
/* Load of a worker whose processors are all in use: the unit of the costs of a
   placement, which are added to the load. */
#define LOAD_FULL 1000u
/* The data is on another rack. */
#define COST_OTHER_RACK 400u
/* Filling work beside services: at all, and for a latency at its target. */
#define COST_BESIDE_SERVICE 200u
#define COST_SHARE 1000.0
/* A service, or another task, on a worker without services, which filling
   work could use alone. */
#define COST_FIRST_SERVICE 1500u
#define COST_TAKES_FILLING_ROOM 500u
/* Filling work on a worker without services, which work that disturbs services
   needs. */
#define COST_TAKES_FREE_WORKER 1000u
/* Each of the worker's failures in a row, and the worker where the task failed
   last. */
#define COST_FAILURE 500u
#define COST_FAILED_HERE 3000u
/* The task may not go there. */
#define COST_NONE UINT64_MAX
/* Weight of filling work in the load that an urgent task meets, in
   thousandths. */
#define FILLING_WEIGHT_MILLI 300u
/* Least headroom of a service that costs are told apart for. */
#define HEADROOM_MIN 0.1
/* Share of its latency target that a service may be expected to reach. */
#define SHARE_MAX 0.95
/* Part of its objective that a job may spend waiting for a worker where its
   filling work disturbs nobody, in thousandths, and how much more a service
   may be disturbed for each further objective. */
#define WAIT_MILLI 200u
#define SHARE_RISE 8.0
#define SHARE_LATE_MAX 1.0
/* Time for which a run must have been slowed down before it is moved, in
   microseconds: a stop and a new start take most of a second. */
#define SLOWED_US UINT64_C(700000)
/* Declared processors of filling work on a worker without services, in
   thousandths of its own: tasks begin and end with a while without work. */
#define FILLING_OVERCOMMIT_MILLI 1250u
/* Time after which a job with nothing running gets one task started even
   beside a service that it may disturb, in microseconds: while less than this
   share of the fleet's processors is in use, in thousandths, and in a fuller
   fleet. That one would else be shared out among all jobs, and none would be
   on time. */
#define IDLE_US UINT64_C(1200000)
#define IDLE_FLEET_MILLI 600u
#define IDLE_FULL_US UINT64_C(8000000)
#define FULL_PERCENT 100u
#define MILLI 1000u

/* What the order of the jobs looks at. */
typedef struct rank {
    uint32_t lateness; /* 0: can be on time, 1: late, 2: worth little */
    uint32_t priority;
    uint64_t due_us;
} rank_t;

/* Ranks a job. */
static rank_t
rank_job(const mb_dag_job_t *job, uint64_t now_us)
{
    uint64_t age_us = now_us - MIN(now_us, job->arrived_us);
    uint64_t end_us = age_us + job->left_us;
    uint32_t lateness = 0;
    if (end_us > job->objective_us * LATE_FACTOR) {
        lateness = 2;
    }
    else if (end_us > job->objective_us) {
        lateness = 1;
    }
    return (rank_t){lateness, job->spec.policy.priority,
                    job->arrived_us + job->objective_us};
}

/* Orders two jobs, the one to start first in front. */
static gint
compare_jobs(gconstpointer a, gconstpointer b, gpointer context)
{
    const mb_dag_job_t *left = *(mb_dag_job_t *const *)a;
    const mb_dag_job_t *right = *(mb_dag_job_t *const *)b;
    uint64_t now_us = *(const uint64_t *)context;
    rank_t first = rank_job(left, now_us);
    rank_t second = rank_job(right, now_us);
    if (first.priority != second.priority) {
        return first.priority < second.priority ? -1 : 1;
    }
    if (first.lateness != second.lateness) {
        return first.lateness < second.lateness ? -1 : 1;
    }
    if (left->left_work != right->left_work) {
        return left->left_work < right->left_work ? -1 : 1;
    }
    if (first.due_us != second.due_us) {
        return first.due_us < second.due_us ? -1 : 1;
    }
    return 0;
}

/* Placements in a row that found no worker of a service. Filling work uses
   what other work leaves, and finds room when that does not. */
typedef struct misses {
    mb_str_t service;
    bool fills;
    uint32_t count;
} misses_t;

/* One pass over the waiting jobs. */
typedef struct pass {
    mb_fleet_t *fleet;
    uint64_t now_us;
    bool idle_fleet; /* little of it is in use */
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

/* Tells whether a worker has a label. */
static bool
has_label(const mb_fleet_worker_t *worker, mb_str_t label)
{
    for (uint32_t i = 0; i < worker->label_count; i++) {
        if (mb_str_equal(mb_buf_view(&worker->labels[i]), label)) {
            return true;
        }
    }
    return false;
}

/* Counts the runs of a step on a worker. */
static uint32_t
count_of_step(const mb_fleet_worker_t *worker, const mb_fleet_run_t *run)
{
    uint32_t count = 0;
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *other =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        count += other->job == run->job && other->step == run->step &&
                 other->occurrence == run->occurrence;
    }
    return count;
}

/* Tells whether a worker takes starts at all now. */
static bool
takes_starts(const pass_t *pass, const mb_fleet_worker_t *worker)
{
    return worker->connected && worker->complete && !worker->leaving &&
           worker->state == MB_WORKER_READY &&
           pass->now_us < worker->reported_us +
                              MB_FLEET_SILENT_MS * (uint64_t)MB_US_PER_MS &&
           !mb_health_suspended(&worker->health, pass->now_us);
}

/* Returns the processors that filling work leaves out, in thousandths: those
   of short tasks as declared, those of services as they are used. */
static uint32_t
busy_milli(const mb_fleet_worker_t *worker)
{
    uint32_t busy = worker->used.cpu_milli;
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        const mb_dag_step_t *step = &run->job->steps[run->step];
        if (step->long_running && !step->fills) {
            busy -= (uint32_t)((uint64_t)step->size.cpu_milli *
                               (MILLI - SERVICE_USE_MILLI) / MILLI);
        }
    }
    return busy;
}

/* Tells whether a worker serves users whom filling work may disturb. */
static bool
has_service(const mb_fleet_worker_t *worker)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (run->job->steps[run->step].latency_target_ms > 0) {
            return true;
        }
    }
    return false;
}

/* Tells whether the memory and the accelerators for a task are free. */
static bool
memory_fits(const mb_fleet_worker_t *worker, const mb_size_t *size)
{
    return worker->used.memory_mb + worker->filling.memory_mb +
                   size->memory_mb <=
               worker->capacity.memory_mb &&
           worker->used.accelerators + worker->filling.accelerators +
                   size->accelerators <=
               worker->capacity.accelerators;
}

/* Returns the load of a worker with a task more, in thousandths of its
   processors; COST_NONE when the task does not fit. */
static uint64_t
load_with(const mb_fleet_worker_t *worker, const mb_dag_step_t *step)
{
    uint64_t capacity = worker->capacity.cpu_milli;
    if (capacity == 0 || !memory_fits(worker, &step->size)) {
        return COST_NONE;
    }
    if (!step->fills) {
        uint64_t used =
            (uint64_t)worker->used.cpu_milli + step->size.cpu_milli;
        uint64_t filling =
            worker->filling.cpu_milli * (uint64_t)FILLING_WEIGHT_MILLI / MILLI;
        return used > capacity ? COST_NONE
                               : (used + filling) * MILLI / capacity;
    }
    uint64_t used = (uint64_t)busy_milli(worker) + worker->filling.cpu_milli +
                    step->size.cpu_milli;
    bool alone = worker->filling.cpu_milli == 0;
    uint64_t bound = has_service(worker)
                         ? capacity
                         : capacity * FILLING_OVERCOMMIT_MILLI / MILLI;
    return used > bound && !alone ? COST_NONE : used * MILLI / capacity;
}

/* Returns what a filling task would cost the services on a worker: the share
   of its target that the worst latency is expected to reach. */
static uint64_t
cost_for_services(const pass_t *pass, const mb_fleet_worker_t *worker,
                  const mb_dag_step_t *step)
{
    double headroom = mb_fleet_headroom_with(
        pass->fleet, worker, mb_str_hash(step->image), step->size.cpu_milli);
    return (uint64_t)(COST_SHARE / MAX(headroom, HEADROOM_MIN));
}

/* Returns what a task costs beside what else the worker runs. Services and
   filling work are kept on different workers as far as the fleet allows. */
static uint64_t
cost_beside(const pass_t *pass, const mb_fleet_worker_t *worker,
            const mb_dag_step_t *step)
{
    bool serves = has_service(worker);
    if (step->fills) {
        return !serves ? COST_TAKES_FREE_WORKER
                       : COST_BESIDE_SERVICE +
                             cost_for_services(pass, worker, step);
    }
    if (serves) {
        return 0;
    }
    return step->latency_target_ms > 0 ? COST_FIRST_SERVICE
                                       : COST_TAKES_FILLING_ROOM;
}

/* Tells whether a worker's agent holds its filling work of its own accord:
   what is added would work until it is held as well. */
static bool
holds_filling(const mb_fleet_worker_t *worker)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        const mb_fleet_run_t *run =
            &g_array_index(worker->runs, mb_fleet_run_t, i);
        if (run->slowed_us != 0 && run->ordered_pace >= FULL_PERCENT) {
            return true;
        }
    }
    return false;
}

/* Returns what it costs to place a run on a worker; COST_NONE when it may not
   go there. */
static uint64_t
cost_on(const pass_t *pass, const mb_fleet_worker_t *worker,
        const mb_fleet_run_t *run)
{
    const mb_dag_job_t *job = run->job;
    const mb_dag_step_t *step = &job->steps[run->step];
    const mb_dag_task_t *task = mb_fleet_run_task(run);
    if (!takes_starts(pass, worker) ||
        (step->fills && holds_filling(worker)) ||
        !mb_str_equal(mb_buf_view(&worker->service),
                      job->spec.policy.service) ||
        (step->label.len > 0 && !has_label(worker, step->label)) ||
        (step->per_worker_max > 0 &&
         count_of_step(worker, run) >= step->per_worker_max)) {
        return COST_NONE;
    }
    uint64_t cost = load_with(worker, step);
    if (cost == COST_NONE) {
        return COST_NONE;
    }
    if (step->rack.len > 0 &&
        !mb_str_equal(mb_buf_view(&worker->rack), step->rack)) {
        cost += COST_OTHER_RACK;
    }
    cost += cost_beside(pass, worker, step);
    if (task->failed_on == worker->number + 1) {
        cost += COST_FAILED_HERE;
    }
    return cost + worker->health.failures * (uint64_t)COST_FAILURE;
}

/* Returns the cost below which a run is placed. Filling work with time left
   waits rather than disturb a service; the less time is left, the more it may.
   A job does not stand still for long. */
static uint64_t
cost_bound(const pass_t *pass, const mb_fleet_run_t *run)
{
    const mb_dag_job_t *job = run->job;
    uint64_t age_us = pass->now_us - MIN(pass->now_us, job->arrived_us);
    uint64_t used_milli = age_us * MILLI / MAX(job->objective_us, 1u);
    bool idle =
        job->running == 0 && pass->now_us - job->idle_us >=
                                 (pass->idle_fleet ? IDLE_US : IDLE_FULL_US);
    if (!job->steps[run->step].fills || idle) {
        return COST_NONE;
    }
    double share = SHARE_MAX;
    if (used_milli > WAIT_MILLI) {
        share += SHARE_RISE * (double)(used_milli - WAIT_MILLI) / MILLI;
    }
    share = MIN(share, SHARE_LATE_MAX);
    return COST_BESIDE_SERVICE + LOAD_FULL + (uint64_t)(share * COST_SHARE);
}

/* Returns the worker where a run costs least, or NULL; `rack` restricts the
   choice unless it is empty. */
static mb_fleet_worker_t *
choose_worker(const pass_t *pass, const mb_fleet_run_t *run, mb_str_t rack)
{
    mb_fleet_worker_t *best = NULL;
    uint64_t best_cost = cost_bound(pass, run);
    for (guint i = 0; i < pass->fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_worker_at(pass->fleet, i);
        if (rack.len > 0 && !mb_str_equal(mb_buf_view(&worker->rack), rack)) {
            continue;
        }
        uint64_t cost = cost_on(pass, worker, run);
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
    for (guint i = 0; i < pass->fleet->workers->len; i++) {
        mb_fleet_worker_t *other = mb_fleet_worker_at(pass->fleet, i);
        if (other != worker &&
            cost_on(pass, other, &moved) < cost_bound(pass, run)) {
            mb_log_info(&pass->fleet->log,
                        "moving a slowed run job=%.*s task=%u.%u.%u from=%.*s",
                        MB_STR_ARG(mb_dag_id_view(&run->job->spec.id)),
                        run->occurrence, run->step, run->index,
                        MB_STR_ARG(mb_buf_view(&worker->name)));
            pass->fleet->counts.moves++;
            mb_fleet_stop_run(pass->fleet, worker, run);
            return;
        }
    }
}

/* Moves the runs that services keep from working. */
void
mb_fleet_move_slowed(mb_fleet_t *fleet)
{
    pass_t pass = {.fleet = fleet, .now_us = mb_clock_us(&fleet->clock)};
    for (guint w = 0; w < fleet->workers->len; w++) {
        mb_fleet_worker_t *worker = mb_fleet_worker_at(fleet, w);
        for (guint i = 0; i < worker->runs->len; i++) {
            mb_fleet_run_t *run =
                &g_array_index(worker->runs, mb_fleet_run_t, i);
            if (run->slowed_us != 0 && !run->stopping &&
                run->job->steps[run->step].checkpoints &&
                pass.now_us - run->slowed_us >= SLOWED_US) {
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
    run->order = worker->order + 1;
    run->started_us = pass->now_us;
    run->resumed = task->checkpoint_len > 0;
    mb_order_start_t start = {
        .task = mb_fleet_run_id(run),
        .run = run->number,
        .payload = job->spec.payload,
        .checkpoint = {task->checkpoint, task->checkpoint_len},
        .approval = MB_STR_EMPTY,
        .image = step->image,
        .latency_target_ms = step->latency_target_ms,
        .fills = step->fills};
    (void)mb_fleet_add_run(pass->fleet, worker, run);
    mb_health_started(&worker->health, pass->now_us);
    g_array_append_val(worker->pending.starts, start);
    worker->order_due = true;
    pass->fleet->counts.starts++;
    mb_log_info(&pass->fleet->log,
                "start job=%.*s task=%u.%u.%u run=%" G_GUINT64_FORMAT
                " worker=%.*s age_ms=%" G_GUINT64_FORMAT,
                MB_STR_ARG(mb_dag_id_view(&job->spec.id)), run->occurrence,
                run->step, run->index, run->number,
                MB_STR_ARG(mb_buf_view(&worker->name)),
                (pass->now_us - job->arrived_us) / MB_US_PER_MS);
    if (!job->begun) {
        job->begun = true;
        mb_fleet_mark_dirty(pass->fleet, job);
        mb_log_info(
            &pass->fleet->log,
            "job begun job=%.*s queue=%.*s waited_ms=%" G_GUINT64_FORMAT
            " objective_ms=%" G_GUINT64_FORMAT " worker=%.*s",
            MB_STR_ARG(mb_dag_id_view(&job->spec.id)),
            MB_STR_ARG(job->spec.policy.queue),
            (pass->now_us - job->arrived_us) / MB_US_PER_MS,
            job->objective_us / MB_US_PER_MS,
            MB_STR_ARG(mb_buf_view(&worker->name)));
    }
}

/* Tells whether a task may be started now. */
static bool
is_waiting(const pass_t *pass, const mb_dag_task_t *task)
{
    return !task->done && !mb_fleet_task_runs(task) &&
           task->not_before_us <= pass->now_us;
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
    run->number = next_run(pass->fleet, mb_fleet_run_task(run));
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
            all = all && (task->done || mb_fleet_task_runs(task));
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
        number =
            MAX(number, next_run(pass->fleet, mb_fleet_run_task(&member)));
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
            (void)mb_fleet_add_run(pass->fleet, worker, &member);
        }
    }
    for (guint i = 0; i < places->len; i++) {
        mb_dag_task_id_t id = mb_fleet_run_id(run);
        mb_fleet_worker_t *worker = g_ptr_array_index(places, i);
        id.index = i;
        mb_fleet_remove_run(pass->fleet, worker,
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
    for (guint i = 0; local && i < pass->fleet->workers->len; i++) {
        mb_str_t rack = mb_buf_view(&mb_fleet_worker_at(pass->fleet, i)->rack);
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
        if (job->occurrences[k].due_us > pass->now_us) {
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

/* Sorts the open jobs when they are new or deadlines may have passed. */
static void
sort_jobs(mb_fleet_t *fleet, uint64_t now_us)
{
    if (!fleet->unsorted && now_us < fleet->sorted_us + SORT_US) {
        return;
    }
    fleet->unsorted = false;
    fleet->sorted_us = now_us;
    for (guint i = 0; i < fleet->open->len; i++) {
        mb_fleet_estimate(fleet, g_ptr_array_index(fleet->open, i));
    }
    g_ptr_array_sort_with_data(fleet->open, compare_jobs, &now_us);
}

/* Tells whether little of the fleet is in use. */
static bool
is_idle_fleet(const mb_fleet_t *fleet)
{
    uint64_t used = 0;
    uint64_t capacity = 0;
    for (guint i = 0; i < fleet->workers->len; i++) {
        const mb_fleet_worker_t *worker = mb_fleet_worker_at(fleet, i);
        used += (uint64_t)worker->used.cpu_milli + worker->filling.cpu_milli;
        capacity += worker->complete ? worker->capacity.cpu_milli : 0;
    }
    return used * MILLI < capacity * IDLE_FLEET_MILLI;
}

/* Starts the waiting tasks in order, until the fleet is full. Tasks that a
   former owner may have started wait until the fleet has settled. */
void
mb_fleet_schedule(mb_fleet_t *fleet)
{
    pass_t pass = {.fleet = fleet,
                   .now_us = mb_clock_us(&fleet->clock),
                   .idle_fleet = is_idle_fleet(fleet)};
    fleet->counts.passes++;
    sort_jobs(fleet, pass.now_us);
    for (guint i = 0; i < fleet->open->len; i++) {
        mb_dag_job_t *job = g_ptr_array_index(fleet->open, i);
        bool blocked = job->inherited && !fleet->settled;
        if (job->outcome == MB_DAG_OPEN && job->waits && !blocked) {
            start_job(&pass, job);
        }
    }
}
