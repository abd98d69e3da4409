#include "mb_entry_peer.h"

#include <unistd.h>

#include "mb_atomic.h"
#include "mb_clock.h"
#include "mb_entry_request.h"

/* A connection on which no HELLO has been received for this time is closed, in
   milliseconds. */
#define HELLO_TIMEOUT_MS 5000u
/* Maximum number of connections without a HELLO on a link thread. Sidecars
   send it at once; all of a region may reconnect at the same time. */
#define CONNECTIONS_UNKNOWN_MAX 512u
/* A link on which nothing has been received for this time is closed, in
   milliseconds. A sidecar that is alive replaces its link long before. */
#define SILENCE_TIMEOUT_MS 10000u
/* A sidecar that has not reconnected for this time after the loss of its link
   is removed, in milliseconds. */
#define RECONNECT_TIMEOUT_MS 5000u
/* Interval at which the latencies of targets are decayed, in milliseconds. */
#define DECAY_INTERVAL_MS 1000u

/* A connection of a sidecar: the link, and the sidecar that it belongs to. */
struct mb_entry_connection {
    mb_entry_loop_t *entry_loop; /* the link thread that it is on */
    mb_link_t link;
    mb_loop_deferred_t move_deferred; /* runs move_connection */
    mb_entry_peer_t *peer;            /* NULL until HELLO */
    uint64_t accepted_ms;
};

/* A connection that is being passed to the link thread of its sidecar. */
typedef struct handover {
    mb_loop_task_t task;
    mb_entry_connection_t *connection;
} handover_t;

static uint64_t
now_ms(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_ms(&clock);
}

/* Frees a peer; called by the last reference to its target. */
static void
free_peer(void *context)
{
    g_free(context);
}

/* Queues a message on the current connection; false when nothing was
   queued. */
bool
mb_entry_peer_send(mb_entry_peer_t *peer, const mb_message_t *message)
{
    return peer->current != NULL &&
           mb_link_send(&peer->current->link, message);
}

/* Closes and frees a connection, which is no longer in the list of its
   thread. */
static void
free_connection(mb_entry_connection_t *connection)
{
    mb_loop_cancel_deferred(&connection->entry_loop->loop,
                            &connection->move_deferred);
    mb_link_finish(&connection->link);
    g_free(connection);
}

/* Sets the number of credits that the sidecar grants, that is the requests
   that this entry may have in flight there, and wakes requests that wait for
   one. */
static void
set_granted_credits(mb_entry_peer_t *peer, uint32_t granted)
{
    uint64_t previous = mb_atomic_load(&peer->target->granted);
    mb_service_load_add_capacity(peer->service_load,
                                 (int64_t)granted - (int64_t)previous);
    mb_target_set_credits(peer->target, granted);
    mb_entry_wake_waiting(peer->entry_loop->node,
                          mb_buf_view(&peer->target->service));
}

/* Removes a sidecar, which is no longer in the list of its thread, from
   routing and admission control, and ends its open requests. */
static void
remove_peer(mb_entry_peer_t *peer)
{
    mb_entry_node_t *node = peer->entry_loop->node;
    peer->removed = true;
    mb_log_info(&node->log, "sidecar detached service=%.*s",
                MB_STR_ARG(mb_buf_view(&peer->target->service)));
    set_granted_credits(peer, 0);
    mb_route_remove(&node->route, peer->target);
    mb_request_peer_gone(&peer->entry_loop->requests, peer);
    mb_admission_withdraw(&node->admission, peer->service_load);
    mb_target_unref(peer->target);
}

/* Finds a peer of this thread with the process id of `target`, either of the
   same incarnation or of another one. Returns NULL if there is none. */
static mb_entry_peer_t *
find_peer(mb_entry_loop_t *entry_loop, const mb_target_t *target,
          bool same_incarnation)
{
    for (guint i = 0; i < entry_loop->peers->len; i++) {
        mb_entry_peer_t *peer = g_ptr_array_index(entry_loop->peers, i);
        if (peer->target->process == target->process &&
            (peer->target->incarnation == target->incarnation) ==
                same_incarnation) {
            return peer;
        }
    }
    return NULL;
}

/* Answers the HELLO of a sidecar, which grants credits after that. */
static void
send_hello(mb_entry_connection_t *connection)
{
    mb_entry_node_t *node = connection->entry_loop->node;
    mb_message_t hello = {.type = MB_MESSAGE_HELLO};
    hello.body.hello = (mb_hello_t){
        .version = MB_PROTOCOL_VERSION,
        .process = node->config.process,
        .incarnation = node->config.incarnation,
        .role = MB_ROLE_ENTRY,
        .failure_domain = mb_buf_view(&node->failure_domain),
        .service = MB_STR_EMPTY,
    };
    (void)mb_link_send(&connection->link, &hello);
}

