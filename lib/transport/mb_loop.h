/* Event loop on epoll: one thread that calls back when a descriptor is ready,
   when another thread has posted a task, and at a fixed period. Except for
   mb_loop_post, which any thread may call, a running loop is used on its own
   thread only; the comments below call it the loop thread. */
#ifndef MB_LOOP_H
#define MB_LOOP_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/epoll.h>

#include "mb_mailbox.h"

/* A file descriptor that a loop watches. Embedded in a structure of the
   caller, which must call mb_loop_remove before it closes the descriptor or
   frees the source. */
typedef struct mb_loop_source {
    int fd;
    /* Called on the loop thread with the EPOLL* events that occurred. */
    void (*ready)(void *context, uint32_t epoll_events);
    void *context;
} mb_loop_source_t;

/* A task posted to the loop thread. `run` owns the task from the call on. */
typedef struct mb_loop_task {
    mb_mailbox_message_t message;
    void (*run)(struct mb_loop_task *task);
} mb_loop_task_t;

/* A callback that runs on the loop thread after the current batch of events,
   before the next wait. Embedded in a structure of the caller; queued at most
   once at a time. */
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
    uint64_t stopping;     /* atomic; not 0: the thread ends */
    uint32_t tick_ms;      /* period of `tick` */
    uint64_t next_tick_ms; /* on the monotonic clock */
    void (*tick)(void *context);
    void *tick_context;
    mb_loop_deferred_t *deferred; /* list, the last one queued first */
    /* The batch of events being dispatched; mb_loop_remove clears its
       entries. */
    struct epoll_event *pending_events;
    int pending_count;
    pthread_t thread;
    bool started;
} mb_loop_t;

/* Initializes a loop with a mailbox for up to `mailbox_capacity` tasks; its
   thread is not started. Returns false with `error` set on failure. */
bool mb_loop_init(mb_loop_t *loop, size_t mailbox_capacity, GError **error);
/* Runs the tasks that are still in the mailbox, on the calling thread, and
   releases the loop. Its thread must have ended. */
void mb_loop_finish(mb_loop_t *loop);
/* Sets the callback that runs on the loop thread every `period_ms`
   milliseconds. To be called before mb_loop_start. */
void mb_loop_set_tick(mb_loop_t *loop, uint32_t period_ms,
                      void (*tick)(void *context), void *context);
/* Starts watching a source for EPOLL* events; on the loop thread, or before it
   starts. Returns false when epoll refuses the descriptor. */
bool mb_loop_add(mb_loop_t *loop, mb_loop_source_t *source, uint32_t events);
/* Replaces the set of events that a source is watched for; on the loop
   thread. */
void mb_loop_modify(mb_loop_t *loop, mb_loop_source_t *source,
                    uint32_t events);
/* Stops watching a source; on the loop thread, or while it is not running.
   Events of the current batch that are not dispatched yet are dropped, so the
   source may be freed afterwards. */
void mb_loop_remove(mb_loop_t *loop, mb_loop_source_t *source);
/* Posts a task to the loop thread; from any thread. Returns false when the
   mailbox is full; the caller still owns the task then. */
bool mb_loop_post(mb_loop_t *loop, mb_loop_task_t *task);
/* Queues a callback to run after the current batch of events; no effect when
   it is queued already. On the loop thread, or before it starts. */
void mb_loop_defer(mb_loop_t *loop, mb_loop_deferred_t *deferred);
/* Removes a callback from the queue; no effect when it is not queued. On the
   loop thread, or while it is not running. */
void mb_loop_cancel_deferred(mb_loop_t *loop, mb_loop_deferred_t *deferred);
/* Starts the loop thread. Returns false with `error` set on failure. */
bool mb_loop_start(mb_loop_t *loop, GError **error);
/* Ends the loop thread and waits for it; from another thread. No effect when
   it is not running. */
void mb_loop_stop(mb_loop_t *loop);

#endif
