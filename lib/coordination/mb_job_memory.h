/* Decides which jobs are accepted by the memory that they take in every
   scheduler. All schedulers hold all jobs of the log, so what is accepted must
   fit into the one with the least memory. Each publishes its limit in the log,
   as a record of its own.

   A scheduler knows late what others have accepted. It therefore accepts at
   most its share of what is left, by the number of schedulers, in the time
   after which their jobs have certainly been read. A job that is larger than
   the share is reserved first: the scheduler publishes its weight, and accepts
   it after reading that record back, because by then it knows of every earlier
   reservation, and the others of its own. As decisions may still overlap, a
   scheduler can hold twice the limit. Not thread-safe. */
#ifndef MB_JOB_MEMORY_H
#define MB_JOB_MEMORY_H

#include <glib.h>

#include "mb_clock.h"
#include "mb_dag.h"
#include "mb_str.h"

/* Interval at which a scheduler publishes its record, in milliseconds, and
   the age from which on the record of another one is ignored. */
#define MB_JOB_MEMORY_PUBLISH_INTERVAL_MS 60000u
#define MB_JOB_MEMORY_PEER_TIMEOUT_MS 200000u
/* Time after which what a scheduler has accepted was read by all, in
   milliseconds; also the time for which a reservation counts. */
#define MB_JOB_MEMORY_OVERLAP_MS 3000u

/* What a scheduler publishes. */
typedef struct mb_job_memory_record {
    uint64_t bytes_max;      /* that the jobs may take there */
    uint64_t reserved_bytes; /* of a job that it is about to accept; 0: none */
} mb_job_memory_record_t;

/* A large job that is about to be accepted here. */
typedef struct mb_job_memory_reservation {
    mb_dag_id_t id;
    uint64_t bytes; /* 0: there is none */
    uint64_t since_us;
    bool confirmed; /* its record was read back */
} mb_job_memory_reservation_t;

typedef struct mb_job_memory {
    mb_clock_t clock;
    mb_buf_t name;      /* of this scheduler */
    uint64_t bytes_max; /* that the jobs may take here; 0: no limit */
    GHashTable *peers;  /* of the other schedulers, by name */
    GQueue recent;      /* accepted here within the overlap, oldest first */
    mb_job_memory_reservation_t reservation;
} mb_job_memory_t;

typedef enum mb_job_memory_verdict {
    MB_JOB_MEMORY_FITS,
    MB_JOB_MEMORY_FULL,
    MB_JOB_MEMORY_RESERVE, /* fits if it is reserved first */
    MB_JOB_MEMORY_WAIT     /* for a reservation, its own or another one */
} mb_job_memory_verdict_t;

/* `memory_bytes` is the memory of the process; 0: no limit. */
void mb_job_memory_init(mb_job_memory_t *memory, mb_str_t name,
                        uint64_t memory_bytes, const mb_clock_t *clock);
void mb_job_memory_finish(mb_job_memory_t *memory);

/* Applies the record of a scheduler, which may be this one, or its removal if
   `record` is NULL. */
void mb_job_memory_read(mb_job_memory_t *memory, mb_str_t name,
                        const mb_job_memory_record_t *record);
/* Returns the record to publish. */
mb_job_memory_record_t mb_job_memory_record(const mb_job_memory_t *memory);
/* Calls `visit` for each record that is ignored because of its age. */
void mb_job_memory_visit_old(const mb_job_memory_t *memory,
                             void (*visit)(void *context, mb_str_t name),
                             void *context);

/* Decides about a job of `weight` bytes. `table` has the jobs that are known,
   and `held_bytes` is the weight of these and of others that are held. */
mb_job_memory_verdict_t mb_job_memory_judge(mb_job_memory_t *memory,
                                            const mb_dag_table_t *table,
                                            uint64_t held_bytes,
                                            mb_dag_id_t id, uint64_t weight);
/* Notes that a job was accepted. */
void mb_job_memory_admitted(mb_job_memory_t *memory, mb_dag_id_t id,
                            uint64_t weight);
/* Begins a reservation, which the caller then publishes. */
void mb_job_memory_reserve(mb_job_memory_t *memory, mb_dag_id_t id,
                           uint64_t weight);
/* Ends the reservation if its job is known now or its time is over. Returns
   true if the caller is to publish that. */
bool mb_job_memory_end_reservation(mb_job_memory_t *memory,
                                   const mb_dag_table_t *table);

/* Returns what the jobs may take in every scheduler, in bytes; UINT64_MAX: no
   limit. */
uint64_t mb_job_memory_limit(const mb_job_memory_t *memory);
/* Tells whether this process can't hold a job that is in the log. */
bool mb_job_memory_exceeded(const mb_job_memory_t *memory, uint64_t weight,
                            uint64_t held_bytes);

#endif
