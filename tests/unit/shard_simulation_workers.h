/* The workers of the simulation in shard_simulation.h, and the invariants that
   are checked when they start tasks and forget results. Included by
   shard_simulation_impl.h. */
#ifndef SHARD_SIMULATION_WORKERS_H
#define SHARD_SIMULATION_WORKERS_H

#include "shard_simulation.h"

namespace shard_simulation {

/* Returns a checkpoint that no other attempt or time can produce. */
std::string
Simulation::make_checkpoint(const Worker &worker, const Running &running) const
{
    return worker.name + ":" + std::to_string(running.start.id.attempt) + ":" +
           std::to_string(now);
}

/* Starts a task, unless the same attempt runs or has finished already, and
   checks that the start is permitted. */
void
Simulation::start_task(uint32_t index, const Start &start)
{
    Worker &worker = workers[index];
    TaskKey task = {start.id.task.job, start.id.task.index};
    const mb_task_t *replicated = find_replicated_task(start.id.task);
    auto existing = worker.running.find(task);
    if (existing != worker.running.end() &&
        existing->second.start.id.attempt == start.id.attempt) {
        return;
    }
    for (const auto &finished : worker.finished) {
        if (mb_task_id_equal(finished.id.task, start.id.task) &&
            finished.id.attempt == start.id.attempt) {
            return;
        }
    }
    trace("start", task.first, task.second * 100 + start.id.attempt, index);
    if (replicated != nullptr) {
        trace("record", replicated->worker, replicated->attempt,
              replicated->state);
    }
    /* A worker whose lease expired while it is paused does not count: it
       executes nothing, and stops its tasks when it resumes. */
    auto runner = running_on.find(task);
    if (runner != running_on.end() &&
        (now >= workers[runner->second].paused_until ||
         now < workers[runner->second].lease_end)) {
        record_violation("task started in two places");
    }
    if (finished_tasks.count(task) != 0) {
        record_violation("finished task started again");
    }
    if (latest_attempt[task] >= start.id.attempt) {
        record_violation("attempt started twice");
    }
    if (replicated == nullptr || !mb_task_is_held(replicated) ||
        replicated->attempt != start.id.attempt ||
        replicated->worker != worker.key) {
        record_violation("task started without its record");
    }
    else if (start.checkpoint !=
             std::string(mb_task_checkpoint(replicated).data,
                         mb_task_checkpoint(replicated).len)) {
        record_violation("task resumed from another checkpoint");
    }
    if (task.first == constrained_job && worker.failure_domain != "d0") {
        record_violation("constraint violated");
    }
    mb_size_add(&worker.used, &start.size);
    if (!mb_size_fits(&worker.used, &worker.capacity)) {
        record_violation("worker over capacity");
    }
    worker.starts++;
    task_restarts += start.id.attempt > 1 ? 1 : 0;
    latest_attempt[task] = start.id.attempt;
    running_on[task] = index;
    Behaviour behaviour = get_behaviour(task);
    bool fails = worker.fails_tasks || bad_jobs.count(task.first) > 0;
    uint64_t run_us = fails ? 5 * MS : behaviour.run_us;
    worker.running[task] = {start, now + run_us, ++serial};
    schedule_event(run_us, Kind::TASK_END, index, serial);
}

/* Ends a running task and keeps its result until it is acknowledged. */
void
Simulation::end_task(Worker &worker, TaskKey task, uint32_t exit_code,
                     const std::string &checkpoint)
{
    Running &running = worker.running[task];
    trace("end", task.first, task.second * 100 + running.start.id.attempt,
          exit_code);
    mb_size_subtract(&worker.used, &running.start.size);
    successes += exit_code == 0 ? 1 : 0;
    worker.finished.push_back({running.start.id, exit_code, checkpoint});
    worker.running.erase(task);
    running_on.erase(task);
}

/* Removes an acknowledged result. Checks that the end of the attempt is in the
   log, because nobody else knows of the result any more. */
void
Simulation::acknowledge(Worker &worker, const mb_attempt_t &id)
{
    for (size_t i = 0; i < worker.finished.size(); i++) {
        Finished finished = worker.finished[i];
        if (!mb_task_id_equal(finished.id.task, id.task) ||
            finished.id.attempt != id.attempt) {
            continue;
        }
        const mb_task_t *replicated = find_replicated_task(id.task);
        if (replicated != nullptr && mb_task_is_held(replicated) &&
            replicated->attempt == id.attempt) {
            record_violation("result acknowledged before its record");
        }
        if (finished.exit_code == 0 && replicated != nullptr &&
            id.task.job != service_key && replicated->attempt == id.attempt) {
            if (replicated->state != MB_TASK_FINISHED) {
                record_violation("finished task not recorded as finished");
            }
            finished_tasks[{id.task.job, id.task.index}] = true;
        }
        /* Tasks of cancelled jobs are stopped without a checkpoint. */
        if (!finished.checkpoint.empty() && replicated != nullptr &&
            replicated->attempt == id.attempt &&
            replicated->state == MB_TASK_PENDING &&
            std::string(mb_task_checkpoint(replicated).data,
                        mb_task_checkpoint(replicated).len) !=
                finished.checkpoint) {
            record_violation("checkpoint of a stopped task lost");
        }
        worker.finished.erase(worker.finished.begin() + static_cast<long>(i));
        return;
    }
}

/* Stops everything on a worker whose lease has expired, as in a restart. */
void
Simulation::expire_lease(uint32_t index)
{
    lease_expiries++;
    restart_worker(index);
}

/* Drops all tasks and results of a worker and gives it a new incarnation. */
void
Simulation::restart_worker(uint32_t index)
{
    Worker &worker = workers[index];
    trace("worker restart", worker.incarnation, index, now);
    for (const auto &entry : worker.running) {
        auto runner = running_on.find(entry.first);
        if (runner != running_on.end() && runner->second == index) {
            running_on.erase(runner);
        }
    }
    worker.running.clear();
    worker.finished.clear();
    worker.used = {};
    worker.incarnation = random() | 1;
}

/* Passes a request to a worker; a paused one reads it when it resumes. */
void
Simulation::deliver_request(uint32_t index, Request &request)
{
    Worker &worker = workers[index];
    if (worker.crashed) {
        return;
    }
    if (now < worker.paused_until) {
        worker.inbox.push_back(std::move(request));
        return;
    }
    process_request(index, request);
}

/* Carries out a request, unless its token is outdated, and responds. Starts
   for another incarnation are refused. */
void
Simulation::process_request(uint32_t index, Request &request)
{
    Worker &worker = workers[index];
    trace("sync", request.token, index * 10 + request.owner, request.lease_ms);
    if (request.token >= worker.token) {
        worker.token = request.token;
        if (request.lease_ms > 0) {
            worker.lease_end =
                now + static_cast<uint64_t>(request.lease_ms * MS /
                                            worker.clock_rate);
            schedule_event(worker.lease_end - now, Kind::LEASE_EXPIRY, index);
        }
        for (const auto &id : request.acks) {
            acknowledge(worker, id);
        }
        for (const auto &start : request.starts) {
            if (request.incarnation == worker.incarnation) {
                start_task(index, start);
            }
        }
        for (const auto &stop : request.stops) {
            TaskKey task = {stop.id.task.job, stop.id.task.index};
            auto found = worker.running.find(task);
            if (found != worker.running.end() &&
                found->second.start.id.attempt == stop.id.attempt) {
                task_stops++;
                end_task(worker, task, MB_EXIT_STOPPED,
                         stop.checkpoint
                             ? make_checkpoint(worker, found->second)
                             : "");
            }
        }
    }
    Owner &owner = *owners[request.owner];
    if ((owner.lost_responses >> index & 1) != 0) {
        return;
    }
    Response response = {request.serial,  worker.incarnation,
                         worker.token,    {},
                         worker.finished, report_usage(worker)};
    for (const auto &entry : worker.running) {
        response.running.push_back(entry.second.start.id);
    }
    responses[request.serial] = std::move(response);
    schedule_event(MS + random_below(8 * MS), Kind::RESPONSE, request.owner,
                   request.serial, index);
}

} // namespace shard_simulation

#endif
