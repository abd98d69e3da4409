#include "mb_mailbox.h"

#include <stddef.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "mb_atomic.h"

/* Returns the message that contains a stack entry. */
static mb_mailbox_message_t *
message_from_entry(ck_stack_entry_t *entry)
{
    return (mb_mailbox_message_t *)((char *)entry -
                                    offsetof(mb_mailbox_message_t, entry));
}

/* Initializes an empty mailbox for up to `capacity` messages. Returns false if
   the process has no file descriptor left. */
bool
mb_mailbox_init(mb_mailbox_t *mailbox, size_t capacity)
{
    ck_stack_init(&mailbox->stack);
    mailbox->free_slots = capacity;
    mailbox->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    return mailbox->event_fd >= 0;
}

/* Closes the event descriptor. The mailbox must be empty, as messages in it
   would be leaked. */
void
mb_mailbox_finish(mb_mailbox_t *mailbox)
{
    if (mailbox->event_fd >= 0) {
        (void)close(mailbox->event_fd);
        mailbox->event_fd = -1;
    }
}

/* Makes the event descriptor readable, which wakes the reader. Any thread. */
void
mb_mailbox_wake(mb_mailbox_t *mailbox)
{
    uint64_t one = 1;
    (void)!write(mailbox->event_fd, &one, sizeof(one));
}

/* Adds a message and wakes the reader if the mailbox was empty. Takes
   ownership of the message, unless the mailbox is full and the function
   returns false. Any thread; does not block. */
bool
mb_mailbox_send(mb_mailbox_t *mailbox, mb_mailbox_message_t *message)
{
    if (!mb_atomic_dec_if_positive(&mailbox->free_slots)) {
        return false;
    }
    MB_TSAN_RELEASE(mailbox);
    ck_stack_entry_t *top;
    do {
        top = ck_pr_load_ptr(&mailbox->stack.head);
        ck_pr_store_ptr(&message->entry.next, top);
        ck_pr_fence_store();
    } while (!ck_pr_cas_ptr(&mailbox->stack.head, top, &message->entry));
    if (top == NULL) {
        mb_mailbox_wake(mailbox);
    }
    return true;
}

/* Removes all messages and passes each, oldest first, to the callback, which
   takes ownership. Returns their number. Called on the reader thread only;
   does not block. */
size_t
mb_mailbox_receive(mb_mailbox_t *mailbox,
                   void (*handle)(void *context,
                                  mb_mailbox_message_t *message),
                   void *context)
{
    uint64_t wakes;
    (void)!read(mailbox->event_fd, &wakes, sizeof(wakes));
    ck_stack_entry_t *newest = ck_stack_batch_pop_upmc(&mailbox->stack);
    MB_TSAN_ACQUIRE(mailbox);
    ck_stack_entry_t *oldest = NULL;
    while (newest != NULL) {
        ck_stack_entry_t *older = newest->next;
        newest->next = oldest;
        oldest = newest;
        newest = older;
    }
    size_t count = 0;
    while (oldest != NULL) {
        mb_mailbox_message_t *message = message_from_entry(oldest);
        oldest = oldest->next;
        count++;
        (void)mb_atomic_add(&mailbox->free_slots, 1);
        handle(context, message);
    }
    return count;
}
