#include "mb_owner_node.h"

#include <string.h>
#include <time.h>

#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_owner_shard.h"

/* Time-out of a query to the thread of a shard, in seconds. */
#define QUERY_TIMEOUT_S 2
/* How long a planned shutdown waits until the release of the leases is in the
   log, in milliseconds. */
#define RELEASE_TIMEOUT_MS 1500
/* Polling interval during that wait, in nanoseconds. */
#define RELEASE_POLL_NS 5000000L

/* A query to a shard, answered on the thread of the shard. Reference-counted
   by the caller and that thread, because the caller may stop waiting. */
typedef struct query {
    mb_loop_task_t task;
    mb_owner_shard_t *owner;
    uint64_t references;  /* atomic */
    pthread_mutex_t lock; /* guards the fields below */
    pthread_cond_t answered;
    bool done;
    /* Query for the status of jobs; `names` is NULL in the other kind. */
    GPtrArray *names; /* owned C strings */
    GArray *status;   /* response: mb_explain_status_t, one for each name */
    /* Query for an explanation of one job. */
    mb_buf_t job; /* its name */
    mb_buf_t out; /* response: JSON; empty if the job is not known */
} query_t;

/* Drops one reference to a query and frees it with the last one. */
static void
query_unref(query_t *query)
{
    if (mb_atomic_sub(&query->references, 1) > 1) {
        return;
    }
    (void)pthread_mutex_destroy(&query->lock);
    (void)pthread_cond_destroy(&query->answered);
    if (query->names != NULL) {
        g_ptr_array_unref(query->names);
    }
    g_array_unref(query->status);
    mb_buf_finish(&query->job);
    mb_buf_finish(&query->out);
    g_free(query);
}

/* Fills in the status of the jobs of a query. */
static void
answer_status(query_t *query)
{
    for (guint i = 0; i < query->names->len; i++) {
        mb_explain_status_t *status =
            &g_array_index(query->status, mb_explain_status_t, i);
        mb_str_t name = mb_str_from_cstr(g_ptr_array_index(query->names, i));
        mb_explain_t part = {0};
        status->known = mb_shard_explain_job(query->owner->shard,
                                             MB_RESOURCE_JOB, name, &part);
        if (status->known) {
            memcpy(status->counts, part.body.job.counts,
                   sizeof(status->counts));
            status->wait = part.body.job.wait;
        }
    }
}

/* Answers a query, on the thread of the shard. */
static void
run_query(mb_loop_task_t *task)
{
    query_t *query = (query_t *)task;
    const mb_owner_shard_t *owner = query->owner;
    (void)pthread_mutex_lock(&query->lock);
    if (query->names != NULL) {
        answer_status(query);
    }
    else {
        (void)mb_explain_json_write(&query->out, owner->shard,
                                    mb_buf_view(&owner->stream),
                                    mb_buf_view(&query->job));
    }
    query->done = true;
    (void)pthread_cond_signal(&query->answered);
    (void)pthread_mutex_unlock(&query->lock);
    query_unref(query);
}

/* Makes a deep copy of an array of C strings, which may be freed on another
   thread; NULL for NULL. */
static GPtrArray *
copy_names(const GPtrArray *names)
{
    GPtrArray *copy =
        names == NULL ? NULL : g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; names != NULL && i < names->len; i++) {
        g_ptr_array_add(copy, g_strdup(g_ptr_array_index(names, i)));
    }
    return copy;
}

/* Creates a query with two references: one of the caller and one of the thread
   of the shard. The arguments are copied. */
static query_t *
query_new(mb_owner_shard_t *owner, GPtrArray *names, mb_str_t job)
{
    pthread_condattr_t attributes;
    query_t *query = g_new0(query_t, 1);
    query->task.run = run_query;
    query->owner = owner;
    query->references = 2;
    query->names = copy_names(names);
    query->status = g_array_new(FALSE, TRUE, sizeof(mb_explain_status_t));
    g_array_set_size(query->status, names == NULL ? 0 : names->len);
    mb_buf_set(&query->job, job);
    (void)pthread_mutex_init(&query->lock, NULL);
    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(&query->answered, &attributes);
    (void)pthread_condattr_destroy(&attributes);
    return query;
}

/* Posts a query to its shard and waits for the response. Returns false if the
   mailbox is full or the shard does not answer in time. */
