/* Claims of the fleet, and the records that its owner appends to the job log.
   All functions run on the thread of the loop. */
#include "mb_scheduler_internal.h"

/* Interval at which the estimates of the headroom model are stored, in
   milliseconds. */
#define HEADROOM_STORE_INTERVAL_MS 2000u

static const mb_str_t producer_owner = {"owner", 5};

/* Closes the journal of the latest claim, if there is one. It is freed later,
   because the log may still call back for an append in flight. */
void
mb_scheduler_retire_journal(mb_scheduler_node_t *node)
{
    if (node->owner_journal != NULL) {
        mb_journal_close(node->owner_journal);
        g_ptr_array_add(node->retired_journals, node->owner_journal);
        node->owner_journal = NULL;
    }
}

/* Frees the retired journals without an append in flight. */
void
mb_scheduler_free_retired_journals(mb_scheduler_node_t *node)
{
    for (guint i = 0; i < node->retired_journals->len;) {
        mb_journal_t *journal = g_ptr_array_index(node->retired_journals, i);
        if (journal->append_pending) {
            i++;
            continue;
        }
        mb_journal_finish(journal);
        g_free(journal);
        (void)g_ptr_array_remove_index_fast(node->retired_journals, i);
    }
}

/* Queues a claim, heartbeat or resignation under a fencing token. Returns
   false, without calling `done`, if the journal rejects it. */
bool
mb_scheduler_append_owner_record(mb_scheduler_node_t *node, uint64_t token,
                                 bool resigned, mb_journal_done_t done,
                                 void *context)
{
    mb_ownership_record_t record = {token, node->config.incarnation,
                                    mb_str_hash(node->config.name), resigned};
    mb_buf_clear(&node->key);
    mb_buf_clear(&node->value);
    mb_dag_record_encode_key(&node->key, MB_DAG_RECORD_OWNER, MB_STR_EMPTY);
    mb_dag_record_encode_owner(&node->value, &record);
    return mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                          mb_buf_view(&node->value), UINT64_MAX, done,
                          context);
}

/* Context of a claim whose append is pending. The node may have made another
   claim since, with another journal. */
typedef struct claim {
    mb_scheduler_node_t *node;
    const mb_journal_t *journal;
} claim_t;

/* Handles the result of the append of a claim. After a success this process
   becomes the owner when the claim is read back. After a failure it is a
   follower again, which may claim later. The result of an earlier claim is
   ignored. Releases `context`. */
static void
claim_done(void *context, mb_keyed_result_t result)
{
    claim_t *claim = context;
    mb_scheduler_node_t *node = claim->node;
    bool is_latest = claim->journal == node->owner_journal;
    (void)g_ptr_array_remove_fast(node->owner_appends, claim);
    if (result == MB_KEYED_OK || !is_latest) {
        return;
    }
    mb_log_info(&node->log,
                "claim not accepted by the log, may claim later result=%s",
                mb_keyed_result_name(result));
    mb_ownership_claim_failed(&node->ownership);
}

/* Claims the fleet under the next fencing token. The token is the producer
   epoch of the append. The sequence number is random, so that two processes
   that claim the same token use different ones and the log accepts only the
   first claim. */
void
mb_scheduler_claim_fleet(mb_scheduler_node_t *node)
{
    mb_rng_t rng = mb_rng_thread();
    uint64_t token = node->ownership.latest.token + 1;
    mb_journal_config_t config = {.stream = mb_scheduler_stream_jobs,
                                  .producer = producer_owner,
                                  .epoch = token,
                                  .sequence = 1 + mb_rng_below(&rng, 1u << 30),
                                  .epoch_shared = true,
                                  .batch_records_max =
                                      MB_SCHEDULER_BATCH_RECORDS,
                                  .batch_bytes_max = MB_SCHEDULER_BATCH_BYTES};
    mb_log_notice(
        &node->log,
        "claiming the fleet token=%" G_GUINT64_FORMAT
        " resigned=%d heard_ms_ago=%" G_GUINT64_FORMAT,
        token, node->ownership.latest.resigned,
        (mb_clock_us(&node->clock) - node->ownership.last_record_us) /
            MB_US_PER_MS);
    mb_scheduler_retire_journal(node);
    node->owner_journal = g_new0(mb_journal_t, 1);
    mb_journal_init(node->owner_journal, &config, &node->keyed_log,
                    &node->clock, &node->log);
    claim_t *claim = g_new0(claim_t, 1);
    *claim = (claim_t){node, node->owner_journal};
    g_ptr_array_add(node->owner_appends, claim);
    (void)mb_scheduler_append_owner_record(node, token, false, claim_done,
                                           claim);
    mb_scheduler_defer_flush(node);
}

