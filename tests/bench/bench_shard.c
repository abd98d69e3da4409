/* Measures the owner of one shard under virtual time, with simulated workers
   and a simulated log: CPU time per start and per sync with a worker, memory,
   speed of replay, and the time of a takeover together with the lease that it
   has to wait for. Prints "name value unit" lines. */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "mb_clock.h"
#include "mb_shard.h"
#include "mb_shard_record.h"

#define WORKERS_MAX 1500u
#define TASKS_PER_WORKER 20u
#define SYNC_PERIOD_MS 1000u
#define LEASE_MS 9000u
/* Virtual time over which the cost of syncs is measured. */
#define STEADY_US (10 * MB_US_PER_S)
/* Replays of the log, over which the cost is averaged. */
#define REPLAYS 20u

/* A simulated worker; its tasks never end. */
typedef struct bench_worker {
    uint64_t key;
    mb_attempt_t running[TASKS_PER_WORKER];
    uint32_t count;
} bench_worker_t;

/* A process with the shard, and the workers as it sees them. */
typedef struct bench {
    uint64_t now_us;
    uint64_t syncs;
    mb_rng_seeded_t seeded;
    mb_rng_t rng;
    mb_shard_t *shard;
    mb_replica_callbacks_t replica;
    bench_worker_t workers[WORKERS_MAX];
    uint32_t count;
    GHashTable *by_key; /* &worker->key -> bench_worker_t */
    GQueue *asked;      /* workers with a request to answer */
    mb_buf_t payload;   /* encoded record to append, when `appending` */
    bool appending;
} bench_t;

static GPtrArray *stream;         /* the log: GBytes of each record */
static mb_sync_response_t answer; /* of a worker, reused for each sync */

/* Returns the CPU time of this process in microseconds. */
static double
cpu_us(void)
{
    struct timespec now;
    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Returns the virtual time, as a clock of the shard. */
static uint64_t
read_clock(void *context)
{
    return ((bench_t *)context)->now_us;
}

/* Encodes a record for the log; step() appends it and reads it back. */
static void
on_append(void *context, const mb_shard_record_t *record)
{
    bench_t *bench = context;
    mb_buf_clear(&bench->payload);
    mb_shard_record_encode(&bench->payload, record);
    bench->appending = true;
}

/* Takes a sync request to a worker, which runs every start at once. */
static void
on_sync(void *context, uint64_t key, mb_str_t address,
        const mb_sync_request_t *request)
{
    const bench_t *bench = context;
    bench_worker_t *worker = g_hash_table_lookup(bench->by_key, &key);
    (void)address;
    g_queue_push_tail(bench->asked, worker);
    for (uint32_t j = 0; j < request->start_count; j++) {
        if (worker->count < TASKS_PER_WORKER) {
            worker->running[worker->count++] = request->starts[j].id;
        }
    }
}

/* Declares the workers, a team, and one job with as many tasks as fit. */
static void
declare_resources(bench_t *bench)
{
    mb_resource_t item;
    mb_resource_init(&item, MB_RESOURCE_TEAM, MB_STR_LIT("team"));
    item.spec.team = (mb_team_t){{UINT32_MAX, UINT32_MAX, 0}, 1};
    mb_shard_put_resource(bench->shard, &item);
    mb_resource_finish(&item);
    for (uint32_t i = 0; i < bench->count; i++) {
        mb_buf_t name = {0};
        mb_buf_printf(&name, "w%" PRIu32, i);
        mb_resource_init(&item, MB_RESOURCE_WORKER, mb_buf_view(&name));
        item.spec.worker.capacity =
            (mb_size_t){TASKS_PER_WORKER * 800, TASKS_PER_WORKER * 3000, 0};
        bench->workers[i] =
            (bench_worker_t){.key = mb_shard_worker_key(mb_buf_view(&name))};
        (void)g_hash_table_insert(bench->by_key, &bench->workers[i].key,
                                  &bench->workers[i]);
        mb_shard_put_resource(bench->shard, &item);
        mb_resource_finish(&item);
        mb_buf_finish(&name);
    }
    mb_resource_init(&item, MB_RESOURCE_JOB, MB_STR_LIT("job"));
    mb_buf_set(&item.spec.job.team, MB_STR_LIT("team"));
    item.spec.job.task_class = MB_CLASS_BATCH;
    item.spec.job.count = bench->count * TASKS_PER_WORKER;
    item.spec.job.size = (mb_size_t){800, 3000, 0};
    item.spec.job.run_time_ms = 1000;
    item.spec.job.max_failures = 2;
    mb_shard_put_resource(bench->shard, &item);
    mb_resource_finish(&item);
    mb_shard_set_config_ready(bench->shard);
}

/* Creates a process with identity `self` and `count` workers at a virtual
   time. */
static bench_t *
bench_new(uint32_t count, uint64_t now_us, uint64_t self)
{
    bench_t *bench = g_new0(bench_t, 1);
    mb_shard_config_t config = {{LEASE_MS, 500, 500, 600000},
                                0,
                                1,
                                LEASE_MS,
                                SYNC_PERIOD_MS,
                                500,
                                100,
                                10000};
    mb_shard_callbacks_t callbacks = {on_append, on_sync, NULL, NULL, bench};
    mb_clock_t clock = {read_clock, bench};
    mb_log_t log = mb_log_null();
    bench->now_us = now_us;
    bench->count = count;
    bench->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
    bench->asked = g_queue_new();
    mb_rng_seeded_init(&bench->seeded, self);
    bench->rng = mb_rng_from_seeded(&bench->seeded);
    bench->shard =
        mb_shard_new(&config, &callbacks, &clock, &bench->rng, &log, self);
    bench->replica = mb_shard_record_replica_callbacks(bench->shard);
    return bench;
}

/* Frees a process. */
static void
bench_free(bench_t *bench)
{
    mb_shard_free(bench->shard);
    g_hash_table_destroy(bench->by_key);
    g_queue_free(bench->asked);
    mb_buf_finish(&bench->payload);
    g_free(bench);
}

/* Applies one record of the log to a process; `own`: it appended it. */
static void
apply_record(bench_t *bench, guint offset, bool own)
{
    GBytes *bytes = g_ptr_array_index(stream, offset);
    gsize len;
    const char *data = g_bytes_get_data(bytes, &len);
    mb_record_t record = {
        .offset = offset, .type = MB_RECORD_DATA, .payload = {data, len}};
    bench->replica.apply(bench->replica.context, &record, own);
}

/* Answers the open requests of all workers. */
static void
answer_requests(bench_t *bench)
{
    bench_worker_t *worker;
    while ((worker = g_queue_pop_head(bench->asked)) != NULL) {
        bench->syncs++;
        answer.incarnation = 1;
        answer.running_count = worker->count;
        for (uint32_t j = 0; j < worker->count; j++) {
            answer.running[j] = worker->running[j];
        }
        mb_shard_handle_sync_response(bench->shard, worker->key, &answer);
    }
}

/* Runs the owner until its next tick, 10 ms at most, with the log and the
   workers; returns the CPU time of the step in microseconds. */
static double
step(bench_t *bench)
{
    double begin = cpu_us();
    uint64_t next = mb_shard_tick(bench->shard);
    if (bench->appending) {
        bench->appending = false;
        g_ptr_array_add(stream,
                        g_bytes_new(bench->payload.data, bench->payload.len));
        apply_record(bench, stream->len - 1, true);
    }
    answer_requests(bench);
    bench->now_us = MIN(next, bench->now_us + 10 * MB_US_PER_MS);
    return cpu_us() - begin;
}

/* Returns the number of tasks that run on all workers. */
static uint32_t
count_running(const bench_t *bench)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < bench->count; i++) {
        count += bench->workers[i].count;
    }
    return count;
}

