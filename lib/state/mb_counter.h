/* The metrics of a process: counters, gauges and histograms. They are updated
   atomically, without a mutex. */
#ifndef MB_COUNTER_H
#define MB_COUNTER_H

#include <stddef.h>
#include <stdint.h>

#include "mb_str.h"

/* Buckets of a histogram. The upper bound of bucket i is 2^i microseconds; the
   last one also counts greater values. */
#define MB_HISTOGRAM_BUCKETS 31
/* Maximum number of metrics of a process. */
#define MB_COUNTER_MAX 256

typedef enum mb_metric_type {
    MB_METRIC_COUNTER,
    MB_METRIC_GAUGE,
    MB_METRIC_HISTOGRAM
} mb_metric_type_t;

/* A metric. `name` and `help` are borrowed; they are string literals. */
typedef struct mb_metric {
    const char *name;
    const char *help;
    mb_metric_type_t type;
    uint64_t value; /* of a histogram: the number of values */
    uint64_t sum;   /* of a histogram: in microseconds */
    uint64_t buckets[MB_HISTOGRAM_BUCKETS];
} mb_metric_t;

/* The registry of a process. Metrics are added before threads start. */
typedef struct mb_counters {
    mb_metric_t *metrics[MB_COUNTER_MAX];
    size_t count;
} mb_counters_t;

void mb_counters_init(mb_counters_t *counters);
void mb_counters_finish(mb_counters_t *counters);
mb_metric_t *mb_counters_add(mb_counters_t *counters, mb_metric_type_t type,
                             const char *name, const char *help);
void mb_counter_add(mb_metric_t *metric, uint64_t delta);
void mb_gauge_set(mb_metric_t *metric, uint64_t value);
void mb_histogram_record(mb_metric_t *metric, uint64_t value_us);
uint64_t mb_metric_value(const mb_metric_t *metric);
uint64_t mb_histogram_quantile(const mb_metric_t *metric, double quantile);

#endif
