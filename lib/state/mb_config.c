#include "mb_config.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

/* Buckets of the hash table of one resource kind. A write copies the array of
   this many pointers and one bucket, which has about 45 entries if there are
   23,000 workers. */
#define BUCKETS 512

typedef struct slot {
    uint64_t hash; /* of the name */
    mb_resource_t *resource;
} slot_t;

/* Resources whose hashes fall into the same bucket. Immutable once
   published. */
typedef struct bucket {
    uint32_t count;
    slot_t slots[];
} bucket_t;

/* The resources of one kind. Immutable once published. */
typedef struct table {
    size_t count;
    bucket_t *buckets[BUCKETS]; /* NULL when empty */
} table_t;

struct mb_config_version {
    uint64_t revision;
    table_t *tables[MB_RESOURCE_KIND_COUNT];
    /* What the next version does not share with this one: set when that is
       published, and freed with this one. NULL if there is nothing. Accessed
       by the writer only. */
    table_t *replaced_table;
    bucket_t *replaced_bucket;
    mb_resource_t *replaced_resource;
    bool frees_tables; /* the next version shares no table with this one */
};

/* A change in the ring buffer. */
typedef struct recent_change {
    uint64_t revision;
    mb_resource_kind_t kind;
    bool deleted;
    size_t name_len;
    char name[MB_NAME_MAX + 1];
} recent_change_t;

/* Ring buffer of the latest changes. Protected by a mutex, as it is not
   accessed while a request is served. */
typedef struct change_ring {
    pthread_mutex_t lock;
    uint64_t written;          /* number of changes added */
    uint64_t dropped_revision; /* latest revision whose change may be missing;
                                  0: none is missing */
    recent_change_t items[MB_CONFIG_CHANGES_MAX];
} change_ring_t;

/* Frees a resource that was allocated with GLib; NULL is ignored. */
static void
free_resource(mb_resource_t *resource)
{
    if (resource != NULL) {
        mb_resource_finish(resource);
        g_free(resource);
    }
}

/* Frees a table with its buckets and resources. */
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

/* Frees a version and what it does not share with the next one; called after
   the grace period. */
static void
destroy_version(void *memory)
{
    mb_config_version_t *version = memory;
    for (int i = 0; version->frees_tables && i < MB_RESOURCE_KIND_COUNT; i++) {
        free_table(version->tables[i]);
    }
    g_free(version->replaced_table);
    g_free(version->replaced_bucket);
    free_resource(version->replaced_resource);
    g_free(version);
}

/* Returns a new, empty version at revision 0. */
static mb_config_version_t *
new_version(void)
{
    mb_config_version_t *version = g_new0(mb_config_version_t, 1);
    for (int i = 0; i < MB_RESOURCE_KIND_COUNT; i++) {
        version->tables[i] = g_new0(table_t, 1);
    }
    return version;
}

/* Initializes an empty configuration at revision 0. `epoch`, which is
   borrowed, is the reclamation domain of its versions. */
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

/* Frees all versions and changes. There must be no readers any more. */
void
mb_config_finish(mb_config_t *config)
{
    change_ring_t *ring = config->changes;
    mb_config_version_t *version = config->version;
    mb_config_version_t *loading = config->loading;
    version->frees_tables = true;
    destroy_version(version);
    if (loading != NULL) {
        loading->frees_tables = true;
        destroy_version(loading);
    }
    (void)pthread_mutex_destroy(&ring->lock);
    g_free(ring);
}

/* Returns the version that the next write is based on: the one being loaded,
   if any, else the published one. */
static mb_config_version_t *
get_writer_version(const mb_config_t *config)
{
    return config->loading != NULL ? config->loading : config->version;
}

/* Finds the slot of a resource by name; NULL if there is none. */
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

/* Returns a copy of a bucket, which may be NULL, without the slot `without`
   unless that is NULL, and with the slot `added` unless its resource is
   NULL. */
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

/* Adds a change to the ring buffer; the oldest one is overwritten if full. */
static void
record_change(const mb_config_t *config, const mb_config_change_t *change)
{
    change_ring_t *ring = config->changes;
    (void)pthread_mutex_lock(&ring->lock);
    recent_change_t *kept =
        &ring->items[ring->written % MB_CONFIG_CHANGES_MAX];
    if (ring->written >= MB_CONFIG_CHANGES_MAX) {
        ring->dropped_revision = kept->revision;
    }
    kept->revision = change->revision;
    kept->kind = change->kind;
    kept->deleted = change->deleted;
    kept->name_len = MIN(change->name.len, MB_NAME_MAX);
    memcpy(kept->name, change->name.data, kept->name_len);
    ring->written++;
    (void)pthread_mutex_unlock(&ring->lock);
}

/* Replaces the slot `old` (NULL: none) by `added` (NULL resource: none). If a
   version is being loaded, which has no readers, it is changed in place;
   otherwise a new version is published, which shares all other buckets and
   tables with the present one. */
