#include "mb_backlog.h"

#include <string.h>

#include "mb_backlog_internal.h"

/* A job is rejected when it is expected to be completed later than this
   multiple of the time for which it is worth something, in thousandths; a
   queue that rejects goes on until it is expected before a lower multiple. The
   margin keeps a forecast that is a quarter too high from rejecting a job that
   would be in time; the band keeps the answer from changing with every job. */
#define REJECT_ABOVE_MILLI 1250u
#define REJECT_DOWN_TO_MILLI 1000u
/* The same while a job waits that is not larger and at least as urgent, and
   has become worthless: forecasts have been too low. */
#define OVERDUE_ABOVE_MILLI 1000u
#define OVERDUE_DOWN_TO_MILLI 800u
#define MILLI 1000u
/* Part of the finishing rate of a class that counts as its own at least, as a
   divisor. A class that has only begun to get work has finished little, and
   more urgent work may end soon. */
#define OWN_RATE_DIVISOR 4u
/* Part of the finishing rate that is shared out to the queues of a service
   that submit, whatever the forecast says, as a divisor. */
#define SHARE_DIVISOR 4u
/* Time for which an unused share is kept, in milliseconds. */
#define SHARE_KEPT_MS 3000u
/* Time after its latest submission for which a queue has a share, in
   microseconds. */
#define QUEUE_IDLE_US UINT64_C(10000000)
/* Time after which an admitted job whose append has no result is dropped, in
   microseconds: longer than a client waits for an answer. */
#define UNREAD_MAX_US UINT64_C(10000000)
/* Number of entries from which on those without a result are dropped although
   there is no forecast. */
#define ENTRIES_MAX 65536u
/* Part of the counts of admitted jobs that is kept at each forecast. */
#define COUNT_KEPT 0.9
/* Maximum number of schedulers that are assumed to admit jobs. */
#define SCHEDULERS_MAX 64.0

/* Initializes the admitting side without a forecast. */
void
mb_backlog_init(mb_backlog_t *backlog, const mb_clock_t *clock)
{
    memset(backlog, 0, sizeof(*backlog));
    backlog->clock = *clock;
    mb_backlog_forecast_init(&backlog->forecast);
    backlog->entries =
        g_hash_table_new_full(mb_dag_id_hash, mb_dag_id_equal, NULL, g_free);
    backlog->added = g_array_new(FALSE, FALSE, sizeof(mb_backlog_class_t));
    backlog->queues =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    backlog->rejected =
        g_array_new(FALSE, FALSE, sizeof(mb_backlog_rejected_t));
}

/* Releases the memory. */
void
mb_backlog_finish(mb_backlog_t *backlog)
{
    mb_backlog_forecast_finish(&backlog->forecast);
    g_hash_table_destroy(backlog->entries);
    g_hash_table_destroy(backlog->queues);
    g_array_unref(backlog->added);
    g_array_unref(backlog->rejected);
}

/* Returns a declared time or work, corrected by how long tasks of the queue
   have run. */
static uint64_t
correct(const mb_backlog_t *backlog, const mb_backlog_job_t *job,
        uint64_t declared)
{
    for (guint i = 0; i < backlog->forecast.ratios->len; i++) {
        const mb_backlog_ratio_t *ratio =
            &g_array_index(backlog->forecast.ratios, mb_backlog_ratio_t, i);
        if (ratio->queue == job->queue) {
#ifndef MB_MUTANT_BACKLOG_DECLARED_TIMES
            return declared * ratio->milli / MILLI;
#endif
        }
    }
    return declared;
}

/* Adds the work of a job to that which the forecast does not contain. Services
   have none: they don't end. */
static void
add_work(mb_backlog_t *backlog, const mb_backlog_job_t *job)
{
    uint64_t work_ms = correct(backlog, job, job->work_ms);
    mb_backlog_class_t *class =
        mb_backlog_get_class(backlog->added, job->service, job->priority);
    if (class != NULL && job->judged) {
        class->work_ms[mb_backlog_size_class(work_ms)] += work_ms;
    }
}

/* Removes the jobs that the log contained before the latest forecast, and
   those whose append has had no result for long, and adds up the others. */
static void
keep_unread(mb_backlog_t *backlog, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    (void)g_array_set_size(backlog->added, 0);
    g_hash_table_iter_init(&iter, backlog->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mb_backlog_entry_t *entry = value;
        if (entry->read || now_us >= entry->since_us + UNREAD_MAX_US) {
            g_hash_table_iter_remove(&iter);
        }
        else {
            add_work(backlog, &entry->job);
        }
    }
}

