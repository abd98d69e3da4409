/* standin-site: takes the place of the executors of a small deployment, as
   PROTOCOL.md describes them: they start, stop and list runs under a lease,
   guard their capacity, refuse lower generation numbers, save checkpoints,
   wait for the other members of a gang, and send heartbeats to their agents.

   standin-site -l CONTROL -r RECORD ADDRESS,AGENT,ID,KIND,RACK,CPU,MEMORY ...

   CONTROL is where it takes commands: POST /crash?i=N&down_ms=MS&kind=KIND
   crashes the executor with number N (from 0), which starts again under its id
   after MS milliseconds, as KIND. Without `down_ms` it stays away. POST /quit
   ends the program. RECORD is the file to which it appends what happens, with
   the Unix time in milliseconds. The other arguments are the
   executors.

   The payload of a job tells what its tasks do, for each step:
   `ms=WORK,cpu=CPU,mem=MEMORY,fills=0|1,gang=MEMBERS,save=MS,pad=BYTES,
   fail=0|1`, with `;` between steps. A task works for WORK milliseconds, until
   it is stopped if that is 0, and then ends `done`, or `failed` with fail=1.
   The members of a gang work while all of them are there, under one run number
   and with the same checkpoint. `pad` lengthens the checkpoints to that many
   bytes. */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

/* Bounds of the deployment, in milliseconds; see SYSTEM.md. */
#define HOLD_MAX_MS 10000
#define GANG_TIMEOUT_MS 3000
#define RESTORE_MS 600
#define HEARTBEAT_MS 1500
#define WAIT_MAX_MS 2000
/* Period of the checks for runs that have ended, in microseconds. */
#define POLL_US 4000
/* Number of ends that a list has at most. */
#define LISTED_ENDS_MAX 500u
#define EXECUTORS_MAX 32

/* What the tasks of a step do. */
typedef struct work {
    long ms;
    long cpu;
    long mem;
    long fills;
    long gang;
    long save;
    long pad;
    long fail;
} work_t;

typedef struct run {
    char *task;
    long long number;
    work_t work;
    char *carried;      /* checkpoint of the start; empty: none */
    double done_ms;     /* work that is done */
    double saved_ms;    /* work at the latest checkpoint */
    double accepted_ms; /* by the clock of this program */
    double begins_ms;   /* when it works at the earliest */
    int percent;        /* pace */
} run_t;

typedef struct end {
    long long number;
    char *task;
    long long run;
    const char *how;
    char *saved;
} end_t;

typedef struct executor {
    int index;
    char **fields; /* of its argument */
    char *kind;
    struct MHD_Daemon *daemon; /* NULL: it is down */
    bool up;
    bool leaving;         /* the server is being stopped */
    int life;             /* counts its starts */
    long long born;       /* Unix time of its start, in milliseconds */
    double up_ms;         /* when it started */
    double back_ms;       /* when it starts again; 0: never */
    double lease_end_ms;  /* by its own clock */
    long long token;      /* highest fencing token */
    long long last_end;   /* number of the latest end */
    GPtrArray *runs;      /* run_t */
    GPtrArray *ends;      /* end_t */
    GHashTable *last_run; /* task -> highest run that has ended or was stopped
                           */
} executor_t;

static GMutex lock; /* guards all of the following */
static executor_t executors[EXECUTORS_MAX];
static int executor_count;
static FILE *record;
static bool quit;

/* Returns the time since the start of the program, in milliseconds. */
static double
now_ms(void)
{
    static double first;
    struct timespec now;
    (void)clock_gettime(CLOCK_MONOTONIC, &now);
    double time_ms = (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
    if (first == 0) {
        first = time_ms;
    }
    return time_ms - first;
}

/* Returns the Unix time in milliseconds, for the record. */
static long long
stamp_ms(void)
{
    struct timeval now;
    (void)gettimeofday(&now, NULL);
    return (long long)now.tv_sec * 1000 + now.tv_usec / 1000;
}

/* Returns the time of an executor's own clock, which begins with its life. */
static long long
clock_ms(const executor_t *executor)
{
    return (long long)(now_ms() - executor->up_ms) + 1;
}

/* Returns the value of a parameter of a step in a payload. */
static long
get_parameter(const char *step, const char *name)
{
    size_t length = strlen(name);
    for (const char *at = step; at != NULL && *at != '\0' && *at != ';';) {
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            return strtol(at + length + 1, NULL, 10);
        }
        at = strpbrk(at, ",;");
        at = at != NULL && *at == ',' ? at + 1 : NULL;
    }
    return 0;
}

