/* Request scheduling of a sidecar, the process beside one upstream that gets
   requests from entries: decides which requests its upstream runs, with a
   limit on concurrency (slots) and a queue, and records the outcome of each
   request id, so that no request runs twice and none that ran is reported as
   not run. Not thread-safe: all calls must come from one thread. Time and
   actions are callbacks. */
#ifndef MB_SLOTS_H
#define MB_SLOTS_H

#include <glib.h>

#include "mb_clock.h"
#include "mb_fair_queue.h"
#include "mb_message.h"

/* Retention time of outcomes, in milliseconds. */
#define MB_SLOTS_RETENTION_MS 60000u
/* Maximum number of retained outcomes, and of bytes in their responses. */
#define MB_SLOTS_OUTCOMES_MAX 4096u
#define MB_SLOTS_RESPONSE_BYTES_MAX (16u * 1024u * 1024u)
/* Grace period of a drain, in which requests are still started, in
   milliseconds. */
#define MB_SLOTS_DRAIN_GRACE_MS 2000u
/* Maximum number of sources, that is incarnations of entries, with records or
   a floor; requests of further sources are refused. */
#define MB_SLOTS_SOURCES_MAX 1024u

/* Callbacks that carry out decisions. Pointers and views are valid during the
   call only. A callback must not call back into the same mb_slots_t. */
typedef struct mb_slots_callbacks {
    /* Runs a request at the upstream; mb_slots_request_finished or
       mb_slots_request_not_run must follow. */
    void (*start)(void *context, const mb_request_t *request);
    /* Sends REFUSED: the request was not run and will not be. */
    void (*refuse)(void *context, const mb_request_id_t *id, mb_kind_t reason);
    /* Sends a whole response to the entry. */
    void (*respond)(void *context, const mb_response_t *response);
    /* Sends OUTCOME, the state of a request id. */
    void (*report_outcome)(void *context, const mb_request_id_t *id,
                           mb_outcome_state_t state);
    void *context;
} mb_slots_callbacks_t;

typedef struct mb_slots_config {
    uint32_t slots;            /* requests that the upstream runs at a time */
    uint32_t queue_limit;      /* requests that may wait for a slot */
    uint32_t outcomes_max;     /* MB_SLOTS_OUTCOMES_MAX except in tests */
    size_t response_bytes_max; /* MB_SLOTS_RESPONSE_BYTES_MAX, likewise */
} mb_slots_config_t;

typedef struct mb_slots {
    mb_slots_config_t config;
    mb_clock_t clock;
    mb_slots_callbacks_t callbacks;
    uint32_t active; /* slots in use */
    bool draining;
    uint64_t drain_end_us; /* end of the grace period */
    GHashTable *records;   /* request id -> record */
    GHashTable *sources;   /* incarnation of an entry -> floor */
    mb_fair_queue_t waiting;
    GQueue finished_records; /* oldest first */
    GQueue refused_records;  /* oldest first */
    size_t response_bytes;   /* in all finished records */
} mb_slots_t;

/* Initializes with all slots free and no records. */
void mb_slots_init(mb_slots_t *slots, const mb_slots_config_t *config,
                   const mb_clock_t *clock,
                   const mb_slots_callbacks_t *callbacks);
/* Releases all records and the requests that wait. */
void mb_slots_finish(mb_slots_t *slots);
/* Runs, queues or refuses a request. For a known id the recorded outcome is
   sent again; an id whose record may have been dropped is never run. */
void mb_slots_submit(mb_slots_t *slots, const mb_request_t *request);
/* Records the whole response of a running request and sends it. */
void mb_slots_request_finished(mb_slots_t *slots,
                               const mb_response_t *response);
/* Refuses a started request that did not reach the upstream. */
void mb_slots_request_not_run(mb_slots_t *slots, const mb_request_id_t *id,
                              mb_kind_t reason);
/* Answers an outcome query; an id that has not been seen is refused from now
   on. */
void mb_slots_query_outcome(mb_slots_t *slots, const mb_request_id_t *id);
/* Cancels a request that has not started; others continue. */
void mb_slots_cancel(mb_slots_t *slots, const mb_request_id_t *id);
/* Begins a drain: after the grace period no request is started any more. */
void mb_slots_drain(mb_slots_t *slots);
/* Refuses waiting requests that can't be started any more and drops expired
   records; to be called regularly. */
void mb_slots_tick(mb_slots_t *slots);
/* Splits slots and queue places into credits for `count` entries: one each
   while they last, the rest in proportion to demand. The sum of the grants
   does not exceed slots + queue_limit. */
void mb_slots_compute_credits(const mb_slots_t *slots, const uint64_t *demand,
                              uint32_t count, uint32_t *grants);

#endif
