/* The tables inside mb_placement_t. Internal to placement. */
#ifndef MB_PLACEMENT_TABLE_H
#define MB_PLACEMENT_TABLE_H

#include <glib.h>

#include "mb_placement.h"
#include "mb_placement_index.h"
#include "mb_spread.h"

/* One worker; the slot stays while tasks of a removed worker are counted. A
   search reads workers all over the table, so each fills one cache line. */
typedef struct mb_placement_worker {
    mb_size_t capacity;
    mb_size_t reserved;
    uint32_t domain;
    uint32_t rack;
    uint32_t slowdown_permille;
    uint32_t tasks;
    mb_index_position_t position;
    mb_buf_t *name;
    bool present;
    bool eligible;
    bool cordoned;
} mb_placement_worker_t;

#define MB_PLACEMENT_CACHE_LINE 64
_Static_assert(sizeof(mb_placement_worker_t) == MB_PLACEMENT_CACHE_LINE,
               "a worker fills one cache line");

/* Workers of one capacity in one cell. */
typedef struct mb_placement_shape {
    mb_size_t capacity;
    uint32_t workers;
} mb_placement_shape_t;

/* A failure domain of a region. */
typedef struct mb_placement_domain {
    uint32_t region;
    uint32_t failure_domain;
    mb_index_t index;
    GArray *shapes; /* mb_placement_shape_t */
} mb_placement_domain_t;

/* A rack of a cell and its workers. */
typedef struct mb_placement_rack {
    uint64_t key; /* cell and name */
    uint32_t domain;
    GArray *workers; /* mb_worker_id_t */
} mb_placement_rack_t;

struct mb_placement {
    mb_rng_t rng;
    mb_objective_t objective;
    mb_placement_worker_t *workers;
    uint32_t worker_count;
    uint32_t workers_allocated;
    GPtrArray *domains;      /* mb_placement_domain_t */
    GPtrArray *racks;        /* mb_placement_rack_t */
    GArray *free_ids;        /* mb_worker_id_t */
    GHashTable *by_name;     /* name of the worker -> slot + 1 */
    GHashTable *name_ids;    /* name of a place -> number */
    GHashTable *rack_by_key; /* key in the rack -> number + 1 */
    uint32_t present_workers;
    mb_spread_t spread;
};

/* Numbers for mb_spread_t: cells and racks share one range. */
static inline uint32_t
mb_placement_domain_location(uint32_t domain)
{
    return 2 * domain;
}

/* Returns the number of a rack for mb_spread_t. */
static inline uint32_t
mb_placement_rack_location(uint32_t rack)
{
    return 2 * rack + 1;
}

/* Returns the worker in a slot. */
static inline mb_placement_worker_t *
mb_placement_worker(const mb_placement_t *placement, mb_worker_id_t id)
{
    return &placement->workers[id];
}

/* Returns a cell by number. */
static inline mb_placement_domain_t *
mb_placement_domain(const mb_placement_t *placement, uint32_t domain)
{
    return g_ptr_array_index(placement->domains, domain);
}

/* Returns a rack by number. */
static inline mb_placement_rack_t *
mb_placement_rack(const mb_placement_t *placement, uint32_t rack)
{
    return g_ptr_array_index(placement->racks, rack);
}

/* Returns what a worker can still take; zero where it is overcommitted after
   its capacity was lowered. */
static inline mb_size_t
mb_placement_worker_available(const mb_placement_worker_t *worker)
{
    const mb_size_t *all = &worker->capacity;
    const mb_size_t *used = &worker->reserved;
    return (mb_size_t){
        all->cpu_milli - MIN(all->cpu_milli, used->cpu_milli),
        all->memory_mb - MIN(all->memory_mb, used->memory_mb),
        all->accelerators - MIN(all->accelerators, used->accelerators),
    };
}

/* Returns the number of a place's name, UINT32_MAX when no worker has it. */
static inline uint32_t
mb_placement_find_name_id(const mb_placement_t *placement,
                          const mb_buf_t *name)
{
    void *number = g_hash_table_lookup(placement->name_ids, name);
    return number == NULL ? UINT32_MAX : GPOINTER_TO_UINT(number) - 1;
}

/* Returns the key of a rack: its cell and the number of its name. */
static inline uint64_t
mb_placement_rack_key(uint32_t domain, uint32_t name)
{
    return (uint64_t)domain << 32 | name;
}

/* Returns the rack with this name in a cell, UINT32_MAX when there is none. */
static inline uint32_t
mb_placement_find_rack(const mb_placement_t *placement, uint32_t domain,
                       uint32_t name)
{
    uint64_t key = mb_placement_rack_key(domain, name);
    void *number = g_hash_table_lookup(placement->rack_by_key, &key);
    return number == NULL ? UINT32_MAX : GPOINTER_TO_UINT(number) - 1;
}

/* Finds the best worker with room now, MB_WORKER_NONE when there is none. */
mb_worker_id_t mb_placement_search(mb_placement_t *placement,
                                   const mb_placement_task_t *task);
/* Tells why no worker was found, from capacities alone. */
mb_placement_result_t mb_placement_explain(const mb_placement_t *placement,
                                           const mb_placement_task_t *task);

#endif
