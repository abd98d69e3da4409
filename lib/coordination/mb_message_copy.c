#include "mb_message_copy.h"

#include <glib.h>
#include <string.h>

/* Copies text to *at, which moves behind it. */
static mb_str_t
put_text(char **at, mb_str_t text)
{
    mb_str_t copy = {*at, text.len};
    if (text.len > 0) {
        memcpy(*at, text.data, text.len);
    }
    *at += text.len;
    return copy;
}

/* Returns the bytes of all names and values. */
static size_t
headers_size(const mb_headers_t *headers)
{
    size_t size = 0;
    for (uint32_t i = 0; i < headers->count; i++) {
        size += headers->items[i].name.len + headers->items[i].value.len;
    }
    return size;
}

/* Copies all headers and their text. */
static void
put_headers(char **at, const mb_headers_t *headers, mb_header_t *copies)
{
    for (uint32_t i = 0; i < headers->count; i++) {
        copies[i].name = put_text(at, headers->items[i].name);
        copies[i].value = put_text(at, headers->items[i].value);
    }
}

/* Fills in the headers of a message from a copy. */
static void
view_headers(mb_headers_t *headers, const mb_header_t *copies, uint32_t count)
{
    headers->count = count;
    if (count > 0) {
        memcpy(headers->items, copies, count * sizeof(*copies));
    }
}

/* Copies a request; freed by g_free. */
mb_held_request_t *
mb_held_request_new(const mb_request_t *request)
{
    size_t fixed = sizeof(mb_held_request_t) +
                   request->headers.count * sizeof(mb_header_t);
    mb_held_request_t *held =
        g_malloc(fixed + headers_size(&request->headers) +
                 request->method.len + request->path.len + request->body.len);
    char *at = (char *)held + fixed;
    held->id = request->id;
    held->request_class = request->request_class;
    held->idempotent = request->idempotent;
    held->header_count = request->headers.count;
    put_headers(&at, &request->headers, held->headers);
    held->method = put_text(&at, request->method);
    held->path = put_text(&at, request->path);
    held->body = put_text(&at, request->body);
    return held;
}

/* Fills in a request whose views point into the copy. */
void
mb_held_request_view(const mb_held_request_t *held, uint32_t deadline_ms,
                     mb_request_t *request)
{
    request->id = held->id;
    request->deadline_ms = deadline_ms;
    request->request_class = held->request_class;
    request->idempotent = held->idempotent;
    request->method = held->method;
    request->path = held->path;
    request->body = held->body;
    view_headers(&request->headers, held->headers, held->header_count);
}

/* Copies a response; freed by g_free. */
mb_held_response_t *
mb_held_response_new(const mb_response_t *response)
{
    size_t fixed = sizeof(mb_held_response_t) +
                   response->headers.count * sizeof(mb_header_t);
    size_t size =
        fixed + headers_size(&response->headers) + response->body.len;
    mb_held_response_t *held = g_malloc(size);
    char *at = (char *)held + fixed;
    held->id = response->id;
    held->size = size;
    held->status = response->status;
    held->header_count = response->headers.count;
    put_headers(&at, &response->headers, held->headers);
    held->body = put_text(&at, response->body);
    return held;
}

/* Fills in a whole response whose views point into the copy. */
void
mb_held_response_view(const mb_held_response_t *held, mb_response_t *response)
{
    response->id = held->id;
    response->status = held->status;
    response->body = held->body;
    response->last = true;
    view_headers(&response->headers, held->headers, held->header_count);
}
