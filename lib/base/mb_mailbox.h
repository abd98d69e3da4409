/* A bounded queue from any thread to one reader thread, without a mutex.
   The reader waits in the kernel on the mailbox's event descriptor. */
#ifndef MB_MAILBOX_H
#define MB_MAILBOX_H

#include <ck_stack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Embedded as the first member of whatever is sent. */
typedef struct mb_mailbox_message {
    ck_stack_entry_t entry;
} mb_mailbox_message_t;

typedef struct mb_mailbox {
    ck_stack_t stack;
    uint64_t free_slots;
    int event_fd;
} mb_mailbox_t;

bool mb_mailbox_init(mb_mailbox_t *mailbox, size_t capacity);
void mb_mailbox_finish(mb_mailbox_t *mailbox);
bool mb_mailbox_send(mb_mailbox_t *mailbox, mb_mailbox_message_t *message);
void mb_mailbox_wake(mb_mailbox_t *mailbox);
size_t mb_mailbox_receive(mb_mailbox_t *mailbox,
                          void (*handle)(void *context,
                                         mb_mailbox_message_t *message),
                          void *context);

#endif
