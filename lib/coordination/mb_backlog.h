/* Admission of jobs under overload. The owner of the fleet forecasts, for each
   service (pool of workers) and priority, how much work of open jobs is ahead
   of a new one and at which rate such work is finished; it publishes the
   forecast in the job log. Every scheduler decides with the latest forecast
   whether a new job can be completed while that is worth anything to its
   caller, and tells a rejected one when to return. A missing or old forecast
   admits everything. Not thread-safe. */
#ifndef MB_BACKLOG_H
#define MB_BACKLOG_H

#include "mb_clock.h"
#include "mb_dag.h"

/* Number of classes of jobs by their work: class i has at least 2^(i/2)
   processor milliseconds, class 0 also less, the last one also more. */
#define MB_BACKLOG_SIZES 64u
/* Maximum number of pairs of a service and a priority in a forecast, and of
   queues whose run times it corrects. Others are admitted, or not corrected.
 */
#define MB_BACKLOG_CLASSES_MAX 256u
#define MB_BACKLOG_QUEUES_MAX 256u
/* Largest work (processor milliseconds, 34 years of a processor), rate
   (thousandths of a processor) and time (milliseconds) that is accepted, so
   that their sums and products don't overflow. */
#define MB_BACKLOG_WORK_MAX_MS (UINT64_C(1) << 40)
/* Age of a forecast from which on it admits everything, in milliseconds: the
   owner publishes one a second, and a new owner needs about this time until
   it knows what runs. */
#define MB_BACKLOG_AGE_MAX_MS 3000u
/* A job is worth nothing to its caller after this multiple of its objective.
 */
#define MB_BACKLOG_WORTH_FACTOR 3u
/* Longest Retry-After, in seconds. A client that waits longer than a minute
   does not notice that capacity is back. */
#define MB_BACKLOG_RETRY_AFTER_MAX_S 60u

/* The open work of one service and priority. */
typedef struct mb_backlog_class {
    uint64_t service; /* hash of its name */
    uint32_t priority;
    /* Rates at which work was finished lately, in thousandths of a processor:
       of this class, and of this and all more urgent ones of the service.
       The latter is 0 while they are not known. */
    uint64_t rate_milli;
    uint64_t urgent_rate_milli;
    /* The smallest task that could start and finds no room, among those that
       are not best-effort and among those that are; 0 processors: none. */
    mb_size_t waiting[2];
    /* Class of the smallest job that waits and has become worthless;
       MB_BACKLOG_SIZES: none. */
    uint32_t overdue_size;
    /* Remaining work of jobs that are still worth something, by its class, in
       processor milliseconds. */
    uint64_t work_ms[MB_BACKLOG_SIZES];
} mb_backlog_class_t;

/* How much longer than declared the tasks of a queue run. */
typedef struct mb_backlog_ratio {
    uint64_t queue; /* hash of its name */
    uint32_t milli; /* run time / declared run time, in thousandths */
} mb_backlog_ratio_t;

/* A forecast. `classes` is empty if nothing waits. */
typedef struct mb_backlog_forecast {
    uint64_t token;        /* fencing token of the owner */
    uint64_t published_ms; /* by the monotonic clock of the owner */
    GArray *classes;       /* mb_backlog_class_t */
    GArray *ratios;        /* mb_backlog_ratio_t */
} mb_backlog_forecast_t;

/* What the decision about a job depends on. */
typedef struct mb_backlog_job {
    mb_dag_id_t id;
    uint64_t service; /* hash of its name */
    uint64_t queue;   /* hash of its name */
    uint32_t priority;
    uint64_t work_ms; /* declared, in processor milliseconds */
    uint64_t path_ms; /* declared length of the critical path */
    uint32_t stretch_milli;
    uint32_t latency_objective_ms;
    mb_size_t widest;        /* size of a task of its widest step */
    bool widest_best_effort; /* that step is best-effort */
    bool judged;             /* false: never rejected */
} mb_backlog_job_t;

typedef struct mb_backlog_decision {
    bool admitted;
    bool by_share;          /* only because of the share of its queue */
    uint32_t retry_after_s; /* of a rejected job */
    uint64_t expected_ms;   /* until its completion; 0: not forecast */
    uint64_t worth_ms;      /* for which its completion is worth something */
    uint64_t forecast_age_ms;
} mb_backlog_decision_t;

/* The state of a scheduler that admits jobs. */
typedef struct mb_backlog {
    mb_clock_t clock;
    mb_backlog_forecast_t forecast;
    uint64_t forecast_us; /* as of when; 0: there is none */
    /* Least time from the publication of a forecast of this owner, by its
       clock, to when it was read, by this process's. */
    int64_t least_delay_us;
    bool has_delay;
    /* Jobs admitted here or read from the log that the forecast does not
       contain: mb_dag_id_t -> mb_backlog_entry_t, owned; and their work. */
    GHashTable *entries;
    GArray *added;      /* mb_backlog_class_t, without rates */
    GHashTable *queues; /* hash -> mb_backlog_queue_t, owned */
    GArray *rejected;   /* mb_backlog_rejected_t */
    /* Jobs admitted here and at all schedulers, lately. */
    double own_jobs;
    double all_jobs;
} mb_backlog_t;

/* Forecasts. */
void mb_backlog_forecast_init(mb_backlog_forecast_t *forecast);
void mb_backlog_forecast_finish(mb_backlog_forecast_t *forecast);
void mb_backlog_forecast_clear(mb_backlog_forecast_t *forecast);
/* Returns the class of a service and priority, added if there is none; NULL if
   there are too many. Valid until the next one is added. */
mb_backlog_class_t *mb_backlog_get_class(GArray *classes, uint64_t service,
                                         uint32_t priority);
/* Returns the class of a job by its work; see MB_BACKLOG_SIZES. */
uint32_t mb_backlog_size_class(uint64_t work_ms);

void mb_backlog_init(mb_backlog_t *backlog, const mb_clock_t *clock);
void mb_backlog_finish(mb_backlog_t *backlog);
/* Returns what the decision about a job depends on. */
mb_backlog_job_t mb_backlog_job(const mb_dag_spec_t *spec);
/* Takes over a forecast that was read in order; it is copied. */
void mb_backlog_set_forecast(mb_backlog_t *backlog,
                             const mb_backlog_forecast_t *forecast);
/* Drops the forecast of an owner with a lower token, or of any owner if
   `token` is UINT64_MAX. */
void mb_backlog_note_owner(mb_backlog_t *backlog, uint64_t token);
/* Decides about a new job, without a change of state. `read_us` is when the
   latest complete read of the log began. */
mb_backlog_decision_t mb_backlog_decide(const mb_backlog_t *backlog,
                                        const mb_backlog_job_t *job,
                                        uint64_t read_us);
/* Notes that a job was queued for the log or rejected, by a decision. */
void mb_backlog_note_admitted(mb_backlog_t *backlog,
                              const mb_backlog_job_t *job,
                              const mb_backlog_decision_t *decision);
void mb_backlog_note_rejected(mb_backlog_t *backlog,
                              const mb_backlog_job_t *job);
/* Notes that an append of an admitted job was not done. */
void mb_backlog_note_withdrawn(mb_backlog_t *backlog, mb_dag_id_t id);
/* Notes a job that was read from the log, admitted by any scheduler. */
void mb_backlog_note_stored(mb_backlog_t *backlog,
                            const mb_backlog_job_t *job);

#endif
