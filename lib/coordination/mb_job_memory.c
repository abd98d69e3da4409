#include "mb_job_memory.h"

/* Divisor: the part of a process's memory that accepted jobs may take. */
#define MEMORY_SHARE 5u
/* A process can hold this multiple of its limit. */
#define HOLD_FACTOR 2u

/* What is known of another scheduler. */
typedef struct peer {
    mb_buf_t name;
    mb_job_memory_record_t record;
    uint64_t heard_us;
} peer_t;

/* A job accepted here. */
typedef struct admission {
    mb_dag_id_t id;
    uint64_t at_us;
    uint64_t weight;
    bool reserved; /* the others knew of it before */
} admission_t;

/* GDestroyNotify of `peers`. */
static void
free_peer(gpointer data)
{
    peer_t *peer = data;
    mb_buf_finish(&peer->name);
    g_free(peer);
}

/* Initializes the state of a scheduler that knows of no other; see the
   header. */
void
mb_job_memory_init(mb_job_memory_t *memory, mb_str_t name,
                   uint64_t memory_bytes, const mb_clock_t *clock)
{
    *memory = (mb_job_memory_t){.clock = *clock,
                                .bytes_max = memory_bytes / MEMORY_SHARE};
    mb_buf_set(&memory->name, name);
    memory->peers = g_hash_table_new_full(mb_buf_key_hash, mb_buf_key_equal,
                                          NULL, free_peer);
    g_queue_init(&memory->recent);
}

/* Releases the memory of the state. */
void
mb_job_memory_finish(mb_job_memory_t *memory)
{
    g_hash_table_destroy(memory->peers);
    g_queue_clear_full(&memory->recent, g_free);
    mb_buf_finish(&memory->name);
}

/* Applies the record of a scheduler; see the header. */
void
mb_job_memory_read(mb_job_memory_t *memory, mb_str_t name,
                   const mb_job_memory_record_t *record)
{
    mb_buf_t key = {(char *)name.data, name.len, 0};
    if (mb_str_equal(name, mb_buf_view(&memory->name))) {
        memory->reservation.confirmed =
            record != NULL && record->reserved_bytes != 0 &&
            record->reserved_bytes == memory->reservation.bytes;
        return;
    }
    if (record == NULL) {
        (void)g_hash_table_remove(memory->peers, &key);
        return;
    }
    peer_t *peer = g_hash_table_lookup(memory->peers, &key);
    if (peer == NULL) {
        peer = g_new0(peer_t, 1);
        mb_buf_set(&peer->name, name);
        (void)g_hash_table_insert(memory->peers, &peer->name, peer);
    }
    peer->record = *record;
    peer->heard_us = mb_clock_us(&memory->clock);
}

/* Returns the record to publish; see the header. */
mb_job_memory_record_t
mb_job_memory_record(const mb_job_memory_t *memory)
{
    return (mb_job_memory_record_t){memory->bytes_max,
                                    memory->reservation.bytes};
}

/* Tells whether less than a time has passed since a record was read. */
static bool
is_recent(const peer_t *peer, uint64_t now_us, uint64_t time_ms)
{
    return now_us < peer->heard_us + time_ms * MB_US_PER_MS;
}

/* Visits the records that are ignored; see the header. */
void
mb_job_memory_visit_old(const mb_job_memory_t *memory,
                        void (*visit)(void *context, mb_str_t name),
                        void *context)
{
    GHashTableIter iter;
    gpointer value;
    uint64_t now_us = mb_clock_us(&memory->clock);
    g_hash_table_iter_init(&iter, memory->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const peer_t *peer = value;
        if (!is_recent(peer, now_us, MB_JOB_MEMORY_PEER_TIMEOUT_MS)) {
            visit(context, mb_buf_view(&peer->name));
        }
    }
}

/* What the other schedulers leave to this one. */
typedef struct view {
    uint64_t bytes_max;      /* the least limit */
    uint64_t schedulers;     /* their number, with this one */
    uint64_t reserved_bytes; /* by the others */
} view_t;

/* Summarizes the records of the other schedulers. */
static view_t
get_view(const mb_job_memory_t *memory)
{
    GHashTableIter iter;
    gpointer value;
    uint64_t now_us = mb_clock_us(&memory->clock);
    view_t view = {memory->bytes_max == 0 ? UINT64_MAX : memory->bytes_max, 1,
                   0};
    g_hash_table_iter_init(&iter, memory->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const peer_t *peer = value;
        if (!is_recent(peer, now_us, MB_JOB_MEMORY_PEER_TIMEOUT_MS)) {
            continue;
        }
        view.schedulers++;
        if (peer->record.bytes_max != 0) {
            view.bytes_max = MIN(view.bytes_max, peer->record.bytes_max);
        }
        if (is_recent(peer, now_us, MB_JOB_MEMORY_OVERLAP_MS)) {
            view.reserved_bytes += peer->record.reserved_bytes;
        }
    }
    return view;
}

