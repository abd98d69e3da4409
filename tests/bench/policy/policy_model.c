#include "policy_model.h"

#include <math.h>
#include <string.h>

/* Period of the checkpoints of a running task. */
#define CHECKPOINT_US UINT64_C(30000000)
#define GRACEFUL_STOP_US UINT64_C(1000000)
/* Time until a task on the bad worker fails. */
#define FAIL_AFTER_S 0.5
/* Period of the samples of a worker, and their delay to the scheduler. */
#define SAMPLE_US UINT64_C(1000000)
#define SAMPLE_LAG_MIN_US UINT64_C(2000000)
#define SAMPLE_LAG_SPREAD_US UINT64_C(3000000)
/* Ticks over which the share of batch tasks is averaged: 10 s. */
#define SHARE_TICKS 100
/* Run times have a heavy tail: a Pareto distribution of this shape, cut off at
   a multiple of its scale. */
#define PARETO_SHAPE 1.5
#define PARETO_MAX 100.0
/* Tasks that are drawn to measure the mean size of a batch task. */
#define MEAN_SAMPLES 20000
#define URGENT_CPU_MILLI 1000
#define URGENT_RUN_S 3.0
#define FAILURE_DOMAINS 4

/* Returns an exponential random number of mean 1. */
double
policy_model_exponential(const mb_rng_t *rng)
{
    return -log(1 - mb_rng_unit(rng));
}

/* Returns a normal random number. */
double
policy_model_normal(const mb_rng_t *rng)
{
    double radius = sqrt(2 * policy_model_exponential(rng));
    return radius * cos(2 * G_PI * mb_rng_unit(rng));
}

/* Returns whether the current time lies in the event. */
bool
policy_in_event(const policy_model_t *model)
{
    return model->now_us >= POLICY_EVENT_BEGIN_S * (uint64_t)MB_US_PER_S &&
           model->now_us < POLICY_EVENT_END_S * (uint64_t)MB_US_PER_S;
}

/* Draws the error of a declaration: a log-uniform factor from 1/4 to 4. */
static double
draw_declaration_error(policy_model_t *model)
{
    return exp2(4 * mb_rng_unit(&model->rng) - 2);
}

/* Draws the recurring jobs; every sixth is noisy. */
static void
draw_kinds(policy_model_t *model)
{
    for (int i = 0; i < POLICY_KINDS; i++) {
        policy_kind_t *kind = &model->kinds[i];
        kind->run_s = 2 + 8 * mb_rng_unit(&model->rng);
        kind->cpu_milli = 500 + 2500 * mb_rng_unit(&model->rng);
        kind->run_factor = draw_declaration_error(model);
        kind->size_factor = draw_declaration_error(model);
        kind->noisy = i % 6 == 0;
        kind->noise = kind->noisy ? 0.10 + 0.15 * mb_rng_unit(&model->rng)
                                  : 0.01 * mb_rng_unit(&model->rng);
    }
}

/* Draws a task of a random job. A declared size below the true one limits the
   task's speed. */
static policy_task_t
draw_batch(policy_model_t *model)
{
    uint32_t number = (uint32_t)mb_rng_below(&model->rng, POLICY_KINDS);
    const policy_kind_t *kind = &model->kinds[number];
    double tail = pow(1 - mb_rng_unit(&model->rng), -1 / PARETO_SHAPE);
    policy_task_t task = {.task_class = MB_CLASS_BATCH, .kind = number};
    double declared = CLAMP(kind->cpu_milli * kind->size_factor, 100, 7000);
    task.work_s = kind->run_s * MIN(tail, PARETO_MAX);
    task.size = (mb_size_t){(uint32_t)declared, (uint32_t)declared, 0};
    task.speed = MIN(1.0, declared / kind->cpu_milli);
    task.declared_ms = (uint32_t)(kind->run_s * kind->run_factor * 2000);
    return task;
}

