/* The links, the log and the steps of the simulated fleet. Included by
   fleet_simulation.h. */
#ifndef FLEET_SIMULATION_IMPL_H
#define FLEET_SIMULATION_IMPL_H

#include "fleet_simulation.h"

/* Tells whether a message fits in a frame of a link. A longer one is a
   violation: the receiver would close the connection. */
static bool
fits_in_frame(FleetSimulation *simulation, const std::string &bytes)
{
    mb_buf_t frame = {};
    mb_message_t message = {};
    message.type = MB_MESSAGE_ORDER;
    message.body.packed = {bytes.data(), bytes.size()};
    mb_frame_encode(&frame, &message);
    bool fits = frame.len <= MB_FRAME_LENGTH_BYTES + MB_FRAME_MAX;
    mb_buf_finish(&frame);
    if (!fits) {
        simulation->add_violation("message longer than a frame");
    }
    return fits;
}

/* Delivers a report of an agent to the owner after 4 ms. Reports of a lost
   connection are dropped. */
static void
send_report(void *context, const mb_report_t *report)
{
    Machine *machine = static_cast<Machine *>(context);
    FleetSimulation *simulation = machine->simulation;
    mb_buf_t bytes = {};
    mb_report_encode(&bytes, report);
    std::string copy(bytes.data, bytes.len);
    mb_buf_finish(&bytes);
    if (!fits_in_frame(simulation, copy)) {
        return;
    }
    if (machine->other_owner) {
        machine->other_owner(copy);
        return;
    }
    uint64_t token = simulation->token;
    uint32_t number = machine->number;
    simulation->events.push_back(
        {simulation->now_us + 4000, [=] {
             if (!machine->connected || simulation->token != token) {
                 return;
             }
             if (!mb_report_decode(&simulation->report_decoder,
                                   {copy.data(), copy.size()}, nullptr)) {
                 simulation->add_violation("report can't be decoded");
                 return;
             }
             simulation->work.report_arrives(
                 token, &simulation->table, simulation->report_decoder.report);
             mb_fleet_handle_report(&simulation->fleet, number,
                                    &simulation->report_decoder.report);
             mb_fleet_flush(&simulation->fleet);
         }});
}

/* Has an agent carry out an encoded order. */
static void
deliver_order(Machine *machine, const std::string &bytes)
{
    if (!mb_order_decode(&machine->order_decoder, {bytes.data(), bytes.size()},
                         nullptr)) {
        machine->simulation->add_violation("order can't be decoded");
        return;
    }
    mb_agent_order(machine->agent, &machine->order_decoder.order);
    mb_agent_run(machine->agent);
}

/* Delivers an order of the owner to an agent after 4 ms. Orders of a lost
   connection are dropped. */
static void
send_order(void *context, uint32_t worker, const mb_order_t *order)
{
    FleetSimulation *simulation = static_cast<FleetSimulation *>(context);
    Machine *machine = simulation->machines[worker].get();
    mb_buf_t bytes = {};
    simulation->check_starts(*order, &simulation->table);
    mb_order_encode(&bytes, order);
    std::string copy(bytes.data, bytes.len);
    mb_buf_finish(&bytes);
    if (!fits_in_frame(simulation, copy)) {
        return;
    }
    uint64_t connection = machine->connections;
    simulation->when_awake(machine, simulation->now_us + 4000, [=] {
        if (machine->connected && machine->connections == connection) {
            deliver_order(machine, copy);
        }
    });
}

static bool
is_congested(void *context, uint32_t worker)
{
    return static_cast<FleetSimulation *>(context)->congested.count(worker) >
           0;
}

/* Adds the progress of a job to the current group. */
static void
store_progress(void *context, const mb_dag_progress_t *progress)
{
    FleetSimulation *simulation = static_cast<FleetSimulation *>(context);
    mb_buf_t value = {};
    simulation->progress_records++;
    mb_dag_record_encode_progress(&value, progress);
    simulation->group.push_back({std::string(progress->id.text, MB_DAG_ID_LEN),
                                 std::string(value.data, value.len)});
    mb_buf_finish(&value);
}

/* Stores the current group after 8 ms, or fails, or never answers. */
static void
end_store_group(void *context)
{
    FleetSimulation *simulation = static_cast<FleetSimulation *>(context);
    auto group = simulation->group;
    uint64_t token = simulation->token;
    auto heard = simulation->work.get_heard(token, group);
    simulation->group.clear();
    if (simulation->store_unanswered) {
        return;
    }
    simulation->events.push_back(
        {simulation->now_us + 8000, [=] {
             bool ok = simulation->token == token && !simulation->store_fails;
             for (const auto &item : group) {
                 if (ok) {
                     simulation->progress[item.first] = item.second;
                 }
             }
             if (ok) {
                 simulation->work.progress_stored(heard);
             }
             if (simulation->token == token) {
                 mb_fleet_progress_stored(&simulation->fleet, ok);
             }
         }});
}

