/* Live entries, known from the stream `members`, and the choice of those
   that a sidecar attaches to. Any thread may use it. */
#ifndef MB_MEMBER_H
#define MB_MEMBER_H

#include <pthread.h>
#include <stdbool.h>

#include "mb_dump.h"
#include "mb_str.h"

/* An entry announces itself this often, in milliseconds. */
#define MB_MEMBER_PERIOD_MS 10000
/* An entry that was silent for this long counts as gone, in milliseconds. */
#define MB_MEMBER_TTL_MS 30000
/* Most entries that are known; further ones are not taken in. */
#define MB_MEMBERS_MAX 4096
/* Longest text of an announcement, in bytes. */
#define MB_MEMBER_TEXT_MAX 63
/* Rank of a process that is not among the live entries. */
#define MB_MEMBER_RANK_NONE UINT32_MAX

/* What an entry says of itself. */
typedef struct mb_announcement {
    uint64_t process;
    uint64_t incarnation;
    mb_str_t address; /* where sidecars connect, IPv4:port */
    mb_str_t failure_domain;
    bool leaving;
} mb_announcement_t;

/* A chosen entry; texts are copies. */
typedef struct mb_member_choice {
    uint64_t process;
    char address[MB_MEMBER_TEXT_MAX + 1];
} mb_member_choice_t;

typedef struct mb_members {
    pthread_mutex_t lock;
    void *table;            /* process -> member */
    uint64_t log_now_ms;    /* the log's clock, while the log is reachable */
    uint64_t outage_end_ms; /* end of the last outage by that clock */
    bool reachable;
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
