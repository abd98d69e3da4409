/* Rates at which the owner of a fleet finishes work, and how the run times of
   a queue compare with the declared ones, for the forecast of the backlog.
   Rates are moving averages over the time in which work of the class waited:
   otherwise they tell the demand, not what the fleet can do. Not
   thread-safe. */
#ifndef MB_BACKLOG_METER_H
#define MB_BACKLOG_METER_H

#include "mb_backlog.h"

/* A finished task. */
typedef struct mb_backlog_end {
    uint64_t service; /* hash of its name */
    uint64_t queue;   /* hash of its name */
    uint32_t priority;
    uint64_t work_ms; /* that the backlog held for it, in processor ms */
    uint32_t declared_ms;
    uint32_t run_ms; /* 0: not that of a whole task at full speed */
} mb_backlog_end_t;

typedef struct mb_backlog_meter {
    GArray *classes; /* mb_backlog_meter_class_t */
    GArray *queues;  /* mb_backlog_meter_queue_t */
} mb_backlog_meter_t;

void mb_backlog_meter_init(mb_backlog_meter_t *meter);
void mb_backlog_meter_finish(mb_backlog_meter_t *meter);
/* Forgets everything, at the start of an ownership. */
void mb_backlog_meter_clear(mb_backlog_meter_t *meter);
void mb_backlog_meter_ended(mb_backlog_meter_t *meter,
                            const mb_backlog_end_t *end, uint64_t now_us);
/* Counts the time since the latest call for the classes of a forecast in which
   a task waits, and sets the rates of all classes and the ratios. */
void mb_backlog_meter_sample(mb_backlog_meter_t *meter,
                             mb_backlog_forecast_t *forecast, uint64_t now_us);

#endif
