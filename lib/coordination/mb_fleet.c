#include "mb_fleet.h"

#include <string.h>

#include "mb_cleanup.h"
#include "mb_fleet_internal.h"

/* Time after which a new owner logs what it waits for, in milliseconds, and
   the number of workers that the line names. */
#define WAIT_LOG_DELAY_MS 1000u
#define WAIT_LOG_WORKERS 8u

/* GDestroyNotify of `workers`. */
static void
free_worker(gpointer data)
{
    mb_fleet_worker_t *worker = data;
    mb_buf_finish(&worker->address);
    mb_buf_finish(&worker->name);
    mb_buf_finish(&worker->service);
    mb_buf_finish(&worker->rack);
    mb_buf_finish(&worker->failure_domain);
    for (uint32_t i = 0; i < MB_WORKER_LABELS_MAX; i++) {
        mb_buf_finish(&worker->labels[i]);
    }
    g_array_unref(worker->runs);
    g_array_unref(worker->absent_tasks);
    mb_order_finish(&worker->pending_order);
    g_free(worker);
}

/* Initializes a fleet without workers and without ownership. The callbacks,
   the clock and the log are copied. The table is borrowed and must outlive the
   fleet. */
void
mb_fleet_init(mb_fleet_t *fleet, mb_dag_table_t *table,
              const mb_fleet_callbacks_t *callbacks, const mb_clock_t *clock,
              const mb_log_t *log)
{
    memset(fleet, 0, sizeof(*fleet));
    fleet->table = table;
    fleet->callbacks = *callbacks;
    fleet->clock = *clock;
    fleet->log = *log;
    fleet->workers = g_ptr_array_new_with_free_func(free_worker);
    fleet->workers_by_address =
        g_hash_table_new(mb_buf_key_hash, mb_buf_key_equal);
    fleet->open_jobs = g_ptr_array_new();
    fleet->dirty_jobs = g_ptr_array_new();
    mb_headroom_init(&fleet->headroom_model);
    mb_fleet_pools_init(&fleet->pools);
    mb_run_time_init(&fleet->run_times);
    mb_backlog_meter_init(&fleet->backlog_meter);
    mb_fleet_evidence_init(fleet);
    fleet->progress_rows =
        g_array_new(FALSE, FALSE, sizeof(mb_dag_progress_row_t));
    fleet->progress_numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

/* Releases everything that the fleet owns. Jobs and the table stay with the
   caller. */
void
mb_fleet_finish(mb_fleet_t *fleet)
{
    g_hash_table_destroy(fleet->workers_by_address);
    g_ptr_array_unref(fleet->workers);
    g_ptr_array_unref(fleet->open_jobs);
    g_ptr_array_unref(fleet->dirty_jobs);
    g_array_unref(fleet->progress_rows);
    g_array_unref(fleet->progress_numbers);
    mb_headroom_finish(&fleet->headroom_model);
    mb_fleet_pools_finish(&fleet->pools);
    mb_run_time_finish(&fleet->run_times);
    mb_backlog_meter_finish(&fleet->backlog_meter);
    mb_evidence_finish(&fleet->evidence);
    mb_buf_finish(&fleet->done_bits);
}

/* Sets the maximum number of runs; see the header. */
void
mb_fleet_set_runs_max(mb_fleet_t *fleet, uint32_t runs_max)
{
    fleet->runs_max = runs_max;
}

/* Returns the number of the worker whose agent has this address, or
   UINT32_MAX if the fleet has never had it. */
uint32_t
mb_fleet_find_worker(const mb_fleet_t *fleet, mb_str_t address)
{
    mb_buf_t key = {(char *)address.data, address.len, 0};
    const mb_fleet_worker_t *worker =
        g_hash_table_lookup(fleet->workers_by_address, &key);
    return worker == NULL ? UINT32_MAX : worker->number;
}

/* Adds the worker whose agent has this address, unless the fleet has it
   already, and returns its number. A worker that was removed is part of the
   fleet again. Returns UINT32_MAX when the fleet already has
   MB_FLEET_WORKERS_MAX workers. */
uint32_t
mb_fleet_add_worker(mb_fleet_t *fleet, mb_str_t address)
{
    uint32_t number = mb_fleet_find_worker(fleet, address);
    if (number != UINT32_MAX) {
        mb_fleet_worker_t *known = mb_fleet_get_worker(fleet, number);
        if (known->removed) {
            known->reported_us = mb_clock_us(&fleet->clock);
            known->joined_us = known->reported_us;
        }
        known->removed = false;
        return number;
    }
    if (fleet->workers->len == MB_FLEET_WORKERS_MAX) {
        mb_log_error(&fleet->log,
                     "worker ignored: maximum number reached address=%.*s",
                     MB_STR_ARG(address));
        return UINT32_MAX;
    }
    mb_fleet_worker_t *worker = g_new0(mb_fleet_worker_t, 1);
    worker->number = fleet->workers->len;
    mb_buf_set(&worker->address, address);
    worker->runs = g_array_new(FALSE, FALSE, sizeof(mb_fleet_run_t));
    worker->absent_tasks = g_array_new(FALSE, FALSE, sizeof(mb_dag_task_id_t));
    worker->reported_us = mb_clock_us(&fleet->clock);
    worker->joined_us = worker->reported_us;
    mb_health_init(&worker->health);
    mb_order_init(&worker->pending_order);
    g_ptr_array_add(fleet->workers, worker);
    (void)g_hash_table_insert(fleet->workers_by_address, &worker->address,
                              worker);
    return worker->number;
}

/* Notes that the log has been read as a whole; see the header. */
void
mb_fleet_agents_loaded(mb_fleet_t *fleet)
{
    if (fleet->agents_loaded) {
        return;
    }
    fleet->agents_loaded = true;
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_get_worker(fleet, i)->joined_us = 0;
    }
}

