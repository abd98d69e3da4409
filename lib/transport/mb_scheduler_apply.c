/* Applies the records of the job log, on the thread of the loop. Records may
   be applied more than once. */
#include "mb_scheduler_internal.h"

/* Applies the record of a job: adds it to the table, unless it is there
   already. A cancellation that was read before takes effect at once. */
static void
apply_job(mb_scheduler_node_t *node, const mb_dag_record_t *record)
{
    if (mb_scheduler_set_aside(node, &record->body.job)) {
        if (g_hash_table_remove(node->early_cancels, &record->id)) {
            mb_scheduler_set_aside_progress(node, record->id, false,
                                            MB_DAG_CANCELLED);
        }
        return;
    }
    mb_dag_job_t *job = mb_dag_add(&node->table, &record->body.job);
    if (job == NULL) {
        return;
    }
    job->known_since_us = mb_clock_us(&node->clock);
    if (node->config.reject_overdue_jobs) {
        mb_backlog_job_t summary = mb_backlog_job(&job->spec);
        mb_backlog_note_stored(&node->backlog, &summary);
    }
    if (g_hash_table_remove(node->early_cancels, &job->spec.id)) {
        job->cancelled = true;
        job->stored_outcome = MB_DAG_CANCELLED;
        job->outcome = MB_DAG_CANCELLED;
        job->closed_us = job->known_since_us;
    }
    mb_fleet_job_added(&node->fleet, job);
    mb_scheduler_defer_flush(node);
}

/* Applies the cancellation of a job. That of an unknown job is kept until the
   job is read. */
static void
apply_cancel(mb_scheduler_node_t *node, const mb_dag_record_t *record)
{
    mb_dag_job_t *job = mb_dag_find(&node->table, record->id);
    if (g_hash_table_contains(node->set_aside, &record->id)) {
        mb_scheduler_set_aside_progress(node, record->id, false,
                                        MB_DAG_CANCELLED);
        return;
    }
    if (job == NULL) {
        (void)g_hash_table_add(node->early_cancels,
                               g_memdup2(&record->id, sizeof(record->id)));
        return;
    }
    if (job->cancelled || job->stored_outcome != MB_DAG_OPEN) {
        return;
    }
    job->cancelled = true;
    job->stored_outcome = MB_DAG_CANCELLED;
    job->closed_us = mb_clock_us(&node->clock);
    mb_fleet_job_cancelled(&node->fleet, job);
    job->outcome = MB_DAG_CANCELLED;
    mb_scheduler_defer_flush(node);
}

/* Applies the stored progress of a job. The table of the owner, which wrote
   the record, is at least as recent. There only the state that is shown to
   clients changes (`started` and `stored_outcome`): clients must not see
   progress before it is stored. */
static void
apply_progress(mb_scheduler_node_t *node, const mb_dag_record_t *record)
{
    mb_dag_job_t *job = mb_dag_find(&node->table, record->id);
    const mb_dag_progress_t *progress = &record->body.progress;
    if (job == NULL) {
        mb_scheduler_set_aside_progress(node, record->id, progress->started,
                                        progress->outcome);
        return;
    }
    job->started = job->started || progress->started;
    if (!mb_fleet_is_owner(&node->fleet)) {
        mb_dag_progress_apply(job, progress);
        job->outcome = job->cancelled ? MB_DAG_CANCELLED : job->outcome;
    }
    if (job->stored_outcome == MB_DAG_OPEN &&
        progress->outcome != MB_DAG_OPEN) {
        job->stored_outcome = progress->outcome;
        job->closed_us = mb_clock_us(&node->clock);
    }
}

/* Applies a record of an owner, and starts or stops to own the fleet if the
   record decides so. */
static void
apply_owner(mb_scheduler_node_t *node, const mb_dag_record_t *record,
            bool in_order)
{
    mb_ownership_record_t former = node->ownership.latest;
    mb_backlog_note_owner(&node->backlog, record->body.owner.token);
    if (!mb_ownership_apply(&node->ownership, &record->body.owner, in_order)) {
        return;
    }
    if (node->ownership.state == MB_OWNERSHIP_OWNER) {
        mb_scheduler_become_owner(node, &former);
    }
    else {
        mb_scheduler_lose_ownership(node);
    }
}

