#include "mb_run_time.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define BUCKETS_PER_OCTAVE 6.0
/* Bucket with the ratio 1 in its middle. */
#define TYPICAL_BUCKET 12u
/* Number of observations in which the weight of an older one falls to 1 / e:
   stragglers of a few percent must be seen a dozen times for their share to be
   known, and a change of the kind must show within some tens of jobs. */
#define PERIOD 512.0
/* The same for the run times of a kind. Its steps differ, so the mean is taken
   over several of them. */
#define MEAN_SAMPLES_MAX 64u
/* What is assumed of a kind without observations, and counts like this number
   of observed ratios: most runs within a third of the typical run time, and a
   small share of longer ones, each half as frequent as one of 0.7 times its
   length. With this tail, a run that has taken long is expected to take about
   as long again. */
#define PRIOR_WEIGHT 4.0
#define PRIOR_TAIL 0.01
#define PRIOR_SPREAD 2u /* buckets on either side of the typical one */
/* Ratio of the expected run time to the time at work beyond all buckets. */
#define BEYOND_FACTOR 2.0
/* Number of slots in which a kind may be. */
#define PROBES 8u
/* Odd multiplier that distributes the keys over the slots. */
#define HASH_FACTOR UINT64_C(0x9e3779b97f4a7c15)

/* Updates what follows from the weights of a kind. */
static void
update_sums(const mb_run_time_t *times, mb_run_time_kind_t *kind)
{
    double moment = 0;
    kind->sums[MB_RUN_TIME_BUCKETS] = 0;
    for (uint32_t i = MB_RUN_TIME_BUCKETS; i-- > 0;) {
        kind->sums[i] = kind->sums[i + 1] + kind->weights[i];
        moment +=
            kind->weights[i] * (times->edges[i] + times->edges[i + 1]) / 2;
    }
    kind->mean = moment / kind->sums[0];
}

/* Sets the distribution that is assumed without observations. */
static void
set_prior(mb_run_time_t *times)
{
    float *weights = times->unknown.weights;
    double center = 0;
    double tail = 0;
    for (uint32_t i = TYPICAL_BUCKET - PRIOR_SPREAD; i < MB_RUN_TIME_BUCKETS;
         i++) {
        uint32_t distance =
            i > TYPICAL_BUCKET ? i - TYPICAL_BUCKET : TYPICAL_BUCKET - i;
        weights[i] = distance <= PRIOR_SPREAD
                         ? (float)(PRIOR_SPREAD + 1 - distance)
                         : (float)exp2(-2.0 * distance / BUCKETS_PER_OCTAVE);
        center += distance <= PRIOR_SPREAD ? weights[i] : 0;
        tail += distance <= PRIOR_SPREAD ? 0 : weights[i];
    }
    for (uint32_t i = 0; i < MB_RUN_TIME_BUCKETS; i++) {
        bool is_tail = i > TYPICAL_BUCKET + PRIOR_SPREAD;
        weights[i] *=
            (float)(is_tail ? PRIOR_WEIGHT * PRIOR_TAIL / tail
                            : PRIOR_WEIGHT * (1 - PRIOR_TAIL) / center);
    }
}

/* Allocates an empty table. */
void
mb_run_time_init(mb_run_time_t *times)
{
    memset(times, 0, sizeof(*times));
    times->kinds = g_new0(mb_run_time_kind_t, MB_RUN_TIME_KINDS_MAX);
    for (uint32_t i = 0; i <= MB_RUN_TIME_BUCKETS; i++) {
        times->edges[i] =
            exp2(((double)i - TYPICAL_BUCKET - 0.5) / BUCKETS_PER_OCTAVE);
    }
    times->edges[0] = 0;
    set_prior(times);
    update_sums(times, &times->unknown);
}

/* Releases the table. */
void
mb_run_time_finish(mb_run_time_t *times)
{
    g_free(times->kinds);
}

/* Returns the slot at a position of the search for a key. */
static mb_run_time_kind_t *
get_slot(const mb_run_time_t *times, uint64_t key, uint32_t probe)
{
    uint64_t hash = (key * HASH_FACTOR) >> 32;
    return &times->kinds[(hash + probe) % MB_RUN_TIME_KINDS_MAX];
}

/* Returns what is known of a kind; see the header. */
const mb_run_time_kind_t *
mb_run_time_find(const mb_run_time_t *times, uint64_t key)
{
    for (uint32_t i = 0; i < PROBES; i++) {
        const mb_run_time_kind_t *kind = get_slot(times, key, i);
        if (kind->observed != 0 && kind->key == key) {
            return kind;
        }
    }
    return &times->unknown;
}

/* Returns the slot of a kind for an observation. A kind that is new gets an
   unused slot, or replaces the one that was observed the longest ago. */
static mb_run_time_kind_t *
claim_slot(mb_run_time_t *times, uint64_t key)
{
    mb_run_time_kind_t *oldest = get_slot(times, key, 0);
    times->observations++;
    for (uint32_t i = 0; i < PROBES; i++) {
        mb_run_time_kind_t *kind = get_slot(times, key, i);
        if (kind->observed != 0 && kind->key == key) {
            kind->observed = times->observations;
            return kind;
        }
        if (kind->observed < oldest->observed) {
            oldest = kind;
        }
    }
    *oldest = times->unknown;
    oldest->key = key;
    oldest->observed = times->observations;
    return oldest;
}

/* Learns from a run time; see the header. */
void
mb_run_time_observe(mb_run_time_t *times, uint64_t key, double run_ms)
{
    mb_run_time_kind_t *kind = claim_slot(times, key);
    kind->samples = MIN(kind->samples + 1, MEAN_SAMPLES_MAX);
    kind->log_ms += (log(MAX(run_ms, 1.0)) - kind->log_ms) / kind->samples;
}

