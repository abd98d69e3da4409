/* The exchange with the workers: leases, starts, stops, reports. */
#include "mb_assert.h"
#include "mb_shard_internal.h"

/* Returns the command of a task; empty when its job is not declared. */
static mb_str_t
command_of(const mb_shard_t *shard, mb_task_id_t id)
{
    const mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
    if (job == NULL) {
        return MB_STR_EMPTY;
    }
    return job->resource.kind == MB_RESOURCE_SERVICE
               ? mb_buf_view(&job->resource.spec.service.command)
               : mb_buf_view(&job->resource.spec.job.command);
}

/* Adds the start of a task to a request. It is sent again until the worker
   reports the task, because a request may have been lost. */
static void
add_start(mb_shard_t *shard, mb_sync_request_t *request, mb_task_id_t id,
          mb_task_t *task)
{
    if (request->start_count >= MB_SYNC_LIST_MAX) {
        return;
    }
    request->starts[request->start_count++] =
        (mb_sync_start_t){{id, task->attempt},
                          task->size,
                          command_of(shard, id),
                          mb_task_checkpoint(task)};
    task->marks |= MB_MARK_SENT;
}

/* Adds what one held task needs to a request. A stop is sent only after the
   worker has reported the task: before that, a start that is under way could
   overtake it. A start is sent only to a worker that holds a lease: when the
   request is read after that lease, the incarnation is another one and the
   start is refused. A worker without a lease would run it at any time. */
static void
add_held(mb_shard_t *shard, mb_sync_request_t *request, mb_task_id_t id,
         bool leased)
{
    mb_task_t *task = mb_task_find(&shard->tasks, id);
    bool stop = (task->marks & (MB_MARK_EVICT | MB_MARK_CANCEL)) != 0;
    if ((task->marks & MB_MARK_END_PENDING) != 0) {
        return;
    }
    if (task->state == MB_TASK_RUNNING) {
        if (stop && request->stop_count < MB_SYNC_LIST_MAX) {
            request->stops[request->stop_count++] = (mb_sync_stop_t){
                {id, task->attempt},
                mb_shard_stop_reason(shard, id) != MB_RELEASE_CANCELLED};
        }
        return;
    }
    if (stop && (task->marks & (MB_MARK_SENT | MB_MARK_INHERITED)) == 0) {
        mb_shard_queue_release(shard, id, task,
                               mb_shard_stop_reason(shard, id), MB_STR_EMPTY);
        return;
    }
    if (leased) {
        add_start(shard, request, id, task);
    }
}

/* Fills the starts, stops, throttles and acknowledgements of a request. */
static void
fill_lists(mb_shard_t *shard, mb_shard_worker_t *worker,
           mb_sync_request_t *request)
{
    for (guint i = 0; i < worker->held_tasks->len; i++) {
        add_held(shard, request,
                 g_array_index(worker->held_tasks, mb_task_id_t, i),
                 worker->leased);
    }
    for (guint i = 0;
         i < worker->orphaned->len && request->stop_count < MB_SYNC_LIST_MAX;
         i++) {
        request->stops[request->stop_count++] = (mb_sync_stop_t){
            g_array_index(worker->orphaned, mb_attempt_t, i), false};
    }
    for (guint i = 0; i < worker->throttles->len; i++) {
        request->throttles[request->throttle_count++] =
            g_array_index(worker->throttles, mb_sync_throttle_t, i);
    }
    for (guint i = 0; i < worker->acks->len; i++) {
        request->acks[request->ack_count++] =
            g_array_index(worker->acks, mb_attempt_t, i);
    }
}