/* Stores the record of an absent worker after 8 ms, or removes it; or the log
   rejects it, or never answers. */
static bool
store_absence(void *context, uint32_t worker, const GArray *tasks)
{
    FleetSimulation *simulation = static_cast<FleetSimulation *>(context);
    mb_buf_t value = {};
    if (tasks != nullptr) {
        mb_dag_absence_record_t absence = {simulation->token, tasks};
        mb_dag_record_encode_absence(&value, &absence);
    }
    std::string copy(value.data == nullptr ? "" : value.data, value.len);
    uint64_t token = simulation->token;
    mb_buf_finish(&value);
    simulation->absence_appends++;
    if (simulation->store_unanswered) {
        return true;
    }
    simulation->events.push_back(
        {simulation->now_us + 8000, [=] {
             bool ok = simulation->token == token && !simulation->store_fails;
             if (ok && copy.empty()) {
                 simulation->absences.erase(worker);
             }
             else if (ok) {
                 simulation->absences[worker] = copy;
             }
             if (simulation->token == token) {
                 mb_fleet_absence_stored(&simulation->fleet, worker,
                                         ok != copy.empty());
             }
         }});
    return true;
}

static uint64_t
read_unix_ms(void *context)
{
    return static_cast<FleetSimulation *>(context)->now_us / 1000;
}

inline FleetSimulation::FleetSimulation(uint32_t count, uint64_t seed)
    : random(seed)
{
    mb_clock_t clock = {read_clock, this};
    mb_log_t log = make_log();
    mb_fleet_callbacks_t callbacks = {send_order,
                                      is_congested,
                                      store_progress,
                                      end_store_group,
                                      store_absence,
                                      read_unix_ms,
                                      this};
    mb_dag_table_init(&table);
    (void)mb_dag_record_decoder_init(&record_decoder);
    (void)mb_order_decoder_init(&report_decoder);
    mb_fleet_init(&fleet, &table, &callbacks, &clock, &log);
    for (uint32_t i = 0; i < count; i++) {
        add_machine();
    }
    mb_fleet_agents_loaded(&fleet);
}

inline FleetSimulation::~FleetSimulation()
{
    events.clear();
    mb_fleet_finish(&fleet);
    mb_dag_table_finish(&table);
    mb_dag_record_decoder_finish(&record_decoder);
    mb_order_decoder_finish(&report_decoder);
    for (auto &machine : machines) {
        for (auto &agent : machine->agents) {
            mb_agent_finish(agent.get());
        }
        mb_order_decoder_finish(&machine->order_decoder);
    }
}

inline void
FleetSimulation::add_violation(const std::string &what)
{
    violations.push_back("at " + std::to_string(now_us / 1000) +
                         " ms: " + what);
}

/* Tells whether all members of the gang of a run are at work; true if the run
   is not of a gang. */
inline bool
FleetSimulation::is_gang_complete(const FakeWorker::Run &of) const
{
    const mb_dag_step_t &step = work.get_step(of.task);
    uint32_t members = 0;
    for (const auto &machine : machines) {
        const FakeWorker &worker = machine->worker;
        for (const FakeWorker::Run &run : worker.runs) {
            mb_dag_task_id_t task = run.task;
            task.index = of.task.index;
            members += run.run == of.run &&
                       mb_dag_task_id_equal(&task, &of.task) &&
                       worker.clock_ms() < worker.lease_end_ms;
        }
    }
    return !step.gang || members == step.count;
}

/* Ends the other members of the gang of a run that has ended: they succeed
   with it, or are broken. */
inline void
FleetSimulation::end_gang(const FakeWorker::Run &of, mb_run_end_t how)
{
    if (!work.get_step(of.task).gang) {
        return;
    }
    for (auto &machine : machines) {
        FakeWorker &worker = machine->worker;
        for (size_t i = 0; i < worker.runs.size();) {
            mb_dag_task_id_t task = worker.runs[i].task;
            task.index = of.task.index;
            if (worker.runs[i].run == of.run &&
                mb_dag_task_id_equal(&task, &of.task)) {
                worker.remove_run(i, how == MB_RUN_DONE ? MB_RUN_DONE
                                                        : MB_RUN_GANG_BROKEN);
            }
            else {
                i++;
            }
        }
    }
}

/* Checks that an order starts nothing that its owner knows to be done, or
   whose dependencies it does not know to be done. */
