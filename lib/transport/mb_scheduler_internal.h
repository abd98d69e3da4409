/* Parts of the role scheduler that its files share. */
#ifndef MB_SCHEDULER_INTERNAL_H
#define MB_SCHEDULER_INTERNAL_H

#include "mb_scheduler_node.h"

/* mb_scheduler_node.c */
uint64_t mb_scheduler_unix_ms(void);
void mb_scheduler_wake(mb_scheduler_node_t *node);

/* mb_scheduler_requests.c */
void mb_scheduler_handle(void *context, mb_http_exchange_t *exchange);
void mb_scheduler_requests_tick(mb_scheduler_node_t *node);

/* mb_scheduler_agents.c */
void mb_scheduler_agent_known(mb_scheduler_node_t *node, mb_str_t address);
void mb_scheduler_agent_removed(mb_scheduler_node_t *node, mb_str_t address);
void mb_scheduler_agents_tick(mb_scheduler_node_t *node);
void mb_scheduler_agents_close(mb_scheduler_node_t *node);
void mb_scheduler_send(void *context, uint32_t worker,
                       const mb_order_t *order);

#endif