/* Sends the next request to a worker. */
static void
send_sync(mb_shard_t *shard, mb_shard_worker_t *worker)
{
    uint64_t now = mb_clock_us(&shard->clock);
    mb_sync_request_t *request = &shard->request;
    request->token = shard->active_token;
    request->incarnation = worker->confirmed ? worker->incarnation : 0;
    request->start_count = 0;
    request->stop_count = 0;
    request->throttle_count = 0;
    request->ack_count = 0;
    request->lease_ms =
        worker->unresponsive ? 0 : shard->config.worker_lease_ms;
    if (worker->confirmed && !worker->unresponsive) {
        fill_lists(shard, worker, request);
    }
    if (!worker->unresponsive) {
        /* A paused worker may read it as late as its lease lasts. */
        worker->lease_expiry_us += mb_shard_max_grant_us(shard);
    }
    worker->sync_grants_lease = !worker->unresponsive;
    worker->sync_in_flight = true;
    worker->sent_token = shard->active_token;
    worker->next_sync_us =
        now + (uint64_t)shard->config.sync_period_ms * MB_US_PER_MS;
    shard->callbacks.sync(shard->callbacks.context, worker->key,
                          mb_buf_view(&worker->resource.spec.worker.address),
                          request);
}

/* Requeues the tasks of a worker whose lease has certainly expired. */
static void
declare_lost(mb_shard_t *shard, mb_shard_worker_t *worker)
{
    for (guint i = 0; i < worker->held_tasks->len; i++) {
        mb_task_id_t id = g_array_index(worker->held_tasks, mb_task_id_t, i);
        mb_task_t *task = mb_task_find(&shard->tasks, id);
        if ((task->marks & MB_MARK_END_PENDING) == 0) {
            bool cancel = (task->marks & MB_MARK_CANCEL) != 0;
            mb_shard_queue_release(shard, id, task,
                                   cancel ? mb_shard_stop_reason(shard, id)
                                          : MB_RELEASE_WORKER_LOST,
                                   MB_STR_EMPTY);
        }
    }
    worker->confirmed = false;
    worker->leased = false;
    worker->incarnation = 0;
    mb_shard_worker_update_eligibility(shard, worker);
}

/* Does what is due for one worker. */
static void
worker_tick(mb_shard_t *shard, mb_shard_worker_t *worker, uint64_t now)
{
    if (worker->held_tasks->len > 0 && now >= worker->lease_expiry_us &&
        mb_shard_phase(shard) == MB_LEASE_OWNER) {
        declare_lost(shard, worker);
    }
    if (!worker->sync_in_flight && now >= worker->next_sync_us &&
        (worker->declared || worker->held_tasks->len > 0)) {
        send_sync(shard, worker);
    }
    mb_shard_worker_reschedule(worker);
}

/* Does what is due for the workers; returns when something is due again. A
   worker whose lost tasks wait for the log stays due and is looked at once in
   a tick. */
uint64_t
mb_shard_tick_workers(mb_shard_t *shard)
{
    uint64_t now = mb_clock_us(&shard->clock);
    uint64_t next = UINT64_MAX;
    GSequenceIter *iter =
        g_sequence_get_begin_iter(shard->workers_by_due_time);
    while (!g_sequence_iter_is_end(iter)) {
        mb_shard_worker_t *worker = g_sequence_get(iter);
        if (worker->due_us > now) {
            next = MIN(next, worker->due_us);
            break;
        }
        iter = g_sequence_iter_next(iter);
        worker_tick(shard, worker, now);
        next = MIN(next, MAX(worker->due_us, now + MB_US_PER_MS));
    }
    return next;
}

/* Appends to a bounded list; an item that does not fit is reported again by
   the worker. */
static void
add_attempt(GArray *list, const mb_attempt_t *id)
{
    if (list->len < MB_SYNC_LIST_MAX) {
        (void)g_array_append_val(list, *id);
    }
}

/* Returns the task when this attempt of it is assigned to the worker. */
static mb_task_t *
find_held(const mb_shard_t *shard, const mb_shard_worker_t *worker,
          const mb_attempt_t *id)
{
    mb_task_t *task = mb_task_find(&shard->tasks, id->task);
    if (task == NULL || !mb_task_is_held(task) ||
        task->attempt != id->attempt || task->worker != worker->key) {
        return NULL;
    }
    return task;
}

