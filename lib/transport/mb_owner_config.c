/* Passes the declared configuration to a shard, on the thread of the shard. */
#include "mb_owner_shard.h"

/* Returns the key of a resource, the digit of its kind followed by its name,
   as a string that the caller frees. */
static char *
make_key(mb_resource_kind_t kind, mb_str_t name)
{
    return g_strdup_printf("%d%.*s", (int)kind, MB_STR_ARG(name));
}

/* Splits a key: sets the kind and returns the name, a view of the key. */
static mb_str_t
split_key(const char *key, mb_resource_kind_t *kind)
{
    *kind = (mb_resource_kind_t)(key[0] - '0');
    return mb_str_from_cstr(key + 1);
}

/* Adds the key of a changed resource to the set `context`. */
static void
collect_key(void *context, const mb_config_change_t *change)
{
    (void)g_hash_table_add(context, make_key(change->kind, change->name));
}

/* Passes one declared resource to the shard. */
static void
put_resource(void *context, const mb_resource_t *resource)
{
    mb_owner_shard_t *owner = context;
    (void)g_hash_table_add(
        owner->resource_keys,
        make_key(resource->kind, mb_buf_view(&resource->name)));
    mb_shard_put_resource(owner->shard, resource);
}

/* Deletes a resource from the shard that is not declared any more. */
static void
delete_resource(mb_owner_shard_t *owner, const char *key)
{
    mb_resource_kind_t kind;
    mb_str_t name = split_key(key, &kind);
    mb_shard_delete_resource(owner->shard, kind, name);
}

/* Updates the resources of the shard whose keys are in a set. */
static void
apply_changes(mb_owner_shard_t *owner, const mb_config_version_t *version,
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
            put_resource(owner, found);
        }
        else if (g_hash_table_remove(owner->resource_keys, key)) {
            delete_resource(owner, key);
        }
    }
}

/* Updates all resources of the shard: the first time, and when the list of
   changes does not reach back to the revision that the shard has. */
static void
apply_all(mb_owner_shard_t *owner, const mb_config_version_t *version)
{
    GHashTable *old_keys = owner->resource_keys;
    GHashTableIter iter;
    gpointer key;
    owner->resource_keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int kind = 0; kind < MB_RESOURCE_KIND_COUNT; kind++) {
        mb_config_each(version, (mb_resource_kind_t)kind, put_resource, owner);
    }
    g_hash_table_iter_init(&iter, old_keys);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (!g_hash_table_contains(owner->resource_keys, key)) {
            delete_resource(owner, key);
        }
    }
    g_hash_table_destroy(old_keys);
}

/* Total capacity of the declared workers of each shard. */
typedef struct capacities {
    uint32_t shard_count;
    mb_size_t *by_shard; /* `shard_count` entries */
} capacities_t;

/* Adds the capacity of one worker to that of its shard. */
static void
add_capacity(void *context, const mb_resource_t *worker)
{
    const capacities_t *capacities = context;
    uint32_t shard = mb_shard_index_for_worker(mb_buf_view(&worker->name),
                                               capacities->shard_count);
    mb_size_add(&capacities->by_shard[shard], &worker->spec.worker.capacity);
}

/* Passes the capacities of all shards to this one. Quotas are divided among
   the shards in proportion to them. */
static void
update_capacities(mb_owner_shard_t *owner, const mb_config_version_t *version)
{
    mb_size_t by_shard[MB_OWNER_SHARDS_MAX] = {0};
    capacities_t capacities = {owner->node->config.shard_count, by_shard};
    if (capacities.shard_count > 1) {
        mb_config_each(version, MB_RESOURCE_WORKER, add_capacity, &capacities);
        mb_shard_set_capacities(owner->shard, by_shard);
    }
}

/* Updates the shard to the configuration in force, on the thread of the shard.
   Applying a change twice has no effect. */
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
                                collect_key, keys)) {
        apply_changes(owner, version, keys);
    }
    else {
        apply_all(owner, version);
    }
    update_capacities(owner, version);
    mb_epoch_leave(config->epoch);
    owner->config_revision = revision;
}
