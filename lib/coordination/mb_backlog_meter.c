#include "mb_backlog_meter.h"

/* Time constant of the moving averages, in seconds: several run times of
   batch tasks, and short enough to follow a lost failure domain. */
#define AVERAGE_S 8.0
/* A rate is known once it has been watched for this many seconds and has seen
   that many ends of tasks. With fewer ends, chance alone may be off by more
   than a quarter. */
#define KNOWN_S 3.0
#define KNOWN_ENDS 16.0
/* Time after which a rate is watched although no task of the class has ended
   since it began to wait, in microseconds. Until then the workers may still
   be busy with the first tasks of a burst. */
#define RUN_UP_US UINT64_C(5000000)
/* Time without waiting work after which the rate of a class is forgotten, in
   microseconds: the workers may be others by then. */
#define FORGET_US UINT64_C(10000000)
/* Number of tasks whose run times make up the ratio of a queue, and how many
   it takes to be known. */
#define RATIO_TASKS 32.0
#define RATIO_TASKS_MIN 4u
/* Bounds of a ratio, in thousandths: a factor of 8 either way, as
   MB_SIZING_FACTOR_MAX. */
#define RATIO_MIN_MILLI 125u
#define RATIO_MAX_MILLI 8000u
#define MILLI 1000.0

/* What was finished while work of a class waited. Sums decay. */
typedef struct mb_backlog_meter_class {
    uint64_t service;
    uint32_t priority;
    bool waits;              /* a task waited at the latest sample */
    uint64_t waits_since_us; /* while `waits` */
    uint64_t watched_us;     /* up to when time is counted; 0: not watched */
    uint64_t waited_us;      /* when a task last waited */
    double time_s;
    double work_ms;        /* of this class */
    double urgent_work_ms; /* of this and all more urgent ones */
    double ends;           /* number of tasks in it */
} mb_backlog_meter_class_t;

/* The run times of a queue. Sums decay. */
typedef struct mb_backlog_meter_queue {
    uint64_t queue;
    uint32_t tasks;
    double declared_ms;
    double run_ms;
    uint64_t ended_us; /* latest end */
} mb_backlog_meter_queue_t;

/* Initializes a meter that knows nothing. */
void
mb_backlog_meter_init(mb_backlog_meter_t *meter)
{
    meter->classes =
        g_array_new(FALSE, FALSE, sizeof(mb_backlog_meter_class_t));
    meter->queues =
        g_array_new(FALSE, FALSE, sizeof(mb_backlog_meter_queue_t));
}

/* Releases the memory of a meter. */
void
mb_backlog_meter_finish(mb_backlog_meter_t *meter)
{
    g_array_unref(meter->classes);
    g_array_unref(meter->queues);
}

/* Forgets everything; see the header. */
void
mb_backlog_meter_clear(mb_backlog_meter_t *meter)
{
    (void)g_array_set_size(meter->classes, 0);
    (void)g_array_set_size(meter->queues, 0);
}

/* Returns the queue with a hash, added if there is none in place of the one
   that has been idle for longest if there are too many. */
static mb_backlog_meter_queue_t *
get_queue(mb_backlog_meter_t *meter, uint64_t hash)
{
    mb_backlog_meter_queue_t added = {.queue = hash};
    mb_backlog_meter_queue_t *oldest = NULL;
    for (guint i = 0; i < meter->queues->len; i++) {
        mb_backlog_meter_queue_t *queue =
            &g_array_index(meter->queues, mb_backlog_meter_queue_t, i);
        if (queue->queue == hash) {
            return queue;
        }
        if (oldest == NULL || queue->ended_us < oldest->ended_us) {
            oldest = queue;
        }
    }
    if (meter->queues->len < MB_BACKLOG_QUEUES_MAX) {
        g_array_append_val(meter->queues, added);
        return &g_array_index(meter->queues, mb_backlog_meter_queue_t,
                              meter->queues->len - 1);
    }
    *oldest = added;
    return oldest;
}

/* Adds the run time of a task to its queue. */
static void
learn_ratio(mb_backlog_meter_t *meter, const mb_backlog_end_t *end,
            uint64_t now_us)
{
    if (end->run_ms == 0 || end->declared_ms == 0) {
        return;
    }
    mb_backlog_meter_queue_t *queue = get_queue(meter, end->queue);
    double keep = 1.0 - 1.0 / RATIO_TASKS;
    queue->declared_ms = queue->declared_ms * keep + end->declared_ms;
    queue->run_ms = queue->run_ms * keep + end->run_ms;
    queue->tasks++;
    queue->ended_us = now_us;
}

/* Counts a finished task for the classes that wait behind or beside it. A
   class is watched from the first end of its own on, which is not counted, or
   once it has waited for RUN_UP_US. */
void
mb_backlog_meter_ended(mb_backlog_meter_t *meter, const mb_backlog_end_t *end,
                       uint64_t now_us)
{
    learn_ratio(meter, end, now_us);
    for (guint i = 0; i < meter->classes->len; i++) {
        mb_backlog_meter_class_t *class =
            &g_array_index(meter->classes, mb_backlog_meter_class_t, i);
        bool is_own = class->priority == end->priority;
        if (class->service != end->service || !class->waits ||
            class->priority < end->priority) {
            continue;
        }
        if (class->watched_us == 0) {
            class->watched_us = is_own ? now_us : 0;
            continue;
        }
        class->ends += 1;
        class->urgent_work_ms += (double)end->work_ms;
        class->work_ms += is_own ? (double)end->work_ms : 0;
    }
}

