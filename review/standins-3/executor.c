/* review-executor: takes the place of an executor of the operators' platform.
   It follows PROTOCOL.md ("Running tasks", "Service discovery"): fencing
   tokens, leases on its own clock, ends that are listed until they are
   acknowledged, heartbeats, and a planned end. Prints one line for each event,
   with the time of CLOCK_BOOTTIME in milliseconds, which all processes of a
   test share.

   review-executor ADDRESS CONTROL NAME ZONE RACK [OPTION=VALUE...]

   A task runs for the time that its payload names ("ms=400"), or until it is
   stopped ("ms=0"), on as many thousandths of a core as that names
   ("cpu=3200"). What doesn't fit is refused. SIGUSR1 begins the planned end:
   it reports `draining`, serves for drain_ms and extra_ms after the
   acknowledgement, deregisters, and ends; without an acknowledgement it ends
   leave_ms later.

   Options: beat_ms, drain_ms, extra_ms, leave_ms, ack_ms (time for which it
   waits for an answer to a heartbeat or to the deregistration), hold_max_ms,
   startup_ms (a lasting task is at work after this time), kind (its first
   label), save_ms and save_bytes (a run saves a checkpoint of so many bytes
   each time; 0: none). */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "mb_clock.h"
#include "mb_http_server.h"
#include "mb_settings.h"
#include "mb_uri.h"

#define POLL_US 2000
#define ENDS_LISTED_MAX 500u
#define CAPACITY_CPU 16000u /* thousandths of a core */
/* The clock of a new life starts at this value. */
#define CLOCK_START_MS 1000u

/* A run in progress. */
typedef struct run {
    char *task;
    uint64_t number;
    uint64_t started_ms;
    uint64_t duration_ms; /* 0: it lasts */
    uint64_t cpu;         /* thousandths of a core */
} run_t;

/* The end of a run that is not acknowledged yet. */
typedef struct end {
    uint64_t number; /* counts the ends, from 1 */
    char *task;
    uint64_t run;
    const char *how;
} end_t;

/* A list call that waits for an end. */
typedef struct waiting_list {
    mb_http_exchange_t *exchange;
    uint64_t until_ms;
} waiting_list_t;

/* Options, set before the server starts. */
static uint64_t beat_ms = 1500;
static uint64_t drain_ms = 2000;
static uint64_t extra_ms = 500;
static uint64_t leave_ms = 4000;
static uint64_t ack_ms = 1000;
static uint64_t hold_max_ms = 10000;
static uint64_t startup_ms = 400;
static uint64_t save_ms = 1000;
static uint64_t save_bytes; /* 0: tasks save no checkpoints */
static const struct {
    const char *name;
    uint64_t *value;
} options[] = {{"beat_ms", &beat_ms},       {"drain_ms", &drain_ms},
               {"extra_ms", &extra_ms},     {"leave_ms", &leave_ms},
               {"ack_ms", &ack_ms},         {"hold_max_ms", &hold_max_ms},
               {"startup_ms", &startup_ms}, {"save_ms", &save_ms},
               {"save_bytes", &save_bytes}};
static const char *name;
static const char *kind = "a"; /* first label */
static uint64_t born_ms;
static uint64_t start_time_ms;

static GMutex lock; /* guards the following */
static GPtrArray *runs;
static GPtrArray *ends;
static GPtrArray *waiting;        /* waiting_list_t */
static GHashTable *highest_ended; /* task -> number of a run, as a pointer */
static uint64_t lease_end_ms;     /* by the executor's clock */
static uint64_t highest_token;
static uint64_t last_end;

static volatile sig_atomic_t leaving;

/* Returns the time that all processes share. */
static uint64_t
now_ms(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_ms(&clock);
}

/* Returns the executor's own clock, which starts anew with each life. */
static uint64_t
own_clock_ms(void)
{
    return now_ms() - start_time_ms + CLOCK_START_MS;
}

