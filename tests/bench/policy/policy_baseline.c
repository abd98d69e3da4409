#include "policy_schedulers.h"

/* A task that ended without success is tried again after this time. */
#define RETRY_US UINT64_C(1000000)
/* A sample above this evicts the newest batch task. */
#define EVICT_PERMILLE 150u

typedef struct waiting {
    policy_task_t *task;
    uint64_t from_us;
} waiting_t;

struct policy_baseline {
    policy_model_t *model;
    GQueue queues[2]; /* urgent, batch; waiting_t */
    mb_size_t used[POLICY_WORKERS];
};

/* Adds a task at the end of its queue. */
static void
enqueue(policy_baseline_t *baseline, policy_task_t *task, uint64_t from_us)
{
    waiting_t *waiting = g_new(waiting_t, 1);
    *waiting = (waiting_t){task, from_us};
    g_queue_push_tail(&baseline->queues[task->task_class == MB_CLASS_BATCH],
                      waiting);
}

/* Takes a new task; false when the queue is full. */
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

/* Returns a task's reservation; retries it unless it is done. */
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

/* Returns the newest batch task of a worker, NULL when there is none. */
static policy_task_t *
newest_batch(const policy_worker_t *worker)
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

/* Evicts a batch task where the service is slowed down. */
static void
take_sample(void *context, const policy_sample_t *sample)
{
    policy_baseline_t *baseline = context;
    policy_task_t *task =
        newest_batch(&baseline->model->workers[sample->worker]);
    if (sample->slowdown_permille > EVICT_PERMILLE && task != NULL) {
        policy_evict(baseline->model, task, false);
    }
}

/* Needs nothing: the worker's state is read when a task is placed. */
static void
worker_changed(void *context, uint32_t worker)
{
    (void)context;
    (void)worker;
}

/* Returns the worker with room and the least processors in use,
   POLICY_WORKERS when none has room. */
static uint32_t
least_loaded(const policy_baseline_t *baseline, const mb_size_t *size)
{
    uint32_t best = POLICY_WORKERS;
    for (uint32_t i = 0; i < POLICY_WORKERS; i++) {
        const policy_worker_t *worker = &baseline->model->workers[i];
        mb_size_t room = worker->capacity;
        mb_size_subtract(&room, &baseline->used[i]);
        if (worker->alive && mb_size_fits(size, &room) &&
            (best == POLICY_WORKERS ||
             baseline->used[i].cpu_milli < baseline->used[best].cpu_milli)) {
            best = i;
        }
    }
    return best;
}

/* Evicts batch tasks from the worker that runs most of them until an urgent
   task fits; false when there is nothing to evict. */
static bool
make_room(policy_baseline_t *baseline, const mb_size_t *size)
{
    while (least_loaded(baseline, size) == POLICY_WORKERS) {
        policy_task_t *victim = NULL;
        for (int i = 0; i < POLICY_WORKERS && victim == NULL; i++) {
            victim = newest_batch(&baseline->model->workers[i]);
        }
        if (victim == NULL) {
            return false;
        }
        policy_evict(baseline->model, victim, false);
    }
    return true;
}

/* Starts the tasks of one queue in order until the first that has no room. A
   retry that is not due yet does not hold up the tasks behind it. */
static void
serve(policy_baseline_t *baseline, GQueue *queue, bool may_evict)
{
    GList *next = queue->head;
    while (next != NULL) {
        GList *link = next;
        waiting_t *waiting = link->data;
        next = link->next;
        if (waiting->from_us > baseline->model->now_us) {
            continue;
        }
        policy_task_t *task = waiting->task;
        uint32_t worker = least_loaded(baseline, &task->size);
        if (worker == POLICY_WORKERS && may_evict &&
            make_room(baseline, &task->size)) {
            worker = least_loaded(baseline, &task->size);
        }
        if (worker == POLICY_WORKERS) {
            return;
        }
        g_queue_delete_link(queue, link);
        g_free(waiting);
        mb_size_add(&baseline->used[worker], &task->size);
        policy_start(baseline->model, task, worker);
    }
}

/* Serves urgent tasks before batch. */
static void
tick(void *context)
{
    policy_baseline_t *baseline = context;
    serve(baseline, &baseline->queues[0], true);
    serve(baseline, &baseline->queues[1], false);
}

/* Makes the baseline and lets it decide for the model. */
policy_baseline_t *
policy_baseline_new(policy_model_t *model)
{
    policy_baseline_t *baseline = g_new0(policy_baseline_t, 1);
    baseline->model = model;
    g_queue_init(&baseline->queues[0]);
    g_queue_init(&baseline->queues[1]);
    model->scheduler = (policy_scheduler_t){
        add, ended, take_sample, worker_changed, tick, baseline};
    return baseline;
}

/* Frees a waiting task. */
static void
free_waiting(void *data)
{
    waiting_t *waiting = data;
    g_free(waiting->task);
    g_free(waiting);
}

/* Frees the baseline and the tasks that wait. */
void
policy_baseline_free(policy_baseline_t *baseline)
{
    g_queue_clear_full(&baseline->queues[0], free_waiting);
    g_queue_clear_full(&baseline->queues[1], free_waiting);
    g_free(baseline);
}
