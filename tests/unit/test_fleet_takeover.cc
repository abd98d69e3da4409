/* Tests of a change of owner in fleets of up to the design size, in virtual
   time. The reports of the agents are made up, so that only the owner runs. */
#include <gtest/gtest.h>

#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "mb_fleet.h"
#include "mb_ownership.h"
}

/* Time from the claim by which tasks that no absent worker may run start
   again, in milliseconds. */
static const uint64_t RECOVERY_MS = 2000;
/* Tasks that wait at the change of owner: about a second's starts at the
   design size. */
static const uint32_t WAITING_JOBS = 250;
static const uint32_t TASKS_PER_JOB = 8;
static const uint64_t TICK_MS = 25;
static const uint64_t REPORT_INTERVAL_MS = 300;

/* A fleet on whose workers one task of a long job each runs, and its new
   owner. The log has a record of each worker that was absent before. */
struct Takeover {
    uint64_t now_us = 1000000000;
    mb_dag_table_t table;
    mb_fleet_t fleet;
    mb_report_t report;
    std::mt19937_64 random{20261205};
    std::vector<std::string> names;
    std::vector<uint64_t> next_report_us;
    std::vector<uint64_t> sequences;
    std::set<uint32_t> absent;
    mb_dag_id_t running_id;
    uint64_t starts = 0;         /* of waiting tasks */
    uint64_t running_starts = 0; /* of tasks that run somewhere */
    bool store_due = false;

    static void send(void *context, uint32_t worker, const mb_order_t *order)
    {
        Takeover *self = static_cast<Takeover *>(context);
        (void)worker;
        for (guint i = 0; i < order->starts->len; i++) {
            const mb_order_start_t *start =
                &g_array_index(order->starts, mb_order_start_t, i);
            bool runs = mb_dag_id_equal(&start->task.job, &self->running_id);
            self->starts += runs ? 0 : 1;
            self->running_starts += runs ? 1 : 0;
        }
    }

    static bool is_congested(void *context, uint32_t worker)
    {
        (void)context;
        (void)worker;
        return false;
    }

    static void store(void *context, const mb_dag_progress_t *progress)
    {
        (void)context;
        (void)progress;
    }

    static void end_group(void *context)
    {
        static_cast<Takeover *>(context)->store_due = true;
    }

    static bool store_absence(void *context, uint32_t worker,
                              const GArray *tasks)
    {
        (void)context;
        (void)worker;
        (void)tasks;
        return false;
    }

    static uint64_t unix_ms(void *context)
    {
        return static_cast<Takeover *>(context)->now_us / 1000;
    }

    static uint64_t read_clock(void *context)
    {
        return static_cast<Takeover *>(context)->now_us;
    }

    Takeover(uint32_t workers, uint32_t absent_workers,
             bool has_records = true)
        : next_report_us(workers), sequences(workers)
    {
        mb_clock_t clock = {read_clock, this};
        mb_log_t log = mb_log_null();
        mb_fleet_callbacks_t callbacks = {.send = send,
                                          .is_congested = is_congested,
                                          .store = store,
                                          .store_group_end = end_group,
                                          .store_absence = store_absence,
                                          .unix_ms = unix_ms,
                                          .context = this};
        mb_dag_table_init(&table);
        mb_report_init(&report);
        mb_fleet_init(&fleet, &table, &callbacks, &clock, &log);
        for (uint32_t i = 0; i < workers; i++) {
            names.push_back("worker-" + std::to_string(i));
            EXPECT_EQ(mb_fleet_add_worker(&fleet,
                                          {names[i].data(), names[i].size()}),
                      i);
        }
        mb_fleet_agents_loaded(&fleet);
        while (absent.size() < absent_workers) {
            absent.insert((uint32_t)(random() % workers));
        }
        add_jobs(workers);
        for (uint32_t worker : absent) {
            if (!has_records) {
                break;
            }
            g_autoptr(GArray) tasks =
                g_array_new(FALSE, FALSE, sizeof(mb_dag_task_id_t));
            mb_dag_task_id_t id = running_task(worker);
            g_array_append_val(tasks, id);
            mb_fleet_absence_read(&fleet, worker, 1, tasks);
        }
    }

    ~Takeover()
    {
        mb_fleet_finish(&fleet);
        mb_report_finish(&report);
        mb_dag_table_finish(&table);
    }

    /* Returns the id of the task that runs on a worker. */
    mb_dag_task_id_t running_task(uint32_t worker) const
    {
        return {running_id, 0, 0, worker};
    }

