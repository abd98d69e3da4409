/* The connections of the fleet's owner to the agents. All functions run on the
   thread of the loop. */
#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_scheduler_internal.h"
#include "mb_settings.h"

/* Delay before a connection is retried, in milliseconds. */
#define RETRY_DELAY_MS 200u

/* Closes the connection to an agent, if it is open, and tells the fleet. */
static void
close_agent(mb_scheduler_agent_t *agent, uint64_t now_ms)
{
    if (!agent->open) {
        return;
    }
    agent->open = false;
    agent->retry_ms = now_ms + RETRY_DELAY_MS;
    mb_link_finish(&agent->link);
    mb_fleet_agent_disconnected(&agent->node->fleet, agent->worker);
}

/* Handles a message of an agent: applies a report to the fleet, and closes the
   connection if the report can't be decoded. */
static void
agent_message(void *context, mb_link_t *link, const mb_message_t *message)
{
    mb_scheduler_agent_t *agent = context;
    mb_scheduler_node_t *node = agent->node;
    g_autoptr(GError) error = NULL;
    if (message->type != MB_MESSAGE_REPORT) {
        return;
    }
    if (!mb_report_decode(&node->report_decoder, message->body.packed,
                          &error)) {
        mb_log_warning(
            &node->log,
            "invalid report, closing the connection to the agent: %s",
            error->message);
        mb_link_fail(link);
        return;
    }
    agent->unreachable_since_ms = 0;
    mb_fleet_handle_report(&node->fleet, agent->worker,
                           &node->report_decoder.report);
    mb_scheduler_defer_flush(node);
}

/* Called when the link has failed or the agent has closed it. */
static void
agent_closed(void *context, mb_link_t *link)
{
    mb_scheduler_agent_t *agent = context;
    (void)link;
    close_agent(agent, mb_clock_ms(&agent->node->clock));
}

/* Starts to connect to an agent. The fleet counts it as connected at once;
   orders are queued on the link until the connection is established. */
static void
open_agent(mb_scheduler_agent_t *agent, uint64_t now_ms)
{
    mb_link_callbacks_t callbacks = {agent_message, agent_closed, agent};
    g_autoptr(GError) error = NULL;
    int fd = mb_tcp_connect(agent->ip, agent->port, &error);
    agent->retry_ms = now_ms + RETRY_DELAY_MS;
    if (fd < 0 || !mb_link_init(&agent->link, &agent->node->loop, fd, true,
                                &callbacks)) {
        return;
    }
    agent->open = true;
    agent->opened_ms = now_ms;
    mb_fleet_agent_connected(&agent->node->fleet, agent->worker);
}

/* Applies the record of an agent's address: adds its worker to the fleet, or
   resets the state of its connection if it is known already. */
void
mb_scheduler_add_agent(mb_scheduler_node_t *node, mb_str_t address)
{
    uint32_t ip;
    uint16_t port;
    if (!mb_address_parse(address, &ip, &port)) {
        mb_log_warning(&node->log, "agent ignored: invalid address=%.*s",
                       MB_STR_ARG(address));
        return;
    }
    uint32_t worker = mb_fleet_add_worker(&node->fleet, address);
    if (worker == UINT32_MAX) {
        return;
    }
    if (worker == node->agents->len) {
        mb_scheduler_agent_t *agent = g_new0(mb_scheduler_agent_t, 1);
        *agent = (mb_scheduler_agent_t){
            .node = node, .worker = worker, .ip = ip, .port = port};
        g_ptr_array_add(node->agents, agent);
    }
    mb_scheduler_agent_t *agent = g_ptr_array_index(node->agents, worker);
    agent->removed = false;
    agent->retry_ms = 0;
    agent->unreachable_since_ms = 0;
}

/* Applies the removal of an agent's address from the log. The worker keeps its
   number in the fleet. The removal of an agent that this process has never
   read of, because it started later, is ignored. */
