/* Codec of the record payloads in the stream `config`: writes of declared
   resources, and the resources of a snapshot. */
#ifndef MB_CONFIG_RECORD_H
#define MB_CONFIG_RECORD_H

#include "mb_config_store.h"

/* Returns the codec to pass to mb_config_store_init. It has no state. */
mb_config_codec_t mb_config_record_codec(void);

#endif
