/* msgpack codec of the sync request that the owner of a shard sends to a
   worker and of the worker's response. The formats are described in
   mb_worker_msg.c. */
#ifndef MB_WORKER_MSG_H
#define MB_WORKER_MSG_H

#include <msgpack.h>

#include "mb_error.h"
#include "mb_shard_message.h"

/* Maximum size of a request or response, in bytes. */
#define MB_WORKER_MSG_MAX (2u * 1024u * 1024u)

void mb_worker_msg_encode_request(mb_buf_t *out,
                                  const mb_sync_request_t *request);
void mb_worker_msg_encode_response(mb_buf_t *out,
                                   const mb_sync_response_t *response);
/* Decode one message. Views in it point into `bytes`, and `zone` provides the
   memory for decoding; both must outlive the message. Return false, with the
   error set, if `bytes` are malformed, too long or out of the bounds in
   mb_shard_message.h. */
bool mb_worker_msg_decode_request(msgpack_zone *zone, mb_str_t bytes,
                                  mb_sync_request_t *request, GError **error);
bool mb_worker_msg_decode_response(msgpack_zone *zone, mb_str_t bytes,
                                   mb_sync_response_t *response,
                                   GError **error);

#endif
