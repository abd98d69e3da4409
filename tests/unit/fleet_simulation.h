/* Simulation of a small fleet under virtual time, for the tests: fake workers,
   real agents, the real owner with fail-overs, and a fake log that stores jobs
   and progress. Orders and reports are encoded and decoded on their way. */
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
#include "mb_frame.h"
#include "mb_order_codec.h"
#include "mb_ownership.h"
}

#include "fleet_work_ledger.h"

struct FleetSimulation;
struct Machine;

/* What becomes of the runs of a job that is at fault, on any worker. */
struct BadJob {
    enum {
        FAILS,
        STALLS,
        INVALID
    } how = FAILS; /* INVALID: starts are refused
                    */
    uint32_t fails_after_ms = 0;
};

static inline std::string
to_std_string(mb_str_t text)
{
    return std::string(text.data, text.len);
}

/* A fake worker. Runs tasks until they end or its lease expires, and reports
   ends until they are acknowledged. */
struct FakeWorker {
    static const uint64_t LEASE_MAX_MS = 10000;
    struct Run {
        mb_dag_task_id_t task;
        uint64_t run; /* run number */
        uint64_t end_ms;
        bool fails;          /* ends as failed */
        bool stalls = false; /* makes no progress and never ends */
        uint32_t throttle_percent = 100;
    };
    struct End {
        uint64_t number;
        mb_dag_task_id_t task;
        uint64_t run;
        mb_run_end_t how;
        bool lease_expired; /* before the end was acknowledged */
        uint64_t ended_us;  /* of the simulation's clock */
    };
    FleetSimulation *simulation;
    Machine *machine;
    std::string name;
    std::string service = "service";
    std::string domain = "domain"; /* its failure domain */
    uint64_t started_ms = 1;       /* also its incarnation */
    uint64_t clock_start_ms = 0;   /* its clock counts from here */
    bool is_up = true;       /* if not, it does nothing and answers no calls */
    bool stalled = false;    /* its runs make no progress and never end */
    bool fails_runs = false; /* its runs fail soon after their start */
    uint64_t fails_after_ms = 30;
    /* Starts of runs that fail because of it, and for no fault of the job. */
    uint64_t failed_starts = 0;
    uint64_t lease_end_ms = 0;
    uint64_t last_end_number = 0;
    uint64_t token = 0; /* highest fencing token seen */
    std::vector<Run> runs;
    std::vector<End> ends;
    size_t listed_ends_max = 500; /* ends that it lists at a time */
    /* Highest number of an ended run, by task. Starts up to it are refused. */
    std::map<std::string, uint64_t> ended_runs;
    /* Faults of the next starts, in order. 'o': none; 'l': carried out, but
       the answer is lost; 'd': no answer, and carried out 900 ms later; 's':
       the same, but 2 to 12 s later. The same for stops and list calls. */
    std::deque<char> start_faults;
    std::deque<char> stop_faults;
    std::deque<char> list_faults;
    bool is_cut = false;        /* no call and no heartbeat gets through */
    std::string end_checkpoint; /* that it lists with each end */

    uint64_t clock_ms() const;
    void extend_lease(uint64_t new_lease_end_ms);
    void remove_run(size_t index, mb_run_end_t how);
    void finish(size_t index, mb_run_end_t how);
    mb_run_end_t get_due_end(const Run &run) const;
    void advance();
    void check_start(const mb_order_start_t &start);
    void check_acknowledged(const End &end);
    bool take_token(uint64_t call_token);
    mb_executor_answer_t start(const mb_order_start_t &start,
                               uint64_t run_token, uint64_t new_lease_end_ms);
    mb_executor_answer_t stop(const mb_executor_run_t &which);
    void take_list_call(uint64_t acknowledged, uint64_t new_lease_end_ms);
    void crash();
};

/* One instance: a worker and its agent. */
struct Machine {
    FleetSimulation *simulation;
    uint32_t number; /* of the worker in the fleet */
    FakeWorker worker;
    /* The present agent, the last of `agents`. Calls of former ones, whose
       processes have ended, may still be carried out. */
    mb_agent_t *agent;
    std::vector<std::unique_ptr<mb_agent_t>> agents;
    mb_order_decoder_t order_decoder;
    bool connected = false;
    uint64_t connections = 0; /* of any owner so far */
    uint64_t heartbeats = 0;
    /* The agent's process does nothing until then. What arrives for it
       waits. */
    uint64_t frozen_until_us = 0;
    /* Takes the encoded reports of the agent instead of the owner, if set. */
    std::function<void(const std::string &)> other_owner;
};

