/* The fake worker of the simulated fleet, and the calls of its agent. Included
   by fleet_simulation.h. */
#ifndef FLEET_SIMULATION_WORKER_H
#define FLEET_SIMULATION_WORKER_H

#include "fleet_simulation.h"

/* Returns a log to stderr if MB_LOG is set in the environment. */
static mb_log_t
make_log(void)
{
    return g_getenv("MB_LOG") == nullptr
               ? mb_log_null()
               : mb_log_stderr("world", MB_SEVERITY_DEBUG);
}

static uint64_t
read_clock(void *context)
{
    return static_cast<FleetSimulation *>(context)->now_us;
}

/* Returns the declared processors of a task in thousandths; 0 for best-effort
   tasks, which may exceed the capacity of a worker. */
static inline uint32_t
get_declared_cpu(FleetSimulation *simulation, const mb_dag_task_id_t &task)
{
    mb_dag_job_t *job = mb_dag_find(&simulation->table, task.job);
    return job == nullptr || job->steps[task.step].best_effort
               ? 0
               : job->steps[task.step].size.cpu_milli;
}

/* Returns the time of the worker's clock, which starts anew with it. */
inline uint64_t
FakeWorker::clock_ms() const
{
    return simulation->now_us / 1000 - clock_start_ms;
}

/* Extends the lease, by at most LEASE_MAX_MS from now; never shortens it. */
inline void
FakeWorker::extend_lease(uint64_t new_lease_end_ms)
{
    lease_end_ms = std::max(
        lease_end_ms, std::min(new_lease_end_ms, clock_ms() + LEASE_MAX_MS));
}

/* Ends the run at an index. */
inline void
FakeWorker::remove_run(size_t index, mb_run_end_t how)
{
    Run run = runs[index];
    runs.erase(runs.begin() + (long)index);
    ends.push_back({++last_end_number, run.task, run.run, how, false,
                    simulation->now_us});
    simulation->work.run_ended(run.task, run.run, how);
    uint64_t &last_ended = ended_runs[format_task(run.task)];
    last_ended = std::max(last_ended, run.run);
}

/* The same, and the other members of its gang end with it. */
inline void
FakeWorker::finish(size_t index, mb_run_end_t how)
{
    Run run = runs[index];
    remove_run(index, how);
    simulation->end_gang(run, how);
}

/* Returns how a run ends now; MB_RUN_END_COUNT if it goes on. A gang succeeds
   only if all members have begun. */
inline mb_run_end_t
FakeWorker::get_due_end(const Run &run) const
{
    if (clock_ms() < run.end_ms || stalled || run.stalls) {
        return clock_ms() >= lease_end_ms ? MB_RUN_LEASE_EXPIRED
                                          : MB_RUN_END_COUNT;
    }
    if (run.fails) {
        return MB_RUN_FAILED;
    }
    return simulation->is_gang_complete(run) ? MB_RUN_DONE
                                             : MB_RUN_GANG_TIMEOUT;
}

/* Ends the runs that are due or whose lease has expired. */
inline void
FakeWorker::advance()
{
    uint64_t now_ms = clock_ms();
    for (size_t i = 0; i < runs.size();) {
        mb_run_end_t how = get_due_end(runs[i]);
        if (how != MB_RUN_END_COUNT) {
            /* May end earlier runs, which then are members of its gang. */
            finish(i, how);
            i = 0;
        }
        else {
            i++;
        }
    }
    for (End &end : ends) {
        end.lease_expired = end.lease_expired || now_ms >= lease_end_ms;
    }
}

/* Restarts the worker: runs, ends and tokens are lost. */
inline void
FakeWorker::crash()
{
    simulation->work.worker_restarted(machine->number, machine->agent,
                                      simulation->now_us,
                                      machine->connections);
    std::vector<Run> lost_runs = runs;
    runs.clear();
    ends.clear();
    ended_runs.clear();
    last_end_number = 0;
    token = 0;
    lease_end_ms = 0;
    started_ms++;
    clock_start_ms = simulation->now_us / 1000;
    for (const Run &run : lost_runs) {
        simulation->end_gang(run, MB_RUN_GANG_BROKEN);
    }
}

/* Takes the fencing token of a call. Returns false if a higher one was seen:
   the call then does nothing. */
inline bool
FakeWorker::take_token(uint64_t call_token)
{
    bool valid = call_token >= token;
    token = std::max(token, call_token);
    return valid;
}

/* Checks a start that is carried out: one run per task, no start after an
   acknowledged success or `max_attempts` acknowledged failures, or before the
   dependencies are done. A speculative step may have several runs of a task;
   what its owner may start is checked by the WorkLedger. */