inline void
FleetSimulation::check_starts(const mb_order_t &order,
                              mb_dag_table_t *owner_table)
{
    for (guint i = 0; i < order.starts->len; i++) {
        const mb_order_start_t &start =
            g_array_index(order.starts, mb_order_start_t, i);
        std::string wrong = work.check_start(order.token, start);
        start_checkpoints[format_task(start.task)] =
            to_std_string(start.checkpoint);
        mb_dag_job_t *job = mb_dag_find(owner_table, start.task.job);
        if (job != nullptr &&
            !mb_dag_step_ready(job, start.task.occurrence, start.task.step)) {
            wrong = "started before its owner knew of its dependencies: ";
        }
        if (!wrong.empty()) {
            add_violation(wrong + format_task(start.task) + ", run " +
                          std::to_string(start.run));
        }
    }
}

/* Checks, when all faults have ended, that the successes that workers have
   listed count at the owner with this token and table. */
inline void
FleetSimulation::check_lost_successes(uint64_t owner_token,
                                      mb_dag_table_t *owner_table)
{
    for (const std::string &lost : work.get_lost(owner_token, owner_table)) {
        add_violation(lost);
    }
}

inline void
FleetSimulation::init_agent(Machine &machine)
{
    work.agent_restarted(machine.number, machine.worker.started_ms);
    mb_clock_t clock = {read_clock, this};
    mb_log_t log = make_log();
    mb_agent_callbacks_t callbacks = {send_report, &machine};
    mb_executor_t executor = {fake_start, fake_stop, fake_list, fake_throttle,
                              &machine};
    machine.agents.push_back(std::make_unique<mb_agent_t>());
    machine.agent = machine.agents.back().get();
    mb_agent_init(machine.agent, ++agent_processes, &callbacks, &executor,
                  &clock, &log);
}

inline void
FleetSimulation::add_machine()
{
    auto machine = std::make_unique<Machine>();
    machine->simulation = this;
    machine->worker.simulation = this;
    machine->number = (uint32_t)machines.size();
    machine->worker.machine = machine.get();
    machine->worker.name = "worker-" + std::to_string(machines.size());
    init_agent(*machine);
    (void)mb_order_decoder_init(&machine->order_decoder);
    machine->number = mb_fleet_add_worker(
        &fleet, {machine->worker.name.data(), machine->worker.name.size()});
    machines.push_back(std::move(machine));
}

