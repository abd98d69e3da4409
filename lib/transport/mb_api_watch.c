#include "mb_api_watch.h"

#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_clock.h"
#include "mb_resource_json.h"
#include "mb_uri.h"

/* Longest and default wait of a watch, in milliseconds. */
#define WATCH_MAX_MS 30000

/* A watch that waits for a change. */
typedef struct watcher {
    mb_http_exchange_t *exchange;
    uint64_t from;
    int kind; /* -1: all */
    uint64_t deadline_ms;
} watcher_t;

/* Returns the monotonic time in milliseconds. */
static uint64_t
now_ms(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_ms(&clock);
}

/* Appends the line of one resource, or of its removal. */
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

/* What a watcher's answer is built from. */
typedef struct collecting {
    const mb_config_version_t *version;
    int kind;
    mb_buf_t *out;
} collecting_t;

/* Adds a change unless a later one of the same resource follows. */
static void
collect_change(void *context, const mb_config_change_t *change)
{
    collecting_t *collecting = context;
    const mb_resource_t *found =
        mb_config_find(collecting->version, change->kind, change->name);
    if (collecting->kind >= 0 && collecting->kind != (int)change->kind) {
        return;
    }
    if (change->deleted
            ? found == NULL
            : found != NULL && found->revision == change->revision) {
        write_line(collecting->out, change, found);
    }
}

/* Adds a resource in force. */
static void
collect_line(void *context, const mb_resource_t *resource)
{
    collecting_t *collecting = context;
    mb_resource_json_encode(collecting->out, resource);
    mb_buf_append_byte(collecting->out, '\n');
}

/* Collects what a watcher has not seen. For one that has seen nothing, all
   resources in force stand for the changes that are not kept. False when
   changes are missing. */
static bool
collect(const mb_config_t *config, uint64_t from, collecting_t *collecting)
{
    bool complete =
        mb_config_changes_since(config, from, collect_change, collecting);
    if (complete || from > 1) {
        return complete;
    }
    for (int kind = 0; kind < MB_RESOURCE_KIND_COUNT; kind++) {
        if (collecting->kind < 0 || collecting->kind == kind) {
            mb_config_each(collecting->version, (mb_resource_kind_t)kind,
                           collect_line, collecting);
        }
    }
    return true;
}

/* Answers a watcher when there is a change for it or its time is over. */
static bool
serve_watcher(mb_http_api_t *api, const watcher_t *watcher, bool over)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_config_t *config = api->store->config;
    mb_epoch_enter(config->epoch);
    collecting_t collecting = {mb_config_load(config), watcher->kind, &body};
    uint64_t revision = mb_config_revision(collecting.version);
    bool complete = collect(config, watcher->from, &collecting);
    mb_epoch_leave(config->epoch);
    if (!complete) {
        mb_http_respond_error(
            watcher->exchange, MB_KIND_CONFLICT,
            MB_STR_LIT("changes from this revision on are "
                       "not kept; read all resources again"));
        return true;
    }
    if (body.len == 0 && !over) {
        return false;
    }
    mb_api_answer(watcher->exchange, 200, "application/x-ndjson", revision,
                  mb_buf_view(&body));
    return true;
}

/* Looks at the watchers: after a change, for deadlines, and at the end. Calls
   it several times a second from one thread. */
void
mb_http_api_tick(mb_http_api_t *api)
{
    uint64_t now = now_ms();
    uint64_t changed = mb_atomic_load(&api->changed);
    GPtrArray *watchers = api->watchers;
    (void)mb_atomic_sub(&api->changed, changed);
    (void)pthread_mutex_lock(&api->lock);
    for (guint i = 0; i < watchers->len;) {
        const watcher_t *watcher = g_ptr_array_index(watchers, i);
        bool over =
            now >= watcher->deadline_ms || mb_atomic_load(&api->stopping) != 0;
        if ((over || changed > 0) && serve_watcher(api, watcher, over)) {
            (void)g_ptr_array_remove_index_fast(watchers, i);
            continue;
        }
        i++;
    }
    (void)pthread_mutex_unlock(&api->lock);
}

/* Wakes watchers at once after a change. */
void
mb_api_watch_changed(void *context, const mb_config_change_t *change)
{
    mb_http_api_t *api = context;
    (void)change;
    (void)mb_atomic_add(&api->changed, 1);
    mb_http_api_tick(api);
}

/* GET /v1/watch */
void
mb_api_watch_handle(mb_http_api_t *api, mb_http_exchange_t *exchange)
{
    mb_str_t uri = mb_http_uri(exchange);
    mb_str_t kind_name;
    mb_resource_kind_t kind = MB_RESOURCE_SERVICE;
    uint64_t from = 1;
    uint64_t wait_ms = WATCH_MAX_MS;
    bool one_kind = mb_uri_query(uri, MB_STR_LIT("kind"), &kind_name);
    if (!mb_uri_query_u64(uri, MB_STR_LIT("from"), &from) ||
        !mb_uri_query_u64(uri, MB_STR_LIT("wait_ms"), &wait_ms) ||
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
