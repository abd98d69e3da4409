#include "mb_ownership.h"

#include <glib.h>
#include <string.h>

/* Draws a random delay for the next claim, see MB_OWNERSHIP_JITTER_MS. */
static void
draw_claim_jitter(mb_ownership_t *ownership)
{
    ownership->claim_jitter_us =
        mb_rng_below(&ownership->rng, MB_OWNERSHIP_JITTER_MS * MB_US_PER_MS);
}

/* Initializes the state of a process that has not read of an owner yet.
   `member` is the hash of the process name; `incarnation` differs after each
   restart of the process. */
void
mb_ownership_init(mb_ownership_t *ownership, const mb_clock_t *clock,
                  const mb_rng_t *rng, uint64_t incarnation, uint64_t member)
{
    memset(ownership, 0, sizeof(*ownership));
    ownership->clock = *clock;
    ownership->rng = *rng;
    ownership->incarnation = incarnation;
    ownership->member = member;
    draw_claim_jitter(ownership);
}

/* Applies a record of an owner; see the header for the result. `in_order`
   tells that the record was read in log order, so that it shows a live owner,
   rather than as part of the newest state. Records with an older token than
   the latest are ignored. */
bool
mb_ownership_apply(mb_ownership_t *ownership,
                   const mb_ownership_record_t *record, bool in_order)
{
    bool owned = ownership->state == MB_OWNERSHIP_OWNER;
    if (record->token < ownership->latest.token) {
        return false;
    }
    /* A token that was unknown also has its process wait for a heartbeat: the
       owner relies on it, see MB_OWNERSHIP_CLAIM_CERTAIN_MS. */
    bool is_new_token = record->token > ownership->latest.token;
    ownership->latest = *record;
    if (in_order || is_new_token) {
        ownership->last_record_us = mb_clock_us(&ownership->clock);
    }
    bool owns =
        record->incarnation == ownership->incarnation && !record->resigned;
    if (!owns && ownership->state != MB_OWNERSHIP_FOLLOWER) {
        draw_claim_jitter(ownership);
    }
    ownership->state = owns ? MB_OWNERSHIP_OWNER : MB_OWNERSHIP_FOLLOWER;
    return owned != owns;
}

/* Notes a complete read: everything was read that the log held at
   `read_start_us`. */
void
mb_ownership_note_read(mb_ownership_t *ownership, uint64_t read_start_us)
{
    uint64_t now_us = mb_clock_us(&ownership->clock);
    uint64_t gap_us = now_us - ownership->last_read_end_us;
    if (ownership->log_reachable_since_us == 0 ||
        gap_us > MB_OWNERSHIP_READ_GAP_MS * (uint64_t)MB_US_PER_MS) {
        ownership->log_reachable_since_us = now_us;
    }
    ownership->last_read_start_us = read_start_us;
    ownership->last_read_end_us = now_us;
}

/* Returns whether a recent read of the log was complete. */
bool
mb_ownership_log_reachable(const mb_ownership_t *ownership)
{
    return ownership->log_reachable_since_us != 0 &&
           mb_clock_us(&ownership->clock) - ownership->last_read_end_us <
               MB_OWNERSHIP_LOG_TIMEOUT_MS * MB_US_PER_MS;
}

/* Returns whether an owner was an earlier incarnation of this process, which
   therefore no longer runs. */
static bool
is_own_earlier_incarnation(const mb_ownership_t *ownership,
                           const mb_ownership_record_t *owner)
{
    return owner->member == ownership->member &&
           owner->incarnation != ownership->incarnation;
}

/* Returns for how long the owner must have been silent before this process
   claims. An earlier incarnation of this process is not waited for; without an
   owner only the random delay counts. */
static uint64_t
required_silence_us(const mb_ownership_t *ownership)
{
    if (is_own_earlier_incarnation(ownership, &ownership->latest)) {
        return 0;
    }
    bool vacant = ownership->latest.token == 0 || ownership->latest.resigned;
    uint64_t silence =
        vacant ? 0
               : MB_OWNERSHIP_HEARTBEAT_TIMEOUT_MS * (uint64_t)MB_US_PER_MS;
    return silence + ownership->claim_jitter_us;
}

/* Returns whether the owner has been silent for long enough while the log was
   reachable. The time since the latest read is not counted, because the log
   may have become unreachable meanwhile. */
static bool
may_claim(const mb_ownership_t *ownership)
{
    uint64_t since_us =
        MAX(ownership->last_record_us, ownership->log_reachable_since_us);
    return !ownership->withdrawn && mb_ownership_log_reachable(ownership) &&
           ownership->last_read_end_us >=
               since_us + required_silence_us(ownership);
}

