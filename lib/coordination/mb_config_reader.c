#include "mb_config_reader.h"

#include <glib.h>
#include <string.h>

#include "mb_atomic.h"

/* Publishes a configuration to the readers of the table, unless a newer
   version is in force. */
static void
publish(void *context, const mb_queue_version_t *version)
{
    mb_config_reader_t *reader = context;
    const mb_follower_t *follower = &reader->follower;
    const mb_queue_version_t *present = mb_queue_table_load(reader->table);
    uint64_t replaced = present == NULL ? 0 : present->version;
    if (!mb_queue_table_publish(reader->table, version)) {
        mb_log_info(
            &reader->logger,
            "configuration ignored: not newer version=%" G_GUINT64_FORMAT
            " in_force=%" G_GUINT64_FORMAT,
            version->version, replaced);
        return;
    }
    uint64_t now_us = mb_clock_us(&follower->clock);
    if (reader->version_metric != NULL) {
        mb_gauge_set(reader->version_metric, version->version);
    }
    mb_log_notice(&reader->logger,
                  "configuration in force version=%" G_GUINT64_FORMAT
                  " queues=%u services=%u replaced=%" G_GUINT64_FORMAT
                  " next_offset=%" G_GUINT64_FORMAT
                  " read_started_ms_ago=%" G_GUINT64_FORMAT
                  " answered_ms_ago=%" G_GUINT64_FORMAT,
                  version->version, version->queue_count, version->pool_count,
                  replaced, follower->next_offset,
                  (now_us - follower->read_start_us) / MB_US_PER_MS,
                  (now_us - follower->last_answer_us) / MB_US_PER_MS);
}

/* Applies one record of the configuration log. A record without a value
   removes the key; the present configuration then stays in force. */
static void
apply_record(void *context, const mb_keyed_record_t *record, bool in_order)
{
    mb_config_reader_t *reader = context;
    g_autoptr(GError) error = NULL;
    (void)in_order;
    if (record->value.len > 0 &&
        !reader->decoder.read(reader->decoder.context, record->key,
                              record->value, publish, reader, &error) &&
        error != NULL) {
        mb_log_warning(&reader->logger, "invalid configuration ignored: %s",
                       error->message);
    }
}

/* Called when the table holds everything that the log held at `read_start_us`
   of the clock. */
static void
note_caught_up(void *context, uint64_t read_start_us)
{
    mb_config_reader_t *reader = context;
    mb_atomic_store(&reader->confirmed_us, read_start_us);
}

/* Initializes a reader that has read nothing. `stream`, `table` and
   `version_metric` are borrowed; the other arguments are copied. */
void
mb_config_reader_init(mb_config_reader_t *reader, mb_str_t stream,
                      const mb_keyed_log_t *log, mb_queue_table_t *table,
                      const mb_config_decoder_t *decoder,
                      mb_metric_t *version_metric, const mb_clock_t *clock,
                      const mb_log_t *logger)
{
    mb_follower_callbacks_t callbacks = {
        .apply = apply_record, .caught_up = note_caught_up, .context = reader};
    memset(reader, 0, sizeof(*reader));
    reader->table = table;
    reader->clock = *clock;
    reader->decoder = *decoder;
    reader->logger = *logger;
    reader->version_metric = version_metric;
    mb_follower_init(&reader->follower, stream, log, &callbacks, clock,
                     logger);
    /* A version contains the whole configuration. */
    mb_follower_set_newest_only(&reader->follower);
}

/* Releases the reader. No read may be in progress. */
void
mb_config_reader_finish(mb_config_reader_t *reader)
{
    mb_follower_finish(&reader->follower);
}

/* Sends the next read if it is due. To be called regularly. */
void
mb_config_reader_run(mb_config_reader_t *reader)
{
    mb_follower_run(&reader->follower);
}

/* Returns the age of the table, in microseconds: it holds every version that
   the log had accepted that long ago. UINT64_MAX if nothing is known. To judge
   a version by its age, this is called before mb_queue_table_load. Any
   thread. */
uint64_t
mb_config_reader_age_us(const mb_config_reader_t *reader)
{
    uint64_t confirmed_us = mb_atomic_load(&reader->confirmed_us);
    return confirmed_us == 0 ? UINT64_MAX
                             : mb_clock_us(&reader->clock) - confirmed_us;
}
