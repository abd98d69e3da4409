#include "mb_queue_table.h"

#include <glib.h>
#include <stdlib.h>

/* Returns a copy, which is freed with free_text. */
static mb_str_t
copy_text(mb_str_t text)
{
    return (mb_str_t){g_memdup2(text.data, text.len), text.len};
}

/* Frees a copy made by copy_text. */
static void
free_text(mb_str_t text)
{
    g_free((char *)text.data);
}

/* Frees a version with its texts; called after the grace period. NULL is
   ignored. */
static void
free_version(void *data)
{
    mb_queue_version_t *version = data;
    if (version == NULL) {
        return;
    }
    for (uint32_t i = 0; i < version->queue_count; i++) {
        free_text(version->queues[i].name);
        free_text(version->queues[i].host);
        free_text(version->queues[i].prefix);
        free_text(version->queues[i].service);
    }
    for (uint32_t i = 0; i < version->pool_count; i++) {
        free_text(version->pools[i].name);
    }
    g_free(version->queues);
    g_free(version->pools);
    g_free(version);
}

/* Compares queues by host, then by length of the prefix, longest first, so
   that the first queue that matches a path has the longest prefix. */
static int
compare_queues(const void *a, const void *b)
{
    const mb_queue_t *left = a;
    const mb_queue_t *right = b;
    int order = mb_str_compare(left->host, right->host);
    if (order != 0) {
        return order;
    }
    if (left->prefix.len != right->prefix.len) {
        return left->prefix.len > right->prefix.len ? -1 : 1;
    }
    return mb_str_compare(left->prefix, right->prefix);
}

/* Returns a deep copy whose queues are sorted. */
static mb_queue_version_t *
copy_version(const mb_queue_version_t *from)
{
    mb_queue_version_t *copy = g_memdup2(from, sizeof(*from));
    copy->queues =
        g_memdup2(from->queues, from->queue_count * sizeof(mb_queue_t));
    copy->pools = g_memdup2(from->pools, from->pool_count * sizeof(mb_pool_t));
    for (uint32_t i = 0; i < copy->queue_count; i++) {
        mb_queue_t *queue = &copy->queues[i];
        queue->name = copy_text(queue->name);
        queue->host = copy_text(queue->host);
        queue->prefix = copy_text(queue->prefix);
        queue->service = copy_text(queue->service);
    }
    for (uint32_t i = 0; i < copy->pool_count; i++) {
        copy->pools[i].name = copy_text(copy->pools[i].name);
    }
    if (copy->queue_count > 0) {
        qsort(copy->queues, copy->queue_count, sizeof(mb_queue_t),
              compare_queues);
    }
    return copy;
}

/* Initializes a table without a configuration. `epoch`, which is borrowed, is
   the reclamation domain of its versions. */
void
mb_queue_table_init(mb_queue_table_t *table, mb_epoch_t *epoch)
{
    table->epoch = epoch;
    table->current = NULL;
}

/* Frees the table. There must be no readers any more. */
void
mb_queue_table_finish(mb_queue_table_t *table)
{
    free_version(table->current);
    table->current = NULL;
}

/* Publishes a copy of `next`. Returns false and changes nothing if its version
   number is not greater than that of the published version. Called on the
   writer's thread. */
bool
mb_queue_table_publish(mb_queue_table_t *table, const mb_queue_version_t *next)
{
    const mb_queue_version_t *now = table->current;
    if (now != NULL && next->version <= now->version) {
        return false;
    }
    mb_epoch_publish(table->epoch, &table->current, copy_version(next),
                     free_version);
    return true;
}

/* Returns the published version, or NULL if there is none yet. Called inside a
   read section, until whose end the version is valid, or on the writer's
   thread. */
const mb_queue_version_t *
mb_queue_table_load(const mb_queue_table_t *table)
{
    return mb_epoch_load((void *const *)&table->current);
}

/* Returns the index of the first queue whose host is not less than `host`, by
   binary search. */
static uint32_t
find_first_of_host(const mb_queue_version_t *version, mb_str_t host)
{
    uint32_t low = 0;
    uint32_t high = version->queue_count;
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        if (mb_str_compare(version->queues[middle].host, host) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Finds the queue of a request: of the queues of the host, the one with the
   longest prefix of the path. A port in `host` is ignored. Returns NULL if
   there is none. */
const mb_queue_t *
mb_queue_match(const mb_queue_version_t *version, mb_str_t host, mb_str_t path)
{
    mb_str_t rest = host;
    mb_str_t name = MB_STR_EMPTY;
    (void)mb_str_split(&rest, ':', &name);
    for (uint32_t i = find_first_of_host(version, name);
         i < version->queue_count; i++) {
        const mb_queue_t *queue = &version->queues[i];
        if (!mb_str_equal(queue->host, name)) {
            return NULL;
        }
        if (mb_str_starts_with(path, queue->prefix)) {
            return queue;
        }
    }
    return NULL;
}

/* Finds a queue by name; NULL if there is none. */
const mb_queue_t *
mb_queue_find(const mb_queue_version_t *version, mb_str_t name)
{
    for (uint32_t i = 0; i < version->queue_count; i++) {
        if (mb_str_equal(version->queues[i].name, name)) {
            return &version->queues[i];
        }
    }
    return NULL;
}

/* Finds a pool by name; NULL if there is none. */
const mb_pool_t *
mb_pool_find(const mb_queue_version_t *version, mb_str_t name)
{
    for (uint32_t i = 0; i < version->pool_count; i++) {
        if (mb_str_equal(version->pools[i].name, name)) {
            return &version->pools[i];
        }
    }
    return NULL;
}
