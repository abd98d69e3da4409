/* Claims of the fleet, and what its owner writes into the job log. */
#include "mb_scheduler_internal.h"

/* How often what was learned is stored, in milliseconds. */
#define CONTENTION_STORE_MS 2000u

static const mb_str_t producer_owner = {"owner", 5};

/* Puts a journal aside whose claim or ownership has ended; it is freed when
   no call of it is open. */
void
mb_scheduler_retire_journal(mb_scheduler_node_t *node)
{
    if (node->owner_journal != NULL) {
        mb_journal_close(node->owner_journal);
        g_ptr_array_add(node->old_journals, node->owner_journal);
        node->owner_journal = NULL;
    }
}

/* Frees the journals put aside. */
void
mb_scheduler_free_journals(mb_scheduler_node_t *node)
{
    for (guint i = 0; i < node->old_journals->len;) {
        mb_journal_t *journal = g_ptr_array_index(node->old_journals, i);
        if (journal->append_pending) {
            i++;
            continue;
        }
        mb_journal_finish(journal);
        g_free(journal);
        (void)g_ptr_array_remove_index_fast(node->old_journals, i);
    }
}

/* Queues a record of the owner. */
bool
mb_scheduler_owner_record(mb_scheduler_node_t *node, uint64_t token,
                          bool resigned, mb_journal_done_t done, void *context)
{
    mb_ownership_record_t record = {token, node->config.incarnation,
                                    mb_str_hash(node->config.name), resigned};
    mb_buf_clear(&node->key);
    mb_buf_clear(&node->value);
    mb_dag_record_key(&node->key, MB_DAG_RECORD_OWNER, MB_STR_EMPTY);
    mb_dag_record_encode_owner(&node->value, &record);
    return mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                          mb_buf_view(&node->value), UINT64_MAX, done,
                          context);
}

/* A claim that its journal reports on; the node may have made another one
   since. */
typedef struct claim {
    mb_scheduler_node_t *node;
    const mb_journal_t *journal;
} claim_t;

/* Takes the result of a claim. One that was taken shows in the log. */
static void
claim_done(void *context, mb_keyed_result_t result)
{
    g_autofree claim_t *claim = context;
    mb_scheduler_node_t *node = claim->node;
    if (result == MB_KEYED_OK || claim->journal != node->owner_journal) {
        return;
    }
    mb_log_info(&node->log, "claim not taken result=%s",
                mb_keyed_result_name(result));
    mb_ownership_claim_failed(&node->ownership);
}

/* Claims the fleet under the next token. A random sequence number makes two
   claims of one token differ, so that the log takes only the first. */
void
mb_scheduler_claim(mb_scheduler_node_t *node)
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
    (void)mb_scheduler_owner_record(node, token, false, claim_done, claim);
    mb_scheduler_wake(node);
}

/* Progress records that are stored together. */
struct mb_scheduler_group {
    mb_scheduler_node_t *node;
    uint32_t left; /* records without a result */
    bool closed;   /* no more records are added */
    bool failed;
};

/* Ends a group when every record has its result. One of an ownership that has
   ended says nothing to the fleet. */
static void
end_group(mb_scheduler_group_t *group)
{
    mb_scheduler_node_t *node = group->node;
    if (group->left > 0 || !group->closed) {
        return;
    }
    if (node->group == group) {
        node->group = NULL;
        mb_fleet_progress_stored(&node->fleet, !group->failed);
        mb_scheduler_wake(node);
    }
    g_free(group);
}

/* Counts a stored progress record. */
static void
progress_done(void *context, mb_keyed_result_t result)
{
    mb_scheduler_group_t *group = context;
    group->failed = group->failed || result != MB_KEYED_OK;
    group->left--;
    end_group(group);
}