/* Draws one urgent task. */
static policy_task_t
draw_urgent(policy_model_t *model)
{
    policy_task_t task = {.task_class = MB_CLASS_URGENT, .speed = 1};
    task.work_s = URGENT_RUN_S * (0.5 + mb_rng_unit(&model->rng));
    task.size = (mb_size_t){URGENT_CPU_MILLI, URGENT_CPU_MILLI, 0};
    task.declared_ms = (uint32_t)(URGENT_RUN_S * MB_MS_PER_S);
    return task;
}

/* Computes the mean cores times run time of the tasks of both classes. */
static void
compute_task_means(policy_model_t *model)
{
    double sum = 0;
    for (int i = 0; i < MEAN_SAMPLES; i++) {
        policy_task_t task = draw_batch(model);
        sum += task.size.cpu_milli / 1000.0 * task.work_s / task.speed;
    }
    model->mean_task_core_s[0] = sum / MEAN_SAMPLES;
    model->mean_task_core_s[1] = URGENT_CPU_MILLI / 1000.0 * URGENT_RUN_S;
}

/* Initializes a run; a scheduler sets `scheduler` before it runs. */
void
policy_model_init(policy_model_t *model, const policy_setup_t *setup)
{
    memset(model, 0, sizeof(*model));
    model->setup = *setup;
    mb_rng_seeded_init(&model->seeded, setup->seed);
    mb_rng_seeded_init(&model->request_seeded, setup->seed + 1);
    model->rng = mb_rng_from_seeded(&model->seeded);
    model->request_rng = mb_rng_from_seeded(&model->request_seeded);
    bool latency = setup->objective == MB_OBJECTIVE_LATENCY_FIRST;
    model->cores = latency ? 32 : 16;
    uint32_t reserved = setup->services ? POLICY_SLOTS : 0;
    for (uint32_t i = 0; i < POLICY_WORKERS; i++) {
        policy_worker_t *worker = &model->workers[i];
        uint32_t cores = model->cores - reserved;
        worker->capacity =
            (mb_size_t){cores * 1000, (model->cores * 3900) - reserved, 0};
        worker->failure_domain = i % (latency ? 3 : FAILURE_DOMAINS);
        worker->alive = true;
        worker->slowdown = 1;
        worker->tasks = g_ptr_array_new();
    }
    draw_kinds(model);
    compute_task_means(model);
    model->tasks_to_free = g_ptr_array_new_with_free_func(g_free);
    g_queue_init(&model->samples);
    model->latencies_ms = g_array_new(FALSE, FALSE, sizeof(float));
    model->urgent_starts_s = g_array_new(FALSE, FALSE, sizeof(float));
    model->result.batch_share_min = 1;
}

/* Frees a run. The scheduler owns and frees the tasks that still wait. */
void
policy_model_finish(policy_model_t *model)
{
    for (int i = 0; i < POLICY_WORKERS; i++) {
        g_ptr_array_set_free_func(model->workers[i].tasks, g_free);
        g_ptr_array_free(model->workers[i].tasks, TRUE);
    }
    g_ptr_array_free(model->tasks_to_free, TRUE);
    g_queue_clear_full(&model->samples, g_free);
    g_array_free(model->latencies_ms, TRUE);
    g_array_free(model->urgent_starts_s, TRUE);
}

/* Takes a task that will not run again and frees it at the end of the tick. */
void
policy_free_task_after_tick(policy_model_t *model, policy_task_t *task)
{
    g_ptr_array_add(model->tasks_to_free, task);
}

