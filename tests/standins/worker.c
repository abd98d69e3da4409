/* standin-worker: takes the place of a worker of the platform. Serves
   POST /v1/sync, simulates tasks by timers and writes a journal of every start
   and stop. The command of a task is "sleep MS", with the options "fail" (ends
   with exit code 1) and "checkpoint-every MS". Faults are injected by
   POST /control/NAME/VALUE:
     fail/1              fail all tasks (0: no longer)
     ignore-throttles/1  run throttled tasks at full speed (0: no longer)
     pause/MS            do nothing for MS milliseconds, not even answer */
#include <argtable2.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "mb_cleanup.h"
#include "mb_clock.h"
#include "mb_http_server.h"
#include "mb_rng.h"
#include "mb_settings.h"
#include "mb_worker_msg.h"

/* Exit code of a task that failed. */
#define EXIT_FAILED 1
/* Maximum wait of the timer thread, in microseconds. */
#define TIMER_MAX_US (100 * MB_US_PER_MS)
/* Initial size of the memory zone for decoding, in bytes. */
#define ZONE_BYTES 8192

/* An attempt that runs, or that ended and is not acknowledged yet. */
typedef struct task {
    mb_attempt_t id;
    mb_size_t size;
    bool finished;
    bool fails;
    uint32_t exit_code;
    uint64_t length_us;        /* duration of the task at full speed */
    uint64_t base_progress_us; /* progress at `base_time_us` */
    uint64_t base_time_us; /* when the task was started or last throttled */
    /* Period of checkpoints; 0: only on request. */
    uint64_t checkpoint_period_us;
    /* When the task was started or wrote its last periodic checkpoint. */
    uint64_t last_checkpoint_us;
    uint32_t speed_percent; /* of full speed */
    char checkpoint[32];    /* progress in milliseconds, as text */
    size_t checkpoint_len;
} task_t;

typedef struct worker {
    pthread_mutex_t lock;
    pthread_cond_t changed; /* wakes the timer thread */
    mb_clock_t clock;
    const char *name; /* in the journal */
    FILE *journal;    /* NULL: none */
    mb_size_t capacity;
    mb_size_t used; /* sum of the sizes of running tasks */
    uint64_t incarnation;
    uint64_t token;        /* highest fencing token received */
    uint64_t lease_end_us; /* 0: no lease */
    uint64_t paused_until_us;
    uint32_t usage_delay_ms; /* delay until the usage of a task is reported */
    bool fail_all;
    bool ignore_throttles;
    bool stopping;
    uint32_t count; /* number of tasks */
    task_t tasks[MB_SYNC_LIST_MAX];
    mb_sync_request_t request;   /* memory for decoding */
    mb_sync_response_t response; /* memory for encoding */
} worker_t;

/* Writes an event to the journal. The time is that of CLOCK_MONOTONIC in
   microseconds, which is the same for all workers on one machine, so that a
   checker can compare their journals. */
static void
write_event(worker_t *worker, const char *event, const task_t *task,
            const char *reason)
{
    if (worker->journal == NULL) {
        return;
    }
    (void)fprintf(worker->journal,
                  "%llu %s %s task=%016llx/%u attempt=%u cpu_milli=%u "
                  "memory_mb=%u accelerators=%u incarnation=%016llx "
                  "checkpoint=%.*s reason=%s\n",
                  (unsigned long long)mb_clock_us(&worker->clock),
                  worker->name, event, (unsigned long long)task->id.task.job,
                  task->id.task.index, task->id.attempt, task->size.cpu_milli,
                  task->size.memory_mb, task->size.accelerators,
                  (unsigned long long)worker->incarnation,
                  (int)task->checkpoint_len, task->checkpoint, reason);
    (void)fflush(worker->journal);
}

/* Returns the progress of a running task, as time at full speed. */
static uint64_t
progress_us(const task_t *task, uint64_t now)
{
    uint64_t done = task->base_progress_us +
                    (now - task->base_time_us) * task->speed_percent / 100;
    return done < task->length_us ? done : task->length_us;
}

/* Sets the checkpoint of a task to its progress. */
static void
update_checkpoint(task_t *task, uint64_t now)
{
    int len =
        snprintf(task->checkpoint, sizeof(task->checkpoint), "%llu",
                 (unsigned long long)(progress_us(task, now) / MB_US_PER_MS));
    task->checkpoint_len = (size_t)len;
}

