/* Public interface of magnoliabarrow, a scheduler for latency-critical and
   batch work on the same workers. A daemon is a process that serves one role
   of the scheduler; which one, and how, is set in a settings file. A program
   initializes a daemon from the file, runs it until a signal stops it, and
   releases it:

       static mb_daemon_t daemon;
       GError *error = NULL;
       if (!mb_daemon_init(&daemon, path, &error) ||
           !mb_daemon_run(&daemon, &error)) {
           return report_and_get_exit_code(error);
       }
       mb_daemon_finish(&daemon);

   A function that can fail returns false and sets *error to a GError of the
   domain MB_ERROR, which the caller frees with g_error_free. `error` may be
   NULL if the error is of no interest, otherwise *error must be NULL before
   the call. The code of the error is an mb_kind_t; mb_kind_info in mb_error.h
   gives the exit code that belongs to it. If memory is exhausted, the process
   aborts.

   All functions must be called on the same thread. The daemon starts further
   threads itself. */
#ifndef MAGNOLIABARROW_H
#define MAGNOLIABARROW_H

#include "mb_counter.h"
#include "mb_epoch.h"
#include "mb_error.h"
#include "mb_log_writer.h"
#include "mb_settings.h"

#define MB_VERSION "0.1.0"

typedef struct mb_daemon mb_daemon_t;

/* The implementation of a role. Its state while it runs is a node, whose type
   is private to the implementation. */
typedef struct mb_daemon_role {
    const char *name; /* as in the option "role" of the settings */
    /* Checks what the table of options can't express, such as options that
       depend on one another. */
    bool (*check)(const mb_settings_t *settings, GError **error);
    /* Starts a node with its threads. Returns it, or NULL with an error; the
       process then ends, as threads of a partial start may still run. The
       daemon owns the node until it calls `finish`. */
    void *(*start)(mb_daemon_t *daemon, GError **error);
    /* Accepts no new work and returns when the work in progress has ended. */
    void (*drain)(void *node);
    /* Stops the threads and frees the node. */
    void (*finish)(void *node);
    /* Appends the state of the node to `out` as one line of JSON. Returns
       false and appends nothing if the node has no state beyond the settings
       and metrics of the daemon. */
    bool (*dump)(void *node, mb_buf_t *out);
} mb_daemon_role_t;

/* A daemon. The caller provides the memory, which must stay in place from
   mb_daemon_init until mb_daemon_finish, or until the process ends. The
   members are used by the roles and are not to be changed by the caller. */
struct mb_daemon {
    mb_buf_t path;          /* of the settings file */
    mb_settings_t settings; /* in force */
    mb_log_t log;
    mb_counters_t counters; /* the metrics */
    mb_epoch_t epoch;       /* reclamation domain of all versioned tables */
    uint64_t process;       /* id: hash of the daemon's name in the settings */
    uint64_t incarnation;   /* random; differs after each restart */
    const mb_daemon_role_t *role;
    void *node; /* NULL unless started */
    /* Less severe lines (mb_severity_t) are not logged. Atomic, as every
       thread reads it. */
    uint64_t most_verbose;
    bool verbosity_fixed;       /* by mb_daemon_set_verbosity */
    mb_log_writer_t log_writer; /* running while `writes_log` is not 0 */
    uint64_t writes_log;        /* atomic; 0: the log goes to standard error */
};

/* Initializes a daemon from the settings file at `path`, which is copied.
   Starts no thread. Fails with MB_KIND_CONFIG if the file can't be read or is
   invalid; the message names the file and, where it applies, the line, the key
   and the allowed values. After a failure there is nothing to release. */
bool mb_daemon_init(mb_daemon_t *daemon, const char *path, GError **error);

/* Releases a daemon that was never started or is drained: stops its threads,
   writes the rest of the log and frees what the daemon owns. */
void mb_daemon_finish(mb_daemon_t *daemon);

/* Sets the severity of the least severe lines that are logged, for instance
   from the command line. It overrides the option "log_level" of the settings,
   also after a reload. */
void mb_daemon_set_verbosity(mb_daemon_t *daemon, mb_severity_t severity);

/* Starts the daemon, handles signals until SIGTERM or SIGINT arrives, and
   drains the daemon. SIGHUP reloads the settings. SIGUSR1 writes the state, as
   of mb_daemon_dump, to standard output, to which the log is written as well.
   These signals stay blocked and SIGPIPE ignored after the call. Fails if the
   log writer or the role can't be started. Threads of a partial start may then
   still use the daemon, which must not be released: the caller reports the
   error and ends the process. */
bool mb_daemon_run(mb_daemon_t *daemon, GError **error);

/* The parts of mb_daemon_run, for a caller that has its own main loop and
   handles signals itself; the log goes to standard error. */

/* Starts the threads of the role and returns. After a failure the caller must
   end the process, as for mb_daemon_run. */
bool mb_daemon_start(mb_daemon_t *daemon, GError **error);
/* Stops accepting new work and returns when the work in progress has ended.
   Does nothing if the daemon is not started. */
void mb_daemon_drain(mb_daemon_t *daemon);

/* Reads the settings file again and applies changes of reloadable options. A
   change of any other option is logged as a warning and needs a restart to
   take effect. Fails with MB_KIND_CONFIG, and changes nothing, if the file
   can't be read or is invalid. */
bool mb_daemon_reload(mb_daemon_t *daemon, GError **error);

/* Appends the state of the daemon to `out` as one line of JSON: the state of
   the node if it has any, otherwise version, role, settings and metrics. */
void mb_daemon_dump(const mb_daemon_t *daemon, mb_buf_t *out);

#endif