/* Forgets queues that have not submitted for a while and owe nothing. */
static void
forget_queues(mb_backlog_t *backlog, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, backlog->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mb_backlog_queue_t *queue = value;
        if (now_us >= queue->submitted_us + QUEUE_IDLE_US &&
            (queue->credit_ms >= 0 || backlog->forecast.classes->len == 0)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Copies a forecast. */
static void
copy_forecast(mb_backlog_forecast_t *to, const mb_backlog_forecast_t *from)
{
    mb_backlog_forecast_clear(to);
    to->token = from->token;
    to->published_ms = from->published_ms;
    g_array_append_vals(to->classes, from->classes->data, from->classes->len);
    g_array_append_vals(to->ratios, from->ratios->data, from->ratios->len);
}

/* Drops the forecast and what was noted since. The fencing token stays, so
   that no forecast of a former owner is taken over. */
static void
drop_forecast(mb_backlog_t *backlog)
{
    uint64_t token = backlog->forecast.token;
    mb_backlog_forecast_clear(&backlog->forecast);
    backlog->forecast.token = token;
    backlog->forecast_us = 0;
    keep_unread(backlog, mb_clock_us(&backlog->clock));
    forget_queues(backlog, mb_clock_us(&backlog->clock));
}

/* Tells whether the forecast is too old to reject a job. */
static bool
is_old(const mb_backlog_t *backlog, uint64_t as_of_us)
{
    uint64_t age_max_us = MB_BACKLOG_AGE_MAX_MS * (uint64_t)MB_US_PER_MS;
#ifdef MB_MUTANT_BACKLOG_OLD_FORECAST_USED
    return false;
#endif
    return mb_clock_us(&backlog->clock) > as_of_us + age_max_us;
}

/* Takes over a forecast. The delay of the log shows in how much later it is
   read than others of the same owner; the clocks of two machines can't be
   compared. An empty forecast tells that nothing waits any more. */
void
mb_backlog_set_forecast(mb_backlog_t *backlog,
                        const mb_backlog_forecast_t *forecast)
{
    uint64_t now_us = mb_clock_us(&backlog->clock);
    int64_t delay_us =
        (int64_t)now_us - (int64_t)(forecast->published_ms * MB_US_PER_MS);
    if (forecast->token < backlog->forecast.token) {
        return;
    }
    if (!backlog->has_delay || forecast->token != backlog->forecast.token ||
        delay_us < backlog->least_delay_us) {
        backlog->least_delay_us = delay_us;
    }
    backlog->has_delay = true;
    copy_forecast(&backlog->forecast, forecast);
    backlog->forecast_us =
        now_us - (uint64_t)(delay_us - backlog->least_delay_us);
    backlog->own_jobs *= COUNT_KEPT;
    backlog->all_jobs *= COUNT_KEPT;
    keep_unread(backlog, now_us);
    forget_queues(backlog, now_us);
    if (forecast->classes->len == 0) {
        drop_forecast(backlog);
    }
}

/* Drops the forecast of a former owner; see the header. */
void
mb_backlog_note_owner(mb_backlog_t *backlog, uint64_t token)
{
#ifdef MB_MUTANT_BACKLOG_FORMER_OWNER_BELIEVED
    token = 0;
#endif
    if (backlog->forecast.token < token) {
        backlog->forecast.token = token == UINT64_MAX ? 0 : token;
        backlog->has_delay = false;
        drop_forecast(backlog);
    }
}

/* Returns how many schedulers admit jobs, as far as the log shows. A load
   balancer spreads submissions, so the part that this one has admitted of all
   jobs tells. */
static double
count_schedulers(const mb_backlog_t *backlog)
{
    double count = (backlog->all_jobs + 1.0) / (backlog->own_jobs + 1.0);
    return CLAMP(count, 1.0, SCHEDULERS_MAX);
}

/* Returns the queue of a job, or NULL if it has not submitted lately. */
static mb_backlog_queue_t *
find_queue(const mb_backlog_t *backlog, const mb_backlog_job_t *job)
{
    return g_hash_table_lookup(backlog->queues, &job->queue);
}

/* Returns the number of queues of a service that have submitted lately. */
static uint32_t
count_queues(const mb_backlog_t *backlog, uint64_t service, uint64_t now_us)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, backlog->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mb_backlog_queue_t *queue = value;
        count += queue->service == service &&
                 now_us < queue->submitted_us + QUEUE_IDLE_US;
    }
    return MAX(count, 1u);
}