/* Reads what the tasks of a step do from the payload of their job. */
static work_t
read_work(const char *payload, const char *task)
{
    const char *step = payload;
    int occurrence = 0;
    int number = 0;
    (void)sscanf(strchr(task, '.') + 1, "%d.%d", &occurrence, &number);
    while (number-- > 0 && strchr(step, ';') != NULL) {
        step = strchr(step, ';') + 1;
    }
    return (work_t){.ms = get_parameter(step, "ms"),
                    .cpu = get_parameter(step, "cpu"),
                    .mem = get_parameter(step, "mem"),
                    .fills = get_parameter(step, "fills"),
                    .gang = get_parameter(step, "gang"),
                    .save = get_parameter(step, "save"),
                    .pad = get_parameter(step, "pad"),
                    .fail = get_parameter(step, "fail")};
}

/* Returns the checkpoint of a run after `work_ms` of work: the work and the
   first digits of the job, as in the example of PROTOCOL.md. */
static char *
make_checkpoint(const run_t *run, double work_ms)
{
    if (run->work.save == 0 || work_ms < 1) {
        return g_strdup("");
    }
    char *text = g_strdup_printf("%08lx%.8s", (long)work_ms, run->task);
    long rest = run->work.pad - (long)strlen(text);
    if (rest > 0) {
        g_autofree char *padding = g_strnfill((gsize)rest, '0');
        char *padded = g_strconcat(text, padding, NULL);
        g_free(text);
        return padded;
    }
    return text;
}

/* Frees a run. */
static void
free_run(gpointer data)
{
    run_t *run = data;
    g_free(run->task);
    g_free(run->carried);
    g_free(run);
}

/* Frees an end. */
static void
free_end(gpointer data)
{
    end_t *end = data;
    g_free(end->task);
    g_free(end->saved);
    g_free(end);
}

/* Ends a run. */
static void
end_run(executor_t *executor, guint index, const char *how)
{
    run_t *run = g_ptr_array_index(executor->runs, index);
    bool stopped = strcmp(how, "stopped") == 0;
    end_t *end = g_new0(end_t, 1);
    *end =
        (end_t){++executor->last_end, g_strdup(run->task), run->number, how,
                make_checkpoint(run, stopped ? run->done_ms : run->saved_ms)};
    (void)fprintf(record,
                  "%lld end executor=%s life=%d task=%s run=%lld how=%s "
                  "saved=%.16s\n",
                  stamp_ms(), executor->fields[2], executor->life, run->task,
                  run->number, how, end->saved);
    (void)fflush(record);
    g_ptr_array_add(executor->ends, end);
    long long *last = g_new(long long, 1);
    *last = run->number;
    (void)g_hash_table_replace(executor->last_run, g_strdup(run->task), last);
    (void)g_ptr_array_remove_index(executor->runs, index);
}

/* Returns the length of the part of a task's name that its gang shares. */
static size_t
get_gang_length(const char *task)
{
    return (size_t)(strrchr(task, '.') - task);
}

/* Tells whether two runs are members of one gang. */
static bool
are_members(const run_t *a, const run_t *b)
{
    size_t length = get_gang_length(a->task);
    return a->number == b->number && length == get_gang_length(b->task) &&
           strncmp(a->task, b->task, length) == 0;
}

/* Counts the members of the gang of a run that are there and carry the same
   checkpoint, with itself. */
static long
count_members(const run_t *run)
{
    long count = 0;
    for (int e = 0; e < executor_count; e++) {
        for (guint i = 0; executors[e].up && i < executors[e].runs->len; i++) {
            const run_t *other = g_ptr_array_index(executors[e].runs, i);
            count += are_members(run, other) &&
                     strcmp(run->carried, other->carried) == 0;
        }
    }
    return count;
}

