#include "control.h"

#include "mb_cleanup.h"

/* Maximum length of the bearer token, in bytes. */
#define TOKEN_MAX 4096

/* Reads the file `name` with the bearer token of the API. An empty name leaves
   the token empty: none is required of clients. */
static bool
read_token(mb_str_t name, mb_buf_t *token, GError **error)
{
    g_autofree char *path = mb_str_to_cstr(name);
    g_autofree char *content = NULL;
    g_autoptr(GError) cause = NULL;
    gsize len = 0;
    if (name.len == 0) {
        return true;
    }
    if (!g_file_get_contents(path, &content, &len, &cause)) {
        mb_error_set(error, MB_KIND_CONFIG, "[api] token_file: %s",
                     cause->message);
        return false;
    }
    mb_buf_set(token, mb_str_trim((mb_str_t){content, len}));
    if (token->len == 0 || token->len > TOKEN_MAX) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "[api] token_file: must hold 1 to %d bytes", TOKEN_MAX);
        return false;
    }
    return true;
}

/* Makes the sidecar connect to the entries that were chosen for it; see
   mb_control_callbacks_t. Called on the thread of the stream `members`. */
static void
apply_entry_choices(void *context, const mb_member_choice_t *choices,
                    uint32_t count)
{
    control_t *control = context;
    MB_AUTO_BUF mb_buf_t list = {0};
    for (uint32_t i = 0; i < count; i++) {
        mb_buf_printf(&list, "%s%s", i > 0 ? "," : "", choices[i].address);
    }
    mb_sidecar_node_set_entries(control->sidecar, mb_buf_view(&list));
}

/* Returns the configuration of the control node. Its texts are views of the
   settings and of the token. A sidecar whose settings list entries does not
   choose any. */
static mb_control_config_t
get_control_config(const control_t *control, const control_options_t *options)
{
    const mb_settings_t *settings = options->settings;
    mb_control_config_t config = {
        .log_address = mb_settings_text(settings, "log", "address"),
        .retention_ms = mb_settings_number(settings, "log", "retention_ms"),
        .api_address = mb_settings_text(settings, "api", "address"),
        .token = mb_buf_view(&control->token),
        .process = options->process,
        .incarnation = options->incarnation,
        .failure_domain =
            mb_settings_text(settings, "daemon", "failure_domain"),
        .link_address = MB_STR_EMPTY,
    };
    if (options->sidecar == NULL) {
        config.link_address =
            mb_settings_text(settings, "entry", "link_address");
    }
    else if (mb_settings_text(settings, "sidecar", "entries").len == 0) {
        config.attach =
            (uint32_t)mb_settings_number(settings, "sidecar", "attach");
    }
    return config;
}

/* Returns a number option of the section [shard]. */
static uint32_t
get_shard_number(const mb_settings_t *settings, const char *key)
{
    return (uint32_t)mb_settings_number(settings, "shard", key);
}

/* Returns whether the process may own shards: by default an entry may and a
   sidecar may not. */
static bool
is_eligible(const mb_settings_t *settings, bool is_sidecar)
{
    mb_str_t value = mb_settings_text(settings, "shard", "eligible");
    return mb_str_equal(value, MB_STR_LIT("yes")) ||
           (mb_str_equal(value, MB_STR_LIT("auto")) && !is_sidecar);
}

/* Checks the durations in the settings of shards against one another. */
static bool
check_shard_durations(const mb_settings_t *settings, bool is_sidecar,
                      GError **error)
{
    uint64_t retention_ms =
        mb_settings_number(settings, "log", "retention_ms");
    uint32_t lease_ms = get_shard_number(settings, "lease_ms");
    uint32_t worker_lease_ms = get_shard_number(settings, "worker_lease_ms");
    if (!is_eligible(settings, is_sidecar)) {
        return true;
    }
    if (lease_ms > retention_ms / 2) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "[shard] lease_ms: must be at most half of [log] "
                     "retention_ms");
        return false;
    }
    if (get_shard_number(settings, "drift_margin_ms") > lease_ms) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "[shard] drift_margin_ms: must be at most lease_ms");
        return false;
    }
    if (get_shard_number(settings, "sync_period_ms") > worker_lease_ms / 3) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "[shard] sync_period_ms: must be at most a third of "
                     "worker_lease_ms");
        return false;
    }
    return true;
}

