/* A sidecar's links to entries: opening, heartbeat, and replacement of a
   silent connection before it is closed. Part of mb_sidecar_node; used on its
   loop thread, or while that is not running. */
#ifndef MB_SIDECAR_LINK_H
#define MB_SIDECAR_LINK_H

#include "mb_sidecar_node.h"

/* Adds the entries of a list, IPv4:port, separated by commas, to the node,
   which must have none yet. The list may be empty. Returns false with `error`
   set when an address is invalid or there are too many. */
bool mb_sidecar_parse_entries(mb_sidecar_node_t *node, mb_str_t list,
                              GError **error);
/* Sends the heartbeat, and opens or replaces connections; to be called
   regularly. `now_ms` is on the monotonic clock. */
void mb_sidecar_entry_tick(mb_sidecar_entry_t *entry, uint64_t now_ms);
/* Closes all connections to an entry. */
void mb_sidecar_entry_finish(mb_sidecar_entry_t *entry);
/* Returns whether there is a connection to the entry, including one on which
   no HELLO has been received yet. */
bool mb_sidecar_entry_has_connection(const mb_sidecar_entry_t *entry);
/* Returns whether the entry has answered with HELLO on a connection that is
   still open. */
bool mb_sidecar_entry_is_attached(const mb_sidecar_entry_t *entry);
/* Sends a message on the current connection. Drops it if there is none, or if
   too many bytes wait there already; the connection is closed then. */
void mb_sidecar_entry_send(mb_sidecar_entry_t *entry,
                           const mb_message_t *message);
/* Returns the number of bytes that wait to be sent on the current
   connection. */
size_t mb_sidecar_entry_count_unsent(const mb_sidecar_entry_t *entry);

#endif
