#include "mb_quota.h"

#include <glib.h>
#include <string.h>

#include "mb_assert.h"

/* One team; the slot stays while tasks of a removed team still run. */
typedef struct team {
    mb_buf_t name;
    mb_team_t limits;
    mb_size_t used;
    uint64_t tasks;
    double share; /* dominant share divided by the weight */
    bool present;
} team_t;

struct mb_quota {
    GHashTable *by_name; /* mb_str_t in team_t -> slot + 1 */
    GPtrArray *teams;
    mb_size_t capacity;
};

/* Hashes a key of `by_name`. */
static guint
hash_name(gconstpointer key)
{
    return (guint)mb_str_hash(mb_buf_view(key));
}

/* Compares two keys of `by_name`. */
static gboolean
equal_names(gconstpointer a, gconstpointer b)
{
    return mb_str_equal(mb_buf_view(a), mb_buf_view(b));
}

/* Frees one slot. */
static void
free_team(void *data)
{
    team_t *team = data;
    mb_buf_finish(&team->name);
    g_free(team);
}

/* Returns the slot with this number. */
static team_t *
team_at(const mb_quota_t *quota, mb_team_id_t id)
{
    MB_INVARIANT(id < quota->teams->len, "quota_team_id");
    return g_ptr_array_index(quota->teams, id);
}

/* Returns used / total; use of a resource that no worker has counts as all
   of it. */
static double
fraction(uint32_t used, uint32_t total)
{
    if (used == 0) {
        return 0;
    }
    return total == 0 ? 1 : (double)used / total;
}

/* Recomputes the weighted dominant share of one team. */
static void
update_share(const mb_quota_t *quota, team_t *team)
{
    double cpu = fraction(team->used.cpu_milli, quota->capacity.cpu_milli);
    double memory = fraction(team->used.memory_mb, quota->capacity.memory_mb);
    double accelerators =
        fraction(team->used.accelerators, quota->capacity.accelerators);
    uint32_t weight = MAX(team->limits.weight, 1u);
    team->share = MAX(cpu, MAX(memory, accelerators)) / weight;
}

/* Makes an empty table of teams. */
mb_quota_t *
mb_quota_new(void)
{
    mb_quota_t *quota = g_new0(mb_quota_t, 1);
    quota->by_name = g_hash_table_new(hash_name, equal_names);
    quota->teams = g_ptr_array_new_with_free_func(free_team);
    return quota;
}

/* Frees the table; NULL is allowed. */
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

/* Sets the capacity that shares are relative to. */
void
mb_quota_set_capacity(mb_quota_t *quota, const mb_size_t *capacity)
{
    quota->capacity = *capacity;
    for (guint i = 0; i < quota->teams->len; i++) {
        update_share(quota, team_at(quota, i));
    }
}

/* Returns a free slot: one of a removed team without tasks, or a new one. */
static mb_team_id_t
take_slot(mb_quota_t *quota)
{
    for (guint i = 0; i < quota->teams->len; i++) {
        const team_t *team = team_at(quota, i);
        if (!team->present && team->tasks == 0) {
            return i;
        }
    }
    g_ptr_array_add(quota->teams, g_new0(team_t, 1));
    return quota->teams->len - 1;
}

/* Adds a team, or changes the limits of the one with this name. A limit below
   what the team holds applies to new tasks only. */
mb_team_id_t
mb_quota_set_team(mb_quota_t *quota, mb_str_t name, const mb_team_t *limits)
{
    mb_team_id_t id = mb_quota_find(quota, name);
    if (id == MB_TEAM_NONE) {
        id = take_slot(quota);
        team_t *added = team_at(quota, id);
        mb_buf_set(&added->name, name);
        added->present = true;
        g_hash_table_insert(quota->by_name, &added->name,
                            GUINT_TO_POINTER(id + 1));
    }
    team_t *team = team_at(quota, id);
    team->limits = *limits;
    update_share(quota, team);
    return id;
}

/* Removes a team; its running tasks are still released under its id. */
void
mb_quota_remove_team(mb_quota_t *quota, mb_str_t name)
{
    mb_team_id_t id = mb_quota_find(quota, name);
    if (id == MB_TEAM_NONE) {
        return;
    }
    team_t *team = team_at(quota, id);
    g_hash_table_remove(quota->by_name, &team->name);
    team->present = false;
    team->limits.quota = (mb_size_t){0};
}

/* Returns the id of a team, MB_TEAM_NONE for an unknown name. */
mb_team_id_t
mb_quota_find(const mb_quota_t *quota, mb_str_t name)
{
    mb_buf_t key = {.data = (char *)name.data, .len = name.len};
    void *slot = g_hash_table_lookup(quota->by_name, &key);
    return slot == NULL ? MB_TEAM_NONE : GPOINTER_TO_UINT(slot) - 1;
}