/* Starts a task on a worker and records the figures of starts. */
void
policy_start(policy_model_t *model, policy_task_t *task, uint32_t number)
{
    policy_worker_t *worker = &model->workers[number];
    task->worker = number;
    task->started_us = model->now_us;
    task->checkpoint_us = model->now_us;
    task->stop_us = 0;
    task->throttle_percent = 100;
    task->will_fail = worker->bad;
    bool warmed_up =
        model->now_us >= POLICY_WARM_UP_END_S * (uint64_t)MB_US_PER_S;
    if (task->task_class == MB_CLASS_URGENT && task->attempts == 0 &&
        warmed_up &&
        model->now_us < POLICY_EVENT_BEGIN_S * (uint64_t)MB_US_PER_S) {
        float wait_s = (float)(model->now_us - task->arrived_us) / MB_US_PER_S;
        g_array_append_val(model->urgent_starts_s, wait_s);
    }
    task->attempts++;
    if (number == POLICY_BAD_WORKER && model->setup.bad_worker) {
        model->result.bad_starts += worker->bad && !task->probe;
        model->result.bad_probes += worker->bad && task->probe;
        model->result.bad_restored =
            !worker->bad &&
            model->now_us > POLICY_EVENT_END_S * (uint64_t)MB_US_PER_S;
    }
    g_ptr_array_add(worker->tasks, task);
}

/* Removes a task from its worker and reports its end to the scheduler. */
static void
end_task(policy_model_t *model, policy_task_t *task, bool ok)
{
    g_ptr_array_remove_fast(model->workers[task->worker].tasks, task);
    model->scheduler.ended(model->scheduler.context, task, ok);
}

/* Evicts a task: gracefully after a checkpoint, or at once with the loss of
   the work since its last one. */
void
policy_evict(policy_model_t *model, policy_task_t *task, bool graceful)
{
    model->result.evictions++;
    if (graceful) {
        task->stop_us = model->now_us + GRACEFUL_STOP_US;
        return;
    }
    model->result.lost_work_s += task->done_s - task->checkpoint_work_s;
    task->done_s = task->checkpoint_work_s;
    end_task(model, task, false);
}

/* Advances a task by one tick at a share of its speed; true when it ended. */
static bool
advance_task(policy_model_t *model, policy_task_t *task, double speed)
{
    double step_s = (double)POLICY_TICK_US / MB_US_PER_S;
    uint64_t run_us = model->now_us - task->started_us;
    if (task->will_fail) {
        if (run_us < FAIL_AFTER_S * MB_US_PER_S) {
            return false;
        }
        task->done_s = task->checkpoint_work_s;
        end_task(model, task, false);
        return true;
    }
    task->done_s += step_s * task->speed * speed;
    if (task->done_s >= task->work_s) {
        if (task->task_class == MB_CLASS_BATCH && policy_in_event(model)) {
            model->batch_finished++;
        }
        end_task(model, task, true);
        return true;
    }
    bool stopped = task->stop_us != 0 && model->now_us >= task->stop_us;
    if (stopped || model->now_us - task->checkpoint_us >= CHECKPOINT_US) {
        task->checkpoint_work_s = task->done_s;
        task->checkpoint_us = model->now_us;
    }
    if (stopped) {
        end_task(model, task, false);
    }
    return stopped;
}

/* Returns the slowdown that a task adds to the service of a worker of which
   tasks use the share `load`. It grows with the square of the load. */
static double
get_noise(const policy_model_t *model, const policy_task_t *task, double load)
{
    const policy_kind_t *kind = &model->kinds[task->kind];
    if (task->task_class != MB_CLASS_BATCH) {
        return 0;
    }
    double cores = kind->cpu_milli * task->speed / 1000;
    double noise =
        kind->noise * cores / 4 * load * load * task->throttle_percent / 100;
    bool amplified = policy_in_event(model) && model->setup.noise_factor > 0;
    return kind->noisy && amplified ? noise * model->setup.noise_factor
                                    : noise;
}

