/* bench_route: measures one pick from the routing table while a writer
   publishes 1,000 versions a second, with 1 and 8 reading threads. The
   baseline is the same pick under one mutex. Prints "name value unit"
   lines. */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "mb_atomic.h"
#include "mb_clock.h"
#include "mb_epoch.h"
#include "mb_route.h"

#define READERS_MAX 8
/* Sidecars of the service: as many as a site has. */
#define TARGETS 11
/* Credits of each sidecar; enough for one pick in progress per reader. */
#define CREDITS 64
#define PUBLISH_PERIOD_NS 1000000
#define RUN_US 1500000u

/* One measured run. */
typedef struct run {
    mb_epoch_t epoch;
    mb_route_table_t route;
    mb_target_t *extra; /* added and removed by the writer in turn */
    pthread_mutex_t lock;
    bool locked; /* picks take `lock` */
    uint64_t stopping;
    uint64_t picks;     /* of all readers */
    uint64_t reader_ns; /* run time of all readers together */
    uint64_t versions;  /* published */
} run_t;

/* Returns the monotonic time in nanoseconds. */
static uint64_t
now_ns(void)
{
    struct timespec now;
    (void)clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * 1000000000u + (uint64_t)now.tv_nsec;
}

/* Picks one target and releases its credit. */
static void
pick_once(run_t *run, const mb_rng_t *rng)
{
    mb_target_t *picked = NULL;
    if (run->locked) {
        (void)pthread_mutex_lock(&run->lock);
    }
    if (mb_route_pick(&run->route, MB_STR_LIT("search"), rng, NULL, &picked) !=
        MB_ROUTE_PICKED) {
        abort();
    }
    mb_target_release_credit(picked);
    if (run->locked) {
        (void)pthread_mutex_unlock(&run->lock);
    }
}

/* Picks targets until the run ends: the thread of a reader. */
static void *
read_table(void *context)
{
    run_t *run = context;
    mb_rng_t rng = mb_rng_thread();
    uint64_t picks = 0;
    uint64_t begin = now_ns();
    while (mb_atomic_load(&run->stopping) == 0) {
        for (int i = 0; i < 64; i++) {
            pick_once(run, &rng);
        }
        picks += 64;
    }
    (void)mb_atomic_add(&run->reader_ns, now_ns() - begin);
    (void)mb_atomic_add(&run->picks, picks);
    return NULL;
}

/* Publishes versions at a fixed rate until the run ends: the thread of the
   writer. */
static void *
write_table(void *context)
{
    run_t *run = context;
    struct timespec when;
    (void)clock_gettime(CLOCK_MONOTONIC, &when);
    while (mb_atomic_load(&run->stopping) == 0) {
        if (run->versions++ % 2 == 0) {
            (void)mb_route_add(&run->route, run->extra);
        }
        else {
            mb_route_remove(&run->route, run->extra);
        }
        when.tv_nsec += PUBLISH_PERIOD_NS;
        if (when.tv_nsec >= 1000000000) {
            when.tv_nsec -= 1000000000;
            when.tv_sec++;
        }
        (void)clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &when, NULL);
    }
    return NULL;
}

/* Initializes a run and adds all targets of the service. */
static void
prepare(run_t *run)
{
    mb_epoch_init(&run->epoch);
    mb_route_init(&run->route, &run->epoch);
    (void)pthread_mutex_init(&run->lock, NULL);
    for (uint64_t i = 0; i <= TARGETS; i++) {
        mb_target_t *target = mb_target_new(
            i < TARGETS ? MB_STR_LIT("search") : MB_STR_LIT("other"),
            MB_STR_LIT("a"), i + 1, 1, NULL, NULL);
        mb_target_set_credits(target, CREDITS);
        mb_target_observe_latency(target, 900 + i * 20);
        if (i == TARGETS) {
            run->extra = target;
            break;
        }
        (void)mb_route_add(&run->route, target);
    }
}

/* Runs `readers` threads; returns picks a second over all of them and the
   time of one pick on its thread in nanoseconds. */
static double
measure(uint32_t readers, bool locked, double *pick_ns)
{
    run_t *run = calloc(1, sizeof(*run));
    pthread_t threads[READERS_MAX];
    pthread_t writer;
    struct timespec length = {RUN_US / 1000000u, RUN_US % 1000000u * 1000};
    if (run == NULL) {
        abort();
    }
    run->locked = locked;
    prepare(run);
    (void)pthread_create(&writer, NULL, write_table, run);
    for (uint32_t i = 0; i < readers; i++) {
        (void)pthread_create(&threads[i], NULL, read_table, run);
    }
    (void)nanosleep(&length, NULL);
    mb_atomic_store(&run->stopping, 1);
    for (uint32_t i = 0; i < readers; i++) {
        (void)pthread_join(threads[i], NULL);
    }
    (void)pthread_join(writer, NULL);
    *pick_ns = (double)run->reader_ns / (double)run->picks;
    double per_s = (double)run->picks * readers * 1e9 / (double)run->reader_ns;
    (void)fprintf(stderr, "readers=%u locked=%d versions=%llu picks=%llu\n",
                  readers, locked, (unsigned long long)run->versions,
                  (unsigned long long)run->picks);
    /* The run and its targets are not freed before the process ends. */
    return per_s;
}

int
main(void)
{
    double one_ns;
    double many_ns;
    double one_locked_ns;
    double many_locked_ns;
    double one = measure(1, false, &one_ns);
    double many = measure(READERS_MAX, false, &many_ns);
    double one_locked = measure(1, true, &one_locked_ns);
    double many_locked = measure(READERS_MAX, true, &many_locked_ns);
    (void)printf("routing_pick_ns %.0f ns\n", many_ns);
    (void)printf("routing_pick_ns_baseline %.0f ns\n", many_locked_ns);
    (void)printf("routing_pick_1_thread_ns %.0f ns\n", one_ns);
    (void)printf("routing_pick_1_thread_ns_baseline %.0f ns\n", one_locked_ns);
    (void)printf("routing_scaling_8_threads %.2f x\n", many / one);
    (void)printf("routing_scaling_8_threads_baseline %.2f x\n",
                 many_locked / one_locked);
    return 0;
}
