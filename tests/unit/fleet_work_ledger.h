/* Keeps what each process of the simulated fleet has heard of successes and
   failures, for the checks that no work is done again. Included by
   fleet_simulation.h. */
#ifndef FLEET_WORK_LEDGER_H
#define FLEET_WORK_LEDGER_H

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "mb_agent.h"
#include "mb_dag.h"
#include "mb_order.h"
}

/* Returns the name of a task: job.occurrence.step.index. */
static inline std::string
format_task(const mb_dag_task_id_t &task)
{
    return std::string(task.job.text, MB_DAG_ID_LEN) + "." +
           std::to_string(task.occurrence) + "." + std::to_string(task.step) +
           "." + std::to_string(task.index);
}

/* The ends of runs as they were at the workers, and who has heard of them.
   What an end is reported as, and what an owner makes of it, does not matter
   here. The checks are exact:

   - An owner that was given a report with the end of a run that succeeded
     starts its task no more, under no higher run number than it had given
     before; nor does an owner that reads the log after the former one has
     stored the progress of the job since.
   - A success that a worker has listed to its agent is stored, or heard of
     by the last owner. Allowed: the agent's process and the worker were both
     restarted before; or the worker was, and for 30 s from then on the agent
     had no connection, or it reported the success to an owner that ended
     before it stored it. An answer to an earlier process of the agent, or of
     an incarnation of the worker that the agent does not know, lists
     nothing.
     A success of a job that was closed when its owner heard of it need not be
     stored while the job is closed.
   - The same as the first for tasks that have failed `max_attempts` times. */
struct WorkLedger {
    typedef std::pair<std::string, uint64_t> RunKey; /* task and run number */

    /* A success that a worker has listed to its agent. */
    struct Listed {
        uint32_t machine;
        uint64_t incarnation; /* of the worker */
        const mb_agent_t *agent;
        uint64_t restart_us = 0; /* when the worker restarted; 0: it did not */
        uint64_t restart_connections = 0; /* of the machine until then */
        bool heard = false;               /* by any owner */
        bool closed = false; /* the job was, when it was heard of */
    };

    /* What one owner has heard of. */
    struct Owner {
        /* Highest run number of the task when it heard of a success, by
           task. */
        std::map<std::string, uint64_t> done;
        /* The failed runs, by the task at which they count. */
        std::map<std::string, std::set<uint64_t>> failed;
        /* The same as `done` for tasks that may not be tried again. */
        std::map<std::string, uint64_t> exhausted;
    };

    /* The steps and the policy of a job. */
    struct Job {
        std::vector<mb_dag_step_t> steps;
        uint32_t max_attempts;
    };

    std::map<std::string, Job> jobs;
    std::map<RunKey, mb_run_end_t> ends; /* of all runs */
    std::set<std::string> succeeded;     /* tasks */
    /* The runs that have failed, by the task at which they count. */
    std::map<std::string, std::set<uint64_t>> failed;
    std::map<RunKey, Listed> listed;  /* and not stored */
    std::map<uint64_t, Owner> owners; /* by fencing token */
    std::set<std::string> stored;     /* successes */
    /* When the runs ended that have failed, by task at which they count and
       run number. */
    std::map<std::string, std::map<uint64_t, uint64_t>> acknowledged_failures;

    void add_job(const mb_dag_spec_t &spec)
    {
        Job job = {{spec.steps, spec.steps + spec.step_count},
                   std::max(1u, spec.policy.max_attempts)};
        jobs[std::string(spec.id.text, MB_DAG_ID_LEN)] = job;
    }

    /* Returns the job of a task; one without steps if there is no such job. */
    const Job &get_job(const mb_dag_task_id_t &task) const
    {
        static const Job none = {{}, UINT32_MAX};
        auto job = jobs.find(std::string(task.job.text, MB_DAG_ID_LEN));
        return job == jobs.end() ? none : job->second;
    }

    /* Returns the step of a task; an empty one if there is no such step. */
    const mb_dag_step_t &get_step(const mb_dag_task_id_t &task) const
    {
        static const mb_dag_step_t none = {};
        const Job &job = get_job(task);
        return task.step < job.steps.size() ? job.steps[task.step] : none;
    }

    /* Returns the task at which the failures of a task are counted. */
    std::string get_counter(mb_dag_task_id_t task) const
    {
        task.index = get_step(task).gang ? 0 : task.index;
        return format_task(task);
    }

    /* Notes the end of a run at its worker. */
    void run_ended(const mb_dag_task_id_t &task, uint64_t run,
                   mb_run_end_t how)
    {
        if (get_step(task).long_running) {
            return;
        }
        ends[{format_task(task), run}] = how;
        if (how == MB_RUN_DONE) {
            succeeded.insert(format_task(task));
        }
        else if (how == MB_RUN_FAILED) {
            failed[get_counter(task)].insert(run);
        }
    }

