/* An entry's links to sidecars: HELLO, heartbeat, replacement and loss. Part
   of mb_entry_node; used on the thread of one of its loops. */
#ifndef MB_ENTRY_PEER_H
#define MB_ENTRY_PEER_H

#include "mb_entry_node.h"

typedef struct mb_entry_connection mb_entry_connection_t;

/* One incarnation of a sidecar, which may have several connections in turn.
   Freed with the last reference to its target. */
typedef struct mb_entry_peer {
    mb_entry_loop_t *entry_loop;
    mb_target_t *target;
    mb_service_load_t *service_load;
    mb_entry_connection_t *current; /* NULL while the link is lost */
    uint64_t link_lost_ms;          /* when the link was lost */
    bool removed;                   /* is out of the routing */
} mb_entry_peer_t;

void mb_entry_add_connection(mb_entry_loop_t *entry_loop, int fd);
bool mb_entry_peer_send(mb_entry_peer_t *peer, const mb_message_t *message);
void mb_entry_peers_tick(mb_entry_loop_t *entry_loop, uint64_t now_ms);
void mb_entry_peers_finish(mb_entry_loop_t *entry_loop);

#endif
