#include "mb_slots.h"

#include <stddef.h>
#include <string.h>

#include "mb_assert.h"
#include "mb_message_copy.h"

/* Retention time of the floor of a source without records, in milliseconds:
   twice the longest deadline, after which none of its requests can still be in
   transit. */
#define SOURCE_RETENTION_MS 1200000u

/* One incarnation of an entry. */
typedef struct source {
    uint64_t process;
    uint64_t incarnation;
    uint64_t floor; /* records of ids up to here may have been dropped */
    uint64_t last_seen_us;
    uint32_t records; /* number of its records */
} source_t;

typedef enum record_state {
    RECORD_WAITING,
    RECORD_RUNNING,
    RECORD_REFUSED,
    RECORD_FINISHED
} record_state_t;

/* State of one request id. */
typedef struct record {
    mb_request_id_t id;
    source_t *source;
    record_state_t state;
    mb_kind_t reason; /* when refused */
    mb_fair_queue_entry_t queue_entry;
    uint64_t ended_us;
    mb_request_copy_t *request;   /* owned; only while waiting */
    mb_response_copy_t *response; /* owned; only when finished */
    GList link;                   /* in finished_records or refused_records */
} record_t;

/* Hash function for request ids. */
static guint
request_id_hash(gconstpointer key)
{
    const mb_request_id_t *id = key;
    uint64_t hash = id->counter * UINT64_C(0x9e3779b97f4a7c15);
    hash ^= id->incarnation ^ id->process;
    return (guint)(hash ^ (hash >> 32));
}

/* Equality function for request ids. */
static gboolean
request_id_equal(gconstpointer a, gconstpointer b)
{
    return mb_request_id_equal(a, b);
}

/* Hash function for sources. */
static guint
source_hash(gconstpointer key)
{
    const source_t *source = key;
    uint64_t hash = source->incarnation ^ source->process;
    return (guint)(hash ^ (hash >> 32));
}

/* Equality function for sources. */
static gboolean
source_equal(gconstpointer a, gconstpointer b)
{
    const source_t *left = a;
    const source_t *right = b;
    return left->process == right->process &&
           left->incarnation == right->incarnation;
}

/* Frees a record and the copies in it. */
static void
free_record(gpointer value)
{
    record_t *record = value;
    g_free(record->request);
    g_free(record->response);
    g_free(record);
}

/* Initializes with all slots free and no records. */
void
mb_slots_init(mb_slots_t *slots, const mb_slots_config_t *config,
              const mb_clock_t *clock, const mb_slots_callbacks_t *callbacks)
{
    memset(slots, 0, sizeof(*slots));
    slots->config = *config;
    slots->clock = *clock;
    slots->callbacks = *callbacks;
    slots->records = g_hash_table_new_full(request_id_hash, request_id_equal,
                                           NULL, free_record);
    slots->sources =
        g_hash_table_new_full(source_hash, source_equal, NULL, g_free);
}

/* Releases all records and sources. */
void
mb_slots_finish(mb_slots_t *slots)
{
    g_hash_table_unref(slots->records);
    g_hash_table_unref(slots->sources);
}

/* Returns whether a source has no records and its retention time is over. */
static gboolean
is_stale(gpointer key, gpointer value, gpointer context)
{
    const source_t *source = value;
    const uint64_t *now_us = context;
    (void)key;
    return source->records == 0 &&
           source->last_seen_us +
                   (uint64_t)SOURCE_RETENTION_MS * MB_US_PER_MS <
               *now_us;
}

/* Finds the source that an id belongs to, or NULL. */
static source_t *
find_source(const mb_slots_t *slots, const mb_request_id_t *id)
{
    source_t key = {.process = id->process, .incarnation = id->incarnation};
    return g_hash_table_lookup(slots->sources, &key);
}

/* Finds or adds the source that an id belongs to; NULL when the table is full
   even without stale sources. */
static source_t *
ensure_source(mb_slots_t *slots, const mb_request_id_t *id)
{
    source_t *source = find_source(slots, id);
    uint64_t now_us = mb_clock_us(&slots->clock);
    if (source == NULL) {
        if (g_hash_table_size(slots->sources) >= MB_SLOTS_SOURCES_MAX) {
            (void)g_hash_table_foreach_remove(slots->sources, is_stale,
                                              &now_us);
        }
        if (g_hash_table_size(slots->sources) >= MB_SLOTS_SOURCES_MAX) {
            return NULL;
        }
        source = g_new0(source_t, 1);
        source->process = id->process;
        source->incarnation = id->incarnation;
        (void)g_hash_table_insert(slots->sources, source, source);
    }
    source->last_seen_us = now_us;
    return source;
}

