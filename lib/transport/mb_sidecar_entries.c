/* The list of entries that a sidecar attaches to. */
#include "mb_settings.h"
#include "mb_sidecar_link.h"

/* Parses the list of entries, which may be empty. */
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
                         "entries: must be at most %d of IPv4:port, separated "
                         "by commas",
                         MB_SIDECAR_ENTRIES_MAX);
            return false;
        }
        entry->node = node;
        node->entry_count++;
    }
    return true;
}

/* A new list of entries on its way to the loop's thread. */
typedef struct entries_task {
    mb_loop_task_t task;
    mb_sidecar_node_t *node;
    uint32_t count;
    uint32_t ips[MB_SIDECAR_ENTRIES_MAX];
    uint16_t ports[MB_SIDECAR_ENTRIES_MAX];
} entries_task_t;

/* Tells whether a list names the address. */
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

/* Finds a place for a new entry: one that is free, or else one without a link
   whose entry is no longer listed. NULL when there is none. */
static mb_sidecar_entry_t *
free_place(mb_sidecar_node_t *node, const entries_task_t *list)
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

/* Takes a new list over. A link that works stays although its entry is no
   longer listed, because it may carry requests; it is not opened again once
   its place is needed. */
static void
take_entries(mb_loop_task_t *task)
{
    entries_task_t *list = (entries_task_t *)task;
    mb_sidecar_node_t *node = list->node;
    for (uint32_t i = 0; i < list->count; i++) {
        bool known = false;
        for (uint32_t j = 0; j < node->entry_count; j++) {
            known |= node->entries[j].ip == list->ips[i] &&
                     node->entries[j].port == list->ports[i];
        }
        mb_sidecar_entry_t *entry = known ? NULL : free_place(node, list);
        if (entry != NULL) {
            *entry = (mb_sidecar_entry_t){.node = node};
            entry->ip = list->ips[i];
            entry->port = list->ports[i];
        }
    }
    g_free(list);
}

/* Sets the entries to attach to (IPv4:port, separated by commas); from any
   thread. Addresses that can't be parsed are passed over. */
void
mb_sidecar_node_set_entries(mb_sidecar_node_t *node, mb_str_t list)
{
    mb_str_t part;
    entries_task_t *task = g_new0(entries_task_t, 1);
    task->task.run = take_entries;
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
