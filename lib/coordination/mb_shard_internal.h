/* Data structures and functions shared by the files of the shard owner. */
#ifndef MB_SHARD_INTERNAL_H
#define MB_SHARD_INTERNAL_H

#include "mb_dispatch.h"
#include "mb_evidence.h"
#include "mb_health.h"
#include "mb_shard.h"
#include "mb_sizing.h"
#include "mb_slowdown.h"

/* Bits of mb_task_t.marks. The owner sets them on tasks that are held
   (assigned or running) or whose start is being appended; they are not
   replicated. */
enum {
    /* Assigned by an earlier owner and not yet reported by the worker. */
    MB_MARK_INHERITED = 1,
    /* The start was sent to the worker under the present fencing token. */
    MB_MARK_SENT = 2,
    /* Held task: the worker's response being processed reports it. */
    MB_MARK_REPORTED = 4,
    /* Pending task: the record of its start is being appended. Shares the bit
       of MB_MARK_REPORTED, which only held tasks have. */
    MB_MARK_IN_FLIGHT = 4,
    /* Its finish or release is queued or being appended. */
    MB_MARK_END_PENDING = 8,
    /* To be stopped with a checkpoint and requeued. */
    MB_MARK_EVICT = 16,
    /* To be stopped for good: no longer declared. */
    MB_MARK_CANCEL = 32,
    /* Counted by the dispatch, and thus in the quota of its team. */
    MB_MARK_IN_DISPATCH = 64,
    /* Its size is reserved on its worker in the placement. */
    MB_MARK_IN_PLACEMENT = 128
};

/* A worker that has been declared or has held a task; it is not removed. */
typedef struct mb_shard_worker {
    uint64_t key; /* mb_shard_worker_key */
    mb_resource_t resource;
    mb_worker_id_t placement_id; /* MB_WORKER_NONE while not declared */
    bool declared;
    bool healthy;   /* as set by mb_shard_set_healthy */
    bool eligible;  /* new tasks may be placed here */
    bool confirmed; /* responded under the present token; not lost since */
    bool sync_in_flight;    /* a request has no outcome yet */
    bool unresponsive;      /* gets probes, which do not extend its lease */
    bool sync_grants_lease; /* the latest request extends the lease */
    bool leased; /* the latest response was to a request that extends it */
    mb_health_t health;
    mb_slowdown_controller_t slowdown_controller; /* of its batch tasks */
    /* The sample with the greatest slowdown in the response being processed;
       valid if `has_sample`. */
    bool has_sample;
    uint32_t sample_slowdown_permille;
    uint32_t sample_kind;
    uint64_t sample_time_us;
    uint32_t throttled_milli; /* processors taken from batch by throttles */
    uint64_t incarnation;     /* 0: unknown */
    uint64_t sent_token;      /* fencing token of the latest request */
    uint64_t next_sync_us;
    uint64_t due_us; /* key in mb_shard_t.workers_by_due_time */
    GSequenceIter *due_iter;
    /* Latest time at which a lease granted so far can end. */
    uint64_t lease_expiry_us;
    uint32_t unreserved_count; /* held tasks that do not fit its capacity */
    GArray *held_tasks;        /* mb_task_id_t */
    /* For the next request, at most MB_SYNC_LIST_MAX entries each: */
    GArray *acks;      /* mb_attempt_t */
    GArray *orphaned;  /* mb_attempt_t; reported, but not held according to the
                          task table: to be stopped */
    GArray *throttles; /* mb_sync_throttle_t */
} mb_shard_worker_t;

/* A job or service that is declared or still has tasks. */
typedef struct mb_shard_job {
    uint64_t key;             /* mb_shard_job_key */
    uint32_t dispatch_number; /* stands for the job in ids of the dispatch */
    mb_resource_t resource;
    bool declared;
    uint64_t baseline_latency_us; /* estimate of the undisturbed latency */
    uint32_t local_count;         /* declared tasks that this shard runs */
    uint32_t next_unstarted;      /* no task from this index on was started */
    GArray *requeued; /* uint32_t, indices of pending tasks below that */
    GArray *queued;   /* uint32_t, indices of tasks queued in the dispatch */
    mb_wait_reason_t wait_reason;
    uint32_t backoff_ms; /* current back-off delay; 0: no back-off */
    uint64_t backoff_end_us;
    bool close_pending; /* its close is queued or being appended */
} mb_shard_job_t;

