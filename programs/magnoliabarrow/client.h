/* Synchronous client of the operators' HTTP API. */
#ifndef CLIENT_H
#define CLIENT_H

#include <glib.h>

#include "mb_error.h"

typedef struct client {
    const char *server; /* IPv4:port; borrowed */
    mb_buf_t token;     /* bearer token; empty: none is sent */
} client_t;

/* A response of the API. */
typedef struct response {
    long status;       /* of HTTP; 0: no response was received */
    uint64_t revision; /* that the response reflects; 0: none */
    mb_buf_t body;
} response_t;

bool client_init(client_t *client, const char *server, const char *token_file,
                 GError **error);
void client_finish(client_t *client);
bool client_call(const client_t *client, const char *method, mb_str_t path,
                 mb_str_t body, response_t *response, GError **error);
void response_finish(response_t *response);

#endif
