#include "mb_resource.h"

#include <glib.h>
#include <string.h>

#include "mb_assert.h"

static const mb_str_t kind_names[MB_RESOURCE_KIND_COUNT] = {
    [MB_RESOURCE_SERVICE] = {"service", 7},
    [MB_RESOURCE_JOB] = {"job", 3},
    [MB_RESOURCE_TEAM] = {"team", 4},
    [MB_RESOURCE_CONSTRAINT] = {"constraint", 10},
    [MB_RESOURCE_POLICY] = {"policy", 6},
    [MB_RESOURCE_WORKER] = {"worker", 6},
};

static const mb_str_t class_names[MB_CLASS_COUNT] = {
    [MB_CLASS_URGENT] = {"urgent", 6},
    [MB_CLASS_NORMAL] = {"normal", 6},
    [MB_CLASS_BATCH] = {"batch", 5},
};

/* Finds a text in a table; returns `count` when it is not there. */
static size_t
find_name(const mb_str_t *names, size_t count, mb_str_t name)
{
    size_t i = 0;
    while (i < count && !mb_str_equal(names[i], name)) {
        i++;
    }
    return i;
}

/* Returns the name of a kind as in the resource API. */
mb_str_t
mb_resource_kind_name(mb_resource_kind_t kind)
{
    return kind_names[kind];
}

/* Finds the kind with this name; false for an unknown name. */
bool
mb_resource_kind_from_name(mb_str_t name, mb_resource_kind_t *kind)
{
    size_t row = find_name(kind_names, MB_RESOURCE_KIND_COUNT, name);
    *kind = (mb_resource_kind_t)row;
    return row < MB_RESOURCE_KIND_COUNT;
}

/* Returns the name of a class as in the resource API. */
mb_str_t
mb_class_name(mb_class_t priority_class)
{
    return class_names[priority_class];
}

/* Finds the class with this name; false for an unknown name. */
bool
mb_class_from_name(mb_str_t name, mb_class_t *priority_class)
{
    size_t row = find_name(class_names, MB_CLASS_COUNT, name);
    *priority_class = (mb_class_t)row;
    return row < MB_CLASS_COUNT;
}

/* Tells whether a name has 1 to MB_NAME_MAX letters, digits, '.', '_' or '-'
   and starts with a letter or digit. */
bool
mb_resource_name_valid(mb_str_t name)
{
    if (name.len == 0 || name.len > MB_NAME_MAX ||
        !g_ascii_isalnum(name.data[0])) {
        return false;
    }
    for (size_t i = 0; i < name.len; i++) {
        char byte = name.data[i];
        if (!g_ascii_isalnum(byte) && byte != '.' && byte != '_' &&
            byte != '-') {
            return false;
        }
    }
    return true;
}

/* Makes a resource whose spec is all zero. */
void
mb_resource_init(mb_resource_t *resource, mb_resource_kind_t kind,
                 mb_str_t name)
{
    memset(resource, 0, sizeof(*resource));
    resource->kind = kind;
    mb_buf_set(&resource->name, name);
}

/* Adds a copy of a name; false when the list is full. */
bool
mb_names_add(mb_names_t *names, mb_str_t name)
{
    if (names->count >= MB_NAMES_MAX) {
        return false;
    }
    names->items = g_renew(mb_buf_t, names->items, names->count + 1);
    mb_buf_init(&names->items[names->count]);
    mb_buf_set(&names->items[names->count], name);
    names->count++;
    return true;
}

/* Frees the names and leaves an empty list. */
void
mb_names_finish(mb_names_t *names)
{
    for (uint32_t i = 0; i < names->count; i++) {
        mb_buf_finish(&names->items[i]);
    }
    g_free(names->items);
    *names = (mb_names_t){0};
}

/* Replaces a shared list by a copy of its own. */
static void
duplicate_names(mb_names_t *names)
{
    mb_names_t copy = {0};
    for (uint32_t i = 0; i < names->count; i++) {
        (void)mb_names_add(&copy, mb_buf_view(&names->items[i]));
    }
    *names = copy;
}

/* Calls back for each owned buffer and list of names of a resource. */
static void
visit_owned(mb_resource_t *resource, void (*visit)(mb_buf_t *buf),
            void (*visit_names)(mb_names_t *names))
{
    visit(&resource->name);
    switch (resource->kind) {
    case MB_RESOURCE_SERVICE:
        visit(&resource->spec.service.team);
        visit(&resource->spec.service.host);
        visit(&resource->spec.service.constraint);
        visit(&resource->spec.service.command);
        break;
    case MB_RESOURCE_JOB:
        visit(&resource->spec.job.team);
        visit(&resource->spec.job.constraint);
        visit(&resource->spec.job.command);
        break;
    case MB_RESOURCE_CONSTRAINT:
        visit_names(&resource->spec.constraint.regions);
        visit_names(&resource->spec.constraint.failure_domains);
        visit_names(&resource->spec.constraint.racks);
        break;
    case MB_RESOURCE_WORKER:
        visit(&resource->spec.worker.address);
        visit(&resource->spec.worker.region);
        visit(&resource->spec.worker.failure_domain);
        visit(&resource->spec.worker.rack);
        break;
    case MB_RESOURCE_TEAM:
    case MB_RESOURCE_POLICY:
    case MB_RESOURCE_KIND_COUNT:
        break;
    }
}

/* Replaces a shared buffer by a copy of its own. */
static void
duplicate_buffer(mb_buf_t *buf)
{
    mb_buf_t copy = {0};
    mb_buf_set(&copy, mb_buf_view(buf));
    *buf = copy;
}

/* Frees all owned text. */
void
mb_resource_finish(mb_resource_t *resource)
{
    visit_owned(resource, mb_buf_finish, mb_names_finish);
}

/* Makes `copy` an independent copy; it must not own anything before. */
void
mb_resource_copy(mb_resource_t *copy, const mb_resource_t *source)
{
    *copy = *source;
    visit_owned(copy, duplicate_buffer, duplicate_names);
}

/* Tells whether the need fits into the room in every dimension. */
bool
mb_size_fits(const mb_size_t *need, const mb_size_t *room)
{
    return need->cpu_milli <= room->cpu_milli &&
           need->memory_mb <= room->memory_mb &&
           need->accelerators <= room->accelerators;
}

/* Adds a part to a sum. */
void
mb_size_add(mb_size_t *sum, const mb_size_t *part)
{
    sum->cpu_milli += part->cpu_milli;
    sum->memory_mb += part->memory_mb;
    sum->accelerators += part->accelerators;
}

/* Takes a part off a sum that contains it. */
void
mb_size_subtract(mb_size_t *sum, const mb_size_t *part)
{
    MB_INVARIANT(mb_size_fits(part, sum), "size_accounting");
    sum->cpu_milli -= part->cpu_milli;
    sum->memory_mb -= part->memory_mb;
    sum->accelerators -= part->accelerators;
}
