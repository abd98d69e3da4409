/* Tests of placement and its index against a model that scans all workers. */
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "mb_placement.h"
}

static mb_str_t
str(const std::string &text)
{
    return {text.data(), text.size()};
}

struct Worker {
    std::string name, region, domain, rack;
    mb_size_t capacity, used;
    bool eligible;
};

/* A placed task and the id of its worker. */
struct Task {
    mb_placement_task_t task;
    size_t worker;
};

/* A placement index under test and a model of its workers and tasks. The id of
   a worker is its position in `workers`. */
struct FleetModel {
    mb_rng_seeded_t seeded;
    mb_rng_t rng;
    mb_placement_t *placement;
    std::vector<Worker> workers;
    std::vector<Task> tasks;

    explicit FleetModel(uint64_t seed)
    {
        mb_rng_seeded_init(&seeded, seed);
        rng = mb_rng_from_seeded(&seeded);
        placement = mb_placement_new(&rng);
    }
    ~FleetModel()
    {
        mb_placement_free(placement);
    }
    uint32_t random_below(uint32_t bound)
    {
        return mb_rng_below(&rng, bound);
    }

    void add(const Worker &worker)
    {
        mb_resource_t resource;
        mb_resource_init(&resource, MB_RESOURCE_WORKER, str(worker.name));
        mb_buf_set(&resource.spec.worker.region, str(worker.region));
        mb_buf_set(&resource.spec.worker.failure_domain, str(worker.domain));
        mb_buf_set(&resource.spec.worker.rack, str(worker.rack));
        resource.spec.worker.capacity = worker.capacity;
        mb_worker_id_t id = mb_placement_set_worker(placement, &resource);
        mb_resource_finish(&resource);
        ASSERT_EQ(id, workers.size());
        workers.push_back(worker);
    }
    void add_random_workers(uint32_t count)
    {
        for (uint32_t i = 0; i < count; i++) {
            uint32_t domain = random_below(4);
            add({"w" + std::to_string(i),
                 "r" + std::to_string(domain / 2),
                 "d" + std::to_string(domain),
                 "k" + std::to_string(random_below(3)),
                 {1000 * (1 + random_below(32)), 1000 * (1 + random_below(64)),
                  random_below(3) == 0 ? random_below(9) : 0},
                 {0, 0, 0},
                 true});
        }
    }
};

/* Whether a list contains a name; an empty list allows all names. */
static bool
list_allows(const mb_names_t &names, const std::string &name)
{
    for (uint32_t i = 0; i < names.count; i++) {
        if (mb_str_equal(mb_buf_view(&names.items[i]), str(name))) {
            return true;
        }
    }
    return names.count == 0;
}

/* Whether the worker satisfies the task's constraint, limits aside. */
static bool
satisfies_constraint(const mb_placement_task_t &task, const Worker &worker)
{
    const mb_constraint_t *constraint = task.constraint;
    return constraint == nullptr ||
           (list_allows(constraint->regions, worker.region) &&
            list_allows(constraint->failure_domains, worker.domain) &&
            list_allows(constraint->racks, worker.rack) &&
            (!constraint->needs_accelerator ||
             worker.capacity.accelerators > 0));
}

/* Whether the limits per rack and failure domain allow another task of the
   group on the worker. */
static bool
below_limits(const FleetModel &fleet, const mb_placement_task_t &task,
             const Worker &worker)
{
    uint32_t in_rack = 0;
    uint32_t in_domain = 0;
    for (const Task &other : fleet.tasks) {
        const Worker &other_worker = fleet.workers[other.worker];
        if (other.task.group == task.group &&
            other_worker.domain == worker.domain) {
            in_domain++;
            in_rack += other_worker.rack == worker.rack;
        }
    }
    const mb_constraint_t *constraint = task.constraint;
    return constraint == nullptr || task.group == 0 ||
           ((constraint->max_per_rack == 0 ||
             in_rack < constraint->max_per_rack) &&
            (constraint->max_per_failure_domain == 0 ||
             in_domain < constraint->max_per_failure_domain));
}

