/* An entry's open requests on one link thread: which attempt is in progress,
   when it may be repeated, and what the client is told. Used on one thread;
   time, the links and the answers are callbacks. */
#ifndef MB_REQUEST_H
#define MB_REQUEST_H

#include <glib.h>

#include "mb_clock.h"
#include "mb_message.h"

/* Most attempts of one request. */
#define MB_REQUEST_ATTEMPTS_MAX 3u

/* One client request; embedded as the first member by its owner. */
typedef struct mb_open_request {
    mb_request_id_t id; /* of the attempt in progress */
    const void *peer;   /* the sidecar's incarnation of this attempt */
    uint64_t deadline_us;
    uint32_t attempts;
    bool idempotent;
    bool has_partial_response; /* a part of the response has arrived */
    bool may_have_run;         /* an earlier attempt ended without proof */
} mb_open_request_t;

typedef struct mb_request_callbacks {
    /* Makes another attempt; answers `otherwise` through
       mb_open_request_error_kind when there is no other link. The request is
       no longer in the table. */
    void (*retry)(void *context, mb_open_request_t *open,
                  mb_kind_t fallback_kind);
    /* Answers the client; the request is no longer in the table. */
    void (*fail)(void *context, mb_open_request_t *open, mb_kind_t kind);
    /* Sends OUTCOME_ASK on the current link of a sidecar. */
    void (*send_outcome_ask)(void *context, const void *peer,
                             const mb_outcome_ask_t *ask);
    /* Sends CANCEL, where there is a link. */
    void (*send_cancel)(void *context, const void *peer,
                        const mb_request_id_t *id);
    /* Takes one retry off the budget; false when it is used up. */
    bool (*spend_retry)(void *context);
    void *context;
} mb_request_callbacks_t;

typedef struct mb_request_table {
    mb_clock_t clock;
    mb_request_callbacks_t callbacks;
    GHashTable *open; /* counter of the attempt's id -> mb_open_request_t */
} mb_request_table_t;

void mb_request_table_init(mb_request_table_t *table, const mb_clock_t *clock,
                           const mb_request_callbacks_t *callbacks);
void mb_request_table_finish(mb_request_table_t *table);
void mb_request_begin_attempt(mb_request_table_t *table,
                              mb_open_request_t *open,
                              const mb_request_id_t *id, const void *peer);
mb_open_request_t *mb_request_handle_response(mb_request_table_t *table,
                                              const mb_request_id_t *id,
                                              bool last);
void mb_request_abort(mb_request_table_t *table, mb_open_request_t *open,
                      mb_kind_t kind);
void mb_request_handle_refusal(mb_request_table_t *table,
                               const mb_request_id_t *id, mb_kind_t reason);
void mb_request_handle_outcome(mb_request_table_t *table,
                               const mb_request_id_t *id,
                               mb_outcome_state_t state);
void mb_request_link_lost(mb_request_table_t *table, const void *peer);
void mb_request_link_replaced(mb_request_table_t *table, const void *peer);
void mb_request_peer_gone(mb_request_table_t *table, const void *peer);
void mb_request_tick(mb_request_table_t *table);
mb_kind_t mb_open_request_error_kind(const mb_open_request_t *open,
                                     mb_kind_t kind);

#endif
