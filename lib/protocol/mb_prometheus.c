#include "mb_prometheus.h"

#include <glib.h>

#include "mb_atomic.h"

/* Appends the cumulative buckets, the sum and the count of a histogram.
   Prometheus expects seconds; the metric is kept in microseconds. */
static void
write_histogram(const mb_metric_t *metric, mb_buf_t *out)
{
    uint64_t cumulative = 0;
    for (unsigned i = 0; i < MB_HISTOGRAM_BUCKETS; i++) {
        cumulative += mb_atomic_load(&metric->buckets[i]);
        mb_buf_printf(out, "%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n",
                      metric->name, (double)(UINT64_C(1) << i) / 1e6,
                      cumulative);
    }
    mb_buf_printf(out, "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
                  metric->name, cumulative);
    mb_buf_printf(out, "%s_sum %g\n", metric->name,
                  (double)mb_atomic_load(&metric->sum) / 1e6);
    mb_buf_printf(out, "%s_count %" G_GUINT64_FORMAT "\n", metric->name,
                  cumulative);
}

/* Appends all metrics with their descriptions and types. */
void
mb_prometheus_write(const mb_counters_t *counters, mb_buf_t *out)
{
    static const char *const types[] = {"counter", "gauge", "histogram"};
    for (size_t i = 0; i < counters->count; i++) {
        const mb_metric_t *metric = counters->metrics[i];
        mb_buf_printf(out, "# HELP %s %s\n# TYPE %s %s\n", metric->name,
                      metric->help, metric->name, types[metric->type]);
        if (metric->type == MB_METRIC_HISTOGRAM) {
            write_histogram(metric, out);
        }
        else {
            mb_buf_printf(out, "%s %" G_GUINT64_FORMAT "\n", metric->name,
                          mb_metric_value(metric));
        }
    }
}
