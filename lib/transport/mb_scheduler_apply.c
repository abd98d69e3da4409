/* What the job log and the configuration log say, in their order. */
#include "mb_scheduler_internal.h"

/* Takes the job of a record. */
static void
apply_job(mb_scheduler_node_t *node, const mb_dag_record_t *record)
{
    mb_dag_job_t *job = mb_dag_add(&node->table, &record->body.job);
    if (job == NULL) {
        return;
    }
    job->seen_us = mb_clock_us(&node->clock);
    if (g_hash_table_remove(node->early_cancels, &job->spec.id)) {
        job->cancelled = true;
        job->shown = MB_DAG_CANCELLED;
        job->outcome = MB_DAG_CANCELLED;
        job->closed_us = job->seen_us;
    }
    mb_fleet_job_added(&node->fleet, job);
    mb_scheduler_defer_flush(node);
}

/* Takes a cancellation, also one read before its job. */
static void
apply_cancel(mb_scheduler_node_t *node, const mb_dag_record_t *record)
{
    mb_dag_job_t *job = mb_dag_find(&node->table, record->id);
    if (job == NULL) {
        (void)g_hash_table_add(node->early_cancels,
                               g_memdup2(&record->id, sizeof(record->id)));
        return;
    }
    if (job->cancelled || job->shown != MB_DAG_OPEN) {
        return;
    }
    job->cancelled = true;
    job->shown = MB_DAG_CANCELLED;
    job->closed_us = mb_clock_us(&node->clock);
    mb_fleet_job_cancelled(&node->fleet, job);
    job->outcome = MB_DAG_CANCELLED;
    mb_scheduler_defer_flush(node);
}

/* Takes stored progress. The owner wrote it itself and knows more; only what
   clients may be told is news to it. */
static void
apply_progress(mb_scheduler_node_t *node, const mb_dag_record_t *record)
{
    mb_dag_job_t *job = mb_dag_find(&node->table, record->id);
    const mb_dag_progress_t *progress = &record->body.progress;
    if (job == NULL) {
        return;
    }
    job->started = job->started || progress->started;
    if (!mb_fleet_is_owner(&node->fleet)) {
        mb_dag_progress_apply(job, progress);
        job->outcome = job->cancelled ? MB_DAG_CANCELLED : job->outcome;
    }
    if (job->shown == MB_DAG_OPEN && progress->outcome != MB_DAG_OPEN) {
        job->shown = progress->outcome;
        job->closed_us = mb_clock_us(&node->clock);
    }
}

/* Takes a record of the owner. */
static void
apply_owner(mb_scheduler_node_t *node, const mb_dag_record_t *record,
            bool in_order)
{
    mb_ownership_record_t previous = node->ownership.latest;
    if (!mb_ownership_apply(&node->ownership, &record->body.owner, in_order)) {
        return;
    }
    if (node->ownership.state == MB_OWNERSHIP_OWNER) {
        mb_scheduler_become_owner(node, &previous);
    }
    else {
        mb_scheduler_lose_ownership(node);
    }
}

/* Forgets a job whose record was removed. */
static void
remove_job(mb_scheduler_node_t *node, mb_dag_id_t id)
{
    mb_dag_job_t *job = mb_dag_find(&node->table, id);
    if (job != NULL && mb_fleet_job_idle(job)) {
        mb_fleet_job_removed(&node->fleet, job);
        mb_dag_remove(&node->table, id);
    }
}

/* Takes what an earlier owner learned. The owner itself knows more. */
static void
apply_contention(mb_scheduler_node_t *node, const mb_dag_record_t *record)
{
    for (guint i = 0; i < record->body.pairs->len; i++) {
        if (!mb_fleet_is_owner(&node->fleet)) {
            mb_headroom_import(
                &node->fleet.headroom_model,
                &g_array_index(record->body.pairs, mb_headroom_pair_t, i));
        }
    }
}

/* Takes one record of the job log. */
void
mb_scheduler_apply_record(void *context, const mb_keyed_record_t *raw,
                          bool in_order)
{
    mb_scheduler_node_t *node = context;
    mb_dag_record_t record;
    g_autoptr(GError) error = NULL;
    if (!mb_dag_record_decode(&node->decoder, raw->key, raw->value, &record,
                              &error)) {
        mb_log_warning(&node->log, "record ignored: %s bytes=%zu",
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
            mb_scheduler_remove_agent(node, record.body.agent.address);
        }
        else {
            mb_scheduler_add_agent(node, record.body.agent.address);
        }
        break;
    case MB_DAG_RECORD_OWNER:
        if (!record.removed) {
            apply_owner(node, &record, in_order);
        }
        break;
    case MB_DAG_RECORD_CONTENTION:
        if (!record.removed) {
            apply_contention(node, &record);
        }
        break;
    case MB_DAG_RECORD_KIND_COUNT:
        break;
    }
}

/* Everything was read that the job log held at a time. */
void
mb_scheduler_note_jobs_read(void *context, uint64_t read_start_us)
{
    mb_scheduler_node_t *node = context;
    mb_ownership_note_read(&node->ownership, read_start_us);
}

/* Puts a configuration in force, unless a newer one is. */
static void
take_config(void *context, const mb_queue_version_t *version)
{
    mb_scheduler_node_t *node = context;
    if (mb_queue_table_publish(&node->queues, version)) {
        mb_gauge_set(node->metrics.config_version, version->version);
        mb_log_notice(&node->log,
                      "configuration in force version=%" G_GUINT64_FORMAT
                      " queues=%u services=%u",
                      version->version, version->queue_count,
                      version->pool_count);
    }
}

/* Takes one record of the configuration log. One without a value says that
   the record was removed; the configuration stays in force. */
void
mb_scheduler_apply_config(void *context, const mb_keyed_record_t *raw,
                          bool in_order)
{
    mb_scheduler_node_t *node = context;
    g_autoptr(GError) error = NULL;
    (void)in_order;
    if (raw->value.len > 0 &&
        !node->codec.read_config(node->codec.context, raw->key, raw->value,
                                 take_config, node, &error) &&
        error != NULL) {
        mb_log_warning(&node->log, "configuration ignored: %s",
                       error->message);
    }
}

/* Nothing follows from a configuration being current. */
void
mb_scheduler_note_config_read(void *context, uint64_t read_start_us)
{
    (void)context;
    (void)read_start_us;
}
