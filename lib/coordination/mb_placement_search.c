/* Search for a worker for a task: visits the buckets of the index that may
   have room, compares a few candidates by score and returns the best one. Also
   explains why no worker was found. */
#include "mb_placement_table.h"

/* Workers with room that are compared before a search chooses the best one.
   More would improve the choice; the limit keeps the cost of a search from
   growing with the fleet. */
#define CANDIDATES_MAX 6
/* Candidates taken from one failure domain, so that workers of several failure
   domains are compared. */
#define CANDIDATES_PER_DOMAIN 3
/* Weights in the score of a candidate: of its slowdown (1.0: urgent tasks are
   twice as slow there) and of each task of the same group in its failure
   domain or rack. The lowest score wins. */
#define SLOWDOWN_WEIGHT 4.0
#define SPREAD_WEIGHT 0.25

/* A constraint and the ids of the names that it lists. `constraint` may be
   NULL, which allows all workers. */
typedef struct filter {
    const mb_constraint_t *constraint;
    uint32_t regions[MB_NAMES_MAX];
    uint32_t failure_domains[MB_NAMES_MAX];
    uint32_t racks[MB_NAMES_MAX];
} filter_t;

/* The state of one search. */
typedef struct search {
    mb_placement_t *placement;
    const mb_placement_task_t *task;
    filter_t filter;
    mb_spread_group_t *group;      /* NULL: has no tasks, or is group 0 */
    uint64_t random;               /* decides where visits start */
    uint32_t candidates;           /* compared so far */
    uint32_t candidates_in_domain; /* of them in the visited domain */
    uint32_t group_in_domain;      /* tasks of the group in that domain */
    double best_score;
    mb_worker_id_t best;
} search_t;

/* Looks up the ids of a list of names. A name that no worker has had gets
   UINT32_MAX, which matches nothing. */
static void
resolve_names(const mb_placement_t *placement, const mb_names_t *names,
              uint32_t *ids)
{
    for (uint32_t i = 0; i < names->count; i++) {
        ids[i] = mb_placement_find_name_id(placement, &names->items[i]);
    }
}

/* Initializes a filter from a constraint, which it borrows. */
static void
filter_init(filter_t *filter, const mb_placement_t *placement,
            const mb_constraint_t *constraint)
{
    filter->constraint = constraint;
    if (constraint != NULL) {
        resolve_names(placement, &constraint->regions, filter->regions);
        resolve_names(placement, &constraint->failure_domains,
                      filter->failure_domains);
        resolve_names(placement, &constraint->racks, filter->racks);
    }
}

/* Returns whether a list of names contains the one with this id; an empty list
   allows all names. */
static bool
list_allows(const mb_names_t *names, const uint32_t *ids, uint32_t id)
{
    for (uint32_t i = 0; i < names->count; i++) {
        if (ids[i] == id) {
            return true;
        }
    }
    return names->count == 0;
}

/* Returns whether the constraint allows a failure domain and its region. */
static bool
filter_allows_domain(const filter_t *filter,
                     const mb_placement_domain_t *domain)
{
    const mb_constraint_t *constraint = filter->constraint;
    return constraint == NULL ||
           (list_allows(&constraint->regions, filter->regions,
                        domain->region) &&
            list_allows(&constraint->failure_domains, filter->failure_domains,
                        domain->failure_domain));
}

/* Returns whether the task may run only on workers that have accelerators. */
static bool
needs_accelerated_worker(const mb_placement_task_t *task)
{
    return task->size.accelerators > 0 ||
           (task->constraint != NULL && task->constraint->needs_accelerator);
}

/* Returns whether another task of the group may run in a rack under the limit
   per rack. */
static bool
below_rack_limit(const search_t *search, uint32_t rack)
{
    const mb_constraint_t *constraint = search->filter.constraint;
    uint32_t location = mb_placement_rack_location(rack);
    return constraint == NULL || constraint->max_per_rack == 0 ||
           mb_spread_count(search->group, location) < constraint->max_per_rack;
}

/* Starts the visit of a failure domain. Returns false when the constraint or
   the limit per failure domain excludes it. */
static bool
enter_domain(search_t *search, uint32_t index)
{
    const mb_constraint_t *constraint = search->filter.constraint;
    if (!filter_allows_domain(&search->filter,
                              mb_placement_domain(search->placement, index))) {
        return false;
    }
    search->candidates_in_domain = 0;
    search->group_in_domain =
        mb_spread_count(search->group, mb_placement_domain_location(index));
    return constraint == NULL || constraint->max_per_failure_domain == 0 ||
           search->group_in_domain < constraint->max_per_failure_domain;
}