/* Returns the action that is due now. Called periodically. A claim is to carry
   the token after the latest one. */
mb_ownership_action_t
mb_ownership_tick(mb_ownership_t *ownership)
{
    uint64_t now_us = mb_clock_us(&ownership->clock);
    uint64_t waited_us = now_us - ownership->last_write_us;
    if (!mb_ownership_log_reachable(ownership)) {
        ownership->log_reachable_since_us = 0;
    }
    if (ownership->state == MB_OWNERSHIP_OWNER) {
        /* A heartbeat after the resignation would revoke it. */
        if (ownership->withdrawn ||
            waited_us < MB_OWNERSHIP_HEARTBEAT_MS * MB_US_PER_MS) {
            return MB_OWNERSHIP_NOTHING;
        }
        ownership->last_write_us = now_us;
        return MB_OWNERSHIP_HEARTBEAT;
    }
    if (ownership->state == MB_OWNERSHIP_FOLLOWER && may_claim(ownership)) {
        ownership->state = MB_OWNERSHIP_CANDIDATE;
        ownership->last_write_us = now_us;
        ownership->claimed_us = now_us;
        return MB_OWNERSHIP_CLAIM;
    }
    return MB_OWNERSHIP_NOTHING;
}

/* Returns to the follower state after a claim that was not accepted, and draws
   a new delay. */
void
mb_ownership_claim_failed(mb_ownership_t *ownership)
{
    if (ownership->state == MB_OWNERSHIP_CANDIDATE) {
        ownership->state = MB_OWNERSHIP_FOLLOWER;
        draw_claim_jitter(ownership);
    }
}

/* Ends all activity as an owner, because the process stops: claims, heartbeats
   and orders. */
void
mb_ownership_withdraw(mb_ownership_t *ownership)
{
    ownership->withdrawn = true;
}

/* Notes a token that a peer has seen; see the header. The owner of a token has
   read its claim back, so a read that begins now shows the claim. If it does
   not, the peer is wrong, and the token does not stop this owner again. */
bool
mb_ownership_note_token_seen(mb_ownership_t *ownership, uint64_t token)
{
    if (ownership->state != MB_OWNERSHIP_OWNER ||
        token <= ownership->latest.token || token <= ownership->token_seen) {
        return false;
    }
    ownership->token_seen = token;
    ownership->token_seen_us = mb_clock_us(&ownership->clock);
    return true;
}

/* Returns whether a peer has told of a newer owner and the log has not been
   read since. */
static bool
may_be_superseded(const mb_ownership_t *ownership)
{
#ifdef MB_MUTANT_OWNERSHIP_NEWER_TOKEN_IGNORED
    return false;
#endif
    return ownership->token_seen > ownership->latest.token &&
           ownership->last_read_start_us <= ownership->token_seen_us;
}

/* Returns whether this process owns the fleet, its lease has not expired, and
   no newer owner is heard of. It does not act any more once it resigns: its
   successor, which may read the resignation earlier than this process or when
   this one can't read at all, does not wait for its lease. */
bool
mb_ownership_may_act(const mb_ownership_t *ownership)
{
    return ownership->state == MB_OWNERSHIP_OWNER &&
#ifndef MB_MUTANT_OWNERSHIP_ACTS_AFTER_RESIGNATION
           !ownership->withdrawn &&
#endif
           !may_be_superseded(ownership) &&
           mb_clock_us(&ownership->clock) <
               ownership->last_read_start_us +
                   MB_OWNERSHIP_LEASE_MS * MB_US_PER_MS;
}

/* Returns up to when this process is certainly the latest owner; see the
   header. */
uint64_t
mb_ownership_confirmed_us(const mb_ownership_t *ownership)
{
    uint64_t claim_certain_us =
        ownership->claimed_us +
        MB_OWNERSHIP_CLAIM_CERTAIN_MS * (uint64_t)MB_US_PER_MS;
    return MAX(ownership->last_read_start_us, claim_certain_us);
}

/* Returns the end of the former owner's lease; see the header. A former owner
   that has resigned, or whose process has ended, does not act any more. */
uint64_t
mb_ownership_former_lease_end_us(const mb_ownership_t *ownership,
                                 const mb_ownership_record_t *former)
{
    uint64_t now_us = mb_clock_us(&ownership->clock);
    if (former->token == 0 || former->resigned ||
        is_own_earlier_incarnation(ownership, former)) {
        return now_us;
    }
    return now_us + MB_OWNERSHIP_LEASE_MS * (uint64_t)MB_US_PER_MS;
}
