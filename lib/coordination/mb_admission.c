/* Writers (settings and announcements) change the services under a mutex and
   publish an immutable table of them; readers (requests) look services up in
   the published table and count themselves with atomic operations. */
#include "mb_admission.h"

#include <string.h>

#include "mb_assert.h"
#include "mb_atomic.h"

/* Share of each class in a limit, in tenths. */
static const uint32_t weights[MB_CLASS_COUNT] = {
    [MB_CLASS_URGENT] = 5,
    [MB_CLASS_NORMAL] = 3,
    [MB_CLASS_BATCH] = 2,
};
#define WEIGHTS_TOTAL 10u
/* A class that has had no request for this long, in milliseconds, is idle and
   lends most of its share to the other classes; the divisor gives the part,
   one quarter, that stays reserved for its next requests. */
#define IDLE_MS 1000u
#define IDLE_DIVISOR 4u
/* Retry budget: an admitted request earns one token and a retry costs ten, so
   that retries are limited to 10% of the requests, beyond a burst of ten. */
#define RETRY_COST 10u
#define RETRY_TOKENS_MAX 100u
/* The newest sample has a weight of 1 / 2^3 in the moving average. */
#define LATENCY_SHIFT 3

/* One service; writers change it under the lock, and copies of it are in the
   published tables. */
typedef struct service {
    mb_service_load_t *service_load;
    bool declared;
    uint32_t announcements;         /* number of sidecars that announce it */
    mb_service_settings_t settings; /* the name is a view into the load */
} service_t;

/* One published version of all services, sorted by name; immutable. */
typedef struct admission_table {
    uint32_t count;
    service_t rows[];
} admission_table_t;

/* Adds a reference. */
void
mb_service_load_ref(mb_service_load_t *service_load)
{
    (void)mb_atomic_add(&service_load->references, 1);
}

/* Drops a reference; the last one frees the load. */
void
mb_service_load_unref(mb_service_load_t *service_load)
{
    if (mb_atomic_sub(&service_load->references, 1) == 1) {
        mb_buf_finish(&service_load->name);
        g_free(service_load);
    }
}

/* Frees one version of the table and drops its references. */
static void
destroy_table(void *old)
{
    admission_table_t *table = old;
    for (uint32_t i = 0; i < table->count; i++) {
        mb_service_load_unref(table->rows[i].service_load);
    }
    g_free(table);
}

/* Frees a service and drops its reference to the load. */
static void
free_service(gpointer value)
{
    service_t *service = value;
    mb_service_load_unref(service->service_load);
    g_free(service);
}

/* Initializes without services and with a full retry budget. */
void
mb_admission_init(mb_admission_t *admission, mb_epoch_t *epoch,
                  const mb_clock_t *clock, uint32_t in_flight_limit,
                  uint32_t default_deadline_ms, uint32_t default_queue_limit)
{
    memset(admission, 0, sizeof(*admission));
    admission->epoch = epoch;
    admission->clock = *clock;
    admission->in_flight_limit = in_flight_limit;
    admission->default_deadline_ms = default_deadline_ms;
    admission->default_queue_limit = default_queue_limit;
    admission->retry_tokens = RETRY_TOKENS_MAX;
    admission->table = g_malloc0(sizeof(admission_table_t));
    admission->services = g_hash_table_new_full(
        mb_str_key_hash, mb_str_key_equal, NULL, free_service);
    (void)pthread_mutex_init(&admission->writer_lock, NULL);
}

/* Releases all memory; no other thread may use `admission` any more. */
void
mb_admission_finish(mb_admission_t *admission)
{
    destroy_table(admission->table);
    g_hash_table_unref(admission->services);
    (void)pthread_mutex_destroy(&admission->writer_lock);
}

/* Compares rows of the table by name. */
static int
compare_rows(const void *a, const void *b)
{
    const service_t *left = a;
    const service_t *right = b;
    return mb_str_compare(left->settings.name, right->settings.name);
}

/* Publishes a new version of the table; the old one is freed once no reader
   uses it. The writers' lock must be held. */
