/* A small fleet under virtual time for the tests: fake workers, the real
   agents beside them, real owners that take over from one another, and what
   the log keeps. Orders and reports pass through their codec. */
#ifndef FLEET_SIMULATION_H
#define FLEET_SIMULATION_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "mb_agent.h"
#include "mb_dag_record.h"
#include "mb_fleet.h"
#include "mb_order_codec.h"
#include "mb_ownership.h"
}

struct FleetSimulation;

static inline std::string
task_name(const mb_dag_task_id_t &task)
{
    return std::string(task.job.text, MB_DAG_ID_LEN) + "." +
           std::to_string(task.occurrence) + "." + std::to_string(task.step) +
           "." + std::to_string(task.index);
}

static inline std::string
copy_of(mb_str_t text)
{
    return std::string(text.data, text.len);
}

/* One worker: runs tasks under a lease and lists their ends until they are
   acknowledged. */
struct FakeWorker {
    struct Run {
        mb_dag_task_id_t task;
        uint64_t run;
        uint64_t end_ms;
        bool fails;
        uint32_t pace = 100;
    };
    struct End {
        uint64_t number;
        mb_dag_task_id_t task;
        uint64_t run;
        mb_run_end_t how;
        bool lapsed; /* the lease ended before it was acknowledged */
    };
    FleetSimulation *world;
    std::string name;
    std::string service = "service";
    uint64_t born_ms = 1;
    bool up = true;
    bool hangs = false; /* what it runs stands still */
    bool fails = false; /* what it starts fails after 30 ms */
    uint64_t lease_ms = 0;
    uint64_t numbers = 0;
    uint64_t token = 0;
    std::vector<Run> runs;
    std::vector<End> ends;
    std::map<std::string, uint64_t> stopped; /* highest run that is over */
    /* What the next starts do: 'o' as they should, 'l' done and the answer
       lost, 'd' no answer and done 900 ms later. */
    std::deque<char> plan;

    void finish(size_t at, mb_run_end_t how);
    void pass();
    mb_executor_answer_t start(const mb_order_start_t &start,
                               uint64_t run_token, uint64_t lease_end_ms);
    mb_executor_answer_t stop(const mb_executor_run_t &which);
    void crash();
};

/* One machine: the worker and its agent. */
struct Machine {
    FleetSimulation *world;
    FakeWorker worker;
    mb_agent_t agent;
    mb_order_decoder_t decoder;
    bool linked = false;
    uint64_t beats = 0;
};

/* What a test looks at. */
struct FleetSimulation {
    uint64_t now_us = 10000000;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Machine>> machines;
    std::deque<std::pair<uint64_t, std::function<void()>>> later;
    /* The owner. */
    mb_dag_table_t table;
    mb_fleet_t fleet;
    mb_order_decoder_t decoder;
    mb_dag_record_decoder_t records;
    uint64_t token = 0;
    /* What the log keeps: jobs and the newest progress of each. */
    std::map<std::string, std::string> jobs;
    std::map<std::string, std::string> progress;
    std::vector<std::pair<std::string, std::string>> group;
    bool store_fails = false;
    bool store_waits = false;
    /* What must hold. */
    std::set<std::string> done; /* tasks with a success that was taken */
    std::vector<std::string> violations;
    std::map<std::string, uint32_t> starts;
    uint32_t capacity_milli = 4000;
    uint32_t task_ms = 300;
    uint32_t fail_percent = 0;
    /* What a worker reports of a run: latency or processors in use. */
    std::function<uint32_t(const FakeWorker &, const FakeWorker::Run &)> value;

    explicit FleetSimulation(uint32_t count, uint64_t seed = 1);
    ~FleetSimulation();
    void violate(const std::string &what);
    void add_machine();
    mb_dag_job_t *submit(const mb_dag_spec_t &spec);
    void take_over(bool resigned = false);
    void link(Machine &machine);
    void unlink(Machine &machine);
    void step();
    void pass(uint64_t ms);
    mb_dag_outcome_t outcome(const char *id);
    uint32_t running() const;
};

