#include "mb_lease.h"

#include <string.h>

/* Initializes the lease of a process that has read nothing of the log. `self`
   identifies the process in claims and must differ after each restart. */
void
mb_lease_init(mb_lease_t *lease, const mb_lease_config_t *config,
              const mb_clock_t *clock, const mb_rng_t *rng, uint64_t self)
{
    memset(lease, 0, sizeof(*lease));
    lease->config = *config;
    lease->clock = *clock;
    lease->rng = *rng;
    lease->self = self;
    mb_lease_reset(lease);
}

/* Sets the earliest time of a claim, counted from now: after a whole lease and
   the drift margin, because the present owner may act that long unless it has
   released the lease, and a random delay, which makes simultaneous claims
   rare. */
static void
schedule_claim(mb_lease_t *lease)
{
    uint64_t wait_ms =
        mb_rng_below(&lease->rng, (uint64_t)lease->config.claim_delay_ms + 1);
#ifdef MB_MUTANT_LEASE_NO_WAIT
    wait_ms = 0;
#else
    if (lease->lease_ms > 0) {
        wait_ms += (uint64_t)lease->lease_ms + lease->config.drift_margin_ms;
    }
#endif
    lease->claim_at_us = mb_clock_us(&lease->clock) + wait_ms * MB_US_PER_MS;
}

/* Clears the replicated state, before the log is replayed from its start or a
   snapshot is loaded. */
void
mb_lease_reset(mb_lease_t *lease)
{
    lease->last_offset = MB_CLAIM_NONE;
    lease->token = MB_CLAIM_NONE;
    lease->owner = 0;
    lease->lease_ms = 0;
    lease->held = false;
    schedule_claim(lease);
}

/* Loads the replicated state from a snapshot. `claim->seen` is the offset of
   the last valid claim or renewal. If the claim is this process's own, it does
   not become the owner again, because it is not known when the claim was
   sent. */
void
mb_lease_load(mb_lease_t *lease, const mb_claim_t *claim, uint64_t token)
{
    lease->last_offset = claim->seen;
    lease->token = token;
    lease->owner = claim->owner;
    lease->lease_ms = claim->lease_ms;
    lease->held = false;
    schedule_claim(lease);
}

/* Returns whether a claim or renewal is valid: its sender has seen the last
   valid one before it, and a renewal is from the owner of a lease that is not
   released. */
static bool
is_valid(const mb_lease_t *lease, bool renewal, const mb_claim_t *claim)
{
#ifndef MB_MUTANT_LEASE_NO_SEEN_CHECK
    if (claim->seen != lease->last_offset) {
        return false;
    }
#endif
    if (!renewal) {
        return claim->lease_ms > 0;
    }
    return lease->token != MB_CLAIM_NONE && lease->lease_ms > 0 &&
           claim->owner == lease->owner;
}

/* Applies a claim or renewal, in the order of the log. Returns false if it is
   not valid; the replicated state stays as it is then. */
bool
mb_lease_apply(mb_lease_t *lease, uint64_t offset, bool renewal,
               const mb_claim_t *claim)
{
    bool own = claim->owner == lease->self;
    bool valid = is_valid(lease, renewal, claim);
    if (own) {
        lease->in_flight = false;
    }
    if (!valid) {
        return false;
    }
    lease->last_offset = offset;
    lease->owner = claim->owner;
    lease->lease_ms = claim->lease_ms;
    if (!renewal) {
        lease->token = offset;
        lease->held = own;
    }
    if (claim->lease_ms == 0) {
        lease->held = false;
    }
    if (own && lease->held) {
        lease->renewed_us = lease->sent_us;
        lease->expires_us =
            lease->sent_us + (uint64_t)claim->lease_ms * MB_US_PER_MS;
    }
    schedule_claim(lease);
    return true;
}

/* Returns whether a record with this fencing token is valid at this point of
   the log. */
bool
mb_lease_token_valid(const mb_lease_t *lease, uint64_t token)
{
    return lease->lease_ms > 0 && lease->token != MB_CLAIM_NONE &&
           token == lease->token;
}

/* Returns the phase of this process at this moment. To be called before every
   action, so that a process that was paused notices at its first step that its
   lease has expired. */
mb_lease_phase_t
mb_lease_phase(const mb_lease_t *lease)
{
    uint64_t now = mb_clock_us(&lease->clock);
    uint64_t grace = (uint64_t)lease->config.outage_grace_ms * MB_US_PER_MS;
    if (!lease->held || lease->releasing) {
        return MB_LEASE_FOLLOWER;
    }
#ifndef MB_MUTANT_LEASE_NEVER_EXPIRES
    if (now < lease->expires_us) {
        return MB_LEASE_OWNER;
    }
#else
    if (now < lease->expires_us + grace) {
        return MB_LEASE_OWNER;
    }
#endif
    return now < lease->expires_us + grace ? MB_LEASE_GRACE
                                           : MB_LEASE_FOLLOWER;
}

/* Returns the time at which the next claim or renewal is due, in microseconds
   of the clock; UINT64_MAX if none is to be sent. */
uint64_t
mb_lease_next_record_us(const mb_lease_t *lease)
{
    if (lease->in_flight) {
        return UINT64_MAX;
    }
    if (lease->held) {
        uint64_t interval_us =
            (uint64_t)lease->lease_ms * MB_US_PER_MS / MB_LEASE_RENEW_DIVISOR;
        return lease->releasing ? 0 : lease->renewed_us + interval_us;
    }
    return lease->releasing ? UINT64_MAX : lease->claim_at_us;
}

/* Returns whether a claim or renewal is due, and fills it in. An expired lease
   is renewed too: the renewal is valid only if no other process has claimed
   the shard meanwhile. */
bool
mb_lease_get_due_record(const mb_lease_t *lease, mb_shard_record_t *record)
{
    if (mb_clock_us(&lease->clock) < mb_lease_next_record_us(lease)) {
        return false;
    }
    record->type = lease->held ? MB_SHARD_RENEW : MB_SHARD_CLAIM;
    record->token = 0;
    record->count = 0;
    record->body.claim =
        (mb_claim_t){lease->self, lease->last_offset,
                     lease->releasing ? 0 : lease->config.lease_ms};
    return true;
}

/* Notes that the record of mb_lease_get_due_record is about to be sent. To be
   called before it is sent, because the lease counts from this time. */
void
mb_lease_note_sent(mb_lease_t *lease)
{
    lease->in_flight = true;
    lease->sent_us = mb_clock_us(&lease->clock);
}

/* Ends the ownership of this process, for good: it stops acting at once, and
   the next record releases the lease. */
void
mb_lease_release(mb_lease_t *lease)
{
    lease->releasing = true;
}