/* Returns whether the search prefers empty workers to nearly full ones: when
   the objective is latency and the task is not batch. */
static bool
prefers_empty_workers(const search_t *search)
{
    return search->placement->objective == MB_OBJECTIVE_LATENCY_FIRST &&
           search->task->task_class != MB_CLASS_BATCH;
}

/* Returns the share of a capacity that is still available once the task is
   placed. */
static double
compute_remaining_share(uint32_t free, uint32_t need, uint32_t capacity)
{
    return capacity == 0 ? 0 : (double)(free - need) / capacity;
}

/* Computes the score of a worker with room: tight packing or empty workers, by
   objective, little slowdown, and few tasks of the same group in the failure
   domain. A lower score is better. */
static double
compute_score(const search_t *search, const mb_placement_worker_t *worker,
              const mb_size_t *available)
{
    const mb_size_t *need = &search->task->size;
    const mb_size_t *capacity = &worker->capacity;
    double remaining =
        compute_remaining_share(available->cpu_milli, need->cpu_milli,
                                capacity->cpu_milli) +
        compute_remaining_share(available->memory_mb, need->memory_mb,
                                capacity->memory_mb);
    double score = prefers_empty_workers(search) ? -remaining : remaining;
    score += SLOWDOWN_WEIGHT * worker->slowdown_permille / 1000;
    return score + SPREAD_WEIGHT * search->group_in_domain;
}

/* Makes a worker the best candidate so far when it can run the task and has a
   lower score. The number of the group's tasks in the rack can only raise the
   score, and looking it up is the costly part in a large fleet, so it is read
   last and only for a worker that would win without it. */
static void
consider_worker(search_t *search, mb_worker_id_t id)
{
    const mb_placement_worker_t *worker =
        mb_placement_worker(search->placement, id);
    mb_size_t available = mb_placement_worker_available(worker);
#ifdef MB_MUTANT_PLACEMENT_NO_CAPACITY
    available = worker->capacity;
#endif
    if (!mb_size_fits(&search->task->size, &available) ||
        !below_rack_limit(search, worker->rack)) {
        return;
    }
    search->candidates++;
    search->candidates_in_domain++;
    double score = compute_score(search, worker, &available);
    bool first = search->best == MB_WORKER_NONE;
    if (!first && score >= search->best_score) {
        return;
    }
    if (search->group_in_domain > 0) {
        uint32_t location = mb_placement_rack_location(worker->rack);
        score += SPREAD_WEIGHT * mb_spread_count(search->group, location);
    }
    if (first || score < search->best_score) {
        search->best = id;
        search->best_score = score;
    }
}

/* Returns whether enough candidates were compared, in all or in the visited
   failure domain. */
static bool
has_enough_candidates(const search_t *search)
{
    return search->candidates >= CANDIDATES_MAX ||
           search->candidates_in_domain >= CANDIDATES_PER_DOMAIN;
}

/* Considers the workers of one bucket, from a random position on. When it
   visits the whole bucket, it makes the upper bound exact, so that the next
   search for too large a task skips the bucket. */
static void
visit_bucket(search_t *search, mb_index_bucket_t *bucket)
{
#ifndef MB_MUTANT_PLACEMENT_NO_CAPACITY
    if (!mb_size_fits(&search->task->size, &bucket->upper_bound)) {
        return;
    }
#endif
    uint32_t count = bucket->count;
    uint32_t first = (uint32_t)(((search->random & UINT32_MAX) * count) >> 32);
    mb_size_t upper_bound = {0};
    uint32_t visited = 0;
    while (visited < count && !has_enough_candidates(search)) {
        uint32_t position = first + visited;
        position -= position >= count ? count : 0;
        mb_worker_id_t id = bucket->items[position];
        mb_size_t available = mb_placement_worker_available(
            mb_placement_worker(search->placement, id));
        upper_bound.cpu_milli =
            MAX(upper_bound.cpu_milli, available.cpu_milli);
        upper_bound.memory_mb =
            MAX(upper_bound.memory_mb, available.memory_mb);
        upper_bound.accelerators =
            MAX(upper_bound.accelerators, available.accelerators);
        consider_worker(search, id);
        visited++;
    }
    if (visited == count) {
        bucket->upper_bound = upper_bound;
    }
}