/* Resets the state of a worker that belongs to one connection to its agent.
   The runs stay. */
static void
reset_connection(mb_fleet_worker_t *worker)
{
    worker->connected = false;
    worker->runs_known = false;
    worker->report_unsettled = false;
    worker->probe_sequence = 0;
    worker->report_sequence = 0;
    worker->reported_order_sequence = 0;
    worker->order_due = false;
    mb_order_clear(&worker->pending_order);
    for (guint i = 0; i < worker->runs->len; i++) {
        mb_fleet_run_t *run = &g_array_index(worker->runs, mb_fleet_run_t, i);
        /* Orders of the old connection that the agent has not carried out are
           lost. The next complete report shows which runs were started. */
        run->start_sequence = 0;
        run->stop_sequence = 0;
        run->ordered_throttle_percent = MB_FLEET_THROTTLE_UNKNOWN;
    }
}

/* Removes all runs, and the state of workers that reports have set, at a
   change of ownership. Connections stay as they are. */
static void
reset_workers(mb_fleet_t *fleet, bool may_have_former_runs)
{
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        while (worker->runs->len > 0) {
            mb_fleet_remove_run(fleet, worker,
                                &g_array_index(worker->runs, mb_fleet_run_t,
                                               worker->runs->len - 1));
        }
        bool connected = worker->connected;
        reset_connection(worker);
        worker->connected = connected;
        worker->may_have_former_runs =
            may_have_former_runs && !worker->removed;
        worker->kept.until_us = 0;
        worker->incarnation = 0;
        worker->agent_incarnation = 0;
        worker->agent_known_since_us = 0;
        worker->obeyed_us = 0;
        worker->state = MB_WORKER_ABSENT;
        worker->ends_applied = 0;
        worker->ends_being_stored = 0;
        worker->ends_stored = 0;
        worker->lease_end_us = 0;
        worker->order_due = true;
    }
}

/* Adds the unfinished jobs of the table to the open ones. `inherited` jobs may
   have runs that the former owner started. */
static void
add_jobs_of_table(mb_fleet_t *fleet, bool inherited)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->table->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_dag_job_t *job = value;
        mb_fleet_job_added(fleet, job);
        job->inherited = inherited;
    }
}

/* Makes this process the owner of the fleet under a new fencing token. The
   former owner may have started tasks of the jobs that are in the table now.
   A task waits only for workers on which it may run: those that have not
   reported to this owner, and whose record in the log, if there is one, has
   the task. It waits until `former_leases_end_us` of the clock at the latest,
   by which time the caller guarantees that all leases granted by the former
   owner have expired. */
