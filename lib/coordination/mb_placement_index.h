/* Index of the workers of one failure domain by their available (unreserved)
   size, so that a search touches only buckets whose workers may have room.
   Internal to the placement files. */
#ifndef MB_PLACEMENT_INDEX_H
#define MB_PLACEMENT_INDEX_H

#include "mb_resource.h"

/* Size classes of available processors and of available memory: two classes
   per power of two. */
#define MB_INDEX_SIZE_CLASSES 32
/* Partitions by accelerators. Partition 0 holds the workers without
   accelerators, 1 to 5 those with 0, 1, 2-3, 4-7, and 8 or more available
   ones. */
#define MB_INDEX_PARTITIONS 6

/* The workers of one class of available processors and one of memory.
   `upper_bound` is no less than the available size of each of them, by
   dimension. Insertions and updates only raise it; a search that visits the
   whole bucket makes it exact. */
typedef struct mb_index_bucket {
    uint32_t *items; /* worker ids */
    uint32_t count;
    uint32_t allocated;
    mb_size_t upper_bound;
} mb_index_bucket_t;

/* The buckets of one partition, by class of processors and of memory. The bit
   sets name the classes that have workers: `cpu_classes` those of processors,
   `memory_classes` for each of them those of memory. */
typedef struct mb_index_partition {
    uint32_t cpu_classes;
    uint32_t memory_classes[MB_INDEX_SIZE_CLASSES];
    mb_index_bucket_t buckets[MB_INDEX_SIZE_CLASSES][MB_INDEX_SIZE_CLASSES];
} mb_index_partition_t;

typedef struct mb_index {
    mb_index_partition_t *partitions[MB_INDEX_PARTITIONS];
} mb_index_t;

/* Position of a worker in an index: its bucket and the index of its item
   there. The worker's entry stores it. */
typedef struct mb_index_position {
    uint8_t partition;
    uint8_t cpu_class;
    uint8_t memory_class;
    bool present; /* in the index */
    uint32_t item_index;
} mb_index_position_t;

void mb_index_finish(mb_index_t *index);
/* Returns the bucket for an available size, as a position without an item. */
mb_index_position_t mb_index_locate(const mb_size_t *available,
                                    bool has_accelerators);
/* Adds a worker to the bucket named by `position`, of which it sets the item
   index and `present`. */
void mb_index_insert(mb_index_t *index, uint32_t worker,
                     const mb_size_t *available,
                     mb_index_position_t *position);
/* Removes the worker at `position` by moving the last item of the bucket
   there. Returns the moved worker, whose item index the caller must update;
   the removed worker itself when it was the last. */
uint32_t mb_index_remove(mb_index_t *index,
                         const mb_index_position_t *position);
/* Returns whether `b` is in an index, in the bucket that `a` names. */
bool mb_index_same_bucket(const mb_index_position_t *a,
                          const mb_index_position_t *b);
/* Raises the upper bound of a bucket to the new available size of a worker
   that stays in it. */
void mb_index_raise_bound(mb_index_t *index,
                          const mb_index_position_t *position,
                          const mb_size_t *available);
/* Returns the lowest partition whose workers may have this many available
   accelerators. */
uint32_t mb_index_first_partition(uint32_t accelerators);

#endif