    /* Tells whether all tasks that a task depends on have succeeded. */
    bool has_dependencies(const mb_dag_task_id_t &task) const
    {
        const Job &job = get_job(task);
        mb_dag_task_id_t earlier = task;
        for (uint32_t i = 0; i < job.steps.size(); i++) {
            bool is_needed = (get_step(task).depends_on >> i & 1) != 0;
            earlier.step = i;
            for (uint32_t k = 0; is_needed && k < job.steps[i].count; k++) {
                earlier.index = k;
                if (succeeded.count(format_task(earlier)) == 0) {
                    return false;
                }
            }
        }
        return true;
    }

    /* Notes a failure that is acknowledged. Returns from when on the task may
       not be started: when it had failed `max_attempts` times; UINT64_MAX if
       that is not so yet. */
    uint64_t failure_acknowledged(const mb_dag_task_id_t &task, uint64_t run,
                                  uint64_t ended_us)
    {
        auto &times = acknowledged_failures[get_counter(task)];
        times[run] = ended_us;
        std::vector<uint64_t> sorted;
        for (const auto &item : times) {
            sorted.push_back(item.second);
        }
        std::sort(sorted.begin(), sorted.end());
        uint32_t max = get_job(task).max_attempts;
        return sorted.size() < max ? UINT64_MAX : sorted[max - 1];
    }

    bool is_exhausted(const mb_dag_task_id_t &task) const
    {
        auto failures = acknowledged_failures.find(get_counter(task));
        return failures != acknowledged_failures.end() &&
               failures->second.size() >= get_job(task).max_attempts;
    }

    /* Tells whether a task of a job has failed `max_attempts` times. */
    bool may_have_failed(const std::string &id) const
    {
        for (const auto &item : failed) {
            if (item.first.compare(0, id.size(), id) == 0 &&
                item.second.size() >= jobs.at(id).max_attempts) {
                return true;
            }
        }
        return false;
    }

    bool is_success(const RunKey &key) const
    {
        auto end = ends.find(key);
        return end != ends.end() && end->second == MB_RUN_DONE;
    }

    /* Notes the ends of an answer that an agent gets to a list call. The
       worker may have been restarted since it answered. */
    void answer_received(uint32_t machine, const mb_agent_t *agent,
                         const mb_executor_answer_t &answer,
                         uint64_t present_incarnation, uint64_t now_us,
                         uint64_t connections)
    {
        if (answer.result != MB_EXECUTOR_OK || agent->info.name.len == 0 ||
            answer.incarnation != agent->info.incarnation) {
            return;
        }
        for (guint i = 0; i < answer.ends->len; i++) {
            const mb_report_end_t &end =
                g_array_index(answer.ends, mb_report_end_t, i);
            RunKey key = {format_task(end.task), end.run};
            if (!is_success(key)) {
                continue;
            }
            bool is_restarted = answer.incarnation != present_incarnation;
            if (stored.count(key.first) == 0) {
                listed[key] = {machine,
                               answer.incarnation,
                               agent,
                               is_restarted ? now_us : 0,
                               is_restarted ? connections : 0,
                               listed[key].heard,
                               listed[key].closed};
            }
        }
    }

    /* Drops the successes of a worker that restarts whose agent has been
       restarted since they were listed. */
    void worker_restarted(uint32_t machine, const mb_agent_t *agent,
                          uint64_t now_us, uint64_t connections)
    {
        for (auto item = listed.begin(); item != listed.end();) {
            Listed &success = item->second;
            bool concerned =
                success.machine == machine && success.restart_us == 0;
            if (concerned && success.agent != agent) {
                item = listed.erase(item);
                continue;
            }
            if (concerned) {
                success.restart_us = now_us;
                success.restart_connections = connections;
            }
            ++item;
        }
    }

    /* Drops the successes of earlier incarnations of a worker whose agent
       restarts. */
    void agent_restarted(uint32_t machine, uint64_t incarnation)
    {
        for (auto item = listed.begin(); item != listed.end();) {
            bool lost = item->second.machine == machine &&
                        item->second.incarnation != incarnation;
            item = lost ? listed.erase(item) : std::next(item);
        }
    }

    /* Drops the successes of an earlier incarnation of a worker, 30 s after
       its restart, if an owner has heard of them or the agent had no
       connection since. */
    void drop_unconnected(uint32_t machine, uint64_t now_us,
                          uint64_t connections, bool connected)
    {
        static const uint64_t KEPT_US = 30000000;
        for (auto item = listed.begin(); item != listed.end();) {
            const Listed &success = item->second;
            bool unconnected =
                !connected && success.restart_connections == connections;
            bool lost = success.machine == machine && success.restart_us > 0 &&
                        now_us - success.restart_us > KEPT_US &&
                        (unconnected || success.heard);
            item = lost ? listed.erase(item) : std::next(item);
        }
    }

    /* Notes what an owner hears of in a report, which it has not handled
       yet. */
    void report_arrives(uint64_t token, mb_dag_table_t *table,
                        const mb_report_t &report)
    {
        if (report.token != token) {
            return;
        }
        for (guint i = 0; i < report.ends->len; i++) {
            const mb_report_end_t &end =
                g_array_index(report.ends, mb_report_end_t, i);
            auto known = ends.find({format_task(end.task), end.run});
            if (known != ends.end()) {
                end_is_heard(owners[token], table, end, known->second);
            }
        }
    }

