/* Implements magnoliabarrow.h. */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "magnoliabarrow.h"
#include "mb_atomic.h"
#include "mb_daemon_json.h"
#include "mb_rng.h"
#include "options.h"
#include "roles.h"

/* Writes a log line that is at least as severe as the configured level: to
   standard output while the daemon runs, to standard error before and after.
   The level is checked here and not in mb_log_t, which the nodes copy when
   they start, so that a reload applies to them too. */
static void
write_line(void *context, mb_severity_t severity, mb_str_t line)
{
    mb_daemon_t *daemon = context;
    if (severity > mb_atomic_load(&daemon->most_verbose)) {
        return;
    }
    if (mb_atomic_load(&daemon->writes_log) != 0) {
        mb_log_writer_write(&daemon->log_writer, severity, line);
        return;
    }
    mb_log_t log = mb_log_stderr(daemon->log.component, severity);
    log.write(log.context, severity, line);
}

/* Applies the option log_level unless mb_daemon_set_verbosity overrides it. */
static void
apply_log_level(mb_daemon_t *daemon)
{
    mb_severity_t severity = MB_SEVERITY_INFO;
    mb_str_t name = mb_settings_text(&daemon->settings, "daemon", "log_level");
    if (!daemon->verbosity_fixed && mb_severity_from_name(name, &severity)) {
        mb_atomic_store(&daemon->most_verbose, severity);
    }
}

/* Reads the settings file, finds its role and runs the checks of the role.
   After a failure there is nothing to release. */
static bool
read_settings(const mb_daemon_t *daemon, mb_settings_t *settings,
              const mb_daemon_role_t **role, GError **error)
{
    g_autofree char *path = mb_str_to_cstr(mb_buf_view(&daemon->path));
    if (!mb_settings_init(settings, daemon_options, daemon_option_count, path,
                          error)) {
        return false;
    }
    *role = role_from_name(mb_settings_text(settings, "daemon", "role"));
    if (*role == NULL || !(*role)->check(settings, error)) {
        g_prefix_error(error, "%s: ", path);
        mb_settings_finish(settings);
        return false;
    }
    return true;
}

/* Initializes a daemon from a settings file; see magnoliabarrow.h. */
bool
mb_daemon_init(mb_daemon_t *daemon, const char *path, GError **error)
{
    mb_rng_t rng = mb_rng_system();
    memset(daemon, 0, sizeof(*daemon));
    mb_buf_set(&daemon->path, mb_str_from_cstr(path));
    if (!read_settings(daemon, &daemon->settings, &daemon->role, error)) {
        mb_buf_finish(&daemon->path);
        return false;
    }
    daemon->log = (mb_log_t){write_line, daemon, MB_SEVERITY_DEBUG, "daemon"};
    apply_log_level(daemon);
    daemon->process =
        mb_str_hash(mb_settings_text(&daemon->settings, "daemon", "name"));
    daemon->incarnation = mb_rng_next(&rng);
    mb_counters_init(&daemon->counters);
    mb_epoch_init(&daemon->epoch);
    return true;
}

/* Stops the log writer after it has written the lines in its queue; later
   lines go to standard error. */
static void
stop_log(mb_daemon_t *daemon)
{
    mb_atomic_store(&daemon->writes_log, 0);
    mb_log_writer_finish(&daemon->log_writer);
}

/* Releases a daemon that is drained or was never started; see
   magnoliabarrow.h. */
void
mb_daemon_finish(mb_daemon_t *daemon)
{
    if (daemon->node != NULL) {
        daemon->role->finish(daemon->node);
        daemon->node = NULL;
    }
    if (mb_atomic_load(&daemon->writes_log) != 0) {
        stop_log(daemon);
    }
    mb_epoch_finish(&daemon->epoch);
    mb_counters_finish(&daemon->counters);
    mb_settings_finish(&daemon->settings);
    mb_buf_finish(&daemon->path);
}

/* Overrides the option log_level; see magnoliabarrow.h. */
void
mb_daemon_set_verbosity(mb_daemon_t *daemon, mb_severity_t severity)
{
    daemon->verbosity_fixed = true;
    mb_atomic_store(&daemon->most_verbose, severity);
}

/* Starts the threads of the role; see magnoliabarrow.h. */
bool
mb_daemon_start(mb_daemon_t *daemon, GError **error)
{
    daemon->node = daemon->role->start(daemon, error);
    return daemon->node != NULL;
}