struct mb_shard {
    mb_shard_config_t config;
    mb_shard_callbacks_t callbacks;
    mb_clock_t clock;
    mb_rng_t rng;
    mb_log_t log;
    mb_lease_t lease;                    /* replicated */
    mb_task_table_t tasks;               /* replicated */
    GHashTable *jobs;                    /* key -> mb_shard_job_t */
    GHashTable *workers;                 /* key -> mb_shard_worker_t */
    GSequence *workers_by_due_time;      /* mb_shard_worker_t */
    GHashTable *workers_by_placement_id; /* mb_worker_id_t -> worker */
    GHashTable *teams;                   /* name -> mb_resource_t */
    GHashTable *constraints;             /* name -> mb_resource_t */
    mb_size_t *capacities;               /* of every shard */
    GHashTable *jobs_by_number; /* dispatch_number -> mb_shard_job_t */
    GHashTable *ready_jobs;     /* likewise; jobs with tasks to queue */
    uint32_t last_dispatch_number;
    mb_policy_t policy;
    bool config_ready;
    /* This process is the owner: the claim in force, as far as the log was
       replayed, is its own. The members below are for the owner. */
    bool active;
    uint64_t active_token;   /* fencing token */
    uint64_t orphan_scan_us; /* time of the next search for undeclared jobs */
    mb_placement_t *placement;
    mb_quota_t *quota;
    mb_dispatch_t *dispatch;
    mb_sizing_t sizing;
    mb_evidence_t evidence; /* on jobs that have failed; by their keys */
    mb_slowdown_t slowdown_model;
    uint32_t throttled_milli; /* sum over all workers */
    bool rebuild_needed;      /* placement, quota and dispatch are outdated */
    uint64_t schedule_retry_us; /* when waiting tasks are tried again */
    GArray *finishes;           /* mb_finish_t, to be appended */
    GArray *releases;           /* mb_release_t, likewise; owns checkpoints */
    GArray *closes;             /* mb_close_t, likewise */
    bool schedule_needed;       /* some task may have become startable */
    bool schedule_urgent;       /* an urgent task may have become startable */
    uint64_t next_schedule_us;  /* earliest next pass that is not urgent */
    /* Time of the scheduling pass in progress. The dispatch and the health
       score must record a start with the same time; otherwise its success
       cannot be matched to the start and does not count. */
    uint64_t schedule_time_us;
    uint64_t next_finishes_us; /* earliest next append of finishes */
    bool append_in_flight;     /* a record was handed to the log */
    mb_shard_record_t record;  /* buffer for the record to append */
    mb_sync_request_t request; /* buffer for the request to send */
};

/* mb_shard_jobs.c */
void mb_shard_job_free(gpointer data);
void mb_shard_job_rebuild(mb_shard_t *shard, mb_shard_job_t *job);
void mb_shard_job_requeue(mb_shard_t *shard, mb_task_id_t id,
                          const mb_task_t *task);
bool mb_shard_job_is_complete(const mb_shard_t *shard,
                              const mb_shard_job_t *job);
void mb_shard_job_close_if_complete(mb_shard_t *shard, mb_shard_job_t *job);
mb_shard_job_t *mb_shard_job_add(mb_shard_t *shard, uint64_t key,
                                 mb_resource_kind_t kind);
void mb_shard_job_remove(mb_shard_t *shard, mb_shard_job_t *job);
bool mb_shard_job_peek_startable(const mb_shard_t *shard, mb_shard_job_t *job,
                                 uint32_t *index);
void mb_shard_job_pop_startable(const mb_shard_t *shard, mb_shard_job_t *job);
bool mb_shard_job_in_backoff(const mb_shard_t *shard,
                             const mb_shard_job_t *job);
mb_class_t mb_shard_job_class(const mb_shard_job_t *job);
void mb_shard_stop_orphaned_jobs(mb_shard_t *shard);
bool mb_shard_job_needs_task(const mb_shard_job_t *job, uint32_t index);
bool mb_shard_job_is_cancelled(const mb_shard_job_t *job);

