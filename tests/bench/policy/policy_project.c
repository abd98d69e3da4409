#include "mb_cleanup.h"
#include "mb_dispatch.h"
#include "mb_health.h"
#include "mb_sizing.h"
#include "mb_slowdown.h"
#include "policy_schedulers.h"

/* The kind of all services in the slowdown model. */
#define SERVICE_KIND (MB_SLOWDOWN_KINDS - 1)

/* Share of the processors that throttling leaves to batch tasks: their
   minimum, and a margin because samples are late. */
#define BATCH_SHARE_KEPT_PERCENT (POLICY_BATCH_MIN_PERCENT + 2)

struct policy_project {
    policy_model_t *model;
    mb_rng_seeded_t seeded;
    mb_rng_t rng;
    mb_placement_t *placement;
    mb_quota_t *quota;
    mb_dispatch_t *dispatch;
    mb_slowdown_t slowdown;
    mb_sizing_t sizing;
    mb_health_t health[POLICY_WORKERS];
    mb_slowdown_controller_t controllers[POLICY_WORKERS];
    mb_team_id_t teams[2]; /* own the jobs in turn */
    GHashTable *tasks;     /* &task->id -> task that waits or runs */
    mb_size_t capacity;    /* of all workers */
};

/* Sets whether the placement may choose a worker: it is alive, and its health
   allows a start. */
static void
update_eligible(policy_project_t *project, uint32_t worker)
{
    bool alive = project->model->workers[worker].alive;
    mb_placement_set_eligible(
        project->placement, worker,
        alive && mb_health_allows_start(&project->health[worker],
                                        project->model->now_us));
}

/* Returns a task as the dispatch module takes it. All urgent tasks share one
   estimate of the run time, that of kind 1000. */
static mb_dispatch_task_t
make_dispatch_task(const policy_project_t *project, const policy_task_t *task)
{
    uint64_t kind = task->task_class == MB_CLASS_BATCH ? task->kind + 1 : 1000;
    return (mb_dispatch_task_t){
        .id = task->id,
        .place = {.size = task->size, .task_class = task->task_class},
        .team = project->teams[task->kind % 2],
        .expected_ms = mb_sizing_estimate_run_ms(&project->sizing, kind,
                                                 task->declared_ms),
    };
}

/* Queues a task that arrived; false when the queue of its class is full or the
   dispatch refuses it. */
static bool
add(void *context, policy_task_t *task)
{
    policy_project_t *project = context;
    mb_dispatch_task_t dispatch_task = make_dispatch_task(project, task);
    if (mb_dispatch_waiting_count(project->dispatch, task->task_class) >=
            POLICY_QUEUE_MAX ||
        !mb_dispatch_add(project->dispatch, &dispatch_task,
                         project->model->now_us)) {
        return false;
    }
    g_hash_table_insert(project->tasks, &task->id, task);
    return true;
}

/* Removes a task that will not run again; it is freed after the tick. */
static void
remove_task(policy_project_t *project, policy_task_t *task)
{
    g_hash_table_remove(project->tasks, &task->id);
    policy_free_task_after_tick(project->model, task);
}

/* Starts a task where the dispatch placed it; the start on a suspended worker
   is a probe. */
static void
on_start(void *context, uint64_t id, mb_worker_id_t worker)
{
    policy_project_t *project = context;
    policy_task_t *task = g_hash_table_lookup(project->tasks, &id);
    task->probe = project->health[worker].state == MB_HEALTH_SUSPENDED;
    mb_health_started(&project->health[worker], project->model->now_us);
    update_eligible(project, worker);
    policy_start(project->model, task, worker);
}

/* Evicts a task gracefully, with a checkpoint. */
static void
on_evict(void *context, uint64_t id, mb_worker_id_t worker)
{
    policy_project_t *project = context;
    (void)worker;
    policy_evict(project->model, g_hash_table_lookup(project->tasks, &id),
                 true);
}

