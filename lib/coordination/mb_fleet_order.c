/* In which order the waiting jobs are looked at: urgent queues first; within a
   priority, what can no longer be on time stands behind what can, and the job
   with the least work left goes first. Answers overload: work goes to jobs
   that can be completed in time, and to as many of them as possible. */
#include "mb_fleet_internal.h"

/* Time after which the order of the jobs is made anew, as deadlines pass, in
   microseconds. */
#define SORT_US UINT64_C(200000)
/* Lateness, as a multiple of the objective, after which a job is worth no
   more than any other late one. */
#define LATE_FACTOR 3u

/* What the order of the jobs looks at. */
typedef struct rank {
    uint32_t lateness; /* 0: can be on time, 1: late, 2: worth little */
    uint32_t priority;
    uint64_t left_work;
    uint64_t due_us;
} rank_t;

/* Ranks a job. */
static rank_t
rank_job(const mb_dag_job_t *job, uint64_t now_us)
{
    uint64_t age_us = now_us - MIN(now_us, job->arrived_us);
    uint64_t end_us = age_us + job->left_us;
    uint32_t lateness = 0;
    if (end_us > job->objective_us * LATE_FACTOR) {
        lateness = 2;
    }
    else if (end_us > job->objective_us) {
        lateness = 1;
    }
    return (rank_t){lateness, job->spec.policy.priority, job->left_work,
                    job->arrived_us + job->objective_us};
}

/* Orders two jobs, the one to start first in front. */
static gint
compare_jobs(gconstpointer a, gconstpointer b, gpointer context)
{
    const mb_dag_job_t *left = *(mb_dag_job_t *const *)a;
    const mb_dag_job_t *right = *(mb_dag_job_t *const *)b;
    uint64_t now_us = *(const uint64_t *)context;
    rank_t first = rank_job(left, now_us);
    rank_t second = rank_job(right, now_us);
    if (first.priority != second.priority) {
        return first.priority < second.priority ? -1 : 1;
    }
    if (first.lateness != second.lateness) {
        return first.lateness < second.lateness ? -1 : 1;
    }
    if (first.left_work != second.left_work) {
        return first.left_work < second.left_work ? -1 : 1;
    }
    if (first.due_us != second.due_us) {
        return first.due_us < second.due_us ? -1 : 1;
    }
    return 0;
}

/* Sorts the open jobs when they are new or deadlines may have passed. */
void
mb_fleet_sort_jobs(mb_fleet_t *fleet, uint64_t now_us)
{
    if (!fleet->jobs_unsorted && now_us < fleet->sorted_us + SORT_US) {
        return;
    }
    fleet->jobs_unsorted = false;
    fleet->sorted_us = now_us;
    for (guint i = 0; i < fleet->open_jobs->len; i++) {
        mb_fleet_estimate_job(fleet, g_ptr_array_index(fleet->open_jobs, i));
    }
    g_ptr_array_sort_with_data(fleet->open_jobs, compare_jobs, &now_us);
}