/* Returns the credit of a queue in processor milliseconds as of now: its share
   grows with time, up to what SHARE_KEPT_MS give. */
static double
get_credit(const mb_backlog_t *backlog, const mb_backlog_queue_t *queue,
           uint64_t rate_milli, uint64_t now_us)
{
    double share = (double)rate_milli / MILLI / SHARE_DIVISOR /
                   count_queues(backlog, queue->service, now_us) /
                   count_schedulers(backlog);
    double passed_ms = (double)(now_us - queue->credit_us) / MB_US_PER_MS;
    double grown = queue->credit_ms + passed_ms * share;
    return MAX(queue->credit_ms, MIN(grown, share * SHARE_KEPT_MS));
}

/* Returns the class whose rates tell how fast a job is served: that of its
   service and priority or, if the forecast has none, of the next more urgent
   priority. Returns NULL if its rates are not known. */
static const mb_backlog_class_t *
find_rate(const mb_backlog_t *backlog, const mb_backlog_job_t *job)
{
    const mb_backlog_class_t *found = NULL;
    for (guint i = 0; i < backlog->forecast.classes->len; i++) {
        const mb_backlog_class_t *class =
            &g_array_index(backlog->forecast.classes, mb_backlog_class_t, i);
        if (class->service == job->service &&
            class->priority <= job->priority &&
            (found == NULL || class->priority > found->priority)) {
            found = class;
        }
    }
    return found != NULL && found->urgent_rate_milli > 0 ? found : NULL;
}

/* Tells whether a task that is not larger than those of the widest step of a
   job waits for room. If none does, there is room for the job: the owner
   starts whatever fits. */
static bool
smaller_task_waits(const mb_backlog_t *backlog, const mb_backlog_job_t *job)
{
    for (guint i = 0; i < backlog->forecast.classes->len; i++) {
        const mb_backlog_class_t *class =
            &g_array_index(backlog->forecast.classes, mb_backlog_class_t, i);
        const mb_size_t *size = &class->waiting[job->widest_best_effort];
        if (class->service == job->service && size->cpu_milli > 0 &&
            size->cpu_milli <= job->widest.cpu_milli &&
            size->memory_mb <= job->widest.memory_mb &&
            size->accelerators <= job->widest.accelerators) {
            return true;
        }
    }
#ifdef MB_MUTANT_BACKLOG_IGNORES_ROOM
    return true;
#endif
    return false;
}

/* Work that is started before a job. */
typedef struct ahead {
    uint64_t urgent_ms; /* of more urgent priorities */
    uint64_t own_ms;    /* of its priority */
} ahead_t;

/* Adds the work of some classes that is started before a job with `size`:
   within a priority, jobs with less remaining work go first, and among equal
   ones the older ones. */
static void
add_ahead(const GArray *classes, const mb_backlog_job_t *job, uint32_t size,
          ahead_t *ahead)
{
#ifdef MB_MUTANT_BACKLOG_IGNORES_SIZE
    size = MB_BACKLOG_SIZES;
#endif
    for (guint i = 0; i < classes->len; i++) {
        const mb_backlog_class_t *class =
            &g_array_index(classes, mb_backlog_class_t, i);
        if (class->service != job->service ||
            class->priority > job->priority) {
            continue;
        }
        for (uint32_t k = 0; k < MB_BACKLOG_SIZES; k++) {
            if (class->priority < job->priority) {
                ahead->urgent_ms += class->work_ms[k];
            }
            else if (k <= size) {
                ahead->own_ms += class->work_ms[k];
            }
        }
    }
}

/* Returns the rate at which work of a job's priority is finished, in
   thousandths of a processor. */
static uint64_t
get_own_rate(const mb_backlog_class_t *rates, const mb_backlog_job_t *job)
{
    uint64_t least = MAX(rates->urgent_rate_milli / OWN_RATE_DIVISOR, 1u);
    return rates->priority == job->priority ? MAX(rates->rate_milli, least)
                                            : least;
}

/* Returns the time until a job is expected to be completed, in milliseconds:
   the work ahead, less what has been finished since the forecast, and then its
   critical path, or its own work if that takes longer. */
