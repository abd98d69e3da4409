/* Orders to the agents: collected for each worker and sent at the end of a
   pass, or as soon as one is full. */
#include "mb_fleet_internal.h"

/* Maximum number of runs on a worker. A complete report lists them all. */
#define WORKER_RUNS_MAX 4096u
/* Half of a report is left for its ends and refusals. */
G_STATIC_ASSERT(MB_REPORT_BYTES_MAX / MB_ORDER_ROW_BYTES >
                2 * WORKER_RUNS_MAX);
G_STATIC_ASSERT(WORKER_RUNS_MAX <= MB_ORDER_ROWS_MAX);

/* Tells whether the owner has as many runs as it has memory for. */
bool
mb_fleet_has_max_runs(const mb_fleet_t *fleet)
{
    return fleet->runs_max != 0 && fleet->running >= fleet->runs_max;
}

/* Tells whether further starts for a worker have to wait: too many bytes are
   on their way to its agent, it has as many runs as its agent can report, or
   the owner has as many runs as it has memory for. */
bool
mb_fleet_orders_congested(const mb_fleet_t *fleet,
                          const mb_fleet_worker_t *worker)
{
    return worker->runs->len >= WORKER_RUNS_MAX ||
           mb_fleet_has_max_runs(fleet) ||
           fleet->callbacks.is_congested(fleet->callbacks.context,
                                         worker->number);
}

/* Completes and sends the pending order of a worker. It renews the lease and
   acknowledges stored ends. Starts that are not allowed any more are dropped
   from it. */
void
mb_fleet_send_order(mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
    mb_order_t *order = &worker->pending_order;
    mb_fleet_drop_starts(fleet, worker);
    order->token = fleet->token;
    order->sequence = ++worker->order_sequence;
    order->report_sequence = worker->report_sequence;
    order->lease_ms = MB_FLEET_LEASE_MS;
    order->incarnation = worker->incarnation;
    order->acknowledged = worker->ends_stored;
    worker->order_due = false;
    worker->ordered_us = mb_clock_us(&fleet->clock);
    mb_fleet_majority_sent(worker, worker->ordered_us);
    fleet->callbacks.send(fleet->callbacks.context, worker->number, order);
    mb_order_clear(order);
}

/* Makes room in the pending order of a worker, which is full: sends it. If it
   can't be sent, it is dropped, as it would be with the connection; its stops
   are repeated after the next order that the agent reports as read. */
static void
begin_next_order(mb_fleet_t *fleet, mb_fleet_worker_t *worker)
{
    if (fleet->active && worker->connected) {
        mb_fleet_send_order(fleet, worker);
        return;
    }
    mb_log_info(&fleet->log,
                "order dropped: it is full and can't be sent address=%.*s "
                "stops=%u throttles=%u",
                MB_STR_ARG(mb_buf_view(&worker->address)),
                worker->pending_order.stops->len,
                worker->pending_order.throttles->len);
    mb_order_clear(&worker->pending_order);
}

/* Adds a start to the orders of a worker. Returns the sequence number of the
   order. */
uint64_t
mb_fleet_order_start(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                     const mb_order_start_t *start)
{
    if (!mb_order_add_start(&worker->pending_order, start)) {
        begin_next_order(fleet, worker);
        (void)mb_order_add_start(&worker->pending_order, start);
    }
    worker->order_due = true;
    return worker->order_sequence + 1;
}

/* Adds a stop to the orders of a worker. Returns the sequence number of the
   order. */
uint64_t
mb_fleet_order_stop(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                    const mb_order_stop_t *stop)
{
    if (!mb_order_add_stop(&worker->pending_order, stop)) {
        begin_next_order(fleet, worker);
        (void)mb_order_add_stop(&worker->pending_order, stop);
    }
    worker->order_due = true;
    return worker->order_sequence + 1;
}

/* Adds a throttle to the orders of a worker. */
void
mb_fleet_order_throttle(mb_fleet_t *fleet, mb_fleet_worker_t *worker,
                        const mb_order_throttle_t *throttle)
{
    if (!mb_order_add_throttle(&worker->pending_order, throttle)) {
        begin_next_order(fleet, worker);
        (void)mb_order_add_throttle(&worker->pending_order, throttle);
    }
    worker->order_due = true;
}
