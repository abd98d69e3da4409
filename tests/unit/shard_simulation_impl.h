/* Implementation of shard_simulation.h. */
#ifndef SHARD_SIMULATION_IMPL_H
#define SHARD_SIMULATION_IMPL_H
#include <cstring>

#include "shard_simulation.h"

namespace shard_world {

static mb_sync_response_t scratch;

/* Packs a text as a view. */
static mb_str_t
view(const std::string &text)
{
    return {text.data(), text.size()};
}

static uint64_t
owner_now(void *context)
{
    auto *owner = static_cast<Owner *>(context);
    uint64_t now = owner->offset_us +
                   static_cast<uint64_t>(
                       static_cast<double>(owner->world->now) * owner->rate);
    /* As with a real clock, two reads are never equal. */
    owner->last_read_us = std::max(now, owner->last_read_us + 1);
    return owner->last_read_us;
}

static void
owner_append(void *context, const mb_shard_record_t *record)
{
    auto *owner = static_cast<Owner *>(context);
    mb_buf_t bytes = {};
    mb_shard_record_encode(&bytes, record);
    owner->payload.assign(bytes.data, bytes.len);
    mb_buf_finish(&bytes);
    owner->sequence++;
    owner->appending = true;
    owner->world->send_append(*owner);
}

static void
owner_sync(void *context, uint64_t key, mb_str_t, const mb_sync_request_t *in)
{
    auto *owner = static_cast<Owner *>(context);
    World *world = owner->world;
    uint32_t index = 0;
    while (world->workers[index].key != key) {
        index++;
    }
    Request request = {owner->index, ++world->serial,
                       in->token,    in->incarnation,
                       in->lease_ms, {},
                       {},           {}};
    for (uint32_t i = 0; i < in->start_count; i++) {
        const mb_sync_start_t &start = in->starts[i];
        request.starts.push_back(
            {start.id, start.size,
             std::string(start.checkpoint.data, start.checkpoint.len)});
    }
    world->throttles += in->throttle_count;
    request.stops.assign(in->stops, in->stops + in->stop_count);
    request.acks.assign(in->acks, in->acks + in->ack_count);
    owner->waiting[index] = request.serial;
    world->push(SYNC_TIMEOUT_MS * MS, Kind::TIMEOUT, owner->index,
                request.serial, index);
    if ((owner->out_cut >> index & 1) == 0) {
        uint64_t id = request.serial;
        world->requests.emplace(id, std::move(request));
        world->push(MS + world->below(world->chance(5) ? 150 * MS : 8 * MS),
                    Kind::REQUEST, index, id);
    }
}

World::World(uint64_t seed_of) : seed(seed_of), random(seed_of)
{
    uint32_t count = 2 + static_cast<uint32_t>(below(3));
    for (uint32_t i = 0; i < count; i++) {
        Worker worker;
        worker.name = "w" + std::to_string(i);
        worker.failure_domain = i % 2 == 0 ? "d0" : "d1";
        worker.key = mb_shard_worker_key(view(worker.name));
        worker.capacity = {4000, 8192, static_cast<uint32_t>(below(2))};
        worker.incarnation = random() | 1;
        worker.rate = 1 - DRIFT + 2 * DRIFT * below(1000) / 1000.0;
        workers.push_back(std::move(worker));
    }
    add_jobs();
    init_owner(auditor, UINT32_MAX);
    for (uint32_t i = 0; i < 3; i++) {
        owners.push_back(std::make_unique<Owner>());
        init_owner(*owners.back(), i);
        mb_shard_set_config_ready(owners.back()->shard);
    }
}

World::~World()
{
    mb_shard_free(auditor.shard);
    for (auto &owner : owners) {
        mb_shard_free(owner->shard);
    }
    for (auto &job : jobs) {
        mb_resource_finish(&job);
    }
}

void
World::push(uint64_t delay, Kind kind, uint32_t who, uint64_t id,
            uint32_t other)
{
    queue.push({now + delay, ++order, kind, who, id, other});
}

void
World::fail(const std::string &text)
{
    if (violation.empty()) {
        violation = text + " at " + std::to_string(now) + " us";
    }
}

void
World::trace(const char *what, uint64_t a, uint64_t b, uint64_t c) const
{
    static const bool wanted = getenv("MB_HISTORY_TRACE") != nullptr;
    if (wanted) {
        std::printf("%8lu us %-16s %lx %lu %lu\n", now, what, a, b, c);
    }
}

void
World::init_owner(Owner &owner, uint32_t index)
{
    mb_shard_config_t config = {{LEASE_MS, MARGIN_MS, 300, GRACE_MS},
                                0,
                                1,
                                WORKER_LEASE_MS,
                                150,
                                100,
                                seed % 2 == 0 ? 0u : 200u,
                                1000};
    mb_shard_callbacks_t callbacks = {owner_append, owner_sync, nullptr,
                                      nullptr, &owner};
    mb_clock_t clock = {owner_now, &owner};
    mb_log_t quiet_log = mb_log_null();
    owner.world = this;
    owner.index = index;
    owner.writer = random();
    owner.rate = 1 - DRIFT + 2 * DRIFT * below(1000) / 1000.0;
    owner.offset_us = below(1000 * MS);
    owner.last_read_us = 0;
    owner.sequence = 0;
    owner.appending = false;
    owner.read = 0;
    owner.seen.clear();
    owner.waiting.assign(workers.size(), 0);
    mb_rng_seeded_init(&owner.seeded, random());
    mb_rng_t rng = mb_rng_from_seeded(&owner.seeded);
    owner.shard = mb_shard_new(&config, &callbacks, &clock, &rng, &quiet_log,
                               owner.writer);
    owner.replica = mb_shard_record_callbacks(owner.shard);
    feed(owner);
    if (index != UINT32_MAX) {
        push(below(50 * MS), Kind::TICK, index, owner.writer);
        push(below(50 * MS), Kind::POLL, index, owner.writer);
    }
}

/* A new process starts with a snapshot of the auditor or from the start. */
void
World::restart_owner(Owner &owner)
{
    mb_shard_free(owner.shard);
    init_owner(owner, owner.index);
    owner.dead = false;
    if (chance(50)) {
        auto emit = [](void *context, mb_str_t chunk) {
            auto *target = static_cast<Owner *>(context);
            if (!target->replica.load(target->replica.context, chunk)) {
                target->world->fail("snapshot not loaded");
            }
        };
        owner.replica.reset(owner.replica.context);
        auditor.replica.save(auditor.replica.context, emit, &owner);
        owner.read = auditor.read;
        owner.seen = auditor.seen;
    }
    mb_shard_set_config_ready(owner.shard);
}

void
World::feed(Owner &owner)
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
        mb_resource_init(&resource, MB_RESOURCE_WORKER, view(worker.name));
        resource.spec.worker.capacity = worker.capacity;
        mb_buf_set(&resource.spec.worker.failure_domain,
                   view(worker.failure_domain));
        mb_shard_put_resource(owner.shard, &resource);
        mb_resource_finish(&resource);
    }
    for (const auto &job : jobs) {
        if (!quiet || job.kind == MB_RESOURCE_JOB) {
            mb_shard_put_resource(owner.shard, &job);
        }
    }
}

