/* Msgpack codec of the records in a stream of the log. */
#ifndef MB_RECORD_H
#define MB_RECORD_H

#include <msgpack.h>

#include "mb_replica.h"

/* Memory that is used again for every record of one reader. */
typedef struct mb_record_decoder {
    msgpack_zone zone;
    mb_writer_state_t writer_states[MB_RECORD_WRITER_STATES_MAX];
} mb_record_decoder_t;

bool mb_record_decoder_init(mb_record_decoder_t *decoder);
void mb_record_decoder_finish(mb_record_decoder_t *decoder);
bool mb_record_decode(mb_record_decoder_t *decoder, mb_str_t bytes,
                      mb_record_t *record);
void mb_record_encode(mb_buf_t *out, const mb_record_t *record);

#endif
