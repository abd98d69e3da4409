/* magnoliabarrow: the operators' command-line client of the API. */
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client.h"
#include "mb_cleanup.h"
#include "mb_resource_json.h"
#include "mb_settings.h"
#include "options.h"
#include "table.h"

#define VERSION "0.1.0"
#define DEFAULT_SERVER "127.0.0.1:7000"
/* Maximum number of words on the command line: the command and its
   arguments. */
#define WORDS_MAX 3
/* Maximum size of a file of resources, in bytes. */
#define FILE_MAX (64u * 1024u * 1024u)

/* The parsed command line. Texts are owned by argtable, or NULL if the option
   is not given. */
typedef struct request {
    client_t client;
    const char *words[WORDS_MAX];
    int word_count;
    const char *file;
    const char *output;
    const char *revision; /* delete: the expected one; watch: the first one */
    bool verbose;
    bool quiet;
} request_t;

/* A command. `run` returns false with the error set. */
typedef struct command {
    const char *name;
    int min_words; /* including the command itself */
    int max_words;
    const char *usage;
    bool (*run)(request_t *request, GError **error);
} command_t;

/* Returns a word of the command line, or "" if there are fewer. Word 0 is the
   command. */
static const char *
get_word(const request_t *request, int index)
{
    return index < request->word_count ? request->words[index] : "";
}

/* Prints a confirmation, unless the option --quiet is given. */
static void
print_confirmation(const request_t *request, const char *text)
{
    if (!request->quiet) {
        (void)printf("%s\n", text);
    }
}

/* Calls the API without a body and prints the body of the response. */
static bool
call_and_print(request_t *request, const char *method, const char *path,
               GError **error)
{
    response_t response;
    bool ok = client_call(&request->client, method, mb_str_from_cstr(path),
                          MB_STR_EMPTY, &response, error);
    if (ok) {
        (void)fwrite(response.body.data, 1, response.body.len, stdout);
    }
    response_finish(&response);
    return ok;
}

/* Reads a file of resources to *content, which the caller frees. `path` is
   NULL if the command line names no file. */
static bool
read_file(const char *path, char **content, gsize *len, GError **error)
{
    g_autoptr(GError) cause = NULL;
    if (path == NULL) {
        mb_error_set(error, MB_KIND_INVALID, "apply needs -f FILE");
        return false;
    }
    if (!g_file_get_contents(path, content, len, &cause)) {
        mb_error_set(error, MB_KIND_IO, "%s", cause->message);
        return false;
    }
    if (*len > FILE_MAX) {
        mb_error_set(error, MB_KIND_TOO_LARGE, "%s: more than %u bytes", path,
                     FILE_MAX);
        return false;
    }
    return true;
}

/* Context of a pass over the resources of a file. */
typedef struct apply_pass {
    request_t *request;
    GError **error;
    bool write; /* write the resources; otherwise only check them */
    unsigned resource_count; /* visited so far */
} apply_pass_t;

/* Counts a resource and, in a pass that writes, sends it to the API. If the
   file gives a revision, the write succeeds only if it is the current one. */
static bool
apply_resource(void *context, mb_resource_t *resource)
{
    apply_pass_t *pass = context;
    MB_AUTO_BUF mb_buf_t path = {0};
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_str_t kind = mb_resource_kind_name(resource->kind);
    response_t response;
    pass->resource_count++;
    if (!pass->write) {
        return true;
    }
    mb_buf_printf(&path, "/v1/%.*s/%.*s", MB_STR_ARG(kind),
                  MB_STR_ARG(mb_buf_view(&resource->name)));
    mb_str_t shown = {path.data + strlen("/v1/"), path.len - strlen("/v1/")};
    if (resource->revision > 0) {
        mb_buf_printf(&path, "?revision=%" G_GUINT64_FORMAT,
                      resource->revision);
        shown.data = path.data + strlen("/v1/"); /* the buffer may move */
    }
    mb_resource_json_encode(&body, resource);
    bool ok = client_call(&pass->request->client, "PUT", mb_buf_view(&path),
                          mb_buf_view(&body), &response, pass->error);
    if (ok && !pass->request->quiet) {
        (void)printf("%.*s applied revision=%" G_GUINT64_FORMAT "\n",
                     MB_STR_ARG(shown), response.revision);
    }
    if (!ok) {
        g_prefix_error(pass->error, "%.*s: ", MB_STR_ARG(shown));
    }
    response_finish(&response);
    return ok;
}