/* Drains the role; see magnoliabarrow.h. */
void
mb_daemon_drain(mb_daemon_t *daemon)
{
    if (daemon->node != NULL) {
        daemon->role->drain(daemon->node);
    }
}

/* Context of a reload. */
typedef struct reload {
    mb_daemon_t *daemon;
    const mb_settings_t *new_settings; /* as read again from the file */
} reload_t;

/* Applies the change of one option if it is reloadable. Otherwise logs that it
   needs a restart; the settings of the daemon keep the value in force. */
static void
apply_change(void *context, const mb_option_t *option)
{
    reload_t *reload = context;
    mb_settings_t *settings = &reload->daemon->settings;
    size_t row = (size_t)(option - settings->options);
    if (!option->reloadable) {
        mb_log_warning(&reload->daemon->log,
                       "change needs a restart option=[%s]%s", option->section,
                       option->key);
        return;
    }
    mb_buf_set(&settings->values[row],
               mb_buf_view(&reload->new_settings->values[row]));
    mb_log_notice(&reload->daemon->log, "change applied option=[%s]%s",
                  option->section, option->key);
}

/* Reloads the settings file; see magnoliabarrow.h. */
bool
mb_daemon_reload(mb_daemon_t *daemon, GError **error)
{
    mb_settings_t new_settings;
    const mb_daemon_role_t *role;
    if (!read_settings(daemon, &new_settings, &role, error)) {
        return false;
    }
    reload_t reload = {daemon, &new_settings};
    size_t count = mb_settings_diff(&daemon->settings, &new_settings,
                                    apply_change, &reload);
    apply_log_level(daemon);
    mb_log_notice(&daemon->log, "settings reloaded changes=%zu", count);
    mb_settings_finish(&new_settings);
    return true;
}

/* Appends the state as one line of JSON; see magnoliabarrow.h. */
void
mb_daemon_dump(const mb_daemon_t *daemon, mb_buf_t *out)
{
    if (daemon->node != NULL && daemon->role->dump(daemon->node, out)) {
        return;
    }
    mb_daemon_json_write(out, MB_VERSION, daemon->role->name,
                         &daemon->settings, &daemon->counters);
}

/* Writes the state to standard output, for SIGUSR1. */
static void
print_dump(const mb_daemon_t *daemon)
{
    mb_buf_t out = {0};
    mb_daemon_dump(daemon, &out);
    (void)fwrite(out.data, 1, out.len, stdout);
    (void)fflush(stdout);
    mb_buf_finish(&out);
}

/* Reloads the settings, for SIGHUP. An invalid file is logged and changes
   nothing. */
static void
reload_or_log(mb_daemon_t *daemon)
{
    g_autoptr(GError) error = NULL;
    if (!mb_daemon_reload(daemon, &error)) {
        mb_log_error(&daemon->log, "settings refused, nothing changed: %s",
                     error->message);
    }
}

/* Blocks the signals that mb_daemon_run waits for in this thread, and so in
   all threads that it starts later, and returns them. Ignores SIGPIPE: a write
   to a closed connection must not end the process. */
static sigset_t
block_signals(void)
{
    sigset_t signals;
    (void)sigemptyset(&signals);
    (void)sigaddset(&signals, SIGTERM);
    (void)sigaddset(&signals, SIGINT);
    (void)sigaddset(&signals, SIGHUP);
    (void)sigaddset(&signals, SIGUSR1);
    (void)pthread_sigmask(SIG_BLOCK, &signals, NULL);
    (void)signal(SIGPIPE, SIG_IGN);
    return signals;
}

/* Runs the daemon until SIGTERM or SIGINT; see magnoliabarrow.h. */
bool
mb_daemon_run(mb_daemon_t *daemon, GError **error)
{
    sigset_t signals = block_signals();
    int received = 0;
    if (!mb_log_writer_init(&daemon->log_writer, STDOUT_FILENO, error)) {
        return false;
    }
    mb_atomic_store(&daemon->writes_log, 1);
    if (!mb_daemon_start(daemon, error)) {
        return false;
    }
    while (received != SIGTERM && received != SIGINT) {
        (void)sigwait(&signals, &received);
        if (received == SIGHUP) {
            reload_or_log(daemon);
        }
        else if (received == SIGUSR1) {
            print_dump(daemon);
        }
    }
    mb_log_notice(&daemon->log, "draining signal=%d", received);
    mb_daemon_drain(daemon);
    mb_log_notice(&daemon->log, "stopped");
    return true;
}
