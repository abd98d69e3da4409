/* A small model of a fleet under virtual time: workers with true sizes, run
   times and slowdowns, late samples and an arrival process. What decides is
   behind callbacks, so that two variants meet the same seeds. */
#ifndef POLICY_MODEL_H
#define POLICY_MODEL_H

#include <glib.h>

#include "mb_clock.h"
#include "mb_resource.h"
#include "mb_rng.h"

#define POLICY_WORKERS 11
#define POLICY_SLOTS 8
#define POLICY_KINDS 24
#define POLICY_QUEUE_MAX 20000
#define POLICY_TICK_US UINT64_C(100000)
#define POLICY_BATCH_MIN_PERCENT 20
#define POLICY_SAMPLE_KINDS_MAX 16

/* A recurring job: its tasks differ around its own means. */
typedef struct policy_kind {
    double run_s;       /* scale of true run times */
    double cpu_milli;   /* true demand */
    double run_factor;  /* declared / true */
    double size_factor; /* declared / true */
    double noise;       /* slowdown of a service per 4 cores of it */
    bool noisy;
} policy_kind_t;

typedef struct policy_task {
    uint64_t id;
    mb_class_t task_class;
    uint32_t kind;
    mb_size_t size;
    uint32_t declared_ms;
    double work_s; /* true run time at full speed */
    double speed;  /* below 1 when held to a declared size too small */
    double done_s;
    double checkpoint_work_s;
    uint64_t checkpoint_us;
    uint64_t arrived_us;
    uint64_t started_us;
    uint64_t stop_us; /* evicted with a checkpoint at this time; 0: not */
    bool will_fail;
    bool probe;                /* set by the decider before the start */
    uint32_t throttle_percent; /* speed that throttling leaves */
    uint32_t worker;
    uint32_t attempts;
} policy_task_t;

/* What a worker reports, some time after it was measured. */
typedef struct policy_sample {
    uint32_t worker;
    uint32_t slowdown_permille;
    uint64_t measured_us;
    uint64_t due_us;
    uint32_t used_milli;
    uint32_t kinds[POLICY_SAMPLE_KINDS_MAX];
    uint32_t kind_count;
} policy_sample_t;

typedef struct policy_worker {
    mb_size_t capacity; /* for tasks beside the service */
    uint32_t failure_domain;
    bool alive;
    bool bad;         /* fails every start */
    double slowdown;  /* of its service */
    GPtrArray *tasks; /* policy_task_t */
    double slot_free_s[POLICY_SLOTS];
} policy_worker_t;

/* The decisions of one variant. */
typedef struct policy_scheduler {
    bool (*add)(void *context, policy_task_t *task); /* false: refused */
    void (*ended)(void *context, policy_task_t *task, bool ok);
    void (*sample)(void *context, const policy_sample_t *sample);
    void (*worker_changed)(void *context, uint32_t worker);
    void (*tick)(void *context);
    void *context;
} policy_scheduler_t;

/* What a scenario asks of the model. */
typedef struct policy_setup {
    mb_objective_t objective;
    uint64_t seed;
    bool services;
    double service_load;
    double batch_load; /* of the capacity beside the services */
    double urgent_load;
    double flood_batch_load; /* during the event */
    double flood_urgent_load;
    double noise_factor; /* during the event */
    bool lose_domain;    /* during the event */
    bool bad_worker;     /* during the event */
} policy_setup_t;

/* Virtual times of a run. */
#define POLICY_WARM_UP_END_S 60
#define POLICY_EVENT_BEGIN_S 120
#define POLICY_EVENT_END_S 240
#define POLICY_END_S 300

typedef struct policy_result {
    double p99_ms;             /* in the event's window */
    double batch_tasks_per_h;  /* likewise */
    double batch_work_per_s;   /* true core seconds, likewise */
    double batch_share_min;    /* of the processors, over 10 s, likewise */
    double urgent_start_p99_s; /* of urgent tasks before the event */
    double lost_work_s;        /* by evictions */
    uint32_t evictions;
    uint32_t bad_starts; /* on the bad worker during the event, probes aside */
    uint32_t bad_probes; /* likewise, one at a time after the suspension */
    bool bad_restored;   /* it got work after the event */
} policy_result_t;

typedef struct policy_model {
    policy_setup_t setup;
    policy_scheduler_t scheduler;
    mb_rng_seeded_t seeded;
    mb_rng_seeded_t request_seeded;
    mb_rng_t rng;
    mb_rng_t request_rng;
    policy_kind_t kinds[POLICY_KINDS];
    policy_worker_t workers[POLICY_WORKERS];
    uint32_t cores;
    uint64_t now_us;
    uint64_t next_id;
    double mean_task_core_s[2]; /* mean of batch and of urgent tasks */
    double next_arrival_s[2];
    double next_request_s;
    GPtrArray *tasks_to_free;
    GQueue samples;
    GArray *latencies_ms;
    GArray *urgent_starts_s;
    double batch_share_sum;
    uint32_t batch_share_ticks;
    uint64_t batch_finished;
    double batch_work_s;
    policy_result_t result;
} policy_model_t;

#define POLICY_BAD_WORKER 3

void policy_model_init(policy_model_t *model, const policy_setup_t *setup);
void policy_model_finish(policy_model_t *model);
void policy_model_run(policy_model_t *model);
double policy_model_exponential(const mb_rng_t *rng);
double policy_model_normal(const mb_rng_t *rng);
/* Requests of one tick. */
void policy_requests_tick(policy_model_t *model);
bool policy_in_event(const policy_model_t *model);

/* For deciders. A graceful eviction checkpoints and takes a second. */
void policy_start(policy_model_t *model, policy_task_t *task, uint32_t worker);
void policy_evict(policy_model_t *model, policy_task_t *task, bool graceful);
void policy_free_task_after_tick(policy_model_t *model, policy_task_t *task);

#endif
