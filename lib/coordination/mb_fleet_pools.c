/* How much of each service's capacity is in use, which decides how long a job
   may be without a run. In this file, a service is the pool of workers that
   the policy of a job names. Computed once per scheduling pass. */
#include "mb_fleet_internal.h"

#define MILLI 1000u

/* Initializes a table without services. */
void
mb_fleet_pools_init(mb_fleet_pools_t *pools)
{
    pools->by_service =
        g_hash_table_new_full(mb_str_key_hash, mb_str_key_equal, NULL, g_free);
}

/* Releases the table's memory. */
void
mb_fleet_pools_finish(mb_fleet_pools_t *pools)
{
    g_hash_table_destroy(pools->by_service);
}

/* Returns the pool of a service, or NULL if there is none. */
static mb_fleet_pool_t *
find_pool(const mb_fleet_pools_t *pools, mb_str_t service)
{
    return g_hash_table_lookup(pools->by_service, &service);
}

/* Returns the pool of a service, added if there is none. Pools are added only
   for workers, whose number is bounded. */
static mb_fleet_pool_t *
get_pool(mb_fleet_pools_t *pools, mb_str_t service)
{
    mb_fleet_pool_t *pool = find_pool(pools, service);
#ifdef MB_MUTANT_FLEET_FEW_POOLS
    if (pool == NULL && g_hash_table_size(pools->by_service) >= 32) {
        return NULL;
    }
#endif
    if (pool == NULL) {
        pool = g_new0(mb_fleet_pool_t, 1);
        pool->service = service;
        (void)g_hash_table_insert(pools->by_service, &pool->service, pool);
    }
    return pool;
}

/* Tells whether a worker counts, both with its capacity and with what is in
   use there: what runs on it is known and it can be given work. */
static bool
is_counted(const mb_fleet_worker_t *worker, uint64_t now_us)
{
    return worker->runs_known && worker->state == MB_WORKER_READY &&
           !worker->agent_draining &&
           worker->absence == MB_FLEET_ABSENCE_NONE &&
           !mb_fleet_worker_silent(worker, now_us);
}

/* Tells whether a job can still be in time and has tasks to finish that may
   wait for a worker. Services, which are never finished, don't count. */
static bool
is_waiting_in_time(const mb_dag_job_t *job, uint64_t now_us)
{
    return job->outcome == MB_DAG_OPEN && job->needs_scheduling &&
           !mb_fleet_job_is_service(job) && job->spec.occurrences == 0 &&
#ifdef MB_MUTANT_FLEET_IDLE_JOBS_BEFORE_IN_TIME
           false &&
#endif
           !mb_fleet_job_is_late(job, now_us);
}

/* Notes for which services jobs wait that can still be in time. Those without
   a worker don't matter: all of their capacity counts as in use. */
static void
note_jobs_in_time(mb_fleet_pools_t *pools, const mb_fleet_t *fleet,
                  uint64_t now_us)
{
    for (guint i = 0; i < fleet->open_jobs->len; i++) {
        const mb_dag_job_t *job = g_ptr_array_index(fleet->open_jobs, i);
        mb_fleet_pool_t *pool =
            is_waiting_in_time(job, now_us)
                ? find_pool(pools, job->spec.policy.service)
                : NULL;
        if (pool != NULL) {
            pool->job_in_time_waits = true;
        }
    }
}

/* Adds up the capacity and the use of all services' workers. */
void
mb_fleet_pools_compute(mb_fleet_pools_t *pools, const mb_fleet_t *fleet,
                       uint64_t now_us)
{
    g_hash_table_remove_all(pools->by_service);
    for (guint i = 0; i < fleet->workers->len; i++) {
        const mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        mb_fleet_pool_t *pool =
            is_counted(worker, now_us)
                ? get_pool(pools, mb_buf_view(&worker->service))
                : NULL;
        if (pool == NULL) {
            continue;
        }
        pool->has_evacuated = pool->has_evacuated || worker->evacuated;
        pool->cpu_milli += worker->capacity.cpu_milli;
        pool->memory_mb += worker->capacity.memory_mb;
        pool->used_cpu_milli +=
            (uint64_t)worker->used.cpu_milli + worker->orphaned.cpu_milli;
        pool->best_effort_cpu_milli += worker->best_effort.cpu_milli;
        pool->used_memory_mb += (uint64_t)worker->used.memory_mb +
                                worker->best_effort.memory_mb +
                                worker->orphaned.memory_mb;
    }
    note_jobs_in_time(pools, fleet, now_us);
}

/* Returns the share of a capacity that is in use, in thousandths. Without
   capacity, all of it is. */
static uint64_t
get_share_milli(uint64_t used, uint64_t capacity)
{
    return capacity == 0 ? MILLI : used * MILLI / capacity;
}

/* Returns the share of a service's capacity that is in use, in thousandths, as
   the platform counts it: the processors that best-effort tasks declare are
   not counted, their memory is. All of it is if nothing is known of its
   workers. */
uint64_t
mb_fleet_pools_use_milli(const mb_fleet_pools_t *pools, mb_str_t service)
{
    const mb_fleet_pool_t *pool = find_pool(pools, service);
    if (pool == NULL) {
        return MILLI;
    }
    uint64_t used_cpu_milli = pool->used_cpu_milli;
#ifdef MB_MUTANT_FLEET_BEST_EFFORT_FILLS_POOL
    used_cpu_milli += pool->best_effort_cpu_milli;
#endif
    return MAX(get_share_milli(used_cpu_milli, pool->cpu_milli),
               get_share_milli(pool->used_memory_mb, pool->memory_mb));
}

/* Returns the share of a service's processors that all tasks declare,
   best-effort tasks as well, in thousandths. */
uint64_t
mb_fleet_pools_declared_milli(const mb_fleet_pools_t *pools, mb_str_t service)
{
    const mb_fleet_pool_t *pool = find_pool(pools, service);
    return pool == NULL ? MILLI
                        : get_share_milli(pool->used_cpu_milli +
                                              pool->best_effort_cpu_milli,
                                          pool->cpu_milli);
}

/* Notes that a task of a service has a second run. */
void
mb_fleet_pools_add_copy(mb_fleet_pools_t *pools, mb_str_t service,
                        uint32_t cpu_milli)
{
    mb_fleet_pool_t *pool = find_pool(pools, service);
    if (pool != NULL) {
        pool->copies_cpu_milli += cpu_milli;
    }
}

/* Returns the share of a service's processors that second runs declare, with
   one more of a size, in thousandths. */
uint64_t
mb_fleet_pools_copies_milli(const mb_fleet_pools_t *pools, mb_str_t service,
                            uint32_t cpu_milli)
{
    const mb_fleet_pool_t *pool = find_pool(pools, service);
    return pool == NULL ? MILLI
                        : get_share_milli(pool->copies_cpu_milli + cpu_milli,
                                          pool->cpu_milli);
}

/* Tells whether a job of a service waits that can still be in time. */
bool
mb_fleet_pools_job_in_time_waits(const mb_fleet_pools_t *pools,
                                 mb_str_t service)
{
    const mb_fleet_pool_t *pool = find_pool(pools, service);
    return pool != NULL && pool->job_in_time_waits;
}

/* Tells whether a worker of a service is evacuated. */
bool
mb_fleet_pools_has_evacuated(const mb_fleet_pools_t *pools, mb_str_t service)
{
    const mb_fleet_pool_t *pool = find_pool(pools, service);
    return pool != NULL && pool->has_evacuated;
}