inline void
FakeWorker::check_start(const mb_order_start_t &start)
{
    const WorkLedger &work = simulation->work;
    std::string task = format_task(start.task);
    bool speculative = work.get_step(start.task).speculative;
    for (auto &machine : simulation->machines) {
        for (const Run &run : machine->worker.runs) {
            if (machine->worker.is_up && format_task(run.task) == task &&
                !speculative) {
                simulation->add_violation("two runs at a time: " + task);
            }
        }
    }
    if (simulation->acknowledged.count(task) > 0 && !speculative) {
        simulation->add_violation(
            "started after its success was acknowledged: " + task);
    }
    if (work.is_exhausted(start.task) && !speculative) {
        simulation->add_violation(
            "started after max_attempts acknowledged failures: " + task);
    }
    if (!work.has_dependencies(start.task)) {
        simulation->add_violation("started before its dependencies: " + task);
    }
}

/* Starts a run as a real worker does, and checks the capacity and what
   check_start does. */
inline mb_executor_answer_t
FakeWorker::start(const mb_order_start_t &start, uint64_t run_token,
                  uint64_t new_lease_end_ms)
{
    mb_executor_answer_t answer = {};
    uint64_t now_ms = clock_ms();
    std::string task = format_task(start.task);
    answer.has_clock = true;
    answer.clock_ms = now_ms;
    answer.result = MB_EXECUTOR_REFUSED;
    if (!take_token(run_token)) {
        answer.reason = MB_REFUSAL_FENCED;
        return answer;
    }
    for (const Run &run : runs) {
        if (format_task(run.task) == task && run.run == start.run) {
            answer.result = MB_EXECUTOR_OK;
            return answer;
        }
    }
    if (new_lease_end_ms <= now_ms) {
        answer.reason = MB_REFUSAL_EXPIRED;
        return answer;
    }
    if (ended_runs.count(task) > 0 && start.run <= ended_runs[task]) {
        answer.reason = MB_REFUSAL_OLD_RUN;
        return answer;
    }
    std::string job(start.task.job.text, MB_DAG_ID_LEN);
    auto bad_job = simulation->bad_jobs.find(job);
    bool is_bad = bad_job != simulation->bad_jobs.end();
    if (is_bad && bad_job->second.how == BadJob::INVALID) {
        answer.reason = MB_REFUSAL_INVALID;
        return answer;
    }
    uint32_t used = get_declared_cpu(simulation, start.task);
    for (const Run &run : runs) {
        used += get_declared_cpu(simulation, run.task);
    }
    if (used > simulation->capacity_milli) {
        simulation->add_violation("over capacity: " + task);
    }
    check_start(start);
    extend_lease(new_lease_end_ms);
    bool run_fails =
        fails_runs || simulation->random() % 100 < simulation->fail_percent;
    auto job_ms = simulation->job_task_ms.find(job);
    uint64_t task_ms = job_ms == simulation->job_task_ms.end()
                           ? simulation->task_ms
                           : job_ms->second;
    uint64_t run_ms = fails_runs ? fails_after_ms : task_ms;
    bool stalls = is_bad && bad_job->second.how == BadJob::STALLS;
    if (is_bad) {
        run_fails = true;
        run_ms = bad_job->second.fails_after_ms;
    }
    else {
        failed_starts += fails_runs ? 1 : 0;
    }
    runs.push_back(
        {start.task, start.run, now_ms + run_ms, run_fails, stalls, 100});
    simulation->starts[task]++;
    simulation->latest_start_us[task] = simulation->now_us;
    answer.result = MB_EXECUTOR_OK;
    return answer;
}

/* Stops a run. If it is not there, a start of it that arrives later is
   refused. */
inline mb_executor_answer_t
FakeWorker::stop(const mb_executor_run_t &which)
{
    mb_executor_answer_t answer = {};
    std::string task = format_task(which.task);
    answer.result = MB_EXECUTOR_OK;
    for (size_t i = 0; i < runs.size(); i++) {
        if (format_task(runs[i].task) == task && runs[i].run == which.run) {
            finish(i, MB_RUN_STOPPED);
            return answer;
        }
    }
    uint64_t &last_ended = ended_runs[task];
    last_ended = std::max(last_ended, which.run);
    return answer;
}

/* Checks that a success, or the last of `max_attempts` failures, that is
   acknowledged within its lease has not been followed by another start. */
inline void
FakeWorker::check_acknowledged(const End &end)
{
    std::string task = format_task(end.task);
    const mb_dag_step_t &step = simulation->work.get_step(end.task);
    if (end.lease_expired || step.speculative) {
        return;
    }
    uint64_t latest_start_us = simulation->latest_start_us[task];
    if (end.how == MB_RUN_DONE) {
        simulation->acknowledged.insert(task);
        if (latest_start_us > end.ended_us) {
            simulation->add_violation(
                "acknowledged a success after the task was started "
                "again: " +
                task);
        }
    }
    if (end.how == MB_RUN_FAILED && !step.long_running &&
        latest_start_us > simulation->work.failure_acknowledged(
                              end.task, end.run, end.ended_us)) {
        simulation->add_violation(
            "acknowledged max_attempts failures after the task was started "
            "again: " +
            task);
    }
}

