#include "mb_contention.h"

/* What is known of one pair. */
typedef struct pair {
    uint64_t key;
    uint32_t calm_milli; /* beside so much the service was calm at `calm_us` */
    uint64_t calm_us;
    uint32_t limit_milli;
    uint64_t blamed_us; /* 0: never */
} pair_t;

/* Prepares a table that knows nothing. */
void
mb_contention_init(mb_contention_t *contention)
{
    contention->pairs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

/* Frees the table. */
void
mb_contention_finish(mb_contention_t *contention)
{
    g_hash_table_destroy(contention->pairs);
}

/* Returns the key of a pair. */
static uint64_t
key_of(uint64_t service, uint64_t kind)
{
    return service * UINT64_C(0x9e3779b97f4a7c15) ^ kind;
}

/* Returns a pair, which is added if it is new. */
static pair_t *
reach(mb_contention_t *contention, uint64_t service, uint64_t kind)
{
    uint64_t key = key_of(service, kind);
    pair_t *pair = g_hash_table_lookup(contention->pairs, &key);
    if (pair == NULL) {
        pair = g_new0(pair_t, 1);
        pair->key = key;
        pair->limit_milli = MB_CONTENTION_NO_LIMIT;
        (void)g_hash_table_insert(contention->pairs, &pair->key, pair);
    }
    return pair;
}

/* Returns the amount that a pair has shown to be harmless, halved with its
   age. */
static uint32_t
proven_milli(const pair_t *pair, uint64_t now_us)
{
    uint64_t halvings = (now_us - pair->calm_us) / MB_CONTENTION_CALM_US;
    return halvings >= 32 ? 0 : pair->calm_milli >> halvings;
}

/* Notes that a service is calm beside a load. */
static void
note_calm(pair_t *pair, uint32_t cpu_milli, uint64_t now_us)
{
    if (cpu_milli >= proven_milli(pair, now_us)) {
        pair->calm_milli = cpu_milli;
        pair->calm_us = now_us;
    }
    if (pair->limit_milli < cpu_milli) {
        pair->limit_milli = cpu_milli;
    }
}

/* Returns the load that has proven least for its amount; `count` when none is
   at work. */
static uint32_t
find_suspect(mb_contention_t *contention, uint64_t service,
             const mb_contention_load_t *loads, uint32_t count,
             uint64_t now_us)
{
    uint32_t suspect = count;
    uint64_t most = 0;
    for (uint32_t i = 0; i < count; i++) {
        const pair_t *pair = reach(contention, service, loads[i].kind);
        uint64_t weight = (uint64_t)loads[i].cpu_milli * 1000u /
                          (100u + proven_milli(pair, now_us));
        if (pair->limit_milli < loads[i].cpu_milli) {
            weight *= 4;
        }
        if (weight > most) {
            most = weight;
            suspect = i;
        }
    }
    return suspect;
}

/* Notes that a service was disturbed beside a load. */
static void
note_blame(pair_t *pair, uint32_t cpu_milli, uint64_t now_us)
{
    uint32_t half = cpu_milli / 2;
    pair->limit_milli = MIN(pair->limit_milli, half);
    pair->calm_milli = MIN(pair->calm_milli, half);
    pair->blamed_us = now_us;
}

/* Takes blame that was found elsewhere. */
void
mb_contention_blame(mb_contention_t *contention, uint64_t service,
                    uint64_t kind, uint32_t cpu_milli, uint64_t now_us)
{
    note_blame(reach(contention, service, kind), cpu_milli, now_us);
}

/* Returns the amount that has been harmless. */
uint32_t
mb_contention_proven(const mb_contention_t *contention, uint64_t service,
                     uint64_t kind, uint64_t now_us)
{
    uint64_t key = key_of(service, kind);
    const pair_t *pair = g_hash_table_lookup(contention->pairs, &key);
    return pair == NULL ? 0 : proven_milli(pair, now_us);
}

/* Takes one observation; see the header. */
uint32_t
mb_contention_observe(mb_contention_t *contention, uint64_t service,
                      uint32_t latency_milli,
                      const mb_contention_load_t *loads, uint32_t count,
                      uint64_t now_us)
{
    if (latency_milli < MB_CONTENTION_CALM_MILLI) {
        for (uint32_t i = 0; i < count; i++) {
            note_calm(reach(contention, service, loads[i].kind),
                      loads[i].cpu_milli, now_us);
        }
        return count;
    }
    if (latency_milli < MB_CONTENTION_OVER_MILLI) {
        return count;
    }
    uint32_t suspect = find_suspect(contention, service, loads, count, now_us);
    if (suspect < count) {
        note_blame(reach(contention, service, loads[suspect].kind),
                   loads[suspect].cpu_milli, now_us);
    }
    return suspect;
}

/* Returns the bound of a pair; see the header. */
uint32_t
mb_contention_limit(const mb_contention_t *contention, uint64_t service,
                    uint64_t kind, uint64_t now_us)
{
    uint64_t key = key_of(service, kind);
    const pair_t *pair = g_hash_table_lookup(contention->pairs, &key);
    if (pair == NULL || pair->blamed_us == 0 ||
        now_us - pair->blamed_us >= MB_CONTENTION_BLAME_US) {
        return MB_CONTENTION_NO_LIMIT;
    }
    return pair->limit_milli;
}
