/* The part of the daemon that all roles share, made from the settings. */
#ifndef CONTROL_H
#define CONTROL_H

#include "mb_owner_node.h"
#include "mb_settings.h"
#include "mb_sidecar_node.h"

typedef struct control_options {
    const mb_settings_t *settings;
    uint64_t process;
    uint64_t incarnation;
    mb_sidecar_node_t *sidecar; /* NULL in the role entry */
} control_options_t;

typedef struct control {
    bool enabled; /* a log service is set */
    mb_buf_t token;
    mb_sidecar_node_t *sidecar;
    mb_control_node_t node;
    bool may_own_shards; /* takes part in the shards */
    mb_owner_node_t owner;
} control_t;

bool control_check(const mb_settings_t *settings, bool sidecar,
                   GError **error);
bool control_init(control_t *control, const control_options_t *options,
                  mb_epoch_t *epoch, mb_counters_t *counters,
                  const mb_log_t *log, GError **error);
bool control_start(control_t *control, GError **error);
bool control_dump(control_t *control, mb_buf_t *out);
void control_drain(control_t *control);
void control_finish(control_t *control);

#endif