/* Makes a new connection the current one of a known sidecar, and queries the
   outcomes of its open requests there. The sidecar closes the old
   connection. */
static void
replace_connection(mb_entry_connection_t *connection, mb_entry_peer_t *known)
{
    connection->peer = known;
    known->current = connection;
    mb_atomic_store(&known->target->suspended, 0);
    mb_log_info(&known->entry_loop->node->log, "link replaced service=%.*s",
                MB_STR_ARG(mb_buf_view(&known->target->service)));
    send_hello(connection);
    mb_request_link_replaced(&known->entry_loop->requests, known);
}

/* Adds a sidecar to admission control and to the routing table. Returns false,
   and adds nothing, when one of them is full. */
static bool
register_peer(mb_entry_peer_t *peer)
{
    mb_entry_node_t *node = peer->entry_loop->node;
    mb_str_t service = mb_buf_view(&peer->target->service);
    peer->service_load = mb_admission_announce(&node->admission, service);
    if (peer->service_load == NULL) {
        return false;
    }
    if (!mb_route_add(&node->route, peer->target)) {
        mb_admission_withdraw(&node->admission, peer->service_load);
        return false;
    }
    g_ptr_array_add(peer->entry_loop->peers, peer);
    mb_log_info(&node->log, "sidecar attached service=%.*s domain=%.*s",
                MB_STR_ARG(service),
                MB_STR_ARG(mb_buf_view(&peer->target->failure_domain)));
    return true;
}

/* Assigns a connection to its sidecar, on the sidecar's link thread. An
   earlier incarnation without a connection will not come back and is
   removed. */
static void
attach_connection(mb_entry_connection_t *connection)
{
    mb_entry_loop_t *entry_loop = connection->entry_loop;
    mb_entry_peer_t *peer = connection->peer;
    mb_entry_peer_t *known = find_peer(entry_loop, peer->target, true);
    peer->entry_loop = entry_loop;
    if (known != NULL) {
        mb_target_unref(peer->target);
        replace_connection(connection, known);
        return;
    }
    mb_entry_peer_t *earlier = find_peer(entry_loop, peer->target, false);
    if (earlier != NULL && earlier->current == NULL) {
        (void)g_ptr_array_remove_fast(entry_loop->peers, earlier);
        remove_peer(earlier);
    }
    if (!register_peer(peer)) {
        mb_log_warning(&entry_loop->node->log,
                       "sidecar rejected, too many services or sidecars");
        connection->peer = NULL;
        mb_target_unref(peer->target);
        mb_link_fail(&connection->link);
        return;
    }
    peer->current = connection;
    send_hello(connection);
}

static void handle_message(void *context, mb_link_t *link,
                           const mb_message_t *message);
static void connection_closed(void *context, mb_link_t *link);

/* Task on the link thread of a sidecar: continues a connection that was moved
   there. */
static void
resume_connection(mb_loop_task_t *task)
{
    handover_t *handover = (handover_t *)task;
    mb_entry_connection_t *connection = handover->connection;
    mb_link_callbacks_t callbacks = {handle_message, connection_closed,
                                     connection};
    g_free(handover);
    if (connection->entry_loop->closing ||
        !mb_link_resume(&connection->link, &connection->entry_loop->loop,
                        &callbacks)) {
        if (connection->entry_loop->closing) {
            connection->link.loop = &connection->entry_loop->loop;
            mb_link_finish(&connection->link);
        }
        mb_target_unref(connection->peer->target);
        g_free(connection);
        return;
    }
    g_ptr_array_add(connection->entry_loop->connections, connection);
    attach_connection(connection);
}

/* Returns the link thread of a sidecar, which is the same for all its
   connections. */
static mb_entry_loop_t *
get_process_loop(mb_entry_node_t *node, uint64_t process)
{
    uint64_t hash = process * UINT64_C(0x9e3779b97f4a7c15);
    return &node->loops[(hash >> 32) % node->config.link_threads];
}

/* Deferred callback: moves a connection to the link thread of its sidecar. It
   is closed when the mailbox of that thread is full. */
