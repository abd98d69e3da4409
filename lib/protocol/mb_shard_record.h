/* msgpack codec of the records of a shard's stream and of its snapshots. */
#ifndef MB_SHARD_RECORD_H
#define MB_SHARD_RECORD_H

#include <msgpack.h>

#include "mb_error.h"
#include "mb_replica.h"
#include "mb_shard.h"

void mb_shard_record_encode(mb_buf_t *out, const mb_shard_record_t *record);
/* Views of the record point into `bytes` and `zone`. */
bool mb_shard_record_decode(msgpack_zone *zone, mb_str_t bytes,
                            mb_shard_record_t *record, GError **error);
void mb_shard_item_encode(mb_buf_t *out, const mb_shard_item_t *item);

/* Joins a shard to the replica of its stream. */
mb_replica_callbacks_t mb_shard_record_replica_callbacks(mb_shard_t *shard);

#endif
