/* Owned copies of requests and responses, each in one block of memory that the
   caller frees by g_free. */
#ifndef MB_MESSAGE_COPY_H
#define MB_MESSAGE_COPY_H

#include "mb_message.h"

/* In both structs the text that the views point to follows `headers` in the
   block. */
typedef struct mb_request_copy {
    mb_request_id_t id;
    mb_class_t request_class;
    bool idempotent;
    mb_str_t method;
    mb_str_t path;
    mb_str_t body;
    uint32_t header_count;
    mb_header_t headers[];
} mb_request_copy_t;

typedef struct mb_response_copy {
    mb_request_id_t id;
    size_t size; /* of the whole block, in bytes */
    uint32_t status;
    mb_str_t body;
    uint32_t header_count;
    mb_header_t headers[];
} mb_response_copy_t;

mb_request_copy_t *mb_request_copy_new(const mb_request_t *request);
void mb_request_copy_view(const mb_request_copy_t *copy, uint32_t deadline_ms,
                          mb_request_t *request);
mb_response_copy_t *mb_response_copy_new(const mb_response_t *response);
void mb_response_copy_view(const mb_response_copy_t *copy,
                           mb_response_t *response);

#endif