void
World::add_jobs()
{
    uint32_t count = 3 + static_cast<uint32_t>(below(4));
    for (uint32_t i = 0; i < count; i++) {
        mb_resource_t job;
        std::string name = "j" + std::to_string(i);
        mb_resource_init(&job, MB_RESOURCE_JOB, view(name));
        mb_buf_set(&job.spec.job.team,
                   chance(30) ? MB_STR_LIT("small") : MB_STR_LIT("team"));
        mb_buf_set(&job.spec.job.command, MB_STR_LIT("sleep"));
        job.revision = i + 1;
        job.spec.job.task_class =
            static_cast<mb_class_t>(below(MB_CLASS_COUNT));
        job.spec.job.count = 1 + static_cast<uint32_t>(below(6));
        job.spec.job.size = {static_cast<uint32_t>(500 + below(2500)),
                             static_cast<uint32_t>(100 + below(4000)), 0};
        job.spec.job.run_time_ms = static_cast<uint32_t>(below(1000));
        job.spec.job.max_failures = 2;
        if (i == 1) { /* only in one failure domain */
            mb_buf_set(&job.spec.job.constraint, MB_STR_LIT("d0"));
            constrained_job = mb_shard_job_key(job.kind, view(name));
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

/* Declares other jobs in place of the random ones. */
void
World::replace_jobs(const std::vector<mb_resource_t> &with)
{
    for (auto &job : jobs) {
        delete_job(job);
        mb_resource_finish(&job);
    }
    jobs = with;
    for (const auto &job : jobs) {
        declare(job);
    }
}

/* Checks that the tasks held by a team stay within its quota, in every state
   of the log. */
void
World::check_quota()
{
    uint64_t used = 0;
    for (const auto &job : jobs) {
        const mb_job_tasks_t *tasks =
            mb_task_job(mb_shard_tasks(auditor.shard),
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
        fail("team over its quota");
    }
}

/* Usage as a worker reports it: late, four times off, and now and then of a
   task that it does not have. */
std::vector<mb_usage_t>
World::report(const Worker &worker)
{
    std::vector<mb_usage_t> usage;
    if (latency_us == 0 && !chance(25)) {
        return usage;
    }
    for (const auto &entry : worker.running) {
        mb_usage_t item = {};
        item.task = entry.second.start.id.task;
        item.cpu_milli = entry.second.start.size.cpu_milli *
                         (1 + static_cast<uint32_t>(below(16))) / 4;
        item.memory_mb = entry.second.start.size.memory_mb;
        item.sample_count = 1;
        item.samples[0] = {latency_us != 0
                               ? latency_us
                               : 1000 + static_cast<uint32_t>(below(20000)),
                           static_cast<uint32_t>(below(3000))};
        if (latency_us == 0 && chance(10)) {
            item.task.index += 3;
        }
        usage.push_back(item);
    }
    return usage;
}

/* Hands a changed resource to every process; the config stream is another
   part of the system, so its order is the same everywhere here. */
void
World::declare(const mb_resource_t &resource)
{
    mb_shard_put_resource(auditor.shard, &resource);
    for (auto &owner : owners) {
        if (!owner->dead) {
            mb_shard_put_resource(owner->shard, &resource);
        }
    }
}

const mb_task_t *
World::truth(const mb_task_id_t &id) const
{
    return mb_task_find(mb_shard_tasks(auditor.shard), id);
}

Behaviour
World::behaviour(TaskKey task) const
{
    if (task.first == long_job ||
        (long_service && task.first == service_key)) {
        return {60000 * MS, 0};
    }
    uint64_t mixed =
        (task.first ^ (task.second + 1) * 0x9e3779b97f4a7c15ULL) * (seed | 1);
    mixed ^= mixed >> 29;
    if (sound) {
        return {(20 + mixed % 900) * MS, 0};
    }
    return {(20 + mixed % 900) * MS, (mixed >> 20) % 10 == 0  ? 3u
                                     : (mixed >> 24) % 5 == 0 ? 1u
                                                              : 0u};
}

void
World::tick(Owner &owner)
{
    uint64_t wait = 20 * MS;
    if (now >= owner.paused_until) {
        uint64_t next = mb_shard_tick(owner.shard);
        uint64_t local = owner_now(&owner);
        wait = std::min<uint64_t>(next > local ? next - local : MS, 50 * MS);
    }
    else {
        wait = owner.paused_until - now;
    }
    push(std::max<uint64_t>(wait, 4 * MS), Kind::TICK, owner.index,
         owner.writer);
}

/* Replays what this process has not read yet, without duplicates. */
void
World::poll(Owner &owner)
{
    while (owner.read < log.size()) {
        const LogRecord &entry = log[owner.read];
        uint64_t offset = owner.read++;
        if (owner.seen[entry.writer] >= entry.sequence) {
            continue;
        }
        owner.seen[entry.writer] = entry.sequence;
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
        record.payload = view(entry.payload);
        owner.replica.apply(owner.replica.context, &record, own);
    }
}

void
World::send_append(Owner &owner)
{
    uint64_t id = ++serial;
    if (!owner.log_cut && !log_down && !chance(quiet ? 0 : 5)) {
        appends[id] = {owner.writer, owner.sequence, owner.payload};
        push(MS + below(log_delay_us), Kind::LOG_ARRIVE, owner.index, id);
        if (chance(5)) {
            push(MS + below(60 * MS), Kind::LOG_ARRIVE, owner.index, id);
        }
    }
    push(100 * MS, Kind::LOG_RETRY, owner.index, owner.writer,
         static_cast<uint32_t>(owner.sequence));
}

void
World::log_arrive(uint32_t, uint64_t id)
{
    auto found = appends.find(id);
    if (found == appends.end() || log_down) {
        return;
    }
    trace("log", found->second.writer, log.size(),
          static_cast<uint64_t>(found->second.payload[1]) +
              found->second.sequence * 100);
    log.push_back(found->second);
    poll(auditor);
    check_quota();
    for (auto entry = started.begin(); entry != started.end();) {
        /* A job that was deleted and forgotten may run again. */
        bool known = mb_task_job(mb_shard_tasks(auditor.shard),
                                 entry->first.first) != nullptr;
        done.erase(known ? TaskKey(0, 0) : entry->first);
        entry = known ? std::next(entry) : started.erase(entry);
    }
}

static void
deliver_response(Owner &owner, uint64_t key, const Response &in)
{
    scratch.incarnation = in.incarnation;
    scratch.highest_token = in.token;
    scratch.running_count = static_cast<uint32_t>(in.running.size());
    scratch.finished_count = static_cast<uint32_t>(in.finished.size());
    scratch.usage_count = static_cast<uint32_t>(in.usage.size());
    std::copy(in.usage.begin(), in.usage.end(), scratch.usage);
    std::copy(in.running.begin(), in.running.end(), scratch.running);
    for (size_t i = 0; i < in.finished.size(); i++) {
        scratch.finished[i] = {in.finished[i].id, in.finished[i].exit_code,
                               view(in.finished[i].checkpoint)};
    }
    mb_shard_handle_sync_response(owner.shard, key, &scratch);
}

void
World::handle(const Event &event)
{
    Owner *owner =
        event.who < owners.size() ? owners[event.who].get() : nullptr;
    switch (event.kind) {
    case Kind::TICK:
        if (owner->writer == event.serial && !owner->dead) {
            tick(*owner);
        }
        break;
    case Kind::POLL:
        if (owner->writer == event.serial && !owner->dead) {
            if (now >= owner->paused_until && !owner->log_cut && !log_down) {
                poll(*owner);
            }
            push(10 * MS + below(20 * MS), Kind::POLL, event.who,
                 event.serial);
        }
        break;
    case Kind::LOG_ARRIVE:
        log_arrive(event.who, event.serial);
        break;
    case Kind::LOG_RETRY:
        if (owner->writer == event.serial && !owner->dead &&
            owner->appending && owner->sequence == event.other) {
            send_append(*owner);
        }
        break;
    case Kind::REQUEST: {
        auto found = requests.find(event.serial);
        deliver_request(event.who, found->second);
        requests.erase(found);
        break;
    }
    case Kind::RESPONSE:
    case Kind::TIMEOUT:
        if (!owner->dead && now < owner->paused_until) {
            push(owner->paused_until - now, event.kind, event.who,
                 event.serial, event.other);
            break;
        }
        if (!owner->dead && owner->waiting[event.other] == event.serial) {
            owner->waiting[event.other] = 0;
            uint64_t key = workers[event.other].key;
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
        Worker &worker = workers[event.who];
        if (now < worker.paused_until) {
            push(worker.paused_until - now + 1, event.kind, event.who,
                 event.serial);
            break;
        }
        for (auto &entry : worker.running) {
            if (entry.second.serial == event.serial) {
                bool bad = worker.fails || entry.second.start.id.attempt <=
                                               behaviour(entry.first).failures;
                end_task(worker, TaskKey(entry.first), bad ? 1 : 0, "");
                break;
            }
        }
        break;
    }
    case Kind::LAPSE: {
        Worker &worker = workers[event.who];
        /* A paused worker lapses at its first step. */
        if (!worker.dead && now >= worker.lease_end &&
            now >= worker.paused_until) {
            lapse(event.who);
        }
        break;
    }
    case Kind::RESUME: {
        Worker &worker = workers[event.who];
        if (now < worker.paused_until) {
            break;
        }
        if (now >= worker.lease_end) {
            lapse(event.who);
        }
        while (!worker.inbox.empty()) {
            Request request = std::move(worker.inbox.front());
            worker.inbox.pop_front();
            process(event.who, request);
        }
        break;
    }
    case Kind::CHAOS:
        if (!quiet) {
            chaos();
            push(20 * MS + below(120 * MS), Kind::CHAOS, 0);
        }
        break;
    }
}

/* Tells whether a job is closed, or a process can tell why it never will. */
bool
World::is_explained(const mb_resource_t &job) const
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

/* Tells whether every job ended or is explained and nothing runs. */
bool
World::is_settled() const
{
    for (const auto &job : jobs) {
        const mb_job_tasks_t *tasks =
            mb_task_job(mb_shard_tasks(auditor.shard),
                        mb_shard_job_key(job.kind, mb_buf_view(&job.name)));
        if (tasks != nullptr && (tasks->counts[MB_TASK_ASSIGNED] > 0 ||
                                 tasks->counts[MB_TASK_RUNNING] > 0)) {
            return false;
        }
        if (job.kind == MB_RESOURCE_JOB && !is_explained(job)) {
            return false;
        }
    }
    return holder.empty();
}

void
World::run(uint64_t chaos_us, uint64_t end_us)
{
    push(100 * MS, Kind::CHAOS, 0);
    while (!queue.empty() && violation.empty()) {
        Event event = queue.top();
        if (event.at >= end_us) {
            /* The event stays for a run that goes on from here. */
            now = end_us;
            return;
        }
        queue.pop();
        now = event.at;
        if (!quiet && now >= chaos_us) {
            heal();
        }
        if (quiet && !to_the_end && events >= EVENTS_MIN && events % 64 == 0 &&
            is_settled()) {
            settled = true;
            return;
        }
        events++;
        handle(event);
    }
}

} // namespace shard_world

#include "shard_simulation_faults.h"
#include "shard_simulation_workers.h"

#endif
