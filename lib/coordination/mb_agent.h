/* The agent beside one worker. It carries out the orders of the fleet's owner,
   extends the worker's lease only as far as the owner granted, and reports
   what runs on the worker and which runs have ended. It obeys only the owner
   with the highest fencing token it has seen. Used on one thread; the clock,
   the worker and the connection to the owner are callbacks. */
#ifndef MB_AGENT_H
#define MB_AGENT_H

#include "mb_clock.h"
#include "mb_executor.h"
#include "mb_headroom.h"
#include "mb_log.h"
#include "mb_throttle.h"

/* Interval between reports when nothing changes, in milliseconds. */
#define MB_AGENT_REPORT_INTERVAL_MS 300u
/* Interval between complete reports, which list all runs, in milliseconds. */
#define MB_AGENT_COMPLETE_REPORT_INTERVAL_MS 500u
/* How long the worker delays the answer to a list call until a run ends, and
   the minimum time between two list calls, in milliseconds. */
#define MB_AGENT_LIST_WAIT_MS 150u
#define MB_AGENT_LIST_GAP_MS 20u
/* Time-out of a call to the worker, which is on the same machine, in
   milliseconds. */
#define MB_AGENT_CALL_TIMEOUT_MS 500u
/* Difference from the expected time above which an answer is not by the clock
   of the known incarnation of the worker, in milliseconds. */
#define MB_AGENT_CLOCK_TOLERANCE_MS 500u
/* Delay before an unanswered call is retried, in milliseconds. */
#define MB_AGENT_RETRY_DELAY_MS 150u
/* Maximum age of the report that an order answers, in milliseconds. The starts
   of an order that answers an older one are refused, because it was delayed on
   its way. */
#define MB_AGENT_ORDER_AGE_MAX_MS 1500u
/* Time without an answer after which a worker counts as unreachable, in
   milliseconds. Its lease is then no longer extended, and the owner learns
   that it is absent. */
#define MB_AGENT_WORKER_TIMEOUT_MS 1200u
/* Time since the agent or the worker started after which a worker that has not
   answered a list call holds no unknown runs, in milliseconds: longer than any
   lease that an earlier agent may have granted. */
#define MB_AGENT_UNLISTED_MAX_MS 6000u
/* Least time after the departure of a worker for which its runs count, in
   milliseconds. */
#define MB_AGENT_DEPARTURE_GRACE_MS 300u
/* A heartbeat whose sequence number is not above the latest one, or is above
   it by more than MB_AGENT_SEQUENCE_STEP_MAX, is ignored for this time after
   the latest one, in milliseconds: it was delayed, or is of another sender. */
#define MB_AGENT_HEARTBEAT_LATE_MS 5000u
#define MB_AGENT_SEQUENCE_STEP_MAX 10000u
/* Number of latest reports whose send time is kept. */
#define MB_AGENT_REPORT_TIMES_MAX 64u

typedef struct mb_agent_callbacks {
    /* Sends a report to the owner. Without a connection it is dropped. */
    void (*report)(void *context, const mb_report_t *report);
    void *context;
} mb_agent_callbacks_t;

