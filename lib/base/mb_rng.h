/* Random numbers. The source is a callback, so that tests can use a seeded
   generator and be repeated. */
#ifndef MB_RNG_H
#define MB_RNG_H

#include <stdint.h>

/* A source of uniform 64-bit random numbers. */
typedef struct mb_rng {
    uint64_t (*next)(void *context);
    void *context;
} mb_rng_t;

/* State of the seeded generator (splitmix64). Used on one thread at a time. */
typedef struct mb_rng_seeded {
    uint64_t state;
} mb_rng_seeded_t;

void mb_rng_seeded_init(mb_rng_seeded_t *seeded, uint64_t seed);
mb_rng_t mb_rng_from_seeded(mb_rng_seeded_t *seeded);
mb_rng_t mb_rng_system(void);
mb_rng_t mb_rng_thread(void);
uint64_t mb_rng_next(const mb_rng_t *rng);
uint64_t mb_rng_below(const mb_rng_t *rng, uint64_t bound);
double mb_rng_unit(const mb_rng_t *rng);

#endif