/* Returns the bucket of a ratio. */
static uint32_t
find_bucket(double ratio)
{
    double bucket = TYPICAL_BUCKET + 0.5 + BUCKETS_PER_OCTAVE * log2(ratio);
    return (uint32_t)CLAMP(bucket, 0.0, MB_RUN_TIME_BUCKETS - 1.0);
}

/* Lowers the weights of all observations so far. */
static void
forget(const mb_run_time_t *times, mb_run_time_kind_t *kind)
{
#ifdef MB_MUTANT_RUN_TIME_NOT_FORGOTTEN
    return;
#endif
    for (uint32_t i = 0; i < MB_RUN_TIME_BUCKETS; i++) {
        float prior = times->unknown.weights[i];
        kind->weights[i] =
            prior + (kind->weights[i] - prior) * (float)(1 - 1 / PERIOD);
    }
}

/* Learns from a ratio; see the header. */
void
mb_run_time_observe_ratio(mb_run_time_t *times, uint64_t key, double ratio)
{
    mb_run_time_kind_t *kind = claim_slot(times, key);
    forget(times, kind);
    kind->weights[find_bucket(ratio)] += 1;
    update_sums(times, kind);
}

/* Returns the weight of the ratios above one that lies in a bucket. Within a
   bucket, all ratios are assumed to be equally frequent. */
static double
get_weight_above(const mb_run_time_t *times, const mb_run_time_kind_t *kind,
                 uint32_t bucket, double ratio)
{
    double low = times->edges[bucket];
    double high = times->edges[bucket + 1];
    double part = CLAMP((high - ratio) / (high - low), 0.0, 1.0);
    return kind->weights[bucket] * part;
}

/* Learns from a run that was given up; see the header. It counts in proportion
   to what is known of longer ones. */
void
mb_run_time_observe_longer(mb_run_time_t *times, uint64_t key, double ratio)
{
    mb_run_time_kind_t *kind = claim_slot(times, key);
    forget(times, kind);
    update_sums(times, kind);
    uint32_t first = find_bucket(ratio);
    double part = get_weight_above(times, kind, first, ratio);
    double sum = part + kind->sums[first + 1];
    if (sum <= 0) {
        kind->weights[MB_RUN_TIME_BUCKETS - 1] += 1;
    }
    else {
        kind->weights[first] += (float)(part / sum);
        for (uint32_t i = first + 1; i < MB_RUN_TIME_BUCKETS; i++) {
            kind->weights[i] *= (float)(1 + 1 / sum);
        }
    }
    update_sums(times, kind);
}

/* Returns the typical run time of a kind; see the header. */
double
mb_run_time_typical_ms(const mb_run_time_kind_t *kind)
{
    return kind->samples == 0 ? 0 : exp(kind->log_ms);
}

/* Returns a power of a probability by repeated squaring, which is much faster
   than pow() for the small exponents here. */
static double
get_power(double base, uint32_t exponent)
{
    double power = 1;
    for (; exponent > 0; exponent >>= 1) {
        power *= (exponent & 1) != 0 ? base : 1;
        base *= base;
    }
    return power;
}

/* Returns the expected run time of the longest of `count` runs that have all
   been at work for `elapsed_ms`. It is always longer than that. */
double
mb_run_time_longest_ms(const mb_run_time_t *times,
                       const mb_run_time_kind_t *kind, double typical_ms,
                       uint32_t count, double elapsed_ms)
{
    double elapsed = elapsed_ms / typical_ms;
    uint32_t first = elapsed > 0 ? find_bucket(elapsed) : 0;
    double below = get_weight_above(times, kind, first, elapsed);
    double sum = below + kind->sums[first + 1];
    double all_below = 0; /* probability that all have ended by then */
    double longest = 0;
    double low = elapsed;
    if (sum <= 0) {
        return elapsed_ms * BEYOND_FACTOR;
    }
    for (uint32_t i = first; i < MB_RUN_TIME_BUCKETS; i++) {
        double high = MAX(times->edges[i + 1], elapsed);
        below += i > first ? kind->weights[i] : 0;
        double power = get_power(MIN(below / sum, 1.0), count);
        longest += (power - all_below) * (low + high) / 2;
        all_below = power;
        low = high;
    }
    return longest * typical_ms;
}

/* Returns the expected run time of a task. */
double
mb_run_time_mean_ms(const mb_run_time_kind_t *kind, double typical_ms)
{
    return kind->mean * typical_ms;
}

/* Returns the expected time until a run ends that has been at work for
   `elapsed_ms`. */
double
mb_run_time_remaining_ms(const mb_run_time_t *times,
                         const mb_run_time_kind_t *kind, double typical_ms,
                         double elapsed_ms)
{
#ifdef MB_MUTANT_RUN_TIME_REMAINING_OF_MEAN
    return MAX(mb_run_time_mean_ms(kind, typical_ms) - elapsed_ms, 0);
#endif
    return mb_run_time_longest_ms(times, kind, typical_ms, 1, elapsed_ms) -
           elapsed_ms;
}

/* Returns the run time within which a fraction of the runs end. */
double
mb_run_time_quantile_ms(const mb_run_time_t *times,
                        const mb_run_time_kind_t *kind, double typical_ms,
                        double fraction)
{
    double left = kind->sums[0] * fraction;
    for (uint32_t i = 0; i < MB_RUN_TIME_BUCKETS; i++) {
        if (left < kind->weights[i]) {
            double width = times->edges[i + 1] - times->edges[i];
            return (times->edges[i] + width * left / kind->weights[i]) *
                   typical_ms;
        }
        left -= kind->weights[i];
    }
    return times->edges[MB_RUN_TIME_BUCKETS] * typical_ms;
}
