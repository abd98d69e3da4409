#include "mb_control_node.h"

#include <string.h>
#include <time.h>

#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_clock.h"
#include "mb_config_record.h"
#include "mb_member_record.h"
#include "mb_rng.h"
#include "mb_settings.h"

/* Appends that wait at most on each stream. */
#define QUEUE_MAX 1024
/* Distance of two reads of `members`. With 100 entries 10 records a second
   arrive; a read of each would cost more than all of them together. */
#define MEMBERS_READ_GAP_MS 2000
/* How long a write may wait for the log before it is answered 503 or 504. */
#define WRITE_TIMEOUT_MS 5000
/* How long an announcement may wait; the next one follows then. */
#define ANNOUNCE_TIMEOUT_MS 9000
/* How long the announcement of leaving may take, in milliseconds. */
#define LEAVE_TIMEOUT_MS 1000
/* Pause between two looks at it. */
#define LEAVE_POLL_NS 5000000L

/* Returns the monotonic time in milliseconds. */
static uint64_t
now_ms(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_ms(&clock);
}

/* Takes one announcement of the stream `members`. */
static void
apply_member(void *context, const mb_record_t *record, bool own)
{
    mb_control_node_t *node = context;
    mb_announcement_t announcement;
    (void)own;
    if (mb_member_record_decode(record->payload, &announcement)) {
        mb_members_announce(&node->members, &announcement, record->time_ms);
    }
}

/* Begins to read `members` again. */
static void
reset_members(void *context)
{
    mb_control_node_t *node = context;
    mb_members_reset(&node->members);
}

/* Takes the end of the announcement of leaving. */
static void
leave_done(void *context, mb_append_result_t result, uint64_t offset)
{
    mb_control_node_t *node = context;
    (void)result;
    (void)offset;
    mb_atomic_store(&node->leaving, 2);
}

/* Takes the end of any other announcement; the next one follows anyway. */
static void
announce_done(void *context, mb_append_result_t result, uint64_t offset)
{
    (void)context;
    (void)result;
    (void)offset;
}

/* Announces this entry. */
static bool
announce(mb_control_node_t *node, bool leaving)
{
    MB_AUTO_BUF mb_buf_t payload = {0};
    mb_appender_t appender = mb_log_client_appender(&node->members_stream);
    mb_announcement_t announcement = {
        node->config.process, node->config.incarnation,
        node->config.link_address, node->config.failure_domain, leaving};
    mb_member_record_encode(&payload, &announcement);
    return appender.append(appender.context, mb_buf_view(&payload),
                           leaving ? LEAVE_TIMEOUT_MS : ANNOUNCE_TIMEOUT_MS,
                           leaving ? leave_done : announce_done, node);
}

/* Tells the role when its choice of entries has changed. An empty choice is
   passed over: links to entries that are silent may still work. */
static void
choose_entries(mb_control_node_t *node)
{
    mb_member_choice_t choices[MB_CONTROL_ENTRIES_MAX] = {{0}};
    uint32_t count = mb_members_choose(&node->members, node->config.process,
                                       node->config.failure_domain,
                                       node->config.attach, choices);
    if (count == 0 || (count == node->choice_count &&
                       memcmp(choices, node->choices, sizeof(choices)) == 0)) {
        return;
    }
    memcpy(node->choices, choices, sizeof(choices));
    node->choice_count = count;
    node->callbacks.chosen(node->callbacks.context, choices, count);
}

/* Sets the gauges. */
static void
set_metrics(mb_control_node_t *node, bool reachable)
{
    mb_epoch_enter(node->resources.epoch);
    mb_gauge_set(node->metrics.revision,
                 mb_config_revision(mb_config_load(&node->resources)));
    mb_epoch_leave(node->resources.epoch);
    mb_gauge_set(node->metrics.reachable, reachable);
    mb_gauge_set(node->metrics.entries, mb_members_count(&node->members));
}

/* Registers the metrics. */
static void
add_metrics(mb_control_metrics_t *metrics, mb_counters_t *counters)
{
    metrics->revision =
        mb_counters_add(counters, MB_METRIC_GAUGE, "mb_config_revision",
                        "Revision of the configuration in force.");
    metrics->reachable =
        mb_counters_add(counters, MB_METRIC_GAUGE, "mb_log_reachable",
                        "1 while the log service answers.");
    metrics->entries = mb_counters_add(
        counters, MB_METRIC_GAUGE, "mb_entries_live", "Live entries known.");
}

/* The periodic part, on the thread of `members`. */
static void
members_tick(void *context, bool reachable, uint64_t log_now_ms)
{
    mb_control_node_t *node = context;
    uint64_t now = now_ms();
    mb_members_tick(&node->members, reachable, log_now_ms);
    if (node->config.link_address.len > 0 && now >= node->announce_at_ms &&
        mb_atomic_load(&node->leaving) == 0) {
        node->announce_at_ms = now + MB_MEMBER_PERIOD_MS;
        (void)announce(node, false);
    }
    if (node->config.attach > 0 && node->callbacks.chosen != NULL &&
        mb_log_client_ready(&node->members_stream)) {
        choose_entries(node);
    }
    set_metrics(node, reachable);
    mb_http_api_tick(&node->api);
}

/* Returns this process's place among those that write snapshots. */
static uint32_t
snapshot_rank(void *context)
{
    mb_control_node_t *node = context;
    return mb_members_rank(&node->members, node->config.process,
                           MB_STR_LIT("config"));
}

