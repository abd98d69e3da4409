/* The roles scheduler and agent, which schedule batch jobs through the adapter
   to the operators' platform. The functions are those of mb_daemon_role_t;
   check_job_role and dump_job_role serve both roles. */
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
