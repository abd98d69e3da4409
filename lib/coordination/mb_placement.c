#include "mb_placement.h"

#include "mb_assert.h"
#include "mb_placement_table.h"

/* Frees a heap-allocated mb_buf_t. */
static void
free_buf(void *data)
{
    mb_buf_finish(data);
    g_free(data);
}

/* Frees a failure domain and its index. */
static void
free_domain(void *data)
{
    mb_placement_domain_t *domain = data;
    mb_index_finish(&domain->index);
    g_array_free(domain->shapes, TRUE);
    g_free(domain);
}

/* Frees a rack and its list of workers. */
static void
free_rack(void *data)
{
    mb_placement_rack_t *rack = data;
    g_array_free(rack->workers, TRUE);
    g_free(rack);
}

/* Creates an index without workers. The random numbers of `rng`, which is
   copied, decide where each search starts: they break ties between equal
   workers and keep searches from always trying the same workers first. */
mb_placement_t *
mb_placement_new(const mb_rng_t *rng)
{
    mb_placement_t *placement = g_new0(mb_placement_t, 1);
    placement->rng = *rng;
    placement->domains = g_ptr_array_new_with_free_func(free_domain);
    placement->racks = g_ptr_array_new_with_free_func(free_rack);
    placement->free_ids = g_array_new(FALSE, FALSE, sizeof(mb_worker_id_t));
    placement->by_name = g_hash_table_new(mb_buf_key_hash, mb_buf_key_equal);
    placement->rack_by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
    placement->name_ids = g_hash_table_new_full(
        mb_buf_key_hash, mb_buf_key_equal, free_buf, NULL);
    mb_spread_init(&placement->spread);
    return placement;
}

/* Frees the index and all workers in it; NULL is allowed. */
void
mb_placement_free(mb_placement_t *placement)
{
    if (placement == NULL) {
        return;
    }
    g_hash_table_destroy(placement->by_name);
    g_hash_table_destroy(placement->rack_by_key);
    g_hash_table_destroy(placement->name_ids);
    for (uint32_t i = 0; i < placement->worker_count; i++) {
        free_buf(placement->workers[i].name);
    }
    g_aligned_free(placement->workers);
    g_ptr_array_free(placement->domains, TRUE);
    g_ptr_array_free(placement->racks, TRUE);
    g_array_free(placement->free_ids, TRUE);
    mb_spread_finish(&placement->spread);
    g_free(placement);
}

/* Returns the id of a location name, and assigns the next id to a new name. */
static uint32_t
intern_name(mb_placement_t *placement, const mb_buf_t *name)
{
    uint32_t id = mb_placement_find_name_id(placement, name);
    if (id != UINT32_MAX) {
        return id;
    }
    mb_buf_t *key = g_new0(mb_buf_t, 1);
    mb_buf_set(key, mb_buf_view(name));
    id = g_hash_table_size(placement->name_ids);
    g_hash_table_insert(placement->name_ids, key, GUINT_TO_POINTER(id + 1));
    return id;
}

/* Returns the index of a failure domain of a region, and adds the failure
   domain if needed. */
static uint32_t
find_or_add_domain(mb_placement_t *placement, uint32_t region,
                   uint32_t failure_domain)
{
    for (guint i = 0; i < placement->domains->len; i++) {
        const mb_placement_domain_t *domain =
            mb_placement_domain(placement, i);
        if (domain->region == region &&
            domain->failure_domain == failure_domain) {
            return i;
        }
    }
    mb_placement_domain_t *domain = g_new0(mb_placement_domain_t, 1);
    domain->region = region;
    domain->failure_domain = failure_domain;
    domain->shapes = g_array_new(FALSE, FALSE, sizeof(mb_placement_shape_t));
    g_ptr_array_add(placement->domains, domain);
    return placement->domains->len - 1;
}

/* Returns the index of the rack with this name id in a failure domain, and
   adds the rack if needed. */
static uint32_t
find_or_add_rack(mb_placement_t *placement, uint32_t domain, uint32_t name)
{
    uint32_t index = mb_placement_find_rack(placement, domain, name);
    if (index != UINT32_MAX) {
        return index;
    }
    mb_placement_rack_t *rack = g_new0(mb_placement_rack_t, 1);
    rack->key = mb_placement_rack_key(domain, name);
    rack->domain = domain;
    rack->workers = g_array_new(FALSE, FALSE, sizeof(mb_worker_id_t));
    g_ptr_array_add(placement->racks, rack);
    index = placement->racks->len - 1;
    g_hash_table_insert(placement->rack_by_key, &rack->key,
                        GUINT_TO_POINTER(index + 1));
    return index;
}

/* Returns the entry for workers of this capacity in a failure domain, NULL
   when there is none. The pointer is valid until an entry is added or
   removed. */
