/* standin-store: the project's stand-in of the platform's store, with the two
   limits of log-append that PROTOCOL.md names and the project's leaves out:
   "at most `record_bytes`; the records of one call total at most
   `call_bytes`". A call beyond them is answered with 400, and nothing of it is
   appended.

   standin-store -l ADDRESS */
#include "mb_http_server.h"

/* As in the settings of all sites, in bytes. */
#define RECORD_BYTES_MAX 262144u
#define CALL_BYTES_MAX 2097152u

/* The handler of the project's stand-in. */
static void (*handle_call)(void *context, mb_http_exchange_t *exchange);

/* Tells whether the records of an append keep the limits. */
static bool
keeps_limits(mb_str_t body)
{
    size_t total = 0;
    while (body.len >= 4) {
        const unsigned char *bytes = (const unsigned char *)body.data;
        size_t length = (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16 |
                        (size_t)bytes[2] << 8 | bytes[3];
        if (length > body.len - 4 || length > RECORD_BYTES_MAX) {
            return false;
        }
        total += length;
        body.data += 4 + length;
        body.len -= 4 + length;
    }
    return total <= CALL_BYTES_MAX;
}

/* Handles one request: an append beyond the limits itself, any other one as
   the project's stand-in does. */
static void
handle_limited(void *context, mb_http_exchange_t *exchange)
{
    if (mb_str_starts_with(mb_http_uri(exchange),
                           MB_STR_LIT("/api/log-append")) &&
        !keeps_limits(mb_http_body(exchange))) {
        mb_http_respond(exchange, 400, NULL, MB_STR_LIT("{}"));
        return;
    }
    handle_call(context, exchange);
}

/* Starts the server of the project's stand-in with the handler of this one. */
static bool
init_limited(mb_http_server_t *server, const mb_http_server_config_t *config,
             GError **error)
{
    mb_http_server_config_t limited = *config;
    handle_call = config->handle;
    limited.handle = handle_limited;
    return mb_http_server_init(server, &limited, error);
}

#define mb_http_server_init init_limited
#include "../../tests/standins/store.c"
