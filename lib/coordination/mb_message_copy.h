/* Owned copies of requests and responses, each in one block of memory. */
#ifndef MB_MESSAGE_COPY_H
#define MB_MESSAGE_COPY_H

#include "mb_message.h"

/* The text of `headers` and the views follow the struct in its block. */
typedef struct mb_held_request {
    mb_request_id_t id;
    mb_class_t request_class;
    bool idempotent;
    mb_str_t method;
    mb_str_t path;
    mb_str_t body;
    uint32_t header_count;
    mb_header_t headers[];
} mb_held_request_t;

typedef struct mb_held_response {
    mb_request_id_t id;
    size_t size; /* of the whole block, in bytes */
    uint32_t status;
    mb_str_t body;
    uint32_t header_count;
    mb_header_t headers[];
} mb_held_response_t;

mb_held_request_t *mb_held_request_new(const mb_request_t *request);
void mb_held_request_view(const mb_held_request_t *held, uint32_t deadline_ms,
                          mb_request_t *request);
mb_held_response_t *mb_held_response_new(const mb_response_t *response);
void mb_held_response_view(const mb_held_response_t *held,
                           mb_response_t *response);

#endif
