#include "mb_fair_queue.h"

/* Stride of each class: by how much a served request advances the pass of its
   class. Strides are inversely proportional to the shares of the classes,
   which are 5 : 3 : 2, so that a flood of urgent requests still leaves a share
   to the other classes. */
static const uint64_t strides[MB_CLASS_COUNT] = {
    [MB_CLASS_URGENT] = 6,
    [MB_CLASS_NORMAL] = 10,
    [MB_CLASS_BATCH] = 15,
};

/* Queues a request after those of its class with the same or an earlier
   deadline. */
bool
mb_fair_queue_push(mb_fair_queue_t *fair_queue, mb_fair_queue_entry_t *entry,
                   uint32_t limit)
{
    GQueue *queue = &fair_queue->queues[entry->request_class];
    GList *after = queue->tail;
    if (fair_queue->count >= limit) {
        return false;
    }
    if (queue->length == 0) {
        /* A class that had no requests resumes at the highest pass of the
           classes that have some, so that it does not make up for the time
           when it had none. */
        uint64_t *pass = &fair_queue->passes[entry->request_class];
        for (int i = 0; i < MB_CLASS_COUNT; i++) {
            if (fair_queue->queues[i].length > 0 &&
                fair_queue->passes[i] > *pass) {
                *pass = fair_queue->passes[i];
            }
        }
    }
    while (after != NULL &&
           ((mb_fair_queue_entry_t *)after->data)->deadline_us >
               entry->deadline_us) {
        after = after->prev;
    }
    entry->link = (GList){.data = entry};
    g_queue_insert_after_link(queue, after, &entry->link);
    fair_queue->count++;
    return true;
}

/* Removes and returns the first request of a class that has any. */
static mb_fair_queue_entry_t *
pop_head(mb_fair_queue_t *fair_queue, int request_class)
{
    GQueue *queue = &fair_queue->queues[request_class];
    mb_fair_queue_entry_t *entry = queue->head->data;
    g_queue_unlink(queue, queue->head);
    fair_queue->count--;
    return entry;
}

/* Removes and returns the first request of the class with the lowest pass;
   NULL when none is queued. */
mb_fair_queue_entry_t *
mb_fair_queue_pop(mb_fair_queue_t *fair_queue)
{
    int next = -1;
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        if (fair_queue->queues[i].length > 0 &&
            (next < 0 || fair_queue->passes[i] < fair_queue->passes[next])) {
            next = i;
        }
    }
    if (next < 0) {
        return NULL;
    }
    fair_queue->passes[next] += strides[next];
    return pop_head(fair_queue, next);
}

/* Removes and returns a request whose deadline has passed, NULL when there is
   none. */
mb_fair_queue_entry_t *
mb_fair_queue_pop_expired(mb_fair_queue_t *fair_queue, uint64_t now_us)
{
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        const GList *head = fair_queue->queues[i].head;
        if (head != NULL &&
            ((const mb_fair_queue_entry_t *)head->data)->deadline_us <=
                now_us) {
            return pop_head(fair_queue, i);
        }
    }
    return NULL;
}

/* Returns the request with the latest deadline of the least urgent class that
   has any, NULL when none is queued. */
mb_fair_queue_entry_t *
mb_fair_queue_least_urgent(const mb_fair_queue_t *fair_queue)
{
    for (int i = MB_CLASS_COUNT - 1; i >= 0; i--) {
        if (fair_queue->queues[i].length > 0) {
            return fair_queue->queues[i].tail->data;
        }
    }
    return NULL;
}

/* Removes a request, which must be queued. */
void
mb_fair_queue_remove(mb_fair_queue_t *fair_queue, mb_fair_queue_entry_t *entry)
{
    g_queue_unlink(&fair_queue->queues[entry->request_class], &entry->link);
    fair_queue->count--;
}
