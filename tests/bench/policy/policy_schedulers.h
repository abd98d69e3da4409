/* The two variants: the project's decision modules, and a baseline with
   least-loaded placement, first come first served, and a fixed retry. */
#ifndef POLICY_SCHEDULERS_H
#define POLICY_SCHEDULERS_H

#include "policy_model.h"

typedef struct policy_ours policy_ours_t;
typedef struct policy_baseline policy_baseline_t;

/* Both set the model's decider; the model must not run after the free. */
policy_ours_t *policy_ours_new(policy_model_t *model);
void policy_ours_free(policy_ours_t *ours);
policy_baseline_t *policy_baseline_new(policy_model_t *model);
void policy_baseline_free(policy_baseline_t *baseline);

#endif
