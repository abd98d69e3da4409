/* Replicated store of the declared resources. A write is a record in the
   stream `config` of the log. It takes effect in each process when it is
   replayed there; if several processes write the same resource at once, the
   order of the log decides. */
#ifndef MB_CONFIG_STORE_H
#define MB_CONFIG_STORE_H

#include "mb_appender.h"
#include "mb_config.h"
#include "mb_replica.h"

/* One write as recorded in the log, or one resource of a snapshot. Borrows the
   name and the resource. */
typedef struct mb_config_write {
    bool remove; /* deletes the resource */
    mb_resource_kind_t kind;
    mb_str_t name;
    uint64_t expected; /* revision that the resource must have; 0: it must not
                          exist; MB_REVISION_ANY: no condition */
    uint64_t revision; /* of a resource in a snapshot; 0 in a write */
    const mb_resource_t *resource; /* NULL if it is removed */
} mb_config_write_t;

/* Encodes and decodes writes. */
typedef struct mb_config_codec {
    /* Appends the encoded write to `out`. */
    void (*encode)(void *context, mb_buf_t *out,
                   const mb_config_write_t *write);
    /* Decodes the first write in `rest` and advances `rest` past it. The
       resource, if there is one, is stored in `resource` and must be released
       by the caller. Returns false if the bytes are invalid. */
    bool (*decode)(void *context, mb_str_t *rest, mb_config_write_t *write,
                   mb_resource_t *resource);
    void *context;
} mb_config_codec_t;

typedef enum mb_write_state {
    MB_WRITE_APPLIED,
    MB_WRITE_CONFLICT,    /* the resource had another revision */
    MB_WRITE_MISSING,     /* the resource to delete did not exist */
    MB_WRITE_NOT_WRITTEN, /* not in the log, and will not get there */
    MB_WRITE_UNKNOWN      /* may have been applied, or may still be */
} mb_write_state_t;

/* `revision` is the new one if the write was applied, the present one of the
   resource on a conflict, and 0 otherwise. */
typedef struct mb_write_outcome {
    mb_write_state_t state;
    uint64_t revision;
} mb_write_outcome_t;

typedef void (*mb_write_done_t)(void *context,
                                const mb_write_outcome_t *outcome);

/* Maximum number of observers of one store. */
#define MB_CONFIG_OBSERVERS_MAX 8

typedef struct mb_config_observer {
    /* Called on the thread that reads the stream, after a change has taken
       effect. If `change` is NULL, any resource may have changed. */
    void (*changed)(void *context, const mb_config_change_t *change);
    void *context;
} mb_config_observer_t;

typedef struct mb_config_store {
    mb_config_t *config;
    mb_config_codec_t codec;
    mb_appender_t appender;
    mb_log_t log;
    mb_write_outcome_t last_outcome; /* of the latest record applied */
    mb_config_observer_t observers[MB_CONFIG_OBSERVERS_MAX];
    uint32_t observer_count;
} mb_config_store_t;

void mb_config_store_init(mb_config_store_t *store, mb_config_t *config,
                          const mb_config_codec_t *codec, const mb_log_t *log);
void mb_config_store_set_appender(mb_config_store_t *store,
                                  const mb_appender_t *appender);
mb_replica_callbacks_t mb_config_store_callbacks(mb_config_store_t *store);
void mb_config_store_add_observer(mb_config_store_t *store,
                                  const mb_config_observer_t *observer);
void mb_config_store_write(mb_config_store_t *store,
                           const mb_config_write_t *write, uint32_t timeout_ms,
                           mb_write_done_t done, void *context);

#endif
