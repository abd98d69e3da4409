/* Hands the declared configuration to a shard. */
#include "mb_owner_shard.h"

/* Returns the key of a resource: the digit of its kind and its name. */
static char *
key_of(mb_resource_kind_t kind, mb_str_t name)
{
    return g_strdup_printf("%d%.*s", (int)kind, MB_STR_ARG(name));
}

/* Takes a key apart. */
static mb_str_t
split_key(const char *key, mb_resource_kind_t *kind)
{
    *kind = (mb_resource_kind_t)(key[0] - '0');
    return mb_str_from_cstr(key + 1);
}

/* Notes the key of a change. */
static void
note_change(void *context, const mb_config_change_t *change)
{
    (void)g_hash_table_add(context, key_of(change->kind, change->name));
}

/* Hands over one resource in force. */
static void
feed_one(void *context, const mb_resource_t *resource)
{
    mb_owner_shard_t *owner = context;
    (void)g_hash_table_add(
        owner->resource_keys,
        key_of(resource->kind, mb_buf_view(&resource->name)));
    mb_shard_put_resource(owner->shard, resource);
}

/* Takes out a resource that is not declared any more. */
static void
feed_delete(mb_owner_shard_t *owner, const char *key)
{
    mb_resource_kind_t kind;
    mb_str_t name = split_key(key, &kind);
    mb_shard_delete_resource(owner->shard, kind, name);
}

/* Hands over the resources of a set of keys. */
static void
feed_changes(mb_owner_shard_t *owner, const mb_config_version_t *version,
             GHashTable *keys)
{
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, keys);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        mb_resource_kind_t kind;
        mb_str_t name = split_key(key, &kind);
        const mb_resource_t *found = mb_config_find(version, kind, name);
        if (found != NULL) {
            feed_one(owner, found);
        }
        else if (g_hash_table_remove(owner->resource_keys, key)) {
            feed_delete(owner, key);
        }
    }
}

/* Hands over everything: at first, and when changes are not kept. */
static void
feed_all(mb_owner_shard_t *owner, const mb_config_version_t *version)
{
    GHashTable *before = owner->resource_keys;
    GHashTableIter iter;
    gpointer key;
    owner->resource_keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int kind = 0; kind < MB_RESOURCE_KIND_COUNT; kind++) {
        mb_config_each(version, (mb_resource_kind_t)kind, feed_one, owner);
    }
    g_hash_table_iter_init(&iter, before);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (!g_hash_table_contains(owner->resource_keys, key)) {
            feed_delete(owner, key);
        }
    }
    g_hash_table_destroy(before);
}

/* The capacity of every shard, summed up over the workers in force. */
typedef struct capacities {
    uint32_t shard_count;
    mb_size_t *of_shard;
} capacities_t;

/* Adds one worker to its shard. */
static void
add_capacity(void *context, const mb_resource_t *worker)
{
    const capacities_t *capacities = context;
    uint32_t shard = mb_shard_index_for_worker(mb_buf_view(&worker->name),
                                               capacities->shard_count);
    mb_size_add(&capacities->of_shard[shard], &worker->spec.worker.capacity);
}

/* Tells the shard what each shard holds, by which quotas are split. */
static void
feed_capacities(mb_owner_shard_t *owner, const mb_config_version_t *version)
{
    mb_size_t of_shard[MB_OWNER_SHARDS_MAX] = {0};
    capacities_t capacities = {owner->node->config.shard_count, of_shard};
    if (capacities.shard_count > 1) {
        mb_config_each(version, MB_RESOURCE_WORKER, add_capacity, &capacities);
        mb_shard_set_capacities(owner->shard, of_shard);
    }
}

/* Brings the shard to the configuration in force; on the shard's thread.
   A change that is read twice does no harm. */
void
mb_owner_shard_update_config(mb_owner_shard_t *owner)
{
    mb_config_t *config = &owner->node->control->resources;
    g_autoptr(GHashTable) keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    mb_epoch_enter(config->epoch);
    const mb_config_version_t *version = mb_config_load(config);
    uint64_t revision = mb_config_revision(version);
    if (owner->ready &&
        mb_config_changes_since(config, owner->config_revision + 1,
                                note_change, keys)) {
        feed_changes(owner, version, keys);
    }
    else {
        feed_all(owner, version);
    }
    feed_capacities(owner, version);
    mb_epoch_leave(config->epoch);
    owner->config_revision = revision;
}
