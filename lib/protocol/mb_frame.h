/* Frames of the links between the system's own processes: a 4-byte big-endian
   length, followed by that many bytes with one msgpack array, whose first
   element is the message type. The formats of the messages are described in
   mb_frame.c. */
#ifndef MB_FRAME_H
#define MB_FRAME_H

#include <msgpack.h>

#include "mb_message.h"

/* Maximum size of a frame, in bytes, not counting its length field. */
#define MB_FRAME_MAX (MB_BODY_MAX + 64u * 1024u)
/* Size of the length field, in bytes. */
#define MB_FRAME_LENGTH_BYTES 4

typedef enum mb_frame_result {
    MB_FRAME_OK,
    MB_FRAME_INCOMPLETE, /* more bytes are needed */
    MB_FRAME_INVALID     /* not a valid frame; the link must be closed */
} mb_frame_result_t;

/* Memory for decoding, reused for each frame of a link. Used on one thread. */
typedef struct mb_frame_decoder {
    msgpack_zone zone;
} mb_frame_decoder_t;

/* Returns false, with nothing to release, when out of memory. */
bool mb_frame_decoder_init(mb_frame_decoder_t *decoder);
void mb_frame_decoder_finish(mb_frame_decoder_t *decoder);
/* Decodes the first frame in `bytes`. With MB_FRAME_OK, `*consumed` is its
   size including the length field, every field of `message` is within its
   bounds, and views in it point into `bytes`. With MB_FRAME_INVALID the error
   is set; the link must then be closed, since the start of the next frame
   can't be trusted. */
mb_frame_result_t mb_frame_decode(mb_frame_decoder_t *decoder, mb_str_t bytes,
                                  size_t *consumed, mb_message_t *message,
                                  GError **error);
/* Appends a message as one frame. A REQUEST or RESPONSE must be within the
   limits that mb_message_fits checks. */
void mb_frame_encode(mb_buf_t *out, const mb_message_t *message);

#endif
