/* Tests of mb_dispatch: order of starts, fair shares, preemption and
   accounting of batch tasks. */
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "mb_dispatch.h"
}

#define SECOND UINT64_C(1000000)

/* A dispatch queue over workers of 10 processors each and two teams, "a" (0)
   and "b" (1), without limits. Records what the callbacks are told. Times are
   in microseconds. */
struct Queue {
    mb_rng_seeded_t seeded;
    mb_rng_t rng;
    mb_placement_t *placement;
    mb_quota_t *quota = mb_quota_new();
    mb_dispatch_t *dispatch;
    mb_size_t capacity = {};
    std::map<uint64_t, mb_dispatch_task_t> waiting, running;
    std::vector<uint64_t> start_order, evicted;
    std::map<uint64_t, mb_dispatch_unschedulable_t> unschedulable;
    uint64_t now = SECOND;

    explicit Queue(mb_objective_t objective, uint32_t workers,
                   uint32_t minimum = 20)
    {
        mb_rng_seeded_init(&seeded, 11);
        rng = mb_rng_from_seeded(&seeded);
        placement = mb_placement_new(&rng);
        mb_placement_set_objective(placement, objective);
        for (uint32_t i = 0; i < workers; i++) {
            add_worker("w" + std::to_string(i));
        }
        mb_quota_set_capacity(quota, &capacity);
        mb_dispatch_callbacks_t callbacks = {on_start, on_evict,
                                             on_unschedulable, this};
        dispatch = mb_dispatch_new(placement, quota, &callbacks);
        mb_policy_t policy = {objective, minimum};
        mb_dispatch_set_policy(dispatch, &policy, &capacity);
        mb_team_t team = {{UINT32_MAX, UINT32_MAX, UINT32_MAX}, 1};
        mb_quota_set_team(quota, MB_STR_LIT("a"), &team);
        mb_quota_set_team(quota, MB_STR_LIT("b"), &team);
    }
    ~Queue()
    {
        mb_dispatch_free(dispatch);
        mb_quota_free(quota);
        mb_placement_free(placement);
    }
    void add_worker(const std::string &name)
    {
        mb_resource_t worker;
        mb_resource_init(&worker, MB_RESOURCE_WORKER,
                         {name.data(), name.size()});
        worker.spec.worker.capacity = {10000, 10000, 0};
        mb_size_add(&capacity, &worker.spec.worker.capacity);
        mb_placement_set_worker(placement, &worker);
        mb_resource_finish(&worker);
    }
    static void on_start(void *context, uint64_t id, mb_worker_id_t)
    {
        Queue *queue = static_cast<Queue *>(context);
        ASSERT_EQ(queue->waiting.count(id), 1u);
        queue->running[id] = queue->waiting[id];
        queue->waiting.erase(id);
        queue->start_order.push_back(id);
    }
    static void on_evict(void *context, uint64_t id, mb_worker_id_t)
    {
        Queue *queue = static_cast<Queue *>(context);
        ASSERT_EQ(queue->running[id].place.task_class, MB_CLASS_BATCH);
        queue->evicted.push_back(id);
    }
    static void on_unschedulable(void *context, uint64_t id,
                                 mb_dispatch_unschedulable_t reason)
    {
        Queue *queue = static_cast<Queue *>(context);
        queue->waiting.erase(id);
        queue->unschedulable[id] = reason;
    }
    bool add(uint64_t id, mb_class_t task_class, uint32_t cpu,
             mb_team_id_t team = 0, uint32_t expected_ms = 1000)
    {
        mb_dispatch_task_t task = {};
        task.id = id;
        task.place.size = {cpu, cpu, 0};
        task.place.task_class = task_class;
        task.team = team;
        task.expected_ms = expected_ms;
        bool added = mb_dispatch_add(dispatch, &task, now);
        if (added) {
            waiting[id] = task;
        }
        return added;
    }
    void run(uint64_t elapsed = SECOND)
    {
        now += elapsed;
        mb_dispatch_run(dispatch, now);
    }
    void end_task(uint64_t id)
    {
        ASSERT_TRUE(mb_dispatch_task_ended(dispatch, id));
        running.erase(id);
    }
    void end_evicted()
    {
        for (uint64_t id : evicted) {
            end_task(id);
        }
        evicted.clear();
    }
    uint32_t used(mb_class_t task_class)
    {
        uint32_t sum = 0;
        for (auto &item : running) {
            if (item.second.place.task_class == task_class) {
                sum += item.second.place.size.cpu_milli;
            }
        }
        return sum;
    }
};

