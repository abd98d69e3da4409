#include "mb_admission.h"

#include <string.h>

#include "mb_assert.h"
#include "mb_atomic.h"

/* Shares of the classes, in tenths. */
static const uint32_t weights[MB_CLASS_COUNT] = {
    [MB_CLASS_URGENT] = 5,
    [MB_CLASS_NORMAL] = 3,
    [MB_CLASS_BATCH] = 2,
};
#define WEIGHT_SUM 10u
/* A class without a request for this long lends most of its share, in
   milliseconds; a quarter stays free for its next ones. */
#define IDLE_MS 1000u
#define IDLE_DIVISOR 4u
/* A first try earns one token and a retry costs ten, so that retries stay at
   10% of the first tries beyond a burst of ten. */
#define RETRY_COST 10u
#define RETRY_TOKENS_MAX 100u
/* Weight of the newest sample in the moving average, as 1 / 8. */
#define LATENCY_SHIFT 3

/* What the writers know of one service. */
typedef struct service {
    mb_service_load_t *service_load;
    bool declared;
    uint32_t announced;
    mb_service_settings_t settings; /* the name points into the gate */
} service_t;

/* One immutable version, in the order of the names. */
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

/* Drops a reference; the last one frees the gate. */
void
mb_service_load_unref(mb_service_load_t *service_load)
{
    if (mb_atomic_sub(&service_load->references, 1) == 1) {
        mb_buf_finish(&service_load->name);
        g_free(service_load);
    }
}

/* Frees one version. */
static void
destroy_table(void *old)
{
    admission_table_t *table = old;
    for (uint32_t i = 0; i < table->count; i++) {
        mb_service_load_unref(table->rows[i].service_load);
    }
    g_free(table);
}

/* Frees what the writers know of a service. */
static void
free_service(gpointer value)
{
    service_t *service = value;
    mb_service_load_unref(service->service_load);
    g_free(service);
}

/* Hashes a name. */
static guint
hash_name(gconstpointer key)
{
    return (guint)mb_str_hash(*(const mb_str_t *)key);
}

/* Compares two names. */
static gboolean
equal_names(gconstpointer a, gconstpointer b)
{
    return mb_str_equal(*(const mb_str_t *)a, *(const mb_str_t *)b);
}

/* Starts with no service and a full budget of retries. */
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
    admission->services =
        g_hash_table_new_full(hash_name, equal_names, NULL, free_service);
    (void)pthread_mutex_init(&admission->writer_lock, NULL);
}

/* Frees the table; no thread asks any more. */
void
mb_admission_finish(mb_admission_t *admission)
{
    destroy_table(admission->table);
    g_hash_table_unref(admission->services);
    (void)pthread_mutex_destroy(&admission->writer_lock);
}

/* Orders rows by name. */
static int
compare_rows(const void *a, const void *b)
{
    const service_t *left = a;
    const service_t *right = b;
    return mb_str_compare(left->settings.name, right->settings.name);
}

/* Publishes what the writers know. The writers' lock is held. */
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

/* Finds or adds a service; NULL when there are too many. The writers' lock is
   held. */
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

/* Gives every service the default settings. The writers' lock is held. */
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

/* Takes the settings of one service. The writers' lock is held. */
static void
declare(mb_admission_t *admission, const mb_service_settings_t *settings)
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

/* Tells whether a service is neither declared nor announced any more. */
static gboolean
is_unused(gpointer key, gpointer value, gpointer context)
{
    const service_t *service = value;
    (void)key;
    (void)context;
    return !service->declared && service->announced == 0;
}

/* Replaces the settings of all declared services; from any thread. Services
   beyond MB_ADMISSION_SERVICES_MAX keep the defaults. */
void
mb_admission_set_services(mb_admission_t *admission,
                          const mb_service_settings_t *settings, size_t count)
{
    (void)pthread_mutex_lock(&admission->writer_lock);
    reset_settings(admission);
    for (size_t i = 0; i < count; i++) {
        declare(admission, &settings[i]);
    }
    (void)g_hash_table_foreach_remove(admission->services, is_unused, NULL);
    publish_table(admission);
    (void)pthread_mutex_unlock(&admission->writer_lock);
}

/* Counts a link that announces a service. Returns its gate, to be given back
   by mb_admission_withdraw, or NULL when there are too many services. */
mb_service_load_t *
mb_admission_announce(mb_admission_t *admission, mb_str_t name)
{
    (void)pthread_mutex_lock(&admission->writer_lock);
    mb_service_load_t *service_load = NULL;
    service_t *service = ensure_service(admission, name);
    if (service != NULL) {
        service_load = service->service_load;
        service->announced++;
        mb_service_load_ref(service_load);
        publish_table(admission);
    }
    (void)pthread_mutex_unlock(&admission->writer_lock);
    return service_load;
}