void
mb_fleet_become_owner(mb_fleet_t *fleet, uint64_t token,
                      uint64_t former_leases_end_us)
{
    fleet->is_owner = true;
    fleet->token = token;
    fleet->confirmed_us = 0;
    fleet->majority_end_us = 0;
    fleet->former_leases_end_us = former_leases_end_us;
    fleet->former_runs_resolved = false;
    fleet->wait_logged = false;
    fleet->owner_since_us = mb_clock_us(&fleet->clock);
    fleet->store_pending = false;
    fleet->store_failed = false;
    (void)g_ptr_array_set_size(fleet->dirty_jobs, 0);
    (void)g_ptr_array_set_size(fleet->open_jobs, 0);
    mb_evidence_clear(&fleet->evidence);
    mb_backlog_meter_clear(&fleet->backlog_meter);
    reset_workers(fleet, true);
    mb_fleet_hold_absent_tasks(fleet);
    add_jobs_of_table(fleet, true);
    fleet->schedule_due = true;
}

/* Ends the ownership. Progress that was not stored is lost, so the caller must
   reload the table, and the records of absent workers, from the log. */
void
mb_fleet_lose_ownership(mb_fleet_t *fleet)
{
    fleet->is_owner = false;
    fleet->active = false;
    fleet->store_pending = false;
    mb_evidence_clear(&fleet->evidence);
    reset_workers(fleet, false);
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_reset_absence(mb_fleet_get_worker(fleet, i));
    }
    (void)g_ptr_array_set_size(fleet->dirty_jobs, 0);
    (void)g_ptr_array_set_size(fleet->open_jobs, 0);
}

/* Tells the fleet whether its ownership is certain at present. Orders are sent
   only while it is. After a failure to store progress, the fleet stays
   inactive until it becomes the owner again. */
void
mb_fleet_set_active(mb_fleet_t *fleet, bool active)
{
    if (active != fleet->active && fleet->is_owner) {
        mb_log_notice(
            &fleet->log,
            "owner activity changed acts=%d token=%" G_GUINT64_FORMAT, active,
            fleet->token);
    }
    fleet->schedule_due = fleet->schedule_due || (active && !fleet->active);
    fleet->active = active && fleet->is_owner && !fleet->store_failed;
}

/* Notes up to when the ownership is certain; see the header. */
void
mb_fleet_confirm_ownership(mb_fleet_t *fleet, uint64_t confirmed_us)
{
    if (fleet->is_owner && confirmed_us > fleet->confirmed_us) {
        fleet->confirmed_us = confirmed_us;
    }
}

/* Adds a job of the table to the open ones unless it has an outcome already;
   does nothing on a process that isn't the owner. */
void
mb_fleet_job_added(mb_fleet_t *fleet, mb_dag_job_t *job)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    uint64_t now_ms = fleet->callbacks.unix_ms(fleet->callbacks.context);
    uint64_t age_ms = now_ms - MIN(now_ms, job->spec.submitted_ms);
    uint64_t age_us = age_ms * MB_US_PER_MS;
    if (!fleet->is_owner) {
        return;
    }
    job->outcome = job->cancelled ? MB_DAG_CANCELLED : job->outcome;
    if (job->outcome != MB_DAG_OPEN) {
        return;
    }
    job->arrived_us = now_us - MIN(now_us, age_us);
    job->dirty = false;
    job->inherited = false;
    job->running = 0;
    job->idle_since_us = now_us;
    job->wait_logged_us = 0;
    job->estimated_us = 0;
    job->wanted_since_us = job->arrived_us;
    job->due_base_us = now_us;
    job->due_base_ms = now_ms;
    job->next_due = 0;
    job->next_due_us = 0;
    mb_fleet_estimate_job(fleet, job);
    g_ptr_array_add(fleet->open_jobs, job);
    fleet->jobs_unsorted = true;
    mb_fleet_mark_job_startable(fleet, job);
}

/* Closes a job that was cancelled and stops its runs. */
void
mb_fleet_job_cancelled(mb_fleet_t *fleet, mb_dag_job_t *job)
{
    if (!fleet->is_owner || job->outcome != MB_DAG_OPEN) {
        return;
    }
    mb_log_info(&fleet->log, "job cancelled job=%.*s runs=%u",
                MB_STR_ARG(mb_dag_id_view(&job->spec.id)), job->running);
    job->outcome = MB_DAG_CANCELLED;
    mb_fleet_stop_job(fleet, job);
}

