/* Workers of one failure domain by classes of free size, so that a search
   touches only buckets whose workers may have room. Internal to placement. */
#ifndef MB_PLACEMENT_INDEX_H
#define MB_PLACEMENT_INDEX_H

#include "mb_resource.h"

/* Classes of free processors and memory: two per power of two. */
#define MB_INDEX_SIZE_CLASSES 32
/* Partitions by accelerators: 0 for workers that have none, then by free
   ones: 0, 1, 2-3, 4-7, 8 and more. */
#define MB_INDEX_PARTITIONS 6

/* Workers with free sizes of one class. `upper` bounds their free sizes; it
   is raised on insertion and tightened by a search that visits all. */
typedef struct mb_index_bucket {
    uint32_t *items;
    uint32_t count;
    uint32_t allocated;
    mb_size_t upper_bound;
} mb_index_bucket_t;

/* The buckets of one partition and which of them hold workers. */
typedef struct mb_index_partition {
    uint32_t cpu_classes;
    uint32_t memory_classes[MB_INDEX_SIZE_CLASSES];
    mb_index_bucket_t buckets[MB_INDEX_SIZE_CLASSES][MB_INDEX_SIZE_CLASSES];
} mb_index_partition_t;

typedef struct mb_index {
    mb_index_partition_t *partitions[MB_INDEX_PARTITIONS];
} mb_index_t;

/* Where a worker is in an index; the worker keeps it. */
typedef struct mb_index_position {
    uint8_t partition;
    uint8_t cpu_class;
    uint8_t memory_class;
    bool present;
    uint32_t item_index;
} mb_index_position_t;

void mb_index_finish(mb_index_t *index);
mb_index_position_t mb_index_locate(const mb_size_t *available,
                                    bool has_accelerators);
/* Adds a worker; `place` receives the position. */
void mb_index_insert(mb_index_t *index, uint32_t worker,
                     const mb_size_t *available,
                     mb_index_position_t *position);
/* Removes the worker at `place`. Returns the worker that moved into its
   position, or the removed worker itself. */
uint32_t mb_index_remove(mb_index_t *index,
                         const mb_index_position_t *position);
bool mb_index_same_bucket(const mb_index_position_t *a,
                          const mb_index_position_t *b);
/* Notes the new free size of a worker that stays in its bucket. */
void mb_index_raise_bound(mb_index_t *index,
                          const mb_index_position_t *position,
                          const mb_size_t *available);
/* Lowest partition that can hold a task with this many accelerators. */
uint32_t mb_index_first_partition(uint32_t accelerators);

#endif