static void
move_connection(void *context)
{
    mb_entry_connection_t *from = context;
    mb_entry_connection_t *to = g_new0(mb_entry_connection_t, 1);
    handover_t *handover = g_new0(handover_t, 1);
    (void)g_ptr_array_remove_fast(from->entry_loop->connections, from);
    to->entry_loop =
        get_process_loop(from->entry_loop->node, from->peer->target->process);
    to->peer = from->peer;
    to->accepted_ms = from->accepted_ms;
    mb_link_move(&from->link, &to->link);
    g_free(from);
    handover->task.run = resume_connection;
    handover->connection = to;
    if (!mb_loop_post(&to->entry_loop->loop, &handover->task)) {
        to->link.loop = &to->entry_loop->loop;
        (void)close(to->link.source.fd);
        mb_target_unref(to->peer->target);
        g_free(to);
        g_free(handover);
    }
}

/* Handles HELLO, which says to which sidecar the connection belongs, and
   attaches the connection here or moves it to the link thread of the
   sidecar. */
static void
handle_hello(mb_entry_connection_t *connection, const mb_hello_t *hello)
{
    mb_entry_node_t *node = connection->entry_loop->node;
    if (connection->peer != NULL || hello->role != MB_ROLE_SIDECAR ||
        hello->version != MB_PROTOCOL_VERSION || hello->service.len == 0) {
        mb_log_warning(&node->log, "unexpected HELLO message version=%u",
                       hello->version);
        connection->link.failed = true;
        return;
    }
    mb_entry_peer_t *peer = g_new0(mb_entry_peer_t, 1);
    peer->target =
        mb_target_new(hello->service, hello->failure_domain, hello->process,
                      hello->incarnation, peer, free_peer);
    connection->peer = peer;
    if (get_process_loop(node, hello->process) == connection->entry_loop) {
        attach_connection(connection);
        return;
    }
    connection->link.paused = true;
    connection->move_deferred =
        (mb_loop_deferred_t){move_connection, connection, NULL, false};
    mb_loop_defer(&connection->entry_loop->loop, &connection->move_deferred);
}

/* Handles DRAIN: the sidecar gets no new requests. */
static void
handle_drain(mb_entry_peer_t *peer)
{
    mb_atomic_store(&peer->target->draining, 1);
    set_granted_credits(peer, 0);
}

/* Handles a message of an attached sidecar. */
static void
handle_peer_message(mb_entry_peer_t *peer, const mb_message_t *message)
{
    mb_request_table_t *requests = &peer->entry_loop->requests;
    switch (message->type) {
    case MB_MESSAGE_CREDIT:
        if (mb_atomic_load(&peer->target->draining) == 0) {
            mb_target_set_initial_latency(peer->target,
                                          message->body.credit.latency_us);
            set_granted_credits(peer, message->body.credit.granted);
        }
        break;
    case MB_MESSAGE_RESPONSE:
        mb_entry_handle_response(peer->entry_loop, &message->body.response);
        break;
    case MB_MESSAGE_REFUSED:
        mb_request_handle_refusal(requests, &message->body.refused.id,
                                  message->body.refused.reason);
        break;
    case MB_MESSAGE_OUTCOME:
        mb_request_handle_outcome(requests, &message->body.outcome.id,
                                  message->body.outcome.state);
        break;
    case MB_MESSAGE_DRAIN:
        handle_drain(peer);
        break;
    default:
        break;
    }
}

/* Callback of the link: handles a message. */
static void
handle_message(void *context, mb_link_t *link, const mb_message_t *message)
{
    mb_entry_connection_t *connection = context;
    if (message->type == MB_MESSAGE_HELLO) {
        handle_hello(connection, &message->body.hello);
    }
    else if (connection->peer == NULL) {
        link->failed = true;
    }
    else if (message->type == MB_MESSAGE_PING) {
        mb_message_t pong = {.type = MB_MESSAGE_PONG};
        pong.body.sequence = message->body.sequence;
        (void)mb_link_send(link, &pong);
    }
    else {
        handle_peer_message(connection->peer, message);
    }
}

/* Suspends a sidecar that has no connection left. */
static void
handle_link_lost(mb_entry_peer_t *peer)
{
    peer->current = NULL;
    peer->link_lost_ms = now_ms();
    mb_atomic_store(&peer->target->suspended, 1);
    mb_request_link_lost(&peer->entry_loop->requests, peer);
}

/* After the current connection of a sidecar has ended, makes another open one
   the current one; false when there is no other. After this process was
   paused, all connections that the sidecar has opened meanwhile arrive
   together, on several threads, and the one that the sidecar keeps need not be
   the last one attached. */
static bool
switch_connection(mb_entry_peer_t *peer)
{
    const GPtrArray *connections = peer->entry_loop->connections;
    for (guint i = 0; i < connections->len; i++) {
        mb_entry_connection_t *other = g_ptr_array_index(connections, i);
        if (other->peer == peer) {
            peer->current = other;
            mb_request_link_replaced(&peer->entry_loop->requests, peer);
            return true;
        }
    }
    return false;
}

