/* Metrics of a process in the Prometheus text format. */
#ifndef MB_PROMETHEUS_H
#define MB_PROMETHEUS_H

#include "mb_counter.h"

/* Appends all metrics. May be called while other threads update them. */
void mb_prometheus_write(const mb_counters_t *counters, mb_buf_t *out);

#endif
