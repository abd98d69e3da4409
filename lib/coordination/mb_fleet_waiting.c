/* Log lines for operators about jobs of which nothing has run for a while
   although a task's turn has come: since when, and how many workers don't take
   the task for which reason. Meant to be found by the id of the job. A pass
   over the jobs once a second, and a few lines in it, bound the work and the
   log under load. */
#include "mb_fleet_internal.h"

/* Time without a run after which a job is logged, and until it is logged
   again, in microseconds. */
#define WAIT_MIN_US UINT64_C(3000000)
#define WAIT_REPEAT_US UINT64_C(5000000)
/* Interval of the passes, in microseconds, and maximum lines in each. */
#define PASS_INTERVAL_US UINT64_C(1000000)
#define LINES_MAX 3u

/* Finds the first task of a job that is neither done nor running and whose
   step and time have come. Returns false if there is none. */
static bool
find_waiting_task(mb_dag_job_t *job, uint64_t now_us, mb_fleet_run_t *run)
{
    mb_dag_open_due(job, now_us);
    for (guint i = 0; i < job->open->len; i++) {
        const mb_dag_occurrence_t *occurrence =
            g_ptr_array_index(job->open, i);
        uint32_t k = occurrence->number;
        if (mb_dag_due_us(job, k) > now_us) {
            continue;
        }
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            if (occurrence->unfinished_tasks[s] == 0 ||
                !mb_dag_step_ready(job, k, s)) {
                continue;
            }
            *run = (mb_fleet_run_t){.job = job, .occurrence = k, .step = s};
            for (; run->index < job->steps[s].count; run->index++) {
                const mb_dag_task_t *task = mb_fleet_run_task(run);
                if (!task->done && !mb_fleet_task_is_running(task)) {
                    return true;
                }
            }
        }
    }
    return false;
}

/* Asks each worker why it does not get the task of a run. */
mb_fleet_obstacles_t
mb_fleet_find_obstacles(const mb_fleet_cost_inputs_t *inputs,
                        const mb_fleet_run_t *run)
{
    mb_fleet_obstacles_t obstacles = {.lowest_cost = UINT64_MAX};
    for (guint i = 0; i < inputs->fleet->workers->len; i++) {
        const mb_fleet_worker_t *worker =
            mb_fleet_get_worker(inputs->fleet, i);
        mb_fleet_obstacle_t obstacle =
            mb_fleet_placement_obstacle(inputs, worker, run);
        obstacles.workers[obstacle]++;
        obstacles.evacuated_full +=
            obstacle == MB_FLEET_OBSTACLE_ROOM && worker->evacuated;
        if (obstacle == MB_FLEET_OBSTACLE_COST) {
            obstacles.lowest_cost =
                MIN(obstacles.lowest_cost,
                    mb_fleet_placement_cost(inputs, worker, run));
        }
    }
    return obstacles;
}

/* Tells whether a task waits for workers that are evacuated: one of them has
   room, or all workers without room are evacuated, which would take it once
   the runs left there have ended. Each member of a gang may fit elsewhere
   although the gang does not. */
static bool
waits_for_evacuated(const mb_fleet_run_t *run,
                    const mb_fleet_obstacles_t *obstacles)
{
    uint32_t with_room = obstacles->workers[MB_FLEET_OBSTACLE_EVACUATED];
    uint32_t full = obstacles->workers[MB_FLEET_OBSTACLE_ROOM];
    if (obstacles->workers[MB_FLEET_OBSTACLE_COST] > 0) {
        return run->job->steps[run->step].gang && with_room > 0;
    }
    return with_room > 0 || (full > 0 && full == obstacles->evacuated_full);
}

/* Finds the main reason why the task of a run waits. */
mb_fleet_wait_t
mb_fleet_find_wait(const mb_fleet_cost_inputs_t *inputs,
                   const mb_fleet_run_t *run,
                   const mb_fleet_obstacles_t *obstacles)
{
    const mb_dag_task_t *task = mb_fleet_run_task(run);
    if (inputs->fleet->starts_withheld) {
        return MB_FLEET_WAIT_STARTS_WITHHELD;
    }
    if (run->job->inherited && !inputs->fleet->former_runs_resolved) {
        return MB_FLEET_WAIT_FORMER_RUNS_UNKNOWN;
    }
    if (task->absent_workers > 0) {
        return MB_FLEET_WAIT_ABSENT_WORKER;
    }
    if (task->not_before_us > inputs->now_us) {
        return MB_FLEET_WAIT_RETRY_DELAY;
    }
    if (waits_for_evacuated(run, obstacles)) {
        return MB_FLEET_WAIT_EVACUATED;
    }
    if (obstacles->workers[MB_FLEET_OBSTACLE_COST] > 0) {
        return obstacles->lowest_cost >=
                       mb_fleet_placement_cost_limit(inputs, run)
                   ? MB_FLEET_WAIT_SERVICE_LATENCY
                   : MB_FLEET_WAIT_OTHER_TASKS;
    }
    return obstacles->workers[MB_FLEET_OBSTACLE_ROOM] > 0
               ? MB_FLEET_WAIT_NO_ROOM
               : MB_FLEET_WAIT_NO_USABLE_WORKER;
}