/* Stores a job in the log and gives it to the owner. */
inline mb_dag_job_t *
FleetSimulation::submit(const mb_dag_spec_t &spec)
{
    mb_buf_t value = {};
    work.add_job(spec);
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

/* Adds the jobs that the log has to a table, and tells a process of the
   records of absent workers. */
inline void
FleetSimulation::load_log(mb_dag_table_t *into, mb_fleet_t *owner)
{
    for (const auto &item : jobs) {
        mb_dag_record_t record;
        std::string key = "j" + item.first;
        EXPECT_TRUE(mb_dag_record_decode(
            &record_decoder, {key.data(), key.size()},
            {item.second.data(), item.second.size()}, &record, nullptr));
        mb_dag_job_t *job = mb_dag_add(into, &record.body.job);
        job->cancelled = cancelled.count(item.first) > 0;
        auto stored = progress.find(item.first);
        if (stored != progress.end()) {
            key[0] = 's';
            EXPECT_TRUE(mb_dag_record_decode(
                &record_decoder, {key.data(), key.size()},
                {stored->second.data(), stored->second.size()}, &record,
                nullptr));
            mb_dag_progress_apply(job, &record.body.progress);
        }
    }
    for (const auto &item : absences) {
        mb_dag_record_t record;
        EXPECT_TRUE(mb_dag_record_decode(
            &record_decoder, MB_STR_LIT("aworker"),
            {item.second.data(), item.second.size()}, &record, nullptr));
        mb_fleet_absence_read(owner, item.first, record.body.absence.token,
                              record.body.absence.tasks);
    }
}

/* Makes another process the owner of the fleet, or the first one at the start
   of a test. It knows only what the log has stored. A former owner that has
   `resigned` is no longer active, so only its leases are waited for. */
inline void
FleetSimulation::fail_over(bool resigned)
{
    uint64_t former_leases_end_us = now_us;
    for (auto &machine : machines) {
        disconnect(*machine);
    }
    if (token > 0) {
        former_leases_end_us +=
            mb_fleet_max_lease_us() +
            (resigned ? 0 : MB_OWNERSHIP_LEASE_MS * 1000ull);
    }
    mb_fleet_lose_ownership(&fleet);
    mb_dag_table_clear(&table);
    token++;
    group.clear();
    load_log(&table, &fleet);
    work.log_read(token);
    mb_fleet_become_owner(&fleet, token, former_leases_end_us);
    mb_fleet_set_active(&fleet, true);
    mb_fleet_confirm_ownership(&fleet, now_us);
    for (auto &machine : machines) {
        connect(*machine);
    }
}

/* Connects the owner and the agent of a machine, unless the agent is frozen or
   refuses the token. */
inline void
FleetSimulation::connect(Machine &machine)
{
    if (machine.connected || now_us < machine.frozen_until_us ||
        !mb_agent_connected(machine.agent, token)) {
        return;
    }
    machine.connected = true;
    machine.connections++;
    mb_fleet_agent_connected(&fleet, machine.number);
}

inline void
FleetSimulation::disconnect(Machine &machine)
{
    if (!machine.connected) {
        return;
    }
    machine.connected = false;
    mb_agent_disconnected(machine.agent);
    mb_fleet_agent_disconnected(&fleet, machine.number);
}

/* Replaces the process of an agent, which knows nothing of its worker until
   the next heartbeat, and connects it again. */
inline void
FleetSimulation::restart_agent(Machine &machine)
{
    disconnect(machine);
    init_agent(machine);
    machine.heartbeats = 0;
    machine.frozen_until_us = 0;
    connect(machine);
}

/* Has the worker of a machine send a heartbeat to its agent. */
inline void
FleetSimulation::heartbeat(Machine &machine)
{
    const FakeWorker &worker = machine.worker;
    mb_worker_info_t info = {};
    info.state = MB_WORKER_READY;
    info.name = {worker.name.data(), worker.name.size()};
    info.incarnation = worker.started_ms;
    info.start_time_ms = worker.started_ms;
    info.service = {worker.service.data(), worker.service.size()};
    info.failure_domain = {worker.domain.data(), worker.domain.size()};
    info.capacity = {capacity_milli, 100000, 0};
    mb_agent_heartbeat(machine.agent, &info, ++machine.heartbeats);
}

/* Cancels a job, as the owner reads it from the log. */
inline void
FleetSimulation::cancel(const char *id)
{
    mb_dag_id_t key;
    EXPECT_TRUE(mb_dag_id_parse(mb_str_from_cstr(id), &key));
    mb_dag_job_t *job = mb_dag_find(&table, key);
    if (!cancelled.insert(id).second || job == nullptr) {
        return;
    }
    job->cancelled = true;
    mb_fleet_job_cancelled(&fleet, job);
    job->outcome = MB_DAG_CANCELLED;
}

/* Returns the number of runs of cancelled jobs at the workers. */
inline uint32_t
FleetSimulation::running_cancelled() const
{
    uint32_t count = 0;
    for (const auto &machine : machines) {
        for (const FakeWorker::Run &run : machine->worker.runs) {
            count += (uint32_t)cancelled.count(
                std::string(run.task.job.text, MB_DAG_ID_LEN));
        }
    }
    return count;
}

/* Has something happen to the agent of a machine now, or when its process is
   no longer frozen. */
inline void
FleetSimulation::do_when_awake(Machine *machine,
                               const std::function<void()> &action)
{
    if (now_us < machine->frozen_until_us) {
        when_awake(machine, machine->frozen_until_us, action);
        return;
    }
    action();
}

/* The same at a later time. */
inline void
FleetSimulation::when_awake(Machine *machine, uint64_t time_us,
                            const std::function<void()> &action)
{
    events.push_back({time_us, [=] { do_when_awake(machine, action); }});
}

/* Advances the time by 5 ms: runs the events that are due and the workers,
   lets the workers send a heartbeat every second, and ticks the owner every 20
   ms. */
inline void
FleetSimulation::tick()
{
    now_us += 5000;
    for (size_t i = 0; i < events.size();) {
        if (events[i].first > now_us) {
            i++;
            continue;
        }
        auto perform = events[i].second;
        events.erase(events.begin() + (long)i);
        perform();
        i = 0;
    }
    for (auto &machine : machines) {
        FakeWorker &worker = machine->worker;
        work.drop_unconnected(machine->number, now_us, machine->connections,
                              machine->connected || machine->other_owner);
        if (worker.is_up) {
            worker.advance();
        }
        bool is_awake = now_us >= machine->frozen_until_us;
        if (worker.is_up && !worker.is_cut && is_awake &&
            now_us % 1000000 == 0) {
            heartbeat(*machine);
        }
        if (is_awake) {
            mb_agent_run(machine->agent);
        }
    }
    if (now_us % 20000 == 0) {
        if (log_read) {
            mb_fleet_confirm_ownership(&fleet, now_us);
        }
        mb_fleet_tick(&fleet);
    }
}

/* Advances the time by a number of milliseconds. */
inline void
FleetSimulation::advance(uint64_t ms)
{
    for (uint64_t i = 0; i < ms; i += 5) {
        tick();
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
