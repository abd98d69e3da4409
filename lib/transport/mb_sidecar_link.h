/* A sidecar's links to entries: opening, heartbeat and replacement before
   teardown. Part of mb_sidecar_node; used on its loop's thread. */
#ifndef MB_SIDECAR_LINK_H
#define MB_SIDECAR_LINK_H

#include "mb_sidecar_node.h"

bool mb_sidecar_parse_entries(mb_sidecar_node_t *node, mb_str_t list,
                              GError **error);
void mb_sidecar_entry_tick(mb_sidecar_entry_t *entry, uint64_t now_ms);
void mb_sidecar_entry_finish(mb_sidecar_entry_t *entry);
bool mb_sidecar_entry_has_connection(const mb_sidecar_entry_t *entry);
bool mb_sidecar_entry_is_attached(const mb_sidecar_entry_t *entry);
void mb_sidecar_entry_send(mb_sidecar_entry_t *entry,
                           const mb_message_t *message);
size_t mb_sidecar_entry_count_unsent(const mb_sidecar_entry_t *entry);

#endif