/* Removes a job from the table after its record was removed from the log. A
   job that still has runs stays. */
static void
remove_job(mb_scheduler_node_t *node, mb_dag_id_t id)
{
    mb_dag_job_t *job = mb_dag_find(&node->table, id);
    mb_scheduler_set_aside_removed(node, id);
    if (job != NULL && mb_fleet_job_idle(&node->fleet, job)) {
        mb_fleet_job_removed(&node->fleet, job);
        mb_dag_remove(&node->table, id);
    }
}

/* Imports the headroom estimates that an earlier owner stored. The present
   owner ignores them, because its own are more recent. */
static void
apply_headroom_pairs(mb_scheduler_node_t *node, const mb_dag_record_t *record)
{
    for (guint i = 0; i < record->body.pairs->len; i++) {
        if (!mb_fleet_is_owner(&node->fleet)) {
            mb_headroom_import(
                &node->fleet.headroom_model,
                &g_array_index(record->body.pairs, mb_headroom_pair_t, i));
        }
    }
}

/* Applies one record of the job log. A record that can't be decoded is logged
   and ignored. `in_order`: it was read in order, after the log was loaded. */
void
mb_scheduler_apply_record(void *context, const mb_keyed_record_t *raw,
                          bool in_order)
{
    mb_scheduler_node_t *node = context;
    mb_dag_record_t record;
    g_autoptr(GError) error = NULL;
    if (!mb_dag_record_decode(&node->decoder, raw->key, raw->value, &record,
                              &error)) {
        mb_log_warning(&node->log, "invalid record ignored: %s bytes=%zu",
                       error->message, raw->value.len);
        return;
    }
    switch (record.kind) {
    case MB_DAG_RECORD_JOB:
        if (record.removed) {
            remove_job(node, record.id);
        }
        else {
            apply_job(node, &record);
        }
        break;
    case MB_DAG_RECORD_CANCEL:
        if (!record.removed) {
            apply_cancel(node, &record);
        }
        break;
    case MB_DAG_RECORD_PROGRESS:
        if (!record.removed) {
            apply_progress(node, &record);
        }
        break;
    case MB_DAG_RECORD_AGENT:
        if (record.removed) {
            mb_scheduler_agent_removed(node, record.address);
        }
        else {
            mb_scheduler_agent_announced(node, record.address,
                                         record.body.incarnation);
        }
        break;
    case MB_DAG_RECORD_DEPARTURE:
        if (record.removed) {
            mb_scheduler_departure_removed(node, record.address);
        }
        else {
            mb_scheduler_agent_departed(node, record.address,
                                        record.body.incarnation);
        }
        break;
    case MB_DAG_RECORD_ABSENCE:
        mb_scheduler_agent_absent(node, record.address,
                                  record.removed ? NULL
                                                 : &record.body.absence);
        break;
    case MB_DAG_RECORD_OWNER:
        if (!record.removed) {
            apply_owner(node, &record, in_order);
        }
        break;
    case MB_DAG_RECORD_HEADROOM:
        if (!record.removed) {
            apply_headroom_pairs(node, &record);
        }
        break;
    case MB_DAG_RECORD_BACKLOG:
        if (!record.removed) {
            mb_scheduler_apply_backlog(node, record.body.backlog, in_order);
        }
        break;
    case MB_DAG_RECORD_SCHEDULER:
        mb_job_memory_read(&node->job_memory, record.scheduler,
                           record.removed ? NULL : &record.body.memory);
        break;
    case MB_DAG_RECORD_KIND_COUNT:
        break;
    }
}

/* Called when all records have been applied that the job log held at
   `read_start_us` of the clock. */
void
mb_scheduler_note_jobs_read(void *context, uint64_t read_start_us)
{
    mb_scheduler_node_t *node = context;
    mb_ownership_note_read(&node->ownership, read_start_us);
}
