/* Codec of the messages between the owner of the fleet and the agents. */
#ifndef MB_ORDER_CODEC_H
#define MB_ORDER_CODEC_H

#include <msgpack.h>

#include "mb_error.h"
#include "mb_order.h"

/* Memory that is used again for every message of one connection. */
typedef struct mb_order_decoder {
    msgpack_zone zone;
    mb_order_t order;
    mb_report_t report;
} mb_order_decoder_t;

bool mb_order_decoder_init(mb_order_decoder_t *decoder);
void mb_order_decoder_finish(mb_order_decoder_t *decoder);

void mb_order_encode(mb_buf_t *out, const mb_order_t *order);
void mb_report_encode(mb_buf_t *out, const mb_report_t *report);
/* The result is in the decoder, with views into `bytes`; valid until the next
   call. False, with the error set, for bytes that are no such message. */
bool mb_order_decode(mb_order_decoder_t *decoder, mb_str_t bytes,
                     GError **error);
bool mb_report_decode(mb_order_decoder_t *decoder, mb_str_t bytes,
                      GError **error);

#endif