/* Shows the decisions with MB_LOG set. */
static mb_log_t
world_log(void)
{
    return g_getenv("MB_LOG") == nullptr
               ? mb_log_null()
               : mb_log_stderr("world", MB_SEVERITY_DEBUG);
}

static uint64_t
world_clock(void *context)
{
    return static_cast<FleetSimulation *>(context)->now_us;
}

static inline uint32_t
cpu_of(FleetSimulation *world, const mb_dag_task_id_t &task)
{
    mb_dag_job_t *job = mb_dag_find(&world->table, task.job);
    return job == nullptr || job->steps[task.step].fills
               ? 0
               : job->steps[task.step].size.cpu_milli;
}

inline void
FakeWorker::finish(size_t at, mb_run_end_t how)
{
    Run run = runs[at];
    runs.erase(runs.begin() + (long)at);
    ends.push_back({++numbers, run.task, run.run, how, false});
    uint64_t &over = stopped[task_name(run.task)];
    over = std::max(over, run.run);
}

inline void
FakeWorker::pass()
{
    uint64_t now_ms = world->now_us / 1000;
    for (size_t i = 0; i < runs.size();) {
        if (now_ms >= runs[i].end_ms && !hangs) {
            finish(i, runs[i].fails ? MB_RUN_FAILED : MB_RUN_DONE);
        }
        else if (now_ms >= lease_ms) {
            finish(i, MB_RUN_LEASE_EXPIRED);
        }
        else {
            i++;
        }
    }
    for (End &end : ends) {
        end.lapsed = end.lapsed || now_ms >= lease_ms;
    }
}

inline void
FakeWorker::crash()
{
    runs.clear();
    ends.clear();
    stopped.clear();
    numbers = 0;
    token = 0;
    lease_ms = 0;
    born_ms++;
}

inline mb_executor_answer_t
FakeWorker::start(const mb_order_start_t &start, uint64_t run_token,
                  uint64_t lease_end_ms)
{
    mb_executor_answer_t answer = {};
    uint64_t now_ms = world->now_us / 1000;
    std::string task = task_name(start.task);
    answer.has_clock = true;
    answer.clock_ms = now_ms;
    answer.result = MB_EXECUTOR_REFUSED;
    if (run_token < token) {
        answer.reason = MB_REFUSAL_FENCED;
        return answer;
    }
    token = run_token;
    for (const Run &run : runs) {
        if (task_name(run.task) == task && run.run == start.run) {
            answer.result = MB_EXECUTOR_OK;
            return answer;
        }
    }
    if (lease_end_ms <= now_ms) {
        answer.reason = MB_REFUSAL_EXPIRED;
        return answer;
    }
    if (stopped.count(task) > 0 && start.run <= stopped[task]) {
        answer.reason = MB_REFUSAL_OLD_RUN;
        return answer;
    }
    uint32_t used = cpu_of(world, start.task);
    for (const Run &run : runs) {
        used += cpu_of(world, run.task);
    }
    if (used > world->capacity_milli) {
        world->violate("over capacity: " + task);
    }
    for (auto &machine : world->machines) {
        for (const Run &run : machine->worker.runs) {
            if (machine->worker.up && task_name(run.task) == task) {
                world->violate("two runs at a time: " + task);
            }
        }
    }
    if (world->done.count(task) > 0) {
        world->violate("started after a success that was taken: " + task);
    }
    mb_dag_job_t *job = mb_dag_find(&world->table, start.task.job);
    if (job != nullptr &&
        !mb_dag_step_ready(job, start.task.occurrence, start.task.step)) {
        world->violate("started before its dependencies: " + task);
    }
    lease_ms = std::max(lease_ms, lease_end_ms);
    bool run_fails = fails || world->random() % 100 < world->fail_percent;
    uint64_t run_ms = fails ? 30 : world->task_ms;
    runs.push_back({start.task, start.run, now_ms + run_ms, run_fails, 100});
    world->starts[task]++;
    answer.result = MB_EXECUTOR_OK;
    return answer;
}