/* apply -f FILE: writes the resources of a file one by one. All are checked
   before the first is written, so that an invalid file changes nothing. */
static bool
run_apply(request_t *request, GError **error)
{
    g_autofree char *content = NULL;
    gsize len = 0;
    if (!read_file(request->file, &content, &len, error)) {
        return false;
    }
    apply_pass_t pass = {request, error, false, 0};
    mb_str_t text = {content, len};
    if (!mb_resource_json_decode_all(text, apply_resource, &pass, error)) {
        return false;
    }
    if (pass.resource_count == 0) {
        mb_error_set(error, MB_KIND_INVALID, "%s: no resources",
                     request->file);
        return false;
    }
    pass.write = true;
    return mb_resource_json_decode_all(text, apply_resource, &pass, error);
}

/* get KIND [NAME]: prints resources as a table or, with -o json, the response
   unchanged. */
static bool
run_get(request_t *request, GError **error)
{
    g_autofree char *path = g_strdup_printf("/v1/%s%s%s", get_word(request, 1),
                                            request->word_count > 2 ? "/" : "",
                                            get_word(request, 2));
    response_t response;
    if (strcmp(request->output, "json") == 0) {
        return call_and_print(request, "GET", path, error);
    }
    bool ok = client_call(&request->client, "GET", mb_str_from_cstr(path),
                          MB_STR_EMPTY, &response, error);
    if (ok && !table_print(mb_buf_view(&response.body))) {
        mb_error_set(error, MB_KIND_PROTOCOL,
                     "the response is not a JSON object");
        ok = false;
    }
    response_finish(&response);
    return ok;
}

/* watch [KIND]: prints a line for each change, from --revision or 1 on, until
   interrupted or a call fails. Each call returns the changes from a revision
   on; the server delays the response while there are none. */
static bool
run_watch(request_t *request, GError **error)
{
    uint64_t from = 1;
    bool ok = request->revision == NULL ||
              mb_str_to_u64(mb_str_from_cstr(request->revision), &from);
    if (!ok) {
        mb_error_set(error, MB_KIND_INVALID,
                     "--revision: must be a whole number");
    }
    while (ok) {
        response_t response;
        g_autofree char *path = g_strdup_printf(
            "/v1/watch?from=%" G_GUINT64_FORMAT "%s%s", from,
            request->word_count > 1 ? "&kind=" : "", get_word(request, 1));
        ok = client_call(&request->client, "GET", mb_str_from_cstr(path),
                         MB_STR_EMPTY, &response, error);
        if (ok) {
            (void)fwrite(response.body.data, 1, response.body.len, stdout);
            (void)fflush(stdout);
            from = MAX(from, response.revision + 1);
        }
        response_finish(&response);
    }
    return ok;
}

/* delete KIND NAME: with --revision, only if that is the current one. */
static bool
run_delete(request_t *request, GError **error)
{
    response_t response;
    g_autofree char *path = g_strdup_printf(
        "/v1/%s/%s%s%s", get_word(request, 1), get_word(request, 2),
        request->revision != NULL ? "?revision=" : "",
        request->revision != NULL ? request->revision : "");
    bool ok = client_call(&request->client, "DELETE", mb_str_from_cstr(path),
                          MB_STR_EMPTY, &response, error);
    if (ok) {
        print_confirmation(request, "deleted");
    }
    response_finish(&response);
    return ok;
}

/* cancel JOB: cancels a job. */
static bool
run_cancel(request_t *request, GError **error)
{
    response_t response;
    g_autofree char *path =
        g_strdup_printf("/v1/job/%s/cancel", get_word(request, 1));
    bool ok = client_call(&request->client, "POST", mb_str_from_cstr(path),
                          MB_STR_EMPTY, &response, error);
    if (ok) {
        print_confirmation(request, "cancelled");
    }
    response_finish(&response);
    return ok;
}

