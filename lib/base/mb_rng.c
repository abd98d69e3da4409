#include "mb_rng.h"

#include <stddef.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/random.h>

/* Returns the next number of a splitmix64 sequence. */
static uint64_t
seeded_next(void *context)
{
    mb_rng_seeded_t *seeded = context;
    uint64_t mixed = (seeded->state += UINT64_C(0x9e3779b97f4a7c15));
    mixed = (mixed ^ (mixed >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    mixed = (mixed ^ (mixed >> 27)) * UINT64_C(0x94d049bb133111eb);
    return mixed ^ (mixed >> 31);
}

/* Reads a number from the kernel's generator; aborts if that fails. */
static uint64_t
system_next(void *context)
{
    uint64_t value = 0;
    (void)context;
    if (getrandom(&value, sizeof(value), 0) != (ssize_t)sizeof(value)) {
        abort();
    }
    return value;
}

/* Initializes a generator whose sequence depends on the seed only. */
void
mb_rng_seeded_init(mb_rng_seeded_t *seeded, uint64_t seed)
{
    seeded->state = seed;
}

/* Returns a source of random numbers that uses `seeded`, which is borrowed. */
mb_rng_t
mb_rng_from_seeded(mb_rng_seeded_t *seeded)
{
    return (mb_rng_t){seeded_next, seeded};
}

/* Returns the kernel's generator, whose numbers can't be predicted. Any thread
   may use it. */
mb_rng_t
mb_rng_system(void)
{
    return (mb_rng_t){system_next, NULL};
}

/* Returns the next number of the calling thread's sequence, which is seeded
   from the kernel's generator. */
static uint64_t
thread_next(void *context)
{
    static _Thread_local mb_rng_seeded_t state;
    static _Thread_local bool seeded;
    (void)context;
    if (!seeded) {
        mb_rng_seeded_init(&state, system_next(NULL));
        seeded = true;
    }
    return seeded_next(&state);
}

/* Returns a generator for choices that must be uniform but may be predictable.
   It makes no system call for each number, which would cost more than the rest
   of a routing decision. Any thread may use it. */
mb_rng_t
mb_rng_thread(void)
{
    return (mb_rng_t){thread_next, NULL};
}

/* Returns a uniform 64-bit number. */
uint64_t
mb_rng_next(const mb_rng_t *rng)
{
    return rng->next(rng->context);
}

/* Returns a uniform number from 0 to `bound` - 1; 0 if `bound` is 0. */
uint64_t
mb_rng_below(const mb_rng_t *rng, uint64_t bound)
{
    if (bound == 0) {
        return 0;
    }
    return (uint64_t)(((__uint128_t)mb_rng_next(rng) * bound) >> 64);
}

/* Returns a uniform number in [0, 1). */
double
mb_rng_unit(const mb_rng_t *rng)
{
    return (double)(mb_rng_next(rng) >> 11) / (double)(UINT64_C(1) << 53);
}
