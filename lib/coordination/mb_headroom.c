#include "mb_headroom.h"

#include <math.h>

#include "mb_clock.h"

/* Prior of a slope: its mean, in headroom per processor, and its weight, in
   the units of sample weight * processors^2. Most pairs lose next to nothing,
   some several times the mean. */
#define SLOPE_PRIOR 0.15
#define SLOPE_PRIOR_WEIGHT 5.0
/* Maximum weight of a prior after samples have left the window and were added
   to it. */
#define SLOPE_PRIOR_WEIGHT_MAX 200.0
/* L1 regularization of the slopes, which attributes a loss of headroom to few
   pairs. */
#define L1_PENALTY 3.0
#define SLOPE_MAX 5.0
/* Standard deviation of a slope with weight 1. It is above 1 because the
   errors of consecutive samples are correlated. */
#define SLOPE_DEVIATION 1.2
/* Baseline of a service without samples, and the bounds of all baselines. */
#define BASELINE_PRIOR 2.0
#define BASELINE_MIN 0.1
#define BASELINE_MAX 50.0
/* A baseline is piecewise linear in time. Distance of its nodes, in
   microseconds. */
#define NODE_US UINT64_C(1000000)
/* Maximum amount by which a baseline is expected to fall within a second. */
#define FORECAST_FALL_MAX 0.3
/* Regularization weight that draws neighbouring nodes of a baseline to each
   other. */
#define SMOOTHNESS 15.0
/* The standard deviation of a sample has a fixed part, a part proportional to
   its headroom, and a part proportional to the processors by which the
   best-effort load has just changed. */
#define NOISE_FIXED 0.05
#define NOISE_PER_HEADROOM 0.08
#define NOISE_PER_CPU_CHANGED 0.3
/* Below this headroom a service is overloaded: requests queue up, and the
   latency says little about how far the load exceeds the capacity. The
   variance is added to that of such a sample. */
#define OVERLOAD_HEADROOM 0.4
#define OVERLOAD_VARIANCE 0.1
/* Residuals of more standard deviations than this are outliers: their weight
   is reduced so that their influence stays constant (Huber loss). */
#define HUBER_DEVIATIONS 2.0
/* Interval between two fits, in microseconds, iterations per fit, and the
   fraction of each computed step that is taken. All nodes, and all slopes, are
   updated at the same time, and full steps could overshoot. */
#define FIT_INTERVAL_US UINT64_C(250000)
#define FIT_ITERATIONS 2
#define NODE_DAMPING 0.7
#define SLOPE_DAMPING 0.8
/* Averaged loads of a kind below this are dropped, in thousandths of a
   processor. */
#define LOAD_MIN_MILLI 50u
#define MILLI 1000.0

/* A fitted parameter, with the negative gradient of the squared error and the
   sum of the weights of the samples that depend on it. The weight bounds the
   second derivative, and is the confidence in the value. */
typedef struct parameter {
    double value;
    double gradient;
    double weight;
} parameter_t;

/* The slope of one pair. Its prior changes when samples leave the window, to
   keep what they contributed. */
typedef struct pair {
    uint64_t key;
    parameter_t slope;
    double prior; /* mean */
    double prior_weight;
    uint32_t samples; /* since the model was initialized */
    bool inherited;   /* imported from a former owner */
} pair_t;

/* The headroom of one service without best-effort work over time, at nodes
   NODE_US apart. */
typedef struct baseline {
    uint64_t key;
    uint64_t first_node; /* time of the first node / NODE_US */
    GArray *nodes;       /* parameter_t */
} baseline_t;

/* One term of the regression: the best-effort load of one pair in a sample. */
typedef struct load_term {
    pair_t *pair;
    double cpu; /* processors used */
} load_term_t;

/* One reported headroom of a service. */
typedef struct sample {
    uint64_t time_us;
    baseline_t *baseline;
    uint64_t node;   /* index of the last node before the sample */
    double fraction; /* position between that node and the next, from 0 to 1 */
    double headroom;
    double weight;
    uint32_t count;
    load_term_t terms[];
} sample_t;

/* Frees a baseline, as a callback of the hash table. */
static void
free_baseline(gpointer data)
{
    baseline_t *baseline = data;
    g_array_unref(baseline->nodes);
    g_free(baseline);
}

/* Initializes a model without samples. */
void
mb_headroom_init(mb_headroom_t *model)
{
    model->pairs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    model->baselines = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                             free_baseline);
    g_queue_init(&model->samples);
    model->last_fit_us = 0;
}

