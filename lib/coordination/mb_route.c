#include "mb_route.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "mb_assert.h"
#include "mb_atomic.h"

/* The newest sample has a weight of 1 / 8 in the moving average of the
   latency. */
#define LATENCY_WEIGHT_SHIFT 3
/* The newest result has a weight of 1 / 16 in the error rate. */
#define ERROR_WEIGHT_SHIFT 4
/* The error rate is stored in units of 1 / 1024. */
#define ERROR_UNIT 1024u
/* A target is ejected after EJECT_FAILURES consecutive failures, or if its
   error rate is above a half after at least EJECT_SAMPLES results. */
#define EJECT_FAILURES 5u
#define EJECT_ERROR_RATE (ERROR_UNIT / 2)
#define EJECT_SAMPLES 20u
/* Duration of an ejection, in milliseconds: the first, and the maximum. It
   doubles with each consecutive ejection. */
#define EJECT_FIRST_MS 1000u
#define EJECT_MAX_MS 60000u
/* After this time without an ejection, in milliseconds, the next ejection
   counts as the first one again. */
#define EJECT_FORGET_MS 120000u

/* Added to the credits of each stripe when the last reference to the target
   is released. Greater than any number of credits. */
#define STRIPE_CLOSED (UINT64_C(1) << 62)
/* Number of checks of a target after which a thread counts the credits in the
   other stripes again. The credits in its own stripe are always exact. */
#define CHECKS_PER_COUNT 64u

/* The targets of one service in one version of the table. */
typedef struct route_service {
    mb_str_t name; /* borrowed from the first target */
    uint32_t count;
    mb_target_t **targets;
} route_service_t;

/* One immutable version of the table. Services are sorted by name, and
   `targets` by the name of their service. */
typedef struct route_version {
    uint32_t service_count;
    uint32_t target_count;
    route_service_t *services;
    mb_target_t **targets;
} route_version_t;

/* Creates a target with one reference and no credits. The texts are copied.
   When the target is freed, `destroy_context`, unless NULL, is called with
   `context`, on any thread. */
mb_target_t *
mb_target_new(mb_str_t service, mb_str_t failure_domain, uint64_t process,
              uint64_t incarnation, void *context,
              void (*destroy_context)(void *context))
{
    mb_target_t *target = NULL;
    if (posix_memalign((void **)&target, MB_CACHE_PAIR, sizeof(*target)) !=
        0) {
        abort();
    }
    memset(target, 0, sizeof(*target));
    target->references = 1;
    mb_buf_set(&target->service, service);
    mb_buf_set(&target->failure_domain, failure_domain);
    target->process = process;
    target->incarnation = incarnation;
    target->context = context;
    target->destroy_context = destroy_context;
    return target;
}

/* Adds a reference, which mb_target_unref releases. */
void
mb_target_ref(mb_target_t *target)
{
    (void)mb_atomic_add(&target->references, 1);
}

/* Returns the calling thread's stripe of a target. Threads are numbered in
   the order of their first call. */
static mb_credit_stripe_t *
own_stripe(mb_target_t *target)
{
    static uint64_t threads;
    static _Thread_local uint64_t number;
    if (number == 0) {
        number = mb_atomic_add(&threads, 1) + 1;
    }
    return &target->stripes[number % MB_ROUTE_STRIPES];
}

/* Frees a target and its context. */
static void
destroy_target(mb_target_t *target)
{
    mb_buf_finish(&target->service);
    mb_buf_finish(&target->failure_domain);
    if (target->destroy_context != NULL) {
        target->destroy_context(target->context);
    }
    free(target);
}

/* Accounts for `count` credits of a target without references that no longer
   are in use. The last credit frees the target. */
static void
collect_credits(mb_target_t *target, uint64_t count)
{
    if (mb_atomic_sub(&target->credits_to_collect, count) == count) {
        destroy_target(target);
    }
}

/* Releases a reference. After the last one no thread can pick the target,
   because the table holds references too. The free credits are then collected
   from the stripes, and the credits in use as they are returned; the target is
   freed after all of them. The count starts with one extra, so that a credit
   returned meanwhile does not free the target. */
void
mb_target_unref(mb_target_t *target)
{
    if (mb_atomic_sub(&target->references, 1) > 1) {
        return;
    }
    uint64_t not_in_use = 0;
    mb_atomic_store(&target->credits_to_collect,
                    mb_atomic_load(&target->granted) +
                        mb_atomic_load(&target->excess) + 1);
    for (int i = 0; i < MB_ROUTE_STRIPES; i++) {
        not_in_use +=
            mb_atomic_add(&target->stripes[i].credits, STRIPE_CLOSED);
    }
    collect_credits(target, not_in_use + 1);
}