/* Removes the highest or lowest class from a set that is not empty, and
   returns it. */
static uint32_t
pop_size_class(uint32_t *set, bool highest)
{
    uint32_t bit = highest ? 31u - (uint32_t)__builtin_clz(*set)
                           : (uint32_t)__builtin_ctz(*set);
    *set &= ~(UINT32_C(1) << bit);
    return bit;
}

/* Visits the buckets of a partition that may have room: from the emptiest
   workers on when the search prefers empty workers, else from the fullest. */
static void
visit_partition(search_t *search, mb_index_partition_t *partition)
{
    bool highest = prefers_empty_workers(search);
    mb_index_position_t need = mb_index_locate(&search->task->size, false);
    uint32_t cpu_classes =
        partition->cpu_classes & (UINT32_MAX << need.cpu_class);
    while (cpu_classes != 0 && !has_enough_candidates(search)) {
        uint32_t cpu_class = pop_size_class(&cpu_classes, highest);
        uint32_t memory_classes = partition->memory_classes[cpu_class] &
                                  (UINT32_MAX << need.memory_class);
        while (memory_classes != 0 && !has_enough_candidates(search)) {
            uint32_t memory_class = pop_size_class(&memory_classes, highest);
            visit_bucket(search, &partition->buckets[cpu_class][memory_class]);
        }
    }
}

/* Visits one partition of every failure domain that the constraint allows,
   from a random one on. */
static void
visit_domains(search_t *search, uint32_t partition)
{
    uint32_t count = search->placement->domains->len;
    uint32_t first = (uint32_t)((search->random >> 32) * count >> 32);
    for (uint32_t i = 0; i < count && search->candidates < CANDIDATES_MAX;
         i++) {
        uint32_t index = (first + i) % count;
        const mb_placement_domain_t *domain =
            mb_placement_domain(search->placement, index);
        mb_index_partition_t *part = domain->index.partitions[partition];
        if (part != NULL && part->cpu_classes != 0 &&
            enter_domain(search, index)) {
            visit_partition(search, part);
        }
    }
}

/* Considers all workers of one rack that new tasks may go to. */
static void
visit_rack(search_t *search, const mb_placement_rack_t *rack)
{
    for (guint i = 0; i < rack->workers->len; i++) {
        mb_worker_id_t id = g_array_index(rack->workers, mb_worker_id_t, i);
        const mb_placement_worker_t *worker =
            mb_placement_worker(search->placement, id);
        bool has_accelerators = worker->capacity.accelerators > 0;
        if (worker->position.present &&
            (has_accelerators || !needs_accelerated_worker(search->task))) {
            consider_worker(search, id);
        }
    }
}

/* Visits the racks that the constraint names, in every failure domain that it
   allows, without the index and without a limit on the candidates. */
static void
visit_racks(search_t *search)
{
    const mb_placement_t *placement = search->placement;
    uint32_t names = search->filter.constraint->racks.count;
    for (guint domain = 0; domain < placement->domains->len; domain++) {
        if (!enter_domain(search, domain)) {
            continue;
        }
        for (uint32_t i = 0; i < names; i++) {
            uint32_t rack = mb_placement_find_rack(placement, domain,
                                                   search->filter.racks[i]);
            if (rack != UINT32_MAX) {
                visit_rack(search, mb_placement_rack(placement, rack));
            }
        }
    }
}

/* Returns the best of the compared workers with room, MB_WORKER_NONE when
   there is none. Partitions with fewer available accelerators are searched
   first, so that a task that needs none leaves accelerators to others. */
mb_worker_id_t
mb_placement_search(mb_placement_t *placement, const mb_placement_task_t *task)
{
    search_t search = {.placement = placement,
                       .task = task,
                       .best = MB_WORKER_NONE,
                       .random = mb_rng_next(&placement->rng)};
    filter_init(&search.filter, placement, task->constraint);
    if (task->group != 0) {
        search.group = mb_spread_find_group(&placement->spread, task->group);
    }
    if (task->constraint != NULL && task->constraint->racks.count > 0) {
        visit_racks(&search);
        return search.best;
    }
    uint32_t first = mb_index_first_partition(task->size.accelerators);
    if (first == 0 && needs_accelerated_worker(task)) {
        first = 1;
    }
    for (uint32_t i = first; i < MB_INDEX_PARTITIONS; i++) {
        if (search.best == MB_WORKER_NONE) {
            visit_domains(&search, i);
        }
    }
    return search.best;
}

