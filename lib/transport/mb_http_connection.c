#include "mb_http_connection.h"

#include <glib.h>
#include <malloc.h>
#include <sys/socket.h>

#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_error_json.h"

/* Intervals of the sweep in calm and after something was refused, in
   milliseconds. */
#define SWEEP_CALM_MS 1000u
#define SWEEP_SHORT_MS 100u
/* Time without progress after which a client is checked for having left, in
   milliseconds. */
#define LEFT_CHECK_MS 1000u
/* Interval of the log line about limited clients, in milliseconds. */
#define LOG_INTERVAL_MS 10000u
/* Maximum number of connections that one sweep closes to make room: each takes
   a search through all connections under the lock. */
#define EVICTIONS_MAX 32
/* Maximum number of bytes that are read and dropped after a refusal: what the
   client has sent before it learns of the refusal. */
#define DROPPED_MAX (1024u * 1024u)
/* Freed memory is returned to the system when the bytes drawn are this much
   less than their peak, at most once in TRIM_INTERVAL_MS. */
#define TRIM_BYTES (16u * 1024u * 1024u)
#define TRIM_INTERVAL_MS 2000u

/* Names of the counters of limited clients. */
static const struct {
    const char *name;
    const char *help;
} metric_names[MB_INTAKE_REASON_COUNT] = {
    [MB_INTAKE_TOO_LARGE] = {"mb_http_refused_too_large_total",
                             "Requests refused as larger than allowed"},
    [MB_INTAKE_SLOW_HEAD] = {"mb_http_refused_slow_head_total",
                             "Requests refused as their headers took too "
                             "long"},
    [MB_INTAKE_STALLED] = {"mb_http_refused_stalled_total",
                           "Requests refused as their body stalled"},
    [MB_INTAKE_SLOW_REQUEST] = {"mb_http_refused_slow_total",
                                "Requests refused as they took too long"},
    [MB_INTAKE_EXHAUSTED] = {"mb_http_refused_exhausted_total",
                             "Requests refused for lack of memory"},
    [MB_INTAKE_EVICTED] = {"mb_http_closed_evicted_total",
                           "Connections closed to make room"},
    [MB_INTAKE_NO_CONNECTION] = {"mb_http_closed_no_connection_total",
                                 "Connections refused for lack of room"},
    [MB_INTAKE_IDLE_TOO_LONG] = {"mb_http_closed_idle_total",
                                 "Connections closed without a request"},
    [MB_INTAKE_UNREAD] = {"mb_http_closed_unread_total",
                          "Connections closed with an unread response"},
};

/* Registers the metrics. */
void
mb_http_metrics_add(mb_http_metrics_t *metrics, mb_counters_t *counters)
{
    metrics->bytes =
        mb_counters_add(counters, MB_METRIC_GAUGE, "mb_http_buffered_bytes",
                        "Bytes held for connections and their requests");
    metrics->connections =
        mb_counters_add(counters, MB_METRIC_GAUGE, "mb_http_connections",
                        "Open connections of HTTP clients");
    for (int i = 0; i < MB_INTAKE_REASON_COUNT; i++) {
        metrics->limited[i] =
            metric_names[i].name == NULL
                ? NULL
                : mb_counters_add(counters, MB_METRIC_COUNTER,
                                  metric_names[i].name, metric_names[i].help);
    }
}

/* Initializes an empty registry; see the header. */
void
mb_http_registry_init(mb_http_registry_t *registry,
                      const mb_intake_limits_t *limits, const char *name,
                      const mb_log_t *log, const mb_http_metrics_t *metrics)
{
    *registry = (mb_http_registry_t){.clock = mb_clock_monotonic(),
                                     .log = log != NULL ? *log : mb_log_null(),
                                     .name = name,
                                     .metrics = metrics};
    mb_intake_init(&registry->intake, limits);
    (void)pthread_mutex_init(&registry->lock, NULL);
}

