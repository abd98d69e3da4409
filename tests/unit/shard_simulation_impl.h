/* Implementation of shard_simulation.h: processes, log, resources, the event
   loop and the invariants. */
#ifndef SHARD_SIMULATION_IMPL_H
#define SHARD_SIMULATION_IMPL_H
#include <cstring>

#include "shard_simulation.h"

namespace shard_simulation {

static mb_sync_response_t response_buffer;

/* Returns a borrowed view of a text. */
static mb_str_t
to_view(const std::string &text)
{
    return {text.data(), text.size()};
}

/* The clock of an owner, with its own offset and rate. */
static uint64_t
read_owner_clock(void *context)
{
    auto *owner = static_cast<Owner *>(context);
    uint64_t now =
        owner->clock_offset_us +
        static_cast<uint64_t>(static_cast<double>(owner->simulation->now) *
                              owner->clock_rate);
    /* Two reads never return the same time, as with a real clock. */
    owner->last_read_us = std::max(now, owner->last_read_us + 1);
    return owner->last_read_us;
}

/* The `append` callback of an owner. */
static void
append_record(void *context, const mb_shard_record_t *record)
{
    auto *owner = static_cast<Owner *>(context);
    mb_buf_t bytes = {};
    mb_shard_record_encode(&bytes, record);
    owner->payload.assign(bytes.data, bytes.len);
    mb_buf_finish(&bytes);
    owner->sequence++;
    owner->appending = true;
    owner->simulation->send_append(*owner);
}

/* The `sync` callback of an owner. Every request has a time-out, and some are
   delayed for long enough to arrive after it. */
static void
send_sync_request(void *context, uint64_t key, mb_str_t,
                  const mb_sync_request_t *in)
{
    auto *owner = static_cast<Owner *>(context);
    Simulation *simulation = owner->simulation;
    uint32_t index = 0;
    while (simulation->workers[index].key != key) {
        index++;
    }
    Request request = {owner->index, ++simulation->serial,
                       in->token,    in->incarnation,
                       in->lease_ms, {},
                       {},           {}};
    for (uint32_t i = 0; i < in->start_count; i++) {
        const mb_sync_start_t &start = in->starts[i];
        request.starts.push_back(
            {start.id, start.size,
             std::string(start.checkpoint.data, start.checkpoint.len)});
    }
    simulation->throttles += in->throttle_count;
    request.stops.assign(in->stops, in->stops + in->stop_count);
    request.acks.assign(in->acks, in->acks + in->ack_count);
    owner->pending_syncs[index] = request.serial;
    simulation->schedule_event(SYNC_TIMEOUT_MS * MS, Kind::TIMEOUT,
                               owner->index, request.serial, index);
    if ((owner->lost_requests >> index & 1) == 0) {
        uint64_t id = request.serial;
        simulation->requests.emplace(id, std::move(request));
        simulation->schedule_event(
            MS + simulation->random_below(simulation->chance(5) ? 150 * MS
                                                                : 8 * MS),
            Kind::REQUEST, index, id);
    }
}

/* Creates two to four workers, random jobs, the reference and three processes
   that may own the shard. */
Simulation::Simulation(uint64_t seed_value)
    : seed(seed_value), random(seed_value)
{
    uint32_t count = 2 + static_cast<uint32_t>(random_below(3));
    for (uint32_t i = 0; i < count; i++) {
        Worker worker;
        worker.name = "w" + std::to_string(i);
        worker.failure_domain = i % 2 == 0 ? "d0" : "d1";
        worker.key = mb_shard_worker_key(to_view(worker.name));
        worker.capacity = {4000, 8192, static_cast<uint32_t>(random_below(2))};
        worker.incarnation = random() | 1;
        worker.clock_rate = 1 - CLOCK_DRIFT_MAX +
                            2 * CLOCK_DRIFT_MAX * random_below(1000) / 1000.0;
        workers.push_back(std::move(worker));
    }
    add_jobs();
    init_owner(reference, UINT32_MAX);
    for (uint32_t i = 0; i < 3; i++) {
        owners.push_back(std::make_unique<Owner>());
        init_owner(*owners.back(), i);
        mb_shard_set_config_ready(owners.back()->shard);
    }
}

Simulation::~Simulation()
{
    mb_shard_free(reference.shard);
    for (auto &owner : owners) {
        mb_shard_free(owner->shard);
    }
    for (auto &job : jobs) {
        mb_resource_finish(&job);
    }
}

/* Schedules an event `delay` microseconds from now. */
void
Simulation::schedule_event(uint64_t delay, Kind kind, uint32_t target,
                           uint64_t id, uint32_t detail)
{
    queue.push({now + delay, ++order, kind, target, id, detail});
}

/* Keeps the first violation, which ends the run. */
void
Simulation::record_violation(const std::string &text)
{
    if (violation.empty()) {
        violation = text + " at " + std::to_string(now) + " us";
    }
}

void
Simulation::trace(const char *what, uint64_t a, uint64_t b, uint64_t c) const
{
    static const bool enabled = getenv("MB_HISTORY_TRACE") != nullptr;
    if (enabled) {
        std::printf("%8lu us %-16s %lx %lu %lu\n", now, what, a, b, c);
    }
}

/* Starts the process of an owner, or of the reference if `index` is
   UINT32_MAX, with a random clock and an empty state. */
void
Simulation::init_owner(Owner &owner, uint32_t index)
{
    mb_shard_config_t config = {
        {LEASE_MS, DRIFT_MARGIN_MS, 300, OUTAGE_GRACE_MS},
        0,
        1,
        WORKER_LEASE_MS,
        150,
        100,
        seed % 2 == 0 ? 0u : 200u,
        1000};
    mb_shard_callbacks_t callbacks = {append_record, send_sync_request,
                                      nullptr, nullptr, &owner};
    mb_clock_t clock = {read_owner_clock, &owner};
    mb_log_t null_log = mb_log_null();
    owner.simulation = this;
    owner.index = index;
    owner.writer = random();
    owner.clock_rate = 1 - CLOCK_DRIFT_MAX +
                       2 * CLOCK_DRIFT_MAX * random_below(1000) / 1000.0;
    owner.clock_offset_us = random_below(1000 * MS);
    owner.last_read_us = 0;
    owner.sequence = 0;
    owner.appending = false;
    owner.next_offset = 0;
    owner.last_sequences.clear();
    owner.pending_syncs.assign(workers.size(), 0);
    mb_rng_seeded_init(&owner.seeded, random());
    mb_rng_t rng = mb_rng_from_seeded(&owner.seeded);
    owner.shard = mb_shard_new(&config, &callbacks, &clock, &rng, &null_log,
                               owner.writer);
    owner.replica = mb_shard_record_replica_callbacks(owner.shard);
    put_all_resources(owner);
    if (index != UINT32_MAX) {
        schedule_event(random_below(50 * MS), Kind::OWNER_TICK, index,
                       owner.writer);
        schedule_event(random_below(50 * MS), Kind::LOG_POLL, index,
                       owner.writer);
    }
}

/* Replaces an owner by a new process. It starts with a snapshot of the
   reference or replays the log from the beginning. */
void
Simulation::restart_owner(Owner &owner)
{
    mb_shard_free(owner.shard);
    init_owner(owner, owner.index);
    owner.crashed = false;
    if (chance(50)) {
        auto emit = [](void *context, mb_str_t chunk) {
            auto *target = static_cast<Owner *>(context);
            if (!target->replica.load(target->replica.context, chunk)) {
                target->simulation->record_violation("snapshot not loaded");
            }
        };
        owner.replica.reset(owner.replica.context);
        reference.replica.save(reference.replica.context, emit, &owner);
        owner.next_offset = reference.next_offset;
        owner.last_sequences = reference.last_sequences;
    }
    mb_shard_set_config_ready(owner.shard);
}

/* Declares all resources to one process. */
void
Simulation::put_all_resources(Owner &owner)
{
    mb_resource_t team;
    mb_resource_init(&team, MB_RESOURCE_TEAM, MB_STR_LIT("team"));
    team.spec.team = {{1000000, 1000000, 100}, 1};
    mb_shard_put_resource(owner.shard, &team);
    mb_resource_finish(&team);
    mb_resource_init(&team, MB_RESOURCE_TEAM, MB_STR_LIT("small"));
    team.spec.team = {{SMALL_QUOTA_MILLI, 1000000, 100}, 1};
    mb_shard_put_resource(owner.shard, &team);
    mb_resource_finish(&team);
    mb_resource_t policy;
    mb_resource_init(&policy, MB_RESOURCE_POLICY, MB_STR_LIT("policy"));
    policy.spec.policy = {seed % 2 == 0 ? MB_OBJECTIVE_THROUGHPUT_FIRST
                                        : MB_OBJECTIVE_LATENCY_FIRST,
                          BATCH_MIN_PERCENT};
    mb_shard_put_resource(owner.shard, &policy);
    mb_resource_finish(&policy);
    mb_resource_t constraint;
    mb_resource_init(&constraint, MB_RESOURCE_CONSTRAINT, MB_STR_LIT("d0"));
    mb_names_t &domains = constraint.spec.constraint.failure_domains;
    (void)mb_names_add(&domains, MB_STR_LIT("d0"));
    mb_shard_put_resource(owner.shard, &constraint);
    mb_resource_finish(&constraint);
    for (const auto &worker : workers) {
        mb_resource_t resource;
        mb_resource_init(&resource, MB_RESOURCE_WORKER, to_view(worker.name));
        resource.spec.worker.capacity = worker.capacity;
        mb_buf_set(&resource.spec.worker.failure_domain,
                   to_view(worker.failure_domain));
        mb_shard_put_resource(owner.shard, &resource);
        mb_resource_finish(&resource);
    }
    for (const auto &job : jobs) {
        if (!no_faults || job.kind == MB_RESOURCE_JOB) {
            mb_shard_put_resource(owner.shard, &job);
        }
    }
}

/* Adds random jobs and, in some runs, a service. Some jobs need a failure
   domain or an accelerator, and one may be too large for every worker. */
void
Simulation::add_jobs()
{
    uint32_t count = 3 + static_cast<uint32_t>(random_below(4));
    for (uint32_t i = 0; i < count; i++) {
        mb_resource_t job;
        std::string name = "j" + std::to_string(i);
        mb_resource_init(&job, MB_RESOURCE_JOB, to_view(name));
        mb_buf_set(&job.spec.job.team,
                   chance(30) ? MB_STR_LIT("small") : MB_STR_LIT("team"));
        mb_buf_set(&job.spec.job.command, MB_STR_LIT("sleep"));
        job.revision = i + 1;
        job.spec.job.task_class =
            static_cast<mb_class_t>(random_below(MB_CLASS_COUNT));
        job.spec.job.count = 1 + static_cast<uint32_t>(random_below(6));
        job.spec.job.size = {static_cast<uint32_t>(500 + random_below(2500)),
                             static_cast<uint32_t>(100 + random_below(4000)),
                             0};
        job.spec.job.run_time_ms = static_cast<uint32_t>(random_below(1000));
        job.spec.job.max_failures = 2;
        if (i == 1) { /* only in one failure domain */
            mb_buf_set(&job.spec.job.constraint, MB_STR_LIT("d0"));
            constrained_job = mb_shard_job_key(job.kind, to_view(name));
        }
        if (i == 2) {
            job.spec.job.size.accelerators = 1;
        }
        if (i == 0 && chance(30)) {
            job.spec.job.size.cpu_milli = 5000; /* fits no worker */
        }
        jobs.push_back(job);
    }
    if (chance(40)) {
        mb_resource_t service;
        mb_resource_init(&service, MB_RESOURCE_SERVICE, MB_STR_LIT("s"));
        mb_buf_set(&service.spec.service.team, MB_STR_LIT("team"));
        service.spec.service.instances = 2;
        service.spec.service.size = {1000, 512, 0};
        service_key = mb_shard_job_key(MB_RESOURCE_SERVICE, MB_STR_LIT("s"));
        jobs.push_back(service);
    }
}

/* Replaces the declared jobs. */
void
Simulation::replace_jobs(const std::vector<mb_resource_t> &new_jobs)
{
    for (auto &job : jobs) {
        delete_job(job);
        mb_resource_finish(&job);
    }
    jobs = new_jobs;
    for (const auto &job : jobs) {
        put_resource(job);
    }
}

/* Checks that the held tasks of the team "small" stay within its quota. Called
   after every append, so that it holds at every offset of the log. */
void
Simulation::check_quota()
{
    uint64_t used = 0;
    for (const auto &job : jobs) {
        const mb_job_tasks_t *tasks = mb_task_job_find(
            mb_shard_tasks(reference.shard),
            mb_shard_job_key(job.kind, mb_buf_view(&job.name)));
        if (tasks == nullptr || job.kind != MB_RESOURCE_JOB ||
            !mb_str_equal(mb_buf_view(&job.spec.job.team),
                          MB_STR_LIT("small"))) {
            continue;
        }
        for (uint32_t i = 0; i < tasks->len; i++) {
            used += mb_task_is_held(&tasks->tasks[i])
                        ? tasks->tasks[i].size.cpu_milli
                        : 0;
        }
    }
    quota_used_max = std::max(quota_used_max, used);
    if (used > SMALL_QUOTA_MILLI) {
        record_violation("team over its quota");
    }
}

/* Returns the usage report of a worker. Samples are up to 3 s old, usage is
   wrong by a factor of up to four, and some entries name a task that the
   worker does not hold. */
std::vector<mb_usage_t>
Simulation::report_usage(const Worker &worker)
{
    std::vector<mb_usage_t> usage;
    if (reported_latency_us == 0 && !chance(25)) {
        return usage;
    }
    for (const auto &entry : worker.running) {
        mb_usage_t item = {};
        item.task = entry.second.start.id.task;
        item.cpu_milli = entry.second.start.size.cpu_milli *
                         (1 + static_cast<uint32_t>(random_below(16))) / 4;
        item.memory_mb = entry.second.start.size.memory_mb;
        item.sample_count = 1;
        item.samples[0] = {
            reported_latency_us != 0
                ? reported_latency_us
                : 1000 + static_cast<uint32_t>(random_below(20000)),
            static_cast<uint32_t>(random_below(3000))};
        if (reported_latency_us == 0 && chance(10)) {
            item.task.index += 3;
        }
        usage.push_back(item);
    }
    return usage;
}

/* Passes a changed resource to every process. The distribution of the
   configuration is tested elsewhere, so all processes see the same order
   here. */
void
Simulation::put_resource(const mb_resource_t &resource)
{
    mb_shard_put_resource(reference.shard, &resource);
    for (auto &owner : owners) {
        if (!owner->crashed) {
            mb_shard_put_resource(owner->shard, &resource);
        }
    }
}

/* Returns the replicated state of a task, or NULL. */
const mb_task_t *
Simulation::find_replicated_task(const mb_task_id_t &id) const
{
    return mb_task_find(mb_shard_tasks(reference.shard), id);
}

/* Returns how a task behaves: how long it runs, and that a few tasks fail
   three times or once. */
Behaviour
Simulation::get_behaviour(TaskKey task) const
{
    if (task.first == long_running_job ||
        (service_runs_long && task.first == service_key)) {
        return {60000 * MS, 0};
    }
    uint64_t hash =
        (task.first ^ (task.second + 1) * 0x9e3779b97f4a7c15ULL) * (seed | 1);
    hash ^= hash >> 29;
    if (tasks_succeed) {
        return {(20 + hash % 900) * MS, 0};
    }
    return {(20 + hash % 900) * MS, (hash >> 20) % 10 == 0  ? 3u
                                    : (hash >> 24) % 5 == 0 ? 1u
                                                            : 0u};
}

/* Lets an owner do what is due, unless it is paused, and schedules its next
   tick. */
void
Simulation::tick_owner(Owner &owner)
{
    uint64_t wait = 20 * MS;
    if (now >= owner.paused_until) {
        uint64_t next = mb_shard_tick(owner.shard);
        uint64_t local = read_owner_clock(&owner);
        wait = std::min<uint64_t>(next > local ? next - local : MS, 50 * MS);
    }
    else {
        wait = owner.paused_until - now;
    }
    schedule_event(std::max<uint64_t>(wait, 4 * MS), Kind::OWNER_TICK,
                   owner.index, owner.writer);
}

/* Replays what an owner has not read yet. Repeated appends are recognized by
   their sequence number and skipped. */
void
Simulation::replay_log(Owner &owner)
{
    while (owner.next_offset < log.size()) {
        const LogRecord &entry = log[owner.next_offset];
        uint64_t offset = owner.next_offset++;
        if (owner.last_sequences[entry.writer] >= entry.sequence) {
            continue;
        }
        owner.last_sequences[entry.writer] = entry.sequence;
        trace("read", owner.writer, offset, owner.index);
        bool own = entry.writer == owner.writer;
        if (own) {
            owner.appending = false;
        }
        mb_record_t record = {};
        record.offset = offset;
        record.time_ms = now / MS;
        record.writer = entry.writer;
        record.sequence = entry.sequence;
        record.type = MB_RECORD_DATA;
        record.payload = to_view(entry.payload);
        owner.replica.apply(owner.replica.context, &record, own);
    }
}

/* Sends the record of an owner to the log. It may be lost, delayed or arrive
   twice; it is sent again until the owner has read it back. */
void
Simulation::send_append(Owner &owner)
{
    uint64_t id = ++serial;
    if (!owner.log_unreachable && !log_down && !chance(no_faults ? 0 : 5)) {
        appends[id] = {owner.writer, owner.sequence, owner.payload};
        schedule_event(MS + random_below(log_delay_us), Kind::LOG_ARRIVE,
                       owner.index, id);
        if (chance(5)) {
            schedule_event(MS + random_below(60 * MS), Kind::LOG_ARRIVE,
                           owner.index, id);
        }
    }
    schedule_event(100 * MS, Kind::LOG_RETRY, owner.index, owner.writer,
                   static_cast<uint32_t>(owner.sequence));
}

/* An append has reached the log: lets the reference replay it and checks the
   quota. */
void
Simulation::append_to_log(uint32_t, uint64_t id)
{
    auto found = appends.find(id);
    if (found == appends.end() || log_down) {
        return;
    }
    trace("log", found->second.writer, log.size(),
          static_cast<uint64_t>(found->second.payload[1]) +
              found->second.sequence * 100);
    log.push_back(found->second);
    replay_log(reference);
    check_quota();
    for (auto entry = latest_attempt.begin(); entry != latest_attempt.end();) {
        /* Tasks of a deleted job may run again under the same name. */
        bool known = mb_task_job_find(mb_shard_tasks(reference.shard),
                                      entry->first.first) != nullptr;
        finished_tasks.erase(known ? TaskKey(0, 0) : entry->first);
        entry = known ? std::next(entry) : latest_attempt.erase(entry);
    }
}

/* Passes a response to an owner. */
static void
deliver_response(Owner &owner, uint64_t key, const Response &in)
{
    response_buffer.incarnation = in.incarnation;
    response_buffer.highest_token = in.token;
    response_buffer.running_count = static_cast<uint32_t>(in.running.size());
    response_buffer.finished_count = static_cast<uint32_t>(in.finished.size());
    response_buffer.usage_count = static_cast<uint32_t>(in.usage.size());
    std::copy(in.usage.begin(), in.usage.end(), response_buffer.usage);
    std::copy(in.running.begin(), in.running.end(), response_buffer.running);
    for (size_t i = 0; i < in.finished.size(); i++) {
        response_buffer.finished[i] = {in.finished[i].id,
                                       in.finished[i].exit_code,
                                       to_view(in.finished[i].checkpoint)};
    }
    mb_shard_handle_sync_response(owner.shard, key, &response_buffer);
}

/* Processes one event. Events of a process that has been replaced are
   dropped; those of a paused owner or worker are delayed to the end of the
   pause. */
void
Simulation::handle(const Event &event)
{
    Owner *owner =
        event.target < owners.size() ? owners[event.target].get() : nullptr;
    switch (event.kind) {
    case Kind::OWNER_TICK:
        if (owner->writer == event.serial && !owner->crashed) {
            tick_owner(*owner);
        }
        break;
    case Kind::LOG_POLL:
        if (owner->writer == event.serial && !owner->crashed) {
            if (now >= owner->paused_until && !owner->log_unreachable &&
                !log_down) {
                replay_log(*owner);
            }
            schedule_event(10 * MS + random_below(20 * MS), Kind::LOG_POLL,
                           event.target, event.serial);
        }
        break;
    case Kind::LOG_ARRIVE:
        append_to_log(event.target, event.serial);
        break;
    case Kind::LOG_RETRY:
        if (owner->writer == event.serial && !owner->crashed &&
            owner->appending && owner->sequence == event.detail) {
            send_append(*owner);
        }
        break;
    case Kind::REQUEST: {
        auto found = requests.find(event.serial);
        deliver_request(event.target, found->second);
        requests.erase(found);
        break;
    }
    case Kind::RESPONSE:
    case Kind::TIMEOUT:
        if (!owner->crashed && now < owner->paused_until) {
            schedule_event(owner->paused_until - now, event.kind, event.target,
                           event.serial, event.detail);
            break;
        }
        if (!owner->crashed &&
            owner->pending_syncs[event.detail] == event.serial) {
            owner->pending_syncs[event.detail] = 0;
            uint64_t key = workers[event.detail].key;
            if (event.kind == Kind::RESPONSE) {
                deliver_response(*owner, key, responses[event.serial]);
            }
            else {
                mb_shard_handle_sync_failure(owner->shard, key);
            }
        }
        if (event.kind == Kind::RESPONSE) {
            responses.erase(event.serial);
        }
        break;
    case Kind::TASK_END: {
        Worker &worker = workers[event.target];
        if (now < worker.paused_until) {
            schedule_event(worker.paused_until - now + 1, event.kind,
                           event.target, event.serial);
            break;
        }
        for (auto &entry : worker.running) {
            if (entry.second.serial == event.serial) {
                bool failed = worker.fails_tasks ||
                              bad_jobs.count(entry.first.first) > 0 ||
                              entry.second.start.id.attempt <=
                                  get_behaviour(entry.first).failures;
                end_task(worker, TaskKey(entry.first), failed ? 1 : 0, "");
                break;
            }
        }
        break;
    }
    case Kind::LEASE_EXPIRY: {
        Worker &worker = workers[event.target];
        /* A paused worker notices the expiry when it resumes. */
        if (!worker.crashed && now >= worker.lease_end &&
            now >= worker.paused_until) {
            expire_lease(event.target);
        }
        break;
    }
    case Kind::WORKER_RESUME: {
        Worker &worker = workers[event.target];
        if (now < worker.paused_until) {
            break;
        }
        if (now >= worker.lease_end) {
            expire_lease(event.target);
        }
        while (!worker.inbox.empty()) {
            Request request = std::move(worker.inbox.front());
            worker.inbox.pop_front();
            process_request(event.target, request);
        }
        break;
    }
    case Kind::FAULT:
        if (!no_faults) {
            inject_fault();
            schedule_event(20 * MS + random_below(120 * MS), Kind::FAULT, 0);
        }
        break;
    }
}

/* Returns whether a job is closed, or a process can explain why it will not
   be. */
bool
Simulation::is_explained(const mb_resource_t &job) const
{
    bool explained = false;
    auto visit = [](void *context, const mb_explain_t *part) {
        if (part->part == MB_EXPLAIN_JOB &&
            (part->body.job.closed ||
             part->body.job.wait == MB_WAIT_TOO_LARGE ||
             part->body.job.wait == MB_WAIT_CANCELLED)) {
            *static_cast<bool *>(context) = true;
        }
    };
    for (const auto &owner : owners) {
        (void)mb_shard_explain(owner->shard, MB_RESOURCE_JOB,
                               mb_buf_view(&job.name), visit, &explained);
    }
    return explained;
}

/* Returns whether nothing runs and every job has ended or is explained. */
bool
Simulation::is_settled() const
{
    for (const auto &job : jobs) {
        const mb_job_tasks_t *tasks = mb_task_job_find(
            mb_shard_tasks(reference.shard),
            mb_shard_job_key(job.kind, mb_buf_view(&job.name)));
        if (tasks != nullptr && (tasks->counts[MB_TASK_ASSIGNED] > 0 ||
                                 tasks->counts[MB_TASK_RUNNING] > 0)) {
            return false;
        }
        if (job.kind == MB_RESOURCE_JOB && !is_explained(job)) {
            return false;
        }
    }
    return running_on.empty();
}

void
Simulation::run(uint64_t faults_end_us, uint64_t end_us)
{
    schedule_event(100 * MS, Kind::FAULT, 0);
    while (!queue.empty() && violation.empty()) {
        Event event = queue.top();
        if (event.time_us >= end_us) {
            /* The event stays queued for a later call of run. */
            now = end_us;
            return;
        }
        queue.pop();
        now = event.time_us;
        if (!no_faults && now >= faults_end_us) {
            stop_faults();
        }
        if (no_faults && !run_when_settled && events >= EVENTS_MIN &&
            events % 64 == 0 && is_settled()) {
            settled = true;
            return;
        }
        events++;
        handle(event);
    }
}

} // namespace shard_simulation

#include "shard_simulation_faults.h"
#include "shard_simulation_workers.h"

#endif
