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

/* Maximum number of queued appends of each stream. */
#define QUEUE_MAX 1024
/* Interval between reads of the stream `members`, in milliseconds. With 100
   entries, 10 records arrive per second; one read for each would cost more
   than all the records in one read. */
#define MEMBERS_READ_INTERVAL_MS 2000
/* Time from its start on after which an entry is healthy, in milliseconds.
   Sidecars that were attached to it before try to connect every 50 ms; without
   them it answers 404. */
#define ENTRY_ATTACH_MS 500
/* How long a write may wait for the log before the response is 503 or 504, in
   milliseconds. */
#define WRITE_TIMEOUT_MS 5000
/* Time-out of an announcement, in milliseconds; the next one is due then. */
#define ANNOUNCE_TIMEOUT_MS 9000
/* Time-out of the announcement of a departure, in milliseconds. */
#define DEPARTURE_TIMEOUT_MS 1000
/* Interval at which a drain checks whether that announcement has ended, in
   nanoseconds. */
#define DEPARTURE_POLL_NS 5000000L

/* Returns the monotonic time in milliseconds. */
static uint64_t
now_ms(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_ms(&clock);
}

/* Applies one announcement from the stream `members`; a record that can't be
   decoded is ignored. */
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

/* Drops all members before the stream `members` is read again. */
static void
reset_members(void *context)
{
    mb_control_node_t *node = context;
    mb_members_reset(&node->members);
}

/* Handles the result of the announcement of a departure, whether it was
   written or not. */
static void
departure_done(void *context, mb_append_result_t result, uint64_t offset)
{
    mb_control_node_t *node = context;
    (void)result;
    (void)offset;
    mb_atomic_store(&node->departure_state, 2);
}

/* Handles the result of any other announcement. A failure needs no retry,
   because the next announcement follows soon. */
static void
announce_done(void *context, mb_append_result_t result, uint64_t offset)
{
    (void)context;
    (void)result;
    (void)offset;
}

/* Appends an announcement of this entry or, if `leaving`, of its departure.
   Returns false if it could not be queued. */
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
                           leaving ? DEPARTURE_TIMEOUT_MS
                                   : ANNOUNCE_TIMEOUT_MS,
                           leaving ? departure_done : announce_done, node);
}

/* Chooses the entries for a sidecar and calls `chosen` if the choice has
   changed. An empty choice is ignored, because connections to entries that
   have stopped announcing themselves may still work. */
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

/* Updates the gauges. */
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

/* Periodic tick on the thread of the stream `members`: expires members,
   announces this entry, chooses entries for a sidecar, and serves the watchers
   of the API. */
static void
members_tick(void *context, bool reachable, uint64_t log_now_ms)
{
    mb_control_node_t *node = context;
    uint64_t now = now_ms();
    mb_members_tick(&node->members, reachable, log_now_ms);
    if (node->config.link_address.len > 0 && now >= node->next_announce_ms &&
        mb_atomic_load(&node->departure_state) == 0) {
        node->next_announce_ms = now + MB_MEMBER_PERIOD_MS;
        (void)announce(node, false);
    }
    if (node->config.attach > 0 && node->callbacks.chosen != NULL &&
        mb_log_client_ready(&node->members_stream)) {
        choose_entries(node);
    }
    set_metrics(node, reachable);
    mb_http_api_tick(&node->api);
    if (node->api.server.daemon != NULL) {
        mb_http_server_tick(&node->api.server);
    }
}

/* Returns the rank of this process among those that write snapshots of the
   configuration; the lowest one writes first. */
static uint32_t
snapshot_rank(void *context)
{
    mb_control_node_t *node = context;
    return mb_members_rank(&node->members, node->config.process,
                           MB_STR_LIT("config"));
}

/* Returns whether the stream of the configuration has been read to its end
   once. Called on any thread. */
static bool
is_ready(void *context)
{
    mb_control_node_t *node = context;
    return mb_log_client_ready(&node->config_stream);
}

/* Returns whether this process is ready for requests: an entry only once its
   sidecars have had the time to attach. Called on any thread. */
static bool
is_healthy(void *context)
{
    const mb_control_node_t *node = context;
    bool is_entry = node->config.link_address.len > 0;
    return is_ready(context) &&
           (!is_entry || now_ms() >= node->started_ms + ENTRY_ATTACH_MS);
}

/* Writes a summary of the declared configuration to a dump. Called on any
   thread. */
static void
dump_config(void *context, const mb_dump_t *dump)
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

/* Writes the live entries to a dump. Called on any thread. */
static void
dump_members(void *context, const mb_dump_t *dump)
{
    mb_control_node_t *node = context;
    mb_members_dump(&node->members, dump);
}

/* Initializes the clients of both streams. The stream `members` has no
   snapshots: its state is what the log retains. */
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
    stream.read_interval_ms = MEMBERS_READ_INTERVAL_MS;
    return mb_log_client_init(&node->members_stream, &stream, &members_state,
                              &members_calls, &node->log, error);
}

/* Initializes the node without starting threads. The views in `config`, the
   epoch and the counters must outlive the node. On failure returns false with
   the error set. */
bool
mb_control_node_init(mb_control_node_t *node,
                     const mb_control_config_t *config,
                     const mb_control_callbacks_t *callbacks,
                     mb_epoch_t *epoch, mb_counters_t *counters,
                     const mb_log_t *log, GError **error)
{
    mb_config_codec_t codec = mb_config_record_codec();
    mb_http_api_callbacks_t api = {
        is_ready,           is_healthy,        node,
        callbacks->explain, callbacks->status, callbacks->context};
    mb_dump_source_t sources[] = {{"config", dump_config, node},
                                  {"members", dump_members, node}};
    memset(node, 0, sizeof(*node));
    node->config = *config;
    node->callbacks = *callbacks;
    node->log = *log;
    add_metrics(&node->metrics, counters);
    mb_config_init(&node->resources, epoch);
    mb_config_store_init(&node->store, &node->resources, &codec, log);
    mb_members_init(&node->members);
    mb_http_api_init(&node->api, &node->store, counters, log, &api);
    mb_http_api_add_dump(&node->api, &sources[0]);
    mb_http_api_add_dump(&node->api, &sources[1]);
    if (!init_streams(node, error)) {
        return false;
    }
    mb_appender_t appender = mb_log_client_appender(&node->config_stream);
    mb_config_store_set_appender(&node->store, &appender);
    return true;
}

/* Starts the operators' API, if it has an address, and the threads that read
   the streams. On failure returns false with the error set. */
bool
mb_control_node_start(mb_control_node_t *node, GError **error)
{
    mb_http_api_config_t api = {.token = node->config.token,
                                .write_timeout_ms = WRITE_TIMEOUT_MS};
    node->started_ms = now_ms();
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

/* Makes /healthz answer 503 from now on. If this process is an entry,
   announces its departure and waits up to DEPARTURE_TIMEOUT_MS for the log.
   Called from outside the threads of the streams. */
void
mb_control_node_drain(mb_control_node_t *node)
{
    struct timespec pause = {0, DEPARTURE_POLL_NS};
    uint64_t until_ms = now_ms() + DEPARTURE_TIMEOUT_MS;
    mb_http_api_set_draining(&node->api);
    mb_atomic_store(&node->departure_state, 1);
    if (node->config.link_address.len == 0 || !announce(node, true)) {
        return;
    }
    while (mb_atomic_load(&node->departure_state) == 1 &&
           now_ms() < until_ms) {
        (void)nanosleep(&pause, NULL);
    }
}

/* Completes the pending writes and watches, stops all threads and releases the
   node. */
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
