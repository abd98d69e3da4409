/* The sync exchange with the workers. A request grants a lease and carries
   starts, stops, throttles and acknowledgements; the response reports the
   running and finished attempts. */
#include "mb_assert.h"
#include "mb_shard_internal.h"

/* Returns the command of a task; empty if its job is not declared. */
static mb_str_t
get_task_command(const mb_shard_t *shard, mb_task_id_t id)
{
    const mb_shard_job_t *job = mb_shard_job_find(shard, id.job);
    if (job == NULL) {
        return MB_STR_EMPTY;
    }
    return job->resource.kind == MB_RESOURCE_SERVICE
               ? mb_buf_view(&job->resource.spec.service.command)
               : mb_buf_view(&job->resource.spec.job.command);
}

/* Adds the start of a task to a request. Because a request may be lost, the
   start is repeated in each request until the worker reports the task. */
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
                          get_task_command(shard, id),
                          mb_task_checkpoint(task)};
    task->marks |= MB_MARK_SENT;
}

/* Adds the start or stop of one held task to a request, if it needs one.

   A stop is sent only after the worker has reported the task. Before that, a
   delayed request could still deliver the start after the stop.

   A start is sent only to a worker that holds a lease. If the worker reads the
   request after that lease has expired, its incarnation has changed and it
   refuses the start. A worker without a lease would accept the start however
   late it arrives.

   A task that is to be stopped and whose start was never sent is released
   without the worker. */