/* Prints an event of a run. */
static void
print_run(const char *what, const char *task, uint64_t number)
{
    (void)printf("%llu %s %s task=%s run=%llu\n", (unsigned long long)now_ms(),
                 name, what, task, (unsigned long long)number);
    (void)fflush(stdout);
}

/* Prints another event. */
static void
print_event(const char *what)
{
    (void)printf("%llu %s %s\n", (unsigned long long)now_ms(), name, what);
    (void)fflush(stdout);
}

/* Ends the run at an index: its end is listed until it is acknowledged. */
static void
end_run(guint index, const char *how)
{
    run_t *run = g_ptr_array_index(runs, index);
    end_t *end = g_new0(end_t, 1);
    *end = (end_t){++last_end, run->task, run->number, how};
    print_run(how, run->task, run->number);
    g_ptr_array_add(ends, end);
    (void)g_hash_table_replace(highest_ended, g_strdup(run->task),
                               GSIZE_TO_POINTER((gsize)run->number));
    (void)g_ptr_array_remove_index(runs, index);
    g_free(run);
}

/* Ends the runs whose time is over, or all if the lease has expired. */
static void
end_due_runs(void)
{
    uint64_t now = now_ms();
    bool lapsed = own_clock_ms() >= lease_end_ms;
    for (guint i = 0; i < runs->len;) {
        const run_t *run = g_ptr_array_index(runs, i);
        if (run->duration_ms > 0 &&
            now >= run->started_ms + run->duration_ms) {
            end_run(i, "done");
        }
        else if (lapsed) {
            end_run(i, "lapsed");
        }
        else {
            i++;
        }
    }
}

/* Responds with a JSON object and the clock, and releases the object. */
static void
respond(mb_http_exchange_t *exchange, uint32_t status, json_t *body)
{
    (void)json_object_set_new(body, "clock_ms",
                              json_integer((json_int_t)own_clock_ms()));
    char *text = json_dumps(body, JSON_COMPACT);
    mb_http_respond(exchange, status, NULL, mb_str_from_cstr(text));
    free(text);
    json_decref(body);
}

/* Refuses a call for a reason of the platform. */
static void
refuse(mb_http_exchange_t *exchange, const char *reason)
{
    respond(exchange, 409, json_pack("{s:s}", "reason", reason));
}

/* Returns the index of a run in progress; the number of runs if there is none
   such. */
static guint
find_run(const char *task, uint64_t number)
{
    guint i = 0;
    while (i < runs->len) {
        const run_t *run = g_ptr_array_index(runs, i);
        if (run->number == number && strcmp(run->task, task) == 0) {
            break;
        }
        i++;
    }
    return i;
}

/* Extends the lease, which is limited and never shortened. */
static void
extend_lease(uint64_t expires)
{
    lease_end_ms =
        MAX(lease_end_ms, MIN(expires, own_clock_ms() + hold_max_ms));
}

/* Returns a whole number of a call; 0 if it is missing. */
static uint64_t
get_number(const json_t *body, const char *key)
{
    return (uint64_t)json_integer_value(json_object_get(body, key));
}

/* Returns a whole number of a payload; 0 if it isn't named. */
static uint64_t
get_option(const char *spec, const char *key)
{
    const char *found = strstr(spec, key);
    return found == NULL ? 0 : strtoull(found + strlen(key), NULL, 10);
}

/* Returns the processors in use, in thousandths of a core. */
static uint64_t
get_cpu_in_use(void)
{
    uint64_t cpu = 0;
    for (guint i = 0; i < runs->len; i++) {
        const run_t *run = g_ptr_array_index(runs, i);
        cpu += run->cpu;
    }
    return cpu;
}

