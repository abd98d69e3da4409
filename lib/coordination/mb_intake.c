#include "mb_intake.h"

#include <stddef.h>

#include "mb_atomic.h"

#define MILLI 1000u
#define MS_PER_S 1000u
#define BYTES_UNLIMITED UINT64_MAX
/* Part of the memory of the process that unfinished requests may hold. The
   rest is for the state of the process, 6 to 12 MB at rest, and for what
   handlers copy. On 160 MB, 100 requests of 1 MiB fit. */
#define MEMORY_NUMERATOR 3u
#define MEMORY_DENOMINATOR 4u
/* Divisor: this part of the budget is kept for small requests. */
#define SMALL_SHARE 16u
/* Divisor: this part of the descriptors, but at least DESCRIPTORS_KEPT_MIN, is
   kept for links, the log, files and the other listeners. */
#define DESCRIPTORS_KEPT_SHARE 5u
#define DESCRIPTORS_KEPT_MIN 64u
/* Least useful limits: a request of the largest size, and a few connections.
 */
#define BYTES_MIN (4u * 1024u * 1024u)
#define CONNECTIONS_MIN 16u

/* Limits of time of an exhausted budget. A link that stalls for longer is cut
   then, and the client, which has no response, repeats its request. */
static const mb_intake_times_t strict_times = {.idle_ms = 2000,
                                               .head_ms = 2000,
                                               .stall_ms = 2000,
                                               .request_ms = 10000,
                                               .response_ms = 3000};
/* Time for which a refused connection is read, so that the client gets the
   response before the connection is reset. */
#define LINGER_MS 1000u

/* Initializes an empty budget; see the header. */
void
mb_intake_init(mb_intake_t *intake, const mb_intake_limits_t *limits)
{
    *intake = (mb_intake_t){.limits = *limits, .retry_after_s = 1};
    if (intake->limits.bytes_max == 0) {
        intake->limits.bytes_max = BYTES_UNLIMITED;
    }
}

/* Returns the lower of two values. */
static uint64_t
min_of(uint64_t a, uint64_t b)
{
    return a < b ? a : b;
}

/* Derives the limits; see the header. */
bool
mb_intake_derive(mb_intake_limits_t *limits, uint64_t memory_bytes,
                 uint64_t descriptors, uint64_t bytes_setting,
                 uint64_t connections_setting)
{
    uint64_t kept = descriptors / DESCRIPTORS_KEPT_SHARE;
    kept = kept < DESCRIPTORS_KEPT_MIN ? DESCRIPTORS_KEPT_MIN : kept;
    uint64_t room = descriptors > kept ? descriptors - kept : 0;
    room -= room / (MB_INTAKE_SPARE_SHARE + 1);
    limits->bytes_max =
        bytes_setting != 0
            ? bytes_setting
            : memory_bytes / MEMORY_DENOMINATOR * MEMORY_NUMERATOR;
    room = min_of(room, limits->bytes_max / MB_INTAKE_CONNECTION_BYTES);
    limits->connections_max = min_of(connections_setting, room);
    return limits->connections_max >= CONNECTIONS_MIN &&
           limits->bytes_max >= BYTES_MIN && limits->bytes_max < memory_bytes;
}

/* Returns the bytes that connections with large requests may draw in all. */
static uint64_t
large_max(const mb_intake_t *intake)
{
    return intake->limits.bytes_max - intake->limits.bytes_max / SMALL_SHARE;
}

/* Keeps the peak of the bytes drawn. Of two threads that store a peak at the
   same time, the lower one may win. */
static void
note_peak(mb_intake_t *intake, uint64_t total)
{
    if (total > mb_atomic_load(&intake->bytes_peak)) {
        mb_atomic_store(&intake->bytes_peak, total);
    }
}

/* Draws bytes if there is room; see the header. */
bool
mb_intake_draw(mb_intake_t *intake, uint64_t held, uint64_t extra)
{
    uint64_t limit = intake->limits.bytes_max;
#ifndef MB_MUTANT_INTAKE_NOTHING_FOR_SMALL
    if (held + extra > MB_INTAKE_SMALL_BYTES) {
        limit = large_max(intake);
    }
#endif
    uint64_t before = mb_atomic_add(&intake->bytes, extra);
#ifndef MB_MUTANT_INTAKE_WITHOUT_BUDGET
    if (before + extra > limit) {
        (void)mb_atomic_sub(&intake->bytes, extra);
        mb_atomic_store(&intake->exhausted, 1);
        return false;
    }
#endif
    note_peak(intake, before + extra);
    return true;
}

/* Draws bytes that are in use already. */
void
mb_intake_charge(mb_intake_t *intake, uint64_t bytes)
{
    note_peak(intake, mb_atomic_add(&intake->bytes, bytes) + bytes);
}

/* Returns bytes to the budget. */
void
mb_intake_release(mb_intake_t *intake, uint64_t bytes)
{
    (void)mb_atomic_sub(&intake->bytes, bytes);
}