/* Returns whether an empty worker of this capacity could run the task. */
static bool
capacity_could_fit(const mb_placement_task_t *task, const mb_size_t *capacity)
{
    return mb_size_fits(&task->size, capacity) &&
           (capacity->accelerators > 0 || !needs_accelerated_worker(task));
}

/* Returns whether some worker of a failure domain could run the task if it
   were empty. */
static bool
domain_could_fit(const mb_placement_task_t *task,
                 const mb_placement_domain_t *domain)
{
    for (guint i = 0; i < domain->shapes->len; i++) {
        const mb_placement_shape_t *shape =
            &g_array_index(domain->shapes, mb_placement_shape_t, i);
        if (capacity_could_fit(task, &shape->capacity)) {
            return true;
        }
    }
    return false;
}

/* Returns whether some worker of a rack could run the task if it were
   empty. */
static bool
rack_could_fit(const mb_placement_t *placement,
               const mb_placement_task_t *task,
               const mb_placement_rack_t *rack)
{
    for (guint i = 0; i < rack->workers->len; i++) {
        mb_worker_id_t id = g_array_index(rack->workers, mb_worker_id_t, i);
        if (capacity_could_fit(
                task, &mb_placement_worker(placement, id)->capacity)) {
            return true;
        }
    }
    return false;
}

/* Returns whether some worker of a failure domain, in a rack that the
   constraint allows, could run the task if it were empty. */
static bool
allowed_workers_could_fit(const mb_placement_t *placement,
                          const filter_t *filter,
                          const mb_placement_task_t *task, uint32_t domain)
{
    if (filter->constraint == NULL || filter->constraint->racks.count == 0) {
        return domain_could_fit(task, mb_placement_domain(placement, domain));
    }
    for (uint32_t i = 0; i < filter->constraint->racks.count; i++) {
        uint32_t rack =
            mb_placement_find_rack(placement, domain, filter->racks[i]);
        if (rack != UINT32_MAX &&
            rack_could_fit(placement, task,
                           mb_placement_rack(placement, rack))) {
            return true;
        }
    }
    return false;
}

/* Returns whether some worker that the constraint allows could run the task if
   it were empty. */
static bool
any_worker_could_fit(const mb_placement_t *placement, const filter_t *filter,
                     const mb_placement_task_t *task)
{
    for (guint i = 0; i < placement->domains->len; i++) {
        if (filter_allows_domain(filter, mb_placement_domain(placement, i)) &&
            allowed_workers_could_fit(placement, filter, task, i)) {
            return true;
        }
    }
    return false;
}

/* Returns whether the task may run on the worker, whatever else runs there. */
bool
mb_placement_allows(const mb_placement_t *placement,
                    const mb_placement_task_t *task, mb_worker_id_t id)
{
    const mb_placement_worker_t *worker = mb_placement_worker(placement, id);
    search_t search = {.placement = (mb_placement_t *)placement, .task = task};
    if (!worker->present || !worker->eligible ||
        !capacity_could_fit(task, &worker->capacity)) {
        return false;
    }
    filter_init(&search.filter, placement, task->constraint);
    if (task->group != 0) {
        search.group = mb_spread_find_group(&placement->spread, task->group);
    }
    if (!enter_domain(&search, worker->domain) ||
        !below_rack_limit(&search, worker->rack)) {
        return false;
    }
    const mb_constraint_t *constraint = task->constraint;
    uint64_t rack = mb_placement_rack(placement, worker->rack)->key;
    return constraint == NULL ||
           list_allows(&constraint->racks, search.filter.racks,
                       (uint32_t)(rack & UINT32_MAX));
}

/* Returns why no worker was found. Without any worker the result is to wait,
   because workers may not have been declared yet. */
mb_placement_result_t
mb_placement_explain(const mb_placement_t *placement,
                     const mb_placement_task_t *task)
{
    filter_t filter;
    filter_init(&filter, placement, task->constraint);
    if (placement->present_workers == 0 ||
        any_worker_could_fit(placement, &filter, task)) {
        return MB_PLACEMENT_WAIT;
    }
    mb_placement_task_t free_task = *task;
    free_task.constraint = NULL;
    filter.constraint = NULL;
    return any_worker_could_fit(placement, &filter, &free_task)
               ? MB_PLACEMENT_UNSATISFIABLE
               : MB_PLACEMENT_TOO_LARGE;
}