/* Counts a refused request or a closed connection. */
static void
count_limited(mb_http_registry_t *registry, mb_intake_reason_t reason)
{
    (void)mb_atomic_add(&registry->limited[reason], 1);
    if (registry->metrics != NULL &&
        registry->metrics->limited[reason] != NULL) {
        mb_counter_add(registry->metrics->limited[reason], 1);
    }
}

/* Returns the state of a connection for a decision. */
static mb_intake_holder_t
observe(const mb_http_connection_t *connection)
{
    return (mb_intake_holder_t){
        .phase = (mb_intake_phase_t)mb_atomic_load(&connection->phase),
        .bytes = mb_atomic_load(&connection->bytes),
        .since_ms = mb_atomic_load(&connection->since_ms),
        .progress_ms = mb_atomic_load(&connection->progress_ms)};
}

/* Writes the response of a refusal to the socket, without waiting. The HTTP
   library can't respond in the middle of a body. */
static void
send_refusal(const mb_http_connection_t *connection, mb_intake_reason_t reason)
{
    static const char *const lines[] = {"408 Request Timeout",
                                        "413 Content Too Large",
                                        "503 Service Unavailable"};
    uint32_t status = mb_intake_status(reason);
    mb_kind_t kind = status == 413 ? MB_KIND_TOO_LARGE : MB_KIND_UNAVAILABLE;
    MB_AUTO_BUF mb_buf_t body = {0};
    MB_AUTO_BUF mb_buf_t response = {0};
    mb_error_json_write(&body, kind,
                        mb_str_from_cstr(mb_intake_reason_name(reason)));
    mb_buf_printf(&response,
                  "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
                  "X-Magnoliabarrow-Run: no\r\nConnection: close\r\n"
                  "Content-Length: %zu\r\n",
                  lines[status == 408   ? 0
                        : status == 413 ? 1
                                        : 2],
                  body.len);
    if (status == 503) {
        mb_buf_printf(
            &response, "Retry-After: %" G_GUINT64_FORMAT "\r\n",
            mb_atomic_load(&connection->registry->intake.retry_after_s));
    }
    mb_buf_append_cstr(&response, "\r\n");
    mb_buf_append(&response, mb_buf_view(&body));
    (void)send(connection->fd, response.data, response.len,
               MSG_DONTWAIT | MSG_NOSIGNAL);
}

/* Closes a connection if it is still in the phase of the decision. The server
   thread notices the end of the socket and frees the connection. The lock of
   the registry is held, so that the socket is not closed meanwhile. */
static bool
cut(mb_http_connection_t *connection, mb_intake_phase_t phase,
    mb_intake_reason_t reason)
{
    struct linger reset = {.l_onoff = 1, .l_linger = 0};
    if (!mb_http_connection_enter(connection, phase, MB_INTAKE_CLOSED)) {
        return false;
    }
    if (mb_intake_status(reason) != 0 &&
        (phase == MB_INTAKE_HEAD || phase == MB_INTAKE_BODY)) {
        send_refusal(connection, reason);
    }
    if (phase == MB_INTAKE_RESPONSE) {
        /* Drops what waits in the send buffer, which the client doesn't
           read. */
        (void)setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &reset,
                         sizeof(reset));
    }
    (void)shutdown(connection->fd, SHUT_RDWR);
    count_limited(connection->registry, reason);
    return true;
}

/* Closes the connection that should be closed first to make room. Returns the
   bytes that it returns, 0 if there is none. The lock is held. */
static uint64_t
evict_one(mb_http_registry_t *registry, bool for_connection, uint64_t now_ms)
{
    mb_http_connection_t *worst = NULL;
    mb_intake_holder_t worst_holder = {0};
    uint64_t worst_rank = 0;
    for (mb_http_connection_t *connection = registry->first;
         connection != NULL; connection = connection->next) {
        mb_intake_holder_t holder = observe(connection);
        uint64_t rank = mb_intake_rank(&holder, for_connection, now_ms);
        if (rank > worst_rank) {
            worst_rank = rank;
            worst = connection;
            worst_holder = holder;
        }
    }
    return worst != NULL && cut(worst, worst_holder.phase, MB_INTAKE_EVICTED)
               ? worst_holder.bytes
               : 0;
}

