/* The tables inside mb_placement_t. Internal to the placement files. */
#ifndef MB_PLACEMENT_TABLE_H
#define MB_PLACEMENT_TABLE_H

#include <glib.h>

#include "mb_placement.h"
#include "mb_placement_index.h"
#include "mb_spread.h"

/* One worker. Its table entry is kept after the worker is removed until its
   last task is released. A search reads entries at random places of the table,
   so each entry fills one cache line. */
typedef struct mb_placement_worker {
    mb_size_t capacity;
    mb_size_t reserved;
    uint32_t domain; /* index in `domains` of mb_placement_t */
    uint32_t rack;   /* index in `racks` of mb_placement_t */
    uint32_t slowdown_permille;
    uint32_t tasks;               /* with a reservation */
    mb_index_position_t position; /* in the index of its domain */
    mb_buf_t *name;
    bool present; /* not removed */
    bool eligible;
    bool cordoned;
} mb_placement_worker_t;

#define MB_PLACEMENT_CACHE_LINE 64
_Static_assert(sizeof(mb_placement_worker_t) == MB_PLACEMENT_CACHE_LINE,
               "a worker fills one cache line");

/* The number of workers of a failure domain that have the same capacity. */
typedef struct mb_placement_shape {
    mb_size_t capacity;
    uint32_t workers;
} mb_placement_shape_t;

/* A failure domain of a region; both are name ids. */
typedef struct mb_placement_domain {
    uint32_t region;
    uint32_t failure_domain;
    mb_index_t index;
    GArray *shapes; /* mb_placement_shape_t */
} mb_placement_domain_t;

/* A rack of a failure domain and its workers. */
typedef struct mb_placement_rack {
    uint64_t key; /* see mb_placement_rack_key */
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
    GHashTable *by_name;     /* worker name -> id + 1 */
    GHashTable *name_ids;    /* location name -> id + 1 */
    GHashTable *rack_by_key; /* rack key -> index in `racks` + 1 */
    uint32_t present_workers;
    mb_spread_t spread;
};

/* Returns the location number of a failure domain in mb_spread_t: even for
   failure domains and odd for racks, so that the two never collide. */
static inline uint32_t
mb_placement_domain_location(uint32_t domain)
{
    return 2 * domain;
}

/* Returns the location number of a rack in mb_spread_t. */
static inline uint32_t
mb_placement_rack_location(uint32_t rack)
{
    return 2 * rack + 1;
}

/* Returns the entry of a worker. The pointer is valid until the next worker is
   added. */
static inline mb_placement_worker_t *
mb_placement_worker(const mb_placement_t *placement, mb_worker_id_t id)
{
    return &placement->workers[id];
}

/* Returns a failure domain by its index in `domains`. */
static inline mb_placement_domain_t *
mb_placement_domain(const mb_placement_t *placement, uint32_t domain)
{
    return g_ptr_array_index(placement->domains, domain);
}

/* Returns a rack by its index in `racks`. */
static inline mb_placement_rack_t *
mb_placement_rack(const mb_placement_t *placement, uint32_t rack)
{
    return g_ptr_array_index(placement->racks, rack);
}

/* Returns the capacity of a worker less what is reserved there. Zero in each
   dimension in which a lowered capacity is below the reserved size. */
static inline mb_size_t
mb_placement_worker_available(const mb_placement_worker_t *worker)
{
    const mb_size_t *capacity = &worker->capacity;
    const mb_size_t *reserved = &worker->reserved;
    return (mb_size_t){
        capacity->cpu_milli - MIN(capacity->cpu_milli, reserved->cpu_milli),
        capacity->memory_mb - MIN(capacity->memory_mb, reserved->memory_mb),
        capacity->accelerators -
            MIN(capacity->accelerators, reserved->accelerators),
    };
}

/* Returns the id of the name of a region, failure domain or rack, UINT32_MAX
   when no worker has had it. */
static inline uint32_t
mb_placement_find_name_id(const mb_placement_t *placement,
                          const mb_buf_t *name)
{
    void *value = g_hash_table_lookup(placement->name_ids, name);
    return value == NULL ? UINT32_MAX : GPOINTER_TO_UINT(value) - 1;
}

/* Returns the key of a rack: the index of its failure domain in the upper and
   the id of its name in the lower 32 bits. */
static inline uint64_t
mb_placement_rack_key(uint32_t domain, uint32_t name)
{
    return (uint64_t)domain << 32 | name;
}

/* Returns the index of the rack with this name id in a failure domain,
   UINT32_MAX when there is none. */
static inline uint32_t
mb_placement_find_rack(const mb_placement_t *placement, uint32_t domain,
                       uint32_t name)
{
    uint64_t key = mb_placement_rack_key(domain, name);
    void *value = g_hash_table_lookup(placement->rack_by_key, &key);
    return value == NULL ? UINT32_MAX : GPOINTER_TO_UINT(value) - 1;
}

/* Compares some of the workers that can run the task now and returns the best
   one, MB_WORKER_NONE when there is none. Reserves nothing. */
mb_worker_id_t mb_placement_search(mb_placement_t *placement,
                                   const mb_placement_task_t *task);
/* Returns why no worker was found, judged by the capacities of the workers, as
   if nothing were reserved there. */
mb_placement_result_t mb_placement_explain(const mb_placement_t *placement,
                                           const mb_placement_task_t *task);

#endif
