/* What the roles entry and sidecar share: the control node (replica of the
   configuration, membership and API) and, if this process is eligible, the
   owner node that competes for the ownership of shards. */
#ifndef CONTROL_H
#define CONTROL_H

#include "mb_owner_node.h"
#include "mb_settings.h"
#include "mb_sidecar_node.h"

typedef struct control_options {
    const mb_settings_t *settings;
    uint64_t process;     /* id of this process, the same after a restart */
    uint64_t incarnation; /* differs after each restart */
    mb_sidecar_node_t *sidecar; /* borrowed; NULL in the role entry */
} control_options_t;

typedef struct control {
    bool enabled;   /* a log service is set; otherwise nothing runs */
    mb_buf_t token; /* bearer token of the API; empty: none is required */
    mb_sidecar_node_t *sidecar; /* borrowed; NULL in the role entry */
    mb_control_node_t node;     /* initialized if `enabled` */
    bool may_own_shards;        /* competes for the ownership of shards */
    mb_owner_node_t owner;      /* initialized if `may_own_shards` */
} control_t;

bool control_check(const mb_settings_t *settings, bool is_sidecar,
                   GError **error);
bool control_init(control_t *control, const control_options_t *options,
                  mb_epoch_t *epoch, mb_counters_t *counters,
                  const mb_log_t *log, GError **error);
bool control_start(control_t *control, GError **error);
bool control_dump(control_t *control, mb_buf_t *out);
void control_drain(control_t *control);
void control_finish(control_t *control);

#endif
