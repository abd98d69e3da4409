#include "mb_client_request.h"

#include <glib.h>

/* Maximum deadline that a client may request, in milliseconds. */
#define DEADLINE_MAX_MS 600000u

/* Gets the service from the path prefix "/svc/NAME/" or, without it, from the
   Host header. The upstream gets the path without the prefix. */
static void
parse_target(const mb_http_exchange_t *exchange, mb_client_request_t *request)
{
    mb_str_t prefix = MB_STR_LIT("/svc/");
    mb_str_t uri = mb_http_uri(exchange);
    if (!mb_str_starts_with(uri, prefix)) {
        mb_str_t host = mb_http_header(exchange, MB_STR_LIT("Host"));
        request->service = MB_STR_EMPTY;
        (void)mb_str_split(&host, ':', &request->service);
        request->path = uri;
        return;
    }
    size_t end = prefix.len;
    while (end < uri.len && uri.data[end] != '/' && uri.data[end] != '?') {
        end++;
    }
    request->service = (mb_str_t){uri.data + prefix.len, end - prefix.len};
    request->path = (mb_str_t){uri.data + end, uri.len - end};
    if (request->path.len == 0) {
        request->path = MB_STR_LIT("/");
    }
}

/* Returns whether a method is idempotent (RFC 9110, 9.2.2). */
static bool
is_idempotent(mb_str_t method)
{
    static const char *const methods[] = {"GET",     "HEAD",   "PUT",
                                          "OPTIONS", "DELETE", "TRACE"};
    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (mb_str_equal(method, mb_str_from_cstr(methods[i]))) {
            return true;
        }
    }
    return false;
}

/* Returns the deadline requested by the header X-Deadline-Ms, in milliseconds,
   or 0 if there is none, it is no number or it exceeds the maximum. */
static uint32_t
parse_deadline_ms(const mb_http_exchange_t *exchange)
{
    uint64_t requested;
    mb_str_t text = mb_http_header(exchange, MB_STR_LIT("X-Deadline-Ms"));
    if (mb_str_to_u64(text, &requested) && requested <= DEADLINE_MAX_MS) {
        return (uint32_t)requested;
    }
    return 0;
}

/* Returns the class requested by the header X-Magnoliabarrow-Class, or
   MB_CLASS_COUNT if there is none or it is unknown. */
static mb_class_t
parse_class(const mb_http_exchange_t *exchange)
{
    mb_class_t requested;
    mb_str_t text =
        mb_http_header(exchange, MB_STR_LIT("X-Magnoliabarrow-Class"));
    return mb_class_from_name(text, &requested) ? requested : MB_CLASS_COUNT;
}

/* Parses a complete request; false when its parts exceed the limits of a
   frame. */
bool
mb_client_request_parse(const mb_http_exchange_t *exchange,
                        mb_client_request_t *request)
{
    mb_str_t method = mb_http_method(exchange);
    parse_target(exchange, request);
    request->idempotent = is_idempotent(method);
    request->request_class = parse_class(exchange);
    request->deadline_ms = parse_deadline_ms(exchange);
    return mb_message_fits(method, request->path, mb_http_headers(exchange),
                           mb_http_body(exchange));
}
