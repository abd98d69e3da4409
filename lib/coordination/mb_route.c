#include "mb_route.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "mb_assert.h"
#include "mb_atomic.h"

/* Weight of the newest sample in the moving average, as 1 / 8. */
#define LATENCY_SHIFT 3
/* Weight of the newest result in the error rate, as 1 / 16. */
#define ERROR_SHIFT 4
/* The error rate is counted in units of 1 / 1024. */
#define ERROR_UNIT 1024u
/* What ejects an upstream: failures in a row, or an error rate above a half
   after enough results. */
#define EJECT_FAILURES 5u
#define EJECT_RATE (ERROR_UNIT / 2)
#define EJECT_SAMPLES 20u
/* The first ejection lasts this long, each next one twice as long as the one
   before, in milliseconds. */
#define EJECT_FIRST_MS 1000u
#define EJECT_LONGEST_MS 60000u
/* After this long without an ejection the count begins again, in
   milliseconds. */
#define EJECT_FORGET_MS 120000u

/* Marks the stripes of a target that has no reference any more; above any
   number of credits. */
#define STRIPE_CLOSED (UINT64_C(1) << 62)
/* A thread counts the free credits of a target anew with every so many looks
   at it; its own picks and releases are counted at once. */
#define LOOKS_PER_COUNT 64u

/* The links of one service in one version of the table. */
typedef struct route_service {
    mb_str_t name; /* points into the first target */
    uint32_t count;
    mb_target_t **targets;
} route_service_t;

/* One immutable version: services in the order of their names. */
typedef struct route_table {
    uint32_t service_count;
    uint32_t target_count;
    route_service_t *services;
    mb_target_t **targets;
} route_version_t;

/* Makes a target with one reference and no credits. */
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

/* Adds a reference. */
void
mb_target_ref(mb_target_t *target)
{
    (void)mb_atomic_add(&target->references, 1);
}

/* Returns the calling thread's stripe of a target. */
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

/* Frees a target. */
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

/* Takes credits off a target without references; the last one frees it. */
static void
drop_remaining(mb_target_t *target, uint64_t count)
{
    if (mb_atomic_sub(&target->credits_to_collect, count) == count) {
        destroy_target(target);
    }
}

/* Drops a reference. After the last one no thread can pick the target, as the
   table has references too: the free credits are taken out of the stripes, and
   the credits in use are counted down as they are given back. */
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
    drop_remaining(target, not_in_use + 1);
}

/* Changes the number of credits in total. What a smaller number takes away is
   withdrawn by the next picks, before they get a credit. Only on the thread of
   the target's link. */
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
    while (added > 0 && mb_atomic_take(&target->excess)) {
        added--;
    }
    (void)mb_atomic_add(&own_stripe(target)->credits, added);
}

/* Gives back the credit of a request that has ended. The target must not be
   used after, unless the caller has a reference. */
void
mb_target_release_credit(mb_target_t *target)
{
    uint64_t before = mb_atomic_add(&own_stripe(target)->credits, 1);
    if (before >= STRIPE_CLOSED) {
        drop_remaining(target, 1);
    }
}

/* Takes the sidecar's own estimate for a target that has no credits yet,
   before its first ones are granted: without it a slow upstream that attaches
   would be the first choice until its first response. Later the latency
   measured here is better, because it includes the link, and a decayed one
   must stay low. The sidecar's utilisation is not used: the latency shows the
   load of other entries too, and the free credits show the own. */
void
mb_target_set_initial_latency(mb_target_t *target, uint64_t latency_us)
{
    if (mb_atomic_load(&target->granted) == 0) {
        (void)mb_atomic_cas(&target->latency_us, 0, latency_us);
    }
}

/* Takes one sample into the moving average of the latency. */
void
mb_target_observe_latency(mb_target_t *target, uint64_t latency_us)
{
    uint64_t before = mb_atomic_load(&target->latency_us);
    uint64_t next = before == 0 ? latency_us
                                : before - (before >> LATENCY_SHIFT) +
                                      (latency_us >> LATENCY_SHIFT);
    (void)mb_atomic_cas(&target->latency_us, before, next);
    if (mb_atomic_load(&target->has_recent_sample) == 0) {
        mb_atomic_store(&target->has_recent_sample, 1);
    }
}

/* Halves the latency of a target without a sample since the last call;
   called once a second. A target that was slow once, for instance because
   its link was silent, would otherwise never be picked and measured again. */
void
mb_target_decay_latency(mb_target_t *target)
{
    uint64_t before = mb_atomic_load(&target->latency_us);
    if (mb_atomic_load(&target->has_recent_sample) == 0) {
        (void)mb_atomic_cas(&target->latency_us, before, before / 2);
    }
    mb_atomic_store(&target->has_recent_sample, 0);
}

