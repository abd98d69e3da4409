#include "mb_sidecar_link.h"

#include "mb_cleanup.h"
#include "mb_clock.h"
#include "mb_settings.h"

/* One connection to an entry. */
struct mb_sidecar_connection {
    mb_sidecar_entry_t *entry;
    mb_link_t link;
};

/* Closes a connection, if there is one. */
static void
close_connection(mb_sidecar_connection_t **connection)
{
    if (*connection != NULL) {
        mb_link_finish(&(*connection)->link);
        g_free(*connection);
        *connection = NULL;
    }
}

/* Makes the connection that has said HELLO the current one. The entry asks on
   it for what was open on the one before, which is closed. */
static void
take_hello(mb_sidecar_connection_t *connection, const mb_hello_t *hello)
{
    mb_sidecar_entry_t *entry = connection->entry;
    if (hello->role != MB_ROLE_ENTRY ||
        hello->version != MB_PROTOCOL_VERSION) {
        mb_log_warning(&entry->node->log, "unexpected hello version=%u",
                       hello->version);
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

/* Takes one message of an entry. */
static void
connection_message(void *context, mb_link_t *link, const mb_message_t *message)
{
    mb_sidecar_connection_t *connection = context;
    mb_sidecar_entry_t *entry = connection->entry;
    if (message->type == MB_MESSAGE_HELLO) {
        take_hello(connection, &message->body.hello);
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

/* Forgets a connection that ended; the next tick opens another. */
static void
connection_closed(void *context, mb_link_t *link)
{
    mb_sidecar_connection_t *connection = context;
    mb_sidecar_entry_t *entry = connection->entry;
    (void)link;
    close_connection(connection == entry->current ? &entry->current
                                                  : &entry->pending);
}

/* Opens a connection and announces the upstream on it. */
static void
open_connection(mb_sidecar_entry_t *entry, uint64_t now_ms)
{
    mb_sidecar_node_t *node = entry->node;
    int fd = mb_tcp_connect(entry->ip, entry->port, NULL);
    if (fd < 0) {
        return;
    }
    mb_sidecar_connection_t *connection = g_new0(mb_sidecar_connection_t, 1);
    mb_link_callbacks_t callbacks = {connection_message, connection_closed,
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

/* Sends the heartbeat, and opens a connection when there is none or when the
   current one is silent. One that does not get through in the time after
   which a link is suspect is given up for another. */
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

/* Tells whether the entry has answered on the current connection. */
bool
mb_sidecar_entry_is_attached(const mb_sidecar_entry_t *entry)
{
    return entry->current != NULL;
}

/* Sends on the current connection. When too much waits there already, the
   connection is ended, so that the entry asks for what it has missed. */
void
mb_sidecar_entry_send(mb_sidecar_entry_t *entry, const mb_message_t *message)
{
    if (entry->current != NULL &&
        !mb_link_send(&entry->current->link, message)) {
        mb_link_fail(&entry->current->link);
    }
}

/* Returns how many bytes wait to be sent. */
size_t
mb_sidecar_entry_count_unsent(const mb_sidecar_entry_t *entry)
{
    return entry->current != NULL ? entry->current->link.send_buffer.len : 0;
}

/* Tells whether there is a connection to the entry, also one that has not
   said HELLO yet. */
bool
mb_sidecar_entry_has_connection(const mb_sidecar_entry_t *entry)
{
    return entry->current != NULL || entry->pending != NULL;
}
