/* Atomic operations on top of Concurrency Kit, annotated for ThreadSanitizer,
   which does not recognize the memory ordering of inline assembly. The
   read-modify-write operations of Concurrency Kit order memory on x86-64 only;
   elsewhere the fences below do. */
#ifndef MB_ATOMIC_H
#define MB_ATOMIC_H

#include <ck_pr.h>
#include <stdbool.h>
#include <stdint.h>

/* Size in bytes of a cache line, the unit that moves between processors. */
#define MB_CACHE_LINE 64
/* Size in bytes of two adjacent cache lines. A processor prefetches a line
   together with its neighbour, so data written by different threads must be
   this far apart to avoid false sharing. */
#define MB_CACHE_PAIR 128

#if defined(__SANITIZE_THREAD__)
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define MB_TSAN_ACQUIRE(address) __tsan_acquire((void *)(address))
#define MB_TSAN_RELEASE(address) __tsan_release((void *)(address))
#else
#define MB_TSAN_ACQUIRE(address) ((void)(address))
#define MB_TSAN_RELEASE(address) ((void)(address))
#endif

/* Loads with acquire ordering. */
static inline uint64_t
mb_atomic_load(const uint64_t *target)
{
    uint64_t value = ck_pr_load_64(target);
    ck_pr_fence_acquire();
    MB_TSAN_ACQUIRE(target);
    return value;
}

/* Stores with release ordering. */
static inline void
mb_atomic_store(uint64_t *target, uint64_t value)
{
    MB_TSAN_RELEASE(target);
    ck_pr_fence_release();
    ck_pr_store_64(target, value);
}

/* Adds `delta` and returns the previous value, with acquire and release
   ordering. */
static inline uint64_t
mb_atomic_add(uint64_t *target, uint64_t delta)
{
    MB_TSAN_RELEASE(target);
    ck_pr_fence_release();
    uint64_t before = ck_pr_faa_64(target, delta);
    ck_pr_fence_acquire();
    MB_TSAN_ACQUIRE(target);
    return before;
}

/* Subtracts `delta` and returns the previous value. */
static inline uint64_t
mb_atomic_sub(uint64_t *target, uint64_t delta)
{
    return mb_atomic_add(target, ~delta + 1);
}

/* Compare-and-swap: replaces the value by `next` if it is `expected`, with
   acquire and release ordering. Returns whether it did. */
static inline bool
mb_atomic_cas(uint64_t *target, uint64_t expected, uint64_t next)
{
    MB_TSAN_RELEASE(target);
    ck_pr_fence_release();
    bool done = ck_pr_cas_64(target, expected, next);
    ck_pr_fence_acquire();
    MB_TSAN_ACQUIRE(target);
    return done;
}

/* Decrements a counter unless it is 0. Returns whether it did. Used to
   take a unit of a limited resource without blocking. */
static inline bool
mb_atomic_dec_if_positive(uint64_t *target)
{
    uint64_t value = mb_atomic_load(target);
    while (value > 0) {
        if (mb_atomic_cas(target, value, value - 1)) {
            return true;
        }
        value = mb_atomic_load(target);
    }
    return false;
}

/* Loads a pointer with acquire ordering. */
static inline void *
mb_atomic_load_ptr(void *const *target)
{
    void *value = ck_pr_load_ptr(target);
    ck_pr_fence_acquire();
    MB_TSAN_ACQUIRE(target);
    return value;
}

/* Replaces a pointer and returns the previous one, with acquire and release
   ordering: what `next` points to is visible to whoever loads it. */
static inline void *
mb_atomic_swap_ptr(void **target, void *next)
{
    MB_TSAN_RELEASE(target);
    ck_pr_fence_release();
    void *before = ck_pr_fas_ptr(target, next);
    ck_pr_fence_acquire();
    MB_TSAN_ACQUIRE(target);
    return before;
}

#endif
