/* Lease of a shard, held by the process that owns it. A process takes the
   lease with a claim and extends it with renewals, both records in the shard's
   log. Which of them are valid depends on the order of the log alone, so all
   processes agree on it. How long this process may act depends on its own
   monotonic clock: the owner counts its lease from before it sent the claim or
   renewal, other processes from when they read that record, so that the owner
   stops before another process claims. Used on one thread. The owner of the
   fleet is decided by mb_ownership instead. */
#ifndef MB_LEASE_H
#define MB_LEASE_H

#include "mb_clock.h"
#include "mb_rng.h"
#include "mb_shard_message.h"

/* A renewal is sent after the length of the lease divided by this. */
#define MB_LEASE_RENEW_DIVISOR 3

typedef struct mb_lease_config {
    uint32_t lease_ms;
    uint32_t drift_margin_ms; /* most that two clocks drift apart in a lease */
    uint32_t claim_delay_ms;  /* maximum random delay of a claim */
    uint32_t outage_grace_ms; /* length of the phase MB_LEASE_GRACE */
} mb_lease_config_t;

typedef enum mb_lease_phase {
    MB_LEASE_FOLLOWER, /* doesn't own the shard */
    MB_LEASE_OWNER,    /* owns it, with a valid lease */
    /* Its lease has expired, and no newer claim was read. It starts no task,
       but still extends the leases of the workers. */
    MB_LEASE_GRACE,
    MB_LEASE_PHASE_COUNT
} mb_lease_phase_t;

typedef struct mb_lease {
    mb_lease_config_t config;
    mb_clock_t clock;
    mb_rng_t rng;
    uint64_t self; /* id of this process */
    /* Replicated state, the same in all processes that have replayed the same
       records: */
    uint64_t last_offset; /* offset of the last valid claim or renewal;
                             MB_CLAIM_NONE: there is none */
    uint64_t token;       /* fencing token: offset of the latest valid claim */
    uint64_t owner;       /* the process that made this claim */
    uint32_t lease_ms;    /* in the last valid claim or renewal; 0: released */
    /* State of this process: */
    uint64_t sent_us;     /* when the last own record was about to be sent */
    bool in_flight;       /* that record has not been read back */
    bool releasing;       /* the process has stopped acting as the owner */
    bool held;            /* the latest valid claim is its own */
    uint64_t renewed_us;  /* `sent_us` of the last valid own record */
    uint64_t expires_us;  /* end of the own lease */
    uint64_t claim_at_us; /* earliest time of a claim, as a follower */
} mb_lease_t;

void mb_lease_init(mb_lease_t *lease, const mb_lease_config_t *config,
                   const mb_clock_t *clock, const mb_rng_t *rng,
                   uint64_t self);
void mb_lease_reset(mb_lease_t *lease);
void mb_lease_load(mb_lease_t *lease, const mb_claim_t *claim, uint64_t token);
bool mb_lease_apply(mb_lease_t *lease, uint64_t offset, bool renewal,
                    const mb_claim_t *claim);
bool mb_lease_token_valid(const mb_lease_t *lease, uint64_t token);
mb_lease_phase_t mb_lease_phase(const mb_lease_t *lease);
bool mb_lease_get_due_record(const mb_lease_t *lease,
                             mb_shard_record_t *record);
void mb_lease_note_sent(mb_lease_t *lease);
void mb_lease_release(mb_lease_t *lease);
uint64_t mb_lease_next_record_us(const mb_lease_t *lease);

#endif