/* Whether the task may run on the worker now, by the model. */
static bool
may_run(const FleetModel &fleet, const mb_placement_task_t &task,
        const Worker &worker)
{
    mb_size_t available = worker.capacity;
    mb_size_subtract(&available, &worker.used);
    return worker.eligible && satisfies_constraint(task, worker) &&
           mb_size_fits(&task.size, &available) &&
           below_limits(fleet, task, worker);
}

/* The result that the model expects for a task, by a scan of all workers. */
static mb_placement_result_t
expected_result(const FleetModel &fleet, const mb_placement_task_t &task)
{
    bool fits = false;
    bool fits_with_constraint = false;
    for (const Worker &worker : fleet.workers) {
        if (may_run(fleet, task, worker)) {
            return MB_PLACEMENT_PLACED;
        }
        bool large = mb_size_fits(&task.size, &worker.capacity);
        fits = fits || large;
        fits_with_constraint = fits_with_constraint ||
                               (large && satisfies_constraint(task, worker));
    }
    return fits_with_constraint ? MB_PLACEMENT_WAIT
           : fits               ? MB_PLACEMENT_UNSATISFIABLE
                                : MB_PLACEMENT_TOO_LARGE;
}

/* Constraints to choose from, by location, accelerators and limits. */
struct Constraints {
    std::vector<mb_constraint_t> all;

    Constraints() : all(6)
    {
        mb_names_add(&all[0].regions, MB_STR_LIT("r1"));
        mb_names_add(&all[1].failure_domains, MB_STR_LIT("d2"));
        mb_names_add(&all[2].racks, MB_STR_LIT("k1"));
        all[2].max_per_failure_domain = 2;
        all[3].needs_accelerator = true;
        all[4].max_per_rack = 1;
        all[5].max_per_failure_domain = 1;
        mb_names_add(&all[5].regions, MB_STR_LIT("r1"));
    }
    ~Constraints()
    {
        for (mb_constraint_t &constraint : all) {
            mb_names_finish(&constraint.regions);
            mb_names_finish(&constraint.failure_domains);
            mb_names_finish(&constraint.racks);
        }
    }
};

/* Places a random task and checks the result against the model. */
static void
place_random_task(FleetModel &fleet, Constraints &constraints)
{
    mb_placement_task_t task = {};
    task.size = {fleet.random_below(20) * 700, fleet.random_below(20) * 1500,
                 fleet.random_below(4) == 0 ? fleet.random_below(10) : 0};
    task.task_class = (mb_class_t)fleet.random_below(MB_CLASS_COUNT);
    task.group = fleet.random_below(5);
    uint32_t choice = fleet.random_below(12);
    task.constraint =
        choice < constraints.all.size() ? &constraints.all[choice] : nullptr;
    mb_placement_result_t result = expected_result(fleet, task);
    mb_worker_id_t id;
    RC_ASSERT(mb_placement_place(fleet.placement, &task, &id) == result);
    if (result == MB_PLACEMENT_PLACED) {
        RC_ASSERT(may_run(fleet, task, fleet.workers[id]));
        mb_size_add(&fleet.workers[id].used, &task.size);
        fleet.tasks.push_back({task, id});
    }
}

/* Releases a random task, in the index and in the model. */
static void
release_random_task(FleetModel &fleet)
{
    size_t i = fleet.random_below(fleet.tasks.size());
    Task released = fleet.tasks[i];
    fleet.tasks[i] = fleet.tasks.back();
    fleet.tasks.pop_back();
    mb_placement_release(fleet.placement, released.worker, &released.task);
    mb_size_subtract(&fleet.workers[released.worker].used,
                     &released.task.size);
}

/* Guards against an index that hides a worker with room, a constraint or limit
   that is not enforced, and a wrong reason for a task that can't be placed. */