/* Releases the model's memory. */
void
mb_headroom_finish(mb_headroom_t *model)
{
    g_queue_clear_full(&model->samples, g_free);
    g_hash_table_destroy(model->pairs);
    g_hash_table_destroy(model->baselines);
}

/* Returns the key of a pair. */
static uint64_t
pair_key(uint64_t service_kind, uint64_t kind)
{
    return service_kind * UINT64_C(0x9e3779b97f4a7c15) ^ kind;
}

/* Returns the pair with a key, created with the default prior if there is
   none. Returns NULL for a new pair when there are already
   MB_HEADROOM_PAIRS_MAX. */
static pair_t *
get_pair(mb_headroom_t *model, uint64_t key)
{
    pair_t *pair = g_hash_table_lookup(model->pairs, &key);
    if (pair != NULL ||
        g_hash_table_size(model->pairs) == MB_HEADROOM_PAIRS_MAX) {
        return pair;
    }
    pair = g_new0(pair_t, 1);
    *pair = (pair_t){.key = key,
                     .slope.value = SLOPE_PRIOR,
                     .prior = SLOPE_PRIOR,
                     .prior_weight = SLOPE_PRIOR_WEIGHT};
    (void)g_hash_table_insert(model->pairs, &pair->key, pair);
    return pair;
}

/* Returns the baseline of a service. If there is none, it is created without
   nodes, to begin at `first_node`. */
static baseline_t *
get_baseline(mb_headroom_t *model, uint64_t key, uint64_t first_node)
{
    baseline_t *baseline = g_hash_table_lookup(model->baselines, &key);
    if (baseline == NULL) {
        baseline = g_new0(baseline_t, 1);
        baseline->key = key;
        baseline->first_node = first_node;
        baseline->nodes = g_array_new(FALSE, TRUE, sizeof(parameter_t));
        (void)g_hash_table_insert(model->baselines, &baseline->key, baseline);
    }
    return baseline;
}

/* Returns a node of a baseline, which must exist. */
static parameter_t *
get_node(const baseline_t *baseline, uint64_t node)
{
    return &g_array_index(baseline->nodes, parameter_t,
                          node - baseline->first_node);
}

/* Appends nodes to a baseline until it holds `node`. Each new node starts with
   the value of the one before it, the first with `initial`. */
static void
extend_baseline(baseline_t *baseline, uint64_t node, double initial)
{
    while (baseline->first_node + baseline->nodes->len <= node) {
        guint len = baseline->nodes->len;
        parameter_t parameter = {.value = initial};
        if (len > 0) {
            parameter.value =
                g_array_index(baseline->nodes, parameter_t, len - 1).value;
        }
        g_array_append_val(baseline->nodes, parameter);
    }
}

/* Adds best-effort work to a load; see the header. */
void
mb_headroom_load_add(mb_headroom_load_t *load, uint64_t kind,
                     uint32_t cpu_milli)
{
    uint32_t index = 0;
    while (index < load->count && load->entries[index].kind != kind) {
        index++;
    }
    if (index == MB_HEADROOM_LOAD_KINDS_MAX) {
        return;
    }
    if (index == load->count) {
        load->entries[load->count++] = (mb_headroom_load_entry_t){kind, 0};
    }
    load->entries[index].cpu_milli += cpu_milli;
}

/* Returns the processors that a load has of a kind, in thousandths. */
static uint32_t
get_kind_cpu(const mb_headroom_load_t *load, uint64_t kind)
{
    for (uint32_t i = 0; i < load->count; i++) {
        if (load->entries[i].kind == kind) {
            return load->entries[i].cpu_milli;
        }
    }
    return 0;
}

/* Updates a moving average of loads; see the header. */
double
mb_headroom_load_smooth(mb_headroom_load_t *average,
                        const mb_headroom_load_t *present, double weight)
{
    mb_headroom_load_t all_kinds = *average;
    mb_headroom_load_t smoothed = {0};
    double changed = 0;
    for (uint32_t i = 0; i < present->count; i++) {
        mb_headroom_load_add(&all_kinds, present->entries[i].kind, 0);
    }
    for (uint32_t i = 0; i < all_kinds.count; i++) {
        uint64_t kind = all_kinds.entries[i].kind;
        double before = get_kind_cpu(average, kind);
        double now = get_kind_cpu(present, kind);
        uint32_t cpu_milli = (uint32_t)(before + weight * (now - before));
        changed += fabs(now - before) / MILLI;
        if (cpu_milli >= LOAD_MIN_MILLI) {
            mb_headroom_load_add(&smoothed, kind, cpu_milli);
        }
    }
    *average = smoothed;
    return changed;
}

