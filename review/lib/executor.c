/* review-executor: an executor of the operators' platform, as PROTOCOL.md
   describes it. What a task does stands in its spec, which begins with
   "ms=DURATION cpu=THOUSANDTHS". The clock, the numbers of ends and the
   sequence of heartbeats start anew with each process. Prints one line for
   each start, end, rejection and acknowledgement, with the Unix time in
   milliseconds.

   review-executor ADDRESS CONTROL ID SERVICE CPU_THOUSANDTHS HOLD_MAX_MS
   [KIND] */
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
#define HEARTBEAT_MS 1500u
#define LISTED_ENDS_MAX 500u /* PROTOCOL.md: "500 at a time" */
#define WAIT_MAX_MS 2000u
#define MEMORY_MB 64000

typedef struct run {
    char *task;
    uint64_t run;
    uint64_t cpu;
    uint64_t start_ms;
    uint64_t end_ms;
} run_t;

typedef struct end {
    uint64_t number;
    char *task;
    uint64_t run;
    const char *how;
} end_t;

/* A hold call whose response waits for an end. */
typedef struct waiting {
    mb_http_exchange_t *exchange;
    uint64_t until_ms;
    uint64_t ends_before;
} waiting_t;

/* Guards the following. */
static GMutex lock;
static GPtrArray *runs;           /* run_t */
static GPtrArray *ends;           /* end_t, oldest first */
static GPtrArray *waitings;       /* waiting_t */
static GHashTable *highest_ended; /* task -> highest run ended or stopped */
static uint64_t lease_end_ms;
static bool lease_lapsed; /* the lease has expired since it was taken last */
static uint64_t highest_token;
static uint64_t last_end_number;
/* Set before the server starts. */
static const char *own_id;
static const char *kind = "a"; /* its first label */
static uint64_t capacity;
static uint64_t hold_max_ms;
static uint64_t boot_us;
static uint64_t born_ms;

/* Returns the executor's own steady clock: the time since its start. */
static uint64_t
clock_ms(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return (mb_clock_us(&clock) - boot_us) / MB_US_PER_MS;
}

static uint64_t
unix_ms(void)
{
    struct timespec now;
    (void)clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * 1000u + (uint64_t)now.tv_nsec / 1000000u;
}

static void
record(const char *event, const char *task, uint64_t run, const char *rest)
{
    (void)printf("%llu %s %s task=%s run=%llu %s\n",
                 (unsigned long long)unix_ms(), own_id, event, task,
                 (unsigned long long)run, rest);
    (void)fflush(stdout);
}

/* Ends the run at an index of `runs`. */
static void
end_run(guint index, const char *how)
{
    run_t *run = g_ptr_array_index(runs, index);
    end_t *end = g_new0(end_t, 1);
    g_autofree char *rest = g_strdup_printf(
        "number=%llu", (unsigned long long)last_end_number + 1);
    *end = (end_t){++last_end_number, run->task, run->run, how};
    record(how, run->task, run->run, rest);
    g_ptr_array_add(ends, end);
    (void)g_hash_table_replace(highest_ended, g_strdup(run->task),
                               GSIZE_TO_POINTER((gsize)run->run));
    (void)g_ptr_array_remove_index_fast(runs, index);
    g_free(run);
}

/* Ends the runs whose work is done, or all if the lease has expired. */
static void
end_due_runs(void)
{
    uint64_t now = clock_ms();
    if (lease_end_ms > 0 && now >= lease_end_ms && !lease_lapsed) {
        lease_lapsed = true;
        (void)printf("%llu %s lease-lapsed\n", (unsigned long long)unix_ms(),
                     own_id);
        (void)fflush(stdout);
    }
    for (guint i = 0; i < runs->len;) {
        const run_t *run = g_ptr_array_index(runs, i);
        if (now >= run->end_ms && run->end_ms <= lease_end_ms) {
            end_run(i, "done");
        }
        else if (now >= lease_end_ms) {
            end_run(i, "lapsed");
        }
        else {
            i++;
        }
    }
}

/* Takes the lease of a call: a time of this executor's clock, at most
   `hold_max_ms` from now, that never shortens the present lease. */
static void
take_lease(const json_t *body)
{
    uint64_t expires =
        (uint64_t)json_integer_value(json_object_get(body, "expires_ms"));
    lease_end_ms = MAX(lease_end_ms, MIN(expires, clock_ms() + hold_max_ms));
    lease_lapsed = lease_lapsed && clock_ms() >= lease_end_ms;
}

static void
respond(mb_http_exchange_t *exchange, uint32_t status, json_t *body)
{
    (void)json_object_set_new(body, "clock_ms",
                              json_integer((json_int_t)clock_ms()));
    (void)json_object_set_new(body, "born", json_integer((json_int_t)born_ms));
    char *text = json_dumps(body, JSON_COMPACT);
    mb_http_respond(exchange, status, NULL, mb_str_from_cstr(text));
    free(text);
    json_decref(body);
}

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
refuse(mb_http_exchange_t *exchange, const char *task, uint64_t number,
       const char *reason)
{
    record("rejected", task, number, reason);
    respond(exchange, 409, json_pack("{s:s}", "reason", reason));
}