static void
replace_slot(mb_config_t *config, mb_resource_kind_t kind, uint64_t hash,
             const slot_t *old, slot_t added, uint64_t revision)
{
    mb_config_version_t *version = get_writer_version(config);
    table_t *table = version->tables[kind];
    bucket_t *bucket = table->buckets[hash % BUCKETS];
    mb_resource_t *replaced = old != NULL ? old->resource : NULL;
    bucket_t *next_bucket = copy_bucket(bucket, old, added);
    size_t count = table->count - (old != NULL) + (added.resource != NULL);
    if (config->loading != NULL) {
        table->buckets[hash % BUCKETS] = next_bucket;
        table->count = count;
        g_free(bucket);
        free_resource(replaced);
        return;
    }
    table_t *next_table = g_memdup2(table, sizeof(*table));
    mb_config_version_t *next = g_memdup2(version, sizeof(*version));
    next_table->buckets[hash % BUCKETS] = next_bucket;
    next_table->count = count;
    next->tables[kind] = next_table;
    next->revision = revision;
    version->replaced_table = table;
    version->replaced_bucket = bucket;
    version->replaced_resource = replaced;
    mb_epoch_publish(config->epoch, &config->version, next, destroy_version);
}

/* Returns whether a write that expects the revision `expected` may replace the
   slot, which is NULL if there is no resource. Sets *current to the revision
   of the resource, 0 if there is none. */
static bool
revision_matches(const slot_t *slot, uint64_t expected, uint64_t *current)
{
    *current = slot != NULL ? slot->resource->revision : 0;
#ifdef MB_MUTANT_REVISION_NOT_CHECKED
    return expected <= MB_REVISION_ANY;
#else
    return expected == MB_REVISION_ANY || expected == *current;
#endif
}

/* Creates or replaces a resource; see the header. */
mb_config_result_t
mb_config_put(mb_config_t *config, mb_resource_t *resource, uint64_t expected,
              uint64_t revision, uint64_t *current)
{
    mb_str_t name = mb_buf_view(&resource->name);
    uint64_t hash = mb_str_hash(name);
    mb_config_version_t *version = get_writer_version(config);
    slot_t *old = find_slot(version->tables[resource->kind], hash, name);
    if (!revision_matches(old, expected, current)) {
        mb_resource_finish(resource);
        return MB_CONFIG_CONFLICT;
    }
    mb_resource_t *kept = g_memdup2(resource, sizeof(*resource));
    mb_config_change_t change = {revision, kept->kind, name, false};
    kept->revision = revision;
    replace_slot(config, kept->kind, hash, old, (slot_t){hash, kept},
                 revision);
    if (config->loading == NULL) {
        record_change(config, &change);
    }
    return MB_CONFIG_APPLIED;
}

/* Removes a resource; see the header. */
mb_config_result_t
mb_config_delete(mb_config_t *config, mb_resource_kind_t kind, mb_str_t name,
                 uint64_t expected, uint64_t revision, uint64_t *current)
{
    uint64_t hash = mb_str_hash(name);
    mb_config_version_t *version = get_writer_version(config);
    slot_t *old = find_slot(version->tables[kind], hash, name);
    if (!revision_matches(old, expected, current)) {
        return MB_CONFIG_CONFLICT;
    }
    if (old == NULL) {
        return MB_CONFIG_MISSING;
    }
    mb_config_change_t change = {revision, kind, name, true};
    record_change(config, &change);
    replace_slot(config, kind, hash, old, (slot_t){0, NULL}, revision);
    return MB_CONFIG_APPLIED;
}

/* See the header. */
void
mb_config_begin_load(mb_config_t *config)
{
    mb_config_version_t *loading = config->loading;
    if (loading != NULL) {
        loading->frees_tables = true;
        destroy_version(loading);
    }
    config->loading = new_version();
}

/* See the header. The ring buffer is emptied, because the single changes
   between the versions are not known. */
void
mb_config_publish(mb_config_t *config, uint64_t revision)
{
    mb_config_version_t *next = config->loading;
    mb_config_version_t *old = config->version;
    change_ring_t *ring = config->changes;
    g_assert(next != NULL);
    next->revision = revision;
    old->frees_tables = true;
    config->loading = NULL;
    mb_epoch_publish(config->epoch, &config->version, next, destroy_version);
    (void)pthread_mutex_lock(&ring->lock);
    ring->written = 0;
    ring->dropped_revision = revision;
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
    bool complete =
        ring->dropped_revision == 0 || from > ring->dropped_revision;
    for (uint64_t i = first; complete && i < ring->written; i++) {
        const recent_change_t *kept = &ring->items[i % MB_CONFIG_CHANGES_MAX];
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

/* Returns the published version, valid until the end of the read section. */
const mb_config_version_t *
mb_config_load(const mb_config_t *config)
{
    return mb_epoch_load(&config->version);
}

/* Returns the revision of the last write that the version includes. */
uint64_t
mb_config_revision(const mb_config_version_t *version)
{
    return version->revision;
}

/* Returns the number of resources of a kind. */
size_t
mb_config_count(const mb_config_version_t *version, mb_resource_kind_t kind)
{
    return version->tables[kind]->count;
}

/* Finds a resource by name; NULL if there is none. The resource is valid as
   long as the version. */
const mb_resource_t *
mb_config_find(const mb_config_version_t *version, mb_resource_kind_t kind,
               mb_str_t name)
{
    slot_t *slot = find_slot(version->tables[kind], mb_str_hash(name), name);
    return slot != NULL ? slot->resource : NULL;
}

/* Calls `visit` for each resource of a kind, in no particular order. */
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