inline mb_executor_answer_t
FakeWorker::stop(const mb_executor_run_t &which)
{
    mb_executor_answer_t answer = {};
    std::string task = task_name(which.task);
    answer.result = MB_EXECUTOR_OK;
    for (size_t i = 0; i < runs.size(); i++) {
        if (task_name(runs[i].task) == task && runs[i].run == which.run) {
            finish(i, MB_RUN_STOPPED);
            return answer;
        }
    }
    uint64_t &over = stopped[task];
    over = std::max(over, which.run);
    return answer;
}

/* Frees the lists of an answer. */
static inline void
free_lists(mb_executor_answer_t *answer)
{
    if (answer->runs != nullptr) {
        g_array_unref(answer->runs);
        g_array_unref(answer->ends);
    }
    answer->runs = answer->ends = nullptr;
}

/* Answers a call of an agent after a millisecond, or never. */
static inline void
answer_call(FleetSimulation *world, const mb_executor_call_t *call,
            std::function<void(mb_executor_answer_t *)> act, bool answered,
            uint64_t delay_us)
{
    auto done = call->done;
    void *to = call->context;
    uint64_t timeout_us = call->timeout_ms * 1000ull;
    auto result = std::make_shared<mb_executor_answer_t>();
    world->later.push_back({world->now_us + delay_us, [=] {
                                act(result.get());
                                if (answered) {
                                    done(to, result.get());
                                }
                                free_lists(result.get());
                            }});
    if (!answered) {
        world->later.push_back({world->now_us + timeout_us, [=] {
                                    mb_executor_answer_t none = {};
                                    none.result = MB_EXECUTOR_UNANSWERED;
                                    done(to, &none);
                                }});
    }
}

static bool
fake_start(void *context, const mb_executor_call_t *call,
           const mb_order_start_t *start, uint64_t lease_end_ms)
{
    Machine *machine = static_cast<Machine *>(context);
    FakeWorker *worker = &machine->worker;
    char step = 'o';
    if (!worker->plan.empty()) {
        step = worker->plan.front();
        worker->plan.pop_front();
    }
    mb_order_start_t copy = *start;
    copy.payload = copy.checkpoint = copy.approval = copy.image = MB_STR_EMPTY;
    uint64_t token = call->token;
    uint64_t born = worker->born_ms;
    auto act = [=](mb_executor_answer_t *answer) {
        if (worker->up && worker->born_ms == born) {
            *answer = worker->start(copy, token, lease_end_ms);
        }
        else {
            answer->result = MB_EXECUTOR_UNANSWERED;
        }
    };
    answer_call(machine->world, call, act, step == 'o',
                step == 'd' ? 900000 : 1000);
    return true;
}

static bool
fake_stop(void *context, const mb_executor_call_t *call,
          const mb_executor_run_t *run)
{
    Machine *machine = static_cast<Machine *>(context);
    FakeWorker *worker = &machine->worker;
    mb_executor_run_t copy = *run;
    auto act = [=](mb_executor_answer_t *answer) {
        answer->result = MB_EXECUTOR_UNANSWERED;
        if (worker->up) {
            *answer = worker->stop(copy);
        }
    };
    answer_call(machine->world, call, act, true, 1000);
    return true;
}