static mb_placement_shape_t *
find_shape(const mb_placement_domain_t *domain, const mb_size_t *capacity)
{
    for (guint i = 0; i < domain->shapes->len; i++) {
        mb_placement_shape_t *shape =
            &g_array_index(domain->shapes, mb_placement_shape_t, i);
        if (mb_size_fits(&shape->capacity, capacity) &&
            mb_size_fits(capacity, &shape->capacity)) {
            return shape;
        }
    }
    return NULL;
}

/* Counts one more worker of this capacity in a failure domain. */
static void
add_shape(const mb_placement_domain_t *domain, const mb_size_t *capacity)
{
    mb_placement_shape_t *shape = find_shape(domain, capacity);
    if (shape != NULL) {
        shape->workers++;
        return;
    }
    mb_placement_shape_t added = {.capacity = *capacity, .workers = 1};
    g_array_append_val(domain->shapes, added);
}

/* Counts one worker of this capacity less in a failure domain. */
static void
remove_shape(const mb_placement_domain_t *domain, const mb_size_t *capacity)
{
    mb_placement_shape_t *shape = find_shape(domain, capacity);
    MB_INVARIANT(shape != NULL, "placement_shapes");
    if (--shape->workers == 0) {
        const mb_placement_shape_t *first =
            &g_array_index(domain->shapes, mb_placement_shape_t, 0);
        g_array_remove_index_fast(domain->shapes, (guint)(shape - first));
    }
}

/* Removes a worker from the index of its failure domain, if it is there. */
static void
remove_from_index(mb_placement_t *placement, mb_worker_id_t id)
{
    mb_placement_worker_t *worker = mb_placement_worker(placement, id);
    if (!worker->position.present) {
        return;
    }
    mb_placement_domain_t *domain =
        mb_placement_domain(placement, worker->domain);
    uint32_t moved = mb_index_remove(&domain->index, &worker->position);
    mb_placement_worker(placement, moved)->position.item_index =
        worker->position.item_index;
    worker->position.present = false;
}

/* Updates the index after a change of a worker: removes the worker when it may
   not be chosen, else files it under its available size. */
static void
update_index(mb_placement_t *placement, mb_worker_id_t id)
{
    mb_placement_worker_t *worker = mb_placement_worker(placement, id);
    if (!worker->present || !worker->eligible || worker->cordoned) {
        remove_from_index(placement, id);
        return;
    }
    mb_placement_domain_t *domain =
        mb_placement_domain(placement, worker->domain);
    mb_size_t available = mb_placement_worker_available(worker);
    mb_index_position_t position =
        mb_index_locate(&available, worker->capacity.accelerators > 0);
    if (mb_index_same_bucket(&position, &worker->position)) {
        mb_index_raise_bound(&domain->index, &worker->position, &available);
        return;
    }
    remove_from_index(placement, id);
    worker->position = position;
    mb_index_insert(&domain->index, id, &available, &worker->position);
}

/* Removes a worker from the list of its rack, whose order does not matter. */
static void
remove_from_rack(const mb_placement_t *placement, mb_worker_id_t id)
{
    const mb_placement_worker_t *worker = mb_placement_worker(placement, id);
    GArray *workers = mb_placement_rack(placement, worker->rack)->workers;
    for (guint i = 0; i < workers->len; i++) {
        if (g_array_index(workers, mb_worker_id_t, i) == id) {
            g_array_remove_index_fast(workers, i);
            return;
        }
    }
}

/* Appends an entry to the worker table, which grows by doubling. */
static mb_worker_id_t
append_entry(mb_placement_t *placement)
{
    if (placement->worker_count == placement->workers_allocated) {
        uint32_t allocated = MAX(2 * placement->workers_allocated, 16u);
        mb_placement_worker_t *workers = g_aligned_alloc0(
            allocated, sizeof(*workers), MB_PLACEMENT_CACHE_LINE);
        for (uint32_t i = 0; i < placement->worker_count; i++) {
            workers[i] = placement->workers[i];
        }
        g_aligned_free(placement->workers);
        placement->workers = workers;
        placement->workers_allocated = allocated;
    }
    placement->workers[placement->worker_count].name = g_new0(mb_buf_t, 1);
    return placement->worker_count++;
}

/* Adds a worker that is eligible and not cordoned, under a free or a new id.
   The caller sets its capacity and location. */
