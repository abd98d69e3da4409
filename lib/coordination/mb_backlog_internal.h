/* Entries of the tables of mb_backlog.c. */
#ifndef MB_BACKLOG_INTERNAL_H
#define MB_BACKLOG_INTERNAL_H

#include "mb_backlog.h"

/* A job that the forecast does not contain. */
typedef struct mb_backlog_entry {
    mb_backlog_job_t job;
    uint64_t since_us; /* when it was admitted or read */
    uint32_t appends;  /* of this process that have not failed */
    bool read;         /* it was read from the log */
} mb_backlog_entry_t;

/* A queue that has submitted lately. */
typedef struct mb_backlog_queue {
    uint64_t queue;   /* hash of its name */
    uint64_t service; /* hash of its name */
    uint64_t submitted_us;
    /* Work that its share admits, in processor milliseconds; below 0 if it has
       been used in advance. */
    double credit_ms;
    uint64_t credit_us; /* as of when */
    uint64_t rejecting; /* mask of classes of size */
} mb_backlog_queue_t;

/* Work of jobs that were rejected lately, of one service and priority. */
typedef struct mb_backlog_rejected {
    uint64_t service;
    uint32_t priority;
    double work_ms; /* processor milliseconds */
    uint64_t updated_us;
} mb_backlog_rejected_t;

#endif