/* Tells whether the configuration was read to its end once. */
static bool
is_ready(void *context)
{
    mb_control_node_t *node = context;
    return mb_log_client_ready(&node->config_stream);
}

/* Shows the declared configuration. */
static void
show_config(void *context, const mb_dump_t *dump)
{
    mb_control_node_t *node = context;
    mb_epoch_enter(node->resources.epoch);
    const mb_config_version_t *version = mb_config_load(&node->resources);
    mb_dump_number(dump, "revision", mb_config_revision(version));
    for (int i = 0; i < MB_RESOURCE_KIND_COUNT; i++) {
        mb_resource_kind_t kind = (mb_resource_kind_t)i;
        mb_dump_number(dump, mb_resource_kind_name(kind).data,
                       mb_config_count(version, kind));
    }
    mb_epoch_leave(node->resources.epoch);
    mb_dump_number(dump, "ready", mb_log_client_ready(&node->config_stream));
    mb_dump_number(dump, "log_reachable",
                   mb_log_client_reachable(&node->config_stream));
}

/* Shows the live entries. */
static void
show_members(void *context, const mb_dump_t *dump)
{
    mb_control_node_t *node = context;
    mb_members_dump(&node->members, dump);
}

/* Prepares both streams. */
static bool
init_streams(mb_control_node_t *node, GError **error)
{
    mb_rng_t rng = mb_rng_system();
    mb_log_client_config_t stream = {
        .address = node->config.log_address,
        .stream = MB_STR_LIT("config"),
        .writer = mb_rng_next(&rng),
        .retention_ms = node->config.retention_ms,
        .snapshots = true,
        .queue_max = QUEUE_MAX,
    };
    mb_replica_callbacks_t config_state =
        mb_config_store_callbacks(&node->store);
    mb_replica_callbacks_t members_state = {
        .apply = apply_member, .reset = reset_members, .context = node};
    mb_log_client_callbacks_t config_calls = {.rank = snapshot_rank,
                                              .context = node};
    mb_log_client_callbacks_t members_calls = {.tick = members_tick,
                                               .context = node};
    if (!mb_log_client_init(&node->config_stream, &stream, &config_state,
                            &config_calls, &node->log, error)) {
        return false;
    }
    stream.stream = MB_STR_LIT("members");
    stream.snapshots = false;
    stream.read_gap_ms = MEMBERS_READ_GAP_MS;
    return mb_log_client_init(&node->members_stream, &stream, &members_state,
                              &members_calls, &node->log, error);
}

/* Prepares everything; nothing runs yet. The views of the configuration must
   outlive the node. */
bool
mb_control_node_init(mb_control_node_t *node,
                     const mb_control_config_t *config,
                     const mb_control_callbacks_t *callbacks,
                     mb_epoch_t *epoch, mb_counters_t *counters,
                     const mb_log_t *log, GError **error)
{
    mb_config_codec_t codec = mb_config_record_codec();
    mb_http_api_callbacks_t api = {is_ready, node, callbacks->explain,
                                   callbacks->status, callbacks->context};
    mb_dump_source_t shown[] = {{"config", show_config, node},
                                {"members", show_members, node}};
    memset(node, 0, sizeof(*node));
    node->config = *config;
    node->callbacks = *callbacks;
    node->log = *log;
    add_metrics(&node->metrics, counters);
    mb_config_init(&node->resources, epoch);
    mb_config_store_init(&node->store, &node->resources, &codec, log);
    mb_members_init(&node->members);
    mb_http_api_prepare(&node->api, &node->store, counters, log, &api);
    mb_http_api_add_dump(&node->api, &shown[0]);
    mb_http_api_add_dump(&node->api, &shown[1]);
    if (!init_streams(node, error)) {
        return false;
    }
    mb_appender_t appender = mb_log_client_appender(&node->config_stream);
    mb_config_store_set_appender(&node->store, &appender);
    return true;
}

/* Starts to read the streams and to serve operators. */
bool
mb_control_node_start(mb_control_node_t *node, GError **error)
{
    mb_http_api_config_t api = {.token = node->config.token,
                                .write_timeout_ms = WRITE_TIMEOUT_MS};
    if (node->config.api_address.len > 0) {
        if (!mb_address_parse(node->config.api_address, &api.ip, &api.port)) {
            mb_error_set(error, MB_KIND_CONFIG,
                         "[api] address: must be IPv4:port");
            return false;
        }
        if (!mb_http_api_start(&node->api, &api, error)) {
            return false;
        }
    }
    return mb_log_client_start(&node->config_stream, error) &&
           mb_log_client_start(&node->members_stream, error);
}

/* Announces that this process leaves; waits up to a second for the log. */
void
mb_control_node_drain(mb_control_node_t *node)
{
    struct timespec pause = {0, LEAVE_POLL_NS};
    uint64_t until_ms = now_ms() + LEAVE_TIMEOUT_MS;
    mb_http_api_set_draining(&node->api);
    mb_atomic_store(&node->leaving, 1);
    if (node->config.link_address.len == 0 || !announce(node, true)) {
        return;
    }
    while (mb_atomic_load(&node->leaving) == 1 && now_ms() < until_ms) {
        (void)nanosleep(&pause, NULL);
    }
}

/* Ends writes and watchers, stops all threads and frees everything. */
void
mb_control_node_finish(mb_control_node_t *node)
{
    mb_http_api_stop(&node->api);
    mb_log_client_finish(&node->config_stream);
    mb_log_client_finish(&node->members_stream);
    mb_http_api_finish(&node->api);
    mb_members_finish(&node->members);
    mb_config_finish(&node->resources);
}