/* explain JOB: prints why a job waits, as JSON. */
static bool
run_explain(request_t *request, GError **error)
{
    g_autofree char *path =
        g_strdup_printf("/v1/explain/%s", get_word(request, 1));
    return call_and_print(request, "GET", path, error);
}

/* dump: prints the state of the server, as JSON. */
static bool
run_dump(request_t *request, GError **error)
{
    return call_and_print(request, "GET", "/v1/dump", error);
}

/* metrics: prints the metrics of the server. */
static bool
run_metrics(request_t *request, GError **error)
{
    return call_and_print(request, "GET", "/metrics", error);
}

/* evacuations: prints the evacuated failure domains, when the server learned
   of each request, and what still runs there. The server is the metrics
   address of a scheduler; only the owner of the fleet knows what runs. */
static bool
run_evacuations(request_t *request, GError **error)
{
    response_t response;
    if (strcmp(request->output, "json") == 0) {
        return call_and_print(request, "GET", "/evacuations", error);
    }
    bool ok = client_call(&request->client, "GET", MB_STR_LIT("/evacuations"),
                          MB_STR_EMPTY, &response, error);
    if (ok && !table_print_evacuations(mb_buf_view(&response.body))) {
        mb_error_set(error, MB_KIND_PROTOCOL,
                     "the response is not a list of evacuations");
        ok = false;
    }
    response_finish(&response);
    return ok;
}

/* where QUERY: prints where a job would be placed now, and why, as JSON. The
   query names the job or describes a task of one that has not been submitted.
   The server is the metrics address of a scheduler; only the owner of the
   fleet can tell. */
static bool
run_where(request_t *request, GError **error)
{
    g_autofree char *path = g_strdup_printf("/where?%s", get_word(request, 1));
    return call_and_print(request, "GET", path, error);
}

/* check-config FILE: checks a file of resources (.json) or else a settings
   file of magnoliabarrowd, without a server. */
static bool
run_check_config(request_t *request, GError **error)
{
    const char *path = get_word(request, 1);
    if (g_str_has_suffix(path, ".json")) {
        g_autofree char *content = NULL;
        gsize len = 0;
        apply_pass_t pass = {request, error, false, 0};
        if (!read_file(path, &content, &len, error) ||
            !mb_resource_json_decode_all((mb_str_t){content, len},
                                         apply_resource, &pass, error)) {
            return false;
        }
    }
    else {
        mb_settings_t settings;
        if (!mb_settings_init(&settings, daemon_options, daemon_option_count,
                              path, error)) {
            return false;
        }
        mb_settings_finish(&settings);
    }
    print_confirmation(request, "valid");
    return true;
}

static const command_t commands[] = {
    {"apply", 1, 1, "apply -f FILE          write resources (JSON)",
     run_apply},
    {"get", 2, 3, "get KIND [NAME]        show resources (-o table|json)",
     run_get},
    {"watch", 1, 2, "watch [KIND]           follow changes", run_watch},
    {"delete", 3, 3, "delete KIND NAME       remove a resource", run_delete},
    {"cancel", 2, 2, "cancel JOB             cancel a job", run_cancel},
    {"explain", 2, 2, "explain JOB            show why a job waits",
     run_explain},
    {"dump", 1, 1, "dump                   show the state of the server",
     run_dump},
    {"metrics", 1, 1, "metrics                show the metrics of the server",
     run_metrics},
    {"evacuations", 1, 1,
     "evacuations            show evacuated failure domains (metrics address)",
     run_evacuations},
    {"where", 2, 2,
     "where QUERY            show where a job would run (metrics address)",
     run_where},
    {"check-config", 2, 2, "check-config FILE      check a file offline",
     run_check_config},
};

