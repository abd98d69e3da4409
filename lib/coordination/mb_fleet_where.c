#include "mb_fleet_where.h"

#include "mb_fleet_internal.h"

/* Adds a worker to the places of a step, if it is among those of the lowest
   cost. */
static void
add_place(mb_fleet_where_step_t *step, const mb_fleet_worker_t *worker,
          uint64_t cost)
{
    uint32_t i = step->place_count;
    if (i < MB_FLEET_WHERE_PLACES) {
        step->place_count++;
    }
    else if (cost >= step->places[i - 1].cost) {
        return;
    }
    else {
        i--;
    }
    while (i > 0 && step->places[i - 1].cost > cost) {
        step->places[i] = step->places[i - 1];
        i--;
    }
    step->places[i] =
        (mb_fleet_where_place_t){mb_buf_view(&worker->name), cost};
}

/* Adds the workers that the task of a run fits on. */
static void
find_places(const mb_fleet_cost_inputs_t *inputs, const mb_fleet_run_t *run,
            mb_fleet_where_step_t *step)
{
    for (guint i = 0; i < inputs->fleet->workers->len; i++) {
        const mb_fleet_worker_t *worker =
            mb_fleet_get_worker(inputs->fleet, i);
        if (mb_fleet_placement_obstacle(inputs, worker, run) ==
            MB_FLEET_OBSTACLE_COST) {
            add_place(step, worker,
                      mb_fleet_placement_cost(inputs, worker, run));
        }
    }
}

/* Explains the task of a run, one of `waiting` tasks of its step. */
static void
explain_task(const mb_fleet_cost_inputs_t *inputs, const mb_fleet_run_t *run,
             uint32_t waiting, mb_fleet_where_step_t *step)
{
    mb_fleet_obstacles_t obstacles = mb_fleet_find_obstacles(inputs, run);
    mb_fleet_wait_t wait = mb_fleet_find_wait(inputs, run, &obstacles);
    *step = (mb_fleet_where_step_t){
        .occurrence = run->occurrence,
        .step = run->step,
        .index = run->index,
        .waiting = waiting,
        .has_place = wait == MB_FLEET_WAIT_OTHER_TASKS,
        .reason = mb_fleet_wait_name(wait),
        .excluded = obstacles.workers[MB_FLEET_OBSTACLE_EXCLUDED],
        .unusable = obstacles.workers[MB_FLEET_OBSTACLE_UNUSABLE],
        .no_room = obstacles.workers[MB_FLEET_OBSTACLE_ROOM],
        .evacuated = obstacles.workers[MB_FLEET_OBSTACLE_EVACUATED],
        .fits = obstacles.workers[MB_FLEET_OBSTACLE_COST],
        .cost_limit = mb_fleet_placement_cost_limit(inputs, run)};
    find_places(inputs, run, step);
}

/* Counts the waiting tasks of a step of an occurrence, and sets `run` to the
   first one. */
static uint32_t
find_waiting_tasks(mb_dag_job_t *job, uint32_t occurrence, uint32_t step,
                   mb_fleet_run_t *run)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < job->steps[step].count; i++) {
        const mb_dag_task_t *task = mb_dag_task(job, occurrence, step, i);
        if (task->done || mb_fleet_task_is_running(task)) {
            continue;
        }
        if (count++ == 0) {
            *run = (mb_fleet_run_t){.job = job,
                                    .occurrence = occurrence,
                                    .step = step,
                                    .index = i};
        }
    }
    return count;
}

/* Explains the steps of an occurrence, as far as there is space for them. */
static void
explain_occurrence(const mb_fleet_cost_inputs_t *inputs, mb_dag_job_t *job,
                   uint32_t occurrence, mb_fleet_where_t *where)
{
    for (uint32_t s = 0;
         s < job->spec.step_count && where->step_count < MB_FLEET_WHERE_STEPS;
         s++) {
        mb_fleet_run_t run;
        if (mb_dag_unfinished(job, occurrence, s) == 0 ||
            !mb_dag_step_ready(job, occurrence, s)) {
            continue;
        }
        uint32_t waiting = find_waiting_tasks(job, occurrence, s, &run);
        if (waiting > 0) {
            explain_task(inputs, &run, waiting,
                         &where->steps[where->step_count++]);
        }
    }
}

/* Explains a job; see the header. */
void
mb_fleet_explain_job(mb_fleet_t *fleet, mb_dag_job_t *job,
                     mb_fleet_where_t *where)
{
    mb_fleet_cost_inputs_t inputs = mb_fleet_cost_inputs(fleet);
    *where = (mb_fleet_where_t){
        .is_late = mb_fleet_job_is_late(job, inputs.now_us),
        .jobs_before = mb_fleet_count_jobs_before(fleet, job, inputs.now_us)};
    mb_dag_open_due(job, inputs.now_us);
    for (guint i = 0;
         i < job->open->len && where->step_count < MB_FLEET_WHERE_STEPS; i++) {
        const mb_dag_occurrence_t *occurrence =
            g_ptr_array_index(job->open, i);
        if (mb_dag_due_us(job, occurrence->number) <= inputs.now_us) {
            explain_occurrence(&inputs, job, occurrence->number, where);
        }
    }
}

/* Explains a job that has not been submitted; see the header. It is in a table
   of its own, so that nothing refers to it afterwards. */
bool
mb_fleet_explain_spec(mb_fleet_t *fleet, const mb_dag_spec_t *spec,
                      mb_fleet_where_t *where)
{
    mb_dag_table_t table;
    const char *reason;
    if (!mb_dag_spec_valid(spec, &reason)) {
        return false;
    }
    mb_dag_table_init(&table);
    mb_dag_job_t *job = mb_dag_add(&table, spec);
    if (job != NULL) {
        job->arrived_us = mb_clock_us(&fleet->clock);
        job->wanted_since_us = job->arrived_us;
        job->idle_since_us = job->arrived_us;
        mb_fleet_estimate_job(fleet, job);
        mb_fleet_explain_job(fleet, job, where);
    }
    mb_dag_table_finish(&table);
    return job != NULL;
}