/* Takes back an announcement. */
void
mb_admission_withdraw(mb_admission_t *admission,
                      mb_service_load_t *service_load)
{
    (void)pthread_mutex_lock(&admission->writer_lock);
    mb_str_t name = mb_buf_view(&service_load->name);
    service_t *service = g_hash_table_lookup(admission->services, &name);
    MB_INVARIANT(service != NULL && service->announced > 0,
                 "announcement_accounting");
    service->announced--;
    if (service->announced == 0 && !service->declared) {
        (void)g_hash_table_remove(admission->services, &name);
    }
    publish_table(admission);
    (void)pthread_mutex_unlock(&admission->writer_lock);
    mb_service_load_unref(service_load);
}

/* Adds to the credits that all links of a service have. */
void
mb_service_load_add_capacity(mb_service_load_t *service_load, int64_t delta)
{
    (void)mb_atomic_add(&service_load->capacity, (uint64_t)delta);
}

/* Returns the part of a limit that belongs to a class. */
static uint64_t
share_of(mb_class_t request_class, uint64_t limit)
{
    uint64_t share = limit * weights[request_class] / WEIGHT_SUM;
    return share > 0 ? share : 1;
}

/* Returns how many places of a limit are kept free for a class. */
static uint64_t
reserved_for(const mb_class_load_t *class_load, mb_class_t request_class,
             uint64_t limit, uint64_t now_ms)
{
    uint64_t share = share_of(request_class, limit);
    uint64_t used = mb_atomic_load(&class_load->in_flight[request_class]);
    if (mb_atomic_load(&class_load->last_request_ms[request_class]) + IDLE_MS <
        now_ms) {
        share /= IDLE_DIVISOR;
    }
    return share > used ? share - used : 0;
}

/* Takes a place within a limit: a class may always use its share, and beyond
   it what the others don't need. A class that was idle may exceed the limit
   by what the others borrowed of its share. */
static bool
enter_flow(mb_class_load_t *class_load, mb_class_t request_class,
           uint64_t limit, uint64_t now_ms)
{
    uint64_t used =
        mb_atomic_add(&class_load->in_flight[request_class], 1) + 1;
    uint64_t total = used;
    mb_atomic_store(&class_load->last_request_ms[request_class], now_ms);
    if (used <= share_of(request_class, limit)) {
        return true;
    }
    for (int i = 0; i < MB_CLASS_COUNT; i++) {
        if (i != (int)request_class) {
            total += mb_atomic_load(&class_load->in_flight[i]) +
                     reserved_for(class_load, (mb_class_t)i, limit, now_ms);
        }
    }
    if (total > limit) {
        (void)mb_atomic_sub(&class_load->in_flight[request_class], 1);
        return false;
    }
    return true;
}

/* Gives a place back. */
static void
leave_flow(mb_class_load_t *class_load, mb_class_t request_class)
{
    (void)mb_atomic_sub(&class_load->in_flight[request_class], 1);
}

/* Returns how long a request that comes now is expected to wait for a credit
   and then for its response, in microseconds. */
static uint64_t
expected_us(const mb_service_load_t *service_load)
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

/* Finds a service in one version by binary search. */
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

/* Fills in a ticket from the settings in force; false for an unknown
   service. */
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

/* Takes a place of the service and one of the whole entry, or returns why
   not. */
static mb_kind_t
take_places(mb_admission_t *admission, const mb_ticket_t *ticket)
{
    mb_service_load_t *service_load = ticket->service_load;
    uint64_t now_ms = mb_clock_ms(&admission->clock);
    uint64_t limit =
        mb_atomic_load(&service_load->capacity) + ticket->queue_limit;
    if (expected_us(service_load) >
        (uint64_t)ticket->deadline_ms * MB_US_PER_MS) {
        return MB_KIND_DEADLINE_NOT_RUN;
    }
    if (!enter_flow(&service_load->class_load, ticket->request_class, limit,
                    now_ms)) {
        return MB_KIND_OVERLOAD;
    }
    if (!enter_flow(&admission->class_load, ticket->request_class,
                    admission->in_flight_limit, now_ms)) {
        leave_flow(&service_load->class_load, ticket->request_class);
        return MB_KIND_OVERLOAD;
    }
    return MB_KIND_COUNT;
}

/* Lets a request in or returns the kind of its refusal; MB_KIND_COUNT stands
   for let in. `requested_class` may make a request less urgent than its
   service, MB_CLASS_COUNT asks for nothing; a deadline of 0 ms is the
   service's. */
mb_kind_t
mb_admission_admit(mb_admission_t *admission, mb_str_t service,
                   mb_class_t requested_class, uint32_t requested_deadline_ms,
                   mb_ticket_t *ticket)
{
    if (!fill_ticket(admission, service, requested_class,
                     requested_deadline_ms, ticket)) {
        return MB_KIND_NOT_FOUND;
    }
    mb_kind_t kind = take_places(admission, ticket);
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

/* Gives a ticket back when the client is answered. A latency of 0 us is no
   sample. */
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
    leave_flow(&service_load->class_load, ticket->request_class);
    leave_flow(&admission->class_load, ticket->request_class);
    mb_service_load_unref(service_load);
    ticket->service_load = NULL;
}

/* Takes one retry off the budget; false when it is used up. */
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