/* Removes a task that can never run. */
static void
on_unschedulable(void *context, uint64_t id,
                 mb_dispatch_unschedulable_t reason)
{
    policy_project_t *project = context;
    (void)reason;
    remove_task(project, g_hash_table_lookup(project->tasks, &id));
}

/* Updates health and run time estimates at the end of a task, and queues the
   task again unless it completed. */
static void
ended(void *context, policy_task_t *task, bool ok)
{
    policy_project_t *project = context;
    uint64_t now_us = project->model->now_us;
    mb_health_t *health = &project->health[task->worker];
    (void)mb_dispatch_task_ended(project->dispatch, task->id);
    if (ok) {
        mb_health_succeeded(health, task->started_us);
        if (task->task_class == MB_CLASS_BATCH) {
            uint64_t run_us = now_us - task->started_us;
            mb_sizing_observe_run_time(&project->sizing, task->kind + 1,
                                       task->declared_ms,
                                       (uint32_t)(run_us / MB_US_PER_MS));
        }
        remove_task(project, task);
        return;
    }
    if (task->will_fail) {
        mb_health_failed(health, task->started_us, now_us);
    }
    mb_dispatch_task_t dispatch_task = make_dispatch_task(project, task);
    if (!mb_dispatch_add(project->dispatch, &dispatch_task, now_us)) {
        remove_task(project, task);
    }
}

/* Returns the estimated slowdown that a batch task adds to the service. */
static uint32_t
predict_slowdown(const policy_project_t *project, const policy_task_t *task,
                 uint32_t level)
{
    mb_slowdown_colocation_t colocation = {
        SERVICE_KIND, level, {task->kind}, 1};
    return mb_slowdown_predict(&project->slowdown, &colocation,
                               project->model->now_us);
}

/* Returns the share of all processors that batch tasks would have with those
   of one worker throttled to at most `throttle_percent` of full speed. */
static double
get_batch_share(const policy_project_t *project, uint32_t number,
                uint32_t throttle_percent)
{
    double batch_milli = 0;
    for (uint32_t i = 0; i < POLICY_WORKERS; i++) {
        const policy_worker_t *worker = &project->model->workers[i];
        for (guint j = 0; j < worker->tasks->len; j++) {
            const policy_task_t *task = g_ptr_array_index(worker->tasks, j);
            uint32_t speed =
                i == number ? MIN(throttle_percent, task->throttle_percent)
                            : task->throttle_percent;
            batch_milli += task->task_class == MB_CLASS_BATCH
                               ? (double)task->size.cpu_milli * speed / 100
                               : 0;
        }
    }
    return batch_milli / project->capacity.cpu_milli;
}

/* Throttles the batch tasks of a worker that slow down the service most, as
   far as its controller says; the others run at full speed. */
static void
throttle(policy_project_t *project, uint32_t number, uint32_t level)
{
    const GPtrArray *tasks = project->model->workers[number].tasks;
    uint32_t throttle_percent =
        mb_slowdown_throttle_percent(&project->controllers[number]);
    uint32_t worst = 0;
    for (guint i = 0; i < tasks->len; i++) {
        const policy_task_t *task = g_ptr_array_index(tasks, i);
        if (task->task_class == MB_CLASS_BATCH) {
            worst = MAX(worst, predict_slowdown(project, task, level));
        }
    }
    for (guint i = 0; i < tasks->len; i++) {
        policy_task_t *task = g_ptr_array_index(tasks, i);
        bool throttled = task->task_class == MB_CLASS_BATCH &&
                         mb_slowdown_should_throttle(
                             predict_slowdown(project, task, level), worst);
        task->throttle_percent = throttled ? throttle_percent : 100;
    }
}

/* Evicts one task of a worker, selected by the slowdown that it adds and the
   work since its last checkpoint. */