static uint64_t
expect_completion(const mb_backlog_t *backlog, const mb_backlog_job_t *job,
                  const mb_backlog_class_t *rates, uint64_t age_ms)
{
    uint64_t work_ms = correct(backlog, job, job->work_ms);
    uint64_t path_ms = correct(backlog, job, job->path_ms);
    uint64_t own_rate = get_own_rate(rates, job);
    uint32_t size = mb_backlog_size_class(work_ms);
    ahead_t ahead = {0};
    add_ahead(backlog->forecast.classes, job, size, &ahead);
#ifndef MB_MUTANT_BACKLOG_IGNORES_ADMITTED
    add_ahead(backlog->added, job, size, &ahead);
#endif
    uint64_t wait_ms = ahead.urgent_ms * MILLI / rates->urgent_rate_milli +
                       ahead.own_ms * MILLI / own_rate;
    return wait_ms - MIN(wait_ms, age_ms) +
           MAX(path_ms, work_ms * MILLI / own_rate);
}

/* Returns the work of jobs that were rejected lately and are expected to
   return, of one class and as of now, in processor milliseconds. As it is
   served when it returns, it shrinks at the finishing rate. */
static double
get_rejected(const mb_backlog_rejected_t *rejected, uint64_t rate_milli,
             uint64_t now_us)
{
    double passed_ms = (double)(now_us - rejected->updated_us) / MB_US_PER_MS;
    return MAX(0.0,
               rejected->work_ms - passed_ms * (double)rate_milli / MILLI);
}

/* The rejected work that is expected to return, in processor milliseconds. */
typedef struct returning {
    double before_ms; /* before a job */
    double all_ms;    /* of its service */
} returning_t;

/* Returns the rejected work of a job's service. That of more urgent priorities
   returns before the job, and the part of its own priority that the hash of
   its id tells, a number from 0 to 1. */
static returning_t
sum_returning(const mb_backlog_t *backlog, const mb_backlog_job_t *job,
              const mb_backlog_class_t *rates, double hash)
{
    uint64_t now_us = mb_clock_us(&backlog->clock);
    double schedulers = count_schedulers(backlog);
    returning_t sum = {0};
    for (guint i = 0; i < backlog->rejected->len; i++) {
        const mb_backlog_rejected_t *rejected =
            &g_array_index(backlog->rejected, mb_backlog_rejected_t, i);
        double work_ms =
            get_rejected(rejected, rates->urgent_rate_milli, now_us) *
            schedulers;
        if (rejected->service != job->service) {
            continue;
        }
        sum.all_ms += work_ms;
        if (rejected->priority <= job->priority) {
            sum.before_ms +=
                work_ms * (rejected->priority == job->priority ? hash : 1);
        }
    }
    return sum;
}

/* Returns when a rejected job may return, in seconds: once the backlog has
   shrunk by `shrink_ms`, and the rejected work before it has been served. It
   is not told to return when it is worth nothing; times that would be longer
   are spread over the latter half of the longest, in the same order. */
static uint32_t
get_retry_after_s(const mb_backlog_t *backlog, const mb_backlog_job_t *job,
                  const mb_backlog_class_t *rates, uint64_t shrink_ms,
                  uint64_t worth_ms)
{
    double hash =
        (double)(mb_str_hash(mb_dag_id_view(&job->id)) % MILLI) / MILLI;
    double longest_s = CLAMP((double)worth_ms / MB_MS_PER_S, 1.0,
                             MB_BACKLOG_RETRY_AFTER_MAX_S);
    returning_t returning = sum_returning(backlog, job, rates, hash);
    double place =
        returning.all_ms > 0 ? returning.before_ms / returning.all_ms : hash;
#ifdef MB_MUTANT_BACKLOG_NO_SPREAD
    returning.before_ms = 0;
    place = 1;
#endif
    double after_s = (double)shrink_ms / MB_MS_PER_S +
                     returning.before_ms / (double)rates->urgent_rate_milli;
    if (after_s > longest_s) {
        after_s = longest_s * (1.0 + place) / 2;
    }
    return MAX(1u, (uint32_t)(after_s + 0.999));
}

/* Tells whether a queue has rejected the latest judged job of that size. */
static bool
is_rejecting(const mb_backlog_queue_t *queue, uint32_t size)
{
    return queue != NULL && (queue->rejecting & (UINT64_C(1) << size)) != 0;
}

