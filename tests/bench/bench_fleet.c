/* Measures the placement of tasks by the owner of a fleet of 80, 1,000 and
   23,000 workers: jobs of 16 tasks of random sizes arrive one by one. Then
   measures a pass over 500 jobs that fit nowhere, because the fleet is full.
   Prints "name value unit" lines. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "mb_fleet.h"
#include "mb_rng.h"

#define SEED 20261205u
#define JOBS 125u
#define TASKS_PER_JOB 16u
#define WAITING_JOBS 500u
#define PASSES 10u
#define WORKER_CPU_MILLI 16000u

typedef struct bench {
    mb_dag_table_t table;
    mb_fleet_t fleet;
    mb_clock_t clock; /* real time, for the measurement */
    uint64_t now_us;  /* of the fleet */
    mb_rng_seeded_t seeded;
    mb_rng_t rng;
    uint64_t jobs;
} bench_t;

static void
send_order(void *context, uint32_t worker, const mb_order_t *order)
{
    (void)context;
    (void)worker;
    (void)order;
}

static bool
is_congested(void *context, uint32_t worker)
{
    (void)context;
    (void)worker;
    return false;
}

static void
store_progress(void *context, const mb_dag_progress_t *progress)
{
    (void)context;
    (void)progress;
}

static void
end_group(void *context)
{
    (void)context;
}

static bool
store_absence(void *context, uint32_t worker, const GArray *tasks)
{
    (void)context;
    (void)worker;
    (void)tasks;
    return false;
}

static uint64_t
read_clock(void *context)
{
    return ((bench_t *)context)->now_us;
}

static uint64_t
unix_ms(void *context)
{
    return ((bench_t *)context)->now_us / MB_US_PER_MS;
}

/* Adds a worker that has reported that nothing runs there. */
static void
add_worker(bench_t *bench, uint32_t number)
{
    char text[32];
    mb_report_t report;
    (void)snprintf(text, sizeof(text), "worker-%" PRIu32, number);
    mb_str_t name = mb_str_from_cstr(text);
    uint32_t worker = mb_fleet_add_worker(&bench->fleet, name);
    mb_report_init(&report);
    report.token = 1;
    report.sequence = 1;
    report.complete = true;
    report.worker =
        (mb_worker_info_t){.state = MB_WORKER_READY,
                           .name = name,
                           .incarnation = 1,
                           .service = MB_STR_LIT("service"),
                           .capacity = {WORKER_CPU_MILLI, 62500, 0}};
    mb_fleet_agent_connected(&bench->fleet, worker);
    mb_fleet_handle_report(&bench->fleet, worker, &report);
    mb_report_finish(&report);
}

/* Adds a job of one step. */
static void
add_job(bench_t *bench, uint32_t tasks, uint32_t cpu_milli)
{
    char id[MB_DAG_ID_LEN + 1];
    mb_dag_step_t step = {
        .count = tasks, .size = {cpu_milli, 500, 0}, .estimate_ms = 1000};
    mb_dag_spec_t spec = {.policy = {.queue = MB_STR_LIT("queue"),
                                     .service = MB_STR_LIT("service"),
                                     .max_attempts = 2,
                                     .stretch_milli = 2000},
                          .step_count = 1,
                          .steps = &step,
                          .submitted_ms = unix_ms(bench)};
    (void)snprintf(id, sizeof(id), "%016" PRIx64, ++bench->jobs);
    (void)mb_dag_id_parse(mb_str_from_cstr(id), &spec.id);
    mb_fleet_job_added(&bench->fleet, mb_dag_add(&bench->table, &spec));
}

/* Runs one scheduling pass. Returns the time that it takes, in
   microseconds. */
static uint64_t
measure_pass(bench_t *bench)
{
    uint64_t start_us = mb_clock_us(&bench->clock);
    mb_fleet_flush(&bench->fleet);
    return mb_clock_us(&bench->clock) - start_us;
}

/* Measures a fleet of one size. */
static void
run_bench(uint32_t workers)
{
    bench_t bench = {.now_us = 1000000000, .clock = mb_clock_monotonic()};
    mb_clock_t clock = {read_clock, &bench};
    mb_log_t log = mb_log_null();
    mb_fleet_callbacks_t callbacks = {.send = send_order,
                                      .is_congested = is_congested,
                                      .store = store_progress,
                                      .store_group_end = end_group,
                                      .store_absence = store_absence,
                                      .unix_ms = unix_ms,
                                      .context = &bench};
    uint64_t placing_us = 0;
    uint64_t waiting_us = 0;
    mb_rng_seeded_init(&bench.seeded, SEED);
    bench.rng = mb_rng_from_seeded(&bench.seeded);
    mb_dag_table_init(&bench.table);
    mb_fleet_init(&bench.fleet, &bench.table, &callbacks, &clock, &log);
    mb_fleet_become_owner(&bench.fleet, 1, 0);
    mb_fleet_set_active(&bench.fleet, true);
    mb_fleet_confirm_ownership(&bench.fleet, UINT64_MAX);
    for (uint32_t i = 0; i < workers; i++) {
        add_worker(&bench, i);
    }
    mb_fleet_tick(&bench.fleet);
    for (uint32_t i = 0; i < JOBS; i++) {
        add_job(&bench, TASKS_PER_JOB,
                100 + (uint32_t)mb_rng_below(&bench.rng, 400));
        placing_us += measure_pass(&bench);
    }
    uint64_t starts = bench.fleet.counts.starts;
    for (uint32_t i = 0; i < WAITING_JOBS; i++) {
        add_job(&bench, 1,
                WORKER_CPU_MILLI +
                    (uint32_t)mb_rng_below(&bench.rng, WORKER_CPU_MILLI));
    }
    for (uint32_t i = 0; i < PASSES; i++) {
        bench.fleet.schedule_due = true;
        waiting_us += measure_pass(&bench);
    }
    printf("fleet_placement_us_%" PRIu32 " %.2f us\n", workers,
           (double)placing_us / (double)starts);
    printf("fleet_full_pass_us_%" PRIu32 " %.0f us\n", workers,
           (double)waiting_us / PASSES);
    mb_fleet_finish(&bench.fleet);
    mb_dag_table_finish(&bench.table);
}

int
main(void)
{
    run_bench(80);
    run_bench(1000);
    run_bench(23000);
    return 0;
}
