/* bench_control: measures points of the slopes in docs/CAPACITY.md for the
   control path. Prints "slope x y" lines:
   config_bytes, config_put_us  workers -> bytes of the table of resources in
                                force, us to decode a record and put it there
   config_stream_bytes          workers -> bytes of their records
   placement_bytes              workers -> bytes of the index
   shard_bytes, shard_start_us  running tasks -> bytes of a shard, us per start
   snapshot_bytes, tail_bytes   running tasks -> bytes of a shard's snapshot,
                                of the records of their starts
   dispatch_us                  teams -> us of a dispatch decision
   request_bytes                starts -> bytes of a sync request
   response_bytes, usage_bytes  running tasks -> bytes of a sync response,
                                without and with one usage report per task
   starts_bytes, finishes_bytes starts, finishes -> bytes of one record with
                                all of them */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "mb_cleanup.h"
#include "mb_config.h"
#include "mb_config_record.h"
#include "mb_dispatch.h"
#include "mb_frame.h"
#include "mb_member_record.h"
#include "mb_record.h"
#include "mb_shard_record.h"
#include "mb_worker_msg.h"

#define SEED 20261204u
#define TASKS_PER_JOB 5u
#define DECISIONS 10000u
#define DISPATCH_WORKERS 1000u
/* Offset of a log that has run for a while: it takes five bytes or more in a
   record. */
#define FIRST_OFFSET (UINT64_C(1) << 33)

static mb_shard_record_t record;
static mb_sync_request_t request;
static mb_sync_response_t response;

/* Returns the monotonic time in microseconds. */
static double
now_us(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return (double)mb_clock_us(&clock);
}

/* Returns the bytes that are allocated on the heap. */
static double
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return (double)info.uordblks + (double)info.hblkhd;
}

/* Returns a number with the bits of a small one spread over all 64, as those
   of a hash are. */
static uint64_t
spread_bits(uint64_t number)
{
    return (number + 1) * UINT64_C(0x9e3779b97f4a7c15);
}

/* Initializes the resource of worker `number` as in the fleet that the design
   is for. The caller releases it. */
static void
init_worker(mb_resource_t *worker, uint32_t number)
{
    MB_AUTO_BUF mb_buf_t name = {0};
    MB_AUTO_BUF mb_buf_t place = {0};
    mb_buf_printf(&name, "worker-%05u", number);
    mb_resource_init(worker, MB_RESOURCE_WORKER, mb_buf_view(&name));
    mb_buf_set(&worker->spec.worker.address,
               MB_STR_LIT("10.100.100.100:9500"));
    mb_buf_printf(&place, "region-%u", number % 8);
    mb_buf_set(&worker->spec.worker.region, mb_buf_view(&place));
    mb_buf_clear(&place);
    mb_buf_printf(&place, "domain-%02u", number % 16);
    mb_buf_set(&worker->spec.worker.failure_domain, mb_buf_view(&place));
    mb_buf_clear(&place);
    mb_buf_printf(&place, "rack-%04u-%02u", number / 48, number % 16);
    mb_buf_set(&worker->spec.worker.rack, mb_buf_view(&place));
    worker->spec.worker.capacity =
        (mb_size_t){32000, 125000, number % 5 < 2 ? 6 : 0};
}

/* Appends the configuration record of worker `number`. */
static void
encode_worker(mb_buf_t *out, uint32_t number)
{
    mb_config_codec_t codec = mb_config_record_codec();
    mb_resource_t worker;
    init_worker(&worker, number);
    mb_config_write_t write = {.kind = MB_RESOURCE_WORKER,
                               .name = mb_buf_view(&worker.name),
                               .expected = MB_REVISION_ANY,
                               .revision = FIRST_OFFSET + number,
                               .resource = &worker};
    codec.encode(codec.context, out, &write);
    mb_resource_finish(&worker);
}

/* Decodes the first record of `rest` and puts its resource into the table. */
static void
replay_worker(mb_config_t *config, mb_str_t *rest)
{
    mb_config_codec_t codec = mb_config_record_codec();
    mb_config_write_t write;
    mb_resource_t worker;
    uint64_t current;
    if (!codec.decode(codec.context, rest, &write, &worker)) {
        abort();
    }
    (void)mb_config_put(config, &worker, MB_REVISION_ANY, write.revision,
                        &current);
}

/* Measures the table of resources in force with `count` workers, which are
   replayed as from a log. */
