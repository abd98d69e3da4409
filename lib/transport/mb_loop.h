/* An event loop: one thread that waits in epoll for descriptors, a mailbox
   that any thread can post to, and a periodic tick. */
#ifndef MB_LOOP_H
#define MB_LOOP_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/epoll.h>

#include "mb_mailbox.h"

/* A descriptor that a loop watches; embedded by its owner, which must remove
   it before the descriptor is closed. */
typedef struct mb_loop_source {
    int fd;
    void (*ready)(void *context, uint32_t epoll_events);
    void *context;
} mb_loop_source_t;

/* Work posted to a loop's thread; `run` owns the task from then on. */
typedef struct mb_loop_task {
    mb_mail_t mail;
    void (*run)(struct mb_loop_task *task);
} mb_loop_task_t;

/* Work on the loop's thread after the events at hand, before the next wait;
   embedded by its owner, queued at most once. */
typedef struct mb_loop_deferred {
    void (*run)(void *context);
    void *context;
    struct mb_loop_deferred *next;
    bool queued;
} mb_loop_deferred_t;

typedef struct mb_loop {
    int epoll_fd;
    mb_mailbox_t mailbox;
    mb_loop_source_t mailbox_source;
    uint64_t stopping;
    uint32_t tick_ms;
    uint64_t next_tick_ms;
    void (*tick)(void *context);
    void *tick_context;
    mb_loop_deferred_t *deferred;
    /* Events taken from the kernel and not handed on yet. */
    struct epoll_event *pending_events;
    int pending_count;
    pthread_t thread;
    bool started;
} mb_loop_t;

bool mb_loop_init(mb_loop_t *loop, size_t mailbox_capacity, GError **error);
void mb_loop_finish(mb_loop_t *loop);
void mb_loop_set_tick(mb_loop_t *loop, uint32_t period_ms,
                      void (*tick)(void *context), void *context);
bool mb_loop_add(mb_loop_t *loop, mb_loop_source_t *source, uint32_t events);
void mb_loop_modify(mb_loop_t *loop, mb_loop_source_t *source,
                    uint32_t events);
void mb_loop_remove(mb_loop_t *loop, mb_loop_source_t *source);
bool mb_loop_post(mb_loop_t *loop, mb_loop_task_t *task);
void mb_loop_defer(mb_loop_t *loop, mb_loop_deferred_t *deferred);
void mb_loop_cancel_deferred(mb_loop_t *loop, mb_loop_deferred_t *deferred);
bool mb_loop_start(mb_loop_t *loop, GError **error);
void mb_loop_stop(mb_loop_t *loop);

#endif
