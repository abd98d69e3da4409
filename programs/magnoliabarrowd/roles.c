#include "roles.h"

#include "control.h"
#include "intake.h"
#include "job_roles.h"
#include "mb_entry_node.h"
#include "mb_sidecar_node.h"

/* The node of the role entry (mb_daemon_role_t). */
typedef struct entry_role {
    control_t control;
    mb_entry_node_t node;
} entry_role_t;

/* The node of the role sidecar. */
typedef struct sidecar_role {
    control_t control;
    mb_sidecar_node_t node;
} sidecar_role_t;

/* Initializes what the roles entry and sidecar share; `sidecar` is NULL in the
   role entry. */
static bool
init_control(mb_daemon_t *daemon, control_t *control,
             mb_sidecar_node_t *sidecar, GError **error)
{
    control_options_t options = {&daemon->settings, daemon->process,
                                 daemon->incarnation, sidecar};
    return control_init(control, &options, &daemon->epoch, &daemon->counters,
                        &daemon->log, error);
}

/* Checks the settings for the role entry. */
static bool
check_entry(const mb_settings_t *settings, GError **error)
{
    return intake_check(settings, "entry", error) &&
           control_check(settings, false, error);
}

/* Appends the settings of a declared service to the GArray of
   mb_service_settings_t in `context`. The caller frees the names. */
static void
collect_service(void *context, const mb_resource_t *resource)
{
    const mb_service_t *service = &resource->spec.service;
    mb_service_settings_t settings = {
        .name = {g_memdup2(resource->name.data, resource->name.len),
                 resource->name.len},
        .request_class = service->request_class,
        .deadline_ms = service->deadline_ms,
        .queue_limit = service->queue_limit};
    (void)g_array_append_val((GArray *)context, settings);
}

/* Passes the settings of all declared services to the entry after one of them
   has changed, or if any resource may have changed (`change` is NULL). To set
   the same settings again has no effect. Called on the thread that reads the
   stream `config`. */
static void
update_services(void *context, const mb_config_change_t *change)
{
    entry_role_t *role = context;
    mb_config_t *config = &role->control.node.resources;
    if (change != NULL && change->kind != MB_RESOURCE_SERVICE) {
        return;
    }
    GArray *services =
        g_array_new(FALSE, FALSE, sizeof(mb_service_settings_t));
    mb_epoch_enter(config->epoch);
    mb_config_each(mb_config_load(config), MB_RESOURCE_SERVICE,
                   collect_service, services);
    mb_epoch_leave(config->epoch);
    mb_entry_node_set_services(
        &role->node, (const mb_service_settings_t *)(void *)services->data,
        services->len);
    for (guint i = 0; i < services->len; i++) {
        g_free((char *)g_array_index(services, mb_service_settings_t, i)
                   .name.data);
    }
    g_array_unref(services);
}

/* Registers update_services as an observer of the configuration. Without a
   log service there is no configuration to observe. */
static void
observe_services(entry_role_t *role)
{
    mb_config_observer_t observer = {update_services, role};
    if (role->control.enabled) {
        mb_config_store_add_observer(&role->control.node.store, &observer);
    }
}

/* Starts the role entry. */
static void *
start_entry(mb_daemon_t *daemon, GError **error)
{
    mb_entry_config_t config = {
        .http_threads = daemon_setting_u32(daemon, "entry", "http_threads"),
        .link_threads = daemon_setting_u32(daemon, "entry", "link_threads"),
        .default_deadline_ms =
            daemon_setting_u32(daemon, "entry", "default_deadline_ms"),
        .process = daemon->process,
        .incarnation = daemon->incarnation,
        .failure_domain =
            daemon_setting_text(daemon, "daemon", "failure_domain"),
    };
    (void)mb_address_parse(
        daemon_setting_text(daemon, "entry", "client_address"),
        &config.client_ip, &config.client_port);
    (void)mb_address_parse(
        daemon_setting_text(daemon, "entry", "link_address"), &config.link_ip,
        &config.link_port);
    if (!intake_read(&daemon->settings, "entry", &config.limits, error)) {
        return NULL;
    }
    config.max_connections = (uint32_t)config.limits.connections_max;
    intake_log(&config.limits, &daemon->log);
    entry_role_t *role = g_new0(entry_role_t, 1);
    if (!init_control(daemon, &role->control, NULL, error) ||
        !mb_entry_node_init(&role->node, &config, &daemon->epoch,
                            &daemon->counters, &daemon->log, error)) {
        return NULL;
    }
    observe_services(role);
    if (!control_start(&role->control, error)) {
        /* The node is not freed: threads of a partial start may still use it,
           and the process ends after this failure. */
        return NULL;
    }
    mb_log_notice(&daemon->log, "entry serves clients port=%u links port=%u",
                  config.client_port, config.link_port);
    return role;
}