/* Initializes the owner node, which competes for the ownership of shards. */
static bool
init_owner(control_t *control, const control_options_t *options,
           mb_counters_t *counters, const mb_log_t *log, GError **error)
{
    const mb_settings_t *settings = options->settings;
    mb_owner_config_t config = {
        .log_address = mb_settings_text(settings, "log", "address"),
        .retention_ms = mb_settings_number(settings, "log", "retention_ms"),
        .process = options->process,
        .shard_count = get_shard_number(settings, "count"),
        .lease =
            {.lease_ms = get_shard_number(settings, "lease_ms"),
             .drift_margin_ms = get_shard_number(settings, "drift_margin_ms"),
             .claim_delay_ms = get_shard_number(settings, "claim_delay_ms"),
             .outage_grace_ms = get_shard_number(settings, "outage_grace_ms")},
        .worker_lease_ms = get_shard_number(settings, "worker_lease_ms"),
        .sync_period_ms = get_shard_number(settings, "sync_period_ms"),
        .batch_delay_ms = get_shard_number(settings, "batch_delay_ms"),
        .finish_delay_ms = get_shard_number(settings, "finish_delay_ms"),
    };
    return mb_owner_node_init(&control->owner, &config, &control->node,
                              counters, log, error);
}

/* Answers an operator's query why a job waits; see mb_http_api_callbacks_t.
   Called on a thread of the API. Returns false also if this process may not
   own shards. */
static bool
write_explanation(void *context, mb_str_t job, mb_buf_t *out)
{
    control_t *control = context;
    return control->may_own_shards &&
           mb_owner_node_explain(&control->owner, job, out);
}

/* Answers an operator's query for the status of jobs; see
   mb_http_api_callbacks_t. Called on a thread of the API. Returns false also
   if this process may not own shards. */
static bool
get_job_status(void *context, GPtrArray *names, mb_explain_status_t *status)
{
    control_t *control = context;
    return control->may_own_shards &&
           mb_owner_node_status(&control->owner, names, status);
}

/* Checks the settings that depend on one another. Returns false, with the
   error set, if they are invalid. */
bool
control_check(const mb_settings_t *settings, bool is_sidecar, GError **error)
{
    mb_str_t log_address = mb_settings_text(settings, "log", "address");
    uint32_t ip;
    uint16_t port;
    if (log_address.len > 0 && !mb_address_parse(log_address, &ip, &port)) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "[log] address: must be IPv4:port");
        return false;
    }
    if (log_address.len == 0 &&
        mb_settings_text(settings, "api", "address").len > 0) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "[api] address: needs [log] address");
        return false;
    }
    if (log_address.len == 0 && is_sidecar &&
        mb_settings_text(settings, "sidecar", "entries").len == 0) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "[sidecar] entries: missing; without [log] address the "
                     "live entries are not known");
        return false;
    }
    return check_shard_durations(settings, is_sidecar, error);
}

/* Initializes `control`, which must be zeroed and stay in place until
   control_finish, and starts no thread. Without a log service nothing is
   enabled and control_start, control_drain and control_dump do nothing. */
bool
control_init(control_t *control, const control_options_t *options,
             mb_epoch_t *epoch, mb_counters_t *counters, const mb_log_t *log,
             GError **error)
{
    mb_control_callbacks_t callbacks = {.chosen = apply_entry_choices,
                                        .explain = write_explanation,
                                        .status = get_job_status,
                                        .context = control};
    control->sidecar = options->sidecar;
    control->enabled =
        mb_settings_text(options->settings, "log", "address").len > 0;
    if (!read_token(mb_settings_text(options->settings, "api", "token_file"),
                    &control->token, error)) {
        return false;
    }
    if (!control->enabled) {
        return true;
    }
    mb_control_config_t config = get_control_config(control, options);
    if (!mb_control_node_init(&control->node, &config, &callbacks, epoch,
                              counters, log, error)) {
        return false;
    }
    control->may_own_shards =
        is_eligible(options->settings, options->sidecar != NULL);
    return !control->may_own_shards ||
           init_owner(control, options, counters, log, error);
}

/* Starts the threads. To be called after the node of the role is initialized,
   because the threads call that node. After a failure some threads may still
   run. */
bool
control_start(control_t *control, GError **error)
{
    return !control->enabled ||
           ((!control->may_own_shards ||
             mb_owner_node_start(&control->owner, error)) &&
            mb_control_node_start(&control->node, error));
}

/* Appends the state as one line of JSON. Returns false without a log service,
   because then there is no state to show. */
bool
control_dump(control_t *control, mb_buf_t *out)
{
    if (control->enabled) {
        mb_http_api_dump(&control->node.api, out);
    }
    return control->enabled;
}

/* Releases the leases of the shards, so that other processes take over at
   once, and announces the departure of this process. Waits a limited time for
   the log. */
void
control_drain(control_t *control)
{
    if (control->may_own_shards) {
        mb_owner_node_drain(&control->owner);
    }
    if (control->enabled) {
        mb_control_node_drain(&control->node);
    }
}

/* Stops the threads and releases everything. To be called before the node of
   the role is released. The shards read the configuration and the API queries
   the shards, so all threads end before anything is freed. */
void
control_finish(control_t *control)
{
    if (control->may_own_shards) {
        mb_http_api_stop(&control->node.api);
        mb_owner_node_stop(&control->owner);
    }
    if (control->enabled) {
        mb_control_node_finish(&control->node);
    }
    if (control->may_own_shards) {
        mb_owner_node_finish(&control->owner);
    }
    mb_buf_finish(&control->token);
}
