#include "mb_sidecar_link.h"

#include "mb_cleanup.h"
#include "mb_clock.h"
#include "mb_settings.h"

/* A connection to an entry. */
struct mb_sidecar_connection {
    mb_sidecar_entry_t *entry;
    mb_link_t link;
};

/* Closes and frees a connection and sets the pointer to NULL; no effect if it
   is NULL. */
static void
close_connection(mb_sidecar_connection_t **connection)
{
    if (*connection != NULL) {
        mb_link_finish(&(*connection)->link);
        g_free(*connection);
        *connection = NULL;
    }
}

/* Handles HELLO: makes the pending connection the current one and closes the
   previous one. The entry queries on the new connection the outcomes of
   requests that were open on the previous one. */
static void
handle_hello(mb_sidecar_connection_t *connection, const mb_hello_t *hello)
{
    mb_sidecar_entry_t *entry = connection->entry;
    if (hello->role != MB_ROLE_ENTRY ||
        hello->version != MB_PROTOCOL_VERSION) {
        mb_log_warning(&entry->node->log,
                       "unexpected HELLO message version=%u", hello->version);
        connection->link.failed = true;
        return;
    }
    if (connection == entry->pending) {
        close_connection(&entry->current);
        entry->current = connection;
        entry->pending = NULL;
    }
    entry->process = hello->process;
    entry->incarnation = hello->incarnation;
    entry->granted = 0;
    mb_log_info(&entry->node->log, "attached to entry port=%u", entry->port);
    mb_sidecar_node_handle_attached(entry);
}

/* Callback of the link: handles a message of an entry. */
static void
handle_message(void *context, mb_link_t *link, const mb_message_t *message)
{
    mb_sidecar_connection_t *connection = context;
    mb_sidecar_entry_t *entry = connection->entry;
    if (message->type == MB_MESSAGE_HELLO) {
        handle_hello(connection, &message->body.hello);
    }
    else if (message->type == MB_MESSAGE_PING) {
        mb_message_t pong = {.type = MB_MESSAGE_PONG};
        pong.body.sequence = message->body.sequence;
        (void)mb_link_send(link, &pong);
    }
    else if (connection == entry->current) {
        mb_sidecar_node_handle_message(entry, message);
    }
}

/* Callback of the link: frees a connection that has ended; the next tick opens
   another one. */
static void
connection_closed(void *context, mb_link_t *link)
{
    mb_sidecar_connection_t *connection = context;
    mb_sidecar_entry_t *entry = connection->entry;
    (void)link;
    close_connection(connection == entry->current ? &entry->current
                                                  : &entry->pending);
}

/* Opens the pending connection and announces the upstream on it with HELLO. */
static void
open_connection(mb_sidecar_entry_t *entry, uint64_t now_ms)
{
    mb_sidecar_node_t *node = entry->node;
    int fd = mb_tcp_connect(entry->ip, entry->port, NULL);
    if (fd < 0) {
        return;
    }
    mb_sidecar_connection_t *connection = g_new0(mb_sidecar_connection_t, 1);
    mb_link_callbacks_t callbacks = {handle_message, connection_closed,
                                     connection};
    mb_message_t hello = {.type = MB_MESSAGE_HELLO};
    connection->entry = entry;
    if (!mb_link_init(&connection->link, &node->loop, fd, true, &callbacks)) {
        g_free(connection);
        return;
    }
    entry->pending = connection;
    entry->pending_since_ms = now_ms;
    hello.body.hello = (mb_hello_t){
        .version = MB_PROTOCOL_VERSION,
        .process = node->config.process,
        .incarnation = node->config.incarnation,
        .role = MB_ROLE_SIDECAR,
        .failure_domain = mb_buf_view(&node->failure_domain),
        .service = mb_buf_view(&node->service),
        .slots = node->config.slots,
    };
    (void)mb_link_send(&connection->link, &hello);
}

/* Sends the heartbeat, and opens a connection if there is none or the current
   one is silent. A pending connection without HELLO is closed after the
   suspicion time-out, and another one is opened. */
void
mb_sidecar_entry_tick(mb_sidecar_entry_t *entry, uint64_t now_ms)
{
    bool silent = entry->current == NULL ||
                  mb_link_is_suspect(&entry->current->link, now_ms);
    if (entry->current != NULL) {
        mb_link_ping(&entry->current->link, now_ms);
    }
    if (entry->pending != NULL &&
        now_ms > entry->pending_since_ms + MB_LINK_SUSPECT_MS) {
        close_connection(&entry->pending);
    }
    if (silent && entry->pending == NULL) {
        open_connection(entry, now_ms);
    }
}

/* Closes all connections to an entry. */
void
mb_sidecar_entry_finish(mb_sidecar_entry_t *entry)
{
    close_connection(&entry->current);
    close_connection(&entry->pending);
}

/* Returns whether the entry has answered on a connection that is still
   open. */
bool
mb_sidecar_entry_is_attached(const mb_sidecar_entry_t *entry)
{
    return entry->current != NULL;
}

/* Sends a message on the current connection. If too many bytes wait there
   already, the connection is closed, and the entry queries the outcomes it has
   missed on the next one. */
void
mb_sidecar_entry_send(mb_sidecar_entry_t *entry, const mb_message_t *message)
{
    if (entry->current != NULL &&
        !mb_link_send(&entry->current->link, message)) {
        mb_link_fail(&entry->current->link);
    }
}

/* Returns the number of bytes that wait to be sent on the current
   connection. */
size_t
mb_sidecar_entry_count_unsent(const mb_sidecar_entry_t *entry)
{
    return entry->current != NULL ? entry->current->link.send_buffer.len : 0;
}

/* Returns whether there is a connection to the entry, including one on which
   no HELLO has been received yet. */
bool
mb_sidecar_entry_has_connection(const mb_sidecar_entry_t *entry)
{
    return entry->current != NULL || entry->pending != NULL;
}
