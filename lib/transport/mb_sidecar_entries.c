/* The list of entries that a sidecar attaches to: parsing the configured list,
   and replacing it while the sidecar runs. */
#include "mb_settings.h"
#include "mb_sidecar_link.h"

/* Parses the configured list of entries, which may be empty; before the thread
   starts. */
bool
mb_sidecar_parse_entries(mb_sidecar_node_t *node, mb_str_t list,
                         GError **error)
{
    mb_str_t part;
    while (mb_str_split(&list, ',', &part)) {
        if (mb_str_trim(part).len == 0) {
            continue;
        }
        mb_sidecar_entry_t *entry = &node->entries[node->entry_count];
        if (node->entry_count == MB_SIDECAR_ENTRIES_MAX ||
            !mb_address_parse(mb_str_trim(part), &entry->ip, &entry->port)) {
            mb_error_set(error, MB_KIND_CONFIG,
                         "entries: must be at most %d addresses IPv4:port, "
                         "separated by commas",
                         MB_SIDECAR_ENTRIES_MAX);
            return false;
        }
        entry->node = node;
        node->entry_count++;
    }
    return true;
}

/* A task that passes a new list of entries to the loop thread. */
typedef struct entries_task {
    mb_loop_task_t task;
    mb_sidecar_node_t *node;
    uint32_t count;
    uint32_t ips[MB_SIDECAR_ENTRIES_MAX];
    uint16_t ports[MB_SIDECAR_ENTRIES_MAX];
} entries_task_t;

/* Returns whether a list contains the address. */
static bool
list_has(const entries_task_t *list, uint32_t ip, uint16_t port)
{
    for (uint32_t i = 0; i < list->count; i++) {
        if (list->ips[i] == ip && list->ports[i] == port) {
            return true;
        }
    }
    return false;
}

/* Finds a place for a new entry: that of an entry without a connection which
   is no longer in the list, or else an unused one. NULL when there is none. */
static mb_sidecar_entry_t *
find_place(mb_sidecar_node_t *node, const entries_task_t *list)
{
    for (uint32_t i = 0; i < node->entry_count; i++) {
        mb_sidecar_entry_t *entry = &node->entries[i];
        if (!mb_sidecar_entry_has_connection(entry) &&
            !list_has(list, entry->ip, entry->port)) {
            return entry;
        }
    }
    return node->entry_count < MB_SIDECAR_ENTRIES_MAX
               ? &node->entries[node->entry_count++]
               : NULL;
}

/* Task on the loop thread: adds the entries of a new list. An entry that is no
   longer in the list keeps its place and its connection, which may carry
   requests. If the connection is lost, the sidecar connects again, unless a
   new entry has taken the place by then. */
static void
update_entries(mb_loop_task_t *task)
{
    entries_task_t *list = (entries_task_t *)task;
    mb_sidecar_node_t *node = list->node;
    for (uint32_t i = 0; i < list->count; i++) {
        bool known = false;
        for (uint32_t j = 0; j < node->entry_count; j++) {
            known |= node->entries[j].ip == list->ips[i] &&
                     node->entries[j].port == list->ports[i];
        }
        mb_sidecar_entry_t *entry = known ? NULL : find_place(node, list);
        if (entry != NULL) {
            *entry = (mb_sidecar_entry_t){.node = node};
            entry->ip = list->ips[i];
            entry->port = list->ports[i];
        }
    }
    g_free(list);
}

/* Parses a list of entries and posts it to the loop thread; from any thread.
   Invalid addresses are ignored. */
void
mb_sidecar_node_set_entries(mb_sidecar_node_t *node, mb_str_t list)
{
    mb_str_t part;
    entries_task_t *task = g_new0(entries_task_t, 1);
    task->task.run = update_entries;
    task->node = node;
    while (task->count < MB_SIDECAR_ENTRIES_MAX &&
           mb_str_split(&list, ',', &part)) {
        if (mb_address_parse(mb_str_trim(part), &task->ips[task->count],
                             &task->ports[task->count])) {
            task->count++;
        }
    }
    if (!mb_loop_post(&node->loop, &task->task)) {
        g_free(task);
    }
}