/* Replays the log into followers; prints records and starts per second of CPU
   time, and bytes of memory per task. */
static void
measure_replay(uint32_t count, uint32_t starts)
{
    double cpu_spent_us = 0;
    size_t before = mallinfo2().uordblks;
    size_t after = 0;
    for (uint32_t i = 0; i < REPLAYS; i++) {
        bench_t *follower = bench_new(count, 0, 2);
        before = mallinfo2().uordblks;
        double begin = cpu_us();
        for (guint j = 0; j < stream->len; j++) {
            apply_record(follower, j, false);
        }
        cpu_spent_us += cpu_us() - begin;
        after = mallinfo2().uordblks;
        bench_free(follower);
    }
    printf("shard_replay_records_per_s_%" PRIu32 " %.0f records/s\n", count,
           stream->len * REPLAYS * 1e6 / cpu_spent_us);
    printf("shard_replay_starts_per_s_%" PRIu32 " %.0f starts/s\n", count,
           starts * (double)REPLAYS * 1e6 / cpu_spent_us);
    printf("shard_bytes_per_task_%" PRIu32 " %.0f bytes\n", count,
           (double)(after - before) / starts);
}

/* Lets a second process take over after the last renewal of the lease; prints
   the virtual time until it owns the shard, and the lease with its margin. */
static void
measure_takeover(uint32_t count)
{
    bench_t *next = bench_new(count, MB_US_PER_S, 3);
    declare_resources(next);
    for (guint j = 0; j < stream->len; j++) {
        apply_record(next, j, false);
    }
    uint64_t begin = next->now_us;
    while (mb_shard_phase(next->shard) != MB_LEASE_OWNER) {
        (void)step(next);
    }
    printf("takeover_ms_%" PRIu32 " %.0f ms\n", count,
           (double)(next->now_us - begin) / MB_US_PER_MS);
    printf("takeover_lease_waited_ms_%" PRIu32 " %u ms\n", count,
           LEASE_MS + 500);
    bench_free(next);
}

/* Measures a shard with `count` workers; false when not all tasks start. */
static bool
measure(uint32_t count)
{
    uint32_t tasks = count * TASKS_PER_WORKER;
    double cpu_spent_us = 0;
    stream = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    bench_t *bench = bench_new(count, 0, 1);
    answer.highest_token = 0;
    size_t before = mallinfo2().uordblks;
    declare_resources(bench);
    printf("shard_bytes_per_worker_%" PRIu32 " %.0f bytes\n", count,
           (double)(mallinfo2().uordblks - before) / count);
    while (count_running(bench) < tasks && bench->now_us < 600 * MB_US_PER_S) {
        cpu_spent_us += step(bench);
    }
    if (count_running(bench) < tasks) {
        fprintf(stderr, "only %" PRIu32 " of %" PRIu32 " tasks started\n",
                count_running(bench), tasks);
        return false;
    }
    printf("shard_start_us_%" PRIu32 " %.2f us\n", count,
           cpu_spent_us / tasks);
    uint64_t syncs = bench->syncs;
    uint64_t end = bench->now_us + STEADY_US;
    cpu_spent_us = 0;
    while (bench->now_us < end) {
        cpu_spent_us += step(bench);
    }
    printf("shard_sync_us_%" PRIu32 " %.2f us\n", count,
           cpu_spent_us / (double)(bench->syncs - syncs));
    bench_free(bench);
    measure_replay(count, tasks);
    measure_takeover(count);
    g_ptr_array_unref(stream);
    return true;
}

int
main(void)
{
    static const uint32_t counts[] = {11, 100, 500, WORKERS_MAX};
    bool ok = true;
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        ok = measure(counts[i]) && ok;
    }
    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
