/* Simulation of one shard in virtual time: a log, three processes that may own
   the shard, and a few workers, with messages that are delayed or lost. The
   processes run the code under test; the log, the network and the workers are
   models. Each run is determined by its seed.

   Invariants are checked against the replicated state whenever a worker starts
   a task, a result is acknowledged or a record is appended. The first
   violation ends the run and is kept in `violation`. */
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

namespace shard_simulation {

/* One millisecond of virtual time, which is counted in microseconds. */
constexpr uint64_t MS = 1000;
/* Settings of the owners. */
constexpr uint32_t LEASE_MS = 1000;
constexpr uint32_t DRIFT_MARGIN_MS = 100;
constexpr uint32_t OUTAGE_GRACE_MS = 1500;
constexpr uint32_t WORKER_LEASE_MS = 800;
constexpr uint32_t SYNC_TIMEOUT_MS = 200;
/* Quota of the team "small", in thousandths of a processor. */
constexpr uint32_t SMALL_QUOTA_MILLI = 5000;
constexpr uint32_t BATCH_MIN_PERCENT = 20;
/* Clocks run fast or slow by up to this fraction. Over one lease, two clocks
   thus differ by less than DRIFT_MARGIN_MS. */
constexpr double CLOCK_DRIFT_MAX = 0.02;

/* A run processes at least this many events, also if it settles earlier. */
constexpr uint64_t EVENTS_MIN = 200;

using TaskKey = std::pair<uint64_t, uint32_t>;

struct TaskKeyHash {
    size_t operator()(const TaskKey &key) const
    {
        return key.first ^ (key.second * 0x9e3779b97f4a7c15ULL);
    }
};

/* What a task does when it runs: derived from the seed, so that it is the same
   in every attempt, and unknown to the owners. */
struct Behaviour {
    uint64_t run_us;
    uint32_t failures; /* the attempts up to this one fail */
};

/* A start as the worker received it. */
struct Start {
    mb_attempt_t id;
    mb_size_t size;
    std::string checkpoint;
};

/* A sync request on its way to a worker; `serial` identifies the exchange. */
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
    uint64_t serial; /* of its TASK_END event */
};

struct Worker {
    std::string name;
    std::string failure_domain;
    uint64_t key = 0;
    mb_size_t capacity{};
    mb_size_t used{};
    uint64_t incarnation = 0;
    uint64_t token = 0;
    bool crashed = false;
    bool fails_tasks = false; /* every task fails soon after its start */
    uint64_t starts = 0;
    uint64_t paused_until = 0;
    /* End of the lease by the worker's own clock, converted to virtual time.
     */
    uint64_t lease_end = 0;
    double clock_rate = 1;
    std::unordered_map<TaskKey, Running, TaskKeyHash> running;
    std::vector<Finished> finished; /* not yet acknowledged */
    std::deque<Request> inbox;      /* requests that arrived while paused */
};

struct LogRecord {
    uint64_t writer, sequence;
    std::string payload;
};

struct Simulation;

/* A process that may own the shard, with its position in the log. */
struct Owner {
    Simulation *simulation = nullptr;
    uint32_t index = 0;
    mb_shard_t *shard = nullptr;
    mb_replica_callbacks_t replica{};
    mb_rng_seeded_t seeded{};
    uint64_t writer = 0; /* id of the process, differs after a restart */
    double clock_rate = 1;
    uint64_t clock_offset_us = 0;
    uint64_t last_read_us = 0;
    bool crashed = false;
    uint64_t paused_until = 0;
    bool log_unreachable = false;
    uint32_t lost_requests = 0;  /* bit per worker: its requests are lost */
    uint32_t lost_responses = 0; /* likewise for its responses */
    uint64_t sequence = 0;
    bool appending = false; /* `payload` was not read back yet */
    std::string payload;
    size_t next_offset = 0; /* in the log, to be replayed next */
    std::map<uint64_t, uint64_t> last_sequences; /* by writer */
    std::vector<uint64_t> pending_syncs; /* serial per worker; 0: none */
};

enum class Kind {
    OWNER_TICK,
    LOG_POLL,      /* an owner reads the log */
    LOG_ARRIVE,    /* an append reaches the log */
    LOG_RETRY,     /* an owner repeats an append that was not read back */
    REQUEST,       /* a sync request reaches a worker */
    RESPONSE,      /* a sync response reaches an owner */
    TIMEOUT,       /* a sync request has got no response */
    TASK_END,      /* a running task exits */
    LEASE_EXPIRY,  /* the lease of a worker may have expired */
    WORKER_RESUME, /* the pause of a worker may be over */
    FAULT          /* time to inject a random fault */
};

/* Something that happens at a point in virtual time. `target` is the index of
   an owner or worker, `serial` the id of a message, task or process, `detail`
   the index of the worker in an exchange or the sequence number of an append.
   Events at the same time keep the order in which they were scheduled. */
