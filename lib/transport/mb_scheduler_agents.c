/* The connections of the fleet's owner to the agents. All functions run on the
   thread of the loop. */
#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_scheduler_internal.h"
#include "mb_settings.h"

/* Delay before a connection is retried, in milliseconds. */
#define RETRY_DELAY_MS 200u
/* Bytes that may wait to be sent to an agent before its worker gets no more
   starts: about a second's worth of the narrowest link. */
#define CONGESTED_BYTES (256u * 1024u)

/* Returns the address of an agent. */
static mb_str_t
agent_address(const mb_scheduler_agent_t *agent)
{
    return mb_buf_view(
        &mb_fleet_get_worker(&agent->node->fleet, agent->worker)->address);
}

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

/* Stops the owner until it has read the log, if the agent of a worker obeys a
   newer one. */
static void
check_token(mb_scheduler_agent_t *agent, uint64_t token)
{
    mb_scheduler_node_t *node = agent->node;
    if (mb_ownership_note_token_seen(&node->ownership, token)) {
        mb_log_warning(
            &node->log,
            "an agent obeys a newer owner, not acting until the log "
            "has been read token=%" G_GUINT64_FORMAT
            " newer=%" G_GUINT64_FORMAT " address=%.*s",
            node->ownership.latest.token, token,
            MB_STR_ARG(agent_address(agent)));
    }
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
    check_token(agent, node->report_decoder.report.token);
    mb_fleet_handle_report(&node->fleet, agent->worker,
                           &node->report_decoder.report);
    mb_scheduler_defer_flush(node);
}