/* Returns the weight of a sample: the inverse of its variance. */
static double
compute_sample_weight(double headroom, double changed)
{
    double noise = NOISE_FIXED + NOISE_PER_HEADROOM * headroom;
    double change = NOISE_PER_CPU_CHANGED * changed;
    return 1 / (noise * noise + change * change +
                (headroom < OVERLOAD_HEADROOM ? OVERLOAD_VARIANCE : 0));
}

/* Removes the oldest sample from the window. The present slopes of its pairs
   become their priors, and the weight of the sample is added to that of the
   priors, so that what it contributed is kept. */
static void
drop_oldest_sample(mb_headroom_t *model)
{
    g_autofree sample_t *sample = g_queue_pop_head(&model->samples);
    for (uint32_t i = 0; i < sample->count; i++) {
        pair_t *pair = sample->terms[i].pair;
        double cpu = sample->terms[i].cpu;
        pair->prior = pair->slope.value;
        pair->prior_weight =
            MIN(pair->prior_weight + sample->weight * cpu * cpu,
                SLOPE_PRIOR_WEIGHT_MAX);
    }
}

/* Returns the headroom that the best-effort load of a sample takes, according
   to the present slopes. */
static double
compute_sample_loss(const sample_t *sample)
{
    double loss = 0;
    for (uint32_t i = 0; i < sample->count; i++) {
        loss += sample->terms[i].pair->slope.value * sample->terms[i].cpu;
    }
    return loss;
}

/* Adds a sample; see the header. */
void
mb_headroom_observe(mb_headroom_t *model, const mb_headroom_service_t *service,
                    const mb_headroom_load_t *load, double headroom,
                    double changed, uint64_t now_us)
{
    uint64_t node = now_us / NODE_US;
    baseline_t *baseline = get_baseline(model, service->service_id, node);
    sample_t *sample =
        g_malloc0(sizeof(*sample) + load->count * sizeof(load_term_t));
    *sample = (sample_t){.time_us = now_us,
                         .baseline = baseline,
                         .node = node,
                         .fraction = (double)(now_us % NODE_US) / NODE_US,
                         .headroom = headroom,
                         .weight = compute_sample_weight(headroom, changed)};
    for (uint32_t i = 0; i < load->count; i++) {
        pair_t *pair =
            get_pair(model, pair_key(service->kind, load->entries[i].kind));
        if (pair != NULL) {
            pair->samples++;
            sample->terms[sample->count++] =
                (load_term_t){pair, load->entries[i].cpu_milli / MILLI};
        }
    }
    double baseline_value = CLAMP(headroom + compute_sample_loss(sample),
                                  BASELINE_MIN, BASELINE_MAX);
    extend_baseline(baseline, node + 1, baseline_value);
    g_queue_push_tail(&model->samples, sample);
    if (model->samples.length > MB_HEADROOM_SAMPLES_MAX) {
        drop_oldest_sample(model);
    }
}

/* Returns the residual of a sample, reported minus expected headroom, and sets
   its weight. An overloaded service can't become much slower, so more headroom
   than expected does not show that the load on its worker is harmless: the
   weight of such a residual is 0. */
static double
compute_residual(const sample_t *sample, double *weight)
{
    double before = get_node(sample->baseline, sample->node)->value;
    double after = get_node(sample->baseline, sample->node + 1)->value;
    double baseline_value = before + sample->fraction * (after - before);
    double residual =
        sample->headroom - (baseline_value - compute_sample_loss(sample));
    double deviations = fabs(residual) * sqrt(sample->weight);
    *weight = sample->weight *
              MIN(1, HUBER_DEVIATIONS / MAX(deviations, HUBER_DEVIATIONS));
    if (sample->headroom < OVERLOAD_HEADROOM && residual > 0) {
        *weight = 0;
    }
    return residual;
}

/* Adds the contribution of a sample to a parameter that enters its expected
   headroom with `coefficient`. `total` is the sum of the coefficients of all
   parameters of that sample which are updated together; it keeps the step
   small enough for simultaneous updates. */
static void
accumulate(parameter_t *parameter, double coefficient, double residual,
           double weight, double total)
{
    parameter->gradient += weight * coefficient * residual;
    parameter->weight += weight * coefficient * total;
}

