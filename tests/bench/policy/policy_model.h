/* Simulation of a small fleet under virtual time. Tasks arrive at random with
   true sizes and run times that differ from the declared ones; batch tasks
   slow down the service on their worker; samples of the slowdown reach the
   scheduler late. The scheduler is called through callbacks, so that different
   ones run under the same seeds. Times are microseconds (_us) or seconds (_s)
   since the begin of a run. */
#ifndef POLICY_MODEL_H
#define POLICY_MODEL_H

#include <glib.h>

#include "mb_clock.h"
#include "mb_resource.h"
#include "mb_rng.h"

#define POLICY_WORKERS 11
/* Requests that the service on a worker runs at a time, one core each. */
#define POLICY_SLOTS 8
/* Recurring batch jobs. */
#define POLICY_KINDS 24
/* Tasks that wait in one class; the scheduler refuses further ones. */
#define POLICY_QUEUE_MAX 20000
#define POLICY_TICK_US UINT64_C(100000)
/* Share of the processors that batch tasks are promised. */
#define POLICY_BATCH_MIN_PERCENT 20
/* Batch tasks that a sample names; further ones are left out. */
#define POLICY_SAMPLE_KINDS_MAX 16

/* A recurring batch job; its tasks vary around its means. */
typedef struct policy_kind {
    double run_s;       /* scale of the true run times */
    double cpu_milli;   /* true use of one task */
    double run_factor;  /* declared / true run time */
    double size_factor; /* declared / true size */
    double noise;       /* slowdown that 4 cores of it add to a service on a
                           fully loaded worker */
    bool noisy;         /* slows services down much, more so in the event */
} policy_kind_t;

typedef struct policy_task {
    uint64_t id;
    mb_class_t task_class;
    uint32_t kind;  /* index of the job of a batch task */
    mb_size_t size; /* declared */
    uint32_t declared_ms;
    double work_s; /* true run time at full speed */
    double speed; /* below 1 when its declared size, the limit, is too small */
    double done_s;            /* work done, as run time at full speed */
    double checkpoint_work_s; /* work that the last checkpoint saved */
    uint64_t checkpoint_us; /* time of the last checkpoint, or of the start */
    uint64_t arrived_us;
    uint64_t started_us;
    uint64_t stop_us;          /* end of a graceful eviction; 0: none */
    bool will_fail;            /* it was started on the bad worker */
    bool probe;                /* set by the scheduler before the start */
    uint32_t throttle_percent; /* of full speed that throttling leaves */
    uint32_t worker;
    uint32_t attempts;
} policy_task_t;

/* A measurement of one worker, which the scheduler gets some time later. */
typedef struct policy_sample {
    uint32_t worker;
    uint32_t slowdown_permille; /* of the service; 0: full speed */
    uint64_t measured_us;
    uint64_t due_us;     /* when the scheduler gets it */
    uint32_t used_milli; /* declared processors of its tasks */
    uint32_t kinds[POLICY_SAMPLE_KINDS_MAX];
    uint32_t kind_count;
} policy_sample_t;

typedef struct policy_worker {
    mb_size_t capacity; /* beside what the service reserves */
    uint32_t failure_domain;
    bool alive;
    bool bad;                         /* fails every start */
    double slowdown;                  /* of its service; 1: full speed */
    GPtrArray *tasks;                 /* policy_task_t that run, owned */
    double slot_free_s[POLICY_SLOTS]; /* when each ends its last request */
} policy_worker_t;

/* The callbacks of a scheduler; it carries out decisions with policy_start and
   policy_evict. */
typedef struct policy_scheduler {
    /* A task arrived. The scheduler owns it until it starts; false: refused,
       and the model keeps it. */
    bool (*add)(void *context, policy_task_t *task);
    /* A task left its worker; the scheduler owns it again and starts it once
       more unless `ok`, which means that it completed. */
    void (*ended)(void *context, policy_task_t *task, bool ok);
    void (*sample)(void *context, const policy_sample_t *sample);
    /* A worker failed or came back. */
    void (*worker_changed)(void *context, uint32_t worker);
    void (*tick)(void *context);
    void *context;
} policy_scheduler_t;