/* Progress records whose result is reported to the fleet together. */
struct mb_scheduler_progress_group {
    mb_scheduler_node_t *node;
    uint32_t pending; /* records without a result */
    bool closed;      /* no more records are added */
    bool failed;      /* at least one record was not stored */
};

/* Reports the result of a closed group to the fleet and frees the group, once
   every record has a result. The result of a group from an ownership that has
   ended is not reported. */
static void
finish_group(mb_scheduler_progress_group_t *group)
{
    mb_scheduler_node_t *node = group->node;
    if (group->pending > 0 || !group->closed) {
        return;
    }
    if (node->progress_group == group) {
        node->progress_group = NULL;
        mb_fleet_progress_stored(&node->fleet, !group->failed);
        mb_scheduler_defer_flush(node);
    }
    g_free(group);
}

/* Handles the result of the append of one progress record. */
static void
progress_done(void *context, mb_keyed_result_t result)
{
    mb_scheduler_progress_group_t *group = context;
    group->failed = group->failed || result != MB_KEYED_OK;
    group->pending--;
    finish_group(group);
}

/* Queues the progress of a job for the log, as part of the current group;
   implements mb_fleet_callbacks_t.store. A rejected record fails the group. */
void
mb_scheduler_store_progress(void *context, const mb_dag_progress_t *progress)
{
    mb_scheduler_node_t *node = context;
    if (node->progress_group == NULL) {
        node->progress_group = g_new0(mb_scheduler_progress_group_t, 1);
        node->progress_group->node = node;
    }
    node->progress_group->pending++;
    mb_buf_clear(&node->key);
    mb_buf_clear(&node->value);
    mb_dag_record_encode_key(&node->key, MB_DAG_RECORD_PROGRESS,
                             mb_dag_id_view(&progress->id));
    mb_dag_record_encode_progress(&node->value, progress);
    if (node->owner_journal == NULL ||
        !mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                        mb_buf_view(&node->value), UINT64_MAX, progress_done,
                        node->progress_group)) {
        node->progress_group->failed = true;
        node->progress_group->pending--;
    }
}

/* Closes the current group, which holds at least one record; implements
   mb_fleet_callbacks_t.store_group_end. */
void
mb_scheduler_store_group_end(void *context)
{
    mb_scheduler_node_t *node = context;
    node->progress_group->closed = true;
    finish_group(node->progress_group);
    mb_scheduler_defer_flush(node);
}

/* A record of an absent worker, or its removal, whose append has no result
   yet. */
typedef struct absence_append {
    mb_scheduler_node_t *node;
    const mb_journal_t *journal;
    uint32_t worker;
    bool removal;
} absence_append_t;

/* Reports the result of an append about an absent worker to the fleet. The
   result from an ownership that has ended is ignored. */
static void
absence_done(void *context, mb_keyed_result_t result)
{
    absence_append_t *append = context;
    mb_scheduler_node_t *node = append->node;
    bool in_log =
        append->removal ? result != MB_KEYED_OK : result != MB_KEYED_NOT_DONE;
    if (append->journal == node->owner_journal) {
        mb_fleet_absence_stored(&node->fleet, append->worker, in_log);
        mb_scheduler_defer_flush(node);
    }
    (void)g_ptr_array_remove_fast(node->owner_appends, append);
}

/* Queues a record of an absent worker, or its removal; implements
   mb_fleet_callbacks_t.store_absence. While the log does not accept appends,
   no record is queued: the worker could not be used before its removal. */
