/* Decides which process owns the fleet, by means of the log. A process becomes
   the owner with a claim: the record that starts the next fencing token. The
   log accepts only one claim per token. The owner appends heartbeats to the
   log. A follower that reads the log without gaps and finds no heartbeat for a
   while claims the next token. Used on one thread. The owner of a shard is
   decided by mb_lease instead, on a log that accepts every claim. */
#ifndef MB_OWNERSHIP_H
#define MB_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "mb_clock.h"
#include "mb_rng.h"

/* Interval between the heartbeats of the owner, in milliseconds. */
#define MB_OWNERSHIP_HEARTBEAT_MS 300u
/* Time without a heartbeat after which other processes claim the fleet, in
   milliseconds: a heartbeat interval plus the time-out of one append. It is
   short because nothing is started until there is a new owner, while an
   unnecessary claim costs only a fraction of a second. */
#define MB_OWNERSHIP_HEARTBEAT_TIMEOUT_MS 1200u
/* Maximum random delay of a claim, in milliseconds. It makes simultaneous
   claims of several followers rare. */
#define MB_OWNERSHIP_JITTER_MS 300u
/* Time after its claim for which the owner is certain that no other process
   has claimed the fleet, in milliseconds: the next claim names the token of
   this one, so its process has read it, and then waits for the heartbeat
   time-out. Shorter than that by the drift of the clocks. */
#define MB_OWNERSHIP_CLAIM_CERTAIN_MS 1000u
/* Length of the owner's lease, in milliseconds, counted from the start of its
   latest read that showed no newer claim: longer than usual outages of the
   log, so that the owner goes on scheduling during them. */
#define MB_OWNERSHIP_LEASE_MS 10000u
/* Time without a complete read after which the log counts as unreachable, in
   milliseconds. */
#define MB_OWNERSHIP_LOG_TIMEOUT_MS 1500u
/* Time between two complete reads above which the log counts as having been
   unreachable, in milliseconds; the wait for a heartbeat then starts over.
   Longer than the longest usual read: one on a slow log that waits for a
   record, and is answered without one. */
#define MB_OWNERSHIP_READ_GAP_MS 1100u

typedef enum mb_ownership_state {
    MB_OWNERSHIP_FOLLOWER,
    MB_OWNERSHIP_CANDIDATE, /* its claim is being appended */
    MB_OWNERSHIP_OWNER
} mb_ownership_state_t;

/* The newest claim, heartbeat or resignation of an owner in the log. */
typedef struct mb_ownership_record {
    uint64_t token;
    uint64_t incarnation; /* of the process that wrote it */
    /* Hash of the process name, the same for all its incarnations. */
    uint64_t member;
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
    uint64_t last_record_us;     /* when the newest record was read in order */
    uint64_t last_read_start_us; /* start of the latest complete read */
    uint64_t last_read_end_us;   /* end of that read */
    uint64_t log_reachable_since_us; /* 0: it is not reachable */
    uint64_t claim_jitter_us;
    uint64_t last_write_us; /* time of the latest claim or heartbeat */
    uint64_t claimed_us;    /* when the latest claim was due */
    /* Newest token that a peer has told the owner of, and when. */
    uint64_t token_seen;
    uint64_t token_seen_us;
    bool withdrawn; /* the process stops and makes no more claims */
} mb_ownership_t;

void mb_ownership_init(mb_ownership_t *ownership, const mb_clock_t *clock,
                       const mb_rng_t *rng, uint64_t incarnation,
                       uint64_t member);
/* Applies a record of an owner from the log. Returns true if it changes
   whether this process is the owner; the state tells which way. */
bool mb_ownership_apply(mb_ownership_t *ownership,
                        const mb_ownership_record_t *record, bool in_order);
void mb_ownership_note_read(mb_ownership_t *ownership, uint64_t read_start_us);
mb_ownership_action_t mb_ownership_tick(mb_ownership_t *ownership);
void mb_ownership_claim_failed(mb_ownership_t *ownership);
void mb_ownership_withdraw(mb_ownership_t *ownership);
/* Notes a fencing token that a peer says to have seen. If it is newer than the
   token of this owner, the owner does not act until it has read the log again.
   Returns true if it has to stop for that reason. */
bool mb_ownership_note_token_seen(mb_ownership_t *ownership, uint64_t token);
bool mb_ownership_may_act(const mb_ownership_t *ownership);
/* Returns the latest time up to which it is certain that no other process has
   claimed the fleet since this one; meaningful for the owner only. */
uint64_t mb_ownership_confirmed_us(const mb_ownership_t *ownership);
/* Returns when the lease of the former owner ends, given its latest record:
   the time until which it may still act. Returns the present time if it can't
   act any more. */
uint64_t mb_ownership_former_lease_end_us(const mb_ownership_t *ownership,
                                          const mb_ownership_record_t *former);
bool mb_ownership_log_reachable(const mb_ownership_t *ownership);

#endif
