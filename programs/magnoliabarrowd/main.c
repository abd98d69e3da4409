/* magnoliabarrowd: runs one daemon, whose role is set in its settings file. */
#include <argtable2.h>
#include <curl/curl.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "magnoliabarrow.h"

/* Size of a block from which on the allocator maps it separately and unmaps it
   when it is freed, in bytes, so that bodies of requests leave no gaps between
   smaller blocks. If the threshold is not set, glibc raises it up to 32 MB
   when large blocks are freed. */
#define MMAP_THRESHOLD_BYTES (64 * 1024)

/* The options of the command line. */
typedef struct command_line {
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_lit *check;
    struct arg_lit *verbose;
    struct arg_lit *quiet;
    struct arg_file *settings;
    struct arg_str *variable; /* environment variable with the file's path */
} command_line_t;

/* Returns the path of the settings file, or NULL if neither the option
   --config nor the environment variable of --config-env gives it. */
static const char *
settings_path(const command_line_t *line)
{
    if (line->settings->count > 0) {
        return line->settings->filename[0];
    }
    return line->variable->count > 0 ? getenv(line->variable->sval[0]) : NULL;
}

/* Prints an error to standard error and returns its exit code. */
static int
report(const GError *error)
{
    (void)fprintf(stderr, "magnoliabarrowd: %s\n", error->message);
    return mb_kind_info(mb_error_kind(error))->exit_code;
}

/* Reads the settings and, unless --check is given, runs the daemon until a
   signal stops it. Returns the exit code. */
static int
run(const command_line_t *line)
{
    static mb_daemon_t daemon;
    g_autoptr(GError) error = NULL;
    if (!mb_daemon_init(&daemon, settings_path(line), &error)) {
        return report(error);
    }
    if (line->verbose->count > 0) {
        mb_daemon_set_verbosity(&daemon, MB_SEVERITY_DEBUG);
    }
    else if (line->quiet->count > 0) {
        mb_daemon_set_verbosity(&daemon, MB_SEVERITY_ERROR);
    }
    /* After a failed start the daemon is not released: threads that were
       started may still use what mb_daemon_finish frees. */
    if (line->check->count == 0 && !mb_daemon_run(&daemon, &error)) {
        return report(error);
    }
    mb_daemon_finish(&daemon);
    return EXIT_SUCCESS;
}

/* Prints the usage and the options. */
static void
print_help(void **table)
{
    (void)printf("Usage: magnoliabarrowd");
    arg_print_syntax(stdout, table, "\n");
    arg_print_glossary(stdout, table, "  %-24s %s\n");
}

int
main(int argc, char **argv)
{
    command_line_t line = {
        arg_lit0("h", "help", "show this help"),
        arg_lit0("V", "version", "show the version"),
        arg_lit0(NULL, "check", "check the settings and exit"),
        arg_lit0("v", "verbose", "log debug lines too"),
        arg_lit0("q", "quiet", "log errors only"),
        arg_file0("c", "config", "FILE", "settings file (INI)"),
        arg_str0("e", "config-env", "VARIABLE",
                 "environment variable with the path of the settings file"),
    };
    struct arg_end *end = arg_end(8);
    void *table[] = {line.help,  line.version,  line.check,    line.verbose,
                     line.quiet, line.settings, line.variable, end};
    int errors = arg_parse(argc, argv, table);
    int code = EXIT_SUCCESS;
    if (line.help->count > 0) {
        print_help(table);
    }
    else if (line.version->count > 0) {
        (void)printf("magnoliabarrowd %s\n", MB_VERSION);
    }
    else if (errors > 0 || settings_path(&line) == NULL) {
        arg_print_errors(stderr, end, "magnoliabarrowd");
        (void)fprintf(
            stderr,
            "magnoliabarrowd: a settings file is required: --config FILE, "
            "or --config-env VARIABLE with its path; see -h\n");
        code = mb_kind_info(MB_KIND_INVALID)->exit_code;
    }
    else {
        (void)mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
        (void)curl_global_init(CURL_GLOBAL_DEFAULT);
        code = run(&line);
        curl_global_cleanup();
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
