/* A sidecar's decision which requests its upstream runs, and the record of
   what became of each, so that no request runs twice and none that ran is
   reported as not run. Used on one thread; time and actions are callbacks. */
#ifndef MB_SLOTS_H
#define MB_SLOTS_H

#include <glib.h>

#include "mb_clock.h"
#include "mb_message.h"
#include "mb_waiting.h"

/* How long an outcome is kept, in milliseconds. */
#define MB_SLOTS_RETENTION_MS 60000u
/* Most outcomes kept, and the memory of their responses in bytes. */
#define MB_SLOTS_OUTCOMES_MAX 4096u
#define MB_SLOTS_RESPONSE_BYTES_MAX (16u * 1024u * 1024u)
/* How long after DRAIN requests are still started, in milliseconds. */
#define MB_SLOTS_DRAIN_GRACE_MS 2000u
/* Most incarnations of entries with records or a floor; requests of further
   ones are refused. */
#define MB_SLOTS_SOURCES_MAX 1024u

/* What the decisions lead to. The views are valid during the call. A callback
   must not call back into the same mb_slots_t. */
typedef struct mb_slots_callbacks {
    /* Runs a request; ends in mb_slots_request_finished or
     * mb_slots_request_not_run. */
    void (*start)(void *context, const mb_request_t *request);
    void (*refuse)(void *context, const mb_request_id_t *id, mb_kind_t reason);
    void (*respond)(void *context, const mb_response_t *response);
    void (*report_outcome)(void *context, const mb_request_id_t *id,
                           mb_outcome_state_t state);
    void *context;
} mb_slots_callbacks_t;

typedef struct mb_slots_config {
    uint32_t slots;
    uint32_t queue_limit;
    uint32_t outcomes_max;     /* MB_SLOTS_OUTCOMES_MAX but in tests */
    size_t response_bytes_max; /* MB_SLOTS_RESPONSE_BYTES_MAX but in tests */
} mb_slots_config_t;

typedef struct mb_slots {
    mb_slots_config_t config;
    mb_clock_t clock;
    mb_slots_callbacks_t callbacks;
    uint32_t active;
    bool draining;
    uint64_t drain_end_us;
    GHashTable *records; /* request id -> record */
    GHashTable *sources; /* incarnation of an entry -> floor */
    mb_waiting_t waiting;
    GQueue finished_records; /* oldest first */
    GQueue refused_records;  /* oldest first */
    size_t response_bytes;
} mb_slots_t;

void mb_slots_init(mb_slots_t *slots, const mb_slots_config_t *config,
                   const mb_clock_t *clock,
                   const mb_slots_callbacks_t *callbacks);
void mb_slots_finish(mb_slots_t *slots);
void mb_slots_submit(mb_slots_t *slots, const mb_request_t *request);
void mb_slots_request_finished(mb_slots_t *slots,
                               const mb_response_t *response);
void mb_slots_request_not_run(mb_slots_t *slots, const mb_request_id_t *id,
                              mb_kind_t reason);
void mb_slots_query_outcome(mb_slots_t *slots, const mb_request_id_t *id);
void mb_slots_cancel(mb_slots_t *slots, const mb_request_id_t *id);
void mb_slots_drain(mb_slots_t *slots);
void mb_slots_tick(mb_slots_t *slots);
void mb_slots_compute_credits(const mb_slots_t *slots, const uint64_t *demand,
                              uint32_t count, uint32_t *grants);

#endif