/* Closes connections after requests were refused for lack of room. Returns
   whether there is room again; otherwise the next sweep goes on, when others
   have made no progress for long enough. The lock is held. */
static bool
make_room(mb_http_registry_t *registry, uint64_t now_ms, uint64_t freed)
{
    const mb_intake_t *intake = &registry->intake;
    uint64_t closed = 0;
    bool crowded = mb_intake_is_crowded(intake, closed);
    while (crowded || mb_intake_is_short(intake, freed)) {
        uint64_t bytes =
            closed < EVICTIONS_MAX ? evict_one(registry, crowded, now_ms) : 0;
        if (bytes == 0) {
            return false;
        }
        freed += bytes;
        closed++;
        crowded = mb_intake_is_crowded(intake, closed);
    }
    return true;
}

/* Returns whether a client has closed its connection in the middle of a
   request. libmicrohttpd 0.9.75 does not notice if the end arrives together
   with the last data: it reads less than it asked for, and waits for another
   event. */
static bool
has_left(const mb_http_connection_t *connection,
         const mb_intake_holder_t *holder, uint64_t now_ms)
{
    char byte;
    return (holder->phase == MB_INTAKE_HEAD ||
            holder->phase == MB_INTAKE_BODY) &&
           now_ms >= holder->progress_ms + LEFT_CHECK_MS &&
           recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Closes the connections that exceed their limits of time, and updates the
   forecast. Returns the bytes that they return. The lock is held. */
static uint64_t
cut_overdue(mb_http_registry_t *registry, uint64_t now_ms)
{
    mb_intake_pressure_t pressure = mb_intake_pressure(&registry->intake);
    mb_intake_forecast_t forecast = {0};
    uint64_t freed = 0;
    for (mb_http_connection_t *connection = registry->first;
         connection != NULL; connection = connection->next) {
        mb_intake_holder_t holder = observe(connection);
        mb_intake_reason_t reason =
            has_left(connection, &holder, now_ms)
                ? MB_INTAKE_GONE
                : mb_intake_judge(&registry->intake, &holder, &pressure,
                                  now_ms);
        mb_intake_forecast_add(&forecast, &holder, now_ms);
        if (reason != MB_INTAKE_ALLOWED &&
            cut(connection, holder.phase, reason)) {
            freed += holder.bytes;
        }
    }
    mb_intake_forecast_apply(&forecast, &registry->intake);
    return freed;
}

/* Logs what was limited since the latest line, if anything was. */
static void
log_limited(mb_http_registry_t *registry, uint64_t now_ms)
{
    MB_AUTO_BUF mb_buf_t text = {0};
    if (now_ms < registry->logged_ms + LOG_INTERVAL_MS) {
        return;
    }
    for (int i = 0; i < MB_INTAKE_REASON_COUNT; i++) {
        uint64_t count = mb_atomic_load(&registry->limited[i]);
        if (metric_names[i].name != NULL && count != registry->logged[i]) {
            mb_buf_printf(&text, " %s=%" G_GUINT64_FORMAT,
                          mb_intake_reason_name((mb_intake_reason_t)i),
                          count - registry->logged[i]);
            registry->logged[i] = count;
        }
    }
    if (text.len == 0) {
        return;
    }
    registry->logged_ms = now_ms;
    mb_log_notice(&registry->log,
                  "clients limited listener=%s buffered_kb=%" G_GUINT64_FORMAT
                  " connections=%" G_GUINT64_FORMAT
                  " retry_after_s=%" G_GUINT64_FORMAT "%.*s",
                  registry->name,
                  mb_atomic_load(&registry->intake.bytes) / 1024,
                  mb_atomic_load(&registry->intake.connections),
                  mb_atomic_load(&registry->intake.retry_after_s),
                  MB_STR_ARG(mb_buf_view(&text)));
}

/* Adds the change of an amount to a gauge that several servers share. */
static void
report(mb_metric_t *gauge, uint64_t amount, uint64_t *reported)
{
    mb_counter_add(gauge, amount - *reported);
    *reported = amount;
}

/* Updates the gauges. */
static void
report_gauges(mb_http_registry_t *registry)
{
    const mb_http_metrics_t *metrics = registry->metrics;
    if (metrics != NULL) {
        report(metrics->bytes, mb_atomic_load(&registry->intake.bytes),
               &registry->reported_bytes);
        report(metrics->connections,
               mb_atomic_load(&registry->intake.connections),
               &registry->reported_connections);
    }
}

/* Returns freed memory to the system after a crowd: the allocator keeps it
   otherwise. */
static void
trim_memory(mb_http_registry_t *registry, uint64_t now_ms)
{
    uint64_t bytes = mb_atomic_load(&registry->intake.bytes);
    uint64_t peak = mb_intake_take_peak(&registry->intake);
    registry->peak = MAX(registry->peak, peak);
    if (registry->peak < bytes + TRIM_BYTES ||
        now_ms < registry->trimmed_ms + TRIM_INTERVAL_MS) {
        return;
    }
    registry->peak = bytes;
    registry->trimmed_ms = now_ms;
#ifndef MB_MUTANT_INTAKE_MEMORY_KEPT
    (void)malloc_trim(0);
#endif
}

/* Enforces the limits; see the header. */
void
mb_http_registry_sweep(mb_http_registry_t *registry)
{
    mb_intake_t *intake = &registry->intake;
    uint64_t now_ms = mb_clock_ms(&registry->clock);
    bool exhausted = mb_atomic_load(&intake->exhausted) != 0;
    if (now_ms <
        registry->swept_ms + (exhausted ? SWEEP_SHORT_MS : SWEEP_CALM_MS)) {
        return;
    }
    registry->swept_ms = now_ms;
    mb_atomic_store(&intake->exhausted, 0);
    (void)pthread_mutex_lock(&registry->lock);
    uint64_t freed = cut_overdue(registry, now_ms);
    if (exhausted && !make_room(registry, now_ms, freed)) {
        mb_atomic_store(&intake->exhausted, 1);
    }
    (void)pthread_mutex_unlock(&registry->lock);
    log_limited(registry, now_ms);
    report_gauges(registry);
    trim_memory(registry, now_ms);
}

/* Tells whether another connection may be accepted; see the header. */
bool
mb_http_registry_admit(mb_http_registry_t *registry)
{
    if (mb_intake_admits(&registry->intake, MB_INTAKE_CONNECTION_BYTES)) {
        return true;
    }
    (void)pthread_mutex_lock(&registry->lock);
    uint64_t now_ms = mb_clock_ms(&registry->clock);
    /* Idle connections alone can hold all bytes. They are closed if no other
       connection can be, also where the limit of connections is far. */
    bool crowded = mb_intake_is_crowded(&registry->intake, 0);
    bool evicted = evict_one(registry, crowded, now_ms) > 0 ||
                   (!crowded && evict_one(registry, true, now_ms) > 0);
    (void)pthread_mutex_unlock(&registry->lock);
    if (!evicted) {
        count_limited(registry, MB_INTAKE_NO_CONNECTION);
    }
    return evicted;
}

/* Creates the state of an accepted connection. It is counted in any case: it
   was admitted before, possibly in place of one that is being closed. */
mb_http_connection_t *
mb_http_connection_new(mb_http_registry_t *registry, int fd)
{
    mb_http_connection_t *connection = g_new0(mb_http_connection_t, 1);
    uint64_t now_ms = mb_clock_ms(&registry->clock);
    connection->registry = registry;
    connection->fd = fd;
    connection->bytes = MB_INTAKE_CONNECTION_BYTES;
    connection->since_ms = now_ms;
    connection->progress_ms = now_ms;
    mb_intake_open(&registry->intake, MB_INTAKE_CONNECTION_BYTES);
    (void)pthread_mutex_lock(&registry->lock);
    connection->next = registry->first;
    if (registry->first != NULL) {
        registry->first->previous = connection;
    }
    registry->first = connection;
    (void)pthread_mutex_unlock(&registry->lock);
    return connection;
}

/* Frees the state of a connection; see the header. */
void
mb_http_connection_free(mb_http_connection_t *connection)
{
    mb_http_registry_t *registry = connection->registry;
    (void)pthread_mutex_lock(&registry->lock);
    if (connection->previous != NULL) {
        connection->previous->next = connection->next;
    }
    else {
        registry->first = connection->next;
    }
    if (connection->next != NULL) {
        connection->next->previous = connection->previous;
    }
    (void)pthread_mutex_unlock(&registry->lock);
    mb_intake_close(&registry->intake, mb_atomic_load(&connection->bytes));
    g_free(connection);
}

/* Changes the phase; see the header. Each phase that waits for the client
   starts its times anew. */
bool
mb_http_connection_enter(mb_http_connection_t *connection,
                         mb_intake_phase_t from, mb_intake_phase_t to)
{
    uint64_t now_ms = mb_clock_ms(&connection->registry->clock);
    if (mb_atomic_load(&connection->phase) != (uint64_t)from) {
        return false;
    }
    if (to != MB_INTAKE_BODY && to != MB_INTAKE_CLOSED) {
        mb_atomic_store(&connection->since_ms, now_ms);
    }
    mb_atomic_store(&connection->progress_ms, now_ms);
    return mb_atomic_cas(&connection->phase, (uint64_t)from, (uint64_t)to);
}

/* Notes that a part of a request has arrived. */
void
mb_http_connection_note_progress(mb_http_connection_t *connection)
{
    mb_atomic_store(&connection->progress_ms,
                    mb_clock_ms(&connection->registry->clock));
}

/* Draws bytes for the body of a request. */
bool
mb_http_connection_draw(mb_http_connection_t *connection, uint64_t bytes)
{
    uint64_t held = mb_atomic_load(&connection->bytes);
    if (!mb_intake_draw(&connection->registry->intake, held, bytes)) {
        return false;
    }
    mb_atomic_store(&connection->bytes, held + bytes);
    return true;
}

/* Replaces the bytes drawn; see the header. */
void
mb_http_connection_hold(mb_http_connection_t *connection, uint64_t bytes)
{
    uint64_t held = mb_atomic_load(&connection->bytes);
    uint64_t wanted = MB_INTAKE_CONNECTION_BYTES + bytes;
    mb_intake_charge(&connection->registry->intake, wanted);
    mb_intake_release(&connection->registry->intake, held);
    mb_atomic_store(&connection->bytes, wanted);
}

/* Refuses the request that is being received; see the header. */
void
mb_http_connection_refuse(mb_http_connection_t *connection,
                          mb_intake_reason_t reason)
{
    if (!mb_http_connection_enter(connection, MB_INTAKE_BODY,
                                  MB_INTAKE_REFUSED)) {
        return;
    }
    mb_http_connection_hold(connection, 0);
    send_refusal(connection, reason);
    (void)shutdown(connection->fd, SHUT_WR);
    count_limited(connection->registry, reason);
}

/* Counts bytes that arrive after a refusal; see the header. */
bool
mb_http_connection_drop(mb_http_connection_t *connection, uint64_t bytes)
{
    connection->dropped += bytes;
    return connection->dropped <= DROPPED_MAX &&
           mb_atomic_load(&connection->phase) == MB_INTAKE_REFUSED;
}