/* Drains the role entry: announces its departure, then completes the requests
   in progress. */
static void
drain_entry(void *node)
{
    entry_role_t *role = node;
    control_drain(&role->control);
    mb_entry_node_drain(&role->node);
}

/* Stops the threads of the role entry and frees it. */
static void
finish_entry(void *node)
{
    entry_role_t *role = node;
    control_finish(&role->control);
    mb_entry_node_finish(&role->node);
    g_free(role);
}

/* Appends the state of the role entry; see mb_daemon_role_t. */
static bool
dump_entry(void *node, mb_buf_t *out)
{
    entry_role_t *role = node;
    return control_dump(&role->control, out);
}

/* Checks the settings for the role sidecar: the service must be set, and the
   list of entries, which may be empty, must be valid. */
static bool
check_sidecar(const mb_settings_t *settings, GError **error)
{
    mb_str_t rest = mb_settings_text(settings, "sidecar", "entries");
    mb_str_t part;
    uint32_t count = 0;
    uint32_t ip;
    uint16_t port;
    if (mb_settings_text(settings, "sidecar", "service").len == 0) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "[sidecar] service: missing for the role sidecar");
        return false;
    }
    while (mb_str_split(&rest, ',', &part)) {
        count++;
        if (count > MB_SIDECAR_ENTRIES_MAX ||
            !mb_address_parse(mb_str_trim(part), &ip, &port)) {
            mb_error_set(error, MB_KIND_CONFIG,
                         "[sidecar] entries: must be 1 to %d addresses "
                         "IPv4:port separated by commas",
                         MB_SIDECAR_ENTRIES_MAX);
            return false;
        }
    }
    return control_check(settings, true, error);
}

/* Starts the role sidecar. */
static void *
start_sidecar(mb_daemon_t *daemon, GError **error)
{
    mb_sidecar_config_t config = {
        .service = daemon_setting_text(daemon, "sidecar", "service"),
        .upstream = daemon_setting_text(daemon, "sidecar", "upstream_address"),
        .entries = daemon_setting_text(daemon, "sidecar", "entries"),
        .failure_domain =
            daemon_setting_text(daemon, "daemon", "failure_domain"),
        .slots = daemon_setting_u32(daemon, "sidecar", "slots"),
        .process = daemon->process,
        .incarnation = daemon->incarnation,
    };
    sidecar_role_t *role = g_new0(sidecar_role_t, 1);
    if (!init_control(daemon, &role->control, &role->node, error) ||
        !mb_sidecar_node_init(&role->node, &config, &daemon->counters,
                              &daemon->log, error) ||
        !control_start(&role->control, error)) {
        /* Not freed, for the same reason as in start_entry. */
        return NULL;
    }
    mb_log_notice(&daemon->log, "sidecar announces service=%.*s upstream=%.*s",
                  MB_STR_ARG(config.service), MB_STR_ARG(config.upstream));
    return role;
}

/* Drains the role sidecar; see mb_daemon_role_t. */
static void
drain_sidecar(void *node)
{
    sidecar_role_t *role = node;
    control_drain(&role->control);
    mb_sidecar_node_drain(&role->node);
}

/* Stops the threads of the role sidecar and frees it. */
static void
finish_sidecar(void *node)
{
    sidecar_role_t *role = node;
    control_finish(&role->control);
    mb_sidecar_node_finish(&role->node);
    g_free(role);
}

/* Appends the state of the role sidecar; see mb_daemon_role_t. */
static bool
dump_sidecar(void *node, mb_buf_t *out)
{
    sidecar_role_t *role = node;
    return control_dump(&role->control, out);
}

/* The names are those of the option [daemon] role. */
static const mb_daemon_role_t roles[] = {
    {"entry", check_entry, start_entry, drain_entry, finish_entry, dump_entry},
    {"sidecar", check_sidecar, start_sidecar, drain_sidecar, finish_sidecar,
     dump_sidecar},
    {"scheduler", check_job_role, start_scheduler, drain_scheduler,
     finish_scheduler, dump_job_role},
    {"agent", check_job_role, start_agent, drain_agent, finish_agent,
     dump_job_role},
};

/* Returns the role with a name, or NULL for a name that is not a choice of the
   option [daemon] role. */
const mb_daemon_role_t *
role_from_name(mb_str_t name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(roles); i++) {
        if (mb_str_equal(mb_str_from_cstr(roles[i].name), name)) {
            return &roles[i];
        }
    }
    return NULL;
}
