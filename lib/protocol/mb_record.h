/* msgpack codec of the records in a stream of the log. A record is a map with
   keys of one letter:
   w: writer, s: sequence number of the writer, t: record type, p: payload
   and, for the records of a snapshot, also:
   i: id of the snapshot, a: first offset that the snapshot does not include,
   n: index of the record in the snapshot, m: states of writers (see
      mb_writer_state_t), as an array: writer, sequence, time in ms, writer,
      ...
   The offset and the time of a record are not part of it; the log stores them.
   Readers ignore unknown keys, so that later versions can add some. */
#ifndef MB_RECORD_H
#define MB_RECORD_H

#include <msgpack.h>

#include "mb_replica.h"

/* Memory for decoding, reused for each record. Used on one thread. */
typedef struct mb_record_decoder {
    msgpack_zone zone;
    mb_writer_state_t writer_states[MB_RECORD_WRITER_STATES_MAX];
} mb_record_decoder_t;

/* Returns false, with nothing to release, when out of memory. */
bool mb_record_decoder_init(mb_record_decoder_t *decoder);
void mb_record_decoder_finish(mb_record_decoder_t *decoder);
/* Decodes a record, except its offset and time, which the caller sets. Views
   in it point into `bytes` and the decoder, and are valid until the next call.
   Returns false if it is malformed or lacks the writer, the sequence number or
   the type. */
bool mb_record_decode(mb_record_decoder_t *decoder, mb_str_t bytes,
                      mb_record_t *record);
void mb_record_encode(mb_buf_t *out, const mb_record_t *record);

#endif
