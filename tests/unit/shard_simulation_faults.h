/* Faults of the simulation in shard_simulation.h, injected at random: crashes,
   pauses, lost messages, restarts, and declarations that reach the processes
   in different ways. Included by shard_simulation_impl.h. */
#ifndef SHARD_SIMULATION_FAULTS_H
#define SHARD_SIMULATION_FAULTS_H

#include "shard_simulation.h"

namespace shard_simulation {

/* Crashes, restarts, pauses or isolates an owner, or makes it release its
   lease. */
void
Simulation::inject_owner_fault(Owner &owner)
{
    uint32_t bit = 1u << random_below(workers.size());
    switch (random_below(7)) {
    case 0:
        owner.crashed = !owner.crashed;
        if (!owner.crashed) {
            restart_owner(owner);
        }
        break;
    case 1:
        owner.paused_until =
            now + random_below(2 * LEASE_MS + WORKER_LEASE_MS) * MS;
        trace("owner paused", owner.writer, owner.index, owner.paused_until);
        break;
    case 2:
        owner.log_unreachable = !owner.log_unreachable;
        break;
    case 3:
        owner.lost_requests ^= bit;
        break;
    case 4:
        owner.lost_responses ^= bit;
        break;
    case 5:
        owner.lost_requests = owner.lost_responses =
            chance(50) ? 0 : UINT32_MAX;
        break;
    default:
        if (!owner.crashed && chance(30)) {
            mb_shard_release_lease(owner.shard);
        }
        break;
    }
}

/* Crashes, restarts or pauses a worker, makes its tasks fail, changes its
   declaration, or evicts one of its tasks. */
void
Simulation::inject_worker_fault(uint32_t index)
{
    Worker &worker = workers[index];
    switch (random_below(8)) {
    case 0:
        if (worker.crashed || chance(50)) {
            restart_worker(index);
            worker.crashed = false;
            worker.inbox.clear();
        }
        else {
            worker.crashed = true;
            restart_worker(index);
        }
        break;
    case 1:
        worker.paused_until = now + random_below(2 * WORKER_LEASE_MS) * MS;
        schedule_event(worker.paused_until - now, Kind::WORKER_RESUME, index);
        trace("worker paused", 0, index, worker.paused_until);
        break;
    case 2:
        worker.fails_tasks = !worker.fails_tasks;
        break;
    case 3:
        change_worker_declaration(worker);
        break;
    default:
        /* Evicts one task that runs on the worker. */
        for (const auto &entry : worker.running) {
            for (auto &owner : owners) {
                if (!owner->crashed && now >= owner->paused_until) {
                    (void)mb_shard_evict(owner->shard,
                                         entry.second.start.id.task);
                }
            }
            break;
        }
        break;
    }
}

/* Deletes a job at every process. The caller may declare it again under the
   same name. */
void
Simulation::delete_job(const mb_resource_t &job)
{
    mb_str_t name = mb_buf_view(&job.name);
    mb_shard_delete_resource(reference.shard, job.kind, name);
    for (auto &owner : owners) {
        if (!owner->crashed) {
            mb_shard_delete_resource(owner->shard, job.kind, name);
        }
    }
}

/* Changes the rack of a worker at each owner or, during faults, deletes the
   worker there, independently, so that the owners may disagree. After the
   faults every owner has the worker declared. */
void
Simulation::change_worker_declaration(const Worker &worker)
{
    mb_resource_t resource;
    mb_resource_init(&resource, MB_RESOURCE_WORKER, to_view(worker.name));
    resource.spec.worker.capacity = worker.capacity;
    mb_buf_set(&resource.spec.worker.failure_domain,
               to_view(worker.failure_domain));
    mb_buf_set(&resource.spec.worker.rack,
               chance(50) ? MB_STR_LIT("r1") : MB_STR_LIT("r2"));
    for (auto &owner : owners) {
        if (owner->crashed) {
            continue;
        }
        if (!no_faults && chance(40)) {
            mb_shard_delete_resource(owner->shard, MB_RESOURCE_WORKER,
                                     to_view(worker.name));
        }
        else {
            mb_shard_put_resource(owner->shard, &resource);
        }
    }
    mb_resource_finish(&resource);
}

/* Changes the declaration of a random job or service, or deletes and declares
   it again. */
void
Simulation::change_random_job()
{
    mb_resource_t &job = jobs[random_below(jobs.size())];
    job.revision += 100;
    if (job.kind == MB_RESOURCE_SERVICE) {
        job.spec.service.instances = static_cast<uint32_t>(random_below(4));
        put_resource(job);
        return;
    }
    switch (random_below(7)) {
    case 0:
        job.spec.job.count = 1 + static_cast<uint32_t>(random_below(8));
        break;
    case 1:
        job.spec.job.size.cpu_milli =
            static_cast<uint32_t>(500 + random_below(2500));
        break;
    case 2:
        job.spec.job.cancelled = chance(30);
        break;
    case 5:
        delete_job(job);
        break;
    case 3:
        job.spec.job.task_class =
            static_cast<mb_class_t>(random_below(MB_CLASS_COUNT));
        break;
    case 4:
        if (chance(10)) { /* cancels all jobs */
            for (auto &each_job : jobs) {
                if (each_job.kind == MB_RESOURCE_JOB) {
                    each_job.spec.job.cancelled = true;
                    put_resource(each_job);
                }
            }
        }
        break;
    default:
        break;
    }
    put_resource(job);
}

/* Injects one random fault. */
void
Simulation::inject_fault()
{
    uint64_t choice = random_below(10);
    if (choice < 4) {
        inject_owner_fault(*owners[random_below(owners.size())]);
    }
    else if (choice < 7) {
        inject_worker_fault(
            static_cast<uint32_t>(random_below(workers.size())));
    }
    else if (choice < 8) {
        log_down = !log_down && chance(50);
        log_delay_us = (chance(20) ? 400 : 5) * MS;
    }
    else {
        change_random_job();
    }
}

/* Ends all faults, so that the run can settle. */
void
Simulation::stop_faults()
{
    no_faults = true;
    log_down = false;
    log_delay_us = 5 * MS;
    for (auto &owner : owners) {
        /* A process that released its lease does not claim again. Hence the
           first process, those that have crashed and half of the others are
           replaced. */
        owner->paused_until = 0;
        owner->log_unreachable = false;
        owner->lost_requests = owner->lost_responses = 0;
        if (owner->crashed || chance(50)) {
            restart_owner(*owner);
        }
    }
    restart_owner(*owners[0]);
    for (const auto &job : jobs) {
        /* Services never end by themselves, so they are deleted. */
        if (job.kind == MB_RESOURCE_SERVICE) {
            delete_job(job);
        }
        else {
            put_resource(job);
        }
    }
    for (const auto &worker : workers) {
        change_worker_declaration(worker);
    }
    for (uint32_t i = 0; i < workers.size(); i++) {
        workers[i].fails_tasks = false;
        if (workers[i].crashed) {
            workers[i].crashed = false;
            workers[i].inbox.clear();
            restart_worker(i);
        }
    }
}

} // namespace shard_simulation

#endif