/* Guards against urgent tasks that start after less urgent ones. */
TEST(Dispatch, ServesClassesByUrgency)
{
    Queue queue(MB_OBJECTIVE_THROUGHPUT_FIRST, 4, 0);
    queue.add(1, MB_CLASS_BATCH, 1000);
    queue.add(2, MB_CLASS_NORMAL, 1000);
    queue.add(3, MB_CLASS_URGENT, 1000);
    queue.run();
    EXPECT_EQ(queue.start_order, (std::vector<uint64_t>{3, 2, 1}));
}

/* Guards against a team whose many tasks starve another team. */
TEST(Dispatch, TeamWithManyTasksDoesNotStarveAnother)
{
    Queue queue(MB_OBJECTIVE_THROUGHPUT_FIRST, 2);
    for (uint64_t id = 1; id <= 100; id++) {
        queue.add(id, MB_CLASS_BATCH, 1000, 0);
    }
    for (uint64_t id = 101; id <= 110; id++) {
        queue.add(id, MB_CLASS_BATCH, 1000, 1);
    }
    queue.run();
    EXPECT_EQ(queue.running.size(), 20u);
    EXPECT_EQ(queue.running.count(105), 1u);
    EXPECT_EQ(queue.running.count(110), 1u);
}

/* Guards against tasks that can never run and block other tasks, or are
   dropped without a reason. */
TEST(Dispatch, RemovesUnschedulableTasksWithReason)
{
    Queue queue(MB_OBJECTIVE_THROUGHPUT_FIRST, 1);
    mb_team_t small = {{500, 500, 0}, 1};
    mb_team_id_t team =
        mb_quota_set_team(queue.quota, MB_STR_LIT("c"), &small);
    queue.add(1, MB_CLASS_BATCH, 20000);
    queue.add(2, MB_CLASS_BATCH, 1000, team);
    queue.add(3, MB_CLASS_BATCH, 1000);
    queue.run();
    EXPECT_EQ(queue.unschedulable[1], MB_DISPATCH_UNSCHEDULABLE_SIZE);
    EXPECT_EQ(queue.unschedulable[2], MB_DISPATCH_UNSCHEDULABLE_QUOTA);
    EXPECT_EQ(queue.running.count(3), 1u);
}

/* Guards against a large task that never starts because a stream of small
   tasks takes every processor that becomes free. */
TEST(Dispatch, StreamOfSmallTasksDoesNotStarveLargeTask)
{
    Queue queue(MB_OBJECTIVE_LATENCY_FIRST, 3, 100);
    uint64_t id = 0;
    std::map<uint64_t, uint64_t> ends;
    for (int step = 0; step < 60 && queue.running.count(1000000) == 0;
         step++) {
        while (queue.waiting.size() < 40) {
            id++;
            queue.add(id, MB_CLASS_BATCH, 1000 + 500 * (id % 3));
        }
        if (step == 1) {
            /* The workers are full when the large task is first tried. */
            queue.add(1000000, MB_CLASS_BATCH, 10000);
        }
        queue.run();
        for (auto &item : queue.running) {
            ends.emplace(item.first,
                         queue.now + (2 + item.first % 9) * SECOND);
        }
        for (auto item = ends.begin(); item != ends.end();) {
            if (item->second <= queue.now && item->first != 1000000) {
                queue.end_task(item->first);
                item = ends.erase(item);
            }
            else {
                ++item;
            }
        }
    }
    EXPECT_EQ(queue.running.count(1000000), 1u);
}

/* Guards against urgent tasks that wait until batch tasks finish, against
   unnecessary evictions, and against evicting a task without a recent
   checkpoint in place of task 4, which has one. */
