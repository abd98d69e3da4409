#include "mb_ownership.h"

#include <glib.h>
#include <string.h>

/* Draws the delay of the next claim. */
static void
draw_jitter(mb_ownership_t *ownership)
{
    ownership->claim_jitter_us =
        mb_rng_below(&ownership->rng, MB_OWNERSHIP_JITTER_MS * MB_US_PER_MS);
}

/* Prepares a process that knows of no owner. `member` stands for its name, and
   `self` tells it from its earlier incarnations. */
void
mb_ownership_init(mb_ownership_t *ownership, const mb_clock_t *clock,
                  const mb_rng_t *rng, uint64_t incarnation, uint64_t member)
{
    memset(ownership, 0, sizeof(*ownership));
    ownership->clock = *clock;
    ownership->rng = *rng;
    ownership->incarnation = incarnation;
    ownership->member = member;
    draw_jitter(ownership);
}

/* Takes a record of the owner from the log; `fresh` when it was read in
   order. See the header for the result. */
bool
mb_ownership_apply(mb_ownership_t *ownership,
                   const mb_ownership_record_t *record, bool fresh)
{
    bool owned = ownership->state == MB_OWNERSHIP_OWNER;
    if (record->token < ownership->latest.token) {
        return false;
    }
    ownership->latest = *record;
    if (fresh) {
        ownership->last_record_us = mb_clock_us(&ownership->clock);
    }
    bool owns =
        record->incarnation == ownership->incarnation && !record->resigned;
    if (!owns && ownership->state != MB_OWNERSHIP_FOLLOWER) {
        draw_jitter(ownership);
    }
    ownership->state = owns ? MB_OWNERSHIP_OWNER : MB_OWNERSHIP_FOLLOWER;
    return owned != owns;
}

/* Notes that everything was read that the log held at `since_us`. */
void
mb_ownership_note_read(mb_ownership_t *ownership, uint64_t since_us)
{
    uint64_t now_us = mb_clock_us(&ownership->clock);
    uint64_t gap_us = now_us - ownership->last_read_end_us;
    if (ownership->log_reachable_since_us == 0 ||
        gap_us > MB_OWNERSHIP_READ_GAP_MS * (uint64_t)MB_US_PER_MS) {
        ownership->log_reachable_since_us = now_us;
    }
    ownership->last_read_start_us = since_us;
    ownership->last_read_end_us = now_us;
}

/* Tells whether the log answered lately. */
bool
mb_ownership_log_reachable(const mb_ownership_t *ownership)
{
    return ownership->log_reachable_since_us != 0 &&
           mb_clock_us(&ownership->clock) - ownership->last_read_end_us <
               MB_OWNERSHIP_LOG_TIMEOUT_MS * MB_US_PER_MS;
}

/* Tells whether an owner was an earlier incarnation of this process, which has
   ended. */
static bool
is_earlier_self(const mb_ownership_t *ownership,
                const mb_ownership_record_t *owner)
{
    return owner->member == ownership->member &&
           owner->incarnation != ownership->incarnation;
}

/* Returns how long the owner must have been silent before a claim. */
static uint64_t
silence_us(const mb_ownership_t *ownership)
{
    if (is_earlier_self(ownership, &ownership->latest)) {
        return 0;
    }
    bool vacant = ownership->latest.token == 0 || ownership->latest.resigned;
    uint64_t silence =
        vacant ? 0
               : MB_OWNERSHIP_HEARTBEAT_TIMEOUT_MS * (uint64_t)MB_US_PER_MS;
    return silence + ownership->claim_jitter_us;
}

/* Tells whether the owner has been silent for long enough, while the log
   answered: the time since the latest read does not count, as it may not be
   answered any more. */
static bool
may_claim(const mb_ownership_t *ownership)
{
    uint64_t since_us =
        MAX(ownership->last_record_us, ownership->log_reachable_since_us);
    return !ownership->withdrawn && mb_ownership_log_reachable(ownership) &&
           ownership->last_read_end_us >= since_us + silence_us(ownership);
}

/* Tells what is due now. A claim carries the token after the latest one. */
mb_ownership_action_t
mb_ownership_tick(mb_ownership_t *ownership)
{
    uint64_t now_us = mb_clock_us(&ownership->clock);
    uint64_t waited_us = now_us - ownership->last_write_us;
    if (!mb_ownership_log_reachable(ownership)) {
        ownership->log_reachable_since_us = 0;
    }
    if (ownership->state == MB_OWNERSHIP_OWNER) {
        /* A heartbeat after the resignation would take it back. */
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
        return MB_OWNERSHIP_CLAIM;
    }
    return MB_OWNERSHIP_NOTHING;
}

/* Goes back to following after a claim that was not taken. */
void
mb_ownership_claim_failed(mb_ownership_t *ownership)
{
    if (ownership->state == MB_OWNERSHIP_CANDIDATE) {
        ownership->state = MB_OWNERSHIP_FOLLOWER;
        draw_jitter(ownership);
    }
}

/* Claims nothing any more, because the process stops. */
void
mb_ownership_withdraw(mb_ownership_t *ownership)
{
    ownership->withdrawn = true;
}

/* Tells whether this process owns the fleet and may act now. */
bool
mb_ownership_may_act(const mb_ownership_t *ownership)
{
    return ownership->state == MB_OWNERSHIP_OWNER &&
           mb_clock_us(&ownership->clock) <
               ownership->last_read_start_us +
                   MB_OWNERSHIP_LEASE_MS * MB_US_PER_MS;
}

/* Returns until when the former owner may act; see the header. One that has
   resigned or ended does not. */
uint64_t
mb_ownership_previous_lease_end_us(const mb_ownership_t *ownership,
                                   const mb_ownership_record_t *former)
{
    uint64_t now_us = mb_clock_us(&ownership->clock);
    if (former->token == 0 || former->resigned ||
        is_earlier_self(ownership, former)) {
        return now_us;
    }
    return now_us + MB_OWNERSHIP_LEASE_MS * (uint64_t)MB_US_PER_MS;
}
