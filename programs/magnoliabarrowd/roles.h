/* The roles that magnoliabarrowd can serve. */
#ifndef ROLES_H
#define ROLES_H

#include "magnoliabarrow.h"

const mb_daemon_role_t *role_from_name(mb_str_t name);

/* Returns a text setting of a daemon. */
static inline mb_str_t
daemon_setting_text(const mb_daemon_t *daemon, const char *section,
                    const char *key)
{
    return mb_settings_text(&daemon->settings, section, key);
}

/* Returns a number setting of a daemon that fits 32 bits. */
static inline uint32_t
daemon_setting_u32(const mb_daemon_t *daemon, const char *section,
                   const char *key)
{
    return (uint32_t)mb_settings_number(&daemon->settings, section, key);
}

#endif
