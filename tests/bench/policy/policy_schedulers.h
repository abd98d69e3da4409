/* The two schedulers: the scheduling modules of the project, and a baseline
   with least-loaded placement, first come first served, and a fixed retry. */
#ifndef POLICY_SCHEDULERS_H
#define POLICY_SCHEDULERS_H

#include "policy_model.h"

typedef struct policy_project policy_project_t;
typedef struct policy_baseline policy_baseline_t;

/* Both set the model's scheduler; the model must not run after the free. */
policy_project_t *policy_project_new(policy_model_t *model);
void policy_project_free(policy_project_t *project);
policy_baseline_t *policy_baseline_new(policy_model_t *model);
void policy_baseline_free(policy_baseline_t *baseline);

#endif
