#include "mb_daemon_json.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>

/* Returns a new JSON string. Invalid UTF-8 is replaced by U+FFFD. */
static json_t *
string_to_json(mb_str_t value)
{
    g_autofree char *valid =
        g_utf8_make_valid(value.data == NULL ? "" : value.data,
                          value.data == NULL ? 0 : (gssize)value.len);
    return json_string(valid);
}

/* Returns the current settings as {"section": {"key": value}}. */
static json_t *
settings_to_json(const mb_settings_t *settings)
{
    json_t *sections = json_object();
    for (size_t i = 0; i < settings->option_count; i++) {
        const mb_option_t *option = &settings->options[i];
        json_t *section = json_object_get(sections, option->section);
        if (section == NULL) {
            section = json_object();
            (void)json_object_set_new(sections, option->section, section);
        }
        (void)json_object_set_new(
            section, option->key,
            string_to_json(mb_buf_view(&settings->values[i])));
    }
    return sections;
}

/* Returns the metrics by name. A histogram is given as its count and its 50th
   and 99th percentiles in microseconds. */
static json_t *
metrics_to_json(const mb_counters_t *counters)
{
    json_t *metrics = json_object();
    for (size_t i = 0; i < counters->count; i++) {
        const mb_metric_t *metric = counters->metrics[i];
        json_t *value =
            metric->type == MB_METRIC_HISTOGRAM
                ? json_pack("{s:I,s:I,s:I}", "count",
                            (json_int_t)mb_metric_value(metric), "p50_us",
                            (json_int_t)mb_histogram_quantile(metric, 0.5),
                            "p99_us",
                            (json_int_t)mb_histogram_quantile(metric, 0.99))
                : json_integer((json_int_t)mb_metric_value(metric));
        (void)json_object_set_new(metrics, metric->name, value);
    }
    return metrics;
}

/* Appends version, role, settings and metrics; see the header. */
void
mb_daemon_json_write(mb_buf_t *out, const char *version, const char *role,
                     const mb_settings_t *settings,
                     const mb_counters_t *counters)
{
    json_t *dump = json_object();
    (void)json_object_set_new(dump, "version", json_string(version));
    (void)json_object_set_new(dump, "role", json_string(role));
    (void)json_object_set_new(dump, "settings", settings_to_json(settings));
    (void)json_object_set_new(dump, "metrics", metrics_to_json(counters));
    char *line = json_dumps(dump, JSON_COMPACT);
    if (line != NULL) {
        mb_buf_append_cstr(out, line);
        mb_buf_append_byte(out, '\n');
        free(line);
    }
    json_decref(dump);
}
