/* msgpack codec of the records in a shard's stream and of the items of its
   snapshots. The formats are described in mb_shard_record.c. */
#ifndef MB_SHARD_RECORD_H
#define MB_SHARD_RECORD_H

#include <msgpack.h>

#include "mb_error.h"
#include "mb_replica.h"
#include "mb_shard.h"

/* Appends a record that is within the bounds in mb_shard_message.h. */
void mb_shard_record_encode(mb_buf_t *out, const mb_shard_record_t *record);
/* Decodes a record. Views in it point into `bytes`, and `zone` provides the
   memory for decoding; both must outlive the record. Returns false, with the
   error set, if it is malformed or out of bounds. */
bool mb_shard_record_decode(msgpack_zone *zone, mb_str_t bytes,
                            mb_shard_record_t *record, GError **error);
/* Appends one item of a snapshot. */
void mb_shard_item_encode(mb_buf_t *out, const mb_shard_item_t *item);

/* Returns the callbacks by which a replica of the shard's stream updates,
   loads and saves the state of `shard`, which must outlive the replica. */
mb_replica_callbacks_t mb_shard_record_replica_callbacks(mb_shard_t *shard);

#endif