TEST(Dispatch, UrgentTaskEvictsBatchTaskThatLosesLeastWork)
{
    Queue queue(MB_OBJECTIVE_THROUGHPUT_FIRST, 2, 20);
    for (uint64_t id = 1; id <= 10; id++) {
        queue.add(id, MB_CLASS_BATCH, 2000);
    }
    queue.run();
    ASSERT_EQ(queue.running.size(), 10u);
    mb_dispatch_task_checkpointed(queue.dispatch, 4, queue.now + 50 * SECOND);
    queue.now += 60 * SECOND;
    queue.add(100, MB_CLASS_URGENT, 2000);
    queue.run(SECOND);
    EXPECT_TRUE(queue.evicted.empty());
    queue.run(SECOND);
    EXPECT_EQ(queue.evicted, (std::vector<uint64_t>{4}));
    queue.run(SECOND);
    EXPECT_EQ(queue.evicted.size(), 1u);
    queue.end_evicted();
    queue.run(SECOND / 10);
    EXPECT_EQ(queue.running.count(100), 1u);
}

/* Guards against a large number of urgent tasks that take batch's minimum
   share of 30%, whether batch has started before or the workers are empty. */
TEST(Dispatch, BatchKeepsMinimumShareUnderUrgentLoad)
{
    for (bool batch_first : {false, true}) {
        Queue queue(MB_OBJECTIVE_LATENCY_FIRST, 10, 30);
        for (uint64_t id = 1; id <= 200; id++) {
            queue.add(id, MB_CLASS_BATCH, 1000);
        }
        for (int i = 0; batch_first && i < 3; i++) {
            queue.run();
        }
        for (uint64_t id = 1001; id <= 2000; id++) {
            queue.add(id, MB_CLASS_URGENT, 1000);
        }
        for (int step = 0; step < 60; step++) {
            queue.run();
            queue.end_evicted();
            EXPECT_GE(queue.used(MB_CLASS_BATCH), 30000u);
        }
        EXPECT_GE(queue.used(MB_CLASS_URGENT), 65000u);
    }
}

/* Guards against tasks that are lost or counted twice, under random sequences
   of arrivals, completions, evictions and cancellations. */
RC_GTEST_PROP(Dispatch, EveryTaskIsCountedExactlyOnce, (uint64_t seed))
{
    Queue queue((mb_objective_t)(seed % 2), 3, 20);
    mb_rng_seeded_init(&queue.seeded, seed);
    uint64_t id = 0;
    for (int step = 0; step < 300; step++) {
        uint64_t action = mb_rng_below(&queue.rng, 8);
        if (action < 3) {
            id++;
            RC_ASSERT(queue.add(id, (mb_class_t)mb_rng_below(&queue.rng, 3),
                                100 + mb_rng_below(&queue.rng, 9000), id % 2,
                                mb_rng_below(&queue.rng, 100000)));
            RC_ASSERT(!queue.add(id, MB_CLASS_BATCH, 1));
        }
        else if (action == 3 && !queue.waiting.empty()) {
            uint64_t cancelled = queue.waiting.begin()->first;
            RC_ASSERT(mb_dispatch_cancel(queue.dispatch, cancelled));
            queue.waiting.erase(cancelled);
        }
        else if (action == 4 && !queue.running.empty() &&
                 queue.evicted.empty()) {
            queue.end_task(queue.running.begin()->first);
        }
        else if (action == 5) {
            queue.end_evicted();
        }
        else {
            queue.run(mb_rng_below(&queue.rng, 5 * SECOND));
        }
        uint32_t waiting = 0;
        for (int i = 0; i < MB_CLASS_COUNT; i++) {
            waiting +=
                mb_dispatch_waiting_count(queue.dispatch, (mb_class_t)i);
        }
        RC_ASSERT(waiting == queue.waiting.size());
    }
    queue.end_evicted();
    while (!queue.running.empty()) {
        queue.end_task(queue.running.begin()->first);
    }
    for (uint32_t worker = 0; worker < 3; worker++) {
        mb_size_t room = mb_placement_available(queue.placement, worker);
        RC_ASSERT(room.cpu_milli == 10000u && room.memory_mb == 10000u);
    }
}
