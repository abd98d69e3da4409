/* Settings from an INI file, checked as a whole against a table of options. */
#ifndef MB_SETTINGS_H
#define MB_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mb_str.h"

typedef enum mb_option_type {
    MB_OPTION_TEXT,    /* any text of `low` to `high` bytes */
    MB_OPTION_NUMBER,  /* a whole number from `low` to `high` */
    MB_OPTION_FLAG,    /* yes or no */
    MB_OPTION_CHOICE,  /* one of `choices`, separated by '|' */
    MB_OPTION_ADDRESS, /* IPv4:port */
} mb_option_type_t;

/* One option that a settings file may hold. */
typedef struct mb_option {
    const char *section;
    const char *key;
    mb_option_type_t type;
    /* Used when the file does not name the key; NULL makes it mandatory. */
    const char *default_value;
    uint64_t low;
    uint64_t high;
    const char *choices;
    /* Unit for messages, such as "ms"; NULL for none. */
    const char *unit;
    /* Whether a running process takes a change of it on SIGHUP. */
    bool reloadable;
} mb_option_t;

/* The checked values, one for each row of the table. */
typedef struct mb_settings {
    const mb_option_t *options;
    size_t option_count;
    mb_buf_t *values;
    int *lines;
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
