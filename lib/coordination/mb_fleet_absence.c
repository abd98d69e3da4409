/* Records of absent workers in the log. Starts are not stored, so a new owner
   does not know which tasks the former owner started on a worker that does not
   report. Without a record, every task has to wait until the worker reports or
   all leases of the former owner have ended.

   The owner starts nothing on a worker that has not reported for a while. The
   tasks that may run there can't change any more, and are stored in the log.
   The owner starts nothing on a worker that has such a record, even if it
   reports again, until the removal of the record is stored. Thus a record has
   all tasks that its owner, and those before it, may have started there; after
   a change of ownership, only these wait for the worker.

   A record counts only under the next owner, which stores it again if the
   worker stays absent: an owner of an earlier version knows nothing of
   records, and may start tasks on the worker. */
#include "mb_fleet_internal.h"

/* Time after which a worker that has never reported to this owner gets a
   record, in milliseconds. Agents announce themselves before their worker
   registers. */
#define FIRST_REPORT_TIMEOUT_MS 5000u

/* Tells whether a worker gets no starts because it has not reported for a
   while, or not on its present connection. */
bool
mb_fleet_worker_silent(const mb_fleet_worker_t *worker, uint64_t now_us)
{
    return !worker->connected || !worker->runs_known ||
           now_us >= worker->reported_us +
                         MB_FLEET_REPORT_TIMEOUT_MS * (uint64_t)MB_US_PER_MS;
}

/* Tells whether the agent of a worker has not obeyed a later owner: no other
   process had claimed the fleet when this owner first heard of the agent's
   process, and since then the agent would have remembered the higher token. */
bool
mb_fleet_agent_confirmed(const mb_fleet_t *fleet,
                         const mb_fleet_worker_t *worker)
{
#ifdef MB_MUTANT_FLEET_RESTARTED_AGENT_BELIEVED
    return true;
#endif
    return worker->agent_known_since_us != 0 &&
           fleet->confirmed_us >= worker->agent_known_since_us;
}

/* Returns a task by its id, or NULL if it is not in the table. */
static mb_dag_task_t *
find_task(const mb_fleet_t *fleet, const mb_dag_task_id_t *id)
{
    mb_dag_job_t *job = mb_dag_find(fleet->table, id->job);
    return job == NULL ? NULL
                       : mb_dag_task(job, id->occurrence, id->step, id->index);
}

/* Applies the record of an absent worker, or its removal, as read from the
   log. The owner ignores it, because it writes the records itself. */
void
mb_fleet_absence_read(mb_fleet_t *fleet, uint32_t number, uint64_t token,
                      const GArray *tasks)
{
    mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, number);
    if (fleet->is_owner) {
        return;
    }
    mb_fleet_reset_absence(worker);
    if (tasks != NULL) {
        worker->absence = MB_FLEET_ABSENCE_STORED;
        worker->absence_token = token;
        g_array_append_vals(worker->absent_tasks, tasks->data, tasks->len);
    }
}

/* Forgets the record of a worker, in a process that does not own the fleet. */
void
mb_fleet_reset_absence(mb_fleet_worker_t *worker)
{
    worker->absence = MB_FLEET_ABSENCE_NONE;
    worker->absence_token = 0;
    worker->former_tasks_known = false;
    (void)g_array_set_size(worker->absent_tasks, 0);
}

/* Holds the tasks that the former owner may have started on workers with a
   record, at the start of an ownership. Other workers keep no tasks. */
void
mb_fleet_hold_absent_tasks(mb_fleet_t *fleet)
{
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        bool trusted = worker->absence_token == fleet->token - 1;
#ifdef MB_MUTANT_FLEET_OLD_RECORD_TRUSTED
        trusted = true;
#endif
        worker->former_tasks_known =
            worker->may_have_former_runs && trusted &&
            worker->absence == MB_FLEET_ABSENCE_STORED;
        if (!worker->former_tasks_known) {
            (void)g_array_set_size(worker->absent_tasks, 0);
        }
        for (guint k = 0; k < worker->absent_tasks->len; k++) {
            mb_dag_task_t *task =
                find_task(fleet, &g_array_index(worker->absent_tasks,
                                                mb_dag_task_id_t, k));
            if (task != NULL) {
                task->absent_workers++;
            }
        }
    }
}

/* Releases the tasks that wait for a worker: it has reported its runs, or its
   leases have ended. */
