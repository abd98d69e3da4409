/* Measures the speed of replay: decodes and applies 1,000,000 records of 1,000
   writers. Prints a "name value unit" line. */
#include <stdio.h>
#include <stdlib.h>

#include "mb_clock.h"
#include "mb_record.h"

#define RECORDS 1000000u
#define WRITERS 1000u

/* Counts an applied record, as the replica's callback. */
static void
count_record(void *context, const mb_record_t *record, bool own)
{
    uint64_t *count = context;
    (void)own;
    *count += record->payload.len > 0;
}

/* Does nothing: the bench keeps no state besides the count. */
static void
reset(void *context)
{
    (void)context;
}

/* Encodes all records into one buffer; `starts` receives where each begins. */
static void
encode_records(mb_buf_t *bytes, size_t *starts)
{
    for (uint32_t i = 0; i < RECORDS; i++) {
        mb_record_t record = {
            .writer = UINT64_C(0x9e3779b97f4a7c15) * (i % WRITERS + 2),
            .sequence = i / WRITERS + 1,
            .payload = MB_STR_LIT("0123456789012345678901234567890123456789"
                                  "0123456789012345678901234567890123456789")};
        starts[i] = bytes->len;
        mb_record_encode(bytes, &record);
    }
    starts[RECORDS] = bytes->len;
}

/* Decodes and feeds all records; false when one can't be decoded. */
static bool
replay(mb_replica_t *replica, const mb_buf_t *bytes, const size_t *starts)
{
    static mb_record_decoder_t decoder;
    bool ok = mb_record_decoder_init(&decoder);
    for (uint32_t i = 0; ok && i < RECORDS; i++) {
        mb_record_t record;
        mb_str_t view = {bytes->data + starts[i], starts[i + 1] - starts[i]};
        ok = mb_record_decode(&decoder, view, &record);
        record.offset = i;
        record.time_ms = i;
        (void)mb_replica_feed(replica, &record);
    }
    mb_record_decoder_finish(&decoder);
    return ok;
}

int
main(void)
{
    mb_replica_t replica;
    uint64_t applied = 0;
    mb_replica_config_t config = {1, 3600000, true};
    mb_replica_callbacks_t callbacks = {
        .apply = count_record, .reset = reset, .context = &applied};
    mb_log_t log = mb_log_null();
    mb_clock_t clock = mb_clock_monotonic();
    mb_buf_t bytes = {0};
    size_t *starts = calloc(RECORDS + 1, sizeof(*starts));
    encode_records(&bytes, starts);
    mb_replica_init(&replica, &config, &callbacks, &log);
    mb_replica_start(&replica, 0);
    uint64_t begin = mb_clock_us(&clock);
    bool ok = replay(&replica, &bytes, starts) && applied == RECORDS;
    uint64_t taken = mb_clock_us(&clock) - begin;
    if (ok) {
        (void)printf("replay_records_per_s %.0f 1/s\n",
                     (double)RECORDS * 1e6 / (double)taken);
    }
    mb_replica_finish(&replica);
    mb_buf_finish(&bytes);
    free(starts);
    return ok ? 0 : 1;
}
