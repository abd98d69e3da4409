#include "mb_placement_index.h"

#include <glib.h>

#include "mb_assert.h"

/* Available amounts below 2^6 (thousandths of a processor, megabytes) share
   the lowest class. */
#define SIZE_CLASS_SHIFT 6
/* Highest partition: eight or more available accelerators. */
#define PARTITION_FREE_8 5

/* Returns the size class of an available amount, two classes per power of
   two. */
static uint8_t
compute_size_class(uint32_t amount)
{
    uint32_t units = (amount >> SIZE_CLASS_SHIFT) + 1;
    uint32_t log = 31u - (uint32_t)__builtin_clz(units);
    uint32_t half = log == 0 ? 0 : (units >> (log - 1)) & 1u;
    return (uint8_t)MIN(2 * log + half, MB_INDEX_SIZE_CLASSES - 1u);
}

/* Returns the partition of a worker that has accelerators, by the number of
   available ones. */
static uint8_t
compute_partition(uint32_t accelerators)
{
    if (accelerators == 0) {
        return 1;
    }
    uint32_t log = 31u - (uint32_t)__builtin_clz(accelerators);
    return (uint8_t)MIN(log + 2, (uint32_t)PARTITION_FREE_8);
}

/* Returns the lowest partition whose workers may have this many available
   accelerators. A task that needs none starts at the workers without
   accelerators. */
uint32_t
mb_index_first_partition(uint32_t accelerators)
{
    return accelerators == 0 ? 0 : compute_partition(accelerators);
}

/* Releases all buckets. */
void
mb_index_finish(mb_index_t *index)
{
    for (int i = 0; i < MB_INDEX_PARTITIONS; i++) {
        mb_index_partition_t *partition = index->partitions[i];
        for (int cpu_class = 0;
             partition != NULL && cpu_class < MB_INDEX_SIZE_CLASSES;
             cpu_class++) {
            for (int memory_class = 0; memory_class < MB_INDEX_SIZE_CLASSES;
                 memory_class++) {
                g_free(partition->buckets[cpu_class][memory_class].items);
            }
        }
        g_free(partition);
    }
}

/* Returns the bucket for an available size, as a position without an item. */
mb_index_position_t
mb_index_locate(const mb_size_t *available, bool has_accelerators)
{
    return (mb_index_position_t){
        .partition =
            has_accelerators ? compute_partition(available->accelerators) : 0,
        .cpu_class = compute_size_class(available->cpu_milli),
        .memory_class = compute_size_class(available->memory_mb),
    };
}

/* Raises the upper bound of a bucket so that it covers an available size. */
static void
raise_upper_bound(mb_index_bucket_t *bucket, const mb_size_t *available)
{
    mb_size_t *upper_bound = &bucket->upper_bound;
    upper_bound->cpu_milli = MAX(upper_bound->cpu_milli, available->cpu_milli);
    upper_bound->memory_mb = MAX(upper_bound->memory_mb, available->memory_mb);
    upper_bound->accelerators =
        MAX(upper_bound->accelerators, available->accelerators);
}

/* Returns whether `b` is in an index, in the bucket that `a` names. */
bool
mb_index_same_bucket(const mb_index_position_t *a,
                     const mb_index_position_t *b)
{
    return b->present && a->partition == b->partition &&
           a->cpu_class == b->cpu_class && a->memory_class == b->memory_class;
}

/* Raises the upper bound of a bucket to the new available size of a worker
   that stays in it. The bound stays too high when the size has shrunk, which
   costs a search some visits but never hides a worker. */
void
mb_index_raise_bound(mb_index_t *index, const mb_index_position_t *position,
                     const mb_size_t *available)
{
    mb_index_partition_t *partition = index->partitions[position->partition];
    raise_upper_bound(
        &partition->buckets[position->cpu_class][position->memory_class],
        available);
}

/* Adds a worker to the bucket named by `position` and stores its item index
   there. Partitions are allocated when their first worker is added. */
void
mb_index_insert(mb_index_t *index, uint32_t worker, const mb_size_t *available,
                mb_index_position_t *position)
{
    mb_index_partition_t **slot = &index->partitions[position->partition];
    if (*slot == NULL) {
        *slot = g_new0(mb_index_partition_t, 1);
    }
    mb_index_partition_t *partition = *slot;
    mb_index_bucket_t *bucket =
        &partition->buckets[position->cpu_class][position->memory_class];
    if (bucket->count == bucket->allocated) {
        bucket->allocated = MAX(2 * bucket->allocated, 4u);
        bucket->items = g_renew(uint32_t, bucket->items, bucket->allocated);
    }
    position->item_index = bucket->count;
    position->present = true;
    bucket->items[bucket->count++] = worker;
    raise_upper_bound(bucket, available);
    partition->cpu_classes |= UINT32_C(1) << position->cpu_class;
    partition->memory_classes[position->cpu_class] |=
        UINT32_C(1) << position->memory_class;
}

/* Removes the worker at `position` by moving the last item of the bucket
   there, in constant time. */
uint32_t
mb_index_remove(mb_index_t *index, const mb_index_position_t *position)
{
    mb_index_partition_t *partition = index->partitions[position->partition];
    mb_index_bucket_t *bucket =
        &partition->buckets[position->cpu_class][position->memory_class];
    MB_INVARIANT(position->item_index < bucket->count, "placement_index");
    uint32_t moved = bucket->items[--bucket->count];
    bucket->items[position->item_index] = moved;
    if (bucket->count == 0) {
        bucket->upper_bound = (mb_size_t){0};
        partition->memory_classes[position->cpu_class] &=
            ~(UINT32_C(1) << position->memory_class);
    }
    if (partition->memory_classes[position->cpu_class] == 0) {
        partition->cpu_classes &= ~(UINT32_C(1) << position->cpu_class);
    }
    return moved;
}