/* Drops a finished or refused record and raises the floor of its source, so
   that its request is not run if it arrives again. */
static void
drop_record(mb_slots_t *slots, GQueue *queue, record_t *record)
{
    source_t *source = record->source;
    g_queue_unlink(queue, &record->link);
    if (record->response != NULL) {
        slots->response_bytes -= record->response->size;
    }
#ifndef MB_MUTANT_FLOOR_NOT_RAISED
    if (source->floor < record->id.counter) {
        source->floor = record->id.counter;
    }
#endif
    source->records--;
    (void)g_hash_table_remove(slots->records, &record->id);
}

/* Drops finished and refused records until the bounds are met: the oldest
   responses first, refusals last. */
static void
enforce_bounds(mb_slots_t *slots)
{
    while (slots->finished_records.length + slots->refused_records.length >
               slots->config.outcomes_max ||
           slots->response_bytes > slots->config.response_bytes_max) {
        GQueue *queue = slots->finished_records.length > 0
                            ? &slots->finished_records
                            : &slots->refused_records;
        drop_record(slots, queue, queue->head->data);
    }
}

/* Creates the record of an id that has none yet. */
static record_t *
add_record(mb_slots_t *slots, source_t *source, const mb_request_id_t *id)
{
    record_t *record = g_new0(record_t, 1);
    record->id = *id;
    record->source = source;
    record->link.data = record;
    source->records++;
    (void)g_hash_table_insert(slots->records, &record->id, record);
    return record;
}

/* Records that an id was not run and will not be. The record must be in no
   queue. */
static void
record_refusal(mb_slots_t *slots, record_t *record, mb_kind_t reason)
{
    record->state = RECORD_REFUSED;
    record->reason = reason;
    record->ended_us = mb_clock_us(&slots->clock);
    g_clear_pointer(&record->request, g_free);
    g_queue_push_tail_link(&slots->refused_records, &record->link);
}

/* Records a refusal and sends it to the entry. */
static void
refuse(mb_slots_t *slots, record_t *record, mb_kind_t reason)
{
    mb_request_id_t id = record->id;
    record_refusal(slots, record, reason);
    enforce_bounds(slots);
    slots->callbacks.refuse(slots->callbacks.context, &id, reason);
}

/* Returns whether the upstream can take one more request. */
static bool
has_free_slot(const mb_slots_t *slots)
{
#ifdef MB_MUTANT_SLOTS_NO_LIMIT
    return slots->active < UINT32_MAX;
#else
    return slots->active < slots->config.slots;
#endif
}

/* Takes a slot for a request and runs it. */
static void
start(mb_slots_t *slots, record_t *record, const mb_request_t *request)
{
    MB_INVARIANT(record->state == RECORD_WAITING, "request_starts_once");
    record->state = RECORD_RUNNING;
    slots->active++;
    MB_INVARIANT(slots->active <= slots->config.slots, "slots_bound");
    slots->callbacks.start(slots->callbacks.context, request);
}

/* Returns whether the grace period of a drain is over. */
static bool
is_grace_period_over(const mb_slots_t *slots)
{
#ifdef MB_MUTANT_DRAIN_WITHOUT_END
    return slots->draining && slots->drain_end_us == 0;
#else
    return slots->draining &&
           mb_clock_us(&slots->clock) >= slots->drain_end_us;
#endif
}

/* Returns the reason why a request can't be started any more, or
   MB_KIND_COUNT when it can. */
static mb_kind_t
refusal_reason(const mb_slots_t *slots, const record_t *record)
{
    if (is_grace_period_over(slots)) {
        return MB_KIND_DRAINING;
    }
#ifndef MB_MUTANT_DEADLINE_NOT_CHECKED
    if (record->queue_entry.deadline_us <= mb_clock_us(&slots->clock)) {
        return MB_KIND_DEADLINE_NOT_RUN;
    }
#endif
    return MB_KIND_COUNT;
}

/* Returns the record that contains an entry of the fair queue. */
static record_t *
record_from_queue_entry(mb_fair_queue_entry_t *queue_entry)
{
    return (record_t *)((char *)queue_entry - offsetof(record_t, queue_entry));
}

/* Starts waiting requests while slots are free, in the order of the fair queue
   of the classes, and refuses those that can't be started any more. */
