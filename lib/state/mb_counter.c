#include "mb_counter.h"

#include <glib.h>
#include <stdlib.h>

#include "mb_atomic.h"

/* Initializes an empty registry. */
void
mb_counters_init(mb_counters_t *counters)
{
    counters->count = 0;
}

/* Frees all metrics, which no thread may use any more. */
void
mb_counters_finish(mb_counters_t *counters)
{
    for (size_t i = 0; i < counters->count; i++) {
        g_free(counters->metrics[i]);
    }
    counters->count = 0;
}

/* Adds a metric, which the registry owns. Called before threads start. Aborts
   if the registry is full, which is a programming error, as the metrics are
   fixed. */
mb_metric_t *
mb_counters_add(mb_counters_t *counters, mb_metric_type_t type,
                const char *name, const char *help)
{
    if (counters->count == MB_COUNTER_MAX) {
        abort();
    }
    mb_metric_t *metric = g_new0(mb_metric_t, 1);
    metric->name = name;
    metric->help = help;
    metric->type = type;
    counters->metrics[counters->count++] = metric;
    return metric;
}

/* Adds to a counter. Any thread. */
void
mb_counter_add(mb_metric_t *metric, uint64_t delta)
{
    (void)mb_atomic_add(&metric->value, delta);
}

/* Sets a gauge. Any thread. */
void
mb_gauge_set(mb_metric_t *metric, uint64_t value)
{
    mb_atomic_store(&metric->value, value);
}

/* Adds a value in microseconds to a histogram. Any thread. */
void
mb_histogram_record(mb_metric_t *metric, uint64_t value_us)
{
    unsigned bucket = 0;
    while (bucket < MB_HISTOGRAM_BUCKETS - 1 &&
           value_us > (UINT64_C(1) << bucket)) {
        bucket++;
    }
    (void)mb_atomic_add(&metric->buckets[bucket], 1);
    (void)mb_atomic_add(&metric->sum, value_us);
    (void)mb_atomic_add(&metric->value, 1);
}

/* Returns the value of a counter or gauge, or the count of a histogram. */
uint64_t
mb_metric_value(const mb_metric_t *metric)
{
    return mb_atomic_load(&metric->value);
}

/* Returns an upper bound of a quantile (0 to 1) in microseconds: that of the
   bucket that contains it. Returns 0 if the histogram is empty. */
uint64_t
mb_histogram_quantile(const mb_metric_t *metric, double quantile)
{
    uint64_t total = mb_atomic_load(&metric->value);
    uint64_t rank = (uint64_t)(quantile * (double)total);
    uint64_t seen = 0;
    for (unsigned i = 0; total > 0 && i < MB_HISTOGRAM_BUCKETS; i++) {
        seen += mb_atomic_load(&metric->buckets[i]);
        if (seen > rank || seen == total) {
            return UINT64_C(1) << i;
        }
    }
    return 0;
}
