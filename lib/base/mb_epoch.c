#include "mb_epoch.h"

#include <glib.h>
#include <stddef.h>
#include <stdlib.h>
#include <time.h>

#include "mb_atomic.h"

/* Interval in nanoseconds at which mb_epoch_finish checks whether readers have
   left their sections. */
#define MB_EPOCH_WAIT_NS 1000000L

/* A retired object that waits for its grace period to end. */
typedef struct mb_retired {
    ck_epoch_entry_t entry;
    mb_epoch_t *epoch;
    void *object;
    void (*destroy)(void *object);
} mb_retired_t;

/* Allocates a record, aligned to a cache line as ck_epoch requires. Aborts if
   memory is exhausted. */
static ck_epoch_record_t *
allocate_record(void)
{
    void *memory = NULL;
    if (posix_memalign(&memory, CK_MD_CACHELINE, sizeof(ck_epoch_record_t))) {
        abort();
    }
    return memory;
}

/* Returns the record that contains an entry of the domain's record list. */
static ck_epoch_record_t *
record_from_entry(ck_stack_entry_t *entry)
{
    return (ck_epoch_record_t *)((char *)entry -
                                 offsetof(ck_epoch_record_t, record_next));
}

/* Returns the record of an exiting thread to its domain for reuse; the
   destructor of `reader_key`. */
static void
release_reader(void *record)
{
    MB_TSAN_RELEASE(record);
    ck_epoch_unregister(record);
}

/* Returns the calling thread's record, which is registered on first use. */
static ck_epoch_record_t *
reader_record(mb_epoch_t *epoch)
{
    ck_epoch_record_t *record = pthread_getspecific(epoch->reader_key);
    if (record != NULL) {
        return record;
    }
    record = ck_epoch_recycle(&epoch->domain, NULL);
    if (record == NULL) {
        record = allocate_record();
        ck_epoch_register(&epoch->domain, record, NULL);
    }
    MB_TSAN_ACQUIRE(record);
    (void)pthread_setspecific(epoch->reader_key, record);
    return record;
}

/* Initializes a domain without readers. Aborts if resources are exhausted. */
void
mb_epoch_init(mb_epoch_t *epoch)
{
    ck_epoch_init(&epoch->domain);
    if (pthread_key_create(&epoch->reader_key, release_reader) != 0) {
        abort();
    }
    (void)pthread_mutex_init(&epoch->writer_lock, NULL);
    epoch->writer = allocate_record();
    ck_epoch_register(&epoch->domain, epoch->writer, NULL);
}

/* Sleeps for MB_EPOCH_WAIT_NS; called by ck_epoch_barrier_wait while a reader
   is in a section. */
static void
wait_for_reader(ck_epoch_t *domain, ck_epoch_record_t *record, void *context)
{
    struct timespec pause = {0, MB_EPOCH_WAIT_NS};
    (void)domain;
    (void)record;
    (void)context;
    (void)nanosleep(&pause, NULL);
}

/* Waits until all readers have left their sections, destroys the retired
   objects and releases the domain. Reader threads must have exited or never
   enter a section again. */
void
mb_epoch_finish(mb_epoch_t *epoch)
{
    ck_epoch_barrier_wait(epoch->writer, wait_for_reader, NULL);
    (void)pthread_key_delete(epoch->reader_key);
    (void)pthread_mutex_destroy(&epoch->writer_lock);
    /* The list contains every record that was ever registered. */
    ck_stack_entry_t *entry = CK_STACK_FIRST(&epoch->domain.records);
    while (entry != NULL) {
        ck_stack_entry_t *next = CK_STACK_NEXT(entry);
        free(record_from_entry(entry));
        entry = next;
    }
}

/* Begins a read section of the calling thread. Sections may nest. The first
   call on a thread registers it as a reader. */
void
mb_epoch_enter(mb_epoch_t *epoch)
{
    ck_epoch_begin(reader_record(epoch), NULL);
    MB_TSAN_ACQUIRE(epoch);
}

/* Ends the read section. Versions loaded in it must no longer be used. */
void
mb_epoch_leave(mb_epoch_t *epoch)
{
    MB_TSAN_RELEASE(epoch);
    ck_epoch_end(reader_record(epoch), NULL);
}

/* Returns the published version, which is valid until the end of the read
   section. Must be called inside one. */
void *
mb_epoch_load(void *const *cell)
{
    return mb_atomic_load_ptr(cell);
}

/* Destroys a retired object; called by ck_epoch after the grace period. */
static void
destroy_retired(ck_epoch_entry_t *entry)
{
    mb_retired_t *retired = (mb_retired_t *)entry;
    MB_TSAN_ACQUIRE(retired->epoch);
    retired->destroy(retired->object);
    g_free(retired);
}

/* Schedules `old`, which readers can no longer load, to be destroyed once no
   reader can still use it. Takes ownership of `old`; NULL is ignored. Does not
   wait for readers. `destroy` is called by this or a later call of a writer,
   of mb_epoch_reclaim or of mb_epoch_finish. Any thread. */
void
mb_epoch_retire(mb_epoch_t *epoch, void *old, void (*destroy)(void *old))
{
    if (old == NULL) {
        return;
    }
    mb_retired_t *retired = g_new(mb_retired_t, 1);
    retired->epoch = epoch;
    retired->object = old;
    retired->destroy = destroy;
    (void)pthread_mutex_lock(&epoch->writer_lock);
    ck_epoch_call(epoch->writer, &retired->entry, destroy_retired);
    (void)ck_epoch_poll(epoch->writer);
    (void)pthread_mutex_unlock(&epoch->writer_lock);
}

/* Publishes `next`, whose ownership passes to the cell, and retires the
   previous version as by mb_epoch_retire. Does not wait for readers. */
void
mb_epoch_publish(mb_epoch_t *epoch, void **cell, void *next,
                 void (*destroy)(void *old))
{
    void *old = mb_atomic_swap_ptr(cell, next);
    /* A reader that begins after the epoch is read below must load `next`. */
    ck_pr_fence_memory();
    mb_epoch_retire(epoch, old, destroy);
}

/* Destroys the retired objects whose grace period has ended. Called from a
   periodic timer, because otherwise the last retired version would be kept
   until the next write. */
void
mb_epoch_reclaim(mb_epoch_t *epoch)
{
    (void)pthread_mutex_lock(&epoch->writer_lock);
    (void)ck_epoch_poll(epoch->writer);
    (void)pthread_mutex_unlock(&epoch->writer_lock);
}
