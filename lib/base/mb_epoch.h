/* Read-copy-update with epoch-based reclamation. Readers load published
   versions inside a read section, without a mutex. A writer publishes a new
   version; the previous one is destroyed after a grace period, when every
   reader that could have loaded it has left its section. */
#ifndef MB_EPOCH_H
#define MB_EPOCH_H

#include <ck_epoch.h>
#include <pthread.h>

/* A reclamation domain. A process usually has one. */
typedef struct mb_epoch {
    ck_epoch_t domain;
    pthread_key_t reader_key; /* the ck_epoch_record_t of each reader thread */
    /* Serializes writers; never taken by readers. */
    pthread_mutex_t writer_lock;
    ck_epoch_record_t *writer; /* used with the writer lock held */
} mb_epoch_t;

void mb_epoch_init(mb_epoch_t *epoch);
void mb_epoch_finish(mb_epoch_t *epoch);
void mb_epoch_enter(mb_epoch_t *epoch);
void mb_epoch_leave(mb_epoch_t *epoch);
void *mb_epoch_load(void *const *cell);
void mb_epoch_publish(mb_epoch_t *epoch, void **cell, void *next,
                      void (*destroy)(void *old));
void mb_epoch_retire(mb_epoch_t *epoch, void *old, void (*destroy)(void *old));
void mb_epoch_reclaim(mb_epoch_t *epoch);

#endif