/* Returns the multiple of the time for which a job is worth something by which
   it must be expected to be completed, in thousandths. */
static uint32_t
get_bound_milli(const mb_backlog_t *backlog, const mb_backlog_job_t *job,
                uint32_t size, bool rejecting)
{
    bool is_overdue = false;
    for (guint i = 0; i < backlog->forecast.classes->len; i++) {
        const mb_backlog_class_t *class =
            &g_array_index(backlog->forecast.classes, mb_backlog_class_t, i);
        is_overdue = is_overdue || (class->service == job->service &&
                                    class->priority <= job->priority &&
                                    class->overdue_size <= size);
    }
#ifdef MB_MUTANT_BACKLOG_NO_HYSTERESIS
    rejecting = false;
#endif
#ifdef MB_MUTANT_BACKLOG_IGNORES_OVERDUE
    is_overdue = false;
#endif
    if (is_overdue) {
        return rejecting ? OVERDUE_DOWN_TO_MILLI : OVERDUE_ABOVE_MILLI;
    }
    return rejecting ? REJECT_DOWN_TO_MILLI : REJECT_ABOVE_MILLI;
}

/* Decides by a forecast that is recent enough, for a job that may be
   rejected. */
static void
judge(const mb_backlog_t *backlog, const mb_backlog_job_t *job,
      const mb_backlog_class_t *rates, mb_backlog_decision_t *decision)
{
    uint64_t now_us = mb_clock_us(&backlog->clock);
    const mb_backlog_queue_t *queue = find_queue(backlog, job);
    uint32_t size = mb_backlog_size_class(correct(backlog, job, job->work_ms));
    uint64_t objective_ms =
        correct(backlog, job, job->path_ms) * job->stretch_milli / MILLI +
        job->latency_objective_ms;
    decision->worth_ms = objective_ms * MB_BACKLOG_WORTH_FACTOR;
    decision->expected_ms =
        expect_completion(backlog, job, rates, decision->forecast_age_ms);
    uint64_t bound_ms =
        decision->worth_ms *
        get_bound_milli(backlog, job, size, is_rejecting(queue, size)) / MILLI;
    decision->admitted = decision->expected_ms <= bound_ms;
    double credit_ms =
        queue == NULL
            ? 0
            : get_credit(backlog, queue, rates->urgent_rate_milli, now_us);
#ifdef MB_MUTANT_BACKLOG_NO_SHARE
    credit_ms = -1;
#endif
    if (!decision->admitted && credit_ms >= 0) {
        decision->admitted = true;
        decision->by_share = true;
    }
    if (!decision->admitted) {
        decision->retry_after_s = get_retry_after_s(
            backlog, job, rates,
            decision->expected_ms -
                MIN(decision->expected_ms, decision->worth_ms),
            decision->worth_ms);
    }
}

/* Decides about a job; see the header. */
mb_backlog_decision_t
mb_backlog_decide(const mb_backlog_t *backlog, const mb_backlog_job_t *job,
                  uint64_t read_us)
{
    mb_backlog_decision_t decision = {.admitted = true};
    uint64_t now_us = mb_clock_us(&backlog->clock);
    const mb_backlog_class_t *rates = find_rate(backlog, job);
    decision.forecast_age_ms =
        (now_us - MIN(now_us, backlog->forecast_us)) / MB_US_PER_MS;
    if (backlog->forecast_us == 0 || !job->judged || rates == NULL ||
        is_old(backlog, MIN(backlog->forecast_us, read_us)) ||
        g_hash_table_contains(backlog->entries, &job->id) ||
        !smaller_task_waits(backlog, job)) {
        return decision;
    }
    judge(backlog, job, rates, &decision);
    return decision;
}

/* Returns the queue of a job, added if it has not submitted lately. */
static mb_backlog_queue_t *
note_queue(mb_backlog_t *backlog, const mb_backlog_job_t *job)
{
    uint64_t now_us = mb_clock_us(&backlog->clock);
    mb_backlog_queue_t *queue = find_queue(backlog, job);
    if (queue == NULL) {
        queue = g_new0(mb_backlog_queue_t, 1);
        queue->queue = job->queue;
        queue->credit_us = now_us;
        (void)g_hash_table_insert(backlog->queues, &queue->queue, queue);
    }
    queue->service = job->service;
    queue->submitted_us = now_us;
    return queue;
}

