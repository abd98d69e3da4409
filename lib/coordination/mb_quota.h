/* Quotas of teams in one shard: how much of the workers each team uses and may
   use, and the order in which teams are served: by weighted fair sharing of
   the dominant resource. A team's dominant share is its largest share of any
   resource (processors, memory, accelerators). Not thread-safe. */
#ifndef MB_QUOTA_H
#define MB_QUOTA_H

#include "mb_resource.h"

/* Identifies a team in one mb_quota_t. Stays valid until the team is removed
   and its last task is released; then it may be reused. */
typedef uint32_t mb_team_id_t;
#define MB_TEAM_NONE UINT32_MAX

typedef struct mb_quota mb_quota_t;

mb_quota_t *mb_quota_new(void);
void mb_quota_free(mb_quota_t *quota);

/* Sets the capacity of all workers together, to which shares are relative. */
void mb_quota_set_capacity(mb_quota_t *quota, const mb_size_t *capacity);
/* Adds a team, or changes the limits of the one with this name. Returns its
   id. */
mb_team_id_t mb_quota_set_team(mb_quota_t *quota, mb_str_t name,
                               const mb_team_t *team);
void mb_quota_remove_team(mb_quota_t *quota, mb_str_t name);
/* Returns the id of a team, MB_TEAM_NONE for an unknown name. */
mb_team_id_t mb_quota_find(const mb_quota_t *quota, mb_str_t name);

/* Reserves a task's size in the quota of its team. Returns false, and reserves
   nothing, when the quota does not allow it. */
bool mb_quota_reserve(mb_quota_t *quota, mb_team_id_t team,
                      const mb_size_t *size);
/* Reserves the size of a task that runs already, even beyond the quota. */
void mb_quota_force_reserve(mb_quota_t *quota, mb_team_id_t team,
                            const mb_size_t *size);
void mb_quota_release(mb_quota_t *quota, mb_team_id_t team,
                      const mb_size_t *size);
/* Returns whether a task of this size would fit the team's quota if the team
   used nothing else. */
bool mb_quota_fits_limits(const mb_quota_t *quota, mb_team_id_t team,
                          const mb_size_t *size);
/* Compares two teams by the order in which they are served: < 0 when `a` comes
   first, > 0 when `b` does, 0 only for the same team. */
int mb_quota_compare_teams(const mb_quota_t *quota, mb_team_id_t a,
                           mb_team_id_t b);

/* Returns the slice of a team's quota that one shard may grant, in proportion
   to the capacity of the shard's workers. `capacities` has one entry per
   shard. The slices of all shards add up to the quota in each dimension in
   which some shard has capacity. */
mb_size_t mb_quota_slice(const mb_size_t *quota, const mb_size_t *capacities,
                         uint32_t shard_count, uint32_t shard);

#endif