/* Returns whether there is room for another connection of `bytes`. */
bool
mb_intake_admits(mb_intake_t *intake, uint64_t bytes)
{
    if (mb_atomic_load(&intake->connections) <
            intake->limits.connections_max &&
        mb_atomic_load(&intake->bytes) + bytes <= intake->limits.bytes_max) {
        return true;
    }
    mb_atomic_store(&intake->exhausted, 1);
    return false;
}

/* Takes a connection; see the header. */
void
mb_intake_open(mb_intake_t *intake, uint64_t bytes)
{
    (void)mb_atomic_add(&intake->connections, 1);
    mb_intake_charge(intake, bytes);
}

/* Returns a connection and its bytes. */
void
mb_intake_close(mb_intake_t *intake, uint64_t bytes)
{
    (void)mb_atomic_sub(&intake->connections, 1);
    mb_intake_release(intake, bytes);
}

/* Returns the peak and begins a new one. */
uint64_t
mb_intake_take_peak(mb_intake_t *intake)
{
    uint64_t peak = mb_atomic_load(&intake->bytes_peak);
    mb_atomic_store(&intake->bytes_peak, mb_atomic_load(&intake->bytes));
    return peak;
}

/* Returns how far `used` has passed three quarters of `max`, in thousandths of
   the last quarter. */
static uint32_t
fullness(uint64_t used, uint64_t max)
{
    uint64_t start = max / 4 * 3;
    uint64_t span = max - start;
    if (used <= start) {
        return 0;
    }
    if (used >= max) {
        return MILLI;
    }
    return (uint32_t)((double)(used - start) * MILLI / (double)span);
}

/* Returns how full the budget is. */
mb_intake_pressure_t
mb_intake_pressure(const mb_intake_t *intake)
{
    mb_intake_pressure_t pressure = {
        .bytes = fullness(mb_atomic_load(&intake->bytes), large_max(intake)),
        .connections = fullness(mb_atomic_load(&intake->connections),
                                intake->limits.connections_max)};
    if (pressure.bytes < pressure.connections) {
        pressure.bytes = pressure.connections;
    }
    pressure.responses = pressure.bytes;
    if (mb_atomic_load(&intake->draining) != 0) {
        pressure.bytes = MILLI;
        pressure.connections = MILLI;
#ifdef MB_MUTANT_INTAKE_DRAIN_CUTS_RESPONSES
        pressure.responses = MILLI;
#endif
    }
    return pressure;
}

/* Returns a limit of time under a pressure, between the calm and the strict
   one. */
static uint64_t
time_limit(uint32_t calm_ms, uint32_t strict_ms, uint32_t pressure)
{
#ifdef MB_MUTANT_INTAKE_NEVER_STRICT
    pressure = 0;
#endif
#ifdef MB_MUTANT_INTAKE_ALWAYS_STRICT
    pressure = MILLI;
#endif
    if (calm_ms <= strict_ms) {
        return calm_ms;
    }
    return calm_ms - (uint64_t)(calm_ms - strict_ms) * pressure / MILLI;
}

/* Returns the milliseconds from `past_ms` to `now_ms`, 0 if it is later. */
static uint64_t
elapsed_ms(uint64_t past_ms, uint64_t now_ms)
{
    return now_ms > past_ms ? now_ms - past_ms : 0;
}

/* Returns why a connection is to be closed; see the header. */
mb_intake_reason_t
mb_intake_judge(const mb_intake_t *intake, const mb_intake_holder_t *holder,
                const mb_intake_pressure_t *pressure, uint64_t now_ms)
{
    const mb_intake_times_t *calm = &intake->limits.calm;
    const mb_intake_times_t *strict = &strict_times;
    uint64_t age_ms = elapsed_ms(holder->since_ms, now_ms);
    uint64_t stalled_ms = elapsed_ms(holder->progress_ms, now_ms);
    switch (holder->phase) {
    case MB_INTAKE_IDLE:
        return age_ms > time_limit(calm->idle_ms, strict->idle_ms,
                                   pressure->connections)
                   ? MB_INTAKE_IDLE_TOO_LONG
                   : MB_INTAKE_ALLOWED;
    case MB_INTAKE_HEAD:
        return age_ms > time_limit(calm->head_ms, strict->head_ms,
                                   pressure->bytes)
                   ? MB_INTAKE_SLOW_HEAD
                   : MB_INTAKE_ALLOWED;
    case MB_INTAKE_BODY:
#ifdef MB_MUTANT_INTAKE_RUNNING_CUT
    case MB_INTAKE_RUNNING:
#endif
        if (stalled_ms >
            time_limit(calm->stall_ms, strict->stall_ms, pressure->bytes)) {
            return MB_INTAKE_STALLED;
        }
        return age_ms > time_limit(calm->request_ms, strict->request_ms,
                                   pressure->bytes)
                   ? MB_INTAKE_SLOW_REQUEST
                   : MB_INTAKE_ALLOWED;
    case MB_INTAKE_RESPONSE:
        return age_ms > time_limit(calm->response_ms, strict->response_ms,
                                   pressure->responses)
                   ? MB_INTAKE_UNREAD
                   : MB_INTAKE_ALLOWED;
    case MB_INTAKE_REFUSED:
        return age_ms > LINGER_MS ? MB_INTAKE_LINGERED : MB_INTAKE_ALLOWED;
    default:
        return MB_INTAKE_ALLOWED;
    }
}

