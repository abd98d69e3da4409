/* Stand-in of an executor: runs tasks under a lease for a fixed time, lists
   what runs and ends, and sends heartbeats to its agent. Prints a line for
   each start and each end.

   standin-executor -l ADDRESS -c CONTROL -n NAME -t TASK_MS */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mb_clock.h"
#include "mb_http_server.h"
#include "mb_settings.h"
#include "mb_uri.h"

/* How often the time is looked at, and ticks between two heartbeats. */
#define POLL_US 5000
#define HEARTBEAT_TICKS 60

typedef struct run {
    char *task;
    uint64_t run;
    uint64_t end_ms;
} run_t;

typedef struct end {
    uint64_t number;
    char *task;
    uint64_t run;
    const char *how;
} end_t;

static GMutex lock;
static GPtrArray *runs;
static GPtrArray *ends;
static GHashTable *over; /* task -> highest run that is over */
static uint64_t lease_ms;
static uint64_t token;
static uint64_t numbers;
static uint64_t task_ms;
static uint64_t start_time_ms;

static uint64_t
now_ms(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_ms(&clock);
}

/* Ends a run. */
static void
end_run(guint at, const char *how)
{
    run_t *run = g_ptr_array_index(runs, at);
    end_t *end = g_new0(end_t, 1);
    *end = (end_t){++numbers, run->task, run->run, how};
    (void)printf("%s task=%s run=%llu\n", how, run->task,
                 (unsigned long long)run->run);
    (void)fflush(stdout);
    g_ptr_array_add(ends, end);
    (void)g_hash_table_replace(over, g_strdup(run->task),
                               GSIZE_TO_POINTER((gsize)run->run));
    (void)g_ptr_array_remove_index_fast(runs, at);
    g_free(run);
}

/* Ends what is done, or whose lease has ended. */
static void
pass_time(void)
{
    uint64_t now = now_ms();
    for (guint i = 0; i < runs->len;) {
        const run_t *run = g_ptr_array_index(runs, i);
        if (now >= run->end_ms) {
            end_run(i, "done");
        }
        else if (now >= lease_ms) {
            end_run(i, "lapsed");
        }
        else {
            i++;
        }
    }
}

/* Answers with a JSON object, which is freed. */
static void
answer(mb_http_exchange_t *exchange, uint32_t status, json_t *body)
{
    (void)json_object_set_new(body, "clock_ms",
                              json_integer((json_int_t)now_ms()));
    char *text = json_dumps(body, JSON_COMPACT);
    mb_http_respond(exchange, status, NULL, mb_str_from_cstr(text));
    free(text);
    json_decref(body);
}

static void
refuse(mb_http_exchange_t *exchange, const char *reason)
{
    answer(exchange, 409, json_pack("{s:s}", "reason", reason));
}

/* Finds a run. */
static guint
find_run(const char *task, uint64_t number)
{
    for (guint i = 0; i < runs->len; i++) {
        const run_t *run = g_ptr_array_index(runs, i);
        if (strcmp(run->task, task) == 0 && run->run == number) {
            return i;
        }
    }
    return runs->len;
}

static void
handle_start(mb_http_exchange_t *exchange, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    uint64_t number =
        (uint64_t)json_integer_value(json_object_get(body, "run_id"));
    uint64_t expires =
        (uint64_t)json_integer_value(json_object_get(body, "expires_ms"));
    gsize highest = GPOINTER_TO_SIZE(g_hash_table_lookup(over, task));
    if (find_run(task, number) < runs->len) {
        answer(exchange, 200, json_object());
        return;
    }
    if (number <= highest) {
        refuse(exchange, "old");
        return;
    }
    if (expires <= now_ms()) {
        refuse(exchange, "late");
        return;
    }
    run_t *run = g_new0(run_t, 1);
    *run = (run_t){g_strdup(task), number, now_ms() + task_ms};
    g_ptr_array_add(runs, run);
    lease_ms = MAX(lease_ms, expires);
    (void)printf("start task=%s run=%llu\n", task, (unsigned long long)number);
    (void)fflush(stdout);
    answer(exchange, 200, json_object());
}

static void
handle_stop(mb_http_exchange_t *exchange, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    uint64_t number =
        (uint64_t)json_integer_value(json_object_get(body, "run_id"));
    guint at = find_run(task, number);
    if (at < runs->len) {
        end_run(at, "stopped");
    }
    else {
        (void)g_hash_table_replace(over, g_strdup(task),
                                   GSIZE_TO_POINTER((gsize)number));
    }
    answer(exchange, 200, json_object());
}