/* Tells whether an order that waits to be sent has a start of a job. Its texts
   belong to the job. */
static bool
has_pending_start(const mb_fleet_t *fleet, const mb_dag_job_t *job)
{
    for (guint i = 0; i < fleet->workers->len; i++) {
        const GArray *starts =
            mb_fleet_get_worker(fleet, i)->pending_order.starts;
        for (guint k = 0; k < starts->len; k++) {
            const mb_order_start_t *start =
                &g_array_index(starts, mb_order_start_t, k);
            if (mb_dag_id_equal(&start->task.job, &job->spec.id)) {
                return true;
            }
        }
    }
    return false;
}

/* Tells whether a job has no runs, no progress to be stored and no start that
   waits to be sent, so that it may be compacted, or removed from the table. */
bool
mb_fleet_job_idle(const mb_fleet_t *fleet, const mb_dag_job_t *job)
{
    return job->running == 0 && !job->dirty && !has_pending_start(fleet, job);
}

/* Drops all references to a job. Must be called before the job is removed from
   the table. */
void
mb_fleet_job_removed(mb_fleet_t *fleet, mb_dag_job_t *job)
{
    mb_fleet_evidence_forget(fleet, job);
    (void)g_ptr_array_remove_fast(fleet->open_jobs, job);
    (void)g_ptr_array_remove_fast(fleet->dirty_jobs, job);
}

/* Handles a new connection to a worker's agent. Until a complete report
   arrives on it, the worker gets no starts. */
void
mb_fleet_agent_connected(mb_fleet_t *fleet, uint32_t number)
{
    mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, number);
    reset_connection(worker);
    worker->connected = true;
    worker->order_sequence = 0;
    worker->order_due = true;
}

/* Handles the loss of the connection to a worker's agent. The runs go on until
   their lease expires. */
void
mb_fleet_agent_disconnected(mb_fleet_t *fleet, uint32_t number)
{
    mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, number);
    if (worker->runs_known) {
        mb_log_notice(
            &fleet->log, "agent disconnected worker=%.*s address=%.*s runs=%u",
            MB_STR_ARG(mb_buf_view(&worker->name)),
            MB_STR_ARG(mb_buf_view(&worker->address)), worker->runs->len);
    }
    reset_connection(worker);
}

/* Handles the result of storing a group of progress records. Workers may
   discard the ends that a stored group includes. After a group that was not
   stored, no end may be acknowledged and nothing may be started any more:
   another process owns the fleet then and does not know of this progress. */
void
mb_fleet_progress_stored(mb_fleet_t *fleet, bool ok)
{
    fleet->store_pending = false;
#ifdef MB_MUTANT_FLEET_ACKS_UNSTORED
    ok = true;
#endif
    if (fleet->is_owner && !ok) {
        mb_log_warning(&fleet->log,
                       "progress of jobs was not stored; no more tasks are "
                       "started token=%" G_GUINT64_FORMAT,
                       fleet->token);
        fleet->store_failed = true;
        fleet->active = false;
    }
    if (!fleet->is_owner || fleet->store_failed) {
        return;
    }
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        if (worker->ends_being_stored > worker->ends_stored) {
            worker->ends_stored = worker->ends_being_stored;
            worker->order_due = true;
        }
    }
}

/* Logs, once for each job, that its progress is too large to be stored as a
   whole. */
static void
log_omission(const mb_fleet_t *fleet, mb_dag_job_t *job,
             const mb_dag_progress_t *progress)
{
    if (progress->omitted == 0 || job->omission_logged) {
        return;
    }
    job->omission_logged = true;
    mb_log_notice(&fleet->log,
                  "progress stored without some checkpoints or failures "
                  "job=%.*s omitted=%u rows=%u",
                  MB_STR_ARG(mb_dag_id_view(&job->spec.id)), progress->omitted,
                  progress->rows->len);
}

/* Stores the progress of all dirty jobs as one group, unless the previous
   group is still being stored. Ends that have been applied so far are
   acknowledged once the group is stored. */