static void
publish_table(mb_admission_t *admission)
{
    guint count = g_hash_table_size(admission->services);
    admission_table_t *next =
        g_malloc0(sizeof(*next) + count * sizeof(service_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, admission->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const service_t *service = value;
        mb_service_load_ref(service->service_load);
        next->rows[next->count++] = *service;
    }
    qsort(next->rows, next->count, sizeof(service_t), compare_rows);
    mb_epoch_publish(admission->epoch, &admission->table, next, destroy_table);
}

/* Finds or adds a service; NULL when there are too many. The writers' lock
   must be held. */
static service_t *
ensure_service(mb_admission_t *admission, mb_str_t name)
{
    service_t *service = g_hash_table_lookup(admission->services, &name);
    if (service != NULL ||
        g_hash_table_size(admission->services) == MB_ADMISSION_SERVICES_MAX) {
        return service;
    }
    service = g_new0(service_t, 1);
    service->service_load = g_new0(mb_service_load_t, 1);
    service->service_load->references = 1;
    mb_buf_set(&service->service_load->name, name);
    service->settings = (mb_service_settings_t){
        mb_buf_view(&service->service_load->name), MB_CLASS_NORMAL,
        admission->default_deadline_ms, admission->default_queue_limit};
    (void)g_hash_table_insert(admission->services, &service->settings.name,
                              service);
    return service;
}

/* Resets every service to the default settings and marks it as not declared.
   The writers' lock must be held. */
static void
reset_settings(mb_admission_t *admission)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, admission->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        service_t *service = value;
        service->declared = false;
        service->settings.request_class = MB_CLASS_NORMAL;
        service->settings.deadline_ms = admission->default_deadline_ms;
        service->settings.queue_limit = admission->default_queue_limit;
    }
}

/* Applies the declared settings of one service; ignores them when there are
   too many services. The writers' lock must be held. */
static void
apply_settings(mb_admission_t *admission,
               const mb_service_settings_t *settings)
{
    service_t *service = ensure_service(admission, settings->name);
    if (service == NULL) {
        return;
    }
    mb_str_t name = service->settings.name;
    service->declared = true;
    service->settings = *settings;
    service->settings.name = name;
    if (settings->deadline_ms == 0) {
        service->settings.deadline_ms = admission->default_deadline_ms;
    }
}

/* Returns whether a service is neither declared nor announced. */
static gboolean
is_unused(gpointer key, gpointer value, gpointer context)
{
    const service_t *service = value;
    (void)key;
    (void)context;
    return !service->declared && service->announcements == 0;
}

/* Replaces the settings of all declared services. Declarations beyond
   MB_ADMISSION_SERVICES_MAX services are ignored. */
void
mb_admission_set_services(mb_admission_t *admission,
                          const mb_service_settings_t *settings, size_t count)
{
    (void)pthread_mutex_lock(&admission->writer_lock);
    reset_settings(admission);
    for (size_t i = 0; i < count; i++) {
        apply_settings(admission, &settings[i]);
    }
    (void)g_hash_table_foreach_remove(admission->services, is_unused, NULL);
    publish_table(admission);
    (void)pthread_mutex_unlock(&admission->writer_lock);
}

/* Registers a sidecar that announces a service. Returns a reference to its
   load, which mb_admission_withdraw releases, or NULL when there are too many
   services. */
mb_service_load_t *
mb_admission_announce(mb_admission_t *admission, mb_str_t name)
{
    (void)pthread_mutex_lock(&admission->writer_lock);
    mb_service_load_t *service_load = NULL;
    service_t *service = ensure_service(admission, name);
    if (service != NULL) {
        service_load = service->service_load;
        service->announcements++;
        mb_service_load_ref(service_load);
        publish_table(admission);
    }
    (void)pthread_mutex_unlock(&admission->writer_lock);
    return service_load;
}

/* Undoes one announcement and removes a service that is no longer used. */
void
mb_admission_withdraw(mb_admission_t *admission,
                      mb_service_load_t *service_load)
{
    (void)pthread_mutex_lock(&admission->writer_lock);
    mb_str_t name = mb_buf_view(&service_load->name);
    service_t *service = g_hash_table_lookup(admission->services, &name);
    MB_INVARIANT(service != NULL && service->announcements > 0,
                 "announcement_accounting");
    service->announcements--;
    if (service->announcements == 0 && !service->declared) {
        (void)g_hash_table_remove(admission->services, &name);
    }
    publish_table(admission);
    (void)pthread_mutex_unlock(&admission->writer_lock);
    mb_service_load_unref(service_load);
}