    /* Adds a job of one step; returns its id. */
    mb_dag_id_t add_job(uint64_t number, uint32_t tasks, uint32_t cpu_milli)
    {
        mb_dag_step_t step = {};
        step.count = tasks;
        step.size = {cpu_milli, 100, 0};
        step.estimate_ms = 500;
        char text[MB_DAG_ID_LEN + 1];
        mb_dag_spec_t spec = {};
        (void)snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
                       number);
        EXPECT_TRUE(mb_dag_id_parse(mb_str_from_cstr(text), &spec.id));
        spec.policy.queue = MB_STR_LIT("queue");
        spec.policy.service = MB_STR_LIT("service");
        spec.policy.max_attempts = 2;
        spec.policy.stretch_milli = 2000;
        spec.step_count = 1;
        spec.steps = &step;
        spec.submitted_ms = now_us / 1000;
        EXPECT_NE(mb_dag_add(&table, &spec), nullptr);
        return spec.id;
    }

    /* Adds the job that runs on the workers, and those that wait. */
    void add_jobs(uint32_t workers)
    {
        running_id = add_job(WAITING_JOBS + 1, workers, 1000);
        for (uint64_t i = 1; i <= WAITING_JOBS; i++) {
            (void)add_job(i, TASKS_PER_JOB, 400);
        }
    }

    /* Has a worker report that it runs its task of the long job. */
    void report_runs(uint32_t worker)
    {
        mb_report_run_t run = {};
        run.task = running_task(worker);
        run.run = 1;
        run.confirmed = true;
        run.progress = (uint32_t)(now_us / 100000 % 100);
        report.token = 2;
        report.sequence = ++sequences[worker];
        report.complete = report.sequence == 1;
        report.worker.state = MB_WORKER_READY;
        report.worker.name = {names[worker].data(), names[worker].size()};
        report.worker.incarnation = 1;
        report.worker.service = MB_STR_LIT("service");
        report.worker.capacity = {16000, 62500, 0};
        g_array_append_val(report.runs, run);
        mb_fleet_handle_report(&fleet, worker, &report);
        mb_report_clear(&report);
    }

    /* Claims the fleet and runs it for a time. Workers report at first within
       300 ms of the claim. */
    void run(uint64_t ms)
    {
        uint64_t end_us = now_us + ms * 1000;
        mb_fleet_become_owner(&fleet, 2, now_us + 15000000);
        mb_fleet_set_active(&fleet, true);
        mb_fleet_confirm_ownership(
            &fleet, now_us + MB_OWNERSHIP_CLAIM_CERTAIN_MS * 1000ull);
        for (uint32_t i = 0; i < names.size(); i++) {
            next_report_us[i] = absent.count(i) > 0
                                    ? UINT64_MAX
                                    : now_us + 5000 + random() % 300000;
            mb_fleet_agent_connected(&fleet, i);
        }
        while (now_us < end_us) {
            now_us += TICK_MS * 1000;
            for (uint32_t i = 0; i < names.size(); i++) {
                if (now_us >= next_report_us[i]) {
                    report_runs(i);
                    next_report_us[i] = now_us + REPORT_INTERVAL_MS * 1000;
                }
            }
            if (store_due) {
                store_due = false;
                mb_fleet_progress_stored(&fleet, true);
            }
            mb_fleet_tick(&fleet);
        }
    }
};

/* Checks that all waiting tasks start within RECOVERY_MS, and none of those
   that may run on absent workers. */
static void
expect_recovery(uint32_t workers, uint32_t absent)
{
    Takeover takeover(workers, absent);
    takeover.run(RECOVERY_MS);
    EXPECT_EQ(takeover.starts, (uint64_t)WAITING_JOBS * TASKS_PER_JOB);
    EXPECT_EQ(takeover.running_starts, 0u);
    EXPECT_EQ(takeover.fleet.running,
              workers - absent + WAITING_JOBS * TASKS_PER_JOB);
}

/* Guards against a new owner under which nothing starts because some worker is
   absent, which is always so in a large fleet. */
TEST(FleetTakeover, RecoversWithAbsentWorkersAt80)
{
    expect_recovery(80, 0);
    expect_recovery(80, 1);
    expect_recovery(80, 8);
}

TEST(FleetTakeover, RecoversWithAbsentWorkersAt1000)
{
    expect_recovery(1000, 0);
    expect_recovery(1000, 1);
    expect_recovery(1000, 100);
}

TEST(FleetTakeover, RecoversWithAbsentWorkersAt23000)
{
    expect_recovery(23000, 0);
    expect_recovery(23000, 1);
    expect_recovery(23000, 2300);
}

/* Guards against a fleet that stands still for the whole lease of a former
   owner, because a worker was lost together with it: most agents obey the new
   owner, so only the leases of the workers are waited for. */
TEST(FleetTakeover, WaitsOnlyForLeasesOnceMostAgentsObeyTheNewOwner)
{
    const uint64_t LEASES_MS =
        MB_FLEET_OBEYED_MAX_MS + mb_fleet_max_lease_us() / 1000;
    Takeover early(80, 8, false);
    early.run(LEASES_MS - 200);
    EXPECT_EQ(early.starts, 0u);
    EXPECT_EQ(early.running_starts, 0u);
    Takeover late(80, 8, false);
    late.run(LEASES_MS + 500);
    EXPECT_EQ(late.starts, (uint64_t)WAITING_JOBS * TASKS_PER_JOB);
    EXPECT_EQ(late.running_starts, 8u);
    Takeover few_agents(80, 27, false);
    few_agents.run(LEASES_MS + 500);
    EXPECT_EQ(few_agents.starts, 0u);
}
