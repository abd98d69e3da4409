#include "mb_headroom.h"

#include <math.h>

#include "mb_clock.h"

/* A pair without reports: the headroom that a processor takes, and how many
   reports of one processor that counts for. Most pairs take next to nothing,
   some several times as much. */
#define SLOPE_PRIOR 0.15
#define PRIOR_WEIGHT 5.0
/* The same for what reports taught that are not kept any more. */
#define ANCHOR_WEIGHT_MAX 200.0
/* Weight that draws slopes to 0, so that a loss is put down to few pairs. */
#define SPARSITY 3.0
#define SLOPE_MAX 5.0
/* Standard deviation of a slope for a weight of 1; reports that follow one
   another repeat each other's errors. */
#define SLOPE_DEVIATION 1.2
/* A service without reports: its headroom. */
#define DEMAND_PRIOR 2.0
#define DEMAND_MIN 0.1
#define DEMAND_MAX 50.0
/* Distance in time of the values of a demand, which is taken to be linear
   between them, in microseconds. */
#define NODE_US UINT64_C(1000000)
/* Most that the headroom is expected to fall within a short while. */
#define FORECAST_FALL 0.3
/* Weight that keeps neighbouring values together. */
#define SMOOTHNESS 15.0
/* Standard deviation of a report: fixed, growing with the headroom, and with
   the processors by which the filling work has just changed. */
#define NOISE 0.05
#define NOISE_SHARE 0.08
#define NOISE_CHANGE 0.3
/* Below this headroom requests queue up, and a latency says only that there is
   too much work: its variance. */
#define OVERLOAD 0.4
#define OVERLOAD_VARIANCE 0.1
/* Errors of more standard deviations than this weigh less. */
#define OUTLIER 2.0
/* How often the estimates are fitted, in microseconds, in how many steps, and
   the part of a step that is taken, as all values of a kind move together. */
#define FIT_US UINT64_C(250000)
#define FIT_STEPS 2
#define NODE_STEP 0.7
#define SLOPE_STEP 0.8
/* Loads below this are left out, in thousandths of a processor. */
#define LOAD_MIN_MILLI 50u
#define MILLI 1000.0

/* A value that is fitted, with what the reports say of its next step. */
typedef struct figure {
    double value;
    double gradient;
    double weight;
} figure_t;

/* What is known of one pair. */
typedef struct pair {
    uint64_t key;
    figure_t slope;
    double anchor; /* learned from reports that are not kept any more */
    double anchor_weight;
} pair_t;

/* What is known of the users of one service: its headroom without filling
   work, at times NODE_US apart. */
typedef struct demand {
    uint64_t key;
    uint64_t first;  /* number of the first value in time */
    GArray *figures; /* figure_t */
} demand_t;

/* A part of the filling work beside a report. */
typedef struct share {
    pair_t *pair;
    double cpu; /* processors */
} share_t;

/* One report of a service. */
typedef struct sample {
    uint64_t time_us;
    demand_t *demand;
    uint64_t node;   /* number of the value before it */
    double fraction; /* of the way to the next one */
    double headroom;
    double weight;
    uint32_t count;
    share_t shares[];
} sample_t;

/* Frees a demand. */
static void
free_demand(gpointer data)
{
    demand_t *demand = data;
    g_array_unref(demand->figures);
    g_free(demand);
}

/* Prepares a table that knows nothing. */
void
mb_headroom_init(mb_headroom_t *contention)
{
    contention->pairs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    contention->baselines =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_demand);
    g_queue_init(&contention->samples);
    contention->last_fit_us = 0;
}

/* Frees the table. */
void
mb_headroom_finish(mb_headroom_t *contention)
{
    g_queue_clear_full(&contention->samples, g_free);
    g_hash_table_destroy(contention->pairs);
    g_hash_table_destroy(contention->baselines);
}

/* Returns the key of a pair. */
static uint64_t
key_of(uint64_t service_kind, uint64_t kind)
{
    return service_kind * UINT64_C(0x9e3779b97f4a7c15) ^ kind;
}

/* Returns the record of a pair, made if there is none; NULL when there are too
   many. */
static pair_t *
pair_of(mb_headroom_t *contention, uint64_t key)
{
    pair_t *pair = g_hash_table_lookup(contention->pairs, &key);
    if (pair != NULL ||
        g_hash_table_size(contention->pairs) == MB_HEADROOM_PAIRS_MAX) {
        return pair;
    }
    pair = g_new0(pair_t, 1);
    *pair = (pair_t){.key = key,
                     .slope.value = SLOPE_PRIOR,
                     .anchor = SLOPE_PRIOR,
                     .anchor_weight = PRIOR_WEIGHT};
    (void)g_hash_table_insert(contention->pairs, &pair->key, pair);
    return pair;
}

