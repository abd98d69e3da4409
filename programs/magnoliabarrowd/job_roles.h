/* The roles of the job scheduler on the operators' platform. */
#ifndef JOB_ROLES_H
#define JOB_ROLES_H

#include "magnoliabarrow.h"

bool check_job_role(const mb_settings_t *settings, GError **error);
bool dump_job_role(void *node, mb_buf_t *out);
void *start_scheduler(mb_daemon_t *daemon, GError **error);
void drain_scheduler(void *node);
void finish_scheduler(void *node);
void *start_agent(mb_daemon_t *daemon, GError **error);
void drain_agent(void *node);
void finish_agent(void *node);

#endif
