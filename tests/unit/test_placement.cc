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

struct Task {
    mb_placement_task_t task;
    size_t worker;
};

/* A fleet beside a model of it. */
struct Fleet {
    mb_rng_seeded_t seeded;
    mb_rng_t rng;
    mb_placement_t *placement;
    std::vector<Worker> workers;
    std::vector<Task> tasks;

    explicit Fleet(uint64_t seed)
    {
        mb_rng_seeded_init(&seeded, seed);
        rng = mb_rng_from_seeded(&seeded);
        placement = mb_placement_new(&rng);
    }
    ~Fleet()
    {
        mb_placement_free(placement);
    }
    uint32_t below(uint32_t bound)
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
    void fill(uint32_t count)
    {
        for (uint32_t i = 0; i < count; i++) {
            uint32_t domain = below(4);
            add({"w" + std::to_string(i),
                 "r" + std::to_string(domain / 2),
                 "d" + std::to_string(domain),
                 "k" + std::to_string(below(3)),
                 {1000 * (1 + below(32)), 1000 * (1 + below(64)),
                  below(3) == 0 ? below(9) : 0},
                 {0, 0, 0},
                 true});
        }
    }
};

static bool
listed(const mb_names_t &names, const std::string &name)
{
    for (uint32_t i = 0; i < names.count; i++) {
        if (mb_str_equal(mb_buf_view(&names.items[i]), str(name))) {
            return true;
        }
    }
    return names.count == 0;
}

/* Whether the constraint lets the task run on the worker, limits aside. */
static bool
allowed(const mb_placement_task_t &task, const Worker &worker)
{
    const mb_constraint_t *c = task.constraint;
    return c == nullptr ||
           (listed(c->regions, worker.region) &&
            listed(c->failure_domains, worker.domain) &&
            listed(c->racks, worker.rack) &&
            (!c->needs_accelerator || worker.capacity.accelerators > 0));
}

/* Whether the limits per rack and failure domain leave room. */
static bool
below_limits(const Fleet &fleet, const mb_placement_task_t &task,
             const Worker &worker)
{
    uint32_t in_rack = 0;
    uint32_t in_domain = 0;
    for (const Task &other : fleet.tasks) {
        const Worker &at = fleet.workers[other.worker];
        if (other.task.group == task.group && at.domain == worker.domain) {
            in_domain++;
            in_rack += at.rack == worker.rack;
        }
    }
    const mb_constraint_t *c = task.constraint;
    return c == nullptr || task.group == 0 ||
           ((c->max_per_rack == 0 || in_rack < c->max_per_rack) &&
            (c->max_per_failure_domain == 0 ||
             in_domain < c->max_per_failure_domain));
}

static bool
may_run(const Fleet &fleet, const mb_placement_task_t &task,
        const Worker &worker)
{
    mb_size_t room = worker.capacity;
    mb_size_subtract(&room, &worker.used);
    return worker.eligible && allowed(task, worker) &&
           mb_size_fits(&task.size, &room) &&
           below_limits(fleet, task, worker);
}

/* What the model says about a task. */
static mb_placement_result_t
expected(const Fleet &fleet, const mb_placement_task_t &task)
{
    bool fits = false;
    bool fits_allowed = false;
    for (const Worker &worker : fleet.workers) {
        if (may_run(fleet, task, worker)) {
            return MB_PLACEMENT_PLACED;
        }
        bool large = mb_size_fits(&task.size, &worker.capacity);
        fits = fits || large;
        fits_allowed = fits_allowed || (large && allowed(task, worker));
    }
    return fits_allowed ? MB_PLACEMENT_WAIT
           : fits       ? MB_PLACEMENT_UNSATISFIABLE
                        : MB_PLACEMENT_TOO_LARGE;
}

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

static void
place_one(Fleet &fleet, Constraints &constraints)
{
    mb_placement_task_t task = {};
    task.size = {fleet.below(20) * 700, fleet.below(20) * 1500,
                 fleet.below(4) == 0 ? fleet.below(10) : 0};
    task.task_class = (mb_class_t)fleet.below(MB_CLASS_COUNT);
    task.group = fleet.below(5);
    uint32_t choice = fleet.below(12);
    task.constraint =
        choice < constraints.all.size() ? &constraints.all[choice] : nullptr;
    mb_placement_result_t result = expected(fleet, task);
    mb_worker_id_t id;
    RC_ASSERT(mb_placement_place(fleet.placement, &task, &id) == result);
    if (result == MB_PLACEMENT_PLACED) {
        RC_ASSERT(may_run(fleet, task, fleet.workers[id]));
        mb_size_add(&fleet.workers[id].used, &task.size);
        fleet.tasks.push_back({task, id});
    }
}

static void
release_one(Fleet &fleet)
{
    size_t i = fleet.below(fleet.tasks.size());
    Task gone = fleet.tasks[i];
    fleet.tasks[i] = fleet.tasks.back();
    fleet.tasks.pop_back();
    mb_placement_release(fleet.placement, gone.worker, &gone.task);
    mb_size_subtract(&fleet.workers[gone.worker].used, &gone.task.size);
}

/* Guards against an index that hides a worker with room, a constraint or
   limit that is not kept, and a wrong reason for a task that can't run. */
RC_GTEST_PROP(Placement, AgreesWithAScanOfAllWorkers, (uint64_t seed))
{
    Fleet fleet(seed);
    Constraints constraints;
    fleet.fill(1 + fleet.below(30));
    mb_placement_set_objective(fleet.placement,
                               (mb_objective_t)fleet.below(2));
    for (int step = 0; step < 400; step++) {
        uint32_t action = fleet.below(10);
        if (action < 6) {
            place_one(fleet, constraints);
        }
        else if (action < 9 && !fleet.tasks.empty()) {
            release_one(fleet);
        }
        else {
            uint32_t id = fleet.below(fleet.workers.size());
            Worker &worker = fleet.workers[id];
            worker.eligible = !worker.eligible;
            mb_placement_set_eligible(fleet.placement, id, worker.eligible);
        }
    }
    for (size_t i = 0; i < fleet.workers.size(); i++) {
        mb_size_t room = fleet.workers[i].capacity;
        mb_size_subtract(&room, &fleet.workers[i].used);
        mb_size_t seen = mb_placement_available(fleet.placement, i);
        RC_ASSERT(mb_size_fits(&room, &seen) && mb_size_fits(&seen, &room));
    }
}

static const mb_size_t large = {16000, 60000, 0};

/* Guards against plain tasks that use up workers with accelerators. */
TEST(Placement, KeepsAcceleratorsForThoseWhoNeedThem)
{
    Fleet fleet(1);
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

/* Guards against urgent tasks sent where interference slows them down, and
   against a group that ends up in one failure domain. */
TEST(Placement, AvoidsPressureAndSpreadsAGroup)
{
    Fleet fleet(2);
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
   against a reused id while they run. */
TEST(Placement, KeepsARemovedWorkerUntilItsTasksEnd)
{
    Fleet fleet(3);
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