static void
handle_start(mb_http_exchange_t *exchange, const json_t *body,
             const char *task, uint64_t number)
{
    const char *spec = json_string_value(json_object_get(body, "spec"));
    unsigned long long duration_ms = 0;
    unsigned long long cpu = 0;
    uint64_t used = 0;
    uint64_t now = clock_ms();
    if (spec == NULL ||
        sscanf(spec, "ms=%llu cpu=%llu", &duration_ms, &cpu) != 2) {
        respond(exchange, 400, json_object());
        return;
    }
    if (find_run(task, number) < runs->len) {
        respond(exchange, 200, json_object());
        return;
    }
    take_lease(body);
    if (number <= GPOINTER_TO_SIZE(g_hash_table_lookup(highest_ended, task))) {
        refuse(exchange, task, number, "old");
        return;
    }
    if ((uint64_t)json_integer_value(json_object_get(body, "expires_ms")) <=
        now) {
        refuse(exchange, task, number, "late");
        return;
    }
    for (guint i = 0; i < runs->len; i++) {
        used += ((const run_t *)g_ptr_array_index(runs, i))->cpu;
    }
    if (used + cpu > capacity) {
        refuse(exchange, task, number, "room");
        return;
    }
    run_t *run = g_new0(run_t, 1);
    *run = (run_t){g_strdup(task), number, cpu, now, now + duration_ms};
    g_ptr_array_add(runs, run);
    record("start", task, number, "");
    respond(exchange, 200, json_object());
}

static void
handle_stop(mb_http_exchange_t *exchange, const char *task, uint64_t number)
{
    guint index = find_run(task, number);
    if (index < runs->len) {
        end_run(index, "stopped");
    }
    else {
        gsize highest =
            GPOINTER_TO_SIZE(g_hash_table_lookup(highest_ended, task));
        (void)g_hash_table_replace(
            highest_ended, g_strdup(task),
            GSIZE_TO_POINTER(MAX(highest, (gsize)number)));
    }
    respond(exchange, 200, json_object());
}

/* Responds to a hold call with the runs in progress and the oldest ends. */
static void
respond_lists(mb_http_exchange_t *exchange)
{
    json_t *active = json_array();
    json_t *finished = json_array();
    for (guint i = 0; i < runs->len; i++) {
        const run_t *run = g_ptr_array_index(runs, i);
        uint64_t length = MAX(run->end_ms - run->start_ms, 1u);
        uint64_t percent = (clock_ms() - run->start_ms) * 100u / length;
        (void)json_array_append_new(active, json_pack("[s,I,s,i,I]", run->task,
                                                      (json_int_t)run->run, "",
                                                      (int)MIN(percent, 100u),
                                                      (json_int_t)run->cpu));
    }
    for (guint i = 0; i < ends->len && i < LISTED_ENDS_MAX; i++) {
        const end_t *end = g_ptr_array_index(ends, i);
        (void)json_array_append_new(
            finished,
            json_pack("[I,s,I,s,s]", (json_int_t)end->number, end->task,
                      (json_int_t)end->run, end->how, ""));
    }
    respond(exchange, 200,
            json_pack("{s:o,s:o}", "active", active, "finished", finished));
}

static void
handle_hold(mb_http_exchange_t *exchange, const json_t *body)
{
    uint64_t cursor =
        (uint64_t)json_integer_value(json_object_get(body, "ack_cursor"));
    uint64_t wait_ms =
        (uint64_t)json_integer_value(json_object_get(body, "wait_ms"));
    uint64_t forgotten = 0;
    take_lease(body);
    while (ends->len > 0) {
        end_t *end = g_ptr_array_index(ends, 0);
        if (end->number > cursor) {
            break;
        }
        g_free(end->task);
        g_free(end);
        (void)g_ptr_array_remove_index(ends, 0);
        forgotten++;
    }
    if (forgotten > 0) {
        (void)printf("%llu %s ack cursor=%llu kept=%u\n",
                     (unsigned long long)unix_ms(), own_id,
                     (unsigned long long)cursor, ends->len);
        (void)fflush(stdout);
    }
    if (wait_ms == 0 || ends->len > 0) {
        respond_lists(exchange);
        return;
    }
    waiting_t *waiting = g_new0(waiting_t, 1);
    *waiting = (waiting_t){exchange, clock_ms() + MIN(wait_ms, WAIT_MAX_MS),
                           last_end_number};
    g_ptr_array_add(waitings, waiting);
}

/* Responds to the hold calls that an end or their time has made due. */
static void
respond_due_holds(void)
{
    for (guint i = 0; i < waitings->len;) {
        waiting_t *waiting = g_ptr_array_index(waitings, i);
        if (waiting->ends_before == last_end_number &&
            clock_ms() < waiting->until_ms) {
            i++;
            continue;
        }
        respond_lists(waiting->exchange);
        g_free(waiting);
        (void)g_ptr_array_remove_index_fast(waitings, i);
    }
}

