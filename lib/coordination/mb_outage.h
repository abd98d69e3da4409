/* Computes the Retry-After time for clients that are rejected because the log
   is unavailable. Meant for outages of seconds, during which clients with few
   retries would otherwise use up all of them. Used by the scheduler role,
   which runs the fleet, on one thread. */
#ifndef MB_OUTAGE_H
#define MB_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/* Bounds of the Retry-After time, in seconds. */
#define MB_OUTAGE_RETRY_AFTER_MIN_S 1u
#define MB_OUTAGE_RETRY_AFTER_MAX_S 4u

typedef struct mb_outage {
    bool log_unavailable;
    uint64_t since_us; /* time of the last answer before the outage */
} mb_outage_t;

void mb_outage_init(mb_outage_t *outage);
/* Sets whether the log is unavailable, and when it last answered. */
void mb_outage_update(mb_outage_t *outage, bool log_unavailable,
                      uint64_t answered_us);
/* Returns the seconds after which a rejected client should retry. */
uint32_t mb_outage_retry_after_s(const mb_outage_t *outage, uint64_t now_us);

#endif