/* Returns the record of a service's users, made if there is none. */
static demand_t *
demand_of(mb_headroom_t *contention, uint64_t key, uint64_t first)
{
    demand_t *demand = g_hash_table_lookup(contention->baselines, &key);
    if (demand == NULL) {
        demand = g_new0(demand_t, 1);
        demand->key = key;
        demand->first = first;
        demand->figures = g_array_new(FALSE, TRUE, sizeof(figure_t));
        (void)g_hash_table_insert(contention->baselines, &demand->key, demand);
    }
    return demand;
}

/* Returns a value of a demand. */
static figure_t *
figure_at(const demand_t *demand, uint64_t node)
{
    return &g_array_index(demand->figures, figure_t, node - demand->first);
}

/* Adds values to a demand up to a number; each begins as the one before. */
static void
extend_demand(demand_t *demand, uint64_t node, double initial)
{
    while (demand->first + demand->figures->len <= node) {
        guint len = demand->figures->len;
        figure_t figure = {.value = initial};
        if (len > 0) {
            figure.value =
                g_array_index(demand->figures, figure_t, len - 1).value;
        }
        g_array_append_val(demand->figures, figure);
    }
}

/* Adds filling work to a scene. */
void
mb_headroom_load_add(mb_headroom_load_t *scene, uint64_t kind,
                     uint32_t cpu_milli)
{
    uint32_t at = 0;
    while (at < scene->count && scene->entries[at].kind != kind) {
        at++;
    }
    if (at == MB_HEADROOM_LOAD_KINDS_MAX) {
        return;
    }
    if (at == scene->count) {
        scene->entries[scene->count++] = (mb_headroom_load_entry_t){kind, 0};
    }
    scene->entries[at].cpu_milli += cpu_milli;
}

/* Returns the processors that a scene has of a kind, in thousandths. */
static uint32_t
load_of(const mb_headroom_load_t *scene, uint64_t kind)
{
    for (uint32_t i = 0; i < scene->count; i++) {
        if (scene->entries[i].kind == kind) {
            return scene->entries[i].cpu_milli;
        }
    }
    return 0;
}

/* Moves an average of scenes. */
double
mb_headroom_load_smooth(mb_headroom_load_t *average,
                        const mb_headroom_load_t *present, double weight)
{
    mb_headroom_load_t both = *average;
    mb_headroom_load_t blended = {0};
    double changed = 0;
    for (uint32_t i = 0; i < present->count; i++) {
        mb_headroom_load_add(&both, present->entries[i].kind, 0);
    }
    for (uint32_t i = 0; i < both.count; i++) {
        uint64_t kind = both.entries[i].kind;
        double before = load_of(average, kind);
        double now = load_of(present, kind);
        uint32_t cpu_milli = (uint32_t)(before + weight * (now - before));
        changed += fabs(now - before) / MILLI;
        if (cpu_milli >= LOAD_MIN_MILLI) {
            mb_headroom_load_add(&blended, kind, cpu_milli);
        }
    }
    *average = blended;
    return changed;
}

/* Returns the weight of a report: the inverse of its variance. */
static double
weight_of(double headroom, double changed)
{
    double noise = NOISE + NOISE_SHARE * headroom;
    double change = NOISE_CHANGE * changed;
    return 1 / (noise * noise + change * change +
                (headroom < OVERLOAD ? OVERLOAD_VARIANCE : 0));
}

/* Drops the oldest report. What it taught stays as the anchor of its pairs. */
static void
drop_oldest(mb_headroom_t *contention)
{
    g_autofree sample_t *sample = g_queue_pop_head(&contention->samples);
    for (uint32_t i = 0; i < sample->count; i++) {
        pair_t *pair = sample->shares[i].pair;
        double cpu = sample->shares[i].cpu;
        pair->anchor = pair->slope.value;
        pair->anchor_weight =
            MIN(pair->anchor_weight + sample->weight * cpu * cpu,
                ANCHOR_WEIGHT_MAX);
    }
}

/* Returns the headroom that the kept scene of a report takes. */
static double
sample_loss(const sample_t *sample)
{
    double loss = 0;
    for (uint32_t i = 0; i < sample->count; i++) {
        loss += sample->shares[i].pair->slope.value * sample->shares[i].cpu;
    }
    return loss;
}

