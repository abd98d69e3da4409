/* msgpack codec of the messages between the owner of the fleet and the agents:
   orders and reports. They are sent in frames, see mb_frame.h. */
#ifndef MB_ORDER_CODEC_H
#define MB_ORDER_CODEC_H

#include <msgpack.h>

#include "mb_error.h"
#include "mb_order.h"

/* Memory for decoding, reused for each message of a connection. Used on one
   thread. */
typedef struct mb_order_decoder {
    msgpack_zone zone;
    mb_order_t order;   /* result of mb_order_decode */
    mb_report_t report; /* result of mb_report_decode */
} mb_order_decoder_t;

/* Returns false when out of memory. */
bool mb_order_decoder_init(mb_order_decoder_t *decoder);
void mb_order_decoder_finish(mb_order_decoder_t *decoder);

/* Append a message to `out`. */
void mb_order_encode(mb_buf_t *out, const mb_order_t *order);
void mb_report_encode(mb_buf_t *out, const mb_report_t *report);
/* Decode `bytes` into the decoder's `order` or `report`, which are valid until
   the next call and have views into `bytes`. Return false, with the error set,
   for bytes that are malformed or out of the bounds in mb_order.h. */
bool mb_order_decode(mb_order_decoder_t *decoder, mb_str_t bytes,
                     GError **error);
bool mb_report_decode(mb_order_decoder_t *decoder, mb_str_t bytes,
                      GError **error);

#endif
