/* JSON of the state that daemons of all roles have: version, role, settings
   and metrics. */
#ifndef MB_DAEMON_JSON_H
#define MB_DAEMON_JSON_H

#include "mb_counter.h"
#include "mb_settings.h"

/* Appends the state as one line of JSON with a line feed. The settings contain
   no secrets: a token is given there by the path of its file. */
void mb_daemon_json_write(mb_buf_t *out, const char *version, const char *role,
                          const mb_settings_t *settings,
                          const mb_counters_t *counters);

#endif