/* Adds a positive or negative number of credits to the service's capacity. */
void
mb_service_load_add_capacity(mb_service_load_t *service_load, int64_t delta)
{
    (void)mb_atomic_add(&service_load->capacity, (uint64_t)delta);
}

/* Returns the share of a class in a limit, at least 1. */
static uint64_t
class_share(mb_class_t request_class, uint64_t limit)
{
    uint64_t share = limit * weights[request_class] / WEIGHTS_TOTAL;
    return share > 0 ? share : 1;
}

/* Returns the unused part of a class's share that other classes must leave
   free; most of the share of an idle class is not reserved. */
static uint64_t
reserved_share(const mb_class_load_t *class_load, mb_class_t request_class,
               uint64_t limit, uint64_t now_ms)
{
    uint64_t share = class_share(request_class, limit);
    uint64_t used = mb_atomic_load(&class_load->in_flight[request_class]);
    if (mb_atomic_load(&class_load->last_request_ms[request_class]) + IDLE_MS <
        now_ms) {
        share /= IDLE_DIVISOR;
    }
    return share > used ? share - used : 0;
}

/* Counts a request against a limit; false when the limit does not allow it.
   A class may always use its own share, and beyond it whatever the others
   neither use nor have reserved. The limit can therefore be exceeded: when an
   idle class returns, it may use its share while other classes still use what
   they borrowed from it. */
static bool
acquire_in_flight(mb_class_load_t *class_load, mb_class_t request_class,
                  uint64_t limit, uint64_t now_ms)
{
    uint64_t used =
        mb_atomic_add(&class_load->in_flight[request_class], 1) + 1;
    uint64_t total = used;
    mb_atomic_store(&class_load->last_request_ms[request_class], now_ms);
    if (used <= class_share(request_class, limit)) {
        return true;
    }
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        if (i != (int)request_class) {
            total += mb_atomic_load(&class_load->in_flight[i]) +
                     reserved_share(class_load, (mb_class_t)i, limit, now_ms);
        }
    }
    if (total > limit) {
        (void)mb_atomic_sub(&class_load->in_flight[request_class], 1);
        return false;
    }
    return true;
}

/* Removes a request from the count of its class. */
static void
release_in_flight(mb_class_load_t *class_load, mb_class_t request_class)
{
    (void)mb_atomic_sub(&class_load->in_flight[request_class], 1);
}

/* Estimates the time until a request that arrives now is answered, in
   microseconds: its wait for a credit plus its latency. 0 when a credit is
   free or no credits are granted yet. */
static uint64_t
estimate_latency_us(const mb_service_load_t *service_load)
{
    uint64_t capacity = mb_atomic_load(&service_load->capacity);
    uint64_t latency_us = mb_atomic_load(&service_load->latency_us);
    uint64_t total = 0;
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        total += mb_atomic_load(&service_load->class_load.in_flight[i]);
    }
    if (capacity == 0 || total < capacity) {
        return 0;
    }
    return latency_us + (total - capacity) * latency_us / capacity;
}