/* Ends the other members of a gang after one of them has ended. */
static void
break_gang(const char *task, long long number, const char *how)
{
    size_t length = get_gang_length(task);
    for (int e = 0; e < executor_count; e++) {
        for (guint i = 0; executors[e].up && i < executors[e].runs->len;) {
            run_t *other = g_ptr_array_index(executors[e].runs, i);
            if (other->number == number &&
                length == get_gang_length(other->task) &&
                strncmp(task, other->task, length) == 0) {
                end_run(&executors[e], i, how);
            }
            else {
                i++;
            }
        }
    }
}

/* Ends a run, and its gang with it. */
static void
end_with_gang(executor_t *executor, guint index, const char *how)
{
    const run_t *run = g_ptr_array_index(executor->runs, index);
    g_autofree char *task = g_strdup(run->task);
    long long number = run->number;
    bool gang = run->work.gang > 0;
    end_run(executor, index, how);
    if (gang && strcmp(how, "alone") != 0) {
        break_gang(task, number, strcmp(how, "done") == 0 ? "done" : "broken");
    }
}

/* Lets a run work for a time. Returns how it has ended, NULL if it has not. */
static const char *
advance(const executor_t *executor, run_t *run, double elapsed_ms)
{
    if (clock_ms(executor) >= executor->lease_end_ms) {
        return "lapsed";
    }
    if (run->work.gang > 0 && count_members(run) < run->work.gang) {
        return now_ms() >= run->accepted_ms + GANG_TIMEOUT_MS ? "alone" : NULL;
    }
    if (now_ms() < run->begins_ms) {
        return NULL;
    }
    run->done_ms += elapsed_ms * run->percent / 100;
    while (run->work.save > 0 &&
           run->done_ms >= run->saved_ms + (double)run->work.save) {
        run->saved_ms += (double)run->work.save;
    }
    if (run->work.ms == 0 || run->done_ms < (double)run->work.ms) {
        return NULL;
    }
    return run->work.fail ? "failed" : "done";
}

/* Lets all runs work. */
static void
advance_all(double elapsed_ms)
{
    for (int e = 0; e < executor_count; e++) {
        executor_t *executor = &executors[e];
        for (guint i = 0; executor->up && i < executor->runs->len;) {
            run_t *run = g_ptr_array_index(executor->runs, i);
            const char *how = advance(executor, run, elapsed_ms);
            if (how == NULL) {
                i++;
            }
            else {
                end_with_gang(executor, i, how);
                i = 0;
            }
        }
    }
}

/* Returns the index of a run, or the number of runs if it is not there. */
static guint
find_run(const executor_t *executor, const char *task, long long number)
{
    guint i = 0;
    while (i < executor->runs->len) {
        const run_t *run = g_ptr_array_index(executor->runs, i);
        if (strcmp(run->task, task) == 0 && run->number == number) {
            break;
        }
        i++;
    }
    return i;
}

/* Tells whether a run fits beside those that are there. */
static bool
has_room(const executor_t *executor, const work_t *work)
{
    long cpu = work->fills ? 0 : work->cpu;
    long mem = work->mem;
    for (guint i = 0; i < executor->runs->len; i++) {
        const run_t *run = g_ptr_array_index(executor->runs, i);
        cpu += run->work.fills ? 0 : run->work.cpu;
        mem += run->work.mem;
    }
    return cpu <= strtol(executor->fields[5], NULL, 10) &&
           mem <= strtol(executor->fields[6], NULL, 10);
}

/* Returns a text member of a body, "" if there is none. */
static const char *
get_text(const json_t *body, const char *name)
{
    const char *text = json_string_value(json_object_get(body, name));
    return text == NULL ? "" : text;
}

/* Returns a number member of a body, 0 if there is none. */
static long long
get_number(const json_t *body, const char *name)
{
    return json_integer_value(json_object_get(body, name));
}

/* Extends the lease of an executor; it never shortens. */
static void
extend_lease(executor_t *executor, const json_t *body)
{
    double asked = (double)get_number(body, "expires_ms");
    double most = (double)(clock_ms(executor) + HOLD_MAX_MS);
    executor->lease_end_ms = MAX(executor->lease_end_ms, MIN(asked, most));
}

/* Carries out run-start. Returns the reason for a refusal, NULL if the run is
   there. */
