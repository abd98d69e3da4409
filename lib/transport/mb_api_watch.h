/* Internal to the operators' API: watches, requests that wait for a change of
   the configuration (long polling). */
#ifndef MB_API_WATCH_H
#define MB_API_WATCH_H

#include "mb_http_api.h"

void mb_api_watch_handle(mb_http_api_t *api, mb_http_exchange_t *exchange);
void mb_api_watch_changed(void *context, const mb_config_change_t *change);
/* Sends a response with the revision that it shows; defined in
   mb_http_api.c. */
void mb_api_respond(mb_http_exchange_t *exchange, uint32_t status,
                    const char *type, uint64_t revision, mb_str_t body);

#endif