/* Sets the number of credits that the sidecar grants, in use or free. If it is
   smaller than before, the next picks withdraw the difference before they get
   a credit. Must be called on the link thread of the sidecar. */
void
mb_target_set_credits(mb_target_t *target, uint32_t granted)
{
    uint64_t before = mb_atomic_load(&target->granted);
    mb_atomic_store(&target->granted, granted);
    if (granted < before) {
        (void)mb_atomic_add(&target->excess, before - granted);
        return;
    }
    uint64_t added = granted - before;
    while (added > 0 && mb_atomic_dec_if_positive(&target->excess)) {
        added--;
    }
    (void)mb_atomic_add(&own_stripe(target)->credits, added);
}

/* Returns the credit of a request that has ended. The target may be freed and
   must not be used afterwards, unless the caller has a reference. */
void
mb_target_release_credit(mb_target_t *target)
{
    uint64_t before = mb_atomic_add(&own_stripe(target)->credits, 1);
    if (before >= STRIPE_CLOSED) {
        collect_credits(target, 1);
    }
}

/* Sets the latency of a target to the sidecar's own estimate, if the target
   has no credits yet; to be called before the first credits are set. Without
   the estimate, a slow upstream that attaches would be the first choice until
   its first response. Later estimates are ignored: the latency measured here
   is better, because it includes the link, and a decayed latency must stay
   low. The utilisation that the sidecar reports is not needed: the latency
   shows the load by other entries as well, and the free credits show the load
   by this one. */
void
mb_target_set_initial_latency(mb_target_t *target, uint64_t latency_us)
{
    if (mb_atomic_load(&target->granted) == 0) {
        (void)mb_atomic_cas(&target->latency_us, 0, latency_us);
    }
}

/* Adds a sample of the latency, in microseconds, to the moving average. A
   sample that races with another one may be lost. */
void
mb_target_observe_latency(mb_target_t *target, uint64_t latency_us)
{
    uint64_t before = mb_atomic_load(&target->latency_us);
    uint64_t next = before == 0 ? latency_us
                                : before - (before >> LATENCY_WEIGHT_SHIFT) +
                                      (latency_us >> LATENCY_WEIGHT_SHIFT);
    (void)mb_atomic_cas(&target->latency_us, before, next);
    if (mb_atomic_load(&target->has_recent_sample) == 0) {
        mb_atomic_store(&target->has_recent_sample, 1);
    }
}

/* Halves the latency of a target without a sample since the last call; to be
   called once a second. Otherwise a target that was slow once, for example
   because its link was silent, would never be picked and measured again. */
void
mb_target_decay_latency(mb_target_t *target)
{
    uint64_t before = mb_atomic_load(&target->latency_us);
    if (mb_atomic_load(&target->has_recent_sample) == 0) {
        (void)mb_atomic_cas(&target->latency_us, before, before / 2);
    }
    mb_atomic_store(&target->has_recent_sample, 0);
}

/* Initializes an empty table. `epoch` must outlive it. */
void
mb_route_init(mb_route_table_t *route, mb_epoch_t *epoch)
{
    route->epoch = epoch;
    route->version = g_new0(route_version_t, 1);
    route->clock = mb_clock_monotonic();
    route->ejection_lock = 0;
    (void)pthread_mutex_init(&route->writer_lock, NULL);
}

/* Frees one version of the table and releases its references. */
static void
destroy_version(void *old)
{
    route_version_t *version = old;
    for (uint32_t i = 0; i < version->target_count; i++) {
        mb_target_unref(version->targets[i]);
    }
    g_free(version->targets);
    g_free(version->services);
    g_free(version);
}

/* Releases the table. No other thread may use it any more. */
void
mb_route_finish(mb_route_table_t *route)
{
    destroy_version(route->version);
    (void)pthread_mutex_destroy(&route->writer_lock);
}

/* Compares two targets by the name of their service, for qsort. */
static int
compare_targets(const void *a, const void *b)
{
    const mb_target_t *left = *(mb_target_t *const *)a;
    const mb_target_t *right = *(mb_target_t *const *)b;
    return mb_str_compare(mb_buf_view(&left->service),
                          mb_buf_view(&right->service));
}

