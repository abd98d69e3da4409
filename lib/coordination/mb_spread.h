/* How many tasks of a group run in each rack and failure domain. */
#ifndef MB_SPREAD_H
#define MB_SPREAD_H

#include <glib.h>
#include <stdint.h>

typedef struct mb_spread {
    GHashTable *groups; /* group -> counts by place */
} mb_spread_t;

/* Counts of one group; NULL stands for a group without tasks. */
typedef GHashTable mb_spread_group_t;

void mb_spread_init(mb_spread_t *spread);
void mb_spread_finish(mb_spread_t *spread);
mb_spread_group_t *mb_spread_find_group(const mb_spread_t *spread,
                                        uint64_t group);
/* `place` numbers a rack or a failure domain. */
uint32_t mb_spread_count(mb_spread_group_t *group, uint32_t location);
void mb_spread_add(mb_spread_t *spread, uint64_t group, uint32_t location);
void mb_spread_remove(mb_spread_t *spread, uint64_t group, uint32_t location);

#endif