/* The fleet, its owner and its log, and the invariants that are checked. */
struct FleetSimulation {
    uint64_t now_us = 10000000;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Machine>> machines;
    /* Future events: time in microseconds and action. */
    std::deque<std::pair<uint64_t, std::function<void()>>> events;
    /* The owner. A fail-over raises the fencing token. */
    mb_dag_table_t table;
    mb_fleet_t fleet;
    mb_order_decoder_t report_decoder;
    mb_dag_record_decoder_t record_decoder;
    uint64_t token = 0;
    uint64_t agent_processes = 0; /* started so far */
    /* Workers to whose agents many bytes wait to be sent. */
    std::set<uint32_t> congested;
    /* The owner reads the log, and finds no newer owner there. */
    bool log_read = true;
    /* The log: encoded jobs, the latest stored progress of each, and the group
       of progress records that the owner is adding to. */
    std::map<std::string, std::string> jobs;
    std::set<std::string> cancelled; /* ids of jobs */
    std::map<std::string, std::string> progress;
    std::vector<std::pair<std::string, std::string>> group;
    /* Encoded records of absent workers, by number of the worker. */
    std::map<uint32_t, std::string> absences;
    uint32_t absence_appends = 0;  /* appends of such records and removals */
    uint32_t progress_records = 0; /* records of progress written so far */
    bool store_fails = false;      /* the log rejects groups */
    bool store_unanswered = false; /* the log does not answer */
    /* Tasks with an acknowledged success, which must not be started again. */
    std::set<std::string> acknowledged;
    WorkLedger work;
    std::vector<std::string> violations;    /* of invariants */
    std::map<std::string, uint32_t> starts; /* number of starts by task */
    std::map<std::string, uint64_t> latest_start_us; /* by task */
    /* Checkpoint of the latest start in an order, by task. */
    std::map<std::string, std::string> start_checkpoints;
    uint32_t capacity_milli = 4000; /* processors of each worker */
    uint32_t task_ms = 300;
    std::map<std::string, uint32_t> job_task_ms; /* in place of task_ms */
    std::map<std::string, BadJob> bad_jobs;      /* by id */
    uint32_t fail_percent = 0;                   /* of runs */
    /* Returns the progress that a worker reports of a run, in percent; unless
       it is set, the progress of all runs changes all the time. */
    std::function<uint32_t(const FakeWorker &, const FakeWorker::Run &)>
        reported_progress;
    /* Returns what a worker reports of a run: the latency of a service task in
       milliseconds, or the processors in use in thousandths. */
    std::function<uint32_t(const FakeWorker &, const FakeWorker::Run &)>
        reported_value;

    explicit FleetSimulation(uint32_t count, uint64_t seed = 1);
    ~FleetSimulation();
    void add_violation(const std::string &what);
    void end_gang(const FakeWorker::Run &of, mb_run_end_t how);
    bool is_gang_complete(const FakeWorker::Run &of) const;
    void check_starts(const mb_order_t &order, mb_dag_table_t *owner_table);
    void check_lost_successes(uint64_t owner_token,
                              mb_dag_table_t *owner_table);
    void add_machine();
    void init_agent(Machine &machine);
    mb_dag_job_t *submit(const mb_dag_spec_t &spec);
    void load_log(mb_dag_table_t *into, mb_fleet_t *owner);
    void fail_over(bool resigned = false);
    void connect(Machine &machine);
    void disconnect(Machine &machine);
    void restart_agent(Machine &machine);
    void heartbeat(Machine &machine);
    void do_when_awake(Machine *machine, const std::function<void()> &action);
    void when_awake(Machine *machine, uint64_t time_us,
                    const std::function<void()> &action);
    void cancel(const char *id);
    void tick();
    void advance(uint64_t ms);
    mb_dag_outcome_t outcome(const char *id);
    uint32_t running() const;
    uint32_t running_cancelled() const;
};

#include "fleet_simulation_worker.h"

#include "fleet_simulation_impl.h"

#endif
