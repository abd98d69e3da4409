#include "mb_quota.h"

#include <glib.h>
#include <string.h>

#include "mb_assert.h"

/* One team. Its table entry is kept after the team is removed until its last
   task is released. */
typedef struct team {
    mb_buf_t name;
    mb_team_t limits;
    mb_size_t used;
    uint64_t tasks;
    double weighted_share; /* dominant share / weight */
    bool present;
} team_t;

struct mb_quota {
    GHashTable *by_name; /* name in team_t -> id + 1 */
    GPtrArray *teams;
    mb_size_t capacity;
};

/* Frees a team's entry. */
static void
free_team(void *data)
{
    team_t *team = data;
    mb_buf_finish(&team->name);
    g_free(team);
}

/* Returns the entry of a team. */
static team_t *
get_team(const mb_quota_t *quota, mb_team_id_t id)
{
    MB_INVARIANT(id < quota->teams->len, "quota_team_id");
    return g_ptr_array_index(quota->teams, id);
}

/* Returns used / total. Any use of a resource that no worker has counts as all
   of it. */
static double
compute_usage_fraction(uint32_t used, uint32_t total)
{
    if (used == 0) {
        return 0;
    }
    return total == 0 ? 1 : (double)used / total;
}

/* Updates the weighted dominant share of a team after its usage, its weight or
   the capacity has changed. */
static void
update_weighted_share(const mb_quota_t *quota, team_t *team)
{
    double cpu = compute_usage_fraction(team->used.cpu_milli,
                                        quota->capacity.cpu_milli);
    double memory = compute_usage_fraction(team->used.memory_mb,
                                           quota->capacity.memory_mb);
    double accelerators = compute_usage_fraction(team->used.accelerators,
                                                 quota->capacity.accelerators);
    uint32_t weight = MAX(team->limits.weight, 1u);
    team->weighted_share = MAX(cpu, MAX(memory, accelerators)) / weight;
}

/* Creates a table without teams and without capacity. */
mb_quota_t *
mb_quota_new(void)
{
    mb_quota_t *quota = g_new0(mb_quota_t, 1);
    quota->by_name = g_hash_table_new(mb_buf_key_hash, mb_buf_key_equal);
    quota->teams = g_ptr_array_new_with_free_func(free_team);
    return quota;
}

/* Frees the table and its teams; NULL is allowed. */
void
mb_quota_free(mb_quota_t *quota)
{
    if (quota == NULL) {
        return;
    }
    g_hash_table_destroy(quota->by_name);
    g_ptr_array_free(quota->teams, TRUE);
    g_free(quota);
}

/* Sets the capacity that shares are relative to, and updates the shares of all
   teams. */
void
mb_quota_set_capacity(mb_quota_t *quota, const mb_size_t *capacity)
{
    quota->capacity = *capacity;
    for (guint i = 0; i < quota->teams->len; i++) {
        update_weighted_share(quota, get_team(quota, i));
    }
}

/* Returns the id of an unused entry: that of a removed team without tasks, or
   a new one. */
static mb_team_id_t
acquire_entry(mb_quota_t *quota)
{
    for (guint i = 0; i < quota->teams->len; i++) {
        const team_t *team = get_team(quota, i);
        if (!team->present && team->tasks == 0) {
            return i;
        }
    }
    g_ptr_array_add(quota->teams, g_new0(team_t, 1));
    return quota->teams->len - 1;
}

/* Adds a team, or changes the limits of the one with this name. A limit below
   what the team already uses affects new tasks only. */
mb_team_id_t
mb_quota_set_team(mb_quota_t *quota, mb_str_t name, const mb_team_t *limits)
{
    mb_team_id_t id = mb_quota_find(quota, name);
    if (id == MB_TEAM_NONE) {
        id = acquire_entry(quota);
        team_t *added = get_team(quota, id);
        mb_buf_set(&added->name, name);
        added->present = true;
        g_hash_table_insert(quota->by_name, &added->name,
                            GUINT_TO_POINTER(id + 1));
    }
    team_t *team = get_team(quota, id);
    team->limits = *limits;
    update_weighted_share(quota, team);
    return id;
}

/* Removes a team. Its running tasks are still to be released under its id,
   which is not reused before that. */
void
mb_quota_remove_team(mb_quota_t *quota, mb_str_t name)
{
    mb_team_id_t id = mb_quota_find(quota, name);
    if (id == MB_TEAM_NONE) {
        return;
    }
    team_t *team = get_team(quota, id);
    g_hash_table_remove(quota->by_name, &team->name);
    team->present = false;
    team->limits.quota = (mb_size_t){0};
}

/* Returns the id of a team, MB_TEAM_NONE for an unknown name. */
mb_team_id_t
mb_quota_find(const mb_quota_t *quota, mb_str_t name)
{
    mb_buf_t key = {.data = (char *)name.data, .len = name.len};
    void *value = g_hash_table_lookup(quota->by_name, &key);
    return value == NULL ? MB_TEAM_NONE : GPOINTER_TO_UINT(value) - 1;
}