/* Advances the tasks of one worker and sets its service's slowdown. */
static void
advance_worker(policy_model_t *model, policy_worker_t *worker)
{
    double used = 0;
    double noise = 0;
    for (guint i = 0; i < worker->tasks->len; i++) {
        const policy_task_t *task = g_ptr_array_index(worker->tasks, i);
        used += task->size.cpu_milli;
    }
    double load = used / worker->capacity.cpu_milli;
    for (guint i = 0; i < worker->tasks->len; i++) {
        noise += get_noise(model, g_ptr_array_index(worker->tasks, i), load);
    }

    worker->slowdown = 1 + noise;
    for (guint i = worker->tasks->len; i > 0; i--) {
        policy_task_t *task = g_ptr_array_index(worker->tasks, i - 1);
        double speed = task->throttle_percent / 100.0;
        if (task->task_class == MB_CLASS_BATCH && policy_in_event(model)) {
            double cores = model->kinds[task->kind].cpu_milli / 1000;
            model->batch_work_s += speed * task->speed * cores / 10;
        }
        (void)advance_task(model, task, speed);
    }
}

/* Samples one worker; the scheduler gets the sample later. */
static void
sample_worker(policy_model_t *model, uint32_t number)
{
    const policy_worker_t *worker = &model->workers[number];
    policy_sample_t *sample = g_new0(policy_sample_t, 1);
    sample->worker = number;
    sample->slowdown_permille = (uint32_t)(1000 * (worker->slowdown - 1));
    sample->measured_us = model->now_us;
    sample->due_us = model->now_us + SAMPLE_LAG_MIN_US +
                     mb_rng_below(&model->request_rng, SAMPLE_LAG_SPREAD_US);
    for (guint i = 0; i < worker->tasks->len; i++) {
        const policy_task_t *task = g_ptr_array_index(worker->tasks, i);
        sample->used_milli += task->size.cpu_milli;
        if (task->task_class == MB_CLASS_BATCH &&
            sample->kind_count < POLICY_SAMPLE_KINDS_MAX) {
            sample->kinds[sample->kind_count++] = task->kind;
        }
    }
    g_queue_push_tail(&model->samples, sample);
}

/* Samples all live workers once a second and delivers samples that are due. */
static void
exchange_samples(policy_model_t *model)
{
    for (uint32_t i = 0; model->now_us % SAMPLE_US == 0 && i < POLICY_WORKERS;
         i++) {
        if (model->workers[i].alive) {
            sample_worker(model, i);
        }
    }
    for (guint remaining = model->samples.length; remaining > 0; remaining--) {
        policy_sample_t *sample = g_queue_pop_head(&model->samples);
        if (sample->due_us > model->now_us) {
            g_queue_push_tail(&model->samples, sample);
            continue;
        }
        model->scheduler.sample(model->scheduler.context, sample);
        g_free(sample);
    }
}

/* Adds the tasks that arrive in this tick: urgent ones or batch ones, at a
   load relative to the processors beside the services. */
static void
add_arrivals(policy_model_t *model, int urgent, double load)
{
    double end_s = (double)(model->now_us + POLICY_TICK_US) / MB_US_PER_S;
    uint32_t reserved = model->setup.services ? POLICY_SLOTS : 0;
    double cores = (double)POLICY_WORKERS * (model->cores - reserved);
    double rate = load * cores / model->mean_task_core_s[urgent];
    double *next_s = &model->next_arrival_s[urgent];
    while (rate > 0 && *next_s < end_s) {
        policy_task_t *task = g_new(policy_task_t, 1);
        *task = urgent ? draw_urgent(model) : draw_batch(model);
        task->id = ++model->next_id;
        task->arrived_us = model->now_us;
        if (!model->scheduler.add(model->scheduler.context, task)) {
            policy_free_task_after_tick(model, task);
        }
        *next_s += policy_model_exponential(&model->rng) / rate;
    }
    *next_s = MAX(*next_s, end_s);
}