void
mb_scheduler_remove_agent(mb_scheduler_node_t *node, mb_str_t address)
{
    uint32_t worker = mb_fleet_find_worker(&node->fleet, address);
    if (worker != UINT32_MAX) {
        mb_scheduler_agent_t *agent = g_ptr_array_index(node->agents, worker);
        agent->removed = true;
        close_agent(agent, mb_clock_ms(&node->clock));
        mb_fleet_worker_removed(&node->fleet, worker);
    }
}

/* Queues the removal of an unreachable agent from the log. */
static void
append_agent_removal(mb_scheduler_node_t *node, mb_scheduler_agent_t *agent)
{
    mb_fleet_worker_t *worker =
        mb_fleet_get_worker(&node->fleet, agent->worker);
    mb_log_notice(&node->log, "agent removed: unreachable address=%.*s",
                  MB_STR_ARG(mb_buf_view(&worker->address)));
    mb_buf_clear(&node->key);
    mb_dag_record_encode_key(&node->key, MB_DAG_RECORD_AGENT,
                             mb_buf_view(&worker->address));
    (void)mb_journal_add(node->owner_journal, mb_buf_view(&node->key),
                         MB_STR_EMPTY, UINT64_MAX, NULL, NULL);
    agent->removed = true;
}

/* Closes a silent connection to an agent, retries a closed one, and removes
   an agent that has been unreachable for so long that its worker can't hold
   runs any more. */
static void
agent_tick(mb_scheduler_node_t *node, mb_scheduler_agent_t *agent,
           uint64_t now_ms)
{
    if (agent->open && mb_link_is_suspect(&agent->link, now_ms)) {
        close_agent(agent, now_ms);
    }
    if (!agent->open && agent->unreachable_since_ms == 0) {
        agent->unreachable_since_ms = now_ms;
    }
    if (!agent->open && now_ms >= agent->retry_ms) {
        open_agent(agent, now_ms);
    }
    if (agent->unreachable_since_ms != 0 && node->owner_journal != NULL &&
        mb_fleet_may_remove_worker(&node->fleet, agent->worker,
                                   agent->unreachable_since_ms *
                                       (uint64_t)MB_US_PER_MS)) {
        append_agent_removal(node, agent);
    }
}

/* Opens, checks and retries the connections to all agents, if this process
   owns the fleet. */
void
mb_scheduler_agents_tick(mb_scheduler_node_t *node)
{
    uint64_t now_ms = mb_clock_ms(&node->clock);
    for (guint i = 0; i < node->agents->len; i++) {
        mb_scheduler_agent_t *agent = g_ptr_array_index(node->agents, i);
        if (!agent->removed && mb_fleet_is_owner(&node->fleet)) {
            agent_tick(node, agent, now_ms);
        }
    }
}

/* Closes all connections, after a loss of ownership. */
void
mb_scheduler_close_agents(mb_scheduler_node_t *node)
{
    uint64_t now_ms = mb_clock_ms(&node->clock);
    for (guint i = 0; i < node->agents->len; i++) {
        mb_scheduler_agent_t *agent = g_ptr_array_index(node->agents, i);
        close_agent(agent, now_ms);
        agent->retry_ms = 0;
        agent->unreachable_since_ms = 0;
    }
}

/* Sends an order to the agent of a worker; implements
   mb_fleet_callbacks_t.send. Without a connection the order is dropped. If the
   send queue is full, the connection is closed and opened anew. */
void
mb_scheduler_send_order(void *context, uint32_t worker,
                        const mb_order_t *order)
{
    mb_scheduler_node_t *node = context;
    mb_scheduler_agent_t *agent = g_ptr_array_index(node->agents, worker);
    MB_AUTO_BUF mb_buf_t bytes = {0};
    if (!agent->open) {
        return;
    }
    mb_order_encode(&bytes, order);
    mb_message_t message = {.type = MB_MESSAGE_ORDER,
                            .body.packed = mb_buf_view(&bytes)};
    if (!mb_link_send(&agent->link, &message)) {
        mb_link_fail(&agent->link);
    }
}
