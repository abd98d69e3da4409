/* Routing of requests: service name -> links of sidecars that have credits.
   Readers use a published version under an epoch section and take credits
   with atomics; writers build a new version. */
#ifndef MB_ROUTE_H
#define MB_ROUTE_H

#include "mb_atomic.h"
#include "mb_clock.h"
#include "mb_epoch.h"
#include "mb_rng.h"
#include "mb_str.h"

/* Most sidecars of one installation that one entry routes to. */
#define MB_ROUTE_TARGETS_MAX 4096

/* Stripes of a target's free credits; threads beyond as many share one. */
#define MB_ROUTE_STRIPES 16

/* The free credits that one picking thread uses first. On cache lines of its
   own, so that threads that pick at the same time do not move one line between
   their processors. */
typedef struct mb_credit_stripe {
    uint64_t credits __attribute__((aligned(MB_CACHE_PAIR)));
    uint64_t other_credits; /* in the other stripes, when last looked at */
    uint64_t checks;        /* counted, to look at the other stripes in time */
} mb_credit_stripe_t;

/* One sidecar's link as the routing sees it. Shared by the versions of the
   table. It is freed when no reference is left and no credit is in use. At all
   times, credits in use + free credits = granted + debt. */
typedef struct mb_target {
    mb_buf_t service;
    mb_buf_t failure_domain;
    uint64_t process;
    uint64_t incarnation;
    /* The link's owner, opaque here, and what frees it with the target. */
    void *context;
    void (*destroy_context)(void *context);
    /* What every pick reads, and writes only when something changes. */
    uint64_t references __attribute__((aligned(MB_CACHE_PAIR)));
    uint64_t granted;            /* credits in total, free and in use */
    uint64_t excess;             /* credits that the next picks withdraw */
    uint64_t latency_us;         /* moving average of whole requests */
    uint64_t draining;           /* not 0: gets nothing new */
    uint64_t suspended;          /* not 0: its link is silent or lost */
    uint64_t ejected_until_us;   /* 0: never ejected */
    uint64_t credits_to_collect; /* credits without a reference beside them */
    mb_credit_stripe_t stripes[MB_ROUTE_STRIPES];
    /* Results of requests, written when one ends. */
    uint64_t has_recent_sample __attribute__((aligned(MB_CACHE_LINE))); /* not
                                  0: has a sample since the last decay */
    uint64_t consecutive_failures; /* in a row */
    uint64_t error_rate;           /* moving average, in 1 / 1024 */
    uint64_t samples;              /* results since the last ejection */
    uint64_t
        consecutive_ejections; /* in a row, without a good time between them */
} mb_target_t;

typedef struct mb_route {
    mb_epoch_t *epoch;
    void *version;
    pthread_mutex_t writer_lock;
    /* The monotonic clock; tests may set another one before the first use. */
    mb_clock_t clock;
    uint64_t ejection_lock; /* not 0: a thread is counting who is ejected */
} mb_route_table_t;

typedef enum mb_route_result {
    MB_ROUTE_PICKED,
    MB_ROUTE_NO_CREDIT,
    MB_ROUTE_NO_SERVICE
} mb_route_result_t;

void mb_route_init(mb_route_table_t *route, mb_epoch_t *epoch);
void mb_route_finish(mb_route_table_t *route);

mb_target_t *mb_target_new(mb_str_t service, mb_str_t failure_domain,
                           uint64_t process, uint64_t incarnation,
                           void *context,
                           void (*destroy_context)(void *context));
void mb_target_ref(mb_target_t *target);
void mb_target_unref(mb_target_t *target);
void mb_target_set_credits(mb_target_t *target, uint32_t granted);
void mb_target_release_credit(mb_target_t *target);
void mb_target_decay_latency(mb_target_t *target);
void mb_target_set_initial_latency(mb_target_t *target, uint64_t latency_us);
void mb_target_observe_latency(mb_target_t *target, uint64_t latency_us);

void mb_route_report_result(mb_route_table_t *route, mb_target_t *target,
                            bool good);
bool mb_route_add(mb_route_table_t *route, mb_target_t *target);
void mb_route_remove(mb_route_table_t *route, mb_target_t *target);
mb_route_result_t mb_route_pick(mb_route_table_t *route, mb_str_t service,
                                const mb_rng_t *rng, const mb_target_t *avoid,
                                mb_target_t **picked);

#endif
