/* Parses a client's HTTP request at an entry: service, path, class and
   deadline. */
#ifndef MB_CLIENT_REQUEST_H
#define MB_CLIENT_REQUEST_H

#include "mb_http_server.h"

/* The parsed request. The views point into the exchange. */
typedef struct mb_client_request {
    mb_str_t service;
    mb_str_t path; /* with query, to be sent to the upstream */
    bool idempotent;
    mb_class_t request_class; /* MB_CLASS_COUNT: none requested */
    uint32_t deadline_ms;     /* 0: none requested */
} mb_client_request_t;

/* Parses a complete request. Returns false when its method, path, headers or
   body exceed the limits of a frame, so that it can't be sent to a sidecar. */
bool mb_client_request_parse(const mb_http_exchange_t *exchange,
                             mb_client_request_t *request);

#endif
