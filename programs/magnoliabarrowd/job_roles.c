#include "job_roles.h"

#include "intake.h"
#include "mb_agent_node.h"
#include "mb_scheduler_node.h"
#include "mbp_executor.h"
#include "mbp_jobs.h"
#include "mbp_registration.h"
#include "mbp_store.h"
#include "roles.h"

/* Maximum number of concurrent calls to the job log, and to the worker. */
#define LOG_CALLS_MAX 16u
#define WORKER_CALLS_MAX 256u
/* Maximum size of a response body, in bytes. */
#define RESPONSE_MAX (4u * 1024u * 1024u)

/* Maximum size of all responses that one HTTP client of the process is
   reading, in bytes: a few of the largest pages of the log at a time. */
#define RESPONSES_MAX (24u * 1024u * 1024u)

/* The node of the role scheduler (mb_daemon_role_t) and its adapter. */
typedef struct scheduler_role {
    mb_scheduler_node_t node;
    mb_http_client_t http;
    mbp_store_t store;
} scheduler_role_t;

/* The node of the role agent and its adapter. The job log and the worker have
   an HTTP client each, with its own limit of concurrent calls. */
typedef struct agent_role {
    mb_agent_node_t node;
    mb_http_client_t log_http;
    mb_http_client_t worker_http;
    mbp_store_t store;
    mbp_executor_t executor;
    mbp_registration_filter_t filter;
} agent_role_t;

/* Sets *ip and *port to the address in a setting, or to 0 if it is empty. */
static void
read_address(const mb_daemon_t *daemon, const char *section, const char *key,
             uint32_t *ip, uint16_t *port)
{
    mb_str_t value = daemon_setting_text(daemon, section, key);
    if (value.len == 0 || !mb_address_parse(value, ip, port)) {
        *ip = 0;
        *port = 0;
    }
}

/* Checks the metrics address of a section, which may be empty. */
static bool
check_metrics_address(const mb_settings_t *settings, const char *section,
                      GError **error)
{
    uint32_t ip;
    uint16_t port;
    mb_str_t value = mb_settings_text(settings, section, "metrics_address");
    if (value.len > 0 && !mb_address_parse(value, &ip, &port)) {
        mb_error_set(error, MB_KIND_CONFIG,
                     "[%s] metrics_address: must be IPv4:port", section);
        return false;
    }
    return true;
}

/* Checks what the table of options can't express; see mb_daemon_role_t. */
bool
check_job_role(const mb_settings_t *settings, GError **error)
{
    bool is_scheduler = mb_str_equal(
        mb_settings_text(settings, "daemon", "role"), MB_STR_LIT("scheduler"));
    return (!is_scheduler || intake_check(settings, "scheduler", error)) &&
           check_metrics_address(settings, "scheduler", error) &&
           check_metrics_address(settings, "agent", error);
}

/* Returns false: the node has no state to show beyond settings and metrics. */
bool
dump_job_role(void *node, mb_buf_t *out)
{
    (void)node;
    (void)out;
    return false;
}

/* Starts the role scheduler. */
void *
start_scheduler(mb_daemon_t *daemon, GError **error)
{
    mb_scheduler_config_t config = {
        .http_threads =
            daemon_setting_u32(daemon, "scheduler", "http_threads"),
        .default_deadline_ms =
            daemon_setting_u32(daemon, "scheduler", "default_deadline_ms"),
        .retention_ms =
            daemon_setting_u32(daemon, "scheduler", "retention_ms"),
        .config_age_max_ms =
            daemon_setting_u32(daemon, "scheduler", "config_age_max_ms"),
        .evacuation_age_max_ms =
            daemon_setting_u32(daemon, "scheduler", "evacuation_age_max_ms"),
        .memory_bytes = intake_memory(&daemon->settings),
        .reject_overdue_jobs = mb_str_equal(
            daemon_setting_text(daemon, "scheduler", "reject_overdue_jobs"),
            MB_STR_LIT("yes")),
        .name = daemon_setting_text(daemon, "daemon", "name"),
        .incarnation = daemon->incarnation};
    read_address(daemon, "scheduler", "client_address", &config.client_ip,
                 &config.client_port);
    read_address(daemon, "scheduler", "ready_address", &config.ready_ip,
                 &config.ready_port);
    read_address(daemon, "scheduler", "metrics_address", &config.metrics_ip,
                 &config.metrics_port);
    if (!intake_read(&daemon->settings, "scheduler", &config.limits, error)) {
        return NULL;
    }
    config.max_connections = (uint32_t)config.limits.connections_max;
    intake_log(&config.limits, &daemon->log);
    scheduler_role_t *role = g_new0(scheduler_role_t, 1);
    mb_job_codec_t codec = mbp_job_codec();
    if (!mb_scheduler_node_init(&role->node, &config, &daemon->epoch,
                                &daemon->counters, &daemon->log, error) ||
        !mb_http_client_init(&role->http, &role->node.loop, LOG_CALLS_MAX,
                             RESPONSE_MAX, error)) {
        return NULL;
    }
    role->http.received_max = RESPONSES_MAX;
    mbp_store_init(&role->store, &role->http,
                   daemon_setting_text(daemon, "job_log", "address"),
                   &daemon->log);
    mb_keyed_log_t keyed_log = mbp_store_keyed_log(&role->store);
    if (!mb_scheduler_node_start(&role->node, &codec, &keyed_log, error)) {
        /* The node is not freed: threads of a partial start may still use it,
           and the process ends after this failure. */
        return NULL;
    }
    mb_log_notice(&daemon->log, "scheduler serves clients port=%u ready=%u",
                  config.client_port, config.ready_port);
    return role;
}

