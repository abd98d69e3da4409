#include "mb_outage.h"

#include <glib.h>

#include "mb_clock.h"

/* Begins without an outage. */
void
mb_outage_init(mb_outage_t *outage)
{
    *outage = (mb_outage_t){0};
}

/* Takes the state of the log; an outage begins with the last answer. */
void
mb_outage_update(mb_outage_t *outage, bool log_unavailable,
                 uint64_t answered_us)
{
    if (log_unavailable && !outage->log_unavailable) {
        outage->since_us = answered_us;
    }
    outage->log_unavailable = log_unavailable;
}

/* An outage that has lasted for a while is expected to last as long again; the
   least wait is added, so that a client's tries spread over it. */
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
