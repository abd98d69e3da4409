/* Which failure domains are evacuated: operators have requested that no new
   work is sent to their workers. Also whether this knowledge is recent enough
   to start work at all. The requests are records of the configuration log,
   which mb_config_reader passes on. Used on one thread. */
#ifndef MB_EVACUATION_H
#define MB_EVACUATION_H

#include <glib.h>

#include "mb_clock.h"
#include "mb_log.h"
#include "mb_str.h"

/* Time after the withdrawal of a request for which the workers of the domain
   are used less than others, so that the starts do not all go to the empty
   workers at once, in milliseconds. */
#define MB_EVACUATION_RETURN_MS 10000u
/* Time that may pass between the decision of the owner to start a task and the
   start at the worker, in milliseconds: an agent carries out starts only of an
   order that answers a report of at most MB_AGENT_ORDER_AGE_MAX_MS (1,500 ms)
   ago, and its call to the worker is given 300 ms. */
#define MB_EVACUATION_START_MARGIN_MS 1800u

/* A failure domain that is evacuated, or was until lately. */
typedef struct mb_evacuation_domain {
    mb_buf_t name;
    mb_str_t key; /* view of `name`, for the hash table */
    bool evacuated;
    uint64_t changed_us; /* when this process learned of the request, or of its
                            withdrawal */
    uint32_t load;       /* the latest load whose records contained it */
} mb_evacuation_domain_t;

typedef struct mb_evacuation {
    GHashTable *domains; /* mb_str_t -> mb_evacuation_domain_t */
    mb_clock_t clock;
    mb_log_t log;
    uint64_t age_max_us; /* 0: the age is not checked */
    uint32_t evacuated;  /* number of evacuated domains */
    uint64_t version;    /* rises with each change */
    uint32_t load;       /* number of the present load, or the latest one */
    /* The table has everything that the log held at this time of the clock;
       0: the log has not been read yet. */
    uint64_t confirmed_us;
    /* Start of the latest read that failed; 0: none has failed since one
       succeeded. */
    uint64_t failed_read_us;
    /* The read before that one had failed as well, and began at most
       `age_max_us` before it. */
    bool failed_repeatedly;
} mb_evacuation_t;

/* Initializes an empty table. `age_max_ms` limits the age of the knowledge by
   which a task still starts at a worker, 0: no limit. The clock and the log
   are copied. */
void mb_evacuation_init(mb_evacuation_t *table, uint64_t age_max_ms,
                        const mb_clock_t *clock, const mb_log_t *log);
void mb_evacuation_finish(mb_evacuation_t *table);

/* Applies a record: the request for a domain, or its withdrawal. */
void mb_evacuation_apply(mb_evacuation_t *table, mb_str_t domain,
                         bool evacuated);
/* A load of the newest records begins, or ends: requests that were not applied
   in between are no longer in the log, and are withdrawn. A load that does not
   end withdraws none. */
void mb_evacuation_begin_load(mb_evacuation_t *table);
void mb_evacuation_end_load(mb_evacuation_t *table);
/* A read of the log that began at `read_start_us` of the clock has ended. */
void mb_evacuation_read_ended(mb_evacuation_t *table, uint64_t read_start_us,
                              bool succeeded);
/* The table has everything that the log held at `read_start_us`. */
void mb_evacuation_caught_up(mb_evacuation_t *table, uint64_t read_start_us);

bool mb_evacuation_contains(const mb_evacuation_t *table, mb_str_t domain);
/* Returns when this process learned that the request for a domain is
   withdrawn; 0 if it is evacuated, or has not been lately. */
uint64_t mb_evacuation_withdrawn_us(const mb_evacuation_t *table,
                                    mb_str_t domain);
/* Returns the age of the table, in microseconds; UINT64_MAX if the log has not
   been read yet. */
uint64_t mb_evacuation_age_us(const mb_evacuation_t *table);
/* Tells whether the table is recent enough to start work. If not, `reason` is
   set to the reason, for log lines; it may be NULL. */
bool mb_evacuation_may_start(const mb_evacuation_t *table,
                             const char **reason);

#endif
