#include "control.h"

#include "mb_cleanup.h"

/* Longest token, in bytes. */
#define TOKEN_MAX 4096

/* Reads the token file; an empty name means that no token is asked for. */
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

/* Gives the sidecar the entries that were chosen for it. */
static void
entries_chosen(void *context, const mb_member_choice_t *choices,
               uint32_t count)
{
    control_t *control = context;
    MB_AUTO_BUF mb_buf_t list = {0};
    for (uint32_t i = 0; i < count; i++) {
        mb_buf_printf(&list, "%s%s", i > 0 ? "," : "", choices[i].address);
    }
    mb_sidecar_node_set_entries(control->sidecar, mb_buf_view(&list));
}

/* Fills the configuration from the settings. */
static mb_control_config_t
control_config(const control_t *control, const control_options_t *options)
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

/* Returns a number setting of the section shard. */
static uint32_t
shard_number(const mb_settings_t *settings, const char *key)
{
    return (uint32_t)mb_settings_number(settings, "shard", key);
}

/* Tells whether the process takes part in the shards: by default an entry
   does and a sidecar does not. */
static bool
is_eligible(const mb_settings_t *settings, bool sidecar)
{
    mb_str_t value = mb_settings_text(settings, "shard", "eligible");
    return mb_str_equal(value, MB_STR_LIT("yes")) ||
           (mb_str_equal(value, MB_STR_LIT("auto")) && !sidecar);
}

/* Checks the times of the shards against each other. */
static bool
check_shard(const mb_settings_t *settings, bool sidecar, GError **error)
{
    uint64_t retention_ms =
        mb_settings_number(settings, "log", "retention_ms");
    uint32_t lease_ms = shard_number(settings, "lease_ms");
    uint32_t worker_lease_ms = shard_number(settings, "worker_lease_ms");
    if (!is_eligible(settings, sidecar)) {
        return true;
    }
    if (lease_ms > retention_ms / 2) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "[shard] lease_ms: must be at most half of [log] "
                     "retention_ms");
        return false;
    }
    if (shard_number(settings, "drift_margin_ms") > lease_ms) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "[shard] drift_margin_ms: must be at most lease_ms");
        return false;
    }
    if (shard_number(settings, "sync_period_ms") > worker_lease_ms / 3) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "[shard] sync_period_ms: must be at most a third of "
                     "worker_lease_ms");
        return false;
    }
    return true;
}

/* Prepares the part that may own shards. */
static bool
init_owner(control_t *control, const control_options_t *options,
           mb_counters_t *counters, const mb_log_t *log, GError **error)
{
    const mb_settings_t *settings = options->settings;
    mb_owner_config_t config = {
        .log_address = mb_settings_text(settings, "log", "address"),
        .retention_ms = mb_settings_number(settings, "log", "retention_ms"),
        .process = options->process,
        .shard_count = shard_number(settings, "count"),
        .lease = {.lease_ms = shard_number(settings, "lease_ms"),
                  .drift_margin_ms = shard_number(settings, "drift_margin_ms"),
                  .claim_delay_ms = shard_number(settings, "claim_delay_ms"),
                  .outage_grace_ms =
                      shard_number(settings, "outage_grace_ms")},
        .worker_lease_ms = shard_number(settings, "worker_lease_ms"),
        .sync_period_ms = shard_number(settings, "sync_period_ms"),
        .batch_delay_ms = shard_number(settings, "batch_delay_ms"),
        .finish_delay_ms = shard_number(settings, "finish_delay_ms"),
    };
    return mb_owner_node_init(&control->owner, &config, &control->node,
                              counters, log, error);
}

/* Explains a job to operators. */
static bool
explain(void *context, mb_str_t job, mb_buf_t *out)
{
    control_t *control = context;
    return control->may_own_shards &&
           mb_owner_node_explain(&control->owner, job, out);
}

/* Tells operators what the tasks of jobs do. */
static bool
job_status(void *context, GPtrArray *names, mb_explain_status_t *status)
{
    control_t *control = context;
    return control->may_own_shards &&
           mb_owner_node_status(&control->owner, names, status);
}

/* Checks settings that depend on one another. */
bool
control_check(const mb_settings_t *settings, bool sidecar, GError **error)
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
    if (log_address.len == 0 && sidecar &&
        mb_settings_text(settings, "sidecar", "entries").len == 0) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "[sidecar] entries: missing; without [log] address the "
                     "live entries are not known");
        return false;
    }
    return check_shard(settings, sidecar, error);
}

/* Prepares the part that all roles share; without a log service it does
   nothing. */
bool
control_init(control_t *control, const control_options_t *options,
             mb_epoch_t *epoch, mb_counters_t *counters, const mb_log_t *log,
             GError **error)
{
    mb_control_callbacks_t callbacks = {.chosen = entries_chosen,
                                        .explain = explain,
                                        .status = job_status,
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
    mb_control_config_t config = control_config(control, options);
    if (!mb_control_node_init(&control->node, &config, &callbacks, epoch,
                              counters, log, error)) {
        return false;
    }
    control->may_own_shards =
        is_eligible(options->settings, options->sidecar != NULL);
    return !control->may_own_shards ||
           init_owner(control, options, counters, log, error);
}

/* Starts it after the role. */
bool
control_start(control_t *control, GError **error)
{
    return !control->enabled ||
           ((!control->may_own_shards ||
             mb_owner_node_start(&control->owner, error)) &&
            mb_control_node_start(&control->node, error));
}

/* Appends a dump as one line of JSON; false when there is no log service and
   so no state to show. */
bool
control_dump(control_t *control, mb_buf_t *out)
{
    if (control->enabled) {
        mb_http_api_dump(&control->node.api, out);
    }
    return control->enabled;
}

/* Announces that this process leaves. */
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

/* Stops it before the role is freed. The shards read the configuration, and
   the API asks the shards, so threads end before anything is freed. */
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