static mb_worker_id_t
add_worker(mb_placement_t *placement, mb_str_t name)
{
    mb_worker_id_t id;
    if (placement->free_ids->len > 0) {
        guint last = placement->free_ids->len - 1;
        id = g_array_index(placement->free_ids, mb_worker_id_t, last);
        g_array_set_size(placement->free_ids, last);
    }
    else {
        id = append_entry(placement);
    }
    mb_placement_worker_t *worker = mb_placement_worker(placement, id);
    mb_buf_set(worker->name, name);
    worker->present = true;
    worker->eligible = true;
    worker->cordoned = false;
    worker->slowdown_permille = 0;
    g_hash_table_insert(placement->by_name, worker->name,
                        GUINT_TO_POINTER(id + 1));
    placement->present_workers++;
    return id;
}

/* Removes a worker from the lists of its failure domain and rack. */
static void
remove_from_location(mb_placement_t *placement, mb_worker_id_t id)
{
    const mb_placement_worker_t *worker = mb_placement_worker(placement, id);
    remove_from_index(placement, id);
    remove_from_rack(placement, id);
    remove_shape(mb_placement_domain(placement, worker->domain),
                 &worker->capacity);
}

/* Returns whether a worker that has tasks is now declared in another rack than
   before. */
static bool
has_moved_with_tasks(mb_placement_t *placement, mb_worker_id_t id,
                     uint32_t rack)
{
    const mb_placement_worker_t *worker = mb_placement_worker(placement, id);
    return worker->rack != rack && worker->tasks > 0;
}

/* Adds a worker, or updates the one with this name. A worker that moved to
   another rack while it has tasks gets a new id: its tasks are counted at the
   old location until they are released. */
mb_worker_id_t
mb_placement_set_worker(mb_placement_t *placement,
                        const mb_resource_t *resource)
{
    const mb_worker_t *spec = &resource->spec.worker;
    uint32_t domain =
        find_or_add_domain(placement, intern_name(placement, &spec->region),
                           intern_name(placement, &spec->failure_domain));
    uint32_t rack = find_or_add_rack(placement, domain,
                                     intern_name(placement, &spec->rack));
    mb_str_t name = mb_buf_view(&resource->name);
    mb_worker_id_t id = mb_placement_find_worker(placement, name);
    if (id != MB_WORKER_NONE && has_moved_with_tasks(placement, id, rack)) {
        mb_placement_remove_worker(placement, id);
        id = MB_WORKER_NONE;
    }
    if (id == MB_WORKER_NONE) {
        id = add_worker(placement, name);
    }
    else {
        remove_from_location(placement, id);
    }
    mb_placement_worker_t *worker = mb_placement_worker(placement, id);
    worker->capacity = spec->capacity;
    worker->domain = domain;
    worker->rack = rack;
    g_array_append_val(mb_placement_rack(placement, rack)->workers, id);
    add_shape(mb_placement_domain(placement, domain), &worker->capacity);
    update_index(placement, id);
    return id;
}

/* Removes a worker. Its id is not reused before its last task is released. */
void
mb_placement_remove_worker(mb_placement_t *placement, mb_worker_id_t id)
{
    mb_placement_worker_t *worker = mb_placement_worker(placement, id);
    MB_INVARIANT(worker->present, "placement_worker_present");
    remove_from_location(placement, id);
    g_hash_table_remove(placement->by_name, worker->name);
    worker->present = false;
    placement->present_workers--;
    if (worker->tasks == 0) {
        g_array_append_val(placement->free_ids, id);
    }
}

/* Returns the id of the worker with this name, MB_WORKER_NONE for an unknown
   one. */
mb_worker_id_t
mb_placement_find_worker(const mb_placement_t *placement, mb_str_t name)
{
    mb_buf_t key = {.data = (char *)name.data, .len = name.len};
    void *value = g_hash_table_lookup(placement->by_name, &key);
    return value == NULL ? MB_WORKER_NONE : GPOINTER_TO_UINT(value) - 1;
}

/* Sets whether a search may choose the worker. */
void
mb_placement_set_eligible(mb_placement_t *placement, mb_worker_id_t id,
                          bool eligible)
{
    mb_placement_worker(placement, id)->eligible = eligible;
    update_index(placement, id);
}

/* Sets the slowdown, in thousandths, that an urgent task is estimated to
   suffer on the worker. It counts in the score of later searches. */
void
mb_placement_set_slowdown(mb_placement_t *placement, mb_worker_id_t id,
                          uint32_t slowdown_permille)
{
    mb_placement_worker(placement, id)->slowdown_permille = slowdown_permille;
}

/* Sets what the choice of a worker optimises: with MB_OBJECTIVE_LATENCY_FIRST
   tasks other than batch prefer empty workers, else all tasks are packed
   tightly. */
void
mb_placement_set_objective(mb_placement_t *placement, mb_objective_t objective)
{
    placement->objective = objective;
}

/* Reserves the task's size on a worker that has room for it and counts the
   task for its group. */