struct Event {
    uint64_t time_us;
    uint64_t order;
    Kind kind;
    uint32_t target;
    uint64_t serial;
    uint32_t detail;
    bool operator<(const Event &event) const
    {
        return time_us != event.time_us ? time_us > event.time_us
                                        : order > event.order;
    }
};

/* Processors are counted in thousandths, times in microseconds. */
struct Simulation {
    explicit Simulation(uint64_t seed);
    ~Simulation();
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    /* Runs with random faults until `faults_end_us`, then without until
       `end_us` or until everything has settled. May be called again to
       continue. */
    void run(uint64_t faults_end_us, uint64_t end_us);

    uint64_t seed;
    uint64_t now = 0;
    uint64_t events = 0;
    std::mt19937_64 random;
    std::string violation;  /* first violated invariant; empty: none */
    bool no_faults = false; /* no faults from now on */
    bool settled = false;   /* ended because is_settled */
    bool log_down = false;
    uint64_t log_delay_us = 5 * MS;
    std::vector<LogRecord> log;
    std::vector<std::unique_ptr<Owner>> owners;
    std::vector<Worker> workers;
    /* Replays every record at once and never claims. Its tables are the
       replicated state that checks compare with. */
    Owner reference;
    std::vector<mb_resource_t> jobs; /* and at most one service */
    uint64_t service_key = 0;
    uint64_t constrained_job = 0; /* runs in failure domain d0 only */
    /* The following are set by tests of one mechanism. */
    uint64_t long_running_job = 0;  /* its tasks run for a minute */
    bool run_when_settled = false;  /* do not end early when settled */
    bool service_runs_long = false; /* tasks of the service run for a minute */
    bool tasks_succeed = false;     /* only `fails_tasks` makes tasks fail */
    /* Jobs whose tasks fail soon after each start, by key. */
    std::set<uint64_t> bad_jobs;
    uint64_t successes = 0; /* runs that ended with 0 */
    /* Latency in all usage reports; 0: random, partly of tasks that the worker
       does not hold. */
    uint32_t reported_latency_us = 0;
    uint64_t throttles = 0, quota_used_max = 0;
    uint64_t task_stops = 0, task_restarts = 0, takeovers = 0,
             lease_expiries = 0;

    uint64_t random_below(uint64_t bound)
    {
        return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random);
    }
    bool chance(uint32_t percent)
    {
        return random_below(100) < percent;
    }
    void schedule_event(uint64_t delay, Kind kind, uint32_t target,
                        uint64_t serial = 0, uint32_t detail = 0);
    bool is_explained(const mb_resource_t &job) const;
    bool is_settled() const;
    /* Prints one line if MB_HISTORY_TRACE is set. */
    void trace(const char *what, uint64_t a, uint64_t b, uint64_t c) const;
    void record_violation(const std::string &text);
    void handle(const Event &event);
    void inject_fault();
    void inject_owner_fault(Owner &owner);
    void inject_worker_fault(uint32_t index);
    void change_random_job();
    void change_worker_declaration(const Worker &worker);
    void delete_job(const mb_resource_t &job);
    void stop_faults();
    void init_owner(Owner &owner, uint32_t index);
    void restart_owner(Owner &owner);
    void put_all_resources(Owner &owner);
    void put_resource(const mb_resource_t &resource);
    void add_jobs();
    void replace_jobs(const std::vector<mb_resource_t> &new_jobs);
    void check_quota();
    std::vector<mb_usage_t> report_usage(const Worker &worker);
    void tick_owner(Owner &owner);
    void replay_log(Owner &owner);
    void append_to_log(uint32_t target, uint64_t serial);
    void send_append(Owner &owner);
    void deliver_request(uint32_t index, Request &request);
    void process_request(uint32_t index, Request &request);
    void start_task(uint32_t index, const Start &start);
    void end_task(Worker &worker, TaskKey task, uint32_t exit_code,
                  const std::string &checkpoint);
    void acknowledge(Worker &worker, const mb_attempt_t &id);
    void expire_lease(uint32_t index);
    void restart_worker(uint32_t index);
    std::string make_checkpoint(const Worker &worker,
                                const Running &running) const;
    Behaviour get_behaviour(TaskKey task) const;
    const mb_task_t *find_replicated_task(const mb_task_id_t &id) const;

    std::priority_queue<Event> queue;
    uint64_t order = 0;
    uint64_t serial = 0;
    /* Messages on their way, by serial. */
    std::unordered_map<uint64_t, Request> requests;
    std::unordered_map<uint64_t, Response> responses;
    std::unordered_map<uint64_t, LogRecord> appends;
    /* By task: index of the worker that runs it, whether its success was
       acknowledged, and the attempt that was started last. */
    std::unordered_map<TaskKey, uint32_t, TaskKeyHash> running_on;
    std::unordered_map<TaskKey, bool, TaskKeyHash> finished_tasks;
    std::unordered_map<TaskKey, uint32_t, TaskKeyHash> latest_attempt;
};

} // namespace shard_simulation

#endif