    /* Notes that an owner hears of a success, which is one of the whole
       gang. */
    void success_is_heard(Owner &owner, mb_dag_table_t *table,
                          mb_dag_task_id_t task)
    {
        const mb_dag_step_t &step = get_step(task);
        uint32_t first = step.gang ? 0 : task.index;
        uint32_t count = step.gang ? step.count : 1;
        for (uint32_t i = 0; i < count; i++) {
            task.index = first + i;
            owner.done.insert({format_task(task), get_last_run(table, task)});
        }
    }

    /* Returns the highest run number that an owner has given to a task. */
    static uint64_t get_last_run(mb_dag_table_t *table,
                                 const mb_dag_task_id_t &task)
    {
        mb_dag_job_t *job = mb_dag_find(table, task.job);
        mb_dag_task_t *state =
            job == nullptr
                ? nullptr
                : mb_dag_task(job, task.occurrence, task.step, task.index);
        return state == nullptr ? 0 : state->last_run;
    }

    void end_is_heard(Owner &owner, mb_dag_table_t *table,
                      const mb_report_end_t &end, mb_run_end_t how)
    {
        std::string task = format_task(end.task);
        mb_dag_job_t *job = mb_dag_find(table, end.task.job);
        if (how == MB_RUN_DONE) {
            success_is_heard(owner, table, end.task);
            auto success = listed.find({task, end.run});
            if (success != listed.end()) {
                success->second.heard = true;
                success->second.closed =
                    job != nullptr && job->outcome != MB_DAG_OPEN;
            }
        }
        else if (how == MB_RUN_FAILED) {
            std::string counter = get_counter(end.task);
            owner.failed[counter].insert(end.run);
            if (owner.failed[counter].size() >=
                get_job(end.task).max_attempts) {
                owner.exhausted.insert(
                    {counter, get_last_run(table, end.task)});
            }
        }
    }

    /* Returns what is wrong with a start that an owner sends, if anything. */
    std::string check_start(uint64_t token, const mb_order_start_t &start)
    {
        const Owner &owner = owners[token];
        auto done = owner.done.find(format_task(start.task));
        if (done != owner.done.end() && start.run > done->second) {
            return "work is done again after its owner has heard of the "
                   "success: ";
        }
        auto exhausted = owner.exhausted.find(get_counter(start.task));
        if (exhausted != owner.exhausted.end() &&
            start.run > exhausted->second) {
            return "started after the owner has heard of max_attempts "
                   "failures: ";
        }
        return "";
    }

    /* Returns the successes of the jobs that an owner has heard of, when it
       hands the progress of these jobs to the log. */
    std::set<std::string>
    get_heard(uint64_t token,
              const std::vector<std::pair<std::string, std::string>> &group)
    {
        std::set<std::string> heard;
        for (const auto &done : owners[token].done) {
            for (const auto &item : group) {
                if (done.first.compare(0, item.first.size(), item.first) ==
                    0) {
                    heard.insert(done.first);
                }
            }
        }
        return heard;
    }

    void progress_stored(const std::set<std::string> &heard)
    {
        stored.insert(heard.begin(), heard.end());
        for (auto item = listed.begin(); item != listed.end();) {
            bool is_stored = heard.count(item->first.first) > 0;
            item = is_stored ? listed.erase(item) : std::next(item);
        }
    }

    /* A new owner reads the log. */
    void log_read(uint64_t token)
    {
        for (const std::string &task : stored) {
            owners[token].done[task] = 0;
        }
    }

    /* Returns the successes that were listed and that the last owner has not
       heard of, or that it does not count although the job is open. */
    std::vector<std::string> get_lost(uint64_t token, mb_dag_table_t *table)
    {
        std::vector<std::string> lost;
        for (const auto &success : listed) {
            const std::string &task = success.first.first;
            bool need_not_count =
                success.second.closed && is_done(table, task);
            if (owners[token].done.count(task) == 0 && !need_not_count) {
                lost.push_back("the owner has not heard of the success of " +
                               success.first.first + ", run " +
                               std::to_string(success.first.second));
            }
        }
        for (const auto &done : owners[token].done) {
            if (!is_done(table, done.first)) {
                lost.push_back("the success does not count: " + done.first);
            }
        }
        return lost;
    }

    /* Tells whether a task is done, or its job is closed. */
    static bool is_done(mb_dag_table_t *table, const std::string &name)
    {
        mb_dag_id_t id;
        unsigned occurrence = 0;
        unsigned step = 0;
        unsigned index = 0;
        (void)sscanf(name.c_str() + MB_DAG_ID_LEN, ".%u.%u.%u", &occurrence,
                     &step, &index);
        mb_dag_job_t *job = mb_dag_id_parse({name.data(), MB_DAG_ID_LEN}, &id)
                                ? mb_dag_find(table, id)
                                : nullptr;
        if (job == nullptr) {
            return false;
        }
        mb_dag_task_t *task = mb_dag_task(job, occurrence, step, index);
        return job->outcome != MB_DAG_OPEN || task == nullptr || task->done;
    }
};

#endif