static void
reserve_on(mb_placement_t *placement, mb_worker_id_t id,
           const mb_placement_task_t *task)
{
    mb_placement_worker_t *worker = mb_placement_worker(placement, id);
    const mb_size_t *size = &task->size;
    const mb_size_t *reserved = &worker->reserved;
    const mb_size_t *capacity = &worker->capacity;
    MB_INVARIANT((uint64_t)reserved->cpu_milli + size->cpu_milli <=
                     capacity->cpu_milli,
                 "worker_cpu");
    MB_INVARIANT((uint64_t)reserved->memory_mb + size->memory_mb <=
                     capacity->memory_mb,
                 "worker_memory");
    MB_INVARIANT((uint64_t)reserved->accelerators + size->accelerators <=
                     capacity->accelerators,
                 "worker_accelerators");
    mb_size_add(&worker->reserved, size);
    worker->tasks++;
    if (task->group != 0) {
        mb_spread_add(&placement->spread, task->group,
                      mb_placement_domain_location(worker->domain));
        mb_spread_add(&placement->spread, task->group,
                      mb_placement_rack_location(worker->rack));
    }
    update_index(placement, id);
}

/* Chooses a worker and reserves the task's size there. The result tells why
   when there is none. */
mb_placement_result_t
mb_placement_place(mb_placement_t *placement, const mb_placement_task_t *task,
                   mb_worker_id_t *worker)
{
    *worker = mb_placement_search(placement, task);
    if (*worker == MB_WORKER_NONE) {
        return mb_placement_explain(placement, task);
    }
    reserve_on(placement, *worker, task);
    return MB_PLACEMENT_PLACED;
}

/* Reserves the task's size on a given worker. Returns false when the worker
   was removed or lacks room. Constraints and eligibility are not checked
   because they were when the task was placed. */
bool
mb_placement_reserve(mb_placement_t *placement, mb_worker_id_t id,
                     const mb_placement_task_t *task)
{
    if (id >= placement->worker_count) {
        return false;
    }
    const mb_placement_worker_t *worker = mb_placement_worker(placement, id);
    mb_size_t available = mb_placement_worker_available(worker);
    if (!worker->present || !mb_size_fits(&task->size, &available)) {
        return false;
    }
    reserve_on(placement, id, task);
    return true;
}

/* Releases the reservation of a task. Works for a removed worker too, whose id
   becomes free with its last task. */
void
mb_placement_release(mb_placement_t *placement, mb_worker_id_t id,
                     const mb_placement_task_t *task)
{
    mb_placement_worker_t *worker = mb_placement_worker(placement, id);
    MB_INVARIANT(worker->tasks > 0, "placement_accounting");
    mb_size_subtract(&worker->reserved, &task->size);
    worker->tasks--;
    if (task->group != 0) {
        mb_spread_remove(&placement->spread, task->group,
                         mb_placement_domain_location(worker->domain));
        mb_spread_remove(&placement->spread, task->group,
                         mb_placement_rack_location(worker->rack));
    }
    update_index(placement, id);
    if (!worker->present && worker->tasks == 0) {
        g_array_append_val(placement->free_ids, id);
    }
}

/* Returns the available share of a worker's processors or of its memory,
   whichever is lower. */
static double
compute_available_share(const mb_placement_worker_t *worker)
{
    mb_size_t available = mb_placement_worker_available(worker);
    double cpu =
        (double)available.cpu_milli / MAX(worker->capacity.cpu_milli, 1u);
    double memory =
        (double)available.memory_mb / MAX(worker->capacity.memory_mb, 1u);
    return MIN(cpu, memory);
}

/* Cordons the allowed worker with the largest available share. Scans all
   workers, which is acceptable because callers do it rarely. */
mb_worker_id_t
mb_placement_cordon(mb_placement_t *placement, const mb_placement_task_t *task)
{
    mb_worker_id_t best = MB_WORKER_NONE;
    double best_share = -1;
    for (mb_worker_id_t id = 0; id < placement->worker_count; id++) {
        const mb_placement_worker_t *worker =
            mb_placement_worker(placement, id);
        double share = compute_available_share(worker);
        if (share > best_share && !worker->cordoned &&
            mb_placement_allows(placement, task, id)) {
            best = id;
            best_share = share;
        }
    }
    if (best != MB_WORKER_NONE) {
        mb_placement_worker(placement, best)->cordoned = true;
        update_index(placement, best);
    }
    return best;
}

/* Makes a cordoned worker available to searches again. */
void
mb_placement_uncordon(mb_placement_t *placement, mb_worker_id_t id)
{
    mb_placement_worker(placement, id)->cordoned = false;
    update_index(placement, id);
}

/* Returns the capacity of the worker less what is reserved there. */
mb_size_t
mb_placement_available(const mb_placement_t *placement, mb_worker_id_t id)
{
    return mb_placement_worker_available(mb_placement_worker(placement, id));
}