/* Handles run-start. */
static void
handle_start(mb_http_exchange_t *exchange, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    const char *spec = json_string_value(json_object_get(body, "spec"));
    uint64_t number = get_number(body, "run_id");
    uint64_t expires = get_number(body, "expires_ms");
    if (task == NULL || spec == NULL || number == 0) {
        respond(exchange, 400, json_object());
        return;
    }
    if (find_run(task, number) < runs->len) {
        respond(exchange, 200, json_object());
        return;
    }
    if (expires <= own_clock_ms()) {
        refuse(exchange, "late");
        return;
    }
    extend_lease(expires);
    if (number <= GPOINTER_TO_SIZE(g_hash_table_lookup(highest_ended, task))) {
        refuse(exchange, "old");
        return;
    }
    uint64_t cpu = get_option(spec, "cpu=");
    if (get_cpu_in_use() + cpu > CAPACITY_CPU) {
        refuse(exchange, "room");
        return;
    }
    run_t *run = g_new0(run_t, 1);
    *run = (run_t){g_strdup(task), number, now_ms(), get_option(spec, "ms="),
                   cpu};
    g_ptr_array_add(runs, run);
    print_run("start", task, number);
    respond(exchange, 200, json_object());
}

/* Handles run-stop. A run that is not there is refused from now on. */
static void
handle_stop(mb_http_exchange_t *exchange, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    uint64_t number = get_number(body, "run_id");
    if (task == NULL) {
        respond(exchange, 400, json_object());
        return;
    }
    guint index = find_run(task, number);
    print_run("stop_call", task, number);
    if (index < runs->len) {
        end_run(index, "stopped");
    }
    else if (number >
             GPOINTER_TO_SIZE(g_hash_table_lookup(highest_ended, task))) {
        (void)g_hash_table_replace(highest_ended, g_strdup(task),
                                   GSIZE_TO_POINTER((gsize)number));
    }
    respond(exchange, 200, json_object());
}

/* Returns the progress of a run in percent. */
static int
get_progress(const run_t *run)
{
    uint64_t age_ms = now_ms() - run->started_ms;
    uint64_t total_ms = run->duration_ms > 0 ? run->duration_ms : startup_ms;
    return age_ms >= total_ms ? 100 : (int)(100 * age_ms / total_ms);
}

/* Returns the checkpoint that a run has saved last; empty if there is none.
   The caller frees it. */
static char *
get_checkpoint(const run_t *run)
{
    uint64_t saves = (now_ms() - run->started_ms) / save_ms;
    if (save_bytes == 0 || saves == 0) {
        return g_strdup("");
    }
    GString *text = g_string_new(NULL);
    g_string_printf(text, "%08x%08llx", g_str_hash(run->task),
                    (unsigned long long)(run->number * 1000 + saves));
    while (text->len < save_bytes) {
        (void)g_string_append_c(text, "0123456789abcdef"[text->len % 16]);
    }
    return g_string_free(text, FALSE);
}

/* Answers a list call. */
static void
answer_list(mb_http_exchange_t *exchange)
{
    json_t *active = json_array();
    json_t *finished = json_array();
    for (guint i = 0; i < runs->len; i++) {
        const run_t *run = g_ptr_array_index(runs, i);
        g_autofree char *saved = get_checkpoint(run);
        (void)json_array_append_new(active,
                                    json_pack("[s,I,s,i,i]", run->task,
                                              (json_int_t)run->number, saved,
                                              get_progress(run), 100));
    }
    for (guint i = 0; i < MIN(ends->len, ENDS_LISTED_MAX); i++) {
        const end_t *end = g_ptr_array_index(ends, i);
        (void)json_array_append_new(
            finished,
            json_pack("[I,s,I,s,s]", (json_int_t)end->number, end->task,
                      (json_int_t)end->run, end->how, ""));
    }
    respond(exchange, 200,
            json_pack("{s:o,s:o,s:I}", "active", active, "finished", finished,
                      "born", (json_int_t)born_ms));
}