/* Finds a service in the table by binary search; NULL when it is unknown. */
static const service_t *
find_service(const admission_table_t *table, mb_str_t name)
{
    uint32_t low = 0;
    uint32_t high = table->count;
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        int order = mb_str_compare(table->rows[middle].settings.name, name);
        if (order == 0) {
            return &table->rows[middle];
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

/* Fills in a ticket from the published settings and takes a reference to the
   service's load; false for an unknown service. */
static bool
fill_ticket(mb_admission_t *admission, mb_str_t service,
            mb_class_t requested_class, uint32_t requested_deadline_ms,
            mb_ticket_t *ticket)
{
    mb_epoch_enter(admission->epoch);
    const admission_table_t *table = mb_epoch_load(&admission->table);
    const service_t *found = find_service(table, service);
    if (found != NULL) {
        const mb_service_settings_t *settings = &found->settings;
        mb_service_load_ref(found->service_load);
        ticket->service_load = found->service_load;
        ticket->request_class = requested_class > settings->request_class &&
                                        requested_class < MB_CLASS_COUNT
                                    ? requested_class
                                    : settings->request_class;
        ticket->deadline_ms = requested_deadline_ms > 0
                                  ? requested_deadline_ms
                                  : settings->deadline_ms;
        ticket->queue_limit = settings->queue_limit;
    }
    mb_epoch_leave(admission->epoch);
    return found != NULL;
}

/* Counts a request against the limits of its service and of the entry.
   Returns MB_KIND_COUNT, or the kind of refusal when it is not expected to
   meet its deadline or a limit is reached. */
static mb_kind_t
acquire_limits(mb_admission_t *admission, const mb_ticket_t *ticket)
{
    mb_service_load_t *service_load = ticket->service_load;
    uint64_t now_ms = mb_clock_ms(&admission->clock);
    uint64_t limit =
        mb_atomic_load(&service_load->capacity) + ticket->queue_limit;
    if (estimate_latency_us(service_load) >
        (uint64_t)ticket->deadline_ms * MB_US_PER_MS) {
        return MB_KIND_DEADLINE_NOT_RUN;
    }
    if (!acquire_in_flight(&service_load->class_load, ticket->request_class,
                           limit, now_ms)) {
        return MB_KIND_OVERLOAD;
    }
    if (!acquire_in_flight(&admission->class_load, ticket->request_class,
                           admission->in_flight_limit, now_ms)) {
        release_in_flight(&service_load->class_load, ticket->request_class);
        return MB_KIND_OVERLOAD;
    }
    return MB_KIND_COUNT;
}

/* Admits a request and fills in its ticket, or returns the kind of its
   refusal; MB_KIND_COUNT means admitted. */
mb_kind_t
mb_admission_admit(mb_admission_t *admission, mb_str_t service,
                   mb_class_t requested_class, uint32_t requested_deadline_ms,
                   mb_ticket_t *ticket)
{
    if (!fill_ticket(admission, service, requested_class,
                     requested_deadline_ms, ticket)) {
        return MB_KIND_NOT_FOUND;
    }
    mb_kind_t kind = acquire_limits(admission, ticket);
    if (kind != MB_KIND_COUNT) {
        mb_service_load_unref(ticket->service_load);
        ticket->service_load = NULL;
        return kind;
    }
    uint64_t tokens = mb_atomic_load(&admission->retry_tokens);
    if (tokens < RETRY_TOKENS_MAX) {
        (void)mb_atomic_cas(&admission->retry_tokens, tokens, tokens + 1);
    }
    return MB_KIND_COUNT;
}

/* Releases a ticket once the client has been answered. A latency of 0 us is
   not taken as a sample. */
void
mb_admission_release(mb_admission_t *admission, mb_ticket_t *ticket,
                     uint64_t latency_us)
{
    mb_service_load_t *service_load = ticket->service_load;
    if (latency_us > 0) {
        uint64_t before = mb_atomic_load(&service_load->latency_us);
        uint64_t next = before == 0 ? latency_us
                                    : before - (before >> LATENCY_SHIFT) +
                                          (latency_us >> LATENCY_SHIFT);
        (void)mb_atomic_cas(&service_load->latency_us, before, next);
    }
    release_in_flight(&service_load->class_load, ticket->request_class);
    release_in_flight(&admission->class_load, ticket->request_class);
    mb_service_load_unref(service_load);
    ticket->service_load = NULL;
}

/* Takes one retry from the budget; false when the budget is used up. */
bool
mb_admission_spend_retry(mb_admission_t *admission)
{
    uint64_t tokens = mb_atomic_load(&admission->retry_tokens);
#ifdef MB_MUTANT_RETRY_WITHOUT_BUDGET
    return tokens < UINT64_MAX;
#endif
    while (tokens >= RETRY_COST) {
        if (mb_atomic_cas(&admission->retry_tokens, tokens,
                          tokens - RETRY_COST)) {
            return true;
        }
        tokens = mb_atomic_load(&admission->retry_tokens);
    }
    return false;
}
