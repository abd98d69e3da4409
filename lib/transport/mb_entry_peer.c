#include "mb_entry_peer.h"

#include <unistd.h>

#include "mb_atomic.h"
#include "mb_clock.h"
#include "mb_entry_request.h"

/* A connection whose peer has not said HELLO in this time is closed, in
   milliseconds. */
#define HELLO_MS 5000u
/* A link without a frame for this long is closed, in milliseconds. The
   sidecar replaces it long before, unless it is gone itself. */
#define SILENT_MS 10000u
/* A sidecar whose link is lost and that has not come back in this time is
   taken to be gone, in milliseconds. */
#define RETURN_MS 5000u
/* How often old latencies count for less, in milliseconds. */
#define DECAY_MS 1000u

/* One connection of a sidecar. */
struct mb_entry_connection {
    mb_entry_loop_t *owner;
    mb_link_t link;
    mb_loop_deferred_t moving;
    mb_entry_peer_t *peer; /* NULL until HELLO */
    uint64_t since_ms;
};

/* A connection on its way to the thread of its sidecar. */
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

/* Frees a peer with its target. */
static void
free_peer(void *context)
{
    g_free(context);
}

/* Sends on the peer's current connection; false when nothing was sent. */
bool
mb_entry_peer_send(mb_entry_peer_t *peer, const mb_message_t *message)
{
    return peer->current != NULL &&
           mb_link_send(&peer->current->link, message);
}

/* Closes a connection that is no longer in the list. */
static void
free_connection(mb_entry_connection_t *connection)
{
    mb_loop_undefer(&connection->owner->loop, &connection->moving);
    mb_link_finish(&connection->link);
    g_free(connection);
}

/* Changes what the sidecar lets this entry have in flight. */
static void
take_credit(mb_entry_peer_t *peer, uint32_t granted)
{
    uint64_t before = mb_atomic_load(&peer->target->granted);
    mb_service_load_add_capacity(peer->service_load,
                                 (int64_t)granted - (int64_t)before);
    mb_target_set_credits(peer->target, granted);
    mb_entry_wake(peer->owner->node, mb_buf_view(&peer->target->service));
}

/* Takes a sidecar out of the routing and settles what is open there. */
static void
forget_peer(mb_entry_peer_t *peer)
{
    mb_entry_node_t *node = peer->owner->node;
    peer->gone = true;
    mb_log_info(&node->log, "sidecar detached service=%.*s",
                MB_STR_ARG(mb_buf_view(&peer->target->service)));
    take_credit(peer, 0);
    mb_route_remove(&node->route, peer->target);
    mb_request_peer_gone(&peer->owner->requests, peer);
    mb_admission_withdraw(&node->admission, peer->service_load);
    mb_target_unref(peer->target);
}

/* Finds a peer of this thread by its process, other than one incarnation, or
   exactly that one. */
static mb_entry_peer_t *
find_peer(mb_entry_loop_t *owner, const mb_target_t *target, bool same)
{
    for (guint i = 0; i < owner->peers->len; i++) {
        mb_entry_peer_t *peer = g_ptr_array_index(owner->peers, i);
        if (peer->target->process == target->process &&
            (peer->target->incarnation == target->incarnation) == same) {
            return peer;
        }
    }
    return NULL;
}