static const char *
start_run(executor_t *executor, const json_t *body)
{
    const char *task = get_text(body, "task");
    long long number = get_number(body, "run_id");
    const long long *last = g_hash_table_lookup(executor->last_run, task);
    work_t work = read_work(get_text(body, "spec"), task);
    if (find_run(executor, task, number) < executor->runs->len) {
        extend_lease(executor, body);
        return NULL;
    }
    if (get_number(body, "expires_ms") <= clock_ms(executor)) {
        return "late";
    }
    extend_lease(executor, body);
    if (last != NULL && number <= *last) {
        return "old";
    }
    if (!has_room(executor, &work)) {
        return "room";
    }
    run_t *run = g_new0(run_t, 1);
    *run = (run_t){.task = g_strdup(task),
                   .number = number,
                   .work = work,
                   .carried = g_strdup(get_text(body, "checkpoint")),
                   .accepted_ms = now_ms(),
                   .percent = 100};
    run->begins_ms = run->accepted_ms + (*run->carried ? RESTORE_MS : 0);
    if (*run->carried) {
        g_autofree char *digits = g_strndup(run->carried, 8);
        run->done_ms = (double)strtol(digits, NULL, 16);
        run->saved_ms = run->done_ms;
    }
    g_ptr_array_add(executor->runs, run);
    return NULL;
}

/* Carries out run-stop. */
static void
stop_run(executor_t *executor, const json_t *body)
{
    const char *task = get_text(body, "task");
    long long number = get_number(body, "run_id");
    guint index = find_run(executor, task, number);
    const long long *last = g_hash_table_lookup(executor->last_run, task);
    if (index < executor->runs->len) {
        end_with_gang(executor, index, "stopped");
    }
    else if (last == NULL || *last < number) {
        long long *stopped = g_new(long long, 1);
        *stopped = number;
        (void)g_hash_table_replace(executor->last_run, g_strdup(task),
                                   stopped);
    }
}

/* Returns the lists of an executor's runs and ends. */
static json_t *
make_lists(const executor_t *executor)
{
    json_t *active = json_array();
    json_t *finished = json_array();
    for (guint i = 0; i < executor->runs->len; i++) {
        const run_t *run = g_ptr_array_index(executor->runs, i);
        g_autofree char *saved = make_checkpoint(run, run->saved_ms);
        int percent = run->work.ms == 0
                          ? 100
                          : (int)(run->done_ms * 100 / (double)run->work.ms);
        (void)json_array_append_new(
            active,
            json_pack("[s,I,s,i,I]", run->task, (json_int_t)run->number, saved,
                      percent, (json_int_t)run->work.cpu));
    }
    for (guint i = 0; i < executor->ends->len && i < LISTED_ENDS_MAX; i++) {
        const end_t *end = g_ptr_array_index(executor->ends, i);
        (void)json_array_append_new(
            finished,
            json_pack("[I,s,I,s,s]", (json_int_t)end->number, end->task,
                      (json_int_t)end->run, end->how, end->saved));
    }
    return json_pack("{s:o,s:o,s:I}", "active", active, "finished", finished,
                     "born", (json_int_t)executor->born);
}

/* Forgets the ends that are acknowledged. */
static void
forget_ends(executor_t *executor, long long cursor)
{
    while (executor->ends->len > 0 &&
           ((end_t *)g_ptr_array_index(executor->ends, 0))->number <= cursor) {
        (void)g_ptr_array_remove_index(executor->ends, 0);
    }
}

/* Carries out hold: the answer waits for an end. The lock is given up
   meanwhile. Returns NULL if the executor has crashed. */
static json_t *
hold(executor_t *executor, const json_t *body)
{
    int life = executor->life;
    double until_ms =
        now_ms() + (double)MIN(get_number(body, "wait_ms"), WAIT_MAX_MS);
    extend_lease(executor, body);
    forget_ends(executor, get_number(body, "ack_cursor"));
    long long listed = executor->last_end;
    while (executor->up && executor->life == life &&
           executor->last_end == listed && now_ms() < until_ms) {
        g_mutex_unlock(&lock);
        (void)usleep(POLL_US);
        g_mutex_lock(&lock);
    }
    return executor->up && executor->life == life ? make_lists(executor)
                                                  : NULL;
}

