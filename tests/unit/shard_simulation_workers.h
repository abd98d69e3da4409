/* Workers of the world of shard_simulation.h: what they run, report, refuse
   and lose. Included by shard_simulation_impl.h. */
#ifndef SHARD_SIMULATION_WORKERS_H
#define SHARD_SIMULATION_WORKERS_H

#include "shard_simulation.h"

namespace shard_world {

std::string
World::progress(const Worker &worker, const Running &running) const
{
    return worker.name + ":" + std::to_string(running.start.id.attempt) + ":" +
           std::to_string(now);
}

void
World::start_task(uint32_t index, const Start &start)
{
    Worker &worker = workers[index];
    TaskKey task = {start.id.task.job, start.id.task.index};
    const mb_task_t *row = truth(start.id.task);
    auto same = worker.running.find(task);
    if (same != worker.running.end() &&
        same->second.start.id.attempt == start.id.attempt) {
        return;
    }
    for (const auto &finished : worker.finished) {
        if (mb_task_id_equal(finished.id.task, start.id.task) &&
            finished.id.attempt == start.id.attempt) {
            return;
        }
    }
    trace("start", task.first, task.second * 100 + start.id.attempt, index);
    if (row != nullptr) {
        trace("record", row->worker, row->attempt, row->state);
    }
    /* A worker that is paused past its lease executes nothing and stops its
       tasks before its next step, so it does not run the task. */
    auto held = holder.find(task);
    if (held != holder.end() && (now >= workers[held->second].paused_until ||
                                 now < workers[held->second].lease_end)) {
        fail("task started in two places");
    }
    if (done.count(task) != 0) {
        fail("finished task started again");
    }
    if (started[task] >= start.id.attempt) {
        fail("attempt started twice");
    }
    if (row == nullptr || !mb_task_is_held(row) ||
        row->attempt != start.id.attempt || row->worker != worker.key) {
        fail("task started without its record");
    }
    else if (start.checkpoint != std::string(mb_task_checkpoint(row).data,
                                             mb_task_checkpoint(row).len)) {
        fail("task resumed from another checkpoint");
    }
    if (task.first == constrained_job && worker.failure_domain != "d0") {
        fail("constraint violated");
    }
    mb_size_add(&worker.used, &start.size);
    if (!mb_size_fits(&worker.used, &worker.capacity)) {
        fail("worker over capacity");
    }
    worker.starts++;
    moved += start.id.attempt > 1 ? 1 : 0;
    started[task] = start.id.attempt;
    holder[task] = index;
    Behaviour does = behaviour(task);
    uint64_t run = worker.fails ? 5 * MS : does.run_us;
    worker.running[task] = {start, now + run, ++serial};
    push(run, Kind::TASK_END, index, serial);
}

void
World::end_task(Worker &worker, TaskKey task, uint32_t exit_code,
                const std::string &checkpoint)
{
    Running &running = worker.running[task];
    trace("end", task.first, task.second * 100 + running.start.id.attempt,
          exit_code);
    mb_size_subtract(&worker.used, &running.start.size);
    worker.finished.push_back({running.start.id, exit_code, checkpoint});
    worker.running.erase(task);
    holder.erase(task);
}

/* The owner says that the log has the end of an attempt: checks that it has,
   because the worker forgets it now. */
void
World::acknowledge(Worker &worker, const mb_attempt_t &id)
{
    for (size_t i = 0; i < worker.finished.size(); i++) {
        Finished finished = worker.finished[i];
        if (!mb_task_id_equal(finished.id.task, id.task) ||
            finished.id.attempt != id.attempt) {
            continue;
        }
        const mb_task_t *row = truth(id.task);
        if (row != nullptr && mb_task_is_held(row) &&
            row->attempt == id.attempt) {
            fail("result acknowledged before its record");
        }
        if (finished.exit_code == 0 && row != nullptr &&
            id.task.job != service_key && row->attempt == id.attempt) {
            if (row->state != MB_TASK_FINISHED) {
                fail("finished task not recorded as finished");
            }
            done[{id.task.job, id.task.index}] = true;
        }
        /* A task of a cancelled job stops without a checkpoint. */
        if (!finished.checkpoint.empty() && row != nullptr &&
            row->attempt == id.attempt && row->state == MB_TASK_PENDING &&
            std::string(mb_task_checkpoint(row).data,
                        mb_task_checkpoint(row).len) != finished.checkpoint) {
            fail("checkpoint of a stopped task lost");
        }
        worker.finished.erase(worker.finished.begin() + static_cast<long>(i));
        return;
    }
}

/* The lease of a worker is over: everything stops, as in a restart. */
void
World::lapse(uint32_t index)
{
    lapses++;
    restart_worker(index);
}

void
World::restart_worker(uint32_t index)
{
    Worker &worker = workers[index];
    trace("worker restart", worker.incarnation, index, now);
    for (const auto &entry : worker.running) {
        auto held = holder.find(entry.first);
        if (held != holder.end() && held->second == index) {
            holder.erase(held);
        }
    }
    worker.running.clear();
    worker.finished.clear();
    worker.used = {};
    worker.incarnation = random() | 1;
}

void
World::deliver_request(uint32_t index, Request &request)
{
    Worker &worker = workers[index];
    if (worker.dead) {
        return;
    }
    if (now < worker.paused_until) {
        worker.inbox.push_back(std::move(request));
        return;
    }
    process(index, request);
}

void
World::process(uint32_t index, Request &request)
{
    Worker &worker = workers[index];
    trace("sync", request.token, index * 10 + request.owner, request.lease_ms);
    if (request.token >= worker.token) {
        worker.token = request.token;
        if (request.lease_ms > 0) {
            worker.lease_end = now + static_cast<uint64_t>(request.lease_ms *
                                                           MS / worker.rate);
            push(worker.lease_end - now, Kind::LAPSE, index);
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
                evictions++;
                end_task(worker, task, MB_EXIT_STOPPED,
                         stop.checkpoint ? progress(worker, found->second)
                                         : "");
            }
        }
    }
    Owner &owner = *owners[request.owner];
    if ((owner.in_cut >> index & 1) != 0) {
        return;
    }
    Response response = {request.serial,  worker.incarnation, worker.token, {},
                         worker.finished, report(worker)};
    for (const auto &entry : worker.running) {
        response.running.push_back(entry.second.start.id);
    }
    responses[request.serial] = std::move(response);
    push(MS + below(8 * MS), Kind::RESPONSE, request.owner, request.serial,
         index);
}

} // namespace shard_world

#endif
