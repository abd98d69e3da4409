/* Internal to the log client: appends, from the queue to their outcome. All
   functions run on the thread of the stream, except mb_log_append_finish,
   which is called after that thread has stopped. */
#ifndef MB_LOG_APPEND_H
#define MB_LOG_APPEND_H

#include "mb_log_client.h"

void mb_log_append_send(mb_log_client_t *client);
void mb_log_append_resolve(mb_log_client_t *client, uint64_t sequence,
                           uint64_t offset, mb_append_result_t result);
void mb_log_append_expire(mb_log_client_t *client);
void mb_log_append_snapshot(mb_log_client_t *client);
void mb_log_append_finish(mb_log_client_t *client);

/* Defined in mb_log_client.c. */
void mb_log_client_note_response(mb_log_client_t *client,
                                 const mb_http_result_t *result);
uint64_t mb_log_client_now_ms(const mb_log_client_t *client);

#endif