/* Handles hold. */
static void
handle_hold(mb_http_exchange_t *exchange, const json_t *body)
{
    uint64_t cursor = get_number(body, "ack_cursor");
    uint64_t wait_ms = MIN(get_number(body, "wait_ms"), 2000);
    extend_lease(get_number(body, "expires_ms"));
    while (ends->len > 0) {
        end_t *end = g_ptr_array_index(ends, 0);
        if (end->number > cursor) {
            break;
        }
        print_run("acked", end->task, end->run);
        g_free(end->task);
        g_free(end);
        (void)g_ptr_array_remove_index(ends, 0);
    }
    if (ends->len > 0 || wait_ms == 0) {
        answer_list(exchange);
        return;
    }
    waiting_list_t *list = g_new0(waiting_list_t, 1);
    *list = (waiting_list_t){exchange, now_ms() + wait_ms};
    g_ptr_array_add(waiting, list);
}

/* Answers the list calls that have an end to tell or have waited. */
static void
answer_waiting(void)
{
    for (guint i = 0; i < waiting->len;) {
        waiting_list_t *list = g_ptr_array_index(waiting, i);
        if (ends->len == 0 && now_ms() < list->until_ms) {
            i++;
            continue;
        }
        answer_list(list->exchange);
        g_free(list);
        (void)g_ptr_array_remove_index(waiting, i);
    }
}

/* Handles a call of the agent. */
static void
handle(void *context, mb_http_exchange_t *exchange)
{
    mb_str_t path = mb_uri_path(mb_http_uri(exchange));
    mb_str_t text = mb_http_body(exchange);
    mb_str_t meant = mb_http_header(
        exchange, MB_STR_LIT("Magnoliabarrow-Expected-Instance"));
    json_t *body = json_loadb(text.data, text.len, 0, NULL);
    uint64_t token = get_number(body, "fencing_token");
    (void)context;
    g_mutex_lock(&lock);
    end_due_runs();
    if (meant.len > 0 && !mb_str_equal(meant, mb_str_from_cstr(name))) {
        respond(exchange, 421, json_object());
    }
    else if (token < highest_token) {
        refuse(exchange, "fence");
    }
    else {
        highest_token = token;
        if (mb_str_equal(path, MB_STR_LIT("/api/run-start"))) {
            handle_start(exchange, body);
        }
        else if (mb_str_equal(path, MB_STR_LIT("/api/run-stop"))) {
            handle_stop(exchange, body);
        }
        else if (mb_str_equal(path, MB_STR_LIT("/api/hold"))) {
            handle_hold(exchange, body);
        }
        else {
            respond(exchange, 200, json_object());
        }
    }
    answer_waiting();
    g_mutex_unlock(&lock);
    json_decref(body);
}

/* Drops the body of a response. */
static size_t
drop_body(char *data, size_t size, size_t count, void *context)
{
    (void)data;
    (void)context;
    return size * count;
}

/* Posts to the agent. Returns whether it has acknowledged in time. */
static bool
post(const char *url, const char *body)
{
    long status = 0;
    CURL *easy = curl_easy_init();
    (void)curl_easy_setopt(easy, CURLOPT_URL, url);
    (void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
    (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    (void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)ack_ms);
    (void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, drop_body);
    bool ok =
        curl_easy_perform(easy) == CURLE_OK &&
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status) == CURLE_OK &&
        status / 100 == 2;
    curl_easy_cleanup(easy);
    return ok;
}

/* Sends a heartbeat. */
static bool
send_heartbeat(char **argv, bool draining)
{
    static uint64_t sequence;
    g_autofree char *url =
        g_strdup_printf("http://%s/api/Instances.Heartbeat/%s", argv[2], name);
    g_autofree char *body = g_strdup_printf(
        "{\"service\":\"echo\",\"address\":\"%s\",\"zone\":\"%s\","
        "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
        "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%u,"
        "\"memory_limit_mb\":64000,\"gpu\":0},\"labels\":[\"%s\",\"%s\"],"
        "\"clock_ms\":%llu,\"sequence\":%llu,\"born\":%llu%s}",
        argv[1], argv[4], draining ? "draining" : "ready", CAPACITY_CPU, kind,
        argv[5], (unsigned long long)own_clock_ms(),
        (unsigned long long)++sequence, (unsigned long long)born_ms,
        draining ? ",\"remaining_ms\":2000" : "");
    return post(url, body);
}