/* Greets a sidecar; it grants credits after that. */
static void
send_hello(mb_entry_connection_t *connection)
{
    mb_entry_node_t *node = connection->owner->node;
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

/* Makes a new connection the current one of a sidecar that is known, and asks
   on it for what is open. The sidecar closes the connection before it. */
static void
replace_connection(mb_entry_connection_t *connection, mb_entry_peer_t *known)
{
    connection->peer = known;
    known->current = connection;
    mb_atomic_store(&known->target->suspended, 0);
    mb_log_info(&known->owner->node->log, "link replaced service=%.*s",
                MB_STR_ARG(mb_buf_view(&known->target->service)));
    send_hello(connection);
    mb_request_link_replaced(&known->owner->requests, known);
}

/* Makes a sidecar known to admission and routing; false when there is no
   room. */
static bool
register_peer(mb_entry_peer_t *peer)
{
    mb_entry_node_t *node = peer->owner->node;
    mb_str_t service = mb_buf_view(&peer->target->service);
    peer->service_load = mb_admission_announce(&node->admission, service);
    if (peer->service_load == NULL) {
        return false;
    }
    if (!mb_route_add(&node->route, peer->target)) {
        mb_admission_withdraw(&node->admission, peer->service_load);
        return false;
    }
    g_ptr_array_add(peer->owner->peers, peer);
    mb_log_info(&node->log, "sidecar attached service=%.*s domain=%.*s",
                MB_STR_ARG(service),
                MB_STR_ARG(mb_buf_view(&peer->target->failure_domain)));
    return true;
}

/* Joins a connection to its sidecar, on the sidecar's thread. An earlier
   incarnation without a link will not come back. */
static void
attach(mb_entry_connection_t *connection)
{
    mb_entry_loop_t *owner = connection->owner;
    mb_entry_peer_t *peer = connection->peer;
    mb_entry_peer_t *known = find_peer(owner, peer->target, true);
    peer->owner = owner;
    if (known != NULL) {
        mb_target_unref(peer->target);
        replace_connection(connection, known);
        return;
    }
    mb_entry_peer_t *earlier = find_peer(owner, peer->target, false);
    if (earlier != NULL && earlier->current == NULL) {
        (void)g_ptr_array_remove_fast(owner->peers, earlier);
        forget_peer(earlier);
    }
    if (!register_peer(peer)) {
        mb_log_warning(&owner->node->log, "routing table is full");
        connection->peer = NULL;
        mb_target_unref(peer->target);
        mb_link_fail(&connection->link);
        return;
    }
    peer->current = connection;
    send_hello(connection);
}

static void connection_message(void *context, mb_link_t *link,
                               const mb_message_t *message);
static void connection_closed(void *context, mb_link_t *link);

/* Goes on with a connection on the thread of its sidecar. */
static void
take_over(mb_loop_task_t *task)
{
    handover_t *handover = (handover_t *)task;
    mb_entry_connection_t *connection = handover->connection;
    mb_link_callbacks_t callbacks = {connection_message, connection_closed,
                                     connection};
    g_free(handover);
    if (connection->owner->closing ||
        !mb_link_resume(&connection->link, &connection->owner->loop,
                        &callbacks)) {
        if (connection->owner->closing) {
            connection->link.loop = &connection->owner->loop;
            mb_link_finish(&connection->link);
        }
        mb_target_unref(connection->peer->target);
        g_free(connection);
        return;
    }
    g_ptr_array_add(connection->owner->connections, connection);
    attach(connection);
}

/* Returns the thread of a sidecar, the same for all its connections. */
static mb_entry_loop_t *
home_of(mb_entry_node_t *node, uint64_t process)
{
    uint64_t hash = process * UINT64_C(0x9e3779b97f4a7c15);
    return &node->loops[(hash >> 32) % node->config.link_threads];
}

/* Sends a connection to the thread of its sidecar. */
static void
move_connection(void *context)
{
    mb_entry_connection_t *from = context;
    mb_entry_connection_t *to = g_new0(mb_entry_connection_t, 1);
    handover_t *handover = g_new0(handover_t, 1);
    (void)g_ptr_array_remove_fast(from->owner->connections, from);
    to->owner = home_of(from->owner->node, from->peer->target->process);
    to->peer = from->peer;
    to->since_ms = from->since_ms;
    mb_link_move(&from->link, &to->link);
    g_free(from);
    handover->task.run = take_over;
    handover->connection = to;
    if (!mb_loop_post(&to->owner->loop, &handover->task)) {
        to->link.loop = &to->owner->loop;
        (void)close(to->link.source.fd);
        mb_target_unref(to->peer->target);
        g_free(to);
        g_free(handover);
    }
}

/* Learns which sidecar a connection belongs to. */
static void
take_hello(mb_entry_connection_t *connection, const mb_hello_t *hello)
{
    mb_entry_node_t *node = connection->owner->node;
    if (connection->peer != NULL || hello->role != MB_ROLE_SIDECAR ||
        hello->version != MB_PROTOCOL_VERSION || hello->service.len == 0) {
        mb_log_warning(&node->log, "unexpected hello version=%u",
                       hello->version);
        connection->link.failed = true;
        return;
    }
    mb_entry_peer_t *peer = g_new0(mb_entry_peer_t, 1);
    peer->target =
        mb_target_new(hello->service, hello->failure_domain, hello->process,
                      hello->incarnation, peer, free_peer);
    connection->peer = peer;
    if (home_of(node, hello->process) == connection->owner) {
        attach(connection);
        return;
    }
    connection->link.paused = true;
    connection->moving =
        (mb_loop_deferred_t){move_connection, connection, NULL, false};
    mb_loop_defer(&connection->owner->loop, &connection->moving);
}

/* Stops picking a sidecar that is leaving. */
static void
take_drain(mb_entry_peer_t *peer)
{
    mb_atomic_store(&peer->target->draining, 1);
    take_credit(peer, 0);
}

/* Takes one message of a sidecar that is known. */
static void
peer_message(mb_entry_peer_t *peer, const mb_message_t *message)
{
    mb_request_table_t *requests = &peer->owner->requests;
    switch (message->type) {
    case MB_MESSAGE_CREDIT:
        if (mb_atomic_load(&peer->target->draining) == 0) {
            mb_target_set_initial_latency(peer->target,
                                          message->body.credit.latency_us);
            take_credit(peer, message->body.credit.granted);
        }
        break;
    case MB_MESSAGE_RESPONSE:
        mb_entry_take_response(peer->owner, &message->body.response);
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
        take_drain(peer);
        break;
    default:
        break;
    }
}

/* Takes one message of a connection. */
static void
connection_message(void *context, mb_link_t *link, const mb_message_t *message)
{
    mb_entry_connection_t *connection = context;
    if (message->type == MB_MESSAGE_HELLO) {
        take_hello(connection, &message->body.hello);
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
        peer_message(connection->peer, message);
    }
}

/* Notes that a sidecar has no link at the moment. */
static void
lose_link(mb_entry_peer_t *peer)
{
    peer->current = NULL;
    peer->lost_ms = now_ms();
    mb_atomic_store(&peer->target->suspended, 1);
    mb_request_link_lost(&peer->owner->requests, peer);
}

/* Goes on with another open connection of the sidecar when its current one has
   ended; false when there is none. After a pause of this process the links
   that the sidecar opened meanwhile arrive together, on several threads, and
   the one it keeps need not be the last one that was attached. */
static bool
use_other_connection(mb_entry_peer_t *peer)
{
    const GPtrArray *connections = peer->owner->connections;
    for (guint i = 0; i < connections->len; i++) {
        mb_entry_connection_t *other = g_ptr_array_index(connections, i);
        if (other->peer == peer) {
            peer->current = other;
            mb_request_link_replaced(&peer->owner->requests, peer);
            return true;
        }
    }
    return false;
}

/* Removes a connection that ended. */
static void
connection_closed(void *context, mb_link_t *link)
{
    mb_entry_connection_t *connection = context;
    mb_entry_peer_t *peer = connection->peer;
    (void)link;
    (void)g_ptr_array_remove_fast(connection->owner->connections, connection);
    if (peer != NULL && peer->owner == NULL) {
        mb_target_unref(peer->target); /* never attached */
    }
    else if (peer != NULL && peer->current == connection &&
             !use_other_connection(peer)) {
        lose_link(peer);
    }
    free_connection(connection);
}

/* Begins to serve an accepted connection. */
void
mb_entry_adopt(mb_entry_loop_t *owner, int fd)
{
    mb_entry_connection_t *connection = g_new0(mb_entry_connection_t, 1);
    mb_link_callbacks_t callbacks = {connection_message, connection_closed,
                                     connection};
    connection->owner = owner;
    connection->since_ms = now_ms();
    if (!mb_link_init(&connection->link, &owner->loop, fd, false,
                      &callbacks)) {
        g_free(connection);
        return;
    }
    g_ptr_array_add(owner->connections, connection);
}

/* Looks after one connection. A silent one gets nothing new until a frame
   comes or the sidecar has replaced it. */
static void
connection_tick(mb_entry_connection_t *connection, uint64_t now)
{
    mb_link_t *link = &connection->link;
    const mb_entry_peer_t *peer = connection->peer;
    if (peer == NULL) {
        if (now > connection->since_ms + HELLO_MS) {
            mb_link_fail(link);
        }
        return;
    }
    mb_link_ping(link, now);
    if (peer->current == connection) {
        mb_atomic_store(&peer->target->suspended,
                        mb_link_is_suspect(link, now) ? 1 : 0);
    }
    if (now > link->last_received_ms + SILENT_MS) {
        mb_link_fail(link);
    }
}

/* Sends heartbeats and forgets sidecars that have not come back. */
void
mb_entry_peers_tick(mb_entry_loop_t *owner, uint64_t now)
{
    for (guint i = 0; i < owner->connections->len; i++) {
        connection_tick(g_ptr_array_index(owner->connections, i), now);
    }
    bool decay = now >= owner->decayed_ms + DECAY_MS;
    owner->decayed_ms = decay ? now : owner->decayed_ms;
    for (guint i = 0; i < owner->peers->len;) {
        mb_entry_peer_t *peer = g_ptr_array_index(owner->peers, i);
        if (decay) {
            mb_target_decay_latency(peer->target);
        }
        if (peer->current == NULL && now > peer->lost_ms + RETURN_MS) {
            (void)g_ptr_array_remove_index_fast(owner->peers, i);
            forget_peer(peer);
        }
        else {
            i++;
        }
    }
}

/* Closes all connections; the thread has ended. */
void
mb_entry_peers_finish(mb_entry_loop_t *owner)
{
    while (owner->connections->len > 0) {
        mb_entry_connection_t *connection =
            g_ptr_array_steal_index_fast(owner->connections, 0);
        if (connection->peer != NULL && connection->peer->owner == NULL) {
            mb_target_unref(connection->peer->target);
        }
        free_connection(connection);
    }
    while (owner->peers->len > 0) {
        forget_peer(g_ptr_array_steal_index_fast(owner->peers, 0));
    }
}
