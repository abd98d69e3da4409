/* A small installation under virtual time: a log, owners and workers whose
   messages are delayed, lost or cut. Only the owners' decisions are real. */
#ifndef SHARD_SIMULATION_H
#define SHARD_SIMULATION_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

extern "C" {
#include "mb_shard.h"
#include "mb_shard_record.h"
}

namespace shard_world {

constexpr uint64_t MS = 1000;
constexpr uint32_t LEASE_MS = 1000;
constexpr uint32_t MARGIN_MS = 100;
constexpr uint32_t GRACE_MS = 1500;
constexpr uint32_t WORKER_LEASE_MS = 800;
constexpr uint32_t SYNC_TIMEOUT_MS = 200;
/* Quota of the team "small", in thousandths of processors. */
constexpr uint32_t SMALL_QUOTA_MILLI = 5000;
constexpr uint32_t BATCH_MIN_PERCENT = 20;
/* Clocks run up to this much fast or slow; within the margin of a lease. */
constexpr double DRIFT = 0.02;

/* A history goes on at least for so many events. */
constexpr uint64_t EVENTS_MIN = 200;

using TaskKey = std::pair<uint64_t, uint32_t>;

struct TaskKeyHash {
    size_t operator()(const TaskKey &key) const
    {
        return key.first ^ (key.second * 0x9e3779b97f4a7c15ULL);
    }
};

/* What a task does once it runs; fixed per task, unknown to the owners. */
struct Behaviour {
    uint64_t run_us;
    uint32_t failures; /* first attempts that fail */
};

struct Start {
    mb_attempt_t id;
    mb_size_t size;
    std::string checkpoint;
};

struct Request {
    uint32_t owner;
    uint64_t serial, token, incarnation;
    uint32_t lease_ms;
    std::vector<Start> starts;
    std::vector<mb_sync_stop_t> stops;
    std::vector<mb_attempt_t> acks;
};

struct Finished {
    mb_attempt_t id;
    uint32_t exit_code;
    std::string checkpoint;
};

struct Response {
    uint64_t serial, incarnation, token;
    std::vector<mb_attempt_t> running;
    std::vector<Finished> finished;
    std::vector<mb_usage_t> usage;
};

struct Running {
    Start start;
    uint64_t end_us;
    uint64_t serial;
};

struct Worker {
    std::string name;
    std::string failure_domain;
    uint64_t key = 0;
    mb_size_t capacity{};
    mb_size_t used{};
    uint64_t incarnation = 0;
    uint64_t token = 0;
    bool dead = false;
    bool fails = false;
    uint64_t starts = 0;
    uint64_t paused_until = 0;
    uint64_t lease_end = 0; /* true time; the lapse follows its own clock */
    double rate = 1;
    std::unordered_map<TaskKey, Running, TaskKeyHash> running;
    std::vector<Finished> finished;
    std::deque<Request> inbox; /* while paused */
};

struct LogRecord {
    uint64_t writer, sequence;
    std::string payload;
};

struct World;

struct Owner {
    World *world = nullptr;
    uint32_t index = 0;
    mb_shard_t *shard = nullptr;
    mb_replica_callbacks_t replica{};
    mb_rng_seeded_t seeded{};
    uint64_t writer = 0;
    double rate = 1;
    uint64_t offset_us = 0;
    uint64_t last_read_us = 0;
    bool dead = false;
    uint64_t paused_until = 0;
    bool log_cut = false;
    uint32_t out_cut = 0; /* bit per worker: requests are lost */
    uint32_t in_cut = 0;  /* likewise for answers */
    uint64_t sequence = 0;
    bool appending = false;
    std::string payload;
    size_t read = 0;
    std::map<uint64_t, uint64_t> seen; /* writer -> last sequence */
    std::vector<uint64_t> waiting;     /* serial per worker; 0: none */
};

enum class Kind {
    TICK,
    POLL,
    LOG_ARRIVE,
    LOG_RETRY,
    REQUEST,
    RESPONSE,
    TIMEOUT,
    TASK_END,
    LAPSE,
    RESUME,
    CHAOS
};

struct Event {
    uint64_t at;
    uint64_t order;
    Kind kind;
    uint32_t who;
    uint64_t serial;
    uint32_t other;
    bool operator<(const Event &event) const
    {
        return at != event.at ? at > event.at : order > event.order;
    }
};

struct World {
    explicit World(uint64_t seed);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    /* Runs with faults until `chaos_us`, then without until `end_us`. */
    void run(uint64_t chaos_us, uint64_t end_us);

