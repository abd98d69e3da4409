/* Monotonic time. The clock is a callback, so that tests can run in virtual
   time. Times of different machines are not comparable. */
#ifndef MB_CLOCK_H
#define MB_CLOCK_H

#include <stdint.h>

/* A monotonic clock. `now_us` returns the time since an arbitrary start, in
   microseconds. */
typedef struct mb_clock {
    uint64_t (*now_us)(void *context);
    void *context;
} mb_clock_t;

#define MB_US_PER_MS 1000u
#define MB_US_PER_S 1000000u
#define MB_MS_PER_S 1000u

mb_clock_t mb_clock_monotonic(void);
uint64_t mb_clock_us(const mb_clock_t *clock);
uint64_t mb_clock_ms(const mb_clock_t *clock);

#endif