/* Ends the process: everything that runs here terminates. */
static void
leave(const char *why)
{
    g_mutex_lock(&lock);
    end_due_runs();
    while (runs->len > 0) {
        end_run(0, "terminated");
    }
    print_event(why);
    _exit(0);
}

/* Deregisters; see the top. */
static void
deregister(char **argv)
{
    g_autofree char *url = g_strdup_printf(
        "http://%s/api/Instances.Deregister/%s", argv[2], name);
    print_event("deregister_sent");
    if (post(url, "{}")) {
        leave("deregister_acked_end");
    }
    print_event("deregister_unacked");
}

/* Notes SIGUSR1. */
static void
note_leaving(int signal_number)
{
    (void)signal_number;
    leaving = 1;
}

/* Sends heartbeats, and carries out the planned end. */
static void
run_life(char **argv)
{
    uint64_t next_beat_ms = 0;
    uint64_t drained_ms = 0; /* when `draining` was acknowledged */
    uint64_t end_ms = 0;     /* when it ends without an acknowledgement */
    for (;;) {
        (void)usleep(POLL_US);
        g_mutex_lock(&lock);
        end_due_runs();
        answer_waiting();
        g_mutex_unlock(&lock);
        uint64_t now = now_ms();
        bool must_tell = leaving && drained_ms == 0;
        if (end_ms == 0 && (now >= next_beat_ms || must_tell)) {
            bool draining = leaving;
            next_beat_ms = now + beat_ms;
            if (send_heartbeat(argv, draining) && must_tell) {
                drained_ms = now_ms();
                print_event("draining_acked");
            }
        }
        if (drained_ms != 0 && end_ms == 0 &&
            now >= drained_ms + drain_ms + extra_ms) {
            end_ms = now + leave_ms;
            deregister(argv);
        }
        if (end_ms != 0 && now_ms() >= end_ms) {
            leave("unacked_end");
        }
    }
}

int
main(int argc, char **argv)
{
    mb_http_server_config_t config = {.threads = 1,
                                      .max_connections = 512,
                                      .idle_timeout_s = 60,
                                      .handle = handle};
    static mb_http_server_t server;
    g_autoptr(GError) error = NULL;
    if (argc < 6 || !mb_address_parse(mb_str_from_cstr(argv[1]), &config.ip,
                                      &config.port)) {
        (void)fprintf(stderr, "usage: review-executor ADDRESS CONTROL NAME "
                              "ZONE RACK [OPTION=VALUE...]\n");
        return 2;
    }
    for (int i = 6; i < argc; i++) {
        if (strncmp(argv[i], "kind=", 5) == 0) {
            kind = argv[i] + 5;
        }
        for (size_t k = 0; k < G_N_ELEMENTS(options); k++) {
            size_t length = strlen(options[k].name);
            if (strncmp(argv[i], options[k].name, length) == 0 &&
                argv[i][length] == '=') {
                *options[k].value = strtoull(argv[i] + length + 1, NULL, 10);
            }
        }
    }
    name = argv[3];
    (void)signal(SIGPIPE, SIG_IGN);
    (void)signal(SIGUSR1, note_leaving);
    start_time_ms = now_ms();
    born_ms = (uint64_t)(g_get_real_time() / 1000);
    runs = g_ptr_array_new();
    ends = g_ptr_array_new();
    waiting = g_ptr_array_new();
    highest_ended =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (!mb_http_server_init(&server, &config, &error)) {
        (void)fprintf(stderr, "review-executor: %s\n", error->message);
        return 2;
    }
    (void)printf("%llu %s up kind=%s\n", (unsigned long long)now_ms(), name,
                 kind);
    (void)fflush(stdout);
    run_life(argv);
}
