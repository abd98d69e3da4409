/* standin-executor: takes the place of an executor of the operators' platform.
   A task runs for a fixed time, and only as long as the lease has not expired.
   Reports runs and their ends to its agent, and sends it heartbeats. Prints a
   line for its own start ("up") and for each start and each end of a run, with
   the time of CLOCK_MONOTONIC in milliseconds, which is the same for all
   executors on a machine.

   standin-executor -l ADDRESS -c CONTROL -n NAME -t TASK_MS

   ADDRESS is where it listens, CONTROL the agent's address for heartbeats and
   NAME the name of the executor. The options must be given in this order. */
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

/* Period of the checks for runs that have ended, in microseconds, and number
   of such periods between two heartbeats (300 ms). */
#define POLL_US 5000
#define HEARTBEAT_TICKS 60

/* A run in progress. */
typedef struct run {
    char *task;
    uint64_t run;
    uint64_t end_ms; /* when it is done */
} run_t;

/* The end of a run that the agent has not acknowledged yet. */
typedef struct end {
    uint64_t number; /* counts the ends, from 1 */
    char *task;
    uint64_t run;
    const char *how;
} end_t;

/* Guards the following. */
static GMutex lock;
static GPtrArray *runs; /* run_t */
static GPtrArray *ends; /* end_t, oldest first */
/* Task -> highest number of a run that has ended or was stopped. A start with
   that number or a lower one is refused. */
static GHashTable *highest_ended_run;
static uint64_t lease_end_ms;    /* when the lease expires */
static uint64_t highest_token;   /* highest fencing token received */
static uint64_t last_end_number; /* number of the latest end */
/* Set before the server starts. */
static uint64_t run_duration_ms; /* duration of each run */
static uint64_t start_time_ms;

/* Returns the time of the monotonic clock. */
static uint64_t
now_ms(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_ms(&clock);
}

/* Ends the run at an index of `runs`: moves it to `ends` and prints it. It has
   ended at `time_ms`. */
static void
end_run(guint index, const char *how, uint64_t time_ms)
{
    run_t *run = g_ptr_array_index(runs, index);
    end_t *end = g_new0(end_t, 1);
    *end = (end_t){++last_end_number, run->task, run->run, how};
    (void)printf("%s task=%s run=%llu at_ms=%llu\n", how, run->task,
                 (unsigned long long)run->run, (unsigned long long)time_ms);
    (void)fflush(stdout);
    g_ptr_array_add(ends, end);
    (void)g_hash_table_replace(highest_ended_run, g_strdup(run->task),
                               GSIZE_TO_POINTER((gsize)run->run));
    (void)g_ptr_array_remove_index_fast(runs, index);
    g_free(run);
}

/* Ends the runs whose time is over, or all if the lease has expired. They
   ended when that happened, which may be a while ago on a busy machine. */
static void
end_due_runs(void)
{
    uint64_t now = now_ms();
    for (guint i = 0; i < runs->len;) {
        const run_t *run = g_ptr_array_index(runs, i);
        if (now >= run->end_ms) {
            end_run(i, "done", run->end_ms);
        }
        else if (now >= lease_end_ms) {
            end_run(i, "lapsed", lease_end_ms);
        }
        else {
            i++;
        }
    }
}

/* Responds with a JSON object and the time, and releases the object. */
static void
respond(mb_http_exchange_t *exchange, uint32_t status, json_t *body)
{
    (void)json_object_set_new(body, "clock_ms",
                              json_integer((json_int_t)now_ms()));
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

/* Returns the index of a run in progress, or the number of runs if there is no
   such run. */
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

/* Handles run-start. A repeated start of a run in progress succeeds. */
static void
handle_start(mb_http_exchange_t *exchange, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    uint64_t number =
        (uint64_t)json_integer_value(json_object_get(body, "run_id"));
    uint64_t expires =
        (uint64_t)json_integer_value(json_object_get(body, "expires_ms"));
    gsize highest_ended =
        GPOINTER_TO_SIZE(g_hash_table_lookup(highest_ended_run, task));
    if (find_run(task, number) < runs->len) {
        respond(exchange, 200, json_object());
        return;
    }
    if (number <= highest_ended) {
        refuse(exchange, "old");
        return;
    }
    if (expires <= now_ms()) {
        refuse(exchange, "late");
        return;
    }
    run_t *run = g_new0(run_t, 1);
    *run = (run_t){g_strdup(task), number, now_ms() + run_duration_ms};
    g_ptr_array_add(runs, run);
    lease_end_ms = MAX(lease_end_ms, expires);
    (void)printf("start task=%s run=%llu at_ms=%llu\n", task,
                 (unsigned long long)number, (unsigned long long)now_ms());
    (void)fflush(stdout);
    respond(exchange, 200, json_object());
}

/* Handles run-stop. A run that is not in progress is recorded as ended, so
   that a start of it that arrives later is refused. */
static void
handle_stop(mb_http_exchange_t *exchange, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    uint64_t number =
        (uint64_t)json_integer_value(json_object_get(body, "run_id"));
    guint index = find_run(task, number);
    if (index < runs->len) {
        end_run(index, "stopped", now_ms());
    }
    else {
        (void)g_hash_table_replace(highest_ended_run, g_strdup(task),
                                   GSIZE_TO_POINTER((gsize)number));
    }
    respond(exchange, 200, json_object());
}

/* Returns the progress of a run in percent. */
static int
get_progress(const run_t *run)
{
    uint64_t left_ms = run->end_ms - MIN(run->end_ms, now_ms());
    return 100 - (int)(100 * left_ms / MAX(run_duration_ms, 1u));
}

/* Handles hold: extends the lease to `expires_ms`, forgets the ends up to the
   number `ack_cursor`, which are acknowledged, and reports the runs in
   progress and the other ends. `born` in the response is the start time. */
static void
handle_hold(mb_http_exchange_t *exchange, const json_t *body)
{
    uint64_t expires =
        (uint64_t)json_integer_value(json_object_get(body, "expires_ms"));
    uint64_t cursor =
        (uint64_t)json_integer_value(json_object_get(body, "ack_cursor"));
    json_t *active = json_array();
    json_t *finished = json_array();
    lease_end_ms = MAX(lease_end_ms, expires);
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
                                                      get_progress(run), 100));
    }
    for (guint i = 0; i < ends->len; i++) {
        const end_t *end = g_ptr_array_index(ends, i);
        (void)json_array_append_new(
            finished,
            json_pack("[I,s,I,s,s]", (json_int_t)end->number, end->task,
                      (json_int_t)end->run, end->how, ""));
    }
    respond(exchange, 200,
            json_pack("{s:o,s:o,s:I}", "active", active, "finished", finished,
                      "born", (json_int_t)start_time_ms));
}

