/* Clients' requests at an entry: admission, choice of a sidecar, waiting for
   credits, attempts and answers. Part of mb_entry_node. */
#ifndef MB_ENTRY_REQUEST_H
#define MB_ENTRY_REQUEST_H

#include "mb_entry_node.h"

void mb_entry_handle_request(void *context, mb_http_exchange_t *exchange);
void mb_entry_requests_init(mb_entry_loop_t *entry_loop);
void mb_entry_requests_tick(mb_entry_loop_t *entry_loop, uint64_t now_us);
void mb_entry_requests_finish(mb_entry_loop_t *entry_loop);
void mb_entry_wake_waiting(mb_entry_node_t *node, mb_str_t service);
void mb_entry_handle_response(mb_entry_loop_t *entry_loop,
                              const mb_response_t *response);

#endif