static bool
fake_list(void *context, const mb_executor_call_t *call, uint64_t acknowledged,
          uint64_t lease_end_ms, uint32_t wait_ms)
{
    Machine *machine = static_cast<Machine *>(context);
    FakeWorker *worker = &machine->worker;
    (void)wait_ms;
    auto runs = std::make_shared<std::vector<mb_report_run_t>>();
    auto act = [=](mb_executor_answer_t *answer) {
        answer->result = MB_EXECUTOR_UNANSWERED;
        answer->runs = g_array_new(FALSE, FALSE, sizeof(mb_report_run_t));
        answer->ends = g_array_new(FALSE, FALSE, sizeof(mb_report_end_t));
        if (!worker->up) {
            return;
        }
        answer->result = MB_EXECUTOR_OK;
        answer->has_clock = true;
        answer->clock_ms = worker->world->now_us / 1000;
        answer->born_ms = worker->born_ms;
        answer->incarnation = worker->born_ms;
        worker->pass();
        worker->lease_ms = std::max(worker->lease_ms, lease_end_ms);
        while (!worker->ends.empty() &&
               worker->ends.front().number <= acknowledged) {
            const FakeWorker::End &end = worker->ends.front();
            if (end.how == MB_RUN_DONE && !end.lapsed) {
                worker->world->done.insert(task_name(end.task));
            }
            worker->ends.erase(worker->ends.begin());
        }
        for (const auto &run : worker->runs) {
            mb_report_run_t row = {};
            row.task = run.task;
            row.run = run.run;
            row.confirmed = true;
            row.value =
                worker->world->value ? worker->world->value(*worker, run) : 0;
            row.progress =
                worker->hangs ? 10 : worker->world->now_us / 20000 % 100;
            g_array_append_val(answer->runs, row);
        }
        for (const auto &end : worker->ends) {
            mb_report_end_t row = {};
            row.number = end.number;
            row.task = end.task;
            row.run = end.run;
            row.how = end.how;
            g_array_append_val(answer->ends, row);
        }
    };
    answer_call(machine->world, call, act, true, 20000);
    return true;
}

static bool
fake_pace(void *context, const mb_executor_call_t *call,
          const mb_executor_run_t *run, uint32_t percent)
{
    Machine *machine = static_cast<Machine *>(context);
    FakeWorker *worker = &machine->worker;
    mb_executor_run_t copy = *run;
    auto act = [=](mb_executor_answer_t *answer) {
        answer->result = MB_EXECUTOR_OK;
        for (auto &other : worker->runs) {
            if (other.run == copy.run &&
                mb_dag_task_id_equal(&other.task, &copy.task)) {
                other.pace = percent;
            }
        }
    };
    answer_call(machine->world, call, act, true, 1000);
    return true;
}

/* A report on its way to the owner. */
static void
world_report(void *context, const mb_report_t *report)
{
    Machine *machine = static_cast<Machine *>(context);
    FleetSimulation *world = machine->world;
    mb_buf_t bytes = {};
    mb_report_encode(&bytes, report);
    std::string copy(bytes.data, bytes.len);
    mb_buf_finish(&bytes);
    uint64_t token = world->token;
    uint32_t number = mb_fleet_find_or_add_worker(
        &world->fleet,
        {machine->worker.name.data(), machine->worker.name.size()});
    world->later.push_back(
        {world->now_us + 4000, [=] {
             if (!machine->linked || world->token != token) {
                 return;
             }
             if (!mb_report_decode(&world->decoder, {copy.data(), copy.size()},
                                   nullptr)) {
                 world->violate("report can't be decoded");
                 return;
             }
             mb_fleet_handle_report(&world->fleet, number,
                                    &world->decoder.report);
             mb_fleet_flush(&world->fleet);
         }});
}

/* An order on its way to an agent. */
static void
world_send(void *context, uint32_t worker, const mb_order_t *order)
{
    FleetSimulation *world = static_cast<FleetSimulation *>(context);
    Machine *machine = world->machines[worker].get();
    mb_buf_t bytes = {};
    mb_order_encode(&bytes, order);
    std::string copy(bytes.data, bytes.len);
    mb_buf_finish(&bytes);
    uint64_t token = world->token;
    world->later.push_back(
        {world->now_us + 4000, [=] {
             if (!machine->linked || world->token != token) {
                 return;
             }
             if (!mb_order_decode(&machine->decoder,
                                  {copy.data(), copy.size()}, nullptr)) {
                 world->violate("order can't be decoded");
                 return;
             }
             mb_agent_order(&machine->agent, &machine->decoder.order);
             mb_agent_run(&machine->agent);
         }});
}