/* Queues the progress of a job for the log. */
void
mb_scheduler_store_progress(void *context, const mb_dag_progress_t *progress)
{
    mb_scheduler_node_t *node = context;
    if (node->group == NULL) {
        node->group = g_new0(mb_scheduler_group_t, 1);
        node->group->node = node;
    }
    node->group->left++;
    mb_buf_clear(&node->key);
    mb_buf_clear(&node->value);
    mb_dag_record_key(&node->key, MB_DAG_RECORD_PROGRESS,
                      mb_dag_id_view(&progress->id));
    mb_dag_record_encode_progress(&node->value, progress);
    if (node->owner_journal == NULL ||
        !mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                        mb_buf_view(&node->value), UINT64_MAX, progress_done,
                        node->group)) {
        node->group->failed = true;
        node->group->left--;
    }
}

/* Closes the group of records. */
void
mb_scheduler_store_group_end(void *context)
{
    mb_scheduler_node_t *node = context;
    node->group->closed = true;
    end_group(node->group);
    mb_scheduler_wake(node);
}

/* Stores what was learned of filling work beside services, for the next
   owner. It is not worth a retry. */
void
mb_scheduler_store_contention(mb_scheduler_node_t *node)
{
    uint64_t now_us = mb_clock_us(&node->clock);
    uint64_t period_us = CONTENTION_STORE_MS * (uint64_t)MB_US_PER_MS;
    if (!mb_fleet_is_owner(&node->fleet) || node->owner_journal == NULL ||
        now_us < node->contention_stored_us + period_us) {
        return;
    }
    g_autoptr(GArray) pairs =
        g_array_new(FALSE, FALSE, sizeof(mb_headroom_pair_t));
    mb_headroom_export(&node->fleet.headroom_model, pairs, MB_DAG_PAIRS_MAX);
    node->contention_stored_us = now_us;
    if (pairs->len == 0) {
        return;
    }
    mb_buf_clear(&node->key);
    mb_buf_clear(&node->value);
    mb_dag_record_key(&node->key, MB_DAG_RECORD_CONTENTION, MB_STR_EMPTY);
    mb_dag_record_encode_pairs(&node->value, pairs);
    (void)mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                         mb_buf_view(&node->value), now_us + period_us, NULL,
                         NULL);
}

/* Begins to own the fleet: the claim was read from the log, and with it
   everything that the former owner stored. */
void
mb_scheduler_become_owner(mb_scheduler_node_t *node,
                          const mb_ownership_record_t *former)
{
    uint64_t settle_us =
        mb_ownership_previous_lease_end_us(&node->ownership, former);
    if (former->token > 0) {
        settle_us += mb_fleet_max_lease_us();
    }
    mb_log_notice(&node->log,
                  "owning the fleet token=%" G_GUINT64_FORMAT
                  " jobs=%u agents=%u",
                  node->ownership.latest.token,
                  g_hash_table_size(node->table.jobs), node->agents->len);
    node->group = NULL;
    mb_gauge_set(node->metrics.owner, 1);
    mb_follower_set_read_interval(&node->jobs, 0);
    mb_fleet_become_owner(&node->fleet, node->ownership.latest.token,
                          settle_us);
    mb_scheduler_wake(node);
}

/* Ends to own the fleet. Progress that was not stored is dropped with the
   table, which is read from the log anew. */
void
mb_scheduler_lose_ownership(mb_scheduler_node_t *node)
{
    mb_log_notice(
        &node->log, "fleet lost to token=%" G_GUINT64_FORMAT " resigned=%d",
        node->ownership.latest.token, node->ownership.latest.resigned);
    mb_gauge_set(node->metrics.owner, 0);
    mb_follower_set_read_interval(&node->jobs, MB_SCHEDULER_GAP_MS);
    mb_fleet_lose_ownership(&node->fleet);
    node->group = NULL;
    mb_scheduler_agents_close(node);
    mb_scheduler_retire_journal(node);
    mb_dag_table_clear(&node->table);
    (void)g_hash_table_remove_all(node->cancels);
    mb_follower_reload(&node->jobs);
}
