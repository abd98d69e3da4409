#include "mb_client_request.h"

#include <glib.h>

/* Longest deadline that a client may ask for, in milliseconds. */
#define DEADLINE_MAX_MS 600000u

/* Finds the service named by the path prefix "/svc/NAME/" or, without it, by
   the Host header; the path that the upstream sees has no prefix. */
static void
read_target(const mb_http_exchange_t *exchange, mb_client_request_t *request)
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

/* Tells whether a method is idempotent (RFC 9110, 9.2.2). */
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

/* Returns the deadline that a client asks for in milliseconds by the header
   X-Deadline-Ms, or 0. */
static uint32_t
asked_deadline_ms(const mb_http_exchange_t *exchange)
{
    uint64_t asked;
    mb_str_t text = mb_http_header(exchange, MB_STR_LIT("X-Deadline-Ms"));
    if (mb_str_to_u64(text, &asked) && asked <= DEADLINE_MAX_MS) {
        return (uint32_t)asked;
    }
    return 0;
}

/* Returns the class that a client asks for by the header
   X-Magnoliabarrow-Class, or MB_CLASS_COUNT. */
static mb_class_t
asked_class(const mb_http_exchange_t *exchange)
{
    mb_class_t asked;
    mb_str_t text =
        mb_http_header(exchange, MB_STR_LIT("X-Magnoliabarrow-Class"));
    return mb_class_from_name(text, &asked) ? asked : MB_CLASS_COUNT;
}

/* Reads a whole request; false when its parts exceed the bounds of a
   frame. */
bool
mb_client_request_parse(const mb_http_exchange_t *exchange,
                        mb_client_request_t *request)
{
    mb_str_t method = mb_http_method(exchange);
    read_target(exchange, request);
    request->idempotent = is_idempotent(method);
    request->request_class = asked_class(exchange);
    request->deadline_ms = asked_deadline_ms(exchange);
    return mb_message_fits(method, request->path, mb_http_headers(exchange),
                           mb_http_body(exchange));
}