/* Drains the role scheduler; see mb_daemon_role_t. */
void
drain_scheduler(void *node)
{
    mb_scheduler_node_drain(&((scheduler_role_t *)node)->node);
}

/* Stops the threads of the role scheduler. The node is not freed, because
   calls to the log may still be in progress and refer to it; it lives as long
   as the process. */
void
finish_scheduler(void *node)
{
    mb_scheduler_node_stop(&((scheduler_role_t *)node)->node);
}

/* Starts the role agent. */
void *
start_agent(mb_daemon_t *daemon, GError **error)
{
    mb_agent_config_t config = {
        .link_address = daemon_setting_text(daemon, "agent", "link_address"),
        .name = daemon_setting_text(daemon, "daemon", "name"),
        .incarnation = daemon->incarnation};
    read_address(daemon, "agent", "registration_address",
                 &config.registration_ip, &config.registration_port);
    read_address(daemon, "agent", "link_address", &config.link_ip,
                 &config.link_port);
    read_address(daemon, "agent", "metrics_address", &config.metrics_ip,
                 &config.metrics_port);
    agent_role_t *role = g_new0(agent_role_t, 1);
    if (!mb_agent_node_init(&role->node, &config, &daemon->counters,
                            &daemon->log, error) ||
        !mb_http_client_init(&role->log_http, &role->node.loop, LOG_CALLS_MAX,
                             RESPONSE_MAX, error) ||
        !mb_http_client_init(&role->worker_http, &role->node.loop,
                             WORKER_CALLS_MAX, RESPONSE_MAX, error)) {
        return NULL;
    }
    role->log_http.received_max = RESPONSES_MAX;
    role->worker_http.received_max = RESPONSES_MAX;
    mbp_store_init(&role->store, &role->log_http,
                   daemon_setting_text(daemon, "job_log", "address"),
                   &daemon->log);
    mbp_executor_init(&role->executor, &role->worker_http,
                      daemon_setting_text(daemon, "agent", "worker_address"),
                      &daemon->log);
    role->filter.service = daemon_setting_text(daemon, "agent", "service");
    mb_keyed_log_t keyed_log = mbp_store_keyed_log(&role->store);
    mb_executor_t executor = mbp_executor_interface(&role->executor);
    mb_registration_codec_t codec = mbp_registration_codec(&role->filter);
    if (!mb_agent_node_start(&role->node, &codec, &executor, &keyed_log,
                             error)) {
        /* Not freed, for the same reason as in start_scheduler. */
        return NULL;
    }
    mb_log_notice(&daemon->log, "agent waits for its worker port=%u links=%u",
                  config.registration_port, config.link_port);
    return role;
}

/* Drains the role agent; see mb_daemon_role_t. */
void
drain_agent(void *node)
{
    mb_agent_node_drain(&((agent_role_t *)node)->node);
}

/* Stops the threads of the role agent. The node is not freed, as in
   finish_scheduler. */
void
finish_agent(void *node)
{
    mb_agent_node_stop(&((agent_role_t *)node)->node);
}