/* mb_shard_policy.c */
void mb_shard_policy_rebuild(mb_shard_t *shard);
void mb_shard_policy_clear(mb_shard_t *shard);
void mb_shard_policy_schedule(mb_shard_t *shard);
void mb_shard_policy_mark_ready(mb_shard_t *shard, mb_shard_job_t *job);
void mb_shard_policy_unqueue(mb_shard_t *shard, mb_shard_job_t *job);
void mb_shard_policy_release_task(mb_shard_t *shard, mb_task_id_t id,
                                  mb_task_t *task);
void mb_shard_policy_handle_exit(mb_shard_t *shard, mb_shard_worker_t *worker,
                                 mb_task_id_t id, uint32_t exit_code);
bool mb_shard_policy_may_evict(const mb_shard_t *shard, mb_task_id_t id);
void mb_shard_policy_note_eviction(mb_shard_t *shard, mb_task_id_t id);
uint64_t mb_shard_policy_start_time_us(const mb_shard_t *shard,
                                       mb_task_id_t id);
mb_wait_reason_t mb_shard_policy_wait_reason(const mb_shard_t *shard,
                                             const mb_shard_job_t *job);

/* mb_shard_attribution.c */
void mb_shard_evidence_init(mb_shard_t *shard);
void mb_shard_attribute_failure(mb_shard_t *shard, mb_shard_worker_t *worker,
                                mb_task_id_t id);
void mb_shard_attribute_success(mb_shard_t *shard, mb_shard_worker_t *worker,
                                mb_task_id_t id);
void mb_shard_attribute_work(mb_shard_t *shard, mb_shard_worker_t *worker,
                             mb_task_id_t id);

/* mb_shard_slowdown.c */
void mb_shard_slowdown_handle_usage(mb_shard_t *shard,
                                    mb_shard_worker_t *worker,
                                    const mb_usage_t *usage);
void mb_shard_slowdown_reset(mb_shard_t *shard, mb_shard_worker_t *worker);
void mb_shard_slowdown_decide(mb_shard_t *shard, mb_shard_worker_t *worker);

/* mb_shard_owner.c */
void mb_shard_activate(mb_shard_t *shard);
void mb_shard_deactivate(mb_shard_t *shard);
void mb_shard_queue_finish(mb_shard_t *shard, const mb_finish_t *finish);
void mb_shard_queue_release(mb_shard_t *shard, mb_task_id_t id,
                            mb_task_t *task, mb_release_reason_t reason,
                            mb_str_t checkpoint);
mb_release_reason_t mb_shard_stop_reason(const mb_shard_t *shard,
                                         mb_task_id_t id);

/* mb_shard_worker.c */
void mb_shard_worker_free(gpointer data);
mb_shard_worker_t *mb_shard_worker_get_or_add(mb_shard_t *shard, uint64_t key);
void mb_shard_worker_declare(mb_shard_t *shard, const mb_resource_t *resource);
void mb_shard_worker_undeclare(mb_shard_t *shard, mb_str_t name);
void mb_shard_worker_reset(mb_shard_t *shard, mb_shard_worker_t *worker);
void mb_shard_worker_reschedule(mb_shard_worker_t *worker);
void mb_shard_worker_update_eligibility(mb_shard_t *shard,
                                        mb_shard_worker_t *worker);
void mb_shard_worker_remove_task(mb_shard_worker_t *worker, mb_task_id_t id);
uint64_t mb_shard_max_grant_us(const mb_shard_t *shard);

/* mb_shard_sync.c */
uint64_t mb_shard_tick_workers(mb_shard_t *shard);

/* Returns the worker with this key, or NULL. */
static inline mb_shard_worker_t *
mb_shard_worker_find(const mb_shard_t *shard, uint64_t key)
{
    return g_hash_table_lookup(shard->workers, &key);
}

/* Returns the job with this key, or NULL. */
static inline mb_shard_job_t *
mb_shard_job_find(const mb_shard_t *shard, uint64_t key)
{
    return g_hash_table_lookup(shard->jobs, &key);
}

#endif
