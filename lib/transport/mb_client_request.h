/* What a client's HTTP request asks for, read from its target and headers. */
#ifndef MB_CLIENT_REQUEST_H
#define MB_CLIENT_REQUEST_H

#include "mb_http_server.h"

/* The views point into the exchange. */
typedef struct mb_client_request {
    mb_str_t service;
    mb_str_t path; /* as the upstream sees it */
    bool idempotent;
    mb_class_t request_class; /* MB_CLASS_COUNT: asks for none */
    uint32_t deadline_ms;     /* 0: asks for none */
} mb_client_request_t;

bool mb_client_request_parse(const mb_http_exchange_t *exchange,
                             mb_client_request_t *request);

#endif
