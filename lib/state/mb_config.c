#include "mb_config.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

/* Buckets of one kind's table. A write copies one array of this many
   pointers and one bucket; with 23,000 workers a bucket has about 45. */
#define BUCKETS 512

typedef struct slot {
    uint64_t hash;
    mb_resource_t *resource;
} slot_t;

/* Immutable once published. */
typedef struct bucket {
    uint32_t count;
    slot_t slots[];
} bucket_t;

typedef struct table {
    size_t count;
    bucket_t *buckets[BUCKETS]; /* NULL when empty */
} table_t;

struct mb_config_version {
    uint64_t revision;
    table_t *tables[MB_RESOURCE_KIND_COUNT];
    /* What the next version replaced; freed with this one. Written by the
       writer alone. */
    table_t *dead_table;
    bucket_t *dead_bucket;
    mb_resource_t *dead_resource;
    bool dead_whole;
};

/* A change as the ring keeps it. */
typedef struct kept_change {
    uint64_t revision;
    mb_resource_kind_t kind;
    bool deleted;
    size_t name_len;
    char name[MB_NAME_MAX + 1];
} kept_change_t;

/* The latest changes. Not on the path of a request, so a mutex will do. */
typedef struct change_ring {
    pthread_mutex_t lock;
    uint64_t written;
    uint64_t floor; /* changes up to this revision may be missing */
    kept_change_t items[MB_CONFIG_CHANGES_MAX];
} change_ring_t;

/* Frees a resource on the heap. */
static void
free_resource(mb_resource_t *resource)
{
    if (resource != NULL) {
        mb_resource_finish(resource);
        g_free(resource);
    }
}

/* Frees a table with all that it holds. */
static void
free_table(table_t *table)
{
    for (size_t i = 0; i < BUCKETS; i++) {
        bucket_t *bucket = table->buckets[i];
        for (uint32_t j = 0; bucket != NULL && j < bucket->count; j++) {
            free_resource(bucket->slots[j].resource);
        }
        g_free(bucket);
    }
    g_free(table);
}

/* Frees a version and what only it refers to. */
static void
destroy_version(void *memory)
{
    mb_config_version_t *version = memory;
    for (int i = 0; version->dead_whole && i < MB_RESOURCE_KIND_COUNT; i++) {
        free_table(version->tables[i]);
    }
    g_free(version->dead_table);
    g_free(version->dead_bucket);
    free_resource(version->dead_resource);
    g_free(version);
}

/* Makes an empty version. */
static mb_config_version_t *
new_version(void)
{
    mb_config_version_t *version = g_new0(mb_config_version_t, 1);
    for (int i = 0; i < MB_RESOURCE_KIND_COUNT; i++) {
        version->tables[i] = g_new0(table_t, 1);
    }
    return version;
}

/* Starts with no resources at revision 0. */
void
mb_config_init(mb_config_t *config, mb_epoch_t *epoch)
{
    change_ring_t *ring = g_new0(change_ring_t, 1);
    (void)pthread_mutex_init(&ring->lock, NULL);
    config->epoch = epoch;
    config->version = new_version();
    config->loading = NULL;
    config->changes = ring;
}

/* Frees everything; there are no readers any more. */
void
mb_config_finish(mb_config_t *config)
{
    change_ring_t *ring = config->changes;
    mb_config_version_t *version = config->version;
    mb_config_version_t *loading = config->loading;
    version->dead_whole = true;
    destroy_version(version);
    if (loading != NULL) {
        loading->dead_whole = true;
        destroy_version(loading);
    }
    (void)pthread_mutex_destroy(&ring->lock);
    g_free(ring);
}

/* Returns the version that the writer builds on. */
static mb_config_version_t *
written_version(const mb_config_t *config)
{
    return config->loading != NULL ? config->loading : config->version;
}

/* Finds a slot of a table by name. */
static slot_t *
find_slot(const table_t *table, uint64_t hash, mb_str_t name)
{
    bucket_t *bucket = table->buckets[hash % BUCKETS];
    for (uint32_t i = 0; bucket != NULL && i < bucket->count; i++) {
        slot_t *slot = &bucket->slots[i];
        if (slot->hash == hash &&
            mb_str_equal(mb_buf_view(&slot->resource->name), name)) {
            return slot;
        }
    }
    return NULL;
}

