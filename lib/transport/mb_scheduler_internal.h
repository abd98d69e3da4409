/* Functions that the files of mb_scheduler_node share. All but
   mb_scheduler_handle, mb_scheduler_handle_metrics,
   mb_scheduler_handle_evacuations, mb_scheduler_handle_where,
   mb_scheduler_backlog_write_metrics,
   mb_scheduler_is_stale and mb_scheduler_unix_ms are called only on the thread
   of the loop, or while it is not running. */
#ifndef MB_SCHEDULER_INTERNAL_H
#define MB_SCHEDULER_INTERNAL_H

#include "mb_scheduler_node.h"

/* Maximum number of records and bytes of one append, below the limits of the
   log service. An append that times out is repeated as it was, so a narrow
   link must be able to carry it within MB_JOURNAL_TIMEOUT_MS. */
#define MB_SCHEDULER_BATCH_RECORDS 512u
#define MB_SCHEDULER_BATCH_BYTES (128u * 1024u)
/* Speed of the narrowest link that is provided for, in bytes per millisecond:
   2 Mbit/s. */
#define MB_SCHEDULER_LINK_BYTES_PER_MS 250u
G_STATIC_ASSERT(MB_SCHEDULER_BATCH_BYTES / MB_SCHEDULER_LINK_BYTES_PER_MS <
                MB_JOURNAL_TIMEOUT_MS);
/* Minimum time between two reads of the job log by a process that does not
   own the fleet, in milliseconds. Such a process uses the records only to
   answer queries for the state of jobs, which may be that old. */
#define MB_SCHEDULER_READ_INTERVAL_MS 100u

static const mb_str_t mb_scheduler_stream_jobs = {"jobs", 4};

/* mb_scheduler_node.c */
uint64_t mb_scheduler_unix_ms(void);
void mb_scheduler_init_modules(mb_scheduler_node_t *node);
bool mb_scheduler_is_stale(const mb_scheduler_node_t *node,
                           uint64_t config_age_us);
bool mb_scheduler_may_act(mb_scheduler_node_t *node);
void mb_scheduler_defer_flush(mb_scheduler_node_t *node);

/* mb_scheduler_metrics.c */
void mb_scheduler_add_metrics(mb_scheduler_node_t *node);
void mb_scheduler_handle_metrics(void *context, mb_http_exchange_t *exchange);
void mb_scheduler_note_tick(mb_scheduler_node_t *node);
void mb_scheduler_update_metrics(mb_scheduler_node_t *node);

/* mb_scheduler_evacuations.c */
bool mb_scheduler_handle_evacuations(mb_scheduler_node_t *node,
                                     mb_http_exchange_t *exchange);

/* mb_scheduler_where.c */
bool mb_scheduler_handle_where(mb_scheduler_node_t *node,
                               mb_http_exchange_t *exchange);

/* mb_scheduler_owner.c */
void mb_scheduler_claim_fleet(mb_scheduler_node_t *node);
bool mb_scheduler_append_owner_record(mb_scheduler_node_t *node,
                                      uint64_t token, bool resigned,
                                      mb_journal_done_t done, void *context);
void mb_scheduler_become_owner(mb_scheduler_node_t *node,
                               const mb_ownership_record_t *former);
void mb_scheduler_lose_ownership(mb_scheduler_node_t *node);
void mb_scheduler_store_headroom_model(mb_scheduler_node_t *node);
void mb_scheduler_store_progress(void *context,
                                 const mb_dag_progress_t *progress);
void mb_scheduler_store_group_end(void *context);
void mb_scheduler_retire_journal(mb_scheduler_node_t *node);
void mb_scheduler_free_retired_journals(mb_scheduler_node_t *node);

/* mb_scheduler_apply.c */
void mb_scheduler_apply_record(void *context, const mb_keyed_record_t *raw,
                               bool in_order);
void mb_scheduler_note_jobs_read(void *context, uint64_t read_start_us);

/* mb_scheduler_backlog.c */
void mb_scheduler_backlog_init(mb_scheduler_node_t *node);
void mb_scheduler_backlog_finish(mb_scheduler_node_t *node);
void mb_scheduler_publish_backlog(mb_scheduler_node_t *node);
void mb_scheduler_apply_backlog(mb_scheduler_node_t *node,
                                const mb_backlog_forecast_t *forecast,
                                bool in_order);
void mb_scheduler_update_backlog_metrics(mb_scheduler_node_t *node);
void mb_scheduler_backlog_write_metrics(const mb_scheduler_node_t *node,
                                        mb_buf_t *out);

/* mb_scheduler_memory.c */

/* What clients are told of a job. */
typedef struct mb_scheduler_job_state {
    mb_dag_outcome_t outcome;
    bool started;
} mb_scheduler_job_state_t;

void mb_scheduler_memory_init(mb_scheduler_node_t *node);
void mb_scheduler_memory_finish(mb_scheduler_node_t *node);
void mb_scheduler_memory_tick(mb_scheduler_node_t *node);
bool mb_scheduler_set_aside(mb_scheduler_node_t *node,
                            const mb_dag_spec_t *spec);
void mb_scheduler_set_aside_progress(mb_scheduler_node_t *node, mb_dag_id_t id,
                                     bool started, mb_dag_outcome_t outcome);
void mb_scheduler_set_aside_removed(mb_scheduler_node_t *node, mb_dag_id_t id);
bool mb_scheduler_find_job(const mb_scheduler_node_t *node, mb_dag_id_t id,
                           mb_scheduler_job_state_t *state);
uint64_t mb_scheduler_count_set_aside(const mb_scheduler_node_t *node,
                                      mb_str_t queue);
void mb_scheduler_reload_jobs(mb_scheduler_node_t *node);
void mb_scheduler_note_jobs_loaded(mb_scheduler_node_t *node);

/* mb_scheduler_accept.c */
void mb_scheduler_handle(void *context, mb_http_exchange_t *exchange);

/* mb_scheduler_requests.c */
void mb_scheduler_requests_tick(mb_scheduler_node_t *node);

/* mb_scheduler_agents.c */
void mb_scheduler_agent_announced(mb_scheduler_node_t *node, mb_str_t address,
                                  uint64_t incarnation);
void mb_scheduler_agent_removed(mb_scheduler_node_t *node, mb_str_t address);
void mb_scheduler_agent_departed(mb_scheduler_node_t *node, mb_str_t address,
                                 uint64_t incarnation);
void mb_scheduler_departure_removed(mb_scheduler_node_t *node,
                                    mb_str_t address);
void mb_scheduler_agent_absent(mb_scheduler_node_t *node, mb_str_t address,
                               const mb_dag_absence_record_t *absence);
bool mb_scheduler_store_absence(void *context, uint32_t worker,
                                const GArray *tasks);
void mb_scheduler_jobs_loaded(void *context);
void mb_scheduler_agents_tick(mb_scheduler_node_t *node);
void mb_scheduler_close_agents(mb_scheduler_node_t *node);
void mb_scheduler_send_order(void *context, uint32_t worker,
                             const mb_order_t *order);
bool mb_scheduler_is_congested(void *context, uint32_t worker);

#endif
