#include "mb_spread.h"

#include "mb_assert.h"

/* Initializes a table without groups. */
void
mb_spread_init(mb_spread_t *spread)
{
    spread->groups =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                              (GDestroyNotify)g_hash_table_destroy);
}

/* Releases the counts of all groups. */
void
mb_spread_finish(mb_spread_t *spread)
{
    g_hash_table_destroy(spread->groups);
}

/* Returns the counts of a group, NULL when it has no tasks. */
mb_spread_group_t *
mb_spread_find_group(const mb_spread_t *spread, uint64_t group)
{
    return g_hash_table_lookup(spread->groups, &group);
}

/* Returns the number of tasks of the group in a location. */
uint32_t
mb_spread_count(mb_spread_group_t *group, uint32_t location)
{
    if (group == NULL) {
        return 0;
    }
    return GPOINTER_TO_UINT(
        g_hash_table_lookup(group, GUINT_TO_POINTER(location)));
}

/* Counts one more task of the group in a location. */
void
mb_spread_add(mb_spread_t *spread, uint64_t group, uint32_t location)
{
    mb_spread_group_t *counts = mb_spread_find_group(spread, group);
    if (counts == NULL) {
        uint64_t *key = g_new(uint64_t, 1);
        *key = group;
        counts = g_hash_table_new(g_direct_hash, g_direct_equal);
        g_hash_table_insert(spread->groups, key, counts);
    }
    uint32_t count = mb_spread_count(counts, location) + 1;
    g_hash_table_insert(counts, GUINT_TO_POINTER(location),
                        GUINT_TO_POINTER(count));
}

/* Counts one task less in a location. Counts of 0 and groups without tasks are
   removed, so that they take no memory. */
void
mb_spread_remove(mb_spread_t *spread, uint64_t group, uint32_t location)
{
    mb_spread_group_t *counts = mb_spread_find_group(spread, group);
    uint32_t count = mb_spread_count(counts, location);
    MB_INVARIANT(count > 0, "spread_accounting");
    if (count > 1) {
        g_hash_table_insert(counts, GUINT_TO_POINTER(location),
                            GUINT_TO_POINTER(count - 1));
        return;
    }
    g_hash_table_remove(counts, GUINT_TO_POINTER(location));
    if (g_hash_table_size(counts) == 0) {
        g_hash_table_remove(spread->groups, &group);
    }
}