static bool
query_wait(query_t *query)
{
    struct timespec until;
    if (!mb_loop_post(&query->owner->client.loop, &query->task)) {
        query->references = 1; /* the thread has no reference */
        return false;
    }
    (void)clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += QUERY_TIMEOUT_S;
    (void)pthread_mutex_lock(&query->lock);
    int status = 0;
    while (!query->done && status == 0) {
        status =
            pthread_cond_timedwait(&query->answered, &query->lock, &until);
    }
    bool done = query->done;
    (void)pthread_mutex_unlock(&query->lock);
    return done;
}

/* Appends what the shards know about a job, as one JSON object. Returns false
   if none of them knows it or one did not answer in time. */
bool
mb_owner_node_explain(mb_owner_node_t *node, mb_str_t job, mb_buf_t *out)
{
    MB_AUTO_BUF mb_buf_t parts = {0};
    bool complete = true;
    for (uint32_t i = 0; complete && i < node->config.shard_count; i++) {
        query_t *query = query_new(node->shards[i], NULL, job);
        complete = query_wait(query);
        if (complete && query->out.len > 0) {
            mb_buf_append_cstr(&parts, parts.len > 0 ? "," : "");
            mb_buf_append(&parts, mb_buf_view(&query->out));
        }
        query_unref(query);
    }
    if (!complete || parts.len == 0) {
        return false;
    }
    mb_buf_printf(out, "{\"job\":\"%.*s\",\"shards\":[", MB_STR_ARG(job));
    mb_buf_append(out, mb_buf_view(&parts));
    mb_buf_append_cstr(out, "]}\n");
    return true;
}

/* Adds the status of a job on one shard to its sum over the shards. Of the
   reasons why tasks wait, one that needs an operator takes precedence, and any
   other takes precedence over MB_WAIT_NO_OWNER. */
static void
add_status(mb_explain_status_t *sum, const mb_explain_status_t *part)
{
    if (!part->known) {
        return;
    }
    for (int i = 0; i < MB_TASK_STATE_COUNT; i++) {
        sum->counts[i] += part->counts[i];
    }
    if (!sum->known || sum->wait == MB_WAIT_NONE ||
        (part->wait != MB_WAIT_NONE &&
         (sum->wait == MB_WAIT_NO_OWNER ||
          mb_wait_reason_is_unschedulable(part->wait)))) {
        sum->wait = part->wait;
    }
    sum->known = true;
}

/* Sums up the status of jobs over all shards. `names` holds C strings;
   `status` has one element for each, which the caller has set to zero. Returns
   false if a shard did not answer in time. */
bool
mb_owner_node_status(mb_owner_node_t *node, GPtrArray *names,
                     mb_explain_status_t *status)
{
    bool complete = true;
    for (uint32_t i = 0; complete && i < node->config.shard_count; i++) {
        query_t *query = query_new(node->shards[i], names, MB_STR_EMPTY);
        complete = query_wait(query);
        for (guint j = 0; complete && j < names->len; j++) {
            add_status(&status[j],
                       &g_array_index(query->status, mb_explain_status_t, j));
        }
        query_unref(query);
    }
    return complete;
}

/* Registers one counter. */
static mb_metric_t *
add_counter(mb_counters_t *counters, const char *name, const char *help)
{
    return mb_counters_add(counters, MB_METRIC_COUNTER, name, help);
}

/* Registers the metrics. */
static void
add_metrics(mb_owner_metrics_t *metrics, mb_counters_t *counters)
{
    metrics->owned =
        mb_counters_add(counters, MB_METRIC_GAUGE, "mb_shards_owned",
                        "Shards that this process owns.");
    metrics->claims = add_counter(counters, "mb_shard_claims_total",
                                  "Claims of this process in the log.");
    metrics->takeovers =
        add_counter(counters, "mb_shard_takeovers_total",
                    "Times that this process began to own a shard.");
    metrics->starts = add_counter(counters, "mb_task_starts_total",
                                  "Starts of tasks recorded.");
    metrics->finishes = add_counter(counters, "mb_task_finishes_total",
                                    "Ends of tasks recorded.");
    metrics->releases =
        add_counter(counters, "mb_task_releases_total",
                    "Attempts recorded as ended before their task.");
    metrics->batches = add_counter(counters, "mb_shard_appends_total",
                                   "Batches of starts, finishes, releases "
                                   "and closes recorded.");
    metrics->syncs = add_counter(counters, "mb_worker_syncs_total",
                                 "Exchanges with workers begun.");
    metrics->sync_failures =
        add_counter(counters, "mb_worker_sync_failures_total",
                    "Exchanges with workers that failed.");
}

/* Writes the state of the shards to a dump. Called on any thread. The phase
   MB_LEASE_GRACE is written as "caretaker", which operators' tools read. */