/* Ends a task. Its result is kept until it is acknowledged. */
static void
end_task(worker_t *worker, task_t *task, uint32_t exit_code,
         const char *reason)
{
    task->finished = true;
    task->exit_code = exit_code;
    mb_size_subtract(&worker->used, &task->size);
    write_event(worker, "stop", task, reason);
}

/* Stops and forgets all tasks because the lease has expired. The new
   incarnation tells the owner that none of its tasks run any more, and delayed
   starts for the previous one are ignored. */
static void
expire_lease(worker_t *worker, uint64_t now)
{
    mb_rng_t rng = mb_rng_system();
    for (uint32_t i = 0; i < worker->count; i++) {
        if (!worker->tasks[i].finished) {
            update_checkpoint(&worker->tasks[i], now);
            end_task(worker, &worker->tasks[i], MB_EXIT_STOPPED, "lapse");
        }
    }
    worker->count = 0;
    worker->lease_end_us = 0;
    worker->incarnation = mb_rng_next(&rng) | 1;
}

/* Ends a task or writes its periodic checkpoint if that is due. */
static void
advance_task(worker_t *worker, task_t *task, uint64_t now)
{
    if (task->finished) {
        return;
    }
    if (worker->fail_all) {
        end_task(worker, task, EXIT_FAILED, "fail-all");
        return;
    }
    if (progress_us(task, now) >= task->length_us) {
        end_task(worker, task, task->fails ? EXIT_FAILED : 0, "end");
    }
    else if (task->checkpoint_period_us > 0 &&
             (now - task->last_checkpoint_us) / task->checkpoint_period_us >
                 0) {
        task->last_checkpoint_us = now;
        update_checkpoint(task, now);
    }
}

/* Brings the worker up to the present time. The expiry of the lease is checked
   first, so that no task completes after it. */
static void
advance(worker_t *worker)
{
    uint64_t now = mb_clock_us(&worker->clock);
    if (worker->lease_end_us != 0 && now >= worker->lease_end_us) {
        expire_lease(worker, now);
    }
    for (uint32_t i = 0; i < worker->count; i++) {
        advance_task(worker, &worker->tasks[i], now);
    }
}

/* Parses the command of a task. Unknown words are ignored. */
static void
parse_command(task_t *task, mb_str_t command)
{
    mb_str_t rest = command;
    mb_str_t word;
    uint64_t *target = NULL;
    while (mb_str_split(&rest, ' ', &word)) {
        uint64_t number;
        if (target != NULL && mb_str_to_u64(word, &number)) {
            *target = number * MB_US_PER_MS;
            target = NULL;
        }
        else if (mb_str_equal(word, MB_STR_LIT("sleep"))) {
            target = &task->length_us;
        }
        else if (mb_str_equal(word, MB_STR_LIT("checkpoint-every"))) {
            target = &task->checkpoint_period_us;
        }
        else if (mb_str_equal(word, MB_STR_LIT("fail"))) {
            task->fails = true;
        }
    }
}

/* Returns an attempt of a task, or NULL if there is none. `attempt` 0 matches
   any running attempt. */
static task_t *
find_task(worker_t *worker, mb_task_id_t id, uint32_t attempt)
{
    for (uint32_t i = 0; i < worker->count; i++) {
        task_t *task = &worker->tasks[i];
        if (mb_task_id_equal(task->id.task, id) &&
            (attempt == 0 ? !task->finished : task->id.attempt == attempt)) {
            return task;
        }
    }
    return NULL;
}

/* Starts a task, from its checkpoint if there is one, unless this attempt is
   known. A start that exceeds the capacity is an error of the owner: it is
   refused and written to the journal. */
