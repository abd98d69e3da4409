/* Frames between the system's own processes: a 4-byte big-endian length,
   then one msgpack array that begins with the message type. */
#ifndef MB_FRAME_H
#define MB_FRAME_H

#include <msgpack.h>

#include "mb_message.h"

/* Largest frame without its length field, in bytes. */
#define MB_FRAME_MAX (MB_BODY_MAX + 64u * 1024u)

typedef enum mb_frame_result {
    MB_FRAME_OK,
    MB_FRAME_INCOMPLETE,
    MB_FRAME_INVALID
} mb_frame_result_t;

/* Memory that is used again for every frame of one link. */
typedef struct mb_frame_decoder {
    msgpack_zone zone;
} mb_frame_decoder_t;

bool mb_frame_decoder_init(mb_frame_decoder_t *decoder);
void mb_frame_decoder_finish(mb_frame_decoder_t *decoder);
mb_frame_result_t mb_frame_decode(mb_frame_decoder_t *decoder, mb_str_t bytes,
                                  size_t *consumed, mb_message_t *message,
                                  GError **error);
void mb_frame_encode(mb_buf_t *out, const mb_message_t *message);

#endif