static void
evict_one(policy_project_t *project, uint32_t number, uint32_t level)
{
    const GPtrArray *tasks = project->model->workers[number].tasks;
    mb_slowdown_candidate_t candidates[64] = {0};
    policy_task_t *candidate_tasks[G_N_ELEMENTS(candidates)];
    uint64_t now_us = project->model->now_us;
    uint32_t count = 0;
    for (guint i = 0; i < tasks->len && count < G_N_ELEMENTS(candidate_tasks);
         i++) {
        policy_task_t *task = g_ptr_array_index(tasks, i);
        if (task->stop_us != 0 ||
            !mb_dispatch_may_evict(project->dispatch, task->id)) {
            continue;
        }
        candidate_tasks[count] = task;
        candidates[count++] =
            (mb_slowdown_candidate_t){now_us - task->checkpoint_us,
                                      predict_slowdown(project, task, level)};
    }
    uint32_t best = mb_slowdown_choose_eviction(candidates, count);
    if (best < count) {
        policy_evict(project->model, candidate_tasks[best], true);
    }
}

/* Updates the slowdown model from a sample and throttles or evicts batch tasks
   of its worker. */
static void
handle_sample(void *context, const policy_sample_t *sample)
{
    policy_project_t *project = context;
    uint64_t now_us = project->model->now_us;
    policy_worker_t *worker = &project->model->workers[sample->worker];
    mb_slowdown_colocation_t colocation = {
        .victim = SERVICE_KIND,
        .level = mb_slowdown_load_level(sample->used_milli,
                                        worker->capacity.cpu_milli),
        .corunner_count = sample->kind_count};
    for (uint32_t i = 0; i < sample->kind_count; i++) {
        colocation.corunners[i] = sample->kinds[i];
    }
    mb_slowdown_observe(&project->slowdown, &colocation,
                        sample->slowdown_permille,
                        now_us - sample->measured_us, now_us);
    mb_placement_set_slowdown(project->placement, sample->worker,
                              MIN(sample->slowdown_permille, 1000u));
    mb_slowdown_controller_t *controller =
        &project->controllers[sample->worker];
    uint32_t next = mb_slowdown_next_throttle_percent(controller);
    mb_slowdown_input_t input = {
        .slowdown_permille = sample->slowdown_permille,
        .measured_us = sample->measured_us,
        .may_evict = true,
        .may_throttle = get_batch_share(project, sample->worker, next) * 100 >=
                        BATCH_SHARE_KEPT_PERCENT,
    };
    mb_slowdown_action_t action =
        mb_slowdown_decide(controller, &input, now_us);
    if (action == MB_SLOWDOWN_ACTION_EVICT) {
        evict_one(project, sample->worker, colocation.level);
    }
    throttle(project, sample->worker, colocation.level);
}

/* Resets the controller and health of a worker that failed or returned. */
static void
worker_changed(void *context, uint32_t worker)
{
    policy_project_t *project = context;
    mb_slowdown_controller_init(&project->controllers[worker]);
    mb_health_init(&project->health[worker]);
    update_eligible(project, worker);
}

/* Returns the processors that tasks on a worker reserve, in thousandths. */
static uint32_t
get_used_milli(const policy_project_t *project, uint32_t number)
{
    mb_size_t available = mb_placement_available(project->placement, number);
    return project->model->workers[number].capacity.cpu_milli -
           available.cpu_milli;
}

/* Relaxes throttling, worker by worker, while batch tasks have less than the
   share that is kept for them. */
static void
relax_throttling(policy_project_t *project)
{
    uint64_t now_us = project->model->now_us;
    for (uint32_t i = 0; i < POLICY_WORKERS; i++) {
        const policy_worker_t *worker = &project->model->workers[i];
        if (get_batch_share(project, i, 100) * 100 <
                BATCH_SHARE_KEPT_PERCENT &&
            mb_slowdown_relax(&project->controllers[i], now_us)) {
            throttle(project, i,
                     mb_slowdown_load_level(get_used_milli(project, i),
                                            worker->capacity.cpu_milli));
        }
    }
}

