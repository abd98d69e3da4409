/* Faults of the world of shard_simulation.h: kills, pauses, cuts, restarts and
   racing declarations, drawn at random. Included by shard_simulation_impl.h.
 */
#ifndef SHARD_SIMULATION_FAULTS_H
#define SHARD_SIMULATION_FAULTS_H

#include "shard_simulation.h"

namespace shard_world {

void
World::chaos_owner(Owner &owner)
{
    uint32_t bit = 1u << below(workers.size());
    switch (below(7)) {
    case 0:
        owner.dead = !owner.dead;
        if (!owner.dead) {
            restart_owner(owner);
        }
        break;
    case 1:
        owner.paused_until = now + below(2 * LEASE_MS + WORKER_LEASE_MS) * MS;
        trace("owner paused", owner.writer, owner.index, owner.paused_until);
        break;
    case 2:
        owner.log_cut = !owner.log_cut;
        break;
    case 3:
        owner.out_cut ^= bit;
        break;
    case 4:
        owner.in_cut ^= bit;
        break;
    case 5:
        owner.out_cut = owner.in_cut = chance(50) ? 0 : UINT32_MAX;
        break;
    default:
        if (!owner.dead && chance(30)) {
            mb_shard_release_lease(owner.shard);
        }
        break;
    }
}

void
World::chaos_worker(uint32_t index)
{
    Worker &worker = workers[index];
    switch (below(8)) {
    case 0:
        if (worker.dead || chance(50)) {
            restart_worker(index);
            worker.dead = false;
            worker.inbox.clear();
        }
        else {
            worker.dead = true;
            restart_worker(index);
        }
        break;
    case 1:
        worker.paused_until = now + below(2 * WORKER_LEASE_MS) * MS;
        push(worker.paused_until - now, Kind::RESUME, index);
        trace("worker paused", 0, index, worker.paused_until);
        break;
    case 2:
        worker.fails = !worker.fails;
        break;
    case 3:
        chaos_declaration(worker);
        break;
    default:
        /* Evicts something that runs there. */
        for (const auto &entry : worker.running) {
            for (auto &owner : owners) {
                if (!owner->dead && now >= owner->paused_until) {
                    (void)mb_shard_evict(owner->shard,
                                         entry.second.start.id.task);
                }
            }
            break;
        }
        break;
    }
}

/* Deletes a job; mostly it is declared anew later, under the same name. */
void
World::delete_job(const mb_resource_t &job)
{
    mb_str_t name = mb_buf_view(&job.name);
    mb_shard_delete_resource(auditor.shard, job.kind, name);
    for (auto &owner : owners) {
        if (!owner->dead) {
            mb_shard_delete_resource(owner->shard, job.kind, name);
        }
    }
}

/* A worker leaves the declared ones, comes back, or changes its rack. */
void
World::chaos_declaration(const Worker &worker)
{
    mb_resource_t resource;
    mb_resource_init(&resource, MB_RESOURCE_WORKER, view(worker.name));
    resource.spec.worker.capacity = worker.capacity;
    mb_buf_set(&resource.spec.worker.failure_domain,
               view(worker.failure_domain));
    mb_buf_set(&resource.spec.worker.rack,
               chance(50) ? MB_STR_LIT("r1") : MB_STR_LIT("r2"));
    for (auto &owner : owners) {
        if (owner->dead) {
            continue;
        }
        if (!quiet && chance(40)) {
            mb_shard_delete_resource(owner->shard, MB_RESOURCE_WORKER,
                                     view(worker.name));
        }
        else {
            mb_shard_put_resource(owner->shard, &resource);
        }
    }
    mb_resource_finish(&resource);
}

void
World::chaos_job()
{
    mb_resource_t &job = jobs[below(jobs.size())];
    job.revision += 100;
    if (job.kind == MB_RESOURCE_SERVICE) {
        job.spec.service.instances = static_cast<uint32_t>(below(4));
        declare(job);
        return;
    }
    switch (below(7)) {
    case 0:
        job.spec.job.count = 1 + static_cast<uint32_t>(below(8));
        break;
    case 1:
        job.spec.job.size.cpu_milli = static_cast<uint32_t>(500 + below(2500));
        break;
    case 2:
        job.spec.job.cancelled = chance(30);
        break;
    case 5:
        delete_job(job);
        break;
    case 3:
        job.spec.job.task_class =
            static_cast<mb_class_t>(below(MB_CLASS_COUNT));
        break;
    case 4:
        if (chance(10)) { /* a wave of cancellations */
            for (auto &other : jobs) {
                if (other.kind == MB_RESOURCE_JOB) {
                    other.spec.job.cancelled = true;
                    declare(other);
                }
            }
        }
        break;
    default:
        break;
    }
    declare(job);
}

void
World::chaos()
{
    uint64_t what = below(10);
    if (what < 4) {
        chaos_owner(*owners[below(owners.size())]);
    }
    else if (what < 7) {
        chaos_worker(static_cast<uint32_t>(below(workers.size())));
    }
    else if (what < 8) {
        log_down = !log_down && chance(50);
        log_delay_us = (chance(20) ? 400 : 5) * MS;
    }
    else {
        chaos_job();
    }
}

void
World::heal()
{
    quiet = true;
    log_down = false;
    log_delay_us = 5 * MS;
    for (auto &owner : owners) {
        /* A process that gave up does not claim again: it is replaced. */
        owner->paused_until = 0;
        owner->log_cut = false;
        owner->out_cut = owner->in_cut = 0;
        if (owner->dead || chance(50)) {
            restart_owner(*owner);
        }
    }
    restart_owner(*owners[0]);
    for (const auto &job : jobs) {
        /* Services never end by themselves. */
        if (job.kind == MB_RESOURCE_SERVICE) {
            delete_job(job);
        }
        else {
            declare(job);
        }
    }
    for (const auto &worker : workers) {
        chaos_declaration(worker);
    }
    for (uint32_t i = 0; i < workers.size(); i++) {
        workers[i].fails = false;
        if (workers[i].dead) {
            workers[i].dead = false;
            workers[i].inbox.clear();
            restart_worker(i);
        }
    }
}

} // namespace shard_world

#endif