/* Fills in the services of a version from its sorted targets. */
static void
group_by_service(route_version_t *version)
{
    version->services = g_new0(route_service_t, version->target_count + 1);
    for (uint32_t i = 0; i < version->target_count; i++) {
        mb_str_t name = mb_buf_view(&version->targets[i]->service);
        route_service_t *last =
            version->service_count == 0
                ? NULL
                : &version->services[version->service_count - 1];
        if (last == NULL || !mb_str_equal(last->name, name)) {
            last = &version->services[version->service_count++];
            last->name = name;
            last->targets = &version->targets[i];
        }
        last->count++;
    }
}

/* Publishes a new version of the table, with the target `added` and without
   the target `removed`; either may be NULL. Returns false if the table is
   full. The writers' lock must be held. */
static bool
publish_version(mb_route_table_t *route, mb_target_t *added,
                const mb_target_t *removed)
{
    route_version_t *old = route->version;
    route_version_t *next = g_new0(route_version_t, 1);
    if (added != NULL && old->target_count == MB_ROUTE_TARGETS_MAX) {
        g_free(next);
        return false;
    }
    next->targets = g_new0(mb_target_t *, old->target_count + 1);
    for (uint32_t i = 0; i < old->target_count; i++) {
        if (old->targets[i] != removed) {
            next->targets[next->target_count++] = old->targets[i];
        }
    }
    if (added != NULL) {
        next->targets[next->target_count++] = added;
    }
    qsort(next->targets, next->target_count, sizeof(mb_target_t *),
          compare_targets);
    for (uint32_t i = 0; i < next->target_count; i++) {
        mb_target_ref(next->targets[i]);
    }
    group_by_service(next);
    mb_epoch_publish(route->epoch, &route->version, next, destroy_version);
    return true;
}

/* Adds a target; the table takes references of its own. Returns false if the
   table is full. */
bool
mb_route_add(mb_route_table_t *route, mb_target_t *target)
{
    (void)pthread_mutex_lock(&route->writer_lock);
    bool added = publish_version(route, target, NULL);
    (void)pthread_mutex_unlock(&route->writer_lock);
    return added;
}

/* Removes a target. Readers that found it before may use it until they leave
   their read section. */
void
mb_route_remove(mb_route_table_t *route, mb_target_t *target)
{
    (void)pthread_mutex_lock(&route->writer_lock);
    (void)publish_version(route, NULL, target);
    (void)pthread_mutex_unlock(&route->writer_lock);
}

/* Finds a service in one version of the table by binary search. Returns NULL
   if it has no target. */
