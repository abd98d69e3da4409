#include "mb_outage.h"

#include <glib.h>

#include "mb_clock.h"

/* Initializes the state without an outage. */
void
mb_outage_init(mb_outage_t *outage)
{
    *outage = (mb_outage_t){0};
}

/* Sets the state of the log. An outage begins at the time of the last answer
   before it. */
void
mb_outage_update(mb_outage_t *outage, bool log_unavailable,
                 uint64_t answered_us)
{
    if (log_unavailable && !outage->log_unavailable) {
        outage->since_us = answered_us;
    }
    outage->log_unavailable = log_unavailable;
}

/* Returns the Retry-After time. An outage is expected to last as long again as
   it has lasted so far. The minimum is added, so that the retries of a client
   are spread over the outage. */
uint32_t
mb_outage_retry_after_s(const mb_outage_t *outage, uint64_t now_us)
{
    if (!outage->log_unavailable) {
        return MB_OUTAGE_RETRY_AFTER_MIN_S;
    }
    uint64_t lasted_s = (now_us - MIN(now_us, outage->since_us)) / MB_US_PER_S;
    return (uint32_t)MIN(MB_OUTAGE_RETRY_AFTER_MIN_S + lasted_s,
                         MB_OUTAGE_RETRY_AFTER_MAX_S);
}
