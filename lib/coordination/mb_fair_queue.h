/* Requests that wait in weighted turns of their classes: at an entry for
   credits, at a sidecar for a slot. Used on one thread. */
#ifndef MB_FAIR_QUEUE_H
#define MB_FAIR_QUEUE_H

#include <glib.h>
#include <stdbool.h>

#include "mb_resource.h"

/* One request that waits; embedded by its owner. */
typedef struct mb_fair_queue_entry {
    GList link; /* its data is the waiter */
    mb_class_t request_class;
    uint64_t deadline_us;
} mb_fair_queue_entry_t;

typedef struct mb_fair_queue {
    GQueue queues[MB_CLASS_COUNT]; /* each by deadline */
    uint64_t passes[MB_CLASS_COUNT];
    uint32_t count;
} mb_fair_queue_t;

bool mb_fair_queue_push(mb_fair_queue_t *waiting,
                        mb_fair_queue_entry_t *waiter, uint32_t limit);
mb_fair_queue_entry_t *mb_fair_queue_pop(mb_fair_queue_t *waiting);
mb_fair_queue_entry_t *mb_fair_queue_pop_expired(mb_fair_queue_t *waiting,
                                                 uint64_t now_us);

mb_fair_queue_entry_t *
mb_fair_queue_least_urgent(const mb_fair_queue_t *waiting);
void mb_fair_queue_remove(mb_fair_queue_t *waiting,
                          mb_fair_queue_entry_t *waiter);

#endif
