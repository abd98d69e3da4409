/* Order in which a scheduling pass considers the open jobs: by priority of
   their queue; within a priority, jobs that can still be completed in time
   before late ones; and then the least remaining work first. Under overload,
   this completes as many jobs in time as possible. */
#include "mb_fleet_internal.h"

/* Interval after which the jobs are sorted again although none was added or
   closed, in microseconds: they become late as time passes. */
#define SORT_INTERVAL_US UINT64_C(200000)
/* A job that can't be completed within this multiple of its objective is very
   late: its completion is worth little by then, so it comes after all others
   of its priority, however late it is. */
#define VERY_LATE_FACTOR 3u

/* Sort key of a job; lower values come first. The priority is compared before
   the lateness. */
typedef struct sort_key {
    uint32_t lateness; /* 0: can be in time, 1: late, 2: very late */
    uint32_t priority;
    uint64_t remaining_work;
    uint64_t due_us;
} sort_key_t;

/* Tells whether a job is expected to miss its objective. */
bool
mb_fleet_job_is_late(const mb_dag_job_t *job, uint64_t now_us)
{
    uint64_t age_us = now_us - MIN(now_us, job->arrived_us);
    return age_us + job->remaining_us > job->objective_us;
}

/* Returns the sort key of a job. It is late if its age plus the expected time
   to complete it exceeds its objective. */
static sort_key_t
get_sort_key(const mb_dag_job_t *job, uint64_t now_us)
{
    uint64_t age_us = now_us - MIN(now_us, job->arrived_us);
    uint64_t total_us = age_us + job->remaining_us;
    uint32_t lateness = 0;
    if (total_us > job->objective_us * VERY_LATE_FACTOR) {
        lateness = 2;
    }
    else if (mb_fleet_job_is_late(job, now_us)) {
        lateness = 1;
    }
    return (sort_key_t){lateness, job->spec.policy.priority,
                        job->remaining_work,
                        job->arrived_us + job->objective_us};
}

/* GCompareDataFunc over mb_dag_job_t pointers; the one to start first is the
   lower one. The context is the present time. */
static gint
compare_jobs(gconstpointer a, gconstpointer b, gpointer context)
{
    const mb_dag_job_t *job_a = *(mb_dag_job_t *const *)a;
    const mb_dag_job_t *job_b = *(mb_dag_job_t *const *)b;
    uint64_t now_us = *(const uint64_t *)context;
    sort_key_t key_a = get_sort_key(job_a, now_us);
    sort_key_t key_b = get_sort_key(job_b, now_us);
    if (key_a.priority != key_b.priority) {
        return key_a.priority < key_b.priority ? -1 : 1;
    }
    if (key_a.lateness != key_b.lateness) {
        return key_a.lateness < key_b.lateness ? -1 : 1;
    }
    if (key_a.remaining_work != key_b.remaining_work) {
        return key_a.remaining_work < key_b.remaining_work ? -1 : 1;
    }
    if (key_a.due_us != key_b.due_us) {
        return key_a.due_us < key_b.due_us ? -1 : 1;
    }
    return 0;
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
        mb_fleet_estimate_job(fleet, g_ptr_array_index(fleet->open_jobs, i));
    }
    g_ptr_array_sort_with_data(fleet->open_jobs, compare_jobs, &now_us);
}