static void
handle_hold(mb_http_exchange_t *exchange, const json_t *body)
{
    uint64_t expires =
        (uint64_t)json_integer_value(json_object_get(body, "expires_ms"));
    uint64_t cursor =
        (uint64_t)json_integer_value(json_object_get(body, "ack_cursor"));
    json_t *active = json_array();
    json_t *finished = json_array();
    lease_ms = MAX(lease_ms, expires);
    while (ends->len > 0) {
        end_t *end = g_ptr_array_index(ends, 0);
        if (end->number > cursor) {
            break;
        }
        g_free(end->task);
        g_free(end);
        (void)g_ptr_array_remove_index(ends, 0);
    }
    for (guint i = 0; i < runs->len; i++) {
        const run_t *run = g_ptr_array_index(runs, i);
        (void)json_array_append_new(active, json_pack("[s,I,s,i,i]", run->task,
                                                      (json_int_t)run->run, "",
                                                      50, 100));
    }
    for (guint i = 0; i < ends->len; i++) {
        const end_t *end = g_ptr_array_index(ends, i);
        (void)json_array_append_new(
            finished,
            json_pack("[I,s,I,s,s]", (json_int_t)end->number, end->task,
                      (json_int_t)end->run, end->how, ""));
    }
    answer(exchange, 200,
           json_pack("{s:o,s:o,s:I}", "active", active, "finished", finished,
                     "born", (json_int_t)start_time_ms));
}

/* Handles one call of the agent. */
static void
handle(void *context, mb_http_exchange_t *exchange)
{
    mb_str_t path = mb_uri_path(mb_http_uri(exchange));
    mb_str_t text = mb_http_body(exchange);
    json_t *body = json_loadb(text.data, text.len, 0, NULL);
    uint64_t given =
        (uint64_t)json_integer_value(json_object_get(body, "fencing_token"));
    (void)context;
    g_mutex_lock(&lock);
    pass_time();
    if (given < token) {
        refuse(exchange, "fence");
    }
    else if (mb_str_equal(path, MB_STR_LIT("/api/run-start"))) {
        token = given;
        handle_start(exchange, body);
    }
    else if (mb_str_equal(path, MB_STR_LIT("/api/run-stop"))) {
        token = given;
        handle_stop(exchange, body);
    }
    else if (mb_str_equal(path, MB_STR_LIT("/api/hold"))) {
        token = given;
        handle_hold(exchange, body);
    }
    else {
        answer(exchange, 200, json_object());
    }
    g_mutex_unlock(&lock);
    json_decref(body);
}

/* Sends one heartbeat. */
static void
send_heartbeat(const char *control, const char *name, uint64_t sequence)
{
    static CURL *easy;
    g_autofree char *url =
        g_strdup_printf("http://%s/api/Instances.Heartbeat/%s", control, name);
    g_autofree char *body = g_strdup_printf(
        "{\"service\":\"echo\",\"address\":\"x\",\"zone\":\"domain-1\","
        "\"state\":\"ready\",\"capacity\":{\"cpu\":4000,"
        "\"memory_limit_mb\":8000,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
        "\"sequence\":%llu,\"born\":%llu}",
        (unsigned long long)sequence, (unsigned long long)start_time_ms);
    if (easy == NULL) {
        easy = curl_easy_init();
    }
    (void)curl_easy_setopt(easy, CURLOPT_URL, url);
    (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    (void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 500L);
    (void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, stderr);
    (void)curl_easy_perform(easy);
}

int
main(int argc, char **argv)
{
    mb_http_server_config_t config = {.threads = 1,
                                      .max_connections = 64,
                                      .idle_timeout_s = 60,
                                      .handle = handle};
    static mb_http_server_t server;
    g_autoptr(GError) error = NULL;
    if (argc != 9 || !mb_address_parse(mb_str_from_cstr(argv[2]), &config.ip,
                                       &config.port)) {
        (void)fprintf(stderr, "usage: standin-executor -l ADDRESS -c CONTROL "
                              "-n NAME -t TASK_MS\n");
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    task_ms = strtoull(argv[8], NULL, 10);
    start_time_ms = now_ms();
    runs = g_ptr_array_new();
    ends = g_ptr_array_new();
    over = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (!mb_http_server_init(&server, &config, &error)) {
        (void)fprintf(stderr, "standin-executor: %s\n", error->message);
        return 1;
    }
    for (uint64_t tick = 0;; tick++) {
        if (tick % HEARTBEAT_TICKS == 0) {
            send_heartbeat(argv[4], argv[6], tick + 1);
        }
        (void)usleep(POLL_US);
        g_mutex_lock(&lock);
        pass_time();
        g_mutex_unlock(&lock);
    }
}