typedef struct mb_agent {
    mb_agent_callbacks_t callbacks;
    mb_executor_t executor;
    mb_clock_t clock;
    mb_log_t log;
    uint64_t incarnation; /* of the agent's process */
    uint64_t started_us;  /* when the agent's process started */
    /* State of the worker. */
    mb_worker_info_t info; /* views of `text` */
    mb_buf_t text[4 + MB_WORKER_LABELS_MAX];
    uint64_t heartbeat_sequence; /* of the latest heartbeat */
    uint64_t heartbeat_us;       /* when it was received */
    uint64_t known_since_us;     /* when the incarnation became known */
    /* The worker's address has answered that another worker is there. */
    bool worker_replaced;
    bool departed; /* the worker has deregistered */
    uint64_t departed_us;
    /* A list call sent since then was not answered by the worker. Until then
       it may work on, as it does for seconds if its deregistration got no
       answer in time. */
    bool departure_confirmed;
    uint64_t unlisted_us; /* since when it is unknown what the worker runs */
    bool has_clock;       /* the two members below are set */
    /* Clock of the worker, read at `worker_clock_read_us` of this process. */
    uint64_t worker_clock_ms;
    uint64_t worker_clock_read_us;
    uint64_t last_list_us; /* latest answer to a list call; 0: none */
    /* When a call failed last, or its answer was not by the worker's clock.
       Until a later list call is answered, another incarnation may be there
       under the same name: it gets no acknowledgements, leases and starts,
       which are meant for the known one. */
    uint64_t call_failed_us;
    uint64_t lease_end_us; /* latest lease end sent to the worker */
    /* Until when the worker may hold a lease that was sent by the clock of its
       earlier incarnation; 0: it holds none. */
    uint64_t foreign_lease_end_us;
    /* The owner's grant has ended, or may have, during such a lease. Ends that
       it did not store in time must not be acknowledged before that lease has
       ended as well, so the worker gets nothing until then. */
    bool lapse_awaited;
    GPtrArray *runs; /* mb_agent_run_t */
    GArray *ends;    /* mb_report_end_t with owned checkpoints */
    /* mb_report_end_t without checkpoints and numbers, and until when they are
       kept: those of earlier incarnations of the worker, and those that it
       listed under the number of another end. */
    GArray *unnumbered_ends;
    uint64_t unnumbered_ends_due_us;
    bool ends_cut;         /* the latest list did not contain all ends */
    uint64_t last_end;     /* highest number of an end received */
    uint64_t acknowledged; /* the owner has stored ends up to this number */
    uint64_t listed_end; /* highest number in the latest list of the worker */
    uint64_t acknowledged_by_list; /* in the latest list call */
    /* Highest such number that the worker has answered: it has forgotten the
       ends up to it, and lists none of them again. */
    uint64_t forgotten_end;
    /* Latest acknowledgement of an owner that was too high, for the log. */
    uint64_t excess_acknowledgement;
    bool list_pending;      /* a list call is not answered yet */
    uint64_t list_start_us; /* when the latest list call was sent */
    uint64_t list_token;    /* fencing token of that call */
    /* Highest fencing token of a list call that the worker has answered: it
       refuses starts with a lower one. */
    uint64_t fenced_token;
    uint64_t list_due_us; /* earliest time of the next list call */
    /* Incremented when all runs are given up at once, so that later answers
       about them are ignored. */
    uint64_t generation;
    mb_throttle_t throttle;
    /* State of the owner. */
    uint64_t token; /* highest fencing token seen */
    bool connected;
    uint64_t grant_end_us;    /* latest end of a lease that the owner allows */
    uint64_t order_sequence;  /* of the latest order on this connection */
    uint64_t report_sequence; /* of the latest report on it */
    uint64_t report_sent_us[MB_AGENT_REPORT_TIMES_MAX];
    uint64_t last_report_us;
    uint64_t last_complete_us;
    uint64_t reported_end; /* ends up to this number were reported */
    /* So many of the unnumbered ends were reported on this connection. */
    guint reported_unnumbered_ends;
    bool report_due;
    bool complete_due; /* the next report is to be complete */
    bool draining;
    /* See mb_agent_set_departure_recorded. Starts are refused meanwhile,
       because a new owner would not wait for the runs of this agent. */
    bool departure_recorded;
    mb_report_t report;  /* collects refusals; reused for each report */
    uint64_t open_calls; /* calls to the worker without an answer yet */
} mb_agent_t;

/* `incarnation` differs after each restart of the agent's process. */
void mb_agent_init(mb_agent_t *agent, uint64_t incarnation,
                   const mb_agent_callbacks_t *callbacks,
                   const mb_executor_t *executor, const mb_clock_t *clock,
                   const mb_log_t *log);
void mb_agent_finish(mb_agent_t *agent);

/* Calls by the worker. The heartbeat carries a sequence number of the
   incarnation. */
void mb_agent_heartbeat(mb_agent_t *agent, const mb_worker_info_t *info,
                        uint64_t sequence);
void mb_agent_deregister(mb_agent_t *agent, mb_str_t name);

/* Calls by the owner. mb_agent_connected returns false for an older fencing
   token than the highest seen; the connection must then be closed. */
bool mb_agent_connected(mb_agent_t *agent, uint64_t token);
void mb_agent_disconnected(mb_agent_t *agent);
void mb_agent_order(mb_agent_t *agent, const mb_order_t *order);
void mb_agent_drain(mb_agent_t *agent);
/* Tells the agent whether the log has, or may get, a record of its departure
   that no later announcement has superseded. */
void mb_agent_set_departure_recorded(mb_agent_t *agent, bool recorded);
/* Tells whether the worker has left and nothing of it is left to report, so
   that the fleet's owners need not know of this agent any more. */
bool mb_agent_worker_has_left(const mb_agent_t *agent);

/* Does what is due at this time, and sends reports. Called periodically, at
   short intervals, and after events. */
void mb_agent_run(mb_agent_t *agent);

#endif
