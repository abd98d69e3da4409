#include "mb_fair_queue.h"

/* What one turn costs a class: the inverse of its share, so that a flood of
   urgent requests leaves turns to the others. */
static const uint64_t strides[MB_CLASS_COUNT] = {
    [MB_CLASS_URGENT] = 6,
    [MB_CLASS_NORMAL] = 10,
    [MB_CLASS_BATCH] = 15,
};

/* Queues a request by its deadline; false when `limit` requests wait. */
bool
mb_fair_queue_push(mb_fair_queue_t *waiting, mb_fair_queue_entry_t *waiter,
                   uint32_t limit)
{
    GQueue *queue = &waiting->queues[waiter->request_class];
    GList *after = queue->tail;
    if (waiting->count >= limit) {
        return false;
    }
    if (queue->length == 0) {
        /* A class that was absent has no claim to the turns it missed. */
        uint64_t *pass = &waiting->passes[waiter->request_class];
        for (int i = 0; i < MB_CLASS_COUNT; i++) {
            if (waiting->queues[i].length > 0 && waiting->passes[i] > *pass) {
                *pass = waiting->passes[i];
            }
        }
    }
    while (after != NULL &&
           ((mb_fair_queue_entry_t *)after->data)->deadline_us >
               waiter->deadline_us) {
        after = after->prev;
    }
    waiter->link = (GList){.data = waiter};
    g_queue_insert_after_link(queue, after, &waiter->link);
    waiting->count++;
    return true;
}

/* Takes a request out of its queue. */
static mb_fair_queue_entry_t *
take_head(mb_fair_queue_t *waiting, int request_class)
{
    GQueue *queue = &waiting->queues[request_class];
    mb_fair_queue_entry_t *waiter = queue->head->data;
    g_queue_unlink(queue, queue->head);
    waiting->count--;
    return waiter;
}

/* Takes the next request in weighted turns of the classes; NULL when none
   waits. */
mb_fair_queue_entry_t *
mb_fair_queue_pop(mb_fair_queue_t *waiting)
{
    int next = -1;
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        if (waiting->queues[i].length > 0 &&
            (next < 0 || waiting->passes[i] < waiting->passes[next])) {
            next = i;
        }
    }
    if (next < 0) {
        return NULL;
    }
    waiting->passes[next] += strides[next];
    return take_head(waiting, next);
}

/* Takes a request whose deadline has passed, or returns NULL. */
mb_fair_queue_entry_t *
mb_fair_queue_pop_expired(mb_fair_queue_t *waiting, uint64_t now_us)
{
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        const GList *head = waiting->queues[i].head;
        if (head != NULL &&
            ((const mb_fair_queue_entry_t *)head->data)->deadline_us <=
                now_us) {
            return take_head(waiting, i);
        }
    }
    return NULL;
}

/* Returns the request with the latest deadline of the least urgent class, or
   NULL. */
mb_fair_queue_entry_t *
mb_fair_queue_least_urgent(const mb_fair_queue_t *waiting)
{
    for (int i = MB_CLASS_COUNT - 1; i >= 0; i--) {
        if (waiting->queues[i].length > 0) {
            return waiting->queues[i].tail->data;
        }
    }
    return NULL;
}

/* Takes out a request that waits. */
void
mb_fair_queue_remove(mb_fair_queue_t *waiting, mb_fair_queue_entry_t *waiter)
{
    g_queue_unlink(&waiting->queues[waiter->request_class], &waiter->link);
    waiting->count--;
}
