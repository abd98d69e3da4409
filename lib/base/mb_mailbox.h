/* A bounded, lock-free queue of messages with any number of writer threads and
   one reader thread. The reader polls `event_fd`, which is readable when
   messages have arrived. Messages of one writer keep their order. */
#ifndef MB_MAILBOX_H
#define MB_MAILBOX_H

#include <ck_stack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A message. Must be the first member of the structure that is sent. */
typedef struct mb_mailbox_message {
    ck_stack_entry_t entry;
} mb_mailbox_message_t;

typedef struct mb_mailbox {
    ck_stack_t stack;    /* messages, newest first */
    uint64_t free_slots; /* number of further messages accepted; atomic */
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