/* Adds a job that the forecast does not contain. */
static mb_backlog_entry_t *
add_entry(mb_backlog_t *backlog, const mb_backlog_job_t *job)
{
    mb_backlog_entry_t *entry = g_new0(mb_backlog_entry_t, 1);
    entry->job = *job;
    entry->since_us = mb_clock_us(&backlog->clock);
    (void)g_hash_table_replace(backlog->entries, &entry->job.id, entry);
    add_work(backlog, job);
    return entry;
}

/* Notes that a job was queued for the log; see the header. One that only the
   share of its queue admitted is taken from it. */
void
mb_backlog_note_admitted(mb_backlog_t *backlog, const mb_backlog_job_t *job,
                         const mb_backlog_decision_t *decision)
{
    uint64_t now_us = mb_clock_us(&backlog->clock);
    mb_backlog_queue_t *queue = note_queue(backlog, job);
    uint64_t work_ms = correct(backlog, job, job->work_ms);
    const mb_backlog_class_t *rates = find_rate(backlog, job);
    if (decision->by_share && rates != NULL) {
        queue->credit_ms =
            get_credit(backlog, queue, rates->urgent_rate_milli, now_us) -
            (double)work_ms;
        queue->credit_us = now_us;
    }
    else if (decision->admitted && decision->expected_ms > 0) {
        queue->rejecting &= ~(UINT64_C(1) << mb_backlog_size_class(work_ms));
    }
    backlog->own_jobs += 1;
    backlog->all_jobs += 1;
    if (g_hash_table_size(backlog->entries) >= ENTRIES_MAX) {
        keep_unread(backlog, now_us);
    }
    mb_backlog_entry_t *entry =
        g_hash_table_lookup(backlog->entries, &job->id);
    if (entry == NULL) {
        entry = add_entry(backlog, job);
    }
    entry->since_us = now_us;
    entry->appends++;
}

/* Notes that a job was rejected; see the header. */
void
mb_backlog_note_rejected(mb_backlog_t *backlog, const mb_backlog_job_t *job)
{
    uint64_t now_us = mb_clock_us(&backlog->clock);
    uint64_t work_ms = correct(backlog, job, job->work_ms);
    const mb_backlog_class_t *rates = find_rate(backlog, job);
    uint64_t rate_milli = rates == NULL ? 0 : rates->urgent_rate_milli;
    uint32_t size = mb_backlog_size_class(work_ms);
    note_queue(backlog, job)->rejecting |= UINT64_C(1) << size;
    for (guint i = 0; i < backlog->rejected->len; i++) {
        mb_backlog_rejected_t *known =
            &g_array_index(backlog->rejected, mb_backlog_rejected_t, i);
        if (known->service == job->service &&
            known->priority == job->priority) {
            known->work_ms =
                get_rejected(known, rate_milli, now_us) + (double)work_ms;
            known->updated_us = now_us;
            return;
        }
    }
    mb_backlog_rejected_t added = {job->service, job->priority,
                                   (double)work_ms, now_us};
    if (backlog->rejected->len < MB_BACKLOG_CLASSES_MAX) {
        g_array_append_val(backlog->rejected, added);
    }
}

/* Notes that an append was not done; see the header. A client that repeats a
   submission has several for the same job: it may be stored until all have
   failed. */
void
mb_backlog_note_withdrawn(mb_backlog_t *backlog, mb_dag_id_t id)
{
    mb_backlog_entry_t *entry = g_hash_table_lookup(backlog->entries, &id);
    if (entry == NULL) {
        return;
    }
    entry->appends -= entry->appends > 0;
    if (entry->appends == 0 && !entry->read) {
        (void)g_hash_table_remove(backlog->entries, &id);
    }
}

/* Notes a job that was read from the log; see the header. The entries of this
   process are there already. */
void
mb_backlog_note_stored(mb_backlog_t *backlog, const mb_backlog_job_t *job)
{
    if (backlog->forecast_us != 0 && is_old(backlog, backlog->forecast_us)) {
        drop_forecast(backlog);
    }
    if (backlog->forecast_us == 0) {
        (void)g_hash_table_remove(backlog->entries, &job->id);
        return;
    }
    mb_backlog_entry_t *entry =
        g_hash_table_lookup(backlog->entries, &job->id);
    if (entry == NULL) {
        entry = add_entry(backlog, job);
        backlog->all_jobs += 1;
    }
    entry->read = true;
}
