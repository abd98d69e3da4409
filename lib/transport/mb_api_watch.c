#include "mb_api_watch.h"

#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_clock.h"
#include "mb_resource_json.h"
#include "mb_uri.h"

/* Maximum and default wait of a watch, in milliseconds. */
#define WATCH_MAX_MS 30000

/* A watch that waits for a change. */
typedef struct watcher {
    mb_http_exchange_t *exchange;
    uint64_t from; /* first revision that it has not seen */
    int kind;      /* mb_resource_kind_t; -1: all */
    uint64_t deadline_ms;
} watcher_t;

/* Returns the monotonic time in milliseconds. */
static uint64_t
now_ms(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_ms(&clock);
}

/* Appends one line of JSON: the changed resource, or its removal if `resource`
   is NULL. */
static void
write_line(mb_buf_t *out, const mb_config_change_t *change,
           const mb_resource_t *resource)
{
    mb_str_t kind = mb_resource_kind_name(change->kind);
    if (resource != NULL) {
        mb_resource_json_encode(out, resource);
        mb_buf_append_byte(out, '\n');
        return;
    }
    mb_buf_printf(out,
                  "{\"kind\":\"%.*s\",\"name\":\"%.*s\",\"revision\":"
                  "%" G_GUINT64_FORMAT ",\"deleted\":true}\n",
                  MB_STR_ARG(kind), MB_STR_ARG(change->name),
                  change->revision);
}

/* Context for building the response to a watch. */
typedef struct collector {
    const mb_config_version_t *version;
    int kind; /* as in watcher_t */
    mb_buf_t *out;
} collector_t;

/* Adds a change of the requested kind, unless a later change of the same
   resource follows. */
static void
collect_change(void *context, const mb_config_change_t *change)
{
    collector_t *collector = context;
    const mb_resource_t *found =
        mb_config_find(collector->version, change->kind, change->name);
    if (collector->kind >= 0 && collector->kind != (int)change->kind) {
        return;
    }
    if (change->deleted
            ? found == NULL
            : found != NULL && found->revision == change->revision) {
        write_line(collector->out, change, found);
    }
}

/* Adds a declared resource. */
static void
collect_resource(void *context, const mb_resource_t *resource)
{
    collector_t *collector = context;
    mb_resource_json_encode(collector->out, resource);
    mb_buf_append_byte(collector->out, '\n');
}

/* Collects the changes since the revision `from`. For a watcher that has seen
   nothing, all declared resources stand in for changes that are not retained
   any more. Returns false if the changes are incomplete. */
static bool
collect(const mb_config_t *config, uint64_t from, collector_t *collector)
{
    bool complete =
        mb_config_changes_since(config, from, collect_change, collector);
    if (complete || from > 1) {
        return complete;
    }
    for (int kind = 0; kind < MB_RESOURCE_KIND_COUNT; kind++) {
        if (collector->kind < 0 || collector->kind == kind) {
            mb_config_each(collector->version, (mb_resource_kind_t)kind,
                           collect_resource, collector);
        }
    }
    return true;
}

/* Responds to a watcher if there is a change for it, if `expired` is set, or
   with an error if the changes since its revision are not retained any more.
   Returns whether it has responded. */
static bool
serve_watcher(mb_http_api_t *api, const watcher_t *watcher, bool expired)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_config_t *config = api->store->config;
    mb_epoch_enter(config->epoch);
    collector_t collector = {mb_config_load(config), watcher->kind, &body};
    uint64_t revision = mb_config_revision(collector.version);
    bool complete = collect(config, watcher->from, &collector);
    mb_epoch_leave(config->epoch);
    if (!complete) {
        mb_http_respond_error(
            watcher->exchange, MB_KIND_CONFLICT,
            MB_STR_LIT("changes from this revision on are "
                       "not kept; read all resources again"));
        return true;
    }
    if (body.len == 0 && !expired) {
        return false;
    }
    mb_api_respond(watcher->exchange, 200, "application/x-ndjson", revision,
                   mb_buf_view(&body));
    return true;
}

/* Serves the watchers: after a change, at their deadlines, and all of them
   when the API stops. Called several times a second, and after each change, on
   any thread. */
void
mb_http_api_tick(mb_http_api_t *api)
{
    uint64_t now = now_ms();
    uint64_t changed = mb_atomic_load(&api->unserved_changes);
    GPtrArray *watchers = api->watchers;
    (void)mb_atomic_sub(&api->unserved_changes, changed);
    (void)pthread_mutex_lock(&api->lock);
    for (guint i = 0; i < watchers->len;) {
        const watcher_t *watcher = g_ptr_array_index(watchers, i);
        bool expired =
            now >= watcher->deadline_ms || mb_atomic_load(&api->stopping) != 0;
        if ((expired || changed > 0) && serve_watcher(api, watcher, expired)) {
            (void)g_ptr_array_remove_index_fast(watchers, i);
            continue;
        }
        i++;
    }
    (void)pthread_mutex_unlock(&api->lock);
}

/* Serves the watchers at once after a change; observes the store. */
void
mb_api_watch_changed(void *context, const mb_config_change_t *change)
{
    mb_http_api_t *api = context;
    (void)change;
    (void)mb_atomic_add(&api->unserved_changes, 1);
    mb_http_api_tick(api);
}

/* Handles GET /v1/watch: responds at once if there are changes, else when
   there is one or its wait has expired. */
void
mb_api_watch_handle(mb_http_api_t *api, mb_http_exchange_t *exchange)
{
    mb_str_t uri = mb_http_uri(exchange);
    mb_str_t kind_name;
    mb_resource_kind_t kind = MB_RESOURCE_SERVICE;
    uint64_t from = 1;
    uint64_t wait_ms = WATCH_MAX_MS;
    bool one_kind = mb_uri_get_parameter(uri, MB_STR_LIT("kind"), &kind_name);
    if (!mb_uri_get_parameter_u64(uri, MB_STR_LIT("from"), &from) ||
        !mb_uri_get_parameter_u64(uri, MB_STR_LIT("wait_ms"), &wait_ms) ||
        (one_kind && !mb_resource_kind_from_name(kind_name, &kind))) {
        mb_http_respond_error(exchange, MB_KIND_INVALID,
                              MB_STR_LIT("watch takes from=NUMBER, kind=KIND "
                                         "and wait_ms=0 to 30000"));
        return;
    }
    watcher_t watcher = {exchange, from, one_kind ? (int)kind : -1,
                         now_ms() + MIN(wait_ms, WATCH_MAX_MS)};
    GPtrArray *watchers = api->watchers;
    (void)pthread_mutex_lock(&api->lock);
    if (!serve_watcher(api, &watcher, wait_ms == 0)) {
        if (watchers->len >= MB_API_WATCHERS_MAX) {
            mb_http_respond_error(exchange, MB_KIND_OVERLOAD,
                                  MB_STR_LIT("too many watchers"));
        }
        else {
            g_ptr_array_add(watchers, g_memdup2(&watcher, sizeof(watcher)));
        }
    }
    (void)pthread_mutex_unlock(&api->lock);
}