static void
world_store(void *context, const mb_dag_progress_t *progress)
{
    FleetSimulation *world = static_cast<FleetSimulation *>(context);
    mb_buf_t value = {};
    mb_dag_record_encode_progress(&value, progress);
    world->group.push_back({std::string(progress->id.text, MB_DAG_ID_LEN),
                            std::string(value.data, value.len)});
    mb_buf_finish(&value);
}

static void
world_store_group_end(void *context)
{
    FleetSimulation *world = static_cast<FleetSimulation *>(context);
    auto group = world->group;
    uint64_t token = world->token;
    world->group.clear();
    if (world->store_waits) {
        return;
    }
    world->later.push_back(
        {world->now_us + 8000, [=] {
             bool ok = world->token == token && !world->store_fails;
             for (const auto &item : group) {
                 if (ok) {
                     world->progress[item.first] = item.second;
                 }
             }
             if (world->token == token) {
                 mb_fleet_progress_stored(&world->fleet, ok);
             }
         }});
}

static uint64_t
world_unix_ms(void *context)
{
    return static_cast<FleetSimulation *>(context)->now_us / 1000;
}

inline FleetSimulation::FleetSimulation(uint32_t count, uint64_t seed)
    : random(seed)
{
    mb_clock_t clock = {world_clock, this};
    mb_log_t log = world_log();
    mb_fleet_callbacks_t callbacks = {
        world_send, world_store, world_store_group_end, world_unix_ms, this};
    mb_dag_table_init(&table);
    (void)mb_dag_record_decoder_init(&records);
    (void)mb_order_decoder_init(&decoder);
    mb_fleet_init(&fleet, &table, &callbacks, &clock, &log);
    for (uint32_t i = 0; i < count; i++) {
        add_machine();
    }
}

inline FleetSimulation::~FleetSimulation()
{
    later.clear();
    mb_fleet_finish(&fleet);
    mb_dag_table_finish(&table);
    mb_dag_record_decoder_finish(&records);
    mb_order_decoder_finish(&decoder);
    for (auto &machine : machines) {
        mb_agent_finish(&machine->agent);
        mb_order_decoder_finish(&machine->decoder);
    }
}

inline void
FleetSimulation::violate(const std::string &what)
{
    violations.push_back("at " + std::to_string(now_us / 1000) +
                         " ms: " + what);
}

inline void
FleetSimulation::add_machine()
{
    auto machine = std::make_unique<Machine>();
    mb_clock_t clock = {world_clock, this};
    mb_log_t log = world_log();
    machine->world = this;
    machine->worker.world = this;
    machine->worker.name = "worker-" + std::to_string(machines.size());
    mb_agent_callbacks_t callbacks = {world_report, machine.get()};
    mb_executor_t executor = {fake_start, fake_stop, fake_list, fake_pace,
                              machine.get()};
    mb_agent_init(&machine->agent, &callbacks, &executor, &clock, &log);
    (void)mb_order_decoder_init(&machine->decoder);
    mb_fleet_find_or_add_worker(
        &fleet, {machine->worker.name.data(), machine->worker.name.size()});
    machines.push_back(std::move(machine));
}

inline mb_dag_job_t *
FleetSimulation::submit(const mb_dag_spec_t &spec)
{
    mb_buf_t value = {};
    mb_dag_record_encode_job(&value, &spec);
    jobs[std::string(spec.id.text, MB_DAG_ID_LEN)] =
        std::string(value.data, value.len);
    mb_buf_finish(&value);
    mb_dag_job_t *job = mb_dag_add(&table, &spec);
    if (job != nullptr) {
        mb_fleet_job_added(&fleet, job);
    }
    return job;
}

