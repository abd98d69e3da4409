/* bench_client: sends a number of GET requests over keep-alive connections and
   prints throughput and exact percentiles of the latency. With a rate,
   requests are due at fixed times and their latency counts from then, so that
   a slow server does not hide its delays by slowing the client down
   (coordinated omission). */
#include <argtable2.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <time.h>

#include "mb_cleanup.h"
#include "mb_link.h"
#include "mb_settings.h"

#define NS_PER_S 1000000000u
#define RESPONSE_MAX 8192
#define THREADS_MAX 16
#define EVENTS_MAX 64

/* The parameters of all threads. */
typedef struct plan {
    uint32_t ip;
    uint16_t port;
    mb_buf_t request;
    uint64_t rate_per_s;  /* of one thread; 0: without delay */
    uint64_t requests;    /* of one thread */
    uint32_t connections; /* of one thread */
} plan_t;

/* One connection. */
typedef struct connection {
    int fd;
    uint64_t due_ns; /* when its last request was due */
    size_t received; /* bytes of the response so far */
    char response[RESPONSE_MAX];
} connection_t;

/* One thread with its connections and results. */
typedef struct client {
    const plan_t *plan;
    pthread_t thread;
    int epoll_fd;
    int timer_fd;
    connection_t *connections;
    uint32_t *idle; /* indexes of connections without a request */
    uint32_t idle_count;
    uint64_t *latency_ns; /* of each finished request */
    uint64_t started;
    uint64_t finished;
    uint64_t errors; /* responses other than 200 */
    uint64_t begin_ns;
    uint64_t end_ns;
} client_t;