/* Called when the link has failed or the agent has closed it. */
static void
agent_closed(void *context, mb_link_t *link)
{
    mb_scheduler_agent_t *agent = context;
    if (link->invalid_frame) {
        mb_log_warning(&agent->node->log,
                       "connection to an agent closed: invalid frame "
                       "address=%.*s",
                       MB_STR_ARG(agent_address(agent)));
    }
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

/* Returns the agent at an address, which is added if it is unknown. An agent
   that is added does not belong to the fleet yet. Returns NULL if the address
   is not valid or the fleet is full. */
static mb_scheduler_agent_t *
find_or_add_agent(mb_scheduler_node_t *node, mb_str_t address)
{
    uint32_t ip;
    uint16_t port;
    uint32_t worker = mb_fleet_find_worker(&node->fleet, address);
    if (worker != UINT32_MAX) {
        return g_ptr_array_index(node->agents, worker);
    }
    if (!mb_address_parse(address, &ip, &port)) {
        mb_log_warning(&node->log, "agent ignored: invalid address=%.*s",
                       MB_STR_ARG(address));
        return NULL;
    }
    worker = mb_fleet_add_worker(&node->fleet, address);
    if (worker == UINT32_MAX) {
        return NULL;
    }
    mb_fleet_worker_removed(&node->fleet, worker);
    mb_scheduler_agent_t *agent = g_new0(mb_scheduler_agent_t, 1);
    *agent = (mb_scheduler_agent_t){.node = node,
                                    .worker = worker,
                                    .ip = ip,
                                    .port = port,
                                    .removed = true};
    g_ptr_array_add(node->agents, agent);
    return agent;
}

/* Adds the worker of an agent to the fleet, or takes it out, after a change of
   the agent's presence. The worker keeps its number. */
static void
update_agent(mb_scheduler_agent_t *agent)
{
    mb_scheduler_node_t *node = agent->node;
    bool present = mb_agent_presence_in_fleet(&agent->presence);
    if (present && agent->removed) {
        (void)mb_fleet_add_worker(&node->fleet, agent_address(agent));
        agent->retry_ms = 0;
        agent->unreachable_since_ms = 0;
    }
    else if (!present && !agent->removed) {
        close_agent(agent, mb_clock_ms(&node->clock));
        mb_fleet_worker_removed(&node->fleet, agent->worker);
    }
    agent->removed = !present;
}

/* Applies the announcement of an agent. The state of its connection starts
   anew. */
void
mb_scheduler_agent_announced(mb_scheduler_node_t *node, mb_str_t address,
                             uint64_t incarnation)
{
    mb_scheduler_agent_t *agent = find_or_add_agent(node, address);
    if (agent == NULL) {
        return;
    }
    mb_agent_presence_announced(&agent->presence, incarnation,
                                node->jobs.loads);
    agent->retry_ms = 0;
    agent->unreachable_since_ms = 0;
    update_agent(agent);
}

/* Queues a record about an agent, or its removal if `value` is empty. */
static void
append_agent_record(mb_scheduler_agent_t *agent, mb_dag_record_kind_t kind,
                    mb_str_t value)
{
    mb_scheduler_node_t *node = agent->node;
    mb_buf_clear(&node->key);
    mb_dag_record_encode_key(&node->key, kind, agent_address(agent));
    (void)mb_journal_add(node->owner_journal, mb_buf_view(&node->key), value,
                         UINT64_MAX, NULL, NULL);
}

/* Applies the removal of an agent's announcement. The removal of an agent that
   this process has never read of, because it started later, is ignored. */
void
mb_scheduler_agent_removed(mb_scheduler_node_t *node, mb_str_t address)
{
    uint32_t worker = mb_fleet_find_worker(&node->fleet, address);
    if (worker == UINT32_MAX) {
        return;
    }
    mb_scheduler_agent_t *agent = g_ptr_array_index(node->agents, worker);
    if (mb_agent_presence_announcement_removed(&agent->presence) &&
        node->owner_journal != NULL) {
        mb_buf_clear(&node->value);
        mb_dag_record_encode_agent(&node->value, agent->presence.incarnation);
        append_agent_record(agent, MB_DAG_RECORD_AGENT,
                            mb_buf_view(&node->value));
    }
    update_agent(agent);
}

/* Applies the departure of an agent. */
void
mb_scheduler_agent_departed(mb_scheduler_node_t *node, mb_str_t address,
                            uint64_t incarnation)
{
    mb_scheduler_agent_t *agent = find_or_add_agent(node, address);
    if (agent == NULL) {
        return;
    }
    mb_agent_presence_departed(&agent->presence, incarnation,
                               node->jobs.loads);
    if (mb_agent_presence_removal_due(&agent->presence) && !agent->removed) {
        mb_log_notice(&node->log, "agent has departed address=%.*s",
                      MB_STR_ARG(address));
    }
    update_agent(agent);
}

/* Applies the removal of an agent's departure. */
void
mb_scheduler_departure_removed(mb_scheduler_node_t *node, mb_str_t address)
{
    uint32_t worker = mb_fleet_find_worker(&node->fleet, address);
    if (worker != UINT32_MAX) {
        mb_scheduler_agent_t *agent = g_ptr_array_index(node->agents, worker);
        mb_agent_presence_departure_removed(&agent->presence);
        update_agent(agent);
    }
}

/* Applies the record of the tasks that may run beside an absent agent, or its
   removal if `absence` is NULL. */
void
mb_scheduler_agent_absent(mb_scheduler_node_t *node, mb_str_t address,
                          const mb_dag_absence_record_t *absence)
{
    if (absence == NULL &&
        mb_fleet_find_worker(&node->fleet, address) == UINT32_MAX) {
        return;
    }
    mb_scheduler_agent_t *agent = find_or_add_agent(node, address);
    if (agent != NULL) {
        agent->absence_load = node->jobs.loads;
        mb_fleet_absence_read(&node->fleet, agent->worker,
                              absence == NULL ? 0 : absence->token,
                              absence == NULL ? NULL : absence->tasks);
    }
}

/* Called when the newest records of the job log have been read again. Agents
   whose records are no longer among them have left: their removal was not read
   in order. The owner writes the removals itself and misses none. */
void
mb_scheduler_jobs_loaded(void *context)
{
    mb_scheduler_node_t *node = context;
    mb_fleet_agents_loaded(&node->fleet);
    mb_scheduler_note_jobs_loaded(node);
    for (guint i = 0; i < node->agents->len; i++) {
        mb_scheduler_agent_t *agent = g_ptr_array_index(node->agents, i);
        if (!mb_fleet_is_owner(&node->fleet)) {
            mb_agent_presence_forget_unread(&agent->presence,
                                            node->jobs.loads);
            update_agent(agent);
            if (agent->absence_load != node->jobs.loads) {
                mb_fleet_absence_read(&node->fleet, agent->worker, 0, NULL);
            }
        }
    }
}

/* Queues the removal of the records of an agent. `reason` is for the log. */
static void
append_agent_removal(mb_scheduler_agent_t *agent, const char *reason)
{
    mb_log_notice(
        &agent->node->log,
        "agent removed address=%.*s incarnation=%016" G_GINT64_MODIFIER
        "x reason=%s",
        MB_STR_ARG(agent_address(agent)), agent->presence.incarnation, reason);
    append_agent_record(agent, MB_DAG_RECORD_AGENT, MB_STR_EMPTY);
    /* The departure goes last: without it, the announcement would count. */
    if (agent->presence.departed) {
        append_agent_record(agent, MB_DAG_RECORD_DEPARTURE, MB_STR_EMPTY);
    }
    mb_agent_presence_removal_sent(&agent->presence);
    update_agent(agent);
}

/* Tells whether the owner may begin to remove agents: the agent can't be used
   before the removal is stored, so none is begun while the log fails appends.
 */
static bool
may_remove_agents(const mb_scheduler_node_t *node)
{
    return node->owner_journal != NULL &&
           node->owner_journal->failing_since_us == 0;
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
    if (agent->unreachable_since_ms != 0 && may_remove_agents(node) &&
        mb_fleet_may_remove_worker(&node->fleet, agent->worker,
                                   agent->unreachable_since_ms *
                                       (uint64_t)MB_US_PER_MS)) {
        append_agent_removal(agent, "unreachable");
    }
}

/* Opens, checks and retries the connections to all agents, and removes the
   records of departed ones, if this process owns the fleet. */
void
mb_scheduler_agents_tick(mb_scheduler_node_t *node)
{
    uint64_t now_ms = mb_clock_ms(&node->clock);
    if (!mb_fleet_is_owner(&node->fleet)) {
        return;
    }
    for (guint i = 0; i < node->agents->len; i++) {
        mb_scheduler_agent_t *agent = g_ptr_array_index(node->agents, i);
        if (!agent->removed) {
            agent_tick(node, agent, now_ms);
        }
        else if (may_remove_agents(node) &&
                 mb_agent_presence_removal_due(&agent->presence)) {
            append_agent_removal(agent, "departed");
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
        mb_agent_presence_removal_given_up(&agent->presence);
        update_agent(agent);
    }
}

/* Sends an order to the agent of a worker; implements
   mb_fleet_callbacks_t.send. Without a connection the order is dropped. If the
   send queue is full, or this process was paused during the pass and its
   ownership has become uncertain, the connection is closed and opened anew. */
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
    if (!mb_scheduler_may_act(node)) {
        mb_log_warning(&node->log,
                       "order not sent: ownership became uncertain during the "
                       "pass token=%" G_GUINT64_FORMAT,
                       order->token);
        mb_link_fail(&agent->link);
        return;
    }
    mb_order_encode(&bytes, order);
    mb_message_t message = {.type = MB_MESSAGE_ORDER,
                            .body.packed = mb_buf_view(&bytes)};
    if (!mb_link_send(&agent->link, &message)) {
        mb_link_fail(&agent->link);
    }
}

/* Tells whether many bytes wait to be sent to the agent of a worker;
   implements mb_fleet_callbacks_t.is_congested. */
bool
mb_scheduler_is_congested(void *context, uint32_t worker)
{
    const mb_scheduler_node_t *node = context;
    const mb_scheduler_agent_t *agent =
        g_ptr_array_index(node->agents, worker);
    return agent->open && agent->link.send_buffer.len >= CONGESTED_BYTES;
}
