/* bench_slopes: measures points of the slopes in docs/CAPACITY.md, for frames,
   the routing table and resources. Prints "slope x y" lines:
   frame_bytes, frame_us      body bytes -> bytes of a frame, us to encode and
                              decode it
   publish_us, table_bytes    sidecars -> us to publish a version of the
                              routing table, bytes of targets and version
   resource_bytes             workers -> bytes of their resources in memory */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "mb_cleanup.h"
#include "mb_epoch.h"
#include "mb_frame.h"
#include "mb_route.h"

#define FRAMES 20000
#define PUBLICATIONS 400

/* Returns the monotonic time in microseconds. */
static double
now_us(void)
{
    struct timespec now;
    (void)clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Returns the bytes that are allocated on the heap. */
static double
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return (double)info.uordblks + (double)info.hblkhd;
}

/* Sets a request as browsers send it, with a path and six headers. */
static void
fill_request(mb_message_t *message, mb_str_t body)
{
    mb_request_t *request = &message->body.request;
    message->type = MB_MESSAGE_REQUEST;
    *request = (mb_request_t){
        .id = {UINT64_MAX / 3, UINT64_MAX / 5, 123456789},
        .deadline_ms = 200,
        .method = MB_STR_LIT("GET"),
        .path = MB_STR_LIT("/search?q=interference&page=2"),
        .body = body,
    };
    request->headers.count = 6;
    for (uint32_t i = 0; i < request->headers.count; i++) {
        request->headers.items[i] =
            (mb_header_t){MB_STR_LIT("X-Header-Name"),
                          MB_STR_LIT("a value of twenty-seven byte")};
    }
}

/* Measures bytes and time of one frame with a body of `size` bytes. */
static void
measure_frame(size_t size)
{
    MB_AUTO_BUF mb_buf_t out = {0};
    MB_AUTO_BUF mb_buf_t body = {0};
    mb_message_t message;
    mb_message_t decoded;
    mb_frame_decoder_t decoder;
    size_t consumed = 0;
    for (size_t i = 0; i < size; i++) {
        mb_buf_append_byte(&body, 'x');
    }
    fill_request(&message, mb_buf_view(&body));
    if (!mb_frame_decoder_init(&decoder)) {
        abort();
    }
    double begin = now_us();
    for (int i = 0; i < FRAMES; i++) {
        mb_buf_clear(&out);
        mb_frame_encode(&out, &message);
        if (mb_frame_decode(&decoder, mb_buf_view(&out), &consumed, &decoded,
                            NULL) != MB_FRAME_OK) {
            abort();
        }
    }
    (void)printf("frame_us %zu %.4f\n", size, (now_us() - begin) / FRAMES);
    (void)printf("frame_bytes %zu %zu\n", size, out.len);
    mb_frame_decoder_finish(&decoder);
}

/* Creates the target of a sidecar. */
static mb_target_t *
new_target(uint64_t process)
{
    return mb_target_new(MB_STR_LIT("search"), MB_STR_LIT("north-a"), process,
                         1, NULL, NULL);
}

/* Measures the publication of one version with `count` sidecars. */
static void
measure_publish(uint32_t count)
{
    mb_epoch_t epoch;
    mb_route_table_t route;
    mb_epoch_init(&epoch);
    double before = heap_bytes();
    mb_route_init(&route, &epoch);
    for (uint32_t i = 0; i < count; i++) {
        mb_target_t *target = new_target(i + 1);
        (void)mb_route_add(&route, target);
        mb_target_unref(target);
    }
    for (int i = 0; i < 4; i++) {
        mb_epoch_reclaim(&epoch);
    }
    double bytes = heap_bytes() - before;
    mb_target_t *extra = new_target(UINT64_MAX);
    double begin = now_us();
    for (int i = 0; i < PUBLICATIONS / 2; i++) {
        (void)mb_route_add(&route, extra);
        mb_route_remove(&route, extra);
    }
    (void)printf("publish_us %u %.2f\n", count,
                 (now_us() - begin) / PUBLICATIONS);
    (void)printf("table_bytes %u %.0f\n", count, bytes);
    mb_target_unref(extra);
    mb_epoch_finish(&epoch);
    mb_route_finish(&route);
}

/* Measures the memory of `count` worker resources. */
static void
measure_resources(uint32_t count)
{
    double before = heap_bytes();
    mb_resource_t *workers = calloc(count, sizeof(*workers));
    if (workers == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < count; i++) {
        mb_worker_t *worker = &workers[i].spec.worker;
        mb_resource_init(&workers[i], MB_RESOURCE_WORKER,
                         MB_STR_LIT("worker-00001"));
        mb_buf_set(&worker->address, MB_STR_LIT("10.100.100.100:9500"));
        mb_buf_set(&worker->region, MB_STR_LIT("north"));
        mb_buf_set(&worker->failure_domain, MB_STR_LIT("north-a"));
        mb_buf_set(&worker->rack, MB_STR_LIT("rack-0001"));
    }
    (void)printf("resource_bytes %u %.0f\n", count, heap_bytes() - before);
    for (uint32_t i = 0; i < count; i++) {
        mb_resource_finish(&workers[i]);
    }
    free(workers);
}

int
main(void)
{
    static const size_t bodies[] = {0, 1024, 4096, 16384, 65536};
    static const uint32_t sidecars[] = {16, 32, 64, 128, 256, 512};
    static const uint32_t workers[] = {1000, 4000, 11000, 23000};
    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        measure_frame(bodies[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(sidecars); i++) {
        measure_publish(sidecars[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(workers); i++) {
        measure_resources(workers[i]);
    }
    return 0;
}
