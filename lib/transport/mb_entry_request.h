/* Clients' requests at an entry: admission, choice of a sidecar, waiting for
   credits, attempts and responses. Part of mb_entry_node. Unless noted, the
   functions run on the link thread `entry_loop`. */
#ifndef MB_ENTRY_REQUEST_H
#define MB_ENTRY_REQUEST_H

#include "mb_entry_node.h"

/* Handles a complete request of a client; the callback of the HTTP server, on
   a server thread. `context` is the mb_entry_node_t. */
void mb_entry_handle_request(void *context, mb_http_exchange_t *exchange);
/* Initializes the request table and the queues of a link thread, before it
   starts. */
void mb_entry_requests_init(mb_entry_loop_t *entry_loop);
/* Fails requests whose deadline has passed and serves the queues; to be called
   regularly. `now_us` is on the monotonic clock. */
void mb_entry_requests_tick(mb_entry_loop_t *entry_loop, uint64_t now_us);
/* Releases the request table and the queues; after the link thread has
   ended. */
void mb_entry_requests_finish(mb_entry_loop_t *entry_loop);
/* Makes the requests that wait for credits of a service try again, on their
   link thread. To be called after credits became free, from any thread. */
void mb_entry_wake_waiting(mb_entry_node_t *node, mb_str_t service);
/* Handles a part of a response of a sidecar on this link thread. */
void mb_entry_handle_response(mb_entry_loop_t *entry_loop,
                              const mb_response_t *response);

#endif
