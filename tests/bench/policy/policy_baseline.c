#include "policy_schedulers.h"

/* Delay before a task that did not complete is started again. */
#define RETRY_US UINT64_C(1000000)
/* A sample with a slowdown above this evicts a batch task of its worker. */
#define EVICT_PERMILLE 150u

typedef struct queued_task {
    policy_task_t *task;
    uint64_t earliest_us; /* of its start */
} queued_task_t;

struct policy_baseline {
    policy_model_t *model;
    GQueue queues[2]; /* of queued_task_t: urgent tasks, batch tasks */
    mb_size_t used[POLICY_WORKERS]; /* declared sizes of running tasks */
};

/* Appends a task to the queue of its class; it starts at `earliest_us` or
   later. */
static void
enqueue(policy_baseline_t *baseline, policy_task_t *task, uint64_t earliest_us)
{
    queued_task_t *queued = g_new(queued_task_t, 1);
    *queued = (queued_task_t){task, earliest_us};
    g_queue_push_tail(&baseline->queues[task->task_class == MB_CLASS_BATCH],
                      queued);
}

/* Queues a task that arrived; false when the queue of its class is full. */
static bool
add(void *context, policy_task_t *task)
{
    policy_baseline_t *baseline = context;
    GQueue *queue = &baseline->queues[task->task_class == MB_CLASS_BATCH];
    if (queue->length >= POLICY_QUEUE_MAX) {
        return false;
    }
    enqueue(baseline, task, baseline->model->now_us);
    return true;
}

/* Releases what a task reserved, and queues it again unless it completed. */
static void
ended(void *context, policy_task_t *task, bool ok)
{
    policy_baseline_t *baseline = context;
    mb_size_subtract(&baseline->used[task->worker], &task->size);
    if (ok) {
        policy_free_task_after_tick(baseline->model, task);
    }
    else {
        enqueue(baseline, task, baseline->model->now_us + RETRY_US);
    }
}

/* Returns the batch task of a worker that started last, NULL when there is
   none. */
static policy_task_t *
find_newest_batch_task(const policy_worker_t *worker)
{
    policy_task_t *newest = NULL;
    for (guint i = 0; i < worker->tasks->len; i++) {
        policy_task_t *task = g_ptr_array_index(worker->tasks, i);
        if (task->task_class == MB_CLASS_BATCH &&
            (newest == NULL || task->started_us > newest->started_us)) {
            newest = task;
        }
    }
    return newest;
}

/* Evicts a batch task from a worker whose service is too slow. */
static void
handle_sample(void *context, const policy_sample_t *sample)
{
    policy_baseline_t *baseline = context;
    policy_task_t *task =
        find_newest_batch_task(&baseline->model->workers[sample->worker]);
    if (sample->slowdown_permille > EVICT_PERMILLE && task != NULL) {
        policy_evict(baseline->model, task, false);
    }
}

/* Does nothing: the worker's state is read when a task is placed. */
static void
worker_changed(void *context, uint32_t worker)
{
    (void)context;
    (void)worker;
}

/* Returns the live worker with the least processors in use on which a task
   fits, POLICY_WORKERS when it fits on none. */
static uint32_t
find_least_loaded(const policy_baseline_t *baseline, const mb_size_t *size)
{
    uint32_t best = POLICY_WORKERS;
    for (uint32_t i = 0; i < POLICY_WORKERS; i++) {
        const policy_worker_t *worker = &baseline->model->workers[i];
        mb_size_t available = worker->capacity;
        mb_size_subtract(&available, &baseline->used[i]);
        if (worker->alive && mb_size_fits(size, &available) &&
            (best == POLICY_WORKERS ||
             baseline->used[i].cpu_milli < baseline->used[best].cpu_milli)) {
            best = i;
        }
    }
    return best;
}

/* Evicts batch tasks, each from the first worker that runs one, until an
   urgent task fits; false when it does not fit and no batch task is left. */
static bool
evict_until_fits(policy_baseline_t *baseline, const mb_size_t *size)
{
    while (find_least_loaded(baseline, size) == POLICY_WORKERS) {
        policy_task_t *victim = NULL;
        for (int i = 0; i < POLICY_WORKERS && victim == NULL; i++) {
            victim = find_newest_batch_task(&baseline->model->workers[i]);
        }
        if (victim == NULL) {
            return false;
        }
        policy_evict(baseline->model, victim, false);
    }
    return true;
}

/* Starts the tasks of one queue in order until the first that does not fit. A
   retry that is not due yet is skipped and does not block those behind it. */
static void
start_queued_tasks(policy_baseline_t *baseline, GQueue *queue, bool may_evict)
{
    GList *next = queue->head;
    while (next != NULL) {
        GList *link = next;
        queued_task_t *queued = link->data;
        next = link->next;
        if (queued->earliest_us > baseline->model->now_us) {
            continue;
        }
        policy_task_t *task = queued->task;
        uint32_t worker = find_least_loaded(baseline, &task->size);
        if (worker == POLICY_WORKERS && may_evict &&
            evict_until_fits(baseline, &task->size)) {
            worker = find_least_loaded(baseline, &task->size);
        }
        if (worker == POLICY_WORKERS) {
            return;
        }
        g_queue_delete_link(queue, link);
        g_free(queued);
        mb_size_add(&baseline->used[worker], &task->size);
        policy_start(baseline->model, task, worker);
    }
}

/* Starts urgent tasks, which may evict batch tasks, then batch tasks. */
static void
tick(void *context)
{
    policy_baseline_t *baseline = context;
    start_queued_tasks(baseline, &baseline->queues[0], true);
    start_queued_tasks(baseline, &baseline->queues[1], false);
}

/* Creates the baseline and connects it to the model. */
policy_baseline_t *
policy_baseline_new(policy_model_t *model)
{
    policy_baseline_t *baseline = g_new0(policy_baseline_t, 1);
    baseline->model = model;
    g_queue_init(&baseline->queues[0]);
    g_queue_init(&baseline->queues[1]);
    model->scheduler = (policy_scheduler_t){
        add, ended, handle_sample, worker_changed, tick, baseline};
    return baseline;
}

/* Frees an entry of a queue with its task. */
static void
free_queued_task(void *data)
{
    queued_task_t *queued = data;
    g_free(queued->task);
    g_free(queued);
}

/* Frees the baseline and the waiting tasks; the model frees running ones. */
void
policy_baseline_free(policy_baseline_t *baseline)
{
    g_queue_clear_full(&baseline->queues[0], free_queued_task);
    g_queue_clear_full(&baseline->queues[1], free_queued_task);
    g_free(baseline);
}