static void
add_task_to_request(mb_shard_t *shard, mb_sync_request_t *request,
                    mb_task_id_t id, bool leased)
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
fill_request_lists(mb_shard_t *shard, mb_shard_worker_t *worker,
                   mb_sync_request_t *request)
{
    for (guint i = 0; i < worker->held_tasks->len; i++) {
        add_task_to_request(shard, request,
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

/* Sends the next request to a worker. A worker that has not responded under
   the present token gets a request without lists, and an unresponsive worker
   gets a probe that does not extend its lease. */
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
        fill_request_lists(shard, worker, request);
    }
    if (!worker->unresponsive) {
        /* A paused worker may read the request, and thus extend its lease, as
           late as the end of the lease that it holds. */
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

/* Releases all tasks of a worker whose lease has expired for certain, so that
   they are requeued or, if cancelled, end. */
static void
release_lost_tasks(mb_shard_t *shard, mb_shard_worker_t *worker)
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

/* Performs what is due for one worker: releases its tasks if its lease has
   expired for certain, and sends a request. In the phase MB_LEASE_GRACE only
   requests are sent, because only the owner may release tasks. */
static void
tick_worker(mb_shard_t *shard, mb_shard_worker_t *worker, uint64_t now)
{
    if (worker->held_tasks->len > 0 && now >= worker->lease_expiry_us &&
        mb_shard_phase(shard) == MB_LEASE_OWNER) {
        release_lost_tasks(shard, worker);
    }
    if (!worker->sync_in_flight && now >= worker->next_sync_us &&
        (worker->declared || worker->held_tasks->len > 0)) {
        send_sync(shard, worker);
    }
    mb_shard_worker_reschedule(worker);
}

/* Performs what is due for all workers. Returns the time at which something is
   due again. A lost worker stays due until the releases of its tasks are in
   the log; it is visited once per call, no more often than every
   millisecond. */
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
        tick_worker(shard, worker, now);
        next = MIN(next, MAX(worker->due_us, now + MB_US_PER_MS));
    }
    return next;
}

/* Appends to a list of at most MB_SYNC_LIST_MAX attempts. An attempt that does
   not fit is dropped, because the worker reports it again. */
static void
add_attempt(GArray *list, const mb_attempt_t *id)
{
    if (list->len < MB_SYNC_LIST_MAX) {
        (void)g_array_append_val(list, *id);
    }
}

/* Returns the task if this attempt of it is held by the worker according to
   the replicated state, else NULL. */
static mb_task_t *
find_held_task(const mb_shard_t *shard, const mb_shard_worker_t *worker,
               const mb_attempt_t *id)
{
    mb_task_t *task = mb_task_find(&shard->tasks, id->task);
    if (task == NULL || !mb_task_is_held(task) ||
        task->attempt != id->attempt || task->worker != worker->key) {
        return NULL;
    }
    return task;
}

/* Processes a report of a running attempt. An attempt that the worker should
   not hold is orphaned and will be stopped. */
static void
process_running(mb_shard_t *shard, mb_shard_worker_t *worker,
                const mb_attempt_t *id)
{
    mb_task_t *task = find_held_task(shard, worker, id);
    if (task == NULL) {
        add_attempt(worker->orphaned, id);
        return;
    }
    task->marks |= MB_MARK_REPORTED;
    task->marks &= (uint8_t)~MB_MARK_INHERITED;
    if ((task->marks & MB_MARK_END_PENDING) == 0) {
        task->marks |= MB_MARK_SENT;
        mb_task_set_state(mb_task_job_find(&shard->tasks, id->task.job), task,
                          MB_TASK_RUNNING);
        mb_shard_attribute_work(shard, worker, id->task);
    }
}

/* Returns the result of an exit. Services are restarted whatever their exit
   code; a task fails for good after `max_failures` failures, or at once if its
   job is not declared. */
static mb_task_result_t
get_exit_result(const mb_shard_t *shard, mb_task_id_t id,
                const mb_task_t *task, uint32_t exit_code)
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

/* Processes a report of a finished attempt. Queues a finish or release, or
   acknowledges the attempt if its end is in the log already. */
static void
process_finished(mb_shard_t *shard, mb_shard_worker_t *worker,
                 const mb_sync_finished_t *finished)
{
    mb_task_id_t id = finished->id.task;
    mb_task_t *task = find_held_task(shard, worker, &finished->id);
    /* If the start of this attempt was never sent, the result belongs to a
       deleted job of the same name. */
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
    mb_finish_t finish = {
        id, task->attempt,
        get_exit_result(shard, id, task, finished->exit_code)};
    task->marks |= MB_MARK_END_PENDING;
    mb_shard_queue_finish(shard, &finish);
}

/* Returns whether a held task is certainly not on its worker, given a response
   that may not report it. `first`: the first response under the present token
   or since the worker was lost; `restarted`: the incarnation has changed since
   the previous response.

   A start that was not sent yet is not missing. One that was sent to the
   present incarnation and was never reported may still arrive there. */
static bool
is_missing(const mb_task_t *task, bool first, bool restarted)
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

/* Releases the held tasks that the worker no longer has, unless the report may
   be incomplete, and clears MB_MARK_REPORTED for the next response. */
static void
release_missing_tasks(mb_shard_t *shard, mb_shard_worker_t *worker,
                      bool complete, bool first, bool restarted)
{
    for (guint i = 0; i < worker->held_tasks->len; i++) {
        mb_task_id_t id = g_array_index(worker->held_tasks, mb_task_id_t, i);
        mb_task_t *task = mb_task_find(&shard->tasks, id);
        if (complete && is_missing(task, first, restarted)) {
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

/* Processes the lists of a response. The acknowledgements, orphaned attempts
   and throttles for the next request are collected anew. */
static void
process_lists(mb_shard_t *shard, mb_shard_worker_t *worker,
              const mb_sync_response_t *response)
{
    g_array_set_size(worker->acks, 0);
    g_array_set_size(worker->orphaned, 0);
    g_array_set_size(worker->throttles, 0);
    for (uint32_t i = 0; i < response->running_count; i++) {
        process_running(shard, worker, &response->running[i]);
    }
    for (uint32_t i = 0; i < response->finished_count; i++) {
        process_finished(shard, worker, &response->finished[i]);
    }
    for (uint32_t i = 0; i < response->usage_count; i++) {
        mb_shard_slowdown_handle_usage(shard, worker, &response->usage[i]);
        if (shard->callbacks.usage != NULL) {
            shard->callbacks.usage(shard->callbacks.context, worker->key,
                                   &response->usage[i]);
        }
    }
}

/* Processes the response of a worker. A response to a request with an earlier
   token, or from a worker that has received a newer one, is ignored. */
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
    process_lists(shard, worker, response);
    /* A full list may have been truncated, so a task that is missing from it
       may still be on the worker. */
    bool complete = response->running_count < MB_SYNC_LIST_MAX &&
                    response->finished_count < MB_SYNC_LIST_MAX;
    release_missing_tasks(shard, worker, complete, first, restarted);
    if (first || restarted || !was_leased) {
        /* Starts were held back or refused until now: send them at once. */
        worker->next_sync_us = 0;
        shard->schedule_needed = true;
        shard->schedule_urgent = true;
    }
    if (restarted) {
        mb_shard_slowdown_reset(shard, worker);
    }
    mb_shard_slowdown_decide(shard, worker);
    /* Needed even if nothing was reported: with time, a suspended worker
       becomes eligible for a probe. */
    mb_shard_worker_update_eligibility(shard, worker);
    mb_shard_worker_reschedule(worker);
}

/* Processes a failed exchange: the request was refused or timed out, or its
   response could not be decoded. From then on the worker gets probes that
   grant no lease, until it responds to one. Thus at most one grant is
   unanswered at a time, which bounds the time at which its lease has expired
   for certain. */
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