/* Writes an order to the record. */
static void
record_start(const executor_t *executor, const json_t *body,
             const char *reason)
{
    (void)fprintf(
        record,
        "%lld start executor=%s life=%d kind=%s task=%s run=%lld "
        "token=%lld checkpoint=%.16s answer=%s\n",
        stamp_ms(), executor->fields[2], executor->life, executor->kind,
        get_text(body, "task"), get_number(body, "run_id"),
        get_number(body, "fencing_token"), get_text(body, "checkpoint"),
        reason == NULL ? "200" : reason);
    (void)fflush(record);
}

/* Carries out a call of the agent, with the lock held. Returns the body of the
   answer and sets its status, or NULL if the executor has crashed. */
static json_t *
carry_out(executor_t *executor, const char *path, const json_t *body,
          unsigned *status)
{
    const char *reason = NULL;
    json_t *answer = NULL;
    *status = 200;
    if (get_number(body, "fencing_token") < executor->token) {
        reason = "fence";
    }
    else {
        executor->token = get_number(body, "fencing_token");
    }
    if (strcmp(path, "/api/run-start") == 0) {
        reason = reason != NULL ? reason : start_run(executor, body);
        record_start(executor, body, reason);
    }
    else if (reason == NULL && strcmp(path, "/api/run-stop") == 0) {
        stop_run(executor, body);
    }
    else if (reason == NULL && strcmp(path, "/api/hold") == 0) {
        answer = hold(executor, body);
        if (answer == NULL) {
            return NULL;
        }
    }
    else if (reason == NULL && strcmp(path, "/api/pace") == 0) {
        guint index = find_run(executor, get_text(body, "task"),
                               get_number(body, "run_id"));
        if (index < executor->runs->len) {
            ((run_t *)g_ptr_array_index(executor->runs, index))->percent =
                (int)get_number(body, "percent");
        }
    }
    if (reason != NULL) {
        *status = 409;
        answer = json_pack("{s:s}", "reason", reason);
    }
    answer = answer == NULL ? json_object() : answer;
    (void)json_object_set_new(answer, "clock_ms",
                              json_integer(clock_ms(executor)));
    return answer;
}

/* Queues a response with a JSON body, which it releases. */
static enum MHD_Result
respond(struct MHD_Connection *connection, unsigned status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    json_decref(body);
    (void)MHD_add_response_header(response, "Content-Type",
                                  "application/json");
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

/* Collects the body of a request. Returns true when it is complete. */
static bool
collect(const char *upload, size_t *size, void **state)
{
    if (*state == NULL) {
        *state = g_string_new(NULL);
        return false;
    }
    if (*size > 0) {
        (void)g_string_append_len(*state, upload, (gssize)*size);
        *size = 0;
        return false;
    }
    return true;
}

/* Frees the body of a request. */
static void
end_request(void *context, struct MHD_Connection *connection, void **state,
            enum MHD_RequestTerminationCode code)
{
    (void)context;
    (void)connection;
    (void)code;
    if (*state != NULL) {
        (void)g_string_free(*state, TRUE);
        *state = NULL;
    }
}

/* Handles a call to an executor, on a thread of the connection. */
static enum MHD_Result
handle_call(void *context, struct MHD_Connection *connection, const char *path,
            const char *method, const char *version, const char *upload,
            size_t *size, void **state)
{
    executor_t *executor = context;
    unsigned status = 200;
    (void)method;
    (void)version;
    if (!collect(upload, size, state)) {
        return MHD_YES;
    }
    const char *expected = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, "Magnoliabarrow-Expected-Instance");
    json_t *body = json_loads(((GString *)*state)->str, 0, NULL);
    json_t *answer = NULL;
    g_mutex_lock(&lock);
    if (executor->up && expected != NULL &&
        strcmp(expected, executor->fields[2]) != 0) {
        status = 421;
        answer =
            json_pack("{s:I}", "clock_ms", (json_int_t)clock_ms(executor));
    }
    else if (executor->up) {
        answer = carry_out(executor, path, body, &status);
    }
    g_mutex_unlock(&lock);
    json_decref(body);
    return answer == NULL ? MHD_NO : respond(connection, status, answer);
}