/* Returns the monotonic time in nanoseconds. */
static uint64_t
now_ns(void)
{
    struct timespec now;
    (void)clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

/* Ends the program with an error: a measurement is not valid when a connection
   fails. */
static void
exit_with_error(const char *reason)
{
    (void)fprintf(stderr, "bench_client: %s: %s\n", reason, strerror(errno));
    exit(1);
}

/* Returns the time at which the next request is due. */
static uint64_t
next_due(const client_t *client)
{
    uint64_t rate = client->plan->rate_per_s;
    return rate == 0 ? now_ns()
                     : client->begin_ns + client->started * NS_PER_S / rate;
}

/* Sends a request on an idle connection, of which there must be one. */
static void
send_request(client_t *client, uint64_t due_ns)
{
    uint32_t index = client->idle[--client->idle_count];
    connection_t *connection = &client->connections[index];
    mb_str_t request = mb_buf_view(&client->plan->request);
    connection->due_ns = due_ns;
    connection->received = 0;
    client->started++;
    if (send(connection->fd, request.data, request.len, MSG_NOSIGNAL) !=
        (ssize_t)request.len) {
        exit_with_error("send");
    }
}

/* Sends the requests that are due while connections are idle, and sets the
   timer for the next one. */
static void
send_due(client_t *client)
{
    uint64_t due_ns = 0;
    while (client->started < client->plan->requests &&
           client->idle_count > 0) {
        due_ns = next_due(client);
        if (due_ns > now_ns()) {
            struct itimerspec when = {.it_value = {(time_t)(due_ns / NS_PER_S),
                                                   (long)(due_ns % NS_PER_S)}};
            (void)timerfd_settime(client->timer_fd, TFD_TIMER_ABSTIME, &when,
                                  NULL);
            return;
        }
        send_request(client, due_ns);
    }
}

/* Returns the length of the whole response, or 0 while its head is not
   complete. */
static size_t
response_length(connection_t *connection)
{
    connection->response[connection->received] = '\0';
    const char *end = strstr(connection->response, "\r\n\r\n");
    const char *length = strcasestr(connection->response, "content-length:");
    if (end == NULL || length == NULL) {
        return 0;
    }
    return (size_t)(end + 4 - connection->response) +
           strtoul(length + strlen("content-length:"), NULL, 10);
}

/* Reads from a connection and finishes its request when it is complete. */
static void
receive(client_t *client, uint32_t index)
{
    connection_t *connection = &client->connections[index];
    ssize_t count =
        recv(connection->fd, connection->response + connection->received,
             RESPONSE_MAX - 1 - connection->received, 0);
    if (count <= 0) {
        exit_with_error("receive");
    }
    connection->received += (size_t)count;
    size_t length = response_length(connection);
    if (length == 0 || connection->received < length) {
        return;
    }
    client->latency_ns[client->finished++] = now_ns() - connection->due_ns;
    client->errors += strncmp(connection->response, "HTTP/1.1 200", 12) != 0;
    client->idle[client->idle_count++] = index;
}

/* Opens one connection. */
static void
open_connection(client_t *client, uint32_t index)
{
    struct epoll_event event = {.events = EPOLLIN, .data.u32 = index};
    int fd = mb_tcp_connect(client->plan->ip, client->plan->port, NULL);
    if (fd < 0 ||
        epoll_ctl(client->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0) {
        exit_with_error("connect");
    }
    client->connections[index].fd = fd;
    client->idle[client->idle_count++] = index;
}

/* Waits up to 1 s for each connection until it is established. */
static void
wait_connected(const client_t *client)
{
    for (uint32_t i = 0; i < client->plan->connections; i++) {
        struct timespec pause = {0, 1000000};
        struct sockaddr_storage peer;
        socklen_t size = sizeof(peer);
        int tries = 0;
        while (getpeername(client->connections[i].fd, (struct sockaddr *)&peer,
                           &size) != 0) {
            if (++tries == 1000) {
                exit_with_error("connect");
            }
            (void)nanosleep(&pause, NULL);
        }
    }
}

/* Sends all requests of one thread and receives the responses. */
static void *
run_client(void *context)
{
    client_t *client = context;
    struct epoll_event events[EVENTS_MAX];
    client->begin_ns = now_ns();
    send_due(client);
    while (client->finished < client->plan->requests) {
        int count = epoll_wait(client->epoll_fd, events, EVENTS_MAX, 10000);
        if (count <= 0) {
            exit_with_error("no answer within 10 s");
        }
        for (int i = 0; i < count; i++) {
            uint64_t expirations;
            if (events[i].data.u32 == UINT32_MAX) {
                (void)!read(client->timer_fd, &expirations, 8);
            }
            else {
                receive(client, events[i].data.u32);
            }
        }
        send_due(client);
    }
    client->end_ns = now_ns();
    return NULL;
}

/* Initializes one thread and opens its connections. */
static void
prepare_client(client_t *client, const plan_t *plan)
{
    struct epoll_event event = {.events = EPOLLIN, .data.u32 = UINT32_MAX};
    client->plan = plan;
    client->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    client->timer_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK);
    client->connections = g_new0(connection_t, plan->connections);
    client->idle = g_new0(uint32_t, plan->connections);
    client->latency_ns = g_new0(uint64_t, plan->requests);
    (void)epoll_ctl(client->epoll_fd, EPOLL_CTL_ADD, client->timer_fd, &event);
    for (uint32_t i = 0; i < plan->connections; i++) {
        open_connection(client, i);
    }
    wait_connected(client);
}

/* Orders latencies for qsort. */
static int
compare_u64(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    return (left > right) - (left < right);
}

/* Prints the results of all threads and frees them; false when a response was
   not 200. */
static bool
print_results(client_t *clients, uint32_t threads, const plan_t *plan)
{
    uint64_t total = threads * plan->requests;
    uint64_t *all = g_new(uint64_t, total);
    uint64_t errors = 0;
    double throughput = 0;
    for (uint32_t i = 0; i < threads; i++) {
        client_t *client = &clients[i];
        memcpy(all + i * plan->requests, client->latency_ns,
               plan->requests * sizeof(*all));
        errors += client->errors;
        throughput += (double)plan->requests * NS_PER_S /
                      (double)(client->end_ns - client->begin_ns);
        g_free(client->connections);
        g_free(client->idle);
        g_free(client->latency_ns);
    }
    qsort(all, total, sizeof(*all), compare_u64);
    (void)printf("requests %llu\nerrors %llu\nthroughput_per_s %.0f\n",
                 (unsigned long long)total, (unsigned long long)errors,
                 throughput);
    (void)printf("p50_us %.1f\np99_us %.1f\nmax_us %.1f\n",
                 (double)all[total / 2] / 1e3,
                 (double)all[total * 99 / 100] / 1e3,
                 (double)all[total - 1] / 1e3);
    g_free(all);
    return errors == 0;
}

/* Runs all threads; returns the exit code. */
static int
run_plan(const plan_t *plan, uint32_t threads)
{
    static client_t clients[THREADS_MAX];
    for (uint32_t i = 0; i < threads; i++) {
        prepare_client(&clients[i], plan);
    }
    for (uint32_t i = 0; i < threads; i++) {
        if (pthread_create(&clients[i].thread, NULL, run_client,
                           &clients[i]) != 0) {
            exit_with_error("thread");
        }
    }
    for (uint32_t i = 0; i < threads; i++) {
        (void)pthread_join(clients[i].thread, NULL);
    }
    return print_results(clients, threads, plan) ? 0 : 1;
}

/* Returns the value of a number option, or its default. */
static uint64_t
get_number(const struct arg_int *option, uint64_t fallback)
{
    return option->count > 0 ? (uint64_t)option->ival[0] : fallback;
}

int
main(int argc, char **argv)
{
    struct arg_str *address = arg_str1("a", "address", "IPv4:port", "server");
    struct arg_str *path = arg_str0("p", "path", "PATH", "default /");
    struct arg_int *count = arg_int0("n", "requests", "N", "default 10000");
    struct arg_int *open = arg_int0("c", "connections", "N", "default 8");
    struct arg_int *threads = arg_int0("t", "threads", "N", "default 1");
    struct arg_int *rate = arg_int0("r", "rate", "N", "per second; 0: no gap");
    struct arg_end *end = arg_end(8);
    void *table[] = {address, path, count, open, threads, rate, end};
    plan_t plan = {0};
    if (arg_parse(argc, argv, table) > 0 ||
        !mb_address_parse(mb_str_from_cstr(address->sval[0]), &plan.ip,
                          &plan.port)) {
        arg_print_errors(stderr, end, "bench_client");
        return 2;
    }
    uint32_t thread_count = (uint32_t)get_number(threads, 1);
    if (thread_count < 1 || thread_count > THREADS_MAX) {
        (void)fprintf(stderr, "bench_client: 1 to %d threads\n", THREADS_MAX);
        return 2;
    }
    plan.requests = get_number(count, 10000) / thread_count;
    plan.connections = (uint32_t)get_number(open, 8) / thread_count;
    plan.rate_per_s = get_number(rate, 0) / thread_count;
    if (plan.requests == 0 || plan.connections == 0) {
        (void)fprintf(stderr, "bench_client: one request and connection per "
                              "thread at least\n");
        return 2;
    }
    mb_buf_printf(&plan.request, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
                  path->count > 0 ? path->sval[0] : "/", address->sval[0]);
    return run_plan(&plan, thread_count);
}