static void
start_waiting(mb_slots_t *slots)
{
    while (slots->waiting.count > 0 && has_free_slot(slots)) {
        record_t *record =
            record_from_queue_entry(mb_fair_queue_pop(&slots->waiting));
        mb_kind_t reason = refusal_reason(slots, record);
        if (reason != MB_KIND_COUNT) {
            refuse(slots, record, reason);
            continue;
        }
        g_autofree mb_request_copy_t *copy = g_steal_pointer(&record->request);
        mb_request_t request;
        uint64_t left_us =
            record->queue_entry.deadline_us - mb_clock_us(&slots->clock);
        mb_request_copy_view(copy, (uint32_t)(left_us / MB_US_PER_MS),
                             &request);
        start(slots, record, &request);
    }
}

/* Returns whether `a` is more urgent than `b`: by class, then by deadline. */
static bool
is_more_urgent(const mb_fair_queue_entry_t *a, const mb_fair_queue_entry_t *b)
{
    if (a->request_class != b->request_class) {
        return a->request_class < b->request_class;
    }
    return a->deadline_us < b->deadline_us;
}

/* Queues a request until a slot is free. When the queue is full, the least
   urgent request, which may be the new one, is refused. */
static void
enqueue(mb_slots_t *slots, record_t *record, const mb_request_t *request)
{
    uint32_t limit = slots->config.queue_limit;
    mb_fair_queue_entry_t *least = mb_fair_queue_least_urgent(&slots->waiting);
    if (slots->waiting.count >= limit) {
        if (least == NULL || !is_more_urgent(&record->queue_entry, least)) {
            refuse(slots, record, MB_KIND_OVERLOAD);
            return;
        }
        mb_fair_queue_remove(&slots->waiting, least);
        refuse(slots, record_from_queue_entry(least), MB_KIND_OVERLOAD);
    }
    record->request = mb_request_copy_new(request);
    (void)mb_fair_queue_push(&slots->waiting, &record->queue_entry, limit);
}

/* Sends the recorded outcome of an id again, and its response if it has
   finished. */
static void
resend_outcome(mb_slots_t *slots, const record_t *record)
{
    void *context = slots->callbacks.context;
    if (record->state == RECORD_REFUSED) {
        slots->callbacks.report_outcome(context, &record->id,
                                        MB_OUTCOME_REFUSED);
    }
    else if (record->state == RECORD_FINISHED) {
        mb_response_t response;
        slots->callbacks.report_outcome(context, &record->id,
                                        MB_OUTCOME_FINISHED);
        mb_response_copy_view(record->response, &response);
        slots->callbacks.respond(context, &response);
    }
    else {
        slots->callbacks.report_outcome(context, &record->id,
                                        MB_OUTCOME_RUNNING);
    }
}

/* Runs, queues or refuses a request. For a known id the recorded outcome is
   sent again. An id at or below the floor of its source is never run, because
   its record may have been dropped. */
void
mb_slots_submit(mb_slots_t *slots, const mb_request_t *request)
{
    record_t *known = g_hash_table_lookup(slots->records, &request->id);
#ifdef MB_MUTANT_REQUEST_ID_RUNS_AGAIN
    if (known != NULL && known->state == RECORD_FINISHED) {
        slots->callbacks.start(slots->callbacks.context, request);
        return;
    }
#endif
    if (known != NULL) {
        resend_outcome(slots, known);
        return;
    }
    source_t *source = ensure_source(slots, &request->id);
    if (source == NULL) {
        slots->callbacks.refuse(slots->callbacks.context, &request->id,
                                MB_KIND_OVERLOAD);
        return;
    }
    if (request->id.counter <= source->floor) {
        slots->callbacks.report_outcome(slots->callbacks.context, &request->id,
                                        MB_OUTCOME_UNKNOWN);
        return;
    }
    record_t *record = add_record(slots, source, &request->id);
    record->queue_entry.request_class = request->request_class;
    record->queue_entry.deadline_us =
        mb_clock_us(&slots->clock) +
        (uint64_t)request->deadline_ms * MB_US_PER_MS;
    mb_kind_t reason = refusal_reason(slots, record);
    if (reason != MB_KIND_COUNT) {
        refuse(slots, record, reason);
    }
    else if (has_free_slot(slots)) {
        start(slots, record, request);
    }
    else {
        enqueue(slots, record, request);
    }
}

/* Finds the record of a request, which must be running. */
static record_t *
find_running(mb_slots_t *slots, const mb_request_id_t *id)
{
    record_t *record = g_hash_table_lookup(slots->records, id);
    MB_INVARIANT(record != NULL && record->state == RECORD_RUNNING,
                 "running_request_is_known");
    MB_INVARIANT(slots->active > 0, "slots_accounting");
    return record;
}

/* Frees the slot of a request whose whole response has arrived, records the
   response for outcome queries and sends it to the entry. */
