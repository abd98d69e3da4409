#include "mb_placement_index.h"

#include <glib.h>

#include "mb_assert.h"

/* Sizes below 2^6 thousandths or megabytes share the lowest class. */
#define CLASS_SHIFT 6
/* Highest partition: eight free accelerators and more. */
#define PARTITION_FREE_8 5

/* Returns the class of a free amount, two classes per power of two. */
static uint8_t
class_of(uint32_t amount)
{
    uint32_t units = (amount >> CLASS_SHIFT) + 1;
    uint32_t log = 31u - (uint32_t)__builtin_clz(units);
    uint32_t half = log == 0 ? 0 : (units >> (log - 1)) & 1u;
    return (uint8_t)MIN(2 * log + half, MB_INDEX_SIZE_CLASSES - 1u);
}

/* Returns the partition of a worker with accelerators by the free ones. */
static uint8_t
partition_of_free(uint32_t accelerators)
{
    if (accelerators == 0) {
        return 1;
    }
    uint32_t log = 31u - (uint32_t)__builtin_clz(accelerators);
    return (uint8_t)MIN(log + 2, (uint32_t)PARTITION_FREE_8);
}

/* Returns the lowest partition that can hold a task with this many
   accelerators. */
uint32_t
mb_index_first_partition(uint32_t accelerators)
{
    return accelerators == 0 ? 0 : partition_of_free(accelerators);
}

/* Frees all buckets. */
void
mb_index_finish(mb_index_t *index)
{
    for (int i = 0; i < MB_INDEX_PARTITIONS; i++) {
        mb_index_partition_t *partition = index->partitions[i];
        for (int row = 0; partition != NULL && row < MB_INDEX_SIZE_CLASSES;
             row++) {
            for (int column = 0; column < MB_INDEX_SIZE_CLASSES; column++) {
                g_free(partition->buckets[row][column].items);
            }
        }
        g_free(partition);
    }
}

/* Returns the bucket for a free size, without a position. */
mb_index_position_t
mb_index_locate(const mb_size_t *room, bool accelerated)
{
    return (mb_index_position_t){
        .partition = accelerated ? partition_of_free(room->accelerators) : 0,
        .row = class_of(room->cpu_milli),
        .column = class_of(room->memory_mb),
    };
}

/* Raises the bound of a bucket so that it covers a free size. */
static void
raise_upper(mb_index_bucket_t *bucket, const mb_size_t *room)
{
    mb_size_t *upper = &bucket->upper;
    upper->cpu_milli = MAX(upper->cpu_milli, room->cpu_milli);
    upper->memory_mb = MAX(upper->memory_mb, room->memory_mb);
    upper->accelerators = MAX(upper->accelerators, room->accelerators);
}

/* Tells whether a worker at `b` is in the bucket of `a`. */
bool
mb_index_same_bucket(const mb_index_position_t *a,
                     const mb_index_position_t *b)
{
    return b->present && a->partition == b->partition && a->row == b->row &&
           a->column == b->column;
}

/* Notes the new free size of a worker that stays in its bucket. */
void
mb_index_raise_bound(mb_index_t *index, const mb_index_position_t *place,
                     const mb_size_t *room)
{
    mb_index_partition_t *partition = index->partitions[place->partition];
    raise_upper(&partition->buckets[place->row][place->column], room);
}

/* Adds a worker to the bucket named by `place`. */
void
mb_index_insert(mb_index_t *index, uint32_t worker, const mb_size_t *room,
                mb_index_position_t *place)
{
    mb_index_partition_t **slot = &index->partitions[place->partition];
    if (*slot == NULL) {
        *slot = g_new0(mb_index_partition_t, 1);
    }
    mb_index_partition_t *partition = *slot;
    mb_index_bucket_t *bucket = &partition->buckets[place->row][place->column];
    if (bucket->count == bucket->space) {
        bucket->space = MAX(2 * bucket->space, 4u);
        bucket->items = g_renew(uint32_t, bucket->items, bucket->space);
    }
    place->position = bucket->count;
    place->present = true;
    bucket->items[bucket->count++] = worker;
    raise_upper(bucket, room);
    partition->rows |= UINT32_C(1) << place->row;
    partition->columns[place->row] |= UINT32_C(1) << place->column;
}

/* Removes the worker at `place` by moving the last one of the bucket there. */
uint32_t
mb_index_remove(mb_index_t *index, const mb_index_position_t *place)
{
    mb_index_partition_t *partition = index->partitions[place->partition];
    mb_index_bucket_t *bucket = &partition->buckets[place->row][place->column];
    MB_INVARIANT(place->position < bucket->count, "placement_index");
    uint32_t moved = bucket->items[--bucket->count];
    bucket->items[place->position] = moved;
    if (bucket->count == 0) {
        bucket->upper = (mb_size_t){0};
        partition->columns[place->row] &= ~(UINT32_C(1) << place->column);
    }
    if (partition->columns[place->row] == 0) {
        partition->rows &= ~(UINT32_C(1) << place->row);
    }
    return moved;
}
