/* Whether an agent belongs to the fleet, by the records of the job log. An
   agent announces its address with the incarnation of its process. It records
   its departure when its worker has left and nothing runs there any more. The
   owner of the fleet removes the records of agents that departed or can't be
   reached. A departure concerns one incarnation only: an agent that starts
   later at the same address belongs to the fleet, even if the departure of the
   earlier one arrives after its announcement. */
#ifndef MB_AGENT_PRESENCE_H
#define MB_AGENT_PRESENCE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct mb_agent_presence {
    bool announced;       /* the log has its announcement */
    uint64_t incarnation; /* of the announcement */
    bool departed;        /* the log has a departure */
    uint64_t departed_incarnation;
    /* The owner's removal of its records has not been read back yet. */
    bool removal_pending;
    bool announced_meanwhile; /* it has announced itself since */
    /* Number of the load of the newest records in which, or after which, the
       announcement and the departure were read. */
    uint32_t announced_load;
    uint32_t departed_load;
} mb_agent_presence_t;

bool mb_agent_presence_in_fleet(const mb_agent_presence_t *presence);
void mb_agent_presence_announced(mb_agent_presence_t *presence,
                                 uint64_t incarnation, uint32_t load);
bool mb_agent_presence_announcement_removed(mb_agent_presence_t *presence);
void mb_agent_presence_departed(mb_agent_presence_t *presence,
                                uint64_t incarnation, uint32_t load);
void mb_agent_presence_departure_removed(mb_agent_presence_t *presence);
bool mb_agent_presence_removal_due(const mb_agent_presence_t *presence);
void mb_agent_presence_removal_sent(mb_agent_presence_t *presence);
void mb_agent_presence_removal_given_up(mb_agent_presence_t *presence);
void mb_agent_presence_forget_unread(mb_agent_presence_t *presence,
                                     uint32_t load);

#endif
