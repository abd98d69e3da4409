/* The resources: typed objects by which operators declare what is to run,
   where and how, and which every process reads. */
#ifndef MB_RESOURCE_H
#define MB_RESOURCE_H

#include <stdbool.h>
#include <stdint.h>

#include "mb_str.h"

typedef enum mb_resource_kind {
    MB_RESOURCE_SERVICE,
    MB_RESOURCE_JOB,
    MB_RESOURCE_TEAM,
    MB_RESOURCE_CONSTRAINT,
    MB_RESOURCE_POLICY,
    MB_RESOURCE_WORKER,
    MB_RESOURCE_KIND_COUNT
} mb_resource_kind_t;

/* Priority class of requests and tasks, most urgent first. */
typedef enum mb_class {
    MB_CLASS_URGENT,
    MB_CLASS_NORMAL,
    MB_CLASS_BATCH,
    MB_CLASS_COUNT
} mb_class_t;

/* The resources that a task requires or that a worker provides. */
typedef struct mb_size {
    uint32_t cpu_milli;    /* thousandths of a processor */
    uint32_t memory_mb;    /* units of 2^20 bytes */
    uint32_t accelerators; /* whole devices */
} mb_size_t;

/* Maximum number of names in a list of a resource. */
#define MB_NAMES_MAX 16
/* Maximum length of a resource name in bytes; see mb_resource_name_valid. */
#define MB_NAME_MAX 63

/* A list of at most MB_NAMES_MAX owned names. The items are allocated
   separately to keep mb_resource_t small: every resource has the size of the
   largest spec, and most resources are workers, which have no lists. */
typedef struct mb_names {
    mb_buf_t *items; /* NULL when `count` is 0 */
    uint32_t count;
} mb_names_t;

/* A service that clients send requests to. */
typedef struct mb_service {
    mb_buf_t team;            /* name of the team that owns it */
    mb_buf_t host;            /* Host header that selects it; empty: selected
                                 only by paths under /svc/NAME/ */
    mb_class_t request_class; /* of its requests */
    uint32_t deadline_ms;     /* of requests that name none */
    uint32_t queue_limit; /* maximum number of requests queued at an entry */
    uint32_t instances;   /* number of tasks to keep running; 0: the
                             scheduler places none */
    mb_size_t size;       /* of one task */
    mb_buf_t constraint;  /* name of a constraint; empty: none */
    mb_buf_t command;     /* that a task executes */
} mb_service_t;

/* A batch or urgent job: `count` tasks, each of which runs until it has
   completed once. */
typedef struct mb_job {
    mb_buf_t team; /* name of the team that owns it */
    mb_class_t task_class;
    uint32_t count;
    mb_size_t size;        /* of one task */
    uint32_t run_time_ms;  /* of one task, as estimated by the operator */
    uint32_t max_failures; /* of one task, after which it has failed */
    mb_buf_t constraint;   /* name of a constraint; empty: none */
    mb_buf_t command;      /* that a task executes */
    bool cancelled;
} mb_job_t;

/* A team, whose tasks share a quota. */
typedef struct mb_team {
    mb_size_t quota; /* maximum total size of its tasks on workers */
    uint32_t weight; /* share relative to other teams, 1 to 1000 */
} mb_team_t;

/* Restricts the workers on which tasks may run. An empty list allows all. */
typedef struct mb_constraint {
    mb_names_t regions;
    mb_names_t failure_domains;
    mb_names_t racks;
    bool needs_accelerator;
    /* Maximum number of tasks of a job or service; 0: no limit. */
    uint32_t max_per_rack;
    uint32_t max_per_failure_domain;
} mb_constraint_t;

/* What the scheduler favours. */
typedef enum mb_objective {
    /* Throughput of batch tasks: tasks are packed onto few workers. */
    MB_OBJECTIVE_THROUGHPUT_FIRST,
    /* Latency of all other tasks: these prefer empty workers and preempt batch
       tasks earlier, and processors are kept free for them. */
    MB_OBJECTIVE_LATENCY_FIRST
} mb_objective_t;

/* The scheduling policy. There is one, whose name is "default". */
typedef struct mb_policy {
    mb_objective_t objective;
    uint32_t batch_min_share_percent; /* of the processors, guaranteed to
                                         batch tasks; 0: none */
} mb_policy_t;

/* A worker: a machine of the platform on which tasks run. */
typedef struct mb_worker {
    mb_buf_t address; /* IPv4:port */
    mb_buf_t region;
    mb_buf_t failure_domain;
    mb_buf_t rack;
    mb_size_t capacity;
} mb_worker_t;

/* A resource of any kind. */
typedef struct mb_resource {
    mb_resource_kind_t kind;
    mb_buf_t name;
    uint64_t revision; /* offset of its last write in the log, plus 1; 0: not
                          written yet */
    union {
        mb_service_t service;
        mb_job_t job;
        mb_team_t team;
        mb_constraint_t constraint;
        mb_policy_t policy;
        mb_worker_t worker;
    } spec;
} mb_resource_t;

void mb_resource_init(mb_resource_t *resource, mb_resource_kind_t kind,
                      mb_str_t name);
void mb_resource_finish(mb_resource_t *resource);
bool mb_names_add(mb_names_t *names, mb_str_t name);
void mb_names_finish(mb_names_t *names);
void mb_resource_copy(mb_resource_t *copy, const mb_resource_t *source);
bool mb_resource_name_valid(mb_str_t name);
mb_str_t mb_resource_kind_name(mb_resource_kind_t kind);
bool mb_resource_kind_from_name(mb_str_t name, mb_resource_kind_t *kind);
mb_str_t mb_class_name(mb_class_t priority_class);
bool mb_class_from_name(mb_str_t name, mb_class_t *priority_class);
bool mb_size_fits(const mb_size_t *demand, const mb_size_t *available);
void mb_size_add(mb_size_t *sum, const mb_size_t *part);
void mb_size_subtract(mb_size_t *sum, const mb_size_t *part);

#endif
