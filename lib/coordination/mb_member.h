/* Membership of the entries. Live entries announce themselves regularly in the
   stream `members` of the log; every process reads it and keeps a table of
   them. Each sidecar chooses from the table the entries to which it attaches.
   All functions but init and finish may be called from any thread. */
#ifndef MB_MEMBER_H
#define MB_MEMBER_H

#include <pthread.h>
#include <stdbool.h>

#include "mb_dump.h"
#include "mb_str.h"

/* Interval between the announcements of an entry, in milliseconds. */
#define MB_MEMBER_PERIOD_MS 10000
/* Time without an announcement after which an entry no longer counts as live,
   in milliseconds. Outages of the log do not count. */
#define MB_MEMBER_TTL_MS 30000
/* Maximum number of entries in the table; announcements of further ones are
   ignored. */
#define MB_MEMBERS_MAX 4096
/* Maximum length of a text in an announcement, in bytes. */
#define MB_MEMBER_TEXT_MAX 63
/* Rank of a process that is not among the live entries. */
#define MB_MEMBER_RANK_NONE UINT32_MAX

/* An entry's announcement of itself. Texts are borrowed. */
typedef struct mb_announcement {
    uint64_t process;     /* the same in all incarnations of a process */
    uint64_t incarnation; /* differs after each restart of the process */
    mb_str_t address;     /* to which sidecars connect, IPv4:port */
    mb_str_t failure_domain;
    bool leaving; /* the process is stopping */
} mb_announcement_t;

/* A chosen entry. Texts are copies. */
typedef struct mb_member_choice {
    uint64_t process;
    char address[MB_MEMBER_TEXT_MAX + 1];
} mb_member_choice_t;

typedef struct mb_members {
    pthread_mutex_t lock;
    void *table;            /* live entries by process */
    uint64_t log_now_ms;    /* the log's clock, when last reachable */
    uint64_t outage_end_ms; /* end of the log's last outage, by its clock */
    bool reachable;         /* the log is reachable */
} mb_members_t;

void mb_members_init(mb_members_t *members);
void mb_members_finish(mb_members_t *members);
void mb_members_reset(mb_members_t *members);
void mb_members_announce(mb_members_t *members,
                         const mb_announcement_t *announcement,
                         uint64_t time_ms);
void mb_members_tick(mb_members_t *members, bool reachable,
                     uint64_t log_now_ms);
uint32_t mb_members_count(mb_members_t *members);
uint32_t mb_members_rank(mb_members_t *members, uint64_t process,
                         mb_str_t key);
uint32_t mb_members_choose(mb_members_t *members, uint64_t sidecar,
                           mb_str_t failure_domain, uint32_t max,
                           mb_member_choice_t *choices);
void mb_members_dump(mb_members_t *members, const mb_dump_t *dump);

#endif