/* Prints the usage, the commands, the options and the exit codes. */
static void
print_help(void **table)
{
    (void)printf("Usage: magnoliabarrow");
    arg_print_syntax(stdout, table, "\n\nCommands:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        (void)printf("  %s\n", commands[i].usage);
    }
    (void)printf("\nOptions:\n");
    arg_print_glossary(stdout, table, "  %-24s %s\n");
    (void)printf("\nExit codes: 0 success");
    for (int i = 0; i < MB_KIND_COUNT; i++) {
        const mb_kind_info_t *info = mb_kind_info((mb_kind_t)i);
        (void)printf(", %d %.*s", info->exit_code, MB_STR_ARG(info->name));
    }
    (void)printf("\n");
}

/* Finds the command and runs it. */
static bool
run_command(request_t *request, GError **error)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        const command_t *command = &commands[i];
        if (strcmp(command->name, get_word(request, 0)) != 0) {
            continue;
        }
        if (request->word_count < command->min_words ||
            request->word_count > command->max_words) {
            mb_error_set(error, MB_KIND_INVALID, "usage: %s", command->usage);
            return false;
        }
        return command->run(request, error);
    }
    mb_error_set(error, MB_KIND_INVALID, "unknown command \"%s\", see -h",
                 get_word(request, 0));
    return false;
}

/* Runs the command. Prints an error to standard error and returns the exit
   code of its kind (mb_kind_info). */
static int
run(request_t *request, const char *server, const char *token_file)
{
    g_autoptr(GError) error = NULL;
    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    bool ok = client_init(&request->client, server, token_file, &error) &&
              run_command(request, &error);
    client_finish(&request->client);
    curl_global_cleanup();
    if (ok) {
        return EXIT_SUCCESS;
    }
    (void)fprintf(stderr, "magnoliabarrow: %s\n", error->message);
    if (request->verbose) {
        (void)fprintf(stderr, "magnoliabarrow: server=%s command=%s\n", server,
                      get_word(request, 0));
    }
    return mb_kind_info(mb_error_kind(error))->exit_code;
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_lit *version = arg_lit0("V", "version", "show the version");
    struct arg_lit *verbose =
        arg_lit0("v", "verbose", "print details of errors");
    struct arg_lit *quiet = arg_lit0("q", "quiet", "print results only");
    struct arg_str *server = arg_str0("s", "server", "IPv4:port",
                                      "API address, default " DEFAULT_SERVER);
    struct arg_file *token =
        arg_file0("t", "token-file", "FILE", "file with the bearer token");
    struct arg_file *file =
        arg_file0("f", "file", "FILE", "resources to apply");
    struct arg_str *output = arg_str0("o", "output", "table|json",
                                      "output format of get, evacuations");
    struct arg_str *revision =
        arg_str0("r", "revision", "N",
                 "delete: expected revision; watch: first revision");
    struct arg_str *words =
        arg_strn(NULL, NULL, "COMMAND", 0, WORDS_MAX, NULL);
    struct arg_end *end = arg_end(8);
    void *table[] = {help, version, verbose,  quiet, server, token,
                     file, output,  revision, words, end};
    int errors = arg_parse(argc, argv, table);
    int code = EXIT_SUCCESS;
    if (help->count > 0) {
        print_help(table);
    }
    else if (version->count > 0) {
        (void)printf("magnoliabarrow %s\n", VERSION);
    }
    else if (errors > 0 || words->count == 0) {
        arg_print_errors(stderr, end, "magnoliabarrow");
        (void)fprintf(stderr,
                      "magnoliabarrow: a command and valid options are "
                      "required; see -h\n");
        code = mb_kind_info(MB_KIND_INVALID)->exit_code;
    }
    else {
        request_t request = {
            .word_count = words->count,
            .file = file->count > 0 ? file->filename[0] : NULL,
            .output = output->count > 0 ? output->sval[0] : "table",
            .revision = revision->count > 0 ? revision->sval[0] : NULL,
            .verbose = verbose->count > 0,
            .quiet = quiet->count > 0,
        };
        memcpy(request.words, words->sval,
               (size_t)words->count * sizeof(request.words[0]));
        code =
            run(&request, server->count > 0 ? server->sval[0] : DEFAULT_SERVER,
                token->count > 0 ? token->filename[0] : NULL);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
