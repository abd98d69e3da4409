/* Delays between the attempts at a task. */
#include "mb_fleet_internal.h"

/* Doublings after which every delay is at its maximum. */
#define DOUBLINGS_MAX 16u

/* Returns the task at which the failures of a run are counted. The members of
   a gang succeed and fail together, so a gang counts at its first task. */
mb_dag_task_t *
mb_fleet_failure_counter(const mb_fleet_run_t *run)
{
    uint32_t index = run->job->steps[run->step].gang ? 0 : run->index;
    return mb_dag_task(run->job, run->occurrence, run->step, index);
}

/* Returns the delay after a number of failures in a row, in milliseconds. */
static uint32_t
get_delay_ms(const mb_dag_step_t *step, uint32_t failures)
{
    uint32_t doublings = MIN(failures - 1, DOUBLINGS_MAX);
    uint32_t max_ms = step->long_running ? MB_FLEET_SERVICE_RETRY_DELAY_MAX_MS
                                         : MB_FLEET_RETRY_DELAY_MAX_MS;
#ifdef MB_MUTANT_FLEET_RETRY_DELAY_CONSTANT
    doublings = 0;
#endif
    return MIN(MB_FLEET_RETRY_DELAY_MS << doublings, max_ms);
}

/* Delays the next attempt at the task of a run that has failed. */
void
mb_fleet_delay_retry(mb_fleet_t *fleet, const mb_fleet_run_t *run)
{
    mb_dag_task_t *counter = mb_fleet_failure_counter(run);
    if (counter->retries < UINT16_MAX) {
        counter->retries++;
    }
    uint32_t delay_ms =
        get_delay_ms(&run->job->steps[run->step], counter->retries);
    mb_fleet_run_task(run)->not_before_us =
        mb_clock_us(&fleet->clock) + delay_ms * (uint64_t)MB_US_PER_MS;
}

/* Ends the back-off of a task whose run works. */
void
mb_fleet_reset_retries(const mb_fleet_run_t *run)
{
    mb_fleet_failure_counter(run)->retries = 0;
}
