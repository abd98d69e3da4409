#include "mb_contention.h"

#include <math.h>

/* Logarithm of the factor per processor of a pair without samples. */
#define PRIOR 0.10
/* Least and largest logarithm per processor. */
#define SLOPE_MIN 0.0
#define SLOPE_MAX 3.0
/* Largest logarithm of a factor: beyond it a latency says only that it is
   ruined. */
#define LOG_MAX 3.5
/* Share of an error that corrects the estimates: of one above the estimate,
   and of one below it, which a lull may cause. */
#define RATE_UP 0.6
#define RATE_DOWN 0.25
/* Added to the squares of the loads, so that little work learns slowly. */
#define REGULARISER 0.5
/* Loads below this are left out, in thousandths of a processor. */
#define LOAD_MIN_MILLI 50u
#define MILLI 1000.0

/* What is known of one pair. */
typedef struct pair {
    uint64_t key;
    double slope;
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

/* Returns the estimate of a pair. */
static double
slope_of(const mb_contention_t *contention, uint64_t service, uint64_t kind)
{
    uint64_t key = key_of(service, kind);
    const pair_t *pair = g_hash_table_lookup(contention->pairs, &key);
    return pair == NULL ? PRIOR : pair->slope;
}

/* Corrects the estimate of a pair. */
static void
correct(mb_contention_t *contention, uint64_t service, uint64_t kind,
        double change)
{
    uint64_t key = key_of(service, kind);
    pair_t *pair = g_hash_table_lookup(contention->pairs, &key);
    if (pair == NULL) {
        pair = g_new0(pair_t, 1);
        pair->key = key;
        pair->slope = PRIOR;
        (void)g_hash_table_insert(contention->pairs, &pair->key, pair);
    }
    pair->slope = CLAMP(pair->slope + change, SLOPE_MIN, SLOPE_MAX);
}

/* Adds filling work to a scene. */
void
mb_contention_add(mb_contention_scene_t *scene, uint64_t kind,
                  uint32_t cpu_milli)
{
    uint32_t at = 0;
    while (at < scene->count && scene->loads[at].kind != kind) {
        at++;
    }
    if (at == MB_CONTENTION_LOADS_MAX) {
        return;
    }
    if (at == scene->count) {
        scene->loads[scene->count++] = (mb_contention_load_t){kind, 0};
    }
    scene->loads[at].cpu_milli += cpu_milli;
}

/* Halves the loads of a scene and leaves out what is little. */
void
mb_contention_decay(mb_contention_scene_t *scene)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < scene->count; i++) {
        mb_contention_load_t load = scene->loads[i];
        load.cpu_milli /= 2;
        if (load.cpu_milli >= LOAD_MIN_MILLI) {
            scene->loads[kept++] = load;
        }
    }
    scene->count = kept;
}

/* Returns the logarithm of the factor of a scene. */
static double
log_factor(const mb_contention_t *contention,
           const mb_contention_scene_t *scene)
{
    double sum = 0;
    for (uint32_t i = 0; i < scene->count; i++) {
        sum += slope_of(contention, scene->service, scene->loads[i].kind) *
               scene->loads[i].cpu_milli / MILLI;
    }
    return sum;
}

/* Learns from one latency; the error is shared by the loads in proportion to
   their amount. */
void
mb_contention_observe(mb_contention_t *contention,
                      const mb_contention_scene_t *scene, uint32_t latency,
                      uint32_t undisturbed)
{
    double squares = REGULARISER;
    if (scene->count == 0 || latency == 0 || undisturbed == 0) {
        return;
    }
    for (uint32_t i = 0; i < scene->count; i++) {
        double cpu = scene->loads[i].cpu_milli / MILLI;
        squares += cpu * cpu;
    }
    double observed = log((double)latency / undisturbed);
    double error = CLAMP(observed, 0.0, LOG_MAX) -
                   MIN(log_factor(contention, scene), LOG_MAX);
    double rate = error > 0 ? RATE_UP : RATE_DOWN;
    for (uint32_t i = 0; i < scene->count; i++) {
        double cpu = scene->loads[i].cpu_milli / MILLI;
        correct(contention, scene->service, scene->loads[i].kind,
                rate * error * cpu / squares);
    }
}

/* Returns the factor of a scene. */
double
mb_contention_predict(const mb_contention_t *contention,
                      const mb_contention_scene_t *scene)
{
    return exp(MIN(log_factor(contention, scene), LOG_MAX));
}
