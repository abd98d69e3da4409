/* Claims on a shard. Validity is decided in the order of the log alone; the
   time up to which this process may act is counted on its own monotonic
   clock from before its claim or renewal was sent. */
#ifndef MB_LEASE_H
#define MB_LEASE_H

#include "mb_clock.h"
#include "mb_rng.h"
#include "mb_shard_message.h"

/* Renewals are sent at this fraction of the lease. */
#define MB_LEASE_RENEW_DIVISOR 3

typedef struct mb_lease_config {
    uint32_t lease_ms;
    uint32_t drift_margin_ms; /* by which two clocks differ over a lease */
    uint32_t claim_delay_ms;  /* upper bound of the random delay */
    uint32_t outage_grace_ms; /* caretaker phase */
} mb_lease_config_t;

typedef enum mb_lease_phase {
    MB_LEASE_FOLLOWER,
    MB_LEASE_OWNER,
    MB_LEASE_GRACE, /* own claim expired, no newer one was read */
    MB_LEASE_PHASE_COUNT
} mb_lease_phase_t;

typedef struct mb_lease {
    mb_lease_config_t config;
    mb_clock_t clock;
    mb_rng_t rng;
    uint64_t self;
    /* Replicated: */
    uint64_t last_offset; /* offset of the last valid claim or renewal */
    uint64_t token;       /* offset of the claim in force */
    uint64_t owner;       /* who made it */
    uint32_t lease_ms;    /* of the last valid one; 0: released */
    /* Of this process: */
    uint64_t sent_us;    /* before the record in flight was sent */
    bool in_flight;      /* own claim or renewal not yet read back */
    bool releasing;      /* has given the shard up */
    bool held;           /* the claim in force was read back as own */
    uint64_t renewed_us; /* before the last valid own record was sent */
    uint64_t expires_us;
    uint64_t claim_at_us; /* as a candidate: not before this time */
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