/* Takes the lease of a list call, and forgets the ends that it
   acknowledges. */
inline void
FakeWorker::take_list_call(uint64_t acknowledged, uint64_t new_lease_end_ms)
{
    advance();
    extend_lease(new_lease_end_ms);
    while (!ends.empty() && ends.front().number <= acknowledged) {
        check_acknowledged(ends.front());
        ends.erase(ends.begin());
    }
}

/* Releases the arrays of an answer. */
static inline void
free_arrays(mb_executor_answer_t *answer)
{
    if (answer->runs != nullptr) {
        g_array_unref(answer->runs);
        g_array_unref(answer->ends);
    }
    answer->runs = answer->ends = nullptr;
}

/* Takes the next fault of a kind of call: 'o' if there is none, and 'x', never
   carried out, if the worker is cut off. */
static inline char
take_fault(const FakeWorker &worker, std::deque<char> *faults)
{
    char fault = 'o';
    if (!faults->empty()) {
        fault = faults->front();
        faults->pop_front();
    }
    return worker.is_cut ? 'x' : fault;
}

/* Returns when a call with a fault is carried out; `usual_us` without one. */
static inline uint64_t
get_delay_us(FleetSimulation *simulation, char fault, uint64_t usual_us)
{
    if (fault == 's') {
        return 2000000 + simulation->random() % 10000000;
    }
    return fault == 'd' ? 900000 : usual_us;
}

/* Carries out a call of an agent after `delay_us`. Without a fault, the answer
   arrives then; otherwise it is lost, and the call times out. */
static inline void
complete_call(
    Machine *machine, const mb_executor_call_t *call,
    std::function<void(mb_executor_answer_t *)> perform, char fault,
    uint64_t delay_us,
    std::function<void(const mb_executor_answer_t &)> received = nullptr)
{
    FleetSimulation *simulation = machine->simulation;
    auto done = call->done;
    void *context = call->context;
    uint64_t timeout_us = call->timeout_ms * 1000ull;
    auto result = std::make_shared<mb_executor_answer_t>();
    auto answer = [=] {
        if (received) {
            received(*result);
        }
        done(context, result.get());
        free_arrays(result.get());
    };
    if (fault != 'x') {
        simulation->events.push_back({simulation->now_us + delay_us, [=] {
                                          perform(result.get());
                                          if (fault != 'o') {
                                              free_arrays(result.get());
                                              return;
                                          }
                                          simulation->do_when_awake(machine,
                                                                    answer);
                                      }});
    }
    if (fault != 'o') {
        simulation->when_awake(machine, simulation->now_us + timeout_us, [=] {
            mb_executor_answer_t none = {};
            none.result = MB_EXECUTOR_UNANSWERED;
            done(context, &none);
        });
    }
}

/* Returns the progress of a run, in percent. */
static inline uint32_t
get_progress(const FakeWorker &worker, const FakeWorker::Run &run)
{
    const FleetSimulation *simulation = worker.simulation;
    return simulation->reported_progress
               ? simulation->reported_progress(worker, run)
               : simulation->now_us / 20000 % 100;
}

/* The callbacks of the executor, carried out by the fake worker. */
static bool
fake_start(void *context, const mb_executor_call_t *call,
           const mb_order_start_t *start, uint64_t lease_end_ms)
{
    Machine *machine = static_cast<Machine *>(context);
    FakeWorker *worker = &machine->worker;
    char fault = take_fault(*worker, &worker->start_faults);
    mb_order_start_t copy = *start;
    copy.payload = copy.checkpoint = copy.approval = copy.image = MB_STR_EMPTY;
    uint64_t token = call->token;
    uint64_t started_ms = worker->started_ms;
    auto perform = [=](mb_executor_answer_t *answer) {
        if (worker->is_up && worker->started_ms == started_ms) {
            *answer = worker->start(copy, token, lease_end_ms);
        }
        else {
            answer->result = MB_EXECUTOR_UNANSWERED;
        }
    };
    complete_call(machine, call, perform, fault,
                  get_delay_us(machine->simulation, fault, 1000));
    return true;
}

