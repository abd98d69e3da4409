#include "mb_loop.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "mb_atomic.h"
#include "mb_clock.h"
#include "mb_error.h"

/* Maximum number of events fetched by one epoll_wait. With one event at a time
   a source could be removed without regard to other events, but each event
   would cost a system call. */
#define EVENTS_MAX 64
/* Maximum wait of a loop without a tick, in milliseconds. */
#define IDLE_WAIT_MS 1000

/* Runs a task from the mailbox. */
static void
run_task(void *context, mb_mailbox_message_t *message)
{
    mb_loop_task_t *task = (mb_loop_task_t *)message;
    (void)context;
    task->run(task);
}

/* Runs all tasks in the mailbox. */
static void
mailbox_ready(void *context, uint32_t events)
{
    mb_loop_t *loop = context;
    (void)events;
    (void)mb_mailbox_receive(&loop->mailbox, run_task, loop);
}

/* Initializes a loop with a mailbox for up to `mailbox_capacity` tasks. */
bool
mb_loop_init(mb_loop_t *loop, size_t mailbox_capacity, GError **error)
{
    memset(loop, 0, sizeof(*loop));
    loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (loop->epoll_fd < 0 ||
        !mb_mailbox_init(&loop->mailbox, mailbox_capacity)) {
        mb_error_set(error, MB_KIND_IO, "cannot create event loop: %s",
                     g_strerror(errno));
        return false;
    }
    loop->mailbox_source =
        (mb_loop_source_t){loop->mailbox.event_fd, mailbox_ready, loop};
    return mb_loop_add(loop, &loop->mailbox_source, EPOLLIN);
}

/* Runs the tasks that are still in the mailbox and releases the loop. Its
   thread must have ended. */
void
mb_loop_finish(mb_loop_t *loop)
{
    (void)mb_mailbox_receive(&loop->mailbox, run_task, loop);
    mb_mailbox_finish(&loop->mailbox);
    (void)close(loop->epoll_fd);
}

/* Sets the periodic callback, before the thread starts. */
void
mb_loop_set_tick(mb_loop_t *loop, uint32_t period_ms,
                 void (*tick)(void *context), void *context)
{
    loop->tick_ms = period_ms;
    loop->tick = tick;
    loop->tick_context = context;
}

/* Starts watching a source; false when epoll refuses the descriptor. */
bool
mb_loop_add(mb_loop_t *loop, mb_loop_source_t *source, uint32_t events)
{
    struct epoll_event event = {.events = events, .data.ptr = source};
    return epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, source->fd, &event) == 0;
}

/* Replaces the set of events that a source is watched for. */
void
mb_loop_modify(mb_loop_t *loop, mb_loop_source_t *source, uint32_t events)
{
    struct epoll_event event = {.events = events, .data.ptr = source};
    (void)epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, source->fd, &event);
}

/* Stops watching a source and drops its events from the batch being
   dispatched, so that it may be freed. */
void
mb_loop_remove(mb_loop_t *loop, mb_loop_source_t *source)
{
    (void)epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, source->fd, NULL);
    for (int i = 0; i < loop->pending_count; i++) {
        if (loop->pending_events[i].data.ptr == source) {
            loop->pending_events[i].data.ptr = NULL;
        }
    }
}

/* Posts a task from any thread; false when the mailbox is full. */
bool
mb_loop_post(mb_loop_t *loop, mb_loop_task_t *task)
{
    return mb_mailbox_send(&loop->mailbox, &task->message);
}

/* Queues a callback to run after the current batch of events, at most once. */
void
mb_loop_defer(mb_loop_t *loop, mb_loop_deferred_t *deferred)
{
    if (!deferred->queued) {
        deferred->queued = true;
        deferred->next = loop->deferred;
        loop->deferred = deferred;
    }
}

/* Removes a callback from the queue, if it is queued. */
void
mb_loop_cancel_deferred(mb_loop_t *loop, mb_loop_deferred_t *deferred)
{
    mb_loop_deferred_t **item = &loop->deferred;
    while (deferred->queued && *item != NULL) {
        if (*item == deferred) {
            *item = deferred->next;
            deferred->queued = false;
            return;
        }
        item = &(*item)->next;
    }
}

/* Runs the queued callbacks, including those that they queue in turn. */
static void
run_deferred(mb_loop_t *loop)
{
    while (loop->deferred != NULL) {
        mb_loop_deferred_t *deferred = loop->deferred;
        loop->deferred = deferred->next;
        deferred->queued = false;
        deferred->run(deferred->context);
    }
}

/* Returns the time-out of the next epoll_wait, in milliseconds. */
static int
wait_ms(const mb_loop_t *loop, uint64_t now_ms)
{
    if (loop->tick == NULL) {
        return IDLE_WAIT_MS;
    }
    if (loop->next_tick_ms <= now_ms) {
        return 0;
    }
    return (int)(loop->next_tick_ms - now_ms);
}

/* Calls the sources of a batch of events, except those removed by an earlier
   callback of the batch. */
static void
dispatch(mb_loop_t *loop, struct epoll_event *events, int count)
{
    loop->pending_events = events;
    loop->pending_count = count;
    for (int i = 0; i < count; i++) {
        mb_loop_source_t *source = events[i].data.ptr;
        if (source != NULL) {
            source->ready(source->context, events[i].events);
        }
    }
    loop->pending_count = 0;
}

/* Main function of the loop thread. Deferred callbacks, the wait, the events
   and the tick take turns until the loop is stopped. */
static void *
run_loop(void *context)
{
    mb_loop_t *loop = context;
    struct epoll_event events[EVENTS_MAX];
    mb_clock_t clock = mb_clock_monotonic();
    while (mb_atomic_load(&loop->stopping) == 0) {
        run_deferred(loop);
        int count = epoll_wait(loop->epoll_fd, events, EVENTS_MAX,
                               wait_ms(loop, mb_clock_ms(&clock)));
        dispatch(loop, events, count);
        uint64_t now_ms = mb_clock_ms(&clock);
        if (loop->tick != NULL && now_ms >= loop->next_tick_ms) {
            loop->next_tick_ms = now_ms + loop->tick_ms;
            loop->tick(loop->tick_context);
        }
    }
    return NULL;
}

/* Starts the thread. */
bool
mb_loop_start(mb_loop_t *loop, GError **error)
{
    int status = pthread_create(&loop->thread, NULL, run_loop, loop);
    if (status != 0) {
        mb_error_set(error, MB_KIND_IO, "cannot create thread: %s",
                     g_strerror(status));
        return false;
    }
    loop->started = true;
    return true;
}

/* Ends the thread and waits for it. */
void
mb_loop_stop(mb_loop_t *loop)
{
    if (!loop->started) {
        return;
    }
    mb_atomic_store(&loop->stopping, 1);
    mb_mailbox_wake(&loop->mailbox);
    (void)pthread_join(loop->thread, NULL);
    loop->started = false;
}