/* Returns what the team may still use; zero in each dimension in which it is
   over its limit. */
static mb_size_t
compute_available(const team_t *team)
{
    const mb_size_t *quota = &team->limits.quota;
    const mb_size_t *used = &team->used;
    return (mb_size_t){
        quota->cpu_milli - MIN(quota->cpu_milli, used->cpu_milli),
        quota->memory_mb - MIN(quota->memory_mb, used->memory_mb),
        quota->accelerators - MIN(quota->accelerators, used->accelerators),
    };
}

/* Reserves the size of a task that runs already, even beyond the quota. While
   the team uses more than its quota it starts no task. */
void
mb_quota_force_reserve(mb_quota_t *quota, mb_team_id_t id,
                       const mb_size_t *size)
{
    team_t *team = get_team(quota, id);
    mb_size_add(&team->used, size);
    team->tasks++;
    update_weighted_share(quota, team);
}

/* Reserves a task's size. Returns false, and reserves nothing, when the quota
   does not allow it or the team is unknown or removed. */
bool
mb_quota_reserve(mb_quota_t *quota, mb_team_id_t id, const mb_size_t *size)
{
    if (id == MB_TEAM_NONE) {
        return false;
    }
    team_t *team = get_team(quota, id);
    mb_size_t available = compute_available(team);
#ifdef MB_MUTANT_QUOTA_NO_LIMIT
    available = *size;
#endif
    if (!team->present || !mb_size_fits(size, &available)) {
        return false;
    }
    mb_quota_force_reserve(quota, id, size);
    return true;
}

/* Releases the reservation of a task. */
void
mb_quota_release(mb_quota_t *quota, mb_team_id_t id, const mb_size_t *size)
{
    team_t *team = get_team(quota, id);
    MB_INVARIANT(team->tasks > 0, "quota_accounting");
    mb_size_subtract(&team->used, size);
    team->tasks--;
    update_weighted_share(quota, team);
}

/* Returns whether a task of this size would fit the team's quota if the team
   used nothing else. */
bool
mb_quota_fits_limits(const mb_quota_t *quota, mb_team_id_t id,
                     const mb_size_t *size)
{
    if (id == MB_TEAM_NONE) {
        return false;
    }
    const team_t *team = get_team(quota, id);
    return team->present && mb_size_fits(size, &team->limits.quota);
}

/* Orders teams by weighted dominant share, then by id to make the order
   total. */
int
mb_quota_compare_teams(const mb_quota_t *quota, mb_team_id_t a, mb_team_id_t b)
{
    double share_a = get_team(quota, a)->weighted_share;
    double share_b = get_team(quota, b)->weighted_share;
    if (share_a != share_b) {
        return share_a < share_b ? -1 : 1;
    }
    return (a > b) - (a < b);
}

/* Returns the part of `quota` for the capacity range from `start` to `end` of
   `total`. Both bounds are rounded down independently, so that consecutive
   ranges which cover `total` divide the quota without a remainder. */
static uint32_t
compute_slice(uint32_t quota, uint64_t start, uint64_t end, uint64_t total)
{
    if (total == 0) {
        return 0;
    }
    /* A 32-bit quota times a sum of 32-bit capacities needs more than 64
       bits. */
    unsigned __int128 high = (unsigned __int128)quota * end / total;
    unsigned __int128 low = (unsigned __int128)quota * start / total;
    return (uint32_t)(high - low);
}

/* Returns the slice of a quota that the shard with index `shard` may grant.
   The owner of each shard computes the same slices from the same declared
   workers, without messages. The slices of all shards add up to the quota in
   each dimension in which some shard has capacity; in the other dimensions all
   slices are 0. A single shard gets the whole quota. */
mb_size_t
mb_quota_slice(const mb_size_t *quota, const mb_size_t *capacities,
               uint32_t shard_count, uint32_t shard)
{
    uint64_t start[3] = {0};
    uint64_t total[3] = {0};
    MB_INVARIANT(shard < shard_count, "quota_slice_shard");
    if (shard_count == 1) {
        return *quota;
    }
    for (uint32_t i = 0; i < shard_count; i++) {
        if (i == shard) {
            memcpy(start, total, sizeof(start));
        }
        total[0] += capacities[i].cpu_milli;
        total[1] += capacities[i].memory_mb;
        total[2] += capacities[i].accelerators;
    }
    const mb_size_t *shard_capacity = &capacities[shard];
    return (mb_size_t){
        compute_slice(quota->cpu_milli, start[0],
                      start[0] + shard_capacity->cpu_milli, total[0]),
        compute_slice(quota->memory_mb, start[1],
                      start[1] + shard_capacity->memory_mb, total[1]),
        compute_slice(quota->accelerators, start[2],
                      start[2] + shard_capacity->accelerators, total[2]),
    };
}
