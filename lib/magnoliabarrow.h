/* magnoliabarrow: a daemon that serves one role of the scheduler. A program
   makes a daemon from a settings file, runs it until it is asked to stop, and
   frees it:

       mb_daemon_t daemon;
       if (mb_daemon_init(&daemon, path, &error)) {
           ok = mb_daemon_run(&daemon, &error);
           mb_daemon_finish(&daemon);
       }

   Errors are GErrors of the domain MB_ERROR; mb_error.h maps each kind to an
   exit code. The functions are called from one thread; the daemon starts its
   own threads. */
#ifndef MAGNOLIABARROW_H
#define MAGNOLIABARROW_H

#include "mb_counter.h"
#include "mb_epoch.h"
#include "mb_error.h"
#include "mb_log_writer.h"
#include "mb_settings.h"

#define MB_VERSION "0.1.0"

typedef struct mb_daemon mb_daemon_t;

/* How a daemon serves its role; `node` is the role's own memory. */
typedef struct mb_daemon_role {
    const char *name;
    /* Checks what the ranges of the single options can't express. */
    bool (*check)(const mb_settings_t *settings, GError **error);
    /* Starts to serve; NULL with an error when it can't. */
    void *(*start)(mb_daemon_t *daemon, GError **error);
    /* Takes nothing new and waits for what is in flight. */
    void (*drain)(void *node);
    /* Stops the threads and frees the node. */
    void (*finish)(void *node);
    /* Appends the state of a running node as one line of JSON; false when it
       has none to show beyond settings and metrics. */
    bool (*dump)(void *node, mb_buf_t *out);
} mb_daemon_role_t;

/* One daemon, in memory that the caller owns. */
struct mb_daemon {
    mb_buf_t path;
    mb_settings_t settings;
    mb_log_t log;
    mb_counters_t counters;
    mb_epoch_t epoch;
    uint64_t process;     /* from the daemon's name */
    uint64_t incarnation; /* random at each start */
    const mb_daemon_role_t *role;
    void *node;            /* NULL unless started */
    uint64_t most_verbose; /* severity, read by every thread that logs */
    bool verbosity_fixed;
    mb_log_writer_t log_writer; /* while `writes_log` is not 0 */
    uint64_t writes_log;
};

bool mb_daemon_init(mb_daemon_t *daemon, const char *path, GError **error);
void mb_daemon_finish(mb_daemon_t *daemon);

/* Fixes the severity of the most verbose lines, whatever log_level says. */
void mb_daemon_set_verbosity(mb_daemon_t *daemon, mb_severity_t severity);

/* Starts, handles signals until SIGTERM or SIGINT, and drains. SIGHUP reloads
   the settings, SIGUSR1 dumps the state to standard output, to which the log
   goes as well. */
bool mb_daemon_run(mb_daemon_t *daemon, GError **error);

/* The steps of mb_daemon_run, for a caller with a loop of its own. */
bool mb_daemon_start(mb_daemon_t *daemon, GError **error);
void mb_daemon_drain(mb_daemon_t *daemon);

/* Reads the settings file again and applies the reloadable options. A file
   that is refused changes nothing. */
bool mb_daemon_reload(mb_daemon_t *daemon, GError **error);

/* Appends one line of JSON: version, role, settings and metrics. */
void mb_daemon_dump(const mb_daemon_t *daemon, mb_buf_t *out);

#endif