static void
measure_config(uint32_t count)
{
    MB_AUTO_BUF mb_buf_t stream = {0};
    mb_epoch_t epoch;
    mb_config_t config;
    for (uint32_t i = 0; i < count; i++) {
        encode_worker(&stream, i);
    }
    mb_str_t rest = mb_buf_view(&stream);
    mb_epoch_init(&epoch);
    double before = heap_bytes();
    double begin = now_us();
    mb_config_init(&config, &epoch);
    for (uint32_t i = 0; i < count; i++) {
        replay_worker(&config, &rest);
        mb_epoch_reclaim(&epoch);
    }
    double taken = now_us() - begin;
    for (int i = 0; i < 4; i++) {
        mb_epoch_reclaim(&epoch);
    }
    (void)printf("config_bytes %u %.0f\n", count, heap_bytes() - before);
    (void)printf("config_put_us %u %.3f\n", count, taken / count);
    (void)printf("config_stream_bytes %u %zu\n", count, stream.len);
    mb_epoch_finish(&epoch);
    mb_config_finish(&config);
}

/* Creates a placement index of `count` workers. */
static mb_placement_t *
new_placement(const mb_rng_t *rng, uint32_t count)
{
    mb_placement_t *placement = mb_placement_new(rng);
    for (uint32_t i = 0; i < count; i++) {
        mb_resource_t worker;
        init_worker(&worker, i);
        mb_worker_id_t id = mb_placement_set_worker(placement, &worker);
        mb_placement_set_eligible(placement, id, true);
        mb_resource_finish(&worker);
    }
    return placement;
}

/* Measures the memory of a placement index of `count` workers. */
static void
measure_placement(uint32_t count)
{
    mb_rng_t rng = mb_rng_system();
    double before = heap_bytes();
    mb_placement_t *placement = new_placement(&rng, count);
    (void)printf("placement_bytes %u %.0f\n", count, heap_bytes() - before);
    mb_placement_free(placement);
}

/* Returns the size of the shard record `record` as encoded in the log. */
static size_t
encode_record(void)
{
    MB_AUTO_BUF mb_buf_t payload = {0};
    MB_AUTO_BUF mb_buf_t out = {0};
    mb_shard_record_encode(&payload, &record);
    mb_record_t outer = {.writer = spread_bits(7),
                         .sequence = 123456,
                         .payload = mb_buf_view(&payload)};
    mb_record_encode(&out, &outer);
    return out.len;
}

/* Sets `record` to `count` starts, or finishes, of the tasks from number
   `first` on. */
static void
fill_record(mb_shard_record_type_t type, uint32_t first, uint32_t count)
{
    record.type = type;
    record.token = FIRST_OFFSET;
    record.count = count;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t number = first + i;
        mb_task_id_t id = {spread_bits(number / TASKS_PER_JOB),
                           number % TASKS_PER_JOB};
        if (type == MB_SHARD_STARTS) {
            record.body.starts[i] = (mb_start_t){id,
                                                 spread_bits(number % 343),
                                                 1,
                                                 {2000, 4000, 0},
                                                 MB_CLASS_BATCH};
        }
        else {
            record.body.finishes[i] = (mb_finish_t){id, 1, MB_RESULT_DONE};
        }
    }
}

/* Adds the size of one snapshot item to the sum in `context`. */
static void
add_item(void *context, const mb_shard_item_t *item)
{
    MB_AUTO_BUF mb_buf_t out = {0};
    mb_shard_item_encode(&out, item);
    *(double *)context += (double)out.len;
}

/* Does nothing: the measured shard only replays and appends no record. */
static void
no_append(void *context, const mb_shard_record_t *unused)
{
    (void)context;
    (void)unused;
}

/* Does nothing: the measured shard syncs with no worker. */
static void
no_sync(void *context, uint64_t worker, mb_str_t address,
        const mb_sync_request_t *unused)
{
    (void)context;
    (void)worker;
    (void)address;
    (void)unused;
}