void
mb_fleet_release_absent_tasks(mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
    if (!worker->former_tasks_known) {
        return;
    }
    worker->former_tasks_known = false;
    for (guint i = 0; i < worker->absent_tasks->len; i++) {
        const mb_dag_task_id_t *id =
            &g_array_index(worker->absent_tasks, mb_dag_task_id_t, i);
        mb_dag_task_t *task = find_task(fleet, id);
        if (task != NULL) {
            task->absent_workers--;
            mb_fleet_mark_job_startable(fleet,
                                        mb_dag_find(fleet->table, id->job));
        }
    }
    (void)g_array_set_size(worker->absent_tasks, 0);
}

/* Stores which tasks may run on a worker, unless there are too many for a
   record: its runs, or the tasks that wait for it. Nothing is started there
   from now on. */
static void
store_absence(mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
    g_autoptr(GArray) tasks =
        g_array_new(FALSE, FALSE, sizeof(mb_dag_task_id_t));
    for (guint i = 0; i < worker->runs->len; i++) {
        mb_dag_task_id_t id = mb_fleet_run_task_id(
            &g_array_index(worker->runs, mb_fleet_run_t, i));
        g_array_append_val(tasks, id);
    }
    g_array_append_vals(tasks, worker->absent_tasks->data,
                        worker->absent_tasks->len);
    if (tasks->len <= MB_DAG_ABSENT_TASKS_MAX &&
        fleet->callbacks.store_absence(fleet->callbacks.context,
                                       worker->number, tasks)) {
        worker->absence = MB_FLEET_ABSENCE_STORING;
        mb_log_info(
            &fleet->log, "worker absent worker=%.*s address=%.*s runs=%u",
            MB_STR_ARG(mb_buf_view(&worker->name)),
            MB_STR_ARG(mb_buf_view(&worker->address)), worker->runs->len);
    }
}

/* Removes the record of a worker that has reported again or has left. */
static void
remove_absence(mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
    if (fleet->callbacks.store_absence(fleet->callbacks.context,
                                       worker->number, NULL)) {
        worker->absence = MB_FLEET_ABSENCE_REMOVING;
    }
}

/* Tells whether a worker is to have a record under this owner: it is absent,
   and all tasks that may run there are known. */
static bool
is_record_due(const mb_fleet_t *fleet, const mb_fleet_worker_t *worker,
              uint64_t now_us)
{
    uint64_t since_us = MAX(worker->reported_us, fleet->owner_since_us);
    bool never_reported =
        worker->incarnation == 0 && !worker->former_tasks_known;
    uint64_t delay_ms =
        never_reported ? FIRST_REPORT_TIMEOUT_MS : MB_FLEET_REPORT_TIMEOUT_MS;
    bool overdue = now_us >= since_us + delay_ms * MB_US_PER_MS;
    return overdue && !worker->removed &&
           worker->absence_token != fleet->token &&
           (worker->former_tasks_known || !worker->may_have_former_runs);
}

/* Stores the records of workers that have become absent, and removes those of
   workers that are not absent any more. */
void
mb_fleet_update_absences(mb_fleet_t *fleet, uint64_t now_us)
{
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        bool pending = worker->absence == MB_FLEET_ABSENCE_STORING ||
                       worker->absence == MB_FLEET_ABSENCE_REMOVING;
        if (!pending && is_record_due(fleet, worker, now_us)) {
            store_absence(fleet, worker);
        }
        else if (worker->absence == MB_FLEET_ABSENCE_STORED &&
                 (worker->removed ||
                  !mb_fleet_worker_silent(worker, now_us))) {
            remove_absence(fleet, worker);
        }
    }
}

/* Handles the result of storing or removing a record; see the header. */
void
mb_fleet_absence_stored(mb_fleet_t *fleet, uint32_t number, bool in_log)
{
    mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, number);
    if (!fleet->is_owner) {
        return;
    }
    if (worker->absence == MB_FLEET_ABSENCE_STORING && in_log) {
        worker->absence_token = fleet->token;
    }
    else if (worker->absence == MB_FLEET_ABSENCE_REMOVING && !in_log) {
        worker->absence_token = 0;
    }
    worker->absence = worker->absence_token != 0 ? MB_FLEET_ABSENCE_STORED
                                                 : MB_FLEET_ABSENCE_NONE;
    fleet->schedule_due = true;
}