static void
start_task(worker_t *worker, const mb_sync_start_t *start, uint64_t now)
{
    uint64_t done_ms = 0;
    mb_size_t sum = worker->used;
    if (find_task(worker, start->id.task, start->id.attempt) != NULL ||
        worker->count == MB_SYNC_LIST_MAX) {
        return;
    }
    task_t *task = &worker->tasks[worker->count];
    *task = (task_t){.id = start->id,
                     .size = start->size,
                     .base_time_us = now,
                     .last_checkpoint_us = now,
                     .speed_percent = 100};
    parse_command(task, start->command);
    if (mb_str_to_u64(start->checkpoint, &done_ms)) {
        task->base_progress_us = done_ms * MB_US_PER_MS;
        update_checkpoint(task, now);
    }
    mb_size_add(&sum, &start->size);
    if (!mb_size_fits(&sum, &worker->capacity)) {
        write_event(worker, "refuse", task, "capacity");
        return;
    }
    worker->used = sum;
    worker->count++;
    write_event(worker, "start", task, "sync");
}

/* Applies the acknowledgements, stops and throttles of a request. */
static void
apply_controls(worker_t *worker, const mb_sync_request_t *in, uint64_t now)
{
    for (uint32_t i = 0; i < in->ack_count; i++) {
        task_t *task =
            find_task(worker, in->acks[i].task, in->acks[i].attempt);
        if (task != NULL && task->finished) {
            *task = worker->tasks[--worker->count];
        }
    }
    for (uint32_t i = 0; i < in->stop_count; i++) {
        task_t *task =
            find_task(worker, in->stops[i].id.task, in->stops[i].id.attempt);
        if (task != NULL && !task->finished) {
            if (in->stops[i].checkpoint) {
                update_checkpoint(task, now);
            }
            end_task(worker, task, MB_EXIT_STOPPED, "asked");
        }
    }
    for (uint32_t i = 0; !worker->ignore_throttles && i < in->throttle_count;
         i++) {
        task_t *task = find_task(worker, in->throttles[i].task, 0);
        if (task != NULL) {
            task->base_progress_us = progress_us(task, now);
            task->base_time_us = now;
            task->speed_percent = in->throttles[i].percent;
        }
    }
}

/* Applies a request whose fencing token is not lower than the highest one
   received. Starts for another incarnation are ignored. */
static void
apply_request(worker_t *worker, const mb_sync_request_t *in)
{
    uint64_t now = mb_clock_us(&worker->clock);
    worker->token = in->token;
    if (in->lease_ms > 0) {
        worker->lease_end_us = now + (uint64_t)in->lease_ms * MB_US_PER_MS;
    }
    apply_controls(worker, in, now);
    for (uint32_t i = 0;
         in->incarnation == worker->incarnation && i < in->start_count; i++) {
        start_task(worker, &in->starts[i], now);
    }
}

/* Adds the usage of a running task to the response, unless the task was
   started or throttled less than `usage_delay_ms` ago: measurements take that
   long. */
static void
add_usage(worker_t *worker, const task_t *task, uint64_t now)
{
    mb_sync_response_t *out = &worker->response;
    if (now - task->base_time_us < worker->usage_delay_ms * MB_US_PER_MS) {
        return;
    }
    out->usage[out->usage_count++] = (mb_usage_t){
        .task = task->id.task,
        .cpu_milli = task->size.cpu_milli * task->speed_percent / 100,
        .memory_mb = task->size.memory_mb};
}

/* Sets the response to the state of the worker. */
static void
fill_response(worker_t *worker)
{
    mb_sync_response_t *out = &worker->response;
    uint64_t now = mb_clock_us(&worker->clock);
    out->incarnation = worker->incarnation;
    out->highest_token = worker->token;
    out->running_count = 0;
    out->finished_count = 0;
    out->usage_count = 0;
    for (uint32_t i = 0; i < worker->count; i++) {
        const task_t *task = &worker->tasks[i];
        if (task->finished) {
            out->finished[out->finished_count++] =
                (mb_sync_finished_t){task->id,
                                     task->exit_code,
                                     {task->checkpoint, task->checkpoint_len}};
            continue;
        }
        out->running[out->running_count++] = task->id;
        add_usage(worker, task, now);
    }
}

/* Blocks while the worker is paused. The lock is held by the caller and
   released meanwhile. */
static void
wait_while_paused(worker_t *worker)
{
    uint64_t now = mb_clock_us(&worker->clock);
    while (now < worker->paused_until_us) {
        uint64_t left = worker->paused_until_us - now;
        (void)pthread_mutex_unlock(&worker->lock);
        (void)usleep((useconds_t)left);
        (void)pthread_mutex_lock(&worker->lock);
        now = mb_clock_us(&worker->clock);
    }
}