RC_GTEST_PROP(Placement, MatchesAScanOfAllWorkers, (uint64_t seed))
{
    FleetModel fleet(seed);
    Constraints constraints;
    fleet.add_random_workers(1 + fleet.random_below(30));
    mb_placement_set_objective(fleet.placement,
                               (mb_objective_t)fleet.random_below(2));
    for (int step = 0; step < 400; step++) {
        uint32_t action = fleet.random_below(10);
        if (action < 6) {
            place_random_task(fleet, constraints);
        }
        else if (action < 9 && !fleet.tasks.empty()) {
            release_random_task(fleet);
        }
        else {
            uint32_t id = fleet.random_below(fleet.workers.size());
            Worker &worker = fleet.workers[id];
            worker.eligible = !worker.eligible;
            mb_placement_set_eligible(fleet.placement, id, worker.eligible);
        }
    }
    for (size_t i = 0; i < fleet.workers.size(); i++) {
        mb_size_t available = fleet.workers[i].capacity;
        mb_size_subtract(&available, &fleet.workers[i].used);
        mb_size_t reported = mb_placement_available(fleet.placement, i);
        RC_ASSERT(mb_size_fits(&available, &reported) &&
                  mb_size_fits(&reported, &available));
    }
}

static const mb_size_t large = {16000, 60000, 0};

/* Guards against tasks that need no accelerators filling the workers that have
   some. */
TEST(Placement, TasksWithoutAcceleratorsAvoidWorkersThatHaveThem)
{
    FleetModel fleet(1);
    for (int i = 0; i < 6; i++) {
        mb_size_t size = large;
        size.accelerators = i % 2 ? 4 : 0;
        fleet.add({"w" + std::to_string(i), "r", "d", "k", size, {}, true});
    }
    for (int i = 0; i < 3 * 16; i++) {
        mb_placement_task_t task = {};
        task.size = {1000, 100, 0};
        mb_worker_id_t id;
        ASSERT_EQ(mb_placement_place(fleet.placement, &task, &id),
                  MB_PLACEMENT_PLACED);
        EXPECT_EQ(id % 2, 0u);
    }
}

/* Guards against urgent tasks placed on workers where others slow them down,
   and against a group whose tasks end up in one failure domain. */
TEST(Placement, AvoidsSlowedWorkersAndSpreadsAGroup)
{
    FleetModel fleet(2);
    for (int i = 0; i < 4; i++) {
        fleet.add({"w" + std::to_string(i),
                   "r",
                   "d" + std::to_string(i % 2),
                   "k" + std::to_string(i),
                   large,
                   {},
                   true});
    }
    mb_placement_set_slowdown(fleet.placement, 0, 1000);
    mb_placement_set_slowdown(fleet.placement, 1, 1000);
    std::map<std::string, int> domains;
    for (int i = 0; i < 4; i++) {
        mb_placement_task_t task = {};
        task.size = {1000, 1000, 0};
        task.group = 7;
        mb_worker_id_t id;
        ASSERT_EQ(mb_placement_place(fleet.placement, &task, &id),
                  MB_PLACEMENT_PLACED);
        EXPECT_GE(id, 2u);
        domains[fleet.workers[id].domain]++;
    }
    EXPECT_EQ(domains["d0"], 2);
    EXPECT_EQ(domains["d1"], 2);
}

/* Guards against tasks of a removed worker that are lost from the counts, and
   against an id that is reused while such tasks run. */
TEST(Placement, DoesNotReuseTheIdOfARemovedWorkerWithTasks)
{
    FleetModel fleet(3);
    fleet.add({"w0", "r", "d", "k", large, {}, true});
    mb_placement_task_t task = {};
    task.size = {1000, 1000, 0};
    ASSERT_TRUE(mb_placement_reserve(fleet.placement, 0, &task));
    mb_placement_remove_worker(fleet.placement, 0);
    EXPECT_EQ(mb_placement_find_worker(fleet.placement, MB_STR_LIT("w0")),
              MB_WORKER_NONE);
    EXPECT_FALSE(mb_placement_reserve(fleet.placement, 0, &task));
    fleet.add({"w0", "r", "d", "k", large, {}, true});
    mb_placement_release(fleet.placement, 0, &task);
    mb_worker_id_t id;
    EXPECT_EQ(mb_placement_place(fleet.placement, &task, &id),
              MB_PLACEMENT_PLACED);
    EXPECT_EQ(id, 1u);
}