/* Measures a shard into which the starts of `tasks` tasks are replayed. */
static void
measure_shard(uint32_t tasks)
{
    mb_shard_config_t config = {.lease = {10000, 1000, 1000, 600000},
                                .shard_count = 1,
                                .worker_lease_ms = 10000,
                                .sync_period_ms = 3000,
                                .batch_delay_ms = 500};
    mb_shard_callbacks_t callbacks = {.append = no_append, .sync = no_sync};
    mb_clock_t clock = mb_clock_monotonic();
    mb_rng_t rng = mb_rng_system();
    mb_log_t log = mb_log_null();
    double snapshot = 0;
    double tail = 0;
    double taken = 0;
    double before = heap_bytes();
    mb_shard_t *shard =
        mb_shard_new(&config, &callbacks, &clock, &rng, &log, 1);
    record.type = MB_SHARD_CLAIM;
    record.body.claim = (mb_claim_t){2, MB_CLAIM_NONE, 10000};
    mb_shard_apply(shard, FIRST_OFFSET, &record, false);
    for (uint32_t done = 0; done < tasks; done += record.count) {
        fill_record(MB_SHARD_STARTS, done,
                    MIN(tasks - done, MB_SHARD_BATCH_MAX));
        tail += (double)encode_record();
        double begin = now_us();
        mb_shard_apply(shard, FIRST_OFFSET + 1 + done, &record, false);
        taken += now_us() - begin;
    }
    (void)printf("shard_bytes %u %.0f\n", tasks, heap_bytes() - before);
    (void)printf("shard_start_us %u %.4f\n", tasks, taken / tasks);
    mb_shard_save(shard, add_item, &snapshot);
    (void)printf("snapshot_bytes %u %.0f\n", tasks, snapshot);
    (void)printf("tail_bytes %u %.0f\n", tasks, tail);
    mb_shard_free(shard);
}

/* Counts a start, as a callback of the dispatch. */
static void
count_start(void *context, uint64_t id, mb_worker_id_t worker)
{
    (void)id;
    (void)worker;
    (*(uint32_t *)context)++;
}

/* Is not called: the workers have room for all tasks, so none is evicted. */
static void
no_evict(void *context, uint64_t id, mb_worker_id_t worker)
{
    (void)context;
    (void)id;
    (void)worker;
}

/* Is not called: every team's quota allows all of its tasks. */
static void
no_unschedulable(void *context, uint64_t id,
                 mb_dispatch_unschedulable_t reason)
{
    (void)context;
    (void)id;
    (void)reason;
}

/* Measures dispatch decisions for tasks of `teams` teams. */
static void
measure_dispatch(uint32_t teams)
{
    uint32_t started = 0;
    mb_rng_seeded_t seeded;
    mb_rng_seeded_init(&seeded, SEED);
    mb_rng_t rng = mb_rng_from_seeded(&seeded);
    mb_placement_t *placement = new_placement(&rng, DISPATCH_WORKERS);
    mb_quota_t *quota = mb_quota_new();
    mb_dispatch_callbacks_t events = {count_start, no_evict, no_unschedulable,
                                      &started};
    mb_dispatch_t *dispatch = mb_dispatch_new(placement, quota, &events);
    mb_size_t capacity = {DISPATCH_WORKERS * 32000u,
                          DISPATCH_WORKERS * 125000u, 2400};
    mb_policy_t policy = {MB_OBJECTIVE_THROUGHPUT_FIRST, 20};
    mb_quota_set_capacity(quota, &capacity);
    mb_dispatch_set_policy(dispatch, &policy, &capacity);
    for (uint32_t i = 0; i < DECISIONS; i++) {
        char name[32];
        mb_team_t team = {capacity, 1 + i % 7};
        (void)snprintf(name, sizeof(name), "team-%u", i % teams);
        mb_dispatch_task_t task = {
            .id = i + 1,
            .place = {{1000, 2000, 0}, MB_CLASS_BATCH, NULL, i / 5 + 1},
            .team = mb_quota_set_team(quota, mb_str_from_cstr(name), &team)};
        (void)mb_dispatch_add(dispatch, &task, 1);
    }
    double begin = now_us();
    (void)mb_dispatch_run(dispatch, 2);
    (void)printf("dispatch_us %u %.3f\n", teams, (now_us() - begin) / started);
    mb_dispatch_free(dispatch);
    mb_quota_free(quota);
    mb_placement_free(placement);
}

/* Measures the messages of a sync with a worker that is to start, or runs,
   `count` tasks. */
