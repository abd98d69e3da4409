/* The declared resources in force, as versions that readers load without a
   mutex, and the latest changes for those who watch. */
#ifndef MB_CONFIG_H
#define MB_CONFIG_H

#include "mb_epoch.h"
#include "mb_resource.h"

/* Changes kept for watchers; one that falls further behind reads all. */
#define MB_CONFIG_CHANGES_MAX 4096

typedef struct mb_config {
    mb_epoch_t *epoch;
    void *version;
    void *loading; /* not published yet, after mb_config_begin_load */
    void *changes;
} mb_config_t;

/* One immutable version; valid inside the epoch section that loaded it. */
typedef struct mb_config_version mb_config_version_t;

/* What an applied write did. */
typedef enum mb_config_result {
    MB_CONFIG_APPLIED,
    MB_CONFIG_CONFLICT, /* the revision expected was not the one in force */
    MB_CONFIG_MISSING   /* the deleted resource did not exist */
} mb_config_result_t;

/* Expected revision of a write that takes any; 0 takes only a new one. */
#define MB_REVISION_ANY UINT64_MAX

/* One change, as a watcher sees it. */
typedef struct mb_config_change {
    uint64_t revision;
    mb_resource_kind_t kind;
    mb_str_t name;
    bool deleted;
} mb_config_change_t;

void mb_config_init(mb_config_t *config, mb_epoch_t *epoch);
void mb_config_finish(mb_config_t *config);

/* Writers: one thread, in the order of the log. `current` receives the
   revision in force before the write. What `resource` owns is taken over,
   whatever the result. */
mb_config_result_t mb_config_put(mb_config_t *config, mb_resource_t *resource,
                                 uint64_t expected, uint64_t revision,
                                 uint64_t *current);
mb_config_result_t mb_config_delete(mb_config_t *config,
                                    mb_resource_kind_t kind, mb_str_t name,
                                    uint64_t expected, uint64_t revision,
                                    uint64_t *current);
/* Begins an empty version for a snapshot; readers keep the version before
   until mb_config_publish. */
void mb_config_begin_load(mb_config_t *config);
void mb_config_publish(mb_config_t *config, uint64_t revision);

/* Calls back for the changes from a revision on, oldest first; from any
   thread. False when some of them are not kept any more. */
bool mb_config_changes_since(const mb_config_t *config, uint64_t from,
                             void (*visit)(void *context,
                                           const mb_config_change_t *change),
                             void *context);

/* Readers: inside an epoch section. */
const mb_config_version_t *mb_config_load(const mb_config_t *config);
size_t mb_config_count(const mb_config_version_t *version,
                       mb_resource_kind_t kind);
uint64_t mb_config_revision(const mb_config_version_t *version);
const mb_resource_t *mb_config_find(const mb_config_version_t *version,
                                    mb_resource_kind_t kind, mb_str_t name);
void
mb_config_each(const mb_config_version_t *version, mb_resource_kind_t kind,
               void (*visit)(void *context, const mb_resource_t *resource),
               void *context);

#endif
