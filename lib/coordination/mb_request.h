/* Table of the open requests of one link thread of an entry: tracks the
   attempt in progress of each request, and decides when it may be retried and
   which error the client gets. Not thread-safe: all calls must come from one
   thread. Time, the links and the answers are callbacks. */
#ifndef MB_REQUEST_H
#define MB_REQUEST_H

#include <glib.h>

#include "mb_clock.h"
#include "mb_message.h"

/* Maximum number of attempts of one request, including the first. */
#define MB_REQUEST_ATTEMPTS_MAX 3u

/* One client request; the caller embeds it as the first member of its own
   struct and owns it. */
typedef struct mb_open_request {
    mb_request_id_t id; /* of the attempt in progress */
    const void *peer;   /* incarnation of the sidecar of this attempt */
    uint64_t deadline_us;
    uint32_t attempts;
    bool idempotent;
    bool has_partial_response; /* part of the response has arrived */
    bool may_have_run; /* the outcome of an earlier attempt is unknown */
} mb_open_request_t;

typedef struct mb_request_callbacks {
    /* Makes another attempt. If there is no other link, it answers the client
       with `fallback_kind`, passed through mb_open_request_error_kind. The
       request has been removed from the table. */
    void (*retry)(void *context, mb_open_request_t *open,
                  mb_kind_t fallback_kind);
    /* Answers the client with an error. The request has been removed from the
       table and may be freed. */
    void (*fail)(void *context, mb_open_request_t *open, mb_kind_t kind);
    /* Sends OUTCOME_ASK, an outcome query, on the current link of a
       sidecar. */
    void (*send_outcome_ask)(void *context, const void *peer,
                             const mb_outcome_ask_t *ask);
    /* Sends CANCEL if the sidecar has a link. */
    void (*send_cancel)(void *context, const void *peer,
                        const mb_request_id_t *id);
    /* Takes one retry from the budget; false when the budget is used up. */
    bool (*spend_retry)(void *context);
    void *context;
} mb_request_callbacks_t;

typedef struct mb_request_table {
    mb_clock_t clock;
    mb_request_callbacks_t callbacks;
    GHashTable *open; /* counter of the attempt's id -> mb_open_request_t */
} mb_request_table_t;

/* Initializes an empty table. */
void mb_request_table_init(mb_request_table_t *table, const mb_clock_t *clock,
                           const mb_request_callbacks_t *callbacks);
/* Releases the table, but not the requests, which belong to the caller. */
void mb_request_table_finish(mb_request_table_t *table);
/* Adds an attempt at a sidecar, under a new id, whose REQUEST is being sent. A
   non-idempotent request that may have run must not be passed. */
void mb_request_begin_attempt(mb_request_table_t *table,
                              mb_open_request_t *open,
                              const mb_request_id_t *id, const void *peer);
/* Handles a part of a response. Returns its request, which has been removed
   from the table if this was the last part, or NULL when the attempt is no
   longer open and the response must be dropped. */
mb_open_request_t *mb_request_handle_response(mb_request_table_t *table,
                                              const mb_request_id_t *id,
                                              bool last);
/* Ends an open request with an error found by the caller. */
void mb_request_abort(mb_request_table_t *table, mb_open_request_t *open,
                      mb_kind_t kind);
/* Handles REFUSED: the attempt was not run and will not be. */
void mb_request_handle_refusal(mb_request_table_t *table,
                               const mb_request_id_t *id, mb_kind_t reason);
/* Handles OUTCOME, the answer to an outcome query. */
void mb_request_handle_outcome(mb_request_table_t *table,
                               const mb_request_id_t *id,
                               mb_outcome_state_t state);
/* Handles the loss of the last link to a sidecar, which may come back. */
void mb_request_link_lost(mb_request_table_t *table, const void *peer);
/* Handles a new link to a sidecar that replaces an earlier one. */
void mb_request_link_replaced(mb_request_table_t *table, const void *peer);
/* Handles a sidecar, or an incarnation of it, that will not come back. */
void mb_request_peer_gone(mb_request_table_t *table, const void *peer);
/* Fails the requests whose deadline has passed; to be called regularly. */
void mb_request_tick(mb_request_table_t *table);
/* Returns the error kind to report to the client in place of `kind`:
   UNKNOWN_OUTCOME if `kind` says that the request was not run, but an earlier
   attempt may have run. */
mb_kind_t mb_open_request_error_kind(const mb_open_request_t *open,
                                     mb_kind_t kind);

#endif
