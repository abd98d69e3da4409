#include "mb_resource_schema.h"

#include <glib.h>

#include "mb_resource_json.h"

/* Maximum length of a service's Host header, in bytes. */
#define HOST_MAX 255
/* Maximum estimated run time of a task, in milliseconds: 30 days. */
#define RUN_TIME_MAX_MS 2592000000u

/* Offset of a member in the struct mb_KIND_t. */
#define OFFSET(kind, member) offsetof(mb_##kind##_t, member)

/* The columns of these tables are those of mb_field_t: name, type, offset,
   required, min, max, default. */
static const mb_field_t service_fields[] = {
    {"team", MB_FIELD_NAME, OFFSET(service, team), true, 0, 0, 0},
    {"host", MB_FIELD_TEXT, OFFSET(service, host), false, 0, HOST_MAX, 0},
    {"class", MB_FIELD_CLASS, OFFSET(service, request_class), false, 0, 0,
     MB_CLASS_NORMAL},
    {"deadline_ms", MB_FIELD_NUMBER, OFFSET(service, deadline_ms), false, 1,
     600000, 5000},
    {"queue_limit", MB_FIELD_NUMBER, OFFSET(service, queue_limit), false, 0,
     100000, 100},
    {"instances", MB_FIELD_NUMBER, OFFSET(service, instances), false, 0,
     100000, 0},
    {"size", MB_FIELD_SIZE, OFFSET(service, size), false, 0, 0, 0},
    {"constraint", MB_FIELD_NAME, OFFSET(service, constraint), false, 0, 0, 0},
    {"command", MB_FIELD_TEXT, OFFSET(service, command), false, 0,
     MB_COMMAND_MAX, 0},
};

static const mb_field_t job_fields[] = {
    {"team", MB_FIELD_NAME, OFFSET(job, team), true, 0, 0, 0},
    {"class", MB_FIELD_CLASS, OFFSET(job, task_class), false, 0, 0,
     MB_CLASS_BATCH},
    {"count", MB_FIELD_NUMBER, OFFSET(job, count), false, 1, 1000000, 1},
    {"size", MB_FIELD_SIZE, OFFSET(job, size), true, 0, 0, 0},
    {"run_time_ms", MB_FIELD_NUMBER, OFFSET(job, run_time_ms), true, 1,
     RUN_TIME_MAX_MS, 0},
    {"max_failures", MB_FIELD_NUMBER, OFFSET(job, max_failures), false, 0,
     1000, 3},
    {"constraint", MB_FIELD_NAME, OFFSET(job, constraint), false, 0, 0, 0},
    {"command", MB_FIELD_TEXT, OFFSET(job, command), true, 1, MB_COMMAND_MAX,
     0},
    {"cancelled", MB_FIELD_BOOL, OFFSET(job, cancelled), false, 0, 0, 0},
};

static const mb_field_t team_fields[] = {
    {"quota", MB_FIELD_SIZE, OFFSET(team, quota), true, 0, 0, 0},
    {"weight", MB_FIELD_NUMBER, OFFSET(team, weight), false, 1, 1000, 100},
};

static const mb_field_t constraint_fields[] = {
    {"regions", MB_FIELD_NAME_LIST, OFFSET(constraint, regions), false, 0, 0,
     0},
    {"failure_domains", MB_FIELD_NAME_LIST,
     OFFSET(constraint, failure_domains), false, 0, 0, 0},
    {"racks", MB_FIELD_NAME_LIST, OFFSET(constraint, racks), false, 0, 0, 0},
    {"needs_accelerator", MB_FIELD_BOOL, OFFSET(constraint, needs_accelerator),
     false, 0, 0, 0},
    {"max_per_rack", MB_FIELD_NUMBER, OFFSET(constraint, max_per_rack), false,
     0, 1000000, 0},
    {"max_per_failure_domain", MB_FIELD_NUMBER,
     OFFSET(constraint, max_per_failure_domain), false, 0, 1000000, 0},
};

static const mb_field_t policy_fields[] = {
    {"objective", MB_FIELD_OBJECTIVE, OFFSET(policy, objective), true, 0, 0,
     0},
    {"batch_min_share_percent", MB_FIELD_NUMBER,
     OFFSET(policy, batch_min_share_percent), false, 0, 100, 10},
};

static const mb_field_t worker_fields[] = {
    {"address", MB_FIELD_ADDRESS, OFFSET(worker, address), true, 0, 0, 0},
    {"region", MB_FIELD_NAME, OFFSET(worker, region), true, 0, 0, 0},
    {"failure_domain", MB_FIELD_NAME, OFFSET(worker, failure_domain), true, 0,
     0, 0},
    {"rack", MB_FIELD_NAME, OFFSET(worker, rack), true, 0, 0, 0},
    {"capacity", MB_FIELD_SIZE, OFFSET(worker, capacity), true, 0, 0, 0},
};

static const mb_field_t size_fields[] = {
    {"cpu_milli", MB_FIELD_NUMBER, OFFSET(size, cpu_milli), false, 0, 10000000,
     0},
    {"memory_mb", MB_FIELD_NUMBER, OFFSET(size, memory_mb), false, 0,
     100000000, 0},
    {"accelerators", MB_FIELD_NUMBER, OFFSET(size, accelerators), false, 0,
     1024, 0},
};

/* Initializer of an mb_schema_t for an array of fields. */
#define SCHEMA(table)                                                         \
    {                                                                         \
        (table), G_N_ELEMENTS(table)                                          \
    }

const mb_schema_t mb_resource_schemas[MB_RESOURCE_KIND_COUNT] = {
    [MB_RESOURCE_SERVICE] = SCHEMA(service_fields),
    [MB_RESOURCE_JOB] = SCHEMA(job_fields),
    [MB_RESOURCE_TEAM] = SCHEMA(team_fields),
    [MB_RESOURCE_CONSTRAINT] = SCHEMA(constraint_fields),
    [MB_RESOURCE_POLICY] = SCHEMA(policy_fields),
    [MB_RESOURCE_WORKER] = SCHEMA(worker_fields),
};

const mb_schema_t mb_size_schema = SCHEMA(size_fields);

const char *const mb_objective_names[MB_OBJECTIVE_COUNT] = {
    [MB_OBJECTIVE_THROUGHPUT_FIRST] = "throughput_first",
    [MB_OBJECTIVE_LATENCY_FIRST] = "latency_first",
};