/* Another process owns the fleet: it knows what the log kept, and no more. */
inline void
FleetSimulation::take_over(bool resigned)
{
    uint64_t settle_us = now_us;
    for (auto &machine : machines) {
        unlink(*machine);
    }
    if (token > 0) {
        settle_us += mb_fleet_max_lease_us() +
                     (resigned ? 0 : MB_OWNERSHIP_ACT_MS * 1000ull);
    }
    mb_fleet_lose_ownership(&fleet);
    mb_dag_table_clear(&table);
    token++;
    group.clear();
    for (const auto &item : jobs) {
        mb_dag_record_t record;
        std::string key = "j" + item.first;
        EXPECT_TRUE(mb_dag_record_decode(
            &records, {key.data(), key.size()},
            {item.second.data(), item.second.size()}, &record, nullptr));
        mb_dag_job_t *job = mb_dag_add(&table, &record.body.job);
        auto stored = progress.find(item.first);
        if (stored != progress.end()) {
            key[0] = 's';
            EXPECT_TRUE(mb_dag_record_decode(
                &records, {key.data(), key.size()},
                {stored->second.data(), stored->second.size()}, &record,
                nullptr));
            mb_dag_progress_apply(job, &record.body.progress);
        }
    }
    mb_fleet_become_owner(&fleet, token, settle_us);
    mb_fleet_set_active(&fleet, true);
    for (auto &machine : machines) {
        link(*machine);
    }
}

inline void
FleetSimulation::link(Machine &machine)
{
    if (machine.linked || !mb_agent_connected(&machine.agent, token)) {
        return;
    }
    machine.linked = true;
    mb_fleet_agent_connected(
        &fleet,
        mb_fleet_find_or_add_worker(
            &fleet, {machine.worker.name.data(), machine.worker.name.size()}));
}

inline void
FleetSimulation::unlink(Machine &machine)
{
    if (!machine.linked) {
        return;
    }
    machine.linked = false;
    mb_agent_disconnected(&machine.agent);
    mb_fleet_agent_disconnected(
        &fleet,
        mb_fleet_find_or_add_worker(
            &fleet, {machine.worker.name.data(), machine.worker.name.size()}));
}

/* Lets 5 ms pass. */
inline void
FleetSimulation::step()
{
    now_us += 5000;
    for (size_t i = 0; i < later.size();) {
        if (later[i].first > now_us) {
            i++;
            continue;
        }
        auto act = later[i].second;
        later.erase(later.begin() + (long)i);
        act();
        i = 0;
    }
    for (auto &machine : machines) {
        FakeWorker &worker = machine->worker;
        if (worker.up) {
            worker.pass();
        }
        if (worker.up && now_us % 1000000 == 0) {
            mb_worker_info_t info = {};
            info.state = MB_WORKER_READY;
            info.name = {worker.name.data(), worker.name.size()};
            info.incarnation = worker.born_ms;
            info.born_ms = worker.born_ms;
            info.service = {worker.service.data(), worker.service.size()};
            info.capacity = {capacity_milli, 100000, 0};
            mb_agent_heartbeat(&machine->agent, &info, ++machine->beats);
        }
        mb_agent_run(&machine->agent);
    }
    if (now_us % 20000 == 0) {
        mb_fleet_tick(&fleet);
    }
}

inline void
FleetSimulation::pass(uint64_t ms)
{
    for (uint64_t i = 0; i < ms; i += 5) {
        step();
    }
}

inline mb_dag_outcome_t
FleetSimulation::outcome(const char *id)
{
    mb_dag_id_t key;
    EXPECT_TRUE(mb_dag_id_parse(mb_str_from_cstr(id), &key));
    mb_dag_job_t *job = mb_dag_find(&table, key);
    return job == nullptr ? MB_DAG_OUTCOME_COUNT : job->outcome;
}

inline uint32_t
FleetSimulation::running() const
{
    uint32_t count = 0;
    for (const auto &machine : machines) {
        count += (uint32_t)machine->worker.runs.size();
    }
    return count;
}

#endif