/* Updates a node of a baseline from its gradient and the regularization that
   draws it to its neighbours, then resets the gradient. */
static void
update_node(baseline_t *baseline, guint index)
{
    parameter_t *parameter =
        &g_array_index(baseline->nodes, parameter_t, index);
    double gradient = parameter->gradient;
    double weight = parameter->weight;
    if (index > 0) {
        gradient += SMOOTHNESS * (parameter[-1].value - parameter->value);
        weight += SMOOTHNESS;
    }
    if (index + 1 < baseline->nodes->len) {
        gradient += SMOOTHNESS * (parameter[1].value - parameter->value);
        weight += SMOOTHNESS;
    }
    if (weight > 0) {
        parameter->value =
            CLAMP(parameter->value + NODE_DAMPING * gradient / weight,
                  BASELINE_MIN, BASELINE_MAX);
    }
    parameter->gradient = 0;
    parameter->weight = 0;
}

/* Moves all baselines one step towards the samples, with the slopes fixed. */
static void
fit_baselines(mb_headroom_t *model)
{
    GHashTableIter iter;
    gpointer value;
    for (const GList *l = model->samples.head; l != NULL; l = l->next) {
        const sample_t *sample = l->data;
        double weight;
        double residual = compute_residual(sample, &weight);
        double node_coefficient = 1 - sample->fraction;
        accumulate(get_node(sample->baseline, sample->node), node_coefficient,
                   residual, weight, 1);
        accumulate(get_node(sample->baseline, sample->node + 1),
                   sample->fraction, residual, weight, 1);
    }
    g_hash_table_iter_init(&iter, model->baselines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        baseline_t *baseline = value;
        for (guint i = 0; i < baseline->nodes->len; i++) {
            update_node(baseline, i);
        }
    }
}

/* Moves all slopes one step towards the samples, with the baselines fixed. The
   L1 penalty and the prior are part of the gradient; the lower bound of 0
   completes the proximal step, as slopes are not negative. Pairs without
   samples in the window keep their value. */
static void
fit_slopes(mb_headroom_t *model)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, model->pairs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pair_t *pair = value;
        pair->slope.gradient = 0;
        pair->slope.weight = 0;
    }
    for (const GList *l = model->samples.head; l != NULL; l = l->next) {
        const sample_t *sample = l->data;
        double weight;
        double residual = compute_residual(sample, &weight);
        double total = 0;
        for (uint32_t i = 0; i < sample->count; i++) {
            total += sample->terms[i].cpu;
        }
        for (uint32_t i = 0; i < sample->count; i++) {
            accumulate(&sample->terms[i].pair->slope, sample->terms[i].cpu,
                       -residual, weight, total);
        }
    }
    g_hash_table_iter_init(&iter, model->pairs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pair_t *pair = value;
        parameter_t *slope = &pair->slope;
        double gradient = slope->gradient - L1_PENALTY +
                          pair->prior_weight * (pair->prior - slope->value);
        if (slope->weight > 0) {
            slope->value =
                CLAMP(slope->value + SLOPE_DAMPING * gradient /
                                         (slope->weight + pair->prior_weight),
                      0.0, SLOPE_MAX);
        }
    }
}

/* Removes the nodes of a baseline that are older than `*context`, a time in
   microseconds. Returns TRUE when none is left, so that the hash table drops
   the baseline. */
static gboolean
trim_baseline(gpointer key, gpointer value, gpointer context)
{
    baseline_t *baseline = value;
    uint64_t oldest = *(const uint64_t *)context / NODE_US;
    uint64_t old = oldest - MIN(oldest, baseline->first_node);
    (void)key;
    if (old >= baseline->nodes->len) {
        return TRUE;
    }
    (void)g_array_remove_range(baseline->nodes, 0, (guint)old);
    baseline->first_node += old;
    return FALSE;
}

/* Removes samples and nodes that are older than the window, and baselines
   without nodes. */
static void
drop_expired(mb_headroom_t *model, uint64_t now_us)
{
    uint64_t oldest_us = now_us - MIN(now_us, MB_HEADROOM_WINDOW_US);
    const sample_t *oldest = g_queue_peek_head(&model->samples);
    while (oldest != NULL && oldest->time_us < oldest_us) {
        drop_oldest_sample(model);
        oldest = g_queue_peek_head(&model->samples);
    }
    (void)g_hash_table_foreach_remove(model->baselines, trim_baseline,
                                      &oldest_us);
}