static void
dump_shards(void *context, const mb_dump_t *dump)
{
    static const char *const phases[MB_LEASE_PHASE_COUNT] = {
        [MB_LEASE_FOLLOWER] = "follower",
        [MB_LEASE_OWNER] = "owner",
        [MB_LEASE_GRACE] = "caretaker"};
    const mb_owner_node_t *node = context;
    for (uint32_t i = 0; i < node->config.shard_count; i++) {
        const mb_owner_shard_t *owner = node->shards[i];
        g_autofree char *name = mb_str_to_cstr(mb_buf_view(&owner->stream));
        mb_dump_begin(dump, name);
        mb_dump_text(dump, "phase",
                     mb_str_from_cstr(phases[mb_atomic_load(&owner->phase)]));
        mb_dump_number(dump, "ready", mb_log_client_ready(&owner->client));
        mb_dump_number(dump, "log_reachable",
                       mb_log_client_reachable(&owner->client));
        mb_dump_end(dump);
    }
}

/* Notifies all shards of a change of the configuration. Called on the thread
   that reads the stream `config`. */
static void
config_changed(void *context, const mb_config_change_t *change)
{
    const mb_owner_node_t *node = context;
    (void)change;
    for (uint32_t i = 0; i < node->config.shard_count; i++) {
        mb_owner_shard_notify_config(node->shards[i]);
    }
}

/* Initializes the shards without starting their threads. Called after the
   control node has been initialized and before it is started. The views in
   `config` and the control node must outlive the node. On failure returns
   false with the error set. */
bool
mb_owner_node_init(mb_owner_node_t *node, const mb_owner_config_t *config,
                   mb_control_node_t *control, mb_counters_t *counters,
                   const mb_log_t *log, GError **error)
{
    mb_config_observer_t observer = {config_changed, node};
    mb_dump_source_t source = {"shards", dump_shards, node};
    memset(node, 0, sizeof(*node));
    node->config = *config;
    node->control = control;
    node->log = mb_log_for(log, "owner");
    add_metrics(&node->metrics, counters);
    for (uint32_t i = 0; i < config->shard_count; i++) {
        node->shards[i] = g_new0(mb_owner_shard_t, 1);
        if (!mb_owner_shard_init(node->shards[i], node, i, error)) {
            return false;
        }
    }
    mb_config_store_add_observer(&control->store, &observer);
    mb_http_api_add_dump(&control->api, &source);
    return true;
}

/* Starts the threads of the shards. Called before the control node is started.
   Returns false with the error set on failure. */
bool
mb_owner_node_start(mb_owner_node_t *node, GError **error)
{
    for (uint32_t i = 0; i < node->config.shard_count; i++) {
        if (!mb_log_client_start(&node->shards[i]->client, error)) {
            return false;
        }
    }
    return true;
}

/* Returns whether no shard holds a lease that it still has to release. */
static bool
all_released(const mb_owner_node_t *node)
{
    for (uint32_t i = 0; i < node->config.shard_count; i++) {
        if (mb_atomic_load(&node->shards[i]->released) == 0) {
            return false;
        }
    }
    return true;
}

/* Releases the leases of all shards, so that other processes take over at once
   instead of after their expiry. Waits up to RELEASE_TIMEOUT_MS for the log;
   called from outside the threads of the shards. */
void
mb_owner_node_drain(mb_owner_node_t *node)
{
    struct timespec pause = {0, RELEASE_POLL_NS};
    mb_clock_t clock = mb_clock_monotonic();
    uint64_t until_ms = mb_clock_ms(&clock) + RELEASE_TIMEOUT_MS;
    for (uint32_t i = 0; i < node->config.shard_count; i++) {
        mb_owner_shard_release_lease(node->shards[i]);
    }
    while (!all_released(node) && mb_clock_ms(&clock) < until_ms) {
        (void)nanosleep(&pause, NULL);
    }
}

/* Stops the threads of the shards. The control node may still call
   config_changed and dump_shards until it is released. */
void
mb_owner_node_stop(mb_owner_node_t *node)
{
    for (uint32_t i = 0; i < node->config.shard_count; i++) {
        mb_owner_shard_stop(node->shards[i]);
    }
}

/* Releases the node. Called after mb_owner_node_stop, when the control node
   has been released. */
void
mb_owner_node_finish(mb_owner_node_t *node)
{
    for (uint32_t i = 0; i < node->config.shard_count; i++) {
        mb_owner_shard_finish(node->shards[i]);
        g_free(node->shards[i]);
    }
}