/* Takes a running attempt; one that is not assigned there is stopped. */
static void
take_running(mb_shard_t *shard, mb_shard_worker_t *worker,
             const mb_attempt_t *id)
{
    mb_task_t *task = find_held(shard, worker, id);
    if (task == NULL) {
        add_attempt(worker->orphaned, id);
        return;
    }
    task->marks |= MB_MARK_REPORTED;
    task->marks &= (uint8_t)~MB_MARK_INHERITED;
    if ((task->marks & MB_MARK_END_PENDING) == 0) {
        task->marks |= MB_MARK_SENT;
        mb_task_set_state(mb_task_job(&shard->tasks, id->task.job), task,
                          MB_TASK_RUNNING);
    }
}

/* Returns what an exit means for the task. */
static mb_task_result_t
result_of(const mb_shard_t *shard, mb_task_id_t id, const mb_task_t *task,
          uint32_t exit_code)
{
    const mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
    if (job != NULL && job->resource.kind == MB_RESOURCE_SERVICE) {
        return MB_RESULT_RETRY;
    }
    if (exit_code == 0) {
        return MB_RESULT_DONE;
    }
    uint32_t max = job == NULL ? 0 : job->resource.spec.job.max_failures;
    return (uint32_t)task->failures + 1 >= max ? MB_RESULT_FAILED
                                               : MB_RESULT_RETRY;
}

/* Takes a finished attempt: queues its record, or acknowledges it when the
   log already has it. */
static void
take_finished(mb_shard_t *shard, mb_shard_worker_t *worker,
              const mb_sync_finished_t *finished)
{
    mb_task_id_t id = finished->id.task;
    mb_task_t *task = find_held(shard, worker, &finished->id);
    /* A result of an attempt that was never sent is left over from a deleted
       job of the same name. */
    if (task == NULL ||
        (task->marks & (MB_MARK_SENT | MB_MARK_INHERITED)) == 0) {
        add_attempt(worker->acks, &finished->id);
        return;
    }
    task->marks |= MB_MARK_REPORTED;
    if ((task->marks & MB_MARK_END_PENDING) != 0) {
        return;
    }
    if (finished->exit_code == MB_EXIT_STOPPED) {
        mb_shard_queue_release(shard, id, task,
                               mb_shard_stop_reason(shard, id),
                               finished->checkpoint);
        return;
    }
    mb_shard_policy_handle_exit(shard, worker, id, finished->exit_code);
    if (shard->callbacks.exited != NULL) {
        shard->callbacks.exited(shard->callbacks.context, worker->key,
                                finished->exit_code);
    }
    mb_finish_t finish = {id, task->attempt,
                          result_of(shard, id, task, finished->exit_code)};
    task->marks |= MB_MARK_END_PENDING;
    mb_shard_queue_finish(shard, &finish);
}

/* Tells whether a task that the worker did not list is certainly not there.
   A start that was never sent, or sent and not yet seen by the same
   incarnation, may still arrive. */
static bool
is_gone(const mb_task_t *task, bool first, bool restarted)
{
    if ((task->marks & (MB_MARK_REPORTED | MB_MARK_END_PENDING)) != 0) {
        return false;
    }
    if (first) {
        return (task->marks & (MB_MARK_INHERITED | MB_MARK_SENT)) != 0;
    }
    if (restarted) {
        return (task->marks & MB_MARK_SENT) != 0;
    }
    return task->state == MB_TASK_RUNNING;
}

/* Requeues the held tasks that the worker no longer has. */
static void
release_gone(mb_shard_t *shard, mb_shard_worker_t *worker, bool complete,
             bool first, bool restarted)
{
    for (guint i = 0; i < worker->held_tasks->len; i++) {
        mb_task_id_t id = g_array_index(worker->held_tasks, mb_task_id_t, i);
        mb_task_t *task = mb_task_find(&shard->tasks, id);
        if (complete && is_gone(task, first, restarted)) {
            bool cancel = (task->marks & MB_MARK_CANCEL) != 0;
            mb_release_reason_t reason = first || restarted
                                             ? MB_RELEASE_WORKER_RESTARTED
                                             : MB_RELEASE_NOT_STARTED;
            mb_shard_queue_release(shard, id, task,
                                   cancel ? mb_shard_stop_reason(shard, id)
                                          : reason,
                                   MB_STR_EMPTY);
        }
        task->marks &= (uint8_t)~MB_MARK_REPORTED;
    }
}