/* Returns how soon a connection should be closed to make room: by the time
   without progress and the bytes that it holds. The time of a response counts
   as such time, since its progress is not known. */
uint64_t
mb_intake_rank(const mb_intake_holder_t *holder, bool for_connection,
               uint64_t now_ms)
{
    uint64_t stalled_ms = elapsed_ms(holder->progress_ms, now_ms);
    if (holder->phase == MB_INTAKE_RUNNING ||
        holder->phase == MB_INTAKE_CLOSED ||
        stalled_ms < MB_INTAKE_EVICT_STALL_MS ||
        (holder->phase == MB_INTAKE_IDLE && !for_connection)) {
        return 0;
    }
    return stalled_ms * (holder->bytes / 1024 + 1);
}

/* Returns whether less than an eighth of the bytes for large requests would be
   free once `bytes` are returned. */
bool
mb_intake_is_short(const mb_intake_t *intake, uint64_t bytes)
{
    uint64_t max = large_max(intake);
    return mb_atomic_load(&intake->bytes) > max - max / 8 + bytes;
}

/* Returns whether less than a sixteenth of the connections would be free once
   `connections` are closed. */
bool
mb_intake_is_crowded(const mb_intake_t *intake, uint64_t connections)
{
    uint64_t max = intake->limits.connections_max;
    return mb_atomic_load(&intake->connections) > max - max / 16 + connections;
}

/* The statuses and names of the reasons. */
static const struct {
    const char *name;
    uint32_t status;
} reasons[MB_INTAKE_REASON_COUNT] = {
    [MB_INTAKE_ALLOWED] = {"allowed", 0},
    [MB_INTAKE_TOO_LARGE] = {"too_large", 413},
    [MB_INTAKE_SLOW_HEAD] = {"slow_head", 408},
    [MB_INTAKE_STALLED] = {"stalled", 408},
    [MB_INTAKE_SLOW_REQUEST] = {"slow_request", 408},
    [MB_INTAKE_EXHAUSTED] = {"exhausted", 503},
    [MB_INTAKE_EVICTED] = {"evicted", 503},
    [MB_INTAKE_NO_CONNECTION] = {"no_connection", 0},
    [MB_INTAKE_IDLE_TOO_LONG] = {"idle", 0},
    [MB_INTAKE_UNREAD] = {"unread", 0},
    [MB_INTAKE_LINGERED] = {"lingered", 0},
    [MB_INTAKE_GONE] = {"gone", 0},
};

/* Returns the HTTP status of a reason; see the header. */
uint32_t
mb_intake_status(mb_intake_reason_t reason)
{
    return reasons[reason].status;
}

/* Returns the name of a reason. */
const char *
mb_intake_reason_name(mb_intake_reason_t reason)
{
    return reasons[reason].name;
}

/* Adds a connection to a forecast: what has stalled is closed at once, other
   requests and responses at the latest at their strict limit. Nothing is known
   of requests that their handlers have, and idle connections stay. */
void
mb_intake_forecast_add(mb_intake_forecast_t *forecast,
                       const mb_intake_holder_t *holder, uint64_t now_ms)
{
    uint64_t age_ms = elapsed_ms(holder->since_ms, now_ms);
    uint64_t limit_ms = holder->phase == MB_INTAKE_RESPONSE
                            ? strict_times.response_ms
                            : strict_times.request_ms;
    uint64_t second = 0;
    if (holder->phase == MB_INTAKE_RUNNING ||
        holder->phase == MB_INTAKE_IDLE) {
        return;
    }
    if (mb_intake_rank(holder, false, now_ms) == 0 && age_ms < limit_ms) {
        second = (limit_ms - age_ms + MS_PER_S - 1) / MS_PER_S;
    }
    if (second < MB_INTAKE_FORECAST_S) {
        forecast->bytes_by_s[second] += holder->bytes;
    }
}

/* Stores the time to state in Retry-After; see the header. */
void
mb_intake_forecast_apply(const mb_intake_forecast_t *forecast,
                         mb_intake_t *intake)
{
    uint64_t wanted = large_max(intake) / 8;
    uint64_t freed = 0;
    uint64_t second = 0;
    while (second + 1 < MB_INTAKE_FORECAST_S) {
        freed += forecast->bytes_by_s[second];
        if (freed >= wanted) {
            break;
        }
        second++;
    }
    mb_atomic_store(&intake->retry_after_s, second + 1);
}