/* Copies a bucket without one slot (NULL: with all) and with another added
   (NULL resource: none). */
static bucket_t *
copy_bucket(const bucket_t *old, const slot_t *without, slot_t added)
{
    uint32_t count = old != NULL ? old->count : 0;
    bucket_t *bucket =
        g_malloc0(sizeof(*bucket) + (count + 1) * sizeof(bucket->slots[0]));
    for (uint32_t i = 0; i < count; i++) {
        if (&old->slots[i] != without) {
            bucket->slots[bucket->count++] = old->slots[i];
        }
    }
    if (added.resource != NULL) {
        bucket->slots[bucket->count++] = added;
    }
    return bucket;
}

/* Puts a change into the ring. */
static void
keep_change(const mb_config_t *config, const mb_config_change_t *change)
{
    change_ring_t *ring = config->changes;
    (void)pthread_mutex_lock(&ring->lock);
    kept_change_t *kept = &ring->items[ring->written % MB_CONFIG_CHANGES_MAX];
    if (ring->written >= MB_CONFIG_CHANGES_MAX) {
        ring->floor = kept->revision;
    }
    kept->revision = change->revision;
    kept->kind = change->kind;
    kept->deleted = change->deleted;
    kept->name_len = MIN(change->name.len, MB_NAME_MAX);
    memcpy(kept->name, change->name.data, kept->name_len);
    ring->written++;
    (void)pthread_mutex_unlock(&ring->lock);
}

/* Replaces one slot in a new version and publishes it, or changes the version
   that is loading in place, which has no readers. */
static void
replace_slot(mb_config_t *config, mb_resource_kind_t kind, uint64_t hash,
             const slot_t *old, slot_t added, uint64_t revision)
{
    mb_config_version_t *version = written_version(config);
    table_t *table = version->tables[kind];
    bucket_t *bucket = table->buckets[hash % BUCKETS];
    mb_resource_t *dead = old != NULL ? old->resource : NULL;
    bucket_t *next_bucket = copy_bucket(bucket, old, added);
    size_t count = table->count - (old != NULL) + (added.resource != NULL);
    if (config->loading != NULL) {
        table->buckets[hash % BUCKETS] = next_bucket;
        table->count = count;
        g_free(bucket);
        free_resource(dead);
        return;
    }
    table_t *next_table = g_memdup2(table, sizeof(*table));
    mb_config_version_t *next = g_memdup2(version, sizeof(*version));
    next_table->buckets[hash % BUCKETS] = next_bucket;
    next_table->count = count;
    next->tables[kind] = next_table;
    next->revision = revision;
    version->dead_table = table;
    version->dead_bucket = bucket;
    version->dead_resource = dead;
    mb_epoch_publish(config->epoch, &config->version, next, destroy_version);
}

/* Tells whether a write with this expectation may replace the slot. */
static bool
expectation_holds(const slot_t *slot, uint64_t expected, uint64_t *current)
{
    *current = slot != NULL ? slot->resource->revision : 0;
#ifdef MB_MUTANT_REVISION_NOT_CHECKED
    return expected <= MB_REVISION_ANY;
#else
    return expected == MB_REVISION_ANY || expected == *current;
#endif
}

/* Puts a resource into force at `revision`. */
mb_config_result_t
mb_config_put(mb_config_t *config, mb_resource_t *resource, uint64_t expected,
              uint64_t revision, uint64_t *current)
{
    mb_str_t name = mb_buf_view(&resource->name);
    uint64_t hash = mb_str_hash(name);
    mb_config_version_t *version = written_version(config);
    slot_t *old = find_slot(version->tables[resource->kind], hash, name);
    if (!expectation_holds(old, expected, current)) {
        mb_resource_finish(resource);
        return MB_CONFIG_CONFLICT;
    }
    mb_resource_t *kept = g_memdup2(resource, sizeof(*resource));
    mb_config_change_t change = {revision, kept->kind, name, false};
    kept->revision = revision;
    replace_slot(config, kept->kind, hash, old, (slot_t){hash, kept},
                 revision);
    if (config->loading == NULL) {
        keep_change(config, &change);
    }
    return MB_CONFIG_APPLIED;
}