/* Returns the class of the meter for one of a forecast, added if there is
   none. */
static mb_backlog_meter_class_t *
get_class(mb_backlog_meter_t *meter, const mb_backlog_class_t *of)
{
    mb_backlog_meter_class_t added = {.service = of->service,
                                      .priority = of->priority};
    for (guint i = 0; i < meter->classes->len; i++) {
        mb_backlog_meter_class_t *class =
            &g_array_index(meter->classes, mb_backlog_meter_class_t, i);
        if (class->service == of->service && class->priority == of->priority) {
            return class;
        }
    }
    g_array_append_val(meter->classes, added);
    return &g_array_index(meter->classes, mb_backlog_meter_class_t,
                          meter->classes->len - 1);
}

/* Adds the time since the latest sample to a class that is watched, and lets
   its sums decay. */
static void
count_time(mb_backlog_meter_class_t *class, uint64_t now_us)
{
    if (!class->waits) {
        class->watched_us = 0;
        return;
    }
    class->waited_us = now_us;
    if (class->watched_us == 0) {
        class->watched_us =
            now_us >= class->waits_since_us + RUN_UP_US ? now_us : 0;
        return;
    }
    double passed_s = (double)(now_us - class->watched_us) / MB_US_PER_S;
    double keep = AVERAGE_S / (AVERAGE_S + passed_s);
    class->watched_us = now_us;
    class->time_s = (class->time_s + passed_s) * keep;
    class->work_ms *= keep;
    class->urgent_work_ms *= keep;
    class->ends *= keep;
}

/* Notes whether a task of the class waits, and sets the rates of the forecast
   if they are known. */
static void
sample_class(mb_backlog_meter_t *meter, mb_backlog_class_t *forecast,
             uint64_t now_us)
{
    mb_backlog_meter_class_t *class = get_class(meter, forecast);
    bool waits = forecast->waiting[0].cpu_milli > 0 ||
                 forecast->waiting[1].cpu_milli > 0;
    if (waits && !class->waits) {
        class->waits_since_us = now_us;
    }
    class->waits = waits;
    count_time(class, now_us);
#ifndef MB_MUTANT_BACKLOG_RATE_KNOWN_AT_ONCE
    if (class->time_s < KNOWN_S || class->ends < KNOWN_ENDS) {
        return;
    }
#endif
    /* Processor milliseconds in a second are thousandths of a processor. */
    double time_s = MAX(class->time_s, 1.0 / MILLI);
    forecast->rate_milli = (uint64_t)(class->work_ms / time_s);
    forecast->urgent_rate_milli = (uint64_t)(class->urgent_work_ms / time_s);
}

/* Ends the watch of the classes that a forecast does not contain, and forgets
   those in which no task has waited for a while. */
static void
end_watches(mb_backlog_meter_t *meter, const mb_backlog_forecast_t *forecast,
            uint64_t now_us)
{
    for (guint i = 0; i < meter->classes->len;) {
        mb_backlog_meter_class_t *class =
            &g_array_index(meter->classes, mb_backlog_meter_class_t, i);
        bool found = false;
        for (guint k = 0; k < forecast->classes->len; k++) {
            const mb_backlog_class_t *other =
                &g_array_index(forecast->classes, mb_backlog_class_t, k);
            found = found || (other->service == class->service &&
                              other->priority == class->priority);
        }
        class->waits = class->waits && found;
        class->watched_us = class->waits ? class->watched_us : 0;
        if (!class->waits && now_us >= class->waited_us + FORGET_US) {
            (void)g_array_remove_index_fast(meter->classes, i);
            continue;
        }
        i++;
    }
}

/* Appends the ratios that are known to a forecast. */
static void
export_ratios(const mb_backlog_meter_t *meter, mb_backlog_forecast_t *forecast)
{
    for (guint i = 0; i < meter->queues->len; i++) {
        const mb_backlog_meter_queue_t *queue =
            &g_array_index(meter->queues, mb_backlog_meter_queue_t, i);
        if (queue->tasks < RATIO_TASKS_MIN) {
            continue;
        }
        uint32_t milli =
            (uint32_t)CLAMP(queue->run_ms / queue->declared_ms * MILLI,
                            RATIO_MIN_MILLI, RATIO_MAX_MILLI);
        mb_backlog_ratio_t ratio = {queue->queue, milli};
        g_array_append_val(forecast->ratios, ratio);
    }
}

/* Completes a forecast; see the header. */
void
mb_backlog_meter_sample(mb_backlog_meter_t *meter,
                        mb_backlog_forecast_t *forecast, uint64_t now_us)
{
    for (guint i = 0; i < forecast->classes->len; i++) {
        sample_class(meter,
                     &g_array_index(forecast->classes, mb_backlog_class_t, i),
                     now_us);
    }
    end_watches(meter, forecast, now_us);
    export_ratios(meter, forecast);
}
