/* Order in which a scheduling pass considers the open jobs: by priority of
   their queue; within a priority by rank (job_rank_t); and then the least
   remaining work first. Under overload, this completes as many jobs in time as
   possible. Services are considered in the order of their arrival: each runs
   for long, so that a large one would wait as long as smaller ones arrive. */
#include "mb_fleet_internal.h"

/* Interval after which the jobs are sorted again although none was added or
   closed, in microseconds: they become late as time passes. */
#define SORT_INTERVAL_US UINT64_C(200000)
/* A job that can't be completed within this multiple of its objective is very
   late: its completion is worth little by then, so it comes after all others
   of its priority, however late it is. */
#define VERY_LATE_FACTOR 3u

/* Rank of a job within its priority; lower values come first. A service has
   no time by which it must be done, and is worth the same at any age. */
typedef enum job_rank {
    RANK_IN_TIME, /* can be completed within its objective */
    RANK_SERVICE, /* has long-running steps */
    RANK_LATE,
    RANK_VERY_LATE
} job_rank_t;

/* Sort key of a job; the fields are compared in this order, and lower values
   come first. */
typedef struct sort_key {
    uint32_t priority;
    job_rank_t rank;
    uint64_t remaining_work; /* 0 for services */
    uint64_t due_us;         /* time of arrival for services */
} sort_key_t;

/* Tells whether a job has long-running steps. */
bool
mb_fleet_job_is_service(const mb_dag_job_t *job)
{
    for (uint32_t i = 0; i < job->spec.step_count; i++) {
        if (job->steps[i].long_running) {
            return true;
        }
    }
    return false;
}

/* Updates since when a job is to be done; the present time if no occurrence is
   due. */
static void
update_wanted_since(mb_dag_job_t *job, uint64_t now_us)
{
    job->wanted_since_us = job->arrived_us;
#ifndef MB_MUTANT_FLEET_RECURRING_JOBS_AGE
    if (job->spec.occurrences > 0) {
        const mb_dag_occurrence_t *oldest = mb_dag_oldest_open(job);
        job->wanted_since_us =
            oldest == NULL ? now_us : mb_dag_due_us(job, oldest->number);
    }
#endif
}

/* Tells whether a job is expected to miss its objective. */
bool
mb_fleet_job_is_late(const mb_dag_job_t *job, uint64_t now_us)
{
    uint64_t age_us = now_us - MIN(now_us, job->wanted_since_us);
    return age_us + job->remaining_us > job->objective_us;
}

/* Returns the sort key of a job. It is late if its age plus the expected time
   to complete it exceeds its objective. */
static sort_key_t
get_sort_key(const mb_dag_job_t *job, uint64_t now_us)
{
    uint64_t age_us = now_us - MIN(now_us, job->wanted_since_us);
    sort_key_t key = {.priority = job->spec.policy.priority,
                      .rank = RANK_IN_TIME,
                      .remaining_work = job->remaining_work,
                      .due_us = job->wanted_since_us + job->objective_us};
#ifndef MB_MUTANT_FLEET_SERVICES_BY_WORK
    if (mb_fleet_job_is_service(job)) {
        key.rank = RANK_SERVICE;
        key.remaining_work = 0;
        key.due_us = job->arrived_us;
        return key;
    }
#endif
    if (age_us + job->remaining_us > job->objective_us * VERY_LATE_FACTOR) {
        key.rank = RANK_VERY_LATE;
    }
    else if (mb_fleet_job_is_late(job, now_us)) {
        key.rank = RANK_LATE;
    }
    return key;
}

/* Returns a number below 0 if the key `a` comes before `b`, above 0 if after
   it, 0 if they are equal. */
static int
compare_keys(const sort_key_t *a, const sort_key_t *b)
{
    if (a->priority != b->priority) {
        return a->priority < b->priority ? -1 : 1;
    }
    if (a->rank != b->rank) {
        return a->rank < b->rank ? -1 : 1;
    }
    if (a->remaining_work != b->remaining_work) {
        return a->remaining_work < b->remaining_work ? -1 : 1;
    }
    if (a->due_us != b->due_us) {
        return a->due_us < b->due_us ? -1 : 1;
    }
    return 0;
}

/* GCompareDataFunc over mb_dag_job_t pointers; the one to start first is the
   lower one. The context is the present time. */
static gint
compare_jobs(gconstpointer a, gconstpointer b, gpointer context)
{
    uint64_t now_us = *(const uint64_t *)context;
    sort_key_t key_a = get_sort_key(*(mb_dag_job_t *const *)a, now_us);
    sort_key_t key_b = get_sort_key(*(mb_dag_job_t *const *)b, now_us);
    return compare_keys(&key_a, &key_b);
}

/* Counts the open jobs of the same service that have waiting tasks and are
   considered before a job, which need not be one of the open jobs. */
uint32_t
mb_fleet_count_jobs_before(const mb_fleet_t *fleet, const mb_dag_job_t *job,
                           uint64_t now_us)
{
    uint32_t count = 0;
    sort_key_t key = get_sort_key(job, now_us);
    for (guint i = 0; i < fleet->open_jobs->len; i++) {
        const mb_dag_job_t *other = g_ptr_array_index(fleet->open_jobs, i);
        sort_key_t other_key = get_sort_key(other, now_us);
        count += other != job && other->outcome == MB_DAG_OPEN &&
                 other->needs_scheduling &&
                 mb_str_equal(other->spec.policy.service,
                              job->spec.policy.service) &&
                 compare_keys(&other_key, &key) < 0;
    }
    return count;
}

/* Estimates and sorts the open jobs if they have changed or SORT_INTERVAL_US
   has passed since the last time. */
void
mb_fleet_sort_jobs(mb_fleet_t *fleet, uint64_t now_us)
{
    if (!fleet->jobs_unsorted &&
        now_us < fleet->sorted_us + SORT_INTERVAL_US) {
        return;
    }
    fleet->jobs_unsorted = false;
    fleet->sorted_us = now_us;
    for (guint i = 0; i < fleet->open_jobs->len; i++) {
        mb_dag_job_t *job = g_ptr_array_index(fleet->open_jobs, i);
        mb_fleet_estimate_job(fleet, job);
        update_wanted_since(job, now_us);
    }
    g_ptr_array_sort_with_data(fleet->open_jobs, compare_jobs, &now_us);
}