/* Answers a sync request. One with an old fencing token changes nothing, but
   is answered with the state. The lock is held by the caller. */
static void
answer_sync(worker_t *worker, mb_http_exchange_t *exchange, mb_buf_t *body)
{
    mb_headers_t headers = {.count = 0};
    msgpack_zone zone;
    if (!msgpack_zone_init(&zone, ZONE_BYTES)) {
        mb_http_respond(exchange, 503, &headers, MB_STR_EMPTY);
        return;
    }
    if (!mb_worker_msg_decode_request(&zone, mb_http_body(exchange),
                                      &worker->request, NULL)) {
        mb_http_respond(exchange, 400, &headers, MB_STR_EMPTY);
    }
    else {
        if (worker->request.token >= worker->token) {
            apply_request(worker, &worker->request);
            advance(worker);
        }
        fill_response(worker);
        mb_worker_msg_encode_response(body, &worker->response);
        mb_http_respond(exchange, 200, &headers, mb_buf_view(body));
    }
    msgpack_zone_destroy(&zone);
}

/* Sets a fault from a path /control/NAME/VALUE. Returns false for any other
   path. */
static bool
set_fault(worker_t *worker, mb_str_t uri)
{
    mb_str_t rest = uri;
    mb_str_t part[4] = {{0}};
    uint64_t value;
    for (int i = 0; i < 4; i++) {
        (void)mb_str_split(&rest, '/', &part[i]);
    }
    if (!mb_str_equal(part[1], MB_STR_LIT("control")) ||
        !mb_str_to_u64(part[3], &value)) {
        return false;
    }
    if (mb_str_equal(part[2], MB_STR_LIT("fail"))) {
        worker->fail_all = value != 0;
    }
    else if (mb_str_equal(part[2], MB_STR_LIT("ignore-throttles"))) {
        worker->ignore_throttles = value != 0;
    }
    else if (mb_str_equal(part[2], MB_STR_LIT("pause"))) {
        worker->paused_until_us =
            mb_clock_us(&worker->clock) + value * MB_US_PER_MS;
    }
    else {
        return false;
    }
    return true;
}

/* Handles a request on a thread of the server. */
static void
handle(void *context, mb_http_exchange_t *exchange)
{
    worker_t *worker = context;
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_headers_t headers = {.count = 0};
    mb_str_t uri = mb_http_uri(exchange);
    (void)pthread_mutex_lock(&worker->lock);
    wait_while_paused(worker);
    advance(worker);
    if (mb_str_equal(uri, MB_STR_LIT("/v1/sync"))) {
        answer_sync(worker, exchange, &body);
    }
    else {
        bool known = set_fault(worker, uri);
        mb_http_respond(exchange, known ? 200 : 404, &headers, MB_STR_EMPTY);
    }
    (void)pthread_cond_signal(&worker->changed);
    (void)pthread_mutex_unlock(&worker->lock);
}

/* Returns the time until the next task or the lease ends, in microseconds,
   between 1 ms and TIMER_MAX_US. */
static uint64_t
get_wait_us(const worker_t *worker, uint64_t now)
{
    uint64_t wait = TIMER_MAX_US;
    if (worker->lease_end_us > now) {
        wait = MIN(wait, worker->lease_end_us - now);
    }
    for (uint32_t i = 0; i < worker->count; i++) {
        const task_t *task = &worker->tasks[i];
        if (!task->finished && task->speed_percent > 0) {
            uint64_t left = task->length_us - progress_us(task, now);
            wait = MIN(wait, left * 100 / task->speed_percent);
        }
    }
    return MAX(wait, MB_US_PER_MS);
}

/* The timer thread: ends tasks and the lease when they are due. */
static void *
run_timers(void *context)
{
    worker_t *worker = context;
    (void)pthread_mutex_lock(&worker->lock);
    while (!worker->stopping) {
        struct timespec until;
        wait_while_paused(worker);
        advance(worker);
        uint64_t at = mb_clock_us(&worker->clock);
        at += get_wait_us(worker, at);
        until.tv_sec = (time_t)(at / MB_US_PER_S);
        until.tv_nsec = (long)(at % MB_US_PER_S) * 1000;
        (void)pthread_cond_timedwait(&worker->changed, &worker->lock, &until);
    }
    (void)pthread_mutex_unlock(&worker->lock);
    return NULL;
}

