#include "mb_clock.h"

#include <stddef.h>
#include <time.h>

/* Reads CLOCK_BOOTTIME. Unlike CLOCK_MONOTONIC it advances while the machine
   is suspended, so that leases also expire on a machine that was suspended. */
static uint64_t
boottime_us(void *context)
{
    struct timespec now;
    (void)context;
    (void)clock_gettime(CLOCK_BOOTTIME, &now);
    return (uint64_t)now.tv_sec * MB_US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

/* Returns the clock of the machine, which may be read on any thread. */
mb_clock_t
mb_clock_monotonic(void)
{
    return (mb_clock_t){boottime_us, NULL};
}

/* Returns the time in microseconds since an arbitrary start. */
uint64_t
mb_clock_us(const mb_clock_t *clock)
{
    return clock->now_us(clock->context);
}

/* Returns the time in milliseconds, rounded down, since the same start as
   mb_clock_us. */
uint64_t
mb_clock_ms(const mb_clock_t *clock)
{
    return mb_clock_us(clock) / MB_US_PER_MS;
}