/* What was accepted here lately. */
typedef struct admitted {
    uint64_t unread_bytes;   /* of jobs that are not in the table yet */
    uint64_t unshared_bytes; /* of jobs that the others may not know of */
} admitted_t;

/* Forgets what was accepted here before the overlap, and sums up the rest. */
static admitted_t
get_admitted(mb_job_memory_t *memory, const mb_dag_table_t *table)
{
    uint64_t now_us = mb_clock_us(&memory->clock);
    uint64_t overlap_us = MB_JOB_MEMORY_OVERLAP_MS * (uint64_t)MB_US_PER_MS;
    admitted_t sums = {0};
    admission_t *oldest;
    while ((oldest = g_queue_peek_head(&memory->recent)) != NULL &&
           now_us >= oldest->at_us + overlap_us) {
        g_free(g_queue_pop_head(&memory->recent));
    }
    for (const GList *link = memory->recent.head; link != NULL;
         link = link->next) {
        const admission_t *admission = link->data;
        if (mb_dag_find(table, admission->id) == NULL) {
            sums.unread_bytes += admission->weight;
        }
        if (!admission->reserved) {
            sums.unshared_bytes += admission->weight;
        }
    }
    return sums;
}

/* Tells whether the present reservation is that of a job. */
static bool
is_reserved(const mb_job_memory_t *memory, mb_dag_id_t id)
{
    return memory->reservation.bytes != 0 &&
           mb_dag_id_equal(&memory->reservation.id, &id);
}

/* Decides about a job; see the header. */
mb_job_memory_verdict_t
mb_job_memory_judge(mb_job_memory_t *memory, const mb_dag_table_t *table,
                    uint64_t held_bytes, mb_dag_id_t id, uint64_t weight)
{
    view_t view = get_view(memory);
    admitted_t admitted = get_admitted(memory, table);
#ifdef MB_MUTANT_JOB_MEMORY_OTHERS_IGNORED
    view.bytes_max = memory->bytes_max;
#endif
#ifdef MB_MUTANT_JOB_MEMORY_SHARE_IS_ALL
    view.schedulers = 1;
#endif
    if (view.bytes_max == UINT64_MAX) {
        return MB_JOB_MEMORY_FITS;
    }
    uint64_t used = held_bytes + view.reserved_bytes + admitted.unread_bytes;
    if (used + weight > view.bytes_max) {
        return MB_JOB_MEMORY_FULL;
    }
    if (is_reserved(memory, id)) {
        return memory->reservation.confirmed ? MB_JOB_MEMORY_FITS
                                             : MB_JOB_MEMORY_WAIT;
    }
    used += memory->reservation.bytes;
    if (used + view.schedulers * (admitted.unshared_bytes + weight) <=
        view.bytes_max) {
        return MB_JOB_MEMORY_FITS;
    }
    return memory->reservation.bytes != 0 ? MB_JOB_MEMORY_WAIT
                                          : MB_JOB_MEMORY_RESERVE;
}

/* Notes that a job was accepted; see the header. */
void
mb_job_memory_admitted(mb_job_memory_t *memory, mb_dag_id_t id,
                       uint64_t weight)
{
    admission_t *admission = g_new(admission_t, 1);
    *admission = (admission_t){id, mb_clock_us(&memory->clock), weight,
                               is_reserved(memory, id)};
    g_queue_push_tail(&memory->recent, admission);
}

/* Begins a reservation; see the header. */
void
mb_job_memory_reserve(mb_job_memory_t *memory, mb_dag_id_t id, uint64_t weight)
{
    memory->reservation = (mb_job_memory_reservation_t){
        .id = id, .bytes = weight, .since_us = mb_clock_us(&memory->clock)};
}

/* Ends a reservation; see the header. */
bool
mb_job_memory_end_reservation(mb_job_memory_t *memory,
                              const mb_dag_table_t *table)
{
    mb_job_memory_reservation_t *reservation = &memory->reservation;
    uint64_t time_us = MB_JOB_MEMORY_OVERLAP_MS * (uint64_t)MB_US_PER_MS;
    if (reservation->bytes == 0) {
        return false;
    }
    bool is_over =
        mb_clock_us(&memory->clock) >= reservation->since_us + time_us;
    if (!is_over && mb_dag_find(table, reservation->id) == NULL) {
        return false;
    }
    *reservation = (mb_job_memory_reservation_t){0};
    return true;
}

/* Returns the limit; see the header. */
uint64_t
mb_job_memory_limit(const mb_job_memory_t *memory)
{
    return get_view(memory).bytes_max;
}

/* Tells whether this process can't hold a job; see the header. */
bool
mb_job_memory_exceeded(const mb_job_memory_t *memory, uint64_t weight,
                       uint64_t held_bytes)
{
    return memory->bytes_max != 0 &&
           held_bytes + weight > HOLD_FACTOR * memory->bytes_max;
}