/* Initializes a worker, which must be zeroed. */
static void
init_worker(worker_t *worker)
{
    pthread_condattr_t attributes;
    mb_rng_t rng = mb_rng_system();
    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(&worker->changed, &attributes);
    (void)pthread_condattr_destroy(&attributes);
    (void)pthread_mutex_init(&worker->lock, NULL);
    worker->clock = mb_clock_monotonic();
    worker->incarnation = mb_rng_next(&rng) | 1;
}

/* Runs the worker until SIGTERM or SIGINT. Returns the exit code. */
static int
serve(worker_t *worker, const char *address)
{
    static mb_http_server_t server;
    g_autoptr(GError) error = NULL;
    pthread_t timers;
    sigset_t signals;
    int received;
    mb_http_server_config_t config = {.threads = 4,
                                      .max_connections = 64,
                                      .idle_timeout_s = 120,
                                      .handle = handle,
                                      .context = worker};
    if (!mb_address_parse(mb_str_from_cstr(address), &config.ip,
                          &config.port)) {
        (void)fprintf(stderr,
                      "standin-worker: the address must be IPv4:port\n");
        return 2;
    }
    (void)sigemptyset(&signals);
    (void)sigaddset(&signals, SIGTERM);
    (void)sigaddset(&signals, SIGINT);
    (void)pthread_sigmask(SIG_BLOCK, &signals, NULL);
    if (!mb_http_server_init(&server, &config, &error)) {
        (void)fprintf(stderr, "standin-worker: %s\n", error->message);
        return mb_kind_info(mb_error_kind(error))->exit_code;
    }
    (void)pthread_create(&timers, NULL, run_timers, worker);
    (void)sigwait(&signals, &received);
    (void)pthread_mutex_lock(&worker->lock);
    worker->stopping = true;
    (void)pthread_cond_signal(&worker->changed);
    (void)pthread_mutex_unlock(&worker->lock);
    (void)pthread_join(timers, NULL);
    mb_http_server_finish(&server);
    return 0;
}

/* Returns the value of an option, or `fallback` if it is not given. */
static uint32_t
get_option(const struct arg_int *option, uint32_t fallback)
{
    return option->count > 0 ? (uint32_t)option->ival[0] : fallback;
}

int
main(int argc, char **argv)
{
    static worker_t worker;
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_str *listen = arg_str1("l", "listen", "IPv4:port", "address");
    struct arg_str *name = arg_str0("n", "name", "NAME", "name in journal");
    struct arg_str *file = arg_str0("j", "journal", "FILE", "appended to");
    struct arg_int *cpu = arg_int0(NULL, "cpu-milli", "N", "default 16000");
    struct arg_int *memory = arg_int0(NULL, "memory-mb", "N", "61440");
    struct arg_int *devices = arg_int0(NULL, "accelerators", "N", "0");
    struct arg_int *lag = arg_int0(NULL, "usage-lag-ms", "N", "2000");
    struct arg_lit *fail = arg_lit0(NULL, "fail", "fail every task");
    struct arg_lit *ignore = arg_lit0(NULL, "ignore-throttles",
                                      "run throttled tasks at full speed");
    struct arg_end *end = arg_end(8);
    void *table[] = {help,    listen, name, file,   cpu, memory,
                     devices, lag,    fail, ignore, end};
    int errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        (void)printf("Usage: standin-worker");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-24s %s\n");
        return 0;
    }
    if (errors > 0) {
        arg_print_errors(stderr, end, "standin-worker");
        return 2;
    }
    init_worker(&worker);
    worker.name = name->count > 0 ? name->sval[0] : "worker";
    worker.journal = file->count > 0 ? fopen(file->sval[0], "a") : NULL;
    worker.capacity =
        (mb_size_t){get_option(cpu, 16000), get_option(memory, 61440),
                    get_option(devices, 0)};
    worker.usage_delay_ms = get_option(lag, 2000);
    worker.fail_all = fail->count > 0;
    worker.ignore_throttles = ignore->count > 0;
    return serve(&worker, listen->sval[0]);
}
