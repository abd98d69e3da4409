/* An entry's links to sidecars: handshake (HELLO), heartbeat, replacement of a
   connection by a newer one, and loss. Part of mb_entry_node. All functions
   run on the link thread that owns the connection or peer, or after that
   thread has ended. */
#ifndef MB_ENTRY_PEER_H
#define MB_ENTRY_PEER_H

#include "mb_entry_node.h"

typedef struct mb_entry_connection mb_entry_connection_t;

/* One incarnation of a sidecar. It may have several connections, of which the
   current one is used to send. Owned by its target and freed with the last
   reference to it. */
typedef struct mb_entry_peer {
    mb_entry_loop_t *entry_loop; /* its link thread; NULL until attached */
    mb_target_t *target;         /* its place in the routing table */
    mb_service_load_t *service_load;
    mb_entry_connection_t *current; /* NULL while it has no connection */
    uint64_t link_lost_ms;          /* when `current` became NULL */
    bool removed;                   /* from the routing table */
} mb_entry_peer_t;

/* Starts serving an accepted connection, whose socket it owns from now on.
   Until its HELLO is received, the connection may be on any link thread. */
void mb_entry_add_connection(mb_entry_loop_t *entry_loop, int fd);
/* Queues a message on the current connection of a sidecar. Returns false when
   there is none or it can't take the message. */
bool mb_entry_peer_send(mb_entry_peer_t *peer, const mb_message_t *message);
/* Sends heartbeats, closes silent connections and removes sidecars that have
   not reconnected in time; to be called regularly. */
void mb_entry_peers_tick(mb_entry_loop_t *entry_loop, uint64_t now_ms);
/* Closes all connections and removes all sidecars; after the link thread has
   ended. */
void mb_entry_peers_finish(mb_entry_loop_t *entry_loop);

#endif
