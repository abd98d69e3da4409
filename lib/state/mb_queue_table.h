/* The configured queues, to which clients submit jobs, and pools, the services
   whose workers run the tasks. One writer replaces the whole table; readers
   load it inside a read section of the epoch domain. */
#ifndef MB_QUEUE_TABLE_H
#define MB_QUEUE_TABLE_H

#include "mb_epoch.h"
#include "mb_str.h"

/* A queue. Its texts are owned by the version that contains it. */
typedef struct mb_queue {
    mb_str_t name;
    mb_str_t host;    /* of requests, without a port */
    mb_str_t prefix;  /* of the path of requests, up to the job's id */
    mb_str_t service; /* name of the pool whose workers run the tasks */
    /* As in mb_dag_policy_t. */
    uint32_t priority; /* 0: highest */
    uint32_t max_attempts;
    uint32_t stretch_milli;
    uint32_t latency_objective_ms;
    bool needs_approval;
} mb_queue_t;

/* A pool of workers, which operators call a service. */
typedef struct mb_pool {
    mb_str_t name;
    bool admission_check; /* workers reject tasks that don't fit */
    bool standby;         /* its instances are switched off */
} mb_pool_t;

/* A version of the configuration. */
typedef struct mb_queue_version {
    uint64_t version; /* increases with each change */
    uint32_t queue_count;
    mb_queue_t *queues; /* sorted by host, longest prefix first */
    uint32_t pool_count;
    mb_pool_t *pools;
    size_t body_max; /* maximum size of the body of a request, in bytes */
} mb_queue_version_t;

typedef struct mb_queue_table {
    mb_epoch_t *epoch;
    void *current; /* mb_queue_version_t, or NULL */
} mb_queue_table_t;

void mb_queue_table_init(mb_queue_table_t *table, mb_epoch_t *epoch);
void mb_queue_table_finish(mb_queue_table_t *table);
bool mb_queue_table_publish(mb_queue_table_t *table,
                            const mb_queue_version_t *next);
const mb_queue_version_t *mb_queue_table_load(const mb_queue_table_t *table);
const mb_queue_t *mb_queue_match(const mb_queue_version_t *version,
                                 mb_str_t host, mb_str_t path);
const mb_queue_t *mb_queue_find(const mb_queue_version_t *version,
                                mb_str_t name);
const mb_pool_t *mb_pool_find(const mb_queue_version_t *version,
                              mb_str_t name);

#endif
