#include "mb_settings.h"

#include <arpa/inet.h>
#include <ini.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mb_cleanup.h"
#include "mb_error.h"

/* The state while a settings file is parsed. */
typedef struct parse {
    mb_settings_t *settings;
    const char *path;
    GError **error;
    bool failed; /* *error is set */
    FILE *file;
    int line; /* number of the latest line read, from 1 */
} parse_t;

/* Returns the index of an option; `option_count` if there is none. */
static size_t
find_option(const mb_settings_t *settings, const char *section,
            const char *key)
{
    for (size_t i = 0; i < settings->option_count; i++) {
        if (strcmp(settings->options[i].section, section) == 0 &&
            strcmp(settings->options[i].key, key) == 0) {
            return i;
        }
    }
    return settings->option_count;
}

/* Parses "IPv4:port" with a port from 1 to 65535. The results are in host byte
   order. Returns false and leaves them unchanged for any other text. */
bool
mb_address_parse(mb_str_t text, uint32_t *ip, uint16_t *port)
{
    char host[INET_ADDRSTRLEN];
    struct in_addr address;
    mb_str_t rest = text;
    mb_str_t part;
    uint64_t number;
    if (!mb_str_split(&rest, ':', &part) || part.len >= sizeof(host)) {
        return false;
    }
    memcpy(host, part.data, part.len);
    host[part.len] = '\0';
    if (inet_pton(AF_INET, host, &address) != 1) {
        return false;
    }
    if (!mb_str_to_u64(rest, &number) || number < 1 || number > UINT16_MAX) {
        return false;
    }
    *ip = ntohl(address.s_addr);
    *port = (uint16_t)number;
    return true;
}

/* Returns whether the value is one of the choices, which are separated by
   '|'. */
static bool
is_choice(const char *choices, mb_str_t value)
{
    mb_str_t rest = mb_str_from_cstr(choices);
    mb_str_t choice;
    while (mb_str_split(&rest, '|', &choice)) {
        if (mb_str_equal(choice, value)) {
            return true;
        }
    }
    return false;
}

/* Returns whether a value is allowed for an option. */
static bool
value_is_valid(const mb_option_t *option, mb_str_t value)
{
    uint64_t number;
    uint32_t ip;
    uint16_t port;
    switch (option->type) {
    case MB_OPTION_TEXT:
        return value.len >= option->low && value.len <= option->high;
    case MB_OPTION_NUMBER:
        return mb_str_to_u64(value, &number) && number >= option->low &&
               number <= option->high;
    case MB_OPTION_FLAG:
        return is_choice("yes|no", value);
    case MB_OPTION_CHOICE:
        return is_choice(option->choices, value);
    case MB_OPTION_ADDRESS:
        return mb_address_parse(value, &ip, &port);
    }
    return false;
}

/* Appends a description of the allowed values of an option. */
static void
describe_range(const mb_option_t *option, mb_buf_t *out)
{
    const char *unit = option->unit == NULL ? "" : option->unit;
    switch (option->type) {
    case MB_OPTION_TEXT:
        mb_buf_printf(out,
                      "text of %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT
                      " bytes",
                      option->low, option->high);
        break;
    case MB_OPTION_NUMBER:
        mb_buf_printf(out,
                      "a whole number from %" G_GUINT64_FORMAT
                      " to %" G_GUINT64_FORMAT "%s%s",
                      option->low, option->high, *unit ? " " : "", unit);
        break;
    case MB_OPTION_FLAG:
        mb_buf_append_cstr(out, "yes or no");
        break;
    case MB_OPTION_CHOICE:
        mb_buf_printf(out, "one of %s", option->choices);
        break;
    case MB_OPTION_ADDRESS:
        mb_buf_append_cstr(out, "IPv4:port");
        break;
    }
}

/* Sets the error, unless an earlier one is set. A `line` of 0 means that the
   error concerns the file as a whole. Returns 0, by which a handler reports a
   failure to inih. */
static int
fail_parse(parse_t *parse, int line, const char *section, const char *key,
           const char *reason)
{
    if (!parse->failed && line == 0) {
        mb_error_set(parse->error, MB_KIND_CONFIG, "%s: [%s] %s: %s",
                     parse->path, section, key, reason);
    }
    else if (!parse->failed) {
        mb_error_set(parse->error, MB_KIND_CONFIG, "%s:%d: [%s] %s: %s",
                     parse->path, line, section, key, reason);
    }
    parse->failed = true;
    return 0;
}

/* Reads a line for inih. Counts the lines, because the packaged inih does not
   pass line numbers to the handler, and rejects a line that is longer than the
   buffer of inih, which would otherwise be parsed as two lines. */
static char *
read_line(char *line, int size, void *context)
{
    parse_t *parse = context;
    char *result = fgets(line, size, parse->file);
    if (result == NULL) {
        return NULL;
    }
    parse->line++;
    if (strchr(line, '\n') == NULL && !feof(parse->file)) {
        (void)fail_parse(parse, parse->line, "", "", "line is too long");
        return NULL;
    }
    return result;
}