void
mb_slots_request_finished(mb_slots_t *slots, const mb_response_t *response)
{
    record_t *record = find_running(slots, &response->id);
    record->state = RECORD_FINISHED;
    record->ended_us = mb_clock_us(&slots->clock);
    record->response = mb_response_copy_new(response);
    slots->response_bytes += record->response->size;
    g_queue_push_tail_link(&slots->finished_records, &record->link);
    enforce_bounds(slots);
    slots->active--;
    slots->callbacks.respond(slots->callbacks.context, response);
    start_waiting(slots);
}

/* Frees the slot of a started request that certainly did not reach the
   upstream, and refuses it. */
void
mb_slots_request_not_run(mb_slots_t *slots, const mb_request_id_t *id,
                         mb_kind_t reason)
{
    record_t *record = find_running(slots, id);
    slots->active--;
    refuse(slots, record, reason);
    start_waiting(slots);
}

/* Answers an outcome query. An id that has not been seen is recorded as
   refused, because its request may still arrive over an older link and must
   not run after this answer. */
void
mb_slots_query_outcome(mb_slots_t *slots, const mb_request_id_t *id)
{
    record_t *known = g_hash_table_lookup(slots->records, id);
    if (known != NULL) {
        resend_outcome(slots, known);
        return;
    }
    source_t *source = ensure_source(slots, id);
    mb_outcome_state_t state = MB_OUTCOME_UNKNOWN;
    if (source != NULL && id->counter > source->floor) {
#ifndef MB_MUTANT_REFUSAL_NOT_RECORDED
        record_refusal(slots, add_record(slots, source, id),
                       MB_KIND_UNAVAILABLE);
        enforce_bounds(slots);
#endif
        state = MB_OUTCOME_REFUSED;
    }
    slots->callbacks.report_outcome(slots->callbacks.context, id, state);
}

/* Drops a waiting request whose client no longer waits for the answer, and
   records it as refused; a request that has started continues. */
void
mb_slots_cancel(mb_slots_t *slots, const mb_request_id_t *id)
{
    record_t *record = g_hash_table_lookup(slots->records, id);
    if (record != NULL && record->state == RECORD_WAITING) {
        mb_fair_queue_remove(&slots->waiting, &record->queue_entry);
        record_refusal(slots, record, MB_KIND_DEADLINE_NOT_RUN);
        enforce_bounds(slots);
    }
}

/* Begins the grace period after which no request is started any more. */
void
mb_slots_drain(mb_slots_t *slots)
{
    if (!slots->draining) {
        slots->draining = true;
        slots->drain_end_us = mb_clock_us(&slots->clock) +
                              MB_SLOTS_DRAIN_GRACE_MS * MB_US_PER_MS;
    }
}

/* Drops the records of a queue whose retention time is over. */
static void
drop_expired(mb_slots_t *slots, GQueue *queue)
{
    uint64_t now_us = mb_clock_us(&slots->clock);
    while (queue->length > 0) {
        record_t *record = queue->head->data;
        if (record->ended_us + (uint64_t)MB_SLOTS_RETENTION_MS * MB_US_PER_MS >
            now_us) {
            return;
        }
        drop_record(slots, queue, record);
    }
}

/* Refuses waiting requests whose deadline has passed, or all of them after the
   grace period of a drain, and drops expired records. */
void
mb_slots_tick(mb_slots_t *slots)
{
    uint64_t now_us = mb_clock_us(&slots->clock);
    mb_fair_queue_entry_t *queue_entry;
    while ((queue_entry = is_grace_period_over(slots)
                              ? mb_fair_queue_pop(&slots->waiting)
                              : mb_fair_queue_pop_expired(&slots->waiting,
                                                          now_us)) != NULL) {
        record_t *record = record_from_queue_entry(queue_entry);
        refuse(slots, record, refusal_reason(slots, record));
    }
    drop_expired(slots, &slots->finished_records);
    drop_expired(slots, &slots->refused_records);
}

/* Splits the slots and the places in the queue into credits for the attached
   entries: one each while they last, the rest in proportion to demand + 1. The
   sum never exceeds slots + queue_limit. */
void
mb_slots_compute_credits(const mb_slots_t *slots, const uint64_t *demand,
                         uint32_t count, uint32_t *grants)
{
    uint32_t left = slots->config.slots + slots->config.queue_limit;
    uint64_t sum = 0;
    for (uint32_t i = 0; i < count; i++) {
        grants[i] = left > 0 ? 1 : 0;
        left -= grants[i];
        sum += demand[i] + 1;
    }
    uint32_t rest = left;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t more = (uint32_t)(left * (demand[i] + 1) / sum);
        grants[i] += more;
        rest -= more;
    }
    for (uint32_t i = 0; i < count && rest > 0; i++, rest--) {
        grants[i]++;
    }
}