/* Starts a server for `handle`. Exits if the address can't be used. */
static struct MHD_Daemon *
start_server(const char *address, MHD_AccessHandlerCallback handle,
             void *context)
{
    g_auto(GStrv) parts = g_strsplit(address, ":", 2);
    struct sockaddr_in to = {.sin_family = AF_INET};
    (void)inet_pton(AF_INET, parts[0], &to.sin_addr);
    to.sin_port = htons((uint16_t)strtoul(parts[1], NULL, 10));
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
        NULL, NULL, handle, context, MHD_OPTION_SOCK_ADDR, &to,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_NOTIFY_COMPLETED,
        end_request, NULL, MHD_OPTION_END);
    if (daemon == NULL) {
        (void)fprintf(stderr, "standin-site: cannot listen on %s\n", address);
        exit(2);
    }
    return daemon;
}

/* Starts a life of an executor, with the lock held. */
static void
boot(executor_t *executor)
{
    executor->life++;
    executor->born = stamp_ms();
    executor->up_ms = now_ms();
    executor->back_ms = 0;
    executor->lease_end_ms = 0;
    executor->token = 0;
    executor->last_end = 0;
    executor->runs = g_ptr_array_new_with_free_func(free_run);
    executor->ends = g_ptr_array_new_with_free_func(free_end);
    executor->last_run =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    executor->up = true;
    (void)fprintf(record, "%lld up executor=%s life=%d kind=%s\n", stamp_ms(),
                  executor->fields[2], executor->life, executor->kind);
    (void)fflush(record);
}

/* Ends a life of an executor: what runs is lost without an end, and the
   connections are closed. Called with the lock held, which is given up
   meanwhile. */
static void
crash(executor_t *executor, double down_ms, const char *kind)
{
    if (!executor->up) {
        return;
    }
    struct MHD_Daemon *daemon = executor->daemon;
    GPtrArray *lost = executor->runs;
    executor->up = false;
    executor->daemon = NULL;
    executor->leaving = true;
    (void)fprintf(record, "%lld crash executor=%s life=%d runs=%u\n",
                  stamp_ms(), executor->fields[2], executor->life, lost->len);
    (void)fflush(record);
    for (guint i = 0; i < lost->len; i++) {
        const run_t *run = g_ptr_array_index(lost, i);
        (void)fprintf(record,
                      "%lld lost executor=%s life=%d task=%s "
                      "run=%lld\n",
                      stamp_ms(), executor->fields[2], executor->life,
                      run->task, run->number);
        if (run->work.gang > 0) {
            break_gang(run->task, run->number, "broken");
        }
    }
    g_mutex_unlock(&lock);
    MHD_stop_daemon(daemon);
    g_mutex_lock(&lock);
    executor->leaving = false;
    executor->back_ms = down_ms > 0 ? now_ms() + down_ms : 0;
    if (kind != NULL && *kind != '\0') {
        g_free(executor->kind);
        executor->kind = g_strdup(kind);
    }
}

/* Handles a command. */
static enum MHD_Result
handle_command(void *context, struct MHD_Connection *connection,
               const char *path, const char *method, const char *version,
               const char *upload, size_t *size, void **state)
{
    (void)context;
    (void)method;
    (void)version;
    if (!collect(upload, size, state)) {
        return MHD_YES;
    }
    const char *index =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "i");
    const char *down = MHD_lookup_connection_value(
        connection, MHD_GET_ARGUMENT_KIND, "down_ms");
    const char *kind =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "kind");
    g_mutex_lock(&lock);
    if (strcmp(path, "/crash") == 0 && index != NULL) {
        crash(&executors[strtol(index, NULL, 10) % EXECUTORS_MAX],
              down == NULL ? 0 : strtod(down, NULL), kind);
    }
    quit = quit || strcmp(path, "/quit") == 0;
    g_mutex_unlock(&lock);
    return respond(connection, 200, json_object());
}