static void
store_progress(mb_fleet_t *fleet)
{
    if (fleet->store_pending || fleet->store_failed) {
        return;
    }
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        worker->ends_being_stored = worker->ends_applied;
    }
    if (fleet->dirty_jobs->len == 0) {
        mb_fleet_progress_stored(fleet, true);
        return;
    }
    fleet->store_pending = true;
    for (guint i = 0; i < fleet->dirty_jobs->len; i++) {
        mb_dag_job_t *job = g_ptr_array_index(fleet->dirty_jobs, i);
        mb_dag_progress_t progress = {.rows = fleet->progress_rows,
                                      .numbers = fleet->progress_numbers};
        (void)g_array_set_size(fleet->progress_rows, 0);
        (void)g_array_set_size(fleet->progress_numbers, 0);
        mb_dag_progress_collect(job, &fleet->done_bits, &progress);
        log_omission(fleet, job, &progress);
        fleet->callbacks.store(fleet->callbacks.context, &progress);
        job->dirty = false;
    }
    (void)g_ptr_array_set_size(fleet->dirty_jobs, 0);
    fleet->callbacks.store_group_end(fleet->callbacks.context);
}

/* Tells whether the lease of a worker has certainly expired: its time is up,
   and no other process had claimed the fleet by then, which could have renewed
   it. */
static bool
has_lease_expired(const mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
                  uint64_t now_us)
{
#ifdef MB_MUTANT_FLEET_SILENCE_BELIEVED
    return now_us >= worker->lease_end_us;
#endif
    return now_us >= worker->lease_end_us &&
           fleet->confirmed_us >= worker->lease_end_us;
}

/* Gives up the runs of workers whose lease has certainly expired. */
static void
check_leases(mb_fleet_t *fleet, uint64_t now_us)
{
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        if (worker->runs->len > 0 &&
            has_lease_expired(fleet, worker, now_us)) {
            mb_fleet_abandon_runs(fleet, worker, "lease_expired");
            /* What runs there is unknown until the next complete report, from
               which runs that still exist are adopted. */
            worker->runs_known = false;
            worker->order_due = true;
        }
    }
}

/* Logs which workers have not reported to a new owner after a while, and how
   many tasks wait for them. */
static void
log_wait(mb_fleet_t *fleet, uint64_t now_us, uint32_t unknown, uint32_t known)
{
    MB_AUTO_BUF mb_buf_t addresses = {0};
    uint32_t named = 0;
    if (fleet->wait_logged || unknown + known == 0 ||
        now_us < fleet->owner_since_us +
                     WAIT_LOG_DELAY_MS * (uint64_t)MB_US_PER_MS) {
        return;
    }
    fleet->wait_logged = true;
    for (guint i = 0; i < fleet->workers->len && named < WAIT_LOG_WORKERS;
         i++) {
        const mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        if (worker->may_have_former_runs) {
            mb_buf_printf(&addresses, "%s%.*s", named == 0 ? "" : ",",
                          MB_STR_ARG(mb_buf_view(&worker->address)));
            named++;
        }
    }
    mb_log_notice(&fleet->log,
                  "tasks wait for workers that have not reported "
                  "token=%" G_GUINT64_FORMAT " tasks=%u without_record=%u "
                  "with_record=%u for_at_most_ms=%" G_GUINT64_FORMAT
                  " addresses=%.*s",
                  fleet->token, fleet->held_tasks, unknown, known,
                  (fleet->former_leases_end_us -
                   MIN(fleet->former_leases_end_us, now_us)) /
                      MB_US_PER_MS,
                  MB_STR_ARG(mb_buf_view(&addresses)));
}

/* Checks which runs of the former owner are known. At the end of its leases,
   nothing waits for them any more. */
static void
check_former_runs(mb_fleet_t *fleet, uint64_t now_us)
{
    bool expired = now_us >= fleet->former_leases_end_us;
#ifdef MB_MUTANT_FLEET_NOT_SETTLED
    expired = true;
#endif
    uint32_t unknown = 0; /* workers without a record that have not reported */
    uint32_t known = 0;   /* the same with a record */
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        if (expired) {
            mb_fleet_release_absent_tasks(fleet, worker);
            worker->may_have_former_runs = false;
        }
        known += worker->former_tasks_known;
        unknown += worker->may_have_former_runs && !worker->former_tasks_known;
    }
    if (!fleet->former_runs_resolved && unknown == 0) {
        mb_log_notice(&fleet->log,
                      "fleet settled token=%" G_GUINT64_FORMAT
                      " all_listed=%d runs=%u absent=%u",
                      fleet->token, !expired, fleet->running, known);
        fleet->former_runs_resolved = true;
        fleet->schedule_due = true;
    }
    if (!expired) {
        log_wait(fleet, now_us, unknown, known);
    }
}