/* Starts with an empty table. */
void
mb_route_init(mb_route_table_t *route, mb_epoch_t *epoch)
{
    route->epoch = epoch;
    route->version = g_new0(route_version_t, 1);
    route->clock = mb_clock_monotonic();
    route->ejection_lock = 0;
    (void)pthread_mutex_init(&route->writer_lock, NULL);
}

/* Frees one version. */
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

/* Frees the table; no thread picks any more. */
void
mb_route_finish(mb_route_table_t *route)
{
    destroy_version(route->version);
    (void)pthread_mutex_destroy(&route->writer_lock);
}

/* Orders targets by service. */
static int
compare_targets(const void *a, const void *b)
{
    const mb_target_t *left = *(mb_target_t *const *)a;
    const mb_target_t *right = *(mb_target_t *const *)b;
    return mb_str_compare(mb_buf_view(&left->service),
                          mb_buf_view(&right->service));
}

/* Groups the sorted targets by service. */
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

/* Builds and publishes a version with or without one target. */
static bool
publish(mb_route_table_t *route, mb_target_t *added,
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

/* Adds a target; false when the table is full. */
bool
mb_route_add(mb_route_table_t *route, mb_target_t *target)
{
    (void)pthread_mutex_lock(&route->writer_lock);
    bool added = publish(route, target, NULL);
    (void)pthread_mutex_unlock(&route->writer_lock);
    return added;
}

/* Removes a target; readers that hold it may still use it until they have
   left their section. */
void
mb_route_remove(mb_route_table_t *route, mb_target_t *target)
{
    (void)pthread_mutex_lock(&route->writer_lock);
    (void)publish(route, NULL, target);
    (void)pthread_mutex_unlock(&route->writer_lock);
}

/* Finds a service in one version by binary search. */
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

/* Tells whether a target is ejected; reads the clock only for one that ever
   was. */
static bool
is_ejected(const mb_route_table_t *route, const mb_target_t *target)
{
    uint64_t until_us = mb_atomic_load(&target->ejected_until_us);
    return until_us > 0 && until_us > mb_clock_us(&route->clock);
}

/* Counts the free credits in the stripes of other threads. */
static void
count_elsewhere(const mb_target_t *target, mb_credit_stripe_t *own)
{
    uint64_t other_credits = 0;
    for (int i = 0; i < MB_ROUTE_STRIPES; i++) {
        const mb_credit_stripe_t *stripe = &target->stripes[i];
        other_credits += stripe == own ? 0 : mb_atomic_load(&stripe->credits);
    }
    mb_atomic_store(&own->other_credits, other_credits);
}

/* Returns the number of free credits of a target: exactly what the calling
   thread's stripe has, and what the other stripes had when last counted. */
static uint64_t
free_credits(mb_target_t *target)
{
    const mb_credit_stripe_t *own = own_stripe(target);
    uint64_t excess = mb_atomic_load(&target->excess);
    uint64_t total =
        mb_atomic_load(&own->credits) + mb_atomic_load(&own->other_credits);
    return total > excess ? total - excess : 0;
}

/* Tells whether a target has a free credit; counts the other stripes anew
   once in a while and before it says no. */
static bool
has_credit(mb_target_t *target)
{
    mb_credit_stripe_t *own = own_stripe(target);
    uint64_t checks = mb_atomic_load(&own->checks);
    mb_atomic_store(&own->checks, checks + 1);
    if (checks % LOOKS_PER_COUNT == 0 || free_credits(target) == 0) {
        count_elsewhere(target, own);
    }
#ifdef MB_MUTANT_CREDIT_NOT_BOUND
    return true;
#else
    return free_credits(target) > 0;
#endif
}

/* Tells whether a target may get a new request now. */
static bool
is_available(const mb_route_table_t *route, mb_target_t *target,
             const mb_target_t *avoid)
{
    return target != avoid && has_credit(target) &&
           mb_atomic_load(&target->draining) == 0 &&
           mb_atomic_load(&target->suspended) == 0 &&
           !is_ejected(route, target);
}

/* Tells whether one more target of a service may be ejected: never more than
   half of them. */
static bool
may_eject(const mb_route_table_t *route, const route_service_t *service)
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

/* Ejects a target for a time that grows with each ejection. */
static void
eject(const mb_route_table_t *route, mb_target_t *target)
{
    uint64_t now_us = mb_clock_us(&route->clock);
    uint64_t last_us = mb_atomic_load(&target->ejected_until_us);
    uint64_t count = mb_atomic_load(&target->consecutive_ejections);
    if (last_us + (uint64_t)EJECT_FORGET_MS * MB_US_PER_MS < now_us) {
        count = 0;
    }
    uint64_t length_ms =
        count < 6 ? (uint64_t)EJECT_FIRST_MS << count : EJECT_LONGEST_MS;
    mb_atomic_store(&target->consecutive_ejections, count + 1);
    mb_atomic_store(&target->consecutive_failures, 0);
    mb_atomic_store(&target->error_rate, 0);
    mb_atomic_store(&target->samples, 0);
    mb_atomic_store(&target->ejected_until_us,
                    now_us + length_ms * MB_US_PER_MS);
}

/* Takes the result of a request at a target into its failure counts. Returns
   whether the target has failed too often. */
static bool
count_result(mb_target_t *target, bool good)
{
    uint64_t rate = mb_atomic_load(&target->error_rate);
    uint64_t samples = mb_atomic_add(&target->samples, 1) + 1;
    uint64_t consecutive_failures = 0;
    rate =
        rate - (rate >> ERROR_SHIFT) + (good ? 0 : ERROR_UNIT >> ERROR_SHIFT);
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
           (!good && samples >= EJECT_SAMPLES && rate > EJECT_RATE);
}

/* Returns the next available target at or after a position, or NULL. */
static mb_target_t *
next_available(const mb_route_table_t *route, const route_service_t *service,
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

/* Returns the expected latency of one more request at a target: the average,
   stretched by the share of its credits that is in use. */
static uint64_t
expected_latency(mb_target_t *target)
{
    uint64_t granted = mb_atomic_load(&target->granted);
    uint64_t credits = free_credits(target);
    uint64_t used = granted > credits ? granted - credits : 0;
    return (mb_atomic_load(&target->latency_us) + 1) * (used + 1);
}

/* Takes a free credit out of the calling thread's stripe or another; false
   when there is none. */
static bool
take_free(mb_target_t *target)
{
    mb_credit_stripe_t *own = own_stripe(target);
    if (mb_atomic_take(&own->credits)) {
        return true;
    }
    size_t first = (size_t)(own - target->stripes);
    for (size_t i = 1; i < MB_ROUTE_STRIPES; i++) {
        mb_credit_stripe_t *other =
            &target->stripes[(first + i) % MB_ROUTE_STRIPES];
        if (mb_atomic_take(&other->credits)) {
            (void)mb_atomic_take(&own->other_credits);
            return true;
        }
    }
    mb_atomic_store(&own->other_credits, 0);
    return false;
}

/* Takes a credit unless there is none. The debt is read after a free credit
   was taken: when it is 0 then, no more credits are in use than granted. */
static bool
take_credit(mb_target_t *target)
{
#ifdef MB_MUTANT_CREDIT_NOT_BOUND
    if (target != NULL) {
        return true;
    }
#endif
    while (take_free(target)) {
        if (!mb_atomic_take(&target->excess)) {
            return true;
        }
    }
    return false;
}

/* Picks the better of two random targets of a service that have credits and
   takes one credit from it. */
static mb_route_result_t
pick_of_service(const mb_route_table_t *route, const route_service_t *service,
                const mb_rng_t *rng, const mb_target_t *avoid,
                mb_target_t **picked)
{
    uint64_t random = mb_rng_next(rng);
    /* Multiplied rather than divided, which takes tens of cycles. */
    uint32_t first =
        (uint32_t)(((random & UINT32_MAX) * service->count) >> 32);
    uint32_t second = first;
    if (service->count > 1) {
        second +=
            1 + (uint32_t)(((random >> 32) * (service->count - 1)) >> 32);
        second -= second >= service->count ? service->count : 0;
    }
    /* A target that turns out to have no credit is not available to this
       thread in the next round. */
    for (uint32_t round = 0; round <= service->count; round++) {
        mb_target_t *a = next_available(route, service, first, avoid);
        mb_target_t *b = next_available(route, service, second, avoid);
        if (a == NULL || b == NULL) {
            return MB_ROUTE_NO_CREDIT;
        }
        bool b_first = expected_latency(b) < expected_latency(a);
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

/* Picks a target for one request, other than `avoid` (or NULL). On
   MB_ROUTE_PICKED the caller holds a credit, which keeps the target until it
   is given back by mb_target_release_credit. Takes no mutex. */
mb_route_result_t
mb_route_pick(mb_route_table_t *route, mb_str_t service, const mb_rng_t *rng,
              const mb_target_t *avoid, mb_target_t **picked)
{
    mb_route_result_t result = MB_ROUTE_NO_SERVICE;
    mb_epoch_enter(route->epoch);
    const route_version_t *version = mb_epoch_load(&route->version);
    const route_service_t *found = find_service(version, service);
    if (found != NULL) {
        result = pick_of_service(route, found, rng, avoid, picked);
    }
    mb_epoch_leave(route->epoch);
    return result;
}

/* Takes the result of a request at a target. A target that fails too often is
   ejected for a while; when another thread is ejecting one at the same moment,
   the next failure decides. Takes no mutex. */
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
    if (service != NULL && may_eject(route, service)) {
        eject(route, target);
    }
    mb_epoch_leave(route->epoch);
    mb_atomic_store(&route->ejection_lock, 0);
}