/* Callback of the link: removes and frees a connection that has ended. */
static void
connection_closed(void *context, mb_link_t *link)
{
    mb_entry_connection_t *connection = context;
    mb_entry_peer_t *peer = connection->peer;
    (void)link;
    (void)g_ptr_array_remove_fast(connection->entry_loop->connections,
                                  connection);
    if (peer != NULL && peer->entry_loop == NULL) {
        mb_target_unref(peer->target); /* never attached */
    }
    else if (peer != NULL && peer->current == connection &&
             !switch_connection(peer)) {
        handle_link_lost(peer);
    }
    free_connection(connection);
}

/* Returns the number of connections that have not sent a HELLO. */
static guint
count_unknown(const mb_entry_loop_t *entry_loop)
{
    guint count = 0;
    for (guint i = 0; i < entry_loop->connections->len; i++) {
        const mb_entry_connection_t *connection =
            g_ptr_array_index(entry_loop->connections, i);
        count += connection->peer == NULL;
    }
    return count;
}

/* Starts serving an accepted connection; its socket is closed on failure, or
   if too many others have not told which sidecar they belong to. */
void
mb_entry_add_connection(mb_entry_loop_t *entry_loop, int fd)
{
    if (count_unknown(entry_loop) >= CONNECTIONS_UNKNOWN_MAX) {
        (void)close(fd);
        return;
    }
    mb_entry_connection_t *connection = g_new0(mb_entry_connection_t, 1);
    mb_link_callbacks_t callbacks = {handle_message, connection_closed,
                                     connection};
    connection->entry_loop = entry_loop;
    connection->accepted_ms = now_ms();
    if (!mb_link_init(&connection->link, &entry_loop->loop, fd, false,
                      &callbacks)) {
        g_free(connection);
        return;
    }
    g_ptr_array_add(entry_loop->connections, connection);
}

/* Sends the heartbeat of a connection and checks its time-outs. A sidecar
   whose current link is suspect gets no new requests until something is
   received on it or the sidecar has replaced it. */
static void
connection_tick(mb_entry_connection_t *connection, uint64_t now)
{
    mb_link_t *link = &connection->link;
    const mb_entry_peer_t *peer = connection->peer;
    if (peer == NULL) {
        if (now > connection->accepted_ms + HELLO_TIMEOUT_MS) {
            mb_link_fail(link);
        }
        return;
    }
    mb_link_ping(link, now);
    if (peer->current == connection) {
        mb_atomic_store(&peer->target->suspended,
                        mb_link_is_suspect(link, now) ? 1 : 0);
    }
    if (now > link->last_received_ms + SILENCE_TIMEOUT_MS) {
        mb_link_fail(link);
    }
}

/* Checks all connections, decays latencies and removes sidecars that have not
   reconnected in time. */
void
mb_entry_peers_tick(mb_entry_loop_t *entry_loop, uint64_t now)
{
    for (guint i = 0; i < entry_loop->connections->len; i++) {
        connection_tick(g_ptr_array_index(entry_loop->connections, i), now);
    }
    bool decay = now >= entry_loop->last_decay_ms + DECAY_INTERVAL_MS;
    entry_loop->last_decay_ms = decay ? now : entry_loop->last_decay_ms;
    for (guint i = 0; i < entry_loop->peers->len;) {
        mb_entry_peer_t *peer = g_ptr_array_index(entry_loop->peers, i);
        if (decay) {
            mb_target_decay_latency(peer->target);
        }
        if (peer->current == NULL &&
            now > peer->link_lost_ms + RECONNECT_TIMEOUT_MS) {
            (void)g_ptr_array_remove_index_fast(entry_loop->peers, i);
            remove_peer(peer);
        }
        else {
            i++;
        }
    }
}

/* Closes all connections and removes all sidecars; the link thread has
   ended. */
void
mb_entry_peers_finish(mb_entry_loop_t *entry_loop)
{
    while (entry_loop->connections->len > 0) {
        mb_entry_connection_t *connection =
            g_ptr_array_steal_index_fast(entry_loop->connections, 0);
        if (connection->peer != NULL && connection->peer->entry_loop == NULL) {
            mb_target_unref(connection->peer->target);
        }
        free_connection(connection);
    }
    while (entry_loop->peers->len > 0) {
        remove_peer(g_ptr_array_steal_index_fast(entry_loop->peers, 0));
    }
}