/* Returns the name of a reason for operators, a static text. */
const char *
mb_fleet_wait_name(mb_fleet_wait_t wait)
{
    static const char *const names[MB_FLEET_WAIT_COUNT] = {
        [MB_FLEET_WAIT_STARTS_WITHHELD] = "starts_withheld",
        [MB_FLEET_WAIT_FORMER_RUNS_UNKNOWN] = "former_runs_unknown",
        [MB_FLEET_WAIT_ABSENT_WORKER] = "may_run_on_absent_worker",
        [MB_FLEET_WAIT_RETRY_DELAY] = "retry_delay",
        [MB_FLEET_WAIT_EVACUATED] = "evacuated",
        [MB_FLEET_WAIT_SERVICE_LATENCY] = "service_latency",
        [MB_FLEET_WAIT_OTHER_TASKS] = "behind_other_tasks",
        [MB_FLEET_WAIT_NO_ROOM] = "no_room",
        [MB_FLEET_WAIT_NO_USABLE_WORKER] = "no_usable_worker"};
    return names[wait];
}

/* Logs why the task of a run waits. */
static void
log_waiting(const mb_fleet_cost_inputs_t *inputs, const mb_fleet_run_t *run)
{
    const mb_dag_job_t *job = run->job;
    const mb_dag_step_t *step = &job->steps[run->step];
    mb_str_t service = job->spec.policy.service;
    mb_fleet_obstacles_t obstacles = mb_fleet_find_obstacles(inputs, run);
    bool has_cost = obstacles.lowest_cost != UINT64_MAX;
    uint64_t limit = mb_fleet_placement_cost_limit(inputs, run);
    mb_log_notice(
        &inputs->fleet->log,
        "task waits job=%.*s task=%u.%u.%u reason=%s "
        "idle_ms=%" G_GUINT64_FORMAT
        " best_effort=%d use_milli=%" G_GUINT64_FORMAT
        " declared_milli=%" G_GUINT64_FORMAT
        " excluded=%u unusable=%u no_room=%u evacuated=%u cost=%u "
        "lowest_cost=%" G_GINT64_FORMAT " cost_limit=%" G_GINT64_FORMAT,
        MB_STR_ARG(mb_dag_id_view(&job->spec.id)), run->occurrence, run->step,
        run->index,
        mb_fleet_wait_name(mb_fleet_find_wait(inputs, run, &obstacles)),
        (inputs->now_us - job->idle_since_us) / MB_US_PER_MS,
        step->best_effort, mb_fleet_pools_use_milli(inputs->pools, service),
        mb_fleet_pools_declared_milli(inputs->pools, service),
        obstacles.workers[MB_FLEET_OBSTACLE_EXCLUDED],
        obstacles.workers[MB_FLEET_OBSTACLE_UNUSABLE],
        obstacles.workers[MB_FLEET_OBSTACLE_ROOM],
        obstacles.workers[MB_FLEET_OBSTACLE_EVACUATED],
        obstacles.workers[MB_FLEET_OBSTACLE_COST],
        has_cost ? (gint64)obstacles.lowest_cost : -1,
        limit != UINT64_MAX ? (gint64)limit : -1);
}

/* Tells whether nothing of a job has run for long enough to be logged now. */
static bool
is_logged_now(const mb_dag_job_t *job, uint64_t now_us)
{
    return job->outcome == MB_DAG_OPEN && job->running == 0 &&
           now_us >= job->idle_since_us + WAIT_MIN_US &&
           (job->wait_logged_us == 0 ||
            now_us >= job->wait_logged_us + WAIT_REPEAT_US);
}

/* Logs why jobs wait of which nothing has run for WAIT_MIN_US, at most
   LINES_MAX of them a second. */
void
mb_fleet_log_waiting(mb_fleet_t *fleet, uint64_t now_us)
{
    uint32_t lines = 0;
    if (now_us < fleet->waiting_logged_us + PASS_INTERVAL_US) {
        return;
    }
    fleet->waiting_logged_us = now_us;
    mb_fleet_cost_inputs_t inputs = mb_fleet_cost_inputs(fleet);
    for (guint i = 0; i < fleet->open_jobs->len && lines < LINES_MAX; i++) {
        mb_dag_job_t *job = g_ptr_array_index(fleet->open_jobs, i);
        mb_fleet_run_t run;
        if (is_logged_now(job, now_us) &&
            find_waiting_task(job, now_us, &run)) {
            job->wait_logged_us = now_us;
            log_waiting(&inputs, &run);
            lines++;
        }
    }
}
