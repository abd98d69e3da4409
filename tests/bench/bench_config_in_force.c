/* Measures the time from a write at the API of one process until it is in
   force at another one. Arguments: the addresses of the two APIs, whose
   processes run already. */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mb_clock.h"
#include "mb_str.h"

#define WRITES 1000u
/* Time-out of one write, in microseconds. */
#define WAIT_MAX_US 10000000u

/* Parses the revision header of a response into `context`; a callback of
   libcurl. */
static size_t
parse_header(char *data, size_t size, size_t count, void *context)
{
    static const char name[] = "X-Magnoliabarrow-Revision:";
    size_t len = sizeof(name) - 1;
    if (size * count > len && strncmp(data, name, len) == 0) {
        mb_str_t value = {data + len, size * count - len};
        (void)mb_str_to_u64(mb_str_trim(value), context);
    }
    return size * count;
}

/* Discards the body of a response; a callback of libcurl. */
static size_t
discard_body(char *data, size_t size, size_t count, void *context)
{
    (void)data;
    (void)context;
    return size * count;
}

/* Sends a request; returns the revision in the response, 0 on failure.
   `method` is used with a `body`, GET without. */
static uint64_t
send_request(CURL *easy, const char *method, const char *url, const char *body)
{
    uint64_t revision = 0;
    long status = 0;
    curl_easy_reset(easy);
    (void)curl_easy_setopt(easy, CURLOPT_URL, url);
    (void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
    (void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 40000L);
    (void)curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, parse_header);
    (void)curl_easy_setopt(easy, CURLOPT_HEADERDATA, &revision);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_body);
    if (body != NULL) {
        (void)curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
        (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(easy) != CURLE_OK) {
        return 0;
    }
    (void)curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    return status == 200 ? revision : 0;
}

/* Writes at the first API and watches the second one until the write is in
   force there; returns the time in microseconds, UINT64_MAX on failure. */
static uint64_t
write_and_wait(CURL *writer, CURL *reader, char **argv, uint32_t i)
{
    mb_clock_t clock = mb_clock_monotonic();
    char url[256];
    char body[256];
    (void)snprintf(url, sizeof(url), "http://%s/v1/team/t%u", argv[1],
                   i % 100);
    (void)snprintf(body, sizeof(body),
                   "{\"spec\":{\"quota\":{},\"weight\":%u}}", i % 1000 + 1);
    uint64_t begin = mb_clock_us(&clock);
    uint64_t revision = send_request(writer, "PUT", url, body);
    uint64_t in_force = 0;
    if (revision == 0) {
        return UINT64_MAX;
    }
    (void)snprintf(url, sizeof(url), "http://%s/v1/watch?from=%lu", argv[2],
                   (unsigned long)revision);
    while (in_force < revision) {
        in_force = send_request(reader, "GET", url, NULL);
        if (mb_clock_us(&clock) > begin + WAIT_MAX_US) {
            return UINT64_MAX;
        }
    }
    return mb_clock_us(&clock) - begin;
}

/* Orders times for qsort. */
static int
compare(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return x < y ? -1 : x > y;
}

int
main(int argc, char **argv)
{
    static uint64_t times[WRITES];
    CURL *writer = curl_easy_init();
    CURL *reader = curl_easy_init();
    int code = 0;
    if (argc != 3) {
        (void)fprintf(stderr, "usage: bench_config_in_force API1 API2\n");
        return 2;
    }
    for (uint32_t i = 0; i < WRITES && code == 0; i++) {
        times[i] = write_and_wait(writer, reader, argv, i);
        code = times[i] == UINT64_MAX ? 1 : 0;
    }
    if (code == 0) {
        qsort(times, WRITES, sizeof(times[0]), compare);
        (void)printf("config_in_force_p50_ms %.3f ms\n",
                     (double)times[WRITES / 2] / 1000.0);
        (void)printf("config_in_force_p99_ms %.3f ms\n",
                     (double)times[WRITES * 99 / 100] / 1000.0);
    }
    else {
        (void)fprintf(stderr, "a write was not in force within 10 s\n");
    }
    curl_easy_cleanup(writer);
    curl_easy_cleanup(reader);
    return code;
}