/* Keeps a report. */
void
mb_headroom_observe(mb_headroom_t *contention,
                    const mb_headroom_service_t *service,
                    const mb_headroom_load_t *scene, double headroom,
                    double changed, uint64_t now_us)
{
    uint64_t node = now_us / NODE_US;
    demand_t *demand = demand_of(contention, service->service_id, node);
    sample_t *sample =
        g_malloc0(sizeof(*sample) + scene->count * sizeof(share_t));
    *sample = (sample_t){.time_us = now_us,
                         .demand = demand,
                         .node = node,
                         .fraction = (double)(now_us % NODE_US) / NODE_US,
                         .headroom = headroom,
                         .weight = weight_of(headroom, changed)};
    for (uint32_t i = 0; i < scene->count; i++) {
        pair_t *pair =
            pair_of(contention, key_of(service->kind, scene->entries[i].kind));
        if (pair != NULL) {
            sample->shares[sample->count++] =
                (share_t){pair, scene->entries[i].cpu_milli / MILLI};
        }
    }
    double undisturbed =
        CLAMP(headroom + sample_loss(sample), DEMAND_MIN, DEMAND_MAX);
    extend_demand(demand, node + 1, undisturbed);
    g_queue_push_tail(&contention->samples, sample);
    if (contention->samples.length > MB_HEADROOM_SAMPLES_MAX) {
        drop_oldest(contention);
    }
}

/* Returns by how much a report exceeds what is expected, and sets the weight
   that this has. A service that is overloaded can't become much slower, so
   that one which is faster than expected says nothing. */
static double
error_of(const sample_t *sample, double *weight)
{
    double before = figure_at(sample->demand, sample->node)->value;
    double after = figure_at(sample->demand, sample->node + 1)->value;
    double undisturbed = before + sample->fraction * (after - before);
    double error = sample->headroom - (undisturbed - sample_loss(sample));
    double deviations = fabs(error) * sqrt(sample->weight);
    *weight = sample->weight * MIN(1, OUTLIER / MAX(deviations, OUTLIER));
    if (sample->headroom < OVERLOAD && error > 0) {
        *weight = 0;
    }
    return error;
}

/* Adds what a report says of a value that counts with `part` in it. */
static void
pull(figure_t *figure, double part, double error, double weight, double total)
{
    figure->gradient += weight * part * error;
    figure->weight += weight * part * total;
}

/* Moves one value of a demand. */
static void
step_figure(demand_t *demand, guint at)
{
    figure_t *figure = &g_array_index(demand->figures, figure_t, at);
    double gradient = figure->gradient;
    double weight = figure->weight;
    if (at > 0) {
        gradient += SMOOTHNESS * (figure[-1].value - figure->value);
        weight += SMOOTHNESS;
    }
    if (at + 1 < demand->figures->len) {
        gradient += SMOOTHNESS * (figure[1].value - figure->value);
        weight += SMOOTHNESS;
    }
    if (weight > 0) {
        figure->value = CLAMP(figure->value + NODE_STEP * gradient / weight,
                              DEMAND_MIN, DEMAND_MAX);
    }
    figure->gradient = 0;
    figure->weight = 0;
}

/* Moves the values of all demands towards the reports. */
static void
fit_demands(mb_headroom_t *contention)
{
    GHashTableIter iter;
    gpointer value;
    for (const GList *l = contention->samples.head; l != NULL; l = l->next) {
        const sample_t *sample = l->data;
        double weight;
        double error = error_of(sample, &weight);
        double near = 1 - sample->fraction;
        pull(figure_at(sample->demand, sample->node), near, error, weight, 1);
        pull(figure_at(sample->demand, sample->node + 1), sample->fraction,
             error, weight, 1);
    }
    g_hash_table_iter_init(&iter, contention->baselines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        demand_t *demand = value;
        for (guint i = 0; i < demand->figures->len; i++) {
            step_figure(demand, i);
        }
    }
}

/* Moves the slopes of all pairs towards the reports. */
static void
fit_pairs(mb_headroom_t *contention)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, contention->pairs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pair_t *pair = value;
        pair->slope.gradient = 0;
        pair->slope.weight = 0;
    }
    for (const GList *l = contention->samples.head; l != NULL; l = l->next) {
        const sample_t *sample = l->data;
        double weight;
        double error = error_of(sample, &weight);
        double total = 0;
        for (uint32_t i = 0; i < sample->count; i++) {
            total += sample->shares[i].cpu;
        }
        for (uint32_t i = 0; i < sample->count; i++) {
            pull(&sample->shares[i].pair->slope, sample->shares[i].cpu, -error,
                 weight, total);
        }
    }
    g_hash_table_iter_init(&iter, contention->pairs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pair_t *pair = value;
        figure_t *slope = &pair->slope;
        double gradient = slope->gradient - SPARSITY +
                          pair->anchor_weight * (pair->anchor - slope->value);
        if (slope->weight > 0) {
            slope->value =
                CLAMP(slope->value + SLOPE_STEP * gradient /
                                         (slope->weight + pair->anchor_weight),
                      0.0, SLOPE_MAX);
        }
    }
}

