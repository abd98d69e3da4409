/* Routing table of an entry: maps the name of a service to its targets, the
   sidecars attached to the entry, and chooses the target of each request. Each
   sidecar grants credits; a request takes one credit and returns it when it
   ends, so the credits limit the requests in flight at the sidecar.

   The table is published as immutable versions. Readers use the present
   version within a read section and take credits with atomics, without a
   mutex; writers build and publish a new version. All functions but init and
   finish may be called from any thread, unless their comment says
   otherwise. */
#ifndef MB_ROUTE_H
#define MB_ROUTE_H

#include "mb_atomic.h"
#include "mb_clock.h"
#include "mb_epoch.h"
#include "mb_rng.h"
#include "mb_str.h"

/* Maximum number of targets in the table of one entry. */
#define MB_ROUTE_TARGETS_MAX 4096

/* Number of stripes that hold a target's free credits. If there are more
   threads, some of them share a stripe. */
#define MB_ROUTE_STRIPES 16

/* The part of a target's free credits from which one thread takes first. Each
   stripe has cache lines of its own; otherwise threads that pick at the same
   time would move one line back and forth between their processors. */
typedef struct mb_credit_stripe {
    uint64_t credits __attribute__((aligned(MB_CACHE_PAIR)));
    uint64_t other_credits; /* in the other stripes, when last counted */
    uint64_t checks; /* number of checks for free credits; the other stripes
                        are counted again at regular numbers of checks */
} mb_credit_stripe_t;

/* A target of requests: one incarnation of a sidecar. It stays the same when
   the sidecar replaces its link. The versions of the table share it; each
   holds a reference. It is freed when no reference is left and no credit is in
   use. At all times, credits in use + free credits = granted + excess. */
typedef struct mb_target {
    mb_buf_t service;
    mb_buf_t failure_domain;
    uint64_t process;
    uint64_t incarnation;
    /* Passed by the creator of the target, and released with it. */
    void *context;
    void (*destroy_context)(void *context);
    /* Read by every pick, but written only when something changes. */
    uint64_t references __attribute__((aligned(MB_CACHE_PAIR)));
    uint64_t granted;          /* credits granted by the sidecar */
    uint64_t excess;           /* credits above `granted`, to be withdrawn */
    uint64_t latency_us;       /* moving average, from sending to response */
    uint64_t draining;         /* not 0: gets no new requests */
    uint64_t suspended;        /* not 0: the link is silent or lost */
    uint64_t ejected_until_us; /* 0: never ejected */
    /* After the last reference is released: credits that are still in use, or
       in a stripe not closed yet. */
    uint64_t credits_to_collect;
    mb_credit_stripe_t stripes[MB_ROUTE_STRIPES];
    /* Statistics, written when a request ends. Not 0: the latency was sampled
       since the last decay. */
    uint64_t has_recent_sample __attribute__((aligned(MB_CACHE_LINE)));
    uint64_t consecutive_failures;
    uint64_t error_rate;            /* moving average, in 1 / 1024 */
    uint64_t samples;               /* results since the last ejection */
    uint64_t consecutive_ejections; /* without a long time between them */
} mb_target_t;

typedef struct mb_route_table {
    mb_epoch_t *epoch;
    void *version; /* the present version of the table */
    pthread_mutex_t writer_lock;
    /* The monotonic clock; tests may set another one before the first use. */
    mb_clock_t clock;
    uint64_t ejection_lock; /* not 0: a thread decides on an ejection */
} mb_route_table_t;

typedef enum mb_route_result {
    MB_ROUTE_PICKED,
    MB_ROUTE_NO_CREDIT, /* no target is available with a free credit */
    MB_ROUTE_NO_SERVICE /* the service has no target */
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
