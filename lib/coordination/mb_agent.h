/* The agent beside one worker: carries out the orders of the fleet's owner,
   keeps the worker's lease within what the owner granted, and reports what
   runs and ends. It obeys the highest token it has seen. Used on one thread;
   the clock, the worker and the owner are callbacks. */
#ifndef MB_AGENT_H
#define MB_AGENT_H

#include "mb_clock.h"
#include "mb_headroom.h"
#include "mb_executor.h"
#include "mb_log.h"
#include "mb_throttle.h"

/* How often a report is sent if nothing happens, in milliseconds. */
#define MB_AGENT_REPORT_INTERVAL_MS 300u
/* How often a report lists everything, in milliseconds. */
#define MB_AGENT_COMPLETE_REPORT_INTERVAL_MS 500u
/* How long a list waits for an end, and the least time between two lists, in
   milliseconds. */
#define MB_AGENT_LIST_WAIT_MS 150u
#define MB_AGENT_LIST_GAP_MS 20u
/* Time-outs of calls to the worker on the same machine, in milliseconds. */
#define MB_AGENT_CALL_TIMEOUT_MS 500u
/* Pause before an unanswered call is repeated, in milliseconds. */
#define MB_AGENT_RETRY_DELAY_MS 150u
/* Age of the report that an order answers, above which its starts are
   refused, in milliseconds: the order was held up on its way. */
#define MB_AGENT_ORDER_AGE_MAX_MS 1500u
/* A worker without an answer for this long gets no starts and no longer
   lease, in milliseconds. */
#define MB_AGENT_WORKER_TIMEOUT_MS 1200u
/* Time after which a worker that has not been listed, since the agent or the
   worker began, holds no run that is not known, in milliseconds: longer than
   any lease that an earlier agent may have granted. */
#define MB_AGENT_UNLISTED_MAX_MS 6000u
/* Time after the departure of a worker until its runs have ended, in
   milliseconds. */
#define MB_AGENT_DEPARTURE_GRACE_MS 300u
/* Reports whose time of sending is remembered. */
#define MB_AGENT_REPORT_TIMES_MAX 64u

typedef struct mb_agent_callbacks {
    /* Sends a report to the owner; without a connection it is dropped. */
    void (*report)(void *context, const mb_report_t *report);
    void *context;
} mb_agent_callbacks_t;

typedef struct mb_agent {
    mb_agent_callbacks_t callbacks;
    mb_executor_t executor;
    mb_clock_t clock;
    mb_log_t log;
    /* The worker. */
    mb_worker_info_t info; /* text owned by `text` */
    mb_buf_t text[4 + MB_WORKER_LABELS_MAX];
    uint64_t heartbeat_sequence; /* sequence of the latest one */
    bool departed;               /* it said that it leaves */
    uint64_t departed_us;
    uint64_t unlisted_us; /* since when it is not known what it runs */
    bool has_clock;
    uint64_t worker_clock_ms; /* of the worker, at `worker_clock_read_us` of
                                 this process */
    uint64_t worker_clock_read_us;
    uint64_t last_list_us; /* latest list */
    uint64_t lease_end_us; /* latest end of the lease that was sent */
    GPtrArray *runs;       /* of the worker, see mb_agent.c */
    GArray *ends;          /* mb_report_end_t with owned text */
    uint64_t last_end;     /* highest number listed */
    uint64_t acknowledged;
    bool list_pending;
    uint64_t list_start_us;
    uint64_t list_due_us;
    uint64_t generation; /* rises when all runs are given up at once */
    mb_throttle_t throttle;
    /* The owner. */
    uint64_t token;
    bool connected;
    uint64_t grant_end_us; /* until then the worker's lease may last */
    uint64_t order_sequence;
    uint64_t report_sequence;
    uint64_t report_sent_us[MB_AGENT_REPORT_TIMES_MAX];
    uint64_t last_report_us;
    uint64_t last_complete_us;
    uint64_t reported_end; /* ends up to here were reported */
    bool report_due;
    bool complete_due;
    bool draining;
    mb_report_t report; /* pending refusals, and scratch memory */
    uint64_t open_calls;
} mb_agent_t;

void mb_agent_init(mb_agent_t *agent, const mb_agent_callbacks_t *callbacks,
                   const mb_executor_t *executor, const mb_clock_t *clock,
                   const mb_log_t *log);
void mb_agent_finish(mb_agent_t *agent);

/* The worker's own calls. */
void mb_agent_heartbeat(mb_agent_t *agent, const mb_worker_info_t *info,
                        uint64_t sequence);
void mb_agent_deregister(mb_agent_t *agent, mb_str_t name);

/* The owner. mb_agent_connected returns false for a token older than one
   that was seen; the connection must then be closed. */
bool mb_agent_connected(mb_agent_t *agent, uint64_t token);
void mb_agent_disconnected(mb_agent_t *agent);
void mb_agent_order(mb_agent_t *agent, const mb_order_t *order);
void mb_agent_drain(mb_agent_t *agent);

/* Does what is due with time, and sends reports. Called often and after
   events. */
void mb_agent_run(mb_agent_t *agent);

#endif
