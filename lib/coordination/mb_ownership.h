/* Which process owns the fleet. The order of the log decides: a claim is the
   first record of the next token, and the log takes only one. The owner
   writes heartbeats into the log; a candidate that reads the log without gaps
   and sees none claims. Used on one thread. */
#ifndef MB_OWNERSHIP_H
#define MB_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "mb_clock.h"
#include "mb_rng.h"

/* How often the owner writes a heartbeat, in milliseconds. */
#define MB_OWNERSHIP_HEARTBEAT_MS 300u
/* Silence of the owner after which others claim, in milliseconds: a heartbeat
   and the time-out of one append. Nothing is started until then, and a claim
   too many costs a fraction of a second. */
#define MB_OWNERSHIP_HEARTBEAT_TIMEOUT_MS 1200u
/* Longest random delay of a claim, in milliseconds, so that candidates rarely
   claim together. */
#define MB_OWNERSHIP_JITTER_MS 300u
/* How long the owner acts after the latest read that showed no newer claim,
   in milliseconds: longer than usual outages of the log. */
#define MB_OWNERSHIP_LEASE_MS 10000u
/* A reader without an answer for this long has lost the log, in
   milliseconds. */
#define MB_OWNERSHIP_LOG_TIMEOUT_MS 1500u
/* Time between two complete reads above which the log was away and the silence
   of the owner counts anew, in milliseconds: more than a read that waits in
   vain takes on a slow log. */
#define MB_OWNERSHIP_READ_GAP_MS 1100u

typedef enum mb_ownership_state {
    MB_OWNERSHIP_FOLLOWER,
    MB_OWNERSHIP_CANDIDATE, /* its claim is on the way to the log */
    MB_OWNERSHIP_OWNER
} mb_ownership_state_t;

/* What the log says of the owner. */
typedef struct mb_ownership_record {
    uint64_t token;
    uint64_t incarnation; /* incarnation of the process */
    uint64_t member; /* hash of its name, which outlives its incarnations */
    bool resigned;
} mb_ownership_record_t;

typedef enum mb_ownership_action {
    MB_OWNERSHIP_NOTHING,
    MB_OWNERSHIP_CLAIM,
    MB_OWNERSHIP_HEARTBEAT
} mb_ownership_action_t;

typedef struct mb_ownership {
    mb_clock_t clock;
    mb_rng_t rng;
    uint64_t incarnation;
    uint64_t member;
    mb_ownership_state_t state;
    mb_ownership_record_t latest;
    uint64_t last_record_us; /* latest record of the owner read in order */
    uint64_t
        last_read_start_us;    /* start of the latest read that was complete */
    uint64_t last_read_end_us; /* when that read ended */
    uint64_t log_reachable_since_us; /* reads succeed since; 0: they do not */
    uint64_t claim_jitter_us;
    uint64_t last_write_us; /* latest claim or heartbeat */
    bool withdrawn;         /* claims nothing any more */
} mb_ownership_t;

void mb_ownership_init(mb_ownership_t *ownership, const mb_clock_t *clock,
                       const mb_rng_t *rng, uint64_t incarnation,
                       uint64_t member);
/* Returns true when the record makes this process the owner, or ends that it
   is; the state tells which. */
bool mb_ownership_apply(mb_ownership_t *ownership,
                        const mb_ownership_record_t *record, bool fresh);
void mb_ownership_note_read(mb_ownership_t *ownership, uint64_t since_us);
mb_ownership_action_t mb_ownership_tick(mb_ownership_t *ownership);
void mb_ownership_claim_failed(mb_ownership_t *ownership);
void mb_ownership_withdraw(mb_ownership_t *ownership);
bool mb_ownership_may_act(const mb_ownership_t *ownership);
/* Returns until when the owner before this one may act, given its last
   record. */
uint64_t
mb_ownership_previous_lease_end_us(const mb_ownership_t *ownership,
                                   const mb_ownership_record_t *former);
bool mb_ownership_log_reachable(const mb_ownership_t *ownership);

#endif
