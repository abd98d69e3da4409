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

/* Applies a record of an evacuated failure domain. Returns false if it is of
   another kind. A record without a value withdraws the request. */
static bool
apply_evacuation(mb_config_reader_t *reader, const mb_keyed_record_t *record)
{
    mb_str_t domain;
    if (reader->evacuation == NULL ||
        reader->decoder.read_evacuation == NULL ||
        !reader->decoder.read_evacuation(reader->decoder.context, record->key,
                                         &domain)) {
        return false;
    }
    mb_evacuation_apply(reader->evacuation, domain, record->value.len > 0);
    return true;
}

/* Applies one record of the configuration log. A record without a value
   removes the key; the present configuration then stays in force. */
static void
apply_record(void *context, const mb_keyed_record_t *record, bool in_order)
{
    mb_config_reader_t *reader = context;
    g_autoptr(GError) error = NULL;
    (void)in_order;
    if (!apply_evacuation(reader, record) && record->value.len > 0 &&
        !reader->decoder.read(reader->decoder.context, record->key,
                              record->value, publish, reader, &error) &&
        error != NULL) {
        mb_log_warning(&reader->logger, "invalid configuration ignored: %s",
                       error->message);
    }
}

/* Called when a load of the newest records begins. */
static void
begin_load(void *context)
{
    mb_config_reader_t *reader = context;
    if (reader->evacuation != NULL) {
        mb_evacuation_begin_load(reader->evacuation);
    }
}

/* Called when a load of the newest records is complete. */
static void
end_load(void *context)
{
    mb_config_reader_t *reader = context;
    if (reader->evacuation != NULL) {
        mb_evacuation_end_load(reader->evacuation);
    }
}

/* Called when a read has ended. */
static void
note_read_end(void *context, uint64_t read_start_us, bool succeeded)
{
    mb_config_reader_t *reader = context;
    if (reader->evacuation != NULL) {
        mb_evacuation_read_ended(reader->evacuation, read_start_us, succeeded);
    }
}

/* Notes the age of the table of evacuated domains, and logs what is in force
   after a change. */
static void
confirm_evacuation(mb_config_reader_t *reader, uint64_t read_start_us)
{
    mb_evacuation_t *evacuation = reader->evacuation;
    mb_evacuation_caught_up(evacuation, read_start_us);
    if (evacuation->version == reader->evacuation_version) {
        return;
    }
    reader->evacuation_version = evacuation->version;
    mb_log_notice(&reader->logger,
                  "evacuations in force domains=%u "
                  "next_offset=%" G_GUINT64_FORMAT
                  " read_started_ms_ago=%" G_GUINT64_FORMAT,
                  evacuation->evacuated, reader->follower.next_offset,
                  (mb_clock_us(&reader->clock) - read_start_us) /
                      MB_US_PER_MS);
}

/* Called when the tables hold everything that the log held at `read_start_us`
   of the clock. */
static void
note_caught_up(void *context, uint64_t read_start_us)
{
    mb_config_reader_t *reader = context;
    mb_atomic_store(&reader->confirmed_us, read_start_us);
    if (reader->evacuation != NULL) {
        confirm_evacuation(reader, read_start_us);
    }
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
    mb_follower_callbacks_t callbacks = {.apply = apply_record,
                                         .load_begins = begin_load,
                                         .loaded = end_load,
                                         .caught_up = note_caught_up,
                                         .read_ended = note_read_end,
                                         .context = reader};
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

/* Sets the table of evacuated failure domains; see the header. */
void
mb_config_reader_set_evacuation(mb_config_reader_t *reader,
                                mb_evacuation_t *evacuation)
{
    reader->evacuation = evacuation;
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