static void
measure_sync(uint32_t count)
{
    MB_AUTO_BUF mb_buf_t out = {0};
    request = (mb_sync_request_t){.token = FIRST_OFFSET,
                                  .incarnation = spread_bits(3),
                                  .lease_ms = 10000,
                                  .start_count = count};
    response = (mb_sync_response_t){.incarnation = spread_bits(3),
                                    .highest_token = FIRST_OFFSET,
                                    .running_count = count};
    for (uint32_t i = 0; i < count; i++) {
        mb_attempt_t id = {{spread_bits(i), i % TASKS_PER_JOB}, 1};
        request.starts[i] = (mb_sync_start_t){
            id,
            {2000, 4000, 0},
            MB_STR_LIT("/usr/bin/run-index --shard 17 --input s3://daily/17"),
            MB_STR_EMPTY};
        response.running[i] = id;
        response.usage[i] = (mb_usage_t){.task = id.task,
                                         .cpu_milli = 1800,
                                         .memory_mb = 3600,
                                         .sample_count = 0};
    }
    mb_worker_msg_encode_request(&out, &request);
    (void)printf("request_bytes %u %zu\n", count, out.len);
    mb_buf_clear(&out);
    mb_worker_msg_encode_response(&out, &response);
    (void)printf("response_bytes %u %zu\n", count, out.len);
    mb_buf_clear(&out);
    response.usage_count = count;
    mb_worker_msg_encode_response(&out, &response);
    (void)printf("usage_bytes %u %zu\n", count, out.len);
}

/* Prints the sizes that do not depend on a number, as "fixed name bytes". */
static void
print_fixed(void)
{
    MB_AUTO_BUF mb_buf_t out = {0};
    mb_message_t ping = {.type = MB_MESSAGE_PING};
    mb_message_t credit = {.type = MB_MESSAGE_CREDIT};
    mb_announcement_t entry = {spread_bits(1), 1,
                               MB_STR_LIT("10.100.100.100:7000"),
                               MB_STR_LIT("domain-03"), false};
    encode_worker(&out, 12345);
    (void)printf("fixed config_worker_record %zu\n", out.len);
    mb_buf_clear(&out);
    mb_member_record_encode(&out, &entry);
    (void)printf("fixed member_record %zu\n", out.len);
    mb_buf_clear(&out);
    ping.body.sequence = 172800; /* after a day */
    mb_frame_encode(&out, &ping);
    (void)printf("fixed ping_frame %zu\n", out.len);
    mb_buf_clear(&out);
    credit.body.credit = (mb_credit_t){100000, 500, 12000};
    mb_frame_encode(&out, &credit);
    (void)printf("fixed credit_frame %zu\n", out.len);
    size_t payload = out.len;
    mb_record_t outer = {.writer = spread_bits(7),
                         .sequence = 123456,
                         .payload = mb_buf_view(&out)};
    MB_AUTO_BUF mb_buf_t whole = {0};
    mb_record_encode(&whole, &outer);
    (void)printf("fixed record_envelope %zu\n", whole.len - payload);
    record.type = MB_SHARD_RENEW;
    record.body.claim = (mb_claim_t){spread_bits(1), FIRST_OFFSET, 10000};
    (void)printf("fixed renew_record %zu\n", encode_record());
}

/* Calls `measure` with each of the sizes. */
static void
measure_each(void (*measure)(uint32_t size), const uint32_t *sizes,
             size_t count)
{
    for (size_t i = 0; i < count; i++) {
        measure(sizes[i]);
    }
}

/* Measures a record of `count` starts and one of `count` finishes. */
static void
measure_records(uint32_t count)
{
    fill_record(MB_SHARD_STARTS, 0, count);
    (void)printf("starts_bytes %u %zu\n", count, encode_record());
    fill_record(MB_SHARD_FINISHES, 0, count);
    (void)printf("finishes_bytes %u %zu\n", count, encode_record());
}

int
main(void)
{
    static const uint32_t workers[] = {500, 5000, 23000};
    static const uint32_t tasks[] = {1000, 10000, 100000, 500000};
    static const uint32_t teams[] = {10, 110, 400, 1100};
    static const uint32_t running_counts[] = {0, 1, 5, 21, 64, 256};
    static const uint32_t batches[] = {1, 14, 128, 512};
    measure_each(measure_config, workers, G_N_ELEMENTS(workers));
    measure_each(measure_placement, workers, G_N_ELEMENTS(workers));
    measure_each(measure_shard, tasks, G_N_ELEMENTS(tasks));
    measure_each(measure_dispatch, teams, G_N_ELEMENTS(teams));
    measure_each(measure_sync, running_counts, G_N_ELEMENTS(running_counts));
    measure_each(measure_records, batches, G_N_ELEMENTS(batches));
    print_fixed();
    return 0;
}
