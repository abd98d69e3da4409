/* One shard of mb_owner_node: the decisions of its owner (mb_shard), the
   stream of its log, and the connections to its workers, all on the thread of
   the stream's loop. */
#ifndef MB_OWNER_SHARD_H
#define MB_OWNER_SHARD_H

#include "mb_owner_node.h"

struct mb_owner_shard {
    mb_owner_node_t *node;
    mb_buf_t stream; /* name of the stream */
    mb_clock_t clock;
    mb_rng_t rng;
    mb_log_t log;
    mb_log_client_t client; /* of the stream; owns the loop and the thread */
    mb_http_client_t http;  /* to the workers, on the same loop */
    mb_loop_source_t timer; /* runs the next tick of the shard */
    mb_loop_deferred_t deferred_tick;
    mb_loop_task_t config_task;  /* applies changes of the configuration */
    uint64_t config_task_posted; /* atomic */
    mb_loop_task_t release_task; /* releases the lease */
    mb_shard_t *shard;
    /* Both streams have been read to their ends and the configuration was
       passed to the shard; the shard does nothing before. */
    bool ready;
    uint64_t config_revision;  /* latest revision passed to the shard */
    GHashTable *resource_keys; /* resources that the shard has; owned strings:
                                  the digit of the kind, then the name */
    GHashTable *sync_calls;    /* worker key -> sync_call_t */
    GArray *unsent_syncs;      /* keys of workers whose request could not be
                                  sent */
    /* The record that is being appended, at most one. */
    bool append_failed; /* it could not be queued */
    bool in_flight;
    mb_shard_record_type_t record_type;
    uint32_t record_count; /* of items in it */
    bool record_is_release;
    bool was_owner;      /* in the latest tick */
    uint64_t phase;      /* mb_lease_phase_t; atomic */
    uint64_t open_syncs; /* sync requests without a result; atomic */
    /* The thread is to be stopped: no more ticks and sync requests. Atomic. */
    uint64_t closing;
    /* The lease is released, was not held, or can't be released because the
       mailbox is full. Atomic. */
    uint64_t released;
    mb_sync_response_t response; /* scratch space for decoding */
};

bool mb_owner_shard_init(mb_owner_shard_t *owner, mb_owner_node_t *node,
                         uint32_t index, GError **error);
void mb_owner_shard_notify_config(mb_owner_shard_t *owner);
void mb_owner_shard_release_lease(mb_owner_shard_t *owner);
void mb_owner_shard_stop(mb_owner_shard_t *owner);
void mb_owner_shard_finish(mb_owner_shard_t *owner);

/* mb_owner_config.c: the declared configuration. */
void mb_owner_shard_update_config(mb_owner_shard_t *owner);

/* mb_owner_sync.c: sync requests to the workers. */
void mb_owner_sync_free(gpointer call);
void mb_owner_sync_send(void *context, uint64_t worker, mb_str_t address,
                        const mb_sync_request_t *request);
void mb_owner_sync_report_unsent(mb_owner_shard_t *owner);

#endif