static const route_service_t *
find_service(const route_version_t *version, mb_str_t name)
{
    uint32_t low = 0;
    uint32_t high = version->service_count;
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        int order = mb_str_compare(version->services[middle].name, name);
        if (order == 0) {
            return &version->services[middle];
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

/* Returns whether a target is ejected now. Reads the clock only if the target
   has ever been ejected. */
static bool
is_ejected(const mb_route_table_t *route, const mb_target_t *target)
{
    uint64_t until_us = mb_atomic_load(&target->ejected_until_us);
    return until_us > 0 && until_us > mb_clock_us(&route->clock);
}

/* Counts the free credits in the other stripes of a target, and stores the
   sum in the calling thread's stripe. */
static void
count_other_credits(const mb_target_t *target, mb_credit_stripe_t *own)
{
    uint64_t other_credits = 0;
    for (int i = 0; i < MB_ROUTE_STRIPES; i++) {
        const mb_credit_stripe_t *stripe = &target->stripes[i];
        other_credits += stripe == own ? 0 : mb_atomic_load(&stripe->credits);
    }
    mb_atomic_store(&own->other_credits, other_credits);
}

/* Returns the approximate number of free credits of a target: those in the
   calling thread's stripe, which are exact, and those that were in the other
   stripes when last counted, less the excess. */
static uint64_t
get_free_credits(mb_target_t *target)
{
    const mb_credit_stripe_t *own = own_stripe(target);
    uint64_t excess = mb_atomic_load(&target->excess);
    uint64_t total =
        mb_atomic_load(&own->credits) + mb_atomic_load(&own->other_credits);
    return total > excess ? total - excess : 0;
}

/* Returns whether a target has a free credit. Counts the credits in the other
   stripes every CHECKS_PER_COUNT checks, and before it returns false. */
static bool
has_credit(mb_target_t *target)
{
    mb_credit_stripe_t *own = own_stripe(target);
    uint64_t checks = mb_atomic_load(&own->checks);
    mb_atomic_store(&own->checks, checks + 1);
    if (checks % CHECKS_PER_COUNT == 0 || get_free_credits(target) == 0) {
        count_other_credits(target, own);
    }
#ifdef MB_MUTANT_CREDIT_NOT_BOUND
    return true;
#else
    return get_free_credits(target) > 0;
#endif
}

/* Returns whether a target other than `avoid` may get a new request now. */
static bool
is_available(const mb_route_table_t *route, mb_target_t *target,
             const mb_target_t *avoid)
{
    return target != avoid && has_credit(target) &&
           mb_atomic_load(&target->draining) == 0 &&
           mb_atomic_load(&target->suspended) == 0 &&
           !is_ejected(route, target);
}

/* Returns whether one more target of a service may be ejected. At most half of
   its targets are ejected at a time, so that a fault that affects all of them
   does not leave the service without any. */
static bool
can_eject(const mb_route_table_t *route, const route_service_t *service)
{
    uint32_t ejected = 1;
    for (uint32_t i = 0; i < service->count; i++) {
        ejected += is_ejected(route, service->targets[i]) ? 1 : 0;
    }
#ifdef MB_MUTANT_EJECTS_ALL
    return ejected <= service->count;
#else
    return ejected * 2 <= service->count;
#endif
}

/* Ejects a target for a time that doubles with each consecutive ejection, and
   resets its failure counts. */
static void
eject_target(const mb_route_table_t *route, mb_target_t *target)
{
    uint64_t now_us = mb_clock_us(&route->clock);
    uint64_t last_us = mb_atomic_load(&target->ejected_until_us);
    uint64_t count = mb_atomic_load(&target->consecutive_ejections);
    if (last_us + (uint64_t)EJECT_FORGET_MS * MB_US_PER_MS < now_us) {
        count = 0;
    }
    uint64_t length_ms =
        count < 6 ? (uint64_t)EJECT_FIRST_MS << count : EJECT_MAX_MS;
    mb_atomic_store(&target->consecutive_ejections, count + 1);
    mb_atomic_store(&target->consecutive_failures, 0);
    mb_atomic_store(&target->error_rate, 0);
    mb_atomic_store(&target->samples, 0);
    mb_atomic_store(&target->ejected_until_us,
                    now_us + length_ms * MB_US_PER_MS);
}

/* Adds the result of a request to the failure counts of its target. Returns
   whether the target has failed too often. */
static bool
count_result(mb_target_t *target, bool good)
{
    uint64_t rate = mb_atomic_load(&target->error_rate);
    uint64_t samples = mb_atomic_add(&target->samples, 1) + 1;
    uint64_t consecutive_failures = 0;
    rate = rate - (rate >> ERROR_WEIGHT_SHIFT) +
           (good ? 0 : ERROR_UNIT >> ERROR_WEIGHT_SHIFT);
    mb_atomic_store(&target->error_rate, rate);
    if (good) {
        if (mb_atomic_load(&target->consecutive_failures) > 0) {
            mb_atomic_store(&target->consecutive_failures, 0);
        }
    }
    else {
        consecutive_failures =
            mb_atomic_add(&target->consecutive_failures, 1) + 1;
    }
    return consecutive_failures >= EJECT_FAILURES ||
           (!good && samples >= EJECT_SAMPLES && rate > EJECT_ERROR_RATE);
}

/* Returns the first available target of a service from index `start` on,
   wrapping around; NULL if there is none. */
static mb_target_t *
find_available(const mb_route_table_t *route, const route_service_t *service,
               uint32_t start, const mb_target_t *avoid)
{
    uint32_t at = start;
    for (uint32_t i = 0; i < service->count; i++) {
        mb_target_t *target = service->targets[at];
        if (is_available(route, target, avoid)) {
            return target;
        }
        at = at + 1 == service->count ? 0 : at + 1;
    }
    return NULL;
}

/* Estimates the latency of one more request at a target, for comparison: the
   average latency times the number of requests in flight, this one
   included. */
static uint64_t
estimate_latency(mb_target_t *target)
{
    uint64_t granted = mb_atomic_load(&target->granted);
    uint64_t credits = get_free_credits(target);
    uint64_t used = granted > credits ? granted - credits : 0;
    return (mb_atomic_load(&target->latency_us) + 1) * (used + 1);
}

/* Takes a free credit from the calling thread's stripe, or else from another
   one. Returns false if there is none. */
static bool
take_free_credit(mb_target_t *target)
{
    mb_credit_stripe_t *own = own_stripe(target);
    if (mb_atomic_dec_if_positive(&own->credits)) {
        return true;
    }
    size_t first = (size_t)(own - target->stripes);
    for (size_t i = 1; i < MB_ROUTE_STRIPES; i++) {
        mb_credit_stripe_t *other =
            &target->stripes[(first + i) % MB_ROUTE_STRIPES];
        if (mb_atomic_dec_if_positive(&other->credits)) {
            (void)mb_atomic_dec_if_positive(&own->other_credits);
            return true;
        }
    }
    mb_atomic_store(&own->other_credits, 0);
    return false;
}

/* Takes a credit for a request. Returns false if there is none. Credits in
   excess are withdrawn first. The excess is read after a free credit was
   taken: if it is 0 then, no more credits are in use than granted. */
static bool
take_credit(mb_target_t *target)
{
#ifdef MB_MUTANT_CREDIT_NOT_BOUND
    if (target != NULL) {
        return true;
    }
#endif
    while (take_free_credit(target)) {
        if (!mb_atomic_dec_if_positive(&target->excess)) {
            return true;
        }
    }
    return false;
}

/* Picks the better of two random targets of a service that have free credits,
   and takes a credit from it. */
static mb_route_result_t
pick_from_service(const mb_route_table_t *route,
                  const route_service_t *service, const mb_rng_t *rng,
                  const mb_target_t *avoid, mb_target_t **picked)
{
    uint64_t random = mb_rng_next(rng);
    /* Scales the random number to the count by a multiplication; a division
       takes tens of cycles. */
    uint32_t first =
        (uint32_t)(((random & UINT32_MAX) * service->count) >> 32);
    uint32_t second = first;
    if (service->count > 1) {
        second +=
            1 + (uint32_t)(((random >> 32) * (service->count - 1)) >> 32);
        second -= second >= service->count ? service->count : 0;
    }
    /* If another thread has taken the last credit of a target, take_credit
       notes that its stripes are empty, and the next round skips it. */
    for (uint32_t round = 0; round <= service->count; round++) {
        mb_target_t *a = find_available(route, service, first, avoid);
        mb_target_t *b = find_available(route, service, second, avoid);
        if (a == NULL || b == NULL) {
            return MB_ROUTE_NO_CREDIT;
        }
        bool b_first = estimate_latency(b) < estimate_latency(a);
        mb_target_t *better = b_first ? b : a;
        mb_target_t *other = b_first ? a : b;
        if (take_credit(better)) {
            *picked = better;
            return MB_ROUTE_PICKED;
        }
        if (take_credit(other)) {
            *picked = other;
            return MB_ROUTE_PICKED;
        }
    }
    return MB_ROUTE_NO_CREDIT;
}

/* Picks a target of a service for one request, other than `avoid`, which may
   be NULL. On MB_ROUTE_PICKED, the caller holds a credit, which keeps the
   target in memory until it is returned by mb_target_release_credit. Takes no
   mutex. */
mb_route_result_t
mb_route_pick(mb_route_table_t *route, mb_str_t service, const mb_rng_t *rng,
              const mb_target_t *avoid, mb_target_t **picked)
{
    mb_route_result_t result = MB_ROUTE_NO_SERVICE;
    mb_epoch_enter(route->epoch);
    const route_version_t *version = mb_epoch_load(&route->version);
    const route_service_t *found = find_service(version, service);
    if (found != NULL) {
        result = pick_from_service(route, found, rng, avoid, picked);
    }
    mb_epoch_leave(route->epoch);
    return result;
}

/* Records the result of a request at a target. A target that fails too often
   is ejected: it gets no requests for a while. If another thread decides on an
   ejection at the same moment, this one is left to the next failure. Takes no
   mutex. */
void
mb_route_report_result(mb_route_table_t *route, mb_target_t *target, bool good)
{
    if (!count_result(target, good) || is_ejected(route, target) ||
        !mb_atomic_cas(&route->ejection_lock, 0, 1)) {
        return;
    }
    mb_epoch_enter(route->epoch);
    const route_version_t *version = mb_epoch_load(&route->version);
    const route_service_t *service =
        find_service(version, mb_buf_view(&target->service));
    if (service != NULL && can_eject(route, service)) {
        eject_target(route, target);
    }
    mb_epoch_leave(route->epoch);
    mb_atomic_store(&route->ejection_lock, 0);
}