/* Sends one heartbeat of an executor. */
static void
send_heartbeat(CURL *easy, char **fields, const char *kind, long long born,
               long long clock, long long sequence)
{
    g_autofree char *url = g_strdup_printf(
        "http://%s/api/Instances.Heartbeat/%s", fields[1], fields[2]);
    json_t *body = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
        "service", "order-desk", "address", fields[0], "zone", "lisboa-a",
        "version", "v1", "slots", 8, "state", "ready", "cold_remaining_ms", 0,
        "capacity", "cpu", (int)strtol(fields[5], NULL, 10), "memory_limit_mb",
        (int)strtol(fields[6], NULL, 10), "gpu", 0, "labels", kind, fields[4],
        "clock_ms", (json_int_t)clock, "born", (json_int_t)born, "sequence",
        (json_int_t)sequence);
    char *text = json_dumps(body, JSON_COMPACT);
    struct curl_slist *headers =
        curl_slist_append(NULL, "Content-Type: application/json");
    (void)curl_easy_setopt(easy, CURLOPT_URL, url);
    (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS, text);
    (void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    (void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 1000L);
    (void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, stderr);
    long status = 0;
    if (curl_easy_perform(easy) == CURLE_OK) {
        (void)curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    }
    g_mutex_lock(&lock);
    (void)fprintf(record,
                  "%lld heartbeat executor=%s kind=%s sequence=%lld "
                  "status=%ld\n",
                  stamp_ms(), fields[2], kind, sequence, status);
    g_mutex_unlock(&lock);
    curl_slist_free_all(headers);
    free(text);
    json_decref(body);
}

/* Thread of an executor that sends its heartbeats: the first one right after
   its start, then one each HEARTBEAT_MS. */
static gpointer
run_heartbeats(gpointer context)
{
    executor_t *executor = context;
    CURL *easy = curl_easy_init();
    int life = 0;
    long long sequence = 0;
    double due_ms = 0;
    for (;;) {
        g_mutex_lock(&lock);
        bool up = executor->up;
        if (up && executor->life != life) {
            life = executor->life;
            sequence = 0;
            due_ms = 0;
        }
        g_autofree char *kind = g_strdup(executor->kind);
        long long born = executor->born;
        long long clock = up ? clock_ms(executor) : 0;
        g_mutex_unlock(&lock);
        if (up && now_ms() >= due_ms) {
            due_ms = now_ms() + HEARTBEAT_MS;
            send_heartbeat(easy, executor->fields, kind, born, clock,
                           ++sequence);
        }
        (void)usleep(POLL_US);
    }
    return NULL;
}

/* Starts the executors again whose time away is over. */
static void
boot_due(void)
{
    for (int e = 0; e < executor_count; e++) {
        executor_t *executor = &executors[e];
        if (!executor->up && !executor->leaving && executor->back_ms > 0 &&
            now_ms() >= executor->back_ms) {
            executor->daemon =
                start_server(executor->fields[0], handle_call, executor);
            boot(executor);
        }
    }
}

/* Adds an executor from its argument. */
static void
add_executor(const char *argument)
{
    executor_t *executor = &executors[executor_count];
    executor->index = executor_count++;
    executor->fields = g_strsplit(argument, ",", 7);
    if (g_strv_length(executor->fields) != 7) {
        (void)fprintf(stderr, "standin-site: bad executor %s\n", argument);
        exit(2);
    }
    executor->kind = g_strdup(executor->fields[3]);
    executor->daemon =
        start_server(executor->fields[0], handle_call, executor);
    boot(executor);
    (void)g_thread_new("heartbeats", run_heartbeats, executor);
}

int
main(int argc, char **argv)
{
    if (argc < 6 || strcmp(argv[1], "-l") != 0 || strcmp(argv[3], "-r") != 0 ||
        argc - 5 > EXECUTORS_MAX) {
        (void)fprintf(stderr, "usage: standin-site -l CONTROL -r RECORD "
                              "ADDRESS,AGENT,ID,KIND,RACK,CPU,MEMORY ...\n");
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    record = fopen(argv[4], "a");
    if (record == NULL) {
        (void)fprintf(stderr, "standin-site: cannot write %s\n", argv[4]);
        return 2;
    }
    for (int i = 5; i < argc; i++) {
        g_mutex_lock(&lock);
        add_executor(argv[i]);
        g_mutex_unlock(&lock);
    }
    (void)start_server(argv[2], handle_command, NULL);
    double last_ms = now_ms();
    for (;;) {
        (void)usleep(POLL_US);
        g_mutex_lock(&lock);
        double time_ms = now_ms();
        advance_all(time_ms - last_ms);
        last_ms = time_ms;
        boot_due();
        if (quit) {
            return 0;
        }
        g_mutex_unlock(&lock);
    }
}