/* Parameters of a scenario. Loads are shares of the processors beside the
   services, except `service_load`, a share of the slots of the services. */
typedef struct policy_setup {
    mb_objective_t objective;
    uint64_t seed;
    bool services;
    double service_load;
    double batch_load;
    double urgent_load;
    double flood_batch_load; /* during the event */
    double flood_urgent_load;
    double noise_factor; /* of noisy jobs during the event; 0: none */
    bool lose_domain;    /* during the event */
    bool bad_worker;     /* POLICY_BAD_WORKER fails all tasks in the event */
} policy_setup_t;

/* Times in a run, in seconds. */
#define POLICY_WARM_UP_END_S 60
#define POLICY_EVENT_BEGIN_S 120
#define POLICY_EVENT_END_S 240
#define POLICY_END_S 300

typedef struct policy_result {
    double p99_ms; /* latency of the services' requests during the event */
    double batch_tasks_per_h;  /* completed during the event */
    double batch_work_per_s;   /* core seconds per second during the event */
    double batch_share_min;    /* lowest share of the processors that batch
                                  tasks held over 10 s of the event */
    double urgent_start_p99_s; /* time to start urgent tasks, between
                                  the warm-up and the event */
    double lost_work_s;        /* run time that evictions lost */
    uint32_t evictions;
    uint32_t bad_starts; /* on the bad worker in the event, without probes */
    uint32_t bad_probes; /* probes of the bad worker in the event, one at a
                            time while it is suspended */
    bool bad_restored;   /* the bad worker got work after the event */
} policy_result_t;

/* One run: a scenario with a seed and a scheduler. */
typedef struct policy_model {
    policy_setup_t setup;
    policy_scheduler_t scheduler;
    mb_rng_seeded_t seeded;
    mb_rng_seeded_t request_seeded;
    /* Requests and samples have their own generator, so that tasks are the
       same under each scheduler. */
    mb_rng_t rng;
    mb_rng_t request_rng;
    policy_kind_t kinds[POLICY_KINDS];
    policy_worker_t workers[POLICY_WORKERS];
    uint32_t cores; /* of one worker, with those of its service */
    uint64_t now_us;
    uint64_t next_id;
    /* Indexes: 0 for batch tasks, 1 for urgent ones. */
    double mean_task_core_s[2]; /* declared cores times run time */
    double next_arrival_s[2];
    double next_request_s;
    GPtrArray *tasks_to_free; /* at the end of the tick */
    GQueue samples;           /* policy_sample_t that are not due yet */
    GArray *latencies_ms;     /* float */
    GArray *urgent_starts_s;  /* float */
    double batch_share_sum;   /* over the `batch_share_ticks` last ticks */
    uint32_t batch_share_ticks;
    uint64_t batch_finished;
    double batch_work_s;
    policy_result_t result;
} policy_model_t;

/* The worker that fails all tasks in scenarios with a bad worker. */
#define POLICY_BAD_WORKER 3

/* Initializes a run; a scheduler must set `scheduler` before the run. */
void policy_model_init(policy_model_t *model, const policy_setup_t *setup);
void policy_model_finish(policy_model_t *model);
/* Runs to POLICY_END_S and sets `result`. */
void policy_model_run(policy_model_t *model);
/* Return random numbers: exponential with mean 1, and standard normal. */
double policy_model_exponential(const mb_rng_t *rng);
double policy_model_normal(const mb_rng_t *rng);
/* Runs the requests that arrive in the current tick. */
void policy_requests_tick(policy_model_t *model);
/* Returns whether it is the time of the event, also in the steady scenario. */
bool policy_in_event(const policy_model_t *model);

/* For schedulers. policy_start gives the task to the model until `ended`. A
   graceful eviction saves a checkpoint and takes a second; another one loses
   the work since the last checkpoint at once. policy_free_task_after_tick
   frees a task that the scheduler owns and does not need any more. */
void policy_start(policy_model_t *model, policy_task_t *task, uint32_t worker);
void policy_evict(policy_model_t *model, policy_task_t *task, bool graceful);
void policy_free_task_after_tick(policy_model_t *model, policy_task_t *task);

#endif
