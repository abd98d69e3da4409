/* The table of the roles of magnoliabarrowd, and access to the settings of a
   daemon. */
#ifndef ROLES_H
#define ROLES_H

#include "magnoliabarrow.h"

const mb_daemon_role_t *role_from_name(mb_str_t name);

/* Returns the value of a text option, valid until the daemon is released. */
static inline mb_str_t
daemon_setting_text(const mb_daemon_t *daemon, const char *section,
                    const char *key)
{
    return mb_settings_text(&daemon->settings, section, key);
}

/* Returns the value of a number option. Its maximum in the table of options
   must fit 32 bits. */
static inline uint32_t
daemon_setting_u32(const mb_daemon_t *daemon, const char *section,
                   const char *key)
{
    return (uint32_t)mb_settings_number(&daemon->settings, section, key);
}

#endif
