/* Settings from an INI file. The whole file is checked against a table of
   options; an unknown key or an invalid value makes it invalid. */
#ifndef MB_SETTINGS_H
#define MB_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mb_str.h"

typedef enum mb_option_type {
    MB_OPTION_TEXT,    /* `low` to `high` bytes */
    MB_OPTION_NUMBER,  /* a whole number from `low` to `high` */
    MB_OPTION_FLAG,    /* yes or no */
    MB_OPTION_CHOICE,  /* one of `choices`, separated by '|' */
    MB_OPTION_ADDRESS, /* IPv4:port */
} mb_option_type_t;

/* An option that a settings file may contain. Texts are borrowed, usually
   literals. */
typedef struct mb_option {
    const char *section;
    const char *key;
    mb_option_type_t type;
    /* The value if the file does not name the key; NULL if the key is
       mandatory. */
    const char *default_value;
    /* Range, inclusive, of a number or of the length of a text. */
    uint64_t low;
    uint64_t high;
    const char *choices; /* of MB_OPTION_CHOICE, else NULL */
    /* Unit of a number in messages, such as "ms"; NULL for none. */
    const char *unit;
    /* Whether a change takes effect on SIGHUP, without a restart. */
    bool reloadable;
} mb_option_t;

/* The valid values of a settings file. */
typedef struct mb_settings {
    const mb_option_t *options;
    size_t option_count;
    mb_buf_t *values; /* by index of the option */
    int *lines;       /* where each was given, from 1; 0: default value */
} mb_settings_t;

bool mb_settings_init(mb_settings_t *settings, const mb_option_t *options,
                      size_t option_count, const char *path, GError **error);
void mb_settings_finish(mb_settings_t *settings);
mb_str_t mb_settings_text(const mb_settings_t *settings, const char *section,
                          const char *key);
uint64_t mb_settings_number(const mb_settings_t *settings, const char *section,
                            const char *key);
bool mb_settings_flag(const mb_settings_t *settings, const char *section,
                      const char *key);
size_t mb_settings_diff(const mb_settings_t *now, const mb_settings_t *next,
                        void (*changed)(void *context,
                                        const mb_option_t *option),
                        void *context);
bool mb_address_parse(mb_str_t text, uint32_t *ip, uint16_t *port);

#endif