/* Drops the values of a demand that are too old; true when none is left. */
static gboolean
trim_demand(gpointer key, gpointer value, gpointer context)
{
    demand_t *demand = value;
    uint64_t oldest = *(const uint64_t *)context / NODE_US;
    uint64_t old = oldest - MIN(oldest, demand->first);
    (void)key;
    if (old >= demand->figures->len) {
        return TRUE;
    }
    (void)g_array_remove_range(demand->figures, 0, (guint)old);
    demand->first += old;
    return FALSE;
}

/* Drops reports that are too old, and demands that have none. */
static void
sweep(mb_headroom_t *contention, uint64_t now_us)
{
    uint64_t oldest_us = now_us - MIN(now_us, MB_HEADROOM_WINDOW_US);
    const sample_t *oldest = g_queue_peek_head(&contention->samples);
    while (oldest != NULL && oldest->time_us < oldest_us) {
        drop_oldest(contention);
        oldest = g_queue_peek_head(&contention->samples);
    }
    (void)g_hash_table_foreach_remove(contention->baselines, trim_demand,
                                      &oldest_us);
}

/* Fits the estimates. */
void
mb_headroom_fit(mb_headroom_t *contention, uint64_t now_us)
{
    if (now_us < contention->last_fit_us + FIT_US) {
        return;
    }
    contention->last_fit_us = now_us;
    sweep(contention, now_us);
    for (int i = 0; i < FIT_STEPS; i++) {
        fit_demands(contention);
        fit_pairs(contention);
    }
}

/* Lists what was learned. */
void
mb_headroom_export(const mb_headroom_t *contention, GArray *pairs, guint max)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, contention->pairs);
    while (pairs->len < max && g_hash_table_iter_next(&iter, NULL, &value)) {
        const pair_t *pair = value;
        double weight = pair->anchor_weight + pair->slope.weight;
        mb_headroom_pair_t row = {pair->key, pair->slope.value,
                                  (uint32_t)MIN(weight, ANCHOR_WEIGHT_MAX)};
        g_array_append_val(pairs, row);
    }
}

/* Takes what was learned of a pair. */
void
mb_headroom_import(mb_headroom_t *contention, const mb_headroom_pair_t *known)
{
    pair_t *pair = pair_of(contention, known->key);
    if (pair != NULL) {
        pair->slope.value = CLAMP(known->slope, 0.0, SLOPE_MAX);
        pair->anchor = pair->slope.value;
        pair->anchor_weight =
            CLAMP(known->weight, PRIOR_WEIGHT, ANCHOR_WEIGHT_MAX);
    }
}

/* Returns the headroom to expect of a service without filling work in the
   worst case within a short while. */
double
mb_headroom_baseline_forecast(const mb_headroom_t *contention,
                              const mb_headroom_service_t *service)
{
    const demand_t *demand =
        g_hash_table_lookup(contention->baselines, &service->service_id);
    if (demand == NULL) {
        return DEMAND_PRIOR;
    }
    double now = mb_headroom_baseline(contention, service);
    double lowest = now;
    for (guint i = 0; i < demand->figures->len; i++) {
        lowest =
            MIN(lowest, g_array_index(demand->figures, figure_t, i).value);
    }
    return MAX(lowest, now - FORECAST_FALL);
}

/* Returns the headroom of a service without filling work. */
double
mb_headroom_baseline(const mb_headroom_t *contention,
                     const mb_headroom_service_t *service)
{
    const demand_t *demand =
        g_hash_table_lookup(contention->baselines, &service->service_id);
    return demand == NULL ? DEMAND_PRIOR
                          : g_array_index(demand->figures, figure_t,
                                          demand->figures->len - 1)
                                .value;
}

/* Returns what a processor of filling work takes. */
double
mb_headroom_slope(const mb_headroom_t *contention, uint64_t service_kind,
                  uint64_t kind, double caution)
{
    uint64_t key = key_of(service_kind, kind);
    const pair_t *pair = g_hash_table_lookup(contention->pairs, &key);
    double weight = PRIOR_WEIGHT;
    double mean = SLOPE_PRIOR;
    if (pair != NULL) {
        weight = pair->anchor_weight + pair->slope.weight;
        mean = pair->slope.value;
    }
    return mean + caution * SLOPE_DEVIATION / sqrt(weight);
}

/* Returns what a scene takes. */
double
mb_headroom_loss(const mb_headroom_t *contention, uint64_t service_kind,
                 const mb_headroom_load_t *scene, double caution)
{
    double loss = 0;
    for (uint32_t i = 0; i < scene->count; i++) {
        loss += mb_headroom_slope(contention, service_kind,
                                  scene->entries[i].kind, caution) *
                scene->entries[i].cpu_milli / MILLI;
    }
    return loss;
}