    uint64_t seed;
    uint64_t now = 0;
    uint64_t events = 0;
    std::mt19937_64 random;
    std::string violation;
    bool quiet = false;
    bool settled = false;
    bool log_down = false;
    uint64_t log_delay_us = 5 * MS;
    std::vector<LogRecord> log;
    std::vector<std::unique_ptr<Owner>> owners;
    std::vector<Worker> workers;
    Owner auditor; /* reads every record at once and never claims */
    std::vector<mb_resource_t> jobs; /* and at most one service */
    uint64_t service_key = 0;
    uint64_t constrained_job = 0; /* runs in failure domain d0 only */
    /* Set by tests of one mechanism: tasks of this job run for a minute. */
    uint64_t long_job = 0;
    bool to_the_end = false;   /* runs go on when everything is settled */
    bool long_service = false; /* instances run long, as a rule */
    bool sound = false;        /* tasks fail only through their workers */
    /* Usage reports show this latency; 0: any, also of other tasks. */
    uint32_t latency_us = 0;
    uint64_t throttles = 0, quota_used_max = 0;
    uint64_t evictions = 0, moved = 0, takeovers = 0, lapses = 0;

    uint64_t below(uint64_t bound)
    {
        return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random);
    }
    bool chance(uint32_t percent)
    {
        return below(100) < percent;
    }
    void push(uint64_t delay, Kind kind, uint32_t who, uint64_t serial = 0,
              uint32_t other = 0);
    bool is_explained(const mb_resource_t &job) const;
    bool is_settled() const;
    /* Prints one step when MB_HISTORY_TRACE is set. */
    void trace(const char *what, uint64_t a, uint64_t b, uint64_t c) const;
    void fail(const std::string &text);
    void handle(const Event &event);
    void chaos();
    void chaos_owner(Owner &owner);
    void chaos_worker(uint32_t index);
    void chaos_job();
    void chaos_declaration(const Worker &worker);
    void delete_job(const mb_resource_t &job);
    void heal();
    void init_owner(Owner &owner, uint32_t index);
    void restart_owner(Owner &owner);
    void feed(Owner &owner);
    void declare(const mb_resource_t &resource);
    void add_jobs();
    void replace_jobs(const std::vector<mb_resource_t> &with);
    void check_quota();
    std::vector<mb_usage_t> report(const Worker &worker);
    void tick(Owner &owner);
    void poll(Owner &owner);
    void log_arrive(uint32_t who, uint64_t serial);
    void send_append(Owner &owner);
    void deliver_request(uint32_t index, Request &request);
    void process(uint32_t index, Request &request);
    void start_task(uint32_t index, const Start &start);
    void end_task(Worker &worker, TaskKey task, uint32_t exit_code,
                  const std::string &checkpoint);
    void acknowledge(Worker &worker, const mb_attempt_t &id);
    void lapse(uint32_t index);
    void restart_worker(uint32_t index);
    std::string progress(const Worker &worker, const Running &running) const;
    Behaviour behaviour(TaskKey task) const;
    const mb_task_t *truth(const mb_task_id_t &id) const;

    std::priority_queue<Event> queue;
    uint64_t order = 0;
    uint64_t serial = 0;
    std::unordered_map<uint64_t, Request> requests;
    std::unordered_map<uint64_t, Response> responses;
    std::unordered_map<uint64_t, LogRecord> appends;
    std::unordered_map<TaskKey, uint32_t, TaskKeyHash> holder;
    std::unordered_map<TaskKey, bool, TaskKeyHash> done;
    std::unordered_map<TaskKey, uint32_t, TaskKeyHash> started;
};

} // namespace shard_world

#endif
