/* Records of absent workers in the log. Starts are not stored, so a new owner
   does not know which tasks the former owner started on a worker that does not
   report. Without a record, every task has to wait until the worker reports or
   all leases of the former owner have ended.

   The owner starts nothing on a worker that has not reported for a while. The
   tasks that may run there can't change any more, and are stored in the log.
   The owner starts nothing on a worker that has such a record, even if it
   reports again, until the removal of the record is stored. Thus whoever reads
   a record knows all tasks that any owner may have started there; after a
   change of ownership, only these wait for the worker. */
#include "mb_fleet_internal.h"

/* Tells whether a worker gets no starts because it has not reported for a
   while, or not on its present connection. */
bool
mb_fleet_worker_silent(const mb_fleet_worker_t *worker, uint64_t now_us)
{
    return !worker->connected || !worker->runs_known ||
           now_us >= worker->reported_us +
                         MB_FLEET_REPORT_TIMEOUT_MS * (uint64_t)MB_US_PER_MS;
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
mb_fleet_absence_read(mb_fleet_t *fleet, uint32_t number, const GArray *tasks)
{
    mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, number);
    if (fleet->is_owner) {
        return;
    }
    mb_fleet_reset_absence(worker);
    if (tasks != NULL) {
        worker->absence = MB_FLEET_ABSENCE_STORED;
        g_array_append_vals(worker->absent_tasks, tasks->data, tasks->len);
    }
}

/* Forgets the record of a worker, in a process that does not own the fleet. */
void
mb_fleet_reset_absence(mb_fleet_worker_t *worker)
{
    worker->absence = MB_FLEET_ABSENCE_NONE;
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
        worker->former_tasks_known =
            worker->may_have_former_runs &&
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
   record. Nothing is started there from now on. */
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

/* Stores the records of workers that have become absent, and removes those of
   workers that are not absent any more. */
void
mb_fleet_update_absences(mb_fleet_t *fleet, uint64_t now_us)
{
    for (guint i = 0; i < fleet->workers->len; i++) {
        mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        bool overdue =
            now_us >= worker->reported_us +
                          MB_FLEET_REPORT_TIMEOUT_MS * (uint64_t)MB_US_PER_MS;
        if (worker->absence == MB_FLEET_ABSENCE_NONE && overdue &&
            !worker->removed && !worker->may_have_former_runs) {
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
    worker->absence = in_log ? MB_FLEET_ABSENCE_STORED : MB_FLEET_ABSENCE_NONE;
    fleet->schedule_due = true;
}