static void
handle(void *context, mb_http_exchange_t *exchange)
{
    mb_str_t path = mb_uri_path(mb_http_uri(exchange));
    mb_str_t text = mb_http_body(exchange);
    mb_str_t expected = mb_http_header(
        exchange, MB_STR_LIT("Magnoliabarrow-Expected-Instance"));
    json_t *body = json_loadb(text.data, text.len, 0, NULL);
    const char *task = json_string_value(json_object_get(body, "task"));
    uint64_t number =
        (uint64_t)json_integer_value(json_object_get(body, "run_id"));
    uint64_t token =
        (uint64_t)json_integer_value(json_object_get(body, "fencing_token"));
    (void)context;
    g_mutex_lock(&lock);
    end_due_runs();
    if (expected.len > 0 &&
        !mb_str_equal(expected, mb_str_from_cstr(own_id))) {
        respond(exchange, 421, json_object());
    }
    else if (token < highest_token) {
        refuse(exchange, task == NULL ? "-" : task, number, "fence");
    }
    else if (mb_str_equal(path, MB_STR_LIT("/api/hold"))) {
        highest_token = token;
        handle_hold(exchange, body);
    }
    else if (task == NULL) {
        respond(exchange, 400, json_object());
    }
    else if (mb_str_equal(path, MB_STR_LIT("/api/run-start"))) {
        highest_token = token;
        handle_start(exchange, body, task, number);
    }
    else if (mb_str_equal(path, MB_STR_LIT("/api/run-stop"))) {
        highest_token = token;
        handle_stop(exchange, task, number);
    }
    else {
        respond(exchange, 200, json_object());
    }
    g_mutex_unlock(&lock);
    json_decref(body);
}

static void
send_heartbeat(const char *control, const char *address, const char *service,
               uint64_t sequence)
{
    static CURL *easy;
    g_autofree char *url = g_strdup_printf(
        "http://%s/api/Instances.Heartbeat/%s", control, own_id);
    g_autofree char *body = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"lisboa-a\","
        "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
        "\"capacity\":{\"cpu\":%llu,\"memory_limit_mb\":%d},"
        "\"labels\":[\"%s\",\"r1-1\"],\"clock_ms\":%llu,\"sequence\":%llu,"
        "\"born\":%llu}",
        service, address, (unsigned long long)capacity, MEMORY_MB, kind,
        (unsigned long long)clock_ms(), (unsigned long long)sequence,
        (unsigned long long)born_ms);
    if (easy == NULL) {
        easy = curl_easy_init();
    }
    (void)curl_easy_setopt(easy, CURLOPT_URL, url);
    (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    (void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 1000L);
    (void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
    (void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, stderr);
    (void)curl_easy_perform(easy);
}

/* Sends heartbeats on a thread of its own, so that a stopped agent does not
   hold up the runs. */
static gpointer
run_heartbeats(gpointer data)
{
    char **argv = data;
    for (uint64_t sequence = 1;; sequence++) {
        send_heartbeat(argv[2], argv[1], argv[4], sequence);
        (void)usleep(HEARTBEAT_MS * 1000u);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    mb_http_server_config_t config = {.threads = 1,
                                      .max_connections = 400,
                                      .idle_timeout_s = 60,
                                      .handle = handle};
    static mb_http_server_t server;
    g_autoptr(GError) error = NULL;
    mb_clock_t clock = mb_clock_monotonic();
    if (argc < 7 || !mb_address_parse(mb_str_from_cstr(argv[1]), &config.ip,
                                      &config.port)) {
        (void)fprintf(stderr, "usage: review-executor ADDRESS CONTROL ID "
                              "SERVICE CPU_THOUSANDTHS HOLD_MAX_MS [KIND]\n");
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    own_id = argv[3];
    kind = argc > 7 ? argv[7] : kind;
    capacity = strtoull(argv[5], NULL, 10);
    hold_max_ms = strtoull(argv[6], NULL, 10);
    boot_us = mb_clock_us(&clock);
    born_ms = unix_ms();
    runs = g_ptr_array_new();
    ends = g_ptr_array_new();
    waitings = g_ptr_array_new();
    highest_ended =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (!mb_http_server_init(&server, &config, &error)) {
        (void)fprintf(stderr, "review-executor: %s\n", error->message);
        return 1;
    }
    (void)printf("%llu %s boot born=%llu\n", (unsigned long long)unix_ms(),
                 own_id, (unsigned long long)born_ms);
    (void)fflush(stdout);
    (void)g_thread_new("heartbeats", run_heartbeats, argv);
    for (;;) {
        (void)usleep(POLL_US);
        g_mutex_lock(&lock);
        end_due_runs();
        respond_due_holds();
        g_mutex_unlock(&lock);
    }
}