/* Removes jobs that have an outcome from the open ones, and frees the finished
   occurrences of the others. */
static void
remove_closed_jobs(mb_fleet_t *fleet)
{
    for (guint i = 0; i < fleet->open_jobs->len;) {
        mb_dag_job_t *job = g_ptr_array_index(fleet->open_jobs, i);
        if (job->outcome == MB_DAG_OPEN) {
            if (job->finished_count > 0) {
                mb_dag_release_finished(job);
            }
            i++;
            continue;
        }
        mb_fleet_evidence_forget(fleet, job);
        (void)g_ptr_array_remove_index_fast(fleet->open_jobs, i);
        fleet->jobs_unsorted = true;
    }
}

/* Handles what has become due with time; see the header. */
void
mb_fleet_tick(mb_fleet_t *fleet)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    if (!fleet->is_owner) {
        return;
    }
    check_leases(fleet, now_us);
    mb_fleet_settle_confirmed(fleet);
#ifndef MB_MUTANT_FLEET_WAITS_FOR_LEASE
    mb_fleet_shorten_wait(fleet, now_us);
#endif
    check_former_runs(fleet, now_us);
    if (fleet->active) {
        mb_fleet_update_absences(fleet, now_us);
    }
    remove_closed_jobs(fleet);
    /* Retry delays may have ended and due times may have been reached. */
    fleet->schedule_due = true;
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        if (now_us >= worker->ordered_us + MB_FLEET_ORDER_INTERVAL_MS *
                                               (uint64_t)MB_US_PER_MS) {
            worker->order_due = true;
        }
    }
    mb_fleet_flush(fleet);
    if (fleet->active) {
        mb_fleet_log_evacuations(fleet, now_us);
        mb_fleet_log_waiting(fleet, now_us);
        mb_fleet_log_latencies(fleet, now_us);
    }
}

/* Acts on the events so far; see the header. */
void
mb_fleet_flush(mb_fleet_t *fleet)
{
    if (!fleet->is_owner) {
        return;
    }
    mb_fleet_update_evacuations(fleet);
    if (fleet->active && fleet->schedule_due && !fleet->starts_withheld) {
        fleet->schedule_due = false;
        mb_fleet_move_throttled_runs(fleet);
        mb_fleet_schedule(fleet);
    }
    store_progress(fleet);
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        if (fleet->active && worker->connected && worker->order_due) {
            mb_fleet_send_order(fleet, worker);
        }
    }
}

/* Tells whether an unreachable worker may be removed: no run is known there,
   and the agent has been unreachable for long enough that the former owner has
   none there either. It is safe because only this owner could start a run
   there, and because an agent that is alive registers again. */
bool
mb_fleet_may_remove_worker(const mb_fleet_t *fleet, uint32_t number,
                           uint64_t lost_us)
{
    const mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, number);
    uint32_t remove_after_ms = worker->may_have_former_runs
                                   ? MB_FLEET_REMOVE_UNKNOWN_AFTER_MS
                                   : MB_FLEET_REMOVE_AFTER_MS;
    return worker->runs->len == 0 &&
           mb_clock_us(&fleet->clock) >=
               lost_us + remove_after_ms * (uint64_t)MB_US_PER_MS;
}

/* Handles the removal of a worker on which nothing runs any more: neither this
   owner nor a later one waits until it has reported its runs. Runs that are
   still on record have ended with the worker's departure. */
void
mb_fleet_worker_removed(mb_fleet_t *fleet, uint32_t number)
{
    mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, number);
    mb_fleet_abandon_runs(fleet, worker, "worker_left");
    worker->may_have_former_runs = false;
    mb_fleet_release_absent_tasks(fleet, worker);
    worker->removed = true;
}

/* Tells whether this process owns the fleet; its ownership may be uncertain at
   present, see mb_fleet_set_active. */
bool
mb_fleet_is_owner(const mb_fleet_t *fleet)
{
    return fleet->is_owner;
}
