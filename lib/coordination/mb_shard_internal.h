/* Parts of the shard owner that its files share. */
#ifndef MB_SHARD_INTERNAL_H
#define MB_SHARD_INTERNAL_H

#include "mb_dispatch.h"
#include "mb_health.h"
#include "mb_slowdown.h"
#include "mb_shard.h"
#include "mb_sizing.h"

/* Marks of a held task, kept by the owner. */
enum {
    MB_MARK_INHERITED =
        1,                /* assigned by an earlier owner, not yet confirmed */
    MB_MARK_SENT = 2,     /* the start was sent under this token */
    MB_MARK_REPORTED = 4, /* in the response being read */
    MB_MARK_IN_FLIGHT = 4, /* of a pending task: its start is being appended */
    MB_MARK_END_PENDING = 8, /* its finish or release waits for the log */
    MB_MARK_EVICT = 16,
    MB_MARK_CANCEL = 32,
    MB_MARK_IN_DISPATCH = 64, /* runs for the dispatch: counted in the quota */
    MB_MARK_IN_PLACEMENT = 128 /* counted in the placement */
};

typedef struct mb_shard_worker {
    uint64_t key;
    mb_resource_t resource;
    mb_worker_id_t placement_id; /* MB_WORKER_NONE while not declared */
    bool declared;
    bool healthy;           /* the verdict of mb_shard_set_healthy */
    bool eligible;          /* as told to the placement */
    bool confirmed;         /* has answered under this token */
    bool sync_in_flight;    /* for an answer */
    bool unresponsive;      /* gets probes that grant no lease */
    bool sync_grants_lease; /* the request on its way grants a lease */
    bool leased; /* the last answer was to a request that granted one */
    mb_health_t health;
    mb_slowdown_controller_t guard;
    bool has_sample; /* by the answer being read; then the worst sample: */
    uint32_t sample_slowdown_permille;
    uint32_t sample_kind;
    uint64_t sample_time_us;
    uint32_t throttled_milli; /* processors that throttles take from batch */
    uint64_t incarnation;
    uint64_t sent_token;
    uint64_t next_sync_us;
    uint64_t due_us; /* key in the queue of the shard */
    GSequenceIter *due_iter;
    uint64_t
        lease_expiry_us; /* from then on its lease has certainly expired */
    uint32_t unreserved_count; /* held tasks that do not fit its capacity */
    GArray *held_tasks;        /* mb_task_id_t */
    GArray *acks;              /* mb_attempt_t, bounded by MB_SYNC_LIST_MAX */
    GArray *orphaned;          /* mb_attempt_t to stop; likewise bounded */
    GArray *throttles;         /* mb_sync_throttle_t, likewise bounded */
} mb_shard_worker_t;

typedef struct mb_shard_job {
    uint64_t key;
    uint32_t dispatch_number; /* of the ids that the dispatch knows */
    mb_resource_t resource;
    bool declared;
    uint64_t baseline_latency_us; /* latency when undisturbed */
    uint32_t local_count;         /* tasks of this shard below `count` */
    uint32_t next_unstarted;      /* indices from here on were never started */
    GArray *requeued;             /* uint32_t, pending again */
    GArray *queued;               /* uint32_t, waiting in the dispatch */
    mb_wait_reason_t wait_reason;
    uint32_t backoff_ms;     /* delay of the latest retries; 0: none needed */
    uint64_t backoff_end_us; /* end of that delay */
    bool close_pending;      /* its close record waits for the log */
} mb_shard_job_t;

struct mb_shard {
    mb_shard_config_t config;
    mb_shard_callbacks_t callbacks;
    mb_clock_t clock;
    mb_rng_t rng;
    mb_log_t log;
    mb_lease_t lease;
    mb_task_table_t tasks;
    GHashTable *jobs;    /* key -> mb_shard_job_t */
    GHashTable *workers; /* key -> mb_shard_worker_t */
    GSequence
        *workers_by_due_time; /* mb_shard_worker_t by the time they are due */
    GHashTable
        *workers_by_placement_id; /* mb_worker_id_t -> mb_shard_worker_t */
    GHashTable *teams;            /* name -> mb_resource_t */
    GHashTable *constraints;
    mb_size_t *capacities;      /* of every shard */
    GHashTable *jobs_by_number; /* job number -> mb_shard_job_t */
    GHashTable *ready_jobs;     /* likewise, jobs with tasks to queue */
    uint32_t last_dispatch_number;
    mb_policy_t policy;
    bool config_ready;
    /* While this process acts for the shard: */
    bool active;
    uint64_t active_token;
    uint64_t orphan_scan_us; /* time of the next search for unknown jobs */
    mb_placement_t *placement;
    mb_quota_t *quota;
    mb_dispatch_t *dispatch;
    mb_sizing_t sizing;
    mb_slowdown_t slowdown_model;
    uint32_t throttled_milli;   /* of all workers */
    bool rebuild_needed;        /* placement, quota and dispatch lag behind */
    uint64_t schedule_retry_us; /* time of the next look at tasks that wait */
    GArray *finishes;           /* mb_finish_t */
    GArray *releases;           /* mb_release_t, text owned */
    GArray *closes;             /* mb_close_t */
    bool schedule_needed;       /* something may have become startable */
    bool schedule_urgent;       /* an urgent task may be startable */
    uint64_t next_batch_us;     /* time of the next batch that is not urgent */
    /* Time of the choice in progress. The dispatch and the health scores must
       know a start by the same time, or its success proves nothing. */
    uint64_t schedule_time_us;
    uint64_t next_finishes_us; /* earliest time of the next finishes */
    bool append_in_flight;     /* one record is on its way to the log */
    mb_shard_record_t record;  /* scratch memory of an append */
    mb_sync_request_t request; /* scratch memory of a sync */
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

/* Returns the worker of a key, or NULL. */
static inline mb_shard_worker_t *
mb_shard_worker_find(const mb_shard_t *shard, uint64_t key)
{
    return g_hash_table_lookup(shard->workers, &key);
}

/* Returns the job of a key, or NULL. */
static inline mb_shard_job_t *
mb_shard_job_find(const mb_shard_t *shard, uint64_t key)
{
    return g_hash_table_lookup(shard->jobs, &key);
}

#endif