/* Takes the lists of an answer. */
static void
take_lists(mb_shard_t *shard, mb_shard_worker_t *worker,
           const mb_sync_response_t *response)
{
    g_array_set_size(worker->acks, 0);
    g_array_set_size(worker->orphaned, 0);
    g_array_set_size(worker->throttles, 0);
    for (uint32_t i = 0; i < response->running_count; i++) {
        take_running(shard, worker, &response->running[i]);
    }
    for (uint32_t i = 0; i < response->finished_count; i++) {
        take_finished(shard, worker, &response->finished[i]);
    }
    for (uint32_t i = 0; i < response->usage_count; i++) {
        mb_shard_slowdown_handle_usage(shard, worker, &response->usage[i]);
        if (shard->callbacks.usage != NULL) {
            shard->callbacks.usage(shard->callbacks.context, worker->key,
                                   &response->usage[i]);
        }
    }
}

/* Takes the answer of a worker. An answer to an earlier token, and one of a
   worker that has seen a newer token, change nothing. */
void
mb_shard_handle_sync_response(mb_shard_t *shard, uint64_t key,
                              const mb_sync_response_t *response)
{
    mb_shard_worker_t *worker = mb_shard_worker_find(shard, key);
    if (worker == NULL) {
        return;
    }
    worker->sync_in_flight = false;
    mb_shard_worker_reschedule(worker);
    if (!shard->active || worker->sent_token != shard->active_token ||
        response->highest_token != shard->active_token ||
        mb_shard_phase(shard) == MB_LEASE_FOLLOWER) {
        return;
    }
    bool first = !worker->confirmed;
    bool restarted = !first && worker->incarnation != response->incarnation;
    bool was_leased = worker->leased;
    worker->leased = worker->sync_grants_lease;
    worker->confirmed = true;
    worker->unresponsive = false;
    worker->incarnation = response->incarnation;
    worker->lease_expiry_us =
        mb_clock_us(&shard->clock) + mb_shard_max_grant_us(shard);
    take_lists(shard, worker, response);
    /* A full list may have been cut: a task missing there is not gone. */
    bool complete = response->running_count < MB_SYNC_LIST_MAX &&
                    response->finished_count < MB_SYNC_LIST_MAX;
    release_gone(shard, worker, complete, first, restarted);
    if (first || restarted || !was_leased) {
        /* Commands and grants were held back until now. */
        worker->next_sync_us = 0;
        shard->schedule_needed = true;
        shard->schedule_urgent = true;
    }
    if (restarted) {
        mb_shard_slowdown_reset(shard, worker);
    }
    mb_shard_slowdown_decide(shard, worker);
    /* Also when only time has passed: a suspended worker may be probed. */
    mb_shard_worker_update_eligibility(shard, worker);
    mb_shard_worker_reschedule(worker);
}

/* Takes the failure of an exchange: refused, timed out or not decoded. From
   then on the worker gets probes that grant nothing, until it answers one, so
   that at most one grant is ever unanswered and the time of the certain
   expiry is known. */
void
mb_shard_handle_sync_failure(mb_shard_t *shard, uint64_t key)
{
    mb_shard_worker_t *worker = mb_shard_worker_find(shard, key);
    if (worker == NULL) {
        return;
    }
    worker->sync_in_flight = false;
    if (shard->active && worker->sent_token == shard->active_token) {
        worker->unresponsive = true;
        worker->leased = false;
        mb_shard_worker_update_eligibility(shard, worker);
    }
    mb_shard_worker_reschedule(worker);
}