bool
mb_scheduler_store_absence(void *context, uint32_t worker, const GArray *tasks)
{
    mb_scheduler_node_t *node = context;
    uint64_t deadline_us = UINT64_MAX;
    if (node->owner_journal == NULL ||
        (tasks != NULL && node->owner_journal->failing_since_us != 0)) {
        return false;
    }
    mb_buf_clear(&node->key);
    mb_buf_clear(&node->value);
    mb_dag_record_encode_key(
        &node->key, MB_DAG_RECORD_ABSENCE,
        mb_buf_view(&mb_fleet_get_worker(&node->fleet, worker)->address));
    if (tasks != NULL) {
        mb_dag_absence_record_t absence = {node->fleet.token, tasks};
        mb_dag_record_encode_absence(&node->value, &absence);
        deadline_us = mb_clock_us(&node->clock) +
                      MB_JOURNAL_TIMEOUT_MS * (uint64_t)MB_US_PER_MS;
    }
    absence_append_t *append = g_new0(absence_append_t, 1);
    *append =
        (absence_append_t){node, node->owner_journal, worker, tasks == NULL};
    if (!mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                        mb_buf_view(&node->value), deadline_us, absence_done,
                        append)) {
        g_free(append);
        return false;
    }
    g_ptr_array_add(node->owner_appends, append);
    mb_scheduler_defer_flush(node);
    return true;
}

/* Stores the estimates of the headroom model for the next owner, at intervals.
   An append that fails is not retried beyond one interval, because the next
   one replaces it. */
void
mb_scheduler_store_headroom_model(mb_scheduler_node_t *node)
{
    uint64_t now_us = mb_clock_us(&node->clock);
    uint64_t period_us = HEADROOM_STORE_INTERVAL_MS * (uint64_t)MB_US_PER_MS;
    if (!mb_fleet_is_owner(&node->fleet) || node->owner_journal == NULL ||
        now_us < node->headroom_stored_us + period_us) {
        return;
    }
    g_autoptr(GArray) pairs =
        g_array_new(FALSE, FALSE, sizeof(mb_headroom_pair_t));
    mb_headroom_export(&node->fleet.headroom_model, pairs,
                       MB_DAG_HEADROOM_PAIRS_MAX);
    node->headroom_stored_us = now_us;
    if (pairs->len == 0) {
        return;
    }
    mb_buf_clear(&node->key);
    mb_buf_clear(&node->value);
    mb_dag_record_encode_key(&node->key, MB_DAG_RECORD_HEADROOM, MB_STR_EMPTY);
    mb_dag_record_encode_headroom_pairs(&node->value, pairs);
    (void)mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                         mb_buf_view(&node->value), now_us + period_us, NULL,
                         NULL);
}

/* Starts to own the fleet. Called when the claim has been read back, and thus
   all records that the former owner stored before it. `former` is the latest
   record of the former owner. Until its own lease ended, the former owner
   could still grant leases to workers, so those may last longer by the longest
   lease of a worker. */
void
mb_scheduler_become_owner(mb_scheduler_node_t *node,
                          const mb_ownership_record_t *former)
{
    uint64_t former_leases_end_us =
        mb_ownership_former_lease_end_us(&node->ownership, former);
    if (former->token > 0) {
        former_leases_end_us += mb_fleet_max_lease_us();
    }
    mb_log_notice(&node->log,
                  "owning the fleet token=%" G_GUINT64_FORMAT
                  " jobs=%u agents=%u",
                  node->ownership.latest.token,
                  g_hash_table_size(node->table.jobs), node->agents->len);
    node->progress_group = NULL;
    node->backlog_published = false;
    mb_gauge_set(node->metrics.owner, 1);
    mb_follower_set_read_interval(&node->jobs, 0);
    mb_fleet_become_owner(&node->fleet, node->ownership.latest.token,
                          former_leases_end_us);
    mb_scheduler_defer_flush(node);
}

/* Stops owning the fleet, after another process has claimed it or the
   resignation of this one was read back; `ownership.latest` is that record.
   Progress that was not stored is dropped: the table is cleared and rebuilt
   from the log. */
void
mb_scheduler_lose_ownership(mb_scheduler_node_t *node)
{
    mb_log_notice(
        &node->log,
        "lost the fleet, latest owner record token=%" G_GUINT64_FORMAT
        " resigned=%d",
        node->ownership.latest.token, node->ownership.latest.resigned);
    mb_gauge_set(node->metrics.owner, 0);
    mb_follower_set_read_interval(&node->jobs, MB_SCHEDULER_READ_INTERVAL_MS);
    mb_fleet_lose_ownership(&node->fleet);
    mb_backlog_note_owner(&node->backlog, UINT64_MAX);
    node->progress_group = NULL;
    mb_scheduler_close_agents(node);
    mb_scheduler_retire_journal(node);
    mb_scheduler_reload_jobs(node);
}