static bool
fake_stop(void *context, const mb_executor_call_t *call,
          const mb_executor_run_t *run)
{
    Machine *machine = static_cast<Machine *>(context);
    FakeWorker *worker = &machine->worker;
    char fault = take_fault(*worker, &worker->stop_faults);
    mb_executor_run_t copy = *run;
    uint64_t token = call->token;
    uint64_t started_ms = worker->started_ms;
    auto perform = [=](mb_executor_answer_t *answer) {
        answer->result = MB_EXECUTOR_UNANSWERED;
        if (fault == 's' && worker->started_ms != started_ms) {
            return;
        }
        if (worker->is_up && !worker->take_token(token)) {
            answer->result = MB_EXECUTOR_REFUSED;
            answer->reason = MB_REFUSAL_FENCED;
        }
        else if (worker->is_up) {
            *answer = worker->stop(copy);
        }
    };
    complete_call(machine, call, perform, fault,
                  get_delay_us(machine->simulation, fault, 1000));
    return true;
}

static bool
fake_list(void *context, const mb_executor_call_t *call, uint64_t acknowledged,
          uint64_t lease_end_ms, uint32_t wait_ms)
{
    Machine *machine = static_cast<Machine *>(context);
    FakeWorker *worker = &machine->worker;
    (void)wait_ms;
    char fault = take_fault(*worker, &worker->list_faults);
    uint64_t started_ms = worker->started_ms;
    auto runs = std::make_shared<std::vector<mb_report_run_t>>();
    std::string expected_name = to_std_string(call->worker);
    uint64_t token = call->token;
    auto perform = [=](mb_executor_answer_t *answer) {
        answer->result = MB_EXECUTOR_UNANSWERED;
        if (worker->is_up && worker->name != expected_name) {
            answer->result = MB_EXECUTOR_OTHER;
            return;
        }
        answer->runs = g_array_new(FALSE, FALSE, sizeof(mb_report_run_t));
        answer->ends = g_array_new(FALSE, FALSE, sizeof(mb_report_end_t));
        if (!worker->is_up) {
            return;
        }
        if (worker->started_ms != started_ms) {
            /* The connection ended with the process. */
            return;
        }
        if (token < worker->token) {
            answer->result = MB_EXECUTOR_REFUSED;
            answer->reason = MB_REFUSAL_FENCED;
            return;
        }
        answer->result = MB_EXECUTOR_OK;
        answer->has_clock = true;
        answer->clock_ms = worker->clock_ms();
        answer->start_time_ms = worker->started_ms;
        answer->incarnation = worker->started_ms;
        worker->advance();
        for (const auto &run : worker->runs) {
            mb_report_run_t row = {};
            row.task = run.task;
            row.run = run.run;
            row.confirmed = true;
            row.value = worker->simulation->reported_value
                            ? worker->simulation->reported_value(*worker, run)
                            : 0;
            row.progress = worker->stalled || run.stalls
                               ? 10
                               : get_progress(*worker, run);
            g_array_append_val(answer->runs, row);
        }
        for (const auto &end : worker->ends) {
            mb_report_end_t row = {};
            row.number = end.number;
            row.task = end.task;
            row.run = end.run;
            row.how = end.how;
            row.checkpoint = {worker->end_checkpoint.data(),
                              worker->end_checkpoint.size()};
            if (answer->ends->len == worker->listed_ends_max) {
                break;
            }
            g_array_append_val(answer->ends, row);
        }
        answer->ends_cut = answer->ends->len == worker->listed_ends_max;
    };
    auto take_call = [=] {
        bool same_life = fault != 's' || worker->started_ms == started_ms;
        if (worker->is_up && worker->name == expected_name && same_life &&
            worker->take_token(token)) {
            worker->take_list_call(acknowledged, lease_end_ms);
        }
    };
    /* The call arrives after 1 ms and is answered after 20 ms. */
    if (fault != 'x') {
        machine->simulation->events.push_back(
            {machine->simulation->now_us +
                 get_delay_us(machine->simulation, fault, 1000),
             take_call});
    }
    const mb_agent_t *agent = machine->agent;
    auto received = [=](const mb_executor_answer_t &answer) {
        if (machine->agent == agent) {
            machine->simulation->work.answer_received(
                machine->number, agent, answer, worker->started_ms,
                machine->simulation->now_us, machine->connections);
        }
    };
    complete_call(machine, call, perform, fault, 20000, received);
    return true;
}

static bool
fake_throttle(void *context, const mb_executor_call_t *call,
              const mb_executor_run_t *run, uint32_t percent)
{
    Machine *machine = static_cast<Machine *>(context);
    FakeWorker *worker = &machine->worker;
    mb_executor_run_t copy = *run;
    auto perform = [=](mb_executor_answer_t *answer) {
        answer->result = MB_EXECUTOR_OK;
        for (auto &other : worker->runs) {
            if (other.run == copy.run &&
                mb_dag_task_id_equal(&other.task, &copy.task)) {
                other.throttle_percent = percent;
            }
        }
    };
    complete_call(machine, call, perform, worker->is_cut ? 'x' : 'o', 1000);
    return true;
}

#endif
