/* The declared resources: typed objects that operators write and every
   process reads. */
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

/* Urgency of requests and tasks, most urgent first. */
typedef enum mb_class {
    MB_CLASS_URGENT,
    MB_CLASS_NORMAL,
    MB_CLASS_BATCH,
    MB_CLASS_COUNT
} mb_class_t;

/* What a task asks for and a worker offers. */
typedef struct mb_size {
    uint32_t cpu_milli;    /* thousandths of a processor */
    uint32_t memory_mb;    /* megabytes (2^20 bytes) */
    uint32_t accelerators; /* whole devices */
} mb_size_t;

/* Most names in one list of a resource. */
#define MB_NAMES_MAX 16
/* Longest resource name in bytes: letters, digits, '.', '_' and '-'. */
#define MB_NAME_MAX 63

/* A list of owned names, at most MB_NAMES_MAX. The items are on the heap:
   every resource is as large as its largest spec, and most are workers. */
typedef struct mb_names {
    mb_buf_t *items; /* NULL when `count` is 0 */
    uint32_t count;
} mb_names_t;

/* A service that clients send requests to. */
typedef struct mb_service {
    mb_buf_t team;
    mb_buf_t host;            /* Host header; empty: only /svc/NAME/ */
    mb_class_t request_class; /* class of its requests */
    uint32_t deadline_ms;     /* for a request without one of its own */
    uint32_t queue_limit;     /* requests that may wait at one entry */
    uint32_t instances;       /* tasks to keep running; 0: none placed */
    mb_size_t size;           /* of one instance */
    mb_buf_t constraint;      /* name of a constraint; empty: none */
    mb_buf_t command;
} mb_service_t;

/* A batch or urgent job: `count` tasks that each run to the end once. */
typedef struct mb_job {
    mb_buf_t team;
    mb_class_t task_class;
    uint32_t count;
    mb_size_t size;        /* of one task */
    uint32_t run_time_ms;  /* the operator's estimate */
    uint32_t max_failures; /* per task, before it is given up */
    mb_buf_t constraint;   /* name of a constraint; empty: none */
    mb_buf_t command;
    bool cancelled;
} mb_job_t;

/* A team and what its tasks may hold at a time. */
typedef struct mb_team {
    mb_size_t quota;
    uint32_t weight; /* share relative to other teams, 1 to 1000 */
} mb_team_t;

/* Where tasks may run; an empty list allows all. */
typedef struct mb_constraint {
    mb_names_t regions;
    mb_names_t failure_domains;
    mb_names_t racks;
    bool needs_accelerator;
    uint32_t max_per_rack;           /* of one job or service; 0: no limit */
    uint32_t max_per_failure_domain; /* likewise */
} mb_constraint_t;

typedef enum mb_objective {
    MB_OBJECTIVE_THROUGHPUT_FIRST,
    MB_OBJECTIVE_LATENCY_FIRST
} mb_objective_t;

/* The policy of the whole installation; its name is "default". */
typedef struct mb_policy {
    mb_objective_t objective;
    uint32_t batch_min_share_percent;
} mb_policy_t;

/* A worker that the platform provides. */
typedef struct mb_worker {
    mb_buf_t address; /* IPv4:port */
    mb_buf_t region;
    mb_buf_t failure_domain;
    mb_buf_t rack;
    mb_size_t capacity;
} mb_worker_t;

/* One declared resource. */
typedef struct mb_resource {
    mb_resource_kind_t kind;
    mb_buf_t name;
    uint64_t revision; /* log offset of the write; 0: not written yet */
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
bool mb_size_fits(const mb_size_t *need, const mb_size_t *room);
void mb_size_add(mb_size_t *sum, const mb_size_t *part);
void mb_size_subtract(mb_size_t *sum, const mb_size_t *part);

#endif