/* Starts the waiting tasks that fit. */
static void
tick(void *context)
{
    policy_project_t *project = context;
    for (uint32_t i = 0; i < POLICY_WORKERS; i++) {
        update_eligible(project, i);
    }
    (void)mb_dispatch_run(project->dispatch, project->model->now_us);
    relax_throttling(project);
}

/* Adds the model's workers to the placement, three per rack. */
static void
add_workers(policy_project_t *project)
{
    for (uint32_t i = 0; i < POLICY_WORKERS; i++) {
        MB_AUTO_BUF mb_buf_t name = {0};
        mb_buf_printf(&name, "w%u", i);
        mb_resource_t worker;
        mb_resource_init(&worker, MB_RESOURCE_WORKER, mb_buf_view(&name));
        mb_buf_printf(&worker.spec.worker.failure_domain, "d%u",
                      project->model->workers[i].failure_domain);
        mb_buf_printf(&worker.spec.worker.rack, "k%u", i / 3);
        worker.spec.worker.capacity = project->model->workers[i].capacity;
        mb_size_add(&project->capacity, &worker.spec.worker.capacity);
        (void)mb_placement_set_worker(project->placement, &worker);
        mb_resource_finish(&worker);
        mb_health_init(&project->health[i]);
        mb_slowdown_controller_init(&project->controllers[i]);
    }
}

/* Creates the project's modules and connects them to the model. */
policy_project_t *
policy_project_new(policy_model_t *model)
{
    policy_project_t *project = g_new0(policy_project_t, 1);
    project->model = model;
    mb_rng_seeded_init(&project->seeded, model->setup.seed);
    project->rng = mb_rng_from_seeded(&project->seeded);
    project->placement = mb_placement_new(&project->rng);
    mb_placement_set_objective(project->placement, model->setup.objective);
    project->quota = mb_quota_new();
    add_workers(project);
    mb_quota_set_capacity(project->quota, &project->capacity);
    mb_team_t team = {{UINT32_MAX, UINT32_MAX, 0}, 1};
    project->teams[0] =
        mb_quota_set_team(project->quota, MB_STR_LIT("a"), &team);
    project->teams[1] =
        mb_quota_set_team(project->quota, MB_STR_LIT("b"), &team);
    mb_dispatch_callbacks_t events = {on_start, on_evict, on_unschedulable,
                                      project};
    project->dispatch =
        mb_dispatch_new(project->placement, project->quota, &events);
    mb_policy_t policy = {model->setup.objective, POLICY_BATCH_MIN_PERCENT};
    mb_dispatch_set_policy(project->dispatch, &policy, &project->capacity);
    mb_slowdown_init(&project->slowdown);
    mb_sizing_init(&project->sizing);
    project->tasks = g_hash_table_new(g_int64_hash, g_int64_equal);
    model->scheduler = (policy_scheduler_t){
        add, ended, handle_sample, worker_changed, tick, project};
    return project;
}

/* Frees the modules and the waiting tasks; the model frees running ones. */
void
policy_project_free(policy_project_t *project)
{
    for (int i = 0; i < POLICY_WORKERS; i++) {
        const GPtrArray *tasks = project->model->workers[i].tasks;
        for (guint j = 0; j < tasks->len; j++) {
            const policy_task_t *task = g_ptr_array_index(tasks, j);
            g_hash_table_remove(project->tasks, &task->id);
        }
    }
    GHashTableIter iter;
    void *waiting = NULL;
    g_hash_table_iter_init(&iter, project->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &waiting)) {
        g_hash_table_iter_steal(&iter);
        g_free(waiting);
    }
    g_hash_table_destroy(project->tasks);
    mb_dispatch_free(project->dispatch);
    mb_quota_free(project->quota);
    mb_placement_free(project->placement);
    mb_slowdown_finish(&project->slowdown);
    mb_sizing_finish(&project->sizing);
    g_free(project);
}
