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

/* Returns the index of a name in a table; `count` if it is not there. */
static size_t
find_name(const mb_str_t *names, size_t count, mb_str_t name)
{
    size_t i = 0;
    while (i < count && !mb_str_equal(names[i], name)) {
        i++;
    }
    return i;
}

/* Returns the name of a kind in the API, a static text. */
mb_str_t
mb_resource_kind_name(mb_resource_kind_t kind)
{
    return kind_names[kind];
}

/* Looks up a kind by its name in the API. Returns false for an unknown name
   and then sets *kind to MB_RESOURCE_KIND_COUNT. */
bool
mb_resource_kind_from_name(mb_str_t name, mb_resource_kind_t *kind)
{
    size_t index = find_name(kind_names, MB_RESOURCE_KIND_COUNT, name);
    *kind = (mb_resource_kind_t)index;
    return index < MB_RESOURCE_KIND_COUNT;
}

/* Returns the name of a class in the API, a static text. */
mb_str_t
mb_class_name(mb_class_t priority_class)
{
    return class_names[priority_class];
}

/* Looks up a class by its name in the API. Returns false for an unknown name
   and then sets *priority_class to MB_CLASS_COUNT. */
bool
mb_class_from_name(mb_str_t name, mb_class_t *priority_class)
{
    size_t index = find_name(class_names, MB_CLASS_COUNT, name);
    *priority_class = (mb_class_t)index;
    return index < MB_CLASS_COUNT;
}

/* Returns whether a name is valid: 1 to MB_NAME_MAX letters, digits, '.', '_'
   and '-', the first of which is a letter or a digit. */
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

/* Initializes a resource whose spec is all zero. Released with
   mb_resource_finish. */
void
mb_resource_init(mb_resource_t *resource, mb_resource_kind_t kind,
                 mb_str_t name)
{
    memset(resource, 0, sizeof(*resource));
    resource->kind = kind;
    mb_buf_set(&resource->name, name);
}

/* Appends a copy of a name. Returns false if the list is full. */
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

/* Frees the names. The list is then empty and may be reused. */
void
mb_names_finish(mb_names_t *names)
{
    for (uint32_t i = 0; i < names->count; i++) {
        mb_buf_finish(&names->items[i]);
    }
    g_free(names->items);
    *names = (mb_names_t){0};
}

/* Replaces a list that shares its names with another by a deep copy. */
static void
duplicate_names(mb_names_t *names)
{
    mb_names_t copy = {0};
    for (uint32_t i = 0; i < names->count; i++) {
        (void)mb_names_add(&copy, mb_buf_view(&names->items[i]));
    }
    *names = copy;
}

/* Calls back for each buffer and each list of names that a resource owns. */
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

/* Replaces a buffer that shares its memory with another by a deep copy. */
static void
duplicate_buffer(mb_buf_t *buf)
{
    mb_buf_t copy = {0};
    mb_buf_set(&copy, mb_buf_view(buf));
    *buf = copy;
}

/* Frees everything that the resource owns. */
void
mb_resource_finish(mb_resource_t *resource)
{
    visit_owned(resource, mb_buf_finish, mb_names_finish);
}

/* Sets *copy to a deep copy of `source`. *copy may be uninitialized; what it
   owned before is not freed. */
void
mb_resource_copy(mb_resource_t *copy, const mb_resource_t *source)
{
    *copy = *source;
    visit_owned(copy, duplicate_buffer, duplicate_names);
}

/* Returns whether a demand is within what is available, in every dimension. */
bool
mb_size_fits(const mb_size_t *demand, const mb_size_t *available)
{
    return demand->cpu_milli <= available->cpu_milli &&
           demand->memory_mb <= available->memory_mb &&
           demand->accelerators <= available->accelerators;
}

/* Adds `part` to `sum`, in every dimension. */
void
mb_size_add(mb_size_t *sum, const mb_size_t *part)
{
    sum->cpu_milli += part->cpu_milli;
    sum->memory_mb += part->memory_mb;
    sum->accelerators += part->accelerators;
}

/* Subtracts `part` from `sum`, which must not be less in any dimension. */
void
mb_size_subtract(mb_size_t *sum, const mb_size_t *part)
{
    MB_INVARIANT(mb_size_fits(part, sum), "size_accounting");
    sum->cpu_milli -= part->cpu_milli;
    sum->memory_mb -= part->memory_mb;
    sum->accelerators -= part->accelerators;
}