/* Lets the workers of failure domain 0 fail, with their tasks, or return. */
static void
set_domain_alive(policy_model_t *model, bool alive)
{
    for (uint32_t i = 0; i < POLICY_WORKERS; i++) {
        policy_worker_t *worker = &model->workers[i];
        if (worker->failure_domain != 0 || worker->alive == alive) {
            continue;
        }
        worker->alive = alive;
        model->scheduler.worker_changed(model->scheduler.context, i);
        while (worker->tasks->len > 0) {
            policy_task_t *task = g_ptr_array_index(worker->tasks, 0);
            task->done_s = task->checkpoint_work_s;
            end_task(model, task, false);
        }
    }
}

/* Records the share of the processors that batch tasks may use, averaged over
   10 s. A throttled task counts with its share of full speed. */
static void
record_batch_share(policy_model_t *model)
{
    double batch_milli = 0;
    double all_milli = 0;
    for (int i = 0; i < POLICY_WORKERS; i++) {
        const policy_worker_t *worker = &model->workers[i];
        all_milli += worker->capacity.cpu_milli;
        for (guint j = 0; j < worker->tasks->len; j++) {
            const policy_task_t *task = g_ptr_array_index(worker->tasks, j);
            batch_milli +=
                task->task_class == MB_CLASS_BATCH
                    ? task->size.cpu_milli * task->throttle_percent / 100
                    : 0;
        }
    }
    model->batch_share_sum += batch_milli / all_milli;
    if (++model->batch_share_ticks == SHARE_TICKS) {
        double share = model->batch_share_sum / SHARE_TICKS;
        model->result.batch_share_min =
            MIN(model->result.batch_share_min, share);
        model->batch_share_sum = 0;
        model->batch_share_ticks = 0;
    }
}

/* Orders floats for g_array_sort. */
static gint
compare_floats(gconstpointer a, gconstpointer b)
{
    float first = *(const float *)a;
    float second = *(const float *)b;
    return (first > second) - (first < second);
}

/* Sorts values and returns their 99th percentile, 0 for no values. */
static double
p99(GArray *values)
{
    g_array_sort(values, compare_floats);
    return values->len == 0
               ? 0
               : g_array_index(values, float, values->len * 99 / 100);
}

/* Sets the results that are computed at the end of a run. */
static void
set_final_results(policy_model_t *model)
{
    double window_s = POLICY_EVENT_END_S - POLICY_EVENT_BEGIN_S;
    model->result.p99_ms = p99(model->latencies_ms);
    model->result.urgent_start_p99_s = p99(model->urgent_starts_s);
    model->result.batch_tasks_per_h =
        (double)model->batch_finished * 3600 / window_s;
    model->result.batch_work_per_s = model->batch_work_s / window_s;
}

/* Simulates one tick. */
static void
run_tick(policy_model_t *model)
{
    const policy_setup_t *setup = &model->setup;
    bool event = policy_in_event(model);
    if (setup->lose_domain) {
        set_domain_alive(model, !event);
    }
    model->workers[POLICY_BAD_WORKER].bad = setup->bad_worker && event;
    add_arrivals(model, 0,
                 event && setup->flood_batch_load > 0 ? setup->flood_batch_load
                                                      : setup->batch_load);
    add_arrivals(model, 1,
                 event && setup->flood_urgent_load > 0
                     ? setup->flood_urgent_load
                     : setup->urgent_load);
    model->scheduler.tick(model->scheduler.context);
    for (int i = 0; i < POLICY_WORKERS; i++) {
        advance_worker(model, &model->workers[i]);
    }
    policy_requests_tick(model);
    exchange_samples(model);
    if (event) {
        record_batch_share(model);
    }
    g_ptr_array_set_size(model->tasks_to_free, 0);
}

/* Simulates all ticks of a run and sets its results. */
void
policy_model_run(policy_model_t *model)
{
    while (model->now_us < POLICY_END_S * (uint64_t)MB_US_PER_S) {
        run_tick(model);
        model->now_us += POLICY_TICK_US;
    }
    set_final_results(model);
}
