#include <math.h>

#include "policy_model.h"

/* The run time of a request on a worker without other tasks is lognormal. */
#define SERVICE_MEAN_S 0.010
#define SERVICE_SIGMA 0.5

/* Returns the slot of a worker's service that becomes free first. */
static uint32_t
find_first_free_slot(const policy_worker_t *worker)
{
    uint32_t best = 0;
    for (uint32_t i = 1; i < POLICY_SLOTS; i++) {
        if (worker->slot_free_s[i] < worker->slot_free_s[best]) {
            best = i;
        }
    }
    return best;
}

/* Returns the worker that runs a request: of two random ones, the one with the
   slot that becomes free first. NULL when no live worker was drawn. */
static policy_worker_t *
choose_worker(policy_model_t *model)
{
    policy_worker_t *best = NULL;
    for (int tries = 0, found = 0; found < 2 && tries < 100; tries++) {
        policy_worker_t *worker =
            &model->workers[mb_rng_below(&model->request_rng, POLICY_WORKERS)];
        if (!worker->alive) {
            continue;
        }
        found++;
        if (best == NULL ||
            worker->slot_free_s[find_first_free_slot(worker)] <
                best->slot_free_s[find_first_free_slot(best)]) {
            best = worker;
        }
    }
    return best;
}

/* Runs one request that arrives at `at_s`; its latency counts when the event
   is on. */
static void
run_request(policy_model_t *model, double at_s)
{
    double run_time_s =
        SERVICE_MEAN_S *
        exp(SERVICE_SIGMA * policy_model_normal(&model->request_rng) -
            SERVICE_SIGMA * SERVICE_SIGMA / 2);
    policy_worker_t *worker = choose_worker(model);
    if (worker == NULL) {
        return;
    }
    double *slot = &worker->slot_free_s[find_first_free_slot(worker)];
    double start_s = MAX(at_s, *slot);
    *slot = start_s + run_time_s * worker->slowdown;
    if (policy_in_event(model)) {
        float latency_ms = (float)((*slot - at_s) * MB_MS_PER_S);
        g_array_append_val(model->latencies_ms, latency_ms);
    }
}

void
policy_requests_tick(policy_model_t *model)
{
    double end_s = (double)(model->now_us + POLICY_TICK_US) / MB_US_PER_S;
    double rate = model->setup.service_load * POLICY_WORKERS * POLICY_SLOTS /
                  SERVICE_MEAN_S;
    while (model->setup.services && model->next_request_s < end_s) {
        run_request(model, model->next_request_s);
        model->next_request_s +=
            policy_model_exponential(&model->request_rng) / rate;
    }
}
