/* One shard of mb_owner_node and its thread. */
#ifndef MB_OWNER_SHARD_H
#define MB_OWNER_SHARD_H

#include "mb_owner_node.h"

struct mb_owner_shard {
    mb_owner_node_t *node;
    mb_buf_t stream;
    mb_clock_t clock;
    mb_rng_t rng;
    mb_log_t log;
    mb_log_client_t client;
    mb_http_client_t http; /* to the workers, on the same loop */
    mb_loop_source_t timer;
    mb_loop_deferred_t deferred_tick;
    mb_loop_task_t config_task; /* the configuration has changed */
    uint64_t config_task_posted;
    mb_loop_task_t release_task;
    mb_shard_t *shard;
    bool ready;                /* the configuration was fed once */
    uint64_t config_revision;  /* revision up to which it was fed */
    GHashTable *resource_keys; /* resources that were fed: kind digit, name */
    GHashTable *sync_calls;    /* worker -> sync_call_t */
    GArray *unsent_syncs;      /* workers whose request could not be sent */
    bool append_failed;        /* the record in flight could not be queued */
    bool in_flight;
    mb_shard_record_type_t record_type; /* of the record in flight */
    uint32_t record_count;
    bool record_is_release;
    bool was_owner;
    uint64_t phase;      /* mb_lease_phase_t; atomic */
    uint64_t open_syncs; /* atomic */
    uint64_t closing;    /* atomic */
    uint64_t released;   /* the claim was released; atomic */
    mb_sync_response_t response;
};

bool mb_owner_shard_init(mb_owner_shard_t *owner, mb_owner_node_t *node,
                         uint32_t index, GError **error);
void mb_owner_shard_notify_config(mb_owner_shard_t *owner);
void mb_owner_shard_release_lease(mb_owner_shard_t *owner);
void mb_owner_shard_stop(mb_owner_shard_t *owner);
void mb_owner_shard_finish(mb_owner_shard_t *owner);

/* mb_owner_shard_update_config.c */
void mb_owner_shard_update_config(mb_owner_shard_t *owner);

/* mb_owner_sync.c */
void mb_owner_sync_free(gpointer call);
void mb_owner_sync_send(void *context, uint64_t worker, mb_str_t address,
                        const mb_sync_request_t *request);
void mb_owner_sync_report_unsent(mb_owner_shard_t *owner);

#endif