/* Removes a resource at `revision`. */
mb_config_result_t
mb_config_delete(mb_config_t *config, mb_resource_kind_t kind, mb_str_t name,
                 uint64_t expected, uint64_t revision, uint64_t *current)
{
    uint64_t hash = mb_str_hash(name);
    mb_config_version_t *version = written_version(config);
    slot_t *old = find_slot(version->tables[kind], hash, name);
    if (!expectation_holds(old, expected, current)) {
        return MB_CONFIG_CONFLICT;
    }
    if (old == NULL) {
        return MB_CONFIG_MISSING;
    }
    mb_config_change_t change = {revision, kind, name, true};
    keep_change(config, &change);
    replace_slot(config, kind, hash, old, (slot_t){0, NULL}, revision);
    return MB_CONFIG_APPLIED;
}

/* See the header. */
void
mb_config_begin_load(mb_config_t *config)
{
    mb_config_version_t *loading = config->loading;
    if (loading != NULL) {
        loading->dead_whole = true;
        destroy_version(loading);
    }
    config->loading = new_version();
}

/* Publishes the version begun by mb_config_begin_load. Watchers must read all
   again, because the single changes are not known. */
void
mb_config_publish(mb_config_t *config, uint64_t revision)
{
    mb_config_version_t *next = config->loading;
    mb_config_version_t *old = config->version;
    change_ring_t *ring = config->changes;
    g_assert(next != NULL);
    next->revision = revision;
    old->dead_whole = true;
    config->loading = NULL;
    mb_epoch_publish(config->epoch, &config->version, next, destroy_version);
    (void)pthread_mutex_lock(&ring->lock);
    ring->written = 0;
    ring->floor = revision;
    (void)pthread_mutex_unlock(&ring->lock);
}

/* See the header. */
bool
mb_config_changes_since(const mb_config_t *config, uint64_t from,
                        void (*visit)(void *context,
                                      const mb_config_change_t *change),
                        void *context)
{
    change_ring_t *ring = config->changes;
    (void)pthread_mutex_lock(&ring->lock);
    uint64_t first = ring->written > MB_CONFIG_CHANGES_MAX
                         ? ring->written - MB_CONFIG_CHANGES_MAX
                         : 0;
    bool complete = ring->floor == 0 || from > ring->floor;
    for (uint64_t i = first; complete && i < ring->written; i++) {
        const kept_change_t *kept = &ring->items[i % MB_CONFIG_CHANGES_MAX];
        mb_config_change_t change = {kept->revision,
                                     kept->kind,
                                     {kept->name, kept->name_len},
                                     kept->deleted};
        if (kept->revision >= from) {
            visit(context, &change);
        }
    }
    (void)pthread_mutex_unlock(&ring->lock);
    return complete;
}

/* Returns the version in force; valid until the section is left. */
const mb_config_version_t *
mb_config_load(const mb_config_t *config)
{
    return mb_epoch_load(&config->version);
}

/* Returns the log offset of the last change. */
uint64_t
mb_config_revision(const mb_config_version_t *version)
{
    return version->revision;
}

/* Returns how many resources of a kind there are. */
size_t
mb_config_count(const mb_config_version_t *version, mb_resource_kind_t kind)
{
    return version->tables[kind]->count;
}

/* Finds a resource by name; NULL when it is not declared. */
const mb_resource_t *
mb_config_find(const mb_config_version_t *version, mb_resource_kind_t kind,
               mb_str_t name)
{
    slot_t *slot = find_slot(version->tables[kind], mb_str_hash(name), name);
    return slot != NULL ? slot->resource : NULL;
}

/* Calls back for each resource of a kind, in no particular order. */
void
mb_config_each(const mb_config_version_t *version, mb_resource_kind_t kind,
               void (*visit)(void *context, const mb_resource_t *resource),
               void *context)
{
    const table_t *table = version->tables[kind];
    for (size_t i = 0; i < BUCKETS; i++) {
        const bucket_t *bucket = table->buckets[i];
        for (uint32_t j = 0; bucket != NULL && j < bucket->count; j++) {
            visit(context, bucket->slots[j].resource);
        }
    }
}
