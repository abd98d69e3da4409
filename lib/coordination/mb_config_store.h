/* Writes of declared resources: a record is appended to the stream `config`
   and takes effect when it is replayed; the order of the log decides between
   racing writers. */
#ifndef MB_CONFIG_STORE_H
#define MB_CONFIG_STORE_H

#include "mb_appender.h"
#include "mb_config.h"
#include "mb_replica.h"

/* One write as it stands in the log, or one resource of a snapshot. */
typedef struct mb_config_write {
    bool remove;
    mb_resource_kind_t kind;
    mb_str_t name;
    uint64_t expected; /* revision that must be in force */
    uint64_t revision; /* of a resource in a snapshot; 0 in a write */
    const mb_resource_t *resource; /* NULL when it is removed */
} mb_config_write_t;

/* How writes become bytes. */
typedef struct mb_config_codec {
    void (*encode)(void *context, mb_buf_t *out,
                   const mb_config_write_t *write);
    /* Takes one write off the front of `rest`. The resource, when there is
       one, is made in `resource`, whose owner is the caller. */
    bool (*decode)(void *context, mb_str_t *rest, mb_config_write_t *write,
                   mb_resource_t *resource);
    void *context;
} mb_config_codec_t;

typedef enum mb_write_state {
    MB_WRITE_APPLIED,
    MB_WRITE_CONFLICT,
    MB_WRITE_MISSING,
    MB_WRITE_NOT_WRITTEN,
    MB_WRITE_UNKNOWN
} mb_write_state_t;

/* `revision` is the new one when applied, the one in force on a conflict. */
typedef struct mb_write_outcome {
    mb_write_state_t state;
    uint64_t revision;
} mb_write_outcome_t;

typedef void (*mb_write_done_t)(void *context,
                                const mb_write_outcome_t *outcome);

/* Most observers of one store. */
#define MB_CONFIG_OBSERVERS_MAX 8

typedef struct mb_config_observer {
    /* After a change took effect, on the stream's thread; NULL `change`: all
       may have changed. */
    void (*changed)(void *context, const mb_config_change_t *change);
    void *context;
} mb_config_observer_t;

typedef struct mb_config_store {
    mb_config_t *config;
    mb_config_codec_t codec;
    mb_appender_t appender;
    mb_log_t log;
    mb_write_outcome_t last_outcome; /* of the record applied last */
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
