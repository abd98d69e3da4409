/* Majority of the agents, by which a former owner and its successor exclude
   each other without the log. An owner that has not heard from the log lately
   acts only while most agents obey it. Once its successor has taken over most
   of them, the former owner stops within MB_FLEET_OBEYED_MAX_MS, and the
   successor need not wait for the end of its lease.

   An agent that is counted by both would have to obey the former owner after
   it has obeyed the successor. It refuses the lower token for as long as its
   process lives, and a process that the former owner has not known since
   before the claim is not confirmed, and not counted by it. An agent that has
   joined since the former owner's latest read of the log is not known to that
   owner. Whoever it obeys says nothing of the former owner's majority. */
#include <stdlib.h>

#include "mb_fleet_internal.h"
#include "mb_ownership.h"

/* The cached end of a majority is computed anew when it is closer than this,
   in milliseconds. */
#define RECOMPUTE_MS 500u
/* Share of the agents that a new owner must have taken over, in thirds. More
   than half, because the two owners may not know of the same agents: up to a
   quarter of them may have departed without the former owner's knowledge. */
#define TAKEN_THIRDS 2u

/* Notes that an order is sent: if the agent reports that it has carried it
   out, it obeyed at this time. */
void
mb_fleet_majority_sent(mb_fleet_worker_t *worker, uint64_t now_us)
{
    if (worker->probe_sequence == 0) {
        worker->probe_sequence = worker->order_sequence;
        worker->probe_us = now_us;
    }
}

/* Notes the latest order that an agent has carried out. */
void
mb_fleet_majority_reported(mb_fleet_worker_t *worker, uint64_t order_sequence)
{
    if (worker->probe_sequence != 0 &&
        order_sequence >= worker->probe_sequence) {
        worker->obeyed_us = worker->probe_us;
        worker->probe_sequence = 0;
    }
}

/* Compares two times for qsort, the latest first. */
static int
compare_latest_first(const void *a, const void *b)
{
    uint64_t first = *(const uint64_t *)a;
    uint64_t second = *(const uint64_t *)b;
    return first > second ? -1 : first < second;
}

/* Returns until when most agents certainly obey this owner; 0: they don't. */
static uint64_t
compute_majority_end_us(const mb_fleet_t *fleet)
{
    g_autoptr(GArray) obeyed_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (guint i = 0; i < fleet->workers->len; i++) {
        const mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        bool counts = mb_fleet_agent_confirmed(fleet, worker);
        uint64_t time_us = counts ? worker->obeyed_us : 0;
        if (!worker->removed) {
            g_array_append_val(obeyed_us, time_us);
        }
    }
    if (obeyed_us->len == 0) {
        return UINT64_MAX;
    }
    qsort(obeyed_us->data, obeyed_us->len, sizeof(uint64_t),
          compare_latest_first);
    uint64_t middle_us =
        g_array_index(obeyed_us, uint64_t, obeyed_us->len / 2);
    return middle_us == 0
               ? 0
               : middle_us + MB_FLEET_OBEYED_MAX_MS * (uint64_t)MB_US_PER_MS;
}

/* Tells whether this owner leads the fleet: the log has confirmed it lately,
   or most agents obey it. */
bool
mb_fleet_leads(mb_fleet_t *fleet)
{
    uint64_t now_us = mb_clock_us(&fleet->clock);
    uint64_t recompute_us = now_us + RECOMPUTE_MS * (uint64_t)MB_US_PER_MS;
#ifdef MB_MUTANT_FLEET_MINORITY_ACTS
    return true;
#endif
    uint64_t unconfirmed_us = now_us - MIN(now_us, fleet->confirmed_us);
    if (unconfirmed_us < MB_FLEET_OBEYED_MAX_MS * (uint64_t)MB_US_PER_MS) {
        return true;
    }
    if (fleet->majority_end_us < recompute_us) {
        fleet->majority_end_us = compute_majority_end_us(fleet);
    }
    return now_us < fleet->majority_end_us;
}

/* Tells whether the former owner is taken to know of an agent, if it acts at
   or after `now_us`: the agent had joined before the latest read of the log
   that the lease of that owner may count from, or before this process first
   read the log, which does not tell when. */
static bool
is_known_to_former_owner(const mb_fleet_worker_t *worker, uint64_t now_us)
{
#ifdef MB_MUTANT_FLEET_JOINED_AGENTS_COUNT
    return true;
#endif
    return worker->joined_us == 0 ||
           now_us >= worker->joined_us +
                         MB_OWNERSHIP_LEASE_MS * (uint64_t)MB_US_PER_MS;
}

/* Ends the wait for the former owner's own lease when this owner has taken
   over most agents: from then on only the leases of the workers are waited
   for. An agent that has been taken over and of which the former owner may not
   know is left out. One that has not been taken over counts in any case. */
void
mb_fleet_shorten_wait(mb_fleet_t *fleet, uint64_t now_us)
{
    uint32_t total = 0;
    uint32_t taken = 0;
    for (guint i = 0; i < fleet->workers->len; i++) {
        const mb_fleet_worker_t *worker = mb_fleet_get_worker(fleet, i);
        bool is_taken = mb_fleet_agent_confirmed(fleet, worker);
        bool is_known = is_known_to_former_owner(worker, now_us);
        if (!worker->removed && (is_known || !is_taken)) {
            total++;
            taken += is_taken;
        }
    }
    uint64_t end_us = now_us +
                      MB_FLEET_OBEYED_MAX_MS * (uint64_t)MB_US_PER_MS +
                      mb_fleet_max_lease_us();
    if (total == 0 || taken * 3 < total * TAKEN_THIRDS ||
        end_us >= fleet->former_leases_end_us) {
        return;
    }
    mb_log_notice(&fleet->log,
                  "most agents obey this owner, not waiting for the former "
                  "one's lease token=%" G_GUINT64_FORMAT " agents=%u of=%u",
                  fleet->token, taken, total);
    fleet->former_leases_end_us = end_us;
}