/* Handles a call of the agent. Refuses a fencing token lower than the highest
   one received. Other calls of the platform succeed without effect. */
static void
handle(void *context, mb_http_exchange_t *exchange)
{
    mb_str_t path = mb_uri_path(mb_http_uri(exchange));
    mb_str_t text = mb_http_body(exchange);
    json_t *body = json_loadb(text.data, text.len, 0, NULL);
    uint64_t received_token =
        (uint64_t)json_integer_value(json_object_get(body, "fencing_token"));
    (void)context;
    g_mutex_lock(&lock);
    end_due_runs();
    if (received_token < highest_token) {
        refuse(exchange, "fence");
    }
    else if (mb_str_equal(path, MB_STR_LIT("/api/run-start"))) {
        highest_token = received_token;
        handle_start(exchange, body);
    }
    else if (mb_str_equal(path, MB_STR_LIT("/api/run-stop"))) {
        highest_token = received_token;
        handle_stop(exchange, body);
    }
    else if (mb_str_equal(path, MB_STR_LIT("/api/hold"))) {
        highest_token = received_token;
        handle_hold(exchange, body);
    }
    else {
        respond(exchange, 200, json_object());
    }
    g_mutex_unlock(&lock);
    json_decref(body);
}

/* Sends a heartbeat of the executor at `address` in `zone` to the agent at
   `control`. Failures are ignored: the next heartbeat follows soon. */
static void
send_heartbeat(const char *control, const char *address, const char *name,
               const char *zone, uint64_t sequence)
{
    static CURL *easy;
    g_autofree char *url =
        g_strdup_printf("http://%s/api/Instances.Heartbeat/%s", control, name);
    g_autofree char *body = g_strdup_printf(
        "{\"service\":\"echo\",\"address\":\"%s\",\"zone\":\"%s\","
        "\"state\":\"ready\",\"capacity\":{\"cpu\":4000,"
        "\"memory_limit_mb\":8000,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
        "\"sequence\":%llu,\"born\":%llu}",
        address, zone, (unsigned long long)sequence,
        (unsigned long long)start_time_ms);
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
    if ((argc != 9 && argc != 11) ||
        !mb_address_parse(mb_str_from_cstr(argv[2]), &config.ip,
                          &config.port)) {
        (void)fprintf(stderr, "usage: standin-executor -l ADDRESS -c CONTROL "
                              "-n NAME -t TASK_MS [-z ZONE]\n");
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    run_duration_ms = strtoull(argv[8], NULL, 10);
    start_time_ms = now_ms();
    (void)printf("up at_ms=%llu\n", (unsigned long long)start_time_ms);
    (void)fflush(stdout);
    runs = g_ptr_array_new();
    ends = g_ptr_array_new();
    highest_ended_run =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (!mb_http_server_init(&server, &config, &error)) {
        (void)fprintf(stderr, "standin-executor: %s\n", error->message);
        return 1;
    }
    for (uint64_t tick = 0;; tick++) {
        if (tick % HEARTBEAT_TICKS == 0) {
            send_heartbeat(argv[4], argv[2], argv[6],
                           argc == 11 ? argv[10] : "domain-1", tick + 1);
        }
        (void)usleep(POLL_US);
        g_mutex_lock(&lock);
        end_due_runs();
        g_mutex_unlock(&lock);
    }
}
