#include "mb_api_jobs.h"

#include <string.h>

#include "mb_resource_json.h"

/* Adds a copy of the name of a resource to the GPtrArray `context`. */
static void
collect_name(void *context, const mb_resource_t *resource)
{
    g_ptr_array_add(context, mb_str_to_cstr(mb_buf_view(&resource->name)));
}

/* Queries the status of one job, or of all declared jobs if `name` is empty.
   Does nothing for other kinds of resources. It may block, so it must be
   called outside the read section in which the response is built. */
void
mb_api_jobs_init(mb_api_jobs_t *table, const mb_http_api_t *api,
                 mb_resource_kind_t kind, mb_str_t name)
{
    const mb_http_api_callbacks_t *calls = &api->callbacks;
    mb_config_t *config = api->store->config;
    memset(table, 0, sizeof(*table));
    if (kind != MB_RESOURCE_JOB || calls->status == NULL) {
        return;
    }
    table->names = g_ptr_array_new_with_free_func(g_free);
    if (name.len > 0) {
        g_ptr_array_add(table->names, mb_str_to_cstr(name));
    }
    else {
        mb_epoch_enter(config->epoch);
        mb_config_each(mb_config_load(config), MB_RESOURCE_JOB, collect_name,
                       table->names);
        mb_epoch_leave(config->epoch);
    }
    table->status = g_new0(mb_explain_status_t, table->names->len);
    table->status_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    if (!calls->status(calls->context, table->names, table->status)) {
        return;
    }
    for (guint i = 0; i < table->names->len; i++) {
        if (table->status[i].known) {
            (void)g_hash_table_insert(table->status_by_name,
                                      g_ptr_array_index(table->names, i),
                                      &table->status[i]);
        }
    }
}

/* Releases the table. */
void
mb_api_jobs_finish(mb_api_jobs_t *table)
{
    if (table->names != NULL) {
        g_hash_table_destroy(table->status_by_name);
        g_ptr_array_unref(table->names);
        g_free(table->status);
    }
}

/* Appends a resource as JSON; a job with a known status gets the additional
   member `status`. */
void
mb_api_jobs_encode(mb_buf_t *out, const mb_api_jobs_t *table,
                   const mb_resource_t *resource)
{
    g_autofree char *name = mb_str_to_cstr(mb_buf_view(&resource->name));
    const mb_explain_status_t *status =
        table->status_by_name == NULL
            ? NULL
            : g_hash_table_lookup(table->status_by_name, name);
    mb_resource_json_encode(out, resource);
    if (status != NULL) {
        out->len--; /* the closing brace */
        mb_buf_append_cstr(out, ",\"status\":");
        mb_explain_json_write_status(out, status);
        mb_buf_append_byte(out, '}');
    }
}
