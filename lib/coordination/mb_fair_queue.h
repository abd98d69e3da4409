/* Requests that wait in weighted turns of their classes: at an entry for
   credits, at a sidecar for a slot. Used on one thread. */
#ifndef MB_FAIR_QUEUE_H
#define MB_FAIR_QUEUE_H

#include <glib.h>
#include <stdbool.h>

#include "mb_resource.h"

/* One request that waits; embedded by its owner. */
typedef struct mb_waiter {
    GList link; /* its data is the waiter */
    mb_class_t request_class;
    uint64_t deadline_us;
} mb_waiter_t;

typedef struct mb_waiting {
    GQueue queues[MB_CLASS_COUNT]; /* each by deadline */
    uint64_t passes[MB_CLASS_COUNT];
    uint32_t count;
} mb_waiting_t;

bool mb_waiting_push(mb_waiting_t *waiting, mb_waiter_t *waiter,
                     uint32_t limit);
mb_waiter_t *mb_waiting_pop(mb_waiting_t *waiting);
mb_waiter_t *mb_waiting_pop_expired(mb_waiting_t *waiting, uint64_t now_us);

mb_waiter_t *mb_waiting_least(const mb_waiting_t *waiting);
void mb_waiting_remove(mb_waiting_t *waiting, mb_waiter_t *waiter);

#endif
