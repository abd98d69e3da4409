/* Teams: what each may hold, what it holds, and whose turn is next by
   weighted fair share of the dominant resource. Used on one thread. */
#ifndef MB_QUOTA_H
#define MB_QUOTA_H

#include "mb_resource.h"

/* Handle of a team in one mb_quota_t. */
typedef uint32_t mb_team_id_t;
#define MB_TEAM_NONE UINT32_MAX

typedef struct mb_quota mb_quota_t;

mb_quota_t *mb_quota_new(void);
void mb_quota_free(mb_quota_t *quota);

/* Capacity of all workers together; shares are relative to it. */
void mb_quota_set_capacity(mb_quota_t *quota, const mb_size_t *capacity);
mb_team_id_t mb_quota_set_team(mb_quota_t *quota, mb_str_t name,
                               const mb_team_t *team);
void mb_quota_remove_team(mb_quota_t *quota, mb_str_t name);
mb_team_id_t mb_quota_find(const mb_quota_t *quota, mb_str_t name);

/* Counts a task in; false when the team's quota does not allow it. */
bool mb_quota_reserve(mb_quota_t *quota, mb_team_id_t team,
                      const mb_size_t *size);
/* Counts a task in that runs already, also beyond the quota. */
void mb_quota_force_reserve(mb_quota_t *quota, mb_team_id_t team,
                            const mb_size_t *size);
void mb_quota_release(mb_quota_t *quota, mb_team_id_t team,
                      const mb_size_t *size);
/* Whether the team could ever hold a task of this size. */
bool mb_quota_fits_limits(const mb_quota_t *quota, mb_team_id_t team,
                          const mb_size_t *size);
/* Which of two teams is served first: < 0 for a, > 0 for b. */
int mb_quota_compare_teams(const mb_quota_t *quota, mb_team_id_t a,
                           mb_team_id_t b);

/* What one shard may grant of a team's quota: a part in proportion to the
   shard's capacity, such that the parts of all shards add up to the quota. */
mb_size_t mb_quota_slice(const mb_size_t *quota, const mb_size_t *capacities,
                         uint32_t shard_count, uint32_t shard);

#endif