/* Returns what the team may still take, zero where it is over its limit. */
static mb_size_t
room_of(const team_t *team)
{
    const mb_size_t *quota = &team->limits.quota;
    const mb_size_t *used = &team->used;
    return (mb_size_t){
        quota->cpu_milli - MIN(quota->cpu_milli, used->cpu_milli),
        quota->memory_mb - MIN(quota->memory_mb, used->memory_mb),
        quota->accelerators - MIN(quota->accelerators, used->accelerators),
    };
}

/* Counts a task in that runs already, also beyond the quota: its team then
   starts nothing until it is below. */
void
mb_quota_force_reserve(mb_quota_t *quota, mb_team_id_t id,
                       const mb_size_t *size)
{
    team_t *team = team_at(quota, id);
    mb_size_add(&team->used, size);
    team->tasks++;
    update_share(quota, team);
}

/* Counts a task in; false, and nothing counted, when the quota does not
   allow it or the team is unknown. */
bool
mb_quota_reserve(mb_quota_t *quota, mb_team_id_t id, const mb_size_t *size)
{
    if (id == MB_TEAM_NONE) {
        return false;
    }
    team_t *team = team_at(quota, id);
    mb_size_t room = room_of(team);
#ifdef MB_MUTANT_QUOTA_NO_LIMIT
    room = *size;
#endif
    if (!team->present || !mb_size_fits(size, &room)) {
        return false;
    }
    mb_quota_force_reserve(quota, id, size);
    return true;
}

/* Counts a task out that was counted in. */
void
mb_quota_release(mb_quota_t *quota, mb_team_id_t id, const mb_size_t *size)
{
    team_t *team = team_at(quota, id);
    MB_INVARIANT(team->tasks > 0, "quota_accounting");
    mb_size_subtract(&team->used, size);
    team->tasks--;
    update_share(quota, team);
}

/* Tells whether the team could hold a task of this size when it holds nothing
   else. */
bool
mb_quota_fits_limits(const mb_quota_t *quota, mb_team_id_t id,
                     const mb_size_t *size)
{
    if (id == MB_TEAM_NONE) {
        return false;
    }
    const team_t *team = team_at(quota, id);
    return team->present && mb_size_fits(size, &team->limits.quota);
}

/* Orders two teams by weighted dominant share, then by id, so that the order
   is total. */
int
mb_quota_compare_teams(const mb_quota_t *quota, mb_team_id_t a, mb_team_id_t b)
{
    double share_a = team_at(quota, a)->share;
    double share_b = team_at(quota, b)->share;
    if (share_a != share_b) {
        return share_a < share_b ? -1 : 1;
    }
    return (a > b) - (a < b);
}

/* Returns the part of `quota` for the capacity range from `before` to `upto`
   of `total`. Each bound is rounded down on its own, so that ranges which
   cover `total` without gaps share out the quota without a remainder. */
static uint32_t
slice_of(uint32_t quota, uint64_t before, uint64_t upto, uint64_t total)
{
    if (total == 0) {
        return 0;
    }
    /* 32 bits times a sum of 32-bit capacities needs more than 64 bits. */
    unsigned __int128 high = (unsigned __int128)quota * upto / total;
    unsigned __int128 low = (unsigned __int128)quota * before / total;
    return (uint32_t)(high - low);
}

/* Returns the slice of a quota that shard `shard` may grant. Every owner
   computes the same slices from the same declared workers, without messages;
   the slices of all shards add up to the quota in each dimension that any
   shard has, and are 0 in the others. One shard gets the whole quota. */
mb_size_t
mb_quota_slice(const mb_size_t *quota, const mb_size_t *capacities,
               uint32_t shard_count, uint32_t shard)
{
    uint64_t before[3] = {0};
    uint64_t total[3] = {0};
    MB_INVARIANT(shard < shard_count, "quota_slice_shard");
    if (shard_count == 1) {
        return *quota;
    }
    for (uint32_t i = 0; i < shard_count; i++) {
        if (i == shard) {
            memcpy(before, total, sizeof(before));
        }
        total[0] += capacities[i].cpu_milli;
        total[1] += capacities[i].memory_mb;
        total[2] += capacities[i].accelerators;
    }
    const mb_size_t *own = &capacities[shard];
    return (mb_size_t){
        slice_of(quota->cpu_milli, before[0], before[0] + own->cpu_milli,
                 total[0]),
        slice_of(quota->memory_mb, before[1], before[1] + own->memory_mb,
                 total[1]),
        slice_of(quota->accelerators, before[2], before[2] + own->accelerators,
                 total[2]),
    };
}
