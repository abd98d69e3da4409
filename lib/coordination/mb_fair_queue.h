/* Queue of waiting requests that serves the request classes by weighted fair
   queueing (stride scheduling), and each class by earliest deadline. The entry
   process keeps requests that wait for credits in it, the sidecar those that
   wait for a slot. Not thread-safe. */
#ifndef MB_FAIR_QUEUE_H
#define MB_FAIR_QUEUE_H

#include <glib.h>
#include <stdbool.h>

#include "mb_resource.h"

/* One waiting request, embedded in a structure of the caller, which keeps it
   alive while it is queued. Set the class and the deadline before it is
   pushed. */
typedef struct mb_fair_queue_entry {
    GList link; /* its data points to this entry */
    mb_class_t request_class;
    uint64_t deadline_us;
} mb_fair_queue_entry_t;

/* Zero-initialized, it is an empty queue. */
typedef struct mb_fair_queue {
    GQueue queues[MB_CLASS_COUNT];   /* each in order of deadlines */
    uint64_t passes[MB_CLASS_COUNT]; /* the lowest one is served next */
    uint32_t count;                  /* of all classes */
} mb_fair_queue_t;

/* Queues a request. Returns false, and does not queue it, when `limit`
   requests are queued already. */
bool mb_fair_queue_push(mb_fair_queue_t *fair_queue,
                        mb_fair_queue_entry_t *entry, uint32_t limit);
/* Removes and returns the next request in the order of the classes, NULL when
   none is queued. */
mb_fair_queue_entry_t *mb_fair_queue_pop(mb_fair_queue_t *fair_queue);
/* Removes and returns a request whose deadline has passed, NULL when there is
   none. */
mb_fair_queue_entry_t *mb_fair_queue_pop_expired(mb_fair_queue_t *fair_queue,
                                                 uint64_t now_us);
/* Returns the request to drop when a more urgent one needs its room: the one
   with the latest deadline of the least urgent class that has any, NULL when
   none is queued. Does not remove it. */
mb_fair_queue_entry_t *
mb_fair_queue_least_urgent(const mb_fair_queue_t *fair_queue);
/* Removes a request, which must be queued. */
void mb_fair_queue_remove(mb_fair_queue_t *fair_queue,
                          mb_fair_queue_entry_t *entry);

#endif