/* Fits the model to the samples; see the header. */
void
mb_headroom_fit(mb_headroom_t *model, uint64_t now_us)
{
    if (now_us < model->last_fit_us + FIT_INTERVAL_US) {
        return;
    }
    model->last_fit_us = now_us;
    drop_expired(model, now_us);
    for (int i = 0; i < FIT_ITERATIONS; i++) {
        fit_baselines(model);
        fit_slopes(model);
    }
}

/* Exports the estimates of pairs; see the header. */
void
mb_headroom_export(const mb_headroom_t *model, GArray *pairs, guint max)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, model->pairs);
    while (pairs->len < max && g_hash_table_iter_next(&iter, NULL, &value)) {
        const pair_t *pair = value;
        double weight = pair->prior_weight + pair->slope.weight;
        mb_headroom_pair_t row = {
            pair->key, pair->slope.value,
            (uint32_t)MIN(weight, SLOPE_PRIOR_WEIGHT_MAX)};
        g_array_append_val(pairs, row);
    }
}

/* Imports the estimate of a pair; see the header. Its weight is kept within
   the bounds of a prior. */
void
mb_headroom_import(mb_headroom_t *model, const mb_headroom_pair_t *learned)
{
    pair_t *pair = get_pair(model, learned->key);
    if (pair != NULL) {
        pair->inherited = true;
        pair->slope.value = CLAMP(learned->slope, 0.0, SLOPE_MAX);
        pair->prior = pair->slope.value;
        pair->prior_weight =
            CLAMP(learned->weight, SLOPE_PRIOR_WEIGHT, SLOPE_PRIOR_WEIGHT_MAX);
    }
}

/* Returns a lower estimate of a baseline for the next second; see the header.
 */
double
mb_headroom_baseline_forecast(const mb_headroom_t *model,
                              const mb_headroom_service_t *service)
{
    const baseline_t *baseline =
        g_hash_table_lookup(model->baselines, &service->service_id);
    if (baseline == NULL) {
        return BASELINE_PRIOR;
    }
    double now = mb_headroom_baseline(model, service);
    double lowest = now;
    for (guint i = 0; i < baseline->nodes->len; i++) {
        lowest =
            MIN(lowest, g_array_index(baseline->nodes, parameter_t, i).value);
    }
    return MAX(lowest, now - FORECAST_FALL_MAX);
}

/* Returns the present baseline of a service; see the header. */
double
mb_headroom_baseline(const mb_headroom_t *model,
                     const mb_headroom_service_t *service)
{
    const baseline_t *baseline =
        g_hash_table_lookup(model->baselines, &service->service_id);
    return baseline == NULL ? BASELINE_PRIOR
                            : g_array_index(baseline->nodes, parameter_t,
                                            baseline->nodes->len - 1)
                                  .value;
}

/* Returns the estimate of a pair; see the header. */
mb_headroom_estimate_t
mb_headroom_estimate(const mb_headroom_t *model, uint64_t service_kind,
                     uint64_t kind)
{
    uint64_t key = pair_key(service_kind, kind);
    const pair_t *pair = g_hash_table_lookup(model->pairs, &key);
    if (pair == NULL) {
        return (mb_headroom_estimate_t){.slope = SLOPE_PRIOR,
                                        .weight = SLOPE_PRIOR_WEIGHT};
    }
    return (mb_headroom_estimate_t){.slope = pair->slope.value,
                                    .weight = pair->prior_weight +
                                              pair->slope.weight,
                                    .samples = pair->samples,
                                    .inherited = pair->inherited};
}

/* Returns the slope of a pair plus a number of standard deviations; see the
   header. The variance is inversely proportional to the weight. */
double
mb_headroom_slope(const mb_headroom_t *model, uint64_t service_kind,
                  uint64_t kind, double deviations)
{
    mb_headroom_estimate_t estimate =
        mb_headroom_estimate(model, service_kind, kind);
    return estimate.slope +
           deviations * SLOPE_DEVIATION / sqrt(estimate.weight);
}

/* Returns the expected loss of headroom under a load; see the header. */
double
mb_headroom_loss(const mb_headroom_t *model, uint64_t service_kind,
                 const mb_headroom_load_t *load, double deviations)
{
    double loss = 0;
    for (uint32_t i = 0; i < load->count; i++) {
        loss += mb_headroom_slope(model, service_kind, load->entries[i].kind,
                                  deviations) *
                load->entries[i].cpu_milli / MILLI;
    }
    return loss;
}
