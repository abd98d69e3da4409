/* When a client that was rejected because the log is away should come back.
   Answers outages of seconds, in which clients with few retries would else
   spend all of them. Used on one thread. */
#ifndef MB_OUTAGE_H
#define MB_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/* Bounds of the time that a client is asked to wait, in seconds. */
#define MB_OUTAGE_RETRY_AFTER_MIN_S 1u
#define MB_OUTAGE_RETRY_AFTER_MAX_S 4u

typedef struct mb_outage {
    bool log_unavailable;
    uint64_t since_us;
} mb_outage_t;

void mb_outage_init(mb_outage_t *outage);
/* Notes whether the log is away, and when it answered last. */
void mb_outage_update(mb_outage_t *outage, bool log_unavailable,
                      uint64_t answered_us);
/* Returns the seconds after which a rejected client may come back. */
uint32_t mb_outage_retry_after_s(const mb_outage_t *outage, uint64_t now_us);

#endif
