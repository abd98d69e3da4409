/* The configuration: the resources that operators have declared. It is built
   by applying the records of the configuration log in order. Each write makes
   a new immutable version, which readers load without a mutex. The latest
   changes are kept for watchers. */
#ifndef MB_CONFIG_H
#define MB_CONFIG_H

#include "mb_epoch.h"
#include "mb_resource.h"

/* Number of changes kept for watchers. A watcher that is further behind must
   read the whole configuration again. */
#define MB_CONFIG_CHANGES_MAX 4096

typedef struct mb_config {
    mb_epoch_t *epoch;
    void *version; /* mb_config_version_t; the published one */
    void *loading; /* mb_config_version_t, not published yet; NULL unless
                      between mb_config_begin_load and mb_config_publish */
    void *changes; /* ring buffer of the latest changes */
} mb_config_t;

/* An immutable version of the configuration. Valid until the end of the read
   section in which it was loaded. */
typedef struct mb_config_version mb_config_version_t;

/* The result of a write. */
typedef enum mb_config_result {
    MB_CONFIG_APPLIED,
    MB_CONFIG_CONFLICT, /* the resource did not have the expected revision */
    MB_CONFIG_MISSING   /* the resource to delete does not exist */
} mb_config_result_t;

/* As the expected revision of a write: any. 0 means that the resource must not
   exist yet. */
#define MB_REVISION_ANY UINT64_MAX

/* A change to a resource, as reported to watchers. */
typedef struct mb_config_change {
    uint64_t revision;
    mb_resource_kind_t kind;
    mb_str_t name;
    bool deleted;
} mb_config_change_t;

void mb_config_init(mb_config_t *config, mb_epoch_t *epoch);
void mb_config_finish(mb_config_t *config);

/* Writes. Called on one thread, the writer, in the order of the log. The write
   succeeds if the revision of the resource is `expected`; it then has the
   revision `revision`. *current is set to the revision before the write, 0 if
   the resource did not exist. mb_config_put takes ownership of what `resource`
   owns, whatever the result. */
mb_config_result_t mb_config_put(mb_config_t *config, mb_resource_t *resource,
                                 uint64_t expected, uint64_t revision,
                                 uint64_t *current);
mb_config_result_t mb_config_delete(mb_config_t *config,
                                    mb_resource_kind_t kind, mb_str_t name,
                                    uint64_t expected, uint64_t revision,
                                    uint64_t *current);
/* Begins to load a snapshot: later writes go to a new, empty version, while
   readers continue to load the present one. mb_config_publish ends this and
   replaces the present version by the new one, which includes all writes up to
   `revision`. Watchers must then read the whole configuration again. Called on
   the writer's thread. */
void mb_config_begin_load(mb_config_t *config);
void mb_config_publish(mb_config_t *config, uint64_t revision);

/* Calls `visit` for the changes since the revision `from`, inclusive, oldest
   first. Returns false and calls nothing if some of them may no longer be
   kept. Any thread; a mutex is held during the calls. */
bool mb_config_changes_since(const mb_config_t *config, uint64_t from,
                             void (*visit)(void *context,
                                           const mb_config_change_t *change),
                             void *context);

/* Reads. Called inside a read section of the epoch domain, on any thread. */
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
