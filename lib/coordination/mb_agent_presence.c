#include "mb_agent_presence.h"

/* Tells whether the present incarnation of an agent has departed. */
static bool
has_departed(const mb_agent_presence_t *presence)
{
    return presence->departed &&
           presence->departed_incarnation == presence->incarnation;
}

/* Tells whether an agent belongs to the fleet. While the owner's removal is on
   its way to the log, it does not: what would be started there meanwhile would
   be unknown to a later owner, which reads only the removal. */
bool
mb_agent_presence_in_fleet(const mb_agent_presence_t *presence)
{
    return presence->announced && !has_departed(presence) &&
           !presence->removal_pending;
}

/* Applies an announcement, read in or after the load with a number. */
void
mb_agent_presence_announced(mb_agent_presence_t *presence,
                            uint64_t incarnation, uint32_t load)
{
    presence->announced = true;
    presence->incarnation = incarnation;
    presence->announced_load = load;
    presence->announced_meanwhile = presence->removal_pending;
}

/* Applies the removal of an announcement. Returns true if the removal was the
   owner's and the agent has announced itself in between: the owner must then
   announce it again, because the removal is the newest record. */
bool
mb_agent_presence_announcement_removed(mb_agent_presence_t *presence)
{
    bool again = presence->removal_pending && presence->announced_meanwhile;
    presence->announced = false;
    presence->removal_pending = false;
    presence->announced_meanwhile = false;
    return again;
}

/* Applies a departure, read in or after the load with a number. */
void
mb_agent_presence_departed(mb_agent_presence_t *presence, uint64_t incarnation,
                           uint32_t load)
{
    presence->departed = true;
    presence->departed_incarnation = incarnation;
    presence->departed_load = load;
}

/* Applies the removal of a departure. */
void
mb_agent_presence_departure_removed(mb_agent_presence_t *presence)
{
    presence->departed = false;
}

/* Tells whether the owner is to remove the records of an agent because it has
   departed. */
bool
mb_agent_presence_removal_due(const mb_agent_presence_t *presence)
{
    return presence->announced && has_departed(presence) &&
           !presence->removal_pending;
}

/* Notes that the owner has queued the removal of the records. */
void
mb_agent_presence_removal_sent(mb_agent_presence_t *presence)
{
    presence->removal_pending = true;
    presence->announced_meanwhile = false;
}

/* Notes that this process is no longer the owner, so that a removal which was
   not read back may never reach the log. */
void
mb_agent_presence_removal_given_up(mb_agent_presence_t *presence)
{
    presence->removal_pending = false;
    presence->announced_meanwhile = false;
}

/* Drops what the load with a number has not confirmed: its records were
   removed from the log while this process did not read it in order. */
void
mb_agent_presence_forget_unread(mb_agent_presence_t *presence, uint32_t load)
{
    presence->announced =
        presence->announced && presence->announced_load == load;
    presence->departed = presence->departed && presence->departed_load == load;
}
