/* Number of tasks of each group (a job or service) in each rack and failure
   domain. Internal to the placement files. */
#ifndef MB_SPREAD_H
#define MB_SPREAD_H

#include <glib.h>
#include <stdint.h>

typedef struct mb_spread {
    GHashTable *groups; /* group -> mb_spread_group_t */
} mb_spread_t;

/* The counts of one group: location -> number of tasks. NULL stands for a
   group without tasks. */
typedef GHashTable mb_spread_group_t;

/* Initializes a table without groups. */
void mb_spread_init(mb_spread_t *spread);
void mb_spread_finish(mb_spread_t *spread);
/* Returns the counts of a group, NULL when it has no tasks. They are valid
   until the last task of the group is removed. */
mb_spread_group_t *mb_spread_find_group(const mb_spread_t *spread,
                                        uint64_t group);
/* Returns the number of tasks of the group in a location: the number of a rack
   or a failure domain, see mb_placement_rack_location. */
uint32_t mb_spread_count(mb_spread_group_t *group, uint32_t location);
/* Counts one more task of the group in a location. */
void mb_spread_add(mb_spread_t *spread, uint64_t group, uint32_t location);
/* Counts one task less; at least one must have been counted there. */
void mb_spread_remove(mb_spread_t *spread, uint64_t group, uint32_t location);

#endif