/* Checks and stores the value of a key; the handler of inih. */
static int
handle_key(void *context, const char *section, const char *key,
           const char *value)
{
    parse_t *parse = context;
    mb_settings_t *settings = parse->settings;
    int line = parse->line;
    size_t row = find_option(settings, section, key);
    if (row == settings->option_count) {
        return fail_parse(parse, line, section, key, "unknown key");
    }
#ifndef MB_MUTANT_SETTINGS_TAKES_DUPLICATE
    if (settings->lines[row] != 0) {
        return fail_parse(parse, line, section, key, "given twice");
    }
#endif
    mb_str_t text = mb_str_trim(mb_str_from_cstr(value));
    bool valid = value_is_valid(&settings->options[row], text);
#ifdef MB_MUTANT_SETTINGS_RANGE_NOT_CHECKED
    valid = true;
#endif
    if (!valid) {
        MB_AUTO_BUF mb_buf_t reason = {0};
        mb_buf_append_cstr(&reason, "must be ");
        describe_range(&settings->options[row], &reason);
        mb_buf_append_byte(&reason, '\0');
        return fail_parse(parse, line, section, key, reason.data);
    }
    mb_buf_set(&settings->values[row], text);
    settings->lines[row] = line;
    return 1;
}

/* Sets the options that the file does not name to their default values. Fails
   if a mandatory option is missing. */
static bool
apply_defaults(parse_t *parse)
{
    mb_settings_t *settings = parse->settings;
    for (size_t i = 0; i < settings->option_count; i++) {
        const mb_option_t *option = &settings->options[i];
        if (settings->lines[i] != 0) {
            continue;
        }
        if (option->default_value == NULL) {
            (void)fail_parse(parse, 0, option->section, option->key,
                             "missing");
            return false;
        }
        mb_buf_set(&settings->values[i],
                   mb_str_from_cstr(option->default_value));
    }
    return true;
}

/* Reads a settings file. `options` is borrowed and must stay valid. Fails with
   MB_KIND_CONFIG if the file can't be read or any line is invalid; the error
   names the file, the line, the key and the allowed values, and the settings
   own nothing. */
bool
mb_settings_init(mb_settings_t *settings, const mb_option_t *options,
                 size_t option_count, const char *path, GError **error)
{
    parse_t parse = {settings, path, error, false, fopen(path, "re"), 0};
    settings->options = options;
    settings->option_count = option_count;
    settings->values = g_new0(mb_buf_t, option_count);
    settings->lines = g_new0(int, option_count);
    int status = -1;
    if (parse.file != NULL) {
        status = ini_parse_stream(read_line, &parse, handle_key, &parse);
        (void)fclose(parse.file);
    }
    if (status < 0) {
        mb_error_set(error, MB_KIND_CONFIG, "%s: cannot be read", path);
        parse.failed = true;
    }
    else if (status > 0 && !parse.failed) {
        mb_error_set(error, MB_KIND_CONFIG, "%s:%d: not a key or a section",
                     path, status);
        parse.failed = true;
    }
    if (parse.failed || !apply_defaults(&parse)) {
        mb_settings_finish(settings);
        return false;
    }
    return true;
}

/* Frees the values. May be called again after that. */
void
mb_settings_finish(mb_settings_t *settings)
{
    if (settings->values != NULL) {
        for (size_t i = 0; i < settings->option_count; i++) {
            mb_buf_finish(&settings->values[i]);
        }
    }
    g_free(settings->values);
    g_free(settings->lines);
    settings->values = NULL;
    settings->lines = NULL;
}

/* Returns the value of an option as text, borrowed from the settings. Aborts
   if the option is not in the table, which is a programming error. */
mb_str_t
mb_settings_text(const mb_settings_t *settings, const char *section,
                 const char *key)
{
    size_t row = find_option(settings, section, key);
    if (row == settings->option_count) {
        abort();
    }
    return mb_buf_view(&settings->values[row]);
}

/* Returns the value of an option of type MB_OPTION_NUMBER, in its unit. */
uint64_t
mb_settings_number(const mb_settings_t *settings, const char *section,
                   const char *key)
{
    uint64_t number = 0;
    (void)mb_str_to_u64(mb_settings_text(settings, section, key), &number);
    return number;
}

/* Returns the value of an option of type MB_OPTION_FLAG. */
bool
mb_settings_flag(const mb_settings_t *settings, const char *section,
                 const char *key)
{
    return mb_str_equal(mb_settings_text(settings, section, key),
                        MB_STR_LIT("yes"));
}

/* Calls `changed` for each option whose values in `now` and `next` differ, and
   returns their number. Both must have the same table of options. */
size_t
mb_settings_diff(const mb_settings_t *now, const mb_settings_t *next,
                 void (*changed)(void *context, const mb_option_t *option),
                 void *context)
{
    size_t count = 0;
    for (size_t i = 0; i < now->option_count; i++) {
        if (mb_str_equal(mb_buf_view(&now->values[i]),
                         mb_buf_view(&next->values[i]))) {
            continue;
        }
        count++;
        changed(context, &now->options[i]);
    }
    return count;
}
