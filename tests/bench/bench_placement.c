/* Measures a placement decision in fleets of 11, 1,000 and 23,000 workers. The
   mix of tasks has constraints, groups and tasks that do not fit, and keeps
   the fleet nearly full. Prints "name value unit" lines. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "mb_clock.h"
#include "mb_placement.h"

#define DECISIONS 200000u
#define SEED 20261204u
/* Share of the fleet's processors that running tasks hold. */
#define TARGET_USED_PERCENT 85u
#define FAILURE_DOMAINS 16u
#define WORKERS_PER_RACK 3u

typedef struct running {
    mb_placement_task_t task;
    mb_worker_id_t worker;
} running_t;

typedef struct bench {
    mb_rng_seeded_t seeded;
    mb_rng_t rng;
    mb_placement_t *placement;
    mb_constraint_t spread;
    mb_constraint_t region;
    running_t *running;
    uint32_t count;       /* of running tasks */
    uint32_t running_max; /* length of `running` */
    uint64_t used_cpu;    /* thousandths of a processor */
    uint64_t all_cpu;     /* thousandths of a processor */
    uint64_t spent_us;    /* in decisions */
    uint32_t waits;       /* decisions that started no task */
} bench_t;

/* Adds one worker to the fleet. */
static void
add_worker(bench_t *bench, uint32_t number)
{
    mb_resource_t worker;
    mb_buf_t name = {0};
    mb_buf_printf(&name, "w%" PRIu32, number);
    mb_resource_init(&worker, MB_RESOURCE_WORKER, mb_buf_view(&name));
    uint32_t rack = number / WORKERS_PER_RACK;
    uint32_t domain = rack % FAILURE_DOMAINS;
    mb_buf_printf(&worker.spec.worker.region, "r%" PRIu32, domain / 2);
    mb_buf_printf(&worker.spec.worker.failure_domain, "d%" PRIu32, domain);
    mb_buf_printf(&worker.spec.worker.rack, "k%" PRIu32, rack);
    uint32_t cores = number % 2 == 0 ? 32 : 16;
    worker.spec.worker.capacity =
        (mb_size_t){cores * 1000, cores * 3900, number % 3 == 0 ? 7 : 0};
    (void)mb_placement_set_worker(bench->placement, &worker);
    bench->all_cpu += worker.spec.worker.capacity.cpu_milli;
    mb_resource_finish(&worker);
    mb_buf_finish(&name);
}

/* Draws a random task of the mix; a tenth needs 30 processors. */
static mb_placement_task_t
make_task(bench_t *bench)
{
    const mb_rng_t *rng = &bench->rng;
    mb_placement_task_t task = {0};
    uint32_t cpu = 200 + (uint32_t)mb_rng_below(rng, 4000);
    uint32_t memory = 200 + (uint32_t)mb_rng_below(rng, 12000);
    task.size = (mb_size_t){cpu, memory, mb_rng_below(rng, 10) == 0};
    task.task_class = (mb_class_t)mb_rng_below(rng, MB_CLASS_COUNT);
    task.group = mb_rng_below(rng, 1000);
    uint64_t choice = mb_rng_below(rng, 10);
    if (choice == 0) {
        task.constraint = &bench->spread;
    }
    else if (choice == 1) {
        task.constraint = &bench->region;
    }
    else if (choice == 2) {
        task.size.cpu_milli = 30000;
    }
    return task;
}

/* Ends a random running task and releases its place. */
static void
end_random_task(bench_t *bench)
{
    uint64_t chosen = mb_rng_below(&bench->rng, bench->count);
    running_t ended = bench->running[chosen];
    bench->running[chosen] = bench->running[--bench->count];
    bench->used_cpu -= ended.task.size.cpu_milli;
    mb_placement_release(bench->placement, ended.worker, &ended.task);
}

/* Makes one decision for a random task and adds the time that it took. */
static void
decide(bench_t *bench, const mb_clock_t *clock)
{
    running_t next = {.task = make_task(bench)};
    uint64_t before = mb_clock_us(clock);
    mb_placement_result_t result =
        mb_placement_place(bench->placement, &next.task, &next.worker);
    bench->spent_us += mb_clock_us(clock) - before;
    if (result != MB_PLACEMENT_PLACED || bench->count == bench->running_max) {
        bench->waits++;
        return;
    }
    bench->used_cpu += next.task.size.cpu_milli;
    bench->running[bench->count++] = next;
}

/* Makes DECISIONS decisions with the fleet kept at its target use, which
   decisions that are not measured reach first. */
static void
run(bench_t *bench)
{
    mb_clock_t clock = mb_clock_monotonic();
    uint64_t target = bench->all_cpu * TARGET_USED_PERCENT / 100;
    uint32_t tries = bench->running_max;
    while (bench->used_cpu < target && tries-- > 0) {
        decide(bench, &clock);
    }
    bench->spent_us = 0;
    bench->waits = 0;
    for (uint32_t i = 0; i < DECISIONS; i++) {
        while (bench->used_cpu > target && bench->count > 0) {
            end_random_task(bench);
        }
        decide(bench, &clock);
    }
}

/* Measures a fleet of `workers` workers and prints its figures. */
static void
measure(uint32_t workers)
{
    bench_t bench = {.running_max = workers * 64};
    mb_rng_seeded_init(&bench.seeded, SEED);
    bench.rng = mb_rng_from_seeded(&bench.seeded);
    bench.placement = mb_placement_new(&bench.rng);
    bench.running = calloc(bench.running_max, sizeof(*bench.running));
    bench.spread.max_per_rack = 2;
    (void)mb_names_add(&bench.region.regions, MB_STR_LIT("r0"));
    for (uint32_t i = 0; i < workers; i++) {
        add_worker(&bench, i);
    }
    run(&bench);
    printf("placement_decision_us_%" PRIu32 " %.2f us\n", workers,
           (double)bench.spent_us / DECISIONS);
    printf("placement_waits_%" PRIu32 " %.1f percent\n", workers,
           100.0 * bench.waits / DECISIONS);
    mb_names_finish(&bench.region.regions);
    free(bench.running);
    mb_placement_free(bench.placement);
}

int
main(void)
{
    printf("placement_seed %u number\n", SEED);
    measure(11);
    measure(1000);
    measure(23000);
    return 0;
}
