/* Keeps the table of queues and that of evacuated failure domains up to date
   with the configuration log, and knows how recent they are. Used on one
   thread, except mb_config_reader_age_us, which any thread may call. */
#ifndef MB_CONFIG_READER_H
#define MB_CONFIG_READER_H

#include "mb_counter.h"
#include "mb_error.h"
#include "mb_evacuation.h"
#include "mb_follower.h"
#include "mb_queue_table.h"

/* Decodes a configuration record and passes the configuration to `take`; it is
   valid during that call, as are its views. Returns false, with the error set,
   for a record that can't be decoded; false without an error for a record of
   another kind. */
typedef struct mb_config_decoder {
    bool (*read)(void *context, mb_str_t key, mb_str_t value,
                 void (*take)(void *take_context,
                              const mb_queue_version_t *version),
                 void *take_context, GError **error);
    /* Tells whether the records of a key request the evacuation of a failure
       domain, and sets `domain` to a view of its name in the key. May be NULL:
       there are no such records. */
    bool (*read_evacuation)(void *context, mb_str_t key, mb_str_t *domain);
    void *context;
} mb_config_decoder_t;

typedef struct mb_config_reader {
    mb_follower_t follower;
    mb_queue_table_t *table;
    mb_clock_t clock;
    mb_config_decoder_t decoder;
    mb_log_t logger;
    mb_metric_t *version_metric; /* NULL: not counted */
    mb_evacuation_t *evacuation; /* NULL: not kept */
    uint64_t evacuation_version; /* of that table, when it was last logged */
    /* Atomic: the table holds every version that the log had accepted at this
       time of the clock; 0: none yet. */
    uint64_t confirmed_us;
} mb_config_reader_t;

void mb_config_reader_init(mb_config_reader_t *reader, mb_str_t stream,
                           const mb_keyed_log_t *log, mb_queue_table_t *table,
                           const mb_config_decoder_t *decoder,
                           mb_metric_t *version_metric,
                           const mb_clock_t *clock, const mb_log_t *logger);
/* Sets the table of evacuated failure domains to be kept up to date, which is
   borrowed. Called before the first read. */
void mb_config_reader_set_evacuation(mb_config_reader_t *reader,
                                     mb_evacuation_t *evacuation);
void mb_config_reader_finish(mb_config_reader_t *reader);
void mb_config_reader_run(mb_config_reader_t *reader);
uint64_t mb_config_reader_age_us(const mb_config_reader_t *reader);

#endif
